"""Invalid configurations are rejected at startup with the field's name; at SIGHUP the old one is kept."""

from __future__ import annotations

import copy
import json
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from message_relay import config

from ..loopback import SETTINGS, Agent, listing, raw_config, run, until
from .test_process import start_environment

Change = Callable[[dict[str, Any]], object]
INVALID_SETTINGS: list[tuple[Change, str]] = [
    (lambda raw: raw["limits"].update(sockets=-5), "sockets"),
    (lambda raw: raw["limits"].update(sockets=0), "sockets"),
    (lambda raw: raw["limits"].update(disk_mb=-1), "disk_mb"),
    (lambda raw: raw["limits"].update(memory_mb=-64), "memory_mb"),
    (lambda raw: raw["settings"]["limits"].update({"open-cap": -1}), "hold"),
    (lambda raw: raw["settings"]["limits"].update({"try-limit": 0}), "attempts"),
    (lambda raw: raw["settings"]["limits"].update({"conn-idle-ms": -1.0}), "idle_ms"),
    (lambda raw: raw["settings"]["extra"].update({"call-slots": 0}), "slots"),
    (lambda raw: raw["settings"]["classes"][0].update({"window-ms": 0.0}), "window_ms"),
    (lambda raw: raw["settings"]["classes"][0].pop("window-ms"), "window_ms"),
    (lambda raw: raw["settings"]["classes"][0].update({"window-ms": -4000.0}), "window_ms"),
    (lambda raw: raw["settings"]["classes"][0].update({"effect": "maybe"}), "effect"),
    (lambda raw: raw["settings"]["classes"][1].pop("deadline-ms"), "deadline-ms"),
    (lambda raw: raw["settings"]["classes"][1].update({"deadline-ms": 0.0}), "deadline_ms"),
    (lambda raw: raw["settings"]["classes"][1].update({"name": "keyed"}), "classes"),
    (lambda raw: raw["settings"]["classes"].clear(), "classes"),
    (lambda raw: raw["settings"]["orgs"][0].update({"quota-per-s": -1.0}), "quota_per_s"),
    (lambda raw: raw["settings"].update({"balancers": 0}), "relays"),
]


def changed_config(tmp_path: Path, change: Change) -> dict[str, Any]:
    (tmp_path / "state").mkdir(exist_ok=True)
    raw = raw_config(tmp_path / "state", Agent(address=("127.0.0.1", 1)))
    raw = copy.deepcopy({**raw, "settings": SETTINGS})
    change(raw)
    return raw


@pytest.mark.parametrize(("change", "field"), INVALID_SETTINGS)
def test_settings_are_rejected_with_the_fields_name(tmp_path: Path, change: Change, field: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(changed_config(tmp_path, change)))
    with pytest.raises(config.ConfigError, match=field):
        config.load({"RELAY_CONFIG": str(path)})


def test_a_process_with_rejected_settings_prints_one_line_and_exits_with_2(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(changed_config(tmp_path, INVALID_SETTINGS[8][0])))
    process = subprocess.run(
        [sys.executable, "-m", "message_relay"],
        env={"RELAY_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert process.returncode == 2 and "window_ms" in process.stderr and process.stderr.count("\n") == 1


def test_unknown_keys_are_ignored(tmp_path: Path) -> None:
    def add_unknown_keys(raw: dict[str, Any]) -> None:
        settings = raw["settings"]
        for table in (raw, raw["limits"], settings, settings["classes"][0], settings["extra"]):
            table["what-is-new"] = {"a": [1, None]}

    path = tmp_path / "config.json"
    path.write_text(json.dumps(changed_config(tmp_path, add_unknown_keys)))
    assert config.load({"RELAY_CONFIG": str(path)}).settings.classes[0].name == "keyed"


def test_sighup_with_rejected_settings_keeps_the_old_ones(tmp_path: Path) -> None:
    async def work() -> None:
        agent, server, process = await start_environment(tmp_path)
        await process.start()
        other = await Agent().start()
        invalid = copy.deepcopy(SETTINGS)
        invalid["classes"][0]["window-ms"] = 0.0
        process.configure(settings=invalid, discovery="{}:{}".format(*other.address))
        process.process.send_signal(signal.SIGHUP)
        agent.publish(listing(server, generation=5))
        await until(lambda: any("from=5" in seen.target for seen in agent.seen))
        assert not other.seen
        assert await process.stop(signal.SIGTERM) == 0

    run(work())

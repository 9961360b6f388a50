"""The operator's file, the fleet's size, and the units that name both."""

from __future__ import annotations

import json
import re
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from message_relay.cli.main import group
from message_relay.config import load
from message_relay.decisions.model import Fleet
from message_relay.fleet.fleet_size import CLOCK_STEP_MS, FleetSize
from message_relay.fleet.operator import OperatorConfig, OperatorError, apply_fleet, instance_number, read

from ..conftest import make_settings
from ..loopback import Agent, raw_config

DEPLOY = Path(__file__).parents[2] / "deploy"


def faults(tmp_path: Path, text: str) -> list[str]:
    path = tmp_path / "relay.toml"
    path.write_text(text)
    with pytest.raises(OperatorError) as caught:
        read(path, {})
    return [line.removeprefix(f"{path}: ") for line in str(caught.value).splitlines()]


def test_the_file_that_is_shown_has_every_field_with_its_default() -> None:
    text = (DEPLOY / "relay.toml").read_text()
    assert read(DEPLOY / "relay.toml", {}) == OperatorConfig()
    for part in OperatorConfig.__struct_fields__:
        for field in getattr(OperatorConfig(), part).__struct_fields__:
            assert re.search(rf"^{field} = ", text, re.MULTILINE), f"{part}.{field}"


def test_all_faults_are_told_with_path_and_what_would_be_right(tmp_path: Path) -> None:
    found = faults(
        tmp_path,
        "[flet]\n[fleet]\ninstances = 0\nshare_rate = true\n[log]\nformat = 'xml'\n"
        "lines = 'many'\n[supervisor]\nport = 70000\n",
    )
    assert found == [
        "flet: is not known; 'fleet' is the nearest name",
        "fleet.instances: 0: Expected `int` >= 1",
        "fleet.share_rate: is not known; 'share_rates' is the nearest name",
        "log.format: 'xml': one of plain, json, console is needed",
        "log.lines: 'many': Expected `int`, got `str`",
        "supervisor.port: 70000: Expected `int` <= 65535",
    ]


@pytest.mark.parametrize(
    ("text", "says"),
    [
        (
            "[supervisor]\nfirst_wait_s = 9\nmost_wait_s = 3\n",
            "supervisor.most_wait_s: 3 must be first_wait_s",
        ),
        ("[fleet]\ninstances = 40\n[supervisor]\nport = 65500\n", "supervisor.port: with 40 instances"),
        ("fleet = 3\n", "fleet: must be a table"),
        ("[fleet", "Expected"),
        ("[log]\nlevel = 3\n", "log.level: 3"),
    ],
)
def test_what_makes_no_sense_together_or_at_all(tmp_path: Path, text: str, says: str) -> None:
    assert any(says in line for line in faults(tmp_path, text))


def test_a_file_that_is_not_there_names_itself(tmp_path: Path) -> None:
    with pytest.raises(OperatorError, match="nowhere.toml: No such file"):
        read(tmp_path / "nowhere.toml", {})


@pytest.mark.parametrize(
    ("env", "says"),
    [
        ({}, "RELAY_INSTANCE: '' must be a number"),
        ({"RELAY_INSTANCE": "x"}, "must be a number from 0 to 2"),
        ({"RELAY_INSTANCE": "3"}, "3 is not among fleet.instances = 3: 0 to 2 are"),
    ],
)
def test_an_instance_that_is_not_one_of_the_fleet(tmp_path: Path, env: dict[str, str], says: str) -> None:
    path = tmp_path / "relay.toml"
    path.write_text("[fleet]\ninstances = 3\nshare_rates = true\n")
    told = read(path, {})
    with pytest.raises(OperatorError, match=says):
        instance_number(told, env)
    assert instance_number(told, {"RELAY_INSTANCE": "002"}) == 2
    assert instance_number(told, {"RELAY_INSTANCE": "7", "RELAY_RETIRE": "1"}) == 7
    assert apply_fleet(make_settings(), told, 7, 5.0).fleet == Fleet(7, 8, 5.0)
    assert apply_fleet(make_settings(), read(path, {"RELAY_INSTANCES": "40"}), 7, 5.0).relays == 40


def test_the_environment_goes_before_the_file_and_is_checked_as_it_is(tmp_path: Path) -> None:
    path = tmp_path / "relay.toml"
    path.write_text("")
    for told in ("none", "0", "9999"):
        with pytest.raises(OperatorError, match="RELAY_INSTANCES|fleet.instances"):
            read(path, {"RELAY_INSTANCES": told})


def test_the_state_folder_may_come_from_the_service_manager(tmp_path: Path) -> None:
    raw = raw_config(tmp_path, Agent(address=("127.0.0.1", 1)))
    (tmp_path / "c.json").write_text(json.dumps({**raw, "state": ""}))
    env = {"RELAY_CONFIG": str(tmp_path / "c.json"), "STATE_DIRECTORY": "/var/lib/a:/var/lib/b"}
    assert load(env).state == Path("/var/lib/a")
    assert load({**env, "RELAY_STATE": "/own"}).state == Path("/own")


def test_check_tells_faults_and_exit_codes(tmp_path: Path) -> None:
    path = tmp_path / "relay.toml"
    path.write_text("[status]\nfolder = '/nowhere/at/all'\n[supervisor]\nconfig = '/nowhere.json'\n")
    done = CliRunner().invoke(group, ["check", str(path)])
    assert done.exit_code == 2 and "status.folder" in done.stderr and "supervisor.config" in done.stderr
    done = CliRunner().invoke(group, ["check", str(DEPLOY / "relay.toml")])
    assert done.exit_code == 0 and "good: 1 instances" in done.stdout


def test_a_bare_import_and_a_bare_run_load_no_tool() -> None:
    code = (
        "import sys, message_relay, message_relay.process, message_relay.composition;"
        "tools = ('click', 'rich', 'structlog', 'prometheus_client', 'tomllib');"
        "print([name for name in tools if name in sys.modules])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
    assert done.stdout.strip() == "[]"


def units(template: str) -> tuple[str, str]:
    """Its socket and its service."""
    socket_, service = (
        (DEPLOY / "systemd" / f"{template}@.{kind}").read_text() for kind in ("socket", "service")
    )
    return socket_, service


@pytest.mark.parametrize(
    ("template", "digits", "last", "first_port"),
    [("message-relay", 3, 999, 7000), ("message-relay4", 4, 4095, 10000)],
)
def test_units_give_each_instance_a_port_and_a_number_of_its_own(
    template: str, digits: int, last: int, first_port: int
) -> None:
    """Guards against 700%i, which is port 70010 for instance 10."""
    socket_, service = units(template)
    ports = set()
    fleet = OperatorConfig(fleet=OperatorConfig().fleet.__class__(instances=last + 1))
    for n in range(last + 1):
        name = f"{n:0{digits}}"
        listen = re.search(r"^ListenStream=\S+:(\S+)$", socket_.replace("%i", name), re.MULTILINE)
        own = service.replace("%i", name)
        assert listen is not None and f"RELAY_LISTEN=127.0.0.1:{listen[1]} " in own
        assert f"Requires={template}@{name}.socket" in own and f"StateDirectory=linnetstile/{name}" in own
        ports.add(int(listen[1]))
        env = dict(
            word.split("=", 1)
            for line in own.splitlines()
            if line.startswith("Environment=")
            for word in line.removeprefix("Environment=").split()
        )
        assert instance_number(fleet, env) == n
    assert ports == set(range(first_port, first_port + last + 1)) and max(ports) <= 65535


@pytest.mark.parametrize(
    ("template", "good", "wrong", "says"),
    [
        ("message-relay", "003", ("03", "3", "0003", "x03"), "three digits are needed"),
        ("message-relay4", "0003", ("003", "3", "00003", "x003"), "four digits are needed"),
    ],
)
def test_units_say_which_digits_they_need(
    template: str, good: str, wrong: tuple[str, ...], says: str
) -> None:
    """Guards against 1%i, which is port 1003 for instance 003: it would listen there, without a word."""
    told = re.search(r"^ExecStartPre=/bin/sh -c '(.*)'$", units(template)[0], re.MULTILINE)
    assert told is not None
    for name in (good, *wrong):
        done = subprocess.run(
            ["/bin/sh", "-c", told[1].replace("%i", name)], capture_output=True, text=True, timeout=10
        )
        assert (done.returncode == 0) is (name == good)
        assert (f"instance {name}: {says}" in done.stderr) is (name != good)


def test_the_units_differ_in_their_digits_alone() -> None:
    def plain(text: str, digit: str, template: str) -> list[str]:
        lines = text.replace(f"127.0.0.1:{digit}%i", "PORT").replace(f"{template}@%i", "UNIT").splitlines()
        return [line for line in lines if not line.startswith(("#", "ExecStartPre="))]

    for three, four in zip(units("message-relay"), units("message-relay4"), strict=True):
        assert plain(three, "7", "message-relay") == plain(four, "1", "message-relay4")


def test_a_smaller_part_is_taken_up_at_once_and_a_larger_one_when_all_have_heard() -> None:
    place = FleetSize(3, 40, 0.0)
    assert place.request_size(1000.0, 50, 20_000.0) and place.poll(1000.0, 0.0) == Fleet(3, 50, 0.0)
    assert place.request_size(2000.0, 30, 20_000.0) and place.poll(21_999.0, 0.0) is None
    assert place.request_size(3000.0, 30, 20_000.0)  # told again: it does not begin anew
    assert place.poll(22_000.0, 0.0) == Fleet(3, 30, 0.0) and place.poll(22_001.0, 0.0) is None
    assert not place.request_size(23_000.0, 3, 20_000.0)  # it is not among them


def test_a_clock_that_was_set_is_followed_and_one_that_drifts_a_little_is_not() -> None:
    place = FleetSize(0, 4, 100.0)
    assert place.poll(0.0, 100.0 + CLOCK_STEP_MS) is None
    assert place.poll(1.0, 100.0 - CLOCK_STEP_MS - 1) == Fleet(0, 4, 94.0)

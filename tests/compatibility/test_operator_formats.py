"""Settings and outputs for operators and the platform stay the same: keys, values, texts and exit codes."""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from pathlib import Path

import pytest

from . import operator_binding as operator
from .status_scenarios import key_types
from .wire_fixtures import FOLDER, produced, stored

DEPLOY = Path(__file__).parents[2] / "deploy"
SETTINGS_AND_OUTPUTS = (
    "operator_files",
    "known_keys",
    "operator_faults",
    "platform_files",
    "variables",
    "status_shown",
    "status_sockets",
    "instances",
    "command_questions",
    "command_line",
    "journal_commands",
    "recording",
    "log_lines",
)
STATE_FOLDER, ETC_FOLDER, RUNTIME_FOLDER = "/var/lib/linnetstile", "/etc/linnetstile", "linnetstile"


@pytest.mark.parametrize("name", SETTINGS_AND_OUTPUTS)
def test_settings_and_outputs_are_the_same_as_stored(name: str) -> None:
    current, expected = produced(name), stored(name)
    assert sorted(current) == sorted(expected)
    for part, stored_values in expected.items():
        assert current[part] == stored_values, part


def sections(path: Path) -> set[str]:
    """Returns the sections of a file and their keys, as dotted paths."""
    file = tomllib.loads(path.read_text())
    return {
        name for section, part in file.items() for name in (section, *(f"{section}.{key}" for key in part))
    }


def test_the_fixtures_and_the_example_set_every_key_of_the_operators_file() -> None:
    known = {key for key in stored("known_keys")["operator's file"] if key.count(".") < 2}
    assert sections(FOLDER / "operator.toml") | sections(FOLDER / "shards.toml") == known
    assert sections(DEPLOY / "relay.toml") == known


def test_a_live_report_has_the_keys_of_the_sample() -> None:
    live = stored("instances")["agreeing"]["keys of the report"]
    sample = key_types(stored("status_sockets")["report as understood"])
    assert {key for key in live if not key.startswith("by_class.")} <= set(sample)
    assert {key for key in sample if "[" not in key and not key.startswith(("by_class.", "shards."))} <= set(
        live
    )


def test_the_rate_of_the_lease_clock_can_be_set_by_an_environment_variable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.delenv("LINNETSTILE_CLOCK_RATE", raising=False)
    assert operator.clock_rate() == 1.0
    monkeypatch.setenv("LINNETSTILE_CLOCK_RATE", "1.02")
    assert operator.clock_rate() == 1.02


# -- units of the service manager --------------------------------------------------------------------------


def unit_lines(pattern: str) -> Iterator[tuple[str, list[str]]]:
    paths = sorted((DEPLOY / "systemd").glob(pattern))
    assert paths, pattern
    for path in paths:
        yield path.name, [line for line in path.read_text().splitlines() if line and line[0] not in "#["]


def test_units_keep_their_user_folders_and_environment_variables() -> None:
    for name, lines in unit_lines("*.service"):
        settings = dict(line.split("=", 1) for line in lines if not line.startswith("Environment="))
        assert settings["User"] == "linnetstile", name
        assert settings["StateDirectory"] == f"{Path(STATE_FOLDER).name}/%i", name
        assert (settings["StateDirectoryMode"], settings["RuntimeDirectoryMode"]) == ("0700", "0700"), name
        assert settings["RuntimeDirectory"] == RUNTIME_FOLDER, name
        assert (settings["Type"], settings["RestartPreventExitStatus"]) == ("notify-reload", "2"), name
        variables = dict(
            pair.split("=", 1)
            for line in lines
            if line.startswith("Environment=")
            for pair in line.removeprefix("Environment=").split()
        )
        assert variables.pop("RELAY_LISTEN").startswith("127.0.0.1:"), name
        assert variables == {
            "RELAY_NAME": "%i",
            "RELAY_INSTANCE": "%i",
            "RELAY_STATE": f"{STATE_FOLDER}/%i",
            "RELAY_CONFIG": f"{ETC_FOLDER}/relay.json",
            "RELAY_OPERATOR": f"{ETC_FOLDER}/relay.toml",
        }, name


def test_socket_units_pass_sockets_under_the_same_name() -> None:
    ports = []
    for name, lines in unit_lines("*.socket"):
        settings = dict(line.split("=", 1) for line in lines)
        assert settings["FileDescriptorName"] == operator.client_socket_name() == "clients", name
        ports.append(settings["ListenStream"])
    assert sorted(ports) == ["127.0.0.1:1%i", "127.0.0.1:7%i"]

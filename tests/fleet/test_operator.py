"""The operator's file, the fleet size, and the systemd units that set both."""

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


def test_the_example_file_has_every_field_with_its_default() -> None:
    text = (DEPLOY / "relay.toml").read_text()
    assert read(DEPLOY / "relay.toml", {}) == OperatorConfig()
    for section in OperatorConfig.__struct_fields__:
        for field in getattr(OperatorConfig(), section).__struct_fields__:
            assert re.search(rf"^{field} = ", text, re.MULTILINE), f"{section}.{field}"


def test_all_faults_are_reported_with_path_and_expected_value(tmp_path: Path) -> None:
    reported = faults(
        tmp_path,
        "[flet]\n[fleet]\ninstances = 0\nshare_rate = true\n[log]\nformat = 'xml'\n"
        "lines = 'many'\n[supervisor]\nport = 70000\n",
    )
    assert reported == [
        "flet: is not known; 'fleet' is the nearest name",
        "fleet.instances: 0: Expected `int` >= 1",
        "fleet.share_rate: is not known; 'share_rates' is the nearest name",
        "log.format: 'xml': one of plain, json, console is needed",
        "log.lines: 'many': Expected `int`, got `str`",
        "supervisor.port: 70000: Expected `int` <= 65535",
    ]


@pytest.mark.parametrize(
    ("text", "expected"),
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
def test_invalid_and_contradictory_settings_are_reported(tmp_path: Path, text: str, expected: str) -> None:
    assert any(expected in line for line in faults(tmp_path, text))


def test_a_missing_file_is_reported_with_its_name(tmp_path: Path) -> None:
    with pytest.raises(OperatorError, match="nowhere.toml: No such file"):
        read(tmp_path / "nowhere.toml", {})


@pytest.mark.parametrize(
    ("env", "expected"),
    [
        ({}, "RELAY_INSTANCE: '' must be a number"),
        ({"RELAY_INSTANCE": "x"}, "must be a number from 0 to 2"),
        ({"RELAY_INSTANCE": "3"}, "3 is not among fleet.instances = 3: 0 to 2 are"),
    ],
)
def test_an_instance_number_outside_the_fleet_is_rejected(
    tmp_path: Path, env: dict[str, str], expected: str
) -> None:
    path = tmp_path / "relay.toml"
    path.write_text("[fleet]\ninstances = 3\nshare_rates = true\n")
    operator_config = read(path, {})
    with pytest.raises(OperatorError, match=expected):
        instance_number(operator_config, env)
    assert instance_number(operator_config, {"RELAY_INSTANCE": "002"}) == 2
    assert instance_number(operator_config, {"RELAY_INSTANCE": "7", "RELAY_RETIRE": "1"}) == 7
    assert apply_fleet(make_settings(), operator_config, 7, 5.0).fleet == Fleet(7, 8, 5.0)
    assert apply_fleet(make_settings(), read(path, {"RELAY_INSTANCES": "40"}), 7, 5.0).relays == 40


def test_the_environment_overrides_the_file_and_is_validated_too(tmp_path: Path) -> None:
    path = tmp_path / "relay.toml"
    path.write_text("")
    for count in ("none", "0", "9999"):
        with pytest.raises(OperatorError, match="RELAY_INSTANCES|fleet.instances"):
            read(path, {"RELAY_INSTANCES": count})


def test_the_state_folder_may_be_set_by_the_service_manager(tmp_path: Path) -> None:
    raw = raw_config(tmp_path, Agent(address=("127.0.0.1", 1)))
    (tmp_path / "c.json").write_text(json.dumps({**raw, "state": ""}))
    env = {"RELAY_CONFIG": str(tmp_path / "c.json"), "STATE_DIRECTORY": "/var/lib/a:/var/lib/b"}
    assert load(env).state == Path("/var/lib/a")
    assert load({**env, "RELAY_STATE": "/own"}).state == Path("/own")


def test_check_reports_faults_and_sets_the_exit_code(tmp_path: Path) -> None:
    path = tmp_path / "relay.toml"
    path.write_text("[status]\nfolder = '/nowhere/at/all'\n[supervisor]\nconfig = '/nowhere.json'\n")
    result = CliRunner().invoke(group, ["check", str(path)])
    assert result.exit_code == 2 and "status.folder" in result.stderr and "supervisor.config" in result.stderr
    result = CliRunner().invoke(group, ["check", str(DEPLOY / "relay.toml")])
    assert result.exit_code == 0 and "good: 1 instances" in result.stdout


def test_importing_the_relay_loads_no_optional_package() -> None:
    code = (
        "import sys, message_relay, message_relay.process, message_relay.composition;"
        "tools = ('click', 'rich', 'structlog', 'prometheus_client', 'tomllib');"
        "print([name for name in tools if name in sys.modules])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
    assert done.stdout.strip() == "[]"


def units(template: str) -> tuple[str, str]:
    """Return the socket unit and the service unit."""
    socket_, service = (
        (DEPLOY / "systemd" / f"{template}@.{kind}").read_text() for kind in ("socket", "service")
    )
    return socket_, service


@pytest.mark.parametrize(
    ("template", "digits", "last", "first_port"),
    [("message-relay", 3, 999, 7000), ("message-relay4", 4, 4095, 10000)],
)
def test_units_give_each_instance_its_own_port_and_number(
    template: str, digits: int, last: int, first_port: int
) -> None:
    """Guards against 700%i, which is port 70010 for instance 10."""
    socket_, service = units(template)
    ports = set()
    fleet = OperatorConfig(fleet=OperatorConfig().fleet.__class__(instances=last + 1))
    for n in range(last + 1):
        name = f"{n:0{digits}}"
        listen = re.search(r"^ListenStream=\S+:(\S+)$", socket_.replace("%i", name), re.MULTILINE)
        own_service = service.replace("%i", name)
        assert listen is not None and f"RELAY_LISTEN=127.0.0.1:{listen[1]} " in own_service
        assert (
            f"Requires={template}@{name}.socket" in own_service
            and f"StateDirectory=linnetstile/{name}" in own_service
        )
        ports.add(int(listen[1]))
        env = dict(
            word.split("=", 1)
            for line in own_service.splitlines()
            if line.startswith("Environment=")
            for word in line.removeprefix("Environment=").split()
        )
        assert instance_number(fleet, env) == n
    assert ports == set(range(first_port, first_port + last + 1)) and max(ports) <= 65535


@pytest.mark.parametrize(
    ("template", "valid", "invalid", "expected"),
    [
        ("message-relay", "003", ("03", "3", "0003", "x03"), "three digits are needed"),
        ("message-relay4", "0003", ("003", "3", "00003", "x003"), "four digits are needed"),
    ],
)
def test_units_reject_instance_names_with_a_wrong_number_of_digits(
    template: str, valid: str, invalid: tuple[str, ...], expected: str
) -> None:
    """Guards against 1%i, which is port 1003 for instance 003: it would listen there without any error."""
    check = re.search(r"^ExecStartPre=/bin/sh -c '(.*)'$", units(template)[0], re.MULTILINE)
    assert check is not None
    for name in (valid, *invalid):
        done = subprocess.run(
            ["/bin/sh", "-c", check[1].replace("%i", name)], capture_output=True, text=True, timeout=10
        )
        assert (done.returncode == 0) is (name == valid)
        assert (f"instance {name}: {expected}" in done.stderr) is (name != valid)


def test_the_unit_templates_differ_only_in_their_digits() -> None:
    def normalized(text: str, digit: str, template: str) -> list[str]:
        lines = text.replace(f"127.0.0.1:{digit}%i", "PORT").replace(f"{template}@%i", "UNIT").splitlines()
        return [line for line in lines if not line.startswith(("#", "ExecStartPre="))]

    for three, four in zip(units("message-relay"), units("message-relay4"), strict=True):
        assert normalized(three, "7", "message-relay") == normalized(four, "1", "message-relay4")


def test_a_smaller_share_applies_at_once_and_a_larger_one_after_the_settle_time() -> None:
    fleet_size = FleetSize(3, 40, 0.0)
    assert fleet_size.request_size(1000.0, 50, 20_000.0) and fleet_size.poll(1000.0, 0.0) == Fleet(3, 50, 0.0)
    assert fleet_size.request_size(2000.0, 30, 20_000.0) and fleet_size.poll(21_999.0, 0.0) is None
    assert fleet_size.request_size(3000.0, 30, 20_000.0)  # does not restart the settle time
    assert fleet_size.poll(22_000.0, 0.0) == Fleet(3, 30, 0.0) and fleet_size.poll(22_001.0, 0.0) is None
    assert not fleet_size.request_size(23_000.0, 3, 20_000.0)  # the instance is not part of the fleet


def test_a_step_of_the_clock_is_applied_and_a_small_drift_is_not() -> None:
    fleet_size = FleetSize(0, 4, 100.0)
    assert fleet_size.poll(0.0, 100.0 + CLOCK_STEP_MS) is None
    assert fleet_size.poll(1.0, 100.0 - CLOCK_STEP_MS - 1) == Fleet(0, 4, 94.0)

"""Settings of operators and the platform: files and environments, and the values or errors they result in."""

from __future__ import annotations

import json
import os
import re
import socket
import tempfile
from pathlib import Path
from typing import Any

from . import operator_binding as operator

Values = dict[str, Any]
FIXTURES = Path(__file__).parent / "fixtures" / "wire"
FOLDER_MASK = "FOLDER"
RELOAD_TIME = re.compile(r"(?<=MONOTONIC_USEC=)\d+")
NOTIFICATIONS = 4  # sent in one lifecycle


# -- files -------------------------------------------------------------------------------------------------


def operator_files() -> Values:
    with tempfile.TemporaryDirectory() as folder:
        empty = Path(folder, "relay.toml")
        empty.write_text("")
        return {
            "all keys": operator.operator_values(FIXTURES / "operator.toml"),
            "all keys of shards": operator.operator_values(FIXTURES / "shards.toml")["shards"],
            "defaults": operator.operator_values(empty),
        }


def known_keys() -> Values:
    """Returns every key that is read, as a dotted path."""
    return {"operator's file": operator.operator_keys(), "platform's file": operator.platform_keys()}


INVALID_OPERATOR_FILES = (
    "[flet]\ninstances = 1",
    "[fleet]\ninstance = 1",
    "[fleet]\nzzzz = 1",
    "[log]\nzzzz = 1",
    "zzzz = 1",
    "[fleet]\ninstances = 0",
    "[fleet]\ninstances = 5000",
    "[fleet]\nshare_rates = 1",
    "[fleet]\nsettle_s = 'x'",
    "[log]\nformat = 'xml'",
    "[log]\nlevl = 'info'",
    "[log]\nlines = 1",
    "[status]\ndestinations = -1",
    "[state]\ndurability = 'all'",
    "[state]\nsync_ms = 0",
    "[record]\nmb = 0",
    "[record]\nfile = 'r'\n[fleet]\ninstances = 2",
    "[supervisor]\nport = 0",
    "[supervisor]\nport = 65535\n[fleet]\ninstances = 2",
    "[supervisor]\nfirst_wait_s = 9\nmost_wait_s = 8",
    "[amqp]\nbrokers = [{ name = 'b' }]",
    "[amqp]\nbrokers = [{ name = 'b', hosts = ['x'] }]",
    "[amqp]\nbrokers = [{ name = 'b', hosts = ['x:1'], external = true }]",
    "[amqp]\nbrokers = [{ name = 'b', hosts = ['x:1'], tls = { cert = 'c' } }]",
    "[amqp]\nbrokers = [{ name = 'b', hosts = ['x:1'], tls = { certificate = 'c' } }]",
    "[amqp]\nendpoints = [{ name = 'e', destination = 1, broker = 'b', routing_key = 'k', nack = 'no' }]",
    "[amqp]\nendpoints = [{ name = 'e', destination = 1, broker = 'b', routing_key = 'k' }]",
    "[amqp]\nqueues = [{ broker = 'b', queue = 'q', prefetch = 0 }]",
    "[peers]\nlisten = 'x'",
    "[peers]\nseeds = ['x:1']",
    "[peers]\nperiod_s = 0",
    "[accord]\nvoters = [0]",
    "[accord]\nvoters = [0, 0]",
    "[accord]\nbound_s = 20.0",
    "[accord]\nbound = 2.0",
    "[accord]\nstandby = 0",
    "[accord]\nfirst = { destinations = { '7' = { rate = -1 } } }",
    "[accord]\nfirst = { destinations = { '7' = { rte = 1 } } }",
    "[accord]\nfirst = { destinations = { seven = { rate = 1 } } }",
    "[accord]\nfirst = { classes = { c = { effect = 'none' } } }",
    "[accord]\nvoters = [0]\n[peers]\nlisten = '10.0.0.1:1'",
    "[accord]\nvoters = [1]\n[peers]\nlisten = '127.0.0.1:1'",
    "[failover]\nzones = { z = {} }",
    "[failover]\nzones = { z = {}, y = { regon = 'r' } }",
    "[failover]\nzones = { z = {}, y = {} }",
    "[failover]\nclasses = { c = { worth = 0 } }",
    "[failover]\nclasses = { c = { stay = 'here' } }",
    "[failover]\nzone_price = 0.3",
    "[shards]\nkeepers = [0]",
    "[shards]\nkeepers = [0, 0]",
    "[shards]\ncount = 3",
    "[shards]\nepoch = 0",
    "[shards]\nfile = 'f'",
    "[shards]\nkeepers = [1]\n[peers]\nlisten = '127.0.0.1:1'",
    "[shards]\nkeepers = [0]\n[peers]\nlisten = '10.0.0.1:1'",
    "fleet = 1",
)


def operator_errors() -> Values:
    return {text: operator.operator_error(text) for text in INVALID_OPERATOR_FILES}


def platform_environment(folder: str, **changed: Any) -> dict[str, str]:
    path = Path(folder, "config.json")
    config: Values = json.loads((FIXTURES / "platform.json").read_text())
    for name, value in changed.items():
        if value is None:
            config.pop(name, None)
        else:
            config[name] = value
    path.write_text(json.dumps(config))
    return {"RELAY_CONFIG": str(path)}


def _settings(section: str, **changed: Any) -> str:
    settings: Values = json.loads((FIXTURES / "platform.json").read_text())["settings"]
    section_values = settings[section][0] if isinstance(settings[section], list) else settings[section]
    for name, value in changed.items():
        section_values[name.replace("_", "-")] = value
    return json.dumps(settings)


def _top_level_settings(**changed: Any) -> str:
    settings: Values = json.loads((FIXTURES / "platform.json").read_text())["settings"]
    return json.dumps(settings | {name.replace("_", "-"): value for name, value in changed.items()})


SAFETY_FIGURES = (
    "answer_slack_ms",
    "drain_grace_ms",
    "cold_from",
    "fall_multiple",
    "fall_ms",
    "ask_within_ms",
    "key_quiet_ms",
)


def platform_files() -> Values:
    names = {
        "RELAY_NAME": "other",
        "RELAY_LISTEN": "[::1]:7008",
        "RELAY_STATE": "/elsewhere",
        "RELAY_DISCOVERY": "agent:1",
    }
    with tempfile.TemporaryDirectory() as folder:
        unnamed_environment = platform_environment(folder, name=None, listen=None, state=None, discovery=None)
        results: Values = {
            "by variables": operator.platform_names({**unnamed_environment, **names}),
            "by the service manager": operator.platform_names(
                {
                    **unnamed_environment,
                    **names,
                    "RELAY_STATE": "",
                    "STATE_DIRECTORY": "/var/lib/a:/var/lib/b",
                }
            ),
            "all keys": operator.platform_values(platform_environment(folder)),
            "variables beside the file": operator.platform_names({**platform_environment(folder), **names}),
        }
        invalid_environments = {
            "no variable": {},
            "no file": {"RELAY_CONFIG": folder + "/missing"},
            "no name": platform_environment(folder, name=None),
        }
        results["faults"] = {name: operator.platform_error(env) for name, env in invalid_environments.items()}
        for name, changed in (
            ("no place to listen", {"listen": "nowhere"}),
            ("no agent", {"discovery": None}),
            ("few sockets", {"limits": {"sockets": 10}}),
            ("no disk", {"limits": {"disk_mb": 0}}),
            ("no memory", {"limits": {"memory_mb": 0}}),
            ("little memory", {"limits": {"memory_mb": 24.01}}),
            ("sockets as text", {"limits": {"sockets": "many"}}),
            ("bad seed", {"seed": "xyz"}),
            ("no settings", {"settings": None}),
        ):
            results["faults"][name] = operator.platform_error(platform_environment(folder, **changed))
        results["faults"] = {
            name: error.replace(folder, FOLDER_MASK) for name, error in results["faults"].items()
        }
    results["faults of settings"] = {
        "effect": operator.settings_error(_settings("classes", effect="some")),
        "aim": operator.settings_error(_settings("classes", aim_ms=0)),
        "deadline": operator.settings_error(_settings("classes", deadline_ms=-1)),
        "scope": operator.settings_error(_settings("classes", dedup_scope="some")),
        "a class twice": operator.settings_error(_settings("classes", name="pay")),
        "calls": operator.settings_error(_settings("extra", call_slots=0)),
        "held": operator.settings_error(_settings("limits", open_cap="x")),
        "attempts": operator.settings_error(_settings("limits", try_limit=0)),
        "quota": operator.settings_error(_settings("orgs", quota_per_s=-1)),
        "safety": operator.settings_error(_settings("safety", cold_ms=-1)),
        "streams": operator.settings_error(_settings("limits", streams_per_conn=0)),
        "idle": operator.settings_error(_settings("limits", conn_idle_ms=-1)),
        "connecting": operator.settings_error(_settings("limits", connect_timeout_ms=-1)),
        "advice": operator.settings_error(_settings("limits", max_retry_after_ms=-1)),
        "nothing held": operator.settings_error(_settings("limits", open_cap=0)),
        "batch": operator.settings_error(_settings("extra", per_call=[0, 1])),
        "worth": operator.settings_error(_settings("classes", worth=-1)),
        "late share": operator.settings_error(_settings("classes", late_share=2)),
        "relays": operator.settings_error(_top_level_settings(balancers=0)),
        "worth over the share": operator.settings_error(_top_level_settings(over_share_worth=-1)),
        "tick": operator.settings_error(_top_level_settings(tick_ms=0)),
        "nothing": operator.settings_error("{}"),
    }
    results["faults of settings"] |= {
        f"safety {name}": operator.settings_error(_settings("safety", **{name: -1}))
        for name in SAFETY_FIGURES
    }
    return results


def variables() -> Values:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "relay.toml")
        path.write_text("[fleet]\ninstances = 3\n")
        operator_environment = {"RELAY_OPERATOR": str(path)}
        environments = {
            "no file": {},
            "number": {**operator_environment, "RELAY_INSTANCE": "2"},
            "no number": operator_environment,
            "not among them": {**operator_environment, "RELAY_INSTANCE": "3"},
            "retiring": {**operator_environment, "RELAY_INSTANCE": "3", "RELAY_RETIRE": "1"},
            "of another size": {**operator_environment, "RELAY_INSTANCE": "3", "RELAY_INSTANCES": "4"},
            "no size": {**operator_environment, "RELAY_INSTANCES": "x"},
        }
        results: Values = {name: operator.fleet_position(env) for name, env in environments.items()}
    pid = str(os.getpid())
    results["status folder"] = operator.status_folder("", {"RUNTIME_DIRECTORY": "/run/a:/run/b"})
    results["status folder of the file"] = operator.status_folder("/run/c", {"RUNTIME_DIRECTORY": "/run/a"})
    results["lifeline"] = operator.lifeline_error({"RELAY_LIFELINE": "x"})
    results["sockets"] = operator.service_manager_error({"LISTEN_PID": pid, "LISTEN_FDS": "x"})
    results["socket names"] = operator.service_manager_error(
        {"LISTEN_PID": pid, "LISTEN_FDS": "1", "LISTEN_FDNAMES": "a:b"}
    )
    results["notifications"] = operator.service_manager_error({"NOTIFY_SOCKET": "x"})
    results["watchdog"] = operator.service_manager_error({"WATCHDOG_USEC": "x"})
    manager = {"NOTIFY_SOCKET": "/run/notify", "WATCHDOG_USEC": "10000000", "WATCHDOG_PID": pid, "OTHER": ""}
    results["notifier"] = operator.notifier_values(manager)
    results["notifications of a life"] = notifications()
    results["name of the clients' socket"] = operator.client_socket_name()
    return results


def notifications() -> list[str]:
    """Returns the notifications to the service manager, with the time of the reload masked."""
    with tempfile.TemporaryDirectory() as folder, socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as manager:
        address = str(Path(folder, "notify"))
        manager.bind(address)
        operator.notify_through_lifecycle(address)
        manager.setblocking(False)
        return [RELOAD_TIME.sub("TIME", manager.recv(4096).decode()) for _ in range(NOTIFICATIONS)]

"""What operators and the platform set: files and environments, and what is read from them or refused."""

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
MOMENT = re.compile(r"(?<=MONOTONIC_USEC=)\d+")
NOTIFICATIONS = 4  # of one life


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
    """Every key that is read, as a dotted path."""
    return {"operator's file": operator.operator_keys(), "platform's file": operator.platform_keys()}


OPERATOR_FAULTS = (
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


def operator_faults() -> Values:
    return {text: operator.operator_fault(text) for text in OPERATOR_FAULTS}


def platform_environment(folder: str, **changed: Any) -> dict[str, str]:
    path = Path(folder, "config.json")
    raw: Values = json.loads((FIXTURES / "platform.json").read_text())
    for name, value in changed.items():
        if value is None:
            raw.pop(name, None)
        else:
            raw[name] = value
    path.write_text(json.dumps(raw))
    return {"RELAY_CONFIG": str(path)}


def _settings(section: str, **changed: Any) -> str:
    raw: Values = json.loads((FIXTURES / "platform.json").read_text())["settings"]
    part = raw[section][0] if isinstance(raw[section], list) else raw[section]
    for name, value in changed.items():
        part[name.replace("_", "-")] = value
    return json.dumps(raw)


def _whole_settings(**changed: Any) -> str:
    raw: Values = json.loads((FIXTURES / "platform.json").read_text())["settings"]
    return json.dumps(raw | {name.replace("_", "-"): value for name, value in changed.items()})


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
        bare = platform_environment(folder, name=None, listen=None, state=None, discovery=None)
        found: Values = {
            "by variables": operator.platform_names({**bare, **names}),
            "by the service manager": operator.platform_names(
                {**bare, **names, "RELAY_STATE": "", "STATE_DIRECTORY": "/var/lib/a:/var/lib/b"}
            ),
            "all keys": operator.platform_values(platform_environment(folder)),
            "variables beside the file": operator.platform_names({**platform_environment(folder), **names}),
        }
        faults = {
            "no variable": {},
            "no file": {"RELAY_CONFIG": folder + "/missing"},
            "no name": platform_environment(folder, name=None),
        }
        found["faults"] = {name: operator.platform_fault(env) for name, env in faults.items()}
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
            found["faults"][name] = operator.platform_fault(platform_environment(folder, **changed))
        found["faults"] = {name: why.replace(folder, FOLDER_MASK) for name, why in found["faults"].items()}
    found["faults of settings"] = {
        "effect": operator.settings_fault(_settings("classes", effect="some")),
        "aim": operator.settings_fault(_settings("classes", aim_ms=0)),
        "deadline": operator.settings_fault(_settings("classes", deadline_ms=-1)),
        "scope": operator.settings_fault(_settings("classes", dedup_scope="some")),
        "a class twice": operator.settings_fault(_settings("classes", name="pay")),
        "calls": operator.settings_fault(_settings("extra", call_slots=0)),
        "held": operator.settings_fault(_settings("limits", open_cap="x")),
        "attempts": operator.settings_fault(_settings("limits", try_limit=0)),
        "quota": operator.settings_fault(_settings("orgs", quota_per_s=-1)),
        "safety": operator.settings_fault(_settings("safety", cold_ms=-1)),
        "streams": operator.settings_fault(_settings("limits", streams_per_conn=0)),
        "idle": operator.settings_fault(_settings("limits", conn_idle_ms=-1)),
        "connecting": operator.settings_fault(_settings("limits", connect_timeout_ms=-1)),
        "advice": operator.settings_fault(_settings("limits", max_retry_after_ms=-1)),
        "nothing held": operator.settings_fault(_settings("limits", open_cap=0)),
        "batch": operator.settings_fault(_settings("extra", per_call=[0, 1])),
        "worth": operator.settings_fault(_settings("classes", worth=-1)),
        "late share": operator.settings_fault(_settings("classes", late_share=2)),
        "relays": operator.settings_fault(_whole_settings(balancers=0)),
        "worth over the share": operator.settings_fault(_whole_settings(over_share_worth=-1)),
        "tick": operator.settings_fault(_whole_settings(tick_ms=0)),
        "nothing": operator.settings_fault("{}"),
    }
    found["faults of settings"] |= {
        f"safety {name}": operator.settings_fault(_settings("safety", **{name: -1}))
        for name in SAFETY_FIGURES
    }
    return found


def variables() -> Values:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "relay.toml")
        path.write_text("[fleet]\ninstances = 3\n")
        told = {"RELAY_OPERATOR": str(path)}
        places = {
            "no file": {},
            "number": {**told, "RELAY_INSTANCE": "2"},
            "no number": told,
            "not among them": {**told, "RELAY_INSTANCE": "3"},
            "retiring": {**told, "RELAY_INSTANCE": "3", "RELAY_RETIRE": "1"},
            "of another size": {**told, "RELAY_INSTANCE": "3", "RELAY_INSTANCES": "4"},
            "no size": {**told, "RELAY_INSTANCES": "x"},
        }
        found: Values = {name: operator.fleet_place(env) for name, env in places.items()}
    pid = str(os.getpid())
    found["status folder"] = operator.status_folder("", {"RUNTIME_DIRECTORY": "/run/a:/run/b"})
    found["status folder of the file"] = operator.status_folder("/run/c", {"RUNTIME_DIRECTORY": "/run/a"})
    found["lifeline"] = operator.lifeline_fault({"RELAY_LIFELINE": "x"})
    found["sockets"] = operator.service_manager_fault({"LISTEN_PID": pid, "LISTEN_FDS": "x"})
    found["socket names"] = operator.service_manager_fault(
        {"LISTEN_PID": pid, "LISTEN_FDS": "1", "LISTEN_FDNAMES": "a:b"}
    )
    found["notifications"] = operator.service_manager_fault({"NOTIFY_SOCKET": "x"})
    found["watchdog"] = operator.service_manager_fault({"WATCHDOG_USEC": "x"})
    manager = {"NOTIFY_SOCKET": "/run/notify", "WATCHDOG_USEC": "10000000", "WATCHDOG_PID": pid, "OTHER": ""}
    found["notifier"] = operator.notifier_values(manager)
    found["notifications of a life"] = notifications()
    found["name of the clients' socket"] = operator.clients_socket_name()
    return found


def notifications() -> list[str]:
    """What the service manager is told, but for the time of the reload."""
    with tempfile.TemporaryDirectory() as folder, socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as manager:
        address = str(Path(folder, "notify"))
        manager.bind(address)
        operator.notify_through_a_life(address)
        manager.setblocking(False)
        return [MOMENT.sub("TIME", manager.recv(4096).decode()) for _ in range(NOTIFICATIONS)]

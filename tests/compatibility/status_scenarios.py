"""Output for operators: reports, metrics, and answers to requests on the admin socket."""

from __future__ import annotations

import asyncio
import json
import tempfile
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from . import status_binding as status
from .operator_scenarios import platform_environment

Values = dict[str, Any]
PATIENCE_S = 20.0  # only a hang reaches this limit


def run(work: Coroutine[Any, Any, Any]) -> Any:
    return asyncio.run(asyncio.wait_for(work, PATIENCE_S))


def key_types(value: object, path: str = "") -> dict[str, str]:
    """Returns all keys as dotted paths, with the types of their values."""
    if isinstance(value, dict):
        types = {path: "object"} if path else {}
        for key, child in value.items():
            types |= key_types(child, f"{path}.{key}" if path else str(key))
        return types
    if isinstance(value, list | tuple):
        types = {path: "list"}
        for child in value:
            types |= key_types(child, f"{path}[]")
        return types
    return {path: "null" if value is None else type(value).__name__}


# -- status ------------------------------------------------------------------------------------------------

REPORT: Values = {
    "name": "n0",
    "instance": 0,
    "instances": 2,
    "pid": 4242,
    "state": "serving",
    "at_ms": 1700000000000.5,
    "up_s": 12.5,
    "held": 3,
    "hold": 20,
    "by_class": {"safe": 1, "pay": 2},
    "slots_out": 2,
    "slots": 8,
    "ends_waiting": 1,
    "reading": 4,
    "journal_bytes": 5000,
    "journal_live": 3000,
    "journal_limit": 3_000_000,
    "rss_mb": 42.5,
    "cpu_s": 1.5,
    "lag": {"median_ms": 0.1, "p99_ms": 2.5, "most_ms": 3.5},
    "destinations": [
        {
            "destination": 7,
            "route": 2,
            "endpoints": 3,
            "held": 2,
            "out": 1,
            "pace": 12.5,
            "part": 0.5,
            "blame": 0.25,
            "down": True,
            "wait_ms": 250.0,
            "cold_ms": 100.0,
            "latency_ms": 12.5,
        },
        {
            "destination": 8,
            "route": None,
            "endpoints": 1,
            "held": 0,
            "out": 0,
            "pace": 1.0,
            "part": None,
            "blame": 0.0,
            "down": False,
            "wait_ms": 0.0,
            "cold_ms": None,
            "latency_ms": 0.0,
        },
    ],
    "more": 1,
    "shards": {"reader": {"version": [1, 402], "age_s": 1.25, "behind": False}},
}
FLEET: Values = {
    "pid": 4241,
    "at_ms": 1700000000000.5,
    "instances": 2,
    "up": 1,
    "stopping": True,
    "rolling": 1,
    "lines": [
        {
            "instance": 1,
            "state": "down",
            "pid": None,
            "for_s": 2.5,
            "crashes": 5,
            "crash_loop": True,
            "restarts": 6,
            "start_s": 0.5,
            "why": "it ended with code 1",
        }
    ],
}


def status_shown() -> Values:
    return {
        "json": status.status_json([REPORT], FLEET, ["1.sock: no answer"]),
        "json of nothing": status.status_json([], None, []),
        "metrics": status.status_metrics([REPORT], FLEET),
        "tables": status.status_tables([REPORT], FLEET, ["1.sock: no answer"]),
        "states of instances": status.instance_states(),
        "states of pairs of zones": status.zone_pair_states(),
        "labels of rules": status.rules_labels(),
    }


async def _reports_over_sockets() -> Values:
    with tempfile.TemporaryDirectory() as folder:
        raw, decoded = await status.status_over_socket(Path(folder, "0.sock"), REPORT, False)
        fleet_raw, fleet_decoded = await status.status_over_socket(Path(folder, "f.sock"), FLEET, True)
    return {
        "report": raw.decode(),
        "report as understood": decoded,
        "fleet": fleet_raw.decode(),
        "fleet as understood": fleet_decoded,
    }


def status_sockets() -> Values:
    reports: Values = run(_reports_over_sockets())
    return reports


# -- a whole instance --------------------------------------------------------------------------------------

VOTING_OPERATOR_FILE: Values = {
    "fleet": {"instances": 2},
    "peers": {"listen": "127.0.0.1:4100"},
    "accord": {"voters": [0]},
    "failover": {"zones": {"z": {}, "y": {}}, "budget_ms": 10_000.0},  # ample for a slow machine
}
SHARD_SERVER_OPERATOR_FILE: Values = {
    "fleet": {"instances": 2},
    "peers": {"listen": "127.0.0.1:4100"},
    "shards": {"keepers": [0]},
}
REQUESTS: tuple[Values, ...] = (
    {"ask": "status"},
    {"ask": "history"},
    {"ask": "version", "number": 1},
    {"ask": "version", "number": 9},
    {"ask": "explain", "message": "m-1"},
    {"ask": "zones"},
    {"ask": "plan", "name": "y"},
    {"ask": "promote", "number": 2, "author": "operator"},
    {"ask": "evacuate", "name": "x", "author": "operator", "cause": "c"},
    {"ask": "forget", "name": "n9", "author": "operator"},
    {"ask": "voters", "add": 1, "author": "operator"},
    {"ask": "weather"},
    {"asks": "status"},
    {"ask": "status", "number": "x"},
)
VARYING_KEYS = {"at_ms", "since s", "lease left s"}  # times in an answer


def masked(value: Any) -> Any:
    """Masks the times in an answer."""
    if isinstance(value, dict):
        return {key: "TIME" if key in VARYING_KEYS else masked(child) for key, child in value.items()}
    return [masked(child) for child in value] if isinstance(value, list) else value


async def _voting_instance() -> Values:
    with tempfile.TemporaryDirectory() as folder:
        env = platform_environment(folder, state=folder + "/state", known=None)
        Path(folder, "state").mkdir()
        operator_file = {**VOTING_OPERATOR_FILE, "status": {"folder": folder}}
        instance = status.Instance(Path(env["RELAY_CONFIG"]), operator_file)
        instance.authorize_call("m-1")
        instance.report_failing_zone()
        results: Values = {
            "kinds of messages": instance.message_kinds(),
            "name of the socket": instance.admin_socket_name(),
            "keys of the report": key_types(instance.report()),
            "version on a connection": (await instance.frame_answer("version", b"\x01")).hex(),
            "unknown version on a connection": (await instance.frame_answer("version", b"\x09")).hex(),
            "boot on a connection": (await instance.frame_answer("boot", b"\x92\xa4id-1\x07")).hex(),
            "command on a connection": (await instance.frame_answer("command", b"{}")).decode(),
            "answers": {
                json.dumps(request): masked(await instance.admin_answer(request)) for request in REQUESTS
            },
        }
        await instance.close()
        return results


async def _shard_server_instance() -> Values:
    with tempfile.TemporaryDirectory() as folder:
        env = platform_environment(folder, state=folder + "/state", known=None)
        Path(folder, "state").mkdir()
        instance = status.Instance(Path(env["RELAY_CONFIG"]), SHARD_SERVER_OPERATOR_FILE)
        results = {
            "kinds of messages": instance.message_kinds(),
            "keys of the report": key_types(instance.shards_report()),
        }
        await instance.close()
        return results


def instances() -> Values:
    return {"agreeing": run(_voting_instance()), "keeping": run(_shard_server_instance())}


def log_of_voters() -> Values:
    """Returns the frame kind of voters and a command in a frame; a library defines the rest of the format."""

    async def work() -> tuple[str, bytes]:
        with tempfile.TemporaryDirectory() as folder:
            return status.log_command(Path(folder), b'{"type":"promote","number":6,"author":"operator"}')

    kind, entry = run(work())
    return {"kind of frames": kind, "command": entry.hex()}

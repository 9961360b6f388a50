"""Measures the cost of a list of destinations for a relay: the full list, one change, and the maintenance of
each second.

The relay is composed as in service (composition.py), with no sockets open. A list has the form that a
register sends, with one endpoint for each destination. It is processed like a response of the agent:
`parse_listing`, `Relay.on_endpoint_update`, and a turn of the driver.
"""

from __future__ import annotations

import asyncio
import json
import random
import statistics
import tempfile
import time
from collections.abc import Callable, Mapping
from pathlib import Path

from benchmarks.relay import settings
from message_relay import config
from message_relay.composition import ComposedRelay, compose
from message_relay.gc_policy import run_gc_policy
from message_relay.http.discovery_client import parse_listing
from message_relay.process_memory import resident_bytes

from .form import Measure

SIZES, LARGEST = (5_000, 10_000, 20_000, 40_000), 360_000
CHANGES = 200  # in sequence, each of one endpoint
SWEEPS = 5  # the result is the median


def endpoint_json(number: int, lifecycle: str = "ready", port: int = 8080) -> str:
    """Return an endpoint in the form that a register sends, about 150 bytes."""
    host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:{port}"
    return (
        f'{{"instanceId":"s-{number:08x}","hostPort":"{host}","zone":"z","machineType":"k",'
        f'"cell":{number},"lifecycle":"{lifecycle}","weight":8.3,"startedAtMs":1750000000000}}'
    )


def full_list(size: int) -> bytes:
    """Return a full list."""
    text = bytearray(b'{"generation":1,"reset":true,"instances":[')
    for number in range(1, size + 1):
        text += (b"," if number > 1 else b"") + endpoint_json(number).encode()
    return bytes(text + b"]}")


def relay(folder: Path) -> ComposedRelay:
    """Return a relay with an empty list. It is not started: it has no sockets and no background tasks."""
    (folder / "state").mkdir()
    raw = {
        "name": "b",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "state": str(folder / "state"),
        "settings": settings(1000),
    }
    (folder / "config.json").write_text(json.dumps(raw))
    built = compose(config.load({"RELAY_CONFIG": str(folder / "config.json")}))
    built.relay.is_dispatching = True  # as after the first list: updates go to the decisions
    return built


async def run_in_service(work: Callable[[ComposedRelay], Mapping[str, float]]) -> Mapping[str, float]:
    """Run `work` on an event loop, with the garbage collection policy of the daemon."""
    with tempfile.TemporaryDirectory() as name:
        built = relay(Path(name))
        gc_task = asyncio.create_task(run_gc_policy(lambda: 0))
        await asyncio.sleep(0)
        try:
            return work(built)
        finally:
            gc_task.cancel()
            built.relay.driver.stop()
            built.relay.journal.close()


def process_response(built: ComposedRelay, body: bytes) -> tuple[float, float]:
    """Process a response in two turns of the loop, first the source's, then the decisions'.

    Returns the time of each in ms.
    """
    started_at = time.perf_counter()
    _, update = parse_listing(json.loads(body))
    built.relay.on_endpoint_update(update)
    listed_at = time.perf_counter()
    built.relay.driver.run_turn()
    return 1e3 * (listed_at - started_at), 1e3 * (time.perf_counter() - listed_at)


def peak_rss_mb() -> float:
    """Return the peak resident memory of this process (proc(5), status)."""
    line = next(line for line in Path("/proc/self/status").read_text().splitlines() if line[:6] == "VmHWM:")
    return int(line.split()[1]) * 1024 / 1e6


def measure(size: int) -> Mapping[str, float]:
    """Run all measures in one process, because a list of 360,000 takes long to build."""

    def work(built: ComposedRelay) -> Mapping[str, float]:
        body = full_list(size)
        before, cpu = resident_bytes(), time.process_time()
        turns = process_response(built, body)
        cpu = time.process_time() - cpu
        after, peak = resident_bytes(), 1e6 * peak_rss_mb()
        assert len(built.relay.scheduler.endpoints) == size
        return {
            "list.json_bytes": float(len(body)),
            "list.turn_ms": max(turns),
            "list.cpu_ms": 1e3 * cpu,
            "list.memory_bytes": after - before,
            "list.peak_bytes": peak - before + len(body),
            "change.cpu_ms": change_ms(built, size),
            "sweep.cpu_ms": sweep_ms(built),
        }

    return asyncio.run(run_in_service(work))


def change_ms(built: ComposedRelay, size: int) -> float:
    rng, times = random.Random(1), []
    for number in (rng.randint(1, size) for _ in range(CHANGES)):
        for entry in (endpoint_json(number, "draining"), endpoint_json(number, port=8081)):
            body = f'{{"generation":2,"reset":false,"instances":[{entry}]}}'.encode()
            cpu = time.process_time()
            process_response(built, body)
            times.append(1e3 * (time.process_time() - cpu))
    assert len(built.relay.scheduler.endpoints) == size
    return statistics.median(times)


def sweep_ms(built: ComposedRelay) -> float:
    times = []
    for _ in range(SWEEPS):
        cpu = time.process_time()
        built.relay.run_maintenance()
        times.append(1e3 * (time.process_time() - cpu))
    return statistics.median(times)


MEASURES: tuple[Measure, ...] = (
    Measure(
        "directory",
        "destination",
        SIZES,
        LARGEST,
        {
            "list.json_bytes": "bytes",
            "list.turn_ms": "ms",
            "list.cpu_ms": "ms",
            "list.memory_bytes": "bytes",
            "list.peak_bytes": "bytes",
            "change.cpu_ms": "ms",
            "sweep.cpu_ms": "ms",
        },
        measure,
        "message_relay/core/directory.py, decisions/endpoint_registry.py, core/relay.py",
        "one endpoint a destination. list: taken whole; turn_ms: the longer of the source's turn and the "
        "decisions'; peak_bytes: while it is taken, the answer's body counted once. change: one endpoint "
        f"drains or comes at another port, median of {2 * CHANGES}. sweep: what is done once a second",
    ),
)

"""What a list of so many destinations costs a relay: taken whole, one change of it, and each second's look.

The relay is put together as in service (assembly.py), with no sockets open. A list is written as a register
writes it, one endpoint for each destination, and goes the way of an answer: `read`, `Host.listed`, `Turns`.
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
from message_relay.fleet.report import resident_memory_mb
from message_relay.gc_policy import run_gc_policy
from message_relay.http.discovery_client import parse_listing

from .form import Measure

SIZES, LARGEST = (5_000, 10_000, 20_000, 40_000), 360_000
CHANGES = 200  # one after another, each of one endpoint
SWEEPS = 5  # the median counts


def item(number: int, lifecycle: str = "ready", port: int = 8080) -> str:
    """An endpoint as a register writes it, 150 bytes or so."""
    host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:{port}"
    return (
        f'{{"instanceId":"s-{number:08x}","hostPort":"{host}","zone":"z","machineType":"k",'
        f'"cell":{number},"lifecycle":"{lifecycle}","weight":8.3,"startedAtMs":1750000000000}}'
    )


def answer(size: int) -> bytes:
    """A whole list."""
    text = bytearray(b'{"generation":1,"reset":true,"instances":[')
    for number in range(1, size + 1):
        text += (b"," if number > 1 else b"") + item(number).encode()
    return bytes(text + b"]}")


def relay(folder: Path) -> ComposedRelay:
    """One with nothing listed. It is not started: no sockets, and nothing that runs by itself."""
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
    built.relay.is_dispatching = True  # as after the first list: what is listed goes to the decisions
    return built


async def in_service(work: Callable[[ComposedRelay], Mapping[str, float]]) -> Mapping[str, float]:
    """On a loop, with the garbage tended as in service."""
    with tempfile.TemporaryDirectory() as name:
        built = relay(Path(name))
        tending = asyncio.create_task(run_gc_policy(lambda: 0))
        await asyncio.sleep(0)
        try:
            return work(built)
        finally:
            tending.cancel()
            built.relay.driver.stop()
            built.relay.journal.close()


def take(built: ComposedRelay, body: bytes) -> tuple[float, float]:
    """An answer in two turns of the loop, as it comes: the source's, and then the decisions'. ms of each."""
    begun = time.perf_counter()
    _, update = parse_listing(json.loads(body))
    built.relay.on_endpoint_update(update)
    then = time.perf_counter()
    built.relay.driver.run_turn()
    return 1e3 * (then - begun), 1e3 * (time.perf_counter() - then)


def most_rss_mb() -> float:
    """This process's resident memory at its most (proc(5), status)."""
    line = next(line for line in Path("/proc/self/status").read_text().splitlines() if line[:6] == "VmHWM:")
    return int(line.split()[1]) * 1024 / 1e6


def measured(size: int) -> Mapping[str, float]:
    """All in one process: a list of 360,000 takes long enough to make once."""

    def work(built: ComposedRelay) -> Mapping[str, float]:
        body = answer(size)
        before, cpu = 1e6 * resident_memory_mb(), time.process_time()
        turns = take(built, body)
        cpu = time.process_time() - cpu
        after, most = 1e6 * resident_memory_mb(), 1e6 * most_rss_mb()
        assert len(built.relay.scheduler.endpoints) == size
        return {
            "list.json_bytes": float(len(body)),
            "list.turn_ms": max(turns),
            "list.cpu_ms": 1e3 * cpu,
            "list.memory_bytes": after - before,
            "list.peak_bytes": most - before + len(body),
            "change.cpu_ms": changed(built, size),
            "sweep.cpu_ms": swept(built),
        }

    return asyncio.run(in_service(work))


def changed(built: ComposedRelay, size: int) -> float:
    rng, took = random.Random(1), []
    for number in (rng.randint(1, size) for _ in range(CHANGES)):
        for what in (item(number, "draining"), item(number, port=8081)):
            body = f'{{"generation":2,"reset":false,"instances":[{what}]}}'.encode()
            cpu = time.process_time()
            take(built, body)
            took.append(1e3 * (time.process_time() - cpu))
    assert len(built.relay.scheduler.endpoints) == size
    return statistics.median(took)


def swept(built: ComposedRelay) -> float:
    took = []
    for _ in range(SWEEPS):
        cpu = time.process_time()
        built.relay.run_maintenance()
        took.append(1e3 * (time.process_time() - cpu))
    return statistics.median(took)


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
        measured,
        "message_relay/core/directory.py, decisions/endpoint_registry.py, core/relay.py",
        "one endpoint a destination. list: taken whole; turn_ms: the longer of the source's turn and the "
        "decisions'; peak_bytes: while it is taken, the answer's body counted once. change: one endpoint "
        f"drains or comes at another port, median of {2 * CHANGES}. sweep: what is done once a second",
    ),
)

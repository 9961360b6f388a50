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
from linnetstile import config
from linnetstile.assembly import Assembly, assemble
from linnetstile.fleet.report import rss_mb
from linnetstile.garbage import tend
from linnetstile.http.register import read

from .form import Measure

SIZES, LARGEST = (2_500, 5_000, 10_000, 20_000, 40_000), 360_000
CHANGES = 200  # one after another, each of one endpoint
SWEEPS = 5  # the median counts


def item(number: int, lifecycle: str = "ready", port: int = 8080) -> str:
    """An endpoint as a register writes it, 150 bytes or so."""
    host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:{port}"
    return (f'{{"instanceId":"s-{number:08x}","hostPort":"{host}","zone":"z","machineType":"k",'
            f'"cell":{number},"lifecycle":"{lifecycle}","weight":8.3,"startedAtMs":1750000000000}}')


def answer(size: int) -> bytes:
    """A whole list."""
    text = bytearray(b'{"generation":1,"reset":true,"instances":[')
    for number in range(1, size + 1):
        text += (b"," if number > 1 else b"") + item(number).encode()
    return bytes(text + b"]}")


def relay(folder: Path) -> Assembly:
    """One with nothing listed. It is not started: no sockets, and nothing that runs by itself."""
    (folder / "state").mkdir()
    raw = {"name": "b", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "seed": "1",
           "state": str(folder / "state"), "settings": settings(1000)}
    (folder / "config.json").write_text(json.dumps(raw))
    built = assemble(config.load({"RELAY_CONFIG": str(folder / "config.json")}))
    built.host.open = True  # as after the first list: what is listed goes to the decisions
    return built


async def in_service(work: Callable[[Assembly], Mapping[str, float]]) -> Mapping[str, float]:
    """On a loop, with the garbage tended as in service."""
    with tempfile.TemporaryDirectory() as name:
        built = relay(Path(name))
        tending = asyncio.create_task(tend(lambda: 0))
        await asyncio.sleep(0)
        try:
            return work(built)
        finally:
            tending.cancel()
            built.host.turns.stop()
            built.host.journal.close()


def take(built: Assembly, body: bytes) -> tuple[float, float]:
    """An answer in two turns of the loop, as it comes: the source's, and then the decisions'. ms of each."""
    begun = time.perf_counter()
    _, update = read(json.loads(body))
    built.host.listed(update)
    then = time.perf_counter()
    built.host.turns.step()
    return 1e3 * (then - begun), 1e3 * (time.perf_counter() - then)


def most_rss_mb() -> float:
    """This process's resident memory at its most (proc(5), status)."""
    line = next(line for line in Path("/proc/self/status").read_text().splitlines() if line[:6] == "VmHWM:")
    return int(line.split()[1]) * 1024 / 1e6


def whole(size: int) -> Mapping[str, float]:
    def work(built: Assembly) -> Mapping[str, float]:
        body = answer(size)
        before, cpu = rss_mb() - len(body) / 1e6, time.process_time()
        turns = take(built, body)
        cpu = time.process_time() - cpu
        assert len(built.host.relay.doors) == size
        return {"json_bytes": float(len(body)), "turn_ms": max(turns), "cpu_ms": 1e3 * cpu,
                "memory_bytes": 1e6 * (rss_mb() - before) - len(body), "peak_bytes": 1e6 * (most_rss_mb() - before)}

    return asyncio.run(in_service(work))


def change(size: int) -> Mapping[str, float]:
    def work(built: Assembly) -> Mapping[str, float]:
        take(built, answer(size))
        rng, took = random.Random(1), []
        for number in (rng.randint(1, size) for _ in range(CHANGES)):
            for what in (item(number, "draining"), item(number, port=8081)):
                body = f'{{"generation":2,"reset":false,"instances":[{what}]}}'.encode()
                cpu = time.process_time()
                take(built, body)
                took.append(1e3 * (time.process_time() - cpu))
        assert len(built.host.relay.doors) == size
        return {"cpu_ms": statistics.median(took)}

    return asyncio.run(in_service(work))


def sweep(size: int) -> Mapping[str, float]:
    def work(built: Assembly) -> Mapping[str, float]:
        take(built, answer(size))
        took = []
        for _ in range(SWEEPS):
            cpu = time.process_time()
            built.host.tidy()
            took.append(1e3 * (time.process_time() - cpu))
        return {"cpu_ms": statistics.median(took)}

    return asyncio.run(in_service(work))


MEASURES: tuple[Measure, ...] = (
    Measure("directory.list", "destination", SIZES, LARGEST,
            {"json_bytes": "bytes", "turn_ms": "ms", "cpu_ms": "ms", "memory_bytes": "bytes",
             "peak_bytes": "bytes"}, whole, "linnetstile/core/directory.py, linnetstile/decisions/members.py",
            "one endpoint a destination; turn_ms: the longer of the source's turn and the decisions'; "
            "peak_bytes: while it is taken, the answer's body included once"),
    Measure("directory.change", "destination", SIZES, LARGEST, {"cpu_ms": "ms"}, change,
            "linnetstile/core/directory.py", f"one endpoint drains or comes at another port; median of "
            f"{2 * CHANGES}"),
    Measure("directory.sweep", "destination", SIZES, LARGEST, {"cpu_ms": "ms"}, sweep,
            "linnetstile/core/host.py", f"what is done once a second; median of {SWEEPS}"),
)

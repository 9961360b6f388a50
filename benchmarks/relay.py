"""Measures the cost of the complete relay at saturation, against a minimal relay in the same run.

    python -m benchmarks.relay [--json] [--seconds N] [--rounds N] [--held 64,300,1000,4000] [--rate 300]

One process of the relay, one partner that answers in 2 ms (fakes.endpoint), clients on persistent connections
that submit the next message as soon as the last one was answered, and pause after a rejection. The limit of
pending messages is therefore reached all the time: `delivered/s` is the throughput of the process, `CPU ms`
its processor time for each delivered message, and `p99` is over all 202s, in ms from the request's last byte.
The minimal relay (benchmarks.floor) has at most 64 pending messages. Then the same process gets `--rate`
messages a second, open loop (emulator.load): latencies count from the scheduled time. With PROFILE=FILE in
the environment, cProfile writes a profile of the program to FILE.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Iterator
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from emulator.clients import Clients, request
from emulator.live import free_ports
from emulator.load import Plan
from emulator.load import run as load

from .report import report

CLIENTS = 24
PAUSE_S = 0.02  # after a refusal
TICKS = os.sysconf("SC_CLK_TCK")
BODY = b"x" * 300


@dataclass(frozen=True, slots=True)
class Row:
    program: str
    held: int
    delivered_a_s: float
    cpu_ms: float
    p99_ms: float
    p50_ms: float
    worst_ms: float  # the longest wait for a 202: that of the client served last
    refused: int
    failed: int  # responses other than 202 and 503, or no response
    rss_mb: float
    open_p50_ms: float  # open loop, at `--rate`: from the scheduled time to the 202
    open_p99_ms: float
    open_p999_ms: float
    limit: str  # why the load generator was the bottleneck, if it was


@contextlib.contextmanager
def start_fake(*args: str) -> Iterator[str]:
    """Starts one of the fakes as a process and yields its address."""
    process = subprocess.Popen([sys.executable, "-m", *args], stdout=subprocess.PIPE, text=True)
    try:
        assert process.stdout is not None
        yield process.stdout.readline().split()[1]
    finally:
        process.send_signal(signal.SIGTERM)
        process.wait()


def settings(cap: int) -> dict[str, Any]:
    return {
        "az": 0,
        "balancers": 1,
        "zones": ["z"],
        "kinds": ["k"],
        "tick-ms": 5.0,
        "weight-kind": "nominal",
        "classes": [
            {
                "name": "order",
                "effect": "by_key",
                "aim-ms": 4000.0,
                "deadline-ms": 16000.0,
                "window-ms": 4000.0,
                "worth": 2.0,
                "late-share": 0.5,
            },
            {
                "name": "status",
                "effect": "repeatable",
                "aim-ms": 1500.0,
                "deadline-ms": 8000.0,
                "worth": 4.0,
                "late-share": 0.1,
            },
        ],
        "extra": {"call-slots": 64, "loses-worth": "halves"},
        "limits": {"open-cap": cap, "try-limit": 8, "conn-idle-ms": 10000.0, "connect-timeout-ms": 1500.0},
        "orgs": [{"name": "t", "quota-per-s": 1e6}],
        "safety": {
            "drain-grace-ms": 250.0,
            "cold-from": 0.2,
            "cold-ms": 9000.0,
            "fall-ms": 1500.0,
            "fall-multiple": 2.0,
        },
    }


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def rss_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


class Client:
    """Submits a message as soon as the last one was answered."""

    def __init__(self, number: int, port: int, ends: float) -> None:
        self.number, self.at, self.ends = number, ("127.0.0.1", port), ends
        self.waits: list[float] = []
        self.refused = self.failed = 0

    async def run(self) -> None:
        clients, n = Clients(wait_ms=5000.0), 0
        while time.perf_counter() < self.ends:
            n += 1
            class_, deadline_ms = ("status", 8000.0) if n % 4 == 0 else ("order", 16000.0)
            message_id = f"{self.number:x}-{n:x}-{os.getpid():x}"
            data = request(message_id, class_, 1, deadline_ms, BODY, f"k{message_id}")
            sent_at = time.perf_counter()
            response = await clients.hand_in(self.at, data)
            if response.taken:
                self.waits.append(time.perf_counter() - sent_at)
            else:
                self.refused += response.refused
                self.failed += not response.refused
                await asyncio.sleep(PAUSE_S)
        clients.close()


@contextlib.asynccontextmanager
async def program(module: str, cap: int, folder: Path, partner: str, agent: str) -> AsyncIterator[Any]:
    (port,) = free_ports(1)
    (folder / "state").mkdir()
    config = {
        "name": "b",
        "listen": f"127.0.0.1:{port}",
        "discovery": agent,
        "seed": "1",
        "state": str(folder / "state"),
        "settings": settings(cap),
        "limits": {"sockets": 1024, "memory_mb": 192, "disk_mb": 2000 if cap > 64 else 200},
        "known": json.loads((folder / "list").read_text()),
    }
    (folder / "config.json").write_text(json.dumps(config))
    profile = ["-m", "cProfile", "-o", os.environ["PROFILE"]] if "PROFILE" in os.environ else []
    process = subprocess.Popen(
        [sys.executable, *profile, "-m", module],
        env={**os.environ, "RELAY_CONFIG": str(folder / "config.json")},
        stderr=subprocess.DEVNULL,
    )
    try:
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                break
            await asyncio.sleep(0.05)
        yield process.pid, port
    finally:
        process.send_signal(signal.SIGTERM)
        process.wait()


async def measure(module: str, cap: int, seconds: float, rate: float) -> Row:
    with (
        tempfile.TemporaryDirectory() as name,
        start_fake("fakes.endpoint", "--ledger", f"{name}/ledger") as partner,
    ):
        folder = Path(name)
        entry = {
            "instanceId": "s-1",
            "hostPort": partner,
            "zone": "z",
            "machineType": "k",
            "cell": 1,
            "lifecycle": "ready",
            "weight": 1e6,
            "startedAtMs": 0,
        }
        (folder / "list").write_text(json.dumps({"generation": 1, "reset": True, "instances": [entry]}))
        with start_fake("fakes.discovery_agent", "--list", str(folder / "list")) as agent:
            async with program(module, cap, folder, partner, agent) as (pid, port):
                warm_up_s = 1.0 + cap / 1000  # until the limit of pending messages is reached
                started_at = time.perf_counter()
                clients = [Client(n, port, started_at + warm_up_s + seconds) for n in range(CLIENTS)]
                tasks = [asyncio.create_task(client.run()) for client in clients]
                await asyncio.sleep(warm_up_s)
                waits_before = [len(client.waits) for client in clients]
                cpu_before, measured_from = cpu_s(pid), time.perf_counter()
                lines_before = sum(1 for _ in (folder / "ledger").open())
                await asyncio.sleep(seconds)
                elapsed_s, cpu_used = time.perf_counter() - measured_from, cpu_s(pid) - cpu_before
                delivered = sum(1 for _ in (folder / "ledger").open()) - lines_before
                rss = rss_mb(pid)
                await asyncio.gather(*tasks)
                plan = Plan(
                    (("127.0.0.1", port),),
                    rate,
                    seconds,
                    classes=(("order", 0.75, 16000.0), ("status", 0.25, 8000.0)),
                    warm_s=seconds / 3,
                )
                open_loop = await asyncio.to_thread(load, plan)
    waits = sorted(
        1e3 * wait for client, n in zip(clients, waits_before, strict=True) for wait in client.waits[n:]
    )
    name = module.rpartition(".")[2]
    return Row(
        name,
        cap,
        delivered / elapsed_s,
        1e3 * cpu_used / max(1, delivered),
        waits[int(0.99 * len(waits))] if waits else float("inf"),
        statistics.median(waits or [0.0]),
        max(waits, default=0.0),
        sum(client.refused for client in clients),
        sum(client.failed for client in clients),
        rss,
        open_loop.ms(50),
        open_loop.ms(99),
        open_loop.ms(99.9),
        open_loop.limit,
    )


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.relay")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument(
        "--held", type=lambda text: [int(part) for part in text.split(",")], default=[64, 300, 1000, 4000]
    )
    parser.add_argument("--program", default="message_relay", help="modules to measure, separated by commas")
    parser.add_argument("--rate", type=float, default=300.0, help="messages a second, open loop")
    args = parser.parse_args()
    rows: list[dict[str, Any]] = []
    for _ in range(args.rounds):
        floor = asyncio.run(measure("benchmarks.floor", 64, args.seconds, args.rate))
        rows.append({**asdict(floor), "ratio": 1.0})
        for cap in args.held:
            for module in args.program.split(","):
                row = asyncio.run(measure(module, cap, args.seconds, args.rate))
                rows.append({**asdict(row), "ratio": row.cpu_ms / floor.cpu_ms})
    report(
        rows,
        args.json,
        (
            "program       held  delivered/s  CPU ms  ratio  p50 ms  p99 ms  worst ms  refused  failed"
            "  RSS MB  open p50   p99  p99.9  limit",
        ),
        "{program:11}{held:7}{delivered_a_s:13.0f}{cpu_ms:8.2f}{ratio:7.2f}{p50_ms:8.1f}{p99_ms:8.1f}"
        "{worst_ms:10.1f}{refused:9}{failed:8}{rss_mb:8.1f}"
        "{open_p50_ms:10.2f}{open_p99_ms:6.1f}{open_p999_ms:7.1f}  {limit}",
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Measures what clients can cost a real relay process, while usual clients use it.

    python -m benchmarks.costly_peers [--kinds half-body,idle] [--memory-mb 32,192] [--sockets 1024]
                                      [--seconds 8] [--json]

For each kind of costly client (benchmarks/costly_clients.py) and each memory limit, one relay process gets
hundreds of them, from another process, and usual clients beside. `peak` is the highest resident memory
(VmHWM), `after` the resident memory once the costly clients are gone, and `restart` the peak of the next
process, after a kill. `worst` is the longest time in which a usual client got its answer, `health` the same
of GET /healthz, and `none` counts usual requests without any answer. The exit code is 1 if a bound is
missed."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import tempfile
import time
import tomllib
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from emulator.clients import Address, request, said
from emulator.partner import Partner
from emulator.spec import Service, Spec
from fakes.discovery_agent import Agent
from fakes.endpoint import Endpoint

from .costly_clients import COSTLY_ANSWERS, LIFE_MS, SESSIONS, run_clients
from .kills import wait_until_healthy
from .process_memory import memory_mb
from .processes import settings
from .report import report
from .restarts import PORT, loopback_address
from .slow_discovery import entry

ROOT = Path(__file__).parent.parent
USUAL_CLIENTS, PAUSE_S = 6, 0.1
HEALTH_PAUSE_S = 0.2
LAG_CHECK_S = 0.01
GIVE_UP_S = 5.0
ANSWER_BOUND_S, HEALTH_BOUND_S = 0.4, 0.3  # a client's wait (PROTOCOL); a health check's
QUIET_S = 6.0  # for the relay to let go of what it held


@dataclass
class Row:
    kind: str
    memory_mb: float
    start_mb: float = 0.0
    peak_mb: float = 0.0
    after_mb: float = 0.0
    restart_mb: float = 0.0
    answered: int = 0
    refused: int = 0
    none: int = 0
    late: int = 0
    worst_s: float = 0.0
    health_s: float = 0.0
    exit_code: int | None = None
    broken: list[str] = field(default_factory=list)

    def judge(self) -> None:
        checks = {
            f"ended with {self.exit_code}": self.exit_code not in (None, 0),
            f"peak of {self.peak_mb:.1f} MB": self.peak_mb > self.memory_mb,
            f"start with that journal: {self.restart_mb:.1f} MB": self.restart_mb > self.memory_mb,
            f"{self.none} usual requests without an answer": self.none > 0,
            f"a usual answer after {self.worst_s:.2f} s": self.worst_s > ANSWER_BOUND_S,
            f"/healthz after {self.health_s:.2f} s": self.health_s > HEALTH_BOUND_S,
            "no usual message accepted": not self.answered and self.kind not in COSTLY_ANSWERS,
        }
        self.broken = [text for text, is_broken in checks.items() if is_broken]


class OwnLag:
    """How late this process itself was, which is not the relay's time."""

    def __init__(self) -> None:
        self.lags: list[tuple[float, float]] = []  # (until when, how late)

    async def watch(self) -> None:
        while True:
            slept_at = time.monotonic()
            await asyncio.sleep(LAG_CHECK_S)
            now = time.monotonic()
            if now - slept_at > 2 * LAG_CHECK_S:
                self.lags.append((now, now - slept_at - LAG_CHECK_S))

    def without(self, started: float, ended: float) -> float:
        """Returns the time between the two, without what this process was late in it."""
        late = sum(lag for at, lag in self.lags if started <= at <= ended)
        return max(0.0, ended - started - late)


class Visitor:
    """A usual client: one request at a time, on a connection that it keeps."""

    def __init__(self, address: Address, number: int, row: Row, lag: OwnLag) -> None:
        self.address, self.number, self.row, self.lag = address, number, row, lag
        self.count = 0

    async def run(self) -> None:
        while True:
            try:
                await self._use_connection()
            except OSError:
                self.row.none += 1
            await asyncio.sleep(PAUSE_S)

    async def _use_connection(self) -> None:
        reader, writer = await asyncio.open_connection(*self.address)
        try:
            while await self._hand_in(reader, writer):
                await asyncio.sleep(PAUSE_S)
        finally:
            writer.close()

    async def _hand_in(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        if reader.at_eof():
            return False
        self.count += 1
        name = f"v{self.number}-{self.count}"
        started = time.monotonic()
        writer.write(request(name, "status", 1, LIFE_MS, bytes(200), name))
        try:
            async with asyncio.timeout(GIVE_UP_S):
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().partition(b"content-length:")[2].split(b"\r", 1)[0]
                await reader.readexactly(int(length or 0))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.row.none += 1
            return False
        took_s = self.lag.without(started, time.monotonic())
        self.row.worst_s = max(self.row.worst_s, took_s)
        self.row.late += took_s > ANSWER_BOUND_S
        if said(head).taken:
            self.row.answered += 1
        else:
            self.row.refused += 1
        return b"connection: close" not in head.lower()


async def check_health(address: Address, row: Row, lag: OwnLag) -> None:
    while True:
        started = time.monotonic()
        try:
            async with asyncio.timeout(GIVE_UP_S):
                await wait_until_healthy(address[1], address[0])
        except TimeoutError:
            row.none += 1
        row.health_s = max(row.health_s, lag.without(started, time.monotonic()))
        await asyncio.sleep(HEALTH_PAUSE_S)


class Run:
    """One relay process with a discovery agent and an endpoint in this process."""

    def __init__(self, row: Row, folder: Path, sockets: int, disk_mb: float, open_cap: int) -> None:
        self.row, self.folder = row, folder
        self.limits = {"memory_mb": row.memory_mb, "sockets": sockets, "disk_mb": disk_mb}
        self.open_cap = open_cap
        self.address = (loopback_address(os.getpid()), PORT)
        self.process: asyncio.subprocess.Process | None = None

    async def set_up(self) -> None:
        """Starts the agent and the endpoint, and writes the configuration."""
        listen = await self._start_endpoint()
        known = {"generation": 1, "reset": True, "instances": [entry("s-1", listen, "ready")]}
        agent = await Agent(json.dumps(known).encode()).start()
        raw_settings = settings(0.25)
        raw_settings["limits"]["open-cap"] = self.open_cap
        (self.folder / "state").mkdir()
        config = {
            "name": "n",
            "listen": "{}:{}".format(*self.address),
            "discovery": "{}:{}".format(*agent.address),
            "seed": "1",
            "known": known,
            "state": str(self.folder / "state"),
            "settings": raw_settings,
            "limits": self.limits,
        }
        (self.folder / "config.json").write_text(json.dumps(config))

    async def _start_endpoint(self) -> Address:
        if self.row.kind in COSTLY_ANSWERS:
            server = await asyncio.start_server(self._answer_costly, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()[:2]
            return str(host), int(port)
        model = Partner(Spec(service=Service(10.0, cv=0.5)), random.Random(1))
        endpoint = Endpoint(model, ("127.0.0.1", 0))
        await endpoint.start()
        endpoint.start_model()
        return endpoint.listen

    async def _answer_costly(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head, rest = COSTLY_ANSWERS[self.row.kind]
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head)
            while rest:
                writer.write(rest)
                await writer.drain()
            await reader.read()
        writer.close()

    async def start(self) -> asyncio.subprocess.Process:
        """Starts the relay; its first answer to /healthz is there on return."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        command = str(deploy["run"]).replace(".venv/bin/python", sys.executable)
        env = {**os.environ, "RELAY_CONFIG": str(self.folder / "config.json")}
        with open(self.folder / "log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, env=env, cwd=ROOT, stdout=log, stderr=log
            )
        await wait_until_healthy(self.address[1], self.address[0])
        return self.process

    async def play(self, seconds: float) -> None:
        await self.set_up()
        process = await self.start()
        row = self.row
        await asyncio.sleep(0.5)
        row.start_mb = memory_mb(process.pid, "VmRSS")
        lag = OwnLag()
        visitors = [Visitor(self.address, number, row, lag).run() for number in range(USUAL_CLIENTS)]
        work = (*visitors, check_health(self.address, row, lag), lag.watch())
        tasks = [asyncio.ensure_future(each) for each in work]
        at = "{}:{}".format(*self.address)
        command = (
            "-m",
            "benchmarks.costly_peers",
            "--attack",
            row.kind,
            "--at",
            at,
            "--seconds",
            str(seconds),
        )
        attack = await asyncio.create_subprocess_exec(sys.executable, *command, cwd=ROOT)
        await attack.wait()
        await asyncio.sleep(QUIET_S)
        row.peak_mb = memory_mb(process.pid, "VmHWM")
        row.after_mb = memory_mb(process.pid, "VmRSS")
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if process.returncode is None:
            await self._restart()
        row.exit_code = await self._end(signal.SIGTERM)
        row.judge()

    async def _restart(self) -> None:
        """Kills the process; what its journal holds counts against the memory of the next one."""
        await self._end(signal.SIGKILL)
        successor = await self.start()
        await asyncio.sleep(1.0)
        self.row.restart_mb = memory_mb(successor.pid, "VmHWM")

    async def _end(self, number: signal.Signals) -> int:
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)
        return await self.process.wait()


async def run_all(args: argparse.Namespace) -> list[Row]:
    rows = []
    for limit in args.memory_mb.split(","):
        for kind in args.kinds.split(",") if args.kinds else SESSIONS:
            row = Row(kind, float(limit))
            with tempfile.TemporaryDirectory(prefix="message_relay-") as folder:
                await Run(row, Path(folder), args.sockets, args.disk_mb, args.open_cap).play(args.seconds)
                if args.log:
                    print((Path(folder) / "log").read_text(), file=sys.stderr)
            rows.append(row)
    return rows


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.costly_peers")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--kinds", default="", help="separated by commas; all by default")
    parser.add_argument("--memory-mb", default="32,192")
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--disk-mb", type=float, default=3.0)
    parser.add_argument("--open-cap", type=int, default=60)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--log", action="store_true", help="print the relay's log to standard error")
    parser.add_argument("--attack", help=argparse.SUPPRESS)  # the process of the costly clients
    parser.add_argument("--at", help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.attack:
        host, _, port = args.at.rpartition(":")
        asyncio.run(run_clients(args.attack, (host, int(port)), args.seconds))
        return 0
    rows = asyncio.run(run_all(args))
    dicts: list[dict[str, Any]] = [asdict(row) for row in rows]
    report(
        [{**row, "failures": len(row["broken"])} if not args.json else row for row in dicts],
        args.json,
        (
            "costly peers",
            "kind              limit   start    peak   after  restart  answered"
            "  refused  none   late  worst s  health s  broken",
        ),
        "{kind:16}{memory_mb:7.0f}{start_mb:8.1f}{peak_mb:8.1f}{after_mb:8.1f}{restart_mb:9.1f}{answered:10}"
        "{refused:9}{none:6}{late:7}{worst_s:9.2f}{health_s:10.2f}{failures:8}",
    )
    for row in rows:
        for text in row.broken:
            print(f"{row.kind} at {row.memory_mb:g} MB: {text}", file=sys.stderr)
    return 1 if any(row.broken for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())

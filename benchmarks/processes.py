"""A fleet of real processes under its supervisor, a partner with an agreed rate, and clients.

    python -m benchmarks.processes [--json] [--instances 40] [--rate 60] [--modes shared,alone] [--rolls 1]

The supervisor (`message_relay fleet`), the partner (fakes.endpoint) and the register (fakes.discovery_agent)
are processes of their own. Clients hand in at 80% of the rate, open loop, evenly over the instances. The
partner is down for 12 s, comes back at 18% of its rate and is warm 11 s later; then all instances are
restarted one by one, with traffic going on. `shared`: listed rates are kept together; `alone`: they are not.

`over 1 s`: the worst window of 1 s against the agreed rate; `over cold`: the worst of 1.5 s after the return
against what the partner can do in it. `delivered` is over all that was handed in, refusals counted. Calls
that find no connection while the partner is down can't be counted here: experiments/forty.toml does that.
"""

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
from bisect import bisect_left
from collections import Counter
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from emulator import clients as connections
from emulator.clients import request
from emulator.partner import Partner
from emulator.spec import Cold, Fault, Spec, Trouble
from fakes.endpoint import rated
from message_relay.fleet.report import FleetReport, Report
from message_relay.fleet.status import StatusError, fetch_report

from .report import report

CLASSES = (("order", "by_key", 16000, 51), ("pay", "once", 16000, 32), ("status", "repeatable", 8000, 17))
WARM_S = 11.0
COLD, FALL_MS = 0.18, 1500.0
READY_S = 60.0  # all instances are up by then, or the machine is too slow for the experiment
BODY = b"x" * 200


def settings(deadline_share: float = 1.0) -> dict[str, Any]:
    """In the platform's form."""
    return {
        "az": 0,
        "balancers": 1,
        "zones": ["z"],
        "kinds": ["k"],
        "tick-ms": 5.0,
        "weight-kind": "nominal",
        "classes": [
            {
                "name": name,
                "effect": effect,
                "aim-ms": deadline * deadline_share / 4,
                "deadline-ms": deadline * deadline_share,
                "window-ms": 4000.0,
                "worth": 1.0,
                "late-share": 0.5,
            }
            for name, effect, deadline, _ in CLASSES
        ],
        "extra": {"call-slots": 8, "loses-worth": "halves"},
        "limits": {
            "open-cap": 60,
            "try-limit": 8,
            "conn-idle-ms": 10000.0,
            "connect-timeout-ms": 1500.0,
            "max-retry-after-ms": 1000,
        },
        "orgs": [{"name": "t", "quota-per-s": 1e6}],
        "safety": {
            "answer-slack-ms": 20,
            "drain-grace-ms": 250,
            "cold-from": COLD,
            "cold-ms": WARM_S * 1000,
            "fall-ms": FALL_MS,
            "fall-multiple": 2.0,
        },
    }


@dataclass
class Clients:
    """One kept connection to each instance; a message is handed in when its time has come, whatever became of
    others. Without an answer in 2 s it is given up, and its id never used again."""

    port: int
    instances: int
    deadline_share: float = 1.0
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    asked: list[str] = field(default_factory=list)
    taken: dict[str, str] = field(default_factory=dict)  # and their classes
    to: dict[str, int] = field(default_factory=dict)  # the instance that took it
    answers: Counter[str] = field(default_factory=Counter)
    work: set[asyncio.Task[None]] = field(default_factory=set)
    kept: connections.Clients = field(default_factory=lambda: connections.Clients(2000.0))

    async def run(self, rate: float, seconds: float) -> list[str]:
        """The ids handed in."""
        loop = asyncio.get_running_loop()
        at, first = loop.time(), len(self.asked)
        ends = at + seconds
        while (at := at + self.rng.expovariate(rate)) < ends:
            await asyncio.sleep(max(0.0, at - loop.time()))
            task = asyncio.ensure_future(self.one(self.rng.randrange(self.instances)))
            self.work.add(task)
            task.add_done_callback(self.work.discard)
        await asyncio.gather(*self.work, return_exceptions=True)
        return self.asked[first:]

    async def one(self, n: int) -> None:
        ident = f"m{len(self.asked)}-{os.getpid():x}"
        self.asked.append(ident)
        class_, _, deadline, _ = self.rng.choices(CLASSES, [weight for *_, weight in CLASSES])[0]
        data = request(ident, class_, 1, deadline * self.deadline_share, BODY, f"k{ident}")
        status = (await self.kept.hand_in(("127.0.0.1", self.port + n), data)).status
        self.answers[status] += 1
        if status in ("202", "200"):
            self.taken[ident] = class_
            self.to[ident] = n

    async def stop(self, traffic: asyncio.Future[Any]) -> None:
        """Ends a `run`, and what is on its way of it."""
        traffic.cancel()
        await asyncio.gather(traffic, *self.work, return_exceptions=True)

    def close(self) -> None:
        self.kept.close()


@dataclass
class Fleet:
    """The processes, and what their ledgers say."""

    folder: Path
    instances: int
    rate: float
    shared: bool
    down_s: float = 12.0
    warm_s: float = WARM_S
    deadline_share: float = 1.0
    more: str = ""  # of the operator's file: its [supervisor] part
    settle_s: float = 20.0
    processes: dict[str, asyncio.subprocess.Process] = field(default_factory=dict)
    port: int = 0

    async def start(self, name: str, *args: str) -> str:
        with open(self.folder / f"{name}.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *args,
                stdout=asyncio.subprocess.PIPE if name != "fleet" else log,
                stderr=log,
            )
        self.processes[name] = process
        if process.stdout is None:
            return ""
        return (await process.stdout.readline()).decode().split()[1]

    async def set_up(self) -> None:
        self.port = free_ports(self.instances)
        (self.folder / "run").mkdir()
        at = await self.start(
            "partner",
            "fakes.endpoint",
            "--answer-ms",
            "100",
            "--rate",
            str(self.rate),
            "--armed",
            "--down",
            f"0:{self.down_s}",
            "--cold",
            str(COLD),
            "--warm-s",
            str(self.warm_s),
            "--calls",
            str(self.folder / "calls"),
            "--ledger",
            str(self.folder / "effects"),
        )
        entry = {
            "instanceId": "p",
            "hostPort": at,
            "zone": "z",
            "machineType": "k",
            "cell": 1,
            "lifecycle": "ready",
            "weight": self.rate,
            "startedAtMs": 0,
        }
        known = {"generation": 1, "reset": True, "instances": [entry]}
        (self.folder / "list.json").write_text(json.dumps(known))
        agent = await self.start(
            "agent",
            "fakes.discovery_agent",
            "--list",
            str(self.folder / "list.json"),
            "--ledger",
            str(self.folder / "notices"),
        )
        (self.folder / "config.json").write_text(
            json.dumps(
                {
                    "name": "x",
                    "listen": "127.0.0.1:1",
                    "discovery": agent,
                    "seed": "1",
                    "known": known,
                    "state": str(self.folder),
                    "settings": settings(self.deadline_share),
                }
            )
        )
        self.configure(self.instances)
        await self.start("fleet", "message_relay", "fleet", "--config", str(self.folder / "relay.toml"))
        await self.until(lambda told: told.up == self.instances)

    def configure(self, instances: int) -> None:
        (self.folder / "relay.toml").write_text(
            f"[fleet]\ninstances = {instances}\nshare_rates = {str(self.shared).lower()}\n"
            f"settle_s = {self.settle_s}\n"
            f'[status]\nfolder = "{self.folder}/run"\n[supervisor]\nconfig = "{self.folder}/config.json"\n'
            f'port = {self.port}\nstate = "{self.folder}/state"\n{self.more}'
        )

    async def until(self, true: Callable[[FleetReport], bool], seconds: float = READY_S) -> FleetReport:
        """The supervisor's report for which it is true; TimeoutError if none comes."""
        async with asyncio.timeout(seconds):
            while True:
                with contextlib.suppress(StatusError):
                    told = await fetch_report(self.folder / "run" / "fleet.sock")
                    if isinstance(told, FleetReport) and true(told):
                        return told
                process = self.processes["fleet"]
                if process.returncode is not None:
                    raise RuntimeError(f"the supervisor ended with {process.returncode}")
                await asyncio.sleep(0.05)

    async def reports(self) -> list[Report]:
        found = []
        for path in (self.folder / "run").glob("[0-9]*.sock"):
            with contextlib.suppress(StatusError):
                told = await fetch_report(path)
                if isinstance(told, Report):
                    found.append(told)
        return found

    def tell(self, name: str, what: signal.Signals) -> None:
        self.processes[name].send_signal(what)

    async def drained(self, seconds: float) -> None:
        """Until no instance holds or owes anything; TimeoutError if that takes too long."""
        async with asyncio.timeout(seconds):
            while any(told.held or told.ends_waiting for told in await self.reports()):
                await asyncio.sleep(0.1)

    def effects(self) -> Counter[str]:
        return Counter(line.split()[1] for line in lines(self.folder / "effects"))

    def calls(self) -> list[float]:
        """Unix ms of each whole call that came."""
        return sorted(float(line.split()[0]) for line in lines(self.folder / "calls"))

    def ends(self) -> dict[str, set[str]]:
        """The final answers that were told, by message; one told again counts once."""
        found: dict[str, set[str]] = {}
        for item in map(json.loads, lines(self.folder / "notices")):
            found.setdefault(item["id"], set()).add(item["state"])
        return found

    def broken(self, taken: dict[str, str]) -> list[str]:
        """Messages that were taken and have not exactly one end, or took effect twice. One that failed may
        have taken effect: that promises nothing. One that is returned may have, where its class makes that
        harmless."""
        effects, ends = self.effects(), self.ends()
        bad = [f"{ident}: took effect {count} times" for ident, count in effects.items() if count > 1]
        bad += [f"{ident}: told {sorted(states)}" for ident, states in ends.items() if len(states) > 1]
        bad += [f"{ident}: no end" for ident in taken if ident not in effects and ident not in ends]
        bad += [
            f"{ident}: took effect and was returned"
            for ident, states in ends.items()
            if "returned" in states and effects[ident] and taken.get(ident) == "pay"
        ]
        return bad

    async def close(self) -> None:
        for name in ("fleet", "agent", "partner"):
            process = self.processes.get(name)
            if process is None or process.returncode is not None:
                continue
            process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(process.wait(), 30.0)
            except TimeoutError:
                process.kill()
                await process.wait()


def lines(path: Path) -> list[str]:
    return path.read_text().splitlines() if path.exists() else []


def free_ports(count: int, salt: int = 0) -> int:
    """The first of so many in a row that are free just now; with another `salt` others are tried."""
    import socket

    rng = random.Random(1000 * os.getpid() + salt)
    while True:
        first = rng.randrange(20_000, 32_000 - count)
        with contextlib.ExitStack() as stack:
            try:
                for n in range(count):
                    sock = stack.enter_context(socket.socket())
                    sock.bind(("127.0.0.1", first + n))
            except OSError:
                continue
            return first


@contextlib.asynccontextmanager
async def fleet(instances: int, rate: float, shared: bool, **more: Any) -> AsyncIterator[Fleet]:
    with tempfile.TemporaryDirectory(prefix="message_relay-") as folder:
        it = Fleet(Path(folder), instances, rate, shared, **more)
        try:
            await it.set_up()
            yield it
        finally:
            await it.close()


def most(times: list[float], begin: float, ms: float) -> int:
    return bisect_left(times, begin + ms) - bisect_left(times, begin)


def expected(rate: float, begin: float, back: float, warm_ms: float) -> Partner:
    """What the partner could do, on Unix time, where it was down once."""
    return Partner(
        Spec(rate=rated(rate), cold=Cold(COLD, warm_ms), troubles=(Trouble(Fault.DOWN, begin, back),)),
        random.Random(1),
    )


def over(calls: list[float], agreed: Partner, begin: float, back: float) -> tuple[float, float]:
    """The worst second against the rate, and the worst 1.5 s after the return against what can be done."""
    counted = [at for at in calls if at >= begin]
    assert agreed.spec.rate is not None
    second = max((most(calls, at, 1000.0) for at in counted), default=0) / agreed.spec.rate.per_s
    cold = 0.0
    for at in [at for at in counted if back <= at < back + agreed.spec.cold.warm_ms]:
        cold = max(cold, most(calls, at, FALL_MS) / (agreed.can(at + FALL_MS / 2) * FALL_MS / 1000))
    return second, cold


async def experiment(instances: int, rate: float, shared: bool, rolls: int, seed: int) -> dict[str, Any]:
    begun = time.monotonic()
    async with fleet(instances, rate, shared) as it:
        row: dict[str, Any] = {"mode": "shared" if shared else "alone", "all up s": time.monotonic() - begun}
        told = await it.until(lambda told: told.up == instances)
        row["start s"] = sorted(line.start_s for line in told.lines)[instances // 2]
        first = {each.instance: each for each in await it.reports()}
        await asyncio.sleep(5.0)
        idle = await it.reports()
        row["idle CPU ms/s"] = 200 * sum(each.cpu_s - first[each.instance].cpu_s for each in idle) / instances
        row["idle MB"] = max(each.rss_mb for each in idle)
        clients = Clients(it.port, instances, rng=random.Random(seed))
        await clients.run(0.8 * rate, 20.0)  # until all have learned what the partner can do
        begin = time.time() * 1000
        it.tell("partner", signal.SIGUSR1)
        back = begin + it.down_s * 1000
        asked = await clients.run(0.8 * rate, it.down_s + it.warm_s + 6.0)
        await it.drained(20.0)
        agreed = expected(rate, begin, back, it.warm_s * 1000)
        row["over 1 s"], row["over cold"] = over(it.calls(), agreed, begin - 10_000, back)
        calls = it.calls()
        row["by second"] = [most(calls, back + n * 1000, 1000) for n in range(16)]
        effects = it.effects()
        row["delivered"] = sum(ident in effects for ident in asked) / len(asked)
        row["roll s"] = 0.0
        for _ in range(rolls):
            before = time.monotonic()
            it.tell("fleet", signal.SIGUSR2)
            await asyncio.sleep(0.2)
            traffic = asyncio.ensure_future(clients.run(0.5 * rate, 3600.0))
            await it.until(lambda told: not told.rolling, 600.0)
            row["roll s"] += (time.monotonic() - before) / rolls
            await clients.stop(traffic)
        await it.drained(30.0)
        broken = it.broken(clients.taken)
        for text in broken:
            print(text, file=sys.stderr)
        row["broken"] = len(broken)
        row["answers"] = dict(clients.answers)
        row["taken"] = len(clients.taken)
        clients.close()
        return row


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.processes")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--instances", type=int, default=40)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--modes", default="shared,alone")
    parser.add_argument("--rolls", type=int, default=1)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    rows = [
        asyncio.run(experiment(args.instances, args.rate, mode == "shared", args.rolls, args.seed))
        for mode in args.modes.split(",")
    ]
    report(
        rows,
        args.json,
        (
            f"{args.instances} processes, agreed rate {args.rate:g}/s",
            "mode    delivered  over 1 s  over cold  start s  all up s  roll s  idle MB"
            "  idle CPU ms/s  broken",
        ),
        "{mode:7}{delivered:10.3f}{over 1 s:10.2f}{over cold:11.2f}{start s:9.2f}{all up s:10.1f}"
        "{roll s:8.1f}{idle MB:9.1f}{idle CPU ms/s:15.2f}{broken:8}  {by second} {answers}",
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())

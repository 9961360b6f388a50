"""Runs a fleet of real processes under its supervisor, with a partner that has an agreed rate, and clients.

    python -m benchmarks.processes [--json] [--instances 40] [--rate 60] [--modes shared,alone] [--rolls 1]

The supervisor (`message_relay fleet`), the partner (fakes.endpoint) and the discovery agent
(fakes.discovery_agent) run as separate processes. Clients submit at 80% of the rate, open loop, evenly over
the instances. The partner is down for 12 s, comes back at 18% of its rate and is warm 11 s later; then all
instances are restarted one by one under traffic. In mode `shared` the instances share each listed rate; in
mode `alone` they do not.

`over 1 s`: calls in the worst window of 1 s, divided by the agreed rate. `over cold`: calls in the worst
window of 1.5 s after the return, divided by the partner's capacity in that window. `delivered`: the share of
all submitted messages, including rejected ones. Connection attempts that fail while the partner is down leave
no entry in its ledger and can't be counted here: experiments/forty.toml counts them.
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
INITIAL_SHARE, FALL_MS = 0.18, 1500.0
READY_S = 60.0  # if not all instances are up by then, the machine is too slow for the experiment
BODY = b"x" * 200


def settings(deadline_share: float = 1.0) -> dict[str, Any]:
    """Returns the settings in the platform's format."""
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
            "cold-from": INITIAL_SHARE,
            "cold-ms": WARM_S * 1000,
            "fall-ms": FALL_MS,
            "fall-multiple": 2.0,
        },
    }


@dataclass
class Clients:
    """Submits messages open loop over one persistent connection to each instance.

    A message is sent at its scheduled time, whatever the state of earlier ones. A submission without a
    response within 2 s is abandoned, and its id is never used again.
    """

    port: int
    instances: int
    deadline_share: float = 1.0
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    submitted: list[str] = field(default_factory=list)
    accepted: dict[str, str] = field(default_factory=dict)  # maps each accepted message to its class
    to: dict[str, int] = field(default_factory=dict)  # maps each accepted message to its instance
    answers: Counter[str] = field(default_factory=Counter)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    pool: connections.Clients = field(default_factory=lambda: connections.Clients(2000.0))

    async def run(self, rate: float, seconds: float) -> list[str]:
        """Submits at `rate` for so many seconds; returns the ids submitted."""
        loop = asyncio.get_running_loop()
        due_at, first_index = loop.time(), len(self.submitted)
        ends_at = due_at + seconds
        while (due_at := due_at + self.rng.expovariate(rate)) < ends_at:
            await asyncio.sleep(max(0.0, due_at - loop.time()))
            task = asyncio.ensure_future(self.submit(self.rng.randrange(self.instances)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        await asyncio.gather(*self.tasks, return_exceptions=True)
        return self.submitted[first_index:]

    async def submit(self, instance: int) -> None:
        message_id = f"m{len(self.submitted)}-{os.getpid():x}"
        self.submitted.append(message_id)
        class_, _, deadline, _ = self.rng.choices(CLASSES, [weight for *_, weight in CLASSES])[0]
        data = request(message_id, class_, 1, deadline * self.deadline_share, BODY, f"k{message_id}")
        status = (await self.pool.hand_in(("127.0.0.1", self.port + instance), data)).status
        self.answers[status] += 1
        if status in ("202", "200"):
            self.accepted[message_id] = class_
            self.to[message_id] = instance

    async def stop(self, traffic: asyncio.Future[Any]) -> None:
        """Cancels a `run` and waits for its submissions in flight."""
        traffic.cancel()
        await asyncio.gather(traffic, *self.tasks, return_exceptions=True)

    def close(self) -> None:
        self.pool.close()


@dataclass
class Fleet:
    """Starts and stops the processes, and reads their ledgers."""

    folder: Path
    instances: int
    rate: float
    shared: bool
    down_s: float = 12.0
    warm_s: float = WARM_S
    deadline_share: float = 1.0
    more: str = ""  # appended to the [supervisor] section of the operator's file
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
        partner_address = await self.start(
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
            str(INITIAL_SHARE),
            "--warm-s",
            str(self.warm_s),
            "--calls",
            str(self.folder / "calls"),
            "--ledger",
            str(self.folder / "effects"),
        )
        entry = {
            "instanceId": "p",
            "hostPort": partner_address,
            "zone": "z",
            "machineType": "k",
            "cell": 1,
            "lifecycle": "ready",
            "weight": self.rate,
            "startedAtMs": 0,
        }
        listing = {"generation": 1, "reset": True, "instances": [entry]}
        (self.folder / "list.json").write_text(json.dumps(listing))
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
                    "known": listing,
                    "state": str(self.folder),
                    "settings": settings(self.deadline_share),
                }
            )
        )
        self.configure(self.instances)
        await self.start("fleet", "message_relay", "fleet", "--config", str(self.folder / "relay.toml"))
        await self.until(lambda report: report.up == self.instances)

    def configure(self, instances: int) -> None:
        (self.folder / "relay.toml").write_text(
            f"[fleet]\ninstances = {instances}\nshare_rates = {str(self.shared).lower()}\n"
            f"settle_s = {self.settle_s}\n"
            f'[status]\nfolder = "{self.folder}/run"\n[supervisor]\nconfig = "{self.folder}/config.json"\n'
            f'port = {self.port}\nstate = "{self.folder}/state"\n{self.more}'
        )

    async def until(self, condition: Callable[[FleetReport], bool], seconds: float = READY_S) -> FleetReport:
        """Waits for a supervisor's report that meets the condition and returns it.

        Raises TimeoutError if none arrives in time, RuntimeError if the supervisor has exited.
        """
        async with asyncio.timeout(seconds):
            while True:
                with contextlib.suppress(StatusError):
                    report = await fetch_report(self.folder / "run" / "fleet.sock")
                    if isinstance(report, FleetReport) and condition(report):
                        return report
                process = self.processes["fleet"]
                if process.returncode is not None:
                    raise RuntimeError(f"the supervisor exited with code {process.returncode}")
                await asyncio.sleep(0.05)

    async def reports(self) -> list[Report]:
        reports = []
        for path in (self.folder / "run").glob("[0-9]*.sock"):
            with contextlib.suppress(StatusError):
                report = await fetch_report(path)
                if isinstance(report, Report):
                    reports.append(report)
        return reports

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        self.processes[name].send_signal(signal_number)

    async def wait_until_drained(self, seconds: float) -> None:
        """Waits until no instance has pending messages or unsent notifications; raises TimeoutError."""
        async with asyncio.timeout(seconds):
            while any(report.held or report.ends_waiting for report in await self.reports()):
                await asyncio.sleep(0.1)

    def effects(self) -> Counter[str]:
        return Counter(line.split()[1] for line in lines(self.folder / "effects"))

    def calls(self) -> list[float]:
        """Returns the arrival time of each complete call at the partner, in Unix ms."""
        return sorted(float(line.split()[0]) for line in lines(self.folder / "calls"))

    def final_states(self) -> dict[str, set[str]]:
        """Maps each message to the set of final states in its notifications; repeats count once."""
        states: dict[str, set[str]] = {}
        for item in map(json.loads, lines(self.folder / "notices")):
            states.setdefault(item["id"], set()).add(item["state"])
        return states

    def violations(self, accepted: dict[str, str]) -> list[str]:
        """Returns a text for each message that violates a guarantee.

        An accepted message must have exactly one final outcome, and no message may take effect twice. A
        failed message may have taken effect: `failed` makes no statement about that. A returned message may
        have taken effect where its class makes that harmless.
        """
        effects, ends = self.effects(), self.final_states()
        violations = [
            f"{message_id}: took effect {count} times" for message_id, count in effects.items() if count > 1
        ]
        violations += [
            f"{message_id}: several final outcomes {sorted(states)}"
            for message_id, states in ends.items()
            if len(states) > 1
        ]
        violations += [
            f"{message_id}: no final outcome"
            for message_id in accepted
            if message_id not in effects and message_id not in ends
        ]
        violations += [
            f"{message_id}: took effect and was returned"
            for message_id, states in ends.items()
            if "returned" in states and effects[message_id] and accepted.get(message_id) == "pay"
        ]
        return violations

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
    """Returns the first port of `count` consecutive free ones; another `salt` tries other ports."""
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
async def fleet(instances: int, rate: float, shared: bool, **fields: Any) -> AsyncIterator[Fleet]:
    with tempfile.TemporaryDirectory(prefix="message_relay-") as folder:
        processes = Fleet(Path(folder), instances, rate, shared, **fields)
        try:
            await processes.set_up()
            yield processes
        finally:
            await processes.close()


def count_in_window(times: list[float], start_ms: float, length_ms: float) -> int:
    return bisect_left(times, start_ms + length_ms) - bisect_left(times, start_ms)


def expected(rate: float, start: float, back: float, warm_ms: float) -> Partner:
    """Returns a model of the partner's capacity, in Unix time, with one outage from `start` to `back`."""
    return Partner(
        Spec(
            rate=rated(rate), cold=Cold(INITIAL_SHARE, warm_ms), troubles=(Trouble(Fault.DOWN, start, back),)
        ),
        random.Random(1),
    )


def over(calls: list[float], agreed: Partner, start: float, back: float) -> tuple[float, float]:
    """Returns the calls in the worst second divided by the agreed rate, and the calls in the worst 1.5 s
    after the return divided by the partner's capacity in that window."""
    window_starts = [at for at in calls if at >= start]
    assert agreed.spec.rate is not None
    worst_second = (
        max((count_in_window(calls, at, 1000.0) for at in window_starts), default=0) / agreed.spec.rate.per_s
    )
    worst_warm_up = 0.0
    for at in [at for at in window_starts if back <= at < back + agreed.spec.cold.warm_ms]:
        worst_warm_up = max(
            worst_warm_up,
            count_in_window(calls, at, FALL_MS) / (agreed.can(at + FALL_MS / 2) * FALL_MS / 1000),
        )
    return worst_second, worst_warm_up


async def experiment(instances: int, rate: float, shared: bool, rolls: int, seed: int) -> dict[str, Any]:
    started_at = time.monotonic()
    async with fleet(instances, rate, shared) as processes:
        row: dict[str, Any] = {
            "mode": "shared" if shared else "alone",
            "all up s": time.monotonic() - started_at,
        }
        status = await processes.until(lambda status: status.up == instances)
        row["start s"] = sorted(line.start_s for line in status.lines)[instances // 2]
        first_reports = {each.instance: each for each in await processes.reports()}
        await asyncio.sleep(5.0)
        idle_reports = await processes.reports()
        row["idle CPU ms/s"] = (
            200 * sum(each.cpu_s - first_reports[each.instance].cpu_s for each in idle_reports) / instances
        )
        row["idle MB"] = max(each.rss_mb for each in idle_reports)
        clients = Clients(processes.port, instances, rng=random.Random(seed))
        await clients.run(0.8 * rate, 20.0)  # until all instances have learned the partner's capacity
        down_at = time.time() * 1000
        processes.send_signal("partner", signal.SIGUSR1)
        back_at = down_at + processes.down_s * 1000
        submitted = await clients.run(0.8 * rate, processes.down_s + processes.warm_s + 6.0)
        await processes.wait_until_drained(20.0)
        agreed = expected(rate, down_at, back_at, processes.warm_s * 1000)
        row["over 1 s"], row["over cold"] = over(processes.calls(), agreed, down_at - 10_000, back_at)
        calls = processes.calls()
        row["by second"] = [count_in_window(calls, back_at + n * 1000, 1000) for n in range(16)]
        effects = processes.effects()
        row["delivered"] = sum(message_id in effects for message_id in submitted) / len(submitted)
        row["roll s"] = 0.0
        for _ in range(rolls):
            rollout_started_at = time.monotonic()
            processes.send_signal("fleet", signal.SIGUSR2)
            await asyncio.sleep(0.2)
            traffic = asyncio.ensure_future(clients.run(0.5 * rate, 3600.0))
            await processes.until(lambda status: not status.rolling, 600.0)
            row["roll s"] += (time.monotonic() - rollout_started_at) / rolls
            await clients.stop(traffic)
        await processes.wait_until_drained(30.0)
        violations = processes.violations(clients.accepted)
        for violation in violations:
            print(violation, file=sys.stderr)
        row["broken"] = len(violations)
        row["answers"] = dict(clients.answers)
        row["taken"] = len(clients.accepted)
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

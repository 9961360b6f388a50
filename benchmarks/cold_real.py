"""Measures the calls of a fleet of real processes to a partner that has just come back from an outage.

    python -m benchmarks.cold_real [--relays 40] [--slots 4] [--rate 60] [--multiple 2] [--plays 3] [--seed 1]
                                   [--unheard] [--connect-ms 1500] [--learn-s 10] [--calls FILE] [--json]

Each relay is a separate process without an operator's file: `balancers` in the settings is the number of
relays, and each decides alone. The partner (fakes.endpoint) is down for 12 s, comes back at 18% of the agreed
rate and is warm 11 s later. While down it refuses connections, or with `--unheard` leaves connection attempts
unanswered, so that the pending ones are established together at its return. Clients submit at 80% of the
rate, evenly. As in benchmarks/cold.py, any window of `fall-ms` that begins while the partner is cold may
contain N + 2 x root of N + 2 calls, where N is `multiple` times the partner's capacity in the window.

`worst`: calls in the worst window, divided by that limit. `over can`: calls in the worst window, divided by
the partner's capacity, without the multiple and the allowance for chance. `first`: calls in the first window.
`knew`: the share of the worst window's calls from relays that got a message while the partner was down.
`--calls` writes a line for each call after the return: seed, ms since the return, message, relay, reply, and
whether the message was submitted before the return.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time
from dataclasses import dataclass, field
from math import sqrt
from pathlib import Path
from typing import Any

from emulator.clients import Clients, request
from emulator.partner import Partner

from .processes import (
    CLASSES,
    FALL_MS,
    INITIAL_SHARE,
    WARM_S,
    count_in_window,
    expected,
    free_ports,
    lines,
    settings,
)
from .report import report

READY_S = 60.0  # if not all relays are up by then, the machine is too slow for this benchmark
STOP_S = 30.0  # a stop takes at most 3 s, but forty at once on a busy machine take longer
DOWN_S, AFTER_S = 12.0, 8.0  # duration of the traffic during the outage, and after the return
ANSWER_MS = 150
USED = 0.9  # a second with this share of the submission rate counts as full use


@dataclass(frozen=True)
class Setting:
    relays: int
    slots: int
    rate: float
    multiple: float
    unresponsive: bool
    connect_ms: float
    learn_s: float  # duration of the traffic before the outage

    def settings(self) -> dict[str, Any]:
        raw = settings()
        raw["balancers"] = self.relays
        raw["extra"]["call-slots"] = self.slots
        raw["safety"]["fall-multiple"] = self.multiple
        raw["limits"]["connect-timeout-ms"] = self.connect_ms
        return raw


@dataclass(frozen=True)
class Arrived:
    """One call at the partner; `at` is in ms after the partner's return."""

    at: float
    ident: str
    relay: int
    reply: str
    before: bool  # whether its message was submitted before the return


@dataclass
class FleetRun:
    setting: Setting
    folder: Path
    seed: int
    processes: list[asyncio.subprocess.Process] = field(default_factory=list)
    submissions: dict[str, tuple[int, float]] = field(default_factory=dict)  # message -> (relay, Unix ms)
    back: float = 0.0  # when the partner returns, Unix ms

    async def _start(
        self, name: str, *args: str, env: dict[str, str] | None = None, prints_address: bool = True
    ) -> str:
        with open(self.folder / f"{name}.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *args,
                stdout=asyncio.subprocess.PIPE if prints_address else log,
                stderr=log,
                env={**os.environ, **(env or {})},
            )
        self.processes.append(process)
        if process.stdout is None:
            return ""
        return (await asyncio.wait_for(process.stdout.readline(), READY_S)).decode().split()[1]

    async def _set_up(self) -> None:
        setting = self.setting
        partner_address = await self._start(
            "partner",
            "fakes.endpoint",
            "--answer-ms",
            str(ANSWER_MS),
            "--rate",
            str(setting.rate),
            "--armed",
            "--down",
            f"0:{DOWN_S}",
            "--cold",
            str(INITIAL_SHARE),
            "--warm-s",
            str(WARM_S),
            "--calls",
            str(self.folder / "calls"),
            *(["--unheard"] if setting.unresponsive else []),
        )
        entry = {
            "instanceId": "p",
            "hostPort": partner_address,
            "zone": "z",
            "machineType": "k",
            "cell": 1,
            "lifecycle": "ready",
            "weight": setting.rate,
            "startedAtMs": 0,
        }
        listing = {"generation": 1, "reset": True, "instances": [entry]}
        (self.folder / "list.json").write_text(json.dumps(listing))
        agent = await self._start("agent", "fakes.discovery_agent", "--list", str(self.folder / "list.json"))
        self.port = free_ports(setting.relays)
        for n in range(setting.relays):
            (self.folder / f"state{n}").mkdir()
            (self.folder / f"config{n}.json").write_text(
                json.dumps(
                    {
                        "name": f"r{n}",
                        "listen": f"127.0.0.1:{self.port + n}",
                        "discovery": agent,
                        "seed": f"{self.seed * 1000 + n:x}",
                        "state": str(self.folder / f"state{n}"),
                        "settings": setting.settings(),
                        "known": listing,
                    }
                )
            )
            env = {"RELAY_CONFIG": str(self.folder / f"config{n}.json")}
            await self._start(f"relay{n}", "message_relay", env=env, prints_address=False)
        async with asyncio.timeout(READY_S):
            for n in range(setting.relays):
                await self._ready(n)

    async def _ready(self, n: int) -> None:
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", self.port + n)
            except OSError:
                await asyncio.sleep(0.05)
            else:
                writer.close()
                return

    async def run(self) -> list[Arrived]:
        try:
            await self._set_up()
            await self._traffic()
        finally:
            await self._close()
        arrived = []
        for line in lines(self.folder / "calls"):
            arrived_at, message_id, reply, *_ = line.split()
            relay, submitted_at = self.submissions[message_id]
            arrived.append(
                Arrived(float(arrived_at) - self.back, message_id, relay, reply, submitted_at < self.back)
            )
        return sorted((call for call in arrived if call.at >= 0), key=lambda call: call.at)

    async def _traffic(self) -> None:
        rng, clients, loop = random.Random(self.seed), Clients(2000.0), asyncio.get_running_loop()
        submission_tasks: set[asyncio.Task[None]] = set()
        due_at = loop.time()
        down_at = due_at + self.setting.learn_s
        while (due_at := due_at + rng.expovariate(0.8 * self.setting.rate)) < down_at + DOWN_S + AFTER_S:
            await asyncio.sleep(max(0.0, due_at - loop.time()))
            if not self.back and due_at >= down_at:
                self.back = time.time() * 1000 + DOWN_S * 1000
                self.processes[0].send_signal(signal.SIGUSR1)
            task = asyncio.ensure_future(self._submit(clients, rng))
            submission_tasks.add(task)
            task.add_done_callback(submission_tasks.discard)
        await asyncio.gather(*submission_tasks)
        clients.close()

    async def _submit(self, clients: Clients, rng: random.Random) -> None:
        message_id, n = f"m{len(self.submissions)}", rng.randrange(self.setting.relays)
        class_, _, deadline, _ = rng.choices(CLASSES, [weight for *_, weight in CLASSES])[0]
        self.submissions[message_id] = n, time.time() * 1000
        data = request(message_id, class_, 1, deadline, b"x" * 200, f"k{message_id}")
        await clients.hand_in(("127.0.0.1", self.port + n), data)

    def informed(self) -> set[int]:
        """Returns the relays that got a message during the outage: each of them has seen a call fail."""
        return {
            n for n, at in self.submissions.values() if self.back - DOWN_S * 1000 <= at < self.back - 1000
        }

    async def _close(self) -> None:
        for process in reversed(self.processes):
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
        for process in self.processes:
            try:
                await asyncio.wait_for(process.wait(), STOP_S)
            except TimeoutError:
                process.kill()
                await process.wait()


def row(setting: Setting, calls: list[Arrived], informed: set[int], agreed: Partner) -> dict[str, Any]:
    """Computes the result row. `agreed` models the partner's capacity by the time since it went down."""
    times, worst, over_can, knew = [each.at for each in calls], 0.0, 0.0, 0.0
    budget = 0.0
    for first, at in enumerate(times):
        if at >= WARM_S * 1000:
            break
        count, capacity = (
            count_in_window(times, at, FALL_MS),
            agreed.can(DOWN_S * 1000 + at + FALL_MS / 2) * FALL_MS / 1000,
        )
        n = setting.multiple * capacity
        over_can = max(over_can, count / capacity)
        if count / (n + 2 * sqrt(n) + 2) > worst:
            worst, budget = count / (n + 2 * sqrt(n) + 2), n
            knew = sum(each.relay in informed for each in calls[first : first + count]) / count
    seconds = [count_in_window(times, n * 1000.0, 1000.0) for n in range(int(AFTER_S))]
    full_seconds = [n for n, count in enumerate(seconds) if count >= USED * 0.8 * setting.rate]
    return {
        "worst": worst,
        "N": budget,
        "knew": knew,
        "over can": over_can,
        "first": count_in_window(times, 0.0, FALL_MS),
        "in use s": full_seconds[0] if full_seconds else AFTER_S,
        "refused": sum(each.reply == "full" for each in calls),
        "by second": seconds,
    }


async def play(setting: Setting, seed: int) -> tuple[dict[str, Any], list[Arrived]]:
    with tempfile.TemporaryDirectory(prefix="message_relay-") as folder:
        fleet_run = FleetRun(setting, Path(folder), seed)
        calls = await fleet_run.run()
        return row(
            setting, calls, fleet_run.informed(), expected(setting.rate, 0.0, DOWN_S * 1000, WARM_S * 1000)
        ), calls


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.cold_real")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--relays", type=int, default=40)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--multiple", type=float, default=2.0)
    parser.add_argument("--plays", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--unheard", action="store_true")
    parser.add_argument("--connect-ms", type=float, default=1500.0)
    parser.add_argument("--learn-s", type=float, default=10.0)
    parser.add_argument("--calls", type=Path)
    args = parser.parse_args()
    setting = Setting(
        args.relays, args.slots, args.rate, args.multiple, args.unheard, args.connect_ms, args.learn_s
    )
    rows, call_lines = [], []
    for seed in range(args.seed, args.seed + args.plays):
        result, calls = asyncio.run(play(setting, seed))
        rows.append({"seed": seed, **result})
        call_lines += [
            f"{seed} {each.at:.1f} {each.ident} {each.relay} {each.reply} {int(each.before)}\n"
            for each in calls
        ]
    if args.calls is not None:
        args.calls.write_text("".join(call_lines))
    report(
        rows,
        args.json,
        (
            f"{setting.relays} processes, slots {setting.slots}, agreed rate {setting.rate:g}/s, "
            f"multiple {setting.multiple:g}{', unheard' * setting.unresponsive}, "
            f"connections within {setting.connect_ms:g} ms; worst: 1.00 = N + 2 x root of N + 2",
            "seed  worst      N   knew  over can  first  in use s  refused  by second",
        ),
        "{seed:4}{worst:7.2f}{N:7.1f}{knew:7.2f}{over can:10.2f}{first:7}{in use s:10.1f}{refused:9}"
        "  {by second}",
    )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())

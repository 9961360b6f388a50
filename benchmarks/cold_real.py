"""What a fleet of real processes sends a partner that has just come back, against the budget of the rule.

    python -m benchmarks.cold_real [--relays 40] [--slots 4] [--rate 60] [--multiple 2] [--plays 3] [--seed 1]
                                   [--unheard] [--connect-ms 1500] [--learn-s 10] [--calls FILE] [--json]

Each relay is a process of its own without an operator's file: `balancers` in the settings tells it how many
there are, and it decides alone. The partner (fakes.endpoint) is down for 12 s, comes back at 18% of the
agreed rate and is warm 11 s later; down it refuses connections, or with `--unheard` leaves them without an
answer, so that those which still wait come up together at its return. Clients hand in at 80% of the rate,
evenly. As in benchmarks/cold.py, any window of `fall-ms` that begins while it is cold may hold N + 2 x root
of N + 2 calls, N being `multiple` times what the partner can do in it. `over can` is the worst window against
what the partner can do alone, without the multiple and without chance; `first`: calls in the first one;
`knew`: the part of the worst window's calls from relays that had been handed a message while the partner was
down. `--calls` keeps a line for each call after the return: play, ms since then, message, relay, reply, and
whether it was handed in before.
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

from .processes import CLASSES, COLD, FALL_MS, WARM_S, expected, free_ports, lines, most, settings
from .report import report

READY_S = 60.0  # all relays are up by then, or the machine is too slow for this
STOP_S = 30.0  # a stop takes 3 s at most; forty at once on a busy machine take longer
DOWN_S, AFTER_S = 12.0, 8.0  # handed in while it is away, and after its return
ANSWER_MS = 150
USED = 0.9  # of what is handed in, in a second: full use


@dataclass(frozen=True)
class Setting:
    relays: int
    slots: int
    rate: float
    multiple: float
    unheard: bool
    connect_ms: float
    learn_s: float  # handed in until it goes down

    def settings(self) -> dict[str, Any]:
        told = settings()
        told["balancers"] = self.relays
        told["extra"]["call-slots"] = self.slots
        told["safety"]["fall-multiple"] = self.multiple
        told["limits"]["connect-timeout-ms"] = self.connect_ms
        return told


@dataclass(frozen=True)
class Arrived:
    """One call at the partner, ms after its return."""

    at: float
    ident: str
    relay: int
    reply: str
    before: bool  # its message was handed in before the return


@dataclass
class Play:
    setting: Setting
    folder: Path
    seed: int
    processes: list[asyncio.subprocess.Process] = field(default_factory=list)
    handed: dict[str, tuple[int, float]] = field(default_factory=dict)  # message -> its relay, when (Unix ms)
    back: float = 0.0  # when the partner returns, Unix ms

    async def _start(
        self, name: str, *args: str, env: dict[str, str] | None = None, says: bool = True
    ) -> str:
        with open(self.folder / f"{name}.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *args,
                stdout=asyncio.subprocess.PIPE if says else log,
                stderr=log,
                env={**os.environ, **(env or {})},
            )
        self.processes.append(process)
        if process.stdout is None:
            return ""
        return (await asyncio.wait_for(process.stdout.readline(), READY_S)).decode().split()[1]

    async def _set_up(self) -> None:
        it = self.setting
        at = await self._start(
            "partner",
            "fakes.endpoint",
            "--answer-ms",
            str(ANSWER_MS),
            "--rate",
            str(it.rate),
            "--armed",
            "--down",
            f"0:{DOWN_S}",
            "--cold",
            str(COLD),
            "--warm-s",
            str(WARM_S),
            "--calls",
            str(self.folder / "calls"),
            *(["--unheard"] if it.unheard else []),
        )
        entry = {
            "instanceId": "p",
            "hostPort": at,
            "zone": "z",
            "machineType": "k",
            "cell": 1,
            "lifecycle": "ready",
            "weight": it.rate,
            "startedAtMs": 0,
        }
        known = {"generation": 1, "reset": True, "instances": [entry]}
        (self.folder / "list.json").write_text(json.dumps(known))
        agent = await self._start("agent", "fakes.discovery_agent", "--list", str(self.folder / "list.json"))
        self.port = free_ports(it.relays)
        for n in range(it.relays):
            (self.folder / f"state{n}").mkdir()
            (self.folder / f"config{n}.json").write_text(
                json.dumps(
                    {
                        "name": f"r{n}",
                        "listen": f"127.0.0.1:{self.port + n}",
                        "discovery": agent,
                        "seed": f"{self.seed * 1000 + n:x}",
                        "state": str(self.folder / f"state{n}"),
                        "settings": it.settings(),
                        "known": known,
                    }
                )
            )
            env = {"RELAY_CONFIG": str(self.folder / f"config{n}.json")}
            await self._start(f"relay{n}", "message_relay", env=env, says=False)
        async with asyncio.timeout(READY_S):
            for n in range(it.relays):
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
        found = []
        for line in lines(self.folder / "calls"):
            at, ident, reply, *_ = line.split()
            relay, handed = self.handed[ident]
            found.append(Arrived(float(at) - self.back, ident, relay, reply, handed < self.back))
        return sorted((each for each in found if each.at >= 0), key=lambda each: each.at)

    async def _traffic(self) -> None:
        rng, clients, loop = random.Random(self.seed), Clients(2000.0), asyncio.get_running_loop()
        work: set[asyncio.Task[None]] = set()
        at = loop.time()
        goes = at + self.setting.learn_s
        while (at := at + rng.expovariate(0.8 * self.setting.rate)) < goes + DOWN_S + AFTER_S:
            await asyncio.sleep(max(0.0, at - loop.time()))
            if not self.back and at >= goes:
                self.back = time.time() * 1000 + DOWN_S * 1000
                self.processes[0].send_signal(signal.SIGUSR1)
            task = asyncio.ensure_future(self._hand_in(clients, rng))
            work.add(task)
            task.add_done_callback(work.discard)
        await asyncio.gather(*work)
        clients.close()

    async def _hand_in(self, clients: Clients, rng: random.Random) -> None:
        ident, n = f"m{len(self.handed)}", rng.randrange(self.setting.relays)
        class_, _, deadline, _ = rng.choices(CLASSES, [weight for *_, weight in CLASSES])[0]
        self.handed[ident] = n, time.time() * 1000
        data = request(ident, class_, 1, deadline, b"x" * 200, f"k{ident}")
        await clients.hand_in(("127.0.0.1", self.port + n), data)

    def knowing(self) -> set[int]:
        """Relays that were handed a message while the partner was down: each of them has seen a call fail."""
        return {n for n, at in self.handed.values() if self.back - DOWN_S * 1000 <= at < self.back - 1000}

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


def row(it: Setting, calls: list[Arrived], knowing: set[int], agreed: Partner) -> dict[str, Any]:
    """`agreed`: what the partner can do, by time since it went down."""
    times, worst, over_can, knew = [each.at for each in calls], 0.0, 0.0, 0.0
    budget = 0.0
    for first, at in enumerate(times):
        if at >= WARM_S * 1000:
            break
        count, can = most(times, at, FALL_MS), agreed.can(DOWN_S * 1000 + at + FALL_MS / 2) * FALL_MS / 1000
        n = it.multiple * can
        over_can = max(over_can, count / can)
        if count / (n + 2 * sqrt(n) + 2) > worst:
            worst, budget = count / (n + 2 * sqrt(n) + 2), n
            knew = sum(each.relay in knowing for each in calls[first : first + count]) / count
    seconds = [most(times, n * 1000.0, 1000.0) for n in range(int(AFTER_S))]
    full = [n for n, count in enumerate(seconds) if count >= USED * 0.8 * it.rate]
    return {
        "worst": worst,
        "N": budget,
        "knew": knew,
        "over can": over_can,
        "first": most(times, 0.0, FALL_MS),
        "in use s": full[0] if full else AFTER_S,
        "refused": sum(each.reply == "full" for each in calls),
        "by second": seconds,
    }


async def play(it: Setting, seed: int) -> tuple[dict[str, Any], list[Arrived]]:
    with tempfile.TemporaryDirectory(prefix="message_relay-") as folder:
        one = Play(it, Path(folder), seed)
        calls = await one.run()
        return row(it, calls, one.knowing(), expected(it.rate, 0.0, DOWN_S * 1000, WARM_S * 1000)), calls


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
    it = Setting(
        args.relays, args.slots, args.rate, args.multiple, args.unheard, args.connect_ms, args.learn_s
    )
    rows, kept = [], []
    for seed in range(args.seed, args.seed + args.plays):
        found, calls = asyncio.run(play(it, seed))
        rows.append({"seed": seed, **found})
        kept += [
            f"{seed} {each.at:.1f} {each.ident} {each.relay} {each.reply} {int(each.before)}\n"
            for each in calls
        ]
    if args.calls is not None:
        args.calls.write_text("".join(kept))
    report(
        rows,
        args.json,
        (
            f"{it.relays} processes, slots {it.slots}, agreed rate {it.rate:g}/s, multiple {it.multiple:g}"
            f"{', unheard' * it.unheard}, connections within {it.connect_ms:g} ms; "
            "worst: 1.00 = N + 2 x root of N + 2",
            "seed  worst      N   knew  over can  first  in use s  refused  by second",
        ),
        "{seed:4}{worst:7.2f}{N:7.1f}{knew:7.2f}{over can:10.2f}{first:7}{in use s:10.1f}{refused:9}"
        "  {by second}",
    )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())

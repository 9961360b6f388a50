"""Open-loop load on real relays, from several client processes.

Arrivals come at their moments whatever the relay does, and a wait counts from the intended moment, so that a
stall is not hidden (Tene's "coordinated omission"). Each process also measures how late it was itself with
what it sent; where that is a good part of what was measured, the generator was the limit, and `Load` says so.
Histograms of all processes are added up (HdrHistogram)."""

from __future__ import annotations

import asyncio
import gc
import math
import selectors
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from multiprocessing import get_context

from hdrh.histogram import HdrHistogram

from .clients import Address, Clients, request
from .draws import stream

LOWEST_US, HIGHEST_US, DIGITS = 1, 60_000_000, 3
OWN_SHARE = 0.25  # of the p99 that the generator's own lateness may make before it counts as the limit
OWN_MS = 2.0  # and no less than this
LEAD_S = 1.5  # until all processes are up
MOST_OUT = 900  # requests of one process that wait for their answer: select takes no more descriptors


@dataclass(frozen=True, slots=True)
class Plan:
    """What one run hands in."""

    relays: tuple[Address, ...]
    rate: float  # messages a second, over all processes
    seconds: float
    warm_s: float = 1.0  # handed in before, and not measured
    processes: int = 2
    classes: tuple[tuple[str, float, float], ...] = (("order", 0.75, 16000.0), ("status", 0.25, 8000.0))
    destinations: int = 1
    bytes: int = 300
    wait_ms: float = 2000.0
    seed: int = 1
    prefix: str = "l"


@dataclass
class Part:
    """What one process saw; histograms in their own encoding."""

    waits: bytes
    late: bytes
    answers: Counter[str]
    skipped: int


@dataclass
class Load:
    waits: HdrHistogram  # us from the intended moment to a 202
    late: HdrHistogram  # us from the intended moment to when it was really sent
    answers: Counter[str] = field(default_factory=Counter)
    skipped: int = 0  # not sent, since too many were waiting
    seconds: float = 0.0

    def ms(self, percentile: float) -> float:
        return float(self.waits.get_value_at_percentile(percentile)) / 1000

    @property
    def taken(self) -> int:
        return sum(count for status, count in self.answers.items() if status in ("200", "202"))

    @property
    def limit(self) -> str:
        """Why the generator and not the relay was the limit; empty: it was not."""
        own, seen = float(self.late.get_value_at_percentile(99)) / 1000, self.ms(99)
        if self.skipped:
            return f"{self.skipped} messages were not sent: more than {MOST_OUT} waited in one process"
        if own > max(OWN_MS, OWN_SHARE * seen):
            return (
                f"the generator itself was late: p99 {own:.1f} ms of {seen:.1f}: take more processes, or less"
            )
        return ""


def histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


def work(plan: Plan, number: int, begins: float) -> Part:
    """One process: its part of the arrivals."""
    gc.disable()
    # epoll and poll take whole ms: a timer of theirs comes up to one late, which is what is measured here
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selectors.SelectSelector())) as runner:
        return runner.run(_work(plan, number, begins))


async def _work(plan: Plan, number: int, begins: float) -> Part:
    rng = stream(plan.seed, "load", number)
    mine = plan.rate / plan.processes
    count = math.ceil((plan.seconds + plan.warm_s) * mine)
    times = rng.exponential(1 / mine, count).cumsum().tolist()
    names = [name for name, _, _ in plan.classes]
    shares = [share for _, share, _ in plan.classes]
    left = {name: ms for name, _, ms in plan.classes}
    classes = rng.choice(len(names), count, p=[share / sum(shares) for share in shares]).tolist()
    places = rng.integers(len(plan.relays), size=count).tolist()
    dests = (rng.integers(plan.destinations, size=count) + 1).tolist()
    clients, waits, late, answers = Clients(plan.wait_ms), histogram(), histogram(), Counter[str]()
    out, body, skipped = set[asyncio.Task[None]](), b"x" * plan.bytes, 0

    async def one(n: int, intended: float) -> None:
        name = names[classes[n]]
        ident = f"{plan.prefix}{number:x}-{n:x}"
        data = request(ident, name, dests[n], left[name], body, f"k{ident}")
        sent = time.time()
        told = await clients.hand_in(plan.relays[places[n]], data)
        if intended < begins + plan.warm_s:
            return
        late.record_value(max(1, round((sent - intended) * 1e6)))
        answers[told.status] += 1
        if told.taken:
            waits.record_value(min(HIGHEST_US, max(1, round((time.time() - intended) * 1e6))))

    for n, after in enumerate(times):
        intended = begins + after
        if after > plan.seconds + plan.warm_s:
            break
        pause = intended - time.time()
        if pause > 0:
            await asyncio.sleep(pause)
        if len(out) >= MOST_OUT:
            skipped += 1
            continue
        task = asyncio.ensure_future(one(n, intended))
        out.add(task)
        task.add_done_callback(out.discard)
    await asyncio.gather(*out)
    clients.close()
    return Part(waits.encode(), late.encode(), answers, skipped)


def run(plan: Plan) -> Load:
    """Blocks until all is handed in and answered."""
    begins = time.time() + LEAD_S
    with ProcessPoolExecutor(plan.processes, get_context("spawn")) as pool:
        parts = list(
            pool.map(work, [plan] * plan.processes, range(plan.processes), [begins] * plan.processes)
        )
    total = Load(histogram(), histogram(), seconds=plan.seconds)
    for part in parts:
        total.waits.add(HdrHistogram.decode(part.waits))
        total.late.add(HdrHistogram.decode(part.late))
        total.answers.update(part.answers)
        total.skipped += part.skipped
    return total

"""Open-loop load generator for real relays, with several client processes.

Messages are sent on schedule whatever the relay does, and latency counts from the intended send time, so
that a stall is not hidden (Tene's "coordinated omission"). Each process also measures how late it sent; if
that is a large part of the measured latency, the generator was the bottleneck, and `Load.limit` reports it.
The histograms of all processes are added up (HdrHistogram)."""

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
MAX_LATE_SHARE = 0.25  # largest part of the p99 that may be the generator's own lateness
MIN_LATE_MS = 2.0  # lateness below this is ignored
LEAD_S = 1.5  # time for all processes to start
MAX_IN_FLIGHT = 900  # requests in flight in one process; select takes no more descriptors


@dataclass(frozen=True, slots=True)
class Plan:
    """The load of one run."""

    relays: tuple[Address, ...]
    rate: float  # messages a second, over all processes
    seconds: float
    warm_s: float = 1.0  # warm-up before the measurement
    processes: int = 2
    classes: tuple[tuple[str, float, float], ...] = (("order", 0.75, 16000.0), ("status", 0.25, 8000.0))
    destinations: int = 1
    bytes: int = 300
    wait_ms: float = 2000.0
    seed: int = 1
    prefix: str = "l"


@dataclass
class Part:
    """The measurements of one process. Histograms are in the encoding of HdrHistogram."""

    waits: bytes
    late: bytes
    answers: Counter[str]
    skipped: int


@dataclass
class Load:
    """The measurements of all processes together."""

    waits: HdrHistogram  # us from the intended send time to a 202
    late: HdrHistogram  # us from the intended to the actual send time
    answers: Counter[str] = field(default_factory=Counter)
    skipped: int = 0  # messages not sent, since too many requests were in flight
    seconds: float = 0.0

    def ms(self, percentile: float) -> float:
        return float(self.waits.get_value_at_percentile(percentile)) / 1000

    @property
    def accepted(self) -> int:
        return sum(count for status, count in self.answers.items() if status in ("200", "202"))

    @property
    def limit(self) -> str:
        """Why the generator, and not the relay, was the bottleneck; empty if it was not."""
        late_ms, p99_ms = float(self.late.get_value_at_percentile(99)) / 1000, self.ms(99)
        if self.skipped:
            return f"{self.skipped} messages were not sent: more than {MAX_IN_FLIGHT} waited in one process"
        if late_ms > max(MIN_LATE_MS, MAX_LATE_SHARE * p99_ms):
            return (
                f"the generator itself was late: p99 {late_ms:.1f} ms of {p99_ms:.1f}: "
                "take more processes, or less"
            )
        return ""


def histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


def work(plan: Plan, number: int, starts_at: float) -> Part:
    """Runs one process with its share of the messages."""
    gc.disable()
    # epoll and poll have timeouts in whole ms, so a timer fires up to 1 ms late, which would distort the
    # measurement
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selectors.SelectSelector())) as runner:
        return runner.run(_work(plan, number, starts_at))


async def _work(plan: Plan, number: int, starts_at: float) -> Part:
    rng = stream(plan.seed, "load", number)
    own_rate = plan.rate / plan.processes
    count = math.ceil((plan.seconds + plan.warm_s) * own_rate)
    times = rng.exponential(1 / own_rate, count).cumsum().tolist()
    names = [name for name, _, _ in plan.classes]
    shares = [share for _, share, _ in plan.classes]
    time_to_live_ms = {name: ms for name, _, ms in plan.classes}
    classes = rng.choice(len(names), count, p=[share / sum(shares) for share in shares]).tolist()
    relay_choices = rng.integers(len(plan.relays), size=count).tolist()
    dests = (rng.integers(plan.destinations, size=count) + 1).tolist()
    clients, waits, late, answers = Clients(plan.wait_ms), histogram(), histogram(), Counter[str]()
    sending, body, skipped = set[asyncio.Task[None]](), b"x" * plan.bytes, 0

    async def one(n: int, intended: float) -> None:
        name = names[classes[n]]
        ident = f"{plan.prefix}{number:x}-{n:x}"
        data = request(ident, name, dests[n], time_to_live_ms[name], body, f"k{ident}")
        sent = time.time()
        response = await clients.hand_in(plan.relays[relay_choices[n]], data)
        if intended < starts_at + plan.warm_s:
            return
        late.record_value(max(1, round((sent - intended) * 1e6)))
        answers[response.status] += 1
        if response.taken:
            waits.record_value(min(HIGHEST_US, max(1, round((time.time() - intended) * 1e6))))

    for n, after in enumerate(times):
        intended = starts_at + after
        if after > plan.seconds + plan.warm_s:
            break
        pause = intended - time.time()
        if pause > 0:
            await asyncio.sleep(pause)
        if len(sending) >= MAX_IN_FLIGHT:
            skipped += 1
            continue
        task = asyncio.ensure_future(one(n, intended))
        sending.add(task)
        task.add_done_callback(sending.discard)
    await asyncio.gather(*sending)
    clients.close()
    return Part(waits.encode(), late.encode(), answers, skipped)


def run(plan: Plan) -> Load:
    """Runs the plan. Blocks until every message is submitted and answered."""
    starts_at = time.time() + LEAD_S
    with ProcessPoolExecutor(plan.processes, get_context("spawn")) as pool:
        parts = list(
            pool.map(work, [plan] * plan.processes, range(plan.processes), [starts_at] * plan.processes)
        )
    total = Load(histogram(), histogram(), seconds=plan.seconds)
    for part in parts:
        total.waits.add(HdrHistogram.decode(part.waits))
        total.late.add(HdrHistogram.decode(part.late))
        total.answers.update(part.answers)
        total.skipped += part.skipped
    return total

"""Simulates, in virtual time, the calls of a fleet to a destination that has just come back from an outage.

Each relay decides alone, but the budget of a cold destination applies to their sum: in any window of the
settings' `fall_ms` it accepts N calls, which is `fall_multiple` times its capacity then, and 2 x root of
N + 2 more are attributed to chance. Prints, for fleets of 1 to 200 and several ways in which they know of the
outage, the calls in each seed's worst window divided by that limit, and the time from the return until the
destination is in full use (too few calls are a failure as well). `unheard`: during the outage connection
attempts get no answer, and the system resends its SYN after 1 s and 3 s; a connection that is established
after the return asks `may_write`, as a transport does, and makes its call if that is allowed. `unlisted`:
the list names no rate, and the relays learn it from a destination that refuses what its queue cannot hold.

    python -m benchmarks.cold [--seeds 200] [--json]"""

from __future__ import annotations

import argparse
import heapq
import json
import random
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from itertools import count
from math import sqrt
from statistics import median

from message_relay.decisions.actions import SetTimer, StartAttempt
from message_relay.decisions.events import AttemptCompleted, EndpointList, Event, Message, TimerFired
from message_relay.decisions.model import (
    DestinationKind,
    Effect,
    Endpoint,
    Listing,
    ListKind,
    MessageClass,
    Outcome,
    Rates,
    Safety,
    Settings,
)
from message_relay.decisions.scheduler import DeliveryScheduler

FLEETS = (1, 5, 20, 30, 200)
LISTED_VARIANTS = ("all know", "half know", "restarted", "uneven", "hint high", "silent", "unheard")
VARIANTS = (*LISTED_VARIANTS, "unlisted")
RATE, LOAD = 40.0, 0.8  # capacity of the warm destination in calls/s, and the offered share of it
DOWN_MS, BACK_MS, END_MS = 4_000.0, 11_000.0, 24_000.0
SAFETY = Safety(
    warm_up_initial_share=0.18, warm_up_ms=11_000.0, overload_multiple=2.0, overload_window_ms=1_500.0
)
HINT = 1.5  # a rough listed rate may be too high by this factor
REFUSED_MS, ANSWER_MS = 15.0, 120.0
LEARNING_MS = 10_000.0  # before the other variants begin, if the rate is not listed
WORK_MS, WORKERS, QUEUE_LENGTH = 200.0, 8, 14  # of the destination without a listed rate: it takes RATE
BURSTS_MS, BURST_MESSAGES = (-8_000.0, -4_000.0, 0.0), 80  # each of what it takes in 2 s
SYN_RETRY_MS, CONNECT_MS = (1_000.0, 3_000.0), 5_000.0  # SYN retransmissions; the relay's connect timeout
CLASS = MessageClass("c", Effect.SAFE, 3_000.0, 12_000.0)


class QueueingDestination:
    """Works on `WORKERS` calls at a time, in order, and refuses those above its queue."""

    def __init__(self) -> None:
        self.workers_free_at = [0.0] * WORKERS
        self.begins: list[float] = []  # of the calls that wait

    def finish_at(self, now: float) -> float | None:
        """Returns when a call that comes now is done; None if it is refused."""
        self.begins = [begin for begin in self.begins if begin > now]
        if len(self.begins) >= QUEUE_LENGTH:
            return None
        worker = min(range(WORKERS), key=self.workers_free_at.__getitem__)
        begin = max(now, self.workers_free_at[worker])
        self.begins.append(begin)
        self.workers_free_at[worker] = begin + WORK_MS / warm_share(begin)
        return self.workers_free_at[worker]


@dataclass
class Simulation:
    """One run: a fleet size, a variant of the outage, and a seed."""

    relays: int
    variant: str
    seed: int
    events: list[tuple[float, int, str, int, object]] = field(default_factory=list)
    numbers: Iterator[int] = field(default_factory=count)
    calls: list[tuple[float, bool]] = field(default_factory=list)  # ms; whether the relay knew of the outage

    def run(self) -> Simulation:
        rng = random.Random(f"{self.relays} {self.variant} {self.seed}")
        rates = {"hint high": Rates.ROUGH, "unlisted": Rates.NONE}.get(self.variant, Rates.NOMINAL)
        self.start_ms = -LEARNING_MS if self.variant == "unlisted" else 0.0
        self.queueing = QueueingDestination() if self.variant == "unlisted" else None
        self.settings = Settings(
            classes=(CLASS,),
            kinds=(DestinationKind("k"),),
            max_concurrent_attempts=12,
            max_pending_messages=4000,
            max_attempts=8,
            relays=self.relays,
            rates=rates,
            idle_ms=10_000.0,
            tick_ms=5.0,
            safety=SAFETY,
        )
        self.schedulers = [self._new(rng) for _ in range(self.relays)]
        self.is_aware = [False] * self.relays
        self.wakes = [float("inf")] * self.relays
        self._arrivals(rng)
        if self.variant == "restarted":
            for n in range(0, self.relays, 2):
                self.at(rng.uniform(DOWN_MS + 1_000, BACK_MS + 1_000), "restart", n, rng.random())
        while self.events:
            now, _, kind, n, payload = heapq.heappop(self.events)
            if kind == "restart":
                learned = self.schedulers[n].destination_snapshot(now)
                self.schedulers[n] = self._new(rng)
                self._handle(now, n, list(learned))
            elif kind == "up":
                assert isinstance(payload, StartAttempt)
                self._on_late_connection(now, n, payload)
            elif kind != "wake":
                assert isinstance(payload, Message | AttemptCompleted)
                failed = isinstance(payload, AttemptCompleted) and payload.outcome is not Outcome.OK
                self.is_aware[n] = self.is_aware[n] or (failed and now < BACK_MS)
                self._handle(now, n, [payload])
            elif self.wakes[n] == now:
                self._handle(now, n, [TimerFired(0)])
        return self

    def at(self, when: float, kind: str, n: int, payload: object = None) -> None:
        if when < END_MS:
            heapq.heappush(self.events, (when, next(self.numbers), kind, n, payload))

    def _new(self, rng: random.Random) -> DeliveryScheduler:
        relay = DeliveryScheduler(self.settings, rng.getrandbits(32))
        listed = RATE * (HINT if self.variant == "hint high" else 1.0)
        entry = Endpoint(1, 1, Listing.READY, rate=listed)
        relay.handle(self.start_ms, [EndpointList(ListKind.COMPLETE, (entry,))])
        return relay

    def _arrivals(self, rng: random.Random) -> None:
        weights = [1.0 / (1 + n) if self.variant == "uneven" else 1.0 for n in range(self.relays)]
        now, message_id = self.start_ms, 0
        if self.queueing is not None:
            message_id = self._bursts(rng)
        while (now := now + rng.expovariate(RATE * LOAD) * 1000) < END_MS:
            message_id += 1
            n = rng.choices(range(self.relays), weights)[0]
            if self.variant == "half know" and n % 2 and now < BACK_MS:
                continue  # these relays have no traffic for the destination before its return
            self.at(now, "event", n, Message(message_id, 1, 0, CLASS.deadline_ms))

    def _bursts(self, rng: random.Random) -> int:
        """Adds messages that come at once, as from one client; returns the id of the last one."""
        last_id = len(BURSTS_MS) * BURST_MESSAGES
        for message_id in range(1, last_id + 1):
            at = BURSTS_MS[message_id % len(BURSTS_MS)]
            self.at(at, "event", rng.randrange(self.relays), Message(message_id, 1, 0, CLASS.deadline_ms))
        return last_id

    def _handle(self, now: float, n: int, events: list[Event]) -> None:
        for action in self.schedulers[n].handle(now, events):
            if isinstance(action, SetTimer):
                self.wakes[n] = now + action.delay_ms
                self.at(self.wakes[n], "wake", n)
            elif isinstance(action, StartAttempt):
                self._call(now, n, action)

    def _call(self, now: float, n: int, attempt: StartAttempt) -> None:
        if self.variant == "unheard" and DOWN_MS <= now < BACK_MS:
            until = min(CONNECT_MS, attempt.give_up_at_ms - now)
            retries = [ms for ms in SYN_RETRY_MS if now + ms >= BACK_MS and ms < until]
            if retries:
                self.at(now + retries[0], "up", n, attempt)
            else:
                self.at(
                    now + until,
                    "event",
                    n,
                    AttemptCompleted(attempt.id, 0, attempt.endpoint, Outcome.CONNECT_FAILED, until),
                )
            return
        self.calls.append((now, self.is_aware[n]))
        outcome, latency_ms = Outcome.OK, ANSWER_MS
        if DOWN_MS <= now < BACK_MS:
            silent = self.variant == "silent"
            outcome = Outcome.TIMEOUT if silent else Outcome.CONNECT_FAILED
            latency_ms = attempt.give_up_at_ms - now if silent else REFUSED_MS
        elif self.queueing is not None:
            finish_at = self.queueing.finish_at(now)
            outcome = Outcome.FULL if finish_at is None else Outcome.OK
            latency_ms = REFUSED_MS if finish_at is None else finish_at - now
        self.at(
            now + latency_ms,
            "event",
            n,
            AttemptCompleted(attempt.id, 0, attempt.endpoint, outcome, latency_ms, outcome is Outcome.OK),
        )

    def _on_late_connection(self, now: float, n: int, attempt: StartAttempt) -> None:
        """Handles a connection that was established long after its first attempt."""
        if self.schedulers[n].may_write(now, attempt.id):
            self._call(now, n, attempt)
        else:
            self._handle(
                now,
                n,
                [AttemptCompleted(attempt.id, 0, attempt.endpoint, Outcome.NOT_SENT, 0.0, was_withheld=True)],
            )

    # -- results ----------------------------------------------------------------------------------------

    def worst(self) -> float:
        """Returns the worst ratio of calls to the allowed number over all windows after the return.

        By the rule, a window counts only if two thirds of its calls came from relays that knew of the outage.
        """
        calls, first, worst = [call for call in self.calls if call[0] >= BACK_MS], 0, 0.0
        for last, (at, _) in enumerate(calls):
            while calls[first][0] <= at - SAFETY.overload_window_ms:
                first += 1
            window = calls[first : last + 1]
            if 3 * sum(knew for _, knew in window) > 2 * len(window):
                worst = max(worst, len(window) / allowed(max(BACK_MS, at - SAFETY.overload_window_ms)))
        return worst

    def full_use_s(self) -> float:
        """Returns the seconds from the return until a second with nine tenths of the offered calls."""
        call_times = [at - BACK_MS for at, _ in self.calls if at >= BACK_MS]
        for start in range(0, int(END_MS - BACK_MS) - 1000, 100):
            if sum(start <= at < start + 1000 for at in call_times) >= 0.9 * RATE * LOAD:
                return start / 1000
        return (END_MS - BACK_MS) / 1000


def warm_share(at: float) -> float:
    """Returns the share of its capacity that the destination has at a time."""
    if at < BACK_MS:
        return 1.0
    progress = min(1.0, (at - BACK_MS) / SAFETY.warm_up_ms)
    return SAFETY.warm_up_initial_share + (1 - SAFETY.warm_up_initial_share) * progress


def allowed(start: float) -> float:
    """Returns how many calls it takes in the window that begins at this time, after its return."""
    capacity = RATE * warm_share(start + SAFETY.overload_window_ms / 2)
    budget = SAFETY.overload_multiple * capacity * SAFETY.overload_window_ms / 1000
    return budget + 2 * sqrt(budget) + 2


@dataclass(frozen=True)
class Row:
    relays: int
    way: str
    seeds: int
    worst_p50: float
    worst_p99: float
    worst_max: float
    over: int  # number of seeds with a window above the allowed number
    full_use_s_p50: float


def run_seed(relays: int, variant: str, seed: int) -> tuple[float, float]:
    simulation = Simulation(relays, variant, seed).run()
    return simulation.worst(), simulation.full_use_s()


def row(relays: int, variant: str, seeds: int, pool: ProcessPoolExecutor | None = None) -> Row:
    mapper = pool.map if pool is not None else map
    results = list(mapper(run_seed, [relays] * seeds, [variant] * seeds, range(seeds)))
    worst = sorted(each for each, _ in results)
    return Row(
        relays,
        variant,
        seeds,
        round(median(worst), 2),
        round(worst[int(0.99 * (seeds - 1))], 2),
        round(worst[-1], 2),
        sum(each > 1 for each in worst),
        median(used for _, used in results),
    )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    with ProcessPoolExecutor() as pool:
        rows = [row(relays, variant, args.seeds, pool) for relays in FLEETS for variant in VARIANTS]
    if args.json:
        print(json.dumps([{name: getattr(each, name) for name in Row.__annotations__} for each in rows]))
        return 0
    print("worst window over what is allowed (1.00 = N + 2 x root of N + 2)")
    for each in rows:
        print(
            f"{each.relays:4} relays, {each.way:10} p50 {each.worst_p50:.2f}  p99 {each.worst_p99:.2f}  "
            f"max {each.worst_max:.2f}  over {each.over:3} of {each.seeds}  "
            f"full use {each.full_use_s_p50:.1f} s"
        )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())

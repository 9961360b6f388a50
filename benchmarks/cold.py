"""What a fleet sends a destination that has just come back: each relay decides alone, in virtual time.

The budget of a cold destination holds for the sum: over any window of the settings' `fall_ms` it takes N
calls, `fall_multiple` times what it can do then, and 2 x root of N + 2 more are put down to chance. Prints,
for fleets of 1 to 200 and several ways in which they know of the outage, the worst window of each seed
against that, and how long after the return the destination is in full use (too little is a failure as well).
`unheard`: while it is out, connections get no answer, and the system asks anew after 1 s and 3 s; what comes
up after the return asks `may_write`, as a transport does, and carries its call if that says so.

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
WAYS = ("all know", "half know", "restarted", "uneven", "hint high", "silent", "unheard")
RATE, LOAD = 40.0, 0.8  # calls a second that it takes warm, and of them that are asked for
DOWN_MS, BACK_MS, END_MS = 4_000.0, 11_000.0, 24_000.0
SAFETY = Safety(
    warm_up_initial_share=0.18, warm_up_ms=11_000.0, overload_multiple=2.0, overload_window_ms=1_500.0
)
HINT = 1.5  # a rough rate may be listed so much too high
REFUSED_MS, ANSWER_MS = 15.0, 120.0
SAID_ANEW_MS, CONNECT_MS = (1_000.0, 3_000.0), 5_000.0  # of a connection, and how long a relay waits for it
CLASS = MessageClass("c", Effect.SAFE, 3_000.0, 12_000.0)


@dataclass
class Play:
    """One seed of one fleet."""

    relays: int
    way: str
    seed: int
    events: list[tuple[float, int, str, int, object]] = field(default_factory=list)
    numbers: Iterator[int] = field(default_factory=count)
    calls: list[tuple[float, bool]] = field(default_factory=list)  # when, and by one that knew of the outage

    def run(self) -> Play:
        rng = random.Random(f"{self.relays} {self.way} {self.seed}")
        rates = Rates.ROUGH if self.way == "hint high" else Rates.NOMINAL
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
        self.made = [self._new(rng) for _ in range(self.relays)]
        self.knows = [False] * self.relays
        self.wakes = [float("inf")] * self.relays
        self._arrivals(rng)
        if self.way == "restarted":
            for n in range(0, self.relays, 2):
                self.at(rng.uniform(DOWN_MS + 1_000, BACK_MS + 1_000), "restart", n, rng.random())
        while self.events:
            now, _, what, n, more = heapq.heappop(self.events)
            if what == "restart":
                learned = self.made[n].destination_snapshot(now)
                self.made[n] = self._new(rng)
                self._handle(now, n, list(learned))
            elif what == "up":
                assert isinstance(more, StartAttempt)
                self._up(now, n, more)
            elif what != "wake":
                assert isinstance(more, Message | AttemptCompleted)
                failed = isinstance(more, AttemptCompleted) and more.outcome is not Outcome.OK
                self.knows[n] = self.knows[n] or (failed and now < BACK_MS)
                self._handle(now, n, [more])
            elif self.wakes[n] == now:
                self._handle(now, n, [TimerFired(0)])
        return self

    def at(self, when: float, what: str, n: int, more: object = None) -> None:
        if when < END_MS:
            heapq.heappush(self.events, (when, next(self.numbers), what, n, more))

    def _new(self, rng: random.Random) -> DeliveryScheduler:
        relay = DeliveryScheduler(self.settings, rng.getrandbits(32))
        listed = RATE * (HINT if self.way == "hint high" else 1.0)
        entry = Endpoint(1, 1, Listing.READY, rate=listed)
        relay.handle(0.0, [EndpointList(ListKind.COMPLETE, (entry,))])
        return relay

    def _arrivals(self, rng: random.Random) -> None:
        weights = [1.0 / (1 + n) if self.way == "uneven" else 1.0 for n in range(self.relays)]
        now, ident = 0.0, 0
        while (now := now + rng.expovariate(RATE * LOAD) * 1000) < END_MS:
            ident += 1
            n = rng.choices(range(self.relays), weights)[0]
            if self.way == "half know" and n % 2 and now < BACK_MS:
                continue  # those have no traffic for it before it is back
            self.at(now, "event", n, Message(ident, 1, 0, CLASS.deadline_ms))

    def _handle(self, now: float, n: int, events: list[Event]) -> None:
        for act in self.made[n].handle(now, events):
            if isinstance(act, SetTimer):
                self.wakes[n] = now + act.delay_ms
                self.at(self.wakes[n], "wake", n)
            elif isinstance(act, StartAttempt):
                self._call(now, n, act)

    def _call(self, now: float, n: int, send: StartAttempt) -> None:
        if self.way == "unheard" and DOWN_MS <= now < BACK_MS:
            until = min(CONNECT_MS, send.give_up_at_ms - now)
            again = [ms for ms in SAID_ANEW_MS if now + ms >= BACK_MS and ms < until]
            if again:
                self.at(now + again[0], "up", n, send)
            else:
                self.at(
                    now + until,
                    "event",
                    n,
                    AttemptCompleted(send.id, 0, send.endpoint, Outcome.CONNECT_FAILED, until),
                )
            return
        self.calls.append((now, self.knows[n]))
        outcome, took = Outcome.OK, ANSWER_MS
        if DOWN_MS <= now < BACK_MS:
            silent = self.way == "silent"
            outcome = Outcome.TIMEOUT if silent else Outcome.CONNECT_FAILED
            took = send.give_up_at_ms - now if silent else REFUSED_MS
        self.at(
            now + took,
            "event",
            n,
            AttemptCompleted(send.id, 0, send.endpoint, outcome, took, outcome is Outcome.OK),
        )

    def _up(self, now: float, n: int, send: StartAttempt) -> None:
        """A connection is there, long after it was asked for."""
        if self.made[n].may_write(now, send.id):
            self._call(now, n, send)
        else:
            self._handle(
                now,
                n,
                [AttemptCompleted(send.id, 0, send.endpoint, Outcome.NOT_SENT, 0.0, was_withheld=True)],
            )

    # -- what came of it ---------------------------------------------------------------------------------

    def worst(self) -> float:
        """Of all windows after the return: calls over what the budget and chance allow; only those of which
        two thirds came from relays that knew, as the rule says."""
        late, first, worst = [call for call in self.calls if call[0] >= BACK_MS], 0, 0.0
        for last, (at, _) in enumerate(late):
            while late[first][0] <= at - SAFETY.overload_window_ms:
                first += 1
            window = late[first : last + 1]
            if 3 * sum(knew for _, knew in window) > 2 * len(window):
                worst = max(worst, len(window) / allowed(max(BACK_MS, at - SAFETY.overload_window_ms)))
        return worst

    def full_use_s(self) -> float:
        """After the return, until a second brings nine tenths of what is asked for."""
        late = [at - BACK_MS for at, _ in self.calls if at >= BACK_MS]
        for start in range(0, int(END_MS - BACK_MS) - 1000, 100):
            if sum(start <= at < start + 1000 for at in late) >= 0.9 * RATE * LOAD:
                return start / 1000
        return (END_MS - BACK_MS) / 1000


def allowed(start: float) -> float:
    middle = min(1.0, (start + SAFETY.overload_window_ms / 2 - BACK_MS) / SAFETY.warm_up_ms)
    can = RATE * (SAFETY.warm_up_initial_share + (1 - SAFETY.warm_up_initial_share) * middle)
    budget = SAFETY.overload_multiple * can * SAFETY.overload_window_ms / 1000
    return budget + 2 * sqrt(budget) + 2


@dataclass(frozen=True)
class Row:
    relays: int
    way: str
    seeds: int
    worst_p50: float
    worst_p99: float
    worst_max: float
    over: int  # seeds in which some window is above what is allowed
    full_use_s_p50: float


def one(relays: int, way: str, seed: int) -> tuple[float, float]:
    play = Play(relays, way, seed).run()
    return play.worst(), play.full_use_s()


def row(relays: int, way: str, seeds: int, pool: ProcessPoolExecutor | None = None) -> Row:
    spread = pool.map if pool is not None else map
    got = list(spread(one, [relays] * seeds, [way] * seeds, range(seeds)))
    worst = sorted(each for each, _ in got)
    return Row(
        relays,
        way,
        seeds,
        round(median(worst), 2),
        round(worst[int(0.99 * (seeds - 1))], 2),
        round(worst[-1], 2),
        sum(each > 1 for each in worst),
        median(used for _, used in got),
    )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    with ProcessPoolExecutor() as pool:
        rows = [row(relays, way, args.seeds, pool) for relays in FLEETS for way in WAYS]
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

"""Many instances and one partner that goes down and comes back cold, in virtual time.

    python -m benchmarks.fleet [--json] [--instances 40] [--rate 60] [--seeds 5]

The partner has an agreed rate; it is down for 12 s (calls find no connection), comes back at 18% of its rate
and is warm 11 s later. Above what it can do it refuses. Clients hand in at 80% of the rate, evenly over the
instances or skewed (Zipf: the k-th gets 1/k). Compared, in the same run and on the same arrivals:

- `alone`: each instance paces itself by what it learns, as without a fleet (the baseline).
- `static`: slots of the shared clock, all of them used at any time: a share that no evidence changes.
- `evidence`: slots of the shared clock, used as far as its own answers show (linnetstile/share.py).

`over 1 s` is the worst window of 1 s against the agreed rate, `over cold` the worst of 1.5 s after the return
against what the partner can do in it, both as ratios; `tries` are calls while it was down. Three of ten
instances are restarted during the outage and forget all.
"""

from __future__ import annotations

import argparse
import heapq
import random
import statistics
import sys
from bisect import bisect_left, bisect_right
from dataclasses import dataclass, replace
from itertools import count
from typing import Any

from linnetstile import interface as api
from linnetstile.control import Relay

from emulator.partner import Call, Reply
from emulator.partner import Partner as Model
from emulator.spec import Cold, Fault, Service, Spec, Trouble
from standins.partner import rated

from .report import report

WARM_MS = 25_000.0  # so long the fleet has run before anything counts
DOWN_MS, BACK_MS, END_MS = 30_000.0, 42_000.0, 75_000.0
LAST_MS = 59_000.0  # arrivals end
COLD, COLD_MS, FALL_MS = 0.18, 11_000.0, 1500.0
CLASSES = (
    api.MessageClass("order", api.Effect.KEYED, 4000.0, 16000.0, 2.0, 0.5, 4000.0),
    api.MessageClass("pay", api.Effect.UNSAFE, 3000.0, 16000.0, 1.0, 0.5),
    api.MessageClass("status", api.Effect.SAFE, 1500.0, 8000.0, 4.0, 0.1),
)
Event = tuple[float, int, int, Any]  # when, a number, which instance, what


OUTCOMES = {Reply.OK: api.Outcome.OK, Reply.FULL: api.Outcome.FULL,
            Reply.NO_CONNECTION: api.Outcome.CONNECT_FAILED, Reply.RESET: api.Outcome.RESET}


class Partner(Model):
    """Keeps when calls came, and which were taken."""

    def __init__(self, rate: float, seed: int) -> None:
        super().__init__(Spec(rate=rated(rate), service=Service(150.0, cv=0.0), cold=Cold(COLD, COLD_MS),
                              troubles=(Trouble(Fault.DOWN, DOWN_MS, BACK_MS),)), random.Random(seed))
        self.calls: list[float] = []
        self.taken: list[float] = []

    def outcome(self, at: float) -> api.Outcome:
        self.calls.append(at)
        outcome = OUTCOMES[self.call(at, Call("")).reply]
        if outcome is api.Outcome.OK:
            self.taken.append(at)
        return outcome


@dataclass
class World:
    mode: str
    instances: int
    rate: float
    skew: bool
    seed: int

    def __post_init__(self) -> None:
        self.rng, self.numbers, self.queue = random.Random(self.seed), count(), list[Event]()
        self.partner = Partner(self.rate, self.seed)
        self.relays: dict[int, Relay] = {}
        self.delivered: set[int] = set()
        self.counted: set[int] = set()
        self.tries: dict[int, int] = {}
        self.owed: dict[int, dict[int, tuple[api.Message, float]]] = {}  # by instance: what it has taken
        self.asked = 0

    def run(self) -> dict[str, float]:
        for n in range(self.instances):
            self.start(n)
            if n % 10 in (2, 5, 8):
                self.at(self.rng.uniform(DOWN_MS + 2000, BACK_MS - 1000), n, "restart")
        weights = [1 / (n + 1) if self.skew else 1.0 for n in range(self.instances)]
        now, ident = 0.0, 0
        while (now := now + self.rng.expovariate(0.8 * self.rate) * 1000) < LAST_MS:
            ident += 1
            self.asked += now >= WARM_MS
            class_ = self.rng.choices((0, 1, 2), (51, 32, 17))[0]
            (where,) = self.rng.choices(range(self.instances), weights)
            self.at(now, where, api.Message(ident, 1, class_, CLASSES[class_].deadline_ms))
            self.counted.update((ident,) if now >= WARM_MS else ())
        while self.queue:
            now, _, n, what = heapq.heappop(self.queue)
            if now > END_MS:
                break
            if what == "restart":
                self.start(n, now)
            elif isinstance(what, tuple):
                if self.relays[n] is what[0]:
                    self.feed(now, n, what[1])
            else:
                self.feed(now, n, what)
        return self.figures()

    def at(self, at: float, n: int, what: Any) -> None:
        heapq.heappush(self.queue, (at, next(self.numbers), n, what))

    def start(self, n: int, now: float = 0.0) -> None:
        """A fresh process: it knows nothing of the outage, and resumes what it held."""
        fleet = None if self.mode == "alone" else api.Fleet(n, self.instances, 0.0)
        settings = api.Settings(
            CLASSES, (api.DestinationKind("k"),), slots=8, hold=60, attempts=8, relays=self.instances,
            rates=api.Rates.NOMINAL, decay=api.Decay.HALVES, tick_ms=5.0, idle_ms=10_000.0, fleet=fleet,
            longest_advice_ms=1000.0, safety=api.Safety(20.0, 250.0, COLD, COLD_MS, 2.0, FALL_MS))
        relay = self.relays[n] = Relay(settings, self.rng.randrange(1 << 30))
        if self.mode == "static":
            settings = replace(settings, safety=replace(settings.safety, cold_share=1.0))
            relay.s = settings
        entry = api.Endpoint(1, 1, api.Listing.READY, rate=self.rate)
        resumed = [replace(msg, left_ms=msg.left_ms - (now - at), age_ms=now - at)
                   for msg, at in self.mine(n).values()]
        self.feed(now, n, api.EndpointList(api.ListKind.WHOLE, (entry,)), *resumed)

    def mine(self, n: int) -> dict[int, tuple[api.Message, float]]:
        return self.owed.setdefault(n, {})

    def feed(self, now: float, n: int, *events: api.Event) -> None:
        relay, owed = self.relays[n], self.mine(n)
        for event in events:
            if isinstance(event, api.Message) and event.age_ms is None:
                owed[event.id] = event, now
            elif isinstance(event, api.AttemptEnded) and event.finished:
                self.delivered.add(event.id)
                owed.pop(event.id, None)
        for act in relay.handle(now, list(events)):
            if isinstance(act, api.Send):
                number = self.tries[act.id] = self.tries.get(act.id, -1) + 1
                outcome = self.partner.outcome(now)
                took = 150.0 if outcome is api.Outcome.OK else 5.0
                self.at(now + took, n, (relay, api.AttemptEnded(
                    act.id, number, act.endpoint, outcome, took, outcome is api.Outcome.OK)))
            elif isinstance(act, api.SetTimer):
                self.at(now + act.delay_ms, n, (relay, api.TimerFired(0)))
            elif isinstance(act, api.Refuse | api.Fail):
                owed.pop(act.id, None)

    def figures(self) -> dict[str, float]:
        calls, partner = self.partner.calls, self.partner
        after = [at for at in calls if at >= BACK_MS]

        def window(at: float, ms: float) -> int:
            return bisect_right(calls, at + ms) - bisect_left(calls, at)

        over_cold = 0.0
        for at in [at for at in after if at < BACK_MS + COLD_MS]:
            can = partner.can(at + FALL_MS / 2) * FALL_MS / 1000
            over_cold = max(over_cold, window(at, FALL_MS) / can)
        up = [at for at in calls if WARM_MS <= at < DOWN_MS or at >= BACK_MS]
        return {"delivered": len(self.delivered & self.counted) / self.asked,
                "over 1 s": max((window(at, 999.9) for at in up), default=0) / self.rate,
                "over cold": over_cold, "tries": sum(DOWN_MS <= at < BACK_MS for at in calls),
                "refused": len(after) - sum(at >= BACK_MS for at in partner.taken),
                "calls": sum(at >= WARM_MS for at in calls)}


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.fleet")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--instances", type=int, default=40)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--seeds", type=int, default=5)
    args = parser.parse_args()
    out: list[dict[str, Any]] = []
    for skew in (False, True):
        for mode in ("alone", "static", "evidence"):
            rows = [World(mode, args.instances, args.rate, skew, seed).run() for seed in range(args.seeds)]
            out.append({"traffic": "skewed" if skew else "even", "mode": mode, **{
                name: (statistics.median if name in ("delivered", "tries", "calls") else max)(
                    row[name] for row in rows) for name in rows[0]}})
    report(out, args.json, (
        f"{args.instances} instances, agreed rate {args.rate:g}/s, {args.seeds} seeds: worst ratios",
        "traffic  mode      delivered  over 1 s  over cold  tries while down  calls"),
        "{traffic:8} {mode:9}{delivered:10.3f}{over 1 s:10.2f}{over cold:11.2f}{tries:18.0f}{calls:7.0f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())

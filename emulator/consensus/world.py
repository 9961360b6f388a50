"""Agreed rules under faults in virtual time: the real leases and books, a log that commits with a majority.

    python -m emulator.consensus.world [--schedules 1000] [--first 1] [--processes 8] [--without GUARD]
            [--json]

A schedule is drawn from its seed: relays of which the first vote, clocks that drift apart, messages that
are late, lost or come twice, links cut one way or both, processes that stand still or start anew, and
operators who propose rules that forbid each other. Each call that a relay makes is held against the
version in force: the latest that a majority of voters has cleared, so that relays may act on it. Told as
broken: a call that this version forbids (the bound is 0 s there), one by an older version alone more than T
later, and relays that do not come together once all faults are over.

The log is reduced to what Raft promises: an entry that a voter hands in is agreed on while it reaches a
majority both ways, and a voter hears of entries from any other that it reaches; after a start it knows of
none."""

from __future__ import annotations

import argparse
import heapq
import json
import multiprocessing
import random
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from message_relay.consensus.lease_grantor import LeaseGrantor
from message_relay.consensus.lease_holder import ActiveRules, LeaseHolder, LeaseTier
from message_relay.consensus.lease_protocol import LeaseGrant, LeaseRenewal, LeaseTerms
from message_relay.consensus.rules import ANY, DestinationRule, Rules
from message_relay.consensus.rules_codec import encode_rules
from message_relay.consensus.rules_meet import is_subset
from message_relay.consensus.version_history import Propose, Version, VersionHistory, Withdraw

RELAYS, VOTERS = 5, 3
FAULTS_S, QUIET_S = 10.0, 9.0  # faults, and then time to come together
TERMS = LeaseTerms(bound_s=1.0, horizon_s=3.0, drift=0.06, standby_share=0.9)
CLOCK = 0.028  # of a clock, at most: two of them stay under the drift
SETS = (
    Rules(),
    Rules({ANY: DestinationRule(rate=10.0)}),
    Rules({ANY: DestinationRule(rate=9.5)}),
    Rules({ANY: DestinationRule(endpoints=frozenset("a"))}),
    Rules({ANY: DestinationRule(endpoints=frozenset("b"))}),
    Rules({ANY: DestinationRule(rate=100.0, endpoints=frozenset("ab"))}),
)
WITHOUT = ("majority", "kept", "start", "wait", "standby", "byte", "drift", "asked")


@dataclass
class Relay:
    name: str
    rate: float
    offset: float
    boot: int = 0
    nonce: int = 0
    frozen_until: float = 0.0
    down: bool = False
    holding: LeaseHolder | None = None
    granting: LeaseGrantor | None = None
    book: VersionHistory | None = None
    applied: int = 0
    cleared: int = 0  # on its disk
    looked: ActiveRules | None = None  # what it would go by if it did not look before the first byte

    def clock(self, now: float) -> float:
        return self.offset + now * self.rate


@dataclass
class World:
    seed: int
    without: str = ""
    broken: list[str] = field(default_factory=list)
    calls: int = 0
    worst: float = 0.0  # s by which an older version was acted on after a newer one
    activated: list[float] = field(default_factory=list)  # s from agreed on to first acted on

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.now, self.number = 0.0, 0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.cut: set[tuple[str, str]] = set()
        self.loss = self.rng.choice((0.0, 0.0, 0.1, 0.3))
        self.twice = self.rng.choice((0.0, 0.1))
        self.late = self.rng.choice((0.02, 0.1, 0.4))
        drift = 0.0 if self.without == "drift" else TERMS.drift
        self.terms = LeaseTerms(TERMS.bound_s, TERMS.horizon_s, drift, TERMS.standby_share)
        spread = 0.12 if self.without == "drift" else CLOCK
        self.relays = [
            Relay(f"n{n}", 1 + self.rng.uniform(-spread, spread), self.rng.uniform(0, 1e5))
            for n in range(RELAYS)
        ]
        self.voters = [relay.name for relay in self.relays[:VOTERS]]
        self.by_name = {relay.name: relay for relay in self.relays}
        self.truth = VersionHistory(Rules(), tuple(self.voters))
        self.log: list[Propose] = []
        self.agreed_at = {1: 0.0}
        self.cleared_by: dict[int, set[str]] = {}
        self.force, self.force_at = self.truth.newest, 0.0

    # -- time and messages
    # -------------------------------------------------------------------------------------

    def at(self, when: float, what: Callable[[], None]) -> None:
        self.number += 1
        heapq.heappush(self.heap, (when, self.number, what))

    def on(self, relay: Relay, boot: int, what: Callable[[], None]) -> None:
        """Now, or when it wakes; not at all if that process has ended."""
        if relay.boot != boot or relay.down:
            return
        if self.now < relay.frozen_until:
            self.at(relay.frozen_until + self.rng.uniform(0, 0.01), lambda: self.on(relay, boot, what))
        else:
            what()

    def send(self, source: str, to: Relay, what: Callable[[], None]) -> None:
        if (source, to.name) in self.cut or self.rng.random() < self.loss:
            return
        boot = to.boot
        for _ in range(1 + (self.rng.random() < self.twice)):
            delay = self.rng.uniform(0.001, 0.02)
            if self.rng.random() < 0.1:
                delay += self.rng.uniform(0, self.late)
            self.at(self.now + delay, lambda: self.on(to, boot, what))

    def run(self) -> World:
        for relay in self.relays:
            self.start(relay)
        self.at(0.3, self.operator)
        self.at(0.2, self.fault)
        self.at(FAULTS_S, self.heal)
        while self.heap and self.heap[0][0] < FAULTS_S + QUIET_S:
            self.now, _, what = heapq.heappop(self.heap)
            what()
        if not self.without:
            self.together()
        return self

    def together(self) -> None:
        newest = self.truth.current.number
        for relay in self.relays:
            assert relay.holding is not None
            acting = relay.holding.active_rules(relay.clock(self.now))
            if acting.label != str(newest):
                self.broken.append(f"{relay.name} acts by {acting.label} in the end, not by {newest}")

    # -- processes
    # ---------------------------------------------------------------------------------------------

    def start(self, relay: Relay) -> None:
        relay.down = False
        relay.boot += 1
        relay.nonce = self.rng.getrandbits(40)
        now = relay.clock(self.now)
        first = "first"
        relay.holding = LeaseHolder(relay.boot, relay.nonce, first, self.terms)
        relay.holding.add_version(VersionHistory(Rules(), tuple(self.voters)).newest)
        if self.without == "asked":
            self._from_answer(relay.holding)
        if self.without == "majority":
            relay.holding._majority_time = _any(relay.holding)  # type: ignore[method-assign]
        if relay.name in self.voters:
            relay.book, relay.applied = VersionHistory(Rules(), tuple(self.voters)), 0
            cleared = 0 if self.without == "kept" else relay.cleared
            granting = relay.granting = LeaseGrantor(relay.name, relay.book, self.terms, first, cleared, now)
            granting.has_never_granted = relay.boot == 1 or self.without == "start"
            if self.without == "wait":
                granting._is_possible_set_bounded = lambda *_: True  # type: ignore[method-assign]
            if self.without == "standby":
                lease = self.terms.grantor_duration(self.terms.lease_s)
                granting._is_bounded_by_age = lambda age, numbers, version: (  # type: ignore[method-assign]
                    age > lease or granting._is_intersection_subset(numbers, version)
                )
            self.at(self.now, lambda b=relay.boot: self.pull(relay, b))  # type: ignore[misc]
        self.at(self.now, lambda b=relay.boot: self.renew(relay, b))  # type: ignore[misc]
        self.at(self.now, lambda b=relay.boot: self.call(relay, b))  # type: ignore[misc]

    @staticmethod
    def _from_answer(holding: LeaseHolder) -> None:
        heard = holding.on_grant

        def late(now: float, voter: str, grant: LeaseGrant) -> bool:
            asked = holding.sent_renewals.get(grant.sequence)
            if asked is not None:
                holding.sent_renewals[grant.sequence] = asked._replace(sent_at=now)
            return heard(now, voter, grant)

        holding.on_grant = late  # type: ignore[method-assign]

    def pull(self, relay: Relay, boot: int) -> None:
        """Hears of the log from another voter."""
        if relay.boot != boot:
            return
        self.at(
            self.now + self.rng.uniform(0.05, 0.15),
            lambda: self.on(relay, boot, lambda: self.pull(relay, boot)),
        )
        others = [self.by_name[name] for name in self.voters if name != relay.name]
        other = self.rng.choice(others)
        ready = not other.down and self.now >= other.frozen_until
        if ready and not self._parted(relay, other) and other.applied > relay.applied:
            self._apply(relay, other.applied)
        elif self._majority_of(relay):  # a leader tells it how far the log is agreed on
            self._apply(relay, len(self.log))

    def _parted(self, a: Relay, b: Relay) -> bool:
        return (a.name, b.name) in self.cut or (b.name, a.name) in self.cut

    def _majority_of(self, relay: Relay) -> list[Relay]:
        found = [relay]
        for name in self.voters:
            other = self.by_name[name]
            up = not other.down and self.now >= other.frozen_until
            if other is not relay and up and not self._parted(relay, other):
                found.append(other)
        return found if 2 * len(found) > len(self.voters) else []

    def _apply(self, relay: Relay, upto: int) -> None:
        assert relay.book is not None and relay.granting is not None and relay.holding is not None
        for told in self.log[relay.applied : upto]:
            relay.book.apply(told)
        relay.applied = max(relay.applied, upto)
        for version in relay.book.versions:
            relay.holding.add_version(version)
        self._clear(relay)

    def _clear(self, relay: Relay) -> None:
        assert relay.granting is not None
        if relay.granting.clear_current_version(relay.clock(self.now)):
            relay.cleared = relay.granting.cleared_version  # written before anybody hears of it
            self.in_force(relay)

    # -- leases
    # ------------------------------------------------------------------------------------------------

    def renew(self, relay: Relay, boot: int) -> None:
        if relay.boot != boot:
            return
        self.at(
            self.now + self.terms.renew_interval_s * self.rng.uniform(0.8, 1.0),
            lambda: self.on(relay, boot, lambda: self.renew(relay, boot)),
        )
        self.ask(relay)

    def ask(self, relay: Relay) -> None:
        assert relay.holding is not None
        told = relay.holding.renew(relay.clock(self.now))
        for name in self.voters:
            voter = self.by_name[name]
            if voter is relay:
                self.renewed(voter, relay, told)
            else:
                self.send(relay.name, voter, lambda v=voter: self.renewed(v, relay, told))  # type: ignore[misc]

    def renewed(self, voter: Relay, relay: Relay, told: LeaseRenewal) -> None:
        assert voter.granting is not None
        self._clear(voter)
        grant = voter.granting.on_renewal(voter.clock(self.now), relay.name, told)
        self._clear(voter)
        if voter is relay:
            self.heard(relay, voter, grant)
        else:
            self.send(voter.name, relay, lambda: self.heard(relay, voter, grant))

    def heard(self, relay: Relay, voter: Relay, grant: LeaseGrant) -> None:
        holding = relay.holding
        assert holding is not None and voter.book is not None
        again = holding.on_grant(relay.clock(self.now), voter.name, grant)
        if len(holding.active_versions) == 1:
            self.adopted(holding.active_versions[0])
        missing = holding.missing_version(grant)
        found: Version | None = voter.book.get(missing) if missing else None
        if found is not None:
            holding.add_version(found)
        if again:
            boot = relay.boot
            self.at(self.now + 0.001, lambda: self.on(relay, boot, lambda: self.ask(relay)))

    # -- calls and their judge
    # -----------------------------------------------------------------------------------

    def call(self, relay: Relay, boot: int) -> None:
        """Sends, and looks at what it may send next time."""
        if relay.boot != boot:
            return
        assert relay.holding is not None
        acting = relay.holding.active_rules(relay.clock(self.now))
        used = relay.looked if self.without == "byte" and relay.looked is not None else acting
        relay.looked = acting
        self.judge(relay, used)
        self.at(
            self.now + self.rng.uniform(0.02, 0.2),
            lambda: self.on(relay, boot, lambda: self.call(relay, boot)),
        )

    def in_force(self, relay: Relay) -> None:
        """A version may be acted on as agreed once a majority has cleared it: that very one, since only for
        that are there grants of all of them."""
        who = self.cleared_by.setdefault(relay.cleared, set())
        who.add(relay.name)
        version = self.truth.get(relay.cleared)
        if version is not None and 2 * len(who) > VOTERS and version.number > self.force.number:
            self.force, self.force_at = version, self.now

    def adopted(self, number: int) -> None:
        agreed_at = self.agreed_at.pop(number, None)
        if agreed_at is not None:
            self.activated.append(self.now - agreed_at)

    def judge(self, relay: Relay, acting: ActiveRules) -> None:
        self.calls += 1
        if (
            acting.tier is LeaseTier.LEASE
            and len(acting.versions) == 1
            and acting.versions[0] < self.force.number
        ):
            late = self.now - self.force_at
            self.worst = max(self.worst, late)
            if late > self.terms.bound_s:
                self.broken.append(
                    f"{self.now:.2f}: {relay.name} acts by {acting.label} "
                    f"{late:.2f} s after {self.force.number}"
                )
        if not is_subset(acting.rules, self.force.decoded_rules):
            self.broken.append(
                f"{self.now:.2f}: {relay.name} sends by {acting.label} what {self.force.number} forbids"
            )

    # -- operators and faults
    # --------------------------------------------------------------------------------------

    def operator(self) -> None:
        if self.now >= FAULTS_S:
            return
        self.at(self.now + self.rng.uniform(0.3, 2.0), self.operator)
        relay = self.by_name[self.rng.choice(self.voters)]
        if relay.down or self.now < relay.frozen_until:
            return
        majority = self._majority_of(relay)
        if not majority:
            return
        for each in majority:
            self._apply(each, len(self.log))
        share = self.rng.choice((1.0, 1.0, 0.5))
        told = Propose(
            self.truth.newest.number, encode_rules(self.rng.choice(SETS)), "op", "c", self.now * 1000, share
        )
        if self.truth.apply(told).refused:
            return
        self.log.append(told)
        self.agreed_at[self.truth.newest.number] = self.now
        for each in majority:
            self._apply(each, len(self.log))

    def fault(self) -> None:
        if self.now >= FAULTS_S:
            return
        self.at(self.now + self.rng.uniform(0.1, 1.2), self.fault)
        relay = self.rng.choice(self.relays)
        match self.rng.randrange(6):
            case 0:
                relay.frozen_until = self.now + self.rng.choice((0.2, 1.0, 2.0, 5.0))
            case 1:
                self.stop(relay, self.rng.choice((0.01, 0.3, 2.0)))
            case 2:
                some = set(
                    self.rng.sample([each.name for each in self.relays], self.rng.randrange(1, RELAYS))
                )
                pairs = {
                    (a.name, b.name)
                    for a in self.relays
                    for b in self.relays
                    if (a.name in some) != (b.name in some)
                }
                if self.rng.random() < 0.3:
                    pairs = {(a, b) for a, b in pairs if a in some}  # one way only
                self.part(pairs, self.rng.choice((0.3, 1.0, 2.0, 5.0)))
            case 3:
                self.cut.clear()
            case 4:
                for each in self.relays:
                    if self.rng.random() < 0.7:
                        self.stop(each, self.rng.uniform(0.01, 0.5))
            case _:
                pass

    def part(self, pairs: set[tuple[str, str]], seconds: float) -> None:
        self.cut |= pairs
        self.at(self.now + seconds, lambda: self.cut.difference_update(pairs))

    def stop(self, relay: Relay, seconds: float) -> None:
        if relay.down:
            return
        relay.down, relay.looked, relay.frozen_until = True, None, 0.0
        self.at(self.now + seconds, lambda: self.start(relay))

    def heal(self) -> None:
        self.cut.clear()
        self.loss = 0.0
        for relay in self.relays:
            relay.frozen_until = min(relay.frozen_until, self.now)
        # A trial that nobody ended would stand for ever: the operators end it.
        trial = self.truth.canary
        if trial is not None:
            self.at(self.now + 1.0, self.settle)

    def settle(self) -> None:
        trial = self.truth.canary
        if trial is None:
            return
        told: Any = Withdraw(trial.number, "op", "the end")
        self.truth.apply(told)
        self.log.append(told)


def _any(holding: LeaseHolder) -> Callable[..., float]:
    def majority(voters: tuple[str, ...], number: int = 0) -> float:
        words = [holding.grant_states[name] for name in voters if name in holding.grant_states]
        times = [
            word.recorded_at if not number else word.granted_at
            for word in words
            if not number or word.granted_version == number
        ]
        return max(times, default=float("-inf"))

    return majority


def played(task: tuple[int, str]) -> tuple[int, list[str], int, float, list[float]]:
    world = World(*task).run()
    return task[0], world.broken, world.calls, world.worst, world.activated


def many(schedules: int, first: int, without: str, processes: int) -> dict[str, Any]:
    tasks = [(seed, without) for seed in range(first, first + schedules)]
    begun = time.monotonic()
    with multiprocessing.Pool(processes) as pool:
        found = pool.map(played, tasks, chunksize=20)
    activated = sorted(each for *_, times in found for each in times)
    bad = [(seed, broken[0]) for seed, broken, *_ in found if broken]
    return {
        "schedules": schedules,
        "without": without,
        "broken": len(bad),
        "first broken": bad[:5],
        "calls": sum(calls for _, _, calls, _, _ in found),
        "bound s": TERMS.bound_s,
        "older acted on s, worst": max(worst for _, _, _, worst, _ in found),
        "activate s p50": activated[len(activated) // 2] if activated else None,
        "activate s p99": activated[int(0.99 * (len(activated) - 1))] if activated else None,
        "s": round(time.monotonic() - begun, 1),
    }


def main() -> int:
    parser = argparse.ArgumentParser(prog="emulator.consensus.world")
    parser.add_argument("--schedules", type=int, default=1000)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--processes", type=int, default=8)
    parser.add_argument("--without", choices=WITHOUT, default="")
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    told = many(args.schedules, args.first, args.without, args.processes)
    print(json.dumps(told) if args.json else "\n".join(f"{key:24} {value}" for key, value in told.items()))
    return 1 if told["broken"] and not args.without else 0


if __name__ == "__main__":
    sys.exit(main())

"""From evidence to the next plan, and whether it is worth a version. No I/O; the clock is passed in, in
seconds.

Whoever leads the log decides; all voters hear the evidence. A decider that takes over begins with the plan
in force, never anew: what was being left stays left, a ramp goes on from its step (`Judge.resume`).

A plan is put as rules (consensus/rules.py): a bound for what goes from zone to zone, and advice which
share of a zone's relays may use which zone now. Kept, whatever the evidence says:
- what may go into a zone from all others together lies within its room beside what its own relays send;
- a zone that comes back cold gets what it can do cold;
- `spare` of each zone's room is given to no plan: relays that are cut off go on with that, and so each
  version allows what they may do, and none has to wait for them.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from ..consensus.rule_enforcement import hash_position
from ..consensus.rules import FlowRule, Rules
from .observations import (
    OTHER_DESTINATIONS,
    Aggregate,
    Observations,
    ZoneMatrix,
    ZonePair,
    ZoneSeries,
    summed,
)
from .planner import Group, Plan, Problem, Solver, Way, plans
from .settings import FailoverSettings
from .zone_health import RECOVERY_RAMP, HealthState, ZoneHealth, ZoneHealthJudge

MIN_RELATIVE_CHANGE = 0.2  # of a bound: less than that is no reason for a version
HEADROOM_SHARE = 0.5  # of the room that a plan leaves goes to what flows there; the rest is its own relays'
RELAY_COUNT_MARGIN, LARGE_ZONE = (
    0.1,
    10,
)  # relays of a zone: so much more than there are is told, where they are so many
MIN_PLAN_INTERVAL_S = (
    1.0  # between two versions of a plan at the least: the last one is acted on before it is judged
)
SHARED_LOSS_SHARE = 0.5  # of the destinations that are judged: then the zone is lost to all of them
MIN_JUDGED_DESTINATIONS = 3  # destinations at the least, before they speak for a zone
MAX_DESTINATIONS = 5000  # judged at once: as many as a set of rules names
FORGET_DESTINATION_S = 120.0  # a destination of which nothing was heard for so long is judged no more

Capacities = dict[
    int, dict[str, float]
]  # calls a second that the endpoints of a destination in a zone can take


@dataclass
class PlanExplanation:
    """Why a destination has the plan that it has: for `zone plan --explain`."""

    method: str
    flows: dict[Way, float]
    shed: dict[tuple[str, str], float]
    capacity: dict[str, float]


@dataclass
class FailoverController:
    settings: FailoverSettings
    observations: Observations
    solver: Solver | None
    clock: Callable[[], float]  # of the planner's budget
    judges: dict[int, ZoneHealthJudge] = field(default_factory=dict)
    last_observed: dict[int, float] = field(default_factory=dict)
    explanations: dict[int, PlanExplanation] = field(default_factory=dict)
    proposed_at: float = -math.inf
    resumed: bool = False

    @property
    def zones(self) -> tuple[str, ...]:
        return tuple(sorted(self.settings.zones))

    def reset(self) -> None:
        """Another one decides: what is thought here is too old once that one stops."""
        self.judges.clear()
        self.last_observed.clear()
        self.resumed = False

    def update(self, now: float, rules: Rules, rooms: Capacities) -> dict[int, Problem]:
        """Takes what is known now; what there is to plan, for `plans`."""
        self.observations.drop_expired(now)
        if not self.resumed:
            self._resume(now, rules)
        self._judge(now)
        return self.problems(now, rooms, rules.policies.evacuated)

    def compute_plans(self, problems: dict[int, Problem]) -> dict[int, Plan]:
        """Takes its time, and touches nothing that changes: not on the loop."""
        return plans(problems, self.solver, self.settings.budget_ms / 1000, self.clock)

    def next_rules(
        self,
        now: float,
        rules: Rules,
        rooms: Capacities,
        relays: dict[str, list[str]],
        problems: dict[int, Problem],
        found: dict[int, Plan],
    ) -> Rules | None:
        """The rules with the next plan; None: the plan in force does. `relays`: their names, by zone."""
        flows = {
            str(destination): flow
            for destination in sorted({*rooms, *found})
            if (flow := self._flow(destination, found.get(destination), problems, rooms, relays)) is not None
        }
        counts = {
            zone: _declared_relay_count(rules.zones.get(zone, 0), len(relays.get(zone, ())))
            for zone in self.zones
        }
        if now - self.proposed_at < MIN_PLAN_INTERVAL_S or not self._needs_new_version(rules, flows, counts):
            return None
        self.proposed_at = now
        return msgspec.structs.replace(rules, flows=flows, zones=counts)

    # -- verdicts --------------------------------------------------------------------------------------------

    def _resume(self, now: float, rules: Rules) -> None:
        self.resumed = True
        for name, flow in rules.flows.items():
            if name.isdecimal() and flow.share:
                shares = {(a, b): part for a, row in flow.share.items() for b, part in row.items()}
                self._judge_of(int(name), now).resume(now, shares)

    def _judge_of(self, destination: int, now: float) -> ZoneHealthJudge:
        self.last_observed[destination] = now
        return self.judges.setdefault(destination, ZoneHealthJudge(self.observations, destination))

    def _judge(self, now: float) -> None:
        series = self.observations.series(now)
        for destination in sorted(series):
            if destination != OTHER_DESTINATIONS and (
                destination in self.judges or len(self.judges) < MAX_DESTINATIONS
            ):
                self._judge_of(destination, now)
        together = self._recovering_pairs(now, series)
        for destination, judge in list(self.judges.items()):
            judge.update(now, series.get(destination, {}), together)
            if now - self.last_observed[destination] > FORGET_DESTINATION_S:
                del self.judges[destination], self.last_observed[destination]

    def _recovering_pairs(self, now: float, series: dict[int, ZoneSeries]) -> ZoneMatrix:
        """Of pairs that most of the destinations which use them have lost of late: what was seen of those,
        lost ones not counted, in the latest windows."""
        found: dict[ZonePair, list[Aggregate]] = {
            pair: [] for pair in self._pairs_of_most(lambda standing: standing.recently_lost)
        }
        for destination, judge in self.judges.items():
            for pair, standing in judge.pairs.items():
                if pair in found and standing.recently_lost and standing.state is not HealthState.LOST:
                    found[pair].append(judge.recent(now, pair, series.get(destination, {})))
        return {pair: summed(row) for pair, row in found.items()}

    def pairs_lost_by_most(self) -> set[ZonePair]:
        """Pairs that most of the destinations which use them have lost: the others need not find out."""
        return self._pairs_of_most(lambda standing: standing.state is HealthState.LOST)

    def _pairs_of_most(self, lost: Callable[[ZoneHealth], bool]) -> set[ZonePair]:
        """Pairs of which that is true for most of the destinations that are judged, and enough are."""
        judged: Counter[ZonePair] = Counter()
        so: Counter[ZonePair] = Counter()
        for judge in self.judges.values():
            for pair, standing in judge.pairs.items():
                judged[pair] += 1
                so[pair] += lost(standing)
        return {
            pair
            for pair, n in judged.items()
            if n >= MIN_JUDGED_DESTINATIONS and so[pair] > SHARED_LOSS_SHARE * n
        }

    def shares(
        self, destination: int, evacuated: Iterable[str], together: set[ZonePair]
    ) -> dict[ZonePair, float]:
        """Of the relays in each zone that may use each zone. `together`: see `lost_together`."""
        judge = self.judges.get(destination)
        found: dict[ZonePair, float] = {}
        for source in self.zones:
            for target in self.zones:
                pair = source, target
                share = 1.0 if judge is None else judge.health(pair).share
                if target in evacuated or judge is None and pair in together:
                    share = 0.0
                found[pair] = share
        return found

    # -- plans -----------------------------------------------------------------------------------------------

    def problems(self, now: float, rooms: Capacities, evacuated: Iterable[str] = ()) -> dict[int, Problem]:
        """Of the destinations that can't have everything at home."""
        demand, together = self.observations.demand(now), self.pairs_lost_by_most()
        price = {(a, b): self.settings.price(a, b) for a in self.zones for b in self.zones}
        found: dict[int, Problem] = {}
        for destination, sources in demand.items():
            judge = self.judges.get(destination)
            shares = self.shares(destination, evacuated, together)
            if all(share >= 1.0 for share in shares.values()) and not self._exceeds_local_capacity(
                sources, rooms, destination
            ):
                continue
            room = {
                zone: self._usable_capacity(judge, zone, rooms.get(destination, {}).get(zone, math.inf))
                for zone in self.zones
            }
            found[destination] = Problem(
                self.zones,
                tuple(self._group(name) for name in sorted({group for _, group in sources})),
                {who: rate for who, rate in sources.items() if who[0] in self.settings.zones},
                room,
                {
                    pair: share and (1.0 if judge is None else judge.health(pair).success_share)
                    for pair, share in shares.items()
                },
                price,
                self.explanations[destination].flows if destination in self.explanations else {},
                {pair: share for pair, share in shares.items() if share < 1.0},
            )
        return found

    def _exceeds_local_capacity(
        self, sources: dict[tuple[str, str], float], rooms: Capacities, destination: int
    ) -> bool:
        """Whether some zone's own relays ask for more than it has."""
        asked: dict[str, float] = {}
        for (zone, _), rate in sources.items():
            asked[zone] = asked.get(zone, 0.0) + rate
        room = rooms.get(destination, {})
        return any(rate > room.get(zone, math.inf) for zone, rate in asked.items())

    def _usable_capacity(self, judge: ZoneHealthJudge | None, zone: str, room: float) -> float:
        """Without what is spared; of a zone whose partners were down, what they can do cold."""
        room *= 1.0 - self.settings.spare
        if judge is None or not judge.is_down(zone):
            return room
        steps = [standing.ramp_step for (_, target), standing in judge.pairs.items() if target == zone]
        return room * RECOVERY_RAMP[max(steps, default=0)]

    def _group(self, name: str) -> Group:
        stay, _, worth = name.partition(" ")
        pairs = None
        if stay != "anywhere":
            region = self.settings.region
            pairs = frozenset(
                (a, b)
                for a in self.zones
                for b in self.zones
                if a == b or stay == "region" and region(a) == region(b)
            )
        return Group(name, float(worth or 1.0), pairs)

    # -- as rules --------------------------------------------------------------------------------------------

    def _flow(
        self,
        destination: int,
        plan: Plan | None,
        problems: dict[int, Problem],
        rooms: Capacities,
        relays: dict[str, list[str]],
    ) -> FlowRule | None:
        """What the rules say of it; None: nothing."""
        room = rooms.get(destination, {})
        spare = {
            zone: round(self.settings.spare * rate / max(1, len(self.zones) - 1), 3)
            for zone, rate in room.items()
            if zone in self.settings.zones and math.isfinite(rate)
        }
        if plan is None:
            self.explanations.pop(destination, None)
            return FlowRule(spare=spare) if spare else None
        problem = problems[destination]
        self.explanations[destination] = PlanExplanation(
            plan.how, plan.flows, plan.shed(problem), problem.room
        )
        share: dict[str, dict[str, float]] = {}
        for (source, target), part in sorted(problem.part.items()):
            if part > 0:  # one of them at least, or nothing would ever be heard of it again
                first = min(
                    (hash_position(destination, target, name) for name in relays.get(source, ())), default=0.0
                )
                part = min(1.0, max(part, round(first + 1e-6, 6)))
            share.setdefault(source, {})[target] = part
        return FlowRule(self._bounds(plan, problem, spare), spare, share)

    def _bounds(self, plan: Plan, problem: Problem, spare: dict[str, float]) -> dict[str, dict[str, float]]:
        found: dict[str, dict[str, float]] = {}
        for target in self.zones:
            room = problem.room.get(target, math.inf)
            if math.isinf(room):
                continue
            flows: dict[str, float] = {}
            for (source, _, to), rate in plan.flows.items():
                if to == target:
                    flows[source] = flows.get(source, 0.0) + rate
            used = sum(flows.values())
            more = 1.0 + (HEADROOM_SHARE * (room - used) / used if used > 0 else 0.0)
            for source in self.zones:
                if source != target:
                    rate = flows.get(source, 0.0) * more
                    found.setdefault(source, {})[target] = round(max(rate, spare.get(target, 0.0)), 3)
        return found

    def _needs_new_version(self, rules: Rules, flows: dict[str, FlowRule], counts: dict[str, int]) -> bool:
        if set(flows) != {name for name in rules.flows if name.isdecimal()}:
            return True
        if any(rules.zones.get(zone, 0) != count for zone, count in counts.items()):
            return True
        return any(_flow_changed(rules.flows[name], flow) for name, flow in flows.items())


def _declared_relay_count(before: int, now: int) -> int:
    """Relays that share what a zone may send elsewhere: never fewer than there are. One that comes or goes is
    no reason for a version: while thousands join, and are heard of one by one, each version contradicted the
    one before, and nobody got to a lease."""
    now = max(1, now)
    if not before or now < LARGE_ZONE:
        return now
    if now > before:
        return now + int(RELAY_COUNT_MARGIN * now)
    return before if before <= (1 + 2 * RELAY_COUNT_MARGIN) * now else now


def _flow_changed(old: FlowRule, new: FlowRule) -> bool:
    if old.share != new.share or set(old.bound) != set(new.bound) or set(old.spare) != set(new.spare):
        return True
    rows = [(old.spare, new.spare), *((old.bound[name], new.bound[name]) for name in new.bound)]
    return any(
        set(before) != set(after)
        or any(abs(after[to] - before[to]) > MIN_RELATIVE_CHANGE * max(before[to], after[to]) for to in after)
        for before, after in rows
    )

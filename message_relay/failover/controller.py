"""Failover controller: from observations to the next plan, and whether it is worth a version of the rules.

No I/O; the clock is passed in, in seconds. The leader of the replicated log controls; all voters receive the
observations. A controller that takes over starts from the plan in force: what was avoided stays avoided, and
a recovery ramp continues from its step (`ZoneHealthJudge.resume`).

A plan is expressed as rules (consensus/rules.py): a bound for the flow from zone to zone, and the share of
each zone's relays that should use each zone now. Invariants, whatever was observed:

- the flow into a zone from all others together fits into its capacity beside its own relays' traffic;
- a zone that recovers from an outage gets what it can take while warming up;
- `spare` of each zone's capacity is given to no plan: relays that are cut off go on with that. Each version
  allows it, so that no version has to wait for them.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

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
from .plan_model import Plan, PlanningProblem, Route, TrafficGroup
from .plan_rules import (
    Capacities,
    declared_relay_count,
    flow_bounds,
    needs_new_version,
    relay_shares,
    spare_flows,
)
from .planner import Solver, plan_all
from .settings import FailoverSettings
from .zone_health import RECOVERY_RAMP, HealthState, ZoneHealth, ZoneHealthJudge

MIN_PLAN_INTERVAL_S = 1.0  # between two versions: a plan is acted on before the next judgement
SHARED_LOSS_SHARE = 0.5  # of the judged destinations: beyond it a zone counts as lost to all of them
MIN_JUDGED_DESTINATIONS = 3  # judged destinations at the least, before they speak for a zone
MAX_DESTINATIONS = 5000  # judged at once: as many as a set of rules names
FORGET_DESTINATION_S = 120.0  # a destination without observations for so long is judged no more


@dataclass
class PlanExplanation:
    """Why a destination has the plan that it has: for `zone plan --explain`."""

    method: str
    flows: dict[Route, float]
    shed: dict[tuple[str, str], float]
    capacity: dict[str, float]


@dataclass
class FailoverController:
    """Judges zones and plans traffic between them, while its instance leads the log."""

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
        """All zones of the settings, in order."""
        return tuple(sorted(self.settings.zones))

    def reset(self) -> None:
        """Forgets all judgements: another instance controls, and these would be too old once it stops."""
        self.judges.clear()
        self.last_observed.clear()
        self.resumed = False

    def update(self, now: float, rules: Rules, capacities: Capacities) -> dict[int, PlanningProblem]:
        """Judges by the observations until now; the problems to solve with `compute_plans`."""
        self.observations.drop_expired(now)
        if not self.resumed:
            self._resume(now, rules)
        self._judge(now)
        return self.problems(now, capacities, rules.policies.evacuated)

    def compute_plans(self, problems: dict[int, PlanningProblem]) -> dict[int, Plan]:
        """Plans within the time budget. Touches no state that changes, so it may run in a thread."""
        return plan_all(problems, self.solver, self.settings.budget_ms / 1000, self.clock)

    def next_rules(
        self,
        now: float,
        rules: Rules,
        capacities: Capacities,
        relays: dict[str, list[str]],
        problems: dict[int, PlanningProblem],
        found: dict[int, Plan],
    ) -> Rules | None:
        """The rules with the next plan; None where the plan in force suffices. `relays`: names by zone."""
        flows: dict[str, FlowRule] = {}
        for destination in sorted({*capacities, *found}):
            flow = self._flow(destination, found.get(destination), problems, capacities, relays)
            if flow is not None:
                flows[str(destination)] = flow
        counts = {
            zone: declared_relay_count(rules.zones.get(zone, 0), len(relays.get(zone, ())))
            for zone in self.zones
        }
        if now - self.proposed_at < MIN_PLAN_INTERVAL_S or not needs_new_version(rules, flows, counts):
            return None
        self.proposed_at = now
        return msgspec.structs.replace(rules, flows=flows, zones=counts)

    def _flow(
        self,
        destination: int,
        plan: Plan | None,
        problems: dict[int, PlanningProblem],
        capacities: Capacities,
        relays: dict[str, list[str]],
    ) -> FlowRule | None:
        """What the rules say of a destination, and why; None: nothing."""
        spare = spare_flows(self.settings, capacities.get(destination, {}))
        if plan is None:
            self.explanations.pop(destination, None)
            return FlowRule(spare=spare) if spare else None
        problem = problems[destination]
        self.explanations[destination] = PlanExplanation(
            plan.method, plan.flows, plan.shed_rates(problem), problem.capacity
        )
        shares = relay_shares(destination, problem, relays)
        return FlowRule(flow_bounds(self.zones, plan, problem, spare), spare, shares)

    # -- judgements ------------------------------------------------------------------------------------------

    def _resume(self, now: float, rules: Rules) -> None:
        """Continues from the plan in force."""
        self.resumed = True
        for name, flow in rules.flows.items():
            if name.isdecimal() and flow.share:
                shares = {
                    (source, target): share
                    for source, row in flow.share.items()
                    for target, share in row.items()
                }
                self._judge_of(int(name), now).resume(now, shares)

    def _judge_of(self, destination: int, now: float) -> ZoneHealthJudge:
        self.last_observed[destination] = now
        return self.judges.setdefault(destination, ZoneHealthJudge(self.observations, destination))

    def _judge(self, now: float) -> None:
        series = self.observations.series(now)
        for destination in sorted(series):
            has_place = destination in self.judges or len(self.judges) < MAX_DESTINATIONS
            if destination != OTHER_DESTINATIONS and has_place:
                self._judge_of(destination, now)
        shared_recovery = self._shared_recovery(now, series)
        for destination, judge in list(self.judges.items()):
            judge.update(now, series.get(destination, {}), shared_recovery)
            if now - self.last_observed[destination] > FORGET_DESTINATION_S:
                del self.judges[destination]
                del self.last_observed[destination]

    def _shared_recovery(self, now: float, series: dict[int, ZoneSeries]) -> ZoneMatrix:
        """Recent observations of pairs that most destinations lost, over those where the pair recovers."""
        found: dict[ZonePair, list[Aggregate]] = {
            pair: [] for pair in self._pairs_of_most(lambda health: health.recently_lost)
        }
        for destination, judge in self.judges.items():
            for pair, health in judge.pairs.items():
                if pair in found and health.recently_lost and health.state is not HealthState.LOST:
                    found[pair].append(judge.recent(now, pair, series.get(destination, {})))
        return {pair: summed(row) for pair, row in found.items()}

    def pairs_lost_by_most(self) -> set[ZonePair]:
        """Pairs that most of the destinations which use them have lost: the others need not find out."""
        return self._pairs_of_most(lambda health: health.state is HealthState.LOST)

    def _pairs_of_most(self, predicate: Callable[[ZoneHealth], bool]) -> set[ZonePair]:
        """Pairs of which the predicate holds for most of the judged destinations, if enough are judged."""
        judged: Counter[ZonePair] = Counter()
        matching: Counter[ZonePair] = Counter()
        for judge in self.judges.values():
            for pair, health in judge.pairs.items():
                judged[pair] += 1
                matching[pair] += predicate(health)
        return {
            pair
            for pair, count in judged.items()
            if count >= MIN_JUDGED_DESTINATIONS and matching[pair] > SHARED_LOSS_SHARE * count
        }

    def shares(
        self, destination: int, evacuated: Iterable[str], lost_by_most: set[ZonePair]
    ) -> dict[ZonePair, float]:
        """By pair: the share of the source's relays that may use the target.

        `lost_by_most`: see `pairs_lost_by_most`; it counts for destinations without a judgement of their own.
        """
        judge = self.judges.get(destination)
        found: dict[ZonePair, float] = {}
        for source in self.zones:
            for target in self.zones:
                pair = source, target
                if target in evacuated:
                    found[pair] = 0.0
                elif judge is None:
                    found[pair] = 0.0 if pair in lost_by_most else 1.0
                else:
                    found[pair] = judge.health(pair).share
        return found

    # -- problems for the planner ----------------------------------------------------------------------------

    def problems(
        self, now: float, capacities: Capacities, evacuated: Iterable[str] = ()
    ) -> dict[int, PlanningProblem]:
        """Of each destination whose traffic can't all stay in its own zone."""
        demand = self.observations.demand(now)
        lost_by_most = self.pairs_lost_by_most()
        prices = {
            (source, target): self.settings.call_cost(source, target)
            for source in self.zones
            for target in self.zones
        }
        found: dict[int, PlanningProblem] = {}
        for destination, sources in demand.items():
            shares = self.shares(destination, evacuated, lost_by_most)
            capacity = capacities.get(destination, {})
            all_usable = all(share >= 1.0 for share in shares.values())
            if all_usable and not _exceeds_local_capacity(sources, capacity):
                continue
            found[destination] = self._problem(destination, sources, shares, capacity, prices)
        return found

    def _problem(
        self,
        destination: int,
        sources: dict[tuple[str, str], float],
        shares: dict[ZonePair, float],
        capacity: dict[str, float],
        prices: dict[ZonePair, float],
    ) -> PlanningProblem:
        judge = self.judges.get(destination)
        explanation = self.explanations.get(destination)
        success = {pair: 1.0 if judge is None else judge.health(pair).success_share for pair in shares}
        return PlanningProblem(
            self.zones,
            tuple(self._group(name) for name in sorted({group for _, group in sources})),
            {source: rate for source, rate in sources.items() if source[0] in self.settings.zones},
            {zone: self._usable_capacity(judge, zone, capacity.get(zone, math.inf)) for zone in self.zones},
            {pair: share and success[pair] for pair, share in shares.items()},
            prices,
            {} if explanation is None else explanation.flows,
            {pair: share for pair, share in shares.items() if share < 1.0},
        )

    def _usable_capacity(self, judge: ZoneHealthJudge | None, zone: str, capacity: float) -> float:
        """Capacity without the spare part; of a zone that was down, what it can take while warming up."""
        capacity *= 1.0 - self.settings.spare
        if judge is None or not judge.is_down(zone):
            return capacity
        steps = [health.ramp_step for (_, target), health in judge.pairs.items() if target == zone]
        return capacity * RECOVERY_RAMP[max(steps, default=0)]

    def _group(self, name: str) -> TrafficGroup:
        """The planner's group for a name made by `FailoverSettings.group`."""
        stay, _, weight = name.partition(" ")
        if stay == "anywhere":
            return TrafficGroup(name, float(weight or 1.0), None)
        region = self.settings.region_of
        allowed = frozenset(
            (source, target)
            for source in self.zones
            for target in self.zones
            if source == target or (stay == "region" and region(source) == region(target))
        )
        return TrafficGroup(name, float(weight or 1.0), allowed)


def _exceeds_local_capacity(sources: dict[tuple[str, str], float], capacity: dict[str, float]) -> bool:
    """Whether the relays of some zone have more demand than its endpoints can take."""
    demand: dict[str, float] = {}
    for (zone, _), rate in sources.items():
        demand[zone] = demand.get(zone, 0.0) + rate
    return any(rate > capacity.get(zone, math.inf) for zone, rate in demand.items())

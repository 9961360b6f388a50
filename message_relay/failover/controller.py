"""Failover controller: computes the next plan from observations and decides whether it needs a new version.

No I/O; the clock is passed in, in seconds. The controller runs on the leader of the replicated log; all
voters receive the observations. A new leader starts from the plan in force: avoided pairs stay avoided, and a
recovery ramp continues from its step (`ZoneHealthJudge.resume`).

A plan is expressed as rules (consensus/rules.py): a bound for the flow from zone to zone, and the share of
each zone's relays that should use each zone now. Invariants, whatever was observed:

- the total flow into a zone from all other zones fits into its capacity beside its own relays' traffic;
- a zone that recovers from an outage gets no more than it can serve while warming up;
- the share `spare` of each zone's capacity is not available to plans: it is reserved for relays that are cut
  off. Each version allows its use, so that no version has to wait for those relays.
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

MIN_PLAN_INTERVAL_S = 1.0  # between two versions: a plan takes effect before health is judged again
SHARED_LOSS_SHARE = 0.5  # of the judged destinations; above it a pair counts as lost for all destinations
MIN_JUDGED_DESTINATIONS = 3  # minimum of judged destinations before SHARED_LOSS_SHARE applies
MAX_DESTINATIONS = 5000  # judged at the same time: the number that one set of rules can name
EVICT_DESTINATION_S = 120.0  # the judgement of a destination without observations is dropped after this time


@dataclass
class PlanExplanation:
    """Explains the plan of a destination, for `zone plan --explain`."""

    method: str
    flows: dict[Route, float]
    shed: dict[tuple[str, str], float]
    capacity: dict[str, float]


@dataclass
class FailoverController:
    """Judges the health of zones and plans the traffic between them while its instance is the leader."""

    settings: FailoverSettings
    observations: Observations
    solver: Solver | None
    clock: Callable[[], float]  # measures the planner's time budget
    judges: dict[int, ZoneHealthJudge] = field(default_factory=dict)
    last_observed: dict[int, float] = field(default_factory=dict)
    explanations: dict[int, PlanExplanation] = field(default_factory=dict)
    proposed_at: float = -math.inf
    resumed: bool = False

    @property
    def zones(self) -> tuple[str, ...]:
        """Names of all configured zones, sorted."""
        return tuple(sorted(self.settings.zones))

    def reset(self) -> None:
        """Drops all judgements: another instance leads, and they would be outdated when it fails."""
        self.judges.clear()
        self.last_observed.clear()
        self.resumed = False

    def update(self, now: float, rules: Rules, capacities: Capacities) -> dict[int, PlanningProblem]:
        """Updates zone health from the observations; returns the problems to pass to `compute_plans`."""
        self.observations.drop_expired(now)
        if not self.resumed:
            self._resume(now, rules)
        self._judge(now)
        return self.problems(now, capacities, rules.policies.evacuated)

    def compute_plans(self, problems: dict[int, PlanningProblem]) -> dict[int, Plan]:
        """Computes plans within the time budget. Uses no mutable state, so that it may run in a thread."""
        return plan_all(problems, self.solver, self.settings.budget_ms / 1000, self.clock)

    def next_rules(
        self,
        now: float,
        rules: Rules,
        capacities: Capacities,
        relays: dict[str, list[str]],
        problems: dict[int, PlanningProblem],
        plans: dict[int, Plan],
    ) -> Rules | None:
        """Returns the rules with the next plan, or None if the plan in force suffices.

        `relays` maps each zone to the names of its relays.
        """
        flows: dict[str, FlowRule] = {}
        for destination in sorted({*capacities, *plans}):
            flow = self._flow(destination, plans.get(destination), problems, capacities, relays)
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
        """Returns the flow rule of a destination, or None, and records its explanation."""
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
        """Restores zone health from the plan in force."""
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
            has_capacity = destination in self.judges or len(self.judges) < MAX_DESTINATIONS
            if destination != OTHER_DESTINATIONS and has_capacity:
                self._judge_of(destination, now)
        shared_recovery = self._shared_recovery(now, series)
        for destination, judge in list(self.judges.items()):
            judge.update(now, series.get(destination, {}), shared_recovery)
            if now - self.last_observed[destination] > EVICT_DESTINATION_S:
                del self.judges[destination]
                del self.last_observed[destination]

    def _shared_recovery(self, now: float, series: dict[int, ZoneSeries]) -> ZoneMatrix:
        """Sums recent observations of pairs that most destinations lost, where they now recover."""
        aggregates: dict[ZonePair, list[Aggregate]] = {
            pair: [] for pair in self._pairs_of_most(lambda health: health.recently_lost)
        }
        for destination, judge in self.judges.items():
            for pair, health in judge.pairs.items():
                if pair in aggregates and health.recently_lost and health.state is not HealthState.LOST:
                    aggregates[pair].append(judge.recent(now, pair, series.get(destination, {})))
        return {pair: summed(row) for pair, row in aggregates.items()}

    def pairs_lost_by_most(self) -> set[ZonePair]:
        """Pairs lost by most destinations that use them; the others need not detect the loss again."""
        return self._pairs_of_most(lambda health: health.state is HealthState.LOST)

    def _pairs_of_most(self, predicate: Callable[[ZoneHealth], bool]) -> set[ZonePair]:
        """Pairs for which the predicate holds at most judged destinations, if enough of them are judged."""
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
        """Maps each pair to the share of the source zone's relays that may use the target zone.

        `lost_by_most` comes from `pairs_lost_by_most` and applies to destinations without a judgement of
        their own.
        """
        judge = self.judges.get(destination)
        share_by_pair: dict[ZonePair, float] = {}
        for source in self.zones:
            for target in self.zones:
                pair = source, target
                if target in evacuated:
                    share_by_pair[pair] = 0.0
                elif judge is None:
                    share_by_pair[pair] = 0.0 if pair in lost_by_most else 1.0
                else:
                    share_by_pair[pair] = judge.health(pair).share
        return share_by_pair

    # -- problems for the planner ----------------------------------------------------------------------------

    def problems(
        self, now: float, capacities: Capacities, evacuated: Iterable[str] = ()
    ) -> dict[int, PlanningProblem]:
        """Planning problems of the destinations whose traffic can't all stay within its zone."""
        demand = self.observations.demand(now)
        lost_by_most = self.pairs_lost_by_most()
        prices = {
            (source, target): self.settings.call_cost(source, target)
            for source in self.zones
            for target in self.zones
        }
        problem_by_destination: dict[int, PlanningProblem] = {}
        for destination, sources in demand.items():
            shares = self.shares(destination, evacuated, lost_by_most)
            capacity = capacities.get(destination, {})
            all_usable = all(share >= 1.0 for share in shares.values())
            if all_usable and not _exceeds_local_capacity(sources, capacity):
                continue
            problem_by_destination[destination] = self._problem(
                destination, sources, shares, capacity, prices
            )
        return problem_by_destination

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
        """Capacity less the spare share; reduced for a zone that was down and is warming up."""
        capacity *= 1.0 - self.settings.spare
        if judge is None or not judge.is_down(zone):
            return capacity
        steps = [health.ramp_step for (_, target), health in judge.pairs.items() if target == zone]
        return capacity * RECOVERY_RAMP[max(steps, default=0)]

    def _group(self, name: str) -> TrafficGroup:
        """Returns the planner's group for a name made by `FailoverSettings.group_name`."""
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
    """Whether the demand in some zone is above the capacity of its own endpoints."""
    demand: dict[str, float] = {}
    for (zone, _), rate in sources.items():
        demand[zone] = demand.get(zone, 0.0) + rate
    return any(rate > capacity.get(zone, math.inf) for zone, rate in demand.items())

"""A plan: for each destination, how much goes from which zone of relays to which zone of endpoints. No I/O.

What a plan keeps to, whatever is wished: no zone of endpoints gets more than its room; nothing goes where its
class may not; nothing is planned over a pair that can't be used. What it wishes for, in this order: that the
most worth is delivered, near before far, and that as little as need be changes from the last plan.

    near     all fits into each zone's own endpoints: nothing to compute
    solved   the best there is, by HiGHS (failover/solver.py)
    greedy   in order of worth and nearness, equals alike, one exchange deep: where the solver fails or there
             is no time for it

What has no room is shed: the least worth first, and its clients are told when to come.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Literal

from .observations import ZonePair

STABILITY_BONUS = (
    0.01  # of the worth of a call: what it must gain before it is planned elsewhere than in the last plan
)
NEGLIGIBLE_RATE = 1e-9

MAX_SHARING_ROUNDS = 60  # of sharing out among equals; each closes a source or a target, up to rounding

Route = tuple[str, str, str]  # zone of relays, group of classes, zone of endpoints
DemandKey = tuple[str, str]
PlanMethod = Literal["near", "solved", "greedy"]


@dataclass(frozen=True)
class TrafficGroup:
    """Classes that are alike to a plan."""

    name: str
    priority_weight: float = 1.0  # of one call that is delivered
    allowed_pairs: frozenset[ZonePair] | None = None  # where it may go; None: anywhere


@dataclass(frozen=True)
class PlanningProblem:
    """Of one destination. Rates are calls a second."""

    zones: tuple[str, ...]
    groups: tuple[TrafficGroup, ...]
    demand: dict[DemandKey, float]
    capacity: dict[str, float]  # of a zone's endpoints: what is agreed, and what they can do cold
    success_ratio: dict[ZonePair, float] = field(default_factory=dict)  # share that comes good; not named: 1
    cost: dict[ZonePair, float] = field(default_factory=dict)  # share of a call's worth; not named: 0
    previous_flows: dict[Route, float] = field(default_factory=dict)
    allowed_share: dict[ZonePair, float] = field(
        default_factory=dict
    )  # of a source's demand that may go there; not named: 1

    def route_limit(self, way: Route) -> float:
        """Of this way alone, whatever room there is."""
        return self.demand.get(way[:2], 0.0) * min(1.0, self.allowed_share.get((way[0], way[2]), 1.0))

    def __post_init__(self) -> None:
        for name, rates in (("demand", self.demand), ("room", self.capacity), ("last", self.previous_flows)):
            if any(not rate >= 0 for rate in rates.values()):
                raise ValueError(f"{name}: rates are 0 or more, and numbers")
        if any(not group.priority_weight > 0 for group in self.groups):
            raise ValueError("groups: worth is above 0")

    def score(self, group: TrafficGroup, pair: ZonePair) -> float:
        """Of one call; 0 and less: it does not go there."""
        if group.allowed_pairs is not None and pair not in group.allowed_pairs:
            return 0.0
        ability = self.success_ratio.get(pair, 1.0)
        # A price never outweighs delivery: it only decides between ways that can.
        return group.priority_weight * ability * (1.0 - min(0.9, self.cost.get(pair, 0.0)))


@dataclass
class Plan:
    flows: dict[Route, float]
    method: PlanMethod

    def rate_into(self, zone: str) -> float:
        return sum(rate for (_, _, target), rate in self.flows.items() if target == zone)

    def shed_rates(self, problem: PlanningProblem) -> dict[DemandKey, float]:
        """What has no room, by whose it is."""
        left = dict(problem.demand)
        for (source, group, _), rate in self.flows.items():
            left[source, group] = left.get((source, group), 0.0) - rate
        return {who: rate for who, rate in left.items() if rate > 1e-6}

    def total_value(self, problem: PlanningProblem) -> float:
        groups = {group.name: group for group in problem.groups}
        return sum(
            rate * problem.score(groups[group], (source, target))
            for (source, group, target), rate in self.flows.items()
        )

    def moved_rate(self, problem: PlanningProblem) -> float:
        """Calls a second that go elsewhere than in the last plan."""
        ways = {*self.flows, *problem.previous_flows}
        return sum(abs(self.flows.get(way, 0.0) - problem.previous_flows.get(way, 0.0)) for way in ways) / 2


def plan_locally(problem: PlanningProblem) -> Plan | None:
    """Everything at home, if that is the best there is."""
    flows: dict[Route, float] = {}
    used: dict[str, float] = {}
    for group in problem.groups:
        for zone in problem.zones:
            rate = problem.demand.get((zone, group.name), 0.0)
            if rate <= 0:
                continue
            here = problem.score(group, (zone, zone))
            if (
                here <= 0
                or problem.allowed_share.get((zone, zone), 1.0) < 1.0
                or any(problem.score(group, (zone, other)) > here for other in problem.zones)
            ):
                return None
            flows[zone, group.name, zone] = rate
            used[zone] = used.get(zone, 0.0) + rate
    if any(rate > problem.capacity.get(zone, math.inf) for zone, rate in used.items()):
        return None
    return Plan(flows, "near")


# -- greedy ------------------------------------------------------------------------------------------------


def plan_greedily(problem: PlanningProblem) -> Plan:
    """Near the best, in a time that does not depend on luck."""
    flows: dict[Route, float] = {}
    demand = {who: rate for who, rate in problem.demand.items() if rate > NEGLIGIBLE_RATE}
    room = {zone: problem.capacity.get(zone, math.inf) for zone in problem.zones}
    for _, ways in _routes_by_score(problem):
        # Most is at home already when the dearer ways come: only what is left is looked at.
        open_ = {
            way: min(most, problem.route_limit(way) - flows.get(way, 0.0))
            for way, most in ways.items()
            if demand.get(way[:2], 0.0) > NEGLIGIBLE_RATE and room[way[2]] > NEGLIGIBLE_RATE
        }
        if open_:
            _distribute(open_, demand, room, flows)
    _exchange(problem, demand, room, flows)
    return Plan({way: rate for way, rate in flows.items() if rate > NEGLIGIBLE_RATE}, "greedy")


def _routes_by_score(problem: PlanningProblem) -> list[tuple[float, dict[Route, float]]]:
    """Ways of equal score together, each with the most that it may have at that score: what the last plan
    sent there counts for a little more."""
    found: dict[float, dict[Route, float]] = {}
    plain = TrafficGroup("")
    # The same for all groups, but for their worth and where they may go.
    base = {(a, b): problem.score(plain, (a, b)) for a in problem.zones for b in problem.zones}
    usable = {a: [(b, base[a, b]) for b in problem.zones if base[a, b] > 0] for a in problem.zones}
    for group in problem.groups:
        for source in problem.zones:
            if problem.demand.get((source, group.name), 0.0) <= NEGLIGIBLE_RATE:
                continue
            for target, each in usable[source]:
                if group.allowed_pairs is not None and (source, target) not in group.allowed_pairs:
                    continue
                score, way = group.priority_weight * each, (source, group.name, target)
                last = problem.previous_flows.get(way, 0.0)
                if last > NEGLIGIBLE_RATE:
                    found.setdefault(round(score * (1 + STABILITY_BONUS), 9), {})[way] = last
                found.setdefault(round(score, 9), {})[way] = math.inf
    return sorted(found.items(), key=lambda item: -item[0])


def _distribute(
    ways: dict[Route, float],
    demand: dict[DemandKey, float],
    room: dict[str, float],
    flows: dict[Route, float],
) -> None:
    """Sources share each target by what they still have, targets each source by their room, until one of
    them is used up on each way: names play no part."""
    left = {way: most for way, most in ways.items() if way[:2] in demand}
    for _ in range(MAX_SHARING_ROUNDS):
        open_ = [
            way
            for way, most in left.items()
            if most > NEGLIGIBLE_RATE
            and demand.get(way[:2], 0.0) > NEGLIGIBLE_RATE
            and room[way[2]] > NEGLIGIBLE_RATE
        ]
        if not open_:
            return
        wanted = _requested_rates(open_, left, demand, room)
        into: dict[str, float] = {}
        for way, rate in wanted.items():
            into[way[2]] = into.get(way[2], 0.0) + rate
        for way, rate in wanted.items():
            given = rate * min(1.0, room[way[2]] / into[way[2]])
            flows[way] = flows.get(way, 0.0) + given
            demand[way[:2]] -= given
            left[way] -= given
        for target, rate in into.items():
            room[target] -= min(rate, room[target])


def _requested_rates(
    open_: list[Route], left: dict[Route, float], demand: dict[DemandKey, float], room: dict[str, float]
) -> dict[Route, float]:
    by: dict[DemandKey, list[Route]] = {}
    for way in open_:
        by.setdefault(way[:2], []).append(way)
    found: dict[Route, float] = {}
    for source, ways in by.items():
        endless = [way for way in ways if math.isinf(room[way[2]])]
        weights = {way: 1.0 if endless else room[way[2]] for way in (endless or ways)}
        total = sum(weights.values())
        for way, weight in weights.items():
            found[way] = min(left[way], demand[source] * weight / total)
    return found


def _exchange(
    problem: PlanningProblem,
    demand: dict[DemandKey, float],
    room: dict[str, float],
    flows: dict[Route, float],
) -> None:
    """What found no room gets that of a flow which has some elsewhere, or of one that is worth less."""
    if all(rate <= NEGLIGIBLE_RATE for rate in demand.values()):
        return
    groups = {group.name: group for group in problem.groups}

    def score(way: Route) -> float:
        return problem.score(groups[way[1]], (way[0], way[2]))

    for who in sorted(demand, key=lambda who: (-groups[who[1]].priority_weight, -demand[who], who)):
        for target in problem.zones:
            new = (*who, target)
            if demand[who] <= NEGLIGIBLE_RATE or score(new) <= 0:
                continue
            for old in sorted((way for way in flows if way[2] == target and way[:2] != who), key=score):
                for other in (*problem.zones, ""):
                    moved = (*old[:2], other)
                    gain = score(new) - score(old) + (score(moved) if other else 0.0)
                    free = (
                        min(room[other], problem.route_limit(moved) - flows.get(moved, 0.0))
                        if other
                        else math.inf
                    )
                    rate = min(demand[who], problem.route_limit(new) - flows.get(new, 0.0), flows[old], free)
                    if (
                        rate <= NEGLIGIBLE_RATE
                        or gain <= NEGLIGIBLE_RATE
                        or other
                        and (other == target or score(moved) <= 0)
                    ):
                        continue
                    flows[old] -= rate
                    flows[new] = flows.get(new, 0.0) + rate
                    demand[who] -= rate
                    if other:
                        flows[moved] = flows.get(moved, 0.0) + rate
                        room[other] -= rate
                    else:
                        demand[old[:2]] = demand.get(old[:2], 0.0) + rate


# -- many destinations -------------------------------------------------------------------------------------

Solver = Callable[[PlanningProblem, float], "Plan | None"]  # and the seconds it may take; None: it found none


def plan_all(
    problems: dict[int, PlanningProblem], solver: Solver | None, budget_s: float, clock: Callable[[], float]
) -> dict[int, Plan]:
    """A plan for each. The solver gets those where most is at stake, for as long as there is time: never a
    result that comes too late."""
    found: dict[int, Plan] = {}
    hard: list[int] = []
    for destination, problem in problems.items():
        plan = plan_locally(problem)
        if plan is None:
            hard.append(destination)
        else:
            found[destination] = plan
    ends = clock() + budget_s
    for destination in _by_value_at_stake(hard, problems):
        problem, plan = problems[destination], None
        left = ends - clock()
        if solver is not None and left > 0:
            plan = solver(problem, left)
        found[destination] = plan_greedily(problem) if plan is None else plan
    return found


def _by_value_at_stake(hard: Iterable[int], problems: dict[int, PlanningProblem]) -> list[int]:
    def worth(destination: int) -> float:
        problem = problems[destination]
        worths = {group.name: group.priority_weight for group in problem.groups}
        return sum(rate * worths.get(group, 0.0) for (_, group), rate in problem.demand.items())

    return sorted(hard, key=lambda destination: (-worth(destination), destination))

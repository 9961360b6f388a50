"""Data model: the planning problem of one destination, and its plan. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import fsum
from typing import Literal

from .observations import ZonePair

STABILITY_BONUS = (
    0.01  # share of a call's score: the least gain for which it leaves its route of the previous plan
)
NEGLIGIBLE_RATE = 1e-9
NEGLIGIBLE_SHED_RATE = 1e-6
MAX_COST = 0.9  # below 1, so that a cost never outweighs delivery and only ranks usable pairs

Route = tuple[str, str, str]  # zone of relays, group of classes, zone of endpoints
DemandKey = tuple[str, str]  # zone of relays, group of classes: the first two of a route
PlanMethod = Literal["near", "solved", "greedy"]


@dataclass(frozen=True)
class TrafficGroup:
    """Message classes that a plan treats alike."""

    name: str
    priority_weight: float = 1.0  # of one call that is delivered
    allowed_pairs: frozenset[ZonePair] | None = None  # None: all


@dataclass(frozen=True)
class PlanningProblem:
    """Demand, limits and costs for the plan of one destination. Rates are calls per second."""

    zones: tuple[str, ...]
    groups: tuple[TrafficGroup, ...]
    demand: dict[DemandKey, float]
    capacity: dict[str, float]  # of a zone's endpoints: the agreed rate, less while warming up
    success_ratio: dict[ZonePair, float] = field(default_factory=dict)  # default: 1
    cost: dict[ZonePair, float] = field(default_factory=dict)  # share of a call's weight; default: 0
    previous_flows: dict[Route, float] = field(default_factory=dict)
    # Share of a source's demand that may use the pair; default: 1.
    allowed_share: dict[ZonePair, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        named_rates = (
            ("demand", self.demand),
            ("capacity", self.capacity),
            ("previous_flows", self.previous_flows),
        )
        for name, rates in named_rates:
            if any(not rate >= 0 for rate in rates.values()):
                raise ValueError(f"{name}: rates must be numbers, 0 or more")
        if any(not group.priority_weight > 0 for group in self.groups):
            raise ValueError("groups: priority_weight must be above 0")

    def route_limit(self, route: Route) -> float:
        """Return the maximum rate on this route, regardless of capacity."""
        share = min(1.0, self.allowed_share.get((route[0], route[2]), 1.0))
        return self.demand.get(route[:2], 0.0) * share

    def score(self, group: TrafficGroup, pair: ZonePair) -> float:
        """Return the value of one call; a call with 0 or less may not use the pair."""
        if group.allowed_pairs is not None and pair not in group.allowed_pairs:
            return 0.0
        success_ratio = self.success_ratio.get(pair, 1.0)
        return group.priority_weight * success_ratio * (1.0 - min(MAX_COST, self.cost.get(pair, 0.0)))


@dataclass
class Plan:
    """Calls per second on each route, and the method that found them."""

    flows: dict[Route, float]
    method: PlanMethod

    def rate_into(self, zone: str) -> float:
        """Return the calls per second to a zone's endpoints."""
        return sum(rate for (_, _, target), rate in self.flows.items() if target == zone)

    def shed_rates(self, problem: PlanningProblem) -> dict[DemandKey, float]:
        """Return the demand without capacity."""
        remaining = dict(problem.demand)
        for (source, group, _), rate in self.flows.items():
            remaining[source, group] = remaining.get((source, group), 0.0) - rate
        return {key: rate for key, rate in remaining.items() if rate > NEGLIGIBLE_SHED_RATE}

    def total_value(self, problem: PlanningProblem) -> float:
        """Return the sum of the scores of all calls."""
        groups = {group.name: group for group in problem.groups}
        return sum(
            rate * problem.score(groups[group], (source, target))
            for (source, group, target), rate in self.flows.items()
        )

    def moved_rate(self, problem: PlanningProblem) -> float:
        """Return the calls per second that use another route than in the previous plan."""
        previous = problem.previous_flows
        routes = {*self.flows, *previous}
        # fsum is exact. The order of a set differs between processes, and with it the last bits of a plain
        # sum, but all instances must compute the same value.
        return fsum(abs(self.flows.get(route, 0.0) - previous.get(route, 0.0)) for route in routes) / 2

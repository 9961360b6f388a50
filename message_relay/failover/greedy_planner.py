"""Greedy planner: finds a near-optimal plan in a time that does not depend on the rates. No I/O.

Routes get their rates in order of score; routes of equal score share demand and capacity in proportion.
Demand without capacity then replaces a flow that can use another target, or a flow of less value (one
exchange deep).
"""

from __future__ import annotations

import math

from .plan_model import (
    NEGLIGIBLE_RATE,
    STABILITY_BONUS,
    DemandKey,
    Plan,
    PlanningProblem,
    Route,
    TrafficGroup,
)

MAX_SHARING_ROUNDS = 60  # each round exhausts a source or a target, up to rounding
SCORE_DIGITS = 9  # scores that agree to this many decimals are equal
SHED = ""  # stands for the target of a flow that is shed


def plan_greedily(problem: PlanningProblem) -> Plan:
    """Plan one destination."""
    return _GreedyPlanner(problem).plan()


class _GreedyPlanner:
    """Holds the remaining demand and capacity, and the flows planned so far."""

    def __init__(self, problem: PlanningProblem) -> None:
        self.problem = problem
        self.flows: dict[Route, float] = {}
        self.demand = {key: rate for key, rate in problem.demand.items() if rate > NEGLIGIBLE_RATE}
        self.capacity = {zone: problem.capacity.get(zone, math.inf) for zone in problem.zones}
        self.groups = {group.name: group for group in problem.groups}

    def plan(self) -> Plan:
        for routes in _routes_by_score(self.problem):
            # Local routes meet most of the demand before the costlier ones: only remaining demand counts.
            limits = {
                route: min(limit, self._remaining_limit(route))
                for route, limit in routes.items()
                if self._is_open(route)
            }
            if limits:
                self._distribute(limits)
        self._exchange()
        return Plan({route: rate for route, rate in self.flows.items() if rate > NEGLIGIBLE_RATE}, "greedy")

    def _is_open(self, route: Route) -> bool:
        has_demand = self.demand.get(route[:2], 0.0) > NEGLIGIBLE_RATE
        return has_demand and self.capacity[route[2]] > NEGLIGIBLE_RATE

    def _remaining_limit(self, route: Route) -> float:
        return self.problem.route_limit(route) - self.flows.get(route, 0.0)

    def _score(self, route: Route) -> float:
        return self.problem.score(self.groups[route[1]], (route[0], route[2]))

    # -- routes of equal score -------------------------------------------------------------------------------

    def _distribute(self, limits: dict[Route, float]) -> None:
        """Share each target among its sources by their demand, and each source among its targets by capacity.

        Repeated until a source, a target or the limit is exhausted on each route, so that the names of zones
        have no influence.
        """
        remaining = {route: limit for route, limit in limits.items() if route[:2] in self.demand}
        for _ in range(MAX_SHARING_ROUNDS):
            open_routes = [
                route
                for route, limit in remaining.items()
                if limit > NEGLIGIBLE_RATE and self._is_open(route)
            ]
            if not open_routes:
                return
            self._assign(self._requested_rates(open_routes, remaining), remaining)

    def _assign(self, requested: dict[Route, float], remaining: dict[Route, float]) -> None:
        """Give each route its request, reduced where all requests exceed the target's capacity."""
        requested_into: dict[str, float] = {}
        for route, rate in requested.items():
            requested_into[route[2]] = requested_into.get(route[2], 0.0) + rate
        for route, rate in requested.items():
            assigned = rate * min(1.0, self.capacity[route[2]] / requested_into[route[2]])
            self.flows[route] = self.flows.get(route, 0.0) + assigned
            self.demand[route[:2]] -= assigned
            remaining[route] -= assigned
        for target, rate in requested_into.items():
            self.capacity[target] -= min(rate, self.capacity[target])

    def _requested_rates(self, routes: list[Route], remaining: dict[Route, float]) -> dict[Route, float]:
        """Split the demand of each source over its routes, in proportion to the targets' capacity."""
        by_source: dict[DemandKey, list[Route]] = {}
        for route in routes:
            by_source.setdefault(route[:2], []).append(route)
        requested: dict[Route, float] = {}
        for source, own_routes in by_source.items():
            unlimited = [route for route in own_routes if math.isinf(self.capacity[route[2]])]
            weights = {
                route: 1.0 if unlimited else self.capacity[route[2]] for route in (unlimited or own_routes)
            }
            total = sum(weights.values())
            for route, weight in weights.items():
                requested[route] = min(remaining[route], self.demand[source] * weight / total)
        return requested

    # -- exchange --------------------------------------------------------------------------------------------

    def _exchange(self) -> None:
        """Let demand without capacity replace flows that can use another target or are of less value."""
        if all(rate <= NEGLIGIBLE_RATE for rate in self.demand.values()):
            return
        by_value = sorted(
            self.demand, key=lambda key: (-self.groups[key[1]].priority_weight, -self.demand[key], key)
        )
        for key in by_value:
            for target in self.problem.zones:
                route = (*key, target)
                if self.demand[key] > NEGLIGIBLE_RATE and self._score(route) > 0:
                    self._replace_flows(route)

    def _replace_flows(self, route: Route) -> None:
        """Give a route the rate of other flows to its target, least score first."""
        target = route[2]
        rivals = (rival for rival in self.flows if rival[2] == target and rival[:2] != route[:2])
        for rival in sorted(rivals, key=self._score):
            for other in (*self.problem.zones, SHED):
                self._replace_flow(route, rival, other)

    def _replace_flow(self, route: Route, rival: Route, other: str) -> None:
        """Give a route the rate of a rival, which moves elsewhere or is shed, if that raises the score."""
        detour = (*rival[:2], other)
        detour_score = self._score(detour) if other else 0.0
        gain = self._score(route) - self._score(rival) + detour_score
        free = min(self.capacity[other], self._remaining_limit(detour)) if other else math.inf
        rate = min(self.demand[route[:2]], self._remaining_limit(route), self.flows[rival], free)
        if rate <= NEGLIGIBLE_RATE or gain <= NEGLIGIBLE_RATE:
            return
        if other and (other == route[2] or detour_score <= 0):
            return
        self.flows[rival] -= rate
        self.flows[route] = self.flows.get(route, 0.0) + rate
        self.demand[route[:2]] -= rate
        if other:
            self.flows[detour] = self.flows.get(detour, 0.0) + rate
            self.capacity[other] -= rate
        else:
            self.demand[rival[:2]] = self.demand.get(rival[:2], 0.0) + rate


def _routes_by_score(problem: PlanningProblem) -> list[dict[Route, float]]:
    """Return groups of routes with equal score, best first, each route with its limit at that score.

    The rate that the previous plan sent on a route has a slightly higher score.
    """
    routes_by_score: dict[float, dict[Route, float]] = {}
    usable = _usable_targets(problem)
    for group in problem.groups:
        for source in problem.zones:
            if problem.demand.get((source, group.name), 0.0) <= NEGLIGIBLE_RATE:
                continue
            for target, base_score in usable[source]:
                if group.allowed_pairs is not None and (source, target) not in group.allowed_pairs:
                    continue
                score = group.priority_weight * base_score
                route = (source, group.name, target)
                previous = problem.previous_flows.get(route, 0.0)
                if previous > NEGLIGIBLE_RATE:
                    bonus_score = round(score * (1 + STABILITY_BONUS), SCORE_DIGITS)
                    routes_by_score.setdefault(bonus_score, {})[route] = previous
                routes_by_score.setdefault(round(score, SCORE_DIGITS), {})[route] = math.inf
    return [routes for _, routes in sorted(routes_by_score.items(), key=lambda item: -item[0])]


def _usable_targets(problem: PlanningProblem) -> dict[str, list[tuple[str, float]]]:
    """Return each source's targets and scores; those of a group are these times the group's weight."""
    plain = TrafficGroup("")
    targets: dict[str, list[tuple[str, float]]] = {}
    for source in problem.zones:
        scores = [(target, problem.score(plain, (source, target))) for target in problem.zones]
        targets[source] = [(target, score) for target, score in scores if score > 0]
    return targets

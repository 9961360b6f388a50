"""Finds the optimal plan of one destination with HiGHS (scipy.optimize.linprog).

Imported only if failover is on and scipy is installed (extra `failover`).

Compared with ortools (GLOP): both find the same optimum; scipy is already among this project's lab
dependencies, needs no model of its own and takes sparse matrices; ortools is ten times as large.
`benchmarks/failover.py` measures its cost against the greedy plan.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import coo_matrix, hstack

from .plan_model import (
    NEGLIGIBLE_RATE,
    STABILITY_BONUS,
    Plan,
    PlanningProblem,
    Route,
)

MIN_TIME_LIMIT_S = 0.001
SOLVER_TOLERANCE = 1e-7  # lower rates count as zero: they are within the solver's error
OPTIMAL = 0  # status of linprog

Key = TypeVar("Key")


def solve(problem: PlanningProblem, seconds: float) -> Plan | None:
    """Return the best plan; None if the solver fails or takes longer.

    Zones are sorted by their properties and not by their names, so that the choice between equally good plans
    does not depend on the names.
    """
    zones = _name_independent_order(problem)
    routes, scores = _usable_routes(problem, zones)
    if not routes:
        return Plan({}, "solved")
    matrix, limits = _limit_matrix(problem, routes)
    count = len(routes)
    # Variables of each route: its flow, and the amounts above and below the previous flow.
    change_cost = STABILITY_BONUS * np.array(scores) / 2
    identity = coo_matrix((np.ones(count), (range(count), range(count))), shape=(count, count))
    unlimited = coo_matrix((matrix.shape[0], 2 * count))
    result: Any = linprog(
        np.concatenate([-np.array(scores), change_cost, change_cost]),
        A_ub=hstack([matrix, unlimited]).tocsr(),
        b_ub=limits,
        A_eq=hstack([identity, -identity, identity]).tocsr(),
        b_eq=np.array([problem.previous_flows.get(route, 0.0) for route in routes]),
        bounds=[(0.0, problem.route_limit(route)) for route in routes] + [(0.0, None)] * (2 * count),
        method="highs",
        options={"time_limit": max(MIN_TIME_LIMIT_S, seconds), "presolve": False},
    )
    if result.status != OPTIMAL or result.x is None:
        return None
    flows = dict(zip(routes, result.x[:count], strict=True))
    return Plan(_trim_to_limits(problem, flows), "solved")


def _name_independent_order(problem: PlanningProblem) -> list[str]:
    def properties(zone: str) -> tuple[Any, ...]:
        rates = tuple(problem.demand.get((zone, group.name), 0.0) for group in problem.groups)
        success_from = sorted(problem.success_ratio.get((zone, other), 1.0) for other in problem.zones)
        success_into = sorted(problem.success_ratio.get((other, zone), 1.0) for other in problem.zones)
        previous = sorted(
            rate for (source, _, target), rate in problem.previous_flows.items() if zone in (source, target)
        )
        costs = sorted(problem.cost.get((zone, other), 0.0) for other in problem.zones)
        return problem.capacity.get(zone, math.inf), rates, success_from, success_into, previous, costs

    return sorted(problem.zones, key=properties)


def _usable_routes(problem: PlanningProblem, zones: list[str]) -> tuple[list[Route], list[float]]:
    """Return the routes that may carry calls, and the score of each."""
    routes: list[Route] = []
    scores: list[float] = []
    for group in problem.groups:
        for source in zones:
            if problem.demand.get((source, group.name), 0.0) <= NEGLIGIBLE_RATE:
                continue
            for target in zones:
                score = problem.score(group, (source, target))
                if score > 0 and problem.capacity.get(target, math.inf) > NEGLIGIBLE_RATE:
                    routes.append((source, group.name, target))
                    scores.append(score)
    return routes, scores


def _limit_matrix(problem: PlanningProblem, routes: list[Route]) -> tuple[Any, list[float]]:
    """Return a row for each source's demand and for each target's capacity, and the limits of the rows."""
    row_numbers: dict[tuple[str, ...], int] = {}
    limits: list[float] = []
    rows: list[int] = []
    columns: list[int] = []
    for column, (source, group, target) in enumerate(routes):
        route_limits: tuple[tuple[tuple[str, ...], float], ...] = (
            ((source, group), problem.demand[source, group]),
            ((target,), problem.capacity.get(target, math.inf)),
        )
        for key, limit in route_limits:
            if math.isinf(limit):
                continue
            if key not in row_numbers:
                row_numbers[key] = len(limits)
                limits.append(limit)
            rows.append(row_numbers[key])
            columns.append(column)
    shape = (len(limits), len(routes))
    return coo_matrix((np.ones(len(rows)), (rows, columns)), shape=shape), limits


def _trim_to_limits(problem: PlanningProblem, flows: dict[Route, float]) -> dict[Route, float]:
    """Reduce flows to the limits, which the solver may exceed by a small error."""
    trimmed = {route: float(rate) for route, rate in flows.items() if rate > SOLVER_TOLERANCE}
    _trim(trimmed, problem.demand, lambda route: route[:2])
    _trim(trimmed, problem.capacity, lambda route: route[2])
    return trimmed


def _trim(flows: dict[Route, float], limits: Mapping[Key, float], key_of: Callable[[Route], Key]) -> None:
    sums: dict[Key, float] = {}
    for route, rate in flows.items():
        key = key_of(route)
        sums[key] = sums.get(key, 0.0) + rate
    for route in flows:
        key = key_of(route)
        limit = limits.get(key, math.inf)
        if sums[key] > limit:
            flows[route] *= limit / sums[key]

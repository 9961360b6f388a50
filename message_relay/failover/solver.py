"""The best plan of one destination, by HiGHS (scipy.optimize.linprog). Imported only where failover is on and
scipy is there (extra `failover`).

Weighed against ortools (GLOP): both find the same optimum; scipy is in this project's lab already, needs no
model of its own and takes sparse matrices; ortools is ten times as large. `benchmarks/failover.py` measures
what it costs beside the greedy plan.
"""

from __future__ import annotations

import math
from typing import Any

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import coo_matrix, hstack

from .plan_model import NEGLIGIBLE_RATE, STABILITY_BONUS, Plan, PlanningProblem, Route


def solve(problem: PlanningProblem, seconds: float) -> Plan | None:
    """None where it fails or takes longer. Zones are put into an order by what they are and not by their
    names, so that of equally good plans the same one is chosen whatever they are called."""
    zones = _name_independent_order(problem)
    ways, scores = _usable_routes(problem, zones)
    if not ways:
        return Plan({}, "solved")
    matrix, bounds = _limit_matrix(problem, zones, ways)
    last = np.array([problem.previous_flows.get(way, 0.0) for way in ways])
    count = len(ways)
    stay = STABILITY_BONUS * np.array(scores) / 2
    # x: the flow; u, v: how far it is above and under the last one.
    cost = np.concatenate([-np.array(scores), stay, stay])
    eye = coo_matrix((np.ones(count), (range(count), range(count))), shape=(count, count))
    equal = hstack([eye, -eye, eye]).tocsr()
    empty = coo_matrix((matrix.shape[0], 2 * count))
    result: Any = linprog(
        cost,
        A_ub=hstack([matrix, empty]).tocsr(),
        b_ub=bounds,
        A_eq=equal,
        b_eq=last,
        bounds=[(0.0, problem.route_limit(way)) for way in ways] + [(0.0, None)] * (2 * count),
        method="highs",
        options={"time_limit": max(0.001, seconds), "presolve": False},
    )
    if result.status != 0 or result.x is None:
        return None
    return Plan(_trim_to_limits(problem, dict(zip(ways, result.x[:count], strict=True))), "solved")


def _name_independent_order(problem: PlanningProblem) -> list[str]:
    def features(zone: str) -> tuple[Any, ...]:
        rates = tuple(problem.demand.get((zone, group.name), 0.0) for group in problem.groups)
        out = sorted(problem.success_ratio.get((zone, other), 1.0) for other in problem.zones)
        into = sorted(problem.success_ratio.get((other, zone), 1.0) for other in problem.zones)
        last = sorted(
            rate for (source, _, target), rate in problem.previous_flows.items() if zone in (source, target)
        )
        prices = sorted(problem.cost.get((zone, other), 0.0) for other in problem.zones)
        return problem.capacity.get(zone, math.inf), rates, out, into, last, prices

    return sorted(problem.zones, key=features)


def _usable_routes(problem: PlanningProblem, zones: list[str]) -> tuple[list[Route], list[float]]:
    ways: list[Route] = []
    scores: list[float] = []
    for group in problem.groups:
        for source in zones:
            if problem.demand.get((source, group.name), 0.0) <= NEGLIGIBLE_RATE:
                continue
            for target in zones:
                score = problem.score(group, (source, target))
                if score > 0 and problem.capacity.get(target, math.inf) > NEGLIGIBLE_RATE:
                    ways.append((source, group.name, target))
                    scores.append(score)
    return ways, scores


def _limit_matrix(problem: PlanningProblem, zones: list[str], ways: list[Route]) -> tuple[Any, list[float]]:
    """A row for each source's demand, and one for each target's room."""
    rows: dict[tuple[str, ...], int] = {}
    bounds: list[float] = []
    places: list[tuple[int, int]] = []
    for column, (source, group, target) in enumerate(ways):
        for key, most in (
            ((source, group), problem.demand[source, group]),
            ((target,), problem.capacity.get(target, math.inf)),
        ):
            if math.isinf(most):
                continue
            if key not in rows:
                rows[key] = len(bounds)
                bounds.append(most)
            places.append((rows[key], column))
    at = ([row for row, _ in places], [column for _, column in places])
    return coo_matrix((np.ones(len(places)), at), shape=(len(bounds), len(ways))), bounds


def _trim_to_limits(problem: PlanningProblem, flows: dict[Route, float]) -> dict[Route, float]:
    """The solver keeps to its bounds up to a small error; the plan does so exactly."""
    found = {way: float(rate) for way, rate in flows.items() if rate > 1e-7}
    for key, limits in ((slice(0, 2), problem.demand), (slice(2, 3), problem.capacity)):
        sums: dict[Any, float] = {}
        for way, rate in found.items():
            sums[way[key]] = sums.get(way[key], 0.0) + rate
        for way in found:
            name = way[key]
            most = limits.get(name if len(name) == 2 else name[0], math.inf)  # type: ignore[call-overload]
            if sums[name] > most:
                found[way] *= most / sums[name]
    return found

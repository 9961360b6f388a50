"""Plans the rate from each zone of relays to each zone of endpoints, for each destination. No I/O.

Hard limits: no zone of endpoints gets more than its capacity; no call goes to a zone that its class excludes;
no rate is planned on an unusable pair of zones. Objectives, in this order: deliver the calls of the greatest
weight, prefer near zones, and change as little as possible of the previous plan.

    near     all demand fits into each zone's own endpoints: no optimisation needed
    solved   the optimum, by HiGHS (failover/solver.py)
    greedy   near-optimal (failover/greedy_planner.py), if the solver fails or the time budget is used up

Demand without capacity is shed, the least weight first; its clients get a Retry-After.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from .greedy_planner import plan_greedily
from .plan_model import Plan, PlanningProblem, Route, TrafficGroup

# Takes a problem and a time limit in seconds; returns None if it finds no plan.
Solver = Callable[[PlanningProblem, float], "Plan | None"]


def plan_locally(problem: PlanningProblem) -> Plan | None:
    """Plan all calls within their zone; None if that is not the best plan."""
    flows: dict[Route, float] = {}
    used: dict[str, float] = {}
    for group in problem.groups:
        for zone in problem.zones:
            rate = problem.demand.get((zone, group.name), 0.0)
            if rate <= 0:
                continue
            if not _is_local_best(problem, group, zone):
                return None
            flows[zone, group.name, zone] = rate
            used[zone] = used.get(zone, 0.0) + rate
    if any(rate > problem.capacity.get(zone, math.inf) for zone, rate in used.items()):
        return None
    return Plan(flows, "near")


def _is_local_best(problem: PlanningProblem, group: TrafficGroup, zone: str) -> bool:
    local_score = problem.score(group, (zone, zone))
    if local_score <= 0 or problem.allowed_share.get((zone, zone), 1.0) < 1.0:
        return False
    return not any(problem.score(group, (zone, other)) > local_score for other in problem.zones)


def plan_all(
    problems: dict[int, PlanningProblem],
    solver: Solver | None,
    budget_s: float,
    clock: Callable[[], float],
) -> dict[int, Plan]:
    """Plan each destination.

    The solver gets the destinations with the most value at stake, until the time budget is used up.
    """
    plans: dict[int, Plan] = {}
    not_local: list[int] = []
    for destination, problem in problems.items():
        plan = plan_locally(problem)
        if plan is None:
            not_local.append(destination)
        else:
            plans[destination] = plan
    deadline = clock() + budget_s
    for destination in _by_value_at_stake(not_local, problems):
        problem = problems[destination]
        plan = None
        remaining_s = deadline - clock()
        if solver is not None and remaining_s > 0:
            plan = solver(problem, remaining_s)
        plans[destination] = plan_greedily(problem) if plan is None else plan
    return plans


def _by_value_at_stake(destinations: Iterable[int], problems: dict[int, PlanningProblem]) -> list[int]:
    def value(destination: int) -> float:
        problem = problems[destination]
        weights = {group.name: group.priority_weight for group in problem.groups}
        return sum(rate * weights.get(group, 0.0) for (_, group), rate in problem.demand.items())

    return sorted(destinations, key=lambda destination: (-value(destination), destination))

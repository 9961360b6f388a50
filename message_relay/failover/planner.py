"""Plans: for each destination, which rate goes from which zone of relays to which zone of endpoints. No I/O.

Limits that no plan exceeds: no zone of endpoints gets more than its capacity; no call goes where its class
may not; nothing is planned over a pair of zones that can't be used. Objectives, in this order: deliver the
calls of the greatest weight, near before far, and change as little as possible of the previous plan.

    near     all fits into each zone's own endpoints: nothing to compute
    solved   the optimum, by HiGHS (failover/solver.py)
    greedy   near the optimum (failover/greedy_planner.py): where the solver fails or there is no time for it

Demand without capacity is shed, the least weight first, and its clients are told when to retry.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from .greedy_planner import plan_greedily
from .plan_model import Plan, PlanningProblem, Route, TrafficGroup

# Gets a problem and a time limit in seconds; None: it found no plan.
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
    found: dict[int, Plan] = {}
    not_local: list[int] = []
    for destination, problem in problems.items():
        plan = plan_locally(problem)
        if plan is None:
            not_local.append(destination)
        else:
            found[destination] = plan
    deadline = clock() + budget_s
    for destination in _by_value_at_stake(not_local, problems):
        problem = problems[destination]
        plan = None
        left_s = deadline - clock()
        if solver is not None and left_s > 0:
            plan = solver(problem, left_s)
        found[destination] = plan_greedily(problem) if plan is None else plan
    return found


def _by_value_at_stake(destinations: Iterable[int], problems: dict[int, PlanningProblem]) -> list[int]:
    def value(destination: int) -> float:
        problem = problems[destination]
        weights = {group.name: group.priority_weight for group in problem.groups}
        return sum(rate * weights.get(group, 0.0) for (_, group), rate in problem.demand.items())

    return sorted(destinations, key=lambda destination: (-value(destination), destination))

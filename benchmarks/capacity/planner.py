"""What plans cost: one destination's by its zones and groups of classes, and many within the budget."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Mapping

from message_relay.failover.greedy_planner import plan_greedily
from message_relay.failover.plan_model import Plan, PlanningProblem, TrafficGroup
from message_relay.failover.planner import Solver, plan_all

from .form import Measure

BUDGET_S = 0.15  # failover.budget_ms as it is set at first
GROUPS, ZONES = 3, 10
ROUNDS = 5  # of different problems, the median of which counts


def problem(zones: int, groups: int, seed: int) -> PlanningProblem:
    """One zone is lost, and the others have room for most of what it had."""
    rng = random.Random(seed)
    names = tuple(f"zone-{n}" for n in range(zones))
    half = (zones + 1) // 2
    region = {name: n // half for n, name in enumerate(names)}
    demand = {(name, f"g{n}"): rng.uniform(20.0, 40.0) for name in names for n in range(groups)}
    room = {name: 33.0 * groups for name in names}
    lost = names[0]
    return PlanningProblem(
        names,
        tuple(TrafficGroup(f"g{n}", 1.0 + n) for n in range(groups)),
        demand,
        room,
        {(a, lost): 0.0 for a in names},
        {(a, b): 0.0 if a == b else 0.05 if region[a] == region[b] else 0.2 for a in names for b in names},
        {},
        {(a, lost): 0.0 for a in names},
    )


def median_ms(zones: int, groups: int, made: Callable[[PlanningProblem], Plan | None]) -> float:
    times = []
    for seed in range(ROUNDS):
        each = problem(zones, groups, seed)
        began = time.process_time()
        assert made(each) is not None
        times.append(1000 * (time.process_time() - began))
    return sorted(times)[ROUNDS // 2]


def solver() -> Solver:
    """Loaded here: all other measures are imported beside this one, and don't need it."""
    from message_relay.failover.solver import solve

    return solve


def of_zones(size: int) -> Mapping[str, float]:
    solved = solver()
    solved(problem(2, 1, 0), 1.0)  # what is loaded at the first use is not of a plan
    return {
        "solved_cpu_ms": median_ms(size, GROUPS, lambda each: solved(each, 10.0)),
        "greedy_cpu_ms": median_ms(size, GROUPS, plan_greedily),
    }


def of_groups(size: int) -> Mapping[str, float]:
    solved = solver()
    solved(problem(2, 1, 0), 1.0)
    return {
        "solved_cpu_ms": median_ms(ZONES, size, lambda each: solved(each, 10.0)),
        "greedy_cpu_ms": median_ms(ZONES, size, plan_greedily),
    }


def of_destinations(size: int) -> Mapping[str, float]:
    solved = solver()
    solved(problem(2, 1, 0), 1.0)
    problems = {n: problem(ZONES, GROUPS, n) for n in range(size)}
    began = time.process_time()
    found = plan_all(problems, solved, BUDGET_S, time.perf_counter)
    took = 1000 * (time.process_time() - began)
    return {"cpu_ms": took, "solved": sum(each.method == "solved" for each in found.values())}


MEASURES = (
    Measure(
        "planner.zones",
        "zone",
        (2, 4, 8, 16),
        32,
        {"solved_cpu_ms": "ms", "greedy_cpu_ms": "ms"},
        of_zones,
        "message_relay/failover/solver.py",
        "one destination, 3 groups, one zone lost",
    ),
    Measure(
        "planner.groups",
        "group",
        (1, 2, 4, 8),
        16,
        {"solved_cpu_ms": "ms", "greedy_cpu_ms": "ms"},
        of_groups,
        "message_relay/failover/solver.py",
        "one destination, 10 zones, one of them lost",
    ),
    Measure(
        "planner.plan",
        "destination",
        (12, 25, 50, 100),
        200,
        {"cpu_ms": "ms", "solved": "plans"},
        of_destinations,
        "message_relay/failover/planner.py",
        "10 zones, 3 groups, one zone lost; the solver has 150 ms for all, and the others are greedy",
    ),
)

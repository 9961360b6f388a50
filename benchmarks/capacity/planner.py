"""Measures the cost of plans: for one destination by its zones and groups of message classes, and for many
destinations within the time budget."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Mapping

from message_relay.failover.greedy_planner import plan_greedily
from message_relay.failover.plan_model import Plan, PlanningProblem, TrafficGroup
from message_relay.failover.planner import Solver, plan_all

from .form import Measure

BUDGET_S = 0.15  # the default of failover.budget_ms
GROUPS, ZONES = 3, 10
ROUNDS = 5  # different problems; the result is the median


def problem(zones: int, groups: int, seed: int) -> PlanningProblem:
    """Return a problem in which one zone is lost and the others have capacity for most of its demand."""
    rng = random.Random(seed)
    names = tuple(f"zone-{n}" for n in range(zones))
    half = (zones + 1) // 2
    region = {name: n // half for n, name in enumerate(names)}
    demand = {(name, f"g{n}"): rng.uniform(20.0, 40.0) for name in names for n in range(groups)}
    capacity = {name: 33.0 * groups for name in names}
    lost = names[0]
    return PlanningProblem(
        names,
        tuple(TrafficGroup(f"g{n}", 1.0 + n) for n in range(groups)),
        demand,
        capacity,
        {(a, lost): 0.0 for a in names},
        {(a, b): 0.0 if a == b else 0.05 if region[a] == region[b] else 0.2 for a in names for b in names},
        {},
        {(a, lost): 0.0 for a in names},
    )


def median_ms(zones: int, groups: int, make_plan: Callable[[PlanningProblem], Plan | None]) -> float:
    times = []
    for seed in range(ROUNDS):
        each = problem(zones, groups, seed)
        started_at = time.process_time()
        assert make_plan(each) is not None
        times.append(1000 * (time.process_time() - started_at))
    return sorted(times)[ROUNDS // 2]


def load_solver() -> Solver:
    """Import the solver lazily: the other measures are imported together with this one and do not need it."""
    from message_relay.failover.solver import solve

    return solve


def measure_zones(size: int) -> Mapping[str, float]:
    solve = load_solver()
    solve(problem(2, 1, 0), 1.0)  # the first use loads modules, which is not part of a plan
    return {
        "solved_cpu_ms": median_ms(size, GROUPS, lambda each: solve(each, 10.0)),
        "greedy_cpu_ms": median_ms(size, GROUPS, plan_greedily),
    }


def measure_groups(size: int) -> Mapping[str, float]:
    solve = load_solver()
    solve(problem(2, 1, 0), 1.0)
    return {
        "solved_cpu_ms": median_ms(ZONES, size, lambda each: solve(each, 10.0)),
        "greedy_cpu_ms": median_ms(ZONES, size, plan_greedily),
    }


def measure_destinations(size: int) -> Mapping[str, float]:
    solve = load_solver()
    solve(problem(2, 1, 0), 1.0)
    problems = {n: problem(ZONES, GROUPS, n) for n in range(size)}
    started_at = time.process_time()
    plans = plan_all(problems, solve, BUDGET_S, time.perf_counter)
    elapsed_ms = 1000 * (time.process_time() - started_at)
    return {"cpu_ms": elapsed_ms, "solved": sum(each.method == "solved" for each in plans.values())}


MEASURES = (
    Measure(
        "planner.zones",
        "zone",
        (2, 4, 8, 16),
        32,
        {"solved_cpu_ms": "ms", "greedy_cpu_ms": "ms"},
        measure_zones,
        "message_relay/failover/solver.py",
        "one destination, 3 groups, one zone lost",
    ),
    Measure(
        "planner.groups",
        "group",
        (1, 2, 4, 8),
        16,
        {"solved_cpu_ms": "ms", "greedy_cpu_ms": "ms"},
        measure_groups,
        "message_relay/failover/solver.py",
        "one destination, 10 zones, one of them lost",
    ),
    Measure(
        "planner.plan",
        "destination",
        (12, 25, 50, 100),
        200,
        {"cpu_ms": "ms", "solved": "plans"},
        measure_destinations,
        "message_relay/failover/planner.py",
        "10 zones, 3 groups, one zone lost; the solver has 150 ms for all, and the others are greedy",
    ),
)

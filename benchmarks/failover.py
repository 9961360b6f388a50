"""Measures failover: the cost of a plan, and the effect of a lost zone on service with and without plans.

    python -m benchmarks.failover [--json] [--destinations 10,100,1000] [--zones 12] [--plays 0] [--seed 1]

`planner`: ms for planning so many destinations over twelve zones, one of which is lost, so that each
destination needs a plan: `greedy_ms` for greedy plans only, `with_solver_ms` with the solver within its
budget of 150 ms. `solved` is the number of destinations that the solver reached, `worth` the value of their
greedy plans divided by that of the solved ones.

`--plays`: the number of runs of 24 real instances in three zones and two regions. Each partner's capacity is
1.3 times the demand of its own zone; one partner is down for 6 s and comes back cold. Each run is made with
plans, and without plans with each relay deciding alone. `worth_ratio`: messages delivered with plans, divided
by those without. `rate_worst`: calls in a partner's worst second, divided by its rate. `broken`: messages
lost or duplicated."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import signal
import statistics
import time
from typing import Any

from message_relay.failover.plan_model import PlanningProblem, TrafficGroup
from message_relay.failover.planner import plan_all
from message_relay.failover.solver import solve

from .cluster_harness import cluster
from .processes import Clients, count_in_window

ZONES = ("a", "b", "c")
PARTS = """[failover]
zones = { a = { region = "east" }, b = { region = "east" }, c = { region = "west" } }
window_s = 0.5
"""
DOWN_S, RATE, INSTANCES = 6.0, 60.0, 24


def problem(rng: random.Random, zones: int) -> PlanningProblem:
    names = tuple(f"z{n}" for n in range(zones))
    groups = (TrafficGroup("anywhere 1"), TrafficGroup("anywhere 5", 5.0))
    demand = {(zone, group.name): rng.uniform(1, 50) for zone in names for group in groups}
    demand_by_zone = {zone: sum(demand[zone, group.name] for group in groups) for zone in names}
    capacity = {zone: demand_by_zone[zone] * rng.uniform(1.0, 1.4) for zone in names}
    price = {(a, b): 0.0 if a == b else 0.05 for a in names for b in names}
    return PlanningProblem(names, groups, demand, capacity, {(zone, "z0"): 0.0 for zone in names}, price)


def planner(destinations: int, zones: int, seed: int) -> dict[str, Any]:
    rng = random.Random(seed)
    problems = {n: problem(rng, zones) for n in range(destinations)}
    started_at = time.perf_counter()
    greedy_plans = plan_all(problems, None, 0.0, time.perf_counter)
    greedy_done_at = time.perf_counter()
    solver_plans = plan_all(problems, solve, 0.15, time.perf_counter)
    solver_done_at = time.perf_counter()
    solved = [n for n, plan in solver_plans.items() if plan.method == "solved"]
    return {
        "destinations": destinations,
        "greedy_ms": round(1000 * (greedy_done_at - started_at), 1),
        "with_solver_ms": round(1000 * (solver_done_at - greedy_done_at), 1),
        "solved": len(solved),
        "worth": round(
            statistics.mean(
                greedy_plans[n].total_value(problems[n]) / solver_plans[n].total_value(problems[n])
                for n in solved
            ),
            4,
        ),
    }


async def play(planned: bool, seed: int, block: int) -> dict[str, Any]:
    partner_rate = RATE * 1.3
    async with cluster(
        INSTANCES,
        voters=3,
        bound=1.0,
        horizon=6.0,
        deadline_share=0.5,
        zones=3,
        rate=partner_rate * 3,
        partners=ZONES,
        partner=("--rate", str(partner_rate), "--armed", "--down", f"0:{DOWN_S:g}", "--warm-s", "6"),
        more_parts=PARTS if planned else "",
        fleet_of=INSTANCES,
        block=block,
        net_seed=seed,
    ) as harness:
        await harness.wait_for(lambda status: status["tier"] == "lease", 0)
        clients = Clients(harness.port, INSTANCES, deadline_share=0.5, rng=random.Random(seed))
        await clients.run(3 * RATE, 6.0)
        down_at, first_index = time.time() * 1000, len(clients.submitted)
        harness.send_signal("partner a", signal.SIGUSR1)
        submitted = await clients.run(3 * RATE, 24.0)
        await harness.wait_until_drained(20.0)
        effects = harness.effects()
        calls = {zone: harness.calls_at(zone) for zone in ZONES}
        clients.close()
        return {
            "delivered": sum(message_id in effects for message_id in submitted) / max(1, len(submitted)),
            "rate_worst": max(
                count_in_window(times, at, 1000.0) / partner_rate
                for times in calls.values()
                for at in times
                if at > down_at
            ),
            "near_before": sum(first_index > 0 and at < down_at for at in calls["a"]),
            "broken": len(harness.violations(clients.accepted)),
        }


async def plays(count: int, seed: int) -> dict[str, Any]:
    rows = []
    for n in range(count):
        planned = await play(True, seed + n, 60 + os.getpid() % 20)
        alone = await play(False, seed + n, 60 + os.getpid() % 20)
        rows.append({"planned": planned, "alone": alone})
    ratios = [row["planned"]["delivered"] / max(1e-9, row["alone"]["delivered"]) for row in rows]
    return {
        "plays": rows,
        "worth_ratio": [round(ratio, 3) for ratio in sorted(ratios)],
        "rate_worst": round(max(row["planned"]["rate_worst"] for row in rows), 2),
        "rate_worst_alone": round(max(row["alone"]["rate_worst"] for row in rows), 2),
        "broken": sum(row[mode]["broken"] for row in rows for mode in ("planned", "alone")),
    }


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.failover")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--destinations", default="10,100,1000")
    parser.add_argument("--zones", type=int, default=12)
    parser.add_argument("--plays", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    results: dict[str, Any] = {
        "planner": [planner(int(n), args.zones, args.seed) for n in args.destinations.split(",") if n]
    }
    if args.plays:
        results["a zone lost for 6 s"] = asyncio.run(plays(args.plays, args.seed))
    print(json.dumps(results) if args.json else json.dumps(results, indent=1))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())

"""Failover: what a plan costs, and what a lost zone does to service with and without one.

    python -m benchmarks.failover [--json] [--destinations 10,100,1000] [--zones 12] [--plays 0] [--seed 1]

`planner`: ms for plans of so many destinations over twelve zones, one of which is lost, so that each of them
has to be planned: all greedy, and with the solver in its budget of 150 ms; `solved` of them it got to, and
the greedy plans' worth to the solver's (`worth`, of those that both planned).

`--plays`: so many plays of 24 real instances in three zones and two regions, with partners that can do 1.3 of
what their own zone asks for, one of which is down for 6 s and comes back cold: by plans, and each relay alone
as without them, in one run. `worth_ratio`: delivered with plans to without; `rate_worst`, the worst second of
a partner against its rate; `broken`: messages lost or doubled."""

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
from .processes import Clients, most

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
    asked = {zone: sum(demand[zone, group.name] for group in groups) for zone in names}
    room = {zone: asked[zone] * rng.uniform(1.0, 1.4) for zone in names}
    price = {(a, b): 0.0 if a == b else 0.05 for a in names for b in names}
    return PlanningProblem(names, groups, demand, room, {(zone, "z0"): 0.0 for zone in names}, price)


def planner(destinations: int, zones: int, seed: int) -> dict[str, Any]:
    rng = random.Random(seed)
    problems = {n: problem(rng, zones) for n in range(destinations)}
    begun = time.perf_counter()
    quick = plan_all(problems, None, 0.0, time.perf_counter)
    middle = time.perf_counter()
    best = plan_all(problems, solve, 0.15, time.perf_counter)
    ended = time.perf_counter()
    both = [n for n, plan in best.items() if plan.method == "solved"]
    return {
        "destinations": destinations,
        "greedy_ms": round(1000 * (middle - begun), 1),
        "with_solver_ms": round(1000 * (ended - middle), 1),
        "solved": len(both),
        "worth": round(
            statistics.mean(
                quick[n].total_value(problems[n]) / best[n].total_value(problems[n]) for n in both
            ),
            4,
        ),
    }


async def play(planned: bool, seed: int, block: int) -> dict[str, Any]:
    room = RATE * 1.3
    async with cluster(
        INSTANCES,
        voters=3,
        bound=1.0,
        horizon=6.0,
        deadline_share=0.5,
        zones=3,
        rate=room * 3,
        partners=ZONES,
        partner=("--rate", str(room), "--armed", "--down", f"0:{DOWN_S:g}", "--warm-s", "6"),
        more_parts=PARTS if planned else "",
        fleet_of=INSTANCES,
        block=block,
        net_seed=seed,
    ) as it:
        await it.wait_for(lambda told: told["tier"] == "lease", 0)
        clients = Clients(it.port, INSTANCES, deadline_share=0.5, rng=random.Random(seed))
        await clients.run(3 * RATE, 6.0)
        begun, first = time.time() * 1000, len(clients.asked)
        it.tell("partner a", signal.SIGUSR1)
        asked = await clients.run(3 * RATE, 24.0)
        await it.drained(20.0)
        effects = it.effects()
        calls = {zone: it.calls_at(zone) for zone in ZONES}
        clients.close()
        return {
            "delivered": sum(ident in effects for ident in asked) / max(1, len(asked)),
            "rate_worst": max(
                most(times, at, 1000.0) / room for times in calls.values() for at in times if at > begun
            ),
            "near_before": sum(first > 0 and at < begun for at in calls["a"]),
            "broken": len(it.broken(clients.taken)),
        }


async def plays(count: int, seed: int) -> dict[str, Any]:
    rows = []
    for n in range(count):
        one = await play(True, seed + n, 60 + os.getpid() % 20)
        other = await play(False, seed + n, 60 + os.getpid() % 20)
        rows.append({"planned": one, "alone": other})
    ratios = [row["planned"]["delivered"] / max(1e-9, row["alone"]["delivered"]) for row in rows]
    return {
        "plays": rows,
        "worth_ratio": [round(ratio, 3) for ratio in sorted(ratios)],
        "rate_worst": round(max(row["planned"]["rate_worst"] for row in rows), 2),
        "rate_worst_alone": round(max(row["alone"]["rate_worst"] for row in rows), 2),
        "broken": sum(row[how]["broken"] for row in rows for how in ("planned", "alone")),
    }


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.failover")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--destinations", default="10,100,1000")
    parser.add_argument("--zones", type=int, default=12)
    parser.add_argument("--plays", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    told: dict[str, Any] = {
        "planner": [planner(int(n), args.zones, args.seed) for n in args.destinations.split(",") if n]
    }
    if args.plays:
        told["a zone lost for 6 s"] = asyncio.run(plays(args.plays, args.seed))
    print(json.dumps(told) if args.json else json.dumps(told, indent=1))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())

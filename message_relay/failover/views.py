"""Operator views of failover: rows and texts of `zone status`, `zone plan` and the causes of versions.

The keys and values are an interface: the command `zone` and scripts read them.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from .controller import FailoverController
from .plan_model import Plan, PlanningProblem

MAX_NAMED_DESTINATIONS = 5  # destinations named in a cause


def cause_of_plan(controller: FailoverController) -> str:
    """Describes the pairs that are not fully used, with their destinations: the cause of a version."""
    destinations: dict[str, list[str]] = {}
    for destination, judge in sorted(controller.judges.items()):
        for (source, target), health in sorted(judge.pairs.items()):
            if health.share < 1.0:
                state = f"{source}>{target} {health.state.value}"
                destinations.setdefault(state, []).append(str(destination))
    causes = [
        f"{state} ({', '.join(names[:MAX_NAMED_DESTINATIONS])})"
        for state, names in sorted(destinations.items())
    ]
    return "; ".join(causes) or "all well"


def pair_rows(controller: FailoverController, now: float) -> list[dict[str, Any]]:
    """Rows with the health of each pair of zones, by destination."""
    return [
        {
            "destination": destination,
            "from": source,
            "to": target,
            "state": health.state.value,
            "share": health.share,
            "since s": round(now - health.since, 1),
            "flaps": health.flaps,
            "comes good": round(health.success_share, 3),
        }
        for destination, judge in sorted(controller.judges.items())
        for (source, target), health in sorted(judge.pairs.items())
    ]


def plan_explanations(controller: FailoverController) -> dict[str, dict[str, Any]]:
    """Explains the plan of each destination."""
    return {
        str(destination): {
            "how": explanation.method,
            "flows": _rounded(explanation.flows),
            "shed": _rounded(explanation.shed),
            "room": {
                zone: round(rate, 2)
                for zone, rate in sorted(explanation.capacity.items())
                if math.isfinite(rate)
            },
        }
        for destination, explanation in sorted(controller.explanations.items())
    }


def plan_rows(problems: Mapping[int, PlanningProblem], plans: Mapping[int, Plan]) -> list[dict[str, Any]]:
    """Rows with the plan of each destination."""
    rows = []
    for destination, plan in sorted(plans.items()):
        problem = problems[destination]
        row = {
            "destination": destination,
            "how": plan.method,
            "moved": round(plan.moved_rate(problem), 2),
            "demand": round(sum(problem.demand.values()), 2),
            "shed": round(sum(plan.shed_rates(problem).values()), 2),
            "flows": _rounded(plan.flows),
        }
        rows.append(row)
    return rows


def _rounded(flows: Mapping[Any, float]) -> dict[str, float]:
    """Rates under their keys, whose names are joined by spaces."""
    return {" ".join(key): round(rate, 2) for key, rate in sorted(flows.items())}

"""Converts plans to rules: flow bounds, relay shares and relay counts; detects the need for a new version.

Pure functions; the rules themselves are in consensus/rules.py.
"""

from __future__ import annotations

import math

from ..consensus.rule_enforcement import hash_position
from ..consensus.rules import FlowRule, Rules
from .plan_model import Plan, PlanningProblem
from .settings import FailoverSettings

MIN_RELATIVE_CHANGE = 0.2  # of a bound; smaller changes cause no new version
HEADROOM_SHARE = (
    0.5  # share of the unplanned capacity for the plan's flows; the rest is for the zone's own relays
)
LARGE_ZONE = 10  # relays; zones from this size on declare a margin above their relay count
RELAY_COUNT_MARGIN = 0.1  # share of the relay count

Capacities = dict[int, dict[str, float]]  # calls per second by destination and zone of endpoints


def spare_flows(settings: FailoverSettings, capacity: dict[str, float]) -> dict[str, float]:
    """Maps each target zone to the rate that each other zone may always send there, even while cut off."""
    sources = max(1, len(settings.zones) - 1)
    return {
        zone: round(settings.spare * rate / sources, 3)
        for zone, rate in capacity.items()
        if zone in settings.zones and math.isfinite(rate)
    }


def relay_shares(
    destination: int, problem: PlanningProblem, relays: dict[str, list[str]]
) -> dict[str, dict[str, float]]:
    """Maps source and target zone to the share of the source's relays that use the target.

    A share above 0 includes at least one relay; otherwise there would be no more observations of the target.
    """
    shares: dict[str, dict[str, float]] = {}
    for (source, target), share in sorted(problem.allowed_share.items()):
        if share > 0:
            positions = (hash_position(destination, target, name) for name in relays.get(source, ()))
            first = min(positions, default=0.0)
            share = min(1.0, max(share, round(first + 1e-6, 6)))
        shares.setdefault(source, {})[target] = share
    return shares


def flow_bounds(
    zones: tuple[str, ...], plan: Plan, problem: PlanningProblem, spare: dict[str, float]
) -> dict[str, dict[str, float]]:
    """Maps source and target zone to the permitted calls per second, with some headroom over the plan."""
    bounds: dict[str, dict[str, float]] = {}
    for target in zones:
        capacity = problem.capacity.get(target, math.inf)
        if math.isinf(capacity):
            continue
        flows = _flows_into(target, plan)
        used = sum(flows.values())
        headroom = HEADROOM_SHARE * (capacity - used) / used if used > 0 else 0.0
        factor = 1.0 + headroom
        for source in zones:
            if source != target:
                rate = flows.get(source, 0.0) * factor
                bounds.setdefault(source, {})[target] = round(max(rate, spare.get(target, 0.0)), 3)
    return bounds


def _flows_into(target: str, plan: Plan) -> dict[str, float]:
    flows: dict[str, float] = {}
    for (source, _, zone), rate in plan.flows.items():
        if zone == target:
            flows[source] = flows.get(source, 0.0) + rate
    return flows


def declared_relay_count(before: int, now: int) -> int:
    """Number of relays by which a zone's outgoing bounds are divided: never below the actual number.

    Guards against a new version for each relay that joins or leaves: while thousands join, each version would
    contradict the previous one, and no instance would get a lease.
    """
    now = max(1, now)
    if not before or now < LARGE_ZONE:
        return now
    if now > before:
        return now + int(RELAY_COUNT_MARGIN * now)
    return before if before <= (1 + 2 * RELAY_COUNT_MARGIN) * now else now


def needs_new_version(rules: Rules, flows: dict[str, FlowRule], counts: dict[str, int]) -> bool:
    """Whether the flows or relay counts differ enough from the rules in force."""
    if set(flows) != {name for name in rules.flows if name.isdecimal()}:
        return True
    if any(rules.zones.get(zone, 0) != count for zone, count in counts.items()):
        return True
    return any(_flow_changed(rules.flows[name], flow) for name, flow in flows.items())


def _flow_changed(old: FlowRule, new: FlowRule) -> bool:
    if old.share != new.share or set(old.bound) != set(new.bound) or set(old.spare) != set(new.spare):
        return True
    if _rates_changed(old.spare, new.spare):
        return True
    return any(_rates_changed(old.bound[source], new.bound[source]) for source in new.bound)


def _rates_changed(before: dict[str, float], after: dict[str, float]) -> bool:
    if set(before) != set(after):
        return True
    return any(
        abs(after[zone] - before[zone]) > MIN_RELATIVE_CHANGE * max(before[zone], after[zone])
        for zone in after
    )

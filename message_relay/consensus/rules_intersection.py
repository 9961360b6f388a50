"""The order of rule sets and their greatest lower bound. No I/O.

The table in `rules.py` lists the fields and how each is ordered.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import reduce
from typing import TypeVar

import msgspec

from .rules import (
    ANY,
    CLOSED,
    DENY_ALL,
    EFFECTS_BY_STRICTNESS,
    NO_FLOW_LIMITS,
    UNRESTRICTED,
    ClassRule,
    DestinationRule,
    Effect,
    FlowRule,
    Limit,
    Policies,
    Rules,
    ZoneRates,
    smaller_limit,
)

Item = TypeVar("Item")
Rule = TypeVar("Rule")


def intersect(a: Rules, b: Rules) -> Rules:
    """Return the loosest set that both allow. The operation is commutative, associative and idempotent."""
    destinations = {
        name: intersect_destinations(a.destination_for(name), b.destination_for(name))
        for name in names_with_wildcard(a.destinations, b.destinations)
    }
    classes = {
        name: intersect_classes(a.class_for(name), b.class_for(name))
        for name in names_with_wildcard(a.classes, b.classes)
    }
    flows = {
        name: intersect_flows(a.flow_for(name), b.flow_for(name))
        for name in names_with_wildcard(a.flows, b.flows)
    }
    zones = {name: max(a.zones.get(name, 0), b.zones.get(name, 0)) for name in {*a.zones, *b.zones}}
    policies = Policies(
        _common_items(a.policies.zones, b.policies.zones), a.policies.evacuated | b.policies.evacuated
    )
    return normalize(Rules(destinations, classes, policies, flows, zones))


def intersect_all(sets: Iterable[Rules]) -> Rules:
    """Return the loosest set that all allow; for no sets, the set that denies everything."""
    rule_sets = list(sets)
    return reduce(intersect, rule_sets) if rule_sets else DENY_ALL


def is_subset(a: Rules, b: Rules) -> bool:
    """Whether b allows everything that a allows."""
    if _denies_everything(a):
        return True
    return (
        all(
            _is_destination_subset(a.destination_for(name), b.destination_for(name))
            for name in names_with_wildcard(a.destinations, b.destinations)
        )
        and all(
            _is_class_subset(a.class_for(name), b.class_for(name))
            for name in names_with_wildcard(a.classes, b.classes)
        )
        and _is_item_subset(a.policies.zones, b.policies.zones)
        and all(
            _is_flow_subset(a.flow_for(name), b.flow_for(name))
            for name in names_with_wildcard(a.flows, b.flows)
        )
        and all(a.zones.get(name, 0) >= count for name, count in b.zones.items())
    )


def normalize(rules: Rules) -> Rules:
    """Return the normal form, the same for all equivalent sets: names that only repeat `*` are left out."""
    if _denies_everything(rules):
        return DENY_ALL
    destinations = {name: _normalize_destination(rule) for name, rule in sorted(rules.destinations.items())}
    classes = {name: _normalize_class(rule) for name, rule in sorted(rules.classes.items())}
    flows = {name: _normalize_flow(rule) for name, rule in sorted(rules.flows.items())}
    return Rules(
        _without_repeats(destinations, _normalize_destination(rules.destination_for(ANY)), UNRESTRICTED),
        _without_repeats(classes, _normalize_class(rules.class_for(ANY)), ClassRule()),
        rules.policies,
        _without_repeats(flows, _normalize_flow(rules.flow_for(ANY)), NO_FLOW_LIMITS),
        {name: count for name, count in sorted(rules.zones.items()) if count},
    )


def standby_rules(rules: Rules, share: float) -> Rules:
    """Return the rules with which an instance without contact to a majority of voters continues.

    Each later version either allows them, or waits until such an instance has stopped. Rates are multiplied
    by `share`, and calls to other zones are limited to the rates that are reserved there for this case;
    everything else is unchanged.
    """
    destinations = {
        name: msgspec.structs.replace(rule, rate=None if rule.rate is None else rule.rate * share)
        for name, rule in rules.destinations.items()
    }
    flows = {name: _standby_flow(flow, share) for name, flow in rules.flows.items()}
    return msgspec.structs.replace(rules, destinations=destinations, flows=flows)


def _standby_flow(flow: FlowRule, share: float) -> FlowRule:
    bound = {
        source: {target: rate * share for target, rate in row.items()} for source, row in flow.bound.items()
    }
    bound[ANY] = _smaller_rates(bound.get(ANY, {}), dict(flow.spare))
    return msgspec.structs.replace(flow, bound=bound)


def names_with_wildcard(a: Iterable[str], b: Iterable[str]) -> list[str]:
    """Return the names in both and `*`, sorted."""
    return sorted({ANY, *a, *b})


# -- greatest lower bound of each field ----------------------------------------------------------------------


def intersect_destinations(a: DestinationRule, b: DestinationRule) -> DestinationRule:
    """Return the loosest rule that both allow."""
    rule = DestinationRule(
        smaller_limit(a.rate, b.rate),
        smaller_limit(a.slots, b.slots),
        _common_items(a.endpoints, b.endpoints),
        a.closed or b.closed,
    )
    return _normalize_destination(rule)


def intersect_classes(a: ClassRule, b: ClassRule) -> ClassRule:
    """Return the loosest rule that both allow."""
    if a.closed or b.closed:
        return ClassRule(closed=True)
    strictness = smaller_limit(_strictness(a.effect), _strictness(b.effect))
    effect = None if strictness is None else EFFECTS_BY_STRICTNESS[strictness]
    return ClassRule(effect, smaller_limit(a.attempts, b.attempts))


def intersect_flows(a: FlowRule, b: FlowRule) -> FlowRule:
    """Return the loosest rule that both allow, with the smaller share of the two."""
    return _normalize_flow(
        FlowRule(
            _smaller_zone_rates(a.bound, b.bound),
            _smaller_rates(a.spare, b.spare),
            _smaller_zone_rates(a.share, b.share),
        )
    )


def _common_items(a: frozenset[Item] | None, b: frozenset[Item] | None) -> frozenset[Item] | None:
    if a is None:
        return b
    if b is None:
        return a
    return a & b


def _smaller_rates(a: dict[str, float], b: dict[str, float]) -> dict[str, float]:
    return {name: min(row[name] for row in (a, b) if name in row) for name in sorted({*a, *b})}


def _smaller_zone_rates(a: ZoneRates, b: ZoneRates) -> ZoneRates:
    return {name: _smaller_rates(a.get(name, {}), b.get(name, {})) for name in sorted({*a, *b})}


def _strictness(effect: Effect | None) -> int | None:
    return None if effect is None else EFFECTS_BY_STRICTNESS.index(effect)


# -- order of each field -------------------------------------------------------------------------------------


def _is_at_most(a: Limit | None, b: Limit | None) -> bool:
    return b is None or (a is not None and a <= b)


def _is_item_subset(a: frozenset[Item] | None, b: frozenset[Item] | None) -> bool:
    return b is None or (a is not None and a <= b)


def _is_destination_subset(a: DestinationRule, b: DestinationRule) -> bool:
    if a.allows_nothing:
        return True
    return (
        not b.allows_nothing
        and _is_at_most(a.rate, b.rate)
        and _is_at_most(a.slots, b.slots)
        and _is_item_subset(a.endpoints, b.endpoints)
    )


def _is_class_subset(a: ClassRule, b: ClassRule) -> bool:
    if a.closed:
        return True
    return (
        not b.closed
        and _is_at_most(_strictness(a.effect), _strictness(b.effect))
        and _is_at_most(a.attempts, b.attempts)
    )


def _is_flow_subset(a: FlowRule, b: FlowRule) -> bool:
    for source, row in b.bound.items():
        for target, rate in row.items():
            limit = a.bound.get(ANY, {}).get(target) if source == ANY else a.rate_limit(source, target)
            if source != target and not _is_at_most(limit, rate):
                return False
    return all(_is_at_most(a.spare.get(target), rate) for target, rate in b.spare.items())


def _denies_everything(rules: Rules) -> bool:
    return (
        all(
            rules.destination_for(name).allows_nothing for name in names_with_wildcard(rules.destinations, ())
        )
        or all(rules.class_for(name).closed for name in names_with_wildcard(rules.classes, ()))
        or rules.policies.zones == frozenset()
    )


# -- normal form of each field -------------------------------------------------------------------------------


def _normalize_destination(rule: DestinationRule) -> DestinationRule:
    return CLOSED if rule.allows_nothing else rule


def _normalize_class(rule: ClassRule) -> ClassRule:
    return ClassRule(closed=True) if rule.closed else rule


def _normalize_flow(flow: FlowRule) -> FlowRule:
    """Leave out limits and shares without effect.

    These are limits within a zone, limits no stricter than that of `*`, and shares of 1.
    """
    wildcard_rates = flow.bound.get(ANY, {})
    bound = {
        source: {
            target: rate
            for target, rate in sorted(row.items())
            if source != target
            and (source == ANY or target not in wildcard_rates or rate < wildcard_rates[target])
        }
        for source, row in sorted(flow.bound.items())
    }
    share = {
        source: {target: fraction for target, fraction in sorted(row.items()) if fraction < 1.0}
        for source, row in sorted(flow.share.items())
    }
    return FlowRule(
        {source: row for source, row in bound.items() if row},
        dict(sorted(flow.spare.items())),
        {source: row for source, row in share.items() if row},
    )


def _without_repeats(named: dict[str, Rule], wildcard_rule: Rule, default: Rule) -> dict[str, Rule]:
    """Return the rules that differ from that of `*`, and the latter at the end unless it is the default."""
    distinct = {name: rule for name, rule in named.items() if name != ANY and rule != wildcard_rule}
    if wildcard_rule != default:
        distinct[ANY] = wildcard_rule
    return distinct

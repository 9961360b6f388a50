"""Validation of a rule set beyond the types of its fields. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Set

from .rules import ANY, MAX_DESTINATIONS, FlowRule, Rules, RulesError


def validate_rules(rules: Rules, classes: Iterable[str] = (), zones: Iterable[str] = ()) -> None:
    """Validate a rule set; class and zone names are compared with the known names, if any are given.

    Raises:
        RulesError: with a line for each fault.
    """
    faults = [
        *_destination_faults(rules),
        *_class_faults(rules, set(classes)),
        *_zone_faults(rules, set(zones)),
    ]
    if faults:
        raise RulesError("\n".join(faults))


def _destination_faults(rules: Rules) -> list[str]:
    faults = []
    if len(rules.destinations) > MAX_DESTINATIONS:
        faults.append(f"destinations: {len(rules.destinations)}: {MAX_DESTINATIONS} at most")
    for field, names in (("destinations", rules.destinations), ("flows", rules.flows)):
        faults += [
            f"{field}.{name}: a number or '*' is needed"
            for name in names
            if name != ANY and not name.isdecimal()
        ]
    return faults


def _class_faults(rules: Rules, known: Set[str]) -> list[str]:
    if not known:
        return []
    return [
        f"classes.{name}: is none of {', '.join(sorted(known))}"
        for name in rules.classes
        if name != ANY and name not in known
    ]


def _zone_faults(rules: Rules, known: Set[str]) -> list[str]:
    if not known:
        return []
    known_names = ", ".join(sorted(known))
    faults = [
        f"policies.zones: {zone!r} is none of {known_names}"
        for zone in sorted((rules.policies.zones or frozenset()) - known)
    ]
    faults += [
        f"flows.{name}: {zone!r} is none of {known_names}"
        for name, flow in rules.flows.items()
        for zone in sorted(_zones_of_flow(flow) - known - {ANY})
    ]
    return faults


def _zones_of_flow(flow: FlowRule) -> set[str]:
    rows = [*flow.bound.items(), *flow.share.items()]
    return {*flow.spare, *(name for source, row in rows for name in (source, *row))}

"""The difference of two rule sets, for people. No I/O."""

from __future__ import annotations

import msgspec

from .rules import Rules
from .rules_meet import names_with_wildcard


def diff_rules(a: Rules, b: Rules) -> list[str]:
    """Return what changes from a to b, a line for each field."""
    found = []
    for name in names_with_wildcard(a.destinations, b.destinations):
        found += _changed_fields(f"destinations.{name}", a.destination_for(name), b.destination_for(name))
    for name in names_with_wildcard(a.classes, b.classes):
        found += _changed_fields(f"classes.{name}", a.class_for(name), b.class_for(name))
    for name in names_with_wildcard(a.flows, b.flows):
        found += _changed_fields(f"flows.{name}", a.flow_for(name), b.flow_for(name))
    return found + _changed_fields("policies", a.policies, b.policies)


def _changed_fields(path: str, a: msgspec.Struct, b: msgspec.Struct) -> list[str]:
    return [
        f"{path}.{field}: {_format_value(getattr(a, field))} -> {_format_value(getattr(b, field))}"
        for field in a.__struct_fields__
        if getattr(a, field) != getattr(b, field)
    ]


def _format_value(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, frozenset):
        return ", ".join(sorted(value))
    return str(value)

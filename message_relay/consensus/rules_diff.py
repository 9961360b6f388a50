"""The differences between two rule sets, for display. No I/O."""

from __future__ import annotations

import msgspec

from .rules import Rules
from .rules_intersection import names_with_wildcard


def diff_rules(a: Rules, b: Rules) -> list[str]:
    """Return the changes from a to b, one line for each field."""
    lines = []
    for name in names_with_wildcard(a.destinations, b.destinations):
        lines += _changed_fields(f"destinations.{name}", a.destination_for(name), b.destination_for(name))
    for name in names_with_wildcard(a.classes, b.classes):
        lines += _changed_fields(f"classes.{name}", a.class_for(name), b.class_for(name))
    for name in names_with_wildcard(a.flows, b.flows):
        lines += _changed_fields(f"flows.{name}", a.flow_for(name), b.flow_for(name))
    return lines + _changed_fields("policies", a.policies, b.policies)


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

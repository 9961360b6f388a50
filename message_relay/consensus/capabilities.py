"""Which fields of rules a build supports, as bits that each member announces.

A rule set that needs a bit that a member lacks is refused before it is agreed on, so that no relay has to
act on rules that it can't read.
"""

from __future__ import annotations

from .rules import Rules

DESTINATIONS = 1
CLASSES = 2
ZONES = 4
FLOWS = 8
SUPPORTED = DESTINATIONS | CLASSES | ZONES | FLOWS  # by this build
FIELD_NAMES = {DESTINATIONS: "destinations", CLASSES: "classes", ZONES: "policies.zones", FLOWS: "flows"}


def required_capabilities(rules: Rules) -> int:
    """Return the bits that a build needs to act on these rules."""
    bits = 0
    if rules.destinations:
        bits |= DESTINATIONS
    if rules.classes:
        bits |= CLASSES
    if rules.flows or rules.zones:
        bits |= FLOWS
    if rules.policies.zones is not None:
        bits |= ZONES
    return bits


def unsupported_fields(rules: Rules, capabilities: int) -> list[str]:
    """Return the fields of these rules that a build with these bits can't act on."""
    missing = required_capabilities(rules) & ~capabilities
    return [name for bit, name in FIELD_NAMES.items() if missing & bit]

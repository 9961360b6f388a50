"""What a build understands of rules, as bits that each member tells. A set that needs a bit which a
member lacks is refused before it is agreed on, so that no relay has to act on what it can't read."""

from __future__ import annotations

from .rules import Rules

DESTINATIONS, CLASSES, ZONES, FLOWS = 1, 2, 4, 8
SUPPORTED = DESTINATIONS | CLASSES | ZONES | FLOWS
FIELD_NAMES = {DESTINATIONS: "destinations", CLASSES: "classes", ZONES: "policies.zones", FLOWS: "flows"}


def required_capabilities(rules: Rules) -> int:
    bits = DESTINATIONS if rules.destinations else 0
    bits |= CLASSES if rules.classes else 0
    bits |= FLOWS if rules.flows or rules.zones else 0
    return bits | (ZONES if rules.policies.zones is not None else 0)


def unsupported_fields(rules: Rules, caps: int) -> list[str]:
    """Fields that a build with these bits can't follow."""
    missing = required_capabilities(rules) & ~caps
    return [word for bit, word in FIELD_NAMES.items() if missing & bit]

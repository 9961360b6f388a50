"""A set of rules, and what two sets have to do with each other. No I/O.

Rules narrow what the platform's settings and lists allow; they never widen it. Each field is ordered from
strict to loose, so that sets of rules are a meet-semilattice: `meet` is the loosest set that both allow, and
`within(a, b)` says that whatever a allows, b allows. The table:

| field | strict to loose | meet | without a word |
| --- | --- | --- | --- |
| destinations.D.closed | true, false | or | open |
| destinations.D.rate | 0 to any number: calls a second of all instances together | the smaller | as listed |
| destinations.D.slots | 0 to any number: calls out at once, of each instance | the smaller | no bound |
| destinations.D.endpoints | fewer, more of them | those in both | all that are listed |
| classes.C.closed | true, false | or | open |
| classes.C.effect | unsafe, keyed, safe: how it may be tried again | the stricter | as in the settings |
| classes.C.attempts | 1 to any number | the smaller | as in the settings |
| policies.zones | fewer, more: zones that may be called | those in both | all |
| flows.D.bound.A.B | 0 to any number: calls a second of all in zone A to B | the smaller | no bound |
| flows.D.spare.B | the same of those in one other zone that are cut off | the smaller | no bound |
| zones.A | any number to 0: how many instances of zone A share a bound | the greater | all there are |

`flows.D.share.A.B`, the share of A's instances that may use B just now, is advice and no rule: two
instances that take different advice contradict nothing. It is left out of `within`, and of two the smaller
one is followed. So is `policies.evacuated`, zones that an operator has told to be left.

A destination that is closed, or has no rate, slot or endpoint, allows nothing: all such are one, the least.
`*` stands for each destination or class that is not named. A name that one set has and the other has not is
compared with the other's `*`.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from functools import reduce
from typing import Annotated, Literal, TypeVar

import msgspec
from msgspec import Meta

ANY = "*"
MAX_RULES_BYTES = 4 << 20  # of one set: 1,000 destinations of 50 endpoints are half of it
MAX_DESTINATIONS = 5000  # destinations in one set, at most
RatePerSecond = Annotated[float, Meta(ge=0, le=1e9)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]
Effect = Literal["unsafe", "keyed", "safe"]
EFFECTS_BY_STRICTNESS: tuple[Effect, ...] = ("unsafe", "keyed", "safe")


class RulesError(ValueError):
    """The rules can't be used; each line names a field and what would be right."""


class Destination(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    rate: RatePerSecond | None = None
    slots: Count | None = None
    endpoints: frozenset[Name] | None = None
    closed: bool = False

    @property
    def allows_nothing(self) -> bool:
        return self.closed or self.rate == 0 or self.slots == 0 or self.endpoints == frozenset()


class Class(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    effect: Effect | None = None
    attempts: Annotated[int, Meta(ge=1, le=1000)] | None = None
    closed: bool = False


Rates = dict[Name, dict[Name, RatePerSecond]]  # from zone, to zone


class Flow(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """What goes from zone to zone: a plan of failover. Calls within a zone have no bound here."""

    bound: Rates = {}
    spare: dict[Name, RatePerSecond] = {}
    share: dict[Name, dict[Name, Annotated[float, Meta(ge=0, le=1)]]] = {}

    def rate_limit(self, source: str, target: str) -> float | None:
        """Calls a second of all instances in `source`; None: no bound."""
        if source == target:
            return None
        return _smaller_limit(self.bound.get(source, {}).get(target), self.bound.get(ANY, {}).get(target))

    def allowed_share(self, source: str, target: str) -> float:
        """The share of the instances in `source` that may use `target` now."""
        return self.share.get(source, {}).get(target, 1.0)


class Policies(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    zones: frozenset[Name] | None = None
    evacuated: frozenset[Name] = frozenset()  # by an operator's word: advice to the plans


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    destinations: dict[str, Destination] = {}
    classes: dict[Name, Class] = {}
    policies: Policies = Policies()
    flows: dict[str, Flow] = {}
    zones: dict[Name, Count] = {}

    def flow_for(self, name: str) -> Flow:
        return self.flows.get(name) or self.flows.get(ANY) or NO_FLOW_LIMITS

    def destination_for(self, name: str) -> Destination:
        return self.destinations.get(name) or self.destinations.get(ANY) or UNRESTRICTED

    def class_for(self, name: str) -> Class:
        return self.classes.get(name) or self.classes.get(ANY) or Class()


UNRESTRICTED = Destination()
NO_FLOW_LIMITS = Flow()
CLOSED = Destination(closed=True)
DENY_ALL = Rules(destinations={ANY: CLOSED})  # the least set of all

T = TypeVar("T")
N = TypeVar("N", int, float)


# -- the order of each field
# ----------------------------------------------------------------------------------


def _smaller_limit(a: N | None, b: N | None) -> N | None:
    return b if a is None else a if b is None else min(a, b)


def _common_names(a: frozenset[T] | None, b: frozenset[T] | None) -> frozenset[T] | None:
    return b if a is None else a if b is None else a & b


def _is_at_most(a: N | None, b: N | None) -> bool:
    return b is None or a is not None and a <= b


def _is_subset_or_unbounded(a: frozenset[T] | None, b: frozenset[T] | None) -> bool:
    return b is None or a is not None and a <= b


def _strictness(effect: Effect | None) -> int | None:
    return None if effect is None else EFFECTS_BY_STRICTNESS.index(effect)


def intersect_destinations(a: Destination, b: Destination) -> Destination:
    found = Destination(
        _smaller_limit(a.rate, b.rate),
        _smaller_limit(a.slots, b.slots),
        _common_names(a.endpoints, b.endpoints),
        a.closed or b.closed,
    )
    return CLOSED if found.allows_nothing else found


def intersect_classes(a: Class, b: Class) -> Class:
    if a.closed or b.closed:
        return Class(closed=True)
    strict = _smaller_limit(_strictness(a.effect), _strictness(b.effect))
    return Class(
        None if strict is None else EFFECTS_BY_STRICTNESS[strict], _smaller_limit(a.attempts, b.attempts)
    )


def _is_destination_subset(a: Destination, b: Destination) -> bool:
    if a.allows_nothing:
        return True
    return (
        not b.allows_nothing
        and _is_at_most(a.rate, b.rate)
        and _is_at_most(a.slots, b.slots)
        and _is_subset_or_unbounded(a.endpoints, b.endpoints)
    )


def _is_class_subset(a: Class, b: Class) -> bool:
    if a.closed:
        return True
    return (
        not b.closed
        and _is_at_most(_strictness(a.effect), _strictness(b.effect))
        and _is_at_most(a.attempts, b.attempts)
    )


def _smaller_rates(a: dict[str, float], b: dict[str, float]) -> dict[str, float]:
    return {name: min(row[name] for row in (a, b) if name in row) for name in sorted({*a, *b})}


def intersect_flows(a: Flow, b: Flow) -> Flow:
    def rows(one: dict[str, dict[str, float]], other: dict[str, dict[str, float]]) -> Rates:
        return {
            name: _smaller_rates(one.get(name, {}), other.get(name, {})) for name in sorted({*one, *other})
        }

    return _normalize_flow(
        Flow(rows(a.bound, b.bound), _smaller_rates(a.spare, b.spare), rows(a.share, b.share))
    )


def _normalize_flow(flow: Flow) -> Flow:
    """Without bounds that say nothing: within a zone, or beside one of `*` that is no looser; nor is advice
    to use all."""
    usual = flow.bound.get(ANY, {})
    bound = {
        source: {
            target: rate
            for target, rate in sorted(row.items())
            if source != target and (source == ANY or target not in usual or rate < usual[target])
        }
        for source, row in sorted(flow.bound.items())
    }
    share = {
        source: {target: part for target, part in sorted(row.items()) if part < 1.0}
        for source, row in sorted(flow.share.items())
    }
    return Flow(
        {source: row for source, row in bound.items() if row},
        dict(sorted(flow.spare.items())),
        {source: row for source, row in share.items() if row},
    )


def _is_flow_subset(a: Flow, b: Flow) -> bool:
    for source, row in b.bound.items():
        for target, rate in row.items():
            most = a.bound.get(ANY, {}).get(target) if source == ANY else a.rate_limit(source, target)
            if source != target and not _is_at_most(most, rate):
                return False
    return all(_is_at_most(a.spare.get(target), rate) for target, rate in b.spare.items())


def _names_with_wildcard(a: Iterable[str], b: Iterable[str]) -> list[str]:
    return sorted({ANY, *a, *b})


# -- of whole sets
# ---------------------------------------------------------------------------------------------


def intersect(a: Rules, b: Rules) -> Rules:
    """The loosest set that both allow: commutative, associative, idempotent."""
    destinations = {
        name: intersect_destinations(a.destination_for(name), b.destination_for(name))
        for name in _names_with_wildcard(a.destinations, b.destinations)
    }
    classes = {
        name: intersect_classes(a.class_for(name), b.class_for(name))
        for name in _names_with_wildcard(a.classes, b.classes)
    }
    flows = {
        name: intersect_flows(a.flow_for(name), b.flow_for(name))
        for name in _names_with_wildcard(a.flows, b.flows)
    }
    zones = {name: max(a.zones.get(name, 0), b.zones.get(name, 0)) for name in {*a.zones, *b.zones}}
    policies = Policies(
        _common_names(a.policies.zones, b.policies.zones), a.policies.evacuated | b.policies.evacuated
    )
    return normalize(Rules(destinations, classes, policies, flows, zones))


def is_subset(a: Rules, b: Rules) -> bool:
    """Whether b allows all that a allows."""
    if _denies_everything(a):
        return True
    return (
        all(
            _is_destination_subset(a.destination_for(n), b.destination_for(n))
            for n in _names_with_wildcard(a.destinations, b.destinations)
        )
        and all(
            _is_class_subset(a.class_for(n), b.class_for(n))
            for n in _names_with_wildcard(a.classes, b.classes)
        )
        and _is_subset_or_unbounded(a.policies.zones, b.policies.zones)
        and all(_is_flow_subset(a.flow_for(n), b.flow_for(n)) for n in _names_with_wildcard(a.flows, b.flows))
        and all(a.zones.get(name, 0) >= count for name, count in b.zones.items())
    )


def _denies_everything(rules: Rules) -> bool:
    """It allows nothing at all."""
    closed = all(
        rules.destination_for(name).allows_nothing for name in _names_with_wildcard(rules.destinations, ())
    )
    return (
        closed
        or all(rules.class_for(name).closed for name in _names_with_wildcard(rules.classes, ()))
        or (rules.policies.zones == frozenset())
    )


def intersect_all(sets: Iterable[Rules]) -> Rules:
    """Of no sets: nothing is known to be allowed."""
    found = list(sets)
    return reduce(intersect, found) if found else DENY_ALL


def normalize(rules: Rules) -> Rules:
    """One form for sets that allow the same: names that say what `*` says anyway are left out."""
    if _denies_everything(rules):
        return DENY_ALL
    usual = rules.destination_for(ANY)
    usual = CLOSED if usual.allows_nothing else usual
    destinations = {
        name: CLOSED if told.allows_nothing else told for name, told in sorted(rules.destinations.items())
    }
    destinations = {name: told for name, told in destinations.items() if name != ANY and told != usual}
    if usual != UNRESTRICTED:
        destinations[ANY] = usual
    any_class = rules.class_for(ANY)
    any_class = Class(closed=True) if any_class.closed else any_class
    classes = {
        name: Class(closed=True) if told.closed else told for name, told in sorted(rules.classes.items())
    }
    classes = {name: told for name, told in classes.items() if name != ANY and told != any_class}
    if any_class != Class():
        classes[ANY] = any_class
    still = _normalize_flow(rules.flow_for(ANY))
    flows = {name: _normalize_flow(told) for name, told in sorted(rules.flows.items())}
    flows = {name: told for name, told in flows.items() if name != ANY and told != still}
    if still != NO_FLOW_LIMITS:
        flows[ANY] = still
    zones = {name: count for name, count in sorted(rules.zones.items()) if count}
    return Rules(destinations, classes, rules.policies, flows, zones)


def standby_rules(rules: Rules, share: float) -> Rules:
    """What an instance that hears of no majority goes on with: each next version allows that, or waits until
    such an instance has stopped. Rates are held to a share, and what goes to other zones to what is spared
    there for it; all else is as it was."""
    destinations = {
        name: msgspec.structs.replace(told, rate=None if told.rate is None else told.rate * share)
        for name, told in rules.destinations.items()
    }
    flows = {name: _standby_flow(told, share) for name, told in rules.flows.items()}
    return msgspec.structs.replace(rules, destinations=destinations, flows=flows)


def _standby_flow(flow: Flow, share: float) -> Flow:
    bound = {
        source: {target: rate * share for target, rate in row.items()} for source, row in flow.bound.items()
    }
    bound[ANY] = _smaller_rates(bound.get(ANY, {}), dict(flow.spare))
    return msgspec.structs.replace(flow, bound=bound)


# -- as text
# ---------------------------------------------------------------------------------------------------

_ENCODER = msgspec.json.Encoder(order="deterministic")


def encode_rules(rules: Rules) -> bytes:
    """The same bytes for equal sets, on every build."""
    return _ENCODER.encode(normalize(rules))


def digest(rules: Rules) -> str:
    return hashlib.sha256(encode_rules(rules)).hexdigest()[:16]


def decode_rules(raw: bytes) -> Rules:
    """Raises RulesError with the field and what would be right; nothing of a faulty set is used."""
    if len(raw) > MAX_RULES_BYTES:
        raise RulesError(f"rules: {len(raw)} bytes: {MAX_RULES_BYTES} at most")
    try:
        rules: Rules = msgspec.json.decode(raw, type=Rules)
    except msgspec.MsgspecError as error:
        raise RulesError(f"rules: {error}") from error
    validate_rules(rules)
    return rules


def validate_rules(rules: Rules, classes: Iterable[str] = (), zones: Iterable[str] = ()) -> None:
    """Raises RulesError, a line for each fault; names of classes and zones are held against those known
    here."""
    faults = []
    if len(rules.destinations) > MAX_DESTINATIONS:
        faults.append(f"destinations: {len(rules.destinations)}: {MAX_DESTINATIONS} at most")
    faults += [
        f"destinations.{name}: a number or '*' is needed"
        for name in rules.destinations
        if name != ANY and not name.isdecimal()
    ]
    faults += [
        f"flows.{name}: a number or '*' is needed"
        for name in rules.flows
        if name != ANY and not name.isdecimal()
    ]
    known = set(classes)
    if known:
        faults += [
            f"classes.{name}: is none of {', '.join(sorted(known))}"
            for name in rules.classes
            if name != ANY and name not in known
        ]
    there = set(zones)
    if there and rules.policies.zones is not None:
        faults += [
            f"policies.zones: {name!r} is none of {', '.join(sorted(there))}"
            for name in sorted(rules.policies.zones - there)
        ]
    if there:
        faults += [
            f"flows.{name}: {zone!r} is none of {', '.join(sorted(there))}"
            for name, flow in rules.flows.items()
            for zone in sorted(_zones_of_flow(flow) - there - {ANY})
        ]
    if faults:
        raise RulesError("\n".join(faults))


def _zones_of_flow(flow: Flow) -> set[str]:
    rows = [*flow.bound.items(), *flow.share.items()]
    return {*flow.spare, *(name for source, row in rows for name in (source, *row))}


def diff_rules(a: Rules, b: Rules) -> list[str]:
    """What changes from a to b, a line for each field, for people."""
    found = []
    for name in _names_with_wildcard(a.destinations, b.destinations):
        found += _changed_fields(f"destinations.{name}", a.destination_for(name), b.destination_for(name))
    for name in _names_with_wildcard(a.classes, b.classes):
        found += _changed_fields(f"classes.{name}", a.class_for(name), b.class_for(name))
    for name in _names_with_wildcard(a.flows, b.flows):
        found += _changed_fields(f"flows.{name}", a.flow_for(name), b.flow_for(name))
    return found + _changed_fields("policies", a.policies, b.policies)


def _changed_fields(where: str, a: msgspec.Struct, b: msgspec.Struct) -> list[str]:
    return [
        f"{where}.{field}: {_format_value(getattr(a, field))} -> {_format_value(getattr(b, field))}"
        for field in a.__struct_fields__
        if getattr(a, field) != getattr(b, field)
    ]


def _format_value(value: object) -> str:
    return "-" if value is None else ", ".join(sorted(value)) if isinstance(value, frozenset) else str(value)

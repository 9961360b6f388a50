"""The model of a rule set: what operators and failover plans allow all instances to do.

Rules only narrow what the settings and the endpoint lists allow; they never widen it. Each field is ordered
from strict to loose, so that rule sets form a meet-semilattice: `rules_intersection.intersect` is the loosest
set that both operands allow, and `rules_intersection.is_subset(a, b)` holds if b allows whatever a allows.

| field | strict to loose | meet | if the field is absent |
| --- | --- | --- | --- |
| destinations.D.closed | true, false | or | open |
| destinations.D.rate | 0 to any number: calls a second of all instances together | the smaller | as listed |
| destinations.D.slots | 0 to any number: calls in flight of each instance | the smaller | no limit |
| destinations.D.endpoints | fewer, more of them | those in both | all that are listed |
| classes.C.closed | true, false | or | open |
| classes.C.effect | unsafe, keyed, safe: which messages may be retried | the stricter | as in the settings |
| classes.C.attempts | 1 to any number | the smaller | as in the settings |
| policies.zones | fewer, more: zones that may be called | those in both | all |
| flows.D.bound.A.B | 0 to any number: calls a second of all in zone A to B | the smaller | no limit |
| flows.D.spare.B | the same, of the isolated instances of one other zone | the smaller | no limit |
| zones.A | any number to 0: how many instances of zone A share a limit | the greater | all instances |

`flows.D.share.A.B`, the share of A's instances that may currently use B, is advice and not a rule: two
instances that follow different advice break no rule. `is_subset` ignores it, and `intersect` keeps the
smaller one. The same holds for `policies.evacuated`, the zones that an operator has evacuated.

A destination that is closed, or has no rate, slot or endpoint, allows nothing: all such rules are equal, and
they are the least. `*` applies to each destination or class that is not named. A name in only one set is
compared with the `*` of the other set.
"""

from __future__ import annotations

from typing import Annotated, Literal, TypeVar

import msgspec
from msgspec import Meta

ANY = "*"
MAX_RULES_BYTES = 4 << 20  # one rule set: 1,000 destinations of 50 endpoints need half of it
MAX_DESTINATIONS = 5000  # in one rule set
RatePerSecond = Annotated[float, Meta(ge=0, le=1e9)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]
Effect = Literal["unsafe", "keyed", "safe"]
EFFECTS_BY_STRICTNESS: tuple[Effect, ...] = ("unsafe", "keyed", "safe")
ZoneRates = dict[Name, dict[Name, RatePerSecond]]  # source zone -> target zone -> calls a second

Limit = TypeVar("Limit", int, float)


class RulesError(ValueError):
    """The rules can't be used; each line of the text names a field and its valid values."""


def smaller_limit(a: Limit | None, b: Limit | None) -> Limit | None:
    """Return the smaller of two limits; None means no limit."""
    if a is None:
        return b
    if b is None:
        return a
    return min(a, b)


class DestinationRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Limits on the calls to one destination."""

    rate: RatePerSecond | None = None
    slots: Count | None = None
    endpoints: frozenset[Name] | None = None
    closed: bool = False

    @property
    def allows_nothing(self) -> bool:
        """Whether no call to the destination is allowed."""
        return self.closed or self.rate == 0 or self.slots == 0 or self.endpoints == frozenset()


class ClassRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Limits on one message class: whether its messages are sent, and how they may be retried."""

    effect: Effect | None = None
    attempts: Annotated[int, Meta(ge=1, le=1000)] | None = None
    closed: bool = False


class FlowRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Limits on the calls from zone to zone: a failover plan. Calls within a zone are not limited."""

    bound: ZoneRates = {}
    spare: dict[Name, RatePerSecond] = {}
    share: dict[Name, dict[Name, Annotated[float, Meta(ge=0, le=1)]]] = {}

    def rate_limit(self, source: str, target: str) -> float | None:
        """Return the calls a second of all instances in `source` to `target`; None means no limit."""
        if source == target:
            return None
        return smaller_limit(self.bound.get(source, {}).get(target), self.bound.get(ANY, {}).get(target))

    def allowed_share(self, source: str, target: str) -> float:
        """Return the share of the instances in `source` that may currently use `target`."""
        return self.share.get(source, {}).get(target, 1.0)


class Policies(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Rules on zones that apply to all destinations."""

    zones: frozenset[Name] | None = None
    evacuated: frozenset[Name] = frozenset()  # by an operator's command: advice to the failover plans


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A rule set. Keys of `destinations` and `flows` are destination numbers or `*`."""

    destinations: dict[str, DestinationRule] = {}
    classes: dict[Name, ClassRule] = {}
    policies: Policies = Policies()
    flows: dict[str, FlowRule] = {}
    zones: dict[Name, Count] = {}

    def flow_for(self, name: str) -> FlowRule:
        """Return the flow rule that applies to a destination."""
        return self.flows.get(name) or self.flows.get(ANY) or NO_FLOW_LIMITS

    def destination_for(self, name: str) -> DestinationRule:
        """Return the rule that applies to a destination."""
        return self.destinations.get(name) or self.destinations.get(ANY) or UNRESTRICTED

    def class_for(self, name: str) -> ClassRule:
        """Return the rule that applies to a message class."""
        return self.classes.get(name) or self.classes.get(ANY) or ClassRule()


UNRESTRICTED = DestinationRule()
NO_FLOW_LIMITS = FlowRule()
CLOSED = DestinationRule(closed=True)
DENY_ALL = Rules(destinations={ANY: CLOSED})  # the least rule set

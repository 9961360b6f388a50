"""Enforcement of the active rules: which calls and messages they allow, and how endpoints are constrained.

No I/O. Whether a call may be made is decided right before its first byte, by the rules that are active at
that moment. The limits that the scheduler receives (rates, excluded endpoints) only avoid calls that would be
refused then.
"""

from __future__ import annotations

import zlib
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import replace
from typing import NamedTuple

import msgspec

from ..core.ports import CallContext
from ..decisions.model import Endpoint, Listing
from .active_rules import ActiveRules, LeaseTier
from .rules import ANY, Rules

MAX_DECISIONS = 2000  # latest calls that are retained for the `explain` command
# An instance may use this multiple of its equal share of a rate: the others do not use all of theirs.
RATE_SHARE_FACTOR = 1.25
MIN_BURST_CALLS = 2.0  # least capacity of a destination's token bucket
CROSS_ZONE_BURST_S = 0.1  # a bucket for another zone holds one call plus this many seconds of its rate
MAX_BUCKETS = 5000  # the number of destinations that a rule set may name
GOLDEN_RATIO_FRACTION = 0.6180339887498949

# (destination, target zone); the zone "" stands for the limit on the whole destination.
BucketKey = tuple[int, str]


class TokenBucket(NamedTuple):
    """Number of calls that may be made at once, as of a time in seconds."""

    tokens: float
    updated_at: float


class CallDecision(msgspec.Struct, frozen=True):
    """One call that was allowed or refused, as `explain` prints it."""

    message: str
    at_ms: float
    version: str
    why: str  # reason of the refusal; empty: the call was allowed


class RuleEnforcer:
    """Applies the active rules to the calls and messages of one instance. Times are in seconds."""

    def __init__(
        self,
        active_rules: Callable[[], ActiveRules],
        instances: int,
        unix_ms: Callable[[], float],
        instance_name: str = "",
        zone: str = "",
    ) -> None:
        self.active_rules = active_rules
        self.instances = instances
        self.unix_ms = unix_ms
        self.instance_name = instance_name
        self.zone = zone
        self.in_flight: Counter[int] = Counter()  # calls of this instance, by destination
        self.buckets: OrderedDict[BucketKey, TokenBucket] = OrderedDict()  # least recently used first
        self.decisions: deque[CallDecision] = deque(maxlen=MAX_DECISIONS)
        self.refusal_counts: Counter[str] = Counter()  # by reason
        self.may_use_zone: Callable[[str, str], bool] | None = None  # class name, zone
        self.checked_rules: ActiveRules | None = None  # the rules for which `may_deny_messages` was computed
        self.may_deny_messages = False

    # -- calls -----------------------------------------------------------------------------------------------

    def authorize(self, now: float, call: CallContext) -> str | None:
        """Return the label of the rules that allow this call now; None if it may not be made."""
        active = self.active_rules()
        reason = self._refusal_reason(active, call) or self._consume_tokens(now, call, active)
        self.decisions.append(CallDecision(call.message_id, self.unix_ms(), active.label, reason))
        if reason:
            self.refusal_counts[reason] += 1
            return None
        self.in_flight[call.destination] += 1
        return active.label

    def is_still_authorized(self, call: CallContext) -> bool:
        """Whether an allowed call may continue: checked before its last byte if that was delayed."""
        return not self._refusal_reason(self.active_rules(), call, has_started=True)

    def _refusal_reason(self, active: ActiveRules, call: CallContext, has_started: bool = False) -> str:
        rules = active.rules
        destination_rule = rules.destination_for(str(call.destination))
        class_rule = rules.class_for(call.class_name)
        if destination_rule.allows_nothing:
            return "the destination is closed"
        if class_rule.closed:
            return "the class is closed"
        if destination_rule.endpoints is not None and call.endpoint not in destination_rule.endpoints:
            return "the endpoint is not in the list"
        if rules.policies.zones is not None and call.zone not in rules.policies.zones:
            return "the zone may not be called"
        if self.may_use_zone is not None and not self.may_use_zone(call.class_name, call.zone):
            return "the class has to stay near"
        if class_rule.attempts is not None and call.previous_attempts >= class_rule.attempts:
            return "it has had all its attempts"
        if call.may_have_run:
            effect = class_rule.effect
            if effect == "unsafe" or (effect == "keyed" and not call.has_idempotency_key):
                return "an earlier attempt may have run"
        slots = destination_rule.slots
        if slots is not None and self.in_flight[call.destination] >= slots + has_started:
            return "all slots there are taken"
        return ""

    def _consume_tokens(self, now: float, call: CallContext, active: ActiveRules) -> str:
        """Take a token from each bucket of the call if all have one; otherwise return why it is refused."""
        rules = active.rules
        destination = str(call.destination)
        rate = rules.destination_for(destination).rate
        zone_rate = rules.flow_for(destination).rate_limit(self.zone, call.zone)
        available: list[tuple[BucketKey, float]] = []
        if rate is not None:
            key = (call.destination, "")
            own_rate = RATE_SHARE_FACTOR * rate / self.instances
            tokens = self._available_tokens(now, key, own_rate, max(MIN_BURST_CALLS, own_rate))
            if tokens < 1.0:
                return "its part of the rate is used up"
            available.append((key, tokens))
        if zone_rate is not None:
            # Exactly its share, even if others do not use theirs: the plan allots this capacity only once.
            key = (call.destination, call.zone)
            own_rate = zone_rate / self._instances_sharing(call.destination, call.zone, rules)
            tokens = self._available_tokens(now, key, own_rate, 1.0 + own_rate * CROSS_ZONE_BURST_S)
            if tokens < 1.0:
                return f"its part of what goes to {call.zone} is used up"
            available.append((key, tokens))
        for key, tokens in available:
            self.buckets[key] = TokenBucket(tokens - 1.0, now)
            self.buckets.move_to_end(key)
        while len(self.buckets) > MAX_BUCKETS:
            self.buckets.popitem(last=False)
        return ""

    def _available_tokens(self, now: float, key: BucketKey, rate: float, capacity: float) -> float:
        """Return the tokens in a bucket: a new bucket is full, but one for another zone starts with 1."""
        bucket = self.buckets.get(key)
        if bucket is None:
            return min(capacity, 1.0 if key[1] else capacity)
        return min(capacity, bucket.tokens + rate * max(0.0, now - bucket.updated_at))

    def release(self, destination: int) -> None:
        """Free the slot of an allowed call that has ended."""
        self.in_flight[destination] -= 1
        if self.in_flight[destination] <= 0:
            del self.in_flight[destination]

    # -- messages --------------------------------------------------------------------------------------------

    def denial_reason(self, destination: int, class_name: str) -> str:
        """Return why no new message is accepted; empty if it may be.

        A relay without a lease accepts messages: it may well have a lease before their deadlines.
        """
        active = self.active_rules()
        if active is not self.checked_rules:
            self.checked_rules = active
            self.may_deny_messages = _may_deny_messages(active)
        if not self.may_deny_messages:
            return ""
        if active.rules.destination_for(str(destination)).allows_nothing:
            return f"destination {destination} is closed by version {active.label} of the rules"
        if active.rules.class_for(class_name).closed:
            return f"class {class_name} is closed by version {active.label} of the rules"
        return ""

    # -- endpoints -------------------------------------------------------------------------------------------

    def constrained_endpoint(self, name: str, zone: str, entry: Endpoint) -> Endpoint:
        """Return an endpoint as passed to the scheduler: draining if excluded, with a limited rate."""
        rules = self.active_rules().rules
        if entry.listing is Listing.READY and self._is_excluded(name, zone, entry.destination, rules):
            return replace(entry, listing=Listing.DRAINING)
        limit = rules.destination_for(str(entry.destination)).rate
        if limit is not None and limit > 0:
            rate = min(limit, entry.rate) if entry.rate > 0 else limit
            return replace(entry, rate=rate)
        return entry

    def _is_excluded(self, endpoint: str, zone: str, destination: int, rules: Rules) -> bool:
        rule = rules.destination_for(str(destination))
        if rule.allows_nothing:
            return True
        if rule.endpoints is not None and endpoint not in rule.endpoints:
            return True
        if rules.policies.zones is not None and zone not in rules.policies.zones:
            return True
        return self._must_avoid_zone(destination, zone, rules)

    def _must_avoid_zone(self, destination: int, zone: str, rules: Rules) -> bool:
        """Whether a failover plan makes this instance use other zones.

        The same instances return first at each step of a recovery ramp, so that each step only adds to them.
        """
        flow = rules.flow_for(str(destination))
        if flow.rate_limit(self.zone, zone) == 0:
            return True
        share = flow.allowed_share(self.zone, zone)
        if share < 1.0 and hash_position(destination, zone, self.instance_name) >= share:
            return True
        limits = self._zone_limits(destination, rules)
        return zone in limits and zone != self._preferred_zone(limits)

    def _zone_limits(self, destination: int, rules: Rules) -> dict[str, float]:
        """Return the rate limits of the other zones that this zone may use up to a limit."""
        flow = rules.flow_for(str(destination))
        names = sorted({*flow.bound.get(self.zone, {}), *flow.bound.get(ANY, {})})
        limits = {name: flow.rate_limit(self.zone, name) for name in names}
        return {
            name: rate for name, rate in limits.items() if rate and flow.allowed_share(self.zone, name) > 0
        }

    def _preferred_zone(self, limits: dict[str, float]) -> str:
        """Return the one of these zones that this instance uses, in proportion to their limits.

        Guards against all instances choosing the next zone in the list and leaving the capacity of the other
        zones unused. The choice depends on the instance's number, so that instances are spread evenly.
        """
        position = golden_ratio_position(self.instance_name) * sum(limits.values())
        for name, rate in limits.items():
            position -= rate
            if position < 0:
                return name
        return next(reversed(limits), "")

    def _instances_sharing(self, destination: int, zone: str, rules: Rules) -> float:
        """Return how many instances of this zone use the given zone.

        This is its share of the limits, plus one by which the spread may be off.
        """
        count = max(1, rules.zones.get(self.zone, self.instances))
        limits = self._zone_limits(destination, rules)
        if len(limits) < 2 or zone not in limits:
            return count
        return min(count, count * limits[zone] / sum(limits.values()) + 1.0)


def golden_ratio_position(name: str) -> float:
    """Return a position from 0 to 1, spread evenly over instances whose numbers follow each other.

    Multiples of the golden ratio leave no gap twice as wide as another, even if only every third number is
    used.
    """
    number = int(name[1:]) if name[1:].isdecimal() else zlib.crc32(name.encode())
    return number * GOLDEN_RATIO_FRACTION % 1.0


def hash_position(destination: int, zone: str, name: str) -> float:
    """Return a position from 0 to 1: an instance uses a zone while the allowed share is above it."""
    return zlib.crc32(f"{destination} {zone} {name}".encode()) / 2**32


def _may_deny_messages(active: ActiveRules) -> bool:
    """Whether any message could be denied; computed once for each rule set, not for each message."""
    if not active.versions or active.tier is LeaseTier.FLOOR:
        return False
    rules = active.rules
    return any(rule.allows_nothing for rule in rules.destinations.values()) or any(
        rule.closed for rule in rules.classes.values()
    )

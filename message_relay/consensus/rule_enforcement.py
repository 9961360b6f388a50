"""The rules at their place: which calls and which messages they allow, and what the decisions are told of
them.

No I/O. What is asked right before a call's first byte is answered by what may be acted on at that moment;
what the decisions hear (rates, endpoints that are out) only spares calls that would be refused there.
"""

from __future__ import annotations

import zlib
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import replace

import msgspec

from ..core.ports import CallContext
from ..decisions.model import Endpoint, Listing
from .lease_holder import ActiveRules, LeaseTier
from .rules import ANY, Rules

MAX_DECISIONS = 2000  # the latest calls are remembered, for `explain`
RATE_SHARE_FACTOR = (
    1.25  # of its equal part of a rate an instance may use: the others do not use all of theirs
)
MIN_BURST_CALLS = 2.0  # calls saved up at the least: a clump
CROSS_ZONE_BURST_S = (
    0.1  # of its pace may be saved up by what goes to another zone, beside the one call it needs
)
MAX_BUCKETS = 5000  # as many destinations as a set of rules names


BucketKey = tuple[int, str]  # of a destination; with a zone: of what goes there from this one


class CallDecision(msgspec.Struct, frozen=True):
    message: str
    at_ms: float
    version: str
    why: str  # empty: it was allowed


class RuleEnforcer:
    def __init__(
        self,
        active_rules: Callable[[], ActiveRules],
        instances: int,
        unix_ms: Callable[[], float],
        instance_name: str = "",
        zone: str = "",
    ) -> None:
        self.active_rules, self.instances, self.unix_ms = active_rules, instances, unix_ms
        self.instance_name, self.zone = instance_name, zone
        self.in_flight: Counter[int] = Counter()  # calls of this instance, by destination
        self.buckets: OrderedDict[BucketKey, tuple[float, float]] = OrderedDict()  # calls left, and when
        self.decisions: deque[CallDecision] = deque(maxlen=MAX_DECISIONS)
        self.refusal_counts: Counter[str] = Counter()  # refusals by reason
        self.may_use_zone: Callable[[str, str], bool] | None = None  # whether a class may go to a zone
        self.checked_rules: ActiveRules | None = None  # whose answer `barring` is
        self.may_deny_messages = False

    def authorize(self, now: float, call: CallContext) -> str | None:
        """The label of what it acts by, if this call may be made now (`now` in s); None if not."""
        acting = self.active_rules()
        why = self._refusal_reason(acting, call) or self._consume_tokens(now, call, acting)
        self.decisions.append(CallDecision(call.message_id, self.unix_ms(), acting.label, why))
        if why:
            self.refusal_counts[why] += 1
            return None
        self.in_flight[call.destination] += 1
        return acting.label

    def is_still_authorized(self, call: CallContext) -> bool:
        """Whether a call that was allowed may go on: asked before its last byte, if that was held back."""
        return not self._refusal_reason(self.active_rules(), call, begun=True)

    def _refusal_reason(self, acting: ActiveRules, call: CallContext, begun: bool = False) -> str:
        rules = acting.rules
        here, class_ = rules.destination_for(str(call.destination)), rules.class_for(call.class_name)
        if here.allows_nothing:
            return "the destination is closed"
        if class_.closed:
            return "the class is closed"
        if here.endpoints is not None and call.endpoint not in here.endpoints:
            return "the endpoint is not in the list"
        if rules.policies.zones is not None and call.zone not in rules.policies.zones:
            return "the zone may not be called"
        if self.may_use_zone is not None and not self.may_use_zone(call.class_name, call.zone):
            return "the class has to stay near"
        if class_.attempts is not None and call.previous_attempts >= class_.attempts:
            return "it has had all its attempts"
        if call.may_have_run and (
            class_.effect == "unsafe" or class_.effect == "keyed" and not call.has_idempotency_key
        ):
            return "an earlier attempt may have run"
        if here.slots is not None and self.in_flight[call.destination] >= here.slots + begun:
            return "all slots there are taken"
        return ""

    def _consume_tokens(self, now: float, call: CallContext, acting: ActiveRules) -> str:
        """Takes a call from each of its buckets, if there is one in all."""
        rules = acting.rules
        rate = rules.destination_for(str(call.destination)).rate
        most = rules.flow_for(str(call.destination)).rate_limit(self.zone, call.zone)
        found: list[tuple[BucketKey, float, float]] = []
        if rate is not None:
            pace = RATE_SHARE_FACTOR * rate / self.instances
            left = self._available_tokens(now, (call.destination, ""), pace, max(MIN_BURST_CALLS, pace))
            if left < 1.0:
                return "its part of the rate is used up"
            found.append(((call.destination, ""), left, now))
        if most is not None:
            # No more than its part, though others may not use theirs: the room there was given away once.
            pace = most / self._instances_sharing(call.destination, call.zone, rules)
            left = self._available_tokens(
                now, (call.destination, call.zone), pace, 1.0 + pace * CROSS_ZONE_BURST_S
            )
            if left < 1.0:
                return f"its part of what goes to {call.zone} is used up"
            found.append(((call.destination, call.zone), left, now))
        for key, left, at in found:
            self.buckets[key] = left - 1.0, at
            self.buckets.move_to_end(key)
        while len(self.buckets) > MAX_BUCKETS:
            self.buckets.popitem(last=False)
        return ""

    def _available_tokens(self, now: float, key: BucketKey, pace: float, most: float) -> float:
        left, at = self.buckets.get(key, (most if not key[1] else 1.0, now))
        return min(most, left + pace * max(0.0, now - at))

    def release(self, destination: int) -> None:
        """A call that was allowed is over."""
        self.in_flight[destination] -= 1
        if self.in_flight[destination] <= 0:
            del self.in_flight[destination]

    def denial_reason(self, destination: int, class_: str) -> str:
        """Why no new message is taken for there; empty: it may be. A relay that only waits for word takes it:
        its time may well last until then."""
        acting = self.active_rules()
        if acting is not self.checked_rules:
            self.checked_rules, self.may_deny_messages = acting, _may_deny_messages(acting)
        if not self.may_deny_messages:
            return ""
        if acting.rules.destination_for(str(destination)).allows_nothing:
            return f"destination {destination} is closed by version {acting.label} of the rules"
        if acting.rules.class_for(class_).closed:
            return f"class {class_} is closed by version {acting.label} of the rules"
        return ""

    def constrained_endpoint(self, name: str, zone: str, entry: Endpoint) -> Endpoint:
        """An endpoint as the decisions are to see it."""
        rules = self.active_rules().rules
        here = rules.destination_for(str(entry.destination))
        out = here.allows_nothing or here.endpoints is not None and name not in here.endpoints
        out = out or rules.policies.zones is not None and zone not in rules.policies.zones
        out = out or self._must_avoid_zone(entry.destination, zone, rules)
        if out and entry.listing is Listing.READY:
            return replace(entry, listing=Listing.DRAINING)
        if here.rate is not None and here.rate > 0:
            rate = min(here.rate, entry.rate) if entry.rate > 0 else here.rate
            return replace(entry, rate=rate)
        return entry

    def _must_avoid_zone(self, destination: int, zone: str, rules: Rules) -> bool:
        """Whether a plan has this instance use other zones. The same instances come back first at each step,
        so that a ramp only ever adds to them."""
        flow = rules.flow_for(str(destination))
        if flow.rate_limit(self.zone, zone) == 0:
            return True
        part = flow.allowed_share(self.zone, zone)
        if part < 1.0 and hash_position(destination, zone, self.instance_name) >= part:
            return True
        rooms = self._zone_limits(destination, rules)
        return zone in rooms and zone != self._preferred_zone(rooms)

    def _zone_limits(self, destination: int, rules: Rules) -> dict[str, float]:
        """Other zones with a bound for this one, and what it is."""
        flow = rules.flow_for(str(destination))
        names = sorted({*flow.bound.get(self.zone, {}), *flow.bound.get(ANY, {})})
        found = {name: flow.rate_limit(self.zone, name) for name in names}
        return {
            name: rate for name, rate in found.items() if rate and flow.allowed_share(self.zone, name) > 0
        }

    def _preferred_zone(self, rooms: dict[str, float]) -> str:
        """The one of them that this instance uses: left to themselves all would choose the same one, the next
        in the list, and leave the others' room unused. By its number, so that they are spread evenly."""
        at = golden_ratio_position(self.instance_name) * sum(rooms.values())
        for name, rate in rooms.items():
            at -= rate
            if at < 0:
                return name
        return next(reversed(rooms), "")

    def _instances_sharing(self, destination: int, zone: str, rules: Rules) -> float:
        """How many instances of this zone use that one: as many as its part of the room, and one that the
        spread may be off by."""
        count = max(1, rules.zones.get(self.zone, self.instances))
        rooms = self._zone_limits(destination, rules)
        if len(rooms) < 2 or zone not in rooms:
            return count
        return min(count, count * rooms[zone] / sum(rooms.values()) + 1.0)


def golden_ratio_position(name: str) -> float:
    """From 0 to 1, evenly for instances whose numbers follow each other, or each third one: the golden
    ratio's multiples leave no gap twice as wide as another."""
    number = int(name[1:]) if name[1:].isdecimal() else zlib.crc32(name.encode())
    return number * 0.6180339887498949 % 1.0


def hash_position(destination: int, zone: str, name: str) -> float:
    """From 0 to 1: an instance uses a zone once the share of those that may is above that."""
    return zlib.crc32(f"{destination} {zone} {name}".encode()) / 2**32


def _may_deny_messages(acting: ActiveRules) -> bool:
    """Whether any message could be barred by it: asked once, and not for each message."""
    if not acting.versions or acting.tier is LeaseTier.FLOOR:
        return False
    rules = acting.rules
    return any(each.allows_nothing for each in rules.destinations.values()) or any(
        each.closed for each in rules.classes.values()
    )

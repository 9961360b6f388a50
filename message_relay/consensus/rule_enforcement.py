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

TOLD = 2000  # the latest calls are remembered, for `explain`
ABOVE = 1.25  # of its equal part of a rate an instance may use: the others do not use all of theirs
SAVED = 2.0  # calls saved up at the least: a clump
CLUMP_S = 0.1  # of its pace may be saved up by what goes to another zone, beside the one call it needs
BUCKETS = 5000  # as many destinations as a set of rules names


Key = tuple[int, str]  # of a destination; with a zone: of what goes there from this one


class Told(msgspec.Struct, frozen=True):
    message: str
    at_ms: float
    version: str
    why: str  # empty: it was allowed


class RuleEnforcer:
    def __init__(
        self,
        acting: Callable[[], ActiveRules],
        instances: int,
        unix_ms: Callable[[], float],
        name: str = "",
        zone: str = "",
    ) -> None:
        self.acting, self.instances, self.unix_ms = acting, instances, unix_ms
        self.name, self.zone = name, zone
        self.out: Counter[int] = Counter()  # calls of this instance, by destination
        self.buckets: OrderedDict[Key, tuple[float, float]] = OrderedDict()  # calls left, and when
        self.told: deque[Told] = deque(maxlen=TOLD)
        self.counts: Counter[str] = Counter()  # refusals by reason
        self.stays: Callable[[str, str], bool] | None = None  # whether a class may go to a zone
        self.seen: ActiveRules | None = None  # whose answer `barring` is
        self.barring = False

    def authorize(self, now: float, call: CallContext) -> str | None:
        """The label of what it acts by, if this call may be made now (`now` in s); None if not."""
        acting = self.acting()
        why = self._against(acting, call) or self._paced(now, call, acting)
        self.told.append(Told(call.message, self.unix_ms(), acting.label, why))
        if why:
            self.counts[why] += 1
            return None
        self.out[call.destination] += 1
        return acting.label

    def is_still_authorized(self, call: CallContext) -> bool:
        """Whether a call that was allowed may go on: asked before its last byte, if that was held back."""
        return not self._against(self.acting(), call, begun=True)

    def _against(self, acting: ActiveRules, call: CallContext, begun: bool = False) -> str:
        rules = acting.rules
        here, class_ = rules.destination(str(call.destination)), rules.class_(call.class_name)
        if here.nothing:
            return "the destination is closed"
        if class_.closed:
            return "the class is closed"
        if here.endpoints is not None and call.endpoint not in here.endpoints:
            return "the endpoint is not in the list"
        if rules.policies.zones is not None and call.zone not in rules.policies.zones:
            return "the zone may not be called"
        if self.stays is not None and not self.stays(call.class_name, call.zone):
            return "the class has to stay near"
        if class_.attempts is not None and call.previous_attempts >= class_.attempts:
            return "it has had all its attempts"
        if call.may_have_run and (class_.effect == "unsafe" or class_.effect == "keyed" and not call.has_key):
            return "an earlier attempt may have run"
        if here.slots is not None and self.out[call.destination] >= here.slots + begun:
            return "all slots there are taken"
        return ""

    def _paced(self, now: float, call: CallContext, acting: ActiveRules) -> str:
        """Takes a call from each of its buckets, if there is one in all."""
        rules = acting.rules
        rate = rules.destination(str(call.destination)).rate
        most = rules.flow(str(call.destination)).most(self.zone, call.zone)
        found: list[tuple[Key, float, float]] = []
        if rate is not None:
            pace = ABOVE * rate / self.instances
            left = self._left(now, (call.destination, ""), pace, max(SAVED, pace))
            if left < 1.0:
                return "its part of the rate is used up"
            found.append(((call.destination, ""), left, now))
        if most is not None:
            # No more than its part, though others may not use theirs: the room there was given away once.
            pace = most / self._sharers(call.destination, call.zone, rules)
            left = self._left(now, (call.destination, call.zone), pace, 1.0 + pace * CLUMP_S)
            if left < 1.0:
                return f"its part of what goes to {call.zone} is used up"
            found.append(((call.destination, call.zone), left, now))
        for key, left, at in found:
            self.buckets[key] = left - 1.0, at
            self.buckets.move_to_end(key)
        while len(self.buckets) > BUCKETS:
            self.buckets.popitem(last=False)
        return ""

    def _left(self, now: float, key: Key, pace: float, most: float) -> float:
        left, at = self.buckets.get(key, (most if not key[1] else 1.0, now))
        return min(most, left + pace * max(0.0, now - at))

    def release(self, destination: int) -> None:
        """A call that was allowed is over."""
        self.out[destination] -= 1
        if self.out[destination] <= 0:
            del self.out[destination]

    def denial_reason(self, destination: int, class_: str) -> str:
        """Why no new message is taken for there; empty: it may be. A relay that only waits for word takes it:
        its time may well last until then."""
        acting = self.acting()
        if acting is not self.seen:
            self.seen, self.barring = acting, _bars(acting)
        if not self.barring:
            return ""
        if acting.rules.destination(str(destination)).nothing:
            return f"destination {destination} is closed by version {acting.label} of the rules"
        if acting.rules.class_(class_).closed:
            return f"class {class_} is closed by version {acting.label} of the rules"
        return ""

    def constrained_endpoint(self, name: str, zone: str, entry: Endpoint) -> Endpoint:
        """An endpoint as the decisions are to see it."""
        rules = self.acting().rules
        here = rules.destination(str(entry.destination))
        out = here.nothing or here.endpoints is not None and name not in here.endpoints
        out = out or rules.policies.zones is not None and zone not in rules.policies.zones
        out = out or self._elsewhere(entry.destination, zone, rules)
        if out and entry.listing is Listing.READY:
            return replace(entry, listing=Listing.DRAINING)
        if here.rate is not None and here.rate > 0:
            rate = min(here.rate, entry.rate) if entry.rate > 0 else here.rate
            return replace(entry, rate=rate)
        return entry

    def _elsewhere(self, destination: int, zone: str, rules: Rules) -> bool:
        """Whether a plan has this instance use other zones. The same instances come back first at each step,
        so that a ramp only ever adds to them."""
        flow = rules.flow(str(destination))
        if flow.most(self.zone, zone) == 0:
            return True
        part = flow.part(self.zone, zone)
        if part < 1.0 and turn(destination, zone, self.name) >= part:
            return True
        rooms = self._rooms(destination, rules)
        return zone in rooms and zone != self._chosen(rooms)

    def _rooms(self, destination: int, rules: Rules) -> dict[str, float]:
        """Other zones with a bound for this one, and what it is."""
        flow = rules.flow(str(destination))
        names = sorted({*flow.bound.get(self.zone, {}), *flow.bound.get(ANY, {})})
        found = {name: flow.most(self.zone, name) for name in names}
        return {name: rate for name, rate in found.items() if rate and flow.part(self.zone, name) > 0}

    def _chosen(self, rooms: dict[str, float]) -> str:
        """The one of them that this instance uses: left to themselves all would choose the same one, the next
        in the list, and leave the others' room unused. By its number, so that they are spread evenly."""
        at = spread(self.name) * sum(rooms.values())
        for name, rate in rooms.items():
            at -= rate
            if at < 0:
                return name
        return next(reversed(rooms), "")

    def _sharers(self, destination: int, zone: str, rules: Rules) -> float:
        """How many instances of this zone use that one: as many as its part of the room, and one that the
        spread may be off by."""
        count = max(1, rules.zones.get(self.zone, self.instances))
        rooms = self._rooms(destination, rules)
        if len(rooms) < 2 or zone not in rooms:
            return count
        return min(count, count * rooms[zone] / sum(rooms.values()) + 1.0)


def spread(name: str) -> float:
    """From 0 to 1, evenly for instances whose numbers follow each other, or each third one: the golden
    ratio's multiples leave no gap twice as wide as another."""
    number = int(name[1:]) if name[1:].isdecimal() else zlib.crc32(name.encode())
    return number * 0.6180339887498949 % 1.0


def turn(destination: int, zone: str, name: str) -> float:
    """From 0 to 1: an instance uses a zone once the share of those that may is above that."""
    return zlib.crc32(f"{destination} {zone} {name}".encode()) / 2**32


def _bars(acting: ActiveRules) -> bool:
    """Whether any message could be barred by it: asked once, and not for each message."""
    if not acting.versions or acting.tier is LeaseTier.FLOOR:
        return False
    rules = acting.rules
    return any(each.nothing for each in rules.destinations.values()) or any(
        each.closed for each in rules.classes.values()
    )

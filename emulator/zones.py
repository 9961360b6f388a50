"""A fleet in zones and regions, in virtual time: partners with a place in each zone, ways between zones that
are cut, relays that tell each other what they saw with delay and loss, and plans that reach each relay at a
moment of its own. The real evidence, verdicts, planner and gate (message_relay/failover,
consensus/rule_enforcement.py) stand
around the real decision module; only the agreement itself is not played here but taken by its measured
times (docs/design/agreed-rules.md, and emulator/consensus/world.py, which plays that alone).

Three ways to live through the same faults: `alone`, as without plans; `plans`; and `static`, a switch that
moves all of a lost zone's traffic at once after a while, and back at once.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Literal

import msgspec

from message_relay.consensus.active_rules import ActiveRules, LeaseTier
from message_relay.consensus.rule_enforcement import RuleEnforcer
from message_relay.consensus.rules import Rules
from message_relay.consensus.rules_intersection import normalize
from message_relay.core.ports import CallContext
from message_relay.decisions.events import EndpointList
from message_relay.decisions.model import Endpoint, Listing, ListKind, Outcome
from message_relay.failover.call_counter import CallCounter
from message_relay.failover.controller import FailoverController
from message_relay.failover.observations import ObservationReport, Observations
from message_relay.failover.settings import FailoverSettings

from .draws import Draws
from .experiment import Experiment, settings_of
from .measures import Life
from .partner import Partner
from .spec import Fault, Trouble
from .world import Act, Kept, Node, Try, World

Mode = Literal["alone", "plans", "static"]
JITTER = 0.05  # of a window: relays tell theirs in moments of their own


@dataclass(frozen=True)
class Outage:
    """Of some of a zone's partners: each of them by chance, alike in all modes."""

    zone: str
    begin_s: float
    end_s: float
    fault: Fault = Fault.DOWN
    size: float = 1.0
    share: float = 1.0


@dataclass(frozen=True)
class Cut:
    """Nothing gets from that zone's relays to that zone's partners."""

    source: str
    target: str
    begin_s: float
    end_s: float


@dataclass(frozen=True)
class Place:
    part: FailoverSettings
    mode: Mode = "plans"
    outages: tuple[Outage, ...] = ()
    cuts: tuple[Cut, ...] = ()
    loss: float = 0.02  # of reports
    tell_ms: tuple[float, float] = (1.0, 50.0)  # a report's way to who decides
    agree_ms: tuple[float, float] = (200.0, 1800.0)  # from a proposal until a relay acts on it, as measured
    switch_s: float = 3.0  # the static switch: someone has noticed, and turned it
    dies_s: tuple[float, ...] = ()  # who decides dies; the next one goes on from the version
    evacuated: tuple[tuple[float, str], ...] = ()  # when an operator has a zone left; `-ZONE`: used again


@dataclass
class Moves:
    """What zones make of a play, beside the record's figures."""

    versions: list[tuple[float, Rules]] = field(default_factory=list)  # with when they were proposed
    outside: list[str] = field(default_factory=list)  # calls that left the region they have to stay in
    by: Counter[tuple[str, str]] = field(default_factory=Counter)  # calls from each zone to each

    @property
    def near_share(self) -> float:
        """Of all calls, those that stayed in their zone."""
        return sum(n for (source, target), n in self.by.items() if source == target) / max(1, self.by.total())


class Zoned(World):
    """Each partner of the experiment is one destination, with a place in each zone that takes its rate."""

    def __init__(self, it: Experiment, seed: int, place: Place) -> None:
        super().__init__(it, it.all_variants()[0], seed)
        self.place, self.zones, self.moves = place, sorted(place.part.zones), Moves()
        self.luck = Draws(seed, "zones", *self.salt)
        outages = Draws(seed, "outages", *self.salt)
        self.partners = [
            self._in_zone(n, zone, outages) for n in range(len(self.it.partners)) for zone in self.zones
        ]
        self.counting = [CallCounter(self._name(n), 1, self._zone(n)) for n in range(self.it.fleet.relays)]
        self.rules = [(0, Rules()) for _ in self.counting]
        self.gates = [
            RuleEnforcer(self._acting(n), len(self.counting), lambda: self.now, self._name(n), self._zone(n))
            for n in range(len(self.counting))
        ]
        for gate in self.gates:
            gate.may_use_zone = self._stays(gate.zone)
        self.latest, self.left = Rules(), set[str]()
        self.evidence = Observations(place.part.window_s)
        self.decider = self._decider()

    @property
    def count(self) -> int:
        return len(self.zones)

    def _in_zone(self, n: int, zone: str, chance: Draws) -> Partner:
        model = self.it.partners[n].model()
        troubles = tuple(
            Trouble(each.fault, each.begin_s * 1000, each.end_s * 1000, each.size)
            for each in self.place.outages
            if each.zone == zone and chance.random() < each.share
        )
        model = replace(model, troubles=model.troubles + troubles)
        return Partner(model, Draws(self.seed, "partner", n, zone, *self.salt))

    def _name(self, n: int) -> str:
        return f"n{n}"

    def _zone(self, n: int) -> str:
        return self.zones[n % len(self.zones)]

    def _acting(self, n: int) -> Callable[[], ActiveRules]:
        def acting() -> ActiveRules:
            number, rules = self.rules[n]
            return ActiveRules(rules, (number,), LeaseTier.LEASE)

        return acting

    def _stays(self, zone: str) -> Callable[[str, str], bool]:
        return lambda class_, target: self.place.part.is_allowed(class_, zone, target)

    def _decider(self) -> FailoverController:
        return FailoverController(self.place.part, self.evidence, None, lambda: 0.0)

    # -- what is another way here ----------------------------------------------------------------------------

    def _settings(self, node: Node) -> bytes:
        told = settings_of(self.it)
        told["classes"] = [each | {"dedup-scope": "zone"} for each in told["classes"]]
        zones = {"az": node.number % self.count, "zones": self.zones, "prices": {"cross-zone": 0.05}}
        return msgspec.json.encode(told | zones)

    def _list(self) -> None:
        ident = 0
        for n, partner in enumerate(self.it.partners):
            rate = 0.0 if partner.rate is None else partner.rate.per_s * self.count
            for zone in range(self.count):
                ident += 1  # one endpoint each: the place's number
                self.listing[ident] = Endpoint(ident, n + 1, Listing.READY, zone=zone, rate=rate)
        if self.place.mode == "plans":
            for n in range(len(self.counting)):
                self.at(self._window() * self.luck.random(), self._tells(n))
            self.at(self._window(), self._decides)
            for when, word in self.place.evacuated:
                self.at(when * 1000, self._evacuates(word))
            for when in self.place.dies_s:
                self.at(when * 1000, lambda now: setattr(self, "decider", self._decider()))
        if self.place.mode == "static":
            for each in self.place.outages:
                self.at((each.begin_s + self.place.switch_s) * 1000, self._switch(each.zone, True))
                self.at((each.end_s + self.place.switch_s) * 1000, self._switch(each.zone, False))

    def _place(self, endpoint: int) -> int:
        return endpoint

    def _seen(self, node: Node, entry: Endpoint) -> Endpoint:
        zone = self.zones[entry.zone]
        if zone in self.left:
            return replace(entry, listing=Listing.DRAINING)
        return self.gates[node.number].constrained_endpoint(str(entry.id), zone, entry)

    def _permits(self, node: Node, kept: Kept, endpoint: int, now: float) -> bool:
        gate, entry = self.gates[node.number], self.listing[endpoint]
        class_ = self.it.classes[kept.life.class_]
        call = CallContext(
            str(kept.life.number),
            entry.destination,
            str(endpoint),
            self.zones[entry.zone],
            class_.name,
            kept.tries,
            kept.risk is not None,
            class_.effect == "by_key",
        )
        if gate.authorize(now / 1000, call) is None:
            return False
        self.moves.by[gate.zone, call.zone] += 1
        if not self.place.part.is_allowed(class_.name, gate.zone, call.zone):
            self.moves.outside.append(call.message_id)
        return True

    def _cut(self, node: Node, endpoint: int, now: float) -> bool:
        source, target = self._zone(node.number), self.zones[self.listing[endpoint].zone]
        return any(
            (each.source, each.target) == (source, target) and each.begin_s * 1000 <= now < each.end_s * 1000
            for each in self.place.cuts
        )

    def _took(self, node: Node, life: Life) -> None:
        name = self.it.classes[life.class_].name
        self.counting[node.number].record_submission(life.destination, self.place.part.group_name(name))

    def _outcome(self, this: Try, outcome: Outcome, took_ms: float, wait_ms: float, now: float) -> None:
        entry, number = self.listing[this.endpoint], this.node.number
        if outcome is not Outcome.NOT_SENT or this.begun is not None:  # the gate had let it out
            self.gates[number].release(entry.destination)
        self.counting[number].record_outcome(entry.destination, self.zones[entry.zone], outcome, took_ms)

    # -- evidence, and who decides ---------------------------------------------------------------------------

    def _window(self) -> float:
        return self.place.part.window_s * 1000

    def _between(self, span: tuple[float, float]) -> float:
        return span[0] + (span[1] - span[0]) * self.luck.random()

    def _tells(self, n: int) -> Act:
        def act(now: float) -> None:
            load = len(self.nodes[n].held) / self.it.fleet.hold
            for report in self.counting[n].close_window(self.place.part.window_s, load):
                if self.luck.random() >= self.place.loss:
                    self.at(now + self._between(self.place.tell_ms), self._heard(report, now))
            self.at(now + self._window() * (1 - JITTER + 2 * JITTER * self.luck.random()), act)

        return act

    def _heard(self, report: ObservationReport, sent: float) -> Act:
        """The evidence reckons with the window's end."""

        def act(now: float) -> None:
            self.evidence.add(now / 1000, msgspec.structs.replace(report, age_s=(now - sent) / 1000))

        return act

    def _decides(self, now: float) -> None:
        rooms: dict[int, dict[str, float]] = {}
        for entry in self.listing.values():
            rooms.setdefault(entry.destination, {})[self.zones[entry.zone]] = entry.rate / self.count
        relays: dict[str, list[str]] = {}
        for node in self.nodes:
            if node.alive:
                relays.setdefault(self._zone(node.number), []).append(self._name(node.number))
        problems = self.decider.update(now / 1000, self.latest, rooms)
        found = self.decider.compute_plans(problems)
        rules = self.decider.next_rules(now / 1000, self.latest, rooms, relays, problems, found)
        if rules is not None:
            self._agreed(normalize(rules), now)
        self.at(now + self._window(), self._decides)

    def _agreed(self, rules: Rules, now: float) -> None:
        self.latest = rules
        self.moves.versions.append((now, rules))
        number = len(self.moves.versions)
        for node in self.nodes:
            self.at(now + self._between(self.place.agree_ms), self._acts(node, number, rules))

    def _acts(self, node: Node, number: int, rules: Rules) -> Act:
        def act(now: float) -> None:
            if self.rules[node.number][0] < number:  # a later one may have come first
                self.rules[node.number] = number, rules
                self._retell(node, now)

        return act

    def _retell(self, node: Node, now: float) -> None:
        if node.alive:
            entries = tuple(self._seen(node, entry) for entry in self.listing.values())
            node.events.append(EndpointList(ListKind.CHANGES, entries))
            self._soon(node, now)

    def _evacuates(self, word: str) -> Act:
        def act(now: float) -> None:
            out, zone = self.latest.policies.evacuated, word.removeprefix("-")
            out = out - {zone} if word.startswith("-") else out | {zone}
            policies = msgspec.structs.replace(self.latest.policies, evacuated=out)
            self._agreed(normalize(msgspec.structs.replace(self.latest, policies=policies)), now)

        return act

    def _switch(self, zone: str, out: bool) -> Act:
        def act(now: float) -> None:
            (self.left.add if out else self.left.discard)(zone)
            for node in self.nodes:
                self._retell(node, now)

        return act

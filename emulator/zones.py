"""Simulates a fleet in zones and regions in virtual time: partners with endpoints in each zone, network
partitions between zones, observation reports with delay and loss, and plans that reach each relay at a
different time.

The real observations, zone health, planner and rule enforcement (message_relay/failover,
consensus/rule_enforcement.py) run around the real decision module. Only consensus is not simulated here; its
measured durations are used instead (docs/design/agreed-rules.md; emulator/consensus/world.py simulates
consensus alone).

Three modes of handling the same faults: `alone`, without plans; `plans`; and `static`, a switch that moves
all traffic of a lost zone at once after a delay, and back at once."""

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

from .draws import BufferedRandom
from .experiment import Experiment, settings_of
from .measures import MessageHistory
from .partner import Partner
from .spec import Fault, Trouble
from .world import Act, Attempt, JournalEntry, Node, World

Mode = Literal["alone", "plans", "static"]
JITTER = 0.05  # part of the window by which the times of reports differ between relays


@dataclass(frozen=True)
class Outage:
    """A fault of some partners in a zone. Each is affected with probability `share`, the same ones in all
    modes."""

    zone: str
    start_s: float
    end_s: float
    fault: Fault = Fault.DOWN
    size: float = 1.0
    share: float = 1.0


@dataclass(frozen=True)
class Cut:
    """A network partition: relays in `source` cannot reach partners in `target`."""

    source: str
    target: str
    start_s: float
    end_s: float


@dataclass(frozen=True)
class Place:
    """The zones of a simulation, with their faults, and how the fleet handles them."""

    part: FailoverSettings
    mode: Mode = "plans"
    outages: tuple[Outage, ...] = ()
    cuts: tuple[Cut, ...] = ()
    loss: float = 0.02  # probability that a report is lost
    report_delay_ms: tuple[float, float] = (1.0, 50.0)  # delay of a report to the failover controller
    agree_ms: tuple[float, float] = (200.0, 1800.0)  # from a proposal until a relay applies it, as measured
    switch_s: float = 3.0  # delay of the static switch, until someone has noticed the fault and turned it
    dies_s: tuple[float, ...] = ()  # when the controller dies; the next one continues from the latest version
    evacuated: tuple[tuple[float, str], ...] = ()  # when an operator evacuates a zone; `-ZONE` ends it


@dataclass
class ZoneResults:
    """Results of a run that concern zones, besides the figures of the record."""

    versions: list[tuple[float, Rules]] = field(default_factory=list)  # (time of the proposal, rules)
    outside: list[str] = field(default_factory=list)  # calls that left the region their class must stay in
    by: Counter[tuple[str, str]] = field(default_factory=Counter)  # calls by (source zone, target zone)

    @property
    def near_share(self) -> float:
        """The share of all calls that stayed in their zone."""
        return sum(n for (source, target), n in self.by.items() if source == target) / max(1, self.by.total())


class Zoned(World):
    """A fleet in zones. Each partner of the experiment is one destination, with one endpoint in each zone
    that accepts the whole rate."""

    def __init__(self, experiment: Experiment, seed: int, place: Place) -> None:
        super().__init__(experiment, experiment.all_variants()[0], seed)
        self.place, self.zones, self.moves = place, sorted(place.part.zones), ZoneResults()
        self.rng = BufferedRandom(seed, "zones", *self.salt)
        outages = BufferedRandom(seed, "outages", *self.salt)
        self.partners = [
            self._partner_in_zone(n, zone, outages)
            for n in range(len(self.experiment.partners))
            for zone in self.zones
        ]
        self.call_counters = [
            CallCounter(self._name(n), 1, self._zone(n)) for n in range(self.experiment.fleet.relays)
        ]
        self.rules = [(0, Rules()) for _ in self.call_counters]
        self.enforcers = [
            RuleEnforcer(
                self._active_rules_of(n),
                len(self.call_counters),
                lambda: self.now,
                self._name(n),
                self._zone(n),
            )
            for n in range(len(self.call_counters))
        ]
        for enforcer in self.enforcers:
            enforcer.may_use_zone = self._zone_filter(enforcer.zone)
        self.latest_rules, self.drained_zones = Rules(), set[str]()
        self.observations = Observations(place.part.window_s)
        self.decider = self._decider()

    @property
    def count(self) -> int:
        return len(self.zones)

    def _partner_in_zone(self, n: int, zone: str, rng: BufferedRandom) -> Partner:
        model = self.experiment.partners[n].model()
        troubles = tuple(
            Trouble(each.fault, each.start_s * 1000, each.end_s * 1000, each.size)
            for each in self.place.outages
            if each.zone == zone and rng.random() < each.share
        )
        model = replace(model, troubles=model.troubles + troubles)
        return Partner(model, BufferedRandom(self.seed, "partner", n, zone, *self.salt))

    def _name(self, n: int) -> str:
        return f"n{n}"

    def _zone(self, n: int) -> str:
        return self.zones[n % len(self.zones)]

    def _active_rules_of(self, n: int) -> Callable[[], ActiveRules]:
        def active_rules() -> ActiveRules:
            number, rules = self.rules[n]
            return ActiveRules(rules, (number,), LeaseTier.LEASE)

        return active_rules

    def _zone_filter(self, zone: str) -> Callable[[str, str], bool]:
        return lambda class_, target: self.place.part.is_allowed(class_, zone, target)

    def _decider(self) -> FailoverController:
        return FailoverController(self.place.part, self.observations, None, lambda: 0.0)

    # -- hooks of World --------------------------------------------------------------------------------------

    def _settings(self, node: Node) -> bytes:
        settings = settings_of(self.experiment)
        settings["classes"] = [each | {"dedup-scope": "zone"} for each in settings["classes"]]
        zones = {"az": node.number % self.count, "zones": self.zones, "prices": {"cross-zone": 0.05}}
        return msgspec.json.encode(settings | zones)

    def _create_listing(self) -> None:
        ident = 0
        for n, partner in enumerate(self.experiment.partners):
            rate = 0.0 if partner.rate is None else partner.rate.per_s * self.count
            for zone in range(self.count):
                ident += 1  # one endpoint in each zone; its id is the number of its partner
                self.listing[ident] = Endpoint(ident, n + 1, Listing.READY, zone=zone, rate=rate)
        if self.place.mode == "plans":
            for n in range(len(self.call_counters)):
                self.at(self._window() * self.rng.random(), self._report(n))
            self.at(self._window(), self._run_controller)
            for when, order in self.place.evacuated:
                self.at(when * 1000, self._evacuate(order))
            for when in self.place.dies_s:
                self.at(when * 1000, lambda now: setattr(self, "decider", self._decider()))
        if self.place.mode == "static":
            for each in self.place.outages:
                self.at((each.start_s + self.place.switch_s) * 1000, self._switch(each.zone, True))
                self.at((each.end_s + self.place.switch_s) * 1000, self._switch(each.zone, False))

    def _partner_number(self, endpoint: int) -> int:
        return endpoint

    def _visible_endpoint(self, node: Node, entry: Endpoint) -> Endpoint:
        zone = self.zones[entry.zone]
        if zone in self.drained_zones:
            return replace(entry, listing=Listing.DRAINING)
        return self.enforcers[node.number].constrained_endpoint(str(entry.id), zone, entry)

    def _authorizes(self, node: Node, journal_entry: JournalEntry, endpoint: int, now: float) -> bool:
        enforcer, entry = self.enforcers[node.number], self.listing[endpoint]
        class_ = self.experiment.classes[journal_entry.history.class_]
        call = CallContext(
            str(journal_entry.history.number),
            entry.destination,
            str(endpoint),
            self.zones[entry.zone],
            class_.name,
            journal_entry.attempts,
            journal_entry.possible_effect is not None,
            class_.effect == "by_key",
        )
        if enforcer.authorize(now / 1000, call) is None:
            return False
        self.moves.by[enforcer.zone, call.zone] += 1
        if not self.place.part.is_allowed(class_.name, enforcer.zone, call.zone):
            self.moves.outside.append(call.message_id)
        return True

    def _is_path_cut(self, node: Node, endpoint: int, now: float) -> bool:
        source, target = self._zone(node.number), self.zones[self.listing[endpoint].zone]
        return any(
            (each.source, each.target) == (source, target) and each.start_s * 1000 <= now < each.end_s * 1000
            for each in self.place.cuts
        )

    def _on_accepted(self, node: Node, history: MessageHistory) -> None:
        name = self.experiment.classes[history.class_].name
        self.call_counters[node.number].record_submission(
            history.destination, self.place.part.group_name(name)
        )

    def _on_outcome(
        self, this: Attempt, outcome: Outcome, took_ms: float, wait_ms: float, now: float
    ) -> None:
        entry, number = self.listing[this.endpoint], this.node.number
        if (
            outcome is not Outcome.NOT_SENT or this.first_byte_at is not None
        ):  # the enforcer had authorized it
            self.enforcers[number].release(entry.destination)
        self.call_counters[number].record_outcome(entry.destination, self.zones[entry.zone], outcome, took_ms)

    # -- observations and plans ------------------------------------------------------------------------------

    def _window(self) -> float:
        return self.place.part.window_s * 1000

    def _uniform(self, span: tuple[float, float]) -> float:
        return span[0] + (span[1] - span[0]) * self.rng.random()

    def _report(self, n: int) -> Act:
        def act(now: float) -> None:
            load = len(self.nodes[n].pending) / self.experiment.fleet.hold
            for report in self.call_counters[n].close_window(self.place.part.window_s, load):
                if self.rng.random() >= self.place.loss:
                    self.at(
                        now + self._uniform(self.place.report_delay_ms), self._receive_report(report, now)
                    )
            self.at(now + self._window() * (1 - JITTER + 2 * JITTER * self.rng.random()), act)

        return act

    def _receive_report(self, report: ObservationReport, sent: float) -> Act:
        """Adds the report with its age, since observations count from the end of the window."""

        def act(now: float) -> None:
            self.observations.add(now / 1000, msgspec.structs.replace(report, age_s=(now - sent) / 1000))

        return act

    def _run_controller(self, now: float) -> None:
        capacities: dict[int, dict[str, float]] = {}
        for entry in self.listing.values():
            capacities.setdefault(entry.destination, {})[self.zones[entry.zone]] = entry.rate / self.count
        relays: dict[str, list[str]] = {}
        for node in self.nodes:
            if node.alive:
                relays.setdefault(self._zone(node.number), []).append(self._name(node.number))
        problems = self.decider.update(now / 1000, self.latest_rules, capacities)
        plans = self.decider.compute_plans(problems)
        rules = self.decider.next_rules(now / 1000, self.latest_rules, capacities, relays, problems, plans)
        if rules is not None:
            self._adopt_rules(normalize(rules), now)
        self.at(now + self._window(), self._run_controller)

    def _adopt_rules(self, rules: Rules, now: float) -> None:
        self.latest_rules = rules
        self.moves.versions.append((now, rules))
        number = len(self.moves.versions)
        for node in self.nodes:
            self.at(now + self._uniform(self.place.agree_ms), self._apply_rules(node, number, rules))

    def _apply_rules(self, node: Node, number: int, rules: Rules) -> Act:
        def act(now: float) -> None:
            if self.rules[node.number][0] < number:  # a later version may have arrived first
                self.rules[node.number] = number, rules
                self._resend_listing(node, now)

        return act

    def _resend_listing(self, node: Node, now: float) -> None:
        if node.alive:
            entries = tuple(self._visible_endpoint(node, entry) for entry in self.listing.values())
            node.events.append(EndpointList(ListKind.CHANGES, entries))
            self._schedule_turn(node, now)

    def _evacuate(self, order: str) -> Act:
        def act(now: float) -> None:
            evacuated, zone = self.latest_rules.policies.evacuated, order.removeprefix("-")
            evacuated = evacuated - {zone} if order.startswith("-") else evacuated | {zone}
            policies = msgspec.structs.replace(self.latest_rules.policies, evacuated=evacuated)
            self._adopt_rules(normalize(msgspec.structs.replace(self.latest_rules, policies=policies)), now)

        return act

    def _switch(self, zone: str, out: bool) -> Act:
        def act(now: float) -> None:
            (self.drained_zones.add if out else self.drained_zones.discard)(zone)
            for node in self.nodes:
                self._resend_listing(node, now)

        return act

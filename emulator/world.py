"""Simulates a fleet in virtual time: the real decision module for each relay, with clients, partners,
endpoint discovery and restarts.

A discrete-event loop over a heap. Around each decision module it models what a real relay does (core/):
turns one tick apart, one timer, a limit on pending messages, a journal that survives restarts, the check
right before the first byte of a call, and an orderly shutdown. Not modelled: processor time, the disk, and
TCP beyond refused, silent and broken connections. docs/design/model.md compares the results with real
processes."""

from __future__ import annotations

import heapq
import math
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import accumulate, count
from pathlib import Path

import msgspec

from message_relay.decisions.actions import Fail, Reject, SetTimer, StartAttempt
from message_relay.decisions.events import (
    AttemptCompleted,
    EndpointList,
    Event,
    Message,
    RestoredDestination,
    ShutdownScheduled,
    TimerFired,
)
from message_relay.decisions.model import Endpoint, Fleet, Listing, ListKind, Outcome

from .draws import BufferedRandom, CallRandom, Common, stream
from .engines import Engine, LocalEngine, PeerEngine
from .experiment import Experiment, Restart, Variant, settings_of
from .measures import MessageHistory, Record
from .partner import Call, Partner, Reply
from .spec import Fault
from .traffic import Job, arrivals

RETRY_S = 1.0  # Retry-After when too many messages are pending, as in core/message_lifecycle.py
ACCEPT_END_MS, CALLS_END_MS, EXIT_MS = 500.0, 3000.0, 3400.0  # of an orderly shutdown, as in core/relay.py
WITHHOLD_MS = 25.0  # a call that must not run twice withholds its last byte (http/endpoint_client.py)
DOWNTIME_MS = 600.0  # from the end of a process to the start of the next one
STARTING_MS = 340.0  # from its start until it accepts messages (measured: docs/design/fleet.md)
GRACE_MS = 2000.0  # the simulation continues this long after the last deadline
Act = Callable[[float], None]
OUTCOMES = {
    Reply.OK: Outcome.OK,
    Reply.ERROR: Outcome.ERROR,
    Reply.FULL: Outcome.FULL,
    Reply.RESET: Outcome.RESET,
}


@dataclass(slots=True)
class JournalEntry:
    """A message in a relay's journal: accepted, without a final outcome."""

    history: MessageHistory
    accepted_at: float
    deadline: float
    attempts: int = 0
    possible_effect: tuple[float, int] | None = None  # (time, endpoint) of the first attempt that has one
    in_flight: tuple[float, int] | None = None  # (time, endpoint) of the attempt in flight


@dataclass(slots=True)
class Attempt:
    """One attempt of a relay to deliver a message."""

    node: Node
    epoch: int  # the process epoch of the relay
    ident: int
    attempt: int
    endpoint: int
    give_up_at: float
    first_byte_at: float | None = None  # time of the first byte; None: none was sent


@dataclass(slots=True)
class Node:
    """One relay: its current process, and the state that survives a restart."""

    number: int
    engine: Engine
    journal: dict[int, JournalEntry] = field(default_factory=dict)  # by message number
    pending: dict[int, int] = field(default_factory=dict)  # id in the decision module -> message number
    latest: int = 0  # latest id given to the decision module; ids are not reused
    attempts: dict[int, int] = field(default_factory=dict)  # id in the decision module -> attempts so far
    learned: list[RestoredDestination] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)
    epoch: int = 0  # counts the processes; what belongs to an earlier one is ignored
    last_turn: float = -math.inf
    is_turn_scheduled: bool = False
    timer: int = 0
    up: bool = False  # accepts connections
    alive: bool = False


class World:
    """One simulated run of a variant with a seed."""

    def __init__(self, experiment: Experiment, variant: Variant, seed: int) -> None:
        self.experiment, self.seed, self.variant = experiment.with_variant(variant), seed, variant
        self.common = Common(experiment.common)
        self.salt = (variant.name,) if self.common is Common.NONE else ()
        self.queue: list[tuple[float, int, Act]] = []
        self.numbers = count()
        self.now = 0.0
        self.record = Record(self.experiment)
        self.settings = msgspec.json.encode(settings_of(self.experiment))
        self.partners = [self._partner(n) for n in range(len(self.experiment.partners))]
        self.listing: dict[int, Endpoint] = {}
        self.engines: list[Engine] = []
        self.nodes: list[Node] = []
        self.up: list[Node] = []
        self.cumulative_shares: list[float] = []
        self.clients = BufferedRandom(seed, "clients", *self.salt)
        self.traffic_shares = [
            1 / (n + 1) ** self.experiment.fleet.skew for n in range(self.experiment.fleet.relays)
        ]
        self._assign_engines(experiment.variants[0])

    def _partner(self, n: int) -> Partner:
        draws: BufferedRandom | CallRandom = (
            CallRandom(self.seed, f"partner {n}")
            if self.common is Common.CALLS
            else BufferedRandom(self.seed, "partner", n, *self.salt)
        )
        return Partner(self.experiment.partners[n].model(), draws)

    def _assign_engines(self, first: Variant) -> None:
        """Assigns this variant's engine to its share of the relays, and the first variant's to the others."""
        own, fleet = self._engine(self.variant), self.experiment.fleet
        others = own
        if self.variant.mixed < 1 and first is not self.variant:
            others = self._engine(first)
        own_count = round(self.variant.mixed * fleet.relays)
        for n in range(fleet.relays):
            self.nodes.append(Node(n, own if n < own_count else others))

    def _engine(self, variant: Variant) -> Engine:
        engine: Engine = (
            PeerEngine(Path(variant.version), variant.constants) if variant.version else LocalEngine()
        )
        self.engines.append(engine)
        return engine

    # -- the loop ----------------------------------------------------------------------------------------

    def at(self, when: float, act: Act) -> None:
        heapq.heappush(self.queue, (when, next(self.numbers), act))

    def run(self) -> Record:
        try:
            self._set_up()
            longest = max(each.deadline_ms for each in self.experiment.classes)
            end = self.experiment.traffic.seconds * 1000 + longest + GRACE_MS
            while self.queue and self.queue[0][0] <= end:
                self.now, _, act = heapq.heappop(self.queue)
                act(self.now)
            self.record.finish(self.partners, self.nodes)
            return self.record
        finally:
            for engine in self.engines:
                engine.close()

    # Hooks for subclasses.

    def _settings(self, node: Node) -> bytes:
        return self.settings

    def _partner_number(self, endpoint: int) -> int:
        """The number of the partner behind an endpoint, from 1."""
        return self.listing[endpoint].destination

    def _visible_endpoint(self, node: Node, entry: Endpoint) -> Endpoint:
        """The listing of an endpoint that this relay's decision module gets."""
        return entry

    def _authorizes(self, node: Node, journal_entry: JournalEntry, endpoint: int, now: float) -> bool:
        """Whether the call may start: checked right before the first byte, after the decision module."""
        return True

    def _is_path_cut(self, node: Node, endpoint: int, now: float) -> bool:
        """Whether the network path from this relay to the endpoint is cut."""
        return False

    def _on_accepted(self, node: Node, history: MessageHistory) -> None:
        """Called after the relay accepted a message."""

    def _on_outcome(
        self, this: Attempt, outcome: Outcome, took_ms: float, wait_ms: float, now: float
    ) -> None:
        """Called with the outcome of an attempt, also of one that sent no byte."""

    def _set_up(self) -> None:
        self._create_listing()
        for node in self.nodes:
            self._start(node, 0.0)
        for restart in self.experiment.fleet.restarts:
            self.at(restart.at_s * 1000, self._restart(restart))
        self.jobs = arrivals(self.experiment, self.seed)
        self._next_job()

    def _create_listing(self) -> None:
        ident = 0
        for n, partner in enumerate(self.experiment.partners):
            rate = partner.listed_rate
            if rate is None:
                rate = 0.0 if partner.rate is None else partner.rate.per_s
            for k in range(partner.endpoints):
                ident += 1
                self.listing[ident] = Endpoint(ident, n + 1, Listing.READY, rate=rate)
                for change in partner.changes:
                    if change.endpoint == k + 1:
                        self.at(change.at_s * 1000, self._change(ident, Listing(change.listing)))

    def _next_job(self) -> None:
        """Schedules the next arrival only, so that a trace of a million messages is never in memory as a
        whole."""
        job = next(self.jobs, None)
        if job is not None:
            self.at(job.at, lambda now: self._on_arrival(job, now))

    def _on_arrival(self, job: Job, now: float) -> None:
        self._next_job()
        history = self.record.submitted(job)
        self._submit(history, now, job.relay)

    # -- clients -----------------------------------------------------------------------------------------

    def _submit(self, history: MessageHistory, now: float, position: float) -> None:
        history.tries += 1
        if not self.up:
            self._schedule_resubmission(history, now, 0.0)
            return
        at = bisect_right(self.cumulative_shares, position * self.cumulative_shares[-1])
        node = self.up[min(at, len(self.up) - 1)]
        net, epoch = self.experiment.fleet.net_ms, node.epoch
        self.at(now + net, lambda now: self._receive(node, epoch, history, now))

    def _set_accepting(self, node: Node, up: bool) -> None:
        """Marks a relay as accepting connections or not, and recomputes the cumulative traffic shares of
        those that do."""
        node.up = up
        self.up = [each for each in self.nodes if each.up]
        self.cumulative_shares = list(accumulate(self.traffic_shares[each.number] for each in self.up))

    def _receive(self, node: Node, epoch: int, history: MessageHistory, now: float) -> None:
        if not (node.up and node.epoch == epoch):  # the process ended in the meantime
            self._schedule_resubmission(history, now, 0.0)
            return
        if len(node.pending) >= self.experiment.fleet.hold:
            self.record.refused += 1
            self._schedule_resubmission(history, now, RETRY_S * 1000)
            return
        deadline = min(history.deadline, history.resubmit_until)
        left = deadline - now
        if left <= 0:
            return
        message = Message(0, history.destination, history.class_, left, is_repeat=history.tries > 1)
        retry_ms = node.engine.turned_away(node.number, now, message, len(node.pending))
        if retry_ms is not None:
            self.record.refused += 1
            self._schedule_resubmission(history, now, retry_ms)
            return
        node.journal[history.number] = JournalEntry(history, now, deadline)
        self.record.accepted(history, now)
        self._on_accepted(node, history)
        if history.acceptances > 1 and history.holder is not None:
            self.record.add_violation(f"message {history.number} is held twice")
        history.holder, history.final_outcomes = node.number, 0
        self._add_pending(node, history.number, left, is_resubmission=history.tries > 1)
        self._schedule_turn(node, now)

    def _add_pending(
        self, node: Node, message: int, left: float, is_resubmission: bool = False, **resumed: object
    ) -> None:
        node.latest += 1
        number, history = node.latest, node.journal[message].history
        node.pending[number] = message
        node.events.append(
            Message(number, history.destination, history.class_, left, is_repeat=is_resubmission, **resumed)  # type: ignore[arg-type]
        )

    def _schedule_resubmission(self, history: MessageHistory, now: float, retry_after_ms: float) -> None:
        """Schedules the resubmission of a rejected or returned message, if the client has tries and time
        left."""
        clients = self.experiment.clients
        pause = clients.pause_ms * 2 ** (history.tries - 1) * (0.5 + self.clients.random())
        if self.clients.random() < clients.heed:
            pause = max(pause, retry_after_ms)
        position = self.clients.random()
        if history.tries < clients.tries and now + pause < min(history.deadline, history.resubmit_until):
            self.at(now + pause, lambda now: self._submit(history, now, position))

    # -- a relay -----------------------------------------------------------------------------------------

    def _start(self, node: Node, now: float) -> None:
        fleet = self.experiment.fleet
        node.epoch += 1
        node.alive, node.is_turn_scheduled, node.last_turn, node.timer = (
            True,
            False,
            -math.inf,
            node.timer + 1,
        )
        node.pending, node.attempts, node.events = {}, {}, []
        share = Fleet(node.number, fleet.relays, 0.0) if fleet.share_rates else None
        seed = int(stream(self.seed, "relay", node.number, node.epoch, *self.salt).integers(1 << 30))
        node.engine.start(node.number, self._settings(node), seed, share)
        listing = self.listing.values()
        entries = tuple(
            self._visible_endpoint(node, each) for each in listing if each.listing is not Listing.REMOVED
        )
        node.events.append(EndpointList(ListKind.COMPLETE, entries))
        node.events += node.learned
        for message, journal_entry in node.journal.items():
            possible_effect = journal_entry.possible_effect
            endpoint = None
            if possible_effect is not None:
                endpoint = Endpoint(possible_effect[1], journal_entry.history.destination, Listing.READY)
            self._add_pending(
                node,
                message,
                journal_entry.deadline - now,
                age_ms=now - journal_entry.accepted_at,
                attempts=journal_entry.attempts,
                uncertain_for_ms=None if possible_effect is None else now - possible_effect[0],
                uncertain_endpoint=endpoint,
            )
        self._turn(node, now)
        self._set_accepting(node, True)

    def _schedule_turn(self, node: Node, now: float) -> None:
        if not node.is_turn_scheduled:
            node.is_turn_scheduled, epoch = True, node.epoch
            self.at(
                max(now, node.last_turn + self.experiment.fleet.tick_ms),
                lambda now: self._turn(node, now) if node.epoch == epoch else None,
            )

    def _turn(self, node: Node, now: float) -> None:
        node.is_turn_scheduled, node.last_turn = False, now
        events, node.events = node.events, []
        self.record.turns += 1
        for act in node.engine.handle(node.number, now, events):
            match act:
                case StartAttempt(ident, endpoint, give_up_at):
                    self._send(node, ident, endpoint, give_up_at, now)
                case Reject(ident, retry_after_ms):
                    self._finish_message(node, ident, "returned", retry_after_ms, now)
                case Fail(ident):
                    self._finish_message(node, ident, "failed", 0.0, now)
                case SetTimer(delay):
                    self._set_timer(node, now + delay)
                case _:
                    pass  # probes and cancels are disabled here, and listings are sent anyway

    def _set_timer(self, node: Node, when: float) -> None:
        node.timer += 1
        epoch, timer = node.epoch, node.timer

        def fires(now: float) -> None:
            if node.epoch == epoch and node.timer == timer and node.alive:
                node.events.append(TimerFired(0))
                self._schedule_turn(node, now)

        self.at(when, fires)

    def _finish_message(self, node: Node, ident: int, state: str, after_ms: float, now: float) -> None:
        message = node.pending.pop(ident, None)
        if message is None:
            return
        journal_entry = node.journal.pop(message)
        history = journal_entry.history
        history.final_outcomes += 1
        history.holder = None
        if state == "failed":
            history.failed = True
            return
        if (
            journal_entry.possible_effect is not None
            and self.experiment.classes[history.class_].effect == "once"
        ):
            self.record.add_violation(f"message {message} was returned, and may have run")
        self.record.returned += 1
        self._schedule_resubmission(history, now, after_ms)

    # -- a call ------------------------------------------------------------------------------------------

    def _send(self, node: Node, ident: int, endpoint: int, give_up_at: float, now: float) -> None:
        attempt = node.attempts.get(ident, 0)
        node.attempts[ident] = attempt + 1
        this = Attempt(node, node.epoch, ident, attempt, endpoint, give_up_at)
        message = node.pending.get(ident)
        if (
            message is None
            or not node.engine.may_write(node.number, now, ident)
            or not self._authorizes(node, node.journal[message], endpoint, now)
        ):
            self.at(now, lambda now: self._complete_attempt(this, Outcome.NOT_SENT, 0.0, now))
            return
        journal_entry, net = node.journal[message], self.experiment.fleet.net_ms
        if journal_entry.in_flight is not None:
            self.record.add_violation(f"message {message} has two attempts out")
        partner = self.partners[self._partner_number(endpoint) - 1]
        silent = partner.trouble(now + net, Fault.SILENT) is not None or self._is_path_cut(
            node, endpoint, now
        )
        if silent or partner.trouble(now + net, Fault.DOWN):
            self.record.tries_while_out += 1
            ends_at = (
                min(give_up_at, now + self.experiment.fleet.connect_timeout_ms) if silent else now + 2 * net
            )
            self.at(ends_at, lambda now: self._complete_attempt(this, Outcome.CONNECT_FAILED, 0.0, now))
            return
        journal_entry.in_flight, this.first_byte_at = (now, endpoint), now
        journal_entry.attempts += 1
        self._check_drain(node, endpoint, now)
        if self.experiment.classes[journal_entry.history.class_].effect == "once":
            self.at(now + WITHHOLD_MS, lambda now: self._send_last_byte(this, journal_entry, now))
        else:
            self._deliver_call(this, journal_entry, now)

    def _send_last_byte(self, this: Attempt, journal_entry: JournalEntry, now: float) -> None:
        """Sends the withheld last byte of a call. Until then a broken connection proves that the call had no
        effect."""
        node = this.node
        if node.epoch != this.epoch or not node.alive:
            return
        partner = self.partners[self._partner_number(this.endpoint) - 1]
        if partner.trouble(now, Fault.DOWN):
            self._complete_attempt(this, Outcome.CONNECT_FAILED, 0.0, now)
        elif not node.engine.may_write(node.number, now, this.ident):
            self._complete_attempt(this, Outcome.NOT_SENT, 0.0, now)
        else:
            self._deliver_call(this, journal_entry, now)

    def _deliver_call(self, this: Attempt, journal_entry: JournalEntry, now: float) -> None:
        number, history, net = (
            self._partner_number(this.endpoint),
            journal_entry.history,
            self.experiment.fleet.net_ms,
        )
        partner, name = self.partners[number - 1], str(journal_entry.history.number)
        history.calls += 1
        if isinstance(partner.rng, CallRandom):
            partner.rng.start_call(history.number, history.calls)
        self.record.called(number, now)
        answer = partner.call(now + net, Call(name, name, str(this.node.number)))
        if answer.reply in (Reply.NOTHING, Reply.NO_CONNECTION) or answer.at + net > this.give_up_at:
            ends_at, outcome, wait = this.give_up_at, Outcome.TIMEOUT, 0.0
            if answer.reply is Reply.OK:  # the call had its effect, but the answer comes too late
                self.record.lost_responses += 1
        else:
            ends_at, outcome, wait = answer.at + net, OUTCOMES[answer.reply], answer.wait_ms
            self.record.answered(number, answer.reply, now)
        self.at(max(now, ends_at), lambda now: self._complete_attempt(this, outcome, wait, now))

    def _complete_attempt(self, this: Attempt, outcome: Outcome, wait: float, now: float) -> None:
        node, first_byte_at = this.node, this.first_byte_at
        if node.epoch != this.epoch or not node.alive:
            return  # the outcome was lost with the process
        message = node.pending.get(this.ident)
        finished = outcome is Outcome.OK
        self._on_outcome(this, outcome, 0.0 if first_byte_at is None else now - first_byte_at, wait, now)
        if message is not None:
            journal_entry = node.journal[message]
            if first_byte_at is not None and journal_entry.in_flight is not None:
                if not outcome.proves_no_effect and journal_entry.possible_effect is None:
                    journal_entry.possible_effect = journal_entry.in_flight
                journal_entry.in_flight = None
            if finished:
                del node.journal[message], node.pending[this.ident]
                journal_entry.history.holder = None
                journal_entry.history.final_outcomes += 1
                self.record.delivered(journal_entry.history, now)
        node.events.append(
            AttemptCompleted(
                this.ident,
                this.attempt,
                this.endpoint,
                outcome,
                0.0 if first_byte_at is None else now - first_byte_at,
                finished,
                wait,
            )
        )
        self._schedule_turn(node, now)

    # -- listing changes, and restarts --------------------------------------------------------------------

    def _change(self, ident: int, listing: Listing) -> Act:
        def act(now: float) -> None:
            entry = self.listing[ident] = replace(self.listing[ident], listing=listing)
            for node in self.nodes:
                lag = float(
                    stream(self.seed, "lag", node.number, ident).uniform(0.0, self.experiment.fleet.lag_ms)
                )
                self.at(now + lag, lambda now, node=node: self._deliver_change(node, entry, now))  # type: ignore[misc]

        return act

    def _deliver_change(self, node: Node, entry: Endpoint, now: float) -> None:
        self.record.listing_changed_at[node.number, entry.id] = (
            now if entry.listing is not Listing.READY else math.inf
        )
        if node.alive:
            node.events.append(EndpointList(ListKind.CHANGES, (self._visible_endpoint(node, entry),)))
            self._schedule_turn(node, now)

    def _check_drain(self, node: Node, endpoint: int, now: float) -> None:
        since = self.record.listing_changed_at.get((node.number, endpoint), math.inf)
        if now > since + self.experiment.fleet.drain_grace_ms:
            self.record.add_violation(
                f"relay {node.number}: new work {now - since:.0f} ms after it learned of a drain"
            )

    def _restart(self, restart: Restart) -> Act:
        node = self.nodes[restart.relay]

        def act(now: float) -> None:
            if not node.alive:
                return
            epoch = node.epoch
            if restart.how == "kill":
                self._terminate(node, now)
                return
            node.events.append(ShutdownScheduled(now + CALLS_END_MS))
            self._schedule_turn(node, now)
            self.at(
                now + ACCEPT_END_MS,
                lambda now: self._set_accepting(node, False) if node.epoch == epoch else None,
            )
            self.at(now + CALLS_END_MS, lambda now: self._take_snapshot(node, epoch, now))

        return act

    def _take_snapshot(self, node: Node, epoch: int, now: float) -> None:
        if node.epoch == epoch and node.alive:
            node.learned = node.engine.learned(node.number, now)
            self.at(now + EXIT_MS - CALLS_END_MS, lambda now: self._terminate(node, now))

    def _terminate(self, node: Node, now: float) -> None:
        if not node.alive:
            return
        node.alive = False
        self._set_accepting(node, False)
        for journal_entry in node.journal.values():  # a call in flight may have had an effect
            journal_entry.possible_effect, journal_entry.in_flight = (
                journal_entry.possible_effect or journal_entry.in_flight,
                None,
            )
        self.at(now + DOWNTIME_MS + STARTING_MS, lambda now: self._start(node, now))

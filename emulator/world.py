"""A fleet in virtual time: the real decision module for each relay, clients, partners, register, restarts.

A loop of its own over a heap of events. Around each decision module stands what a real relay does (core/):
turns a tick apart, one timer, a hold, a journal that outlasts it, the question right before a first byte, an
orderly stop. What is not modelled: processor time, the disk, TCP beyond refused, silent and broken
connections. docs/design/model.md says how near that comes to real processes."""

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

from .draws import Common, Draws, Luck, stream
from .engines import Beside, Engine, Here
from .experiment import Experiment, Restart, Variant, settings_of
from .measures import Life, Record
from .partner import Call, Partner, Reply
from .spec import Fault
from .traffic import Job, arrivals

RETRY_S = 1.0  # told to a client that finds the hold full, as core/message_lifecycle.py tells it
SERVE_ON_MS, CALLS_END_MS, GONE_MS = 500.0, 3000.0, 3400.0  # of an orderly stop, as core/relay.py has it
CAREFUL_MS = 25.0  # a call that must not run twice holds its last byte back (http/endpoint_client.py)
AWAY_MS = 600.0  # from the end of a process to the start of the next
STARTING_MS = 340.0  # until it takes messages (measured: docs/design/fleet.md)
AFTER_MS = 2000.0  # the world goes on so long after the last message's time
Act = Callable[[float], None]
OUTCOMES = {
    Reply.OK: Outcome.OK,
    Reply.ERROR: Outcome.ERROR,
    Reply.FULL: Outcome.FULL,
    Reply.RESET: Outcome.RESET,
}


@dataclass(slots=True)
class Kept:
    """What a relay's journal has of a message it took."""

    life: Life
    since: float
    due: float
    tries: int = 0
    risk: tuple[float, int] | None = None  # when, and which endpoint
    out: tuple[float, int] | None = None


@dataclass(slots=True)
class Try:
    """One attempt."""

    node: Node
    of: int  # which process of it
    ident: int
    attempt: int
    endpoint: int
    until: float
    begun: float | None = None  # its first byte; None: it never had one


@dataclass(slots=True)
class Node:
    """One relay process, and what outlasts it."""

    number: int
    engine: Engine
    kept: dict[int, Kept] = field(default_factory=dict)  # the journal
    held: dict[int, int] = field(default_factory=dict)  # the module's number of a message -> message
    latest: int = 0  # of the module's numbers; none is used again
    attempts: dict[int, int] = field(default_factory=dict)  # the module's number -> attempts of this process
    learned: list[RestoredDestination] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)
    life: int = 0  # grows with each process: what belongs to an earlier one is passed over
    last: float = -math.inf
    turn: bool = False
    timer: int = 0
    up: bool = False  # takes connections
    alive: bool = False


class World:
    def __init__(self, it: Experiment, variant: Variant, seed: int) -> None:
        self.it, self.seed, self.variant = it.of(variant), seed, variant
        self.common = Common(it.common)
        self.salt = (variant.name,) if self.common is Common.NONE else ()
        self.queue: list[tuple[float, int, Act]] = []
        self.numbers = count()
        self.now = 0.0
        self.record = Record(self.it)
        self.settings = msgspec.json.encode(settings_of(self.it))
        self.partners = [self._partner(n) for n in range(len(self.it.partners))]
        self.listing: dict[int, Endpoint] = {}
        self.engines: list[Engine] = []
        self.nodes: list[Node] = []
        self.up: list[Node] = []
        self.reach: list[float] = []
        self.clients = Draws(seed, "clients", *self.salt)
        self.front = [1 / (n + 1) ** self.it.fleet.skew for n in range(self.it.fleet.relays)]
        self._staff(it.variants[0])

    def _partner(self, n: int) -> Partner:
        draws: Draws | Luck = (
            Luck(self.seed, f"partner {n}")
            if self.common is Common.CALLS
            else Draws(self.seed, "partner", n, *self.salt)
        )
        return Partner(self.it.partners[n].model(), draws)

    def _staff(self, first: Variant) -> None:
        """A share of the relays is of this variant's version, the others of the first one's."""
        mine, fleet = self._engine(self.variant), self.it.fleet
        others = mine
        if self.variant.mixed < 1 and first is not self.variant:
            others = self._engine(first)
        several = round(self.variant.mixed * fleet.relays)
        for n in range(fleet.relays):
            self.nodes.append(Node(n, mine if n < several else others))

    def _engine(self, variant: Variant) -> Engine:
        engine: Engine = Beside(Path(variant.version), variant.constants) if variant.version else Here()
        self.engines.append(engine)
        return engine

    # -- the loop ----------------------------------------------------------------------------------------

    def at(self, when: float, act: Act) -> None:
        heapq.heappush(self.queue, (when, next(self.numbers), act))

    def run(self) -> Record:
        try:
            self._set_up()
            longest = max(each.deadline_ms for each in self.it.classes)
            end = self.it.traffic.seconds * 1000 + longest + AFTER_MS
            while self.queue and self.queue[0][0] <= end:
                self.now, _, act = heapq.heappop(self.queue)
                act(self.now)
            self.record.finish(self.partners, self.nodes)
            return self.record
        finally:
            for engine in self.engines:
                engine.close()

    # What worlds with more in them change.

    def _settings(self, node: Node) -> bytes:
        return self.settings

    def _place(self, endpoint: int) -> int:
        """Number of the partner that stands behind it, from 1."""
        return self.listing[endpoint].destination

    def _seen(self, node: Node, entry: Endpoint) -> Endpoint:
        """As this relay's decisions are to see it."""
        return entry

    def _permits(self, node: Node, kept: Kept, endpoint: int, now: float) -> bool:
        """Asked right before the first byte, after the decisions."""
        return True

    def _cut(self, node: Node, endpoint: int, now: float) -> bool:
        """Whether this relay's way there is cut."""
        return False

    def _took(self, node: Node, life: Life) -> None:
        """It has taken a message on."""

    def _outcome(self, this: Try, outcome: Outcome, took_ms: float, wait_ms: float, now: float) -> None:
        """Of a call whose first byte went out, or that never came up."""

    def _set_up(self) -> None:
        self._list()
        for node in self.nodes:
            self._start(node, 0.0)
        for restart in self.it.fleet.restarts:
            self.at(restart.at_s * 1000, self._restart(restart))
        self.jobs = arrivals(self.it, self.seed)
        self._next_job()

    def _list(self) -> None:
        ident = 0
        for n, partner in enumerate(self.it.partners):
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
        """One ahead at a time: a trace of a million messages is never held whole."""
        job = next(self.jobs, None)
        if job is not None:
            self.at(job.at, lambda now: self._arrives(job, now))

    def _arrives(self, job: Job, now: float) -> None:
        self._next_job()
        life = self.record.asked(job)
        self._hand_in(life, now, job.relay)

    # -- clients -----------------------------------------------------------------------------------------

    def _hand_in(self, life: Life, now: float, place: float) -> None:
        life.tries += 1
        if not self.up:
            self._again(life, now, 0.0)
            return
        at = bisect_right(self.reach, place * self.reach[-1])
        node = self.up[min(at, len(self.up) - 1)]
        net, of = self.it.fleet.net_ms, node.life
        self.at(now + net, lambda now: self._offered(node, of, life, now))

    def _opens(self, node: Node, up: bool) -> None:
        """Whom the clients' front deals connections to, and how far the share of each reaches."""
        node.up = up
        self.up = [each for each in self.nodes if each.up]
        self.reach = list(accumulate(self.front[each.number] for each in self.up))

    def _offered(self, node: Node, of: int, life: Life, now: float) -> None:
        if not (node.up and node.life == of):  # it died on the way
            self._again(life, now, 0.0)
            return
        if len(node.held) >= self.it.fleet.hold:
            self.record.refused += 1
            self._again(life, now, RETRY_S * 1000)
            return
        due = min(life.due, life.until)
        left = due - now
        if left <= 0:
            return
        message = Message(0, life.destination, life.class_, left, is_repeat=life.tries > 1)
        come_ms = node.engine.turned_away(node.number, now, message, len(node.held))
        if come_ms is not None:
            self.record.refused += 1
            self._again(life, now, come_ms)
            return
        node.kept[life.number] = Kept(life, now, due)
        self.record.took(life, now)
        self._took(node, life)
        if life.taken > 1 and life.holder is not None:
            self.record.broke(f"message {life.number} is held twice")
        life.holder, life.ends = node.number, 0
        self._hold(node, life.number, left, again=life.tries > 1)
        self._soon(node, now)

    def _hold(self, node: Node, message: int, left: float, again: bool = False, **resumed: object) -> None:
        node.latest += 1
        number, life = node.latest, node.kept[message].life
        node.held[number] = message
        node.events.append(Message(number, life.destination, life.class_, left, is_repeat=again, **resumed))  # type: ignore[arg-type]

    def _again(self, life: Life, now: float, told_ms: float) -> None:
        """Refused, or given back: the client comes again if it has tries and time."""
        clients = self.it.clients
        pause = clients.pause_ms * 2 ** (life.tries - 1) * (0.5 + self.clients.random())
        if self.clients.random() < clients.heed:
            pause = max(pause, told_ms)
        place = self.clients.random()
        if life.tries < clients.tries and now + pause < min(life.due, life.until):
            self.at(now + pause, lambda now: self._hand_in(life, now, place))

    # -- a relay -----------------------------------------------------------------------------------------

    def _start(self, node: Node, now: float) -> None:
        fleet = self.it.fleet
        node.life += 1
        node.alive, node.turn, node.last, node.timer = True, False, -math.inf, node.timer + 1
        node.held, node.attempts, node.events = {}, {}, []
        share = Fleet(node.number, fleet.relays, 0.0) if fleet.share_rates else None
        seed = int(stream(self.seed, "relay", node.number, node.life, *self.salt).integers(1 << 30))
        node.engine.start(node.number, self._settings(node), seed, share)
        listing = self.listing.values()
        entries = tuple(self._seen(node, each) for each in listing if each.listing is not Listing.REMOVED)
        node.events.append(EndpointList(ListKind.COMPLETE, entries))
        node.events += node.learned
        for message, kept in node.kept.items():
            risk_at = kept.risk
            risk = None
            if risk_at is not None:
                risk = Endpoint(risk_at[1], kept.life.destination, Listing.READY)
            self._hold(
                node,
                message,
                kept.due - now,
                age_ms=now - kept.since,
                attempts=kept.tries,
                uncertain_for_ms=None if risk_at is None else now - risk_at[0],
                uncertain_endpoint=risk,
            )
        self._turn(node, now)
        self._opens(node, True)

    def _soon(self, node: Node, now: float) -> None:
        if not node.turn:
            node.turn, of = True, node.life
            self.at(
                max(now, node.last + self.it.fleet.tick_ms),
                lambda now: self._turn(node, now) if node.life == of else None,
            )

    def _turn(self, node: Node, now: float) -> None:
        node.turn, node.last = False, now
        events, node.events = node.events, []
        self.record.turns += 1
        for act in node.engine.handle(node.number, now, events):
            match act:
                case StartAttempt(ident, endpoint, until):
                    self._send(node, ident, endpoint, until, now)
                case Reject(ident, stay):
                    self._over(node, ident, "returned", stay, now)
                case Fail(ident):
                    self._over(node, ident, "failed", 0.0, now)
                case SetTimer(delay):
                    self._set(node, now + delay)
                case _:
                    pass  # probes and cancels are off here, lists are told anyway

    def _set(self, node: Node, when: float) -> None:
        node.timer += 1
        of, mine = node.life, node.timer

        def fires(now: float) -> None:
            if node.life == of and node.timer == mine and node.alive:
                node.events.append(TimerFired(0))
                self._soon(node, now)

        self.at(when, fires)

    def _over(self, node: Node, ident: int, state: str, after_ms: float, now: float) -> None:
        message = node.held.pop(ident, None)
        if message is None:
            return
        kept = node.kept.pop(message)
        life = kept.life
        life.ends += 1
        life.holder = None
        if state == "failed":
            life.failed = True
            return
        if kept.risk is not None and self.it.classes[life.class_].effect == "once":
            self.record.broke(f"message {message} was returned, and may have run")
        self.record.returned += 1
        self._again(life, now, after_ms)

    # -- a call ------------------------------------------------------------------------------------------

    def _send(self, node: Node, ident: int, endpoint: int, until: float, now: float) -> None:
        attempt = node.attempts.get(ident, 0)
        node.attempts[ident] = attempt + 1
        this = Try(node, node.life, ident, attempt, endpoint, until)
        message = node.held.get(ident)
        if (
            message is None
            or not node.engine.may_write(node.number, now, ident)
            or not self._permits(node, node.kept[message], endpoint, now)
        ):
            self.at(now, lambda now: self._ended(this, Outcome.NOT_SENT, 0.0, now))
            return
        kept, net = node.kept[message], self.it.fleet.net_ms
        if kept.out is not None:
            self.record.broke(f"message {message} has two attempts out")
        partner = self.partners[self._place(endpoint) - 1]
        silent = partner.trouble(now + net, Fault.SILENT) is not None or self._cut(node, endpoint, now)
        if silent or partner.trouble(now + net, Fault.DOWN):
            self.record.tries_while_out += 1
            comes = min(until, now + self.it.fleet.connect_timeout_ms) if silent else now + 2 * net
            self.at(comes, lambda now: self._ended(this, Outcome.CONNECT_FAILED, 0.0, now))
            return
        kept.out, this.begun = (now, endpoint), now
        kept.tries += 1
        self._drained(node, endpoint, now)
        if self.it.classes[kept.life.class_].effect == "once":
            self.at(now + CAREFUL_MS, lambda now: self._last_byte(this, kept, now))
        else:
            self._arrives_there(this, kept, now)

    def _last_byte(self, this: Try, kept: Kept, now: float) -> None:
        """Of a call that was held back, since a connection that breaks meanwhile proves that nothing ran."""
        node = this.node
        if node.life != this.of or not node.alive:
            return
        partner = self.partners[self._place(this.endpoint) - 1]
        if partner.trouble(now, Fault.DOWN):
            self._ended(this, Outcome.CONNECT_FAILED, 0.0, now)
        elif not node.engine.may_write(node.number, now, this.ident):
            self._ended(this, Outcome.NOT_SENT, 0.0, now)
        else:
            self._arrives_there(this, kept, now)

    def _arrives_there(self, this: Try, kept: Kept, now: float) -> None:
        place, life, net = self._place(this.endpoint), kept.life, self.it.fleet.net_ms
        partner, name = self.partners[place - 1], str(kept.life.number)
        life.calls += 1
        if isinstance(partner.rng, Luck):
            partner.rng.of(life.number, life.calls)
        self.record.called(place, now)
        answer = partner.call(now + net, Call(name, name, str(this.node.number)))
        if answer.reply in (Reply.NOTHING, Reply.NO_CONNECTION) or answer.at + net > this.until:
            comes, outcome, wait = this.until, Outcome.TIMEOUT, 0.0
            if answer.reply is Reply.OK:  # its effect is there, and nobody hears of it
                self.record.unheard += 1
        else:
            comes, outcome, wait = answer.at + net, OUTCOMES[answer.reply], answer.wait_ms
            self.record.answered(place, answer.reply, now)
        self.at(max(now, comes), lambda now: self._ended(this, outcome, wait, now))

    def _ended(self, this: Try, outcome: Outcome, wait: float, now: float) -> None:
        node, begun = this.node, this.begun
        if node.life != this.of or not node.alive:
            return  # its outcome died with the process
        message = node.held.get(this.ident)
        finished = outcome is Outcome.OK
        self._outcome(this, outcome, 0.0 if begun is None else now - begun, wait, now)
        if message is not None:
            kept = node.kept[message]
            if begun is not None and kept.out is not None:
                if not outcome.proves_no_effect and kept.risk is None:
                    kept.risk = kept.out
                kept.out = None
            if finished:
                del node.kept[message], node.held[this.ident]
                kept.life.holder = None
                kept.life.ends += 1
                self.record.delivered(kept.life, now)
        node.events.append(
            AttemptCompleted(
                this.ident,
                this.attempt,
                this.endpoint,
                outcome,
                0.0 if begun is None else now - begun,
                finished,
                wait,
            )
        )
        self._soon(node, now)

    # -- the register, and restarts ----------------------------------------------------------------------

    def _change(self, ident: int, listing: Listing) -> Act:
        def act(now: float) -> None:
            entry = self.listing[ident] = replace(self.listing[ident], listing=listing)
            for node in self.nodes:
                lag = float(stream(self.seed, "lag", node.number, ident).uniform(0.0, self.it.fleet.lag_ms))
                self.at(now + lag, lambda now, node=node: self._told(node, entry, now))  # type: ignore[misc]

        return act

    def _told(self, node: Node, entry: Endpoint, now: float) -> None:
        self.record.learnt[node.number, entry.id] = now if entry.listing is not Listing.READY else math.inf
        if node.alive:
            node.events.append(EndpointList(ListKind.CHANGES, (self._seen(node, entry),)))
            self._soon(node, now)

    def _drained(self, node: Node, endpoint: int, now: float) -> None:
        since = self.record.learnt.get((node.number, endpoint), math.inf)
        if now > since + self.it.fleet.drain_grace_ms:
            self.record.broke(
                f"relay {node.number}: new work {now - since:.0f} ms after it learned of a drain"
            )

    def _restart(self, restart: Restart) -> Act:
        node = self.nodes[restart.relay]

        def act(now: float) -> None:
            if not node.alive:
                return
            of = node.life
            if restart.how == "kill":
                self._dies(node, now)
                return
            node.events.append(ShutdownScheduled(now + CALLS_END_MS))
            self._soon(node, now)
            self.at(now + SERVE_ON_MS, lambda now: self._opens(node, False) if node.life == of else None)
            self.at(now + CALLS_END_MS, lambda now: self._stops(node, of, now))

        return act

    def _stops(self, node: Node, of: int, now: float) -> None:
        if node.life == of and node.alive:
            node.learned = node.engine.learned(node.number, now)
            self.at(now + GONE_MS - CALLS_END_MS, lambda now: self._dies(node, now))

    def _dies(self, node: Node, now: float) -> None:
        if not node.alive:
            return
        node.alive = False
        self._opens(node, False)
        for kept in node.kept.values():  # a call that was out may have run
            kept.risk, kept.out = kept.risk or kept.out, None
        self.at(now + AWAY_MS + STARTING_MS, lambda now: self._start(node, now))

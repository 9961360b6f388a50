"""Owns the `Relay`: sockets' events become its events, its actions become calls and notices."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from .. import interface as api
from ..control import Relay
from .agent import Agent
from .config import Config
from .discovery import Directory, Watch
from .egress import Answer, Call, Egress
from .ingress import Ingress, Reply, Request
from .journal import Entry, Journal, JournalError
from .outcomes import Notices
from .tasks import Tasks

log = logging.getLogger(__name__)

NAME_BYTES = 200  # an id or a key, at most
SWEEP_S = 1.0
OWN_SOCKETS = 24  # the loop's, the log's, the listener's, the journal's and two agents' descriptors
RETRY_S = 1.0  # a client that finds the hold full is told to come again so much later
DEST_MS = 60_000.0  # a destination without endpoints is known for so long: past any message's time
LOOK_S = 0.02
SERVE_ON_S = 0.5  # after SIGTERM: connections go on coming for up to 0.4 s
CALLS_END_S = 3.0  # after SIGTERM: no call is out later
GONE_S = 3.4  # after SIGTERM: whatever is still undone is left to the journal


@dataclass(slots=True)
class Held:
    """A message that the module holds, or for which a call is out."""

    entry: Entry
    attempts: int = 0  # sends of this process, as the module counts them
    call: asyncio.Task[None] | None = None


class Malformed(Exception):
    """What a client handed in cannot be taken; the text says why."""


def unix_ms() -> float:
    return time.time() * 1000


class Host:
    def __init__(self, config: Config) -> None:
        self.config, self.settings = config, config.settings
        self.relay = Relay(config.settings, config.seed)
        self.classes = {cls.name: n for n, cls in enumerate(config.settings.classes)}
        self.tenants = {tenant.name: n for n, tenant in enumerate(config.settings.tenants)}
        self.journal = Journal(config.state, config.disk_bytes)
        self.directory = Directory.of(config.settings, config.zones)
        self.dests: dict[int, float] = {}  # each destination listed of late, and until when it is known
        idle, ending = max(1, config.sockets // 8), max(1, config.sockets // 16)
        self.egress = Egress(config.settings.idle_ms, config.settings.connect_timeout_ms, idle, ending)
        # Clients get what calls cannot need: so a flood of connections leaves every call its descriptor.
        clients = config.sockets - OWN_SOCKETS - config.settings.slots - idle - ending
        self.ingress = Ingress(self.take, self.withdraw, max(1, clients), config.sockets // 12)
        self.watch = Watch(Agent(config.discovery), self.directory, self.listed)
        self.notices = Notices(Agent(config.discovery), self.noticed)
        self.tasks = Tasks()
        self.talks: list[asyncio.Task[None]] = []  # with the agent: the watch and the notices
        self.closed = False
        self.held: dict[int, Held] = {}
        self.numbers: dict[str, int] = {}
        self.last_number = 0
        self.ready = False
        self.events: list[api.Event] = []
        self.turn: asyncio.TimerHandle | None = None
        self.last_turn = 0.0
        self.timer: asyncio.TimerHandle | None = None

    @staticmethod
    def now() -> float:
        return asyncio.get_running_loop().time() * 1000

    # -- life --------------------------------------------------------------------------------------------

    async def start(self) -> None:
        if self.config.known:
            try:
                self.listed(self.directory.apply(self.config.known))
            except ValueError as error:
                log.warning("the known list of endpoints is passed over: %s", error)
        self._resume()
        self._step()
        self._talk()
        self.tasks.start(self._sweep())
        self.tasks.start(self.ingress.watch())
        self.ready = True
        await self.ingress.listen(*self.config.listen)

    def _talk(self) -> None:
        self.talks = [self.tasks.start(self.watch.run()), self.tasks.start(self.notices.run())]

    def reload(self, config: Config) -> None:
        """Moves the watch and the notices to the agent named now; a change of anything else needs a restart.
        Calls, clients and the journal are left alone, so it may come at any moment, also during a stop."""
        if self.closed:
            return
        for task in self.talks:  # Guards against waiting on an agent that is about to go
            task.cancel()
        self.watch.agent.close()
        self.notices.agent.close()
        self.config = replace(self.config, discovery=config.discovery)
        self.watch.move(Agent(config.discovery))
        self.notices.move(Agent(config.discovery))
        self._talk()
        log.info("discovery is at %s:%d from now on", *config.discovery)

    async def stop(self) -> None:
        """A planned restart: what cannot end in time stays in the journal."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        self._feed(api.Closing((begun + CALLS_END_S) * 1000))
        await asyncio.sleep(SERVE_ON_S)
        self.ingress.stop()
        while (self.held or self.ingress.connections) and loop.time() < begun + CALLS_END_S + 0.1:
            await asyncio.sleep(LOOK_S)
        while self.notices.waiting and loop.time() < begun + GONE_S:
            await asyncio.sleep(LOOK_S)
        log.info("%d messages and %d notices are left to the journal", len(self.held),
                 len(self.notices.waiting))
        await self.close()

    async def close(self) -> None:
        self.closed = True
        self.ingress.stop()
        await self.tasks.cancel()
        for timer in (self.turn, self.timer):
            if timer is not None:
                timer.cancel()
        self.egress.keep_only(set())
        self.watch.agent.close()
        self.notices.agent.close()
        self.journal.close()

    def _resume(self) -> None:
        """Takes up what an earlier process left: it owes each message its end."""
        now = unix_ms()
        for entry in list(self.journal.entries.values()):
            if entry.owes_notice:
                self.notices.add(entry.id, entry.end, entry.after_ms)
            elif not entry.end and entry.class_ not in self.classes:
                self._end(entry, "failed")  # the settings no longer know its class
            elif not entry.end:
                risk = entry.risk
                self.dests[entry.dest] = self.now() + DEST_MS
                self._hold(entry, age_ms=max(0.0, now - entry.since), tries=entry.tries,
                           risk_age_ms=None if risk is None else max(0.0, now - risk.at),
                           risk=None if risk is None else api.Endpoint(
                               self.directory.number(risk.endpoint), entry.dest, api.Listing.READY,
                               zone=risk.zone))

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            try:
                self.egress.sweep()
                self._know_dests({known.entry.destination for known in self.directory.by_number.values()})
                self.journal.tidy(unix_ms())
            except Exception:
                log.exception("tidying failed")  # and is tried again: without it the folder fills

    def _know_dests(self, listed: set[int]) -> None:
        """One whose endpoints are all being replaced is still known; one long gone is forgotten."""
        now = self.now()
        self.dests = {dest: until for dest, until in self.dests.items() if until > now}
        self.dests.update(dict.fromkeys(listed, now + DEST_MS))

    # -- the module's turn -------------------------------------------------------------------------------

    def _feed(self, event: api.Event) -> None:
        """Events are handed over a tick apart at the least, as the module is used to."""
        self.events.append(event)
        if self.turn is None:
            wait = max(0.0, self.last_turn + self.settings.tick_ms - self.now()) / 1000
            self.turn = asyncio.get_running_loop().call_later(wait, self._step)

    def _step(self) -> None:
        if self.turn is not None:
            self.turn.cancel()
        self.turn, self.last_turn = None, self.now()
        events, self.events = self.events, []
        try:
            actions = self.relay.handle(self.last_turn, events)
        except Exception:
            # A fault in one turn must not stop all later ones.
            log.exception("the module failed on %r", events)
            actions = [api.SetTimer(1000.0, 0)]
        for action in actions:
            self._act(action)

    def _act(self, action: api.Action) -> None:
        match action:
            case api.Send(ident, endpoint, until):
                held = self.held[ident]
                held.attempts += 1
                held.call = self.tasks.start(self._call(ident, held, endpoint, until))
            case api.Refuse(ident, stay_away):
                self._over(ident, "returned", stay_away)
            case api.Fail(ident):
                self._over(ident, "failed")
            case api.SetTimer(delay):
                if self.timer is not None:
                    self.timer.cancel()
                self.timer = asyncio.get_running_loop().call_later(delay / 1000, self._wake)
            case api.Cancel(ident):
                held_out = self.held.get(ident)
                if held_out is not None and held_out.call is not None:
                    held_out.call.cancel()
            case api.WatchList():
                pass  # the watch is always on
            case api.Log(text):
                log.info("module: %s", text)
            case _:
                log.error("the module wants %r, which this relay cannot do", action)

    def _wake(self) -> None:
        self.timer = None
        self._feed(api.TimerFired(0))

    def listed(self, event: api.EndpointList) -> None:
        self._know_dests({entry.destination for entry in event.entries})
        self.egress.keep_only({(known.entry.id, known.address) for known in self.directory.by_number.values()
                               if known.entry.listing is api.Listing.READY})
        self._feed(event)

    # -- messages ----------------------------------------------------------------------------------------

    def take(self, request: Request) -> Reply:
        """One request of a client. All of it happens before the next event of the loop."""
        path = request.target.partition("?")[0]
        if request.method == "GET" and path == "/healthz":
            return Reply(200 if self.ready else 503)
        if request.method != "POST":
            return Reply(405, "POST a message, or GET /healthz")
        try:
            entry = self._entry(request, path)
        except Malformed as error:
            return Reply(400, str(error))
        known = self.journal.entries.get(entry.id)
        if known is not None:
            return Reply(202)  # also while it is under way: it is one message, however often it comes
        if len(self.held) >= self.settings.hold:
            return Reply(503, "this relay holds as many messages as it may", retry_s=RETRY_S)
        try:
            self.journal.take(entry)
        except JournalError as error:
            log.warning("refused a message: %s", error)
            return Reply(503, str(error), retry_s=RETRY_S)
        self._hold(entry)
        return Reply(202, accepted=entry.id)

    def _entry(self, request: Request, path: str) -> Entry:
        def header(name: str) -> str:
            return request.headers.get(name, "")

        class_ = path.strip("/").partition("/")[0]
        if class_ not in self.classes or header("x-qos") != class_:
            raise Malformed(f"class: path {path!r} and X-Qos {header('x-qos')!r} must name one that is known")
        ident, key = header("x-trace-id"), request.headers.get("idempotency-key")
        for name, text in (("X-Trace-Id", ident), ("Idempotency-Key", "-" if key is None else key)):
            if not 0 < len(text) <= NAME_BYTES or not text.isascii():
                raise Malformed(f"{name}: 1 to {NAME_BYTES} ASCII characters are needed")
        if self.settings.classes[self.classes[class_]].effect is api.Effect.KEYED and key is None:
            raise Malformed(f"Idempotency-Key: class {class_} needs one")
        tenant = header("x-customer")
        if self.tenants and tenant not in self.tenants:
            raise Malformed(f"X-Customer: {tenant!r} is not known")
        left, now = header("x-expires-in-ms"), unix_ms()
        if not (left.isascii() and left.isdecimal() and len(left) <= 9):
            raise Malformed("X-Expires-In-Ms: whole milliseconds are needed")
        return Entry(ident, class_, tenant, self._dest(header("x-addressing")), key, now, now + int(left),
                     header("x-second-try")[:16], bytes(request.body))

    def _dest(self, text: str) -> int:
        for part in text.replace(",", ";").split(";"):
            name, _, value = part.strip().partition("=")
            if name == "dest" and value.isascii() and value.isdecimal() and len(value) < 10:
                if int(value) in self.dests:
                    return int(value)
                raise Malformed(f"X-Addressing: destination {value} is not known")
        raise Malformed("X-Addressing: dest=NUMBER is needed")

    def _hold(self, entry: Entry, age_ms: float | None = None, tries: int = 0,
              risk_age_ms: float | None = None, risk: api.Endpoint | None = None) -> None:
        self.last_number += 1
        self.held[self.last_number] = Held(entry)
        self.numbers[entry.id] = self.last_number
        self._feed(api.Message(
            self.last_number, entry.dest, self.classes[entry.class_], entry.due - unix_ms(),
            self.tenants.get(entry.tenant, 0), again=entry.again == "1",
            from_dead_relay=entry.again == "again", age_ms=age_ms, tries=tries, risk_age_ms=risk_age_ms,
            risk=risk))

    def withdraw(self, ident: str) -> None:
        """Its client never read the answer, and hands it in again under another id."""
        number = self.numbers.get(ident)
        if number is not None:
            held = self.held[number]
            self._journal(lambda: self.journal.withdrawn(held.entry))
            self._let_go(number)
            self._feed(api.Withdrawn(number))

    def _let_go(self, number: int) -> None:
        """No end is owed any more; a call that is out keeps its own reference."""
        held = self.held.pop(number, None)
        if held is not None:
            self.numbers.pop(held.entry.id, None)
            held.entry.body = b""

    def _over(self, number: int, state: str, after_ms: float = 0.0) -> None:
        held = self.held.get(number)
        if held is not None:
            self._let_go(number)
            self._end(held.entry, state, after_ms)

    def _end(self, entry: Entry, state: str, after_ms: float = 0.0) -> None:
        self._journal(lambda: self.journal.ended(entry, state, after_ms))
        if entry.owes_notice:
            self.notices.add(entry.id, state, after_ms)

    def noticed(self, idents: list[str]) -> None:
        self._journal(lambda: self.journal.told(idents))

    @staticmethod
    def _journal(write: Callable[[], None]) -> bool:
        try:
            write()
            return True
        except JournalError as error:
            log.error("%s", error)
            return False

    # -- calls -------------------------------------------------------------------------------------------

    async def _call(self, number: int, held: Held, endpoint: int, until: float) -> None:
        begun, entry, attempt = self.now(), held.entry, held.attempts - 1
        known = self.directory.by_number.get(endpoint)
        answer = Answer(api.Outcome.NOT_SENT)
        try:
            if known is not None:
                answer = await self.egress.call(Call(
                    endpoint, known.address, entry.id, entry.key, entry.body, until / 1000,
                    self._gate(number, entry, known.name, known.entry.zone),
                    careful=self._effect(entry) is api.Effect.UNSAFE))
        except asyncio.CancelledError:
            answer = Answer(api.Outcome.CANCELLED)  # by the module, or at the end of the process
        except Exception:
            # A fault of ours must not leave the message without an outcome.
            log.exception("a call failed")
            answer = Answer(api.Outcome.RESET if entry.out else api.Outcome.CONNECT_FAILED)
        self._ended(number, held, attempt, endpoint, answer, self.now() - begun)

    def _effect(self, entry: Entry) -> api.Effect:
        return self.settings.classes[self.classes[entry.class_]].effect

    def _gate(self, number: int, entry: Entry, endpoint: str, zone: int) -> Callable[[], bool]:
        """Asked before the first byte on each connection, and before the last; one attempt in the journal."""
        noted = False

        def may_write() -> bool:
            nonlocal noted
            if not self.relay.may_write(self.now(), number):
                return False
            noted = noted or self._journal(lambda: self.journal.tried(entry, unix_ms(), endpoint, zone))
            return noted

        return may_write

    def _ended(self, number: int, held: Held, attempt: int, endpoint: int, answer: Answer,
               took: float) -> None:
        entry, held.call = held.entry, None
        if entry.id in self.journal.entries:
            if answer.over:
                self._let_go(number)
                self._end(entry, "delivered" if answer.outcome is api.Outcome.OK else "over")
            elif entry.out is not None:
                self._journal(lambda: self.journal.outcome(entry, not answer.outcome.proves_no_effect))
        self._feed(api.AttemptEnded(number, attempt, endpoint, answer.outcome, took, answer.over,
                                    answer.wait_ms, answer.no_slot))

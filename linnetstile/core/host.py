"""A running relay: its life from start to stop, and who is asked to carry out what the decisions say."""

from __future__ import annotations

import asyncio
import logging

from ..decisions import interface as api
from ..config import Config
from ..decisions.control import Relay
from ..decisions.members import START
from ..logs import Note
from ..membership.merge import Merge
from ..store.journal import Journal
from ..store.learned import FILE_BYTES, LearnedFile
from ..store.lock import FolderLock
from .attempts import Attempts
from .directory import Directory
from .messages import Messages, unix_ms
from .recall import Recall
from .seams import End, Intake, Interest, Membership, Permits, Transport, Update
from .tasks import Tasks
from .turns import Turns

log = logging.getLogger(__name__)

SWEEP_S = 1.0
LOOK_S = 0.02
FIRST_LIST_S = 0.5  # after its start a process waits so long for the list before it goes by the one it knew
SERVE_ON_S = 0.5  # after SIGTERM: connections go on coming for up to 0.4 s
CALLS_END_S = 3.0  # after SIGTERM: no call is out later
GONE_S = 3.4  # after SIGTERM: whatever is still undone is left to the journal


class Host:
    """Owns the decision module. Fronts, transport and sources are plugged in before `start`."""

    def __init__(self, config: Config) -> None:
        self.config, self.settings = config, config.settings
        self.relay = Relay(config.settings, config.seed)
        self.turns = Turns(self.relay, config.settings.tick_ms, self._act)
        self.lock = FolderLock(config.state)
        self.journal = Journal(config.state, config.disk_bytes - 2 * FILE_BYTES, sync_ms=config.sync_ms)
        self.learned = LearnedFile(config.state)
        self.directory = Directory(config.settings, config.zones)
        self.messages = Messages(
            config.settings, self.journal, self.turns.now, self.turns.feed, self._pass_on, self._turned_away
        )
        self.tasks = Tasks()
        self.intakes: dict[str, Intake] = {}
        self.sources: list[Membership] = []
        self.merge: Merge | None = None
        self.watching: list[asyncio.Task[None]] = []  # the sources
        self.heard: set[str] = set()  # the sources that have told something to this process
        # Guards endpoints that drained while this process was away: what discovery has counts as told from
        # its first moment on, so that the decisions hear of no endpoint, and send nothing, before then.
        self.open = False
        self.closed = False
        self.permits: Permits | None = None
        self.interest: Interest | None = None  # None: all destinations are known
        self.recall = Recall()
        self.remembered: set[int] = set()  # destinations of which something was learned, as last written

    def by_interest(self, interest: Interest, source: Membership) -> None:
        """Before `start`: from now on destinations are known as they are needed, by this source alone."""
        self.interest = self.messages.interest = self.attempts.interest = interest
        self.sources, self.merge = [source], None
        self.relay.endings.unknown = START  # it isn't known yet: as fast as one whose rate isn't listed

    def in_use(self, destination: int) -> bool:
        """Whether a message for it is held, a call is out, or something was learned that still counts."""
        now = self.turns.now()
        return (
            destination in self.messages.bound_for
            or destination in self.remembered
            or self.recall.has(now, destination)
        )

    def rule(self, permits: Permits) -> None:
        """Rules on which the instances agree hold from now on."""
        self.permits = self.attempts.permits = permits
        self.messages.bars = permits.bars

    def retell(self) -> None:
        """What the rules make of the endpoints has changed: the decisions hear of all of them anew."""
        entries = tuple(known.entry for known in self.directory.by_number.values())
        if entries and self.open:
            self.turns.feed(self._ruled(api.EndpointList(api.ListKind.CHANGES, entries)))

    def _ruled(self, event: api.EndpointList) -> api.EndpointList:
        if self.permits is None:
            return event
        zones, found = self.directory.zones, []
        for entry in event.entries:
            known = self.directory.by_number.get(entry.id)
            zone = zones[entry.zone] if entry.zone < len(zones) else ""
            found.append(entry if known is None else self.permits.entry(known.name, zone, entry))
        return api.EndpointList(event.kind, tuple(found))

    def plug_in(
        self,
        intakes: dict[str, Intake],
        transport: Transport,
        sources: list[Membership],
        merge: Merge | None = None,
    ) -> None:
        """Fronts by the name that the journal keeps with their messages; `merge`: of several sources."""
        self.merge = merge
        self.intakes, self.transport, self.sources = intakes, transport, sources
        self.attempts = Attempts(self.relay, self.turns, self.messages, self.directory, transport, self.tasks)

    # -- life --------------------------------------------------------------------------------------------

    async def start(self, known: Update | None = None) -> None:
        """With the members as they were last known, if any; from its end on messages are taken."""
        self._take(known if known and self.interest is None else Update(whole=False))
        if self.interest is None:
            self._know({entry.dest for entry in self.messages.left})
        self.messages.ask_for_left()
        self.messages.pass_on_ends()
        self._watch()
        # A shared register counts as having told what it answered, and may be busy with a whole fleet's
        # start.
        wait_s = FIRST_LIST_S if self.sources and not self.settings.ask_for_list else 0.0
        asyncio.get_running_loop().call_later(wait_s, self._go_by_what_is_known)
        self.tasks.start(self._sweep())
        if self.journal.durability is not None:
            self.tasks.start(self.journal.durability.run())
        self.messages.ready = True
        for intake in self.intakes.values():
            await intake.open()

    def _watch(self) -> None:
        self.watching = [self.tasks.start(source.run(self.listed)) for source in self.sources]

    def reload(self, config: Config) -> None:
        """Has sources and fronts follow what they can of it; a change of anything else needs a restart.
        Calls, clients and the journal are left alone, so it may come at any moment, also during a stop."""
        if self.closed:
            return
        for task in self.watching:  # Guards against waiting on an agent that is about to go
            task.cancel()
        for source in self.sources:
            source.reload(config)
        for intake in self.intakes.values():
            intake.reload(config)
        self._watch()

    async def stop(self) -> None:
        """A planned restart: what cannot end in time stays in the journal."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        self.turns.feed(api.Closing((begun + CALLS_END_S) * 1000))
        await asyncio.sleep(SERVE_ON_S)
        for intake in self.intakes.values():
            intake.stop()
        while (self.messages.holding or self.reading) and loop.time() < begun + CALLS_END_S + 0.1:
            await asyncio.sleep(LOOK_S)
        while self.unsettled and loop.time() < begun + GONE_S:
            await asyncio.sleep(LOOK_S)
        log.info(Note("what is left to the journal", messages=self.messages.holding, ends=self.unsettled))
        await self.close()

    def retire(self) -> None:
        """Takes no new message from now on, and goes on with those that it holds."""
        self.messages.retiring = True

    @property
    def idle(self) -> bool:
        """Nothing is owed to anybody."""
        return not (self.messages.holding or self.unsettled or self.messages.unsaid)

    @property
    def reading(self) -> int:
        """Connections on which clients may still be answered."""
        return sum(intake.reading for intake in self.intakes.values())

    @property
    def unsettled(self) -> int:
        """Ends that are still to be passed on."""
        return sum(intake.unsettled for intake in self.intakes.values())

    async def close(self) -> None:
        self.closed = True
        for intake in self.intakes.values():
            intake.stop()
        # Before the calls are cut off: their outcomes would be decided on, and what must not run twice would
        # fail, though nothing of it had gone out.
        self.turns.stop()
        await self.tasks.cancel()
        self._keep_learned()
        for intake in self.intakes.values():
            await intake.close()
        self.transport.close()
        for source in self.sources:
            source.close()
        if self.journal.durability is not None:
            await self.journal.durability.finish()
        self.journal.close()
        self.lock.release()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            try:
                self.tidy()
            except Exception:
                log.exception("tidying failed")  # and is tried again: without it the folder fills

    def tidy(self) -> None:
        """Once a second, so that it walks over no more than what is in use."""
        self.transport.sweep()
        self.messages.forget()
        self.journal.tidy(unix_ms())
        self._keep_learned()

    def _keep_learned(self) -> None:
        """What an earlier process learned stays until this one goes by it."""
        if self.open:
            now = self.turns.now()
            learned = self.relay.learned(now)
            self.remembered = {lane.destination for lane in learned}
            self.learned.save(unix_ms(), learned + self.recall.kept(now))

    # -- what the decisions say --------------------------------------------------------------------------

    def _act(self, action: api.Action) -> None:
        match action:
            case api.Send(ident, endpoint, until):
                self.attempts.begin(ident, endpoint, until)
            case api.Refuse(ident, stay_away):
                self.messages.over(ident, "returned", stay_away)
            case api.Fail(ident):
                self.messages.over(ident, "failed")
            case api.Cancel(ident):
                held = self.messages.held.get(ident)
                if held is not None and held.cancel is not None:
                    held.cancel()
            case api.WatchList():
                pass  # the sources are always watched
            case api.Log(text):
                log.info(Note("decisions", say=text))
            case _:
                log.error(Note("the decisions want what this relay cannot do", action=repr(action)))

    def _turned_away(self, message: api.Message, held: int) -> float | None:
        return self.relay.turned_away(self.turns.now(), message, held)

    def _pass_on(self, origin: str, end: End) -> None:
        intake = self.intakes.get(origin.partition(" ")[0])
        if intake is not None:
            intake.end(end)
        else:  # it stays in the journal, and is passed on once that front is back
            log.error(Note("an end waits for a front that is not set up", id=end.id, front=origin))

    def listed(self, update: Update) -> None:
        """A source has told something, or the configuration what was known long ago."""
        self._take(update)
        if self.watching:
            self.heard.add(update.source)
            if len(self.heard) >= len(self.sources):
                self._go_by_what_is_known()

    def _go_by_what_is_known(self) -> None:
        """From now on messages are sent."""
        if not self.open and not self.closed:
            self.open = True
            self.retell()
            for lane in self.learned.load(unix_ms()):
                if self.interest is None or self.interest.here(lane.destination):
                    self.turns.feed(lane)
                else:
                    self.recall.keep(self.turns.now(), lane)
                    self.interest.want(lane.destination, float("inf"))
            self.messages.resume(self.directory.number)

    def _know(self, dests: set[int]) -> None:
        """Not by a difference of sets: that walks over all that are listed."""
        here = {dest for dest in dests if dest in self.directory.listed}
        self.messages.know(here)
        self.messages.still_know(dests - here)

    def _take(self, update: Update) -> None:
        if self.merge is not None:
            merged = self.merge.take(update, asyncio.get_running_loop().time())
            if merged is None:
                return
            update = merged
        event, changed, concerned = self.directory.apply(update)
        self._know(concerned)
        if update.whole:
            here = self.directory.by_number.values()
            self.transport.keep_only({known.key for known in here if known.ready})
        else:
            for key, listed in changed:
                self.transport.changed(key, listed)
        if self.open:
            self.turns.feed(self._ruled(event))
            for lane in self.recall.come(self.turns.now(), event.entries):
                self.turns.feed(lane)

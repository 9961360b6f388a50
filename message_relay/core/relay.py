"""A running relay: its life from start to stop, and who is asked to carry out what the decisions say."""

from __future__ import annotations

import asyncio
import logging

from ..config import Config
from ..decisions.actions import Action, Cancel, Fail, Log, Reject, StartAttempt, WatchEndpoints
from ..decisions.endpoint_registry import INITIAL_RATE
from ..decisions.events import EndpointList, Message, ShutdownScheduled
from ..decisions.model import ListKind
from ..decisions.scheduler import DeliveryScheduler
from ..endpoint_discovery.source_merge import SourceMerge
from ..store.destination_snapshot import MAX_FILE_BYTES, DestinationSnapshotFile
from ..store.journal import Journal
from ..store.lock import DirectoryLock
from ..structured_logging import LogEvent
from .attempt_runner import AttemptRunner
from .directory import EndpointDirectory
from .message_lifecycle import MessageLifecycle, unix_time_ms
from .ports import (
    CallPolicy,
    DestinationInterest,
    EndpointSource,
    EndpointUpdate,
    FinalOutcome,
    Intake,
    Transport,
)
from .restored_state import RestoredState
from .scheduler_driver import SchedulerDriver
from .tasks import BackgroundTasks

log = logging.getLogger(__name__)

SWEEP_S = 1.0
LOOK_S = 0.02
FIRST_LIST_S = 0.5  # after its start a process waits so long for the list before it goes by the one it knew
SERVE_ON_S = 0.5  # after SIGTERM: connections go on coming for up to 0.4 s
CALLS_END_S = 3.0  # after SIGTERM: no call is out later
GONE_S = 3.4  # after SIGTERM: whatever is still undone is left to the journal


class Relay:
    """Owns the decision module. Fronts, transport and sources are plugged in before `start`."""

    def __init__(self, config: Config) -> None:
        self.config, self.settings = config, config.settings
        self.scheduler = DeliveryScheduler(config.settings, config.seed)
        self.driver = SchedulerDriver(self.scheduler, config.settings.tick_ms, self._execute)
        self.lock = DirectoryLock(config.state)
        self.journal = Journal(config.state, config.disk_bytes - 2 * MAX_FILE_BYTES, sync_ms=config.sync_ms)
        self.snapshot_file = DestinationSnapshotFile(config.state)
        self.directory = EndpointDirectory(config.settings, config.zones)
        self.messages = MessageLifecycle(
            config.settings,
            self.journal,
            self.driver.now,
            self.driver.feed,
            self._notify_outcome,
            self._rejection_delay_ms,
        )
        self.tasks = BackgroundTasks()
        self.intakes: dict[str, Intake] = {}
        self.sources: list[EndpointSource] = []
        self.source_merge: SourceMerge | None = None
        self.source_tasks: list[asyncio.Task[None]] = []  # the sources
        self.reported_sources: set[str] = set()  # the sources that have told something to this process
        # Guards endpoints that drained while this process was away: what discovery has counts as told from
        # its first moment on, so that the decisions hear of no endpoint, and send nothing, before then.
        self.is_dispatching = False
        self.is_closed = False
        self.call_policy: CallPolicy | None = None
        self.destination_interest: DestinationInterest | None = None  # None: all destinations are known
        self.restored_state = RestoredState()
        self.learned_destinations: set[int] = (
            set()
        )  # destinations of which something was learned, as last written

    def use_destination_interest(self, interest: DestinationInterest, source: EndpointSource) -> None:
        """Before `start`: from now on destinations are known as they are needed, by this source alone."""
        self.destination_interest = self.messages.destination_interest = (
            self.attempt_runner.destination_interest
        ) = interest
        self.sources, self.source_merge = [source], None
        self.scheduler.drain_estimate.unknown_rate = (
            INITIAL_RATE  # it isn't known yet: as fast as one whose rate isn't listed
        )

    def is_in_use(self, destination: int) -> bool:
        """Whether a message for it is held, a call is out, or something was learned that still counts."""
        now = self.driver.now()
        return (
            destination in self.messages.pending_by_destination
            or destination in self.learned_destinations
            or self.restored_state.contains(now, destination)
        )

    def set_call_policy(self, call_policy: CallPolicy) -> None:
        """Rules on which the instances agree hold from now on."""
        self.call_policy = self.attempt_runner.call_policy = call_policy
        self.messages.denial_reason = call_policy.denial_reason

    def reapply_rules(self) -> None:
        """What the rules make of the endpoints has changed: the decisions hear of all of them anew."""
        entries = tuple(known.endpoint for known in self.directory.by_number.values())
        if entries and self.is_dispatching:
            self.driver.feed(self._constrained(EndpointList(ListKind.CHANGES, entries)))

    def _constrained(self, event: EndpointList) -> EndpointList:
        if self.call_policy is None:
            return event
        zones, found = self.directory.zones, []
        for entry in event.entries:
            known = self.directory.by_number.get(entry.id)
            zone = zones[entry.zone] if entry.zone < len(zones) else ""
            found.append(
                entry if known is None else self.call_policy.constrained_endpoint(known.name, zone, entry)
            )
        return EndpointList(event.kind, tuple(found))

    def connect(
        self,
        intakes: dict[str, Intake],
        transport: Transport,
        sources: list[EndpointSource],
        merge: SourceMerge | None = None,
    ) -> None:
        """Fronts by the name that the journal keeps with their messages; `merge`: of several sources."""
        self.source_merge = merge
        self.intakes, self.transport, self.sources = intakes, transport, sources
        self.attempt_runner = AttemptRunner(
            self.scheduler, self.driver, self.messages, self.directory, transport, self.tasks
        )

    # -- life --------------------------------------------------------------------------------------------

    async def start(self, initial_endpoints: EndpointUpdate | None = None) -> None:
        """With the members as they were last known, if any; from its end on messages are taken."""
        self._apply_update(
            initial_endpoints
            if initial_endpoints and self.destination_interest is None
            else EndpointUpdate(is_full=False)
        )
        if self.destination_interest is None:
            self._update_known_destinations({entry.destination for entry in self.messages.unresumed})
        self.messages.request_unresumed_destinations()
        self.messages.notify_recorded_outcomes()
        self._start_sources()
        # A shared register counts as having told what it answered, and may be busy with a whole fleet's
        # start.
        wait_s = FIRST_LIST_S if self.sources and not self.settings.polls_discovery else 0.0
        asyncio.get_running_loop().call_later(wait_s, self._start_dispatching)
        self.tasks.start(self._maintain())
        if self.journal.durability is not None:
            self.tasks.start(self.journal.durability.run())
        self.messages.is_ready = True
        for intake in self.intakes.values():
            await intake.open()

    def _start_sources(self) -> None:
        self.source_tasks = [self.tasks.start(source.run(self.on_endpoint_update)) for source in self.sources]

    def reload(self, config: Config) -> None:
        """Has sources and fronts follow what they can of it; a change of anything else needs a restart.
        Calls, clients and the journal are left alone, so it may come at any moment, also during a stop."""
        if self.is_closed:
            return
        for task in self.source_tasks:  # Guards against waiting on an agent that is about to go
            task.cancel()
        for source in self.sources:
            source.reload(config)
        for intake in self.intakes.values():
            intake.reload(config)
        self._start_sources()

    async def stop(self) -> None:
        """A planned restart: what cannot end in time stays in the journal."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        self.driver.feed(ShutdownScheduled((begun + CALLS_END_S) * 1000))
        await asyncio.sleep(SERVE_ON_S)
        for intake in self.intakes.values():
            intake.stop()
        while (self.messages.pending_count or self.open_requests) and loop.time() < begun + CALLS_END_S + 0.1:
            await asyncio.sleep(LOOK_S)
        while self.pending_outcomes and loop.time() < begun + GONE_S:
            await asyncio.sleep(LOOK_S)
        log.info(
            LogEvent(
                "what is left to the journal",
                messages=self.messages.pending_count,
                ends=self.pending_outcomes,
            )
        )
        await self.close()

    def retire(self) -> None:
        """Takes no new message from now on, and goes on with those that it holds."""
        self.messages.is_retiring = True

    @property
    def is_idle(self) -> bool:
        """Nothing is owed to anybody."""
        return not (self.messages.pending_count or self.pending_outcomes or self.messages.unwritten_outcomes)

    @property
    def open_requests(self) -> int:
        """Connections on which clients may still be answered."""
        return sum(intake.open_requests for intake in self.intakes.values())

    @property
    def pending_outcomes(self) -> int:
        """Ends that are still to be passed on."""
        return sum(intake.pending_outcomes for intake in self.intakes.values())

    async def close(self) -> None:
        self.is_closed = True
        for intake in self.intakes.values():
            intake.stop()
        # Before the calls are cut off: their outcomes would be decided on, and what must not run twice would
        # fail, though nothing of it had gone out.
        self.driver.stop()
        await self.tasks.cancel()
        self._save_snapshot()
        for intake in self.intakes.values():
            await intake.close()
        self.transport.close()
        for source in self.sources:
            source.close()
        if self.journal.durability is not None:
            await self.journal.durability.sync_remaining()
        self.journal.close()
        self.lock.release()

    async def _maintain(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            try:
                self.run_maintenance()
            except Exception:
                log.exception("tidying failed")  # and is tried again: without it the folder fills

    def run_maintenance(self) -> None:
        """Once a second, so that it walks over no more than what is in use."""
        self.transport.sweep()
        self.messages.expire_destinations()
        self.journal.compact(unix_time_ms())
        self._save_snapshot()

    def _save_snapshot(self) -> None:
        """What an earlier process learned stays until this one goes by it."""
        if self.is_dispatching:
            now = self.driver.now()
            learned = self.scheduler.destination_snapshot(now)
            self.learned_destinations = {lane.destination for lane in learned}
            self.snapshot_file.save(unix_time_ms(), learned + self.restored_state.remaining(now))

    # -- what the decisions say --------------------------------------------------------------------------

    def _execute(self, action: Action) -> None:
        match action:
            case StartAttempt(ident, endpoint, until):
                self.attempt_runner.start(ident, endpoint, until)
            case Reject(ident, stay_away):
                self.messages.finish(ident, "returned", stay_away)
            case Fail(ident):
                self.messages.finish(ident, "failed")
            case Cancel(ident):
                held = self.messages.accepted.get(ident)
                if held is not None and held.cancel is not None:
                    held.cancel()
            case WatchEndpoints():
                pass  # the sources are always watched
            case Log(text):
                log.info(LogEvent("decisions", say=text))
            case _:
                log.error(LogEvent("the decisions want what this relay cannot do", action=repr(action)))

    def _rejection_delay_ms(self, message: Message, held: int) -> float | None:
        return self.scheduler.rejection_delay_ms(self.driver.now(), message, held)

    def _notify_outcome(self, origin: str, end: FinalOutcome) -> None:
        intake = self.intakes.get(origin.partition(" ")[0])
        if intake is not None:
            intake.notify_outcome(end)
        else:  # it stays in the journal, and is passed on once that front is back
            log.error(LogEvent("an end waits for a front that is not set up", id=end.id, front=origin))

    def on_endpoint_update(self, update: EndpointUpdate) -> None:
        """A source has told something, or the configuration what was known long ago."""
        self._apply_update(update)
        if self.source_tasks:
            self.reported_sources.add(update.source)
            if len(self.reported_sources) >= len(self.sources):
                self._start_dispatching()

    def _start_dispatching(self) -> None:
        """From now on messages are sent."""
        if not self.is_dispatching and not self.is_closed:
            self.is_dispatching = True
            self.reapply_rules()
            for lane in self.snapshot_file.load(unix_time_ms()):
                if self.destination_interest is None or self.destination_interest.is_resident(
                    lane.destination
                ):
                    self.driver.feed(lane)
                else:
                    self.restored_state.add(self.driver.now(), lane)
                    self.destination_interest.request(lane.destination, float("inf"))
            self.messages.resume(self.directory.number_of)

    def _update_known_destinations(self, dests: set[int]) -> None:
        """Not by a difference of sets: that walks over all that are listed."""
        here = {dest for dest in dests if dest in self.directory.listed_counts}
        self.messages.add_destinations(here)
        self.messages.unlist_destinations(dests - here)

    def _apply_update(self, update: EndpointUpdate) -> None:
        if self.source_merge is not None:
            merged = self.source_merge.merge(update, asyncio.get_running_loop().time())
            if merged is None:
                return
            update = merged
        event, changed, concerned = self.directory.apply(update)
        self._update_known_destinations(concerned)
        if update.is_full:
            here = self.directory.by_number.values()
            self.transport.retain_only({known.key for known in here if known.is_ready})
        else:
            for key, listed in changed:
                self.transport.endpoint_changed(key, listed)
        if self.is_dispatching:
            self.driver.feed(self._constrained(event))
            for lane in self.restored_state.pop_listed(self.driver.now(), event.entries):
                self.driver.feed(lane)

"""A running relay: start, reload and stop, and the execution of the scheduler's actions."""

from __future__ import annotations

import asyncio
import logging

from ..config import Config
from ..decisions.actions import Action, Cancel, Fail, Log, Reject, StartAttempt, WatchEndpoints
from ..decisions.events import EndpointList, Message, RestoredDestination, ShutdownScheduled
from ..decisions.model import Endpoint, ListKind
from ..decisions.rate_control import INITIAL_RATE
from ..decisions.scheduler import DeliveryScheduler
from ..store.destination_snapshot import MAX_FILE_BYTES, DestinationSnapshotFile
from ..store.file_store import DirectoryFileStore
from ..store.journal import Journal
from ..store.lock import DirectoryLock
from ..structured_logging import LogEvent
from .attempt_runner import AttemptRunner
from .clock import unix_time_ms
from .directory import EndpointDirectory
from .endpoint_sources import EndpointSources
from .memory_plan import MemoryPlan
from .message_lifecycle import MessageLifecycle
from .ports import (
    CallPolicy,
    DestinationInterest,
    EndpointSource,
    EndpointUpdate,
    FinalOutcome,
    Intake,
    Transport,
    UpdateMerge,
)
from .restored_state import RestoredState
from .scheduler_driver import SchedulerDriver
from .tasks import BackgroundTasks

log = logging.getLogger(__name__)

MAINTENANCE_INTERVAL_S = 1.0
FULL_FOLDER_FACTOR = 2  # budget of a folder above its share, as a multiple of what it contains
STOP_POLL_S = 0.02  # interval at which a stop checks whether everything is done
INITIAL_LIST_TIMEOUT_S = 0.5  # after the start; then the last known list is used instead of a current one
# Times since SIGTERM.
ACCEPT_AFTER_STOP_S = 0.5  # clients still open new connections for up to 0.4 s
ATTEMPTS_DEADLINE_S = 3.0  # attempts in flight end by then
ATTEMPTS_GRACE_S = 0.1  # additional time for the outcomes of attempts that the deadline ends
STOP_DEADLINE_S = 3.4  # unfinished messages and outcomes stay in the journal


class Relay:
    """Owns the scheduler and the components around it.

    `connect` sets intakes, transport and sources before `start`.
    """

    transport: Transport
    attempt_runner: AttemptRunner

    def __init__(self, config: Config, memory: MemoryPlan | None = None) -> None:
        """`memory`: the shares of the memory limit; None: messages are limited by the disk alone."""
        self.config = config
        self.memory = memory
        self.settings = config.settings
        self.scheduler = DeliveryScheduler(config.settings, config.seed)
        self.driver = SchedulerDriver(self.scheduler, config.settings.tick_ms, self._execute)
        self.lock = DirectoryLock(config.state)
        self.journal = Journal(
            config.state,
            self._files_bytes() - 2 * MAX_FILE_BYTES,
            sync_ms=config.sync_ms,
            memory_bytes=None if memory is None else memory.messages_bytes,
        )
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
        self.sources = EndpointSources(self.tasks, self.on_endpoint_update)
        # The scheduler gets no endpoint, and sends nothing, before the sources have reported. Otherwise
        # messages would be sent to endpoints that drained while no process was running: discovery regards its
        # current list as delivered to this relay as soon as the process starts.
        self.is_dispatching = False
        self.is_closed = False
        self.call_policy: CallPolicy | None = None
        self.destination_interest: DestinationInterest | None = None  # None: all destinations are loaded
        self.restored_state = RestoredState()
        self.learned_destinations: set[int] = set()  # destinations in the last written snapshot

    def connect(
        self,
        intakes: dict[str, Intake],
        transport: Transport,
        sources: list[EndpointSource],
        update_merge: UpdateMerge | None = None,
    ) -> None:
        """Sets the intakes, the transport and the endpoint sources.

        `intakes`: by the name that the journal stores with their messages. `update_merge` is needed if there
        are several sources.
        """
        self.intakes = intakes
        self.transport = transport
        self.sources.use(sources, update_merge)
        self.attempt_runner = AttemptRunner(
            self.scheduler, self.driver, self.messages, self.directory, transport, self.tasks
        )

    def use_destination_interest(self, interest: DestinationInterest, source: EndpointSource) -> None:
        """Loads destinations on demand, from this source alone. Called before `start`."""
        self.destination_interest = interest
        self.messages.destination_interest = interest
        self.attempt_runner.destination_interest = interest
        self.sources.use([source])
        self.scheduler.drain_estimate.unknown_rate = (
            INITIAL_RATE  # for destinations not loaded yet: as for an unlisted rate
        )

    def set_call_policy(self, call_policy: CallPolicy) -> None:
        """Enforces the rules on which the instances agree."""
        self.call_policy = call_policy
        self.attempt_runner.call_policy = call_policy
        self.messages.denial_reason = call_policy.denial_reason

    def is_in_use(self, destination: int) -> bool:
        """Returns whether it has a pending message, an attempt in flight, or unexpired learned state."""
        now = self.driver.now()
        return (
            destination in self.messages.pending_by_destination
            or destination in self.learned_destinations
            or self.restored_state.contains(now, destination)
        )

    # -- lifecycle ---------------------------------------------------------------------------------------

    async def start(self, initial_endpoints: EndpointUpdate | None = None) -> None:
        """Starts all components, with the last known endpoints if any; messages are accepted on return."""
        if not initial_endpoints or self.destination_interest is not None:
            initial_endpoints = EndpointUpdate(is_full=False)
        self._apply_update(initial_endpoints)
        self._limit_messages()
        if self.destination_interest is None:
            self._update_known_destinations({entry.destination for entry in self.messages.pending_entries()})
        self.messages.request_unresumed_destinations()
        self.messages.outcomes.notify_recorded()
        self.sources.start()
        # No wait with a polled discovery service: it counts a list as delivered only once it has responded,
        # and it may be busy while a whole fleet starts.
        awaits_list = self.sources.sources and not self.settings.polls_discovery
        timeout_s = INITIAL_LIST_TIMEOUT_S if awaits_list else 0.0
        asyncio.get_running_loop().call_later(timeout_s, self._start_dispatching)
        self.tasks.start(self._maintain())
        if self.journal.durability is not None:
            self.tasks.start(self.journal.durability.run())
        self.messages.is_ready = True
        for intake in self.intakes.values():
            await intake.open()

    def reload(self, config: Config) -> None:
        """Lets sources and intakes apply a replaced configuration as far as they can without a restart.

        Any other change needs a restart. Attempts, clients and the journal are not affected, so this may be
        called at any time, even during a stop.
        """
        if self.is_closed:
            return
        self.sources.reload(config)
        for intake in self.intakes.values():
            intake.reload(config)
        self.sources.start()

    async def stop(self) -> None:
        """Stops gracefully; what cannot be finished in time stays in the journal for the next process."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        self.driver.feed(ShutdownScheduled((started_s + ATTEMPTS_DEADLINE_S) * 1000))
        for intake in self.intakes.values():
            intake.announce_stop()
        await asyncio.sleep(ACCEPT_AFTER_STOP_S)
        for intake in self.intakes.values():
            intake.stop()
        attempts_end_s = started_s + ATTEMPTS_DEADLINE_S + ATTEMPTS_GRACE_S
        while (self.messages.pending_count or self.open_requests) and loop.time() < attempts_end_s:
            await asyncio.sleep(STOP_POLL_S)
        while self.pending_outcomes and loop.time() < started_s + STOP_DEADLINE_S:
            await asyncio.sleep(STOP_POLL_S)
        pending_count = self.messages.pending_count
        log.info(LogEvent("shutdown left to journal", messages=pending_count, ends=self.pending_outcomes))
        await self.close()

    def retire(self) -> None:
        """Rejects new messages from now on, and continues to process pending ones."""
        self.messages.is_retiring = True

    @property
    def is_idle(self) -> bool:
        """Whether no message is pending and no client is owed an outcome."""
        unwritten = self.messages.outcomes.unwritten
        return not (self.messages.pending_count or self.pending_outcomes or unwritten)

    @property
    def open_requests(self) -> int:
        """Connections on which a client's request may still be answered."""
        return sum(intake.open_requests for intake in self.intakes.values())

    @property
    def pending_outcomes(self) -> int:
        """Final outcomes that have not reached their clients yet."""
        return sum(intake.pending_outcomes for intake in self.intakes.values())

    async def close(self) -> None:
        """Cancels all tasks, closes all connections, and releases the state folder."""
        self.is_closed = True
        for intake in self.intakes.values():
            intake.stop()
        # Stops the scheduler before attempts are cancelled: otherwise it would handle their results, and
        # unsafe messages would fail although none of their bytes had been sent.
        self.driver.stop()
        self.messages.handovers.stop_timers()
        await self.tasks.cancel()
        self._save_snapshot()
        for intake in self.intakes.values():
            await intake.close()
        self.transport.close()
        self.sources.close()
        if self.journal.durability is not None:
            await self.journal.durability.sync_remaining()
        self.journal.close()
        self.lock.release()

    # -- maintenance -------------------------------------------------------------------------------------

    async def _maintain(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            try:
                self.run_maintenance()
            except Exception:
                # Maintenance continues in the next interval: without it the state folder would fill.
                log.exception(LogEvent("maintenance failed"))

    def run_maintenance(self) -> None:
        """Runs once a second; iterates only over destinations and connections in use."""
        self.transport.sweep()
        self.messages.expire_destinations()
        self._limit_messages()
        self.journal.compact(unix_time_ms())
        self._save_snapshot()

    def _files_bytes(self) -> int:
        """Returns the budget of the state folder.

        A folder that an earlier process filled beyond the present share still needs space for the final
        outcomes of its messages, and for their compaction.
        """
        disk_bytes = self.config.disk_bytes
        if self.memory is None:
            return disk_bytes
        used_bytes = sum(DirectoryFileStore(self.config.state).sizes().values())
        if used_bytes <= self.memory.files_bytes:
            return self.memory.files_bytes
        return min(disk_bytes, FULL_FOLDER_FACTOR * used_bytes)

    def _limit_messages(self) -> None:
        """Gives the messages the memory that the listed endpoints leave."""
        if self.memory is not None:
            endpoint_count = len(self.directory.by_number)
            self.journal.memory_limit_bytes = self.memory.messages_bytes_beside(endpoint_count)

    def _save_snapshot(self) -> None:
        """Writes the learned state of destinations.

        The snapshot of an earlier process is kept until this process has read it and is dispatching.
        """
        if self.is_dispatching:
            now = self.driver.now()
            learned = self.scheduler.destination_snapshot(now)
            self.learned_destinations = {restored.destination for restored in learned}
            self.snapshot_file.save(unix_time_ms(), learned + self.restored_state.remaining(now))

    # -- the scheduler's actions -------------------------------------------------------------------------

    def _execute(self, action: Action) -> None:
        match action:
            case StartAttempt(number, endpoint, until_ms):
                self.attempt_runner.start(number, endpoint, until_ms)
            case Reject(number, after_ms):
                self.messages.finish(number, "returned", after_ms)
            case Fail(number):
                self.messages.finish(number, "failed")
            case Cancel(number):
                accepted = self.messages.accepted.get(number)
                if accepted is not None and accepted.cancel is not None:
                    accepted.cancel()
            case WatchEndpoints():
                pass  # the sources are always watched
            case Log(text):
                log.info(LogEvent("scheduler", say=text))
            case _:
                log.error(LogEvent("scheduler action unsupported", action=repr(action)))

    def _rejection_delay_ms(self, message: Message, pending_count: int) -> float | None:
        return self.scheduler.rejection_delay_ms(self.driver.now(), message, pending_count)

    def _notify_outcome(self, origin: str, outcome: FinalOutcome) -> None:
        intake_name = origin.partition(" ")[0]
        intake = self.intakes.get(intake_name)
        if intake is not None:
            intake.notify_outcome(outcome)
        else:  # stays in the journal until a process is configured with this intake again
            log.error(LogEvent("outcome waits for unconfigured intake", id=outcome.id, front=origin))

    # -- endpoints ---------------------------------------------------------------------------------------

    def on_endpoint_update(self, update: EndpointUpdate) -> None:
        """Applies the update of a source, and starts dispatching once all sources have reported."""
        self._apply_update(update)
        if self.sources.mark_reported(update.source):
            self._start_dispatching()

    def reapply_rules(self) -> None:
        """Passes all endpoints to the scheduler again, with the current constraints of the call policy."""
        endpoints = tuple(known.endpoint for known in self.directory.by_number.values())
        if endpoints and self.is_dispatching:
            self.driver.feed(self._constrained(EndpointList(ListKind.CHANGES, endpoints)))

    def _constrained(self, event: EndpointList) -> EndpointList:
        if self.call_policy is None:
            return event
        endpoints = tuple(self._constrained_endpoint(self.call_policy, entry) for entry in event.entries)
        return EndpointList(event.kind, endpoints)

    def _constrained_endpoint(self, call_policy: CallPolicy, endpoint: Endpoint) -> Endpoint:
        known = self.directory.by_number.get(endpoint.id)
        if known is None:
            return endpoint
        zones = self.directory.zones
        zone = zones[endpoint.zone] if endpoint.zone < len(zones) else ""
        return call_policy.constrained_endpoint(known.name, zone, endpoint)

    def _start_dispatching(self) -> None:
        """Gives the scheduler the endpoints, restored state and resumed messages; sending starts."""
        if self.is_dispatching or self.is_closed:
            return
        self.is_dispatching = True
        self.reapply_rules()
        for restored in self.snapshot_file.load(unix_time_ms()):
            self._restore(restored)
        self.messages.resume(self.directory.number_of)

    def _restore(self, restored: RestoredDestination) -> None:
        """Passes a destination's state from an earlier process to the scheduler once it is loaded."""
        interest = self.destination_interest
        if interest is None or interest.is_resident(restored.destination):
            self.driver.feed(restored)
        else:
            self.restored_state.add(self.driver.now(), restored)
            interest.request(restored.destination, float("inf"))

    def _update_known_destinations(self, destinations: set[int]) -> None:
        """Marks destinations as listed or unlisted, without iterating over all listed destinations."""
        listed = {destination for destination in destinations if destination in self.directory.listed_counts}
        self.messages.add_destinations(listed)
        self.messages.unlist_destinations(destinations - listed)

    def _apply_update(self, update: EndpointUpdate) -> None:
        merged = self.sources.merged(update)
        if merged is None:
            return
        changes = self.directory.apply(merged)
        self._update_known_destinations(changes.destinations)
        if merged.is_full:
            endpoints = self.directory.by_number.values()
            self.transport.retain_only({known.key for known in endpoints if known.is_ready})
        else:
            for key, is_listed in changes.endpoints:
                self.transport.endpoint_changed(key, is_listed)
        if self.is_dispatching:
            self.driver.feed(self._constrained(changes.event))
            for restored in self.restored_state.pop_listed(self.driver.now(), changes.event.entries):
                self.driver.feed(restored)

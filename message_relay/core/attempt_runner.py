"""Runs delivery attempts: journals each before its first byte, has a transport make it, records its result.

The runner starts the attempts that the scheduler decided on, and reports every result to it as an event.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable

from ..decisions.events import AttemptCompleted, AttemptConnecting
from ..decisions.model import Effect, Outcome
from ..decisions.scheduler import DeliveryScheduler
from ..store.records import JournalEntry
from ..structured_logging import LogEvent
from .clock import unix_time_ms
from .directory import EndpointDirectory, KnownEndpoint
from .journal_writes import try_write
from .message_lifecycle import AcceptedMessage, MessageLifecycle
from .ports import Attempt, AttemptResult, CallContext, CallPolicy, DestinationInterest, Transport
from .scheduler_driver import SchedulerDriver
from .tasks import BackgroundTasks

log = logging.getLogger(__name__)

# How long an attempt waits until the data of its destination is confirmed as current: longer than a response
# takes, and below most latency objectives.
CONFIRMATION_TIMEOUT_S = 1.0


class CallPermit:
    """The call policy's permission for one call: acquired once, verified again before the last byte."""

    def __init__(self, call_policy: CallPolicy, call: CallContext) -> None:
        self.call_policy = call_policy
        self.call = call
        self.label: str | None = None

    def acquire(self) -> bool:
        """Returns whether the call is allowed; the first positive result reserves it."""
        if self.label is not None:
            return self.call_policy.is_still_authorized(self.call)
        self.label = self.call_policy.authorize(self.call)
        return self.label is not None

    def policy_label(self) -> str:
        """Returns the label of the rules that allow the call; empty until it is allowed."""
        return self.label or ""

    def complete(self, result: AttemptResult, latency_ms: float) -> None:
        """Releases the permission and reports the result of the call."""
        if self.label is not None:
            self.call_policy.release(self.call.destination)
        self.call_policy.record_outcome(self.call, result.outcome, latency_ms, result.retry_after_ms)


class AttemptRunner:
    """Runs each attempt as a task of its own."""

    def __init__(
        self,
        scheduler: DeliveryScheduler,
        driver: SchedulerDriver,
        messages: MessageLifecycle,
        directory: EndpointDirectory,
        transport: Transport,
        tasks: BackgroundTasks,
    ) -> None:
        self.scheduler = scheduler
        self.driver = driver
        self.messages = messages
        self.directory = directory
        self.transport = transport
        self.tasks = tasks
        self.call_policy: CallPolicy | None = None
        self.destination_interest: DestinationInterest | None = None  # None: all destinations are known

    def start(self, number: int, endpoint: int, until_ms: float) -> None:
        """Starts an attempt for a pending message; it times out at `until_ms` on the loop's clock."""
        accepted = self.messages.accepted[number]
        accepted.attempts += 1
        task = self.tasks.start(self._run(number, accepted, endpoint, until_ms))
        # Deferred to after the task's first step: a task that is cancelled before its first step reports no
        # result, and the scheduler would wait for one forever.
        accepted.cancel = lambda: asyncio.get_running_loop().call_soon(task.cancel)

    async def _run(self, number: int, accepted: AcceptedMessage, endpoint: int, until_ms: float) -> None:
        started_ms = self.driver.now()
        entry = accepted.entry
        attempt_index = accepted.attempts - 1
        permit: CallPermit | None = None
        result = AttemptResult(Outcome.NOT_SENT, is_withheld=True)
        try:
            if self.destination_interest is not None:
                await self._wait_until_current(self.destination_interest, entry.destination, until_ms)
            known = self.directory.by_number.get(endpoint)
            if known is not None:
                if self.call_policy is not None:
                    permit = CallPermit(self.call_policy, self._call_context(entry, known))
                may_write = self._write_gate(number, entry, known, permit)
                if await self._wait_until_durable(may_write, until_ms):
                    attempt = self._attempt(number, endpoint, known, entry, until_ms, may_write, permit)
                    result = await self.transport.attempt(attempt)
        except asyncio.CancelledError:
            result = AttemptResult(Outcome.CANCELLED)  # by the scheduler, or at the end of the process
        except Exception:
            # An internal error must not leave the message without a result.
            log.exception(LogEvent("attempt raised an exception"))
            result = AttemptResult(Outcome.RESET if entry.attempt_in_flight else Outcome.CONNECT_FAILED)
        if permit is not None:
            permit.complete(result, self.driver.now() - started_ms)
        event = AttemptCompleted(
            number,
            attempt_index,
            endpoint,
            result.outcome,
            self.driver.now() - started_ms,
            result.is_finished,
            result.retry_after_ms,
            result.no_connection_slot,
            result.load_report,
            result.is_withheld,
        )
        self._complete(number, accepted, event)

    def _attempt(
        self,
        number: int,
        endpoint: int,
        known: KnownEndpoint,
        entry: JournalEntry,
        until_ms: float,
        may_write: Callable[[], bool],
        permit: CallPermit | None,
    ) -> Attempt:
        return Attempt(
            endpoint,
            known.address,
            entry.id,
            entry.key,
            entry.body,
            until_ms / 1000,
            may_write,
            ambiguity_is_final=self.messages.effect(entry) is Effect.UNSAFE,
            policy_label=None if permit is None else permit.policy_label,
            kind=known.kind,
            on_late_connection=lambda: self.driver.feed(AttemptConnecting(number)),
        )

    async def _wait_until_current(
        self, interest: DestinationInterest, destination: int, until_ms: float
    ) -> None:
        """Waits, before a connection is chosen, until the destination's data is current.

        Without this wait an attempt that `may_write` withholds would be made again and again.
        """
        interest.touch(destination)
        deadline_s = min(until_ms / 1000, self.driver.now() / 1000 + CONFIRMATION_TIMEOUT_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline_s):
                while not interest.is_current(destination):
                    await interest.wait_for_renewal()

    def _is_current(self, known: KnownEndpoint) -> bool:
        """Returns whether the endpoint is still listed with the address that the attempt uses.

        Another process may have come up at the former address.
        """
        current = self.directory.by_number.get(known.endpoint.id)
        if current is None or current.key != known.key:
            return False
        interest = self.destination_interest
        return interest is None or interest.is_current(known.endpoint.destination)

    async def _wait_until_durable(self, may_write: Callable[[], bool], until_ms: float) -> bool:
        """Returns whether the attempt may continue.

        With group commit the attempt's record is written and synced before a connection is chosen; otherwise
        it is written right before the first byte.
        """
        durability = self.messages.journal.durability
        if durability is None or not durability.is_group_commit:
            return True
        if not may_write():
            return False
        durable = durability.barrier()
        try:
            async with asyncio.timeout_at(until_ms / 1000):
                if durable is not None:
                    await asyncio.shield(durable)
        except TimeoutError:
            return False
        return True

    def _call_context(self, entry: JournalEntry, known: KnownEndpoint) -> CallContext:
        zones = self.directory.zones
        zone = known.endpoint.zone
        return CallContext(
            entry.id,
            entry.destination,
            known.name,
            zones[zone] if zone < len(zones) else "",
            entry.class_name,
            entry.attempt_count,
            entry.uncertain_attempt is not None,
            entry.key is not None,
        )

    def _write_gate(
        self, number: int, entry: JournalEntry, known: KnownEndpoint, permit: CallPermit | None
    ) -> Callable[[], bool]:
        """Returns the check to run before the first byte on each connection, and before a withheld last byte.

        The check journals the attempt when it first succeeds.
        """
        is_journalled = False

        def may_write() -> bool:
            nonlocal is_journalled
            if not self.scheduler.may_write(self.driver.now(), number) or not self._is_current(known):
                return False
            if permit is not None and not permit.acquire():
                return False
            is_journalled = is_journalled or try_write(
                lambda: self.messages.journal.append_attempt(
                    entry, unix_time_ms(), known.name, known.endpoint.zone, self.driver.now()
                )
            )
            return is_journalled

        return may_write

    def _complete(self, number: int, accepted: AcceptedMessage, event: AttemptCompleted) -> None:
        """Journals the result of an attempt and hands it to the scheduler."""
        accepted.cancel = None
        entry = accepted.entry
        messages = self.messages
        if messages.journal.entries.get(entry.id) is entry:  # else it is a later message with the same id
            if event.is_final:
                messages.release(number)
                messages.outcomes.record(entry, "delivered" if event.outcome is Outcome.OK else "over")
            elif entry.attempt_in_flight is not None:
                may_have_run = not event.outcome.proves_no_effect
                try_write(lambda: messages.journal.append_outcome(entry, may_have_run))
        self.driver.feed(event)

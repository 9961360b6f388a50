"""One attempt: journalled before its first byte, made by a transport, its outcome kept and handed on."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable

from ..decisions.events import AttemptCompleted
from ..decisions.model import Effect, Outcome
from ..decisions.scheduler import DeliveryScheduler
from ..store.records import JournalEntry
from .directory import EndpointDirectory, KnownEndpoint
from .message_lifecycle import AcceptedMessage, MessageLifecycle, unix_time_ms
from .ports import Attempt, AttemptResult, CallContext, CallPolicy, DestinationInterest, Transport
from .scheduler_driver import SchedulerDriver
from .tasks import BackgroundTasks

log = logging.getLogger(__name__)

CURRENT_S = 1.0  # a call waits so long for what is known to be confirmed: past an answer, under most aims


class CallPermit:
    """One call's, by rules on which the instances agree: taken once, and looked at again before the last
    byte."""

    def __init__(self, permits: CallPolicy, call: CallContext) -> None:
        self.call_policy, self.call = permits, call
        self.label: str | None = None

    def acquire(self) -> bool:
        if self.label is not None:
            return self.call_policy.is_still_authorized(self.call)
        self.label = self.call_policy.authorize(self.call)
        return self.label is not None

    def policy_label(self) -> str:
        return self.label or ""

    def complete(self, result: AttemptResult, latency_ms: float) -> None:
        if self.label is not None:
            self.call_policy.release(self.call.destination)
        self.call_policy.record_outcome(self.call, result.outcome, latency_ms, result.retry_after_ms)


class AttemptRunner:
    def __init__(
        self,
        relay: DeliveryScheduler,
        turns: SchedulerDriver,
        messages: MessageLifecycle,
        directory: EndpointDirectory,
        transport: Transport,
        tasks: BackgroundTasks,
    ) -> None:
        self.scheduler, self.driver, self.messages = relay, turns, messages
        self.directory, self.transport, self.tasks = directory, transport, tasks
        self.call_policy: CallPolicy | None = None
        self.destination_interest: DestinationInterest | None = None  # None: all destinations are known

    def start(self, number: int, endpoint: int, until_ms: float) -> None:
        held = self.messages.accepted[number]
        held.attempts += 1
        task = self.tasks.start(self._run(number, held, endpoint, until_ms))
        # Not before its first step: a task that is cancelled before it says nothing, and the module would
        # wait for its outcome for good.
        held.cancel = lambda: asyncio.get_running_loop().call_soon(task.cancel)

    async def _run(self, number: int, held: AcceptedMessage, endpoint: int, until_ms: float) -> None:
        begun, entry, attempt = self.driver.now(), held.entry, held.attempts - 1
        permit: CallPermit | None = None
        known = self.directory.by_number.get(endpoint)
        result = AttemptResult(Outcome.NOT_SENT, withheld=True)
        try:
            if self.destination_interest is not None:
                await self._wait_until_current(self.destination_interest, entry.destination, until_ms)
                known = self.directory.by_number.get(endpoint)  # it may have moved meanwhile
            if known is not None and self.call_policy is not None:
                permit = CallPermit(self.call_policy, self._call_context(entry, known))
            gate = None if known is None else self._write_gate(number, entry, known, permit)
            if known is not None and gate is not None and await self._wait_until_durable(gate, until_ms):
                result = await self.transport.attempt(
                    Attempt(
                        endpoint,
                        known.address,
                        entry.id,
                        entry.key,
                        entry.body,
                        until_ms / 1000,
                        gate,
                        ambiguity_is_final=self.messages.effect(entry) is Effect.UNSAFE,
                        policy_label=None if permit is None else permit.policy_label,
                        kind=known.kind,
                    )
                )
        except asyncio.CancelledError:
            result = AttemptResult(Outcome.CANCELLED)  # by the module, or at the end of the process
        except Exception:
            # A fault of ours must not leave the message without an outcome.
            log.exception("a call failed")
            result = AttemptResult(Outcome.RESET if entry.attempt_in_flight else Outcome.CONNECT_FAILED)
        if permit is not None:
            permit.complete(result, self.driver.now() - begun)
        self._complete(
            number,
            held,
            AttemptCompleted(
                number,
                attempt,
                endpoint,
                result.outcome,
                self.driver.now() - begun,
                result.finished,
                result.retry_after_ms,
                result.no_connection_slot,
                result.load_report,
                result.withheld,
            ),
        )

    async def _wait_until_current(self, interest: DestinationInterest, dest: int, until_ms: float) -> None:
        """Before a connection is looked for. Without a wait here a call that the gate holds back would be
        made again and again."""
        interest.touch(dest)
        at = min(until_ms / 1000, self.driver.now() / 1000 + CURRENT_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(at):
                while not interest.is_current(dest):
                    await interest.wait_for_renewal()

    def _is_current(self, known: KnownEndpoint) -> bool:
        """Whether it may be called where it was known to be."""
        if self.destination_interest is None:
            return True
        now = self.directory.by_number.get(known.endpoint.id)
        return (
            now is not None
            and now.key == known.key
            and self.destination_interest.is_current(known.endpoint.destination)
        )

    async def _wait_until_durable(self, gate: Callable[[], bool], until_ms: float) -> bool:
        """Where a record has to outlast a power cut before it counts, it is written before the connection is
        looked for; elsewhere right before the first byte."""
        durability = self.messages.journal.durability
        if durability is None or not durability.is_group_commit:
            return True
        if not gate():
            return False
        safe = durability.barrier()
        try:
            async with asyncio.timeout_at(until_ms / 1000):
                if safe is not None:
                    await asyncio.shield(safe)
        except TimeoutError:
            return False
        return True

    def _call_context(self, entry: JournalEntry, known: KnownEndpoint) -> CallContext:
        zones, zone = self.directory.zones, known.endpoint.zone
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
        """Asked before the first byte on each connection, and before the last; one attempt in the journal."""
        noted = False

        def may_write() -> bool:
            nonlocal noted
            if not self.scheduler.may_write(self.driver.now(), number) or not self._is_current(known):
                return False
            if permit is not None and not permit.acquire():
                return False
            noted = noted or self.messages.try_write(
                lambda: self.messages.journal.append_attempt(
                    entry, unix_time_ms(), known.name, known.endpoint.zone, self.driver.now()
                )
            )
            return noted

        return may_write

    def _complete(self, number: int, held: AcceptedMessage, event: AttemptCompleted) -> None:
        messages, entry, held.cancel = self.messages, held.entry, None
        if messages.journal.entries.get(entry.id) is entry:  # and no later message under its id
            if event.finished:
                messages.release(number)
                messages.record_outcome(entry, "delivered" if event.outcome is Outcome.OK else "over")
            elif entry.attempt_in_flight is not None:
                ran = not event.outcome.proves_no_effect
                messages.try_write(lambda: messages.journal.append_outcome(entry, ran))
        self.driver.feed(event)

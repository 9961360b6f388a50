"""One attempt: journalled before its first byte, made by a transport, its outcome kept and handed on."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable

from ..decisions.events import AttemptCompleted
from ..decisions.model import Effect, Outcome
from ..decisions.scheduler import DeliveryScheduler
from ..store.journal import JournalEntry
from .directory import EndpointDirectory, KnownEndpoint
from .message_lifecycle import AcceptedMessage, MessageLifecycle, unix_time_ms
from .ports import Attempt, AttemptResult, CallContext, CallPolicy, DestinationInterest, Transport
from .scheduler_driver import SchedulerDriver
from .tasks import BackgroundTasks

log = logging.getLogger(__name__)

CURRENT_S = 1.0  # a call waits so long for what is known to be confirmed: past an answer, under most aims


class Permit:
    """One call's, by rules on which the instances agree: taken once, and looked at again before the last
    byte."""

    def __init__(self, permits: CallPolicy, call: CallContext) -> None:
        self.permits, self.call = permits, call
        self.label: str | None = None

    def given(self) -> bool:
        if self.label is not None:
            return self.permits.is_still_authorized(self.call)
        self.label = self.permits.authorize(self.call)
        return self.label is not None

    def said(self) -> str:
        return self.label or ""

    def over(self, result: AttemptResult, latency_ms: float) -> None:
        if self.label is not None:
            self.permits.release(self.call.destination)
        self.permits.record_outcome(self.call, result.outcome, latency_ms, result.wait_ms)


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
        self.relay, self.turns, self.messages = relay, turns, messages
        self.directory, self.transport, self.tasks = directory, transport, tasks
        self.permits: CallPolicy | None = None
        self.interest: DestinationInterest | None = None  # None: all destinations are known

    def begin(self, number: int, endpoint: int, until_ms: float) -> None:
        held = self.messages.accepted[number]
        held.attempts += 1
        task = self.tasks.start(self._make(number, held, endpoint, until_ms))
        # Not before its first step: a task that is cancelled before it says nothing, and the module would
        # wait for its outcome for good.
        held.cancel = lambda: asyncio.get_running_loop().call_soon(task.cancel)

    async def _make(self, number: int, held: AcceptedMessage, endpoint: int, until_ms: float) -> None:
        begun, entry, attempt = self.turns.now(), held.entry, held.attempts - 1
        permit: Permit | None = None
        known = self.directory.by_number.get(endpoint)
        result = AttemptResult(Outcome.NOT_SENT, withheld=True)
        try:
            if self.interest is not None:
                await self._confirmed(self.interest, entry.destination, until_ms)
                known = self.directory.by_number.get(endpoint)  # it may have moved meanwhile
            if known is not None and self.permits is not None:
                permit = Permit(self.permits, self._call(entry, known))
            gate = None if known is None else self._gate(number, entry, known, permit)
            if known is not None and gate is not None and await self._safe(gate, until_ms):
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
                        mark=None if permit is None else permit.said,
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
            permit.over(result, self.turns.now() - begun)
        self._ended(
            number,
            held,
            AttemptCompleted(
                number,
                attempt,
                endpoint,
                result.outcome,
                self.turns.now() - begun,
                result.finished,
                result.wait_ms,
                result.no_slot,
                result.report,
                result.withheld,
            ),
        )

    async def _confirmed(self, interest: DestinationInterest, dest: int, until_ms: float) -> None:
        """Before a connection is looked for. Without a wait here a call that the gate holds back would be
        made again and again."""
        interest.touch(dest)
        at = min(until_ms / 1000, self.turns.now() / 1000 + CURRENT_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(at):
                while not interest.is_current(dest):
                    await interest.wait_for_renewal()

    def _stands(self, known: KnownEndpoint) -> bool:
        """Whether it may be called where it was known to be."""
        if self.interest is None:
            return True
        now = self.directory.by_number.get(known.entry.id)
        return now is not None and now.key == known.key and self.interest.is_current(known.entry.destination)

    async def _safe(self, gate: Callable[[], bool], until_ms: float) -> bool:
        """Where a record has to outlast a power cut before it counts, it is written before the connection is
        looked for; elsewhere right before the first byte."""
        durability = self.messages.journal.durability
        if durability is None or not durability.group:
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

    def _call(self, entry: JournalEntry, known: KnownEndpoint) -> CallContext:
        zones, zone = self.directory.zones, known.entry.zone
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

    def _gate(
        self, number: int, entry: JournalEntry, known: KnownEndpoint, permit: Permit | None
    ) -> Callable[[], bool]:
        """Asked before the first byte on each connection, and before the last; one attempt in the journal."""
        noted = False

        def may_write() -> bool:
            nonlocal noted
            if not self.relay.may_write(self.turns.now(), number) or not self._stands(known):
                return False
            if permit is not None and not permit.given():
                return False
            noted = noted or self.messages.write(
                lambda: self.messages.journal.append_attempt(
                    entry, unix_time_ms(), known.name, known.entry.zone, self.turns.now()
                )
            )
            return noted

        return may_write

    def _ended(self, number: int, held: AcceptedMessage, event: AttemptCompleted) -> None:
        messages, entry, held.cancel = self.messages, held.entry, None
        if messages.journal.entries.get(entry.id) is entry:  # and no later message under its id
            if event.finished:
                messages.let_go(number)
                messages.end(entry, "delivered" if event.outcome is Outcome.OK else "over")
            elif entry.attempt_in_flight is not None:
                ran = not event.outcome.proves_no_effect
                messages.write(lambda: messages.journal.append_outcome(entry, ran))
        self.turns.feed(event)

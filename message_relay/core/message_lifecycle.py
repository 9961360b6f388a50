"""The messages that the relay has accepted, from their journal entry to their final outcome.

`MessageLifecycle` is the acceptor that every intake submits to, and owns all pending messages. The scheduler
decides which endpoint is called and whether an attempt is retried; `OutcomeNotification` records outcomes and
passes them on.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..decisions.events import Event, Message, MessageCancelled
from ..decisions.idempotency import allows_late_resubmission, requires_handover
from ..decisions.load_shedding import SHEDDING_THRESHOLD
from ..decisions.model import FOREVER, Effect, Settings
from ..store.errors import JournalError
from ..store.journal import Journal
from ..store.records import CANCELLED_STATE, DEFAULT_ORIGIN, JournalEntry
from ..structured_logging import LogEvent
from . import resume
from .acceptance import SubmissionValidator, journal_entry
from .clock import unix_time_ms
from .handover import PendingHandovers
from .journal_writes import try_write
from .log_limit import LogLimit
from .outcome_notification import OutcomeCallback, OutcomeNotification
from .ports import DestinationInterest, Submission, SubmissionResult

log = logging.getLogger(__name__)

MIN_REJECTION_DELAY_S = 0.05  # minimum Retry-After of a submission that the scheduler rejects
UNAVAILABLE_RETRY_AFTER_S = 1.0  # Retry-After while the relay itself cannot accept messages
UNLISTED_RETENTION_MS = 60_000.0  # a destination without endpoints stays known: past any deadline
REJECTED_COUNT = "turned away"  # key of the rejected submissions in the counts shown in status


@dataclass(slots=True)
class AcceptedMessage:
    """A message that is pending in the scheduler or has an attempt in flight."""

    entry: JournalEntry
    attempts: int = 0  # attempts made by this process, as the scheduler counts them
    cancel: Callable[[], object] | None = None  # cancels the attempt in flight
    claims: int = 1  # responses that did or will report the message as accepted


def _never_rejects(message: Message, pending: int) -> float | None:
    return None


class MessageLifecycle:
    """Accepts messages, owns the pending ones, and gives each its final state."""

    def __init__(
        self,
        settings: Settings,
        journal: Journal,
        now: Callable[[], float],
        on_event: Callable[[Event], None],
        on_outcome: OutcomeCallback,
        rejection_delay_ms: Callable[[Message, int], float | None] = _never_rejects,
    ) -> None:
        """Creates a lifecycle with the unfinished messages of the journal, to be resumed later.

        `now`: the loop's clock in ms. `on_event` passes an event to the scheduler, `on_outcome` a final
        outcome to the intake of its message. `rejection_delay_ms`: for a message and the number of pending
        messages, the delay after which a rejected message may be submitted again; None if the scheduler
        accepts it.
        """
        self.settings = settings
        self.journal = journal
        self.now = now
        self.on_event = on_event
        self.rejection_delay_ms = rejection_delay_ms
        self.validator = SubmissionValidator(settings, self._is_unknown)
        self.outcomes = OutcomeNotification(journal, on_outcome)
        self.known_destinations: dict[int, float] = {}  # time until which each stays known
        self.unlisted: deque[tuple[float, int]] = deque()  # (expiry time, destination), earliest first
        self.accepted: dict[int, AcceptedMessage] = {}
        self.numbers_by_id: dict[str, int] = {}
        self.last_number = 0
        self.handovers = PendingHandovers(self._on_handover_expired)
        self.unresumed: list[JournalEntry] = []  # messages of an earlier process, until `resume`
        self.number_of: Callable[[str], int] | None = None  # returns an endpoint's number; set by `resume`
        self._restore(resume.unfinished_entries(journal))
        self._rejection_log = LogLimit()
        self.is_ready = False
        self.is_retiring = False  # permanently accepts no new messages
        self.on_submission: Callable[[Submission], None] | None = None  # called for each valid submission
        self.denial_reason: Callable[[int, str], str] | None = None  # by destination and class; empty: none
        self.destination_interest: DestinationInterest | None = None  # None: all destinations are loaded
        self.pending_by_destination: dict[int, set[int]] = {}  # maintained only with `destination_interest`

    # -- acceptance --------------------------------------------------------------------------------------

    @property
    def pending_count(self) -> int:
        """Messages without a final outcome, those of an earlier process included."""
        return len(self.accepted) + len(self.unresumed) + len(self.handovers)

    def pending_entries(self) -> list[JournalEntry]:
        """Returns the journal entries of all pending messages, those of an earlier process included."""
        accepted_entries = [accepted.entry for accepted in self.accepted.values()]
        return accepted_entries + self.unresumed + self.handovers.entries()

    @property
    def has_capacity(self) -> bool:
        """Whether one more message can await its handover, and displaces no pending one."""
        max_pending = self.settings.max_pending_messages
        return (
            self.pending_count + 1 < SHEDDING_THRESHOLD * max_pending
            and self.handovers.has_capacity(max_pending)
            and not self.is_retiring
        )

    def has_message(self, message_id: str) -> bool:
        """Returns whether a message was accepted before, whatever its state."""
        return message_id in self.journal.entries

    def accept(self, submission: Submission) -> SubmissionResult:
        """Journals or rejects a submission synchronously.

        Raises InvalidMessageError for a submission that can never be accepted.
        """
        self.validator.validate(submission)
        if self.on_submission is not None:
            self.on_submission(submission)
        if self.has_message(submission.id):
            return self._accept_again(submission.id)
        unavailable = self._unavailable_reason(submission)
        if unavailable:
            return SubmissionResult(False, reason=unavailable, retry_after_s=UNAVAILABLE_RETRY_AFTER_S)
        message = self.validator.message(self.last_number + 1, submission, float(submission.remaining_ms))
        delay_ms = self.rejection_delay_ms(message, self.pending_count)
        if delay_ms is not None:
            self.outcomes.counts[REJECTED_COUNT] += 1
            retry_after_s = max(MIN_REJECTION_DELAY_S, delay_ms / 1000)
            return SubmissionResult(
                False, reason="others that are held come first", retry_after_s=retry_after_s
            )
        awaits_handover = submission.is_redeliverable and requires_handover(
            self._effect(submission.class_name)
        )
        entry = journal_entry(submission, unix_time_ms(), awaits_handover)
        try:
            self.journal.append_accepted(entry)
        except JournalError as error:
            count = self._rejection_log.add(self.now() / 1000)
            if count:
                log.warning(LogEvent("message rejected", id=submission.id, why=error, count=count))
            return SubmissionResult(False, reason=str(error), retry_after_s=UNAVAILABLE_RETRY_AFTER_S)
        if awaits_handover:
            self.handovers.add(entry)
        else:
            self._add_pending(entry, message)
        durable = self.journal.barrier()
        return SubmissionResult(True, is_new=True, durable=durable, awaits_handover=awaits_handover)

    def _accept_again(self, message_id: str) -> SubmissionResult:
        if self.journal.entries[message_id].final_state == CANCELLED_STATE:
            return SubmissionResult(
                False, reason="its client left, and it may have taken effect", may_have_run=True
            )
        number = self.numbers_by_id.get(message_id)
        if number is not None:
            self.accepted[number].claims += 1
        self.handovers.add_delivery(message_id)
        awaits_handover = self.journal.entries[message_id].awaits_handover
        return SubmissionResult(True, durable=self.journal.barrier(), awaits_handover=awaits_handover)

    def _unavailable_reason(self, submission: Submission) -> str:
        """Returns why the relay does not accept this message now; empty if it may."""
        if self.is_retiring:
            return "this relay is being taken out of service"
        if self.denial_reason is not None:
            reason = self.denial_reason(submission.destination, submission.class_name)
            if reason:
                return reason
        if self.pending_count >= self.settings.max_pending_messages:
            return "this relay holds as many messages as it may"
        return ""

    def cancel(self, message_id: str) -> bool:
        """Withdraws a message whose client never received the response and will resubmit it under another id.

        Returns True if no attempt of it was made.
        """
        number = self.numbers_by_id.get(message_id)
        if number is None:
            return False
        accepted = self.accepted[number]
        is_untried = not accepted.attempts
        accepted.claims -= 1
        if accepted.claims > 0:  # another connection submitted it too, and got a response
            return False
        if is_untried or self.effect(accepted.entry) is Effect.SAFE:
            try_write(lambda: self.journal.append_cancelled(accepted.entry))
        else:
            # Stays known: the same id may come again, and must not run twice.
            self.outcomes.record(accepted.entry, CANCELLED_STATE)
        self.release(number)
        self.on_event(MessageCancelled(number))
        return is_untried

    # -- handovers ---------------------------------------------------------------------------------------

    def confirm_handover(self, message_id: str) -> None:
        """Makes a message pending whose source has given up its copy."""
        entry = self.journal.entries.get(message_id)
        if entry is None or not entry.awaits_handover:
            return
        if entry.final_state:
            if not entry.is_unfinished:  # it will not be delivered again, so that nobody needs its outcome
                try_write(lambda: self.journal.append_cancelled(entry))
            return
        try_write(lambda: self.journal.append_handed_over(entry))
        pending = self.handovers.remove(message_id)
        if pending is None:
            return
        if pending.is_resumed:
            self._resume_entry(entry)
        else:
            remaining_ms = entry.deadline_ms - unix_time_ms()
            self._add_pending(entry, self.validator.message(self.last_number + 1, entry, remaining_ms))

    def abandon_handover(self, message_id: str) -> None:
        """Forgets a message if its source was never asked to give up its copy."""
        entry = self.handovers.drop_delivery(message_id)
        if entry is not None:
            log.info(LogEvent("message left to its queue", id=message_id))
            try_write(lambda: self.journal.append_cancelled(entry))

    def _on_handover_expired(self, entry: JournalEntry) -> None:
        log.warning(LogEvent("message failed: handover not confirmed", id=entry.id))
        self.outcomes.record(entry, "failed")

    def mark_notified(self, message_ids: list[str]) -> None:
        """Records that the final outcomes of these messages have reached their clients."""
        try_write(lambda: self.journal.append_notified(message_ids))

    # -- pending messages --------------------------------------------------------------------------------

    def resume(self, number_of: Callable[[str], int]) -> None:
        """Makes the unfinished messages of an earlier process pending: each is owed a final outcome.

        Ages and remaining times are computed now, so that the wait for the endpoint list does not extend a
        message's time. `number_of` returns the number of an endpoint by its name.
        """
        self.number_of = number_of
        self.handovers.start_timers()
        entries = self.unresumed
        self.unresumed = []
        for entry in entries:
            if self.journal.entries.get(entry.id) is entry:
                self._resume_entry(entry)

    def _restore(self, entries: list[JournalEntry]) -> None:
        """Retains the unfinished messages of an earlier process until `resume`."""
        for entry in entries:
            if entry.awaits_handover:
                self.handovers.restore(entry)
            else:
                self.unresumed.append(entry)

    def _resume_entry(self, entry: JournalEntry) -> None:
        """Makes a message of an earlier process pending, at once or in `resume`."""
        if self.number_of is None:
            self.unresumed.append(entry)
            return
        if entry.class_name not in self.validator.class_indexes:  # the settings no longer have its class
            self.outcomes.record(entry, "failed")
            return
        unix_ms = unix_time_ms()
        message = self.validator.message(self.last_number + 1, entry, entry.deadline_ms - unix_ms)
        self._add_pending(entry, resume.with_history(message, entry, unix_ms, self.now(), self.number_of))
        self.accepted[self.last_number].claims += 1  # the earlier process reported it as accepted

    def _add_pending(self, entry: JournalEntry, message: Message) -> None:
        self.last_number = message.id
        self.accepted[message.id] = AcceptedMessage(entry)
        self.numbers_by_id[entry.id] = message.id
        self.on_event(message)
        if self.destination_interest is not None:
            self.pending_by_destination.setdefault(entry.destination, set()).add(message.id)
            self._register_interest(self.destination_interest, entry)

    def effect(self, entry: JournalEntry) -> Effect:
        """Returns the effect of repeating a message, as its class defines it."""
        return self._effect(entry.class_name)

    def _effect(self, class_name: str) -> Effect:
        return self.settings.classes[self.validator.class_indexes[class_name]].effect

    def finish(self, number: int, state: str, after_ms: float = 0.0) -> None:
        """Gives a pending message its final state, as the scheduler decided."""
        accepted = self.accepted.get(number)
        if accepted is None:
            return
        self.release(number)
        if state == "returned" and not self._is_resubmission_harmless(accepted.entry):
            state, after_ms = "failed", 0.0
        self.outcomes.record(accepted.entry, state, after_ms)

    def _is_resubmission_harmless(self, entry: JournalEntry) -> bool:
        """Returns whether a client may submit a message again that the scheduler has rejected.

        The scheduler expects it soon, as of the platform's clients. The client of another intake may submit
        it when its destination no longer knows its key.
        """
        if entry.origin == DEFAULT_ORIGIN:
            return True
        return allows_late_resubmission(self.effect(entry), entry.may_have_run)

    def release(self, number: int) -> None:
        """Removes a message from the pending ones; an attempt in flight keeps its own reference."""
        accepted = self.accepted.pop(number, None)
        if accepted is None:
            return
        entry = accepted.entry
        self.numbers_by_id.pop(entry.id, None)
        entry.body = b""
        pending = self.pending_by_destination.get(entry.destination)
        if pending is not None:
            pending.discard(number)
            if not pending:
                del self.pending_by_destination[entry.destination]

    # -- destinations ------------------------------------------------------------------------------------

    def add_destinations(self, destinations: Iterable[int]) -> None:
        """Marks destinations as listed, and so as known."""
        self.known_destinations.update(dict.fromkeys(destinations, FOREVER))

    def unlist_destinations(self, destinations: Iterable[int]) -> None:
        """Marks destinations as unlisted.

        They stay known for UNLISTED_RETENTION_MS: their endpoints may be about to be replaced.
        """
        until = self.now() + UNLISTED_RETENTION_MS
        for destination in destinations:
            self.known_destinations[destination] = until
            self.unlisted.append((until, destination))

    def expire_destinations(self) -> None:
        """Removes the destinations that have been unlisted for UNLISTED_RETENTION_MS."""
        now = self.now()
        while self.unlisted and self.unlisted[0][0] <= now:
            until, destination = self.unlisted.popleft()
            if self.known_destinations.get(destination) == until:
                del self.known_destinations[destination]

    def _is_unknown(self, destination: int) -> bool:
        """Returns whether a destination is known not to exist; False while its data is not loaded."""
        if destination in self.known_destinations:
            return False
        interest = self.destination_interest
        return interest is None or (interest.is_resident(destination) and not interest.contains(destination))

    def _register_interest(self, interest: DestinationInterest, entry: JournalEntry) -> None:
        if interest.is_resident(entry.destination):
            interest.touch(entry.destination)
        else:
            deadline_ms = self.now() + entry.deadline_ms - unix_time_ms()
            interest.request(entry.destination, deadline_ms / 1000)

    def request_unresumed_destinations(self) -> None:
        """Requests the destinations of an earlier process's messages, earliest deadline first."""
        if self.destination_interest is not None:
            for entry in self.unresumed:
                self._register_interest(self.destination_interest, entry)

    def fail_unknown_destination(self, destination: int) -> None:
        """Fails the messages of a destination that turns out not to exist."""
        for number in list(self.pending_by_destination.get(destination, ())):
            if self.accepted[number].cancel is None:  # an attempt in flight reports its outcome first
                self.finish(number, "failed")
                self.on_event(MessageCancelled(number))

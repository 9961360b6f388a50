"""The messages that the relay has taken on, from the journal to their final answer; every front's desk."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from ..decisions.events import Event, Message, MessageCancelled
from ..decisions.load_shedding import SHEDDING_THRESHOLD
from ..decisions.model import FOREVER, Effect, Endpoint, Listing, Settings
from ..store.errors import JournalError
from ..store.journal import Journal
from ..store.records import Attempt, JournalEntry
from ..structured_logging import LogEvent
from .ports import DestinationInterest, FinalOutcome, InvalidMessageError, Submission, SubmissionResult

log = logging.getLogger(__name__)

NAME_BYTES = 200  # an id or a key, at most
BODY_BYTES = 64 * 1024  # of a message, at most
LEFT_MS = 999_999_999  # the longest time to live that makes sense
AGAIN_S = 0.05  # a disk that takes no records is tried again so much later
TURNED_AWAY_S = 0.05  # a client that is turned away without a time is told to come again so much later
RETRY_S = 1.0  # a client that finds the hold full is told to come again so much later
DEST_MS = 60_000.0  # a destination without endpoints is known for so long: past any message's time


def unix_time_ms() -> float:
    return time.time() * 1000


@dataclass(slots=True)
class AcceptedMessage:
    """A message that the module holds, or for which a call is out."""

    entry: JournalEntry
    attempts: int = 0  # sends of this process, as the module counts them
    cancel: Callable[[], object] | None = None  # gives up the call that is out
    claims: int = 1  # times that somebody was told, or waits to be told, that it is taken on


class MessageLifecycle:
    """Takes, holds and ends; which endpoint and whether again is not decided here."""

    def __init__(
        self,
        settings: Settings,
        journal: Journal,
        now: Callable[[], float],
        feed: Callable[[Event], None],
        pass_on: Callable[[str, FinalOutcome], None],
        turned_away: Callable[[Message, int], float | None] = lambda message, held: None,
    ) -> None:
        """`turned_away`: the decisions' word on one that is offered while so many are held: when to come
        instead (ms), or None."""
        self.settings, self.journal, self.rejection_delay_ms = settings, journal, turned_away
        self.now, self.on_event, self.on_outcome = now, feed, pass_on
        self.classes = {cls.name: n for n, cls in enumerate(settings.classes)}
        self.tenants = {tenant.name: n for n, tenant in enumerate(settings.tenants)}
        self.known_destinations: dict[
            int, float
        ] = {}  # each destination listed of late, and until when it is known
        self.leaving: deque[tuple[float, int]] = deque()  # not listed, earliest first: DEST_MS of changes
        self.accepted: dict[int, AcceptedMessage] = {}
        # Left by an earlier process, and taken up by `resume`: the earliest end first.
        self.unresumed = sorted(
            (one for one in journal.entries.values() if not one.final_state), key=lambda one: one.deadline_ms
        )
        self.numbers_by_id: dict[str, int] = {}
        self.last_number = 0
        self.unwritten_outcomes: list[
            JournalEntry
        ] = []  # ended, but the journal does not take it yet: no more than are held
        self.on_submission: Callable[[Submission], None] | None = None  # hears of each message that comes
        self.is_ready = False
        self.outcome_counts: Counter[str] = Counter()  # of this process: messages by how they ended
        self.is_retiring = False  # takes nothing new, for good
        self.denial_reason: Callable[[int, str], str] | None = (
            None  # why none is taken for a destination and class
        )
        self.destination_interest: DestinationInterest | None = None  # None: all destinations are known
        self.pending_by_destination: dict[int, set[int]] = {}  # with interest: what is held, by destination

    # -- the desk ----------------------------------------------------------------------------------------

    @property
    def pending_count(self) -> int:
        return len(self.accepted) + len(self.unresumed)

    def pending_entries(self) -> list[JournalEntry]:
        """All that are held, what an earlier process left too."""
        return [held.entry for held in self.accepted.values()] + self.unresumed

    @property
    def has_capacity(self) -> bool:
        return (
            self.pending_count + 1 < SHEDDING_THRESHOLD * self.settings.max_pending_messages
            and not self.is_retiring
        )

    def accept(self, offer: Submission) -> SubmissionResult:
        """All of it happens before the next event of the loop."""
        self._check(offer)
        if self.on_submission is not None:
            self.on_submission(offer)
        if offer.id in self.journal.entries:  # also while it is under way: it is one, however often it comes
            if (number := self.numbers_by_id.get(offer.id)) is not None:
                self.accepted[number].claims += 1
            return SubmissionResult(True, durable=self.journal.barrier())
        if self.is_retiring:
            return SubmissionResult(
                False, reason="this relay is being taken out of service", retry_after_s=RETRY_S
            )
        barred = (
            self.denial_reason(offer.destination, offer.class_name) if self.denial_reason is not None else ""
        )
        if barred:
            return SubmissionResult(False, reason=barred, retry_after_s=RETRY_S)
        if self.pending_count >= self.settings.max_pending_messages:
            return SubmissionResult(
                False, reason="this relay holds as many messages as it may", retry_after_s=RETRY_S
            )
        message = self._message(offer, float(offer.remaining_ms))
        come_ms = self.rejection_delay_ms(message, self.pending_count)
        if come_ms is not None:
            self.outcome_counts["turned away"] += 1
            wait = max(TURNED_AWAY_S, come_ms / 1000)
            return SubmissionResult(False, reason="others that are held come first", retry_after_s=wait)
        now = unix_time_ms()
        entry = JournalEntry(
            offer.id,
            offer.class_name,
            offer.tenant,
            offer.destination,
            offer.idempotency_key,
            now,
            now + offer.remaining_ms,
            offer.resubmission[:16],
            offer.body,
            origin=offer.origin,
        )
        try:
            self.journal.append_accepted(entry)
        except JournalError as error:
            log.warning(LogEvent("a message is refused", id=offer.id, why=error))
            return SubmissionResult(False, reason=str(error), retry_after_s=RETRY_S)
        self._hold(entry, message)
        return SubmissionResult(True, is_new=True, durable=self.journal.barrier())

    def _check(self, offer: Submission) -> None:
        class_ = self.classes.get(offer.class_name)
        if class_ is None:
            raise InvalidMessageError("class", f"{offer.class_name!r} is none of {', '.join(self.classes)}")
        for name, text in (
            ("id", offer.id),
            ("key", "-" if offer.idempotency_key is None else offer.idempotency_key),
        ):
            if not 0 < len(text) <= NAME_BYTES or not text.isascii() or not text.isprintable():
                raise InvalidMessageError(name, f"1 to {NAME_BYTES} printable ASCII characters are needed")
        if offer.idempotency_key is None and self.settings.classes[class_].effect is Effect.KEYED:
            raise InvalidMessageError("key", f"class {offer.class_name} needs one")
        if len(offer.tenant) > NAME_BYTES:
            raise InvalidMessageError("tenant", f"{NAME_BYTES} characters at most")
        if self.tenants and offer.tenant not in self.tenants:
            raise InvalidMessageError("tenant", f"{offer.tenant!r} is not known")
        if not 0 <= offer.remaining_ms <= LEFT_MS:
            raise InvalidMessageError("left", f"0 to {LEFT_MS} ms are needed")
        if offer.destination not in self.known_destinations and self._nowhere(offer.destination):
            raise InvalidMessageError("dest", f"destination {offer.destination} is not known")
        if len(offer.body) > BODY_BYTES:
            raise InvalidMessageError("body", f"holds {BODY_BYTES} bytes at most")

    def cancel(self, ident: str) -> bool:
        """Its client never read the answer, and hands it in again under another id."""
        number = self.numbers_by_id.get(ident)
        untried = number is not None and not self.accepted[number].attempts
        if number is not None:
            held = self.accepted[number]
            held.claims -= 1
            if held.claims > 0:  # Guards whoever handed it in on another connection, and has heard
                return False
            self.try_write(lambda: self.journal.append_cancelled(held.entry))
            self.release(number)
            self.on_event(MessageCancelled(number))
        return untried

    def mark_notified(self, idents: list[str]) -> None:
        self.try_write(lambda: self.journal.append_notified(idents))

    # -- their life --------------------------------------------------------------------------------------

    def notify_recorded_outcomes(self) -> None:
        """Those that an earlier process wrote, and nobody has confirmed."""
        for entry in list(self.journal.entries.values()):
            if entry.needs_notification:
                self.on_outcome(
                    entry.origin,
                    FinalOutcome(entry.id, entry.final_state, entry.retry_after_ms, entry.origin),
                )

    def resume(self, number_of: Callable[[str], int]) -> None:
        """Takes up what an earlier process left: it owes each message its end. Ages and times to go are as
        they are now, so that what waited for a list is no younger by it."""
        now = unix_time_ms()
        left, self.unresumed = self.unresumed, []
        for entry in left:
            if self.journal.entries.get(entry.id) is not entry:
                continue
            if entry.class_name not in self.classes:
                self.record_outcome(entry, "failed")  # the settings no longer know its class
            else:
                risk = entry.uncertain_attempt
                self._hold(
                    entry,
                    self._message(
                        entry,
                        entry.deadline_ms - now,
                        age_ms=max(0.0, now - entry.accepted_at_ms),
                        tries=entry.attempt_count,
                        risk_age_ms=None if risk is None else self._age(risk, now),
                        risk=None
                        if risk is None
                        else Endpoint(
                            number_of(risk.endpoint), entry.destination, Listing.READY, zone=risk.zone
                        ),
                    ),
                )
                self.accepted[self.last_number].claims += 1  # the earlier process said so

    def _age(self, risk: Attempt, now: float) -> float:
        """How long ago an attempt of an earlier process was made, the time spent dead included. Guards key
        windows against a wall clock that was set back meanwhile: the clock that never steps goes before it,
        unless the machine has started anew. In doubt it is past any window."""
        since = self.now() - risk.uptime_ms if 0 <= risk.uptime_ms <= self.now() else -1.0
        if now < risk.started_at_ms and since < 0:
            return FOREVER
        return max(0.0, now - risk.started_at_ms, since)

    def _hold(self, entry: JournalEntry, message: Message) -> None:
        self.last_number = message.id
        self.accepted[message.id] = AcceptedMessage(entry)
        self.numbers_by_id[entry.id] = message.id
        self.on_event(message)
        if self.destination_interest is not None:
            self.pending_by_destination.setdefault(entry.destination, set()).add(message.id)
            self._interested(self.destination_interest, entry)

    def _message(self, it: Submission | JournalEntry, left_ms: float, **resumed: Any) -> Message:
        """As the decisions hear of it, under the next number."""
        return Message(
            self.last_number + 1,
            it.destination,
            self.classes[it.class_name],
            left_ms,
            self.tenants.get(it.tenant, 0),
            again=it.resubmission == "1",
            from_dead_relay=it.resubmission == "again",
            **resumed,
        )

    def effect(self, entry: JournalEntry) -> Effect:
        return self.settings.classes[self.classes[entry.class_name]].effect

    def finish(self, number: int, state: str, after_ms: float = 0.0) -> None:
        """The module has given it up."""
        held = self.accepted.get(number)
        if held is not None:
            self.release(number)
            self.record_outcome(held.entry, state, after_ms)

    def release(self, number: int) -> None:
        """No end is owed any more; a call that is out keeps its own reference."""
        held = self.accepted.pop(number, None)
        if held is not None:
            self.numbers_by_id.pop(held.entry.id, None)
            held.entry.body = b""
            if (bound := self.pending_by_destination.get(held.entry.destination)) is not None:
                bound.discard(number)
                if not bound:
                    del self.pending_by_destination[held.entry.destination]

    def record_outcome(self, entry: JournalEntry, state: str, after_ms: float = 0.0) -> None:
        self.outcome_counts[state] += 1
        written = self.try_write(lambda: self.journal.append_final_outcome(entry, state, after_ms))
        if not entry.needs_notification:
            return
        if written:
            self._tell(entry)
        else:
            # Guards against a process that is killed now, takes the message up again and says something else.
            self.unwritten_outcomes.append(entry)
            if len(self.unwritten_outcomes) == 1:
                asyncio.get_running_loop().call_later(AGAIN_S, self.retry_unwritten_outcomes)

    def retry_unwritten_outcomes(self) -> None:
        """Passes on the ends that could not be written when they came, once they are."""
        if not self.try_write(self.journal.write_overdue):
            asyncio.get_running_loop().call_later(AGAIN_S, self.retry_unwritten_outcomes)
            return
        unsaid, self.unwritten_outcomes = self.unwritten_outcomes, []
        for entry in unsaid:
            self._tell(entry)

    def _tell(self, entry: JournalEntry) -> None:
        """Its end is written: passes it on, once that outlasts what it has to."""
        end = FinalOutcome(entry.id, entry.final_state, entry.retry_after_ms, entry.origin)
        safe = self.journal.barrier()
        if safe is None:
            self.on_outcome(entry.origin, end)
        else:
            safe.add_done_callback(
                lambda done: None if done.cancelled() else self.on_outcome(entry.origin, end)
            )

    @staticmethod
    def try_write(write: Callable[[], None]) -> bool:
        try:
            write()
            return True
        except JournalError as error:
            log.error(LogEvent("a record is not written", why=error))
            return False

    # -- destinations ------------------------------------------------------------------------------------

    def add_destinations(self, listed: Iterable[int]) -> None:
        """These are listed, and known from now on."""
        self.known_destinations.update(dict.fromkeys(listed, FOREVER))

    def unlist_destinations(self, dests: Iterable[int]) -> None:
        """These are not listed. One whose endpoints are all being replaced is still known for a while."""
        until = self.now() + DEST_MS
        for dest in dests:
            self.known_destinations[dest] = until
            self.leaving.append((until, dest))

    def expire_destinations(self) -> None:
        """One long gone is forgotten."""
        now = self.now()
        while self.leaving and self.leaving[0][0] <= now:
            until, dest = self.leaving.popleft()
            if self.known_destinations.get(dest) == until:
                del self.known_destinations[dest]

    def _nowhere(self, dest: int) -> bool:
        """Whether it may be said that there is none. Only by what has come."""
        return (
            self.destination_interest is None
            or self.destination_interest.is_resident(dest)
            and not self.destination_interest.contains(dest)
        )

    def _interested(self, interest: DestinationInterest, entry: JournalEntry) -> None:
        if interest.is_resident(entry.destination):
            interest.touch(entry.destination)
        else:
            interest.request(entry.destination, (self.now() + entry.deadline_ms - unix_time_ms()) / 1000)

    def request_unresumed_destinations(self) -> None:
        """What an earlier process left is to go as soon as it can: the earliest end first."""
        for entry in self.unresumed:
            if self.destination_interest is not None:
                self._interested(self.destination_interest, entry)

    def fail_unknown_destination(self, dest: int) -> None:
        """What there is of it has come, and there is none: what was taken before that ends at once."""
        for number in list(self.pending_by_destination.get(dest, ())):
            if self.accepted[number].cancel is None:  # a call that is out has its outcome first
                self.finish(number, "failed")
                self.on_event(MessageCancelled(number))

"""Writes final outcomes to the journal, then passes them to the intake that notifies the client."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from ..store.journal import Journal
from ..store.records import JournalEntry
from .journal_writes import try_write
from .ports import FinalOutcome

WRITE_RETRY_S = 0.05  # delay until outcomes that the journal could not store are written again

OutcomeCallback = Callable[[str, FinalOutcome], None]  # arguments: the origin of the message, its outcome


class OutcomeNotification:
    """Records final outcomes and passes on those of which a client must be notified."""

    def __init__(self, journal: Journal, on_outcome: OutcomeCallback) -> None:
        self.journal = journal
        self.on_outcome = on_outcome
        self.counts: Counter[str] = Counter()  # messages of this process by outcome; shown in status
        self.unwritten: list[JournalEntry] = []  # outcomes not in the journal yet: no more than are pending

    def record(self, entry: JournalEntry, state: str, after_ms: float = 0.0) -> None:
        """Writes the final state of a message, and notifies its intake once that is written.

        `after_ms`: delay until the client may submit a returned message again.
        """
        self.counts[state] += 1
        is_written = try_write(lambda: self.journal.append_final_outcome(entry, state, after_ms))
        if not entry.needs_notification:
            return
        if is_written:
            self._notify_when_durable(entry)
            return
        # Not notified yet: if this process were killed now, the next one would resume the message and could
        # report another outcome.
        self.unwritten.append(entry)
        if len(self.unwritten) == 1:
            self._schedule_retry()

    def notify_recorded(self) -> None:
        """Passes on the outcomes that an earlier process wrote and whose notification was not confirmed."""
        for entry in list(self.journal.entries.values()):
            if entry.needs_notification:
                self.on_outcome(entry.origin, _final_outcome(entry))

    def retry_unwritten(self) -> None:
        """Passes on the outcomes that could not be written before, once the journal stores them."""
        if not try_write(self.journal.write_overdue):
            self._schedule_retry()
            return
        entries = self.unwritten
        self.unwritten = []
        for entry in entries:
            self._notify_when_durable(entry)

    def _schedule_retry(self) -> None:
        asyncio.get_running_loop().call_later(WRITE_RETRY_S, self.retry_unwritten)

    def _notify_when_durable(self, entry: JournalEntry) -> None:
        """Passes on a written outcome once its record is as durable as the configuration requires."""
        outcome = _final_outcome(entry)
        durable = self.journal.barrier()
        if durable is None:
            self.on_outcome(entry.origin, outcome)
            return

        def on_durable(future: asyncio.Future[None]) -> None:
            if not future.cancelled():
                self.on_outcome(entry.origin, outcome)

        durable.add_done_callback(on_durable)


def _final_outcome(entry: JournalEntry) -> FinalOutcome:
    return FinalOutcome(entry.id, entry.final_state, entry.retry_after_ms, entry.origin)

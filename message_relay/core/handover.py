"""Messages whose source may still deliver them to another relay, and of which no attempt may be made yet.

A message from a queue is journalled, then acknowledged. Until the broker is known to have processed the ack,
it may deliver the message again: to this relay, or to another one whose journal does not contain it. If both
made an attempt, its effect could occur twice. So each relay makes the first attempt only after its handover
was confirmed. The broker confirms the handover of a message to one relay at most, and a message that is
delivered again has not been attempted by any.

If the connection breaks in between, it remains unknown who has the message. It waits here: a redelivery to
this relay is acknowledged like the first delivery, and confirms it. At its deadline it gets the final outcome
`failed`, which makes no statement about effects.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ..decisions.expiry import DEADLINE_MARGIN_MS
from ..store.records import JournalEntry
from .clock import unix_time_ms

# Share of the places for pending messages that may await their handover. If a broker is lost, they keep these
# until their deadlines; the others are left to the messages of other clients.
MAX_HANDOVER_SHARE = 0.5


@dataclass(slots=True)
class PendingHandover:
    """A message that awaits its handover."""

    entry: JournalEntry
    deliveries: int = 1  # those that were acknowledged, or are about to be
    is_resumed: bool = False  # accepted by an earlier process
    timer: asyncio.TimerHandle | None = None


class PendingHandovers:
    """The messages that await their handover, each with a timer for its deadline."""

    def __init__(self, on_expired: Callable[[JournalEntry], None]) -> None:
        self.on_expired = on_expired
        self.by_id: dict[str, PendingHandover] = {}

    def __len__(self) -> int:
        return len(self.by_id)

    def has_capacity(self, max_pending_messages: int) -> bool:
        """Returns whether one more message may await its handover."""
        return len(self.by_id) + 1 <= MAX_HANDOVER_SHARE * max_pending_messages

    def entries(self) -> list[JournalEntry]:
        """Returns the journal entries of all messages that await their handover."""
        return [pending.entry for pending in self.by_id.values()]

    def add(self, entry: JournalEntry) -> None:
        """Adds an accepted message."""
        pending = self.by_id[entry.id] = PendingHandover(entry)
        self._start_timer(pending)

    def restore(self, entry: JournalEntry) -> None:
        """Adds a message of an earlier process, which may have acknowledged it; `start_timers` follows."""
        self.by_id[entry.id] = PendingHandover(entry, is_resumed=True)

    def start_timers(self) -> None:
        """Starts the timers of restored messages."""
        for pending in self.by_id.values():
            if pending.timer is None:
                self._start_timer(pending)

    def stop_timers(self) -> None:
        """Stops all timers: the next process ends what is left."""
        for pending in self.by_id.values():
            if pending.timer is not None:
                pending.timer.cancel()

    def add_delivery(self, message_id: str) -> None:
        """Notes that a message was delivered again, and that this delivery will be acknowledged."""
        pending = self.by_id.get(message_id)
        if pending is not None:
            pending.deliveries += 1

    def drop_delivery(self, message_id: str) -> JournalEntry | None:
        """Notes that a delivery could not be acknowledged.

        Removes and returns the message if no other delivery of it was acknowledged: its source still has it.
        """
        pending = self.by_id.get(message_id)
        if pending is None:
            return None
        pending.deliveries -= 1
        if pending.deliveries > 0:
            return None
        self.remove(message_id)
        return pending.entry

    def remove(self, message_id: str) -> PendingHandover | None:
        """Removes and returns a message; None if it does not await its handover."""
        pending = self.by_id.pop(message_id, None)
        if pending is not None and pending.timer is not None:
            pending.timer.cancel()
        return pending

    def _start_timer(self, pending: PendingHandover) -> None:
        remaining_ms = pending.entry.deadline_ms - DEADLINE_MARGIN_MS - unix_time_ms()
        loop = asyncio.get_running_loop()
        pending.timer = loop.call_later(max(0.0, remaining_ms / 1000), self._expire, pending.entry.id)

    def _expire(self, message_id: str) -> None:
        pending = self.remove(message_id)
        if pending is not None:
            self.on_expired(pending.entry)

"""Deadline timers: ends messages that can no longer be delivered in time."""

from __future__ import annotations

import heapq

from .actions import Action, Fail, Reject
from .drain_estimate import DrainEstimate
from .idempotency import can_reject_safely, retry_deadline
from .pending import HEAP_FACTOR, HEAP_SLACK, PendingMessage

DEADLINE_MARGIN_MS = 20.0  # messages are closed this long before their deadline,
CLOSE_COST_MS = 0.05  # plus the time to close all pending messages, at this cost each,
CLOSE_COST_MAX_MS = 1000.0  # which counts up to this limit
MAX_CLOSED = 128  # messages closed in one turn: the others follow in the next, so that no turn is long


class Expiry:
    """Closes pending messages at their deadlines."""

    def __init__(self, drain_estimate: DrainEstimate) -> None:
        self.drain_estimate = drain_estimate
        self.pending = drain_estimate.pending
        self.settings = drain_estimate.rate_controller.settings
        self.deadline_heap: list[tuple[float, int]] = []  # (end of the time for a delivery, message id)

    def schedule(self, entry: PendingMessage) -> None:
        """Schedules when a message is closed unless it has been sent by then."""
        close_ms = min(CLOSE_COST_MAX_MS, CLOSE_COST_MS * len(self.pending.by_id))
        early_ms = DEADLINE_MARGIN_MS + close_ms
        last_send_at = entry.deadline_at - early_ms - 2 * self.settings.tick_ms
        close_at = min(retry_deadline(self.settings, entry), last_send_at)
        heapq.heappush(self.deadline_heap, (close_at, entry.message.id))
        if len(self.deadline_heap) > HEAP_SLACK + HEAP_FACTOR * len(self.pending.by_id):
            # Most entries belong to messages that have ended.
            self.deadline_heap = [item for item in self.deadline_heap if item[1] in self.pending.by_id]
            heapq.heapify(self.deadline_heap)

    def end_undelivered(self, now: float, entry: PendingMessage, actions: list[Action]) -> None:
        """Ends a message: as rejected if submitting it again is harmless, else as failed."""
        message_id = entry.message.id
        if can_reject_safely(entry):
            retry_after_ms = self.drain_estimate.retry_after_ms(now, entry.message.destination)
            actions.append(Reject(message_id, retry_after_ms))
        else:
            actions.append(Fail(message_id))
        self.pending.remove(entry)

    def close_expired(self, now: float, actions: list[Action]) -> None:
        """Ends messages that can no longer be delivered in time, at most `MAX_CLOSED` in one turn."""
        closed = 0
        while self.deadline_heap and self.deadline_heap[0][0] <= now and closed < MAX_CLOSED:
            entry = self.pending.by_id.get(heapq.heappop(self.deadline_heap)[1])
            if entry is not None and entry.in_flight_on is None:
                self.end_undelivered(now, entry, actions)
                closed += 1

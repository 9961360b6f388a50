"""Load shedding: before a relay holds all the messages it may, it ends those whose loss costs least."""

from __future__ import annotations

import heapq
from operator import itemgetter

from .actions import Action
from .expiry import Expiry
from .pending import HEAP_FACTOR, HEAP_SLACK, MAX_SCANS, DestinationQueue, PendingMessage
from .priority_index import PriorityIndex

SHEDDING_THRESHOLD = 0.85  # share of the pending messages allowed, above which load is shed
MAX_SHED = 64  # messages shed in one turn: the others in the next, so that no turn is long
EARLY_PART = 0.7  # a message that was accepted and is shed in so much of its life
EARLY_PENALTY = 1.5  # costs so many times its weight more
KNOWN_LOWEST = 8  # queues compared for each message shed: those known as lowest,
ROTATING = 2  # and some in rotation, since value falls with time

Candidate = tuple[float, float, PendingMessage]  # what ending it loses, its value now, the message
cost_and_value = itemgetter(slice(2))


class LoadShedder:
    """Finds and ends the pending messages of lowest value."""

    def __init__(self, expiry: Expiry, index: PriorityIndex) -> None:
        self.expiry = expiry
        self.drain_estimate = expiry.drain_estimate
        self.pending = expiry.pending
        self.settings = expiry.settings
        self.index = index
        self.lowest_value_heap: list[tuple[float, float, int]] = []  # queues by their lowest value
        self.is_overloaded = False  # more is to be shed than one turn may

    def threshold(self) -> int:
        """Pending messages above which load is shed."""
        return int(SHEDDING_THRESHOLD * self.settings.max_pending_messages)

    def shed_load(self, now: float, actions: list[Action]) -> None:
        """Ends what is worth least when its queue has drained, at most `MAX_SHED` messages in one turn.

        So newcomers are not rejected for want of capacity, and a destination that is out or slow bears the
        cost itself.
        """
        excess = len(self.pending.by_id) - self.threshold()
        self.is_overloaded = excess > MAX_SHED
        for _ in range(min(MAX_SHED, excess)):
            lowest = self.lowest_value(now)
            if lowest is None:
                self.is_overloaded = False
                return
            self.expiry.end_undelivered(now, lowest[2], actions)

    def lowest_value(self, now: float) -> Candidate | None:
        """The cheapest message to lose, among queues that changed, those known as lowest and some in turn."""
        queues = self.pending.queues
        found = list[Candidate]()
        for destination_id in self._queues_to_compare():
            lowest = self.lowest_value_in(now, queues[destination_id])
            queues[destination_id].lowest_value = lowest and lowest[:2]
            if lowest is not None:
                heapq.heappush(self.lowest_value_heap, (*lowest[:2], destination_id))
                found.append(lowest)
        if len(self.lowest_value_heap) > HEAP_SLACK + HEAP_FACTOR * len(queues):
            self.lowest_value_heap = [
                (*queue.lowest_value, queue.destination_id) for queue in queues.values() if queue.lowest_value
            ]
            heapq.heapify(self.lowest_value_heap)
        return min(found, key=cost_and_value) if found else None

    def _queues_to_compare(self) -> dict[int, None]:
        queues, stale = self.pending.queues, self.pending.lowest_value_stale
        chosen = dict.fromkeys([stale.popitem(last=False)[0] for _ in range(min(MAX_SCANS, len(stale)))])
        while self.lowest_value_heap and len(chosen) < KNOWN_LOWEST:
            cost, value, destination_id = heapq.heappop(self.lowest_value_heap)
            queue = queues.get(destination_id)
            if queue is not None and queue.lowest_value == (cost, value):
                chosen[destination_id] = None
        for _ in range(min(ROTATING + KNOWN_LOWEST, len(queues)) - len(chosen)):
            queues.move_to_end(next(iter(queues)))
            chosen[next(reversed(queues))] = None
        return chosen

    def lowest_value_in(self, now: float, queue: DestinationQueue) -> Candidate | None:
        """What ending it now loses, its value now, and the message of the queue for which both are least."""
        drained_at = self.drain_estimate.drained_at(now, queue.destination_id)
        decay = self.settings.decay
        found = list[Candidate]()
        for bucket in queue.buckets.values():
            if not bucket.can_be_shed:
                continue
            for entry in bucket.oldest():
                early_until = entry.submitted_at + EARLY_PART * (entry.deadline_at - entry.submitted_at)
                cost = EARLY_PENALTY * entry.priority_weight if now < early_until else 0.0
                cost += entry.value_at(drained_at, decay)
                found.append((cost, entry.value_at(now, decay), entry))
        self.index.examined_count += len(found)
        return min(found, key=cost_and_value) if found else None

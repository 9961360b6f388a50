"""Load shedding: ends the messages whose loss costs least before the limit of pending messages is reached."""

from __future__ import annotations

import heapq
from operator import itemgetter

from .actions import Action
from .expiry import Expiry
from .pending import HEAP_FACTOR, HEAP_SLACK, MAX_SCANS, DestinationQueue, PendingMessage
from .priority_index import PriorityIndex

SHEDDING_THRESHOLD = 0.85  # share of the limit of pending messages above which load is shed
MAX_SHED = 64  # messages shed in one turn: the others follow in the next, so that no turn is long
EARLY_PART = 0.7  # shedding an accepted message within this part of its time to live
EARLY_PENALTY = 1.5  # costs this multiple of its weight in addition
KNOWN_LOWEST = 8  # queues of lowest known value that are compared for each message shed,
ROTATING = 2  # and queues in rotation in addition, since values fall with time

Candidate = tuple[float, float, PendingMessage]  # (cost of ending the message, its value now, the message)
cost_and_value = itemgetter(slice(2))


class LoadShedder:
    """Finds and ends the pending messages of lowest value."""

    def __init__(self, expiry: Expiry, index: PriorityIndex) -> None:
        self.expiry = expiry
        self.drain_estimate = expiry.drain_estimate
        self.pending = expiry.pending
        self.settings = expiry.settings
        self.index = index
        self.lowest_value_heap: list[tuple[float, float, int]] = []  # (cost, value, destination id) of queues
        self.is_overloaded = False  # more messages have to be shed than one turn may shed

    def threshold(self) -> int:
        """Returns the number of pending messages above which load is shed."""
        return int(SHEDDING_THRESHOLD * self.settings.max_pending_messages)

    def shed_load(self, now: float, actions: list[Action]) -> None:
        """Ends the messages worth least by the time their queue has drained, at most `MAX_SHED` in one turn.

        This leaves capacity for new submissions, and makes a destination that is down or slow bear the cost
        itself.
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
        """Returns the message that costs least to shed.

        Compared are queues that have changed, those of lowest known value and some in rotation.
        """
        queues = self.pending.queues
        candidates = list[Candidate]()
        for destination_id in self._queues_to_compare():
            lowest = self.lowest_value_in(now, queues[destination_id])
            queues[destination_id].lowest_value = lowest and lowest[:2]
            if lowest is not None:
                heapq.heappush(self.lowest_value_heap, (*lowest[:2], destination_id))
                candidates.append(lowest)
        if len(self.lowest_value_heap) > HEAP_SLACK + HEAP_FACTOR * len(queues):
            self.lowest_value_heap = [
                (*queue.lowest_value, queue.destination_id) for queue in queues.values() if queue.lowest_value
            ]
            heapq.heapify(self.lowest_value_heap)
        return min(candidates, key=cost_and_value) if candidates else None

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
        """Returns the message of a queue that costs least to end now, with this cost and its value now."""
        drained_at = self.drain_estimate.drained_at(now, queue.destination_id)
        decay = self.settings.decay
        candidates = list[Candidate]()
        for bucket in queue.buckets.values():
            if not bucket.can_be_shed:
                continue
            for entry in bucket.oldest():
                early_until = entry.submitted_at + EARLY_PART * (entry.deadline_at - entry.submitted_at)
                cost = EARLY_PENALTY * entry.priority_weight if now < early_until else 0.0
                cost += entry.value_at(drained_at, decay)
                candidates.append((cost, entry.value_at(now, decay), entry))
        self.index.examined_count += len(candidates)
        return min(candidates, key=cost_and_value) if candidates else None

"""Priority index: finds the message of highest gain per slot time without examining each message.

Only messages at the ends of the segments of a bucket's value curve can be its best. These candidates are in
index buckets by class, weight, time to live and age band; within an index bucket, only the slot time of a
delivery ranks them. An upper bound of the gain of each index bucket determines which candidates have to be
compared. See docs/design/large-size.md.
"""

from __future__ import annotations

import heapq
from bisect import bisect_right
from dataclasses import dataclass, field
from itertools import count

from .destinations import DestinationState
from .model import FOREVER, Decay, MessageClass, Settings
from .pending import (
    FULL_SCAN_SIZE,
    TIME_TO_LIVE_STEPS,
    DestinationQueue,
    PendingMessage,
    PriorityBucket,
    remaining_value,
)

LOOKAHEAD_MS = 1000.0  # the cost of waiting is estimated over this time
AGE_BANDS = 16  # age bands within a latency objective,
MAX_AGE_BANDS = 256  # and, at most, within a deadline
EXACT_COMPARISONS = 8  # entries with overlapping bounds are compared exactly, up to this number
MAX_COMPARISONS = 64  # the same while none of them has any gain: their time is nearly over
BUCKETS_PER_MS = 10.0  # bounds are renewed so rarely that at most this many buckets are examined per ms


IndexKey = tuple[int, float, float, int]  # class, weight, time to live or negated step of it, age band
# Slot time, sequence number, message, destination, its queue, generation of the scan that added the entry.
IndexEntry = tuple[float, int, PendingMessage, DestinationState, DestinationQueue, int]


@dataclass(slots=True, eq=False)
class IndexBucket:
    """Candidates that share one upper bound of their gain, least slot time first."""

    key: IndexKey
    entries: list[IndexEntry] = field(default_factory=list)  # heap
    upper_bound: float = 0.0  # of the gain at a slot time of 1, until the bounds are renewed
    top_rank: float = -1.0  # its latest rank in `PriorityIndex.top_heap`


def max_gain(
    message_class: MessageClass,
    decay: Decay,
    youngest: float,
    oldest: float,
    shortest_life: float,
    longest_life: float,
) -> float:
    """Returns the maximum gain of sending now at a weight of 1.

    The bound holds for any age at the response from `youngest` to `oldest`, and any time to live from
    `shortest_life` to `longest_life`.
    """
    best = 0.0
    if (
        youngest + LOOKAHEAD_MS < longest_life
    ):  # the gain rises until the latency objective, and falls after it
        age = min(max(youngest, message_class.latency_objective_ms), oldest)
        now_value = remaining_value(message_class, decay, age)
        best = 2 * now_value - remaining_value(message_class, decay, age + LOOKAHEAD_MS)
    if oldest + LOOKAHEAD_MS >= shortest_life and youngest < longest_life:
        # No value would be left after the lookahead, so all of the value counts as gain.
        age = max(youngest, shortest_life - LOOKAHEAD_MS)
        best = max(best, 2 * remaining_value(message_class, decay, age))
    return best


def candidates(
    bucket: PriorityBucket, destination: DestinationState, now: float
) -> tuple[list[PendingMessage], float]:
    """Returns the messages of a bucket that can be its best (all if few), and when this set may change."""
    ready = bucket.ready
    if len(ready) <= FULL_SCAN_SIZE:
        return [entry[2] for entry in ready], FOREVER
    response_at = now + destination.latency_mean_ms
    time_to_live_ms = bucket.time_to_live_ms
    last_chance_age = time_to_live_ms - LOOKAHEAD_MS
    objective_age = min(bucket.message_class.latency_objective_ms, last_chance_age)
    # The list is sorted from oldest to youngest. Messages before index `expired` get their response after the
    # deadline, those up to `last_chance` within the lookahead before it, and those up to `in_time` after the
    # latency objective.
    in_time = bisect_right(ready, (response_at - objective_age, FOREVER))
    last_chance = bisect_right(ready, (response_at - last_chance_age, FOREVER), 0, in_time)
    expired = bisect_right(ready, (response_at - time_to_live_ms, FOREVER), 0, last_chance)
    selected, change_at = [], FOREVER
    if in_time < len(ready):  # the oldest of these is nearest to its objective
        selected.append(ready[in_time][2])
        change_at = ready[in_time][0] + objective_age
    if last_chance < in_time:  # the youngest of these has lost least value
        selected.append(ready[in_time - 1][2])
    if last_chance < len(ready):
        change_at = min(change_at, ready[last_chance][0] + last_chance_age)
    if expired < last_chance:
        selected.append(ready[last_chance - 1][2])
        change_at = min(change_at, ready[last_chance - 1][0] + time_to_live_ms)
    if expired and now + destination.latency_mean_ms / 4 < ready[expired - 1][2].deadline_at:
        selected.append(ready[expired - 1][2])  # its response is likely to arrive too late
    return selected, change_at - destination.latency_mean_ms


class PriorityIndex:
    """Index of the messages that the scanned queues could send now."""

    def __init__(self, settings: Settings) -> None:
        self.classes = settings.classes
        self.decay = settings.decay
        self.band_width_ms = [
            max(message_class.latency_objective_ms / AGE_BANDS, message_class.deadline_ms / MAX_AGE_BANDS)
            for message_class in settings.classes
        ]
        self.time_to_live_step_ms = [
            message_class.deadline_ms / TIME_TO_LIVE_STEPS for message_class in settings.classes
        ]
        self.buckets: dict[IndexKey, IndexBucket] = {}
        self.top_heap: list[tuple[float, int, IndexBucket]] = []  # (negated rank, sequence number, bucket)
        self.sequence = count()
        self.bounds_valid_until = 0.0
        self.examined_count = 0  # messages and index buckets examined so far

    def insert(
        self,
        now: float,
        bucket: PriorityBucket,
        destination: DestinationState,
        slot_time_ms: float,
        new_entry: PendingMessage | None = None,
    ) -> float:
        """Indexes the candidates of a bucket, or only `new_entry`; returns when to index the bucket again."""
        if now >= self.bounds_valid_until:
            self._renew_bounds(now)
        if new_entry is None:
            selected, change_at = candidates(bucket, destination, now)
        else:
            selected, change_at = [new_entry], FOREVER
        class_index = bucket.class_index
        queue = bucket.queue
        generation = queue.scan_generation
        index_buckets = self.buckets
        width = self.band_width_ms[class_index]
        time_to_live = bucket.time_to_live_ms
        if time_to_live != bucket.message_class.deadline_ms:
            time_to_live = -(time_to_live // self.time_to_live_step_ms[class_index])
        mean_ms = destination.latency_mean_ms
        self.examined_count += len(selected)
        for entry in selected:
            band = int((entry.submitted_at - mean_ms) // width)
            key = class_index, bucket.priority_weight, time_to_live, band
            index_bucket = index_buckets.get(key)
            if index_bucket is None:
                index_bucket = index_buckets[key] = IndexBucket(key)
                index_bucket.upper_bound = self._upper_bound(key, now)
            indexed = (slot_time_ms, next(self.sequence), entry, destination, queue, generation)
            heapq.heappush(index_bucket.entries, indexed)
            if index_bucket.upper_bound / slot_time_ms > index_bucket.top_rank:
                self._push_top(index_bucket)
        return change_at

    def _push_top(self, bucket: IndexBucket) -> None:
        bucket.top_rank = bucket.upper_bound / bucket.entries[0][0]
        heapq.heappush(self.top_heap, (-bucket.top_rank, next(self.sequence), bucket))

    def _upper_bound(self, key: IndexKey, now: float) -> float:
        """Returns the maximum gain of any message of an index bucket until the bounds are renewed."""
        class_index, weight, time_to_live, band = key
        width, step_ms = self.band_width_ms[class_index], self.time_to_live_step_ms[class_index]
        if time_to_live > 0:
            shortest = longest = time_to_live
        else:
            shortest, longest = -time_to_live * step_ms, (1 - time_to_live) * step_ms
        youngest, oldest = now - (band + 1) * width, self.bounds_valid_until - band * width
        message_class = self.classes[class_index]
        # Times to live are rounded, hence the margin of 1 ms.
        return weight * max_gain(message_class, self.decay, youngest, oldest, shortest - 1.0, longest + 1.0)

    def _renew_bounds(self, now: float) -> None:
        """Ranks the index buckets again, since values fall with time, and removes empty ones."""
        valid_ms = max(min(self.band_width_ms) / 2, len(self.buckets) / BUCKETS_PER_MS)
        self.bounds_valid_until = now + valid_ms
        self.top_heap.clear()
        for bucket in list(self.buckets.values()):
            self.examined_count += 1
            if self._drop_stale(bucket):
                bucket.upper_bound = self._upper_bound(bucket.key, now)
                self._push_top(bucket)
            else:
                del self.buckets[bucket.key]

    @staticmethod
    def _drop_stale(bucket: IndexBucket) -> bool:
        """Drops leading entries that are no longer valid; returns whether a valid one is left."""
        entries = bucket.entries
        while entries and (entries[0][5] != entries[0][4].scan_generation or entries[0][2].bucket is None):
            heapq.heappop(entries)
        return bool(entries)

    def gain(self, now: float, entry: PendingMessage, destination: DestinationState) -> float:
        """Returns the gain of sending a message now, at a slot time of 1.

        The gain is its value at the response, plus the value that is lost by waiting for `LOOKAHEAD_MS`.
        """
        response_at = now + destination.latency_mean_ms
        return 2 * entry.value_at(response_at, self.decay) - entry.value_at(
            response_at + LOOKAHEAD_MS, self.decay
        )

    def pop_best(self, now: float) -> IndexEntry | None:
        """Removes and returns the entry with the highest gain per slot time.

        It is the exact best unless the bounds of more than `EXACT_COMPARISONS` entries lie above it. The
        caller scans its queue again, which invalidates the queue's other entries.
        """
        if now >= self.bounds_valid_until:
            self._renew_bounds(now)
        best: IndexEntry | None = None
        best_value = -1.0
        compared: list[tuple[IndexBucket, IndexEntry]] = []
        while self._compares_more(len(compared), best_value):
            bucket = self._pop_top(best_value)
            if bucket is None:
                break
            entry = heapq.heappop(bucket.entries)
            self.examined_count += 1
            value = self.gain(now, entry[2], entry[3]) / entry[0]
            if value > best_value:
                best, best_value = entry, value
            compared.append((bucket, entry))
            if self._drop_stale(bucket):
                self._push_top(bucket)
        for bucket, entry in compared:
            if entry is not best:
                heapq.heappush(bucket.entries, entry)
                self.buckets[bucket.key] = bucket
                if bucket.upper_bound / entry[0] > bucket.top_rank:
                    self._push_top(bucket)
        return best

    @staticmethod
    def _compares_more(compared: int, best_value: float) -> bool:
        """Returns whether to compare another entry: while none has any gain, more entries are compared."""
        return compared < (EXACT_COMPARISONS if best_value > 0 else MAX_COMPARISONS)

    def _pop_top(self, best_value: float) -> IndexBucket | None:
        """Removes and returns the index bucket with the highest bound, if that exceeds the best value."""
        while self.top_heap and -self.top_heap[0][0] > best_value:
            negative_rank, _, bucket = heapq.heappop(self.top_heap)
            if -negative_rank != bucket.top_rank:
                continue
            bucket.top_rank = -1.0
            self.examined_count += 1
            if not self._drop_stale(bucket):
                self.buckets.pop(bucket.key, None)
            elif bucket.upper_bound / bucket.entries[0][0] < -negative_rank:
                self._push_top(bucket)  # its entry with the least slot time has been removed
            else:
                return bucket
        return None

"""Finds the message with most worth still to win per slot time without looking at each: of a course only
those at the edges of the pieces of its worth's curve can be best. They lie in cells by class, worth, time to
live and band of age, in which only the cost of a lane ranks them (docs/design/large-size.md).
"""

from __future__ import annotations

import heapq
from bisect import bisect_right
from dataclasses import dataclass, field
from itertools import count

from .model import FOREVER, Decay, MessageClass, Settings
from .pending import (
    FULL_SCAN_SIZE,
    TIME_TO_LIVE_STEPS,
    DestinationQueue,
    DestinationState,
    PendingMessage,
    PriorityBucket,
    remaining_value,
)

LOOKAHEAD_MS = 1000.0  # what waiting would cost is reckoned over so long
AGE_BANDS, MAX_AGE_BANDS = 16, 256  # of age: in the time of an aim, and in a whole life
EXACT_COMPARISONS = 8  # entries whose bounds overlap are compared exactly, up to so many
BUCKETS_PER_MS = (
    10.0  # bounds are renewed so slowly that no more cells than this are looked at in a millisecond
)


IndexKey = tuple[int, float, float, int]  # class, worth, time to live or minus a step of it, band of age
IndexEntry = tuple[
    float, int, PendingMessage, DestinationState, DestinationQueue, int
]  # cost, a number, ..., stamp of the queue's look


@dataclass(slots=True, eq=False)
class IndexBucket:
    key: IndexKey
    entries: list[IndexEntry] = field(default_factory=list)  # heap: least cost first
    upper_bound: float = 0.0  # at a cost of 1, until the bounds are renewed
    top_rank: float = -1.0  # its latest place among the tops


def max_gain(cls: MessageClass, decay: Decay, low: float, high: float, least: float, most: float) -> float:
    """The most that sending now can win and save from falling, at a worth of 1, for any age at the answer
    from `low` to `high` and any time to live from `least` to `most`."""
    best = 0.0
    if low + LOOKAHEAD_MS < most:  # rises until the aim, falls after it
        at = min(max(low, cls.latency_objective_ms), high)
        best = 2 * remaining_value(cls, decay, at) - remaining_value(cls, decay, at + LOOKAHEAD_MS)
    if (
        high + LOOKAHEAD_MS >= least and low < most
    ):  # nothing would be left a second later: all of it is to win
        best = max(best, 2 * remaining_value(cls, decay, max(low, least - LOOKAHEAD_MS)))
    return best


def candidates(
    course: PriorityBucket, lane: DestinationState, now: float
) -> tuple[list[PendingMessage], float]:
    """The only messages of a course that can be its best, and when others may be; all of them, if few."""
    ready, at = course.ready, now + lane.latency_mean_ms
    if len(ready) <= FULL_SCAN_SIZE:
        return [each[2] for each in ready], FOREVER
    brink = course.time_to_live_ms - LOOKAHEAD_MS
    young = min(course.message_class.latency_objective_ms, brink)
    rising = bisect_right(ready, (at - young, FOREVER))
    last = bisect_right(ready, (at - brink, FOREVER), 0, rising)  # those before it are on the brink
    spent = bisect_right(ready, (at - course.time_to_live_ms, FOREVER), 0, last)
    found, change = [], FOREVER
    if rising < len(ready):  # the oldest is nearest to its aim
        found.append(ready[rising][2])
        change = ready[rising][0] + young
    if last < rising:  # the youngest has lost least
        found.append(ready[rising - 1][2])
    if last < len(ready):
        change = min(change, ready[last][0] + brink)
    if spent < last:
        found.append(ready[last - 1][2])
        change = min(change, ready[last - 1][0] + course.time_to_live_ms)
    if (
        spent and now + lane.latency_mean_ms / 4 < ready[spent - 1][2].deadline_at
    ):  # its answer is likely to come too late
        found.append(ready[spent - 1][2])
    return found, change - lane.latency_mean_ms


class PriorityIndex:
    def __init__(self, settings: Settings) -> None:
        self.classes, self.decay = settings.classes, settings.decay
        self.band_width_ms = [
            max(cls.latency_objective_ms / AGE_BANDS, cls.deadline_ms / MAX_AGE_BANDS)
            for cls in settings.classes
        ]
        self.time_to_live_step_ms = [
            cls.deadline_ms / TIME_TO_LIVE_STEPS for cls in settings.classes
        ]  # of other times to live
        self.buckets: dict[IndexKey, IndexBucket] = {}
        self.top_heap: list[tuple[float, int, IndexBucket]] = []  # heap: minus a bound
        self.sequence = count()
        self.bounds_valid_until = 0.0  # the bounds
        self.examined_count = 0  # messages and cells looked at so far

    def insert(
        self,
        now: float,
        course: PriorityBucket,
        lane: DestinationState,
        cost: float,
        newcomer: PendingMessage | None = None,
    ) -> float:
        """Takes up what may be sent on this lane, or only the newcomer; when to look at it anew."""
        if now >= self.bounds_valid_until:
            self._renew_bounds(now)
        found, change = candidates(course, lane, now) if newcomer is None else ([newcomer], FOREVER)
        class_, queue, cells = course.class_index, course.queue, self.buckets
        width, stamp = self.band_width_ms[class_], queue.scan_generation
        life = (
            course.time_to_live_ms
            if course.time_to_live_ms == course.message_class.deadline_ms
            else -(course.time_to_live_ms // self.time_to_live_step_ms[class_])
        )
        self.examined_count += len(found)
        for held in found:
            key = (
                class_,
                course.priority_weight,
                life,
                int((held.submitted_at - lane.latency_mean_ms) // width),
            )
            cell = cells.get(key)
            if cell is None:
                cell = cells[key] = IndexBucket(key)
                cell.upper_bound = self._upper_bound(key, now)
            heapq.heappush(cell.entries, (cost, next(self.sequence), held, lane, queue, stamp))
            if cell.upper_bound / cost > cell.top_rank:
                self._push_top(cell)
        return change

    def _push_top(self, cell: IndexBucket) -> None:
        cell.top_rank = cell.upper_bound / cell.entries[0][0]
        heapq.heappush(self.top_heap, (-cell.top_rank, next(self.sequence), cell))

    def _upper_bound(self, key: IndexKey, now: float) -> float:
        """The most that any message of this cell is worth to send until the bounds are renewed."""
        class_, worth, life, band = key
        cls, width, step = self.classes[class_], self.band_width_ms[class_], self.time_to_live_step_ms[class_]
        least, most = (life, life) if life > 0 else (-life * step, (1 - life) * step)
        low, high = now - (band + 1) * width, self.bounds_valid_until - band * width
        return worth * max_gain(cls, self.decay, low, high, least - 1.0, most + 1.0)  # lives are rounded

    def _renew_bounds(self, now: float) -> None:
        """Worth falls with time: ranks the cells anew, and forgets those in which nothing is left."""
        self.bounds_valid_until = now + max(min(self.band_width_ms) / 2, len(self.buckets) / BUCKETS_PER_MS)
        self.top_heap.clear()
        for cell in list(self.buckets.values()):
            self.examined_count += 1
            if self._drop_stale(cell):
                cell.upper_bound = self._upper_bound(cell.key, now)
                self._push_top(cell)
            else:
                del self.buckets[cell.key]

    @staticmethod
    def _drop_stale(cell: IndexBucket) -> bool:
        """Whether it holds something that still stands; entries of earlier looks are dropped."""
        entries = cell.entries
        while entries and (entries[0][5] != entries[0][4].scan_generation or entries[0][2].bucket is None):
            heapq.heappop(entries)
        return bool(entries)

    def gain(self, now: float, held: PendingMessage, lane: DestinationState) -> float:
        """Exactly, at a cost of 1."""
        at = now + lane.latency_mean_ms
        return 2 * held.value_at(at, self.decay) - held.value_at(at + LOOKAHEAD_MS, self.decay)

    def pop_best(self, now: float) -> IndexEntry | None:
        """Takes out the entry of most worth per slot time: exactly, unless there are more than EXACT
        whose bounds lie above the best. The caller looks at its queue anew, which voids the others of it."""
        if now >= self.bounds_valid_until:
            self._renew_bounds(now)
        best: IndexEntry | None = None
        most = -1.0
        others: list[tuple[IndexBucket, IndexEntry]] = []
        while len(others) < EXACT_COMPARISONS and (cell := self._pop_top(most)) is not None:
            entry = heapq.heappop(cell.entries)
            self.examined_count += 1
            value = self.gain(now, entry[2], entry[3]) / entry[0]
            if value > most:
                best, most = entry, value
            others.append((cell, entry))
            if self._drop_stale(cell):
                self._push_top(cell)
        for cell, entry in others:
            if entry is not best:
                heapq.heappush(cell.entries, entry)
                self.buckets[cell.key] = cell
                if cell.upper_bound / entry[0] > cell.top_rank:
                    self._push_top(cell)
        return best

    def _pop_top(self, most: float) -> IndexBucket | None:
        """The cell with the highest bound, if that lies above the best so far."""
        while self.top_heap and -self.top_heap[0][0] > most:
            top, _, cell = heapq.heappop(self.top_heap)
            if -top != cell.top_rank:
                continue
            cell.top_rank = -1.0
            self.examined_count += 1
            if not self._drop_stale(cell):
                self.buckets.pop(cell.key, None)
            elif cell.upper_bound / cell.entries[0][0] < -top:
                self._push_top(cell)  # its cheapest entry is gone
            else:
                return cell
        return None

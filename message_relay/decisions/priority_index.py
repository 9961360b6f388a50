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
    FULL_VIEW,
    STEPS,
    DestinationQueue,
    DestinationState,
    PendingMessage,
    PriorityBucket,
    kept,
)

AHEAD_MS = 1000.0  # what waiting would cost is reckoned over so long
BANDS, MOST_BANDS = 16, 256  # of age: in the time of an aim, and in a whole life
EXACT = 8  # entries whose bounds overlap are compared exactly, up to so many
CELLS_A_MS = 10.0  # bounds are renewed so slowly that no more cells than this are looked at in a millisecond


Key = tuple[int, float, float, int]  # class, worth, time to live or minus a step of it, band of age
Entry = tuple[
    float, int, PendingMessage, DestinationState, DestinationQueue, int
]  # cost, a number, ..., stamp of the queue's look


@dataclass(slots=True, eq=False)
class IndexBucket:
    key: Key
    entries: list[Entry] = field(default_factory=list)  # heap: least cost first
    bound: float = 0.0  # at a cost of 1, until the bounds are renewed
    top: float = -1.0  # its latest place among the tops


def most_gain(cls: MessageClass, decay: Decay, low: float, high: float, least: float, most: float) -> float:
    """The most that sending now can win and save from falling, at a worth of 1, for any age at the answer
    from `low` to `high` and any time to live from `least` to `most`."""
    best = 0.0
    if low + AHEAD_MS < most:  # rises until the aim, falls after it
        at = min(max(low, cls.latency_objective_ms), high)
        best = 2 * kept(cls, decay, at) - kept(cls, decay, at + AHEAD_MS)
    if high + AHEAD_MS >= least and low < most:  # nothing would be left a second later: all of it is to win
        best = max(best, 2 * kept(cls, decay, max(low, least - AHEAD_MS)))
    return best


def edges(course: PriorityBucket, lane: DestinationState, now: float) -> tuple[list[PendingMessage], float]:
    """The only messages of a course that can be its best, and when others may be; all of them, if few."""
    ready, at = course.ready, now + lane.mean
    if len(ready) <= FULL_VIEW:
        return [each[2] for each in ready], FOREVER
    brink = course.life - AHEAD_MS
    young = min(course.cls.latency_objective_ms, brink)
    rising = bisect_right(ready, (at - young, FOREVER))
    last = bisect_right(ready, (at - brink, FOREVER), 0, rising)  # those before it are on the brink
    spent = bisect_right(ready, (at - course.life, FOREVER), 0, last)
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
        change = min(change, ready[last - 1][0] + course.life)
    if spent and now + lane.mean / 4 < ready[spent - 1][2].due:  # its answer is likely to come too late
        found.append(ready[spent - 1][2])
    return found, change - lane.mean


class PriorityIndex:
    def __init__(self, settings: Settings) -> None:
        self.classes, self.decay = settings.classes, settings.decay
        self.width = [
            max(cls.latency_objective_ms / BANDS, cls.deadline_ms / MOST_BANDS) for cls in settings.classes
        ]
        self.step = [cls.deadline_ms / STEPS for cls in settings.classes]  # of other times to live
        self.cells: dict[Key, IndexBucket] = {}
        self.tops: list[tuple[float, int, IndexBucket]] = []  # heap: minus a bound
        self.numbers = count()
        self.good_until = 0.0  # the bounds
        self.steps = 0  # messages and cells looked at so far

    def enter(
        self,
        now: float,
        course: PriorityBucket,
        lane: DestinationState,
        cost: float,
        newcomer: PendingMessage | None = None,
    ) -> float:
        """Takes up what may be sent on this lane, or only the newcomer; when to look at it anew."""
        if now >= self.good_until:
            self._renew(now)
        found, change = edges(course, lane, now) if newcomer is None else ([newcomer], FOREVER)
        class_, queue, cells = course.class_, course.queue, self.cells
        width, stamp = self.width[class_], queue.stamp
        life = course.life if course.life == course.cls.deadline_ms else -(course.life // self.step[class_])
        self.steps += len(found)
        for held in found:
            key = class_, course.worth, life, int((held.since - lane.mean) // width)
            cell = cells.get(key)
            if cell is None:
                cell = cells[key] = IndexBucket(key)
                cell.bound = self._bound(key, now)
            heapq.heappush(cell.entries, (cost, next(self.numbers), held, lane, queue, stamp))
            if cell.bound / cost > cell.top:
                self._rank(cell)
        return change

    def _rank(self, cell: IndexBucket) -> None:
        cell.top = cell.bound / cell.entries[0][0]
        heapq.heappush(self.tops, (-cell.top, next(self.numbers), cell))

    def _bound(self, key: Key, now: float) -> float:
        """The most that any message of this cell is worth to send until the bounds are renewed."""
        class_, worth, life, band = key
        cls, width, step = self.classes[class_], self.width[class_], self.step[class_]
        least, most = (life, life) if life > 0 else (-life * step, (1 - life) * step)
        low, high = now - (band + 1) * width, self.good_until - band * width
        return worth * most_gain(cls, self.decay, low, high, least - 1.0, most + 1.0)  # lives are rounded

    def _renew(self, now: float) -> None:
        """Worth falls with time: ranks the cells anew, and forgets those in which nothing is left."""
        self.good_until = now + max(min(self.width) / 2, len(self.cells) / CELLS_A_MS)
        self.tops.clear()
        for cell in list(self.cells.values()):
            self.steps += 1
            if self._clean(cell):
                cell.bound = self._bound(cell.key, now)
                self._rank(cell)
            else:
                del self.cells[cell.key]

    @staticmethod
    def _clean(cell: IndexBucket) -> bool:
        """Whether it holds something that still stands; entries of earlier looks are dropped."""
        entries = cell.entries
        while entries and (entries[0][5] != entries[0][4].stamp or entries[0][2].course is None):
            heapq.heappop(entries)
        return bool(entries)

    def worth(self, now: float, held: PendingMessage, lane: DestinationState) -> float:
        """Exactly, at a cost of 1."""
        at = now + lane.mean
        return 2 * held.worth_at(at, self.decay) - held.worth_at(at + AHEAD_MS, self.decay)

    def best(self, now: float) -> Entry | None:
        """Takes out the entry of most worth per slot time: exactly, unless there are more than EXACT
        whose bounds lie above the best. The caller looks at its queue anew, which voids the others of it."""
        if now >= self.good_until:
            self._renew(now)
        best: Entry | None = None
        most = -1.0
        others: list[tuple[IndexBucket, Entry]] = []
        while len(others) < EXACT and (cell := self._top(most)) is not None:
            entry = heapq.heappop(cell.entries)
            self.steps += 1
            value = self.worth(now, entry[2], entry[3]) / entry[0]
            if value > most:
                best, most = entry, value
            others.append((cell, entry))
            if self._clean(cell):
                self._rank(cell)
        for cell, entry in others:
            if entry is not best:
                heapq.heappush(cell.entries, entry)
                self.cells[cell.key] = cell
                if cell.bound / entry[0] > cell.top:
                    self._rank(cell)
        return best

    def _top(self, most: float) -> IndexBucket | None:
        """The cell with the highest bound, if that lies above the best so far."""
        while self.tops and -self.tops[0][0] > most:
            top, _, cell = heapq.heappop(self.tops)
            if -top != cell.top:
                continue
            cell.top = -1.0
            self.steps += 1
            if not self._clean(cell):
                self.cells.pop(cell.key, None)
            elif cell.bound / cell.entries[0][0] < -top:
                self._rank(cell)  # its cheapest entry is gone
            else:
                return cell
        return None

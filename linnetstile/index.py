"""Finds the message with most worth still to win per slot time among many, without looking at each of them.

What a message is worth to send now is a function of its class, its tenant's share and its age when the
answer comes: it is flat, rises until the aim, falls after it, and doubles once nothing would be left of it a
second later. So of a `Course` only the message at the edge of each of these pieces can be its best: `edges`
finds them by bisection. They are entered into cells by class, worth, piece and band of age. All in a cell are
worth about the same at any time, and so only the cost of their lane ranks them, which does not change with
time: a cell is a heap by cost, and the cells are ranked among each other by a bound that is renewed every now
and then.
"""

from __future__ import annotations

import heapq
from bisect import bisect_right
from dataclasses import dataclass, field
from enum import IntEnum
from itertools import count

from .interface import Decay, MessageClass, Settings
from .state import FOREVER, Course, Held, Lane, Queue, kept

AHEAD_MS = 1000.0  # what waiting would cost is reckoned over so long
BANDS, MOST_BANDS = 16, 256  # of age: in the time of an aim, and in a whole life
EXACT = 8  # entries whose bounds overlap are compared exactly, up to so many
CELLS_A_MS = 10.0  # bounds are renewed so slowly that no more cells than this are looked at in a millisecond


class Piece(IntEnum):
    """How what a message is worth to send now depends on its age."""

    EARLY = 0  # rises until its aim, falls after it
    BRINK = 1  # nothing would be left of it a second later: all of it is to be won
    SPENT = 2  # its answer is likely to come too late


Key = tuple[int, float, Piece, int]  # class, worth, piece, band of age
Entry = tuple[float, int, Held, Lane, Queue, int]  # cost, a number, ..., stamp of the queue's look


@dataclass(slots=True, eq=False)
class Cell:
    key: Key
    entries: list[Entry] = field(default_factory=list)  # heap: least cost first
    bound: float = 0.0  # at a cost of 1, until the bounds are renewed
    top: float = -1.0  # its latest place among the tops


def gain(cls: MessageClass, decay: Decay, piece: Piece, age: float) -> float:
    """Worth won by sending now, and saved from falling, at a worth of 1; `age` is that at the answer."""
    if piece is Piece.SPENT:
        return 0.0
    soon = 2 * kept(cls, decay, age)
    return soon if piece is Piece.BRINK else soon - kept(cls, decay, age + AHEAD_MS)


def edges(course: Course, lane: Lane, now: float) -> tuple[list[tuple[Piece, Held]], float]:
    """The only messages of a course that can be its best, and when that changes by itself."""
    ready, at = course.ready, now + lane.mean
    if not ready:
        return [], FOREVER
    found: list[tuple[Piece, Held]] = []
    brink = course.life - AHEAD_MS
    rising = bisect_right(ready, (at - min(course.cls.aim_ms, brink), FOREVER))
    last = bisect_right(ready, (at - brink, FOREVER), 0, rising)  # those before it are on the brink
    spent = bisect_right(ready, (at - course.life, FOREVER), 0, last)
    change = FOREVER
    if rising < len(ready):  # the oldest is nearest to its aim
        found.append((Piece.EARLY, ready[rising][2]))
        change = ready[rising][0] + min(course.cls.aim_ms, brink)
    if last < rising:  # the youngest has lost least
        found.append((Piece.EARLY, ready[rising - 1][2]))
    if last < len(ready):
        change = min(change, ready[last][0] + brink)
    if spent < last:
        found.append((Piece.BRINK, ready[last - 1][2]))
        change = min(change, ready[last - 1][0] + course.life)
    if spent and now + lane.mean / 4 < ready[spent - 1][2].due:
        found.append((Piece.SPENT, ready[spent - 1][2]))
    return found, change - lane.mean


class Index:
    def __init__(self, settings: Settings) -> None:
        self.classes, self.decay = settings.classes, settings.decay
        self.width = [max(cls.aim_ms / BANDS, cls.deadline_ms / MOST_BANDS) for cls in settings.classes]
        self.cells: dict[Key, Cell] = {}
        self.tops: list[tuple[float, int, Cell]] = []  # heap: minus a bound
        self.numbers = count()
        self.good_until = 0.0  # the bounds
        self.steps = 0  # messages and cells looked at so far

    # -- entering ----------------------------------------------------------------------------------------

    def enter(self, now: float, course: Course, lane: Lane, cost: float) -> float:
        """Takes up what may be sent on this lane; when it has to be looked at anew."""
        if now >= self.good_until:
            self._renew(now)
        found, change = edges(course, lane, now)
        for piece, held in found:
            self.steps += 1
            band = int((held.since - lane.mean) // self.width[course.class_])
            key = (course.class_, course.worth, piece, band)
            cell = self.cells.get(key)
            if cell is None:
                cell = self.cells[key] = Cell(key)
                cell.bound = self._bound(key, now)
            entry = (cost, next(self.numbers), held, lane, course.queue, course.queue.stamp)
            heapq.heappush(cell.entries, entry)
            if cell.bound / cost > cell.top:
                self._rank(cell)
        return change

    def _rank(self, cell: Cell) -> None:
        cell.top = cell.bound / cell.entries[0][0]
        heapq.heappush(self.tops, (-cell.top, next(self.numbers), cell))

    def _bound(self, key: Key, now: float) -> float:
        """The most that any message of this cell is worth to send until the bounds are renewed."""
        class_, worth, piece, band = key
        cls, width = self.classes[class_], self.width[class_]
        youngest, oldest = now - (band + 1) * width, self.good_until - band * width
        best = youngest if piece is Piece.BRINK else min(max(youngest, cls.aim_ms), oldest)
        return worth * gain(cls, self.decay, piece, best)

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
    def _clean(cell: Cell) -> bool:
        """Whether it holds something that still stands; entries of earlier looks are dropped."""
        entries = cell.entries
        while entries and entries[0][5] != entries[0][4].stamp:
            heapq.heappop(entries)
        return bool(entries)

    # -- finding -----------------------------------------------------------------------------------------

    def worth(self, now: float, held: Held, lane: Lane) -> float:
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
        others: list[tuple[Cell, Entry]] = []
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

    def _top(self, most: float) -> Cell | None:
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

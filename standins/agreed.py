"""What a partner with an agreed rate can do, goes down and comes back cold. No I/O; the clock is passed in
(ms)."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

LENIENT = 1.05  # of what it can do, and BURST calls: it refuses only what is clearly above
BURST = 2
WINDOW_MS = 1000.0


class Answer(Enum):
    TAKEN = "taken"
    FULL = "full"
    DOWN = "down"


@dataclass
class Agreed:
    rate: float  # calls a second
    downs: Sequence[tuple[float, float]] = ()  # from and until, in order
    cold: float = 0.18  # share of its rate right after an outage
    cold_ms: float = 11_000.0  # until it is warm again; capacity grows evenly
    taken: list[float] = field(default_factory=list)  # within the window, or all if `keep`
    keep: bool = False

    def since(self, at: float) -> float | None:
        """When the latest outage ended; None: there was none."""
        return max((end for _, end in self.downs if end <= at), default=None)

    def can(self, at: float) -> float:
        """Calls a second that it can do."""
        if any(begin <= at < end for begin, end in self.downs):
            return 0.0
        back = self.since(at)
        if back is None:
            return self.rate
        return self.rate * min(1.0, self.cold + (1 - self.cold) * (at - back) / self.cold_ms)

    def call(self, at: float) -> Answer:
        can = self.can(at)
        if can <= 0.0:
            return Answer.DOWN
        begins = max(at - WINDOW_MS, self.since(at) or at - WINDOW_MS)
        first = bisect_left(self.taken, begins)
        if not self.keep:
            del self.taken[:first]
            first = 0
        if len(self.taken) - first + 1 > max(1.0, LENIENT * can * (at - begins) / 1000 + BURST):
            return Answer.FULL
        self.taken.append(at)
        return Answer.TAKEN

"""When a broker is tried again, and at which of its addresses. Decisions: no I/O, the clock is passed in."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

FIRST_S, MOST_S = 0.2, 30.0  # wait before the second try; doubles, with jitter, up to the most
JITTER = 0.3  # of a wait, to either side: relays that lost a broker together do not come back together
STEADY_S = 5.0  # a connection that stood so long, or confirmed anything, was well: the waits begin anew


@dataclass
class ReconnectPolicy:
    hosts: int  # addresses that the broker has, tried in turn
    rng: Random
    failures: int = 0  # in a row
    at: int = 0  # address of the next try
    not_before: float = 0.0
    opened_at: float | None = field(default=None)
    worked: bool = False  # it has confirmed a publish

    def may_try(self, now: float) -> bool:
        return now >= self.not_before

    def opened(self, now: float) -> None:
        self.opened_at = now

    def ended(self, now: float) -> float:
        """A connection, or a try for one, has ended; how long to wait now, in seconds."""
        if self.worked or self.opened_at is not None and now - self.opened_at >= STEADY_S:
            self.failures = 0
        self.opened_at, self.worked = None, False
        self.at = (self.at + 1) % self.hosts
        # All addresses are tried once before any wait grows.
        wait = min(MOST_S, FIRST_S * 2.0 ** min(20, self.failures // self.hosts))
        self.failures += 1
        wait *= 1 + JITTER * (2 * self.rng.random() - 1)
        self.not_before = now + wait
        return wait

"""Decides when a broker is connected to again, and at which of its addresses; no I/O.

Times are in seconds, on a clock that the caller passes in.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

# The delay before the second attempt; it doubles, with jitter, up to the longest.
INITIAL_DELAY_S = 0.2
MAX_DELAY_S = 30.0
MAX_DOUBLINGS = 20
JITTER = 0.3  # share of a delay, up or down: relays that lost a broker together do not reconnect together
# A connection that was open for this long, or confirmed any publish, was healthy: the delays start over.
STABLE_AFTER_S = 5.0


@dataclass
class ReconnectPolicy:
    """Backoff with jitter over the addresses of one broker, which are tried in turn."""

    address_count: int
    rng: Random
    failures: int = 0  # in a row
    address_index: int = 0  # of the next attempt
    not_before: float = 0.0
    opened_at: float | None = field(default=None)
    has_confirmed: bool = False  # the connection has confirmed a publish

    def may_connect(self, now: float) -> bool:
        """Whether the delay after the latest failure is over."""
        return now >= self.not_before

    def on_opened(self, now: float) -> None:
        """Note that a connection is open."""
        self.opened_at = now

    def on_closed(self, now: float) -> float:
        """Note that a connection, or an attempt to connect, has ended; the delay from now on, in seconds."""
        if self._was_healthy(now):
            self.failures = 0
        self.opened_at = None
        self.has_confirmed = False
        self.address_index = (self.address_index + 1) % self.address_count
        # All addresses are tried once before the delay grows.
        doublings = min(MAX_DOUBLINGS, self.failures // self.address_count)
        delay = min(MAX_DELAY_S, INITIAL_DELAY_S * 2.0**doublings)
        self.failures += 1
        delay *= 1 + JITTER * (2 * self.rng.random() - 1)
        self.not_before = now + delay
        return delay

    def _was_healthy(self, now: float) -> bool:
        if self.has_confirmed:
            return True
        return self.opened_at is not None and now - self.opened_at >= STABLE_AFTER_S

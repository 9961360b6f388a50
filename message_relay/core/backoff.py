"""Exponential backoff with jitter, decided without I/O. The unit is the caller's."""

from __future__ import annotations

import random

MAX_DOUBLINGS = 16  # past any ratio of a longest delay to a first one
# Factors of a delay, drawn at random: callers that failed together do not retry together.
MIN_JITTER = 0.7
MAX_JITTER = 1.3


class ExponentialBackoff:
    """Delays that double with each failure in a row, from `initial` up to `maximum`, before jitter."""

    def __init__(self, initial: float, maximum: float, rng: random.Random) -> None:
        self.initial = initial
        self.maximum = maximum
        self.rng = rng
        self.failures = 0

    def next_delay(self) -> float:
        """The delay after one more failure in a row."""
        delay = min(self.maximum, self.initial * 2.0 ** min(self.failures, MAX_DOUBLINGS))
        self.failures += 1
        return delay * self.rng.uniform(MIN_JITTER, MAX_JITTER)

    def reset(self) -> None:
        """Starts over from the initial delay, after a success."""
        self.failures = 0

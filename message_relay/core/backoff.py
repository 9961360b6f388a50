"""Exponential backoff with jitter, without I/O. Delays are in the unit of `initial` and `maximum`."""

from __future__ import annotations

import random

MAX_DOUBLINGS = 16  # 2**16 exceeds any ratio of a maximum delay to an initial one
# Range of the random factor of a delay, so that callers that failed together do not retry together.
MIN_JITTER = 0.7
MAX_JITTER = 1.3


class ExponentialBackoff:
    """Delays that double with each consecutive failure, from `initial` up to `maximum`, before jitter."""

    def __init__(self, initial: float, maximum: float, rng: random.Random) -> None:
        self.initial = initial
        self.maximum = maximum
        self.rng = rng
        self.failures = 0

    def next_delay(self) -> float:
        """Counts one more consecutive failure and returns the delay after it."""
        delay = min(self.maximum, self.initial * 2.0 ** min(self.failures, MAX_DOUBLINGS))
        self.failures += 1
        return delay * self.rng.uniform(MIN_JITTER, MAX_JITTER)

    def reset(self) -> None:
        """Starts over from the initial delay, after a success."""
        self.failures = 0

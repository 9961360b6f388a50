"""Growing, jittered pauses between tries, decided without I/O. The unit is the caller's."""

from __future__ import annotations

import random

MAX_DOUBLINGS = 16  # past any ratio of a longest pause to a first one
MIN_JITTER, MAX_JITTER = (
    0.7,
    1.3,
)  # of a pause, by chance: those that failed together do not come back together


class ExponentialBackoff:
    def __init__(self, first: float, most: float, rng: random.Random) -> None:
        self.initial, self.maximum, self.rng, self.failures = first, most, rng, 0

    def next_delay(self) -> float:
        """The pause after one more failure in a row."""
        pause = min(self.maximum, self.initial * 2.0 ** min(self.failures, MAX_DOUBLINGS))
        self.failures += 1
        return pause * self.rng.uniform(MIN_JITTER, MAX_JITTER)

    def reset(self) -> None:
        """What was tried has worked."""
        self.failures = 0

"""The rate at which a destination is known to deliver, measured from its successes.

A send rate that is raised after each success says what was tried, and exceeds the capacity of a destination
by far once some calls of a backlog are in flight. Successes per second cannot exceed it for long.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .model import NEVER

AVERAGING_MS = 2000.0  # time constant of the mean: long enough to even out a queue that drains in a burst
FORGETTING_MS = 10000.0  # time constant with which a higher rate is forgotten while calls are refused


@dataclass(slots=True)
class DeliveredRate:
    """Successes per second of this relay at one destination: the recent mean, and the highest one."""

    recent: float = 0.0  # as of `updated_at`
    highest: float = 0.0
    updated_at: float = NEVER

    def record_success(self, now: float, is_throttled: bool) -> None:
        """Counts one success.

        `is_throttled`: calls were refused recently. Then the destination delivers as much as it can, and a
        higher rate of earlier times no longer holds.
        """
        elapsed_ms = now - self.updated_at
        self.updated_at = now
        self.recent = self.recent * math.exp(-elapsed_ms / AVERAGING_MS) + 1000 / AVERAGING_MS
        if is_throttled:
            self.highest *= math.exp(-min(elapsed_ms, AVERAGING_MS) / FORGETTING_MS)
        self.highest = max(self.highest, self.recent)

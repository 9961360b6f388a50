"""The clock on which leases run: it never steps, and goes on while the machine is asleep.

`LINNETSTILE_CLOCK_RATE` sets it apart from others, for tests of faults: 1.02 runs 2% fast."""

from __future__ import annotations

import os
import time


class Clock:
    """Seconds since the machine's start, times `rate`."""

    def __init__(self, rate: float = 1.0) -> None:
        self.rate = rate

    @classmethod
    def from_environment(cls) -> Clock:
        """A clock with the rate of `LINNETSTILE_CLOCK_RATE`, 1 if it is not set."""
        return cls(float(os.environ.get("LINNETSTILE_CLOCK_RATE", "1")))

    def now(self) -> float:
        """The time in seconds, of no fixed origin."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * self.rate

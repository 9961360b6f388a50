"""The clock of leases: it never steps, and it continues while the machine is suspended.

`LINNETSTILE_CLOCK_RATE` sets its rate for fault tests: at 1.02 it runs 2% fast.
"""

from __future__ import annotations

import os
import time


class Clock:
    """Seconds since the machine was started, times `rate`."""

    def __init__(self, rate: float = 1.0) -> None:
        self.rate = rate

    @classmethod
    def from_environment(cls) -> Clock:
        """Return a clock with the rate in `LINNETSTILE_CLOCK_RATE`; 1 if it is not set."""
        return cls(float(os.environ.get("LINNETSTILE_CLOCK_RATE", "1")))

    def now(self) -> float:
        """Return the time in seconds since an arbitrary origin."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * self.rate

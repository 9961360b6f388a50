"""Wall-clock time for records that outlive the process; everything else uses the event loop's clock."""

from __future__ import annotations

import time


def unix_time_ms() -> float:
    """The current wall-clock time in Unix milliseconds."""
    return time.time() * 1000

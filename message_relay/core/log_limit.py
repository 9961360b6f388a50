"""Limits how often a line is logged that a peer can cause as often as it likes."""

from __future__ import annotations

LOG_INTERVAL_S = 10.0


class LogLimit:
    """Allows one line an interval, and counts the events that it stands for."""

    def __init__(self, interval_s: float = LOG_INTERVAL_S) -> None:
        self.interval_s = interval_s
        self._unreported = 0
        self._logged_at = float("-inf")

    def add(self, now_s: float) -> int:
        """Counts an event. Returns how many events to report in a line now; 0: log nothing."""
        self._unreported += 1
        if now_s - self._logged_at < self.interval_s:
            return 0
        count = self._unreported
        self._unreported = 0
        self._logged_at = now_s
        return count

"""Merge policy: resolves conflicting reports from several discovery sources about one endpoint.

Pure decisions without I/O. docs/endpoint-discovery.md has the table for operators.

| status | the source |
| --- | --- |
| unknown | never reported the endpoint |
| ready | reports that it accepts work |
| draining | reports that it only completes the work it already has |
| gone | reported its removal, or omitted it from a full list that used to contain it |

The most severe status wins: an endpoint that any source reports as draining or gone receives no new work, and
an endpoint that only one source knows has the status that this source reports.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum

from ..decisions.model import Listing


class EndpointStatus(IntEnum):
    """One source's status of an endpoint, ordered by severity."""

    UNKNOWN = 0
    READY = 1
    DRAINING = 2
    GONE = 3


STATUS_BY_LISTING = {
    Listing.READY: EndpointStatus.READY,
    Listing.DRAINING: EndpointStatus.DRAINING,
    Listing.REMOVED: EndpointStatus.GONE,
}
LISTING_BY_STATUS = {status: listing for listing, status in STATUS_BY_LISTING.items()}


def most_severe(statuses: Iterable[EndpointStatus]) -> EndpointStatus:
    """Return the highest status, UNKNOWN if there is none."""
    return max(statuses, default=EndpointStatus.UNKNOWN)


SUDDEN_SHRINK_RATIO = 0.5  # a list that retains less than this share of its endpoints has shrunk suddenly
SHRINK_CHECK_MIN_ENDPOINTS = 2  # not checked if the previous list was smaller than this
SHRINK_ACCEPTED_AFTER_S = 5.0  # a shrink that is still reported after this time is accepted,
SHRINK_ACCEPTED_AFTER_REPORTS = 3  # and so is one that was reported this many times in a row


class ShrinkGuard:
    """Rejects a full list that has shrunk suddenly, until it is confirmed by time or repetition.

    Guards against truncated or empty answers being read as the removal of all endpoints. While a list is
    rejected, the endpoints missing from it keep their status; what it reports explicitly always counts.
    """

    def __init__(self) -> None:
        self.suspicious_since: float | None = None  # s, time of the first such list in a row
        self.suspicious_reports = 0

    def accepts(self, now: float, previous_count: int, retained_count: int) -> bool:
        """Return whether the endpoints missing from a full list may be removed.

        `now` is in seconds, `previous_count` the size of the last accepted list, and `retained_count` how
        many of its endpoints the new list contains.
        """
        is_checked = previous_count >= SHRINK_CHECK_MIN_ENDPOINTS
        if not is_checked or retained_count >= SUDDEN_SHRINK_RATIO * previous_count:
            self._reset()
            return True
        if self.suspicious_since is None:
            self.suspicious_since = now
        self.suspicious_reports += 1
        is_repeated = self.suspicious_reports >= SHRINK_ACCEPTED_AFTER_REPORTS
        if is_repeated or now - self.suspicious_since >= SHRINK_ACCEPTED_AFTER_S:
            self._reset()
            return True
        return False

    def _reset(self) -> None:
        self.suspicious_since = None
        self.suspicious_reports = 0

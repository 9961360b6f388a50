"""What two words about one endpoint come to. Decisions: no I/O. docs/membership.md has the table.

| a source's word | means |
| --- | --- |
| unknown | it never told of it |
| ready | it takes work |
| draining | it finishes what it has |
| gone | it was told so, or is missing from a list that had it |

The gravest word counts: nobody is sent new work that any source calls draining or gone, and what only one
source knows is as that one says."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum

from ..decisions.model import Listing


class EndpointStatus(IntEnum):
    """The graver, the higher."""

    UNKNOWN = 0
    READY = 1
    DRAINING = 2
    GONE = 3


STATUS_BY_LISTING = {
    Listing.READY: EndpointStatus.READY,
    Listing.DRAINING: EndpointStatus.DRAINING,
    Listing.GONE: EndpointStatus.GONE,
}
LISTING_BY_STATUS = {word: listing for listing, word in STATUS_BY_LISTING.items()}


def most_severe(words: Iterable[EndpointStatus]) -> EndpointStatus:
    return max(words, default=EndpointStatus.UNKNOWN)


SUDDEN_SHRINK_RATIO = 0.5  # a list with less than this part of what it had is a sudden shrink
SHRINK_CHECK_MIN_ENDPOINTS = 2  # endpoints that it had, under which no list can shrink suddenly
SHRINK_ACCEPTED_AFTER_S = 5.0  # a shrink that is told again after so long is believed
SHRINK_ACCEPTED_AFTER_REPORTS = 3  # or one that was told so often in a row


class ShrinkGuard:
    """Whether a whole list that has suddenly shrunk is believed: a cut answer, or an empty one, is not "all
    gone". Until then its missing endpoints are as they were; what it says outright always counts."""

    def __init__(self) -> None:
        self.suspicious_since: float | None = None  # s, of the first such list in a row
        self.suspicious_reports = 0

    def accepts(self, now: float, had: int, has: int) -> bool:
        """`had`: endpoints of the latest list that was believed, of which `has` are in this one."""
        if had < SHRINK_CHECK_MIN_ENDPOINTS or has >= SUDDEN_SHRINK_RATIO * had:
            self.suspicious_since, self.suspicious_reports = None, 0
            return True
        self.suspicious_since = now if self.suspicious_since is None else self.suspicious_since
        self.suspicious_reports += 1
        if (
            self.suspicious_reports < SHRINK_ACCEPTED_AFTER_REPORTS
            and now - self.suspicious_since < SHRINK_ACCEPTED_AFTER_S
        ):
            return False
        self.suspicious_since, self.suspicious_reports = None, 0
        return True

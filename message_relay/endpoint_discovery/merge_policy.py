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


WORDS = {
    Listing.READY: EndpointStatus.READY,
    Listing.DRAINING: EndpointStatus.DRAINING,
    Listing.GONE: EndpointStatus.GONE,
}
LISTINGS = {word: listing for listing, word in WORDS.items()}


def most_severe(words: Iterable[EndpointStatus]) -> EndpointStatus:
    return max(words, default=EndpointStatus.UNKNOWN)


LEFT = 0.5  # a list with less than this part of what it had is a sudden shrink
FEWEST = 2  # endpoints that it had, under which no list can shrink suddenly
BELIEVED_S = 5.0  # a shrink that is told again after so long is believed
TOLD = 3  # or one that was told so often in a row


class ShrinkGuard:
    """Whether a whole list that has suddenly shrunk is believed: a cut answer, or an empty one, is not "all
    gone". Until then its missing endpoints are as they were; what it says outright always counts."""

    def __init__(self) -> None:
        self.since: float | None = None  # s, of the first such list in a row
        self.times = 0

    def believed(self, now: float, had: int, has: int) -> bool:
        """`had`: endpoints of the latest list that was believed, of which `has` are in this one."""
        if had < FEWEST or has >= LEFT * had:
            self.since, self.times = None, 0
            return True
        self.since = now if self.since is None else self.since
        self.times += 1
        if self.times < TOLD and now - self.since < BELIEVED_S:
            return False
        self.since, self.times = None, 0
        return True

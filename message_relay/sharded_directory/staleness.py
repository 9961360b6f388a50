"""How old what a reader has may be, told from what keepers said and when they said it at the earliest. No
I/O.

A *fact* is "at this moment the source was at this version": a keeper's word, dated by when its ask went
out (or, for a digest, by the keeper's own clock since then) less the age of its source. It is true for all
keepers, as they count alike; a shard that is as of that version or a later one was right at that moment.
So a digest that lay in the buffer of a frozen reader, or came twice, makes nothing younger.

Where no fact is young enough, what is known may still serve once every keeper was tried since: each could not
be reached, or had nothing that the shard lacks.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable

from .wire import Version

FACTS_MOST = 32  # a version each: past the changes of a second, of which each fact is one
BEFORE = float("-inf")


class Clock:
    """A keeper's, as of its latest answer."""

    __slots__ = ("boot", "offset")

    def __init__(self, boot: int, offset: float) -> None:
        self.boot, self.offset = boot, offset


class Freshness:
    def __init__(self, keepers: Iterable[str], bound_s: float) -> None:
        self.bound_s = bound_s
        self.versions: list[Version] = []  # ascending, and so are their times
        self.times: list[float] = []
        self.tried: dict[str, tuple[float, Version | None]] = {name: (BEFORE, None) for name in keepers}
        self.clocks: dict[str, Clock] = {}

    # -- what is said ----------------------------------------------------------------------------------------

    def answered(self, keeper: str, sent_at: float, boot: int, clock_ms: float) -> None:
        """An ask went out before its answer was made: that dates the keeper's clock, not too late."""
        self.clocks[keeper] = Clock(boot, sent_at - clock_ms / 1e3)

    def dated(self, now: float, keeper: str, boot: int, clock_ms: float) -> float | None:
        """When this digest was sent at the earliest; None: another process's than was asked."""
        clock = self.clocks.get(keeper)
        if clock is None or clock.boot != boot:
            return None
        return min(now, clock.offset + clock_ms / 1e3)

    def says(self, keeper: str, at: float, version: Version, age_s: float, credible: bool = True) -> None:
        """As of `at` the keeper was at this version, and its source had told it so much earlier. Not
        credible: there was a later one before, so that its source lags, whatever it says of its age."""
        if at >= self.tried[keeper][0]:
            self.tried[keeper] = (at, version)
        if credible:
            self._fact(version, at - age_s)

    def failed(self, keeper: str, at: float) -> None:
        """An ask that went out then has had no answer."""
        if at >= self.tried[keeper][0]:
            self.tried[keeper] = (at, None)

    def _fact(self, version: Version, at: float) -> None:
        place = bisect_right(self.versions, version)
        if place and self.times[place - 1] >= at:
            return  # a lower version, and later: says more
        first = place - 1 if place and self.versions[place - 1] == version else place
        while place < len(self.times) and self.times[place] <= at:
            place += 1
        self.versions[first:place], self.times[first:place] = [version], [at]
        if len(self.times) > FACTS_MOST:
            del self.versions[0], self.times[0]

    # -- what follows ----------------------------------------------------------------------------------------

    def confirmed(self, version: Version) -> float:
        """When what is as of this version was right, at the latest that is known."""
        place = bisect_right(self.versions, version)
        return self.times[place - 1] if place else BEFORE

    def current(self, now: float, version: Version) -> bool:
        oldest = now - self.bound_s
        if self.confirmed(version) >= oldest:
            return True
        return all(at >= oldest and (had is None or had <= version) for at, had in self.tried.values())

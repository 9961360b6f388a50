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

MAX_FACTS = 32  # a version each: past the changes of a second, of which each fact is one
NEVER = float("-inf")


class ServerClock:
    """A keeper's, as of its latest answer."""

    __slots__ = ("process_epoch", "offset")

    def __init__(self, boot: int, offset: float) -> None:
        self.process_epoch, self.offset = boot, offset


class StalenessTracker:
    def __init__(self, servers: Iterable[str], bound_s: float) -> None:
        self.bound_s = bound_s
        self.fact_versions: list[Version] = []  # ascending, and so are their times
        self.fact_times: list[float] = []
        self.last_contacts: dict[str, tuple[float, Version | None]] = {
            name: (NEVER, None) for name in servers
        }
        self.clocks: dict[str, ServerClock] = {}

    # -- what is said ----------------------------------------------------------------------------------------

    def record_response(self, server: str, sent_at: float, process_epoch: int, clock_ms: float) -> None:
        """An ask went out before its answer was made: that dates the keeper's clock, not too late."""
        self.clocks[server] = ServerClock(process_epoch, sent_at - clock_ms / 1e3)

    def earliest_sent_at(self, now: float, server: str, process_epoch: int, clock_ms: float) -> float | None:
        """When this digest was sent at the earliest; None: another process's than was asked."""
        clock = self.clocks.get(server)
        if clock is None or clock.process_epoch != process_epoch:
            return None
        return min(now, clock.offset + clock_ms / 1e3)

    def record_version(
        self, server: str, at: float, version: Version, age_s: float, is_credible: bool = True
    ) -> None:
        """As of `at` the keeper was at this version, and its source had told it so much earlier. Not
        credible: there was a later one before, so that its source lags, whatever it says of its age."""
        if at >= self.last_contacts[server][0]:
            self.last_contacts[server] = (at, version)
        if is_credible:
            self._add_fact(version, at - age_s)

    def record_failure(self, server: str, at: float) -> None:
        """An ask that went out then has had no answer."""
        if at >= self.last_contacts[server][0]:
            self.last_contacts[server] = (at, None)

    def _add_fact(self, version: Version, at: float) -> None:
        place = bisect_right(self.fact_versions, version)
        if place and self.fact_times[place - 1] >= at:
            return  # a lower version, and later: says more
        first = place - 1 if place and self.fact_versions[place - 1] == version else place
        while place < len(self.fact_times) and self.fact_times[place] <= at:
            place += 1
        self.fact_versions[first:place], self.fact_times[first:place] = [version], [at]
        if len(self.fact_times) > MAX_FACTS:
            del self.fact_versions[0], self.fact_times[0]

    # -- what follows ----------------------------------------------------------------------------------------

    def confirmed_at(self, version: Version) -> float:
        """When what is as of this version was right, at the latest that is known."""
        place = bisect_right(self.fact_versions, version)
        return self.fact_times[place - 1] if place else NEVER

    def is_current(self, now: float, version: Version) -> bool:
        oldest = now - self.bound_s
        if self.confirmed_at(version) >= oldest:
            return True
        return all(
            at >= oldest and (had is None or had <= version) for at, had in self.last_contacts.values()
        )

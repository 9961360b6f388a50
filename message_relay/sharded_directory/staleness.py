"""How old a client's data may be, from what servers reported and the earliest time they can have sent it.

A *fact* is "at this time the source was at this version": a server's report, dated by when its request was
sent (or, for a digest, by the server's own clock since then) less the age of its source. Facts hold for all
servers, as versions are the source's own; a shard that is as of that version or a later one was right at that
time. So a digest that lay in the buffer of a frozen client, or came twice, makes nothing younger.

Where no fact is young enough, what is known may still serve once every server was tried since: each could
not be reached, or had nothing newer. No I/O; times are in seconds.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from math import isfinite
from typing import NamedTuple

from .wire import Version

MAX_FACTS = 32  # a version each: more than the changes of a second, of which each fact is one
NEVER = float("-inf")
MAX_REPORTED_AGE_S = 1e9  # stands for "never" in the status, and for reported ages that are not finite


def source_age_s(age_ms: float) -> float:
    """Return a reported age in seconds; an age that is not finite counts as very old."""
    return max(0.0, age_ms / 1e3) if isfinite(age_ms) else MAX_REPORTED_AGE_S


class ServerClock:
    """A server's clock, as of its latest response."""

    __slots__ = ("offset", "process_epoch")

    def __init__(self, process_epoch: int, offset: float) -> None:
        self.process_epoch = process_epoch
        self.offset = offset  # our clock less the server's, at least


class Contact(NamedTuple):
    """The latest attempt to learn a server's version."""

    at: float
    version: Version | None  # None: it failed


class StalenessTracker:
    """Says whether data as of some version are within the staleness bound."""

    def __init__(self, servers: Iterable[str], bound_s: float) -> None:
        self.bound_s = bound_s
        self.fact_versions: list[Version] = []  # ascending, and so are their times
        self.fact_times: list[float] = []
        self.last_contacts = {name: Contact(NEVER, None) for name in servers}
        self.clocks: dict[str, ServerClock] = {}

    # -- reports ---------------------------------------------------------------------------------------------

    def record_response(self, server: str, sent_at: float, process_epoch: int, clock_ms: float) -> None:
        """Date the server's clock, not too late: the request was sent before the response was made."""
        self.clocks[server] = ServerClock(process_epoch, sent_at - clock_ms / 1e3)

    def earliest_sent_at(self, now: float, server: str, process_epoch: int, clock_ms: float) -> float | None:
        """When a digest was sent at the earliest; None: by a process that has not responded yet."""
        clock = self.clocks.get(server)
        if clock is None or clock.process_epoch != process_epoch:
            return None
        return min(now, clock.offset + clock_ms / 1e3)

    def record_version(
        self, server: str, at: float, version: Version, age_s: float, is_credible: bool = True
    ) -> None:
        """As of `at` the server was at this version, which its source had confirmed `age_s` earlier.

        Not credible: a later version is known, so that its source lags, whatever age it reports.
        """
        if at >= self.last_contacts[server].at:
            self.last_contacts[server] = Contact(at, version)
        if is_credible:
            self._add_fact(version, at - age_s)

    def record_failure(self, server: str, at: float) -> None:
        """A request that was sent at `at` got no response."""
        if at >= self.last_contacts[server].at:
            self.last_contacts[server] = Contact(at, None)

    def _add_fact(self, version: Version, at: float) -> None:
        place = bisect_right(self.fact_versions, version)
        if place and self.fact_times[place - 1] >= at:
            return  # a lower version is known to have been right later, which says more
        is_known_version = place > 0 and self.fact_versions[place - 1] == version
        first = place - 1 if is_known_version else place
        while place < len(self.fact_times) and self.fact_times[place] <= at:
            place += 1
        self.fact_versions[first:place] = [version]
        self.fact_times[first:place] = [at]
        if len(self.fact_times) > MAX_FACTS:
            del self.fact_versions[0]
            del self.fact_times[0]

    # -- conclusions -----------------------------------------------------------------------------------------

    def confirmed_at(self, version: Version) -> float:
        """The latest time at which data as of this version are known to have been right."""
        place = bisect_right(self.fact_versions, version)
        return self.fact_times[place - 1] if place else NEVER

    def is_current(self, now: float, version: Version) -> bool:
        """Whether data as of this version may be used."""
        oldest = now - self.bound_s
        if self.confirmed_at(version) >= oldest:
            return True
        return all(
            contact.at >= oldest and (contact.version is None or contact.version <= version)
            for contact in self.last_contacts.values()
        )

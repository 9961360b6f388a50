"""Bounds the age of a client's data by the reports of servers and the earliest time of their sending.

A *fact* is "at this time the source was at this version": a server's report, dated by the time its request
was sent (or, for a digest, by the server's own clock since then) less the age of its source. Facts apply to
all servers, since versions are the source's own; a shard as of that version or a later one was correct at
that time. So a digest that was buffered while the client was frozen, or came twice, makes no data younger.

Without a recent fact, known data may still be used once every server was tried since: each was unreachable or
had no newer version. No I/O; times are in seconds.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from math import isfinite
from typing import NamedTuple

from .wire import Version

MAX_FACTS = 32  # one per version: more than the changes in a second
NEVER = float("-inf")
MAX_REPORTED_AGE_S = 1e9  # means "never" in the status; replaces reported ages that are not finite


def source_age_s(age_ms: float) -> float:
    """Return a reported age in seconds; an age that is not finite counts as very old."""
    return max(0.0, age_ms / 1e3) if isfinite(age_ms) else MAX_REPORTED_AGE_S


class ServerClock:
    """A server's clock, as of its latest response."""

    __slots__ = ("offset", "process_epoch")

    def __init__(self, process_epoch: int, offset: float) -> None:
        self.process_epoch = process_epoch
        self.offset = offset  # lower bound of the local clock less the server's


class Contact(NamedTuple):
    """Latest attempt to learn a server's version."""

    at: float
    version: Version | None  # None: the attempt failed


class StalenessTracker:
    """Determines whether data as of some version are within the staleness bound."""

    def __init__(self, servers: Iterable[str], bound_s: float) -> None:
        self.bound_s = bound_s
        self.fact_versions: list[Version] = []  # ascending, and so are their times
        self.fact_times: list[float] = []
        self.last_contacts = {name: Contact(NEVER, None) for name in servers}
        self.clocks: dict[str, ServerClock] = {}

    # -- reports ---------------------------------------------------------------------------------------------

    def record_response(self, server: str, sent_at: float, process_epoch: int, clock_ms: float) -> None:
        """Bound the server's clock offset: the request was sent before the response was made."""
        self.clocks[server] = ServerClock(process_epoch, sent_at - clock_ms / 1e3)

    def earliest_sent_at(self, now: float, server: str, process_epoch: int, clock_ms: float) -> float | None:
        """Return the earliest time a digest was sent; None if its process has not responded yet."""
        clock = self.clocks.get(server)
        if clock is None or clock.process_epoch != process_epoch:
            return None
        return min(now, clock.offset + clock_ms / 1e3)

    def record_version(
        self, server: str, at: float, version: Version, age_s: float, is_credible: bool = True
    ) -> None:
        """Record that at `at` the server was at this version, confirmed by its source `age_s` earlier.

        Not credible means that a later version is known: the source lags, whatever age the server reports.
        """
        if at >= self.last_contacts[server].at:
            self.last_contacts[server] = Contact(at, version)
        if is_credible:
            self._add_fact(version, at - age_s)

    def record_failure(self, server: str, at: float) -> None:
        """Record that a request sent at `at` got no response."""
        if at >= self.last_contacts[server].at:
            self.last_contacts[server] = Contact(at, None)

    def _add_fact(self, version: Version, at: float) -> None:
        position = bisect_right(self.fact_versions, version)
        if position and self.fact_times[position - 1] >= at:
            return  # a fact for a lower version at a later time implies this one
        is_known_version = position > 0 and self.fact_versions[position - 1] == version
        first = position - 1 if is_known_version else position
        while position < len(self.fact_times) and self.fact_times[position] <= at:
            position += 1
        self.fact_versions[first:position] = [version]
        self.fact_times[first:position] = [at]
        if len(self.fact_times) > MAX_FACTS:
            del self.fact_versions[0]
            del self.fact_times[0]

    # -- conclusions -----------------------------------------------------------------------------------------

    def confirmed_at(self, version: Version) -> float:
        """Return the latest time at which data as of this version are known to have been correct."""
        position = bisect_right(self.fact_versions, version)
        return self.fact_times[position - 1] if position else NEVER

    def is_current(self, now: float, version: Version) -> bool:
        """Whether data as of this version may be used."""
        oldest = now - self.bound_s
        if self.confirmed_at(version) >= oldest:
            return True
        return all(
            contact.at >= oldest and (contact.version is None or contact.version <= version)
            for contact in self.last_contacts.values()
        )

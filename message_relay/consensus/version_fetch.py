"""Which voter a relay asks for a missing version, and when. No I/O; random numbers are passed in.

All relays learn of a version at the same moment and from the same voter: the log's leader, whose hint is sent
first. If all ask the leader at once, it answers some and refuses the others, which ask again together at the
next grant: with 375 relays it refused 1,407 connections for one version. So:

    first request  after a pause drawn uniformly from the time that the voters need to answer all relays, each
                   `ANSWERS_PER_S` a second; with few relays the pause is negligible. Many relays wait
                   `SETTLE_S` in addition: with 1,500 relays voter 0 refused 396 connections per version,
                   by estimate from relays that asked it alone, since only the leader had announced it yet
    order          drawn at random for each version, among the voters that announced it
    no answer      the next voter is asked, after a random pause that grows; a voter that announces the
                   version meanwhile is inserted among those not asked yet
    all failed     after `ROUNDS` rounds the search is given up; the next grant that names the version
                   restarts it

The pause has a cost: until the last relay has the version, those that have it act on the meet of both. With
3,500 relays and five voters it is 3.8 s at most, of the 12 s within which a change has to be in force.
"""

from __future__ import annotations

import random

from ..core.backoff import ExponentialBackoff

# Requested from each voter: a quarter of its capacity, since it has renewals to answer.
ANSWERS_PER_S = 200.0
# Bound for any number of relays (4,096 relays with five voters), so that none has a version much later.
FIRST_PAUSE_MAX_S = 4.0
SETTLE_S = 0.3  # two heartbeats of the log: by then the other voters have the version and have announced it
RETRY_S, RETRY_MAX_S = 0.04, 0.6
ROUNDS = 2
CONCURRENT_SEARCHES_MAX = 8  # versions; a relay that lacks more fetches the oldest first, then the others


def first_pause(rng: random.Random, relays: int, voters: int) -> float:
    """Return the seconds before the first request for a version."""
    spread = min(FIRST_PAUSE_MAX_S, relays / (max(1, voters) * ANSWERS_PER_S))
    return spread * rng.random() + (SETTLE_S if spread > SETTLE_S else 0.0)


class VersionSearch:
    """The search for one version: the voters that have it, in the order in which they are asked."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.backoff = ExponentialBackoff(RETRY_S, RETRY_MAX_S, rng)
        self.voters: list[str] = []
        self.requests_sent = 0

    def add_voter(self, voter: str) -> None:
        """Insert a voter that has the version among those not asked yet, at a random place for each relay."""
        if voter not in self.voters:
            self.voters.insert(
                self.rng.randint(min(self.requests_sent, len(self.voters)), len(self.voters)), voter
            )

    def next_voter(self) -> str | None:
        """Return the voter to ask now; None: the search is given up until a grant names the version again."""
        if self.requests_sent >= ROUNDS * len(self.voters):
            return None
        voter = self.voters[self.requests_sent % len(self.voters)]
        self.requests_sent += 1
        return voter

    def next_pause(self) -> float:
        """Return the seconds until the next voter is asked, after one did not answer."""
        return self.backoff.next_delay()


class VersionFetcher:
    """All searches of one relay."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.searches: dict[int, VersionSearch] = {}

    def on_version_reported(self, number: int, voter: str) -> VersionSearch | None:
        """Record that a voter has a missing version; return the search if it is a new one."""
        if number in self.searches:
            self.searches[number].add_voter(voter)
            return None
        if len(self.searches) >= CONCURRENT_SEARCHES_MAX:
            return None
        search = VersionSearch(self.rng)
        self.searches[number] = search
        search.add_voter(voter)
        return search

    def finish(self, number: int) -> None:
        """End a search: the version is known, or the search was given up."""
        self.searches.pop(number, None)

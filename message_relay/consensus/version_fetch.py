"""Which voter a relay asks for a version that it lacks, and when. No I/O; random numbers are passed in.

All relays learn of a version at one moment, and from the same voter: the log's leader, whose hint is sent
first. Asked by all at once, it answers some and refuses the rest, and they ask again at the next grant,
together: of 375 relays it refused 1,407 connections for one version. So:

    first         after a pause drawn evenly from the time that the voters need to answer all relays, each
                  `ANSWERS_S` a second; with few relays it is too short to
                  matter. Many wait `SETTLE_S` before: of 1,500
                  voter 0 refused 396 connections a version, estimated to have asked it alone, since
                  only the leader had announced it yet
    order         drawn anew for each version, of the voters that announced it
    no answer     the next one, after a pause that grows and is drawn too; a voter that announces the version
                  meanwhile gets a place among those not asked yet
    all failed    `ROUNDS` times over: given up, and started again by the next grant that names it

The pause has a cost: until the last relay has the version those that have it act on the meet of both. At
3,500 relays and five voters it is 3.8 s at the most, of the 12 in which a change has to be in force.
"""

from __future__ import annotations

import random

from ..core.backoff import ExponentialBackoff

ANSWERS_PER_S = (
    200.0  # that a voter is asked for: a quarter of what it could give, for it has renewals to answer
)
FIRST_PAUSE_MAX_S = (
    4.0  # however many there are (4,096 relays at five voters): so little is told later than this
)
SETTLE_S = 0.3  # the log's heartbeat twice: by then the other voters have it, and have said so
RETRY_S, RETRY_MAX_S = 0.04, 0.6
ROUNDS = 2
CONCURRENT_SEARCHES_MAX = (
    8  # versions at once: who lacks more gets the oldest first, and the others after them
)


def first_pause(rng: random.Random, relays: int, voters: int) -> float:
    """Seconds before the first ask for a version."""
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
        """Insert a voter that has the version among those not asked yet, in an order that no relay shares."""
        if voter not in self.voters:
            self.voters.insert(
                self.rng.randint(min(self.requests_sent, len(self.voters)), len(self.voters)), voter
            )

    def next_voter(self) -> str | None:
        """The voter to ask now; None: given up until a grant names the version again."""
        if self.requests_sent >= ROUNDS * len(self.voters):
            return None
        voter = self.voters[self.requests_sent % len(self.voters)]
        self.requests_sent += 1
        return voter

    def next_pause(self) -> float:
        """Seconds until the next voter is asked, after one that did not answer."""
        return self.backoff.next_delay()


class VersionFetcher:
    """All searches of one relay."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.searches: dict[int, VersionSearch] = {}

    def on_version_reported(self, number: int, voter: str) -> VersionSearch | None:
        """Note that a voter has a version that is lacking. Returns the search if it is a new one."""
        if number in self.searches:
            self.searches[number].add_voter(voter)
            return None
        if len(self.searches) >= CONCURRENT_SEARCHES_MAX:
            return None
        found = VersionSearch(self.rng)
        self.searches[number] = found
        found.add_voter(voter)
        return found

    def finish(self, number: int) -> None:
        """End a search: the version is known, or the search was given up."""
        self.searches.pop(number, None)

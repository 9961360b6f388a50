"""The times on which leases rest, and the messages about them. All in seconds, on clocks that never step
back.

T is what the operator states: no two relays act on versions that contradict each other for longer. A lease
lasts `LEASE` of it, by the clock of who holds it; who granted it counts it as lasting longer by twice the
drift, so that it has always run out for its holder first, as long as no two clocks drift apart by more
than `drift`.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

LEASE_SHARE_OF_BOUND = 0.6  # of T: the rest is for the way, and for a turn that comes late
RENEWALS_PER_LEASE = 4  # in the time of a lease: so three may be lost


@dataclass(frozen=True)
class LeaseTerms:
    bound_s: float = 2.0  # T
    horizon_s: float = 30.0  # a relay that hears of no majority stops so long after it last did
    drift: float = 0.05  # between any two clocks, in s a second
    standby_share: float = 0.9  # of each rate that a relay cut off goes on with

    @property
    def lease_s(self) -> float:
        """As its holder counts it."""
        return LEASE_SHARE_OF_BOUND * self.bound_s

    @property
    def renew_interval_s(self) -> float:
        return self.lease_s / RENEWALS_PER_LEASE

    def holder_duration(self, seconds: float) -> float:
        """The least that a holder may count as so long."""
        return seconds * (1 - self.drift)

    def grantor_duration(self, seconds: float) -> float:
        """The most that whoever granted it has to wait for it."""
        return seconds * (1 + self.drift)


class DeliveryCounts(msgspec.Struct, frozen=True, array_like=True):
    """Messages of one process since its start: for the guard."""

    delivered: int = 0
    completed: int = 0  # all of them


class LeaseRenewal(msgspec.Struct, frozen=True, array_like=True):
    """A relay to each voter: by what it acts, and has acted since the last one, and will not go beyond."""

    epoch: int
    nonce: int  # of the process
    sequence: int
    first_digest: str  # digest of the first version: all have to begin with the same
    active_versions: tuple[int, ...]  # by the meet of these versions; none: by the floor
    refused_before: int  # grants that answer an earlier `seq` are never taken
    counts: DeliveryCounts = DeliveryCounts()
    is_leaving: bool = False


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True):
    """A voter's answer."""

    sequence: int
    is_recorded: bool  # it holds what `acts` says for allowed, from now on for a lease
    granted_version: int  # this version may be acted on; 0: none
    cleared_version: int  # no relay acts beyond this version, as far as this voter's word goes
    current_version: int  # what it knows to be agreed
    canary_version: int = 0  # and to be tried by this relay
    reason: str = ""  # nothing is noted or granted

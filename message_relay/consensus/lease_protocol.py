"""Lease durations, and the messages of the lease protocol.

All times are in seconds, on monotonic clocks. The operator states a bound T: no two relays act on versions
that contradict each other for longer. A lease lasts `LEASE_SHARE_OF_BOUND` of T by the clock of its holder;
a grantor counts a longer time, by the clock drift on each side, so that the lease always expires for the
holder first while no two clocks drift apart by more than `drift`.

The messages are encoded as arrays: the order and types of their fields are a wire format.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

LEASE_SHARE_OF_BOUND = 0.6  # the rest of T allows for network delay and a late event loop
RENEWALS_PER_LEASE = 4  # so that three in a row may be lost


@dataclass(frozen=True)
class LeaseTerms:
    """The durations that all relays agree on, from the operator's file."""

    bound_s: float = 2.0  # T
    horizon_s: float = 30.0  # a relay stops this long after its last contact with a majority
    drift: float = 0.05  # between any two clocks, in seconds a second
    standby_share: float = 0.9  # share of each rate with which a relay without a majority continues

    @property
    def lease_s(self) -> float:
        """Duration of a lease, before the allowance for clock drift."""
        return LEASE_SHARE_OF_BOUND * self.bound_s

    @property
    def renew_interval_s(self) -> float:
        """Time between two renewals."""
        return self.lease_s / RENEWALS_PER_LEASE

    def holder_duration(self, seconds: float) -> float:
        """Return the shortest time on another clock: what a holder may count on."""
        return seconds * (1 - self.drift)

    def grantor_duration(self, seconds: float) -> float:
        """Return the longest time on another clock: how long a grantor has to wait."""
        return seconds * (1 + self.drift)


class DeliveryCounts(msgspec.Struct, frozen=True, array_like=True):
    """Messages of one process since its start, for the canary guard."""

    delivered: int = 0
    completed: int = 0  # with any outcome


class LeaseRenewal(msgspec.Struct, frozen=True, array_like=True):
    """Sent by a relay to each voter: the versions that it acts on and will not go beyond."""

    epoch: int  # process epoch of the relay's folder
    nonce: int  # of the process
    sequence: int
    first_digest: str  # of the first version: all instances have to start with the same
    active_versions: tuple[int, ...]  # it acts on the meet of them; if empty, on the floor
    refused_before: int  # grants that answer an earlier sequence number are never used
    counts: DeliveryCounts = DeliveryCounts()
    is_leaving: bool = False


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True):
    """A voter's answer to a renewal."""

    sequence: int  # of the renewal
    is_recorded: bool  # the voter counts `active_versions` as allowed, from now on for a lease
    granted_version: int  # the version that the relay may act on; 0: none
    cleared_version: int  # no relay acts beyond this version, as far as this voter knows
    current_version: int  # the newest one that is agreed on, as far as this voter knows
    canary_version: int = 0  # the version that the relay is to act on as a canary; 0: none
    reason: str = ""  # why nothing was recorded or granted

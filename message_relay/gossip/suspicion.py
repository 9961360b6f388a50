"""Timers of the failure detector: probes, indirect probes and suspicions. No I/O; the clock is passed in.

A member that answers neither a probe nor the indirect probes of others is a suspect, and dead once its
suspicion has expired. The time of a suspicion shrinks as others confirm it from their own probes (Lifeguard,
3.3): a bad link of one member takes long to exclude another, three members that agree do so soon.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass

from .wire import Claim

SUSPICION_PERIODS = 4.0  # shortest time of a suspicion, in periods times log10 of the number of members
SUSPICION_MAX_FACTOR = 6.0  # longest time, as a multiple of the shortest
INDIRECT_TIMEOUT_SHARE = 0.55  # share of a period, the base of the time after which a nack is due
INDIRECT_TIMEOUT_FACTOR = 0.6
CONFIRMATIONS_MAX = 3  # independent confirmations that reduce a suspicion to its shortest time


class ProbeOrder:
    """Order in which members are probed, shuffled each round, so that each is probed within two rounds."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.remaining: list[str] = []  # of this round

    def next_target(self, members: Mapping[str, Claim]) -> str | None:
        """Return the next present member, None if there is none."""
        while self.remaining or self._start_round(members):
            name = self.remaining.pop()
            if name in members and not members[name].has_departed:
                return name
        return None

    def _start_round(self, members: Mapping[str, Claim]) -> bool:
        self.remaining = [name for name, claim in members.items() if not claim.has_departed]
        self.rng.shuffle(self.remaining)
        return bool(self.remaining)


@dataclass
class Probe:
    """The ping of the current period."""

    target: str
    sequence: int
    started_at: float
    is_indirect: bool = False  # others were asked to ping the target
    is_answered: bool = False
    nacks: int = 0
    helpers: int = 0  # number of members that were asked


@dataclass
class IndirectProbe:
    """A ping sent on behalf of another member."""

    requester: str
    sequence: int  # of the requester's probe
    nack_at: float


class IndirectProbes:
    """Indirect probes without an answer yet, by the sequence number of their ping, the earliest first."""

    def __init__(self, period_s: float) -> None:
        self.period_s = period_s
        self.pending: dict[int, IndirectProbe] = {}

    def __len__(self) -> int:
        return len(self.pending)

    def add(self, now: float, sequence: int, requester: str, requested_sequence: int) -> None:
        """Add a probe. All have the same timeout, so that insertion order is the order of expiry."""
        nack_at = now + INDIRECT_TIMEOUT_SHARE * self.period_s * INDIRECT_TIMEOUT_FACTOR
        self.pending[sequence] = IndirectProbe(requester, requested_sequence, nack_at)

    def pop(self, sequence: int) -> IndirectProbe | None:
        """Remove and return the probe whose ping was answered, None if there is none."""
        return self.pending.pop(sequence, None)

    def clear(self) -> None:
        """Remove all."""
        self.pending.clear()

    def next_expiry_at(self) -> float:
        """Return when the earliest probe expires; there must be one."""
        return next(iter(self.pending.values())).nack_at

    def pop_expired(self, now: float) -> IndirectProbe | None:
        """Remove and return a probe that is due for a nack, None if there is none."""
        if not self.pending:
            return None
        sequence, probe = next(iter(self.pending.items()))
        if now < probe.nack_at:
            return None
        del self.pending[sequence]
        return probe


@dataclass
class Suspicion:
    """Suspicion of one member, and the members that suspect it."""

    since: float
    suspected_by: set[str]
    shortest_s: float
    longest_s: float

    def expires_at(self) -> float:
        """Return the expiry, which falls with the logarithm of the confirmations (Lifeguard, 3.3)."""
        share = (
            math.log(len(self.suspected_by)) / math.log(CONFIRMATIONS_MAX + 1) if self.suspected_by else 0.0
        )
        return self.since + max(self.shortest_s, self.longest_s - (self.longest_s - self.shortest_s) * share)


class SuspicionTimers:
    """All suspicions by member, with a lower bound of the next expiry."""

    def __init__(self) -> None:
        self.by_member: dict[str, Suspicion] = {}
        self.next_expiry_at = math.inf  # no suspicion expires earlier

    def __len__(self) -> int:
        return len(self.by_member)

    def start(
        self, now: float, member: str, suspected_by: str, member_count: int, period_s: float, stretch: float
    ) -> None:
        """Start a suspicion. `stretch` is the factor of the local health multiplier."""
        shortest_s = SUSPICION_PERIODS * max(1.0, math.log10(max(1, member_count))) * period_s * stretch
        # In a small fleet no other member may confirm a suspicion: the shortest time has to suffice.
        factor = SUSPICION_MAX_FACTOR if member_count > CONFIRMATIONS_MAX + 2 else 1.0
        suspicion = Suspicion(now, {suspected_by}, shortest_s, shortest_s * factor)
        self.by_member[member] = suspicion
        self.next_expiry_at = min(self.next_expiry_at, suspicion.expires_at())

    def confirm(self, member: str, suspected_by: str) -> bool:
        """Add an independent confirmation; return whether it is new and counts."""
        suspicion = self.by_member.get(member)
        if suspicion is None or suspected_by in suspicion.suspected_by:
            return False
        if len(suspicion.suspected_by) > CONFIRMATIONS_MAX:
            return False
        suspicion.suspected_by.add(suspected_by)
        self.next_expiry_at = min(self.next_expiry_at, suspicion.expires_at())
        return True

    def cancel(self, member: str) -> None:
        """Remove the suspicion of a member, if there is one."""
        self.by_member.pop(member, None)

    def postpone(self, seconds: float) -> None:
        """Postpone all suspicions: this process stalled and may have missed refutations."""
        for suspicion in self.by_member.values():
            suspicion.since += seconds
        self.next_expiry_at += seconds

    def is_due(self, now: float) -> bool:
        """Return whether a suspicion may have expired."""
        return bool(self.by_member) and now >= self.next_expiry_at

    def expired(self, now: float) -> list[str]:
        """Return the members whose suspicion has expired."""
        return [name for name, suspicion in self.by_member.items() if now >= suspicion.expires_at()]

    def update_next_expiry(self) -> None:
        """Find the next expiry among all suspicions."""
        expiries = (suspicion.expires_at() for suspicion in self.by_member.values())
        self.next_expiry_at = min(expiries, default=math.inf)

"""Lease holder of a relay: which rules it may act on. No I/O; the clock is passed in, in seconds.

A relay renews its lease at each voter periodically, and states the versions that it acts on
(`active_versions`: it acts on their meet). It continues while a majority has recorded that within a lease.
Once it learns that another version is agreed on, it acts on the meet of both, which contradicts neither,
refuses all earlier grants, and states so in its next renewal: that allows other relays to switch to the new
version. With grants of a majority for the new version, it acts on that version alone.

    time since a majority last recorded it   the relay acts on
    up to a lease                            the meet of `active_versions`
    up to the horizon                        the standby rules of that: each version allows them, or waits
    later, and before the first lease        the floor, which lies within every version that is ever agreed on

Each query is answered by the clock at that moment: a process that was frozen finds its lease expired when it
resumes.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from .active_rules import ActiveRules, LeaseTier
from .lease_protocol import DeliveryCounts, LeaseGrant, LeaseRenewal, LeaseTerms
from .rules import DENY_ALL, Rules
from .rules_intersection import intersect, intersect_all, standby_rules
from .version_history import Version

MAX_OUTSTANDING_RENEWALS = 64  # renewals whose answers are still used: those of eight leases and more
MAX_KNOWN_VERSIONS = 64
# Guards against a grant to a relay that has left: no renewal of its process reaches this sequence number.
RELEASED_SEQUENCE_MARGIN = 1_000_000
NEVER = float("-inf")
NO_COUNTS = DeliveryCounts()


class SentRenewal(NamedTuple):
    """A renewal that may still be answered."""

    sent_at: float
    active_versions: tuple[int, ...]


class CachedRules(NamedTuple):
    """The latest result of `active_rules`, and the values that it depends on."""

    active_versions: tuple[int, ...]
    lease_start: float
    valid_until: float
    active: ActiveRules


@dataclass
class GrantState:
    """What one voter has recorded and granted for this relay."""

    recorded_at: float = NEVER  # send time of the latest renewal that it recorded
    granted_version: int = 0
    granted_at: float = NEVER  # send time of the latest renewal that it answered with that grant
    granted_sequence: int = 0  # of that renewal
    cleared_version: int = 0
    canary_version: int = 0
    sequence: int = 0  # of the latest renewal that it answered
    received_at: float = NEVER

    def confirmed_at(self, granted_version: int) -> float:
        """Return when it granted that version; for 0, when it recorded the active versions."""
        if not granted_version:
            return self.recorded_at
        return self.granted_at if self.granted_version == granted_version else NEVER

    def add_grant(self, grant: LeaseGrant, sent_at: float) -> None:
        """Add a grant that answers a renewal sent at `sent_at`; a version older than before is ignored."""
        if grant.granted_version > self.granted_version:
            self.granted_version = grant.granted_version
            self.granted_at = sent_at
            self.granted_sequence = grant.sequence
        elif grant.granted_version == self.granted_version:
            self.granted_at = max(self.granted_at, sent_at)
            self.granted_sequence = max(self.granted_sequence, grant.sequence)

    def drop_grant(self) -> None:
        """Forget the granted version."""
        self.granted_version = 0
        self.granted_at = NEVER


class LeaseHolder:
    """The lease of one relay: makes renewals, processes grants, and determines which rules apply."""

    def __init__(
        self, epoch: int, nonce: int, first_digest: str, terms: LeaseTerms, floor: Rules = DENY_ALL
    ) -> None:
        self.epoch = epoch
        self.nonce = nonce
        self.first_digest = first_digest
        self.terms = terms
        self.floor = floor
        self.versions: OrderedDict[int, Version] = OrderedDict()  # by number, those known with their rules
        self.active_versions: tuple[int, ...] = ()
        self.sequence = 0
        self.refused_before = 0  # grants that answer an earlier renewal are not used
        self.latest_agreed = 0  # the newest version that a voter has reported as agreed on
        self.sent_renewals: OrderedDict[int, SentRenewal] = OrderedDict()
        self.grant_states: dict[str, GrantState] = {}
        self.lease_start = NEVER  # send time of the latest renewal that a majority recorded
        self.last_now = NEVER
        self.denial_reason = ""  # reason of the latest voter that recorded nothing
        self._cached: CachedRules | None = None

    # -- renewals and versions -------------------------------------------------------------------------------

    @property
    def latest_version(self) -> Version | None:
        """The newest version that is known with its rules."""
        return next(reversed(self.versions.values())) if self.versions else None

    def renew(self, now: float, counts: DeliveryCounts = NO_COUNTS, is_leaving: bool = False) -> LeaseRenewal:
        """Return the next renewal, which is sent to every voter."""
        self._check_clock(now)
        self.sequence += 1
        self.sent_renewals[self.sequence] = SentRenewal(now, self.active_versions)
        while len(self.sent_renewals) > MAX_OUTSTANDING_RENEWALS:
            self.sent_renewals.popitem(last=False)
        if not self.active_versions:
            self._refuse_grants_before(self._first_grantable_sequence(now))
        return LeaseRenewal(
            self.epoch,
            self.nonce,
            self.sequence,
            self.first_digest,
            self.active_versions,
            self.refused_before,
            counts,
            is_leaving,
        )

    def _first_grantable_sequence(self, now: float) -> int:
        """Return the first renewal whose grants can still start a lease.

        A relay without active versions needs grants of a majority within a lease. The answer to an older
        renewal may be lost, and a voter that recorded its grant would then wait for it in vain.
        """
        since = now - self.terms.holder_duration(self.terms.lease_s)
        return next(sequence for sequence, sent in self.sent_renewals.items() if sent.sent_at >= since)

    def restart(self, epoch: int) -> None:
        """Continue under another process epoch, without active versions until it has a lease."""
        self.epoch = epoch
        self._drop_lease(self.sequence + 1)
        self.grant_states.clear()

    def release(self) -> None:
        """Stop acting on any version, after the last renewal has announced it."""
        self._drop_lease(self.sequence + RELEASED_SEQUENCE_MARGIN)

    def _drop_lease(self, refused_before: int) -> None:
        self.active_versions = ()
        self.lease_start = NEVER
        self.refused_before = refused_before

    def add_version(self, version: Version) -> None:
        """Add a version with its rules; old ones that are not active are dropped beyond a limit."""
        if version.number in self.versions:
            return
        self.versions[version.number] = version
        self.versions = OrderedDict(sorted(self.versions.items()))
        for number in list(self.versions)[:-MAX_KNOWN_VERSIONS]:
            if number not in self.active_versions:
                del self.versions[number]

    def missing_version(self, grant: LeaseGrant) -> int:
        """Return a version that the voter refers to and that is not known yet; 0 if there is none."""
        # A relay that acts on a version also obeys all later agreed versions.
        first = max(self.active_versions, default=grant.current_version - 1) + 1
        numbers: list[int] = [*range(first, grant.current_version + 1), grant.canary_version]
        for number in numbers:
            if number > 0 and number not in self.versions:
                return number
        return 0

    # -- grants ----------------------------------------------------------------------------------------------

    def on_grant(self, now: float, voter: str, grant: LeaseGrant) -> bool:
        """Process a voter's answer; return whether to renew at once, since the active versions changed."""
        self._check_clock(now)
        renewal = self.sent_renewals.get(grant.sequence)
        if renewal is None:
            return False
        self._update_grant_state(now, voter, grant, renewal)
        if grant.is_recorded:
            self.denial_reason = ""
        elif grant.reason:
            self.denial_reason = grant.reason
        changed = (
            self._on_newer_version(grant)
            or self._narrow_active_versions(grant)
            or self._adopt_granted_version(now)
        )
        self._extend_lease()
        return changed

    def _update_grant_state(self, now: float, voter: str, grant: LeaseGrant, renewal: SentRenewal) -> None:
        state = self.grant_states.setdefault(voter, GrantState())
        state.received_at = now
        state.cleared_version = max(state.cleared_version, grant.cleared_version)
        if grant.sequence > state.sequence:
            state.sequence = grant.sequence
            state.canary_version = grant.canary_version
        if grant.is_recorded and renewal.active_versions == self.active_versions:
            state.recorded_at = max(state.recorded_at, renewal.sent_at)
        if grant.granted_version and grant.sequence >= self.refused_before:
            state.add_grant(grant, renewal.sent_at)

    def _on_newer_version(self, grant: LeaseGrant) -> bool:
        """Refuse grants of an earlier version if the relay has no active versions yet.

        Guards against a delay of all relays when one joins during a change of version: voters waited for each
        of its grants up to the horizon. A voter that is behind may also grant such a version later.
        """
        is_outdated_grant = 0 < grant.granted_version < self.latest_agreed
        if grant.current_version <= self.latest_agreed and not is_outdated_grant:
            return False
        is_first_answer = not self.latest_agreed and grant.sequence == 1  # nothing was granted before
        self.latest_agreed = max(self.latest_agreed, grant.current_version)
        if self.active_versions or is_first_answer:
            return False  # a relay with active versions keeps them, and obeys the later one too
        self._refuse_grants_before(self.sequence + 1)
        return True

    def _refuse_grants_before(self, sequence: int) -> None:
        """Ignore grants for earlier renewals: once the voters know this, they need not wait for them."""
        self.refused_before = max(self.refused_before, sequence)
        for state in self.grant_states.values():
            if state.granted_sequence < sequence:
                state.drop_grant()

    def _narrow_active_versions(self, grant: LeaseGrant) -> bool:
        """Also obey a version that was agreed on meanwhile, or switch to the canary version."""
        canary = self.versions.get(grant.canary_version)
        if canary is not None and self.active_versions == (grant.current_version,):
            # A canary lies within the current version, so that no grant is needed.
            self._set_narrower_versions((canary.number,))
            return True
        current = grant.current_version
        if current in self.versions and self.active_versions and current > max(self.active_versions):
            later = [number for number in self.versions if max(self.active_versions) < number <= current]
            self._set_narrower_versions((*self.active_versions, *later))
            return True
        return False

    def _set_narrower_versions(self, versions: tuple[int, ...]) -> None:
        """Act on narrower rules than before, which the voters' records still cover."""
        self.active_versions = versions
        self.refused_before = self.sequence + 1

    def _adopt_granted_version(self, now: float) -> bool:
        """Act on the newest granted version alone, once a majority has granted and cleared it."""
        number = max((state.granted_version for state in self.grant_states.values()), default=0)
        version = self.versions.get(number)
        if version is None or self.active_versions == (number,):
            return False
        if self._is_active_canary() or (
            number < max(self.active_versions, default=0) and not self._is_canary_withdrawn()
        ):
            return False  # a canary that is not agreed on yet, or a later version, is active
        granted_since = self._majority_time(version.voters, number)
        voters_before = self.versions.get(number - 1, version).voters
        if not self._has_cleared_majority(voters_before, number):
            return False
        if granted_since < now - self.terms.holder_duration(self.terms.lease_s):
            return False
        self.active_versions = (number,)
        self.refused_before = self.sequence + 1
        self.lease_start = granted_since
        for state in self.grant_states.values():
            state.recorded_at = state.confirmed_at(number)
        return True

    def _has_cleared_majority(self, voters: tuple[str, ...], number: int) -> bool:
        cleared = sum(
            self.grant_states[name].cleared_version >= number for name in voters if name in self.grant_states
        )
        return 2 * cleared > len(voters)

    def _is_active_canary(self) -> bool:
        return any(state.canary_version in self.active_versions for state in self.grant_states.values())

    def _is_canary_withdrawn(self) -> bool:
        """Whether a majority of voters no longer names the active version as a canary."""
        version = self.latest_version
        if version is None or self.active_versions != (version.number,):
            return False
        without_canary = sum(
            not state.canary_version for name, state in self.grant_states.items() if name in version.voters
        )
        return 2 * without_canary > len(version.voters)

    def _majority_time(self, voters: tuple[str, ...], granted_version: int = 0) -> float:
        """Return the latest time since which a majority has recorded the active versions.

        With `granted_version`: since which a majority has granted that version.
        """
        unknown = GrantState()
        times = [self.grant_states.get(name, unknown).confirmed_at(granted_version) for name in voters]
        times.sort(reverse=True)
        return times[len(times) // 2] if times else NEVER

    def _extend_lease(self) -> None:
        """Advance the start of the lease: each active version needs the majority of its own voters."""
        known = [self.versions[number] for number in self.active_versions if number in self.versions]
        if known:
            recorded_since = min(self._majority_time(version.voters) for version in known)
            self.lease_start = max(self.lease_start, recorded_since)

    def _check_clock(self, now: float) -> None:
        """Guards against a clock that steps back: the age of the lease is then unknown, and it ends."""
        if now < self.last_now:
            self.lease_start = NEVER
            self.sent_renewals.clear()
            self.grant_states.clear()
            self.refused_before = self.sequence + 1
        self.last_now = now

    # -- active rules ----------------------------------------------------------------------------------------

    def tier(self, now: float) -> LeaseTier:
        """Return the tier that follows from the age of the lease."""
        self._check_clock(now)
        age = now - self.lease_start
        if not self.active_versions or age > self.terms.holder_duration(self.terms.horizon_s):
            return LeaseTier.FLOOR
        return LeaseTier.LEASE if age <= self.terms.holder_duration(self.terms.lease_s) else LeaseTier.STANDBY

    def active_rules(self, now: float) -> ActiveRules:
        """Return the rules that apply now.

        Called for each message, and right before a call's first byte: the latest result is reused while
        nothing that it depends on has changed and it has not expired.
        """
        cached = self._cached
        if (
            cached is not None
            and cached.active_versions is self.active_versions
            and cached.lease_start == self.lease_start
            and self.last_now <= now <= cached.valid_until
        ):
            self.last_now = now
            return cached.active
        tier = self.tier(now)
        if (
            cached is not None
            and cached.active_versions == self.active_versions
            and cached.active.tier is tier
        ):
            active = cached.active
        else:
            active = self._compute_active_rules(tier)
        self._cached = CachedRules(self.active_versions, self.lease_start, self.tier_ends_at(now), active)
        return active

    def _compute_active_rules(self, tier: LeaseTier) -> ActiveRules:
        if tier is LeaseTier.FLOOR:
            return ActiveRules(self.floor, self.active_versions, tier)
        rules = intersect_all(self.versions[number].decoded_rules for number in self.active_versions)
        if tier is LeaseTier.STANDBY:
            rules = standby_rules(rules, self.terms.standby_share)
            rules = intersect(rules, rules)  # normalizes the scaled rates
        return ActiveRules(rules, self.active_versions, tier)

    def tier_ends_at(self, now: float) -> float:
        """Return when the tier changes if no further grant is received."""
        age = now - self.lease_start
        for span in (self.terms.lease_s, self.terms.horizon_s):
            if age <= self.terms.holder_duration(span):
                return self.lease_start + self.terms.holder_duration(span)
        return float("inf")

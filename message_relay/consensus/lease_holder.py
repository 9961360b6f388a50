"""By what a relay may act just now. No I/O; the clock is passed in, in seconds.

A relay says to each voter by which versions it acts (`acts`: by their meet), again and again; as long as a
majority has noted that within a lease, it goes on. Once it hears that another version is agreed on it acts by
the meet of both, which contradicts neither, refuses all grants of what it had, and says so: that lets the
others have the new one. With grants of a majority for that, it acts by it alone.

    since a majority last noted it     it acts by
    a lease                            the meet of `acts`
    up to the horizon                  the standby of that: each version allows it, or waits
    later, and before the first lease  the floor, which lies within every version that is ever agreed on

Whoever asks is told by the clock of this moment: a process that was frozen finds its lease gone when it
wakes.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

import msgspec

from .lease_protocol import DeliveryCounts, LeaseGrant, LeaseRenewal, LeaseTerms
from .rules import DENY_ALL, Rules
from .rules_meet import intersect, intersect_all, standby_rules
from .version_history import Version

MAX_OUTSTANDING_RENEWALS = 64  # renewals whose answers still count: eight leases' worth and more
NEVER = float("-inf")
NO_COUNTS = DeliveryCounts()


class LeaseTier(Enum):
    LEASE = "lease"
    STANDBY = "standby"
    FLOOR = "floor"


class ActiveRules(msgspec.Struct, frozen=True):
    rules: Rules
    versions: tuple[int, ...]  # more than one: by their meet
    tier: LeaseTier

    @property
    def label(self) -> str:
        """For people and for partners' ledgers: `7`, `7+8`, `7/standby`, `floor`."""
        told = "+".join(map(str, self.versions))
        return (
            told
            if self.tier is LeaseTier.LEASE
            else f"{told}/standby"
            if self.tier is LeaseTier.STANDBY
            else "floor"
        )


@dataclass
class GrantState:
    """The latest of one voter that counts."""

    recorded_at: float = NEVER  # when that renewal was sent
    granted_version: int = 0
    granted_at: float = NEVER
    granted_sequence: int = 0  # the latest renewal that it answered with that
    cleared_version: int = 0
    canary_version: int = 0
    sequence: int = 0
    received_at: float = NEVER


class LeaseHolder:
    def __init__(
        self, epoch: int, nonce: int, first_digest: str, terms: LeaseTerms, floor: Rules = DENY_ALL
    ) -> None:
        self.epoch, self.nonce, self.first_digest, self.terms, self.floor = (
            epoch,
            nonce,
            first_digest,
            terms,
            floor,
        )
        self.versions: OrderedDict[int, Version] = OrderedDict()  # known with their rules
        self.active_versions: tuple[int, ...] = ()
        self.sequence = 0
        self.refused_before = 0  # grants that answer an earlier renewal are not taken
        self.latest_agreed = 0  # the newest version that a voter has said is agreed on
        self.sent_renewals: OrderedDict[int, tuple[float, tuple[int, ...]]] = OrderedDict()
        self.grant_states: dict[str, GrantState] = {}
        self.lease_start = NEVER  # when the renewal was sent that a majority noted last
        self.last_now = NEVER
        self.denial_reason = ""  # the latest word of a voter that allowed nothing
        self._made: tuple[tuple[int, ...], float, float, ActiveRules] | None = (
            None  # acts, base, until, and what
        )

    # -- asking ----------------------------------------------------------------------------------------------

    @property
    def latest_version(self) -> Version | None:
        return next(reversed(self.versions.values())) if self.versions else None

    def renew(self, now: float, counts: DeliveryCounts = NO_COUNTS, is_leaving: bool = False) -> LeaseRenewal:
        """The next one, for every voter."""
        self._check_clock(now)
        self.sequence += 1
        self.sent_renewals[self.sequence] = (now, self.active_versions)
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
        """The first renewal whose grants one that acts by nothing could still begin with: it needs them of a
        majority within a lease. Of an older one an answer may have been lost, and is waited for in vain."""
        since = now - self.terms.holder_duration(self.terms.lease_s)
        return next(seq for seq, (sent, _) in self.sent_renewals.items() if sent >= since)

    def restart(self, epoch: int) -> None:
        """Under another boot: it acts by nothing until it has a lease."""
        self.epoch, self.active_versions, self.lease_start, self.refused_before = (
            epoch,
            (),
            NEVER,
            self.sequence + 1,
        )
        self.grant_states.clear()

    def release(self) -> None:
        """It has said that it acts by nothing any more."""
        self.active_versions, self.lease_start, self.refused_before = (), NEVER, self.sequence + 1_000_000

    def add_version(self, version: Version) -> None:
        """A version with its rules. One that is agreed on is kept to from now on, whatever else holds."""
        if version.number in self.versions:
            return
        self.versions[version.number] = version
        self.versions = OrderedDict(sorted(self.versions.items()))
        for number in list(self.versions)[:-MAX_OUTSTANDING_RENEWALS]:
            if number not in self.active_versions:
                del self.versions[number]

    def missing_version(self, grant: LeaseGrant) -> int:
        """A version that a voter told of and that is not known here yet; 0: none."""
        first = (
            max(self.active_versions, default=grant.current_version - 1) + 1
        )  # whoever acts by one keeps to all later ones
        numbers: list[int] = [*range(first, grant.current_version + 1), grant.canary_version]
        for number in numbers:
            if number > 0 and number not in self.versions:
                return number
        return 0

    # -- hearing ---------------------------------------------------------------------------------------------

    def on_grant(self, now: float, voter: str, grant: LeaseGrant) -> bool:
        """Takes a voter's answer; whether to renew at once, since something has changed."""
        self._check_clock(now)
        asked = self.sent_renewals.get(grant.sequence)
        if asked is None:
            return False
        sent, acts = asked
        word = self.grant_states.setdefault(voter, GrantState())
        word.received_at = now
        word.cleared_version = max(word.cleared_version, grant.cleared_version)
        if grant.sequence > word.sequence:
            word.sequence, word.canary_version = grant.sequence, grant.canary_version
        self.denial_reason = grant.reason or self.denial_reason if not grant.is_recorded else ""
        if grant.is_recorded and acts == self.active_versions:
            word.recorded_at = max(word.recorded_at, sent)
        if grant.granted_version and grant.sequence >= self.refused_before:
            if grant.granted_version > word.granted_version:
                word.granted_version, word.granted_at, word.granted_sequence = (
                    grant.granted_version,
                    sent,
                    grant.sequence,
                )
            elif grant.granted_version == word.granted_version:
                word.granted_at = max(word.granted_at, sent)
                word.granted_sequence = max(word.granted_sequence, grant.sequence)
        changed = (
            self._on_newer_version(grant)
            or self._narrow_active_versions(grant)
            or self._adopt_granted_version(now)
        )
        self._extend_lease()
        return changed

    def _on_newer_version(self, grant: LeaseGrant) -> bool:
        """One that acts by nothing yet lets go of what it was granted of an earlier version, and says so:
        each of its grants was waited for up to the horizon, and so one that joined while a version changed
        held up all others for that long. A voter that is behind may grant such a one later too."""
        late = 0 < grant.granted_version < self.latest_agreed
        if grant.current_version <= self.latest_agreed and not late:
            return False
        first = not self.latest_agreed and grant.sequence == 1  # nothing was granted before
        self.latest_agreed = max(self.latest_agreed, grant.current_version)
        if self.active_versions or first:
            return False  # one that acts goes on with that, and keeps to the later one too
        self._refuse_grants_before(self.sequence + 1)
        return True

    def _refuse_grants_before(self, seq: int) -> None:
        """What answers an earlier renewal is not taken: nobody has to wait for it once this has been said."""
        self.refused_before = max(self.refused_before, seq)
        for word in self.grant_states.values():
            if word.granted_sequence < seq:
                word.granted_version, word.granted_at = 0, NEVER

    def _narrow_active_versions(self, grant: LeaseGrant) -> bool:
        """Another version is agreed on, or is to be tried here: keeps to it too."""
        trial = self.versions.get(grant.canary_version)
        if trial is not None and self.active_versions == (grant.current_version,):
            # It lies within the current one, so that nobody has to be asked.
            self._set_active_versions((trial.number,))
            return True
        current = grant.current_version
        if current in self.versions and self.active_versions and current > max(self.active_versions):
            later = [number for number in self.versions if max(self.active_versions) < number <= current]
            self._set_active_versions((*self.active_versions, *later))
            return True
        return False

    def _set_active_versions(self, acts: tuple[int, ...]) -> None:
        """By less than before: what was noted of that still covers it."""
        self.active_versions, self.refused_before = acts, self.sequence + 1

    def _adopt_granted_version(self, now: float) -> bool:
        """The newest version that a majority has granted, all of whom have cleared it."""
        number = max((word.granted_version for word in self.grant_states.values()), default=0)
        version = self.versions.get(number)
        if version is None or self.active_versions == (number,):
            return False
        if any(word.canary_version in self.active_versions for word in self.grant_states.values()) or (
            number < max(self.active_versions, default=0) and not self._is_canary_withdrawn()
        ):
            return False  # it tries a version that is not agreed on yet, or knows of a later one
        before = self.versions.get(number - 1, version)
        base = self._majority_time(version.voters, number)
        cleared = sum(
            self.grant_states[name].cleared_version >= number
            for name in before.voters
            if name in self.grant_states
        )
        if 2 * cleared <= len(before.voters) or base < now - self.terms.holder_duration(self.terms.lease_s):
            return False
        self.active_versions, self.refused_before, self.lease_start = (number,), self.sequence + 1, base
        for word in self.grant_states.values():
            word.recorded_at = word.granted_at if word.granted_version == number else NEVER
        return True

    def _is_canary_withdrawn(self) -> bool:
        """What it tries is no version to try any more, by the word of a majority."""
        version = self.latest_version
        if version is None or self.active_versions != (version.number,):
            return False
        told = [
            word
            for name, word in self.grant_states.items()
            if name in version.voters and not word.canary_version
        ]
        return 2 * len(told) > len(version.voters)

    def _majority_time(self, voters: tuple[str, ...], number: int = 0) -> float:
        """The latest time by which a majority had noted what it acts by, or granted that version."""
        times = []
        for name in voters:
            word = self.grant_states.get(name, GrantState())
            times.append(
                word.recorded_at
                if not number
                else word.granted_at
                if word.granted_version == number
                else NEVER
            )
        times.sort(reverse=True)
        return times[len(times) // 2] if times else NEVER

    def _extend_lease(self) -> None:
        """The oldest of the versions decides whose majority counts."""
        sets = [
            version.voters for version in map(self.versions.get, self.active_versions) if version is not None
        ]
        if sets:
            self.lease_start = max(self.lease_start, min(self._majority_time(voters) for voters in sets))

    def _check_clock(self, now: float) -> None:
        """Guards against a clock that steps back: nothing is known then of how long a lease has lasted."""
        if now < self.last_now:
            self.lease_start = NEVER
            self.sent_renewals.clear()
            self.grant_states.clear()
            self.refused_before = self.sequence + 1
        self.last_now = now

    # -- acting ----------------------------------------------------------------------------------------------

    def tier(self, now: float) -> LeaseTier:
        self._check_clock(now)
        age = now - self.lease_start
        if not self.active_versions or age > self.terms.holder_duration(self.terms.horizon_s):
            return LeaseTier.FLOOR
        return LeaseTier.LEASE if age <= self.terms.holder_duration(self.terms.lease_s) else LeaseTier.STANDBY

    def active_rules(self, now: float) -> ActiveRules:
        """Asked right before a call's first byte, and for each message: as long as nothing that it rests on
        has changed, and time has not run out, it is as it was told last."""
        made = self._made
        if (
            made is not None
            and made[0] is self.active_versions
            and made[1] == self.lease_start
            and self.last_now <= now <= made[2]
        ):
            self.last_now = now
            return made[3]
        tier = self.tier(now)
        acting = (
            made[3] if made is not None and made[0] == self.active_versions and made[3].tier is tier else None
        )
        if acting is None:
            acting = self._compute_active_rules(tier)
        self._made = self.active_versions, self.lease_start, self.tier_ends_at(now), acting
        return acting

    def _compute_active_rules(self, tier: LeaseTier) -> ActiveRules:
        if tier is LeaseTier.FLOOR:
            return ActiveRules(self.floor, self.active_versions, tier)
        rules = intersect_all(self.versions[number].decoded_rules for number in self.active_versions)
        if tier is LeaseTier.STANDBY:
            rules = standby_rules(rules, self.terms.standby_share)
            rules = intersect(rules, rules)  # one form, whatever the share has made of it
        return ActiveRules(rules, self.active_versions, tier)

    def tier_ends_at(self, now: float) -> float:
        """When its tier changes unless something is heard."""
        age = now - self.lease_start
        for span in (self.terms.lease_s, self.terms.horizon_s):
            if age <= self.terms.holder_duration(span):
                return self.lease_start + self.terms.holder_duration(span)
        return float("inf")

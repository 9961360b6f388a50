"""What a voter allows relays to act on. No I/O; the clock is passed in, in seconds.

A version is *cleared* by a voter once nothing that any relay may be acting by goes beyond it, as far as this
voter has noted or granted it. It is acted on by a relay only with grants of a majority of voters, each of
which has cleared it, and so has noted nothing beyond it; any majority that once allowed a relay something
else has a voter in common with that one. So no call that the agreed version forbids is made once any
relay acts on it.

By what a relay may be acting, as a voter knows it: what it said (`acts`) and what it was granted since,
each by its age. Up to a lease: the meet of those versions. After it, up to the horizon: their standby,
which is all that a relay without a majority goes on with. After that: the floor, which lies within every
version.

Guards (which of them a model or schedules were seen to miss: docs/design/agreed-rules.md):
- a relay acts on what a majority has noted, no fewer; its lease runs from when it was asked for, and is
  looked at right before the first byte; what it let go it takes up no more, whatever late answers say;
- who is waited for is looked up at all relays once in a while and before anything is cleared, and in
  between only at the one that renews: with a walk at each renewal a voter of 3,500 relays has no time left;
- a voter waits for all that it has noted, longer than a holder counts, and for the horizon where a version
  forbids a standby; below what it cleared it notes and grants nothing, in its next process too; and a
  process that starts waits as if everything were held.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

from ..gossip.settings import INSTANCES_MAX
from .lease_protocol import DeliveryCounts, LeaseGrant, LeaseRenewal, LeaseTerms
from .rules import Rules
from .rules_meet import intersect_all, is_subset, standby_rules
from .version_history import Stage, Version, VersionHistory

MAX_RELAYS = INSTANCES_MAX  # as many as peers are known: a record of each, and a walk over them to clear
FULL_CHECKS_PER_LEASE = 8  # in the time of a lease: so often all relays are looked at while a version waits
MAX_CACHED_RESULTS = 4096  # answers that are kept: pairs of the versions that relays act by at one time


@dataclass
class RelayLease:
    """What one relay may be acting by."""

    epoch: int
    nonce: int
    sequence: int = 0
    active_versions: tuple[int, ...] = ()
    recorded_at: float = 0.0  # when that was noted last
    grants: dict[int, tuple[int, float]] = field(default_factory=dict)  # version -> latest seq and time
    received_at: float = 0.0
    counts: DeliveryCounts = DeliveryCounts()

    def possible_versions(self) -> list[tuple[tuple[int, ...], float]]:
        found: list[tuple[tuple[int, ...], float]] = []
        found += [((number,), at) for number, (_, at) in self.grants.items()]
        return [(self.active_versions, self.recorded_at), *found] if self.active_versions else found


class LeaseGrantor:
    def __init__(
        self,
        name: str,
        history: VersionHistory,
        terms: LeaseTerms,
        first_digest: str,
        cleared_version: int,
        now: float,
    ) -> None:
        """`first`: digest of the first version and its voters; `cleared`: as an earlier process of this voter
        left it, 0 if there was none."""
        self.name, self.history, self.terms, self.first_digest = name, history, terms, first_digest
        self.cleared_version = cleared_version
        self.started_at = now
        self.has_never_granted = (
            cleared_version == 0 and history.newest.number <= 1
        )  # it has never granted anything
        self.leases: dict[str, RelayLease] = {}
        # What was computed of versions, which never change: each renewal asks for the same.
        self.intersections: dict[tuple[int, ...], Rules] = {}
        self.subset_results: dict[tuple[tuple[int, ...], int, bool], bool] = {}
        self.blockers: dict[str, None] = {}  # whom the current version waits for, as far as is known
        self.blockers_revision = -1  # the book's state when that was looked up
        self.next_full_check = 0.0  # when all relays are looked at again
        self.last_now = now

    @property
    def blocking_relays(self) -> list[str]:
        """Whom the current version waits for."""
        return list(self.blockers)

    # -- renewals --------------------------------------------------------------------------------------------

    def on_renewal(self, now: float, name: str, renewal: LeaseRenewal) -> LeaseGrant:
        """The answer; what it says has been noted when it returns."""
        self._check_clock(now)
        grant = self._process_renewal(now, name, renewal)
        self._update_blocker(now, name)
        return grant

    def _process_renewal(self, now: float, name: str, told: LeaseRenewal) -> LeaseGrant:
        if told.first_digest != self.first_digest:
            return self._make_grant(told, why="its first version is another: the operators' files differ")
        record = self.leases.get(name)
        if record is None or (told.epoch, told.nonce) != (record.epoch, record.nonce):
            if record is not None and told.epoch <= record.epoch:
                return self._make_grant(
                    told, why=f"boot {told.epoch} is not above {record.epoch}: another process"
                )
            if record is None and len(self.leases) >= MAX_RELAYS:
                return self._make_grant(told, why=f"it is relay {MAX_RELAYS + 1}: {MAX_RELAYS} at most")
            # A process that has just started acts by nothing, and the one before it has ended.
            record = self.leases[name] = RelayLease(told.epoch, told.nonce)
        if told.sequence <= record.sequence:
            return self._make_grant(told, why="overtaken")
        record.sequence, record.received_at, record.counts = told.sequence, now, told.counts
        if told.is_leaving:
            del self.leases[name]
            return self._make_grant(told, noted=True)
        return self._record_renewal(now, record, name, told)

    def _record_renewal(self, now: float, record: RelayLease, name: str, told: LeaseRenewal) -> LeaseGrant:
        known = self.history.current
        if known.number < self.cleared_version:
            return self._make_grant(told, why="this voter's log is behind")
        noted = self._may_record(told.active_versions)
        if noted:
            # Only now: what it says is held for true, so that what it refuses need not be waited for. One
            # that
            # is not noted may go on with what it was granted, for as long as that lasts.
            record.active_versions, record.recorded_at = told.active_versions, now
            old = now - self.terms.grantor_duration(self.terms.horizon_s)
            record.grants = {
                number: (seq, at)
                for number, (seq, at) in record.grants.items()
                if seq >= told.refused_before and at >= old
            }
        trial = self.history.canary
        tried = trial is not None and is_in_canary(name, trial)
        granted = 0
        if (
            self.cleared_version == known.number
            and self.name in known.voters
            and self._can_use_grant(told.active_versions, known)
        ):
            granted = known.number
            record.grants[granted] = (told.sequence, now)
        return self._make_grant(told, noted, granted, trial.number if tried and trial is not None else 0)

    def _make_grant(
        self, told: LeaseRenewal, noted: bool = False, granted: int = 0, trial: int = 0, why: str = ""
    ) -> LeaseGrant:
        return LeaseGrant(
            told.sequence, noted, granted, self.cleared_version, self.history.current.number, trial, why
        )

    def _may_record(self, acts: tuple[int, ...]) -> bool:
        """Within all that is cleared or agreed: a relay that says so need not be waited for. One that
        does not know the current version hears of it first, so that it does not go on with an older one
        for long."""
        if acts and max(acts) < self.history.current.number:
            return False
        if self._intersection(acts) is None:
            return False
        # Also those between: another majority may have cleared one of them, and this voter the next already.
        least = min(self.cleared_version, *acts) if acts else self.cleared_version
        for each in reversed(self.history.versions):
            if each.number < least:
                return True
            if each.stage in (Stage.CURRENT, Stage.PAST) and not self._is_intersection_subset(acts, each):
                return False
        return True

    def _can_use_grant(self, acts: tuple[int, ...], known: Version) -> bool:
        """Whether it could still act on that. A grant that it can't take would be waited for in vain:
        where it has heard of a later version than this voter, or tries one."""
        latest = self.history.get(max(acts, default=0))
        if max(acts, default=0) <= known.number:
            return True
        return latest is not None and latest.stage is Stage.WITHDRAWN

    def _intersection(self, acts: tuple[int, ...]) -> Rules | None:
        found = self.intersections.get(acts)
        if found is None:
            versions = [self.history.get(number) for number in acts]
            if None in versions:
                return None
            found = intersect_all(each.decoded_rules for each in versions if each is not None)
            if len(self.intersections) >= MAX_CACHED_RESULTS:
                self.intersections.clear()
            self.intersections[acts] = found
        return found

    def _is_intersection_subset(self, acts: tuple[int, ...], version: Version, alone: bool = False) -> bool:
        """Whether what these allow together, or the standby of that, lies within the version."""
        key = acts, version.number, alone
        found = self.subset_results.get(key)
        if found is None:
            rules = self._intersection(acts)
            assert rules is not None
            found = is_subset(
                standby_rules(rules, self.terms.standby_share) if alone else rules, version.decoded_rules
            )
            if len(self.subset_results) >= MAX_CACHED_RESULTS:
                self.subset_results.clear()
            self.subset_results[key] = found
        return found

    # -- clearing --------------------------------------------------------------------------------------------

    def clear_current_version(self, now: float) -> bool:
        """Clears the current version if it may be; whether it just was, so that it is to be written down."""
        self._check_clock(now)
        known = self.history.current
        if known.number <= self.cleared_version:
            self.blockers.clear()
            return False
        if (
            self.blockers
            and self.blockers_revision == self.history.applied_count
            and now < self.next_full_check
        ):
            return False
        self.blockers = dict.fromkeys(self._find_blockers(now, known))
        self.blockers_revision, self.next_full_check = (
            self.history.applied_count,
            now + self.terms.lease_s / FULL_CHECKS_PER_LEASE,
        )
        if self.blockers:
            return False
        self.cleared_version = known.number
        return True

    def _update_blocker(self, now: float, name: str) -> None:
        """It has renewed: whether it is still waited for. Nobody comes to be waited for by a renewal: what is
        noted lies within the current version."""
        if name in self.blockers:
            record = self.leases.get(name)
            if record is None or self._permits_clearing(now, record, self.history.current):
                del self.blockers[name]

    def _permits_clearing(self, now: float, record: RelayLease, version: Version) -> bool:
        return all(
            self._is_possible_set_bounded(now - at, acts, version) for acts, at in record.possible_versions()
        )

    def _find_blockers(self, now: float, version: Version) -> list[str]:
        found = [] if self._is_past_start(now, version) else ["what was held before this voter's start"]
        for name, record in list(self.leases.items()):
            if record.epoch <= self.history.forgotten_epochs.get(name, -1):
                del self.leases[name]
            elif not self._permits_clearing(now, record, version):
                found.append(name)
            elif now - record.received_at > 2 * self.terms.grantor_duration(self.terms.horizon_s):
                del self.leases[name]  # by now it acts by the floor, whatever it was
        return found

    def _is_possible_set_bounded(self, age: float, acts: tuple[int, ...], version: Version) -> bool:
        if age < 0 or self._intersection(acts) is None:
            return age > self.terms.grantor_duration(self.terms.horizon_s)
        return self._is_bounded_by_age(age, acts, version)

    def _is_bounded_by_age(self, age: float, acts: tuple[int, ...], new: Version) -> bool:
        terms = self.terms
        if age > terms.grantor_duration(terms.horizon_s) or self._is_intersection_subset(acts, new):
            return True  # the floor lies within each version
        return age > terms.grantor_duration(terms.lease_s) and self._is_intersection_subset(
            acts, new, alone=True
        )

    def _is_past_start(self, now: float, version: Version) -> bool:
        """What an earlier process granted is not known any more: any version that it knew may be held."""
        if self.has_never_granted:
            return True
        age = now - self.started_at
        older = [each for each in self.history.versions if each.number < version.number]
        return all(self._is_bounded_by_age(age, (each.number,), version) for each in older)

    def _check_clock(self, now: float) -> None:
        """Guards against a clock that steps back: ages can't be told then, and so it begins anew."""
        if now < self.last_now:
            self.started_at, self.has_never_granted, self.next_full_check = now, False, now
            for record in self.leases.values():
                record.recorded_at = min(record.recorded_at, now)
                record.grants = {number: (seq, min(at, now)) for number, (seq, at) in record.grants.items()}
        self.last_now = now


def is_in_canary(name: str, version: Version) -> bool:
    """Whether this relay tries that version: by a hash, so that each version is tried by others."""
    return zlib.crc32(f"{version.number} {version.digest} {name}".encode()) / 2**32 < version.share

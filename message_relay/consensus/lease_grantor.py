"""Lease grantor of a voter: what it allows relays to act on. No I/O; the clock is passed in, in seconds.

A voter has *cleared* a version once nothing that any relay may be acting on goes beyond it, as far as this
voter has recorded or granted it. A relay acts on a version only with grants of a majority of voters, each of
which has cleared it, and so has recorded nothing beyond it. Any majority that allowed a relay something else
before has a voter in common with this majority. So once any relay acts on the agreed version, no call is made
that it forbids.

As far as a voter knows, a relay may be acting on what it stated (`active_versions`) and on what it was
granted since, each by its age. Up to a lease: the meet of those versions. After that, up to the horizon:
their standby rules, which is all that a relay without a majority continues with. After that: the floor,
which lies within every version.

Guards (docs/design/agreed-rules.md says for which of them the model or schedules detect the removal):
- A relay acts only on what a majority has recorded. Its lease runs from when it was requested, and is checked
  right before the first byte. It never again uses a version that it has dropped, whatever late answers grant.
- The relays that a version waits for are searched for among all relays at intervals and before a version is
  cleared. In between only the relay that renews is checked: a search at each renewal would leave a voter of
  3,500 relays no time for anything else.
- A voter waits for everything that it has recorded, longer than a holder counts, and for the horizon if a
  version forbids the standby rules. It records and grants nothing below what it has cleared, also in its next
  process. A process that starts waits as if everything had been granted.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from typing import NamedTuple

from ..gossip.settings import INSTANCES_MAX
from .lease_protocol import DeliveryCounts, LeaseGrant, LeaseRenewal, LeaseTerms
from .rules import Rules
from .rules_intersection import intersect_all, is_subset, standby_rules
from .version_history import Stage, Version, VersionHistory

MAX_RELAYS = INSTANCES_MAX  # one record each, and all are searched to clear a version
FULL_CHECKS_PER_LEASE = 8  # searches among all relays while a version waits
MAX_CACHED_RESULTS = 4096  # enough for the pairs of version sets that are active at one time
EARLIER_PROCESS = "leases granted before this voter started"  # listed among the blocking relays


class RecordedGrant(NamedTuple):
    """A grant of one version to one relay."""

    sequence: int  # of the latest renewal that was answered with it
    granted_at: float


@dataclass
class RelayLease:
    """What one relay may be acting on."""

    epoch: int
    nonce: int
    sequence: int = 0
    active_versions: tuple[int, ...] = ()
    recorded_at: float = 0.0  # when `active_versions` was recorded last
    grants: dict[int, RecordedGrant] = field(default_factory=dict)  # by version
    received_at: float = 0.0
    counts: DeliveryCounts = DeliveryCounts()

    def possible_versions(self) -> list[tuple[tuple[int, ...], float]]:
        """Return each set of versions whose meet the relay may be acting on, with the time of its record."""
        granted = [((number,), grant.granted_at) for number, grant in self.grants.items()]
        return [(self.active_versions, self.recorded_at), *granted] if self.active_versions else [*granted]

    def record(self, renewal: LeaseRenewal, now: float, oldest: float) -> None:
        """Record what the relay acts on; drop grants that it refuses or that were given before `oldest`."""
        self.active_versions = renewal.active_versions
        self.recorded_at = now
        self.grants = {
            number: grant
            for number, grant in self.grants.items()
            if grant.sequence >= renewal.refused_before and grant.granted_at >= oldest
        }

    def clamp_times(self, now: float) -> None:
        """Limit all recorded times to `now`, after the clock has stepped back."""
        self.recorded_at = min(self.recorded_at, now)
        self.grants = {
            number: RecordedGrant(grant.sequence, min(grant.granted_at, now))
            for number, grant in self.grants.items()
        }


class LeaseGrantor:
    """A voter's leases: records renewals, grants the cleared version, and clears the next one."""

    def __init__(
        self,
        name: str,
        history: VersionHistory,
        terms: LeaseTerms,
        first_digest: str,
        cleared_version: int,
        now: float,
    ) -> None:
        """Start a voter.

        Args:
            name: of this voter.
            history: the replicated versions, which are updated outside this class.
            terms: lease durations.
            first_digest: digest of the first version and its voters.
            cleared_version: as saved by an earlier process of this voter; 0 if there was none.
            now: the clock's time, in seconds.
        """
        self.name = name
        self.history = history
        self.terms = terms
        self.first_digest = first_digest
        self.cleared_version = cleared_version
        self.started_at = now
        self.has_never_granted = cleared_version == 0 and history.newest.number <= 1
        self.leases: dict[str, RelayLease] = {}
        # Versions never change, and each renewal needs the same results.
        self.intersections: dict[tuple[int, ...], Rules] = {}
        self.subset_results: dict[tuple[tuple[int, ...], int, bool], bool] = {}
        self.blockers: dict[str, None] = {}  # known relays that the current version waits for
        self.blockers_revision = -1  # number of commands applied to the history at that search
        self.next_full_check = 0.0  # when all relays are searched again
        self.last_now = now

    @property
    def blocking_relays(self) -> list[str]:
        """Relays that the current version waits for."""
        return list(self.blockers)

    # -- renewals --------------------------------------------------------------------------------------------

    def on_renewal(self, now: float, name: str, renewal: LeaseRenewal) -> LeaseGrant:
        """Record a relay's renewal; return the answer."""
        self._check_clock(now)
        grant = self._process_renewal(now, name, renewal)
        self._update_blocker(now, name)
        return grant

    def _process_renewal(self, now: float, name: str, renewal: LeaseRenewal) -> LeaseGrant:
        refusal = self._refusal_reason(name, renewal)
        if refusal:
            return self._make_grant(renewal, reason=refusal)
        lease = self.leases.get(name)
        if lease is None or (renewal.epoch, renewal.nonce) != (lease.epoch, lease.nonce):
            # A process that has just started has no active versions, and the one before it has ended.
            lease = self.leases[name] = RelayLease(renewal.epoch, renewal.nonce)
        if renewal.sequence <= lease.sequence:
            return self._make_grant(renewal, reason="overtaken")
        lease.sequence = renewal.sequence
        lease.received_at = now
        lease.counts = renewal.counts
        if renewal.is_leaving:
            del self.leases[name]
            return self._make_grant(renewal, is_recorded=True)
        return self._record_renewal(now, lease, name, renewal)

    def _refusal_reason(self, name: str, renewal: LeaseRenewal) -> str:
        """Return why no renewal of this process is recorded; empty if it may be."""
        if renewal.first_digest != self.first_digest:
            return "its first version is different: the operators' files differ"
        lease = self.leases.get(name)
        if lease is None:
            if len(self.leases) >= MAX_RELAYS:
                return f"it is relay {MAX_RELAYS + 1}: {MAX_RELAYS} at most"
            return ""
        is_same_process = (renewal.epoch, renewal.nonce) == (lease.epoch, lease.nonce)
        if not is_same_process and renewal.epoch <= lease.epoch:
            return f"boot {renewal.epoch} is not above {lease.epoch}: another process"
        return ""

    def _record_renewal(self, now: float, lease: RelayLease, name: str, renewal: LeaseRenewal) -> LeaseGrant:
        current = self.history.current
        if current.number < self.cleared_version:
            return self._make_grant(renewal, reason="this voter's log is behind")
        is_recorded = self._may_record(renewal.active_versions)
        if is_recorded:
            # Grants that the relay refuses stop blocking only when its renewal is recorded: otherwise it may
            # continue with what it was granted until that expires.
            oldest = now - self.terms.grantor_duration(self.terms.horizon_s)
            lease.record(renewal, now, oldest)
        granted_version = 0
        if (
            self.cleared_version == current.number
            and self.name in current.voters
            and self._can_use_grant(renewal.active_versions, current)
        ):
            granted_version = current.number
            lease.grants[granted_version] = RecordedGrant(renewal.sequence, now)
        return self._make_grant(renewal, is_recorded, granted_version, self._canary_version(name))

    def _canary_version(self, name: str) -> int:
        canary = self.history.canary
        return canary.number if canary is not None and is_in_canary(name, canary) else 0

    def _make_grant(
        self,
        renewal: LeaseRenewal,
        is_recorded: bool = False,
        granted_version: int = 0,
        canary_version: int = 0,
        reason: str = "",
    ) -> LeaseGrant:
        return LeaseGrant(
            renewal.sequence,
            is_recorded,
            granted_version,
            self.cleared_version,
            self.history.current.number,
            canary_version,
            reason,
        )

    def _may_record(self, versions: tuple[int, ...]) -> bool:
        """Whether the meet of these versions lies within all versions that are cleared or agreed on.

        A relay that acts on such a meet blocks no version. A relay that does not know the current version is
        informed of it first, so that it does not continue with an older one for long.
        """
        if versions and max(versions) < self.history.current.number:
            return False
        if self._intersection(versions) is None:
            return False
        # Versions in between count too: another majority may have cleared one, and this voter the next one.
        oldest = min(self.cleared_version, *versions) if versions else self.cleared_version
        for version in reversed(self.history.versions):
            if version.number < oldest:
                return True
            is_agreed = version.stage in (Stage.CURRENT, Stage.PAST)
            if is_agreed and not self._is_intersection_subset(versions, version):
                return False
        return True

    def _can_use_grant(self, versions: tuple[int, ...], current: Version) -> bool:
        """Whether a relay that acts on these could still act on the current version.

        It could not if it knows a later version than this voter, or acts on a canary version. Voters would
        wait in vain for a grant that it can't use.
        """
        newest = max(versions, default=0)
        if newest <= current.number:
            return True
        version = self.history.get(newest)
        return version is not None and version.stage is Stage.WITHDRAWN

    # -- rules of several versions ---------------------------------------------------------------------------

    def _intersection(self, numbers: tuple[int, ...]) -> Rules | None:
        """Return the meet of these versions; None if one of them is unknown."""
        rules = self.intersections.get(numbers)
        if rules is None:
            versions = [self.history.get(number) for number in numbers]
            if None in versions:
                return None
            rules = intersect_all(version.decoded_rules for version in versions if version is not None)
            if len(self.intersections) >= MAX_CACHED_RESULTS:
                self.intersections.clear()
            self.intersections[numbers] = rules
        return rules

    def _is_intersection_subset(
        self, numbers: tuple[int, ...], version: Version, is_standby: bool = False
    ) -> bool:
        """Whether the meet of these versions, or its standby rules, lies within the given version."""
        key = numbers, version.number, is_standby
        is_within = self.subset_results.get(key)
        if is_within is None:
            rules = self._intersection(numbers)
            assert rules is not None
            if is_standby:
                rules = standby_rules(rules, self.terms.standby_share)
            is_within = is_subset(rules, version.decoded_rules)
            if len(self.subset_results) >= MAX_CACHED_RESULTS:
                self.subset_results.clear()
            self.subset_results[key] = is_within
        return is_within

    # -- clearing --------------------------------------------------------------------------------------------

    def clear_current_version(self, now: float) -> bool:
        """Clear the current version if no relay goes beyond it; return whether this call has cleared it.

        The caller has to write `cleared_version` to disk before any answer is sent.
        """
        self._check_clock(now)
        current = self.history.current
        if current.number <= self.cleared_version:
            self.blockers.clear()
            return False
        if (
            self.blockers
            and self.blockers_revision == self.history.applied_count
            and now < self.next_full_check
        ):
            return False
        self.blockers = dict.fromkeys(self._find_blockers(now, current))
        self.blockers_revision = self.history.applied_count
        self.next_full_check = now + self.terms.lease_s / FULL_CHECKS_PER_LEASE
        if self.blockers:
            return False
        self.cleared_version = current.number
        return True

    def _update_blocker(self, now: float, name: str) -> None:
        """Check whether a relay that has just renewed still blocks the current version.

        A renewal never makes a relay a blocker: what is recorded lies within the current version.
        """
        if name in self.blockers:
            lease = self.leases.get(name)
            if lease is None or self._permits_clearing(now, lease, self.history.current):
                del self.blockers[name]

    def _permits_clearing(self, now: float, lease: RelayLease, version: Version) -> bool:
        return all(
            self._is_possible_set_bounded(now - since, numbers, version)
            for numbers, since in lease.possible_versions()
        )

    def _find_blockers(self, now: float, version: Version) -> list[str]:
        blockers = [] if self._is_past_start(now, version) else [EARLIER_PROCESS]
        for name, lease in list(self.leases.items()):
            if lease.epoch <= self.history.forgotten_epochs.get(name, -1):
                del self.leases[name]
            elif not self._permits_clearing(now, lease, version):
                blockers.append(name)
            elif now - lease.received_at > 2 * self.terms.grantor_duration(self.terms.horizon_s):
                del self.leases[name]  # it has acted on the floor for a long time
        return blockers

    def _is_possible_set_bounded(self, age: float, numbers: tuple[int, ...], version: Version) -> bool:
        """Whether a relay that may act on these versions since `age` seconds stays within the version."""
        if age < 0 or self._intersection(numbers) is None:
            return age > self.terms.grantor_duration(self.terms.horizon_s)
        return self._is_bounded_by_age(age, numbers, version)

    def _is_bounded_by_age(self, age: float, numbers: tuple[int, ...], version: Version) -> bool:
        terms = self.terms
        if age > terms.grantor_duration(terms.horizon_s) or self._is_intersection_subset(numbers, version):
            return True  # the floor lies within each version
        is_lease_over = age > terms.grantor_duration(terms.lease_s)
        return is_lease_over and self._is_intersection_subset(numbers, version, is_standby=True)

    def _is_past_start(self, now: float, version: Version) -> bool:
        """Whether nothing that an earlier process of this voter may have granted goes beyond the version.

        The grants of that process are not known: relays may hold any earlier version.
        """
        if self.has_never_granted:
            return True
        age = now - self.started_at
        older = [other for other in self.history.versions if other.number < version.number]
        return all(self._is_bounded_by_age(age, (other.number,), version) for other in older)

    def _check_clock(self, now: float) -> None:
        """Guards against a clock that steps back: ages are then unknown, as after a start."""
        if now < self.last_now:
            self.started_at = now
            self.has_never_granted = False
            self.next_full_check = now
            for lease in self.leases.values():
                lease.clamp_times(now)
        self.last_now = now


def is_in_canary(name: str, version: Version) -> bool:
    """Whether a relay acts on a canary version: by a hash that selects other relays for each version."""
    return zlib.crc32(f"{version.number} {version.digest} {name}".encode()) / 2**32 < version.share

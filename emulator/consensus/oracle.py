"""The global state of a schedule, against which each call of a relay is checked."""

from __future__ import annotations

from dataclasses import dataclass, field

from message_relay.consensus.active_rules import ActiveRules, LeaseTier
from message_relay.consensus.rules import Rules
from message_relay.consensus.rules_intersection import is_subset
from message_relay.consensus.version_history import Command, VersionHistory


@dataclass
class Oracle:
    """The agreed log, the version in force, and violations of the bound.

    A version is in force once a majority of voters has cleared it.
    """

    voters: tuple[str, ...]
    bound_s: float
    violations: list[str] = field(default_factory=list)
    calls: int = 0
    worst_overlap_s: float = 0.0  # longest time for which a relay acted on an older version after a newer one
    activation_s: list[float] = field(default_factory=list)  # from agreement to first use by a relay

    def __post_init__(self) -> None:
        self.history = VersionHistory(Rules(), self.voters)
        self.log: list[Command] = []
        self.agreed_at = {1: 0.0}
        self.cleared_by: dict[int, set[str]] = {}
        self.in_force = self.history.newest
        self.in_force_since = 0.0

    def agree(self, command: Command) -> bool:
        """Append a command to the log; return whether it was accepted."""
        if self.history.apply(command).refused:
            return False
        self.log.append(command)
        return True

    def on_cleared(self, now: float, voter: str, number: int) -> None:
        """Record that a voter has cleared a version.

        A majority has to clear this very version, since only then a majority grants it.
        """
        voters = self.cleared_by.setdefault(number, set())
        voters.add(voter)
        version = self.history.get(number)
        has_majority = 2 * len(voters) > len(self.voters)
        if version is not None and has_majority and version.number > self.in_force.number:
            self.in_force = version
            self.in_force_since = now

    def on_active(self, now: float, number: int) -> None:
        """Record that a relay acts on a single version."""
        agreed_at = self.agreed_at.pop(number, None)
        if agreed_at is not None:
            self.activation_s.append(now - agreed_at)

    def check_call(self, now: float, relay: str, active: ActiveRules) -> None:
        """Check a call that a relay makes under these rules."""
        self.calls += 1
        is_single_version = active.tier is LeaseTier.LEASE and len(active.versions) == 1
        if is_single_version and active.versions[0] < self.in_force.number:
            overlap_s = now - self.in_force_since
            self.worst_overlap_s = max(self.worst_overlap_s, overlap_s)
            if overlap_s > self.bound_s:
                self.violations.append(
                    f"{now:.2f}: {relay} acts on {active.label} "
                    f"{overlap_s:.2f} s after {self.in_force.number} came into force"
                )
        if not is_subset(active.rules, self.in_force.decoded_rules):
            self.violations.append(
                f"{now:.2f}: {relay} sends under {active.label} a call that {self.in_force.number} forbids"
            )

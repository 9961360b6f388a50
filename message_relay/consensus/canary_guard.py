"""Canary guard: detects a harmful version by the delivered share of the completed messages. No I/O.

The relays of a canary are compared with the other relays over the same time. A version that applies to all
relays at once leaves none to compare with: it is compared with the fleet's own share in the time before it.
Counts are differences within one process, so that a restart subtracts nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from .lease_grantor import RelayLease, is_in_canary
from .lease_protocol import DeliveryCounts
from .version_history import Guard, Version

SAMPLES_PER_SPAN = 20


class Verdict(Enum):
    """The guard's judgement of a version; WAIT: there is not enough evidence yet."""

    WAIT = "wait"
    HARMFUL = "harm"
    HEALTHY = "well"


@dataclass
class CanaryWatch:
    """Compares delivery with and without one version, from the moment that it was first seen in force."""

    version: Version
    started_at: float
    baseline_share: float | None  # of the fleet, before the version; None: too few messages
    # Maps each process (relay name, nonce) to its counts when it was first seen.
    initial_counts: dict[tuple[str, int], DeliveryCounts] = field(default_factory=dict)

    def evaluate(self, now: float, leases: Iterable[tuple[str, RelayLease]]) -> tuple[Verdict, str]:
        """Return the verdict at a time in seconds, and its cause if it is HARMFUL."""
        guard = self.version.guard
        if guard is None:
            return Verdict.WAIT, ""
        with_version, without = self._counts_since_start(leases)
        share = _delivered_share(with_version, guard)
        reference = _delivered_share(without, guard) if self.version.share < 1 else self.baseline_share
        if (
            share is not None
            and reference is not None
            and reference > 0
            and share / reference < guard.least_ratio
        ):
            return Verdict.HARMFUL, (
                f"delivered {share:.3f} of {with_version.completed} messages with this version, "
                f"{reference:.3f} without: the ratio is below {guard.least_ratio:g}"
            )
        is_watched_long_enough = now - self.started_at >= guard.watch_s
        return (Verdict.HEALTHY if is_watched_long_enough and share is not None else Verdict.WAIT), ""

    def _counts_since_start(
        self, leases: Iterable[tuple[str, RelayLease]]
    ) -> tuple[DeliveryCounts, DeliveryCounts]:
        """Return the messages since the watch started, of the relays with the version and of the others."""
        delivered = {True: 0, False: 0}
        completed = {True: 0, False: 0}
        for name, lease in leases:
            initial = self.initial_counts.setdefault((name, lease.nonce), lease.counts)
            has_version = self.version.share >= 1 or is_in_canary(name, self.version)
            delivered[has_version] += lease.counts.delivered - initial.delivered
            completed[has_version] += lease.counts.completed - initial.completed
        with_version = DeliveryCounts(delivered[True], completed[True])
        return with_version, DeliveryCounts(delivered[False], completed[False])


def _delivered_share(counts: DeliveryCounts, guard: Guard) -> float | None:
    return counts.delivered / counts.completed if counts.completed >= guard.least_count else None


def total_counts(leases: Iterable[RelayLease]) -> DeliveryCounts:
    """Return the messages of all relays together."""
    counts = [lease.counts for lease in leases]
    return DeliveryCounts(sum(item.delivered for item in counts), sum(item.completed for item in counts))


@dataclass
class RecentOutcomes:
    """The fleet's delivered share over the last `span_s`: the baseline for a version without a canary."""

    span_s: float = 20.0
    samples: list[tuple[float, DeliveryCounts]] = field(default_factory=list)

    def add(self, now: float, leases: Iterable[RelayLease]) -> None:
        """Add a sample; at most `SAMPLES_PER_SPAN` are taken in a span."""
        if self.samples and now - self.samples[-1][0] < self.span_s / SAMPLES_PER_SPAN:
            return
        total = total_counts(leases)
        if self.samples and total.completed < self.samples[-1][1].completed:
            self.samples.clear()  # a process has restarted: differences would be wrong
        self.samples = [sample for sample in self.samples if sample[0] > now - self.span_s] + [(now, total)]

    def delivered_share(self, least_count: int, latest: DeliveryCounts | None = None) -> float | None:
        """Return the share; None if fewer messages than `least_count` were completed.

        `latest` are counts of a later time than the newest sample's, if there are any.
        """
        if not self.samples:
            return None
        (_, first), (_, last) = self.samples[0], self.samples[-1]
        if latest is not None and latest.completed >= last.completed:  # fewer: a process has restarted
            last = latest
        completed = last.completed - first.completed
        return (last.delivered - first.delivered) / completed if completed >= least_count else None

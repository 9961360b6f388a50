"""Canary guard: whether a version does harm, by the delivered share of the completed messages. No I/O.

A canary's relays are compared with the others over the same time. A version that holds for all relays at
once has no others: it is compared with the fleet's own share in the time before. Counts are differences, by
process, so that a restart subtracts nothing.
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
    """What the guard makes of a version; WAIT: it can't tell yet."""

    WAIT = "wait"
    HARMFUL = "harm"
    HEALTHY = "well"


@dataclass
class CanaryWatch:
    """Compares delivery with and without one version, from when it was first seen in force."""

    version: Version
    started_at: float
    baseline_share: float | None  # share of the fleet before it; None: too little was seen
    # Of each process (relay's name and nonce), when it was first seen.
    initial_counts: dict[tuple[str, int], DeliveryCounts] = field(default_factory=dict)

    def evaluate(self, now: float, leases: Iterable[tuple[str, RelayLease]]) -> tuple[Verdict, str]:
        """The verdict at a time in seconds, and its cause if it is HARMFUL."""
        guard = self.version.guard
        if guard is None:
            return Verdict.WAIT, ""
        with_version, without = self._sums(leases)
        share = _delivered_share(with_version, guard)
        reference = _delivered_share(without, guard) if self.version.share < 1 else self.baseline_share
        if (
            share is not None
            and reference is not None
            and reference > 0
            and share / reference < guard.least_ratio
        ):
            return Verdict.HARMFUL, (
                f"delivered {share:.3f} of {with_version.completed} with it, {reference:.3f} without: under "
                f"{guard.least_ratio:g}"
            )
        is_watched_long_enough = now - self.started_at >= guard.watch_s
        return (Verdict.HEALTHY if is_watched_long_enough and share is not None else Verdict.WAIT), ""

    def _sums(self, leases: Iterable[tuple[str, RelayLease]]) -> tuple[DeliveryCounts, DeliveryCounts]:
        """Messages since the watch began, of the relays with the version and of the others."""
        delivered = {True: 0, False: 0}
        completed = {True: 0, False: 0}
        for name, lease in leases:
            first = self.initial_counts.setdefault((name, lease.nonce), lease.counts)
            has_version = self.version.share >= 1 or is_in_canary(name, self.version)
            delivered[has_version] += lease.counts.delivered - first.delivered
            completed[has_version] += lease.counts.completed - first.completed
        with_version = DeliveryCounts(delivered[True], completed[True])
        return with_version, DeliveryCounts(delivered[False], completed[False])


def _delivered_share(counts: DeliveryCounts, guard: Guard) -> float | None:
    return counts.delivered / counts.completed if counts.completed >= guard.least_count else None


@dataclass
class RecentOutcomes:
    """The fleet's delivered share over the last `span_s`: the baseline of a version without a canary."""

    span_s: float = 20.0
    samples: list[tuple[float, DeliveryCounts]] = field(default_factory=list)

    def add(self, now: float, leases: Iterable[RelayLease]) -> None:
        """Add a sample, at most `SAMPLES_PER_SPAN` in a span."""
        counts = [lease.counts for lease in leases]
        if self.samples and now - self.samples[-1][0] < self.span_s / SAMPLES_PER_SPAN:
            return
        total = DeliveryCounts(sum(each.delivered for each in counts), sum(each.completed for each in counts))
        if self.samples and total.completed < self.samples[-1][1].completed:
            self.samples.clear()  # a process has restarted: differences would mislead
        self.samples = [each for each in self.samples if each[0] > now - self.span_s] + [(now, total)]

    def delivered_share(self, least_count: int) -> float | None:
        """The share, or None with fewer completed messages than `least_count`."""
        if len(self.samples) < 2:
            return None
        (_, first), (_, last) = self.samples[0], self.samples[-1]
        completed = last.completed - first.completed
        return (last.delivered - first.delivered) / completed if completed >= least_count else None

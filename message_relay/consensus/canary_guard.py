"""Whether a change does harm: by the share of the ended messages that were delivered. No I/O.

On trial the relays that try a version are held against the others over the same time. A change that went at
once has no others: it is held against the fleet's own share in the time before. Counts are differences, by
process, so that a restart takes nothing back."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from .lease_grantor import RelayLease, is_in_canary
from .lease_protocol import DeliveryCounts
from .version_history import Guard, Version


class Verdict(Enum):
    WAIT = "wait"
    HARMFUL = "harm"
    HEALTHY = "well"


@dataclass
class CanaryWatch:
    """Over one version, from the moment at which it was first seen in force."""

    version: Version
    started_at: float
    baseline_share: float | None  # share of the fleet before it; None: too little was seen
    initial_counts: dict[tuple[str, int], DeliveryCounts] = field(
        default_factory=dict
    )  # of each process, when it was first seen

    def evaluate(self, now: float, records: Iterable[tuple[str, RelayLease]]) -> tuple[Verdict, str]:
        guard = self.version.guard
        if guard is None:
            return Verdict.WAIT, ""
        mine, others = self._sums(records)
        share = _share(mine, guard)
        other = _share(others, guard) if self.version.share < 1 else self.baseline_share
        if share is not None and other is not None and other > 0 and share / other < guard.least_ratio:
            return Verdict.HARMFUL, (
                f"delivered {share:.3f} of {mine.completed} with it, {other:.3f} without: under "
                f"{guard.least_ratio:g}"
            )
        done = now - self.started_at >= guard.watch_s
        return (Verdict.HEALTHY if done and share is not None else Verdict.WAIT), ""

    def _sums(self, records: Iterable[tuple[str, RelayLease]]) -> tuple[DeliveryCounts, DeliveryCounts]:
        sums = [[0, 0], [0, 0]]
        for name, record in records:
            first = self.initial_counts.setdefault((name, record.nonce), record.counts)
            mine = self.version.share >= 1 or is_in_canary(name, self.version)
            sums[not mine][0] += record.counts.delivered - first.delivered
            sums[not mine][1] += record.counts.completed - first.completed
        return DeliveryCounts(*sums[0]), DeliveryCounts(*sums[1])


def _share(counts: DeliveryCounts, guard: Guard) -> float | None:
    return counts.delivered / counts.completed if counts.completed >= guard.least_count else None


@dataclass
class RecentOutcomes:
    """The fleet's share over the last while, for a change that goes at once."""

    span_s: float = 20.0
    samples: list[tuple[float, DeliveryCounts]] = field(default_factory=list)

    def add(self, now: float, records: Iterable[RelayLease]) -> None:
        told = list(records)
        if self.samples and now - self.samples[-1][0] < self.span_s / 20:
            return
        total = DeliveryCounts(
            sum(each.counts.delivered for each in told), sum(each.counts.completed for each in told)
        )
        if self.samples and total.completed < self.samples[-1][1].completed:
            self.samples.clear()  # a process has begun anew: differences would mislead
        self.samples = [each for each in self.samples if each[0] > now - self.span_s] + [(now, total)]

    def delivered_share(self, least: int) -> float | None:
        if len(self.samples) < 2:
            return None
        (_, first), (_, last) = self.samples[0], self.samples[-1]
        ended = last.completed - first.completed
        return (last.delivered - first.delivered) / ended if ended >= least else None

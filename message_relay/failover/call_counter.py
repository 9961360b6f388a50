"""Counts one relay's calls by destination and zone, and reports the counts of each window.

No I/O: the caller closes each window and passes its length.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from ..decisions.model import Outcome
from .observations import (
    MAX_PARTS,
    MAX_REPORT_BYTES,
    MAX_SAMPLES,
    OTHER_DESTINATIONS,
    RETAINED_WINDOWS,
    Demand,
    ObservationReport,
    WindowSample,
    latency_bucket,
)

Target = tuple[int, str]  # destination, zone of its endpoints


@dataclass(slots=True)
class CallCounts:
    """Calls to one target in the current window; fields as in `WindowSample`."""

    calls: int = 0
    succeeded: int = 0
    proven_no_effect: int = 0
    overloaded: int = 0

    def add(self, other: CallCounts) -> None:
        """Adds the counts of another target."""
        self.calls += other.calls
        self.succeeded += other.succeeded
        self.proven_no_effect += other.proven_no_effect
        self.overloaded += other.overloaded


class CallCounter:
    """Counts the submissions and calls of one relay in the current window."""

    def __init__(self, relay: str, nonce: int, zone: str) -> None:
        self.relay = relay
        self.nonce = nonce
        self.zone = zone
        self.window = 0
        self.counts: dict[Target, CallCounts] = {}
        self.sketches: dict[Target, Counter[int]] = {}
        self.submitted: Counter[tuple[int, str]] = Counter()  # by destination and group
        # Maps each target to (consecutive failed calls, windows since the latest of them). Guards against
        # losing sight of targets that the relay avoids by its own decision: without calls they would look
        # as if nothing were known about them.
        self.failure_runs: dict[Target, tuple[int, int]] = {}

    def record_submission(self, destination: int, group: str = "") -> None:
        """Counts a message that was submitted for a destination."""
        self.submitted[destination, group] += 1

    def record_outcome(self, destination: int, zone: str, outcome: Outcome, latency_ms: float) -> None:
        """Counts a finished call by its outcome; ignores outcomes that say nothing about the destination."""
        if outcome in (Outcome.NOT_SENT, Outcome.CANCELLED):
            return
        succeeded = outcome is Outcome.OK
        overloaded = outcome is Outcome.FULL
        self.record_call(destination, zone, succeeded, outcome.proves_no_effect, overloaded, latency_ms)

    def record_call(
        self,
        destination: int,
        zone: str,
        succeeded: bool,
        proven_no_effect: bool,
        overloaded: bool,
        latency_ms: float,
    ) -> None:
        """Counts a finished call. `overloaded` means rejected with a Retry-After, which proves no effect."""
        target = destination, zone
        counts = self.counts.setdefault(target, CallCounts())
        counts.calls += 1
        if succeeded:
            counts.succeeded += 1
            self.failure_runs.pop(target, None)
            self.sketches.setdefault(target, Counter())[latency_bucket(latency_ms)] += 1
            return
        if proven_no_effect or overloaded:
            counts.proven_no_effect += 1
        if overloaded:  # an overloaded destination is reachable
            counts.overloaded += 1
            return
        failures, _ = self.failure_runs.get(target, (0, 0))
        self.failure_runs[target] = failures + 1, 0

    def close_window(self, seconds: float, load: float) -> list[ObservationReport]:
        """Returns the reports of the window that ends now after `seconds`, and starts the next window.

        There is always at least one report, since the absence of demand is information too. `load` is the
        number of pending messages as a share of the maximum.
        """
        self.window += 1
        ranked = sorted(self.counts, key=lambda target: (-self.counts[target].calls, target))
        items: list[Demand | WindowSample] = [*self._demand(seconds)]
        items += [self._sample(target) for target in ranked[:MAX_SAMPLES]]
        items += self._remaining_samples(ranked[MAX_SAMPLES:])
        items += self._avoided_samples()
        self.counts = {}
        self.sketches = {}
        self.submitted = Counter()
        parts = _fitting_parts(items)
        return [self._report(index, part, load) for index, part in enumerate(parts[:MAX_PARTS])]

    def _demand(self, seconds: float) -> list[Demand]:
        most_submitted = sorted(self.submitted.items(), key=lambda item: (-item[1], item[0]))
        return [Demand(*key, round(count / seconds, 3)) for key, count in most_submitted[:MAX_SAMPLES]]

    def _sample(self, target: Target) -> WindowSample:
        sketch = tuple(sorted(self.sketches.get(target, Counter()).items()))
        return _sample_of(target, self.counts[target], sketch)

    def _report(self, part: int, items: list[Demand | WindowSample], load: float) -> ObservationReport:
        demand = tuple(item for item in items if isinstance(item, Demand))
        samples = tuple(item for item in items if isinstance(item, WindowSample))
        return ObservationReport(
            self.relay, self.nonce, self.window, part, self.zone, 0.0, round(load, 3), demand, samples
        )

    def _avoided_samples(self) -> list[WindowSample]:
        """Samples of targets that had demand but no calls in this window, because earlier calls failed."""
        demanded = {destination for destination, _ in self.submitted}
        demanded |= {destination for destination, _ in self.counts}
        samples = []
        for target, (failures, windows) in list(self.failure_runs.items()):
            if windows >= RETAINED_WINDOWS:
                del self.failure_runs[target]  # the relay has resumed trial calls by then
                continue
            self.failure_runs[target] = failures, windows + 1
            if target not in self.counts and target[0] in demanded:
                samples.append(WindowSample(*target, avoided_after=failures))
        return samples[:MAX_SAMPLES]

    def _remaining_samples(self, targets: Iterable[Target]) -> list[WindowSample]:
        """Samples of the targets with the fewest calls, summed up by zone."""
        sums: dict[str, CallCounts] = {}
        for destination, zone in targets:
            sums.setdefault(zone, CallCounts()).add(self.counts[destination, zone])
        return [_sample_of((OTHER_DESTINATIONS, zone), total) for zone, total in sorted(sums.items())]


def _sample_of(target: Target, counts: CallCounts, sketch: tuple[tuple[int, int], ...] = ()) -> WindowSample:
    return WindowSample(
        *target, counts.calls, counts.succeeded, counts.proven_no_effect, counts.overloaded, sketch
    )


def _fitting_parts(items: list[Demand | WindowSample]) -> list[list[Demand | WindowSample]]:
    """Splits a report into parts that fit into a datagram; without items there is one empty part."""
    parts: list[list[Demand | WindowSample]] = [[]]
    size = 0
    for item in items:
        length = len(msgspec.msgpack.encode(item))
        if size + length > MAX_REPORT_BYTES and parts[-1]:
            parts.append([])
            size = 0
        parts[-1].append(item)
        size += length
    return parts

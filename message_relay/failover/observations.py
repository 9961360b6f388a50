"""What the relays saw of zones, put together. No I/O; the clock is passed in, in seconds.

Each relay counts its own calls by destination and zone in windows and tells each window as a report. Reports
are kept by origin, process and window: taking one twice, or several in any order, changes nothing (a join
semilattice: the union, of two with the same name the greater, of two ages the younger). All sums are sums of
calls, so that one relay weighs no more than what it did. A report's age is part of it: what is older than
`KEPT` windows says nothing.

The answer to "is the zone down, or am I cut off" is a matrix: what relays in each zone saw of each other one.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from ..decisions.model import Outcome
from ..gossip.settings import INSTANCES_MAX

WINDOW_S = 1.0
RETAINED_WINDOWS = 10  # windows that count
MAX_SAMPLES = 200  # of one report: 1,000 destinations change their zone together, so the most called ones do
MAX_REPORTING_RELAYS = INSTANCES_MAX  # as many as peers are known
MAX_REPORTS = (
    MAX_REPORTING_RELAYS * RETAINED_WINDOWS
)  # parts kept at once: one a window of each relay; some have more, most a small one
LATENCY_BUCKETS = (
    32  # of a sketch: by the square root of 2 from 1 ms to 46 s, each within a fifth of the truth
)
MAX_REPORT_BYTES = 900  # of one part, so that it goes into one datagram
MAX_PARTS = 64  # of one window
OTHER_DESTINATIONS = -1  # the destination under which what has no cell of its own is summed up

ZonePair = tuple[str, str]  # from zone, to zone
ReportName = tuple[str, int, int, int]  # of a report: origin, process, window, part
ZoneMatrix = dict[ZonePair, "Aggregate"]
ZoneSeries = dict[ZonePair, list["Aggregate"]]  # by window, the latest one first


def latency_bucket(latency_ms: float) -> int:
    return min(LATENCY_BUCKETS - 1, max(0, round(2 * math.log2(max(1.0, latency_ms)))))


class WindowSample(msgspec.Struct, frozen=True, array_like=True):
    """One relay's calls to one destination in one zone that ended in one window."""

    destination: int
    zone: str  # of the endpoints
    calls: int = 0
    succeeded: int = 0  # the partner answered as it should
    proven_no_effect: int = 0  # not good, with proof that nothing was done
    overloaded: int = 0  # of those: the partner said that it is too much
    latency_sketch: tuple[tuple[int, int], ...] = ()  # bucket of the latency of good ones, and how many
    avoided_after: int = (
        0  # it was not called, though there was demand: so many calls in a row had failed before
    )

    def __post_init__(self) -> None:
        if not 0 <= self.overloaded <= self.proven_no_effect <= self.calls - self.succeeded <= self.calls:
            raise ValueError(f"cell of {self.destination}: counts do not add up: {self}")
        if any(not 0 <= at < LATENCY_BUCKETS or n < 0 for at, n in self.latency_sketch):
            raise ValueError(f"cell of {self.destination}: sketch: buckets 0 to {LATENCY_BUCKETS - 1}")
        if self.avoided_after < 0 or self.avoided_after and self.calls:
            raise ValueError(f"cell of {self.destination}: shunned: what was called was not shunned")


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """Messages that were handed in at one relay."""

    destination: int
    group: str  # of classes that are alike to a plan
    rate: float  # a second


class ObservationReport(msgspec.Struct, frozen=True, array_like=True):
    """Of one relay and window, or a part of that."""

    relay: str
    nonce: int  # of the process
    window: int  # of the window, counted by that process
    part: int
    zone: str
    age_s: float  # since the window's end, when this was sent
    load: float  # held, as a share of what it can hold
    demand: tuple[Demand, ...] = ()
    samples: tuple[WindowSample, ...] = ()

    @property
    def name(self) -> ReportName:
        return self.relay, self.nonce, self.window, self.part


@dataclass
class Aggregate:
    """A sum of cells."""

    calls: int = 0
    succeeded: int = 0
    proven_no_effect: int = 0
    overloaded: int = 0
    relays: set[str] = field(default_factory=set)
    avoiding_relays: dict[str, int] = field(
        default_factory=dict
    )  # relays, and how many calls had failed them
    latency_sketch: Counter[int] = field(default_factory=Counter)

    def add(self, origin: str, cell: WindowSample) -> None:
        self.calls += cell.calls
        self.succeeded += cell.succeeded
        self.proven_no_effect += cell.proven_no_effect
        self.overloaded += cell.overloaded
        if cell.calls:
            self.relays.add(origin)
        if cell.avoided_after:
            self.avoiding_relays[origin] = max(cell.avoided_after, self.avoiding_relays.get(origin, 0))
        for at, n in cell.latency_sketch:
            self.latency_sketch[at] += n

    @property
    def attempted(self) -> int:
        """Calls that say something of the zone: a partner that has too much to do is there."""
        return self.calls - self.overloaded

    def quantile_ms(self, share: float) -> float:
        """Of good calls; 0 without any."""
        total, before = sum(self.latency_sketch.values()), 0
        for at in sorted(self.latency_sketch):
            before += self.latency_sketch[at]
            if before >= share * total:
                return float(2 ** (at / 2))
        return 0.0


def summed(row: Iterable[Aggregate]) -> Aggregate:
    found = Aggregate()
    for seen in row:
        if not seen.calls and not seen.avoiding_relays:
            continue  # windows in which nothing was seen are most of them
        found.calls += seen.calls
        found.succeeded += seen.succeeded
        found.proven_no_effect += seen.proven_no_effect
        found.overloaded += seen.overloaded
        found.relays |= seen.relays
        for origin, failed in seen.avoiding_relays.items():
            found.avoiding_relays[origin] = max(failed, found.avoiding_relays.get(origin, 0))
        for at, n in seen.latency_sketch.items():
            found.latency_sketch[at] += n
    return found


class CallCounter:
    """One relay's own windows."""

    def __init__(self, origin: str, nonce: int, zone: str) -> None:
        self.relay, self.nonce, self.zone = origin, nonce, zone
        self.window = 0
        self.counts: dict[tuple[int, str], list[int]] = {}
        self.sketches: dict[tuple[int, str], Counter[int]] = {}
        self.submitted: Counter[tuple[int, str]] = Counter()
        # Failed calls in a row, and windows since the latest one: what the relay leaves by itself has no
        # calls, and would look as if nothing were known of it.
        self.failure_runs: dict[tuple[int, str], tuple[int, int]] = {}

    def record_submission(self, destination: int, group: str = "") -> None:
        """A message for it was handed in."""
        self.submitted[destination, group] += 1

    def record_outcome(self, destination: int, zone: str, outcome: Outcome, latency_ms: float) -> None:
        """A call has ended, and how the transport has it."""
        if outcome not in (Outcome.NOT_SENT, Outcome.CANCELLED):  # those say nothing of the partner
            good, told = outcome is Outcome.OK, outcome is Outcome.FULL
            self.record_call(destination, zone, good, outcome.proves_no_effect, told, latency_ms)

    def record_call(
        self, destination: int, zone: str, good: bool, proven: bool, told: bool, latency_ms: float
    ) -> None:
        """A call has ended. `told`: with a wait; that proves that nothing was done."""
        key = destination, zone
        cell = self.counts.setdefault(key, [0, 0, 0, 0])
        cell[0] += 1
        cell[1] += good
        cell[2] += not good and (proven or told)
        cell[3] += not good and told
        if good:
            self.failure_runs.pop(key, None)
            self.sketches.setdefault(key, Counter())[latency_bucket(latency_ms)] += 1
        elif not told:  # one that has too much to do is there
            self.failure_runs[key] = self.failure_runs.get(key, (0, 0))[0] + 1, 0

    def close_window(self, seconds: float, load: float) -> list[ObservationReport]:
        """Of the window that ends now and was so long, in parts that fit into a datagram each; the next one
        begins. One without calls is told too: that there was no demand is news."""
        self.window += 1
        ranked = sorted(self.counts, key=lambda key: (-self.counts[key][0], key))
        told: list[Demand | WindowSample] = [
            Demand(*key, round(count / seconds, 3))
            for key, count in sorted(self.submitted.items(), key=lambda item: (-item[1], item[0]))[
                :MAX_SAMPLES
            ]
        ]
        for key in ranked[:MAX_SAMPLES]:
            told.append(
                _sample(key, self.counts[key], tuple(sorted(self.sketches.get(key, Counter()).items())))
            )
        told += self._remaining_samples(ranked[MAX_SAMPLES:])
        told += self._avoided_samples()
        self.counts, self.sketches, self.submitted = {}, {}, Counter()
        parts: list[list[Demand | WindowSample]] = [[]]
        size = 0
        for each in told:
            length = len(msgspec.msgpack.encode(each))
            if size + length > MAX_REPORT_BYTES and parts[-1]:
                parts.append([])
                size = 0
            parts[-1].append(each)
            size += length
        return [self._part(n, part, load) for n, part in enumerate(parts[:MAX_PARTS])]

    def _part(self, part: int, told: list[Demand | WindowSample], load: float) -> ObservationReport:
        demand = tuple(each for each in told if isinstance(each, Demand))
        cells = tuple(each for each in told if isinstance(each, WindowSample))
        return ObservationReport(
            self.relay, self.nonce, self.window, part, self.zone, 0.0, round(load, 3), demand, cells
        )

    def _avoided_samples(self) -> list[WindowSample]:
        """Where it has called nothing in this window, though it could have, since calls had failed there."""
        asked = {destination for destination, _ in self.submitted}
        asked |= {destination for destination, _ in self.counts}
        found = []
        for key, (failed, windows) in list(self.failure_runs.items()):
            if windows >= RETAINED_WINDOWS:
                del self.failure_runs[key]  # by now the relay itself has forgotten
                continue
            self.failure_runs[key] = failed, windows + 1
            if key not in self.counts and key[0] in asked:
                found.append(WindowSample(*key, avoided_after=failed))
        return found[:MAX_SAMPLES]

    def _remaining_samples(self, keys: Iterable[tuple[int, str]]) -> list[WindowSample]:
        sums: dict[str, list[int]] = {}
        for destination, zone in keys:
            total = sums.setdefault(zone, [0, 0, 0, 0])
            for n, count in enumerate(self.counts[destination, zone]):
                total[n] += count
        return [_sample((OTHER_DESTINATIONS, zone), total) for zone, total in sorted(sums.items())]


def _sample(
    key: tuple[int, str], counts: list[int], sketch: tuple[tuple[int, int], ...] = ()
) -> WindowSample:
    calls, good, proven, waits = counts
    return WindowSample(*key, calls, good, proven, waits, sketch)


class Observations:
    """All reports that still count. `merge` is commutative, associative and idempotent."""

    def __init__(self, window_s: float = WINDOW_S) -> None:
        self.window_s = window_s
        self.reports: dict[
            ReportName, tuple[ObservationReport, float]
        ] = {}  # and when its window ended, here
        self.rejected_reports, self.rejected_relay = (
            0,
            "",
        )  # reports past the most there may be, and whose the latest was

    @property
    def retention_s(self) -> float:
        return RETAINED_WINDOWS * self.window_s

    def add(self, now: float, report: ObservationReport) -> bool:
        """Whether it is new. One that is too old, or of too many relays, is not kept."""
        ended = now - max(0.0, report.age_s)
        if ended <= now - self.retention_s:
            return False
        return self._put(report, ended)

    def _put(self, report: ObservationReport, ended: float) -> bool:
        known = self.reports.get(report.name)
        if known is None:
            if report.part >= MAX_PARTS:
                return False
            if len(self.reports) >= MAX_REPORTS:
                self.rejected_reports, self.rejected_relay = self.rejected_reports + 1, report.relay
                return False
            self.reports[report.name] = msgspec.structs.replace(report, age_s=0.0), ended
            return True
        # Two that differ under one name: a fault of their origin. All keep the same one, whatever the order.
        mine, other = known[0], msgspec.structs.replace(report, age_s=0.0)
        kept = max(mine, other, key=msgspec.msgpack.encode)
        self.reports[report.name] = kept, max(known[1], ended)
        return False

    def merge(self, other: Observations) -> None:
        for report, ended in list(other.reports.values()):
            self._put(report, ended)

    def drop_expired(self, now: float) -> None:
        """What is too old says nothing any more."""
        for name, (_, ended) in list(self.reports.items()):
            if ended <= now - self.retention_s:
                del self.reports[name]

    def latest_reports(self, now: float, most: int) -> list[ObservationReport]:
        """The youngest ones, of as many different relays as may be, with their ages now: to be passed on."""
        latest: dict[str, tuple[float, ReportName]] = {}
        for name, (_, ended) in self.reports.items():
            key, known = (-ended, name), latest.get(name[0])
            if known is None or key < known:
                latest[name[0]] = key
        return [
            msgspec.structs.replace(self.reports[name][0], age_s=max(0.0, now + before))
            for before, name in heapq.nsmallest(most, latest.values())
        ]

    # -- what they say together ------------------------------------------------------------------------------

    def series(self, now: float) -> dict[int, ZoneSeries]:
        """By destination: what each zone's relays saw of each zone, in each window, the latest one first."""
        found: dict[int, ZoneSeries] = {}
        for report, ended in self.reports.values():
            at = int((now - ended) / self.window_s)
            if not 0 <= at < RETAINED_WINDOWS:
                continue
            for cell in report.samples:
                rows = found.setdefault(cell.destination, {})
                row = rows.setdefault((report.zone, cell.zone), [])
                while len(row) <= at:
                    row.append(Aggregate())
                row[at].add(report.relay, cell)
        return found

    def matrices(self, now: float, windows: int = RETAINED_WINDOWS) -> dict[int, ZoneMatrix]:
        """By destination: the same, summed up over the latest windows."""
        return {
            destination: {pair: summed(row[:windows]) for pair, row in rows.items()}
            for destination, rows in self.series(now).items()
        }

    def matrix(self, now: float, destination: int, windows: int = RETAINED_WINDOWS) -> ZoneMatrix:
        return self.matrices(now, windows).get(destination, {})

    def demand(self, now: float) -> dict[int, dict[tuple[str, str], float]]:
        """Messages a second, by destination, and by the zone of the relays they were handed to and their
        group: of each relay the mean of its windows that count."""
        sums: dict[tuple[int, str, str, str], float] = {}
        windows: dict[str, set[tuple[int, int]]] = {}
        for report, ended in self.reports.values():
            if ended <= now - self.retention_s:
                continue
            windows.setdefault(report.relay, set()).add((report.nonce, report.window))
            for told in report.demand:
                key = told.destination, report.zone, told.group, report.relay
                sums[key] = sums.get(key, 0.0) + told.rate
        found: dict[int, dict[tuple[str, str], float]] = {}
        for (destination, zone, group, origin), total in sums.items():
            sources = found.setdefault(destination, {})
            sources[zone, group] = sources.get((zone, group), 0.0) + total / len(windows[origin])
        return found

    def relays(self, now: float) -> dict[str, set[str]]:
        """Who has told something in the last windows, by zone."""
        found: dict[str, set[str]] = {}
        for report, ended in self.reports.values():
            if ended > now - self.retention_s:
                found.setdefault(report.zone, set()).add(report.relay)
        return found

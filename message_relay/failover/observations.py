"""Observations: the call counts of all relays by zone, merged from their reports.

No I/O; the clock is passed in, in seconds. Each relay counts its own calls by destination and zone in windows
and sends each window as a report. Reports are identified by relay, process and window, and merging is
commutative, associative and idempotent (a join semilattice): the union of both sets, with the greater of two
reports under one name and the lower of two ages. All sums are sums of calls, so that a relay has no more
weight than its calls. A report carries its age; reports older than `RETAINED_WINDOWS` windows do not count.

A matrix of what the relays in each zone observe of each zone distinguishes a zone that is down from relays
that are cut off.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from ..gossip.settings import INSTANCES_MAX

WINDOW_S = 1.0  # default length of a window
RETAINED_WINDOWS = 10  # windows that count
MAX_SAMPLES = 200  # of one report: 1,000 destinations change together, so those with the most calls suffice
MAX_REPORTING_RELAYS = INSTANCES_MAX  # the maximum of members in gossip
MAX_REPORTS = (
    MAX_REPORTING_RELAYS * RETAINED_WINDOWS
)  # parts retained at the same time: one per window and relay; a few relays have more
LATENCY_BUCKETS = 32  # of a sketch: steps of the square root of 2 from 1 ms to 46 s, a fifth off at most
MAX_REPORT_BYTES = 900  # of one part, so that it fits into one datagram
MAX_PARTS = 64  # of one window
OTHER_DESTINATIONS = -1  # the destination number of the sum of all calls without a sample of their own

ZonePair = tuple[str, str]  # from zone, to zone
ReportName = tuple[str, int, int, int]  # relay, process, window, part
ZoneMatrix = dict[ZonePair, "Aggregate"]
ZoneSeries = dict[ZonePair, list["Aggregate"]]  # by window, the latest one first


def latency_bucket(latency_ms: float) -> int:
    """Returns the bucket of the latency sketch for a call."""
    return min(LATENCY_BUCKETS - 1, max(0, round(2 * math.log2(max(1.0, latency_ms)))))


class WindowSample(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one relay's calls to one destination in one zone that ended in one window.

    Raises ValueError where the counts do not add up.
    """

    destination: int
    zone: str  # of the endpoints
    calls: int = 0
    succeeded: int = 0
    proven_no_effect: int = 0  # failed, with proof that the call had no effect
    overloaded: int = 0  # of those, rejected because the destination is overloaded
    latency_sketch: tuple[tuple[int, int], ...] = ()  # bucket and count, of successful calls
    avoided_after: int = 0  # number of consecutive failures after which it is not called despite demand

    def __post_init__(self) -> None:
        if not 0 <= self.overloaded <= self.proven_no_effect <= self.calls - self.succeeded <= self.calls:
            raise ValueError(f"sample of {self.destination}: counts do not add up: {self}")
        if any(not 0 <= at < LATENCY_BUCKETS or n < 0 for at, n in self.latency_sketch):
            raise ValueError(f"sample of {self.destination}: sketch: buckets 0 to {LATENCY_BUCKETS - 1}")
        if self.avoided_after < 0 or (self.avoided_after and self.calls):
            raise ValueError(
                f"sample of {self.destination}: avoided_after: a target with calls is not avoided"
            )


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """Messages submitted at one relay for one destination."""

    destination: int
    group: str  # traffic group: message classes that a plan treats alike
    rate: float  # per second


class ObservationReport(msgspec.Struct, frozen=True, array_like=True):
    """Report of one relay's window, or a part of it that fits into a datagram."""

    relay: str
    nonce: int  # of the process
    window: int  # counted by that process
    part: int
    zone: str
    age_s: float  # since the window's end, at the time of sending
    load: float  # pending messages as a share of the maximum
    demand: tuple[Demand, ...] = ()
    samples: tuple[WindowSample, ...] = ()

    @property
    def name(self) -> ReportName:
        """Key that identifies the report among all reports."""
        return self.relay, self.nonce, self.window, self.part


@dataclass
class Aggregate:
    """Sum of window samples, of one or more relays."""

    calls: int = 0
    succeeded: int = 0
    proven_no_effect: int = 0
    overloaded: int = 0
    relays: set[str] = field(default_factory=set)
    avoiding_relays: dict[str, int] = field(default_factory=dict)  # relay -> its number of failed calls
    latency_sketch: Counter[int] = field(default_factory=Counter)

    def add(self, relay: str, sample: WindowSample) -> None:
        """Adds one relay's sample."""
        self.calls += sample.calls
        self.succeeded += sample.succeeded
        self.proven_no_effect += sample.proven_no_effect
        self.overloaded += sample.overloaded
        if sample.calls:
            self.relays.add(relay)
        if sample.avoided_after:
            self.avoiding_relays[relay] = max(sample.avoided_after, self.avoiding_relays.get(relay, 0))
        for bucket, count in sample.latency_sketch:
            self.latency_sketch[bucket] += count

    @property
    def attempted(self) -> int:
        """Number of calls that show the zone's health: rejection for overload shows that it is reachable."""
        return self.calls - self.overloaded

    def quantile_ms(self, share: float) -> float:
        """Latency quantile of successful calls, accurate to a fifth; 0 without any."""
        total = sum(self.latency_sketch.values())
        count = 0
        for bucket in sorted(self.latency_sketch):
            count += self.latency_sketch[bucket]
            if count >= share * total:
                return float(2 ** (bucket / 2))
        return 0.0


def summed(row: Iterable[Aggregate]) -> Aggregate:
    """Sum of several aggregates; each relay is counted once."""
    total = Aggregate()
    for aggregate in row:
        if not aggregate.calls and not aggregate.avoiding_relays:
            continue  # most windows are empty
        total.calls += aggregate.calls
        total.succeeded += aggregate.succeeded
        total.proven_no_effect += aggregate.proven_no_effect
        total.overloaded += aggregate.overloaded
        total.relays |= aggregate.relays
        for relay, failed in aggregate.avoiding_relays.items():
            total.avoiding_relays[relay] = max(failed, total.avoiding_relays.get(relay, 0))
        for bucket, count in aggregate.latency_sketch.items():
            total.latency_sketch[bucket] += count
    return total


class Observations:
    """The set of retained reports. `merge` is commutative, associative and idempotent."""

    def __init__(self, window_s: float = WINDOW_S) -> None:
        self.window_s = window_s
        self.reports: dict[ReportName, tuple[ObservationReport, float]] = {}  # with the end of its window
        self.rejected_reports = 0  # beyond MAX_REPORTS
        self.rejected_relay = ""  # relay of the latest rejected report

    @property
    def retention_s(self) -> float:
        """Time that a window counts after its end."""
        return RETAINED_WINDOWS * self.window_s

    def add(self, now: float, report: ObservationReport) -> bool:
        """Adds a report unless it is too old or there are too many; returns whether it is new."""
        window_end = now - max(0.0, report.age_s)
        if window_end <= now - self.retention_s:
            return False
        return self._put(report, window_end)

    def _put(self, report: ObservationReport, window_end: float) -> bool:
        known = self.reports.get(report.name)
        if known is None:
            if report.part >= MAX_PARTS:
                return False
            if len(self.reports) >= MAX_REPORTS:
                self.rejected_reports += 1
                self.rejected_relay = report.relay
                return False
            self.reports[report.name] = msgspec.structs.replace(report, age_s=0.0), window_end
            return True
        # Two different reports under one name are a fault of their relay. The choice does not depend on the
        # order of arrival, so that all instances retain the same one.
        retained, retained_window_end = known
        greater = max(retained, msgspec.structs.replace(report, age_s=0.0), key=msgspec.msgpack.encode)
        self.reports[report.name] = greater, max(retained_window_end, window_end)
        return False

    def merge(self, other: Observations) -> None:
        """Adds all reports of another instance."""
        for report, window_end in list(other.reports.values()):
            self._put(report, window_end)

    def drop_expired(self, now: float) -> None:
        """Removes reports whose window no longer counts."""
        for name, (_, window_end) in list(self.reports.items()):
            if window_end <= now - self.retention_s:
                del self.reports[name]

    def latest_reports(self, now: float, limit: int) -> list[ObservationReport]:
        """Returns the youngest report of each relay, `limit` at most, with current ages."""
        latest: dict[str, tuple[float, ReportName]] = {}
        for name, (_, window_end) in self.reports.items():
            key = (-window_end, name)
            known = latest.get(name[0])
            if known is None or key < known:
                latest[name[0]] = key
        return [
            msgspec.structs.replace(self.reports[name][0], age_s=max(0.0, now + minus_window_end))
            for minus_window_end, name in heapq.nsmallest(limit, latest.values())
        ]

    # -- views over all reports ------------------------------------------------------------------------------

    def series(self, now: float) -> dict[int, ZoneSeries]:
        """Maps destination and pair of zones to the sums of each window, the latest first."""
        by_destination: dict[int, ZoneSeries] = {}
        for report, window_end in self.reports.values():
            index = int((now - window_end) / self.window_s)
            if not 0 <= index < RETAINED_WINDOWS:
                continue
            for sample in report.samples:
                rows = by_destination.setdefault(sample.destination, {})
                row = rows.setdefault((report.zone, sample.zone), [])
                while len(row) <= index:
                    row.append(Aggregate())
                row[index].add(report.relay, sample)
        return by_destination

    def matrices(self, now: float, windows: int = RETAINED_WINDOWS) -> dict[int, ZoneMatrix]:
        """Maps destination and pair of zones to the sum of the latest windows."""
        return {
            destination: {pair: summed(row[:windows]) for pair, row in rows.items()}
            for destination, rows in self.series(now).items()
        }

    def matrix(self, now: float, destination: int, windows: int = RETAINED_WINDOWS) -> ZoneMatrix:
        """Returns the matrix of one destination; empty without observations."""
        return self.matrices(now, windows).get(destination, {})

    def demand(self, now: float) -> dict[int, dict[tuple[str, str], float]]:
        """Messages per second by destination, zone of submission and traffic group.

        The rate of each relay is the mean over its retained windows.
        """
        sums: dict[tuple[int, str, str, str], float] = {}
        windows: dict[str, set[tuple[int, int]]] = {}
        for report, window_end in self.reports.values():
            if window_end <= now - self.retention_s:
                continue
            windows.setdefault(report.relay, set()).add((report.nonce, report.window))
            for demand in report.demand:
                key = demand.destination, report.zone, demand.group, report.relay
                sums[key] = sums.get(key, 0.0) + demand.rate
        rates: dict[int, dict[tuple[str, str], float]] = {}
        for (destination, zone, group, relay), rate in sums.items():
            sources = rates.setdefault(destination, {})
            sources[zone, group] = sources.get((zone, group), 0.0) + rate / len(windows[relay])
        return rates

    def relays(self, now: float) -> dict[str, set[str]]:
        """The relays that reported in the retained windows, by zone."""
        names_by_zone: dict[str, set[str]] = {}
        for report, window_end in self.reports.values():
            if window_end > now - self.retention_s:
                names_by_zone.setdefault(report.zone, set()).add(report.relay)
        return names_by_zone

"""Observations: what relays saw of zones, merged from their reports.

No I/O; the clock is passed in, in seconds. Each relay counts its own calls by destination and zone in windows
and sends each window as a report. Reports are identified by relay, process and window, and merging is
commutative, associative and idempotent (a join semilattice): the union of both, of two reports with one name
the greater, of two ages the younger. All sums are sums of calls, so that a relay weighs no more than what it
did. A report carries its age: one older than `RETAINED_WINDOWS` windows does not count.

"Is the zone down, or am I cut off" is answered by a matrix: what relays in each zone saw of each zone.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from ..gossip.settings import INSTANCES_MAX

WINDOW_S = 1.0  # of a relay's counts, unless the settings say otherwise
RETAINED_WINDOWS = 10  # windows that count
MAX_SAMPLES = 200  # of one report: 1,000 destinations change together, so the most called ones suffice
MAX_REPORTING_RELAYS = INSTANCES_MAX  # as many as gossip knows
MAX_REPORTS = (
    MAX_REPORTING_RELAYS * RETAINED_WINDOWS
)  # parts retained at once: one a window of each relay; a few have more
LATENCY_BUCKETS = 32  # of a sketch: steps of the square root of 2 from 1 ms to 46 s, a fifth off at most
MAX_REPORT_BYTES = 900  # of one part, so that it fits into one datagram
MAX_PARTS = 64  # of one window
OTHER_DESTINATIONS = -1  # the destination under which calls without a sample of their own are summed up

ZonePair = tuple[str, str]  # from zone, to zone
ReportName = tuple[str, int, int, int]  # relay, process, window, part
ZoneMatrix = dict[ZonePair, "Aggregate"]
ZoneSeries = dict[ZonePair, list["Aggregate"]]  # by window, the latest one first


def latency_bucket(latency_ms: float) -> int:
    """Bucket of the latency sketch that a call belongs to."""
    return min(LATENCY_BUCKETS - 1, max(0, round(2 * math.log2(max(1.0, latency_ms)))))


class WindowSample(msgspec.Struct, frozen=True, array_like=True):
    """One relay's calls to one destination in one zone that ended in one window.

    Raises ValueError where the counts do not add up.
    """

    destination: int
    zone: str  # of the endpoints
    calls: int = 0
    succeeded: int = 0
    proven_no_effect: int = 0  # failed, with proof that nothing was done
    overloaded: int = 0  # of those: rejected by a destination that is overloaded
    latency_sketch: tuple[tuple[int, int], ...] = ()  # bucket and count, of successful calls
    avoided_after: int = 0  # not called despite demand, after so many failures in a row

    def __post_init__(self) -> None:
        if not 0 <= self.overloaded <= self.proven_no_effect <= self.calls - self.succeeded <= self.calls:
            raise ValueError(f"sample of {self.destination}: counts do not add up: {self}")
        if any(not 0 <= at < LATENCY_BUCKETS or n < 0 for at, n in self.latency_sketch):
            raise ValueError(f"sample of {self.destination}: sketch: buckets 0 to {LATENCY_BUCKETS - 1}")
        if self.avoided_after < 0 or (self.avoided_after and self.calls):
            raise ValueError(f"sample of {self.destination}: shunned: what was called was not shunned")


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """Messages submitted at one relay for one destination."""

    destination: int
    group: str  # of classes that a plan treats alike
    rate: float  # a second


class ObservationReport(msgspec.Struct, frozen=True, array_like=True):
    """One relay's window, or a part of it that fits into a datagram."""

    relay: str
    nonce: int  # of the process
    window: int  # counted by that process
    part: int
    zone: str
    age_s: float  # since the window's end, at the time of sending
    load: float  # pending messages, as a share of the most
    demand: tuple[Demand, ...] = ()
    samples: tuple[WindowSample, ...] = ()

    @property
    def name(self) -> ReportName:
        """What identifies it among all reports."""
        return self.relay, self.nonce, self.window, self.part


@dataclass
class Aggregate:
    """Sum of window samples, of one or more relays."""

    calls: int = 0
    succeeded: int = 0
    proven_no_effect: int = 0
    overloaded: int = 0
    relays: set[str] = field(default_factory=set)
    avoiding_relays: dict[str, int] = field(
        default_factory=dict
    )  # relays, and how many calls had failed them
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
        """Calls that tell the zone's health: a destination that rejects for overload is reachable."""
        return self.calls - self.overloaded

    def quantile_ms(self, share: float) -> float:
        """Latency of successful calls at this share, to a fifth; 0 without any."""
        total = sum(self.latency_sketch.values())
        count = 0
        for bucket in sorted(self.latency_sketch):
            count += self.latency_sketch[bucket]
            if count >= share * total:
                return float(2 ** (bucket / 2))
        return 0.0


def summed(row: Iterable[Aggregate]) -> Aggregate:
    """Sum of several aggregates, each relay counted once."""
    found = Aggregate()
    for each in row:
        if not each.calls and not each.avoiding_relays:
            continue  # most windows are empty
        found.calls += each.calls
        found.succeeded += each.succeeded
        found.proven_no_effect += each.proven_no_effect
        found.overloaded += each.overloaded
        found.relays |= each.relays
        for relay, failed in each.avoiding_relays.items():
            found.avoiding_relays[relay] = max(failed, found.avoiding_relays.get(relay, 0))
        for bucket, count in each.latency_sketch.items():
            found.latency_sketch[bucket] += count
    return found


class Observations:
    """All retained reports. `merge` is commutative, associative and idempotent."""

    def __init__(self, window_s: float = WINDOW_S) -> None:
        self.window_s = window_s
        self.reports: dict[ReportName, tuple[ObservationReport, float]] = {}  # and when its window ended
        self.rejected_reports = 0  # beyond MAX_REPORTS
        self.rejected_relay = ""  # whose the latest of them was

    @property
    def retention_s(self) -> float:
        """How long a window counts after its end."""
        return RETAINED_WINDOWS * self.window_s

    def add(self, now: float, report: ObservationReport) -> bool:
        """Retains a report unless it is too old or there are too many; whether it is new."""
        ended_at = now - max(0.0, report.age_s)
        if ended_at <= now - self.retention_s:
            return False
        return self._put(report, ended_at)

    def _put(self, report: ObservationReport, ended_at: float) -> bool:
        known = self.reports.get(report.name)
        if known is None:
            if report.part >= MAX_PARTS:
                return False
            if len(self.reports) >= MAX_REPORTS:
                self.rejected_reports += 1
                self.rejected_relay = report.relay
                return False
            self.reports[report.name] = msgspec.structs.replace(report, age_s=0.0), ended_at
            return True
        # Two that differ under one name: a fault of their relay. All retain the same one, in whatever order
        # they arrive.
        retained, retained_ended_at = known
        greater = max(retained, msgspec.structs.replace(report, age_s=0.0), key=msgspec.msgpack.encode)
        self.reports[report.name] = greater, max(retained_ended_at, ended_at)
        return False

    def merge(self, other: Observations) -> None:
        """Adds all reports of another instance."""
        for report, ended_at in list(other.reports.values()):
            self._put(report, ended_at)

    def drop_expired(self, now: float) -> None:
        """Removes reports whose window no longer counts."""
        for name, (_, ended_at) in list(self.reports.items()):
            if ended_at <= now - self.retention_s:
                del self.reports[name]

    def latest_reports(self, now: float, most: int) -> list[ObservationReport]:
        """The youngest reports, of as many different relays as possible, with their ages now."""
        latest: dict[str, tuple[float, ReportName]] = {}
        for name, (_, ended_at) in self.reports.items():
            key = (-ended_at, name)
            known = latest.get(name[0])
            if known is None or key < known:
                latest[name[0]] = key
        return [
            msgspec.structs.replace(self.reports[name][0], age_s=max(0.0, now + minus_ended_at))
            for minus_ended_at, name in heapq.nsmallest(most, latest.values())
        ]

    # -- views over all reports ------------------------------------------------------------------------------

    def series(self, now: float) -> dict[int, ZoneSeries]:
        """By destination and pair of zones: the sum of each window, the latest one first."""
        found: dict[int, ZoneSeries] = {}
        for report, ended_at in self.reports.values():
            index = int((now - ended_at) / self.window_s)
            if not 0 <= index < RETAINED_WINDOWS:
                continue
            for sample in report.samples:
                rows = found.setdefault(sample.destination, {})
                row = rows.setdefault((report.zone, sample.zone), [])
                while len(row) <= index:
                    row.append(Aggregate())
                row[index].add(report.relay, sample)
        return found

    def matrices(self, now: float, windows: int = RETAINED_WINDOWS) -> dict[int, ZoneMatrix]:
        """By destination and pair of zones: the sum of the latest windows."""
        return {
            destination: {pair: summed(row[:windows]) for pair, row in rows.items()}
            for destination, rows in self.series(now).items()
        }

    def matrix(self, now: float, destination: int, windows: int = RETAINED_WINDOWS) -> ZoneMatrix:
        """The matrix of one destination; empty where nothing was observed."""
        return self.matrices(now, windows).get(destination, {})

    def demand(self, now: float) -> dict[int, dict[tuple[str, str], float]]:
        """Messages a second by destination, and by the zone and group they were submitted in.

        Of each relay the mean of its retained windows.
        """
        sums: dict[tuple[int, str, str, str], float] = {}
        windows: dict[str, set[tuple[int, int]]] = {}
        for report, ended_at in self.reports.values():
            if ended_at <= now - self.retention_s:
                continue
            windows.setdefault(report.relay, set()).add((report.nonce, report.window))
            for demand in report.demand:
                key = demand.destination, report.zone, demand.group, report.relay
                sums[key] = sums.get(key, 0.0) + demand.rate
        found: dict[int, dict[tuple[str, str], float]] = {}
        for (destination, zone, group, relay), rate in sums.items():
            sources = found.setdefault(destination, {})
            sources[zone, group] = sources.get((zone, group), 0.0) + rate / len(windows[relay])
        return found

    def relays(self, now: float) -> dict[str, set[str]]:
        """The relays that reported in the retained windows, by zone."""
        found: dict[str, set[str]] = {}
        for report, ended_at in self.reports.values():
            if ended_at > now - self.retention_s:
                found.setdefault(report.zone, set()).add(report.relay)
        return found

"""Reads, cuts, scales and models traces: traffic recorded by `message_relay.fleet.recording`, plain or
gzipped.

A truncated end and unreadable lines are skipped and counted. Clocks jump and several threads write lines out
of order, so lines are sorted within a buffer of REORDER_WINDOW lines; a line older than one that was already
yielded gets the time of that one. Reading is line by line, with bounded memory whatever the length."""

from __future__ import annotations

import gzip
import heapq
import math
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, cast

import msgspec
import numpy as np

VERSION = 1
REORDER_WINDOW = 2000  # lines that are buffered for sorting
MAX_SECONDS = 200_000  # seconds that statistics count one by one: more than two days
MAX_NAMES = 100_000  # destinations, and tenants, that statistics count one by one


class TraceError(ValueError):
    """The file is not a trace, or has a later version of the format."""


class Line(msgspec.Struct, array_like=True, frozen=True):
    """One recorded message."""

    at: float  # ms since the recording began
    class_: str
    destination: int
    tenant: str
    bytes: int
    left_ms: float
    id: str


class Head(msgspec.Struct, frozen=True):
    """The first line of a trace."""

    v: int
    begun: float = 0.0
    salt: str = ""


HEAD: msgspec.json.Decoder[Head] = msgspec.json.Decoder(Head)
LINE: msgspec.json.Decoder[Line] = msgspec.json.Decoder(Line)


@dataclass
class Notes:
    """Counts of problems in a trace, and its first line."""

    unreadable: int = 0
    out_of_order: int = 0
    late: int = 0  # lines so far out of order that their time was changed
    head: Head = field(default_factory=lambda: Head(VERSION))


def open_trace(path: Path, mode: str = "rb") -> IO[bytes]:
    if path.suffix == ".gz":
        # mtime=0, so that the same lines give the same bytes
        return cast(IO[bytes], gzip.GzipFile(path, mode, mtime=0))
    return open(path, mode)


def lines_in_file_order(path: Path, notes: Notes) -> Iterator[Line]:
    """The lines in the order of the file. Raises TraceError."""
    with open_trace(path) as file:
        try:
            notes.head = HEAD.decode(file.readline(1 << 16))
        except (ValueError, EOFError, OSError) as error:
            raise TraceError(f"{path}: is not a trace: {error}") from error
        if notes.head.v > VERSION:
            raise TraceError(
                f"{path}: has version {notes.head.v}; this program supports versions up to {VERSION}"
            )
        lines = iter(lambda: file.readline(1 << 16), b"")
        try:
            for text in lines:
                try:
                    line = LINE.decode(text)
                except ValueError:
                    notes.unreadable += not text.startswith(b'{"dropped"')
                    continue
                if math.isfinite(line.at):
                    yield line
                else:
                    notes.unreadable += 1
        except (EOFError, OSError):  # truncated gzip
            notes.unreadable += 1


def read(path: Path, notes: Notes | None = None) -> Iterator[Line]:
    """The lines in the order of their times. Raises TraceError."""
    notes = Notes() if notes is None else notes
    heap: list[tuple[float, int, Line]] = []
    latest, yielded_ms = -math.inf, -math.inf
    for number, line in enumerate(lines_in_file_order(path, notes)):
        notes.out_of_order += line.at < latest
        latest = max(latest, line.at)
        heapq.heappush(heap, (line.at, number, line))
        if len(heap) > REORDER_WINDOW:
            yielded_ms = max(yielded_ms, heap[0][0])
            yield _not_before(heapq.heappop(heap)[2], yielded_ms, notes)
    while heap:
        yielded_ms = max(yielded_ms, heap[0][0])
        yield _not_before(heapq.heappop(heap)[2], yielded_ms, notes)


def _not_before(line: Line, least: float, notes: Notes) -> Line:
    if line.at >= max(0.0, least):
        return line
    notes.late += 1
    return msgspec.structs.replace(line, at=max(0.0, least))


def write(path: Path, lines: Iterable[Line], head: Head) -> int:
    """Writes a trace and returns the number of its lines."""
    count, encode = 0, msgspec.json.Encoder().encode
    with open_trace(path, "wb") as file:
        file.write(encode(head) + b"\n")
        for line in lines:
            file.write(encode(line) + b"\n")
            count += 1
    return count


@dataclass
class Stats:
    """Statistics of a trace."""

    messages: int = 0
    last_ms: float = 0.0
    classes: Counter[str] = field(default_factory=Counter)
    destinations: Counter[int] = field(default_factory=Counter)
    tenants: Counter[str] = field(default_factory=Counter)
    bytes: int = 0
    left_ms: dict[str, float] = field(default_factory=dict)  # longest time to live, by class
    seconds: Counter[int] = field(default_factory=Counter)
    repeated_ids: int = 0  # lines whose id came shortly before
    notes: Notes = field(default_factory=Notes)

    @property
    def rate(self) -> float:
        return self.messages / max(1e-3, self.last_ms / 1000)

    @property
    def busiest(self) -> float:
        """Messages of the busiest second over the mean."""
        return max(self.seconds.values(), default=0) / max(1e-9, self.rate)

    def counts(self) -> np.ndarray:
        """Messages of each second."""
        out = np.zeros(min(MAX_SECONDS, int(self.last_ms / 1000) + 1))
        for second, count in self.seconds.items():
            if second < len(out):
                out[second] = count
        return out


def stats(path: Path) -> Stats:
    """Computes the statistics in one pass. Raises TraceError."""
    out = Stats()
    recent: dict[str, None] = {}
    for line in read(path, out.notes):
        out.messages += 1
        out.last_ms = line.at
        out.classes[line.class_] += 1
        out.bytes += line.bytes
        out.left_ms[line.class_] = max(out.left_ms.get(line.class_, 0.0), line.left_ms)
        if line.destination in out.destinations or len(out.destinations) < MAX_NAMES:
            out.destinations[line.destination] += 1
        if line.tenant in out.tenants or len(out.tenants) < MAX_NAMES:
            out.tenants[line.tenant] += 1
        if line.at < MAX_SECONDS * 1000:
            out.seconds[int(line.at / 1000)] += 1
        out.repeated_ids += line.id in recent
        recent[line.id] = None
        if len(recent) > REORDER_WINDOW:
            del recent[next(iter(recent))]
    return out


def cut(lines: Iterable[Line], start_ms: float, end_ms: float) -> Iterator[Line]:
    """The lines of a time span, with times relative to its start."""
    for line in lines:
        if line.at >= end_ms:
            return
        if line.at >= start_ms:
            yield msgspec.structs.replace(line, at=line.at - start_ms)


def scale(lines: Iterable[Line], times: float, rng: np.random.Generator) -> Iterator[Line]:
    """Multiplies the number of messages by `times` on average, at the same shape. Copies of a message come a
    little later, so that they do not coincide."""
    heap: list[tuple[float, int, Line]] = []
    number = 0
    for line in lines:
        copies = int(times) + (rng.random() < times % 1)
        for n in range(copies):
            later = line.at if n == 0 else line.at + float(rng.exponential(200.0))
            ident = line.id if n == 0 else f"{line.id}.{n}"
            number += 1
            heapq.heappush(heap, (later, number, msgspec.structs.replace(line, at=later, id=ident)))
        while heap and heap[0][0] <= line.at:
            yield heapq.heappop(heap)[2]
    while heap:
        yield heapq.heappop(heap)[2]


@dataclass
class Fit:
    """A model fitted to a trace, printed as the [traffic] of an experiment."""

    rate: float
    seconds: float
    zipf: float
    clump: float
    swing: float
    period_s: float
    peak_s: float
    bursts: list[tuple[float, float, float]]  # (begin in s, length in s, ratio to the usual rate)
    classes: dict[str, tuple[float, float]]  # (share, longest time to live in ms)

    def toml(self) -> str:
        out = [
            "[traffic]",
            f"rate = {self.rate:.4g}",
            f"seconds = {self.seconds:.0f}.0",
            f"warm_s = {self.seconds * 0.05:.1f}",
            f"zipf = {self.zipf:.3f}",
            f"clump = {self.clump:.2f}",
        ]
        if self.swing > 0.02:
            out += [
                "",
                "[traffic.wave]",
                f"period_s = {self.period_s:.0f}.0",
                f"swing = {self.swing:.3f}",
                f"peak_s = {self.peak_s:.0f}.0",
            ]
        for start, length, times in self.bursts:
            out += [
                "",
                "[[traffic.bursts]]",
                f"at_s = {start:.0f}.0",
                f"seconds = {length:.0f}.0",
                f"times = {times:.2f}",
            ]
        for name, (share, left) in self.classes.items():
            out += [
                "",
                "[[classes]]",
                f'name = "{name}"',
                'effect = "by_key"  # say what it is',
                f"aim_ms = {left / 4:.0f}.0",
                f"deadline_ms = {left:.0f}.0",
                f"share = {share:.4f}",
            ]
        return "\n".join(out) + "\n"


BURST_RATIO = 3.0  # a second above this multiple of the usual rate belongs to a burst


def fit(stats: Stats) -> Fit:
    """Fits a model: the rate and its slowest swing (least squares of one cosine over the whole time), bursts
    (seconds above BURST_RATIO times the usual rate), Zipf's exponent (least squares on the logarithms of
    rank and count), and the clump size (variance over mean of the counts by second without bursts, which is
    2m - 1 for a compound Poisson process of geometric clumps of mean m)."""
    counts = stats.counts()
    seconds = len(counts)
    usual = float(np.median(counts)) if seconds > 20 else stats.rate
    is_burst = counts > np.maximum(BURST_RATIO * usual, usual + 5 * np.sqrt(max(usual, 1.0)))
    is_usual = ~is_burst
    time = np.arange(seconds)
    basis = np.column_stack(
        [np.ones(seconds), np.cos(2 * math.pi * time / seconds), np.sin(2 * math.pi * time / seconds)]
    )
    (mean, cosine, sine), *_ = np.linalg.lstsq(basis[is_usual], counts[is_usual], rcond=None)
    swing = math.hypot(cosine, sine) / max(1e-9, mean)
    noise = 3 * math.sqrt(2 / max(1.0, mean * seconds))  # amplitude that chance alone would show
    bursts = []
    for start, end in _runs(is_burst):
        bursts.append((float(start), float(end - start), float(counts[start:end].mean() / max(1e-9, mean))))
    residuals = counts[is_usual] - basis[is_usual] @ np.array([mean, cosine, sine])
    dispersion = float(residuals.var() / max(1e-9, mean))
    ranked = np.array([count for _, count in stats.destinations.most_common(200) if count >= 5], dtype=float)
    zipf = 0.0
    if len(ranked) > 2:
        slope = np.polyfit(np.log(np.arange(1, len(ranked) + 1)), np.log(ranked), 1, w=np.sqrt(ranked))[0]
        zipf = max(0.0, -float(slope))
    return Fit(
        float(mean),
        float(seconds),
        zipf,
        max(1.0, (dispersion + 1) / 2),
        swing if swing > noise else 0.0,
        float(seconds),
        float(math.atan2(sine, cosine) % (2 * math.pi) / (2 * math.pi) * seconds),
        bursts,
        {name: (count / stats.messages, stats.left_ms[name]) for name, count in stats.classes.items()},
    )


def _runs(flags: np.ndarray) -> Iterator[tuple[int, int]]:
    edges = np.flatnonzero(np.diff(np.concatenate([[0], flags.astype(int), [0]])))
    yield from zip(edges[::2].tolist(), edges[1::2].tolist(), strict=True)

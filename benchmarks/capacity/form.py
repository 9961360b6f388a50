"""The one form of all capacity measurements: costs at four sizes or more, and at one larger size that is
predicted first.

A `Measure` is run at each size in a process of its own (`python -m benchmarks.capacity --one NAME --size N`),
so that memory is that of this size alone. It tells several costs at once, each of which becomes a slope.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

SIZES_LEAST = 4  # sizes of a fit, at least
OCTAVE = 2.0  # between two of them, at least

Run = Callable[[int], Mapping[str, float]]


@dataclass(frozen=True, slots=True)
class Measure:
    """`run(size)` returns each cost of `units` by its name; it is called in a fresh process."""

    name: str  # "directory.list": the slope's name is this and the cost's
    per: str  # what the size counts: "destination", "relay", "member", "record", "event", "zone"
    sizes: tuple[int, ...]  # of the fit: four at least, an octave apart at least
    largest: int  # predicted, then run; in no fit; twice the last size at least
    units: Mapping[str, str]  # cost -> its unit: "bytes", "ms", "us", "datagrams/s", "bytes/s" ...
    run: Run
    mechanism: str  # the file that carries it
    note: str = ""  # what a reader has to know: stretched periods, what is left out
    rounds: int = 1  # at each size; the median counts

    def __post_init__(self) -> None:
        if len(self.sizes) < SIZES_LEAST:
            raise ValueError(f"{self.name}: {len(self.sizes)} sizes, must be {SIZES_LEAST} or more")
        steps = zip(self.sizes, (*self.sizes[1:], self.largest), strict=True)
        if any(big < OCTAVE * small for small, big in steps):
            raise ValueError(f"{self.name}: sizes must be an octave apart, the largest too")

"""Defines `Measure`, the common form of all capacity measurements: costs at four or more sizes, and at one
larger size that is predicted first.

A `Measure` runs each size in its own process (`python -m benchmarks.capacity --one NAME --size N`), so that
the memory is that of this size only. It returns several costs at once, and each of them becomes a slope.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

MIN_SIZES = 4  # minimum number of sizes of a fit
MIN_RATIO = 2.0  # minimum ratio of two successive sizes

Run = Callable[[int], Mapping[str, float]]


@dataclass(frozen=True, slots=True)
class Measure:
    """A measurement. `run(size)` maps each name in `units` to its cost; it is called in a fresh process."""

    name: str  # "directory.list": the slope's name is this, a dot and the name of the cost
    per: str  # what the size counts: "destination", "relay", "member", "record", "event", "zone"
    sizes: tuple[int, ...]  # of the fit: at least four, each at least twice the one before
    largest: int  # predicted, then run; not part of the fit; at least twice the last size
    units: Mapping[str, str]  # maps each cost to its unit: "bytes", "ms", "us", "datagrams/s", "bytes/s" ...
    run: Run
    mechanism: str  # the file that implements it
    note: str = ""  # for the reader: longer periods, omissions
    rounds: int = 1  # at each size; the result is the median

    def __post_init__(self) -> None:
        if len(self.sizes) < MIN_SIZES:
            raise ValueError(f"{self.name}: {len(self.sizes)} sizes, must be {MIN_SIZES} or more")
        steps = zip(self.sizes, (*self.sizes[1:], self.largest), strict=True)
        if any(big < MIN_RATIO * small for small, big in steps):
            raise ValueError(f"{self.name}: sizes must be an octave apart, the largest too")

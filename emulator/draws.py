"""Numbers of chance: a numpy generator of its own for each source, and for each call its own luck.

Two runs that differ in one setting stay comparable only if that setting shifts nobody's luck. So traffic,
each relay and each partner have streams of their own (`stream`), and what happens to a call depends on the
message and on which attempt of it this is (`Luck`), not on how many calls came before: common random numbers,
as in Law, Simulation Modeling and Analysis, section 11.2."""

from __future__ import annotations

import math
from enum import Enum
from zlib import crc32

import numpy as np

MASK = (1 << 64) - 1
TWO_PI = 2 * math.pi


class Common(Enum):
    """How far the numbers of chance are shared between the variants of an experiment."""

    NONE = "none"  # nothing is
    STREAMS = "streams"  # each source has a stream, so that traffic is the same; calls draw in their order
    CALLS = "calls"  # and the same attempt of the same message has the same luck


def stream(seed: int, *source: str | int) -> np.random.Generator:
    """The generator of one source: independent of all others of this seed."""
    names = [crc32(str(part).encode()) for part in source]
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, *names])))


class Draws:
    """A stream as `Partner` draws from it; numbers are made in blocks, since single ones cost ten times."""

    BLOCK = 2048

    def __init__(self, seed: int, *source: str | int) -> None:
        self.even, self.normal = stream(seed, *source, "even"), stream(seed, *source, "normal")
        self.evens: list[float] = []
        self.normals: list[float] = []

    def random(self) -> float:
        if not self.evens:
            self.evens = self.even.random(self.BLOCK).tolist()
        return self.evens.pop()

    def gauss(self, mean: float, sigma: float) -> float:
        if not self.normals:
            self.normals = self.normal.standard_normal(self.BLOCK).tolist()
        return mean + sigma * self.normals.pop()


class Luck:
    """The numbers of one call, by message and attempt: SplitMix64 (Steele, Lea, Flood 2014) over both."""

    def __init__(self, seed: int, source: str) -> None:
        self.base = (seed * 0x9E3779B97F4A7C15 + crc32(source.encode()) * 0xD1342543DE82EF95) & MASK
        self.state = self.base

    def of(self, message: int, attempt: int) -> None:
        """What is drawn from now on belongs to this call."""
        self.state = (self.base + message * 0xBF58476D1CE4E5B9 + attempt * 0x94D049BB133111EB) & MASK

    def random(self) -> float:
        self.state = (self.state + 0x9E3779B97F4A7C15) & MASK
        z = self.state
        z = ((z ^ (z >> 30)) * 0xBF58476D1CE4E5B9) & MASK
        z = ((z ^ (z >> 27)) * 0x94D049BB133111EB) & MASK
        return ((z ^ (z >> 31)) >> 11) * 2.0**-53

    def gauss(self, mean: float, sigma: float) -> float:
        """Box and Muller (1958)."""
        radius = math.sqrt(-2.0 * math.log(1.0 - self.random()))
        return mean + sigma * radius * math.cos(TWO_PI * self.random())

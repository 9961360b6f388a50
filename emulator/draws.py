"""Random numbers: one numpy generator for each source, and one sequence for each call to a partner.

Two runs that differ in one setting are comparable only if the setting does not shift the random numbers of
unrelated events. So traffic, each relay and each partner have their own stream (`stream`), and the random
numbers of a call depend on the message and on the number of the attempt (`CallRandom`), not on how many
calls came before. These are common random numbers, as in Law, Simulation Modeling and Analysis, section
11.2."""

from __future__ import annotations

import math
from enum import Enum
from zlib import crc32

import numpy as np

MASK = (1 << 64) - 1
TWO_PI = 2 * math.pi


class Common(Enum):
    """Which random numbers the variants of an experiment share."""

    NONE = "none"  # none
    STREAMS = "streams"  # each source has its stream: traffic is the same, calls draw in order of arrival
    CALLS = "calls"  # as STREAMS; also, the same attempt of the same message draws the same numbers


def stream(seed: int, *source: str | int) -> np.random.Generator:
    """The random generator of one source, independent of all other sources of this seed."""
    names = [crc32(str(part).encode()) for part in source]
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, *names])))


class BufferedRandom:
    """The stream of one source, read ahead in blocks: drawing numbers one by one from numpy costs ten times
    as much."""

    BLOCK = 2048

    def __init__(self, seed: int, *source: str | int) -> None:
        self.uniform_rng, self.normal_rng = stream(seed, *source, "even"), stream(seed, *source, "normal")
        self.uniforms: list[float] = []
        self.normals: list[float] = []

    def random(self) -> float:
        if not self.uniforms:
            self.uniforms = self.uniform_rng.random(self.BLOCK).tolist()
        return self.uniforms.pop()

    def gauss(self, mean: float, sigma: float) -> float:
        if not self.normals:
            self.normals = self.normal_rng.standard_normal(self.BLOCK).tolist()
        return mean + sigma * self.normals.pop()


class CallRandom:
    """Random numbers of one call, seeded by message and attempt: SplitMix64 (Steele, Lea, Flood 2014) over
    both."""

    def __init__(self, seed: int, source: str) -> None:
        self.base = (seed * 0x9E3779B97F4A7C15 + crc32(source.encode()) * 0xD1342543DE82EF95) & MASK
        self.state = self.base

    def start_call(self, message: int, attempt: int) -> None:
        """Starts the sequence of this call: all further numbers belong to it."""
        self.state = (self.base + message * 0xBF58476D1CE4E5B9 + attempt * 0x94D049BB133111EB) & MASK

    def random(self) -> float:
        self.state = (self.state + 0x9E3779B97F4A7C15) & MASK
        z = self.state
        z = ((z ^ (z >> 30)) * 0xBF58476D1CE4E5B9) & MASK
        z = ((z ^ (z >> 27)) * 0x94D049BB133111EB) & MASK
        return ((z ^ (z >> 31)) >> 11) * 2.0**-53

    def gauss(self, mean: float, sigma: float) -> float:
        """The transform of Box and Muller (1958)."""
        radius = math.sqrt(-2.0 * math.log(1.0 - self.random()))
        return mean + sigma * radius * math.cos(TWO_PI * self.random())

"""What is handed in, and when: drawn from an experiment's traffic, or read from a trace.

Arrivals are drawn ahead and wait for nobody (open loop). A rate that changes is drawn by thinning (Lewis and
Shedler 1979): at the highest rate, each kept with the chance that the rate of its moment gives."""

from __future__ import annotations

import math
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import numpy as np

from . import trace
from .draws import stream
from .experiment import Experiment


class Job(NamedTuple):
    """One message as its client has it; `at` in ms from the beginning."""

    number: int  # from 1
    at: float
    class_: int
    destination: int
    left_ms: float
    bytes: int
    relay: float  # 0 to 1: which relay it comes to, by the share of each


def rate_at(it: Experiment, seconds: np.ndarray) -> np.ndarray:
    """Messages a second, over all, without bursts of one destination."""
    traffic = it.traffic
    rate = np.full(len(seconds), traffic.rate)
    if traffic.wave is not None:
        turns = (seconds - traffic.wave.peak_s) / traffic.wave.period_s
        rate = rate * (1 + traffic.wave.swing * np.cos(2 * math.pi * turns))
    for burst in traffic.bursts:
        if burst.destination is None:
            inside = (seconds >= burst.at_s) & (seconds < burst.at_s + burst.seconds)
            rate = np.where(inside, rate * burst.times, rate)
    return rate


def arrivals(it: Experiment, seed: int) -> Iterator[Job]:
    """In the order of their times; the same for the same seed, whatever the variant."""
    if it.traffic.trace:
        return from_trace(it, seed)
    return iter(drawn(it, seed))


def drawn(it: Experiment, seed: int) -> list[Job]:
    traffic, rng = it.traffic, stream(seed, "arrivals")
    weights = np.array([1 / (k + 1) ** traffic.zipf for k in range(len(it.partners))])
    weights /= weights.sum()
    most = traffic.rate * (1 + (traffic.wave.swing if traffic.wave else 0.0))
    for burst in traffic.bursts:
        most *= burst.times if burst.destination is None else 1.0
    clumps = rng.poisson(most / traffic.clump * traffic.seconds)
    begins = rng.uniform(0.0, traffic.seconds, clumps)
    kept = rng.uniform(0.0, most, clumps) < rate_at(it, begins)
    begins, where = begins[kept], rng.choice(len(weights), int(kept.sum()), p=weights)
    if traffic.clump > 1:
        sizes = rng.geometric(1 / traffic.clump, len(begins))
        begins, where = np.repeat(begins, sizes), np.repeat(where, sizes)
        begins = begins + rng.uniform(0.0, traffic.clump_ms / 1000, len(begins))
    for n, burst in enumerate(traffic.bursts):
        if burst.destination is not None:
            own = stream(seed, "burst", n)
            usual = traffic.rate * weights[burst.destination - 1]
            more = own.poisson(usual * (burst.times - 1) * burst.seconds)
            begins = np.concatenate([begins, burst.at_s + own.uniform(0.0, burst.seconds, more)])
            where = np.concatenate([where, np.full(more, burst.destination - 1)])
    order = np.argsort(begins, kind="stable")
    begins, where = begins[order] * 1000, where[order]
    inside = begins < traffic.seconds * 1000
    begins, where = begins[inside], where[inside]
    shares = np.array([each.share for each in it.classes])
    classes = rng.choice(len(shares), len(begins), p=shares / shares.sum())
    relays = rng.random(len(begins))
    deadlines = [each.deadline_ms for each in it.classes]
    return [
        Job(n + 1, at, class_, dest + 1, deadlines[class_], traffic.bytes, relay)
        for n, (at, class_, dest, relay) in enumerate(
            zip(begins.tolist(), classes.tolist(), where.tolist(), relays.tolist(), strict=True)
        )
    ]


def from_trace(it: Experiment, seed: int) -> Iterator[Job]:
    """Classes by their names, destinations by their rank in the trace: the busiest is 1."""
    rng, path = stream(seed, "trace"), Path(it.traffic.trace)
    classes = {each.name: n for n, each in enumerate(it.classes)}
    ranks = {dest: n + 1 for n, (dest, _) in enumerate(trace.stats(path).destinations.most_common())}
    for number, line in enumerate(trace.read(path), 1):
        if line.at >= it.traffic.seconds * 1000:
            break
        class_ = classes.get(line.class_)
        if class_ is None:
            raise ValueError(f"traffic.trace: class {line.class_!r} is none of {', '.join(classes)}")
        yield Job(
            number,
            line.at,
            class_,
            min(ranks[line.destination], len(it.partners)),
            line.left_ms,
            line.bytes,
            float(rng.random()),
        )

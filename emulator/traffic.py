"""Generates the arrivals of messages: drawn from an experiment's traffic, or read from a trace.

Arrivals are drawn in advance and do not depend on the relays (open loop). A varying rate is drawn by
thinning (Lewis and Shedler 1979): arrivals are drawn at the highest rate, and each is kept with the
probability of the rate at its time over the highest one."""

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
    """One message that a client submits; `at` is in ms from the start."""

    number: int  # from 1
    at: float
    class_: int
    destination: int
    left_ms: float
    bytes: int
    relay: float  # 0 to 1: position in the relays' shares of the traffic, which selects the relay


def rate_at(experiment: Experiment, seconds: np.ndarray) -> np.ndarray:
    """Messages a second over all destinations, without bursts of one destination."""
    traffic = experiment.traffic
    rate = np.full(len(seconds), traffic.rate)
    if traffic.wave is not None:
        turns = (seconds - traffic.wave.peak_s) / traffic.wave.period_s
        rate = rate * (1 + traffic.wave.swing * np.cos(2 * math.pi * turns))
    for burst in traffic.bursts:
        if burst.destination is None:
            is_inside = (seconds >= burst.at_s) & (seconds < burst.at_s + burst.seconds)
            rate = np.where(is_inside, rate * burst.times, rate)
    return rate


def arrivals(experiment: Experiment, seed: int) -> Iterator[Job]:
    """The messages in the order of their times: the same for the same seed, whatever the variant."""
    if experiment.traffic.trace:
        return from_trace(experiment, seed)
    return iter(drawn(experiment, seed))


def drawn(experiment: Experiment, seed: int) -> list[Job]:
    """The messages drawn from the experiment's traffic."""
    traffic, rng = experiment.traffic, stream(seed, "arrivals")
    weights = np.array([1 / (k + 1) ** traffic.zipf for k in range(len(experiment.partners))])
    weights /= weights.sum()
    most = traffic.rate * (1 + (traffic.wave.swing if traffic.wave else 0.0))
    for burst in traffic.bursts:
        most *= burst.times if burst.destination is None else 1.0
    clumps = rng.poisson(most / traffic.clump * traffic.seconds)
    arrivals = rng.uniform(0.0, traffic.seconds, clumps)
    accepted = rng.uniform(0.0, most, clumps) < rate_at(experiment, arrivals)
    arrivals, destinations = arrivals[accepted], rng.choice(len(weights), int(accepted.sum()), p=weights)
    if traffic.clump > 1:
        sizes = rng.geometric(1 / traffic.clump, len(arrivals))
        arrivals, destinations = np.repeat(arrivals, sizes), np.repeat(destinations, sizes)
        arrivals = arrivals + rng.uniform(0.0, traffic.clump_ms / 1000, len(arrivals))
    for n, burst in enumerate(traffic.bursts):
        if burst.destination is not None:
            burst_rng = stream(seed, "burst", n)
            usual = traffic.rate * weights[burst.destination - 1]
            extra = burst_rng.poisson(usual * (burst.times - 1) * burst.seconds)
            arrivals = np.concatenate([arrivals, burst.at_s + burst_rng.uniform(0.0, burst.seconds, extra)])
            destinations = np.concatenate([destinations, np.full(extra, burst.destination - 1)])
    order = np.argsort(arrivals, kind="stable")
    arrivals, destinations = arrivals[order] * 1000, destinations[order]
    is_inside = arrivals < traffic.seconds * 1000
    arrivals, destinations = arrivals[is_inside], destinations[is_inside]
    shares = np.array([each.share for each in experiment.classes])
    classes = rng.choice(len(shares), len(arrivals), p=shares / shares.sum())
    relays = rng.random(len(arrivals))
    deadlines = [each.deadline_ms for each in experiment.classes]
    return [
        Job(n + 1, at, class_, dest + 1, deadlines[class_], traffic.bytes, relay)
        for n, (at, class_, dest, relay) in enumerate(
            zip(arrivals.tolist(), classes.tolist(), destinations.tolist(), relays.tolist(), strict=True)
        )
    ]


def from_trace(experiment: Experiment, seed: int) -> Iterator[Job]:
    """The messages of a trace. Classes match by name; destinations by their rank in the trace, the busiest
    is 1."""
    rng, path = stream(seed, "trace"), Path(experiment.traffic.trace)
    classes = {each.name: n for n, each in enumerate(experiment.classes)}
    ranks = {dest: n + 1 for n, (dest, _) in enumerate(trace.stats(path).destinations.most_common())}
    for number, line in enumerate(trace.read(path), 1):
        if line.at >= experiment.traffic.seconds * 1000:
            break
        class_ = classes.get(line.class_)
        if class_ is None:
            raise ValueError(f"traffic.trace: class {line.class_!r} is none of {', '.join(classes)}")
        yield Job(
            number,
            line.at,
            class_,
            min(ranks[line.destination], len(experiment.partners)),
            line.left_ms,
            line.bytes,
            float(rng.random()),
        )

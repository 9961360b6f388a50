"""Draws the plan of one run of benchmarks.restarts from its seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum


class Restart(Enum):
    """How a process is ended. Except for a kill, SIGKILL follows if the exit takes too long."""

    TERM = "term"
    TERM_TWICE = "term, term"
    INT = "int"
    HUP_THEN_TERM = "hup, term"
    HUP_WHILE_STOPPING = "term, hup"
    KILL = "kill"
    KILL_BEHIND_ANSWER = "kill right behind a 202"


class FirstMoment(Enum):
    """The signal that a new process gets before it can have installed a handler."""

    NOTHING = "nothing"
    HUP = "hup"
    TERM = "term"
    KILL = "kill"


@dataclass(frozen=True)
class Step:
    """A period of service, and how it ends. Times are in seconds."""

    serve_s: float
    leave_at_s: float  # after the step's start: an endpoint leaves or returns
    reload_at_s: float  # two configuration reloads in a row
    close_at_s: float  # an endpoint starts to refuse connections for a while
    silent_s: float  # the agent does not answer for this long from the step's start
    restart: Restart
    leaves_while_away: bool
    first_moment: FirstMoment
    first_moment_s: float


@dataclass(frozen=True)
class Plan:
    seed: int
    clients: int
    resting_clients: int  # how many of the clients pause for seconds between two requests
    agent_delay_s: float
    has_crowd: bool
    hang: float
    error: float
    refuse: float
    reset: float
    steps: tuple[Step, ...]


def draw(seed: int, restarts: int) -> Plan:
    rng = random.Random(seed)
    return Plan(
        seed,
        clients=rng.randint(8, 14),
        resting_clients=rng.randint(1, 3),
        agent_delay_s=rng.choice((0.0, 0.0, rng.uniform(0.1, 0.6), rng.uniform(0.6, 3.0))),
        has_crowd=rng.random() < 0.25,
        hang=rng.uniform(0.0, 0.02),
        error=rng.uniform(0.0, 0.05),
        refuse=rng.uniform(0.0, 0.08),
        reset=rng.uniform(0.0, 0.02),
        steps=tuple(_step(rng) for _ in range(restarts)),
    )


def _step(rng: random.Random) -> Step:
    serve_s = rng.uniform(1.0, 2.5)
    return Step(
        serve_s,
        leave_at_s=rng.uniform(0.0, serve_s),
        reload_at_s=rng.uniform(0.0, 2 * serve_s),
        close_at_s=rng.uniform(0.0, 2 * serve_s),
        silent_s=rng.choice((0.0, 0.0, 0.0, rng.uniform(0.5, 3.0))),
        restart=rng.choice(list(Restart)),
        leaves_while_away=rng.random() < 0.4,
        first_moment=rng.choice((FirstMoment.NOTHING, FirstMoment.NOTHING, *FirstMoment)),
        first_moment_s=rng.uniform(0.005, 0.3),
    )

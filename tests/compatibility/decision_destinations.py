"""Simulated destinations: how long a call takes, what it ends with, and what befalls them."""

from __future__ import annotations

import random
from dataclasses import dataclass

from .decision_scenarios import Scenario, Trouble


@dataclass(frozen=True, slots=True)
class Answer:
    """What a call that went out ends with, and when."""

    at_ms: float
    outcome: str
    finished: bool = False
    wait_ms: float = 0.0


class Destinations:
    """Draws from the random source of the world that it belongs to."""

    def __init__(self, scenario: Scenario, source: random.Random) -> None:
        self.scenario, self.random = scenario, source
        self.saved: dict[int, tuple[float, float]] = {}  # calls that are left, and when that was reckoned

    def trouble(self, now_ms: float, destination: int) -> Trouble | None:
        for trouble in self.scenario.troubles:
            if trouble.destination == destination and trouble.begin_ms <= now_ms < trouble.end_ms:
                return trouble
        return None

    def answer(self, now_ms: float, destination: int, give_up_ms: float) -> Answer:
        draw = self.random
        trouble = self.trouble(now_ms, destination)
        kind = "" if trouble is None else trouble.kind
        took = self.scenario.latency_ms * draw.lognormvariate(0.0, 0.5)
        if kind == "down":
            return Answer(now_ms + 1.0, "connect_failed")
        if kind == "hung":
            return Answer(give_up_ms, "timeout")
        if kind == "shut":
            return Answer(now_ms + 4.0, "full", wait_ms=draw.uniform(2600.0, 5000.0))
        if not self._within_rate(now_ms, destination):
            told = draw.random() < self.scenario.chances.told_wait
            return Answer(now_ms + 3.0, "full", wait_ms=draw.uniform(80.0, 1200.0) if told else 0.0)
        if kind == "failing" and draw.random() < 0.7:
            return Answer(now_ms + took, "error")
        return self._served(now_ms + took, give_up_ms)

    def _served(self, at_ms: float, give_up_ms: float) -> Answer:
        draw = self.random
        outcome = self.scenario.chances.outcome(draw.random())
        if outcome == "hang" or at_ms > give_up_ms:
            return Answer(give_up_ms, "timeout")
        if outcome == "ok":
            return Answer(at_ms, "ok", finished=draw.random() > 0.005)
        return Answer(at_ms, outcome, finished=outcome == "error" and draw.random() < 0.3)

    def _within_rate(self, now_ms: float, destination: int) -> bool:
        """Takes one of the calls that are saved up, if there is one."""
        rate = self.scenario.real_rate
        most = max(2.0, rate / 4)
        saved, at = self.saved.get(destination, (most, now_ms))
        saved = min(most, saved + rate * (now_ms - at) / 1000)
        self.saved[destination] = saved - (saved >= 1), now_ms
        return saved >= 1

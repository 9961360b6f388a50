"""Simulated destinations: the latency and result of each call, and their faults."""

from __future__ import annotations

import random
from dataclasses import dataclass

from .decision_scenarios import Scenario, Fault


@dataclass(frozen=True, slots=True)
class Answer:
    """Result of a call and when it arrives."""

    at_ms: float
    outcome: str
    finished: bool = False
    wait_ms: float = 0.0


class Destinations:
    """Destinations that draw from the random source of their simulation."""

    def __init__(self, scenario: Scenario, source: random.Random) -> None:
        self.scenario, self.random = scenario, source
        self.tokens: dict[int, tuple[float, float]] = {}  # by destination: tokens, time of the last refill

    def fault(self, now_ms: float, destination: int) -> Fault | None:
        for fault in self.scenario.faults:
            if fault.destination == destination and fault.begin_ms <= now_ms < fault.end_ms:
                return fault
        return None

    def answer(self, now_ms: float, destination: int, give_up_ms: float) -> Answer:
        draw = self.random
        fault = self.fault(now_ms, destination)
        kind = "" if fault is None else fault.kind
        took = self.scenario.latency_ms * draw.lognormvariate(0.0, 0.5)
        if kind == "down":
            return Answer(now_ms + 1.0, "connect_failed")
        if kind == "hung":
            return Answer(give_up_ms, "timeout")
        if kind == "shut":
            return Answer(now_ms + 4.0, "full", wait_ms=draw.uniform(2600.0, 5000.0))
        if not self._within_rate(now_ms, destination):
            has_wait = draw.random() < self.scenario.chances.has_retry_after
            return Answer(now_ms + 3.0, "full", wait_ms=draw.uniform(80.0, 1200.0) if has_wait else 0.0)
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
        """Takes a token of the destination, if it has one."""
        rate = self.scenario.real_rate
        capacity = max(2.0, rate / 4)
        tokens, refilled_at = self.tokens.get(destination, (capacity, now_ms))
        tokens = min(capacity, tokens + rate * (now_ms - refilled_at) / 1000)
        self.tokens[destination] = tokens - (tokens >= 1), now_ms
        return tokens >= 1

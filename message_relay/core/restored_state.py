"""What an earlier process learned of destinations that are not known here yet: kept until they come. No I/O;
the clock is passed in, in ms."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from ..decisions.endpoint_registry import FORGET_AFTER_MS
from ..decisions.events import RestoredDestination
from ..decisions.model import Endpoint


class RestoredState:
    """No more than the file holds that they are from; each for FORGET_AFTER_MS."""

    def __init__(self) -> None:
        self.destinations: dict[int, tuple[float, RestoredDestination]] = {}  # and since when

    def add(self, now: float, lane: RestoredDestination) -> None:
        self.destinations[lane.destination] = now, lane

    def contains(self, now: float, destination: int) -> bool:
        kept = self.destinations.get(destination)
        return kept is not None and now < kept[0] + FORGET_AFTER_MS

    def pop_listed(self, now: float, entries: Iterable[Endpoint]) -> list[RestoredDestination]:
        """What is to be told of those that have come."""
        if not self.destinations:
            return []
        here = dict.fromkeys(entry.destination for entry in entries)
        return [
            aged(lane, now - at)
            for dest in here
            if (at := self._at(now, dest)) is not None
            for lane in [self.destinations.pop(dest)[1]]
        ]

    def _at(self, now: float, destination: int) -> float | None:
        return self.destinations[destination][0] if self.contains(now, destination) else None

    def remaining(self, now: float) -> list[RestoredDestination]:
        """As it is to be written for the next process."""
        self.destinations = {
            dest: kept for dest, kept in self.destinations.items() if now < kept[0] + FORGET_AFTER_MS
        }
        return [aged(lane, now - at) for at, lane in self.destinations.values()]


def aged(lane: RestoredDestination, ms: float) -> RestoredDestination:
    return replace(
        lane,
        retry_after_ms=max(0.0, lane.retry_after_ms - ms),
        failing_for_ms=None if lane.failing_for_ms is None else lane.failing_for_ms + ms,
        warming_up_for_ms=None if lane.warming_up_for_ms is None else lane.warming_up_for_ms + ms,
    )

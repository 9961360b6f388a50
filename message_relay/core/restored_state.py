"""Learned state of destinations from an earlier process, retained until these destinations are loaded.

Does no I/O; callers pass the current time, in ms.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from ..decisions.endpoint_registry import EVICT_AFTER_MS
from ..decisions.events import RestoredDestination
from ..decisions.model import Endpoint


@dataclass(frozen=True, slots=True)
class _Retained:
    since_ms: float
    restored: RestoredDestination

    def is_expired(self, now: float) -> bool:
        return now >= self.since_ms + EVICT_AFTER_MS

    def aged(self, now: float) -> RestoredDestination:
        return aged(self.restored, now - self.since_ms)


class RestoredState:
    """Retains the state of at most the destinations in the snapshot file, each for EVICT_AFTER_MS."""

    def __init__(self) -> None:
        self.destinations: dict[int, _Retained] = {}

    def add(self, now: float, restored: RestoredDestination) -> None:
        """Retains the state of a destination that is not loaded yet."""
        self.destinations[restored.destination] = _Retained(now, restored)

    def contains(self, now: float, destination: int) -> bool:
        """Returns whether unexpired state of this destination is retained."""
        retained = self.destinations.get(destination)
        return retained is not None and not retained.is_expired(now)

    def pop_listed(self, now: float, endpoints: Iterable[Endpoint]) -> list[RestoredDestination]:
        """Removes and returns the state of the destinations of these endpoints."""
        if not self.destinations:
            return []
        listed = dict.fromkeys(endpoint.destination for endpoint in endpoints)
        return [
            self.destinations.pop(destination).aged(now)
            for destination in listed
            if self.contains(now, destination)
        ]

    def remaining(self, now: float) -> list[RestoredDestination]:
        """Drops expired state, and returns the rest in the form to write for the next process."""
        self.destinations = {
            destination: retained
            for destination, retained in self.destinations.items()
            if not retained.is_expired(now)
        }
        return [retained.aged(now) for retained in self.destinations.values()]


def aged(restored: RestoredDestination, elapsed_ms: float) -> RestoredDestination:
    """Returns the state as it is after `elapsed_ms`."""
    failing_for_ms = restored.failing_for_ms
    warming_up_for_ms = restored.warming_up_for_ms
    return replace(
        restored,
        retry_after_ms=max(0.0, restored.retry_after_ms - elapsed_ms),
        failing_for_ms=None if failing_for_ms is None else failing_for_ms + elapsed_ms,
        warming_up_for_ms=None if warming_up_for_ms is None else warming_up_for_ms + elapsed_ms,
    )

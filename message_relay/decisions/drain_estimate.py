"""Estimates how fast this relay can call a destination, and when its queue will have drained."""

from __future__ import annotations

from .endpoint_registry import EndpointRegistry
from .outlier_detection import is_suspected

UNKNOWN_RATE = 0.01  # calls per second, nearly none, assumed for a destination without endpoints


class DrainEstimate:
    """Estimates drain times from the current rates of the destinations."""

    def __init__(self, registry: EndpointRegistry) -> None:
        self.registry = registry
        self.rate_controller = registry.rate_controller
        self.pending = registry.pending
        self.unknown_rate = UNKNOWN_RATE
        self.max_retry_after_ms = registry.rate_controller.settings.max_retry_after_ms

    def expected_rate(self, now: float, destination_id: int) -> float:
        """Returns the calls per second that this relay can expect to make to a destination."""
        routes = self.registry.destinations.get(destination_id, {}).values()
        rate_and_burst = self.rate_controller.rate_and_burst
        rate = sum(rate_and_burst(now, route, is_suspected(route, now))[0] for route in routes)
        return rate or self.unknown_rate

    def drained_at(self, now: float, destination_id: int, additional: int = 0) -> float:
        """Returns when the messages that wait now, and this many additional ones, will have been sent."""
        waiting = len(self.pending.queues.get(destination_id, ())) + additional
        return now + 1000 * waiting / self.expected_rate(now, destination_id)

    def retry_after_ms(self, now: float, destination_id: int) -> float:
        """Returns the Retry-After of a rejection.

        It lasts until the destination's own Retry-After is over and its queue has drained, within the limit.
        """
        routes = self.registry.destinations.get(destination_id, {}).values()
        wait_ms = max((route.retry_after_until - now for route in routes), default=0.0)
        return min(self.max_retry_after_ms, max(wait_ms, self.drained_at(now, destination_id) - now))

"""How fast this relay can call a destination, and so when what waits there will have gone."""

from __future__ import annotations

from .endpoint_registry import EndpointRegistry
from .outlier_detection import is_suspected

UNKNOWN_RATE = 0.01  # calls a second, nearly none, at a destination without any endpoint


class DrainEstimate:
    """Estimates from the destinations' current rates."""

    def __init__(self, registry: EndpointRegistry) -> None:
        self.registry = registry
        self.rate_controller = registry.rate_controller
        self.pending = registry.pending
        self.unknown_rate = UNKNOWN_RATE
        self.max_retry_after_ms = registry.rate_controller.settings.max_retry_after_ms

    def expected_rate(self, now: float, destination_id: int) -> float:
        """Calls a second that this relay may expect to make to a destination."""
        routes = self.registry.destinations.get(destination_id, {}).values()
        rate_and_burst = self.rate_controller.rate_and_burst
        rate = sum(rate_and_burst(now, each, is_suspected(each, now))[0] for each in routes)
        return rate or self.unknown_rate

    def drained_at(self, now: float, destination_id: int, additional: int = 0) -> float:
        """When what waits there now, and so many additional messages, will have been sent."""
        waiting = len(self.pending.queues.get(destination_id, ())) + additional
        return now + 1000 * waiting / self.expected_rate(now, destination_id)

    def retry_after_ms(self, now: float, destination_id: int) -> float:
        """The Retry-After of a rejection: once the destination's own is over and its queue has drained."""
        routes = self.registry.destinations.get(destination_id, {}).values()
        wait_ms = max((each.retry_after_until - now for each in routes), default=0.0)
        return min(self.max_retry_after_ms, max(wait_ms, self.drained_at(now, destination_id) - now))

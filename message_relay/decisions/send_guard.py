"""Checks that each send has to pass: when it is scheduled, and again right before its first byte."""

from __future__ import annotations

from .destinations import EndpointState
from .endpoint_registry import EndpointRegistry
from .idempotency import allows_endpoint, idempotency_window_end, retry_deadline
from .latency import overdue_ms
from .model import FOREVER
from .pending import PendingMessage

SLOW_CONNECT_MS = 500.0  # if connecting takes longer, the operating system had to retry


class SendGuard:
    """Enforces the limits of a send: attempts, draining, Retry-After, time, order and idempotency."""

    def __init__(self, registry: EndpointRegistry) -> None:
        self.registry = registry
        self.rate_controller = registry.rate_controller
        self.pending = registry.pending
        self.shutdown_at = FOREVER  # end of this process: no call may be in flight then

    def may_send(self, now: float, entry: PendingMessage, state: EndpointState) -> bool:
        """Returns whether a message may be sent to an endpoint now. Every send has to pass this check."""
        if entry.in_flight_on is not None or state.endpoint.id not in self.registry.endpoints:
            return False
        if now >= retry_deadline(self.rate_controller.settings, entry):
            return False
        destination = state.destination
        not_before = max(destination.retry_after_until, self.pending.sendable_at(entry))
        if not not_before <= now < entry.deadline_at - destination.latency_mean_ms / 4:
            return False
        if now + overdue_ms(destination) > self.shutdown_at:
            return False
        return allows_endpoint(entry.retry_affinity, state.endpoint)

    def may_write(self, now: float, message_id: int) -> bool:
        """Returns whether a call's first byte may be written now.

        While connecting, the endpoint may have started to drain, its destination may have sent a Retry-After,
        or the message's deadline or idempotency window may have passed. Connections that were requested in an
        outage are established all at once at its end: a call on one of them is deferred once, so that it is
        rate limited again.
        """
        entry = self.pending.by_id.get(message_id)
        if entry is None or entry.in_flight_on is None or entry.is_cancelled:
            return False
        state = entry.in_flight_on
        destination = state.destination
        is_after_outage = destination.is_ejected or destination.warming_since > entry.sent_at
        if now - entry.sent_at > SLOW_CONNECT_MS and is_after_outage and not entry.was_deferred:
            entry.was_deferred = True
            return False
        if self.registry.endpoints.get(state.endpoint.id) is not state:
            return False
        window_end = idempotency_window_end(self.rate_controller.settings, entry)
        until = min(entry.deadline_at, window_end, self.shutdown_at)
        return destination.retry_after_until <= now < until

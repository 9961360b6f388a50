"""The checks that each send has to pass: when it is decided, and again right before its first byte."""

from __future__ import annotations

from .destinations import EndpointState
from .endpoint_registry import EndpointRegistry
from .idempotency import allows_endpoint, idempotency_window_end, retry_deadline
from .latency import overdue_ms
from .model import FOREVER
from .pending import PendingMessage

SLOW_CONNECT_MS = 500.0  # a connection that takes longer is one for which the system had to retry


class SendGuard:
    """Guards the limits of a send: attempts, draining, Retry-After, time, order, effect and key window."""

    def __init__(self, registry: EndpointRegistry) -> None:
        self.registry = registry
        self.rate_controller = registry.rate_controller
        self.pending = registry.pending
        self.shutdown_at = FOREVER  # of this process: no call may still be in flight then

    def may_send(self, now: float, entry: PendingMessage, state: EndpointState) -> bool:
        """Whether a message may be sent to an endpoint now. Every send passes here."""
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
        """Whether a call's first byte may be written now.

        Connecting took time, in which the endpoint may have drained, its destination may have sent
        Retry-After, or the message's time or key window may have run out. Connections that were requested in
        an outage are established together at its end: a call on one of them is deferred once, so that it
        is rate limited again.
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

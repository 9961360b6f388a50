"""What the effect of a class allows for a message: until when it may be tried, where, and how it may end."""

from __future__ import annotations

from .model import NEVER, Effect, Endpoint, Scope, Settings
from .pending import PendingMessage, RetryAffinity


def retry_affinity(held: PendingMessage) -> RetryAffinity | None:
    """Where another try may go, if not to any endpoint: where the key of the first is known."""
    if (
        held.uncertain_endpoint is None
        or held.message_class.effect is not Effect.KEYED
        or held.message_class.key_scope is Scope.ALL
    ):
        return None
    zone = held.message_class.key_scope is Scope.ZONE
    return zone, held.uncertain_endpoint.zone if zone else held.uncertain_endpoint.id


def allows_endpoint(where: RetryAffinity | None, entry: Endpoint) -> bool:
    return where is None or where[1] == (entry.zone if where[0] else entry.id)


def can_reject_safely(held: PendingMessage) -> bool:
    """A refusal promises that coming again is harmless: after an unclear attempt, only by effect."""
    if held.first_uncertain_at is None or held.message_class.effect is Effect.SAFE:
        return True
    return held.message_class.effect is Effect.KEYED and held.message_class.key_scope is Scope.ALL


def idempotency_window_end(s: Settings, held: PendingMessage) -> float:
    """Until when it may run without taking effect twice."""
    if held.first_uncertain_at is None or held.message_class.effect is Effect.SAFE:
        return held.deadline_at
    return (
        NEVER
        if held.message_class.effect is Effect.UNSAFE
        else held.first_uncertain_at + held.message_class.key_window_ms - s.tick_ms
    )


def retry_deadline(s: Settings, held: PendingMessage) -> float:
    """Until when another try is allowed."""
    return NEVER if held.attempts >= s.max_attempts else idempotency_window_end(s, held)

"""What the effect of a message's class allows: until when and where it may be retried, and how it may end."""

from __future__ import annotations

from .model import NEVER, Effect, Endpoint, Scope, Settings
from .pending import PendingMessage, RetryAffinity


def retry_affinity(entry: PendingMessage) -> RetryAffinity | None:
    """Where a retry may go, if not to any endpoint: where the idempotency key of the first is known."""
    scope = entry.message_class.key_scope
    if (
        entry.uncertain_endpoint is None
        or entry.message_class.effect is not Effect.KEYED
        or scope is Scope.ALL
    ):
        return None
    if scope is Scope.ZONE:
        return True, entry.uncertain_endpoint.zone
    return False, entry.uncertain_endpoint.id


def allows_endpoint(affinity: RetryAffinity | None, endpoint: Endpoint) -> bool:
    """Whether a message with this affinity may go to the endpoint."""
    return affinity is None or affinity[1] == (endpoint.zone if affinity[0] else endpoint.id)


def can_reject_safely(entry: PendingMessage) -> bool:
    """Whether it may be rejected, which promises that submitting it again is harmless.

    After an attempt with an unknown outcome, that depends on its effect.
    """
    if entry.first_uncertain_at is None or entry.message_class.effect is Effect.SAFE:
        return True
    return entry.message_class.effect is Effect.KEYED and entry.message_class.key_scope is Scope.ALL


def idempotency_window_end(settings: Settings, entry: PendingMessage) -> float:
    """Until when it may run without taking effect twice."""
    if entry.first_uncertain_at is None or entry.message_class.effect is Effect.SAFE:
        return entry.deadline_at
    if entry.message_class.effect is Effect.UNSAFE:
        return NEVER
    return entry.first_uncertain_at + entry.message_class.key_window_ms - settings.tick_ms


def retry_deadline(settings: Settings, entry: PendingMessage) -> float:
    """Until when another attempt is allowed."""
    if entry.attempts >= settings.max_attempts:
        return NEVER
    return idempotency_window_end(settings, entry)

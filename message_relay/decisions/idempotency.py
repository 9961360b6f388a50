"""Idempotency rules by the effect of a message's class: when and where to retry, and whether to reject."""

from __future__ import annotations

from .model import NEVER, Effect, Endpoint, Scope, Settings
from .pending import PendingMessage, RetryAffinity


def requires_handover(effect: Effect) -> bool:
    """Returns whether a message may be attempted only once no other relay can receive it from its source.

    A destination drops repeats of a key only within the key's window, and another relay may receive the
    message at any later time.
    """
    return effect is not Effect.SAFE


def allows_late_resubmission(effect: Effect, may_have_run: bool) -> bool:
    """Returns whether submitting a message again is harmless however much later that is.

    A destination drops repeats of a key only within the key's window.
    """
    return effect is Effect.SAFE or not may_have_run


def retry_affinity(entry: PendingMessage) -> RetryAffinity | None:
    """Returns the zone or endpoint to which retries are limited; None allows any endpoint.

    The idempotency key of the first attempt that may have run is known only there.
    """
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
    """Returns whether a message with this retry affinity may be sent to the endpoint."""
    return affinity is None or affinity[1] == (endpoint.zone if affinity[0] else endpoint.id)


def can_reject_safely(entry: PendingMessage) -> bool:
    """Returns whether a message may be rejected, which promises that submitting it again is harmless.

    After an attempt with an unknown outcome, this depends on the effect of its class.
    """
    if entry.first_uncertain_at is None or entry.message_class.effect is Effect.SAFE:
        return True
    return entry.message_class.effect is Effect.KEYED and entry.message_class.key_scope is Scope.ALL


def idempotency_window_end(settings: Settings, entry: PendingMessage) -> float:
    """Returns until when a message may be executed without taking effect twice."""
    if entry.first_uncertain_at is None or entry.message_class.effect is Effect.SAFE:
        return entry.deadline_at
    if entry.message_class.effect is Effect.UNSAFE:
        return NEVER
    return entry.first_uncertain_at + entry.message_class.key_window_ms - settings.tick_ms


def retry_deadline(settings: Settings, entry: PendingMessage) -> float:
    """Returns until when another attempt is allowed."""
    if entry.attempts >= settings.max_attempts:
        return NEVER
    return idempotency_window_end(settings, entry)

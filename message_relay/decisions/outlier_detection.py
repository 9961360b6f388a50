"""Outlier detection: ejects failing destinations, and ranks failing endpoints behind others.

Each failure raises a destination's failure score towards 1 and each success lowers it. Above
`EJECTION_THRESHOLD` the destination is ejected: it gets only half-open trials, until a success brings the
score below the threshold again. A destination is suspected, and treated like an ejected one, as soon as each
of its endpoints has an overdue call.
"""

from __future__ import annotations

from .destinations import DestinationState, EndpointState
from .latency import overdue_ms
from .model import Outcome

EVIDENCE_TTL_MS = 10000.0  # successes and failures older than this no longer count
FAILURE_WEIGHT = 0.3  # weight of one failure in the score: two in a row cause an ejection
VOUCHED_FAILURE_WEIGHT = 0.1  # right after a success: among many calls, two in a row fail by chance
VOUCH_WINDOW_MS = 300.0  # how long after a success the lower weight applies
EJECTION_THRESHOLD = 0.5  # failure score above which a destination is ejected
EJECTED_SCORE_MAX = 0.7  # upper limit: the first success after an outage brings the score below the threshold
CLOSED_AFTER_MS = 2500.0  # Retry-After or refusals for longer than the window of any limit: closed


def endpoint_penalty(state: EndpointState, now: float, class_index: int) -> float:
    """Returns the penalty added to an endpoint's load when endpoints are compared.

    Guards against an endpoint that fails, or fails one class: others are preferred until its failures expire.
    """
    failing_classes = [
        index for index, failed_at in state.failures_by_class.items() if now - failed_at < EVIDENCE_TTL_MS
    ]
    return 8.0 * (class_index in failing_classes) + 2.0 * len(failing_classes)


def is_suspected(destination: DestinationState, now: float) -> bool:
    """Returns whether a destination is ejected or suspected.

    It is suspected if each endpoint has an overdue call that was sent after the last success.
    """
    if destination.is_ejected or not destination.in_flight:
        return destination.is_ejected
    last_success_at = destination.last_success_at
    if next(reversed(destination.in_flight.values())).sent_at < last_success_at:
        return False
    overdue_before = now - overdue_ms(destination)
    overdue_endpoints: set[int] = set()
    for entry in destination.in_flight.values():  # oldest first: the first one usually decides
        if entry.sent_at >= overdue_before:
            break
        if entry.in_flight_on is not None and entry.sent_at >= last_success_at:
            overdue_endpoints.add(entry.in_flight_on.endpoint.id)
    return bool(overdue_endpoints) and overdue_endpoints.issuperset(destination.endpoints)


def is_closed_for_long(destination: DestinationState, now: float, throttled_ms: float) -> bool:
    """Returns whether a destination has failed or refused for long without a success: closed, full or down.

    It may recover at any moment. A throttling of more than `throttled_ms` means repeated refusals.
    """
    if destination.failing_since is None or now - destination.failing_since <= CLOSED_AFTER_MS:
        return False
    has_failed = destination.last_failure_at > destination.last_success_at
    return has_failed or destination.throttle_ms > throttled_ms


def add_failure(
    now: float, destination: DestinationState, sent_at: float, outcome: Outcome, is_closed: bool
) -> None:
    """Raises the failure score for one failed call, and ejects the destination above the threshold.

    A recent success, or an endpoint without failures, vouches for a destination: without either, one failure
    counts as an outage. Guards relays that call it too rarely to see two failures in a row.
    """
    recent_since = now - VOUCH_WINDOW_MS
    vouched_since = min(sent_at, recent_since) if outcome is Outcome.CONNECT_FAILED else now - EVIDENCE_TTL_MS
    is_unvouched = destination.last_success_at <= vouched_since and all(
        endpoint.failures_by_class for endpoint in destination.endpoints.values()
    )
    weight = FAILURE_WEIGHT if destination.last_success_at < recent_since else VOUCHED_FAILURE_WEIGHT
    if is_unvouched or is_closed:
        weight = EJECTION_THRESHOLD + 0.05
    destination.failure_score += (1.0 - destination.failure_score) * weight
    if destination.failure_score > EJECTION_THRESHOLD and destination.endpoints:
        if not destination.is_ejected:
            destination.next_trial_at = now
        destination.is_ejected = True
        destination.failure_score = min(destination.failure_score, EJECTED_SCORE_MAX)

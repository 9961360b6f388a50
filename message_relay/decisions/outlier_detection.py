"""Outlier detection: when a destination is ejected, and which endpoints come after others.

Each failure raises a destination's failure score towards 1 and each success lowers it. Above
`EJECTION_THRESHOLD` the destination is ejected: it gets half-open trials alone, until a success brings the
score below the threshold again. A destination is suspected, and treated like an ejected one, as soon as each
of its endpoints has a call that is overdue.
"""

from __future__ import annotations

from .destinations import DestinationState, EndpointState
from .latency import overdue_ms
from .model import Outcome

EVIDENCE_TTL_MS = 10000.0  # an answer or a failure of so long ago counts no more
FAILURE_WEIGHT = 0.3  # weight of one failure in the score: two in a row eject
VOUCHED_FAILURE_WEIGHT = 0.1  # its weight right after an answer: among many calls chance fails two in a row
VOUCH_WINDOW_MS = 300.0  # how long that holds after an answer
EJECTION_THRESHOLD = 0.5  # failure score above which a destination is ejected
EJECTED_SCORE_MAX = 0.7  # no higher: the first success after an outage brings it below the threshold
CLOSED_AFTER_MS = (
    2500.0  # Retry-After and refusals without a break for longer than any limit's window: closed
)


def endpoint_penalty(state: EndpointState, now: float, class_index: int) -> float:
    """Added to an endpoint's load when endpoints are compared.

    Guards against an endpoint that fails, or fails one class: others are preferred until its failures expire.
    """
    recent = [index for index, at in state.failures_by_class.items() if now - at < EVIDENCE_TTL_MS]
    return 8.0 * (class_index in recent) + 2.0 * len(recent)


def is_suspected(destination: DestinationState, now: float) -> bool:
    """Whether it is ejected, or each endpoint has an overdue call and none has answered since it was sent."""
    if destination.is_ejected or not destination.in_flight:
        return destination.is_ejected
    last_success_at = destination.last_success_at
    if next(reversed(destination.in_flight.values())).sent_at < last_success_at:
        return False
    overdue_before = now - overdue_ms(destination)
    overdue_endpoints: set[int] = set()
    for entry in destination.in_flight.values():  # oldest first: mostly the first one decides
        if entry.sent_at >= overdue_before:
            break
        if entry.in_flight_on is not None and entry.sent_at >= last_success_at:
            overdue_endpoints.add(entry.in_flight_on.endpoint.id)
    return bool(overdue_endpoints) and overdue_endpoints.issuperset(destination.endpoints)


def is_closed_for_long(destination: DestinationState, now: float, throttled_ms: float) -> bool:
    """Whether it has failed or refused for long without an answer: it is closed, full or down.

    Such a one may be back at any moment. Throttled for longer than `throttled_ms` means repeated refusals.
    """
    if destination.failing_since is None or now - destination.failing_since <= CLOSED_AFTER_MS:
        return False
    has_failed = destination.last_failure_at > destination.last_success_at
    return has_failed or destination.throttle_ms > throttled_ms


def add_failure(
    now: float, destination: DestinationState, sent_at: float, outcome: Outcome, is_closed: bool
) -> None:
    """Raises the failure score for one failed call, and ejects the destination above the threshold.

    A recent answer, or an endpoint without failures, vouches for a destination: without either, one failure
    is an outage. Guards relays that call it too seldom to see two failures in a row.
    """
    recent = now - VOUCH_WINDOW_MS
    vouched_since = min(sent_at, recent) if outcome is Outcome.CONNECT_FAILED else now - EVIDENCE_TTL_MS
    is_unvouched = destination.last_success_at <= vouched_since and all(
        other.failures_by_class for other in destination.endpoints.values()
    )
    weight = FAILURE_WEIGHT if destination.last_success_at < recent else VOUCHED_FAILURE_WEIGHT
    if is_unvouched or is_closed:
        weight = EJECTION_THRESHOLD + 0.05
    destination.failure_score += (1.0 - destination.failure_score) * weight
    if destination.failure_score > EJECTION_THRESHOLD and destination.endpoints:
        if not destination.is_ejected:
            destination.next_trial_at = now
        destination.is_ejected = True
        destination.failure_score = min(destination.failure_score, EJECTED_SCORE_MAX)

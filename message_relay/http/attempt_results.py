"""Interpretation of an endpoint's response: the result of the attempt and the load report."""

from __future__ import annotations

import math

from ..core.ports import AttemptResult
from ..decisions.model import Outcome
from .endpoint_messages import ResponseHead


def attempt_result(head: ResponseHead) -> AttemptResult:
    """Map a response to the result of its attempt, as the protocol's table of outcomes defines."""
    retry_after_ms = parse_wait_ms(head.headers.get("x-ratelimit-wait-ms", ""))
    match head.status:
        case 200:
            return AttemptResult(Outcome.OK, is_finished=True)
        case 429:
            return AttemptResult(Outcome.FULL, retry_after_ms=retry_after_ms)
        case 503 if head.headers.get("x-over-slots") == "1":
            return AttemptResult(Outcome.NOT_SENT, no_connection_slot=True)
        case 503:  # the protocol defines no wait for this status; one that is sent is honoured
            return AttemptResult(Outcome.FULL, retry_after_ms=retry_after_ms)
        case 504:
            return AttemptResult(Outcome.NOT_SENT)
        case 410:
            return AttemptResult(Outcome.NOT_SENT, is_finished=True)
        case _:  # 500, and any status that the protocol does not define: it may have run
            return AttemptResult(Outcome.ERROR)


def parse_load_report(head: ResponseHead, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Return these fields of the load report, in this order; empty unless all are valid."""
    kind, _, text = head.headers.get("endpoint-load-metrics", "").partition(" ")
    if not fields or kind != "TEXT":
        return ()
    pairs = (part.split("=", 1) for part in text.split(",") if "=" in part)
    reported = {name.strip(): value for name, value in pairs}
    try:
        values = tuple(float(reported[field]) for field in fields)
    except (KeyError, ValueError):
        return ()
    return values if all(math.isfinite(value) and value >= 0 for value in values) else ()


def parse_wait_ms(text: str) -> float:
    """Parse a wait time in milliseconds; 0 if it is missing or invalid."""
    try:
        wait_ms = float(text)
    except ValueError:
        return 0.0
    return wait_ms if wait_ms > 0 and math.isfinite(wait_ms) else 0.0

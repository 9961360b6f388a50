"""What the response of an endpoint means: the result of the attempt, and the endpoint's load report."""

from __future__ import annotations

import math

from ..core.ports import AttemptResult
from ..decisions.model import Outcome
from .endpoint_messages import ResponseHead


def attempt_result(head: ResponseHead) -> AttemptResult:
    """The result of an attempt that got a response: each row of the protocol's table."""
    retry_after_ms = parse_wait_ms(head.headers.get("x-ratelimit-wait-ms", ""))
    match head.status:
        case 200:
            return AttemptResult(Outcome.OK, is_finished=True)
        case 429:
            return AttemptResult(Outcome.FULL, retry_after_ms=retry_after_ms)
        case 503 if head.headers.get("x-over-slots") == "1":
            return AttemptResult(Outcome.NOT_SENT, no_connection_slot=True)
        case 503:  # the protocol defines no wait for this status, but one that is sent is observed
            return AttemptResult(Outcome.FULL, retry_after_ms=retry_after_ms)
        case 504:
            return AttemptResult(Outcome.NOT_SENT)
        case 410:
            return AttemptResult(Outcome.NOT_SENT, is_finished=True)
        case _:  # 500, and whatever else the protocol does not define: it may have run
            return AttemptResult(Outcome.ERROR)


def parse_load_report(head: ResponseHead, fields: tuple[str, ...]) -> tuple[float, ...]:
    """The values of these fields in the load report of a response; empty unless all are readable."""
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
    """A time to wait in milliseconds; 0 if there is none, or none that can be read."""
    try:
        wait_ms = float(text)
    except ValueError:
        return 0.0
    return wait_ms if wait_ms > 0 and math.isfinite(wait_ms) else 0.0

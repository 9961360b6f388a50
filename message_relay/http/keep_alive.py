"""Decides whether an idle connection to an endpoint is kept for the next attempt. Does no I/O.

An endpoint accepts a limited and unknown number of connections, including idle ones. An idle connection of
one relay then occupies a slot that attempts of the other relays need: with 200 relays, the dozen or so slots
of each endpoint were filled with unused connections, and nine attempts in ten were rejected by endpoints that
had a sixth of their load. The relay with the idle connection gets no rejection there itself, so a rejection
by one endpoint counts for all endpoints of its kind. While no endpoint of a kind rejects connections, idle
ones are kept: a new connection costs the endpoint work and delays its first attempt.
"""

from __future__ import annotations

# Time after the latest rejected connection; longer than the quiet periods of a day on which slots are scarce.
REJECTION_MEMORY_S = 60.0


class KeepAlivePolicy:
    """Stores when an endpoint of each kind last rejected a connection. Times are in seconds."""

    def __init__(self) -> None:
        self.rejected_at: dict[str, float] = {}  # by kind; bounded by the number of listed kinds

    def allows_idle(self, kind: str, now: float) -> bool:
        """Return whether idle connections to endpoints of this kind may be kept."""
        rejected_at = self.rejected_at.get(kind)
        return rejected_at is None or now - rejected_at > REJECTION_MEMORY_S

    def record_rejection(self, kind: str, now: float) -> bool:
        """Record a connection that this kind rejected; returns whether idle ones were kept until now."""
        were_allowed = self.allows_idle(kind, now)
        self.rejected_at[kind] = now
        return were_allowed


def is_connection_rejection(
    status: int, headers: dict[str, str], request_count: int, retry_after_ms: float
) -> bool:
    """Return whether a response rejects the connection rather than the attempt.

    That is a 503 to the first request of a connection, without a wait time, that closes the connection. A
    rejected attempt above a rate limit does not close it.
    """
    options = {option.strip().lower() for option in headers.get("connection", "").split(",")}
    return status == 503 and request_count == 1 and retry_after_ms == 0.0 and "close" in options

"""Whether an idle connection to an endpoint is kept for the next attempt: decided without I/O.

An endpoint accepts only so many connections, idle ones counted, and does not say how many. One relay's idle
connection then takes the place of an attempt of each other relay: with 200 relays a table of some dozen
places was full of connections that nobody used, and nine attempts in ten were rejected by endpoints that had
a sixth of their work. The relay that holds such a place meets no rejection itself, so what is learned at one
endpoint is taken to hold for all of its kind. Where no kind of endpoint rejects connections, idle ones are
kept: a new one costs the endpoint work, and the first attempt on it time.
"""

from __future__ import annotations

# After the latest rejected connection: longer than the quiet spells of a day on which places are scarce.
REJECTION_MEMORY_S = 60.0


class KeepAlivePolicy:
    """Remembers, for each kind of endpoint, when one of them last rejected a connection. Times in seconds."""

    def __init__(self) -> None:
        self.rejected_at: dict[str, float] = {}  # by kind; no more of them than are listed

    def allows_idle(self, kind: str, now: float) -> bool:
        """Whether idle connections to endpoints of this kind take no other connection's place."""
        rejected_at = self.rejected_at.get(kind)
        return rejected_at is None or now - rejected_at > REJECTION_MEMORY_S

    def record_rejection(self, kind: str, now: float) -> bool:
        """Note that an endpoint of this kind rejected a connection; whether idle ones were kept until now."""
        were_allowed = self.allows_idle(kind, now)
        self.rejected_at[kind] = now
        return were_allowed


def is_connection_rejection(
    status: int, headers: dict[str, str], request_count: int, retry_after_ms: float
) -> bool:
    """Whether a response rejects the connection rather than the attempt.

    That is a 503 to the first request of the connection, with no time to wait, and an end of the connection.
    An attempt that is rejected above a limit does not end the connection.
    """
    options = {option.strip().lower() for option in headers.get("connection", "").split(",")}
    return status == 503 and request_count == 1 and retry_after_ms == 0.0 and "close" in options

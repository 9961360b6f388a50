"""Whether a connection to an endpoint is kept for the next call: decided without I/O, the clock passed in.

An endpoint may hold only so many connections, idle ones counted, and says nowhere how many. One relay's idle
connection then takes the place of a call of each other relay: with 200 relays a table of some dozen places
was full of connections that nobody used, and nine calls in ten were turned away by endpoints that had a sixth
of their work. Whoever holds such a place meets no refusal itself, so what is learned at one endpoint is taken
to hold for all of its kind. Where no kind of endpoint turns connections away, they are kept as ever: a new
one costs the endpoint work, and the first call on it time."""

from __future__ import annotations

REJECTION_MEMORY_S = (
    60.0  # after the latest connection that was turned away: longer than such a day's quiet spells
)


class KeepAlivePolicy:
    def __init__(self) -> None:
        self.rejected_at: dict[str, float] = {}  # kind of endpoint -> when; no more of them than are listed

    def allows_idle(self, kind: str, now: float) -> bool:
        """Idle connections to endpoints of this kind cost nobody a place."""
        at = self.rejected_at.get(kind)
        return at is None or now - at > REJECTION_MEMORY_S

    def record_rejection(self, kind: str, now: float) -> bool:
        """An endpoint of this kind had no place for one more connection. True: until now they were kept."""
        kept = self.allows_idle(kind, now)
        self.rejected_at[kind] = now
        return kept


def is_connection_rejection(status: int, headers: dict[str, str], calls: int, wait_ms: float) -> bool:
    """An answer by which an endpoint turns a connection away, and not a call: 503 to its first request, with
    no time to come again, and an end of the connection, which no refusal above a limit brings."""
    options = {option.strip().lower() for option in headers.get("connection", "").split(",")}
    return status == 503 and calls == 1 and wait_ms == 0.0 and "close" in options

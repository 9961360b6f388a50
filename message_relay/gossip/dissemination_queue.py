"""Dissemination queue: members with new claims, the least sent first. No I/O.

A fleet that starts has a new claim for each member, and each packet holds a dozen: names are bucketed by how
often they were sent, so that the cost of a packet depends on its size and not on the size of the queue.
"""

from __future__ import annotations

from itertools import chain, islice


class DisseminationQueue:
    """Names of members whose claims are still to be sent, ordered by the number of times they were sent."""

    def __init__(self) -> None:
        self.send_counts: dict[str, int] = {}
        self.names_by_count: list[dict[str, None]] = []  # index: send count; longest waiting first

    def __len__(self) -> int:
        return len(self.send_counts)

    def add(self, name: str) -> None:
        """Add a member with a new claim, however often earlier claims about it were sent."""
        self.drop(name)
        self._put(name, 0)

    def drop(self, name: str) -> None:
        """Remove a member, if it is queued."""
        send_count = self.send_counts.pop(name, None)
        if send_count is not None:
            del self.names_by_count[send_count][name]

    def mark_sent(self, name: str, limit: int) -> None:
        """Count one more packet with this queued member's claim, and remove it after `limit` packets."""
        send_count = self.send_counts[name] + 1
        self.drop(name)
        if send_count < limit:
            self._put(name, send_count)

    def _put(self, name: str, send_count: int) -> None:
        while len(self.names_by_count) <= send_count:
            self.names_by_count.append({})
        self.names_by_count[send_count][name] = None
        self.send_counts[name] = send_count

    def least_sent(self, limit: int) -> list[str]:
        """Return at most `limit` names, the least sent first."""
        return list(islice(chain.from_iterable(self.names_by_count), limit)) if self.send_counts else []

    def clear(self) -> None:
        """Remove all."""
        self.send_counts.clear()
        self.names_by_count.clear()

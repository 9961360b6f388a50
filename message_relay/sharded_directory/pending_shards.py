"""Shards that pending messages wait for, ordered by the earliest deadline. No I/O."""

from __future__ import annotations

import heapq
from collections.abc import Container


class PendingShard:
    """A shard that pending messages need before they can be sent."""

    __slots__ = ("deadline", "destinations", "requested_from")

    def __init__(self, deadline: float) -> None:
        self.deadline = deadline  # of the message that expires first
        self.destinations: set[int] = set()  # bounded by the number of pending messages
        self.requested_from: str | None = None  # the server whose response is outstanding


class PendingShards:
    """The pending shards, with a queue of those to request next.

    `resident` has the shards in the cache, which need no request of their own.
    """

    def __init__(self, resident: Container[int]) -> None:
        self.by_shard: dict[int, PendingShard] = {}
        self.resident = resident
        self.queue: list[tuple[float, int]] = []  # heap of (deadline, shard), with outdated items

    def __len__(self) -> int:
        return len(self.by_shard)

    def __contains__(self, shard: int) -> bool:
        return shard in self.by_shard

    def get(self, shard: int) -> PendingShard | None:
        """Return the pending shard, or None."""
        return self.by_shard.get(shard)

    def add(self, shard: int, deadline: float) -> PendingShard:
        """Add a shard and queue it for a request."""
        pending = self.by_shard[shard] = PendingShard(deadline)
        heapq.heappush(self.queue, (deadline, shard))
        return pending

    def requeue(self, shard: int, deadline: float) -> None:
        """Queue a shard again, with an earlier deadline or after its request has finished."""
        heapq.heappush(self.queue, (deadline, shard))

    def pop(self, shard: int) -> PendingShard:
        """Remove a shard; its queue item is dropped later."""
        return self.by_shard.pop(shard)

    def release_from(self, server: str, shards: list[int]) -> None:
        """Queue shards again after their request to this server has finished."""
        for shard in shards:
            pending = self.by_shard.get(shard)
            if pending is not None and pending.requested_from == server:
                pending.requested_from = None
                self.requeue(shard, pending.deadline)

    def has_requestable(self) -> bool:
        """Whether there are shards to request. Drops outdated queue items."""
        while self.queue:
            shard = self.queue[0][1]
            pending = self.by_shard.get(shard)
            if pending is not None and pending.requested_from is None and shard not in self.resident:
                return True
            heapq.heappop(self.queue)
        return False

    def pop_requestable(self, limit: int) -> list[int]:
        """Pop up to `limit` shards off the queue, the earliest deadline first."""
        popped: dict[int, None] = {}
        while len(popped) < limit and self.has_requestable():
            popped[heapq.heappop(self.queue)[1]] = None
        return list(popped)

    def time_left_ms(self, now: float, shard: int, limit_ms: float) -> float:
        """Return the time until the shard's deadline, from 0 to `limit_ms`."""
        return min(limit_ms, max(0.0, self.by_shard[shard].deadline - now) * 1e3)

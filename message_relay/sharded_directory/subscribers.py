"""Tracks the clients with a recent request: their shards, and the checksum over these. No I/O.

A change adds to the checksums of the clients that have its shard; a bitset for each shard has these clients.
With 3,500 clients, each at 2 of 8 servers, a server has 875, and a change in a shard that a tenth of them
have costs 90 additions.
"""

from __future__ import annotations

import heapq
import random
from array import array

from . import bitset
from .shard_table import ChecksumIncrease
from .wire import CHECKSUM_MASK, shard_number_hash

SUBSCRIPTION_S = 60.0  # after its last request a client gets digests for this time; it sends far more often
MAX_SUBSCRIBERS = (
    4_096  # above 3,500, a whole fleet at one server; more clients get responses, but no digests
)
DIGEST_INTERVAL_S = 3.0  # between digests to one client: three may be lost within the bound of 12 s
DIGEST_JITTER = 0.1  # of the interval, either way: spreads clients that started together
MAX_DIGESTS_PER_CALL = 64  # takes some 0.2 ms
MAX_TRACKED_SHARDS = 256  # in one change; above it the clients' checksums are recomputed when needed


class Subscriber:
    """A client that gets digests."""

    __slots__ = (
        "is_checksum_known",
        "name",
        "requested_at",
        "resident_shards",
        "rows_checksum",
        "shard_set_checksum",
        "slot",
    )

    def __init__(self, name: str, slot: int) -> None:
        self.name = name
        self.slot = slot
        self.resident_shards = 0  # bitset
        self.rows_checksum = 0
        self.shard_set_checksum = 0
        self.requested_at = 0.0
        self.is_checksum_known = True  # `rows_checksum` is up to date


class Subscribers:
    """All clients that get digests."""

    def __init__(self, shard_count: int, rng: random.Random) -> None:
        self.rng = rng
        self.slots_by_shard = [0] * shard_count  # bitsets of the slots of the clients that have the shard
        self.shard_hashes = array("Q", map(shard_number_hash, range(shard_count)))
        self.by_name: dict[str, Subscriber] = {}
        self.slots: list[Subscriber | None] = []
        self.free_slots: list[int] = []
        self.digest_queue: list[tuple[float, int]] = []  # heap of (time, slot) of the next digests
        self.update_count = 0  # updated checksums and bitsets: measures the cost of requests and changes

    def record_request(self, now: float, name: str, resident_shards: int, checksums: array[int]) -> None:
        """Record a client's request, and which shards it has."""
        subscriber = self.by_name.get(name) or self._add(now, name)
        if subscriber is not None:
            subscriber.requested_at = now
            self._set_resident_shards(subscriber, resident_shards, checksums)

    def _add(self, now: float, name: str) -> Subscriber | None:
        if len(self.by_name) >= MAX_SUBSCRIBERS:
            return None
        if not self.free_slots:
            self.free_slots.append(len(self.slots))
            self.slots.append(None)
        slot = self.free_slots.pop()
        subscriber = Subscriber(name, slot)
        self.by_name[name] = subscriber
        self.slots[slot] = subscriber
        heapq.heappush(self.digest_queue, (now + DIGEST_INTERVAL_S * self.rng.random(), slot))
        return subscriber

    def _set_resident_shards(
        self, subscriber: Subscriber, resident_shards: int, checksums: array[int]
    ) -> None:
        slot_bit = 1 << subscriber.slot
        for shard in bitset.set_bits(subscriber.resident_shards ^ resident_shards):
            self.update_count += 1
            sign = 1 if resident_shards >> shard & 1 else -1
            self.slots_by_shard[shard] ^= slot_bit
            subscriber.rows_checksum += sign * checksums[shard]
            subscriber.shard_set_checksum += sign * self.shard_hashes[shard]
        subscriber.rows_checksum &= CHECKSUM_MASK
        subscriber.shard_set_checksum &= CHECKSUM_MASK
        subscriber.resident_shards = resident_shards

    def add_to_checksums(self, increases: list[ChecksumIncrease]) -> None:
        """Add the increases of shards' checksums to the clients' checksums."""
        if len(increases) > MAX_TRACKED_SHARDS:
            for subscriber in self.by_name.values():
                subscriber.is_checksum_known = False
            return
        for shard, increase in increases:
            for slot in bitset.set_bits(self.slots_by_shard[shard]):
                affected = self.slots[slot]
                assert affected is not None
                self.update_count += 1
                affected.rows_checksum = affected.rows_checksum + increase & CHECKSUM_MASK

    def next_recipient(self, now: float, checksums: array[int]) -> Subscriber | None:
        """Return a client whose digest is due, with an up-to-date checksum; None if there is none."""
        while self.digest_queue and self.digest_queue[0][0] <= now:
            due_at, slot = heapq.heappop(self.digest_queue)
            subscriber = self.slots[slot]
            if subscriber is None:
                continue
            if now - subscriber.requested_at > SUBSCRIPTION_S:
                self._remove(subscriber)
                continue
            # Counted from the due time, but at least half an interval from now if this process was late.
            interval = DIGEST_INTERVAL_S * self.rng.uniform(1.0 - DIGEST_JITTER, 1.0 + DIGEST_JITTER)
            heapq.heappush(self.digest_queue, (max(due_at + interval, now + interval / 2), slot))
            if not subscriber.is_checksum_known:
                total = sum(checksums[shard] for shard in bitset.set_bits(subscriber.resident_shards))
                subscriber.rows_checksum = total & CHECKSUM_MASK
                subscriber.is_checksum_known = True
            return subscriber
        return None

    def _remove(self, subscriber: Subscriber) -> None:
        other_slots = ~(1 << subscriber.slot)
        for shard in bitset.set_bits(subscriber.resident_shards):
            self.slots_by_shard[shard] &= other_slots
        self.slots[subscriber.slot] = None
        self.free_slots.append(subscriber.slot)
        del self.by_name[subscriber.name]

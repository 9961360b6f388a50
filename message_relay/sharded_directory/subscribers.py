"""The readers that asked of late: what each said that it holds, and the sum of that. No I/O.

A change adds to the sums of those that hold its shard, which are found by one integer a shard: 3,500 readers
of 2 keepers each of 8 make 875 here, and a change in a shard that a tenth of them hold costs 90 additions.
"""

from __future__ import annotations

import heapq
import random
from array import array

from . import bitset
from .wire import CHECKSUM_MASK, shard_number_hash

SUBSCRIPTION_S = 60.0  # after its last ask a reader gets no more digests: each asks far more often than that
MAX_SUBSCRIBERS = 4_096  # past a fleet of 3,500, if one keeper had all: more get answers, but no digests
DIGEST_INTERVAL_S = 3.0  # between two digests to one reader: three may be lost within the bound of 12 s
DIGEST_JITTER = 0.1  # of that, either way: those that came together don't stay together
MAX_DIGESTS_PER_CALL = 64  # made in one call, some 0.2 ms
MAX_TRACKED_SHARDS = (
    256  # shards that change at once whose readers' sums are followed; else they are worked out anew
)


class Subscriber:
    """One reader."""

    __slots__ = (
        "name",
        "slot",
        "resident_shards",
        "rows_checksum",
        "shard_set_checksum",
        "requested_at",
        "is_checksum_known",
    )

    def __init__(self, name: str, slot: int) -> None:
        self.name, self.slot = name, slot
        self.resident_shards = self.rows_checksum = self.shard_set_checksum = 0
        self.requested_at = 0.0
        self.is_checksum_known = True  # `sum` is right


class Subscribers:
    def __init__(self, shards: int, rng: random.Random) -> None:
        self.rng = rng
        self.slots_by_shard = [0] * shards  # of each shard: by slot, who holds it
        self.shard_hashes = array("Q", map(shard_number_hash, range(shards)))
        self.by_name: dict[str, Subscriber] = {}
        self.slots: list[Subscriber | None] = []
        self.free_slots: list[int] = []
        self.digest_queue: list[tuple[float, int]] = []  # (when, slot) of the next digest, a heap
        self.update_count = 0  # sums and masks that were set, for tests of what an ask costs

    def record_request(self, now: float, name: str, holds: int, sums: array[int]) -> None:
        """It asked, and holds these."""
        reader = self.by_name.get(name) or self._add(now, name)
        if reader is not None:
            reader.requested_at = now
            self._set_resident_shards(reader, holds, sums)

    def _add(self, now: float, name: str) -> Subscriber | None:
        if len(self.by_name) >= MAX_SUBSCRIBERS:
            return None
        if not self.free_slots:
            self.free_slots.append(len(self.slots))
            self.slots.append(None)
        slot = self.free_slots.pop()
        reader = Subscriber(name, slot)
        self.by_name[name] = self.slots[slot] = reader
        heapq.heappush(self.digest_queue, (now + DIGEST_INTERVAL_S * self.rng.random(), slot))
        return reader

    def _set_resident_shards(self, reader: Subscriber, holds: int, sums: array[int]) -> None:
        mark = 1 << reader.slot
        for shard in bitset.set_bits(reader.resident_shards ^ holds):
            self.update_count += 1
            sign = 1 if holds >> shard & 1 else -1
            self.slots_by_shard[shard] ^= mark
            reader.rows_checksum += sign * sums[shard]
            reader.shard_set_checksum += sign * self.shard_hashes[shard]
        reader.rows_checksum &= CHECKSUM_MASK
        reader.shard_set_checksum &= CHECKSUM_MASK
        reader.resident_shards = holds

    def add_to_checksums(self, shards: list[tuple[int, int]]) -> None:
        """Sums of shards have grown by so much."""
        if len(shards) > MAX_TRACKED_SHARDS:
            for reader in self.by_name.values():
                reader.is_checksum_known = False
            return
        for shard, by in shards:
            for slot in bitset.set_bits(self.slots_by_shard[shard]):
                seen = self.slots[slot]
                assert seen is not None
                self.update_count += 1
                seen.rows_checksum = seen.rows_checksum + by & CHECKSUM_MASK

    def next_recipient(self, now: float, sums: array[int]) -> Subscriber | None:
        """Who gets a digest now, its sum being right; None: nobody yet."""
        while self.digest_queue and self.digest_queue[0][0] <= now:
            when, slot = heapq.heappop(self.digest_queue)
            seen = self.slots[slot]
            if seen is None:
                continue
            if now - seen.requested_at > SUBSCRIPTION_S:
                self._remove(seen)
                continue
            # From when it was due, unless this process was late: no two in a row for that.
            pause = DIGEST_INTERVAL_S * self.rng.uniform(1.0 - DIGEST_JITTER, 1.0 + DIGEST_JITTER)
            heapq.heappush(self.digest_queue, (max(when + pause, now + pause / 2), slot))
            if not seen.is_checksum_known:
                seen.rows_checksum = (
                    sum(sums[shard] for shard in bitset.set_bits(seen.resident_shards)) & CHECKSUM_MASK
                )
                seen.is_checksum_known = True
            return seen
        return None

    def _remove(self, reader: Subscriber) -> None:
        mark = ~(1 << reader.slot)
        for shard in bitset.set_bits(reader.resident_shards):
            self.slots_by_shard[shard] &= mark
        self.slots[reader.slot] = None
        self.free_slots.append(reader.slot)
        del self.by_name[reader.name]

"""The readers that asked of late: what each said that it holds, and the sum of that. No I/O.

A change adds to the sums of those that hold its shard, which are found by one integer a shard: 3,500 readers
of 2 keepers each of 8 make 875 here, and a change in a shard that a tenth of them hold costs 90 additions.
"""

from __future__ import annotations

import heapq
import random
from array import array

from . import bits
from .wire import SUM_MASK, shard_mark

READER_S = 60.0  # after its last ask a reader gets no more digests: each asks far more often than that
READERS_MOST = 4_096  # past a fleet of 3,500, if one keeper had all: more get answers, but no digests
DIGEST_S = 3.0  # between two digests to one reader: three may be lost within the bound of 12 s
JITTER = 0.1  # of that, either way: those that came together don't stay together
DIGESTS_CALL = 64  # made in one call, some 0.2 ms
SUMS_MOST = 256  # shards that change at once whose readers' sums are followed; else they are worked out anew


class Seen:
    """One reader."""

    __slots__ = ("name", "slot", "holds", "sum", "set_sum", "asked_at", "known")

    def __init__(self, name: str, slot: int) -> None:
        self.name, self.slot = name, slot
        self.holds = self.sum = self.set_sum = 0
        self.asked_at = 0.0
        self.known = True  # `sum` is right


class Subscribers:
    def __init__(self, shards: int, rng: random.Random) -> None:
        self.rng = rng
        self.masks = [0] * shards  # of each shard: by slot, who holds it
        self.marks = array("Q", map(shard_mark, range(shards)))
        self.readers: dict[str, Seen] = {}
        self.slots: list[Seen | None] = []
        self.free: list[int] = []
        self.due: list[tuple[float, int]] = []  # (when, slot) of the next digest, a heap
        self.touched = 0  # sums and masks that were set, for tests of what an ask costs

    def seen(self, now: float, name: str, holds: int, sums: array[int]) -> None:
        """It asked, and holds these."""
        reader = self.readers.get(name) or self._new(now, name)
        if reader is not None:
            reader.asked_at = now
            self._hold(reader, holds, sums)

    def _new(self, now: float, name: str) -> Seen | None:
        if len(self.readers) >= READERS_MOST:
            return None
        if not self.free:
            self.free.append(len(self.slots))
            self.slots.append(None)
        slot = self.free.pop()
        reader = Seen(name, slot)
        self.readers[name] = self.slots[slot] = reader
        heapq.heappush(self.due, (now + DIGEST_S * self.rng.random(), slot))
        return reader

    def _hold(self, reader: Seen, holds: int, sums: array[int]) -> None:
        mark = 1 << reader.slot
        for shard in bits.numbers(reader.holds ^ holds):
            self.touched += 1
            sign = 1 if holds >> shard & 1 else -1
            self.masks[shard] ^= mark
            reader.sum += sign * sums[shard]
            reader.set_sum += sign * self.marks[shard]
        reader.sum &= SUM_MASK
        reader.set_sum &= SUM_MASK
        reader.holds = holds

    def grown(self, shards: list[tuple[int, int]]) -> None:
        """Sums of shards have grown by so much."""
        if len(shards) > SUMS_MOST:
            for reader in self.readers.values():
                reader.known = False
            return
        for shard, by in shards:
            for slot in bits.numbers(self.masks[shard]):
                seen = self.slots[slot]
                assert seen is not None
                self.touched += 1
                seen.sum = seen.sum + by & SUM_MASK

    def next_due(self, now: float, sums: array[int]) -> Seen | None:
        """Who gets a digest now, its sum being right; None: nobody yet."""
        while self.due and self.due[0][0] <= now:
            when, slot = heapq.heappop(self.due)
            seen = self.slots[slot]
            if seen is None:
                continue
            if now - seen.asked_at > READER_S:
                self._forget(seen)
                continue
            # From when it was due, unless this process was late: no two in a row for that.
            pause = DIGEST_S * self.rng.uniform(1.0 - JITTER, 1.0 + JITTER)
            heapq.heappush(self.due, (max(when + pause, now + pause / 2), slot))
            if not seen.known:
                seen.sum = sum(sums[shard] for shard in bits.numbers(seen.holds)) & SUM_MASK
                seen.known = True
            return seen
        return None

    def _forget(self, reader: Seen) -> None:
        mark = ~(1 << reader.slot)
        for shard in bits.numbers(reader.holds):
            self.masks[shard] &= mark
        self.slots[reader.slot] = None
        self.free.append(reader.slot)
        del self.readers[reader.name]

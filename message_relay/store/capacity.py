"""Whether there is room, and how quickly old segments are given up. No I/O.

All is counted as the platform counts: each file in whole blocks. `total` is an upper bound of what all
messages that are known would take if each were written anew, with the records that those not yet ended may
still need. A message is taken only if that fits beside `spare`; and only giving up a segment may use the
spare, which is as large as what it can have to copy. So there is always room to give one up, doing so with
all of them leaves room for all that is owed, and a message that was taken can always be ended."""

from __future__ import annotations

BLOCK = 512
LARGEST = 70 * 1024  # of a frame: a body of 64 KiB, names and numbers
LEAST, MOST = 32 * 1024, 4 << 20  # bytes of a segment
PARTS = 24  # a segment is such a part of the room
CENSUS = 8  # a census takes such a part of a segment at most
# for the records of a message still open: 8 attempts, their ends, its own; of a notice
COUNTED = 8000  # ids at the most, or there is no census: counting more takes too long for one turn
OPEN, OWED = 2048, 128
ROOMY = 384 * 1024  # nothing is given up below this, nor below FULL times what is known: most dies by itself
FULL = 4
SLICE = 12 * 1024  # bytes copied in one go, or one record: some 1 ms of the loop
FILES = 32  # more segments than this are too many: each start makes one
RATES = ((5 / 6, 4), (2 / 3, 2))  # above such a part of the room so many bytes are copied for one written


def blocks(size: int) -> int:
    return -(-size // BLOCK) * BLOCK


class DiskCapacity:
    def __init__(self, budget: int) -> None:
        """`budget`: bytes on the disk, over all segments."""
        self.budget = budget // BLOCK * BLOCK
        self.segment = min(MOST, max(LEAST, self.budget // PARTS))
        self.spare = self.segment + LARGEST + 4 * BLOCK
        self.usable = self.budget - self.spare
        self.roomy, self.high = min(ROOMY, self.budget // 2), self.budget * RATES[-1][0]

    def takes(self, total: int, more: int) -> bool:
        """Whether another message fits that takes so much, records to come included."""
        every = total + more
        overhead = every // CENSUS + (every // self.segment + 4) * 2 * BLOCK
        return every + overhead + self.spare <= self.budget

    def short(self, used: int, more: int) -> bool:
        """Whether segments have to be given up before so much can be written."""
        return used + more > self.usable

    def quota(self, used: int, total: int, files: int, written: int) -> int:
        """How many bytes may be copied, now that so many were written; in proportion, so that no write waits
        for much of it, and more as room falls."""
        if files <= FILES and used <= self.high and used <= max(self.roomy, FULL * total):
            return 0
        rate = next((rate for part, rate in RATES if used > self.budget * part), 1)
        return rate * written

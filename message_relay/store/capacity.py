"""Whether there is room, and how quickly old segments are given up. No I/O.

All is counted as the platform counts: each file in whole blocks. `total` is an upper bound of what all
messages that are known would take if each were written anew, with the records that those not yet ended may
still need. A message is taken only if that fits beside `spare`; and only giving up a segment may use the
spare, which is as large as what it can have to copy. So there is always room to give one up, doing so with
all of them leaves room for all that is owed, and a message that was taken can always be ended."""

from __future__ import annotations

BLOCK_BYTES = 512
MAX_RECORD_BYTES = 70 * 1024  # of a frame: a body of 64 KiB, names and numbers
MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES = 32 * 1024, 4 << 20  # bytes of a segment
SEGMENTS_PER_BUDGET = 24  # a segment is such a part of the room
UNFINISHED_IDS_PER_SEGMENT = 8  # a census takes such a part of a segment at most
# for the records of a message still open: 8 attempts, their ends, its own; of a notice
MAX_UNFINISHED_IDS = 8000  # ids at the most, or there is no census: counting more takes too long for one turn
OPEN_MESSAGE_RESERVE_BYTES, NOTIFICATION_RESERVE_BYTES = 2048, 128
COMPACTION_FLOOR_BYTES = (
    384 * 1024
)  # nothing is given up below this, nor below FULL times what is known: most dies by itself
COMPACTION_LIVE_FACTOR = 4
COPY_SLICE_BYTES = 12 * 1024  # bytes copied in one go, or one record: some 1 ms of the loop
MAX_SEGMENT_FILES = 32  # more segments than this are too many: each start makes one
COPY_RATES = (
    (5 / 6, 4),
    (2 / 3, 2),
)  # above such a part of the room so many bytes are copied for one written


def rounded_to_blocks(size: int) -> int:
    return -(-size // BLOCK_BYTES) * BLOCK_BYTES


class DiskCapacity:
    def __init__(self, budget: int) -> None:
        """`budget`: bytes on the disk, over all segments."""
        self.budget_bytes = budget // BLOCK_BYTES * BLOCK_BYTES
        self.segment_bytes = min(
            MAX_SEGMENT_BYTES, max(MIN_SEGMENT_BYTES, self.budget_bytes // SEGMENTS_PER_BUDGET)
        )
        self.reserve_bytes = self.segment_bytes + MAX_RECORD_BYTES + 4 * BLOCK_BYTES
        self.usable_bytes = self.budget_bytes - self.reserve_bytes
        self.compaction_floor_bytes, self.high_water_bytes = (
            min(COMPACTION_FLOOR_BYTES, self.budget_bytes // 2),
            self.budget_bytes * COPY_RATES[-1][0],
        )

    def can_accept(self, total: int, more: int) -> bool:
        """Whether another message fits that takes so much, records to come included."""
        every = total + more
        overhead = every // UNFINISHED_IDS_PER_SEGMENT + (every // self.segment_bytes + 4) * 2 * BLOCK_BYTES
        return every + overhead + self.reserve_bytes <= self.budget_bytes

    def must_compact(self, used: int, more: int) -> bool:
        """Whether segments have to be given up before so much can be written."""
        return used + more > self.usable_bytes

    def copy_quota(self, used: int, total: int, files: int, written: int) -> int:
        """How many bytes may be copied, now that so many were written; in proportion, so that no write waits
        for much of it, and more as room falls."""
        if (
            files <= MAX_SEGMENT_FILES
            and used <= self.high_water_bytes
            and used <= max(self.compaction_floor_bytes, COMPACTION_LIVE_FACTOR * total)
        ):
            return 0
        rate = next((rate for part, rate in COPY_RATES if used > self.budget_bytes * part), 1)
        return rate * written

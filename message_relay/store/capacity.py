"""Disk budget of the journal: whether another message fits, and how much compaction copies when. No I/O.

All sizes are counted as the platform counts them: each file in whole blocks. The live bytes are an upper
bound of what all known messages would occupy if each was written again, with the records that unfinished ones
may still need. A message is accepted only if that fits beside the reserve; only compaction may use the
reserve, which is as large as what freeing one segment may have to copy. So there is always space to free
one, freeing all of them leaves space for all that is unfinished, and an accepted message can always be
finished."""

from __future__ import annotations

from .record_format import frame_size
from .records import JournalEntry

BLOCK_BYTES = 512
MAX_RECORD_BYTES = 70 * 1024  # of a frame: a body of 64 KiB, names and numbers
MIN_SEGMENT_BYTES = 32 * 1024
MAX_SEGMENT_BYTES = 4 << 20
SEGMENTS_PER_BUDGET = 24  # a segment may grow to such a part of the budget
UNFINISHED_IDS_PER_SEGMENT = 8  # the list of unfinished ids takes such a part of a segment at most
MAX_UNFINISHED_IDS = 8000  # with more there is no list: making it takes too long for one turn of the loop
SNAPSHOT_FIXED_BYTES = 96  # of a snapshot: its numbers, flags and lengths
ATTEMPT_FIXED_BYTES = 24  # of an attempt in a snapshot: its numbers and lengths
OPEN_MESSAGE_RESERVE_BYTES = 2048  # for records to come: 8 attempts, their outcomes, the final outcome
NOTIFICATION_RESERVE_BYTES = 128  # for the record of a notification
# Nothing is compacted below this, nor below so many times the live bytes: most records become garbage soon.
COMPACTION_FLOOR_BYTES = 384 * 1024
COMPACTION_LIVE_FACTOR = 4
COPY_SLICE_BYTES = 12 * 1024  # copied at once, or one record: some 1 ms of the loop
MAX_SEGMENT_FILES = 32  # above it compaction begins regardless of sizes: each start makes a segment
COPY_RATES = ((5 / 6, 4), (2 / 3, 2))  # (used part of the budget, bytes copied for each one written)


def rounded_to_blocks(size: int) -> int:
    """Bytes that a file of this size occupies on the disk."""
    return -(-size // BLOCK_BYTES) * BLOCK_BYTES


def max_disk_bytes(entry: JournalEntry) -> int:
    """At most what a message's snapshot and all records that may still come occupy.

    The attempts of an unfinished message count among the records to come."""
    texts = f"{entry.class_name}{entry.tenant}{entry.key}{entry.resubmission}{entry.origin}"
    id_size = len(entry.id.encode())
    payload_size = SNAPSHOT_FIXED_BYTES + len(texts.encode())
    if not entry.final_state:
        return frame_size(id_size, payload_size + len(entry.body)) + OPEN_MESSAGE_RESERVE_BYTES
    # A message may end while its attempt is out: the snapshot holds that attempt until its outcome comes.
    for attempt in (entry.attempt_in_flight, entry.uncertain_attempt):
        if attempt is not None:
            payload_size += ATTEMPT_FIXED_BYTES + len(attempt.endpoint.encode())
    reserve = NOTIFICATION_RESERVE_BYTES if entry.needs_notification else 0
    return frame_size(id_size, payload_size) + reserve


class DiskCapacity:
    """The budget and the limits that follow from it, all in bytes on the disk."""

    def __init__(self, budget_bytes: int) -> None:
        """`budget_bytes`: for all segments together."""
        self.budget_bytes = budget_bytes // BLOCK_BYTES * BLOCK_BYTES
        part_of_budget = self.budget_bytes // SEGMENTS_PER_BUDGET
        self.segment_bytes = min(MAX_SEGMENT_BYTES, max(MIN_SEGMENT_BYTES, part_of_budget))
        self.reserve_bytes = self.segment_bytes + MAX_RECORD_BYTES + 4 * BLOCK_BYTES
        self.usable_bytes = self.budget_bytes - self.reserve_bytes
        self.compaction_floor_bytes = min(COMPACTION_FLOOR_BYTES, self.budget_bytes // 2)
        self.high_water_bytes = self.budget_bytes * COPY_RATES[-1][0]

    def can_accept(self, live_bytes: int, added_bytes: int) -> bool:
        """Whether another message of that size fits, records to come included."""
        total = live_bytes + added_bytes
        segment_count = total // self.segment_bytes + 4
        overhead = total // UNFINISHED_IDS_PER_SEGMENT + segment_count * 2 * BLOCK_BYTES
        return total + overhead + self.reserve_bytes <= self.budget_bytes

    def must_compact(self, used_bytes: int, added_bytes: int) -> bool:
        """Whether segments have to be freed before so much can be written."""
        return used_bytes + added_bytes > self.usable_bytes

    def copy_quota(self, used_bytes: int, live_bytes: int, file_count: int, written_bytes: int) -> int:
        """How many bytes may be copied, now that so many were written.

        It is in proportion, so that no write waits for much of it, and more as space gets short."""
        if (
            file_count <= MAX_SEGMENT_FILES
            and used_bytes <= self.high_water_bytes
            and used_bytes <= max(self.compaction_floor_bytes, COMPACTION_LIVE_FACTOR * live_bytes)
        ):
            return 0
        rate = next((rate for part, rate in COPY_RATES if used_bytes > self.budget_bytes * part), 1)
        return rate * written_bytes

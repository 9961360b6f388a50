"""Disk budget of the journal: decides whether another message fits, and how much compaction copies. No I/O.

Sizes are in whole disk blocks per file, which is how the platform counts disk usage. The live bytes are an
upper bound of what all known messages would occupy if each was rewritten, including the records that
unfinished messages may still need. A message is accepted only if the live bytes fit into the budget without
the reserve. Only compaction may use the reserve, which is as large as the most that freeing one segment may
have to copy. Hence there is always space to free a segment, freeing all segments leaves space for all
unfinished messages, and an accepted message can always be finished."""

from __future__ import annotations

from .record_format import frame_size
from .records import JournalEntry

BLOCK_BYTES = 512
# Memory of a known message beside its texts and its body, which the size on the disk covers: objects of the
# entry, of the tables of the journal, and of the scheduler while it is pending.
MESSAGE_OBJECT_BYTES = 1_100
MAX_RECORD_BYTES = 70 * 1024  # upper bound for a frame: a body of 64 KiB, names and numbers
MIN_SEGMENT_BYTES = 32 * 1024
MAX_SEGMENT_BYTES = 4 << 20
SEGMENTS_PER_BUDGET = 24  # a segment may grow to the budget divided by this
UNFINISHED_IDS_SEGMENT_DIVISOR = 8  # the list of unfinished ids takes at most a segment divided by this
MAX_UNFINISHED_IDS = 8000  # above this no list is written: building it would block the event loop too long
SNAPSHOT_FIXED_BYTES = 96  # numbers, flags and length fields of a snapshot
ATTEMPT_FIXED_BYTES = 24  # numbers and length fields of an attempt in a snapshot
OPEN_MESSAGE_RESERVE_BYTES = 2048  # for later records: 8 attempts, their outcomes, the final outcome
NOTIFICATION_RESERVE_BYTES = 128  # for the record of a notification
# No compaction below this size or below this multiple of the live bytes: most records soon become garbage.
COMPACTION_FLOOR_BYTES = 384 * 1024
COMPACTION_LIVE_FACTOR = 4
COPY_SLICE_BYTES = 12 * 1024  # copied per call, or one larger record: about 1 ms of event loop time
MAX_SEGMENT_FILES = 32  # above this, compaction ignores sizes: each process start adds a segment
COPY_RATES = ((5 / 6, 4), (2 / 3, 2))  # (used share of the budget, bytes copied per byte written)


def rounded_to_blocks(size: int) -> int:
    """Return the bytes that a file of this size occupies on the disk."""
    return -(-size // BLOCK_BYTES) * BLOCK_BYTES


def max_disk_bytes(entry: JournalEntry) -> int:
    """Return an upper bound for a message's snapshot and all its later records.

    The attempts of an unfinished message are counted as later records."""
    texts = f"{entry.class_name}{entry.tenant}{entry.key}{entry.resubmission}{entry.origin}"
    id_size = len(entry.id.encode())
    payload_size = SNAPSHOT_FIXED_BYTES + len(texts.encode())
    handover_reserve = frame_size(id_size, 0) if entry.awaits_handover else 0  # HANDED_OVER or CANCELLED
    if not entry.final_state:
        reserve = OPEN_MESSAGE_RESERVE_BYTES + handover_reserve
        return frame_size(id_size, payload_size + len(entry.body)) + reserve
    # A message may finish during an attempt: its snapshot contains the attempt until the outcome is recorded.
    for attempt in (entry.attempt_in_flight, entry.uncertain_attempt):
        if attempt is not None:
            payload_size += ATTEMPT_FIXED_BYTES + len(attempt.endpoint.encode())
    reserve = NOTIFICATION_RESERVE_BYTES if entry.needs_notification else 0
    return frame_size(id_size, payload_size) + reserve + handover_reserve


class DiskCapacity:
    """The budget and the limits derived from it, all in bytes on the disk."""

    def __init__(self, budget_bytes: int) -> None:
        """`budget_bytes`: limit for all segments together."""
        self.budget_bytes = budget_bytes // BLOCK_BYTES * BLOCK_BYTES
        budget_fraction = self.budget_bytes // SEGMENTS_PER_BUDGET
        self.segment_bytes = min(MAX_SEGMENT_BYTES, max(MIN_SEGMENT_BYTES, budget_fraction))
        self.reserve_bytes = self.segment_bytes + MAX_RECORD_BYTES + 4 * BLOCK_BYTES
        self.usable_bytes = self.budget_bytes - self.reserve_bytes
        self.compaction_floor_bytes = min(COMPACTION_FLOOR_BYTES, self.budget_bytes // 2)
        self.high_water_bytes = self.budget_bytes * COPY_RATES[-1][0]

    def can_accept(self, live_bytes: int, added_bytes: int) -> bool:
        """Return whether another message fits; `added_bytes` includes its later records."""
        total = live_bytes + added_bytes
        segment_count = total // self.segment_bytes + 4
        overhead = total // UNFINISHED_IDS_SEGMENT_DIVISOR + segment_count * 2 * BLOCK_BYTES
        return total + overhead + self.reserve_bytes <= self.budget_bytes

    def must_compact(self, used_bytes: int, added_bytes: int) -> bool:
        """Return whether segments must be freed before `added_bytes` can be written."""
        return used_bytes + added_bytes > self.usable_bytes

    def copy_quota(self, used_bytes: int, live_bytes: int, file_count: int, written_bytes: int) -> int:
        """Return how many bytes compaction may copy after `written_bytes` were written.

        The quota is proportional to the writes, so that no single write waits for much copying, and the
        ratio grows as space runs short."""
        if (
            file_count <= MAX_SEGMENT_FILES
            and used_bytes <= self.high_water_bytes
            and used_bytes <= max(self.compaction_floor_bytes, COMPACTION_LIVE_FACTOR * live_bytes)
        ):
            return 0
        rate = next((rate for share, rate in COPY_RATES if used_bytes > self.budget_bytes * share), 1)
        return rate * written_bytes

"""Segments of the journal: file names and properties. No I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from .capacity import rounded_to_blocks

SEGMENT_FILE_NAME = re.compile(r"seg-(\d{10})")


def segment_name(number: int) -> str:
    """The file name of a segment."""
    return f"seg-{number:010}"


@dataclass(slots=True)
class Segment:
    """One file of the journal."""

    number: int
    size: int = 0  # bytes up to the end of the last complete record
    file_size: int = 0  # bytes of the file when it was last checked; 0: not checked
    checksum: int = 0  # CRC-32 of the first `size` bytes
    salt: int = 0
    live_ids: dict[str, None] = field(default_factory=dict)  # messages with their latest snapshot here
    is_damaged: bool = False

    @property
    def name(self) -> str:
        """The file name."""
        return segment_name(self.number)

    @property
    def disk_bytes(self) -> int:
        """Bytes that the file occupies on the disk, in whole blocks."""
        return rounded_to_blocks(max(self.file_size, self.size))

"""The byte format of segments and records (format 2). Encodes records, finds records and damage. No I/O.

A segment begins with its header, twice:

    "LNST"  u16 version  u16 0  u64 number  u64 first record's sequence
    u32 length and u32 checksum of the previous segment (0 and 0 in the first one)  u32 salt  u32 checksum

A record is a frame. All checksums of frames are CRC-32 with the segment's salt as initial value: bytes that
a client put into a body cannot be mistaken for a frame when the reader, after damage, searches for the next
one.

    u16 magic  u8 kind  u8 length of id  u32 length of payload  u64 sequence
    id  u32 checksum of all of the above
    payload  u32 checksum of the payload
    id  u8 length of id  u8 kind  u32 checksum of these three

The id is on both sides of the payload, with a checksum on each, so that the message of an unreadable record
is known as long as one of its ends is intact. Records are numbered without gaps over all segments, so that
the number of missing records is known. An incomplete record at the very end of the last segment is a torn
write, which was never promised to a client or the platform; in any other place it is damage."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple
from zlib import crc32

from .errors import UnsupportedFormatError

VERSION = 2  # 1: a single file `journal` (format_v1.py)
MAGIC = b"LNST"
HEADER = struct.Struct("<4sHHQQIII")
CHECKSUM = struct.Struct("<I")
HEADER_COPY_BYTES = HEADER.size + CHECKSUM.size
HEADER_BYTES = 2 * HEADER_COPY_BYTES
FRAME_MARK = 0xC5A9
FRAME_MARK_BYTES = FRAME_MARK.to_bytes(2, "little")
FRAME_HEAD = struct.Struct("<HBBIQ")
FRAME_TAIL = struct.Struct("<BBI")
FRAME_FIXED_BYTES = FRAME_HEAD.size + 2 * CHECKSUM.size + FRAME_TAIL.size  # without ids and payload
MAX_PAYLOAD_BYTES = 1 << 20  # no payload is longer: a larger length is damage


@dataclass(frozen=True, slots=True)
class Header:
    """The header of a segment."""

    segment_number: int
    first_sequence: int  # sequence of its first record
    previous_size: int  # valid bytes of the previous segment
    previous_checksum: int  # of these bytes
    salt: int

    def encode(self) -> bytes:
        """Return both copies of the header, with their checksums."""
        copy = HEADER.pack(
            MAGIC,
            VERSION,
            0,
            self.segment_number,
            self.first_sequence,
            self.previous_size,
            self.previous_checksum,
            self.salt,
        )
        return 2 * (copy + CHECKSUM.pack(crc32(copy)))


def decode_header(data: bytes) -> Header | None:
    """Decodes whichever copy is intact; None if neither is. Raises UnsupportedFormatError."""
    for offset in (0, HEADER_COPY_BYTES):
        copy = data[offset : offset + HEADER.size]
        checksum = data[offset + HEADER.size : offset + HEADER_COPY_BYTES]
        if len(checksum) < CHECKSUM.size or CHECKSUM.unpack(checksum)[0] != crc32(copy):
            continue
        magic, version, _, *fields = HEADER.unpack(copy)
        if magic == MAGIC and version > VERSION:
            raise UnsupportedFormatError(f"its format is {version}, and this program knows {VERSION} at most")
        if magic == MAGIC:
            return Header(*fields)
    return None


def salvage_header(data: bytes, number: int, sequence: int) -> Header | None:
    """Reconstructs a header whose copies are both corrupt: its salt is valid if it verifies some frame.

    `sequence`: sequence of the first expected record."""
    for offset in (0, HEADER_COPY_BYTES):
        copy = data[offset : offset + HEADER.size]
        if len(copy) == HEADER.size:
            salt = HEADER.unpack(copy)[-1]
            if _find_frame(data, salt, 0, HEADER_BYTES) is not None:
                return Header(number, sequence, 0, 0, salt)
    return None


def encode_frame(salt: int, sequence: int, kind: int, message_id: bytes, payload: bytes) -> bytes:
    """Return the encoded record."""
    head = FRAME_HEAD.pack(FRAME_MARK, kind, len(message_id), len(payload), sequence) + message_id
    tail = message_id + bytes((len(message_id), kind))
    return b"".join(
        (
            head,
            CHECKSUM.pack(crc32(head, salt)),
            payload,
            CHECKSUM.pack(crc32(payload, salt)),
            tail,
            CHECKSUM.pack(crc32(tail, salt)),
        )
    )


def frame_size(id_size: int, payload_size: int) -> int:
    """Return the size of a record's frame in bytes."""
    return FRAME_FIXED_BYTES + 2 * id_size + payload_size


class Record(NamedTuple):
    """A record whose checksums match."""

    sequence: int
    kind: int
    message_id: bytes
    payload: bytes
    offset: int  # start of its frame
    end: int


@dataclass(frozen=True, slots=True)
class CorruptRecord:
    """A record with an unreadable payload; its message and kind are known."""

    sequence: int
    kind: int
    message_id: bytes
    offset: int
    end: int


@dataclass(frozen=True, slots=True)
class UnreadableRange:
    """A range of unreadable bytes, and the minimum number of records that it contained."""

    offset: int
    end: int
    lost_records: int


@dataclass(frozen=True, slots=True)
class TornWrite:
    """The last write, if it is incomplete."""

    offset: int
    end: int


ScanResult = Record | CorruptRecord | UnreadableRange | TornWrite


class _FrameHead(NamedTuple):
    """An intact head of a frame; offsets are into the segment. The frame may extend beyond its end."""

    offset: int
    sequence: int
    kind: int
    payload_start: int
    payload_end: int
    end: int


class _FrameTail(NamedTuple):
    """An intact tail of a frame."""

    kind: int
    message_id: bytes


def scan_records(
    data: bytes, salt: int, sequence: int, is_last: bool, offset: int = HEADER_BYTES
) -> Iterator[ScanResult]:
    """Yields everything that follows the header, in order.

    `sequence`: sequence of the first record; `is_last`: this is the last segment, which may end in a torn
    write."""
    size = len(data)
    while offset < size:
        head = _frame_head_at(data, salt, offset)
        is_complete = head is not None and head.end <= size
        if head is not None and head.sequence == sequence:
            if is_complete:
                yield _decode_record(data, salt, head)
                offset = head.end
                sequence += 1
                continue
            if is_last:
                yield TornWrite(offset, size)
                return
        following = _find_frame(data, salt, sequence, offset if is_complete else offset + 1)
        if following is None:
            yield _unreadable_end(data, salt, sequence, is_last, offset)
            return
        yield from _unreadable_between(data, salt, sequence, offset, following)
        offset = following.offset
        sequence = following.sequence


def _frame_head_at(data: bytes, salt: int, offset: int) -> _FrameHead | None:
    """Return the head of the frame at this offset; None if there is none with a matching checksum."""
    if offset + FRAME_HEAD.size > len(data):
        return None
    mark, kind, id_size, payload_size, sequence = FRAME_HEAD.unpack_from(data, offset)
    payload_start = offset + FRAME_HEAD.size + id_size + CHECKSUM.size
    if mark != FRAME_MARK or payload_size > MAX_PAYLOAD_BYTES or payload_start > len(data):
        return None
    checksum_offset = payload_start - CHECKSUM.size
    if CHECKSUM.unpack_from(data, checksum_offset)[0] != crc32(data[offset:checksum_offset], salt):
        return None
    payload_end = payload_start + payload_size
    end = payload_end + CHECKSUM.size + id_size + FRAME_TAIL.size
    return _FrameHead(offset, sequence, kind, payload_start, payload_end, end)


def _decode_record(data: bytes, salt: int, head: _FrameHead) -> Record | CorruptRecord:
    """Return the record of a frame that lies completely in the segment."""
    message_id = data[head.offset + FRAME_HEAD.size : head.payload_start - CHECKSUM.size]
    payload = data[head.payload_start : head.payload_end]
    if CHECKSUM.unpack_from(data, head.payload_end)[0] != crc32(payload, salt):
        return CorruptRecord(head.sequence, head.kind, message_id, head.offset, head.end)
    return Record(head.sequence, head.kind, message_id, payload, head.offset, head.end)


def _unreadable_between(
    data: bytes, salt: int, sequence: int, offset: int, following: _FrameHead
) -> Iterator[ScanResult]:
    """Yields what is known of the bytes before the next intact frame; `sequence`: of the expected record."""
    end = following.offset
    lost_records = following.sequence - sequence
    tail = _frame_tail_before(data, salt, end, offset)
    if tail is None:
        yield UnreadableRange(offset, end, lost_records)
    elif lost_records == 1:
        yield CorruptRecord(sequence, tail.kind, tail.message_id, offset, end)
    else:
        yield UnreadableRange(offset, end, lost_records - 1)
        yield CorruptRecord(following.sequence - 1, tail.kind, tail.message_id, end, end)


def _unreadable_end(data: bytes, salt: int, sequence: int, is_last: bool, offset: int) -> ScanResult:
    """Return what is known of the bytes after the last intact frame."""
    end = len(data)
    tail = _frame_tail_before(data, salt, end, offset)
    if tail is not None:  # a complete record was written, so this is not a torn write
        return CorruptRecord(sequence, tail.kind, tail.message_id, offset, end)
    if is_last:
        return TornWrite(offset, end)
    return UnreadableRange(offset, end, 1)


def _find_frame(data: bytes, salt: int, sequence: int, offset: int) -> _FrameHead | None:
    """Return the next frame from `offset` on with an intact head and at least the given sequence."""
    while (offset := data.find(FRAME_MARK_BYTES, offset)) >= 0:
        head = _frame_head_at(data, salt, offset)
        if head is not None and head.sequence >= sequence:
            return head
        offset += 1
    return None


def _frame_tail_before(data: bytes, salt: int, end: int, lowest_offset: int) -> _FrameTail | None:
    """Return the tail of the frame that ends at `end`; None if there is none with a matching checksum."""
    if end - FRAME_TAIL.size < lowest_offset:
        return None
    id_size, kind, checksum = FRAME_TAIL.unpack_from(data, end - FRAME_TAIL.size)
    start = end - FRAME_TAIL.size - id_size
    if start < lowest_offset or checksum != crc32(data[start : end - CHECKSUM.size], salt):
        return None
    return _FrameTail(kind, data[start : start + id_size])

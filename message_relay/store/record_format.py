"""How segments and records lie in bytes. No I/O: bytes in, pieces out.

A segment begins with its header, twice:

    "LNST"  u16 version  u16 0  u64 number  u64 first record's sequence
    u32 length and u32 checksum of the segment before it (0 and 0: it is the first)  u32 salt  u32 checksum

A record is a frame. All checksums of frames are CRC-32 that begin with the segment's salt: bytes that a
client put into a body cannot pass for a frame when damage has the reader look for the next one.

    u16 magic  u8 kind  u8 length of id  u32 length of payload  u64 sequence
    id  u32 checksum of all before
    payload  u32 checksum of the payload
    id  u8 length of id  u8 kind  u32 checksum of these three

The id stands on both sides of the payload with checksums of its own, since a record that can't be read still
concerns somebody: where only one of the ends is well, it is known whom. Records are numbered without gaps
over all segments, so that it is known how many are missing. What is not whole at the very end of the last
segment is the torn tail of a write that nobody was told of; the same in any other place is damage."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple
from zlib import crc32

from .errors import UnsupportedFormatError

VERSION = 2  # 1: the one file `journal` (legacy.py)
MAGIC = b"LNST"
HEADER = struct.Struct("<4sHHQQIII")
CHECK = struct.Struct("<I")
HEADER_BYTES = 2 * (HEADER.size + CHECK.size)
MARK = 0xC5A9
MARK_BYTES = MARK.to_bytes(2, "little")
HEAD = struct.Struct("<HBBIQ")
TAIL = struct.Struct("<BBI")
FRAME_BYTES = HEAD.size + 2 * CHECK.size + TAIL.size  # and twice the id, and the payload
PAYLOAD_BYTES = 1 << 20  # no payload is longer: a length above it is damage


@dataclass(frozen=True, slots=True)
class Header:
    segment_number: int
    first_sequence: int  # sequence of its first record
    previous_size: int
    previous_checksum: int
    salt: int

    def encode(self) -> bytes:
        one = HEADER.pack(
            MAGIC,
            VERSION,
            0,
            self.segment_number,
            self.first_sequence,
            self.previous_size,
            self.previous_checksum,
            self.salt,
        )
        return 2 * (one + CHECK.pack(crc32(one)))


def decode_header(data: bytes) -> Header | None:
    """From whichever copy is well; None: neither. Raises NewerFormat."""
    for at in (0, HEADER_BYTES // 2):
        one = data[at : at + HEADER.size]
        check = data[at + HEADER.size : at + HEADER_BYTES // 2]
        if len(check) < CHECK.size or CHECK.unpack(check)[0] != crc32(one):
            continue
        magic, version, _, *rest = HEADER.unpack(one)
        if magic == MAGIC and version > VERSION:
            raise UnsupportedFormatError(f"its format is {version}, and this program knows {VERSION} at most")
        if magic == MAGIC:
            return Header(*rest)
    return None


def salvage_header(data: bytes, number: int, sequence: int) -> Header | None:
    """Where both copies of a header are hurt: the salt is right under which frames are well. `sequence`: of
    the first record that is expected."""
    for at in (0, HEADER_BYTES // 2):
        raw = data[at : at + HEADER.size]
        if len(raw) == HEADER.size:
            salt = HEADER.unpack(raw)[-1]
            if _next(data, salt, 0, HEADER_BYTES) is not None:
                return Header(number, sequence, 0, 0, salt)
    return None


def encode_frame(salt: int, sequence: int, kind: int, ident: bytes, payload: bytes) -> bytes:
    head = HEAD.pack(MARK, kind, len(ident), len(payload), sequence) + ident
    ends = ident + bytes((len(ident), kind))
    return b"".join(
        (
            head,
            CHECK.pack(crc32(head, salt)),
            payload,
            CHECK.pack(crc32(payload, salt)),
            ends,
            CHECK.pack(crc32(ends, salt)),
        )
    )


def frame_size(ident: int, payload: int) -> int:
    return FRAME_BYTES + 2 * ident + payload


class Record(NamedTuple):
    sequence: int
    kind: int
    message_id: bytes
    payload: bytes
    offset: int  # where its frame begins
    end: int


@dataclass(frozen=True, slots=True)
class CorruptRecord:
    """One record whose payload can't be read: whom it concerns, and of which kind it was, is known."""

    sequence: int
    kind: int
    message_id: bytes
    offset: int
    end: int


@dataclass(frozen=True, slots=True)
class UnreadableRange:
    """Bytes that can't be read at all, and how many records were in them, at least as far as can be told."""

    offset: int
    end: int
    lost_records: int


@dataclass(frozen=True, slots=True)
class TornWrite:
    """The end of the last write, which did not become whole."""

    offset: int
    end: int


ScanResult = Record | CorruptRecord | UnreadableRange | TornWrite


def scan_records(
    data: bytes, salt: int, sequence: int, last: bool, at: int = HEADER_BYTES
) -> Iterator[ScanResult]:
    """Everything behind the header. `sequence`: that of the first record; `last`: it may have a torn tail."""
    size, unpack, crc = len(data), HEAD.unpack_from, crc32
    while at < size:
        whole = None
        if at + HEAD.size <= size:
            mark, kind, length, payload, number = unpack(data, at)
            begin = at + HEAD.size + length + 4
            end = begin + payload + 4 + length + TAIL.size
            if (
                mark == MARK
                and payload <= PAYLOAD_BYTES
                and begin <= size
                and CHECK.unpack_from(data, begin - 4)[0] == crc(data[at : begin - 4], salt)
            ):
                whole = end <= size
        if whole and number == sequence:
            body, ident = data[begin : begin + payload], data[at + HEAD.size : begin - 4]
            if CHECK.unpack_from(data, begin + payload)[0] == crc(body, salt):
                yield Record(number, kind, ident, body, at, end)
            else:
                yield CorruptRecord(number, kind, ident, at, end)
            at, sequence = end, sequence + 1
            continue
        if whole is False and last and number == sequence:
            yield TornWrite(at, size)
            return
        found = _next(data, salt, sequence, at + (whole is not True))
        if found is None:
            yield from _rest(data, salt, sequence, last, at)
            return
        then, number = found
        hurt = _tail_before(data, salt, then, at)
        if hurt is not None and number == sequence + 1:
            yield CorruptRecord(sequence, hurt[0], hurt[1], at, then)
        else:
            if hurt is not None:
                yield UnreadableRange(at, then, number - sequence - 1)
                yield CorruptRecord(number - 1, hurt[0], hurt[1], then, then)
            else:
                yield UnreadableRange(at, then, number - sequence)
        at, sequence = then, number


def _rest(data: bytes, salt: int, sequence: int, last: bool, at: int) -> Iterator[ScanResult]:
    """Nothing whole comes any more."""
    hurt = _tail_before(data, salt, len(data), at)
    if hurt is not None:  # a whole record was there: this is no torn write
        yield CorruptRecord(sequence, hurt[0], hurt[1], at, len(data))
    elif last:
        yield TornWrite(at, len(data))
    else:
        yield UnreadableRange(at, len(data), 1)


def _next(data: bytes, salt: int, sequence: int, at: int) -> tuple[int, int] | None:
    """Where the next frame begins whose head is well and comes later in the order; and its number."""
    while (at := data.find(MARK_BYTES, at)) >= 0:
        if at + HEAD.size <= len(data):
            _, _, length, payload, number = HEAD.unpack_from(data, at)
            begin = at + HEAD.size + length + 4
            if (
                payload <= PAYLOAD_BYTES
                and begin <= len(data)
                and number >= sequence
                and CHECK.unpack_from(data, begin - 4)[0] == crc32(data[at : begin - 4], salt)
            ):
                return at, number
        at += 1
    return None


def _tail_before(data: bytes, salt: int, end: int, least: int) -> tuple[int, bytes] | None:
    """Kind and id of the record that ends there, by its tail."""
    if end - TAIL.size < least:
        return None
    length, kind, check = TAIL.unpack_from(data, end - TAIL.size)
    begin = end - TAIL.size - length
    if begin < least or check != crc32(data[begin : end - 4], salt):
        return None
    return kind, data[begin : begin + length]

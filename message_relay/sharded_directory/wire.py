"""Defines the messages between shard clients and shard servers.

Messages are msgpack arrays in frames of the gossip node's connections; a digest is one datagram. Unreadable
messages are counted and skipped; resident data are not affected.

Versions are `(epoch, generation)`. The generation is the source's own, so that all servers use the same
numbers. The data of a shard in a message are *as of* the message's version: the data with the higher version
win, whichever server they come from. If the source restarts its generations (another register), the operator
raises the epoch.

Times: a datagram may be buffered for as long as its receiver is frozen, and a response may come twice. So
each request has a number, which its response repeats, and servers' messages carry the clock of their process:
since a request is sent before its response is made, a client can bound the age of a digest whenever it
arrives.
"""

from __future__ import annotations

import zlib
from typing import Union

import msgspec
import xxhash

from ..decisions.model import Listing
from .errors import UnreadableFrameError

Version = tuple[int, int]  # epoch, generation
NO_VERSION: Version = (0, -1)  # below every version
CHECKSUM_MASK = (1 << 64) - 1


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One endpoint of the source's list: a compact form of core.ports.EndpointRecord."""

    name: str
    destination: int
    listing: int  # index into LISTINGS; GONE in changes only
    host: str
    port: int
    kind: str | None = None
    zone: str | None = None
    rate: float = 0.0


class Layout(msgspec.Struct, frozen=True, array_like=True):
    """Parameters that must be equal at all instances; requests with another layout are refused."""

    shard_count: int  # a power of two
    servers: tuple[int, ...]  # instance numbers, ascending


class RequestedShard(msgspec.Struct, frozen=True, array_like=True):
    """A requested shard, which the client does not have."""

    shard: int
    time_left_ms: float  # until the first message for it expires; large: no message waits


class ShardRequest(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Request of a client. The response is one ShardResponse, Overloaded or LayoutMismatch."""

    number: int  # increases with each request of a client's process
    layout: Layout
    version: Version  # all resident shards are as of this or a later one
    resident_shards: bytes  # bitmap of layout.shard_count bits, zlib
    requested_shards: tuple[RequestedShard, ...] = ()
    checksums: tuple[tuple[int, int], ...] = ()  # (shard, checksum): shards to compare in this request
    ahead_version: Version = NO_VERSION  # of `ahead_shards`, which incomplete responses updated
    ahead_shards: bytes = b""  # encoded like `resident_shards`; empty: none


class FullShard(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """All rows of a shard."""

    shard: int
    rows: tuple[Row, ...]


class ShardChanges(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """The changes of a shard since the version in the request."""

    shard: int
    rows: tuple[Row, ...]


class UnchangedShard(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """A shard whose checksum equals the one in the request."""

    shard: int


ResponsePart = Union[FullShard, ShardChanges, UnchangedShard]


class ShardResponse(msgspec.Struct, frozen=True, array_like=True, tag="A"):
    """Response with shards and changes as of `version`.

    `is_complete` means that there are no more changes for the client, so that all its shards are as of this
    version; otherwise it sends another request. The server does not know the changes before `history_start`,
    since it started later: shards as of an older version are compared by their checksums.
    """

    number: int
    version: Version
    parts: tuple[ResponsePart, ...]
    is_complete: bool
    history_start: Version
    source_age_ms: float  # since the server's source last confirmed the version
    process_epoch: int  # random number of the server's process: clocks are only compared within one process
    clock_ms: float
    reached_version: Version = NO_VERSION  # if incomplete: all resident shards are as of this or later now


class Overloaded(msgspec.Struct, frozen=True, array_like=True, tag="B"):
    """Rejection for overload: the client retries after `retry_after_ms`."""

    number: int
    retry_after_ms: float


class LayoutMismatch(msgspec.Struct, frozen=True, array_like=True, tag="O"):
    """Rejection with the server's layout: it differs, or the server has no list yet (`is_loading`)."""

    number: int
    layout: Layout
    is_loading: bool = False


class Digest(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """Datagram that a server sends every few seconds to each client with a recent request."""

    layout_checksum: int
    version: Version
    shard_set_checksum: int  # over the numbers of the client's shards, known from its requests
    rows_checksum: int  # over these shards' checksums, as of `version`
    source_age_ms: float
    process_epoch: int
    clock_ms: float


DirectoryMessage = Union[ShardRequest, ShardResponse, Overloaded, LayoutMismatch, Digest]

LISTINGS = (Listing.READY, Listing.DRAINING, Listing.REMOVED)  # by `Row.listing`
READY, DRAINING, GONE = range(3)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[DirectoryMessage] = msgspec.msgpack.Decoder(DirectoryMessage)


def row_checksum(row: Row) -> int:
    """Return a row's checksum; a shard's is the sum of its rows', modulo 2 to the 64."""
    return xxhash.xxh3_64_intdigest(_ENCODER.encode(row))


def layout_checksum(layout: Layout) -> int:
    """Return the checksum that identifies a layout in digests."""
    return xxhash.xxh3_64_intdigest(_ENCODER.encode(layout))


def shard_number_hash(shard: int) -> int:
    """Return the shard's summand in `Digest.shard_set_checksum`."""
    return xxhash.xxh3_64_intdigest(shard.to_bytes(4, "little"))


def pack_shard_set(bitset: int, shard_count: int) -> bytes:
    """Encode a set of shards as a compressed bitmap."""
    return zlib.compress(bitset.to_bytes((shard_count + 7) // 8, "little"), 1)


def unpack_shard_set(raw: bytes, shard_count: int) -> int:
    """Decode a set of shards. Raises UnreadableFrameError."""
    size = (shard_count + 7) // 8
    decompressor = zlib.decompressobj()
    try:
        bitmap = decompressor.decompress(raw, size + 1)  # limited: a few bytes may expand to gigabytes
    except zlib.error as error:
        raise UnreadableFrameError(f"shard set: {error}") from error
    if len(bitmap) != size or not decompressor.eof:
        raise UnreadableFrameError(f"shard set: {len(bitmap)} bytes, must be {size}")
    return int.from_bytes(bitmap, "little")


def encode_message(message: DirectoryMessage) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def decode_message(raw: bytes) -> DirectoryMessage:
    """Decode a message. Raises UnreadableFrameError."""
    try:
        return _DECODER.decode(raw)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise UnreadableFrameError(str(error)) from error

"""The messages between shard clients and shard servers.

They are msgpack arrays in frames of the gossip node's connections; a digest is one datagram. What can't be
read is counted and skipped; it loses nothing that is resident.

Versions: `(epoch, generation)`, the generation being the source's own, so that all servers count alike. What
a server sends of a shard holds *as of* its version: of two such messages the one as of the higher version
stands, from whichever server it comes. Where the source restarts its generations (another register), the
operator raises the epoch.

Times: a datagram may lie in a buffer for as long as its receiver is frozen, and a response may come twice. So
each request has a number, which its response repeats, and servers' messages carry their process's own clock:
since a request was sent before its response was made, a client can tell how old a digest is at most, whenever
it comes.
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
    """One endpoint, as the source has it: core.ports.EndpointRecord in a compact form."""

    name: str
    destination: int
    listing: int  # index into LISTINGS; GONE in changes only
    host: str
    port: int
    kind: str | None = None
    zone: str | None = None
    rate: float = 0.0


class Layout(msgspec.Struct, frozen=True, array_like=True):
    """What has to be the same at all instances; messages of another layout are refused."""

    shard_count: int  # a power of two
    servers: tuple[int, ...]  # instance numbers, ascending


class RequestedShard(msgspec.Struct, frozen=True, array_like=True):
    """A shard that the client does not have."""

    shard: int
    time_left_ms: float  # until the earliest message for it expires; large: none waits


class ShardRequest(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """All that a client sends. The response is one ShardResponse, Overloaded or LayoutMismatch."""

    number: int  # grows with each request of a client's process
    layout: Layout
    version: Version  # all resident shards are as of this or a later one
    resident_shards: bytes  # bitmap of layout.shard_count bits, zlib
    requested_shards: tuple[RequestedShard, ...] = ()
    checksums: tuple[tuple[int, int], ...] = ()  # (shard, checksum): to compare, a slice at a time
    ahead_version: Version = NO_VERSION  # `ahead_shards` are as of this or later: of a response in pieces
    ahead_shards: bytes = b""  # as `resident_shards`; empty: none


class FullShard(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """All rows of a shard."""

    shard: int
    rows: tuple[Row, ...]


class ShardChanges(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """What is new in a shard since the version that the request named."""

    shard: int
    rows: tuple[Row, ...]


class UnchangedShard(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """The shard's checksum is the one in the request."""

    shard: int


ResponsePart = Union[FullShard, ShardChanges, UnchangedShard]


class ShardResponse(msgspec.Struct, frozen=True, array_like=True, tag="A"):
    """The parts as of `version`.

    `is_complete`: nothing else that the client has is newer, so that all of it is as of this version now;
    else it asks on. What changed before `history_start` the server does not know (it has started later):
    shards that are as of an older version are compared by their checksums.
    """

    number: int
    version: Version
    parts: tuple[ResponsePart, ...]
    is_complete: bool
    history_start: Version
    source_age_ms: float  # since the server's source last confirmed the version
    process_epoch: int  # random, of the server's process: its clock is compared with itself only
    clock_ms: float
    reached_version: Version = NO_VERSION  # if not complete: all the client has is as of this or later now


class Overloaded(msgspec.Struct, frozen=True, array_like=True, tag="B"):
    """The server has too many requests: the client is to retry later."""

    number: int
    retry_after_ms: float


class LayoutMismatch(msgspec.Struct, frozen=True, array_like=True, tag="O"):
    """The server's layout, which is not the client's; or it has no list yet (`is_loading`)."""

    number: int
    layout: Layout
    is_loading: bool = False


class Digest(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """Sent every few seconds to each client that sent a request of late."""

    layout_checksum: int
    version: Version
    shard_set_checksum: int  # over the numbers of the shards that the client has, by its requests
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
    """Return the checksum by which digests name their layout."""
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
        bitmap = decompressor.decompress(raw, size + 1)  # a few bytes may claim to be gigabytes
    except zlib.error as error:
        raise UnreadableFrameError(f"holds: {error}") from error
    if len(bitmap) != size or not decompressor.eof:
        raise UnreadableFrameError(f"holds: {len(bitmap)} bytes, must be {size}")
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

"""What readers and keepers say to each other: msgpack, as arrays, in frames of the peers' connections and,
for the digest, in one datagram. What can't be read is counted and passed over; nothing that is held is lost
by it.

Versions: `(epoch, generation)`, the generation being the source's own, so that all keepers count alike.
What a keeper says of a shard holds *as of* its version: of two such words the one as of the higher version
stands, from whichever keeper it comes. Where the source counts anew (another register), the operator
raises the epoch.

Times: a datagram may lie in a buffer for as long as its reader is frozen, and an answer may come twice. So
each ask has a number, which its answer repeats, and what a keeper says carries its process's own clock: since
an ask went out before its answer was made, a reader can tell how old a digest is at most, whenever it comes.
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
    """One endpoint, as the source tells it: core.seams.Member in a form that is small."""

    name: str
    destination: int
    listing: int  # interface.Listing as the wire's number: 0 ready, 1 draining, 2 gone (in changes only)
    host: str
    port: int
    kind: str | None = None
    zone: str | None = None
    rate: float = 0.0


class Layout(msgspec.Struct, frozen=True, array_like=True):
    """What has to be the same at all instances; another's words are refused where it is not."""

    shard_count: int  # a power of two
    servers: tuple[int, ...]  # instance numbers, ascending


class RequestedShard(msgspec.Struct, frozen=True, array_like=True):
    """A shard that the reader does not have."""

    shard: int
    time_left_ms: float  # until the earliest message for it runs out of time; large: none waits


class ShardRequest(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """All that a reader says to a keeper. It is answered by one `Answer` or `Busy` or `Other`."""

    number: int  # grows with each ask of a reader's process
    layout: Layout
    version: Version  # all shards of `holds` are as of this or a later one
    resident_shards: bytes  # shards that it holds: a bitmap of layout.shards bits, zlib
    requested_shards: tuple[RequestedShard, ...] = ()
    checksums: tuple[tuple[int, int], ...] = ()  # (shard, its sum): to compare, a slice at a time
    ahead_version: Version = NO_VERSION  # shards of `further` are as of this or later: of an answer in pieces
    ahead_shards: bytes = b""  # as `holds`; empty: none


class FullShard(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """A shard as it is."""

    shard: int
    rows: tuple[Row, ...]


class ShardChanges(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """What is new in a shard since the version that was asked from."""

    shard: int
    rows: tuple[Row, ...]


class UnchangedShard(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """The shard's sum is as the reader said."""

    shard: int


ResponsePart = Union[FullShard, ShardChanges, UnchangedShard]


class ShardResponse(msgspec.Struct, frozen=True, array_like=True, tag="A"):
    """As of `version` the parts are so. `complete`: nothing else of what the reader holds is newer, so
    that all of it is as of this version now; else it asks on. What changed before `since` this keeper
    can't tell (it has started later): shards that are as of an older version are compared by their
    sums."""

    number: int
    version: Version
    parts: tuple[ResponsePart, ...]
    is_complete: bool
    history_start: Version
    source_age_ms: float  # since the keeper's own source last said that this is all
    process_epoch: int  # of the keeper's process, by chance: its clock is compared with itself only
    clock_ms: float
    reached_version: Version = (
        NO_VERSION  # where it isn't complete: all that the reader holds is as of this or later now
    )


class Overloaded(msgspec.Struct, frozen=True, array_like=True, tag="B"):
    """Too much is asked of this keeper: come again."""

    number: int
    retry_after_ms: float


class LayoutMismatch(msgspec.Struct, frozen=True, array_like=True, tag="O"):
    """This keeper's layout, which is not the asker's; or it has no list yet (`loading`)."""

    number: int
    layout: Layout
    is_loading: bool = False


class Digest(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """In one datagram, every few seconds, to each reader that asked of late."""

    layout_checksum: int
    version: Version
    shard_set_checksum: int  # over the shards that the reader said it holds: both mean the same ones
    rows_checksum: int  # over these shards' sums, as of `version`
    source_age_ms: float
    process_epoch: int
    clock_ms: float


DirectoryMessage = Union[ShardRequest, ShardResponse, Overloaded, LayoutMismatch, Digest]

LISTINGS = (Listing.READY, Listing.DRAINING, Listing.REMOVED)  # by `Row.listing`
READY, DRAINING, GONE = range(3)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[DirectoryMessage] = msgspec.msgpack.Decoder(DirectoryMessage)


def row_checksum(row: Row) -> int:
    """A shard's sum is that of its rows, whatever their order, modulo 2 to the 64."""
    return xxhash.xxh3_64_intdigest(_ENCODER.encode(row))


def layout_checksum(layout: Layout) -> int:
    return xxhash.xxh3_64_intdigest(_ENCODER.encode(layout))


def shard_number_hash(shard: int) -> int:
    """Its share in `Digest.set_sum`."""
    return xxhash.xxh3_64_intdigest(shard.to_bytes(4, "little"))


def pack_shard_set(bits: int, shards: int) -> bytes:
    return zlib.compress(bits.to_bytes((shards + 7) // 8, "little"), 1)


def unpack_shard_set(raw: bytes, shards: int) -> int:
    """Raises Unreadable."""
    size = (shards + 7) // 8
    opened = zlib.decompressobj()
    try:
        found = opened.decompress(raw, size + 1)  # a few bytes may claim to be gigabytes
    except zlib.error as error:
        raise UnreadableFrameError(f"holds: {error}") from error
    if len(found) != size or not opened.eof:
        raise UnreadableFrameError(f"holds: {len(found)} bytes, must be {size}")
    return int.from_bytes(found, "little")


def encode_message(word: DirectoryMessage) -> bytes:
    return _ENCODER.encode(word)


def decode_message(raw: bytes) -> DirectoryMessage:
    """Raises Unreadable."""
    try:
        return _DECODER.decode(raw)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise UnreadableFrameError(str(error)) from error

"""What readers and keepers say to each other: msgpack, as arrays, in frames of the peers' connections and, for
the digest, in one datagram. What can't be read is counted and passed over; nothing that is held is lost by it.

Versions: `(epoch, generation)`, the generation being the source's own, so that all keepers count alike. What a
keeper says of a shard holds *as of* its version: of two such words the one as of the higher version stands, from
whichever keeper it comes. Where the source counts anew (another register), the operator raises the epoch.
"""

from __future__ import annotations

from typing import Union

import msgspec

Version = tuple[int, int]  # epoch, generation
NONE: Version = (0, -1)  # below every version
SUM_MASK = (1 << 64) - 1


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

    shards: int  # a power of two
    keepers: tuple[int, ...]  # instance numbers, ascending


class Want(msgspec.Struct, frozen=True, array_like=True):
    """A shard that the reader does not have."""

    shard: int
    due_ms: float  # until the earliest message for it runs out of time; large: none waits


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """All that a reader says to a keeper. It is answered by one `Answer` or `Busy` or `Other`."""

    layout: Layout
    version: Version  # all shards of `holds` are as of this or a later one (NONE: compare by sums)
    holds: bytes  # shards that it holds: a bitmap of layout.shards bits, zlib
    wants: tuple[Want, ...] = ()
    sums: tuple[tuple[int, int], ...] = ()  # (shard, its sum): to compare, a slice at a time


class Whole(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """A shard as it is."""

    shard: int
    rows: tuple[Row, ...]


class Changes(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """What is new in a shard since the version that was asked from."""

    shard: int
    rows: tuple[Row, ...]


class Same(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """The shard's sum is as the reader said."""

    shard: int


Part = Union[Whole, Changes, Same]


class Answer(msgspec.Struct, frozen=True, array_like=True, tag="A"):
    """As of `version` the parts are so. `complete`: nothing else of what the reader holds is newer, so that all
    of it is as of this version now; else it asks on."""

    version: Version
    parts: tuple[Part, ...]
    complete: bool
    source_age_ms: float  # since the keeper's own source last said that this is all


class Busy(msgspec.Struct, frozen=True, array_like=True, tag="B"):
    """Too much is asked of this keeper: come again."""

    after_ms: float


class Other(msgspec.Struct, frozen=True, array_like=True, tag="O"):
    """This keeper's layout, which is not the asker's; or it has no list yet (`loading`)."""

    layout: Layout
    loading: bool = False


class Digest(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """In one datagram, every few seconds, to each reader that asked of late."""

    layout_sum: int
    version: Version
    set_sum: int  # over the shards that the reader said it holds: both mean the same ones
    sum: int  # over these shards' sums, as of `version`
    source_age_ms: float


Word = Union[Ask, Answer, Busy, Other, Digest]

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Word] = msgspec.msgpack.Decoder(Word)


class Unreadable(ValueError):
    """What came is no word of a keeper's or a reader's; the text says why."""


def packed(word: Word) -> bytes:
    return _ENCODER.encode(word)


def read(raw: bytes) -> Word:
    """Raises Unreadable."""
    try:
        return _DECODER.decode(raw)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise Unreadable(str(error)) from error

"""Which shard a destination is in, and which keepers a reader asks, in which order. No I/O.

Both by a hash that is the same in every process and version (XXH3, 64 bits). Keepers by rendezvous hashing
(Thaler, Ravishankar 1998): each reader ranks all keepers by the hash of both names, so that where one goes
only its own readers move, spread over all others.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable

import xxhash

MAX_SHARDS = 1 << 16  # of 44 destinations each: 2.9 million; a bitmap of 8 KB
MAX_SERVERS = 16  # so many can be tried, two at a time with a second each, within the bound: reading.Reader
_MASK = (1 << 64) - 1
_DESTINATION = struct.Struct("<Q")


def shard_of(destination: int, shard_count: int) -> int:
    """`shards` is a power of two."""
    return xxhash.xxh3_64_intdigest(_DESTINATION.pack(destination & _MASK)) & (shard_count - 1)


def rank_servers(reader: str, servers: Iterable[str]) -> list[str]:
    """All keepers, the one to ask first first; the same at each start."""

    def rank(keeper: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{reader}\n{keeper}".encode()), keeper

    return sorted(servers, key=rank)

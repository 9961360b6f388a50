"""Which shard a destination is in, and in which order a client asks the servers. No I/O.

Both by a hash that is the same in every process and version (XXH3, 64 bits). Servers are ranked by rendezvous
hashing (Thaler, Ravishankar 1998): each client ranks all servers by the hash of both names, so that when one
fails only its own clients move, spread over all others.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable

import xxhash

MAX_SHARDS = 1 << 16  # of 44 destinations each: 2.9 million; a bitmap of 8 KB
MAX_SERVERS = 16  # can be tried, two at a time with a second each, within the staleness bound
_MASK = (1 << 64) - 1
_DESTINATION = struct.Struct("<Q")


def shard_of(destination: int, shard_count: int) -> int:
    """Return the destination's shard; `shard_count` is a power of two."""
    return xxhash.xxh3_64_intdigest(_DESTINATION.pack(destination & _MASK)) & (shard_count - 1)


def rank_servers(client: str, servers: Iterable[str]) -> list[str]:
    """Return all servers, the one to ask first first; the same at each start."""

    def rank(server: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{client}\n{server}".encode()), server

    return sorted(servers, key=rank)

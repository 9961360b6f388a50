"""Maps destinations to shards, and ranks the servers for each client. No I/O.

Both use a hash that is the same in every process and version (XXH3, 64 bits). Servers are ranked by
rendezvous hashing (Thaler, Ravishankar 1998): each client ranks all servers by the hash of both names, so
that after a failure only the failed server's clients move, spread over all others.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable

import xxhash

MAX_SHARDS = 1 << 16  # 2.9 million destinations at 44 in a shard; a bitmap of 8 KB
MAX_SERVERS = 16  # all can be tried within the staleness bound, two at a time with a second each
_MASK = (1 << 64) - 1
_DESTINATION = struct.Struct("<Q")


def shard_of(destination: int, shard_count: int) -> int:
    """Return the destination's shard; `shard_count` is a power of two."""
    return xxhash.xxh3_64_intdigest(_DESTINATION.pack(destination & _MASK)) & (shard_count - 1)


def rank_servers(client: str, servers: Iterable[str]) -> list[str]:
    """Return all servers in order of preference, which is the same after a restart."""

    def rank(server: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{client}\n{server}".encode()), server

    return sorted(servers, key=rank)

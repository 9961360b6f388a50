"""Status reports of shard client and shard server. The field names are JSON keys and must not change."""

from __future__ import annotations

import msgspec

from .wire import Version


class ShardClientStatus(msgspec.Struct, frozen=True):
    """Counters and state of a shard client."""

    shards: int
    endpoints: int
    waiting: int  # pending shards
    version: Version
    age_s: float  # since all resident data were known to be correct; 1e9: never
    behind: bool  # older than the staleness bound
    keepers: int  # reachable servers
    asks: int  # sent requests
    failures: int
    busy: int  # overloaded responses
    stale_refused: int  # responses and shards older than the known version
    other_layout: int  # layout mismatches
    unreadable: int  # unreadable entries
    unasked: int  # responses without an outstanding request
    bytes_in: int


class ShardServerStatus(msgspec.Struct, frozen=True):
    """Counters and state of a shard server."""

    version: Version
    destinations: int
    endpoints: int
    shards: int
    readers: int  # clients that get digests
    source_age_s: float
    bytes_out: int
    answers: int  # responses
    busy: int  # overloaded responses
    refused: int  # lists and changes with a version that goes back
    rewritten: int  # commits of changed rows under the same generation
    loading: bool
    behind: int  # requests of clients that know a later version

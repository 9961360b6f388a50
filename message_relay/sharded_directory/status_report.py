"""The parts of the status report; their field names are JSON keys, and keep the former terms."""

from __future__ import annotations

import msgspec

from .wire import Version


class ShardClientStatus(msgspec.Struct, frozen=True):
    """Counters and state of a shard client."""

    shards: int
    endpoints: int
    waiting: int  # pending shards
    version: Version
    age_s: float  # since all resident data were known to be right; 1e9: never
    behind: bool  # older than the bound
    keepers: int  # servers that are reachable
    asks: int  # requests
    failures: int
    busy: int  # overloaded responses
    stale_refused: int  # responses and shards that were older than what is known
    other_layout: int
    unreadable: int  # entries
    unasked: int  # responses that belong to no request
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
    refused: int  # lists and changes of a source that went back
    rewritten: int  # times that the source changed rows under the same generation
    loading: bool
    behind: int  # requests of clients that know a later version

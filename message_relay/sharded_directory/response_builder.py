"""Selects the shards and changes of a response, within the size limit. No I/O.

The order is: shards that the client requests, the earliest deadline first; shards whose checksums it sent;
changes since its version. The first part is sent whatever its size; otherwise a response has about
MAX_RESPONSE_BYTES at most.
"""

from __future__ import annotations

from collections.abc import Iterator

from .shard_table import ShardTable
from .wire import (
    NO_VERSION,
    FullShard,
    ResponsePart,
    ShardChanges,
    ShardRequest,
    UnchangedShard,
    Version,
)

MAX_RESPONSE_BYTES = 48 << 10  # some 18 shards of 44 rows, below 10 ms of work
MAX_REQUESTED_BYTES = 36 << 10  # of these, for requested shards: leaves space for changes
UNCHANGED_BYTES = 8  # size of the part for a shard with an equal checksum


class ResponseParts:
    """The parts of one response that is being built."""

    def __init__(self) -> None:
        self.parts: list[ResponsePart] = []
        self.included = 0  # bitset of their shards
        self.is_complete = False  # the client's other shards have no newer changes
        self.reached_version: Version = NO_VERSION  # all its shards are as of this or later then
        self.size = 0  # bytes, about

    def fits(self, size: int, limit: int) -> bool:
        """Whether a part of this size may be added; the first part always fits."""
        return not self.parts or self.size + size <= limit

    def add(self, part: ResponsePart, size: int) -> None:
        """Add a part."""
        self.parts.append(part)
        self.included |= 1 << part.shard
        self.size += size

    def includes(self, shard: int) -> bool:
        """Whether the response has a part for the shard."""
        return bool(self.included >> shard & 1)


def build_response_parts(
    table: ShardTable, version: Version, request: ShardRequest, resident: int, ahead: int
) -> ResponseParts:
    """Select the parts that a client gets.

    Args:
        table: The rows in force.
        version: Their version.
        request: The client's request.
        resident: Bitset of the shards that the client has.
        ahead: Bitset of its shards that are as of `request.ahead_version`.
    """
    response = ResponseParts()
    if version < request.version:
        response.is_complete = True  # the client would reject older data
        return response
    _add_requested(response, table, request, resident)
    _add_compared(response, table, request, resident)
    if request.version < (version[0], table.history_start):
        response.is_complete = not resident & ~response.included
        return response
    _add_changes(response, table, version, request, resident, ahead)
    return response


def _full_shard(table: ShardTable, shard: int) -> FullShard:
    return FullShard(shard, tuple(table.decode_rows(shard)))


def _add_requested(response: ResponseParts, table: ShardTable, request: ShardRequest, resident: int) -> None:
    for requested in sorted(request.requested_shards, key=lambda item: item.time_left_ms):
        shard = requested.shard
        if response.includes(shard) or resident >> shard & 1:
            continue
        size = len(table.encoded_rows[shard])
        if not response.fits(size, MAX_REQUESTED_BYTES):
            return
        response.add(_full_shard(table, shard), size)


def _add_compared(response: ResponseParts, table: ShardTable, request: ShardRequest, resident: int) -> None:
    for shard, checksum in request.checksums:
        if response.includes(shard) or not resident >> shard & 1:
            continue
        is_unchanged = checksum == table.checksums[shard]
        size = UNCHANGED_BYTES if is_unchanged else len(table.encoded_rows[shard])
        if not response.fits(size, MAX_RESPONSE_BYTES):
            return
        response.add(UnchangedShard(shard) if is_unchanged else _full_shard(table, shard), size)


def _add_changes(
    response: ResponseParts,
    table: ShardTable,
    version: Version,
    request: ShardRequest,
    resident: int,
    ahead: int,
) -> None:
    """Add the changes since the client's version, starting with the shards that are furthest behind.

    Otherwise, if changes arrive faster than incomplete responses, each response would have the same new
    changes and never the remaining ones.
    """
    skipped = ahead & resident if request.ahead_version[0] == version[0] else 0
    if not _add_changes_since(response, table, resident & ~skipped, request.version[1]):
        return
    if skipped and version >= request.ahead_version:
        response.reached_version = request.ahead_version
    response.is_complete = _add_changes_since(response, table, skipped, request.ahead_version[1])


def _add_changes_since(response: ResponseParts, table: ShardTable, shards: int, generation: int) -> bool:
    """Add the changes of these shards; return whether all fitted."""
    changed: Iterator[int] = table.changed_since(generation) if shards else iter(())
    for shard in changed:
        if response.includes(shard) or not shards >> shard & 1:
            continue
        part, size = _changed_part(table, shard, generation)
        if not response.fits(size, MAX_RESPONSE_BYTES):
            return False
        response.add(part, size)
    return True


def _changed_part(table: ShardTable, shard: int, generation: int) -> tuple[ResponsePart, int]:
    """Return the shard's changes, or the full shard if its log is too short, with the approximate size."""
    rows = table.rows_changed_since(shard, generation)
    full_size = len(table.encoded_rows[shard])
    if rows is None:
        return _full_shard(table, shard), full_size
    return ShardChanges(shard, rows), full_size * len(rows) // max(1, table.row_counts[shard])

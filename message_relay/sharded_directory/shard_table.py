"""Table of a server's rows by shard in a compact form, with the latest changes. No I/O.

The rows of a shard are encoded in msgpack and decoded only when the shard changes or a client requests it: an
object for each of 360,000 rows would cost ten times as much. The shard of a name is looked up by the name's
hash (XXH3, 64 bits). The chance that two of 360,000 names collide is 4 in 10^9; then a row that moves may
stay at its old destination until the next whole list.

Two records hold the changes since a version. `changed_at` has each shard once, the latest last, so that it
never overflows; `change_logs` has the rows of the latest changes, bounded for each shard and in total: a
shard whose log does not reach back far enough is sent as a whole.
"""

from __future__ import annotations

from array import array
from collections import OrderedDict
from collections.abc import Iterator
from typing import NamedTuple

import msgspec
import xxhash

from .wire import CHECKSUM_MASK, GONE, Row, row_checksum

MAX_LOG_ROWS_PER_SHARD = 64  # above the number of rows of a shard (44 as planned) the whole shard is shorter
MAX_LOG_ROWS = 50_000  # of all shards: a week at the planned 7,000 changes a day, some 15 MB

_ENCODER = msgspec.msgpack.Encoder()
_ROWS: msgspec.msgpack.Decoder[list[Row]] = msgspec.msgpack.Decoder(list[Row])
EMPTY_SHARD = _ENCODER.encode([])


def name_hash(name: str) -> int:
    """Return the hash for the lookup of a name."""
    return xxhash.xxh3_64_intdigest(name.encode("utf-8", "surrogatepass"))


class ChangeLog:
    """The latest changes of one shard; complete for changes after `complete_after`."""

    __slots__ = ("complete_after", "rows")

    def __init__(self, complete_after: int) -> None:
        self.complete_after = complete_after  # a generation
        self.rows: list[tuple[int, Row]] = []  # (generation, row), ascending

    def add(self, generation: int, rows: list[Row]) -> None:
        """Add the changes of a generation; a full log drops the oldest."""
        self.rows += [(generation, row) for row in rows]
        excess = len(self.rows) - MAX_LOG_ROWS_PER_SHARD
        if excess > 0:
            self.complete_after = self.rows[excess - 1][0]
            del self.rows[:excess]

    def rows_since(self, generation: int) -> tuple[Row, ...] | None:
        """Return the latest change of each name; None if the log does not reach back that far."""
        if generation < self.complete_after:
            return None
        return tuple({row.name: row for at, row in self.rows if at > generation}.values())


class ShardEdit(msgspec.Struct, gc=False):
    """New content of a shard."""

    encoded_rows: bytes
    row_count: int
    destination_count: int
    checksum: int
    changed_rows: list[Row]  # removed rows have the listing GONE


class ChecksumIncrease(NamedTuple):
    """Increase of a shard's checksum, modulo 2 to the 64."""

    shard: int
    increase: int


class ShardTable:
    """All rows as of one generation."""

    def __init__(self, shard_count: int) -> None:
        self.shard_count = shard_count
        self.encoded_rows: list[bytes] = [EMPTY_SHARD] * shard_count
        self.row_counts = array("I", bytes(4 * shard_count))
        self.destination_counts = array("I", bytes(4 * shard_count))
        self.checksums = array("Q", bytes(8 * shard_count))
        self.shard_by_name_hash: dict[int, int] = {}
        self.changed_at: OrderedDict[int, int] = OrderedDict()  # shard -> generation, the latest last
        self.change_logs: OrderedDict[int, ChangeLog] = OrderedDict()  # likewise
        self.log_row_count = 0
        self.generation = -1
        self.history_start = -1  # earlier changes are not known; -1: nothing is loaded
        self.commit_count = 0
        self.decoded_rows = 0  # measures the cost of changes and requests

    def decode_rows(self, shard: int) -> list[Row]:
        """Return a shard's rows."""
        decoded = _ROWS.decode(self.encoded_rows[shard])
        self.decoded_rows += len(decoded)
        return decoded

    def changed_since(self, generation: int) -> Iterator[int]:
        """Yield the shards that changed after `generation`, the latest first; O(changed shards)."""
        for shard, at in reversed(self.changed_at.items()):
            if at <= generation:
                return
            yield shard

    def rows_changed_since(self, shard: int, generation: int) -> tuple[Row, ...] | None:
        """Return the rows changed after `generation`; None if the whole shard is needed or shorter."""
        change_log = self.change_logs.get(shard)
        rows = None if change_log is None else change_log.rows_since(generation)
        return None if rows is None or len(rows) > self.row_counts[shard] else rows

    def edit_shard(self, shard: int, changes: dict[str, Row | int]) -> ShardEdit | None:
        """Return the shard with changes by name, each a row or only a listing; None if nothing changes."""
        rows = {row.name: row for row in self.decode_rows(shard)}
        checksum = self.checksums[shard]
        changed_rows: list[Row] = []
        for name, change in changes.items():
            before = rows.get(name)
            if isinstance(change, Row):
                after = change
            elif before is None:
                continue
            else:
                after = msgspec.structs.replace(before, listing=change)
            if after == before:
                continue
            changed_rows.append(after)
            if before is not None:
                checksum -= row_checksum(before)
            if after.listing == GONE:
                rows.pop(name, None)
            else:
                rows[name] = after
                checksum += row_checksum(after)
        if not changed_rows:
            return None
        destination_count = len({row.destination for row in rows.values()})
        encoded_rows = _ENCODER.encode(list(rows.values()))
        return ShardEdit(encoded_rows, len(rows), destination_count, checksum & CHECKSUM_MASK, changed_rows)

    def commit(
        self, generation: int, edits: dict[int, ShardEdit], restarts_history: bool = False
    ) -> list[ChecksumIncrease]:
        """Put all edits in force at once; return the increases of the shards' checksums.

        `restarts_history`: earlier changes are not known, or their generations are of another epoch.
        """
        increases: list[ChecksumIncrease] = []
        for shard, edit in edits.items():
            increases.append(ChecksumIncrease(shard, (edit.checksum - self.checksums[shard]) & CHECKSUM_MASK))
            self.encoded_rows[shard] = edit.encoded_rows
            self.checksums[shard] = edit.checksum
            self.row_counts[shard] = edit.row_count
            self.destination_counts[shard] = edit.destination_count
        if restarts_history:
            self.changed_at.clear()
            self.change_logs.clear()
            self.log_row_count = 0
            self.history_start = generation
        else:
            self._log_changes(generation, edits)
        self.generation = generation
        self.commit_count += 1
        return increases

    def _log_changes(self, generation: int, edits: dict[int, ShardEdit]) -> None:
        for shard, edit in edits.items():
            change_log = self.change_logs.get(shard)
            if change_log is None:  # complete since the shard's last change, not since the table's
                change_log = ChangeLog(self.changed_at.get(shard, self.history_start))
                self.change_logs[shard] = change_log
            self.changed_at[shard] = generation
            self.changed_at.move_to_end(shard)
            self.log_row_count -= len(change_log.rows)
            change_log.add(generation, edit.changed_rows)
            self.log_row_count += len(change_log.rows)
            self.change_logs.move_to_end(shard)
        while self.log_row_count > MAX_LOG_ROWS:
            self.log_row_count -= len(self.change_logs.popitem(last=False)[1].rows)

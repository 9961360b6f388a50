"""All rows by shard, in a compact form, with what changed of late. No I/O.

A shard's rows are one msgpack text, read only when something in it changes or a reader wants it: an object
for each of 360,000 rows would cost ten times as much. Where a name is, is known by the name's hash (XXH3,
64 bits): of 360,000 names two are alike with a chance of 4 in 10^9, and then a row that moves may stay at
its old destination until the next whole list.

What changed since a version is told from two records. `changed` has each shard once, the latest last, so that
it never overflows; `logs` has the rows of the latest changes, bounded for each shard and for all: a shard
whose log does not reach back is told as a whole.
"""

from __future__ import annotations

from array import array
from collections import OrderedDict
from collections.abc import Iterator

import msgspec
import xxhash

from .wire import CHECKSUM_MASK, GONE, Row, row_checksum

MAX_LOG_ROWS_PER_SHARD = (
    64  # rows of changes kept for one shard: past its rows (44 by the plan) the whole is shorter
)
MAX_LOG_ROWS = 50_000  # and for all: a week of the plan's 7,000 changes a day, some 15 MB

_ENCODER = msgspec.msgpack.Encoder()
_ROWS: msgspec.msgpack.Decoder[list[Row]] = msgspec.msgpack.Decoder(list[Row])
EMPTY_SHARD = _ENCODER.encode([])


def name_hash(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode("utf-8", "surrogatepass"))


class ChangeLog:
    """The latest changes of one shard: complete for all that came after `start`."""

    __slots__ = ("complete_after", "rows")

    def __init__(self, start: int) -> None:
        self.complete_after = start  # a generation
        self.rows: list[tuple[int, Row]] = []

    def add(self, generation: int, rows: list[Row]) -> None:
        self.rows += [(generation, row) for row in rows]
        over = len(self.rows) - MAX_LOG_ROWS_PER_SHARD
        if over > 0:
            self.complete_after = self.rows[over - 1][0]
            del self.rows[:over]

    def rows_since(self, generation: int) -> tuple[Row, ...] | None:
        """Each name's latest; None: it does not reach back so far."""
        if generation < self.complete_after:
            return None
        return tuple({row.name: row for at, row in self.rows if at > generation}.values())


class ShardEdit(msgspec.Struct, gc=False):
    """What a shard becomes."""

    encoded_rows: bytes
    row_count: int
    destination_count: int
    checksum: int
    changed_rows: list[Row]  # what is new in it; those that left as gone


class ShardTable:
    def __init__(self, shards: int) -> None:
        self.shard_count = shards
        self.encoded_rows: list[bytes] = [EMPTY_SHARD] * shards
        self.row_counts = array("I", bytes(4 * shards))
        self.destination_counts = array("I", bytes(4 * shards))
        self.checksums = array("Q", bytes(8 * shards))
        self.shard_by_name_hash: dict[int, int] = {}  # by name_mark: the shard
        self.changed_at: OrderedDict[int, int] = OrderedDict()  # shard -> generation, the latest last
        self.change_logs: OrderedDict[int, ChangeLog] = OrderedDict()  # likewise
        self.log_row_count = 0
        self.generation = self.history_start = -1  # what changed before `start` isn't known
        self.commit_count = 0  # changes with each edit that is taken
        self.decoded_rows = 0  # rows read, for tests of what a change costs

    def decode_rows(self, shard: int) -> list[Row]:
        found = _ROWS.decode(self.encoded_rows[shard])
        self.decoded_rows += len(found)
        return found

    def changed_since(self, generation: int) -> Iterator[int]:
        """Shards that changed after it, the latest first: costs by what changed and not by what there is."""
        for shard, at in reversed(self.changed_at.items()):
            if at <= generation:
                return
            yield shard

    def rows_changed_since(self, shard: int, generation: int) -> tuple[Row, ...] | None:
        """Its rows that changed after it; None: the whole has to be told, or is shorter."""
        log = self.change_logs.get(shard)
        rows = None if log is None else log.rows_since(generation)
        return None if rows is None or len(rows) > self.row_counts[shard] else rows

    def edit_shard(self, shard: int, changes: dict[str, Row | int]) -> ShardEdit | None:
        """By name: its new row, or only its listing. None: nothing is new."""
        rows = {row.name: row for row in self.decode_rows(shard)}
        total, new = self.checksums[shard], []
        for name, told in changes.items():
            before = rows.get(name)
            if isinstance(told, int):
                if before is None:
                    continue
                told = msgspec.structs.replace(before, listing=told)
            if told == before:
                continue
            new.append(told)
            if before is not None:
                total -= row_checksum(before)
            if told.listing == GONE:
                rows.pop(name, None)
            else:
                rows[name] = told
                total += row_checksum(told)
        if not new:
            return None
        there = len({row.destination for row in rows.values()})
        return ShardEdit(_ENCODER.encode(list(rows.values())), len(rows), there, total & CHECKSUM_MASK, new)

    def commit(
        self, generation: int, edits: dict[int, ShardEdit], restarts_history: bool = False
    ) -> list[tuple[int, int]]:
        """All at once: which shards' sums have grown by how much. `anew`: what changed before is not known,
        or counted otherwise."""
        grown = []
        for shard, edit in edits.items():
            grown.append((shard, (edit.checksum - self.checksums[shard]) & CHECKSUM_MASK))
            self.encoded_rows[shard], self.checksums[shard] = edit.encoded_rows, edit.checksum
            self.row_counts[shard], self.destination_counts[shard] = edit.row_count, edit.destination_count
        if restarts_history:
            self.changed_at.clear()
            self.change_logs.clear()
            self.log_row_count = 0
            self.history_start = generation
        else:
            self._log_changes(generation, edits)
        self.generation = generation
        self.commit_count += 1
        return grown

    def _log_changes(self, generation: int, edits: dict[int, ShardEdit]) -> None:
        for shard, edit in edits.items():
            log = self.change_logs.get(shard)
            if log is None:  # it is complete since the shard's last change, not since the table's
                log = self.change_logs[shard] = ChangeLog(self.changed_at.get(shard, self.history_start))
            self.changed_at[shard] = generation
            self.changed_at.move_to_end(shard)
            self.log_row_count -= len(log.rows)
            log.add(generation, edit.changed_rows)
            self.log_row_count += len(log.rows)
            self.change_logs.move_to_end(shard)
        while self.log_row_count > MAX_LOG_ROWS:
            self.log_row_count -= len(self.change_logs.popitem(last=False)[1].rows)

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

from .wire import GONE, SUM_MASK, Row, row_sum

LOG_SHARD = 64  # rows of changes kept for one shard: past its rows (44 by the plan) the whole is shorter
LOG_ROWS = 50_000  # and for all: a week of the plan's 7,000 changes a day, some 15 MB

_ENCODER = msgspec.msgpack.Encoder()
_ROWS: msgspec.msgpack.Decoder[list[Row]] = msgspec.msgpack.Decoder(list[Row])
EMPTY = _ENCODER.encode([])


def name_mark(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode("utf-8", "surrogatepass"))


class Log:
    """The latest changes of one shard: complete for all that came after `start`."""

    __slots__ = ("start", "rows")

    def __init__(self, start: int) -> None:
        self.start = start  # a generation
        self.rows: list[tuple[int, Row]] = []

    def add(self, generation: int, rows: list[Row]) -> None:
        self.rows += [(generation, row) for row in rows]
        over = len(self.rows) - LOG_SHARD
        if over > 0:
            self.start = self.rows[over - 1][0]
            del self.rows[:over]

    def since(self, generation: int) -> tuple[Row, ...] | None:
        """Each name's latest; None: it does not reach back so far."""
        if generation < self.start:
            return None
        return tuple({row.name: row for at, row in self.rows if at > generation}.values())


class Edit(msgspec.Struct, gc=False):
    """What a shard becomes."""

    blob: bytes
    count: int
    destinations: int
    sum: int
    rows: list[Row]  # what is new in it; those that left as gone


class Table:
    def __init__(self, shards: int) -> None:
        self.shards = shards
        self.blobs: list[bytes] = [EMPTY] * shards
        self.counts = array("I", bytes(4 * shards))
        self.destinations = array("I", bytes(4 * shards))
        self.sums = array("Q", bytes(8 * shards))
        self.names: dict[int, int] = {}  # by name_mark: the shard
        self.changed: OrderedDict[int, int] = OrderedDict()  # shard -> generation, the latest last
        self.logs: OrderedDict[int, Log] = OrderedDict()  # likewise
        self.log_rows = 0
        self.generation = self.start = -1  # what changed before `start` isn't known
        self.serial = 0  # changes with each edit that is taken
        self.decoded = 0  # rows read, for tests of what a change costs

    def rows(self, shard: int) -> list[Row]:
        found = _ROWS.decode(self.blobs[shard])
        self.decoded += len(found)
        return found

    def since(self, generation: int) -> Iterator[int]:
        """Shards that changed after it, the latest first: costs by what changed and not by what there is."""
        for shard, at in reversed(self.changed.items()):
            if at <= generation:
                return
            yield shard

    def changes(self, shard: int, generation: int) -> tuple[Row, ...] | None:
        """Its rows that changed after it; None: the whole has to be told, or is shorter."""
        log = self.logs.get(shard)
        rows = None if log is None else log.since(generation)
        return None if rows is None or len(rows) > self.counts[shard] else rows

    def edited(self, shard: int, changes: dict[str, Row | int]) -> Edit | None:
        """By name: its new row, or only its listing. None: nothing is new."""
        rows = {row.name: row for row in self.rows(shard)}
        total, new = self.sums[shard], []
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
                total -= row_sum(before)
            if told.listing == GONE:
                rows.pop(name, None)
            else:
                rows[name] = told
                total += row_sum(told)
        if not new:
            return None
        there = len({row.destination for row in rows.values()})
        return Edit(_ENCODER.encode(list(rows.values())), len(rows), there, total & SUM_MASK, new)

    def take(self, generation: int, edits: dict[int, Edit], anew: bool = False) -> list[tuple[int, int]]:
        """All at once: which shards' sums have grown by how much. `anew`: what changed before is not known,
        or counted otherwise."""
        grown = []
        for shard, edit in edits.items():
            grown.append((shard, (edit.sum - self.sums[shard]) & SUM_MASK))
            self.blobs[shard], self.sums[shard] = edit.blob, edit.sum
            self.counts[shard], self.destinations[shard] = edit.count, edit.destinations
        if anew:
            self.changed.clear()
            self.logs.clear()
            self.log_rows = 0
            self.start = generation
        else:
            self._log(generation, edits)
        self.generation = generation
        self.serial += 1
        return grown

    def _log(self, generation: int, edits: dict[int, Edit]) -> None:
        for shard, edit in edits.items():
            log = self.logs.get(shard)
            if log is None:  # it is complete since the shard's last change, not since the table's
                log = self.logs[shard] = Log(self.changed.get(shard, self.start))
            self.changed[shard] = generation
            self.changed.move_to_end(shard)
            self.log_rows -= len(log.rows)
            log.add(generation, edit.rows)
            self.log_rows += len(log.rows)
            self.logs.move_to_end(shard)
        while self.log_rows > LOG_ROWS:
            self.log_rows -= len(self.logs.popitem(last=False)[1].rows)

"""A whole list, or many changes at once, made ready in pieces and taken in one moment. No I/O.

Until then the old rows answer, with the old version: a reader never gets rows of two versions under one. What
is given up halfway has changed nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from .rendezvous_hash import shard_of
from .shard_table import EMPTY, Edit, Table, name_mark
from .wire import GONE, SUM_MASK, Row, Version, row_sum

STEP_ROWS = 2_000  # read and compared in one step: some 4 ms
STEP_SHARDS = 2_048  # looked at in one step, nearly all alike: below a millisecond
HEAD = b"\xdd"  # of a msgpack array with four bytes of length

_ENCODER = msgspec.msgpack.Encoder()
_ROWS: msgspec.msgpack.Decoder[list[Row]] = msgspec.msgpack.Decoder(list[Row])
Taken = Callable[["Staging"], bool]


class Staging:
    """What a list and changes have in common. `taken` tells at the end whether it came into force."""

    def __init__(self, table: Table, now: float, version: Version, allowed: bool, taken: Taken) -> None:
        self.table, self.begun, self.version, self.allowed = table, now, version, allowed
        self.finish = taken
        self.edits: dict[int, Edit] = {}
        self.ended = self.taken = False
        self.serial = table.serial

    def end(self, now: float) -> bool:
        """All is added; False: it is refused, and no step is needed."""
        self.ended = True
        return self.allowed

    def step(self) -> bool:
        """Some work; True: done, and `taken` says whether it is in force."""
        assert self.ended
        if not self.allowed:
            return True
        if self.serial != self.table.serial:  # what it was compared with is no more
            self.serial = self.table.serial
            self.edits.clear()
            self.restart()
        if self.work():
            self.taken = self.finish(self)
            return True
        return False

    def restart(self) -> None:
        raise NotImplementedError

    def work(self) -> bool:
        raise NotImplementedError


class Change(Staging):
    """Changes of one generation."""

    def __init__(self, table: Table, now: float, version: Version, allowed: bool, taken: Taken) -> None:
        super().__init__(table, now, version, allowed, taken)
        self.told: list[tuple[Row | None, str, int]] = []  # for another start; the source bounds it
        self.by_shard: dict[int, dict[str, Row | int]] = {}
        self.names: dict[int, int | None] = {}
        self.left: list[int] = []
        self.sorted = 0  # of what was told

    def add(self, rows: Iterable[Row], lives: Iterable[tuple[str, int]] = ()) -> None:
        if self.allowed:
            self.told += [(row, row.name, row.listing) for row in rows]
            self.told += [(None, name, listing) for name, listing in lives]

    def restart(self) -> None:
        self.by_shard.clear()
        self.names.clear()
        self.sorted = 0

    def _sort(self, some: list[tuple[Row | None, str, int]]) -> None:
        for row, name, listing in some:
            mark = name_mark(name)
            at = self.names[mark] if mark in self.names else self.table.names.get(mark)
            if row is None or listing == GONE:
                if at is None:
                    continue
                changes = self.by_shard.setdefault(at, {})
                known = changes.get(name)
                changes[name] = (
                    msgspec.structs.replace(known, listing=listing)
                    if isinstance(known, Row) and listing != GONE
                    else listing
                )
                if listing == GONE:
                    self.names[mark] = None
            else:
                shard = shard_of(row.destination, self.table.shards)
                if at is not None and at != shard:
                    self.by_shard.setdefault(at, {})[name] = GONE
                self.by_shard.setdefault(shard, {})[name] = row
                self.names[mark] = shard

    def work(self) -> bool:
        if self.sorted < len(self.told):
            self._sort(self.told[self.sorted : self.sorted + STEP_ROWS])
            self.sorted += STEP_ROWS
            self.left = list(self.by_shard)
            if self.sorted < len(self.told):
                return False
        rows = 0
        while self.left and rows < STEP_ROWS:
            shard = self.left.pop()
            rows += self.table.counts[shard] + len(self.by_shard[shard])
            edit = self.table.edited(shard, self.by_shard[shard])
            if edit is not None:
                self.edits[shard] = edit
        return not self.left


class Load(Staging):
    """A whole list. A name that comes twice is where it came last."""

    def __init__(self, table: Table, now: float, version: Version, allowed: bool, taken: Taken) -> None:
        super().__init__(table, now, version, allowed, taken)
        shards = table.shards
        self.parts: list[bytearray | None] = [None] * shards
        self.counts, self.sums = [0] * shards, [0] * shards
        self.names: dict[int, int] = {}
        self.seen: set[int] = set()  # destinations
        self.destinations = [0] * shards
        self.odd: set[int] = set()  # shards in which a name came twice or is gone: they are read once more
        self.at = 0

    def add(self, rows: Iterable[Row]) -> None:
        if not self.allowed:
            return
        names, shards = self.names, self.table.shards
        for row in rows:
            shard = shard_of(row.destination, shards)
            mark = name_mark(row.name)
            before = names.get(mark)
            if before is not None or row.listing == GONE:
                self.odd.add(shard)
                if before is not None:
                    self.odd.add(before)
            names[mark] = shard
            part = self.parts[shard]
            if part is None:
                part = self.parts[shard] = bytearray(HEAD + bytes(4))
            if row.destination not in self.seen:
                self.seen.add(row.destination)
                self.destinations[shard] += 1
            part += _ENCODER.encode(row)
            self.counts[shard] += 1
            self.sums[shard] += row_sum(row)

    def restart(self) -> None:
        self.at = 0

    def work(self) -> bool:
        rows, until = 0, min(self.table.shards, self.at + STEP_SHARDS)
        while self.at < until and rows < STEP_ROWS:
            shard = self.at
            self.at += 1
            if shard in self.odd:
                rows += self.counts[shard]
                self._read_again(shard)
            total = self.sums[shard] & SUM_MASK
            if total == self.table.sums[shard] and self.counts[shard] == self.table.counts[shard]:
                continue
            blob, new = self._blob(shard), []
            if self.table.start >= 0:
                rows += self.counts[shard] + self.table.counts[shard]
                new = self._difference(shard, blob)
            self.edits[shard] = Edit(blob, self.counts[shard], self.destinations[shard], total, new)
        return self.at == self.table.shards

    def _blob(self, shard: int) -> bytes:
        part = self.parts[shard]
        if part is None:
            return EMPTY
        part[1:5] = self.counts[shard].to_bytes(4, "big")
        return bytes(part)

    def _read_again(self, shard: int) -> None:
        self.odd.discard(shard)
        rows = {row.name: row for row in _ROWS.decode(self._blob(shard))}
        for name, row in list(rows.items()):
            mark = name_mark(name)
            if self.names.get(mark) != shard:
                del rows[name]  # it came again, elsewhere
            elif row.listing == GONE:
                del rows[name]
                del self.names[mark]
        self.parts[shard] = bytearray(HEAD + bytes(4) + b"".join(map(_ENCODER.encode, rows.values())))
        self.counts[shard] = len(rows)
        self.destinations[shard] = len({row.destination for row in rows.values()})
        self.sums[shard] = sum(map(row_sum, rows.values()))

    def _difference(self, shard: int, blob: bytes) -> list[Row]:
        before = {row.name: row for row in self.table.rows(shard)}
        after = {row.name: row for row in _ROWS.decode(blob)}
        new = [row for name, row in after.items() if row != before.get(name)]
        left = [row for name, row in before.items() if name not in after]
        return new + [msgspec.structs.replace(row, listing=GONE) for row in left]

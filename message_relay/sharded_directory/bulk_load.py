"""A whole list, or many changes at once, made ready in pieces and taken in one moment. No I/O.

Until then the old rows answer, with the old version: a reader never gets rows of two versions under one. What
is given up halfway has changed nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from .rendezvous_hash import shard_of
from .shard_table import EMPTY_SHARD, ShardEdit, ShardTable, name_hash
from .wire import CHECKSUM_MASK, GONE, Row, Version, row_checksum

STEP_ROWS = 2_000  # read and compared in one step: some 4 ms
STEP_SHARDS = 2_048  # looked at in one step, nearly all alike: below a millisecond
ARRAY_HEADER = b"\xdd"  # of a msgpack array with four bytes of length

_ENCODER = msgspec.msgpack.Encoder()
_ROWS: msgspec.msgpack.Decoder[list[Row]] = msgspec.msgpack.Decoder(list[Row])
CommitCallback = Callable[["StagedUpdate"], bool]


class StagedUpdate:
    """What a list and changes have in common. `taken` tells at the end whether it came into force."""

    def __init__(
        self, table: ShardTable, now: float, version: Version, allowed: bool, taken: CommitCallback
    ) -> None:
        self.table, self.started_at, self.version, self.is_allowed = table, now, version, allowed
        self._on_complete = taken
        self.edits: dict[int, ShardEdit] = {}
        self.is_sealed = self.is_committed = False
        self.commit_count = table.commit_count

    def seal(self, now: float) -> bool:
        """All is added; False: it is refused, and no step is needed."""
        self.is_sealed = True
        return self.is_allowed

    def step(self) -> bool:
        """Some work; True: done, and `taken` says whether it is in force."""
        assert self.is_sealed
        if not self.is_allowed:
            return True
        if self.commit_count != self.table.commit_count:  # what it was compared with is no more
            self.commit_count = self.table.commit_count
            self.edits.clear()
            self._restart()
        if self._work():
            self.is_committed = self._on_complete(self)
            return True
        return False

    def _restart(self) -> None:
        raise NotImplementedError

    def _work(self) -> bool:
        raise NotImplementedError


class StagedChanges(StagedUpdate):
    """Changes of one generation."""

    def __init__(
        self, table: ShardTable, now: float, version: Version, allowed: bool, taken: CommitCallback
    ) -> None:
        super().__init__(table, now, version, allowed, taken)
        self.reported: list[tuple[Row | None, str, int]] = []  # for another start; the source bounds it
        self.changes_by_shard: dict[int, dict[str, Row | int]] = {}
        self.shard_by_name_hash: dict[int, int | None] = {}
        self.remaining_shards: list[int] = []
        self.sorted_count = 0  # of what was told

    def add(self, rows: Iterable[Row], lives: Iterable[tuple[str, int]] = ()) -> None:
        if self.is_allowed:
            self.reported += [(row, row.name, row.listing) for row in rows]
            self.reported += [(None, name, listing) for name, listing in lives]

    def _restart(self) -> None:
        self.changes_by_shard.clear()
        self.shard_by_name_hash.clear()
        self.sorted_count = 0

    def _sort(self, some: list[tuple[Row | None, str, int]]) -> None:
        for row, name, listing in some:
            mark = name_hash(name)
            at = (
                self.shard_by_name_hash[mark]
                if mark in self.shard_by_name_hash
                else self.table.shard_by_name_hash.get(mark)
            )
            if row is None or listing == GONE:
                if at is None:
                    continue
                changes = self.changes_by_shard.setdefault(at, {})
                known = changes.get(name)
                changes[name] = (
                    msgspec.structs.replace(known, listing=listing)
                    if isinstance(known, Row) and listing != GONE
                    else listing
                )
                if listing == GONE:
                    self.shard_by_name_hash[mark] = None
            else:
                shard = shard_of(row.destination, self.table.shard_count)
                if at is not None and at != shard:
                    self.changes_by_shard.setdefault(at, {})[name] = GONE
                self.changes_by_shard.setdefault(shard, {})[name] = row
                self.shard_by_name_hash[mark] = shard

    def _work(self) -> bool:
        if self.sorted_count < len(self.reported):
            self._sort(self.reported[self.sorted_count : self.sorted_count + STEP_ROWS])
            self.sorted_count += STEP_ROWS
            self.remaining_shards = list(self.changes_by_shard)
            if self.sorted_count < len(self.reported):
                return False
        rows = 0
        while self.remaining_shards and rows < STEP_ROWS:
            shard = self.remaining_shards.pop()
            rows += self.table.row_counts[shard] + len(self.changes_by_shard[shard])
            edit = self.table.edit_shard(shard, self.changes_by_shard[shard])
            if edit is not None:
                self.edits[shard] = edit
        return not self.remaining_shards


class StagedList(StagedUpdate):
    """A whole list. A name that comes twice is where it came last."""

    def __init__(
        self, table: ShardTable, now: float, version: Version, allowed: bool, taken: CommitCallback
    ) -> None:
        super().__init__(table, now, version, allowed, taken)
        shards = table.shard_count
        self.encoded_parts: list[bytearray | None] = [None] * shards
        self.row_counts, self.checksums = [0] * shards, [0] * shards
        self.shard_by_name_hash: dict[int, int] = {}
        self.seen_destinations: set[int] = set()  # destinations
        self.destination_counts = [0] * shards
        self.shards_to_reread: set[int] = (
            set()
        )  # shards in which a name came twice or is gone: they are read once more
        self.next_shard = 0

    def add(self, rows: Iterable[Row]) -> None:
        if not self.is_allowed:
            return
        names, shards = self.shard_by_name_hash, self.table.shard_count
        for row in rows:
            shard = shard_of(row.destination, shards)
            mark = name_hash(row.name)
            before = names.get(mark)
            if before is not None or row.listing == GONE:
                self.shards_to_reread.add(shard)
                if before is not None:
                    self.shards_to_reread.add(before)
            names[mark] = shard
            part = self.encoded_parts[shard]
            if part is None:
                part = self.encoded_parts[shard] = bytearray(ARRAY_HEADER + bytes(4))
            if row.destination not in self.seen_destinations:
                self.seen_destinations.add(row.destination)
                self.destination_counts[shard] += 1
            part += _ENCODER.encode(row)
            self.row_counts[shard] += 1
            self.checksums[shard] += row_checksum(row)

    def _restart(self) -> None:
        self.next_shard = 0

    def _work(self) -> bool:
        rows, until = 0, min(self.table.shard_count, self.next_shard + STEP_SHARDS)
        while self.next_shard < until and rows < STEP_ROWS:
            shard = self.next_shard
            self.next_shard += 1
            if shard in self.shards_to_reread:
                rows += self.row_counts[shard]
                self._reread(shard)
            total = self.checksums[shard] & CHECKSUM_MASK
            if (
                total == self.table.checksums[shard]
                and self.row_counts[shard] == self.table.row_counts[shard]
            ):
                continue
            blob, new = self._encoded_rows(shard), []
            if self.table.history_start >= 0:
                rows += self.row_counts[shard] + self.table.row_counts[shard]
                new = self._changed_rows(shard, blob)
            self.edits[shard] = ShardEdit(
                blob, self.row_counts[shard], self.destination_counts[shard], total, new
            )
        return self.next_shard == self.table.shard_count

    def _encoded_rows(self, shard: int) -> bytes:
        part = self.encoded_parts[shard]
        if part is None:
            return EMPTY_SHARD
        part[1:5] = self.row_counts[shard].to_bytes(4, "big")
        return bytes(part)

    def _reread(self, shard: int) -> None:
        self.shards_to_reread.discard(shard)
        rows = {row.name: row for row in _ROWS.decode(self._encoded_rows(shard))}
        for name, row in list(rows.items()):
            mark = name_hash(name)
            if self.shard_by_name_hash.get(mark) != shard:
                del rows[name]  # it came again, elsewhere
            elif row.listing == GONE:
                del rows[name]
                del self.shard_by_name_hash[mark]
        self.encoded_parts[shard] = bytearray(
            ARRAY_HEADER + bytes(4) + b"".join(map(_ENCODER.encode, rows.values()))
        )
        self.row_counts[shard] = len(rows)
        self.destination_counts[shard] = len({row.destination for row in rows.values()})
        self.checksums[shard] = sum(map(row_checksum, rows.values()))

    def _changed_rows(self, shard: int, blob: bytes) -> list[Row]:
        before = {row.name: row for row in self.table.decode_rows(shard)}
        after = {row.name: row for row in _ROWS.decode(blob)}
        new = [row for name, row in after.items() if row != before.get(name)]
        left = [row for name, row in before.items() if name not in after]
        return new + [msgspec.structs.replace(row, listing=GONE) for row in left]

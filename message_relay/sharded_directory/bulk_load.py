"""Stages a whole list, or many changes, in steps and commits them atomically. No I/O.

Until the commit the old rows are served under the old version, so that a client never gets rows of two
versions under one. An update that is abandoned before its commit changes nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from .rendezvous_hash import shard_of
from .shard_table import EMPTY_SHARD, ShardEdit, ShardTable, name_hash
from .wire import CHECKSUM_MASK, GONE, Row, Version, row_checksum

STEP_ROWS = 2_000  # rows decoded and compared in one step: some 4 ms
STEP_SHARDS = 2_048  # shards checked in one step, nearly all unchanged: below 1 ms
ARRAY_HEADER = b"\xdd"  # of a msgpack array with four bytes of length
EMPTY_ARRAY = ARRAY_HEADER + bytes(4)

_ENCODER = msgspec.msgpack.Encoder()
_ROWS: msgspec.msgpack.Decoder[list[Row]] = msgspec.msgpack.Decoder(list[Row])
CommitCallback = Callable[["StagedUpdate"], bool]


class StagedUpdate:
    """Base class of a staged list and staged changes.

    Callers add entries, seal the update, and then call `step` until it returns True. The callback commits the
    update and returns whether it is in force.
    """

    def __init__(
        self, table: ShardTable, now: float, version: Version, is_allowed: bool, on_complete: CommitCallback
    ) -> None:
        self.table = table
        self.started_at = now
        self.version = version
        self.is_allowed = is_allowed  # the version is not older than the one in force
        self.edits: dict[int, ShardEdit] = {}
        self.is_sealed = False
        self.is_committed = False
        self.commit_count = table.commit_count
        self._on_complete = on_complete

    def seal(self, now: float) -> bool:
        """Mark the update as complete. Return False if it is refused: then no step is needed."""
        self.is_sealed = True
        return self.is_allowed

    def step(self) -> bool:
        """Do a part of the work; return True when it is done, with the result in `is_committed`."""
        assert self.is_sealed
        if not self.is_allowed:
            return True
        if self.commit_count != self.table.commit_count:  # another update was committed since the comparison
            self.commit_count = self.table.commit_count
            self.edits.clear()
            self._restart()
        if not self._work():
            return False
        self.is_committed = self._on_complete(self)
        return True

    def _restart(self) -> None:
        """Restart the comparison."""
        raise NotImplementedError

    def _work(self) -> bool:
        """Do one step; return whether it was the last one."""
        raise NotImplementedError


class _ReportedChange(NamedTuple):
    row: Row | None  # None: only the listing is reported
    name: str
    listing: int


class StagedChanges(StagedUpdate):
    """Staged changes up to one generation."""

    def __init__(
        self, table: ShardTable, now: float, version: Version, is_allowed: bool, on_complete: CommitCallback
    ) -> None:
        super().__init__(table, now, version, is_allowed, on_complete)
        self.reported: list[_ReportedChange] = []  # retained for a restart; bounded by the source
        self.sorted_count = 0  # number of items of `reported` that are sorted by shard
        self.changes_by_shard: dict[int, dict[str, Row | int]] = {}
        self.shard_by_name_hash: dict[int, int | None] = {}  # None: the name was removed
        self.remaining_shards: list[int] = []

    def add(self, rows: Iterable[Row], listings: Iterable[tuple[str, int]] = ()) -> None:
        """Add new rows, and listings of names whose rows are otherwise unchanged."""
        if self.is_allowed:
            self.reported += [_ReportedChange(row, row.name, row.listing) for row in rows]
            self.reported += [_ReportedChange(None, name, listing) for name, listing in listings]

    def _restart(self) -> None:
        self.changes_by_shard.clear()
        self.shard_by_name_hash.clear()
        self.sorted_count = 0

    def _work(self) -> bool:
        if self.sorted_count < len(self.reported):
            self._sort_by_shard(self.reported[self.sorted_count : self.sorted_count + STEP_ROWS])
            self.sorted_count += STEP_ROWS
            self.remaining_shards = list(self.changes_by_shard)
            if self.sorted_count < len(self.reported):
                return False
        row_count = 0
        while self.remaining_shards and row_count < STEP_ROWS:
            shard = self.remaining_shards.pop()
            changes = self.changes_by_shard[shard]
            row_count += self.table.row_counts[shard] + len(changes)
            edit = self.table.edit_shard(shard, changes)
            if edit is not None:
                self.edits[shard] = edit
        return not self.remaining_shards

    def _sort_by_shard(self, changes: list[_ReportedChange]) -> None:
        for row, name, listing in changes:
            hashed = name_hash(name)
            if hashed in self.shard_by_name_hash:
                shard_before = self.shard_by_name_hash[hashed]
            else:
                shard_before = self.table.shard_by_name_hash.get(hashed)
            if row is not None and listing != GONE:
                self._add_row(row, hashed, shard_before)
            elif shard_before is not None:
                self._add_listing(name, listing, hashed, shard_before)

    def _add_row(self, row: Row, hashed: int, shard_before: int | None) -> None:
        shard = shard_of(row.destination, self.table.shard_count)
        if shard_before is not None and shard_before != shard:
            self.changes_by_shard.setdefault(shard_before, {})[row.name] = GONE
        self.changes_by_shard.setdefault(shard, {})[row.name] = row
        self.shard_by_name_hash[hashed] = shard

    def _add_listing(self, name: str, listing: int, hashed: int, shard: int) -> None:
        changes = self.changes_by_shard.setdefault(shard, {})
        known = changes.get(name)
        if listing == GONE:
            changes[name] = GONE
            self.shard_by_name_hash[hashed] = None
        elif isinstance(known, Row):
            changes[name] = msgspec.structs.replace(known, listing=listing)
        else:
            changes[name] = listing


class StagedList(StagedUpdate):
    """A staged whole list. If a name occurs twice, the last entry counts."""

    def __init__(
        self, table: ShardTable, now: float, version: Version, is_allowed: bool, on_complete: CommitCallback
    ) -> None:
        super().__init__(table, now, version, is_allowed, on_complete)
        shard_count = table.shard_count
        self.encoded_parts: list[bytearray | None] = [None] * shard_count
        self.row_counts = [0] * shard_count
        self.checksums = [0] * shard_count
        self.destination_counts = [0] * shard_count
        self.shard_by_name_hash: dict[int, int] = {}
        self.seen_destinations: set[int] = set()
        self.shards_to_reread: set[int] = set()  # shards with a repeated or removed name
        self.next_shard = 0

    def add(self, rows: Iterable[Row]) -> None:
        """Add entries."""
        if not self.is_allowed:
            return
        names, shard_count = self.shard_by_name_hash, self.table.shard_count
        for row in rows:
            shard = shard_of(row.destination, shard_count)
            hashed = name_hash(row.name)
            shard_before = names.get(hashed)
            if shard_before is not None or row.listing == GONE:
                self.shards_to_reread.add(shard)
                if shard_before is not None:
                    self.shards_to_reread.add(shard_before)
            names[hashed] = shard
            part = self.encoded_parts[shard]
            if part is None:
                part = self.encoded_parts[shard] = bytearray(EMPTY_ARRAY)
            if row.destination not in self.seen_destinations:
                self.seen_destinations.add(row.destination)
                self.destination_counts[shard] += 1
            part += _ENCODER.encode(row)
            self.row_counts[shard] += 1
            self.checksums[shard] += row_checksum(row)

    def _restart(self) -> None:
        self.next_shard = 0

    def _work(self) -> bool:
        row_count = 0
        end = min(self.table.shard_count, self.next_shard + STEP_SHARDS)
        while self.next_shard < end and row_count < STEP_ROWS:
            row_count += self._stage_shard(self.next_shard)
            self.next_shard += 1
        return self.next_shard == self.table.shard_count

    def _stage_shard(self, shard: int) -> int:
        """Compare a shard with the one in force; return about how many rows were decoded."""
        decoded = 0
        if shard in self.shards_to_reread:
            decoded += self.row_counts[shard]
            self._reread(shard)
        checksum = self.checksums[shard] & CHECKSUM_MASK
        row_count = self.row_counts[shard]
        if checksum == self.table.checksums[shard] and row_count == self.table.row_counts[shard]:
            return decoded
        encoded_rows = self._encoded_rows(shard)
        changed_rows: list[Row] = []
        if self.table.history_start >= 0:
            decoded += row_count + self.table.row_counts[shard]
            changed_rows = self._changed_rows(shard, encoded_rows)
        destination_count = self.destination_counts[shard]
        self.edits[shard] = ShardEdit(encoded_rows, row_count, destination_count, checksum, changed_rows)
        return decoded

    def _encoded_rows(self, shard: int) -> bytes:
        part = self.encoded_parts[shard]
        if part is None:
            return EMPTY_SHARD
        part[1:5] = self.row_counts[shard].to_bytes(4, "big")
        return bytes(part)

    def _reread(self, shard: int) -> None:
        """Drop the rows of repeated names but the last, and the rows of removed names."""
        self.shards_to_reread.discard(shard)
        rows = {row.name: row for row in _ROWS.decode(self._encoded_rows(shard))}
        for name, row in list(rows.items()):
            hashed = name_hash(name)
            if self.shard_by_name_hash.get(hashed) != shard:
                del rows[name]  # a later entry is in another shard
            elif row.listing == GONE:
                del rows[name]
                del self.shard_by_name_hash[hashed]
        self.encoded_parts[shard] = bytearray(EMPTY_ARRAY + b"".join(map(_ENCODER.encode, rows.values())))
        self.row_counts[shard] = len(rows)
        self.destination_counts[shard] = len({row.destination for row in rows.values()})
        self.checksums[shard] = sum(map(row_checksum, rows.values()))

    def _changed_rows(self, shard: int, encoded_rows: bytes) -> list[Row]:
        """Return the rows that differ from those in force; removed rows have the listing GONE."""
        before = {row.name: row for row in self.table.decode_rows(shard)}
        after = {row.name: row for row in _ROWS.decode(encoded_rows)}
        changed = [row for name, row in after.items() if row != before.get(name)]
        removed = [row for name, row in before.items() if name not in after]
        return changed + [msgspec.structs.replace(row, listing=GONE) for row in removed]

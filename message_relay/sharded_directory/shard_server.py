"""What a keeper knows and what it answers. No I/O; the clock is passed in, in seconds.

    the source -> a whole list (Load) or changes (Change), made ready in steps -> Table, in one moment
    a reader's Ask -> Answer: shards that it wants, the earliest end first; what changed since its version;
                      sums that are not as it says. Or Busy, or Other.
    every few seconds, to each reader that asked of late -> Digest

A version that goes back is refused: a source that has restarted on an old list would bring drained endpoints
back. The operator raises the epoch where that is meant.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from .bulk_load import StagedChanges, StagedList, StagedUpdate
from .errors import UnreadableFrameError
from .shard_table import ShardTable, name_hash
from .subscribers import MAX_DIGESTS_PER_CALL, Subscribers
from .wire import (
    NO_VERSION,
    Digest,
    FullShard,
    Layout,
    LayoutMismatch,
    Overloaded,
    ResponsePart,
    Row,
    ShardChanges,
    ShardRequest,
    ShardResponse,
    UnchangedShard,
    Version,
    layout_checksum,
    unpack_shard_set,
)

MAX_RESPONSE_BYTES = (
    48 << 10
)  # of one answer, but at least one shard: some 18 of 44 rows, below 10 ms of work
MAX_REQUESTED_BYTES = (
    36 << 10
)  # of that for shards that it does not have, so that changes get through beside them
UNCHANGED_BYTES = 8  # of a shard that is as the reader has it
RESPONSES_PER_S = 400.0  # answers a second: 440 readers (3,500 of 8 keepers) are through in a second or two
BYTES_S = 4e6  # bytes a second: 440 readers' thousand shards are back within 5 minutes, most needed first
BURST_S = 1.0  # of both at once
URGENT_TIME_LEFT_MS = 2_000.0  # until a message runs out of time: such asks may use up all
RESERVED_SHARE = 0.25  # of a burst, kept for those; twice that from wants for which no message waits
IDLE_TIME_LEFT_MS = 60_000.0  # due later than this: nothing waits for it
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.1, 3.0  # when to come again; longest: a quarter of the bound of 12 s


class ShardServerStatus(msgspec.Struct, frozen=True):
    version: Version
    destinations: int
    endpoints: int
    shards: int
    readers: int
    source_age_s: float
    bytes_out: int
    answers: int
    busy: int
    refused: int  # lists and changes of a source that went back
    rewritten: int  # times that it told others under the same generation
    loading: bool
    behind: int  # asks of readers that know a later version


class ShardServer:
    def __init__(self, layout: Layout, epoch: int, rng: random.Random) -> None:
        self.layout, self.epoch, self.rng = layout, epoch, rng
        self.layout_checksum = layout_checksum(layout)
        self.process_epoch = rng.getrandbits(53)
        self.table = ShardTable(layout.shard_count)
        self.subscribers = Subscribers(layout.shard_count, rng)
        self.source_confirmed_at = float("-inf")
        self.is_source_stale = False  # the source went back: what it confirms isn't what is told here
        self.tokens_at: float | None = None
        self.response_tokens, self.byte_tokens = RESPONSES_PER_S * BURST_S, BYTES_S * BURST_S
        self.expected_retries = 0.0  # asks that were told to come again and are still to come, reckoned
        self.responses = self.overloaded = self.rejected_updates = self.same_version_rewrites = (
            self.sent_bytes
        ) = self.requests_ahead = 0

    @property
    def version(self) -> Version:
        return (self.epoch, self.table.generation) if self.is_loaded else NO_VERSION

    @property
    def is_loaded(self) -> bool:
        return self.table.history_start >= 0

    # -- the source ------------------------------------------------------------------------------------------

    def start_list(self, now: float, version: Version) -> StagedList:
        """A whole list, as the source had it at `now`. Taken piece by piece: Load.add, end, then step until
        it is done."""
        return StagedList(self.table, now, version, self._accepts(version), self._commit)

    def start_changes(self, now: float, generation: int) -> StagedChanges:
        """Many changes, likewise in steps."""
        version = (self.epoch, generation)
        return StagedChanges(
            self.table, now, version, self.is_loaded and self._accepts(version), self._commit
        )

    def apply_changes(
        self, now: float, generation: int, rows: Iterable[Row], lives: Iterable[tuple[str, int]] = ()
    ) -> bool:
        """All changes up to this generation at once. False: refused, and the source has to be asked anew."""
        change = self.start_changes(now, generation)
        change.add(rows, lives)
        if not change.seal(now):
            return False
        while not change.step():
            pass
        return change.is_committed

    def confirm_source(self, now: float) -> None:
        """As of `now` the source has nothing but what was taken here. Not for a list that is still read."""
        if self.is_loaded and not self.is_source_stale:
            self.source_confirmed_at = max(self.source_confirmed_at, now)

    def find_row(self, name: str) -> Row | None:
        """As it is told here, of a source that can't be read of it now."""
        shard = self.table.shard_by_name_hash.get(name_hash(name))
        rows = [] if shard is None else self.table.decode_rows(shard)
        return next((row for row in rows if row.name == name), None)

    def _accepts(self, version: Version) -> bool:
        if version >= (self.version if self.is_loaded else (self.epoch, 0)):
            return True
        self.rejected_updates += 1
        self.is_source_stale = self.is_loaded
        return False

    def _commit(self, staged: StagedUpdate) -> bool:
        """In one moment: before it the old rows answer under the old version."""
        if not self._accepts(staged.version):
            return False
        epoch, generation = staged.version
        anew = not self.is_loaded or epoch > self.epoch
        if staged.edits and not anew and generation == self.table.generation:
            self.same_version_rewrites += 1  # readers notice by their sums
        if isinstance(staged, StagedList):
            self.table.shard_by_name_hash = staged.shard_by_name_hash
        else:
            assert isinstance(staged, StagedChanges)
            for mark, shard in staged.shard_by_name_hash.items():
                if shard is None:
                    self.table.shard_by_name_hash.pop(mark, None)
                else:
                    self.table.shard_by_name_hash[mark] = shard
        if staged.edits or anew or generation > self.table.generation:
            self.subscribers.add_to_checksums(self.table.commit(generation, staged.edits, anew))
        self.epoch = epoch
        self.is_source_stale = False
        if isinstance(staged, StagedList):
            self.source_confirmed_at = max(self.source_confirmed_at, staged.started_at)
        return True

    # -- readers ---------------------------------------------------------------------------------------------

    def handle_request(
        self, now: float, reader: str, ask: ShardRequest
    ) -> ShardResponse | Overloaded | LayoutMismatch:
        """Raises Unreadable."""
        if ask.layout != self.layout:
            return LayoutMismatch(ask.number, self.layout)
        if not self.is_loaded:
            return LayoutMismatch(ask.number, self.layout, is_loading=True)
        holds = unpack_shard_set(ask.resident_shards, self.layout.shard_count)
        further = unpack_shard_set(ask.ahead_shards, self.layout.shard_count) if ask.ahead_shards else 0
        for shard in (*(want.shard for want in ask.requested_shards), *(shard for shard, _ in ask.checksums)):
            if not 0 <= shard < self.layout.shard_count:
                raise UnreadableFrameError(f"shard {shard}: there are {self.layout.shard_count}")
        after = self._retry_after_s(now, ask)
        if after is not None:
            self.overloaded += 1
            return Overloaded(ask.number, after * 1e3)
        parts, complete, reached, size = self._parts(ask, holds, further)
        for part in parts:
            holds |= 1 << part.shard  # it will: if this answer is lost, the sets differ, and it asks
        self.subscribers.record_request(now, reader, holds, self.table.checksums)
        self.responses += 1
        self.sent_bytes += size
        self.response_tokens -= 1.0
        self.byte_tokens -= size
        return ShardResponse(
            ask.number,
            self.version,
            tuple(parts),
            complete,
            (self.epoch, self.table.history_start),
            self._source_age_ms(now),
            self.process_epoch,
            now * 1e3,
            reached,
        )

    def _parts(
        self, ask: ShardRequest, holds: int, further: int
    ) -> tuple[list[ResponsePart], bool, Version, int]:
        """What it gets, whether that is all, how far all is then, and how many bytes that is about."""
        parts: list[ResponsePart] = []
        if self.version < ask.version:
            self.requests_ahead += 1  # it would refuse all
            return parts, True, NO_VERSION, 0
        size, told = 0, 0
        for want in sorted(ask.requested_shards, key=lambda each: each.time_left_ms):
            bit = 1 << want.shard
            if not (told | holds) & bit:
                more = len(self.table.encoded_rows[want.shard])
                if parts and size + more > MAX_REQUESTED_BYTES:
                    break
                parts.append(FullShard(want.shard, tuple(self.table.decode_rows(want.shard))))
                told |= bit
                size += more
        since = (self.epoch, self.table.history_start)
        for shard, total in ask.checksums:
            bit = 1 << shard
            if told & bit or not holds & bit:
                continue
            same = total == self.table.checksums[shard]
            more = UNCHANGED_BYTES if same else len(self.table.encoded_rows[shard])
            if parts and size + more > MAX_RESPONSE_BYTES:
                break
            parts.append(
                UnchangedShard(shard) if same else FullShard(shard, tuple(self.table.decode_rows(shard)))
            )
            told |= bit
            size += more
        if ask.version < since:
            return parts, not holds & ~told, NO_VERSION, size
        skipped = further & holds if ask.ahead_version[0] == self.epoch else 0
        # First what lacks the most: else, where changes come faster than pieces, the same new ones are told
        # in each piece and the rest never.
        reached = NO_VERSION
        for some, generation in ((holds & ~skipped, ask.version[1]), (skipped, ask.ahead_version[1])):
            for shard in self.table.changed_since(generation) if some else ():
                bit = 1 << shard
                if told & bit or not some & bit:
                    continue
                part, more = self._changed_part(shard, generation)
                if parts and size + more > MAX_RESPONSE_BYTES:
                    return parts, False, reached, size
                parts.append(part)
                size += more
            reached = ask.ahead_version if skipped and self.version >= ask.ahead_version else NO_VERSION
        return parts, True, reached, size

    def _changed_part(self, shard: int, generation: int) -> tuple[ResponsePart, int]:
        rows = self.table.rows_changed_since(shard, generation)
        whole = len(self.table.encoded_rows[shard])
        if rows is None:
            return FullShard(shard, tuple(self.table.decode_rows(shard))), whole
        return ShardChanges(shard, rows), whole * len(rows) // max(1, self.table.row_counts[shard])

    def _retry_after_s(self, now: float, ask: ShardRequest) -> float | None:
        """None: it is answered. Else when to come again: by how many are on their way back already, so that
        they don't all come at once; those whose messages end soon come sooner, and find what others leave."""
        if self.tokens_at is not None:
            passed = max(0.0, now - self.tokens_at)
            self.response_tokens = min(
                RESPONSES_PER_S * BURST_S, self.response_tokens + passed * RESPONSES_PER_S
            )
            self.byte_tokens = min(BYTES_S * BURST_S, self.byte_tokens + passed * BYTES_S)
            self.expected_retries = max(0.0, self.expected_retries - passed * RESPONSES_PER_S)
        self.tokens_at = now
        due = min((want.time_left_ms for want in ask.requested_shards), default=URGENT_TIME_LEFT_MS + 1.0)
        kept = (
            0.0
            if due <= URGENT_TIME_LEFT_MS
            else RESERVED_SHARE
            if due <= IDLE_TIME_LEFT_MS
            else 2 * RESERVED_SHARE
        )
        if (
            self.response_tokens >= 1.0 + kept * RESPONSES_PER_S * BURST_S
            and self.byte_tokens > kept * BYTES_S * BURST_S
        ):
            return None
        self.expected_retries += 1.0
        after = max(MIN_RETRY_AFTER_S, -self.byte_tokens / BYTES_S, self.expected_retries / RESPONSES_PER_S)
        return min(MAX_RETRY_AFTER_S, after * (1.0 if kept else 0.5)) * self.rng.uniform(0.7, 1.3)

    def due_digests(self, now: float) -> list[tuple[str, Digest]]:
        """Whose digest is due, and it; some at a time."""
        found: list[tuple[str, Digest]] = []
        while self.is_loaded and len(found) < MAX_DIGESTS_PER_CALL:
            reader = self.subscribers.next_recipient(now, self.table.checksums)
            if reader is None:
                break
            digest = Digest(
                self.layout_checksum,
                self.version,
                reader.shard_set_checksum,
                reader.rows_checksum,
                self._source_age_ms(now),
                self.process_epoch,
                now * 1e3,
            )
            found.append((reader.name, digest))
        return found

    def next_digest_at(self) -> float:
        """When the next digest is due."""
        return self.subscribers.digest_queue[0][0] if self.subscribers.digest_queue else float("inf")

    def _source_age_ms(self, now: float) -> float:
        return min(1e12, max(0.0, now - self.source_confirmed_at) * 1e3)

    def status(self, now: float) -> ShardServerStatus:
        return ShardServerStatus(
            version=self.version,
            destinations=sum(self.table.destination_counts),
            endpoints=sum(self.table.row_counts),
            shards=self.layout.shard_count,
            readers=len(self.subscribers.by_name),
            source_age_s=self._source_age_ms(now) / 1e3,
            bytes_out=self.sent_bytes,
            answers=self.responses,
            busy=self.overloaded,
            refused=self.rejected_updates,
            rewritten=self.same_version_rewrites,
            loading=not self.is_loaded,
            behind=self.requests_ahead,
        )

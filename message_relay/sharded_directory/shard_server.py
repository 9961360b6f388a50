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

from .bulk_load import Change, Load, Staging
from .shard_table import Table, name_mark
from .subscribers import DIGESTS_CALL, Subscribers
from .wire import (
    NONE,
    Changes,
    Digest,
    FullShard,
    Layout,
    LayoutMismatch,
    Overloaded,
    Part,
    Row,
    Same,
    ShardRequest,
    ShardResponse,
    UnreadableFrameError,
    Version,
    layout_sum,
    read_bits,
)

ANSWER_BYTES = 48 << 10  # of one answer, but at least one shard: some 18 of 44 rows, below 10 ms of work
WANTS_BYTES = 36 << 10  # of that for shards that it does not have, so that changes get through beside them
SAME_BYTES = 8  # of a shard that is as the reader has it
ANSWERS_S = 400.0  # answers a second: 440 readers (3,500 of 8 keepers) are through in a second or two
BYTES_S = 4e6  # bytes a second: 440 readers' thousand shards are back within 5 minutes, most needed first
BURST_S = 1.0  # of both at once
URGENT_MS = 2_000.0  # until a message runs out of time: such asks may use up all
RESERVED = 0.25  # of a burst, kept for those; twice that from wants for which no message waits
IDLE_MS = 60_000.0  # due later than this: nothing waits for it
BUSY_LEAST_S, BUSY_MOST_S = 0.1, 3.0  # when to come again; longest: a quarter of the bound of 12 s


class KeeperStatus(msgspec.Struct, frozen=True):
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
        self.layout_sum = layout_sum(layout)
        self.boot = rng.getrandbits(53)
        self.table = Table(layout.shards)
        self.audience = Subscribers(layout.shards, rng)
        self.confirmed_at = float("-inf")
        self.doubted = False  # the source went back: what it confirms isn't what is told here
        self.tokens_at: float | None = None
        self.tokens, self.bytes_left = ANSWERS_S * BURST_S, BYTES_S * BURST_S
        self.turned = 0.0  # asks that were told to come again and are still to come, reckoned
        self.answers = self.busy = self.refused = self.rewritten = self.bytes_out = self.behind = 0

    @property
    def version(self) -> Version:
        return (self.epoch, self.table.generation) if self.loaded else NONE

    @property
    def loaded(self) -> bool:
        return self.table.start >= 0

    # -- the source ------------------------------------------------------------------------------------------

    def begin(self, now: float, version: Version) -> Load:
        """A whole list, as the source had it at `now`. Taken piece by piece: Load.add, end, then step until
        it is done."""
        return Load(self.table, now, version, self._allowed(version), self._taken)

    def change(self, now: float, generation: int) -> Change:
        """Many changes, likewise in steps."""
        version = (self.epoch, generation)
        return Change(self.table, now, version, self.loaded and self._allowed(version), self._taken)

    def changed(
        self, now: float, generation: int, rows: Iterable[Row], lives: Iterable[tuple[str, int]] = ()
    ) -> bool:
        """All changes up to this generation at once. False: refused, and the source has to be asked anew."""
        change = self.change(now, generation)
        change.add(rows, lives)
        if not change.end(now):
            return False
        while not change.step():
            pass
        return change.taken

    def confirmed(self, now: float) -> None:
        """As of `now` the source has nothing but what was taken here. Not for a list that is still read."""
        if self.loaded and not self.doubted:
            self.confirmed_at = max(self.confirmed_at, now)

    def known(self, name: str) -> Row | None:
        """As it is told here, of a source that can't be read of it now."""
        shard = self.table.names.get(name_mark(name))
        rows = [] if shard is None else self.table.rows(shard)
        return next((row for row in rows if row.name == name), None)

    def _allowed(self, version: Version) -> bool:
        if version >= (self.version if self.loaded else (self.epoch, 0)):
            return True
        self.refused += 1
        self.doubted = self.loaded
        return False

    def _taken(self, staged: Staging) -> bool:
        """In one moment: before it the old rows answer under the old version."""
        if not self._allowed(staged.version):
            return False
        epoch, generation = staged.version
        anew = not self.loaded or epoch > self.epoch
        if staged.edits and not anew and generation == self.table.generation:
            self.rewritten += 1  # readers notice by their sums
        if isinstance(staged, Load):
            self.table.names = staged.names
        else:
            assert isinstance(staged, Change)
            for mark, shard in staged.names.items():
                if shard is None:
                    self.table.names.pop(mark, None)
                else:
                    self.table.names[mark] = shard
        if staged.edits or anew or generation > self.table.generation:
            self.audience.grown(self.table.take(generation, staged.edits, anew))
        self.epoch = epoch
        self.doubted = False
        if isinstance(staged, Load):
            self.confirmed_at = max(self.confirmed_at, staged.begun)
        return True

    # -- readers ---------------------------------------------------------------------------------------------

    def asked(
        self, now: float, reader: str, ask: ShardRequest
    ) -> ShardResponse | Overloaded | LayoutMismatch:
        """Raises Unreadable."""
        if ask.layout != self.layout:
            return LayoutMismatch(ask.number, self.layout)
        if not self.loaded:
            return LayoutMismatch(ask.number, self.layout, loading=True)
        holds = read_bits(ask.holds, self.layout.shards)
        further = read_bits(ask.further, self.layout.shards) if ask.further else 0
        for shard in (*(want.shard for want in ask.wants), *(shard for shard, _ in ask.sums)):
            if not 0 <= shard < self.layout.shards:
                raise UnreadableFrameError(f"shard {shard}: there are {self.layout.shards}")
        after = self._too_much(now, ask)
        if after is not None:
            self.busy += 1
            return Overloaded(ask.number, after * 1e3)
        parts, complete, reached, size = self._parts(ask, holds, further)
        for part in parts:
            holds |= 1 << part.shard  # it will: if this answer is lost, the sets differ, and it asks
        self.audience.seen(now, reader, holds, self.table.sums)
        self.answers += 1
        self.bytes_out += size
        self.tokens -= 1.0
        self.bytes_left -= size
        return ShardResponse(
            ask.number,
            self.version,
            tuple(parts),
            complete,
            (self.epoch, self.table.start),
            self._age_ms(now),
            self.boot,
            now * 1e3,
            reached,
        )

    def _parts(self, ask: ShardRequest, holds: int, further: int) -> tuple[list[Part], bool, Version, int]:
        """What it gets, whether that is all, how far all is then, and how many bytes that is about."""
        parts: list[Part] = []
        if self.version < ask.version:
            self.behind += 1  # it would refuse all
            return parts, True, NONE, 0
        size, told = 0, 0
        for want in sorted(ask.wants, key=lambda each: each.due_ms):
            bit = 1 << want.shard
            if not (told | holds) & bit:
                more = len(self.table.blobs[want.shard])
                if parts and size + more > WANTS_BYTES:
                    break
                parts.append(FullShard(want.shard, tuple(self.table.rows(want.shard))))
                told |= bit
                size += more
        since = (self.epoch, self.table.start)
        for shard, total in ask.sums:
            bit = 1 << shard
            if told & bit or not holds & bit:
                continue
            same = total == self.table.sums[shard]
            more = SAME_BYTES if same else len(self.table.blobs[shard])
            if parts and size + more > ANSWER_BYTES:
                break
            parts.append(Same(shard) if same else FullShard(shard, tuple(self.table.rows(shard))))
            told |= bit
            size += more
        if ask.version < since:
            return parts, not holds & ~told, NONE, size
        skipped = further & holds if ask.ahead[0] == self.epoch else 0
        # First what lacks the most: else, where changes come faster than pieces, the same new ones are told
        # in each piece and the rest never.
        reached = NONE
        for some, generation in ((holds & ~skipped, ask.version[1]), (skipped, ask.ahead[1])):
            for shard in self.table.since(generation) if some else ():
                bit = 1 << shard
                if told & bit or not some & bit:
                    continue
                part, more = self._news(shard, generation)
                if parts and size + more > ANSWER_BYTES:
                    return parts, False, reached, size
                parts.append(part)
                size += more
            reached = ask.ahead if skipped and self.version >= ask.ahead else NONE
        return parts, True, reached, size

    def _news(self, shard: int, generation: int) -> tuple[Part, int]:
        rows = self.table.changes(shard, generation)
        whole = len(self.table.blobs[shard])
        if rows is None:
            return FullShard(shard, tuple(self.table.rows(shard))), whole
        return Changes(shard, rows), whole * len(rows) // max(1, self.table.counts[shard])

    def _too_much(self, now: float, ask: ShardRequest) -> float | None:
        """None: it is answered. Else when to come again: by how many are on their way back already, so that
        they don't all come at once; those whose messages end soon come sooner, and find what others leave."""
        if self.tokens_at is not None:
            passed = max(0.0, now - self.tokens_at)
            self.tokens = min(ANSWERS_S * BURST_S, self.tokens + passed * ANSWERS_S)
            self.bytes_left = min(BYTES_S * BURST_S, self.bytes_left + passed * BYTES_S)
            self.turned = max(0.0, self.turned - passed * ANSWERS_S)
        self.tokens_at = now
        due = min((want.due_ms for want in ask.wants), default=URGENT_MS + 1.0)
        kept = 0.0 if due <= URGENT_MS else RESERVED if due <= IDLE_MS else 2 * RESERVED
        if self.tokens >= 1.0 + kept * ANSWERS_S * BURST_S and self.bytes_left > kept * BYTES_S * BURST_S:
            return None
        self.turned += 1.0
        after = max(BUSY_LEAST_S, -self.bytes_left / BYTES_S, self.turned / ANSWERS_S)
        return min(BUSY_MOST_S, after * (1.0 if kept else 0.5)) * self.rng.uniform(0.7, 1.3)

    def digests(self, now: float) -> list[tuple[str, Digest]]:
        """Whose digest is due, and it; some at a time."""
        found: list[tuple[str, Digest]] = []
        while self.loaded and len(found) < DIGESTS_CALL:
            reader = self.audience.next_due(now, self.table.sums)
            if reader is None:
                break
            digest = Digest(
                self.layout_sum,
                self.version,
                reader.set_sum,
                reader.sum,
                self._age_ms(now),
                self.boot,
                now * 1e3,
            )
            found.append((reader.name, digest))
        return found

    def next_at(self) -> float:
        """When the next digest is due."""
        return self.audience.due[0][0] if self.audience.due else float("inf")

    def _age_ms(self, now: float) -> float:
        return min(1e12, max(0.0, now - self.confirmed_at) * 1e3)

    def status(self, now: float) -> KeeperStatus:
        return KeeperStatus(
            version=self.version,
            destinations=sum(self.table.destinations),
            endpoints=sum(self.table.counts),
            shards=self.layout.shards,
            readers=len(self.audience.readers),
            source_age_s=self._age_ms(now) / 1e3,
            bytes_out=self.bytes_out,
            answers=self.answers,
            busy=self.busy,
            refused=self.refused,
            rewritten=self.rewritten,
            loading=not self.loaded,
            behind=self.behind,
        )

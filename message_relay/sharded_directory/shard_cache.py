"""The shards that a reader holds, and what of them the directory knows. No I/O.

The directory is told of the destinations in use, not of all that share their shards: an endpoint costs it
some 2 KB, and 1,000 destinations in use lie in shards of 41,000.

Which word stands: each shard is as of a version, and older never replaces newer. A name may move between
shards, of which one is here as of a later version than the other. So what a shard says first of a name
counts only if the shard is as of `top`, the latest version that any shard was ever as of; else what was
told goes on, and the rest waits until the shard has caught up. For the same reason a shard that isn't here
is only taken as of `top`: it may have been here, and given up.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable

import msgspec

from ..core.ports import EndpointRecord, EndpointUpdate
from ..decisions.model import Listing
from . import bits
from .rendezvous_hash import shard_of
from .wire import GONE, LISTINGS, NONE, SUM_MASK, Row, Version, row_sum, shard_mark

CHECKS_TICK = 64  # shards looked at for idleness in one tick, of some destinations in use each: below 1 ms
CHECKS_IDLE = 4  # looks within the idle time: it is kept to within a quarter
HOST_LETTERS = 253  # of a name in DNS

_ENCODER = msgspec.msgpack.Encoder()
_ROWS: msgspec.msgpack.Decoder[list[Row]] = msgspec.msgpack.Decoder(list[Row])


def readable(row: Row) -> bool:
    """Whether a call could be made by it."""
    return (
        0 < row.port < 1 << 16
        and 0 < len(row.host) <= HOST_LETTERS
        and 0.0 <= row.rate < float("inf")
        and row.destination >= 0
        and row.name != ""
    )


def member(row: Row) -> EndpointRecord:
    return EndpointRecord(
        row.name, row.destination, LISTINGS[row.listing], (row.host, row.port), row.kind, row.zone, row.rate
    )


class CachedShard:
    """A shard that is here."""

    __slots__ = ("blob", "sum", "as_of", "used", "present", "told", "used_at", "waits", "bad")

    def __init__(self, now: float) -> None:
        self.blob = b""
        self.sum = 0
        self.as_of = NONE
        self.used: dict[int, float] = {}  # destinations, and when last
        self.present: set[int] = set()  # of these, such as there are
        self.told: dict[str, int] = {}  # names that the directory has from here, with their rows' sums
        self.used_at = now
        self.bad: set[int] = set()  # entries that can't be read, by their sums
        self.waits = False  # something in it is not told before it is as of `top`


class ShardCache:
    def __init__(self, shards: int, idle_s: float) -> None:
        self.shards, self.idle_s = shards, idle_s
        self.held: dict[int, CachedShard] = {}
        self.bits = self.sum = self.set_sum = 0
        self.base = NONE  # all are as of this or a later version
        self.top = NONE
        self.mark = NONE  # of an answer in pieces: shards that have reached it aren't asked from `base`
        self.names: dict[str, int] = {}  # that the directory has: from which shard
        self.updates: list[EndpointUpdate] = []
        self.checks: deque[tuple[float, int]] = deque()  # (when, shard) to look whether it is idle, in order
        self.behind: set[int] = set()  # shards that wait for `top`
        self.unreadable = 0  # entries
        self.endpoints = 0
        self.read_rows = 0  # for tests of what an answer costs

    def as_of(self, held: CachedShard) -> Version:
        return max(held.as_of, self.base)

    def settled(self, shard: int) -> bool:
        """Whether it is here, and what it says first of a destination counts."""
        held = self.held.get(shard)
        return held is not None and self.as_of(held) >= self.top

    # -- what keepers say ------------------------------------------------------------------------------------

    def add(self, now: float, shard: int, rows: Iterable[Row], version: Version) -> int:
        """A shard that was not here, and is wanted. Its bytes; the caller has compared `version` with
        `top`."""
        if not self.held:
            self.base = version
        held = self.held[shard] = CachedShard(now)
        self.bits |= 1 << shard
        self.set_sum = self.set_sum + shard_mark(shard) & SUM_MASK
        self.checks.append((now + self.idle_s / CHECKS_IDLE, shard))
        return self._put(shard, held, list(rows), version)

    def replace(self, shard: int, rows: Iterable[Row], version: Version) -> int:
        return self._put(shard, self.held[shard], list(rows), version)

    def change(self, shard: int, rows: Iterable[Row], version: Version) -> int:
        """Its rows that are new since a version that it is as of, or later. Their bytes, as they came: not
        the shard's, which would use up in a storm what a reader may ask for."""
        held, rows = self.held[shard], list(rows)
        known = {row.name: row for row in self._read(held)}
        for row in rows:
            if row.listing == GONE:
                known.pop(row.name, None)
            else:
                known[row.name] = row
        self._put(shard, held, list(known.values()), version)
        return len(_ENCODER.encode(rows))

    def _put(self, shard: int, held: CachedShard, rows: list[Row], version: Version) -> int:
        before = held.sum
        held.blob = _ENCODER.encode(rows)
        held.sum = sum(map(row_sum, rows)) & SUM_MASK
        self.sum = self.sum + held.sum - before & SUM_MASK
        held.as_of, self.top = version, max(self.top, version)
        self.tell(shard, rows)
        return len(held.blob)

    def confirm(self, shard: int, version: Version) -> None:
        """It is as of this version, as it is."""
        held = self.held[shard]
        held.as_of, self.top = max(held.as_of, version), max(self.top, version)
        self._settle(shard, held)

    def confirm_all(self, version: Version, covered: int) -> None:
        """Shards of `covered` are as of this version. Those that came meanwhile are as of their own."""
        if not self.held:
            return  # nothing to be older than: who has nothing need not wait for the latest keeper
        rest = [self.held[shard] for shard in bits.numbers(self.bits & ~covered)]
        self.top = max(self.top, version)
        if all(self.as_of(held) >= version for held in rest):
            self.base = max(self.base, version)
        else:
            for shard in bits.numbers(self.bits & covered):
                held = self.held[shard]
                held.as_of = max(held.as_of, version)
        for shard in list(self.behind):
            self._settle(shard, self.held[shard])

    def rebase(self) -> None:
        """After shards were compared one by one: a walk over all that are here."""
        if self.held:
            self.base = max(self.base, min(self.as_of(held) for held in self.held.values()))

    def older(self, version: Version) -> list[int]:
        """Shards that are as of an earlier one: likewise."""
        if self.base >= version:
            return []
        return [shard for shard, held in self.held.items() if self.as_of(held) < version]

    def ahead(self) -> int:
        """Shards that are as of `mark` or later, where not all are: likewise. The mark stays until all have
        reached it: by one that rose with each piece, all would begin anew where versions come faster."""
        if self.base >= self.top:
            return 0
        if self.base >= self.mark:
            self.mark = self.top
        found = [shard for shard, held in self.held.items() if held.as_of >= self.mark]
        return sum(1 << shard for shard in found)

    def _read(self, held: CachedShard) -> list[Row]:
        rows = _ROWS.decode(held.blob) if held.blob else []
        self.read_rows += len(rows)
        return rows

    # -- what the directory hears ----------------------------------------------------------------------------

    def _settle(self, shard: int, held: CachedShard) -> None:
        if held.waits and self.as_of(held) >= self.top:
            self.tell(shard)

    def tell(self, shard: int, rows: list[Row] | None = None) -> None:
        """What is new of its destinations in use."""
        held = self.held[shard]
        rows = self._read(held) if rows is None else rows
        first_counts = self.as_of(held) >= self.top
        told, members, lives = {}, [], []
        bad, held.bad = held.bad, set()
        held.present.clear()
        held.waits = False
        for row in rows:
            if row.listing == GONE:
                continue
            if row.destination not in held.used:
                if self._takes_over(shard, held, row.name):
                    lives.append((row.name, Listing.GONE))
                continue
            mark = row_sum(row)
            before = held.told.get(row.name)
            if before is None and not first_counts:
                held.waits = True
                held.present.add(row.destination)
                continue
            known = row.name in self.names
            if before is None and known and not self._takes_over(shard, held, row.name):
                continue  # two shards of one version have it: a keeper's fault
            if before != mark:
                if not 0 <= row.listing < GONE or not readable(row):
                    self.unreadable += mark not in bad
                    held.bad.add(mark)
                    if not known:
                        continue
                    if 0 <= row.listing < GONE:  # what it says of its life can be read
                        lives.append((row.name, LISTINGS[row.listing]))
                else:
                    members.append(member(row))
            held.present.add(row.destination)
            told[row.name] = mark
            self.names[row.name] = shard
        for name in held.told:
            if name not in told:
                del self.names[name]
                lives.append((name, Listing.GONE))
        self.endpoints += len(told) - len(held.told)
        held.told = told
        (self.behind.add if held.waits else self.behind.discard)(shard)
        self._update(members, lives)

    def _takes_over(self, shard: int, held: CachedShard, name: str) -> bool:
        """The name was told from another shard, of an earlier version: it has moved here."""
        at = self.names.get(name)
        if at is None or at == shard or self.as_of(self.held[at]) >= self.as_of(held):
            return False
        del self.names[name], self.held[at].told[name]
        self.endpoints -= 1
        return True

    def _update(self, members: list[EndpointRecord], lives: list[tuple[str, Listing]]) -> None:
        if members or lives:
            self.updates.append(EndpointUpdate(False, tuple(members), tuple(lives)))

    # -- use -------------------------------------------------------------------------------------------------

    def use(self, now: float, destinations: Iterable[int], shard: int) -> list[int]:
        """They are in use from now on, and the directory hears of them. Those that there are not."""
        held = self.held[shard]
        new = [each for each in destinations if each not in held.used]
        held.used.update(dict.fromkeys(destinations, now))
        held.used_at = now
        self.tell(shard)
        absent = [each for each in new if each not in held.present]
        for each in absent:
            del held.used[each]
        return absent

    def touch(self, now: float, destination: int) -> bool:
        """It is used once more; False: it is not in use."""
        held = self.held.get(shard_of(destination, self.shards))
        if held is None or destination not in held.used:
            return False
        held.used[destination] = held.used_at = now
        return True

    def sweep(self, now: float, in_use: Callable[[int], bool], wanted: Callable[[int], bool]) -> bool:
        """Gives up what is idle: destinations, and shards without any. Whether a shard was."""
        any_given = False
        for _ in range(CHECKS_TICK):
            if not self.checks or self.checks[0][0] > now:
                break
            _, shard = self.checks.popleft()
            held = self.held[shard]
            idle = [each for each, at in held.used.items() if now - at >= self.idle_s]
            dropped = False
            for each in idle:
                if in_use(each):
                    held.used[each] = held.used_at = now
                else:
                    del held.used[each]
                    dropped = True
            if not held.used and now - held.used_at >= self.idle_s and not wanted(shard):
                self._give_up(shard, held)
                any_given = True
                continue
            if dropped:
                self.tell(shard)
            self.checks.append((now + self.idle_s / CHECKS_IDLE, shard))
        return any_given

    def _give_up(self, shard: int, held: CachedShard) -> None:
        for name in held.told:
            del self.names[name]
        self.endpoints -= len(held.told)
        self._update([], [(name, Listing.UNNEEDED) for name in held.told])
        self.top = max(self.top, self.as_of(held))
        del self.held[shard]
        self.behind.discard(shard)
        self.bits ^= 1 << shard
        self.sum = self.sum - held.sum & SUM_MASK
        self.set_sum = self.set_sum - shard_mark(shard) & SUM_MASK

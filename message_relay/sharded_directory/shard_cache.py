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
from . import bitset
from .rendezvous_hash import shard_of
from .wire import CHECKSUM_MASK, GONE, LISTINGS, NO_VERSION, Row, Version, row_checksum, shard_number_hash

IDLE_CHECKS_PER_TICK = (
    64  # shards looked at for idleness in one tick, of some destinations in use each: below 1 ms
)
CHECKS_PER_IDLE_PERIOD = 4  # looks within the idle time: it is kept to within a quarter
MAX_HOST_LENGTH = 253  # of a name in DNS

_ENCODER = msgspec.msgpack.Encoder()
_ROWS: msgspec.msgpack.Decoder[list[Row]] = msgspec.msgpack.Decoder(list[Row])


def is_readable(row: Row) -> bool:
    """Whether a call could be made by it."""
    return (
        0 < row.port < 1 << 16
        and 0 < len(row.host) <= MAX_HOST_LENGTH
        and 0.0 <= row.rate < float("inf")
        and row.destination >= 0
        and row.name != ""
    )


def endpoint_record(row: Row) -> EndpointRecord:
    return EndpointRecord(
        row.name, row.destination, LISTINGS[row.listing], (row.host, row.port), row.kind, row.zone, row.rate
    )


class CachedShard:
    """A shard that is here."""

    __slots__ = (
        "encoded_rows",
        "checksum",
        "version",
        "last_used",
        "existing_destinations",
        "published",
        "last_used_at",
        "is_waiting",
        "unreadable_rows",
    )

    def __init__(self, now: float) -> None:
        self.encoded_rows = b""
        self.checksum = 0
        self.version = NO_VERSION
        self.last_used: dict[int, float] = {}  # destinations, and when last
        self.existing_destinations: set[int] = set()  # of these, such as there are
        self.published: dict[str, int] = {}  # names that the directory has from here, with their rows' sums
        self.last_used_at = now
        self.unreadable_rows: set[int] = set()  # entries that can't be read, by their sums
        self.is_waiting = False  # something in it is not told before it is as of `top`


class ShardCache:
    def __init__(self, shards: int, idle_s: float) -> None:
        self.shard_count, self.idle_s = shards, idle_s
        self.resident: dict[int, CachedShard] = {}
        self.resident_bits = self.rows_checksum = self.shard_set_checksum = 0
        self.common_version = NO_VERSION  # all are as of this or a later version
        self.latest_version = NO_VERSION
        self.catch_up_version = (
            NO_VERSION  # of an answer in pieces: shards that have reached it aren't asked from `base`
        )
        self.shard_by_name: dict[str, int] = {}  # that the directory has: from which shard
        self.updates: list[EndpointUpdate] = []
        self.idle_checks: deque[tuple[float, int]] = (
            deque()
        )  # (when, shard) to look whether it is idle, in order
        self.waiting_shards: set[int] = set()  # shards that wait for `top`
        self.unreadable_entries = 0  # entries
        self.endpoint_count = 0
        self.decoded_rows = 0  # for tests of what an answer costs

    def version_of(self, held: CachedShard) -> Version:
        return max(held.version, self.common_version)

    def is_settled(self, shard: int) -> bool:
        """Whether it is here, and what it says first of a destination counts."""
        held = self.resident.get(shard)
        return held is not None and self.version_of(held) >= self.latest_version

    # -- what keepers say ------------------------------------------------------------------------------------

    def add(self, now: float, shard: int, rows: Iterable[Row], version: Version) -> int:
        """A shard that was not here, and is wanted. Its bytes; the caller has compared `version` with
        `top`."""
        if not self.resident:
            self.common_version = version
        held = self.resident[shard] = CachedShard(now)
        self.resident_bits |= 1 << shard
        self.shard_set_checksum = self.shard_set_checksum + shard_number_hash(shard) & CHECKSUM_MASK
        self.idle_checks.append((now + self.idle_s / CHECKS_PER_IDLE_PERIOD, shard))
        return self._store(shard, held, list(rows), version)

    def replace(self, shard: int, rows: Iterable[Row], version: Version) -> int:
        return self._store(shard, self.resident[shard], list(rows), version)

    def apply_changes(self, shard: int, rows: Iterable[Row], version: Version) -> int:
        """Its rows that are new since a version that it is as of, or later. Their bytes, as they came: not
        the shard's, which would use up in a storm what a reader may ask for."""
        held, rows = self.resident[shard], list(rows)
        known = {row.name: row for row in self._decode_rows(held)}
        for row in rows:
            if row.listing == GONE:
                known.pop(row.name, None)
            else:
                known[row.name] = row
        self._store(shard, held, list(known.values()), version)
        return len(_ENCODER.encode(rows))

    def _store(self, shard: int, held: CachedShard, rows: list[Row], version: Version) -> int:
        before = held.checksum
        held.encoded_rows = _ENCODER.encode(rows)
        held.checksum = sum(map(row_checksum, rows)) & CHECKSUM_MASK
        self.rows_checksum = self.rows_checksum + held.checksum - before & CHECKSUM_MASK
        held.version, self.latest_version = version, max(self.latest_version, version)
        self.publish(shard, rows)
        return len(held.encoded_rows)

    def confirm(self, shard: int, version: Version) -> None:
        """It is as of this version, as it is."""
        held = self.resident[shard]
        held.version, self.latest_version = max(held.version, version), max(self.latest_version, version)
        self._publish_waiting(shard, held)

    def confirm_all(self, version: Version, covered: int) -> None:
        """Shards of `covered` are as of this version. Those that came meanwhile are as of their own."""
        if not self.resident:
            return  # nothing to be older than: who has nothing need not wait for the latest keeper
        rest = [self.resident[shard] for shard in bitset.set_bits(self.resident_bits & ~covered)]
        self.latest_version = max(self.latest_version, version)
        if all(self.version_of(held) >= version for held in rest):
            self.common_version = max(self.common_version, version)
        else:
            for shard in bitset.set_bits(self.resident_bits & covered):
                held = self.resident[shard]
                held.version = max(held.version, version)
        for shard in list(self.waiting_shards):
            self._publish_waiting(shard, self.resident[shard])

    def raise_common_version(self) -> None:
        """After shards were compared one by one: a walk over all that are here."""
        if self.resident:
            self.common_version = max(
                self.common_version, min(self.version_of(held) for held in self.resident.values())
            )

    def shards_older_than(self, version: Version) -> list[int]:
        """Shards that are as of an earlier one: likewise."""
        if self.common_version >= version:
            return []
        return [shard for shard, held in self.resident.items() if self.version_of(held) < version]

    def shards_ahead(self) -> int:
        """Shards that are as of `mark` or later, where not all are: likewise. The mark stays until all have
        reached it: by one that rose with each piece, all would begin anew where versions come faster."""
        if self.common_version >= self.latest_version:
            return 0
        if self.common_version >= self.catch_up_version:
            self.catch_up_version = self.latest_version
        found = [shard for shard, held in self.resident.items() if held.version >= self.catch_up_version]
        return sum(1 << shard for shard in found)

    def _decode_rows(self, held: CachedShard) -> list[Row]:
        rows = _ROWS.decode(held.encoded_rows) if held.encoded_rows else []
        self.decoded_rows += len(rows)
        return rows

    # -- what the directory hears ----------------------------------------------------------------------------

    def _publish_waiting(self, shard: int, held: CachedShard) -> None:
        if held.is_waiting and self.version_of(held) >= self.latest_version:
            self.publish(shard)

    def publish(self, shard: int, rows: list[Row] | None = None) -> None:
        """What is new of its destinations in use."""
        held = self.resident[shard]
        rows = self._decode_rows(held) if rows is None else rows
        first_counts = self.version_of(held) >= self.latest_version
        told, members, lives = {}, [], []
        bad, held.unreadable_rows = held.unreadable_rows, set()
        held.existing_destinations.clear()
        held.is_waiting = False
        for row in rows:
            if row.listing == GONE:
                continue
            if row.destination not in held.last_used:
                if self._take_over_name(shard, held, row.name):
                    lives.append((row.name, Listing.REMOVED))
                continue
            mark = row_checksum(row)
            before = held.published.get(row.name)
            if before is None and not first_counts:
                held.is_waiting = True
                held.existing_destinations.add(row.destination)
                continue
            known = row.name in self.shard_by_name
            if before is None and known and not self._take_over_name(shard, held, row.name):
                continue  # two shards of one version have it: a keeper's fault
            if before != mark:
                if not 0 <= row.listing < GONE or not is_readable(row):
                    self.unreadable_entries += mark not in bad
                    held.unreadable_rows.add(mark)
                    if not known:
                        continue
                    if 0 <= row.listing < GONE:  # what it says of its life can be read
                        lives.append((row.name, LISTINGS[row.listing]))
                else:
                    members.append(endpoint_record(row))
            held.existing_destinations.add(row.destination)
            told[row.name] = mark
            self.shard_by_name[row.name] = shard
        for name in held.published:
            if name not in told:
                del self.shard_by_name[name]
                lives.append((name, Listing.REMOVED))
        self.endpoint_count += len(told) - len(held.published)
        held.published = told
        (self.waiting_shards.add if held.is_waiting else self.waiting_shards.discard)(shard)
        self._queue_update(members, lives)

    def _take_over_name(self, shard: int, held: CachedShard, name: str) -> bool:
        """The name was told from another shard, of an earlier version: it has moved here."""
        at = self.shard_by_name.get(name)
        if at is None or at == shard or self.version_of(self.resident[at]) >= self.version_of(held):
            return False
        del self.shard_by_name[name], self.resident[at].published[name]
        self.endpoint_count -= 1
        return True

    def _queue_update(self, members: list[EndpointRecord], lives: list[tuple[str, Listing]]) -> None:
        if members or lives:
            self.updates.append(EndpointUpdate(False, tuple(members), tuple(lives)))

    # -- use -------------------------------------------------------------------------------------------------

    def start_use(self, now: float, destinations: Iterable[int], shard: int) -> list[int]:
        """They are in use from now on, and the directory hears of them. Those that there are not."""
        held = self.resident[shard]
        new = [each for each in destinations if each not in held.last_used]
        held.last_used.update(dict.fromkeys(destinations, now))
        held.last_used_at = now
        self.publish(shard)
        absent = [each for each in new if each not in held.existing_destinations]
        for each in absent:
            del held.last_used[each]
        return absent

    def touch(self, now: float, destination: int) -> bool:
        """It is used once more; False: it is not in use."""
        held = self.resident.get(shard_of(destination, self.shard_count))
        if held is None or destination not in held.last_used:
            return False
        held.last_used[destination] = held.last_used_at = now
        return True

    def evict_idle(
        self, now: float, is_in_use: Callable[[int], bool], is_requested: Callable[[int], bool]
    ) -> bool:
        """Gives up what is idle: destinations, and shards without any. Whether a shard was."""
        any_given = False
        for _ in range(IDLE_CHECKS_PER_TICK):
            if not self.idle_checks or self.idle_checks[0][0] > now:
                break
            _, shard = self.idle_checks.popleft()
            held = self.resident[shard]
            idle = [each for each, at in held.last_used.items() if now - at >= self.idle_s]
            dropped = False
            for each in idle:
                if is_in_use(each):
                    held.last_used[each] = held.last_used_at = now
                else:
                    del held.last_used[each]
                    dropped = True
            if not held.last_used and now - held.last_used_at >= self.idle_s and not is_requested(shard):
                self._evict(shard, held)
                any_given = True
                continue
            if dropped:
                self.publish(shard)
            self.idle_checks.append((now + self.idle_s / CHECKS_PER_IDLE_PERIOD, shard))
        return any_given

    def _evict(self, shard: int, held: CachedShard) -> None:
        for name in held.published:
            del self.shard_by_name[name]
        self.endpoint_count -= len(held.published)
        self._queue_update([], [(name, Listing.UNNEEDED) for name in held.published])
        self.latest_version = max(self.latest_version, self.version_of(held))
        del self.resident[shard]
        self.waiting_shards.discard(shard)
        self.resident_bits ^= 1 << shard
        self.rows_checksum = self.rows_checksum - held.checksum & CHECKSUM_MASK
        self.shard_set_checksum = self.shard_set_checksum - shard_number_hash(shard) & CHECKSUM_MASK

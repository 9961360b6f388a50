"""Caches the resident shards of a client, and publishes their endpoints to the directory. No I/O.

The directory gets the endpoints of destinations in use, not of all destinations in their shards: an endpoint
costs it some 2 KB, and 1,000 destinations in use lie in shards with 41,000.

Versions: each shard is as of a version, and older data never replace newer. A name may move between two
shards, of which one is resident as of a later version than the other. So a name that is new in a shard is
published only if the shard is as of `latest_version`, the latest version that any shard ever had; otherwise
the published data stay, and new names wait until the shard has caught up. For the same reason a shard that
isn't resident is only added as of `latest_version`: it may have been resident before, and evicted.
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

IDLE_CHECKS_PER_TICK = 64  # shards checked for idleness, with a few destinations in use each: below 1 ms
CHECKS_PER_IDLE_PERIOD = 4  # an idle shard is evicted up to a quarter of the idle time late
MAX_HOST_LENGTH = 253  # maximum length of a DNS name

_ENCODER = msgspec.msgpack.Encoder()
_ROWS: msgspec.msgpack.Decoder[list[Row]] = msgspec.msgpack.Decoder(list[Row])


def is_readable(row: Row) -> bool:
    """Whether the row is valid, so that a call could be made with it."""
    return (
        0 < row.port < 1 << 16
        and 0 < len(row.host) <= MAX_HOST_LENGTH
        and 0.0 <= row.rate < float("inf")
        and row.destination >= 0
        and row.name != ""
    )


def endpoint_record(row: Row) -> EndpointRecord:
    """Convert a readable row for the directory."""
    return EndpointRecord(
        row.name, row.destination, LISTINGS[row.listing], (row.host, row.port), row.kind, row.zone, row.rate
    )


class CachedShard:
    """A resident shard."""

    __slots__ = (
        "checksum",
        "encoded_rows",
        "existing_destinations",
        "is_waiting",
        "last_used",
        "last_used_at",
        "published",
        "unreadable_rows",
        "version",
    )

    def __init__(self, now: float) -> None:
        self.encoded_rows = b""
        self.checksum = 0
        self.version = NO_VERSION
        self.last_used: dict[int, float] = {}  # destinations in use -> time of the last use
        self.existing_destinations: set[int] = set()  # those of `last_used` that exist
        self.published: dict[str, int] = {}  # names published from this shard -> checksums of their rows
        self.last_used_at = now
        self.unreadable_rows: set[int] = set()  # their checksums
        self.is_waiting = False  # some names wait until the shard is as of `latest_version`


class _Publication:
    """Intermediate result of one publication of a shard."""

    __slots__ = ("listings", "published", "records", "unreadable_before")

    def __init__(self, unreadable_before: set[int]) -> None:
        self.unreadable_before = unreadable_before
        self.published: dict[str, int] = {}
        self.records: list[EndpointRecord] = []
        self.listings: list[tuple[str, Listing]] = []


class ShardCache:
    """All resident shards of a client."""

    def __init__(self, shard_count: int, idle_s: float) -> None:
        self.shard_count = shard_count
        self.idle_s = idle_s
        self.resident: dict[int, CachedShard] = {}
        self.resident_bits = 0  # bitset of the resident shards
        self.rows_checksum = 0  # over all resident rows
        self.shard_set_checksum = 0
        self.common_version = NO_VERSION  # all resident shards are as of this or a later version
        self.latest_version = NO_VERSION
        self.catch_up_version = NO_VERSION  # target of a series of incomplete responses: see shards_ahead
        self.shard_by_name: dict[str, int] = {}  # published names
        self.updates: list[EndpointUpdate] = []
        self.idle_checks: deque[tuple[float, int]] = deque()  # (time, shard), ascending
        self.waiting_shards: set[int] = set()  # shards with `CachedShard.is_waiting`
        self.unreadable_entries = 0
        self.endpoint_count = 0
        self.decoded_rows = 0  # measures the cost of responses

    def version_of(self, cached: CachedShard) -> Version:
        """Return the version that a shard is as of."""
        return max(cached.version, self.common_version)

    def is_settled(self, shard: int) -> bool:
        """Whether the shard is resident, and new names in it may be published."""
        cached = self.resident.get(shard)
        return cached is not None and self.version_of(cached) >= self.latest_version

    # -- data from servers -----------------------------------------------------------------------------------

    def add(self, now: float, shard: int, rows: Iterable[Row], version: Version) -> int:
        """Add a shard that was not resident; return its bytes.

        The caller has checked that `version` is not below `latest_version`.
        """
        if not self.resident:
            self.common_version = version
        cached = self.resident[shard] = CachedShard(now)
        self.resident_bits |= 1 << shard
        self.shard_set_checksum = self.shard_set_checksum + shard_number_hash(shard) & CHECKSUM_MASK
        self.idle_checks.append((now + self.idle_s / CHECKS_PER_IDLE_PERIOD, shard))
        return self._store(shard, cached, list(rows), version)

    def replace(self, shard: int, rows: Iterable[Row], version: Version) -> int:
        """Replace a resident shard's rows; return their bytes."""
        return self._store(shard, self.resident[shard], list(rows), version)

    def apply_changes(self, shard: int, rows: Iterable[Row], version: Version) -> int:
        """Apply the changes since the shard's version, or since an earlier one; return their bytes.

        The bytes are not those of the whole shard: in a storm of changes these would use up the limit of
        received bytes.
        """
        cached = self.resident[shard]
        changed_rows = list(rows)
        rows_by_name = {row.name: row for row in self._decode_rows(cached)}
        for row in changed_rows:
            if row.listing == GONE:
                rows_by_name.pop(row.name, None)
            else:
                rows_by_name[row.name] = row
        self._store(shard, cached, list(rows_by_name.values()), version)
        return len(_ENCODER.encode(changed_rows))

    def _store(self, shard: int, cached: CachedShard, rows: list[Row], version: Version) -> int:
        checksum_before = cached.checksum
        cached.encoded_rows = _ENCODER.encode(rows)
        cached.checksum = sum(map(row_checksum, rows)) & CHECKSUM_MASK
        self.rows_checksum = self.rows_checksum + cached.checksum - checksum_before & CHECKSUM_MASK
        cached.version = version
        self.latest_version = max(self.latest_version, version)
        self.publish(shard, rows)
        return len(cached.encoded_rows)

    def confirm(self, shard: int, version: Version) -> None:
        """Record that the shard is unchanged as of this version."""
        cached = self.resident[shard]
        cached.version = max(cached.version, version)
        self.latest_version = max(self.latest_version, version)
        self._publish_waiting(shard, cached)

    def confirm_all(self, version: Version, covered: int) -> None:
        """Record that the shards of the bitset `covered` are as of this version; later ones keep theirs."""
        if not self.resident:
            return  # nothing resident is older: an empty cache need not wait for the latest version
        others = [self.resident[shard] for shard in bitset.set_bits(self.resident_bits & ~covered)]
        self.latest_version = max(self.latest_version, version)
        if all(self.version_of(cached) >= version for cached in others):
            self.common_version = max(self.common_version, version)
        else:
            for shard in bitset.set_bits(self.resident_bits & covered):
                cached = self.resident[shard]
                cached.version = max(cached.version, version)
        for shard in list(self.waiting_shards):
            self._publish_waiting(shard, self.resident[shard])

    def raise_common_version(self) -> None:
        """Raise `common_version` to the oldest shard's, after a comparison. Iterates over all shards."""
        if self.resident:
            oldest = min(self.version_of(cached) for cached in self.resident.values())
            self.common_version = max(self.common_version, oldest)

    def shards_older_than(self, version: Version) -> list[int]:
        """Return the shards as of an earlier version. Iterates over all resident shards."""
        if self.common_version >= version:
            return []
        return [shard for shard, cached in self.resident.items() if self.version_of(cached) < version]

    def shards_ahead(self) -> int:
        """Return the bitset of the shards as of `catch_up_version` or later; 0 if all are as of the latest.

        Requests for changes since `common_version` exclude these shards. The catch-up version stays until all
        shards have reached it: if it rose with each incomplete response, all would start over when versions
        come faster than responses. Iterates over all resident shards.
        """
        if self.common_version >= self.latest_version:
            return 0
        if self.common_version >= self.catch_up_version:
            self.catch_up_version = self.latest_version
        ahead = [shard for shard, cached in self.resident.items() if cached.version >= self.catch_up_version]
        return sum(1 << shard for shard in ahead)

    def _decode_rows(self, cached: CachedShard) -> list[Row]:
        rows = _ROWS.decode(cached.encoded_rows) if cached.encoded_rows else []
        self.decoded_rows += len(rows)
        return rows

    # -- updates of the directory ----------------------------------------------------------------------------

    def _publish_waiting(self, shard: int, cached: CachedShard) -> None:
        if cached.is_waiting and self.version_of(cached) >= self.latest_version:
            self.publish(shard)

    def publish(self, shard: int, rows: list[Row] | None = None) -> None:
        """Queue an update with the changes of the shard's destinations in use."""
        cached = self.resident[shard]
        rows = self._decode_rows(cached) if rows is None else rows
        publication = _Publication(cached.unreadable_rows)
        cached.unreadable_rows = set()
        cached.existing_destinations.clear()
        cached.is_waiting = False
        for row in rows:
            if row.listing == GONE:
                continue
            if row.destination in cached.last_used:
                self._publish_row(shard, cached, row, publication)
            elif self._claim_moved_name(shard, cached, row.name):
                publication.listings.append((row.name, Listing.REMOVED))
        for name in cached.published:
            if name not in publication.published:
                del self.shard_by_name[name]
                publication.listings.append((name, Listing.REMOVED))
        self.endpoint_count += len(publication.published) - len(cached.published)
        cached.published = publication.published
        if cached.is_waiting:
            self.waiting_shards.add(shard)
        else:
            self.waiting_shards.discard(shard)
        self._queue_update(publication.records, publication.listings)

    def _publish_row(self, shard: int, cached: CachedShard, row: Row, publication: _Publication) -> None:
        """Publish a row of a destination in use if it has changed."""
        checksum = row_checksum(row)
        checksum_before = cached.published.get(row.name)
        if checksum_before is None and self.version_of(cached) < self.latest_version:
            cached.is_waiting = True
            cached.existing_destinations.add(row.destination)
            return
        is_known = row.name in self.shard_by_name
        if checksum_before is None and is_known and not self._claim_moved_name(shard, cached, row.name):
            return  # in two shards as of one version: a fault of a server
        if checksum_before != checksum and not self._publish_change(
            cached, row, checksum, is_known, publication
        ):
            return
        cached.existing_destinations.add(row.destination)
        publication.published[row.name] = checksum
        self.shard_by_name[row.name] = shard

    def _publish_change(
        self, cached: CachedShard, row: Row, checksum: int, is_known: bool, publication: _Publication
    ) -> bool:
        """Publish a changed row; return False if nothing of it can be used."""
        has_listing = 0 <= row.listing < GONE
        if has_listing and is_readable(row):
            publication.records.append(endpoint_record(row))
            return True
        self.unreadable_entries += checksum not in publication.unreadable_before
        cached.unreadable_rows.add(checksum)
        if is_known and has_listing:  # the listing of an unreadable row still counts
            publication.listings.append((row.name, LISTINGS[row.listing]))
        return is_known

    def _claim_moved_name(self, shard: int, cached: CachedShard, name: str) -> bool:
        """Withdraw the name from another shard as of an earlier version; return whether it had moved."""
        other_shard = self.shard_by_name.get(name)
        if other_shard is None or other_shard == shard:
            return False
        other = self.resident[other_shard]
        if self.version_of(other) >= self.version_of(cached):
            return False
        del self.shard_by_name[name]
        del other.published[name]
        self.endpoint_count -= 1
        return True

    def _queue_update(self, records: list[EndpointRecord], listings: list[tuple[str, Listing]]) -> None:
        if records or listings:
            self.updates.append(EndpointUpdate(False, tuple(records), tuple(listings)))

    # -- use -------------------------------------------------------------------------------------------------

    def start_use(self, now: float, destinations: Iterable[int], shard: int) -> list[int]:
        """Start to publish the destinations; return those that don't exist."""
        cached = self.resident[shard]
        new = [destination for destination in destinations if destination not in cached.last_used]
        cached.last_used.update(dict.fromkeys(destinations, now))
        cached.last_used_at = now
        self.publish(shard)
        missing = [destination for destination in new if destination not in cached.existing_destinations]
        for destination in missing:
            del cached.last_used[destination]
        return missing

    def touch(self, now: float, destination: int) -> bool:
        """Record a use of the destination; return False if it is not in use."""
        cached = self.resident.get(shard_of(destination, self.shard_count))
        if cached is None or destination not in cached.last_used:
            return False
        cached.last_used[destination] = now
        cached.last_used_at = now
        return True

    def evict_idle(
        self, now: float, is_in_use: Callable[[int], bool], is_requested: Callable[[int], bool]
    ) -> bool:
        """Evict idle destinations, and shards without any; return whether a shard was evicted."""
        has_evicted = False
        for _ in range(IDLE_CHECKS_PER_TICK):
            if not self.idle_checks or self.idle_checks[0][0] > now:
                break
            _, shard = self.idle_checks.popleft()
            cached = self.resident[shard]
            has_dropped = self._drop_idle_destinations(now, cached, is_in_use)
            is_idle = not cached.last_used and now - cached.last_used_at >= self.idle_s
            if is_idle and not is_requested(shard):
                self._evict(shard, cached)
                has_evicted = True
                continue
            if has_dropped:
                self.publish(shard)
            self.idle_checks.append((now + self.idle_s / CHECKS_PER_IDLE_PERIOD, shard))
        return has_evicted

    def _drop_idle_destinations(
        self, now: float, cached: CachedShard, is_in_use: Callable[[int], bool]
    ) -> bool:
        has_dropped = False
        idle = [
            destination for destination, used_at in cached.last_used.items() if now - used_at >= self.idle_s
        ]
        for destination in idle:
            if is_in_use(destination):
                cached.last_used[destination] = now
                cached.last_used_at = now
            else:
                del cached.last_used[destination]
                has_dropped = True
        return has_dropped

    def _evict(self, shard: int, cached: CachedShard) -> None:
        for name in cached.published:
            del self.shard_by_name[name]
        self.endpoint_count -= len(cached.published)
        self._queue_update([], [(name, Listing.UNNEEDED) for name in cached.published])
        self.latest_version = max(self.latest_version, self.version_of(cached))
        del self.resident[shard]
        self.waiting_shards.discard(shard)
        self.resident_bits ^= 1 << shard
        self.rows_checksum = self.rows_checksum - cached.checksum & CHECKSUM_MASK
        self.shard_set_checksum = self.shard_set_checksum - shard_number_hash(shard) & CHECKSUM_MASK

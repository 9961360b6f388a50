"""Shard client: keeps the shards that a relay needs resident and current. No I/O.

    a message for a shard that isn't resident    request -> ShardRequest -> ShardResponse -> updates
    a digest that differs from the cache         a ShardRequest for the changes since -> updates
    no digest for some time                      a ShardRequest; to the next server if it fails
    a shard that was not used for a long time    is evicted, and its endpoints leave the directory

`is_current` enforces the staleness bound of 12 s and is checked before each first byte: see staleness.py.
shard_cache.py decides between the data of servers that differ, request_scheduler.py which server gets which
request. Responses that are unsolicited, repeated or late change nothing: each request has a number.

The clock is passed in, in seconds.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from ..core.ports import EndpointUpdate
from .pending_shards import PendingShards
from .rendezvous_hash import rank_servers, shard_of
from .request_scheduler import (
    NO_DEADLINE_MS,
    OutgoingRequest,
    OutstandingRequest,
    RequestScheduler,
    ServerState,
)
from .shard_cache import CachedShard, ShardCache
from .staleness import MAX_REPORTED_AGE_S, StalenessTracker, source_age_s
from .status_report import ShardClientStatus
from .wire import (
    Digest,
    FullShard,
    Layout,
    LayoutMismatch,
    Overloaded,
    ResponsePart,
    ShardResponse,
    UnchangedShard,
    Version,
    layout_checksum,
)

SAFETY_MARGIN_S = 1.0  # of the bound: the first byte follows the check, and clocks drift by 30 ms a minute
REFRESH_DIGESTS = 2.0  # digest intervals without a report until a request is sent: one digest may be lost
MIN_REFRESH_DIGESTS = 1.2  # likewise, if there are so many servers that trying all has to start sooner
ATTEMPT_S = 1.2  # for two hanging servers in parallel: the time-out of a second and its detection
LAGGING_SOURCE_AGE_S = 10.0  # a server whose source is silent for longer is the last choice


class ShardClient:
    """Keeps the shards that a relay needs resident and current.

    After each call the caller processes and removes `updates`, `outgoing` and `missing_destinations`, before
    any message is sent: `is_current` assumes that the updates were applied.
    """

    def __init__(
        self,
        name: str,
        layout: Layout,
        rng: random.Random,
        bound_s: float = 12.0,
        idle_s: float = 300.0,
        digest_s: float = 3.0,
    ) -> None:
        """Create a client without shards.

        Args:
            name: The instance's name, by which the servers are ranked.
            layout: The fleet's shards and servers.
            rng: Source of jitter.
            bound_s: Staleness bound: no call uses data that may be older.
            idle_s: Unused shards are evicted after this time.
            digest_s: The servers' interval between digests.
        """
        self.name = name
        self.layout = layout
        self.bound_s = bound_s
        self.layout_checksum = layout_checksum(layout)
        # If all servers hang at once, all have to be tried within the bound; otherwise calls are held up.
        attempts_s = SAFETY_MARGIN_S + ATTEMPT_S * (len(layout.servers) / 2 + 1)
        self.refresh_s = min(
            REFRESH_DIGESTS * digest_s, max(MIN_REFRESH_DIGESTS * digest_s, bound_s - attempts_s)
        )
        names = rank_servers(name, (f"n{number}" for number in layout.servers))
        self.staleness = StalenessTracker(names, bound_s - SAFETY_MARGIN_S)
        self.cache = ShardCache(layout.shard_count, idle_s)
        self.pending = PendingShards(self.cache.resident)
        self.scheduler = RequestScheduler(
            layout, names, rng, self.refresh_s, self.cache, self.pending, self.staleness
        )
        self.missing_destinations: list[int] = []
        self.overloaded = 0
        self.stale_rejected = 0
        self.layout_mismatches = 0
        self.unsolicited = 0

    @property
    def updates(self) -> list[EndpointUpdate]:
        """Updates for the directory, which the caller applies and removes."""
        return self.cache.updates

    @property
    def outgoing(self) -> list[OutgoingRequest]:
        """Requests that the caller sends and removes."""
        return self.scheduler.outgoing

    # -- messages --------------------------------------------------------------------------------------------

    def request(self, now: float, destination: int, deadline: float) -> None:
        """Make a destination resident for a pending message that expires at `deadline`.

        An update or an item of `missing_destinations` follows, at once if its shard is resident and current.
        """
        shard = shard_of(destination, self.layout.shard_count)
        pending = self.pending.get(shard)
        if pending is None:
            if self._can_publish(now, shard):
                self.missing_destinations += self.cache.start_use(now, (destination,), shard)
                return
            pending = self.pending.add(shard, deadline)
            if shard in self.cache.resident:
                self.scheduler.awaiting_update.add(shard)
        elif deadline < pending.deadline and pending.requested_from is None:
            self.pending.requeue(shard, deadline)
        pending.deadline = min(pending.deadline, deadline)
        pending.destinations.add(destination)
        self.scheduler.wake(now)

    def touch(self, now: float, destination: int) -> None:
        """Record a use of the destination: an accepted message or a call."""
        if not self.cache.touch(now, destination):
            shard = shard_of(destination, self.layout.shard_count)
            if shard in self.cache.resident:
                self.request(now, destination, now + NO_DEADLINE_MS / 1e3)

    def is_resident(self, destination: int) -> bool:
        """Whether the directory has all known endpoints of the destination."""
        shard = self._cached_shard(destination)
        return shard is not None and destination in shard.last_used

    def contains(self, destination: int) -> bool:
        """Whether the destination is resident and exists."""
        shard = self._cached_shard(destination)
        if shard is None or destination not in shard.last_used:
            return False
        return destination in shard.existing_destinations

    def is_current(self, now: float, destination: int) -> bool:
        """Whether the data on the destination are within the staleness bound; if not, a request follows."""
        shard = self._cached_shard(destination)
        if shard is None:
            return False
        if self.staleness.is_current(now, self.cache.version_of(shard)):
            return True
        self.scheduler.wake(now)
        return False

    def _cached_shard(self, destination: int) -> CachedShard | None:
        return self.cache.resident.get(shard_of(destination, self.layout.shard_count))

    def _can_publish(self, now: float, shard: int) -> bool:
        """Whether new destinations of the shard may be published to the directory."""
        if not self.cache.is_settled(shard):
            return False
        return self.staleness.is_current(now, self.cache.version_of(self.cache.resident[shard]))

    def _release_pending(self, now: float) -> None:
        """Publish the pending shards that have become resident and current."""
        awaiting_update = self.scheduler.awaiting_update
        for shard in [shard for shard in awaiting_update if self._can_publish(now, shard)]:
            awaiting_update.discard(shard)
            pending = self.pending.pop(shard)
            self.missing_destinations += self.cache.start_use(now, pending.destinations, shard)

    # -- servers ---------------------------------------------------------------------------------------------

    def set_reachable(self, now: float, server_names: Iterable[str]) -> None:
        """Set which servers the membership lists as alive."""
        self.scheduler.set_reachable(now, server_names)

    def on_response(
        self, now: float, server_name: str, message: ShardResponse | Overloaded | LayoutMismatch
    ) -> None:
        """Process a response; a response without an outstanding request is only counted."""
        server = self.scheduler.servers.get(server_name)
        if server is None or server.outstanding is None or server.outstanding.number != message.number:
            self.unsolicited += 1
            return
        outstanding = self.scheduler.finish(server)
        self.scheduler.wake(now)
        if isinstance(message, Overloaded):
            self.overloaded += 1
            self.scheduler.record_overload(now, server, message.retry_after_ms)
        elif isinstance(message, LayoutMismatch):
            self.layout_mismatches += not message.is_loading
            self.scheduler.record_failure(now, server, outstanding)
        else:
            self._apply_response(now, server, outstanding, message)

    def on_request_failed(self, now: float, server_name: str) -> None:
        """Process a request that timed out or could not be sent."""
        server = self.scheduler.servers.get(server_name)
        if server is not None and server.outstanding is not None:
            outstanding = self.scheduler.finish(server)
            self.scheduler.record_failure(now, server, outstanding)
            self.scheduler.wake(now)

    def _apply_response(
        self, now: float, server: ServerState, outstanding: OutstandingRequest, response: ShardResponse
    ) -> None:
        cache = self.cache
        self.scheduler.record_success(server)
        self._record_source_age(now, server, outstanding, response)
        applied = [
            self._apply_part(now, server, outstanding, response.version, part) for part in response.parts
        ]
        has_progress = any(applied)
        if response.version < cache.common_version:
            self.stale_rejected += 1
        elif response.is_complete:
            cache.confirm_all(response.version, outstanding.resident_shards)
        else:
            self._apply_incomplete(outstanding, response)
            self.scheduler.record_incomplete(now, server, has_progress)
        if outstanding.checksums:
            self._finish_comparison(outstanding, has_progress)
        if outstanding.requested_shards and not self._any_settled(outstanding.requested_shards):
            self.scheduler.back_off(now, server)  # it sent none of them: do not retry at once
        self._release_pending(now)

    def _record_source_age(
        self, now: float, server: ServerState, outstanding: OutstandingRequest, response: ShardResponse
    ) -> None:
        age_s = source_age_s(response.source_age_ms)
        sent_at = outstanding.sent_at
        self.staleness.record_response(server.name, sent_at, response.process_epoch, response.clock_ms)
        is_credible = response.version >= self.cache.common_version
        self.staleness.record_version(server.name, sent_at, response.version, age_s, is_credible)
        if age_s > LAGGING_SOURCE_AGE_S or not is_credible:
            self.scheduler.record_lag(now, server)

    def _apply_incomplete(self, outstanding: OutstandingRequest, response: ShardResponse) -> None:
        """Confirm the shards that an incomplete response covers, and compare those older than its history."""
        older = self.cache.shards_older_than(response.history_start)
        self.scheduler.compare(older)
        if not older:
            self.cache.raise_common_version()
        if response.reached_version > self.cache.common_version:
            self.cache.confirm_all(response.reached_version, outstanding.resident_shards)

    def _finish_comparison(self, outstanding: OutstandingRequest, has_progress: bool) -> None:
        if not has_progress:  # do not retry at once: a server that is behind can't compare
            self.scheduler.drop_compared(outstanding.checksums)
        if not self.scheduler.shards_to_compare:
            self.cache.raise_common_version()

    def _any_settled(self, shards: list[int]) -> bool:
        """Whether any of the requested shards is resident or no longer pending."""
        return any(shard in self.cache.resident or shard not in self.pending for shard in shards)

    def _apply_part(
        self,
        now: float,
        server: ServerState,
        outstanding: OutstandingRequest,
        version: Version,
        part: ResponsePart,
    ) -> bool:
        """Apply a part; return whether it was accepted. Older data never replace newer."""
        shard = part.shard
        cached = self.cache.resident.get(shard)
        if cached is None:
            is_accepted = self._add_shard(now, server, outstanding, version, part)
        elif version < self.cache.version_of(cached):
            self.stale_rejected += 1
            is_accepted = False
        else:
            is_accepted = self._update_shard(cached, outstanding, version, part)
        if is_accepted:
            self.scheduler.drop_compared((shard,))
        return is_accepted

    def _add_shard(
        self,
        now: float,
        server: ServerState,
        outstanding: OutstandingRequest,
        version: Version,
        part: ResponsePart,
    ) -> bool:
        shard = part.shard
        is_requested = shard in outstanding.requested_shards and shard in self.pending
        if not isinstance(part, FullShard) or not is_requested:
            return False
        if version < self.cache.latest_version:
            self.stale_rejected += 1
            return False
        if server.lagging_until > now and self.scheduler.has_better_server(now, server):
            return False
        self.scheduler.count_received(self.cache.add(now, shard, part.rows, version))
        self.scheduler.awaiting_update.add(shard)
        return True

    def _update_shard(
        self, cached: CachedShard, outstanding: OutstandingRequest, version: Version, part: ResponsePart
    ) -> bool:
        shard = part.shard
        if isinstance(part, UnchangedShard):
            if outstanding.checksums.get(shard) != cached.checksum:
                return False
            self.cache.confirm(shard, version)
        elif isinstance(part, FullShard):
            self.scheduler.count_received(self.cache.replace(shard, part.rows, version))
        else:
            self.scheduler.count_received(self.cache.apply_changes(shard, part.rows, version))
        return True

    # -- digests ---------------------------------------------------------------------------------------------

    def on_digest(self, now: float, server_name: str, digest: Digest) -> None:
        """Compare a server's digest with the resident shards."""
        server = self.scheduler.servers.get(server_name)
        if server is None:
            return
        if digest.layout_checksum != self.layout_checksum:
            self.layout_mismatches += 1
            return
        sent_at = self.staleness.earliest_sent_at(now, server_name, digest.process_epoch, digest.clock_ms)
        if sent_at is None:
            return  # an unknown process: its clock is only known after its first response
        age_s = source_age_s(digest.source_age_ms)
        is_credible = digest.version >= self.cache.common_version
        self.staleness.record_version(server_name, sent_at, digest.version, age_s, is_credible)
        if age_s > LAGGING_SOURCE_AGE_S:
            self.scheduler.record_lag(now, server)
        if not is_credible:
            self.stale_rejected += 1
            return
        self._compare_digest(now, server, digest)
        self.scheduler.wake(now)

    def _compare_digest(self, now: float, server: ServerState, digest: Digest) -> None:
        cache = self.cache
        is_same_set = digest.shard_set_checksum == cache.shard_set_checksum
        if is_same_set and digest.rows_checksum == cache.rows_checksum:
            cache.confirm_all(digest.version, cache.resident_bits)
            self.scheduler.shards_to_compare.clear()
            self._release_pending(now)
        elif digest.version > cache.common_version:
            server.has_more = True
        elif is_same_set:
            self.scheduler.compare_all(now)
            server.has_more = bool(self.scheduler.shards_to_compare)
        elif now - server.requested_at >= self.refresh_s and server.rank == 0:
            server.has_more = True  # the server does not know the resident shards

    # -- time ------------------------------------------------------------------------------------------------

    def tick(self, now: float, is_in_use: Callable[[int], bool]) -> None:
        """Evict idle shards and decide which requests are due.

        `is_in_use` returns whether a destination has pending messages, calls in flight or state that matters.
        """
        if self.cache.evict_idle(now, is_in_use, self.pending.__contains__):
            self.scheduler.drop_evicted()
        self._release_pending(now)
        self.scheduler.tick(now)

    def next_tick_at(self) -> float:
        """Return when the next `tick` is due."""
        return self.scheduler.next_tick

    def status(self, now: float) -> ShardClientStatus:
        """Return the client's counters and state."""
        cache = self.cache
        confirmed_at = self.staleness.confirmed_at(cache.common_version)
        is_current = self.staleness.is_current(now, cache.common_version)
        return ShardClientStatus(
            shards=len(cache.resident),
            endpoints=cache.endpoint_count,
            waiting=len(self.pending),
            version=cache.common_version,
            age_s=min(MAX_REPORTED_AGE_S, now - confirmed_at),
            behind=bool(cache.resident) and not is_current,
            keepers=len(self.scheduler.reachable_servers),
            asks=self.scheduler.last_request_number,
            failures=self.scheduler.failures,
            busy=self.overloaded,
            stale_refused=self.stale_rejected,
            other_layout=self.layout_mismatches,
            unreadable=cache.unreadable_entries,
            unasked=self.unsolicited,
            bytes_in=self.scheduler.received_bytes,
        )

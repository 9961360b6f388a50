"""Which shard server is asked when: outstanding requests, retries, and the limit of received bytes. No I/O.

Servers are ranked by rendezvous hashing. Requests go to the first that works; a server that fails is retried
after a backoff with jitter, so that clients which lost a server together do not return together. A server
whose source lags is asked last. At most two requests are outstanding, each at a server of its own.

The clock is passed in, in seconds.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from math import isfinite
from typing import NamedTuple

from ..core.backoff import ExponentialBackoff
from .pending_shards import PendingShards
from .shard_cache import ShardCache
from .staleness import NEVER, StalenessTracker
from .wire import NO_VERSION, Layout, RequestedShard, ShardRequest, pack_shard_set

MAX_OUTSTANDING_REQUESTS = 2  # at different servers: one that hangs does not stop the other
SUBSCRIPTION_REFRESH_S = 30.0  # the first two servers are asked at least so often: they drop a client that is
# silent for 60 s, and with digests of both, one whose source lags unnoticed (a late file copy) is found out
LAGGING_PAUSE_S = 5.0  # a server with a lagging source is asked last for so long
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0  # within the staleness bound each server is tried again
RECOVERY_SPREAD_S = 2.0  # clients return to a recovered server spread over so long
SLOW_RESPONSE_S = 0.3  # a request that is outstanding for longer is no longer relied on
CONTINUATION_PAUSE_S = 0.05  # between two requests to one server that has more to send
MAX_SHARDS_PER_REQUEST = 64  # more than the shards of one response
MAX_CHECKSUMS_PER_REQUEST = 512  # 6 KB
COMPARE_ALL_INTERVAL_S = 60.0  # least time between two comparisons of all shards
RECEIVE_BYTES_PER_S = 512e3  # of responses: a thousand shards of 2.6 KB in 2 s; far above it is a fault
RECEIVE_BURST_BYTES = 2e6
NO_DEADLINE_MS = 1e9
TICK_INTERVAL_S = 1.0  # a tick comes at the latest after it
PREFERRED_SERVERS = 2  # the first ones in order: they send digests, and get requests for shards


class OutgoingRequest(NamedTuple):
    """A request that the caller has to send."""

    server: str
    request: ShardRequest


class OutstandingRequest:
    """A request whose response has not come."""

    __slots__ = ("checksums", "number", "requested_shards", "resident_shards", "sent_at")

    def __init__(
        self,
        number: int,
        sent_at: float,
        resident_shards: int,
        checksums: dict[int, int],
        requested_shards: list[int],
    ) -> None:
        self.number = number
        self.sent_at = sent_at
        self.resident_shards = resident_shards  # bitset
        self.checksums = checksums  # by shard, as sent
        self.requested_shards = requested_shards


class ServerState:
    """What a client knows of one shard server."""

    __slots__ = (
        "backoff",
        "has_more",
        "is_failing",
        "lagging_until",
        "name",
        "outstanding",
        "paused_until",
        "rank",
        "requested_at",
    )

    def __init__(self, name: str, rank: int, rng: random.Random) -> None:
        self.name = name
        self.rank = rank
        self.outstanding: OutstandingRequest | None = None
        self.paused_until = NEVER
        self.lagging_until = NEVER  # its source lags: it is asked last
        self.requested_at = NEVER
        self.backoff = ExponentialBackoff(MIN_BACKOFF_S, MAX_BACKOFF_S, rng)
        self.is_failing = False
        self.has_more = False  # it has changes that were not requested yet


class RequestScheduler:
    """Decides which server gets which request, and when.

    `outgoing` holds the requests to send; the caller takes them out after each tick.
    """

    def __init__(
        self,
        layout: Layout,
        server_names: list[str],
        rng: random.Random,
        refresh_s: float,
        cache: ShardCache,
        pending: PendingShards,
        staleness: StalenessTracker,
    ) -> None:
        """`server_names`: in the order of preference; `refresh_s`: age after which data are confirmed."""
        self.layout = layout
        self.rng = rng
        self.refresh_s = refresh_s
        self.cache = cache
        self.pending = pending
        self.staleness = staleness
        self.servers = {name: ServerState(name, rank, rng) for rank, name in enumerate(server_names)}
        self.reachable_servers = set(server_names)
        self.shards_to_compare: dict[int, None] = {}  # by their checksums, in order
        self.compared_all_at = NEVER
        self.awaiting_update: set[int] = set()  # resident shards that are pending until they are current
        self.outgoing: list[OutgoingRequest] = []
        self.last_request_number = 0
        self.next_tick = NEVER
        self.receive_tokens = RECEIVE_BURST_BYTES
        self.tokens_updated_at = NEVER
        self.failures = 0
        self.received_bytes = 0

    def wake(self, at: float) -> None:
        """Have the next tick at `at`, if it isn't due earlier."""
        self.next_tick = min(self.next_tick, at)

    # -- results of requests ---------------------------------------------------------------------------------

    def set_reachable(self, now: float, server_names: Iterable[str]) -> None:
        """Set which servers the membership lists as alive; one that is back is asked again soon."""
        found = {name for name in server_names if name in self.servers}
        for name in found - self.reachable_servers:
            server = self.servers[name]
            if server.is_failing:
                server.paused_until = min(server.paused_until, now + RECOVERY_SPREAD_S * self.rng.random())
        self.reachable_servers = found
        self.wake(now)

    def finish(self, server: ServerState) -> OutstandingRequest:
        """Take the server's outstanding request: it has ended in one way or another."""
        outstanding = server.outstanding
        assert outstanding is not None
        server.outstanding = None
        self.pending.release_from(server.name, outstanding.requested_shards)
        return outstanding

    def record_success(self, server: ServerState) -> None:
        """A response has come."""
        server.is_failing = False
        server.has_more = False
        server.backoff.reset()

    def record_failure(self, now: float, server: ServerState, outstanding: OutstandingRequest) -> None:
        """A request got no usable response: the server is paused for its backoff."""
        self.failures += 1
        server.is_failing = True
        server.has_more = False
        self.back_off(now, server)
        self.staleness.record_failure(server.name, outstanding.sent_at)

    def record_overload(self, now: float, server: ServerState, retry_after_ms: float) -> None:
        """The server has rejected the request; values that make no sense are replaced by a usual pause."""
        server.has_more = True  # what was requested is still to be requested
        pause_s = MIN_BACKOFF_S
        if isfinite(retry_after_ms):
            pause_s = min(max(retry_after_ms / 1e3, CONTINUATION_PAUSE_S), MAX_BACKOFF_S)
        server.paused_until = now + pause_s

    def record_incomplete(self, now: float, server: ServerState, has_progress: bool) -> None:
        """The server has more to send than one response: it is asked again, at once if it had news."""
        server.has_more = True
        server.paused_until = now + (CONTINUATION_PAUSE_S if has_progress else MIN_BACKOFF_S)

    def record_lag(self, now: float, server: ServerState) -> None:
        """The server's source lags: others are preferred for a while."""
        server.lagging_until = now + LAGGING_PAUSE_S

    def back_off(self, now: float, server: ServerState) -> None:
        """Pause the server for a longer time than before."""
        server.paused_until = now + server.backoff.next_delay()

    def count_received(self, size: int) -> None:
        """Charge received bytes to the limit."""
        self.received_bytes += size
        self.receive_tokens -= size

    def has_better_server(self, now: float, server: ServerState) -> bool:
        """Whether another server, which does not lag, may know more than this one."""
        return any(
            not other.is_failing and other.lagging_until <= now and other.name in self.reachable_servers
            for other in self.servers.values()
            if other is not server
        )

    # -- comparison by checksums -----------------------------------------------------------------------------

    def compare(self, shards: Iterable[int]) -> None:
        """Have these shards compared with a server's."""
        self.shards_to_compare.update(dict.fromkeys(shards))

    def compare_all(self, now: float) -> None:
        """Have all shards compared: checksums differ under one version.

        An entry was lost, or a source rewrote its list. Done once per COMPARE_ALL_INTERVAL_S at most.
        """
        if now - self.compared_all_at >= COMPARE_ALL_INTERVAL_S:
            self.compared_all_at = now
            self.shards_to_compare = dict.fromkeys(self.cache.resident)

    def drop_compared(self, shards: Iterable[int]) -> None:
        """Compare these shards no more."""
        for shard in shards:
            self.shards_to_compare.pop(shard, None)

    def drop_evicted(self) -> None:
        """Compare only shards that are still resident."""
        self.shards_to_compare = {
            shard: None for shard in self.shards_to_compare if shard in self.cache.resident
        }

    # -- scheduling ------------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Put the requests that are due into `outgoing`."""
        self._refill_receive_tokens(now)
        self.next_tick = now + TICK_INTERVAL_S
        order = self._order_of_preference(now)
        for place, server in enumerate(order):
            if sum(each.outstanding is not None for each in order) >= MAX_OUTSTANDING_REQUESTS:
                return
            if server.outstanding is not None:
                continue
            is_preferred = place < PREFERRED_SERVERS or order[1].is_failing
            requests_shards = is_preferred and self._can_request_shards()
            if not (requests_shards or self._is_request_due(now, server, place)):
                continue
            if server.paused_until > now:
                self.wake(server.paused_until)
                continue
            shards = self.pending.pop_requestable(MAX_SHARDS_PER_REQUEST) if requests_shards else []
            self._send_request(now, server, shards)

    def _refill_receive_tokens(self, now: float) -> None:
        elapsed_s = max(0.0, now - self.tokens_updated_at)
        self.receive_tokens = min(RECEIVE_BURST_BYTES, self.receive_tokens + elapsed_s * RECEIVE_BYTES_PER_S)
        self.tokens_updated_at = now

    def _order_of_preference(self, now: float) -> list[ServerState]:
        """All servers, the one to ask first first.

        Of those that fail, the one that was left alone the longest: else the first few, whose time runs out
        again and again, keep the last from being tried, and that may be the one that is back.
        """
        return sorted(
            self.servers.values(),
            key=lambda server: (
                server.is_failing,
                server.lagging_until > now,
                server.name not in self.reachable_servers,
                server.requested_at if server.is_failing else NEVER,
                server.rank,
            ),
        )

    def _can_request_shards(self) -> bool:
        return self.pending.has_requestable() and self.receive_tokens > 0.0

    def _is_request_due(self, now: float, server: ServerState, place: int) -> bool:
        """Whether this server, at this place in the order, is to be asked for other reasons than shards."""
        if server.has_more:
            return True
        if not self.cache.resident:
            return False
        if server.rank < PREFERRED_SERVERS and server.is_failing:
            return True  # when its pause is over: to learn whether it is back
        if place == 0 and self.shards_to_compare:
            return True
        is_idle = all(each.outstanding is None for each in self.servers.values())
        is_preferred = place < PREFERRED_SERVERS
        if is_preferred and now - server.requested_at >= SUBSCRIPTION_REFRESH_S and is_idle:
            return True
        confirmed_at = self.staleness.confirmed_at(self.cache.common_version)
        is_stale = now - confirmed_at >= self.refresh_s
        since_contact_s = now - self.staleness.last_contacts[server.name][0]
        if is_stale and since_contact_s >= self.refresh_s:
            return self._only_slow_outstanding(now)
        return bool(self.awaiting_update) and is_preferred and since_contact_s >= MIN_BACKOFF_S

    def _only_slow_outstanding(self, now: float) -> bool:
        """Whether no outstanding request is likely to be answered soon, which would do."""
        return all(
            server.is_failing or now - server.outstanding.sent_at >= SLOW_RESPONSE_S
            for server in self.servers.values()
            if server.outstanding is not None
        )

    def _send_request(self, now: float, server: ServerState, shards: list[int]) -> None:
        cache = self.cache
        self.last_request_number += 1
        compared = list(self.shards_to_compare)[:MAX_CHECKSUMS_PER_REQUEST]
        checksums = {shard: cache.resident[shard].checksum for shard in compared}
        for shard in shards:
            self.pending.by_shard[shard].requested_from = server.name
        ahead = cache.shards_ahead()
        server.outstanding = OutstandingRequest(
            self.last_request_number, now, cache.resident_bits, checksums, shards
        )
        server.requested_at = now
        server.has_more = False
        shard_count = self.layout.shard_count
        request = ShardRequest(
            number=self.last_request_number,
            layout=self.layout,
            version=cache.common_version if cache.resident else cache.latest_version,
            resident_shards=pack_shard_set(cache.resident_bits, shard_count),
            requested_shards=tuple(
                RequestedShard(shard, self.pending.time_left_ms(now, shard, NO_DEADLINE_MS))
                for shard in shards
            ),
            checksums=tuple(checksums.items()),
            ahead_version=cache.catch_up_version if ahead else NO_VERSION,
            ahead_shards=pack_shard_set(ahead, shard_count) if ahead else b"",
        )
        self.outgoing.append(OutgoingRequest(server.name, request))

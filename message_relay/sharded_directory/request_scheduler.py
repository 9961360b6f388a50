"""Schedules requests to shard servers, with retries and a limit of received bytes. No I/O.

Servers are ranked by rendezvous hashing. Requests go to the first one that works; a failing server is retried
after a backoff with jitter, so that clients which lost a server together do not return together. A server
whose source lags is the last choice. At most two requests are outstanding, at different servers.

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

MAX_OUTSTANDING_REQUESTS = 2  # at different servers: if one hangs, the other still responds
# Each of the first two servers gets a request at least this often: they drop a client that is silent for
# 60 s, and digests of both reveal a server whose source lags unnoticed (a late file copy).
SUBSCRIPTION_REFRESH_S = 30.0
LAGGING_PAUSE_S = 5.0  # time for which a server with a lagging source is the last choice
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0  # low enough that each server is retried within the staleness bound
RECOVERY_SPREAD_S = 2.0  # clients return to a recovered server spread over this time
SLOW_RESPONSE_S = 0.3  # after it an outstanding request no longer holds up another
CONTINUATION_PAUSE_S = 0.05  # between two requests to a server that has more to send
MAX_SHARDS_PER_REQUEST = 64  # more than fit into one response
MAX_CHECKSUMS_PER_REQUEST = 512  # 6 KB
COMPARE_ALL_INTERVAL_S = 60.0  # minimum time between two comparisons of all shards
RECEIVE_BYTES_PER_S = 512e3  # in responses: a thousand shards of 2.6 KB in 2 s; far more is a fault
RECEIVE_BURST_BYTES = 2e6
NO_DEADLINE_MS = 1e9
TICK_INTERVAL_S = 1.0  # maximum time between two ticks
PREFERRED_SERVERS = 2  # the first in order, which send digests and get requests for shards


class OutgoingRequest(NamedTuple):
    """A request that the caller has to send."""

    server: str
    request: ShardRequest


class OutstandingRequest:
    """A request without a response so far."""

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
    """State of one shard server, as a client knows it."""

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
        self.lagging_until = NEVER  # its source lags: last choice until then
        self.requested_at = NEVER
        self.backoff = ExponentialBackoff(MIN_BACKOFF_S, MAX_BACKOFF_S, rng)
        self.is_failing = False
        self.has_more = False  # it has changes that the client has not requested yet


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
        """`server_names` are in order of preference; data older than `refresh_s` are confirmed."""
        self.layout = layout
        self.rng = rng
        self.refresh_s = refresh_s
        self.cache = cache
        self.pending = pending
        self.staleness = staleness
        self.servers = {name: ServerState(name, rank, rng) for rank, name in enumerate(server_names)}
        self.reachable_servers = set(server_names)
        self.shards_to_compare: dict[int, None] = {}  # by checksums, in insertion order
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
        """Schedule the next tick at `at` unless it is due earlier."""
        self.next_tick = min(self.next_tick, at)

    # -- results of requests ---------------------------------------------------------------------------------

    def set_reachable(self, now: float, server_names: Iterable[str]) -> None:
        """Set which servers the membership lists as alive; a server that has returned is retried soon."""
        reachable = {name for name in server_names if name in self.servers}
        for name in reachable - self.reachable_servers:
            server = self.servers[name]
            if server.is_failing:
                server.paused_until = min(server.paused_until, now + RECOVERY_SPREAD_S * self.rng.random())
        self.reachable_servers = reachable
        self.wake(now)

    def finish(self, server: ServerState) -> OutstandingRequest:
        """Remove and return the server's outstanding request, which has succeeded or failed."""
        outstanding = server.outstanding
        assert outstanding is not None
        server.outstanding = None
        self.pending.release_from(server.name, outstanding.requested_shards)
        return outstanding

    def record_success(self, server: ServerState) -> None:
        """Record a response."""
        server.is_failing = False
        server.has_more = False
        server.backoff.reset()

    def record_failure(self, now: float, server: ServerState, outstanding: OutstandingRequest) -> None:
        """Record a request without a usable response, and pause the server for its backoff."""
        self.failures += 1
        server.is_failing = True
        server.has_more = False
        self.back_off(now, server)
        self.staleness.record_failure(server.name, outstanding.sent_at)

    def record_overload(self, now: float, server: ServerState, retry_after_ms: float) -> None:
        """Record a rejection for overload; an invalid `retry_after_ms` is replaced by the minimum backoff."""
        server.has_more = True  # the rejected request has to be repeated
        pause_s = MIN_BACKOFF_S
        if isfinite(retry_after_ms):
            pause_s = min(max(retry_after_ms / 1e3, CONTINUATION_PAUSE_S), MAX_BACKOFF_S)
        server.paused_until = now + pause_s

    def record_incomplete(self, now: float, server: ServerState, has_progress: bool) -> None:
        """Record an incomplete response: the next request follows soon if there was progress."""
        server.has_more = True
        server.paused_until = now + (CONTINUATION_PAUSE_S if has_progress else MIN_BACKOFF_S)

    def record_lag(self, now: float, server: ServerState) -> None:
        """Record that the server's source lags: others are preferred for a while."""
        server.lagging_until = now + LAGGING_PAUSE_S

    def back_off(self, now: float, server: ServerState) -> None:
        """Pause the server for the next delay of its backoff."""
        server.paused_until = now + server.backoff.next_delay()

    def count_received(self, size: int) -> None:
        """Count received bytes against the limit."""
        self.received_bytes += size
        self.receive_tokens -= size

    def has_better_server(self, now: float, server: ServerState) -> bool:
        """Whether another usable server does not lag, and so may know more than this one."""
        return any(
            not other.is_failing and other.lagging_until <= now and other.name in self.reachable_servers
            for other in self.servers.values()
            if other is not server
        )

    # -- comparison by checksums -----------------------------------------------------------------------------

    def compare(self, shards: Iterable[int]) -> None:
        """Queue these shards for a comparison with a server's."""
        self.shards_to_compare.update(dict.fromkeys(shards))

    def compare_all(self, now: float) -> None:
        """Queue all shards for comparison, because checksums differ under one version.

        Either an entry was lost, or a source rewrote its list. Limited to once per COMPARE_ALL_INTERVAL_S.
        """
        if now - self.compared_all_at >= COMPARE_ALL_INTERVAL_S:
            self.compared_all_at = now
            self.shards_to_compare = dict.fromkeys(self.cache.resident)

    def drop_compared(self, shards: Iterable[int]) -> None:
        """Remove these shards from the comparison."""
        for shard in shards:
            self.shards_to_compare.pop(shard, None)

    def drop_evicted(self) -> None:
        """Remove shards that are no longer resident from the comparison."""
        self.shards_to_compare = {
            shard: None for shard in self.shards_to_compare if shard in self.cache.resident
        }

    # -- scheduling ------------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Put the requests that are due into `outgoing`."""
        self._refill_receive_tokens(now)
        self.next_tick = now + TICK_INTERVAL_S
        order = self._order_of_preference(now)
        for position, server in enumerate(order):
            if sum(other.outstanding is not None for other in order) >= MAX_OUTSTANDING_REQUESTS:
                return
            if server.outstanding is not None:
                continue
            is_preferred = position < PREFERRED_SERVERS or order[1].is_failing
            requests_shards = is_preferred and self._can_request_shards()
            if not (requests_shards or self._is_request_due(now, server, position)):
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
        """Return all servers in order of preference.

        Among failing servers the least recently tried comes first. Otherwise the first few, which time out
        again and again, would keep the last from being tried, although it may have recovered.
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

    def _is_request_due(self, now: float, server: ServerState, position: int) -> bool:
        """Whether the server at this position in the order gets a request even without shards to request."""
        if server.has_more:
            return True
        if not self.cache.resident:
            return False
        if server.rank < PREFERRED_SERVERS and server.is_failing:
            return True  # after its pause, to learn whether it has recovered
        if position == 0 and self.shards_to_compare:
            return True
        is_idle = all(other.outstanding is None for other in self.servers.values())
        is_preferred = position < PREFERRED_SERVERS
        if is_preferred and now - server.requested_at >= SUBSCRIPTION_REFRESH_S and is_idle:
            return True
        confirmed_at = self.staleness.confirmed_at(self.cache.common_version)
        is_stale = now - confirmed_at >= self.refresh_s
        since_contact_s = now - self.staleness.last_contacts[server.name][0]
        if is_stale and since_contact_s >= self.refresh_s:
            return self._only_slow_outstanding(now)
        return bool(self.awaiting_update) and is_preferred and since_contact_s >= MIN_BACKOFF_S

    def _only_slow_outstanding(self, now: float) -> bool:
        """Whether no outstanding request is likely to get a response soon."""
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

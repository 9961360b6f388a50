"""What a relay does to know the destinations that it needs. No I/O; the clock is passed in, in seconds.

    a message for a destination whose shard isn't here   want -> an Ask -> Answer -> updates, absent
    a digest that says something else than is here       an Ask for what changed since -> updates
    no digest for some time                              an Ask; of the next keeper where it fails
    a shard of which nothing was used for long           given up: its members are gone for the directory

The bound of 12 s is kept at `current`, which is asked before a first byte: see freshness.py. Which word
stands where keepers say different things: holding.py. What arrives unasked, twice or too late changes
nothing: each ask has a number. Pauses after failures grow and are jittered, so that a keeper that returns
isn't run over.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from math import isfinite

import msgspec

from ..core.backoff import ExponentialBackoff
from ..core.ports import EndpointUpdate
from .rendezvous_hash import rank_servers, shard_of
from .shard_cache import ShardCache
from .staleness import NEVER, StalenessTracker
from .wire import (
    NO_VERSION,
    Digest,
    FullShard,
    Layout,
    LayoutMismatch,
    Overloaded,
    RequestedShard,
    ResponsePart,
    ShardRequest,
    ShardResponse,
    UnchangedShard,
    Version,
    layout_checksum,
    pack_shard_set,
)

MAX_OUTSTANDING_REQUESTS = 2  # asks at once, of different keepers: one that hangs does not stop the other
SAFETY_MARGIN_S = (
    1.0  # of the bound: a call's first byte after the check, and clocks that run apart by 30 ms a minute
)
REFRESH_DIGESTS = (
    2.0  # digests' time without a word, after which a keeper is asked: one of each keeper may be lost
)
MIN_REFRESH_DIGESTS = 1.2  # likewise, where so many keepers have to be tried that it has to begin sooner
ATTEMPT_S = 1.2  # two keepers that hang, asked at once: a second, and what it takes to notice
SUBSCRIPTION_REFRESH_S = (
    30.0  # at least so often the first two keepers are asked, which forget readers after 60 s: both tell
)
# digests, so that one whose source lags without knowing (a file that is copied late) is found out
LAGGING_SOURCE_AGE_S = 10.0  # a keeper whose source is silent for so long is asked last
LAGGING_PAUSE_S = 5.0  # and then for so long
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.5, 4.0  # after failures: within the bound each keeper is tried again
RECOVERY_SPREAD_S = 2.0  # a keeper that is back gets its readers spread over so long
SLOW_RESPONSE_S = 0.3  # an ask that is out for so long is no longer counted on
CONTINUATION_PAUSE_S = 0.05  # between two asks of one keeper that have more to ask
MAX_SHARDS_PER_REQUEST = 64  # in one ask: past the shards of one answer
MAX_CHECKSUMS_PER_REQUEST = 512  # compared in one ask: 6 KB
COMPARE_ALL_INTERVAL_S = 60.0  # at most so often everything is compared because sums differ under one version
RECEIVE_BYTES_PER_S, RECEIVE_BURST_BYTES = (
    512e3,
    2e6,
)  # of answers: a thousand shards of 2.6 KB in 2 s; far above it is a fault
NO_DEADLINE_MS = 1e9


class ShardClientStatus(msgspec.Struct, frozen=True):
    shards: int
    endpoints: int
    waiting: int  # shards that are wanted
    version: Version
    age_s: float  # since all that is here was right, at the latest; large: never
    behind: bool  # older than the bound
    keepers: int  # that are reachable
    asks: int
    failures: int
    busy: int
    stale_refused: int  # answers and shards as of an older version than is known
    other_layout: int
    unreadable: int  # entries
    unasked: int  # answers that belong to no ask
    bytes_in: int


class PendingShard:
    """A shard for which messages wait."""

    __slots__ = ("deadline", "destinations", "requested_from")

    def __init__(self, due: float) -> None:
        self.deadline = due
        self.destinations: set[int] = set()  # as many as messages are held for, at most
        self.requested_from: str | None = None  # who is asked for it just now


class OutstandingRequest:
    """An ask that is to be answered."""

    __slots__ = ("number", "sent_at", "resident_shards", "checksums", "requested_shards")

    def __init__(
        self, number: int, sent_at: float, holds: int, sums: dict[int, int], wants: list[int]
    ) -> None:
        self.number, self.sent_at, self.resident_shards = number, sent_at, holds
        self.checksums, self.requested_shards = sums, wants


class ServerState:
    """What a reader knows of one."""

    __slots__ = (
        "name",
        "rank",
        "outstanding",
        "paused_until",
        "backoff",
        "is_failing",
        "lagging_until",
        "has_more",
        "requested_at",
    )

    def __init__(self, name: str, rank: int, rng: random.Random) -> None:
        self.name, self.rank = name, rank
        self.outstanding: OutstandingRequest | None = None
        self.paused_until = self.lagging_until = self.requested_at = NEVER
        self.backoff = ExponentialBackoff(MIN_BACKOFF_S, MAX_BACKOFF_S, rng)
        self.is_failing = False
        self.has_more = False  # it has more to tell


class ShardClient:
    def __init__(
        self,
        name: str,
        layout: Layout,
        rng: random.Random,
        bound_s: float = 12.0,
        idle_s: float = 300.0,
        digest_s: float = 3.0,
    ) -> None:
        self.name, self.layout, self.rng = name, layout, rng
        # Where all hang at once, all have to be tried within the bound, or calls wait for that.
        trying = SAFETY_MARGIN_S + ATTEMPT_S * (len(layout.servers) / 2 + 1)
        self.bound_s = bound_s
        self.refresh_s = min(
            REFRESH_DIGESTS * digest_s, max(MIN_REFRESH_DIGESTS * digest_s, bound_s - trying)
        )
        self.layout_checksum = layout_checksum(layout)
        names = rank_servers(name, (f"n{number}" for number in layout.servers))
        self.servers = {name: ServerState(name, rank, rng) for rank, name in enumerate(names)}
        self.reachable_servers = set(names)  # among the peers' members
        self.staleness = StalenessTracker(names, bound_s - SAFETY_MARGIN_S)
        self.cache = ShardCache(layout.shard_count, idle_s)
        self.pending: dict[int, PendingShard] = {}
        self.pending_queue: list[tuple[float, int]] = []  # (due, shard) of those to ask for, a heap
        self.resident_pending: set[int] = set()  # of these: such as are here, and not as they have to be
        self.shards_to_compare: dict[int, None] = {}  # shards to compare by their sums, in order
        self.compared_all_at = NEVER
        self.outgoing: list[tuple[str, ShardRequest]] = []
        self.missing_destinations: list[int] = []
        self.last_request_number = 0
        self.next_tick = NEVER  # when tick has something to do
        self.receive_tokens, self.tokens_updated_at = RECEIVE_BURST_BYTES, NEVER
        self.failures = self.overloaded = self.stale_rejected = self.layout_mismatches = self.unsolicited = (
            self.received_bytes
        ) = 0

    @property
    def updates(self) -> list[EndpointUpdate]:
        """For the directory; the caller takes them out after whatever it has called here, before any call is
        made: `current` speaks of what is in them. Also after `want` and `use`: a destination whose
        shard is here, but was in no use, is told then."""
        return self.cache.updates

    # -- messages --------------------------------------------------------------------------------------------

    def request(self, now: float, destination: int, deadline: float) -> None:
        """A message for it is held, and it isn't `here`: an update or `absent` follows, perhaps at once."""
        shard = shard_of(destination, self.layout.shard_count)
        wanted = self.pending.get(shard)
        if wanted is None:
            if self._can_publish(now, shard):
                self.missing_destinations += self.cache.start_use(now, (destination,), shard)
                return
            wanted = self.pending[shard] = PendingShard(deadline)
            heapq.heappush(self.pending_queue, (deadline, shard))
            if shard in self.cache.resident:
                self.resident_pending.add(shard)
        elif deadline < wanted.deadline and wanted.requested_from is None:
            heapq.heappush(self.pending_queue, (deadline, shard))
        wanted.deadline = min(wanted.deadline, deadline)
        wanted.destinations.add(destination)
        self.next_tick = min(self.next_tick, now)

    def touch(self, now: float, destination: int) -> None:
        """A message for it was taken, a call made."""
        if not self.cache.touch(now, destination):
            shard = shard_of(destination, self.layout.shard_count)
            if shard in self.cache.resident:
                self.request(now, destination, now + NO_DEADLINE_MS / 1e3)

    def is_resident(self, destination: int) -> bool:
        """Whether what there is of it is with the directory."""
        held = self.cache.resident.get(shard_of(destination, self.layout.shard_count))
        return held is not None and destination in held.last_used

    def contains(self, destination: int) -> bool:
        """Whether it is here, and there is such a destination."""
        held = self.cache.resident.get(shard_of(destination, self.layout.shard_count))
        return (
            held is not None and destination in held.last_used and destination in held.existing_destinations
        )

    def is_current(self, now: float, destination: int) -> bool:
        """Whether a first byte may go out by what is known of it. Else an ask is on its way."""
        held = self.cache.resident.get(shard_of(destination, self.layout.shard_count))
        if held is None:
            return False
        if self.staleness.is_current(now, self.cache.version_of(held)):
            return True
        self.next_tick = min(self.next_tick, now)
        return False

    def _can_publish(self, now: float, shard: int) -> bool:
        """Whether what it says of a destination for the first time may be told."""
        return self.cache.is_settled(shard) and self.staleness.is_current(
            now, self.cache.version_of(self.cache.resident[shard])
        )

    # -- keepers ---------------------------------------------------------------------------------------------

    def set_reachable(self, now: float, keepers: Iterable[str]) -> None:
        """Who is among the peers' members now."""
        found = {name for name in keepers if name in self.servers}
        for name in found - self.reachable_servers:
            keeper = self.servers[name]
            if keeper.is_failing:
                keeper.paused_until = min(keeper.paused_until, now + RECOVERY_SPREAD_S * self.rng.random())
        self.reachable_servers = found
        self.next_tick = min(self.next_tick, now)

    def on_response(self, now: float, keeper: str, word: ShardResponse | Overloaded | LayoutMismatch) -> None:
        """How an ask ended. One that wasn't asked, or is not waited for any more, is passed over."""
        told = self.servers.get(keeper)
        if told is None or told.outstanding is None or told.outstanding.number != word.number:
            self.unsolicited += 1
            return
        out = self._finish_request(told)
        self.next_tick = min(self.next_tick, now)
        if isinstance(word, Overloaded):
            self.overloaded += 1
            told.has_more = True  # whatever it was asked for is still to be asked
            after = word.retry_after_ms / 1e3
            told.paused_until = now + (
                min(max(after, CONTINUATION_PAUSE_S), MAX_BACKOFF_S) if isfinite(after) else MIN_BACKOFF_S
            )
        elif isinstance(word, LayoutMismatch):
            self.layout_mismatches += not word.is_loading
            self._record_failure(now, told, out)
        else:
            self._apply_response(now, told, out, word)

    def on_request_failed(self, now: float, keeper: str) -> None:
        """An ask has had no answer in time, or could not be made."""
        told = self.servers.get(keeper)
        if told is not None and told.outstanding is not None:
            self._record_failure(now, told, self._finish_request(told))
            self.next_tick = min(self.next_tick, now)

    def _finish_request(self, keeper: ServerState) -> OutstandingRequest:
        out = keeper.outstanding
        assert out is not None
        keeper.outstanding = None
        for shard in out.requested_shards:
            wanted = self.pending.get(shard)
            if wanted is not None and wanted.requested_from == keeper.name:
                wanted.requested_from = None
                heapq.heappush(self.pending_queue, (wanted.deadline, shard))
        return out

    def _record_failure(self, now: float, keeper: ServerState, out: OutstandingRequest) -> None:
        self.failures += 1
        keeper.is_failing, keeper.has_more = True, False
        keeper.paused_until = now + keeper.backoff.next_delay()
        self.staleness.record_failure(keeper.name, out.sent_at)

    def _apply_response(
        self, now: float, keeper: ServerState, out: OutstandingRequest, answer: ShardResponse
    ) -> None:
        keeper.is_failing, keeper.has_more = False, False
        keeper.backoff.reset()
        age = max(0.0, answer.source_age_ms / 1e3) if isfinite(answer.source_age_ms) else 1e9
        self.staleness.record_response(keeper.name, out.sent_at, answer.process_epoch, answer.clock_ms)
        store = self.cache
        self.staleness.record_version(
            keeper.name, out.sent_at, answer.version, age, answer.version >= store.common_version
        )
        if age > LAGGING_SOURCE_AGE_S or answer.version < store.common_version:
            keeper.lagging_until = now + LAGGING_PAUSE_S
        taken = sum([self._apply_part(now, keeper, out, answer.version, part) for part in answer.parts])
        if answer.version < store.common_version:
            self.stale_rejected += 1
        elif answer.is_complete:
            store.confirm_all(answer.version, out.resident_shards)
        else:
            older = store.shards_older_than(answer.history_start)
            self.shards_to_compare.update(dict.fromkeys(older))
            if not older:
                store.raise_common_version()
            if answer.reached_version > store.common_version:
                store.confirm_all(answer.reached_version, out.resident_shards)
            keeper.has_more = True
            keeper.paused_until = now + (CONTINUATION_PAUSE_S if taken else MIN_BACKOFF_S)
        if out.checksums:
            if not taken:  # not again at once: a keeper that is behind can't say
                self.shards_to_compare = {
                    shard: None for shard in self.shards_to_compare if shard not in out.checksums
                }
            if not self.shards_to_compare:
                store.raise_common_version()
        if out.requested_shards and not any(
            shard in store.resident or shard not in self.pending for shard in out.requested_shards
        ):
            keeper.paused_until = now + keeper.backoff.next_delay()  # it gave none: not again at once
        self._release_pending(now)

    def _apply_part(
        self, now: float, keeper: ServerState, out: OutstandingRequest, version: Version, part: ResponsePart
    ) -> bool:
        """Whether it was taken: older never replaces newer."""
        store, shard = self.cache, part.shard
        held = store.resident.get(shard)
        if held is None:
            if (
                not isinstance(part, FullShard)
                or shard not in out.requested_shards
                or shard not in self.pending
            ):
                return False
            if version < store.latest_version:
                self.stale_rejected += 1
                return False
            if keeper.lagging_until > now and self._has_better_server(now, keeper):
                return False
            self._count_received(now, store.add(now, shard, part.rows, version))
            self.resident_pending.add(shard)
        elif version < store.version_of(held):
            self.stale_rejected += 1
            return False
        elif isinstance(part, UnchangedShard):
            if out.checksums.get(shard) != held.checksum:
                return False
            store.confirm(shard, version)
        elif isinstance(part, FullShard):
            self._count_received(now, store.replace(shard, part.rows, version))
        else:
            self._count_received(now, store.apply_changes(shard, part.rows, version))
        self.shards_to_compare.pop(shard, None)
        return True

    def _has_better_server(self, now: float, keeper: ServerState) -> bool:
        """Whether another one may know more than this, which is behind."""
        return any(
            not each.is_failing and each.lagging_until <= now and each.name in self.reachable_servers
            for each in self.servers.values()
            if each is not keeper
        )

    def _count_received(self, now: float, size: int) -> None:
        self.received_bytes += size
        self.receive_tokens -= size

    def _release_pending(self, now: float) -> None:
        """Messages go on whose shards are here now."""
        for shard in [shard for shard in self.resident_pending if self._can_publish(now, shard)]:
            self.resident_pending.discard(shard)
            wanted = self.pending.pop(shard)
            self.missing_destinations += self.cache.start_use(now, wanted.destinations, shard)

    def on_digest(self, now: float, keeper: str, digest: Digest) -> None:
        """A keeper tells what a reader should have by now."""
        told = self.servers.get(keeper)
        if told is None:
            return
        if digest.layout_checksum != self.layout_checksum:
            self.layout_mismatches += 1
            return
        store = self.cache
        at = self.staleness.earliest_sent_at(now, keeper, digest.process_epoch, digest.clock_ms)
        if at is None:
            return  # of another process, which was not asked yet: the next ask dates it
        age = max(0.0, digest.source_age_ms / 1e3) if isfinite(digest.source_age_ms) else 1e9
        self.staleness.record_version(keeper, at, digest.version, age, digest.version >= store.common_version)
        if age > LAGGING_SOURCE_AGE_S:
            told.lagging_until = now + LAGGING_PAUSE_S
        if digest.version < store.common_version:
            self.stale_rejected += 1
            return
        same_set = digest.shard_set_checksum == store.shard_set_checksum
        if same_set and digest.rows_checksum == store.rows_checksum:
            store.confirm_all(digest.version, store.resident_bits)
            self.shards_to_compare.clear()
            self._release_pending(now)
        elif digest.version > store.common_version:
            told.has_more = True
        elif same_set:
            self._compare_all(now)
            told.has_more = bool(self.shards_to_compare)
        elif now - told.requested_at >= self.refresh_s and told.rank == 0:
            told.has_more = True  # it does not know what is held here
        self.next_tick = min(self.next_tick, now)

    def _compare_all(self, now: float) -> None:
        """Under one version two different things: an entry was lost, or a source wrote its list anew."""
        if now - self.compared_all_at >= COMPARE_ALL_INTERVAL_S:
            self.compared_all_at = now
            self.shards_to_compare = dict.fromkeys(self.cache.resident)

    # -- asking ----------------------------------------------------------------------------------------------

    def tick(self, now: float, is_in_use: Callable[[int], bool]) -> None:
        """What is due. `in_use`: messages of it are held, calls are out, or something learned counts."""
        if self.cache.evict_idle(now, is_in_use, self.pending.__contains__):
            self.shards_to_compare = {
                shard: None for shard in self.shards_to_compare if shard in self.cache.resident
            }
        self._release_pending(now)
        self.receive_tokens = min(
            RECEIVE_BURST_BYTES,
            self.receive_tokens + max(0.0, now - self.tokens_updated_at) * RECEIVE_BYTES_PER_S,
        )
        self.tokens_updated_at = now
        self.next_tick = now + 1.0
        # Of those that fail the one that was left alone the longest: else the first few, whose time runs out
        # again and again, keep the last from being tried, and that may be the one that is back.
        order = sorted(
            self.servers.values(),
            key=lambda each: (
                each.is_failing,
                each.lagging_until > now,
                each.name not in self.reachable_servers,
                each.requested_at if each.is_failing else NEVER,
                each.rank,
            ),
        )
        for place, keeper in enumerate(order):
            if sum(each.outstanding is not None for each in order) >= MAX_OUTSTANDING_REQUESTS:
                return
            if keeper.outstanding is not None:
                continue
            wants = (place < 2 or order[1].is_failing) and self._has_requestable()
            if not self._should_ask(now, keeper, place, wants):
                continue
            if keeper.paused_until > now:
                self.next_tick = min(self.next_tick, keeper.paused_until)
                continue
            self._send_request(now, keeper, self._next_shards() if wants else [])

    def _has_requestable(self) -> bool:
        """Whether there are shards to ask for. What the heap has of others is dropped."""
        while self.pending_queue:
            wanted = self.pending.get(self.pending_queue[0][1])
            if (
                wanted is not None
                and wanted.requested_from is None
                and self.pending_queue[0][1] not in self.cache.resident
            ):
                return self.receive_tokens > 0.0
            heapq.heappop(self.pending_queue)
        return False

    def _next_shards(self) -> list[int]:
        """Some of them, earliest end first."""
        found: dict[int, None] = {}
        while len(found) < MAX_SHARDS_PER_REQUEST and self._has_requestable():
            found[heapq.heappop(self.pending_queue)[1]] = None
        return list(found)

    def _should_ask(self, now: float, keeper: ServerState, place: int, wants: bool) -> bool:
        if wants or keeper.has_more:
            return True
        if not self.cache.resident:
            return False
        if keeper.rank < 2 and keeper.is_failing:
            return True  # when its pause is over: whether it is back
        if place == 0 and self.shards_to_compare:
            return True
        idle = all(each.outstanding is None for each in self.servers.values())
        if place < 2 and now - keeper.requested_at >= SUBSCRIPTION_REFRESH_S and idle:
            return True
        old = now - self.staleness.confirmed_at(self.cache.common_version) >= self.refresh_s
        tried = now - self.staleness.last_contacts[keeper.name][0]
        if old and tried >= self.refresh_s:
            return all(
                each.is_failing or now - each.outstanding.sent_at >= SLOW_RESPONSE_S  # else its answer may do
                for each in self.servers.values()
                if each.outstanding is not None
            )
        return bool(self.resident_pending) and place < 2 and tried >= MIN_BACKOFF_S

    def _send_request(self, now: float, keeper: ServerState, wants: list[int]) -> None:
        store = self.cache
        self.last_request_number += 1
        sums = {
            shard: store.resident[shard].checksum
            for shard in list(self.shards_to_compare)[:MAX_CHECKSUMS_PER_REQUEST]
        }
        for shard in wants:
            self.pending[shard].requested_from = keeper.name
        ahead = store.shards_ahead()
        keeper.outstanding = OutstandingRequest(
            self.last_request_number, now, store.resident_bits, sums, wants
        )
        keeper.requested_at, keeper.has_more = now, False
        self.outgoing.append(
            (
                keeper.name,
                ShardRequest(
                    number=self.last_request_number,
                    layout=self.layout,
                    version=store.common_version if store.resident else store.latest_version,
                    resident_shards=pack_shard_set(store.resident_bits, self.layout.shard_count),
                    requested_shards=tuple(
                        RequestedShard(shard, self._time_left_ms(now, shard)) for shard in wants
                    ),
                    checksums=tuple(sums.items()),
                    ahead_version=store.catch_up_version if ahead else NO_VERSION,
                    ahead_shards=pack_shard_set(ahead, self.layout.shard_count) if ahead else b"",
                ),
            )
        )

    def _time_left_ms(self, now: float, shard: int) -> float:
        return min(NO_DEADLINE_MS, max(0.0, self.pending[shard].deadline - now) * 1e3)

    def next_tick_at(self) -> float:
        """When tick has something to do."""
        return self.next_tick

    def status(self, now: float) -> ShardClientStatus:
        store = self.cache
        at = self.staleness.confirmed_at(store.common_version)
        return ShardClientStatus(
            shards=len(store.resident),
            endpoints=store.endpoint_count,
            waiting=len(self.pending),
            version=store.common_version,
            age_s=min(1e9, now - at),
            behind=bool(store.resident) and not self.staleness.is_current(now, store.common_version),
            keepers=len(self.reachable_servers),
            asks=self.last_request_number,
            failures=self.failures,
            busy=self.overloaded,
            stale_refused=self.stale_rejected,
            other_layout=self.layout_mismatches,
            unreadable=store.unreadable_entries,
            unasked=self.unsolicited,
            bytes_in=self.received_bytes,
        )

"""Shard server: loads the list of a source and responds to clients. No I/O.

    source: a whole list or changes, staged in steps -> committed atomically to the ShardTable
    ShardRequest of a client -> ShardResponse (response_builder.py), Overloaded or LayoutMismatch
    every few seconds, to each client with a recent request -> Digest

A version that goes back is refused: a source that restarted with an old list would bring drained endpoints
back. If that is intended, the operator raises the epoch.

The clock is passed in, in seconds.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import NamedTuple

from .bulk_load import StagedChanges, StagedList, StagedUpdate
from .errors import UnreadableFrameError
from .response_builder import build_response_parts
from .shard_table import ShardTable, name_hash
from .status_report import ShardServerStatus
from .subscribers import MAX_DIGESTS_PER_CALL, Subscribers
from .wire import (
    NO_VERSION,
    Digest,
    Layout,
    LayoutMismatch,
    Overloaded,
    Row,
    ShardRequest,
    ShardResponse,
    Version,
    layout_checksum,
    unpack_shard_set,
)

RESPONSES_PER_S = 400.0  # serves 440 clients (3,500 clients of 8 servers) in one to two seconds
BYTES_S = 4e6  # bytes per second: 440 clients reload a thousand shards within 5 minutes, urgent first
BURST_S = 1.0  # of both limits
URGENT_TIME_LEFT_MS = 2_000.0  # requests for messages that expire within it may use all tokens
RESERVED_SHARE = 0.25  # of a burst, for urgent requests; twice that against requests without messages
IDLE_TIME_LEFT_MS = 60_000.0  # a longer time left means that no message waits
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 3.0  # a quarter of the staleness bound of 12 s
MAX_SOURCE_AGE_MS = 1e12


class _ShardSets(NamedTuple):
    """The decoded shard sets of a request."""

    resident: int
    ahead: int


class ShardServer:
    """Serves the shards of one source to all clients."""

    def __init__(self, layout: Layout, epoch: int, rng: random.Random) -> None:
        self.layout = layout
        self.epoch = epoch
        self.rng = rng
        self.layout_checksum = layout_checksum(layout)
        self.process_epoch = rng.getrandbits(53)
        self.table = ShardTable(layout.shard_count)
        self.subscribers = Subscribers(layout.shard_count, rng)
        self.source_confirmed_at = float("-inf")
        self.is_source_stale = False  # the source went back and doesn't confirm the served version
        self.tokens_at: float | None = None
        self.response_tokens = RESPONSES_PER_S * BURST_S
        self.byte_tokens = BYTES_S * BURST_S
        self.expected_retries = 0.0  # estimated number of rejected requests that are still to be retried
        self.responses = 0
        self.overloaded = 0
        self.rejected_updates = 0
        self.same_version_rewrites = 0
        self.sent_bytes = 0
        self.requests_ahead = 0  # of clients that know a later version

    @property
    def version(self) -> Version:
        """The version in force."""
        return (self.epoch, self.table.generation) if self.is_loaded else NO_VERSION

    @property
    def is_loaded(self) -> bool:
        """Whether a list is in force."""
        return self.table.history_start >= 0

    # -- the source ------------------------------------------------------------------------------------------

    def start_list(self, now: float, version: Version) -> StagedList:
        """Start staging a whole list, which is as of `now` at the source."""
        return StagedList(self.table, now, version, self._accepts(version), self._commit)

    def start_changes(self, now: float, generation: int) -> StagedChanges:
        """Start staging changes up to this generation."""
        version = (self.epoch, generation)
        is_allowed = self.is_loaded and self._accepts(version)
        return StagedChanges(self.table, now, version, is_allowed, self._commit)

    def apply_changes(
        self, now: float, generation: int, rows: Iterable[Row], listings: Iterable[tuple[str, int]] = ()
    ) -> bool:
        """Apply all changes up to this generation at once; return False if the whole list is needed."""
        changes = self.start_changes(now, generation)
        changes.add(rows, listings)
        if not changes.seal(now):
            return False
        while not changes.step():
            pass
        return changes.is_committed

    def confirm_source(self, now: float) -> None:
        """Record that the version in force is current at the source as of `now`; not for staged lists."""
        if self.is_loaded and not self.is_source_stale:
            self.source_confirmed_at = max(self.source_confirmed_at, now)

    def find_row(self, name: str) -> Row | None:
        """Return the row in force under this name."""
        shard = self.table.shard_by_name_hash.get(name_hash(name))
        rows = [] if shard is None else self.table.decode_rows(shard)
        return next((row for row in rows if row.name == name), None)

    def _accepts(self, version: Version) -> bool:
        """Whether the version does not go back; refusals are counted."""
        if version >= (self.version if self.is_loaded else (self.epoch, 0)):
            return True
        self.rejected_updates += 1
        self.is_source_stale = self.is_loaded
        return False

    def _commit(self, staged: StagedUpdate) -> bool:
        """Put a staged update in force; return False if a newer version is in force by now."""
        if not self._accepts(staged.version):
            return False
        epoch, generation = staged.version
        restarts_history = not self.is_loaded or epoch > self.epoch
        if staged.edits and not restarts_history and generation == self.table.generation:
            self.same_version_rewrites += 1  # clients notice by their checksums
        self._commit_names(staged)
        if staged.edits or restarts_history or generation > self.table.generation:
            increases = self.table.commit(generation, staged.edits, restarts_history)
            self.subscribers.add_to_checksums(increases)
        self.epoch = epoch
        self.is_source_stale = False
        if isinstance(staged, StagedList):
            self.source_confirmed_at = max(self.source_confirmed_at, staged.started_at)
        return True

    def _commit_names(self, staged: StagedUpdate) -> None:
        if isinstance(staged, StagedList):
            self.table.shard_by_name_hash = staged.shard_by_name_hash
            return
        assert isinstance(staged, StagedChanges)
        for hashed, shard in staged.shard_by_name_hash.items():
            if shard is None:
                self.table.shard_by_name_hash.pop(hashed, None)
            else:
                self.table.shard_by_name_hash[hashed] = shard

    # -- clients ---------------------------------------------------------------------------------------------

    def handle_request(
        self, now: float, client: str, request: ShardRequest
    ) -> ShardResponse | Overloaded | LayoutMismatch:
        """Respond to a client's request. Raises UnreadableFrameError."""
        if request.layout != self.layout:
            return LayoutMismatch(request.number, self.layout)
        if not self.is_loaded:
            return LayoutMismatch(request.number, self.layout, is_loading=True)
        shard_sets = self._read_shard_sets(request)
        retry_after_s = self._retry_after_s(now, request)
        if retry_after_s is not None:
            self.overloaded += 1
            return Overloaded(request.number, retry_after_s * 1e3)
        if self.version < request.version:
            self.requests_ahead += 1
        response = build_response_parts(
            self.table, self.version, request, shard_sets.resident, shard_sets.ahead
        )
        resident = shard_sets.resident
        for part in response.parts:
            # Presumes delivery: if the response is lost, the next digest differs, and the client retries.
            resident |= 1 << part.shard
        self.subscribers.record_request(now, client, resident, self.table.checksums)
        self.responses += 1
        self.sent_bytes += response.size
        self.response_tokens -= 1.0
        self.byte_tokens -= response.size
        return ShardResponse(
            request.number,
            self.version,
            tuple(response.parts),
            response.is_complete,
            (self.epoch, self.table.history_start),
            self._source_age_ms(now),
            self.process_epoch,
            now * 1e3,
            response.reached_version,
        )

    def _read_shard_sets(self, request: ShardRequest) -> _ShardSets:
        """Decode the shard sets of a request and validate all shard numbers."""
        shard_count = self.layout.shard_count
        resident = unpack_shard_set(request.resident_shards, shard_count)
        ahead = unpack_shard_set(request.ahead_shards, shard_count) if request.ahead_shards else 0
        requested = (item.shard for item in request.requested_shards)
        for shard in (*requested, *(shard for shard, _ in request.checksums)):
            if not 0 <= shard < shard_count:
                raise UnreadableFrameError(f"shard {shard}: the layout has {shard_count}")
        return _ShardSets(resident, ahead)

    def _retry_after_s(self, now: float, request: ShardRequest) -> float | None:
        """Return the time until a retry, or None if the request is served now.

        Retries are spread by the number of expected retries, so that they don't arrive together. Requests for
        messages that expire soon get a shorter time and may use the reserved tokens.
        """
        self._refill_tokens(now)
        time_left_ms = min(
            (item.time_left_ms for item in request.requested_shards), default=URGENT_TIME_LEFT_MS + 1.0
        )
        if time_left_ms <= URGENT_TIME_LEFT_MS:
            reserved_share = 0.0
        elif time_left_ms <= IDLE_TIME_LEFT_MS:
            reserved_share = RESERVED_SHARE
        else:
            reserved_share = 2 * RESERVED_SHARE
        has_response_tokens = self.response_tokens >= 1.0 + reserved_share * RESPONSES_PER_S * BURST_S
        if has_response_tokens and self.byte_tokens > reserved_share * BYTES_S * BURST_S:
            return None
        self.expected_retries += 1.0
        wait_s = max(MIN_RETRY_AFTER_S, -self.byte_tokens / BYTES_S, self.expected_retries / RESPONSES_PER_S)
        factor = 1.0 if reserved_share else 0.5
        return min(MAX_RETRY_AFTER_S, wait_s * factor) * self.rng.uniform(0.7, 1.3)

    def _refill_tokens(self, now: float) -> None:
        if self.tokens_at is not None:
            elapsed_s = max(0.0, now - self.tokens_at)
            self.response_tokens = min(
                RESPONSES_PER_S * BURST_S, self.response_tokens + elapsed_s * RESPONSES_PER_S
            )
            self.byte_tokens = min(BYTES_S * BURST_S, self.byte_tokens + elapsed_s * BYTES_S)
            self.expected_retries = max(0.0, self.expected_retries - elapsed_s * RESPONSES_PER_S)
        self.tokens_at = now

    def due_digests(self, now: float) -> list[tuple[str, Digest]]:
        """Return due digests with their clients, MAX_DIGESTS_PER_CALL at most."""
        due: list[tuple[str, Digest]] = []
        while self.is_loaded and len(due) < MAX_DIGESTS_PER_CALL:
            subscriber = self.subscribers.next_recipient(now, self.table.checksums)
            if subscriber is None:
                break
            digest = Digest(
                self.layout_checksum,
                self.version,
                subscriber.shard_set_checksum,
                subscriber.rows_checksum,
                self._source_age_ms(now),
                self.process_epoch,
                now * 1e3,
            )
            due.append((subscriber.name, digest))
        return due

    def next_digest_at(self) -> float:
        """Return when the next digest is due."""
        queue = self.subscribers.digest_queue
        return queue[0][0] if queue else float("inf")

    def _source_age_ms(self, now: float) -> float:
        return min(MAX_SOURCE_AGE_MS, max(0.0, now - self.source_confirmed_at) * 1e3)

    def status(self, now: float) -> ShardServerStatus:
        """Return the server's counters and state."""
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

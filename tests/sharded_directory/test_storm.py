"""A storm of changes at one client, in virtual time: counts the messages between it and its servers."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from itertools import count

import msgspec
import pytest

from message_relay.sharded_directory import shard_table
from message_relay.sharded_directory.rendezvous_hash import shard_of
from message_relay.sharded_directory.shard_client import ShardClient
from message_relay.sharded_directory.shard_server import ShardServer
from message_relay.sharded_directory.wire import (
    NO_VERSION,
    Digest,
    FullShard,
    Layout,
    Row,
    ShardChanges,
    ShardRequest,
    ShardResponse,
    encode_message,
    pack_shard_set,
)

from .common import apply_response, by_shard, loaded_server, respond, row, shard_request

DESTS, SHARDS, USED = 20_000, 512, 600  # some 39 destinations per shard
# Number of changes, steps, and duration: as many changes per shard as 72,000 changes of 8,192 shards.
STORM, STORM_STEPS, STORM_S = 4_000, 60, 30.0
DELAY_S = 0.02  # of a message, in one direction
BOUND_S = 12.0
QUIET_S = 20.0  # before the storm
CLIENT = "n100"


class Storm:
    """Two servers and a client that has USED destinations in use."""

    def __init__(self, shards: int = SHARDS) -> None:
        self.now, self.order = 0.0, count()
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.layout = Layout(shards, (0, 1))
        self.rows = {f"e{n}": row(f"e{n}", n) for n in range(DESTS)}
        self.servers = {f"n{n}": loaded_server(self.layout, self.rows.values(), seed=n) for n in (0, 1)}
        self.client = ShardClient(CLIENT, self.layout, random.Random(9), BOUND_S, 3600.0)
        self.client.set_reachable(0.0, self.servers)
        self.used = random.Random(5).sample(range(DESTS), USED)
        self.generations = count(2)
        self.requests: list[ShardRequest] = []
        self.responses: list[ShardResponse] = []
        self.digests = 0
        self.cut = False
        self.max_age_s = 0.0  # maximum age of the client's data

    def at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.due, (when, next(self.order), act))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        self.at(self.now, lambda: self.tick(until))
        while self.due and self.due[0][0] <= until:
            self.now, _, act = heapq.heappop(self.due)
            act()
        self.now = until

    def tick(self, until: float) -> None:
        client, now = self.client, self.now
        for name, server in self.servers.items():
            server.confirm_source(now)
            for _, digest in server.due_digests(now):
                self.digests += 1
                self.at(now + DELAY_S, partial(self.receive_digest, name, digest))
        client.tick(now, lambda destination: True)
        for name, request in client.outgoing:
            self.requests.append(request)
            self.at(now + DELAY_S, partial(self.response, name, request))
        client.outgoing.clear()
        self.max_age_s = max(self.max_age_s, client.status(now).age_s)
        if now + 0.01 <= until:
            self.at(now + 0.01, lambda: self.tick(until))

    def receive_digest(self, name: str, digest: Digest) -> None:
        if not self.cut:
            self.client.on_digest(self.now, name, digest)

    def request_destination(self, destination: int) -> None:
        self.client.request(self.now, destination, self.now + 30.0)

    def update_server(self, server: ShardServer, generation: int, rows: list[Row]) -> None:
        server.apply_changes(self.now, generation, rows)

    def response(self, name: str, request: ShardRequest) -> None:
        if self.cut:
            self.at(self.now + 1.0, lambda: self.client.on_request_failed(self.now, name))
            return
        shard_response = respond(self.servers[name], request, self.now, CLIENT)
        self.responses.append(shard_response)
        self.at(self.now + DELAY_S, lambda: self.client.on_response(self.now, name, shard_response))

    def change(self, dests: list[int]) -> None:
        """Apply one step of changes; the second server gets it 0.1 s later."""
        generation = next(self.generations)
        rows = [row(f"e{n}", n, mark=float(generation)) for n in dests]
        self.rows |= {each.name: each for each in rows}
        for index, server in enumerate(self.servers.values()):
            self.at(self.now + 0.1 * index, partial(self.update_server, server, generation, rows))

    def run_storm(self, cut_s: float = 0.0) -> list[int]:
        """Run a storm; return the changed destinations. Its middle `cut_s` seconds have no connection."""
        for n, destination in enumerate(self.used):
            self.at(n * 0.01, partial(self.request_destination, destination))
        self.run(QUIET_S)
        assert self.client.status(self.now).waiting == 0
        self.requests, self.responses, self.digests, self.max_age_s = [], [], 0, 0.0
        changed = random.Random(6).sample(range(DESTS), STORM)
        for n in range(STORM_STEPS):
            self.at(self.now + n * STORM_S / STORM_STEPS, partial(self.change, changed[n::STORM_STEPS]))
        self.run(10.0)
        self.cut = cut_s > 0.0
        self.run(cut_s)
        self.cut, self.max_age_s = False, self.max_age_s if not cut_s else 0.0
        self.run(STORM_S + 4.0 - 10.0 - cut_s)
        return changed


def test_storm_costs_a_client_the_changes_of_its_shards_and_few_requests() -> None:
    storm = Storm()
    changed = storm.run_storm()
    resident = storm.client.cache.resident
    relevant = [n for n in changed if shard_of(n, SHARDS) in resident]
    assert len(resident) > 300 and len(relevant) > 2_000
    parts = [part for response in storm.responses for part in response.parts]
    assert all(isinstance(part, ShardChanges) for part in parts)  # no full shard
    sent_names = [each.name for part in parts if isinstance(part, ShardChanges) for each in part.rows]
    assert sorted(sent_names) == sorted(f"e{n}" for n in relevant)  # each change once
    # Bytes of responses: the rows, 8 per part and 64 per response; of requests: the bitmap and 64 each.
    row_bytes = sum(len(msgspec.msgpack.encode(storm.rows[name])) for name in sent_names)
    assert sum(len(encode_message(response)) for response in storm.responses) <= row_bytes + 8 * len(
        parts
    ) + 64 * len(storm.responses)
    assert sum(len(encode_message(each)) for each in storm.requests) <= len(storm.requests) * (
        SHARDS // 8 + 16 + 64
    )
    assert len(storm.requests) <= storm.digests <= 2 * (STORM_S + 4.0) / 2.7 + 2  # at most one per digest
    assert storm.max_age_s < BOUND_S
    # The client has all changes.
    expected = by_shard(storm.rows, SHARDS)
    assert storm.client.cache.common_version == (1, STORM_STEPS + 1)
    for shard, each in resident.items():
        shard_rows: list[Row] = msgspec.msgpack.decode(each.encoded_rows, type=list[Row])
        assert {one.name: one for one in shard_rows} == expected[shard]


def test_storm_costs_less_with_smaller_shards() -> None:
    """A reason for the choice of `count`: a client gets the changes of whole shards."""
    cost = {}
    for shards in (SHARDS, 4 * SHARDS):
        storm = Storm(shards)
        storm.run_storm()
        assert storm.client.cache.common_version == (1, STORM_STEPS + 1) and storm.max_age_s < BOUND_S
        received = sum(len(encode_message(each)) for each in storm.responses)
        cost[shards] = received, received + sum(len(encode_message(each)) for each in storm.requests)
    assert cost[4 * SHARDS][0] < 0.45 * cost[SHARDS][0]  # 9 destinations in a shard with one in use, not 39
    assert cost[4 * SHARDS][1] < 0.6 * cost[SHARDS][1]  # including the larger bitmaps


def test_received_bytes_are_those_of_changes_and_not_of_full_shards() -> None:
    storm = Storm()
    storm.run_storm()
    before = storm.client.scheduler.received_bytes
    storm.change([storm.used[0]])
    storm.run(4.0)
    assert 0 < storm.client.scheduler.received_bytes - before < 100


def test_first_change_of_a_shard_is_sent_as_a_change_to_clients_generations_behind() -> None:
    layout = Layout(SHARDS, (1,))
    rows = {f"e{n}": row(f"e{n}", n) for n in range(2_000)}
    server = loaded_server(layout, rows.values())
    for generation in range(2, 12):
        new = row(f"e{generation}", generation, mark=float(generation))
        rows[new.name] = new
        server.apply_changes(0.0, generation, [new])
    response = respond(server, shard_request(layout, (1, 1), range(SHARDS)))
    assert response.is_complete and {type(part) for part in response.parts} == {ShardChanges}
    client_shards = dict(enumerate(by_shard({f"e{n}": row(f"e{n}", n) for n in range(2_000)}, SHARDS)))
    apply_response(client_shards, response)
    assert client_shards == dict(enumerate(by_shard(rows, SHARDS)))


def test_dropped_change_log_restarts_at_the_last_change_of_its_shard(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(shard_table, "MAX_LOG_ROWS", 1)
    layout = Layout(SHARDS, (1,))
    server = loaded_server(layout, (row(f"e{n}", n) for n in range(2_000)))
    other = next(n for n in range(2_000) if shard_of(n, SHARDS) != shard_of(0, SHARDS))
    server.apply_changes(0.0, 2, [row("e0", 0, mark=2.0)])
    server.apply_changes(0.0, 3, [row(f"e{other}", other, mark=3.0)])  # drops the log of the first one
    server.apply_changes(0.0, 4, [row(f"e{other}", other, mark=4.0)])
    server.apply_changes(0.0, 5, [row("e0", 0, mark=5.0)])
    shard = shard_of(0, SHARDS)
    (before,) = respond(server, shard_request(layout, (1, 1), [shard])).parts
    (after,) = respond(server, shard_request(layout, (1, 2), [shard])).parts
    assert isinstance(before, FullShard)
    assert after == ShardChanges(shard, (row("e0", 0, mark=5.0),))


def test_response_in_pieces_makes_progress_though_versions_change_faster(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Nine generations: a longer disconnection causes full shards.
    monkeypatch.setattr(shard_table, "MAX_LOG_ROWS", 600)
    storm = Storm()
    storm.run_storm(cut_s=10.0)
    full_shards = Counter(
        part.shard for response in storm.responses for part in response.parts if isinstance(part, FullShard)
    )
    assert len(full_shards) > 250  # many responses with some 18 each
    assert max(full_shards.values()) <= 2  # at most once from each server
    assert storm.client.cache.common_version == (1, STORM_STEPS + 1)


def test_oldest_shards_are_sent_first_with_the_version_reached() -> None:
    layout = Layout(SHARDS, (1,))
    rows = [row(f"e{n}", n) for n in range(DESTS)]
    server = loaded_server(layout, rows)
    for generation in (2, 3, 4):  # changes in all shards, more than fit into one response
        server.apply_changes(0.0, generation, [row(f"e{n}", n, mark=float(generation)) for n in range(6_000)])
    half = list(range(SHARDS // 2))
    packed_half = pack_shard_set(sum(1 << shard for shard in half), SHARDS)
    request = msgspec.structs.replace(
        shard_request(layout, (1, 1), range(SHARDS)), ahead_version=(1, 3), ahead_shards=packed_half
    )
    response = respond(server, request)
    assert not response.is_complete and response.reached_version == NO_VERSION
    assert not {part.shard for part in response.parts} & set(half)
    remaining = set(range(SHARDS)) - {part.shard for part in response.parts} - set(half)
    packed_ahead = pack_shard_set(
        sum(1 << shard for shard in range(SHARDS) if shard not in remaining), SHARDS
    )
    response = respond(server, msgspec.structs.replace(request, ahead_shards=packed_ahead))
    while not response.is_complete and response.reached_version == NO_VERSION:
        remaining -= {part.shard for part in response.parts}
        packed_ahead = pack_shard_set(
            sum(1 << shard for shard in range(SHARDS) if shard not in remaining), SHARDS
        )
        response = respond(server, msgspec.structs.replace(request, ahead_shards=packed_ahead))
    assert remaining <= {part.shard for part in response.parts}
    assert response.reached_version == (1, 3)
    behind = loaded_server(layout, rows)
    behind.apply_changes(0.0, 2, [row("e0", 0, mark=2.0)])
    assert respond(behind, request).reached_version == NO_VERSION  # the server itself is behind that version

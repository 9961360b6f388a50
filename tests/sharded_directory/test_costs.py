"""Costs of changes, requests and responses, by counters: they depend on the changes, not on the size."""

from __future__ import annotations

import random

import pytest

from message_relay.sharded_directory.rendezvous_hash import shard_of
from message_relay.sharded_directory.shard_client import ShardClient
from message_relay.sharded_directory.shard_server import ShardServer
from message_relay.sharded_directory.wire import (
    Layout,
    ShardRequest,
    ShardResponse,
    decode_message,
    encode_message,
)

from .common import loaded_server, respond, row, shard_request

SMALL, LARGE = (1_000, 32), (20_000, 512)  # destinations, shards: some 35 in each
NOW = 100.0


def server_of(size: tuple[int, int], clients: int = 0) -> ShardServer:
    destinations, shards = size
    server = loaded_server(Layout(shards, (1,)), [row(f"e{i}", i) for i in range(destinations)], now=NOW)
    for number in range(clients):
        server.handle_request(
            NOW + number, f"n{number}", shard_request(server.layout, (1, 1), resident=range(shards))
        )
    return server


def cost_of_a_change(size: tuple[int, int], clients: int) -> tuple[int, int, int]:
    """Return the decoded rows, the updated checksums, and the bytes sent to one client."""
    server = server_of(size, clients)
    before = server.table.decoded_rows, server.subscribers.update_count
    server.apply_changes(NOW, 2, [row("e7", 7, 1)])
    after = server.table.decoded_rows - before[0], server.subscribers.update_count - before[1]
    return *after, len(
        encode_message(respond(server, shard_request(server.layout, (1, 1), range(size[1])), NOW + 500.0))
    )


def rows_in_shard_of(size: tuple[int, int], destination: int) -> int:
    destinations, shards = size
    return sum(shard_of(other, shards) == shard_of(destination, shards) for other in range(destinations))


@pytest.mark.parametrize("clients", [0, 20])
def test_cost_of_a_change_does_not_depend_on_the_number_of_destinations(clients: int) -> None:
    small, large = cost_of_a_change(SMALL, clients), cost_of_a_change(LARGE, clients)
    # The shard is decoded once.
    assert small[0] == rows_in_shard_of(SMALL, 7) and large[0] == rows_in_shard_of(LARGE, 7)
    assert max(small[0], large[0]) < 100
    assert small[1] == large[1] == clients
    assert abs(large[2] - small[2]) <= 4 and large[2] < 200


def test_cost_of_a_request_depends_on_changes_and_not_on_resident_shards() -> None:
    costs = []
    for resident_count in (16, 512):
        server = server_of(LARGE)
        server.handle_request(NOW, "n1", shard_request(server.layout, (1, 1), range(resident_count)))
        server.apply_changes(NOW, 2, [row("e7", 7, 1), row("e8", 8, 1)])
        before = server.table.decoded_rows, server.subscribers.update_count
        server.handle_request(NOW, "n1", shard_request(server.layout, (1, 1), range(resident_count)))
        costs.append((server.table.decoded_rows - before[0], server.subscribers.update_count - before[1]))
    assert costs[0] == costs[1] == (0, 0)  # served from the logs, with no change of shard sets


def test_old_changes_are_not_visited() -> None:
    server = server_of(LARGE)
    for generation in range(2, 302):
        server.apply_changes(NOW, generation, [row(f"e{generation}", generation, 1)])
    assert len(list(server.table.changed_since(300))) == 1 and len(list(server.table.changed_since(301))) == 0
    assert 100 < len(list(server.table.changed_since(1))) <= 300


def client_with_destinations(
    size: tuple[int, int], used: int
) -> tuple[ShardServer, ShardClient, list[tuple[str, ShardRequest]]]:
    server = server_of(size)
    client = ShardClient("n100", server.layout, random.Random(1))
    for destination in range(used):
        client.request(NOW, destination, NOW + 9.0)
    now, requests = NOW, []
    for _ in range(600):
        now += 0.1
        server.confirm_source(now)
        client.tick(now, lambda destination: False)
        for name, request in client.outgoing:
            requests.append((name, request))
            response = server.handle_request(now, "n100", request)
            client.on_response(now, name, response)
        client.outgoing.clear()
        if not client.status(now).waiting:
            break
    assert client.status(now).waiting == 0
    return server, client, requests


def test_cost_of_a_change_at_a_client_is_the_rows_of_one_shard() -> None:
    costs = []
    for used in (10, 2_000):
        server, client, _ = client_with_destinations(LARGE, used)
        now = NOW + 70.0
        server.apply_changes(now, 2, [row("e7", 7, 1)])
        before = client.cache.decoded_rows
        client.tick(now, lambda destination: False)
        ((name, request),) = client.outgoing
        client.outgoing.clear()
        response = decode_message(encode_message(server.handle_request(now, "n100", request)))
        assert isinstance(response, ShardResponse) and response.is_complete and len(response.parts) == 1
        client.on_response(now, name, response)
        costs.append(client.cache.decoded_rows - before)
    assert costs[0] == costs[1] < 80


def test_directory_gets_only_destinations_in_use() -> None:
    _, client, _ = client_with_destinations(LARGE, 50)
    assert client.status(NOW).shards > 40 and client.status(NOW).endpoints == 50
    assert sum(len(update.endpoints) for update in client.updates) == 50


def test_requested_shards_are_received_with_few_requests() -> None:
    _, client, requests = client_with_destinations(LARGE, 2_000)
    assert client.status(NOW).shards > 450
    assert len(requests) < 2 * (client.status(NOW).bytes_in / (36 << 10) + 2)

"""What things cost, by counts: a change, an ask and an answer by what changed, not by what there is."""

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

from .common import ask, asked, filled, row

SMALL, LARGE = (1_000, 32), (20_000, 512)  # destinations, shards: some 35 in each
NOW = 100.0


def keeper_of(size: tuple[int, int], readers: int = 0) -> ShardServer:
    destinations, shards = size
    keeper = filled(Layout(shards, (1,)), [row(f"e{i}", i) for i in range(destinations)], now=NOW)
    for number in range(readers):
        keeper.handle_request(NOW + number, f"n{number}", ask(keeper.layout, (1, 1), holds=range(shards)))
    return keeper


def cost_of_a_change(size: tuple[int, int], readers: int) -> tuple[int, int, int]:
    """Rows read, sums touched, bytes told to one reader."""
    keeper = keeper_of(size, readers)
    before = keeper.table.decoded_rows, keeper.subscribers.update_count
    keeper.apply_changes(NOW, 2, [row("e7", 7, 1)])
    after = keeper.table.decoded_rows - before[0], keeper.subscribers.update_count - before[1]
    return *after, len(encode_message(asked(keeper, ask(keeper.layout, (1, 1), range(size[1])), NOW + 500.0)))


def rows_beside(size: tuple[int, int], destination: int) -> int:
    destinations, shards = size
    return sum(shard_of(each, shards) == shard_of(destination, shards) for each in range(destinations))


@pytest.mark.parametrize("readers", [0, 20])
def test_a_change_costs_the_same_at_a_thousand_destinations_and_at_twenty_thousand(readers: int) -> None:
    small, large = cost_of_a_change(SMALL, readers), cost_of_a_change(LARGE, readers)
    assert small[0] == rows_beside(SMALL, 7) and large[0] == rows_beside(LARGE, 7)  # its shard, read once
    assert max(small[0], large[0]) < 100
    assert small[1] == large[1] == readers
    assert abs(large[2] - small[2]) <= 4 and large[2] < 200


def test_an_ask_costs_by_what_changed_and_not_by_what_is_held() -> None:
    costs = []
    for holds in (16, 512):
        keeper = keeper_of(LARGE)
        keeper.handle_request(NOW, "n1", ask(keeper.layout, (1, 1), range(holds)))
        keeper.apply_changes(NOW, 2, [row("e7", 7, 1), row("e8", 8, 1)])
        before = keeper.table.decoded_rows, keeper.subscribers.update_count
        keeper.handle_request(NOW, "n1", ask(keeper.layout, (1, 1), range(holds)))
        costs.append((keeper.table.decoded_rows - before[0], keeper.subscribers.update_count - before[1]))
    assert costs[0] == costs[1] == (0, 0)  # from the logs, and no set has changed


def test_what_changed_long_ago_is_not_looked_at() -> None:
    keeper = keeper_of(LARGE)
    for generation in range(2, 302):
        keeper.apply_changes(NOW, generation, [row(f"e{generation}", generation, 1)])
    assert len(list(keeper.table.changed_since(300))) == 1 and len(list(keeper.table.changed_since(301))) == 0
    assert 100 < len(list(keeper.table.changed_since(1))) <= 300


def reader_of(
    size: tuple[int, int], used: int
) -> tuple[ShardServer, ShardClient, list[tuple[str, ShardRequest]]]:
    keeper = keeper_of(size)
    reader = ShardClient("n100", keeper.layout, random.Random(1))
    for destination in range(used):
        reader.request(NOW, destination, NOW + 9.0)
    now, asks = NOW, []
    for _ in range(600):
        now += 0.1
        keeper.confirm_source(now)
        reader.tick(now, lambda destination: False)
        for name, told in reader.outgoing:
            asks.append((name, told))
            answer = keeper.handle_request(now, "n100", told)
            reader.on_response(now, name, answer)
        reader.outgoing.clear()
        if not reader.status(now).waiting:
            break
    assert reader.status(now).waiting == 0
    return keeper, reader, asks


def test_a_change_costs_a_reader_the_rows_of_its_shard_whatever_it_holds() -> None:
    costs = []
    for used in (10, 2_000):
        keeper, reader, _ = reader_of(LARGE, used)
        now = NOW + 70.0
        keeper.apply_changes(now, 2, [row("e7", 7, 1)])
        before = reader.cache.decoded_rows
        reader.tick(now, lambda destination: False)
        ((name, told),) = reader.outgoing
        reader.outgoing.clear()
        answer = decode_message(encode_message(keeper.handle_request(now, "n100", told)))
        assert isinstance(answer, ShardResponse) and answer.is_complete and len(answer.parts) == 1
        reader.on_response(now, name, answer)
        costs.append(reader.cache.decoded_rows - before)
    assert costs[0] == costs[1] < 80


def test_the_directory_hears_of_what_is_used_and_not_of_all_that_shares_its_shards() -> None:
    _, reader, _ = reader_of(LARGE, 50)
    assert reader.status(NOW).shards > 40 and reader.status(NOW).endpoints == 50
    assert sum(len(update.endpoints) for update in reader.updates) == 50


def test_wanted_shards_come_in_few_asks() -> None:
    _, reader, asks = reader_of(LARGE, 2_000)
    assert reader.status(NOW).shards > 450
    assert len(asks) < 2 * (reader.status(NOW).bytes_in / (36 << 10) + 2)

"""Which server a client asks when: order, retries, backoff, limits."""

from __future__ import annotations

import random

import pytest

from message_relay.decisions.model import Listing
from message_relay.sharded_directory import request_scheduler
from message_relay.sharded_directory.rendezvous_hash import MAX_SERVERS, rank_servers
from message_relay.sharded_directory.shard_client import ShardClient
from message_relay.sharded_directory.wire import (
    DRAINING,
    FullShard,
    Layout,
    LayoutMismatch,
    Overloaded,
)

from .client_world import FIRST, LAYOUT, ONE, SECOND, THIRD, World, answer_to, in_shard
from .common import asked, row


def test_the_earliest_end_is_asked_for_first_and_one_ask_is_out_at_a_keeper() -> None:
    layout = Layout(512, (1, 2, 3))
    world = World([row(f"e{i}", i) for i in range(600)], layout)
    for destination in range(400):
        world.reader.request(world.now, destination, world.now + 100.0 - destination / 10.0)
    asks = world.turn()
    assert [name for name, _ in asks] == [FIRST, SECOND]
    shards = [want.shard for _, each in asks for want in each.requested_shards]
    assert len(shards) == len(set(shards)) == 2 * request_scheduler.MAX_SHARDS_PER_REQUEST
    due = [want.time_left_ms for _, each in asks for want in each.requested_shards]
    assert due == sorted(due) and due[0] <= 60_200.0
    assert not world.turn()  # two at most, one a keeper
    world.serve(asks)
    world.settle(1.0)
    assert world.reader.status(world.now).waiting == 0 and len(world.directory.by_name) == 400


def test_a_keeper_that_fails_is_left_for_the_next_and_asked_again_after_growing_pauses() -> None:
    world = World([row("a", 1)])
    world.down = {FIRST, SECOND}
    world.want(1)
    world.settle(0.1)
    assert [name for name, _ in world.served] == [FIRST, SECOND, THIRD]
    assert world.reader.contains(1)
    world.settle(60.0)
    times = sum(name == FIRST for name, _ in world.served)
    assert 10 <= times <= 40  # whether it is back; 4 s at most between two, by chance 0.7 to 1.3 of that
    world.down.clear()
    world.served.clear()
    world.settle(30.0)
    assert FIRST in {name for name, _ in world.served}
    assert world.reader.status(world.now).failures > 20


def test_a_keeper_that_is_behind_is_asked_last_for_what_is_not_here() -> None:
    a, b = in_shard(0, 1)[0], in_shard(1, 1)[0]
    world = World([row("a", a), row("b", b)])
    world.behind = {FIRST}
    world.settle(15.0)
    world.want(a)
    world.settle(0.2)
    # Its first answer told its age, and what it gave was left for another to say.
    assert [(name, len(told.requested_shards)) for name, told in world.served][:2] == [
        (FIRST, 1),
        (SECOND, 1),
    ]
    assert world.reader.contains(a)
    world.settle(3.0)
    world.served.clear()
    world.want(b)
    world.settle(0.2)
    assert world.served[0][0] == SECOND


def test_a_keeper_that_is_loading_or_busy_is_asked_again_later() -> None:
    world = World([row("a", 1)], ONE)
    world.want(1)
    (first,) = world.turn()
    world.reader.on_response(world.now, first[0], LayoutMismatch(first[1].number, ONE, is_loading=True))
    (second,) = world.turn()
    assert (first[0], second[0]) == (FIRST, SECOND)
    world.reader.on_response(world.now, second[0], Overloaded(second[1].number, 2_000.0))
    world.settle()
    assert world.reader.contains(1) and [name for name, _ in world.served] == [THIRD]


@pytest.mark.parametrize("after_ms", [float("nan"), float("inf"), -5.0, 1e300])
def test_busy_for_no_time_that_makes_sense(after_ms: float) -> None:
    world = World([row("a", 1)], ONE)
    world.down = {SECOND, THIRD}
    world.want(1)
    (first,) = world.turn()
    world.reader.on_response(world.now, first[0], Overloaded(first[1].number, after_ms))
    world.settle(8.0)
    assert world.reader.contains(1)


def test_its_own_traffic_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_scheduler, "RECEIVE_BYTES_PER_S", 20_000.0)
    monkeypatch.setattr(request_scheduler, "RECEIVE_BURST_BYTES", 50_000.0)
    layout = Layout(256, (1, 2, 3))
    world = World([row(f"a-name-of-usual-length-{i}", i) for i in range(256 * 44)], layout)
    world.want(*range(800))
    world.settle(2.0)
    assert world.reader.status(world.now).bytes_in <= 2 * 20_000 + 50_000 + 2 * 48_000
    world.settle(40.0)
    assert world.reader.status(world.now).bytes_in > 500_000
    assert world.reader.status(world.now).waiting == 0


def test_next_at_is_soon_where_something_waits() -> None:
    world = World([row("a", 1)], ONE)
    world.settle()
    assert world.now < world.reader.next_tick_at() <= world.now + 1.0
    world.reader.request(world.now, 1, world.now + 1.0)
    assert world.reader.next_tick_at() <= world.now
    world.settle()
    assert world.now < world.reader.next_tick_at() <= world.now + 1.0


def test_an_older_answer_is_counted_and_its_keeper_asked_last() -> None:
    world = World([row("a", 1)], ONE)
    world.changed(5, [], [("a", DRAINING)])
    world.want(1)
    world.settle(1.0)
    world.now += 7.0
    (told,) = world.turn()
    world.reader.on_response(world.now, told[0], answer_to(told, (1, 4), [FullShard(0, (row("a", 1),))]))
    world.apply()
    assert world.has("a").listing is Listing.DRAINING
    assert world.reader.status(world.now).stale_refused == 2  # the shard, and the answer
    assert world.reader.status(world.now).version == (1, 5)
    assert not world.reader.is_current(world.now + 6.0, 1)
    assert world.turn()[0][0] == SECOND


def test_an_ask_that_was_out_while_it_was_frozen_does_not_count_as_tried() -> None:
    world = World([row("a", 1)], Layout(1, (1,)))
    world.want(1)
    world.settle(1.0)
    world.now += 7.0
    (told,) = world.turn()
    world.now += 30.0
    world.reader.on_request_failed(world.now, told[0])  # its time ran out while this process stood
    assert not world.reader.is_current(world.now, 1)
    world.down = {"n1"}
    world.settle(2.0)
    assert world.reader.is_current(world.now, 1)


def test_an_answer_to_an_earlier_ask_is_not_taken_for_that_to_the_one_that_is_out() -> None:
    """It would date what it says by an ask that went out after it was said."""
    world = World([row("a", 1)], Layout(1, (1,)))
    world.want(1)
    world.settle(1.0)
    world.now += 7.0
    (told,) = world.turn()
    late = asked(world.keepers["n1"], told[1], world.now)
    world.reader.on_request_failed(world.now, "n1")
    world.now += 20.0
    world.changed(2, [row("a", 1, DRAINING)])
    assert world.turn()
    world.now += 20.0
    world.reader.on_response(world.now, "n1", late)
    assert world.reader.unsolicited == 1 and not world.reader.is_current(world.now, 1)


def test_readers_that_lose_their_keepers_together_do_not_come_back_together() -> None:
    readers = []
    for number in range(60):
        reader = ShardClient(f"n{100 + number}", LAYOUT, random.Random(number))
        reader.request(100.0, 1, 200.0)
        readers.append(reader)
    asked_at: list[float] = []
    for step in range(300):
        now = 100.0 + step / 10.0
        for reader in readers:
            reader.tick(now, lambda destination: False)
            for name, _ in reader.outgoing:
                reader.on_request_failed(now, name)
                asked_at.append(now)
            reader.outgoing.clear()
    late = [at for at in asked_at if at > 115.0]
    assert len(late) > 60 * 3
    assert max(map(late.count, set(late))) < len(late) / 15  # of 150 steps
    now = 140.0
    for reader in readers:
        reader.set_reachable(now, [])
        for keeper in reader.scheduler.servers.values():
            keeper.paused_until = now + 60.0
        reader.set_reachable(now, reader.scheduler.servers)
    back = sorted(
        min(keeper.paused_until for keeper in reader.scheduler.servers.values()) - now for reader in readers
    )
    assert back[-1] <= request_scheduler.RECOVERY_SPREAD_S and back[15] > 0.1 and back[45] > 0.4


@pytest.mark.parametrize("back", range(8))
def test_whichever_keeper_comes_back_is_found_soon(back: int) -> None:
    """Of eight that all hang, a second each, whatever its rank."""
    world = World([row("a", 1)], Layout(1, tuple(range(1, 9))))
    world.want(1)
    world.settle(1.0)
    alive = rank_servers("n100", world.keepers)[back]
    began = world.now
    out: list[tuple[float, str]] = []
    while world.now < began + 60.0:
        world.now = round(world.now + 0.1, 1)
        for keeper in world.keepers.values():
            keeper.confirm_source(world.now)
        for at, name in [each for each in out if world.now - each[0] >= 1.0]:
            out.remove((at, name))
            world.reader.on_request_failed(world.now, name)
        for name, told in world.turn():
            if name == alive and world.now > began + 40.0:
                world.serve([(name, told)])
                assert world.now < began + 48.0
                return
            out.append((world.now, name))
        assert world.reader.is_current(world.now, 1)  # what is known serves, all being tried in turn
    raise AssertionError("never asked")


def test_as_many_keepers_as_there_may_be_are_all_tried_within_the_bound() -> None:
    """All hang, for long: each has its turn, so that what is known serves."""
    world = World([row("a", 1)], Layout(1, tuple(range(1, MAX_SERVERS + 1))))
    world.want(1)
    world.settle(1.0)
    began = world.now
    out: list[tuple[float, str]] = []
    last = dict.fromkeys(world.keepers, began + 20.0)
    while world.now < began + 120.0:
        world.now = round(world.now + 0.1, 1)
        for at, name in [each for each in out if world.now - each[0] >= 1.0]:
            out.remove((at, name))
            world.reader.on_request_failed(world.now, name)
        for name, _ in world.turn():
            out.append((world.now, name))
            assert world.now - last[name] < 11.0
            last[name] = max(last[name], world.now)
        if world.now > began + 20.0:
            assert world.reader.is_current(world.now, 1)

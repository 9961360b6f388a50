"""Scheduling of a client's requests: order of servers, retries, backoff, limits."""

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

from .client_world import FIRST, LAYOUT, ONE_SHARD, SECOND, THIRD, ClientWorld, in_shard, response_to
from .common import respond, row


def test_earliest_deadline_is_requested_first_and_a_server_has_one_outstanding_request() -> None:
    layout = Layout(512, (1, 2, 3))
    world = ClientWorld([row(f"e{i}", i) for i in range(600)], layout)
    for destination in range(400):
        world.client.request(world.now, destination, world.now + 100.0 - destination / 10.0)
    requests = world.tick()
    assert [name for name, _ in requests] == [FIRST, SECOND]
    shards = [
        requested_shard.shard for _, request in requests for requested_shard in request.requested_shards
    ]
    assert len(shards) == len(set(shards)) == 2 * request_scheduler.MAX_SHARDS_PER_REQUEST
    due = [
        requested_shard.time_left_ms
        for _, request in requests
        for requested_shard in request.requested_shards
    ]
    assert due == sorted(due) and due[0] <= 60_200.0
    assert not world.tick()  # at most two outstanding, one per server
    world.serve(requests)
    world.settle(1.0)
    assert world.client.status(world.now).waiting == 0 and len(world.directory.by_name) == 400


def test_failing_server_is_replaced_by_the_next_and_retried_with_backoff() -> None:
    world = ClientWorld([row("a", 1)])
    world.down = {FIRST, SECOND}
    world.request_destinations(1)
    world.settle(0.1)
    assert [name for name, _ in world.served] == [FIRST, SECOND, THIRD]
    assert world.client.contains(1)
    world.settle(60.0)
    times = sum(name == FIRST for name, _ in world.served)
    # Retries to learn whether it has recovered: at most 4 s apart, times 0.7 to 1.3 at random.
    assert 10 <= times <= 40
    world.down.clear()
    world.served.clear()
    world.settle(30.0)
    assert FIRST in {name for name, _ in world.served}
    assert world.client.status(world.now).failures > 20


def test_lagging_server_is_queried_last_for_shards_that_are_not_resident() -> None:
    a, b = in_shard(0, 1)[0], in_shard(1, 1)[0]
    world = ClientWorld([row("a", a), row("b", b)])
    world.lagging = {FIRST}
    world.settle(15.0)
    world.request_destinations(a)
    world.settle(0.2)
    # Its first response showed the age of its source, so that the shard was requested from another server.
    assert [(name, len(sent.requested_shards)) for name, sent in world.served][:2] == [
        (FIRST, 1),
        (SECOND, 1),
    ]
    assert world.client.contains(a)
    world.settle(3.0)
    world.served.clear()
    world.request_destinations(b)
    world.settle(0.2)
    assert world.served[0][0] == SECOND


def test_loading_or_overloaded_server_is_retried_later() -> None:
    world = ClientWorld([row("a", 1)], ONE_SHARD)
    world.request_destinations(1)
    (first,) = world.tick()
    world.client.on_response(world.now, first[0], LayoutMismatch(first[1].number, ONE_SHARD, is_loading=True))
    (second,) = world.tick()
    assert (first[0], second[0]) == (FIRST, SECOND)
    world.client.on_response(world.now, second[0], Overloaded(second[1].number, 2_000.0))
    world.settle()
    assert world.client.contains(1) and [name for name, _ in world.served] == [THIRD]


@pytest.mark.parametrize("after_ms", [float("nan"), float("inf"), -5.0, 1e300])
def test_overloaded_with_an_invalid_retry_after(after_ms: float) -> None:
    world = ClientWorld([row("a", 1)], ONE_SHARD)
    world.down = {SECOND, THIRD}
    world.request_destinations(1)
    (first,) = world.tick()
    world.client.on_response(world.now, first[0], Overloaded(first[1].number, after_ms))
    world.settle(8.0)
    assert world.client.contains(1)


def test_received_bytes_are_rate_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_scheduler, "RECEIVE_BYTES_PER_S", 20_000.0)
    monkeypatch.setattr(request_scheduler, "RECEIVE_BURST_BYTES", 50_000.0)
    layout = Layout(256, (1, 2, 3))
    world = ClientWorld([row(f"a-name-of-usual-length-{i}", i) for i in range(256 * 44)], layout)
    world.request_destinations(*range(800))
    world.settle(2.0)
    assert world.client.status(world.now).bytes_in <= 2 * 20_000 + 50_000 + 2 * 48_000
    world.settle(40.0)
    assert world.client.status(world.now).bytes_in > 500_000
    assert world.client.status(world.now).waiting == 0


def test_next_tick_is_soon_while_something_is_pending() -> None:
    world = ClientWorld([row("a", 1)], ONE_SHARD)
    world.settle()
    assert world.now < world.client.next_tick_at() <= world.now + 1.0
    world.client.request(world.now, 1, world.now + 1.0)
    assert world.client.next_tick_at() <= world.now
    world.settle()
    assert world.now < world.client.next_tick_at() <= world.now + 1.0


def test_older_response_is_counted_and_its_server_queried_last() -> None:
    world = ClientWorld([row("a", 1)], ONE_SHARD)
    world.apply_changes(5, [], [("a", DRAINING)])
    world.request_destinations(1)
    world.settle(1.0)
    world.now += 7.0
    (sent,) = world.tick()
    world.client.on_response(world.now, sent[0], response_to(sent, (1, 4), [FullShard(0, (row("a", 1),))]))
    world.apply()
    assert world.endpoint("a").listing is Listing.DRAINING
    assert world.client.status(world.now).stale_refused == 2  # the shard, and the response
    assert world.client.status(world.now).version == (1, 5)
    assert not world.client.is_current(world.now + 6.0, 1)
    assert world.tick()[0][0] == SECOND


def test_request_outstanding_during_a_freeze_does_not_count_as_contact() -> None:
    world = ClientWorld([row("a", 1)], Layout(1, (1,)))
    world.request_destinations(1)
    world.settle(1.0)
    world.now += 7.0
    (sent,) = world.tick()
    world.now += 30.0
    world.client.on_request_failed(world.now, sent[0])  # it timed out while this process was frozen
    assert not world.client.is_current(world.now, 1)
    world.down = {"n1"}
    world.settle(2.0)
    assert world.client.is_current(world.now, 1)


def test_response_to_an_earlier_request_does_not_end_the_outstanding_one() -> None:
    """Guards against dating a response by a request that was sent after it."""
    world = ClientWorld([row("a", 1)], Layout(1, (1,)))
    world.request_destinations(1)
    world.settle(1.0)
    world.now += 7.0
    (sent,) = world.tick()
    late_response = respond(world.servers["n1"], sent[1], world.now)
    world.client.on_request_failed(world.now, "n1")
    world.now += 20.0
    world.apply_changes(2, [row("a", 1, DRAINING)])
    assert world.tick()
    world.now += 20.0
    world.client.on_response(world.now, "n1", late_response)
    assert world.client.unsolicited == 1 and not world.client.is_current(world.now, 1)


def test_clients_that_lost_their_servers_at_the_same_time_return_spread_out() -> None:
    clients = []
    for number in range(60):
        client = ShardClient(f"n{100 + number}", LAYOUT, random.Random(number))
        client.request(100.0, 1, 200.0)
        clients.append(client)
    requested_at: list[float] = []
    for step in range(300):
        now = 100.0 + step / 10.0
        for client in clients:
            client.tick(now, lambda destination: False)
            for name, _ in client.outgoing:
                client.on_request_failed(now, name)
                requested_at.append(now)
            client.outgoing.clear()
    late_requests = [at for at in requested_at if at > 115.0]
    assert len(late_requests) > 60 * 3
    assert max(map(late_requests.count, set(late_requests))) < len(late_requests) / 15  # of 150 steps
    now = 140.0
    for client in clients:
        client.set_reachable(now, [])
        for server in client.scheduler.servers.values():
            server.paused_until = now + 60.0
        client.set_reachable(now, client.scheduler.servers)
    return_delays = sorted(
        min(server.paused_until for server in client.scheduler.servers.values()) - now for client in clients
    )
    assert (
        return_delays[-1] <= request_scheduler.RECOVERY_SPREAD_S
        and return_delays[15] > 0.1
        and return_delays[45] > 0.4
    )


@pytest.mark.parametrize("rank", range(8))
def test_any_server_that_recovers_is_found_soon(rank: int) -> None:
    """All eight servers hang, each request for a second; then the server of any rank recovers."""
    world = ClientWorld([row("a", 1)], Layout(1, tuple(range(1, 9))))
    world.request_destinations(1)
    world.settle(1.0)
    recovered = rank_servers("n100", world.servers)[rank]
    began_at = world.now
    outstanding: list[tuple[float, str]] = []
    while world.now < began_at + 60.0:
        world.now = round(world.now + 0.1, 1)
        for server in world.servers.values():
            server.confirm_source(world.now)
        for at, name in [each for each in outstanding if world.now - each[0] >= 1.0]:
            outstanding.remove((at, name))
            world.client.on_request_failed(world.now, name)
        for name, sent in world.tick():
            if name == recovered and world.now > began_at + 40.0:
                world.serve([(name, sent)])
                assert world.now < began_at + 48.0
                return
            outstanding.append((world.now, name))
        assert world.client.is_current(world.now, 1)  # known data are used while all servers are tried
    raise AssertionError("the recovered server got no request")


def test_maximum_number_of_servers_is_tried_within_the_bound() -> None:
    """All servers hang for long: each is tried within the bound, so that known data can be used."""
    world = ClientWorld([row("a", 1)], Layout(1, tuple(range(1, MAX_SERVERS + 1))))
    world.request_destinations(1)
    world.settle(1.0)
    began_at = world.now
    outstanding: list[tuple[float, str]] = []
    last_requested_at = dict.fromkeys(world.servers, began_at + 20.0)
    while world.now < began_at + 120.0:
        world.now = round(world.now + 0.1, 1)
        for at, name in [each for each in outstanding if world.now - each[0] >= 1.0]:
            outstanding.remove((at, name))
            world.client.on_request_failed(world.now, name)
        for name, _ in world.tick():
            outstanding.append((world.now, name))
            assert world.now - last_requested_at[name] < 11.0
            last_requested_at[name] = max(last_requested_at[name], world.now)
        if world.now > began_at + 20.0:
            assert world.client.is_current(world.now, 1)

"""Shard client: which shards are resident, and whether their data are current enough for a first byte."""

from __future__ import annotations

import random

from message_relay.decisions.model import Listing
from message_relay.sharded_directory.rendezvous_hash import shard_of
from message_relay.sharded_directory.shard_server import ShardServer
from message_relay.sharded_directory.wire import (
    DRAINING,
    Digest,
    FullShard,
    Layout,
    LayoutMismatch,
    Overloaded,
    layout_checksum,
    unpack_shard_set,
)

from .client_world import FIRST, ONE_SHARD, SECOND, THIRD, ClientWorld, in_shard, response_to
from .common import load_list, respond, row


def test_requested_shard_becomes_resident_and_only_destinations_in_use_are_published() -> None:
    a, b, c = in_shard(0, 3)
    world = ClientWorld([row("a", a), row("b", b), row("a2", a)])
    assert not world.client.is_resident(a)
    world.request_destinations(a, c)
    assert not world.client.is_resident(a) and not world.client.is_current(world.now, a)
    world.settle()
    # The second one only gets the resident shards, so that it sends digests as well.
    assert [(name, len(sent.requested_shards)) for name, sent in world.served] == [(FIRST, 1), (SECOND, 0)]
    assert set(world.directory.by_name) == {"a", "a2"} and world.missing == [c]
    assert world.client.is_resident(a) and world.client.contains(a) and world.client.is_current(world.now, a)
    assert not world.client.is_resident(b) and not world.client.contains(b)
    world.request_destinations(b)  # its shard is resident: published at once
    assert set(world.directory.by_name) == {"a", "a2", "b"} and len(world.served) == 2
    assert world.client.is_resident(b) and world.client.status(world.now).endpoints == 3


def test_use_of_a_destination_in_a_resident_shard_publishes_it() -> None:
    a, b = in_shard(0, 2)
    world = ClientWorld([row("a", a), row("b", b)])
    world.request_destinations(a)
    world.settle()
    world.client.touch(world.now, b)
    world.apply()
    assert set(world.directory.by_name) == {"a", "b"}


def test_change_arrives_within_two_digests_and_costs_a_few_rows() -> None:
    world = ClientWorld([row("a", 1), row("b", 2)])
    world.request_destinations(1)
    world.settle(5.0)
    world.served.clear()
    bytes_before = world.servers[FIRST].sent_bytes + world.servers[SECOND].sent_bytes
    world.apply_changes(2, [row("a", 1, port=99)])
    world.settle(4.0)
    assert world.directory.by_name["a"].address == ("host", 99)
    assert world.client.status(world.now).version == (1, 2)
    assert world.servers[FIRST].sent_bytes + world.servers[SECOND].sent_bytes - bytes_before < 300
    world.served.clear()
    # A change in a shard that is not resident.
    world.apply_changes(3, [row("x", in_shard((shard_of(1, 4) + 1) % 4, 1)[0])])
    world.settle(4.0)
    assert world.client.status(world.now).version == (1, 3) and not world.served


def test_older_response_is_rejected_and_another_server_queried() -> None:
    """Guards against a drained endpoint coming back from a server that has not got the change."""
    a, b = in_shard(0, 2)
    c = in_shard(1, 1)[0]
    world = ClientWorld([row("a", a), row("c", c)])
    world.apply_changes(2, [], [("c", DRAINING)], FIRST)
    world.request_destinations(a)
    world.settle()
    assert world.client.status(world.now).version == (1, 2)
    world.down = {FIRST}
    world.request_destinations(c)
    world.settle(3.0)
    assert not world.client.is_resident(c) and world.client.status(world.now).stale_refused > 0
    assert {SECOND, THIRD} <= {name for name, _ in world.served}
    world.apply_changes(2, [], [("c", DRAINING)], THIRD)
    world.settle(6.0)
    assert world.endpoint("c").listing is Listing.DRAINING


def test_repeated_and_late_responses_change_nothing() -> None:
    world = ClientWorld([row("a", 1)], ONE_SHARD)
    world.request_destinations(1)
    (first,) = world.tick()
    response = respond(world.servers[first[0]], first[1], world.now)
    world.client.on_request_failed(world.now, first[0])
    world.client.on_response(world.now, first[0], response)  # arrives too late
    assert not world.client.is_resident(1) and world.client.unsolicited == 1
    world.settle(1.0)
    before = world.client.status(world.now)
    for _ in range(2):
        world.client.on_response(world.now, first[0], response)
        world.client.on_response(world.now, "n55", response)
    after = world.client.status(world.now)
    assert after.unasked == 5 and after.version == before.version and not world.client.updates


def test_frozen_client_sends_a_request_before_its_next_first_byte() -> None:
    world = ClientWorld([row("a", 1)], ONE_SHARD)
    world.request_destinations(1)
    world.settle(4.0)
    assert world.client.is_current(world.now, 1)
    buffered = []
    for step in range(40):  # digests buffered in its socket meanwhile
        for server in world.servers.values():
            server.confirm_source(world.now + step)
        buffered += [
            (name, digest)
            for name, server in world.servers.items()
            for _, digest in server.due_digests(world.now + step)
        ]
    world.now += 40.0
    world.apply_changes(2, [], [("a", DRAINING)])
    assert not world.client.is_current(world.now, 1)
    early = [each for each in buffered if each[1].clock_ms < (world.now - 11.0) * 1e3]
    assert len(early) > 5
    for name, digest in early + early:  # dated by the clocks of their servers, not by their arrival
        world.client.on_digest(world.now, name, digest)
    assert not world.client.is_current(world.now, 1)
    world.settle()
    assert world.client.is_current(world.now, 1) and world.endpoint("a").listing is Listing.DRAINING


def test_digests_alone_keep_the_client_current_and_three_may_be_lost() -> None:
    world = ClientWorld([row("a", 1)], ONE_SHARD)
    world.request_destinations(1)
    world.settle(0.5)
    world.served.clear()
    world.settle(25.0)
    assert world.client.is_current(world.now, 1) and not world.served
    world.settle(25.0, digests=False)
    assert world.client.is_current(world.now, 1) and 4 <= len(world.served) <= 10


def test_without_reachable_servers_known_data_are_used_once_all_were_tried() -> None:
    world = ClientWorld([row("a", 1)], ONE_SHARD)
    world.request_destinations(1)
    world.settle(1.0)
    world.down = set(world.servers)
    for _ in range(60):
        world.settle(1.0)
        assert world.client.is_current(world.now, 1)
    status = world.client.status(world.now)
    assert status.age_s > 55.0 and status.shards == 1
    assert len(world.served) < 120
    world.now += 30.0  # frozen for 30 s
    assert not world.client.is_current(world.now, 1)
    world.settle(0.1)
    tried = {name for name, _ in world.served[-3:]}
    assert tried == set(world.servers) or not world.client.is_current(world.now, 1)
    world.settle(6.0)
    assert world.client.is_current(world.now, 1)
    world.down = {FIRST, SECOND}
    world.apply_changes(2, [], [("a", DRAINING)])
    world.settle(9.0)
    assert world.endpoint("a").listing is Listing.DRAINING


def test_lagging_server_confirms_nothing_younger_than_its_source() -> None:
    world = ClientWorld([row("a", 1)], ONE_SHARD)
    world.request_destinations(1)
    world.settle(1.0)
    world.lagging = {FIRST}
    cut_at = world.now
    world.apply_changes(2, [], [("a", DRAINING)], SECOND, THIRD)
    while world.endpoint("a").listing is Listing.READY:
        assert world.now - cut_at < 12.0 or not world.client.is_current(world.now, 1)
        world.settle(0.5)
    assert world.now - cut_at < 12.0
    world.settle(5.0)
    assert world.client.is_current(world.now, 1)


def test_unnoticed_source_lag_is_detected_by_the_other_server() -> None:
    """As with a file that is copied late: the server reports that it is up to date."""
    for late in (FIRST, SECOND):
        world = ClientWorld([row("a", 1)], ONE_SHARD)
        world.request_destinations(1)
        world.settle(1.0)
        changed_at = world.now
        world.apply_changes(2, [], [("a", DRAINING)], *({FIRST, SECOND, THIRD} - {late}))
        world.settle(4.0)
        assert world.endpoint("a").listing is Listing.DRAINING and world.now - changed_at < 12.0
        world.settle(20.0)
        assert world.endpoint("a").listing is Listing.DRAINING and world.client.is_current(world.now, 1)


def test_lagging_servers_still_serve_known_and_requested_shards() -> None:
    world = ClientWorld([row("a", 1), row("b", 2)])
    world.request_destinations(1)
    world.settle(1.0)
    world.lagging = set(world.servers)
    world.settle(40.0)
    assert world.client.is_current(world.now, 1) and world.client.status(world.now).age_s > 30.0
    world.request_destinations(2)
    world.settle(5.0)
    assert world.client.contains(2)


def test_layout_mismatch_is_counted_and_rejected() -> None:
    world = ClientWorld([row("a", 1)], ONE_SHARD)
    world.request_destinations(1)
    (sent,) = world.tick()
    world.client.on_response(world.now, sent[0], LayoutMismatch(sent[1].number, Layout(2, (1,))))
    assert world.client.status(world.now).other_layout == 1
    requests = world.tick()
    assert requests[0][0] == SECOND
    world.serve(requests)
    world.settle(3.0)
    digest = Digest(layout_checksum(Layout(2, (1,))), (9, 9), 0, 0, 0.0, 1, 1.0)
    world.client.on_digest(world.now, FIRST, digest)
    assert world.client.status(world.now).other_layout == 2
    assert world.client.status(world.now).version == (1, 1)


def test_different_data_under_one_version_are_found_by_checksums() -> None:
    world = ClientWorld([row("a", 1), row("b", 2)], ONE_SHARD)
    world.request_destinations(1, 2)
    world.settle(1.0)
    for server in world.servers.values():
        assert load_list(server, [row("a", 1, DRAINING), row("b", 2)], 1)
    world.settle(5.0)
    assert world.endpoint("a").listing is Listing.DRAINING


def test_restarted_servers_are_compared_by_checksums() -> None:
    rows = [row(f"e{i}", i) for i in range(2_000)]
    layout = Layout(1024, (1, 2, 3))
    world = ClientWorld(rows, layout)
    world.request_destinations(*range(2_000))
    world.settle(8.0)
    resident = world.client.status(world.now).shards
    world.updates.clear()
    changed = {i: row(f"e{i}", i, DRAINING) for i in range(0, 2_000, 500)}
    for name in world.servers:
        world.servers[name] = ShardServer(layout, 1, random.Random(name))
        assert load_list(
            world.servers[name], [changed.get(i, each) for i, each in enumerate(rows)], 5, world.now
        )
    world.settle(15.0)
    assert (
        world.client.status(world.now).version == (1, 5) and world.client.status(world.now).shards == resident
    )
    assert {each.name for update in world.updates for each in update.endpoints} == {f"e{i}" for i in changed}
    assert sum(server.sent_bytes for server in world.servers.values()) < 40_000


def test_raised_epoch_replaces_the_earlier_one() -> None:
    world = ClientWorld([row("a", 1, mark=9.0)], ONE_SHARD)
    world.apply_changes(50, [row("b", 2)])
    world.request_destinations(1)
    world.settle(1.0)
    assert world.client.status(world.now).version == (1, 50)
    for server in world.servers.values():
        assert load_list(server, [row("a", 1, DRAINING)], 3, world.now, epoch=2)
    world.settle(5.0)
    assert (
        world.client.status(world.now).version == (2, 3) and world.endpoint("a").listing is Listing.DRAINING
    )


def test_requests_name_the_shards_that_are_resident() -> None:
    world = ClientWorld([row(f"e{i}", i) for i in range(20)])
    world.request_destinations(*in_shard(0, 1), *in_shard(2, 1))
    world.settle()
    world.now += 7.0
    (sent,) = world.tick()
    assert unpack_shard_set(sent[1].resident_shards, 4) == 0b101 and sent[1].version == (1, 1)


def test_older_digest_confirms_nothing_and_causes_no_request() -> None:
    world = ClientWorld([row("a", 1)], ONE_SHARD)
    world.apply_changes(5, [], [("a", DRAINING)])
    world.request_destinations(1)
    world.settle(1.0)
    server = world.servers[FIRST]
    old = Digest(
        layout_checksum(ONE_SHARD),
        (1, 4),
        world.client.cache.shard_set_checksum,
        7,
        0.0,
        server.process_epoch,
        world.now * 1e3,
    )
    world.client.on_digest(world.now, FIRST, old)
    assert world.client.status(world.now).stale_refused == 1
    assert not world.tick() and not world.client.scheduler.shards_to_compare


def test_known_newer_version_blocks_calls_until_it_arrives_or_the_server_fails() -> None:
    """The server's source is silent and the server overloaded, but it has reported its version."""
    world = ClientWorld([row("a", 1)], Layout(1, (1,)))
    world.request_destinations(1)
    world.settle(1.0)
    world.apply_changes(2, [row("a", 1, DRAINING)])
    server, began_at = world.servers["n1"], world.now
    while world.now < began_at + 20.0:
        for _, digest in server.due_digests(world.now):
            world.client.on_digest(world.now, "n1", digest)
        for name, sent in world.tick():
            world.client.on_response(world.now, name, Overloaded(sent.number, 500.0))
        world.now += 0.1
        assert (
            world.client.is_current(world.now, 1) == (world.now < began_at + 12.0)
            or world.now < began_at + 12.0
        )
    world.down = {"n1"}
    world.settle(3.0)
    assert world.client.is_current(world.now, 1)


def test_buffered_response_is_as_old_as_its_request() -> None:
    world = ClientWorld([row("a", 1)], Layout(1, (1,)))
    world.request_destinations(1)
    world.settle(1.0)
    world.now += 7.0
    (sent,) = world.tick()
    response = respond(world.servers["n1"], sent[1], world.now)
    world.now += 30.0  # frozen, with the response in its socket's buffer
    world.apply_changes(2, [row("a", 1, DRAINING)])
    world.client.on_response(world.now, sent[0], response)
    assert world.client.unsolicited == 0 and not world.client.is_current(world.now, 1)
    world.settle()
    assert world.client.is_current(world.now, 1) and world.endpoint("a").listing is Listing.DRAINING


def test_response_confirms_only_shards_that_were_resident_when_it_was_requested() -> None:
    a, b, c = (in_shard(shard, 1)[0] for shard in (0, 1, 2))
    world = ClientWorld([row("x", a), row("y", b), row("z", c)])
    world.request_destinations(b)
    world.settle(1.0)
    world.request_destinations(a)
    (first,) = world.tick()
    world.request_destinations(c)
    (second,) = world.tick()
    assert {first[0], second[0]} == {FIRST, SECOND}
    world.serve([first])
    assert world.client.is_resident(a)
    world.apply_changes(9, [row("x", a, DRAINING, mark=9.0)])
    parts = [FullShard(2, (row("z", c),))]
    world.client.on_response(world.now, second[0], response_to(second, (1, 9), parts, True, world.now))
    world.apply()
    assert world.client.status(world.now).version == (1, 1)  # the shard of a is still as of version 1
    world.settle(4.0)
    assert world.endpoint("x").listing is Listing.DRAINING and world.client.status(world.now).version == (
        1,
        9,
    )

"""Shard cache: versions, names that move between shards, eviction, unreadable rows."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from message_relay.decisions.model import Listing
from message_relay.sharded_directory.rendezvous_hash import shard_of
from message_relay.sharded_directory.wire import (
    DRAINING,
    GONE,
    FullShard,
    ShardChanges,
)

from .client_world import FIRST, ONE_SHARD, SECOND, ClientWorld, in_shard, respond_in_part, response_to
from .common import respond, row


def test_older_part_after_a_newer_one_is_ignored() -> None:
    world = ClientWorld([row("a", 1)], ONE_SHARD)
    world.request_destinations(1)
    (first_request,) = world.tick()
    old = respond(world.servers[SECOND], first_request[1], world.now)
    world.apply_changes(2, [row("a", 1, DRAINING)], [], FIRST)
    world.serve([first_request])
    assert world.endpoint("a").listing is Listing.DRAINING
    world.now += 7.0
    for name, sent in world.tick():
        world.client.on_response(world.now, name, msgspec.structs.replace(old, number=sent.number))
        world.apply()
    assert (
        world.endpoint("a").listing is Listing.DRAINING and world.client.status(world.now).stale_refused > 0
    )


def test_evicted_shard_is_not_accepted_at_an_older_version() -> None:
    world = ClientWorld([row("a", 1)], ONE_SHARD, idle_s=20.0)
    world.apply_changes(2, [], [("a", DRAINING)], FIRST)
    world.request_destinations(1)
    world.settle()
    assert world.endpoint("a").listing is Listing.DRAINING
    world.settle(30.0)
    assert world.endpoint("a") is None and world.client.status(world.now).shards == 0
    world.down = {FIRST}
    world.request_destinations(1)
    world.settle(3.0)
    assert world.endpoint("a") is None and not world.client.is_resident(1)
    world.apply_changes(2, [], [("a", DRAINING)], SECOND)
    world.settle(6.0)
    assert world.endpoint("a").listing is Listing.DRAINING


def test_name_that_moves_between_shards_is_published_as_of_the_latest_version() -> None:
    a, b = in_shard(0, 1)[0], in_shard(1, 1)[0]
    for first_destination, second_destination in ((a, b), (b, a)):
        world = ClientWorld([row("x", a, mark=1.0)])
        world.request_destinations(first_destination)
        world.settle()
        world.apply_changes(2, [row("x", b, mark=2.0)])
        world.request_destinations(second_destination)
        world.settle(4.0)
        world.request_destinations(b)  # a request before the move had found that it does not exist
        assert (world.endpoint("x").destination, world.endpoint("x").rate) == (b, 2.0)
        world.settle(4.0)
        assert (
            world.endpoint("x").destination == b and world.client.contains(b) and not world.client.contains(a)
        )
        assert world.client.status(world.now).endpoints == 1


def test_moved_name_is_not_published_from_an_old_shard_that_lags() -> None:
    """The new shard of the name is resident as of a later version than its old shard. The old shard
    publishes no new names until it has caught up.
    """
    a, b = in_shard(0, 1)[0], in_shard(1, 1)[0]
    other = in_shard(0, 2)[1]
    world = ClientWorld([row("x", a, mark=1.0), row("y", other)])
    world.request_destinations(other)
    world.settle()
    world.apply_changes(2, [row("x", b, mark=2.0)])
    world.request_destinations(b)
    (sent,) = world.tick()
    response = respond(world.servers[sent[0]], sent[1], world.now)
    parts = tuple(part for part in response.parts if part.shard == shard_of(b, 4))
    world.client.on_response(
        world.now, sent[0], msgspec.structs.replace(response, parts=parts, is_complete=False)
    )
    world.apply()
    assert world.endpoint("x").rate == 2.0
    world.request_destinations(a)
    assert not world.client.is_resident(a) and world.endpoint("x").rate == 2.0
    world.settle(1.0)
    assert world.missing == [a] and world.endpoint("x").rate == 2.0


def test_idle_destinations_and_shards_are_evicted_and_used_ones_stay() -> None:
    a, b = in_shard(0, 2)
    c = in_shard(1, 1)[0]
    world = ClientWorld([row("a", a), row("b", b), row("c", c)], idle_s=20.0)
    world.in_use = {c}
    world.request_destinations(a, b, c)
    world.settle()
    for _ in range(6):
        world.settle(5.0)
        world.client.touch(world.now, a)
    assert set(world.directory.by_name) == {"a", "c"} and world.client.status(world.now).shards == 2
    world.in_use.clear()
    world.settle(30.0)
    assert not world.directory.by_name and world.client.status(world.now).shards == 0
    assert (
        world.client.cache.rows_checksum,
        world.client.cache.shard_set_checksum,
        world.client.cache.resident_bits,
    ) == (0, 0, 0)
    world.request_destinations(a)
    world.settle()
    assert set(world.directory.by_name) == {"a"}


@pytest.mark.parametrize(
    "wrong",
    [
        {"port": 0},
        {"port": 65536},
        {"port": -1},
        {"host": ""},
        {"host": "h" * 254},
        {"rate": -1.0},
        {"rate": float("inf")},
        {"rate": float("nan")},
        {"name": ""},
        {"listing": 7},
    ],
)
def test_unreadable_entry_is_skipped(wrong: dict[str, Any]) -> None:
    bad = msgspec.structs.replace(row("bad", 1), **wrong)
    world = ClientWorld([row("a", 1), bad], ONE_SHARD)
    world.request_destinations(1)
    world.settle(4.0)
    assert set(world.directory.by_name) == {"a"}
    assert world.client.status(world.now).unreadable == 1
    assert world.client.status(world.now).version == (1, 1)  # the checksums agree


@pytest.mark.parametrize(("listing", "expected"), [(0, Listing.READY), (1, Listing.DRAINING)])
def test_listing_of_an_unreadable_entry_counts(listing: int, expected: Listing) -> None:
    world = ClientWorld([row("a", 1, 1 - listing, port=8080)], ONE_SHARD)
    world.request_destinations(1)
    world.settle(1.0)
    world.apply_changes(2, [row("a", 1, listing, port=0)])
    world.settle(4.0)
    known = world.directory.by_name["a"]
    assert known.endpoint.listing is expected and known.address == ("host", 8080)
    world.apply_changes(3, [], [("a", GONE)])
    world.settle(4.0)
    assert not world.directory.by_name


def test_rows_of_another_shard_and_unknown_shards_are_ignored() -> None:
    a, b = in_shard(0, 1)[0], in_shard(1, 1)[0]
    world = ClientWorld([row("a", a)])
    world.request_destinations(a)
    (sent,) = world.tick()
    response = respond(world.servers[sent[0]], sent[1], world.now)
    parts = (
        FullShard(0, (row("a", a), row("wrong", b))),
        FullShard(999, (row("y", 5),)),
        FullShard(-1, ()),
        ShardChanges(2, (row("z", 5),)),
    )
    world.client.on_response(world.now, sent[0], msgspec.structs.replace(response, parts=parts))
    world.apply()
    assert set(world.directory.by_name) == {"a"} and world.client.status(world.now).shards == 1


def test_new_shard_is_rejected_below_the_latest_version() -> None:
    a, b = in_shard(0, 1)[0], in_shard(1, 1)[0]
    world = ClientWorld([row("a", a), row("b", b)])
    world.apply_changes(5, [], [("b", DRAINING)])
    world.request_destinations(a)
    world.settle()
    world.request_destinations(b)
    (sent,) = world.tick()
    old = FullShard(shard_of(b, 4), (row("b", b),))
    world.client.on_response(world.now, sent[0], response_to(sent, (1, 4), [old]))
    world.apply()
    assert world.endpoint("b") is None and world.client.status(world.now).stale_refused == 2
    requests = world.tick()
    assert [name for name, _ in requests] == [SECOND]  # the next server gets a request at once
    world.serve(requests)
    assert world.endpoint("b").listing is Listing.DRAINING


def test_evicted_shard_sets_the_latest_version_of_an_empty_cache() -> None:
    """Guards against an evicted shard coming back older, from a server that ignores the version in the
    request. The evicted shard was as of a later version than all others.
    """
    world = ClientWorld([row("a", 1)], ONE_SHARD, idle_s=20.0)
    world.apply_changes(5, [], [("a", DRAINING)])
    world.request_destinations(1)
    world.settle(30.0)
    assert world.client.status(world.now).shards == 0
    world.request_destinations(1)
    (sent,) = world.tick()
    world.client.on_response(world.now, sent[0], response_to(sent, (1, 4), [FullShard(0, (row("a", 1),))]))
    world.apply()
    assert world.endpoint("a") is None


def test_new_shard_is_published_only_as_of_the_latest_version() -> None:
    """B is resident as of version 1 when A arrives as of version 2: a name that moved from B to A must not be
    published from B before B has caught up.
    """
    a, b, c = (in_shard(shard, 1)[0] for shard in (0, 1, 2))
    world = ClientWorld([row("x", b, mark=1.0), row("y", in_shard(1, 2)[1]), row("z", c)])
    world.request_destinations(in_shard(1, 2)[1])
    world.settle(1.0)
    world.apply_changes(2, [row("x", a, mark=2.0)])
    world.request_destinations(a)
    (sent,) = world.tick()
    full_shard = FullShard(shard_of(a, 4), (row("x", a, mark=2.0),))
    world.client.on_response(world.now, sent[0], response_to(sent, (1, 2), [full_shard], False, world.now))
    world.apply()
    assert world.endpoint("x").rate == 2.0
    world.client.touch(world.now, b)
    world.apply()
    assert world.endpoint("x").rate == 2.0 and not world.client.is_resident(b)
    world.settle(1.0)
    assert world.endpoint("x").rate == 2.0 and world.missing == [b]


def test_new_row_of_a_lagging_shard_waits_until_it_has_caught_up() -> None:
    a, b = in_shard(0, 1)[0], in_shard(1, 1)[0]
    world = ClientWorld([row("q", b)])
    world.request_destinations(b)
    world.settle(1.0)
    world.request_destinations(a)
    (sent,) = world.tick()
    parts = [FullShard(shard_of(a, 4), (row("p", a, mark=9.0),))]
    world.client.on_response(world.now, sent[0], response_to(sent, (1, 9), parts, False, world.now))
    world.now += 0.5
    (sent,) = world.tick()
    changes = [ShardChanges(shard_of(b, 4), (row("p", b, mark=8.0), row("q", b, DRAINING, mark=8.0)))]
    world.client.on_response(world.now, sent[0], response_to(sent, (1, 8), changes, False, world.now))
    world.apply()
    assert world.endpoint("p").rate == 9.0  # not from b, whose shard is as of version 8
    assert world.endpoint("q").listing is Listing.DRAINING  # but published names are updated


def test_moved_name_does_not_return_from_the_shard_that_it_left() -> None:
    """x moved from b to a destination that is not in use, in the shard of a; the shard of b first gets other
    changes.
    """
    (a, unused), b = in_shard(0, 2), in_shard(1, 1)[0]
    world = ClientWorld([row("x", b, mark=1.0), row("y", b)])
    world.request_destinations(b)
    world.settle(1.0)
    world.request_destinations(a)
    respond_in_part(world, (1, 9), FullShard(0, (row("x", unused, mark=9.0),)))
    assert world.endpoint("x") is None  # it has moved to the unused destination
    respond_in_part(world, (1, 8), ShardChanges(1, (row("y", b, DRAINING, mark=8.0),)))
    assert world.endpoint("y").rate == 8.0 and world.endpoint("x") is None


def test_moved_name_is_published_before_the_shard_that_it_left_is_updated() -> None:
    a, b = in_shard(0, 1)[0], in_shard(1, 1)[0]
    world = ClientWorld([row("x", b, mark=1.0)])
    world.request_destinations(b)
    world.settle(1.0)
    world.request_destinations(a)
    respond_in_part(world, (1, 9), FullShard(0, (row("x", a, mark=9.0),)))
    assert (world.endpoint("x").destination, world.endpoint("x").rate) == (a, 9.0)
    respond_in_part(world, (1, 8), ShardChanges(1, (row("x", b, GONE, mark=1.0),)))
    assert world.endpoint("x").destination == a


def test_shard_of_an_incomplete_response_sets_the_latest_version_for_others() -> None:
    a, b, c = (in_shard(shard, 1)[0] for shard in (0, 1, 2))
    world = ClientWorld([row("y", b)])
    world.request_destinations(b)
    world.settle(1.0)
    world.request_destinations(a)
    respond_in_part(world, (1, 9), FullShard(0, (row("x", a),)))
    world.request_destinations(c)
    respond_in_part(world, (1, 8), FullShard(2, (row("z", c),)))
    assert not world.client.is_resident(c) and world.endpoint("z") is None

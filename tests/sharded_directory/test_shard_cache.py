"""Which data stand at a client: versions, names that move between shards, eviction, unreadable rows."""

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

from .client_world import FIRST, ONE, SECOND, World, answer_to, in_shard, partly
from .common import asked, row


def test_an_older_part_after_a_newer_one_is_passed_over() -> None:
    world = World([row("a", 1)], ONE)
    world.want(1)
    (ask_first,) = world.turn()
    old = asked(world.keepers[SECOND], ask_first[1], world.now)
    world.changed(2, [row("a", 1, DRAINING)], [], FIRST)
    world.serve([ask_first])
    assert world.has("a").listing is Listing.DRAINING
    world.now += 7.0
    for name, told in world.turn():
        world.reader.on_response(world.now, name, msgspec.structs.replace(old, number=told.number))
        world.apply()
    assert world.has("a").listing is Listing.DRAINING and world.reader.status(world.now).stale_refused > 0


def test_after_a_shard_was_given_up_it_is_not_taken_older() -> None:
    world = World([row("a", 1)], ONE, idle_s=20.0)
    world.changed(2, [], [("a", DRAINING)], FIRST)
    world.want(1)
    world.settle()
    assert world.has("a").listing is Listing.DRAINING
    world.settle(30.0)
    assert world.has("a") is None and world.reader.status(world.now).shards == 0
    world.down = {FIRST}
    world.want(1)
    world.settle(3.0)
    assert world.has("a") is None and not world.reader.is_resident(1)
    world.changed(2, [], [("a", DRAINING)], SECOND)
    world.settle(6.0)
    assert world.has("a").listing is Listing.DRAINING


def test_a_name_that_moves_between_shards_stands_where_it_was_told_last() -> None:
    a, b = in_shard(0, 1)[0], in_shard(1, 1)[0]
    for first_here, then in ((a, b), (b, a)):
        world = World([row("x", a, mark=1.0)])
        world.want(first_here)
        world.settle()
        world.changed(2, [row("x", b, mark=2.0)])
        world.want(then)
        world.settle(4.0)
        world.want(b)  # who had asked for it before it came was told that there is none
        assert (world.has("x").destination, world.has("x").rate) == (b, 2.0)
        world.settle(4.0)
        assert world.has("x").destination == b and world.reader.contains(b) and not world.reader.contains(a)
        assert world.reader.status(world.now).endpoints == 1


def test_a_name_that_moved_is_not_told_at_its_old_place_by_a_shard_that_is_behind() -> None:
    """The shard that it went to is here as of a later version, then given up; the one that it left, older,
    says nothing for the first time until it has caught up."""
    a, b = in_shard(0, 1)[0], in_shard(1, 1)[0]
    other = in_shard(0, 2)[1]
    world = World([row("x", a, mark=1.0), row("y", other)])
    world.want(other)
    world.settle()
    world.changed(2, [row("x", b, mark=2.0)])
    world.want(b)
    (told,) = world.turn()
    answer = asked(world.keepers[told[0]], told[1], world.now)
    parts = tuple(part for part in answer.parts if part.shard == shard_of(b, 4))
    world.reader.on_response(
        world.now, told[0], msgspec.structs.replace(answer, parts=parts, is_complete=False)
    )
    world.apply()
    assert world.has("x").rate == 2.0
    world.want(a)
    assert not world.reader.is_resident(a) and world.has("x").rate == 2.0
    world.settle(1.0)
    assert world.absent == [a] and world.has("x").rate == 2.0


def test_idle_destinations_and_shards_are_given_up_and_used_ones_stay() -> None:
    a, b = in_shard(0, 2)
    c = in_shard(1, 1)[0]
    world = World([row("a", a), row("b", b), row("c", c)], idle_s=20.0)
    world.in_use = {c}
    world.want(a, b, c)
    world.settle()
    for _ in range(6):
        world.settle(5.0)
        world.reader.touch(world.now, a)
    assert set(world.directory.by_name) == {"a", "c"} and world.reader.status(world.now).shards == 2
    world.in_use.clear()
    world.settle(30.0)
    assert not world.directory.by_name and world.reader.status(world.now).shards == 0
    assert (
        world.reader.cache.rows_checksum,
        world.reader.cache.shard_set_checksum,
        world.reader.cache.resident_bits,
    ) == (0, 0, 0)
    world.want(a)
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
def test_an_entry_that_cannot_be_read_is_passed_over(wrong: dict[str, Any]) -> None:
    bad = msgspec.structs.replace(row("bad", 1), **wrong)
    world = World([row("a", 1), bad], ONE)
    world.want(1)
    world.settle(4.0)
    assert set(world.directory.by_name) == {"a"}
    assert world.reader.status(world.now).unreadable == 1
    assert world.reader.status(world.now).version == (1, 1)  # the sums are alike


@pytest.mark.parametrize(("listing", "stands"), [(0, Listing.READY), (1, Listing.DRAINING)])
def test_what_it_says_of_its_life_counts(listing: int, stands: Listing) -> None:
    world = World([row("a", 1, 1 - listing, port=8080)], ONE)
    world.want(1)
    world.settle(1.0)
    world.changed(2, [row("a", 1, listing, port=0)])
    world.settle(4.0)
    known = world.directory.by_name["a"]
    assert known.endpoint.listing is stands and known.address == ("host", 8080)
    world.changed(3, [], [("a", GONE)])
    world.settle(4.0)
    assert not world.directory.by_name


def test_rows_of_another_shard_and_shards_that_there_are_not() -> None:
    a, b = in_shard(0, 1)[0], in_shard(1, 1)[0]
    world = World([row("a", a)])
    world.want(a)
    (told,) = world.turn()
    answer = asked(world.keepers[told[0]], told[1], world.now)
    parts = (
        FullShard(0, (row("a", a), row("wrong", b))),
        FullShard(999, (row("y", 5),)),
        FullShard(-1, ()),
        ShardChanges(2, (row("z", 5),)),
    )
    world.reader.on_response(world.now, told[0], msgspec.structs.replace(answer, parts=parts))
    world.apply()
    assert set(world.directory.by_name) == {"a"} and world.reader.status(world.now).shards == 1


def test_a_shard_that_is_not_here_is_refused_below_the_latest_version() -> None:
    a, b = in_shard(0, 1)[0], in_shard(1, 1)[0]
    world = World([row("a", a), row("b", b)])
    world.changed(5, [], [("b", DRAINING)])
    world.want(a)
    world.settle()
    world.want(b)
    (told,) = world.turn()
    old = FullShard(shard_of(b, 4), (row("b", b),))
    world.reader.on_response(world.now, told[0], answer_to(told, (1, 4), [old]))
    world.apply()
    assert world.has("b") is None and world.reader.status(world.now).stale_refused == 2
    asks = world.turn()
    assert [name for name, _ in asks] == [SECOND]  # another is asked, at once
    world.serve(asks)
    assert world.has("b").listing is Listing.DRAINING


def test_what_was_given_up_sets_the_floor_also_when_nothing_else_is_here() -> None:
    """A shard that came in pieces, as of a later version than all else, is given up: it does not come back
    older, from a keeper that does not look at what it is asked."""
    world = World([row("a", 1)], ONE, idle_s=20.0)
    world.changed(5, [], [("a", DRAINING)])
    world.want(1)
    world.settle(30.0)
    assert world.reader.status(world.now).shards == 0
    world.want(1)
    (told,) = world.turn()
    world.reader.on_response(world.now, told[0], answer_to(told, (1, 4), [FullShard(0, (row("a", 1),))]))
    world.apply()
    assert world.has("a") is None


def test_a_shard_is_told_for_the_first_time_only_as_of_the_latest_version() -> None:
    """B was here as of version 1 when A came as of 2: a name that left A's neighbour meanwhile must not be
    told from B before B has caught up."""
    a, b, c = (in_shard(shard, 1)[0] for shard in (0, 1, 2))
    world = World([row("x", b, mark=1.0), row("y", in_shard(1, 2)[1]), row("z", c)])
    world.want(in_shard(1, 2)[1])
    world.settle(1.0)
    world.changed(2, [row("x", a, mark=2.0)])
    world.want(a)
    (told,) = world.turn()
    whole = FullShard(shard_of(a, 4), (row("x", a, mark=2.0),))
    world.reader.on_response(world.now, told[0], answer_to(told, (1, 2), [whole], False, world.now))
    world.apply()
    assert world.has("x").rate == 2.0
    world.reader.touch(world.now, b)
    world.apply()
    assert world.has("x").rate == 2.0 and not world.reader.is_resident(b)
    world.settle(1.0)
    assert world.has("x").rate == 2.0 and world.absent == [b]


def test_a_new_row_of_a_shard_that_lags_waits_until_it_has_caught_up() -> None:
    a, b = in_shard(0, 1)[0], in_shard(1, 1)[0]
    world = World([row("q", b)])
    world.want(b)
    world.settle(1.0)
    world.want(a)
    (told,) = world.turn()
    parts = [FullShard(shard_of(a, 4), (row("p", a, mark=9.0),))]
    world.reader.on_response(world.now, told[0], answer_to(told, (1, 9), parts, False, world.now))
    world.now += 0.5
    (told,) = world.turn()
    parts_ = [ShardChanges(shard_of(b, 4), (row("p", b, mark=8.0), row("q", b, DRAINING, mark=8.0)))]
    world.reader.on_response(world.now, told[0], answer_to(told, (1, 8), parts_, False, world.now))
    world.apply()
    assert world.has("p").rate == 9.0  # not from b, which is as of 8
    assert world.has("q").listing is Listing.DRAINING  # but what was told of it goes on


def test_a_name_that_was_taken_over_does_not_come_back_from_the_shard_that_it_left() -> None:
    """x went from b to a destination that is in no use, in the shard of a; b's shard hears of other things
    first."""
    (a, unused), b = in_shard(0, 2), in_shard(1, 1)[0]
    world = World([row("x", b, mark=1.0), row("y", b)])
    world.want(b)
    world.settle(1.0)
    world.want(a)
    partly(world, (1, 9), FullShard(0, (row("x", unused, mark=9.0),)))
    assert world.has("x") is None  # it is elsewhere by now
    partly(world, (1, 8), ShardChanges(1, (row("y", b, DRAINING, mark=8.0),)))
    assert world.has("y").rate == 8.0 and world.has("x") is None


def test_a_name_is_told_from_where_it_went_though_the_shard_that_it_left_has_not_heard() -> None:
    a, b = in_shard(0, 1)[0], in_shard(1, 1)[0]
    world = World([row("x", b, mark=1.0)])
    world.want(b)
    world.settle(1.0)
    world.want(a)
    partly(world, (1, 9), FullShard(0, (row("x", a, mark=9.0),)))
    assert (world.has("x").destination, world.has("x").rate) == (a, 9.0)
    partly(world, (1, 8), ShardChanges(1, (row("x", b, GONE, mark=1.0),)))
    assert world.has("x").destination == a


def test_a_shard_in_an_answer_that_comes_in_pieces_sets_the_floor_for_others() -> None:
    a, b, c = (in_shard(shard, 1)[0] for shard in (0, 1, 2))
    world = World([row("y", b)])
    world.want(b)
    world.settle(1.0)
    world.want(a)
    partly(world, (1, 9), FullShard(0, (row("x", a),)))
    world.want(c)
    partly(world, (1, 8), FullShard(2, (row("z", c),)))
    assert not world.reader.is_resident(c) and world.has("z") is None

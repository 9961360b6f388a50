"""What a shard client has resident, and whether a first byte may be sent by it."""

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

from .client_world import FIRST, ONE, SECOND, THIRD, World, answer_to, in_shard
from .common import asked, load, row


def test_a_wanted_shard_comes_and_only_the_destinations_in_use_are_told() -> None:
    a, b, c = in_shard(0, 3)
    world = World([row("a", a), row("b", b), row("a2", a)])
    assert not world.reader.is_resident(a)
    world.want(a, c)
    assert not world.reader.is_resident(a) and not world.reader.is_current(world.now, a)
    world.settle()
    # The second one is only told what is held, so that it tells digests as well.
    assert [(name, len(told.requested_shards)) for name, told in world.served] == [(FIRST, 1), (SECOND, 0)]
    assert set(world.directory.by_name) == {"a", "a2"} and world.absent == [c]
    assert world.reader.is_resident(a) and world.reader.contains(a) and world.reader.is_current(world.now, a)
    assert not world.reader.is_resident(b) and not world.reader.contains(b)
    world.want(b)  # its shard is here: at once
    assert set(world.directory.by_name) == {"a", "a2", "b"} and len(world.served) == 2
    assert world.reader.is_resident(b) and world.reader.status(world.now).endpoints == 3


def test_use_of_a_destination_whose_shard_is_here_tells_it() -> None:
    a, b = in_shard(0, 2)
    world = World([row("a", a), row("b", b)])
    world.want(a)
    world.settle()
    world.reader.touch(world.now, b)
    world.apply()
    assert set(world.directory.by_name) == {"a", "b"}


def test_a_change_comes_within_two_digests_and_costs_a_few_rows() -> None:
    world = World([row("a", 1), row("b", 2)])
    world.want(1)
    world.settle(5.0)
    world.served.clear()
    bytes_before = world.keepers[FIRST].sent_bytes + world.keepers[SECOND].sent_bytes
    world.changed(2, [row("a", 1, port=99)])
    world.settle(4.0)
    assert world.directory.by_name["a"].address == ("host", 99)
    assert world.reader.status(world.now).version == (1, 2)
    assert world.keepers[FIRST].sent_bytes + world.keepers[SECOND].sent_bytes - bytes_before < 300
    world.served.clear()
    world.changed(3, [row("x", in_shard((shard_of(1, 4) + 1) % 4, 1)[0])])  # in no shard that is here
    world.settle(4.0)
    assert world.reader.status(world.now).version == (1, 3) and not world.served


def test_an_older_answer_is_refused_and_another_keeper_asked() -> None:
    """A drained endpoint does not come back from a keeper that has not heard of it."""
    a, b = in_shard(0, 2)
    c = in_shard(1, 1)[0]
    world = World([row("a", a), row("c", c)])
    world.changed(2, [], [("c", DRAINING)], FIRST)
    world.want(a)
    world.settle()
    assert world.reader.status(world.now).version == (1, 2)
    world.down = {FIRST}
    world.want(c)
    world.settle(3.0)
    assert not world.reader.is_resident(c) and world.reader.status(world.now).stale_refused > 0
    assert {SECOND, THIRD} <= {name for name, _ in world.served}
    world.changed(2, [], [("c", DRAINING)], THIRD)
    world.settle(6.0)
    assert world.has("c").listing is Listing.DRAINING


def test_doubled_and_late_answers_change_nothing() -> None:
    world = World([row("a", 1)], ONE)
    world.want(1)
    (first,) = world.turn()
    answer = asked(world.keepers[first[0]], first[1], world.now)
    world.reader.on_request_failed(world.now, first[0])
    world.reader.on_response(world.now, first[0], answer)  # came too late
    assert not world.reader.is_resident(1) and world.reader.unsolicited == 1
    world.settle(1.0)
    before = world.reader.status(world.now)
    for _ in range(2):
        world.reader.on_response(world.now, first[0], answer)
        world.reader.on_response(world.now, "n55", answer)
    after = world.reader.status(world.now)
    assert after.unasked == 5 and after.version == before.version and not world.reader.updates


def test_a_frozen_reader_asks_before_its_next_first_byte() -> None:
    world = World([row("a", 1)], ONE)
    world.want(1)
    world.settle(4.0)
    assert world.reader.is_current(world.now, 1)
    old = []
    for step in range(40):  # what its socket holds meanwhile
        for keeper in world.keepers.values():
            keeper.confirm_source(world.now + step)
        old += [
            (name, digest)
            for name, keeper in world.keepers.items()
            for _, digest in keeper.due_digests(world.now + step)
        ]
    world.now += 40.0
    world.changed(2, [], [("a", DRAINING)])
    assert not world.reader.is_current(world.now, 1)
    early = [each for each in old if each[1].clock_ms < (world.now - 11.0) * 1e3]
    assert len(early) > 5
    for name, digest in early + early:  # dated by their keepers' clocks, when they came is nothing
        world.reader.on_digest(world.now, name, digest)
    assert not world.reader.is_current(world.now, 1)
    world.settle()
    assert world.reader.is_current(world.now, 1) and world.has("a").listing is Listing.DRAINING


def test_digests_alone_keep_it_current_and_three_may_be_lost() -> None:
    world = World([row("a", 1)], ONE)
    world.want(1)
    world.settle(0.5)
    world.served.clear()
    world.settle(25.0)
    assert world.reader.is_current(world.now, 1) and not world.served
    world.settle(25.0, digests=False)
    assert world.reader.is_current(world.now, 1) and 4 <= len(world.served) <= 10


def test_no_keeper_reachable_what_is_known_serves_once_all_were_tried() -> None:
    world = World([row("a", 1)], ONE)
    world.want(1)
    world.settle(1.0)
    world.down = set(world.keepers)
    for _ in range(60):
        world.settle(1.0)
        assert world.reader.is_current(world.now, 1)
    told = world.reader.status(world.now)
    assert told.age_s > 55.0 and told.shards == 1
    assert len(world.served) < 120
    world.now += 30.0  # frozen, and wakes
    assert not world.reader.is_current(world.now, 1)
    world.settle(0.1)
    tried = {name for name, _ in world.served[-3:]}
    assert tried == set(world.keepers) or not world.reader.is_current(world.now, 1)
    world.settle(6.0)
    assert world.reader.is_current(world.now, 1)
    world.down = {FIRST, SECOND}
    world.changed(2, [], [("a", DRAINING)])
    world.settle(9.0)
    assert world.has("a").listing is Listing.DRAINING


def test_a_keeper_that_is_behind_confirms_nothing_younger_than_its_source() -> None:
    world = World([row("a", 1)], ONE)
    world.want(1)
    world.settle(1.0)
    world.behind = {FIRST}
    cut_at = world.now
    world.changed(2, [], [("a", DRAINING)], SECOND, THIRD)
    while world.has("a").listing is Listing.READY:
        assert world.now - cut_at < 12.0 or not world.reader.is_current(world.now, 1)
        world.settle(0.5)
    assert world.now - cut_at < 12.0
    world.settle(5.0)
    assert world.reader.is_current(world.now, 1)


def test_a_keeper_whose_source_lags_without_knowing_is_found_out_by_the_other() -> None:
    """As with a file that is copied late: it says that it is up to date."""
    for late in (FIRST, SECOND):
        world = World([row("a", 1)], ONE)
        world.want(1)
        world.settle(1.0)
        changed_at = world.now
        world.changed(2, [], [("a", DRAINING)], *({FIRST, SECOND, THIRD} - {late}))
        world.settle(4.0)
        assert world.has("a").listing is Listing.DRAINING and world.now - changed_at < 12.0
        world.settle(20.0)
        assert world.has("a").listing is Listing.DRAINING and world.reader.is_current(world.now, 1)


def test_all_behind_serve_what_is_known_and_give_what_is_wanted() -> None:
    world = World([row("a", 1), row("b", 2)])
    world.want(1)
    world.settle(1.0)
    world.behind = set(world.keepers)
    world.settle(40.0)
    assert world.reader.is_current(world.now, 1) and world.reader.status(world.now).age_s > 30.0
    world.want(2)
    world.settle(5.0)
    assert world.reader.contains(2)


def test_another_layout_is_told_and_refused() -> None:
    world = World([row("a", 1)], ONE)
    world.want(1)
    (told,) = world.turn()
    world.reader.on_response(world.now, told[0], LayoutMismatch(told[1].number, Layout(2, (1,))))
    assert world.reader.status(world.now).other_layout == 1
    asks = world.turn()
    assert asks[0][0] == SECOND
    world.serve(asks)
    world.settle(3.0)
    digest = Digest(layout_checksum(Layout(2, (1,))), (9, 9), 0, 0, 0.0, 1, 1.0)
    world.reader.on_digest(world.now, FIRST, digest)
    assert world.reader.status(world.now).other_layout == 2
    assert world.reader.status(world.now).version == (1, 1)


def test_two_things_under_one_version_are_found_by_their_sums() -> None:
    world = World([row("a", 1), row("b", 2)], ONE)
    world.want(1, 2)
    world.settle(1.0)
    for keeper in world.keepers.values():
        assert load(keeper, [row("a", 1, DRAINING), row("b", 2)], 1)
    world.settle(5.0)
    assert world.has("a").listing is Listing.DRAINING


def test_keepers_that_start_anew_are_compared_with_by_sums() -> None:
    rows = [row(f"e{i}", i) for i in range(2_000)]
    layout = Layout(1024, (1, 2, 3))
    world = World(rows, layout)
    world.want(*range(2_000))
    world.settle(8.0)
    here = world.reader.status(world.now).shards
    world.updates.clear()
    changed = {i: row(f"e{i}", i, DRAINING) for i in range(0, 2_000, 500)}
    for name in world.keepers:
        world.keepers[name] = ShardServer(layout, 1, random.Random(name))
        assert load(world.keepers[name], [changed.get(i, each) for i, each in enumerate(rows)], 5, world.now)
    world.settle(15.0)
    assert world.reader.status(world.now).version == (1, 5) and world.reader.status(world.now).shards == here
    assert {each.name for update in world.updates for each in update.endpoints} == {f"e{i}" for i in changed}
    assert sum(keeper.sent_bytes for keeper in world.keepers.values()) < 40_000


def test_an_epoch_that_is_raised_takes_over() -> None:
    world = World([row("a", 1, mark=9.0)], ONE)
    world.changed(50, [row("b", 2)])
    world.want(1)
    world.settle(1.0)
    assert world.reader.status(world.now).version == (1, 50)
    for keeper in world.keepers.values():
        assert load(keeper, [row("a", 1, DRAINING)], 3, world.now, epoch=2)
    world.settle(5.0)
    assert world.reader.status(world.now).version == (2, 3) and world.has("a").listing is Listing.DRAINING


def test_bits_that_are_sent_are_those_that_are_held() -> None:
    world = World([row(f"e{i}", i) for i in range(20)])
    world.want(*in_shard(0, 1), *in_shard(2, 1))
    world.settle()
    world.now += 7.0
    (told,) = world.turn()
    assert unpack_shard_set(told[1].resident_shards, 4) == 0b101 and told[1].version == (1, 1)


def test_an_older_digest_confirms_nothing_and_asks_nothing() -> None:
    world = World([row("a", 1)], ONE)
    world.changed(5, [], [("a", DRAINING)])
    world.want(1)
    world.settle(1.0)
    keeper = world.keepers[FIRST]
    old = Digest(
        layout_checksum(ONE),
        (1, 4),
        world.reader.cache.shard_set_checksum,
        7,
        0.0,
        keeper.process_epoch,
        world.now * 1e3,
    )
    world.reader.on_digest(world.now, FIRST, old)
    assert world.reader.status(world.now).stale_refused == 1
    assert not world.turn() and not world.reader.scheduler.shards_to_compare


def test_what_a_keeper_is_known_to_have_newer_holds_calls_back_until_it_came_or_it_fails() -> None:
    """Its source is silent, and it has no time for us: but it can be reached, and has said what it has."""
    world = World([row("a", 1)], Layout(1, (1,)))
    world.want(1)
    world.settle(1.0)
    world.changed(2, [row("a", 1, DRAINING)])
    keeper, began = world.keepers["n1"], world.now
    while world.now < began + 20.0:
        for _, digest in keeper.due_digests(world.now):
            world.reader.on_digest(world.now, "n1", digest)
        for name, told in world.turn():
            world.reader.on_response(world.now, name, Overloaded(told.number, 500.0))
        world.now += 0.1
        assert world.reader.is_current(world.now, 1) == (world.now < began + 12.0) or world.now < began + 12.0
    world.down = {"n1"}
    world.settle(3.0)
    assert world.reader.is_current(world.now, 1)


def test_an_answer_that_lay_in_a_buffer_is_as_old_as_its_ask() -> None:
    world = World([row("a", 1)], Layout(1, (1,)))
    world.want(1)
    world.settle(1.0)
    world.now += 7.0
    (told,) = world.turn()
    answer = asked(world.keepers["n1"], told[1], world.now)
    world.now += 30.0  # frozen, with the answer in its socket's buffer
    world.changed(2, [row("a", 1, DRAINING)])
    world.reader.on_response(world.now, told[0], answer)
    assert world.reader.unsolicited == 0 and not world.reader.is_current(world.now, 1)
    world.settle()
    assert world.reader.is_current(world.now, 1) and world.has("a").listing is Listing.DRAINING


def test_an_answer_speaks_for_what_was_held_when_it_was_asked_and_not_for_what_came_since() -> None:
    a, b, c = (in_shard(shard, 1)[0] for shard in (0, 1, 2))
    world = World([row("x", a), row("y", b), row("z", c)])
    world.want(b)
    world.settle(1.0)
    world.want(a)
    (first,) = world.turn()
    world.want(c)
    (second,) = world.turn()
    assert {first[0], second[0]} == {FIRST, SECOND}
    world.serve([first])
    assert world.reader.is_resident(a)
    world.changed(9, [row("x", a, DRAINING, mark=9.0)])
    parts = [FullShard(2, (row("z", c),))]
    world.reader.on_response(world.now, second[0], answer_to(second, (1, 9), parts, True, world.now))
    world.apply()
    assert world.reader.status(world.now).version == (1, 1)  # a is as of that still
    world.settle(4.0)
    assert world.has("x").listing is Listing.DRAINING and world.reader.status(world.now).version == (1, 9)

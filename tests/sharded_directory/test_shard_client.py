"""A reader: what it asks, what it believes, and by what a first byte may go. And whatever comes in whatever
order, what the real directory has is never older than what it had."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from message_relay.core.directory import EndpointDirectory
from message_relay.core.ports import EndpointUpdate
from message_relay.decisions.model import Listing
from message_relay.sharded_directory import request_scheduler
from message_relay.sharded_directory.rendezvous_hash import MAX_SERVERS, rank_servers, shard_of
from message_relay.sharded_directory.shard_client import ShardClient
from message_relay.sharded_directory.shard_server import ShardServer
from message_relay.sharded_directory.wire import (
    DRAINING,
    GONE,
    Digest,
    FullShard,
    Layout,
    LayoutMismatch,
    Overloaded,
    Row,
    ShardChanges,
    ShardRequest,
    ShardResponse,
    decode_message,
    encode_message,
    layout_checksum,
    unpack_shard_set,
)

from ..conftest import make_settings
from .common import asked, by_shard, filled, load, row

LAYOUT = Layout(4, (1, 2, 3))
ONE = Layout(1, (1, 2, 3))
FIRST, SECOND, THIRD = rank_servers("n100", ("n1", "n2", "n3"))


class World:
    """A reader, keepers, and the directory; every ask is answered at once unless a test says otherwise."""

    def __init__(self, rows: list[Row], layout: Layout = LAYOUT, now: float = 100.0, **more: Any) -> None:
        self.layout, self.now = layout, now
        self.keepers = {f"n{number}": filled(layout, rows, now=now, seed=number) for number in layout.servers}
        self.reader = ShardClient("n100", layout, random.Random(1), **more)
        self.directory = EndpointDirectory(make_settings(), ("z",))
        self.updates: list[EndpointUpdate] = []
        self.absent: list[int] = []
        self.in_use: set[int] = set()
        self.down: set[str] = set()
        self.served: list[tuple[str, ShardRequest]] = []
        self.behind: set[str] = set()  # whose source is silent

    def changed(
        self, generation: int, rows: list[Row], lives: list[tuple[str, int]] | None = None, *names: str
    ) -> None:
        for name in names or self.keepers:
            assert self.keepers[name].apply_changes(self.now, generation, rows, lives or [])

    def apply(self) -> None:
        self.updates += self.reader.updates
        for update in self.reader.updates:
            self.directory.apply(update)
        self.reader.updates.clear()
        self.absent += self.reader.missing_destinations
        self.reader.missing_destinations.clear()

    def turn(self) -> list[tuple[str, ShardRequest]]:
        """A tick; its asks are left to the caller."""
        self.reader.tick(self.now, self.in_use.__contains__)
        self.apply()
        asks: list[tuple[str, ShardRequest]] = list(self.reader.outgoing)
        self.reader.outgoing.clear()
        return asks

    def serve(self, asks: list[tuple[str, ShardRequest]]) -> None:
        for name, told in asks:
            self.served.append((name, told))
            if name in self.down:
                self.reader.on_request_failed(self.now, name)
            else:
                sent = decode_message(encode_message(told))
                assert isinstance(sent, ShardRequest)
                word = decode_message(
                    encode_message(self.keepers[name].handle_request(self.now, "n100", sent))
                )
                assert isinstance(word, ShardResponse | Overloaded | LayoutMismatch)
                self.reader.on_response(self.now, name, word)
            self.apply()

    def settle(self, seconds: float = 0.0, step: float = 0.1, digests: bool = True) -> None:
        end = self.now + seconds
        while True:
            for _ in range(20):
                asks = self.turn()
                if not asks:
                    break
                self.serve(asks)
            if self.now >= end:
                return
            self.now = min(end, self.now + step)
            for name, keeper in self.keepers.items():
                if name not in self.behind:
                    keeper.confirm_source(self.now)
                if name not in self.down and digests:
                    for _, digest in keeper.due_digests(self.now):
                        self.reader.on_digest(self.now, name, digest)
                        self.apply()

    def want(self, *destinations: int, due: float = 10.0) -> None:
        for destination in destinations:
            self.reader.request(self.now, destination, self.now + due)
        self.apply()

    def has(self, name: str) -> Any:
        known = self.directory.by_name.get(name)
        return None if known is None else known.endpoint


def in_shard(shard: int, count: int, shards: int = 4) -> list[int]:
    return [each for each in range(1_000) if shard_of(each, shards) == shard][:count]


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


# -- older never replaces newer ------------------------------------------------------------------------------


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


# -- the bound -----------------------------------------------------------------------------------------------


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


# -- giving up -----------------------------------------------------------------------------------------------


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


# -- what can't be believed ----------------------------------------------------------------------------------


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


def test_bits_that_are_sent_are_those_that_are_held() -> None:
    world = World([row(f"e{i}", i) for i in range(20)])
    world.want(*in_shard(0, 1), *in_shard(2, 1))
    world.settle()
    world.now += 7.0
    (told,) = world.turn()
    assert unpack_shard_set(told[1].resident_shards, 4) == 0b101 and told[1].version == (1, 1)


# -- whatever comes ------------------------------------------------------------------------------------------

NAMES = [f"e{i}" for i in range(4)]
OPS = st.lists(st.tuples(st.sampled_from("ccckkkaaatttdddDDDwwgfi"), st.integers(0, 11)), max_size=60)


class Drawn:
    """Keepers that hear of changes at their own time; asks, answers and digests that wait to be delivered, in
    any order, more than once or never."""

    def __init__(self) -> None:
        self.layout = Layout(2, (1, 2))
        self.now = 100.0
        self.rng = random.Random(7)
        self.log: list[Row] = []  # generation g is self.log[g - 2]
        self.rows: list[dict[str, Row]] = [{}, {name: row(name, i, mark=1.0) for i, name in enumerate(NAMES)}]
        first = list(self.rows[1].values())
        self.keepers = {f"n{i}": filled(self.layout, first, now=self.now, seed=i) for i in (1, 2)}
        self.reader = ShardClient("n100", self.layout, random.Random(3), idle_s=10.0)
        self.directory = EndpointDirectory(make_settings(), ("z",))
        self.asks: list[tuple[str, ShardRequest]] = []
        self.answers: list[tuple[str, Any]] = []
        self.digests: list[tuple[str, Digest]] = []
        self.marks: dict[str, int] = {}
        self.evidence = 0

    def change(self, pick: int) -> None:
        generation = len(self.rows)
        name = NAMES[pick % 4]
        known = self.rows[-1].get(name)
        listing = (0, DRAINING, GONE)[pick // 4] if known else 0
        place = known.destination if known and listing else pick % 5
        new = row(name, place, listing, mark=float(generation))
        after = {each: kept for each, kept in self.rows[-1].items() if each != name}
        if listing != GONE:
            after[name] = new
        self.rows.append(after)
        self.log.append(new)

    def learn(self, name: str) -> None:
        keeper = self.keepers[name]
        generation = keeper.version[1] + 1
        if generation < len(self.rows):
            assert keeper.apply_changes(self.now, generation, [self.log[generation - 2]])
        else:
            keeper.confirm_source(self.now)

    def after(self) -> None:
        self.reader.tick(self.now, lambda destination: False)
        self.asks += self.reader.outgoing
        self.reader.outgoing.clear()
        self.reader.missing_destinations.clear()
        for update in self.reader.updates:
            evidence = self.evidence
            for member in update.endpoints:
                mark = int(member.rate)
                assert mark >= self.marks.get(member.name, 0), "older than it was"
                if member.name not in self.directory.by_name:
                    replaced = [
                        g for g in range(mark + 1, len(self.rows)) if self.log[g - 2].name == member.name
                    ]
                    assert not replaced or replaced[0] > evidence, "came back"
                self.marks[member.name] = mark
                self.evidence = max(self.evidence, mark)
            self.directory.apply(update)
        self.reader.updates.clear()

    def do(self, op: str, pick: int) -> None:
        name = f"n{1 + pick % 2}"
        self.now += 0.05
        if op == "c":
            self.change(pick)
        elif op == "k":
            self.learn(name)
        elif op == "a" and self.asks:
            keeper, told = self.asks[pick % len(self.asks)]
            self.answers.append((keeper, self.keepers[keeper].handle_request(self.now, "n100", told)))
        elif op == "t" and self.answers:
            keeper, word = self.answers[-1 - pick % len(self.answers)]
            self.reader.on_response(self.now, keeper, word)
        elif op == "d":
            for _, digest in self.keepers[name].due_digests(self.now):
                self.digests.append((name, digest))
            self.now += 0.5
        elif op == "D" and self.digests:
            keeper, digest = self.digests[-1 - pick % len(self.digests)]
            self.reader.on_digest(self.now, keeper, digest)
        elif op == "w":
            self.reader.request(self.now, pick % 5, self.now + 5.0)
        elif op == "g":
            self.reader.touch(self.now, pick % 5)
        elif op == "f":
            self.reader.on_request_failed(self.now, name)
        elif op == "i":
            self.now += 4.0
        self.after()

    def quiet(self) -> None:
        """All is delivered from now on: it comes to what there is."""
        for _ in range(400):
            self.now += 0.1
            for name in self.keepers:
                self.learn(name)
                for _, digest in self.keepers[name].due_digests(self.now):
                    self.reader.on_digest(self.now, name, digest)
                if (
                    self.reader.scheduler.servers[name].outstanding is not None
                    and self.asks
                    and self.asks[-1][0] != name
                ):
                    self.reader.on_request_failed(self.now, name)
            for destination in range(5):
                self.reader.touch(self.now, destination)
                if not self.reader.is_resident(destination):
                    self.reader.request(self.now, destination, self.now + 5.0)
            self.after()
            while self.asks:
                keeper, told = self.asks.pop()
                self.reader.on_response(
                    self.now, keeper, self.keepers[keeper].handle_request(self.now, "n100", told)
                )
                self.after()


@given(ops=OPS)
@settings(max_examples=250, deadline=None)
def test_whatever_comes_in_whatever_order_nothing_gets_older(ops: list[tuple[str, int]]) -> None:
    drawn = Drawn()
    for op, pick in [("w", 0), ("w", 1), *ops]:
        drawn.do(op, pick)
    drawn.quiet()
    has = {
        name: (known.endpoint.destination, known.endpoint.rate, known.endpoint.listing)
        for name, known in drawn.directory.by_name.items()
    }
    is_ = {
        name: (each.destination, each.rate, (Listing.READY, Listing.DRAINING)[each.listing])
        for name, each in drawn.rows[-1].items()
    }
    assert has == is_
    shards = by_shard(drawn.rows[-1], 2)
    for shard, held in drawn.reader.cache.resident.items():
        assert len(drawn.reader.cache._decode_rows(held)) == len(shards[shard])
    assert drawn.reader.status(drawn.now).endpoints == len(has)


# -- what a keeper that errs may say -------------------------------------------------------------------------


def answer_to(
    told: tuple[str, ShardRequest],
    version: tuple[int, int],
    parts: Any = (),
    complete: bool = True,
    now: float = 0.0,
) -> ShardResponse:
    """Of a keeper that does not look at what it is asked."""
    return ShardResponse(told[1].number, version, tuple(parts), complete, (1, 0), 0.0, 1, now * 1e3)


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


def partly(world: World, version: tuple[int, int], *parts: Any) -> None:
    """The next ask is answered by this much, and more is to come."""
    told = world.turn()[0]
    world.reader.on_response(world.now, told[0], answer_to(told, version, parts, False, world.now))
    world.apply()
    world.now += 0.6


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

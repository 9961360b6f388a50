"""A keeper against the plainest one: a dict of all rows, copied at every version."""

from __future__ import annotations

import itertools
import random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from message_relay.sharded_directory import (
    bulk_load,
    response_builder,
    shard_server,
    shard_table,
    subscribers,
)
from message_relay.sharded_directory.errors import UnreadableFrameError
from message_relay.sharded_directory.rendezvous_hash import rank_servers, shard_of
from message_relay.sharded_directory.shard_server import ShardServer
from message_relay.sharded_directory.wire import (
    CHECKSUM_MASK,
    GONE,
    NO_VERSION,
    FullShard,
    Layout,
    LayoutMismatch,
    Overloaded,
    Row,
    ShardChanges,
    ShardRequest,
    UnchangedShard,
    decode_message,
    encode_message,
    pack_shard_set,
    shard_number_hash,
)

from .common import ask, asked, by_shard, filled, followed, load, row, sum_of

LAYOUT = Layout(4, (1, 2))
NAMES = [f"e{i}" for i in range(7)]

ROWS = st.builds(
    row, st.sampled_from(NAMES), st.integers(0, 9), st.integers(0, 2), st.sampled_from((0.0, 1.0))
)
LIVES = st.tuples(st.sampled_from(NAMES), st.integers(0, 2))
STEP: st.SearchStrategy[Any] = st.one_of(
    st.tuples(st.just("load"), st.lists(ROWS, max_size=12), st.just([])),
    st.tuples(st.just("change"), st.lists(ROWS, max_size=4), st.lists(LIVES, max_size=3)),
    st.tuples(st.just("change"), st.lists(ROWS, max_size=4), st.lists(LIVES, max_size=3)),
)


class Oracle:
    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.versions: dict[int, list[dict[str, Row]]] = {}

    def take(self, what: str, rows: list[Row], lives: list[tuple[str, int]], generation: int) -> None:
        if what == "load":
            self.rows = {}
        for each in rows:
            self.rows.pop(each.name, None)
            if each.listing != GONE:
                self.rows[each.name] = each
        for name, life in lives:
            if name in self.rows:
                known = self.rows.pop(name)
                if life != GONE:
                    self.rows[name] = msgspec.structs.replace(known, listing=life)
        self.versions[generation] = by_shard(self.rows, LAYOUT.shard_count)


@pytest.mark.parametrize(("log_shard", "log_rows", "step_rows"), [(64, 50_000, 2_000), (3, 7, 1)])
@given(steps=st.lists(STEP, max_size=10), data=st.data())
@settings(max_examples=80, deadline=None)
def test_whatever_the_source_tells_the_answers_make_the_same(
    log_shard: int, log_rows: int, step_rows: int, steps: list[Any], data: st.DataObject
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(shard_table, "MAX_LOG_ROWS_PER_SHARD", log_shard)
        patch.setattr(shard_table, "MAX_LOG_ROWS", log_rows)
        patch.setattr(bulk_load, "STEP_ROWS", step_rows)
        oracle, keeper = Oracle(), ShardServer(LAYOUT, 1, random.Random(1))
        oracle.take("load", [], [], 0)
        assert load(keeper, [], 0)
        for generation, (what, rows, lives) in enumerate(steps, 1):
            holds = data.draw(st.sets(st.integers(0, 3)))
            keeper.handle_request(float(generation), "n200", ask(LAYOUT, keeper.version, holds))
            oracle.take(what, rows, lives, generation)
            if what == "load":
                assert load(keeper, rows, generation)
            else:
                assert keeper.apply_changes(0.0, generation, rows, lives)
            check_table(keeper, oracle.versions[generation])
            check_since(keeper, oracle, data.draw(st.sets(st.integers(0, 3))))
            check_digest(keeper, oracle.versions[generation], holds, float(generation))
        assert (
            keeper.table.log_row_count
            == sum(len(log.rows) for log in keeper.table.change_logs.values())
            <= log_rows
        )
        assert all(len(log.rows) <= log_shard for log in keeper.table.change_logs.values())


def check_table(keeper: ShardServer, now: list[dict[str, Row]]) -> None:
    for shard, rows in enumerate(now):
        assert {each.name: each for each in keeper.table.decode_rows(shard)} == rows
        assert keeper.table.checksums[shard] == sum_of(rows.values())
        assert keeper.table.row_counts[shard] == len(rows)
        assert keeper.table.destination_counts[shard] == len({each.destination for each in rows.values()})
    there = {shard_table.name_hash(name): shard for shard, rows in enumerate(now) for name in rows}
    assert keeper.table.shard_by_name_hash == there


def check_since(keeper: ShardServer, oracle: Oracle, holds: set[int]) -> None:
    for generation, before in oracle.versions.items():
        has = {shard: dict(before[shard]) for shard in holds}
        answer = asked(keeper, ask(LAYOUT, (1, generation), holds))
        assert answer.is_complete and answer.version == keeper.version
        followed(has, answer)
        current = oracle.versions[keeper.version[1]]
        assert has == {shard: current[shard] for shard in holds}
        # What has not changed since is not told.
        for part in answer.parts:
            assert keeper.table.changed_at[part.shard] > generation


def check_digest(keeper: ShardServer, now: list[dict[str, Row]], holds: set[int], at: float) -> None:
    told = [
        digest for name, digest in keeper.due_digests(at + subscribers.DIGEST_INTERVAL_S) if name == "n200"
    ]
    for digest in told:
        assert digest.rows_checksum == sum(sum_of(now[shard].values()) for shard in holds) & CHECKSUM_MASK
        assert digest.shard_set_checksum == sum(map(shard_number_hash, holds)) & CHECKSUM_MASK
        assert digest.version == keeper.version
        assert len(encode_message(digest)) < 200


def test_a_change_is_told_by_its_rows_and_many_by_the_whole() -> None:
    layout = Layout(1, (1,))
    keeper = filled(layout, [row(f"e{i}", i) for i in range(200)])
    keeper.apply_changes(0.0, 2, [row("e1", 1, 1)], [("e2", GONE)])
    (part,) = asked(keeper, ask(layout, (1, 1), [0])).parts
    assert isinstance(part, ShardChanges)
    assert {(each.name, each.listing) for each in part.rows} == {("e1", 1), ("e2", GONE)}
    many = [row(f"e{i}", i, 1) for i in range(100, 100 + shard_table.MAX_LOG_ROWS_PER_SHARD)]
    keeper.apply_changes(0.0, 3, [row("e1", 1, 0), *many])
    (part,) = asked(keeper, ask(layout, (1, 1), [0])).parts
    assert isinstance(part, FullShard) and len(part.rows) == 199  # the log does not reach back
    keeper.apply_changes(0.0, 4, [row("e1", 1, 1)])
    (part,) = asked(keeper, ask(layout, (1, 3), [0])).parts
    assert isinstance(part, ShardChanges) and len(part.rows) == 1


def test_what_changed_before_its_start_is_compared_by_sums() -> None:
    keeper = filled(LAYOUT, [row(f"e{i}", i) for i in range(40)], generation=9)
    sums = [(shard, keeper.table.checksums[shard]) for shard in range(4)]
    sums[2] = (2, 1)
    answer = asked(keeper, ask(LAYOUT, (1, 5), range(4)))
    assert (answer.is_complete, answer.parts, answer.history_start) == (False, (), (1, 9))
    answer = asked(keeper, ask(LAYOUT, (1, 5), range(4), sums=sums[:3]))
    assert [(type(part), part.shard) for part in answer.parts] == [
        (UnchangedShard, 0),
        (UnchangedShard, 1),
        (FullShard, 2),
    ]
    assert not answer.is_complete
    assert asked(keeper, ask(LAYOUT, (1, 5), range(4), sums=sums)).is_complete


def test_a_list_that_comes_to_the_same_changes_no_version() -> None:
    rows = [row(f"e{i}", i) for i in range(40)]
    keeper = filled(LAYOUT, rows, generation=3)
    changed = dict(keeper.table.changed_at)
    assert load(keeper, reversed(rows), 3)
    assert (
        keeper.version == (1, 3) and keeper.table.changed_at == changed and keeper.same_version_rewrites == 0
    )
    assert load(keeper, rows, 4)
    assert keeper.version == (1, 4) and keeper.table.changed_at == changed
    assert asked(keeper, ask(LAYOUT, (1, 3), range(4))).parts == ()


def test_a_generation_that_goes_back_is_refused_and_confirms_nothing() -> None:
    keeper = filled(LAYOUT, [row("e1", 1, mark=1.0)], generation=5, now=10.0)
    assert not load(keeper, [row("e1", 1)], 4, now=20.0)
    assert not keeper.apply_changes(20.0, 3, [row("e1", 1)])
    assert keeper.rejected_updates == 2
    keeper.confirm_source(20.0)
    assert keeper.status(21.0).source_age_s == 11.0
    assert [each.rate for each in keeper.table.decode_rows(shard_of(1, 4))] == [1.0]
    assert load(keeper, [row("e1", 1)], 1, epoch=2, now=30.0)  # unless the operator says that it counts anew
    keeper.confirm_source(31.0)
    assert keeper.version == (2, 1) and keeper.status(31.0).source_age_s == 0.0
    assert asked(keeper, ask(LAYOUT, (1, 5), range(4))).history_start == (2, 1)


def test_another_list_under_the_same_generation_is_noted() -> None:
    keeper = filled(LAYOUT, [row("e1", 1)], generation=5)
    assert load(keeper, [row("e1", 1, 1)], 5)
    assert keeper.same_version_rewrites == 1 and keeper.table.checksums[shard_of(1, 4)] == sum_of(
        [row("e1", 1, 1)]
    )


def test_until_a_list_is_done_the_old_one_answers_and_one_given_up_changes_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(bulk_load, "STEP_ROWS", 3)
    rows = [row(f"e{i}", i) for i in range(40)]
    keeper = filled(LAYOUT, rows)
    before = list(keeper.table.encoded_rows), dict(keeper.table.shard_by_name_hash), keeper.version
    begun = keeper.start_list(1.0, (1, 2))
    begun.add([row(f"e{i}", i + 1, 1) for i in range(30)])
    assert begun.seal(2.0)
    steps = 1
    while not begun.step():
        steps += 1
        assert (list(keeper.table.encoded_rows), keeper.table.shard_by_name_hash, keeper.version) == before
    assert steps > 3 and begun.is_committed and keeper.version == (1, 2)
    assert keeper.status(2.0).source_age_s == 1.0  # it is as the source had it when it was asked for
    assert keeper.status(2.0).endpoints == 30
    keeper.start_list(3.0, (1, 3)).add([row("e1", 1)])
    assert keeper.version == (1, 2) and keeper.status(2.0).endpoints == 30


def test_a_change_beside_a_list_that_is_being_read() -> None:
    """The list is older than the change: it is refused at its end, and nothing goes back."""
    keeper = filled(LAYOUT, [row("e1", 1)])
    begun = keeper.start_list(1.0, (1, 2))
    begun.add([row("e1", 1)])
    assert begun.seal(1.0)
    assert keeper.apply_changes(1.0, 3, [row("e1", 1, 1)])
    while not begun.step():
        pass
    assert not begun.is_committed and keeper.version == (1, 3)
    later = keeper.start_list(1.0, (1, 9))
    later.add([row("e1", 1), row("e2", 2)])
    assert later.seal(1.0)
    assert keeper.apply_changes(1.0, 4, [row("e3", 3)])  # compared with what is there at the end
    while not later.step():
        pass
    assert later.is_committed
    assert {each.name for shard in range(4) for each in keeper.table.decode_rows(shard)} == {"e1", "e2"}


def test_another_layout_and_a_keeper_without_a_list() -> None:
    keeper = ShardServer(LAYOUT, 1, random.Random(1))
    told = keeper.handle_request(1.0, "n100", ask(LAYOUT))
    assert isinstance(told, LayoutMismatch) and told.is_loading
    load(keeper, [], 1)
    for other in (Layout(8, (1, 2)), Layout(4, (1, 3))):
        told = keeper.handle_request(1.0, "n100", ask(other))
        assert told == LayoutMismatch(1, LAYOUT) and decode_message(encode_message(told)) == told


@pytest.mark.parametrize(
    "wrong",
    [
        ShardRequest(1, LAYOUT, NO_VERSION, b"no zlib"),
        ShardRequest(1, LAYOUT, NO_VERSION, pack_shard_set(0, 1 << 20)),
        ask(LAYOUT, wants=[4]),
        ask(LAYOUT, wants=[-1]),
        ask(LAYOUT, sums=[(9, 0)]),
    ],
)
def test_an_ask_that_cannot_be_read_changes_nothing(wrong: ShardRequest) -> None:
    keeper = filled(LAYOUT, [])
    with pytest.raises(UnreadableFrameError):
        keeper.handle_request(1.0, "n100", wrong)
    assert not keeper.subscribers.by_name and keeper.responses == 0


def test_answers_are_bounded_and_the_most_needed_comes_first() -> None:
    layout = Layout(64, (1,))
    keeper = filled(layout, [row(f"a-name-of-usual-length-{i}", i) for i in range(64 * 44)])
    told = ask(layout, wants=range(64))
    told = msgspec.structs.replace(
        told,
        requested_shards=tuple(
            msgspec.structs.replace(want, time_left_ms=1e4 - 100.0 * want.shard)
            for want in told.requested_shards
        ),
    )
    answer = asked(keeper, told)
    assert len(encode_message(answer)) <= response_builder.MAX_RESPONSE_BYTES + 4_000
    assert [part.shard for part in answer.parts] == list(range(63, 63 - len(answer.parts), -1))
    assert len(answer.parts) > 8
    # Changes are told beside shards that are wanted; and in pieces, if they are many.
    keeper.apply_changes(2.0, 2, [row(f"a-name-of-usual-length-{i}", i, 1) for i in range(64 * 44)])
    has: set[int] = set()
    for _ in range(20):
        bits = pack_shard_set(sum(1 << shard for shard in has), 64)
        more = msgspec.structs.replace(
            ask(layout, (1, 1), range(64)), ahead_version=(1, 2), ahead_shards=bits
        )
        answer = asked(keeper, more)
        assert len(encode_message(answer)) <= response_builder.MAX_RESPONSE_BYTES + 4_000
        assert not has & {part.shard for part in answer.parts}
        has |= {part.shard for part in answer.parts}
        if answer.is_complete:
            break
    assert has == set(range(64))


def test_a_shard_that_is_larger_than_an_answer_comes_alone() -> None:
    layout = Layout(2, (1,))
    keeper = filled(layout, [row(f"e{i}", i) for i in range(4_000)])
    answer = asked(keeper, ask(layout, wants=[0, 1]))
    assert len(answer.parts) == 1


def test_too_many_asks_are_told_when_to_come_and_urgent_ones_get_through() -> None:
    keeper = filled(LAYOUT, [row(f"e{i}", i) for i in range(40)])
    now, answers, after = 50.0, 0, []
    for number in range(2_000):
        told = keeper.handle_request(now, f"n{number}", ask(LAYOUT, holds=[0], wants=[1], due_ms=30_000.0))
        if isinstance(told, Overloaded):
            after.append(told.retry_after_ms)
        else:
            answers += 1
    assert answers <= shard_server.RESPONSES_PER_S * shard_server.BURST_S
    assert answers == shard_server.RESPONSES_PER_S * (1 - shard_server.RESERVED_SHARE)
    assert min(after) >= 50.0 and max(after) <= 1.3 * shard_server.MAX_RETRY_AFTER_S * 1e3
    assert max(after) > 10 * min(after) and len(set(after)) > 1_000  # spread: who comes later waits longer
    urgent = [keeper.handle_request(now, f"n{i}", ask(LAYOUT, wants=[1], due_ms=500.0)) for i in range(200)]
    assert sum(not isinstance(told, Overloaded) for told in urgent) == 100
    told = keeper.handle_request(now + 1.0, "n1", ask(LAYOUT, holds=[0], wants=[1]))
    assert not isinstance(told, Overloaded)


def test_bytes_a_second_are_bounded() -> None:
    layout = Layout(64, (1,))
    keeper = filled(layout, [row(f"a-name-of-usual-length-{i}", i) for i in range(64 * 44)])
    for step in range(3_000):
        keeper.handle_request(step / 300.0, f"n{step % 10}", ask(layout, wants=range(64), due_ms=100.0))
    assert keeper.overloaded > 0
    assert (
        keeper.sent_bytes
        <= shard_server.BYTES_S * (10.0 + shard_server.BURST_S) + response_builder.MAX_RESPONSE_BYTES
    )


def test_digests_go_to_those_that_asked_of_late_spread_and_bounded() -> None:
    keeper = filled(LAYOUT, [row(f"e{i}", i) for i in range(40)])
    for number in range(300):
        keeper.handle_request(0.0, f"n{number}", ask(LAYOUT, holds=[0]))
    times: dict[str, list[float]] = {}
    now = 0.0
    while now < 30.0:
        found = keeper.due_digests(now)
        assert len(found) <= subscribers.MAX_DIGESTS_PER_CALL
        for name, _ in found:
            times.setdefault(name, []).append(now)
        now = max(now + 0.01, min(keeper.next_digest_at(), now + 1.0))
    assert len(times) == 300
    first = sorted(told[0] for told in times.values())
    assert first[75] > 0.4 and first[225] < 2.6  # those that came at once are not told at once
    for told in times.values():
        gaps = [b - a for a, b in itertools.pairwise(told)]
        assert all(2.6 <= gap <= 3.4 for gap in gaps) and len(gaps) >= 6
    now = 10.0 + subscribers.SUBSCRIPTION_S
    for _ in range(20):
        keeper.due_digests(now)
    assert not keeper.subscribers.by_name and not any(keeper.subscribers.slots_by_shard)


def test_more_readers_than_are_remembered_still_get_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(subscribers, "MAX_SUBSCRIBERS", 3)
    keeper = filled(LAYOUT, [row(f"e{i}", i) for i in range(40)])
    for number in range(5):
        assert asked(keeper, ask(LAYOUT, wants=[1]), reader=f"n{number}").parts
    assert len(keeper.subscribers.by_name) == 3


def test_many_shards_at_once_and_the_digest_is_still_right(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(subscribers, "MAX_TRACKED_SHARDS", 2)
    keeper = filled(LAYOUT, [row(f"e{i}", i) for i in range(40)])
    keeper.handle_request(0.0, "n1", ask(LAYOUT, holds=[0, 1, 2]))
    keeper.apply_changes(1.0, 2, [row(f"e{i}", i, 1) for i in range(40)])
    keeper.apply_changes(1.0, 3, [row("e0", 0, 0)])
    ((_, digest),) = keeper.due_digests(5.0)
    assert digest.rows_checksum == sum(keeper.table.checksums[:3]) & CHECKSUM_MASK


def test_shards_and_ranks_are_the_same_in_every_process() -> None:
    assert [shard_of(each, 8192) for each in (0, 1, 2, 360_000)] == SHARDS
    assert rank_servers("n7", [f"n{i}" for i in range(1, 9)]) == RANKED
    # Where one keeper goes, only its own readers move.
    names = [f"n{i}" for i in range(1, 9)]
    moved = 0
    for number in range(1_000):
        full = rank_servers(f"n{number}", names)
        less = rank_servers(f"n{number}", names[1:])
        assert [name for name in full if name != "n1"] == less
        moved += full[0] != less[0]
    assert 80 < moved < 170


SHARDS = [3289, 6446, 579, 2309]
RANKED = ["n3", "n1", "n7", "n2", "n6", "n4", "n5", "n8"]


@pytest.mark.parametrize("whole", [True, False])
def test_what_was_made_ready_is_compared_anew_if_something_else_was_taken_meanwhile(
    whole: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(bulk_load, "STEP_ROWS", 1)
    monkeypatch.setattr(bulk_load, "STEP_SHARDS", 1)
    before = [row(f"e{i}", i) for i in range(40)]
    after = [row(f"e{i}", i, 1) for i in range(40)]
    keeper = filled(LAYOUT, before)
    staged = keeper.start_list(1.0, (1, 9)) if whole else keeper.start_changes(1.0, 9)
    staged.add(after)
    assert staged.seal(1.0)
    for _ in range(3):  # most shards have been compared
        assert not staged.step()
    assert keeper.apply_changes(1.0, 4, [row(f"e{i}", i + 1, mark=4.0) for i in range(40)], [("e3", GONE)])
    while not staged.step():
        pass
    assert staged.is_committed and keeper.version == (1, 9)
    check_table(keeper, by_shard({each.name: each for each in after}, 4))

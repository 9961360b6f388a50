"""Shard server: compared with a reference implementation, a dict of all rows copied at every version."""

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

from .common import (
    apply_response,
    by_shard,
    checksum_of,
    load_list,
    loaded_server,
    respond,
    row,
    shard_request,
)

LAYOUT = Layout(4, (1, 2))
NAMES = [f"e{i}" for i in range(7)]

ROWS = st.builds(
    row, st.sampled_from(NAMES), st.integers(0, 9), st.integers(0, 2), st.sampled_from((0.0, 1.0))
)
LISTINGS = st.tuples(st.sampled_from(NAMES), st.integers(0, 2))
STEP: st.SearchStrategy[Any] = st.one_of(
    st.tuples(st.just("load"), st.lists(ROWS, max_size=12), st.just([])),
    st.tuples(st.just("change"), st.lists(ROWS, max_size=4), st.lists(LISTINGS, max_size=3)),
    st.tuples(st.just("change"), st.lists(ROWS, max_size=4), st.lists(LISTINGS, max_size=3)),
)


class ReferenceServer:
    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.versions: dict[int, list[dict[str, Row]]] = {}

    def apply(self, what: str, rows: list[Row], listings: list[tuple[str, int]], generation: int) -> None:
        if what == "load":
            self.rows = {}
        for each in rows:
            self.rows.pop(each.name, None)
            if each.listing != GONE:
                self.rows[each.name] = each
        for name, listing in listings:
            if name in self.rows:
                known = self.rows.pop(name)
                if listing != GONE:
                    self.rows[name] = msgspec.structs.replace(known, listing=listing)
        self.versions[generation] = by_shard(self.rows, LAYOUT.shard_count)


@pytest.mark.parametrize(("log_shard", "log_rows", "step_rows"), [(64, 50_000, 2_000), (3, 7, 1)])
@given(steps=st.lists(STEP, max_size=10), data=st.data())
@settings(max_examples=80, deadline=None)
def test_responses_reproduce_whatever_the_source_has(
    log_shard: int, log_rows: int, step_rows: int, steps: list[Any], data: st.DataObject
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(shard_table, "MAX_LOG_ROWS_PER_SHARD", log_shard)
        patch.setattr(shard_table, "MAX_LOG_ROWS", log_rows)
        patch.setattr(bulk_load, "STEP_ROWS", step_rows)
        reference, server = ReferenceServer(), ShardServer(LAYOUT, 1, random.Random(1))
        reference.apply("load", [], [], 0)
        assert load_list(server, [], 0)
        for generation, (what, rows, listings) in enumerate(steps, 1):
            resident = data.draw(st.sets(st.integers(0, 3)))
            server.handle_request(float(generation), "n200", shard_request(LAYOUT, server.version, resident))
            reference.apply(what, rows, listings, generation)
            if what == "load":
                assert load_list(server, rows, generation)
            else:
                assert server.apply_changes(0.0, generation, rows, listings)
            check_table(server, reference.versions[generation])
            check_since(server, reference, data.draw(st.sets(st.integers(0, 3))))
            check_digest(server, reference.versions[generation], resident, float(generation))
        assert (
            server.table.log_row_count
            == sum(len(log.rows) for log in server.table.change_logs.values())
            <= log_rows
        )
        assert all(len(log.rows) <= log_shard for log in server.table.change_logs.values())


def check_table(server: ShardServer, now: list[dict[str, Row]]) -> None:
    for shard, rows in enumerate(now):
        assert {each.name: each for each in server.table.decode_rows(shard)} == rows
        assert server.table.checksums[shard] == checksum_of(rows.values())
        assert server.table.row_counts[shard] == len(rows)
        assert server.table.destination_counts[shard] == len({each.destination for each in rows.values()})
    expected = {shard_table.name_hash(name): shard for shard, rows in enumerate(now) for name in rows}
    assert server.table.shard_by_name_hash == expected


def check_since(server: ShardServer, reference: ReferenceServer, resident: set[int]) -> None:
    for generation, before in reference.versions.items():
        client_shards = {shard: dict(before[shard]) for shard in resident}
        response = respond(server, shard_request(LAYOUT, (1, generation), resident))
        assert response.is_complete and response.version == server.version
        apply_response(client_shards, response)
        current = reference.versions[server.version[1]]
        assert client_shards == {shard: current[shard] for shard in resident}
        # Shards without changes since are not sent.
        for part in response.parts:
            assert server.table.changed_at[part.shard] > generation


def check_digest(server: ShardServer, now: list[dict[str, Row]], resident: set[int], at: float) -> None:
    digests = [
        digest for name, digest in server.due_digests(at + subscribers.DIGEST_INTERVAL_S) if name == "n200"
    ]
    for digest in digests:
        assert (
            digest.rows_checksum
            == sum(checksum_of(now[shard].values()) for shard in resident) & CHECKSUM_MASK
        )
        assert digest.shard_set_checksum == sum(map(shard_number_hash, resident)) & CHECKSUM_MASK
        assert digest.version == server.version
        assert len(encode_message(digest)) < 200


def test_few_changes_are_sent_as_rows_and_many_as_a_full_shard() -> None:
    layout = Layout(1, (1,))
    server = loaded_server(layout, [row(f"e{i}", i) for i in range(200)])
    server.apply_changes(0.0, 2, [row("e1", 1, 1)], [("e2", GONE)])
    (part,) = respond(server, shard_request(layout, (1, 1), [0])).parts
    assert isinstance(part, ShardChanges)
    assert {(each.name, each.listing) for each in part.rows} == {("e1", 1), ("e2", GONE)}
    many = [row(f"e{i}", i, 1) for i in range(100, 100 + shard_table.MAX_LOG_ROWS_PER_SHARD)]
    server.apply_changes(0.0, 3, [row("e1", 1, 0), *many])
    (part,) = respond(server, shard_request(layout, (1, 1), [0])).parts
    assert isinstance(part, FullShard) and len(part.rows) == 199  # the log does not reach back
    server.apply_changes(0.0, 4, [row("e1", 1, 1)])
    (part,) = respond(server, shard_request(layout, (1, 3), [0])).parts
    assert isinstance(part, ShardChanges) and len(part.rows) == 1


def test_changes_before_the_history_start_are_compared_by_checksums() -> None:
    server = loaded_server(LAYOUT, [row(f"e{i}", i) for i in range(40)], generation=9)
    sums = [(shard, server.table.checksums[shard]) for shard in range(4)]
    sums[2] = (2, 1)
    response = respond(server, shard_request(LAYOUT, (1, 5), range(4)))
    assert (response.is_complete, response.parts, response.history_start) == (False, (), (1, 9))
    response = respond(server, shard_request(LAYOUT, (1, 5), range(4), checksums=sums[:3]))
    assert [(type(part), part.shard) for part in response.parts] == [
        (UnchangedShard, 0),
        (UnchangedShard, 1),
        (FullShard, 2),
    ]
    assert not response.is_complete
    assert respond(server, shard_request(LAYOUT, (1, 5), range(4), checksums=sums)).is_complete


def test_unchanged_list_changes_no_version() -> None:
    rows = [row(f"e{i}", i) for i in range(40)]
    server = loaded_server(LAYOUT, rows, generation=3)
    changed = dict(server.table.changed_at)
    assert load_list(server, reversed(rows), 3)
    assert (
        server.version == (1, 3) and server.table.changed_at == changed and server.same_version_rewrites == 0
    )
    assert load_list(server, rows, 4)
    assert server.version == (1, 4) and server.table.changed_at == changed
    assert respond(server, shard_request(LAYOUT, (1, 3), range(4))).parts == ()


def test_older_generation_is_rejected_and_confirms_nothing() -> None:
    server = loaded_server(LAYOUT, [row("e1", 1, mark=1.0)], generation=5, now=10.0)
    assert not load_list(server, [row("e1", 1)], 4, now=20.0)
    assert not server.apply_changes(20.0, 3, [row("e1", 1)])
    assert server.rejected_updates == 2
    server.confirm_source(20.0)
    assert server.status(21.0).source_age_s == 11.0
    assert [each.rate for each in server.table.decode_rows(shard_of(1, 4))] == [1.0]
    assert load_list(server, [row("e1", 1)], 1, epoch=2, now=30.0)  # accepted with a raised epoch
    server.confirm_source(31.0)
    assert server.version == (2, 1) and server.status(31.0).source_age_s == 0.0
    assert respond(server, shard_request(LAYOUT, (1, 5), range(4))).history_start == (2, 1)


def test_different_list_under_the_same_generation_is_counted() -> None:
    server = loaded_server(LAYOUT, [row("e1", 1)], generation=5)
    assert load_list(server, [row("e1", 1, 1)], 5)
    assert server.same_version_rewrites == 1 and server.table.checksums[shard_of(1, 4)] == checksum_of(
        [row("e1", 1, 1)]
    )


def test_old_list_is_served_until_the_commit_and_a_dropped_one_changes_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(bulk_load, "STEP_ROWS", 3)
    rows = [row(f"e{i}", i) for i in range(40)]
    server = loaded_server(LAYOUT, rows)
    before = list(server.table.encoded_rows), dict(server.table.shard_by_name_hash), server.version
    staged = server.start_list(1.0, (1, 2))
    staged.add([row(f"e{i}", i + 1, 1) for i in range(30)])
    assert staged.seal(2.0)
    steps = 1
    while not staged.step():
        steps += 1
        assert (list(server.table.encoded_rows), server.table.shard_by_name_hash, server.version) == before
    assert steps > 3 and staged.is_committed and server.version == (1, 2)
    assert server.status(2.0).source_age_s == 1.0  # the list counts as of its request
    assert server.status(2.0).endpoints == 30
    server.start_list(3.0, (1, 3)).add([row("e1", 1)])
    assert server.version == (1, 2) and server.status(2.0).endpoints == 30


def test_change_committed_while_a_list_is_staged() -> None:
    """Guards against an older list replacing a newer change: the list is refused at its commit."""
    server = loaded_server(LAYOUT, [row("e1", 1)])
    staged = server.start_list(1.0, (1, 2))
    staged.add([row("e1", 1)])
    assert staged.seal(1.0)
    assert server.apply_changes(1.0, 3, [row("e1", 1, 1)])
    while not staged.step():
        pass
    assert not staged.is_committed and server.version == (1, 3)
    later = server.start_list(1.0, (1, 9))
    later.add([row("e1", 1), row("e2", 2)])
    assert later.seal(1.0)
    assert server.apply_changes(1.0, 4, [row("e3", 3)])  # the list is compared again
    while not later.step():
        pass
    assert later.is_committed
    assert {each.name for shard in range(4) for each in server.table.decode_rows(shard)} == {"e1", "e2"}


def test_layout_mismatch_and_server_without_a_list() -> None:
    server = ShardServer(LAYOUT, 1, random.Random(1))
    response = server.handle_request(1.0, "n100", shard_request(LAYOUT))
    assert isinstance(response, LayoutMismatch) and response.is_loading
    load_list(server, [], 1)
    for other in (Layout(8, (1, 2)), Layout(4, (1, 3))):
        response = server.handle_request(1.0, "n100", shard_request(other))
        assert response == LayoutMismatch(1, LAYOUT) and decode_message(encode_message(response)) == response


@pytest.mark.parametrize(
    "wrong",
    [
        ShardRequest(1, LAYOUT, NO_VERSION, b"no zlib"),
        ShardRequest(1, LAYOUT, NO_VERSION, pack_shard_set(0, 1 << 20)),
        shard_request(LAYOUT, requested=[4]),
        shard_request(LAYOUT, requested=[-1]),
        shard_request(LAYOUT, checksums=[(9, 0)]),
    ],
)
def test_unreadable_request_changes_nothing(wrong: ShardRequest) -> None:
    server = loaded_server(LAYOUT, [])
    with pytest.raises(UnreadableFrameError):
        server.handle_request(1.0, "n100", wrong)
    assert not server.subscribers.by_name and server.responses == 0


def test_responses_are_bounded_and_the_earliest_deadline_comes_first() -> None:
    layout = Layout(64, (1,))
    server = loaded_server(layout, [row(f"a-name-of-usual-length-{i}", i) for i in range(64 * 44)])
    request = shard_request(layout, requested=range(64))
    request = msgspec.structs.replace(
        request,
        requested_shards=tuple(
            msgspec.structs.replace(requested_shard, time_left_ms=1e4 - 100.0 * requested_shard.shard)
            for requested_shard in request.requested_shards
        ),
    )
    response = respond(server, request)
    assert len(encode_message(response)) <= response_builder.MAX_RESPONSE_BYTES + 4_000
    assert [part.shard for part in response.parts] == list(range(63, 63 - len(response.parts), -1))
    assert len(response.parts) > 8
    # Many changes are sent in several responses.
    server.apply_changes(2.0, 2, [row(f"a-name-of-usual-length-{i}", i, 1) for i in range(64 * 44)])
    received: set[int] = set()
    for _ in range(20):
        bits = pack_shard_set(sum(1 << shard for shard in received), 64)
        followup = msgspec.structs.replace(
            shard_request(layout, (1, 1), range(64)), ahead_version=(1, 2), ahead_shards=bits
        )
        response = respond(server, followup)
        assert len(encode_message(response)) <= response_builder.MAX_RESPONSE_BYTES + 4_000
        assert not received & {part.shard for part in response.parts}
        received |= {part.shard for part in response.parts}
        if response.is_complete:
            break
    assert received == set(range(64))


def test_shard_larger_than_a_response_is_sent_alone() -> None:
    layout = Layout(2, (1,))
    server = loaded_server(layout, [row(f"e{i}", i) for i in range(4_000)])
    response = respond(server, shard_request(layout, requested=[0, 1]))
    assert len(response.parts) == 1


def test_excess_requests_get_a_retry_after_and_urgent_ones_are_served() -> None:
    server = loaded_server(LAYOUT, [row(f"e{i}", i) for i in range(40)])
    now, responses, retry_afters = 50.0, 0, []
    for number in range(2_000):
        response = server.handle_request(
            now, f"n{number}", shard_request(LAYOUT, resident=[0], requested=[1], time_left_ms=30_000.0)
        )
        if isinstance(response, Overloaded):
            retry_afters.append(response.retry_after_ms)
        else:
            responses += 1
    assert responses <= shard_server.RESPONSES_PER_S * shard_server.BURST_S
    assert responses == shard_server.RESPONSES_PER_S * (1 - shard_server.RESERVED_SHARE)
    assert min(retry_afters) >= 50.0 and max(retry_afters) <= 1.3 * shard_server.MAX_RETRY_AFTER_S * 1e3
    # Retries are spread: later requests wait longer.
    assert max(retry_afters) > 10 * min(retry_afters) and len(set(retry_afters)) > 1_000
    urgent = [
        server.handle_request(now, f"n{i}", shard_request(LAYOUT, requested=[1], time_left_ms=500.0))
        for i in range(200)
    ]
    assert sum(not isinstance(response, Overloaded) for response in urgent) == 100
    response = server.handle_request(now + 1.0, "n1", shard_request(LAYOUT, resident=[0], requested=[1]))
    assert not isinstance(response, Overloaded)


def test_sent_bytes_are_rate_limited() -> None:
    layout = Layout(64, (1,))
    server = loaded_server(layout, [row(f"a-name-of-usual-length-{i}", i) for i in range(64 * 44)])
    for step in range(3_000):
        server.handle_request(
            step / 300.0, f"n{step % 10}", shard_request(layout, requested=range(64), time_left_ms=100.0)
        )
    assert server.overloaded > 0
    assert (
        server.sent_bytes
        <= shard_server.BYTES_S * (10.0 + shard_server.BURST_S) + response_builder.MAX_RESPONSE_BYTES
    )


def test_digests_go_to_recent_clients_spread_and_bounded() -> None:
    server = loaded_server(LAYOUT, [row(f"e{i}", i) for i in range(40)])
    for number in range(300):
        server.handle_request(0.0, f"n{number}", shard_request(LAYOUT, resident=[0]))
    times: dict[str, list[float]] = {}
    now = 0.0
    while now < 30.0:
        digests = server.due_digests(now)
        assert len(digests) <= subscribers.MAX_DIGESTS_PER_CALL
        for name, _ in digests:
            times.setdefault(name, []).append(now)
        now = max(now + 0.01, min(server.next_digest_at(), now + 1.0))
    assert len(times) == 300
    first = sorted(client_times[0] for client_times in times.values())
    assert first[75] > 0.4 and first[225] < 2.6  # digests are spread over clients that started together
    for client_times in times.values():
        gaps = [b - a for a, b in itertools.pairwise(client_times)]
        assert all(2.6 <= gap <= 3.4 for gap in gaps) and len(gaps) >= 6
    now = 10.0 + subscribers.SUBSCRIPTION_S
    for _ in range(20):
        server.due_digests(now)
    assert not server.subscribers.by_name and not any(server.subscribers.slots_by_shard)


def test_clients_past_the_maximum_of_subscribers_still_get_responses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(subscribers, "MAX_SUBSCRIBERS", 3)
    server = loaded_server(LAYOUT, [row(f"e{i}", i) for i in range(40)])
    for number in range(5):
        assert respond(server, shard_request(LAYOUT, requested=[1]), client=f"n{number}").parts
    assert len(server.subscribers.by_name) == 3


def test_digest_is_right_after_many_shards_change_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(subscribers, "MAX_TRACKED_SHARDS", 2)
    server = loaded_server(LAYOUT, [row(f"e{i}", i) for i in range(40)])
    server.handle_request(0.0, "n1", shard_request(LAYOUT, resident=[0, 1, 2]))
    server.apply_changes(1.0, 2, [row(f"e{i}", i, 1) for i in range(40)])
    server.apply_changes(1.0, 3, [row("e0", 0, 0)])
    ((_, digest),) = server.due_digests(5.0)
    assert digest.rows_checksum == sum(server.table.checksums[:3]) & CHECKSUM_MASK


def test_shards_and_server_ranks_are_the_same_in_every_process() -> None:
    assert [shard_of(each, 8192) for each in (0, 1, 2, 360_000)] == SHARDS
    assert rank_servers("n7", [f"n{i}" for i in range(1, 9)]) == RANKED
    # Without one server only its own clients move.
    names = [f"n{i}" for i in range(1, 9)]
    moved = 0
    for number in range(1_000):
        all_ranked = rank_servers(f"n{number}", names)
        remaining = rank_servers(f"n{number}", names[1:])
        assert [name for name in all_ranked if name != "n1"] == remaining
        moved += all_ranked[0] != remaining[0]
    assert 80 < moved < 170


SHARDS = [3289, 6446, 579, 2309]
RANKED = ["n3", "n1", "n7", "n2", "n6", "n4", "n5", "n8"]


@pytest.mark.parametrize("is_full_list", [True, False])
def test_staged_update_is_compared_again_after_another_commit(
    is_full_list: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(bulk_load, "STEP_ROWS", 1)
    monkeypatch.setattr(bulk_load, "STEP_SHARDS", 1)
    before = [row(f"e{i}", i) for i in range(40)]
    after = [row(f"e{i}", i, 1) for i in range(40)]
    server = loaded_server(LAYOUT, before)
    staged = server.start_list(1.0, (1, 9)) if is_full_list else server.start_changes(1.0, 9)
    staged.add(after)
    assert staged.seal(1.0)
    for _ in range(3):  # most shards have been compared
        assert not staged.step()
    assert server.apply_changes(1.0, 4, [row(f"e{i}", i + 1, mark=4.0) for i in range(40)], [("e3", GONE)])
    while not staged.step():
        pass
    assert staged.is_committed and server.version == (1, 9)
    check_table(server, by_shard({each.name: each for each in after}, 4))

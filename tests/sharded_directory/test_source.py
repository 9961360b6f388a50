"""Sources of a server's list: lists in pieces and incomplete lists; invalid input changes nothing."""

from __future__ import annotations

import asyncio
import json
import os
import random
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from message_relay.sharded_directory import list_splitter, list_transfer, source
from message_relay.sharded_directory.errors import OutdatedListError, SourceError, TooManyChangesError
from message_relay.sharded_directory.list_splitter import ListSplitter
from message_relay.sharded_directory.list_transfer import ENTRIES_PER_TURN, EntryReader, ListTransfer
from message_relay.sharded_directory.shard_server import ShardServer
from message_relay.sharded_directory.source import FileSource, RegisterSource
from message_relay.sharded_directory.wire import Layout, Row

from ..loopback import Agent, answer, run
from .loopback import entry, listing, until


def server(shards: int = 64) -> ShardServer:
    return ShardServer(Layout(shards, (0,)), 1, random.Random(1))


async def pieces(raw: bytes, size: int = source.READ_BYTES) -> AsyncIterator[bytes]:
    for at in range(0, len(raw), size):
        yield raw[at : at + size]


async def transferred(
    shard_server: ShardServer,
    content: dict[str, Any] | bytes,
    from_generation: int | None = None,
    size: int = source.READ_BYTES,
) -> ListTransfer:
    raw = content if isinstance(content, bytes) else json.dumps(content).encode()
    transfer = ListTransfer(shard_server, 1, EntryReader(), 5.0, from_generation)
    await transfer.run(pieces(raw, size))
    return transfer


def rows(shard_server: ShardServer) -> dict[str, Row]:
    return {
        row.name: row
        for shard in range(shard_server.layout.shard_count)
        for row in shard_server.table.decode_rows(shard)
    }


def many(count: int) -> list[dict[str, Any]]:
    return [entry(f"e-{n:07}", n, 1 + n % 60_000) for n in range(count)]


def test_list_is_the_same_in_any_pieces() -> None:
    content = listing(
        [entry("ä", 1, 5), entry('"}],', 2, 6, lifecycle="draining"), entry("c", 3, 7, zone=None)]
    )
    header_last = {"instances": content["instances"], "more": [{"x": 1.5}], "reset": True, "generation": 1}
    texts = [json.dumps(content), json.dumps(content, ensure_ascii=False, indent=2), json.dumps(header_last)]

    async def work() -> None:
        for text in texts:
            for size in (1, 2, 3, 7, 50, 10_000):
                shard_server = server()
                await transferred(shard_server, text.encode(), size=size)
                assert shard_server.version == (1, 1)
                assert rows(shard_server) == {
                    "ä": Row("ä", 1, 0, "h", 5, "k", "z", 500.0),
                    '"}],': Row('"}],', 2, 1, "h", 6, "k", "z", 500.0),
                    "c": Row("c", 3, 0, "h", 7, "k", None, 500.0),
                }

    run(work())


def test_list_of_20_mb_reads_a_bounded_batch_in_each_turn() -> None:
    raw = json.dumps(listing(many(140_000))).encode()
    assert len(raw) > 20_000_000

    async def work() -> None:
        shard_server, turns = server(8192), 0

        async def others() -> None:
            nonlocal turns
            while True:
                await asyncio.sleep(0)
                turns += 1

        other_task = asyncio.ensure_future(others())
        transfer = await transferred(shard_server, raw)
        other_task.cancel()
        assert shard_server.status(5.0).endpoints == 140_000
        assert transfer.largest_batch <= ENTRIES_PER_TURN
        assert turns > 140_000 / ENTRIES_PER_TURN / 2  # other tasks get turns in between

    run(work())


def test_list_cut_at_any_place_changes_nothing() -> None:
    raw = json.dumps(listing([entry("a", 1), entry("b", 2)], 2)).encode()

    async def work() -> None:
        shard_server = server()
        await transferred(shard_server, listing([entry("old", 3)]))
        for length in range(len(raw)):
            with pytest.raises(SourceError):
                await transferred(shard_server, raw[:length])
        assert shard_server.version == (1, 1) and set(rows(shard_server)) == {"old"}
        await transferred(shard_server, raw)
        assert shard_server.version == (1, 2) and set(rows(shard_server)) == {"a", "b"}

    run(work())


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"[]",
        b"null",
        b"{}",
        b'{"instances": 5}',
        b'{"instances": []}',
        b'{"generation": 1, "instances": []}',
        b'{"generation": "x", "reset": true, "instances": []}',
        b'{"generation" 1}',
        b'{"generation": 1 "reset": 1}',
        b'{"generation": 1, "reset": true, "instances": [{} {}]}',
        b"\xff" * 9,
        b"[" * 100_000,
        b'{"generation": 1, "reset": true, "instances": [' + b"[" * 60_000 + b"]" * 60_000 + b"]}",
        b'{"generation": 1, "reset": true, "instances": ["' + b"x" * 200_000 + b'"]}',
        b'{"generation": 1, "reset": true, "instances": [nonsense]}',
        b'{"generation": 1, "reset": false, "instances": []}',  # changes without a list to apply them to
    ],
)
def test_malformed_list_changes_nothing(raw: bytes) -> None:
    async def work() -> None:
        shard_server = server()
        with pytest.raises(SourceError):
            await transferred(shard_server, raw)
        assert not shard_server.is_loaded

    run(work())


def test_list_above_the_size_limit_is_reported_and_changes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(list_splitter, "MAX_LIST_BYTES", 50_000)

    async def work() -> None:
        shard_server = server()
        await transferred(shard_server, listing(many(100)))
        with pytest.raises(SourceError, match="longer than 50000 bytes"):
            await transferred(shard_server, listing(many(1000), 2))
        assert shard_server.version == (1, 1) and len(rows(shard_server)) == 100

    run(work())


def test_malformed_entries_are_skipped_but_for_their_listing() -> None:
    good = [entry("a", 1), entry("b", 2), entry("c", 3)]
    bad: list[Any] = [
        entry("a", 1, hostPort="x"),
        entry("b", 2, weight=-1, lifecycle="draining"),
        entry("c", 3, weight="much", lifecycle="gone"),
        entry("new", 4, hostPort=":5"),
        5,
        None,
        [],
        {},
        {"instanceId": "d"},
    ]

    async def work() -> None:
        shard_server = server()
        await transferred(shard_server, listing(good))
        transfer = await transferred(shard_server, listing([*bad, entry("e", 5)], 2))
        assert transfer.entry_reader.skipped == len(bad)
        assert rows(shard_server) == {
            "a": Row("a", 1, 0, "h", 1, "k", "z", 500.0),
            "b": Row("b", 2, 1, "h", 1, "k", "z", 500.0),
            "e": Row("e", 5, 0, "h", 1, "k", "z", 500.0),
        }
        await transferred(
            shard_server, listing([entry("e", 5, hostPort="x", lifecycle="draining")], 3, reset=False), 2
        )
        assert rows(shard_server)["e"].listing == 1 and shard_server.version == (1, 3)

    run(work())


def test_changes_are_applied_and_too_many_require_the_full_list(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        shard_server = server()
        await transferred(shard_server, listing(many(100)))
        changes = [entry("e-0000001", 1, 9), entry("e-0000002", 2, lifecycle="gone")]
        await transferred(shard_server, listing(changes, 5, False), 1)
        assert (
            shard_server.version == (1, 5)
            and len(rows(shard_server)) == 99
            and rows(shard_server)["e-0000001"].port == 9
        )
        await transferred(shard_server, listing([], 5, False), 5)
        assert shard_server.version == (1, 5)
        monkeypatch.setattr(list_transfer, "MAX_CHANGES", 50)
        with pytest.raises(TooManyChangesError):
            await transferred(shard_server, listing(many(51), 6, False), 5)
        assert shard_server.version == (1, 5) and len(rows(shard_server)) == 99

    run(work())


def test_many_changes_are_staged_in_steps_and_committed_at_once() -> None:
    from message_relay.sharded_directory.bulk_load import STEP_ROWS

    shard_server, count = server(8192), 5 * STEP_ROWS
    change = shard_server.start_changes(1.0, 2)
    assert not change.seal(1.0)  # no list is loaded yet
    load = shard_server.start_list(1.0, (1, 1))
    load.add([Row(f"e{n}", n, 0, "h", 1) for n in range(count)])
    assert load.seal(1.0)
    while not load.step():
        pass
    change = shard_server.start_changes(1.0, 2)
    change.add([Row(f"e{n}", n + 1, 0, "h", 2) for n in range(count)], [("e5", 2)])
    assert change.seal(1.0)
    steps, checked = 0, 0
    while not change.step():
        steps += 1
        assert change.sorted_count - checked <= STEP_ROWS and shard_server.version == (1, 1)
        checked = change.sorted_count
    assert steps >= 5 and change.is_committed and shard_server.version == (1, 2)
    by_name = rows(shard_server)
    assert len(by_name) == count - 1 and by_name["e7"] == Row("e7", 8, 0, "h", 2)


def test_older_generation_is_rejected() -> None:
    async def work() -> None:
        shard_server = server()
        await transferred(shard_server, listing(many(10), 7))
        with pytest.raises(OutdatedListError, match="shards.epoch"):
            await transferred(shard_server, listing(many(5), 6))
        with pytest.raises(OutdatedListError):
            await transferred(shard_server, listing(many(1), 6, False), 7)
        assert (
            shard_server.version == (1, 7)
            and len(rows(shard_server)) == 10
            and shard_server.status(5.0).refused == 2
        )

    run(work())


def test_list_counts_as_of_its_request() -> None:
    """The response may have been buffered while this process was frozen."""

    async def work() -> None:
        shard_server = server()
        await transferred(shard_server, listing(many(10)))
        assert shard_server.status(9.0).source_age_s == 4.0
        await transferred(shard_server, listing([], 1, False), 1)
        assert shard_server.status(9.0).source_age_s == 4.0

    run(work())


def test_splitter_returns_at_most_the_requested_number_of_entries() -> None:
    splitter = ListSplitter()
    splitter.feed(json.dumps(listing(many(20))).encode())
    assert [len(splitter.read_entries(8)) for _ in range(4)] == [8, 8, 4, 0]
    splitter.check_complete()


# -- the register ------------------------------------------------------------------------------------------


def registered(shard_server: ShardServer, agent: Agent) -> RegisterSource:
    return RegisterSource(shard_server, 1, agent.address, 8, 1, is_shared=True)


def test_register_is_watched_and_failures_are_retried() -> None:
    async def work() -> None:
        agent, shard_server = await Agent().start(), server()
        agent.silent = True
        agent.changes.put_nowait(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
        agent.publish(listing(many(3000)))
        long_list = json.dumps(listing(many(3000))).encode()
        agent.changes.put_nowait(answer(200, body=long_list.decode())[:-100])  # truncated, then silent
        list_source = registered(shard_server, agent)
        task = asyncio.ensure_future(list_source.run())
        await until(lambda: shard_server.version == (1, 1))
        assert len(rows(shard_server)) == 3000 and list_source.failures == 1
        assert "from" not in agent.seen[1].target
        await until(lambda: len(agent.seen) > 2)
        assert agent.seen[2].target.startswith("/v1/servers?from=1&hold_ms=")
        assert int(agent.seen[2].target.rpartition("=")[2]) <= source.WATCH_MS
        agent.publish(listing([entry("new", 5)], 2, False))
        await until(lambda: shard_server.version == (1, 2))
        assert len(rows(shard_server)) == 3001
        task.cancel()

    run(work())


def test_list_above_the_agents_own_limit_is_accepted() -> None:
    from message_relay.http.agent import ANSWER_BYTES

    count = ANSWER_BYTES // 140  # each takes some 155 bytes

    async def work() -> None:
        agent, shard_server = await Agent().start(), server()
        agent.publish(listing(many(count)))
        assert len(json.dumps(listing(many(count)))) > ANSWER_BYTES
        task = asyncio.ensure_future(registered(shard_server, agent).run())
        await until(lambda: shard_server.is_loaded)
        assert len(rows(shard_server)) == count
        task.cancel()

    run(work())


def test_register_with_restarted_generations_is_rejected_until_it_has_caught_up() -> None:
    async def work() -> None:
        agent, shard_server = await Agent().start(), server()
        agent.publish(listing(many(10), 9))
        list_source = registered(shard_server, agent)
        task = asyncio.ensure_future(list_source.run())
        await until(lambda: shard_server.is_loaded)
        agent.publish(listing(many(3), 2))
        await until(lambda: list_source.failures == 1)
        assert shard_server.version == (1, 9) and len(rows(shard_server)) == 10
        agent.publish(listing(many(4), 10))
        await until(lambda: shard_server.version == (1, 10))
        assert len(rows(shard_server)) == 4
        assert [("from" in seen.target) for seen in agent.seen[:3]] == [False, True, False]
        task.cancel()

    run(work())


def test_too_many_changes_in_one_response_cause_a_poll_of_the_full_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(list_transfer, "MAX_CHANGES", 50)

    async def work() -> None:
        agent, shard_server = await Agent().start(), server()
        agent.publish(listing(many(100)))
        agent.publish(listing(many(60), 2, False))
        agent.publish(listing(many(60), 2))
        task = asyncio.ensure_future(registered(shard_server, agent).run())
        await until(lambda: shard_server.version == (1, 2))
        assert len(rows(shard_server)) == 60
        assert [("from" in seen.target) for seen in agent.seen[:3]] == [False, True, False]
        task.cancel()

    run(work())


def test_new_register_is_polled_for_its_full_list() -> None:
    async def work() -> None:
        one, other, shard_server = await Agent().start(), await Agent().start(), server()
        one.publish(listing(many(3), 1))
        other.publish(listing(many(5), 2))
        list_source = registered(shard_server, one)
        task = asyncio.ensure_future(list_source.run())
        await until(lambda: shard_server.version == (1, 1))
        list_source.reload(one.address)
        assert list_source.generation == 1
        await until(lambda: len(one.seen) == 2)
        list_source.reload(other.address)
        one.publish(listing([], 1, False))  # the response to the earlier request
        await until(lambda: shard_server.version == (1, 2))
        assert "from" not in other.seen[0].target and len(rows(shard_server)) == 5
        task.cancel()

    run(work())


# -- a file ------------------------------------------------------------------------------------------------


def write_file(path: Path, content: dict[str, Any] | str) -> None:
    temporary = path.with_suffix(".part")
    temporary.write_text(content if isinstance(content, str) else json.dumps(content))
    os.replace(temporary, path)


def test_changed_file_is_read_again_and_a_malformed_one_changes_nothing(tmp_path: Path) -> None:
    async def work() -> None:
        shard_server, path = server(), tmp_path / "list.json"
        list_source = FileSource(shard_server, 1, path)
        with pytest.raises(OSError):
            await list_source.check_file()
        write_file(path, listing(many(10)))
        await list_source.check_file()
        assert shard_server.version == (1, 1) and len(rows(shard_server)) == 10
        at = shard_server.source_confirmed_at
        await list_source.check_file()
        assert shard_server.source_confirmed_at > at  # unchanged, which confirms the list as of now
        write_file(path, json.dumps(listing(many(5), 2))[:-5])
        with pytest.raises(SourceError):
            await list_source.check_file()
        at = shard_server.source_confirmed_at
        await list_source.check_file()  # not read again, and confirms nothing
        assert shard_server.version == (1, 1) and shard_server.source_confirmed_at == at
        write_file(path, listing(many(5), 2))
        await list_source.check_file()
        assert shard_server.version == (1, 2) and len(rows(shard_server)) == 5

    run(work())


def test_unreadable_file_is_retried_and_reported(tmp_path: Path) -> None:
    async def work() -> None:
        shard_server, path = server(), tmp_path / "list.json"
        list_source = FileSource(shard_server, 1, path)
        task = asyncio.ensure_future(list_source.run())
        await until(lambda: list_source.failures == 1)
        write_file(path, listing(many(3)))
        await until(lambda: shard_server.is_loaded)
        assert list_source.failures >= 1
        task.cancel()

    run(work())

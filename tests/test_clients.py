"""Clients that send nonsense, too much, too little or nothing: each gets an error or an end, no more."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path

import pytest

from message_relay.http import client_limits

from .loopback import Agent, Client, Running, Server, message, relay, run, until

GOOD = message("m")
HEAD = b"POST /safe HTTP/1.1\r\nHost: x\r\n"


class World:
    """A relay with one endpoint."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.agent, self.server = folder, Agent(), Server()
        self.held = AsyncExitStack()

    async def __aenter__(self) -> Running:
        state = self.folder / "state"
        state.mkdir()
        await self.agent.start()
        await self.server.start()
        return await self.held.enter_async_context(relay(state, self.agent, self.server))

    async def __aexit__(self, *_: object) -> None:
        await self.held.aclose()


async def ended(client: Client) -> bool:
    """Reads on to the end of the connection."""
    try:
        while await client.reader.read(65536):
            pass
    except ConnectionError:
        pass
    return True


@pytest.mark.parametrize(
    ("request_", "status"),
    [
        (
            GOOD.replace(b"Content-Length: 5", b"Content-Length: 5\r\nTransfer-Encoding: chunked").replace(
                b"hello", b"0\r\n\r\n" + message("hidden")
            ),
            400,
        ),
        (GOOD.replace(b"Content-Length: 5", b"Transfer-Encoding: chunked\r\nContent-Length: 5"), 400),
        (GOOD.replace(b"Content-Length: 5", b"Content-Length: 5\r\nContent-Length: 6"), 400),
        (GOOD.replace(b"X-Trace-Id: m", b"X-Trace-Id: m\r\nX-Trace-Id: n"), 400),
        (GOOD.replace(b"X-Addressing: dest=7", b"X-Addressing: dest=7\r\nX-Addressing: dest=8"), 400),
        (GOOD.replace(b"Content-Length: 5", b"Content-Length: -5"), 400),
        (GOOD.replace(b"Content-Length: 5", b"Content-Length: 3"), 400),
        (GOOD.replace(b"Content-Length: 5", b"Content-Length: " + b"9" * 19), 413),
        (GOOD.replace(b"Content-Length: 5", b"Content-Length: " + b"9" * 9000), 400),
        (
            GOOD.replace(b"Content-Length: 5\r\n", b"Transfer-Encoding: chunked\r\n").replace(
                b"hello", b"10000\r\n" + b"x" * 0x10000 + b"\r\n1\r\nx\r\n"
            ),
            413,
        ),
        (GOOD.replace(b"Content-Length: 5\r\n", b"Transfer-Encoding: chunked\r\n") + b"\r\n", 400),
        (GOOD * 300, 400),
        (HEAD + b"X-A: " + b"a" * (1 << 20), 431),
        (b"\x16\x03\x01\x02\x00" * 9, 400),
    ],
)
def test_it_is_turned_away_and_the_connection_ends(tmp_path: Path, request_: bytes, status: int) -> None:
    async def work() -> None:
        world = World(tmp_path)
        async with world as host, Client(host.ingress.port) as client:
            assert await client.ask(request_) == status and "connection: close" in client.head
            assert await ended(client)
            assert not host.held and not host.journal.entries
        assert not world.server.seen

    run(work())


def test_a_body_of_many_megabytes_is_answered_from_its_head_and_thrown_away(tmp_path: Path) -> None:
    """Guards memory, and the answer: a close with bytes unread would reset it away."""

    async def work() -> None:
        async with World(tmp_path) as host, Client(host.ingress.port) as client:
            size = 60 << 20
            client.writer.write(GOOD.replace(b"Content-Length: 5", b"Content-Length: %d" % size)[:-5])
            for _ in range(size >> 20):
                client.writer.write(b"x" * (1 << 20))
                await client.writer.drain()
            assert await client.status() == 413
            (connection,) = host.ingress.connections
            assert connection.request is None and connection.is_lingering
            async with Client(host.ingress.port) as other:
                assert await other.ask(message("n")) == 202
        assert list(host.journal.entries) == ["n"]

    run(work())


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"", 0),
        (b"GET /hea", 408),
        (GOOD[:-1], 408),
        (GOOD[:60], 408),
        (GOOD.replace(b"Content-Length: 5", b"Content-Length: 50"), 408),
    ],
)
def test_what_does_not_come_in_time_is_ended(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, sent: bytes, status: int
) -> None:
    for name in ("SILENT_TIMEOUT_S", "FIRST_REQUEST_TIMEOUT_S", "REQUEST_TIMEOUT_S", "SWEEP_INTERVAL_S"):
        monkeypatch.setattr(client_limits, name, 0.05)

    async def work() -> None:
        async with World(tmp_path) as host, Client(host.ingress.port) as client:
            if sent:
                assert await client.ask(sent) == status
            assert await ended(client)
            await until(lambda: not host.ingress.connections)
            assert not host.held

    run(work())


def test_waits_for_bad_clients_end_within_what_they_are_owed_and_spare_the_others() -> None:
    slowest = (
        max(client_limits.SILENT_TIMEOUT_S, client_limits.FIRST_REQUEST_TIMEOUT_S)
        + client_limits.SWEEP_INTERVAL_S
    )
    assert slowest < 3.0 <= client_limits.OVERSIZED_LINGER_S + client_limits.SWEEP_INTERVAL_S < 6.0
    assert min(client_limits.SILENT_TIMEOUT_S, client_limits.MIN_IDLE_S, client_limits.IDLE_TIMEOUT_S) >= 2.0


def test_half_a_request_and_an_end_of_sending_is_answered(tmp_path: Path) -> None:
    async def work() -> None:
        async with World(tmp_path) as host, Client(host.ingress.port) as client:
            client.writer.write(GOOD[:-2])
            client.writer.write_eof()
            assert await client.status() == 400 and not host.held

    run(work())


def test_a_kept_connection_is_closed_when_it_has_been_idle_for_long(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards the descriptors against clients that ask once and keep their connection for good."""
    monkeypatch.setattr(client_limits, "IDLE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(client_limits, "SWEEP_INTERVAL_S", 0.05)

    async def work() -> None:
        async with World(tmp_path) as host, Client(host.ingress.port) as client:
            assert await client.ask(GOOD) == 202
            assert await client.reader.read() == b""
            await until(lambda: not host.ingress.connections)
            ingress_ = host.ingress
            assert not (
                ingress_.silent or ingress_.idle_visitors or ingress_.idle_submitters or ingress_.lingering
            )

    run(work())


def test_where_many_stand_idle_the_next_are_not_kept_and_those_no_longer_than_they_are_owed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards clients that may hold only so many connections: those that stay shut the others out."""

    async def work() -> None:
        async with World(tmp_path) as host, AsyncExitStack() as open_:
            port, host.ingress.crowding_threshold = host.ingress.port, 3
            idle = [await open_.enter_async_context(Client(port)) for _ in range(3)]
            for count, client in enumerate(idle):
                assert await client.ask(message(f"a{count}")) == 202
                assert "connection: close" not in client.head
            async with Client(port) as once:
                assert await once.ask(message("b")) == 202 and "connection: close" in once.head
                assert await ended(once)
            assert await idle[0].ask(message("c")) == 202 and "connection: close" not in idle[0].head
            now = asyncio.get_running_loop().time()
            assert len(
                host.ingress._overdue(now + client_limits.MIN_IDLE_S)
            ) == 3 and not host.ingress._overdue(now + 1.9)
            host.ingress.crowding_threshold = 4
            assert not host.ingress._overdue(now + client_limits.IDLE_TIMEOUT_S - 1.0)
            assert len(host.ingress._overdue(now + client_limits.IDLE_TIMEOUT_S)) == 3

    run(work())


def test_a_crowd_that_says_nothing_makes_room_for_one_that_asks(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards the descriptors that calls need, and the usual clients' way in."""
    monkeypatch.setattr(client_limits, "FIRST_BYTES_S", 0.0)

    async def work() -> None:
        async with World(tmp_path) as host:
            port, host.ingress.max_connections = host.ingress.port, 3
            async with Client(port) as usual, Client(port) as first, Client(port) as second:
                assert await usual.ask(message("a")) == 202
                for count in range(10):
                    async with Client(port) as other:
                        assert await other.ask(message(f"b{count}")) == 202
                        assert len(host.ingress.connections) <= 3
                assert await ended(first) and await ended(second)
                assert await usual.ask(message("c")) == 202  # idle for less than 2 s: it is spared

    run(work())


def test_newcomers_are_not_ended_for_one_another_while_others_have_been_idle(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a way in that closes behind each: its first bytes come right after it, not with it."""
    monkeypatch.setattr(client_limits, "MIN_IDLE_S", 0.0)

    async def work() -> None:
        async with World(tmp_path) as host, AsyncExitStack() as open_:
            port, host.ingress.max_connections = host.ingress.port, 4
            idle = [await open_.enter_async_context(Client(port)) for _ in range(4)]
            for count, client in enumerate(idle):
                assert await client.ask(message(f"a{count}")) == 202
            new = [await open_.enter_async_context(Client(port)) for _ in range(4)]
            await until(lambda: len(host.ingress.silent) == 4)
            for count, client in enumerate(new):
                assert await client.ask(message(f"b{count}")) == 202
            for client in idle:
                assert await ended(client)

    run(work())


def test_who_only_looks_in_makes_room_for_who_hands_in(tmp_path: Path) -> None:
    """Guards messages against a crowd that asks for the health and stays."""

    async def work() -> None:
        async with World(tmp_path) as host, AsyncExitStack() as open_:
            port, host.ingress.max_connections = host.ingress.port, 4
            usual = await open_.enter_async_context(Client(port))
            assert await usual.ask(message("a")) == 202
            for _ in range(20):
                visitor = await open_.enter_async_context(Client(port))
                assert await visitor.ask(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n") == 200
            other = await open_.enter_async_context(Client(port))
            assert await other.ask(message("b")) == await usual.ask(message("c")) == 202
            assert len(host.ingress.connections) == 4

    run(work())


def test_only_connections_without_an_open_request_make_room(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        async with World(tmp_path) as host:
            port, host.ingress.max_connections = host.ingress.port, 2
            async with Client(port) as half, Client(port) as kept:
                half.writer.write(GOOD[:60])
                assert await kept.ask(message("a")) == 202
                await until(lambda: not host.ingress.silent)
                async with Client(port) as other:  # it waits in the system's queue, and costs nothing
                    other.writer.write(message("b"))
                    await until(lambda: host.ingress.listener.is_paused)
                    assert len(host.ingress.connections) == 2 and "b" not in host.journal.entries
                    monkeypatch.setattr(client_limits, "MIN_IDLE_S", 0.0)
                    assert await other.status() == 202
                assert await ended(kept)
                half.writer.write(GOOD[60:])
                assert await half.status() == 202

    run(work())


def test_one_that_asks_nonsense_again_and_again_is_read_less_often(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards the others' share of the processor; each answer still comes at once."""
    monkeypatch.setattr(client_limits, "PENALTY_S", 0.01)

    async def work() -> None:
        async with World(tmp_path) as host, Client(host.ingress.port) as client:
            bad = message("m", "other")
            assert await client.ask(bad) == 400
            (connection,) = host.ingress.connections
            assert connection.transport is not None and not connection.transport.is_reading()
            assert await client.ask(bad) == 400 and await client.ask(GOOD) == 202
            assert connection.transport.is_reading()

    run(work())


def test_nobody_ends_or_withdraws_another_clients_message_by_its_id(tmp_path: Path) -> None:
    async def work() -> None:
        world = World(tmp_path)
        world.server.hold = asyncio.Event()
        async with world as host, Client(host.ingress.port) as usual:
            assert await usual.ask(GOOD) == 202
            async with Client(host.ingress.port) as bad:
                assert await bad.ask(message("m", "unsafe", b"other")) == 202
                bad.writer.write(message("m", "unsafe", b"other"))
                bad.writer.transport.abort()
            await until(lambda: len(host.ingress.connections) == 1)
            assert len(host.held) == 1
            world.server.hold.set()
            await until(lambda: host.journal.entries["m"].final_state == "delivered")
        assert [seen.body for seen in world.server.seen] == [b"hello"]

    run(work())

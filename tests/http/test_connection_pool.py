"""When a connection is kept for the next attempt, and when it must not be reused."""

from __future__ import annotations

import asyncio

import pytest

from message_relay.decisions.model import Outcome

from ..loopback import OK, Server, answer, run, until
from .harness import make_attempt, make_client


def test_connection_is_reused_for_consecutive_attempts() -> None:
    async def work() -> None:
        server, calls = await Server().start(), make_client()
        for _ in range(5):
            assert (await calls.attempt(make_attempt(server.address))).outcome is Outcome.OK
        assert server.opened == 1

    run(work())


def test_concurrent_attempts_have_own_connections_and_pool_is_bounded() -> None:
    async def work() -> None:
        server, calls = await Server().start(), make_client(max_idle=2)
        got = await asyncio.gather(*(calls.attempt(make_attempt(server.address)) for _ in range(5)))
        assert {each.outcome for each in got} == {Outcome.OK}
        assert server.opened == 5 and len(calls.pool.idle_by_endpoint[1, server.address]) == 2

    run(work())


def test_closed_pooled_connection_is_not_reused() -> None:
    """Guards against avoidable resets: a request on it would count as sent, and may have run."""

    async def work() -> None:
        opened: list[asyncio.StreamWriter] = []

        async def once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            opened.append(writer)
            await reader.readuntil(b"\r\n\r\nb")
            writer.write(OK)

        server, calls = await asyncio.start_server(once, "127.0.0.1", 0), make_client()
        address = server.sockets[0].getsockname()
        assert (await calls.attempt(make_attempt(address))).outcome is Outcome.OK
        (connection,) = calls.pool.idle_by_endpoint[1, address]
        opened[0].close()
        await until(lambda: not connection.is_usable)
        assert (await calls.attempt(make_attempt(address))).outcome is Outcome.OK
        assert len(opened) == 2

    run(work())


def test_response_with_connection_close_is_not_pooled() -> None:
    async def work() -> None:
        server, calls = await Server().start(), make_client()
        server.script.append(answer(200, "Connection: close"))
        assert (await calls.attempt(make_attempt(server.address))).outcome is Outcome.OK
        assert not calls.pool.idle_by_endpoint.get((1, server.address))

    run(work())


def test_connection_idle_for_too_long_is_not_reused() -> None:
    async def work() -> None:
        server, calls = await Server().start(), make_client()
        assert (await calls.attempt(make_attempt(server.address))).outcome is Outcome.OK
        (connection,) = calls.pool.idle_by_endpoint[1, server.address]
        connection.idle_since -= 0.81 * 60
        calls.sweep()
        assert not calls.pool.idle_by_endpoint and not connection.is_usable
        assert (await calls.attempt(make_attempt(server.address))).outcome is Outcome.OK
        assert server.opened == 2

    run(work())


@pytest.mark.parametrize("stray", [OK, b"x"])
def test_unsolicited_response_is_not_used_for_next_attempt(stray: bytes) -> None:
    async def work() -> None:
        server, calls = await Server().start(), make_client()
        server.script += [OK + stray, answer(500)]
        assert (await calls.attempt(make_attempt(server.address))).outcome is Outcome.OK
        assert (await calls.attempt(make_attempt(server.address))).outcome is Outcome.ERROR
        assert server.opened == 2

    run(work())


def test_connection_is_not_pooled_before_body_is_complete() -> None:
    async def work() -> None:
        server, calls = await Server().start(), make_client()
        server.script.append(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\na")
        assert (await calls.attempt(make_attempt(server.address))).outcome is Outcome.OK
        assert (
            not calls.pool.idle_by_endpoint
        )  # the outcome is known; the connection is not free before the body is complete

    run(work())


def test_connections_to_former_address_are_closed() -> None:
    async def work() -> None:
        kept, left, calls = await Server().start(), await Server().start(), make_client()
        for server in (kept, left):
            assert (await calls.attempt(make_attempt(server.address))).outcome is Outcome.OK
        (connection,) = calls.pool.idle_by_endpoint[1, left.address]
        calls.retain_only({(1, kept.address)})
        assert set(calls.pool.idle_by_endpoint) == {(1, kept.address)} and not connection.is_usable

    run(work())

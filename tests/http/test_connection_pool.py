"""Which connections are pooled for the next attempt, and which must not be reused."""

from __future__ import annotations

import asyncio

import pytest

from message_relay.decisions.model import Outcome

from ..loopback import OK, Server, answer, run, until
from .harness import make_attempt, make_client


def test_connection_is_reused_for_consecutive_attempts() -> None:
    async def work() -> None:
        server, client = await Server().start(), make_client()
        for _ in range(5):
            assert (await client.attempt(make_attempt(server.address))).outcome is Outcome.OK
        assert server.opened == 1

    run(work())


def test_concurrent_attempts_have_own_connections_and_pool_is_bounded() -> None:
    async def work() -> None:
        server, client = await Server().start(), make_client(max_idle=2)
        results = await asyncio.gather(*(client.attempt(make_attempt(server.address)) for _ in range(5)))
        assert {result.outcome for result in results} == {Outcome.OK}
        assert server.opened == 5 and len(client.pool.idle_by_endpoint[1, server.address]) == 2

    run(work())


def test_closed_pooled_connection_is_not_reused() -> None:
    """Guards against avoidable ambiguous outcomes: a request on a closed connection would count as sent."""

    async def work() -> None:
        opened: list[asyncio.StreamWriter] = []

        async def answer_once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            opened.append(writer)
            await reader.readuntil(b"\r\n\r\nb")
            writer.write(OK)

        server, client = await asyncio.start_server(answer_once, "127.0.0.1", 0), make_client()
        address = server.sockets[0].getsockname()
        assert (await client.attempt(make_attempt(address))).outcome is Outcome.OK
        (connection,) = client.pool.idle_by_endpoint[1, address]
        opened[0].close()
        await until(lambda: not connection.is_usable)
        assert (await client.attempt(make_attempt(address))).outcome is Outcome.OK
        assert len(opened) == 2

    run(work())


def test_response_with_connection_close_is_not_pooled() -> None:
    async def work() -> None:
        server, client = await Server().start(), make_client()
        server.script.append(answer(200, "Connection: close"))
        assert (await client.attempt(make_attempt(server.address))).outcome is Outcome.OK
        assert not client.pool.idle_by_endpoint.get((1, server.address))

    run(work())


def test_connection_idle_for_too_long_is_not_reused() -> None:
    async def work() -> None:
        server, client = await Server().start(), make_client()
        assert (await client.attempt(make_attempt(server.address))).outcome is Outcome.OK
        (connection,) = client.pool.idle_by_endpoint[1, server.address]
        connection.idle_since -= 0.81 * 60
        client.sweep()
        assert not client.pool.idle_by_endpoint and not connection.is_usable
        assert (await client.attempt(make_attempt(server.address))).outcome is Outcome.OK
        assert server.opened == 2

    run(work())


@pytest.mark.parametrize("stray", [OK, b"x"])
def test_unsolicited_response_is_not_used_for_next_attempt(stray: bytes) -> None:
    async def work() -> None:
        server, client = await Server().start(), make_client()
        server.script += [OK + stray, answer(500)]
        assert (await client.attempt(make_attempt(server.address))).outcome is Outcome.OK
        assert (await client.attempt(make_attempt(server.address))).outcome is Outcome.ERROR
        assert server.opened == 2

    run(work())


def test_connection_is_not_pooled_before_body_is_complete() -> None:
    async def work() -> None:
        server, client = await Server().start(), make_client()
        server.script.append(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\na")
        assert (await client.attempt(make_attempt(server.address))).outcome is Outcome.OK
        assert (
            not client.pool.idle_by_endpoint
        )  # the outcome is known, but the connection is not free before the body is complete

    run(work())


def test_connections_to_former_address_are_closed() -> None:
    async def work() -> None:
        listed, unlisted, client = await Server().start(), await Server().start(), make_client()
        for server in (listed, unlisted):
            assert (await client.attempt(make_attempt(server.address))).outcome is Outcome.OK
        (connection,) = client.pool.idle_by_endpoint[1, unlisted.address]
        client.retain_only({(1, listed.address)})
        assert set(client.pool.idle_by_endpoint) == {(1, listed.address)} and not connection.is_usable

    run(work())

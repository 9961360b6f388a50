"""Responses that arrive in pieces of any size: of the agent, with lists and notices, and of endpoints."""

from __future__ import annotations

import asyncio
import json

import pytest

from message_relay.decisions.model import Outcome
from message_relay.http.agent import AgentClient
from message_relay.http.connection import EndpointConnection
from message_relay.http.endpoint_client import EndpointClient

from ..loopback import Server, answer, listing, run, until
from .harness import make_attempt

PADDING = " " * 4000  # the length of a list of some 25 endpoints


def chunked(status: int, body: str, size: int) -> bytes:
    """A response whose body is sent in chunks of this size."""
    raw = body.encode()
    chunks = [raw[start : start + size] for start in range(0, len(raw), size)]
    encoded = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in [*chunks, b""])
    return b"HTTP/1.1 %d X\r\nTransfer-Encoding: chunked\r\n\r\n%s" % (status, encoded)


async def receive_in_pieces(opened: list[EndpointConnection], reply: bytes, size: int) -> None:
    """Passes a reply to the connection that has sent a request, so many bytes a read."""
    await until(lambda: bool(opened) and opened[0].is_request_sent)
    for start in range(0, len(reply), size):
        opened[0].data_received(reply[start : start + size])


@pytest.fixture
def opened(monkeypatch: pytest.MonkeyPatch) -> list[EndpointConnection]:
    """The connections that the code under test has opened."""
    connections: list[EndpointConnection] = []
    connection_made = EndpointConnection.connection_made

    def recorded(self: EndpointConnection, transport: asyncio.BaseTransport) -> None:
        connections.append(self)
        connection_made(self, transport)

    monkeypatch.setattr(EndpointConnection, "connection_made", recorded)
    return connections


@pytest.mark.parametrize("size", (1, 24))
@pytest.mark.parametrize("is_chunked", (False, True))
def test_list_in_small_pieces_is_read(size: int, is_chunked: bool, opened: list[EndpointConnection]) -> None:
    """Guards against a relay that refuses each list, and goes on calling an endpoint that has left it: an
    answer of 4.5 KB in pieces of 24 bytes had too many of them."""

    async def work() -> None:
        server = await Server(default_reply=None).start()
        agent = AgentClient(server.address)
        body = json.dumps(listing(server)) + PADDING
        reply = chunked(200, body, size) if is_chunked else answer(200, body=body)
        response = asyncio.ensure_future(agent.request("GET", "/v1/servers", b"", 30.0))
        await receive_in_pieces(opened, reply, size)
        status, received = await response
        assert status == 200 and json.loads(received) == listing(server)
        agent.close()

    run(work())


@pytest.mark.parametrize("status", (429, 503))
def test_refusal_in_small_pieces_is_a_refusal(status: int, opened: list[EndpointConnection]) -> None:
    """The same limit made a reset of it: an unsafe message failed, and its wait was lost."""

    async def work() -> None:
        server = await Server(default_reply=None).start()
        attempt = make_attempt(server.address, ambiguity_is_final=True)
        result = asyncio.ensure_future(EndpointClient(60000.0, 20000.0, 10).attempt(attempt))
        reply = answer(status, "X-RateLimit-Wait-Ms: 700", "X-Note: " + "n" * 300, body="later" * 100)
        await receive_in_pieces(opened, reply, 1)
        assert (await result).outcome is Outcome.FULL
        assert (await result).retry_after_ms == 700.0

    run(work())

"""Tests limits at their boundaries: a value just inside works, one just outside is rejected and logged."""

from __future__ import annotations

import asyncio
import json
import logging
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from message_relay.http.agent import ANSWER_BYTES, AgentClient
from message_relay.http.connection import (
    MAX_EVENTS_PER_TURN,
    MAX_INFORMATIONAL_HEADS,
    EndpointConnection,
)
from message_relay.http.errors import AgentError

from ..loopback import Agent as FakeAgent
from ..loopback import Client, Server, answer, host_of, listing, message, run, until


def test_list_of_maximum_length_is_accepted_and_a_longer_one_is_rejected_and_logged(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.WARNING)

    async def work() -> None:
        (tmp_path / "state").mkdir()
        agent, old, new = await FakeAgent().start(), await Server().start(), await Server().start()
        host = host_of(tmp_path / "state", agent, old)
        await host.start()
        longest = json.dumps(listing(new, generation=2)).ljust(ANSWER_BYTES)
        agent.changes.put_nowait(answer(200, body=longest))
        await until(lambda: host.register.version == 2)
        assert {known.address for known in host.directory.by_name.values()} == {new.address}
        longer = json.dumps(listing(old, generation=3)).ljust(ANSWER_BYTES + 1)
        agent.changes.put_nowait(answer(200, body=longer))
        warning = f"the answer is too long: {ANSWER_BYTES + 1} bytes, {ANSWER_BYTES} at most"
        await until(lambda: warning in caplog.text)
        assert host.register.version == 2  # the known list stays in use
        async with Client(host.ingress.port) as client:
            assert await client.send(message("m")) == 202
        await until(lambda: len(new.seen) == 1)
        agent.changes.put_nowait(answer(200, body=json.dumps(listing(old, generation=4))))
        await until(lambda: host.register.version == 4)
        await host.close()

    run(work())


async def response_to(reply: bytes) -> tuple[int, bytes]:
    """Requests something from a fake agent that answers with these bytes, in one write."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(reply)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    agent = AgentClient(server.sockets[0].getsockname()[:2])
    try:
        return await agent.request("GET", "/", b"", 30.0)
    finally:
        agent.close()
        server.close()


@pytest.mark.parametrize("size", (1024, 1))
def test_response_of_many_chunks_leaves_turns_to_others(size: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Any number of chunks is accepted, but no turn handles more than MAX_EVENTS_PER_TURN: before, many tiny
    ones were refused, lest they block the loop."""
    count = 4 * MAX_EVENTS_PER_TURN
    events_by_turn: Counter[int] = Counter()
    turn = 0
    handle_event = EndpointConnection._handle_event

    def counted(self: EndpointConnection, event: Any) -> bool:
        events_by_turn[turn] += 1
        return handle_event(self, event)

    def next_turn() -> None:
        nonlocal turn
        turn += 1
        asyncio.get_running_loop().call_soon(next_turn)

    monkeypatch.setattr(EndpointConnection, "_handle_event", counted)

    async def work() -> None:
        next_turn()
        chunk = f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        assert await response_to(head + chunk * count + b"0\r\n\r\n") == (200, b"x" * size * count)
        assert max(events_by_turn.values()) <= MAX_EVENTS_PER_TURN
        assert sum(events_by_turn.values()) > count

    run(work())


@pytest.mark.parametrize("count", (MAX_INFORMATIONAL_HEADS, MAX_INFORMATIONAL_HEADS + 1))
def test_response_may_have_many_informational_heads_but_not_an_endless_number(count: int) -> None:
    async def work() -> None:
        reply = b"HTTP/1.1 103 Early Hints\r\n\r\n" * count + b"HTTP/1.1 204 No Content\r\n\r\n"
        if count > MAX_INFORMATIONAL_HEADS:
            with pytest.raises(AgentError, match="too many informational heads"):
                await response_to(reply)
        else:
            assert await response_to(reply) == (204, b"")

    run(work())

"""Tests limits at their boundaries: a value just inside works, one just outside is rejected and logged."""

from __future__ import annotations

import asyncio
import json
import logging
from pathlib import Path

import pytest

from message_relay.http.agent import ANSWER_BYTES, AgentClient
from message_relay.http.connection import BYTES_PER_EXTRA_PIECE, MAX_PIECES
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


@pytest.mark.parametrize("size", (BYTES_PER_EXTRA_PIECE, 1))
def test_long_response_may_have_many_pieces_but_not_many_tiny_ones(size: int) -> None:
    count = 4 * MAX_PIECES

    async def work() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            chunk = f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(head + chunk * count + b"0\r\n\r\n")

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        agent = AgentClient(server.sockets[0].getsockname()[:2])
        response = agent.request("GET", "/", b"", 30.0)
        if size == 1:
            with pytest.raises(AgentError, match="too many pieces"):
                await response
        else:
            assert await response == (200, b"x" * size * count)
        agent.close()
        server.close()

    run(work())

"""Each row of the protocol's table of outcomes, and which results prove that nothing ran."""

from __future__ import annotations

import asyncio
import socket

import pytest

from message_relay.core.ports import AttemptResult
from message_relay.decisions.model import Outcome
from message_relay.http import endpoint_client
from message_relay.http.connection import MAX_HEADER_FIELDS, EndpointConnection
from message_relay.http.endpoint_client import MAX_BODY_BYTES

from ..loopback import OK, Server, answer, run, until
from .harness import make_attempt, make_client


@pytest.mark.parametrize(
    ("reply", "expected"),
    [
        (OK, AttemptResult(Outcome.OK, is_finished=True)),
        (answer(500), AttemptResult(Outcome.ERROR)),
        (answer(429, "X-RateLimit-Wait-Ms: 350"), AttemptResult(Outcome.FULL, retry_after_ms=350.0)),
        (answer(429), AttemptResult(Outcome.FULL)),
        (answer(429, "X-RateLimit-Wait-Ms: nan"), AttemptResult(Outcome.FULL)),
        (
            answer(429, "X-RateLimit-Wait-Ms: 7200000.5"),
            AttemptResult(Outcome.FULL, retry_after_ms=7200000.5),
        ),
        (answer(503), AttemptResult(Outcome.FULL)),
        (answer(503, "X-RateLimit-Wait-Ms: 350"), AttemptResult(Outcome.FULL, retry_after_ms=350.0)),
        (answer(503, "X-Over-Slots: 1"), AttemptResult(Outcome.NOT_SENT, no_connection_slot=True)),
        (answer(504), AttemptResult(Outcome.NOT_SENT)),
        (answer(410), AttemptResult(Outcome.NOT_SENT, is_finished=True)),
        (answer(400), AttemptResult(Outcome.ERROR)),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, AttemptResult(Outcome.OK, is_finished=True)),
        (b"rubbish\r\n\r\n", AttemptResult(Outcome.RESET)),
        ("reset", AttemptResult(Outcome.RESET)),
        ("close", AttemptResult(Outcome.RESET)),
    ],
)
def test_result_of_response_or_end_after_last_byte(reply: bytes | str, expected: AttemptResult) -> None:
    async def work() -> None:
        server = await Server().start()
        server.script.append(reply)
        assert await make_client().attempt(make_attempt(server.address)) == expected
        assert server.seen[0].headers["x-trace-id"] == "id"
        assert server.seen[0].headers["idempotency-key"] == "key" and server.seen[0].body == b"b"
        assert 0 < int(server.seen[0].headers["x-expires-in-ms"]) <= 20000

    run(work())


HEAD = b"HTTP/1.1 200 X\r\n"
FULL = b"HTTP/1.1 429 X\r\nX-RateLimit-Wait-Ms: 350\r\n"


@pytest.mark.parametrize(
    ("reply", "expected"),
    [
        # The status line is valid, whatever follows it.
        (HEAD + b"Content-Length: x\r\n\r\n", AttemptResult(Outcome.OK, is_finished=True)),
        (HEAD + b"Content-Length: -1\r\n\r\n", AttemptResult(Outcome.OK, is_finished=True)),
        (
            HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
            AttemptResult(Outcome.OK, is_finished=True),
        ),
        (HEAD + b"Content-Length: 9\r\n\r\nx", AttemptResult(Outcome.OK, is_finished=True)),
        (
            HEAD + b"Content-Length: 3000000000\r\n\r\n" + b"x" * 300000,
            AttemptResult(Outcome.OK, is_finished=True),
        ),
        (
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 9000,
            AttemptResult(Outcome.OK, is_finished=True),
        ),
        (HEAD + b"\x00\xff: \x01\r\n\r\n", AttemptResult(Outcome.OK, is_finished=True)),
        (HEAD + b"X-A: " + b"a" * 40000, AttemptResult(Outcome.OK, is_finished=True)),
        (HEAD + b"X-A: it goes on, but not now", AttemptResult(Outcome.OK, is_finished=True)),
        (
            b"HTTP/1.1 103 X\r\nLink: x\r\n\r\n" * 3 + HEAD + b"\xff\r\n\r\n",
            AttemptResult(Outcome.OK, is_finished=True),
        ),
        (b"HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n" + OK, AttemptResult(Outcome.OK, is_finished=True)),
        # Without a valid status line the request may have run: malformed bytes never prove a rejection.
        (b"\x00\x01\x02 HTTP/1.1 200 X\r\n\r\n", AttemptResult(Outcome.RESET)),
        (b"HTTP/1.1 2000 X\r\n\r\n", AttemptResult(Outcome.RESET)),
        (b"X-A: HTTP/1.1 200 X\r\n" * 3000, AttemptResult(Outcome.RESET)),
        (b"HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n", AttemptResult(Outcome.RESET)),
        (b"HTTP/1.1 100 X\r\n\r\n" * 3000 + OK, AttemptResult(Outcome.RESET)),
        (b"HTTP/1.1 503 X\r\nContent-Length: x\r\n\r\n", AttemptResult(Outcome.RESET)),
        (b"HTTP/1.1 503 X\r\n" + b"X-A: " + b"a" * 40000, AttemptResult(Outcome.RESET)),
        (
            FULL + b"Content-Length: 3000000000\r\n\r\n" + b"x" * 300000,
            AttemptResult(Outcome.RESET, retry_after_ms=350.0),
        ),
        (FULL + b"Content-Length: 9\r\n\r\nx", AttemptResult(Outcome.TIMEOUT, retry_after_ms=350.0)),
    ],
)
def test_result_of_malformed_response(
    monkeypatch: pytest.MonkeyPatch, reply: bytes, expected: AttemptResult
) -> None:
    """The endpoint leaves the connection open and sends nothing more on it."""
    monkeypatch.setattr(endpoint_client, "BODY_TIMEOUT_S", 0.1)

    async def work() -> None:
        server, client = await Server().start(), make_client()
        server.script.append(reply)
        assert await client.attempt(make_attempt(server.address)) == expected
        assert await client.attempt(make_attempt(server.address)) == AttemptResult(
            Outcome.OK, is_finished=True
        )
        assert [seen.connection for seen in server.seen] == [1, 2]
        await until(lambda: server.readers[0].at_eof() or server.readers[0].exception() is not None)

    run(work())


def test_unread_second_response_is_not_used_for_next_attempt() -> None:
    """Guards against a false delivery: a copy of the response arrives once the connection is pooled."""

    async def work() -> None:
        server, client = await Server().start(), make_client()
        assert (await client.attempt(make_attempt(server.address))).outcome is Outcome.OK
        (connection,) = client.pool.idle_by_endpoint[1, server.address]
        server.script.append(answer(500))
        server.writers[0].write(OK)  # the loop does not run in between, so it is in the socket and unread
        assert not connection.has_no_unread_input and connection.is_usable
        assert (await client.attempt(make_attempt(server.address))).outcome is Outcome.ERROR
        assert server.opened == 2

    run(work())


class OneRequestServer:
    """Answers one request per connection, then sends `end`, or resets if None; counts complete requests."""

    def __init__(self, end: bytes | None, first: bytes = OK) -> None:
        self.end, self.first, self.complete_requests, self.opened_count = end, first, 0, 0

    async def start(self) -> tuple[str, int]:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return tuple(server.sockets[0].getsockname()[:2])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened_count += 1
        await reader.readuntil(b"\r\n\r\nb")
        self.complete_requests += 1
        writer.write(self.first)
        await reader.read(1)
        if self.end is None:
            writer.transport.abort()
        else:
            writer.write(self.end)


@pytest.mark.parametrize("end", [None, OK, answer(503)])
def test_unsafe_attempt_survives_reused_connection_that_breaks_before_last_byte(
    monkeypatch: pytest.MonkeyPatch, end: bytes | None
) -> None:
    """For an unsafe message a reset after the last byte would be final, and so would a stray 200."""
    monkeypatch.setattr(endpoint_client, "UNSAFE_WITHHOLD_S", 1.0)

    async def work() -> None:
        server, client, permission_checks = OneRequestServer(end), make_client(), list[int]()

        def may_write() -> bool:
            permission_checks.append(1)
            return True

        address = await server.start()
        assert (await client.attempt(make_attempt(address))).outcome is Outcome.OK
        result = await client.attempt(make_attempt(address, ambiguity_is_final=True, may_write=may_write))
        assert result == AttemptResult(Outcome.OK, is_finished=True)
        assert server.complete_requests == server.opened_count == 2 and len(permission_checks) == 3

    run(work())


def test_new_connection_broken_before_last_byte_proves_no_effect(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoint_client, "UNSAFE_WITHHOLD_S", 1.0)

    async def work() -> None:
        async def drop(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(1)
            writer.transport.abort()

        server = await asyncio.start_server(drop, "127.0.0.1", 0)
        result = await make_client().attempt(
            make_attempt(server.sockets[0].getsockname(), ambiguity_is_final=True)
        )
        assert result.outcome is Outcome.CONNECT_FAILED

    run(work())


def test_attempt_is_withheld_if_permission_ends_before_last_byte() -> None:
    """Retry-After times and idempotency windows count from the last byte."""

    async def work() -> None:
        server, client, permissions = await Server().start(), make_client(), iter([True, False])
        assert await client.attempt(
            make_attempt(server.address, ambiguity_is_final=True, may_write=lambda: next(permissions))
        ) == AttemptResult(Outcome.NOT_SENT, is_withheld=True)
        await until(server.is_disconnected)
        assert server.opened == 1 and not server.seen and not client.pool.idle_by_endpoint

    run(work())


def test_last_byte_is_withheld_on_reused_connections_after_a_break(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(endpoint_client, "WITHHOLD_S", 1.0)

    async def work() -> None:
        server, client = OneRequestServer(None), make_client()
        address = await server.start()
        assert (await client.attempt(make_attempt(address))).outcome is Outcome.OK
        # The first break: no byte was withheld.
        assert (await client.attempt(make_attempt(address))).outcome is Outcome.RESET
        assert (await client.attempt(make_attempt(address))).outcome is Outcome.OK
        assert (await client.attempt(make_attempt(address))).outcome is Outcome.OK
        assert server.complete_requests == server.opened_count == 3

    run(work())


def test_endpoint_at_reused_address_gets_own_connections() -> None:
    """Guards against reuse of the previous endpoint's connections, even one whose response is incomplete."""

    async def work() -> None:
        server, client = await Server().start(), make_client()
        server.script += [OK, b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\na"]
        await asyncio.gather(*(client.attempt(make_attempt(server.address)) for _ in range(2)))
        assert (await client.attempt(make_attempt(server.address, endpoint=2))).outcome is Outcome.OK
        client.retain_only({(2, server.address)})
        server.writers[1].write(b"a")
        await until(
            lambda: all(reader.at_eof() or reader.exception() is not None for reader in server.readers[:2])
        )
        assert server.opened == 3 and set(client.pool.idle_by_endpoint) == {(2, server.address)}

    run(work())


def test_silent_endpoint_times_out_and_connection_is_closed() -> None:
    async def work() -> None:
        server = await Server(default_reply=None).start()
        client = make_client()
        assert (await client.attempt(make_attempt(server.address, 0.2))).outcome is Outcome.TIMEOUT
        assert not client.pool.idle_by_endpoint

    run(work())


def test_refused_connection_proves_no_effect() -> None:
    async def work() -> None:
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            result = await make_client().attempt(make_attempt(closed.getsockname()))
        assert result.outcome is Outcome.CONNECT_FAILED

    run(work())


@pytest.mark.parametrize(("timeout_s", "connect_ms"), [(20.0, 100.0), (0.1, 20000.0)])
def test_connect_timeout_proves_no_effect(timeout_s: float, connect_ms: float) -> None:
    async def work() -> None:
        with socket.socket() as full:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            queued = [socket.socket() for _ in range(4)]  # fills the queue: other connections get no reply
            for sock in queued:
                sock.setblocking(False)
                sock.connect_ex(full.getsockname())
            result = await make_client(connect_ms=connect_ms).attempt(
                make_attempt(full.getsockname(), timeout_s)
            )
            for sock in queued:
                sock.close()
        assert result.outcome is Outcome.CONNECT_FAILED

    run(work())


def test_break_while_writing_proves_no_effect() -> None:
    async def work() -> None:
        async def drop(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(10)
            writer.transport.abort()

        server = await asyncio.start_server(drop, "127.0.0.1", 0)
        big = b"x" * (64 << 20)  # more than the socket buffers can hold
        result = await make_client().attempt(make_attempt(server.sockets[0].getsockname(), body=big))
        assert result.outcome is Outcome.CONNECT_FAILED

    run(work())


def test_timeout_while_writing_proves_no_effect() -> None:
    async def work() -> None:
        async def never_read(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(60)

        server = await asyncio.start_server(never_read, "127.0.0.1", 0)
        big = b"x" * (64 << 20)
        result = await make_client().attempt(make_attempt(server.sockets[0].getsockname(), 0.3, body=big))
        assert result.outcome is Outcome.CONNECT_FAILED

    run(work())


def test_attempt_is_withheld_if_permission_ends_while_connecting() -> None:
    """A drain, a Retry-After or the deadline may take effect while connecting. The connection is pooled."""

    async def work() -> None:
        server, client = await Server().start(), make_client()
        result = await client.attempt(make_attempt(server.address, may_write=lambda: False))
        assert result == AttemptResult(Outcome.NOT_SENT, is_withheld=True)
        assert (await client.attempt(make_attempt(server.address))).outcome is Outcome.OK
        assert len(server.seen) == 1 and server.opened == 1

    run(work())


@pytest.mark.parametrize(
    ("fields", "outcome"), [(MAX_HEADER_FIELDS - 1, Outcome.ERROR), (MAX_HEADER_FIELDS, Outcome.RESET)]
)
def test_fields_of_a_response_head_are_limited(fields: int, outcome: Outcome) -> None:
    """A head of thousands of short fields would be parsed in one turn of the loop."""
    head = b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n" + b"x:\r\n" * fields + b"\r\n"

    async def work() -> None:
        server = await Server(default_reply=head).start()
        result = await make_client().attempt(make_attempt(server.address))
        assert result.outcome is outcome

    run(work())


def test_the_body_of_a_response_to_an_attempt_is_not_kept() -> None:
    async def work() -> None:
        server = await Server(default_reply=answer(500, body="x" * 60_000)).start()
        connection = await EndpointConnection.open(server.address, MAX_BODY_BYTES, keeps_body=False)
        _, body = await connection.request("POST", "/inbox", [("Host", "x")], b"")
        assert body == b"" and connection.received_body_bytes == 60_000
        connection.close()

    run(work())

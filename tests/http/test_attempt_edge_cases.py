"""Attempts that end at critical moments, and endpoints that accept few connections."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from message_relay.core.ports import AttemptResult
from message_relay.decisions.events import AttemptCompleted, EndpointList
from message_relay.decisions.model import Endpoint, Listing, ListKind, Outcome
from message_relay.http.attempt_results import parse_load_report
from message_relay.http.connection import EndpointConnection
from message_relay.http.endpoint_client import EndpointClient
from message_relay.http.endpoint_messages import ResponseHead
from message_relay.http.keep_alive import REJECTION_MEMORY_S, KeepAlivePolicy, is_connection_rejection

from ..conftest import Driver, make_settings
from ..loopback import OK, Server, answer, run, until
from .harness import make_attempt

CONNECTION_REJECTED = answer(503, "Connection: close")


# -- whether the attempt may have run ----------------------------------------------------------------------


def test_attempt_that_times_out_as_last_byte_leaves_may_have_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """The buffer is flushed and the timeout expires in the same loop iteration, so the task resumes with the
    timeout. When the end of `_write_request` counted as the sending of the last byte, the outcome was
    CONNECT_FAILED, which proves that nothing ran, although the endpoint had the complete request."""
    size = 8 << 20
    recorded_timeouts: list[asyncio.Timeout] = []
    timeout_at, resume = asyncio.timeout_at, EndpointConnection.resume_writing

    def recorded_timeout_at(when: float | None) -> asyncio.Timeout:
        recorded_timeouts.append(timeout_at(when))
        return recorded_timeouts[-1]

    def expire_and_resume(self: EndpointConnection) -> None:
        recorded_timeouts[0].reschedule(asyncio.get_running_loop().time() - 1)
        resume(self)

    monkeypatch.setattr(asyncio, "timeout_at", recorded_timeout_at)
    monkeypatch.setattr(EndpointConnection, "resume_writing", expire_and_resume)

    async def work() -> None:
        received, may_read = asyncio.Queue[int](), asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await may_read.wait()
            received.put_nowait(len(await reader.read()))
            writer.close()

        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.bind(("127.0.0.1", 0))
        server = await asyncio.start_server(serve, sock=sock, limit=1 << 16)
        attempt = asyncio.ensure_future(
            EndpointClient(60000.0, 20000.0, 10).attempt(make_attempt(sock.getsockname(), body=b"x" * size))
        )
        await until(lambda: bool(recorded_timeouts))
        may_read.set()
        assert (await attempt).outcome is Outcome.TIMEOUT
        assert await received.get() > size  # the endpoint got the complete request, including the head
        server.close()

    run(work())


def test_attempt_that_times_out_before_last_byte_proves_no_effect() -> None:
    """The endpoint reads nothing: most of a large request is still in the buffer at the timeout."""

    async def work() -> None:
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        result = await EndpointClient(60000.0, 20000.0, 10).attempt(
            make_attempt(sock.getsockname(), body=b"x" * (32 << 20), seconds=0.2)
        )
        assert result == AttemptResult(Outcome.CONNECT_FAILED)
        sock.close()

    run(work())


def test_connection_established_after_timeout_carries_no_request() -> None:
    """The listener's queue is full, so the connection is established only once others were accepted."""

    async def work() -> None:
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        sock.listen(0)
        queued = [socket.socket() for _ in range(2)]
        for queued_sock in queued:
            queued_sock.setblocking(False)
            queued_sock.connect_ex(sock.getsockname())
        result = await EndpointClient(60000.0, 20000.0, 10).attempt(
            make_attempt(sock.getsockname(), seconds=0.3)
        )
        assert result == AttemptResult(Outcome.CONNECT_FAILED)
        sock.setblocking(False)
        loop, received = asyncio.get_running_loop(), list[bytes]()
        for _ in queued:
            accepted, _ = await loop.sock_accept(sock)
            accepted.setblocking(False)
            with pytest.raises(BlockingIOError):
                received.append(accepted.recv(100))
            accepted.close()
        assert not received
        for queued_sock in (*queued, sock):
            queued_sock.close()

    run(work())


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (b"HTTP/1.1 20", Outcome.RESET),
        (b"HTTP/1.1 429 X\r\nX-RateLimit-Wa", Outcome.RESET),
        (b"HTTP/1.1 429 X\r\nContent-Length: 10\r\n\r\nabc", Outcome.RESET),
        (b"HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", Outcome.RESET),
    ],
)
def test_truncated_response_proves_nothing(reply: bytes, outcome: Outcome) -> None:
    async def work() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\nb")
            writer.write(reply)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        result = await EndpointClient(60000.0, 20000.0, 10).attempt(
            make_attempt(server.sockets[0].getsockname()[:2])
        )
        assert result.outcome is outcome and not result.outcome.proves_no_effect
        server.close()

    run(work())


# -- withheld attempts --------------------------------------------------------------------------------------


def test_attempt_withheld_by_drain_does_not_count() -> None:
    """Ten endpoints drain while connections to them are established: the message keeps all its attempts, and
    is sent to the next endpoint. When each of them counted, it failed after five of five attempts."""
    driver = Driver(make_settings(max_attempts=5))
    driver.listed(*((n, 1) for n in range(1, 12)))
    message_id = driver.message()
    for _ in range(10):
        send = driver.out[message_id]
        withheld = AttemptCompleted(message_id, 0, send.endpoint, Outcome.NOT_SENT, was_withheld=True)
        driver.feed(
            EndpointList(ListKind.CHANGES, (Endpoint(send.endpoint, 1, Listing.DRAINING),)),
            withheld,
        )
        del driver.out[message_id]
        driver.pass_time(500)
    assert message_id in driver.out and message_id not in driver.final_actions


def test_attempt_rejected_unsent_by_endpoint_counts() -> None:
    driver = Driver(make_settings(max_attempts=3))
    driver.listed((1, 1))
    message_id = driver.message()
    for _ in range(3):
        driver.feed(AttemptCompleted(message_id, 0, driver.out.pop(message_id).endpoint, Outcome.NOT_SENT))
        driver.pass_time(3000)
    assert message_id in driver.final_actions


# -- endpoints that accept few connections -----------------------------------------------------------------


class ServerWithConnectionLimit(Server):
    """An endpoint that accepts `max_connections` connections, including idle ones."""

    def __init__(self, max_connections: int) -> None:
        super().__init__()
        self.max_connections, self.open_count, self.rejected_count, self.gate = (
            max_connections,
            0,
            0,
            asyncio.Event(),
        )
        self.gate.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_count += 1
        try:
            if self.open_count > self.max_connections:
                self.rejected_count += 1
                await reader.readuntil(b"\r\n\r\nb")
                writer.write(CONNECTION_REJECTED)
                writer.close()
                return
            await super()._serve(reader, writer)
        finally:
            self.open_count -= 1

    async def reply(self, seen: Any) -> bytes:
        await self.gate.wait()
        return OK


async def attempt_at_all(relays: list[EndpointClient], *servers: Server) -> int:
    """Each relay makes attempts at each endpoint, each starting at a different one, until all have succeeded.

    Returns the number of rejections.
    """

    async def attempt_at_each(first: int, client: EndpointClient) -> int:
        rejections = 0
        for n in [(first + step) % len(servers) for step in range(len(servers))]:
            server = servers[n]
            while (await client.attempt(make_attempt(server.address, endpoint=n))).outcome is Outcome.FULL:
                rejections += 1
                assert rejections < 200, "idle connections of others occupy its slot"
                await asyncio.sleep(0)
        return rejections

    return sum(await asyncio.gather(*(attempt_at_each(n, client) for n, client in enumerate(relays))))


def test_idle_connections_are_given_up_where_endpoints_accept_few() -> None:
    """Six relays, two endpoints with three slots each. When idle connections were kept, three of six relays
    were rejected every time."""

    async def work() -> None:
        limited_servers = [ServerWithConnectionLimit(3), ServerWithConnectionLimit(3)]
        for server in limited_servers:
            await server.start()
        relays = [EndpointClient(60000.0, 20000.0, 10) for _ in range(6)]
        for _ in range(3):
            await attempt_at_all(relays, *limited_servers)
        assert not any(client.pool.idle_by_age for client in relays)
        for client in relays:
            client.close()

    run(work())


def test_idle_connections_to_endpoints_of_rejecting_kind_are_closed() -> None:
    """The relay itself is not rejected by an endpoint where it has a slot."""

    async def work() -> None:
        accepting, full, other = Server(), Server(default_reply=CONNECTION_REJECTED), Server()
        for server in (accepting, full, other):
            await server.start()
        client = EndpointClient(60000.0, 20000.0, 10)
        await client.attempt(make_attempt(accepting.address, endpoint=1, kind="small"))
        await client.attempt(make_attempt(other.address, endpoint=2, kind="large"))
        await until(lambda: len(client.pool.idle_by_age) == 2)
        result = await client.attempt(make_attempt(full.address, endpoint=3, kind="small"))
        assert result.outcome is Outcome.FULL
        assert [key[0] for key in client.pool.idle_by_age.values()] == [
            2
        ]  # the other kind rejected no connection
        await until(accepting.is_disconnected)
        client.close()

    run(work())


def test_other_rejections_do_not_close_idle_connections() -> None:
    assert is_connection_rejection(503, {"connection": "Close"}, 1, 0.0)
    assert not is_connection_rejection(503, {}, 1, 0.0)  # above a limit, closed, or its queue is full
    assert not is_connection_rejection(503, {"connection": "close"}, 2, 0.0)  # the connection had a slot
    assert not is_connection_rejection(
        503, {"connection": "close"}, 1, 300.0
    )  # with a wait time: not for lack of slots
    assert not is_connection_rejection(429, {"connection": "close"}, 1, 0.0)


def test_connection_rejection_is_remembered_for_a_while() -> None:
    policy = KeepAlivePolicy()
    assert (
        policy.allows_idle("k", 0.0)
        and policy.record_rejection("k", 10.0)
        and not policy.record_rejection("k", 20.0)
    )
    assert not policy.allows_idle("k", 20.0 + REJECTION_MEMORY_S) and policy.allows_idle(
        "k", 20.1 + REJECTION_MEMORY_S
    )
    assert policy.allows_idle("other", 20.0)


# -- load reports ------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("text", "report"),
    [
        ("TEXT x0=0.852, x1=482.401", (0.852, 482.401)),
        ("TEXT x1=2,x0=1", (1.0, 2.0)),
        ("TEXT x0=0.5", ()),
        ("TEXT x0=nan, x1=2", ()),
        ("TEXT x0=-1, x1=2", ()),
        ("TEXT x0=1e999, x1=2", ()),
        ("JSON x0=1, x1=2", ()),
        ("\xff", ()),
        ("", ()),
        ("TEXT x0=0.5, x1=2, x9=y", (0.5, 2.0)),
    ],
)
def test_load_report_is_parsed_in_order_of_settings(text: str, report: tuple[float, ...]) -> None:
    assert parse_load_report(ResponseHead(200, {"endpoint-load-metrics": text}), ("x0", "x1")) == report
    assert parse_load_report(ResponseHead(200, {"endpoint-load-metrics": text}), ()) == ()


@pytest.mark.parametrize("status", (200, 429, 500))
def test_any_response_may_carry_load_report(status: int) -> None:
    async def work() -> None:
        server = await Server(
            default_reply=answer(status, "Endpoint-Load-Metrics: TEXT x0=0.4, x1=25")
        ).start()
        client = EndpointClient(60000.0, 20000.0, 10, report_fields=("x0", "x1"))
        assert (await client.attempt(make_attempt(server.address))).load_report == (0.4, 25.0)
        client.close()

    run(work())

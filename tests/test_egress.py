"""Each row of the protocol's table of outcomes, and what a pooled connection may and may not be used for."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest

from message_relay.core.ports import Attempt, AttemptResult
from message_relay.decisions.model import Outcome
from message_relay.http import endpoint_client as egress_module
from message_relay.http.endpoint_client import EndpointClient

from .loopback import OK, Server, answer, run, until


def call(
    address: tuple[str, int],
    seconds: float = 20.0,
    may: Callable[[], bool] = lambda: True,
    body: bytes = b"b",
    endpoint: int = 1,
    careful: bool = False,
) -> Attempt:
    until = asyncio.get_running_loop().time() + seconds
    return Attempt(endpoint, address, "id", "key", body, until, may, careful)


def egress(idle_ms: float = 60000.0, connect_ms: float = 20000.0, most: int = 10) -> EndpointClient:
    return EndpointClient(idle_ms, connect_ms, most)


@pytest.mark.parametrize(
    ("reply", "expected"),
    [
        (OK, AttemptResult(Outcome.OK, finished=True)),
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
        (answer(410), AttemptResult(Outcome.NOT_SENT, finished=True)),
        (answer(400), AttemptResult(Outcome.ERROR)),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, AttemptResult(Outcome.OK, finished=True)),
        (b"rubbish\r\n\r\n", AttemptResult(Outcome.RESET)),
        ("reset", AttemptResult(Outcome.RESET)),
        ("close", AttemptResult(Outcome.RESET)),
    ],
)
def test_an_answer_or_an_end_after_the_last_byte(reply: bytes | str, expected: AttemptResult) -> None:
    async def work() -> None:
        server = await Server().start()
        server.script.append(reply)
        assert await egress().attempt(call(server.address)) == expected
        assert server.seen[0].headers["x-trace-id"] == "id"
        assert server.seen[0].headers["idempotency-key"] == "key" and server.seen[0].body == b"b"
        assert 0 < int(server.seen[0].headers["x-expires-in-ms"]) <= 20000

    run(work())


HEAD = b"HTTP/1.1 200 X\r\n"
FULL = b"HTTP/1.1 429 X\r\nX-RateLimit-Wait-Ms: 350\r\n"


@pytest.mark.parametrize(
    ("reply", "expected"),
    [
        # The first line tells the truth, whatever comes after it.
        (HEAD + b"Content-Length: x\r\n\r\n", AttemptResult(Outcome.OK, finished=True)),
        (HEAD + b"Content-Length: -1\r\n\r\n", AttemptResult(Outcome.OK, finished=True)),
        (HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n", AttemptResult(Outcome.OK, finished=True)),
        (HEAD + b"Content-Length: 9\r\n\r\nx", AttemptResult(Outcome.OK, finished=True)),
        (
            HEAD + b"Content-Length: 3000000000\r\n\r\n" + b"x" * 300000,
            AttemptResult(Outcome.OK, finished=True),
        ),
        (
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 9000,
            AttemptResult(Outcome.OK, finished=True),
        ),
        (HEAD + b"\x00\xff: \x01\r\n\r\n", AttemptResult(Outcome.OK, finished=True)),
        (HEAD + b"X-A: " + b"a" * 40000, AttemptResult(Outcome.OK, finished=True)),
        (HEAD + b"X-A: it goes on, but not now", AttemptResult(Outcome.OK, finished=True)),
        (
            b"HTTP/1.1 103 X\r\nLink: x\r\n\r\n" * 3 + HEAD + b"\xff\r\n\r\n",
            AttemptResult(Outcome.OK, finished=True),
        ),
        (b"HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n" + OK, AttemptResult(Outcome.OK, finished=True)),
        # Without that, it is a call that may have run: noise never proves a refusal.
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
def test_a_spoilt_answer(monkeypatch: pytest.MonkeyPatch, reply: bytes, expected: AttemptResult) -> None:
    """The endpoint leaves the connection open; nothing more is ever sent on it."""
    monkeypatch.setattr(egress_module, "BODY_TIMEOUT_S", 0.1)

    async def work() -> None:
        server, calls = await Server().start(), egress()
        server.script.append(reply)
        assert await calls.attempt(call(server.address)) == expected
        assert await calls.attempt(call(server.address)) == AttemptResult(Outcome.OK, finished=True)
        assert [seen.connection for seen in server.seen] == [1, 2]
        await until(lambda: server.readers[0].at_eof() or server.readers[0].exception() is not None)

    run(work())


def test_a_second_answer_that_lies_unread_is_not_the_next_calls() -> None:
    """Guards against a delivery that never was: the copy came after the pool had the connection back."""

    async def work() -> None:
        server, calls = await Server().start(), egress()
        assert (await calls.attempt(call(server.address))).outcome is Outcome.OK
        (link,) = calls.pool.idle_by_endpoint[1, server.address]
        server.script.append(answer(500))
        server.writers[0].write(OK)  # the loop is not left in between: it lies in the socket, not yet read
        assert not link.has_no_unread_input and link.is_usable
        assert (await calls.attempt(call(server.address))).outcome is Outcome.ERROR
        assert server.opened == 2

    run(work())


class Brittle:
    """Answers one request on each connection; what comes next meets `end`. Sees requests only when whole."""

    def __init__(self, end: bytes | None, first: bytes = OK) -> None:
        self.end, self.first, self.whole, self.opened = end, first, 0, 0

    async def start(self) -> tuple[str, int]:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return tuple(server.sockets[0].getsockname()[:2])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        await reader.readuntil(b"\r\n\r\nb")
        self.whole += 1
        writer.write(self.first)
        await reader.read(1)
        if self.end is None:
            writer.transport.abort()
        else:
            writer.write(self.end)


@pytest.mark.parametrize("end", [None, OK, answer(503)])
def test_a_kept_connection_that_breaks_before_the_last_byte_costs_a_careful_call_nothing(
    monkeypatch: pytest.MonkeyPatch, end: bytes | None
) -> None:
    """Guards unsafe messages: a reset after the last byte would be final, and so would a stray 200."""
    monkeypatch.setattr(egress_module, "UNSAFE_WITHHOLD_S", 1.0)

    async def work() -> None:
        server, calls, asked = Brittle(end), egress(), list[int]()

        def may() -> bool:
            asked.append(1)
            return True

        address = await server.start()
        assert (await calls.attempt(call(address))).outcome is Outcome.OK
        got = await calls.attempt(call(address, careful=True, may=may))
        assert got == AttemptResult(Outcome.OK, finished=True)
        assert server.whole == server.opened == 2 and len(asked) == 3

    run(work())


def test_a_new_connection_that_breaks_before_the_last_byte_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(egress_module, "UNSAFE_WITHHOLD_S", 1.0)

    async def work() -> None:
        async def drop(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(1)
            writer.transport.abort()

        server = await asyncio.start_server(drop, "127.0.0.1", 0)
        got = await egress().attempt(call(server.sockets[0].getsockname(), careful=True))
        assert got.outcome is Outcome.CONNECT_FAILED

    run(work())


def test_what_changed_while_the_last_byte_was_held_back_stops_the_call() -> None:
    """Guards told waits and key windows, which count from the last byte."""

    async def work() -> None:
        server, calls, may = await Server().start(), egress(), iter([True, False])
        assert await calls.attempt(
            call(server.address, careful=True, may=lambda: next(may))
        ) == AttemptResult(Outcome.NOT_SENT, withheld=True)
        await until(server.left)
        assert server.opened == 1 and not server.seen and not calls.pool.idle_by_endpoint

    run(work())


def test_while_connections_break_every_call_on_a_kept_one_holds_its_last_byte(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(egress_module, "WITHHOLD_S", 1.0)

    async def work() -> None:
        server, calls = Brittle(None), egress()
        address = await server.start()
        assert (await calls.attempt(call(address))).outcome is Outcome.OK
        assert (await calls.attempt(call(address))).outcome is Outcome.RESET  # the first one tells
        assert (await calls.attempt(call(address))).outcome is Outcome.OK
        assert (await calls.attempt(call(address))).outcome is Outcome.OK
        assert server.whole == server.opened == 3

    run(work())


def test_an_endpoint_at_the_address_of_another_gets_connections_of_its_own() -> None:
    """Guards against a call on its predecessor's connection, also one whose answer was still coming."""

    async def work() -> None:
        server, calls = await Server().start(), egress()
        server.script += [OK, b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\na"]
        await asyncio.gather(*(calls.attempt(call(server.address)) for _ in range(2)))
        assert (await calls.attempt(call(server.address, endpoint=2))).outcome is Outcome.OK
        calls.retain_only({(2, server.address)})
        server.writers[1].write(b"a")
        await until(
            lambda: all(reader.at_eof() or reader.exception() is not None for reader in server.readers[:2])
        )
        assert server.opened == 3 and set(calls.pool.idle_by_endpoint) == {(2, server.address)}

    run(work())


def test_a_silent_endpoint_is_timed_out_and_its_connection_closed() -> None:
    async def work() -> None:
        server = await Server(usual=None).start()
        calls = egress()
        assert (await calls.attempt(call(server.address, 0.2))).outcome is Outcome.TIMEOUT
        assert not calls.pool.idle_by_endpoint

    run(work())


def test_a_refused_connection_never_ran() -> None:
    async def work() -> None:
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            got = await egress().attempt(call(closed.getsockname()))
        assert got.outcome is Outcome.CONNECT_FAILED

    run(work())


@pytest.mark.parametrize(("give_up_s", "connect_ms"), [(20.0, 100.0), (0.1, 20000.0)])
def test_a_connection_that_never_comes_up_never_ran(give_up_s: float, connect_ms: float) -> None:
    async def work() -> None:
        with socket.socket() as full:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            fill = [socket.socket() for _ in range(4)]  # the queue is full: further ones get no reply
            for sock in fill:
                sock.setblocking(False)
                sock.connect_ex(full.getsockname())
            got = await egress(connect_ms=connect_ms).attempt(call(full.getsockname(), give_up_s))
            for sock in fill:
                sock.close()
        assert got.outcome is Outcome.CONNECT_FAILED

    run(work())


def test_a_break_before_the_last_byte_is_written_never_ran() -> None:
    async def work() -> None:
        async def drop(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(10)
            writer.transport.abort()

        server = await asyncio.start_server(drop, "127.0.0.1", 0)
        big = b"x" * (64 << 20)  # more than the sockets between can hold
        got = await egress().attempt(call(server.sockets[0].getsockname(), body=big))
        assert got.outcome is Outcome.CONNECT_FAILED

    run(work())


def test_giving_up_before_the_last_byte_is_written_never_ran() -> None:
    async def work() -> None:
        async def deaf(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(60)

        server = await asyncio.start_server(deaf, "127.0.0.1", 0)
        big = b"x" * (64 << 20)
        got = await egress().attempt(call(server.sockets[0].getsockname(), 0.3, body=big))
        assert got.outcome is Outcome.CONNECT_FAILED

    run(work())


def test_what_changed_while_connecting_stops_the_call_before_its_first_byte() -> None:
    """Guards drains, told waits and deadlines: a connect takes time. The connection is kept for the next."""

    async def work() -> None:
        server, calls = await Server().start(), egress()
        got = await calls.attempt(call(server.address, may=lambda: False))
        assert got == AttemptResult(Outcome.NOT_SENT, withheld=True)
        assert (await calls.attempt(call(server.address))).outcome is Outcome.OK
        assert len(server.seen) == 1 and server.opened == 1

    run(work())


def test_one_connection_serves_call_after_call() -> None:
    async def work() -> None:
        server, calls = await Server().start(), egress()
        for _ in range(5):
            assert (await calls.attempt(call(server.address))).outcome is Outcome.OK
        assert server.opened == 1

    run(work())


def test_calls_at_once_each_have_a_connection_and_the_pool_is_bounded() -> None:
    async def work() -> None:
        server, calls = await Server().start(), egress(most=2)
        got = await asyncio.gather(*(calls.attempt(call(server.address)) for _ in range(5)))
        assert {each.outcome for each in got} == {Outcome.OK}
        assert server.opened == 5 and len(calls.pool.idle_by_endpoint[1, server.address]) == 2

    run(work())


def test_a_pooled_connection_that_was_closed_is_not_used() -> None:
    """Guards against resets for nothing: a request on it would count as sent, and may have run."""

    async def work() -> None:
        opened: list[asyncio.StreamWriter] = []

        async def once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            opened.append(writer)
            await reader.readuntil(b"\r\n\r\nb")
            writer.write(OK)

        server, calls = await asyncio.start_server(once, "127.0.0.1", 0), egress()
        address = server.sockets[0].getsockname()
        assert (await calls.attempt(call(address))).outcome is Outcome.OK
        (link,) = calls.pool.idle_by_endpoint[1, address]
        opened[0].close()
        await until(lambda: not link.is_usable)
        assert (await calls.attempt(call(address))).outcome is Outcome.OK
        assert len(opened) == 2

    run(work())


def test_an_answer_that_closes_leaves_nothing_in_the_pool() -> None:
    async def work() -> None:
        server, calls = await Server().start(), egress()
        server.script.append(answer(200, "Connection: close"))
        assert (await calls.attempt(call(server.address))).outcome is Outcome.OK
        assert not calls.pool.idle_by_endpoint.get((1, server.address))

    run(work())


def test_a_connection_idle_for_long_is_not_used() -> None:
    async def work() -> None:
        server, calls = await Server().start(), egress()
        assert (await calls.attempt(call(server.address))).outcome is Outcome.OK
        (link,) = calls.pool.idle_by_endpoint[1, server.address]
        link.idle_since -= 0.81 * 60
        calls.sweep()
        assert not calls.pool.idle_by_endpoint and not link.is_usable
        assert (await calls.attempt(call(server.address))).outcome is Outcome.OK
        assert server.opened == 2

    run(work())


@pytest.mark.parametrize("stray", [OK, b"x"])
def test_an_answer_that_nobody_asked_for_is_not_the_next_calls(stray: bytes) -> None:
    async def work() -> None:
        server, calls = await Server().start(), egress()
        server.script += [OK + stray, answer(500)]
        assert (await calls.attempt(call(server.address))).outcome is Outcome.OK
        assert (await calls.attempt(call(server.address))).outcome is Outcome.ERROR
        assert server.opened == 2

    run(work())


def test_a_body_that_comes_late_keeps_its_connection_busy() -> None:
    async def work() -> None:
        server, calls = await Server().start(), egress()
        server.script.append(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\na")
        assert (await calls.attempt(call(server.address))).outcome is Outcome.OK
        assert (
            not calls.pool.idle_by_endpoint
        )  # the outcome is known; the connection is not free before the body is whole

    run(work())


def test_connections_to_where_an_endpoint_no_longer_is_are_closed() -> None:
    async def work() -> None:
        kept, left, calls = await Server().start(), await Server().start(), egress()
        for server in (kept, left):
            assert (await calls.attempt(call(server.address))).outcome is Outcome.OK
        (link,) = calls.pool.idle_by_endpoint[1, left.address]
        calls.retain_only({(1, kept.address)})
        assert set(calls.pool.idle_by_endpoint) == {(1, kept.address)} and not link.is_usable

    run(work())

"""What one client's unfinished or costly requests may take of the relay's memory and of its loop's time."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path

import pytest

from message_relay.core.memory_account import MemoryAccount
from message_relay.http import client_limits
from message_relay.http.client_messages import ClientResponse
from message_relay.http.parse_turns import MAX_TURN_S, ParseTurns
from message_relay.http.request_reader import MAX_EVENTS_PER_PART, Progress, RequestReader

from ..loopback import Client, message, run, until
from .harness import RelayWithEndpoint

SHARE_BYTES = 40_000


def with_fields(count: int) -> bytes:
    fields = b"".join(b"x%d: 1\r\n" % number for number in range(count))
    return message("m").replace(b"Content-Length: 5\r\n", fields + b"Content-Length: 5\r\n")


def chunked(size: int, chunks: int) -> bytes:
    head, _, _ = message("m").replace(b"Content-Length: 5", b"Transfer-Encoding: chunked").partition(b"hello")
    chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
    return head + chunk * chunks + b"0\r\n\r\n"


@pytest.mark.parametrize("piece", [1 << 16, 100])
@pytest.mark.parametrize(
    ("request_", "status"),
    [
        (with_fields(client_limits.MAX_HEADER_FIELDS - 7), 202),
        (with_fields(client_limits.MAX_HEADER_FIELDS - 6), 431),
        (with_fields(2000), 431),
        (chunked(1, client_limits.MAX_CHUNKS), 202),
        (chunked(1, client_limits.MAX_CHUNKS + 1), 413),
        (chunked(1, 20_000), 413),
        (chunked(60, 1000), 202),
        (message("m", body=b"x" * 65536), 202),
        (message("m", body=b"x" * 65537), 413),
    ],
    ids=lambda value: f"{len(value)} bytes" if isinstance(value, bytes) else str(value),
)
def test_fields_of_a_head_and_chunks_of_a_body_are_limited(
    tmp_path: Path, request_: bytes, status: int, piece: int
) -> None:
    """A head of 4,000 fields held up the loop for 50 to 110 ms, 20,000 chunks for 200 ms."""

    async def work() -> None:
        async with RelayWithEndpoint(tmp_path) as host, Client(host.ingress.port) as client:
            for start in range(0, len(request_), piece):
                client.writer.write(request_[start : start + piece])
                await asyncio.sleep(0)
            assert await client.status() == status
            assert bool(host.journal.entries) is (status == 202)
            await until(lambda: host.ingress.input_budget.account.used_bytes == 0)

    run(work())


def half(number: int, size: int = 9000) -> bytes:
    return message(f"h{number}", body=b"x" * size)[: -size // 2]


def test_unfinished_requests_hold_no_more_than_their_share(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """700 clients that stopped within a body of 400,000 bytes took 113 MB, whatever the memory limit was."""
    monkeypatch.setattr(client_limits, "MIN_RECEIVE_S", 60.0)

    async def work() -> None:
        async with RelayWithEndpoint(tmp_path) as host, AsyncExitStack() as stack:
            account = host.ingress.input_budget.account
            account.limit_bytes = SHARE_BYTES
            clients = [await stack.enter_async_context(Client(host.ingress.port)) for _ in range(20)]
            for number, client in enumerate(clients):
                client.writer.write(half(number))
            await until(lambda: account.refused_count >= 16)
            assert account.peak_bytes <= SHARE_BYTES and len(host.ingress.input_budget.held_bytes) == 3
            async with Client(host.ingress.port) as usual:
                assert await usual.send(message("usual")) == 202
            refused = [client for number, client in enumerate(clients) if number >= 4]
            assert {await client.status() for client in refused} == {503}
            assert all("retry-after" in client.head for client in refused)
        assert account.used_bytes == 0

    run(work())


def test_an_old_unfinished_request_makes_room_for_a_new_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Clients that stop half way must not keep all others with large requests out until their time-out."""
    monkeypatch.setattr(client_limits, "MIN_RECEIVE_S", 0.0)

    async def work() -> None:
        async with RelayWithEndpoint(tmp_path) as host, AsyncExitStack() as stack:
            host.ingress.input_budget.account.limit_bytes = SHARE_BYTES
            stalled = [await stack.enter_async_context(Client(host.ingress.port)) for _ in range(3)]
            for number, client in enumerate(stalled):
                client.writer.write(half(number))
                await until(lambda expected=number + 1: len(host.ingress.input_budget.held_bytes) == expected)  # type: ignore[misc]
            async with Client(host.ingress.port) as large:
                assert await large.send(message("large", body=b"x" * 20_000)) == 202
            assert await stalled[0].status() == 408

    run(work())


def test_the_input_of_an_ended_connection_is_released(tmp_path: Path) -> None:
    async def work() -> None:
        async with RelayWithEndpoint(tmp_path) as host:
            async with Client(host.ingress.port) as client:
                client.writer.write(half(1))
                await until(lambda: host.ingress.input_budget.account.used_bytes > 9000)
            await until(lambda: not host.ingress.connections)
            assert (
                host.ingress.input_budget.account.used_bytes == 0 and not host.ingress.input_budget.held_bytes
            )

    run(work())


def test_a_body_is_charged_before_it_arrives() -> None:
    reader = RequestReader()
    reader.receive(half(1, 60_000)[:400])
    assert reader.advance() is Progress.NEEDS_DATA and reader.held_bytes > 60_000


def test_a_part_of_many_chunks_is_bounded() -> None:
    reader = RequestReader()
    reader.receive(chunked(1, 900))
    parts = 1
    while reader.advance() is Progress.HAS_MORE:
        parts += 1
    assert parts >= 900 // MAX_EVENTS_PER_PART


class LongInput:
    def __init__(self, name: str, parts: int, log: list[str]) -> None:
        self.name, self.parts, self.log = name, parts, log

    def parse_some(self) -> bool:
        self.log.append(self.name)
        self.parts -= 1
        return self.parts > 0


def test_long_input_is_parsed_in_turns_with_that_of_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """Beside 40 bodies in chunks of one byte other clients got no answer for seconds."""
    log: list[str] = []

    async def work() -> None:
        loop = asyncio.get_running_loop()
        now = 0.0

        def clock() -> float:  # each part takes as long as a whole turn
            nonlocal now
            now += MAX_TURN_S
            return now

        monkeypatch.setattr(loop, "time", clock)
        turns = ParseTurns()
        assert turns.parse(LongInput("long", 3, log)) and turns.parse(LongInput("other", 1, log))
        turns_taken = 0
        while turns.new or turns.continued:
            await asyncio.sleep(0)
            turns_taken += 1
        assert turns_taken >= 2

    run(work())
    assert log == ["long", "other", "long", "long"]


def test_a_share_refuses_what_exceeds_it_and_logs_once(caplog: pytest.LogCaptureFixture) -> None:
    now = 100.0
    account = MemoryAccount("input", 10, lambda: now)
    assert account.charge(10) and not account.charge(1) and account.charge(0) and account.charge(-4)
    account.record_refusal()
    account.record_refusal()
    assert [record.getMessage() for record in caplog.records] == [
        "memory share exhausted share=input used=6 limit=10 refused=1"
    ]
    account.release(6)
    assert (account.used_bytes, account.peak_bytes, account.refused_count) == (0, 10, 2)


def test_a_request_that_ends_with_a_read_is_not_accepted_before_others_behind_it(tmp_path: Path) -> None:
    """A client that wrote many requests at once and left must not have the first of them sent on."""

    async def work() -> None:
        async with RelayWithEndpoint(tmp_path) as host, Client(host.ingress.port) as client:
            empty = len(message("m0", body=b"")) + len(str(client_limits.READ_BYTES)) - 1
            body = b"x" * (client_limits.READ_BYTES - empty)
            requests = [message(f"m{number}", body=body) for number in range(5)]
            assert {len(each) for each in requests} == {client_limits.READ_BYTES}
            client.writer.write(b"".join(requests))
            assert await client.status() == 400 and not host.journal.entries

    run(work())


def test_a_complete_request_needs_no_room_and_is_never_ended_for_others(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One that waited for its journal sync was answered 408, although its message had been accepted."""
    monkeypatch.setattr(client_limits, "MIN_RECEIVE_S", 0.0)

    async def work() -> None:
        async with RelayWithEndpoint(tmp_path) as host, Client(host.ingress.port) as client:
            budget = host.ingress.input_budget
            durable = asyncio.get_running_loop().create_future()
            response = ClientResponse(202, accepted_id="m", durable=durable)
            monkeypatch.setattr(host.ingress, "handle", lambda request: response)
            client.writer.write(message("m", body=b"x" * 30_000))
            (connection,) = host.ingress.connections
            await until(lambda: bool(connection.unsent_ids))
            assert not budget.held_bytes and budget.account.used_bytes == 0
            budget.account.limit_bytes = 0
            async with Client(host.ingress.port) as other:
                other.writer.write(chunked(1, 50))
                await until(lambda: len(host.ingress.connections) == 2)
                durable.set_result(None)
                assert await other.status() == await client.status() == 202

    run(work())

"""Clients of benchmarks.costly_peers that make a relay hold bytes or spend time; they run until cancelled."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Awaitable, Callable

from emulator.clients import Address, request

RECONNECT_S = 0.05
PATIENCE_S = 10.0  # for an answer or a close, before a client tries again
MAX_HEAD_BYTES = 16_000  # just under the relay's own limit
FULL_BODY_BYTES = 64_000
LIFE_MS = 4000.0
LASTING_MS = 99_999_999.0

Session = Callable[[asyncio.StreamReader, asyncio.StreamWriter, int], Awaitable[None]]


def head_with(fields: bytes, length: int) -> bytes:
    """A valid request head with additional header fields and this Content-Length."""
    head, _, _ = request("m", "status", 1, LIFE_MS, b"", "k").rpartition(b"Content-Length: 0\r\n\r\n")
    return head + fields + b"Content-Length: %d\r\n\r\n" % length


async def _wait_for_close(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(PATIENCE_S):
            while await reader.read(65536):
                pass


async def _send_and_stay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(data)
    await _wait_for_close(reader)


async def long_body(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    """A body that is longer than allowed, all of it sent."""
    await _send_and_stay(reader, writer, head_with(b"", 400_000) + bytes(400_000))


async def half_body(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    """A request that stops in the middle of a body of the largest size."""
    await _send_and_stay(reader, writer, head_with(b"", FULL_BODY_BYTES) + bytes(FULL_BODY_BYTES * 3 // 4))


async def short_fields(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    """A head of as many fields as fit, and half a body."""
    fields = b"".join(b"%x:\r\n" % field for field in range(4096, 4096 + MAX_HEAD_BYTES // 8))
    head = head_with(fields, FULL_BODY_BYTES)
    await _send_and_stay(reader, writer, head + bytes(FULL_BODY_BYTES // 2))


async def tiny_chunks(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    """A body of the largest size in chunks of one byte."""
    head = head_with(b"", 0).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    await _send_and_stay(reader, writer, head + b"1\r\nx\r\n" * FULL_BODY_BYTES)


async def slow_head(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    """A head that arrives in small pieces."""
    head = head_with(b"X-A: " + b"a" * 8000 + b"\r\n", 10)
    for start in range(0, len(head), 64):
        writer.write(head[start : start + 64])
        await asyncio.sleep(0.02)
    await _wait_for_close(reader)


async def idle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    """No request at all."""
    await _wait_for_close(reader)


async def pipeline(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    """Hundreds of requests at once."""
    await _send_and_stay(reader, writer, b"GET /healthz HTTP/1.1\r\nHost: r\r\n\r\n" * 5000)


async def _ask_repeatedly(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request_of: Callable[[int], bytes]
) -> None:
    for count in itertools.count():
        writer.write(request_of(count))
        head = await reader.readuntil(b"\r\n\r\n")
        length = head.lower().partition(b"content-length:")[2].split(b"\r", 1)[0]
        await reader.readexactly(int(length or 0))


async def unsound_flood(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    """Requests under ever new ids, classes and tenants, each of which is rejected, at full speed."""

    def unsound(count: int) -> bytes:
        data = request(f"f{number}-{count}", f"class{count}", 1, LIFE_MS, b"", f"k{count}")
        return data.replace(b"X-Customer: t", b"X-Customer: t%d" % count)

    await _ask_repeatedly(reader, writer, unsound)


async def small_flood(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    """Sound small requests under ever new ids at full speed."""
    await _ask_repeatedly(
        reader, writer, lambda count: request(f"s{number}-{count}", "status", 1, LIFE_MS, b"x", f"k{count}")
    )


async def lasting_flood(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    """Sound small requests whose deadlines are far away, so that the relay has to remember them."""
    await _ask_repeatedly(
        reader,
        writer,
        lambda count: request(f"l{number}-{count}", "status", 1, LASTING_MS, b"x", f"k{count}"),
    )


async def unread_flood(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    """Small requests at full speed whose answers are not waited for."""
    for count in itertools.count():
        writer.write(request(f"u{number}-{count}", "none", 1, LIFE_MS, b"x", f"k{count}"))
        await writer.drain()


async def full_messages(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    """Sound requests with bodies of the largest size."""
    body = bytes(FULL_BODY_BYTES)

    def full(count: int) -> bytes:
        return request(f"b{number}-{count}", "order", 1, LIFE_MS, body, f"b{number}-{count}")

    await _ask_repeatedly(reader, writer, full)


# Kinds in which the endpoint is the costly peer: head of its answer, and what follows it without an end.
COSTLY_ANSWERS: dict[str, tuple[bytes, bytes]] = {
    "endless-answer": (b"HTTP/1.1 500 X\r\nContent-Length: 3000000000\r\n\r\n", bytes(65536)),
    "chunked-answer": (b"HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n" * 10_000),
    "field-answer": (b"HTTP/1.1 500 X\r\n" + b"x:\r\n" * 4000 + b"\r\n", b""),
}

SESSIONS: dict[str, tuple[int, Session]] = {  # number of concurrent clients, and what each does
    "long-body": (700, long_body),
    "half-body": (700, half_body),
    "short-fields": (600, short_fields),
    "tiny-chunks": (40, tiny_chunks),
    "slow-head": (700, slow_head),
    "idle": (1000, idle),
    "pipeline": (50, pipeline),
    "unsound-flood": (1, unsound_flood),
    "small-flood": (1, small_flood),
    "lasting-flood": (4, lasting_flood),
    **{kind: (8, small_flood) for kind in COSTLY_ANSWERS},
    "unread-flood": (1, unread_flood),
    "full-messages": (50, full_messages),
}


async def _repeat(session: Session, address: Address, number: int) -> None:
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            reader, writer = await asyncio.open_connection(*address)
            try:
                await session(reader, writer, number)
            finally:
                writer.transport.abort()
        await asyncio.sleep(RECONNECT_S)


async def run_clients(name: str, address: Address, seconds: float) -> None:
    """Runs the clients of one kind at the same time."""
    count, session = SESSIONS[name]
    tasks = [asyncio.ensure_future(_repeat(session, address, number)) for number in range(count)]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)

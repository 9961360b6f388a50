"""HTTP clients of real relays: they reuse connections, and submit each message at its own time without
waiting for the outcome of others (open loop)."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

Address = tuple[str, int]
Pool = list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]
MAX_IDLE_CONNECTIONS = 64  # to one relay


@dataclass(frozen=True, slots=True)
class Response:
    status: str  # an HTTP status code, "none" after a timeout, or the name of the exception
    retry_ms: float = 0.0

    @property
    def taken(self) -> bool:
        return self.status in ("200", "202")

    @property
    def refused(self) -> bool:
        return self.status in ("429", "503")


def request(
    ident: str, class_: str, destination: int, left_ms: float, body: bytes, key: str, again: str = ""
) -> bytes:
    """The bytes of one submission, as PROTOCOL describes it. `again` is the value of X-Second-Try, empty on
    the first try."""
    retry_header = f"X-Second-Try: {again}\r\n" if again else ""
    return (
        f"POST /{class_} HTTP/1.1\r\nHost: r\r\nX-Trace-Id: {ident}\r\nX-Qos: {class_}\r\n{retry_header}"
        f"X-Customer: t\r\nX-Expires-In-Ms: {max(0, round(left_ms))}\r\nIdempotency-Key: {key}\r\n"
        f"X-Addressing: dest={destination}\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def said(head: bytes) -> Response:
    """Parses the head of a response."""
    status, retry = head.split(b" ", 2)[1].decode("latin-1"), 0.0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"retry-after:"):
            retry = float(line.partition(b":")[2]) * 1000
    return Response(status, retry)


@dataclass
class Clients:
    """All clients in this process, with their idle connections by relay."""

    wait_ms: float
    idle: dict[Address, Pool] = field(default_factory=dict)

    async def hand_in(self, at: Address, data: bytes) -> Response:
        try:
            async with asyncio.timeout(self.wait_ms / 1000):
                return await self._request(at, data)
        except TimeoutError:
            return Response("none")
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            return Response(type(error).__name__)

    async def _request(self, at: Address, data: bytes) -> Response:
        """Sends one request. If a reused connection turns out to be closed, tries once more on a new one, as
        the protocol allows."""
        for may_reuse in (True, False):
            pool = self.idle.setdefault(at, [])
            is_new = not (may_reuse and pool)
            reader, writer = (await asyncio.open_connection(*at)) if is_new else pool.pop()
            try:
                writer.write(data)
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().partition(b"content-length:")[2].split(b"\r", 1)[0]
                await reader.readexactly(int(length or 0))
            except (OSError, asyncio.IncompleteReadError):
                writer.close()
                if is_new:
                    raise
                continue
            except asyncio.CancelledError:
                writer.close()
                raise
            if b"connection: close" in head.lower() or len(pool) >= MAX_IDLE_CONNECTIONS:
                writer.close()
            else:
                pool.append((reader, writer))
            return said(head)
        raise ConnectionError("no connection")

    def close(self) -> None:
        for pool in self.idle.values():
            for _, writer in pool:
                writer.close()

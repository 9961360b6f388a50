"""Clients of real relays: kept connections, messages handed in at their moment whatever became of others."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

Address = tuple[str, int]
Pool = list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]
KEPT = 64  # idle connections to one relay, at most


@dataclass(frozen=True, slots=True)
class Said:
    status: str  # a code, "none" where nothing came in time, or the name of what broke
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
    """As PROTOCOL has it."""
    mark = f"X-Second-Try: {again}\r\n" if again else ""
    return (
        f"POST /{class_} HTTP/1.1\r\nHost: r\r\nX-Trace-Id: {ident}\r\nX-Qos: {class_}\r\n{mark}"
        f"X-Customer: t\r\nX-Expires-In-Ms: {max(0, round(left_ms))}\r\nIdempotency-Key: {key}\r\n"
        f"X-Addressing: dest={destination}\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def said(head: bytes) -> Said:
    status, retry = head.split(b" ", 2)[1].decode("latin-1"), 0.0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"retry-after:"):
            retry = float(line.partition(b":")[2]) * 1000
    return Said(status, retry)


@dataclass
class Clients:
    """All that hand in from this process."""

    wait_ms: float
    idle: dict[Address, Pool] = field(default_factory=dict)

    async def hand_in(self, at: Address, data: bytes) -> Said:
        try:
            async with asyncio.timeout(self.wait_ms / 1000):
                return await self._ask(at, data)
        except TimeoutError:
            return Said("none")
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            return Said(type(error).__name__)

    async def _ask(self, at: Address, data: bytes) -> Said:
        """A kept connection that ended between two requests is replaced once, as the protocol has it."""
        for kept in (True, False):
            pool = self.idle.setdefault(at, [])
            fresh = not (kept and pool)
            reader, writer = (await asyncio.open_connection(*at)) if fresh else pool.pop()
            try:
                writer.write(data)
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().partition(b"content-length:")[2].split(b"\r", 1)[0]
                await reader.readexactly(int(length or 0))
            except (OSError, asyncio.IncompleteReadError):
                writer.close()
                if fresh:
                    raise
                continue
            except asyncio.CancelledError:
                writer.close()
                raise
            if b"connection: close" in head.lower() or len(pool) >= KEPT:
                writer.close()
            else:
                pool.append((reader, writer))
            return said(head)
        raise ConnectionError("no connection")

    def close(self) -> None:
        for pool in self.idle.values():
            for _, writer in pool:
                writer.close()

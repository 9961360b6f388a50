"""Clients of benchmarks.restarts. They use a connection for as long as it stays open, also after SIGTERM."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass

from emulator.clients import request, said

from .restart_ledger import Accepted, Ledger, Unanswered

LIFE_MS = {"order": 4000.0, "pay": 4000.0, "status": 2000.0}
KEYED_CLASS = "order"
ANSWER_S = 5.0  # longer than the platform's clients wait, to distinguish a late response from a missing one
BUSY_PAUSE_S, RESTING_PAUSE_S = 0.05, 3.5
RECONNECT_S = 0.02
CROWD = 110  # number of idle connections in a run with a crowd
CROWD_PAUSE_S = 0.05


@dataclass
class Client:
    """Submits one message after the other."""

    address: tuple[str, int]
    number: int
    longest_pause_s: float
    rng: random.Random
    ledger: Ledger
    accepted: asyncio.Event  # set with each 202
    count: int = 0
    last_status: str = ""  # on this connection

    async def run(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                await self._use_connection()
            await asyncio.sleep(RECONNECT_S)

    async def _use_connection(self) -> None:
        reader, writer = await asyncio.open_connection(*self.address)
        answered_at = -1.0
        self.last_status = ""
        try:
            while True:
                head = await self._hand_in(reader, writer, answered_at)
                answered_at = time.monotonic()
                if head is None or b"connection: close" in head.lower():
                    return
                await asyncio.sleep(self.rng.uniform(0.0, self.longest_pause_s))
        finally:
            writer.close()

    async def _hand_in(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answered_at: float
    ) -> bytes | None:
        """Submits a message and returns the response head.

        Returns None if the connection closes without a response, or was closed before the request.
        """
        self.count += 1
        message = f"m{self.number}-{self.count}"
        class_name = self.rng.choice(tuple(LIFE_MS))
        body = bytes(self.rng.choice((100, 100, 400, 9000)))
        data = request(message, class_name, 1, LIFE_MS[class_name], body, f"k{message}")
        if class_name != KEYED_CLASS:  # with a key, the endpoint's deduplication would hide a second delivery
            data = data.replace(f"Idempotency-Key: k{message}\r\n".encode(), b"")
        written_at = time.monotonic()
        idle_s = written_at - answered_at if answered_at > 0 else -1.0
        if reader.at_eof():
            return None  # the connection was closed while idle, and the client has seen it
        writer.write(data)
        try:
            async with asyncio.timeout(ANSWER_S):
                await writer.drain()
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().partition(b"content-length:")[2].split(b"\r", 1)[0]
                await reader.readexactly(int(length or 0))
        except (OSError, asyncio.IncompleteReadError) as error:
            error_name = type(error).__name__
            closed_at = time.monotonic()
            unanswered = Unanswered(message, written_at, closed_at, idle_s, error_name, self.last_status)
            self.ledger.unanswered.append(unanswered)
            return None
        self._on_answer(message, class_name, said(head).status)
        return head

    def _on_answer(self, message: str, class_name: str, status: str) -> None:
        self.ledger.answers[status] += 1
        self.last_status = status
        if status in ("200", "202"):
            due_at = time.monotonic() + LIFE_MS[class_name] / 1000
            self.ledger.accepted[message] = Accepted(class_name, due_at)
            self.accepted.set()


async def idle_visitor(address: tuple[str, int]) -> None:
    """Keeps an idle connection open: it sends nothing, and reconnects when the connection is closed."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*address)
            try:
                await reader.read()
            finally:
                writer.close()
        await asyncio.sleep(CROWD_PAUSE_S)

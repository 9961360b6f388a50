"""Requests to the platform's agent: a kept connection, one request at a time, never longer than told."""

from __future__ import annotations

import asyncio
import random

from ..config import Address
from ..core.backoff import ExponentialBackoff
from .connection import ConnectionLostError, EndpointConnection

# A list of some 26,000 endpoints, at most: it takes 2 KB of memory for each, of 192 MB, and holds up the loop
# for half a second. A longer one is refused, and what is known goes on serving.
ANSWER_BYTES = 4 << 20


class AgentError(Exception):
    """No answer came in time, or none that can be used."""


class AgentClient:
    def __init__(self, address: Address) -> None:
        self.address = address
        self.connection: EndpointConnection | None = None

    async def request(self, method: str, target: str, body: bytes, timeout_s: float) -> tuple[int, bytes]:
        """Safe to repeat at will: the agent takes each of its requests any number of times."""
        try:
            async with asyncio.timeout(timeout_s):
                if self.connection is None or not self.connection.is_usable:
                    self.connection = await EndpointConnection.open(self.address, ANSWER_BYTES)
                host = f"{self.address[0]}:{self.address[1]}"
                head, answer = await self.connection.request(method, target, [("Host", host)], body)
                return head.status, answer
        except TimeoutError as error:
            self.close()
            raise AgentError(f"no answer within {timeout_s:.1f} s") from error
        except ConnectionLostError as error:
            self.close()
            raise AgentError(str(error)) from error

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None


class Backoff(ExponentialBackoff):
    """Pauses between failed requests, in seconds, so that a returning agent is not hammered."""

    def __init__(self, initial_s: float, max_s: float) -> None:
        super().__init__(initial_s, max_s, random.Random())

    async def pause(self) -> None:
        await asyncio.sleep(self.next_delay())

"""Client of the platform's agent: one request at a time, each with a timeout, on persistent connections.

A connection rests after each response, as one to an endpoint does: a second copy of a list would undo later
changes, and one of an acknowledgement would confirm notifications that the agent has not acknowledged.
"""

from __future__ import annotations

import asyncio
import math
from typing import NamedTuple

from ..config import Address
from ..core.memory_plan import MAX_LIST_BYTES
from .connection import EndpointConnection
from .connection_pool import ConnectionPool
from .errors import AgentError, ConnectionLostError

ANSWER_BYTES = MAX_LIST_BYTES  # a longer response is rejected, and the known list stays in use
MAX_IDLE = 2  # connections of one client: one rests while the other carries a request
POOL_KEY = (0, ("", 0))  # all connections of a pool lead to the same agent


class AgentResponse(NamedTuple):
    """Status and body of a response of the agent."""

    status: int
    body: bytes


class AgentClient:
    """The client of the agent at one address."""

    def __init__(self, address: Address, max_answer_bytes: int = ANSWER_BYTES) -> None:
        self.address = address
        self.max_answer_bytes = max_answer_bytes
        self.connection: EndpointConnection | None = None  # carries the current request
        self.pool = ConnectionPool(math.inf, MAX_IDLE)

    async def request(self, method: str, target: str, body: bytes, timeout_s: float) -> AgentResponse:
        """Send one request and return its response. Raises AgentError.

        Requests may be repeated: all requests to the agent are idempotent.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(method, target, body)
        except TimeoutError as error:
            self.close()
            raise AgentError(f"no answer within {timeout_s:.1f} s") from error
        except ConnectionLostError as error:
            self.close()
            raise AgentError(str(error)) from error

    async def _exchange(self, method: str, target: str, body: bytes) -> AgentResponse:
        connection = self.pool.pop(POOL_KEY) or await EndpointConnection.open(
            self.address, self.max_answer_bytes
        )
        self.connection = connection
        try:
            host = f"{self.address[0]}:{self.address[1]}"
            head, response_body = await connection.request(method, target, [("Host", host)], body)
            return AgentResponse(head.status, response_body)
        finally:
            self.connection = None
            self.pool.add(POOL_KEY, connection)  # closed there unless the response is complete

    def close(self) -> None:
        """Close all connections; the next request opens another."""
        if self.connection is not None:
            self.connection.close()
        self.pool.close()

"""Client of the platform's agent: one persistent connection, one request at a time, each with a timeout."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from ..config import Address
from .connection import EndpointConnection
from .errors import AgentError, ConnectionLostError

# Enough for a list of about 26,000 endpoints, which take 2 KB of memory each, of 192 MB, and block the loop
# for half a second. A longer response is rejected, and the known list stays in use.
ANSWER_BYTES = 4 << 20


class AgentResponse(NamedTuple):
    """Status and body of a response of the agent."""

    status: int
    body: bytes


class AgentClient:
    """The client of the agent at one address."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.connection: EndpointConnection | None = None

    async def request(self, method: str, target: str, body: bytes, timeout_s: float) -> AgentResponse:
        """Send one request and return its response. Raises AgentError.

        Requests may be repeated: all requests to the agent are idempotent.
        """
        try:
            async with asyncio.timeout(timeout_s):
                if self.connection is None or not self.connection.is_usable:
                    self.connection = await EndpointConnection.open(self.address, ANSWER_BYTES)
                host = f"{self.address[0]}:{self.address[1]}"
                head, response_body = await self.connection.request(method, target, [("Host", host)], body)
                return AgentResponse(head.status, response_body)
        except TimeoutError as error:
            self.close()
            raise AgentError(f"no answer within {timeout_s:.1f} s") from error
        except ConnectionLostError as error:
            self.close()
            raise AgentError(str(error)) from error

    def close(self) -> None:
        """Close the connection; the next request opens another."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

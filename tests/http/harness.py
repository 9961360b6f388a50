"""Shared by the tests of this folder: a relay with one endpoint on loopback, clients and attempts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path

from message_relay.core.ports import Attempt
from message_relay.http.endpoint_client import EndpointClient

from ..loopback import Agent, Client, Running, Server, relay


class RelayWithEndpoint:
    """Async context manager that runs a relay with one endpoint and an agent."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.agent, self.server = folder, Agent(), Server()
        self.exit_stack = AsyncExitStack()

    async def __aenter__(self) -> Running:
        state = self.folder / "state"
        state.mkdir()
        await self.agent.start()
        await self.server.start()
        return await self.exit_stack.enter_async_context(relay(state, self.agent, self.server))

    async def __aexit__(self, *_: object) -> None:
        await self.exit_stack.aclose()


async def read_to_end(client: Client) -> bool:
    """Reads until the connection ends; returns True."""
    try:
        while await client.reader.read(65536):
            pass
    except ConnectionError:
        pass
    return True


def make_attempt(
    address: tuple[str, int],
    seconds: float = 20.0,
    may_write: Callable[[], bool] = lambda: True,
    body: bytes = b"b",
    endpoint: int = 1,
    ambiguity_is_final: bool = False,
    kind: str = "k",
) -> Attempt:
    """An attempt that times out after `seconds`; `ambiguity_is_final`: as in `Attempt`."""
    deadline_s = asyncio.get_running_loop().time() + seconds
    return Attempt(endpoint, address, "id", "key", body, deadline_s, may_write, ambiguity_is_final, kind=kind)


def make_client(idle_ms: float = 60000.0, connect_ms: float = 20000.0, max_idle: int = 10) -> EndpointClient:
    """An endpoint client with its own connection pool."""
    return EndpointClient(idle_ms, connect_ms, max_idle)

"""A relay with one endpoint on loopback, and helpers that read a client's connection to its end."""

from __future__ import annotations

from contextlib import AsyncExitStack
from pathlib import Path

from ..loopback import Agent, Client, Running, Server, relay


class RelayWithEndpoint:
    """A relay with one endpoint."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.agent, self.server = folder, Agent(), Server()
        self.held = AsyncExitStack()

    async def __aenter__(self) -> Running:
        state = self.folder / "state"
        state.mkdir()
        await self.agent.start()
        await self.server.start()
        return await self.held.enter_async_context(relay(state, self.agent, self.server))

    async def __aexit__(self, *_: object) -> None:
        await self.held.aclose()


async def read_to_end(client: Client) -> bool:
    """Reads on to the end of the connection."""
    try:
        while await client.reader.read(65536):
            pass
    except ConnectionError:
        pass
    return True

"""Calls to the agent for the list of endpoints, several of which may be in flight.

A call whose response is late is not cancelled at once: the next call is made concurrently, on its own
connection. Otherwise no response of an agent that always takes longer than the timeout of a call would ever
be used.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from .agent import AgentClient

MAX_CALLS = 10  # in flight, each with a descriptor: as many as are made before the oldest times out


@dataclass(eq=False)
class DiscoveryCall:
    """One request for the list, or for changes to it."""

    number: int  # sequence number
    agent: AgentClient
    known_version: int  # version of the known list when the call was sent; negative: none
    is_watch: bool  # a long poll for a newer list
    response: asyncio.Task[dict[str, Any]]

    def cancel(self) -> None:
        """Cancel the call and close its connection."""
        if not self.response.cancel() and not self.response.cancelled():
            self.response.exception()  # marks it as retrieved
        self.agent.close()


async def request_list(
    agent: AgentClient, known_version: int, watch_ms: int, timeout_s: float
) -> dict[str, Any]:
    """Request the list, or the changes since the known version. Raises AgentError or ValueError."""
    target = "/v1/servers"
    if known_version >= 0:
        target += f"?from={known_version}&hold_ms={watch_ms}"
    status, body = await agent.request("GET", target, b"", timeout_s)
    raw = json.loads(body) if status == 200 else None
    if not isinstance(raw, dict):
        raise ValueError(f"status {status}, {len(body)} bytes that are not a list")
    return raw


class CallsInFlight:
    """The calls that have no response yet, oldest first."""

    def __init__(self) -> None:
        self.calls: list[DiscoveryCall] = []
        self.started_count = 0

    def start(self, agent: AgentClient, known_version: int, watch_ms: int, timeout_s: float) -> DiscoveryCall:
        """Make a call on this agent's connection; above MAX_CALLS the oldest is cancelled."""
        self.started_count += 1
        request = request_list(agent, known_version, watch_ms, timeout_s)
        response = asyncio.get_running_loop().create_task(request)
        call = DiscoveryCall(self.started_count, agent, known_version, watch_ms > 0, response)
        self.calls.append(call)
        self._cancel(self.calls[:-MAX_CALLS])
        return call

    def uses(self, agent: AgentClient) -> bool:
        """Whether a call occupies this agent's connection."""
        return any(call.agent is agent for call in self.calls)

    async def wait(self, timeout_s: float) -> list[DiscoveryCall]:
        """Take out the calls that have completed or failed, oldest first; empty after the timeout."""
        if not self.calls:
            await asyncio.sleep(timeout_s)
            return []
        responses = [call.response for call in self.calls]
        await asyncio.wait(responses, timeout=max(0.0, timeout_s), return_when=asyncio.FIRST_COMPLETED)
        completed = [call for call in self.calls if call.response.done()]
        self.calls = [call for call in self.calls if call not in completed]
        return completed

    def cancel_older(self, answered: DiscoveryCall) -> None:
        """Cancel the calls that were made before this one: its response is newer than theirs can be."""
        self._cancel([call for call in self.calls if call.number < answered.number])

    def close(self) -> None:
        """Cancel all calls."""
        self._cancel(list(self.calls))

    def _cancel(self, calls: Iterable[DiscoveryCall]) -> None:
        for call in calls:
            self.calls.remove(call)
            call.cancel()

"""Calls to the agent for the list of endpoints, several of which may be in flight.

A call whose answer is late is not given up at once: the next one is made beside it, on a connection of its
own. Otherwise an agent that takes longer for each answer than one call is waited for is never heard.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from .agent import AgentClient

MAX_CALLS = 10  # in flight: as many as are made in the time after which one is given up; a descriptor each


@dataclass(eq=False)
class DiscoveryCall:
    """One request for the list, or for changes of it."""

    number: int  # in the order in which they were made
    agent: AgentClient
    known_version: int  # of the list when it was sent; negative: none
    is_watch: bool  # it may wait for a newer list
    response: asyncio.Task[dict[str, Any]]

    def cancel(self) -> None:
        """Give it up, with its connection."""
        if not self.response.cancel() and not self.response.cancelled():
            self.response.exception()  # marks it as retrieved
        self.agent.close()


async def request_list(
    agent: AgentClient, known_version: int, watch_ms: int, timeout_s: float
) -> dict[str, Any]:
    """The list, or what has changed since the known version. Raises AgentError or ValueError."""
    target = "/v1/servers"
    if known_version >= 0:
        target += f"?from={known_version}&hold_ms={watch_ms}"
    status, body = await agent.request("GET", target, b"", timeout_s)
    raw = json.loads(body) if status == 200 else None
    if not isinstance(raw, dict):
        raise ValueError(f"status {status}, {len(body)} bytes that are no list")
    return raw


class CallsInFlight:
    """The calls that may still be answered, oldest first."""

    def __init__(self) -> None:
        self.calls: list[DiscoveryCall] = []
        self.started_count = 0

    def start(self, agent: AgentClient, known_version: int, watch_ms: int, timeout_s: float) -> DiscoveryCall:
        """Make a call on this agent's connection; of too many calls the oldest is given up."""
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
        """Take out the calls that have been answered or have failed, oldest first; none after the timeout."""
        if not self.calls:
            await asyncio.sleep(timeout_s)
            return []
        responses = [call.response for call in self.calls]
        await asyncio.wait(responses, timeout=max(0.0, timeout_s), return_when=asyncio.FIRST_COMPLETED)
        completed = [call for call in self.calls if call.response.done()]
        self.calls = [call for call in self.calls if call not in completed]
        return completed

    def cancel_older(self, answered: DiscoveryCall) -> None:
        """Give up the calls that were made before this one: its answer is newer than theirs can be."""
        self._cancel([call for call in self.calls if call.number < answered.number])

    def close(self) -> None:
        """Give up all calls."""
        self._cancel(list(self.calls))

    def _cancel(self, calls: Iterable[DiscoveryCall]) -> None:
        for call in calls:
            self.calls.remove(call)
            call.cancel()

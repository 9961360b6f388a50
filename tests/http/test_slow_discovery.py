"""An agent that answers each request late: its list must still reach the relay within the documented bound.

The relay used to give up each poll after half a second and to discard its response. With an agent that took
0.6 s per response, the relay sent 950 of 950 messages to an endpoint that had been announced as draining, for
the whole observation. The log repeated `discovery poll failed why="no answer within 0.5 s"`, and the version
of its list never changed.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from fakes.discovery_agent import Agent
from message_relay.endpoint_discovery.poll_schedule import ANSWER_TIMEOUT_MS, DISCOVERY_BOUND_MS
from message_relay.http import discovery_calls, discovery_client

from ..loopback import SETTINGS, Client, Running, Server, listing, message, relay, run, until

SLOW_S = 1.3 * ANSWER_TIMEOUT_MS / 1000  # a response after this time is late
BOUND_S = DISCOVERY_BOUND_MS / 1000
SHARED = {**SETTINGS, "registry": {"mode": "ask"}}


class Environment:
    """A relay, its agent, an endpoint that is going to drain and one that replaces it."""

    def __init__(self, agent: Agent, old: Server, new: Server, running: Running) -> None:
        self.agent, self.old, self.new, self.running = agent, old, new, running
        self.version = agent.generation

    def announce(self, agent: Agent | None = None) -> None:
        """Makes the agent list the old endpoint as draining, and the new one."""
        (agent or self.agent).replace_list(list_after_move(self.old, self.new))

    async def check_change_is_learned(self) -> None:
        """Checks that the relay applies the change in time, and sends nothing more to the old endpoint."""
        async with asyncio.timeout(BOUND_S):
            await until(lambda: {known.address for known in self.ready()} == {self.new.address})
        attempt_count = len(self.old.seen)
        async with Client(self.running.ingress.port) as client:
            assert await client.send(message("after")) == 202
        await until(lambda: len(self.new.seen) == 1)
        assert len(self.old.seen) == attempt_count

    def ready(self) -> list[Any]:
        known = self.running.directory.by_name.values()
        return [endpoint for endpoint in known if endpoint.endpoint.listing.name == "READY"]


def list_after_move(old: Server, new: Server) -> list[dict[str, Any]]:
    entries: list[dict[str, Any]] = listing(old, state="draining")["instances"]
    return entries + list(listing(new)["instances"])


@asynccontextmanager
async def start_environment(
    folder: Path, delay_s: float, is_announced: bool = False, **overrides: Any
) -> AsyncIterator[Environment]:
    state = folder / "state"
    state.mkdir()
    old, new = await Server().start(), await Server().start()
    agent = await Agent(json.dumps(listing(old)).encode()).start()
    agent.delay_s = delay_s
    if is_announced:
        agent.replace_list(list_after_move(old, new))
    async with relay(state, agent, old, **overrides) as running:
        yield Environment(agent, old, new, running)


def test_change_before_the_start_is_learned_from_a_slow_agent(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_environment(tmp_path, SLOW_S, is_announced=True) as environment:
            await environment.check_change_is_learned()

    run(work())


@pytest.mark.parametrize("settings", (SETTINGS, SHARED), ids=("own", "shared"))
def test_change_while_running_is_learned_from_a_slow_agent(tmp_path: Path, settings: dict[str, Any]) -> None:
    async def work() -> None:
        async with start_environment(tmp_path, SLOW_S, settings=settings) as environment:
            await until(lambda: len(environment.agent.calls) > 2)
            environment.announce()
            await environment.check_change_is_learned()

    run(work())


def test_response_of_discovery_slower_than_its_queue_time_is_used(tmp_path: Path) -> None:
    """A shared discovery service may queue a call for 2 s; later responses were discarded in the same way."""

    async def work() -> None:
        async with start_environment(tmp_path, 2.7, is_announced=True, settings=SHARED) as environment:
            await environment.check_change_is_learned()

    run(work())


def test_response_after_five_seconds_is_used_within_the_bound(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_environment(tmp_path, 5.0, is_announced=True) as environment:
            await environment.check_change_is_learned()

    run(work())


def test_response_that_arrives_slowly_is_used(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_environment(tmp_path, 0.0) as environment:
            environment.agent.spread_s = SLOW_S
            environment.announce()
            await environment.check_change_is_learned()

    run(work())


def test_response_of_a_slow_new_agent_is_used_after_a_reload(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_environment(tmp_path, 0.0) as environment:
            other = await Agent(json.dumps(listing(environment.old)).encode()).start()
            other.delay_s = SLOW_S
            environment.announce(other)
            environment.running.reload(replace(environment.running.host.config, discovery=other.address))
            await environment.check_change_is_learned()

    run(work())


def test_late_answer_does_not_undo_a_newer_list(tmp_path: Path) -> None:
    """With concurrent calls, a list that is older than one received meanwhile changes nothing."""

    async def work() -> None:
        async with start_environment(tmp_path, SLOW_S, is_announced=True) as environment:
            await until(lambda: len(environment.running.register.calls.calls) > 1)
            crossing = environment.running.register.calls.calls[-1]
            await environment.check_change_is_learned()
            newest = environment.running.register.version
            old_list = listing(environment.old, generation=1)
            assert environment.running.register._is_outdated(crossing, old_list["generation"])
            assert environment.running.register.version == newest

    run(work())


def test_silent_agent_gets_a_bounded_number_of_calls(tmp_path: Path) -> None:
    """No more calls per second than if each were cancelled at its timeout, and few connections at once."""

    async def work() -> None:
        async with start_environment(tmp_path, 0.0) as environment:
            environment.agent.is_silent = True
            await until(lambda: len(environment.agent.calls) > 3)
            before, connections = len(environment.agent.calls), 0
            for _ in range(50):
                await asyncio.sleep(0.1)
                connections = max(connections, environment.agent.open_count)
            assert len(environment.agent.calls) - before <= 5.0 / (ANSWER_TIMEOUT_MS / 1000) + 1
            assert connections <= discovery_calls.MAX_CALLS + 1  # and that of the notifications
            environment.agent.is_silent = False
            environment.announce()
            await environment.check_change_is_learned()

    run(work())


def test_closed_discovery_client_cancels_all_calls(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_environment(tmp_path, 0.0) as environment:
            environment.agent.is_silent = True
            await until(lambda: len(environment.running.register.calls.calls) > 2)
            discovery = environment.running.register
        assert isinstance(discovery, discovery_client.DiscoveryClient) and not discovery.calls.calls
        await until(lambda: environment.agent.open_count == 0)

    run(work())

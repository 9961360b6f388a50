"""An agent that answers each request late: what it has must still reach the relay, within the page's bound.

What happened: the relay gave each poll up after half a second and threw its answer away, and the next poll
too. An agent that took 0.6 s for an answer could be reached and had the change, but the relay sent 950 of 950
messages to an endpoint that had been announced as leaving, for as long as it was watched. The log repeated
`discovery poll failed why="no answer within 0.5 s"`, and the version of its list never changed.
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

SLOW_S = 1.3 * ANSWER_TIMEOUT_MS / 1000  # an answer after this is late
BOUND_S = DISCOVERY_BOUND_MS / 1000
SHARED = {**SETTINGS, "registry": {"mode": "ask"}}


class Fleet:
    """A relay, its agent, an endpoint that leaves and one that stays."""

    def __init__(self, agent: Agent, old: Server, new: Server, running: Running) -> None:
        self.agent, self.old, self.new, self.running = agent, old, new, running
        self.version = agent.generation

    def announce(self, agent: Agent | None = None) -> None:
        """Discovery has the leaving endpoint, and the other one, from now on."""
        (agent or self.agent).replace_list(left_list(self.old, self.new))

    async def learns(self) -> None:
        """The relay knows the change within the bound, and sends nothing more to the leaving endpoint."""
        async with asyncio.timeout(BOUND_S):
            await until(lambda: {each.address for each in self.ready()} == {self.new.address})
        calls = len(self.old.seen)
        async with Client(self.running.ingress.port) as client:
            assert await client.ask(message("after")) == 202
        await until(lambda: len(self.new.seen) == 1)
        assert len(self.old.seen) == calls

    def ready(self) -> list[Any]:
        known = self.running.directory.by_name.values()
        return [each for each in known if each.endpoint.listing.name == "READY"]


def left_list(old: Server, new: Server) -> list[dict[str, Any]]:
    found: list[dict[str, Any]] = listing(old, state="draining")["instances"]
    return found + list(listing(new)["instances"])


@asynccontextmanager
async def fleet(
    folder: Path, delay_s: float, is_announced: bool = False, **more: Any
) -> AsyncIterator[Fleet]:
    state = folder / "state"
    state.mkdir()
    old, new = await Server().start(), await Server().start()
    agent = await Agent(json.dumps(listing(old)).encode()).start()
    agent.delay_s = delay_s
    if is_announced:
        agent.replace_list(left_list(old, new))
    async with relay(state, agent, old, **more) as running:
        yield Fleet(agent, old, new, running)


def test_change_before_the_start_is_learned_from_a_slow_agent(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, SLOW_S, is_announced=True) as it:
            await it.learns()

    run(work())


@pytest.mark.parametrize("settings", (SETTINGS, SHARED), ids=("own", "shared"))
def test_change_in_the_middle_of_the_day_is_learned_from_a_slow_agent(
    tmp_path: Path, settings: dict[str, Any]
) -> None:
    async def work() -> None:
        async with fleet(tmp_path, SLOW_S, settings=settings) as it:
            await until(lambda: len(it.agent.calls) > 2)
            it.announce()
            await it.learns()

    run(work())


def test_register_that_is_slower_than_its_queue_is_heard(tmp_path: Path) -> None:
    """A shared register may let a call wait for 2 s; later answers were thrown away in the same way."""

    async def work() -> None:
        async with fleet(tmp_path, 2.7, is_announced=True, settings=SHARED) as it:
            await it.learns()

    run(work())


def test_agent_that_takes_five_seconds_is_heard_within_the_bound(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, 5.0, is_announced=True) as it:
            await it.learns()

    run(work())


def test_answer_that_trickles_is_heard(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, 0.0) as it:
            it.agent.spread_s = SLOW_S
            it.announce()
            await it.learns()

    run(work())


def test_new_agent_after_a_reload_is_heard_though_it_is_slow(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, 0.0) as it:
            other = await Agent(json.dumps(listing(it.old)).encode()).start()
            other.delay_s = SLOW_S
            it.announce(other)
            it.running.reload(replace(it.running.host.config, discovery=other.address))
            await it.learns()

    run(work())


def test_late_answer_does_not_undo_a_newer_list(tmp_path: Path) -> None:
    """Calls cross: what is older than the list that has come meanwhile changes nothing."""

    async def work() -> None:
        async with fleet(tmp_path, SLOW_S, is_announced=True) as it:
            await until(lambda: len(it.running.register.calls.calls) > 1)
            crossing = it.running.register.calls.calls[-1]
            await it.learns()
            newest = it.running.register.version
            old_list = listing(it.old, generation=1)
            assert it.running.register._is_outdated(crossing, old_list["generation"])
            assert it.running.register.version == newest

    run(work())


def test_silent_agent_gets_a_bounded_number_of_calls(tmp_path: Path) -> None:
    """As many calls a second as when each was given up, and few connections at once."""

    async def work() -> None:
        async with fleet(tmp_path, 0.0) as it:
            it.agent.is_silent = True
            await until(lambda: len(it.agent.calls) > 3)
            before, connections = len(it.agent.calls), 0
            for _ in range(50):
                await asyncio.sleep(0.1)
                connections = max(connections, it.agent.open_count)
            assert len(it.agent.calls) - before <= 5.0 / (ANSWER_TIMEOUT_MS / 1000) + 1
            assert connections <= discovery_calls.MAX_CALLS + 1  # and that of the notices
            it.agent.is_silent = False
            it.announce()
            await it.learns()

    run(work())


def test_discovery_client_gives_all_calls_up_when_it_is_closed(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, 0.0) as it:
            it.agent.is_silent = True
            await until(lambda: len(it.running.register.calls.calls) > 2)
            register = it.running.register
        assert isinstance(register, discovery_client.DiscoveryClient) and not register.calls.calls
        await until(lambda: it.agent.open_count == 0)

    run(work())

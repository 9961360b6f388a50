"""Discovery in critical orders of events: outdated list at restart, silence, reload after a response."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from message_relay.config import Config
from message_relay.core import relay as core_host
from message_relay.core.clock import unix_time_ms
from message_relay.http.agent import AgentClient as AgentLink
from message_relay.http.discovery_client import DiscoveryClient
from message_relay.store.journal import Journal
from message_relay.store.records import JournalEntry

from ..loopback import Agent, Client, Running, Server, answer, host_of, listing, message, relay, run, until


def journal_with_pending_messages(folder: Path, count: int) -> Path:
    """Creates the state folder of an earlier process with accepted messages that were not attempted."""
    state = folder / "state"
    state.mkdir()
    journal, now = Journal(state, 3_000_000), unix_time_ms()
    for n in range(count):
        journal.append_accepted(JournalEntry(f"m{n}", "safe", "t", 7, None, now, now + 8000, "", b"hello"))
    journal.close()
    return state


async def start_agent_and_two_servers() -> tuple[Agent, Server, Server]:
    agent, old, new = Agent(), Server(), Server()
    for server in (agent, old, new):
        await server.start()
    return agent, old, new


def list_with_move(old: Server, new: Server, generation: int = 2) -> dict[str, Any]:
    raw = listing(old, generation=generation, reset=False, state="draining")
    raw["instances"] += listing(new)["instances"]
    return raw


def test_restored_messages_are_not_sent_to_endpoint_that_first_poll_reports_draining(tmp_path: Path) -> None:
    """Reported by operators for rolling restarts: without the wait for the first poll, two of three messages
    were sent to the endpoint that had drained while the process was down."""

    async def work() -> None:
        state = journal_with_pending_messages(tmp_path, 3)
        agent, old, new = await start_agent_and_two_servers()
        agent.publish(list_with_move(old, new))
        async with relay(state, agent, old):
            await until(lambda: len(new.seen) == 3)
            assert not old.seen
            assert agent.seen[0].target.endswith("hold_ms=0")  # not a long poll

    run(work())


def test_configured_list_is_used_after_wait_if_discovery_is_silent_at_start(tmp_path: Path) -> None:
    async def work() -> None:
        state = journal_with_pending_messages(tmp_path, 3)
        agent, old, _ = await start_agent_and_two_servers()
        agent.silent = True
        started_at = time.monotonic()
        async with relay(state, agent, old) as host:
            async with Client(host.ingress.port) as client:  # it accepts messages during the wait
                assert await client.send(message("n")) == 202
            assert not old.seen
            await until(lambda: len(old.seen) == 4)
            assert time.monotonic() - started_at >= core_host.INITIAL_LIST_TIMEOUT_S

    run(work())


def test_received_answer_of_former_agent_is_ignored_after_reload(tmp_path: Path) -> None:
    """The response is already in the poll's future at the reload: neither its list nor its version may be
    used with the new agent, which has its own versions."""

    async def work() -> None:
        state = journal_with_pending_messages(tmp_path, 0)
        agent, old, new = await start_agent_and_two_servers()
        other = await Agent().start()
        async with relay(state, agent, old) as host:
            # A long poll is open.
            await until(lambda: any("hold_ms=0" not in seen.target for seen in agent.seen))
            connection = host.register.agent.connection
            assert connection is not None
            body = json.dumps(list_with_move(old, new, generation=90))
            # At the reload the response has been read, but the task that waits for it has not resumed.
            connection.data_received(answer(200, body=body))
            assert connection.complete_body.done()
            config = host.host.config
            host.reload(_with_agent(config, other))
            await until(lambda: bool(other.seen))
            assert other.seen[0].target == "/v1/servers" and host.register.version == -1
            assert {known.address for known in host.directory.by_name.values()} == {old.address}
            other.publish(listing(new, generation=3))
            await until(lambda: host.register.version == 3)
            await until(lambda: any("from=3&" in seen.target for seen in other.seen))
            assert {known.address for known in host.directory.by_name.values()} == {new.address}

    run(work())


def _with_agent(config: Config, agent: Server) -> Config:
    return replace(config, discovery=agent.address)


@pytest.mark.parametrize("moment", ("pause", "watch"))
def test_reload_polls_new_agent_at_once(tmp_path: Path, moment: str) -> None:
    async def work() -> None:
        state = journal_with_pending_messages(tmp_path, 0)
        agent, old, new = await start_agent_and_two_servers()
        other = await Agent().start()
        async with relay(state, agent, old) as host:
            if moment == "pause":
                host.register.poll_schedule.backoff.maximum = host.register.poll_schedule.backoff.initial = (
                    60_000.0
                )
                agent.changes.put_nowait(answer(500))
                await until(lambda: host.register.poll_schedule.backoff.failures > 0)
            else:
                await until(lambda: any("hold_ms=0" not in seen.target for seen in agent.seen))
            host.reload(_with_agent(host.host.config, other))
            await until(lambda: bool(other.seen))
            other.publish(listing(new, generation=1))
            await until(lambda: {known.address for known in host.directory.by_name.values()} == {new.address})

    run(work())


@pytest.mark.parametrize("layout", ("compact", "indented"))
def test_changed_endpoint_address_is_followed(tmp_path: Path, layout: str) -> None:
    async def work() -> None:
        state = journal_with_pending_messages(tmp_path, 0)
        agent, old, new = await start_agent_and_two_servers()
        async with relay(state, agent, old) as host:
            raw = listing(new, generation=2, reset=False)
            (name,) = host.directory.by_name
            raw["instances"][0]["instanceId"] = name
            removal = {"instanceId": name, "lifecycle": "gone"}  # malformed except for its lifecycle
            raw["instances"] = [removal, *raw["instances"]]
            body = json.dumps(raw, indent=2 if layout == "indented" else None)
            agent.changes.put_nowait(answer(200, body=body))
            await until(lambda: host.register.version == 2)
            async with Client(host.ingress.port) as client:
                assert await client.send(message("n")) == 202
            await until(lambda: len(new.seen) == 1)
            assert not old.seen

    run(work())


def test_truncated_list_changes_nothing_and_is_polled_again(tmp_path: Path) -> None:
    async def work() -> None:
        state = journal_with_pending_messages(tmp_path, 0)
        agent, old, new = await start_agent_and_two_servers()
        async with relay(state, agent, old) as host:
            await until(lambda: any("hold_ms=0" not in seen.target for seen in agent.seen))
            response = answer(200, body=json.dumps(list_with_move(old, new)))
            agent.changes.put_nowait(response[:-40])
            await until(lambda: bool(agent.writers) and len(agent.seen) >= 2)
            agent.writers[-1].close()  # the remaining bytes never arrive
            await until(lambda: len(agent.seen) >= 4)
            assert host.register.version == 1 and len(host.directory.by_name) == 1
            agent.publish(list_with_move(old, new))
            await until(lambda: host.register.version == 2)

    run(work())


def test_lists_are_followed_during_graceful_shutdown(tmp_path: Path) -> None:
    """Discovery responds only during the shutdown: messages are sent to the endpoints of that list."""

    async def work() -> None:
        state = journal_with_pending_messages(tmp_path, 0)
        agent, old, new = await start_agent_and_two_servers()
        host = host_of(state, agent, old)
        await host.start()
        await until(lambda: bool(agent.seen))
        stopping = asyncio.ensure_future(host.stop())
        agent.publish(list_with_move(old, new))
        await until(lambda: host.register.version == 2)
        async with Client(host.ingress.port) as client:
            assert await client.send(message("n")) == 202
        await until(lambda: len(new.seen) == 1)
        assert not old.seen
        await stopping

    run(work())


def test_reload_requests_full_list_from_new_agent(tmp_path: Path) -> None:
    async def work() -> None:
        discovery = DiscoveryClient(("127.0.0.1", 1), 3, 1, shared=False)
        discovery.version = 7
        discovery.poll_schedule.on_answered()
        assert isinstance(discovery.agent, AgentLink)
        state = journal_with_pending_messages(tmp_path, 0)
        agent = await Agent().start()
        host: Running = host_of(state, agent)
        discovery.reload(host.host.config)
        assert discovery.version == -1 and discovery.poll_schedule.watch_duration_ms() == 0.0
        assert discovery.agent.address == agent.address
        await host.close()

    run(work())


def test_wait_for_first_list_does_not_extend_deadlines(tmp_path: Path) -> None:
    """When events were queued during the wait, the deadline and the idempotency window of a message, which
    are remaining times, were extended by the wait, and a message was retried after its window."""

    async def work() -> None:
        state = tmp_path / "state"
        state.mkdir()
        journal, now = Journal(state, 3_000_000), unix_time_ms()
        entry = JournalEntry("k", "keyed", "t", 7, "key", now - 5000, now + 9000, "", b"hello")
        journal.append_accepted(entry)
        journal.append_attempt(entry, now - 3800.0, "s-old", 0)  # its window of 4 s ends during the wait
        journal.close()
        agent, old, _ = await start_agent_and_two_servers()
        agent.silent = True
        async with relay(state, agent, old):
            assert (await agent.notices.get())["id"] == "k"
            assert not old.seen

    run(work())


def test_stop_before_first_list_keeps_destination_snapshot(tmp_path: Path) -> None:
    async def work() -> None:
        state = journal_with_pending_messages(tmp_path, 0)
        agent, old, _ = await start_agent_and_two_servers()
        agent.silent = True
        destination = {"destination": 7, "wait_ms": 30000.0, "out": False, "bad_ms": None, "cold_ms": None}
        text = json.dumps({"version": 1, "at": unix_time_ms(), "lanes": [destination]})
        (state / "learned").write_text(text)
        host = host_of(state, agent, old)
        await host.start()
        await host.close()
        assert (state / "learned").read_text() == text

    run(work())

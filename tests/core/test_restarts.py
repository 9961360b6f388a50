"""Restarts with many unattempted messages, a short idempotency window, SIGKILL at each step, few descriptors.

Tests that depend on signals use real processes; the fake endpoint records what had an effect.
"""

from __future__ import annotations

import asyncio
import copy
import os
import signal
import socket
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from message_relay.core.clock import unix_time_ms
from message_relay.decisions.events import Message
from message_relay.decisions.model import Effect, Endpoint, Listing, MessageClass
from message_relay.store.journal import Journal
from message_relay.store.records import JournalEntry

from ..conftest import Driver, make_settings
from ..loopback import SETTINGS, Agent, Client, Server, answer, host_of, listing, message, run, until
from .test_process import Process

MESSAGE_COUNT = 500


def settings_of(**limits: Any) -> dict[str, Any]:
    settings = copy.deepcopy(SETTINGS)
    settings["limits"].update(limits)
    return settings


async def start_environment(folder: Path, **config: Any) -> tuple[Agent, Server, Process]:
    agent, server = await Agent().start(), await Server().start()
    process = Process(folder, agent, server)
    process.raw |= config
    process.configure()
    return agent, server, process


def test_untried_messages_are_attempted_after_a_restart_with_lower_limits(tmp_path: Path) -> None:
    """500 unattempted messages with half of their time left, and a limit for pending messages lowered to
    their number: each is attempted. When the messages of least value were shed at the limit, 75 of 500 were
    given up without an attempt."""

    async def work() -> None:
        agent, server, process = await start_environment(
            tmp_path, settings=settings_of(**{"open-cap": MESSAGE_COUNT})
        )
        journal, now = Journal(process.state, 3_000_000), unix_time_ms()
        for n in range(MESSAGE_COUNT):
            journal.append_accepted(
                JournalEntry(f"m{n}", "unsafe", "t", 7, None, now - 8000, now + 8000 + n, "", b"hello")
            )
        journal.close()
        raw = listing(server)
        raw["instances"][0]["weight"] = 200.0
        process.configure(known=raw)
        await process.start()
        await until(lambda: len(server.seen) == MESSAGE_COUNT)
        assert Counter(seen.headers["x-trace-id"] for seen in server.seen).most_common(1)[0][1] == 1
        assert await process.stop(signal.SIGTERM) == 0
        assert agent.notices.empty()

    run(work())


def test_of_equal_resumed_messages_the_earliest_deadline_is_first(tmp_path: Path) -> None:
    async def work() -> None:
        settings = copy.deepcopy(SETTINGS)
        settings["extra"]["call-slots"] = 1
        agent, server, process = await start_environment(tmp_path, settings=settings)
        journal, now = Journal(process.state, 3_000_000), unix_time_ms()
        for n in (3, 1, 4, 0, 2):
            journal.append_accepted(
                JournalEntry(f"m{n}", "unsafe", "t", 7, None, now - 100 + n, now + 15_900 + n, "", b"hello")
            )
        journal.close()
        await process.start()
        await until(lambda: len(server.seen) == 5)
        assert [seen.headers["x-trace-id"] for seen in server.seen] == [f"m{n}" for n in range(5)]
        assert await process.stop(signal.SIGTERM) == 0

    run(work())


@pytest.mark.parametrize(
    ("downtime_ms", "is_sent"),
    [(0.0, True), (900.0, True), (990.0, True), (996.0, False), (1000.0, False), (60_000.0, False)],
)
def test_a_keyed_message_that_may_have_run_is_retried_within_its_window_only(
    downtime_ms: float, is_sent: bool
) -> None:
    """The window includes the time without a process, from the first byte of the attempt in flight at the
    kill."""
    classes = (MessageClass("k", Effect.KEYED, 1000.0, 10000.0, 1.0, 0.5, 1000.0),)
    driver = Driver(make_settings(classes=classes))
    driver.listed((1, 1))
    driver.feed(
        Message(
            1,
            1,
            0,
            5000.0,
            age_ms=downtime_ms + 100,
            attempts=1,
            uncertain_for_ms=downtime_ms,
            uncertain_endpoint=Endpoint(1, 1, Listing.READY),
        )
    )
    driver.pass_time(3000)
    assert [sent_at for sent_at, _ in driver.sent if sent_at - 1000.0 + downtime_ms >= 1000.0] == []
    assert bool(driver.sent) == is_sent


@pytest.mark.parametrize("step_ms", (-3_600_000, -20_000, 2_000, 3_600_000))
def test_a_wall_clock_step_between_processes_sends_no_keyed_message_past_its_window(
    tmp_path: Path, step_ms: int
) -> None:
    """The newest journal record is in the future or far in the past: if in doubt, the message is not sent."""

    async def work() -> None:
        settings = copy.deepcopy(SETTINGS)
        settings["classes"][0]["window-ms"] = 1000.0
        agent, server, process = await start_environment(tmp_path, settings=settings)
        journal, now = Journal(process.state, 3_000_000), unix_time_ms() - step_ms
        entry = JournalEntry("k", "keyed", "t", 7, "key", now - 2000, now + 3_700_000, "", b"hello")
        journal.append_accepted(entry)
        journal.append_attempt(entry, now - 1500, "s-old", 0)  # actually 1.5 s ago: past its window
        journal.close()
        await process.start()
        assert (await agent.notices.get())["id"] == "k"
        assert not server.seen
        assert await process.stop(signal.SIGTERM) == 0

    run(work())


@pytest.mark.parametrize(
    ("wall_age_ms", "uptime_age_ms", "is_sent"),
    [
        (500.0, 500.0, True),
        (500.0, 6000.0, False),
        (6000.0, 500.0, False),
        (-60_000.0, 500.0, True),
        (-60_000.0, None, False),
        (500.0, None, True),
        (500.0, -1e9, True),
    ],
)
def test_the_larger_of_two_clocks_ages_counts_and_an_unknown_age_prevents_sending(
    tmp_path: Path, wall_age_ms: float, uptime_age_ms: float | None, is_sent: bool
) -> None:
    """With a wall clock set back by a second, 1.5 s ago looks like 0.5 s; after a reboot the uptime is less
    than the recorded one. The wall clock alone gave wrong results."""

    async def work() -> None:
        settings = copy.deepcopy(SETTINGS)
        settings["classes"][0]["window-ms"] = 5000.0  # long enough for the start of a process
        agent, server, process = await start_environment(tmp_path, settings=settings)
        journal, now = Journal(process.state, 3_000_000), unix_time_ms()
        entry = JournalEntry("k", "keyed", "t", 7, "key", now - 9000, now + 7000, "", b"hello")
        journal.append_accepted(entry)
        uptime_ms = -1.0 if uptime_age_ms is None else time.monotonic() * 1000 - uptime_age_ms
        journal.append_attempt(entry, now - wall_age_ms, "s-old", 0, uptime_ms)
        journal.close()
        await process.start()
        if is_sent:
            await until(lambda: len(server.seen) == 1)
        else:
            assert (await agent.notices.get())["id"] == "k" and not server.seen
        assert await process.stop(signal.SIGTERM) == 0

    run(work())


STEPS = ("taken", "tried", "byte", "answered", "ended", "noticed")


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("class_", ("safe", "unsafe"))
def test_a_kill_at_each_step_of_a_messages_life_keeps_every_promise(
    tmp_path: Path, step: str, class_: str
) -> None:
    """SIGKILL right after one step: acceptance journalled, attempt journalled, request sent, response
    received, final outcome, notification. After the restart the message gets one outcome; an unsafe one runs
    at most once."""

    async def work() -> None:
        agent, server, process = await start_environment(tmp_path)
        server.default_reply = None if step in ("byte",) else answer(500)
        agent.script.extend([answer(503)] * 1000 if step == "ended" else [])
        if step in ("taken", "tried"):  # what a kill at this step leaves in the folder
            journal, now = Journal(process.state, 3_000_000), unix_time_ms()
            entry = JournalEntry("m", class_, "t", 7, None, now, now + 8000, "", b"hello")
            journal.append_accepted(entry)
            if step == "tried":
                journal.append_attempt(entry, now, f"s-{server.address[1]}", 0)
            journal.close()
        else:
            await process.start()
            await process.submit(message("m", class_))
            await until(lambda: bool(server.seen))
            if step == "ended" and class_ == "unsafe":
                await until(lambda: len(agent.script) < 1000)
            if step == "noticed" and class_ == "unsafe":
                await agent.notices.get()
            await process.stop(signal.SIGKILL)
        earlier_attempts = len(server.seen)
        agent.script.clear()
        server.default_reply = answer(200)
        await process.start()
        if class_ == "safe":
            await until(lambda: len(server.seen) == earlier_attempts + 1)
        elif step in ("tried", "byte", "answered", "ended"):
            assert (await agent.notices.get()) == {"id": "m", "state": "failed"}
        elif step == "taken":
            await until(lambda: len(server.seen) == 1)
        assert await process.stop(signal.SIGTERM) == 0
        if class_ == "unsafe":
            assert len(server.seen) <= 1
        entries = Journal(process.state, 3_000_000).entries
        assert all(each.final_state and not each.is_unfinished for each in entries.values())

    run(work())


# -- descriptors -------------------------------------------------------------------------------------------

SOCKETS = 96


class ProcessWithDescriptorLimit(Process):
    """A process with a low limit of open descriptors."""

    async def start(self, **variables: str) -> None:
        command = f"ulimit -n {SOCKETS}; exec {sys.executable} -m message_relay"
        env = {**os.environ, "RELAY_CONFIG": str(self.config), **variables}
        self.process = await asyncio.create_subprocess_exec("sh", "-c", command, env=env)
        while not await self._ready():
            assert self.process.returncode is None
            await asyncio.sleep(0.02)

    async def _ready(self) -> bool:
        try:
            async with Client(self.port) as client:
                return await client.send(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n") == 200
        except OSError:
            return False


def test_idle_clients_at_the_limit_block_neither_messages_nor_reloads_while_discovery_is_down(
    tmp_path: Path,
) -> None:
    """150 clients connect to a process with 96 descriptors and send nothing, while discovery does not
    respond. Messages are still accepted, journalled and delivered, and a new configuration is loaded and its
    agent polled."""

    async def work() -> None:
        agent, server = await Agent(silent=True).start(), await Server().start()
        process = ProcessWithDescriptorLimit(tmp_path, agent, server)
        process.raw["limits"] = {"sockets": SOCKETS, "disk_mb": 3}
        process.configure()
        await process.start()
        idle_clients = []
        for _ in range(150):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", process.port))
            idle_clients.append(sock)
        descriptor_count = len(os.listdir(f"/proc/{process.process.pid}/fd"))
        assert descriptor_count <= SOCKETS
        for n in range(10):
            await process.submit(message(f"m{n}"))
        await until(lambda: len(server.seen) == 10)
        other = await Agent().start()
        other.publish(listing(server, generation=9))
        process.configure(discovery="{}:{}".format(*other.address))
        process.process.send_signal(signal.SIGHUP)
        await until(lambda: any("from=9" in seen.target for seen in other.seen))
        for sock in idle_clients:
            sock.close()
        assert await process.stop(signal.SIGTERM) == 0

    run(work())


def test_unresumed_messages_count_as_pending(tmp_path: Path) -> None:
    """They matter to an operator who waits for a drained process, and to a stop right after the start. When
    only resumed messages were counted, a fleet was reported drained right after a restart."""

    async def work() -> None:
        agent, server = await Agent(silent=True).start(), await Server().start()
        state = tmp_path / "state"
        state.mkdir()
        journal, now = Journal(state, 3_000_000), unix_time_ms()
        journal.append_accepted(JournalEntry("m", "safe", "t", 7, None, now, now + 8000, "", b"hello"))
        journal.close()
        host = host_of(state, agent, server)
        await host.start()
        assert not host.accepted and host.messages.pending_count == 1 and not host.host.is_idle
        assert [entry.id for entry in host.messages.pending_entries()] == ["m"]
        stopping = asyncio.ensure_future(host.stop())
        await until(lambda: len(server.seen) == 1)  # it is attempted during the stop
        await stopping

    run(work())

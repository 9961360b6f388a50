"""Restarts in their worst moments: much left untried, a repeat window of a second, a kill at each step, and
few descriptors. Real processes where a signal matters; the partners' ledgers tell what took effect."""

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

LEFT = 500


def settings_of(**limits: Any) -> dict[str, Any]:
    settings = copy.deepcopy(SETTINGS)
    settings["limits"].update(limits)
    return settings


async def world(folder: Path, **config: Any) -> tuple[Agent, Server, Process]:
    agent, server = await Agent().start(), await Server().start()
    process = Process(folder, agent, server)
    process.raw |= config
    process.configure()
    return agent, server, process


def test_untried_messages_are_attempted_after_a_restart_with_lower_limits(tmp_path: Path) -> None:
    """500 untried, half of their time left, and a hold that is lowered to where they fill it: each gets its
    call. Seen to fail where room was made in a full hold by what is worth least: 75 of 500 were given up
    uncalled."""

    async def work() -> None:
        agent, server, process = await world(tmp_path, settings=settings_of(**{"open-cap": LEFT}))
        journal, now = Journal(process.state, 3_000_000), unix_time_ms()
        for n in range(LEFT):
            journal.append_accepted(
                JournalEntry(f"m{n}", "unsafe", "t", 7, None, now - 8000, now + 8000 + n, "", b"hello")
            )
        journal.close()
        raw = listing(server)
        raw["instances"][0]["weight"] = 200.0
        process.configure(known=raw)
        await process.start()
        await until(lambda: len(server.seen) == LEFT)
        assert Counter(seen.headers["x-trace-id"] for seen in server.seen).most_common(1)[0][1] == 1
        assert await process.end(signal.SIGTERM) == 0
        assert agent.notices.empty()

    run(work())


def test_of_equal_resumed_messages_the_earliest_deadline_is_first(tmp_path: Path) -> None:
    async def work() -> None:
        settings = copy.deepcopy(SETTINGS)
        settings["extra"]["call-slots"] = 1
        agent, server, process = await world(tmp_path, settings=settings)
        journal, now = Journal(process.state, 3_000_000), unix_time_ms()
        for n in (3, 1, 4, 0, 2):
            journal.append_accepted(
                JournalEntry(f"m{n}", "unsafe", "t", 7, None, now - 100 + n, now + 15_900 + n, "", b"hello")
            )
        journal.close()
        await process.start()
        await until(lambda: len(server.seen) == 5)
        assert [seen.headers["x-trace-id"] for seen in server.seen] == [f"m{n}" for n in range(5)]
        assert await process.end(signal.SIGTERM) == 0

    run(work())


@pytest.mark.parametrize(
    ("dead_ms", "goes"),
    [(0.0, True), (900.0, True), (990.0, True), (996.0, False), (1000.0, False), (60_000.0, False)],
)
def test_a_keyed_message_that_may_have_run_is_retried_within_its_window_only(
    dead_ms: float, goes: bool
) -> None:
    """The time spent dead counts, from the first byte of the attempt that was out at the kill."""
    classes = (MessageClass("k", Effect.KEYED, 1000.0, 10000.0, 1.0, 0.5, 1000.0),)
    driver = Driver(make_settings(classes=classes))
    driver.listed((1, 1))
    driver.feed(
        Message(
            1,
            1,
            0,
            5000.0,
            age_ms=dead_ms + 100,
            attempts=1,
            uncertain_for_ms=dead_ms,
            uncertain_endpoint=Endpoint(1, 1, Listing.READY),
        )
    )
    driver.pass_time(3000)
    assert [at for at, _ in driver.sent if at - 1000.0 + dead_ms >= 1000.0] == []
    assert bool(driver.sent) == goes


@pytest.mark.parametrize("step_ms", (-3_600_000, -20_000, 2_000, 3_600_000))
def test_a_wall_clock_step_between_processes_sends_no_keyed_message_past_its_window(
    tmp_path: Path, step_ms: int
) -> None:
    """The journal's newest record is later than the clock says now, or much earlier: in doubt it is not
    sent."""

    async def work() -> None:
        settings = copy.deepcopy(SETTINGS)
        settings["classes"][0]["window-ms"] = 1000.0
        agent, server, process = await world(tmp_path, settings=settings)
        journal, now = Journal(process.state, 3_000_000), unix_time_ms() - step_ms
        entry = JournalEntry("k", "keyed", "t", 7, "key", now - 2000, now + 3_700_000, "", b"hello")
        journal.append_accepted(entry)
        journal.append_attempt(entry, now - 1500, "s-old", 0)  # 1.5 s ago in truth: past its window
        journal.close()
        await process.start()
        assert (await agent.notices.get())["id"] == "k"
        assert not server.seen
        assert await process.end(signal.SIGTERM) == 0

    run(work())


@pytest.mark.parametrize(
    ("wall_ago", "up_ago", "goes"),
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
def test_the_larger_of_two_clocks_ages_counts_and_doubt_sends_nothing(
    tmp_path: Path, wall_ago: float, up_ago: float | None, goes: bool
) -> None:
    """A wall clock set back by a second makes 1.5 s ago look like 0.5 s; a machine that has started anew
    has an uptime that is less than the record's. Seen to fail by the wall clock alone."""

    async def work() -> None:
        settings = copy.deepcopy(SETTINGS)
        settings["classes"][0]["window-ms"] = 5000.0  # long enough for the start of a process
        agent, server, process = await world(tmp_path, settings=settings)
        journal, now = Journal(process.state, 3_000_000), unix_time_ms()
        entry = JournalEntry("k", "keyed", "t", 7, "key", now - 9000, now + 7000, "", b"hello")
        journal.append_accepted(entry)
        up = -1.0 if up_ago is None else time.monotonic() * 1000 - up_ago
        journal.append_attempt(entry, now - wall_ago, "s-old", 0, up)
        journal.close()
        await process.start()
        if goes:
            await until(lambda: len(server.seen) == 1)
        else:
            assert (await agent.notices.get())["id"] == "k" and not server.seen
        assert await process.end(signal.SIGTERM) == 0

    run(work())


STEPS = ("taken", "tried", "byte", "answered", "ended", "noticed")


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("class_", ("safe", "unsafe"))
def test_a_kill_at_each_step_of_a_messages_life_keeps_every_promise(
    tmp_path: Path, step: str, class_: str
) -> None:
    """Killed with SIGKILL right after: the record of its taking, that of its attempt, its bytes, its
    answer, its end, its notice. Started again, it gets one end; an unsafe one runs once at most."""

    async def work() -> None:
        agent, server, process = await world(tmp_path)
        server.usual = None if step in ("byte",) else answer(500)
        agent.script.extend([answer(503)] * 1000 if step == "ended" else [])
        if step in ("taken", "tried"):  # what such a kill leaves in the folder
            journal, now = Journal(process.state, 3_000_000), unix_time_ms()
            entry = JournalEntry("m", class_, "t", 7, None, now, now + 8000, "", b"hello")
            journal.append_accepted(entry)
            if step == "tried":
                journal.append_attempt(entry, now, f"s-{server.address[1]}", 0)
            journal.close()
        else:
            await process.start()
            await process.hand_in(message("m", class_))
            await until(lambda: bool(server.seen))
            if step == "ended" and class_ == "unsafe":
                await until(lambda: len(agent.script) < 1000)
            if step == "noticed" and class_ == "unsafe":
                await agent.notices.get()
            await process.end(signal.SIGKILL)
        ran = len(server.seen)
        agent.script.clear()
        server.usual = answer(200)
        await process.start()
        if class_ == "safe":
            await until(lambda: len(server.seen) == ran + 1)
        elif step in ("tried", "byte", "answered", "ended"):
            assert (await agent.notices.get()) == {"id": "m", "state": "failed"}
        elif step == "taken":
            await until(lambda: len(server.seen) == 1)
        assert await process.end(signal.SIGTERM) == 0
        if class_ == "unsafe":
            assert len(server.seen) <= 1
        entries = Journal(process.state, 3_000_000).entries
        assert all(each.final_state and not each.is_unfinished for each in entries.values())

    run(work())


# -- descriptors -------------------------------------------------------------------------------------------

SOCKETS = 96


class Narrow(Process):
    """A process that the system lets hold few descriptors."""

    async def start(self, **more: str) -> None:
        command = f"ulimit -n {SOCKETS}; exec {sys.executable} -m message_relay"
        env = {**os.environ, "RELAY_CONFIG": str(self.config), **more}
        self.process = await asyncio.create_subprocess_exec("sh", "-c", command, env=env)
        while not await self._ready():
            assert self.process.returncode is None
            await asyncio.sleep(0.02)

    async def _ready(self) -> bool:
        try:
            async with Client(self.port) as client:
                return await client.ask(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n") == 200
        except OSError:
            return False


def test_idle_clients_at_the_limit_starve_nothing_while_discovery_is_down(tmp_path: Path) -> None:
    """150 clients connect and say nothing to a process with 96 descriptors, while discovery is silent: a
    message is still taken on, journalled and delivered, and the new configuration is read and its discovery
    asked."""

    async def work() -> None:
        agent, server = await Agent(silent=True).start(), await Server().start()
        process = Narrow(tmp_path, agent, server)
        process.raw["limits"] = {"sockets": SOCKETS, "disk_mb": 3}
        process.configure()
        await process.start()
        crowd = []
        for _ in range(150):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", process.port))
            crowd.append(sock)
        held = len(os.listdir(f"/proc/{process.process.pid}/fd"))
        assert held <= SOCKETS
        for n in range(10):
            await process.hand_in(message(f"m{n}"))
        await until(lambda: len(server.seen) == 10)
        other = await Agent().start()
        other.tell(listing(server, generation=9))
        process.configure(discovery="{}:{}".format(*other.address))
        process.process.send_signal(signal.SIGHUP)
        await until(lambda: any("from=9" in seen.target for seen in other.seen))
        for sock in crowd:
            sock.close()
        assert await process.end(signal.SIGTERM) == 0

    run(work())


def test_unresumed_messages_count_as_pending(tmp_path: Path) -> None:
    """Whoever waits until a process holds nothing, and a stop within the first moments, must not pass it
    over. Seen to fail where only what had been taken up was counted: a fleet was reported drained right
    after a restart."""

    async def work() -> None:
        agent, server = await Agent(silent=True).start(), await Server().start()
        state = tmp_path / "state"
        state.mkdir()
        journal, now = Journal(state, 3_000_000), unix_time_ms()
        journal.append_accepted(JournalEntry("m", "safe", "t", 7, None, now, now + 8000, "", b"hello"))
        journal.close()
        host = host_of(state, agent, server)
        await host.start()
        assert not host.held and host.messages.pending_count == 1 and not host.host.is_idle
        assert [entry.id for entry in host.messages.pending_entries()] == ["m"]
        stopping = asyncio.ensure_future(host.stop())
        await until(lambda: len(server.seen) == 1)  # it has its try, in the drain of the stop
        await stopping

    run(work())

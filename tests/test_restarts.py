"""Restarts in their worst moments: much left untried, a repeat window of a second, a kill at each step, and
few descriptors. Real processes where a signal matters; the partners' ledgers tell what took effect."""

from __future__ import annotations

import copy
import signal
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from linnetstile.core.messages import unix_ms
from linnetstile.decisions import interface as api
from linnetstile.store.journal import Entry, Journal

from .conftest import Driver, make_settings
from .loopback import SETTINGS, Agent, Server, listing, run, until
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


def test_what_a_restart_finds_untried_is_tried_though_the_limits_were_lowered(tmp_path: Path) -> None:
    """500 untried, half of their time left, and a hold that is lowered to where they fill it: each gets its
    call. Seen to fail where room was made in a full hold by what is worth least: 75 of 500 were given up
    uncalled."""
    async def work() -> None:
        agent, server, process = await world(tmp_path, settings=settings_of(**{"open-cap": LEFT}))
        journal, now = Journal(process.state, 3_000_000), unix_ms()
        for n in range(LEFT):
            journal.take(Entry(f"m{n}", "unsafe", "t", 7, None, now - 8000, now + 8000 + n, "", b"hello"))
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


def resumed(driver: Driver, ident: int, class_: int, left: float, **more: Any) -> api.Message:
    return api.Message(ident, 1, class_, left, age_ms=5000.0, **more)


def test_of_what_was_left_and_counts_alike_the_earliest_end_goes_first(tmp_path: Path) -> None:
    async def work() -> None:
        settings = copy.deepcopy(SETTINGS)
        settings["extra"]["call-slots"] = 1
        agent, server, process = await world(tmp_path, settings=settings)
        journal, now = Journal(process.state, 3_000_000), unix_ms()
        for n in (3, 1, 4, 0, 2):
            journal.take(Entry(f"m{n}", "unsafe", "t", 7, None, now - 100 + n, now + 7900 + n, "", b"hello"))
        journal.close()
        await process.start()
        await until(lambda: len(server.seen) == 5)
        assert [seen.headers["x-trace-id"] for seen in server.seen] == [f"m{n}" for n in range(5)]
        assert await process.end(signal.SIGTERM) == 0
    run(work())


@pytest.mark.parametrize(("dead_ms", "goes"), [
    (0.0, True), (900.0, True), (990.0, True), (996.0, False), (1000.0, False), (60_000.0, False)])
def test_a_keyed_message_that_may_have_run_goes_again_within_a_window_of_a_second_only(
    dead_ms: float, goes: bool
) -> None:
    """The time spent dead counts, from the first byte of the attempt that was out at the kill."""
    classes = (api.MessageClass("k", api.Effect.KEYED, 1000.0, 10000.0, 1.0, 0.5, 1000.0),)
    driver = Driver(make_settings(classes=classes))
    driver.listed((1, 1))
    driver.feed(api.Message(1, 1, 0, 5000.0, age_ms=dead_ms + 100, tries=1, risk_age_ms=dead_ms,
                            risk=api.Endpoint(1, 1, api.Listing.READY)))
    driver.pass_time(3000)
    assert [at for at, _ in driver.sent if at - 1000.0 + dead_ms >= 1000.0] == []
    assert bool(driver.sent) == goes


@pytest.mark.parametrize("step_ms", (-3_600_000, -2_000, 2_000, 3_600_000))
def test_a_wall_clock_that_steps_between_two_lives_sends_no_keyed_message_past_its_window(
    tmp_path: Path, step_ms: int
) -> None:
    """The journal's newest record is later than the clock says now, or much earlier: in doubt it is not
    sent."""
    async def work() -> None:
        settings = copy.deepcopy(SETTINGS)
        settings["classes"][0]["window-ms"] = 1000.0
        agent, server, process = await world(tmp_path, settings=settings)
        journal, now = Journal(process.state, 3_000_000), unix_ms() - step_ms
        entry = Entry("k", "keyed", "t", 7, "key", now - 2000, now + 3_700_000, "", b"hello")
        journal.take(entry)
        journal.tried(entry, now - 1500, "s-old", 0)  # 1.5 s ago in truth: past its window
        journal.close()
        await process.start()
        assert (await agent.notices.get())["id"] == "k"
        assert not server.seen
        assert await process.end(signal.SIGTERM) == 0
    run(work())

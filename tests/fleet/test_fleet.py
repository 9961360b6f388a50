"""Real processes under the supervisor: kills, freezes, restarts, fewer of them, a partner that returns."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import stat
import time
from pathlib import Path

import pytest
from click.testing import CliRunner

from benchmarks.processes import Clients, Fleet, expected, fleet, over
from message_relay.cli import demo
from message_relay.cli.main import group
from message_relay.fleet.report import FleetReport, InstanceLine

from ..loopback import until

QUICK = (
    "ready_s = 20\nstop_s = 8\nwatchdog_s = 0\nfirst_wait_s = 0.1\nmost_wait_s = 0.4\nloop_crashes = 3\n"
    "stagger_s = 0\n"
)


def go(work: object) -> None:
    asyncio.run(asyncio.wait_for(work, 120.0))  # type: ignore[arg-type]


def alive(pid: int) -> bool:
    try:
        os.kill(pid, 0)
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except (ProcessLookupError, FileNotFoundError):
        return False


async def line_of(it: Fleet, n: int) -> InstanceLine:
    told = await it.until(lambda told: True)
    return told.lines[n]


async def shown(it: Fleet, *more: str) -> str:
    """What `status` prints; it has a loop of its own."""
    words = ["status", "--folder", str(it.folder / "run"), *more]
    return (await asyncio.to_thread(CliRunner().invoke, group, words)).stdout


def whole(told: FleetReport) -> bool:
    return told.up == told.instances and not told.rolling


def test_a_partner_that_returns_cold_is_not_pushed_past_its_rate(tmp_path: Path) -> None:
    """The forty of benchmarks.processes, as four and quicker. The bounds have room for a late process:
    what the decisions do by themselves is in tests/decisions/test_rate_slots.py."""

    async def work() -> None:
        async with fleet(4, 24.0, True, down_s=3.0, warm_s=4.0, deadline_share=0.5, more=QUICK) as it:
            clients = Clients(it.port, 4, deadline_share=0.5)
            await clients.run(16.0, 5.0)
            begin = time.time() * 1000
            it.send_signal("partner", signal.SIGUSR1)
            await clients.run(16.0, 9.0)
            await it.wait_until_drained(12.0)
            agreed = expected(24.0, begin, begin + 3000.0, 4000.0)
            second, cold = over(it.calls(), agreed, begin, begin + 3000.0)
            assert second <= 1.25 and cold <= 2.0 and it.violations(clients.taken) == []
            assert len(clients.taken) > 100 and len(it.effects()) > 60
            clients.close()

    go(work())


def test_rolling_restarts_under_traffic_lose_nothing_and_refuse_no_connection(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(3, 60.0, False, deadline_share=0.3, more=QUICK) as it:
            clients = Clients(it.port, 3, deadline_share=0.3)
            traffic = asyncio.ensure_future(clients.run(30.0, 600.0))
            before = {line.instance: line.pid for line in (await it.until(whole)).lines}
            for _ in range(2):
                it.send_signal("fleet", signal.SIGUSR2)
                await it.until(lambda told: told.rolling > 0)
                told = await it.until(whole)
            assert all(line.restarts == 2 and line.pid != before[line.instance] for line in told.lines)
            await clients.stop(traffic)
            await it.wait_until_drained(10.0)
            assert it.violations(clients.taken) == [] and len(clients.taken) > 50
            assert not {name for name in clients.answers if name.endswith("Error")}
            clients.close()

    go(work())


def test_a_killed_instance_comes_back_and_goes_on_with_what_it_held(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(2, 30.0, False, down_s=2.0, warm_s=1.0, more=QUICK) as it:
            clients = Clients(it.port, 1)
            it.send_signal("partner", signal.SIGUSR1)  # so that it holds them
            await clients.run(40.0, 0.5)
            pid = (await line_of(it, 0)).pid
            assert pid is not None and clients.taken
            os.kill(pid, signal.SIGKILL)
            told = await it.until(lambda told: told.lines[0].crashes == 1 and told.up == 2)
            assert told.lines[0].pid != pid and not told.lines[0].crash_loop
            await it.wait_until_drained(20.0)
            assert it.violations(clients.taken) == []
            clients.close()

    go(work())


def test_a_frozen_instance_is_killed_by_its_watchdog(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(2, 30.0, False, more=QUICK.replace("watchdog_s = 0", "watchdog_s = 1.5")) as it:
            pid = (await line_of(it, 1)).pid
            assert pid is not None
            os.kill(pid, signal.SIGSTOP)
            told = await it.until(lambda told: told.lines[1].crashes > 0 and told.up == 2)
            assert told.lines[1].pid != pid and told.lines[0].crashes == 0 and not alive(pid)

    go(work())


def test_a_frozen_instance_that_wakes_ends_what_is_over_and_sends_none_of_it(tmp_path: Path) -> None:
    """Its messages' time is up when it wakes: each gets its final answer, and no call goes out."""

    async def work() -> None:
        async with fleet(1, 30.0, False, down_s=1.5, warm_s=1.0, deadline_share=0.1, more=QUICK) as it:
            clients = Clients(it.port, 1, deadline_share=0.1)
            it.send_signal("partner", signal.SIGUSR1)
            await clients.run(60.0, 0.5)
            pid = (await line_of(it, 0)).pid
            assert pid is not None and len(clients.taken) > 10
            os.kill(pid, signal.SIGSTOP)
            await asyncio.sleep(4.0)  # the partner is back meanwhile, and all deadlines are over
            before = it.effects()
            os.kill(pid, signal.SIGCONT)
            await it.wait_until_drained(20.0)
            assert it.effects() == before and it.violations(clients.taken) == []
            assert set(it.final_states()) >= set(clients.taken) - set(before)
            clients.close()

    go(work())


def test_no_instance_outlives_a_supervisor_that_is_killed(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(3, 30.0, False, down_s=60.0, more=QUICK) as it:
            clients = Clients(it.port, 3)
            it.send_signal("partner", signal.SIGUSR1)
            await clients.run(40.0, 0.5)
            pids = [line.pid for line in (await it.until(whole)).lines if line.pid is not None]
            os.kill(pids[2], signal.SIGSTOP)  # one of them can't even hear of it, until it wakes
            it.send_signal("fleet", signal.SIGKILL)
            await it.processes["fleet"].wait()
            await until(lambda: not any(map(alive, pids[:2])))
            os.kill(pids[2], signal.SIGCONT)
            await until(lambda: not alive(pids[2]))
            # What they held is still there, and the next supervisor's instances owe its end.
            await it.start("fleet", "message_relay", "fleet", "--config", str(it.folder / "relay.toml"))
            await it.until(lambda told: told.up == 3)
            await it.wait_until_drained(40.0)
            assert it.violations(clients.taken) == [] and clients.taken
            clients.close()

    go(work())


def test_fewer_instances_end_what_they_hold_and_leave_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(
            4, 40.0, True, down_s=2.0, warm_s=1.0, deadline_share=0.5, settle_s=12.0, more=QUICK
        ) as it:
            clients = Clients(it.port, 4, deadline_share=0.5)
            it.send_signal("partner", signal.SIGUSR1)
            await clients.run(40.0, 1.0)
            good = (it.folder / "relay.toml").read_text()
            (it.folder / "relay.toml").write_text(good.replace("instances = 4", "instances = none"))
            it.send_signal("fleet", signal.SIGHUP)
            log = it.folder / "fleet.log"
            await until(lambda: b"operator's file rejected" in log.read_bytes())
            it.configure(2)
            assert (await it.until(whole)).instances == 4
            it.send_signal("fleet", signal.SIGHUP)
            gone = ["up", "up", "gone", "gone"]
            told = await it.until(lambda told: [line.state for line in told.lines] == gone)
            assert told.instances == 2
            clients.instances = 2
            await clients.run(20.0, 1.0)
            it.configure(3)  # one of them comes back, on the folder that it had
            it.send_signal("fleet", signal.SIGHUP)
            told = await it.until(lambda told: told.up == 3)
            clients.instances = 3
            await clients.run(20.0, 1.0)
            await it.wait_until_drained(15.0)
            assert it.violations(clients.taken) == [] and clients.answers["202"] > 40
            clients.close()

    go(work())


def test_a_crash_loop_is_told_and_the_others_serve(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(2, 30.0, False, more=QUICK) as it:
            pid, folder = (await line_of(it, 1)).pid, it.folder / "state" / "1"
            assert pid is not None
            folder.rename(it.folder / "aside")
            folder.write_text("a file, where a folder should be")
            os.kill(pid, signal.SIGKILL)
            told = await it.until(lambda told: told.lines[1].crash_loop)
            assert told.lines[0].state == "up" and told.lines[0].crashes == 0
            out = await shown(it)
            assert "crash loop" in out and "1 of 2 up" in out
            folder.unlink()
            (it.folder / "aside").rename(folder)
            await it.until(lambda told: told.up == 2)
            assert stat.S_IMODE((it.folder / "run" / "0.sock").stat().st_mode) == 0o600
            text = await shown(it, "--prometheus")
            held = r'^linnetstile_held_messages\{class="pay",instance="1"\} 0.0$'
            assert re.search(held, text, re.MULTILINE)
            assert "linnetstile_instances_up 2.0" in text

    go(work())


@pytest.mark.parametrize("seconds", [12.0])
def test_the_demo_ends_by_itself_with_0(seconds: float, capfd: pytest.CaptureFixture[str]) -> None:
    assert asyncio.run(demo.show(seconds))
    out = capfd.readouterr().out
    assert "partner 2 down" in out and "without an end 0, twice 0" in out

"""Real processes under the supervisor: kills, freezes, restarts, a smaller fleet, a partner that returns."""

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

FAST_SUPERVISOR = (
    "ready_s = 20\nstop_s = 8\nwatchdog_s = 0\nfirst_wait_s = 0.1\nmost_wait_s = 0.4\nloop_crashes = 3\n"
    "stagger_s = 0\n"
)


def run_with_timeout(work: object) -> None:
    asyncio.run(asyncio.wait_for(work, 120.0))  # type: ignore[arg-type]


def alive(pid: int) -> bool:
    try:
        os.kill(pid, 0)
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except (ProcessLookupError, FileNotFoundError):
        return False


async def line_of(running: Fleet, n: int) -> InstanceLine:
    report = await running.until(lambda report: True)
    return report.lines[n]


async def status_output(running: Fleet, *options: str) -> str:
    """Return the output of `status`, which runs its own event loop."""
    arguments = ["status", "--folder", str(running.folder / "run"), *options]
    return (await asyncio.to_thread(CliRunner().invoke, group, arguments)).stdout


def is_fully_up(report: FleetReport) -> bool:
    return report.up == report.instances and not report.rolling


def test_a_partner_that_returns_with_reduced_capacity_is_not_overloaded(tmp_path: Path) -> None:
    """A smaller and faster version of benchmarks.processes, with 4 instances instead of 40. The bounds
    tolerate a delayed process; tests/decisions/test_rate_slots.py tests the decisions alone."""

    async def work() -> None:
        async with fleet(
            4, 24.0, True, down_s=3.0, warm_s=4.0, deadline_share=0.5, more=FAST_SUPERVISOR
        ) as running:
            clients = Clients(running.port, 4, deadline_share=0.5)
            await clients.run(16.0, 5.0)
            start_ms = time.time() * 1000
            running.send_signal("partner", signal.SIGUSR1)
            await clients.run(16.0, 9.0)
            await running.wait_until_drained(12.0)
            agreed = expected(24.0, start_ms, start_ms + 3000.0, 4000.0)
            over_one_second, over_warm_up = over(running.calls(), agreed, start_ms, start_ms + 3000.0)
            assert (
                over_one_second <= 1.25 and over_warm_up <= 2.0 and running.violations(clients.accepted) == []
            )
            assert len(clients.accepted) > 100 and len(running.effects()) > 60
            clients.close()

    run_with_timeout(work())


def test_rolling_restarts_under_traffic_lose_nothing_and_refuse_no_connection(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(3, 60.0, False, deadline_share=0.3, more=FAST_SUPERVISOR) as running:
            clients = Clients(running.port, 3, deadline_share=0.3)
            traffic = asyncio.ensure_future(clients.run(30.0, 600.0))
            before = {line.instance: line.pid for line in (await running.until(is_fully_up)).lines}
            for _ in range(2):
                running.send_signal("fleet", signal.SIGUSR2)
                await running.until(lambda report: report.rolling > 0)
                report = await running.until(is_fully_up)
            assert all(line.restarts == 2 and line.pid != before[line.instance] for line in report.lines)
            await clients.stop(traffic)
            await running.wait_until_drained(10.0)
            assert running.violations(clients.accepted) == [] and len(clients.accepted) > 50
            assert not {name for name in clients.answers if name.endswith("Error")}
            clients.close()

    run_with_timeout(work())


def test_a_killed_instance_is_restarted_and_finishes_its_pending_messages(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(2, 30.0, False, down_s=2.0, warm_s=1.0, more=FAST_SUPERVISOR) as running:
            clients = Clients(running.port, 1)
            running.send_signal(
                "partner", signal.SIGUSR1
            )  # the partner goes down, so that messages stay pending
            await clients.run(40.0, 0.5)
            pid = (await line_of(running, 0)).pid
            assert pid is not None and clients.accepted
            os.kill(pid, signal.SIGKILL)
            report = await running.until(lambda report: report.lines[0].crashes == 1 and report.up == 2)
            assert report.lines[0].pid != pid and not report.lines[0].crash_loop
            await running.wait_until_drained(20.0)
            assert running.violations(clients.accepted) == []
            clients.close()

    run_with_timeout(work())


def test_a_frozen_instance_is_killed_by_its_watchdog(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(
            2, 30.0, False, more=FAST_SUPERVISOR.replace("watchdog_s = 0", "watchdog_s = 1.5")
        ) as running:
            pid = (await line_of(running, 1)).pid
            assert pid is not None
            os.kill(pid, signal.SIGSTOP)
            report = await running.until(lambda report: report.lines[1].crashes > 0 and report.up == 2)
            assert report.lines[1].pid != pid and report.lines[0].crashes == 0 and not alive(pid)

    run_with_timeout(work())


def test_a_frozen_instance_that_wakes_ends_expired_messages_without_sending_them(tmp_path: Path) -> None:
    """The deadlines have passed when it wakes: each message gets its final outcome, and no call is made."""

    async def work() -> None:
        async with fleet(
            1, 30.0, False, down_s=1.5, warm_s=1.0, deadline_share=0.1, more=FAST_SUPERVISOR
        ) as running:
            clients = Clients(running.port, 1, deadline_share=0.1)
            running.send_signal("partner", signal.SIGUSR1)
            await clients.run(60.0, 0.5)
            pid = (await line_of(running, 0)).pid
            assert pid is not None and len(clients.accepted) > 10
            os.kill(pid, signal.SIGSTOP)
            await asyncio.sleep(4.0)  # meanwhile the partner returns and all deadlines pass
            before = running.effects()
            os.kill(pid, signal.SIGCONT)
            await running.wait_until_drained(20.0)
            assert running.effects() == before and running.violations(clients.accepted) == []
            assert set(running.final_states()) >= set(clients.accepted) - set(before)
            clients.close()

    run_with_timeout(work())


def test_no_instance_outlives_a_supervisor_that_is_killed(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(3, 30.0, False, down_s=60.0, more=FAST_SUPERVISOR) as running:
            clients = Clients(running.port, 3)
            running.send_signal("partner", signal.SIGUSR1)
            await clients.run(40.0, 0.5)
            pids = [line.pid for line in (await running.until(is_fully_up)).lines if line.pid is not None]
            os.kill(pids[2], signal.SIGSTOP)  # one instance can't react until it is continued
            running.send_signal("fleet", signal.SIGKILL)
            await running.processes["fleet"].wait()
            await until(lambda: not any(map(alive, pids[:2])))
            os.kill(pids[2], signal.SIGCONT)
            await until(lambda: not alive(pids[2]))
            # The pending messages are recovered and finished by the next supervisor's instances.
            await running.start(
                "fleet", "message_relay", "fleet", "--config", str(running.folder / "relay.toml")
            )
            await running.until(lambda report: report.up == 3)
            await running.wait_until_drained(40.0)
            assert running.violations(clients.accepted) == [] and clients.accepted
            clients.close()

    run_with_timeout(work())


def test_removed_instances_finish_their_messages_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(
            4, 40.0, True, down_s=2.0, warm_s=1.0, deadline_share=0.5, settle_s=12.0, more=FAST_SUPERVISOR
        ) as running:
            clients = Clients(running.port, 4, deadline_share=0.5)
            running.send_signal("partner", signal.SIGUSR1)
            await clients.run(40.0, 1.0)
            valid_file = (running.folder / "relay.toml").read_text()
            (running.folder / "relay.toml").write_text(
                valid_file.replace("instances = 4", "instances = none")
            )
            running.send_signal("fleet", signal.SIGHUP)
            log = running.folder / "fleet.log"
            await until(lambda: b"operator's file rejected" in log.read_bytes())
            running.configure(2)
            assert (await running.until(is_fully_up)).instances == 4
            running.send_signal("fleet", signal.SIGHUP)
            expected_states = ["up", "up", "gone", "gone"]
            report = await running.until(
                lambda report: [line.state for line in report.lines] == expected_states
            )
            assert report.instances == 2
            clients.instances = 2
            await clients.run(20.0, 1.0)
            running.configure(3)  # one instance returns, with its previous state folder
            running.send_signal("fleet", signal.SIGHUP)
            report = await running.until(lambda report: report.up == 3)
            clients.instances = 3
            await clients.run(20.0, 1.0)
            await running.wait_until_drained(15.0)
            assert running.violations(clients.accepted) == [] and clients.answers["202"] > 40
            clients.close()

    run_with_timeout(work())


def test_a_crash_loop_is_reported_and_the_other_instances_serve(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(2, 30.0, False, more=FAST_SUPERVISOR) as running:
            pid, folder = (await line_of(running, 1)).pid, running.folder / "state" / "1"
            assert pid is not None
            folder.rename(running.folder / "aside")
            folder.write_text("a file, where a folder should be")
            os.kill(pid, signal.SIGKILL)
            report = await running.until(lambda report: report.lines[1].crash_loop)
            assert report.lines[0].state == "up" and report.lines[0].crashes == 0
            output = await status_output(running)
            assert "crash loop" in output and "1 of 2 up" in output
            folder.unlink()
            (running.folder / "aside").rename(folder)
            await running.until(lambda report: report.up == 2)
            assert stat.S_IMODE((running.folder / "run" / "0.sock").stat().st_mode) == 0o600
            metrics = await status_output(running, "--prometheus")
            metric_line = r'^linnetstile_held_messages\{class="pay",instance="1"\} 0.0$'
            assert re.search(metric_line, metrics, re.MULTILINE)
            assert "linnetstile_instances_up 2.0" in metrics

    run_with_timeout(work())


@pytest.mark.parametrize("seconds", [12.0])
def test_the_demo_ends_by_itself_and_succeeds(seconds: float, capfd: pytest.CaptureFixture[str]) -> None:
    assert asyncio.run(demo.show(seconds))
    out = capfd.readouterr().out
    assert "partner 2 down" in out and "without a final outcome 0, delivered twice 0" in out

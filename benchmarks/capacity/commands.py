"""Measures the cost of `status` and of a supervisor by the number of instances.

`status` queries stub instances: each is the program's own `StatusSocket` with a full report of synthetic
figures. All of them run in this process, so its processor time includes both sides. The supervisor's
decisions run in virtual time, without processes: each instance sends a heartbeat once a second, and four
crash within a minute.
"""

from __future__ import annotations

import asyncio
import gc
import tempfile
import time
import tracemalloc
from collections.abc import Mapping
from contextlib import ExitStack
from functools import partial
from pathlib import Path

from message_relay.cli.status import as_json, fetch_reports
from message_relay.fleet.operator import SupervisorSection
from message_relay.fleet.plan import Plan, SupervisorAction
from message_relay.fleet.report import Destination, Lag, Report
from message_relay.fleet.status import StatusSocket
from message_relay.process_memory import resident_bytes

from .form import Measure

DESTINATIONS = 200  # in each report: the default of status.destinations
VIRTUAL_S = 60  # virtual time that the supervisor runs


def report(number: int, count: int) -> Report:
    destinations = [
        Destination(1000 + n, None, 1, 3, 1, 1.234, None, 0.012, False, 0.0, None, 12.3)
        for n in range(DESTINATIONS)
    ]
    return Report(
        f"relay-{number}",
        number,
        count,
        4000 + number,
        "serving",
        1.75e12,
        86_400.0,
        600,
        1000,
        {"order": 400, "pay": 150, "status": 50},
        40,
        64,
        2,
        12,
        1_500_000,
        900_000,
        3_000_000,
        61.2,
        1234.5,
        Lag(0.2, 1.1, 4.5),
        destinations,
        800,
    )


def status(size: int) -> Mapping[str, float]:
    async def work() -> Mapping[str, float]:
        with ExitStack() as stack:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            for number in range(size):
                socket = StatusSocket(folder / f"{number}.sock", partial(report, number, size))
                await socket.open()
                stack.callback(socket.close)
            gc.collect()
            cpu, before = time.process_time(), resident_bytes()
            reports, fleet, unreachable = await fetch_reports(folder)
            text = as_json(reports, fleet, unreachable)
            cpu = time.process_time() - cpu
            assert len(reports) == size and not unreachable
            return {
                "cpu_ms": 1e3 * cpu,
                "bytes": float(len(text)),
                "memory_bytes": resident_bytes() - before,
            }

    return asyncio.run(work())


def started_plan(size: int) -> Plan:
    plan = Plan(SupervisorSection(stagger_s=0.0, together=1000), size, 0.0, 1)
    for action, number in plan.next_steps(0.0):
        assert action is SupervisorAction.START
        plan.on_ready(number, 0.0)
    return plan


def instances(size: int) -> Mapping[str, float]:
    plan, cpu = started_plan(size), time.process_time()
    for second in range(1, VIRTUAL_S + 1):
        for number in range(size):
            plan.on_heartbeat(number, second)
        if second % (VIRTUAL_S // 4) == 0:
            plan.on_exited(second % size, second, -9)
        for action, number in plan.next_steps(second):  # on each change, and once a second
            if action is SupervisorAction.START:
                plan.on_ready(number, second)
        plan.next_wake(second)
        plan.log_events.clear()
    cpu = time.process_time() - cpu
    tracemalloc.start()
    retained_plan = started_plan(size)
    costs = {"cpu_ms_s": 1e3 * cpu / VIRTUAL_S, "memory_bytes": float(tracemalloc.get_traced_memory()[0])}
    assert len(retained_plan.instances) == size
    return costs


MEASURES: tuple[Measure, ...] = (
    Measure(
        "commands.status",
        "instance",
        (25, 50, 100, 200, 400),
        1600,
        {"cpu_ms": "ms", "bytes": "bytes", "memory_bytes": "bytes"},
        status,
        "message_relay/cli/status.py",
        f"sockets that stand in for instances, {DESTINATIONS} destinations told by each; the processor "
        "time holds both sides",
    ),
    Measure(
        "supervisor.instances",
        "instance",
        (25, 50, 100, 200),
        800,
        {"cpu_ms_s": "ms/s", "memory_bytes": "bytes"},
        instances,
        "message_relay/fleet/plan.py",
        f"its decisions in virtual time, {VIRTUAL_S} s, a beat a second each; without the processes and "
        "their pipes",
    ),
)

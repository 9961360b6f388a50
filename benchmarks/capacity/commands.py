"""What `status` and a supervisor cost by the number of instances.

`status` asks sockets that stand in for instances: each is the program's own `StatusSocket` with a whole
report of made-up figures, all in this process, so that its processor time holds both sides. The supervisor's
decisions run in virtual time, without processes: each instance beats once a second, and four crash within a
minute.
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
from message_relay.fleet.report import Destination, Lag, Report, resident_memory_mb
from message_relay.fleet.status import StatusSocket

from .form import Measure

DESTINATIONS = 200  # told by each: what status.destinations is unless an operator says otherwise
VIRTUAL_S = 60  # seconds of a supervisor's life


def report(number: int, count: int) -> Report:
    told = [
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
        told,
        800,
    )


def status(size: int) -> Mapping[str, float]:
    async def work() -> Mapping[str, float]:
        with ExitStack() as stack:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            for number in range(size):
                one = StatusSocket(folder / f"{number}.sock", partial(report, number, size))
                await one.open()
                stack.callback(one.close)
            gc.collect()
            cpu, before = time.process_time(), resident_memory_mb()
            found, fleet, silent = await fetch_reports(folder)
            text = as_json(found, fleet, silent)
            cpu = time.process_time() - cpu
            assert len(found) == size and not silent
            return {
                "cpu_ms": 1e3 * cpu,
                "bytes": float(len(text)),
                "memory_bytes": 1e6 * (resident_memory_mb() - before),
            }

    return asyncio.run(work())


def started(size: int) -> Plan:
    plan = Plan(SupervisorSection(stagger_s=0.0, together=1000), size, 0.0, 1)
    for do, number in plan.next_steps(0.0):
        assert do is SupervisorAction.START
        plan.on_ready(number, 0.0)
    return plan


def instances(size: int) -> Mapping[str, float]:
    plan, cpu = started(size), time.process_time()
    for second in range(1, VIRTUAL_S + 1):
        for number in range(size):
            plan.on_heartbeat(number, second)
        if second % (VIRTUAL_S // 4) == 0:
            plan.on_exited(second % size, second, -9)
        for do, number in plan.next_steps(second):  # at each change, and once a second
            if do is SupervisorAction.START:
                plan.on_ready(number, second)
        plan.next_wake(second)
        plan.log_events.clear()
    cpu = time.process_time() - cpu
    tracemalloc.start()
    kept = started(size)
    told = {"cpu_ms_s": 1e3 * cpu / VIRTUAL_S, "memory_bytes": float(tracemalloc.get_traced_memory()[0])}
    assert len(kept.instances) == size
    return told


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

"""What an instance and a supervisor tell of themselves: `status` shows it. Read from the parts; changes
nothing."""

from __future__ import annotations

import heapq
import os
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from ..core.relay import Relay
from ..decisions.destinations import DestinationState

REPORT_VERSION = 1
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Destination(msgspec.Struct, frozen=True):
    """One lane: a destination, or one route of it where routes are apart."""

    destination: int
    route: int | None
    endpoints: int  # that take calls
    held: int  # messages that wait for the destination
    out: int  # calls out
    pace: float  # calls a second that this instance allows itself
    part: float | None  # of its slots, where a rate is kept together
    blame: float  # 0 to 1
    down: bool  # taken as out
    wait_ms: float  # told, and still to be waited
    cold_ms: float | None  # since it came back, while it is cold
    latency_ms: float


class Lag(msgspec.Struct, frozen=True):
    """How late the loop came to a timer, over the last seconds (fleet/status.py), in ms."""

    median_ms: float = 0.0
    p99_ms: float = 0.0
    most_ms: float = 0.0


class Report(msgspec.Struct, frozen=True):
    name: str
    instance: int
    instances: int
    pid: int
    state: str  # starting, serving, retiring or stopping
    at_ms: float  # Unix time of this report
    up_s: float
    held: int
    hold: int  # the most
    by_class: dict[str, int]
    slots_out: int
    slots: int
    ends_waiting: int  # final answers that are still to be passed on
    reading: int  # connections of clients
    journal_bytes: int
    journal_live: int  # of them, what a compaction would keep
    journal_limit: int
    rss_mb: float
    cpu_s: float
    lag: Lag
    destinations: list[Destination]
    more: int  # destinations that are not told
    shards: dict[str, Any] | None = None  # of a directory by interest: its reader's state, and its keeper's
    kind: str = "instance"
    version: int = REPORT_VERSION


class InstanceLine(msgspec.Struct, frozen=True):
    """One instance as its supervisor sees it."""

    instance: int
    state: str
    pid: int | None
    for_s: float  # in this state
    crashes: int  # within supervisor.loop_s
    crash_loop: bool
    restarts: int
    start_s: float  # from its latest start until it was ready; 0: it was not yet
    why: str


class FleetReport(msgspec.Struct, frozen=True):
    pid: int
    at_ms: float
    instances: int  # wanted
    up: int
    stopping: bool
    rolling: int  # instances that the rolling restart has still to do
    lines: list[InstanceLine]
    kind: str = "fleet"
    version: int = REPORT_VERSION


def resident_memory_mb() -> float:
    """Resident memory of this process (proc(5), statm)."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES / 1e6


def report_of(
    host: Relay,
    number: int,
    state: str,
    began: float,
    lag: Lag,
    most: int,
    shards: dict[str, Any] | None = None,
) -> Report:
    """`began`: Unix time in s; `most` destinations are told one by one."""
    now, messages, settings = host.driver.now(), host.messages, host.scheduler.settings
    counts = Counter(entry.class_name for entry in messages.pending_entries())
    lanes = [
        (dest, key, lane)
        for dest, routes in host.scheduler.destinations.items()
        for key, lane in routes.items()
    ]
    waiting = _pending_counter(host)
    told = heapq.nlargest(
        most, lanes, key=lambda item: (waiting(item[0]), len(item[2].in_flight), item[2].failure_score)
    )
    return Report(
        name=host.config.name,
        instance=number,
        instances=settings.relays,
        pid=os.getpid(),
        state=state,
        at_ms=time.time() * 1000,
        up_s=time.time() - began,
        held=messages.pending_count,
        hold=settings.max_pending_messages,
        by_class={cls.name: counts[cls.name] for cls in settings.classes},
        slots_out=host.scheduler.in_flight,
        slots=settings.max_concurrent_attempts,
        ends_waiting=host.pending_outcomes,
        reading=host.open_requests,
        journal_bytes=host.journal.disk_bytes,
        journal_live=host.journal.live_bytes,
        journal_limit=host.journal.budget_bytes,
        rss_mb=resident_memory_mb(),
        cpu_s=time.process_time(),
        lag=lag,
        destinations=[
            _destination_line(host, dest, key, lane, waiting(dest), now) for dest, key, lane in told
        ],
        more=len(lanes) - len(told),
        shards=shards,
    )


def _pending_counter(host: Relay) -> Callable[[int], int]:
    queues = host.scheduler.pending.queues
    return lambda dest: len(queues[dest]) if dest in queues else 0


def _destination_line(
    host: Relay, dest: int, key: int, lane: DestinationState, held: int, now: float
) -> Destination:
    cold = now - lane.warming_since
    return Destination(
        destination=dest,
        route=None if key == -1 else key,
        endpoints=len(lane.endpoints),
        held=held,
        out=len(lane.in_flight),
        pace=round(lane.send_rate, 3),
        part=None if lane.time_slots is None else round(lane.time_slots.open_share(now), 3),
        blame=round(lane.failure_score, 3),
        down=lane.is_ejected,
        wait_ms=round(max(0.0, lane.retry_after_until - now)),
        cold_ms=round(cold) if cold < host.scheduler.settings.safety.warm_up_ms else None,
        latency_ms=round(lane.latency_mean_ms, 1),
    )

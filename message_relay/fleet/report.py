"""Status reports of an instance and of a supervisor, shown by `status`. Field names are JSON keys."""

from __future__ import annotations

import heapq
import os
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from ..core.relay import Relay
from ..decisions.destinations import DestinationState
from ..memory_watch import MemoryShare, MemoryWatch
from ..process_memory import resident_bytes

REPORT_VERSION = 1


class Destination(msgspec.Struct, frozen=True):
    """One destination, or one route of a destination whose routes have separate limits."""

    destination: int
    route: int | None
    endpoints: int  # number of usable endpoints
    held: int  # pending messages in the queue
    out: int  # calls in flight
    pace: float  # send rate of this instance, in calls per second
    part: float | None  # time slot share, if the rate is shared
    blame: float  # failure score, 0 to 1
    down: bool  # ejected
    wait_ms: float  # remaining time of a Retry-After
    cold_ms: float | None  # time since its return, while it warms up
    latency_ms: float


class Lag(msgspec.Struct, frozen=True):
    """Lateness of the event loop's timers in the most recent samples (fleet/status.py)."""

    median_ms: float = 0.0
    p99_ms: float = 0.0
    most_ms: float = 0.0


class Report(msgspec.Struct, frozen=True):
    """Status of one instance."""

    name: str
    instance: int
    instances: int
    pid: int
    state: str  # starting, serving, retiring or stopping
    at_ms: float  # Unix time of this report
    up_s: float
    held: int  # pending messages
    hold: int  # maximum of pending messages
    by_class: dict[str, int]
    slots_out: int  # attempts in flight
    slots: int
    ends_waiting: int  # final outcomes not yet notified
    reading: int  # open client requests
    journal_bytes: int
    journal_live: int  # bytes that a full compaction would retain
    journal_limit: int
    rss_mb: float
    cpu_s: float
    lag: Lag
    destinations: list[Destination]
    more: int  # destinations not listed
    shards: dict[str, Any] | None = None  # sharded directory: state of client and server
    # Use of the memory limit by share; not there if the configuration names no limit.
    memory: dict[str, MemoryShare] | msgspec.UnsetType = msgspec.UNSET
    kind: str = "instance"
    version: int = REPORT_VERSION


class InstanceLine(msgspec.Struct, frozen=True):
    """State of one instance in its supervisor."""

    instance: int
    state: str
    pid: int | None
    for_s: float  # time in this state
    crashes: int  # within supervisor.loop_s
    crash_loop: bool
    restarts: int
    start_s: float  # duration of its latest completed start; 0: none yet
    why: str


class FleetReport(msgspec.Struct, frozen=True):
    """Status of all instances of one supervisor."""

    pid: int
    at_ms: float
    instances: int  # configured
    up: int
    stopping: bool
    rolling: int  # instances left in the rolling restart
    lines: list[InstanceLine]
    kind: str = "fleet"
    version: int = REPORT_VERSION


def report_of(
    relay: Relay,
    number: int,
    state: str,
    began_at: float,
    lag: Lag,
    max_destinations: int,
    shards: dict[str, Any] | None = None,
    memory_watch: MemoryWatch | None = None,
) -> Report:
    """Builds the report of an instance.

    `began_at`: start of the process, Unix time in s; at most `max_destinations` are listed, busiest first.
    """
    now, messages, settings = relay.driver.now(), relay.messages, relay.scheduler.settings
    counts = Counter(entry.class_name for entry in messages.pending_entries())
    states = [
        (destination, key, destination_state)
        for destination, routes in relay.scheduler.destinations.items()
        for key, destination_state in routes.items()
    ]
    waiting = _pending_counter(relay)
    listed = heapq.nlargest(
        max_destinations,
        states,
        key=lambda item: (waiting(item[0]), len(item[2].in_flight), item[2].failure_score),
    )
    return Report(
        name=relay.config.name,
        instance=number,
        instances=settings.relays,
        pid=os.getpid(),
        state=state,
        at_ms=time.time() * 1000,
        up_s=time.time() - began_at,
        held=messages.pending_count,
        hold=settings.max_pending_messages,
        by_class={cls.name: counts[cls.name] for cls in settings.classes},
        slots_out=relay.scheduler.in_flight,
        slots=settings.max_concurrent_attempts,
        ends_waiting=relay.pending_outcomes,
        reading=relay.open_requests,
        journal_bytes=relay.journal.disk_bytes,
        journal_live=relay.journal.live_bytes,
        journal_limit=relay.journal.budget_bytes,
        rss_mb=resident_bytes() / 1e6,
        cpu_s=time.process_time(),
        lag=lag,
        destinations=[
            _destination_line(relay, destination, key, destination_state, waiting(destination), now)
            for destination, key, destination_state in listed
        ],
        more=len(states) - len(listed),
        shards=shards,
        memory=msgspec.UNSET if memory_watch is None else memory_watch.shares(),
    )


def _pending_counter(relay: Relay) -> Callable[[int], int]:
    queues = relay.scheduler.pending.queues
    return lambda destination: len(queues[destination]) if destination in queues else 0


def _destination_line(
    relay: Relay, destination: int, key: int, destination_state: DestinationState, pending: int, now: float
) -> Destination:
    warming_ms = now - destination_state.warming_since
    return Destination(
        destination=destination,
        route=None if key == -1 else key,
        endpoints=len(destination_state.endpoints),
        held=pending,
        out=len(destination_state.in_flight),
        pace=round(destination_state.send_rate, 3),
        part=None
        if destination_state.time_slots is None
        else round(destination_state.time_slots.open_share(now), 3),
        blame=round(destination_state.failure_score, 3),
        down=destination_state.is_ejected,
        wait_ms=round(max(0.0, destination_state.retry_after_until - now)),
        cold_ms=round(warming_ms) if warming_ms < relay.scheduler.settings.safety.warm_up_ms else None,
        latency_ms=round(destination_state.latency_mean_ms, 1),
    )

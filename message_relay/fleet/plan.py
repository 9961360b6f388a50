"""Supervisor plan: decides which instance to start, reload, stop or kill. No I/O; the clock is passed in.

Each instance is a state machine driven by notifications (`on_ready`, `on_heartbeat`, `on_exited`), requests
and time (`next_steps`):

    DOWN --start--> STARTING --ready--> UP --term--> ENDING --exited--> DOWN (restarted at once) or GONE
     ^                 |  exited, or not ready in time      | not ended in time: kill
     +--- backoff with jitter --------- exited, or no heartbeat
    FAILED: it exited with code 2, its configuration is not valid; only a reload starts it again.

A rolling restart has one instance ENDING or STARTING at a time, and aborts at the first that fails to return.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from .operator import SupervisorSection

BAD_CONFIG_EXIT_CODE = 2  # exit code of a process whose configuration is not valid


class InstanceState(Enum):
    """State of one instance. Values are shown by `status`."""

    DOWN = "down"
    STARTING = "starting"
    UP = "up"
    ENDING = "ending"
    FAILED = "failed"
    GONE = "gone"


class SupervisorAction(Enum):
    """Action of the supervisor on an instance."""

    START = "start"
    RELOAD = "reload"
    TERM = "term"
    KILL = "kill"


Step = tuple[SupervisorAction, int]


@dataclass
class Instance:
    """State of one instance in the plan."""

    state: InstanceState = InstanceState.DOWN
    since: float = 0.0  # start of this state
    not_before: float = 0.0  # DOWN: earliest start
    last_heartbeat: float = 0.0  # time of the latest heartbeat
    is_killed: bool = False  # killed in this state
    is_reloading: bool = False
    is_outdated: bool = False  # may have read the old file, so it reloads once it is ready
    retire_by: float = 0.0  # a retiring instance is terminated at this time
    is_retiring: bool = False  # leaves the fleet once nothing is pending
    crashes: deque[float] = field(default_factory=lambda: deque(maxlen=100))
    restarts: int = 0
    start_s: float = 0.0  # duration of the latest start
    reason: str = ""  # why the instance is not up

    def enter(self, state: InstanceState, now: float, why: str = "") -> None:
        """Changes the state; `why` is reported while the instance is not up."""
        self.state = state
        self.since = now
        self.reason = why
        self.is_killed = False
        if state is not InstanceState.UP:
            self.is_reloading = False


class Plan:
    """Plan for all instances of one supervisor."""

    def __init__(self, section: SupervisorSection, count: int, now: float, seed: int) -> None:
        self.section = section
        self.rng = random.Random(seed)
        self.instances = {number: Instance(since=now, not_before=now) for number in range(count)}
        self.count = count
        self.stopping = False
        self.rolling: deque[int] = deque()  # instances still to be restarted, the current one first
        self.restart_started_at: float | None = None  # of the current instance
        self.last_start = -1e9
        self.log_events: list[tuple[str, dict[str, object]]] = []  # the caller logs and clears them
        self.steps: list[Step] = []

    # -- notifications -----------------------------------------------------------------------------------

    def on_ready(self, number: int, now: float) -> None:
        """Handles that the instance accepts messages, or has completed a reload."""
        instance = self.instances[number]
        instance.is_reloading = False
        instance.last_heartbeat = now
        if instance.state is InstanceState.STARTING:
            instance.start_s = now - instance.since
            instance.enter(InstanceState.UP, now)
            if instance.is_outdated:
                self._reload(number)
            if self.rolling and self.rolling[0] == number:
                self._on_restarted(now)

    def on_heartbeat(self, number: int, now: float) -> None:
        """Handles a heartbeat of the instance's event loop."""
        self.instances[number].last_heartbeat = now

    def on_exited(self, number: int, now: float, code: int) -> None:
        """Handles that the process has exited with `code` and is reaped."""
        instance = self.instances[number]
        self.steps = [step for step in self.steps if step[1] != number]  # they were meant for that process
        has_left = number >= self.count and code in (0, BAD_CONFIG_EXIT_CODE)
        if self.stopping or has_left:
            instance.enter(InstanceState.GONE, now, f"exited with code {code}")
            return
        if instance.is_retiring and number < self.count:
            instance.is_retiring = False  # it is part of the fleet again
        if instance.state is InstanceState.ENDING and not instance.is_killed and code == 0:
            instance.enter(InstanceState.DOWN, now)
            instance.not_before = now
            return
        was_requested = instance.state is InstanceState.ENDING
        instance.crashes.append(now)
        why = f"exited with code {code}" + (" after it was killed" if instance.is_killed else "")
        if self.rolling and self.rolling[0] == number and not was_requested:
            self._halt_rolling_restart(number, why)
        if code == BAD_CONFIG_EXIT_CODE:
            instance.enter(InstanceState.FAILED, now, "its configuration is not valid")
            self._log("instance configuration rejected", instance=number, code=code)
            return
        earlier_crashes = 0 if was_requested else len(self._recent_crashes(instance, now)) - 1
        backoff_s = min(self.section.most_wait_s, self.section.first_wait_s * 2.0 ** min(earlier_crashes, 16))
        instance.enter(InstanceState.DOWN, now, why)
        instance.not_before = now + backoff_s * self.rng.uniform(0.7, 1.3)
        self._log(
            "instance crashed",
            instance=number,
            code=code,
            again_in_s=round(instance.not_before - now, 2),
            crash_loop=self.is_crash_looping(number, now),
        )

    def request_stop(self, now: float) -> None:
        """Stops all instances permanently."""
        self.stopping = True
        self.rolling.clear()
        for number, instance in self.instances.items():
            if instance.state in (InstanceState.DOWN, InstanceState.FAILED):
                instance.enter(InstanceState.GONE, now)
            elif instance.state in (InstanceState.STARTING, InstanceState.UP):
                self._terminate(number, now)

    def request_reload(self, now: float, section: SupervisorSection, count: int, settle_s: float) -> None:
        """Applies a valid new operator's file, which running instances reload themselves.

        Instances that are no longer part of the fleet retire: they reject new messages and stop once nothing
        is pending.
        """
        if self.stopping:
            return
        self.section = section
        self.count = count
        for number, instance in self.instances.items():
            self._apply_count(number, instance, now, now + settle_s)
            if instance.state is InstanceState.UP:
                self._reload(number)
            instance.is_outdated = instance.state is InstanceState.STARTING
        for number in range(count):
            self.instances.setdefault(number, Instance(since=now, not_before=now))
        if self.rolling and self.rolling[0] >= count:
            self.restart_started_at = None  # the current instance leaves the fleet
        self.rolling = deque(number for number in self.rolling if number < count)

    def _apply_count(self, number: int, instance: Instance, now: float, retire_by: float) -> None:
        """Retires an instance that is beyond the new count, or returns one that is within it again."""
        leaves = number >= self.count
        is_stopped = instance.state in (InstanceState.DOWN, InstanceState.FAILED)
        if leaves and is_stopped and not instance.crashes:
            instance.enter(InstanceState.GONE, now)
        elif leaves and instance.state is not InstanceState.GONE and not instance.is_retiring:
            instance.is_retiring = True
            instance.retire_by = retire_by
        elif instance.state is InstanceState.FAILED or (instance.state is InstanceState.GONE and not leaves):
            instance.enter(InstanceState.DOWN, now)
            instance.not_before = now
            instance.is_retiring = False

    def _reload(self, number: int) -> None:
        self.instances[number].is_reloading = True
        self.instances[number].is_outdated = False
        self.steps.append((SupervisorAction.RELOAD, number))

    def request_rolling_restart(self, now: float) -> None:
        """Restarts all instances, one at a time; a request during a restart covers all instances again."""
        if self.stopping:
            return
        current = list(self.rolling)[:1]
        self.rolling = deque(current + [number for number in range(self.count) if number not in current])
        if not current:
            self.restart_started_at = None
        self._log("rolling restart started", instances=self.count)

    # -- planning ----------------------------------------------------------------------------------------

    def next_steps(self, now: float) -> list[Step]:
        """Return all steps that are due; called on each change and at `next_wake`."""
        self._kill_overdue(now)
        self._continue_rolling_restart(now)
        self._start_due(now)
        steps = self.steps
        self.steps = []
        return steps

    def next_wake(self, now: float) -> float:
        """Return the time of the next call of `next_steps` without a notification, at most 1 s from now."""
        at = now + 1.0
        for instance in self.instances.values():
            if instance.state is InstanceState.DOWN:
                at = min(at, max(instance.not_before, self.last_start + self.section.stagger_s))
        return max(at, now + 0.01)

    @property
    def is_done(self) -> bool:
        """Whether all instances have stopped permanently."""
        return all(instance.state is InstanceState.GONE for instance in self.instances.values())

    def is_crash_looping(self, number: int, now: float) -> bool:
        """Return whether an instance has crashed `loop_crashes` times within `loop_s`."""
        return len(self._recent_crashes(self.instances[number], now)) >= self.section.loop_crashes

    def _recent_crashes(self, instance: Instance, now: float) -> list[float]:
        return [at for at in instance.crashes if now - at <= self.section.loop_s]

    def _kill_overdue(self, now: float) -> None:
        for number, instance in self.instances.items():
            if (
                instance.is_retiring
                and instance.state is InstanceState.UP
                and now >= instance.retire_by
                and not instance.is_killed
            ):
                self._log("retiring instance terminated with pending messages", instance=number)
                self._terminate(number, now)
            if instance.is_killed:
                continue
            overdue = self._overdue_reason(instance, now)
            if overdue:
                instance.is_killed = True
                self.steps.append((SupervisorAction.KILL, number))
                self._log("instance killed", instance=number, why=overdue)

    def _overdue_reason(self, instance: Instance, now: float) -> str:
        """Return why an instance must be killed; empty if it need not be."""
        in_state_s = now - instance.since
        if instance.state is InstanceState.STARTING and in_state_s > self.section.ready_s:
            return "was not ready in time"
        if instance.state is InstanceState.ENDING and in_state_s > self.section.stop_s:
            return "did not stop in time"
        silent_s = now - instance.last_heartbeat
        if instance.state is InstanceState.UP and 0 < self.section.watchdog_s < silent_s:
            return "event loop sent no heartbeat"
        return ""

    def _continue_rolling_restart(self, now: float) -> None:
        if not self.rolling or self.restart_started_at is not None:
            return
        number = self.rolling[0]
        instance = self.instances[number]
        if instance.state is InstanceState.UP and not instance.is_killed:
            if all(other.state is not InstanceState.ENDING for other in self.instances.values()):
                self.restart_started_at = now
                instance.restarts += 1
                self._terminate(number, now)
        elif instance.state in (InstanceState.FAILED, InstanceState.GONE) or self.is_crash_looping(
            number, now
        ):
            self._halt_rolling_restart(number, instance.reason or "it is not up")

    def _on_restarted(self, now: float) -> None:
        self.rolling.popleft()
        self.restart_started_at = None
        if not self.rolling:
            self._log("rolling restart completed")

    def _halt_rolling_restart(self, number: int, why: str) -> None:
        self._log("rolling restart aborted", instance=number, why=why, left=len(self.rolling))
        self.rolling.clear()
        self.restart_started_at = None

    def _start_due(self, now: float) -> None:
        starting = sum(instance.state is InstanceState.STARTING for instance in self.instances.values())
        # New instances wait until the running ones have applied the new size (fleet/fleet_size.py).
        all_reloaded = not any(instance.is_reloading for instance in self.instances.values())
        for number in sorted(self.instances):
            instance = self.instances[number]
            if instance.state is not InstanceState.DOWN or now < instance.not_before or self.stopping:
                continue
            if starting >= self.section.together or now < self.last_start + self.section.stagger_s:
                return
            if all_reloaded or instance.crashes or instance.restarts:
                starting += 1
                self.last_start = now
                instance.enter(InstanceState.STARTING, now)
                self.steps.append((SupervisorAction.START, number))

    def _terminate(self, number: int, now: float) -> None:
        self.instances[number].enter(InstanceState.ENDING, now)
        self.steps.append((SupervisorAction.TERM, number))

    def _log(self, event: str, **fields: object) -> None:
        self.log_events.append((event, fields))

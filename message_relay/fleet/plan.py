"""What a supervisor does next with its instances: start, reload, end, kill. No I/O; the clock is passed in.

Each instance is in one state; what is heard of it (`started`, `ready`, `beat`, `exited`) and time (`next`)
move it:

    DOWN --start--> STARTING --ready--> UP --term--> ENDING --exited--> DOWN (started again at once) or GONE
     ^                 |  exited, or not ready in time      | not ended in time: kill
     +--- growing, jittered wait ---- exited, or silent ----+
    FAILED: it ended with 2, its configuration makes no sense; only a reload starts it again.

A rolling restart has one instance ENDING or STARTING at a time, and stops at the first that does not come
back."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from .operator import SupervisorSection

BAD_CONFIG_EXIT_CODE = 2  # the exit code that says so


class InstanceState(Enum):
    DOWN = "down"
    STARTING = "starting"
    UP = "up"
    ENDING = "ending"
    FAILED = "failed"
    GONE = "gone"


class SupervisorAction(Enum):
    START = "start"
    RELOAD = "reload"
    TERM = "term"
    KILL = "kill"


Step = tuple[SupervisorAction, int]


@dataclass
class Instance:
    state: InstanceState = InstanceState.DOWN
    since: float = 0.0  # when it came into this state
    not_before: float = 0.0  # DOWN: not started before
    last_heartbeat: float = 0.0  # from its watchdog
    is_killed: bool = False  # in this state
    is_reloading: bool = False
    is_outdated: bool = False  # it may have read the old file: told to reload once it can hear it
    retire_by: float = 0.0
    is_retiring: bool = False  # it leaves the fleet by itself once it holds nothing
    crashes: deque[float] = field(default_factory=lambda: deque(maxlen=100))
    restarts: int = 0
    start_s: float = 0.0  # the latest start took, until it was ready
    reason: str = ""  # it is not up

    def enter(self, state: InstanceState, now: float, why: str = "") -> None:
        self.state, self.since, self.reason, self.is_killed = state, now, why, False
        if state is not InstanceState.UP:
            self.is_reloading = False


class Plan:
    """Decides for all instances of one supervisor."""

    def __init__(self, part: SupervisorSection, count: int, now: float, seed: int) -> None:
        self.section, self.rng = part, random.Random(seed)
        self.instances = {n: Instance(since=now, not_before=now) for n in range(count)}
        self.count = count
        self.stopping = False
        self.rolling: deque[int] = deque()  # still to be restarted, the one in work first
        self.restart_began_at: float | None = None  # when the one in work was told to end
        self.last_start = -1e9
        self.log_events: list[tuple[str, dict[str, object]]] = []  # for the log; taken by the caller
        self.steps: list[Step] = []

    # -- what is heard -----------------------------------------------------------------------------------

    def on_ready(self, n: int, now: float) -> None:
        one = self.instances[n]
        one.is_reloading = False
        one.last_heartbeat = now
        if one.state is InstanceState.STARTING:
            one.start_s = now - one.since
            one.enter(InstanceState.UP, now)
            if one.is_outdated:
                self._reload(n)
            if self.rolling and self.rolling[0] == n:
                self._on_restarted(now)

    def on_heartbeat(self, n: int, now: float) -> None:
        self.instances[n].last_heartbeat = now

    def on_exited(self, n: int, now: float, code: int) -> None:
        """Its process has ended and is reaped."""
        one = self.instances[n]
        self.steps = [step for step in self.steps if step[1] != n]  # they were meant for that process
        if self.stopping or n >= self.count and code in (0, BAD_CONFIG_EXIT_CODE):
            one.enter(InstanceState.GONE, now, f"ended with {code}")
            return
        if one.is_retiring and n < self.count:
            one.is_retiring = False  # it is wanted again
        if one.state is InstanceState.ENDING and not one.is_killed and code == 0:
            one.enter(InstanceState.DOWN, now)
            one.not_before = now
            return
        asked = one.state is InstanceState.ENDING
        one.crashes.append(now)
        why = f"ended with {code}" + (" after it was killed" if one.is_killed else "")
        if self.rolling and self.rolling[0] == n and not asked:
            self._halt_rolling_restart(n, why)
        if code == BAD_CONFIG_EXIT_CODE:
            one.enter(InstanceState.FAILED, now, "its configuration makes no sense")
            self._log("an instance does not start again before a reload", instance=n, code=code)
            return
        tries = 0 if asked else len(self._recent_crashes(one, now)) - 1
        wait = min(self.section.most_wait_s, self.section.first_wait_s * 2.0 ** min(tries, 16))
        one.enter(InstanceState.DOWN, now, why)
        one.not_before = now + wait * self.rng.uniform(0.7, 1.3)
        self._log(
            "an instance crashed",
            instance=n,
            code=code,
            again_in_s=round(one.not_before - now, 2),
            crash_loop=self.is_crash_looping(n, now),
        )

    def request_stop(self, now: float) -> None:
        self.stopping = True
        self.rolling.clear()
        for n, one in self.instances.items():
            if one.state in (InstanceState.DOWN, InstanceState.FAILED):
                one.enter(InstanceState.GONE, now)
            elif one.state in (InstanceState.STARTING, InstanceState.UP):
                self._terminate(n, now)

    def request_reload(self, now: float, part: SupervisorSection, count: int, settle_s: float) -> None:
        """A file that makes sense has replaced the old one; instances read it themselves. Those that are no
        longer among them retire: they take nothing new, and end once they hold nothing."""
        if self.stopping:
            return
        self.section, self.count = part, count
        for n, one in self.instances.items():
            if n >= count and one.state in (InstanceState.DOWN, InstanceState.FAILED) and not one.crashes:
                one.enter(InstanceState.GONE, now)
            elif n >= count and one.state is not InstanceState.GONE and not one.is_retiring:
                one.is_retiring, one.retire_by = True, now + settle_s
            elif one.state is InstanceState.FAILED or one.state is InstanceState.GONE and n < count:
                one.enter(InstanceState.DOWN, now)
                one.not_before, one.is_retiring = now, False
            if one.state is InstanceState.UP:
                self._reload(n)
            one.is_outdated = one.state is InstanceState.STARTING
        for n in range(count):
            self.instances.setdefault(n, Instance(since=now, not_before=now))
        if self.rolling and self.rolling[0] >= count:
            self.restart_began_at = None  # the one in work leaves
        self.rolling = deque(n for n in self.rolling if n < count)

    def _reload(self, n: int) -> None:
        self.instances[n].is_reloading, self.instances[n].is_outdated = True, False
        self.steps.append((SupervisorAction.RELOAD, n))

    def request_rolling_restart(self, now: float) -> None:
        """Restarts all, one at a time; told again while one goes on, all come again."""
        if self.stopping:
            return
        begun = list(self.rolling)[:1]
        self.rolling = deque(begun + [n for n in range(self.count) if n not in begun])
        if not begun:
            self.restart_began_at = None
        self._log("a rolling restart begins", instances=self.count)

    # -- what to do --------------------------------------------------------------------------------------

    def next_steps(self, now: float) -> list[Step]:
        """Everything to be done now; called on each change, and when `wake` says."""
        self._kill_overdue(now)
        self._continue_rolling_restart(now)
        self._start_due(now)
        steps, self.steps = self.steps, []
        return steps

    def next_wake(self, now: float) -> float:
        """When `next` has something to do that nothing heard will tell; at least once a second."""
        at = now + 1.0
        for one in self.instances.values():
            if one.state is InstanceState.DOWN:
                at = min(at, max(one.not_before, self.last_start + self.section.stagger_s))
        return max(at, now + 0.01)

    @property
    def is_done(self) -> bool:
        return all(one.state is InstanceState.GONE for one in self.instances.values())

    def is_crash_looping(self, n: int, now: float) -> bool:
        """Whether it crashes again and again."""
        return len(self._recent_crashes(self.instances[n], now)) >= self.section.loop_crashes

    def _recent_crashes(self, one: Instance, now: float) -> list[float]:
        return [at for at in one.crashes if now - at <= self.section.loop_s]

    def _kill_overdue(self, now: float) -> None:
        part = self.section
        for n, one in self.instances.items():
            if (
                one.is_retiring
                and one.state is InstanceState.UP
                and now >= one.retire_by
                and not one.is_killed
            ):
                self._log("a retiring instance still holds messages: they stay in its journal", instance=n)
                self._terminate(n, now)
            if one.is_killed:
                continue
            late = (
                one.state is InstanceState.STARTING
                and now - one.since > part.ready_s
                and "was not ready in time"
                or one.state is InstanceState.ENDING
                and now - one.since > part.stop_s
                and "did not end in time"
                or one.state is InstanceState.UP
                and part.watchdog_s > 0
                and now - one.last_heartbeat > part.watchdog_s
                and "did not turn its loop"
            )
            if late:
                one.is_killed = True
                self.steps.append((SupervisorAction.KILL, n))
                self._log("an instance is killed", instance=n, why=late)

    def _continue_rolling_restart(self, now: float) -> None:
        if not self.rolling or self.restart_began_at is not None:
            return
        n = self.rolling[0]
        one = self.instances[n]
        if one.state is InstanceState.UP and not one.is_killed:
            if all(other.state is not InstanceState.ENDING for other in self.instances.values()):
                self.restart_began_at = now
                one.restarts += 1
                self._terminate(n, now)
        elif one.state in (InstanceState.FAILED, InstanceState.GONE) or self.is_crash_looping(n, now):
            self._halt_rolling_restart(n, one.reason or "it is not up")

    def _on_restarted(self, now: float) -> None:
        self.rolling.popleft()
        self.restart_began_at = None
        if not self.rolling:
            self._log("the rolling restart is done")

    def _halt_rolling_restart(self, n: int, why: str) -> None:
        self._log("the rolling restart stops", instance=n, why=why, left=len(self.rolling))
        self.rolling.clear()
        self.restart_began_at = None

    def _start_due(self, now: float) -> None:
        starting = sum(one.state is InstanceState.STARTING for one in self.instances.values())
        # Newcomers wait until those that are there count with them: see fleet/fleet_size.py.
        heard = not any(one.is_reloading for one in self.instances.values())
        for n in sorted(self.instances):
            one = self.instances[n]
            if one.state is not InstanceState.DOWN or now < one.not_before or self.stopping:
                continue
            if starting >= self.section.together or now < self.last_start + self.section.stagger_s:
                return
            if heard or one.crashes or one.restarts:
                starting += 1
                self.last_start = now
                one.enter(InstanceState.STARTING, now)
                self.steps.append((SupervisorAction.START, n))

    def _terminate(self, n: int, now: float) -> None:
        self.instances[n].enter(InstanceState.ENDING, now)
        self.steps.append((SupervisorAction.TERM, n))

    def _log(self, event: str, **fields: object) -> None:
        self.log_events.append((event, fields))

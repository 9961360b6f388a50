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

from .operator import SupervisorPart

BAD_CONFIG = 2  # the exit code that says so


class State(Enum):
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
    state: State = State.DOWN
    since: float = 0.0  # when it came into this state
    at: float = 0.0  # DOWN: not started before
    heard: float = 0.0  # from its watchdog
    killed: bool = False  # in this state
    reloading: bool = False
    outdated: bool = False  # it may have read the old file: told to reload once it can hear it
    retire_by: float = 0.0
    retiring: bool = False  # it leaves the fleet by itself once it holds nothing
    crashes: deque[float] = field(default_factory=lambda: deque(maxlen=100))
    restarts: int = 0
    start_s: float = 0.0  # the latest start took, until it was ready
    why: str = ""  # it is not up

    def to(self, state: State, now: float, why: str = "") -> None:
        self.state, self.since, self.why, self.killed = state, now, why, False
        if state is not State.UP:
            self.reloading = False


class Plan:
    """Decides for all instances of one supervisor."""

    def __init__(self, part: SupervisorPart, count: int, now: float, seed: int) -> None:
        self.part, self.rng = part, random.Random(seed)
        self.all = {n: Instance(since=now, at=now) for n in range(count)}
        self.count = count
        self.stopping = False
        self.rolling: deque[int] = deque()  # still to be restarted, the one in work first
        self.rolled_at: float | None = None  # when the one in work was told to end
        self.last_start = -1e9
        self.notes: list[tuple[str, dict[str, object]]] = []  # for the log; taken by the caller
        self.steps: list[Step] = []

    # -- what is heard -----------------------------------------------------------------------------------

    def ready(self, n: int, now: float) -> None:
        one = self.all[n]
        one.reloading = False
        one.heard = now
        if one.state is State.STARTING:
            one.start_s = now - one.since
            one.to(State.UP, now)
            if one.outdated:
                self._reload(n)
            if self.rolling and self.rolling[0] == n:
                self._rolled(now)

    def beat(self, n: int, now: float) -> None:
        self.all[n].heard = now

    def exited(self, n: int, now: float, code: int) -> None:
        """Its process has ended and is reaped."""
        one = self.all[n]
        self.steps = [step for step in self.steps if step[1] != n]  # they were meant for that process
        if self.stopping or n >= self.count and code in (0, BAD_CONFIG):
            one.to(State.GONE, now, f"ended with {code}")
            return
        if one.retiring and n < self.count:
            one.retiring = False  # it is wanted again
        if one.state is State.ENDING and not one.killed and code == 0:
            one.to(State.DOWN, now)
            one.at = now
            return
        asked = one.state is State.ENDING
        one.crashes.append(now)
        why = f"ended with {code}" + (" after it was killed" if one.killed else "")
        if self.rolling and self.rolling[0] == n and not asked:
            self._halt(n, why)
        if code == BAD_CONFIG:
            one.to(State.FAILED, now, "its configuration makes no sense")
            self._note("an instance does not start again before a reload", instance=n, code=code)
            return
        tries = 0 if asked else len(self._recent(one, now)) - 1
        wait = min(self.part.most_wait_s, self.part.first_wait_s * 2.0 ** min(tries, 16))
        one.to(State.DOWN, now, why)
        one.at = now + wait * self.rng.uniform(0.7, 1.3)
        self._note(
            "an instance crashed",
            instance=n,
            code=code,
            again_in_s=round(one.at - now, 2),
            crash_loop=self.loops(n, now),
        )

    def told_to_stop(self, now: float) -> None:
        self.stopping = True
        self.rolling.clear()
        for n, one in self.all.items():
            if one.state in (State.DOWN, State.FAILED):
                one.to(State.GONE, now)
            elif one.state in (State.STARTING, State.UP):
                self._term(n, now)

    def told_to_reload(self, now: float, part: SupervisorPart, count: int, settle_s: float) -> None:
        """A file that makes sense has replaced the old one; instances read it themselves. Those that are no
        longer among them retire: they take nothing new, and end once they hold nothing."""
        if self.stopping:
            return
        self.part, self.count = part, count
        for n, one in self.all.items():
            if n >= count and one.state in (State.DOWN, State.FAILED) and not one.crashes:
                one.to(State.GONE, now)
            elif n >= count and one.state is not State.GONE and not one.retiring:
                one.retiring, one.retire_by = True, now + settle_s
            elif one.state is State.FAILED or one.state is State.GONE and n < count:
                one.to(State.DOWN, now)
                one.at, one.retiring = now, False
            if one.state is State.UP:
                self._reload(n)
            one.outdated = one.state is State.STARTING
        for n in range(count):
            self.all.setdefault(n, Instance(since=now, at=now))
        if self.rolling and self.rolling[0] >= count:
            self.rolled_at = None  # the one in work leaves
        self.rolling = deque(n for n in self.rolling if n < count)

    def _reload(self, n: int) -> None:
        self.all[n].reloading, self.all[n].outdated = True, False
        self.steps.append((SupervisorAction.RELOAD, n))

    def told_to_roll(self, now: float) -> None:
        """Restarts all, one at a time; told again while one goes on, all come again."""
        if self.stopping:
            return
        begun = list(self.rolling)[:1]
        self.rolling = deque(begun + [n for n in range(self.count) if n not in begun])
        if not begun:
            self.rolled_at = None
        self._note("a rolling restart begins", instances=self.count)

    # -- what to do --------------------------------------------------------------------------------------

    def next(self, now: float) -> list[Step]:
        """Everything to be done now; called on each change, and when `wake` says."""
        self._overdue(now)
        self._roll(now)
        self._start(now)
        steps, self.steps = self.steps, []
        return steps

    def wake(self, now: float) -> float:
        """When `next` has something to do that nothing heard will tell; at least once a second."""
        at = now + 1.0
        for one in self.all.values():
            if one.state is State.DOWN:
                at = min(at, max(one.at, self.last_start + self.part.stagger_s))
        return max(at, now + 0.01)

    @property
    def done(self) -> bool:
        return all(one.state is State.GONE for one in self.all.values())

    def loops(self, n: int, now: float) -> bool:
        """Whether it crashes again and again."""
        return len(self._recent(self.all[n], now)) >= self.part.loop_crashes

    def _recent(self, one: Instance, now: float) -> list[float]:
        return [at for at in one.crashes if now - at <= self.part.loop_s]

    def _overdue(self, now: float) -> None:
        part = self.part
        for n, one in self.all.items():
            if one.retiring and one.state is State.UP and now >= one.retire_by and not one.killed:
                self._note("a retiring instance still holds messages: they stay in its journal", instance=n)
                self._term(n, now)
            if one.killed:
                continue
            late = (
                one.state is State.STARTING
                and now - one.since > part.ready_s
                and "was not ready in time"
                or one.state is State.ENDING
                and now - one.since > part.stop_s
                and "did not end in time"
                or one.state is State.UP
                and part.watchdog_s > 0
                and now - one.heard > part.watchdog_s
                and "did not turn its loop"
            )
            if late:
                one.killed = True
                self.steps.append((SupervisorAction.KILL, n))
                self._note("an instance is killed", instance=n, why=late)

    def _roll(self, now: float) -> None:
        if not self.rolling or self.rolled_at is not None:
            return
        n = self.rolling[0]
        one = self.all[n]
        if one.state is State.UP and not one.killed:
            if all(other.state is not State.ENDING for other in self.all.values()):
                self.rolled_at = now
                one.restarts += 1
                self._term(n, now)
        elif one.state in (State.FAILED, State.GONE) or self.loops(n, now):
            self._halt(n, one.why or "it is not up")

    def _rolled(self, now: float) -> None:
        self.rolling.popleft()
        self.rolled_at = None
        if not self.rolling:
            self._note("the rolling restart is done")

    def _halt(self, n: int, why: str) -> None:
        self._note("the rolling restart stops", instance=n, why=why, left=len(self.rolling))
        self.rolling.clear()
        self.rolled_at = None

    def _start(self, now: float) -> None:
        starting = sum(one.state is State.STARTING for one in self.all.values())
        # Newcomers wait until those that are there count with them: see fleet/fleet_size.py.
        heard = not any(one.reloading for one in self.all.values())
        for n in sorted(self.all):
            one = self.all[n]
            if one.state is not State.DOWN or now < one.at or self.stopping:
                continue
            if starting >= self.part.together or now < self.last_start + self.part.stagger_s:
                return
            if heard or one.crashes or one.restarts:
                starting += 1
                self.last_start = now
                one.to(State.STARTING, now)
                self.steps.append((SupervisorAction.START, n))

    def _term(self, n: int, now: float) -> None:
        self.all[n].to(State.ENDING, now)
        self.steps.append((SupervisorAction.TERM, n))

    def _note(self, event: str, **fields: object) -> None:
        self.notes.append((event, fields))

"""One partner: calls in, and for each of them what comes back and when. No I/O, no clock, no random source
of its own.

All that will happen to a call is known when it comes, since troubles stand in the spec: so the same object
answers in virtual time and behind sockets, and the same calls get the same answers. Times are ms from the
partner's start.

| it | then a call gets |
| --- | --- |
| is down, or goes down before the answer | no connection; a reset, with its effect if it was being served |
| hangs | nothing, and has its effect |
| is silent | nothing, and never arrives |
| is shut, above its rate, or has its queue full | a refusal, with a told wait where the rate says so |
| fails, by chance or in a trouble | an error: half of them had their effect |
| loses its answer, by chance | a reset or nothing, after its effect |
| else | an answer once it has been served |
"""

from __future__ import annotations

import heapq
import math
from collections import Counter, deque
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from .spec import Enforced, Fault, Spec, Trouble


class Reply(Enum):
    OK = "ok"
    ERROR = "error"
    FULL = "full"
    RESET = "reset"
    NOTHING = "nothing"
    NO_CONNECTION = "no connection"


@dataclass(frozen=True, slots=True)
class Call:
    trace: str
    key: str | None = None
    client: str = ""


@dataclass(frozen=True, slots=True)
class Answer:
    reply: Reply
    at: float  # when it comes; of `NOTHING`, never: infinity
    wait_ms: float = 0.0  # told with a refusal


class Chance(Protocol):
    """Numbers of chance: random.Random, or emulator.draws."""

    def random(self) -> float: ...

    def gauss(self, mean: float, sigma: float, /) -> float: ...


class Partner:
    def __init__(self, spec: Spec, rng: Chance) -> None:
        self.spec, self.rng = spec, rng
        self.troubles = sorted(spec.troubles, key=lambda each: each.begin_ms)
        self.busy: list[float] = []  # heap: when each slot is free again
        self.passed: dict[str, deque[float]] = {}  # by client, or "": calls that count, within a window
        self.bucket: dict[str, tuple[float, float]] = {}  # credit, and when it was so
        self.came: deque[float] = deque()  # calls within `fall_ms`, refused ones too
        self.keys: dict[str, float] = {}  # when a key's memory ends
        self.forget: list[tuple[float, str]] = []  # heap over it
        self.effects: Counter[str] = Counter()  # by trace: what really took effect
        self.falls = 0  # times it collapsed

    # -- what it can do ----------------------------------------------------------------------------------

    def trouble(self, at: float, *faults: Fault) -> Trouble | None:
        for each in self.troubles:
            if each.begin_ms <= at < each.end_ms and (not faults or each.fault in faults):
                return each
        return None

    def back_since(self, at: float) -> float | None:
        """When the latest outage ended; None: there was none."""
        ended = [each.end_ms for each in self.troubles if each.fault.outage and each.end_ms <= at]
        return max(ended, default=None)

    def can(self, at: float) -> float:
        """Calls a second that it can do; infinity without an agreed rate."""
        if self.trouble(at, Fault.DOWN, Fault.SILENT, Fault.HUNG, Fault.SHUT) is not None:
            return 0.0
        rate, cold, back = self.spec.rate, self.spec.cold, self.back_since(at)
        if rate is None:
            return math.inf
        lowered = self.trouble(at, Fault.LOWERED)
        per_s = rate.per_s if lowered is None else rate.per_s * lowered.size
        if back is None or at >= back + cold.warm_ms:
            return per_s
        return per_s * (cold.share + (1 - cold.share) * (at - back) / cold.warm_ms)

    # -- a call ------------------------------------------------------------------------------------------

    def call(self, now: float, call: Call) -> Answer:
        """One whole call, or the attempt at a connection for one. `now` never falls."""
        if self.trouble(now, Fault.SILENT) is not None:
            return Answer(Reply.NOTHING, math.inf)
        if self.trouble(now, Fault.DOWN) is not None:
            return Answer(Reply.NO_CONNECTION, now)
        if self._falls_over(now):
            return Answer(Reply.RESET, now)
        if self.trouble(now, Fault.HUNG) is not None:
            self._effect(now, call)
            return Answer(Reply.NOTHING, math.inf)
        # drawn for each call alike, so that one refusal shifts no other call's luck
        chance = self.rng.random()
        draw = self.rng.random(), self.rng.random(), self.rng.gauss(0.0, 1.0)
        shut = self.trouble(now, Fault.SHUT) is not None or chance < self.spec.refuse
        if shut or not self._passes(now, call):
            return Answer(Reply.FULL, now, self._wait(draw[0]))
        finish = self._served(now, draw)
        if finish is None:
            return Answer(Reply.FULL, now, self._wait(draw[0]))
        return self._answered(now, finish, call, chance - self.spec.refuse, draw[1])

    def _answered(self, now: float, finish: float, call: Call, chance: float, other: float) -> Answer:
        """What becomes of a call that is served: how it ends is known by now."""
        for each in self.troubles:
            if now < each.begin_ms < finish and each.fault in (Fault.DOWN, Fault.HUNG, Fault.SILENT):
                self._effect(now, call)  # it had begun
                lost = each.fault is Fault.DOWN
                return Answer(Reply.RESET if lost else Reply.NOTHING, each.begin_ms if lost else math.inf)
        failing = self.trouble(now, Fault.FAILING)
        if chance < self.spec.error or (failing is not None and other < failing.size):
            if self.rng.random() < 0.5:
                self._effect(now, call)
            return Answer(Reply.ERROR, finish)
        self._effect(now, call)
        if chance < self.spec.error + self.spec.reset:
            return Answer(Reply.RESET, finish)
        if chance < self.spec.error + self.spec.reset + self.spec.hang:
            return Answer(Reply.NOTHING, math.inf)
        return Answer(Reply.OK, finish)

    def _effect(self, now: float, call: Call) -> None:
        while self.forget and self.forget[0][0] <= now:
            until, key = heapq.heappop(self.forget)
            if self.keys.get(key) == until:
                del self.keys[key]
        if call.key is not None and self.spec.key_window_ms > 0:
            if call.key in self.keys:
                return  # it knows it
            self.keys[call.key] = now + self.spec.key_window_ms
            heapq.heappush(self.forget, (self.keys[call.key], call.key))
        self.effects[call.trace] += 1

    def _falls_over(self, now: float) -> bool:
        """Pushed past a multiple of what it can do while it is cold, for as long as the spec says."""
        cold, back = self.spec.cold, self.back_since(now)
        while self.came and self.came[0] <= now - cold.fall_ms:
            self.came.popleft()
        self.came.append(now)
        if back is None or now >= back + cold.warm_ms or math.isinf(cold.fall_multiple):
            return False
        most = cold.fall_multiple * self.can(now) * cold.fall_ms / 1000
        if sum(at >= back for at in self.came) <= max(1.0, most):
            return False
        self.falls += 1
        self.troubles.append(Trouble(Fault.DOWN, now, now + cold.fallen_ms))
        self.troubles.sort(key=lambda each: each.begin_ms)
        self.came.clear()
        return True

    # -- rate, slots, service ----------------------------------------------------------------------------

    def _passes(self, now: float, call: Call) -> bool:
        rate = self.spec.rate
        if rate is None:
            return True
        who = call.client if rate.per_client else ""
        if rate.enforced is Enforced.BUCKET:
            credit, at = self.bucket.get(who, (rate.burst, now))
            credit = min(rate.burst, credit + self.can(now) * (now - at) / 1000)
            passes = credit >= 1
            self.bucket[who] = credit - (passes or rate.counts_refused), now
            return passes
        passed = self.passed.setdefault(who, deque())
        back = self.back_since(now)
        begin = now - rate.window_ms if back is None else max(now - rate.window_ms, back)
        while passed and passed[0] < now - rate.window_ms:
            passed.popleft()
        count = sum(at >= begin for at in passed) if back is not None and begin == back else len(passed)
        most = self.can(now) * (now - begin) / 1000 + rate.burst
        passes = count + 1 <= max(1.0, most)
        if passes or rate.counts_refused:
            passed.append(now)
        return passes

    def _wait(self, draw: float) -> float:
        rate = self.spec.rate
        if rate is None or rate.wait_ms is None:
            return 0.0
        least, most = rate.wait_ms
        return least + draw * (most - least)

    def _served(self, now: float, draw: tuple[float, float, float]) -> float | None:
        """When it has been served; None: the queue is full."""
        while self.busy and self.busy[0] <= now:
            heapq.heappop(self.busy)
        slots, begin = self.spec.slots, now
        if slots is not None and len(self.busy) >= slots:
            if len(self.busy) >= slots + self.spec.queue:
                return None
            begin = heapq.nsmallest(len(self.busy) - slots + 1, self.busy)[-1]
        load = 0.0 if slots is None else min(1.0, (len(self.busy) + 1) / slots)
        finish = begin + self._takes(now, load, draw)
        heapq.heappush(self.busy, finish)
        return finish

    def _takes(self, now: float, load: float, draw: tuple[float, float, float]) -> float:
        service = self.spec.service
        sigma = math.sqrt(math.log1p(service.cv**2))
        took = service.mean_ms * math.exp(sigma * draw[2] - sigma**2 / 2) * (1 + service.thrash * load)
        if draw[0] < service.slow_share:
            took *= service.slow_factor
        brown = self.trouble(now, Fault.BROWN)
        return took if brown is None else took * brown.size

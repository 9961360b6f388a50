"""Model of one partner: takes calls, and returns for each the reply and its time. No I/O, no clock, and no
random source of its own.

The reply to a call is known when the call arrives, since the spec lists all troubles in advance. So the same
object works in virtual time and behind sockets, and the same calls get the same answers. Times are ms from
the partner's start.

| if the partner | a call gets |
| --- | --- |
| is down, or goes down before the answer | no connection; a reset, with its effect if it was being served |
| hangs | no reply, and has its effect |
| is silent | no reply, and never arrives |
| is shut, above its rate, or has a full queue | a rejection, with a retry delay if the rate has `wait_ms` |
| fails, by chance or in a trouble | an error; half of these calls had their effect |
| loses its answer, by chance | a reset or no reply, after its effect |
| otherwise | an answer once it has been served |
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
    at: float  # when the reply arrives; infinity for `NOTHING`
    wait_ms: float = 0.0  # retry delay of a rejection


class RandomSource(Protocol):
    """A source of random numbers: random.Random, or a class of emulator.draws."""

    def random(self) -> float: ...

    def gauss(self, mean: float, sigma: float, /) -> float: ...


class Partner:
    """One partner with its state: slots, rate, remembered keys and the effects of calls."""

    def __init__(self, spec: Spec, rng: RandomSource) -> None:
        self.spec, self.rng = spec, rng
        self.troubles = sorted(spec.troubles, key=lambda each: each.begin_ms)
        self.slot_free_at: list[float] = []  # heap of the times at which slots become free
        self.counted_calls: dict[str, deque[float]] = {}  # in the window, by client or ""
        self.bucket: dict[str, tuple[float, float]] = {}  # (tokens, time of the last update) by client
        self.recent_calls: deque[float] = deque()  # calls within `fall_ms`, including rejected ones
        self.keys: dict[str, float] = {}  # when the partner forgets each key
        self.key_expiries: list[tuple[float, str]] = []  # heap of (time, key) over `keys`
        self.effects: Counter[str] = Counter()  # actual effects, by trace id
        self.falls = 0  # number of collapses

    # -- capacity ----------------------------------------------------------------------------------------

    def trouble(self, at: float, *faults: Fault) -> Trouble | None:
        for each in self.troubles:
            if each.begin_ms <= at < each.end_ms and (not faults or each.fault in faults):
                return each
        return None

    def recovered_at(self, at: float) -> float | None:
        """When the latest outage ended, or None if there was none."""
        end_times = [each.end_ms for each in self.troubles if each.fault.outage and each.end_ms <= at]
        return max(end_times, default=None)

    def can(self, at: float) -> float:
        """The capacity in calls a second; infinity without an agreed rate."""
        if self.trouble(at, Fault.DOWN, Fault.SILENT, Fault.HUNG, Fault.SHUT) is not None:
            return 0.0
        rate, warm_up, recovered = self.spec.rate, self.spec.cold, self.recovered_at(at)
        if rate is None:
            return math.inf
        lowered = self.trouble(at, Fault.LOWERED)
        per_s = rate.per_s if lowered is None else rate.per_s * lowered.size
        if recovered is None or at >= recovered + warm_up.warm_ms:
            return per_s
        return per_s * (warm_up.share + (1 - warm_up.share) * (at - recovered) / warm_up.warm_ms)

    # -- a call ------------------------------------------------------------------------------------------

    def call(self, now: float, call: Call) -> Answer:
        """Handles one call, including the attempt to connect. `now` must not decrease between calls."""
        if self.trouble(now, Fault.SILENT) is not None:
            return Answer(Reply.NOTHING, math.inf)
        if self.trouble(now, Fault.DOWN) is not None:
            return Answer(Reply.NO_CONNECTION, now)
        if self._collapses(now):
            return Answer(Reply.RESET, now)
        if self.trouble(now, Fault.HUNG) is not None:
            self._record_effect(now, call)
            return Answer(Reply.NOTHING, math.inf)
        # drawn for every call, so that a rejection does not shift the random numbers of other calls
        chance = self.rng.random()
        draw = self.rng.random(), self.rng.random(), self.rng.gauss(0.0, 1.0)
        rejects = self.trouble(now, Fault.SHUT) is not None or chance < self.spec.refuse
        if rejects or not self._within_rate(now, call):
            return Answer(Reply.FULL, now, self._retry_after_ms(draw[0]))
        finish = self._finish_time(now, draw)
        if finish is None:
            return Answer(Reply.FULL, now, self._retry_after_ms(draw[0]))
        return self._reply_to(now, finish, call, chance - self.spec.refuse, draw[1])

    def _reply_to(self, now: float, finish: float, call: Call, chance: float, other: float) -> Answer:
        """The reply to a call that is served and would end at `finish`."""
        for each in self.troubles:
            if now < each.begin_ms < finish and each.fault in (Fault.DOWN, Fault.HUNG, Fault.SILENT):
                self._record_effect(now, call)  # the call was being served
                lost = each.fault is Fault.DOWN
                return Answer(Reply.RESET if lost else Reply.NOTHING, each.begin_ms if lost else math.inf)
        failing = self.trouble(now, Fault.FAILING)
        if chance < self.spec.error or (failing is not None and other < failing.size):
            if self.rng.random() < 0.5:
                self._record_effect(now, call)
            return Answer(Reply.ERROR, finish)
        self._record_effect(now, call)
        if chance < self.spec.error + self.spec.reset:
            return Answer(Reply.RESET, finish)
        if chance < self.spec.error + self.spec.reset + self.spec.hang:
            return Answer(Reply.NOTHING, math.inf)
        return Answer(Reply.OK, finish)

    def _record_effect(self, now: float, call: Call) -> None:
        while self.key_expiries and self.key_expiries[0][0] <= now:
            until, key = heapq.heappop(self.key_expiries)
            if self.keys.get(key) == until:
                del self.keys[key]
        if call.key is not None and self.spec.key_window_ms > 0:
            if call.key in self.keys:
                return  # a repeated key has no further effect
            self.keys[call.key] = now + self.spec.key_window_ms
            heapq.heappush(self.key_expiries, (self.keys[call.key], call.key))
        self.effects[call.trace] += 1

    def _collapses(self, now: float) -> bool:
        """Whether this call makes the partner collapse: while it is cold, the calls of the last `fall_ms`
        exceed `fall_multiple` times its capacity. A collapse adds an outage of `fallen_ms`."""
        warm_up, recovered = self.spec.cold, self.recovered_at(now)
        while self.recent_calls and self.recent_calls[0] <= now - warm_up.fall_ms:
            self.recent_calls.popleft()
        self.recent_calls.append(now)
        if recovered is None or now >= recovered + warm_up.warm_ms or math.isinf(warm_up.fall_multiple):
            return False
        most = warm_up.fall_multiple * self.can(now) * warm_up.fall_ms / 1000
        if sum(at >= recovered for at in self.recent_calls) <= max(1.0, most):
            return False
        self.falls += 1
        self.troubles.append(Trouble(Fault.DOWN, now, now + warm_up.fallen_ms))
        self.troubles.sort(key=lambda each: each.begin_ms)
        self.recent_calls.clear()
        return True

    # -- rate, slots, service ----------------------------------------------------------------------------

    def _within_rate(self, now: float, call: Call) -> bool:
        rate = self.spec.rate
        if rate is None:
            return True
        client = call.client if rate.per_client else ""
        if rate.enforced is Enforced.BUCKET:
            credit, at = self.bucket.get(client, (rate.burst, now))
            credit = min(rate.burst, credit + self.can(now) * (now - at) / 1000)
            passes = credit >= 1
            self.bucket[client] = credit - (passes or rate.counts_refused), now
            return passes
        counted_calls = self.counted_calls.setdefault(client, deque())
        recovered = self.recovered_at(now)
        start = now - rate.window_ms if recovered is None else max(now - rate.window_ms, recovered)
        while counted_calls and counted_calls[0] < now - rate.window_ms:
            counted_calls.popleft()
        count = (
            sum(at >= start for at in counted_calls)
            if recovered is not None and start == recovered
            else len(counted_calls)
        )
        most = self.can(now) * (now - start) / 1000 + rate.burst
        passes = count + 1 <= max(1.0, most)
        if passes or rate.counts_refused:
            counted_calls.append(now)
        return passes

    def _retry_after_ms(self, draw: float) -> float:
        rate = self.spec.rate
        if rate is None or rate.wait_ms is None:
            return 0.0
        least, most = rate.wait_ms
        return least + draw * (most - least)

    def _finish_time(self, now: float, draw: tuple[float, float, float]) -> float | None:
        """When the call will have been served, or None if the queue is full."""
        while self.slot_free_at and self.slot_free_at[0] <= now:
            heapq.heappop(self.slot_free_at)
        slots, start = self.spec.slots, now
        if slots is not None and len(self.slot_free_at) >= slots:
            if len(self.slot_free_at) >= slots + self.spec.queue:
                return None
            start = heapq.nsmallest(len(self.slot_free_at) - slots + 1, self.slot_free_at)[-1]
        load = 0.0 if slots is None else min(1.0, (len(self.slot_free_at) + 1) / slots)
        finish = start + self._service_ms(now, load, draw)
        heapq.heappush(self.slot_free_at, finish)
        return finish

    def _service_ms(self, now: float, load: float, draw: tuple[float, float, float]) -> float:
        service = self.spec.service
        sigma = math.sqrt(math.log1p(service.cv**2))
        took = service.mean_ms * math.exp(sigma * draw[2] - sigma**2 / 2) * (1 + service.thrash * load)
        if draw[0] < service.slow_share:
            took *= service.slow_factor
        brown = self.trouble(now, Fault.BROWN)
        return took if brown is None else took * brown.size

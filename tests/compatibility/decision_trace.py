"""Seeded streams of events for the scheduler, and the trace of what it decides.

A small simulated world in virtual time hands in messages, answers attempts, changes the list of endpoints and
restarts the process. What the scheduler does feeds back into the events, so that one other decision changes
all that follows. The world draws from its own random source; the trace depends on scenario and seed alone.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from . import decision_binding as binding
from .decision_scenarios import Resize, Restart, Scenario
from .decision_destinations import Destinations
from .decision_discovery import Discovery
from .trace_lines import Trace

SNAPSHOT_TURNS = 250
KEYS = 12  # different keys of a destination's messages
MOST_OFFERS = 4  # times that a client hands in one message
UNKNOWN = 10**6  # a number that no message, and no destination, has
RESTART_MS = 700.0  # between the end of a process and the start of the next
NO_EFFECT = {"full", "connect_failed", "not_sent"}


@dataclass(slots=True)
class Offered:
    """A message as its client has it, and what the journal knows of it once it is taken on."""

    destination: int
    class_number: int
    tenant: int
    key: int
    since_ms: float
    due_ms: float
    offers: int = 1
    number: int = 0
    tries: int = 0
    sent_here: int = 0  # attempts of this process
    risk_ms: float | None = None
    risk: binding.Endpoint | None = None


@dataclass(slots=True)
class Call:
    offered: Offered
    number: int
    attempt: int
    endpoint: int
    give_up_ms: float
    begun_ms: float
    entry: binding.Endpoint


Job = Callable[[], None]


class World:
    """Clients, destinations, discovery and process restarts around one scheduler."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self.random = random.Random(f"{scenario.name} {seed}")
        self.trace = Trace()
        self.now = 1000.0
        self.jobs: list[tuple[float, int, int, Job]] = []
        self.order = count()
        self.process = 0  # jobs of an earlier one are void
        self.up = True
        self.pending: list[binding.Event] = []
        self.numbers = count(1)
        self.taken: dict[int, Offered] = {}
        self.calls: dict[int, Call] = {}
        self.timer_ms: float | None = None
        self.turns = 0
        self.discovery = Discovery(scenario, self.random)
        self.destinations = Destinations(scenario, self.random)
        self.weights = [1 / place**scenario.skew for place in range(1, scenario.destinations + 1)]
        self.scheduler = binding.new_scheduler(scenario, seed)

    # -- running -------------------------------------------------------------------------------------------

    def at(self, when_ms: float, job: Job, of_process: bool = True) -> None:
        owner = self.process if of_process else -1
        heapq.heappush(self.jobs, (max(when_ms, self.now), next(self.order), owner, job))

    def run(self) -> Trace:
        self._prepare()
        while self.jobs:
            when = self.jobs[0][0]
            if when > self.end_ms:
                break
            self.now = when
            while self.jobs and self.jobs[0][0] <= when:
                _, _, owner, job = heapq.heappop(self.jobs)
                if owner in (-1, self.process):
                    job()
            if self.pending:
                self._turn()
        self._snapshot()
        return self.trace

    def _prepare(self) -> None:
        scenario = self.scenario
        self.pending.append(self.discovery.first_list())
        for _ in range(scenario.start_backlog):
            self._left_by_earlier_process()
        last = self.now
        left = scenario.messages
        while left > 0:
            last += self.random.expovariate(1 / scenario.gap_ms)
            for _ in range(min(left, self.random.randint(1, scenario.clump))):
                self.at(last, self._arrives, of_process=False)
                left -= 1
        self.end_ms = last + scenario.tail_ms
        for resize in scenario.resizes:
            self.at(resize.at_ms, self._resizes(resize), of_process=False)
        for restart in scenario.restarts:
            self.at(restart.at_ms, self._restarts(restart), of_process=False)
        if scenario.list_change_ms:
            self.at(self.now + scenario.list_change_ms, self._list_changes, of_process=False)
        self._turn()

    def _turn(self) -> None:
        if not self.up:
            self.pending.clear()
            return
        events, self.pending = self.pending, []
        for action in binding.handle(self.scheduler, self.now, events):
            self.trace.add(action.kind, self.now, action.number, action.endpoint, float(action.value))
            self._carry_out(action)
        self.turns += 1
        if self.turns % SNAPSHOT_TURNS == 0:
            self._snapshot()

    def _snapshot(self) -> None:
        for row in binding.snapshot(self.scheduler, self.now):
            self.trace.add("snapshot", self.now, *row)
        for known in binding.knowledge(self.scheduler, self.now):
            self.trace.add("knowledge", self.now, *known)

    def _carry_out(self, action: binding.Action) -> None:
        match action.kind:
            case "send":
                self._send(action)
            case "refuse":
                self._given_up(action.number, action.value)
            case "fail":
                self.taken.pop(action.number, None)
            case "timer":
                self._set_timer(self.now + action.value, action.number)
            case "ask_for_list":
                self.at(self.now + self.random.uniform(1.0, 400.0), self._list_answered)

    def _set_timer(self, when_ms: float, token: int) -> None:
        self.timer_ms = when_ms

        def fires() -> None:
            if self.timer_ms == when_ms:
                self.timer_ms = None
                self.pending.append(binding.timer_fired(token))

        self.at(when_ms, fires)

    # -- clients -------------------------------------------------------------------------------------------

    def _draw(self, since_ms: float) -> Offered:
        scenario, draw = self.scenario, self.random
        class_number = draw.randrange(len(scenario.classes))
        class_ = scenario.classes[class_number]
        destination = draw.choices(range(1, scenario.destinations + 1), self.weights)[0]
        life = class_.deadline_ms
        if scenario.time_left_spread:
            life *= draw.uniform(0.3, 1.0)
        elif draw.random() < scenario.chances.hurried:
            life = draw.choice((0.9, 0.5, 0.2, 0.1)) * class_.target_ms
        keyed = class_.ordered or class_.effect == "keyed"
        key = destination * 1000 + draw.randint(1, KEYS) if keyed else 0
        # One number past the quotas: a tenant without any.
        tenant = draw.randint(0, len(scenario.tenants))
        return Offered(destination, class_number, tenant, key, since_ms, since_ms + life)

    def _arrives(self) -> None:
        self._offer(self._draw(self.now))
        if self.random.random() < self.scenario.chances.withdrawn:
            self._withdraws()

    def _offer(self, it: Offered) -> None:
        left = it.due_ms - self.now
        if left <= 0:
            return
        if not self.up:
            self._comes_again(it, 50.0)
            return
        number, again = next(self.numbers), it.offers > 1
        from_dead = again and self.random.random() < 0.2
        work = self.random.choice((None, 5.0, 40.0))
        offered = binding.message(
            number, it.destination, it.class_number, left, it.tenant, it.key, work, again, from_dead
        )
        holding = len(self.taken)
        if holding >= self.scenario.hold:
            self.trace.add("hold_is_full", self.now, number)
            self._comes_again(it, 300.0)
            return
        come_ms = binding.turned_away(self.scheduler, self.now, offered, holding)
        self.trace.add("turned_away" if come_ms is not None else "taken", self.now, number, come_ms)
        if come_ms is not None:
            self._comes_again(it, max(50.0, come_ms))
            return
        it.number, it.tries, it.sent_here, it.risk_ms, it.risk = number, 0, 0, None, None
        self.taken[number] = it
        self.pending.append(binding.message_event(offered))

    def _comes_again(self, it: Offered, wait_ms: float) -> None:
        if it.offers < MOST_OFFERS and self.random.random() < self.scenario.chances.comes_again:
            it.offers += 1
            jitter = self.random.uniform(1.0, 1.3)
            self.at(self.now + wait_ms * jitter, lambda: self._offer(it), of_process=False)

    def _given_up(self, number: int, stay_away_ms: float) -> None:
        it = self.taken.pop(number, None)
        if it is not None:
            self._comes_again(it, stay_away_ms)

    def _withdraws(self) -> None:
        """Of what is taken on, often while a call is out for it, or of a number that nobody knows."""
        out = [number for number in self.calls if number in self.taken]
        held = out if out and self.random.random() < 0.6 else list(self.taken)
        number = self.random.choice(held) if held else UNKNOWN
        self.taken.pop(number, None)
        self.pending.append(binding.withdrawn(number))

    def _left_by_earlier_process(self) -> None:
        since = self.now - self.random.uniform(0.0, 3000.0)
        it = self._draw(since)
        if it.due_ms <= self.now + 100.0:
            return
        it.tries = 0 if self.scenario.untried_backlog else self.random.choice((0, 0, 1, 2))
        if it.tries and self.random.random() < 0.6:
            it.risk_ms = self.random.uniform(since, self.now)
            it.risk = self.discovery.any_entry()
        self._resume(it)

    def _resume(self, it: Offered) -> None:
        it.number, it.sent_here = next(self.numbers), 0
        self.taken[it.number] = it
        risk_age = None if it.risk_ms is None else self.now - it.risk_ms
        resumed = binding.resumed_message(
            it.number,
            it.destination,
            it.class_number,
            it.due_ms - self.now,
            it.tenant,
            it.key,
            self.now - it.since_ms,
            it.tries,
            risk_age,
            it.risk,
        )
        self.pending.append(binding.message_event(resumed))

    # -- attempts ------------------------------------------------------------------------------------------

    def _send(self, action: binding.Action) -> None:
        it, listed = self.taken[action.number], self.discovery.listed[action.endpoint]
        call = Call(it, action.number, it.sent_here, action.endpoint, action.value, self.now, listed.entry())
        it.sent_here += 1
        it.tries += 1
        self.calls[action.number] = call
        if self.random.random() < self.scenario.chances.no_slot:
            self._ends(call, self.now + 0.5, "not_sent", no_slot=True)
            return
        trouble = self.destinations.trouble(self.now, it.destination)
        if trouble is not None and trouble.kind == "silent":
            # Connections that were asked for meanwhile come up together at its end.
            connected = trouble.end_ms + self.random.uniform(0.0, 250.0)
        elif self.random.random() < self.scenario.chances.slow_connect:
            connected = self.now + self.random.uniform(300.0, 1500.0)
        else:
            connected = self.now + self.random.uniform(0.1, 6.0)
        if connected >= call.give_up_ms:
            self._ends(call, call.give_up_ms, "connect_failed")
        else:
            self.at(connected, lambda: self._connected(call))

    def _connected(self, call: Call) -> None:
        allowed = binding.may_write(self.scheduler, self.now, call.number)
        self.trace.add("may_write", self.now, call.number, allowed)
        if allowed:
            self._serve(call)
        else:
            self._ends(call, self.now, "not_sent", held_back=True)

    def _serve(self, call: Call) -> None:
        answer = self.destinations.answer(self.now, call.offered.destination, call.give_up_ms)
        self._ends(call, answer.at_ms, answer.outcome, answer.finished, answer.wait_ms)

    def _ends(
        self,
        call: Call,
        when_ms: float,
        outcome: str,
        finished: bool = False,
        wait_ms: float = 0.0,
        no_slot: bool = False,
        held_back: bool = False,
    ) -> None:
        report: tuple[float, ...] = ()
        if self.scenario.reports_limit and outcome in ("ok", "error", "full"):
            limit = self.scenario.real_rate * self.random.choice((0.0, 0.5, 1.0, 1.0, 1.2))
            report = (self.random.random(), limit)

        def job() -> None:
            it = call.offered
            self.calls.pop(call.number, None)
            it.tries -= held_back
            if outcome not in NO_EFFECT and it.risk_ms is None:
                it.risk_ms, it.risk = call.begun_ms, call.entry
            if finished:
                self.taken.pop(call.number, None)
            ended = binding.attempt_ended(
                call.number,
                call.attempt,
                call.endpoint,
                outcome,
                self.now - call.begun_ms,
                finished,
                wait_ms,
                no_slot,
                report,
                held_back,
            )
            self.pending.append(ended)
            if self.random.random() < 0.01:  # told twice
                self.pending.append(ended)
            if self.random.random() < 0.01:
                self.pending.append(binding.probe_ended(call.endpoint, outcome, 5.0))

        self.at(when_ms, job)

    # -- discovery -----------------------------------------------------------------------------------------

    def _list_answered(self) -> None:
        answer = self.discovery.answer()
        if answer is not None:
            self.pending.append(answer)

    def _list_changes(self) -> None:
        pause = self.scenario.list_change_ms * self.random.uniform(0.5, 1.5)
        self.at(self.now + pause, self._list_changes, of_process=False)
        self.pending.append(self.discovery.change())

    # -- the process ---------------------------------------------------------------------------------------

    def _resizes(self, resize: Resize) -> Job:
        return lambda: self.pending.append(binding.resized(resize.place))

    def _restarts(self, restart: Restart) -> Job:
        def tells() -> None:
            ends = self.now + 1200.0
            self.pending.append(binding.closing(ends))
            self.at(ends, self._stops, of_process=False)

        return tells if restart.planned else self._stops

    def _stops(self) -> None:
        known = binding.knowledge(self.scheduler, self.now)
        for call in self.calls.values():  # an unknown outcome: it may have run
            it = call.offered
            if it.risk_ms is None:
                it.risk_ms, it.risk = call.begun_ms, call.entry
        self.calls.clear()
        self.process += 1
        self.up, self.timer_ms = False, None
        self.at(self.now + RESTART_MS, lambda: self._starts(known), of_process=False)

    def _starts(self, known: list[binding.Knowledge]) -> None:
        self.up = True
        self.scheduler = binding.new_scheduler(self.scenario, self.seed + 1000 * self.process)
        self.pending = [self.discovery.first_list()]
        for each in known:
            self.trace.add("recalled", self.now, *each)
            self.pending.append(binding.recalled(each))
        self.pending.append(binding.recalled(binding.Knowledge(UNKNOWN, 500.0, False, None, None)))
        # Told once more when this process knows better.
        late = [binding.recalled(each) for each in known]
        self.at(self.now + 1500.0, lambda: self.pending.extend(late))
        left = [it for it in self.taken.values() if it.due_ms > self.now]
        self.taken.clear()
        for it in left:
            self._resume(it)


def traced(scenario: Scenario, seed: int) -> Trace:
    return World(scenario, seed).run()

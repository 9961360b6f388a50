"""Feeds the scheduler with seeded streams of events and traces its decisions.

A small simulation in virtual time submits messages, answers attempts, changes the list of endpoints and
restarts the process. The actions of the scheduler feed back into the events, so that one different decision
changes all that follow. The simulation draws from its own random source; the trace depends on scenario and
seed alone.
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
KEYS = 12  # number of different keys of a destination's messages
MAX_SUBMISSIONS = 4  # how often a client submits one message, at most
UNKNOWN_NUMBER = 10**6  # a number that no message, and no destination, has
RESTART_MS = 700.0  # between the end of a process and the start of the next
NO_EFFECT = {"full", "connect_failed", "not_sent"}


@dataclass(slots=True)
class ClientMessage:
    """A message as its client knows it, and what the journal stores about it after its acceptance."""

    destination: int
    class_number: int
    tenant: int
    key: int
    since_ms: float
    due_ms: float
    submissions: int = 1
    number: int = 0
    tries: int = 0
    process_attempts: int = 0  # attempts in the current process
    uncertain_since_ms: float | None = None
    uncertain_endpoint: binding.Endpoint | None = None


@dataclass(slots=True)
class Call:
    message: ClientMessage
    number: int
    attempt: int
    endpoint: int
    give_up_ms: float
    started_ms: float
    entry: binding.Endpoint


Job = Callable[[], None]


class World:
    """Simulates clients, destinations, discovery and process restarts around one scheduler."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self.random = random.Random(f"{scenario.name} {seed}")
        self.trace = Trace()
        self.now = 1000.0
        self.jobs: list[tuple[float, int, int, Job]] = []
        self.order = count()
        self.process = 0  # number of the process; jobs of an earlier one are discarded
        self.up = True
        self.pending: list[binding.Event] = []
        self.numbers = count(1)
        self.accepted: dict[int, ClientMessage] = {}
        self.calls: dict[int, Call] = {}
        self.timer_ms: float | None = None
        self.turns = 0
        self.discovery = Discovery(scenario, self.random)
        self.destinations = Destinations(scenario, self.random)
        self.weights = [1 / position**scenario.skew for position in range(1, scenario.destinations + 1)]
        self.scheduler = binding.new_scheduler(scenario, seed)

    # -- running -------------------------------------------------------------------------------------------

    def schedule(self, when_ms: float, job: Job, of_process: bool = True) -> None:
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
            self._resume_from_earlier_process()
        last = self.now
        left = scenario.messages
        while left > 0:
            last += self.random.expovariate(1 / scenario.gap_ms)
            for _ in range(min(left, self.random.randint(1, scenario.burst))):
                self.schedule(last, self._submit_new, of_process=False)
                left -= 1
        self.end_ms = last + scenario.tail_ms
        for resize in scenario.resizes:
            self.schedule(resize.at_ms, self._resize_job(resize), of_process=False)
        for restart in scenario.restarts:
            self.schedule(restart.at_ms, self._restart_job(restart), of_process=False)
        if scenario.list_change_ms:
            self.schedule(self.now + scenario.list_change_ms, self._change_list, of_process=False)
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
        for destination in binding.known_destinations(self.scheduler, self.now):
            self.trace.add("knowledge", self.now, *destination)

    def _carry_out(self, action: binding.Action) -> None:
        match action.kind:
            case "send":
                self._send(action)
            case "refuse":
                self._reject(action.number, action.value)
            case "fail":
                self.accepted.pop(action.number, None)
            case "timer":
                self._set_timer(self.now + action.value, action.number)
            case "ask_for_list":
                self.schedule(self.now + self.random.uniform(1.0, 400.0), self._answer_poll)

    def _set_timer(self, when_ms: float, token: int) -> None:
        self.timer_ms = when_ms

        def fire() -> None:
            if self.timer_ms == when_ms:
                self.timer_ms = None
                self.pending.append(binding.timer_fired(token))

        self.schedule(when_ms, fire)

    # -- clients -------------------------------------------------------------------------------------------

    def _draw(self, since_ms: float) -> ClientMessage:
        scenario, draw = self.scenario, self.random
        class_number = draw.randrange(len(scenario.classes))
        class_ = scenario.classes[class_number]
        destination = draw.choices(range(1, scenario.destinations + 1), self.weights)[0]
        lifetime_ms = class_.deadline_ms
        if scenario.time_left_spread:
            lifetime_ms *= draw.uniform(0.3, 1.0)
        elif draw.random() < scenario.chances.short_deadline:
            lifetime_ms = draw.choice((0.9, 0.5, 0.2, 0.1)) * class_.target_ms
        keyed = class_.ordered or class_.effect == "keyed"
        key = destination * 1000 + draw.randint(1, KEYS) if keyed else 0
        # The number after the last quota is a tenant without one.
        tenant = draw.randint(0, len(scenario.tenants))
        return ClientMessage(destination, class_number, tenant, key, since_ms, since_ms + lifetime_ms)

    def _submit_new(self) -> None:
        self._submit(self._draw(self.now))
        if self.random.random() < self.scenario.chances.client_cancels:
            self._cancel_message()

    def _submit(self, message: ClientMessage) -> None:
        left = message.due_ms - self.now
        if left <= 0:
            return
        if not self.up:
            self._resubmit_later(message, 50.0)
            return
        number, is_resubmission = next(self.numbers), message.submissions > 1
        from_dead_instance = is_resubmission and self.random.random() < 0.2
        work = self.random.choice((None, 5.0, 40.0))
        submission = binding.message(
            number,
            message.destination,
            message.class_number,
            left,
            message.tenant,
            message.key,
            work,
            is_resubmission,
            from_dead_instance,
        )
        pending_count = len(self.accepted)
        if pending_count >= self.scenario.max_pending:
            self.trace.add("hold_is_full", self.now, number)
            self._resubmit_later(message, 300.0)
            return
        delay_ms = binding.rejection_delay(self.scheduler, self.now, submission, pending_count)
        self.trace.add("turned_away" if delay_ms is not None else "taken", self.now, number, delay_ms)
        if delay_ms is not None:
            self._resubmit_later(message, max(50.0, delay_ms))
            return
        (
            message.number,
            message.tries,
            message.process_attempts,
            message.uncertain_since_ms,
            message.uncertain_endpoint,
        ) = number, 0, 0, None, None
        self.accepted[number] = message
        self.pending.append(binding.as_event(submission))

    def _resubmit_later(self, message: ClientMessage, wait_ms: float) -> None:
        if message.submissions < MAX_SUBMISSIONS and self.random.random() < self.scenario.chances.resubmits:
            message.submissions += 1
            jitter = self.random.uniform(1.0, 1.3)
            self.schedule(self.now + wait_ms * jitter, lambda: self._submit(message), of_process=False)

    def _reject(self, number: int, retry_after_ms: float) -> None:
        message = self.accepted.pop(number, None)
        if message is not None:
            self._resubmit_later(message, retry_after_ms)

    def _cancel_message(self) -> None:
        """Cancels an accepted message, often one with an attempt in flight, or an unknown number."""
        in_flight = [number for number in self.calls if number in self.accepted]
        candidates = in_flight if in_flight and self.random.random() < 0.6 else list(self.accepted)
        number = self.random.choice(candidates) if candidates else UNKNOWN_NUMBER
        self.accepted.pop(number, None)
        self.pending.append(binding.message_cancelled(number))

    def _resume_from_earlier_process(self) -> None:
        since = self.now - self.random.uniform(0.0, 3000.0)
        message = self._draw(since)
        if message.due_ms <= self.now + 100.0:
            return
        message.tries = 0 if self.scenario.untried_backlog else self.random.choice((0, 0, 1, 2))
        if message.tries and self.random.random() < 0.6:
            message.uncertain_since_ms = self.random.uniform(since, self.now)
            message.uncertain_endpoint = self.discovery.any_entry()
        self._resume(message)

    def _resume(self, message: ClientMessage) -> None:
        message.number, message.process_attempts = next(self.numbers), 0
        self.accepted[message.number] = message
        uncertain_for_ms = (
            None if message.uncertain_since_ms is None else self.now - message.uncertain_since_ms
        )
        resumed = binding.resumed_message(
            message.number,
            message.destination,
            message.class_number,
            message.due_ms - self.now,
            message.tenant,
            message.key,
            self.now - message.since_ms,
            message.tries,
            uncertain_for_ms,
            message.uncertain_endpoint,
        )
        self.pending.append(binding.as_event(resumed))

    # -- attempts ------------------------------------------------------------------------------------------

    def _send(self, action: binding.Action) -> None:
        message, listed = self.accepted[action.number], self.discovery.listed[action.endpoint]
        call = Call(
            message,
            action.number,
            message.process_attempts,
            action.endpoint,
            action.value,
            self.now,
            listed.entry(),
        )
        message.process_attempts += 1
        message.tries += 1
        self.calls[action.number] = call
        if self.random.random() < self.scenario.chances.no_slot:
            self._complete(call, self.now + 0.5, "not_sent", had_no_slot=True)
            return
        fault = self.destinations.fault(self.now, message.destination)
        if fault is not None and fault.kind == "silent":
            # Connections requested during the fault are established together when it ends.
            connected = fault.end_ms + self.random.uniform(0.0, 250.0)
        elif self.random.random() < self.scenario.chances.slow_connect:
            connected = self.now + self.random.uniform(300.0, 1500.0)
        else:
            connected = self.now + self.random.uniform(0.1, 6.0)
        if connected >= call.give_up_ms:
            self._complete(call, call.give_up_ms, "connect_failed")
        else:
            self.schedule(connected, lambda: self._connected(call))

    def _connected(self, call: Call) -> None:
        allowed = binding.may_write(self.scheduler, self.now, call.number)
        self.trace.add("may_write", self.now, call.number, allowed)
        if allowed:
            self._serve(call)
        else:
            self._complete(call, self.now, "not_sent", was_withheld=True)

    def _serve(self, call: Call) -> None:
        answer = self.destinations.answer(self.now, call.message.destination, call.give_up_ms)
        self._complete(call, answer.at_ms, answer.outcome, answer.finished, answer.wait_ms)

    def _complete(
        self,
        call: Call,
        when_ms: float,
        outcome: str,
        is_final: bool = False,
        wait_ms: float = 0.0,
        had_no_slot: bool = False,
        was_withheld: bool = False,
    ) -> None:
        report: tuple[float, ...] = ()
        if self.scenario.reports_limit and outcome in ("ok", "error", "full"):
            limit = self.scenario.real_rate * self.random.choice((0.0, 0.5, 1.0, 1.0, 1.2))
            report = (self.random.random(), limit)

        def job() -> None:
            message = call.message
            self.calls.pop(call.number, None)
            message.tries -= was_withheld
            if outcome not in NO_EFFECT and message.uncertain_since_ms is None:
                message.uncertain_since_ms, message.uncertain_endpoint = call.started_ms, call.entry
            if is_final:
                self.accepted.pop(call.number, None)
            completed = binding.attempt_completed(
                call.number,
                call.attempt,
                call.endpoint,
                outcome,
                self.now - call.started_ms,
                is_final,
                wait_ms,
                had_no_slot,
                report,
                was_withheld,
            )
            self.pending.append(completed)
            if self.random.random() < 0.01:  # reports the completion twice
                self.pending.append(completed)
            if self.random.random() < 0.01:
                self.pending.append(binding.probe_completed(call.endpoint, outcome, 5.0))

        self.schedule(when_ms, job)

    # -- discovery -----------------------------------------------------------------------------------------

    def _answer_poll(self) -> None:
        answer = self.discovery.answer()
        if answer is not None:
            self.pending.append(answer)

    def _change_list(self) -> None:
        pause = self.scenario.list_change_ms * self.random.uniform(0.5, 1.5)
        self.schedule(self.now + pause, self._change_list, of_process=False)
        self.pending.append(self.discovery.change())

    # -- the process ---------------------------------------------------------------------------------------

    def _resize_job(self, resize: Resize) -> Job:
        return lambda: self.pending.append(binding.fleet_resized(resize.position))

    def _restart_job(self, restart: Restart) -> Job:
        def announce() -> None:
            ends = self.now + 1200.0
            self.pending.append(binding.shutdown_scheduled(ends))
            self.schedule(ends, self._stop_process, of_process=False)

        return announce if restart.planned else self._stop_process

    def _stop_process(self) -> None:
        destinations = binding.known_destinations(self.scheduler, self.now)
        for call in self.calls.values():  # the outcome is unknown: the attempt may have had an effect
            message = call.message
            if message.uncertain_since_ms is None:
                message.uncertain_since_ms, message.uncertain_endpoint = call.started_ms, call.entry
        self.calls.clear()
        self.process += 1
        self.up, self.timer_ms = False, None
        self.schedule(self.now + RESTART_MS, lambda: self._start_process(destinations), of_process=False)

    def _start_process(self, destinations: list[binding.KnownDestination]) -> None:
        self.up = True
        self.scheduler = binding.new_scheduler(self.scenario, self.seed + 1000 * self.process)
        self.pending = [self.discovery.first_list()]
        for destination in destinations:
            self.trace.add("recalled", self.now, *destination)
            self.pending.append(binding.restored_destination(destination))
        self.pending.append(
            binding.restored_destination(binding.KnownDestination(UNKNOWN_NUMBER, 500.0, False, None, None))
        )
        # Restores the same state again later, when this process has newer state of its own.
        late = [binding.restored_destination(destination) for destination in destinations]
        self.schedule(self.now + 1500.0, lambda: self.pending.extend(late))
        unexpired = [message for message in self.accepted.values() if message.due_ms > self.now]
        self.accepted.clear()
        for message in unexpired:
            self._resume(message)


def run_trace(scenario: Scenario, seed: int) -> Trace:
    return World(scenario, seed).run()

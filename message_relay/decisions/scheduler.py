"""Which message goes where, and when. What is believed of a destination: paces.py; what ends undelivered:
endings.py. No event costs more for what else is held (docs/design/large-size.md): a queue is looked at when
something changed there, `Index` finds the best, and a turn that would look at too much goes on in the next.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from .actions import Action, SetTimer, StartAttempt, WatchEndpoints
from .endpoint_registry import EndpointRegistry
from .events import (
    AttemptCompleted,
    EndpointList,
    Event,
    Message,
    MessageCancelled,
    RestoredDestination,
    ShutdownScheduled,
    TimerFired,
)
from .expiry import MAX_SCANS, SHEDDING_THRESHOLD, ExpiryAndShedding
from .idempotency import (
    allows_endpoint,
    can_reject_safely,
    idempotency_window_end,
    retry_affinity,
    retry_deadline,
)
from .model import FOREVER, NEVER, Effect, Fleet, Outcome, Settings
from .pending import DestinationState, EndpointState, PendingMessage, PendingMessages
from .priority_index import PriorityIndex
from .rate_control import (
    EVIDENCE_TTL_MS,
    MIN_OVERDUE_MS,
    RETRY_MAX_MS,
    RETRY_MS,
    TIMEOUT_DEVIATIONS,
    RateController,
    endpoint_penalty,
    is_suspected,
    overdue_ms,
)

LAST_ATTEMPT_PATIENCE = (
    3.0  # the last try a message can have waits so many times longer: a late answer still saves it
)
QUOTA_BURST_S, QUOTA_MIN_BURST = 2.0, 4.0  # a tenant's share saved up: seconds of it, and messages at least
SLOW_CONNECT_MS = 500.0  # a connection that takes longer is one that the system had to ask for again
TRUSTED_FAILURE_SCORE = 0.25  # blame below which an unsafe message may be risked again


def scheduling_weights(settings: Settings) -> list[float]:
    """By class: that of least worth is served worst, and counts more by what the goal gives for that."""
    worths, goal = [cls.priority_weight for cls in settings.classes], settings.goal
    least = min(worths)
    most = min((worth for worth in worths if worth > least), default=least)
    more = sum(worths) * goal.worst_class / max(goal.whole + goal.worst_window, 0.01)  # as many of each class
    return [min(most, worth + more) if worth == least else worth for worth in worths]


class SendWindow(NamedTuple):
    """From when on a lane takes calls."""

    opens_at: float
    urgent_at: float  # of those in a hurry: the pace is a guess, overdrawn for a client that won't wait
    unsafe_at: float  # not earlier, if an unclear outcome would be final
    slot_time_ms: float  # slot time for one delivery, failed calls counted


class DeliveryScheduler:
    """Decides for one relay: feed it events with `handle`, carry out the actions that it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.rng, self.pending, self.index = random.Random(seed), PendingMessages(), PriorityIndex(settings)
        self.rate_controller = RateController(settings, self.rng)
        self.registry = EndpointRegistry(self.rate_controller, self.pending)
        self.expiry = ExpiryAndShedding(self.registry, self.index)
        self.destinations, self.endpoints = self.registry.destinations, self.registry.endpoints
        self.destination_snapshot = self.registry.snapshot
        self.quota_tokens = [(FOREVER, 0.0)] * len(settings.tenants)  # full from the first look at it
        self.class_weights = scheduling_weights(settings)
        self.in_flight = 0
        self.timer_at = 0.0
        self.shutdown_at = float("inf")  # a planned restart: no call may still be out then

    def handle(self, now_ms: float, events: list[Event]) -> list[Action]:
        acts: list[Action] = []
        for event in events:
            match event:
                case Message():
                    self._accept(now_ms, event)
                case AttemptCompleted():
                    self._on_attempt_completed(now_ms, event)
                case EndpointList():
                    self.registry.apply_list(now_ms, event)
                case RestoredDestination():
                    self.registry.restore(now_ms, event)
                case MessageCancelled():
                    self._cancel(event.id)
                case TimerFired():
                    self.timer_at = 0.0
                case ShutdownScheduled():
                    self.shutdown_at = event.at_ms
                    self.pending.scans_due.update(dict.fromkeys(self.pending.queues, True))
                case Fleet():
                    self.registry.resize(event)
        if self.registry.should_poll(now_ms):
            acts.append(WatchEndpoints())
        self.expiry.expire(now_ms, acts)
        self._dispatch(now_ms, acts)
        self.expiry.shed_load(acts, now_ms)
        wake = max(self._next_at(now_ms), now_ms + self.settings.tick_ms)
        if wake < FOREVER and (self.timer_at <= now_ms or wake < self.timer_at):
            self.timer_at = wake
            acts.append(SetTimer(self.timer_at - now_ms, 0))
        return acts

    @property
    def settings(self) -> Settings:
        return self.rate_controller.settings  # the number of instances may change

    def _next_at(self, now: float) -> float:
        """When there is something to do that no event will tell."""
        free = (
            self.in_flight < self.settings.max_concurrent_attempts
        )  # else the outcome that frees a slot comes first
        if self.expiry.is_overloaded or free and self.pending.scans_due:
            return now
        wakes = [self.registry.next_poll_at, *(end[0] for end in self.expiry.deadline_heap[:1])]
        return min(wakes + ([self.pending.next_wakeup_at()] if free else []))

    def rejection_delay_ms(self, now: float, msg: Message, holding: int) -> float | None:
        """Asked before a message is taken on, while so many are held: in how many ms it is to come instead,
        where making room would lose more than it wins: what was taken on has waited, and is promised."""
        if holding < int(SHEDDING_THRESHOLD * self.settings.max_pending_messages):
            return None
        new, least = self._new_pending(now, msg, self._quota(now, msg)), self.expiry.lowest_value(now)
        won = new.value_at(self.expiry.drained_at(now, msg.destination, 1), self.settings.decay)
        return (
            None if least is not None and won > least[0] else self.expiry.retry_after_ms(now, msg.destination)
        )

    def _new_pending(self, now: float, msg: Message, left: float) -> PendingMessage:
        cls = self.settings.classes[msg.class_]
        # An unmarked first try is new however little time it has left: some clients are just in a hurry.
        old = msg.again or msg.from_dead_relay or not self.settings.marks_repeats
        since = now + msg.left_ms - cls.deadline_ms if old else now - (msg.age_ms or 0.0)
        worth = self.class_weights[msg.class_] * (1.0 if left >= 1 else self.settings.over_quota_weight)
        return PendingMessage(msg, cls, since, now + msg.left_ms, worth, now, msg.tries)

    def _quota(self, now: float, msg: Message) -> float:
        """How many messages its tenant may still hand in within its share."""
        if msg.tenant >= len(self.quota_tokens) or msg.age_ms is not None:  # resumed ones would seem a surge
            return FOREVER
        left, at = self.quota_tokens[msg.tenant]
        quota = self.settings.tenants[msg.tenant].quota_per_s / self.settings.relays
        return min(max(QUOTA_MIN_BURST, QUOTA_BURST_S * quota), left + quota * (now - at) / 1000)

    def _accept(self, now: float, msg: Message) -> None:
        held = self._new_pending(now, msg, left := self._quota(now, msg))
        held.first_uncertain_at, held.uncertain_endpoint = (
            None if msg.risk_age_ms is None else now - msg.risk_age_ms,
            msg.risk,
        )
        if (
            self.rate_controller.is_large_fleet and msg.age_ms is not None
        ):  # most of a fleet may start in one moment
            for lane in self.destinations.get(msg.destination, {}).values():
                lane.tokens = min(lane.tokens, self.rng.random())
        if left < FOREVER:
            self.quota_tokens[msg.tenant] = left - (left >= 1), now
        self.pending.add(held)
        self._enqueue(now, held)

    def _enqueue(self, now: float, held: PendingMessage) -> None:
        """Puts a message into its queue, until a send or its last moment, whichever comes first."""
        self.expiry.schedule(now, held)
        left = held.message.age_ms is not None and not held.attempts  # by an earlier process: it has its try
        held.can_be_shed, held.retry_affinity = can_reject_safely(held) and not left, retry_affinity(held)
        self.pending.enqueue(held, now)

    def _may_send(self, now: float, held: PendingMessage, door: EndpointState) -> bool:
        """The one gate of every send: attempts, drain, told wait, time, order, effect and key window."""
        lane, entry = door.destination, door.endpoint
        free = (
            held.in_flight_on is None
            and entry.id in self.endpoints
            and now < retry_deadline(self.settings, held)
        )
        due = (
            max(lane.retry_after_until, self.pending.sendable_at(held))
            <= now
            < held.deadline_at - lane.latency_mean_ms / 4
        )
        return (
            free
            and due
            and now + overdue_ms(lane) <= self.shutdown_at
            and allows_endpoint(held.retry_affinity, entry)
        )

    def may_write(self, now: float, ident: int) -> bool:
        """Asked right before a call's first byte: connecting took time, in which its endpoint may have
        drained, its destination told us to wait, or the message's time or key window run out. Connections
        that were asked for in an outage come up together at its end: a call on one is paced anew, once."""
        held = self.pending.by_id.get(ident)
        if held is None or held.in_flight_on is None or held.is_cancelled:
            return False
        door, until = (
            held.in_flight_on,
            min(held.deadline_at, idempotency_window_end(self.settings, held), self.shutdown_at),
        )
        late = now - held.sent_at > SLOW_CONNECT_MS and (
            door.destination.is_ejected or door.destination.warming_since > held.sent_at
        )
        if late and not held.was_deferred:
            held.was_deferred = True
            return False
        return (
            self.endpoints.get(door.endpoint.id) is door and door.destination.retry_after_until <= now < until
        )

    def _cancel(self, ident: int) -> None:
        if held := self.pending.by_id.get(ident):
            held.is_cancelled = True  # one that is out waits for its outcome
            if held.in_flight_on is None:
                self.pending.remove(held)

    def _on_attempt_completed(self, now: float, event: AttemptCompleted) -> None:
        held = self.pending.by_id.get(event.id)
        if held is None or held.in_flight_on is None:
            return
        door, held.in_flight_on = held.in_flight_on, None
        held.attempts -= event.withheld
        self.in_flight -= 1
        door.in_flight -= 1
        door.destination.in_flight.pop(event.id, None)
        self.pending.request_scan(held.message.destination)
        if not event.outcome.proves_no_effect and held.first_uncertain_at is None:
            held.first_uncertain_at, held.uncertain_endpoint = held.sent_at, door.endpoint
        if event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED) and held.ordering_key:
            self.pending.pause_key(
                held.ordering_key, now, now + self.settings.safety.key_rest_ms + self.settings.tick_ms
            )
        door.idle_connections = (
            [*door.idle_connections, now]
            if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL)
            else []
        )
        # Both layers pause before the next try: growing and jittered after any told wait.
        pause = min(RETRY_MAX_MS, RETRY_MS * 2 ** (held.attempts - 1)) * self.rng.uniform(0.7, 1.3)
        held.backoff_until = now + pause
        if event.outcome is Outcome.OK:
            self.rate_controller.on_success(
                now, door, held, event.latency_ms, held.message.destination in self.pending.queues
            )
        elif event.outcome not in (Outcome.NOT_SENT, Outcome.CANCELLED):
            self.rate_controller.on_failure(now, door, held, event)
        if self.settings.limit_report and len(event.report) > max(self.settings.limit_report):
            self.rate_controller.on_load_report(
                door.destination, *(event.report[n] for n in self.settings.limit_report)
            )
        if event.finished or held.is_cancelled:
            self.pending.remove(held)
        else:
            self._enqueue(now, held)

    def _choose_endpoint(
        self, now: float, held: PendingMessage, lane: DestinationState
    ) -> EndpointState | None:
        """The endpoint to use: not doubted, little busy, with a warm connection, cheap."""

        def rank(door: EndpointState) -> tuple[float, float, int]:
            zone = door.endpoint.zone
            fee = self.settings.route_fees[zone] if zone < len(self.settings.route_fees) else 0.0
            fee += self.settings.cross_zone_price * (zone != self.settings.zone)
            door.idle_connections = [
                at for at in door.idle_connections if now - at < self.settings.idle_ms * 0.9
            ]
            load = (
                door.in_flight
                + endpoint_penalty(door, now, held.message.class_)
                + 0.9 * (not door.idle_connections)
                + 1.5 * (fee > 0)
            )
            return load, fee, door.endpoint.id

        able = [door for door in lane.endpoints.values() if self._may_send(now, held, door)]
        return min(able, key=rank) if able else None

    def _dispatch(self, now: float, acts: list[Action]) -> None:
        """Sends what has most worth per slot time while there are slots; reads only queues that are due."""
        if self.in_flight >= self.settings.max_concurrent_attempts:
            return
        self.pending.advance(now)
        looks = 0
        while self.in_flight < self.settings.max_concurrent_attempts:
            while self.pending.scans_due and looks < MAX_SCANS:
                self._scan(now, *self.pending.scans_due.popitem(last=False))
                looks += 1
            entry = self.index.pop_best(now)
            if entry is None:
                return
            _, _, held, lane, queue, _ = entry
            if queue.scanned_at != now and not self._is_still_sendable(now, held, lane):
                self.pending.request_scan(queue.destination_id)
            elif (door := self._choose_endpoint(now, held, lane)) is not None:
                self._send(now, held, door, acts)

    def _is_still_sendable(self, now: float, held: PendingMessage, lane: DestinationState) -> bool:
        """Whether it may go now: since the look at its queue its calls may have become overdue."""
        gate = self._send_window(now, lane)
        return gate is not None and self._send_time(gate, lane, held) <= now

    @staticmethod
    def _send_time(gate: SendWindow, lane: DestinationState, held: PendingMessage) -> float:
        hurried = held.bucket is not None and held.bucket.is_urgent
        at = max(lane.retry_after_until, gate.urgent_at if hurried else gate.opens_at)
        return max(at, gate.unsafe_at) if held.message_class.effect is Effect.UNSAFE else at

    def _send_window(self, now: float, lane: DestinationState) -> SendWindow | None:
        """What this lane takes, and from when on; nothing until its next outcome or company."""
        out = is_suspected(lane, now)
        cap = max(1, self.settings.max_concurrent_attempts // (4 if out else 2))
        if not lane.endpoints or len(lane.in_flight) >= cap and (out or len(self.pending.queues) > 1):
            return None
        if now + overdue_ms(lane) > self.shutdown_at:
            return None
        # Slot time for one delivery, failed calls counted: scarce slots go to destinations that answer.
        cost = lane.latency_mean_ms + lane.failure_score * (
            lane.latency_mean_ms + TIMEOUT_DEVIATIONS * lane.latency_deviation_ms
        ) / (1 - lane.failure_score)
        barred = (out or lane.failure_score > TRUSTED_FAILURE_SCORE) and not lane.last_failure_had_no_effect
        unsafe_at = (
            lane.last_failure_at + EVIDENCE_TTL_MS if barred else NEVER
        )  # an unclear outcome would be final
        return SendWindow(*self.rate_controller.next_send_times(now, lane, out), unsafe_at, cost)

    def _scan(self, now: float, dest: int, whole: bool) -> None:
        """Enters what a queue could send now, or what is new of it, and sets when to look at it again."""
        queue = self.pending.queues.get(dest)
        if queue is None:
            return
        fresh, queue.arrivals = [held for held in queue.arrivals if held.bucket is not None], []
        courses = {course.key: course for course in (held.bucket for held in fresh) if course is not None}
        if whole:
            queue.scan_generation, queue.scanned_at, courses = queue.scan_generation + 1, now, queue.buckets
        again = FOREVER
        for lane in self.destinations.get(dest, {}).values():
            gate = self._send_window(now, lane)
            if gate is None:
                continue
            for course in courses.values():
                here = (
                    allows_endpoint(course.retry_affinity, door.endpoint) for door in lane.endpoints.values()
                )
                if not course.ready or not any(here):
                    continue
                at = self._send_time(gate, lane, course.ready[0][2])
                if at <= now:
                    new: list[PendingMessage | None] = [held for held in fresh if held.bucket is course]
                    for held in [None] if whole else new:
                        at = self.index.insert(now, course, lane, gate.slot_time_ms, held)
                elif at > lane.retry_after_until:  # by a pace, which may change with time
                    at = min(at, self.rate_controller.rate_stable_until(now, lane))
                again = min(again, at)
        again = max(again, now + self.settings.tick_ms)
        if whole or again < queue.next_scan_at or queue.next_scan_at <= now:
            self.pending.schedule_scan(queue, again)

    def _send(self, now: float, held: PendingMessage, door: EndpointState, acts: list[Action]) -> None:
        lane, until = door.destination, held.deadline_at
        patience = max(
            2 * MIN_OVERDUE_MS,
            (lane.latency_mean_ms + TIMEOUT_DEVIATIONS * lane.latency_deviation_ms) * lane.timeout_multiplier,
        )
        last = held.attempts + 1 >= self.settings.max_attempts or held.message_class.effect is Effect.UNSAFE
        if held.message_class.effect is Effect.KEYED:
            risk = held.first_uncertain_at if held.first_uncertain_at is not None else now
            last = (
                last or now + patience + RETRY_MS * 2**held.attempts > risk + held.message_class.key_window_ms
            )
        if last or now + 2 * patience < held.deadline_at:
            until = min(held.deadline_at, now + patience * (LAST_ATTEMPT_PATIENCE if last else 1.0))
        until = min(until, self.shutdown_at)
        if door.idle_connections:
            door.idle_connections.pop()
        if is_suspected(lane, now):  # the next call there: spread, and rarer the longer it lasts
            lane.next_trial_at = now + 1000 / self.rate_controller.rate_and_burst(now, lane, True)[
                0
            ] * self.rng.uniform(0.7, 1.3)
        self.pending.dequeue(held)
        self.pending.request_scan(held.message.destination)
        held.in_flight_on, held.sent_at, held.attempts = door, now, held.attempts + 1
        door.in_flight += 1
        lane.in_flight[held.message.id] = held
        lane.tokens -= 1
        if lane.time_slots is not None:
            lane.time_slots.mark_used()
        self.in_flight += 1
        acts.append(StartAttempt(held.message.id, door.endpoint.id, until))

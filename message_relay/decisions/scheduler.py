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
from .expiry import CROWDED, LOOKS, Endings
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
    DEVIATIONS,
    FADE_MS,
    LEAST_MS,
    RETRY_MAX_MS,
    RETRY_MS,
    RateController,
    doubt,
    overdue_ms,
    suspect,
)

LAST = 3.0  # the last try a message can have waits so many times longer: a late answer still saves it
QUOTA_S, QUOTA_LEAST = 2.0, 4.0  # a tenant's share saved up: seconds of it, and messages at least
LATE_MS = 500.0  # a connection that takes longer is one that the system had to ask for again
TRUSTED = 0.25  # blame below which an unsafe message may be risked again


def scheduling_weights(settings: Settings) -> list[float]:
    """By class: that of least worth is served worst, and counts more by what the goal gives for that."""
    worths, goal = [cls.priority_weight for cls in settings.classes], settings.goal
    least = min(worths)
    most = min((worth for worth in worths if worth > least), default=least)
    more = sum(worths) * goal.worst_class / max(goal.whole + goal.worst_window, 0.01)  # as many of each class
    return [min(most, worth + more) if worth == least else worth for worth in worths]


class SendWindow(NamedTuple):
    """From when on a lane takes calls."""

    room_at: float
    overdraw_at: float  # of those in a hurry: the pace is a guess, overdrawn for a client that won't wait
    unsafe_at: float  # not earlier, if an unclear outcome would be final
    cost: float  # slot time for one delivery, failed calls counted


class DeliveryScheduler:
    """Decides for one relay: feed it events with `handle`, carry out the actions that it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.rng, self.board, self.index = random.Random(seed), PendingMessages(), PriorityIndex(settings)
        self.paces = RateController(settings, self.rng)
        self.members = EndpointRegistry(self.paces, self.board)
        self.endings = Endings(self.members, self.index)
        self.lanes, self.doors = self.members.lanes, self.members.doors
        self.learned = self.members.learned
        self.shares = [(FOREVER, 0.0)] * len(settings.tenants)  # full from the first look at it
        self.counted = scheduling_weights(settings)
        self.busy = 0
        self.timer_at = 0.0
        self.closing_at = float("inf")  # a planned restart: no call may still be out then

    def handle(self, now_ms: float, events: list[Event]) -> list[Action]:
        acts: list[Action] = []
        for event in events:
            match event:
                case Message():
                    self._accept(now_ms, event)
                case AttemptCompleted():
                    self._ended(now_ms, event)
                case EndpointList():
                    self.members.listed(now_ms, event)
                case RestoredDestination():
                    self.members.recall(now_ms, event)
                case MessageCancelled():
                    self._withdraw(event.id)
                case TimerFired():
                    self.timer_at = 0.0
                case ShutdownScheduled():
                    self.closing_at = event.at_ms
                    self.board.due.update(dict.fromkeys(self.board.queues, True))
                case Fleet():
                    self.members.resized(event)
        if self.members.asks(now_ms):
            acts.append(WatchEndpoints())
        self.endings.close_late(now_ms, acts)
        self._dispatch(now_ms, acts)
        self.endings.make_room(acts, now_ms)
        wake = max(self._next_at(now_ms), now_ms + self.s.tick_ms)
        if wake < FOREVER and (self.timer_at <= now_ms or wake < self.timer_at):
            self.timer_at = wake
            acts.append(SetTimer(self.timer_at - now_ms, 0))
        return acts

    @property
    def s(self) -> Settings:
        return self.paces.s  # the number of instances may change

    def _next_at(self, now: float) -> float:
        """When there is something to do that no event will tell."""
        free = self.busy < self.s.max_concurrent_attempts  # else the outcome that frees a slot comes first
        if self.endings.crowded or free and self.board.due:
            return now
        wakes = [self.members.ask_at, *(end[0] for end in self.endings.ends[:1])]
        return min(wakes + ([self.board.next_at()] if free else []))

    def rejection_delay_ms(self, now: float, msg: Message, holding: int) -> float | None:
        """Asked before a message is taken on, while so many are held: in how many ms it is to come instead,
        where making room would lose more than it wins: what was taken on has waited, and is promised."""
        if holding < int(CROWDED * self.s.max_pending_messages):
            return None
        new, least = self._held(now, msg, self._quota(now, msg)), self.endings.least(now)
        won = new.worth_at(self.endings.drained(now, msg.destination, 1), self.s.decay)
        return None if least is not None and won > least[0] else self.endings.advice(now, msg.destination)

    def _held(self, now: float, msg: Message, left: float) -> PendingMessage:
        cls = self.s.classes[msg.class_]
        # An unmarked first try is new however little time it has left: some clients are just in a hurry.
        old = msg.again or msg.from_dead_relay or not self.s.marks_repeats
        since = now + msg.left_ms - cls.deadline_ms if old else now - (msg.age_ms or 0.0)
        worth = self.counted[msg.class_] * (1.0 if left >= 1 else self.s.over_quota_weight)
        return PendingMessage(msg, cls, since, now + msg.left_ms, worth, now, msg.tries)

    def _quota(self, now: float, msg: Message) -> float:
        """How many messages its tenant may still hand in within its share."""
        if msg.tenant >= len(self.shares) or msg.age_ms is not None:  # resumed ones would seem a surge
            return FOREVER
        left, at = self.shares[msg.tenant]
        quota = self.s.tenants[msg.tenant].quota_per_s / self.s.relays
        return min(max(QUOTA_LEAST, QUOTA_S * quota), left + quota * (now - at) / 1000)

    def _accept(self, now: float, msg: Message) -> None:
        held = self._held(now, msg, left := self._quota(now, msg))
        held.first_risk, held.risk = None if msg.risk_age_ms is None else now - msg.risk_age_ms, msg.risk
        if self.paces.many and msg.age_ms is not None:  # most of a fleet may start in one moment
            for lane in self.lanes.get(msg.destination, {}).values():
                lane.credit = min(lane.credit, self.rng.random())
        if left < FOREVER:
            self.shares[msg.tenant] = left - (left >= 1), now
        self.board.add(held)
        self._wait(now, held)

    def _wait(self, now: float, held: PendingMessage) -> None:
        """Puts a message into its queue, until a send or its last moment, whichever comes first."""
        self.endings.expect(now, held)
        left = held.msg.age_ms is not None and not held.tries  # by an earlier process: it has its try
        held.refusable, held.bound = can_reject_safely(held) and not left, retry_affinity(held)
        self.board.queue(held, now)

    def _may_send(self, now: float, held: PendingMessage, door: EndpointState) -> bool:
        """The one gate of every send: attempts, drain, told wait, time, order, effect and key window."""
        lane, entry = door.lane, door.entry
        free = held.out is None and entry.id in self.doors and now < retry_deadline(self.s, held)
        due = max(lane.wait_until, self.board.turn(held)) <= now < held.due - lane.mean / 4
        return (
            free and due and now + overdue_ms(lane) <= self.closing_at and allows_endpoint(held.bound, entry)
        )

    def may_write(self, now: float, ident: int) -> bool:
        """Asked right before a call's first byte: connecting took time, in which its endpoint may have
        drained, its destination told us to wait, or the message's time or key window run out. Connections
        that were asked for in an outage come up together at its end: a call on one is paced anew, once."""
        held = self.board.held.get(ident)
        if held is None or held.out is None or held.withdrawn:
            return False
        door, until = held.out, min(held.due, idempotency_window_end(self.s, held), self.closing_at)
        late = now - held.out_since > LATE_MS and (door.lane.sick or door.lane.cold_since > held.out_since)
        if late and not held.late:
            held.late = True
            return False
        return self.doors.get(door.entry.id) is door and door.lane.wait_until <= now < until

    def _withdraw(self, ident: int) -> None:
        if held := self.board.held.get(ident):
            held.withdrawn = True  # one that is out waits for its outcome
            if held.out is None:
                self.board.remove(held)

    def _ended(self, now: float, event: AttemptCompleted) -> None:
        held = self.board.held.get(event.id)
        if held is None or held.out is None:
            return
        door, held.out = held.out, None
        held.tries -= event.withheld
        self.busy -= 1
        door.out -= 1
        door.lane.out.pop(event.id, None)
        self.board.look(held.msg.destination)
        if not event.outcome.proves_no_effect and held.first_risk is None:
            held.first_risk, held.risk = held.out_since, door.entry
        if event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED) and held.key:
            self.board.rest(held.key, now, now + self.s.safety.key_rest_ms + self.s.tick_ms)
        door.warm = [*door.warm, now] if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL) else []
        # Both layers pause before the next try: growing and jittered after any told wait.
        pause = min(RETRY_MAX_MS, RETRY_MS * 2 ** (held.tries - 1)) * self.rng.uniform(0.7, 1.3)
        held.ready = now + pause
        if event.outcome is Outcome.OK:
            self.paces.answered(now, door, held, event.latency_ms, held.msg.destination in self.board.queues)
        elif event.outcome not in (Outcome.NOT_SENT, Outcome.CANCELLED):
            self.paces.failed(now, door, held, event)
        if self.s.limit_report and len(event.report) > max(self.s.limit_report):
            self.paces.reported(door.lane, *(event.report[n] for n in self.s.limit_report))
        if event.finished or held.withdrawn:
            self.board.remove(held)
        else:
            self._wait(now, held)

    def _door(self, now: float, held: PendingMessage, lane: DestinationState) -> EndpointState | None:
        """The endpoint to use: not doubted, little busy, with a warm connection, cheap."""

        def rank(door: EndpointState) -> tuple[float, float, int]:
            zone = door.entry.zone
            fee = self.s.route_fees[zone] if zone < len(self.s.route_fees) else 0.0
            fee += self.s.cross_zone_price * (zone != self.s.zone)
            door.warm = [at for at in door.warm if now - at < self.s.idle_ms * 0.9]
            load = door.out + doubt(door, now, held.msg.class_) + 0.9 * (not door.warm) + 1.5 * (fee > 0)
            return load, fee, door.entry.id

        able = [door for door in lane.doors.values() if self._may_send(now, held, door)]
        return min(able, key=rank) if able else None

    def _dispatch(self, now: float, acts: list[Action]) -> None:
        """Sends what has most worth per slot time while there are slots; reads only queues that are due."""
        if self.busy >= self.s.max_concurrent_attempts:
            return
        self.board.wake(now)
        looks = 0
        while self.busy < self.s.max_concurrent_attempts:
            while self.board.due and looks < LOOKS:
                self._look(now, *self.board.due.popitem(last=False))
                looks += 1
            entry = self.index.best(now)
            if entry is None:
                return
            _, _, held, lane, queue, _ = entry
            if queue.seen != now and not self._still(now, held, lane):
                self.board.look(queue.dest)
            elif (door := self._door(now, held, lane)) is not None:
                self._send(now, held, door, acts)

    def _still(self, now: float, held: PendingMessage, lane: DestinationState) -> bool:
        """Whether it may go now: since the look at its queue its calls may have become overdue."""
        gate = self._gate(now, lane)
        return gate is not None and self._opens(gate, lane, held) <= now

    @staticmethod
    def _opens(gate: SendWindow, lane: DestinationState, held: PendingMessage) -> float:
        hurried = held.course is not None and held.course.hurried
        at = max(lane.wait_until, gate.overdraw_at if hurried else gate.room_at)
        return max(at, gate.unsafe_at) if held.cls.effect is Effect.UNSAFE else at

    def _gate(self, now: float, lane: DestinationState) -> SendWindow | None:
        """What this lane takes, and from when on; nothing until its next outcome or company."""
        out = suspect(lane, now)
        cap = max(1, self.s.max_concurrent_attempts // (4 if out else 2))
        if not lane.doors or len(lane.out) >= cap and (out or len(self.board.queues) > 1):
            return None
        if now + overdue_ms(lane) > self.closing_at:
            return None
        # Slot time for one delivery, failed calls counted: scarce slots go to destinations that answer.
        cost = lane.mean + lane.blame * (lane.mean + DEVIATIONS * lane.dev) / (1 - lane.blame)
        barred = (out or lane.blame > TRUSTED) and not lane.ran_nothing
        unsafe_at = lane.failed_at + FADE_MS if barred else NEVER  # an unclear outcome would be final
        return SendWindow(*self.paces.room_at(now, lane, out), unsafe_at, cost)

    def _look(self, now: float, dest: int, whole: bool) -> None:
        """Enters what a queue could send now, or what is new of it, and sets when to look at it again."""
        queue = self.board.queues.get(dest)
        if queue is None:
            return
        fresh, queue.fresh = [held for held in queue.fresh if held.course is not None], []
        courses = {course.key: course for course in (held.course for held in fresh) if course is not None}
        if whole:
            queue.stamp, queue.seen, courses = queue.stamp + 1, now, queue.courses
        again = FOREVER
        for lane in self.lanes.get(dest, {}).values():
            gate = self._gate(now, lane)
            if gate is None:
                continue
            for course in courses.values():
                here = (allows_endpoint(course.bound, door.entry) for door in lane.doors.values())
                if not course.ready or not any(here):
                    continue
                at = self._opens(gate, lane, course.ready[0][2])
                if at <= now:
                    new: list[PendingMessage | None] = [held for held in fresh if held.course is course]
                    for held in [None] if whole else new:
                        at = self.index.enter(now, course, lane, gate.cost, held)
                elif at > lane.wait_until:  # by a pace, which may change with time
                    at = min(at, self.paces.paced_until(now, lane))
                again = min(again, at)
        again = max(again, now + self.s.tick_ms)
        if whole or again < queue.look_at or queue.look_at <= now:
            self.board.look_later(queue, again)

    def _send(self, now: float, held: PendingMessage, door: EndpointState, acts: list[Action]) -> None:
        lane, until = door.lane, held.due
        patience = max(2 * LEAST_MS, (lane.mean + DEVIATIONS * lane.dev) * lane.stretch)
        last = held.tries + 1 >= self.s.max_attempts or held.cls.effect is Effect.UNSAFE
        if held.cls.effect is Effect.KEYED:
            risk = held.first_risk if held.first_risk is not None else now
            last = last or now + patience + RETRY_MS * 2**held.tries > risk + held.cls.key_window_ms
        if last or now + 2 * patience < held.due:
            until = min(held.due, now + patience * (LAST if last else 1.0))
        until = min(until, self.closing_at)
        if door.warm:
            door.warm.pop()
        if suspect(lane, now):  # the next call there: spread, and rarer the longer it lasts
            lane.next_trickle = now + 1000 / self.paces.pace(now, lane, True)[0] * self.rng.uniform(0.7, 1.3)
        self.board.unqueue(held)
        self.board.look(held.msg.destination)
        held.out, held.out_since, held.tries = door, now, held.tries + 1
        door.out += 1
        lane.out[held.msg.id] = held
        lane.credit -= 1
        if lane.share is not None:
            lane.share.sent()
        self.busy += 1
        acts.append(StartAttempt(held.msg.id, door.entry.id, until))

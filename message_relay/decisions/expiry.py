"""Ends messages that are not delivered: too late to try, or worth least where room runs out."""

from __future__ import annotations

import heapq

from .actions import Action, Fail, Reject
from .endpoint_registry import EndpointRegistry
from .idempotency import can_reject_safely, retry_deadline
from .pending import DestinationQueue, PendingMessage
from .priority_index import PriorityIndex
from .rate_control import is_suspected

DEADLINE_MARGIN_MS = 20.0  # messages are closed so long before their time is up
CLOSE_COST_MS, CLOSE_COST_MAX_MS = (
    0.05,
    1000.0,
)  # and earlier by what ending all that is held takes, each so long
SHEDDING_THRESHOLD = 0.85  # share of the hold from which the least worth is refused to make room
MAX_SCANS = 128  # queues looked at in one turn: the others come in the next, so that no turn is long
MAX_SHED, MAX_CLOSED = 64, 128  # messages refused to make room, and closed, in one turn: for the same reason
EARLY_PART, EARLY_PENALTY = (
    0.7,
    1.5,
)  # what was taken on and is ended sooner in its life loses so much of its worth more
KNOWN_LOWEST, ROTATING = (
    8,
    2,
)  # queues compared for each: those known as poorest, and some in turn, as worth falls


class ExpiryAndShedding:
    def __init__(self, members: EndpointRegistry, index: PriorityIndex) -> None:
        self.registry, self.rate_controller, self.pending = members, members.rate_controller, members.pending
        self.settings, self.index = members.rate_controller.settings, index
        self.deadline_heap: list[tuple[float, int]] = []  # heap: when a message can no longer be delivered
        self.lowest_value_heap: list[
            tuple[float, float, int]
        ] = []  # heap: queues by what is worth least in them
        self.is_overloaded = False  # more than one turn may refuse
        self.unknown_rate = 0.01  # calls a second, nearly none, at a destination without any endpoint

    def schedule(self, now: float, held: PendingMessage) -> None:
        """Sets when a message is closed that has not been delivered by then."""
        early = DEADLINE_MARGIN_MS + min(CLOSE_COST_MAX_MS, CLOSE_COST_MS * len(self.pending.by_id))
        close = min(retry_deadline(self.settings, held), held.deadline_at - early - 2 * self.settings.tick_ms)
        heapq.heappush(self.deadline_heap, (close, held.message.id))
        if len(self.deadline_heap) > 64 + 4 * len(self.pending.by_id):  # most are of messages that have ended
            self.deadline_heap = [end for end in self.deadline_heap if end[1] in self.pending.by_id]
            heapq.heapify(self.deadline_heap)

    def terminate(self, now: float, held: PendingMessage, acts: list[Action]) -> None:
        ident, dest = held.message.id, held.message.destination
        acts.append(Reject(ident, self.retry_after_ms(now, dest)) if can_reject_safely(held) else Fail(ident))
        self.pending.remove(held)

    def drained_at(self, now: float, dest: int, more: int = 0) -> float:
        """When what waits there now, and so many more, will have gone."""
        return now + 1000 * (len(self.pending.queues.get(dest, ())) + more) / self.expected_rate(now, dest)

    def retry_after_ms(self, now: float, dest: int) -> float:
        """When to come again: after the told wait, and once what waits there now has gone."""
        told = max(
            (lane.retry_after_until - now for lane in self.registry.destinations.get(dest, {}).values()),
            default=0.0,
        )
        return min(self.settings.longest_advice_ms, max(told, self.drained_at(now, dest) - now))

    def expire(self, now: float, acts: list[Action]) -> None:
        """The deadline timer: ends what can no longer be delivered in time."""
        closed = 0
        while self.deadline_heap and self.deadline_heap[0][0] <= now and closed < MAX_CLOSED:
            held = self.pending.by_id.get(heapq.heappop(self.deadline_heap)[1])
            if held and held.in_flight_on is None:
                self.terminate(now, held, acts)
                closed += 1

    def shed_load(self, acts: list[Action], now: float) -> None:
        """Before the hold fills (a full one turns newcomers away), refuses what will be worth least when
        its queue has drained, so that a destination that is out or slow pays for itself."""
        excess = len(self.pending.by_id) - int(SHEDDING_THRESHOLD * self.settings.max_pending_messages)
        self.is_overloaded = excess > MAX_SHED
        for _ in range(min(MAX_SHED, excess)):
            if (least := self.lowest_value(now)) is None:
                self.is_overloaded = False
                return
            self.terminate(now, least[2], acts)

    def lowest_value(self, now: float) -> tuple[float, float, PendingMessage] | None:
        """Compares the queues that changed, those known as poorest, and some in turn, as worth falls."""
        queues, unsure = self.pending.queues, self.pending.lowest_value_stale
        some = dict.fromkeys([unsure.popitem(last=False)[0] for _ in range(min(MAX_SCANS, len(unsure)))])
        while self.lowest_value_heap and len(some) < KNOWN_LOWEST:
            a, b, dest = heapq.heappop(self.lowest_value_heap)
            queue = queues.get(dest)
            if queue is not None and queue.lowest_value == (a, b):
                some[dest] = None
        for _ in range(min(ROTATING + KNOWN_LOWEST, len(queues)) - len(some)):
            queues.move_to_end(next(iter(queues)))
            some[next(reversed(queues))] = None
        found = list[tuple[float, float, PendingMessage]]()
        for dest in some:
            poorest = self.lowest_value_in(now, queues[dest])
            queues[dest].lowest_value = poorest and poorest[:2]
            if poorest is not None:
                heapq.heappush(self.lowest_value_heap, (*poorest[:2], dest))
                found.append(poorest)
        if len(self.lowest_value_heap) > 64 + 4 * len(queues):
            self.lowest_value_heap = [
                (*q.lowest_value, q.destination_id) for q in queues.values() if q.lowest_value
            ]
            heapq.heapify(self.lowest_value_heap)
        return min(found, key=lambda each: each[:2]) if found else None

    def lowest_value_in(
        self, now: float, queue: DestinationQueue
    ) -> tuple[float, float, PendingMessage] | None:
        """What ending it now loses, its worth now, and the message for which both are least."""
        drained, found = (
            self.drained_at(now, queue.destination_id),
            list[tuple[float, float, PendingMessage]](),
        )
        for course in queue.buckets.values():
            for held in course.oldest() if course.can_be_shed else ():
                lost = (
                    EARLY_PENALTY * held.priority_weight
                    if now < held.submitted_at + EARLY_PART * (held.deadline_at - held.submitted_at)
                    else 0.0
                )
                lost += held.value_at(drained, self.settings.decay)
                found.append((lost, held.value_at(now, self.settings.decay), held))
        self.index.examined_count += len(found)
        return min(found, key=lambda each: each[:2]) if found else None

    def expected_rate(self, now: float, dest: int) -> float:
        """Calls a second that this relay may expect to place at a destination."""
        lanes = self.registry.destinations.get(dest, {}).values()
        return (
            sum(self.rate_controller.rate_and_burst(now, lane, is_suspected(lane, now))[0] for lane in lanes)
            or self.unknown_rate
        )

"""Ends messages that are not delivered: too late to try, or worth least where room runs out."""

from __future__ import annotations

import heapq

from .actions import Action, Fail, Reject
from .endpoint_registry import EndpointRegistry
from .idempotency import can_reject_safely, retry_deadline
from .pending import DestinationQueue, PendingMessage
from .priority_index import PriorityIndex
from .rate_control import suspect

MARGIN_MS = 20.0  # messages are closed so long before their time is up
ENDING_MS, ENDING_MAX_MS = 0.05, 1000.0  # and earlier by what ending all that is held takes, each so long
CROWDED = 0.85  # share of the hold from which the least worth is refused to make room
LOOKS = 128  # queues looked at in one turn: the others come in the next, so that no turn is long
REFUSALS, CLOSES = 64, 128  # messages refused to make room, and closed, in one turn: for the same reason
EARLY, BROKEN = 0.7, 1.5  # what was taken on and is ended sooner in its life loses so much of its worth more
POOR, ROLLING = 8, 2  # queues compared for each: those known as poorest, and some in turn, as worth falls


class Endings:
    def __init__(self, members: EndpointRegistry, index: PriorityIndex) -> None:
        self.members, self.paces, self.board = members, members.paces, members.board
        self.s, self.index = members.paces.s, index
        self.ends: list[tuple[float, int]] = []  # heap: when a message can no longer be delivered
        self.poor: list[tuple[float, float, int]] = []  # heap: queues by what is worth least in them
        self.crowded = False  # more than one turn may refuse
        self.unknown = 0.01  # calls a second, nearly none, at a destination without any endpoint

    def expect(self, now: float, held: PendingMessage) -> None:
        """Sets when a message is closed that has not been delivered by then."""
        early = MARGIN_MS + min(ENDING_MAX_MS, ENDING_MS * len(self.board.held))
        close = min(retry_deadline(self.s, held), held.due - early - 2 * self.s.tick_ms)
        heapq.heappush(self.ends, (close, held.msg.id))
        if len(self.ends) > 64 + 4 * len(self.board.held):  # most are of messages that have ended
            self.ends = [end for end in self.ends if end[1] in self.board.held]
            heapq.heapify(self.ends)

    def end(self, now: float, held: PendingMessage, acts: list[Action]) -> None:
        ident, dest = held.msg.id, held.msg.destination
        acts.append(Reject(ident, self.advice(now, dest)) if can_reject_safely(held) else Fail(ident))
        self.board.remove(held)

    def drained(self, now: float, dest: int, more: int = 0) -> float:
        """When what waits there now, and so many more, will have gone."""
        return now + 1000 * (len(self.board.queues.get(dest, ())) + more) / self.speed(now, dest)

    def advice(self, now: float, dest: int) -> float:
        """When to come again: after the told wait, and once what waits there now has gone."""
        told = max((lane.wait_until - now for lane in self.members.lanes.get(dest, {}).values()), default=0.0)
        return min(self.s.longest_advice_ms, max(told, self.drained(now, dest) - now))

    def close_late(self, now: float, acts: list[Action]) -> None:
        """The deadline timer: ends what can no longer be delivered in time."""
        closed = 0
        while self.ends and self.ends[0][0] <= now and closed < CLOSES:
            held = self.board.held.get(heapq.heappop(self.ends)[1])
            if held and held.out is None:
                self.end(now, held, acts)
                closed += 1

    def make_room(self, acts: list[Action], now: float) -> None:
        """Before the hold fills (a full one turns newcomers away), refuses what will be worth least when
        its queue has drained, so that a destination that is out or slow pays for itself."""
        excess = len(self.board.held) - int(CROWDED * self.s.max_pending_messages)
        self.crowded = excess > REFUSALS
        for _ in range(min(REFUSALS, excess)):
            if (least := self.least(now)) is None:
                self.crowded = False
                return
            self.end(now, least[2], acts)

    def least(self, now: float) -> tuple[float, float, PendingMessage] | None:
        """Compares the queues that changed, those known as poorest, and some in turn, as worth falls."""
        queues, unsure = self.board.queues, self.board.unsure
        some = dict.fromkeys([unsure.popitem(last=False)[0] for _ in range(min(LOOKS, len(unsure)))])
        while self.poor and len(some) < POOR:
            a, b, dest = heapq.heappop(self.poor)
            queue = queues.get(dest)
            if queue is not None and queue.poorest == (a, b):
                some[dest] = None
        for _ in range(min(ROLLING + POOR, len(queues)) - len(some)):
            queues.move_to_end(next(iter(queues)))
            some[next(reversed(queues))] = None
        found = list[tuple[float, float, PendingMessage]]()
        for dest in some:
            poorest = self.poorest(now, queues[dest])
            queues[dest].poorest = poorest and poorest[:2]
            if poorest is not None:
                heapq.heappush(self.poor, (*poorest[:2], dest))
                found.append(poorest)
        if len(self.poor) > 64 + 4 * len(queues):
            self.poor = [(*q.poorest, q.dest) for q in queues.values() if q.poorest]
            heapq.heapify(self.poor)
        return min(found, key=lambda each: each[:2]) if found else None

    def poorest(self, now: float, queue: DestinationQueue) -> tuple[float, float, PendingMessage] | None:
        """What ending it now loses, its worth now, and the message for which both are least."""
        drained, found = self.drained(now, queue.dest), list[tuple[float, float, PendingMessage]]()
        for course in queue.courses.values():
            for held in course.oldest() if course.refusable else ():
                lost = BROKEN * held.worth if now < held.since + EARLY * (held.due - held.since) else 0.0
                lost += held.worth_at(drained, self.s.decay)
                found.append((lost, held.worth_at(now, self.s.decay), held))
        self.index.steps += len(found)
        return min(found, key=lambda each: each[:2]) if found else None

    def speed(self, now: float, dest: int) -> float:
        """Calls a second that this relay may expect to place at a destination."""
        lanes = self.members.lanes.get(dest, {}).values()
        return sum(self.paces.pace(now, lane, suspect(lane, now))[0] for lane in lanes) or self.unknown

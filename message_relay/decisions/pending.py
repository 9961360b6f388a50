"""What a relay remembers, and the order in which it finds it again. What waits for one destination lies in a
`Queue`, and in it, as a `Course`, what is of one class and time to live: by age, and so by worth.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left, insort
from collections import OrderedDict
from dataclasses import dataclass, field

from .events import Message
from .model import FOREVER, NEVER, Decay, Endpoint, MessageClass
from .rate_slots import TimeSlotShare

MAX_BUCKETS = 32  # different courses at a destination, above which times to live are taken in steps
FULL_SCAN_SIZE = 4  # a course of so many is entered whole: nothing has to be looked at anew as it ages
TIME_TO_LIVE_STEPS = 16  # and so many of them: a look at a queue looks at each course of it


@dataclass(slots=True, eq=False)
class PendingMessage:
    """One message, from its arrival until it has ended and nothing is out for it."""

    message: Message
    message_class: MessageClass
    submitted_at: float  # when it was first handed in
    deadline_at: float
    priority_weight: float
    backoff_until: float  # no try before
    attempts: int = 0
    in_flight_on: EndpointState | None = None
    sent_at: float = 0.0
    first_uncertain_at: float | None = None  # send of the first attempt that may have run
    uncertain_endpoint: Endpoint | None = None
    is_cancelled: bool = False
    was_deferred: bool = False  # it was held back since its connection had come late, and goes on the next
    can_be_shed: bool = True  # it may make room: a refusal would be true, and it was not left untried
    retry_affinity: RetryAffinity | None = None
    bucket: PriorityBucket | None = None  # where it waits
    parked_until: float = NEVER  # until when it waits there unready

    @property
    def ordering_key(self) -> int:
        """The key whose order it keeps; 0 = none."""
        return self.message.key if self.message_class.in_order else 0

    def value_at(self, at: float, decay: Decay) -> float:
        return (
            self.priority_weight * remaining_value(self.message_class, decay, at - self.submitted_at)
            if at < self.deadline_at
            else 0.0
        )


RetryAffinity = tuple[
    bool, int
]  # the only endpoints it may still go to: (True, a zone) or (False, an endpoint's id)


def remaining_value(cls: MessageClass, decay: Decay, age: float) -> float:
    """Share of its worth that a message of this age still has, until it is due."""
    late = age - cls.latency_objective_ms
    if late <= 0:
        return 1.0
    if decay is Decay.HALVES:
        return max(cls.late_share, float(0.5 ** (late / cls.latency_objective_ms)))
    return 1 - (1 - cls.late_share) * late / max(cls.deadline_ms - cls.latency_objective_ms, 1e-9)


@dataclass(slots=True)
class EndpointState:
    """One endpoint as this relay sees it."""

    endpoint: Endpoint
    destination: DestinationState
    in_flight: int = 0
    failures_by_class: dict[int, float] = field(
        default_factory=dict
    )  # class -> latest failure, if none answered since
    idle_connections: list[float] = field(default_factory=list)  # when each idle connection was last used


@dataclass(slots=True, eq=False)
class DestinationState:
    """One destination (or route apart): pace, health, latency."""

    latency_mean_ms: float
    latency_deviation_ms: float
    fleet_rate: float  # calls a second of all relays together
    send_rate: float
    tokens: float
    tokens_updated_at: float
    endpoints: dict[int, EndpointState] = field(default_factory=dict)
    in_flight: dict[int, PendingMessage] = field(default_factory=dict)  # in the order in which they were sent
    response_count: int = 0
    last_success_at: float = NEVER
    timeout_multiplier: float = 1.0  # of the time-out
    throttle_ms: float = 0.0  # how long the latest refusal paces it
    throttled_until: float = NEVER  # a refusal paces it until then
    retry_after_until: float = NEVER
    failure_score: float = 0.0
    is_ejected: bool = False
    last_failure_at: float = NEVER
    last_failure_had_no_effect: bool = False  # the latest failure proved no effect
    failing_since: float | None = None  # send of the first call that failed since the last answer
    without_endpoints_since: float = NEVER  # without endpoints
    warming_since: float = NEVER
    estimated_senders: float = 1.0  # relays that may know of the latest outage
    next_trial_at: float = 0.0
    has_listed_rate: bool = True  # `total` is what the list says; else the highest pace that nobody refused
    time_slots: TimeSlotShare | None = None  # of an agreed rate, where instances keep it together


QueueEntry = tuple[float, int, PendingMessage]  # since, id: in this order
BucketKey = tuple[int, float, float, bool, bool, RetryAffinity | None]


class PriorityBucket:
    """Messages of one destination whose worth is the same function of their age, oldest first."""

    __slots__ = (
        "retry_affinity",
        "class_index",
        "message_class",
        "is_urgent",
        "key",
        "time_to_live_ms",
        "parked",
        "queue",
        "ready",
        "can_be_shed",
        "priority_weight",
    )

    def __init__(self, queue: DestinationQueue, held: PendingMessage, key: BucketKey) -> None:
        self.queue, self.key, self.message_class, self.class_index = (
            queue,
            key,
            held.message_class,
            held.message.class_,
        )
        (
            _,
            self.priority_weight,
            self.time_to_live_ms,
            self.can_be_shed,
            self.is_urgent,
            self.retry_affinity,
        ) = key
        self.ready: list[QueueEntry] = []
        self.parked: list[QueueEntry] = []  # not before a pause is over, or another of its key has ended

    def oldest(self) -> list[PendingMessage]:
        """Of the ready and of the others: nothing else here is worth less, now or later."""
        return [place[0][2] for place in (self.ready, self.parked) if place]


@dataclass(slots=True, eq=False)
class DestinationQueue:
    """What waits for one destination."""

    destination_id: int
    buckets: dict[BucketKey, PriorityBucket] = field(default_factory=dict)
    arrivals: list[PendingMessage] = field(default_factory=list)  # came since the latest look, and may go
    length: int = 0
    next_scan_at: float = NEVER  # when its next look is set for
    scanned_at: float = NEVER  # its latest look
    scan_generation: int = 0  # what was found at an earlier look has another
    lowest_value: tuple[float, float] | None = None  # see Endings.make_room

    def __len__(self) -> int:
        return self.length


class PendingMessages:
    """The messages held: by id, those that wait by destination, and those in order by key."""

    def __init__(self) -> None:
        self.by_id: dict[int, PendingMessage] = {}
        self.queues: OrderedDict[int, DestinationQueue] = OrderedDict()
        self.key_order: dict[int, OrderedDict[int, None]] = {}
        self.key_paused_until: dict[int, float] = {}  # in-order key -> end of its rest
        self.key_pause_heap: list[tuple[float, int]] = []  # heap over it
        self.parked_heap: list[tuple[float, int]] = []  # heap: when a parked message may go
        self.scan_heap: list[tuple[float, int]] = []  # heap: when a queue is looked at again
        self.scans_due: OrderedDict[int, bool] = (
            OrderedDict()
        )  # destinations to look at now, and whether wholly
        self.lowest_value_stale: OrderedDict[int, None] = (
            OrderedDict()
        )  # those whose poorest message may be another now
        self.snapshot_candidates: dict[
            int, None
        ] = {}  # destinations of which there may be something to remember

    def add(self, held: PendingMessage) -> None:
        self.by_id[held.message.id] = held
        if held.ordering_key:
            line = self.key_order.setdefault(held.ordering_key, OrderedDict())
            line[held.message.id] = None
            if len(line) == 2:
                self._requeue_first(line)  # its first is followed from now on

    def remove(self, held: PendingMessage) -> None:
        del self.by_id[held.message.id]
        self.dequeue(held)
        if not held.ordering_key:
            return
        line = self.key_order[held.ordering_key]
        del line[held.message.id]
        if not line:
            del self.key_order[held.ordering_key]
            return
        first = self.by_id[next(iter(line))]
        if first.bucket is not None and first.parked_until == FOREVER:
            self._park_until(first, self.sendable_at(first))
        if len(line) == 1:
            self._requeue_first(line)

    def has_successors(self, held: PendingMessage) -> bool:
        return bool(held.ordering_key) and len(self.key_order[held.ordering_key]) > 1

    def sendable_at(self, held: PendingMessage) -> float:
        """When a message may go by the order of its key: the first of its key after the key's rest."""
        if held.ordering_key and next(iter(self.key_order[held.ordering_key])) != held.message.id:
            return FOREVER
        return max(held.backoff_until, self.key_paused_until.get(held.ordering_key, NEVER))

    def pause_key(self, key: int, now: float, until: float) -> None:
        """Nothing of this key goes before; what has rested is forgotten."""
        self.key_paused_until[key] = until
        heapq.heappush(self.key_pause_heap, (until, key))
        while self.key_pause_heap and self.key_pause_heap[0][0] <= now:
            at, old = heapq.heappop(self.key_pause_heap)
            if self.key_paused_until.get(old) == at:
                del self.key_paused_until[old]

    def enqueue(self, held: PendingMessage, now: float) -> None:
        dest = held.message.destination
        queue = self.queues.get(dest)
        if queue is None:
            queue = self.queues[dest] = DestinationQueue(dest)
            if len(self.queues) == 2:
                self.request_scan(
                    next(iter(self.queues))
                )  # it has company now, which narrows its part of the slots
        queue.length += 1
        course = self._bucket_for(queue, held)
        held.bucket, held.parked_until = course, NEVER
        at = self.sendable_at(held)
        self.lowest_value_stale[dest] = None
        if at > now:
            insort(course.parked, (held.submitted_at, held.message.id, held))
            self._park_until(held, at)
            return
        insort(course.ready, (held.submitted_at, held.message.id, held))
        queue.arrivals.append(held)
        # What was found there stands: the newcomer is added, unless others stand for all of the course.
        self.scans_due[dest] = self.scans_due.get(dest, False) or len(course.ready) > FULL_SCAN_SIZE

    def _bucket_for(self, queue: DestinationQueue, held: PendingMessage) -> PriorityBucket:
        """Guards looks against many different times to live: beyond some they are taken in steps."""
        hurried = (
            held.deadline_at < held.submitted_at + held.message_class.latency_objective_ms
            or self.has_successors(held)
        )
        life = float(round(held.deadline_at - held.submitted_at))
        if life != held.message_class.deadline_ms and len(queue.buckets) >= MAX_BUCKETS:
            step = held.message_class.deadline_ms / TIME_TO_LIVE_STEPS
            life = max(1.0, min(TIME_TO_LIVE_STEPS, life // step)) * step
        key = (
            held.message.class_,
            held.priority_weight,
            life,
            held.can_be_shed,
            hurried,
            held.retry_affinity,
        )
        if key not in queue.buckets:
            queue.buckets[key] = PriorityBucket(queue, held, key)
        return queue.buckets[key]

    def dequeue(self, held: PendingMessage) -> None:
        course = held.bucket
        if course is None:
            return
        place = course.ready if held.parked_until == NEVER else course.parked
        del place[bisect_left(place, (held.submitted_at, held.message.id))]
        held.bucket, queue = None, course.queue
        if not course.ready and not course.parked:
            del queue.buckets[course.key]
        queue.length -= 1
        self.lowest_value_stale[queue.destination_id] = None
        if len(place) >= FULL_SCAN_SIZE:
            self.request_scan(queue.destination_id)  # it may have stood for others
        if not queue.length:
            del self.queues[queue.destination_id]
            self.scans_due.pop(queue.destination_id, None)
            self.lowest_value_stale.pop(queue.destination_id, None)
            if len(self.queues) == 1:
                self.request_scan(next(iter(self.queues)))

    def _requeue_first(self, line: OrderedDict[int, None]) -> None:
        """The first of a key is in a hurry while others wait for it."""
        first = self.by_id[next(iter(line))]
        if first.bucket is not None:
            parked = first.parked_until != NEVER
            self.dequeue(first)
            self.enqueue(first, NEVER if parked else FOREVER)

    def _park_until(self, held: PendingMessage, at: float) -> None:
        held.parked_until = at
        if at < FOREVER:
            heapq.heappush(self.parked_heap, (at, held.message.id))

    def advance(self, now: float) -> None:
        """Moves on what was waiting for this moment."""
        while self.parked_heap and self.parked_heap[0][0] <= now:
            at, ident = heapq.heappop(self.parked_heap)
            held = self.by_id.get(ident)
            if held is None or held.bucket is None or held.parked_until != at or at == NEVER:
                continue
            parked = held.bucket.parked
            del parked[bisect_left(parked, (held.submitted_at, ident))]
            insort(held.bucket.ready, (held.submitted_at, ident, held))
            held.parked_until = NEVER
            self.request_scan(held.message.destination)
        while self.scan_heap and self.scan_heap[0][0] <= now:
            at, dest = heapq.heappop(self.scan_heap)
            if not self._is_superseded(at, dest):
                self.scans_due[dest] = True

    def request_scan(self, dest: int) -> None:
        """Something has changed there: it is looked at in this turn, or as soon as there are slots."""
        self.snapshot_candidates[dest] = None
        if dest in self.queues:
            self.scans_due[dest], self.lowest_value_stale[dest] = True, None

    def schedule_scan(self, queue: DestinationQueue, at: float) -> None:
        queue.next_scan_at = at
        if at < FOREVER:
            heapq.heappush(self.scan_heap, (at, queue.destination_id))
            if len(self.scan_heap) > 64 + 4 * len(self.queues):  # most were overtaken by other looks
                self.scan_heap = [
                    (q.next_scan_at, q.destination_id)
                    for q in self.queues.values()
                    if q.next_scan_at < FOREVER
                ]
                heapq.heapify(self.scan_heap)

    def _is_superseded(self, at: float, dest: int) -> bool:
        queue = self.queues.get(dest)
        return queue is None or queue.next_scan_at != at

    def next_wakeup_at(self) -> float:
        """When `wake` next has something to do."""
        while self.scan_heap and self._is_superseded(*self.scan_heap[0]):
            heapq.heappop(self.scan_heap)
        return min(
            self.parked_heap[0][0] if self.parked_heap else FOREVER,
            self.scan_heap[0][0] if self.scan_heap else FOREVER,
        )

"""The pending messages of a relay, and the queues in which they wait.

The messages that wait for one destination are in a `DestinationQueue`, and within it in a `PriorityBucket` of
messages whose value is the same function of their age, so that age alone orders them. A message that may not
be sent yet (because of its backoff, or of an earlier message of its ordering key) is parked in its bucket.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left, insort
from collections import OrderedDict
from dataclasses import dataclass, field

from .destinations import EndpointState
from .events import Message
from .model import FOREVER, NEVER, Decay, Endpoint, MessageClass

MAX_BUCKETS = 32  # buckets of a destination, above which times to live are rounded down to steps
TIME_TO_LIVE_STEPS = 16  # steps in a class's deadline: a scan of a queue examines each of its buckets
FULL_SCAN_SIZE = 4  # a bucket of up to this size is indexed completely: it needs no scan as it ages
MAX_SCANS = 128  # queues scanned or compared in one turn; others follow in the next, so that no turn is long
HEAP_SLACK = 64  # a heap may hold this many superseded entries before it is rebuilt,
HEAP_FACTOR = 4  # plus this multiple of its current entries

RetryAffinity = tuple[bool, int]  # the only endpoints for a retry: (True, zone) or (False, endpoint id)


def remaining_value(message_class: MessageClass, decay: Decay, age: float) -> float:
    """Returns the share of its value that a message of this age has left before its deadline."""
    late_ms = age - message_class.latency_objective_ms
    if late_ms <= 0:
        return 1.0
    if decay is Decay.HALVES:
        halved = float(0.5 ** (late_ms / message_class.latency_objective_ms))
        return max(message_class.late_share, halved)
    span_ms = max(message_class.deadline_ms - message_class.latency_objective_ms, 1e-9)
    return 1 - (1 - message_class.late_share) * late_ms / span_ms


@dataclass(slots=True, eq=False)
class PendingMessage:
    """One message, from its acceptance until it has ended and no attempt for it is in flight."""

    message: Message
    message_class: MessageClass
    submitted_at: float  # time of the first submission
    deadline_at: float
    priority_weight: float
    backoff_until: float  # no attempt starts before this time
    attempts: int = 0
    in_flight_on: EndpointState | None = None
    sent_at: float = 0.0
    holds_slot: bool = False
    is_written: bool = False  # the attempt in flight was allowed to write its first byte
    first_uncertain_at: float | None = None  # send time of the first attempt that may have run
    uncertain_endpoint: Endpoint | None = None  # endpoint of that attempt
    is_cancelled: bool = False
    was_deferred: bool = False  # once, since its connection was established late; not deferred again
    can_be_shed: bool = True  # rejecting it is safe, and it is not resumed without any attempt
    retry_affinity: RetryAffinity | None = None
    bucket: PriorityBucket | None = None  # bucket in which it waits
    parked_until: float = NEVER

    @property
    def ordering_key(self) -> int:
        """The key whose messages are delivered in order; 0 = none."""
        return self.message.key if self.message_class.in_order else 0

    def value_at(self, at: float, decay: Decay) -> float:
        """Returns the value of delivering the message at this time."""
        if at >= self.deadline_at:
            return 0.0
        return self.priority_weight * remaining_value(self.message_class, decay, at - self.submitted_at)


QueueEntry = tuple[float, int, PendingMessage]  # ordered by submission time, then by id
BucketKey = tuple[int, float, float, bool, bool, RetryAffinity | None]


class PriorityBucket:
    """Messages of one destination whose value is the same function of their age, oldest first."""

    __slots__ = (
        "can_be_shed",
        "class_index",
        "is_urgent",
        "key",
        "message_class",
        "parked",
        "priority_weight",
        "queue",
        "ready",
        "retry_affinity",
        "time_to_live_ms",
    )

    def __init__(self, queue: DestinationQueue, first: PendingMessage, key: BucketKey) -> None:
        self.queue = queue
        self.key = key
        self.message_class = first.message_class
        self.class_index = first.message.class_index
        (
            _,
            self.priority_weight,
            self.time_to_live_ms,
            self.can_be_shed,
            self.is_urgent,
            self.retry_affinity,
        ) = key
        self.ready: list[QueueEntry] = []
        self.parked: list[QueueEntry] = []  # wait for a backoff, or for another message of the same key

    def oldest(self) -> list[PendingMessage]:
        """Returns the oldest ready and the oldest parked message: no other has less value, now or later."""
        return [entries[0][2] for entries in (self.ready, self.parked) if entries]


@dataclass(slots=True, eq=False)
class DestinationQueue:
    """The messages that wait for one destination."""

    destination_id: int
    buckets: dict[BucketKey, PriorityBucket] = field(default_factory=dict)
    arrivals: list[PendingMessage] = field(default_factory=list)  # ready messages added since the latest scan
    length: int = 0
    next_scan_at: float = NEVER
    scanned_at: float = NEVER
    scan_generation: int = 0  # index entries of an earlier generation are invalid
    lowest_value: tuple[float, float] | None = None  # see LoadShedder.lowest_value

    def __len__(self) -> int:
        return self.length


class PendingMessages:
    """Holds all pending messages by id, waiting ones by destination, and ordered ones by ordering key."""

    def __init__(self) -> None:
        self.by_id: dict[int, PendingMessage] = {}
        self.queues: OrderedDict[int, DestinationQueue] = OrderedDict()
        self.key_order: dict[int, OrderedDict[int, None]] = {}  # message ids by ordering key
        self.key_paused_until: dict[int, float] = {}
        self.key_pause_heap: list[tuple[float, int]] = []  # (end of a pause, ordering key)
        self.parked_heap: list[tuple[float, int]] = []  # (time when a parked message becomes ready, id)
        self.scan_heap: list[tuple[float, int]] = []  # (time of the next scan of a queue, destination id)
        self.scans_due: OrderedDict[int, bool] = OrderedDict()  # queues to scan now, and whether completely
        self.lowest_value_stale: OrderedDict[int, None] = OrderedDict()  # changed since their `lowest_value`
        self.snapshot_candidates: dict[int, None] = {}  # destinations whose state the next process may need

    def add(self, entry: PendingMessage) -> None:
        """Adds a message, without putting it into a queue."""
        self.by_id[entry.message.id] = entry
        if entry.ordering_key:
            order = self.key_order.setdefault(entry.ordering_key, OrderedDict())
            order[entry.message.id] = None
            if len(order) == 2:
                self._requeue_first(order)  # another message waits for the first from now on

    def remove(self, entry: PendingMessage) -> None:
        """Removes a message that has ended."""
        del self.by_id[entry.message.id]
        self.dequeue(entry)
        if not entry.ordering_key:
            return
        order = self.key_order[entry.ordering_key]
        del order[entry.message.id]
        if not order:
            del self.key_order[entry.ordering_key]
            return
        first = self.by_id[next(iter(order))]
        if first.bucket is not None and first.parked_until == FOREVER:
            self._park_until(first, self.sendable_at(first))
        if len(order) == 1:
            self._requeue_first(order)

    def has_successors(self, entry: PendingMessage) -> bool:
        """Returns whether a message is ordered and others of its key wait for the first one."""
        return bool(entry.ordering_key) and len(self.key_order[entry.ordering_key]) > 1

    def sendable_at(self, entry: PendingMessage) -> float:
        """Returns when a message is past its backoff, and first of its ordering key with no pause left."""
        key = entry.ordering_key
        if key and next(iter(self.key_order[key])) != entry.message.id:
            return FOREVER
        return max(entry.backoff_until, self.key_paused_until.get(key, NEVER))

    def pause_key(self, key: int, now: float, until: float) -> None:
        """Sends no message of this ordering key before `until`; removes pauses that are over."""
        self.key_paused_until[key] = until
        heapq.heappush(self.key_pause_heap, (until, key))
        while self.key_pause_heap and self.key_pause_heap[0][0] <= now:
            paused_until, paused_key = heapq.heappop(self.key_pause_heap)
            if self.key_paused_until.get(paused_key) == paused_until:
                del self.key_paused_until[paused_key]

    def enqueue(self, entry: PendingMessage, now: float) -> None:
        """Puts a message into its destination's queue, ready or parked."""
        destination_id = entry.message.destination
        queue = self.queues.get(destination_id)
        if queue is None:
            queue = self.queues[destination_id] = DestinationQueue(destination_id)
            if len(self.queues) == 2:
                self.request_scan(next(iter(self.queues)))  # the first queue shares the slots from now on
        queue.length += 1
        bucket = self._bucket_for(queue, entry)
        entry.bucket = bucket
        entry.parked_until = NEVER
        ready_at = self.sendable_at(entry)
        self.lowest_value_stale[destination_id] = None
        if ready_at > now:
            insort(bucket.parked, (entry.submitted_at, entry.message.id, entry))
            self._park_until(entry, ready_at)
            return
        insort(bucket.ready, (entry.submitted_at, entry.message.id, entry))
        queue.arrivals.append(entry)
        # The index entries of the latest scan stay valid and only the new message is added, unless the bucket
        # is indexed partially.
        is_complete = self.scans_due.get(destination_id, False) or len(bucket.ready) > FULL_SCAN_SIZE
        self.scans_due[destination_id] = is_complete

    def _bucket_for(self, queue: DestinationQueue, entry: PendingMessage) -> PriorityBucket:
        """Returns the bucket for a message, which is created if needed.

        Guards scans against many different times to live: above `MAX_BUCKETS` buckets, they are rounded down
        to steps.
        """
        message_class = entry.message_class
        is_urgent = (
            entry.deadline_at < entry.submitted_at + message_class.latency_objective_ms
            or self.has_successors(entry)
        )
        time_to_live_ms = float(round(entry.deadline_at - entry.submitted_at))
        if time_to_live_ms != message_class.deadline_ms and len(queue.buckets) >= MAX_BUCKETS:
            step_ms = message_class.deadline_ms / TIME_TO_LIVE_STEPS
            time_to_live_ms = max(1.0, min(TIME_TO_LIVE_STEPS, time_to_live_ms // step_ms)) * step_ms
        key = (
            entry.message.class_index,
            entry.priority_weight,
            time_to_live_ms,
            entry.can_be_shed,
            is_urgent,
            entry.retry_affinity,
        )
        if key not in queue.buckets:
            queue.buckets[key] = PriorityBucket(queue, entry, key)
        return queue.buckets[key]

    def dequeue(self, entry: PendingMessage) -> None:
        """Removes a message from its queue, if it waits in one."""
        bucket = entry.bucket
        if bucket is None:
            return
        entries = bucket.ready if entry.parked_until == NEVER else bucket.parked
        del entries[bisect_left(entries, (entry.submitted_at, entry.message.id))]
        entry.bucket = None
        queue = bucket.queue
        if not bucket.ready and not bucket.parked:
            del queue.buckets[bucket.key]
        queue.length -= 1
        self.lowest_value_stale[queue.destination_id] = None
        if len(entries) >= FULL_SCAN_SIZE:
            self.request_scan(queue.destination_id)  # other messages may not be indexed because this one was
        if not queue.length:
            self._remove_queue(queue.destination_id)

    def _remove_queue(self, destination_id: int) -> None:
        del self.queues[destination_id]
        self.scans_due.pop(destination_id, None)
        self.lowest_value_stale.pop(destination_id, None)
        if len(self.queues) == 1:
            self.request_scan(next(iter(self.queues)))  # the last queue may use all slots

    def _requeue_first(self, order: OrderedDict[int, None]) -> None:
        """Moves the first message of a key to another bucket: it is urgent while others wait for it."""
        first = self.by_id[next(iter(order))]
        if first.bucket is not None:
            is_parked = first.parked_until != NEVER
            self.dequeue(first)
            self.enqueue(first, NEVER if is_parked else FOREVER)

    def _park_until(self, entry: PendingMessage, at: float) -> None:
        entry.parked_until = at
        if at < FOREVER:
            heapq.heappush(self.parked_heap, (at, entry.message.id))

    def advance(self, now: float) -> None:
        """Makes parked messages ready and requests scans that are due."""
        while self.parked_heap and self.parked_heap[0][0] <= now:
            due_at, message_id = heapq.heappop(self.parked_heap)
            entry = self.by_id.get(message_id)
            if entry is None or entry.bucket is None or entry.parked_until != due_at or due_at == NEVER:
                continue
            parked = entry.bucket.parked
            del parked[bisect_left(parked, (entry.submitted_at, message_id))]
            insort(entry.bucket.ready, (entry.submitted_at, message_id, entry))
            entry.parked_until = NEVER
            self.request_scan(entry.message.destination)
        while self.scan_heap and self.scan_heap[0][0] <= now:
            due_at, destination_id = heapq.heappop(self.scan_heap)
            if not self._is_superseded(due_at, destination_id):
                self.scans_due[destination_id] = True

    def request_scan(self, destination_id: int) -> None:
        """Requests a scan of a changed queue, in this turn or as soon as there are free slots."""
        self.snapshot_candidates[destination_id] = None
        if destination_id in self.queues:
            self.scans_due[destination_id] = True
            self.lowest_value_stale[destination_id] = None

    def request_all_scans(self) -> None:
        """Requests a scan of all queues after a change that concerns each of them."""
        self.scans_due.update(dict.fromkeys(self.queues, True))

    def schedule_scan(self, queue: DestinationQueue, at: float) -> None:
        """Schedules the next scan of a queue, in case it does not change before."""
        queue.next_scan_at = at
        if at >= FOREVER:
            return
        heapq.heappush(self.scan_heap, (at, queue.destination_id))
        if len(self.scan_heap) > HEAP_SLACK + HEAP_FACTOR * len(self.queues):  # most are superseded
            self.scan_heap = [
                (current.next_scan_at, current.destination_id)
                for current in self.queues.values()
                if current.next_scan_at < FOREVER
            ]
            heapq.heapify(self.scan_heap)

    def _is_superseded(self, at: float, destination_id: int) -> bool:
        queue = self.queues.get(destination_id)
        return queue is None or queue.next_scan_at != at

    def next_wakeup_at(self) -> float:
        """Returns when `advance` has work to do next."""
        while self.scan_heap and self._is_superseded(*self.scan_heap[0]):
            heapq.heappop(self.scan_heap)
        parked_at = self.parked_heap[0][0] if self.parked_heap else FOREVER
        scan_at = self.scan_heap[0][0] if self.scan_heap else FOREVER
        return min(parked_at, scan_at)

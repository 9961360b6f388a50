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

COURSES = 32  # different courses at a destination, above which times to live are taken in steps
FULL_VIEW = 4  # a course of so many is entered whole: nothing has to be looked at anew as it ages
STEPS = 16  # and so many of them: a look at a queue looks at each course of it


@dataclass(slots=True, eq=False)
class PendingMessage:
    """One message, from its arrival until it has ended and nothing is out for it."""

    msg: Message
    cls: MessageClass
    since: float  # when it was first handed in
    due: float
    worth: float
    ready: float  # no try before
    tries: int = 0
    out: EndpointState | None = None
    out_since: float = 0.0
    first_risk: float | None = None  # send of the first attempt that may have run
    risk: Endpoint | None = None
    withdrawn: bool = False
    late: bool = False  # it was held back since its connection had come late, and goes on the next
    refusable: bool = True  # it may make room: a refusal would be true, and it was not left untried
    bound: RetryAffinity | None = None
    course: PriorityBucket | None = None  # where it waits
    ripe_at: float = NEVER  # until when it waits there unready

    @property
    def key(self) -> int:
        """The key whose order it keeps; 0 = none."""
        return self.msg.key if self.cls.in_order else 0

    def worth_at(self, at: float, decay: Decay) -> float:
        return self.worth * kept(self.cls, decay, at - self.since) if at < self.due else 0.0


RetryAffinity = tuple[
    bool, int
]  # the only endpoints it may still go to: (True, a zone) or (False, an endpoint's id)


def kept(cls: MessageClass, decay: Decay, age: float) -> float:
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

    entry: Endpoint
    lane: DestinationState
    out: int = 0
    faults: dict[int, float] = field(default_factory=dict)  # class -> latest failure, if none answered since
    warm: list[float] = field(default_factory=list)  # when each idle connection was last used


@dataclass(slots=True, eq=False)
class DestinationState:
    """One destination (or route apart): pace, health, latency."""

    mean: float
    dev: float
    total: float  # calls a second of all relays together
    pace: float
    credit: float
    credit_at: float
    doors: dict[int, EndpointState] = field(default_factory=dict)
    out: dict[int, PendingMessage] = field(default_factory=dict)  # in the order in which they were sent
    answers: int = 0
    last_ok: float = NEVER
    stretch: float = 1.0  # of the time-out
    hold: float = 0.0  # how long the latest refusal paces it
    free_at: float = NEVER  # a refusal paces it until then
    wait_until: float = NEVER
    blame: float = 0.0
    sick: bool = False
    failed_at: float = NEVER
    ran_nothing: bool = False  # the latest failure proved no effect
    bad_since: float | None = None  # send of the first call that failed since the last answer
    bare_since: float = NEVER  # without endpoints
    cold_since: float = NEVER
    knowers: float = 1.0  # relays that may know of the latest outage
    next_trickle: float = 0.0
    listed: bool = True  # `total` is what the list says; else the highest pace that nobody refused
    share: TimeSlotShare | None = None  # of an agreed rate, where instances keep it together


Waiting = tuple[float, int, PendingMessage]  # since, id: in this order
CourseKey = tuple[int, float, float, bool, bool, RetryAffinity | None]


class PriorityBucket:
    """Messages of one destination whose worth is the same function of their age, oldest first."""

    __slots__ = (
        "bound",
        "class_",
        "cls",
        "hurried",
        "key",
        "life",
        "parked",
        "queue",
        "ready",
        "refusable",
        "worth",
    )

    def __init__(self, queue: DestinationQueue, held: PendingMessage, key: CourseKey) -> None:
        self.queue, self.key, self.cls, self.class_ = queue, key, held.cls, held.msg.class_
        _, self.worth, self.life, self.refusable, self.hurried, self.bound = key
        self.ready: list[Waiting] = []
        self.parked: list[Waiting] = []  # not before a pause is over, or another of its key has ended

    def oldest(self) -> list[PendingMessage]:
        """Of the ready and of the others: nothing else here is worth less, now or later."""
        return [place[0][2] for place in (self.ready, self.parked) if place]


@dataclass(slots=True, eq=False)
class DestinationQueue:
    """What waits for one destination."""

    dest: int
    courses: dict[CourseKey, PriorityBucket] = field(default_factory=dict)
    fresh: list[PendingMessage] = field(default_factory=list)  # came since the latest look, and may go
    length: int = 0
    look_at: float = NEVER  # when its next look is set for
    seen: float = NEVER  # its latest look
    stamp: int = 0  # what was found at an earlier look has another
    poorest: tuple[float, float] | None = None  # see Endings.make_room

    def __len__(self) -> int:
        return self.length


class PendingMessages:
    """The messages held: by id, those that wait by destination, and those in order by key."""

    def __init__(self) -> None:
        self.held: dict[int, PendingMessage] = {}
        self.queues: OrderedDict[int, DestinationQueue] = OrderedDict()
        self.lines: dict[int, OrderedDict[int, None]] = {}
        self.key_rest: dict[int, float] = {}  # in-order key -> end of its rest
        self.resting: list[tuple[float, int]] = []  # heap over it
        self.ripe: list[tuple[float, int]] = []  # heap: when a parked message may go
        self.looks: list[tuple[float, int]] = []  # heap: when a queue is looked at again
        self.due: OrderedDict[int, bool] = OrderedDict()  # destinations to look at now, and whether wholly
        self.unsure: OrderedDict[int, None] = OrderedDict()  # those whose poorest message may be another now
        self.noted: dict[int, None] = {}  # destinations of which there may be something to remember

    def add(self, held: PendingMessage) -> None:
        self.held[held.msg.id] = held
        if held.key:
            line = self.lines.setdefault(held.key, OrderedDict())
            line[held.msg.id] = None
            if len(line) == 2:
                self._refile(line)  # its first is followed from now on

    def remove(self, held: PendingMessage) -> None:
        del self.held[held.msg.id]
        self.unqueue(held)
        if not held.key:
            return
        line = self.lines[held.key]
        del line[held.msg.id]
        if not line:
            del self.lines[held.key]
            return
        first = self.held[next(iter(line))]
        if first.course is not None and first.ripe_at == FOREVER:
            self._ripen(first, self.turn(first))
        if len(line) == 1:
            self._refile(line)

    def followed(self, held: PendingMessage) -> bool:
        return bool(held.key) and len(self.lines[held.key]) > 1

    def turn(self, held: PendingMessage) -> float:
        """When a message may go by the order of its key: the first of its key after the key's rest."""
        if held.key and next(iter(self.lines[held.key])) != held.msg.id:
            return FOREVER
        return max(held.ready, self.key_rest.get(held.key, NEVER))

    def rest(self, key: int, now: float, until: float) -> None:
        """Nothing of this key goes before; what has rested is forgotten."""
        self.key_rest[key] = until
        heapq.heappush(self.resting, (until, key))
        while self.resting and self.resting[0][0] <= now:
            at, old = heapq.heappop(self.resting)
            if self.key_rest.get(old) == at:
                del self.key_rest[old]

    def queue(self, held: PendingMessage, now: float) -> None:
        dest = held.msg.destination
        queue = self.queues.get(dest)
        if queue is None:
            queue = self.queues[dest] = DestinationQueue(dest)
            if len(self.queues) == 2:
                self.look(next(iter(self.queues)))  # it has company now, which narrows its part of the slots
        queue.length += 1
        course = self._course(queue, held)
        held.course, held.ripe_at = course, NEVER
        at = self.turn(held)
        self.unsure[dest] = None
        if at > now:
            insort(course.parked, (held.since, held.msg.id, held))
            self._ripen(held, at)
            return
        insort(course.ready, (held.since, held.msg.id, held))
        queue.fresh.append(held)
        # What was found there stands: the newcomer is added, unless others stand for all of the course.
        self.due[dest] = self.due.get(dest, False) or len(course.ready) > FULL_VIEW

    def _course(self, queue: DestinationQueue, held: PendingMessage) -> PriorityBucket:
        """Guards looks against many different times to live: beyond some they are taken in steps."""
        hurried = held.due < held.since + held.cls.latency_objective_ms or self.followed(held)
        life = float(round(held.due - held.since))
        if life != held.cls.deadline_ms and len(queue.courses) >= COURSES:
            step = held.cls.deadline_ms / STEPS
            life = max(1.0, min(STEPS, life // step)) * step
        key = (held.msg.class_, held.worth, life, held.refusable, hurried, held.bound)
        if key not in queue.courses:
            queue.courses[key] = PriorityBucket(queue, held, key)
        return queue.courses[key]

    def unqueue(self, held: PendingMessage) -> None:
        course = held.course
        if course is None:
            return
        place = course.ready if held.ripe_at == NEVER else course.parked
        del place[bisect_left(place, (held.since, held.msg.id))]
        held.course, queue = None, course.queue
        if not course.ready and not course.parked:
            del queue.courses[course.key]
        queue.length -= 1
        self.unsure[queue.dest] = None
        if len(place) >= FULL_VIEW:
            self.look(queue.dest)  # it may have stood for others
        if not queue.length:
            del self.queues[queue.dest]
            self.due.pop(queue.dest, None)
            self.unsure.pop(queue.dest, None)
            if len(self.queues) == 1:
                self.look(next(iter(self.queues)))

    def _refile(self, line: OrderedDict[int, None]) -> None:
        """The first of a key is in a hurry while others wait for it."""
        first = self.held[next(iter(line))]
        if first.course is not None:
            parked = first.ripe_at != NEVER
            self.unqueue(first)
            self.queue(first, NEVER if parked else FOREVER)

    def _ripen(self, held: PendingMessage, at: float) -> None:
        held.ripe_at = at
        if at < FOREVER:
            heapq.heappush(self.ripe, (at, held.msg.id))

    def wake(self, now: float) -> None:
        """Moves on what was waiting for this moment."""
        while self.ripe and self.ripe[0][0] <= now:
            at, ident = heapq.heappop(self.ripe)
            held = self.held.get(ident)
            if held is None or held.course is None or held.ripe_at != at or at == NEVER:
                continue
            parked = held.course.parked
            del parked[bisect_left(parked, (held.since, ident))]
            insort(held.course.ready, (held.since, ident, held))
            held.ripe_at = NEVER
            self.look(held.msg.destination)
        while self.looks and self.looks[0][0] <= now:
            at, dest = heapq.heappop(self.looks)
            if not self._overtaken(at, dest):
                self.due[dest] = True

    def look(self, dest: int) -> None:
        """Something has changed there: it is looked at in this turn, or as soon as there are slots."""
        self.noted[dest] = None
        if dest in self.queues:
            self.due[dest], self.unsure[dest] = True, None

    def look_later(self, queue: DestinationQueue, at: float) -> None:
        queue.look_at = at
        if at < FOREVER:
            heapq.heappush(self.looks, (at, queue.dest))
            if len(self.looks) > 64 + 4 * len(self.queues):  # most were overtaken by other looks
                self.looks = [(q.look_at, q.dest) for q in self.queues.values() if q.look_at < FOREVER]
                heapq.heapify(self.looks)

    def _overtaken(self, at: float, dest: int) -> bool:
        queue = self.queues.get(dest)
        return queue is None or queue.look_at != at

    def next_at(self) -> float:
        """When `wake` next has something to do."""
        while self.looks and self._overtaken(*self.looks[0]):
            heapq.heappop(self.looks)
        return min(self.ripe[0][0] if self.ripe else FOREVER, self.looks[0][0] if self.looks else FOREVER)

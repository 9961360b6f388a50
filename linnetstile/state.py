"""What a relay remembers, and the indexes over it. Nothing is decided here: see control.py."""

from __future__ import annotations

from dataclasses import dataclass, field

from .interface import Decay, Endpoint, Message, MessageClass

NEVER = float("-inf")


@dataclass(slots=True)
class Held:
    """One message, from its arrival until it has ended and nothing is out for it."""

    msg: Message
    cls: MessageClass
    since: float  # when it was first handed in
    due: float
    worth: float
    ready: float  # no try before
    tries: int = 0
    out: Door | None = None
    out_since: float = 0.0
    first_risk: float | None = None  # send of the first attempt that may have run
    risk: Endpoint | None = None
    withdrawn: bool = False

    @property
    def key(self) -> int:
        """The key whose order it keeps; 0 = none."""
        return self.msg.key if self.cls.in_order else 0

    def worth_at(self, at: float, decay: Decay) -> float:
        late = at - self.since - self.cls.aim_ms
        if late <= 0 or at >= self.due:
            return self.worth if at < self.due else 0.0
        if decay is Decay.HALVES:
            return self.worth * max(self.cls.late_share, float(0.5 ** (late / self.cls.aim_ms)))
        return self.worth * (1 - (1 - self.cls.late_share) * late / (self.cls.deadline_ms - self.cls.aim_ms))


@dataclass(slots=True)
class Door:
    """One endpoint as this relay sees it."""

    entry: Endpoint
    lane: Lane
    out: int = 0
    faults: dict[int, float] = field(default_factory=dict)  # class -> latest failure, if none answered since
    warm: list[float] = field(default_factory=list)  # when each idle connection was last used


@dataclass(slots=True)
class Lane:
    """One destination (or route apart): pace, health, latency."""

    mean: float
    dev: float
    total: float  # calls a second of all relays together
    pace: float
    credit: float
    credit_at: float
    doors: dict[int, Door] = field(default_factory=dict)
    out: dict[int, Held] = field(default_factory=dict)
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
    cold_since: float = NEVER
    knowers: float = 1.0  # relays that may know of the latest outage
    next_trickle: float = 0.0


class Board:
    """The messages held: by id, those that wait by destination, and those in order by key."""

    def __init__(self) -> None:
        self.held: dict[int, Held] = {}
        self.queues: dict[int, dict[int, Held]] = {}
        self.look_at: dict[int, float] = {}  # destination -> when its queue is looked at again
        self.lines: dict[int, list[int]] = {}

    def add(self, held: Held) -> None:
        self.held[held.msg.id] = held
        if held.key:
            self.lines.setdefault(held.key, []).append(held.msg.id)

    def queue(self, held: Held) -> None:
        self.queues.setdefault(held.msg.destination, {})[held.msg.id] = held
        self.look_at[held.msg.destination] = 0.0

    def unqueue(self, held: Held) -> None:
        queue = self.queues.get(held.msg.destination, {})
        queue.pop(held.msg.id, None)
        if not queue:
            self.queues.pop(held.msg.destination, None)
            self.look_at.pop(held.msg.destination, None)

    def remove(self, held: Held) -> None:
        del self.held[held.msg.id]
        self.unqueue(held)
        if held.key:
            line = self.lines[held.key]
            line.remove(held.msg.id)
            if line:
                self.look(self.held[line[0]].msg.destination)
            else:
                del self.lines[held.key]

    def followed(self, held: Held) -> bool:
        return bool(held.key) and len(self.lines[held.key]) > 1

    def look(self, dest: int) -> None:
        if dest in self.queues:
            self.look_at[dest] = 0.0

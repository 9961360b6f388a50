"""The vocabulary of linnetstile: what a relay is told (settings, events) and what it may do (actions)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Union

NEVER, FOREVER = float("-inf"), float("inf")  # times: before all others, and after them


class Effect(Enum):
    """What repeating a message may do at its destination."""

    SAFE = "safe"  # repeating changes nothing
    KEYED = "keyed"  # the destination drops repeats of its key for a while
    UNSAFE = "unsafe"  # every run has an effect


class Scope(Enum):
    """Which endpoints of a destination share the memory of a key."""

    ALL = "all"
    ZONE = "zone"
    ENDPOINT = "endpoint"


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"

    @property
    def proves_no_effect(self) -> bool:
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class Listing(Enum):
    """What the list of endpoints says of one of them."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    UNNEEDED = "unneeded"  # it may well be there, but nobody here needs to know it any more


class ListKind(Enum):
    CHANGES = "changes"
    WHOLE = "whole"
    CACHED = "cached"
    FAILED = "failed"


class Rates(Enum):
    """What the listed rates are worth."""

    NONE = "none"
    NOMINAL = "nominal"
    ROUGH = "rough"


class Decay(Enum):
    """How worth falls once the aim has passed."""

    LINE = "line"
    HALVES = "halves"


def _need(ok: bool, field: str, text: str) -> None:
    if not ok:
        raise ValueError(f"{field}: {text}")


@dataclass(frozen=True, slots=True)
class MessageClass:
    name: str
    effect: Effect
    aim_ms: float
    deadline_ms: float
    worth: float = 1.0
    late_share: float = 0.0
    key_window_ms: float = 0.0
    key_scope: Scope = Scope.ALL
    in_order: bool = False

    def __post_init__(self) -> None:
        _need(self.aim_ms > 0, "classes.aim_ms", "must be above 0")
        _need(self.deadline_ms > 0, "classes.deadline_ms", "must be above 0")
        _need(self.worth >= 0, "classes.worth", "must not be negative")
        _need(0 <= self.late_share <= 1, "classes.late_share", "must lie in 0 to 1")
        _need(self.key_window_ms >= 0, "classes.window_ms", "must not be negative")
        if self.effect is Effect.KEYED:
            _need(self.key_window_ms > 0, "classes.window_ms", f"of {self.name}, keyed: must be above 0")


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    quota_per_s: float  # over all relays

    def __post_init__(self) -> None:
        _need(self.quota_per_s >= 0, "orgs.quota_per_s", f"of {self.name}: must not be negative")


@dataclass(frozen=True, slots=True)
class DestinationKind:
    name: str
    batch: int = 1  # messages in one call, at most
    routes_apart: bool = False  # each endpoint has its own limit, pace and outages

    def __post_init__(self) -> None:
        _need(self.batch >= 1, "kinds.batch", "must be 1 or more")


@dataclass(frozen=True, slots=True)
class Safety:
    """Figures of the rules."""

    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    cold_share: float = 1.0  # capacity left right after an outage
    cold_ms: float = 0.0
    fall_multiple: float = 1.0
    fall_ms: float = 1000.0
    ask_within_ms: float = 0.0
    key_rest_ms: float = 0.0

    def __post_init__(self) -> None:
        for field in self.__slots__:
            _need(getattr(self, field) >= 0, f"safety.{field}", "must not be negative")


@dataclass(frozen=True, slots=True)
class Goal:
    """Weights of the parts of the result."""

    whole: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


@dataclass(frozen=True, slots=True)
class Fleet:
    """Which of how many instances this is, where each partner's agreed rate is to be kept by all together. As
    an event: from now on."""

    number: int  # from 0
    size: int
    clock_ms: float = 0.0  # to be added to the relay's clock for the one that all machines read

    def __post_init__(self) -> None:
        _need(self.size >= 1, "fleet.size", "must be 1 or more")
        _need(0 <= self.number < self.size, "fleet.number", f"must lie in 0 to {self.size - 1}")


@dataclass(frozen=True, slots=True)
class Settings:
    classes: tuple[MessageClass, ...]
    kinds: tuple[DestinationKind, ...]
    slots: int  # calls out at once
    hold: int  # messages held at once
    attempts: int  # tries of one message
    relays: int = 1
    zone: int = 0
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    decay: Decay = Decay.LINE
    rates: Rates = Rates.NONE
    ask_for_list: bool = False
    probing: bool = False
    cancelling: bool = False
    streams_per_connection: int = 1
    idle_ms: float = 0.0
    connect_timeout_ms: float = 0.0
    tick_ms: float = 1.0
    marks_repeats: bool = False  # clients mark what they hand in again
    longest_advice_ms: float = 0.0  # longest stay-away a client heeds; 0 = no advice
    cross_zone_price: float = 0.0
    route_fees: tuple[float, ...] = ()  # by zone
    report_fields: tuple[str, ...] = ()  # what answers may report, in this order
    limit_report: tuple[int, int] | None = None  # where a report holds share left and limit a second
    safety: Safety = Safety()
    goal: Goal = Goal()
    fleet: Fleet | None = None  # None: each instance paces itself by what it learns

    def __post_init__(self) -> None:
        _need(bool(self.classes), "classes", "there must be at least one")
        for field in ("slots", "hold", "attempts", "relays", "streams_per_connection"):
            _need(getattr(self, field) >= 1, field, "must be 1 or more")
        for field in ("idle_ms", "connect_timeout_ms", "longest_advice_ms", "over_share_worth"):
            _need(getattr(self, field) >= 0, field, "must not be negative")
        _need(self.tick_ms > 0, "tick_ms", "must be above 0")


@dataclass(frozen=True, slots=True)
class Endpoint:
    id: int
    destination: int
    listing: Listing
    kind: int = 0
    zone: int = 0
    rate: float = 0.0  # listed calls a second for its destination (or route); see Rates


@dataclass(frozen=True, slots=True)
class EndpointList:
    kind: ListKind
    entries: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class Message:
    id: int
    destination: int
    class_: int
    left_ms: float
    tenant: int = 0
    key: int = 0  # 0 = none
    work_ms: float | None = None
    again: bool = False
    from_dead_relay: bool = False
    # Resumed after a restart of this relay: what the journal knows of it.
    age_ms: float | None = None  # since it was first handed in
    tries: int = 0
    risk_age_ms: float | None = None  # since the first try that may have run
    risk: Endpoint | None = None  # and where that went


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    id: int
    attempt: int
    endpoint: int
    outcome: Outcome
    latency_ms: float = 0.0
    finished: bool = False
    wait_ms: float = 0.0  # told with Outcome.FULL
    no_slot: bool = False  # with Outcome.NOT_SENT
    report: tuple[float, ...] = ()
    held_back: bool = False  # nothing of it went out, with Outcome.NOT_SENT: no try


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    endpoint: int
    outcome: Outcome
    latency_ms: float = 0.0
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Withdrawn:
    id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


@dataclass(frozen=True, slots=True)
class Closing:
    """The process ends soon: a call still out then would have no known outcome."""

    at_ms: float


@dataclass(frozen=True, slots=True)
class Learned:
    """What an earlier process knew of a destination; no clock outlasts it, so times are told as ages."""

    destination: int
    wait_ms: float = 0.0  # a told wait that still runs
    out: bool = False
    bad_ms: float | None = None  # since the first call that failed without an answer after it
    cold_ms: float | None = None  # since it was back

    def __post_init__(self) -> None:
        for field in ("wait_ms", "bad_ms", "cold_ms"):
            value = getattr(self, field)
            _need(value is None or value >= 0, f"learned.{field}", "must not be negative")


Event = Union[EndpointList, Message, AttemptEnded, ProbeEnded, Withdrawn, TimerFired, Closing, Learned, Fleet]


@dataclass(frozen=True, slots=True)
class Send:
    id: int
    endpoint: int
    give_up_at_ms: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Not delivered, and trying again is harmless."""

    id: int
    stay_away_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Not delivered as far as known; promises nothing."""

    id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    endpoint: int


@dataclass(frozen=True, slots=True)
class WatchList:
    """Ask discovery for the list and its changes from now on."""


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = Union[Send, Refuse, Fail, Cancel, SetTimer, Probe, WatchList, Log]

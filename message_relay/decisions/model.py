"""Settings and records shared by the decisions, their events and actions. Times are in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

NEVER, FOREVER = float("-inf"), float("inf")  # times: before all others, and after them


class Effect(Enum):
    """Effect of delivering a message to its destination more than once."""

    SAFE = "safe"  # repeated delivery changes nothing
    KEYED = "keyed"  # the destination ignores repeats of its idempotency key for a limited time
    UNSAFE = "unsafe"  # each delivery has an effect


class Scope(Enum):
    """Which endpoints of a destination know an idempotency key that one of them has seen."""

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
        """Whether the endpoint certainly did not execute the call."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class Listing(Enum):
    """State of an endpoint as discovery lists it."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"
    UNNEEDED = "unneeded"  # it may still exist, but this relay no longer needs it


class ListKind(Enum):
    """Coverage of an endpoint list, or that discovery failed."""

    CHANGES = "changes"
    COMPLETE = "whole"
    CACHED = "cached"
    FAILED = "failed"


class Rates(Enum):
    """How reliable the listed rates are."""

    NONE = "none"
    NOMINAL = "nominal"
    ROUGH = "rough"


class Decay(Enum):
    """How a message's value falls after its latency objective."""

    LINE = "line"
    HALVES = "halves"


def require(ok: bool, field: str, text: str) -> None:
    """Raises a ValueError that names the field unless the condition holds."""
    if not ok:
        raise ValueError(f"{field}: {text}")


@dataclass(frozen=True, slots=True)
class MessageClass:
    """Properties shared by all messages of one class."""

    name: str
    effect: Effect
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float = 1.0
    late_share: float = 0.0  # share of the value that is left at the deadline
    key_window_ms: float = 0.0  # how long a destination remembers an idempotency key
    key_scope: Scope = Scope.ALL
    in_order: bool = False

    def __post_init__(self) -> None:
        require(self.latency_objective_ms > 0, "classes.aim_ms", "must be above 0")
        require(self.deadline_ms > 0, "classes.deadline_ms", "must be above 0")
        require(self.priority_weight >= 0, "classes.worth", "must not be negative")
        require(0 <= self.late_share <= 1, "classes.late_share", "must lie in 0 to 1")
        require(self.key_window_ms >= 0, "classes.window_ms", "must not be negative")
        if self.effect is Effect.KEYED:
            require(
                self.key_window_ms > 0,
                "classes.window_ms",
                f"of {self.name}, keyed: must be above 0",
            )


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its quota of messages."""

    name: str
    quota_per_s: float  # messages per second over all relays

    def __post_init__(self) -> None:
        require(self.quota_per_s >= 0, "orgs.quota_per_s", f"of {self.name}: must not be negative")


@dataclass(frozen=True, slots=True)
class DestinationKind:
    """Properties shared by all destinations of one kind."""

    name: str
    batch: int = 1  # maximum number of messages in one call
    has_separate_routes: bool = False  # each endpoint has its own limit, rate and outages

    def __post_init__(self) -> None:
        require(self.batch >= 1, "kinds.batch", "must be 1 or more")


@dataclass(frozen=True, slots=True)
class Safety:
    """Limits that protect destinations and ordering keys."""

    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    warm_up_initial_share: float = 1.0  # share of the capacity that is available right after an outage
    warm_up_ms: float = 0.0
    overload_multiple: float = 1.0
    overload_window_ms: float = 1000.0
    poll_within_ms: float = 0.0
    key_pause_ms: float = 0.0

    def __post_init__(self) -> None:
        # Errors use the names that operators know.
        amounts = {
            "answer_slack_ms": self.answer_slack_ms,
            "drain_grace_ms": self.drain_grace_ms,
            "cold_share": self.warm_up_initial_share,
            "cold_ms": self.warm_up_ms,
            "fall_multiple": self.overload_multiple,
            "fall_ms": self.overload_window_ms,
            "ask_within_ms": self.poll_within_ms,
            "key_rest_ms": self.key_pause_ms,
        }
        for field, amount in amounts.items():
            require(amount >= 0, f"safety.{field}", "must not be negative")


@dataclass(frozen=True, slots=True)
class Goal:
    """Weights of the components of the objective by which a deployment is measured."""

    total: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


@dataclass(frozen=True, slots=True)
class Fleet:
    """This instance's number in a fleet whose instances keep each destination's agreed rate together.

    As an event, it sets the values that apply from now on.
    """

    number: int  # from 0
    size: int
    clock_ms: float = 0.0  # offset to add to the relay's clock to get the clock that all machines share

    def __post_init__(self) -> None:
        require(self.size >= 1, "fleet.size", "must be 1 or more")
        require(0 <= self.number < self.size, "fleet.number", f"must lie in 0 to {self.size - 1}")


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one relay."""

    classes: tuple[MessageClass, ...]
    kinds: tuple[DestinationKind, ...]
    max_concurrent_attempts: int  # maximum number of attempts in flight
    max_pending_messages: int  # maximum number of messages accepted and without a final outcome
    max_attempts: int  # maximum number of attempts of one message
    relays: int = 1
    zone: int = 0
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight: float = 1.0
    decay: Decay = Decay.LINE
    rates: Rates = Rates.NONE
    polls_discovery: bool = False
    probing: bool = False
    cancelling: bool = False
    streams_per_connection: int = 1
    idle_ms: float = 0.0
    connect_timeout_ms: float = 0.0
    tick_ms: float = 1.0
    marks_repeats: bool = False  # clients mark resubmissions
    max_retry_after_ms: float = 0.0  # longest Retry-After that a client respects; 0 = none is sent
    cross_zone_price: float = 0.0
    route_fees: tuple[float, ...] = ()  # by zone
    report_fields: tuple[str, ...] = ()  # fields of the load report in a response, in this order
    limit_report: tuple[int, int] | None = None  # positions in a report: share left, limit per second
    safety: Safety = Safety()
    goal: Goal = Goal()
    fleet: Fleet | None = None  # None: each instance learns its rate limits by itself

    def __post_init__(self) -> None:
        require(bool(self.classes), "classes", "there must be at least one")
        # Errors use the names of the settings, which operators know.
        counts = {
            "slots": self.max_concurrent_attempts,
            "hold": self.max_pending_messages,
            "attempts": self.max_attempts,
            "relays": self.relays,
            "streams_per_connection": self.streams_per_connection,
        }
        for field, count in counts.items():
            require(count >= 1, field, "must be 1 or more")
        amounts = {
            "idle_ms": self.idle_ms,
            "connect_timeout_ms": self.connect_timeout_ms,
            "longest_advice_ms": self.max_retry_after_ms,
            "over_share_worth": self.over_quota_weight,
        }
        for field, amount in amounts.items():
            require(amount >= 0, field, "must not be negative")
        require(self.tick_ms > 0, "tick_ms", "must be above 0")


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One endpoint as discovery lists it."""

    id: int
    destination: int
    listing: Listing
    kind: int = 0
    zone: int = 0
    rate: float = 0.0  # listed calls per second of its destination (or route); see Rates

"""Events: the input of the delivery scheduler. Times are in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Union

from .model import Endpoint, Fleet, ListKind, Outcome, require


@dataclass(frozen=True, slots=True)
class EndpointList:
    """The endpoints that discovery lists: all or only the changed ones, or none if listing failed."""

    kind: ListKind
    entries: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class Message:
    """A message that the relay has accepted, or resumed after a restart."""

    id: int
    destination: int
    class_index: int
    remaining_ms: float
    tenant: int = 0
    key: int = 0  # 0 = none
    work_ms: float | None = None
    is_repeat: bool = False
    from_dead_relay: bool = False
    # Set from the journal for a message resumed after a restart of this relay:
    age_ms: float | None = None  # since it was first submitted
    attempts: int = 0
    uncertain_for_ms: float | None = None  # since the first attempt that may have run
    uncertain_endpoint: Endpoint | None = None  # endpoint of that attempt


@dataclass(frozen=True, slots=True)
class AttemptCompleted:
    """The outcome of an attempt."""

    id: int
    attempt: int
    endpoint: int
    outcome: Outcome
    latency_ms: float = 0.0
    is_final: bool = False
    retry_after_ms: float = 0.0  # with Outcome.FULL
    had_no_slot: bool = False  # with Outcome.NOT_SENT
    report: tuple[float, ...] = ()
    was_withheld: bool = False  # with Outcome.NOT_SENT: nothing was written, so it counts as no attempt


@dataclass(frozen=True, slots=True)
class AttemptConnecting:
    """The connection of an attempt in flight is late: the attempt holds no slot until it is established."""

    id: int


@dataclass(frozen=True, slots=True)
class ProbeCompleted:
    """The outcome of a health check."""

    endpoint: int
    outcome: Outcome
    latency_ms: float = 0.0
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class MessageCancelled:
    """The client has cancelled the message."""

    id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The timer of the latest `SetTimer` has fired."""

    token: int


@dataclass(frozen=True, slots=True)
class ShutdownScheduled:
    """The process ends at this time: a call still in flight would have no known outcome."""

    at_ms: float


@dataclass(frozen=True, slots=True)
class RestoredDestination:
    """The state of a destination, saved by an earlier process.

    Times are durations, since the scheduler's clock restarts with the process.
    """

    destination: int
    retry_after_ms: float = 0.0  # remaining time
    is_ejected: bool = False
    failing_for_ms: float | None = None  # since the first call that failed after the last success
    warming_up_for_ms: float | None = None  # since the end of its outage

    def __post_init__(self) -> None:
        # Errors use the field names of the file `learned`.
        ages = {
            "wait_ms": self.retry_after_ms,
            "bad_ms": self.failing_for_ms,
            "cold_ms": self.warming_up_for_ms,
        }
        for name, value in ages.items():
            require(value is None or value >= 0, f"learned.{name}", "must not be negative")


Event = Union[
    EndpointList,
    Message,
    AttemptCompleted,
    AttemptConnecting,
    ProbeCompleted,
    MessageCancelled,
    TimerFired,
    ShutdownScheduled,
    RestoredDestination,
    Fleet,
]

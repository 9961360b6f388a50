"""Events: what the delivery scheduler is told. Times are in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Union

from .model import Endpoint, Fleet, ListKind, Outcome, require


@dataclass(frozen=True, slots=True)
class EndpointList:
    kind: ListKind
    entries: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class Message:
    id: int
    destination: int
    class_index: int
    remaining_ms: float
    tenant: int = 0
    key: int = 0  # 0 = none
    work_ms: float | None = None
    is_repeat: bool = False
    from_dead_relay: bool = False
    # Resumed after a restart of this relay: what the journal knows of it.
    age_ms: float | None = None  # since it was first handed in
    attempts: int = 0
    uncertain_for_ms: float | None = None  # since the first try that may have run
    uncertain_endpoint: Endpoint | None = None  # and where that went


@dataclass(frozen=True, slots=True)
class AttemptCompleted:
    id: int
    attempt: int
    endpoint: int
    outcome: Outcome
    latency_ms: float = 0.0
    is_final: bool = False
    retry_after_ms: float = 0.0  # told with Outcome.FULL
    had_no_slot: bool = False  # with Outcome.NOT_SENT
    report: tuple[float, ...] = ()
    was_withheld: bool = False  # nothing of it went out, with Outcome.NOT_SENT: no try


@dataclass(frozen=True, slots=True)
class ProbeCompleted:
    endpoint: int
    outcome: Outcome
    latency_ms: float = 0.0
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class MessageCancelled:
    id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


@dataclass(frozen=True, slots=True)
class ShutdownScheduled:
    """The process ends soon: a call still out then would have no known outcome."""

    at_ms: float


@dataclass(frozen=True, slots=True)
class RestoredDestination:
    """What an earlier process knew of a destination; no clock outlasts it, so times are told as ages."""

    destination: int
    retry_after_ms: float = 0.0  # a told wait that still runs
    is_ejected: bool = False
    failing_for_ms: float | None = None  # since the first call that failed without an answer after it
    warming_up_for_ms: float | None = None  # since it was back

    def __post_init__(self) -> None:
        # Errors name the fields as the file `learned` does.
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
    ProbeCompleted,
    MessageCancelled,
    TimerFired,
    ShutdownScheduled,
    RestoredDestination,
    Fleet,
]

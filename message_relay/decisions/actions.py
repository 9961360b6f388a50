"""Actions: what the delivery scheduler asks its host to carry out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Union


@dataclass(frozen=True, slots=True)
class StartAttempt:
    id: int
    endpoint: int
    give_up_at_ms: float


@dataclass(frozen=True, slots=True)
class Reject:
    """Not delivered, and trying again is harmless."""

    id: int
    retry_after_ms: float = 0.0


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
class WatchEndpoints:
    """Ask discovery for the list and its changes from now on."""


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = Union[StartAttempt, Reject, Fail, Cancel, SetTimer, Probe, WatchEndpoints, Log]

"""Actions: the output of the delivery scheduler, carried out by its driver."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Union


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a message to an endpoint; the attempt times out at `give_up_at_ms`."""

    id: int
    endpoint: int
    give_up_at_ms: float


@dataclass(frozen=True, slots=True)
class Reject:
    """End a message as not delivered; submitting it again is harmless."""

    id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """End a message as failed: it may have been delivered."""

    id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt in flight."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Set the timer, replacing the one set before."""

    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Check the health of an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Request the endpoint list from discovery, and its changes from now on."""


@dataclass(frozen=True, slots=True)
class Log:
    """Log a line."""

    text: str


Action = Union[StartAttempt, Reject, Fail, Cancel, SetTimer, Probe, WatchEndpoints, Log]

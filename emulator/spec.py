"""The behaviour of a partner as data. Values are checked on construction; an error names its field."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


def need(ok: bool, name: str, text: str) -> None:
    """Raises ValueError "name: text" unless `ok`."""
    if not ok:
        raise ValueError(f"{name}: {text}")


class Enforced(Enum):
    """How the partner enforces its rate."""

    BUCKET = "bucket"  # token bucket that holds up to `burst` calls
    WINDOW = "window"  # sliding window of `window_ms`


@dataclass(frozen=True, slots=True)
class Rate:
    per_s: float
    enforced: Enforced = Enforced.WINDOW
    window_ms: float = 1000.0
    burst: float = 2.0  # size of the bucket, or calls allowed above the rate in a window
    per_client: bool = False  # each client has its own rate limit
    counts_refused: bool = False  # rejected calls count against the rate too
    wait_ms: tuple[float, float] | None = None  # range of the retry delay of a rejection, drawn uniformly

    def __post_init__(self) -> None:
        need(self.per_s > 0, "rate.per_s", "must be above 0")
        need(self.window_ms > 0, "rate.window_ms", "must be above 0")
        need(self.burst >= 1, "rate.burst", "must be 1 or more")
        need(
            self.wait_ms is None or 0 < self.wait_ms[0] <= self.wait_ms[1],
            "rate.wait_ms",
            "must be two values above 0, the smaller first",
        )


@dataclass(frozen=True, slots=True)
class Service:
    """How long a call takes once it has a slot: log-normal, with a share of slow calls, and slower under
    load."""

    mean_ms: float = 100.0
    cv: float = 0.3  # coefficient of variation; 0: always the mean
    slow_share: float = 0.0
    slow_factor: float = 5.0
    thrash: float = 0.0  # relative slowdown when all slots are taken, proportionally less below

    def __post_init__(self) -> None:
        need(self.mean_ms > 0, "service.mean_ms", "must be above 0")
        need(self.cv >= 0, "service.cv", "must not be negative")
        need(0 <= self.slow_share <= 1, "service.slow_share", "must lie in 0 to 1")
        need(self.slow_factor >= 1, "service.slow_factor", "must be 1 or more")
        need(self.thrash >= 0, "service.thrash", "must not be negative")


@dataclass(frozen=True, slots=True)
class Cold:
    """The reduced capacity right after an outage, and the collapse if calls exceed it."""

    share: float = 1.0  # part of its rate right after an outage
    warm_ms: float = 11_000.0  # until its capacity is the whole rate again; it grows linearly
    fall_multiple: float = float("inf")  # it collapses if calls exceed this multiple of its current capacity
    fall_ms: float = 1500.0  # over this time
    fallen_ms: float = 10_000.0  # how long it is down then; afterwards it is cold again

    def __post_init__(self) -> None:
        need(0 < self.share <= 1, "cold.share", "must lie above 0, and be 1 at most")
        need(self.warm_ms >= 0, "cold.warm_ms", "must not be negative")
        need(self.fall_multiple > 1, "cold.fall_multiple", "must be above 1")
        need(self.fall_ms > 0 and self.fallen_ms > 0, "cold.fall_ms, cold.fallen_ms", "must be above 0")


class Fault(Enum):
    DOWN = "down"  # connections are refused, open ones end
    HUNG = "hung"  # accepts calls, which have their effect, and answers none
    SILENT = "silent"  # connections are never established, open ones are silent; no call arrives
    SHUT = "shut"  # rejects every call
    FAILING = "failing"  # a share `size` of the calls ends with an error
    BROWN = "brown"  # calls take `size` times as long
    LOWERED = "lowered"  # its rate is reduced to a share `size`

    @property
    def outage(self) -> bool:
        """Whether the partner is cold after this fault."""
        return self not in (Fault.BROWN, Fault.LOWERED)


@dataclass(frozen=True, slots=True)
class Trouble:
    """A fault from `begin_ms` to `end_ms`. The meaning of `size` depends on the fault."""

    fault: Fault
    begin_ms: float
    end_ms: float
    size: float = 1.0

    def __post_init__(self) -> None:
        need(
            0 <= self.begin_ms < self.end_ms,
            "trouble.end_ms",
            "must be above begin_ms, which must not be negative",
        )
        if self.fault in (Fault.FAILING, Fault.LOWERED):
            need(0 < self.size <= 1, "trouble.size", f"must lie in 0 (excluded) to 1 for {self.fault.value}")
        if self.fault is Fault.BROWN:
            need(self.size >= 1, "trouble.size", "must be 1 or more for brown")


@dataclass(frozen=True, slots=True)
class Spec:
    """The behaviour of one partner."""

    rate: Rate | None = None
    slots: int | None = None  # calls served at once; None: any number
    queue: int = 0  # largest number of calls that wait for a slot; more are rejected
    service: Service = Service()
    cold: Cold = Cold()
    key_window_ms: float = 0.0  # a key repeated within it has no further effect; 0: keys are not remembered
    refuse: float = 0.0  # probability of a rejection for no reason
    error: float = 0.0  # probability of an error; half of the errors have an effect
    reset: float = 0.0  # probability that the connection is reset after the call took effect
    hang: float = 0.0  # probability that no answer comes although the call took effect
    troubles: tuple[Trouble, ...] = field(default=())

    def __post_init__(self) -> None:
        need(self.slots is None or self.slots >= 1, "slots", "must be 1 or more")
        need(self.queue >= 0, "queue", "must not be negative")
        need(self.key_window_ms >= 0, "key_window_ms", "must not be negative")
        for name in ("refuse", "error", "reset", "hang"):
            need(0 <= getattr(self, name) <= 1, name, "must lie in 0 to 1")
        combined = self.refuse + self.error + self.reset + self.hang
        need(combined <= 1, "refuse, error, reset, hang", "must sum to 1 at most")

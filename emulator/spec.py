"""How a partner behaves, as data: checked when it is made, each fault told with its field."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


def need(ok: bool, name: str, text: str) -> None:
    if not ok:
        raise ValueError(f"{name}: {text}")


class Enforced(Enum):
    """How an agreed rate is kept."""

    BUCKET = "bucket"  # calls saved up to `burst`
    WINDOW = "window"  # so many in any span of `window_ms`


@dataclass(frozen=True, slots=True)
class Rate:
    per_s: float
    enforced: Enforced = Enforced.WINDOW
    window_ms: float = 1000.0
    burst: float = 2.0  # calls above the rate that pass all the same: at once, or in a window
    per_client: bool = False  # each client has it for itself
    counts_refused: bool = False  # a refused call uses it up too
    wait_ms: tuple[float, float] | None = None  # told with a refusal, drawn evenly; None: no wait is told

    def __post_init__(self) -> None:
        need(self.per_s > 0, "rate.per_s", "must be above 0")
        need(self.window_ms > 0, "rate.window_ms", "must be above 0")
        need(self.burst >= 1, "rate.burst", "must be 1 or more")
        need(
            self.wait_ms is None or 0 < self.wait_ms[0] <= self.wait_ms[1],
            "rate.wait_ms",
            "must be two times above 0, the smaller first",
        )


@dataclass(frozen=True, slots=True)
class Service:
    """How long a call takes once it has a slot: log-normal, some of them slow, all slower under load."""

    mean_ms: float = 100.0
    cv: float = 0.3  # standard deviation over the mean; 0: always the mean
    slow_share: float = 0.0
    slow_factor: float = 5.0
    thrash: float = 0.0  # longer by such a part when all slots are taken, in proportion below

    def __post_init__(self) -> None:
        need(self.mean_ms > 0, "service.mean_ms", "must be above 0")
        need(self.cv >= 0, "service.cv", "must not be negative")
        need(0 <= self.slow_share <= 1, "service.slow_share", "must lie in 0 to 1")
        need(self.slow_factor >= 1, "service.slow_factor", "must be 1 or more")
        need(self.thrash >= 0, "service.thrash", "must not be negative")


@dataclass(frozen=True, slots=True)
class Cold:
    """What it can do right after an outage, and how it falls over if that is not heeded."""

    share: float = 1.0  # of its rate
    warm_ms: float = 11_000.0  # until it can do all of it; grows evenly
    fall_multiple: float = float("inf")  # of what it can do just then; calls above it for
    fall_ms: float = 1500.0  # so long have it collapse
    fallen_ms: float = 10_000.0  # it is down for so long, and cold again

    def __post_init__(self) -> None:
        need(0 < self.share <= 1, "cold.share", "must lie above 0, and be 1 at most")
        need(self.warm_ms >= 0, "cold.warm_ms", "must not be negative")
        need(self.fall_multiple > 1, "cold.fall_multiple", "must be above 1")
        need(self.fall_ms > 0 and self.fallen_ms > 0, "cold.fall_ms, cold.fallen_ms", "must be above 0")


class Fault(Enum):
    DOWN = "down"  # connections are refused, open ones end
    HUNG = "hung"  # takes calls and answers nothing; they have their effect
    SILENT = "silent"  # connections never come up, open ones say nothing; no call arrives
    SHUT = "shut"  # refuses every call
    FAILING = "failing"  # `size` of the calls end with an error
    BROWN = "brown"  # calls take `size` times as long
    LOWERED = "lowered"  # `size` of its rate is left

    @property
    def outage(self) -> bool:
        """It is cold after it."""
        return self not in (Fault.BROWN, Fault.LOWERED)


@dataclass(frozen=True, slots=True)
class Trouble:
    fault: Fault
    begin_ms: float
    end_ms: float
    size: float = 1.0

    def __post_init__(self) -> None:
        need(0 <= self.begin_ms < self.end_ms, "trouble.end_ms", "must come after begin_ms, and that after 0")
        if self.fault in (Fault.FAILING, Fault.LOWERED):
            need(0 < self.size <= 1, "trouble.size", f"must lie in 0 (excluded) to 1 for {self.fault.value}")
        if self.fault is Fault.BROWN:
            need(self.size >= 1, "trouble.size", "must be 1 or more for brown")


@dataclass(frozen=True, slots=True)
class Spec:
    rate: Rate | None = None
    slots: int | None = None  # calls served at once; None: any number
    queue: int = 0  # calls that wait for a slot, at most; above it they are refused
    service: Service = Service()
    cold: Cold = Cold()
    key_window_ms: float = 0.0  # a key that came again within it has no effect again; 0: keys are not kept
    refuse: float = 0.0  # chance of a refusal for no reason
    error: float = 0.0  # chance of an error, half of them with an effect
    reset: float = 0.0  # chance that the answer is lost although the call took effect
    hang: float = 0.0  # chance that it never comes, although the call took effect
    troubles: tuple[Trouble, ...] = field(default=())

    def __post_init__(self) -> None:
        need(self.slots is None or self.slots >= 1, "slots", "must be 1 or more")
        need(self.queue >= 0, "queue", "must not be negative")
        need(self.key_window_ms >= 0, "key_window_ms", "must not be negative")
        for name in ("refuse", "error", "reset", "hang"):
            need(0 <= getattr(self, name) <= 1, name, "must lie in 0 to 1")
        together = self.refuse + self.error + self.reset + self.hang
        need(together <= 1, "refuse, error, reset, hang", "must make 1 together at most")

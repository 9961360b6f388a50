"""Fleet size: determines when an instance applies a new number of instances, or a step of the shared clock.

No I/O. Instances learn of a change one after another, in any order. While some still use the old size, all of
them together must not exceed a destination's rate. Therefore a smaller share is applied at once, and a larger
one only after all instances have learned of the change and the leaving ones have left (`settle_ms`).
"""

from __future__ import annotations

from dataclasses import dataclass

from ..decisions.model import Fleet

CLOCK_STEP_MS = (
    5.0  # a larger offset change means that the shared clock was set; time slots are at least 17 ms apart
)


@dataclass
class FleetSize:
    """This instance's number, and the fleet size that determines its share of rates."""

    number: int
    counted_size: int  # fleet size in use
    clock_ms: float
    pending_size: int = 0  # new size from the operator's file, in use from `pending_from` on; 0: none
    pending_from: float = 0.0

    def request_size(self, now: float, size: int, settle_ms: float) -> bool:
        """Requests a new fleet size. Returns False if this instance is not part of it and must retire."""
        if self.number >= size:
            return False
        if size != (self.pending_size or self.counted_size):
            self.pending_size = size
            self.pending_from = now if size >= self.counted_size else now + settle_ms
        return True

    def poll(self, now: float, clock_ms: float) -> Fleet | None:
        """Return the event for the scheduler if size or clock have changed; called periodically."""
        changed = abs(clock_ms - self.clock_ms) > CLOCK_STEP_MS
        if changed:
            self.clock_ms = clock_ms
        if self.pending_size and now >= self.pending_from:
            changed = changed or self.counted_size != self.pending_size
            self.counted_size, self.pending_size = self.pending_size, 0
        return Fleet(self.number, self.counted_size, self.clock_ms) if changed else None

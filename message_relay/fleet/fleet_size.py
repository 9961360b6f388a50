"""Fleet size: when an instance applies another number of instances, or another reading of the clock.

No I/O. Instances learn of a change one after the other, in any order. While some still count with the old
number, all of them together must not exceed a destination's rate: a smaller share is applied at once, a
larger one only after all have learned of the change and those that leave have left (`settle_ms`).
"""

from __future__ import annotations

from dataclasses import dataclass

from ..decisions.model import Fleet

CLOCK_STEP_MS = (
    5.0  # the shared clock has been set if it moved by more against ours: slots are 17 ms and more apart
)


@dataclass
class FleetSize:
    """This instance's number, and the fleet size by which it computes its share."""

    number: int
    counted_size: int  # as it counts now
    clock_ms: float
    pending_size: int = 0  # as the operator's file says, from `due` on
    pending_from: float = 0.0

    def request_size(self, now: float, size: int, settle_ms: float) -> bool:
        """Applies the operator's size. False: this instance is not part of it, and has to retire."""
        if self.number >= size:
            return False
        if size != (self.pending_size or self.counted_size):
            self.pending_size = size
            self.pending_from = now if size >= self.counted_size else now + settle_ms
        return True

    def poll(self, now: float, clock_ms: float) -> Fleet | None:
        """Called periodically; the event for the scheduler if size or clock have changed."""
        changed = abs(clock_ms - self.clock_ms) > CLOCK_STEP_MS
        if changed:
            self.clock_ms = clock_ms
        if self.pending_size and now >= self.pending_from:
            changed = changed or self.counted_size != self.pending_size
            self.counted_size, self.pending_size = self.pending_size, 0
        return Fleet(self.number, self.counted_size, self.clock_ms) if changed else None

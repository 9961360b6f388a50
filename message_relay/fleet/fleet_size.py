"""When an instance takes up another number of instances, and another reading of the shared clock. No I/O.

Instances hear of a change one after the other, and in any order. While some still count with the old number,
all of them together must not pass a partner's rate: a smaller part is taken up at once, a larger one only
after all have heard of it and those that leave have left (`settle_ms`)."""

from __future__ import annotations

from dataclasses import dataclass

from ..decisions.model import Fleet

STEP_MS = (
    5.0  # the shared clock has been set if it moved by more against ours: slots are 17 ms and more apart
)


@dataclass
class FleetSize:
    """This instance's number, and how many it takes part among."""

    number: int
    size: int  # as it counts now
    clock_ms: float
    wanted: int = 0  # as the operator's file says, from `due` on
    due: float = 0.0

    def told(self, now: float, size: int, settle_ms: float) -> bool:
        """The file names so many. False: this one is not among them, and has to retire."""
        if self.number >= size:
            return False
        if size != (self.wanted or self.size):
            self.wanted = size
            self.due = now if size >= self.size else now + settle_ms
        return True

    def look(self, now: float, clock_ms: float) -> Fleet | None:
        """Called now and then: what the decisions have to be told, if anything has changed."""
        changed = abs(clock_ms - self.clock_ms) > STEP_MS
        if changed:
            self.clock_ms = clock_ms
        if self.wanted and now >= self.due:
            changed = changed or self.size != self.wanted
            self.size, self.wanted = self.wanted, 0
        return Fleet(self.number, self.size, self.clock_ms) if changed else None

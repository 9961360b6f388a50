"""A part of a partner's agreed rate, kept by instances that cannot speak to each other: each sends in its own
slots of a clock that all read, and opens as many as its own evidence allows (docs/design/fleet.md).
"""

from __future__ import annotations

import math

from .model import NEVER, Fleet, Safety

GUARD = 0.97  # of the agreed rate: a call may go out late in its slot, and a window may begin anywhere
SLOT_TOLERANCE_MS = 20.0  # so much later than its slot begins a call may still go out
SILENCE_TTL_MS = 4000.0  # no answer for so long: the partner may have been out (outages seen last longer),
EVIDENCE_TTL_SLOTS = 2.5  # unless fewer turns than this of its own have passed
WARM_UP_SHARE = 1.1  # of what a warming partner can do: instances that learn late leave as much of it unused
ROUNDING = 1e-6  # of a frame: rounding does not cost a slot
RECOVERY_POINT = (
    0.5  # of the time between a failure and the first answer: the partner came back at some moment in it
)
SEARCH_SLOTS = 64  # slots ahead in which an open one is sought: one in six is open at the least usual part
GOLDEN = (math.sqrt(5) - 1) / 2


class TimeSlotShare:
    """One instance's slots at one partner."""

    def __init__(self, fleet: Fleet, rate: float, safety: Safety) -> None:
        """`rate`: calls a second of all instances together."""
        self.fleet, self.initial_share, self.warm_up_ms = (
            fleet,
            max(safety.warm_up_initial_share, 0.01),
            safety.warm_up_ms,
        )
        self.last_slot_at = NEVER  # when the latest slot began in which it sent
        self.set_rate(rate)
        self.healthy_since: float | None = None  # when the evidence began that it still has
        self.last_failure_at = NEVER  # the latest failure
        self.evidence_valid_until = NEVER  # how long the latest answer says something
        self.next_frame, self.next_frame_at = (
            0,
            NEVER,
        )  # the frame that `next_at` told last, and when its slot begins

    def set_rate(self, rate: float) -> None:
        """Another rate: slots lie elsewhere now, and a whole frame lies after the last one used."""
        self.rate, self.frame_ms = rate, 1000 * self.fleet.size / (rate * GUARD)
        self.slot_tolerance_ms = min(SLOT_TOLERANCE_MS, self.frame_ms / 2)
        self.last_used_frame = -1  # the latest frame in which it may not send any more
        if self.last_slot_at > NEVER:
            place = (self.last_slot_at + self.fleet.clock_ms - self._offset()) / self.frame_ms
            self.last_used_frame = math.ceil(place - ROUNDING)
        self.phase = circle_position(self.fleet.number, self.fleet.size)

    def resize(self, fleet: Fleet) -> None:
        """Another number of instances, or another reading of the shared clock."""
        self.fleet = fleet
        self.set_rate(self.rate)

    def on_success(self, now: float) -> None:
        if self.healthy_since is None or now > self.evidence_valid_until:
            gap = now - self.last_failure_at
            known = gap < EVIDENCE_TTL_SLOTS * self.frame_ms / self.initial_share
            self.healthy_since = now - RECOVERY_POINT * gap if known else now
        self.evidence_valid_until = now  # the part that it has now counts
        self.evidence_valid_until = now + max(
            SILENCE_TTL_MS, EVIDENCE_TTL_SLOTS * self.frame_ms / self.open_share(now)
        )

    def on_failure(self, now: float, out: bool) -> None:
        """A call failed; where the partner is taken as out, the evidence counts no more."""
        self.last_failure_at = now
        if out:
            self.healthy_since = None

    def open_share(self, at: float) -> float:
        """Share of its slots that it may use at a time, if nothing more is learned until then."""
        if self.healthy_since is None or at > self.evidence_valid_until:
            return self.initial_share
        if at >= self.healthy_since + self.warm_up_ms:
            return 1.0
        warm = (at - self.healthy_since) / self.warm_up_ms
        return min(1.0, WARM_UP_SHARE * (self.initial_share + (1 - self.initial_share) * warm))

    def next_slot_at(self, now: float) -> float:
        """When it may send next: now, or when its next open slot begins."""
        begun = math.floor(
            (now + self.fleet.clock_ms - self.slot_tolerance_ms - self._offset()) / self.frame_ms
        )
        first = max(begun, self.last_used_frame) + 1
        for self.next_frame in range(first, first + SEARCH_SLOTS):
            self.next_frame_at = self.next_frame * self.frame_ms + self._offset() - self.fleet.clock_ms
            if self._is_open(self.next_frame, self.open_share(max(now, self.next_frame_at))):
                break
        return max(now, self.next_frame_at)

    def mark_used(self) -> None:
        """The slot that was told last is used."""
        self.last_used_frame, self.last_slot_at = self.next_frame, self.next_frame_at

    def _offset(self) -> float:
        return self.fleet.number * self.frame_ms / self.fleet.size

    def _is_open(self, frame: int, part: float) -> bool:
        """The instances lie evenly on a circle, and those on an arc as long as the part may send; the arc
        moves on with each frame. So of `size` instances at most `ceil(part * size)` send in a frame."""
        return (self.phase + frame * GOLDEN) % 1.0 < part


def circle_position(number: int, size: int) -> float:
    """An instance's place on the circle: neighbours there are far from each other in time."""
    step = next(k for k in range(max(1, round(size * GOLDEN)), size + 1) if math.gcd(k, size) == 1)
    return number * step % size / size

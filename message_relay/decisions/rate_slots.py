"""Time slots: one instance's part of an agreed rate that all instances keep together without communicating.

Time on a clock that all instances share is divided into frames, and each instance has one slot in a frame. It
may use each of its slots while the destination is healthy, and fewer while it has no evidence of that or the
destination warms up. See docs/design/fleet.md.
"""

from __future__ import annotations

import math

from .model import NEVER, Fleet, Safety

GUARD = 0.97  # of the agreed rate: a call may be late in its slot, and a limit's window may begin anywhere
SLOT_TOLERANCE_MS = 20.0  # a call may still be sent so much later than its slot begins
SILENCE_TTL_MS = (
    4000.0  # without an answer for so long the destination may have been out: outages last longer,
)
EVIDENCE_TTL_SLOTS = 2.5  # unless fewer of the instance's own slots than this have passed
WARM_UP_SHARE = 1.1  # of what it can take while warming up: instances that notice late leave as much unused
ROUNDING = 1e-6  # of a frame: rounding does not cost a slot
RECOVERY_POINT = 0.5  # of the time between a failure and the next success: when the destination came back
SEARCH_SLOTS = (
    64  # slots ahead in which an open one is searched: one in six is open at the lowest usual share
)
MIN_INITIAL_SHARE = 0.01
GOLDEN = (math.sqrt(5) - 1) / 2


class TimeSlotShare:
    """One instance's slots at one destination."""

    def __init__(self, fleet: Fleet, rate: float, safety: Safety) -> None:
        """`rate`: calls a second of all instances together."""
        self.fleet = fleet
        self.initial_share = max(safety.warm_up_initial_share, MIN_INITIAL_SHARE)
        self.warm_up_ms = safety.warm_up_ms
        self.last_slot_at = NEVER  # when the latest slot began in which it sent
        self.set_rate(rate)
        self.healthy_since: float | None = None  # start of the current evidence that the destination is up
        self.last_failure_at = NEVER
        self.evidence_valid_until = NEVER
        self.next_frame = 0  # the latest result of `next_slot_at`,
        self.next_frame_at = NEVER  # and when its slot begins

    def set_rate(self, rate: float) -> None:
        """Sets another rate: slots move, and a full frame has to pass after the last one used."""
        self.rate = rate
        self.frame_ms = 1000 * self.fleet.size / (rate * GUARD)
        self.slot_tolerance_ms = min(SLOT_TOLERANCE_MS, self.frame_ms / 2)
        self.last_used_frame = -1  # no slot up to this frame's may be used any more
        if self.last_slot_at > NEVER:
            position = (self.last_slot_at + self.fleet.clock_ms - self._offset()) / self.frame_ms
            self.last_used_frame = math.ceil(position - ROUNDING)
        self.phase = circle_position(self.fleet.number, self.fleet.size)

    def resize(self, fleet: Fleet) -> None:
        """Sets another number of instances, or another reading of the shared clock."""
        self.fleet = fleet
        self.set_rate(self.rate)

    def on_success(self, now: float) -> None:
        """Renews the evidence that the destination is up."""
        if self.healthy_since is None or now > self.evidence_valid_until:
            gap_ms = now - self.last_failure_at
            was_failure_recent = gap_ms < EVIDENCE_TTL_SLOTS * self.frame_ms / self.initial_share
            self.healthy_since = now - RECOVERY_POINT * gap_ms if was_failure_recent else now
        self.evidence_valid_until = now  # `open_share` is to count with the evidence there is now
        valid_ms = max(SILENCE_TTL_MS, EVIDENCE_TTL_SLOTS * self.frame_ms / self.open_share(now))
        self.evidence_valid_until = now + valid_ms

    def on_failure(self, now: float, is_ejected: bool) -> None:
        """Notes a failed call; the evidence is void once the destination is ejected."""
        self.last_failure_at = now
        if is_ejected:
            self.healthy_since = None

    def open_share(self, at: float) -> float:
        """Share of its slots that it may use at a time, without further evidence until then."""
        if self.healthy_since is None or at > self.evidence_valid_until:
            return self.initial_share
        if at >= self.healthy_since + self.warm_up_ms:
            return 1.0
        progress = (at - self.healthy_since) / self.warm_up_ms
        return min(1.0, WARM_UP_SHARE * (self.initial_share + (1 - self.initial_share) * progress))

    def next_slot_at(self, now: float) -> float:
        """When it may send next: now, or when its next open slot begins."""
        shared_now = now + self.fleet.clock_ms
        latest = math.floor((shared_now - self.slot_tolerance_ms - self._offset()) / self.frame_ms)
        first = max(latest, self.last_used_frame) + 1
        for self.next_frame in range(first, first + SEARCH_SLOTS):
            self.next_frame_at = self.next_frame * self.frame_ms + self._offset() - self.fleet.clock_ms
            if self._is_open(self.next_frame, self.open_share(max(now, self.next_frame_at))):
                break
        return max(now, self.next_frame_at)

    def mark_used(self) -> None:
        """Uses the slot that `next_slot_at` has returned."""
        self.last_used_frame = self.next_frame
        self.last_slot_at = self.next_frame_at

    def _offset(self) -> float:
        return self.fleet.number * self.frame_ms / self.fleet.size

    def _is_open(self, frame: int, share: float) -> bool:
        """Whether its slot in a frame may be used.

        The instances are evenly spaced on a circle, and those on an arc as long as the share may send; the
        arc moves on with each frame. So of `size` instances at most `ceil(share * size)` send in a frame.
        """
        return (self.phase + frame * GOLDEN) % 1.0 < share


def circle_position(number: int, size: int) -> float:
    """An instance's position on the circle: neighbours there have slots far from each other in time."""
    step = next(k for k in range(max(1, round(size * GOLDEN)), size + 1) if math.gcd(k, size) == 1)
    return number * step % size / size

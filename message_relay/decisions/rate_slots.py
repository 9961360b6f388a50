"""Time slots: one instance's share of an agreed rate that all instances keep together without communicating.

Time on a clock that all instances share is divided into frames, and each instance has one slot in each frame.
It may use all of its slots while the destination is healthy, and fewer while it has no evidence of that or
the destination warms up. See docs/design/fleet.md.
"""

from __future__ import annotations

import math

from .model import NEVER, Fleet, Safety

GUARD = 0.97  # used part of the agreed rate: a call may be late in its slot, a limit's window begin anywhere
SLOT_TOLERANCE_MS = 20.0  # a call may be sent up to this long after its slot begins
SILENCE_TTL_MS = 4000.0  # evidence of health expires after this time without a success: outages last longer,
EVIDENCE_TTL_SLOTS = 2.5  # but not before this many of the instance's own slots have passed
WARM_UP_SHARE = 1.1  # of a warming destination's capacity: instances that notice late leave as much unused
ROUNDING = 1e-6  # part of a frame: a rounding error must not cost a slot
RECOVERY_POINT = 0.5  # assumed time of recovery, as a part of the time from a failure to the next success
SEARCH_SLOTS = 64  # slots searched ahead for an open one: one in six is open at the lowest usual share
MIN_INITIAL_SHARE = 0.01
GOLDEN = (math.sqrt(5) - 1) / 2


class TimeSlotShare:
    """One instance's slots at one destination."""

    def __init__(self, fleet: Fleet, rate: float, safety: Safety) -> None:
        """`rate`: calls per second of all instances together."""
        self.fleet = fleet
        self.initial_share = max(safety.warm_up_initial_share, MIN_INITIAL_SHARE)
        self.warm_up_ms = safety.warm_up_ms
        self.last_slot_at = NEVER  # start of the latest slot used
        self.set_rate(rate)
        self.healthy_since: float | None = None  # start of the current evidence that the destination is up
        self.last_failure_at = NEVER
        self.evidence_valid_until = NEVER
        self.next_frame = 0  # frame of the slot that `next_slot_at` found,
        self.next_frame_at = NEVER  # and the start of that slot

    def set_rate(self, rate: float) -> None:
        """Sets a new rate: slots move, and a full frame has to pass after the last slot used."""
        self.rate = rate
        self.frame_ms = 1000 * self.fleet.size / (rate * GUARD)
        self.slot_tolerance_ms = min(SLOT_TOLERANCE_MS, self.frame_ms / 2)
        self.last_used_frame = -1  # slots up to and including this frame may no longer be used
        if self.last_slot_at > NEVER:
            position = (self.last_slot_at + self.fleet.clock_ms - self._offset()) / self.frame_ms
            self.last_used_frame = math.ceil(position - ROUNDING)
        self.phase = circle_position(self.fleet.number, self.fleet.size)

    def resize(self, fleet: Fleet) -> None:
        """Sets a new number of instances, or a new offset of the shared clock."""
        self.fleet = fleet
        self.set_rate(self.rate)

    def on_success(self, now: float) -> None:
        """Renews the evidence that the destination is up."""
        if self.healthy_since is None or now > self.evidence_valid_until:
            gap_ms = now - self.last_failure_at
            was_failure_recent = gap_ms < EVIDENCE_TTL_SLOTS * self.frame_ms / self.initial_share
            self.healthy_since = now - RECOVERY_POINT * gap_ms if was_failure_recent else now
        self.evidence_valid_until = now  # so that `open_share` uses the current evidence
        valid_ms = max(SILENCE_TTL_MS, EVIDENCE_TTL_SLOTS * self.frame_ms / self.open_share(now))
        self.evidence_valid_until = now + valid_ms

    def on_failure(self, now: float, is_ejected: bool) -> None:
        """Records a failed call; evidence of health is discarded once the destination is ejected."""
        self.last_failure_at = now
        if is_ejected:
            self.healthy_since = None

    def open_share(self, at: float) -> float:
        """Returns the share of its slots that may be used at a time, without further evidence until then."""
        if self.healthy_since is None or at > self.evidence_valid_until:
            return self.initial_share
        if at >= self.healthy_since + self.warm_up_ms:
            return 1.0
        progress = (at - self.healthy_since) / self.warm_up_ms
        return min(1.0, WARM_UP_SHARE * (self.initial_share + (1 - self.initial_share) * progress))

    def next_slot_at(self, now: float) -> float:
        """Returns when the instance may send next: now, or when its next open slot begins."""
        shared_now = now + self.fleet.clock_ms
        latest = math.floor((shared_now - self.slot_tolerance_ms - self._offset()) / self.frame_ms)
        first = max(latest, self.last_used_frame) + 1
        for self.next_frame in range(first, first + SEARCH_SLOTS):
            self.next_frame_at = self.next_frame * self.frame_ms + self._offset() - self.fleet.clock_ms
            if self._is_open(self.next_frame, self.open_share(max(now, self.next_frame_at))):
                break
        return max(now, self.next_frame_at)

    def mark_used(self) -> None:
        """Marks the slot last returned by `next_slot_at` as used."""
        self.last_used_frame = self.next_frame
        self.last_slot_at = self.next_frame_at

    def _offset(self) -> float:
        return self.fleet.number * self.frame_ms / self.fleet.size

    def _is_open(self, frame: int, share: float) -> bool:
        """Returns whether the instance's slot in a frame may be used.

        The instances are evenly spaced on a circle, and those on an arc whose length is the share may send;
        the arc moves with each frame. So at most `ceil(share * size)` of `size` instances send in a frame.
        """
        return (self.phase + frame * GOLDEN) % 1.0 < share


def circle_position(number: int, size: int) -> float:
    """Returns an instance's position on the circle: neighbours on it have slots far apart in time."""
    step = next(k for k in range(max(1, round(size * GOLDEN)), size + 1) if math.gcd(k, size) == 1)
    return number * step % size / size

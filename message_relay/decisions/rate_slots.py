"""A part of a partner's agreed rate, kept by instances that cannot speak to each other: each sends in its own
slots of a clock that all read, and opens as many as its own evidence allows (docs/design/fleet.md).
"""

from __future__ import annotations

import math

from .model import NEVER, Fleet, Safety

GUARD = 0.97  # of the agreed rate: a call may go out late in its slot, and a window may begin anywhere
LATE_MS = 20.0  # so much later than its slot begins a call may still go out
SILENCE_MS = 4000.0  # no answer for so long: the partner may have been out (outages seen last longer),
SILENT_TURNS = 2.5  # unless fewer turns than this of its own have passed
WARMING = 1.1  # of what a warming partner can do: instances that learn late leave as much of it unused
EDGE = 1e-6  # of a frame: rounding does not cost a slot
MIDDLE = 0.5  # of the time between a failure and the first answer: the partner came back at some moment in it
SEARCH = 64  # slots ahead in which an open one is sought: one in six is open at the least usual part
GOLDEN = (math.sqrt(5) - 1) / 2


class TimeSlotShare:
    """One instance's slots at one partner."""

    def __init__(self, fleet: Fleet, rate: float, safety: Safety) -> None:
        """`rate`: calls a second of all instances together."""
        self.fleet, self.cold, self.cold_ms = fleet, max(safety.cold_share, 0.01), safety.cold_ms
        self.sent_at = NEVER  # when the latest slot began in which it sent
        self.rated(rate)
        self.since: float | None = None  # when the evidence began that it still has
        self.failed_at = NEVER  # the latest failure
        self.good_until = NEVER  # how long the latest answer says something
        self.found, self.begins = 0, NEVER  # the frame that `next_at` told last, and when its slot begins

    def rated(self, rate: float) -> None:
        """Another rate: slots lie elsewhere now, and a whole frame lies after the last one used."""
        self.rate, self.frame_ms = rate, 1000 * self.fleet.size / (rate * GUARD)
        self.late_ms = min(LATE_MS, self.frame_ms / 2)
        self.used = -1  # the latest frame in which it may not send any more
        if self.sent_at > NEVER:
            place = (self.sent_at + self.fleet.clock_ms - self._offset()) / self.frame_ms
            self.used = math.ceil(place - EDGE)
        self.turn = spread(self.fleet.number, self.fleet.size)

    def resized(self, fleet: Fleet) -> None:
        """Another number of instances, or another reading of the shared clock."""
        self.fleet = fleet
        self.rated(self.rate)

    def answered(self, now: float) -> None:
        if self.since is None or now > self.good_until:
            gap = now - self.failed_at
            known = gap < SILENT_TURNS * self.frame_ms / self.cold
            self.since = now - MIDDLE * gap if known else now
        self.good_until = now  # the part that it has now counts
        self.good_until = now + max(SILENCE_MS, SILENT_TURNS * self.frame_ms / self.part(now))

    def failed(self, now: float, out: bool) -> None:
        """A call failed; where the partner is taken as out, the evidence counts no more."""
        self.failed_at = now
        if out:
            self.since = None

    def part(self, at: float) -> float:
        """Share of its slots that it may use at a time, if nothing more is learned until then."""
        if self.since is None or at > self.good_until:
            return self.cold
        if at >= self.since + self.cold_ms:
            return 1.0
        warm = (at - self.since) / self.cold_ms
        return min(1.0, WARMING * (self.cold + (1 - self.cold) * warm))

    def next_at(self, now: float) -> float:
        """When it may send next: now, or when its next open slot begins."""
        begun = math.floor((now + self.fleet.clock_ms - self.late_ms - self._offset()) / self.frame_ms)
        first = max(begun, self.used) + 1
        for self.found in range(first, first + SEARCH):
            self.begins = self.found * self.frame_ms + self._offset() - self.fleet.clock_ms
            if self._open(self.found, self.part(max(now, self.begins))):
                break
        return max(now, self.begins)

    def sent(self) -> None:
        """The slot that was told last is used."""
        self.used, self.sent_at = self.found, self.begins

    def _offset(self) -> float:
        return self.fleet.number * self.frame_ms / self.fleet.size

    def _open(self, frame: int, part: float) -> bool:
        """The instances lie evenly on a circle, and those on an arc as long as the part may send; the arc
        moves on with each frame. So of `size` instances at most `ceil(part * size)` send in a frame."""
        return (self.turn + frame * GOLDEN) % 1.0 < part


def spread(number: int, size: int) -> float:
    """An instance's place on the circle: neighbours there are far from each other in time."""
    step = next(k for k in range(max(1, round(size * GOLDEN)), size + 1) if math.gcd(k, size) == 1)
    return number * step % size / size

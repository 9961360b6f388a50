"""Answers of many packets, sent in spurts. No I/O; the clock is passed in, in seconds.

A receiver's socket holds some ninety packets of this size until its process has a turn (212,992 bytes, of
which the system counts 2,304 for each), and all that is known of 3,500 members is 260. A fleet that starts
asks its seeds for that all at once: so few are answered at a time, the others with what fits into one packet.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice

from .wire import Address, Sync

SPURT, SPURT_S = 32, 0.02  # packets at a time, and until the next ones: 1.6 MB a second at the most
AT_ONCE = 8  # answers that are under way: a second's worth of them for 3,500 members


class PacedReplies:
    def __init__(self) -> None:
        self.going: dict[Address, Iterator[Sync]] = {}
        self.at = 0.0  # when the next spurt is due, where one is

    def begin(self, to: Address, packets: Iterator[Sync]) -> bool:
        """Whether it is taken: not where too many are under way. One that asks again has its old one."""
        if to in self.going:
            return True
        if len(self.going) >= AT_ONCE:
            return False
        self.going[to] = packets
        return True

    def spurt(self, now: float) -> list[tuple[Address, Sync]]:
        """What is to be sent now, to one after the other in turn."""
        if not self.going or now < self.at:
            return []
        to = next(iter(self.going))
        packets = self.going.pop(to)
        found = list(islice(packets, SPURT))
        if len(found) == SPURT:
            self.going[to] = packets  # behind the others
        self.at = now + SPURT_S
        return [(to, each) for each in found]

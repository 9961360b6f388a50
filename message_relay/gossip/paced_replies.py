"""Answers of many packets, sent in spurts. No I/O; the clock is passed in, in seconds.

A receiver's socket holds some ninety packets of this size until its process has a turn (212,992 bytes, of
which the system counts 2,304 for each), and all that is known of 3,500 members is 260. A fleet that starts
asks its seeds for that all at once: so few are answered at a time, the others with what fits into one packet.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice

from .wire import Address, Sync

BURST_PACKETS, BURST_INTERVAL_S = (
    32,
    0.02,
)  # packets at a time, and until the next ones: 1.6 MB a second at the most
CONCURRENT_REPLIES_MAX = 8  # answers that are under way: a second's worth of them for 3,500 members


class PacedReplies:
    def __init__(self) -> None:
        self.in_progress: dict[Address, Iterator[Sync]] = {}
        self.next_burst_at = 0.0  # when the next spurt is due, where one is

    def start(self, to: Address, packets: Iterator[Sync]) -> bool:
        """Whether it is taken: not where too many are under way. One that asks again has its old one."""
        if to in self.in_progress:
            return True
        if len(self.in_progress) >= CONCURRENT_REPLIES_MAX:
            return False
        self.in_progress[to] = packets
        return True

    def next_burst(self, now: float) -> list[tuple[Address, Sync]]:
        """What is to be sent now, to one after the other in turn."""
        if not self.in_progress or now < self.next_burst_at:
            return []
        to = next(iter(self.in_progress))
        packets = self.in_progress.pop(to)
        found = list(islice(packets, BURST_PACKETS))
        if len(found) == BURST_PACKETS:
            self.in_progress[to] = packets  # behind the others
        self.next_burst_at = now + BURST_INTERVAL_S
        return [(to, each) for each in found]

"""Rate-limited replies: replies of many packets, sent in bursts. No I/O; the clock is passed in, in seconds.

A receiver's socket buffer holds some ninety packets of this size until its process reads them (212,992 bytes,
of which the system counts 2,304 for each), and all claims about 3,500 members need 260. A fleet that starts
requests them from its seeds all at once: so only a few requests receive a full reply at a time, the others
receive a single packet.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice

from .wire import Address, Sync

BURST_PACKETS = 32
BURST_INTERVAL_S = 0.02  # between bursts: 1.6 MB a second at most
CONCURRENT_REPLIES_MAX = 8  # replies in progress: a second's worth of them for 3,500 members


class RateLimitedReplies:
    """Replies in progress, by recipient, sent in turn."""

    def __init__(self) -> None:
        self.in_progress: dict[Address, Iterator[Sync]] = {}
        self.next_burst_at = 0.0  # valid while a reply is in progress

    def start(self, recipient: Address, packets: Iterator[Sync]) -> bool:
        """Start a reply; return False if too many are in progress. A repeated request starts no other."""
        if recipient in self.in_progress:
            return True
        if len(self.in_progress) >= CONCURRENT_REPLIES_MAX:
            return False
        self.in_progress[recipient] = packets
        return True

    def next_burst(self, now: float) -> list[tuple[Address, Sync]]:
        """Return the packets that are due now, all for the next recipient in turn."""
        if not self.in_progress or now < self.next_burst_at:
            return []
        recipient = next(iter(self.in_progress))
        packets = self.in_progress.pop(recipient)
        burst = list(islice(packets, BURST_PACKETS))
        if len(burst) == BURST_PACKETS:
            self.in_progress[recipient] = packets  # behind the others
        self.next_burst_at = now + BURST_INTERVAL_S
        return [(recipient, packet) for packet in burst]

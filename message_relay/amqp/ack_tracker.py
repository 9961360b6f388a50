"""Which acknowledgements of a channel the broker is known to have processed. It does no I/O.

AMQP 0-9-1 has no reply to basic.ack, so an ack that was written may never be processed: the connection may
break before. But a broker processes the methods of a channel in order (specification, 4.7). So the reply to a
synchronous method proves that all acks sent before that method on the same channel were processed, and that
none of their messages will be delivered again.
"""

from __future__ import annotations

from collections import deque


class AckTracker:
    """The tracked acks of one channel, by delivery tag, in the order in which they were sent."""

    def __init__(self) -> None:
        self.latest: list[int] = []  # sent since the latest synchronous method
        self.batches: deque[list[int]] = deque()  # sent before each synchronous method that has no reply yet

    def add(self, tag: int) -> None:
        """Notes that an ack was sent."""
        self.latest.append(tag)

    def start_batch(self) -> bool:
        """Notes that a synchronous method is sent now; returns False if it would prove no ack."""
        if not self.latest:
            return False
        self.batches.append(self.latest)
        self.latest = []
        return True

    def finish_batch(self) -> list[int]:
        """Returns the tags whose processing is proved by the reply to the oldest synchronous method."""
        return self.batches.popleft()

    def finish_all(self) -> list[int]:
        """Returns all tags: the reply to channel.close was received, and nothing follows it."""
        tags = [tag for batch in self.batches for tag in batch] + self.latest
        self.clear()
        return tags

    def clear(self) -> None:
        """Forgets all acks: whether they were processed will never be known."""
        self.batches.clear()
        self.latest = []

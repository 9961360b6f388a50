"""Shares the time of the event loop among connections whose input takes long to parse."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

MAX_TURN_S = 0.005  # parsing in one iteration of the loop


class Parsing(Protocol):
    """A connection with unparsed input."""

    def parse_some(self) -> bool:
        """Parses a bounded part of the input; returns whether there is more to parse now."""


class ParseTurns:
    """Parses input at once while there is time in this iteration of the loop, else in the next ones.

    New input goes before the remainder of long input; at least one part of each is parsed per iteration.
    """

    def __init__(self) -> None:
        self.new: deque[Parsing] = deque()
        self.continued: deque[Parsing] = deque()
        self.spent_s = 0.0
        self.is_scheduled = False

    def parse(self, connection: Parsing) -> bool:
        """Parses a part now, or queues the connection; returns whether it is queued."""
        self._schedule()
        if self.new or self.spent_s >= MAX_TURN_S:
            self.new.append(connection)
            return True
        return self._parse_part(connection)

    def _parse_part(self, connection: Parsing) -> bool:
        clock = asyncio.get_running_loop().time
        started_at = clock()
        has_more = connection.parse_some()
        self.spent_s += clock() - started_at
        if has_more:
            self.continued.append(connection)
        return has_more

    def _schedule(self) -> None:
        if not self.is_scheduled:
            self.is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self.is_scheduled = False
        self.spent_s = 0.0
        for queue in (self.new, self.continued):
            if queue:
                self._parse_part(queue.popleft())
        while (self.new or self.continued) and self.spent_s < MAX_TURN_S:
            self._parse_part((self.new or self.continued).popleft())
        if self.new or self.continued:
            self._schedule()

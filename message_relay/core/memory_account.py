"""Accounts of the memory that peers make a process hold: charged before the bytes are kept."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..structured_logging import LogEvent
from .log_limit import LogLimit

log = logging.getLogger(__name__)


class MemoryAccount:
    """Bytes held under one name, up to a limit."""

    def __init__(self, name: str, limit_bytes: int, clock: Callable[[], float]) -> None:
        """`clock` returns seconds."""
        self.name = name
        self.limit_bytes = limit_bytes
        self.clock = clock
        self.used_bytes = 0
        self.peak_bytes = 0
        self.refused_count = 0
        self._log_limit = LogLimit()

    def charge(self, size: int) -> bool:
        """Charges `size` more bytes; returns False and changes nothing if they exceed the limit."""
        if size > 0 and self.used_bytes + size > self.limit_bytes:
            return False
        self.used_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)
        return True

    def release(self, size: int) -> None:
        """Gives back what was charged."""
        self.used_bytes -= size

    def record_refusal(self) -> None:
        """Counts a peer that was turned away for lack of memory; logged once an interval."""
        self.refused_count += 1
        if self._log_limit.add(self.clock()):
            log.warning(
                LogEvent(
                    "memory share exhausted",
                    share=self.name,
                    used=self.used_bytes,
                    limit=self.limit_bytes,
                    refused=self.refused_count,
                )
            )

"""The memory of all unfinished requests, shared among their connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..core.memory_account import MemoryAccount
from . import client_limits


class RequestHolder(Protocol):
    """A connection with an unfinished request."""

    @property
    def request_started_at(self) -> float:
        """When the first bytes of the request arrived, in seconds."""

    def end_slow_request(self) -> None:
        """End the request, whose memory others need."""


class InputBudget:
    """Charges each unfinished request to one account, and ends old ones when there is no room for another."""

    def __init__(self, account: MemoryAccount, clock: Callable[[], float]) -> None:
        """`clock` returns seconds."""
        self.account = account
        self.clock = clock
        self.held_bytes: dict[RequestHolder, int] = {}  # longest held first

    def hold(self, holder: RequestHolder, size: int) -> bool:
        """Change the charge of a request to `size` bytes.

        Returns False, and changes nothing, if there is no room and no other request is old enough to end.
        """
        while not self.account.charge(size - self.held_bytes.get(holder, 0)):
            self.account.record_refusal()
            oldest = next(iter(self.held_bytes), None)
            if oldest is None or oldest is holder:
                return False
            if self.clock() - oldest.request_started_at < client_limits.MIN_RECEIVE_S:
                return False
            oldest.end_slow_request()
        self.held_bytes[holder] = size
        return True

    def release(self, holder: RequestHolder) -> None:
        """Give back what a request holds, if anything."""
        self.account.release(self.held_bytes.pop(holder, 0))

"""Reports what holds the memory of a relay: by share, in the status and in the log."""

from __future__ import annotations

import asyncio
import logging

import msgspec

from .core.log_limit import LogLimit
from .core.memory_account import MemoryAccount
from .core.memory_plan import CLIENT_BYTES, ENDPOINT_BYTES, MemoryPlan
from .core.relay import Relay
from .process_memory import resident_bytes
from .structured_logging import LogEvent

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.5
WARNING_SHARE = 0.9  # of the limit


class MemoryShare(msgspec.Struct, frozen=True):
    """One share of the memory limit."""

    used_bytes: int
    limit_bytes: int


class MemoryWatch:
    """Compares the use of each share with the plan."""

    def __init__(self, relay: Relay, plan: MemoryPlan, input_account: MemoryAccount) -> None:
        self.relay = relay
        self.plan = plan
        self.input_account = input_account
        self._warning_limit = LogLimit()

    def shares(self) -> dict[str, MemoryShare]:
        """Returns the use and the limit of each share."""
        relay, plan, journal = self.relay, self.plan, self.relay.journal
        endpoint_count = len(relay.directory.by_number)
        return {
            "files": MemoryShare(journal.disk_bytes, plan.files_bytes),
            "clients": MemoryShare(relay.open_requests * CLIENT_BYTES, plan.max_clients * CLIENT_BYTES),
            "input": MemoryShare(self.input_account.used_bytes, self.input_account.limit_bytes),
            "lists": MemoryShare(endpoint_count * ENDPOINT_BYTES, plan.lists_bytes),
            "messages": MemoryShare(journal.memory_bytes, plan.messages_bytes_beside(endpoint_count)),
        }

    def log_plan(self) -> None:
        """Logs the limits once, at the start."""
        limits = {name: share.limit_bytes for name, share in self.shares().items()}
        program = self.plan.program_bytes
        log.info(LogEvent("memory plan", limit=self.plan.limit_bytes, program=program, **limits))

    async def run(self) -> None:
        """Warns, until it is cancelled, while the process is close to its limit."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            resident = resident_bytes()
            if resident < WARNING_SHARE * self.plan.limit_bytes:
                continue
            if self._warning_limit.add(asyncio.get_running_loop().time()):
                used = {name: share.used_bytes for name, share in self.shares().items()}
                limit = self.plan.limit_bytes
                log.warning(LogEvent("memory close to its limit", resident=resident, limit=limit, **used))

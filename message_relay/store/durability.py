"""Durability: determines which records survive a power cut. One thread syncs many records with each call.

| setting | what is on the disk after a power cut |
| --- | --- |
| none | what the operating system had written on its own; a killed process still loses nothing |
| interval | all but the last `sync_ms` plus one sync: messages of that time may be lost or sent again |
| group | all that was promised: a 202, a first byte and a final outcome wait for their sync |

A segment is unlinked only once the copies of its messages are durable. A failed sync may have lost data, and
the next sync would not report it (the operating system drops such pages). Therefore all messages are then
rewritten to another file."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from ..structured_logging import LogEvent
from .file_store import FileStore

log = logging.getLogger(__name__)

RETRY_DELAY_S = 0.2  # delay after a failed sync


class SyncRound(NamedTuple):
    """One sync."""

    file_names: list[str]  # files that it has to cover
    sequence: int  # all records up to this one are durable after it


class Durability:
    """Tracks up to which record the log is durable, and completes the futures that wait for it."""

    def __init__(self, files: FileStore, sync_ms: float) -> None:
        """`sync_ms`: interval between syncs; 0: group commit, a sync whenever something waits for one."""
        self.files = files
        self.is_group_commit = sync_ms <= 0
        self.interval_s = sync_ms / 1000
        self.appended_sequence = 0  # of the latest appended record
        self.durable_sequence = 0  # of the latest durable record
        self.unsynced_files: dict[str, None] = {}
        self.waiters: deque[tuple[int, asyncio.Future[None]]] = deque()  # (sequence, future), ascending
        self.callbacks: deque[tuple[int, Callable[[], None]]] = deque()  # (sequence, callback), ascending
        self.has_unsynced = asyncio.Event()
        self.on_sync_failed: Callable[[], None] = lambda: None  # rewrites all messages
        self.executor = ThreadPoolExecutor(1, "sync")

    def record_appended(self, name: str, sequence: int) -> None:
        """Registers that a record was appended to a file."""
        self.unsynced_files[name] = None
        self.appended_sequence = sequence
        self.has_unsynced.set()

    def barrier(self) -> asyncio.Future[None] | None:
        """Return a future that completes once all appended records are durable; None: nothing has to wait."""
        if not self.is_group_commit or self.durable_sequence >= self.appended_sequence:
            return None
        if self.waiters and self.waiters[-1][0] == self.appended_sequence:
            return self.waiters[-1][1]
        future = asyncio.get_running_loop().create_future()
        self.waiters.append((self.appended_sequence, future))
        return future

    def call_when_durable(self, callback: Callable[[], None]) -> None:
        """Calls `callback` once all records appended so far are durable."""
        self.callbacks.append((self.appended_sequence, callback))

    async def run(self) -> None:
        """Syncs until it is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self.has_unsynced.wait()
            if not self.is_group_commit:
                await asyncio.sleep(self.interval_s)
            sync_round = self.start_sync()
            try:
                await loop.run_in_executor(self.executor, self.sync_files, sync_round.file_names)
            except OSError as error:
                log.error(LogEvent("journal sync failed", why=error))
                await asyncio.sleep(RETRY_DELAY_S)
                self.on_sync_failed()
                self.has_unsynced.set()
                continue
            self.mark_durable(sync_round.sequence)

    # -- one sync round, in three steps that tests can run one by one ------------------------------------

    def start_sync(self) -> SyncRound:
        """Determines what the next sync has to cover."""
        self.has_unsynced.clear()
        sync_round = SyncRound(list(self.unsynced_files), self.appended_sequence)
        self.unsynced_files.clear()
        return sync_round

    def sync_files(self, file_names: list[str]) -> None:
        """Syncs these files; runs on the thread. Raises OSError."""
        for name in file_names:
            with contextlib.suppress(FileNotFoundError):  # retired: a later file has copies of its messages
                self.files.sync(name)

    def mark_durable(self, sequence: int) -> None:
        """Registers that all records up to `sequence` are durable, and completes what waits for them."""
        self.durable_sequence = sequence
        while self.waiters and self.waiters[0][0] <= sequence:
            _, future = self.waiters.popleft()
            if not future.done():
                future.set_result(None)
        while self.callbacks and self.callbacks[0][0] <= sequence:
            _, callback = self.callbacks.popleft()
            callback()

    async def sync_remaining(self, timeout_s: float = 1.0) -> None:
        """Runs the last sync of a process that shuts down; a failure or time-out is logged."""
        loop = asyncio.get_running_loop()
        last_sync = loop.run_in_executor(self.executor, self.sync_files, list(self.unsynced_files))
        try:
            await asyncio.wait_for(last_sync, timeout_s)
        except (OSError, TimeoutError) as error:
            log.error(LogEvent("journal final sync failed", why=error))

    def close(self) -> None:
        """Cancels the remaining futures: their promises were not made."""
        for _, future in self.waiters:
            future.cancel()
        self.executor.shutdown(wait=False)

"""What outlasts a power cut, and when: syncs on a thread of their own, many records with each.

| setting | what is on the disk after a power cut |
| --- | --- |
| none | what the system had written by itself; a killed process loses nothing all the same |
| interval | all but the last `sync_ms` and a sync: a message of that time may be lost, or sent again |
| group | all that was promised: a 202, a first byte and a final answer wait for their sync |

A segment is unlinked only when what was copied out of it is on the disk. A sync that fails may have lost
what it was to write, and the next would not tell (the system forgets such pages): so all is written anew,
elsewhere."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from ..structured_logging import LogEvent
from .file_store import FileStore

log = logging.getLogger(__name__)

AGAIN_S = 0.2  # after a sync that failed


class Durability:
    def __init__(self, files: FileStore, sync_ms: float) -> None:
        """`sync_ms`: between one sync and the next; 0: whenever something waits, and all wait for it."""
        self.files, self.is_group_commit, self.interval_s = files, sync_ms <= 0, sync_ms / 1000
        self.appended_sequence = self.durable_sequence = (
            0  # sequence of the latest record that is appended, and that is safe
        )
        self.unsynced_files: dict[str, None] = {}  # files with records that are not
        self.waiters: deque[tuple[int, asyncio.Future[None]]] = deque()
        self.callbacks: deque[tuple[int, Callable[[], None]]] = deque()
        self.wake = asyncio.Event()
        self.on_sync_failed: Callable[[], None] = lambda: None  # writes all that is known once more
        self.executor = ThreadPoolExecutor(1, "sync")

    def record_appended(self, name: str, sequence: int) -> None:
        self.unsynced_files[name] = None
        self.appended_sequence = sequence
        self.wake.set()

    def barrier(self) -> asyncio.Future[None] | None:
        """Done when all that is written by now outlasts a power cut; None: nothing has to wait."""
        if not self.is_group_commit or self.durable_sequence >= self.appended_sequence:
            return None
        if self.waiters and self.waiters[-1][0] == self.appended_sequence:
            return self.waiters[-1][1]
        future = asyncio.get_running_loop().create_future()
        self.waiters.append((self.appended_sequence, future))
        return future

    def call_when_durable(self, call: Callable[[], None]) -> None:
        """Once what is written by now is safe."""
        self.callbacks.append((self.appended_sequence, call))

    async def run(self) -> None:
        """Never ends by itself."""
        loop = asyncio.get_running_loop()
        while True:
            await self.wake.wait()
            if not self.is_group_commit:
                await asyncio.sleep(self.interval_s)
            names, upto = self.start_sync()
            try:
                await loop.run_in_executor(self.executor, self.sync_files, names)
            except OSError as error:
                log.error(LogEvent("journal: a sync failed: all is written anew", why=error))
                await asyncio.sleep(AGAIN_S)
                self.on_sync_failed()
                self.wake.set()
                continue
            self.mark_durable(upto)

    # -- one round, in three steps: a test takes them by itself ------------------------------------------

    def start_sync(self) -> tuple[list[str], int]:
        """Files that the next sync has to cover, and the record up to which all is safe then."""
        self.wake.clear()
        names, upto = list(self.unsynced_files), self.appended_sequence
        self.unsynced_files.clear()
        return names, upto

    def sync_files(self, names: list[str]) -> None:
        """On the thread."""
        for name in names:
            with contextlib.suppress(FileNotFoundError):  # given up: what was in it lies in a later one
                self.files.sync(name)

    def mark_durable(self, upto: int) -> None:
        self.durable_sequence = upto
        while self.waiters and self.waiters[0][0] <= upto:
            future = self.waiters.popleft()[1]
            if not future.done():
                future.set_result(None)
        while self.callbacks and self.callbacks[0][0] <= upto:
            self.callbacks.popleft()[1]()

    async def sync_remaining(self, seconds: float = 1.0) -> None:
        """The last sync of a process that stops in an orderly way; takes no longer than told."""
        work = asyncio.get_running_loop().run_in_executor(
            self.executor, self.sync_files, list(self.unsynced_files)
        )
        try:
            await asyncio.wait_for(work, seconds)
        except (OSError, TimeoutError) as error:
            log.error(LogEvent("journal: the last sync did not come to its end", why=error))

    def close(self) -> None:
        """What still waits is never done: its promise was not made."""
        for _, future in self.waiters:
            future.cancel()
        self.executor.shutdown(wait=False)

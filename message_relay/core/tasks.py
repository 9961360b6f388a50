"""Background tasks that cannot vanish silently."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

log = logging.getLogger(__name__)


class BackgroundTasks:
    """Keeps a reference to each task, and logs the one that fails."""

    def __init__(self) -> None:
        self.running: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self.running.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[None]) -> None:
        self.running.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("a task failed", exc_info=error)

    async def cancel(self) -> None:
        for task in self.running:
            task.cancel()
        await asyncio.gather(*self.running, return_exceptions=True)


async def wait_for_event(event: asyncio.Event, seconds: float) -> bool:
    """Until it is set, at most this long; whether it was set. Not `asyncio.wait_for`: before Python 3.12 that
    loses a cancellation which comes in the turn of the event, and a task that waits in a loop never ends
    (CPython issue 86296)."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True

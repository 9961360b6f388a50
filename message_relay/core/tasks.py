"""Background tasks whose failures are logged instead of lost."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from ..structured_logging import LogEvent

log = logging.getLogger(__name__)


class BackgroundTasks:
    """Holds a reference to each running task, and logs the exception of a task that fails."""

    def __init__(self) -> None:
        self.running: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Runs a coroutine as a task."""
        task = asyncio.get_running_loop().create_task(work)
        self.running.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self.running.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            log.error(LogEvent("background task failed"), exc_info=error)

    async def cancel(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        for task in self.running:
            task.cancel()
        await asyncio.gather(*self.running, return_exceptions=True)


async def wait_for_event(event: asyncio.Event, seconds: float) -> bool:
    """Waits until the event is set, for at most `seconds`; returns whether it was set.

    Does not use `asyncio.wait_for`: before Python 3.12 it loses a cancellation in the same loop iteration as
    the event, and a task that waits in a loop never ends (CPython issue 86296).
    """
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True

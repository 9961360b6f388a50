"""Drives the scheduler: batches events into turns, executes the actions, and owns its timer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from ..decisions.actions import Action, SetTimer
from ..decisions.events import Event, TimerFired
from ..decisions.scheduler import DeliveryScheduler

log = logging.getLogger(__name__)

RETRY_AFTER_FAULT_MS = 1000.0  # delay of the next turn after one that raised an exception


class SchedulerDriver:
    """Feeds a `DeliveryScheduler`, with turns at least one tick apart; `execute` performs its actions."""

    def __init__(
        self, scheduler: DeliveryScheduler, tick_ms: float, execute: Callable[[Action], None]
    ) -> None:
        self.scheduler = scheduler
        self.tick_ms = tick_ms
        self.execute = execute
        self.pending_events: list[Event] = []
        self.turn_handle: asyncio.TimerHandle | None = None
        self.last_turn_ms = 0.0
        self.timer_handle: asyncio.TimerHandle | None = None
        self.is_stopped = False

    @staticmethod
    def now() -> float:
        """The loop's clock, in ms."""
        return asyncio.get_running_loop().time() * 1000

    def feed(self, event: Event) -> None:
        """Adds an event to the next turn.

        All events within a tick are handled in one turn, so a busy relay has few long turns instead of many
        short ones. Events after `stop` are ignored: attempts cancelled by the stop are left to the next
        process.
        """
        if self.is_stopped:
            return
        self.pending_events.append(event)
        if self.turn_handle is None:
            delay_s = max(0.0, self.last_turn_ms + self.tick_ms - self.now()) / 1000
            self.turn_handle = asyncio.get_running_loop().call_later(delay_s, self.run_turn)

    def run_turn(self) -> None:
        """Passes the pending events to the scheduler and executes its actions."""
        if self.turn_handle is not None:
            self.turn_handle.cancel()
        self.turn_handle = None
        self.last_turn_ms = self.now()
        events = self.pending_events
        self.pending_events = []
        try:
            actions = self.scheduler.handle(self.last_turn_ms, events)
        except Exception:
            # An exception in one turn must not prevent later turns.
            log.exception("scheduler turn failed: %r", events)
            actions = [SetTimer(RETRY_AFTER_FAULT_MS, 0)]
        for action in actions:
            if isinstance(action, SetTimer):
                self._set_timer(action.delay_ms)
                continue
            try:
                self.execute(action)
            except Exception:
                # A failing action must not prevent later actions or the timer.
                log.exception("scheduler action failed: %r", action)

    def _set_timer(self, delay_ms: float) -> None:
        if self.timer_handle is not None:
            self.timer_handle.cancel()
        self.timer_handle = asyncio.get_running_loop().call_later(delay_ms / 1000, self._on_timer)

    def _on_timer(self) -> None:
        self.timer_handle = None
        self.feed(TimerFired(0))

    def stop(self) -> None:
        """Stops the turns; later events are dropped."""
        self.is_stopped = True
        for handle in (self.turn_handle, self.timer_handle):
            if handle is not None:
                handle.cancel()

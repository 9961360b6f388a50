"""The decision module's turns: events are gathered and handed over, and its one timer is kept."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from ..decisions.actions import Action, SetTimer
from ..decisions.events import Event, TimerFired
from ..decisions.scheduler import DeliveryScheduler

log = logging.getLogger(__name__)

AFTER_FAULT_MS = 1000.0


class SchedulerDriver:
    """Feeds a `Relay`, a tick apart at the least, and has its actions carried out by `act`."""

    def __init__(self, relay: DeliveryScheduler, tick_ms: float, act: Callable[[Action], None]) -> None:
        self.scheduler, self.tick_ms, self.execute = relay, tick_ms, act
        self.pending_events: list[Event] = []
        self.turn_handle: asyncio.TimerHandle | None = None
        self.last_turn_ms = 0.0
        self.timer_handle: asyncio.TimerHandle | None = None
        self.is_stopped = False

    @staticmethod
    def now() -> float:
        return asyncio.get_running_loop().time() * 1000

    def feed(self, event: Event) -> None:
        """All that comes within a tick is one turn: a busy relay takes few long turns for many short ones.
        After the end nothing is decided any more: what the end itself cut off is the next process's."""
        if self.is_stopped:
            return
        self.pending_events.append(event)
        if self.turn_handle is None:
            wait = max(0.0, self.last_turn_ms + self.tick_ms - self.now()) / 1000
            self.turn_handle = asyncio.get_running_loop().call_later(wait, self.run_turn)

    def run_turn(self) -> None:
        if self.turn_handle is not None:
            self.turn_handle.cancel()
        self.turn_handle, self.last_turn_ms = None, self.now()
        events, self.pending_events = self.pending_events, []
        try:
            actions = self.scheduler.handle(self.last_turn_ms, events)
        except Exception:
            # A fault in one turn must not stop all later ones.
            log.exception("the module failed on %r", events)
            actions = [SetTimer(AFTER_FAULT_MS, 0)]
        for action in actions:
            if isinstance(action, SetTimer):
                self._set_timer(action.delay_ms)
                continue
            try:
                self.execute(action)
            except Exception:
                # Nor one that cannot be carried out the ends behind it, and the timer of all later ones.
                log.exception("%r could not be carried out", action)

    def _set_timer(self, delay_ms: float) -> None:
        if self.timer_handle is not None:
            self.timer_handle.cancel()
        self.timer_handle = asyncio.get_running_loop().call_later(delay_ms / 1000, self._on_timer)

    def _on_timer(self) -> None:
        self.timer_handle = None
        self.feed(TimerFired(0))

    def stop(self) -> None:
        self.is_stopped = True
        for timer in (self.turn_handle, self.timer_handle):
            if timer is not None:
                timer.cancel()

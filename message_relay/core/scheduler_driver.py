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
        self.relay, self.tick_ms, self.act = relay, tick_ms, act
        self.events: list[Event] = []
        self.turn: asyncio.TimerHandle | None = None
        self.last = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.stopped = False

    @staticmethod
    def now() -> float:
        return asyncio.get_running_loop().time() * 1000

    def feed(self, event: Event) -> None:
        """All that comes within a tick is one turn: a busy relay takes few long turns for many short ones.
        After the end nothing is decided any more: what the end itself cut off is the next process's."""
        if self.stopped:
            return
        self.events.append(event)
        if self.turn is None:
            wait = max(0.0, self.last + self.tick_ms - self.now()) / 1000
            self.turn = asyncio.get_running_loop().call_later(wait, self.step)

    def step(self) -> None:
        if self.turn is not None:
            self.turn.cancel()
        self.turn, self.last = None, self.now()
        events, self.events = self.events, []
        try:
            actions = self.relay.handle(self.last, events)
        except Exception:
            # A fault in one turn must not stop all later ones.
            log.exception("the module failed on %r", events)
            actions = [SetTimer(AFTER_FAULT_MS, 0)]
        for action in actions:
            if isinstance(action, SetTimer):
                self._set(action.delay_ms)
                continue
            try:
                self.act(action)
            except Exception:
                # Nor one that cannot be carried out the ends behind it, and the timer of all later ones.
                log.exception("%r could not be carried out", action)

    def _set(self, delay_ms: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(delay_ms / 1000, self._wake)

    def _wake(self) -> None:
        self.timer = None
        self.feed(TimerFired(0))

    def stop(self) -> None:
        self.stopped = True
        for timer in (self.turn, self.timer):
            if timer is not None:
                timer.cancel()

"""The delivery scheduler: turns events and the current time into actions, without I/O.

`DeliveryScheduler.handle` is the event loop of all decisions. Each turn applies the events, ends messages
that can no longer be delivered (`expiry`), starts attempts (`dispatch`), sheds load (`load_shedding`) and
sets the timer of the next turn.
"""

from __future__ import annotations

import random

from .actions import Action, SetTimer, WatchEndpoints
from .admission import Admission
from .destinations import DestinationState, EndpointState
from .dispatch import Dispatcher
from .drain_estimate import DrainEstimate
from .endpoint_registry import EndpointRegistry
from .events import (
    AttemptCompleted,
    AttemptConnecting,
    EndpointList,
    Event,
    Message,
    MessageCancelled,
    RestoredDestination,
    ShutdownScheduled,
    TimerFired,
)
from .expiry import Expiry
from .idempotency import can_reject_safely, retry_affinity
from .load_shedding import LoadShedder
from .model import FOREVER, Fleet, Outcome, Settings
from .pending import PendingMessage, PendingMessages
from .priority_index import PriorityIndex
from .rate_control import RETRY_MAX_MS, RETRY_MS, RateController
from .send_guard import SendGuard

PAUSES_KEY = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)  # the call may still run at its endpoint
KEEPS_CONNECTION = (Outcome.OK, Outcome.ERROR, Outcome.FULL)
WITHOUT_EVIDENCE = (Outcome.NOT_SENT, Outcome.CANCELLED)  # of the destination's health, neither good nor bad


class DeliveryScheduler:
    """Schedules the deliveries of one relay: `handle` takes events and returns the actions to carry out."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.rng = random.Random(seed)
        self.pending = PendingMessages()
        self.index = PriorityIndex(settings)
        self.rate_controller = RateController(settings, self.rng)
        self.registry = EndpointRegistry(self.rate_controller, self.pending)
        self.drain_estimate = DrainEstimate(self.registry)
        self.expiry = Expiry(self.drain_estimate)
        self.load_shedder = LoadShedder(self.expiry, self.index)
        self.admission = Admission(self.load_shedder, self.drain_estimate)
        self.guard = SendGuard(self.registry)
        self.dispatcher = Dispatcher(self.guard, self.index)
        self.timer_at = 0.0

    @property
    def settings(self) -> Settings:
        """The current settings: the number of instances may change."""
        return self.rate_controller.settings

    @property
    def destinations(self) -> dict[int, dict[int, DestinationState]]:
        """The states of the destinations, by destination and route."""
        return self.registry.destinations

    @property
    def endpoints(self) -> dict[int, EndpointState]:
        """The endpoints in use, by id."""
        return self.registry.endpoints

    @property
    def in_flight(self) -> int:
        """The number of attempts in flight."""
        return self.dispatcher.in_flight + self.dispatcher.connecting

    def handle(self, now_ms: float, events: list[Event]) -> list[Action]:
        """Applies events that have happened up to `now_ms`; returns the actions to carry out, in order."""
        actions: list[Action] = []
        for event in events:
            self._apply(now_ms, event)
        if self.registry.should_poll(now_ms):
            actions.append(WatchEndpoints())
        self.expiry.close_expired(now_ms, actions)
        self.dispatcher.dispatch(now_ms, actions)
        self.load_shedder.shed_load(now_ms, actions)
        wakeup_at = max(self._next_wakeup_at(now_ms), now_ms + self.settings.tick_ms)
        if wakeup_at < FOREVER and (self.timer_at <= now_ms or wakeup_at < self.timer_at):
            self.timer_at = wakeup_at
            actions.append(SetTimer(self.timer_at - now_ms, 0))
        return actions

    def may_write(self, now: float, message_id: int) -> bool:
        """Returns whether a call's first byte may be written now; called right before writing it."""
        if not self.guard.may_write(now, message_id):
            return False
        return self.dispatcher.acquire_slot(self.pending.by_id[message_id])

    def rejection_delay_ms(self, now: float, message: Message, pending_count: int) -> float | None:
        """Returns the Retry-After in milliseconds if a submission must be rejected, else None."""
        return self.admission.rejection_delay_ms(now, message, pending_count)

    def destination_snapshot(self, now: float) -> list[RestoredDestination]:
        """Returns the states of destinations that the next process needs."""
        return self.registry.snapshot(now)

    def _apply(self, now: float, event: Event) -> None:
        match event:
            case Message():
                self._accept(now, event)
            case AttemptCompleted():
                self._on_attempt_completed(now, event)
            case AttemptConnecting():
                self._on_attempt_connecting(event.id)
            case EndpointList():
                self.registry.apply_list(now, event)
            case RestoredDestination():
                self.registry.restore(now, event)
            case MessageCancelled():
                self._cancel(event.id)
            case TimerFired():
                self.timer_at = 0.0
            case ShutdownScheduled():
                self.guard.shutdown_at = event.at_ms
                self.pending.request_all_scans()
            case Fleet():
                self.registry.resize(event)

    def _next_wakeup_at(self, now: float) -> float:
        """Returns when there is work to do without an event."""
        has_free_slot = self.dispatcher.has_free_slot()  # if there is none, the next outcome frees one
        if self.load_shedder.is_overloaded or (has_free_slot and self.pending.scans_due):
            return now
        wakeup_at = self.registry.next_poll_at
        deadlines = self.expiry.deadline_heap
        if deadlines:
            wakeup_at = min(wakeup_at, deadlines[0][0])
        if has_free_slot:
            wakeup_at = min(wakeup_at, self.pending.next_wakeup_at())
        return wakeup_at

    def _accept(self, now: float, message: Message) -> None:
        entry = self.admission.accept(now, message)
        if self.rate_controller.is_large_fleet and message.age_ms is not None:
            # The message is resumed: most of a fleet may restart at the same moment.
            for destination in self.destinations.get(message.destination, {}).values():
                destination.tokens = min(destination.tokens, self.rng.random())
        self.pending.add(entry)
        self._enqueue(now, entry)

    def _enqueue(self, now: float, entry: PendingMessage) -> None:
        """Adds a message to its queue, until it is sent or expires."""
        self.expiry.schedule(entry)
        is_untried = entry.message.age_ms is not None and not entry.attempts  # resumed without any attempt
        entry.can_be_shed = can_reject_safely(entry) and not is_untried
        entry.retry_affinity = retry_affinity(entry)
        self.pending.enqueue(entry, now)

    def _cancel(self, message_id: int) -> None:
        entry = self.pending.by_id.get(message_id)
        if entry is None:
            return
        entry.is_cancelled = True  # a message in flight is removed after its outcome
        if entry.in_flight_on is None:
            self.pending.remove(entry)

    def _on_attempt_completed(self, now: float, event: AttemptCompleted) -> None:
        entry = self.pending.by_id.get(event.id)
        if entry is None or entry.in_flight_on is None:
            return
        state = entry.in_flight_on
        self._release_slot(entry, state)
        entry.attempts -= event.was_withheld
        if not event.outcome.proves_no_effect and entry.first_uncertain_at is None:
            entry.first_uncertain_at = entry.sent_at
            entry.uncertain_endpoint = state.endpoint
        settings = self.settings
        if event.outcome in PAUSES_KEY and entry.ordering_key:
            until = now + settings.safety.key_pause_ms + settings.tick_ms
            self.pending.pause_key(entry.ordering_key, now, until)
        # A growing and jittered backoff, which is also added to any Retry-After.
        backoff_ms = min(RETRY_MAX_MS, RETRY_MS * 2 ** (entry.attempts - 1)) * self.rng.uniform(0.7, 1.3)
        entry.backoff_until = now + backoff_ms
        self._observe(now, state, entry, event)
        if event.is_final or entry.is_cancelled:
            self.pending.remove(entry)
        else:
            self._enqueue(now, entry)

    def _on_attempt_connecting(self, message_id: int) -> None:
        entry = self.pending.by_id.get(message_id)
        if entry is not None:
            self.dispatcher.suspend_slot(entry)

    def _release_slot(self, entry: PendingMessage, state: EndpointState) -> None:
        entry.in_flight_on = None
        self.dispatcher.release_slot(entry)
        state.in_flight -= 1
        state.destination.in_flight.pop(entry.message.id, None)
        self.pending.request_scan(entry.message.destination)

    def _observe(
        self, now: float, state: EndpointState, entry: PendingMessage, event: AttemptCompleted
    ) -> None:
        """Updates the states of the endpoint and its destination."""
        if event.outcome in KEEPS_CONNECTION:
            state.idle_connections = [*state.idle_connections, now]
        else:
            state.idle_connections = []
        if event.outcome is Outcome.OK:
            has_more = entry.message.destination in self.pending.queues
            self.rate_controller.on_success(now, state, entry, event.latency_ms, has_more)
        elif event.outcome not in WITHOUT_EVIDENCE:
            self.rate_controller.on_failure(now, state, entry, event)
        limit_report = self.settings.limit_report
        if limit_report and len(event.report) > max(limit_report):
            left, limit = (event.report[position] for position in limit_report)
            self.rate_controller.on_load_report(state.destination, left, limit)

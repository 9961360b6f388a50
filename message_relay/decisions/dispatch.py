"""Dispatch: selects the next message to send, its endpoint and the timeout of the attempt.

A queue is scanned after it has changed: the scan indexes the messages that could be sent now, and schedules
the next scan. While there are free slots, the best message of the index is sent. The cost of an event does
not grow with the number of other pending messages (docs/design/large-size.md): a turn that would scan too
many queues continues in the next turn.
"""

from __future__ import annotations

from typing import NamedTuple

from .actions import Action, StartAttempt
from .destinations import DestinationState, EndpointState
from .idempotency import allows_endpoint
from .latency import attempt_timeout_ms, overdue_ms, slot_time_ms
from .model import FOREVER, NEVER, Effect
from .outlier_detection import EVIDENCE_TTL_MS, endpoint_penalty, is_suspected
from .pending import MAX_SCANS, PendingMessage, PriorityBucket
from .priority_index import PriorityIndex
from .rate_control import RETRY_MS
from .send_guard import SendGuard

LAST_ATTEMPT_PATIENCE = 3.0  # timeout factor of the last attempt: a late response still saves the message
TRUSTED_FAILURE_SCORE = 0.25  # up to this failure score, messages whose repetition is unsafe may be sent
SUSPECTED_SLOT_DIVISOR, SLOT_DIVISOR = 4, 2  # one destination uses at most all slots divided by this
IDLE_PART = 0.9  # a connection idle for longer than this part of the idle limit counts as closed
NEW_CONNECTION_LOAD = 0.9  # added to the load of an endpoint that needs a new connection
FEE_LOAD = 1.5  # added to the load of an endpoint whose route has a fee


class SendWindow(NamedTuple):
    """Earliest times at which a destination accepts calls."""

    opens_at: float
    urgent_at: float  # for urgent messages: the rate is an estimate, overdrawn for clients that will not wait
    unsafe_at: float  # for messages that must not be retried after an unknown outcome
    slot_time_ms: float


class Dispatcher:
    """Sends messages in order of their gain per slot time while there are free slots."""

    def __init__(self, guard: SendGuard, index: PriorityIndex) -> None:
        self.guard = guard
        self.registry = guard.registry
        self.rate_controller = guard.rate_controller
        self.pending = guard.pending
        self.index = index
        self.in_flight = 0  # attempts that hold a slot
        self.connecting = 0  # attempts that hold none, as their connections are late; no more than slots

    def has_free_slot(self) -> bool:
        """Returns whether another attempt may be started."""
        return self.in_flight < self.rate_controller.settings.max_concurrent_attempts

    def suspend_slot(self, entry: PendingMessage) -> None:
        """Takes back the slot of an attempt whose connection is late, so that another can use it."""
        slots = self.rate_controller.settings.max_concurrent_attempts
        if entry.in_flight_on is None or entry.is_written or not entry.holds_slot or self.connecting >= slots:
            return
        entry.holds_slot = False
        self.in_flight -= 1
        self.connecting += 1

    def acquire_slot(self, entry: PendingMessage) -> bool:
        """Returns whether an attempt may be written: it holds a slot, or gets one that is free."""
        if not entry.holds_slot:
            if not self.has_free_slot():
                return False
            entry.holds_slot = True
            self.connecting -= 1
            self.in_flight += 1
        entry.is_written = True
        return True

    def release_slot(self, entry: PendingMessage) -> None:
        """Notes that an attempt has ended."""
        if entry.holds_slot:
            self.in_flight -= 1
        else:
            self.connecting -= 1

    def dispatch(self, now: float, actions: list[Action]) -> None:
        """Sends the messages of highest gain per slot time; scans only queues that are due."""
        slots = self.rate_controller.settings.max_concurrent_attempts
        if self.in_flight >= slots:
            return
        self.pending.advance(now)
        scans = 0
        while self.in_flight < slots:
            while self.pending.scans_due and scans < MAX_SCANS:
                self._scan(now, *self.pending.scans_due.popitem(last=False))
                scans += 1
            best = self.index.pop_best(now)
            if best is None:
                return
            _, _, entry, destination, queue, _ = best
            if queue.scanned_at != now and not self.is_still_sendable(now, entry, destination):
                self.pending.request_scan(queue.destination_id)
                continue
            state = self.choose_endpoint(now, entry, destination)
            if state is not None:
                self._send(now, entry, state, actions)

    def is_still_sendable(self, now: float, entry: PendingMessage, destination: DestinationState) -> bool:
        """Returns whether a message may be sent now: calls may have become overdue since the last scan."""
        window = self._send_window(now, destination)
        return window is not None and self._send_time(window, destination, entry) <= now

    def choose_endpoint(
        self, now: float, entry: PendingMessage, destination: DestinationState
    ) -> EndpointState | None:
        """Returns the endpoint to use: few recent failures, low load, an idle connection, low fee."""
        settings = self.rate_controller.settings

        def rank(state: EndpointState) -> tuple[float, float, int]:
            zone = state.endpoint.zone
            fee = settings.route_fees[zone] if zone < len(settings.route_fees) else 0.0
            fee += settings.cross_zone_price * (zone != settings.zone)
            max_idle_ms = settings.idle_ms * IDLE_PART
            state.idle_connections = [
                used_at for used_at in state.idle_connections if now - used_at < max_idle_ms
            ]
            load = (
                state.in_flight
                + endpoint_penalty(state, now, entry.message.class_index)
                + NEW_CONNECTION_LOAD * (not state.idle_connections)
                + FEE_LOAD * (fee > 0)
            )
            return load, fee, state.endpoint.id

        may_send = self.guard.may_send
        allowed = [state for state in destination.endpoints.values() if may_send(now, entry, state)]
        return min(allowed, key=rank) if allowed else None

    @staticmethod
    def _send_time(window: SendWindow, destination: DestinationState, entry: PendingMessage) -> float:
        is_urgent = entry.bucket is not None and entry.bucket.is_urgent
        send_at = max(destination.retry_after_until, window.urgent_at if is_urgent else window.opens_at)
        return max(send_at, window.unsafe_at) if entry.message_class.effect is Effect.UNSAFE else send_at

    def _send_window(self, now: float, destination: DestinationState) -> SendWindow | None:
        """Returns when a destination accepts calls, or None if it accepts none before another event."""
        is_unhealthy = is_suspected(destination, now)
        slots = self.rate_controller.settings.max_concurrent_attempts
        slot_limit = max(1, slots // (SUSPECTED_SLOT_DIVISOR if is_unhealthy else SLOT_DIVISOR))
        has_other_queues = len(self.pending.queues) > 1
        if not destination.endpoints or (
            len(destination.in_flight) >= slot_limit and (is_unhealthy or has_other_queues)
        ):
            return None
        if now + overdue_ms(destination) > self.guard.shutdown_at:
            return None
        slot_time = slot_time_ms(destination)
        is_risky = is_unhealthy or destination.failure_score > TRUSTED_FAILURE_SCORE
        unsafe_at = NEVER
        if is_risky and not destination.last_failure_had_no_effect:
            unsafe_at = destination.last_failure_at + EVIDENCE_TTL_MS  # an unknown outcome would be final
        opens_at, urgent_at = self.rate_controller.next_send_times(now, destination, is_unhealthy)
        return SendWindow(opens_at, urgent_at, unsafe_at, slot_time)

    def _scan(self, now: float, destination_id: int, is_complete: bool) -> None:
        """Indexes the messages that a queue could send now, or only arrivals, and schedules its next scan."""
        queue = self.pending.queues.get(destination_id)
        if queue is None:
            return
        arrivals = [entry for entry in queue.arrivals if entry.bucket is not None]
        queue.arrivals = []
        if is_complete:
            queue.scan_generation += 1
            queue.scanned_at = now
            buckets = queue.buckets
        else:
            buckets = {entry.bucket.key: entry.bucket for entry in arrivals if entry.bucket is not None}
        scan_at = FOREVER
        for destination in self.registry.destinations.get(destination_id, {}).values():
            window = self._send_window(now, destination)
            if window is None:
                continue
            for bucket in buckets.values():
                new_entries = None if is_complete else arrivals
                scan_at = min(scan_at, self._index_bucket(now, bucket, destination, window, new_entries))
        # The time is not rounded up to a tick: an event may start a turn before that, and this turn must find
        # the messages that may be sent by then.
        if is_complete or scan_at < queue.next_scan_at or queue.next_scan_at <= now:
            self.pending.schedule_scan(queue, scan_at)

    def _index_bucket(
        self,
        now: float,
        bucket: PriorityBucket,
        destination: DestinationState,
        window: SendWindow,
        new_entries: list[PendingMessage] | None,
    ) -> float:
        """Indexes a bucket's messages that may be sent now, or only new ones; returns the next scan time."""
        if not bucket.ready or not any(
            allows_endpoint(bucket.retry_affinity, state.endpoint) for state in destination.endpoints.values()
        ):
            return FOREVER
        scan_at = self._send_time(window, destination, bucket.ready[0][2])
        if scan_at <= now:
            if new_entries is None:
                return self.index.insert(now, bucket, destination, window.slot_time_ms)
            for entry in new_entries:
                if entry.bucket is bucket:
                    scan_at = self.index.insert(now, bucket, destination, window.slot_time_ms, entry)
        elif scan_at > destination.retry_after_until:  # limited by a rate, which may change with time
            scan_at = min(scan_at, self.rate_controller.rate_stable_until(now, destination))
        return scan_at

    def _send(self, now: float, entry: PendingMessage, state: EndpointState, actions: list[Action]) -> None:
        destination = state.destination
        give_up_at = self._give_up_at(now, entry, destination)
        if state.idle_connections:
            state.idle_connections.pop()
        if is_suspected(destination, now):
            self.rate_controller.schedule_trial(now, destination)
        self.pending.dequeue(entry)
        self.pending.request_scan(entry.message.destination)
        entry.in_flight_on = state
        entry.sent_at = now
        entry.holds_slot = True
        entry.is_written = False
        entry.attempts += 1
        state.in_flight += 1
        destination.in_flight[entry.message.id] = entry
        destination.tokens -= 1
        if destination.time_slots is not None:
            destination.time_slots.mark_used()
        self.in_flight += 1
        actions.append(StartAttempt(entry.message.id, state.endpoint.id, give_up_at))

    def _give_up_at(self, now: float, entry: PendingMessage, destination: DestinationState) -> float:
        """Returns when the attempt times out: later if no other attempt can follow."""
        message_class = entry.message_class
        timeout_ms = attempt_timeout_ms(destination)
        max_attempts = self.rate_controller.settings.max_attempts
        is_last = entry.attempts + 1 >= max_attempts or message_class.effect is Effect.UNSAFE
        if message_class.effect is Effect.KEYED:
            uncertain_at = entry.first_uncertain_at if entry.first_uncertain_at is not None else now
            retry_at = now + timeout_ms + RETRY_MS * 2**entry.attempts
            is_last = is_last or retry_at > uncertain_at + message_class.key_window_ms
        give_up_at = entry.deadline_at
        if is_last:
            give_up_at = min(give_up_at, now + timeout_ms * LAST_ATTEMPT_PATIENCE)
        elif now + 2 * timeout_ms < entry.deadline_at:
            give_up_at = min(give_up_at, now + timeout_ms)
        return min(give_up_at, self.guard.shutdown_at)

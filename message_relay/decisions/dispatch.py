"""Dispatch: which message is sent next, to which endpoint, and how long the attempt may take.

A queue is scanned when something has changed there: the scan indexes what could be sent now, and sets when to
scan again. While there are slots, the index's best message is sent. No event costs more for what else is
pending (docs/design/large-size.md): a turn that would scan too many queues continues in the next.
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

LAST_ATTEMPT_PATIENCE = (
    3.0  # the last attempt waits so many times longer: a late answer still saves the message
)
TRUSTED_FAILURE_SCORE = 0.25  # failure score below which a message without idempotency may be sent again
SUSPECTED_SLOT_DIVISOR, SLOT_DIVISOR = 4, 2  # one destination gets at most this part of the slots
IDLE_PART = 0.9  # a connection idle for so much of the allowed time counts as closed
NEW_CONNECTION_LOAD = 0.9  # load that stands for connecting first
FEE_LOAD = 1.5  # load that stands for a route that costs


class SendWindow(NamedTuple):
    """From when on a destination accepts calls."""

    opens_at: float
    urgent_at: float  # for urgent ones: the rate is a guess, overdrawn for a client that won't wait
    unsafe_at: float  # not earlier, if an unknown outcome would be final
    slot_time_ms: float


class Dispatcher:
    """Sends messages while there are slots, by gain per slot time."""

    def __init__(self, guard: SendGuard, index: PriorityIndex) -> None:
        self.guard = guard
        self.registry = guard.registry
        self.rate_controller = guard.rate_controller
        self.pending = guard.pending
        self.index = index
        self.in_flight = 0

    def has_free_slot(self) -> bool:
        """Whether another attempt may be started."""
        return self.in_flight < self.rate_controller.settings.max_concurrent_attempts

    def dispatch(self, now: float, actions: list[Action]) -> None:
        """Sends what gains most per slot time; scans only the queues that are due."""
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
        """Whether it may go now: since its queue was scanned, calls there may have become overdue."""
        window = self._send_window(now, destination)
        return window is not None and self._send_time(window, destination, entry) <= now

    def choose_endpoint(
        self, now: float, entry: PendingMessage, destination: DestinationState
    ) -> EndpointState | None:
        """The endpoint to use: without recent failures, little busy, with an idle connection, cheap."""
        settings = self.rate_controller.settings

        def rank(state: EndpointState) -> tuple[float, float, int]:
            zone = state.endpoint.zone
            fee = settings.route_fees[zone] if zone < len(settings.route_fees) else 0.0
            fee += settings.cross_zone_price * (zone != settings.zone)
            longest_idle_ms = settings.idle_ms * IDLE_PART
            state.idle_connections = [at for at in state.idle_connections if now - at < longest_idle_ms]
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
        at = max(destination.retry_after_until, window.urgent_at if is_urgent else window.opens_at)
        return max(at, window.unsafe_at) if entry.message_class.effect is Effect.UNSAFE else at

    def _send_window(self, now: float, destination: DestinationState) -> SendWindow | None:
        """When this destination accepts calls; None: not before another event."""
        is_out = is_suspected(destination, now)
        slots = self.rate_controller.settings.max_concurrent_attempts
        most = max(1, slots // (SUSPECTED_SLOT_DIVISOR if is_out else SLOT_DIVISOR))
        has_company = len(self.pending.queues) > 1
        if not destination.endpoints or (len(destination.in_flight) >= most and (is_out or has_company)):
            return None
        if now + overdue_ms(destination) > self.guard.shutdown_at:
            return None
        slot_time = slot_time_ms(destination)
        is_risky = is_out or destination.failure_score > TRUSTED_FAILURE_SCORE
        unsafe_at = NEVER
        if is_risky and not destination.last_failure_had_no_effect:
            unsafe_at = destination.last_failure_at + EVIDENCE_TTL_MS  # an unknown outcome would be final
        opens_at, urgent_at = self.rate_controller.next_send_times(now, destination, is_out)
        return SendWindow(opens_at, urgent_at, unsafe_at, slot_time)

    def _scan(self, now: float, destination_id: int, is_complete: bool) -> None:
        """Indexes what a queue could send now, or only its arrivals, and sets when to scan it again."""
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
                newcomers = None if is_complete else arrivals
                scan_at = min(scan_at, self._index_bucket(now, bucket, destination, window, newcomers))
        # Not rounded up to a tick: an event's turn may come before that, and has to find what may go by then.
        if is_complete or scan_at < queue.next_scan_at or queue.next_scan_at <= now:
            self.pending.schedule_scan(queue, scan_at)

    def _index_bucket(
        self,
        now: float,
        bucket: PriorityBucket,
        destination: DestinationState,
        window: SendWindow,
        newcomers: list[PendingMessage] | None,
    ) -> float:
        """Indexes what of a bucket may go now, or only the newcomers; returns when to scan it again."""
        if not bucket.ready or not any(
            allows_endpoint(bucket.retry_affinity, state.endpoint) for state in destination.endpoints.values()
        ):
            return FOREVER
        at = self._send_time(window, destination, bucket.ready[0][2])
        if at <= now:
            if newcomers is None:
                return self.index.insert(now, bucket, destination, window.slot_time_ms)
            for entry in newcomers:
                if entry.bucket is bucket:
                    at = self.index.insert(now, bucket, destination, window.slot_time_ms, entry)
        elif at > destination.retry_after_until:  # limited by a rate, which may change with time
            at = min(at, self.rate_controller.rate_stable_until(now, destination))
        return at

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
        entry.attempts += 1
        state.in_flight += 1
        destination.in_flight[entry.message.id] = entry
        destination.tokens -= 1
        if destination.time_slots is not None:
            destination.time_slots.mark_used()
        self.in_flight += 1
        actions.append(StartAttempt(entry.message.id, state.endpoint.id, give_up_at))

    def _give_up_at(self, now: float, entry: PendingMessage, destination: DestinationState) -> float:
        """When the attempt times out: late, if no other can follow it."""
        message_class = entry.message_class
        patience_ms = attempt_timeout_ms(destination)
        max_attempts = self.rate_controller.settings.max_attempts
        is_last = entry.attempts + 1 >= max_attempts or message_class.effect is Effect.UNSAFE
        if message_class.effect is Effect.KEYED:
            uncertain_at = entry.first_uncertain_at if entry.first_uncertain_at is not None else now
            retry_at = now + patience_ms + RETRY_MS * 2**entry.attempts
            is_last = is_last or retry_at > uncertain_at + message_class.key_window_ms
        give_up_at = entry.deadline_at
        if is_last:
            give_up_at = min(give_up_at, now + patience_ms * LAST_ATTEMPT_PATIENCE)
        elif now + 2 * patience_ms < entry.deadline_at:
            give_up_at = min(give_up_at, now + patience_ms)
        return min(give_up_at, self.guard.shutdown_at)

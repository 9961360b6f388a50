"""Independent checker of the six delivery rules, which uses only the events and actions of a scheduler."""

from __future__ import annotations

from dataclasses import dataclass, field

from message_relay.decisions.actions import Action, Fail, Reject, StartAttempt
from message_relay.decisions.events import AttemptCompleted, EndpointList, Event, Message, MessageCancelled
from message_relay.decisions.model import (
    Effect,
    Endpoint,
    Listing,
    ListKind,
    MessageClass,
    Outcome,
    Scope,
    Settings,
)

OUTAGE_FAILURES = 3  # this many failed connections in a row count as an outage
BUDGET_SLACK = 3  # calls allowed above the budget of a warming destination
MAY_STILL_RUN = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)


class RuleViolation(AssertionError):
    """A rule is violated; the first word names it."""


@dataclass
class MessageRecord:
    """The history of one message."""

    message: Message
    deadline_at: float
    attempts: list[tuple[float, int, Outcome | None]] = field(default_factory=list)  # time, endpoint, outcome
    is_final: bool = False
    earlier_attempt: tuple[float, int] | None = None  # of an earlier process, if it may have run
    earlier_attempts: int = 0  # of earlier processes

    @property
    def is_in_flight(self) -> bool:
        return any(outcome is None for _, _, outcome in self.attempts)

    def uncertain_attempts(self) -> list[tuple[float, int]]:
        """Returns the send time and endpoint of each attempt that may have run."""
        earlier = [] if self.earlier_attempt is None else [self.earlier_attempt]
        return earlier + [
            (at, endpoint)
            for at, endpoint, outcome in self.attempts
            if outcome is None or not outcome.proves_no_effect
        ]


@dataclass
class Checker:
    """Raises RuleViolation on the first event or action after which a rule does not hold."""

    settings: Settings
    messages: dict[int, MessageRecord] = field(default_factory=dict)
    endpoints: dict[int, Endpoint] = field(default_factory=dict)
    draining_since: dict[int, float] = field(default_factory=dict)  # by endpoint
    retry_after_until: dict[int, float] = field(default_factory=dict)  # by route
    key_paused_until: dict[int, float] = field(default_factory=dict)
    failed_connections: dict[int, int] = field(default_factory=dict)  # by route: number in a row
    warming_since: dict[int, float] = field(default_factory=dict)  # by route
    sends: dict[int, list[float]] = field(default_factory=dict)  # by route

    def route(self, endpoint_id: int) -> int:
        """Returns the id of the shared limit: the endpoint's (as a negative number), or its destination's."""
        endpoint = self.endpoints[endpoint_id]
        if self.settings.kinds[endpoint.kind].has_separate_routes:
            return -1 - endpoint_id
        return endpoint.destination

    def class_of(self, record: MessageRecord) -> MessageClass:
        return self.settings.classes[record.message.class_index]

    def record_event(self, now: float, event: Event) -> None:
        """Records an event that the scheduler receives."""
        match event:
            case Message():
                self._record_message(now, event)
            case EndpointList(kind, entries) if kind is not ListKind.FAILED:
                self._record_endpoints(now, kind, entries)
            case MessageCancelled(message_id):
                self.messages[message_id].is_final = True
            case AttemptCompleted():
                self._record_completed(now, event)

    def _record_message(self, now: float, message: Message) -> None:
        record = MessageRecord(message, now + message.remaining_ms, earlier_attempts=message.attempts)
        self.messages[message.id] = record
        endpoint = message.uncertain_endpoint
        if endpoint is not None and message.uncertain_for_ms is not None:
            record.earlier_attempt = now - message.uncertain_for_ms, endpoint.id
            self.endpoints.setdefault(endpoint.id, endpoint)

    def _record_endpoints(self, now: float, kind: ListKind, entries: tuple[Endpoint, ...]) -> None:
        ready = {endpoint.id for endpoint in entries if endpoint.listing is Listing.READY}
        if kind is ListKind.CHANGES:
            draining = {endpoint.id for endpoint in entries} - ready
        else:
            draining = set(self.endpoints) - ready
        for endpoint in entries:
            self.endpoints.setdefault(endpoint.id, endpoint)
        for endpoint_id in draining:
            self.draining_since.setdefault(endpoint_id, now)
        for endpoint_id in ready:
            self.draining_since.pop(endpoint_id, None)

    def _record_completed(self, now: float, event: AttemptCompleted) -> None:
        record = self.messages[event.id]
        sent_at, endpoint_id, _ = record.attempts[event.attempt]
        record.attempts[event.attempt] = (sent_at, endpoint_id, event.outcome)
        record.is_final |= event.is_final
        route = self.route(endpoint_id)
        if event.outcome is Outcome.CONNECT_FAILED:
            self.failed_connections[route] = self.failed_connections.get(route, 0) + 1
        elif event.outcome is Outcome.OK:
            if self.failed_connections.get(route, 0) >= OUTAGE_FAILURES:
                self.warming_since[route] = now
            self.failed_connections[route] = 0
        if event.retry_after_ms:
            until = now + event.retry_after_ms
            self.retry_after_until[route] = max(self.retry_after_until.get(route, 0.0), until)
        if event.outcome in MAY_STILL_RUN and self.class_of(record).in_order:
            self.key_paused_until[record.message.key] = now + self.settings.safety.key_pause_ms

    def check_action(self, now: float, action: Action) -> None:
        """Checks an action of the scheduler."""
        match action:
            case StartAttempt(message_id, endpoint_id, _):
                self.check_send(now, self.messages[message_id], endpoint_id)
            case Reject(message_id):
                self._check_end(self.messages[message_id], is_rejected=True)
            case Fail(message_id):
                self._check_end(self.messages[message_id], is_rejected=False)

    def _check_end(self, record: MessageRecord, is_rejected: bool) -> None:
        if record.is_final:
            raise RuleViolation("lost: a second final outcome")
        message_class = self.class_of(record)
        may_repeat = message_class.effect is Effect.SAFE or (
            message_class.effect is Effect.KEYED and message_class.key_scope is Scope.ALL
        )
        if is_rejected and record.uncertain_attempts() and not may_repeat:
            raise RuleViolation("twice: refused although it may have run")
        record.is_final = True

    def check_send(self, now: float, record: MessageRecord, endpoint_id: int) -> None:
        """Checks and records the start of an attempt."""
        endpoint = self.endpoints[endpoint_id]
        if record.is_final:
            raise RuleViolation("lost: sent after its final outcome")
        if endpoint.destination != record.message.destination:
            raise RuleViolation("fault: the endpoint belongs to another destination")
        if record.is_in_flight:
            raise RuleViolation("twice: two attempts in flight at once")
        if record.earlier_attempts + len(record.attempts) >= self.settings.max_attempts:
            raise RuleViolation("fault: too many attempts")
        self._check_effect(now, record, endpoint)
        drain_grace_ms = self.settings.safety.drain_grace_ms
        if endpoint_id in self.draining_since and now > self.draining_since[endpoint_id] + drain_grace_ms:
            raise RuleViolation("drain: sent to a draining endpoint")
        if now < self.retry_after_until.get(self.route(endpoint_id), 0.0):
            raise RuleViolation("wait: sent before a Retry-After was over")
        if self.class_of(record).in_order and record.message.key:
            self._check_order(now, record)
        self._check_budget(now, self.route(endpoint_id), endpoint.rate)
        record.attempts.append((now, endpoint_id, None))

    def _check_effect(self, now: float, record: MessageRecord, endpoint: Endpoint) -> None:
        message_class = self.class_of(record)
        for sent_at, earlier_id in record.uncertain_attempts():
            if message_class.effect is Effect.UNSAFE:
                raise RuleViolation("twice: unsafe message may have run")
            if message_class.effect is Effect.KEYED:
                if now - sent_at > message_class.key_window_ms:
                    raise RuleViolation("twice: outside the key's window")
                is_same_zone = self.endpoints[earlier_id].zone == endpoint.zone
                if message_class.key_scope is Scope.ZONE and not is_same_zone:
                    raise RuleViolation("twice: outside the key's zone")

    def _check_order(self, now: float, record: MessageRecord) -> None:
        key = record.message.key
        for message_id, earlier in self.messages.items():
            if message_id == record.message.id:
                break
            is_same_key = earlier.message.key == key and self.class_of(earlier).in_order
            if is_same_key and (not earlier.is_final or earlier.is_in_flight):
                raise RuleViolation("order: an earlier message of its key is pending")
        if not record.attempts and now < self.key_paused_until.get(key, 0.0):
            raise RuleViolation("order: its key must pause")

    def _check_budget(self, now: float, route: int, rate: float) -> None:
        """Checks this relay's share of the budget of a recovered destination, with some slack."""
        safety = self.settings.safety
        sends = self.sends.setdefault(route, [])
        sends.append(now)
        since = self.warming_since.get(route)
        if since is None or now >= since + safety.warm_up_ms:
            return
        progress = (now - since) / safety.warm_up_ms
        share = safety.warm_up_initial_share + (1 - safety.warm_up_initial_share) * progress
        budget_rate = safety.overload_multiple * share * rate / self.settings.relays
        budget = budget_rate * safety.overload_window_ms / 1000
        recent = [at for at in sends if at > max(since, now - safety.overload_window_ms)]
        if len(recent) > budget + BUDGET_SLACK:
            raise RuleViolation("failback: over the budget of a warming destination")

    def check_deadlines(self, now: float) -> None:
        """Checks that each message whose deadline has passed is final."""
        for record in self.messages.values():
            if not record.is_final and now > record.deadline_at + self.settings.safety.answer_slack_ms:
                raise RuleViolation("lost: no final outcome in time")

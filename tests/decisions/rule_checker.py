"""An independent watch over the six rules: sees what a relay is told and what it does, nothing inside."""

from __future__ import annotations

from dataclasses import dataclass, field

from message_relay.decisions.actions import Action, Fail, Reject, StartAttempt
from message_relay.decisions.events import AttemptCompleted, EndpointList, Event, Message, MessageCancelled
from message_relay.decisions.model import Effect, Endpoint, Listing, ListKind, Outcome, Scope, Settings


class RuleViolation(AssertionError):
    """A rule was broken; the first word names it."""


@dataclass
class MessageRecord:
    message: Message
    due: float
    attempts: list[tuple[float, int, Outcome | None]] = field(default_factory=list)
    over: bool = False
    past: tuple[float, int] | None = None  # when and where an earlier process tried it, if that may have run
    tries: int = 0  # of earlier processes


@dataclass
class Checker:
    settings: Settings
    seen: dict[int, MessageRecord] = field(default_factory=dict)
    endpoints: dict[int, Endpoint] = field(default_factory=dict)
    drained: dict[int, float] = field(default_factory=dict)
    waits: dict[int, float] = field(default_factory=dict)
    rests: dict[int, float] = field(default_factory=dict)
    streak: dict[int, int] = field(default_factory=dict)  # lane -> connections failed in a row
    cold: dict[int, float] = field(default_factory=dict)  # lane -> end of the cold time after an outage
    sends: dict[int, list[float]] = field(default_factory=dict)

    def lane(self, endpoint: int) -> int:
        entry = self.endpoints[endpoint]
        return -1 - endpoint if self.settings.kinds[entry.kind].has_separate_routes else entry.destination

    def event(self, now: float, event: Event) -> None:
        match event:
            case Message():
                seen = self.seen[event.id] = MessageRecord(
                    event, now + event.remaining_ms, tries=event.attempts
                )
                if event.uncertain_endpoint is not None and event.uncertain_for_ms is not None:
                    seen.past = now - event.uncertain_for_ms, event.uncertain_endpoint.id
                    self.endpoints.setdefault(event.uncertain_endpoint.id, event.uncertain_endpoint)
            case EndpointList(kind, entries) if kind is not ListKind.FAILED:
                named = {e.id for e in entries if e.listing is Listing.READY}
                if kind is ListKind.CHANGES:
                    gone = {e.id for e in entries} - named
                else:
                    gone = set(self.endpoints) - named
                for entry in entries:
                    self.endpoints.setdefault(entry.id, entry)
                for message_id in gone:
                    self.drained.setdefault(message_id, now)
                for message_id in named:
                    self.drained.pop(message_id, None)
            case MessageCancelled(message_id):
                self.seen[message_id].over = True
            case AttemptCompleted():
                seen = self.seen[event.id]
                sent, endpoint, _ = seen.attempts[event.attempt]
                seen.attempts[event.attempt] = (sent, endpoint, event.outcome)
                seen.over |= event.is_final
                lane = self.lane(endpoint)
                if event.outcome is Outcome.CONNECT_FAILED:
                    self.streak[lane] = self.streak.get(lane, 0) + 1
                elif event.outcome is Outcome.OK:
                    if self.streak.get(lane, 0) >= 3:
                        self.cold[lane] = now
                    self.streak[lane] = 0
                if event.retry_after_ms:
                    self.waits[lane] = max(self.waits.get(lane, 0.0), now + event.retry_after_ms)
                lingers = event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
                if lingers and self.settings.classes[seen.message.class_index].in_order:
                    self.rests[seen.message.key] = now + self.settings.safety.key_pause_ms

    def risks(self, seen: MessageRecord) -> list[tuple[float, int]]:
        past = [] if seen.past is None else [seen.past]
        return past + [(at, e) for at, e, out in seen.attempts if out is None or not out.proves_no_effect]

    def action(self, now: float, action: Action) -> None:
        match action:
            case StartAttempt(message_id, endpoint, _):
                self.send(now, self.seen[message_id], endpoint)
            case Reject(message_id) | Fail(message_id):
                seen = self.seen[message_id]
                if seen.over:
                    raise RuleViolation("lost: a second final answer")
                effect = self.settings.classes[seen.message.class_index].effect
                if (
                    isinstance(action, Reject)
                    and self.risks(seen)
                    and (
                        effect is Effect.UNSAFE
                        or (
                            effect is Effect.KEYED
                            and self.settings.classes[seen.message.class_index].key_scope is not Scope.ALL
                        )
                    )
                ):
                    raise RuleViolation("twice: refused though it may have run")
                seen.over = True

    def send(self, now: float, seen: MessageRecord, endpoint: int) -> None:
        cls = self.settings.classes[seen.message.class_index]
        entry = self.endpoints[endpoint]
        if seen.over:
            raise RuleViolation("lost: sent after its end")
        if entry.destination != seen.message.destination:
            raise RuleViolation("fault: not an endpoint of its destination")
        if any(out is None for _, _, out in seen.attempts):
            raise RuleViolation("twice: two attempts out at once")
        if seen.tries + len(seen.attempts) >= self.settings.max_attempts:
            raise RuleViolation("fault: too many attempts")
        for at, other in self.risks(seen):
            if cls.effect is Effect.UNSAFE:
                raise RuleViolation("twice: unsafe message may have run")
            if cls.effect is Effect.KEYED:
                zones = self.endpoints[other].zone == entry.zone
                if now - at > cls.key_window_ms:
                    raise RuleViolation("twice: outside the key's window")
                if cls.key_scope is Scope.ZONE and not zones:
                    raise RuleViolation("twice: outside the key's zone")
        if endpoint in self.drained and now > self.drained[endpoint] + self.settings.safety.drain_grace_ms:
            raise RuleViolation("drain: sent to a draining endpoint")
        if now < self.waits.get(self.lane(endpoint), 0.0):
            raise RuleViolation("wait: sent before a told wait was over")
        if cls.in_order and seen.message.key:
            for other_id, earlier in self.seen.items():
                if other_id == seen.message.id:
                    break
                same = (
                    earlier.message.key == seen.message.key
                    and self.settings.classes[earlier.message.class_index].in_order
                )
                if same and (not earlier.over or any(out is None for _, _, out in earlier.attempts)):
                    raise RuleViolation("order: an earlier message of its key is open")
            if not seen.attempts and now < self.rests.get(seen.message.key, 0.0):
                raise RuleViolation("order: its key must rest")
        self.spend(now, self.lane(endpoint), entry.rate)
        seen.attempts.append((now, endpoint, None))

    def spend(self, now: float, lane: int, rate: float) -> None:
        """The own part of the budget at a destination that was down, and three calls of slack."""
        safety = self.settings.safety
        sends = self.sends.setdefault(lane, [])
        sends.append(now)
        if lane in self.cold and now < self.cold[lane] + safety.warm_up_ms:
            warm = (now - self.cold[lane]) / safety.warm_up_ms
            share = safety.warm_up_initial_share + (1 - safety.warm_up_initial_share) * warm
            budget = (
                safety.overload_multiple
                * share
                * rate
                / self.settings.relays
                * safety.overload_window_ms
                / 1000
            )
            recent = [at for at in sends if at > max(self.cold[lane], now - safety.overload_window_ms)]
            if len(recent) > budget + 3:
                raise RuleViolation("failback: over the budget of a cold destination")

    def end_of(self, now: float) -> None:
        for seen in self.seen.values():
            if not seen.over and now > seen.due + self.settings.safety.answer_slack_ms:
                raise RuleViolation("lost: no final answer in time")

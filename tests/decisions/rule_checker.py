"""An independent watch over the six rules: sees what a relay is told and what it does, nothing inside."""

from __future__ import annotations

from dataclasses import dataclass, field

from message_relay.decisions.actions import Action, Fail, Reject, StartAttempt
from message_relay.decisions.events import AttemptCompleted, EndpointList, Event, Message, MessageCancelled
from message_relay.decisions.model import Effect, Endpoint, Listing, ListKind, Outcome, Scope, Settings


class Breach(AssertionError):
    """A rule was broken; the first word names it."""


@dataclass
class Seen:
    msg: Message
    due: float
    attempts: list[tuple[float, int, Outcome | None]] = field(default_factory=list)
    over: bool = False
    past: tuple[float, int] | None = None  # when and where an earlier process tried it, if that may have run
    tries: int = 0  # of earlier processes


@dataclass
class Checker:
    settings: Settings
    seen: dict[int, Seen] = field(default_factory=dict)
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
                seen = self.seen[event.id] = Seen(event, now + event.remaining_ms, tries=event.attempts)
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
                for ident in gone:
                    self.drained.setdefault(ident, now)
                for ident in named:
                    self.drained.pop(ident, None)
            case MessageCancelled(ident):
                self.seen[ident].over = True
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
                if lingers and self.settings.classes[seen.msg.class_index].in_order:
                    self.rests[seen.msg.key] = now + self.settings.safety.key_pause_ms

    def risks(self, seen: Seen) -> list[tuple[float, int]]:
        past = [] if seen.past is None else [seen.past]
        return past + [(at, e) for at, e, out in seen.attempts if out is None or not out.proves_no_effect]

    def action(self, now: float, action: Action) -> None:
        match action:
            case StartAttempt(ident, endpoint, _):
                self.send(now, self.seen[ident], endpoint)
            case Reject(ident) | Fail(ident):
                seen = self.seen[ident]
                if seen.over:
                    raise Breach("lost: a second final answer")
                effect = self.settings.classes[seen.msg.class_index].effect
                if (
                    isinstance(action, Reject)
                    and self.risks(seen)
                    and (
                        effect is Effect.UNSAFE
                        or (
                            effect is Effect.KEYED
                            and self.settings.classes[seen.msg.class_index].key_scope is not Scope.ALL
                        )
                    )
                ):
                    raise Breach("twice: refused though it may have run")
                seen.over = True

    def send(self, now: float, seen: Seen, endpoint: int) -> None:
        cls = self.settings.classes[seen.msg.class_index]
        entry = self.endpoints[endpoint]
        if seen.over:
            raise Breach("lost: sent after its end")
        if entry.destination != seen.msg.destination:
            raise Breach("fault: not an endpoint of its destination")
        if any(out is None for _, _, out in seen.attempts):
            raise Breach("twice: two attempts out at once")
        if seen.tries + len(seen.attempts) >= self.settings.max_attempts:
            raise Breach("fault: too many attempts")
        for at, other in self.risks(seen):
            if cls.effect is Effect.UNSAFE:
                raise Breach("twice: unsafe message may have run")
            if cls.effect is Effect.KEYED:
                zones = self.endpoints[other].zone == entry.zone
                if now - at > cls.key_window_ms:
                    raise Breach("twice: outside the key's window")
                if cls.key_scope is Scope.ZONE and not zones:
                    raise Breach("twice: outside the key's zone")
        if endpoint in self.drained and now > self.drained[endpoint] + self.settings.safety.drain_grace_ms:
            raise Breach("drain: sent to a draining endpoint")
        if now < self.waits.get(self.lane(endpoint), 0.0):
            raise Breach("wait: sent before a told wait was over")
        if cls.in_order and seen.msg.key:
            for other_id, earlier in self.seen.items():
                if other_id == seen.msg.id:
                    break
                same = (
                    earlier.msg.key == seen.msg.key
                    and self.settings.classes[earlier.msg.class_index].in_order
                )
                if same and (not earlier.over or any(out is None for _, _, out in earlier.attempts)):
                    raise Breach("order: an earlier message of its key is open")
            if not seen.attempts and now < self.rests.get(seen.msg.key, 0.0):
                raise Breach("order: its key must rest")
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
                raise Breach("failback: over the budget of a cold destination")

    def end_of(self, now: float) -> None:
        for seen in self.seen.values():
            if not seen.over and now > seen.due + self.settings.safety.answer_slack_ms:
                raise Breach("lost: no final answer in time")

"""Helpers that drive a `DeliveryScheduler` directly, with simulated time and without servers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from hypothesis import settings as hypothesis_settings

from message_relay.decisions.actions import Action, Fail, Reject, StartAttempt
from message_relay.decisions.events import AttemptCompleted, EndpointList, Event, Message, TimerFired
from message_relay.decisions.model import (
    DestinationKind,
    Effect,
    Endpoint,
    Listing,
    ListKind,
    MessageClass,
    Outcome,
    Rates,
    Safety,
    Settings,
)
from message_relay.decisions.scheduler import DeliveryScheduler

hypothesis_settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
hypothesis_settings.load_profile("fixed")

CLASSES = tuple(MessageClass(effect.value, effect, 1000.0, 10000.0, 1.0, 0.5, 3000.0) for effect in Effect)
SAFE, KEYED, UNSAFE = range(3)
UNCLEAR = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET)


def make_settings(**overrides: Any) -> Settings:
    values: dict[str, Any] = {
        "classes": CLASSES,
        "kinds": (DestinationKind("k"),),
        "max_concurrent_attempts": 8,
        "max_pending_messages": 40,
        "max_attempts": 5,
        "relays": 2,
        "rates": Rates.NOMINAL,
        "idle_ms": 10000.0,
        "tick_ms": 5.0,
        "safety": Safety(20.0, 250.0, 0.2, 9000.0, 2.0, 1500.0, 10000.0, 100.0),
    }
    return Settings(**{**values, **overrides})


@dataclass
class Driver:
    """A scheduler with a simulated clock, which records the started attempts and the final outcomes."""

    settings: Settings = field(default_factory=make_settings)
    now: float = 1000.0
    seed: int = 1
    sent: list[tuple[float, StartAttempt]] = field(default_factory=list)
    final_actions: dict[int, Action] = field(default_factory=dict)
    other_actions: list[tuple[float, Action]] = field(default_factory=list)
    attempts: dict[int, int] = field(default_factory=dict)
    ids: int = 0
    out: dict[int, StartAttempt] = field(default_factory=dict)  # attempts in flight, by message

    def __post_init__(self) -> None:
        self.relay = DeliveryScheduler(self.settings, self.seed)

    def feed(self, *events: Event) -> list[Action]:
        actions = self.relay.handle(self.now, list(events))
        for action in actions:
            if isinstance(action, StartAttempt):
                self.sent.append((self.now, action))
                self.attempts[action.id] = self.attempts.get(action.id, 0) + 1
                self.out[action.id] = action
            elif isinstance(action, Reject | Fail):
                assert action.id not in self.final_actions, "a message got two final outcomes"
                self.final_actions[action.id] = action
            else:
                self.other_actions.append((self.now, action))
        return actions

    def listed(self, *entries: tuple[int, int], rate: float = 20.0, kind: int = 0) -> None:
        self.feed(
            EndpointList(
                ListKind.CACHED,
                tuple(Endpoint(ident, dest, Listing.READY, kind, 0, rate) for ident, dest in entries),
            )
        )

    def message(
        self, class_: int = SAFE, dest: int = 1, left: float = 1e4, key: int = 0, tenant: int = 0
    ) -> int:
        self.ids += 1
        self.feed(Message(self.ids, dest, class_, left, tenant, key))
        return self.ids

    def pass_time(self, ms: float, step: float = 5.0) -> None:
        end = self.now + ms
        while self.now < end:
            self.now += step
            self.feed(TimerFired(0))

    def last(self, ident: int) -> tuple[float, StartAttempt]:
        return [entry for entry in self.sent if entry[1].id == ident][-1]

    def answer(
        self,
        ident: int,
        outcome: Outcome = Outcome.OK,
        wait: float = 0.0,
        took: float = 100.0,
        report: tuple[float, ...] = (),
    ) -> list[Action]:
        started = self.out.pop(ident)
        return self.feed(
            AttemptCompleted(
                ident,
                self.attempts[ident] - 1,
                started.endpoint,
                outcome,
                took,
                outcome is Outcome.OK,
                wait,
                report=report,
            )
        )

    def warm_up(self, dest: int = 1, calls: int = 6) -> None:
        """Delivers some messages with fast responses, so that the destination is known and healthy."""
        for _ in range(calls):
            ident = self.message(SAFE, dest)
            while not self.attempts.get(ident):
                self.pass_time(20)
            self.pass_time(100)
            self.answer(ident)

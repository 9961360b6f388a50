"""No rule is violated by random legal events, and the rule checker detects a violation of each rule."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from message_relay.decisions.actions import Fail, Reject, SetTimer, StartAttempt
from message_relay.decisions.events import (
    AttemptCompleted,
    EndpointList,
    Event,
    Message,
    MessageCancelled,
    ShutdownScheduled,
    TimerFired,
)
from message_relay.decisions.model import (
    Decay,
    DestinationKind,
    Effect,
    Endpoint,
    Listing,
    ListKind,
    MessageClass,
    Outcome,
    Rates,
    Scope,
    Settings,
    Tenant,
)
from message_relay.decisions.scheduler import DeliveryScheduler

from ..conftest import make_settings
from .rule_checker import Checker, RuleViolation

OUTCOMES = list(Outcome)


@st.composite
def settings_strategy(draw: st.DrawFn) -> Settings:
    def message_class(effect: Effect, scope: Scope, ordered: bool) -> MessageClass:
        return MessageClass("c", effect, 400.0, 4000.0, 1.0, 0.5, 1200.0, scope, ordered)

    classes = draw(
        st.lists(
            st.builds(
                message_class,
                st.sampled_from(Effect),
                st.sampled_from([Scope.ALL, Scope.ZONE]),
                st.booleans(),
            ),
            min_size=1,
            max_size=3,
        )
    )
    return make_settings(
        classes=tuple(classes),
        kinds=(DestinationKind("k", has_separate_routes=draw(st.booleans())),),
        max_concurrent_attempts=draw(st.integers(1, 6)),
        max_pending_messages=draw(st.integers(5, 30)),
        max_attempts=draw(st.integers(1, 5)),
        polls_discovery=draw(st.booleans()),
        rates=draw(st.sampled_from(Rates)),
        decay=draw(st.sampled_from(Decay)),
        marks_repeats=draw(st.booleans()),
        tenants=tuple(Tenant(name, 2.0) for name in "ab"),
        over_quota_weight=0.1,
    )


def drive(relay: DeliveryScheduler, setup: Settings, seed: int, steps: int = 160, dests: int = 2) -> Checker:
    """Drives a scheduler with random legal events of all kinds under the rule checker.

    Arrivals, resumed messages, each outcome, Retry-After, draining, replaced endpoints, ordering keys,
    cancellations and a shutdown.
    """
    rng = random.Random(seed)
    checker, now = Checker(setup), 500.0
    in_flight: dict[tuple[int, int], StartAttempt] = {}
    attempt_counts: dict[int, int] = {}
    timers: list[float] = []
    endpoint_rows = [(10 * d + n, d, n % 2) for d in range(1, dests + 1) for n in range(1, 3 - d % 2 + 1)]
    listed = [Endpoint(e, d, Listing.READY, 0, z, 20.0) for e, d, z in endpoint_rows]
    events: list[Event] = [EndpointList(ListKind.CACHED, tuple(listed))]
    ids, failure_probability = 0, 0.2
    for step in range(steps):
        for event in events:
            checker.record_event(now, event)
        for action in relay.handle(now, events):
            checker.check_action(now, action)
            if isinstance(action, StartAttempt):
                number = attempt_counts.get(action.id, 0)
                attempt_counts[action.id] = number + 1
                in_flight[action.id, number] = action
            elif isinstance(action, SetTimer):
                timers.append(now + action.delay_ms)
        upcoming = [t for t in [*timers, *(send.give_up_at_ms for send in in_flight.values())] if t > now]
        now = min(upcoming, default=now + 25.0) if rng.random() < 0.8 else now + 5.0
        events = [TimerFired(0)] if any(t <= now for t in timers) else []
        timers = [t for t in timers if t > now]
        if step % 20 == 0:
            failure_probability = rng.choice([0.0, 0.2, 0.9])
        for (message_id, number), send in list(in_flight.items()):
            if now >= send.give_up_at_ms or rng.random() < 0.15:
                outcome = rng.choice(OUTCOMES) if rng.random() < failure_probability else Outcome.OK
                outcome = Outcome.TIMEOUT if now >= send.give_up_at_ms else outcome
                wait = rng.choice([0.0, 300.0]) if outcome is Outcome.FULL else 0.0
                finished = outcome is Outcome.OK or checker.messages[message_id].is_final
                del in_flight[message_id, number]
                events.append(
                    AttemptCompleted(message_id, number, send.endpoint, outcome, 80.0, finished, wait)
                )
        for _ in range(rng.choice([0, 0, 0, 1, 1, dests]) if step < 0.75 * steps else 0):
            ids += 1
            left = rng.choice([300.0, 2000.0, rng.uniform(500.0, 4000.0), 4000.0])
            destination_id, age = rng.randint(1, dests + 1), rng.choice([None] * 9 + [700.0])
            destination_endpoints = [entry for entry in listed if entry.destination == destination_id]
            uncertain = (
                rng.choice(destination_endpoints)
                if age is not None and destination_endpoints and rng.random() < 0.6
                else None
            )
            events.append(
                Message(
                    ids,
                    destination_id,
                    rng.randrange(len(setup.classes)),
                    left,
                    rng.randrange(2),
                    rng.choice([0, 7, 8]),
                    is_repeat=rng.random() < 0.2,
                    age_ms=age,
                    attempts=0 if age is None else rng.randint(0, 2),
                    uncertain_for_ms=None if uncertain is None else rng.choice([50.0, 600.0]),
                    uncertain_endpoint=uncertain,
                )
            )
        if rng.random() < 0.02:  # an endpoint is replaced by another, under another id
            n = rng.randrange(len(listed))
            old, listed[n] = listed[n], replace(listed[n], id=listed[n].id + 1000)
            events.append(EndpointList(ListKind.CHANGES, (replace(old, listing=Listing.REMOVED), listed[n])))
        if rng.random() < 0.03:
            kind = rng.choice(list(ListKind))
            part = rng.sample(listed, len(listed) - 1)
            state = rng.choice(list(Listing)) if kind is ListKind.CHANGES else Listing.READY
            entries = tuple(Endpoint(e.id, e.destination, state, 0, e.zone, e.rate) for e in part)
            events.append(EndpointList(kind, () if kind is ListKind.FAILED else entries))
        if rng.random() < 0.02 and any(not record.is_final for record in checker.messages.values()):
            message_id = next(i for i, record in checker.messages.items() if not record.is_final)
            events.append(MessageCancelled(message_id))
            checker.messages[message_id].is_final = True
        if step == steps - 20 and seed % 5 == 0:
            events.append(ShutdownScheduled(now + 500.0))
        checker.check_deadlines(now - 60.0)  # a step may take longer than the slack
    return checker


@settings(max_examples=150)
@given(settings_strategy(), st.integers(0, 2**32))
def test_no_rule_is_violated_by_legal_events(setup: Settings, seed: int) -> None:
    drive(DeliveryScheduler(setup, 5), setup, seed)


def make_checker(**options: Any) -> Checker:
    classes = (
        MessageClass("u", Effect.UNSAFE, 400.0, 4000.0),
        MessageClass("k", Effect.KEYED, 400.0, 4000.0, 1.0, 0.0, 1000.0, Scope.ZONE),
        MessageClass("o", Effect.SAFE, 400.0, 4000.0, in_order=True),
    )
    checker = Checker(make_settings(classes=classes, **options))
    checker.record_event(
        0.0,
        EndpointList(
            ListKind.CACHED,
            tuple(Endpoint(e, 1, Listing.READY, 0, z, 2.0) for e, z in ((11, 0), (12, 1))),
        ),
    )
    for message_id, class_ in enumerate([0, 1, 2, 2]):
        checker.record_event(0.0, Message(message_id, 1, class_, 4000.0, 0, 7))
    return checker


def complete(checker: Checker, message_id: int, outcome: Outcome, at: float, wait: float = 0.0) -> None:
    number = len(checker.messages[message_id].attempts) - 1
    checker.record_event(
        at, AttemptCompleted(message_id, number, 11, outcome, 1.0, outcome is Outcome.OK, wait)
    )


def test_checker_detects_a_violation_of_each_rule() -> None:
    send = StartAttempt(0, 11, 4000.0)
    checker = make_checker()
    with pytest.raises(RuleViolation, match="lost: no final"):
        checker.check_deadlines(4100.0)
    checker.check_action(1.0, Fail(0))
    with pytest.raises(RuleViolation, match="lost: sent after"):
        checker.check_action(2.0, send)
    with pytest.raises(RuleViolation, match="lost: a second"):
        checker.check_action(2.0, Fail(0))
    checker = make_checker()
    checker.check_action(1.0, send)
    with pytest.raises(RuleViolation, match="twice: two attempts"):
        checker.check_action(2.0, send)
    complete(checker, 0, Outcome.TIMEOUT, 3.0)
    with pytest.raises(RuleViolation, match="twice: unsafe"):
        checker.check_action(4.0, send)
    with pytest.raises(RuleViolation, match="twice: refused"):
        checker.check_action(4.0, Reject(0))
    checker.check_action(5.0, StartAttempt(1, 11, 4000.0))
    complete(checker, 1, Outcome.RESET, 6.0)
    with pytest.raises(RuleViolation, match="twice: outside the key's zone"):
        checker.check_action(7.0, StartAttempt(1, 12, 4000.0))
    with pytest.raises(RuleViolation, match="twice: outside the key's window"):
        checker.check_action(1100.0, StartAttempt(1, 11, 4000.0))
    with pytest.raises(RuleViolation, match="order: an earlier"):
        checker.check_action(8.0, StartAttempt(3, 11, 4000.0))
    checker.check_action(8.0, StartAttempt(2, 11, 4000.0))
    complete(checker, 2, Outcome.TIMEOUT, 8.5)
    checker.record_event(8.5, MessageCancelled(2))
    with pytest.raises(RuleViolation, match="order: its key must pause"):
        checker.check_action(9.0, StartAttempt(3, 11, 4000.0))
    checker = make_checker()
    checker.check_action(1.0, send)
    complete(checker, 0, Outcome.FULL, 2.0, wait=500.0)
    with pytest.raises(RuleViolation, match="wait: sent"):
        checker.check_action(400.0, send)
    checker.record_event(500.0, EndpointList(ListKind.CHANGES, (Endpoint(11, 1, Listing.DRAINING),)))
    with pytest.raises(RuleViolation, match="drain"):
        checker.check_action(800.0, send)
    checker = make_checker(max_attempts=20)
    for at in (1.0, 2.0, 3.0):
        checker.check_action(at, send)
        complete(checker, 0, Outcome.CONNECT_FAILED, at)
    checker.check_action(4.0, StartAttempt(2, 11, 4000.0))
    complete(checker, 2, Outcome.OK, 5.0)
    with pytest.raises(RuleViolation, match="failback"):
        for _ in range(6):
            checker.check_action(6.0, send)
            complete(checker, 0, Outcome.FULL, 6.0)

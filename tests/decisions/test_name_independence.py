"""Decisions do not depend on names or the order of settings: nothing is fitted to one deployment."""

from __future__ import annotations

import re
from dataclasses import replace
from pathlib import Path
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

import message_relay
from message_relay.decisions.actions import Action
from message_relay.decisions.events import AttemptCompleted, Event, Message, TimerFired
from message_relay.decisions.model import DestinationKind, Effect, MessageClass, Outcome, Scope, Tenant

from ..conftest import Driver, make_settings

DEPLOYMENT_NAMES = (
    "traduceri",
    "comanda",
    "plata",
    "stare-lucrare",
    "firma-mare",
    "birou-mic",
    "dir-consular",
    "bucuresti",
    "lakeshore",
    "booking",
    "fee-charge",
    "partner-systems",
    "dock-7",
    "ledger-five",
)
name = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1, max_size=12)


@st.composite
def classes_of(draw: st.DrawFn) -> list[MessageClass]:
    message_classes = []
    for number in range(draw(st.integers(1, 4))):
        deadline = draw(st.floats(1000, 20000))
        message_classes.append(
            MessageClass(
                f"c{number}",
                draw(st.sampled_from(Effect)),
                draw(st.floats(300, 0.9 * deadline)),
                deadline,
                priority_weight=draw(st.integers(1, 9)) + number / 8,
                late_share=draw(st.floats(0, 0.9)),
                key_window_ms=draw(st.floats(1000, 30000)),
                key_scope=draw(st.sampled_from((Scope.ALL, Scope.ZONE))),
            )
        )
    return message_classes


Step = tuple[int, int, int]  # class and destination of a message, and the outcome of the oldest call


def run_scheduler(
    classes: tuple[MessageClass, ...],
    numbers: list[int],
    kinds: tuple[str, ...],
    tenants: tuple[str, ...],
    steps: list[Step],
    seed: int,
) -> list[tuple[float, Action]]:
    """Returns all actions of a scheduler; `numbers`: number of each class in these settings."""
    driver = Driver(
        make_settings(
            classes=classes,
            max_concurrent_attempts=3,
            max_pending_messages=12,
            relays=3,
            kinds=tuple(DestinationKind(kind) for kind in kinds),
            tenants=tuple(Tenant(tenant, 4.0) for tenant in tenants),
            over_quota_weight=0.25,
        ),
        seed=seed,
    )
    driver.listed((1, 1), (2, 1), (3, 2), rate=6.0)
    actions: list[tuple[float, Action]] = []
    outcomes = list(Outcome)
    for msg_id, (class_, dest, end) in enumerate(steps, 1):
        events: list[Event] = [
            Message(msg_id, dest, numbers[class_ % len(numbers)], 4000.0, tenant=msg_id % len(tenants))
        ]
        if driver.out and end < len(outcomes):
            oldest = next(iter(driver.out))
            send = driver.out.pop(oldest)
            events.append(
                AttemptCompleted(oldest, 0, send.endpoint, outcomes[end], 80.0, outcomes[end] is Outcome.OK)
            )
        actions += [(driver.now, action) for action in driver.feed(*events)]
        driver.now += 60.0
        actions += [(driver.now, action) for action in driver.feed(TimerFired(0))]
    return actions


@settings(max_examples=60)
@given(
    classes_of(),
    st.randoms(use_true_random=False),
    st.lists(name, min_size=8, max_size=8, unique=True),
    st.lists(st.tuples(st.integers(0, 3), st.integers(1, 2), st.integers(0, 9)), min_size=5, max_size=60),
    st.integers(0, 99),
)
def test_renamed_and_reordered_classes_are_treated_alike(
    classes: list[MessageClass], chance: object, names: list[str], steps: list[Step], seed: int
) -> None:
    assert isinstance(chance, Random)
    order = list(range(len(classes)))
    chance.shuffle(order)  # position in the other settings -> class in the first settings
    other = tuple(replace(classes[class_], name=names[position]) for position, class_ in enumerate(order))
    first_numbers = list(range(len(classes)))
    other_numbers = [order.index(class_) for class_ in first_numbers]
    first = run_scheduler(tuple(classes), first_numbers, ("k",), ("t", "u"), steps, seed)
    second = run_scheduler(other, other_numbers, (names[4],), (names[5], names[6]), steps, seed)
    assert first == second


def test_program_contains_no_name_of_a_deployment() -> None:
    occurrences = []
    for path in Path(message_relay.__path__[0]).rglob("*.py"):
        text = path.read_text().lower()
        occurrences += [
            (path.name, word) for word in DEPLOYMENT_NAMES if re.search(rf"\b{re.escape(word)}\b", text)
        ]
    assert occurrences == []

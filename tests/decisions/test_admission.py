"""Admission and load shedding: no message is rejected or shed in favour of one of lower value."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from message_relay.core.message_lifecycle import MessageLifecycle
from message_relay.core.ports import Submission
from message_relay.decisions.actions import Reject
from message_relay.decisions.events import EndpointList, Event, Message
from message_relay.decisions.load_shedding import SHEDDING_THRESHOLD
from message_relay.decisions.model import Effect, Endpoint, Listing, ListKind, MessageClass, Tenant
from message_relay.decisions.scheduler import DeliveryScheduler
from message_relay.store.journal import Journal

from ..conftest import SAFE, Driver, make_settings

MAX_PENDING = 40
THRESHOLD = int(SHEDDING_THRESHOLD * MAX_PENDING)
TENANTS = (Tenant("own", 1000.0), Tenant("over", 0.0))


def overloaded(weights: tuple[float, float] = (1.0, 1.0)) -> Driver:
    """Returns a relay at its threshold: destination 1 answers no call, destination 2 is healthy."""
    classes = tuple(
        MessageClass(str(n), Effect.SAFE, 1000.0, 1e4, weight, 0.5, 3000.0)
        for n, weight in enumerate(weights)
    )
    driver = Driver(
        make_settings(
            classes=classes,
            max_pending_messages=MAX_PENDING,
            relays=1,
            max_retry_after_ms=3000.0,
            tenants=TENANTS,
            over_quota_weight=0.1,
        )
    )
    driver.listed((1, 1), rate=1.0)
    driver.listed((1, 1), (2, 2), rate=1.0)
    driver.feed(EndpointList(ListKind.CHANGES, (Endpoint(2, 2, Listing.READY, rate=1000.0),)))
    for _ in range(THRESHOLD):
        driver.message(dest=1)
    assert len(driver.relay.pending.by_id) == THRESHOLD and not driver.final_actions
    return driver


def rejection_delay(driver: Driver, dest: int = 1, class_: int = SAFE, tenant: int = 0) -> float | None:
    return driver.relay.rejection_delay_ms(
        driver.now, Message(0, dest, class_, 1e4, tenant), len(driver.relay.pending.by_id)
    )


def test_submission_that_would_cost_an_accepted_message_is_rejected_with_retry_after() -> None:
    driver = overloaded()
    delay_ms = rejection_delay(driver)
    assert delay_ms is not None and 0 < delay_ms <= 3000.0
    assert (
        driver.relay.rejection_delay_ms(driver.now, Message(0, 1, SAFE, 1e4), THRESHOLD - 1) is None
    )  # below the threshold


def test_submission_of_higher_value_is_accepted_and_the_lowest_is_shed() -> None:
    driver = overloaded((1.0, 4.0))
    assert rejection_delay(driver, dest=2, class_=1) is None
    driver.relay.admission.quota_tokens[1] = (
        0.0,
        driver.now,
    )  # this tenant has used up its quota: its submissions are worth a tenth
    assert rejection_delay(driver, dest=2, class_=1, tenant=1) is not None
    message_id = driver.message(1, dest=2)
    assert len(driver.final_actions) == 1 and message_id not in driver.final_actions
    (end,) = driver.final_actions.values()
    assert isinstance(end, Reject)


def test_message_that_has_waited_longest_is_shed_before_a_newcomer() -> None:
    driver = overloaded()
    driver.pass_time(7500.0, 50.0)  # no submissions: the accepted messages grow old
    final_before = set(driver.final_actions)
    while len(driver.relay.pending.by_id) < THRESHOLD:
        driver.message(dest=1)
    new_ids = set(range(THRESHOLD + 1, driver.ids + 1))
    assert rejection_delay(driver, dest=2) is None
    driver.message(dest=2)
    newly_final = set(driver.final_actions) - final_before
    assert len(newly_final) == 1 and not newly_final & new_ids


def test_rejected_submission_is_not_journalled_and_has_no_outcome(tmp_path: Path) -> None:
    async def work() -> None:
        settings = make_settings(max_pending_messages=MAX_PENDING, relays=1, max_retry_after_ms=3000.0)
        relay, journal = DeliveryScheduler(settings, 1), Journal(tmp_path, 1 << 20)
        endpoint = Endpoint(1, 1, Listing.READY, rate=1.0)
        relay.handle(0.0, [EndpointList(ListKind.COMPLETE, (endpoint,))])
        events: list[Event] = []
        lifecycle = MessageLifecycle(
            settings,
            journal,
            lambda: 0.0,
            events.append,
            lambda origin, end: pytest.fail("a final outcome is to be notified"),
            lambda message, pending: relay.rejection_delay_ms(0.0, message, pending),
        )
        lifecycle.add_destinations({1})
        name = settings.classes[SAFE].name
        submissions = [
            Submission(f"m{n}", name, "", 1, None, 10_000, "", b"", "http") for n in range(THRESHOLD + 1)
        ]
        assert all(lifecycle.accept(submission).accepted for submission in submissions[:-1])
        relay.handle(0.0, events)
        receipt = lifecycle.accept(submissions[-1])
        assert not receipt.accepted and 0 < receipt.retry_after_s <= 3.0
        assert f"m{THRESHOLD}" not in journal.entries and len(lifecycle.accepted) == THRESHOLD
        assert lifecycle.outcomes.counts["turned away"] == 1
        assert lifecycle.accept(submissions[0]).accepted  # a pending message is known, however full it is
        journal.close()

    asyncio.run(work())

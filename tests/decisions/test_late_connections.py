"""Attempts whose connections are late hold no slot, and get one again before their first byte."""

from __future__ import annotations

from message_relay.decisions.events import AttemptCompleted, AttemptConnecting
from message_relay.decisions.model import Outcome

from ..conftest import Driver, make_settings

SLOTS = 2


def driver_with_full_slots() -> tuple[Driver, int, int]:
    """A driver whose slots are taken by one attempt each at the destinations 1 and 2."""
    driver = Driver(make_settings(max_concurrent_attempts=SLOTS))
    driver.listed((1, 1), (2, 2), (3, 3), rate=1000.0)
    first, second = driver.message(dest=1), driver.message(dest=2)
    assert driver.attempts == {first: 1, second: 1}
    return driver, first, second


def test_attempt_with_a_late_connection_leaves_its_slot_to_another() -> None:
    """Guards against slots that are held by connections which come up late: with a few of them nothing else
    was sent, for up to the connect timeout."""
    driver, first, _ = driver_with_full_slots()
    third = driver.message(dest=3)
    assert third not in driver.attempts
    driver.feed(AttemptConnecting(first))
    assert driver.attempts[third] == 1 and driver.relay.in_flight == SLOTS + 1


def test_no_more_attempts_are_written_than_there_are_slots() -> None:
    driver, first, second = driver_with_full_slots()
    assert driver.relay.may_write(driver.now, second)
    driver.feed(AttemptConnecting(first))
    third = driver.message(dest=3)
    assert driver.relay.may_write(driver.now, third)
    assert not driver.relay.may_write(driver.now, first)  # both slots are taken
    driver.answer(third)
    assert driver.relay.may_write(driver.now, first)
    fourth = driver.message(dest=3)
    assert fourth not in driver.attempts  # and are so again
    driver.answer(first)
    assert driver.attempts[fourth] == 1


def test_attempt_that_gets_no_slot_is_made_again_and_does_not_count() -> None:
    driver, first, _ = driver_with_full_slots()
    driver.feed(AttemptConnecting(first))
    driver.message(dest=3)
    endpoint = driver.out.pop(first).endpoint
    driver.feed(AttemptCompleted(first, 0, endpoint, Outcome.NOT_SENT, was_withheld=True))
    assert driver.relay.in_flight == SLOTS
    assert driver.relay.pending.by_id[first].attempts == 0


def test_attempt_that_has_been_written_keeps_its_slot() -> None:
    driver, first, _ = driver_with_full_slots()
    assert driver.relay.may_write(driver.now, first)
    driver.feed(AttemptConnecting(first))  # was on its way while the connection came up
    third = driver.message(dest=3)
    assert third not in driver.attempts


def test_as_many_attempts_as_there_are_slots_may_wait_for_late_connections() -> None:
    driver, first, second = driver_with_full_slots()
    waiting = [first, second]
    for _ in range(SLOTS + 1):
        driver.feed(*(AttemptConnecting(ident) for ident in waiting))
        waiting.append(driver.message(dest=3))
        driver.pass_time(100)
    assert driver.relay.dispatcher.connecting == SLOTS and driver.relay.dispatcher.in_flight <= SLOTS

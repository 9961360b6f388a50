"""The six delivery rules, by effect and outcome."""

import pytest

from message_relay.decisions.actions import Fail, Reject, WatchEndpoints
from message_relay.decisions.events import EndpointList, MessageCancelled
from message_relay.decisions.model import (
    DestinationKind,
    Effect,
    Endpoint,
    Listing,
    ListKind,
    MessageClass,
    Outcome,
    Scope,
)

from ..conftest import CLASSES, KEYED, SAFE, UNCLEAR, UNSAFE, Driver, make_settings

NO_EFFECT_OUTCOMES = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


@pytest.mark.parametrize("class_", [SAFE, KEYED, UNSAFE])
@pytest.mark.parametrize("outcome", [*UNCLEAR, Outcome.CANCELLED, *NO_EFFECT_OUTCOMES])
def test_retry_is_allowed_only_as_the_outcome_and_effect_permit(class_: int, outcome: Outcome) -> None:
    driver = Driver()
    driver.listed((11, 1))
    driver.warm_up()
    message_id = driver.message(class_)
    driver.pass_time(100)
    driver.answer(message_id, outcome)
    first = driver.last(message_id)[0]
    driver.pass_time(9900)
    if class_ == UNSAFE and outcome not in NO_EFFECT_OUTCOMES:
        assert driver.attempts[message_id] == 1 and isinstance(driver.final_actions[message_id], Fail)
    else:
        assert driver.attempts[message_id] == 2
        if class_ == KEYED and outcome not in NO_EFFECT_OUTCOMES:
            assert driver.last(message_id)[0] - first < CLASSES[KEYED].key_window_ms


@pytest.mark.parametrize("class_", [SAFE, KEYED, UNSAFE])
def test_each_message_ends_once_before_its_deadline(class_: int) -> None:
    driver = Driver()
    driver.listed((11, 1))
    ids = [driver.message(class_, left=2000.0) for _ in range(6)]
    undeliverable = driver.message(class_, dest=99, left=2000.0)
    sent = {call[1].id for call in driver.sent}
    driver.pass_time(2000)
    for message_id in [*ids, undeliverable]:
        if message_id not in sent and message_id not in driver.final_actions:
            assert driver.last(message_id)[1].give_up_at_ms <= 3000.0
    assert isinstance(driver.final_actions[undeliverable], Reject)
    for message_id in {call[1].id for call in driver.sent} - set(driver.final_actions):
        driver.answer(message_id, Outcome.TIMEOUT)
    assert set(driver.final_actions) == {*ids, undeliverable}


def test_keyed_message_is_not_retried_after_its_key_window() -> None:
    driver = Driver()
    driver.listed((11, 1))
    message_id = driver.message(KEYED)
    start = driver.now
    for _ in range(4):
        while (
            message_id not in driver.final_actions
            and driver.attempts[message_id] == len([sent for sent in driver.sent if sent[1].id == message_id])
            and driver.now < start + 9000
            and message_id not in driver.out
        ):
            driver.pass_time(20)
        if message_id in driver.final_actions:
            break
        driver.pass_time(900)
        driver.answer(message_id, Outcome.TIMEOUT)
    assert all(at - start < CLASSES[KEYED].key_window_ms for at, send in driver.sent)
    assert len(driver.sent) >= 2 and message_id in driver.final_actions


@pytest.mark.parametrize("scope", [Scope.ZONE, Scope.ENDPOINT])
def test_retry_stays_in_the_scope_of_its_idempotency_key(scope: Scope) -> None:
    keyed = MessageClass("k", Effect.KEYED, 1000.0, 10000.0, 1.0, 0.5, 6000.0, scope)
    driver = Driver(make_settings(classes=(keyed,)))
    driver.feed(
        EndpointList(
            ListKind.CACHED,
            tuple(
                Endpoint(message_id, 1, Listing.READY, 0, zone, 20.0)
                for message_id, zone in ((11, 0), (12, 1))
            ),
        )
    )
    message_id = driver.message(0)
    first = driver.last(message_id)[1].endpoint
    driver.pass_time(100)
    driver.answer(message_id, Outcome.RESET)
    driver.feed(EndpointList(ListKind.CHANGES, (Endpoint(first, 1, Listing.DRAINING),)))
    driver.pass_time(9900)
    assert driver.attempts[message_id] == 1 and isinstance(driver.final_actions[message_id], Fail)


def test_retry_after_applies_to_all_endpoints_of_a_destination() -> None:
    driver = Driver()
    driver.listed((11, 1), (12, 1))
    driver.warm_up()
    message_id = driver.message(SAFE)
    driver.pass_time(50)
    driver.answer(message_id, Outcome.FULL, wait=800.0)
    refused_at = driver.now
    for _ in range(4):
        driver.message(SAFE)
    driver.pass_time(4000)
    after = [at for at, _ in driver.sent if at > refused_at]
    assert after and min(after) >= refused_at + 800.0


def test_retry_after_applies_to_one_route_where_routes_are_separate() -> None:
    driver = Driver(make_settings(kinds=(DestinationKind("k", has_separate_routes=True),)))
    driver.listed((11, 1), (12, 1))
    message_id = driver.message(SAFE)
    route = driver.last(message_id)[1].endpoint
    driver.pass_time(50)
    driver.answer(message_id, Outcome.FULL, wait=2000.0)
    refused_at = driver.now
    driver.pass_time(1500)
    assert driver.last(message_id)[0] > refused_at and driver.last(message_id)[1].endpoint != route


@pytest.mark.parametrize("listing", [Listing.DRAINING, Listing.REMOVED, None])
def test_draining_takes_effect_at_once(listing: Listing | None) -> None:
    driver = Driver()
    driver.listed((11, 1), (12, 1))
    driver.warm_up()
    if listing is None:
        driver.feed(EndpointList(ListKind.COMPLETE, (Endpoint(12, 1, Listing.READY, 0, 0, 20.0),)))
    else:
        driver.feed(EndpointList(ListKind.CHANGES, (Endpoint(11, 1, listing),)))
    start = len(driver.sent)
    for _ in range(8):
        driver.message()
        driver.pass_time(100)
    assert {send.endpoint for _, send in driver.sent[start:]} == {12}


def test_messages_of_a_key_keep_their_order_and_its_pause() -> None:
    ordered = MessageClass("o", Effect.SAFE, 1000.0, 10000.0, 1.0, 0.5, 0.0, in_order=True)
    driver = Driver(make_settings(classes=(ordered,)))
    driver.listed((11, 1), (12, 2))
    driver.warm_up(1)
    driver.warm_up(2)
    first, second, other = (
        driver.message(0, 1, key=5),
        driver.message(0, 2, key=5),
        driver.message(0, 2, key=6),
    )
    driver.pass_time(300)
    assert (
        driver.attempts.get(first) == 1 and second not in driver.attempts and driver.attempts.get(other) == 1
    )
    driver.feed(MessageCancelled(first))
    driver.pass_time(300)
    assert second not in driver.attempts  # the first message still has an attempt in flight
    driver.answer(first, Outcome.TIMEOUT)
    timed_out_at = driver.now
    driver.pass_time(1000)
    assert driver.last(second)[0] >= timed_out_at + 100.0


def test_recovery_from_an_outage_stays_within_the_budget() -> None:
    driver = Driver()
    driver.listed((11, 1))
    driver.warm_up()
    for _ in range(2):
        message_id = driver.message(SAFE)
        driver.pass_time(400)
        if driver.attempts.get(message_id):
            driver.answer(message_id, Outcome.CONNECT_FAILED)
    for _ in range(30):
        driver.message(SAFE)
    recovered_at = driver.now
    answered: set[tuple[int, int]] = set()
    while driver.now < recovered_at + 4000:
        driver.pass_time(50)
        for at, send in driver.sent:
            if (send.id, int(at)) not in answered and at >= recovered_at and driver.now - at >= 50:
                answered.add((send.id, int(at)))
                if send.id in driver.out:
                    driver.answer(send.id)
    times = [at for at, _ in driver.sent if at >= recovered_at]
    budget = 2.0 * 20.0 / 2 * 1.5  # multiple x this relay's share of the rate x window, at full capacity
    early = [t for t in times if t < recovered_at + 1500]
    assert 1 <= len(early) <= budget * (0.2 + 0.8 * 1500 / 9000 / 2) + 1  # the destination warms up meanwhile
    assert len(times) > len(early)


def test_discovery_is_polled_at_start_and_again_after_a_failure() -> None:
    driver = Driver(make_settings(polls_discovery=True))
    assert driver.feed() and isinstance(driver.other_actions[0][1], WatchEndpoints)
    for _ in range(4):
        before = driver.now
        poll_count = len([1 for _, action in driver.other_actions if isinstance(action, WatchEndpoints)])
        driver.feed(EndpointList(ListKind.FAILED))
        driver.pass_time(3000)
        polled_at = [at for at, action in driver.other_actions if isinstance(action, WatchEndpoints)]
        assert len(polled_at) > poll_count and polled_at[poll_count] > before

"""One relay of a fleet of two hundred, which observes a two-hundredth of all calls."""

from __future__ import annotations

import pytest

from message_relay.decisions.events import Message
from message_relay.decisions.model import Outcome, Tenant

from ..conftest import SAFE, Driver, make_settings

RELAYS = 200


def drivers(count: int, rate: float, **options: object) -> list[Driver]:
    created = [
        Driver(make_settings(relays=RELAYS, max_pending_messages=200, **options), seed=seed)
        for seed in range(count)
    ]
    for driver in created:
        driver.listed((11, 1), rate=rate)
    return created


def test_restart_of_most_relays_does_not_call_all_at_once_for_resumed_messages() -> None:
    """Guards against calls with full token buckets after a restart of most of the fleet.

    With two calls saved up for each, 42 relays of 60 made 679 calls in a second, and 434 were refused.
    """
    at_once = 0
    for driver in drivers(50, rate=20.0):
        driver.feed(*(Message(n, 1, SAFE, 9000.0, age_ms=1000.0) for n in range(1, 9)))
        driver.pass_time(200)
        at_once += len(driver.sent)
    assert at_once <= 10


def test_rate_recovers_with_time_without_successes() -> None:
    """Guards against a rate that only successes raise.

    At 0.65 calls per second for each relay, it does not recover within a day.
    """
    for driver in drivers(20, rate=130.0):
        first = driver.message()
        driver.pass_time(50)
        driver.answer(first, Outcome.FULL)
        refused_at, destination = driver.now, driver.relay.destinations[1][-1]
        for _ in range(20):
            driver.message()
        driver.pass_time(1000)
        assert len([at for at, _ in driver.sent if at >= refused_at]) <= 1
        assert (
            driver.relay.rate_controller.rate_and_burst(refused_at + 6500, destination, False)[0]
            >= 130.0 / RELAYS
        )


def test_rate_of_a_throttled_relay_rises_evenly_until_it_is_restored() -> None:
    driver = drivers(1, rate=2000.0)[0]
    first = driver.message()
    driver.pass_time(50)
    driver.answer(first, Outcome.FULL)
    destination = driver.relay.destinations[1][-1]
    throttled_ms = destination.throttled_until - driver.now
    rates = [
        driver.relay.rate_controller.rate_and_burst(driver.now + part * throttled_ms, destination, False)[0]
        for part in (0.0, 0.5, 0.9, 1.01)
    ]
    assert rates == sorted(rates) and rates[0] < 0.75 * 10.0 and rates[2] < rates[3] == pytest.approx(10.0)


def test_rate_above_the_equal_part_grows_slowly() -> None:
    """If all relays are rate limited and exceed their equal share at once, together they exceed the limit."""
    driver = drivers(1, rate=400.0, max_concurrent_attempts=20)[0]
    destination = driver.relay.destinations[1][-1]
    for _ in range(40):
        driver.message()
    responses = 0
    while destination.send_rate < 1.2 * 2.0 and responses < 40:
        driver.pass_time(20)
        for message_id in list(driver.out):
            driver.answer(message_id, took=20.0)
            driver.message()
            responses += 1
    assert responses >= 6  # 1.03 ** 6 = 1.19


def test_unthrottled_rare_calls_of_all_relays_stay_below_a_small_limit() -> None:
    """One relay that sends a call each three seconds is harmless; two hundred make 70 calls per second."""
    sent = 0
    for driver in drivers(10, rate=20.0):
        for _ in range(40):
            driver.message()
        for _ in range(400):  # every relay has more than it may send
            driver.pass_time(50, 25)
            for message_id in list(driver.out):
                driver.answer(message_id, took=50.0)
        sent += len(driver.sent)
    assert sent / 10 <= 2 + 20 * 20.0 * 1.25 / RELAYS + 1


def test_messages_of_a_small_tenant_count_as_within_its_quota() -> None:
    """Guards small tenants: a two-hundredth of the quota, saved up for two seconds, was under one message."""
    driver = Driver(make_settings(relays=RELAYS, tenants=(Tenant("small", 80.0),), over_quota_weight=0.1))
    weights = []
    for _ in range(12):
        message_id = driver.message(tenant=0)
        weights.append(driver.relay.pending.by_id[message_id].priority_weight)
        driver.pass_time(1000, 500)
    assert weights[0] == 1.0 and weights.count(1.0) >= 8  # 0.4 per second, and four saved up
    assert weights.count(0.1) >= 3  # messages above its quota still count less

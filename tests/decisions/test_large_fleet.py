"""What one of two hundred relays may do, where it meets a two-hundredth of what happens."""

from __future__ import annotations

import pytest

from message_relay.decisions.events import Message
from message_relay.decisions.model import Outcome, Tenant

from ..conftest import SAFE, Driver, make_settings

RELAYS = 200


def drivers(count: int, rate: float, **more: object) -> list[Driver]:
    made = [
        Driver(make_settings(relays=RELAYS, max_pending_messages=200, **more), seed=seed)
        for seed in range(count)
    ]
    for d in made:
        d.listed((11, 1), rate=rate)
    return made


def test_a_restart_of_most_does_not_call_all_at_once_for_what_was_held() -> None:
    """With two calls saved up for each, 42 relays of 60 made 679 calls in a second, and 434 were refused."""
    at_once = 0
    for d in drivers(50, rate=20.0):
        d.feed(*(Message(n, 1, SAFE, 9000.0, age_ms=1000.0) for n in range(1, 9)))
        d.pass_time(200)
        at_once += len(d.sent)
    assert at_once <= 10


def test_a_pace_is_back_with_time_though_no_call_has_succeeded() -> None:
    """At 0.65 calls a second for each, a pace that only successes raise is not back within a day."""
    for d in drivers(20, rate=130.0):
        first = d.message()
        d.pass_time(50)
        d.answer(first, Outcome.FULL)
        refused, lane = d.now, d.relay.destinations[1][-1]
        for _ in range(20):
            d.message()
        d.pass_time(1000)
        assert len([at for at, _ in d.sent if at >= refused]) <= 1
        assert d.relay.rate_controller.rate_and_burst(refused + 6500, lane, False)[0] >= 130.0 / RELAYS


def test_the_pace_of_a_refused_relay_rises_evenly_until_it_is_free() -> None:
    d = drivers(1, rate=2000.0)[0]
    first = d.message()
    d.pass_time(50)
    d.answer(first, Outcome.FULL)
    lane = d.relay.destinations[1][-1]
    left = lane.throttled_until - d.now
    paces = [
        d.relay.rate_controller.rate_and_burst(d.now + part * left, lane, False)[0]
        for part in (0.0, 0.5, 0.9, 1.01)
    ]
    assert paces == sorted(paces) and paces[0] < 0.75 * 10.0 and paces[2] < paces[3] == pytest.approx(10.0)


def test_calls_above_the_equal_part_grow_slowly() -> None:
    """Where all relays are bound, all that go on above their part at once break the limit together."""
    d = drivers(1, rate=400.0, max_concurrent_attempts=20)[0]
    lane = d.relay.destinations[1][-1]
    for _ in range(40):
        d.message()
    answers = 0
    while lane.send_rate < 1.2 * 2.0 and answers < 40:
        d.pass_time(20)
        for ident in list(d.out):
            d.answer(ident, took=20.0)
            d.message()
            answers += 1
    assert answers >= 6  # 1.03 ** 6 = 1.19


def test_rare_calls_of_all_together_stay_below_what_a_small_destination_takes() -> None:
    """One that sends each in three seconds unpaced is harmless; two hundred make 70 calls a second."""
    sent = 0
    for d in drivers(10, rate=20.0):
        for _ in range(40):
            d.message()
        for _ in range(400):  # every relay has more than it may send
            d.pass_time(50, 25)
            for ident in list(d.out):
                d.answer(ident, took=50.0)
        sent += len(d.sent)
    assert sent / 10 <= 2 + 20 * 20.0 * 1.25 / RELAYS + 1


def test_a_small_tenants_messages_count_as_inside_its_share() -> None:
    """A two-hundredth of its share, saved up for two seconds, was less than one message."""
    d = Driver(make_settings(relays=RELAYS, tenants=(Tenant("small", 80.0),), over_quota_weight=0.1))
    worths = []
    for _ in range(12):
        ident = d.message(tenant=0)
        worths.append(d.relay.pending.by_id[ident].priority_weight)
        d.pass_time(1000, 500)
    assert worths[0] == 1.0 and worths.count(1.0) >= 8  # 0.4 a second, and four saved up
    assert worths.count(0.1) >= 3  # what is above its share still counts less

"""Reactions of the scheduler to each kind of failure, and reactions that must not happen."""

from message_relay.decisions.actions import Fail, Reject
from message_relay.decisions.events import EndpointList, Message, MessageCancelled, ShutdownScheduled
from message_relay.decisions.model import (
    Effect,
    Endpoint,
    Listing,
    ListKind,
    MessageClass,
    Outcome,
    Scope,
    Tenant,
)

from ..conftest import KEYED, SAFE, UNSAFE, Driver, make_settings


def test_lost_responses_do_not_occupy_slots_until_the_deadline() -> None:
    driver = Driver()
    driver.listed((11, 1))
    driver.warm_up(calls=20)
    message_id = driver.message(UNSAFE)
    driver.pass_time(50)
    at, send = driver.last(message_id)
    assert at < send.give_up_at_ms < at + 5000.0  # its deadline is 10 s away


def test_short_deadline_does_not_count_as_age() -> None:
    driver = Driver(make_settings(marks_repeats=True))
    driver.listed((11, 1), rate=1.0)
    driver.warm_up()
    late = driver.message(SAFE, left=9000.0)
    driver.pass_time(1200)  # past its latency objective; it is rate limited or has been sent
    urgent = driver.message(SAFE, left=800.0)
    driver.pass_time(400)
    assert driver.attempts.get(urgent) == 1
    assert late not in driver.final_actions


def test_ejected_destination_bears_the_load_shedding_it_causes() -> None:
    driver = Driver(make_settings(max_pending_messages=20))
    driver.listed((11, 1), (12, 2))
    driver.warm_up(1)
    driver.warm_up(2)
    for _ in range(2):
        message_id = driver.message(SAFE, 1)
        driver.pass_time(400)
        driver.answer(message_id, Outcome.CONNECT_FAILED)
    at_ejected = [driver.message(KEYED, 1) for _ in range(14)]
    at_healthy = [driver.message(SAFE, 2) for _ in range(8)]
    assert not set(at_healthy) & set(driver.final_actions) and set(driver.final_actions) & set(at_ejected)
    assert all(
        isinstance(driver.final_actions[message_id], Reject)
        for message_id in set(driver.final_actions) & set(at_ejected)
    )


def test_busy_destination_with_some_failed_calls_is_not_ejected() -> None:
    """Guards a busy destination with resets and failed connects among many successes.

    An ejection for each of them would slow it for 11 s.
    """
    driver = Driver(make_settings(max_concurrent_attempts=20))
    driver.listed((11, 1), rate=200.0)
    driver.warm_up(calls=20)
    calls = 0
    for _ in range(100):
        driver.message(SAFE)
        driver.message(SAFE)
        driver.pass_time(20)
        for message_id in list(driver.out):
            calls += 1
            failure = Outcome.RESET if calls % 2 else Outcome.CONNECT_FAILED
            driver.answer(message_id, failure if calls % 9 < 2 else Outcome.OK)  # two in a row
    (destination,) = driver.relay.destinations[1].values()
    assert not destination.is_ejected and destination.warming_since < 0
    for _ in range(40):  # if all calls fail, it is ejected
        driver.message(SAFE)
        driver.pass_time(20)
        for message_id in list(driver.out):
            driver.answer(message_id, Outcome.RESET)
    assert destination.is_ejected


def test_rejection_carries_retry_after() -> None:
    driver = Driver(make_settings(max_pending_messages=20, max_retry_after_ms=3000.0))
    driver.listed((11, 1), (12, 2))
    driver.warm_up(1)
    first = driver.message(SAFE, 1)
    driver.pass_time(400)
    driver.answer(first, Outcome.FULL, wait=1500.0)
    for _ in range(18):
        driver.message(KEYED, 1)
    delays = [act.retry_after_ms for act in driver.final_actions.values() if isinstance(act, Reject)]
    assert delays and all(1400.0 < wait <= 3000.0 for wait in delays)


def test_unresponsive_destination_gets_trials_and_no_unsafe_message() -> None:
    driver = Driver()
    driver.listed((11, 1))
    driver.warm_up()
    for _ in range(2):
        driver.message(SAFE)
    driver.pass_time(2000)
    before = len(driver.sent)
    unsafe = [driver.message(UNSAFE) for _ in range(4)]
    for _ in range(6):
        driver.message(SAFE)
    driver.pass_time(1500)
    assert not set(unsafe) & {send.id for _, send in driver.sent}
    assert len(driver.sent) - before <= 3


def test_ejected_destination_occupies_at_most_half_of_the_slots() -> None:
    driver = Driver()
    driver.listed((11, 1), (12, 2), rate=200.0)
    driver.warm_up(1)
    driver.warm_up(2)
    driver.message(SAFE, 1)
    driver.pass_time(2000)
    for _ in range(20):
        driver.message(SAFE, 1)
    driver.message(SAFE, 2)
    driver.pass_time(3000)
    assert len([send for send in driver.out.values() if send.endpoint == 11]) <= 4
    assert any(send.endpoint == 12 for at, send in driver.sent[-20:])


def test_scarce_slots_go_to_the_destination_that_answers() -> None:
    driver = Driver(make_settings(max_concurrent_attempts=4))
    driver.listed((11, 1), (12, 2), (13, 3), rate=200.0)
    for dest in (1, 2, 3):
        driver.warm_up(dest)
    message_id = driver.message(SAFE, 1)
    driver.pass_time(50)
    driver.answer(message_id, Outcome.ERROR)  # one failed call at destination 1 is no outage
    driver.feed(MessageCancelled(message_id))
    busy = [driver.message(SAFE, 3) for _ in range(4)]
    failing, healthy = driver.message(SAFE, 1), driver.message(SAFE, 2)
    driver.pass_time(50)
    driver.answer(busy[0])
    assert driver.attempts.get(healthy) == 1 and failing not in driver.attempts


def test_failing_endpoint_among_healthy_ones_is_avoided() -> None:
    driver = Driver()
    driver.listed((11, 1), (12, 1))
    driver.warm_up()
    start = len(driver.sent)
    for _ in range(20):
        message_id = driver.message(SAFE)
        driver.pass_time(100)
        if driver.attempts.get(message_id):
            is_failing = driver.last(message_id)[1].endpoint == 11
            driver.answer(message_id, Outcome.RESET if is_failing else Outcome.OK)
        driver.pass_time(200)
    later = [send.endpoint for _, send in driver.sent[start + 10 :]]
    assert later.count(12) > 4 * later.count(11)


def test_fast_destination_is_not_ejected_because_the_relay_lags() -> None:
    """Guards a busy relay: with responses after 2 ms, its own lag would look like an outage."""
    driver = Driver()
    driver.listed((11, 1), rate=1000.0)
    for _ in range(30):
        message_id = driver.message()
        driver.pass_time(5)
        driver.answer(message_id, took=2.0)
    message_id = driver.message()
    driver.pass_time(5)
    at, send = driver.last(message_id)
    assert send.give_up_at_ms - at >= 200
    driver.pass_time(90)
    other = driver.message(UNSAFE)
    driver.pass_time(5)
    assert other in driver.out  # the first call is late, but not overdue


def test_slow_destination_is_not_ejected() -> None:
    driver = Driver()
    driver.listed((11, 1))
    driver.warm_up()
    first = driver.message(SAFE)
    first_timeout_ms = driver.out[first].give_up_at_ms - driver.now
    driver.pass_time(600)
    driver.answer(first, Outcome.TIMEOUT)
    driver.pass_time(1000)
    at, retry = driver.last(first)
    assert retry.give_up_at_ms - at >= 2 * first_timeout_ms  # it is retried soon, with a longer timeout


def calls_in(driver: Driver, ms: float, outcome: Outcome = Outcome.OK) -> int:
    """Submits messages for a while and answers each call after 50 ms; returns how many calls were made."""
    start, end = len(driver.sent), driver.now + ms
    while driver.now < end:
        if len(driver.out) < 3:
            driver.message()
        driver.pass_time(50)
        for message_id in list(driver.out):
            driver.answer(message_id, outcome)
    return len(driver.sent) - start


def test_refusals_cut_the_rate_and_successes_restore_it() -> None:
    driver = Driver()
    driver.listed((11, 1), rate=8.0)
    driver.warm_up()
    calls_in(driver, 4000)
    before = calls_in(driver, 4000)
    calls_in(driver, 1000, Outcome.FULL)
    throttled = calls_in(driver, 2000)
    calls_in(driver, 15000)
    assert 2 * throttled < 0.7 * before and calls_in(driver, 4000) > 0.9 * before


def test_invalid_settings_name_their_field() -> None:
    for field, spelling, value in (
        ("classes", "classes", ()),
        ("max_concurrent_attempts", "slots", 0),
        ("max_pending_messages", "hold", 0),
        ("tick_ms", "tick_ms", -1.0),
    ):
        try:
            make_settings(**{field: value})
        except ValueError as error:
            assert spelling in str(error)
        else:
            raise AssertionError(f"{field}={value} was accepted")


def test_load_reports_raise_and_lower_the_rate() -> None:
    call_counts = []
    for left in (0.0, 1.0):
        driver = Driver(make_settings(limit_report=(0, 1)))
        driver.listed((11, 1), rate=8.0)
        driver.warm_up()
        for _ in range(100):
            driver.message()
            driver.pass_time(50)
            for message_id in list(driver.out):
                driver.answer(message_id, report=(left, 8.0))
        call_counts.append(len(driver.sent))
    assert call_counts[0] < 0.9 * call_counts[1]


def test_failed_rare_call_ejects_unless_there_was_a_recent_answer() -> None:
    """Guards a relay of a large fleet: it calls a destination too rarely to see two failures in a row."""
    for idle_ms, expects_ejection in ((4000.0, False), (20000.0, True)):
        driver = Driver(make_settings(relays=100))
        driver.listed((11, 1), rate=100.0)
        driver.warm_up()
        driver.pass_time(idle_ms, 500)
        failed_id = driver.message()
        driver.pass_time(500)
        driver.answer(failed_id, Outcome.TIMEOUT)
        driver.pass_time(200)
        assert driver.attempts[failed_id] == 2
        later_id = driver.message()
        driver.pass_time(200)
        assert (later_id not in driver.attempts) == expects_ejection


def test_class_that_fails_at_one_endpoint_goes_to_the_other() -> None:
    driver = Driver()
    driver.listed((11, 1), (12, 1))
    driver.warm_up()
    used = []
    for turn in range(24):
        message_id = driver.message(KEYED if turn % 2 else SAFE)
        driver.pass_time(100)
        send = driver.out.get(message_id)
        if send is None:
            continue
        used.append((turn % 2, send.endpoint))
        is_lost = turn % 2 and send.endpoint == 11
        driver.pass_time(900 if is_lost else 10)
        driver.answer(message_id, Outcome.TIMEOUT if is_lost else Outcome.OK)
        driver.feed(MessageCancelled(message_id))
    keyed = [endpoint for is_keyed, endpoint in used if is_keyed]
    assert len(used) >= 22 and keyed.count(11) <= 3  # no false outage, and the class avoids the endpoint


def test_first_calls_after_a_long_retry_after_are_spread_over_the_relays() -> None:
    delays = []
    for seed in range(40):
        driver = Driver(make_settings(relays=40), seed=seed)
        driver.listed((11, 1), rate=10.0)
        message_id = driver.message()
        driver.answer(message_id, Outcome.FULL, wait=6000.0)
        allowed_at = driver.now + 6000
        driver.pass_time(9900, 50)
        delays += [at - allowed_at for at, _ in driver.sent if at > driver.now - 9900 + 1]
    assert min(delays) > 0 and len([at for at in delays if at <= 1500]) <= 2.0 * 0.2 * 10.0 * 1.5 + 3


def test_rare_call_is_not_limited_to_the_equal_part() -> None:
    """Guards a large fleet: its equal share (rate / relays) is a fraction of a call per second."""
    driver = Driver(make_settings(relays=40))
    driver.listed((11, 1), rate=10.0)
    for _ in range(6):
        message_id = driver.message()
        driver.pass_time(50)
        assert message_id in driver.out
        driver.answer(message_id)
        driver.pass_time(2500)


def test_rate_far_below_the_equal_part_recovers_within_a_few_successes() -> None:
    """Guards a large fleet after a limit was lowered temporarily: each relay has few calls to regain it."""
    driver = Driver(make_settings(relays=40, max_pending_messages=200, max_concurrent_attempts=4))
    driver.listed((11, 1), rate=400.0)
    driver.warm_up()
    destination = driver.relay.destinations[1][-1]
    while destination.send_rate > 0.4 * 10:
        message_id = driver.message()
        while message_id not in driver.out:
            driver.pass_time(5)
        driver.answer(message_id, Outcome.FULL)
        driver.feed(MessageCancelled(message_id))
    for _ in range(60):
        driver.message()
    successes = 0
    while destination.send_rate < 0.75 * 10:
        driver.pass_time(20)
        for message_id in list(driver.out):
            driver.answer(message_id, took=20.0)
            successes += 1
    assert successes <= 6
    assert driver.now < destination.throttled_until  # the refusals still count


def test_idle_relay_sets_no_needless_timer() -> None:
    driver = Driver()
    driver.listed((11, 1))
    message_id = driver.message()
    driver.pass_time(100)
    driver.answer(message_id)
    driver.pass_time(20000, 500)
    before = len(driver.other_actions)
    driver.pass_time(20000, 500)
    assert len(driver.other_actions) == before


def test_replaced_endpoints_leave_no_state() -> None:
    import pickle

    driver = Driver()
    sizes = []
    for generation in range(60):
        driver.feed(
            EndpointList(
                ListKind.COMPLETE,
                tuple(
                    Endpoint(100 * generation + n, 50 * generation + n, Listing.READY, 0, 0, 20.0)
                    for n in range(5)
                ),
            )
        )
        message_id = driver.message(dest=50 * generation)
        driver.pass_time(50)
        driver.answer(message_id)
        driver.pass_time(30000, 5000)
        sizes.append(len(pickle.dumps(driver.relay)))
    assert sizes[-1] < 1.5 * sizes[10]


def test_small_change_of_a_listed_rate_keeps_the_learned_rate() -> None:
    driver = Driver()
    driver.listed((11, 1), rate=8.0)
    driver.warm_up()
    calls_in(driver, 4000)
    calls_in(driver, 1000, Outcome.FULL)
    throttled = calls_in(driver, 1000)
    driver.listed((11, 1), rate=8.2)
    assert calls_in(driver, 1000) <= throttled + 3


def test_endpoint_that_replaces_the_last_one_late_is_warmed_up() -> None:
    sends = []
    for gap_ms in (0.0, 4000.0):
        driver = Driver()
        driver.listed((11, 1))
        driver.warm_up()
        if gap_ms:
            driver.feed(EndpointList(ListKind.CHANGES, (Endpoint(11, 1, Listing.REMOVED),)))
        for _ in range(12):
            driver.message()
        driver.pass_time(gap_ms)
        start = len(driver.sent) if gap_ms else 0
        driver.feed(EndpointList(ListKind.CHANGES, (Endpoint(12, 1, Listing.READY, 0, 0, 20.0),)))
        driver.pass_time(600)
        sends.append(len([1 for _, send in driver.sent[start:] if send.id > 6]))
    assert 1 <= sends[1] < sends[0]


def test_first_of_a_key_with_successors_may_overdraw_the_rate() -> None:
    ordered = MessageClass("o", Effect.UNSAFE, 1000.0, 10000.0, 1.0, 0.5, 0.0, in_order=True)
    delays = []
    for successors in (0, 2):
        driver = Driver(make_settings(classes=(ordered,), relays=200))
        driver.listed((11, 1), rate=10.0)
        head = driver.message(0, key=7)
        for _ in range(successors):
            driver.message(0, key=7)
        driver.answer(head, Outcome.FULL)
        refused_at = driver.now
        driver.pass_time(4000)
        delays.append(driver.last(head)[0] - refused_at)
    assert delays[1] < 500 and delays[0] <= 0  # without successors, it has not been retried yet


def test_throttled_relays_do_not_resume_at_the_same_moment() -> None:
    delays = []
    for seed in range(30):
        driver = Driver(make_settings(relays=200), seed=seed)
        driver.listed((11, 1), rate=60.0)
        message_id = driver.message()
        driver.answer(message_id, Outcome.FULL)
        refused_at = driver.now
        driver.pass_time(9900, 50)
        delays.append(driver.last(message_id)[0] - refused_at)
    assert min(delays) > 1000 and max(delays) - min(delays) > 3000


def test_trials_of_an_ejected_destination_are_not_saved_up() -> None:
    """Guards a recovering destination: many relays whose trial is long overdue may get a message at once."""
    at_once = 0
    for seed in range(40):
        driver = Driver(make_settings(relays=40), seed=seed)
        driver.listed((11, 1), rate=10.0)
        for _ in range(2):
            message_id = driver.message()
            driver.pass_time(3000, 50)
            if message_id in driver.out:
                driver.answer(message_id, Outcome.CONNECT_FAILED)
            driver.feed(MessageCancelled(message_id))
        driver.pass_time(30000, 500)
        start = len(driver.sent)
        driver.message()
        driver.pass_time(200, 50)
        at_once += len(driver.sent) - start
    assert at_once <= 20


def test_changes_while_connecting_stop_the_call() -> None:
    """Guards draining, Retry-After, shutdown and deadline: all are checked again before the first byte."""
    for change in ("none", "drained", "told", "closing", "late", "withdrawn"):
        driver = Driver()
        driver.listed((11, 1))
        driver.warm_up()
        message_id, other = driver.message(left=9000.0), driver.message()
        driver.pass_time(50)
        assert {message_id, other} <= set(driver.out) and driver.relay.may_write(driver.now, message_id)
        if change == "drained":
            driver.feed(EndpointList(ListKind.CHANGES, (Endpoint(11, 1, Listing.DRAINING),)))
        elif change == "told":
            driver.answer(other, Outcome.FULL, wait=300.0)
        elif change == "closing":
            driver.feed(ShutdownScheduled(driver.now))
        elif change == "withdrawn":
            driver.feed(MessageCancelled(message_id))
        assert driver.relay.may_write(driver.now + 9000 * (change == "late"), message_id) == (
            change == "none"
        )


def test_key_window_that_ends_while_connecting_stops_the_call() -> None:
    driver = Driver()
    driver.listed((11, 1))
    driver.warm_up()
    message_id = driver.message(KEYED)
    at, _ = driver.last(message_id)
    driver.answer(message_id, Outcome.ERROR)
    driver.pass_time(1000)
    assert driver.attempts[message_id] == 2
    assert driver.relay.may_write(at + 2990, message_id) and not driver.relay.may_write(at + 3000, message_id)


def test_resumed_message_respects_its_earlier_attempts() -> None:
    """Guards against duplicates after a restart: earlier attempts and the key window still count."""
    driver = Driver()
    driver.listed((11, 1))
    resumed = {
        "fresh": Message(1, 1, UNSAFE, 8000.0, age_ms=2000.0, attempts=1),
        "risky": Message(2, 1, UNSAFE, 8000.0, age_ms=2000.0, attempts=1, uncertain_for_ms=1000.0),
        "in its window": Message(3, 1, KEYED, 8000.0, age_ms=2000.0, attempts=1, uncertain_for_ms=1000.0),
        "past its window": Message(4, 1, KEYED, 8000.0, age_ms=4000.0, attempts=1, uncertain_for_ms=3000.0),
        "used up": Message(5, 1, SAFE, 8000.0, age_ms=2000.0, attempts=5),
        "expired": Message(6, 1, SAFE, -10.0, age_ms=10010.0),
    }
    for event in resumed.values():
        driver.feed(event)
    driver.pass_time(100)
    assert set(driver.out) == {1, 3}
    action_types = {message_id: type(act) for message_id, act in driver.final_actions.items()}
    assert action_types == {2: Fail, 4: Reject, 5: Reject, 6: Reject}


def test_resumed_message_stays_in_the_scope_of_its_idempotency_key() -> None:
    keyed = MessageClass("k", Effect.KEYED, 1000.0, 10000.0, 1.0, 0.5, 3000.0, Scope.ENDPOINT)
    driver = Driver(make_settings(classes=(keyed,)))
    driver.listed((11, 1), (12, 1))
    driver.feed(
        Message(
            1,
            1,
            0,
            8000.0,
            age_ms=1000.0,
            attempts=1,
            uncertain_for_ms=500.0,
            uncertain_endpoint=Endpoint(12, 1, Listing.READY),
        )
    )
    driver.feed(
        Message(
            2,
            1,
            0,
            8000.0,
            age_ms=1000.0,
            attempts=1,
            uncertain_for_ms=500.0,
            uncertain_endpoint=Endpoint(99, 1, Listing.READY),
        )
    )
    driver.pass_time(100)
    assert {message_id: send.endpoint for message_id, send in driver.out.items()} == {1: 12}


def test_no_call_starts_that_cannot_end_before_the_shutdown() -> None:
    driver = Driver()
    driver.listed((11, 1))
    driver.warm_up()
    driver.feed(ShutdownScheduled(driver.now + 3000))
    soon = driver.message(UNSAFE)
    assert driver.out[soon].give_up_at_ms <= driver.now + 3000
    driver.answer(soon)
    driver.pass_time(2950)
    late = driver.message(UNSAFE)
    driver.pass_time(200)
    assert late not in driver.attempts and late not in driver.final_actions


def test_resumed_messages_are_not_charged_to_their_tenants_quota() -> None:
    """Guards messages resumed after a restart: as a burst, most of them would count as above the quota."""
    for age, expected in ((1000.0, True), (None, False)):
        driver = Driver(make_settings(tenants=(Tenant("t", 2.0),), over_quota_weight=0.1))
        for message_id in range(1, 20):
            driver.feed(Message(message_id, 1, SAFE, 8000.0, age_ms=age))
        assert all(entry.priority_weight == 1.0 for entry in driver.relay.pending.by_id.values()) == expected

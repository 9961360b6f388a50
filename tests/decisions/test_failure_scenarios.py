"""What the module does, and must not do, under each kind of symptom."""

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


def test_lost_answers_do_not_hold_slots_until_the_deadline() -> None:
    d = Driver()
    d.listed((11, 1))
    d.warm_up(calls=20)
    ident = d.message(UNSAFE)
    d.pass_time(50)
    at, send = d.last(ident)
    assert at < send.give_up_at_ms < at + 5000.0  # its deadline is 10 s away


def test_short_patience_is_not_old_age() -> None:
    d = Driver(make_settings(marks_repeats=True))
    d.listed((11, 1), rate=1.0)
    d.warm_up()
    late = d.message(SAFE, left=9000.0)
    d.pass_time(1200)  # past its aim; the pace holds it back or it was sent
    hurry = d.message(SAFE, left=800.0)
    d.pass_time(400)
    assert d.tries.get(hurry) == 1
    assert late not in d.ended


def test_sick_destination_pays_for_the_room_it_takes() -> None:
    d = Driver(make_settings(max_pending_messages=20))
    d.listed((11, 1), (12, 2))
    d.warm_up(1)
    d.warm_up(2)
    for _ in range(2):
        ident = d.message(SAFE, 1)
        d.pass_time(400)
        d.answer(ident, Outcome.CONNECT_FAILED)
    stuck = [d.message(KEYED, 1) for _ in range(14)]
    well = [d.message(SAFE, 2) for _ in range(8)]
    assert not set(well) & set(d.ended) and set(d.ended) & set(stuck)
    assert all(isinstance(d.ended[ident], Reject) for ident in set(d.ended) & set(stuck))


def test_a_busy_destination_with_some_broken_calls_is_not_taken_as_out() -> None:
    """Resets and failed connects among many answers: taken for an outage, each would slow it for 11 s."""
    d = Driver(make_settings(max_concurrent_attempts=20))
    d.listed((11, 1), rate=200.0)
    d.warm_up(calls=20)
    calls = 0
    for _ in range(100):
        d.message(SAFE)
        d.message(SAFE)
        d.pass_time(20)
        for ident in list(d.out):
            calls += 1
            broken = Outcome.RESET if calls % 2 else Outcome.CONNECT_FAILED
            d.answer(ident, broken if calls % 9 < 2 else Outcome.OK)  # two in a row
    (lane,) = d.relay.destinations[1].values()
    assert not lane.is_ejected and lane.warming_since < 0
    for _ in range(40):  # but when all of them break, it is
        d.message(SAFE)
        d.pass_time(20)
        for ident in list(d.out):
            d.answer(ident, Outcome.RESET)
    assert lane.is_ejected


def test_a_refusal_tells_when_to_come_again() -> None:
    d = Driver(make_settings(max_pending_messages=20, max_retry_after_ms=3000.0))
    d.listed((11, 1), (12, 2))
    d.warm_up(1)
    first = d.message(SAFE, 1)
    d.pass_time(400)
    d.answer(first, Outcome.FULL, wait=1500.0)
    for _ in range(18):
        d.message(KEYED, 1)
    told = [act.retry_after_ms for act in d.ended.values() if isinstance(act, Reject)]
    assert told and all(1400.0 < wait <= 3000.0 for wait in told)


def test_silent_destination_gets_a_trickle_and_no_unsafe_message() -> None:
    d = Driver()
    d.listed((11, 1))
    d.warm_up()
    for _ in range(2):
        d.message(SAFE)
    d.pass_time(2000)
    before = len(d.sent)
    unsafe = [d.message(UNSAFE) for _ in range(4)]
    for _ in range(6):
        d.message(SAFE)
    d.pass_time(1500)
    assert not set(unsafe) & {send.id for _, send in d.sent}
    assert len(d.sent) - before <= 3


def test_sick_destination_holds_at_most_half_the_slots() -> None:
    d = Driver()
    d.listed((11, 1), (12, 2), rate=200.0)
    d.warm_up(1)
    d.warm_up(2)
    d.message(SAFE, 1)
    d.pass_time(2000)
    for _ in range(20):
        d.message(SAFE, 1)
    d.message(SAFE, 2)
    d.pass_time(3000)
    assert len([send for send in d.out.values() if send.endpoint == 11]) <= 4
    assert any(send.endpoint == 12 for at, send in d.sent[-20:])


def test_scarce_slots_go_to_the_destination_that_answers() -> None:
    d = Driver(make_settings(max_concurrent_attempts=4))
    d.listed((11, 1), (12, 2), (13, 3), rate=200.0)
    for dest in (1, 2, 3):
        d.warm_up(dest)
    ident = d.message(SAFE, 1)
    d.pass_time(50)
    d.answer(ident, Outcome.ERROR)  # one failed call at destination 1 is no outage
    d.feed(MessageCancelled(ident))
    busy = [d.message(SAFE, 3) for _ in range(4)]
    failing, well = d.message(SAFE, 1), d.message(SAFE, 2)
    d.pass_time(50)
    d.answer(busy[0])
    assert d.tries.get(well) == 1 and failing not in d.tries


def test_one_bad_endpoint_among_good_ones_is_left() -> None:
    d = Driver()
    d.listed((11, 1), (12, 1))
    d.warm_up()
    start = len(d.sent)
    for _ in range(20):
        ident = d.message(SAFE)
        d.pass_time(100)
        if d.tries.get(ident):
            bad = d.last(ident)[1].endpoint == 11
            d.answer(ident, Outcome.RESET if bad else Outcome.OK)
        d.pass_time(200)
    later = [send.endpoint for _, send in d.sent[start + 10 :]]
    assert later.count(12) > 4 * later.count(11)


def test_a_quick_destination_is_not_blamed_for_the_lag_of_the_relay() -> None:
    """Guards a busy relay: with answers after 2 ms, its own delay would look like an outage."""
    d = Driver()
    d.listed((11, 1), rate=1000.0)
    for _ in range(30):
        ident = d.message()
        d.pass_time(5)
        d.answer(ident, took=2.0)
    ident = d.message()
    d.pass_time(5)
    at, send = d.last(ident)
    assert send.give_up_at_ms - at >= 200
    d.pass_time(90)
    other = d.message(UNSAFE)
    d.pass_time(5)
    assert other in d.out  # the first is late, but not overdue


def test_slow_is_not_down() -> None:
    d = Driver()
    d.listed((11, 1))
    d.warm_up()
    first = d.message(SAFE)
    quick = d.out[first].give_up_at_ms - d.now
    d.pass_time(600)
    d.answer(first, Outcome.TIMEOUT)
    d.pass_time(1000)
    at, again = d.last(first)
    assert again.give_up_at_ms - at >= 2 * quick  # it is asked again soon, and given more time


def calls_in(d: Driver, ms: float, outcome: Outcome = Outcome.OK) -> int:
    """Keeps messages coming for a while, answering each call after 50 ms; how many calls were made."""
    start, end = len(d.sent), d.now + ms
    while d.now < end:
        if len(d.out) < 3:
            d.message()
        d.pass_time(50)
        for ident in list(d.out):
            d.answer(ident, outcome)
    return len(d.sent) - start


def test_refusals_slow_the_pace_and_success_brings_it_back() -> None:
    d = Driver()
    d.listed((11, 1), rate=8.0)
    d.warm_up()
    calls_in(d, 4000)
    before = calls_in(d, 4000)
    calls_in(d, 1000, Outcome.FULL)
    slowed = calls_in(d, 2000)
    calls_in(d, 15000)
    assert 2 * slowed < 0.7 * before and calls_in(d, 4000) > 0.9 * before


def test_settings_that_make_no_sense_name_their_field() -> None:
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
            raise AssertionError(f"{field}={value} was taken")


def test_load_reports_steer_the_pace_both_ways() -> None:
    paces = []
    for left in (0.0, 1.0):
        d = Driver(make_settings(limit_report=(0, 1)))
        d.listed((11, 1), rate=8.0)
        d.warm_up()
        for _ in range(100):
            d.message()
            d.pass_time(50)
            for ident in list(d.out):
                d.answer(ident, report=(left, 8.0))
        paces.append(len(d.sent))
    assert paces[0] < 0.9 * paces[1]


def test_a_rare_call_that_fails_is_an_outage_and_a_recent_answer_vouches() -> None:
    """Guards one of many relays: it calls a destination too seldom to see two failures in a row."""
    for idle, wary in ((4000.0, False), (20000.0, True)):
        d = Driver(make_settings(relays=100))
        d.listed((11, 1), rate=100.0)
        d.warm_up()
        d.pass_time(idle, 500)
        lost = d.message()
        d.pass_time(500)
        d.answer(lost, Outcome.TIMEOUT)
        d.pass_time(200)
        assert d.tries[lost] == 2
        later = d.message()
        d.pass_time(200)
        assert (later not in d.tries) == wary


def test_one_class_failing_at_one_endpoint_goes_to_the_other() -> None:
    d = Driver()
    d.listed((11, 1), (12, 1))
    d.warm_up()
    used = []
    for turn in range(24):
        ident = d.message(KEYED if turn % 2 else SAFE)
        d.pass_time(100)
        send = d.out.get(ident)
        if send is None:
            continue
        used.append((turn % 2, send.endpoint))
        swallowed = turn % 2 and send.endpoint == 11
        d.pass_time(900 if swallowed else 10)
        d.answer(ident, Outcome.TIMEOUT if swallowed else Outcome.OK)
        d.feed(MessageCancelled(ident))
    keyed = [endpoint for odd, endpoint in used if odd]
    assert len(used) >= 22 and keyed.count(11) <= 3  # no false outage, and the class stays away


def test_first_calls_after_a_told_shut_are_spread_over_the_relays() -> None:
    firsts = []
    for seed in range(40):
        d = Driver(make_settings(relays=40), seed=seed)
        d.listed((11, 1), rate=10.0)
        ident = d.message()
        d.answer(ident, Outcome.FULL, wait=6000.0)
        told = d.now + 6000
        d.pass_time(9900, 50)
        firsts += [at - told for at, _ in d.sent if at > d.now - 9900 + 1]
    assert min(firsts) > 0 and len([at for at in firsts if at <= 1500]) <= 2.0 * 0.2 * 10.0 * 1.5 + 3


def test_a_rare_call_is_not_paced_by_the_equal_part() -> None:
    """Guards many relays: rate / relays is a fraction of a call a second."""
    d = Driver(make_settings(relays=40))
    d.listed((11, 1), rate=10.0)
    for _ in range(6):
        ident = d.message()
        d.pass_time(50)
        assert ident in d.out
        d.answer(ident)
        d.pass_time(2500)


def test_a_pace_far_below_the_equal_part_comes_back_within_a_few_successes() -> None:
    """Guards many relays after a limit was lowered for a while: each has few calls to find it back."""
    d = Driver(make_settings(relays=40, max_pending_messages=200, max_concurrent_attempts=4))
    d.listed((11, 1), rate=400.0)
    d.warm_up()
    lane = d.relay.destinations[1][-1]
    while lane.send_rate > 0.4 * 10:
        ident = d.message()
        while ident not in d.out:
            d.pass_time(5)
        d.answer(ident, Outcome.FULL)
        d.feed(MessageCancelled(ident))
    for _ in range(60):
        d.message()
    successes = 0
    while lane.send_rate < 0.75 * 10:
        d.pass_time(20)
        for ident in list(d.out):
            d.answer(ident, took=20.0)
            successes += 1
    assert successes <= 6
    assert d.now < lane.throttled_until  # no refusal was forgotten meanwhile


def test_an_idle_relay_is_not_woken_for_nothing() -> None:
    d = Driver()
    d.listed((11, 1))
    ident = d.message()
    d.pass_time(100)
    d.answer(ident)
    d.pass_time(20000, 500)
    before = len(d.other)
    d.pass_time(20000, 500)
    assert len(d.other) == before


def test_replaced_endpoints_leave_nothing_behind() -> None:
    import pickle

    d = Driver()
    sizes = []
    for generation in range(60):
        d.feed(
            EndpointList(
                ListKind.COMPLETE,
                tuple(
                    Endpoint(100 * generation + n, 50 * generation + n, Listing.READY, 0, 0, 20.0)
                    for n in range(5)
                ),
            )
        )
        ident = d.message(dest=50 * generation)
        d.pass_time(50)
        d.answer(ident)
        d.pass_time(30000, 5000)
        sizes.append(len(pickle.dumps(d.relay)))
    assert sizes[-1] < 1.5 * sizes[10]


def test_a_listed_rate_that_changes_a_little_keeps_what_was_learned() -> None:
    d = Driver()
    d.listed((11, 1), rate=8.0)
    d.warm_up()
    calls_in(d, 4000)
    calls_in(d, 1000, Outcome.FULL)
    slowed = calls_in(d, 1000)
    d.listed((11, 1), rate=8.2)
    assert calls_in(d, 1000) <= slowed + 3


def test_an_endpoint_that_replaces_the_last_one_late_is_taken_as_cold() -> None:
    sends = []
    for gap in (0.0, 4000.0):
        d = Driver()
        d.listed((11, 1))
        d.warm_up()
        if gap:
            d.feed(EndpointList(ListKind.CHANGES, (Endpoint(11, 1, Listing.REMOVED),)))
        for _ in range(12):
            d.message()
        d.pass_time(gap)
        start = len(d.sent) if gap else 0
        d.feed(EndpointList(ListKind.CHANGES, (Endpoint(12, 1, Listing.READY, 0, 0, 20.0),)))
        d.pass_time(600)
        sends.append(len([1 for _, send in d.sent[start:] if send.id > 6]))
    assert 1 <= sends[1] < sends[0]


def test_a_head_that_others_of_its_key_wait_for_goes_before_the_pace_allows() -> None:
    ordered = MessageClass("o", Effect.UNSAFE, 1000.0, 10000.0, 1.0, 0.5, 0.0, in_order=True)
    waits = []
    for followers in (0, 2):
        d = Driver(make_settings(classes=(ordered,), relays=200))
        d.listed((11, 1), rate=10.0)
        head = d.message(0, key=7)
        for _ in range(followers):
            d.message(0, key=7)
        d.answer(head, Outcome.FULL)
        refused = d.now
        d.pass_time(4000)
        waits.append(d.last(head)[0] - refused)
    assert waits[1] < 500 and waits[0] <= 0  # without followers it has not gone again yet


def test_many_refused_relays_do_not_come_back_in_step() -> None:
    agains = []
    for seed in range(30):
        d = Driver(make_settings(relays=200), seed=seed)
        d.listed((11, 1), rate=60.0)
        ident = d.message()
        d.answer(ident, Outcome.FULL)
        refused = d.now
        d.pass_time(9900, 50)
        agains.append(d.last(ident)[0] - refused)
    assert min(agains) > 1000 and max(agains) - min(agains) > 3000


def test_turns_at_a_destination_that_is_out_are_not_saved_up() -> None:
    """Guards a returning destination: many relays whose turn is long past get a message at once."""
    at_once = 0
    for seed in range(40):
        d = Driver(make_settings(relays=40), seed=seed)
        d.listed((11, 1), rate=10.0)
        for _ in range(2):
            ident = d.message()
            d.pass_time(3000, 50)
            if ident in d.out:
                d.answer(ident, Outcome.CONNECT_FAILED)
            d.feed(MessageCancelled(ident))
        d.pass_time(30000, 500)
        start = len(d.sent)
        d.message()
        d.pass_time(200, 50)
        at_once += len(d.sent) - start
    assert at_once <= 20


def test_what_comes_up_while_a_call_connects_stops_it() -> None:
    """Guards drains, told waits, the stop and the deadline: all are asked again before the first byte."""
    for change in ("none", "drained", "told", "closing", "late", "withdrawn"):
        d = Driver()
        d.listed((11, 1))
        d.warm_up()
        ident, other = d.message(left=9000.0), d.message()
        d.pass_time(50)
        assert {ident, other} <= set(d.out) and d.relay.may_write(d.now, ident)
        if change == "drained":
            d.feed(EndpointList(ListKind.CHANGES, (Endpoint(11, 1, Listing.DRAINING),)))
        elif change == "told":
            d.answer(other, Outcome.FULL, wait=300.0)
        elif change == "closing":
            d.feed(ShutdownScheduled(d.now))
        elif change == "withdrawn":
            d.feed(MessageCancelled(ident))
        assert d.relay.may_write(d.now + 9000 * (change == "late"), ident) == (change == "none")


def test_a_key_window_that_ends_while_connecting_stops_the_call() -> None:
    d = Driver()
    d.listed((11, 1))
    d.warm_up()
    ident = d.message(KEYED)
    at, _ = d.last(ident)
    d.answer(ident, Outcome.ERROR)
    d.pass_time(1000)
    assert d.tries[ident] == 2
    assert d.relay.may_write(at + 2990, ident) and not d.relay.may_write(at + 3000, ident)


def test_a_resumed_message_keeps_to_what_was_tried_before() -> None:
    """Guards duplicates over a restart: tries, the first risk and the key window hold on."""
    d = Driver()
    d.listed((11, 1))
    resumed = {
        "fresh": Message(1, 1, UNSAFE, 8000.0, age_ms=2000.0, attempts=1),
        "risky": Message(2, 1, UNSAFE, 8000.0, age_ms=2000.0, attempts=1, uncertain_for_ms=1000.0),
        "in its window": Message(3, 1, KEYED, 8000.0, age_ms=2000.0, attempts=1, uncertain_for_ms=1000.0),
        "past its window": Message(4, 1, KEYED, 8000.0, age_ms=4000.0, attempts=1, uncertain_for_ms=3000.0),
        "used up": Message(5, 1, SAFE, 8000.0, age_ms=2000.0, attempts=5),
        "expired": Message(6, 1, SAFE, -10.0, age_ms=10010.0),
    }
    for event in resumed.values():
        d.feed(event)
    d.pass_time(100)
    assert set(d.out) == {1, 3}
    ends = {ident: type(act) for ident, act in d.ended.items()}
    assert ends == {2: Fail, 4: Reject, 5: Reject, 6: Reject}


def test_a_resumed_key_stays_in_its_scope() -> None:
    keyed = MessageClass("k", Effect.KEYED, 1000.0, 10000.0, 1.0, 0.5, 3000.0, Scope.ENDPOINT)
    d = Driver(make_settings(classes=(keyed,)))
    d.listed((11, 1), (12, 1))
    d.feed(
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
    d.feed(
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
    d.pass_time(100)
    assert {ident: send.endpoint for ident, send in d.out.items()} == {1: 12}


def test_no_call_starts_that_cannot_end_before_a_stop() -> None:
    d = Driver()
    d.listed((11, 1))
    d.warm_up()
    d.feed(ShutdownScheduled(d.now + 3000))
    soon = d.message(UNSAFE)
    assert d.out[soon].give_up_at_ms <= d.now + 3000
    d.answer(soon)
    d.pass_time(2950)
    late = d.message(UNSAFE)
    d.pass_time(200)
    assert late not in d.tries and late not in d.ended


def test_messages_resumed_at_a_restart_are_no_surge_of_their_tenant() -> None:
    """Guards what was held over a restart: taken for a surge, most of it would count as over its share."""
    for age, within in ((1000.0, True), (None, False)):
        d = Driver(make_settings(tenants=(Tenant("t", 2.0),), over_quota_weight=0.1))
        for ident in range(1, 20):
            d.feed(Message(ident, 1, SAFE, 8000.0, age_ms=age))
        assert all(held.priority_weight == 1.0 for held in d.relay.pending.by_id.values()) == within

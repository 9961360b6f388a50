"""The six rules, by effect kind and outcome."""

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

PROOFS = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


@pytest.mark.parametrize("class_", [SAFE, KEYED, UNSAFE])
@pytest.mark.parametrize("outcome", [*UNCLEAR, Outcome.CANCELLED, *PROOFS])
def test_what_each_outcome_permits(class_: int, outcome: Outcome) -> None:
    d = Driver()
    d.listed((11, 1))
    d.warm_up()
    ident = d.message(class_)
    d.pass_time(100)
    d.answer(ident, outcome)
    first = d.last(ident)[0]
    d.pass_time(9900)
    if class_ == UNSAFE and outcome not in PROOFS:
        assert d.tries[ident] == 1 and isinstance(d.ended[ident], Fail)
    else:
        assert d.tries[ident] == 2
        if class_ == KEYED and outcome not in PROOFS:
            assert d.last(ident)[0] - first < CLASSES[KEYED].key_window_ms


@pytest.mark.parametrize("class_", [SAFE, KEYED, UNSAFE])
def test_every_message_ends_once_before_its_time_is_up(class_: int) -> None:
    d = Driver()
    d.listed((11, 1))
    ids = [d.message(class_, left=2000.0) for _ in range(6)]
    nowhere = d.message(class_, dest=99, left=2000.0)
    sent = {e[1].id for e in d.sent}
    d.pass_time(2000)
    for ident in [*ids, nowhere]:
        if ident not in sent and ident not in d.ended:
            assert d.last(ident)[1].give_up_at_ms <= 3000.0
    assert isinstance(d.ended[nowhere], Reject)
    for ident in {e[1].id for e in d.sent} - set(d.ended):
        d.answer(ident, Outcome.TIMEOUT)
    assert set(d.ended) == {*ids, nowhere}


def test_keyed_message_is_not_resent_after_its_window() -> None:
    d = Driver()
    d.listed((11, 1))
    ident = d.message(KEYED)
    start = d.now
    for _ in range(4):
        while (
            ident not in d.ended
            and d.tries[ident] == len([e for e in d.sent if e[1].id == ident])
            and d.now < start + 9000
            and ident not in d.out
        ):
            d.pass_time(20)
        if ident in d.ended:
            break
        d.pass_time(900)
        d.answer(ident, Outcome.TIMEOUT)
    assert all(at - start < CLASSES[KEYED].key_window_ms for at, send in d.sent)
    assert len(d.sent) >= 2 and ident in d.ended


@pytest.mark.parametrize("scope", [Scope.ZONE, Scope.ENDPOINT])
def test_key_window_of_one_zone_binds_the_repeat_to_it(scope: Scope) -> None:
    keyed = MessageClass("k", Effect.KEYED, 1000.0, 10000.0, 1.0, 0.5, 6000.0, scope)
    d = Driver(make_settings(classes=(keyed,)))
    d.feed(
        EndpointList(
            ListKind.CACHED,
            tuple(Endpoint(ident, 1, Listing.READY, 0, zone, 20.0) for ident, zone in ((11, 0), (12, 1))),
        )
    )
    ident = d.message(0)
    first = d.last(ident)[1].endpoint
    d.pass_time(100)
    d.answer(ident, Outcome.RESET)
    d.feed(EndpointList(ListKind.CHANGES, (Endpoint(first, 1, Listing.DRAINING),)))
    d.pass_time(9900)
    assert d.tries[ident] == 1 and isinstance(d.ended[ident], Fail)


def test_told_wait_binds_the_whole_destination() -> None:
    d = Driver()
    d.listed((11, 1), (12, 1))
    d.warm_up()
    ident = d.message(SAFE)
    d.pass_time(50)
    d.answer(ident, Outcome.FULL, wait=800.0)
    told = d.now
    for _ in range(4):
        d.message(SAFE)
    d.pass_time(4000)
    after = [at for at, _ in d.sent if at > told]
    assert after and min(after) >= told + 800.0


def test_told_wait_binds_one_route_where_routes_are_apart() -> None:
    d = Driver(make_settings(kinds=(DestinationKind("k", has_separate_routes=True),)))
    d.listed((11, 1), (12, 1))
    ident = d.message(SAFE)
    route = d.last(ident)[1].endpoint
    d.pass_time(50)
    d.answer(ident, Outcome.FULL, wait=2000.0)
    told = d.now
    d.pass_time(1500)
    assert d.last(ident)[0] > told and d.last(ident)[1].endpoint != route


@pytest.mark.parametrize("listing", [Listing.DRAINING, Listing.REMOVED, None])
def test_drains_act_at_once(listing: Listing | None) -> None:
    d = Driver()
    d.listed((11, 1), (12, 1))
    d.warm_up()
    if listing is None:
        d.feed(EndpointList(ListKind.COMPLETE, (Endpoint(12, 1, Listing.READY, 0, 0, 20.0),)))
    else:
        d.feed(EndpointList(ListKind.CHANGES, (Endpoint(11, 1, listing),)))
    start = len(d.sent)
    for _ in range(8):
        d.message()
        d.pass_time(100)
    assert {send.endpoint for _, send in d.sent[start:]} == {12}


def test_order_per_key_with_its_rest() -> None:
    ordered = MessageClass("o", Effect.SAFE, 1000.0, 10000.0, 1.0, 0.5, 0.0, in_order=True)
    d = Driver(make_settings(classes=(ordered,)))
    d.listed((11, 1), (12, 2))
    d.warm_up(1)
    d.warm_up(2)
    first, second, other = d.message(0, 1, key=5), d.message(0, 2, key=5), d.message(0, 2, key=6)
    d.pass_time(300)
    assert d.tries.get(first) == 1 and second not in d.tries and d.tries.get(other) == 1
    d.feed(MessageCancelled(first))
    d.pass_time(300)
    assert second not in d.tries  # the earlier one still has a call out
    d.answer(first, Outcome.TIMEOUT)
    told = d.now
    d.pass_time(1000)
    assert d.last(second)[0] >= told + 100.0


def test_return_from_an_outage_stays_inside_the_budget() -> None:
    d = Driver()
    d.listed((11, 1))
    d.warm_up()
    for _ in range(2):
        ident = d.message(SAFE)
        d.pass_time(400)
        if d.tries.get(ident):
            d.answer(ident, Outcome.CONNECT_FAILED)
    for _ in range(30):
        d.message(SAFE)
    back = d.now
    answered: set[tuple[int, int]] = set()
    while d.now < back + 4000:
        d.pass_time(50)
        for at, send in d.sent:
            if (send.id, int(at)) not in answered and at >= back and d.now - at >= 50:
                answered.add((send.id, int(at)))
                if send.id in d.out:
                    d.answer(send.id)
    times = [at for at, _ in d.sent if at >= back]
    budget = 2.0 * 20.0 / 2 * 1.5  # multiple x own part of the rate x span, at full capacity
    cold = [t for t in times if t < back + 1500]
    assert 1 <= len(cold) <= budget * (0.2 + 0.8 * 1500 / 9000 / 2) + 1  # it warms up meanwhile
    assert len(times) > len(cold)


def test_ask_mode_asks_at_start_and_again_after_failure() -> None:
    d = Driver(make_settings(polls_discovery=True))
    assert d.feed() and isinstance(d.other[0][1], WatchEndpoints)
    for _ in range(4):
        before = d.now
        asked = len([1 for _, a in d.other if isinstance(a, WatchEndpoints)])
        d.feed(EndpointList(ListKind.FAILED))
        d.pass_time(3000)
        later = [at for at, a in d.other if isinstance(a, WatchEndpoints)]
        assert len(later) > asked and later[asked] > before

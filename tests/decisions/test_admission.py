"""What is turned away before it is taken on, and what is ended to make room: never the promised for less."""

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

HOLD = 40
MOST = int(SHEDDING_THRESHOLD * HOLD)
TENANTS = (Tenant("own", 1000.0), Tenant("over", 0.0))


def crowded(worths: tuple[float, float] = (1.0, 1.0)) -> Driver:
    """Destination 1 takes nothing (its calls stay out), 2 is well; the hold is as full as it gets."""
    classes = tuple(
        MessageClass(str(n), Effect.SAFE, 1000.0, 1e4, worth, 0.5, 3000.0) for n, worth in enumerate(worths)
    )
    d = Driver(
        make_settings(
            classes=classes,
            max_pending_messages=HOLD,
            relays=1,
            max_retry_after_ms=3000.0,
            tenants=TENANTS,
            over_quota_weight=0.1,
        )
    )
    d.listed((1, 1), rate=1.0)
    d.listed((1, 1), (2, 2), rate=1.0)
    d.feed(EndpointList(ListKind.CHANGES, (Endpoint(2, 2, Listing.READY, rate=1000.0),)))
    for _ in range(MOST):
        d.message(dest=1)
    assert len(d.relay.pending.by_id) == MOST and not d.ended
    return d


def asked(d: Driver, dest: int = 1, class_: int = SAFE, tenant: int = 0) -> float | None:
    return d.relay.rejection_delay_ms(
        d.now, Message(0, dest, class_, 1e4, tenant), len(d.relay.pending.by_id)
    )


def test_what_would_cost_a_promise_is_turned_away_and_told_when_to_come() -> None:
    d = crowded()
    told = asked(d)
    assert told is not None and 0 < told <= 3000.0
    assert d.relay.rejection_delay_ms(d.now, Message(0, 1, SAFE, 1e4), MOST - 1) is None  # there is room


def test_one_worth_more_than_a_promise_is_taken_on_and_the_least_is_ended_for_it() -> None:
    d = crowded((1.0, 4.0))
    assert asked(d, dest=2, class_=1) is None
    d.relay.admission.quota_tokens[1] = (
        0.0,
        d.now,
    )  # this tenant has used up its share: what it hands in is worth a tenth
    assert asked(d, dest=2, class_=1, tenant=1) is not None
    ident = d.message(1, dest=2)
    assert len(d.ended) == 1 and ident not in d.ended
    (end,) = d.ended.values()
    assert isinstance(end, Reject)


def test_what_has_waited_most_of_its_time_goes_first_and_before_a_newcomer() -> None:
    d = crowded()
    d.pass_time(7500.0, 50.0)  # nobody comes: promises grow old
    gone = set(d.ended)
    while len(d.relay.pending.by_id) < MOST:
        d.message(dest=1)
    young = set(range(MOST + 1, d.ids + 1))
    assert asked(d, dest=2) is None
    d.message(dest=2)
    ended = set(d.ended) - gone
    assert len(ended) == 1 and not ended & young


def test_the_desk_asks_before_it_journals_and_owes_nothing_for_what_it_turned_away(tmp_path: Path) -> None:
    async def work() -> None:
        settings = make_settings(max_pending_messages=HOLD, relays=1, max_retry_after_ms=3000.0)
        relay, journal = DeliveryScheduler(settings, 1), Journal(tmp_path, 1 << 20)
        entry = Endpoint(1, 1, Listing.READY, rate=1.0)
        relay.handle(0.0, [EndpointList(ListKind.COMPLETE, (entry,))])
        events: list[Event] = []
        desk = MessageLifecycle(
            settings,
            journal,
            lambda: 0.0,
            events.append,
            lambda origin, end: pytest.fail("an end is owed"),
            lambda message, held: relay.rejection_delay_ms(0.0, message, held),
        )
        desk.add_destinations({1})
        name = settings.classes[SAFE].name
        offers = [Submission(f"m{n}", name, "", 1, None, 10_000, "", b"", "http") for n in range(MOST + 1)]
        assert all(desk.accept(offer).accepted for offer in offers[:-1])
        relay.handle(0.0, events)
        receipt = desk.accept(offers[-1])
        assert not receipt.accepted and 0 < receipt.retry_after_s <= 3.0
        assert f"m{MOST}" not in journal.entries and len(desk.accepted) == MOST
        assert desk.outcomes.counts["turned away"] == 1
        assert desk.accept(offers[0]).accepted  # one that is held is known, however full it is
        journal.close()

    asyncio.run(work())

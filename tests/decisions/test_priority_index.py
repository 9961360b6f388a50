"""The priority index makes the same choices as a full scan (full_scan_oracle.py) after any events."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from message_relay.decisions.model import (
    Decay,
    DestinationKind,
    Effect,
    MessageClass,
    Rates,
    Scope,
    Settings,
    Tenant,
)
from tests.conftest import make_settings

from .full_scan_oracle import watched
from .test_rule_invariants import drive, settings_strategy


@settings(max_examples=120)
@given(settings_strategy(), st.integers(0, 2**32))
def test_each_choice_is_that_of_the_plain_scan(setup: Settings, seed: int) -> None:
    relay = watched(setup)
    drive(relay, setup, seed, dests=5)
    assert relay.choices > 0


def test_a_destination_whose_tokens_fill_within_a_tick_of_its_scan_is_chosen() -> None:
    """Guards a turn that an event starts less than a tick after the scan of a queue.

    Destination 2 was scanned at 2928.6 and accepted messages from 2929.5, when its tokens sufficed. Its next
    scan had been rounded up to a tick later, 2933.6, so the turn at 2930.0 found none of its messages in the
    index, and sent a message worth 0.0004 instead of one worth 0.0051. Found by other examples of the test
    above.
    """
    ordered = MessageClass("c", Effect.SAFE, 400.0, 4000.0, 1.0, 0.5, 1200.0, Scope.ALL, True)
    setup = make_settings(
        classes=(ordered,),
        max_concurrent_attempts=6,
        max_pending_messages=6,
        max_attempts=1,
        rates=Rates.NONE,
        tenants=tuple(Tenant(name, 2.0) for name in "ab"),
        over_quota_weight=0.1,
    )
    drive(watched(setup), setup, 6, dests=5)


def test_messages_without_any_gain_do_not_hide_one_that_gains() -> None:
    """Guards against spending the exact comparisons on messages without any gain.

    Eight of the highest bounds belonged to messages whose response would arrive after their deadline: the
    first of these was sent, with value 0.0, and message 22, worth 0.000028 per ms of slot time, was not
    examined. Found by 4,000 examples of the first test.
    """
    ordered, unordered = (
        MessageClass("c", Effect.SAFE, 400.0, 4000.0, 1.0, 0.5, 1200.0, Scope.ZONE, in_order)
        for in_order in (True, False)
    )
    setup = make_settings(
        classes=(ordered, unordered, unordered),
        kinds=(DestinationKind("k", has_separate_routes=True),),
        max_concurrent_attempts=4,
        max_pending_messages=23,
        max_attempts=3,
        polls_discovery=True,
        rates=Rates.ROUGH,
        decay=Decay.HALVES,
        marks_repeats=True,
        tenants=tuple(Tenant(name, 2.0) for name in "ab"),
        over_quota_weight=0.1,
    )
    drive(watched(setup), setup, 34379, dests=5)


def test_best_of_several_alike_is_chosen() -> None:
    """A known failure: 0.000219 is chosen although the full scan finds 0.000227 (message 13).

    The eight exact comparisons are used up by messages 20 to 24 at several endpoints, whose common bound,
    0.000236, lies above both. Found by 4,000 examples of the first test.
    """
    setup = make_settings(
        classes=(MessageClass("c", Effect.UNSAFE, 400.0, 4000.0, 1.0, 0.5, 1200.0, Scope.ALL),),
        kinds=(DestinationKind("k", has_separate_routes=True),),
        max_concurrent_attempts=2,
        max_pending_messages=22,
        max_attempts=3,
        rates=Rates.ROUGH,
        decay=Decay.HALVES,
        marks_repeats=True,
        tenants=tuple(Tenant(name, 2.0) for name in "ab"),
        over_quota_weight=0.1,
    )
    drive(watched(setup), setup, 25298, dests=5)

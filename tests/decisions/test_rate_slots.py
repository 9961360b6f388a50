"""Time slots of an agreed rate, and the share of open slots, which depends on an instance's own evidence."""

from __future__ import annotations

import itertools
import math
import random
from bisect import bisect_right

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from emulator.experiment import decoded
from emulator.world import World
from message_relay.decisions.actions import StartAttempt
from message_relay.decisions.events import AttemptCompleted, EndpointList, Event, Message, TimerFired
from message_relay.decisions.model import Endpoint, Fleet, Listing, ListKind, Outcome, Safety
from message_relay.decisions.rate_slots import (
    GUARD,
    SILENCE_TTL_MS,
    SLOT_TOLERANCE_MS,
    WARM_UP_SHARE,
    TimeSlotShare,
    circle_position,
)
from message_relay.decisions.scheduler import DeliveryScheduler

from ..conftest import make_settings

SAFETY = Safety(warm_up_initial_share=0.18, warm_up_ms=11_000.0)


def instance_slots(
    number: int = 0, size: int = 40, rate: float = 60.0, clock: float = 0.0, cold: float = 0.18
) -> TimeSlotShare:
    return TimeSlotShare(
        Fleet(number, size, clock), rate, Safety(warm_up_initial_share=cold, warm_up_ms=11_000.0)
    )


def send_times(
    slots: TimeSlotShare, start: float, end: float, late: random.Random | None = None
) -> list[float]:
    """Returns the send times in an interval; `late` draws the delay of each call, answered at once."""
    out, now = [], start
    while (at := slots.next_slot_at(now)) < end:
        now = max(now, at) + (late.uniform(0.0, 0.99 * slots.slot_tolerance_ms) if late else 0.0)
        if slots.next_slot_at(now) > now:  # too late for its slot
            continue
        slots.mark_used()
        slots.on_success(now)
        out.append(now + slots.fleet.clock_ms)
    return out


def max_in_window(sent: list[float], ms: float) -> int:
    sent = sorted(sent)
    return max((bisect_right(sent, at + ms) - n for n, at in enumerate(sent)), default=0)


@settings(max_examples=60)
@given(st.integers(1, 60), st.integers(1, 200), st.integers(0, 2**32))
def test_all_instances_together_never_exceed_the_agreed_rate_in_any_second(
    size: int, rate: int, seed: int
) -> None:
    rng = random.Random(seed)
    sent: list[float] = []
    for number in range(size):
        clock = rng.uniform(-1e9, 1e9)  # the clocks of instances started at different times
        slots = instance_slots(number, size, rate, clock, cold=1.0)
        sent += send_times(slots, 1e6 - clock, 1e6 + 4000.0 - clock, rng)
    assert max_in_window(sent, 999.9) <= rate


def test_instance_uses_its_full_share() -> None:
    sent = [at for number in range(40) for at in send_times(instance_slots(number, cold=1.0), 0.0, 60_000.0)]
    assert len(sent) >= 0.99 * GUARD * 60 * 60


@pytest.mark.parametrize("size", [1, 2, 3, 7, 30, 40, 41])
@pytest.mark.parametrize("part", [0.05, 0.18, 0.5, 0.83, 1.0])
def test_open_slots_in_a_frame_match_the_open_share(size: int, part: float) -> None:
    assert sorted(round(circle_position(n, size) * size) for n in range(size)) == list(range(size))
    instances = [instance_slots(number, size) for number in range(size)]
    counts = [sum(slots._is_open(frame, part) for slots in instances) for frame in range(500)]
    assert max(counts) <= math.ceil(part * size)
    assert sum(counts) / 500 == pytest.approx(part * size, rel=0.05, abs=0.02)


def test_slot_is_used_once_even_at_its_boundary() -> None:
    for number in range(40):
        slots, now = instance_slots(number, cold=1.0), 0.0
        for _ in range(200):
            now = slots.next_slot_at(now)
            slots.mark_used()
            assert slots.next_slot_at(now) > now + 0.9 * slots.frame_ms - slots.slot_tolerance_ms


def test_open_share_grows_only_with_own_successes() -> None:
    slots = instance_slots()
    assert slots.open_share(0.0) == slots.open_share(1e6) == 0.18  # a new process has no evidence
    for at in range(0, 20_000, 700):
        slots.on_success(float(at))
        assert slots.open_share(at) <= min(1.0, WARM_UP_SHARE * (0.18 + 0.82 * at / 11_000)) + 1e-9
    assert slots.open_share(20_000.0) == 1.0
    slots.on_failure(20_500.0, is_ejected=False)
    assert slots.open_share(20_500.0) == 1.0  # a single failure is no outage
    slots.on_failure(20_600.0, is_ejected=True)
    assert slots.open_share(20_600.0) == 0.18


def test_evidence_expires_without_answers() -> None:
    slots = instance_slots()
    for at in range(0, 20_000, 700):
        slots.on_success(float(at))
    assert (
        slots.open_share(19_600 + SILENCE_TTL_MS) == 1.0 and slots.open_share(19_700 + SILENCE_TTL_MS) == 0.18
    )
    slots.on_success(40_000.0)
    assert slots.open_share(40_000.0) == pytest.approx(WARM_UP_SHARE * 0.18)


def test_recovery_is_assumed_halfway_between_failure_and_success() -> None:
    slots, other = instance_slots(), instance_slots()
    slots.on_failure(10_000.0, is_ejected=True)
    slots.on_success(12_000.0)
    other.on_success(12_000.0)
    assert slots.healthy_since == 11_000.0 and other.healthy_since == 12_000.0
    slots.on_failure(20_000.0, is_ejected=True)
    slots.on_success(60_000.0)
    assert slots.healthy_since == 60_000.0  # the failure was too long ago


def test_changed_rate_moves_the_slots() -> None:
    slots = instance_slots(3, 10, 10.0, cold=1.0)
    assert len(send_times(slots, 0.0, 50_000.0)) == pytest.approx(50 * GUARD, abs=1)
    slots.set_rate(20.0)
    assert len(send_times(slots, 50_000.0, 100_000.0)) == pytest.approx(100 * GUARD, abs=2)


@pytest.mark.parametrize(
    ("number", "size", "message"),
    [(0, 0, "fleet.size"), (-1, 4, "fleet.number"), (4, 4, "must lie in 0 to 3")],
)
def test_invalid_fleet_names_its_field(number: int, size: int, message: str) -> None:
    with pytest.raises(ValueError, match=message):
        Fleet(number, size)


def test_relay_sends_only_in_its_slots_where_there_is_a_fleet() -> None:
    for fleet in (None, Fleet(2, 10, 12_345.0)):
        relay = DeliveryScheduler(make_settings(fleet=fleet, safety=SAFETY, max_pending_messages=100), 1)
        now = 1000.0
        relay.handle(now, [EndpointList(ListKind.COMPLETE, (Endpoint(1, 1, Listing.READY, rate=50.0),))])
        at: list[float] = []
        actions = relay.handle(now, [Message(n, 1, 0, 9000.0) for n in range(30)])
        while now < 9000.0:
            at += [now] * sum(isinstance(action, StartAttempt) for action in actions)
            ends: list[Event] = [
                AttemptCompleted(action.id, 0, 1, Outcome.OK, 1.0, True)
                for action in actions
                if isinstance(action, StartAttempt)
            ]
            now += 5.0
            actions = relay.handle(now, ends or [TimerFired(0)])
        if fleet is None:
            assert len(at) == 30 and at[:3] == [1000.0, 1000.0, at[2]] and at[2] > 1000.0  # BURST at once
        else:
            frame = 1000 * 10 / (50 * GUARD)
            positions = [(sent_at + 12_345.0 - 2 * frame / 10) % frame for sent_at in at]
            assert 5 <= len(at) < 30 and max(positions) <= SLOT_TOLERANCE_MS
            assert min(b - a for a, b in itertools.pairwise(at)) > 0.8 * frame


def test_fleet_warms_up_a_recovered_destination_and_keeps_the_agreed_rate() -> None:
    """Three of the ten instances are restarted in the outage; experiments/forty.toml has a fleet of forty."""
    experiment = decoded(
        {
            "name": "ten",
            "traffic": {"rate": 16.0, "seconds": 59.0, "warm_s": 25.0},
            "partners": [
                {
                    "rate": {"per_s": 20.0, "burst": 3.0},
                    "service": {"mean_ms": 150.0, "cv": 0.0},
                    "cold": {"share": 0.18},
                    "troubles": [{"fault": "down", "begin_s": 30, "end_s": 42}],
                }
            ],
            "fleet": {
                "relays": 10,
                "restarts": [{"relay": n, "at_s": 33 + n, "how": "kill"} for n in (2, 5, 8)],
            },
            "variants": [{"name": "alone"}, {"name": "fleet", "fleet": {"share_rates": True}}],
        },
        "ten",
    )
    worlds = [World(experiment, variant, 1).run() for variant in experiment.variants]
    alone, fleet = (record.figures() for record in worlds)
    assert fleet["over_1s"] <= 1.0 and fleet["over_cold"] <= 1.3 and not worlds[1].full
    assert fleet["tries_while_out"] < 0.7 * alone["tries_while_out"] and fleet["delivered"] > 0.6
    assert alone["over_cold"] > fleet["over_cold"]  # otherwise the scenario would prove nothing


@settings(max_examples=40)
@given(st.integers(0, 2**32), st.integers(2, 30), st.integers(10, 120))
def test_agreed_rate_holds_while_instances_resize_at_different_moments(
    seed: int, size: int, rate: int
) -> None:
    """Instances apply a resize at different times: a smaller share at once, a larger one when others left."""
    rng = random.Random(seed)
    other = rng.randint(1, 40)
    sent: list[float] = []
    for number in range(max(size, other)):
        clock = rng.uniform(-1e7, 1e7)
        resized_at = 1e6 + rng.uniform(3000.0, 5000.0)
        if other < size:
            resized_at = 1e6 + 6000.0 if number < other else 1e6 + 5000.0
        begin, end = 1e6, 1e6 + 9000.0
        if number >= size:
            begin = 1e6 + 5000.0  # a new instance starts after all others have resized
        if number < size:
            slots = instance_slots(number, size, rate, clock, cold=1.0)
            sent += send_times(slots, begin - clock, min(resized_at, end) - clock, rng)
            if number >= other:
                continue  # the instance has left
            slots.resize(Fleet(number, other, clock))
        else:
            slots, resized_at = instance_slots(number, other, rate, clock, cold=1.0), begin
        sent += send_times(slots, resized_at - clock, end - clock, rng)
    assert max_in_window(sent, 999.9) <= max(rate, 1) + 1  # a window may hold both an old and a new slot


def test_clock_change_allows_no_second_call_in_a_frame() -> None:
    slots = instance_slots(5, 40, 60.0, cold=1.0)
    sent = send_times(slots, 0.0, 5000.0)
    slots.resize(Fleet(5, 40, -150.0))
    later = send_times(slots, 5000.0, 9000.0)
    assert later[0] + 150.0 - sent[-1] >= slots.frame_ms - 0.01


def test_relay_applies_a_changed_fleet_size() -> None:
    relay = DeliveryScheduler(make_settings(fleet=Fleet(2, 10), safety=SAFETY), 1)
    entry = Endpoint(1, 1, Listing.READY, rate=50.0)
    relay.handle(0.0, [EndpointList(ListKind.COMPLETE, (entry,))])
    relay.handle(5.0, [Fleet(2, 20)])
    destination = relay.destinations[1][-1]
    assert (
        relay.settings.relays == 20
        and destination.time_slots is not None
        and destination.time_slots.fleet.size == 20
    )
    alone = DeliveryScheduler(make_settings(), 1)
    alone.handle(5.0, [Fleet(2, 20)])
    assert alone.settings.relays == 20 and alone.settings.fleet is None

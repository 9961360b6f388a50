"""The model of a partner: rates, recovery after outages, collapse, slots, troubles, idempotency keys, and
actual effects."""

from __future__ import annotations

import math
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from emulator.partner import Answer, Call, Partner, Reply
from emulator.spec import Cold, Enforced, Fault, Rate, Service, Spec, Trouble

OUT = (Trouble(Fault.DOWN, 10_000.0, 20_000.0),)


def partner(seed: int = 1, **more: object) -> Partner:
    return Partner(Spec(**more), Random(seed))  # type: ignore[arg-type]


def drive(it: Partner, per_s: float, start: float, end: float) -> list[tuple[float, Answer]]:
    gap, got = 1000 / per_s, list[tuple[float, Answer]]()
    for n in range(int((end - start) / gap)):
        now = start + n * gap
        got.append((now, it.call(now, Call(f"t{now:.3f}", client=f"c{n % 3}"))))
    return got


def accepted(got: list[tuple[float, Answer]], start: float, end: float) -> int:
    return sum(start <= at < end and answer.reply is Reply.OK for at, answer in got)


@pytest.mark.parametrize("enforced", list(Enforced))
def test_calls_above_the_rate_are_rejected(enforced: Enforced) -> None:
    got = drive(partner(rate=Rate(50.0, enforced)), 100.0, 0.0, 20_000.0)
    assert accepted(got, 5_000.0, 15_000.0) == pytest.approx(500, abs=25)
    assert {answer.reply for _, answer in got} == {Reply.OK, Reply.FULL}
    assert accepted(drive(partner(rate=Rate(50.0, enforced)), 45.0, 0.0, 20_000.0), 0.0, 20_000.0) == 900


def test_per_client_rate_limits_each_client_separately() -> None:
    got = drive(partner(rate=Rate(20.0, per_client=True)), 120.0, 0.0, 10_000.0)
    assert accepted(got, 2_000.0, 8_000.0) == pytest.approx(3 * 6 * (20 + 2), abs=9)  # `burst`: 2 a window


def test_rejected_calls_count_against_the_rate_if_so_set() -> None:
    got = drive(partner(rate=Rate(20.0, counts_refused=True)), 60.0, 0.0, 10_000.0)
    assert accepted(got, 2_000.0, 10_000.0) == 0  # no call passes as long as the calls continue


def test_retry_delay_is_within_its_range() -> None:
    got = drive(partner(rate=Rate(10.0, wait_ms=(200.0, 700.0))), 50.0, 0.0, 5_000.0)
    waits = [answer.wait_ms for _, answer in got if answer.reply is Reply.FULL]
    assert waits and 200 <= min(waits) < 300 and 600 < max(waits) <= 700


def test_capacity_is_low_after_an_outage_and_recovers_linearly() -> None:
    it = partner(rate=Rate(50.0), cold=Cold(share=0.2, warm_ms=10_000.0), troubles=OUT)
    can = [it.can(at) for at in (5_000.0, 15_000.0, 20_000.0, 25_000.0, 30_000.0)]
    assert can == pytest.approx([50, 0, 10, 30, 50])
    got = drive(it, 100.0, 0.0, 40_000.0)
    # 10 to 16 a second, and `burst`
    assert accepted(got, 20_000.0, 21_500.0) <= 1.5 * (10 + 16) / 2 + 2 * 2.5
    assert accepted(got, 31_000.0, 40_000.0) == pytest.approx(450, abs=25)
    assert {answer.reply for at, answer in got if 10_000 <= at < 20_000} == {Reply.NO_CONNECTION}


@pytest.mark.parametrize(("multiple", "falls"), [(1.8, False), (2.3, True)])
def test_warming_up_partner_collapses_above_fall_multiple_but_not_below(multiple: float, falls: bool) -> None:
    warm_up = Cold(share=0.2, warm_ms=1e9, fall_multiple=2.0, fall_ms=1500.0, fallen_ms=5_000.0)
    it = partner(rate=Rate(100.0), cold=warm_up, troubles=OUT)
    got = drive(it, multiple * 20.0, 20_000.0, 24_000.0)
    assert (it.falls > 0) == falls
    if falls:
        first = next(at for at, answer in got if answer.reply is Reply.RESET)
        assert 20_800 < first < 22_000 and it.can(first + 4_999.0) == 0.0
        assert it.can(first + 5_001.0) == pytest.approx(20.0, rel=0.01)  # cold again after the collapse


def test_calls_beyond_slots_and_queue_are_rejected() -> None:
    it = partner(slots=2, queue=1, service=Service(100.0, cv=0.0))
    at = [it.call(0.0, Call(f"t{n}")) for n in range(4)]
    assert [(one.reply, one.at) for one in at] == [
        (Reply.OK, 100.0),
        (Reply.OK, 100.0),
        (Reply.OK, 200.0),
        (Reply.FULL, 0.0),
    ]
    assert it.call(150.0, Call("t5")).at == 250.0  # a slot is free again


def test_service_times_have_the_specified_mean_and_spread() -> None:
    took = [at.at - now for now, at in drive(partner(service=Service(80.0, cv=0.5)), 20.0, 0.0, 200_000.0)]
    mean = sum(took) / len(took)
    spread = math.sqrt(sum((one - mean) ** 2 for one in took) / len(took))
    assert mean == pytest.approx(80.0, rel=0.03) and spread / mean == pytest.approx(0.5, rel=0.1)
    slow = drive(partner(service=Service(80.0, 0.0, slow_share=0.1, slow_factor=4.0)), 20.0, 0.0, 100_000.0)
    assert sum(at.at - now > 300 for now, at in slow) / len(slow) == pytest.approx(0.1, abs=0.03)
    brown = partner(service=Service(80.0, 0.0), troubles=(Trouble(Fault.BROWN, 0.0, 1000.0, 3.0),))
    assert brown.call(0.0, Call("a")).at == 240.0 and brown.call(1000.0, Call("b")).at == 1080.0


def test_lowered_reduces_the_rate_without_a_warm_up_after_it() -> None:
    it = partner(
        rate=Rate(100.0, Enforced.BUCKET, burst=5.0),
        service=Service(1.0, 0.0),
        cold=Cold(share=0.1),
        troubles=(Trouble(Fault.LOWERED, 10_000.0, 20_000.0, 0.3),),
    )
    accepted_at = [at for at, answer in drive(it, 100.0, 0.0, 30_000.0) if answer.reply is Reply.OK]
    by_second = [sum(1000 * s <= at < 1000 * (s + 1) for at in accepted_at) for s in range(30)]
    assert min(by_second[1:10]) >= 99 and max(by_second[11:20]) <= 31 and min(by_second[21:29]) >= 99
    with pytest.raises(ValueError, match="trouble.size"):
        Trouble(Fault.LOWERED, 0.0, 1.0, 1.5)


def test_each_fault_gives_its_reply_and_effect() -> None:
    def one(fault: Fault, at: float, size: float = 1.0) -> tuple[Answer, int]:
        it = partner(service=Service(100.0, cv=0.0), troubles=(Trouble(fault, 1000.0, 2000.0, size),))
        return it.call(at, Call("t")), it.effects["t"]

    assert one(Fault.DOWN, 1500.0) == (Answer(Reply.NO_CONNECTION, 1500.0), 0)
    assert one(Fault.DOWN, 950.0) == (Answer(Reply.RESET, 1000.0), 1)  # the call was being served
    assert one(Fault.HUNG, 1500.0) == (Answer(Reply.NOTHING, math.inf), 1)
    assert one(Fault.SILENT, 1500.0) == (Answer(Reply.NOTHING, math.inf), 0)
    assert one(Fault.SILENT, 950.0) == (Answer(Reply.NOTHING, math.inf), 1)
    assert one(Fault.SHUT, 1500.0) == (Answer(Reply.FULL, 1500.0), 0)
    assert one(Fault.FAILING, 1500.0)[0] == Answer(Reply.ERROR, 1600.0)
    for fault in Fault:
        assert one(fault, 2000.0) == (Answer(Reply.OK, 2100.0), 1)


def test_repeated_key_has_one_effect_within_its_window() -> None:
    it = partner(key_window_ms=1000.0)
    for at in (0.0, 500.0, 999.0, 1001.0, 1500.0):
        it.call(at, Call("t", "k"))
    assert it.effects["t"] == 2 and len(it.keys) == len(it.key_expiries) == 1
    for at in range(5_000, 50_000, 10):
        it.call(float(at), Call("u", f"k{at}"))
    assert len(it.keys) <= 101  # expired keys are removed


@settings(max_examples=60)
@given(st.integers(0, 2**32))
def test_the_same_calls_get_the_same_answers_and_no_proof_is_false(seed: int) -> None:
    rng = Random(seed)
    troubles = tuple(Trouble(rng.choice(list(Fault)), at, at + 800.0) for at in (1000.0, 3000.0, 6000.0))
    spec = Spec(
        rate=Rate(40.0, rng.choice(list(Enforced))),
        slots=4,
        queue=2,
        refuse=0.05,
        error=0.1,
        reset=0.05,
        cold=Cold(0.2, 3000.0, 2.0, 1500.0, 2000.0),
        troubles=troubles,
    )
    times = sorted(rng.uniform(0.0, 9000.0) for _ in range(300))
    got = []
    for _ in range(2):
        it = Partner(spec, Random(seed))
        got.append([it.call(at, Call(f"t{n}")) for n, at in enumerate(times)])
    assert got[0] == got[1]
    for n, answer in enumerate(got[0]):
        assert answer.at >= times[n]
        if answer.reply in (Reply.FULL, Reply.NO_CONNECTION):
            assert it.effects[f"t{n}"] == 0
        elif answer.reply is Reply.OK:
            assert it.effects[f"t{n}"] == 1


@pytest.mark.parametrize(
    ("make", "field"),
    [
        (lambda: Rate(0.0), "rate.per_s"),
        (lambda: Rate(1.0, wait_ms=(5.0, 1.0)), "rate.wait_ms"),
        (lambda: Service(slow_share=2.0), "service.slow_share"),
        (lambda: Cold(0.0), "cold.share"),
        (lambda: Cold(fall_multiple=1.0), "cold.fall_multiple"),
        (lambda: Trouble(Fault.DOWN, 5.0, 5.0), "trouble.end_ms"),
        (lambda: Trouble(Fault.FAILING, 0.0, 1.0, 2.0), "trouble.size"),
        (lambda: Spec(slots=0), "slots"),
        (lambda: Spec(refuse=0.6, error=0.6), "refuse, error, reset, hang"),
    ],
)
def test_invalid_spec_names_its_field(make: object, field: str) -> None:
    with pytest.raises(ValueError, match=field):
        make()  # type: ignore[operator]

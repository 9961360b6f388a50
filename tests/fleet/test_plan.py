"""What the supervisor decides, step by step and by chance; no process runs here."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from message_relay.fleet.operator import SupervisorPart
from message_relay.fleet.plan import Plan, State, SupervisorAction

PART = SupervisorPart(
    together=3,
    stagger_s=0.0,
    ready_s=5.0,
    stop_s=2.0,
    watchdog_s=4.0,
    first_wait_s=0.5,
    most_wait_s=4.0,
    loop_crashes=3,
    loop_s=60.0,
)


def up(count: int = 3) -> Plan:
    """All are up at 0."""
    plan = Plan(PART, count, 0.0, 1)
    while started := [n for do, n in plan.next(0.0) if do is SupervisorAction.START]:
        for n in started:
            plan.ready(n, 0.0)
    assert all(one.state is State.UP for one in plan.all.values())
    return plan


def test_few_start_at_once_and_the_others_when_those_are_ready() -> None:
    plan = Plan(PART, 5, 0.0, 1)
    assert (
        plan.next(0.0)
        == [(SupervisorAction.START, 0), (SupervisorAction.START, 1), (SupervisorAction.START, 2)]
        and plan.next(0.1) == []
    )
    plan.ready(1, 0.2)
    assert plan.next(0.2) == [(SupervisorAction.START, 3)]


def test_one_start_comes_after_the_other() -> None:
    plan = Plan(SupervisorPart(stagger_s=0.5), 2, 0.0, 1)
    assert plan.next(0.0) == [(SupervisorAction.START, 0)] and plan.wake(0.0) == 0.5
    assert plan.next(0.4) == [] and plan.next(0.5) == [(SupervisorAction.START, 1)]


def test_waits_after_crashes_grow_with_jitter_and_a_loop_is_told() -> None:
    plan, now, waits = up(1), 0.0, []
    for n in range(6):
        plan.exited(0, now, -9)
        one = plan.all[0]
        waits.append(one.at - now)
        assert plan.loops(0, now) == (n >= 2)
        assert plan.next(one.at - 0.001) == []
        now = one.at
        assert plan.next(now) == [(SupervisorAction.START, 0)]
    for want, wait in zip((0.5, 1, 2, 4, 4, 4), waits, strict=True):
        assert 0.7 * want <= wait <= 1.3 * want
    assert len({round(wait, 6) for wait in waits[3:]}) == 3  # by chance
    assert [fields["crash_loop"] for event, fields in plan.notes if event == "an instance crashed"][-1]


def test_one_that_says_its_configuration_makes_no_sense_waits_for_a_reload() -> None:
    plan = up(1)
    plan.exited(0, 1.0, 2)
    assert plan.all[0].state is State.FAILED and plan.next(1000.0) == []
    plan = up()
    plan.exited(1, 1.0, 2)
    plan.told_to_reload(2.0, PART, 3, 20.0)
    assert (SupervisorAction.START, 1) in plan.next(2.0)  # it was one of them before


def test_one_that_is_not_ready_hangs_or_does_not_end_is_killed_once() -> None:
    plan = Plan(PART, 1, 0.0, 1)
    plan.next(0.0)
    assert plan.next(4.9) == [] and plan.next(5.1) == [(SupervisorAction.KILL, 0)] and plan.next(5.2) == []
    plan = up(1)
    plan.beat(0, 3.0)
    assert plan.next(6.9) == [] and plan.next(7.1) == [(SupervisorAction.KILL, 0)]
    plan.exited(0, 7.1, -9)
    assert plan.all[0].state is State.DOWN and "killed" in plan.all[0].why
    plan = up(1)
    plan.told_to_stop(1.0)
    assert plan.next(1.0) == [(SupervisorAction.TERM, 0)] and plan.next(3.1) == [(SupervisorAction.KILL, 0)]
    plan.exited(0, 3.2, -9)
    assert plan.done


def test_a_rolling_restart_has_one_away_at_a_time() -> None:
    plan = up(3)
    plan.told_to_roll(1.0)
    for n in range(3):
        assert plan.next(1.0) == [(SupervisorAction.TERM, n)] and plan.next(1.1) == []
        plan.exited(n, 1.2, 0)
        assert plan.next(1.2) == [(SupervisorAction.START, n)] and plan.next(1.3) == []
        plan.ready(n, 1.4)
    assert plan.next(1.5) == [] and not plan.rolling
    assert [event for event, _ in plan.notes][-1] == "the rolling restart is done"


def test_a_rolling_restart_stops_at_one_that_does_not_come_back() -> None:
    plan = up(3)
    plan.told_to_roll(1.0)
    plan.next(1.0)
    plan.exited(0, 1.2, 0)
    plan.next(1.2)
    plan.exited(0, 1.3, 1)  # it crashes at its start
    assert not plan.rolling and all(plan.all[n].state is State.UP for n in (1, 2))
    assert "stops" in plan.notes[0][0] or "stops" in plan.notes[1][0]
    assert plan.all[0].state is State.DOWN  # and is tried again by itself


def test_fewer_retire_and_more_come_only_when_all_have_counted_anew() -> None:
    plan = up(3)
    plan.told_to_reload(1.0, PART, 2, 20.0)
    assert (
        plan.next(1.0)
        == [(SupervisorAction.RELOAD, 0), (SupervisorAction.RELOAD, 1), (SupervisorAction.RELOAD, 2)]
        and plan.all[2].retiring
    )
    for n in range(3):
        plan.ready(n, 1.1)
    for n in (0, 1):
        plan.beat(n, 5.0)
    plan.exited(2, 5.0, 0)
    assert plan.all[2].state is State.GONE and plan.next(6.0) == []
    for n in (0, 1):
        plan.beat(n, 6.0)
    plan.told_to_reload(6.0, PART, 4, 20.0)
    assert plan.next(6.0) == [(SupervisorAction.RELOAD, 0), (SupervisorAction.RELOAD, 1)]
    plan.ready(0, 6.1)
    assert plan.next(6.1) == []
    plan.ready(1, 6.2)
    assert plan.next(6.2) == [(SupervisorAction.START, 2), (SupervisorAction.START, 3)]


def test_one_that_crashes_while_it_retires_comes_back_to_end_what_it_holds() -> None:
    plan = up(2)
    plan.told_to_reload(1.0, PART, 1, 3.0)
    plan.next(1.0)
    plan.exited(1, 1.5, -9)
    plan.ready(0, 1.6)
    assert plan.all[1].state is State.DOWN and plan.all[1].retiring
    assert (SupervisorAction.START, 1) in plan.next(plan.all[1].at)
    plan.ready(1, 2.5)
    plan.beat(0, 4.0)
    assert plan.next(4.1) == [
        (SupervisorAction.TERM, 1)
    ]  # its time is up: what it holds stays in its journal
    plan.exited(1, 4.2, 0)
    assert plan.all[1].state.value == "gone"


def test_one_that_starts_during_a_reload_hears_of_it_when_it_can() -> None:
    plan = Plan(PART, 1, 0.0, 1)
    plan.next(0.0)
    plan.told_to_reload(0.1, PART, 1, 20.0)
    assert plan.next(0.1) == []  # a signal now could end it
    plan.ready(0, 0.5)
    assert plan.next(0.5) == [(SupervisorAction.RELOAD, 0)]


@settings(max_examples=150)
@given(st.integers(0, 2**32))
def test_by_chance_nothing_is_started_twice_or_forgotten(seed: int) -> None:
    """Processes that start, end and hang at will: no number ever has two, and a stop ends them all."""
    rng, now = random.Random(seed), 0.0
    plan, running, term = Plan(PART, rng.randint(1, 5), 0.0, seed), dict[int, float](), set[int]()
    for step in range(160):
        now += rng.expovariate(4.0)
        if step == 120:
            plan.told_to_stop(now)
        elif step < 120 and rng.random() < 0.05:
            plan.told_to_roll(now)
        elif step < 120 and rng.random() < 0.05:
            plan.told_to_reload(now, PART, rng.randint(1, 5), 3.0)
        for n in list(running):
            if rng.random() < 0.5:
                plan.ready(n, now)
            if rng.random() < (0.5 if n in term else 0.03):
                del running[n]
                plan.exited(n, now, rng.choice((0, 0, 1, 2, -9)))
                term.discard(n)
        for do, n in plan.next(now):
            if do is SupervisorAction.START:
                assert n not in running and not plan.stopping
                running[n] = now
            elif do is SupervisorAction.KILL:
                running.pop(n)
                term.discard(n)
                plan.exited(n, now, -9)
            else:
                assert n in running
                if do is SupervisorAction.TERM:
                    term.add(n)
        assert sum(plan.all[n].state is State.STARTING for n in plan.all) <= PART.together
        if plan.rolling and not plan.stopping:
            asked = [n for n in term if n < plan.count]
            assert len(asked) <= 1 + sum(one.retiring for one in plan.all.values())
    for _ in range(20):
        now += 3.0
        for do, n in plan.next(now):
            assert do is not SupervisorAction.START
            if do is SupervisorAction.KILL:
                running.pop(n)
                plan.exited(n, now, -9)
    assert plan.done and not running

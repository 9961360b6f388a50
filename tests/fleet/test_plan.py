"""What the supervisor decides, step by step and by chance; no process runs here."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from message_relay.fleet.operator import SupervisorSection
from message_relay.fleet.plan import InstanceState, Plan, SupervisorAction

PART = SupervisorSection(
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
    while started := [n for do, n in plan.next_steps(0.0) if do is SupervisorAction.START]:
        for n in started:
            plan.on_ready(n, 0.0)
    assert all(one.state is InstanceState.UP for one in plan.instances.values())
    return plan


def test_few_start_at_once_and_the_others_when_those_are_ready() -> None:
    plan = Plan(PART, 5, 0.0, 1)
    assert (
        plan.next_steps(0.0)
        == [(SupervisorAction.START, 0), (SupervisorAction.START, 1), (SupervisorAction.START, 2)]
        and plan.next_steps(0.1) == []
    )
    plan.on_ready(1, 0.2)
    assert plan.next_steps(0.2) == [(SupervisorAction.START, 3)]


def test_one_start_comes_after_the_other() -> None:
    plan = Plan(SupervisorSection(stagger_s=0.5), 2, 0.0, 1)
    assert plan.next_steps(0.0) == [(SupervisorAction.START, 0)] and plan.next_wake(0.0) == 0.5
    assert plan.next_steps(0.4) == [] and plan.next_steps(0.5) == [(SupervisorAction.START, 1)]


def test_waits_after_crashes_grow_with_jitter_and_a_loop_is_told() -> None:
    plan, now, waits = up(1), 0.0, []
    for n in range(6):
        plan.on_exited(0, now, -9)
        one = plan.instances[0]
        waits.append(one.not_before - now)
        assert plan.is_crash_looping(0, now) == (n >= 2)
        assert plan.next_steps(one.not_before - 0.001) == []
        now = one.not_before
        assert plan.next_steps(now) == [(SupervisorAction.START, 0)]
    for want, wait in zip((0.5, 1, 2, 4, 4, 4), waits, strict=True):
        assert 0.7 * want <= wait <= 1.3 * want
    assert len({round(wait, 6) for wait in waits[3:]}) == 3  # by chance
    assert [fields["crash_loop"] for event, fields in plan.log_events if event == "instance crashed"][-1]


def test_one_that_says_its_configuration_makes_no_sense_waits_for_a_reload() -> None:
    plan = up(1)
    plan.on_exited(0, 1.0, 2)
    assert plan.instances[0].state is InstanceState.FAILED and plan.next_steps(1000.0) == []
    plan = up()
    plan.on_exited(1, 1.0, 2)
    plan.request_reload(2.0, PART, 3, 20.0)
    assert (SupervisorAction.START, 1) in plan.next_steps(2.0)  # it was one of them before


def test_one_that_is_not_ready_hangs_or_does_not_end_is_killed_once() -> None:
    plan = Plan(PART, 1, 0.0, 1)
    plan.next_steps(0.0)
    assert (
        plan.next_steps(4.9) == []
        and plan.next_steps(5.1) == [(SupervisorAction.KILL, 0)]
        and plan.next_steps(5.2) == []
    )
    plan = up(1)
    plan.on_heartbeat(0, 3.0)
    assert plan.next_steps(6.9) == [] and plan.next_steps(7.1) == [(SupervisorAction.KILL, 0)]
    plan.on_exited(0, 7.1, -9)
    assert plan.instances[0].state is InstanceState.DOWN and "killed" in plan.instances[0].reason
    plan = up(1)
    plan.request_stop(1.0)
    assert plan.next_steps(1.0) == [(SupervisorAction.TERM, 0)] and plan.next_steps(3.1) == [
        (SupervisorAction.KILL, 0)
    ]
    plan.on_exited(0, 3.2, -9)
    assert plan.is_done


def test_a_rolling_restart_has_one_away_at_a_time() -> None:
    plan = up(3)
    plan.request_rolling_restart(1.0)
    for n in range(3):
        assert plan.next_steps(1.0) == [(SupervisorAction.TERM, n)] and plan.next_steps(1.1) == []
        plan.on_exited(n, 1.2, 0)
        assert plan.next_steps(1.2) == [(SupervisorAction.START, n)] and plan.next_steps(1.3) == []
        plan.on_ready(n, 1.4)
    assert plan.next_steps(1.5) == [] and not plan.rolling
    assert [event for event, _ in plan.log_events][-1] == "rolling restart completed"


def test_a_rolling_restart_stops_at_one_that_does_not_come_back() -> None:
    plan = up(3)
    plan.request_rolling_restart(1.0)
    plan.next_steps(1.0)
    plan.on_exited(0, 1.2, 0)
    plan.next_steps(1.2)
    plan.on_exited(0, 1.3, 1)  # it crashes at its start
    assert not plan.rolling and all(plan.instances[n].state is InstanceState.UP for n in (1, 2))
    assert "rolling restart aborted" in (plan.log_events[0][0], plan.log_events[1][0])
    assert plan.instances[0].state is InstanceState.DOWN  # and is tried again by itself


def test_fewer_retire_and_more_come_only_when_all_have_counted_anew() -> None:
    plan = up(3)
    plan.request_reload(1.0, PART, 2, 20.0)
    assert (
        plan.next_steps(1.0)
        == [(SupervisorAction.RELOAD, 0), (SupervisorAction.RELOAD, 1), (SupervisorAction.RELOAD, 2)]
        and plan.instances[2].is_retiring
    )
    for n in range(3):
        plan.on_ready(n, 1.1)
    for n in (0, 1):
        plan.on_heartbeat(n, 5.0)
    plan.on_exited(2, 5.0, 0)
    assert plan.instances[2].state is InstanceState.GONE and plan.next_steps(6.0) == []
    for n in (0, 1):
        plan.on_heartbeat(n, 6.0)
    plan.request_reload(6.0, PART, 4, 20.0)
    assert plan.next_steps(6.0) == [(SupervisorAction.RELOAD, 0), (SupervisorAction.RELOAD, 1)]
    plan.on_ready(0, 6.1)
    assert plan.next_steps(6.1) == []
    plan.on_ready(1, 6.2)
    assert plan.next_steps(6.2) == [(SupervisorAction.START, 2), (SupervisorAction.START, 3)]


def test_one_that_crashes_while_it_retires_comes_back_to_end_what_it_holds() -> None:
    plan = up(2)
    plan.request_reload(1.0, PART, 1, 3.0)
    plan.next_steps(1.0)
    plan.on_exited(1, 1.5, -9)
    plan.on_ready(0, 1.6)
    assert plan.instances[1].state is InstanceState.DOWN and plan.instances[1].is_retiring
    assert (SupervisorAction.START, 1) in plan.next_steps(plan.instances[1].not_before)
    plan.on_ready(1, 2.5)
    plan.on_heartbeat(0, 4.0)
    assert plan.next_steps(4.1) == [
        (SupervisorAction.TERM, 1)
    ]  # its time is up: what it holds stays in its journal
    plan.on_exited(1, 4.2, 0)
    assert plan.instances[1].state.value == "gone"


def test_one_that_starts_during_a_reload_hears_of_it_when_it_can() -> None:
    plan = Plan(PART, 1, 0.0, 1)
    plan.next_steps(0.0)
    plan.request_reload(0.1, PART, 1, 20.0)
    assert plan.next_steps(0.1) == []  # a signal now could end it
    plan.on_ready(0, 0.5)
    assert plan.next_steps(0.5) == [(SupervisorAction.RELOAD, 0)]


@settings(max_examples=150)
@given(st.integers(0, 2**32))
def test_by_chance_nothing_is_started_twice_or_forgotten(seed: int) -> None:
    """Processes that start, end and hang at will: no number ever has two, and a stop ends them all."""
    rng, now = random.Random(seed), 0.0
    plan, running, term = Plan(PART, rng.randint(1, 5), 0.0, seed), dict[int, float](), set[int]()
    for step in range(160):
        now += rng.expovariate(4.0)
        if step == 120:
            plan.request_stop(now)
        elif step < 120 and rng.random() < 0.05:
            plan.request_rolling_restart(now)
        elif step < 120 and rng.random() < 0.05:
            plan.request_reload(now, PART, rng.randint(1, 5), 3.0)
        for n in list(running):
            if rng.random() < 0.5:
                plan.on_ready(n, now)
            if rng.random() < (0.5 if n in term else 0.03):
                del running[n]
                plan.on_exited(n, now, rng.choice((0, 0, 1, 2, -9)))
                term.discard(n)
        for do, n in plan.next_steps(now):
            if do is SupervisorAction.START:
                assert n not in running and not plan.stopping
                running[n] = now
            elif do is SupervisorAction.KILL:
                running.pop(n)
                term.discard(n)
                plan.on_exited(n, now, -9)
            else:
                assert n in running
                if do is SupervisorAction.TERM:
                    term.add(n)
        assert sum(plan.instances[n].state is InstanceState.STARTING for n in plan.instances) <= PART.together
        if plan.rolling and not plan.stopping:
            asked = [n for n in term if n < plan.count]
            assert len(asked) <= 1 + sum(one.is_retiring for one in plan.instances.values())
    for _ in range(20):
        now += 3.0
        for do, n in plan.next_steps(now):
            assert do is not SupervisorAction.START
            if do is SupervisorAction.KILL:
                running.pop(n)
                plan.on_exited(n, now, -9)
    assert plan.is_done and not running

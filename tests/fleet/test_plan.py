"""The supervisor's plan in scripted and random sequences, without processes."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from message_relay.fleet.operator import SupervisorSection
from message_relay.fleet.plan import InstanceState, Plan, SupervisorAction

SECTION = SupervisorSection(
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


def running_plan(count: int = 3) -> Plan:
    """Return a plan whose instances are all up at time 0."""
    plan = Plan(SECTION, count, 0.0, 1)
    while started := [n for action, n in plan.next_steps(0.0) if action is SupervisorAction.START]:
        for n in started:
            plan.on_ready(n, 0.0)
    assert all(instance.state is InstanceState.UP for instance in plan.instances.values())
    return plan


def test_the_number_of_simultaneous_starts_is_limited() -> None:
    plan = Plan(SECTION, 5, 0.0, 1)
    assert (
        plan.next_steps(0.0)
        == [(SupervisorAction.START, 0), (SupervisorAction.START, 1), (SupervisorAction.START, 2)]
        and plan.next_steps(0.1) == []
    )
    plan.on_ready(1, 0.2)
    assert plan.next_steps(0.2) == [(SupervisorAction.START, 3)]


def test_starts_are_staggered() -> None:
    plan = Plan(SupervisorSection(stagger_s=0.5), 2, 0.0, 1)
    assert plan.next_steps(0.0) == [(SupervisorAction.START, 0)] and plan.next_wake(0.0) == 0.5
    assert plan.next_steps(0.4) == [] and plan.next_steps(0.5) == [(SupervisorAction.START, 1)]


def test_restart_delays_grow_with_jitter_and_a_crash_loop_is_reported() -> None:
    plan, now, delays = running_plan(1), 0.0, []
    for n in range(6):
        plan.on_exited(0, now, -9)
        instance = plan.instances[0]
        delays.append(instance.not_before - now)
        assert plan.is_crash_looping(0, now) == (n >= 2)
        assert plan.next_steps(instance.not_before - 0.001) == []
        now = instance.not_before
        assert plan.next_steps(now) == [(SupervisorAction.START, 0)]
    for expected, delay in zip((0.5, 1, 2, 4, 4, 4), delays, strict=True):
        assert 0.7 * expected <= delay <= 1.3 * expected
    assert len({round(delay, 6) for delay in delays[3:]}) == 3  # each has its own jitter
    assert [fields["crash_loop"] for event, fields in plan.log_events if event == "instance crashed"][-1]


def test_an_instance_with_an_invalid_configuration_waits_for_a_reload() -> None:
    plan = running_plan(1)
    plan.on_exited(0, 1.0, 2)
    assert plan.instances[0].state is InstanceState.FAILED and plan.next_steps(1000.0) == []
    plan = running_plan()
    plan.on_exited(1, 1.0, 2)
    plan.request_reload(2.0, SECTION, 3, 20.0)
    assert (SupervisorAction.START, 1) in plan.next_steps(2.0)  # instance 1 was part of the fleet before


def test_an_instance_that_is_not_ready_hangs_or_does_not_stop_is_killed_once() -> None:
    plan = Plan(SECTION, 1, 0.0, 1)
    plan.next_steps(0.0)
    assert (
        plan.next_steps(4.9) == []
        and plan.next_steps(5.1) == [(SupervisorAction.KILL, 0)]
        and plan.next_steps(5.2) == []
    )
    plan = running_plan(1)
    plan.on_heartbeat(0, 3.0)
    assert plan.next_steps(6.9) == [] and plan.next_steps(7.1) == [(SupervisorAction.KILL, 0)]
    plan.on_exited(0, 7.1, -9)
    assert plan.instances[0].state is InstanceState.DOWN and "killed" in plan.instances[0].reason
    plan = running_plan(1)
    plan.request_stop(1.0)
    assert plan.next_steps(1.0) == [(SupervisorAction.TERM, 0)] and plan.next_steps(3.1) == [
        (SupervisorAction.KILL, 0)
    ]
    plan.on_exited(0, 3.2, -9)
    assert plan.is_done


def test_a_rolling_restart_stops_one_instance_at_a_time() -> None:
    plan = running_plan(3)
    plan.request_rolling_restart(1.0)
    for n in range(3):
        assert plan.next_steps(1.0) == [(SupervisorAction.TERM, n)] and plan.next_steps(1.1) == []
        plan.on_exited(n, 1.2, 0)
        assert plan.next_steps(1.2) == [(SupervisorAction.START, n)] and plan.next_steps(1.3) == []
        plan.on_ready(n, 1.4)
    assert plan.next_steps(1.5) == [] and not plan.rolling
    assert [event for event, _ in plan.log_events][-1] == "rolling restart completed"


def test_a_rolling_restart_aborts_if_an_instance_does_not_return() -> None:
    plan = running_plan(3)
    plan.request_rolling_restart(1.0)
    plan.next_steps(1.0)
    plan.on_exited(0, 1.2, 0)
    plan.next_steps(1.2)
    plan.on_exited(0, 1.3, 1)  # crashes during its start
    assert not plan.rolling and all(plan.instances[n].state is InstanceState.UP for n in (1, 2))
    assert "rolling restart aborted" in (plan.log_events[0][0], plan.log_events[1][0])
    assert plan.instances[0].state is InstanceState.DOWN  # is restarted independently


def test_removed_instances_retire_and_new_ones_start_after_all_have_reloaded() -> None:
    plan = running_plan(3)
    plan.request_reload(1.0, SECTION, 2, 20.0)
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
    plan.request_reload(6.0, SECTION, 4, 20.0)
    assert plan.next_steps(6.0) == [(SupervisorAction.RELOAD, 0), (SupervisorAction.RELOAD, 1)]
    plan.on_ready(0, 6.1)
    assert plan.next_steps(6.1) == []
    plan.on_ready(1, 6.2)
    assert plan.next_steps(6.2) == [(SupervisorAction.START, 2), (SupervisorAction.START, 3)]


def test_an_instance_that_crashes_while_retiring_restarts_to_finish_its_messages() -> None:
    plan = running_plan(2)
    plan.request_reload(1.0, SECTION, 1, 3.0)
    plan.next_steps(1.0)
    plan.on_exited(1, 1.5, -9)
    plan.on_ready(0, 1.6)
    assert plan.instances[1].state is InstanceState.DOWN and plan.instances[1].is_retiring
    assert (SupervisorAction.START, 1) in plan.next_steps(plan.instances[1].not_before)
    plan.on_ready(1, 2.5)
    plan.on_heartbeat(0, 4.0)
    assert plan.next_steps(4.1) == [
        (SupervisorAction.TERM, 1)
    ]  # retire_by has passed: pending messages stay in the journal
    plan.on_exited(1, 4.2, 0)
    assert plan.instances[1].state.value == "gone"


def test_an_instance_that_starts_during_a_reload_reloads_once_it_is_ready() -> None:
    plan = Plan(SECTION, 1, 0.0, 1)
    plan.next_steps(0.0)
    plan.request_reload(0.1, SECTION, 1, 20.0)
    assert plan.next_steps(0.1) == []  # a signal could still terminate the process
    plan.on_ready(0, 0.5)
    assert plan.next_steps(0.5) == [(SupervisorAction.RELOAD, 0)]


@settings(max_examples=150)
@given(st.integers(0, 2**32))
def test_random_sequences_start_nothing_twice_and_lose_no_instance(seed: int) -> None:
    """Processes start, exit and hang at random: no instance ever has two, and a stop ends all of them."""
    rng, now = random.Random(seed), 0.0
    plan, running, terminating = Plan(SECTION, rng.randint(1, 5), 0.0, seed), dict[int, float](), set[int]()
    for step in range(160):
        now += rng.expovariate(4.0)
        if step == 120:
            plan.request_stop(now)
        elif step < 120 and rng.random() < 0.05:
            plan.request_rolling_restart(now)
        elif step < 120 and rng.random() < 0.05:
            plan.request_reload(now, SECTION, rng.randint(1, 5), 3.0)
        for n in list(running):
            if rng.random() < 0.5:
                plan.on_ready(n, now)
            if rng.random() < (0.5 if n in terminating else 0.03):
                del running[n]
                plan.on_exited(n, now, rng.choice((0, 0, 1, 2, -9)))
                terminating.discard(n)
        for action, n in plan.next_steps(now):
            if action is SupervisorAction.START:
                assert n not in running and not plan.stopping
                running[n] = now
            elif action is SupervisorAction.KILL:
                running.pop(n)
                terminating.discard(n)
                plan.on_exited(n, now, -9)
            else:
                assert n in running
                if action is SupervisorAction.TERM:
                    terminating.add(n)
        assert (
            sum(plan.instances[n].state is InstanceState.STARTING for n in plan.instances) <= SECTION.together
        )
        if plan.rolling and not plan.stopping:
            stopping = [n for n in terminating if n < plan.count]
            assert len(stopping) <= 1 + sum(instance.is_retiring for instance in plan.instances.values())
    for _ in range(20):
        now += 3.0
        for action, n in plan.next_steps(now):
            assert action is not SupervisorAction.START
            if action is SupervisorAction.KILL:
                running.pop(n)
                plan.on_exited(n, now, -9)
    assert plan.is_done and not running

"""Scheduling weights: the goal's weight for the worst-served class counts in sending and shedding."""

from __future__ import annotations

from dataclasses import replace

import pytest

from message_relay.decisions.admission import scheduling_weights
from message_relay.decisions.model import Goal, MessageClass

from ..conftest import CLASSES, Driver, make_settings

GOAL = Goal(total=0.4, worst_window=0.3, worst_class=0.2, worst_tenant=0.1)


def classes(*weights: float) -> tuple[MessageClass, ...]:
    return tuple(
        replace(message_class, priority_weight=weight)
        for message_class, weight in zip(CLASSES, weights, strict=False)
    )


@pytest.mark.parametrize(
    ("weights", "goal", "expected"),
    [
        ((2.0, 1.0, 4.0), GOAL, [2.0, 2.0, 4.0]),  # no more than the next lowest weight
        ((2.0, 1.0, 4.0), Goal(), [2.0, 1.0, 4.0]),  # the goal has no weight for the worst class
        ((20.0, 1.0, 4.0), replace(GOAL, worst_class=0.01), [20.0, 1.0 + 25 * 0.01 / 0.7, 4.0]),
        ((2.0, 2.0, 2.0), GOAL, [2.0, 2.0, 2.0]),  # no class has a lower weight
        ((3.0,), GOAL, [3.0]),
        ((1.0, 1.0, 4.0), GOAL, [1.0 + 6 * 0.2 / 0.7, 1.0 + 6 * 0.2 / 0.7, 4.0]),
        ((2.0, 1.0, 4.0), Goal(0.0, 0.0, 1.0, 0.0), [2.0, 2.0, 4.0]),
        ((0.0, 0.0), GOAL, [0.0, 0.0]),
    ],
)
def test_weight_of_each_class(weights: tuple[float, ...], goal: Goal, expected: list[float]) -> None:
    assert scheduling_weights(make_settings(classes=classes(*weights), goal=goal)) == pytest.approx(expected)


def served(goal: Goal) -> dict[int, int]:
    """Returns the messages sent of each of two classes if a destination accepts half of all submissions."""
    first, second, third = classes(2.0, 1.0, 4.0)
    second = replace(
        second, latency_objective_ms=0.75 * first.latency_objective_ms
    )  # a shorter objective, as payments have
    driver = Driver(
        make_settings(
            classes=(first, second, third),
            goal=goal,
            max_concurrent_attempts=2,
            max_pending_messages=400,
            relays=1,
        )
    )
    driver.listed((11, 1), rate=10.0)
    class_of: dict[int, int] = {}
    sent_counts = {0: 0, 1: 0}
    for n in range(800):
        class_of[driver.message(n % 2)] = n % 2
        driver.pass_time(50, 25)
        for message_id in list(driver.out):
            sent_counts[class_of[message_id]] += 1
            driver.answer(message_id, took=50.0)
    return sent_counts


def test_lowest_class_is_served_where_the_goal_counts_the_worst_served() -> None:
    """With weights by value alone, the class of lower value gets almost no deliveries."""
    by_value, by_goal = served(Goal()), served(GOAL)
    assert by_value[1] < 0.05 * by_value[0]
    assert min(by_goal.values()) > 0.2 * max(by_goal.values())
    assert sum(by_goal.values()) > 0.95 * sum(by_value.values())  # and no slot is wasted

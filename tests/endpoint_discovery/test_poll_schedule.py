"""Forty relays and a register that answers each of them once in some seconds, in virtual time."""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterator
from itertools import count

import pytest

from message_relay.endpoint_discovery.poll_schedule import (
    ANSWER_TIMEOUT_MS,
    DISCOVERY_BOUND_MS,
    MAX_WATCH_MS,
    MIN_WATCH_MS,
    REGISTER_QUEUE_MS,
    PollSchedule,
)

COST_MS = 133.0  # what an answer costs the register: 40 relays take 5.3 s
PATIENCE_MS = 2000.0  # a call that would wait longer for its answer is turned away at once


class Register:
    """Answers one call after the other. All watches end when the list changes, in the same moment."""

    def __init__(self, relays: int, seed: int, answer_ms: float = COST_MS) -> None:
        self.answer_ms = answer_ms
        self.askers = [PollSchedule(relays, random.Random(seed * 1000 + n)) for n in range(relays)]
        self.free_at, self.version = 0.0, 1
        self.knows = [1] * relays
        self.learnt: dict[tuple[int, int], float] = {}
        self.turned_away = self.answered = 0
        self.events: list[tuple[float, int, int, str, int]] = []  # when, number, relay, what, which call
        self.numbers: Iterator[int] = count()
        self.calls = [0] * relays

    def at(self, when: float, relay: int, what: str) -> None:
        heapq.heappush(self.events, (when, next(self.numbers), relay, what, self.calls[relay]))

    def play(self, start_ms: float, changes: list[float], end_ms: float) -> None:
        for n, asker in enumerate(self.askers):
            self.at(start_ms + asker.first_delay_ms(), n, "ask")
        for when in changes:
            heapq.heappush(self.events, (when, next(self.numbers), -1, "change", 0))
        waiting: dict[int, int] = {}
        while self.events and self.events[0][0] <= end_ms:
            now, _, n, what, call = heapq.heappop(self.events)
            if what == "change":
                self.version += 1
                for each in list(waiting):
                    del waiting[each]
                    self.serve(now, each)
            elif what == "ask":
                self.calls[n] += 1
                if self.knows[n] < self.version:
                    self.serve(now, n)
                else:
                    waiting[n] = self.calls[n]
                    self.at(now + self.askers[n].watch_duration_ms(), n, "held")
            elif what == "held" and waiting.get(n) == call:
                del waiting[n]
                self.serve(now, n)
            elif what == "told":
                self.askers[n].on_answered()
                self.answered += 1
                self.knows[n] = self.version
                self.learnt.setdefault((n, self.version), now)
                self.at(now, n, "ask")

    def serve(self, now: float, n: int) -> None:
        if self.free_at > now + PATIENCE_MS:
            self.turned_away += 1
            self.at(now + self.askers[n].pause_after_failure_ms(is_refused=True), n, "ask")
        else:
            self.free_at = max(now, self.free_at) + self.answer_ms
            self.at(self.free_at, n, "told")


@pytest.mark.parametrize("seed", range(5))
def test_each_of_forty_learns_of_a_change_though_the_register_is_overbooked(seed: int) -> None:
    """Broken by hand: with holds of 2 s for all and pauses of 50 to 500 ms, as before, most never learn."""
    register = Register(40, seed)
    register.play(0.0, [12_000.0], 30_000.0)
    late = [register.learnt[n, 2] - 12_000.0 for n in range(40)]  # each of them has learnt
    assert sorted(late)[20] < 4_000 and max(late) < 14_000


@pytest.mark.parametrize("seed", range(5))
def test_a_start_of_all_at_once_turns_few_away(seed: int) -> None:
    """A restarted relay's list is old, so that its first call is answered at once, and costs."""
    register = Register(40, seed)
    register.version = 2
    register.play(0.0, [], 20_000.0)
    assert all((n, 2) in register.learnt for n in range(40))
    assert register.turned_away < 40


@pytest.mark.parametrize("seed", range(5))
def test_what_a_register_tells_is_known_in_time_by_each_of_hundreds_that_start(seed: int) -> None:
    """What drained while they were away must get nothing new 6 s after it was told: with 200 relays, first
    calls spread over 20 s broke that 54 times in a day. Seen to fail with that spread."""
    register = Register(200, seed, 4_000.0 / 200)
    register.version = 2
    register.play(0.0, [], 20_000.0)
    assert len(register.learnt) == 200 and max(register.learnt.values()) < 6_000


def test_a_steady_fleet_stays_below_what_the_register_can_answer() -> None:
    for relays in (40, 100):
        askers = [PollSchedule(relays, random.Random(n)) for n in range(relays)]
        for asker in askers:
            asker.on_answered()
        mean = sum(asker.watch_duration_ms() for asker in askers for _ in range(50)) / (50 * relays)
        assert relays / (mean / 1000) < 3.0  # calls a second of all
        assert max(asker.watch_duration_ms() for asker in askers) <= MAX_WATCH_MS


def test_a_small_fleet_hears_soon_that_its_agent_has_lost_a_watch() -> None:
    asking = PollSchedule(3, random.Random(1))
    asking.on_answered()
    assert {asking.watch_duration_ms() for _ in range(20)} == {MIN_WATCH_MS}
    assert asking.first_delay_ms() <= 200.0


def known_after(asking: PollSchedule, rng: random.Random, silent_watch: bool) -> float:
    """One chain in virtual time: discovery fails this relay in every way, and from some moment on answers.
    How long after that moment the relay knows what discovery has. Without `silent_watch` the chain begins
    with a call that has failed; with it, with a watch that falls silent in the moment it is opened."""
    now, reached = 0.0, rng.uniform(0.0, 30_000.0)
    if silent_watch:
        asking.on_answered()
    else:
        asking.pause_after_failure_ms()
    while True:
        hold = asking.watch_duration_ms()
        if now >= reached:  # it is answered, at the latest when it need not wait any more
            return now + ANSWER_TIMEOUT_MS * rng.random() - reached if not hold else float("inf")
        most = asking.call_timeout_ms(hold)
        silent, cut = most, rng.uniform(0.0, most)
        if not (silent_watch and hold) and not asking.is_shared and rng.random() < 0.3:
            now += asking.pause_after_failure_ms(is_refused=True)
            continue
        now += most if silent_watch and hold else rng.choice((silent, cut))
        now += asking.pause_after_failure_ms()


def worst(relays: int, shared: bool, silent_watch: bool) -> float:
    return max(
        known_after(PollSchedule(relays, random.Random(n), shared), random.Random(-n), silent_watch)
        for n in range(3000)
    )


@pytest.mark.parametrize("relays", (1, 40, 200))
@pytest.mark.parametrize("shared", (False, True))
def test_one_bound_from_reachability_to_knowledge_over_any_chain(relays: int, shared: bool) -> None:
    """Seen to fail with a hold after a failed call, and with pauses of up to 4 s times 1.3."""
    assert worst(relays, shared, silent_watch=False) <= DISCOVERY_BOUND_MS


@pytest.mark.parametrize("relays", (1, 40, 200))
def test_at_an_agent_of_ones_own_the_bound_holds_for_a_watch_that_falls_silent_too(relays: int) -> None:
    """Seen to fail with the hold of a shared register."""
    assert worst(relays, False, silent_watch=True) <= DISCOVERY_BOUND_MS


@pytest.mark.parametrize("relays", (40, 200))
def test_a_silent_watch_of_a_shared_register_costs_its_wait_and_two_seconds(relays: int) -> None:
    for n in range(500):
        asking = PollSchedule(relays, random.Random(n))
        asking.on_answered()
        hold = asking.watch_duration_ms()
        assert (
            asking.call_timeout_ms(hold) + asking.pause_after_failure_ms() + ANSWER_TIMEOUT_MS
            <= hold + REGISTER_QUEUE_MS + ANSWER_TIMEOUT_MS
        )


@pytest.mark.parametrize("relays", (40, 200))
def test_a_fleet_that_is_refused_asks_at_a_bounded_rate_and_never_in_step(relays: int) -> None:
    """Each is refused at once for 30 s, all from one moment on."""
    calls: list[float] = []
    for n in range(relays):
        asking, now = PollSchedule(relays, random.Random(n)), 0.0
        while (now := now + asking.pause_after_failure_ms(is_refused=True)) < 30_000.0:
            calls.append(now)
    late = [at for at in calls if at > 10_000.0]
    by_tenth = [sum(1 for at in late if start <= at < start + 100.0) for start in range(10_000, 30_000, 100)]
    assert len(late) / 20.0 < relays / 1.9  # calls a second: one in 2 s of each
    assert max(by_tenth) < 3 * relays / 20 + 5  # of the mean of a tenth


def test_a_call_after_a_failure_or_another_agent_does_not_wait_on_the_far_side() -> None:
    asking = PollSchedule(200, random.Random(1))
    assert asking.watch_duration_ms() == 0.0
    asking.on_answered()
    assert asking.watch_duration_ms() > 0.0
    asking.pause_after_failure_ms()
    assert asking.watch_duration_ms() == 0.0
    asking.pause_after_failure_ms(
        is_refused=True
    )  # a shared register that refuses is there: a watch costs it least
    assert asking.watch_duration_ms() > 0.0
    asking.on_answered()
    asking.reset()
    assert asking.watch_duration_ms() == 0.0


def test_a_process_asks_before_the_grace_of_a_drain_is_over() -> None:
    """What its agent has counts as told from its start on. Seen to fail with first calls spread over 4 s: an
    endpoint got a message 0.42 s after it drained."""
    assert max(PollSchedule(200, random.Random(n)).first_delay_ms() for n in range(200)) < 250.0
    assert (
        PollSchedule(200, random.Random(1), shared=False).first_delay_ms() == 0.0
    )  # its own agent answers at once


def test_pauses_grow_are_jittered_and_bounded_and_begin_anew_after_an_answer() -> None:
    asking = PollSchedule(40, random.Random(1))
    pauses = [asking.pause_after_failure_ms() for _ in range(40)]
    assert pauses[0] <= 1300 < pauses[3] and max(pauses) <= 8000 * 1.3
    assert len(set(pauses)) == 40
    asking.on_answered()
    assert asking.pause_after_failure_ms() <= 1300


def test_a_fleet_of_none_is_refused() -> None:
    with pytest.raises(ValueError, match="relays"):
        PollSchedule(0, random.Random(1))

"""Versions that all relays lack at once, by a model of voters that turn away what is too much."""

from __future__ import annotations

import heapq
import random
from collections import Counter

import pytest

from message_relay.consensus.version_fetch import (
    CONCURRENT_SEARCHES_MAX,
    FIRST_PAUSE_MAX_S,
    ROUNDS,
    VersionFetcher,
    first_pause,
)
from message_relay.gossip.node import INBOUND_CONNECTIONS_MAX

ANSWER_S = 0.02  # of a conversation with a voter that has others to answer: 3,200 a second at the most
FEW = 40  # relays that the voter heard of first may answer alone
HINTS_S = 0.3  # by then each voter has told each relay: the time of a renewal


class LimitedVoters:
    """Each takes so many conversations at once, and refuses what is more."""

    def __init__(self, number: int) -> None:
        self.busy: list[list[float]] = [[] for _ in range(number)]
        self.refused: Counter[int] = Counter()
        self.answered: Counter[int] = Counter()

    def ask(self, now: float, voter: int) -> bool:
        busy = self.busy[voter] = [ends for ends in self.busy[voter] if ends > now]
        if len(busy) >= INBOUND_CONNECTIONS_MAX:
            self.refused[voter] += 1
            return False
        busy.append(now + ANSWER_S)
        self.answered[voter] += 1
        return True


def simulate_fetches(
    relays: int, voters: int, seed: int, down: frozenset[int] = frozenset()
) -> tuple[LimitedVoters, list[float]]:
    """All relays hear of a version at 0 from voter 0, of the others within HINTS_S: when each has it."""
    rng, them, had = random.Random(seed), LimitedVoters(voters), list[float]()
    turns: list[tuple[float, int, str]] = []
    lacking = {n: VersionFetcher(random.Random(rng.random())) for n in range(relays)}
    for n in range(relays):
        heapq.heappush(turns, (0.0, n, "0"))
        for voter in range(1, voters):
            heapq.heappush(turns, (rng.uniform(0.0, HINTS_S), n, str(voter)))
    while turns:
        now, n, what = heapq.heappop(turns)
        fetching = lacking.get(n)
        if fetching is None:
            continue
        if what != "ask":
            if fetching.on_version_reported(2, what) is not None:
                heapq.heappush(turns, (now + first_pause(rng, relays, voters), n, "ask"))
            heapq.heappush(turns, (now + HINTS_S, n, what))  # the next grant tells of it again
            continue
        sought = fetching.searches[2]
        asked = sought.next_voter()
        if asked is None:
            fetching.finish(2)
        elif int(asked) not in down and them.ask(now, int(asked)):
            had.append(now + ANSWER_S)
            del lacking[n]
        else:
            heapq.heappush(turns, (now + sought.next_pause(), n, "ask"))
    return them, had


@pytest.mark.parametrize("relays", [40, 375, 3500])
def test_fetches_of_all_relays_spread_over_the_voters_and_overload_none(relays: int) -> None:
    for seed in range(3):
        them, had = simulate_fetches(relays, 5, seed)
        assert len(had) == relays and sum(them.refused.values()) <= relays // 50
        assert max(them.answered.values()) <= max(relays / 5 * 1.3, FEW)
        assert max(had) <= FIRST_PAUSE_MAX_S + 1.0 and (relays > 40 or max(had) < 0.2)


def test_unreachable_voters_cost_one_pause_each_and_end_no_fetch() -> None:
    them, had = simulate_fetches(375, 5, 1, down=frozenset({0, 3}))
    assert len(had) == 375 and set(them.answered) == {1, 2, 4}
    assert max(had) < 3.0


def test_search_refused_by_all_ends_and_restarts_on_the_next_report() -> None:
    fetcher = VersionFetcher(random.Random(1))
    sought = fetcher.on_version_reported(7, "n0")
    assert sought is not None and fetcher.on_version_reported(7, "n1") is None
    asked = [sought.next_voter() for _ in range(2 * ROUNDS)]
    assert Counter(asked) == {"n0": ROUNDS, "n1": ROUNDS} and sought.next_voter() is None
    fetcher.finish(7)
    assert fetcher.on_version_reported(7, "n0") is not None


def test_pauses_grow_to_a_bound_and_orders_differ() -> None:
    sought = VersionFetcher(random.Random(2)).on_version_reported(7, "n0")
    assert sought is not None
    for n in range(1, 5):
        sought.add_voter(f"n{n}")
    pauses = []
    for _ in range(ROUNDS * 5):
        sought.next_voter()
        pauses.append(sought.next_pause())
    assert all(low < high for low, high in zip(pauses, pauses[2:4], strict=False)) and max(pauses) <= 0.8
    orders = set()
    for seed in range(20):
        fetching = VersionFetcher(random.Random(seed))
        one = fetching.on_version_reported(1, "n0")
        assert one is not None
        for n in range(1, 5):
            one.add_voter(f"n{n}")
        orders.add(tuple(one.voters))
    assert len(orders) > 10 and len({order[0] for order in orders}) > 2


def test_concurrent_searches_are_bounded() -> None:
    fetcher = VersionFetcher(random.Random(3))
    assert all(fetcher.on_version_reported(n, "n0") is not None for n in range(CONCURRENT_SEARCHES_MAX))
    assert (
        fetcher.on_version_reported(CONCURRENT_SEARCHES_MAX, "n0") is None
        and len(fetcher.searches) == CONCURRENT_SEARCHES_MAX
    )
    fetcher.finish(0)
    assert fetcher.on_version_reported(CONCURRENT_SEARCHES_MAX, "n0") is not None

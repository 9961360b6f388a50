"""Fetches of a version that all relays lack at once, simulated with voters that refuse excess connections."""

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

ANSWER_S = 0.02  # time of a voter for one answer under load: at most 3,200 a second
FEW = 40  # relays that the voter which announces the version first may answer alone
HINTS_S = 0.3  # by then each voter has announced the version to each relay: the time of a renewal


class LimitedVoters:
    """Voters that accept a limited number of connections at a time, and refuse further ones."""

    def __init__(self, number: int) -> None:
        self.busy: list[list[float]] = [[] for _ in range(number)]
        self.refused: Counter[int] = Counter()
        self.answered: Counter[int] = Counter()

    def request(self, now: float, voter: int) -> bool:
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
    """Returns when each relay has a version, which voter 0 announces at 0 and the others within HINTS_S."""
    rng, limited_voters, fetched_at = random.Random(seed), LimitedVoters(voters), list[float]()
    pending: list[tuple[float, int, str]] = []
    lacking = {n: VersionFetcher(random.Random(rng.random())) for n in range(relays)}
    for n in range(relays):
        heapq.heappush(pending, (0.0, n, "0"))
        for voter in range(1, voters):
            heapq.heappush(pending, (rng.uniform(0.0, HINTS_S), n, str(voter)))
    while pending:
        now, n, event = heapq.heappop(pending)
        fetcher = lacking.get(n)
        if fetcher is None:
            continue
        if event != "ask":
            if fetcher.on_version_reported(2, event) is not None:
                heapq.heappush(pending, (now + first_pause(rng, relays, voters), n, "ask"))
            heapq.heappush(pending, (now + HINTS_S, n, event))  # the next grant names it again
            continue
        search = fetcher.searches[2]
        requested = search.next_voter()
        if requested is None:
            fetcher.finish(2)
        elif int(requested) not in down and limited_voters.request(now, int(requested)):
            fetched_at.append(now + ANSWER_S)
            del lacking[n]
        else:
            heapq.heappush(pending, (now + search.next_pause(), n, "ask"))
    return limited_voters, fetched_at


@pytest.mark.parametrize("relays", [40, 375, 3500])
def test_fetches_of_all_relays_spread_over_the_voters_and_overload_none(relays: int) -> None:
    for seed in range(3):
        voters, fetched_at = simulate_fetches(relays, 5, seed)
        assert len(fetched_at) == relays and sum(voters.refused.values()) <= relays // 50
        assert max(voters.answered.values()) <= max(relays / 5 * 1.3, FEW)
        assert max(fetched_at) <= FIRST_PAUSE_MAX_S + 1.0 and (relays > 40 or max(fetched_at) < 0.2)


def test_unreachable_voters_cost_one_pause_each_and_end_no_fetch() -> None:
    voters, fetched_at = simulate_fetches(375, 5, 1, down=frozenset({0, 3}))
    assert len(fetched_at) == 375 and set(voters.answered) == {1, 2, 4}
    assert max(fetched_at) < 3.0


def test_search_refused_by_all_ends_and_restarts_on_the_next_report() -> None:
    fetcher = VersionFetcher(random.Random(1))
    search = fetcher.on_version_reported(7, "n0")
    assert search is not None and fetcher.on_version_reported(7, "n1") is None
    requested = [search.next_voter() for _ in range(2 * ROUNDS)]
    assert Counter(requested) == {"n0": ROUNDS, "n1": ROUNDS} and search.next_voter() is None
    fetcher.finish(7)
    assert fetcher.on_version_reported(7, "n0") is not None


def test_pauses_grow_to_a_bound_and_orders_differ() -> None:
    search = VersionFetcher(random.Random(2)).on_version_reported(7, "n0")
    assert search is not None
    for n in range(1, 5):
        search.add_voter(f"n{n}")
    pauses = []
    for _ in range(ROUNDS * 5):
        search.next_voter()
        pauses.append(search.next_pause())
    assert all(low < high for low, high in zip(pauses, pauses[2:4], strict=False)) and max(pauses) <= 0.8
    orders = set()
    for seed in range(20):
        fetcher = VersionFetcher(random.Random(seed))
        random_search = fetcher.on_version_reported(1, "n0")
        assert random_search is not None
        for n in range(1, 5):
            random_search.add_voter(f"n{n}")
        orders.add(tuple(random_search.voters))
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

"""The deciders beside the scheduler answer as they did: seeded runs against their digests."""

from __future__ import annotations

import pytest

from . import subsystem_binding as subsystems
from .decision_fixtures import difference, load, subsystem_trace, trace_name
from .decision_scenarios import SEEDS

FIXTURES = load()


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", subsystems.RUNS)
def test_every_answer_is_as_it_was(name: str, seed: int) -> None:
    found = difference(subsystem_trace(name, seed), FIXTURES.subsystems[trace_name(name, seed)])
    assert not found, found


def test_every_run_is_kept() -> None:
    assert set(FIXTURES.subsystems) == {trace_name(name, seed) for name in subsystems.RUNS for seed in SEEDS}

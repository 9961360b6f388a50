"""The index makes the choices of the plain scan (full_scan_oracle.py), whatever happens."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from message_relay.decisions.model import Settings

from .full_scan_oracle import watched
from .test_rule_invariants import drive, setups


@settings(max_examples=120)
@given(setups(), st.integers(0, 2**32))
def test_each_choice_is_that_of_the_plain_scan(setup: Settings, seed: int) -> None:
    relay = watched(setup)
    drive(relay, setup, seed, dests=5)
    assert relay.choices > 0

"""The benchmarks run, and the short one counts: what a turn looks at does not grow with what is held."""

from __future__ import annotations

import asyncio
import json

import pytest

from benchmarks import decisions, relay


@pytest.mark.parametrize("load", ["open", "shut"])
def test_steps_of_a_turn_do_not_grow_with_what_is_held(load: str) -> None:
    small = decisions.Load(load, 70, 1).measure(300)
    for held, dests, most in ((3000, 1, 2.0), (3000, 600, 4.0)):
        large = decisions.Load(load, held, dests).measure(300)
        assert large.held == held and large.steps_a_turn < most * small.steps_a_turn + 4


def test_the_table_of_the_decisions_prints_its_ratios(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    words = "decisions --json --messages 50 --rounds 1 --held 200 --dests 20"
    monkeypatch.setattr("sys.argv", words.split())
    assert decisions.main() == 0
    rows = json.loads(capsys.readouterr().out)
    assert [row["load"] for row in rows] == ["open", "shut"] and all(row["ratio"] > 0 for row in rows)


def test_the_whole_relay_delivers_under_load_and_fails_no_client() -> None:
    row = asyncio.run(relay.measure("message_relay", 64, 0.5, 20.0))
    assert row.delivered_a_s > 0 and row.failed == 0 and row.p50_ms > 0 and row.open_p50_ms > 0

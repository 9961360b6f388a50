"""Tests that the benchmarks run, and that a turn takes no more steps when more messages are pending."""

from __future__ import annotations

import asyncio
import json

import pytest

from benchmarks import decisions, relay


@pytest.mark.parametrize("load", ["open", "shut"])
def test_steps_of_a_turn_do_not_grow_with_the_number_of_pending_messages(load: str) -> None:
    small = decisions.Load(load, 70, 1).measure(300)
    for pending_count, dests, max_factor in ((3000, 1, 2.0), (3000, 600, 4.0)):
        large = decisions.Load(load, pending_count, dests).measure(300)
        assert large.held == pending_count and large.steps_a_turn < max_factor * small.steps_a_turn + 4


def test_the_decisions_benchmark_prints_ratios(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    command_line = "decisions --json --messages 50 --rounds 1 --held 200 --dests 20"
    monkeypatch.setattr("sys.argv", command_line.split())
    assert decisions.main() == 0
    rows = json.loads(capsys.readouterr().out)
    assert [row["load"] for row in rows] == ["open", "shut"] and all(row["ratio"] > 0 for row in rows)


def test_the_relay_benchmark_delivers_messages_and_fails_no_client() -> None:
    row = asyncio.run(relay.measure("message_relay", 64, 0.5, 20.0))
    assert row.delivered_a_s > 0 and row.failed == 0 and row.p50_ms > 0 and row.open_p50_ms > 0

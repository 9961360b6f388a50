"""Experiments with real relay processes, and the open-loop load generator against a real relay."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path

import pytest

from emulator import load
from emulator.clients import request, said
from emulator.experiment import Experiment, decoded, settings_of
from emulator.live import LiveError, fleet, one
from emulator.trace import stats

SHORT = {
    "name": "x",
    "traffic": {"rate": 25.0, "seconds": 7.0, "warm_s": 0.5},
    "partners": [
        {
            "rate": {"per_s": 60.0},
            "endpoints": 2,
            "error": 0.05,
            "cold": {"share": 0.3, "warm_ms": 2000},
            "troubles": [{"fault": "down", "begin_s": 2, "end_s": 3}],
            "changes": [{"at_s": 4, "endpoint": 1, "listing": "draining"}],
        },
        {"slots": 8},
    ],
    "fleet": {"relays": 2, "restarts": [{"relay": 0, "at_s": 3.5, "how": "kill"}, {"relay": 1, "at_s": 5}]},
    "classes": [
        {"name": "order", "effect": "by_key", "aim_ms": 800, "deadline_ms": 4000},
        {"name": "pay", "effect": "once", "aim_ms": 800, "deadline_ms": 4000},
    ],
}


def short() -> Experiment:
    return decoded(SHORT, "x")


def test_experiment_with_real_relays_breaks_no_rule() -> None:
    experiment = short()
    result = one(experiment, experiment.variants[0], 1)
    assert result.breaks == 0, result.broken
    assert result.messages > 100 and 0.5 < result.figure("delivered") <= 1.0
    assert sum(result.series["calls"]) > 100 and {row[0] for row in result.destinations} == {1, 2}


def test_variants_that_need_the_virtual_fleet_are_rejected() -> None:
    experiment = decoded(
        {
            **SHORT,
            "variants": [{"name": "a", "constants": {"control.CUT": 0.5}}, {"name": "b", "mixed": 0.5}],
        },
        "x",
    )
    for variant, text in zip(experiment.variants, ("constants", "mixed"), strict=True):
        with pytest.raises(LiveError, match=text):
            one(experiment, variant, 1)


def test_load_measures_latency_from_the_intended_send_time(tmp_path: Path) -> None:
    experiment = decoded(
        {"name": "x", "partners": [{"service": {"mean_ms": 5}}], "fleet": {"relays": 1, "hold": 400}}, "x"
    )

    async def play() -> load.Load:
        async with fleet(experiment, experiment.variants[0], 1) as live:
            plan = load.Plan((("127.0.0.1", live.ports[0]),), rate=60.0, seconds=3.0, warm_s=0.5, processes=2)
            return await asyncio.to_thread(load.run, plan)

    result = asyncio.run(play())
    assert 120 < sum(result.answers.values()) < 260 and result.accepted > 100
    assert 0 < result.ms(50) < 1000 and result.skipped == 0


def test_load_reports_when_the_generator_is_the_bottleneck() -> None:
    result = load.Load(load.histogram(), load.histogram())
    for _ in range(100):
        result.waits.record_value(20_000)
        result.late.record_value(500)
    assert result.limit == ""
    for _ in range(10):
        result.late.record_value(9_000)
    assert "the generator itself was late: p99 9" in result.limit
    result.skipped = 3
    assert "3 messages were not sent" in result.limit


def test_response_is_parsed_with_its_retry_after() -> None:
    assert said(b"HTTP/1.1 503 X\r\nRetry-After: 1.5\r\n\r\n").retry_ms == 1500.0
    assert said(b"HTTP/1.1 202 X\r\n\r\n").taken
    assert b"X-Second-Try: 1\r\n" in request("a", "order", 1, 50.0, b"", "k", "1")


def test_relay_records_its_traffic_to_the_operators_file(tmp_path: Path) -> None:
    experiment = decoded(
        {"name": "x", "partners": [{"service": {"mean_ms": 5}}], "fleet": {"relays": 1}}, "x"
    )

    async def play() -> None:
        async with fleet(experiment, experiment.variants[0], 1) as live:
            relay = live.processes["relay0"]
            relay.terminate()
            await relay.wait()
            settings = live.folder / "relay.toml"
            settings.write_text(settings.read_text() + f'[record]\nfile = "{tmp_path}/r{{n}}.jsonl"\n')
            await live._start_relay(0)
            await live._wait_until_ready(0)
            for n in range(20):
                data = request(f"rec-{n}-{os.getpid()}", "order", 1, 3000.0, b"x" * 10, f"k{n}")
                assert (await live.clients.hand_in(("127.0.0.1", live.ports[0]), data)).taken
            live.processes["relay0"].terminate()
            await live.processes["relay0"].wait()

    asyncio.run(play())
    result = stats(tmp_path / "r0.jsonl")
    assert result.messages == 20 and result.classes == {"order": 20} and result.bytes == 200
    assert settings_of(experiment)["classes"][0]["name"] == "order" and json.dumps(settings_of(experiment))

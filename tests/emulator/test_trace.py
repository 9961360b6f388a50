"""Traces: recording by a relay, and reading, also of damaged files."""

from __future__ import annotations

import gzip
import json
import math
import tracemalloc
from collections.abc import Iterator
from pathlib import Path

import numpy as np
import pytest
from click.testing import CliRunner

from emulator import trace
from emulator.commands import main
from emulator.draws import stream
from emulator.experiment import decoded
from emulator.traffic import drawn, from_trace
from message_relay.core.ports import Submission
from message_relay.fleet.recording import Recorder

HEAD = trace.Head(trace.VERSION)


def line(at: float, dest: int = 1, ident: str = "i") -> trace.Line:
    return trace.Line(at, "order", dest, "t", 100, 16000.0, ident)


def offer(n: int) -> Submission:
    return Submission(f"id-{n}", "order", "Firma Unu", 7, "secret-key", 16000, "", b"the body", "http")


def test_recording_holds_the_traffic_but_no_names_keys_or_bodies(tmp_path: Path) -> None:
    path = tmp_path / "t.jsonl"
    recorder = Recorder(path, 1.0)
    for n in range(500):
        recorder.record(offer(n))
    recorder.close()
    data = path.read_bytes()
    for secret in (b"Firma", b"secret-key", b"the body", b"id-1"):
        assert secret not in data
    notes = trace.Notes()
    lines = list(trace.read(path, notes))
    assert len(lines) == 500 and notes.unreadable == notes.out_of_order == 0
    assert {(each.class_, each.destination, each.bytes, each.left_ms) for each in lines} == {
        ("order", 7, 8, 16000.0)
    }
    assert len({each.id for each in lines}) == 500 and len({each.tenant for each in lines}) == 1
    assert path.stat().st_mode & 0o077 == 0


def test_recording_stops_at_its_size_limit_and_counts_dropped_lines(tmp_path: Path) -> None:
    path = tmp_path / "t.jsonl"
    recorder = Recorder(path, 0.01)
    for n in range(500):
        recorder.record(offer(n))
    recorder.close()
    assert path.stat().st_size < 10_100
    stored = len(list(trace.read(path)))
    assert json.loads(path.read_bytes().splitlines()[-1]) == {"dropped": 500 - stored} and 0 < stored < 500


def test_full_disk_ends_the_recording_without_an_exception(tmp_path: Path) -> None:
    recorder = Recorder(Path("/dev/full"), 1.0)
    for n in range(2000):
        recorder.record(offer(n))
    recorder.close()
    assert recorder.is_closed


def test_reading_tolerates_disorder_clock_jumps_and_a_truncated_end(tmp_path: Path) -> None:
    path = tmp_path / "t.jsonl.gz"
    times = [*range(0, 5000), 3000.5, -40.0, math.inf, *range(5000, 9000)]
    trace.write(path, [line(float(at), ident=str(n)) for n, at in enumerate(times) if at != math.inf], HEAD)
    data = gzip.decompress(path.read_bytes())
    data = data.replace(b"[17.0,", b"[17,,", 1) + b'[1e999,"order",1,"t",1,1,"x"]\n[9000.0,"ord'
    path.write_bytes(gzip.compress(data)[:-200])
    notes = trace.Notes()
    found = [each.at for each in trace.read(path, notes)]
    assert found == sorted(found) and min(found) >= 0
    assert notes.unreadable >= 2 and notes.out_of_order >= 1 and notes.late == 1
    assert len(found) > 7000


def test_other_files_and_later_versions_are_rejected(tmp_path: Path) -> None:
    for name, data, text in (
        ("a", b"hello\n", "is not a trace"),
        ("b", b'{"v":2}\n', "has version 2"),
        ("c.gz", b"hello\n", "is not a trace"),
        ("d", b"", "is not a trace"),
    ):
        (tmp_path / name).write_bytes(data)
        with pytest.raises(trace.TraceError, match=text):
            list(trace.read(tmp_path / name))


def test_statistics_use_bounded_memory(tmp_path: Path) -> None:
    path, count = tmp_path / "t.jsonl", 200_000
    rng = np.random.default_rng(1)

    def lines() -> Iterator[trace.Line]:
        at = 0.0
        for n in range(count):
            at += 1.0
            yield line(at + rng.uniform(-50, 50), n % 5000, f"{n:x}")

    trace.write(path, lines(), HEAD)
    tracemalloc.start()
    found = trace.stats(path)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert found.messages == count and peak < 6e6, peak


def test_cut_and_scale_keep_the_shape() -> None:
    lines = [line(float(at), at % 7, str(at)) for at in range(0, 100_000, 10)]
    part = list(trace.cut(lines, 20_000, 30_000))
    assert len(part) == 1000 and part[0].at == 0.0 and part[-1].at == 9990.0
    scaled = list(trace.scale(lines, 2.5, stream(1, "x")))
    assert abs(len(scaled) - 25_000) < 300
    assert [each.at for each in scaled] == sorted(each.at for each in scaled)
    assert len({each.id for each in scaled}) == len(scaled)
    assert len(list(trace.scale(lines, 0.1, stream(1, "x")))) < 1200


def test_fitted_model_matches_the_traffic_of_the_trace(tmp_path: Path) -> None:
    """Fits a model to the trace of known traffic and compares its parameters."""
    experiment = decoded(
        {
            "name": "x",
            "partners": [{}] * 40,
            "traffic": {
                "rate": 60.0,
                "seconds": 1200.0,
                "zipf": 0.9,
                "clump": 3.0,
                "wave": {"period_s": 1200.0, "swing": 0.4, "peak_s": 600.0},
                "bursts": [{"at_s": 300.0, "seconds": 30.0, "times": 10.0}],
            },
        },
        "x",
    )
    path = tmp_path / "t.jsonl"
    trace.write(
        path,
        (
            trace.Line(
                job.at,
                experiment.classes[job.class_].name,
                job.destination,
                "t",
                job.bytes,
                job.left_ms,
                str(job.number),
            )
            for job in drawn(experiment, 3)
        ),
        HEAD,
    )
    fit = trace.fit(trace.stats(path))
    assert fit.rate == pytest.approx(60, rel=0.1) and fit.zipf == pytest.approx(0.9, abs=0.15)
    assert fit.swing == pytest.approx(0.4, abs=0.1) and fit.peak_s == pytest.approx(600, abs=60)
    assert fit.clump == pytest.approx(3.0, rel=0.3)
    (burst,) = [each for each in fit.bursts if each[1] >= 10]
    assert burst[0] == pytest.approx(300, abs=3) and burst[1] == pytest.approx(30, abs=4)
    assert 5 < burst[2] < 15
    shares = {name: share for name, (share, _) in fit.classes.items()}
    assert shares["order"] == pytest.approx(0.51, abs=0.03)


def test_trace_gives_its_messages_at_their_times(tmp_path: Path) -> None:
    path = tmp_path / "t.jsonl"
    trace.write(path, [line(10.0, 99, "a"), line(30.0, 4, "b"), line(40.0, 4, "c"), line(70_000.0, 4)], HEAD)
    experiment = decoded({"name": "x", "partners": [{}, {}], "traffic": {"trace": str(path)}}, "x")
    jobs = list(from_trace(experiment, 1))
    assert [(job.at, job.destination) for job in jobs] == [(10.0, 2), (30.0, 1), (40.0, 1)]
    invalid = decoded(
        {
            "name": "x",
            "classes": [{"name": "z", "effect": "once", "aim_ms": 1, "deadline_ms": 2}],
            "partners": [{}],
            "traffic": {"trace": str(path)},
        },
        "x",
    )
    with pytest.raises(ValueError, match="class 'order' is none of z"):
        list(from_trace(invalid, 1))


def test_trace_commands(tmp_path: Path) -> None:
    path, out = tmp_path / "t.jsonl", tmp_path / "o.jsonl.gz"
    trace.write(path, [line(float(at), at % 3, str(at)) for at in range(0, 60_000, 20)], HEAD)
    call = CliRunner().invoke
    stats = json.loads(call(main, ["trace", "stats", str(path), "--json"]).stdout)
    assert stats["messages"] == 3000 and stats["rate"] == pytest.approx(50, abs=1)
    assert call(main, ["trace", "cut", str(path), str(out), "--end-s", "30"]).output.startswith(
        "1500 messages"
    )
    assert call(main, ["trace", "scale", str(out), str(path), "--times", "2"]).output.startswith(
        "3000 messages"
    )
    assert "rate = " in call(main, ["trace", "fit", str(path)]).stdout
    (tmp_path / "bad").write_text("x")
    wrong = call(main, ["trace", "stats", str(tmp_path / "bad")])
    assert wrong.exit_code == 2 and "is not a trace" in wrong.output

"""Runs of experiments: results are byte for byte the same on any number of processes, interrupted or not;
confidence intervals have their coverage; and the report and the commands."""

from __future__ import annotations

import contextlib
import json
import math
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import pytest
from click.testing import CliRunner

from emulator.commands import main
from emulator.draws import BufferedRandom, CallRandom, stream
from emulator.experiment import Experiment, decoded
from emulator.intervals import difference, interval, looks, verdict
from emulator.measure_names import MEASURES
from emulator.runs import Runs, RunsError, by_variant, manifest, row

SMALL: dict[str, Any] = {
    "name": "small",
    "seeds": 4,
    "traffic": {"rate": 20.0, "seconds": 6.0, "warm_s": 1.0},
    "partners": [{"rate": {"per_s": 25.0}, "error": 0.05, "slots": 4}],
    "fleet": {"relays": 2},
    "classes": [
        {"name": "order", "effect": "by_key", "aim_ms": 500, "deadline_ms": 3000},
        {"name": "pay", "effect": "once", "aim_ms": 500, "deadline_ms": 3000},
    ],
    "variants": [{"name": "A"}, {"name": "slow", "constants": {"control.RETRY_MS": 900.0}}],
}


def small(**changes: Any) -> Experiment:
    return decoded({**SMALL, **changes}, "x")


def quiet(done: int, every: int) -> None:
    pass


def test_results_are_identical_on_any_number_of_processes_and_after_an_interrupt(tmp_path: Path) -> None:
    experiment = small()
    for processes in (1, 8):
        Runs(experiment, tmp_path / str(processes)).run(processes, quiet)

    class Interrupted(BaseException):
        pass

    def stop(done: int, every: int) -> None:
        if done >= 3:
            raise Interrupted

    with pytest.raises(Interrupted):
        Runs(experiment, tmp_path / "cut").run(2, stop)
    assert not (tmp_path / "cut" / "results.jsonl").exists()
    with pytest.raises(RunsError, match="go on with --resume"):
        Runs(experiment, tmp_path / "cut")
    left = len(list((tmp_path / "cut").glob("runs/*/*")))
    assert 3 <= left < 8
    Runs(experiment, tmp_path / "cut", resume=True).run(3, quiet)
    one = (tmp_path / "1" / "results.jsonl").read_bytes()
    assert one == (tmp_path / "8" / "results.jsonl").read_bytes()
    assert one == (tmp_path / "cut" / "results.jsonl").read_bytes()
    assert len(one.splitlines()) == 8


def test_folder_of_another_experiment_is_rejected(tmp_path: Path) -> None:
    Runs(small(seeds=1), tmp_path).run(1, quiet)
    with pytest.raises(RunsError, match="holds another experiment"):
        Runs(small(seeds=2), tmp_path, resume=True)
    with pytest.raises(RunsError, match="holds no experiment"):
        manifest(tmp_path / "none")


@contextlib.contextmanager
def running_experiment(
    folder: Path, seeds: int, interrupts: signal.Handlers
) -> Iterator[subprocess.Popen[str]]:
    """Starts `emulator run` in a process of its own and waits until it has finished at least three runs.

    `interrupts` is the disposition of SIGINT that the process inherits: a shell starts background jobs with
    SIGINT ignored, and their child processes inherit that."""
    file = folder / "x.toml"
    file.write_text(
        f'name = "x"\nseeds = {seeds}\n[traffic]\nrate = 20.0\nseconds = 5.0\nwarm_s = 1.0\n'
        "[[partners]]\nslots = 4\n[fleet]\nrelays = 2\n"
    )
    out = ["--out", str(folder / "out"), "--processes", "2"]
    command = [sys.executable, "-m", "emulator", "run", str(file), *out]
    before = signal.signal(signal.SIGINT, interrupts)
    try:
        process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
    finally:
        signal.signal(signal.SIGINT, before)
    try:
        ends = time.monotonic() + 60
        while len(list(folder.glob("out/runs/*/*"))) < 3 and time.monotonic() < ends:
            time.sleep(0.02)
        yield process
    finally:
        process.kill()
        process.communicate()


def test_ctrl_c_keeps_the_finished_runs(tmp_path: Path) -> None:
    with running_experiment(tmp_path, 400, signal.SIG_DFL) as process:
        process.send_signal(signal.SIGINT)
        _, errors = process.communicate(timeout=30)
    assert process.returncode == 130 and "go on with --resume" in errors
    done = [path for path in tmp_path.glob("out/runs/A/*") if path.name.isdecimal()]
    assert 0 < len(done) < 400
    assert all(json.loads(path.read_bytes())["variant"] == "A" for path in done)


def test_run_started_with_sigint_ignored_finishes(tmp_path: Path) -> None:
    with running_experiment(tmp_path, 12, signal.SIG_IGN) as process:
        process.send_signal(signal.SIGINT)
        _, errors = process.communicate(timeout=60)
    assert process.returncode == 0 and "12 seeds of 1 variants" in errors
    assert len((tmp_path / "out" / "results.jsonl").read_text().splitlines()) == 12


def test_sequential_stopping_ends_once_the_interval_is_narrow_enough(tmp_path: Path) -> None:
    wide = Runs(small(seeds=20, half_width=0.9), tmp_path / "wide").run(4, quiet)
    tight = Runs(small(seeds=12, half_width=1e-9), tmp_path / "tight").run(4, quiet)
    assert (wide, tight) == (8, 12) and looks(40) == [8, 12, 18, 27, 40]


def test_known_differences_are_detected_and_equal_variants_show_none(tmp_path: Path) -> None:
    experiment = small(
        seeds=12,
        variants=[
            {"name": "A"},
            {"name": "same"},
            {"name": "slow", "constants": {"control.RETRY_MS": 2500.0}},
            {"name": "less", "fleet": {"slots": 1}},
        ],
    )
    Runs(experiment, tmp_path).run(8, quiet)
    found = by_variant(tmp_path)
    for name, expected in (("same", "no difference seen"), ("slow", "worse"), ("less", "worse")):
        diff = difference(row(found["A"], "service"), row(found[name], "service"))
        assert verdict(diff, True) == expected, (name, diff)
    assert row(found["A"], "service") == row(found["same"], "service")


def test_intervals_of_equal_variants_cover_zero_at_the_nominal_rate(tmp_path: Path) -> None:
    """Draws 200 experiments without replacement from the pool of the independent runs of two variants that
    are the same relay, so the true difference is zero."""
    experiment = small(
        seeds=60,
        common="none",
        variants=[{"name": "A"}, {"name": "B"}],
        traffic={"rate": 15.0, "seconds": 4.0, "warm_s": 0.5},
    )
    Runs(experiment, tmp_path).run(8, quiet)
    found = by_variant(tmp_path)
    a, b = np.array(row(found["A"], "service")), np.array(row(found["B"], "service"))
    assert not np.array_equal(a, b)
    pooled, rng, covered = np.concatenate([a, b]), stream(1, "a/a"), 0
    for _ in range(200):  # one population, so the true difference is zero
        drawn = rng.choice(pooled, size=(2, 10), replace=False)
        covered += difference(list(drawn[0]), list(drawn[1])).holds(0.0)
    assert 180 <= covered <= 198, covered


def test_intervals_have_warnings() -> None:
    assert interval([]).seeds == 0 and math.isnan(interval([math.nan]).mean)
    assert "one seed" in interval([1.0]).warning
    assert "3 seeds are few" in interval([1.0, 2.0, 3.0]).warning
    assert "one seed makes" in interval([0.0] * 19 + [10.0]).warning
    assert "1 seeds have no figure" in interval([math.nan, *[1.0, 2.0] * 5]).warning
    assert interval([1.0, 2.0] * 10).warning == ""
    assert verdict(interval([1.0, 2.0] * 10), True) == "better"
    assert verdict(interval([1.0, 2.0] * 10), False) == "worse"


def test_random_numbers_of_calls_are_uniform_normal_and_independent() -> None:
    call_random = CallRandom(7, "p")
    values, normals = [], []
    for message in range(4000):
        call_random.start_call(message, 1)
        values.append(call_random.random())
        normals.append(call_random.gauss(0.0, 1.0))
    assert abs(np.mean(values) - 0.5) < 0.02 and abs(np.var(values) - 1 / 12) < 0.005
    assert abs(np.mean(normals)) < 0.06 and abs(np.std(normals) - 1) < 0.05
    assert abs(np.corrcoef(values[:-1], values[1:])[0, 1]) < 0.06
    call_random.start_call(17, 2)
    second = call_random.random()
    call_random.start_call(18, 1)
    call_random.start_call(17, 2)
    assert call_random.random() == second != values[17]
    assert (
        BufferedRandom(1, "a").random() == BufferedRandom(1, "a").random() != BufferedRandom(1, "b").random()
    )


def test_report_and_commands(tmp_path: Path) -> None:
    call, file, out = CliRunner().invoke, tmp_path / "x.toml", tmp_path / "out"
    file.write_text(
        'name = "<b>X</b>"\nseeds = 3\n[traffic]\nrate = 20.0\nseconds = 6.0\nwarm_s = 1.0\n'
        '[[partners]]\nrate = { per_s = 30.0 }\n[[partners.troubles]]\nfault = "down"\nbegin_s = 2\n'
        'end_s = 3\n[[partners]]\n[[variants]]\nname = "A"\n[[variants]]\nname = "B"\n'
        "fleet = { slots = 1 }\n"
    )
    assert call(main, ["check", str(file)]).output.endswith("good: 2 variants, 3 seeds\n")
    done = call(main, ["run", str(file), "--out", str(out), "--processes", "2", "--json"])
    rows = json.loads(done.stdout)["rows"]
    assert {each["figure"] for each in rows} <= set(MEASURES) and len(rows) > 15
    assert "3 seeds are few" in rows[-1]["difference"]["warning"]
    assert "rules broken: A 0, B 0" in call(main, ["compare", str(out)]).output
    assert "'C' is none of A, B" in call(main, ["compare", str(out), "--variants", "A", "C"]).output
    path = Path(call(main, ["report", str(out)]).output.strip())
    page = path.read_text()
    assert "&lt;b&gt;X" in page and "<b>X</b>" not in page and page.count("<svg") == 3
    assert "http://" not in page.replace("http://www.w3.org", "").replace("http://purl.org", "").replace(
        "http://creativecommons.org", ""
    )
    assert "No rule was broken" in page and (out / "load.png").stat().st_size > 5000
    swept = tmp_path / "swept"
    done = call(main, ["sweep", str(file), "--set", "control.CUT=0.5,0.9", "--out", str(swept), "--json"])
    assert {each["variant"] for each in json.loads(done.stdout)["rows"]} == {"A", "CUT=0.5", "CUT=0.9"}
    assert "is not CONSTANT=" in call(main, ["sweep", str(file), "--set", "control.CUT=x"]).output
    compared = json.loads(call(main, ["compare", str(out), str(swept), "--json"]).stdout)["rows"]
    assert compared[-1]["difference"]["mean"] == 0.0 and compared[0]["seeds"] == 3
    wrong = call(main, ["run", str(tmp_path / "none.toml")])
    assert wrong.exit_code == 2 and "No such file" in wrong.output
    again = call(main, ["run", str(file), "--out", str(out)])
    assert again.exit_code == 2 and "--resume" in again.output


def test_relay_does_not_import_the_emulator_or_its_dependencies() -> None:
    code = (
        "import sys, message_relay, message_relay.process, message_relay.fleet.instance\n"
        "print([name for name in ('numpy', 'scipy', 'matplotlib', 'hdrh', 'click', 'rich', 'emulator',"
        " 'structlog') if name in sys.modules])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


def test_manifest_holds_the_experiment_and_the_versions(tmp_path: Path) -> None:
    Runs(small(seeds=1), tmp_path).run(1, quiet)
    stored = msgspec.json.decode((tmp_path / "experiment.json").read_bytes())
    assert stored["experiment"]["name"] == "small" and len(stored["versions"]["A"]) == 16

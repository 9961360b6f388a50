"""Many runs: the same bytes on one process and on eight, interrupted or not; and intervals that cover."""

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
from emulator.draws import Draws, Luck, stream
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


def small(**more: Any) -> Experiment:
    return decoded({**SMALL, **more}, "x")


def quiet(done: int, every: int) -> None:
    pass


def test_the_same_bytes_on_one_process_and_on_eight_interrupted_or_not(tmp_path: Path) -> None:
    it = small()
    for processes in (1, 8):
        Runs(it, tmp_path / str(processes)).run(processes, quiet)

    class Enough(BaseException):
        pass

    def stop(done: int, every: int) -> None:
        if done >= 3:
            raise Enough

    with pytest.raises(Enough):
        Runs(it, tmp_path / "cut").run(2, stop)
    assert not (tmp_path / "cut" / "results.jsonl").exists()
    with pytest.raises(RunsError, match="go on with --resume"):
        Runs(it, tmp_path / "cut")
    left = len(list((tmp_path / "cut").glob("runs/*/*")))
    assert 3 <= left < 8
    Runs(it, tmp_path / "cut", resume=True).run(3, quiet)
    one = (tmp_path / "1" / "results.jsonl").read_bytes()
    assert one == (tmp_path / "8" / "results.jsonl").read_bytes()
    assert one == (tmp_path / "cut" / "results.jsonl").read_bytes()
    assert len(one.splitlines()) == 8


def test_a_folder_of_another_experiment_is_refused(tmp_path: Path) -> None:
    Runs(small(seeds=1), tmp_path).run(1, quiet)
    with pytest.raises(RunsError, match="holds another experiment"):
        Runs(small(seeds=2), tmp_path, resume=True)
    with pytest.raises(RunsError, match="holds no experiment"):
        manifest(tmp_path / "none")


@contextlib.contextmanager
def begun(folder: Path, seeds: int, interrupts: signal.Handlers) -> Iterator[subprocess.Popen[str]]:
    """A run of its own, which has made three runs at the least. Whether Ctrl-C is heard is handed down from
    whoever starts a process: a shell's job in the background begins deaf to it, and so does all it starts."""
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


def test_a_ctrl_c_leaves_what_is_done_and_resume_goes_on(tmp_path: Path) -> None:
    with begun(tmp_path, 400, signal.SIG_DFL) as process:
        process.send_signal(signal.SIGINT)
        _, told = process.communicate(timeout=30)
    assert process.returncode == 130 and "go on with --resume" in told
    done = [path for path in tmp_path.glob("out/runs/A/*") if path.name.isdecimal()]
    assert 0 < len(done) < 400
    assert all(json.loads(path.read_bytes())["variant"] == "A" for path in done)


def test_a_run_that_was_begun_deaf_to_ctrl_c_is_made_whole(tmp_path: Path) -> None:
    with begun(tmp_path, 12, signal.SIG_IGN) as process:
        process.send_signal(signal.SIGINT)
        _, told = process.communicate(timeout=60)
    assert process.returncode == 0 and "12 seeds of 1 variants" in told
    assert len((tmp_path / "out" / "results.jsonl").read_text().splitlines()) == 12


def test_sequential_stopping_takes_no_more_seeds_than_the_width_asks_for(tmp_path: Path) -> None:
    wide = Runs(small(seeds=20, half_width=0.9), tmp_path / "wide").run(4, quiet)
    tight = Runs(small(seeds=12, half_width=1e-9), tmp_path / "tight").run(4, quiet)
    assert (wide, tight) == (8, 12) and looks(40) == [8, 12, 18, 27, 40]


def test_a_planted_change_is_found_and_none_is_seen_where_there_is_none(tmp_path: Path) -> None:
    it = small(
        seeds=12,
        variants=[
            {"name": "A"},
            {"name": "same"},
            {"name": "slow", "constants": {"control.RETRY_MS": 2500.0}},
            {"name": "less", "fleet": {"slots": 1}},
        ],
    )
    Runs(it, tmp_path).run(8, quiet)
    found = by_variant(tmp_path)
    for name, told in (("same", "no difference seen"), ("slow", "worse"), ("less", "worse")):
        diff = difference(row(found["A"], "service"), row(found[name], "service"))
        assert verdict(diff, True) == told, (name, diff)
    assert row(found["A"], "service") == row(found["same"], "service")


def test_a_comparison_of_a_thing_with_itself_covers_zero_as_often_as_it_says(tmp_path: Path) -> None:
    """200 experiments drawn from two independent pools of runs of the same relay; exact for what is drawn."""
    it = small(
        seeds=60,
        common="none",
        variants=[{"name": "A"}, {"name": "B"}],
        traffic={"rate": 15.0, "seconds": 4.0, "warm_s": 0.5},
    )
    Runs(it, tmp_path).run(8, quiet)
    found = by_variant(tmp_path)
    a, b = np.array(row(found["A"], "service")), np.array(row(found["B"], "service"))
    assert not np.array_equal(a, b)
    both, rng, covered = np.concatenate([a, b]), stream(1, "a/a"), 0
    for _ in range(200):  # one population: the difference is zero by construction
        drawn = rng.choice(both, size=(2, 10), replace=False)
        covered += difference(list(drawn[0]), list(drawn[1])).holds(0.0)
    assert 180 <= covered <= 198, covered


def test_intervals_warn_where_they_should() -> None:
    assert interval([]).seeds == 0 and math.isnan(interval([math.nan]).mean)
    assert "one seed" in interval([1.0]).warning
    assert "3 seeds are few" in interval([1.0, 2.0, 3.0]).warning
    assert "one seed makes" in interval([0.0] * 19 + [10.0]).warning
    assert "1 seeds have no figure" in interval([math.nan, *[1.0, 2.0] * 5]).warning
    assert interval([1.0, 2.0] * 10).warning == ""
    assert verdict(interval([1.0, 2.0] * 10), True) == "better"
    assert verdict(interval([1.0, 2.0] * 10), False) == "worse"


def test_numbers_of_chance_are_even_normal_and_each_call_has_its_own() -> None:
    luck = Luck(7, "p")
    values, normals = [], []
    for message in range(4000):
        luck.of(message, 1)
        values.append(luck.random())
        normals.append(luck.gauss(0.0, 1.0))
    assert abs(np.mean(values) - 0.5) < 0.02 and abs(np.var(values) - 1 / 12) < 0.005
    assert abs(np.mean(normals)) < 0.06 and abs(np.std(normals) - 1) < 0.05
    assert abs(np.corrcoef(values[:-1], values[1:])[0, 1]) < 0.06
    luck.of(17, 2)
    second = luck.random()
    luck.of(18, 1)
    luck.of(17, 2)
    assert luck.random() == second != values[17]
    assert Draws(1, "a").random() == Draws(1, "a").random() != Draws(1, "b").random()


def test_the_report_and_the_commands(tmp_path: Path) -> None:
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
    both = json.loads(call(main, ["compare", str(out), str(swept), "--json"]).stdout)["rows"]
    assert both[-1]["difference"]["mean"] == 0.0 and both[0]["seeds"] == 3
    wrong = call(main, ["run", str(tmp_path / "none.toml")])
    assert wrong.exit_code == 2 and "No such file" in wrong.output
    again = call(main, ["run", str(file), "--out", str(out)])
    assert again.exit_code == 2 and "--resume" in again.output


def test_the_relay_imports_nothing_of_the_laboratory() -> None:
    code = (
        "import sys, message_relay, message_relay.process, message_relay.fleet.instance\n"
        "print([name for name in ('numpy', 'scipy', 'matplotlib', 'hdrh', 'click', 'rich', 'emulator',"
        " 'structlog') if name in sys.modules])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


def test_results_keep_what_figures_are_made_from(tmp_path: Path) -> None:
    Runs(small(seeds=1), tmp_path).run(1, quiet)
    told = msgspec.json.decode((tmp_path / "experiment.json").read_bytes())
    assert told["experiment"]["name"] == "small" and len(told["versions"]["A"]) == 16

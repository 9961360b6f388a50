"""Experiment files: each kind of error names its field, and valid files give the expected variants."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from emulator.experiment import ExperimentError, decoded, read

VALID: dict[str, Any] = {"name": "x", "partners": [{}]}


@pytest.mark.parametrize(
    ("change", "text"),
    [
        ({"nmae": "x"}, "nmae: is not known; 'name' is the nearest name"),
        ({"seeds": 0}, "seeds: 0: "),
        ({"traffic": {"rate": -1}}, "traffic.rate: -1: "),
        ({"traffic": {"rate": 5, "warm_s": 90}}, "traffic.warm_s: must be less than seconds"),
        ({"traffic": {"bursts": [{"at_s": 1, "seconds": 1, "times": 0.5}]}}, "traffic.bursts[0].times: 0.5"),
        (
            {"traffic": {"bursts": [{"at_s": 1, "seconds": 1, "times": 2, "destination": 9}]}},
            "traffic.bursts.destination: must be 1 to 1",
        ),
        ({"traffic": {"wave": {"period_s": 10, "swing": 2}}}, "traffic.wave.swing: 2: "),
        ({"partners": []}, "partners: []: "),
        ({"partners": [{"slot": 3}]}, "partners[0].slot: is not known; 'slots' is the nearest name"),
        ({"partners": [{"rate": {"per_s": 0}}]}, "partners[0].rate.per_s: 0: "),
        ({"partners": [{"rate": {"per_s": 5, "enforced": "no"}}]}, "one of window, bucket is needed"),
        (
            {"partners": [{"refuse": 0.6, "error": 0.6}]},
            "partners[0].refuse, error, reset, hang: must sum to 1",
        ),
        ({"partners": [{"troubles": [{"fault": "down", "begin_s": 5, "end_s": 4}]}]}, "trouble.end_ms"),
        ({"partners": [{"changes": [{"at_s": 1, "endpoint": 2, "listing": "gone"}]}]}, "must be 1 to 1"),
        ({"fleet": {"relays": 2, "restarts": [{"relay": 2, "at_s": 1}]}}, "restarts.relay: must be 0 to 1"),
        (
            {"classes": [{"name": "a", "effect": "never", "aim_ms": 1, "deadline_ms": 2}]},
            "classes[0].effect: 'never': one of repeatable, by_key, once is needed",
        ),
        ({"classes": []}, "classes: at least one is needed"),
        ({"variants": [{"name": "a"}, {"name": "a"}]}, "variants.name: ['a', 'a'] must differ"),
        ({"variants": [{"name": "a/b"}]}, "letters, digits"),
        ({"variants": [{"name": "a", "constants": {"RETRY_MS": 1.0}}]}, "MODULE.NAME is needed"),
        ({"variants": [{"name": "a", "fleet": {"slot": 9}}]}, "variants.a.fleet.slot: is not known; 'slots'"),
        ({"variants": [{"name": "a", "clients": {"heed": 2}}]}, "variants.a.clients.heed: 2"),
        ({"grid": {"control.CUT": []}}, "grid.control.CUT: at least one value is needed"),
        ({"grid": {f"control.A{n}": [1.0, 2.0, 3.0] for n in "ABCDE"}}, "makes 243 variants: 200 at most"),
        ({"measure": "servce"}, "measure: 'servce' is none of service"),
    ],
)
def test_error_names_its_field(change: dict[str, Any], text: str) -> None:
    with pytest.raises(ExperimentError) as caught:
        decoded({**VALID, **change}, "f.toml")
    assert text in str(caught.value) and str(caught.value).startswith("f.toml: ")


def test_all_errors_are_reported_at_once() -> None:
    with pytest.raises(ExperimentError) as caught:
        decoded({"name": "x", "seeds": 0, "fleet": {"relays": 0, "holds": 3}}, "f")
    assert len(str(caught.value).splitlines()) == 3


def test_grid_adds_a_variant_for_each_combination_and_variant_overrides_the_fleet() -> None:
    experiment = decoded(
        {
            **VALID,
            "grid": {"control.CUT": [0.5, 0.9], "control.RISE": [0.1, 0.2, 0.3]},
            "variants": [{"name": "usual"}, {"name": "small", "fleet": {"hold": 5}}],
        },
        "f",
    )
    names = [each.name for each in experiment.all_variants()]
    assert names[:3] == ["usual", "small", "CUT=0.5_RISE=0.1"] and len(names) == 8
    assert (
        experiment.with_variant(experiment.variants[1]).fleet.hold == 5
        and experiment.with_variant(experiment.variants[0]).fleet.hold == 60
    )


def test_missing_files_are_errors(tmp_path: Path) -> None:
    for text, expected in (
        ("[traffic]\ntrace = 'no.gz'", "traffic.trace: 'no.gz' is not a file"),
        ("[[variants]]\nname = 'old'\nversion = 'gone'", "version: 'gone' holds no"),
        ("name = ", "f.toml: "),
        ("seeds = 3", "name"),
    ):
        path = tmp_path / "f.toml"
        path.write_text(text if text.startswith(("name", "seeds")) else f"name = 'x'\n{text}")
        with pytest.raises(ExperimentError, match=expected):
            read(path)
    with pytest.raises(ExperimentError, match="No such file"):
        read(tmp_path / "none.toml")


@pytest.mark.parametrize(
    "path", sorted((Path(__file__).parents[2] / "experiments").glob("*.toml")), ids=lambda path: path.stem
)
def test_experiments_in_the_repository_are_valid(path: Path) -> None:
    assert read(path).all_variants()

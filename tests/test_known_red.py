"""The list of tests that are known to fail: it is short, and each line names a test that there is."""

from __future__ import annotations

import importlib.util
import subprocess
import sys
from pathlib import Path
from types import ModuleType

import pytest

SCRIPT = Path(__file__).parent.parent / ".ci" / "known_red.py"


def script() -> ModuleType:
    spec = importlib.util.spec_from_file_location("known_red", SCRIPT)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


COLLECTED = {"tests/a.py::test_x[1]", "tests/a.py::test_x[2]", "tests/a.py::test_y"}


def test_it_names_tests_with_cause_and_issue() -> None:
    red = script()
    lines = red.entries("# none of ours\n\ntests/a.py::test_x, it is slow, 34\ntests/a.py::test_y, why, 12\n")
    assert red.named(lines, COLLECTED) == ["tests/a.py::test_x", "tests/a.py::test_y"]


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("tests/a.py::test_z, gone, 34", "names no test"),
        ("tests/a.py::test_x", "test, cause, issue"),
        ("tests/a.py::test_x, , 34", "test, cause, issue"),
        ("tests/a.py::test_y, why, 1\n" * 4, "3 at most"),
    ],
)
def test_it_fails_where_it_grows_or_outlives_its_tests(text: str, says: str) -> None:
    red = script()
    with pytest.raises(ValueError, match=says):
        red.named(red.entries(text), COLLECTED)


def test_without_a_list_every_test_is_run(tmp_path: Path) -> None:
    done = subprocess.run(
        [sys.executable, str(SCRIPT)], cwd=tmp_path, capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "" and done.stderr == ""

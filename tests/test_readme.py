"""Tests that the embedding example in the documentation runs as printed."""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parent.parent


def test_the_embedding_example_runs() -> None:
    code = (ROOT / "docs" / "embedding.md").read_text().split("```python\n")[1].split("```")[0]
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=60, cwd=ROOT
    )
    assert result.stderr == "" and result.stdout == "1 7\n"

"""The README's example runs as it is printed."""

import pathlib
import subprocess
import sys

README = pathlib.Path(__file__).parent.parent / "README.md"


def test_the_embedding_example_runs() -> None:
    code = README.read_text().split("```python\n")[1].split("```")[0]
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60,
                          cwd=README.parent)
    assert done.stderr == "" and done.stdout == "1 7\n"

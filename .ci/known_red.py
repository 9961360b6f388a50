"""The tests that are known to fail for a real fault (KNOWN-RED.txt: one line each, `test, cause, issue`).

Prints its lines to standard error, and what pytest needs to pass over just these tests. Fails if there are
more than three, or one names no test, so that the list can neither grow nor outlive what it names."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

MOST = 3


def entries(text: str) -> list[str]:
    return [line.strip() for line in text.splitlines() if line.strip() and not line.startswith("#")]


def named(lines: list[str], collected: set[str]) -> list[str]:
    """The tests; ValueError if the list is not as it has to be. A parametrised test may be named without its
    parameters: all of them are meant."""
    if len(lines) > MOST:
        raise ValueError(f"{len(lines)} lines, and {MOST} at most are allowed")
    found = []
    for line in lines:
        parts = [part.strip() for part in line.split(",", 2)]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"{line!r} is not: test, cause, issue")
        if parts[0] not in collected and parts[0] not in {each.partition("[")[0] for each in collected}:
            raise ValueError(f"{parts[0]} names no test")
        found.append(parts[0])
    return found


def main() -> int:
    path = Path("KNOWN-RED.txt")
    lines = entries(path.read_text()) if path.exists() else []
    collected: set[str] = set()
    if lines:
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "--collect-only", "-q"],
            capture_output=True,
            text=True,
            check=True,
        )
        collected = {line.strip() for line in done.stdout.splitlines() if "::" in line}
    try:
        tests = named(lines, collected)
    except ValueError as error:
        print(f"KNOWN-RED.txt: {error}", file=sys.stderr)
        return 1
    for line in lines:
        print(f"known red, passed over: {line}", file=sys.stderr)
    print(*(f"--deselect={test}" for test in tests), sep="\n")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())

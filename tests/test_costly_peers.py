"""Runs benchmarks/costly_peers.py briefly: a real relay process at the least memory that the pages name."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
KINDS = (
    "long-body",
    "half-body",
    "short-fields",
    "tiny-chunks",
    "slow-head",
    "idle",
    "pipeline",
)
LEAST_MEMORY_MB, SOCKETS = "32", "1024"


@pytest.mark.parametrize("kind", KINDS)
def test_hundreds_of_costly_clients_neither_exceed_the_memory_limit_nor_delay_answers(kind: str) -> None:
    arguments = [
        "--kinds",
        kind,
        "--memory-mb",
        LEAST_MEMORY_MB,
        "--sockets",
        SOCKETS,
        "--seconds",
        "5",
        "--json",
    ]
    command = [sys.executable, "-m", "benchmarks.costly_peers", *arguments]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=120, check=False)
    assert result.returncode == 0, result.stderr
    (row,) = json.loads(result.stdout)
    assert row["answered"] > 50

"""Memory of other processes on this machine (proc(5))."""

from __future__ import annotations

import contextlib
from pathlib import Path

BYTES_PER_MB = 1_000_000


def memory_mb(pid: int, name: str) -> float:
    """Returns a field of /proc/PID/status, such as VmHWM; 0 if the process is gone."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith(name + ":"):
                return int(line.split()[1]) * 1024 / BYTES_PER_MB
    return 0.0

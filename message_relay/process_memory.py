"""Memory of this process, as the kernel counts it (proc(5))."""

from __future__ import annotations

import os
from pathlib import Path

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """Returns the resident memory; 0 if the system does not tell it."""
    try:
        return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES
    except OSError:
        return 0

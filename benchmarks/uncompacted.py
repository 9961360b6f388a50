"""The relay with a journal that never gives up a segment: what compaction costs is the difference.

python -m benchmarks.relay --held 64,300 --program linnetstile,benchmarks.uncompacted
"""

from __future__ import annotations

import sys

from linnetstile.process import main
from linnetstile.store.room import Room

if __name__ == "__main__":
    Room.quota = lambda self, used, total, files, written: 0  # type: ignore[method-assign]
    sys.exit(main())

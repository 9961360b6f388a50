"""The relay with journal compaction switched off; the difference to the normal relay is the compaction cost.

python -m benchmarks.relay --held 64,300 --program message_relay,benchmarks.uncompacted
"""

from __future__ import annotations

import sys

from message_relay.process import main
from message_relay.store.capacity import DiskCapacity

if __name__ == "__main__":
    DiskCapacity.copy_quota = lambda self, used_bytes, live_bytes, file_count, written_bytes: 0  # type: ignore[method-assign]
    sys.exit(main())

"""What would carry a figure that is over budget, by the words of docs/CAPACITY.md, and the files that carry
more than one role's figures."""

from __future__ import annotations

BACKLOG = "backlog on the disk"
ASSIGN = "which relays serve which destinations"
LAYERS = "membership in layers"
INTEREST = "directory by interest"
PARTS = "rules and changes by the destinations in use"
CAP = "raise the cap"
ANSWERS = "more of keepers' answers a second"
BESIDE = "plans beside keepers"
ALL = "commands over all machines"

COUNTING = "linnetstile/failover/evidence.py"
JOURNAL = "linnetstile/store/journal.py"
KEEPING_OPEN = "linnetstile/http/keeping.py"
PACES = "linnetstile/decisions/paces.py"
PLANNER = "linnetstile/failover/planner.py"
MESSAGES = "linnetstile/core/messages.py"
RECOVERY = "linnetstile/store/recovery.py"
ENDINGS = "linnetstile/decisions/endings.py"
READING = "linnetstile/shards/reading.py"

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

COUNTING = "message_relay/failover/observations.py"
JOURNAL = "message_relay/store/journal.py"
KEEPING_OPEN = "message_relay/http/keep_alive.py"
PACES = "message_relay/decisions/rate_control.py"
PLANNER = "message_relay/failover/planner.py"
MESSAGES = "message_relay/core/message_lifecycle.py"
RECOVERY = "message_relay/store/recovery.py"
ENDINGS = "message_relay/decisions/expiry.py"
READING = "message_relay/sharded_directory/shard_client.py"

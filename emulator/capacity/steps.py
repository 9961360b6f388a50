"""Names of the remedies for figures over budget, as in docs/CAPACITY.md, and paths of mechanisms that several
roles share."""

from __future__ import annotations

BACKLOG = "backlog on the disk"
ASSIGN = "which relays serve which destinations"
LAYERS = "membership in layers"
SHARDED_DIRECTORY = "directory by interest"
PARTS = "rules and changes by the destinations in use"
CAP = "raise the cap"
ANSWERS = "more of keepers' answers a second"
PLANS_WITH_SERVERS = "plans beside keepers"
ALL_MACHINES = "commands over all machines"

OBSERVATIONS = "message_relay/failover/observations.py"
JOURNAL = "message_relay/store/journal.py"
KEEP_ALIVE = "message_relay/http/keep_alive.py"
RATE_CONTROL = "message_relay/decisions/rate_control.py"
PLANNER = "message_relay/failover/planner.py"
MESSAGE_LIFECYCLE = "message_relay/core/message_lifecycle.py"
RECOVERY = "message_relay/store/recovery.py"
EXPIRY = "message_relay/decisions/expiry.py"
SHARD_CLIENT_FILE = "message_relay/sharded_directory/shard_client.py"

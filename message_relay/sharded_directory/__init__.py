"""The directory by interest: a relay knows the destinations that it needs, and not all.

Destinations fall into shards. *Keepers* (instances of a role) hold all shards and take them from the
sources that there are; *readers* (relays) hold the shards that they use. Off unless the operator's file
names keepers; the platform's relays import nothing of it. `keeping.py` (with `table.py`, `staging.py`,
`audience.py`) and `reading.py` (with `holding.py`, `freshness.py`) decide, without I/O and with the clock
passed in; `node.py` and `source.py` have the sockets. Why it is so: docs/design/capacity.md.
"""

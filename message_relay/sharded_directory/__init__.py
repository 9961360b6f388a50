"""Sharded directory: a relay loads only the endpoints of the destinations that it needs.

Destinations are distributed over shards. Shard servers (instances named in the operator's file) load all
shards from the platform's register or a file; shard clients (all relays) load the shards that they use. The
sharded directory is off unless the operator's file names servers; while it is off, only its settings are
imported.

Modules without I/O, which get the clock passed in: `shard_server.py` (with `response_builder.py`,
`shard_table.py`, `bulk_load.py`, `subscribers.py`) and `shard_client.py` (with `request_scheduler.py`,
`pending_shards.py`, `shard_cache.py`, `staleness.py`). `wire.py` defines the messages between them. `node.py`
and `source.py` do the I/O. The reasons are in docs/design/capacity.md.
"""

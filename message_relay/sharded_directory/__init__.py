"""Sharded directory: a relay knows the endpoints of the destinations that it needs, and not all.

Destinations fall into shards. Shard servers (instances that the operator's file names) have all shards, from
the platform's register or a file; shard clients (all relays) have the shards that they use. Off unless the
operator's file names servers; then nothing of it is imported.

Without I/O and with the clock passed in: `shard_server.py` (with `response_builder.py`, `shard_table.py`,
`bulk_load.py`, `subscribers.py`) and `shard_client.py` (with `request_scheduler.py`, `pending_shards.py`,
`shard_cache.py`, `staleness.py`). `wire.py` has the messages between them. `node.py` and `source.py` have the
sockets. The reasons are in docs/design/capacity.md.
"""

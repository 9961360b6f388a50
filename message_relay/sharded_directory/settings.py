"""Settings of the sharded directory: the section `shards` of the operator's file.

Without servers the sharded directory is off, and no other module of the package is imported.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

MAX_SHARDS = 1 << 16  # equal to rendezvous_hash.MAX_SHARDS, which is not imported here
MAX_SERVERS = 16  # equal to rendezvous_hash.MAX_SERVERS: all can be tried within the staleness bound


class ShardedDirectorySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the sharded directory.

    Requires [peers]; can't be combined with [amqp] or [failover]. The field names are keys of the operator's
    file.
    """

    keepers: tuple[Annotated[int, Meta(ge=0)], ...] = ()  # servers' instance numbers, the same in each file
    count: int = 8192  # shards: a power of two, the same in each file
    epoch: Annotated[int, Meta(ge=1, le=1 << 31)] = 1  # to be raised when the source's generations restart
    file: str = ""  # file with the list in the platform's form; empty: the register
    idle_s: Annotated[float, Meta(ge=1, le=86_400)] = 300.0  # an unused shard is evicted after this time
    bound_s: Annotated[float, Meta(ge=6, le=600)] = 12.0  # staleness bound: longest use of outdated data

    def __post_init__(self) -> None:
        if len(set(self.keepers)) != len(self.keepers):
            raise ValueError("keepers: each is named once")
        if len(self.keepers) > MAX_SERVERS:
            raise ValueError(f"keepers: {len(self.keepers)}: {MAX_SERVERS} at most")
        if not 1 <= self.count <= MAX_SHARDS or self.count & (self.count - 1):
            raise ValueError(f"count: {self.count} must be a power of two, from 1 to {MAX_SHARDS}")
        if self.file and not self.keepers:
            raise ValueError("file: needs keepers, who read it")

    @property
    def on(self) -> bool:
        """Whether the operator's file names servers."""
        return bool(self.keepers)

"""The operator's part on the directory by interest. Without keepers there is none, and nothing of it is
imported."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

MAX_SHARDS = 1 << 16  # as ring.SHARDS_MOST, which is not imported here
MAX_SERVERS = 16  # as ring.KEEPERS_MOST: so many can be tried within the bound


class ShardedDirectorySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Relays know the destinations that they need, and not all. Needs [peers]; not with [amqp] or
    [failover]."""

    keepers: tuple[Annotated[int, Meta(ge=0)], ...] = ()  # instance numbers, the same in each file
    count: int = 8192  # shards: a power of two, the same in each file
    epoch: Annotated[int, Meta(ge=1, le=1 << 31)] = 1  # raised where the source counts anew
    file: str = ""  # of the list, in the platform's form; empty: the register
    idle_s: Annotated[float, Meta(ge=1, le=86_400)] = 300.0  # a shard that nobody needs is given up so late
    bound_s: Annotated[float, Meta(ge=6, le=600)] = 12.0  # from a change to the last first byte before it

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
        return bool(self.keepers)

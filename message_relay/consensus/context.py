"""State shared by the parts of one consensus instance: settings, clock, lease and gossip."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from pathlib import Path

from ..core.tasks import BackgroundTasks
from ..gossip.node import GossipNode
from .clock import Clock
from .lease_holder import LeaseHolder
from .lease_protocol import LeaseTerms
from .settings import ConsensusSettings

REQUEST_TIMEOUT_S = 1.0  # for a request to one peer
PROPOSE_TIMEOUT_S = 5.0  # for a command, until the replicated log has agreed on it


@dataclass
class ConsensusContext:
    """Shared by the voter, the lease client, the proposer and the watchers of one instance."""

    config: ConsensusSettings
    gossip: GossipNode
    folder: Path
    name: str
    configured_voters: tuple[str, ...]  # from the operator's file
    first_digest: str  # of the first version and the configured voters
    terms: LeaseTerms
    clock: Clock
    lease_holder: LeaseHolder
    tasks: BackgroundTasks = field(default_factory=BackgroundTasks)
    renew_now: asyncio.Event = field(default_factory=asyncio.Event)  # set: renew the lease at once

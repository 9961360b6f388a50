"""What instances do in common, put together: peers, and the rules on which they agree. Only where it is
on."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from ..config import Config, ConfigError
from ..core.relay import Relay
from ..gossip.identity import IdentityError, claim_identity
from ..gossip.node import GossipNode
from ..structured_logging import LogEvent
from .operator import OperatorConfig
from .status import StatusError, socket_folder

if TYPE_CHECKING:
    from ..consensus.admin_socket import AdminSocket
    from ..consensus.instance import ConsensusInstance
    from ..failover.node import Failover
    from ..sharded_directory.node import ShardedDirectory

log = logging.getLogger(__name__)

FOLDER = "peers"  # in the state folder


class SharedSubsystems:
    def __init__(self, told: OperatorConfig, number: int, config: Config, host: Relay) -> None:
        """Raises ConfigError; nothing listens yet. From here on nothing is sent that no rules allow."""
        folder = config.state / FOLDER
        try:
            self.identity = claim_identity(folder, f"n{number}")
        except (IdentityError, OSError) as error:
            raise ConfigError(str(error)) from error
        zone = config.zones[config.settings.zone] if config.settings.zone < len(config.zones) else ""
        try:
            from ..consensus.capabilities import SUPPORTED

            self.gossip = GossipNode(told.peers, self.identity, folder, number, zone, SUPPORTED)
        except (OSError, ValueError) as error:
            raise ConfigError(f"peers.{error}") from error
        self.consensus: ConsensusInstance | None = None
        self.admin_socket: AdminSocket | None = None
        self.failover: Failover | None = None
        self.closing: asyncio.Task[None] | None = None
        self.sharded_directory: ShardedDirectory | None = None
        if told.shards.on:
            self._start_sharded_directory(told, number, config, host)
        if told.accord.is_enabled:
            self._start_consensus(told, number, config, host)

    def _start_consensus(self, told: OperatorConfig, number: int, config: Config, host: Relay) -> None:
        try:
            from ..consensus.admin_socket import AdminSocket
            from ..consensus.instance import ConsensusInstance
            from ..consensus.lease_protocol import DeliveryCounts
        except ImportError as error:
            raise ConfigError(f"accord: needs the extra 'fleet' ({error})") from error
        tally = host.messages.outcomes.counts

        def counts() -> DeliveryCounts:
            delivered = tally["delivered"]
            return DeliveryCounts(delivered, delivered + tally["failed"] + tally["returned"])

        self.consensus = ConsensusInstance(
            told.accord,
            self.gossip,
            config.state / FOLDER,
            self.identity,
            config.settings,
            config.zones,
            told.fleet.instances,
            host.reapply_rules,
            counts,
        )
        host.set_call_policy(self.consensus)
        self.gossip.on_member_changed.append(self.consensus.on_member_changed)
        if told.failover.is_enabled:
            self._start_failover(told, config, host)
        folder = socket_folder(told.status.folder)
        if folder is not None:
            self.admin_socket = AdminSocket(folder / f"{number}.rules", self.consensus.handle_admin_request)

    def _start_sharded_directory(
        self, told: OperatorConfig, number: int, config: Config, host: Relay
    ) -> None:
        try:
            from ..sharded_directory.node import ShardedDirectory  # only where it is on
        except ImportError as error:
            raise ConfigError(f"shards: needs the extra 'fleet' ({error})") from error
        self.sharded_directory = ShardedDirectory(told.shards, self.gossip, host, number, config)
        host.use_destination_interest(self.sharded_directory, self.sharded_directory)

    def _start_failover(self, told: OperatorConfig, config: Config, host: Relay) -> None:
        from ..failover.node import Failover  # only where it is on

        unknown = sorted({*told.failover.zones} ^ {*config.zones})
        if unknown:
            raise ConfigError(
                f"failover.zones: must be those of the platform, {', '.join(config.zones)}: "
                f"{', '.join(unknown)} differ"
            )
        assert self.consensus is not None
        self.failover = Failover(told.failover, self.gossip, self.consensus, host)

    async def start(self) -> None:
        """Raises ConfigError where the place can't be had."""
        try:
            await self.gossip.start()
        except OSError as error:
            raise ConfigError(f"peers.listen: {error.strerror or error}") from error
        if self.sharded_directory is not None:
            self.sharded_directory.start()
        if self.consensus is not None:
            self.consensus.start()
        if self.failover is not None:
            self.failover.start()
        if self.admin_socket is not None:
            try:
                await self.admin_socket.open()
            except StatusError as error:  # one that can't be asked still serves
                log.error(LogEvent("no questions on rules are answered", why=error))

    def close(self) -> None:
        """Called as the process ends: says so to the others, and lets go."""
        if self.admin_socket is not None:
            self.admin_socket.close()
        self.gossip.leave()
        if self.consensus is not None:
            self.consensus.leave()

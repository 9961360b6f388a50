"""Optional subsystems shared by instances: gossip, consensus, failover and the sharded directory."""

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
    """Builds, starts and stops the subsystems that the operator's file enables."""

    def __init__(self, operator_config: OperatorConfig, number: int, config: Config, relay: Relay) -> None:
        """Raises ConfigError. Opens no socket yet; from now on, calls need permission by the agreed rules."""
        folder = config.state / FOLDER
        try:
            self.identity = claim_identity(folder, f"n{number}")
        except (IdentityError, OSError) as error:
            raise ConfigError(str(error)) from error
        zone = config.zones[config.settings.zone] if config.settings.zone < len(config.zones) else ""
        try:
            from ..consensus.capabilities import SUPPORTED

            self.gossip = GossipNode(operator_config.peers, self.identity, folder, number, zone, SUPPORTED)
        except (OSError, ValueError) as error:
            raise ConfigError(f"peers.{error}") from error
        self.consensus: ConsensusInstance | None = None
        self.admin_socket: AdminSocket | None = None
        self.failover: Failover | None = None
        self.closing: asyncio.Task[None] | None = None
        self.sharded_directory: ShardedDirectory | None = None
        if operator_config.shards.on:
            self._start_sharded_directory(operator_config, number, config, relay)
        if operator_config.accord.is_enabled:
            self._start_consensus(operator_config, number, config, relay)

    def _start_consensus(
        self, operator_config: OperatorConfig, number: int, config: Config, relay: Relay
    ) -> None:
        try:
            from ..consensus.admin_socket import AdminSocket
            from ..consensus.instance import ConsensusInstance
            from ..consensus.lease_protocol import DeliveryCounts
        except ImportError as error:
            raise ConfigError(f"accord: needs the extra 'fleet' ({error})") from error
        tally = relay.messages.outcomes.counts

        def counts() -> DeliveryCounts:
            delivered = tally["delivered"]
            return DeliveryCounts(delivered, delivered + tally["failed"] + tally["returned"])

        self.consensus = ConsensusInstance(
            operator_config.accord,
            self.gossip,
            config.state / FOLDER,
            self.identity,
            config.settings,
            config.zones,
            operator_config.fleet.instances,
            relay.reapply_rules,
            counts,
        )
        relay.set_call_policy(self.consensus)
        self.gossip.on_member_changed.append(self.consensus.on_member_changed)
        if operator_config.failover.is_enabled:
            self._start_failover(operator_config, config, relay)
        folder = socket_folder(operator_config.status.folder)
        if folder is not None:
            self.admin_socket = AdminSocket(folder / f"{number}.rules", self.consensus.handle_admin_request)

    def _start_sharded_directory(
        self, operator_config: OperatorConfig, number: int, config: Config, relay: Relay
    ) -> None:
        try:
            from ..sharded_directory.node import ShardedDirectory  # imported only if enabled
        except ImportError as error:
            raise ConfigError(f"shards: needs the extra 'fleet' ({error})") from error
        self.sharded_directory = ShardedDirectory(operator_config.shards, self.gossip, relay, number, config)
        relay.use_destination_interest(self.sharded_directory, self.sharded_directory)

    def _start_failover(self, operator_config: OperatorConfig, config: Config, relay: Relay) -> None:
        from ..failover.node import Failover  # imported only if enabled

        unknown = sorted({*operator_config.failover.zones} ^ {*config.zones})
        if unknown:
            raise ConfigError(
                f"failover.zones: must be those of the platform, {', '.join(config.zones)}: "
                f"{', '.join(unknown)} differ"
            )
        assert self.consensus is not None
        self.failover = Failover(operator_config.failover, self.gossip, self.consensus, relay)

    async def start(self) -> None:
        """Opens the sockets. Raises ConfigError if an address is not available."""
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
            except StatusError as error:  # the instance works without an admin socket
                log.error(LogEvent("admin socket not available", why=error))

    def close(self) -> None:
        """Announces the departure to the other instances, and closes."""
        if self.admin_socket is not None:
            self.admin_socket.close()
        self.gossip.leave()
        if self.consensus is not None:
            self.consensus.leave()

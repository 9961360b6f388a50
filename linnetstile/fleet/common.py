"""What instances do in common, put together: peers, and the rules on which they agree. Only where it is
on."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from ..config import Config, ConfigError
from ..core.host import Host
from ..logs import Note
from ..peers.identity import IdentityError, claimed
from ..peers.node import Node
from .operator import Operator
from .status import StatusError, folder_of

if TYPE_CHECKING:
    from ..accord.control import ControlSocket
    from ..accord.node import Accord
    from ..failover.node import Failover
    from ..shards.node import Shards

log = logging.getLogger(__name__)

FOLDER = "peers"  # in the state folder


class Common:
    def __init__(self, told: Operator, number: int, config: Config, host: Host) -> None:
        """Raises ConfigError; nothing listens yet. From here on nothing is sent that no rules allow."""
        folder = config.state / FOLDER
        try:
            self.identity = claimed(folder, f"n{number}")
        except (IdentityError, OSError) as error:
            raise ConfigError(str(error)) from error
        zone = config.zones[config.settings.zone] if config.settings.zone < len(config.zones) else ""
        try:
            from ..accord.caps import HERE

            self.peers = Node(told.peers, self.identity, folder, number, zone, HERE)
        except (OSError, ValueError) as error:
            raise ConfigError(f"peers.{error}") from error
        self.accord: Accord | None = None
        self.control: ControlSocket | None = None
        self.failover: Failover | None = None
        self.closing: asyncio.Task[None] | None = None
        self.shards: Shards | None = None
        if told.shards.on:
            self._keep(told, number, config, host)
        if told.accord.on:
            self._agree(told, number, config, host)

    def _agree(self, told: Operator, number: int, config: Config, host: Host) -> None:
        try:
            from ..accord.control import ControlSocket
            from ..accord.node import Accord
            from ..accord.terms import Counts
        except ImportError as error:
            raise ConfigError(f"accord: needs the extra 'fleet' ({error})") from error
        tally = host.messages.tally

        def counts() -> Counts:
            delivered = tally["delivered"]
            return Counts(delivered, delivered + tally["failed"] + tally["returned"])

        self.accord = Accord(
            told.accord,
            self.peers,
            config.state / FOLDER,
            self.identity,
            config.settings,
            config.zones,
            told.fleet.instances,
            host.retell,
            counts,
        )
        host.rule(self.accord)
        self.peers.changed.append(self.accord.member_changed)
        if told.failover.on:
            self._plan(told, config, host)
        folder = folder_of(told.status.folder)
        if folder is not None:
            self.control = ControlSocket(folder / f"{number}.rules", self.accord.asked)

    def _keep(self, told: Operator, number: int, config: Config, host: Host) -> None:
        try:
            from ..shards.node import Shards  # only where it is on
        except ImportError as error:
            raise ConfigError(f"shards: needs the extra 'fleet' ({error})") from error
        self.shards = Shards(told.shards, self.peers, host, number, config)
        host.by_interest(self.shards, self.shards)

    def _plan(self, told: Operator, config: Config, host: Host) -> None:
        from ..failover.node import Failover  # only where it is on

        unknown = sorted({*told.failover.zones} ^ {*config.zones})
        if unknown:
            raise ConfigError(
                f"failover.zones: must be those of the platform, {', '.join(config.zones)}: "
                f"{', '.join(unknown)} differ"
            )
        assert self.accord is not None
        self.failover = Failover(told.failover, self.peers, self.accord, host)

    async def start(self) -> None:
        """Raises ConfigError where the place can't be had."""
        try:
            await self.peers.start()
        except OSError as error:
            raise ConfigError(f"peers.listen: {error.strerror or error}") from error
        if self.shards is not None:
            self.shards.start()
        if self.accord is not None:
            self.accord.start()
        if self.failover is not None:
            self.failover.start()
        if self.control is not None:
            try:
                await self.control.open()
            except StatusError as error:  # one that can't be asked still serves
                log.error(Note("no questions on rules are answered", why=error))

    def close(self) -> None:
        """Called as the process ends: says so to the others, and lets go."""
        if self.control is not None:
            self.control.close()
        self.peers.leave()
        if self.accord is not None:
            self.accord.leave()

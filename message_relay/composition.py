"""Puts a relay together from its configuration: the platform's fronts, transport and source of members."""

from __future__ import annotations

import logging
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from .amqp.settings import AmqpSettings
from .config import Config, ConfigError
from .core.ports import EndpointSource, EndpointUpdate, Intake, Transport
from .core.relay import Relay
from .core.transport_router import TransportRouter
from .endpoint_discovery.source_merge import SourceMerge
from .fleet.socket_activation import CLIENT_SOCKET
from .http import client_intake
from .http.discovery_client import DiscoveryClient
from .http.endpoint_client import EndpointClient
from .http.listener import ACCEPT_BATCH
from .structured_logging import LogEvent

log = logging.getLogger(__name__)

REGISTER, AMQP = "", "amqp"  # sources of members, by the name that their updates have
# The loop's, the log's, the listener's, the journal's, two agents' and a file's.
OWN_SOCKETS = 24 + ACCEPT_BATCH
# descriptors, and those of connections that are just being taken


@dataclass(frozen=True, slots=True)
class ComposedRelay:
    relay: Relay
    intake: client_intake.ClientIntake
    transport: EndpointClient
    discovery: DiscoveryClient
    initial_endpoints: EndpointUpdate | None

    async def start(self) -> None:
        await self.relay.start(self.initial_endpoints)


def compose(
    config: Config, sockets: Mapping[str, socket.socket] | None = None, amqp: AmqpSettings | None = None
) -> ComposedRelay:
    """With the listening sockets that a service manager has handed over, and the operator's brokers, if any.
    Raises ConfigError where these cannot be used."""
    settings, host = config.settings, Relay(config)
    idle, ending = max(1, config.sockets // 8), max(1, config.sockets // 16)
    # Clients get what calls cannot need: so a flood of connections leaves every call its descriptor.
    clients = config.sockets - OWN_SOCKETS - settings.max_concurrent_attempts - idle - ending
    http = client_intake.ClientIntake(
        host.messages, config, max(1, clients), config.sockets // 12, (sockets or {}).get(CLIENT_SOCKET)
    )
    calls = EndpointClient(
        settings.idle_ms, settings.connect_timeout_ms, idle, ending, settings.report_fields
    )
    register = DiscoveryClient(config.discovery, settings.relays, config.seed, settings.polls_discovery)
    intakes: dict[str, Intake] = {client_intake.NAME: http}
    transport: Transport = calls
    sources: list[EndpointSource] = [register]
    merge: SourceMerge | None = None  # one source needs no rule
    if amqp is not None and amqp.brokers:
        queues, publishing, named = brokers(amqp, config, host)
        intakes |= queues
        transport, sources = TransportRouter(calls, {"amqp": publishing}), [register, named]
        merge = SourceMerge([REGISTER, AMQP])
    host.connect(intakes, transport, sources, merge)
    known: EndpointUpdate | None = None
    if config.known:
        try:
            known = register.load_configured(config.known)
        except ValueError as error:
            log.warning(LogEvent("known endpoints rejected", why=error))
    return ComposedRelay(host, http, calls, register, known)


def brokers(
    part: AmqpSettings, config: Config, host: Relay
) -> tuple[dict[str, Intake], Transport, EndpointSource]:
    """Imported here: the platform's memory stays as it is."""
    try:
        from .amqp import intake
        from .amqp.source import ConfiguredEndpoints
        from .amqp.transport import BrokerPublisher

        rng = Random(config.seed)
        publishing = BrokerPublisher(part, rng)
        longest = {each.name: each.deadline_ms for each in config.settings.classes}
        taking = intake.QueueIntake(part.queues, publishing.brokers, host.messages, longest, rng)
        # Also where no queue is named any more: answers to what came by one may still be owed.
        return {intake.NAME: taking}, publishing, ConfiguredEndpoints(part)
    except ImportError as error:
        raise ConfigError(f"amqp: needs the extra 'amqp' ({error})") from error
    except ValueError as error:
        raise ConfigError(str(error)) from error

"""Composition root: builds a relay from its configuration.

The platform's intake, transport and endpoint source are always included; those of brokers only if the
operator's file names any.
"""

from __future__ import annotations

import logging
import socket
import time
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from .amqp.settings import AmqpSettings
from .config import BASE_MEMORY_MB, Config, ConfigError
from .core.memory_account import MemoryAccount
from .core.memory_plan import (
    BYTES_PER_MB,
    MAX_INPUT_BYTES,
    MAX_LIST_BYTES,
    InsufficientMemoryError,
    MemoryPlan,
    plan_memory,
)
from .core.ports import EndpointSource, EndpointUpdate, Intake, Transport, UpdateMerge
from .core.relay import Relay
from .core.transport_router import TransportRouter
from .endpoint_discovery.source_merge import SourceMerge
from .fleet.socket_activation import CLIENT_SOCKET
from .gc_policy import DEFAULT_GROWTH_BYTES, GC_GROWTH_DIVISOR, ConnectionGarbage
from .http import client_intake
from .http.discovery_calls import MAX_CALLS
from .http.discovery_client import DiscoveryClient
from .http.endpoint_client import EndpointClient
from .http.listener import ACCEPT_BATCH
from .memory_watch import MemoryWatch
from .structured_logging import LogEvent

log = logging.getLogger(__name__)

# Names of the endpoint sources in their updates.
DISCOVERY_SOURCE = ""
AMQP_SOURCE = "amqp"
AMQP_SCHEME = "amqp"  # scheme of the addresses of a broker's queues
# Descriptors reserved for the loop, the log, the listener, the journal, two agent connections and a file, and
# for discovery calls and connections that are being accepted.
OWN_SOCKETS = 24 + MAX_CALLS + ACCEPT_BATCH
# Each use gets the total number of descriptors divided by one of these.
IDLE_DIVISOR = 8  # idle connections to endpoints
RECEIVING_DIVISOR = 16  # connections whose response is not complete
CROWDING_DIVISOR = 12  # idle client connections from which on idle ones are closed early


@dataclass(frozen=True, slots=True)
class ComposedRelay:
    """A relay with its intake, transport and discovery client."""

    relay: Relay
    intake: client_intake.ClientIntake
    transport: EndpointClient
    discovery: DiscoveryClient
    memory: MemoryPlan | None  # None: the configuration names no limit
    memory_watch: MemoryWatch | None
    initial_endpoints: EndpointUpdate | None

    async def start(self) -> None:
        """Starts the relay with the endpoints that the configuration lists, if any."""
        await self.relay.start(self.initial_endpoints)


@dataclass(frozen=True, slots=True)
class BrokerParts:
    """The intakes, transport and endpoint source for message brokers."""

    intakes: dict[str, Intake]
    transport: Transport
    source: EndpointSource


def compose(
    config: Config,
    sockets: Mapping[str, socket.socket] | None = None,
    amqp: AmqpSettings | None = None,
    program_bytes: int = BASE_MEMORY_MB * BYTES_PER_MB,
) -> ComposedRelay:
    """Builds a relay. Raises ConfigError if the brokers cannot be used, or the memory limit is too small.

    `sockets`: listening sockets inherited from a service manager. `amqp`: the settings of the operator's
    brokers. `program_bytes`: the memory that the program takes; by default as in a process of its own.
    """
    max_clients = _max_clients(config)
    memory = _plan_memory(config, max_clients, program_bytes)
    relay = Relay(config, memory)
    client = _endpoint_client(config, memory)
    max_clients = max_clients if memory is None else memory.max_clients
    input_bytes = memory.input_bytes if memory else MAX_INPUT_BYTES
    input_account = MemoryAccount("input", input_bytes, time.monotonic)
    intake = client_intake.ClientIntake(
        relay.messages,
        config,
        max_clients,
        min(config.sockets // CROWDING_DIVISOR, max(1, max_clients // 2)),
        input_account,
        ConnectionGarbage(garbage_limit_bytes(memory)).add_connection,
        (sockets or {}).get(CLIENT_SOCKET),
    )
    settings = config.settings
    discovery = DiscoveryClient(
        config.discovery,
        settings.relays,
        config.seed,
        settings.polls_discovery,
        max_list_bytes=memory.max_list_bytes if memory else MAX_LIST_BYTES,
    )
    intakes: dict[str, Intake] = {client_intake.NAME: intake}
    transport: Transport = client
    sources: list[EndpointSource] = [discovery]
    update_merge: UpdateMerge | None = None  # not needed for a single source
    if amqp is not None and amqp.brokers:
        brokers = _broker_parts(amqp, config, relay)
        intakes |= brokers.intakes
        transport = TransportRouter(client, {AMQP_SCHEME: brokers.transport})
        sources.append(brokers.source)
        update_merge = SourceMerge([DISCOVERY_SOURCE, AMQP_SOURCE])
    relay.connect(intakes, transport, sources, update_merge)
    initial_endpoints = _initial_endpoints(config, discovery)
    watch = None if memory is None else MemoryWatch(relay, memory, input_account)
    return ComposedRelay(relay, intake, client, discovery, memory, watch, initial_endpoints)


def garbage_limit_bytes(memory: MemoryPlan | None) -> int:
    """Returns how much garbage may be there before it is collected."""
    return DEFAULT_GROWTH_BYTES if memory is None else memory.limit_bytes // GC_GROWTH_DIVISOR


def _max_clients(config: Config) -> int:
    """Returns the number of client connections that the descriptors allow.

    Client connections get only the descriptors that calls cannot need, so that a flood of connections leaves
    a descriptor for every call.
    """
    max_attempts = 2 * config.settings.max_concurrent_attempts  # as many may wait for late connections
    others = OWN_SOCKETS + max_attempts + _max_idle(config) + _max_receiving(config)
    return max(1, config.sockets - others)


def _plan_memory(config: Config, max_clients: int, program_bytes: int) -> MemoryPlan | None:
    """Divides the memory limit, before anything is received. Raises ConfigError if it is too small."""
    if config.memory_mb is None:
        return None
    is_on_platform = config.sync_ms is None
    try:
        return plan_memory(
            config.memory_mb, program_bytes, config.disk_bytes, max_clients, files_count=is_on_platform
        )
    except InsufficientMemoryError as error:
        raise ConfigError(str(error)) from error


def _max_idle(config: Config) -> int:
    return max(1, config.sockets // IDLE_DIVISOR)


def _max_receiving(config: Config) -> int:
    return max(1, config.sockets // RECEIVING_DIVISOR)


def _endpoint_client(config: Config, memory: MemoryPlan | None) -> EndpointClient:
    settings = config.settings
    max_receiving = _max_receiving(config)
    return EndpointClient(
        settings.idle_ms,
        settings.connect_timeout_ms,
        _max_idle(config),
        max_receiving if memory is None else min(max_receiving, memory.max_receiving),
        settings.report_fields,
    )


def _initial_endpoints(config: Config, discovery: DiscoveryClient) -> EndpointUpdate | None:
    """Returns the endpoints that the configuration lists; None if it lists none or an invalid list."""
    if not config.known_endpoints:
        return None
    try:
        return discovery.load_configured(config.known_endpoints)
    except ValueError as error:
        log.warning(LogEvent("known endpoints rejected", why=error))
        return None


def _broker_parts(settings: AmqpSettings, config: Config, relay: Relay) -> BrokerParts:
    """Creates the components for brokers; imports them only if needed, to save memory on the platform."""
    try:
        from .amqp.deliveries import NAME
        from .amqp.intake import QueueIntake
        from .amqp.source import ConfiguredEndpoints
        from .amqp.transport import BrokerPublisher

        rng = Random(config.seed)
        publisher = BrokerPublisher(settings, rng)
        deadlines_ms = {cls.name: cls.deadline_ms for cls in config.settings.classes}
        queues = QueueIntake(settings.queues, publisher.brokers, relay.messages, deadlines_ms, rng)
        # Created even if no queue is configured any more: outcomes of messages from a former queue may still
        # be owed.
        return BrokerParts({NAME: queues}, publisher, ConfiguredEndpoints(settings))
    except ImportError as error:
        raise ConfigError(f"amqp: needs the extra 'amqp' ({error})") from error
    except ValueError as error:
        raise ConfigError(str(error)) from error

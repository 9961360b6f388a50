"""Puts a relay together from its configuration: the platform's fronts, transport and source of members."""

from __future__ import annotations

import logging
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from .amqp.settings import AmqpPart
from .config import Config, ConfigError
from .core.host import Host
from .core.seams import Intake, Membership, Transport, Update
from .core.transports import Transports
from .fleet.handover import CLIENTS
from .http import front
from .http.calls import Calls
from .http.listener import AT_ONCE
from .http.register import Register
from .logs import Note
from .membership.merge import Merge

log = logging.getLogger(__name__)

REGISTER, AMQP = "", "amqp"  # sources of members, by the name that their updates have
OWN_SOCKETS = 24 + AT_ONCE  # the loop's, the log's, the listener's, the journal's, two agents' and a file's
# descriptors, and those of connections that are just being taken


@dataclass(frozen=True, slots=True)
class Assembly:
    host: Host
    front: front.Front
    calls: Calls
    register: Register
    known: Update | None

    async def start(self) -> None:
        await self.host.start(self.known)


def assemble(
    config: Config, sockets: Mapping[str, socket.socket] | None = None, amqp: AmqpPart | None = None
) -> Assembly:
    """With the listening sockets that a service manager has handed over, and the operator's brokers, if any.
    Raises ConfigError where these cannot be used."""
    settings, host = config.settings, Host(config)
    idle, ending = max(1, config.sockets // 8), max(1, config.sockets // 16)
    # Clients get what calls cannot need: so a flood of connections leaves every call its descriptor.
    clients = config.sockets - OWN_SOCKETS - settings.slots - idle - ending
    http = front.Front(
        host.messages, config, max(1, clients), config.sockets // 12, (sockets or {}).get(CLIENTS)
    )
    calls = Calls(settings.idle_ms, settings.connect_timeout_ms, idle, ending, settings.report_fields)
    register = Register(config.discovery, settings.relays, config.seed, settings.ask_for_list)
    intakes: dict[str, Intake] = {front.NAME: http}
    transport: Transport = calls
    sources: list[Membership] = [register]
    merge: Merge | None = None  # one source needs no rule
    if amqp is not None and amqp.brokers:
        queues, publishing, named = brokers(amqp, config, host)
        intakes |= queues
        transport, sources = Transports(calls, {"amqp": publishing}), [register, named]
        merge = Merge([REGISTER, AMQP])
    host.plug_in(intakes, transport, sources, merge)
    known: Update | None = None
    if config.known:
        try:
            known = register.known(config.known)
        except ValueError as error:
            log.warning(Note("the known list of endpoints is passed over", why=error))
    return Assembly(host, http, calls, register, known)


def brokers(part: AmqpPart, config: Config, host: Host) -> tuple[dict[str, Intake], Transport, Membership]:
    """Imported here: the platform's memory stays as it is."""
    try:
        from .amqp import intake
        from .amqp.source import Named
        from .amqp.transport import Publishing

        rng = Random(config.seed)
        publishing = Publishing(part, rng)
        longest = {each.name: each.deadline_ms for each in config.settings.classes}
        taking = intake.Intake(part.queues, publishing.brokers, host.messages, longest, rng)
        # Also where no queue is named any more: answers to what came by one may still be owed.
        return {intake.NAME: taking}, publishing, Named(part)
    except ImportError as error:
        raise ConfigError(f"amqp: needs the extra 'amqp' ({error})") from error
    except ValueError as error:
        raise ConfigError(str(error)) from error

"""What the operator's file says of brokers: [amqp] in deploy/relay.toml. Imports nothing of the extra."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

PREFIX = "amqp:"  # of an endpoint's address: no host has a colon in it


class BrokerPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A broker, at one or several addresses."""

    name: str
    hosts: Annotated[list[str], Meta(min_length=1, max_length=16)]  # HOST:PORT, tried in turn
    vhost: str = "/"
    credentials: str = ""  # a file with two lines: user, password; empty: guest
    heartbeat_s: Annotated[int, Meta(ge=0, le=600)] = 10

    def __post_init__(self) -> None:
        for host in self.hosts:
            name, _, port = host.rpartition(":")
            if not name or not port.isdecimal() or not 0 < int(port) < 65536:
                raise ValueError(f"hosts: {host!r} is not HOST:PORT")


class TargetPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An endpoint: an exchange and a routing key of a broker."""

    name: str
    destination: Annotated[int, Meta(ge=0, le=2**32 - 1)]
    broker: str
    routing_key: str
    exchange: str = ""  # the default one: the routing key is a queue's name
    rate: Annotated[float, Meta(ge=0)] = 0.0  # calls a second that are agreed; 0: none is
    nack: Literal["may_have_run", "never_ran"] = "may_have_run"  # what a basic.nack of it proves


class QueuePart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A queue that messages are taken from."""

    broker: str
    queue: str
    prefetch: Annotated[int, Meta(ge=1, le=1000)] = 20  # deliveries that are not acknowledged yet, at most


class AmqpPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    brokers: list[BrokerPart] = []
    endpoints: list[TargetPart] = []
    queues: list[QueuePart] = []

    def __post_init__(self) -> None:
        names = [broker.name for broker in self.brokers]
        if len(set(names)) < len(names):
            raise ValueError(f"brokers.name: {names} must differ from each other")
        targets = [target.name for target in self.endpoints]
        if len(set(targets)) < len(targets):
            raise ValueError(f"endpoints.name: {targets} must differ from each other")
        known = ", ".join(names) or "none"
        for where, told in (
            ("endpoints", [each.broker for each in self.endpoints]),
            ("queues", [each.broker for each in self.queues]),
        ):
            for broker in told:
                if broker not in names:
                    raise ValueError(f"{where}.broker: {broker!r}: brokers are {known}")


def credentials(part: BrokerPart) -> tuple[str, str]:
    """User and password. Raises ValueError, which never holds what the file says."""
    if not part.credentials:
        return "guest", "guest"
    try:
        lines = Path(part.credentials).read_text().splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise ValueError(f"amqp.brokers.credentials: {part.credentials}: {type(error).__name__}") from None
    if len(lines) < 2 or not lines[0]:
        raise ValueError(f"amqp.brokers.credentials: {part.credentials}: needs two lines, user and password")
    return lines[0], lines[1]

"""What the operator's file says of brokers: [amqp] in deploy/relay.toml. Imports nothing of the extra."""

from __future__ import annotations

import ssl
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

PREFIX = "amqp:"  # of an endpoint's address: no host has a colon in it


class TlsPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a broker is known, and we to it. Files in PEM."""

    ca: str = ""  # who may have signed the broker's certificate; empty: whom the system trusts
    cert: str = ""  # ours, where the broker asks for one
    key: str = ""
    server_name: str = ""  # that its certificate has to have; empty: the host's

    def __post_init__(self) -> None:
        if bool(self.cert) != bool(self.key):
            raise ValueError("cert, key: both are needed, or neither")


class BrokerPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A broker, at one or several addresses."""

    name: str
    hosts: Annotated[list[str], Meta(min_length=1, max_length=16)]  # HOST:PORT, tried in turn
    vhost: str = "/"
    credentials: str = ""  # a file with two lines: user, password; empty: guest
    heartbeat_s: Annotated[int, Meta(ge=0, le=600)] = 10
    tls: TlsPart | None = None  # None: plain TCP
    external: bool = False  # SASL EXTERNAL: the certificate says who we are; no credentials

    def __post_init__(self) -> None:
        if self.external and (self.tls is None or not self.tls.cert):
            raise ValueError("external: needs tls.cert")
        if self.external and self.credentials:
            raise ValueError("credentials: has no meaning with external")
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


class AmqpSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
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


def context(part: BrokerPart) -> ssl.SSLContext | None:
    """Raises ValueError where a file cannot be used. No less than TLS 1.2 (RFC 9325)."""
    if part.tls is None:
        return None
    try:
        made = ssl.create_default_context(cafile=part.tls.ca or None)
        made.minimum_version = ssl.TLSVersion.TLSv1_2
        if part.tls.cert:
            made.load_cert_chain(part.tls.cert, part.tls.key)
    except OSError as error:  # an SSLError is one
        raise ValueError(
            f"amqp.brokers.tls of {part.name}: {error.strerror or type(error).__name__}"
        ) from None
    return made


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

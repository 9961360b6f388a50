"""Settings of brokers: [amqp] in the operator's file (deploy/relay.toml).

Field names are keys of that file, and appear in error messages. This module imports nothing of the extra
`amqp`, so that the file can be checked without it.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Literal

import msgspec
from msgspec import Meta

if TYPE_CHECKING:
    import ssl

ADDRESS_PREFIX = "amqp:"  # of an endpoint's address: no host name contains a colon
MAX_PORT = 65535


class TlsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a broker is authenticated, and the relay to it. Files are in PEM format."""

    ca: str = ""  # CA certificates for the broker's certificate; empty: the system's
    cert: str = ""  # of the relay, where the broker requires one
    key: str = ""
    server_name: str = ""  # name that the broker's certificate must contain; empty: the name in hosts

    def __post_init__(self) -> None:
        if bool(self.cert) != bool(self.key):
            raise ValueError("cert, key: both are needed, or neither")


class BrokerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A broker, at one or several addresses."""

    name: str
    hosts: Annotated[list[str], Meta(min_length=1, max_length=16)]  # HOST:PORT, tried in turn
    vhost: str = "/"
    credentials: str = ""  # a file with two lines: user, password; empty: guest
    heartbeat_s: Annotated[int, Meta(ge=0, le=600)] = 10
    tls: TlsSettings | None = None  # None: plain TCP
    external: bool = False  # SASL EXTERNAL: the certificate identifies the relay; no credentials

    def __post_init__(self) -> None:
        if self.external and (self.tls is None or not self.tls.cert):
            raise ValueError("external: needs tls.cert")
        if self.external and self.credentials:
            raise ValueError("credentials: has no meaning with external")
        for host in self.hosts:
            name, _, port = host.rpartition(":")
            if not name or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
                raise ValueError(f"hosts: {host!r} is not HOST:PORT")


class EndpointSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An endpoint: an exchange and a routing key of a broker."""

    name: str
    destination: Annotated[int, Meta(ge=0, le=2**32 - 1)]
    broker: str
    routing_key: str
    exchange: str = ""  # empty: the default exchange, where the routing key is the name of a queue
    rate: Annotated[float, Meta(ge=0)] = 0.0  # agreed attempts a second; 0: none is agreed
    nack: Literal["may_have_run", "never_ran"] = "may_have_run"  # what a basic.nack proves


class QueueSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A queue that messages are consumed from."""

    broker: str
    queue: str
    prefetch: Annotated[int, Meta(ge=1, le=1000)] = 20  # maximum number of unacknowledged deliveries


class AmqpSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The [amqp] section."""

    brokers: list[BrokerSettings] = []
    endpoints: list[EndpointSettings] = []
    queues: list[QueueSettings] = []

    def __post_init__(self) -> None:
        names = [broker.name for broker in self.brokers]
        if len(set(names)) < len(names):
            raise ValueError(f"brokers.name: {names} must differ from each other")
        targets = [target.name for target in self.endpoints]
        if len(set(targets)) < len(targets):
            raise ValueError(f"endpoints.name: {targets} must differ from each other")
        known = ", ".join(names) or "none"
        references = [("endpoints", endpoint.broker) for endpoint in self.endpoints]
        references += [("queues", queue.broker) for queue in self.queues]
        for section, broker in references:
            if broker not in names:
                raise ValueError(f"{section}.broker: {broker!r}: brokers are {known}")


def make_tls_context(broker: BrokerSettings) -> ssl.SSLContext | None:
    """The TLS context for a broker, None for plain TCP; no less than TLS 1.2 (RFC 9325).

    Raises ValueError if a file cannot be used.
    """
    if broker.tls is None:
        return None
    import ssl  # only where it is used: it takes 5 MB

    try:
        context = ssl.create_default_context(cafile=broker.tls.ca or None)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        if broker.tls.cert:
            context.load_cert_chain(broker.tls.cert, broker.tls.key)
    except OSError as error:  # SSLError is a subclass
        reason = error.strerror or type(error).__name__
        raise ValueError(f"amqp.brokers.tls of {broker.name}: {reason}") from None
    return context


def read_credentials(broker: BrokerSettings) -> tuple[str, str]:
    """User and password. Raises ValueError, whose text never contains the content of the file."""
    path = broker.credentials
    if not path:
        return "guest", "guest"
    try:
        lines = Path(path).read_text().splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise ValueError(f"amqp.brokers.credentials: {path}: {type(error).__name__}") from None
    if len(lines) < 2 or not lines[0]:
        raise ValueError(f"amqp.brokers.credentials: {path}: needs two lines, user and password")
    return lines[0], lines[1]

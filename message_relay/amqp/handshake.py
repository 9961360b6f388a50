"""The start of a connection: authentication, and the limits on which both sides agree. It does no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from pamqp import commands

from .frames import MIN_FRAME_BYTES, FrameError

FRAME_MAX = 131_072  # bytes, requested from the broker; a body of 64 KiB fits into one frame
CHANNEL_MAX = 64  # requested from the broker; only a few are used
PROTOCOL_VERSION = (0, 9)
PRODUCT = "linnetstile"
CAPABILITIES = {
    "publisher_confirms": True,
    "basic.nack": True,
    "connection.blocked": True,
    "consumer_cancel_notify": True,
}


@dataclass(frozen=True, slots=True)
class Login:
    """How the relay identifies itself to a broker."""

    user: str = "guest"
    password: str = field(default="guest", repr=False)
    vhost: str = "/"
    external: bool = False  # SASL EXTERNAL: the client certificate identifies the relay
    heartbeat_s: int = 10  # requested from the broker; 0: no heartbeats
    name: str = PRODUCT


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """The limits of a connection after tuning."""

    frame_max: int  # bytes
    channel_max: int
    heartbeat_s: int  # 0: no heartbeats


def start_ok(login: Login, start: commands.Connection.Start) -> commands.Connection.StartOk:
    """Returns the reply to connection.start. Raises FrameError for another version or mechanism."""
    mechanism = "EXTERNAL" if login.external else "PLAIN"
    offered = str(start.mechanisms).split()
    if (start.version_major, start.version_minor) != PROTOCOL_VERSION:
        raise FrameError(501, f"the broker speaks {start.version_major}-{start.version_minor}")
    if mechanism not in offered:
        raise FrameError(504, f"the broker offers {' '.join(offered)[:100]}, and not {mechanism}")
    response = "" if login.external else f"\0{login.user}\0{login.password}"
    properties: dict[str, Any] = {
        "product": PRODUCT,
        "connection_name": login.name,
        "capabilities": CAPABILITIES,
    }
    return commands.Connection.StartOk(properties, mechanism, response)


def negotiate(login: Login, tune: commands.Connection.Tune) -> ConnectionLimits:
    """Returns the lower of both values of each limit (1.4.2.6). Raises FrameError if frames are too small."""
    frame_max = _lower_limit(FRAME_MAX, tune.frame_max or 0)
    if frame_max < MIN_FRAME_BYTES:
        raise FrameError(
            501, f"the broker wants frames of {frame_max} bytes: {MIN_FRAME_BYTES} are the least"
        )
    heartbeats = (login.heartbeat_s, tune.heartbeat or 0)
    return ConnectionLimits(
        frame_max,
        _lower_limit(CHANNEL_MAX, tune.channel_max or 0),
        min(heartbeats) if all(heartbeats) else 0,
    )


def _lower_limit(client_limit: int, server_limit: int) -> int:
    """Returns the lower limit, where 0 means no limit."""
    if client_limit and server_limit:
        return min(client_limit, server_limit)
    return client_limit or server_limit

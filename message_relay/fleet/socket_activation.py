"""Socket activation: listening sockets inherited from the service manager, as in sd_listen_fds(3).

The manager holds them open while this process restarts, so that clients that connect meanwhile wait in the
accept queue instead of being refused.
"""

from __future__ import annotations

import os
import socket
from collections.abc import MutableMapping

FIRST_DESCRIPTOR = 3  # first inherited descriptor (SD_LISTEN_FDS_START)
MAX_SOCKETS = 16
CLIENT_SOCKET = "clients"  # name of the socket for client connections


class SocketActivationError(ValueError):
    """The inherited descriptors or their environment variables are not valid."""


def inherited_sockets(
    env: MutableMapping[str, str] = os.environ, first: int = FIRST_DESCRIPTOR
) -> dict[str, socket.socket]:
    """Return the inherited sockets by name; none if they are meant for another process.

    A single socket without a name is used for clients. Removes the variables from the environment. Raises
    SocketActivationError."""
    pid, number = env.pop("LISTEN_PID", ""), env.pop("LISTEN_FDS", "")
    names = env.pop("LISTEN_FDNAMES", "")
    if not number or pid != str(os.getpid()):
        return {}
    if not number.isdecimal() or not 0 < int(number) <= MAX_SOCKETS:
        raise SocketActivationError(f"LISTEN_FDS: {number!r} must be a number from 1 to {MAX_SOCKETS}")
    named = names.split(":") if names else []
    if len(named) not in (0, int(number)) or len(set(named)) != len(named):
        raise SocketActivationError(f"LISTEN_FDNAMES: {names!r} must give {number} different names, or none")
    sockets: dict[str, socket.socket] = {}
    for n in range(int(number)):
        try:
            os.set_inheritable(first + n, False)
            sock = socket.socket(fileno=first + n)
            listens = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        except OSError as error:
            raise SocketActivationError(
                f"LISTEN_FDS: descriptor {first + n} is no socket: {error}"
            ) from error
        if sock.type != socket.SOCK_STREAM or not listens:
            raise SocketActivationError(f"LISTEN_FDS: descriptor {first + n} is no listening stream socket")
        sockets[named[n] if named else CLIENT_SOCKET if n == 0 else str(n)] = sock
    if CLIENT_SOCKET not in sockets and len(sockets) == 1 and named in (["unknown"], ["connection"]):
        return {CLIENT_SOCKET: next(iter(sockets.values()))}
    return sockets

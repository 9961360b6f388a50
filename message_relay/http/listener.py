"""Accepts connections from the kernel only while there is capacity for them.

A connection that waits in the kernel's queue uses no descriptor, and costs its client only the wait. If it
were accepted and closed again, the client would have to retry elsewhere.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import select
import socket
from collections.abc import Callable

from ..core.tasks import BackgroundTasks
from ..structured_logging import LogEvent
from .socket_state import poll_socket

log = logging.getLogger(__name__)

BACKLOG = 1024  # length of the kernel's queue; in a short one a flood would displace later connections
ACCEPT_BATCH = 16  # per loop iteration; composition.OWN_SOCKETS reserves descriptors for them
MAX_FREE_ACCEPTS = 64  # per loop iteration, while connections are far below their limit
RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Listener:
    """Listening sockets that stop accepting while there is no capacity.

    `has_capacity` is called before each connection is accepted. Once it returns False, no connection is
    accepted until `resume` is called. `has_free_capacity` returns whether there is capacity without it.
    """

    def __init__(
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        has_capacity: Callable[[], bool],
        has_free_capacity: Callable[[], bool] = lambda: False,
    ) -> None:
        self.protocol_factory = protocol_factory
        self.has_capacity = has_capacity
        self.has_free_capacity = has_free_capacity
        self.sockets: list[socket.socket] = []
        self.starting_count = 0  # accepted connections whose protocol is not connected yet
        self.is_paused = False
        self.tasks = BackgroundTasks()

    def listen(self, host: str, port: int, inherited_socket: socket.socket | None = None) -> None:
        """Listen at an address, or on an inherited socket. Raises OSError."""
        if inherited_socket is not None:
            inherited_socket.listen(BACKLOG)
            self.sockets = [inherited_socket]
        else:
            address_infos = socket.getaddrinfo(
                host or None, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE
            )
            for family, address in dict.fromkeys((info[0], info[4]) for info in address_infos):
                self.sockets.append(socket.create_server(address[:2], family=family, backlog=BACKLOG))
        for sock in self.sockets:
            sock.setblocking(False)
        self._start_accepting()

    @property
    def port(self) -> int:
        """The port of the first socket."""
        return int(self.sockets[0].getsockname()[1])

    def resume(self) -> None:
        """Accept again after a pause, as there may be capacity now."""
        if self.is_paused:
            self.is_paused = False
            self._start_accepting()

    def _start_accepting(self) -> None:
        for sock in self.sockets:
            asyncio.get_running_loop().add_reader(sock.fileno(), self._accept_ready, sock, ACCEPT_BATCH)

    def _pause_accepting(self) -> None:
        """Stop polling the sockets: they stay readable, which would keep the loop busy."""
        self.is_paused = True
        for sock in self.sockets:
            asyncio.get_running_loop().remove_reader(sock.fileno())

    def _accept_ready(self, sock: socket.socket, limit: int) -> None:
        for count in range(max(limit, MAX_FREE_ACCEPTS)):
            if count >= limit and not self.has_free_capacity():
                return
            # Checked first: `has_capacity` may evict a connection, which is only justified if another one
            # waits.
            if not poll_socket(sock, select.POLLIN):
                return
            if not self.has_capacity():
                self._pause_accepting()
                return
            try:
                accepted, _ = sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                if error.errno not in RESOURCE_ERRORS:
                    raise
                log.warning(LogEvent("client connection accept failed", why=error))
                self._pause_accepting()
                return
            accepted.setblocking(False)
            self.starting_count += 1
            self.tasks.start(self._start_connection(accepted))

    async def _start_connection(self, accepted: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(self.protocol_factory, accepted)
        except OSError:  # the client has disconnected
            accepted.close()
        finally:
            self.starting_count -= 1

    def close(self) -> None:
        """Accept the waiting connections, then close: closing a socket resets those in its queue."""
        for sock in self.sockets:
            if not self.is_paused:
                self._accept_ready(sock, BACKLOG)
            asyncio.get_running_loop().remove_reader(sock.fileno())
            sock.close()
        self.sockets = []

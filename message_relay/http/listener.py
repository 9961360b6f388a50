"""Takes connections from the system only as long as there is room for them: what waits in its queue costs no
descriptor, and its client nothing but the wait. Taken on and closed again, it would have to ask elsewhere."""

from __future__ import annotations

import asyncio
import errno
import logging
import select
import socket
from collections.abc import Callable

from ..core.tasks import BackgroundTasks
from ..structured_logging import LogEvent

log = logging.getLogger(__name__)

BACKLOG = 512  # connections that the system keeps for us: a flood must not push out those behind it
ACCEPT_BATCH = 16  # taken in one turn of the loop: their descriptors are set aside (assembly.OWN_SOCKETS)
RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def _has_waiting_connection(sock: socket.socket) -> bool:
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


class Listener:
    """`room` is asked before each connection; while it says no, `again` has to be called now and then."""

    def __init__(
        self, protocol_factory: Callable[[], asyncio.Protocol], has_capacity: Callable[[], bool]
    ) -> None:
        self.protocol_factory, self.has_capacity = protocol_factory, has_capacity
        self.sockets: list[socket.socket] = []
        self.starting_count = 0  # taken from the system, and not yet announced to their protocol
        self.is_paused = False
        self.tasks = BackgroundTasks()

    def listen(self, host: str, port: int, inherited_socket: socket.socket | None = None) -> None:
        """At an address, or on a socket that was handed over. Raises OSError."""
        if inherited_socket is not None:
            inherited_socket.listen(BACKLOG)
            self.sockets = [inherited_socket]
        else:
            found = socket.getaddrinfo(host or None, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)
            for family, address in dict.fromkeys((each[0], each[4]) for each in found):
                self.sockets.append(socket.create_server(address[:2], family=family, backlog=BACKLOG))
        for sock in self.sockets:
            sock.setblocking(False)
        self._start_accepting()

    @property
    def port(self) -> int:
        return int(self.sockets[0].getsockname()[1])

    def resume(self) -> None:
        """There may be room by now."""
        if self.is_paused:
            self.is_paused = False
            self._start_accepting()

    def _start_accepting(self) -> None:
        for sock in self.sockets:
            asyncio.get_running_loop().add_reader(sock.fileno(), self._accept_ready, sock, ACCEPT_BATCH)

    def _pause_accepting(self) -> None:
        """Guards the loop against a listener that is readable all the time, and can't be read."""
        self.is_paused = True
        for sock in self.sockets:
            asyncio.get_running_loop().remove_reader(sock.fileno())

    def _accept_ready(self, sock: socket.socket, limit: int) -> None:
        for _ in range(limit):
            if not _has_waiting_connection(sock):  # room may have to be made, which is for nobody else's sake
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
                log.warning(LogEvent("no connection can be taken for now", why=error))
                self._pause_accepting()
                return
            accepted.setblocking(False)
            self.starting_count += 1
            self.tasks.start(self._start_connection(accepted))

    async def _start_connection(self, accepted: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(self.protocol_factory, accepted)
        except OSError:  # it has gone
            accepted.close()
        finally:
            self.starting_count -= 1

    def close(self) -> None:
        """Takes what has come by now, and no more: a queue that is thrown away resets all that wait in it."""
        for sock in self.sockets:
            if not self.is_paused:
                self._accept_ready(sock, BACKLOG)
            asyncio.get_running_loop().remove_reader(sock.fileno())
            sock.close()
        self.sockets = []

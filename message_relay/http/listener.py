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
AT_ONCE = 16  # taken in one turn of the loop: their descriptors are set aside (assembly.OWN_SOCKETS)
NO_ROOM = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def _waited_for(sock: socket.socket) -> bool:
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


class Listener:
    """`room` is asked before each connection; while it says no, `again` has to be called now and then."""

    def __init__(self, made: Callable[[], asyncio.Protocol], room: Callable[[], bool]) -> None:
        self.made, self.room = made, room
        self.sockets: list[socket.socket] = []
        self.coming = 0  # taken from the system, and not yet announced to their protocol
        self.paused = False
        self.tasks = BackgroundTasks()

    def listen(self, host: str, port: int, handed: socket.socket | None = None) -> None:
        """At an address, or on a socket that was handed over. Raises OSError."""
        if handed is not None:
            handed.listen(BACKLOG)
            self.sockets = [handed]
        else:
            found = socket.getaddrinfo(host or None, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)
            for family, address in dict.fromkeys((each[0], each[4]) for each in found):
                self.sockets.append(socket.create_server(address[:2], family=family, backlog=BACKLOG))
        for sock in self.sockets:
            sock.setblocking(False)
        self._watch()

    @property
    def port(self) -> int:
        return int(self.sockets[0].getsockname()[1])

    def again(self) -> None:
        """There may be room by now."""
        if self.paused:
            self.paused = False
            self._watch()

    def _watch(self) -> None:
        for sock in self.sockets:
            asyncio.get_running_loop().add_reader(sock.fileno(), self._take, sock, AT_ONCE)

    def _pause(self) -> None:
        """Guards the loop against a listener that is readable all the time, and can't be read."""
        self.paused = True
        for sock in self.sockets:
            asyncio.get_running_loop().remove_reader(sock.fileno())

    def _take(self, sock: socket.socket, most: int) -> None:
        for _ in range(most):
            if not _waited_for(sock):  # room may have to be made, which is for nobody else's sake
                return
            if not self.room():
                self._pause()
                return
            try:
                taken, _ = sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                if error.errno not in NO_ROOM:
                    raise
                log.warning(LogEvent("no connection can be taken for now", why=error))
                self._pause()
                return
            taken.setblocking(False)
            self.coming += 1
            self.tasks.start(self._begin(taken))

    async def _begin(self, taken: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(self.made, taken)
        except OSError:  # it has gone
            taken.close()
        finally:
            self.coming -= 1

    def close(self) -> None:
        """Takes what has come by now, and no more: a queue that is thrown away resets all that wait in it."""
        for sock in self.sockets:
            if not self.paused:
                self._take(sock, BACKLOG)
            asyncio.get_running_loop().remove_reader(sock.fileno())
            sock.close()
        self.sockets = []

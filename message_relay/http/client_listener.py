"""All client connections: their limit, their deadlines, and eviction to make room for a new one."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections.abc import Callable

from ..core.memory_account import MemoryAccount
from ..core.memory_plan import MAX_INPUT_BYTES
from . import client_limits
from .client_connection import CancelMessage, ClientConnection, RequestHandler
from .input_budget import InputBudget
from .listener import Listener
from .parse_turns import ParseTurns

log = logging.getLogger(__name__)

Group = dict[ClientConnection, None]  # an insertion-ordered set


class ClientListener:
    """Accepts up to `max_connections` connections; it is crowded with `crowding_threshold` idle ones.

    `input_account`: the memory of all unfinished requests, by default as much as the largest share.
    """

    def __init__(
        self,
        handle: RequestHandler,
        cancel: CancelMessage,
        max_connections: int,
        crowding_threshold: int,
        input_account: MemoryAccount | None = None,
        on_closed: Callable[[], None] = lambda: None,
    ) -> None:
        self.handle = handle
        self.cancel = cancel
        self.max_connections = max_connections
        self.crowding_threshold = crowding_threshold
        account = input_account or MemoryAccount("input", MAX_INPUT_BYTES, time.monotonic)
        self.input_budget = InputBudget(account, lambda: asyncio.get_running_loop().time())
        self.on_closed = on_closed  # called for each connection that is removed
        self.parse_turns = ParseTurns()
        self.read_buffer = memoryview(bytearray(client_limits.READ_BYTES))
        self.connections: set[ClientConnection] = set()
        self.silent: Group = {}  # no byte received yet; oldest first
        self.idle_without_submission: Group = {}  # idle, and have submitted no message
        self.idle_submitters: Group = {}  # idle, and have submitted a message; longest idle first
        self.lingering: Group = {}  # the last response was sent; oldest first
        self.listener = Listener(lambda: ClientConnection(self), self._has_capacity, self._has_free_capacity)
        self.is_stopping = False  # each response ends its connection
        self.is_stopped = False

    def listen(self, host: str, port: int, inherited_socket: socket.socket | None = None) -> None:
        """Listen at an address, or on an inherited socket. Raises OSError."""
        self.listener.listen(host, port, inherited_socket)

    async def watch(self) -> None:
        """Check all deadlines at intervals, which costs less than a timer for each connection."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(client_limits.SWEEP_INTERVAL_S)
            self.listener.resume()
            now = loop.time()
            for connection in self._overdue(now):
                try:
                    connection.on_deadline()
                except Exception:
                    log.exception("client connection timeout failed")
                    connection.abort()

    @property
    def is_crowded(self) -> bool:
        """Whether so many connections are idle that no further one is kept open after its response."""
        return len(self.idle_without_submission) + len(self.idle_submitters) >= self.crowding_threshold

    def _overdue(self, now: float) -> set[ClientConnection]:
        overdue = {connection for connection in self.connections if connection.deadline <= now}
        if self.is_crowded:
            latest = now - client_limits.MIN_IDLE_S + client_limits.IDLE_TIMEOUT_S
            idle = (*self.idle_without_submission, *self.idle_submitters)
            overdue.update(connection for connection in idle if connection.deadline <= latest)
        return overdue

    # -- connection states -------------------------------------------------------------------------------

    def add(self, connection: ClientConnection) -> None:
        """Register a new connection, on which nothing has arrived yet."""
        self.connections.add(connection)
        self.silent[connection] = None

    def remove(self, connection: ClientConnection) -> None:
        """Unregister a closed connection, and accept another in its place."""
        if connection in self.connections:
            self.connections.discard(connection)
            self.on_closed()
        self._remove_from_groups(connection)
        self.listener.resume()

    def mark_active(self, connection: ClientConnection) -> None:
        """Note that a request has started on the connection."""
        self._remove_from_groups(connection)

    def mark_idle(self, connection: ClientConnection) -> None:
        """Note that the connection waits for its next request."""
        self._remove_from_groups(connection)
        group = self.idle_submitters if connection.has_submitted else self.idle_without_submission
        group[connection] = None

    def mark_lingering(self, connection: ClientConnection) -> None:
        """Note that the connection has sent its last response."""
        self._remove_from_groups(connection)
        self.lingering[connection] = None

    def _remove_from_groups(self, connection: ClientConnection) -> None:
        for group in (self.silent, self.idle_without_submission, self.idle_submitters, self.lingering):
            group.pop(connection, None)

    # -- capacity ----------------------------------------------------------------------------------------

    def _has_capacity(self) -> bool:
        open_count = len(self.connections) + self.listener.starting_count
        return open_count < self.max_connections or self._evict_one()

    def _has_free_capacity(self) -> bool:
        """Return whether half of the connections are free."""
        return 2 * (len(self.connections) + self.listener.starting_count) < self.max_connections

    def _evict_one(self) -> bool:
        """Evict a connection without an open request; returns whether there was one.

        This keeps descriptors available for attempts, and connections for clients that submit messages. A new
        connection has sent nothing at first either: none is evicted before its first bytes could have
        arrived.
        """
        now = asyncio.get_running_loop().time()
        silent_until = now - client_limits.FIRST_BYTES_S + client_limits.SILENT_TIMEOUT_S
        idle_until = now - client_limits.MIN_IDLE_S + client_limits.IDLE_TIMEOUT_S
        candidates = (
            next(iter(self.lingering), None),
            next((idle for idle in self.idle_without_submission if idle.is_idle_and_unread), None),
            self._oldest_before(self.silent, silent_until),
            self._oldest_before(self.idle_submitters, idle_until),
        )
        victim = next((candidate for candidate in candidates if candidate is not None), None)
        if victim is None:
            return False
        self.remove(victim)
        victim.evict()
        return True

    @staticmethod
    def _oldest_before(group: Group, latest_deadline: float) -> ClientConnection | None:
        """Return the oldest connection of a group, if its deadline is at most `latest_deadline`."""
        oldest = next(iter(group), None)
        if oldest is None or oldest.deadline > latest_deadline or not oldest.is_idle_and_unread:
            return None
        return oldest

    @property
    def port(self) -> int:
        """The listening port."""
        return self.listener.port

    def announce_stop(self) -> None:
        """End each connection with its next response, so that none is closed while a request is on its way.

        A client may send a request at any time on a connection that it keeps open. When idle connections were
        closed right after SIGTERM, some requests that had been written in full got no response.
        """
        self.is_stopping = True

    def stop(self) -> None:
        """Accept no more connections, and drain the open ones."""
        self.is_stopping = True
        self.is_stopped = True
        self.listener.close()
        for connection in list(self.connections):
            connection.drain()

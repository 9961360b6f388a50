"""All connections of clients: their limit, their deadlines, and which of them is evicted for a new one."""

from __future__ import annotations

import asyncio
import logging
import socket

from . import client_limits
from .client_connection import CancelMessage, ClientConnection, RequestHandler
from .listener import Listener

log = logging.getLogger(__name__)

Group = dict[ClientConnection, None]  # a set in the order of arrival


class ClientListener:
    """Accepts up to `max_connections` connections; `crowding_threshold` idle ones count as many."""

    def __init__(
        self, handle: RequestHandler, cancel: CancelMessage, max_connections: int, crowding_threshold: int
    ) -> None:
        self.handle = handle
        self.cancel = cancel
        self.max_connections = max_connections
        self.crowding_threshold = crowding_threshold
        self.connections: set[ClientConnection] = set()
        self.silent: Group = {}  # nothing has arrived on them; oldest first
        self.idle_visitors: Group = {}  # between requests, none of which was a valid message
        self.idle_submitters: Group = {}  # between messages; longest idle first
        self.lingering: Group = {}  # their last response was sent
        self.listener = Listener(lambda: ClientConnection(self), self._has_capacity)
        self.is_stopping = False  # each response ends its connection
        self.is_stopped = False

    def listen(self, host: str, port: int, inherited_socket: socket.socket | None = None) -> None:
        """Listen at an address, or on a socket that was handed over. Raises OSError."""
        self.listener.listen(host, port, inherited_socket)

    async def watch(self) -> None:
        """End what takes too long; one check of all connections costs less than a timer for each."""
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
        """Whether so many connections are idle that no further one is kept; its response says so."""
        return len(self.idle_visitors) + len(self.idle_submitters) >= self.crowding_threshold

    def _overdue(self, now: float) -> set[ClientConnection]:
        overdue = {connection for connection in self.connections if connection.deadline <= now}
        if self.is_crowded:
            latest = now - client_limits.MIN_IDLE_S + client_limits.IDLE_TIMEOUT_S
            idle = (*self.idle_visitors, *self.idle_submitters)
            overdue.update(connection for connection in idle if connection.deadline <= latest)
        return overdue

    # -- the state of each connection --------------------------------------------------------------------

    def add(self, connection: ClientConnection) -> None:
        """Register a new connection, on which nothing has arrived yet."""
        self.connections.add(connection)
        self.silent[connection] = None

    def remove(self, connection: ClientConnection) -> None:
        """Forget a connection that has ended, and accept another in its place."""
        self.connections.discard(connection)
        self._remove_from_groups(connection)
        self.listener.resume()

    def mark_active(self, connection: ClientConnection) -> None:
        """Note that a request has started on it."""
        self._remove_from_groups(connection)

    def mark_idle(self, connection: ClientConnection) -> None:
        """Note that it waits for its next request."""
        self._remove_from_groups(connection)
        group = self.idle_submitters if connection.has_submitted else self.idle_visitors
        group[connection] = None

    def mark_lingering(self, connection: ClientConnection) -> None:
        """Note that it has sent its last response."""
        self._remove_from_groups(connection)
        self.lingering[connection] = None

    def _remove_from_groups(self, connection: ClientConnection) -> None:
        for group in (self.silent, self.idle_visitors, self.idle_submitters, self.lingering):
            group.pop(connection, None)

    # -- capacity ----------------------------------------------------------------------------------------

    def _has_capacity(self) -> bool:
        open_count = len(self.connections) + self.listener.starting_count
        return open_count < self.max_connections or self._evict_one()

    def _evict_one(self) -> bool:
        """End a connection that has no request open; whether there was one.

        Guards the descriptors that attempts need, and access for messages. A new connection is silent at
        first too: none is evicted before its first bytes could arrive.
        """
        now = asyncio.get_running_loop().time()
        silent_until = now - client_limits.FIRST_BYTES_S + client_limits.SILENT_TIMEOUT_S
        idle_until = now - client_limits.MIN_IDLE_S + client_limits.IDLE_TIMEOUT_S
        candidates = (
            next(iter(self.lingering), None),
            next((visitor for visitor in self.idle_visitors if visitor.is_idle_and_unread), None),
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
        """The oldest member of a group, if its deadline shows that it joined long enough ago."""
        oldest = next(iter(group), None)
        if oldest is None or oldest.deadline > latest_deadline or not oldest.is_idle_and_unread:
            return None
        return oldest

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self.listener.port

    def announce_stop(self) -> None:
        """End each connection with its next response: a connection in use is never closed under a request.

        A client may write one at any moment to a connection that it keeps. Closing idle connections right
        after SIGTERM met requests that had been written whole and got no answer.
        """
        self.is_stopping = True

    def stop(self) -> None:
        """Accept no more connections, and end each with its response, or when it has been idle for long."""
        self.is_stopping = True
        self.is_stopped = True
        self.listener.close()
        for connection in list(self.connections):
            connection.drain()

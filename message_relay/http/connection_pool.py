"""Pool of idle connections to endpoints, or to the agent."""

from __future__ import annotations

import asyncio
from collections import OrderedDict

from ..core.ports import EndpointKey
from .connection import EndpointConnection
from .keep_alive import KeepAlivePolicy


class ConnectionPool:
    """Holds up to `max_idle` idle connections, each for less than `idle_s` seconds.

    A connection that leaves the pool other than by `pop` is closed, and so is one on which something arrives.
    One that has just received a response rests before it is used again (`EndpointConnection.is_rested`).
    """

    def __init__(self, idle_s: float, max_idle: int) -> None:
        self.idle_s = idle_s
        self.max_idle = max_idle
        self.keep_alive = KeepAlivePolicy()
        # Both are ordered by idle time, longest first.
        self.idle_by_endpoint: dict[EndpointKey, list[EndpointConnection]] = {}
        self.idle_by_age: OrderedDict[EndpointConnection, EndpointKey] = OrderedDict()
        self.listed_endpoints: set[EndpointKey] | None = None  # None: no list has been received yet

    def pop(self, key: EndpointKey) -> EndpointConnection | None:
        """Take out the most recently used connection to an endpoint that is reusable, if there is one."""
        for connection in reversed(self.idle_by_endpoint.get(key, []).copy()):
            if self._is_reusable(connection):
                if not connection.is_rested:
                    continue
                if connection.has_no_unread_input:
                    self._remove(connection, key)
                    return connection
            self._remove(connection, key)
            connection.close()
        return None

    def add(self, key: EndpointKey, connection: EndpointConnection) -> None:
        """Add a connection to the pool, or close it if it cannot or must not be reused."""
        if not self._may_keep(key, connection):
            connection.close()
            return
        if len(self.idle_by_age) >= self.max_idle:
            oldest, oldest_key = next(iter(self.idle_by_age.items()))
            self._remove(oldest, oldest_key)
            oldest.close()
        self.idle_by_age[connection] = key
        self.idle_by_endpoint.setdefault(key, []).append(connection)

    def record_rejection(self, kind: str) -> None:
        """Close the idle connections to endpoints of a kind that rejects connections, to free their slots."""
        if not self.keep_alive.record_rejection(kind, asyncio.get_running_loop().time()):
            return
        for connection, key in list(self.idle_by_age.items()):
            if connection.endpoint_kind == kind:
                self._remove(connection, key)
                connection.close()

    def retain_only(self, listed: set[EndpointKey]) -> None:
        """Close the connections to all endpoints but these: others drain, are gone or have moved."""
        self.listed_endpoints = listed
        for key in set(self.idle_by_endpoint) - listed:
            self._close_all(key)

    def close(self) -> None:
        """Close all connections."""
        for key in list(self.idle_by_endpoint):
            self._close_all(key)

    def endpoint_changed(self, key: EndpointKey, listed: bool) -> None:
        """Update one endpoint, without iterating over the others."""
        if self.listed_endpoints is None:
            self.listed_endpoints = set()
        if listed:
            self.listed_endpoints.add(key)
        else:
            self.listed_endpoints.discard(key)
            self._close_all(key)

    def sweep(self) -> None:
        """Close connections that have ended or were idle too long; endpoints limit their number."""
        for connection, key in list(self.idle_by_age.items()):
            if not self._is_reusable(connection):
                self._remove(connection, key)
                connection.close()

    def _close_all(self, key: EndpointKey) -> None:
        for connection in self.idle_by_endpoint.pop(key, ()):
            del self.idle_by_age[connection]
            connection.close()

    def _remove(self, connection: EndpointConnection, key: EndpointKey) -> None:
        del self.idle_by_age[connection]
        connections = self.idle_by_endpoint[key]
        connections.remove(connection)
        if not connections:
            del self.idle_by_endpoint[key]

    def _is_reusable(self, connection: EndpointConnection) -> bool:
        return (
            connection.is_usable and asyncio.get_running_loop().time() - connection.idle_since < self.idle_s
        )

    def _may_keep(self, key: EndpointKey, connection: EndpointConnection) -> bool:
        if not connection.is_usable:
            return False
        if self.listed_endpoints is not None and key not in self.listed_endpoints:
            return False
        return self.keep_alive.allows_idle(connection.endpoint_kind, asyncio.get_running_loop().time())

"""Current state of a socket in the kernel, which may be newer than what the event loop has reported."""

from __future__ import annotations

import asyncio
import select
import socket


def poll_socket(sock: socket.socket, events: int) -> int:
    """Return those of these `select.POLL...` events (or errors) that are pending; does not block."""
    poll = select.poll()
    poll.register(sock.fileno(), events)
    return sum(pending for _, pending in poll.poll(0))


def is_socket_ready(transport: asyncio.BaseTransport | None, events: int) -> bool:
    """Return whether any of these events is pending on the transport's socket; True if it is closed."""
    return bool(pending_events(transport, events))


def pending_events(transport: asyncio.BaseTransport | None, events: int) -> int:
    """Return those of these events (or errors) that are pending; POLLHUP if the transport is closed."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None or sock.fileno() < 0:
        return select.POLLHUP
    return poll_socket(sock, events)

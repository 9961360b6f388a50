"""Notifications to the service manager, as in sd_notify(3): `NAME=value` lines to `$NOTIFY_SOCKET`.

Sends READY=1 once messages are accepted, RELOADING=1 with MONOTONIC_USEC during a reload and READY=1 after
it, STOPPING=1, STATUS for people, and WATCHDOG=1 at half of `$WATCHDOG_USEC`. The watchdog is a timer of the
event loop, so that a hanging loop sends no heartbeat. Without `$NOTIFY_SOCKET` nothing is sent. Lines that
the manager does not read in time are sent later, only the latest of each name, so that few lines are buffered
and sending never blocks.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
import time
from collections.abc import MutableMapping
from dataclasses import dataclass, field

from ..structured_logging import LogEvent

log = logging.getLogger(__name__)

MAX_STATUS_BYTES = 500  # longer status lines are truncated
FLUSH_RETRY_S = 0.2  # delay before unsent lines are retried


class NotifyError(ValueError):
    """A notification variable of the environment is not valid."""


@dataclass
class SystemdNotifier:
    """Sends state changes and heartbeats to the service manager, never blocking."""

    address: str = ""  # empty: no service manager
    watchdog_s: float = 0.0  # 0: no watchdog
    unsent: dict[str, str] = field(default_factory=dict)  # lines not yet sent, by name
    timers: dict[str, asyncio.TimerHandle] = field(default_factory=dict)
    socket: socket.socket | None = None

    @classmethod
    def from_environment(cls, env: MutableMapping[str, str] = os.environ) -> SystemdNotifier:
        """Reads and removes the variables, so that no child process sends notifications in place of this one.

        Raises NotifyError.
        """
        address = env.pop("NOTIFY_SOCKET", "")
        usec = env.pop("WATCHDOG_USEC", "")
        pid = env.pop("WATCHDOG_PID", "")
        if address and address[0] not in "/@":
            raise NotifyError(f"NOTIFY_SOCKET: {address!r} must be a path, or @ and an abstract name")
        if usec and not (usec.isdecimal() and int(usec) > 0):
            raise NotifyError(f"WATCHDOG_USEC: {usec!r} must be a number of microseconds above 0")
        is_watched = not pid or pid == str(os.getpid())
        return cls(address, int(usec) / 1e6 if usec and is_watched else 0.0)

    def start(self) -> None:
        """Opens the socket and starts the watchdog timer. Must be called in the event loop."""
        if not self.address:
            return
        self.socket = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC)
        self.socket.setblocking(False)
        if self.watchdog_s:
            self._send_heartbeat()

    def ready(self) -> None:
        """Notifies that messages are accepted, or that a reload is complete."""
        self.unsent.pop("RELOADING", None)  # the unsent reload is complete
        self.unsent.pop("MONOTONIC_USEC", None)
        self._send(READY="1")

    def reloading(self) -> None:
        """Notifies that a reload has started."""
        self.unsent.pop("READY", None)
        self._send(RELOADING="1", MONOTONIC_USEC=str(time.monotonic_ns() // 1000))

    def stopping(self) -> None:
        """Notifies that a graceful shutdown has started."""
        self._send(STOPPING="1")

    def status(self, text: str) -> None:
        """Sends a human-readable line that the service manager shows."""
        line = " ".join(text.split()).encode()[:MAX_STATUS_BYTES].decode(errors="ignore")
        self._send(STATUS=line)

    def close(self) -> None:
        """Closes the socket; unsent lines are lost."""
        for timer in self.timers.values():
            timer.cancel()
        self.timers.clear()
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    def _send_heartbeat(self) -> None:
        self._send(WATCHDOG="1")
        self.timers["beat"] = asyncio.get_running_loop().call_later(self.watchdog_s / 2, self._send_heartbeat)

    def _send(self, **lines: str) -> None:
        self.unsent.update(lines)
        self._flush()

    def _retry(self) -> None:
        del self.timers["retry"]
        self._flush()

    def _flush(self) -> None:
        """Sends all unsent lines in one datagram, now or later; a busy manager must not delay a shutdown."""
        if self.socket is None or not self.unsent:
            return
        text = "\n".join(f"{name}={value}" for name, value in self.unsent.items())
        address = "\0" + self.address[1:] if self.address[0] == "@" else self.address
        try:
            self.socket.sendto(text.encode(), address)
            self.unsent.clear()
        except BlockingIOError:
            if "retry" not in self.timers:
                self.timers["retry"] = asyncio.get_running_loop().call_later(FLUSH_RETRY_S, self._retry)
        except OSError as error:
            log.warning(LogEvent("service manager notification failed", at=self.address, why=error))
            self.unsent.clear()

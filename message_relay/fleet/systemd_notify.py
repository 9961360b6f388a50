"""The service manager's notification protocol: datagrams of `NAME=value` lines to `$NOTIFY_SOCKET`.

As sd_notify(3) describes it: READY=1 once messages are taken, RELOADING=1 with MONOTONIC_USEC while a
replaced configuration is taken over and READY=1 after it, STOPPING=1, STATUS for people, and WATCHDOG=1 at
half of `$WATCHDOG_USEC`. The watchdog is a timer of the loop: one that does not turn does not say it lives.
Without `$NOTIFY_SOCKET` nothing is said. What the manager does not read in time is kept and said later: the
latest of each name, so at most a handful of lines, and nothing ever waits for it.
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

MAX_STATUS_BYTES = 500  # of a status line, at most
FLUSH_RETRY_S = 0.2  # so much later what could not be said is tried again


class NotifyError(ValueError):
    """The environment names a socket or a time that makes no sense."""


@dataclass
class SystemdNotifier:
    address: str = ""  # empty: nobody listens
    watchdog_s: float = 0.0  # 0: not watched
    unsent: dict[str, str] = field(default_factory=dict)  # lines not yet said, by name
    timers: dict[str, asyncio.TimerHandle] = field(default_factory=dict)
    socket: socket.socket | None = None

    @classmethod
    def from_environment(cls, env: MutableMapping[str, str] = os.environ) -> SystemdNotifier:
        """Reads and removes the variables, so that no child speaks for this process. Raises NotifyError."""
        address, usec = env.pop("NOTIFY_SOCKET", ""), env.pop("WATCHDOG_USEC", "")
        pid = env.pop("WATCHDOG_PID", "")
        if address and address[0] not in "/@":
            raise NotifyError(f"NOTIFY_SOCKET: {address!r} must be a path, or @ and an abstract name")
        if usec and not (usec.isdecimal() and int(usec) > 0):
            raise NotifyError(f"WATCHDOG_USEC: {usec!r} must be a number of microseconds above 0")
        mine = not pid or pid == str(os.getpid())
        return cls(address, int(usec) / 1e6 if usec and mine else 0.0)

    def start(self) -> None:
        """Opens the socket, and begins to tell the watchdog. Called on the loop."""
        if not self.address:
            return
        self.socket = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC)
        self.socket.setblocking(False)
        if self.watchdog_s:
            self._send_heartbeat()

    def ready(self) -> None:
        self.unsent.pop("RELOADING", None)  # what was not said of a reload is over
        self.unsent.pop("MONOTONIC_USEC", None)
        self._send(READY="1")

    def reloading(self) -> None:
        self.unsent.pop("READY", None)
        self._send(RELOADING="1", MONOTONIC_USEC=str(time.monotonic_ns() // 1000))

    def stopping(self) -> None:
        self._send(STOPPING="1")

    def status(self, text: str) -> None:
        line = " ".join(text.split()).encode()[:MAX_STATUS_BYTES].decode(errors="ignore")
        self._send(STATUS=line)

    def close(self) -> None:
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
        """All that waits in one datagram, or later: a manager that does not read must not hold up a stop."""
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
            log.warning(LogEvent("the service manager does not listen", at=self.address, why=error))
            self.unsent.clear()

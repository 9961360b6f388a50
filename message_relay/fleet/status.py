"""Status sockets: each connection to the Unix socket (mode 0600) receives one report as JSON.

No request is read, so callers cannot influence the process. At most `MAX_CALLERS` are served at a time, each
for at most `ANSWER_TIMEOUT_S`.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
import stat
from collections import deque
from collections.abc import Callable
from pathlib import Path

import msgspec

from .report import FleetReport, Lag, Report

log = logging.getLogger(__name__)

MAX_CALLERS = 8
ANSWER_TIMEOUT_S = 2.0  # a caller that reads more slowly is disconnected
MAX_REPORT_BYTES = 16 << 20  # maximum size of a report
MAX_PATH_BYTES = 107  # maximum length of a Unix socket's path (unix(7))
LAG_SAMPLE_S, LAG_SAMPLES = 0.25, 40  # interval and number of retained lag samples: 10 s


class _Kind(msgspec.Struct):
    kind: str


class StatusError(Exception):
    """A report cannot be served or fetched; the message has the reason."""


class LoopLag:
    """Measures how late the event loop runs its timers."""

    def __init__(self) -> None:
        self.samples_ms: deque[float] = deque(maxlen=LAG_SAMPLES)
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Schedules the next sample."""
        loop = asyncio.get_running_loop()
        self.due = loop.time() + LAG_SAMPLE_S
        self.timer = loop.call_at(self.due, self._sample)

    def _sample(self) -> None:
        self.samples_ms.append(max(0.0, asyncio.get_running_loop().time() - self.due) * 1000)
        self.start()

    def stop(self) -> None:
        """Stops sampling."""
        if self.timer is not None:
            self.timer.cancel()

    def summary(self) -> Lag:
        """Return median, 99th percentile and maximum of the retained samples."""
        lags_ms = sorted(self.samples_ms)
        if not lags_ms:
            return Lag()
        return Lag(
            round(lags_ms[len(lags_ms) // 2], 2),
            round(lags_ms[int(0.99 * (len(lags_ms) - 1))], 2),
            round(lags_ms[-1], 2),
        )


class UnixSocket:
    """A listening Unix socket with access for its owner only; subclasses serve the connections."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.open_connections = 0
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Starts listening. Replaces a stale socket, but no other file. Raises StatusError."""
        if len(os.fsencode(self.path)) > MAX_PATH_BYTES:
            raise StatusError(
                f"{self.path}: a socket path has at most {MAX_PATH_BYTES} bytes; "
                "set a shorter status.folder"
            )
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            if self.path.exists():
                if not stat.S_ISSOCK(self.path.lstat().st_mode):
                    raise StatusError(f"{self.path}: already exists and is no socket")
                self.path.unlink()
            previous_umask = os.umask(0o177)
            try:
                sock.bind(str(self.path))
            finally:
                os.umask(previous_umask)
            self.server = await asyncio.start_unix_server(self._serve, sock=sock, backlog=MAX_CALLERS)
        except OSError as error:
            sock.close()
            raise StatusError(f"{self.path}: {error.strerror}") from error
        except StatusError:
            sock.close()
            raise

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def close(self) -> None:
        """Stops listening and removes the socket."""
        if self.server is not None:
            self.server.close()
            self.path.unlink(missing_ok=True)
            self.server = None


class StatusSocket(UnixSocket):
    """Sends the current report to each caller."""

    def __init__(self, path: Path, report: Callable[[], Report | FleetReport]) -> None:
        super().__init__(path)
        self.report = report

    async def _serve(self, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_connections += 1
        try:
            if self.open_connections <= MAX_CALLERS:
                writer.write(msgspec.json.encode(self.report()) + b"\n")
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    await writer.drain()
        except (OSError, TimeoutError):
            pass  # the caller disconnected, or does not read
        except Exception:
            log.exception("status report failed")
        finally:
            self.open_connections -= 1
            writer.close()


def socket_folder(configured: str, env: dict[str, str] | None = None) -> Path | None:
    """Return the folder for sockets: the configured one, else the first in $RUNTIME_DIRECTORY, else None."""
    folder = configured or (os.environ if env is None else env).get("RUNTIME_DIRECTORY", "").partition(":")[0]
    return Path(folder) if folder else None


async def fetch_report(path: Path, timeout_s: float = 2.0) -> Report | FleetReport:
    """Fetches a report. Raises StatusError if there is no answer in time, or if it is not a report."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_unix_connection(str(path), limit=MAX_REPORT_BYTES)
            try:
                raw = await reader.read(-1)
            finally:
                writer.close()
    except TimeoutError as error:
        raise StatusError(f"{path.name}: no answer within {timeout_s:g} s") from error
    except OSError as error:
        raise StatusError(f"{path.name}: {error.strerror}") from error
    try:
        head: _Kind = msgspec.json.decode(raw, type=_Kind)
        report_type: type[Report] | type[FleetReport] = FleetReport if head.kind == "fleet" else Report
        report: Report | FleetReport = msgspec.json.decode(raw, type=report_type)
        return report
    except ValueError as error:
        raise StatusError(f"{path.name}: no report: {error}") from error

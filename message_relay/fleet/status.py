"""Status sockets: whoever connects to the Unix socket (mode 0600) gets one report as JSON.

No request is read, so callers cannot influence the process. At most `MAX_CALLERS` at once, each for
`ANSWER_TIMEOUT_S`.
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
ANSWER_TIMEOUT_S = 2.0  # a caller that reads more slowly is cut off
MAX_REPORT_BYTES = 16 << 20  # no report is longer
MAX_PATH_BYTES = 107  # of a Unix socket's path (unix(7))
LAG_SAMPLE_S, LAG_SAMPLES = 0.25, 40  # interval and number of retained samples of the loop's lag: 10 s


class _Kind(msgspec.Struct):
    kind: str


class StatusError(Exception):
    """A report cannot be served or fetched; the text says why."""


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
        """Takes no more samples."""
        if self.timer is not None:
            self.timer.cancel()

    def summary(self) -> Lag:
        """Median, 99th percentile and maximum of the retained samples."""
        late = sorted(self.samples_ms)
        if not late:
            return Lag()
        return Lag(
            round(late[len(late) // 2], 2), round(late[int(0.99 * (len(late) - 1))], 2), round(late[-1], 2)
        )


class UnixSocket:
    """A Unix socket that only its owner may use; subclasses answer connections."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.open_connections = 0
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listens. Replaces the socket of a dead process, but no other file. Raises StatusError."""
        if len(os.fsencode(self.path)) > MAX_PATH_BYTES:
            raise StatusError(
                f"{self.path}: a socket's path has {MAX_PATH_BYTES} bytes at most; "
                "name a shorter status.folder"
            )
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            if self.path.exists():
                if not stat.S_ISSOCK(self.path.lstat().st_mode):
                    raise StatusError(f"{self.path}: is there already, and is no socket")
                self.path.unlink()
            before = os.umask(0o177)
            try:
                sock.bind(str(self.path))
            finally:
                os.umask(before)
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
            pass  # the caller left, or does not read
        except Exception:
            log.exception("status report failed")
        finally:
            self.open_connections -= 1
            writer.close()


def socket_folder(named: str, env: dict[str, str] | None = None) -> Path | None:
    """The folder for sockets: as configured, else the first of the service manager's $RUNTIME_DIRECTORY."""
    told = named or (os.environ if env is None else env).get("RUNTIME_DIRECTORY", "").partition(":")[0]
    return Path(told) if told else None


async def fetch_report(path: Path, seconds: float = 2.0) -> Report | FleetReport:
    """Fetches a report. Raises StatusError without an answer in time, or for one that is no report."""
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_unix_connection(str(path), limit=MAX_REPORT_BYTES)
            try:
                raw = await reader.read(-1)
            finally:
                writer.close()
    except TimeoutError as error:
        raise StatusError(f"{path.name}: no answer within {seconds:g} s") from error
    except OSError as error:
        raise StatusError(f"{path.name}: {error.strerror}") from error
    try:
        head: _Kind = msgspec.json.decode(raw, type=_Kind)
        shape: type[Report] | type[FleetReport] = FleetReport if head.kind == "fleet" else Report
        told: Report | FleetReport = msgspec.json.decode(raw, type=shape)
        return told
    except ValueError as error:
        raise StatusError(f"{path.name}: no report: {error}") from error

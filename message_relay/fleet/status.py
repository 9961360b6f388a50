"""A report on a Unix socket: whoever connects gets one JSON object. Mode 0600, in the runtime folder.

No request is read, so nothing that a caller sends can matter. At most `MOST` callers at once, each for
`GIVE_S`."""

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

MOST = 8
GIVE_S = 2.0  # a caller reads as quickly, or is cut off
ANSWER_BYTES = 16 << 20  # no report is longer
PATH_BYTES = 107  # of a Unix socket's path (unix(7))
LOOK_S, LOOKS = 0.25, 40  # the loop's lag is looked at so often, and so many looks are kept: 10 s


class _Kind(msgspec.Struct):
    kind: str


class StatusError(Exception):
    """No report can be had or given there; the text says why."""


class LoopLag:
    """How late a timer of the loop fires."""

    def __init__(self) -> None:
        self.late: deque[float] = deque(maxlen=LOOKS)
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.due = loop.time() + LOOK_S
        self.timer = loop.call_at(self.due, self._look)

    def _look(self) -> None:
        self.late.append(max(0.0, asyncio.get_running_loop().time() - self.due) * 1000)
        self.start()

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()

    def told(self) -> Lag:
        late = sorted(self.late)
        if not late:
            return Lag()
        return Lag(
            round(late[len(late) // 2], 2), round(late[int(0.99 * (len(late) - 1))], 2), round(late[-1], 2)
        )


class UnixSocket:
    """One that only its owner may use; what it answers is a subclass's matter."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.asked = 0
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Raises StatusError. A socket that a dead process left is replaced, anything else is not."""
        if len(os.fsencode(self.path)) > PATH_BYTES:
            raise StatusError(
                f"{self.path}: a socket's path has {PATH_BYTES} bytes at most; "
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
            self.server = await asyncio.start_unix_server(self._serve, sock=sock, backlog=MOST)
        except OSError as error:
            sock.close()
            raise StatusError(f"{self.path}: {error.strerror}") from error
        except StatusError:
            sock.close()
            raise

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
            self.path.unlink(missing_ok=True)
            self.server = None


class StatusSocket(UnixSocket):
    def __init__(self, path: Path, report: Callable[[], Report | FleetReport]) -> None:
        super().__init__(path)
        self.report = report

    async def _serve(self, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.asked += 1
        try:
            if self.asked <= MOST:
                writer.write(msgspec.json.encode(self.report()) + b"\n")
                async with asyncio.timeout(GIVE_S):
                    await writer.drain()
        except (OSError, TimeoutError):
            pass  # it went away, or does not read
        except Exception:
            log.exception("a report failed")
        finally:
            self.asked -= 1
            writer.close()


def folder_of(named: str, env: dict[str, str] | None = None) -> Path | None:
    """Where sockets go: as named, else the service manager's $RUNTIME_DIRECTORY (its first)."""
    told = named or (os.environ if env is None else env).get("RUNTIME_DIRECTORY", "").partition(":")[0]
    return Path(told) if told else None


async def ask(path: Path, seconds: float = 2.0) -> Report | FleetReport:
    """Raises StatusError where nobody answers in time, or with what is no report."""
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_unix_connection(str(path), limit=ANSWER_BYTES)
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

"""Sources of a shard server's list: the platform's register, by watches, or a file.

A list is read in pieces as it arrives (list_transfer.py). A list that is incomplete, too long or malformed
changes nothing; the failure is logged and the source is read again.
"""

from __future__ import annotations

import asyncio
import logging
import os
import random
from collections.abc import AsyncIterator
from pathlib import Path
from typing import NamedTuple

import h11

from ..config import Address
from ..endpoint_discovery.poll_schedule import PollSchedule
from ..structured_logging import LogEvent
from .errors import OutdatedListError, SourceError, TooManyChangesError
from .list_transfer import EntryReader, ListTransfer
from .shard_server import ShardServer

log = logging.getLogger(__name__)

READ_BYTES = 16 << 10  # of one read: some hundred entries
READ_TIMEOUT_S = 3.0  # between two pieces of a response
LIST_TIMEOUT_S = 120.0  # for a whole response
# Maximum duration of a watch. Its response counts as of the time of the request, since it may have been
# buffered while this process was frozen: a confirmation has this age on arrival, and twice that when the next
# arrives.
WATCH_MS = 2000.0
FILE_CHECK_INTERVAL_S = 1.0
MAX_HTTP_HEAD_BYTES = 16 << 10
LIST_PATH = "/v1/servers"


class FileStamp(NamedTuple):
    """Metadata by which a change of a file is detected."""

    modified_ns: int
    size: int
    inode: int


def _request_bytes(http: h11.Connection, address: Address, target: str) -> bytes:
    headers = [("Host", f"{address[0]}:{address[1]}"), ("Connection", "close")]
    head = http.send(h11.Request(method="GET", target=target, headers=headers))
    return (head or b"") + (http.send(h11.EndOfMessage()) or b"")


async def http_response_body(address: Address, target: str, timeout_s: float) -> AsyncIterator[bytes]:
    """Yield a response's body as it arrives.

    `timeout_s` applies to the connection and the response's head; READ_TIMEOUT_S from then on.

    Raises:
        OSError: The connection failed or timed out.
        SourceError: The response is not a success or not HTTP.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address)
    try:
        http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HTTP_HEAD_BYTES)
        writer.write(_request_bytes(http, address, target))
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout(timeout_s):
                    http.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise SourceError(f"status {event.status_code}")
                timeout_s = READ_TIMEOUT_S
            elif isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            elif not isinstance(event, h11.InformationalResponse):
                raise SourceError("the connection ended before the end of the response")
    except h11.RemoteProtocolError as error:
        raise SourceError(f"not an HTTP response: {error}") from error
    finally:
        writer.close()


class ListSource:
    """Base class of the sources: a failure is logged and changes nothing."""

    def __init__(self, server: ShardServer, epoch: int) -> None:
        self.server = server
        self.epoch = epoch
        self.entry_reader = EntryReader()
        self.generation: int | None = None  # start of the requested changes; None: request the whole list
        self.failures = 0
        self.largest_batch = 0  # maximum of entries read in one turn, over all lists

    @staticmethod
    def now() -> float:
        """Return the loop's time, in seconds."""
        return asyncio.get_running_loop().time()

    async def _transfer(self, chunks: AsyncIterator[bytes], requested_at: float) -> None:
        transfer = ListTransfer(self.server, self.epoch, self.entry_reader, requested_at, self.generation)
        try:
            async with asyncio.timeout(LIST_TIMEOUT_S):
                self.generation = await transfer.run(chunks)
        finally:
            self.largest_batch = max(self.largest_batch, transfer.largest_batch)

    def _record_failure(self, why: object) -> None:
        self.failures += 1
        log.warning(LogEvent("directory source read failed", why=why, so_far=self.failures))


class RegisterSource(ListSource):
    """Reads the platform's register: the whole list, then changes."""

    def __init__(
        self,
        server: ShardServer,
        epoch: int,
        address: Address,
        server_count: int,
        seed: int,
        is_shared: bool,
    ) -> None:
        """Create a source; `server_count` servers share the register's permitted rate of polls."""
        super().__init__(server, epoch)
        self.address = address
        self.poll_schedule = PollSchedule(server_count, random.Random(seed), is_shared)

    def reload(self, address: Address) -> None:
        """Use this register from now on; the whole list is read if it is another one."""
        if address != self.address:
            self.address = address
            self.generation = None
            self.poll_schedule.reset()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            try:
                await self._poll()
                self.poll_schedule.on_answered()
            except TooManyChangesError:
                self.generation = None  # request the whole list, which is staged in pieces
            except (OSError, SourceError) as error:
                self._record_failure(repr(error))
                if isinstance(error, OutdatedListError):
                    self.generation = None  # its generations may have restarted: request the whole list
                is_refused = isinstance(error, SourceError)
                await asyncio.sleep(self.poll_schedule.pause_after_failure_ms(is_refused=is_refused) / 1000)
            except Exception:
                log.exception("directory source failed unexpectedly")
                await asyncio.sleep(self.poll_schedule.pause_after_failure_ms() / 1000)

    async def _poll(self) -> None:
        hold_ms = 0
        target = LIST_PATH
        if self.generation is not None:
            hold_ms = round(min(WATCH_MS, self.poll_schedule.watch_duration_ms()))
            target += f"?from={self.generation}&hold_ms={hold_ms}"
        address = self.address
        timeout_s = self.poll_schedule.call_timeout_ms(hold_ms) / 1000
        await self._transfer(http_response_body(address, target, timeout_s), self.now())
        if address != self.address:  # another register by now, with its own generations
            self.generation = None


class FileSource(ListSource):
    """Reads a file with the whole list, which is replaced with a higher generation when it changes."""

    def __init__(self, server: ShardServer, epoch: int, path: Path) -> None:
        super().__init__(server, epoch)
        self.path = path
        self.last_read: FileStamp | None = None
        self.is_usable = False  # whether the content that was read last is valid

    async def run(self) -> None:
        """Check the file until cancelled."""
        while True:
            try:
                await self.check_file()
            except (OSError, SourceError) as error:
                self._record_failure(repr(error))
            except Exception:
                log.exception("directory source failed unexpectedly")
            await asyncio.sleep(FILE_CHECK_INTERVAL_S)

    async def check_file(self) -> None:
        """Read the file if it has changed; without valid content the data in force are not confirmed."""
        now = self.now()
        stat = await asyncio.to_thread(os.stat, self.path)
        stamp = FileStamp(stat.st_mtime_ns, stat.st_size, stat.st_ino)
        if stamp == self.last_read:
            if self.is_usable:
                self.server.confirm_source(now)
            return
        self.last_read = stamp
        self.is_usable = False
        generation_before = self.generation
        self.generation = None
        try:
            await self._transfer(self._chunks(), now)
            self.is_usable = True
        except SourceError:
            self.generation = generation_before
            raise
        except BaseException:
            self.last_read = None  # read the file again
            self.generation = generation_before
            raise

    async def _chunks(self) -> AsyncIterator[bytes]:
        with await asyncio.to_thread(open, self.path, "rb") as file:
            while chunk := await asyncio.to_thread(file.read, READ_BYTES):
                yield chunk

"""Where a keeper has its list from: the register, by a watch, or a file. Read in pieces, as it comes, so that
no list however long takes one long turn of the loop; what is cut, too long or no list changes nothing."""

from __future__ import annotations

import asyncio
import codecs
import json
import logging
import os
import random
from collections.abc import AsyncIterator, Iterable
from json.decoder import JSONDecodeError
from pathlib import Path
from typing import Any

import h11
import msgspec

from ..config import Address
from ..core.ports import EndpointRecord
from ..decisions.model import Listing
from ..endpoint_discovery.poll_schedule import PollSchedule
from ..http.discovery_client import LISTINGS, parse_endpoint
from ..structured_logging import LogEvent
from . import wire
from .bulk_load import StagedChanges, StagedList
from .shard_server import ShardServer
from .wire import Row

log = logging.getLogger(__name__)

MAX_LIST_BYTES = 256 << 20  # of one list: five times what 360,000 destinations take
MAX_ITEM_BYTES = 64 << 10  # of one entry, or of what stands beside the entries: a usual one has 150
READ_BYTES = 16 << 10  # read at once: some hundred entries
ENTRIES_PER_TURN = 256  # taken up at once: some milliseconds
MAX_CHANGES = 50_000  # in one answer, some 15 MB until they are in force; more: all is asked for, by pieces
READ_TIMEOUT_S = 3.0  # a source that says nothing more for so long is given up
LIST_TIMEOUT_S = 120.0  # one list takes no longer
# A watch, at most. What it tells counts as of when it was asked, as the answer may have lain unread while
# this process stood still: so old a confirmation is at once, and twice that when the next one comes.
WATCH_MS = 2000.0
FILE_CHECK_INTERVAL_S = 1.0  # a file is looked at so often
MAX_HTTP_HEAD_BYTES = 16 << 10
WHITESPACE = " \t\r\n"
LISTING_NUMBERS = {listing: number for number, listing in enumerate(wire.LISTINGS)}


class SourceError(Exception):
    """What the source says can't be used; the text says why."""


class OutdatedListError(SourceError):
    """It is older than what is known."""


class TooManyChangesError(Exception):
    """More than are taken in one turn."""


def row_of(member: EndpointRecord) -> Row:
    return Row(
        member.name,
        member.destination,
        LISTING_NUMBERS[member.listing],
        *member.address,
        member.kind,
        member.zone,
        member.rate,
    )


class ListSplitter:
    """Takes a list in the platform's form as it comes, and gives its entries one by one. What stands beside
    them is in `head`. Raises SourceError where it is no list."""

    def __init__(self) -> None:
        self.buffer, self.position = "", 0
        self.decoder = codecs.getincrementaldecoder("utf-8")()
        self.json_decoder = json.JSONDecoder()
        self.fields: dict[str, Any] = {}
        self.entry_count: int | None = None  # of entries so far; None: their place has not come
        self.state = "start"
        self.received_bytes = 0

    def feed(self, data: bytes) -> None:
        self.received_bytes += len(data)
        if self.received_bytes > MAX_LIST_BYTES:
            raise SourceError(f"the list is longer than {MAX_LIST_BYTES} bytes")
        try:
            self.buffer = self.buffer[self.position :] + self.decoder.decode(data)
        except UnicodeDecodeError as error:
            raise SourceError(f"the list is no UTF-8: {error.reason}") from error
        self.position = 0

    def read_entries(self, most: int) -> list[Any]:
        """Up to so many; fewer: all that have come whole."""
        found: list[Any] = []
        while len(found) < most and self.state != "end":
            begun = self.position
            if not (self._read_entry(found) if self.state == "entries" else self._read_field()):
                self.position = begun
                if len(self.buffer) - self.position > MAX_ITEM_BYTES:
                    raise SourceError(f"an entry can't be read within {MAX_ITEM_BYTES} letters")
                break
        return found

    def check_complete(self) -> None:
        """It has ended. Raises SourceError where something is missing."""
        if self.state != "end" or self.entry_count is None:
            raise SourceError("the list ends before its end")

    def _read_entry(self, found: list[Any]) -> bool:
        """One more, or the end of all; False: it has not come whole."""
        sign = self._next_character()
        if sign is None:
            return False
        assert self.entry_count is not None
        if sign == "," and self.entry_count:
            self.position += 1
            sign = self._next_character()
            if sign is None:
                return False
        elif sign != "]" and self.entry_count:
            raise SourceError("the list is no JSON: entries without a comma")
        if sign == "]":
            self.position += 1
            self.state = "after"
            return True
        value, there = self._read_value()
        if there:
            found.append(value)
            self.entry_count += 1
        return there

    def _read_field(self) -> bool:
        sign = self._next_character()
        if sign is None:
            return False
        wanted = {"start": "{", "after": ",}"}.get(self.state, '"')
        if sign not in wanted and not (self.state == "field" and sign == "}" and not self.fields):
            raise SourceError(f"the list is no JSON: {sign!r} where {wanted!r} is due")
        if self.state != "field":
            self.position += 1
            self.state = "end" if sign == "}" else "field"
            return True
        name, there = self._read_value()
        if not there or self._next_character() is None:
            return False
        if self._next_character() != ":":
            raise SourceError("the list is no JSON: a name without a value")
        self.position += 1
        if (sign := self._next_character()) is None:
            return False
        if name == "instances":
            if sign != "[":
                raise SourceError("malformed list: instances is no array")
            self.position += 1
            self.state, self.entry_count = "entries", 0
            return True
        value, there = self._read_value()
        if there:
            self.state, self.fields[str(name)] = "after", value
        return there

    def _next_character(self) -> str | None:
        """The next letter that is no space; None: it has not come."""
        while self.position < len(self.buffer) and self.buffer[self.position] in WHITESPACE:
            self.position += 1
        return self.buffer[self.position] if self.position < len(self.buffer) else None

    def _read_value(self) -> tuple[Any, bool]:
        """Only with a letter behind it: of a number that is cut there would be more."""
        try:
            value, at = self.json_decoder.raw_decode(self.buffer, self.position)
        except JSONDecodeError:
            return None, False
        except RecursionError as error:
            raise SourceError("the list is nested too deeply") from error
        if at >= len(self.buffer):
            return None, False
        self.position = at
        return value, True


class EntryReader:
    """Entries that can't be read, counted; told at the first, second, fourth ... of them."""

    def __init__(self) -> None:
        self.skipped = 0

    def read_rows(self, items: Iterable[Any]) -> tuple[list[Row], list[tuple[str, int]]]:
        """What can be read; of some only their life."""
        rows: list[Row] = []
        lives: list[tuple[str, int]] = []
        for item in items:
            try:
                rows.append(row_of(parse_endpoint(item)))
            except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
                self.skipped += 1
                if self.skipped.bit_count() == 1:
                    log.warning(
                        LogEvent("the list: an entry is passed over", why=repr(error), so_far=self.skipped)
                    )
                if isinstance(item, dict) and "instanceId" in item:
                    listing = LISTINGS.get(str(item.get("lifecycle")), Listing.DRAINING)
                    lives.append((str(item["instanceId"]), LISTING_NUMBERS[listing]))
        return rows, lives


class ListTransfer:
    """One list on its way from the source to the keeper."""

    def __init__(
        self, keeper: ShardServer, epoch: int, passed: EntryReader, asked_at: float, least: int | None
    ) -> None:
        """`asked_at`: on the loop's clock; `least`: the generation from which on changes were asked for,
        None: all was asked for."""
        self.server, self.epoch, self.entry_reader, self.requested_at = keeper, epoch, passed, asked_at
        self.from_generation = least
        self.splitter = ListSplitter()
        self._staged_update: StagedList | StagedChanges | None = None
        self.deferred_entries: list[Any] = []  # entries of a list that tells its generation behind them
        self.entry_count = 0
        self.largest_batch = 0  # entries taken up in one turn, at most

    async def run(self, pieces: AsyncIterator[bytes]) -> int:
        """Its generation. Raises SourceError, and TooManyChanges."""
        async for piece in pieces:
            self.splitter.feed(piece)
            more = True
            while more:
                more = self._process_entries(self.splitter.read_entries(ENTRIES_PER_TURN))
                await asyncio.sleep(0)  # also where the next piece lies ready: all else has its turn
        self.splitter.check_complete()
        generation, whole = self._generation_and_reset()
        while self.deferred_entries:
            late, self.deferred_entries = (
                self.deferred_entries[:ENTRIES_PER_TURN],
                self.deferred_entries[ENTRIES_PER_TURN:],
            )
            self._stage_entries(late)
            await asyncio.sleep(0)
        if whole or self.entry_count or generation != self.from_generation:
            await self._commit(self._staging(), generation)
        if not whole:
            self.server.confirm_source(self.requested_at)
        return generation

    async def _commit(self, staged: StagedList | StagedChanges, generation: int) -> None:
        taken = staged.seal(self.requested_at)
        while taken and not staged.step():
            await asyncio.sleep(0)
        if not taken or not staged.is_committed:
            raise OutdatedListError(
                f"generation {generation} of epoch {self.epoch} is older than what is known: where "
                "the source counts anew, shards.epoch has to be raised"
            )

    def _generation_and_reset(self) -> tuple[int, bool]:
        try:
            return int(self.splitter.fields["generation"]), bool(self.splitter.fields["reset"])
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise SourceError(f"malformed list: {error!r}") from error

    def _process_entries(self, items: list[Any]) -> bool:
        """Whether there may be more."""
        self.largest_batch = max(self.largest_batch, len(items))
        self.entry_count += len(items)
        if "generation" not in self.splitter.fields or "reset" not in self.splitter.fields:
            self.deferred_entries += items
        elif items:
            self._stage_entries(items)
        return len(items) == ENTRIES_PER_TURN

    def _staging(self) -> StagedList | StagedChanges:
        generation, whole = self._generation_and_reset()
        if self._staged_update is None and whole:
            self._staged_update = self.server.start_list(self.requested_at, (self.epoch, generation))
        elif self._staged_update is None:
            if self.from_generation is None:
                raise SourceError("changes came where the whole list was asked for")
            self._staged_update = self.server.start_changes(self.requested_at, generation)
        return self._staged_update

    def _stage_entries(self, items: list[Any]) -> None:
        staged = self._staging()
        rows, lives = self.entry_reader.read_rows(items)
        if isinstance(staged, StagedList):  # what can't be read of them stands, but for their life
            known = ((self.server.find_row(name), listing) for name, listing in lives)
            staged.add(
                rows
                + [msgspec.structs.replace(row, listing=listing) for row, listing in known if row is not None]
            )
        elif self.entry_count > MAX_CHANGES:
            raise TooManyChangesError
        else:
            staged.add(rows, lives)


async def http_response_body(at: Address, target: str, patience_s: float) -> AsyncIterator[bytes]:
    """An answer's body as it comes. Raises OSError (TimeoutError too) and SourceError."""
    async with asyncio.timeout(patience_s):
        reader, writer = await asyncio.open_connection(*at)
    try:
        http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HTTP_HEAD_BYTES)
        host = f"{at[0]}:{at[1]}"
        asked = http.send(
            h11.Request(method="GET", target=target, headers=[("Host", host), ("Connection", "close")])
        )
        writer.write((asked or b"") + (http.send(h11.EndOfMessage()) or b""))
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout(patience_s):
                    http.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise SourceError(f"status {event.status_code}")
                patience_s = READ_TIMEOUT_S
            elif isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            elif not isinstance(event, h11.InformationalResponse):
                raise SourceError("the connection ended before the answer")
    except h11.RemoteProtocolError as error:
        raise SourceError(f"not an HTTP answer: {error}") from error
    finally:
        writer.close()


class ListSource:
    """What both kinds have in common: what fails is told, and changes nothing."""

    def __init__(self, keeper: ShardServer, epoch: int) -> None:
        self.server, self.epoch, self.entry_reader = keeper, epoch, EntryReader()
        self.generation: int | None = None
        self.failures = 0
        self.largest_batch = 0  # entries taken up in one turn, at most, of all lists

    @staticmethod
    def now() -> float:
        return asyncio.get_running_loop().time()

    async def _transfer(self, pieces: AsyncIterator[bytes], asked_at: float) -> None:
        taking = ListTransfer(self.server, self.epoch, self.entry_reader, asked_at, self.generation)
        try:
            async with asyncio.timeout(LIST_TIMEOUT_S):
                self.generation = await taking.run(pieces)
        finally:
            self.largest_batch = max(self.largest_batch, taking.largest_batch)

    def _record_failure(self, why: object) -> None:
        self.failures += 1
        log.warning(LogEvent("the list can't be taken", why=why, so_far=self.failures))


class RegisterSource(ListSource):
    """The register: its list whole, then what changes."""

    def __init__(
        self, keeper: ShardServer, epoch: int, at: Address, keepers: int, seed: int, shared: bool
    ) -> None:
        super().__init__(keeper, epoch)
        self.address, self.poll_schedule = at, PollSchedule(keepers, random.Random(seed), shared)

    def reload(self, at: Address) -> None:
        """Another register: what it has is asked for whole."""
        if at != self.address:
            self.address, self.generation = at, None
            self.poll_schedule.reset()

    async def run(self) -> None:
        """Never ends by itself."""
        while True:
            try:
                await self._poll()
                self.poll_schedule.on_answered()
            except TooManyChangesError:
                self.generation = None  # all of it then, which is taken in pieces
            except (OSError, SourceError) as error:
                self._record_failure(repr(error))
                if isinstance(error, OutdatedListError):
                    self.generation = None  # it counts anew: all of it, and as soon as that may be taken
                await asyncio.sleep(
                    self.poll_schedule.pause_after_failure_ms(is_refused=isinstance(error, SourceError))
                    / 1000
                )
            except Exception:
                log.exception("the list could not be taken")
                await asyncio.sleep(self.poll_schedule.pause_after_failure_ms() / 1000)

    async def _poll(self) -> None:
        hold_ms, target = 0, "/v1/servers"
        if self.generation is not None:
            hold_ms = round(min(WATCH_MS, self.poll_schedule.watch_duration_ms()))
            target += f"?from={self.generation}&hold_ms={hold_ms}"
        at = self.address
        await self._transfer(
            http_response_body(at, target, self.poll_schedule.call_timeout_ms(hold_ms) / 1000), self.now()
        )
        if at != self.address:  # another register meanwhile, which counts by itself
            self.generation = None


class FileSource(ListSource):
    """A file with the whole list; replaced (or written anew) with a higher generation where it changes."""

    def __init__(self, keeper: ShardServer, epoch: int, path: Path) -> None:
        super().__init__(keeper, epoch)
        self.path = path
        self.last_read_stat: tuple[int, int, int] | None = None  # what it was when it was read last
        self.is_usable = False

    async def run(self) -> None:
        """Never ends by itself."""
        while True:
            try:
                await self.check_file()
            except (OSError, SourceError) as error:
                self._record_failure(repr(error))
            except Exception:
                log.exception("the list could not be taken")
            await asyncio.sleep(FILE_CHECK_INTERVAL_S)

    async def check_file(self) -> None:
        """Reads it if it has changed since; where the latest can't be used, what is known gets old."""
        now = self.now()
        stat = await asyncio.to_thread(os.stat, self.path)
        mark = stat.st_mtime_ns, stat.st_size, stat.st_ino
        if mark == self.last_read_stat:
            if self.is_usable:
                self.server.confirm_source(now)
            return
        self.last_read_stat, self.is_usable = mark, False
        try:
            before, self.generation = self.generation, None
            await self._transfer(self._chunks(), now)
            self.is_usable = True
        except SourceError:
            self.generation = before
            raise
        except BaseException:
            self.last_read_stat, self.generation = None, before  # it is tried again
            raise

    async def _chunks(self) -> AsyncIterator[bytes]:
        with await asyncio.to_thread(open, self.path, "rb") as file:
            while piece := await asyncio.to_thread(file.read, READ_BYTES):
                yield piece

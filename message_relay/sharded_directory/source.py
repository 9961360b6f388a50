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
from .bulk_load import Change, Load
from .shard_server import ShardServer
from .wire import Row

log = logging.getLogger(__name__)

LIST_BYTES = 256 << 20  # of one list: five times what 360,000 destinations take
ITEM_BYTES = 64 << 10  # of one entry, or of what stands beside the entries: a usual one has 150
PIECE_BYTES = 16 << 10  # read at once: some hundred entries
ENTRIES_A_TURN = 256  # taken up at once: some milliseconds
CHANGES_MOST = 50_000  # in one answer, some 15 MB until they are in force; more: all is asked for, by pieces
SILENCE_S = 3.0  # a source that says nothing more for so long is given up
WHOLE_S = 120.0  # one list takes no longer
# A watch, at most. What it tells counts as of when it was asked, as the answer may have lain unread while
# this process stood still: so old a confirmation is at once, and twice that when the next one comes.
HOLD_MS = 2000.0
LOOK_S = 1.0  # a file is looked at so often
HEAD_BYTES = 16 << 10
SPACE = " \t\r\n"
NUMBERS = {listing: number for number, listing in enumerate(wire.LISTINGS)}


class SourceError(Exception):
    """What the source says can't be used; the text says why."""


class Refused(SourceError):
    """It is older than what is known."""


class TooManyChanges(Exception):
    """More than are taken in one turn."""


def row(member: EndpointRecord) -> Row:
    return Row(
        member.name,
        member.destination,
        NUMBERS[member.listing],
        *member.address,
        member.kind,
        member.zone,
        member.rate,
    )


class Splitter:
    """Takes a list in the platform's form as it comes, and gives its entries one by one. What stands beside
    them is in `head`. Raises SourceError where it is no list."""

    def __init__(self) -> None:
        self.text, self.at = "", 0
        self.decoder = codecs.getincrementaldecoder("utf-8")()
        self.json = json.JSONDecoder()
        self.head: dict[str, Any] = {}
        self.count: int | None = None  # of entries so far; None: their place has not come
        self.place = "start"
        self.bytes = 0

    def feed(self, data: bytes) -> None:
        self.bytes += len(data)
        if self.bytes > LIST_BYTES:
            raise SourceError(f"the list is longer than {LIST_BYTES} bytes")
        try:
            self.text = self.text[self.at :] + self.decoder.decode(data)
        except UnicodeDecodeError as error:
            raise SourceError(f"the list is no UTF-8: {error.reason}") from error
        self.at = 0

    def entries(self, most: int) -> list[Any]:
        """Up to so many; fewer: all that have come whole."""
        found: list[Any] = []
        while len(found) < most and self.place != "end":
            begun = self.at
            if not (self._entry(found) if self.place == "entries" else self._beside()):
                self.at = begun
                if len(self.text) - self.at > ITEM_BYTES:
                    raise SourceError(f"an entry can't be read within {ITEM_BYTES} letters")
                break
        return found

    def whole(self) -> None:
        """It has ended. Raises SourceError where something is missing."""
        if self.place != "end" or self.count is None:
            raise SourceError("the list ends before its end")

    def _entry(self, found: list[Any]) -> bool:
        """One more, or the end of all; False: it has not come whole."""
        sign = self._sign()
        if sign is None:
            return False
        assert self.count is not None
        if sign == "," and self.count:
            self.at += 1
            sign = self._sign()
            if sign is None:
                return False
        elif sign != "]" and self.count:
            raise SourceError("the list is no JSON: entries without a comma")
        if sign == "]":
            self.at += 1
            self.place = "after"
            return True
        value, there = self._value()
        if there:
            found.append(value)
            self.count += 1
        return there

    def _beside(self) -> bool:
        sign = self._sign()
        if sign is None:
            return False
        wanted = {"start": "{", "after": ",}"}.get(self.place, '"')
        if sign not in wanted and not (self.place == "field" and sign == "}" and not self.head):
            raise SourceError(f"the list is no JSON: {sign!r} where {wanted!r} is due")
        if self.place != "field":
            self.at += 1
            self.place = "end" if sign == "}" else "field"
            return True
        name, there = self._value()
        if not there or self._sign() is None:
            return False
        if self._sign() != ":":
            raise SourceError("the list is no JSON: a name without a value")
        self.at += 1
        if (sign := self._sign()) is None:
            return False
        if name == "instances":
            if sign != "[":
                raise SourceError("malformed list: instances is no array")
            self.at += 1
            self.place, self.count = "entries", 0
            return True
        value, there = self._value()
        if there:
            self.place, self.head[str(name)] = "after", value
        return there

    def _sign(self) -> str | None:
        """The next letter that is no space; None: it has not come."""
        while self.at < len(self.text) and self.text[self.at] in SPACE:
            self.at += 1
        return self.text[self.at] if self.at < len(self.text) else None

    def _value(self) -> tuple[Any, bool]:
        """Only with a letter behind it: of a number that is cut there would be more."""
        try:
            value, at = self.json.raw_decode(self.text, self.at)
        except JSONDecodeError:
            return None, False
        except RecursionError as error:
            raise SourceError("the list is nested too deeply") from error
        if at >= len(self.text):
            return None, False
        self.at = at
        return value, True


class Passed:
    """Entries that can't be read, counted; told at the first, second, fourth ... of them."""

    def __init__(self) -> None:
        self.count = 0

    def rows(self, items: Iterable[Any]) -> tuple[list[Row], list[tuple[str, int]]]:
        """What can be read; of some only their life."""
        rows: list[Row] = []
        lives: list[tuple[str, int]] = []
        for item in items:
            try:
                rows.append(row(parse_endpoint(item)))
            except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
                self.count += 1
                if self.count.bit_count() == 1:
                    log.warning(
                        LogEvent("the list: an entry is passed over", why=repr(error), so_far=self.count)
                    )
                if isinstance(item, dict) and "instanceId" in item:
                    listing = LISTINGS.get(str(item.get("lifecycle")), Listing.DRAINING)
                    lives.append((str(item["instanceId"]), NUMBERS[listing]))
        return rows, lives


class Taking:
    """One list on its way from the source to the keeper."""

    def __init__(
        self, keeper: ShardServer, epoch: int, passed: Passed, asked_at: float, least: int | None
    ) -> None:
        """`asked_at`: on the loop's clock; `least`: the generation from which on changes were asked for,
        None: all was asked for."""
        self.keeper, self.epoch, self.passed, self.asked_at = keeper, epoch, passed, asked_at
        self.least = least
        self.split = Splitter()
        self.staged: Load | Change | None = None
        self.late: list[Any] = []  # entries of a list that tells its generation behind them
        self.count = 0
        self.longest = 0  # entries taken up in one turn, at most

    async def take(self, pieces: AsyncIterator[bytes]) -> int:
        """Its generation. Raises SourceError, and TooManyChanges."""
        async for piece in pieces:
            self.split.feed(piece)
            more = True
            while more:
                more = self._some(self.split.entries(ENTRIES_A_TURN))
                await asyncio.sleep(0)  # also where the next piece lies ready: all else has its turn
        self.split.whole()
        generation, whole = self._head()
        while self.late:
            late, self.late = self.late[:ENTRIES_A_TURN], self.late[ENTRIES_A_TURN:]
            self._add(late)
            await asyncio.sleep(0)
        if whole or self.count or generation != self.least:
            await self._finish(self._staged(), generation)
        if not whole:
            self.keeper.confirmed(self.asked_at)
        return generation

    async def _finish(self, staged: Load | Change, generation: int) -> None:
        taken = staged.end(self.asked_at)
        while taken and not staged.step():
            await asyncio.sleep(0)
        if not taken or not staged.taken:
            raise Refused(
                f"generation {generation} of epoch {self.epoch} is older than what is known: where "
                "the source counts anew, shards.epoch has to be raised"
            )

    def _head(self) -> tuple[int, bool]:
        try:
            return int(self.split.head["generation"]), bool(self.split.head["reset"])
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise SourceError(f"malformed list: {error!r}") from error

    def _some(self, items: list[Any]) -> bool:
        """Whether there may be more."""
        self.longest = max(self.longest, len(items))
        self.count += len(items)
        if "generation" not in self.split.head or "reset" not in self.split.head:
            self.late += items
        elif items:
            self._add(items)
        return len(items) == ENTRIES_A_TURN

    def _staged(self) -> Load | Change:
        generation, whole = self._head()
        if self.staged is None and whole:
            self.staged = self.keeper.begin(self.asked_at, (self.epoch, generation))
        elif self.staged is None:
            if self.least is None:
                raise SourceError("changes came where the whole list was asked for")
            self.staged = self.keeper.change(self.asked_at, generation)
        return self.staged

    def _add(self, items: list[Any]) -> None:
        staged = self._staged()
        rows, lives = self.passed.rows(items)
        if isinstance(staged, Load):  # what can't be read of them stands, but for their life
            known = ((self.keeper.known(name), listing) for name, listing in lives)
            staged.add(
                rows
                + [msgspec.structs.replace(row, listing=listing) for row, listing in known if row is not None]
            )
        elif self.count > CHANGES_MOST:
            raise TooManyChanges
        else:
            staged.add(rows, lives)


async def answer(at: Address, target: str, patience_s: float) -> AsyncIterator[bytes]:
    """An answer's body as it comes. Raises OSError (TimeoutError too) and SourceError."""
    async with asyncio.timeout(patience_s):
        reader, writer = await asyncio.open_connection(*at)
    try:
        http = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_BYTES)
        host = f"{at[0]}:{at[1]}"
        asked = http.send(
            h11.Request(method="GET", target=target, headers=[("Host", host), ("Connection", "close")])
        )
        writer.write((asked or b"") + (http.send(h11.EndOfMessage()) or b""))
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout(patience_s):
                    http.receive_data(await reader.read(PIECE_BYTES))
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise SourceError(f"status {event.status_code}")
                patience_s = SILENCE_S
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


class Source:
    """What both kinds have in common: what fails is told, and changes nothing."""

    def __init__(self, keeper: ShardServer, epoch: int) -> None:
        self.keeper, self.epoch, self.passed = keeper, epoch, Passed()
        self.generation: int | None = None
        self.failures = 0
        self.longest = 0  # entries taken up in one turn, at most, of all lists

    @staticmethod
    def now() -> float:
        return asyncio.get_running_loop().time()

    async def _taken(self, pieces: AsyncIterator[bytes], asked_at: float) -> None:
        taking = Taking(self.keeper, self.epoch, self.passed, asked_at, self.generation)
        try:
            async with asyncio.timeout(WHOLE_S):
                self.generation = await taking.take(pieces)
        finally:
            self.longest = max(self.longest, taking.longest)

    def _failed(self, why: object) -> None:
        self.failures += 1
        log.warning(LogEvent("the list can't be taken", why=why, so_far=self.failures))


class RegisterSource(Source):
    """The register: its list whole, then what changes."""

    def __init__(
        self, keeper: ShardServer, epoch: int, at: Address, keepers: int, seed: int, shared: bool
    ) -> None:
        super().__init__(keeper, epoch)
        self.at, self.asking = at, PollSchedule(keepers, random.Random(seed), shared)

    def reload(self, at: Address) -> None:
        """Another register: what it has is asked for whole."""
        if at != self.at:
            self.at, self.generation = at, None
            self.asking.reset()

    async def run(self) -> None:
        """Never ends by itself."""
        while True:
            try:
                await self._ask()
                self.asking.on_answered()
            except TooManyChanges:
                self.generation = None  # all of it then, which is taken in pieces
            except (OSError, SourceError) as error:
                self._failed(repr(error))
                if isinstance(error, Refused):
                    self.generation = None  # it counts anew: all of it, and as soon as that may be taken
                await asyncio.sleep(
                    self.asking.pause_after_failure_ms(is_refused=isinstance(error, SourceError)) / 1000
                )
            except Exception:
                log.exception("the list could not be taken")
                await asyncio.sleep(self.asking.pause_after_failure_ms() / 1000)

    async def _ask(self) -> None:
        hold_ms, target = 0, "/v1/servers"
        if self.generation is not None:
            hold_ms = round(min(HOLD_MS, self.asking.watch_duration_ms()))
            target += f"?from={self.generation}&hold_ms={hold_ms}"
        at = self.at
        await self._taken(answer(at, target, self.asking.call_timeout_ms(hold_ms) / 1000), self.now())
        if at != self.at:  # another register meanwhile, which counts by itself
            self.generation = None


class FileSource(Source):
    """A file with the whole list; replaced (or written anew) with a higher generation where it changes."""

    def __init__(self, keeper: ShardServer, epoch: int, path: Path) -> None:
        super().__init__(keeper, epoch)
        self.path = path
        self.read: tuple[int, int, int] | None = None  # what it was when it was read last
        self.good = False

    async def run(self) -> None:
        """Never ends by itself."""
        while True:
            try:
                await self.look()
            except (OSError, SourceError) as error:
                self._failed(repr(error))
            except Exception:
                log.exception("the list could not be taken")
            await asyncio.sleep(LOOK_S)

    async def look(self) -> None:
        """Reads it if it has changed since; where the latest can't be used, what is known gets old."""
        now = self.now()
        stat = await asyncio.to_thread(os.stat, self.path)
        mark = stat.st_mtime_ns, stat.st_size, stat.st_ino
        if mark == self.read:
            if self.good:
                self.keeper.confirmed(now)
            return
        self.read, self.good = mark, False
        try:
            before, self.generation = self.generation, None
            await self._taken(self._pieces(), now)
            self.good = True
        except SourceError:
            self.generation = before
            raise
        except BaseException:
            self.read, self.generation = None, before  # it is tried again
            raise

    async def _pieces(self) -> AsyncIterator[bytes]:
        with await asyncio.to_thread(open, self.path, "rb") as file:
            while piece := await asyncio.to_thread(file.read, PIECE_BYTES):
                yield piece

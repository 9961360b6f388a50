"""Where a keeper has its list from: the register, by a watch, or a file. Read in pieces, as it comes, so that no
list however long takes one long turn of the loop; what is cut, too long or no list changes nothing."""

from __future__ import annotations

import asyncio
import codecs
import json
import logging
import os
import random
from collections.abc import AsyncIterator, Callable, Iterable
from json.decoder import JSONDecodeError
from pathlib import Path
from typing import Any, Protocol

import h11

from ..config import Address
from ..core.seams import Member
from ..decisions.interface import Listing
from ..http.register import LISTINGS, _member
from ..logs import Note
from ..membership.asking import Asking
from . import wire
from .wire import Row, Version

log = logging.getLogger(__name__)

LIST_BYTES = 256 << 20  # of one list: five times what 360,000 destinations take
ITEM_BYTES = 64 << 10  # of one entry, or of what stands beside the entries: a usual one has 150
PIECE_BYTES = 16 << 10  # read at once: some hundred entries
ENTRIES_A_TURN = 256  # taken up at once: some milliseconds
CHANGES_MOST = 500  # in one answer, taken in one turn; more: the whole list is asked for, which is taken in pieces
SILENCE_S = 3.0  # a source that says nothing more for so long is given up
WHOLE_S = 120.0  # one list takes no longer
HOLD_MS = 3000.0  # a watch, at most: so old a confirmation may be, and a pause and an answer on top
LOOK_S = 1.0  # a file is looked at so often
HEAD_BYTES = 16 << 10
SPACE = " \t\r\n"
NUMBERS = {listing: number for number, listing in enumerate(wire.LISTINGS)}


class SourceError(Exception):
    """What the source says can't be used; the text says why."""


class TooManyChanges(Exception):
    """More than are taken in one turn."""


class Load(Protocol):
    def add(self, rows: Iterable[Row]) -> None: ...
    def end(self, now: float) -> bool: ...
    def step(self) -> bool: ...


class Keeping(Protocol):
    """As far as a source needs to know a keeper."""

    def begin(self, now: float, version: Version) -> Load: ...
    def changed(
        self, now: float, generation: int, rows: Iterable[Row], lives: Iterable[tuple[str, int]]
    ) -> None: ...
    def confirmed(self, now: float) -> None: ...


def row(member: Member) -> Row:
    return Row(member.name, member.destination, NUMBERS[member.listing], *member.address, member.kind,
               member.zone, member.rate)


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
            self.text = self.text[self.at:] + self.decoder.decode(data)
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
                rows.append(row(_member(item)))
            except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
                self.count += 1
                if self.count.bit_count() == 1:
                    log.warning(Note("the list: an entry is passed over", why=repr(error), so_far=self.count))
                if isinstance(item, dict) and "instanceId" in item:
                    listing = LISTINGS.get(str(item.get("lifecycle")), Listing.DRAINING)
                    lives.append((str(item["instanceId"]), NUMBERS[listing]))
        return rows, lives


class Taking:
    """One list on its way from the source to the keeper."""

    def __init__(self, keeper: Keeping, epoch: int, passed: Passed, now: Callable[[], float],
                 least: int | None) -> None:
        """`least`: the generation that was asked from; None: all was asked for."""
        self.keeper, self.epoch, self.passed, self.now, self.least = keeper, epoch, passed, now, least
        self.split = Splitter()
        self.load: Load | None = None
        self.late: list[Any] = []  # entries of a list that tells its generation behind them
        self.rows: list[Row] = []
        self.lives: list[tuple[str, int]] = []
        self.longest = 0  # entries taken up in one turn, at most

    async def take(self, pieces: AsyncIterator[bytes]) -> int:
        """Its generation. Raises SourceError, and TooManyChanges."""
        async for piece in pieces:
            self.split.feed(piece)
            while self._some(self.split.entries(ENTRIES_A_TURN)):
                await asyncio.sleep(0)
        self.split.whole()
        generation, whole = self._head()
        while self.late:
            late, self.late = self.late[:ENTRIES_A_TURN], self.late[ENTRIES_A_TURN:]
            self._add(late, whole, generation)
            await asyncio.sleep(0)
        if not whole:
            self._change(generation)
            return generation
        load = self.load or self.keeper.begin(self.now(), (self.epoch, generation))
        if not load.end(self.now()):
            raise SourceError(f"generation {generation} of epoch {self.epoch} is older than what is known: "
                              "where the source counts anew, shards.epoch has to be raised")
        while not load.step():
            await asyncio.sleep(0)
        if self.lives:  # what can't be read of them stands, but for their life
            self.keeper.changed(self.now(), generation, [], self.lives)
        return generation

    def _head(self) -> tuple[int, bool]:
        try:
            return int(self.split.head["generation"]), bool(self.split.head["reset"])
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise SourceError(f"malformed list: {error!r}") from error

    def _some(self, items: list[Any]) -> bool:
        """Whether there may be more."""
        self.longest = max(self.longest, len(items))
        if "generation" not in self.split.head or "reset" not in self.split.head:
            self.late += items
        elif items:
            generation, whole = self._head()
            late, self.late = self.late, []
            self._add(late + items, whole, generation)
        return len(items) == ENTRIES_A_TURN

    def _add(self, items: list[Any], whole: bool, generation: int) -> None:
        if not whole and self.least is None:
            raise SourceError("changes came where the whole list was asked for")
        rows, lives = self.passed.rows(items)
        self.lives += lives
        if whole:
            if self.load is None:
                self.load = self.keeper.begin(self.now(), (self.epoch, generation))
            self.load.add(rows)
            return
        self.rows += rows
        if len(self.rows) + len(self.lives) > CHANGES_MOST:
            raise TooManyChanges

    def _change(self, generation: int) -> None:
        if self.least is None:
            raise SourceError("changes came where the whole list was asked for")
        if self.rows or self.lives or generation != self.least:
            names = {each.name: each for each in self.rows}  # of one that comes twice the later holds
            self.keeper.changed(self.now(), generation, list(names.values()), self.lives)
        self.keeper.confirmed(self.now())


async def answer(at: Address, target: str, patience_s: float) -> AsyncIterator[bytes]:
    """An answer's body as it comes. Raises OSError (TimeoutError too) and SourceError."""
    async with asyncio.timeout(patience_s):
        reader, writer = await asyncio.open_connection(*at)
    try:
        http = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_BYTES)
        host = f"{at[0]}:{at[1]}"
        asked = http.send(h11.Request(method="GET", target=target,
                                      headers=[("Host", host), ("Connection", "close")]))
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

    def __init__(self, keeper: Keeping, epoch: int) -> None:
        self.keeper, self.epoch, self.passed = keeper, epoch, Passed()
        self.generation: int | None = None
        self.failures = 0
        self.longest = 0  # entries taken up in one turn, at most, of all lists

    @staticmethod
    def now() -> float:
        return asyncio.get_running_loop().time()

    async def _taken(self, pieces: AsyncIterator[bytes]) -> None:
        taking = Taking(self.keeper, self.epoch, self.passed, self.now, self.generation)
        try:
            async with asyncio.timeout(WHOLE_S):
                self.generation = await taking.take(pieces)
        finally:
            self.longest = max(self.longest, taking.longest)

    def _failed(self, why: object) -> None:
        self.failures += 1
        log.warning(Note("the list can't be taken", why=why, so_far=self.failures))


class RegisterSource(Source):
    """The register: its list whole, then what changes."""

    def __init__(self, keeper: Keeping, epoch: int, at: Address, keepers: int, seed: int,
                 shared: bool) -> None:
        super().__init__(keeper, epoch)
        self.at, self.asking = at, Asking(keepers, random.Random(seed), shared)

    def reload(self, at: Address) -> None:
        """Another register: what it has is asked for whole."""
        if at != self.at:
            self.at, self.generation = at, None
            self.asking.anew()

    async def run(self) -> None:
        """Never ends by itself."""
        while True:
            try:
                await self._ask()
                self.asking.answered()
            except TooManyChanges:
                self.generation = None  # all of it then, which is taken in pieces
            except (OSError, SourceError) as error:
                self._failed(repr(error))
                await asyncio.sleep(self.asking.failed(refused=isinstance(error, SourceError)) / 1000)
            except Exception:
                log.exception("the list could not be taken")
                await asyncio.sleep(self.asking.failed() / 1000)

    async def _ask(self) -> None:
        hold_ms, target = 0, "/v1/servers"
        if self.generation is not None:
            hold_ms = round(min(HOLD_MS, self.asking.hold()))
            target += f"?from={self.generation}&hold_ms={hold_ms}"
        await self._taken(answer(self.at, target, self.asking.patience(hold_ms) / 1000))


class FileSource(Source):
    """A file with the whole list; replaced (or written anew) with a higher generation where it changes."""

    def __init__(self, keeper: Keeping, epoch: int, path: Path) -> None:
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
        stat = await asyncio.to_thread(os.stat, self.path)
        mark = stat.st_mtime_ns, stat.st_size, stat.st_ino
        if mark == self.read:
            if self.good:
                self.keeper.confirmed(self.now())
            return
        self.read, self.good = mark, False
        try:
            before, self.generation = self.generation, None
            await self._taken(self._pieces())
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

"""Transfers one list, or the changes of one poll, from a source into a shard server.

Entries are read and staged in small batches, and all other tasks get a turn in between.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Iterable
from typing import Any, NamedTuple

import msgspec

from ..core.ports import EndpointRecord
from ..decisions.model import Listing
from ..http.discovery_client import LISTINGS, parse_endpoint
from ..structured_logging import LogEvent
from . import wire
from .bulk_load import StagedChanges, StagedList
from .errors import OutdatedListError, SourceError, TooManyChangesError
from .list_splitter import ListSplitter
from .shard_server import ShardServer
from .wire import Row

log = logging.getLogger(__name__)

ENTRIES_PER_TURN = 256  # read in one turn of the event loop: some milliseconds
MAX_CHANGES = 50_000  # of one response: some 15 MB until they are committed; above it the whole list is read
LISTING_NUMBERS = {listing: number for number, listing in enumerate(wire.LISTINGS)}


class ListHeader(NamedTuple):
    """Fields of a list other than its entries."""

    generation: int
    is_full_list: bool  # False: the changes since the requested generation


def row_of(record: EndpointRecord) -> Row:
    """Convert an endpoint record to a row."""
    return Row(
        record.name,
        record.destination,
        LISTING_NUMBERS[record.listing],
        *record.address,
        record.kind,
        record.zone,
        record.rate,
    )


class EntryReader:
    """Parses entries; malformed ones are skipped and counted, and logged at the 1st, 2nd, 4th ..."""

    def __init__(self) -> None:
        self.skipped = 0

    def read_rows(self, entries: Iterable[Any]) -> tuple[list[Row], list[tuple[str, int]]]:
        """Return the rows, and the names and listing numbers of malformed entries that have a name."""
        rows: list[Row] = []
        listings: list[tuple[str, int]] = []
        for entry in entries:
            try:
                rows.append(row_of(parse_endpoint(entry)))
            except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
                self._record_skipped(error)
                if isinstance(entry, dict) and "instanceId" in entry:
                    listing = LISTINGS.get(str(entry.get("lifecycle")), Listing.DRAINING)
                    listings.append((str(entry["instanceId"]), LISTING_NUMBERS[listing]))
        return rows, listings

    def _record_skipped(self, error: Exception) -> None:
        self.skipped += 1
        if self.skipped.bit_count() == 1:
            log.warning(LogEvent("malformed list entry skipped", why=repr(error), so_far=self.skipped))


class ListTransfer:
    """Reads one response of a source and commits it to the server."""

    def __init__(
        self,
        server: ShardServer,
        epoch: int,
        entry_reader: EntryReader,
        requested_at: float,
        from_generation: int | None,
    ) -> None:
        """Create a transfer.

        Args:
            server: Where the list goes.
            epoch: The source's epoch.
            entry_reader: Reads and counts entries.
            requested_at: Time of the request to the source, on the loop's clock.
            from_generation: The generation since which changes were requested; None for the whole list.
        """
        self.server = server
        self.epoch = epoch
        self.entry_reader = entry_reader
        self.requested_at = requested_at
        self.from_generation = from_generation
        self.splitter = ListSplitter()
        self.deferred_entries: list[Any] = []  # of a list whose header follows its entries
        self.entry_count = 0
        self.largest_batch = 0  # maximum of entries read in one turn
        self._staged: StagedList | StagedChanges | None = None

    async def run(self, chunks: AsyncIterator[bytes]) -> int:
        """Read the response and commit it; return its generation.

        Raises:
            SourceError: The response is malformed, incomplete or outdated.
            TooManyChangesError: The response has more than MAX_CHANGES changes.
        """
        async for chunk in chunks:
            self.splitter.feed(chunk)
            has_more = True
            while has_more:
                has_more = self._process_entries(self.splitter.read_entries(ENTRIES_PER_TURN))
                await asyncio.sleep(0)  # also if the next chunk is ready, so that other tasks get a turn
        self.splitter.check_complete()
        header = self._header()
        await self._stage_deferred()
        if header.is_full_list or self.entry_count or header.generation != self.from_generation:
            await self._commit(self._staged_update(), header.generation)
        if not header.is_full_list:
            self.server.confirm_source(self.requested_at)
        return header.generation

    async def _stage_deferred(self) -> None:
        while self.deferred_entries:
            batch = self.deferred_entries[:ENTRIES_PER_TURN]
            self.deferred_entries = self.deferred_entries[ENTRIES_PER_TURN:]
            self._stage_entries(batch)
            await asyncio.sleep(0)

    async def _commit(self, staged: StagedList | StagedChanges, generation: int) -> None:
        is_accepted = staged.seal(self.requested_at)
        while is_accepted and not staged.step():
            await asyncio.sleep(0)
        if not is_accepted or not staged.is_committed:
            raise OutdatedListError(
                f"generation {generation} of epoch {self.epoch} is older than the one in force: "
                "if the source restarted its generations, shards.epoch has to be raised"
            )

    def _header(self) -> ListHeader:
        fields = self.splitter.fields
        try:
            return ListHeader(int(fields["generation"]), bool(fields["reset"]))
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise SourceError(f"malformed list: {error!r}") from error

    def _process_entries(self, entries: list[Any]) -> bool:
        """Stage a batch, or defer it until the header is known; return whether more may be buffered."""
        self.largest_batch = max(self.largest_batch, len(entries))
        self.entry_count += len(entries)
        if "generation" not in self.splitter.fields or "reset" not in self.splitter.fields:
            self.deferred_entries += entries
        elif entries:
            self._stage_entries(entries)
        return len(entries) == ENTRIES_PER_TURN

    def _staged_update(self) -> StagedList | StagedChanges:
        """Return the staged update, which is created once the header is known."""
        header = self._header()
        if self._staged is not None:
            return self._staged
        if header.is_full_list:
            self._staged = self.server.start_list(self.requested_at, (self.epoch, header.generation))
        elif self.from_generation is None:
            raise SourceError("the response has changes, but the whole list was requested")
        else:
            self._staged = self.server.start_changes(self.requested_at, header.generation)
        return self._staged

    def _stage_entries(self, entries: list[Any]) -> None:
        staged = self._staged_update()
        rows, listings = self.entry_reader.read_rows(entries)
        if isinstance(staged, StagedList):
            staged.add(rows + self._known_rows(listings))
        elif self.entry_count > MAX_CHANGES:
            raise TooManyChangesError
        else:
            staged.add(rows, listings)

    def _known_rows(self, listings: list[tuple[str, int]]) -> list[Row]:
        """Return the known rows of malformed entries, with the new listing."""
        rows: list[Row] = []
        for name, listing in listings:
            row = self.server.find_row(name)
            if row is not None:
                rows.append(msgspec.structs.replace(row, listing=listing))
        return rows

"""Snapshot of the destination states of a process, stored beside the journal for the next process.

One small file that is replaced atomically. An outdated or missing file costs delivery quality, but breaks no
promise to a client. Its content is `{"version":1,"at":UNIX_MS,"lanes":[...]}`, one item per destination. A
file that can't be read is ignored."""

from __future__ import annotations

import logging
import os
from dataclasses import replace
from pathlib import Path

import msgspec

from ..decisions.events import RestoredDestination
from ..structured_logging import LogEvent

log = logging.getLogger(__name__)

VERSION = 1
FILE_NAME = "learned"
MAX_FILE_BYTES = 16 * 1024  # the file and its replacement must both fit beside the journal
RESERVED_BYTES = 64  # part of the file for everything but its items
MAX_AGE_MS = 60_000.0  # older states are useless: outages are shorter


class _DestinationRecord(msgspec.Struct, forbid_unknown_fields=True):
    """An item of the file; the encoded names and their order are the format."""

    destination: int
    retry_after_ms: float = msgspec.field(name="wait_ms")
    is_ejected: bool = msgspec.field(name="out")
    failing_for_ms: float | None = msgspec.field(name="bad_ms")
    warming_up_for_ms: float | None = msgspec.field(name="cold_ms")


class _Snapshot(msgspec.Struct, forbid_unknown_fields=True):
    """The file; the encoded names and their order are the format."""

    version: int
    written_at_ms: float = msgspec.field(name="at")
    destinations: list[_DestinationRecord] = msgspec.field(name="lanes")


class DestinationSnapshotFile:
    """The file `learned` in a state directory."""

    def __init__(self, folder: Path) -> None:
        """`folder`: the state directory."""
        self.path = folder / FILE_NAME
        self.temporary_path = folder / f"{FILE_NAME}.new"
        self.destinations: list[RestoredDestination] = []  # as most recently written

    def load(self, now: float) -> list[RestoredDestination]:
        """Return the states in the file, adjusted by the time since it was written. Never raises.

        `now`: Unix ms. From a file that is too old, only unexpired Retry-After times are used."""
        try:
            snapshot: _Snapshot = msgspec.json.decode(self.path.read_bytes(), type=_Snapshot)
            if snapshot.version != VERSION:
                raise ValueError(f"version {snapshot.version} is not supported; expected {VERSION}")
            age_ms = max(0.0, now - snapshot.written_at_ms)
            destinations = [_restore(record, age_ms) for record in snapshot.destinations]
        except FileNotFoundError:
            return []
        except (OSError, ValueError) as error:  # msgspec's own errors are ValueErrors
            log.warning(LogEvent("destination snapshot ignored", path=self.path, why=error))
            return []
        if age_ms < MAX_AGE_MS:
            return destinations
        return [
            replace(each, is_ejected=False, failing_for_ms=None, warming_up_for_ms=None)
            for each in destinations
            if each.retry_after_ms > 0
        ]

    def save(self, now: float, destinations: list[RestoredDestination]) -> None:
        """Writes the file; items that do not fit are left out. Never raises.

        Nothing is written if there are no destinations now and there were none before. `now`: Unix ms."""
        if not destinations and not self.destinations:
            return
        self.destinations = destinations
        items = self._items_that_fit(destinations)
        head = f'{{"version":{VERSION},"at":{now:.0f},"lanes":['.encode()
        try:
            self.temporary_path.write_bytes(head + b",".join(items) + b"]}")
            os.replace(self.temporary_path, self.path)
        except OSError as error:
            log.warning(LogEvent("destination snapshot write failed", path=self.path, why=error))

    def _items_that_fit(self, destinations: list[RestoredDestination]) -> list[bytes]:
        items = [msgspec.json.encode(_record(each)) for each in destinations]
        size = RESERVED_BYTES
        for count, item in enumerate(items):
            size += len(item) + 1
            if size > MAX_FILE_BYTES:
                left_out = len(items) - count
                log.warning(LogEvent("destination snapshot truncated", path=self.path, left_out=left_out))
                return items[:count]
        return items


def _record(restored: RestoredDestination) -> _DestinationRecord:
    return _DestinationRecord(
        restored.destination,
        restored.retry_after_ms,
        restored.is_ejected,
        restored.failing_for_ms,
        restored.warming_up_for_ms,
    )


def _restore(record: _DestinationRecord, age_ms: float) -> RestoredDestination:
    """Raises ValueError if a time is not valid."""
    return RestoredDestination(
        record.destination,
        max(0.0, record.retry_after_ms - age_ms),
        record.is_ejected,
        None if record.failing_for_ms is None else record.failing_for_ms + age_ms,
        None if record.warming_up_for_ms is None else record.warming_up_for_ms + age_ms,
    )

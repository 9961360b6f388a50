"""What was learned of destinations, kept beside the journal for the next process.

One small file, replaced whole: an old one or none costs service, not a promise. `{"version":1,"at":UNIX_MS,
"lanes":[...]}`, each lane with the fields of interface.Learned. What cannot be read is passed over.
"""

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
MAX_FILE_BYTES = 16 * 1024  # at most, so that it and its successor have room beside the journal
MAX_AGE_MS = 60_000.0  # older knowledge is no use: outages are shorter


class _Lane(msgspec.Struct, forbid_unknown_fields=True):
    destination: int
    wait_ms: float
    out: bool
    bad_ms: float | None
    cold_ms: float | None


class _File(msgspec.Struct, forbid_unknown_fields=True):
    version: int
    at: float
    lanes: list[_Lane]


class DestinationSnapshotFile:
    def __init__(self, folder: Path) -> None:
        self.path, self.temporary_path = folder / "learned", folder / "learned.new"
        self.destinations: list[RestoredDestination] = []  # as last written

    def load(self, now: float) -> list[RestoredDestination]:
        """With the time since it was written taken into account; `now` in Unix ms. Never raises."""
        try:
            raw: _File = msgspec.json.decode(self.path.read_bytes(), type=_File)
            if raw.version != VERSION:
                raise ValueError(f"version {raw.version} is not known, {VERSION} is")
            age = max(0.0, now - raw.at)
            lanes = [self._aged(lane, age) for lane in raw.lanes]
        except FileNotFoundError:
            return []
        except (OSError, ValueError) as error:  # msgspec's own errors are ValueErrors
            log.warning(LogEvent("what was learned is passed over", path=self.path, why=error))
            return []
        return (
            lanes
            if age < MAX_AGE_MS
            else [
                replace(lane, is_ejected=False, failing_for_ms=None, warming_up_for_ms=None)
                for lane in lanes
                if lane.retry_after_ms > 0
            ]
        )

    @staticmethod
    def _record(restored: RestoredDestination) -> _Lane:
        return _Lane(
            restored.destination,
            restored.retry_after_ms,
            restored.is_ejected,
            restored.failing_for_ms,
            restored.warming_up_for_ms,
        )

    @staticmethod
    def _aged(lane: _Lane, age: float) -> RestoredDestination:
        return RestoredDestination(
            lane.destination,
            max(0.0, lane.wait_ms - age),
            lane.out,
            None if lane.bad_ms is None else lane.bad_ms + age,
            None if lane.cold_ms is None else lane.cold_ms + age,
        )

    def save(self, now: float, lanes: list[RestoredDestination]) -> None:
        """Only where there is something to tell, or was; what does not fit is left out. Never raises."""
        if not lanes and not self.destinations:
            return
        self.destinations = lanes
        items = [msgspec.json.encode(self._record(lane)) for lane in lanes]
        head, size, kept = f'{{"version":{VERSION},"at":{now:.0f},"lanes":['.encode(), 64, list[bytes]()
        for item in items:
            size += len(item) + 1
            if size > MAX_FILE_BYTES:
                log.warning(LogEvent("lanes have no room", path=self.path, left_out=len(items) - len(kept)))
                break
            kept.append(item)
        try:
            self.temporary_path.write_bytes(head + b",".join(kept) + b"]}")
            os.replace(self.temporary_path, self.path)
        except OSError as error:
            log.warning(LogEvent("what was learned cannot be written", path=self.path, why=error))

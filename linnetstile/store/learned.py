"""What was learned of destinations, kept beside the journal for the next process.

One small file, replaced whole: an old one or none costs service, not a promise. `{"version":1,"at":UNIX_MS,
"lanes":[...]}`, each lane with the fields of interface.Learned. What cannot be read is passed over.
"""

from __future__ import annotations

import json
import logging
import os
from dataclasses import asdict, replace
from pathlib import Path
from typing import Any

from ..interface import Learned

log = logging.getLogger(__name__)

VERSION = 1
FILE_BYTES = 16 * 1024  # at most, so that it and its successor have room beside the journal
OLD_MS = 60_000.0  # older knowledge is no use: outages are shorter


class LearnedFile:
    def __init__(self, folder: Path) -> None:
        self.path, self.spare = folder / "learned", folder / "learned.new"
        self.lanes: list[Learned] = []  # as last written

    def load(self, now: float) -> list[Learned]:
        """With the time since it was written taken into account; `now` in Unix ms. Never raises."""
        try:
            raw = json.loads(self.path.read_bytes())
            if raw["version"] != VERSION:
                raise ValueError(f"version {raw['version']!r} is not known, {VERSION} is")
            age = max(0.0, now - float(raw["at"]))
            lanes = [self._aged(item, age) for item in raw["lanes"]]
        except FileNotFoundError:
            return []
        except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
            log.warning("%s: passed over: %s", self.path, error)
            return []
        return lanes if age < OLD_MS else [replace(lane, out=False, bad_ms=None, cold_ms=None)
                                           for lane in lanes if lane.wait_ms > 0]

    @staticmethod
    def _aged(item: dict[str, Any], age: float) -> Learned:
        def later(name: str) -> float | None:
            return None if item.get(name) is None else float(item[name]) + age

        return Learned(int(item["destination"]), max(0.0, float(item["wait_ms"]) - age), bool(item["out"]),
                       later("bad_ms"), later("cold_ms"))

    def save(self, now: float, lanes: list[Learned]) -> None:
        """Only where there is something to tell, or was; what does not fit is left out. Never raises."""
        if not lanes and not self.lanes:
            return
        self.lanes = lanes
        items = [json.dumps(asdict(lane), separators=(",", ":")) for lane in lanes]
        head, size, kept = f'{{"version":{VERSION},"at":{now:.0f},"lanes":[', 64, list[str]()
        for item in items:
            size += len(item) + 1
            if size > FILE_BYTES:
                log.warning("%s: %d of %d lanes have no room", self.path, len(items) - len(kept), len(items))
                break
            kept.append(item)
        try:
            self.spare.write_text(head + ",".join(kept) + "]}")
            os.replace(self.spare, self.path)
        except OSError as error:
            log.warning("%s: cannot be written: %s", self.path, error)

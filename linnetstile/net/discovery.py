"""The list of endpoints: as the configuration knew it, then as a watch on discovery tells it."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from ..interface import Endpoint, EndpointList, Listing, ListKind, Settings
from .agent import Agent, AgentError, Backoff
from .config import Address, address

log = logging.getLogger(__name__)

HOLD_MS = 2000  # a watch that the agent lets go silent is begun anew soon after; asking costs nothing
SILENT_S = 0.5  # past the hold: the agent is on this machine and answers at once
LISTINGS = {"ready": Listing.READY, "gone": Listing.GONE}  # whatever else gets nothing new


@dataclass(frozen=True, slots=True)
class Known:
    """An endpoint as listed; its number is ours and stays with its name while it is listed."""

    name: str
    entry: Endpoint
    address: Address


class Directory:
    """Names to numbers and addresses, and the version that the list has."""

    def __init__(self, kinds: tuple[str, ...], zones: tuple[str, ...]) -> None:
        self.kinds, self.zones = kinds, zones
        self.by_name: dict[str, Known] = {}
        self.by_number: dict[int, Known] = {}
        self.version = -1
        self.numbers = 0

    @classmethod
    def of(cls, settings: Settings, zones: tuple[str, ...]) -> Directory:
        return cls(tuple(kind.name for kind in settings.kinds), zones)

    def number(self, name: str) -> int:
        known = self.by_name.get(name)
        if known is None:
            self.numbers += 1
        return self.numbers if known is None else known.entry.id

    def zone(self, name: object) -> int:
        return self.zones.index(str(name)) if name in self.zones else 0

    def apply(self, raw: dict[str, Any]) -> EndpointList:
        """Takes an answer but for entries that cannot be read; ValueError says that it is no list at all."""
        try:
            version, whole = int(raw["generation"]), bool(raw["reset"])
            items = list(raw["instances"])
        except (KeyError, TypeError, OverflowError) as error:
            raise ValueError(f"malformed list: {error!r}") from error
        found = [known for known in map(self._readable, items) if known is not None]
        if whole:
            self.by_name.clear()
            self.by_number.clear()
        for known in found:
            if known.entry.listing is Listing.GONE:
                self.by_name.pop(known.name, None)
                self.by_number.pop(known.entry.id, None)
            else:
                self.by_name[known.name] = self.by_number[known.entry.id] = known
        self.version = version
        kind = ListKind.WHOLE if whole else ListKind.CHANGES
        return EndpointList(kind, tuple(known.entry for known in found))

    def _readable(self, item: Any) -> Known | None:
        """Guards the others against one entry that cannot be read: where its endpoint is known already, that
        stands, but for what it says of its life."""
        try:
            return self._known(item)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            log.warning("discovery: an entry is passed over: %r", error)
        known = self.by_name.get(str(item.get("instanceId"))) if isinstance(item, dict) else None
        if known is None:
            return None
        listing = LISTINGS.get(str(item.get("lifecycle")), Listing.DRAINING)
        return replace(known, entry=replace(known.entry, listing=listing))

    def _known(self, item: dict[str, Any]) -> Known:
        name, kind, rate = str(item["instanceId"]), item.get("machineType"), float(item.get("weight", 0.0))
        if not 0 <= rate < 1e9:
            raise ValueError(f"{name}: weight {rate} makes no sense")
        entry = Endpoint(
            id=self.number(name), destination=int(item["cell"]),
            listing=LISTINGS.get(item["lifecycle"], Listing.DRAINING),
            kind=self.kinds.index(kind) if kind in self.kinds else 0,
            zone=self.zone(item.get("zone")), rate=rate,
        )
        return Known(name, entry, address(item["hostPort"]))


class Watch:
    """Keeps the directory current; what fails keeps the version, so that nothing is missed."""

    def __init__(self, agent: Agent, directory: Directory, told: Callable[[EndpointList], None]) -> None:
        self.agent, self.directory, self.told = agent, directory, told

    def move(self, agent: Agent) -> None:
        """Another agent counts its versions anew: what it has is asked for whole."""
        self.agent, self.directory.version = agent, -1

    async def run(self) -> None:
        backoff = Backoff(0.05, 0.5)
        while True:
            try:
                self.told(self.directory.apply(await self._ask()))
                backoff.reset()  # and at once again: a late call would begin a new watch
            except (AgentError, ValueError) as error:
                log.warning("discovery: %s", error)
                self.agent.close()
                await backoff.pause()
            except Exception:
                log.exception("discovery: a list could not be taken")
                await backoff.pause()

    async def _ask(self) -> dict[str, Any]:
        known, seconds = self.directory.version >= 0, SILENT_S
        target = "/v1/servers"
        if known:
            target += f"?from={self.directory.version}&hold_ms={HOLD_MS}"
            seconds += HOLD_MS / 1000
        status, body = await self.agent.ask("GET", target, b"", seconds)
        raw = json.loads(body) if status == 200 else None
        if not isinstance(raw, dict):
            raise ValueError(f"status {status}, {len(body)} bytes that are no list")
        return raw

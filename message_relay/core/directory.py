"""Names of endpoints to the numbers by which the decisions know them, and to where they are."""

from __future__ import annotations

from dataclasses import dataclass, replace

from ..config import Address
from ..decisions.events import EndpointList
from ..decisions.model import Endpoint, Listing, ListKind, Settings
from .ports import EndpointKey, EndpointRecord, EndpointUpdate


@dataclass(frozen=True, slots=True)
class KnownEndpoint:
    """An endpoint as listed; its number is ours and stays with its name while it is listed."""

    name: str
    endpoint: Endpoint
    address: Address
    kind: str = ""  # as listed, also one that the settings do not name

    @property
    def key(self) -> EndpointKey:
        return self.endpoint.id, self.address

    @property
    def is_ready(self) -> bool:
        return self.endpoint.listing is Listing.READY


class EndpointDirectory:
    def __init__(self, settings: Settings, zones: tuple[str, ...]) -> None:
        self.kinds, self.zones = tuple(kind.name for kind in settings.kinds), zones
        self.by_name: dict[str, KnownEndpoint] = {}
        self.by_number: dict[int, KnownEndpoint] = {}
        self.listed_counts: dict[
            int, int
        ] = {}  # destination -> how many endpoints are listed for it, none at 0
        self.last_number = 0

    def number_of(self, name: str) -> int:
        known = self.by_name.get(name)
        if known is None:
            self.last_number += 1
        return self.last_number if known is None else known.endpoint.id

    def apply(self, update: EndpointUpdate) -> tuple[EndpointList, list[tuple[EndpointKey, bool]], set[int]]:
        """Takes what a source tells: the event for the decisions, what no longer stands or newly does, and
        the destinations that any of it concerns."""
        found = [self._known(member) for member in update.endpoints]
        found += [
            replace(known, endpoint=replace(known.endpoint, listing=listing))
            for name, listing in update.status_changes
            if (known := self.by_name.get(name)) is not None
        ]
        changed: dict[EndpointKey, bool] = {}
        concerned = {known.endpoint.destination for known in found}
        if update.is_full:
            changed = {known.key: False for known in self.by_name.values()}
            concerned.update(self.listed_counts)
            self.by_name.clear()
            self.by_number.clear()
            self.listed_counts.clear()
        for known in found:
            before = self.by_name.pop(known.name, None)
            self.by_number.pop(known.endpoint.id, None)
            if before is not None:
                changed[before.key] = False
                concerned.add(before.endpoint.destination)
                self._count(before.endpoint.destination, -1)
            if known.endpoint.listing not in (Listing.GONE, Listing.UNNEEDED):
                self.by_name[known.name] = self.by_number[known.endpoint.id] = known
                changed[known.key] = known.is_ready
                self._count(known.endpoint.destination, 1)
        kind = ListKind.WHOLE if update.is_full else ListKind.CHANGES
        return EndpointList(kind, tuple(known.endpoint for known in found)), list(changed.items()), concerned

    def _count(self, destination: int, more: int) -> None:
        """Guards each second and each change against a walk over all to find what is still listed."""
        count = self.listed_counts.get(destination, 0) + more
        if count:
            self.listed_counts[destination] = count
        else:
            del self.listed_counts[destination]

    def _known(self, member: EndpointRecord) -> KnownEndpoint:
        entry = Endpoint(
            id=self.number_of(member.name),
            destination=member.destination,
            listing=member.listing,
            kind=self.kinds.index(member.kind) if member.kind in self.kinds else 0,
            zone=self.zones.index(member.zone) if member.zone in self.zones else 0,
            rate=member.rate,
        )
        return KnownEndpoint(member.name, entry, member.address, member.kind or "")

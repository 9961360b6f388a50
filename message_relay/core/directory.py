"""Maps the names of endpoints to the numbers that the scheduler uses, and to their addresses."""

from __future__ import annotations

from dataclasses import dataclass, replace

from ..config import Address
from ..decisions.events import EndpointList
from ..decisions.model import Endpoint, Listing, ListKind, Settings
from .ports import EndpointKey, EndpointRecord, EndpointUpdate

REMOVED = (Listing.REMOVED, Listing.UNNEEDED)


@dataclass(frozen=True, slots=True)
class KnownEndpoint:
    """A listed endpoint. Its number is local to this process, and stays with its name while it is listed."""

    name: str
    endpoint: Endpoint
    address: Address
    kind: str = ""  # as listed, even if the settings do not define it

    @property
    def key(self) -> EndpointKey:
        """The key under which transports keep connections to it."""
        return self.endpoint.id, self.address

    @property
    def is_ready(self) -> bool:
        """Whether it may get new attempts."""
        return self.endpoint.listing is Listing.READY


@dataclass(frozen=True, slots=True)
class DirectoryChanges:
    """The changes that one update made to the directory."""

    event: EndpointList  # for the scheduler
    endpoints: list[tuple[EndpointKey, bool]]  # changed endpoints, and whether each may get attempts
    destinations: set[int]  # destinations with changed endpoints


class EndpointDirectory:
    """The endpoints as the sources list them, by name and by number."""

    def __init__(self, settings: Settings, zones: tuple[str, ...]) -> None:
        self.kinds = tuple(kind.name for kind in settings.kinds)
        self.zones = zones
        self.by_name: dict[str, KnownEndpoint] = {}
        self.by_number: dict[int, KnownEndpoint] = {}
        self.listed_counts: dict[int, int] = {}  # listed endpoints by destination; zero counts are removed
        self.last_number = 0

    def number_of(self, name: str) -> int:
        """Returns the number of a listed endpoint, or a new number for any other name."""
        known = self.by_name.get(name)
        if known is not None:
            return known.endpoint.id
        self.last_number += 1
        return self.last_number

    def apply(self, update: EndpointUpdate) -> DirectoryChanges:
        """Applies the update of a source."""
        updated = self._updated_endpoints(update)
        changed: dict[EndpointKey, bool] = {}
        destinations = {known.endpoint.destination for known in updated}
        if update.is_full:
            changed = {known.key: False for known in self.by_name.values()}
            destinations.update(self.listed_counts)
            self.by_name.clear()
            self.by_number.clear()
            self.listed_counts.clear()
        for known in updated:
            self._replace(known, changed, destinations)
        kind = ListKind.COMPLETE if update.is_full else ListKind.CHANGES
        event = EndpointList(kind, tuple(known.endpoint for known in updated))
        return DirectoryChanges(event, list(changed.items()), destinations)

    def _updated_endpoints(self, update: EndpointUpdate) -> list[KnownEndpoint]:
        updated = [self._known_endpoint(record) for record in update.endpoints]
        for name, listing in update.status_changes:
            known = self.by_name.get(name)
            if known is not None:
                updated.append(replace(known, endpoint=replace(known.endpoint, listing=listing)))
        return updated

    def _replace(
        self, known: KnownEndpoint, changed: dict[EndpointKey, bool], destinations: set[int]
    ) -> None:
        """Replaces the endpoint of the same name, and adds both to the changes."""
        before = self.by_name.pop(known.name, None)
        self.by_number.pop(known.endpoint.id, None)
        if before is not None:
            changed[before.key] = False
            destinations.add(before.endpoint.destination)
            self._add_to_count(before.endpoint.destination, -1)
        if known.endpoint.listing not in REMOVED:
            self.by_name[known.name] = known
            self.by_number[known.endpoint.id] = known
            changed[known.key] = known.is_ready
            self._add_to_count(known.endpoint.destination, 1)

    def _add_to_count(self, destination: int, difference: int) -> None:
        """Updates the count of a destination, so that nothing has to iterate over all endpoints for it."""
        count = self.listed_counts.get(destination, 0) + difference
        if count:
            self.listed_counts[destination] = count
        else:
            del self.listed_counts[destination]

    def _known_endpoint(self, record: EndpointRecord) -> KnownEndpoint:
        endpoint = Endpoint(
            id=self.number_of(record.name),
            destination=record.destination,
            listing=record.listing,
            kind=self.kinds.index(record.kind) if record.kind in self.kinds else 0,
            zone=self.zones.index(record.zone) if record.zone in self.zones else 0,
            rate=record.rate,
        )
        return KnownEndpoint(record.name, endpoint, record.address, record.kind or "")

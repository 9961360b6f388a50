"""Names of endpoints to the numbers by which the decisions know them, and to where they are."""

from __future__ import annotations

from dataclasses import dataclass, replace

from ..config import Address
from ..decisions.interface import Endpoint, EndpointList, Listing, ListKind, Settings
from .seams import Key, Member, Update


@dataclass(frozen=True, slots=True)
class Known:
    """An endpoint as listed; its number is ours and stays with its name while it is listed."""

    name: str
    entry: Endpoint
    address: Address
    kind: str = ""  # as listed, also one that the settings do not name

    @property
    def key(self) -> Key:
        return self.entry.id, self.address

    @property
    def ready(self) -> bool:
        return self.entry.listing is Listing.READY


class Directory:
    def __init__(self, settings: Settings, zones: tuple[str, ...]) -> None:
        self.kinds, self.zones = tuple(kind.name for kind in settings.kinds), zones
        self.by_name: dict[str, Known] = {}
        self.by_number: dict[int, Known] = {}
        self.numbers = 0

    def number(self, name: str) -> int:
        known = self.by_name.get(name)
        if known is None:
            self.numbers += 1
        return self.numbers if known is None else known.entry.id

    def apply(self, update: Update) -> tuple[EndpointList, list[tuple[Key, bool]]]:
        """Takes what a source tells: the event for the decisions, and what no longer stands or newly does."""
        found = [self._known(member) for member in update.members]
        found += [replace(known, entry=replace(known.entry, listing=listing))
                  for name, listing in update.lives if (known := self.by_name.get(name)) is not None]
        changed: dict[Key, bool] = {}
        if update.whole:
            changed = {known.key: False for known in self.by_name.values()}
            self.by_name.clear()
            self.by_number.clear()
        for known in found:
            before = self.by_name.pop(known.name, None)
            self.by_number.pop(known.entry.id, None)
            if before is not None:
                changed[before.key] = False
            if known.entry.listing is not Listing.GONE:
                self.by_name[known.name] = self.by_number[known.entry.id] = known
                changed[known.key] = known.ready
        kind = ListKind.WHOLE if update.whole else ListKind.CHANGES
        return EndpointList(kind, tuple(known.entry for known in found)), list(changed.items())

    def _known(self, member: Member) -> Known:
        entry = Endpoint(
            id=self.number(member.name), destination=member.destination, listing=member.listing,
            kind=self.kinds.index(member.kind) if member.kind in self.kinds else 0,
            zone=self.zones.index(member.zone) if member.zone in self.zones else 0, rate=member.rate,
        )
        return Known(member.name, entry, member.address, member.kind or "")

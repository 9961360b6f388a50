"""Several sources' tellings into one, for the directory. No I/O; the clock is passed in.

An endpoint is the same in two sources if destination and address are: its name is the one under which it
was first told, and stays while any source knows it, so that the decisions see one endpoint and not two. Rate,
kind and zone are those of the first source, in the order in which they are named, that has it as not gone.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from ..config import Address
from ..core.ports import EndpointRecord, EndpointUpdate
from ..decisions.model import Listing
from .merge_policy import LISTINGS, WORDS, EndpointStatus, ShrinkGuard, most_severe

Identity = tuple[int, Address]
KEPT = 10_000  # endpoints that are gone and still remembered by a source: past any that come back


def identity(member: EndpointRecord) -> Identity:
    return member.destination, member.address


@dataclass
class Source:
    """What one of them has told."""

    name: str
    doubted: bool = False  # a sudden shrink of its list is not believed at once
    members: dict[Identity, EndpointRecord] = field(
        default_factory=dict
    )  # with its latest word, gone ones too
    by_name: dict[str, Identity] = field(default_factory=dict)
    gone: dict[Identity, None] = field(default_factory=dict)  # of the members, the latest word last
    shrink: ShrinkGuard = field(default_factory=ShrinkGuard)

    def word(self, at: Identity) -> EndpointStatus:
        member = self.members.get(at)
        return EndpointStatus.UNKNOWN if member is None else WORDS[member.listing]

    def take(self, update: EndpointUpdate, now: float) -> set[Identity]:
        """Of which endpoints its word may have changed."""
        touched: set[Identity] = set()
        if update.is_full:
            listed = {identity(member) for member in update.endpoints}
            had = {at for at, member in self.members.items() if member.listing is not Listing.GONE}
            missing = had - listed
            if not self.doubted or self.shrink.believed(now, len(had), len(had & listed)):
                for at in missing:
                    touched |= self._says(replace(self.members[at], listing=Listing.GONE))
        for member in update.endpoints:
            touched |= self._moved(member)
            touched |= self._says(member)
        for name, listing in update.status_changes:
            at_name = self.by_name.get(name)
            if at_name is not None:
                touched |= self._says(replace(self.members[at_name], listing=listing))
        self._forget()
        return touched

    def _moved(self, member: EndpointRecord) -> set[Identity]:
        """The same name at another address: what was at the old one is gone."""
        before = self.by_name.get(member.name)
        if before is None or before == identity(member) or before not in self.members:
            return set()
        return self._says(replace(self.members[before], listing=Listing.GONE))

    def _says(self, member: EndpointRecord) -> set[Identity]:
        at = identity(member)
        self.members[at] = member
        self.gone.pop(at, None)
        if member.listing is Listing.GONE:
            self.gone[at] = None
        self.by_name[member.name] = at
        return {at}

    def _forget(self) -> None:
        while len(self.gone) > KEPT:
            at = next(iter(self.gone))
            del self.gone[at]
            member = self.members.pop(at)
            if self.by_name.get(member.name) == at:
                del self.by_name[member.name]


class SourceMerge:
    def __init__(self, sources: Iterable[str], doubted: Iterable[str] = ()) -> None:
        """`sources` by name, the first one's word on rate, kind and zone first."""
        doubts = set(doubted)
        self.sources = {name: Source(name, name in doubts) for name in sources}
        self.names: dict[Identity, str] = {}  # under which the directory knows each that stands
        self.taken: Counter[str] = Counter()  # those names, and by how many: none is there with 0
        self.told: dict[Identity, EndpointRecord] = {}  # as it was last passed on
        self.began = False

    def merge(self, update: EndpointUpdate, now: float) -> EndpointUpdate | None:
        """What the directory has to hear now; None: nothing has changed. `now` in s. KeyError for a source
        that was not named."""
        touched = self.sources[update.source].take(update, now)
        changed = []
        for at in sorted(touched):
            member = self._together(at)
            if member is not None and member != self.told.get(at):
                changed.append(member)
                if member.listing is Listing.GONE:
                    self.told.pop(at, None)
                    self._unname(at)
                else:
                    self.told[at] = member
        if not changed and self.began:
            return None
        whole, self.began = not self.began, True
        return EndpointUpdate(whole, tuple(changed))

    def _together(self, at: Identity) -> EndpointRecord | None:
        """None: it is gone, and nobody had heard of it."""
        word = most_severe(source.word(at) for source in self.sources.values())
        if word is EndpointStatus.GONE and at not in self.told:
            return None
        first = next(
            (
                source.members[at]
                for source in self.sources.values()
                if source.word(at) in (EndpointStatus.READY, EndpointStatus.DRAINING)
            ),
            None,
        )
        if first is None:
            first = self.told.get(at)
            if first is None:
                return None
        if at not in self.names:
            self.names[at] = self._name(first)
            self.taken[self.names[at]] += 1
        return replace(first, name=self.names[at], listing=LISTINGS[word])

    def _name(self, member: EndpointRecord) -> str:
        """Its own, unless another endpoint that stands has it: two sources may name things alike."""
        if member.name not in self.taken:
            return member.name
        host, port = member.address
        return f"{member.name}@{host}:{port}"

    def _unname(self, at: Identity) -> None:
        name = self.names.pop(at, None)
        if name is not None:
            self.taken[name] -= 1
            if not self.taken[name]:
                del self.taken[name]

    def why(self, at: Identity) -> dict[str, str]:
        """Each source's word, for people."""
        return {name: source.word(at).name.lower() for name, source in self.sources.items()}

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
from .merge_policy import LISTING_BY_STATUS, STATUS_BY_LISTING, EndpointStatus, ShrinkGuard, most_severe

EndpointKey = tuple[int, Address]
REMEMBERED_GONE_MAX = (
    10_000  # endpoints that are gone and still remembered by a source: past any that come back
)


def endpoint_key(member: EndpointRecord) -> EndpointKey:
    return member.destination, member.address


@dataclass
class SourceState:
    """What one of them has told."""

    name: str
    is_shrink_guarded: bool = False  # a sudden shrink of its list is not believed at once
    endpoints: dict[EndpointKey, EndpointRecord] = field(
        default_factory=dict
    )  # with its latest word, gone ones too
    keys_by_name: dict[str, EndpointKey] = field(default_factory=dict)
    gone_keys: dict[EndpointKey, None] = field(default_factory=dict)  # of the members, the latest word last
    shrink_guard: ShrinkGuard = field(default_factory=ShrinkGuard)

    def status(self, at: EndpointKey) -> EndpointStatus:
        member = self.endpoints.get(at)
        return EndpointStatus.UNKNOWN if member is None else STATUS_BY_LISTING[member.listing]

    def apply(self, update: EndpointUpdate, now: float) -> set[EndpointKey]:
        """Of which endpoints its word may have changed."""
        touched: set[EndpointKey] = set()
        if update.is_full:
            listed = {endpoint_key(member) for member in update.endpoints}
            had = {at for at, member in self.endpoints.items() if member.listing is not Listing.GONE}
            missing = had - listed
            if not self.is_shrink_guarded or self.shrink_guard.accepts(now, len(had), len(had & listed)):
                for at in missing:
                    touched |= self._record(replace(self.endpoints[at], listing=Listing.GONE))
        for member in update.endpoints:
            touched |= self._remove_old_address(member)
            touched |= self._record(member)
        for name, listing in update.status_changes:
            at_name = self.keys_by_name.get(name)
            if at_name is not None:
                touched |= self._record(replace(self.endpoints[at_name], listing=listing))
        self._evict_oldest_gone()
        return touched

    def _remove_old_address(self, member: EndpointRecord) -> set[EndpointKey]:
        """The same name at another address: what was at the old one is gone."""
        before = self.keys_by_name.get(member.name)
        if before is None or before == endpoint_key(member) or before not in self.endpoints:
            return set()
        return self._record(replace(self.endpoints[before], listing=Listing.GONE))

    def _record(self, member: EndpointRecord) -> set[EndpointKey]:
        at = endpoint_key(member)
        self.endpoints[at] = member
        self.gone_keys.pop(at, None)
        if member.listing is Listing.GONE:
            self.gone_keys[at] = None
        self.keys_by_name[member.name] = at
        return {at}

    def _evict_oldest_gone(self) -> None:
        while len(self.gone_keys) > REMEMBERED_GONE_MAX:
            at = next(iter(self.gone_keys))
            del self.gone_keys[at]
            member = self.endpoints.pop(at)
            if self.keys_by_name.get(member.name) == at:
                del self.keys_by_name[member.name]


class SourceMerge:
    def __init__(self, sources: Iterable[str], shrink_guarded: Iterable[str] = ()) -> None:
        """`sources` by name, the first one's word on rate, kind and zone first."""
        doubts = set(shrink_guarded)
        self.sources = {name: SourceState(name, name in doubts) for name in sources}
        self.published_names: dict[EndpointKey, str] = {}  # under which the directory knows each that stands
        self.name_counts: Counter[str] = Counter()  # those names, and by how many: none is there with 0
        self.published: dict[EndpointKey, EndpointRecord] = {}  # as it was last passed on
        self.has_published = False

    def merge(self, update: EndpointUpdate, now: float) -> EndpointUpdate | None:
        """What the directory has to hear now; None: nothing has changed. `now` in s. KeyError for a source
        that was not named."""
        touched = self.sources[update.source].apply(update, now)
        changed = []
        for at in sorted(touched):
            member = self._resolve(at)
            if member is not None and member != self.published.get(at):
                changed.append(member)
                if member.listing is Listing.GONE:
                    self.published.pop(at, None)
                    self._release_name(at)
                else:
                    self.published[at] = member
        if not changed and self.has_published:
            return None
        whole, self.has_published = not self.has_published, True
        return EndpointUpdate(whole, tuple(changed))

    def _resolve(self, at: EndpointKey) -> EndpointRecord | None:
        """None: it is gone, and nobody had heard of it."""
        word = most_severe(source.status(at) for source in self.sources.values())
        if word is EndpointStatus.GONE and at not in self.published:
            return None
        first = next(
            (
                source.endpoints[at]
                for source in self.sources.values()
                if source.status(at) in (EndpointStatus.READY, EndpointStatus.DRAINING)
            ),
            None,
        )
        if first is None:
            first = self.published.get(at)
            if first is None:
                return None
        if at not in self.published_names:
            self.published_names[at] = self._unique_name(first)
            self.name_counts[self.published_names[at]] += 1
        return replace(first, name=self.published_names[at], listing=LISTING_BY_STATUS[word])

    def _unique_name(self, member: EndpointRecord) -> str:
        """Its own, unless another endpoint that stands has it: two sources may name things alike."""
        if member.name not in self.name_counts:
            return member.name
        host, port = member.address
        return f"{member.name}@{host}:{port}"

    def _release_name(self, at: EndpointKey) -> None:
        name = self.published_names.pop(at, None)
        if name is not None:
            self.name_counts[name] -= 1
            if not self.name_counts[name]:
                del self.name_counts[name]

    def status_by_source(self, at: EndpointKey) -> dict[str, str]:
        """Each source's word, for people."""
        return {name: source.status(at).name.lower() for name, source in self.sources.items()}

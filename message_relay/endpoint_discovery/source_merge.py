"""Source merge: combines the updates of several discovery sources into one stream for the directory.

No I/O; the clock is passed in. Reports of two sources concern the same endpoint if destination and address
are equal. An endpoint retains the name under which it was first published for as long as any source lists it,
so that the decisions see one endpoint instead of two. Rate, kind and zone come from the first source, in the
configured order, that lists it as ready or draining.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from ..config import Address
from ..core.ports import EndpointRecord, EndpointUpdate
from ..decisions.model import Listing
from .merge_policy import LISTING_BY_STATUS, STATUS_BY_LISTING, EndpointStatus, ShrinkGuard, most_severe

EndpointKey = tuple[int, Address]  # destination and address
# Maximum number of removed endpoints remembered per source, oldest evicted first. Guards against unbounded
# growth; larger than any number of endpoints that return.
REMOVED_KEYS_MAX = 10_000


def endpoint_key(endpoint: EndpointRecord) -> EndpointKey:
    """Return the key that identifies an endpoint across sources."""
    return endpoint.destination, endpoint.address


@dataclass
class SourceState:
    """The latest report of one source on each of its endpoints."""

    name: str
    is_shrink_guarded: bool = False  # a suddenly shrunk full list must be confirmed
    endpoints: dict[EndpointKey, EndpointRecord] = field(default_factory=dict)  # including removed ones
    keys_by_name: dict[str, EndpointKey] = field(default_factory=dict)
    removed_keys: dict[EndpointKey, None] = field(default_factory=dict)  # removed endpoints, latest last
    shrink_guard: ShrinkGuard = field(default_factory=ShrinkGuard)

    def status(self, key: EndpointKey) -> EndpointStatus:
        """Return this source's status of an endpoint."""
        endpoint = self.endpoints.get(key)
        return EndpointStatus.UNKNOWN if endpoint is None else STATUS_BY_LISTING[endpoint.listing]

    def apply(self, update: EndpointUpdate, now: float) -> set[EndpointKey]:
        """Apply an update at `now` (seconds); return the endpoints whose status may have changed."""
        touched: set[EndpointKey] = set()
        if update.is_full:
            touched |= self._remove_missing(update, now)
        for endpoint in update.endpoints:
            touched |= self._remove_old_address(endpoint)
            touched |= self._record(endpoint)
        for name, listing in update.status_changes:
            key = self.keys_by_name.get(name)
            if key is not None:
                touched |= self._record(replace(self.endpoints[key], listing=listing))
        self._evict_oldest_removed()
        return touched

    def _remove_missing(self, update: EndpointUpdate, now: float) -> set[EndpointKey]:
        """Remove the endpoints that a full list omits, unless the list has shrunk suspiciously."""
        listed = {endpoint_key(endpoint) for endpoint in update.endpoints}
        previous = {
            key for key, endpoint in self.endpoints.items() if endpoint.listing is not Listing.REMOVED
        }
        if self.is_shrink_guarded:
            retained = previous & listed
            if not self.shrink_guard.accepts(now, len(previous), len(retained)):
                return set()
        missing = previous - listed
        for key in missing:
            self._record(replace(self.endpoints[key], listing=Listing.REMOVED))
        return missing

    def _remove_old_address(self, endpoint: EndpointRecord) -> set[EndpointKey]:
        """Remove the endpoint that had this name at another address."""
        previous = self.keys_by_name.get(endpoint.name)
        if previous is None or previous == endpoint_key(endpoint) or previous not in self.endpoints:
            return set()
        return self._record(replace(self.endpoints[previous], listing=Listing.REMOVED))

    def _record(self, endpoint: EndpointRecord) -> set[EndpointKey]:
        key = endpoint_key(endpoint)
        self.endpoints[key] = endpoint
        self.removed_keys.pop(key, None)
        if endpoint.listing is Listing.REMOVED:
            self.removed_keys[key] = None
        self.keys_by_name[endpoint.name] = key
        return {key}

    def _evict_oldest_removed(self) -> None:
        while len(self.removed_keys) > REMOVED_KEYS_MAX:
            key = next(iter(self.removed_keys))
            del self.removed_keys[key]
            endpoint = self.endpoints.pop(key)
            if self.keys_by_name.get(endpoint.name) == key:
                del self.keys_by_name[endpoint.name]


class SourceMerge:
    """Merged view of all sources, published to the directory as updates."""

    def __init__(self, sources: Iterable[str], shrink_guarded: Iterable[str] = ()) -> None:
        """`sources` are names in order of precedence for rate, kind and zone; full lists of the sources in
        `shrink_guarded` are checked for sudden shrinks."""
        guarded = set(shrink_guarded)
        self.sources = {name: SourceState(name, name in guarded) for name in sources}
        self.published_names: dict[EndpointKey, str] = {}  # directory name of each present endpoint
        self.name_counts: Counter[str] = Counter()  # number of endpoints by published name, at least 1
        self.published: dict[EndpointKey, EndpointRecord] = {}  # each endpoint as last published
        self.has_published = False

    def merge(self, update: EndpointUpdate, now: float) -> EndpointUpdate | None:
        """Apply one source's update at `now` (seconds); return the update for the directory, None if nothing
        has changed. Raises KeyError for a source that is not configured."""
        touched = self.sources[update.source].apply(update, now)
        changed = []
        for key in sorted(touched):
            endpoint = self._resolve(key)
            if endpoint is None or endpoint == self.published.get(key):
                continue
            changed.append(endpoint)
            if endpoint.listing is Listing.REMOVED:
                self.published.pop(key, None)
                self._release_name(key)
            else:
                self.published[key] = endpoint
        is_first = not self.has_published
        if not changed and not is_first:
            return None
        self.has_published = True
        return EndpointUpdate(is_first, tuple(changed))

    def _resolve(self, key: EndpointKey) -> EndpointRecord | None:
        """Return the merged record, None if the endpoint is gone and was never published."""
        status = most_severe(source.status(key) for source in self.sources.values())
        if status is EndpointStatus.GONE and key not in self.published:
            return None
        record = self._first_present(key)
        if record is None:
            record = self.published.get(key)
        if record is None:
            return None
        if key not in self.published_names:
            name = self._unique_name(record)
            self.published_names[key] = name
            self.name_counts[name] += 1
        return replace(record, name=self.published_names[key], listing=LISTING_BY_STATUS[status])

    def _first_present(self, key: EndpointKey) -> EndpointRecord | None:
        """Return the record of the first source that lists the endpoint as ready or draining."""
        for source in self.sources.values():
            if source.status(key) in (EndpointStatus.READY, EndpointStatus.DRAINING):
                return source.endpoints[key]
        return None

    def _unique_name(self, endpoint: EndpointRecord) -> str:
        """Return the endpoint's name, with its address appended if another present endpoint has that name."""
        if endpoint.name not in self.name_counts:
            return endpoint.name
        host, port = endpoint.address
        return f"{endpoint.name}@{host}:{port}"

    def _release_name(self, key: EndpointKey) -> None:
        name = self.published_names.pop(key, None)
        if name is None:
            return
        self.name_counts[name] -= 1
        if not self.name_counts[name]:
            del self.name_counts[name]

    def status_by_source(self, key: EndpointKey) -> dict[str, str]:
        """Return each source's status of an endpoint in lower case, for diagnostics."""
        return {name: source.status(key).name.lower() for name, source in self.sources.items()}

"""Registry of the endpoints that discovery lists, and of the state of each destination."""

from __future__ import annotations

import heapq
from dataclasses import replace

from . import slow_start
from .destinations import DestinationState, EndpointState
from .events import EndpointList, RestoredDestination
from .model import FOREVER, NEVER, Endpoint, Fleet, Listing, ListKind, Rates
from .outlier_detection import EJECTED_SCORE_MAX, EVIDENCE_TTL_MS
from .pending import PendingMessages
from .rate_control import BURST, INITIAL_RATE, RETRY_MS, RateController
from .rate_slots import TimeSlotShare

EVICT_AFTER_MS = 60000.0  # state of a destination without endpoints is kept this long: longer than an outage
POLL_RETRY_FACTOR = 4  # backoff after a failed poll, as a multiple of the backoff of a message
MAX_POLL_DOUBLINGS = 5
SHARED_ROUTE = -1  # route key of a destination whose routes share one limit


class EndpointRegistry:
    """Holds the endpoints in use by id, and the states of destinations by destination and route."""

    def __init__(self, rate_controller: RateController, pending: PendingMessages) -> None:
        self.rate_controller = rate_controller
        self.rng = rate_controller.rng
        self.pending = pending
        # (time from which the state of a destination without endpoints may be evicted, destination id)
        self.eviction_heap: list[tuple[float, int]] = []
        self.destinations: dict[int, dict[int, DestinationState]] = {}  # by destination, then by route
        self.endpoints: dict[int, EndpointState] = {}
        self.next_poll_at = 0.0 if rate_controller.settings.polls_discovery else FOREVER
        self.poll_failures = 0

    def should_poll(self, now: float) -> bool:
        """Returns whether to poll discovery now; if so, schedules the next poll in case of no response."""
        if now < self.next_poll_at:
            return False
        self.next_poll_at = now + self.rate_controller.settings.safety.poll_within_ms / 2
        return True

    def apply_list(self, now: float, event: EndpointList) -> None:
        """Adds, updates and removes endpoints according to a list."""
        if event.kind is ListKind.FAILED:
            self._back_off_polling(now)
            return
        if event.kind is not ListKind.CACHED:
            self.poll_failures = 0
            self.next_poll_at = FOREVER
        ready = {endpoint.id: endpoint for endpoint in event.entries if endpoint.listing is Listing.READY}
        unneeded = {endpoint.id for endpoint in event.entries if endpoint.listing is Listing.UNNEEDED}
        if event.kind is ListKind.CHANGES:
            affected = {endpoint.id for endpoint in event.entries}
        else:
            affected = set(self.endpoints)
        for endpoint_id in sorted(endpoint_id for endpoint_id in affected if endpoint_id in self.endpoints):
            known = self.endpoints[endpoint_id].endpoint
            if endpoint_id not in ready or self._route_key(ready[endpoint_id]) != self._route_key(known):
                self._remove_endpoint(now, self.endpoints.pop(endpoint_id), endpoint_id in unneeded)
        for endpoint in ready.values():
            self._add_endpoint(now, endpoint)
        while self.eviction_heap and self.eviction_heap[0][0] <= now:
            self._evict_destination(now, heapq.heappop(self.eviction_heap)[1])

    def _back_off_polling(self, now: float) -> None:
        """Guards against failing or overloaded discovery: the next poll has a growing, jittered backoff."""
        max_backoff_ms = self.rate_controller.settings.safety.poll_within_ms / 4
        backoff_ms = min(RETRY_MS * POLL_RETRY_FACTOR * 2**self.poll_failures, max_backoff_ms)
        self.poll_failures = min(self.poll_failures + 1, MAX_POLL_DOUBLINGS)
        self.next_poll_at = now + backoff_ms * self.rng.uniform(0.5, 1.0)

    def _remove_endpoint(self, now: float, state: EndpointState, is_unneeded: bool) -> None:
        """Removes an endpoint, to which nothing more is sent.

        The state of an unneeded destination may be evicted at once, since its removal is no outage.
        """
        destination_id = state.endpoint.destination
        destination = state.destination
        del destination.endpoints[state.endpoint.id]
        self.pending.request_scan(destination_id)
        if not destination.endpoints:
            if destination.failing_since is None and not is_unneeded:
                destination.failing_since = now
            destination.without_endpoints_since = NEVER if is_unneeded else now
            heapq.heappush(self.eviction_heap, (now + EVICT_AFTER_MS * (not is_unneeded), destination_id))

    def _evict_destination(self, now: float, destination_id: int) -> None:
        """Evicts the state of a destination without endpoints, unless something still depends on it.

        It must not be evicted too soon: after an outage, a relay warms up a destination only if it still has
        its state.
        """
        routes = self.destinations.get(destination_id, {})
        for key, destination in [(key, route) for key, route in routes.items() if not route.endpoints]:
            until = max(destination.retry_after_until, destination.without_endpoints_since + EVICT_AFTER_MS)
            if destination.in_flight or destination_id in self.pending.queues:
                until = max(until, now + EVIDENCE_TTL_MS)
            if until > now:
                heapq.heappush(self.eviction_heap, (until, destination_id))
            else:
                del routes[key]
        if not routes:
            self.destinations.pop(destination_id, None)
            self.pending.snapshot_candidates.pop(destination_id, None)

    def _add_endpoint(self, now: float, endpoint: Endpoint) -> None:
        destination_id, key = self._route_key(endpoint)
        routes = self.destinations.setdefault(destination_id, {})
        settings = self.rate_controller.settings
        listed_rate = endpoint.rate if settings.rates is not Rates.NONE and endpoint.rate > 0 else 0.0
        if key not in routes:
            routes[key] = self._new_destination(now, listed_rate)
        destination = routes[key]
        state = self.endpoints.get(endpoint.id)
        if listed_rate and listed_rate != destination.fleet_rate:
            # Scales the learned rate in proportion.
            destination.send_rate = destination.send_rate * listed_rate / destination.fleet_rate
            destination.fleet_rate = listed_rate
            destination.has_listed_rate = True
            if destination.time_slots is not None:
                destination.time_slots.set_rate(listed_rate)
        if state is not None:
            state.endpoint = endpoint
            return
        if not destination.endpoints and destination.failing_since is not None:
            # The replacement came late, so the new endpoint is cold.
            slow_start.start_warm_up(settings, now, destination)
        state = EndpointState(endpoint, destination)
        self.endpoints[endpoint.id] = state
        destination.endpoints[endpoint.id] = state
        self.pending.request_scan(destination_id)

    def _new_destination(self, now: float, listed_rate: float) -> DestinationState:
        settings = self.rate_controller.settings
        fleet_rate = listed_rate or INITIAL_RATE * settings.relays
        destination = DestinationState(
            *self.rate_controller.default_latency,
            fleet_rate,
            fleet_rate / settings.relays,
            BURST,
            now,
            has_listed_rate=bool(listed_rate),
        )
        if settings.fleet is not None and listed_rate:
            destination.time_slots = TimeSlotShare(settings.fleet, listed_rate, settings.safety)
        return destination

    def _route_key(self, endpoint: Endpoint) -> tuple[int, int]:
        """Returns the destination id, and the endpoint id if each of its endpoints has a separate limit."""
        kinds = self.rate_controller.settings.kinds
        is_route = endpoint.kind < len(kinds) and kinds[endpoint.kind].has_separate_routes
        return endpoint.destination, endpoint.id if is_route else SHARED_ROUTE

    def snapshot(self, now: float) -> list[RestoredDestination]:
        """Returns the outages, warm-ups and Retry-After times that the next process needs.

        Routes with separate limits are left out: their endpoints get other ids in the next process.
        """
        records = list[RestoredDestination]()
        candidates = self.pending.snapshot_candidates
        self.pending.snapshot_candidates = {}
        warm_up_ms = self.rate_controller.settings.safety.warm_up_ms
        for destination_id in candidates:
            destination = self.destinations.get(destination_id, {}).get(SHARED_ROUTE)
            if destination is None:
                continue
            is_warming_up = now < destination.warming_since + warm_up_ms
            if not (destination.is_ejected or is_warming_up or now < destination.retry_after_until):
                continue
            self.pending.snapshot_candidates[destination_id] = None
            failing_since = destination.failing_since
            records.append(
                RestoredDestination(
                    destination_id,
                    max(0.0, destination.retry_after_until - now),
                    destination.is_ejected,
                    None if failing_since is None else max(0.0, now - failing_since),
                    now - destination.warming_since if is_warming_up else None,
                )
            )
        return records

    def resize(self, fleet: Fleet) -> None:
        """Sets a new number of instances or a new offset of the shared clock, which moves the time slots."""
        settings = self.rate_controller.settings
        self.rate_controller.settings = replace(settings, relays=fleet.size, fleet=settings.fleet and fleet)
        for routes in self.destinations.values():
            for destination in routes.values():
                if destination.time_slots is not None:
                    destination.time_slots.resize(fleet)
        self.pending.request_all_scans()

    def restore(self, now: float, event: RestoredDestination) -> None:
        """Applies destination state that an earlier process saved.

        Guards against overloading a returning destination, and against ignoring a Retry-After, in a new
        process that has observed neither.
        """
        destination = self.destinations.get(event.destination, {}).get(SHARED_ROUTE)
        if destination is None or destination.in_flight or destination.response_count:
            return  # the destination is gone, or this process has newer observations
        retry_after_until = now + event.retry_after_ms if event.retry_after_ms > 0 else NEVER
        destination.retry_after_until = max(destination.retry_after_until, retry_after_until)
        destination.failing_since = None if event.failing_for_ms is None else now - event.failing_for_ms
        if event.is_ejected:
            destination.is_ejected = True
            destination.failure_score = EJECTED_SCORE_MAX
            destination.last_failure_at = now
            rate, _ = self.rate_controller.rate_and_burst(now, destination, True)
            destination.next_trial_at = now + 1000 / rate * self.rng.random()
            destination.tokens = 0.0
        elif event.warming_up_for_ms is not None:
            destination.warming_since = now - event.warming_up_for_ms
            destination.tokens = 0.0
            # The number of relays that noticed the outage is no longer known: all may have.
            destination.estimated_senders = float(self.rate_controller.settings.relays)
        self.pending.request_scan(event.destination)

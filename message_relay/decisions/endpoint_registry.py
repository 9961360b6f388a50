"""Endpoints as discovery lists them, and the lanes that remember what was seen of each destination."""

from __future__ import annotations

import heapq
from dataclasses import replace

from .events import EndpointList, RestoredDestination
from .model import FOREVER, NEVER, Endpoint, Fleet, Listing, ListKind, Rates
from .pending import DestinationState, EndpointState, PendingMessages
from .rate_control import BURST, EVIDENCE_TTL_MS, RETRY_MS, RateController
from .rate_slots import TimeSlotShare

FORGET_AFTER_MS = 60000.0  # a lane without endpoints is remembered for so long: past any outage seen
INITIAL_RATE = 0.5  # calls a second of each relay at a destination with no listed rate, until one is refused


class EndpointRegistry:
    def __init__(self, paces: RateController, board: PendingMessages) -> None:
        self.rate_controller, self.rng, self.pending = paces, paces.rng, board
        self.forget_heap: list[tuple[float, int]] = []  # heap: when lanes without endpoints may be forgotten
        self.destinations: dict[int, dict[int, DestinationState]] = {}  # destination -> its lanes
        self.endpoints: dict[int, EndpointState] = {}
        self.next_poll_at = 0.0 if paces.settings.polls_discovery else FOREVER
        self.poll_failures = 0

    def should_poll(self, now: float) -> bool:
        if now < self.next_poll_at:
            return False
        self.next_poll_at = (
            now + self.rate_controller.settings.safety.ask_within_ms / 2
        )  # asks again should no answer come
        return True

    def apply_list(self, now: float, event: EndpointList) -> None:
        if event.kind is ListKind.FAILED:
            # Guards against failing or overloaded discovery: asks again after growing, jittered pauses.
            pause = min(
                RETRY_MS * 4 * 2**self.poll_failures, self.rate_controller.settings.safety.ask_within_ms / 4
            )
            self.poll_failures, self.next_poll_at = (
                min(self.poll_failures + 1, 5),
                now + pause * self.rng.uniform(0.5, 1.0),
            )
            return
        if event.kind is not ListKind.CACHED:
            self.poll_failures, self.next_poll_at = 0, FOREVER
        ready = {entry.id: entry for entry in event.entries if entry.listing is Listing.READY}
        unneeded = {entry.id for entry in event.entries if entry.listing is Listing.UNNEEDED}
        named = (
            {entry.id for entry in event.entries} if event.kind is ListKind.CHANGES else set(self.endpoints)
        )
        for ident in sorted(ident for ident in named if ident in self.endpoints):
            if ident not in ready or self._route_key(ready[ident]) != self._route_key(
                self.endpoints[ident].endpoint
            ):
                self._remove_endpoint(now, self.endpoints.pop(ident), ident in unneeded)
        for entry in ready.values():
            self._add_endpoint(now, entry)
        while self.forget_heap and self.forget_heap[0][0] <= now:
            self._forget_destination(now, heapq.heappop(self.forget_heap)[1])

    def _remove_endpoint(self, now: float, door: EndpointState, unneeded: bool) -> None:
        """Nothing new goes there; a lane goes with its last trace, at once if unneeded: that is no outage."""
        dest = door.endpoint.destination
        del door.destination.endpoints[door.endpoint.id]
        self.pending.request_scan(dest)
        if not door.destination.endpoints:
            if door.destination.failing_since is None and not unneeded:
                door.destination.failing_since = now
            door.destination.without_endpoints_since = NEVER if unneeded else now
            heapq.heappush(self.forget_heap, (now + FORGET_AFTER_MS * (not unneeded), dest))

    def _forget_destination(self, now: float, dest: int) -> None:
        """Forgets what was learned of lanes without endpoints, unless something still hangs on it. Not too
        soon: what comes back after an outage is cold only to one that remembers it."""
        lanes = self.destinations.get(dest, {})
        for key, lane in [(key, lane) for key, lane in lanes.items() if not lane.endpoints]:
            until = max(lane.retry_after_until, lane.without_endpoints_since + FORGET_AFTER_MS)
            if lane.in_flight or dest in self.pending.queues:
                until = max(until, now + EVIDENCE_TTL_MS)
            if until > now:
                heapq.heappush(self.forget_heap, (until, dest))
            else:
                del lanes[key]
        if not lanes:
            self.destinations.pop(dest, None)
            self.pending.snapshot_candidates.pop(dest, None)

    def _add_endpoint(self, now: float, entry: Endpoint) -> None:
        dest, key = self._route_key(entry)
        lanes = self.destinations.setdefault(dest, {})
        listed = (
            entry.rate if self.rate_controller.settings.rates is not Rates.NONE and entry.rate > 0 else 0.0
        )
        if key not in lanes:
            total = listed or INITIAL_RATE * self.rate_controller.settings.relays
            pace = total / self.rate_controller.settings.relays
            lanes[key] = DestinationState(
                *self.rate_controller.default_latency, total, pace, BURST, now, has_listed_rate=bool(listed)
            )
            if self.rate_controller.settings.fleet is not None and listed:
                lanes[key].time_slots = TimeSlotShare(
                    self.rate_controller.settings.fleet, listed, self.rate_controller.settings.safety
                )
        lane, door = lanes[key], self.endpoints.get(entry.id)
        if listed and listed != lane.fleet_rate:
            lane.send_rate, lane.fleet_rate = (
                lane.send_rate * listed / lane.fleet_rate,
                listed,
            )  # keeps what was learned
            lane.has_listed_rate = True
            if lane.time_slots is not None:
                lane.time_slots.set_rate(listed)
        if door is None:
            if (
                not lane.endpoints and lane.failing_since is not None
            ):  # replaced late: the new endpoint is cold
                self.rate_controller.begin_warm_up(now, lane)
            self.endpoints[entry.id] = lane.endpoints[entry.id] = EndpointState(entry, lane)
            self.pending.request_scan(dest)
        else:
            door.endpoint = entry

    def _route_key(self, entry: Endpoint) -> tuple[int, int]:
        apart = (
            entry.kind < len(self.rate_controller.settings.kinds)
            and self.rate_controller.settings.kinds[entry.kind].routes_apart
        )
        return entry.destination, entry.id if apart else -1

    def snapshot(self, now: float) -> list[RestoredDestination]:
        """Outages, cold returns, told waits. Not of routes apart: their endpoints get other numbers."""
        found, noted, self.pending.snapshot_candidates = (
            list[RestoredDestination](),
            self.pending.snapshot_candidates,
            {},
        )
        for dest, lane in [
            (dest, self.destinations[dest][-1]) for dest in noted if -1 in self.destinations.get(dest, ())
        ]:
            cold = (
                now - lane.warming_since
                if now < lane.warming_since + self.rate_controller.settings.safety.cold_ms
                else None
            )
            if lane.is_ejected or cold is not None or now < lane.retry_after_until:
                self.pending.snapshot_candidates[dest] = None
                bad = None if lane.failing_since is None else max(0.0, now - lane.failing_since)
                found.append(
                    RestoredDestination(
                        dest, max(0.0, lane.retry_after_until - now), lane.is_ejected, bad, cold
                    )
                )
        return found

    def resize(self, fleet: Fleet) -> None:
        """There are more instances or fewer, or the shared clock was set: slots lie elsewhere from now on."""
        self.rate_controller.settings = replace(
            s := self.rate_controller.settings, relays=fleet.size, fleet=s.fleet and fleet
        )
        for lane in (lane for lanes in self.destinations.values() for lane in lanes.values()):
            if lane.time_slots is not None:
                lane.time_slots.resize(fleet)
        self.pending.scans_due.update(dict.fromkeys(self.pending.queues, True))

    def restore(self, now: float, event: RestoredDestination) -> None:
        """Guards a returning destination, and told waits, against a process that has seen nothing of them."""
        lane = self.destinations.get(event.destination, {}).get(-1)
        if lane is None or lane.in_flight or lane.response_count:  # gone, or this process knows better by now
            return
        lane.retry_after_until = max(
            lane.retry_after_until, now + event.retry_after_ms if event.retry_after_ms > 0 else NEVER
        )
        lane.failing_since = None if event.failing_for_ms is None else now - event.failing_for_ms
        if event.is_ejected:
            lane.is_ejected, lane.failure_score, lane.last_failure_at = True, 0.7, now
            lane.next_trial_at = (
                now + 1000 / self.rate_controller.rate_and_burst(now, lane, True)[0] * self.rng.random()
            )
            lane.tokens = 0.0
        elif event.warming_up_for_ms is not None:
            lane.warming_since, lane.tokens = now - event.warming_up_for_ms, 0.0
            lane.estimated_senders = float(
                self.rate_controller.settings.relays
            )  # how many know of it is not known any more: all may
        self.pending.request_scan(event.destination)

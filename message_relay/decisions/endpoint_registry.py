"""Endpoints as discovery lists them, and the lanes that remember what was seen of each destination."""

from __future__ import annotations

import heapq
from dataclasses import replace

from .events import EndpointList, RestoredDestination
from .model import FOREVER, NEVER, Endpoint, Fleet, Listing, ListKind, Rates
from .pending import DestinationState, EndpointState, PendingMessages
from .rate_control import BURST, FADE_MS, RETRY_MS, RateController
from .rate_slots import TimeSlotShare

GONE_MS = 60000.0  # a lane without endpoints is remembered for so long: past any outage seen
START = 0.5  # calls a second of each relay at a destination with no listed rate, until one is refused


class EndpointRegistry:
    def __init__(self, paces: RateController, board: PendingMessages) -> None:
        self.paces, self.rng, self.board = paces, paces.rng, board
        self.fading: list[tuple[float, int]] = []  # heap: when lanes without endpoints may be forgotten
        self.lanes: dict[int, dict[int, DestinationState]] = {}  # destination -> its lanes
        self.doors: dict[int, EndpointState] = {}
        self.ask_at = 0.0 if paces.s.polls_discovery else FOREVER
        self.ask_fails = 0

    def asks(self, now: float) -> bool:
        if now < self.ask_at:
            return False
        self.ask_at = now + self.paces.s.safety.ask_within_ms / 2  # asks again should no answer come
        return True

    def listed(self, now: float, event: EndpointList) -> None:
        if event.kind is ListKind.FAILED:
            # Guards against failing or overloaded discovery: asks again after growing, jittered pauses.
            pause = min(RETRY_MS * 4 * 2**self.ask_fails, self.paces.s.safety.ask_within_ms / 4)
            self.ask_fails, self.ask_at = min(self.ask_fails + 1, 5), now + pause * self.rng.uniform(0.5, 1.0)
            return
        if event.kind is not ListKind.CACHED:
            self.ask_fails, self.ask_at = 0, FOREVER
        ready = {entry.id: entry for entry in event.entries if entry.listing is Listing.READY}
        unneeded = {entry.id for entry in event.entries if entry.listing is Listing.UNNEEDED}
        named = {entry.id for entry in event.entries} if event.kind is ListKind.CHANGES else set(self.doors)
        for ident in sorted(ident for ident in named if ident in self.doors):
            if ident not in ready or self._lane_key(ready[ident]) != self._lane_key(self.doors[ident].entry):
                self._drop(now, self.doors.pop(ident), ident in unneeded)
        for entry in ready.values():
            self._add(now, entry)
        while self.fading and self.fading[0][0] <= now:
            self._fade(now, heapq.heappop(self.fading)[1])

    def _drop(self, now: float, door: EndpointState, unneeded: bool) -> None:
        """Nothing new goes there; a lane goes with its last trace, at once if unneeded: that is no outage."""
        dest = door.entry.destination
        del door.lane.doors[door.entry.id]
        self.board.look(dest)
        if not door.lane.doors:
            if door.lane.bad_since is None and not unneeded:
                door.lane.bad_since = now
            door.lane.bare_since = NEVER if unneeded else now
            heapq.heappush(self.fading, (now + GONE_MS * (not unneeded), dest))

    def _fade(self, now: float, dest: int) -> None:
        """Forgets what was learned of lanes without endpoints, unless something still hangs on it. Not too
        soon: what comes back after an outage is cold only to one that remembers it."""
        lanes = self.lanes.get(dest, {})
        for key, lane in [(key, lane) for key, lane in lanes.items() if not lane.doors]:
            until = max(lane.wait_until, lane.bare_since + GONE_MS)
            if lane.out or dest in self.board.queues:
                until = max(until, now + FADE_MS)
            if until > now:
                heapq.heappush(self.fading, (until, dest))
            else:
                del lanes[key]
        if not lanes:
            self.lanes.pop(dest, None)
            self.board.noted.pop(dest, None)

    def _add(self, now: float, entry: Endpoint) -> None:
        dest, key = self._lane_key(entry)
        lanes = self.lanes.setdefault(dest, {})
        listed = entry.rate if self.paces.s.rates is not Rates.NONE and entry.rate > 0 else 0.0
        if key not in lanes:
            total = listed or START * self.paces.s.relays
            pace = total / self.paces.s.relays
            lanes[key] = DestinationState(*self.paces.usual, total, pace, BURST, now, listed=bool(listed))
            if self.paces.s.fleet is not None and listed:
                lanes[key].share = TimeSlotShare(self.paces.s.fleet, listed, self.paces.s.safety)
        lane, door = lanes[key], self.doors.get(entry.id)
        if listed and listed != lane.total:
            lane.pace, lane.total = lane.pace * listed / lane.total, listed  # keeps what was learned
            lane.listed = True
            if lane.share is not None:
                lane.share.rated(listed)
        if door is None:
            if not lane.doors and lane.bad_since is not None:  # replaced late: the new endpoint is cold
                self.paces.cold(now, lane)
            self.doors[entry.id] = lane.doors[entry.id] = EndpointState(entry, lane)
            self.board.look(dest)
        else:
            door.entry = entry

    def _lane_key(self, entry: Endpoint) -> tuple[int, int]:
        apart = entry.kind < len(self.paces.s.kinds) and self.paces.s.kinds[entry.kind].routes_apart
        return entry.destination, entry.id if apart else -1

    def learned(self, now: float) -> list[RestoredDestination]:
        """Outages, cold returns, told waits. Not of routes apart: their endpoints get other numbers."""
        found, noted, self.board.noted = list[RestoredDestination](), self.board.noted, {}
        for dest, lane in [(dest, self.lanes[dest][-1]) for dest in noted if -1 in self.lanes.get(dest, ())]:
            cold = now - lane.cold_since if now < lane.cold_since + self.paces.s.safety.cold_ms else None
            if lane.sick or cold is not None or now < lane.wait_until:
                self.board.noted[dest] = None
                bad = None if lane.bad_since is None else max(0.0, now - lane.bad_since)
                found.append(RestoredDestination(dest, max(0.0, lane.wait_until - now), lane.sick, bad, cold))
        return found

    def resized(self, fleet: Fleet) -> None:
        """There are more instances or fewer, or the shared clock was set: slots lie elsewhere from now on."""
        self.paces.s = replace(s := self.paces.s, relays=fleet.size, fleet=s.fleet and fleet)
        for lane in (lane for lanes in self.lanes.values() for lane in lanes.values()):
            if lane.share is not None:
                lane.share.resized(fleet)
        self.board.due.update(dict.fromkeys(self.board.queues, True))

    def recall(self, now: float, event: RestoredDestination) -> None:
        """Guards a returning destination, and told waits, against a process that has seen nothing of them."""
        lane = self.lanes.get(event.destination, {}).get(-1)
        if lane is None or lane.out or lane.answers:  # gone, or this process knows better by now
            return
        lane.wait_until = max(
            lane.wait_until, now + event.retry_after_ms if event.retry_after_ms > 0 else NEVER
        )
        lane.bad_since = None if event.failing_for_ms is None else now - event.failing_for_ms
        if event.is_ejected:
            lane.sick, lane.blame, lane.failed_at = True, 0.7, now
            lane.next_trickle = now + 1000 / self.paces.pace(now, lane, True)[0] * self.rng.random()
            lane.credit = 0.0
        elif event.warming_up_for_ms is not None:
            lane.cold_since, lane.credit = now - event.warming_up_for_ms, 0.0
            lane.knowers = float(self.paces.s.relays)  # how many know of it is not known any more: all may
        self.board.look(event.destination)

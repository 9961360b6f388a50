"""The platform's discovery service as an endpoint source: the list and its changes, by long polling.

One call is awaited at a time. After a response the next call is made at once; after a failure or a late
response it is made after a pause. A late response is still used (discovery_calls.py), even if other calls
were made meanwhile.
"""

from __future__ import annotations

import asyncio
import logging
import random
from dataclasses import replace
from typing import Any, NamedTuple

from ..config import Address, Config, address
from ..core.ports import EndpointRecord, EndpointUpdate, EndpointUpdateCallback
from ..decisions.model import Listing
from ..endpoint_discovery.poll_schedule import LATE_ANSWER_MS, PollSchedule
from ..structured_logging import LogEvent
from .agent import ANSWER_BYTES, AgentClient
from .discovery_calls import CallsInFlight, DiscoveryCall
from .errors import AgentError

log = logging.getLogger(__name__)

LISTINGS = {"ready": Listing.READY, "gone": Listing.REMOVED}  # any other lifecycle: draining
MAX_RATE = 1e9  # upper bound of an endpoint's rate, exclusive


class ListedEndpoints(NamedTuple):
    """A parsed list, or change to the list, with the agent's version number."""

    version: int
    update: EndpointUpdate


def parse_listing(raw: dict[str, Any]) -> ListedEndpoints:
    """Parse a response of the agent, skipping malformed entries. Raises ValueError if it is not a list."""
    try:
        version = int(raw["generation"])
        is_full = bool(raw["reset"])
        entries = list(raw["instances"])
    except (KeyError, TypeError, OverflowError) as error:
        raise ValueError(f"malformed list: {error!r}") from error
    # If an endpoint is listed twice, the later entry counts.
    endpoints: dict[str, EndpointRecord] = {}
    status_changes: dict[str, Listing] = {}
    for entry in entries:
        try:
            endpoint = parse_endpoint(entry)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            log.warning(LogEvent("discovery entry skipped", why=repr(error)))
            _apply_status_only(entry, endpoints, status_changes)
        else:
            endpoints[endpoint.name] = endpoint
            status_changes.pop(endpoint.name, None)
    update = EndpointUpdate(is_full, tuple(endpoints.values()), tuple(status_changes.items()))
    return ListedEndpoints(version, update)


def _apply_status_only(
    entry: Any, endpoints: dict[str, EndpointRecord], status_changes: dict[str, Listing]
) -> None:
    """Apply only the lifecycle of an entry that is otherwise malformed.

    A malformed entry does not affect other entries. If its endpoint is known already, the known record stays
    valid except for its lifecycle.
    """
    if not isinstance(entry, dict) or "instanceId" not in entry:
        return
    name = str(entry["instanceId"])
    listing = LISTINGS.get(str(entry.get("lifecycle")), Listing.DRAINING)
    if name in endpoints:
        endpoints[name] = replace(endpoints[name], listing=listing)
    else:
        status_changes[name] = listing


def parse_endpoint(entry: dict[str, Any]) -> EndpointRecord:
    """Parse one entry of the list. Raises KeyError, TypeError, ValueError, AttributeError, OverflowError."""
    name = str(entry["instanceId"])
    kind = entry.get("machineType")
    zone = entry.get("zone")
    rate = float(entry.get("weight", 0.0))
    if not 0 <= rate < MAX_RATE:
        raise ValueError(f"{name}: weight {rate} is out of range")
    return EndpointRecord(
        name,
        int(entry["cell"]),
        LISTINGS.get(entry["lifecycle"], Listing.DRAINING),
        address(entry["hostPort"]),
        None if kind is None else str(kind),
        None if zone is None else str(zone),
        rate,
    )


class DiscoveryClient:
    """Polls the agent's list. A failed poll does not change the known version, so no change is missed."""

    def __init__(
        self,
        agent_address: Address,
        relay_count: int = 1,
        seed: int = 0,
        shared: bool = True,
        max_list_bytes: int = ANSWER_BYTES,
    ) -> None:
        """Create a client with its own poll schedule.

        `relay_count`: number of relays that poll; with `shared` all of them poll the same agent. `seed`: for
        this relay's random pauses. `max_list_bytes`: a longer list is rejected.
        """
        self.max_list_bytes = max_list_bytes
        self.agent = AgentClient(agent_address, max_list_bytes)
        self.version = -1  # version of the known list; negative: none
        self.poll_schedule = PollSchedule(relay_count, random.Random(seed), shared)
        self.calls = CallsInFlight()
        self.awaited: DiscoveryCall | None = None  # the newest call, until it completes, fails or is late
        self.next_call_at = 0.0  # on the loop's clock; for an awaited call: when it counts as late

    def load_configured(self, raw: dict[str, Any]) -> EndpointUpdate:
        """Parse the list in the configuration, which may be outdated, and its version. Raises ValueError."""
        self.version, update = parse_listing(raw)
        return update

    def reload(self, config: Config) -> None:
        """Switch to the configured agent. Versions are local to an agent, so its full list is requested."""
        self.close()
        self.agent = AgentClient(config.discovery, self.max_list_bytes)
        self.version = -1
        self.calls = CallsInFlight()
        self.poll_schedule.reset()

    def close(self) -> None:
        """Cancel all calls, and close the connections to the agent."""
        self.calls.close()
        self.agent.close()

    async def run(self, on_update: EndpointUpdateCallback) -> None:
        """Poll until cancelled. The first poll is made at once, or after a delay if a list is known."""
        loop = asyncio.get_running_loop()
        calls = self.calls  # a reload replaces self.calls
        self.awaited = None
        self.next_call_at = loop.time()
        if self.version >= 0:
            self.next_call_at += self.poll_schedule.first_delay_ms() / 1000
        try:
            while True:
                completed = await calls.wait(self.next_call_at - loop.time())
                for call in completed:
                    self._complete(call, on_update)
                if not completed and loop.time() >= self.next_call_at:
                    self._on_due()
        finally:
            calls.close()

    def start_call(self) -> DiscoveryCall:
        """Request the changes since the known version, or the full list."""
        if self.calls.uses(self.agent):
            self.agent = AgentClient(self.agent.address, self.max_list_bytes)
        watch_ms = round(self.poll_schedule.watch_duration_ms()) if self.version >= 0 else 0
        late_after_s = self.poll_schedule.call_timeout_ms(watch_ms) / 1000
        self.next_call_at = asyncio.get_running_loop().time() + late_after_s
        give_up_after_s = (watch_ms + LATE_ANSWER_MS) / 1000
        self.awaited = self.calls.start(self.agent, self.version, watch_ms, give_up_after_s)
        return self.awaited

    def _on_due(self) -> None:
        """Make the next call. If a call is awaited, stop awaiting it first, without cancelling it."""
        if self.awaited is None:
            self.start_call()
            return
        self.awaited = None
        log.warning(
            LogEvent("discovery poll failed", why="the response is late; it is still used if it arrives")
        )
        self._pause()

    def _pause(self, is_refused: bool = False) -> None:
        pause_ms = self.poll_schedule.pause_after_failure_ms(is_refused=is_refused)
        self.next_call_at = asyncio.get_running_loop().time() + pause_ms / 1000

    def _complete(self, call: DiscoveryCall, on_update: EndpointUpdateCallback) -> None:
        """Apply the response of a call, or handle its failure."""
        is_awaited = call is self.awaited
        if is_awaited:
            self.awaited = None
        try:
            version, update = parse_listing(call.response.result())
            if not self._is_outdated(call, version):
                on_update(update)
                self.version = version
        except (AgentError, ValueError) as error:
            call.agent.close()
            if is_awaited:  # else another call was made since, or is scheduled
                log.warning(LogEvent("discovery poll failed", why=error))
                self._pause(is_refused=isinstance(error, ValueError))
        except Exception:
            log.exception("discovery update failed")
            self._pause()
        else:
            self._on_answered(call)

    def _is_outdated(self, call: DiscoveryCall, version: int) -> bool:
        """Return whether a concurrent call has returned this list or a later one.

        Otherwise a lower version is accepted: the agent may have restarted its numbering.
        """
        return version <= self.version and call.known_version != self.version

    def _on_answered(self, call: DiscoveryCall) -> None:
        """Make the next call at once, unless a long poll is already open."""
        self.poll_schedule.on_answered()
        self.calls.cancel_older(call)
        if call.agent is not self.agent:
            call.agent.close()
        if self.awaited is None or not self.awaited.is_watch:
            self.awaited = None
            self.next_call_at = asyncio.get_running_loop().time()

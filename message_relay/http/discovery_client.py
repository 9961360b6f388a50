"""The platform's discovery service as a source of endpoints: its list, and changes of it, by long polls."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from dataclasses import replace
from typing import Any, NamedTuple

from ..config import Address, Config, address
from ..core.ports import EndpointRecord, EndpointUpdate, EndpointUpdateCallback
from ..decisions.model import Listing
from ..endpoint_discovery.poll_schedule import PollSchedule
from ..structured_logging import LogEvent
from .agent import AgentClient
from .errors import AgentError

log = logging.getLogger(__name__)

LISTINGS = {"ready": Listing.READY, "gone": Listing.REMOVED}  # any other lifecycle: no new attempts
MAX_RATE = 1e9  # of an endpoint, exclusive


class ListedEndpoints(NamedTuple):
    """A parsed list or change of the list, and the agent's version of it."""

    version: int
    update: EndpointUpdate


def parse_listing(raw: dict[str, Any]) -> ListedEndpoints:
    """Parse an answer of the agent, skipping entries that are unreadable. ValueError if it is no list."""
    try:
        version = int(raw["generation"])
        is_full = bool(raw["reset"])
        entries = list(raw["instances"])
    except (KeyError, TypeError, OverflowError) as error:
        raise ValueError(f"malformed list: {error!r}") from error
    # Of one that is listed twice the later entry counts.
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
    """Take over the lifecycle of an entry that is unreadable otherwise.

    Guards the others against that entry: where its endpoint is known already, the known record stays valid,
    except for its lifecycle.
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
        raise ValueError(f"{name}: weight {rate} makes no sense")
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
    """The agent's list as an endpoint source; a failed poll keeps the version, so no change is missed."""

    def __init__(
        self, agent_address: Address, relay_count: int = 1, seed: int = 0, shared: bool = True
    ) -> None:
        """Create a client that polls at its own pace.

        `relay_count` relays poll, with `shared` all of them the same agent; `seed` is for this relay's
        random pauses.
        """
        self.agent = AgentClient(agent_address)
        self.version = -1  # of the list that is known; negative: none
        self.poll_schedule = PollSchedule(relay_count, random.Random(seed), shared)

    def load_configured(self, raw: dict[str, Any]) -> EndpointUpdate:
        """The list in the configuration: it may be old, but its version says how old. Raises ValueError."""
        self.version, update = parse_listing(raw)
        return update

    def reload(self, config: Config) -> None:
        """Switch to the configured agent. It counts its own versions: its whole list is requested."""
        self.agent.close()
        self.agent = AgentClient(config.discovery)
        self.version = -1
        self.poll_schedule.reset()

    def close(self) -> None:
        """Close the connection to the agent."""
        self.agent.close()

    async def run(self, on_update: EndpointUpdateCallback) -> None:
        """Poll until cancelled. With a known list it waits for its turn first, else it polls at once."""
        if self.version >= 0:
            await asyncio.sleep(self.poll_schedule.first_delay_ms() / 1000)
        while True:
            try:
                version, update = parse_listing(await self._poll())
                on_update(update)
                self.version = version
                self.poll_schedule.on_answered()
            except (AgentError, ValueError) as error:
                log.warning(LogEvent("discovery poll failed", why=error))
                self.agent.close()
                is_refused = isinstance(error, ValueError)
                pause_ms = self.poll_schedule.pause_after_failure_ms(is_refused=is_refused)
                await asyncio.sleep(pause_ms / 1000)
            except Exception:
                log.exception("discovery update failed")
                await asyncio.sleep(self.poll_schedule.pause_after_failure_ms() / 1000)

    async def _poll(self) -> dict[str, Any]:
        """Request the changes since the known version, or the whole list; the decoded answer."""
        has_list = self.version >= 0
        watch_ms = round(self.poll_schedule.watch_duration_ms()) if has_list else 0
        query = f"?from={self.version}&hold_ms={watch_ms}" if has_list else ""
        timeout_s = self.poll_schedule.call_timeout_ms(watch_ms) / 1000
        status, body = await self.agent.request("GET", "/v1/servers" + query, b"", timeout_s)
        raw = json.loads(body) if status == 200 else None
        if not isinstance(raw, dict):
            raise ValueError(f"status {status}, {len(body)} bytes that are no list")
        return raw

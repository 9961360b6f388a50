"""The register as a source of members: the list as the platform's agent tells it, by a watch."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from dataclasses import replace
from typing import Any

from ..config import Address, Config, address
from ..core.ports import EndpointRecord, EndpointUpdate, EndpointUpdateCallback
from ..decisions.model import Listing
from ..endpoint_discovery.poll_schedule import PollSchedule
from ..structured_logging import LogEvent
from .agent import AgentClient, AgentError

log = logging.getLogger(__name__)

LISTINGS = {"ready": Listing.READY, "gone": Listing.GONE}  # whatever else gets nothing new


def parse_listing(raw: dict[str, Any]) -> tuple[int, EndpointUpdate]:
    """An answer's version and what it tells, but for entries that cannot be read; ValueError says that it is
    no list at all."""
    try:
        version, whole = int(raw["generation"]), bool(raw["reset"])
        items = list(raw["instances"])
    except (KeyError, TypeError, OverflowError) as error:
        raise ValueError(f"malformed list: {error!r}") from error
    members, lives = (
        dict[str, EndpointRecord](),
        dict[str, Listing](),
    )  # of one that comes twice the later holds
    for item in items:
        try:
            member = parse_endpoint(item)
            members[member.name] = member
            lives.pop(member.name, None)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            # Guards the others against one entry that cannot be read: where its endpoint is known already,
            # that stands, but for what it says of its life.
            log.warning(LogEvent("discovery: an entry is passed over", why=repr(error)))
            if isinstance(item, dict) and "instanceId" in item:
                name = str(item["instanceId"])
                listing = LISTINGS.get(str(item.get("lifecycle")), Listing.DRAINING)
                if name in members:
                    members[name] = replace(members[name], listing=listing)
                else:
                    lives[name] = listing
    return version, EndpointUpdate(whole, tuple(members.values()), tuple(lives.items()))


def parse_endpoint(item: dict[str, Any]) -> EndpointRecord:
    name, kind, zone = str(item["instanceId"]), item.get("machineType"), item.get("zone")
    rate = float(item.get("weight", 0.0))
    if not 0 <= rate < 1e9:
        raise ValueError(f"{name}: weight {rate} makes no sense")
    return EndpointRecord(
        name,
        int(item["cell"]),
        LISTINGS.get(item["lifecycle"], Listing.DRAINING),
        address(item["hostPort"]),
        None if kind is None else str(kind),
        None if zone is None else str(zone),
        rate,
    )


class DiscoveryClient:
    """Keeps the list current; what fails keeps the version, so that nothing is missed."""

    def __init__(self, agent_address: Address, relays: int = 1, seed: int = 0, shared: bool = True) -> None:
        """`relays`: how many ask, `shared`: the same register; `seed`: of this relay's own pauses."""
        self.agent = AgentClient(agent_address)
        self.version = -1
        self.poll_schedule = PollSchedule(relays, random.Random(seed), shared)

    def load_configured(self, raw: dict[str, Any]) -> EndpointUpdate:
        """The list as the configuration has it: it may be old, but its version says how old."""
        self.version, update = parse_listing(raw)
        return update

    def reload(self, config: Config) -> None:
        """Another agent counts its versions anew: what it has is asked for whole."""
        self.agent.close()
        self.agent, self.version = AgentClient(config.discovery), -1
        self.poll_schedule.reset()

    def close(self) -> None:
        self.agent.close()

    async def run(self, on_update: EndpointUpdateCallback) -> None:
        """A process that knows a list waits for its turn; after a reload none is known: it asks at once."""
        if self.version >= 0:
            await asyncio.sleep(self.poll_schedule.first_delay_ms() / 1000)
        while True:
            try:
                version, update = parse_listing(await self._poll())
                on_update(update)
                self.version = version
                self.poll_schedule.on_answered()
            except (AgentError, ValueError) as error:
                log.warning(LogEvent("discovery failed", why=error))
                self.agent.close()
                await asyncio.sleep(
                    self.poll_schedule.pause_after_failure_ms(is_refused=isinstance(error, ValueError)) / 1000
                )
            except Exception:
                log.exception("discovery: a list could not be taken")
                await asyncio.sleep(self.poll_schedule.pause_after_failure_ms() / 1000)

    async def _poll(self) -> dict[str, Any]:
        known = self.version >= 0
        hold_ms = round(self.poll_schedule.watch_duration_ms()) if known else 0
        target = "/v1/servers" + (f"?from={self.version}&hold_ms={hold_ms}" if known else "")
        seconds = self.poll_schedule.call_timeout_ms(hold_ms) / 1000
        status, body = await self.agent.request("GET", target, b"", seconds)
        raw = json.loads(body) if status == 200 else None
        if not isinstance(raw, dict):
            raise ValueError(f"status {status}, {len(body)} bytes that are no list")
        return raw

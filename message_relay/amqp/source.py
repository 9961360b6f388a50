"""The endpoints in the operator's file, as a source of endpoints (core.ports.EndpointSource)."""

from __future__ import annotations

import asyncio

from ..config import Config
from ..core.ports import EndpointRecord, EndpointUpdate, EndpointUpdateCallback
from ..decisions.model import Listing
from .settings import ADDRESS_PREFIX, AmqpSettings, EndpointSettings

SOURCE_NAME = "amqp"


class ConfiguredEndpoints:
    """Reports the configured endpoints once, as a full list."""

    def __init__(self, settings: AmqpSettings) -> None:
        endpoints = tuple(_endpoint_record(endpoint) for endpoint in settings.endpoints)
        self.update = EndpointUpdate(True, endpoints, source=SOURCE_NAME)

    async def run(self, on_update: EndpointUpdateCallback) -> None:
        """Report the list, and wait until cancelled."""
        on_update(self.update)
        await asyncio.Event().wait()

    def reload(self, config: Config) -> None:
        """Nothing to do: the operator's endpoints change with a restart."""

    def close(self) -> None:
        """Nothing to do: it holds no resources."""


def _endpoint_record(endpoint: EndpointSettings) -> EndpointRecord:
    name = f"{ADDRESS_PREFIX}{endpoint.name}"
    return EndpointRecord(name, endpoint.destination, Listing.READY, (name, 0), rate=endpoint.rate)

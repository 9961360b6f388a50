"""The endpoints that the operator's file names, as a source of members (core.seams.Membership)."""

from __future__ import annotations

import asyncio

from ..config import Config
from ..core.ports import EndpointRecord, EndpointUpdate, EndpointUpdateCallback
from ..decisions.model import Listing
from .settings import PREFIX, AmqpSettings

NAME = "amqp"


class ConfiguredEndpoints:
    def __init__(self, part: AmqpSettings) -> None:
        self.update = EndpointUpdate(
            True,
            tuple(
                EndpointRecord(
                    f"{PREFIX}{each.name}",
                    each.destination,
                    Listing.READY,
                    (f"{PREFIX}{each.name}", 0),
                    rate=each.rate,
                )
                for each in part.endpoints
            ),
            source=NAME,
        )

    async def run(self, told: EndpointUpdateCallback) -> None:
        told(self.update)
        await asyncio.Event().wait()

    def reload(self, config: Config) -> None:
        """The operator's endpoints change with a restart."""

    def close(self) -> None:
        """Holds nothing."""

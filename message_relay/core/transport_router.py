"""Several transports as one: which makes an attempt is told by the endpoint's address."""

from __future__ import annotations

from collections.abc import Mapping

from .ports import Attempt, AttemptResult, EndpointKey, Transport


class TransportRouter:
    def __init__(self, usual: Transport, others: Mapping[str, Transport]) -> None:
        """`others` by the beginning of an address's host, up to its colon, which no host name has."""
        self.default, self.by_scheme = usual, dict(others)

    def transport_for(self, key: EndpointKey) -> Transport:
        scheme, colon, _ = key[1][0].partition(":")
        return self.by_scheme.get(scheme, self.default) if colon else self.default

    async def attempt(self, attempt: Attempt) -> AttemptResult:
        return await self.transport_for((attempt.endpoint, attempt.address)).attempt(attempt)

    def retain_only(self, listed: set[EndpointKey]) -> None:
        for each in (self.default, *self.by_scheme.values()):
            each.retain_only({key for key in listed if self.transport_for(key) is each})

    def endpoint_changed(self, key: EndpointKey, listed: bool) -> None:
        self.transport_for(key).endpoint_changed(key, listed)

    def sweep(self) -> None:
        for each in (self.default, *self.by_scheme.values()):
            each.sweep()

    def close(self) -> None:
        for each in (self.default, *self.by_scheme.values()):
            each.close()

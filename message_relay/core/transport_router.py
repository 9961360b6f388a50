"""Combines several transports; the scheme of an endpoint's address selects which makes the attempt."""

from __future__ import annotations

from collections.abc import Mapping

from .ports import Attempt, AttemptResult, EndpointKey, Transport


class TransportRouter:
    """Routes each attempt to the transport for its endpoint's address."""

    def __init__(self, default: Transport, by_scheme: Mapping[str, Transport]) -> None:
        """A scheme is the part of an address's host before a colon, which no host name contains."""
        self.default = default
        self.by_scheme = dict(by_scheme)

    def transport_for(self, key: EndpointKey) -> Transport:
        """Returns the transport that calls this endpoint."""
        _, (host, _) = key
        scheme, colon, _ = host.partition(":")
        return self.by_scheme.get(scheme, self.default) if colon else self.default

    async def attempt(self, attempt: Attempt) -> AttemptResult:
        """See `Transport.attempt`."""
        return await self.transport_for((attempt.endpoint, attempt.address)).attempt(attempt)

    def retain_only(self, listed: set[EndpointKey]) -> None:
        """See `Transport.retain_only`."""
        for transport in (self.default, *self.by_scheme.values()):
            transport.retain_only({key for key in listed if self.transport_for(key) is transport})

    def endpoint_changed(self, key: EndpointKey, listed: bool) -> None:
        """See `Transport.endpoint_changed`."""
        self.transport_for(key).endpoint_changed(key, listed)

    def sweep(self) -> None:
        """See `Transport.sweep`."""
        for transport in (self.default, *self.by_scheme.values()):
            transport.sweep()

    def close(self) -> None:
        """See `Transport.close`."""
        for transport in (self.default, *self.by_scheme.values()):
            transport.close()

"""Settings of gossip: the section `[peers]` of the operator's file.

Without `listen` gossip is off: its other modules are not imported, and no socket is opened.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

SECRET_BYTES = 16  # minimum: shorter secrets can be guessed
# Instances of one fleet. Bounds the state about other instances at each instance and voter. The value is
# above the 3,500 relays of the largest planned fleet, and the scale tests run at this size (tests/scale).
INSTANCES_MAX = 4096


class GossipSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Gossip by UDP and TCP, at one address for each instance."""

    listen: str = ""  # HOST:PORT; `{n}` is replaced by the instance's number, else N listens on port + N
    address: str = ""  # where others reach it, if not at `listen`; same format
    seeds: tuple[str, ...] = ()  # HOST:PORT of some instances that are usually up
    secret_file: str = ""  # seals each packet; empty: no seal, for a private network
    period_s: Annotated[float, Meta(ge=0.05, le=60)] = 1.0  # one member is probed in each period

    def __post_init__(self) -> None:
        for name in ("listen", "address"):
            if getattr(self, name):
                instance_address(getattr(self, name), name, 0)
        for seed in self.seeds:
            parse_address(seed, "seeds")
        if self.seeds and not self.listen:
            raise ValueError("listen: seeds need a place to listen: HOST:PORT")

    @property
    def is_enabled(self) -> bool:
        """Whether gossip is on."""
        return bool(self.listen)

    def listen_address(self, number: int) -> tuple[str, int]:
        """Return the address at which instance `number` listens."""
        return instance_address(self.listen, "listen", number)

    def advertised_address(self, number: int) -> tuple[str, int]:
        """Return the address at which others reach instance `number`."""
        return instance_address(self.address or self.listen, "address", number)

    def secret(self) -> bytes:
        """Return the secret, empty if none is set. Raises ValueError if it is too short, or OSError."""
        if not self.secret_file:
            return b""
        raw = Path(self.secret_file).read_bytes().strip()
        if len(raw) < SECRET_BYTES:
            raise ValueError(
                f"secret_file: {self.secret_file} holds {len(raw)} bytes: {SECRET_BYTES} at least"
            )
        return raw


def instance_address(text: str, field: str, number: int) -> tuple[str, int]:
    """Return the address of an instance by its number. Raises ValueError, with `field` in its text."""
    if "{n}" in text:
        return parse_address(text.replace("{n}", str(number)), field)
    host, port = parse_address(text, field)
    if port + number > 65535:
        raise ValueError(f"{field}: instance {number} would be at port {port + number}: 65535 at most")
    return host, port + number


def parse_address(text: str, field: str) -> tuple[str, int]:
    """Parse HOST:PORT. Raises ValueError, with `field` in its text."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) <= 65535:
        raise ValueError(f"{field}: {text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)

"""The operator's part on peers. No `listen`: there are none, and nothing of this is imported or listens."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

SECRET_BYTES = 16  # at least: shorter ones can be guessed
# Of one fleet: what is known of each instance at each other one, and at each voter, is bounded by it. It is
# above the 3,500 relays of the largest plan there is, and its own size was tested (tests/scale).
INSTANCES_MAX = 4096


class GossipSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Instances that know each other, by UDP and TCP at one address each."""

    listen: str = ""  # HOST:PORT; `{n}` becomes the instance's number, without it N listens on port + N
    address: str = ""  # where others reach it, if not at `listen`; in the same form
    seeds: tuple[str, ...] = ()  # HOST:PORT of some that are usually there
    secret_file: str = ""  # seals each packet; empty: none, for a network that only the fleet can reach
    period_s: Annotated[float, Meta(ge=0.05, le=60)] = 1.0  # one member is asked in each

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
        return bool(self.listen)

    def listen_address(self, number: int) -> tuple[str, int]:
        """Where instance `number` listens."""
        return instance_address(self.listen, "listen", number)

    def advertised_address(self, number: int) -> tuple[str, int]:
        """Where others reach it."""
        return instance_address(self.address or self.listen, "address", number)

    def secret(self) -> bytes:
        """Raises ValueError or OSError."""
        if not self.secret_file:
            return b""
        raw = Path(self.secret_file).read_bytes().strip()
        if len(raw) < SECRET_BYTES:
            raise ValueError(
                f"secret_file: {self.secret_file} holds {len(raw)} bytes: {SECRET_BYTES} at least"
            )
        return raw


def instance_address(text: str, field: str, number: int) -> tuple[str, int]:
    if "{n}" in text:
        return parse_address(text.replace("{n}", str(number)), field)
    host, port = parse_address(text, field)
    if port + number > 65535:
        raise ValueError(f"{field}: instance {number} would be at port {port + number}: 65535 at most")
    return host, port + number


def parse_address(text: str, field: str) -> tuple[str, int]:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) <= 65535:
        raise ValueError(f"{field}: {text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)

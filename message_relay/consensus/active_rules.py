"""The rules that are active on a relay at one moment, and the lease tier that permits them."""

from __future__ import annotations

from enum import Enum

import msgspec

from .rules import Rules


class LeaseTier(Enum):
    """How much a relay may do, by the age of its lease."""

    LEASE = "lease"
    STANDBY = "standby"
    FLOOR = "floor"


class ActiveRules(msgspec.Struct, frozen=True):
    """The rules that a relay acts on, and where they come from."""

    rules: Rules
    versions: tuple[int, ...]  # more than one: `rules` is their meet
    tier: LeaseTier

    @property
    def label(self) -> str:
        """The label in logs, status output and the header of each call: `7`, `7+8`, `7/standby`, `floor`."""
        versions = "+".join(map(str, self.versions))
        if self.tier is LeaseTier.LEASE:
            return versions
        if self.tier is LeaseTier.STANDBY:
            return f"{versions}/standby"
        return "floor"

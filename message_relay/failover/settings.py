"""The `[failover]` section of the operator's file.

Failover is off unless `zones` are named; it needs the `[accord]` section.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Locality = Literal["zone", "region", "anywhere"]


class ZoneSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one zone."""

    region: Annotated[str, Meta(min_length=1, max_length=200)] = "here"


class ClassSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one message class."""

    worth: Annotated[float, Meta(gt=0, le=1e6)] = 1.0  # priority weight of a delivered message
    stay: Locality = "anywhere"  # how far from its relay it may be sent; else it waits or expires


class FailoverSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of failover between zones, by plans on which all instances agree."""

    zones: dict[str, ZoneSettings] = {}  # by the platform's names; none: there are no plans
    classes: dict[str, ClassSettings] = {}
    window_s: Annotated[float, Meta(ge=0.1, le=60)] = 1.0  # of the observations
    spare: Annotated[float, Meta(ge=0, le=0.5)] = (
        0.1  # share of a zone's capacity, reserved for relays that are cut off
    )
    zone_price: Annotated[float, Meta(ge=0, le=0.9)] = 0.05  # share of a call's weight, into another zone
    region_price: Annotated[float, Meta(ge=0, le=0.9)] = 0.2  # the same, into another region
    budget_ms: Annotated[float, Meta(ge=1, le=10_000)] = 150.0  # of the solver, for the plans of one round

    @property
    def is_enabled(self) -> bool:
        """Whether there are plans."""
        return bool(self.zones)

    def __post_init__(self) -> None:
        if self.is_enabled and len(self.zones) < 2:
            raise ValueError("zones: one alone has nowhere to go: name all of them, or none")
        if self.region_price < self.zone_price:
            raise ValueError(
                f"region_price: {self.region_price:g} must be zone_price ({self.zone_price:g}) or more"
            )

    def region_of(self, zone: str) -> str:
        """Return a zone's region; empty if the zone is unknown."""
        return self.zones[zone].region if zone in self.zones else ""

    def class_settings(self, name: str) -> ClassSettings:
        """Return the settings of a message class, by default those of `*`."""
        return self.classes.get(name) or self.classes.get("*") or ClassSettings()

    def is_allowed(self, name: str, source: str, target: str) -> bool:
        """Whether a message of that class may go from a relay in `source` to an endpoint in `target`.

        Checked right before a call's first byte, whatever plan there is.
        """
        stay = self.class_settings(name).stay
        if stay == "anywhere" or source == target:
            return True
        return stay == "region" and self.region_of(source) == self.region_of(target) != ""

    def call_cost(self, source: str, target: str) -> float:
        """Return the share of a call's weight that a pair of zones costs."""
        if source == target:
            return 0.0
        return self.zone_price if self.region_of(source) == self.region_of(target) else self.region_price

    def group_name(self, name: str) -> str:
        """Return the name of the traffic group of a class: all of equal weight and locality are one group."""
        settings = self.class_settings(name)
        return f"{settings.stay} {settings.worth:g}"

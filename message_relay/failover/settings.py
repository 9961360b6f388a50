"""Settings of the `[failover]` section of the operator's file.

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
    stay: Locality = "anywhere"  # how far from its relay it may be sent; otherwise it waits or expires


class FailoverSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of failover between zones, which follows plans that all instances agree on."""

    zones: dict[str, ZoneSettings] = {}  # by the platform's zone names; empty: failover is off
    classes: dict[str, ClassSettings] = {}
    window_s: Annotated[float, Meta(ge=0.1, le=60)] = 1.0  # of the observations
    spare: Annotated[float, Meta(ge=0, le=0.5)] = (
        0.1  # share of a zone's capacity, reserved for relays that are cut off
    )
    zone_price: Annotated[float, Meta(ge=0, le=0.9)] = (
        0.05  # cost of a call into another zone, as a share of its weight
    )
    region_price: Annotated[float, Meta(ge=0, le=0.9)] = 0.2  # likewise, into another region
    budget_ms: Annotated[float, Meta(ge=1, le=10_000)] = (
        150.0  # time budget of the solver for all plans of one round
    )

    @property
    def is_enabled(self) -> bool:
        """Whether failover is on."""
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
        """Return the settings of a message class; those of `*` by default."""
        return self.classes.get(name) or self.classes.get("*") or ClassSettings()

    def is_allowed(self, name: str, source: str, target: str) -> bool:
        """Whether a message of that class may go from a relay in `source` to an endpoint in `target`.

        Checked right before the first byte of a call, independently of the plan.
        """
        stay = self.class_settings(name).stay
        if stay == "anywhere" or source == target:
            return True
        return stay == "region" and self.region_of(source) == self.region_of(target) != ""

    def call_cost(self, source: str, target: str) -> float:
        """Return the cost of a call between two zones, as a share of its weight."""
        if source == target:
            return 0.0
        return self.zone_price if self.region_of(source) == self.region_of(target) else self.region_price

    def group_name(self, name: str) -> str:
        """Return the name of the traffic group of a class: all of equal weight and locality are one group."""
        settings = self.class_settings(name)
        return f"{settings.stay} {settings.worth:g}"

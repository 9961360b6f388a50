"""The operator's part on failover. Off unless `zones` are named; needs [accord]."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Locality = Literal["zone", "region", "anywhere"]


class ZoneSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    region: Annotated[str, Meta(min_length=1, max_length=200)] = "here"


class ClassSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    worth: Annotated[float, Meta(gt=0, le=1e6)] = 1.0  # of one that is delivered, against the other classes
    stay: Locality = "anywhere"  # where it may be sent: its relay's zone or region; it waits or ends there


class FailoverSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Traffic near while that is safe, elsewhere by a plan that all agree on."""

    zones: dict[str, ZoneSettings] = {}  # as the platform names them; none: there are no plans
    classes: dict[str, ClassSettings] = {}
    window_s: Annotated[float, Meta(ge=0.1, le=60)] = 1.0  # of the evidence
    spare: Annotated[float, Meta(ge=0, le=0.5)] = 0.1  # of a zone's room, kept for relays that are cut off
    zone_price: Annotated[float, Meta(ge=0, le=0.9)] = 0.05  # of a call's worth, into another zone
    region_price: Annotated[float, Meta(ge=0, le=0.9)] = 0.2  # and into another region
    budget_ms: Annotated[float, Meta(ge=1, le=10_000)] = 150.0  # of the solver, for one plan

    @property
    def is_enabled(self) -> bool:
        return bool(self.zones)

    def __post_init__(self) -> None:
        if self.is_enabled and len(self.zones) < 2:
            raise ValueError("zones: one alone has nowhere to go: name all of them, or none")
        if self.region_price < self.zone_price:
            raise ValueError(
                f"region_price: {self.region_price:g} must be zone_price ({self.zone_price:g}) or more"
            )

    def region_of(self, zone: str) -> str:
        return self.zones[zone].region if zone in self.zones else ""

    def class_settings(self, name: str) -> ClassSettings:
        return self.classes.get(name) or self.classes.get("*") or ClassSettings()

    def is_allowed(self, name: str, source: str, target: str) -> bool:
        """Whether a message of that class may go from a relay in `source` to an endpoint in `target`: asked
        right before the first byte, whatever plan there is."""
        stay = self.class_settings(name).stay
        if stay == "anywhere" or source == target:
            return True
        return stay == "region" and self.region_of(source) == self.region_of(target) != ""

    def call_cost(self, source: str, target: str) -> float:
        if source == target:
            return 0.0
        return self.zone_price if self.region_of(source) == self.region_of(target) else self.region_price

    def group_name(self, name: str) -> str:
        """Classes of the same worth that may go to the same places are one to a plan."""
        told = self.class_settings(name)
        return f"{told.stay} {told.worth:g}"

"""The `[accord]` section of the operator's file.

Without voters there are no agreed rules, and the other modules of the package are not imported.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from ..gossip.settings import INSTANCES_MAX
from .lease_protocol import LeaseTerms
from .rules import DENY_ALL, Rules, RulesError
from .rules_validation import validate_rules

InstanceNumber = Annotated[int, Meta(ge=0, le=INSTANCES_MAX - 1)]
MAX_VOTERS = 9  # more would cost messages for each version, and tolerate only unlikely faults


class ConsensusSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the rules on which all instances agree; they need the `[peers]` section."""

    voters: tuple[InstanceNumber, ...] = ()  # instance numbers, the same in each file
    bound_s: Annotated[float, Meta(ge=0.2, le=600)] = (
        2.0  # T: no two instances act on contradicting versions for longer
    )
    horizon_s: Annotated[float, Meta(ge=1, le=86_400)] = 30.0  # an isolated instance continues for this long
    drift: Annotated[float, Meta(ge=0.001, le=0.2)] = 0.05  # between any two clocks, in seconds a second
    standby: Annotated[float, Meta(gt=0, le=1)] = (
        0.9  # share of the rates with which an isolated instance continues
    )
    first: Rules = Rules()  # the first version, the same in each file
    floor: Rules = DENY_ALL  # for an instance that is isolated for longer: must lie within each version
    folder: str = ""  # the file rules.json in this folder is proposed when it changes

    def __post_init__(self) -> None:
        if len(set(self.voters)) != len(self.voters):
            raise ValueError("voters: each is named once")
        if len(self.voters) > MAX_VOTERS:
            raise ValueError(f"voters: {len(self.voters)}: {MAX_VOTERS} at most")
        if self.horizon_s < 2 * self.bound_s:
            raise ValueError(
                f"horizon_s: {self.horizon_s:g} must be twice bound_s ({self.bound_s:g}) or more"
            )
        for name in ("first", "floor"):
            try:
                validate_rules(getattr(self, name))
            except RulesError as error:
                raise ValueError(f"{name}.{error}") from error

    @property
    def is_enabled(self) -> bool:
        """Whether instances agree on rules."""
        return bool(self.voters)

    def lease_terms(self) -> LeaseTerms:
        """Return the lease durations."""
        return LeaseTerms(self.bound_s, self.horizon_s, self.drift, self.standby)

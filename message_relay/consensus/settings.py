"""The operator's part on rules. Without voters there are none, and nothing of this is imported."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from ..gossip.settings import INSTANCES_MAX
from .lease_protocol import LeaseTerms
from .rules import DENY_ALL, Rules, RulesError
from .rules_validation import validate_rules

InstanceNumber = Annotated[int, Meta(ge=0, le=INSTANCES_MAX - 1)]
MAX_VOTERS = 9  # more cost more messages for each version and outlive no likelier fault


class ConsensusSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Versions of rules on which all instances agree. Needs [peers]."""

    voters: tuple[InstanceNumber, ...] = ()  # instance numbers, the same in each file
    bound_s: Annotated[float, Meta(ge=0.2, le=600)] = 2.0  # T: no two act on contrary versions for longer
    horizon_s: Annotated[float, Meta(ge=1, le=86_400)] = 30.0  # one that is cut off goes on for so long
    drift: Annotated[float, Meta(ge=0.001, le=0.2)] = 0.05  # of any two clocks, in s a second
    standby: Annotated[float, Meta(gt=0, le=1)] = 0.9  # share of the rates that one cut off goes on with
    first: Rules = Rules()  # the first version, the same in each file
    floor: Rules = DENY_ALL  # what one cut off for longer may still do: it must lie within each version
    folder: str = ""  # a file rules.json there is proposed when it changes

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
        return bool(self.voters)

    def lease_terms(self) -> LeaseTerms:
        return LeaseTerms(self.bound_s, self.horizon_s, self.drift, self.standby)

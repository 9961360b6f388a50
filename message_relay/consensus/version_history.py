"""The versions, in the order in which they were agreed on: a replicated state machine. No I/O, no clock.

Each instance that votes applies the same commands in the same order and so holds the same book. A command
that no longer fits (its base is not the newest, its version is no longer on trial) changes nothing and
says why: of two operators who propose against the same version, the second is told what came first.

    (none) --propose, canary--> TRIAL --promote--> CURRENT --a later one is--> PAST
                                  '----withdraw--> WITHDRAWN
    (none) --propose, at once---------------------> CURRENT

A version on trial has to lie within the current one: relays that act on it then do nothing that the
others are forbidden. A roll-back is a new version with an earlier one's rules, so that numbers only ever
rise.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated, Union

import msgspec
from msgspec import Meta

from .rules import Rules, RulesError
from .rules_codec import decode_rules, digest, encode_rules
from .rules_meet import is_subset

VERSIONS_RETAINED = 64  # with their rules: what a relay that is cut off may still hold lies among them
CAUSE_CHARACTERS_MAX = 500  # letters of a cause, at most
FIRST_NUMBER = 1


class Stage(Enum):
    CANARY = "trial"
    CURRENT = "current"
    PAST = "past"
    WITHDRAWN = "withdrawn"


class Guard(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """When a change is taken back by itself: by the share of the ended messages that were delivered."""

    least_ratio: Annotated[float, Meta(ge=0, le=2)] = 0.9  # of those with the change to those without
    least_count: Annotated[int, Meta(ge=1, le=10**9)] = 50  # messages on each side, before it says anything
    watch_s: Annotated[float, Meta(ge=0.1, le=86_400)] = 30.0  # so long after it began
    promote: bool = False  # one on trial becomes current once watched so long without harm


class Version(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    number: int
    digest: str
    rules: bytes  # encoded
    voters: tuple[str, ...]
    author: str
    cause: str
    at_ms: float  # Unix time, as its proposer had it
    stage: Stage
    share: float = 1.0  # of the relays, while on trial
    guard: Guard | None = None
    restored_from: int = msgspec.field(default=0, name="of")  # the version whose rules it brings back

    @property
    def decoded_rules(self) -> Rules:
        return _set_of(self.rules)


_SETS: dict[bytes, Rules] = {}  # decoded, for the versions kept


def _set_of(raw: bytes) -> Rules:
    found = _SETS.get(raw)
    if found is None:
        if len(_SETS) > 4 * VERSIONS_RETAINED:
            _SETS.clear()
        found = _SETS[raw] = decode_rules(raw)
    return found


class Propose(msgspec.Struct, frozen=True, tag="propose"):
    base: int  # the newest version that its author has seen
    rules: bytes
    author: str
    cause: str
    at_ms: float
    share: float = 1.0  # below 1: on trial
    guard: Guard | None = None
    restored_from: int = msgspec.field(default=0, name="of")


class Promote(msgspec.Struct, frozen=True, tag="promote"):
    number: int
    author: str


class Withdraw(msgspec.Struct, frozen=True, tag="withdraw"):
    number: int
    author: str
    cause: str


class ChangeVoters(msgspec.Struct, frozen=True, tag="voters"):
    """One more or one less: two steps at once could have majorities that do not meet."""

    base: int
    add: str
    remove: str
    author: str
    at_ms: float


class Forget(msgspec.Struct, frozen=True, tag="forget"):
    """An operator's word that this process has ended for good: nothing waits for it any more."""

    name: str
    boot: int
    author: str
    at_ms: float


Command = Union[Propose, Promote, Withdraw, ChangeVoters, Forget]
_COMMAND: msgspec.json.Decoder[Command] = msgspec.json.Decoder(Command)


class CommandResult(msgspec.Struct, frozen=True):
    """What became of a command."""

    number: int = 0  # the version that it made or changed
    refused: str = ""


def decode_command(raw: bytes) -> Command:
    """Raises RulesError."""
    try:
        return _COMMAND.decode(raw)
    except msgspec.MsgspecError as error:
        raise RulesError(f"command: {error}") from error


class VersionHistory:
    def __init__(self, first: Rules, voters: tuple[str, ...]) -> None:
        """All instances begin with the same first version, by their operator's file."""
        self.versions = [
            Version(
                FIRST_NUMBER,
                digest(first),
                encode_rules(first),
                tuple(sorted(voters)),
                "operator's file",
                "the first",
                0.0,
                Stage.CURRENT,
            )
        ]
        self.forgotten_epochs: dict[str, int] = {}  # name -> boot up to which it was forgotten
        self.applied_count = 0  # commands, and whole states that were loaded: another number, another state
        self.voters_changed_at_ms = 0.0  # when they last changed, by their proposer's clock

    # -- what it says ----------------------------------------------------------------------------------------

    @property
    def newest(self) -> Version:
        return self.versions[-1]

    @property
    def current(self) -> Version:
        return next(each for each in reversed(self.versions) if each.stage is Stage.CURRENT)

    @property
    def canary(self) -> Version | None:
        return self.newest if self.newest.stage is Stage.CANARY else None

    def get(self, number: int) -> Version | None:
        at = number - self.versions[0].number
        return self.versions[at] if 0 <= at < len(self.versions) else None

    # -- commands --------------------------------------------------------------------------------------------

    def apply(self, told: Command) -> CommandResult:
        self.applied_count += 1
        try:
            match told:
                case Propose():
                    return self._propose(told)
                case Promote(number):
                    return self._staged(number, Stage.CURRENT)
                case Withdraw(number):
                    return self._staged(number, Stage.WITHDRAWN)
                case ChangeVoters():
                    return self._voters(told)
                case Forget(name, boot):
                    self.forgotten_epochs[name] = max(boot, self.forgotten_epochs.get(name, 0))
                    return CommandResult(self.newest.number)
        except RulesError as error:
            return CommandResult(refused=str(error))

    def _fits(self, base: int) -> None:
        newest = self.newest
        if base != newest.number:
            raise RulesError(
                f"base: the newest version is {newest.number} (by {newest.author}: {newest.cause}), "
                f"not {base}: look at it, and propose again"
            )
        if newest.stage is Stage.CANARY:
            raise RulesError(f"version {newest.number} is on trial: promote or withdraw it first")

    def _propose(self, told: Propose) -> CommandResult:
        self._fits(told.base)
        rules = decode_rules(told.rules)
        trial = told.share < 1.0
        if trial and not is_subset(rules, self.current.decoded_rules):
            raise RulesError(
                "share: only a version that is stricter than the current one in each field that "
                "changes can be tried on a part of the relays; this one goes at once or not at all"
            )
        self._add(
            Version(
                self.newest.number + 1,
                digest(rules),
                encode_rules(rules),
                self.newest.voters,
                told.author,
                told.cause[:CAUSE_CHARACTERS_MAX],
                told.at_ms,
                Stage.CANARY if trial else Stage.CURRENT,
                told.share,
                told.guard,
                told.restored_from,
            )
        )
        return CommandResult(self.newest.number)

    def _add(self, version: Version) -> None:
        if version.stage is Stage.CURRENT:
            self._past()
        self.versions.append(version)
        del self.versions[: max(0, len(self.versions) - VERSIONS_RETAINED)]

    def _past(self) -> None:
        for n, each in enumerate(self.versions):
            if each.stage is Stage.CURRENT:
                self.versions[n] = msgspec.structs.replace(each, stage=Stage.PAST)

    def _staged(self, number: int, stage: Stage) -> CommandResult:
        newest = self.newest
        if newest.number != number or newest.stage is not Stage.CANARY:
            found = self.get(number)
            raise RulesError(
                f"version {number} is not on trial: "
                + ("there is none" if found is None else f"it is {found.stage.value}")
            )
        if stage is Stage.CURRENT:
            self._past()
        self.versions[-1] = msgspec.structs.replace(newest, stage=stage)
        return CommandResult(number)

    def _voters(self, told: ChangeVoters) -> CommandResult:
        self._fits(told.base)
        voters = set(self.newest.voters)
        if bool(told.add) == bool(told.remove):
            raise RulesError("voters: one to add, or one to remove: a step at a time")
        if told.add in voters or told.remove and told.remove not in voters:
            raise RulesError(
                f"voters: {told.add or told.remove!r} is{' already' * bool(told.add)} "
                f"{'' if told.add else 'not '}among {', '.join(sorted(voters))}"
            )
        voters = (voters | {told.add} if told.add else voters - {told.remove}) - {""}
        if not voters:
            raise RulesError(f"voters: {told.remove!r} is the last one")
        newest, word = self.newest, "added" if told.add else "removed"
        self._add(
            msgspec.structs.replace(
                newest,
                number=newest.number + 1,
                voters=tuple(sorted(voters)),
                author=told.author,
                restored_from=0,
                cause=f"voter {told.add or told.remove} {word}",
                at_ms=told.at_ms,
                stage=Stage.CURRENT,
                share=1.0,
                guard=None,
                rules=self.current.rules,
                digest=self.current.digest,
            )
        )
        self.voters_changed_at_ms = told.at_ms
        return CommandResult(self.newest.number)

    # -- as bytes --------------------------------------------------------------------------------------------

    def dump(self) -> bytes:
        return msgspec.json.encode((self.versions, self.forgotten_epochs, self.voters_changed_at_ms))

    def load(self, raw: bytes) -> None:
        """Raises msgspec.MsgspecError."""
        shape = tuple[list[Version], dict[str, int], float]
        told: tuple[list[Version], dict[str, int], float] = msgspec.json.decode(raw, type=shape)
        self.versions, self.forgotten_epochs, self.voters_changed_at_ms = told
        self.applied_count += 1

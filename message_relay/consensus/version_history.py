"""Version history: a replicated state machine of the versions that were agreed on. No I/O, no clock.

Each voter applies the same commands in the same order and so holds the same history. A command that no
longer applies (its base is not the newest version, its version is no longer a canary) changes nothing and is
refused with a reason: if two operators propose against the same version, the second is informed of the first
proposal.

    (none) --propose, share below 1--> CANARY --promote--> CURRENT --a later one is--> PAST
                                         '----withdraw--> WITHDRAWN
    (none) --propose, for all---------------------------> CURRENT

A canary has to lie within the current version: then relays that act on it do nothing that is forbidden to
the others. A rollback is a new version with the rules of an earlier one, so that numbers only ever rise.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated, Union

import msgspec
from msgspec import Meta

from .rules import Rules, RulesError
from .rules_codec import decode_rules, digest, encode_rules
from .rules_intersection import is_subset

VERSIONS_RETAINED = 64  # with their rules: includes all that an isolated relay may still hold
CAUSE_CHARACTERS_MAX = 500
FIRST_NUMBER = 1


class Stage(Enum):
    """Stage of a version; the values are part of the encoded formats."""

    CANARY = "trial"
    CURRENT = "current"
    PAST = "past"
    WITHDRAWN = "withdrawn"


class Guard(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """When a version is reverted automatically, by the delivered share of the completed messages."""

    least_ratio: Annotated[float, Meta(ge=0, le=2)] = 0.9  # share with the version / share without it
    least_count: Annotated[int, Meta(ge=1, le=10**9)] = 50  # messages on each side that a verdict needs
    watch_s: Annotated[float, Meta(ge=0.1, le=86_400)] = 30.0  # from when the version was first seen in force
    promote: bool = False  # a canary becomes current once watched so long without harm


class Version(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One agreed version of the rules."""

    number: int
    digest: str
    rules: bytes  # encoded
    voters: tuple[str, ...]
    author: str
    cause: str
    at_ms: float  # Unix time, by the clock of its proposer
    stage: Stage
    share: float = 1.0  # of the relays, while it is a canary
    guard: Guard | None = None
    restored_from: int = msgspec.field(default=0, name="of")  # the version whose rules it restores

    @property
    def decoded_rules(self) -> Rules:
        """The rules; decoded once for all versions with the same rules."""
        return _decoded(self.rules)


_DECODED: dict[bytes, Rules] = {}  # cache, for the versions retained


def _decoded(raw: bytes) -> Rules:
    rules = _DECODED.get(raw)
    if rules is None:
        if len(_DECODED) > 4 * VERSIONS_RETAINED:
            _DECODED.clear()
        rules = _DECODED[raw] = decode_rules(raw)
    return rules


class Propose(msgspec.Struct, frozen=True, tag="propose"):
    """Add a version with new rules."""

    base: int  # newest version that its author has seen
    rules: bytes
    author: str
    cause: str
    at_ms: float
    share: float = 1.0  # of the relays; below 1: a canary
    guard: Guard | None = None
    restored_from: int = msgspec.field(default=0, name="of")


class Promote(msgspec.Struct, frozen=True, tag="promote"):
    """Make the canary the current version."""

    number: int
    author: str


class Withdraw(msgspec.Struct, frozen=True, tag="withdraw"):
    """Withdraw the canary."""

    number: int
    author: str
    cause: str


class ChangeVoters(msgspec.Struct, frozen=True, tag="voters"):
    """Add or remove one voter: with two at once there could be majorities that do not overlap."""

    base: int
    add: str
    remove: str
    author: str
    at_ms: float


class Forget(msgspec.Struct, frozen=True, tag="forget"):
    """An operator's statement that a process has ended for good: voters no longer wait for it."""

    name: str
    epoch: int = msgspec.field(name="boot")
    author: str
    at_ms: float


Command = Union[Propose, Promote, Withdraw, ChangeVoters, Forget]
_COMMAND: msgspec.json.Decoder[Command] = msgspec.json.Decoder(Command)


class CommandResult(msgspec.Struct, frozen=True):
    """The result of a command: the version that it made or changed, or why it was refused."""

    number: int = 0
    refused: str = ""


def decode_command(raw: bytes) -> Command:
    """Decode a command of the log. Raises RulesError."""
    try:
        return _COMMAND.decode(raw)
    except msgspec.MsgspecError as error:
        raise RulesError(f"command: {error}") from error


class VersionHistory:
    """The latest versions, and the other state that the commands change."""

    def __init__(self, first: Rules, voters: tuple[str, ...]) -> None:
        """All instances start with the same first version, from their operator's files."""
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
        self.forgotten_epochs: dict[str, int] = {}  # by name: the epoch up to which it was forgotten
        # Number of commands applied and snapshots loaded: another number means another state.
        self.applied_count = 0
        self.voters_changed_at_ms = 0.0  # by the clock of the proposer

    # -- queries ---------------------------------------------------------------------------------------------

    @property
    def newest(self) -> Version:
        """The version with the highest number, at any stage."""
        return self.versions[-1]

    @property
    def current(self) -> Version:
        """The newest version that applies to all relays."""
        return next(version for version in reversed(self.versions) if version.stage is Stage.CURRENT)

    @property
    def canary(self) -> Version | None:
        """The version that only a share of the relays acts on, if there is one."""
        return self.newest if self.newest.stage is Stage.CANARY else None

    def get(self, number: int) -> Version | None:
        """Return a version by its number; None if it is unknown or no longer retained."""
        index = number - self.versions[0].number
        return self.versions[index] if 0 <= index < len(self.versions) else None

    # -- commands --------------------------------------------------------------------------------------------

    def apply(self, command: Command) -> CommandResult:
        """Apply an agreed command, or refuse it."""
        self.applied_count += 1
        try:
            match command:
                case Propose():
                    return self._propose(command)
                case Promote(number):
                    return self._end_canary(number, Stage.CURRENT)
                case Withdraw(number):
                    return self._end_canary(number, Stage.WITHDRAWN)
                case ChangeVoters():
                    return self._change_voters(command)
                case Forget(name, epoch):
                    self.forgotten_epochs[name] = max(epoch, self.forgotten_epochs.get(name, 0))
                    return CommandResult(self.newest.number)
        except RulesError as error:
            return CommandResult(refused=str(error))

    def _check_base(self, base: int) -> None:
        newest = self.newest
        if base != newest.number:
            raise RulesError(
                f"base: the newest version is {newest.number} (by {newest.author}: {newest.cause}), "
                f"not {base}: look at it, and propose again"
            )
        if newest.stage is Stage.CANARY:
            raise RulesError(f"version {newest.number} is on trial: promote or withdraw it first")

    def _propose(self, command: Propose) -> CommandResult:
        self._check_base(command.base)
        rules = decode_rules(command.rules)
        is_canary = command.share < 1.0
        if is_canary and not is_subset(rules, self.current.decoded_rules):
            raise RulesError(
                "share: only a version that is stricter than the current one in each field that "
                "changes can be tried on a part of the relays; this version applies to all of them or to none"
            )
        self._add(
            Version(
                self.newest.number + 1,
                digest(rules),
                encode_rules(rules),
                self.newest.voters,
                command.author,
                command.cause[:CAUSE_CHARACTERS_MAX],
                command.at_ms,
                Stage.CANARY if is_canary else Stage.CURRENT,
                command.share,
                command.guard,
                command.restored_from,
            )
        )
        return CommandResult(self.newest.number)

    def _add(self, version: Version) -> None:
        if version.stage is Stage.CURRENT:
            self._retire_current()
        self.versions.append(version)
        del self.versions[: max(0, len(self.versions) - VERSIONS_RETAINED)]

    def _retire_current(self) -> None:
        for index, version in enumerate(self.versions):
            if version.stage is Stage.CURRENT:
                self.versions[index] = msgspec.structs.replace(version, stage=Stage.PAST)

    def _end_canary(self, number: int, stage: Stage) -> CommandResult:
        newest = self.newest
        if newest.number != number or newest.stage is not Stage.CANARY:
            version = self.get(number)
            raise RulesError(
                f"version {number} is not on trial: "
                + ("there is none" if version is None else f"it is {version.stage.value}")
            )
        if stage is Stage.CURRENT:
            self._retire_current()
        self.versions[-1] = msgspec.structs.replace(newest, stage=stage)
        return CommandResult(number)

    def _change_voters(self, command: ChangeVoters) -> CommandResult:
        self._check_base(command.base)
        voters = self._voters_after(command)
        action = "added" if command.add else "removed"
        self._add(
            msgspec.structs.replace(
                self.newest,
                number=self.newest.number + 1,
                voters=tuple(sorted(voters)),
                author=command.author,
                restored_from=0,
                cause=f"voter {command.add or command.remove} {action}",
                at_ms=command.at_ms,
                stage=Stage.CURRENT,
                share=1.0,
                guard=None,
                rules=self.current.rules,
                digest=self.current.digest,
            )
        )
        self.voters_changed_at_ms = command.at_ms
        return CommandResult(self.newest.number)

    def _voters_after(self, command: ChangeVoters) -> set[str]:
        """Return the voters after the command. Raises RulesError."""
        voters = set(self.newest.voters)
        add, remove = command.add, command.remove
        if bool(add) == bool(remove):
            raise RulesError("voters: one to add, or one to remove: a step at a time")
        if add in voters or (remove and remove not in voters):
            raise RulesError(
                f"voters: {add or remove!r} is{' already' if add else ''} "
                f"{'' if add else 'not '}among {', '.join(sorted(voters))}"
            )
        voters = (voters | {add} if add else voters - {remove}) - {""}
        if not voters:
            raise RulesError(f"voters: {remove!r} is the last one")
        return voters

    # -- snapshots -------------------------------------------------------------------------------------------

    def dump(self) -> bytes:
        """Return the encoded state, for `load`."""
        return msgspec.json.encode((self.versions, self.forgotten_epochs, self.voters_changed_at_ms))

    def load(self, raw: bytes) -> None:
        """Replace the state by one from `dump`. Raises msgspec.MsgspecError."""
        shape = tuple[list[Version], dict[str, int], float]
        state: tuple[list[Version], dict[str, int], float] = msgspec.json.decode(raw, type=shape)
        self.versions, self.forgotten_epochs, self.voters_changed_at_ms = state
        self.applied_count += 1

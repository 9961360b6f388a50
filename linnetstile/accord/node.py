"""One instance's part in agreed rules: leases, the log where it votes, the gate, and the ways in for
operators."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

import msgspec

from ..core.seams import Call
from ..core.tasks import Tasks, woken
from ..decisions import interface as api
from ..logs import Note
from ..peers.identity import Identity, written
from ..peers.node import Hello, Node
from ..peers.wire import Claim
from . import caps
from .book import (
    FIRST,
    Answer,
    Book,
    Command,
    Forget,
    Promote,
    Propose,
    Stage,
    Version,
    Voters,
    Withdraw,
    command,
)
from .boots import Boots
from .clock import Clock
from .control import Question
from .disk import JOURNAL, removed
from .fetching import Fetching, Sought, first_pause
from .gate import Gate
from .granting import Granting
from .guard import Recent, Verdict, Watch
from .holding import Acting, Holding
from .log import Log
from .rules import Rules, RulesError, check, decoded, digest, encoded, within
from .settings import AccordPart
from .terms import Counts, Grant, Renew

log = logging.getLogger(__name__)

RENEW, GRANT, HINT = "renew", "grant", "hint"  # datagrams
VERSION, COMMAND, BOOT = "version", "command", "boot"  # questions on a connection
ASK_S, PROPOSE_S = 1.0, 5.0
NO_VOTE = "this voter does not vote"
ANSWER: msgspec.json.Decoder[Answer] = msgspec.json.Decoder(Answer)
LOOK_S = 0.05  # how often a change of what is acted on is looked for
GUARD_S, FILE_S = 0.5, 1.0
AGAIN_S = 2.0  # a log whose disk has failed is opened again so long after
START_S = 10.0  # a voter asks the others so long whether its folder is the latest they know of
RULES_FILE = "rules.json"
COMMANDS = ("propose", "promote", "withdraw", "revert", "voters", "forget", "evacuate", "return")
STANDING = "standing.json"  # what has to outlast a voter's process


class Standing(msgspec.Struct, forbid_unknown_fields=True):
    cleared: int = 0
    boots: dict[str, int] = {}  # identity -> highest boot seen
    voted: bool = False  # the log was begun in this folder
    voters: tuple[str, ...] = ()  # as the newest version says that was heard of; () at first


class Watching(Protocol):
    """What takes part in the rules beside the operators: plans of failover."""

    def asked(self, destination: int, class_: str) -> None:
        """A message was handed in."""

    def ended(self, call: Call, outcome: api.Outcome, latency_ms: float, wait_ms: float) -> None:
        """A call has ended, or did not come about."""

    def status(self) -> dict[str, Any]:
        """For people."""

    def plan(self, question: Question) -> dict[str, Any]:
        """What would be planned. Raises RulesError."""


class Accord:
    """Begins with `start`; the host asks `gate`, and is told by `retell` when the decisions should look
    anew."""

    def __init__(
        self,
        part: AccordPart,
        peers: Node,
        folder: Path,
        identity: Identity,
        settings: api.Settings,
        zones: tuple[str, ...],
        instances: int,
        retell: Callable[[], None],
        counts: Callable[[], Counts],
    ) -> None:
        """Raises OSError where the folder can't be read."""
        self.part, self.peers, self.folder, self.identity = part, peers, folder, identity
        self.classes, self.zones = [cls.name for cls in settings.classes], zones
        self.retell, self.counts = retell, counts
        self.terms, self.clock = part.terms(), Clock.of_environment()
        self.me = identity.name
        self.voters = tuple(f"n{number}" for number in sorted(part.voters))
        self.book = Book(part.first, self.voters)
        self.first = digest(part.first) + "/" + ",".join(self.voters)
        self.voting: asyncio.Task[None] | None = None
        self.gone = False  # it has said so: a further renewal would be granted, and waited for
        self.looked = False  # whether the others have seen a later process of this folder
        self.holding = Holding(identity.boot, peers.swim.me.nonce, self.first, self.terms, part.floor)
        self.holding.know(self.book.newest)
        zone = zones[settings.zone] if settings.zone < len(zones) else ""
        self.gate = Gate(self.acting, instances, lambda: time.time() * 1000, self.me, zone)
        self.standing = self._stood()
        self.boots = Boots(self.standing.boots)
        self.granting: Granting | None = None
        # When the voters last changed: their proposer's stamp, and when this process saw it by its own clock.
        # Only the second is reckoned with: a wall clock may step, and a relay's majority hangs on the wait.
        self.voters_seen = (0.0, -math.inf)
        self.log: Log | None = None
        self.mute = ""  # why this voter does not vote
        self.fetching = Fetching(peers.rng)
        self.watch: Watch | None = None
        self.watching: Watching | None = None
        self.recent = Recent()
        self.tasks = Tasks()
        self.wake = asyncio.Event()
        self.shown: Acting | None = None
        self.file_seen = ""
        peers.rebooted.append(self._rebooted)
        peers.refused.append(self._refused)
        peers.datagrams |= {RENEW: self._renewed, GRANT: self._granted, HINT: self._hinted}
        peers.frames |= {VERSION: self._version, COMMAND: self._command, BOOT: self._boot}

    # -- life ------------------------------------------------------------------------------------------------

    def start(self) -> None:
        self.tasks.start(self._renewals())
        self.tasks.start(self._looks())
        self.tasks.start(self._guarding())
        if self.part.folder:
            self.tasks.start(self._folder())

    def leave(self) -> None:
        """Lets go of what it acts by: nobody has to wait for it. Nothing is allowed from now on."""
        told = self.holding.renew(self.clock.now(), self.counts(), leaving=True)
        for name in self._asked():
            self.peers.say(name, RENEW, msgspec.msgpack.encode(told))
        self.holding.left()
        self.gone = True

    async def close(self) -> None:
        await self.tasks.cancel()
        if self.log is not None:
            await self.log.close()

    def _stood(self) -> Standing:
        try:
            return msgspec.json.decode((self.folder / STANDING).read_bytes(), type=Standing)
        except FileNotFoundError:
            return Standing()
        except msgspec.MsgspecError as error:
            log.error(Note("what this voter had cleared can't be read: it begins anew", why=error))
            return Standing()

    def _keep(self) -> None:
        written(self.folder / STANDING, self.standing)

    # -- the voter's part ------------------------------------------------------------------------------------

    def voting_now(self) -> tuple[str, ...]:
        """Who votes, as far as is known here: an instance may have been added or removed since its file was
        written, also by versions that this process has not heard of yet."""
        latest = self.holding.latest
        if latest is not None and latest.number > FIRST:
            return latest.voters
        return self.standing.voters or self.voters

    def _station(self) -> None:
        """Begins to vote, or ends it, as the newest version says."""
        voters = self.voting_now()
        if voters != (self.standing.voters or self.voters):
            self.standing.voters = voters
            try:
                self._keep()
            except OSError as error:
                log.error(Note("who votes is not written down", why=error))
        if self.me in voters and self.voting is None:
            self.voting = self.tasks.start(self._vote())
        elif self.me not in voters and self.voting is not None:
            log.info(Note("this instance votes no more", voters=",".join(voters)))
            self.voting.cancel()
            self.voting, self.mute = None, ""
            self.tasks.start(self._retired())

    async def _retired(self) -> None:
        """Its log is removed: added again, it begins anew."""
        await self._closed()
        try:
            removed(self.folder)
            self.standing.voted = False
            self._keep()
        except OSError as error:
            log.error(Note("the log of one that votes no more is not removed", why=error))

    async def _vote(self) -> None:
        """Votes, unless the others have seen a later process of this folder, or its log can't be believed.
        After a turn that failed it begins anew by what lies on the disk."""
        seen = 0 if self.looked else await self._seen()
        self.looked = True  # the others know this boot from now on
        if seen >= self.identity.boot:
            self.peers.reboot(seen)
        elif self.standing.voted and not (self.folder / JOURNAL).exists():
            self._mute("its log is gone")
        while not self.mute:
            try:
                self._open()
                assert self.log is not None
                await self.log.run()
            except OSError as error:
                log.error(Note("the log's disk has failed: it is opened again", why=error))
                self.mute = f"its disk has failed, and is tried again: {error}"
            except Exception as error:  # a torn journal or dump: whatever the library makes of it
                log.exception("the log has failed")
                self._mute(f"its log can't be read: {error}")
                return
            await self._closed()
            await asyncio.sleep(AGAIN_S)
            if self.mute.startswith("its disk"):
                self.mute = ""

    def _open(self) -> None:
        """Raises Torn, OSError, and what the library makes of a file that is torn."""
        self.standing.voted = True
        self._keep()
        others = [name for name in self.voting_now() if name != self.me]
        self.book = Book(self.part.first, self.voters)
        self.log = Log(self.folder, self.peers, self.me, others, self.book, self._applied)
        self.granting = Granting(
            self.me, self.book, self.terms, self.first, self.standing.cleared, self.clock.now()
        )

    async def _closed(self) -> None:
        closing, self.log, self.granting = self.log, None, None
        if closing is not None:
            await closing.close()

    def _rebooted(self, identity: Identity) -> None:
        """The folder is older than what others have seen of it: what it knows may be old too."""
        self.identity = identity
        self.holding.began(identity.boot)
        self._mute(f"its folder is older than one seen with boot {identity.boot - 1}")

    def _refused(self, why: str) -> None:
        """Another process is this instance: nothing is sent from now on."""
        self.holding.left()
        self._mute(why)

    def _mute(self, why: str) -> None:
        """It votes no more, until it is removed from the voters and added anew."""
        if self.voting is None:
            return
        self.mute = why
        log.error(Note("this voter does not vote: remove it from the voters and add it anew", why=why))
        if self.log is not None:
            self.voting.cancel()
            self.tasks.start(self._closed())

    async def _seen(self) -> int:
        """The highest boot that the others have seen of this folder; asks until a majority has answered."""
        told: dict[str, int] = {}
        voters = self.voting_now()
        others = [name for name in voters if name != self.me]
        ends = self.clock.now() + START_S
        while 2 * (len(told) + 1) <= len(voters) and self.clock.now() < ends:
            for name in others:
                if name not in told:
                    raw = msgspec.msgpack.encode((self.identity.id, self.identity.boot))
                    try:
                        told[name] = msgspec.msgpack.decode(
                            await self.peers.ask(name, BOOT, raw, ASK_S), type=int
                        )
                    except (OSError, TimeoutError, msgspec.MsgspecError):
                        continue
            await asyncio.sleep(0.05)
        return max(told.values(), default=0)

    def _boot(self, hello: Hello, raw: bytes) -> bytes:
        """The highest boot that was seen of an identity before the process that asks."""
        told: tuple[str, int] = msgspec.msgpack.decode(raw, type=tuple[str, int])
        ident, boot = told
        kept = self.standing.boots.get(ident)
        before = self.boots.told(ident, boot, hello.nonce)
        if self.standing.boots.get(ident) != kept:
            try:
                self._keep()
            except OSError as error:
                log.error(Note("the boot of a peer is not written", why=error))
                self.boots.back(ident, kept)
        return msgspec.msgpack.encode(before)

    def _applied(self) -> None:
        """The log has moved on."""
        for version in self.book.versions:
            self.holding.know(version)
        if self.book.voters_at_ms != self.voters_seen[0]:
            self.voters_seen = self.book.voters_at_ms, self.clock.now()
        self._clear()
        self._hint()
        self.wake.set()

    def _clear(self) -> None:
        granting = self.granting
        if granting is None or not granting.clear(self.clock.now()):
            return
        before, self.standing.cleared = self.standing.cleared, granting.cleared
        try:
            self._keep()
        except OSError as error:
            # Guards against a voter that has cleared what its next process does not know of.
            granting.cleared = self.standing.cleared = before
            log.error(Note("a version is not cleared: it can't be written down", why=error))
            return
        self._hint()
        self.wake.set()

    def _hint(self) -> None:
        """Something has changed: relays ask now and not at their next renewal."""
        if self.granting is not None:
            for name in self.granting.records:
                self.peers.say(name, HINT, b"")

    def _renewed(self, sender: str, raw: bytes) -> None:
        if self.granting is None:
            return
        told: Renew = msgspec.msgpack.decode(raw, type=Renew)
        grant = self._grant(sender, told)
        self.peers.say(sender, GRANT, msgspec.msgpack.encode(grant))

    def _grant(self, sender: str, told: Renew) -> Grant:
        assert self.granting is not None
        self._clear()  # written down before any answer can say so
        grant = self.granting.renewed(self.clock.now(), sender, told)
        self._clear()
        return grant

    def _version(self, hello: Hello, raw: bytes) -> bytes:
        number: int = msgspec.msgpack.decode(raw, type=int)
        version = self.book.get(number)
        return b"" if version is None else msgspec.msgpack.encode(version)

    # -- the relay's part ------------------------------------------------------------------------------------

    def acting(self) -> Acting:
        return self.holding.acting(self.clock.now())

    def _asked(self) -> list[str]:
        return sorted({*self.voters, *self.standing.voters, *self.voting_now()})

    async def _renewals(self) -> None:
        while True:
            try:
                self._renew()
            except Exception:
                log.exception("a renewal failed")  # and the next one comes
            self.wake.clear()
            pause = self.terms.renew * self.peers.rng.uniform(0.8, 1.0)
            if await woken(self.wake, pause):
                await asyncio.sleep(0)

    def _renew(self) -> None:
        if self.gone:
            return
        told = self.holding.renew(self.clock.now(), self.counts())
        raw = msgspec.msgpack.encode(told)
        for name in self._asked():
            if name != self.me:
                self.peers.say(name, RENEW, raw)
            elif self.granting is not None:
                self._take(name, self._grant(name, told))

    def _granted(self, sender: str, raw: bytes) -> None:
        self._take(sender, msgspec.msgpack.decode(raw, type=Grant))

    def _take(self, voter: str, grant: Grant) -> None:
        if self.holding.heard(self.clock.now(), voter, grant):
            self.wake.set()
        if missing := self.holding.wants(grant):
            sought = self.fetching.told(missing, voter)
            if sought is not None:
                self.tasks.start(self._fetch(missing, sought))

    async def _fetch(self, number: int, sought: Sought) -> None:
        """Until it is here, also by another way: the log of one that votes, or a later version."""
        try:
            relays = len(self.peers.swim.members)
            await asyncio.sleep(first_pause(self.peers.rng, relays, len(self.voting_now())))
            while number not in self.holding.versions and (voter := sought.next()) is not None:
                if await self._had(number, voter):
                    return
                await asyncio.sleep(sought.pause())
        finally:
            self.fetching.over(number)

    async def _had(self, number: int, voter: str) -> bool:
        """Whether this voter's answer brought it."""
        try:
            raw = await self.peers.ask(voter, VERSION, msgspec.msgpack.encode(number), ASK_S)
            if not raw:
                return False
            version: Version = msgspec.msgpack.decode(raw, type=Version)
            if version.number != number or digest(decoded(version.rules)) != version.digest:
                raise RulesError(f"version {number}: {voter} told one that is not it")
        except (OSError, TimeoutError, msgspec.MsgspecError, RulesError) as error:
            log.warning(Note("a version can't be had", number=number, voter=voter, why=repr(error)))
            return False
        self.holding.know(version)
        self.wake.set()
        return True

    def _hinted(self, sender: str, raw: bytes) -> None:
        self.wake.set()

    async def _looks(self) -> None:
        """Has the decisions look anew when what is acted on has changed."""
        while True:
            self._station()
            acting = self.acting()
            if self.shown is None or acting.label != self.shown.label:
                log.info(
                    Note(
                        "acts by other rules",
                        version=acting.label,
                        before="-" if self.shown is None else self.shown.label,
                    )
                )
                self.shown = acting
                self.retell()
            await asyncio.sleep(LOOK_S)

    # -- what the host asks (core/seams.py: Permits) ---------------------------------------------------------

    def may(self, call: Call) -> str | None:
        return self.gate.may(self.clock.now(), call)

    def still(self, call: Call) -> bool:
        return self.gate.still(call)

    def over(self, destination: int) -> None:
        self.gate.ended(destination)

    def seen(self, call: Call, outcome: api.Outcome, latency_ms: float, wait_ms: float) -> None:
        if self.watching is not None:
            self.watching.ended(call, outcome, latency_ms, wait_ms)

    def bars(self, destination: int, class_: str) -> str:
        if self.watching is not None:
            self.watching.asked(destination, class_)
        return self.gate.bars(destination, class_)

    def entry(self, name: str, zone: str, entry: api.Endpoint) -> api.Endpoint:
        return self.gate.entry(name, zone, entry)

    # -- the guard -------------------------------------------------------------------------------------------

    async def _guarding(self) -> None:
        while True:
            await asyncio.sleep(GUARD_S)
            try:
                self._clear()
                if self.log is not None and self.granting is not None:
                    await self._guard()
            except Exception:
                log.exception("a look at the guard failed")

    async def _guard(self) -> None:
        """Only the leader speaks, and what it says names the version: a late word changes nothing."""
        assert self.granting is not None and self.log is not None
        now, newest, records = self.clock.now(), self.book.newest, self.granting.records
        if self.watch is None or self.watch.version.number != newest.number:
            if newest.stage is Stage.CURRENT and newest.share >= 1 and self.granting.cleared < newest.number:
                return  # not in force yet
            least = newest.guard.least_count if newest.guard is not None else 1
            self.watch = Watch(newest, now, self.recent.share(least))
            self.recent = Recent(self.recent.span)
        self.recent.take(now, records.values())
        if not self.log.leads or newest.guard is None or newest.stage is Stage.WITHDRAWN:
            return
        verdict, why = self.watch.judged(now, records.items())
        trial = newest.stage is Stage.TRIAL
        if verdict is Verdict.HARM and trial:
            await self._agree(Withdraw(newest.number, "guard", why))
        elif verdict is Verdict.HARM:
            await self._agree(self._back(newest, "guard", why))
        elif verdict is Verdict.WELL and trial and newest.guard.promote:
            await self._agree(Promote(newest.number, "guard"))

    def _back(self, version: Version, author: str, cause: str, to: int = 0) -> Propose:
        """To the version before this one, as a new one."""
        older = [
            each
            for each in self.book.versions
            if each.number < version.number
            and each.stage is not Stage.WITHDRAWN
            and each.digest != version.digest
        ]
        found = self.book.get(to) if to else (older[-1] if older else None)
        if found is None:
            raise RulesError(f"there is no version {to or 'before this one'} to go back to")
        return Propose(
            self.book.newest.number, found.rules, author, cause, time.time() * 1000, of=found.number
        )

    # -- operators -------------------------------------------------------------------------------------------

    async def _agree(self, told: Command) -> Answer:
        """Hands a command to the log, by way of a voter where this is none."""
        raw = msgspec.json.encode(told)
        if self.log is not None:
            why = self._against(told)
            return Answer(refused=why) if why else await self.log.propose(told, raw, PROPOSE_S)
        answer = Answer(refused="no voter can be reached")
        for name in self._asked():
            try:
                said = await self.peers.ask(name, COMMAND, raw, PROPOSE_S + ASK_S)
                answer = ANSWER.decode(said)
            except (OSError, TimeoutError, msgspec.MsgspecError):
                continue
            if answer.refused != NO_VOTE:  # one that has only just started, or is mute, speaks for no other
                break
        return answer

    async def _command(self, hello: Hello, raw: bytes) -> bytes:
        try:
            if self.log is None:
                raise RulesError(NO_VOTE)
            told = command(raw)
            why = self._against(told)
            answer = Answer(refused=why) if why else await self.log.propose(told, raw, PROPOSE_S)
        except RulesError as error:
            answer = Answer(refused=str(error))
        return msgspec.json.encode(answer)

    def _against(self, told: Command) -> str:
        """Checked before it is agreed on: afterwards every relay has to act on it."""
        try:
            if isinstance(told, Propose):
                rules = decoded(told.rules)
                check(rules, self.classes, self.zones)
                if not within(self.part.floor, rules):
                    raise RulesError(
                        "rules: they forbid what accord.floor allows an instance that is cut off"
                    )
                for claim in self.peers.swim.there():
                    lacking = caps.lacking(rules, claim.caps)
                    if lacking:
                        raise RulesError(
                            f"rules: {claim.name} runs a build that does not know "
                            f"{', '.join(lacking)}: upgrade it first"
                        )
            if isinstance(told, Voters):
                since = self.clock.now() - self.voters_seen[1]
                if since < self.terms.granted(self.terms.horizon):
                    raise RulesError(
                        f"voters: they changed {since:.0f} s ago: wait until "
                        f"{self.terms.granted(self.terms.horizon):.0f} s have passed"
                    )
            return ""
        except RulesError as error:
            return str(error)

    async def asked(self, question: Question) -> dict[str, Any]:
        """An operator's question, and its answer. RulesError where it makes no sense."""
        now = time.time() * 1000
        if question.ask in COMMANDS:
            answer = await self._agree(await self._meant(question, now))
            return {"number": answer.number, "refused": answer.refused}
        if question.ask in ("zones", "plan"):
            if self.watching is None:
                raise RulesError("failover.zones: there are no plans here")
            return self.watching.status() if question.ask == "zones" else self.watching.plan(question)
        if question.ask == "status":
            return self.status()
        if question.ask == "history":
            return {"versions": [_shown(each) for each in self._known()]}
        if question.ask == "explain":
            return {
                "calls": [
                    msgspec.to_builtins(each) for each in self.gate.told if each.message == question.message
                ]
            }
        if question.ask == "version":
            found = next((each for each in self._known() if each.number == question.number), None)
            if found is None:
                raise RulesError(f"number: version {question.number} is not known here")
            return {**_shown(found), "rules": msgspec.json.decode(found.rules)}
        raise RulesError(f"ask: {question.ask!r} is no question")

    def _known(self) -> list[Version]:
        """By the log where it votes, which may be a moment behind what another voter has told."""
        found = dict(self.holding.versions)
        if self.log is not None:
            found |= {each.number: each for each in self.book.versions}
        return [found[number] for number in sorted(found)]

    async def _meant(self, question: Question, now: float) -> Command:
        match question.ask:
            case "propose":
                rules = self._planned(decoded(bytes(question.rules)))
                return Propose(
                    await self._base(question),
                    encoded(rules),
                    question.author,
                    question.cause,
                    now,
                    question.share,
                    question.guard,
                )
            case "promote":
                return Promote(question.number, question.author)
            case "withdraw":
                return Withdraw(question.number, question.author, question.cause)
            case "revert":
                found = next((each for each in self._known() if each.number == question.number), None)
                if found is None:
                    raise RulesError(f"number: version {question.number} is not known here")
                return Propose(
                    await self._base(question),
                    found.rules,
                    question.author,
                    question.cause or f"back to {found.number}",
                    now,
                    of=found.number,
                )
            case "evacuate" | "return":
                return Propose(
                    await self._base(question),
                    encoded(self._left(question.name, question.ask == "evacuate")),
                    question.author,
                    question.cause or f"{question.ask} {question.name}",
                    now,
                )
            case "voters":
                add = "" if question.add is None else f"n{question.add}"
                remove = "" if question.remove is None else f"n{question.remove}"
                if self.log is None:
                    raise RulesError("voters: ask an instance that votes")
                if add and self.peers.where(add) is None:
                    raise RulesError(f"voters: {add} is no member just now")
                told = Voters(await self._base(question), add, remove, question.author, now)
                why = self._against(told) or await self.log.voters(add, remove, PROPOSE_S)
                if why:
                    raise RulesError(why)
                return told
            case _:
                claim = self.peers.swim.members.get(question.name)
                if claim is None:
                    raise RulesError(f"name: {question.name!r} is no member")
                return Forget(question.name, claim.boot, question.author, now)

    def newest(self) -> Rules:
        """Of the newest version that is known here."""
        latest = self._known()[-1:]
        return latest[0].set if latest else self.part.first

    def _planned(self, rules: Rules) -> Rules:
        """An operator's rules, with the plans that there are: those are not the operator's to write."""
        newest = self.newest()
        if self.watching is None or rules.flows:
            return rules
        policies = rules.policies
        if not policies.evacuated:
            policies = msgspec.structs.replace(policies, evacuated=newest.policies.evacuated)
        return msgspec.structs.replace(rules, flows=newest.flows, zones=newest.zones, policies=policies)

    def _left(self, zone: str, out: bool) -> Rules:
        """The newest rules, but for a zone that is to be left or used again."""
        newest = self.newest()
        now = newest.policies.evacuated
        if self.watching is None:
            raise RulesError("failover.zones: there are no plans here")
        if zone not in self.zones:
            raise RulesError(f"zone: {zone!r} is none of {', '.join(self.zones)}")
        if out == (zone in now):
            raise RulesError(f"zone: {zone} is {'' if out else 'not '}evacuated already")
        then = now | {zone} if out else now - {zone}
        if not set(self.zones) - then:
            raise RulesError(f"zone: {zone} is the last one that is left")
        policies = msgspec.structs.replace(newest.policies, evacuated=then)
        return msgspec.structs.replace(newest, policies=policies)

    async def planned(self, rules: Rules, base: int, why: str) -> str:
        """Proposes the next plan; empty, or why it was not taken."""
        raw = encoded(rules)
        told = Propose(base, raw, f"{self.me}:plan", why, time.time() * 1000)
        return (await self._agree(told)).refused

    async def _base(self, question: Question) -> int:
        if question.base is not None:
            return question.base
        return max((each.number for each in self._known()), default=FIRST)

    def status(self) -> dict[str, Any]:
        acting, holding = self.acting(), self.holding
        now = self.clock.now()
        return {
            "name": self.me,
            "acts by": acting.label,
            "tier": acting.tier.value,
            "newest": max(holding.versions, default=0),
            "lease left s": round(holding.until(now) - now, 3) if acting.tier.value != "floor" else None,
            "why not": holding.why,
            "votes": self.log is not None,
            "mute": self.mute,
            "leader": self.log.leader if self.log is not None else "",
            "cleared": self.granting.cleared if self.granting is not None else 0,
            "waits for": self.granting.blocked if self.granting is not None else [],
            "bound s": self.terms.bound,
            "refused calls": dict(self.gate.counts),
            "members": {
                claim.name: claim.state.name.lower()
                for claim in (self.peers.swim.me, *self.peers.swim.members.values())
            },
            "traffic": dict(self.peers.counts),
        }

    async def _folder(self) -> None:
        """The other front: a file that is proposed when it changes. The same checks, the same path."""
        path = Path(self.part.folder) / RULES_FILE
        while True:
            await asyncio.sleep(FILE_S)
            try:
                raw = path.read_bytes()
                rules = decoded(raw)
                told = digest(rules)
                if told == self.file_seen:
                    continue
                self.file_seen = told
                latest = self.holding.latest
                if latest is not None and latest.digest == told:
                    continue
                answer = await self._agree(
                    Propose(
                        latest.number if latest is not None else FIRST,
                        encoded(rules),
                        f"{self.me}:{path.name}",
                        "the file has changed",
                        time.time() * 1000,
                    )
                )
                if answer.refused:
                    log.error(Note("the rules of the folder are not taken", file=path, why=answer.refused))
            except FileNotFoundError:
                continue
            except (OSError, RulesError) as error:
                log.error(Note("the rules of the folder can't be used", file=path, why=error))

    def member_changed(self, claim: Claim) -> None:
        self.wake.set()


def _shown(version: Version) -> dict[str, Any]:
    return {
        "number": version.number,
        "digest": version.digest,
        "author": version.author,
        "cause": version.cause,
        "at_ms": version.at_ms,
        "stage": version.stage.value,
        "share": version.share,
        "of": version.of,
        "voters": list(version.voters),
    }

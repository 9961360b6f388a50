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

from ..core.ports import CallContext
from ..core.tasks import BackgroundTasks, wait_for_event
from ..decisions.model import Endpoint, Outcome, Settings
from ..gossip.identity import Identity, write_atomically
from ..gossip.node import GossipNode, Hello
from ..gossip.wire import Claim
from ..structured_logging import LogEvent
from . import capabilities
from .admin_socket import AdminRequest
from .canary_guard import CanaryWatch, RecentOutcomes, Verdict
from .clock import Clock
from .lease_grantor import LeaseGrantor
from .lease_holder import ActiveRules, LeaseHolder
from .lease_protocol import DeliveryCounts, LeaseGrant, LeaseRenewal
from .process_epochs import ProcessEpochs
from .raft_storage import JOURNAL, remove_log
from .replicated_log import ReplicatedLog
from .rule_enforcement import RuleEnforcer
from .rules import Rules, RulesError
from .rules_codec import decode_rules, digest, encode_rules
from .rules_meet import is_subset
from .rules_validation import validate_rules
from .settings import ConsensusSettings
from .version_fetch import VersionFetcher, VersionSearch, first_pause
from .version_history import (
    FIRST_NUMBER,
    ChangeVoters,
    Command,
    CommandResult,
    Forget,
    Promote,
    Propose,
    Stage,
    Version,
    VersionHistory,
    Withdraw,
    decode_command,
)

log = logging.getLogger(__name__)

RENEW, GRANT, HINT = "renew", "grant", "hint"  # datagrams
VERSION, COMMAND, BOOT = "version", "command", "boot"  # questions on a connection
ASK_S, PROPOSE_S = 1.0, 5.0
NO_VOTE = "this voter does not vote"
ANSWER: msgspec.json.Decoder[CommandResult] = msgspec.json.Decoder(CommandResult)
LOOK_S = 0.05  # how often a change of what is acted on is looked for
GUARD_S, FILE_S = 0.5, 1.0
AGAIN_S = 2.0  # a log whose disk has failed is opened again so long after
START_S = 10.0  # a voter asks the others so long whether its folder is the latest they know of
RULES_FILE = "rules.json"
COMMANDS = ("propose", "promote", "withdraw", "revert", "voters", "forget", "evacuate", "return")
STANDING = "standing.json"  # what has to outlast a voter's process


class VoterState(msgspec.Struct, forbid_unknown_fields=True):
    cleared: int = 0
    highest_epochs: dict[str, int] = msgspec.field(default_factory=dict, name="boots")  # by identity
    log_started: bool = msgspec.field(default=False, name="voted")  # the log was begun in this folder
    voters: tuple[str, ...] = ()  # as the newest version says that was heard of; () at first


class CallObserver(Protocol):
    """What takes part in the rules beside the operators: plans of failover."""

    def on_request(self, destination: int, class_: str) -> None:
        """A message was handed in."""

    def on_call_completed(
        self, call: CallContext, outcome: Outcome, latency_ms: float, wait_ms: float
    ) -> None:
        """A call has ended, or did not come about."""

    def status(self) -> dict[str, Any]:
        """For people."""

    def plan(self, question: AdminRequest) -> dict[str, Any]:
        """What would be planned. Raises RulesError."""


class ConsensusInstance:
    """Begins with `start`; the host asks `gate`, and is told by `retell` when the decisions should look
    anew."""

    def __init__(
        self,
        part: ConsensusSettings,
        peers: GossipNode,
        folder: Path,
        identity: Identity,
        settings: Settings,
        zones: tuple[str, ...],
        instances: int,
        retell: Callable[[], None],
        counts: Callable[[], DeliveryCounts],
    ) -> None:
        """Raises OSError where the folder can't be read."""
        self.part, self.peers, self.folder, self.identity = part, peers, folder, identity
        self.classes, self.zones = [cls.name for cls in settings.classes], zones
        self.on_rules_changed, self.counts = retell, counts
        self.terms, self.clock = part.lease_terms(), Clock.from_environment()
        self.name = identity.name
        self.voters = tuple(f"n{number}" for number in sorted(part.voters))
        self.history = VersionHistory(part.first, self.voters)
        self.first = digest(part.first) + "/" + ",".join(self.voters)
        self.voting: asyncio.Task[None] | None = None
        self.gone = False  # it has said so: a further renewal would be granted, and waited for
        self.looked = False  # whether the others have seen a later process of this folder
        self.lease_holder = LeaseHolder(
            identity.process_epoch, peers.swim.own_claim.nonce, self.first, self.terms, part.floor
        )
        self.lease_holder.add_version(self.history.newest)
        zone = zones[settings.zone] if settings.zone < len(zones) else ""
        self.rule_enforcer = RuleEnforcer(
            self.active_rules, instances, lambda: time.time() * 1000, self.name, zone
        )
        self.voter_state = self._stood()
        self.boots = ProcessEpochs(self.voter_state.highest_epochs)
        self.lease_grantor: LeaseGrantor | None = None
        # When the voters last changed: their proposer's stamp, and when this process saw it by its own clock.
        # Only the second is reckoned with: a wall clock may step, and a relay's majority hangs on the wait.
        self.voters_seen = (0.0, -math.inf)
        self.replicated_log: ReplicatedLog | None = None
        self.mute = ""  # why this voter does not vote
        self.fetching = VersionFetcher(peers.rng)
        self.watch: CanaryWatch | None = None
        self.call_observer: CallObserver | None = None
        self.recent = RecentOutcomes()
        self.tasks = BackgroundTasks()
        self.wake = asyncio.Event()
        self.reported_rules: ActiveRules | None = None
        self.file_seen = ""
        peers.on_epoch_raised.append(self._rebooted)
        peers.on_identity_conflict.append(self._refused)
        peers.datagram_handlers |= {RENEW: self._renewed, GRANT: self._granted, HINT: self._hinted}
        peers.frame_handlers |= {VERSION: self._version, COMMAND: self._command, BOOT: self._boot}

    # -- life ------------------------------------------------------------------------------------------------

    def start(self) -> None:
        self.tasks.start(self._renewals())
        self.tasks.start(self._looks())
        self.tasks.start(self._guarding())
        if self.part.folder:
            self.tasks.start(self._folder())

    def leave(self) -> None:
        """Lets go of what it acts by: nobody has to wait for it. Nothing is allowed from now on."""
        told = self.lease_holder.renew(self.clock.now(), self.counts(), is_leaving=True)
        for name in self._asked():
            self.peers.send_datagram(name, RENEW, msgspec.msgpack.encode(told))
        self.lease_holder.release()
        self.gone = True

    async def close(self) -> None:
        await self.tasks.cancel()
        if self.replicated_log is not None:
            await self.replicated_log.close()

    def _stood(self) -> VoterState:
        try:
            return msgspec.json.decode((self.folder / STANDING).read_bytes(), type=VoterState)
        except FileNotFoundError:
            return VoterState()
        except msgspec.MsgspecError as error:
            log.error(LogEvent("what this voter had cleared can't be read: it begins anew", why=error))
            return VoterState()

    def save_voter_state(self) -> None:
        write_atomically(self.folder / STANDING, self.voter_state)

    # -- the voter's part ------------------------------------------------------------------------------------

    def current_voters(self) -> tuple[str, ...]:
        """Who votes, as far as is known here: an instance may have been added or removed since its file was
        written, also by versions that this process has not heard of yet."""
        latest = self.lease_holder.latest_version
        if latest is not None and latest.number > FIRST_NUMBER:
            return latest.voters
        return self.voter_state.voters or self.voters

    def _station(self) -> None:
        """Begins to vote, or ends it, as the newest version says."""
        voters = self.current_voters()
        if voters != (self.voter_state.voters or self.voters):
            self.voter_state.voters = voters
            try:
                self.save_voter_state()
            except OSError as error:
                log.error(LogEvent("who votes is not written down", why=error))
        if self.name in voters and self.voting is None:
            self.voting = self.tasks.start(self._vote())
        elif self.name not in voters and self.voting is not None:
            log.info(LogEvent("this instance votes no more", voters=",".join(voters)))
            self.voting.cancel()
            self.voting, self.mute = None, ""
            self.tasks.start(self._retired())

    async def _retired(self) -> None:
        """Its log is removed: added again, it begins anew."""
        await self._closed()
        try:
            remove_log(self.folder)
            self.voter_state.log_started = False
            self.save_voter_state()
        except OSError as error:
            log.error(LogEvent("the log of one that votes no more is not removed", why=error))

    async def _vote(self) -> None:
        """Votes, unless the others have seen a later process of this folder, or its log can't be believed.
        After a turn that failed it begins anew by what lies on the disk."""
        seen = 0 if self.looked else await self._seen()
        self.looked = True  # the others know this boot from now on
        if seen >= self.identity.process_epoch:
            self.peers.raise_process_epoch(seen)
        elif self.voter_state.log_started and not (self.folder / JOURNAL).exists():
            self._mute("its log is gone")
        while not self.mute:
            try:
                self._open()
                assert self.replicated_log is not None
                await self.replicated_log.run()
            except OSError as error:
                log.error(LogEvent("the log's disk has failed: it is opened again", why=error))
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
        self.voter_state.log_started = True
        self.save_voter_state()
        others = [name for name in self.current_voters() if name != self.name]
        self.history = VersionHistory(self.part.first, self.voters)
        self.replicated_log = ReplicatedLog(
            self.folder, self.peers, self.name, others, self.history, self._applied
        )
        self.lease_grantor = LeaseGrantor(
            self.name, self.history, self.terms, self.first, self.voter_state.cleared, self.clock.now()
        )

    async def _closed(self) -> None:
        closing, self.replicated_log, self.lease_grantor = self.replicated_log, None, None
        if closing is not None:
            await closing.close()

    def _rebooted(self, identity: Identity) -> None:
        """The folder is older than what others have seen of it: what it knows may be old too."""
        self.identity = identity
        self.lease_holder.restart(identity.process_epoch)
        self._mute(f"its folder is older than one seen with boot {identity.process_epoch - 1}")

    def _refused(self, why: str) -> None:
        """Another process is this instance: nothing is sent from now on."""
        self.lease_holder.release()
        self._mute(why)

    def _mute(self, why: str) -> None:
        """It votes no more, until it is removed from the voters and added anew."""
        if self.voting is None:
            return
        self.mute = why
        log.error(LogEvent("this voter does not vote: remove it from the voters and add it anew", why=why))
        if self.replicated_log is not None:
            self.voting.cancel()
            self.tasks.start(self._closed())

    async def _seen(self) -> int:
        """The highest boot that the others have seen of this folder; asks until a majority has answered."""
        told: dict[str, int] = {}
        voters = self.current_voters()
        others = [name for name in voters if name != self.name]
        ends = self.clock.now() + START_S
        while 2 * (len(told) + 1) <= len(voters) and self.clock.now() < ends:
            for name in others:
                if name not in told:
                    raw = msgspec.msgpack.encode((self.identity.id, self.identity.process_epoch))
                    try:
                        told[name] = msgspec.msgpack.decode(
                            await self.peers.request(name, BOOT, raw, ASK_S), type=int
                        )
                    except (OSError, TimeoutError, msgspec.MsgspecError):
                        continue
            await asyncio.sleep(0.05)
        return max(told.values(), default=0)

    def _boot(self, hello: Hello, raw: bytes) -> bytes:
        """The highest boot that was seen of an identity before the process that asks."""
        told: tuple[str, int] = msgspec.msgpack.decode(raw, type=tuple[str, int])
        ident, boot = told
        kept = self.voter_state.highest_epochs.get(ident)
        before = self.boots.observe(ident, boot, hello.nonce)
        if self.voter_state.highest_epochs.get(ident) != kept:
            try:
                self.save_voter_state()
            except OSError as error:
                log.error(LogEvent("the boot of a peer is not written", why=error))
                self.boots.undo_observe(ident, kept)
        return msgspec.msgpack.encode(before)

    def _applied(self) -> None:
        """The log has moved on."""
        for version in self.history.versions:
            self.lease_holder.add_version(version)
        if self.history.voters_changed_at_ms != self.voters_seen[0]:
            self.voters_seen = self.history.voters_changed_at_ms, self.clock.now()
        self._clear()
        self._hint()
        self.wake.set()

    def _clear(self) -> None:
        granting = self.lease_grantor
        if granting is None or not granting.clear_current_version(self.clock.now()):
            return
        before, self.voter_state.cleared = self.voter_state.cleared, granting.cleared_version
        try:
            self.save_voter_state()
        except OSError as error:
            # Guards against a voter that has cleared what its next process does not know of.
            granting.cleared_version = self.voter_state.cleared = before
            log.error(LogEvent("a version is not cleared: it can't be written down", why=error))
            return
        self._hint()
        self.wake.set()

    def _hint(self) -> None:
        """Something has changed: relays ask now and not at their next renewal."""
        if self.lease_grantor is not None:
            for name in self.lease_grantor.leases:
                self.peers.send_datagram(name, HINT, b"")

    def _renewed(self, sender: str, raw: bytes) -> None:
        if self.lease_grantor is None:
            return
        told: LeaseRenewal = msgspec.msgpack.decode(raw, type=LeaseRenewal)
        grant = self._grant(sender, told)
        self.peers.send_datagram(sender, GRANT, msgspec.msgpack.encode(grant))

    def _grant(self, sender: str, told: LeaseRenewal) -> LeaseGrant:
        assert self.lease_grantor is not None
        self._clear()  # written down before any answer can say so
        grant = self.lease_grantor.on_renewal(self.clock.now(), sender, told)
        self._clear()
        return grant

    def _version(self, hello: Hello, raw: bytes) -> bytes:
        number: int = msgspec.msgpack.decode(raw, type=int)
        version = self.history.get(number)
        return b"" if version is None else msgspec.msgpack.encode(version)

    # -- the relay's part ------------------------------------------------------------------------------------

    def active_rules(self) -> ActiveRules:
        return self.lease_holder.active_rules(self.clock.now())

    def _asked(self) -> list[str]:
        return sorted({*self.voters, *self.voter_state.voters, *self.current_voters()})

    async def _renewals(self) -> None:
        while True:
            try:
                self._renew()
            except Exception:
                log.exception("a renewal failed")  # and the next one comes
            self.wake.clear()
            pause = self.terms.renew_interval_s * self.peers.rng.uniform(0.8, 1.0)
            if await wait_for_event(self.wake, pause):
                await asyncio.sleep(0)

    def _renew(self) -> None:
        if self.gone:
            return
        told = self.lease_holder.renew(self.clock.now(), self.counts())
        raw = msgspec.msgpack.encode(told)
        for name in self._asked():
            if name != self.name:
                self.peers.send_datagram(name, RENEW, raw)
            elif self.lease_grantor is not None:
                self._take(name, self._grant(name, told))

    def _granted(self, sender: str, raw: bytes) -> None:
        self._take(sender, msgspec.msgpack.decode(raw, type=LeaseGrant))

    def _take(self, voter: str, grant: LeaseGrant) -> None:
        if self.lease_holder.on_grant(self.clock.now(), voter, grant):
            self.wake.set()
        if missing := self.lease_holder.missing_version(grant):
            sought = self.fetching.on_version_reported(missing, voter)
            if sought is not None:
                self.tasks.start(self._fetch(missing, sought))

    async def _fetch(self, number: int, sought: VersionSearch) -> None:
        """Until it is here, also by another way: the log of one that votes, or a later version."""
        try:
            relays = len(self.peers.swim.members)
            await asyncio.sleep(first_pause(self.peers.rng, relays, len(self.current_voters())))
            while number not in self.lease_holder.versions and (voter := sought.next_voter()) is not None:
                if await self._had(number, voter):
                    return
                await asyncio.sleep(sought.next_pause())
        finally:
            self.fetching.finish(number)

    async def _had(self, number: int, voter: str) -> bool:
        """Whether this voter's answer brought it."""
        try:
            raw = await self.peers.request(voter, VERSION, msgspec.msgpack.encode(number), ASK_S)
            if not raw:
                return False
            version: Version = msgspec.msgpack.decode(raw, type=Version)
            if version.number != number or digest(decode_rules(version.rules)) != version.digest:
                raise RulesError(f"version {number}: {voter} told one that is not it")
        except (OSError, TimeoutError, msgspec.MsgspecError, RulesError) as error:
            log.warning(LogEvent("a version can't be had", number=number, voter=voter, why=repr(error)))
            return False
        self.lease_holder.add_version(version)
        self.wake.set()
        return True

    def _hinted(self, sender: str, raw: bytes) -> None:
        self.wake.set()

    async def _looks(self) -> None:
        """Has the decisions look anew when what is acted on has changed."""
        while True:
            self._station()
            acting = self.active_rules()
            if self.reported_rules is None or acting.label != self.reported_rules.label:
                log.info(
                    LogEvent(
                        "acts by other rules",
                        version=acting.label,
                        before="-" if self.reported_rules is None else self.reported_rules.label,
                    )
                )
                self.reported_rules = acting
                self.on_rules_changed()
            await asyncio.sleep(LOOK_S)

    # -- what the host asks (core/ports.py: Permits) ---------------------------------------------------------

    def authorize(self, call: CallContext) -> str | None:
        return self.rule_enforcer.authorize(self.clock.now(), call)

    def is_still_authorized(self, call: CallContext) -> bool:
        return self.rule_enforcer.is_still_authorized(call)

    def release(self, destination: int) -> None:
        self.rule_enforcer.release(destination)

    def record_outcome(self, call: CallContext, outcome: Outcome, latency_ms: float, wait_ms: float) -> None:
        if self.call_observer is not None:
            self.call_observer.on_call_completed(call, outcome, latency_ms, wait_ms)

    def denial_reason(self, destination: int, class_: str) -> str:
        if self.call_observer is not None:
            self.call_observer.on_request(destination, class_)
        return self.rule_enforcer.denial_reason(destination, class_)

    def constrained_endpoint(self, name: str, zone: str, entry: Endpoint) -> Endpoint:
        return self.rule_enforcer.constrained_endpoint(name, zone, entry)

    # -- the guard -------------------------------------------------------------------------------------------

    async def _guarding(self) -> None:
        while True:
            await asyncio.sleep(GUARD_S)
            try:
                self._clear()
                if self.replicated_log is not None and self.lease_grantor is not None:
                    await self._guard()
            except Exception:
                log.exception("a look at the guard failed")

    async def _guard(self) -> None:
        """Only the leader speaks, and what it says names the version: a late word changes nothing."""
        assert self.lease_grantor is not None and self.replicated_log is not None
        now, newest, records = self.clock.now(), self.history.newest, self.lease_grantor.leases
        if self.watch is None or self.watch.version.number != newest.number:
            if (
                newest.stage is Stage.CURRENT
                and newest.share >= 1
                and self.lease_grantor.cleared_version < newest.number
            ):
                return  # not in force yet
            least = newest.guard.least_count if newest.guard is not None else 1
            self.watch = CanaryWatch(newest, now, self.recent.delivered_share(least))
            self.recent = RecentOutcomes(self.recent.span_s)
        self.recent.add(now, records.values())
        if not self.replicated_log.is_leader or newest.guard is None or newest.stage is Stage.WITHDRAWN:
            return
        verdict, why = self.watch.evaluate(now, records.items())
        trial = newest.stage is Stage.CANARY
        if verdict is Verdict.HARMFUL and trial:
            await self._agree(Withdraw(newest.number, "guard", why))
        elif verdict is Verdict.HARMFUL:
            await self._agree(self._back(newest, "guard", why))
        elif verdict is Verdict.HEALTHY and trial and newest.guard.promote:
            await self._agree(Promote(newest.number, "guard"))

    def _back(self, version: Version, author: str, cause: str, to: int = 0) -> Propose:
        """To the version before this one, as a new one."""
        older = [
            each
            for each in self.history.versions
            if each.number < version.number
            and each.stage is not Stage.WITHDRAWN
            and each.digest != version.digest
        ]
        found = self.history.get(to) if to else (older[-1] if older else None)
        if found is None:
            raise RulesError(f"there is no version {to or 'before this one'} to go back to")
        return Propose(
            self.history.newest.number,
            found.rules,
            author,
            cause,
            time.time() * 1000,
            restored_from=found.number,
        )

    # -- operators -------------------------------------------------------------------------------------------

    async def _agree(self, told: Command) -> CommandResult:
        """Hands a command to the log, by way of a voter where this is none."""
        raw = msgspec.json.encode(told)
        if self.replicated_log is not None:
            why = self._against(told)
            return (
                CommandResult(refused=why) if why else await self.replicated_log.propose(told, raw, PROPOSE_S)
            )
        answer = CommandResult(refused="no voter can be reached")
        for name in self._asked():
            try:
                said = await self.peers.request(name, COMMAND, raw, PROPOSE_S + ASK_S)
                answer = ANSWER.decode(said)
            except (OSError, TimeoutError, msgspec.MsgspecError):
                continue
            if answer.refused != NO_VOTE:  # one that has only just started, or is mute, speaks for no other
                break
        return answer

    async def _command(self, hello: Hello, raw: bytes) -> bytes:
        try:
            if self.replicated_log is None:
                raise RulesError(NO_VOTE)
            told = decode_command(raw)
            why = self._against(told)
            answer = (
                CommandResult(refused=why) if why else await self.replicated_log.propose(told, raw, PROPOSE_S)
            )
        except RulesError as error:
            answer = CommandResult(refused=str(error))
        return msgspec.json.encode(answer)

    def _against(self, told: Command) -> str:
        """Checked before it is agreed on: afterwards every relay has to act on it."""
        try:
            if isinstance(told, Propose):
                rules = decode_rules(told.rules)
                validate_rules(rules, self.classes, self.zones)
                if not is_subset(self.part.floor, rules):
                    raise RulesError(
                        "rules: they forbid what accord.floor allows an instance that is cut off"
                    )
                for claim in self.peers.swim.present_members():
                    lacking = capabilities.unsupported_fields(rules, claim.capabilities)
                    if lacking:
                        raise RulesError(
                            f"rules: {claim.name} runs a build that does not know "
                            f"{', '.join(lacking)}: upgrade it first"
                        )
            if isinstance(told, ChangeVoters):
                since = self.clock.now() - self.voters_seen[1]
                if since < self.terms.grantor_duration(self.terms.horizon_s):
                    raise RulesError(
                        f"voters: they changed {since:.0f} s ago: wait until "
                        f"{self.terms.grantor_duration(self.terms.horizon_s):.0f} s have passed"
                    )
            return ""
        except RulesError as error:
            return str(error)

    async def handle_admin_request(self, question: AdminRequest) -> dict[str, Any]:
        """An operator's question, and its answer. RulesError where it makes no sense."""
        now = time.time() * 1000
        if question.operation in COMMANDS:
            answer = await self._agree(await self._meant(question, now))
            return {"number": answer.number, "refused": answer.refused}
        if question.operation in ("zones", "plan"):
            if self.call_observer is None:
                raise RulesError("failover.zones: there are no plans here")
            return (
                self.call_observer.status()
                if question.operation == "zones"
                else self.call_observer.plan(question)
            )
        if question.operation == "status":
            return self.status()
        if question.operation == "history":
            return {"versions": [_shown(each) for each in self._known()]}
        if question.operation == "explain":
            return {
                "calls": [
                    msgspec.to_builtins(each)
                    for each in self.rule_enforcer.decisions
                    if each.message == question.message
                ]
            }
        if question.operation == "version":
            found = next((each for each in self._known() if each.number == question.number), None)
            if found is None:
                raise RulesError(f"number: version {question.number} is not known here")
            return {**_shown(found), "rules": msgspec.json.decode(found.rules)}
        raise RulesError(f"ask: {question.operation!r} is no question")

    def _known(self) -> list[Version]:
        """By the log where it votes, which may be a moment behind what another voter has told."""
        found = dict(self.lease_holder.versions)
        if self.replicated_log is not None:
            found |= {each.number: each for each in self.history.versions}
        return [found[number] for number in sorted(found)]

    async def _meant(self, question: AdminRequest, now: float) -> Command:
        match question.operation:
            case "propose":
                rules = self._planned(decode_rules(bytes(question.rules)))
                return Propose(
                    await self._base(question),
                    encode_rules(rules),
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
                    restored_from=found.number,
                )
            case "evacuate" | "return":
                return Propose(
                    await self._base(question),
                    encode_rules(self._left(question.name, question.operation == "evacuate")),
                    question.author,
                    question.cause or f"{question.operation} {question.name}",
                    now,
                )
            case "voters":
                add = "" if question.add is None else f"n{question.add}"
                remove = "" if question.remove is None else f"n{question.remove}"
                if self.replicated_log is None:
                    raise RulesError("voters: ask an instance that votes")
                if add and self.peers.address_of(add) is None:
                    raise RulesError(f"voters: {add} is no member just now")
                told = ChangeVoters(await self._base(question), add, remove, question.author, now)
                why = self._against(told) or await self.replicated_log.change_voters(add, remove, PROPOSE_S)
                if why:
                    raise RulesError(why)
                return told
            case _:
                claim = self.peers.swim.members.get(question.name)
                if claim is None:
                    raise RulesError(f"name: {question.name!r} is no member")
                return Forget(question.name, claim.process_epoch, question.author, now)

    def newest_rules(self) -> Rules:
        """Of the newest version that is known here."""
        latest = self._known()[-1:]
        return latest[0].decoded_rules if latest else self.part.first

    def _planned(self, rules: Rules) -> Rules:
        """An operator's rules, with the plans that there are: those are not the operator's to write."""
        newest = self.newest_rules()
        if self.call_observer is None or rules.flows:
            return rules
        policies = rules.policies
        if not policies.evacuated:
            policies = msgspec.structs.replace(policies, evacuated=newest.policies.evacuated)
        return msgspec.structs.replace(rules, flows=newest.flows, zones=newest.zones, policies=policies)

    def _left(self, zone: str, out: bool) -> Rules:
        """The newest rules, but for a zone that is to be left or used again."""
        newest = self.newest_rules()
        now = newest.policies.evacuated
        if self.call_observer is None:
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

    async def propose_plan(self, rules: Rules, base: int, why: str) -> str:
        """Proposes the next plan; empty, or why it was not taken."""
        raw = encode_rules(rules)
        told = Propose(base, raw, f"{self.name}:plan", why, time.time() * 1000)
        return (await self._agree(told)).refused

    async def _base(self, question: AdminRequest) -> int:
        if question.base is not None:
            return question.base
        return max((each.number for each in self._known()), default=FIRST_NUMBER)

    def status(self) -> dict[str, Any]:
        acting, holding = self.active_rules(), self.lease_holder
        now = self.clock.now()
        return {
            "name": self.name,
            "acts by": acting.label,
            "tier": acting.tier.value,
            "newest": max(holding.versions, default=0),
            "lease left s": round(holding.tier_ends_at(now) - now, 3)
            if acting.tier.value != "floor"
            else None,
            "why not": holding.denial_reason,
            "votes": self.replicated_log is not None,
            "mute": self.mute,
            "leader": self.replicated_log.leader if self.replicated_log is not None else "",
            "cleared": self.lease_grantor.cleared_version if self.lease_grantor is not None else 0,
            "waits for": self.lease_grantor.blocking_relays if self.lease_grantor is not None else [],
            "bound s": self.terms.bound_s,
            "refused calls": dict(self.rule_enforcer.refusal_counts),
            "members": {
                claim.name: claim.state.name.lower()
                for claim in (self.peers.swim.own_claim, *self.peers.swim.members.values())
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
                rules = decode_rules(raw)
                told = digest(rules)
                if told == self.file_seen:
                    continue
                self.file_seen = told
                latest = self.lease_holder.latest_version
                if latest is not None and latest.digest == told:
                    continue
                answer = await self._agree(
                    Propose(
                        latest.number if latest is not None else FIRST_NUMBER,
                        encode_rules(rules),
                        f"{self.name}:{path.name}",
                        "the file has changed",
                        time.time() * 1000,
                    )
                )
                if answer.refused:
                    log.error(
                        LogEvent("the rules of the folder are not taken", file=path, why=answer.refused)
                    )
            except FileNotFoundError:
                continue
            except (OSError, RulesError) as error:
                log.error(LogEvent("the rules of the folder can't be used", file=path, why=error))

    def on_member_changed(self, claim: Claim) -> None:
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
        "of": version.restored_from,
        "voters": list(version.voters),
    }

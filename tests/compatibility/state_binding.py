"""Binding between the tests of the state folder's formats and the product.

Only this module imports the product and uses the names of its classes, functions, fields and parameters. The
functions take plain values and return plain dictionaries and lists whose keys belong to the tests, so that a
rename in the product changes this module and neither the tests nor their fixtures.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable, Sequence
from functools import partial
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest import mock

import msgspec

from message_relay.consensus.instance import ConsensusInstance
from message_relay.consensus.lease_protocol import DeliveryCounts
from message_relay.consensus.raft_storage import (
    TornWriteError,
    verify_log,
    parse_journal,
    verified_payload,
    parse_vote,
)
from message_relay.consensus.replicated_log import ReplicatedLog
from message_relay.consensus.rules import Rules
from message_relay.consensus.rules_codec import decode_rules, digest, encode_rules
from message_relay.consensus.settings import ConsensusSettings
from message_relay.consensus.version_history import (
    CommandResult,
    Command,
    Forget,
    Guard,
    Promote,
    Propose,
    Version,
    VersionHistory,
    ChangeVoters,
    Withdraw,
    decode_command,
)
from message_relay.core.restored_state import RestoredState
from message_relay.decisions.events import EndpointList, RestoredDestination
from message_relay.decisions.model import (
    DestinationKind,
    Effect,
    Endpoint,
    Listing,
    ListKind,
    MessageClass,
    Rates,
    Safety,
    Settings,
)
from message_relay.decisions.scheduler import DeliveryScheduler
from message_relay.fleet.common import FOLDER
from message_relay.gossip import identity as gossip_identity
from message_relay.gossip.identity import Identity, IdentityError
from message_relay.gossip.framing import Hello
from message_relay.store.destination_snapshot import DestinationSnapshotFile
from message_relay.store.file_store import DirectoryFileStore
from message_relay.store.journal import Journal
from message_relay.store.record_format import Header, encode_frame
from message_relay.store.errors import UnsupportedFormatError
from message_relay.store.records import Attempt, JournalEntry
from message_relay.store.inspection import record_lines
from message_relay.store.recovery import recover

Plain = dict[str, Any]
Step = Sequence[Any]

MONOTONIC_CLOCK_OF_RAFT = "pysyncobj.syncobj.monotonicTime"
SECONDS_TO_ELECTION = 2.0
SECONDS_TO_ANSWER = 3.0  # reached only if a test fails
SECONDS_PER_ROUND = 0.2
ROUNDS = 8
ROUNDS_TO_COMPACTION = 160  # 32 s, since the log is compacted every 30 s

# -- the message journal -------------------------------------------------------------------------------------


def _plain_attempt(attempt: Attempt | None) -> Plain | None:
    if attempt is None:
        return None
    return {
        "at_ms": attempt.started_at_ms,
        "endpoint": attempt.endpoint,
        "zone": attempt.zone,
        "uptime_ms": attempt.uptime_ms,
    }


def _plain_message(entry: JournalEntry) -> Plain:
    added_later = {"awaits_handover": True} if entry.awaits_handover else {}
    return added_later | {
        "message": entry.id,
        "class": entry.class_name,
        "tenant": entry.tenant,
        "destination": entry.destination,
        "order_key": entry.key,
        "arrived_ms": entry.accepted_at_ms,
        "due_ms": entry.deadline_ms,
        "repeat": entry.resubmission,
        "body": entry.body.hex(),
        "attempts": entry.attempt_count,
        "attempt_without_outcome": _plain_attempt(entry.attempt_in_flight),
        "first_attempt_that_may_have_run": _plain_attempt(entry.uncertain_attempt),
        "end": entry.final_state,
        "end_after_ms": entry.retry_after_ms,
        "notified": entry.is_notified,
        "front": entry.origin,
        "notice_is_owed": entry.needs_notification,
        "anything_is_owed": entry.is_unfinished,
    }


class _JournalSession:
    """Runs the steps of a script on a journal."""

    def __init__(self, folder: Path, disk_bytes: int, synced: bool) -> None:
        self.folder, self.disk_bytes, self.synced = folder, disk_bytes, synced
        self.journal = self._open()

    def _open(self) -> Journal:
        return Journal(self.folder, self.disk_bytes, sync_ms=0.0 if self.synced else None)

    def run_step(self, step: Step) -> None:
        journal = self.journal
        match step:
            case ["accept", message, class_, tenant, destination, key, arrived, due, repeat, body, front]:
                journal.append_accepted(
                    JournalEntry(
                        message, class_, tenant, destination, key, arrived, due, repeat, body, origin=front
                    )
                )
            case ["attempt", message, at_ms, endpoint, zone, uptime_ms]:
                journal.append_attempt(journal.entries[message], at_ms, endpoint, zone, uptime_ms)
            case ["outcome", message, may_have_run]:
                journal.append_outcome(journal.entries[message], may_have_run)
            case ["end", message, how, after_ms]:
                journal.append_final_outcome(journal.entries[message], how, after_ms)
            case ["notified", *messages]:
                journal.append_notified(messages)
            case ["await handover", message]:
                journal.append_accepted(
                    JournalEntry(
                        message, "unsafe", "t", 7, None, 1000, 9000, "", b"body", awaits_handover=True
                    )
                )
            case ["handed over", message]:
                journal.append_handed_over(journal.entries[message])
            case ["withdraw", message]:
                journal.append_cancelled(journal.entries[message])
            case ["tidy", now_ms]:
                journal.compact(now_ms)
            case ["reopen"]:
                journal.close()
                self.journal = self._open()
            case ["rewrite"]:
                self._rewrite()
            case _:
                raise AssertionError(f"unknown step: {step!r}")

    def _rewrite(self) -> None:
        """Copies the live records to a new segment and discards the earlier segments."""
        durability = self.journal.durability
        assert durability is not None
        durability.on_sync_failed()
        names, upto = durability.start_sync()
        durability.sync_files(names)
        durability.mark_durable(upto)

    def close(self) -> Plain:
        journal = self.journal
        state = {
            "messages": [_plain_message(entry) for entry in journal.entries.values()],
            "damage": list(journal.findings),
            "live_bytes": journal.live_bytes,
            "disk_bytes": journal.disk_bytes,
            "copied_bytes": journal.copied_bytes,
            "written_bytes": journal.written_bytes,
        }
        journal.close()
        return state


def run_journal(folder: Path, disk_bytes: int, synced: bool, steps: Iterable[Step]) -> Plain:
    """Returns the state of the journal after the steps; without steps it is only opened and closed."""
    session = _JournalSession(folder, disk_bytes, synced)
    for step in steps:
        session.run_step(step)
    return session.close()


def read_journal(folder: Path) -> Plain:
    """Returns what a start would recover from the folder, without changing it."""
    recovered = recover(DirectoryFileStore(folder))
    return {
        "messages": [_plain_message(entry) for entry in recovered.entries.values()],
        "next_sequence": recovered.next_sequence,
        "damage": list(recovered.findings),
        "torn_bytes": recovered.torn_bytes,
        "files_never_begun": list(recovered.empty_files),
        "segments": [
            {
                "file": segment.name,
                "number": segment.number,
                "size": segment.size,
                "size_on_disk": segment.file_size,
                "checksum": segment.checksum,
                "salt": segment.salt,
                "latest_snapshots": list(segment.live_ids),
                "damaged": segment.is_damaged,
            }
            for segment in recovered.segments
        ],
    }


def journal_records(folder: Path) -> list[Plain]:
    return [
        {
            "file": line.segment,
            "offset": line.offset,
            "sequence": line.sequence,
            "kind": line.kind,
            "message": line.message_id,
            "payload": line.payload.hex(),
            "readable": line.is_readable,
        }
        for line in record_lines(DirectoryFileStore(folder))
    ]


def journal_refusal(folder: Path, disk_bytes: int) -> str:
    """Returns the error for an unsupported format of the folder; empty if it is supported."""
    try:
        Journal(folder, disk_bytes).close()
    except UnsupportedFormatError as error:
        return str(error)
    return ""


def segment_bytes(
    number: int, first_sequence: int, salt: int, records: Iterable[tuple[int, str, bytes]]
) -> bytes:
    """Encodes a segment without a predecessor from records of (kind, message, payload)."""
    data = Header(number, first_sequence, 0, 0, salt).encode()
    for sequence, (kind, message, payload) in enumerate(records, first_sequence):
        data += encode_frame(salt, sequence, kind, message.encode(), payload)
    return data


# -- snapshots of destinations -------------------------------------------------------------------------------


def _restored_destination(values: Step) -> RestoredDestination:
    """Converts (destination, wait, outage, age of the first failure, age of the return)."""
    destination, wait_ms, is_out, failing_ms, returned_ms = values
    return RestoredDestination(destination, wait_ms, is_out, failing_ms, returned_ms)


def _plain_destination(restored: RestoredDestination) -> list[Any]:
    return [
        restored.destination,
        restored.retry_after_ms,
        restored.is_ejected,
        restored.failing_for_ms,
        restored.warming_up_for_ms,
    ]


def write_destination_snapshot(folder: Path, saves: Iterable[tuple[float, Sequence[Step]]]) -> None:
    """Writes the snapshot file of one process, once or more often."""
    file = DestinationSnapshotFile(folder)
    for now_ms, states in saves:
        file.save(now_ms, [_restored_destination(state) for state in states])


def read_destination_snapshot(folder: Path, now_ms: float) -> list[list[Any]]:
    return [_plain_destination(restored) for restored in DestinationSnapshotFile(folder).load(now_ms)]


def restored_destinations(
    saved: Iterable[tuple[float, Step]], arrival_ms: float, destinations: Iterable[int], later_ms: float
) -> Plain:
    """Returns the states that are restored for listed destinations, and those that remain for the others."""
    restored_state = RestoredState()
    for now_ms, state in saved:
        restored_state.add(now_ms, _restored_destination(state))
    listed = [Endpoint(100 + destination, destination, Listing.READY) for destination in destinations]
    restored = restored_state.pop_listed(arrival_ms, listed)
    return {
        "told": [_plain_destination(state) for state in restored],
        "kept": [_plain_destination(state) for state in restored_state.remaining(later_ms)],
    }


def _settings() -> Settings:
    safe = MessageClass("safe", Effect.SAFE, 1000.0, 10000.0, 1.0, 0.5, 3000.0)
    return Settings(
        classes=(safe,),
        kinds=(DestinationKind("kind"),),
        max_concurrent_attempts=8,
        max_pending_messages=40,
        max_attempts=5,
        relays=2,
        rates=Rates.NOMINAL,
        idle_ms=10000.0,
        tick_ms=5.0,
        safety=Safety(20.0, 250.0, 0.2, 9000.0, 2.0, 1500.0, 10000.0, 100.0),
    )


def snapshot_of_next_process(states: Sequence[Step], now_ms: float, later_ms: float) -> list[list[Any]]:
    """Returns the snapshot of a process that got these states restored and made no observations itself."""
    relay = DeliveryScheduler(_settings(), 1)
    entries = tuple(Endpoint(100 + state[0], state[0], Listing.READY, 0, 0, 20.0) for state in states)
    relay.handle(now_ms, [EndpointList(ListKind.CACHED, entries)])
    relay.handle(now_ms, [_restored_destination(state) for state in states])
    return [_plain_destination(state) for state in relay.destination_snapshot(later_ms)]


# -- the identity --------------------------------------------------------------------------------------------


def peers_folder_name() -> str:
    """Returns the name of the subfolder of a state folder that belongs to the fleet."""
    return FOLDER


def _plain_identity(identity: Identity) -> Plain:
    return {
        "id": identity.id,
        "name": identity.name,
        "boot": identity.process_epoch,
        "device": identity.device,
        "inode": identity.inode,
        "generation": identity.generation,
    }


def claim_identity(folder: Path, name: str) -> Plain:
    """Claims the identity of a folder; returns it or the error."""
    try:
        return _plain_identity(gossip_identity.claim_identity(folder, name))
    except IdentityError as error:
        return {"refused": str(error).replace(str(folder), "FOLDER")}


def claim_and_raise_identity(folder: Path, name: str, seen_epoch: int) -> Plain:
    """Claims the identity and raises its process epoch, as if others had seen a later one."""
    try:
        claimed = gossip_identity.claim_identity(folder, name)
        return _plain_identity(gossip_identity.raise_process_epoch(folder, claimed, seen_epoch))
    except IdentityError as error:
        return {"refused": str(error)}


# -- agreed rules: commands, the state machine, its dump -----------------------------------------------------


def _plain_rates(rates: dict[str, dict[str, float]]) -> Plain:
    return {source: dict(row) for source, row in rates.items()}


def _names(names: frozenset[str] | None) -> list[str] | None:
    return None if names is None else sorted(names)


def _plain_rules(rules: Rules) -> Plain:
    return {
        "destinations": {
            name: {
                "rate": rule.rate,
                "slots": rule.slots,
                "endpoints": _names(rule.endpoints),
                "closed": rule.closed,
            }
            for name, rule in rules.destinations.items()
        },
        "classes": {
            name: {"effect": rule.effect, "attempts": rule.attempts, "closed": rule.closed}
            for name, rule in rules.classes.items()
        },
        "zones_allowed": _names(rules.policies.zones),
        "zones_evacuated": _names(rules.policies.evacuated),
        "flows": {
            name: {
                "bound": _plain_rates(rule.bound),
                "spare": dict(rule.spare),
                "share": _plain_rates(rule.share),
            }
            for name, rule in rules.flows.items()
        },
        "zones": dict(rules.zones),
    }


def _plain_guard(guard: Guard | None) -> list[Any] | None:
    if guard is None:
        return None
    return [guard.least_ratio, guard.least_count, guard.watch_s, guard.promote]


def _plain_version(version: Version) -> Plain:
    return {
        "number": version.number,
        "digest": version.digest,
        "rules": version.rules.decode(),
        "voters": list(version.voters),
        "author": version.author,
        "cause": version.cause,
        "at_ms": version.at_ms,
        "stage": version.stage.value,
        "share": version.share,
        "guard": _plain_guard(version.guard),
        "brings_back": version.restored_from,
    }


def _plain_history(history: VersionHistory) -> Plain:
    canary = history.canary
    return {
        "versions": [_plain_version(version) for version in history.versions],
        "forgotten_boots": dict(history.forgotten_epochs),
        "voters_changed_at_ms": history.voters_changed_at_ms,
        "current": history.current.number,
        "newest": history.newest.number,
        "on_trial": None if canary is None else canary.number,
    }


def _command(step: Step) -> Command:
    match step:
        case ["propose", base, rules, author, cause, at_ms, share, guard, brings_back]:
            parsed_guard = None if guard is None else Guard(*guard)
            return Propose(base, rules.encode(), author, cause, at_ms, share, parsed_guard, brings_back)
        case ["promote", number, author]:
            return Promote(number, author)
        case ["withdraw", number, author, cause]:
            return Withdraw(number, author, cause)
        case ["voters", base, add, remove, author, at_ms]:
            return ChangeVoters(base, add, remove, author, at_ms)
        case ["forget", name, epoch, author, at_ms]:
            return Forget(name, epoch, author, at_ms)
    raise AssertionError(f"unknown command: {step!r}")


def encoded_command(step: Step) -> str:
    """Encodes a command as in the log."""
    return msgspec.json.encode(_command(step)).decode()


def encoded_rules(rules: str) -> Plain:
    """Returns the normal form of a set of rules and its digest."""
    read = decode_rules(rules.encode())
    return {"normal": encode_rules(read).decode(), "digest": digest(read), "as_read": _plain_rules(read)}


def _plain_answer(answer: CommandResult) -> list[Any]:
    return [answer.number, answer.refused]


def apply_commands(first_rules: str, voters: Iterable[str], raws: Iterable[str]) -> Plain:
    """Applies encoded commands; returns their results, the state machine after them, and its dump."""
    history = VersionHistory(decode_rules(first_rules.encode()), tuple(voters))
    results = [_plain_answer(history.apply(decode_command(raw.encode()))) for raw in raws]
    return {"answers": results, "book": _plain_history(history), "dump": history.dump().decode()}


def load_dump(first_rules: str, voters: Iterable[str], dump: str) -> Plain:
    """Loads a dump; returns the state machine and its dump written again."""
    history = VersionHistory(decode_rules(first_rules.encode()), tuple(voters))
    history.load(dump.encode())
    return {"book": _plain_history(history), "dump": history.dump().decode()}


# -- agreed rules: the replicated log ------------------------------------------------------------------------


class _Clock:
    """A simulated clock that replaces the clock of pysyncobj."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


class _Peers:
    """A gossip node that sends nothing by itself."""

    def __init__(self) -> None:
        self.frame_handlers: dict[str, Callable[[Hello, bytes], Awaitable[bytes | None] | bytes | None]] = {}
        self.rng = SimpleNamespace(uniform=lambda least, most: most)

    def address_of(self, name: str) -> None:
        return None


class _Voters:
    """The logs of one or more voters, each in the folder of its name.

    Messages are passed in memory, and the voters run their turns in a fixed order.
    """

    def __init__(
        self, folders: dict[str, Path], names: Sequence[str], first_rules: str, clock: _Clock
    ) -> None:
        """`names` are all voters, also those that do not run here."""
        self.clock = clock
        self.histories: dict[str, VersionHistory] = {}
        self.logs: dict[str, ReplicatedLog] = {}
        self.peers = {name: _Peers() for name in folders}
        for name, folder in folders.items():
            self.histories[name] = VersionHistory(decode_rules(first_rules.encode()), tuple(names))
            others = [other for other in names if other != name]
            self.logs[name] = ReplicatedLog(
                folder,
                self.peers[name],  # type: ignore[arg-type]
                name,
                others,
                self.histories[name],
                lambda: None,
            )
        self.leader = next(iter(folders))

    def connect(self) -> None:
        for sender, log in self.logs.items():
            for receiver, stream in log.transport.streams.items():
                if receiver in self.logs:
                    stream.is_connected = True
                    stream.send = partial(self._hand_over, sender, receiver)  # type: ignore[method-assign]
                    log.transport._on_connection_changed(receiver, True)

    def _hand_over(self, sender: str, receiver: str, raw: bytes) -> bool:
        for kind, handler in self.peers[receiver].frame_handlers.items():
            handler(Hello(sender, kind), raw)
        return True

    def turn(self) -> None:
        for log in self.logs.values():
            log.transport.deliver()
            log.raft.doTick(0.0)
            log.transport.flush()

    def rounds(self, count: int = ROUNDS) -> None:
        for _ in range(count):
            self.clock.now += SECONDS_PER_ROUND
            self.turn()

    def elect(self) -> None:
        """Elects the first voter, which is the first to run a turn after the election timeout."""
        self.clock.now += SECONDS_TO_ELECTION
        self.rounds()
        assert self.logs[self.leader].is_leader

    async def _completed(self, work: Awaitable[Any]) -> Any:
        task = asyncio.ensure_future(work)
        await asyncio.sleep(0)
        self.rounds()
        return await task

    async def run_step(self, step: Step) -> list[Any] | str | None:
        log = self.logs[self.leader]
        match step:
            case ["compact"]:
                self.rounds(ROUNDS_TO_COMPACTION)
                return None
            case ["member", add, remove]:
                refused: str = await self._completed(log.change_voters(add, remove, SECONDS_TO_ANSWER))
                return refused
            case _:
                command = _command(step)
                raw = msgspec.json.encode(command)
                answer: CommandResult = await self._completed(log.propose(command, raw, SECONDS_TO_ANSWER))
                return _plain_answer(answer)

    async def close(self) -> None:
        for log in self.logs.values():
            await log.close()


async def _run_voters(
    folders: dict[str, Path], names: Sequence[str], first_rules: str, steps: Iterable[Step]
) -> Plain:
    clock = _Clock()
    with mock.patch(MONOTONIC_CLOCK_OF_RAFT, clock):
        voters = _Voters(folders, names, first_rules, clock)
        voters.turn()
        voters.connect()
        voters.elect()
        results = [await voters.run_step(step) for step in steps]
        voters.rounds()
        histories = {name: _plain_history(history) for name, history in voters.histories.items()}
        await voters.close()
    return {"answers": results, "books": histories}


def run_voters(
    folders: dict[str, Path], names: Sequence[str], first_rules: str, steps: Iterable[Step]
) -> Plain:
    """Runs the named voters that have a folder on a list of commands; the first of them leads."""
    return asyncio.run(_run_voters(folders, names, first_rules, steps))


async def _read_voter(folder: Path, name: str, names: Sequence[str], first_rules: str) -> Plain:
    clock = _Clock()
    with mock.patch(MONOTONIC_CLOCK_OF_RAFT, clock):
        voters = _Voters({name: folder}, names, first_rules, clock)
        voters.turn()
        history = _plain_history(voters.histories[name])
        others = sorted(voters.logs[name].transport.streams)
        await voters.close()
    return {"book": history, "other_voters": others}


def read_voter(folder: Path, name: str, names: Sequence[str], first_rules: str) -> Plain:
    """Returns the state of a voter right after its start, before it has received any message."""
    return asyncio.run(_read_voter(folder, name, names, first_rules))


def log_error(folder: Path) -> str:
    """Returns why the log in the folder is rejected; empty if it is valid."""
    try:
        verify_log(folder)
    except TornWriteError as error:
        return str(error)
    return ""


def raft_journal_entries(raw: bytes) -> list[tuple[int, int, bytes]]:
    """Returns the number, term and content of each entry."""
    return [(entry.number, entry.term, entry.command) for entry in parse_journal(raw)]


def verified_command(raw: bytes) -> str:
    return verified_payload(raw).decode()


def vote(raw: bytes) -> Plain:
    return parse_vote(raw)


# -- agreed rules: persistent state of a voter ---------------------------------------------------------------


def _consensus_instance(folder: Path) -> ConsensusInstance:
    gossip_node: Any = SimpleNamespace(
        swim=SimpleNamespace(own_claim=SimpleNamespace(nonce=1)),
        rng=random.Random(1),
        on_epoch_raised=[],
        on_identity_conflict=[],
        datagram_handlers={},
        frame_handlers={},
    )
    identity = Identity("0011223344556677", "n0", 3, 1, 2)
    return ConsensusInstance(
        ConsensusSettings(voters=(0, 1, 2)),
        gossip_node,
        folder,
        identity,
        _settings(),
        ("east", "west"),
        3,
        lambda: None,
        DeliveryCounts,
    )


def _plain_voter_state(instance: ConsensusInstance) -> Plain:
    state = instance.voter.state
    return {
        "cleared": state.cleared,
        "boots": dict(state.highest_epochs),
        "log_was_begun": state.log_started,
        "voters": list(state.voters),
    }


def read_voter_state(folder: Path) -> Plain:
    return _plain_voter_state(_consensus_instance(folder))


def write_voter_state(
    folder: Path, cleared: int, epochs: dict[str, int], log_started: bool, voters: Iterable[str]
) -> Plain:
    instance = _consensus_instance(folder)
    state = instance.voter.state
    state.cleared, state.log_started, state.voters = cleared, log_started, tuple(voters)
    state.highest_epochs.update(epochs)
    instance.voter.save_state()
    return _plain_voter_state(instance)

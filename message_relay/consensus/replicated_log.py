"""The version history as a replicated log: Raft by pysyncobj, embedded (see docs/design/agreed-rules.md).

Its messages use this relay's own connections to its peers (`raft_transport.py`), so that they are sealed and
carry the sender's name like all others, and its turns run on this process's event loop. A voter whose state
folder was restored to an older state, or has lost the log, may have voted in a term that it no longer knows:
it must not start the log (see `voter.py`). `raft_storage.py` explains why the files are checked, synced
before a message is sent, and reopened after a failure.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
import pickle
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from pysyncobj import FAIL_REASON, SyncObj, SyncObjConf, replicated
from pysyncobj.node import Node as RaftNode

from ..core.tasks import BackgroundTasks, wait_for_event
from ..gossip.node import GossipNode
from ..structured_logging import LogEvent
from .raft_storage import DUMP, JOURNAL, RaftStorage, verified_payload, verify_log, with_checksum
from .raft_transport import GossipTransport
from .version_history import Command, CommandResult, VersionHistory, decode_command

log = logging.getLogger(__name__)

TICK_S = 0.075  # between two turns of the log if no message arrives: half a heartbeat
ELECTION_S = 0.5, 1.2  # election timeout, drawn at random between the two
HEARTBEAT_S = 0.15
RECONNECT_S = 0.2
LEADER_FALLBACK_S = 2.0  # a leader without a majority for this long steps down
COMPACT_S, COMPACT_ENTRIES = 30, 200
CHECKSUM_BYTES = 32  # SHA-256 in front of a snapshot

_LEADER_CHANGED = "another leader has taken over: check whether the command was applied, else repeat it"
FAILURE_MESSAGES = {
    FAIL_REASON.QUEUE_FULL: "too many commands are waiting",
    FAIL_REASON.MISSING_LEADER: "there is no leader at present",
    FAIL_REASON.DISCARDED: _LEADER_CHANGED,
    FAIL_REASON.NOT_LEADER: _LEADER_CHANGED,
    FAIL_REASON.LEADER_CHANGED: _LEADER_CHANGED,
    FAIL_REASON.REQUEST_DENIED: "the request was denied",
}


def _failure_message(error: int) -> str:
    return FAILURE_MESSAGES.get(error, f"the command failed (pysyncobj error {error})")


def _set_commit_index_if_changed(journal: Any, set_commit_index: Callable[[int], None], index: int) -> None:
    if index != journal.getRaftCommitIndex():
        set_commit_index(index)


class ReplicatedHistory(SyncObj):  # type: ignore[misc]
    """pysyncobj's state machine. pysyncobj numbers the replicated methods by name: keep a single one."""

    def __init__(
        self,
        own_node: RaftNode,
        others: list[RaftNode],
        conf: SyncObjConf,
        transport: GossipTransport,
        history: VersionHistory,
        on_applied: Callable[[], None],
    ) -> None:
        self._history = history
        self._on_applied = on_applied
        super().__init__(own_node, others, conf, nodeClass=RaftNode, transport=transport)
        # pysyncobj rewrites the file of its vote each second in which the commit index was reported, which is
        # every second: a rename that blocks the event loop for 8 ms, and a sync. So only a new index is set.
        journal = self._SyncObj__raftLog
        journal.setRaftCommitIndex = partial(
            _set_commit_index_if_changed, journal, journal.setRaftCommitIndex
        )

    @replicated  # type: ignore[misc]
    def apply_command(self, raw: bytes) -> tuple[int, str]:
        """Apply an agreed command; return the fields of its `CommandResult`, which pysyncobj pickles."""
        result = self._history.apply(decode_command(verified_payload(raw)))
        self._on_applied()
        return result.number, result.refused


class ReplicatedLog:
    """One voter's replica of the log, and its participation in Raft."""

    def __init__(
        self,
        folder: Path,
        gossip: GossipNode,
        name: str,
        others: list[str],
        history: VersionHistory,
        on_applied: Callable[[], None],
    ) -> None:
        """Raises TornWriteError if the folder can't be trusted, OSError if it can't be written."""
        verify_log(folder)
        self.history = history
        self.on_applied = on_applied
        self.tasks = BackgroundTasks()
        self.storage = RaftStorage(folder)
        own_node = RaftNode(name)
        other_nodes = [RaftNode(other) for other in others]
        self.transport = GossipTransport(gossip, own_node, other_nodes, self.tasks)
        conf = self._configuration(folder)
        self.raft = ReplicatedHistory(own_node, other_nodes, conf, self.transport, history, on_applied)

    def _configuration(self, folder: Path) -> SyncObjConf:
        return SyncObjConf(
            autoTick=False,
            raftMinTimeout=ELECTION_S[0],
            raftMaxTimeout=ELECTION_S[1],
            appendEntriesPeriod=HEARTBEAT_S,
            connectionRetryTime=RECONNECT_S,
            leaderFallbackTimeout=LEADER_FALLBACK_S,
            journalFile=str(folder / JOURNAL),
            fullDumpFile=str(folder / DUMP),
            useFork=False,
            logCompactionMinTime=COMPACT_S,
            logCompactionMinEntries=COMPACT_ENTRIES,
            dynamicMembershipChange=True,
            serializer=self._write_snapshot,
            deserializer=self._read_snapshot,
        )

    def _write_snapshot(self, file: str, raft_state: Any) -> None:
        """Write a checksum, then the history and pysyncobj's own state."""
        raw = pickle.dumps((self.history.dump(), raft_state))
        Path(file).write_bytes(hashlib.sha256(raw).digest() + raw)

    def _read_snapshot(self, file: str) -> Any:
        """Load the history and return pysyncobj's own state. Raises ValueError if the file is damaged."""
        raw = Path(file).read_bytes()
        if hashlib.sha256(raw[CHECKSUM_BYTES:]).digest() != raw[:CHECKSUM_BYTES]:
            raise ValueError("the snapshot's checksum is wrong")
        dump, raft_state = pickle.loads(raw[CHECKSUM_BYTES:])
        self.history.load(dump)
        self.on_applied()
        return raft_state

    async def run(self) -> None:
        """Run turns until one fails, and raise its exception; no message of that turn was sent."""
        loop = asyncio.get_running_loop()
        transport = self.transport
        while True:
            transport.wakeup.clear()
            transport.deliver()
            self.raft.doTick(0.0)
            if transport.outbox and self.storage.has_unsynced_writes():
                await loop.run_in_executor(None, self.storage.sync)  # before anything is sent
            transport.flush()
            await wait_for_event(transport.wakeup, TICK_S)

    @property
    def leader(self) -> str:
        """The leader's name; empty if there is none."""
        node = self.raft._getLeader()
        return "" if node is None else str(node.id)

    @property
    def is_leader(self) -> bool:
        """Whether this voter is the leader."""
        return bool(self.raft._isLeader())

    async def propose(self, command: Command, raw: bytes, seconds: float) -> CommandResult:
        """Propose a command; `raw` is its encoding. Without an answer in time it may still be agreed on."""
        done: asyncio.Future[CommandResult] = asyncio.get_running_loop().create_future()

        def on_result(result: tuple[int, str] | None, error: int) -> None:
            if done.done():
                return
            if error != FAIL_REASON.SUCCESS or result is None:
                done.set_result(CommandResult(refused=_failure_message(error)))
            else:
                done.set_result(CommandResult(*result))

        self.raft.apply_command(with_checksum(raw), callback=on_result)
        self.transport.wakeup.set()
        try:
            return await asyncio.wait_for(done, seconds)
        except TimeoutError:
            return CommandResult(
                refused=f"no answer within {seconds:g} s: the command may still be applied; check that first"
            )

    async def change_voters(self, add: str, remove: str, seconds: float) -> str:
        """Add or remove one voter; return why it failed, or an empty text.

        A change that was already made is not an error: the version history may lack it yet.
        """
        members = (*self.transport.nodes, self.raft.selfNode.id)
        if add in self.transport.nodes or (remove and remove not in members):
            return ""
        if remove and remove == self.leader:
            if not self.is_leader:
                return f"{remove} is the leader: send the command to it (--instance)"
            if not await self._hand_over(seconds):  # a leader can't remove itself
                return f"{remove} is the leader, and no other voter has taken over yet: try again"
        return await self._change_members(add, remove, seconds)

    async def _change_members(self, add: str, remove: str, seconds: float) -> str:
        done: asyncio.Future[int] = asyncio.get_running_loop().create_future()

        def on_result(_: Any, error: int) -> None:
            if not done.done():
                done.set_result(error)

        if add:
            self.raft.addNodeToCluster(RaftNode(add), callback=on_result)
        else:
            self.raft.removeNodeFromCluster(RaftNode(remove), callback=on_result)
        try:
            error = await asyncio.wait_for(done, seconds)
        except TimeoutError:
            return f"no answer within {seconds:g} s"
        return "" if error == FAIL_REASON.SUCCESS else _failure_message(error)

    async def _hand_over(self, seconds: float) -> bool:
        """Transfer the leadership; return False if no other voter became leader in time."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while loop.time() < deadline:
            if self.is_leader:
                self.raft.transferLeadership()
            elif self.leader:
                return True
            await asyncio.sleep(HEARTBEAT_S)
        return False

    async def close(self) -> None:
        """Stop, even if the files can no longer be closed because a turn has failed."""
        await self.tasks.cancel()
        try:
            self.raft.destroy()
        except (OSError, ValueError) as error:
            log.warning(LogEvent("replicated log close failed", why=repr(error)))

"""The book as a replicated log: Raft by pysyncobj (docs/design/agreed-rules.md weighs it), embedded.

Its messages travel on this relay's own connections to its peers, so that they are sealed and named as all
others are, and its turns are taken by this process's loop. A voter whose state folder has gone back in
time, or has lost the log, may have voted in a term that it no longer knows of: it must not start this
(see `node.py`). `disk.py` says why its files are checked, synced before a word goes out, and opened anew
after a failure."""

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
from pysyncobj.transport import Transport

from ..core.tasks import BackgroundTasks, wait_for_event
from ..gossip.framing import Hello
from ..gossip.node import GossipNode, Stream
from ..structured_logging import LogEvent
from .raft_storage import DUMP, JOURNAL, RaftStorage, verified_payload, verify_log, with_checksum
from .version_history import Command, CommandResult, VersionHistory, decode_command

log = logging.getLogger(__name__)

FRAME_KIND = "raft"
TICK_S = 0.075  # between two turns of the log without news: half a heartbeat
ELECTION_S = 0.5, 1.2  # without a leader for so long, by chance between them
HEARTBEAT_S = 0.15
COMPACT_S, COMPACT_ENTRIES = 30, 200

FAILURE_MESSAGES = {
    FAIL_REASON.QUEUE_FULL: "too many commands wait",
    FAIL_REASON.MISSING_LEADER: "there is no leader just now",
    FAIL_REASON.DISCARDED: "another leader has taken over: see whether it was taken, and propose again",
    FAIL_REASON.NOT_LEADER: "another leader has taken over: see whether it was taken, and propose again",
    FAIL_REASON.LEADER_CHANGED: "another leader has taken over: see whether it was taken, and propose again",
    FAIL_REASON.REQUEST_DENIED: "it is not possible now",
}


class GossipTransport(Transport):  # type: ignore[misc]
    """pysyncobj's transport over the streams of a peers' node."""

    def __init__(
        self, node: GossipNode, me: RaftNode, others: list[RaftNode], tasks: BackgroundTasks
    ) -> None:
        super().__init__(None, me, others)
        self.node, self.tasks = node, tasks
        self.nodes: dict[str, RaftNode] = {}
        self.streams: dict[str, Stream] = {}
        self.work: dict[str, asyncio.Task[None]] = {}
        self.inbox: list[tuple[str, bytes]] = []
        self.news = asyncio.Event()  # a message has come, or a command of this instance
        self.held: list[tuple[Stream, bytes]] = []  # of this turn
        for other in others:
            self.addNode(other)
        node.frame_handlers[FRAME_KIND] = self._frame

    ready = True

    def tryGetReady(self) -> None:
        pass

    def waitReady(self) -> None:
        pass

    def addNode(self, node: RaftNode) -> None:
        if node.id in self.streams:
            return
        self.nodes[node.id] = node
        stream = self.streams[node.id] = Stream(self.node, node.id, FRAME_KIND)
        self.work[node.id] = self.tasks.start(stream.run(self._changed))

    def dropNode(self, node: RaftNode) -> None:
        self.nodes.pop(node.id, None)
        self.streams.pop(node.id, None)
        task = self.work.pop(node.id, None)
        if task is not None:
            task.cancel()

    def send(self, node: RaftNode, message: Any) -> bool:
        """Held back until what it speaks of lies on the disk: `flush`."""
        stream = self.streams.get(node.id)
        if stream is None or not stream.is_connected:
            return False
        self.held.append((stream, pickle.dumps(message)))
        return True

    def flush(self) -> None:
        held, self.held = self.held, []
        for stream, raw in held:
            stream.send(raw)

    def destroy(self) -> None:
        for task in self.work.values():
            task.cancel()
        self.node.frame_handlers.pop(FRAME_KIND, None)

    def _changed(self, name: str, up: bool) -> None:
        node = self.nodes.get(name)
        if node is not None:
            (self._onNodeConnected if up else self._onNodeDisconnected)(node)

    def _frame(self, hello: Hello, raw: bytes) -> None:
        self.inbox.append((hello.sender, raw))
        self.news.set()

    def deliver(self) -> None:
        """What has come since the last turn. Only voters are heard, and only over sealed connections
        where the fleet has a secret: what they say is pickled."""
        inbox, self.inbox = self.inbox, []
        for sender, raw in inbox:
            node = self.nodes.get(sender)
            if node is None:
                continue
            try:
                message = pickle.loads(raw)
            except Exception as error:  # whatever a torn pickle makes of itself
                log.warning(LogEvent("a voter's message is passed over", sender=sender, why=repr(error)))
                continue
            self._onMessageReceived(node, message)


def _when_new(journal: Any, keep: Callable[[int], None], index: int) -> None:
    if index != journal.getRaftCommitIndex():
        keep(index)


class ReplicatedHistory(SyncObj):  # type: ignore[misc]
    def __init__(
        self,
        me: RaftNode,
        others: list[RaftNode],
        conf: SyncObjConf,
        wire: GossipTransport,
        book: VersionHistory,
        applied: Callable[[], None],
    ) -> None:
        self._history = book
        self._on_applied = applied
        super().__init__(me, others, conf, nodeClass=RaftNode, transport=wire)
        # It writes its vote anew each second in which it was told how far the log is agreed on, which is each
        # second: a rename that holds the loop up for 8 ms, and a sync. Only what is new is kept for that.
        journal = self._SyncObj__raftLog
        journal.setRaftCommitIndex = partial(_when_new, journal, journal.setRaftCommitIndex)

    @replicated  # type: ignore[misc]
    def apply_command(self, raw: bytes) -> tuple[int, str]:
        answer = self._history.apply(decode_command(verified_payload(raw)))
        self._on_applied()
        return answer.number, answer.refused


class ReplicatedLog:
    """One voter's part in it."""

    def __init__(
        self,
        folder: Path,
        node: GossipNode,
        me: str,
        others: list[str],
        book: VersionHistory,
        changed: Callable[[], None],
    ) -> None:
        """Raises Torn where what lies in the folder can't be believed, OSError where it can't be written."""
        verify_log(folder)
        self.history, self.on_applied, self.tasks = book, changed, BackgroundTasks()
        self.storage = RaftStorage(folder)
        own = RaftNode(me)
        rest = [RaftNode(name) for name in others]
        self.transport = GossipTransport(node, own, rest, self.tasks)
        conf = SyncObjConf(
            autoTick=False,
            raftMinTimeout=ELECTION_S[0],
            raftMaxTimeout=ELECTION_S[1],
            appendEntriesPeriod=HEARTBEAT_S,
            connectionRetryTime=0.2,
            leaderFallbackTimeout=2.0,
            journalFile=str(folder / JOURNAL),
            fullDumpFile=str(folder / DUMP),
            useFork=False,
            logCompactionMinTime=COMPACT_S,
            logCompactionMinEntries=COMPACT_ENTRIES,
            dynamicMembershipChange=True,
            serializer=self._dump,
            deserializer=self._load,
        )
        self.raft = ReplicatedHistory(own, rest, conf, self.transport, book, changed)

    def _dump(self, file: str, data: Any) -> None:
        """A snapshot: its own words beside the book, with a sum."""
        raw = pickle.dumps((self.history.dump(), data))
        Path(file).write_bytes(hashlib.sha256(raw).digest() + raw)

    def _load(self, file: str) -> Any:
        raw = Path(file).read_bytes()
        if hashlib.sha256(raw[32:]).digest() != raw[:32]:
            raise ValueError("the snapshot's sum is wrong")
        book, data = pickle.loads(raw[32:])
        self.history.load(book)
        self.on_applied()
        return data

    async def run(self) -> None:
        """Takes its turns until one fails, and raises what that one raised: nothing of it has gone out."""
        loop = asyncio.get_running_loop()
        while True:
            self.transport.news.clear()
            self.transport.deliver()
            self.raft.doTick(0.0)
            if (
                self.transport.held and self.storage.has_unsynced_writes()
            ):  # nothing is told by what is not on the disk
                await loop.run_in_executor(None, self.storage.sync)
            self.transport.flush()
            await wait_for_event(self.transport.news, TICK_S)

    @property
    def leader(self) -> str:
        found = self.raft._getLeader()
        return "" if found is None else str(found.id)

    @property
    def is_leader(self) -> bool:
        return bool(self.raft._isLeader())

    async def propose(self, told: Command, raw: bytes, seconds: float) -> CommandResult:
        """What became of it. One that was not answered in time may be taken yet."""
        done: asyncio.Future[CommandResult] = asyncio.get_running_loop().create_future()

        def over(result: tuple[int, str] | None, error: int) -> None:
            if done.done():
                return
            if error != FAIL_REASON.SUCCESS or result is None:
                done.set_result(CommandResult(refused=FAILURE_MESSAGES.get(error, f"it failed ({error})")))
            else:
                done.set_result(CommandResult(*result))

        self.raft.apply_command(with_checksum(raw), callback=over)
        self.transport.news.set()
        try:
            return await asyncio.wait_for(done, seconds)
        except TimeoutError:
            return CommandResult(
                refused=f"no answer within {seconds:g} s: it may be taken yet; look before you try again"
            )

    async def change_voters(self, add: str, remove: str, seconds: float) -> str:
        """Changes who takes part, one at a time; empty, or why not. What is so already is no error: the book
        may not have heard of it."""
        if (
            add in self.transport.nodes
            or remove
            and remove not in (*self.transport.nodes, self.raft.selfNode.id)
        ):
            return ""
        if remove and remove == self.leader:
            if not self.is_leader:
                return f"{remove} leads just now: ask it (--instance)"
            if not await self._handed_over(seconds):  # a leader can't take itself out
                return f"{remove} leads, and no other voter has taken over yet: try again"
        done: asyncio.Future[int] = asyncio.get_running_loop().create_future()

        def over(_: Any, error: int) -> None:
            if not done.done():
                done.set_result(error)

        if add:
            self.raft.addNodeToCluster(RaftNode(add), callback=over)
        else:
            self.raft.removeNodeFromCluster(RaftNode(remove), callback=over)
        try:
            error = await asyncio.wait_for(done, seconds)
        except TimeoutError:
            return f"no answer within {seconds:g} s"
        return "" if error == FAIL_REASON.SUCCESS else FAILURE_MESSAGES.get(error, f"it failed ({error})")

    async def _handed_over(self, seconds: float) -> bool:
        """Until another voter leads."""
        ends = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < ends:
            if self.is_leader:
                self.raft.transferLeadership()
            elif self.leader:
                return True
            await asyncio.sleep(HEARTBEAT_S)
        return False

    async def close(self) -> None:
        """Also one whose files can't be closed any more, since a turn has failed."""
        await self.tasks.cancel()
        try:
            self.raft.destroy()
        except (OSError, ValueError) as error:
            log.warning(LogEvent("a log is not closed in order", why=repr(error)))

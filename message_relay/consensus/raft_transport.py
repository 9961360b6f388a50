"""pysyncobj's transport over this relay's own connections to its peers.

Messages to other voters are collected during a turn of the log and sent by `flush`, once the state that they
refer to is on disk. Messages from other voters are collected between turns and processed by `deliver`.
"""

from __future__ import annotations

import asyncio
import logging
import pickle
from typing import Any

from pysyncobj.node import Node as RaftNode
from pysyncobj.transport import Transport

from ..core.tasks import BackgroundTasks
from ..gossip.framing import Hello
from ..gossip.node import GossipNode, Stream
from ..structured_logging import LogEvent

log = logging.getLogger(__name__)

FRAME_KIND = "raft"


class GossipTransport(Transport):  # type: ignore[misc]
    """One stream to each other voter. The camel-case names belong to pysyncobj's interface."""

    ready = True

    def __init__(
        self, gossip: GossipNode, own_node: RaftNode, others: list[RaftNode], tasks: BackgroundTasks
    ) -> None:
        super().__init__(None, own_node, others)
        self.gossip = gossip
        self.tasks = tasks
        self.nodes: dict[str, RaftNode] = {}
        self.streams: dict[str, Stream] = {}
        self.stream_tasks: dict[str, asyncio.Task[None]] = {}
        self.inbox: list[tuple[str, bytes]] = []
        self.outbox: list[tuple[Stream, bytes]] = []  # of this turn
        self.wakeup = asyncio.Event()  # a message was received, or a command of this instance proposed
        for other in others:
            self.addNode(other)
        gossip.frame_handlers[FRAME_KIND] = self._on_frame

    def tryGetReady(self) -> None:
        """Do nothing: the connections are opened by the streams."""

    def waitReady(self) -> None:
        """Do nothing: see `tryGetReady`."""

    def addNode(self, node: RaftNode) -> None:
        """Start a stream to a voter, unless there is one."""
        if node.id in self.streams:
            return
        self.nodes[node.id] = node
        stream = Stream(self.gossip, node.id, FRAME_KIND)
        self.streams[node.id] = stream
        self.stream_tasks[node.id] = self.tasks.start(stream.run(self._on_connection_changed))

    def dropNode(self, node: RaftNode) -> None:
        """Stop the stream to a former voter."""
        self.nodes.pop(node.id, None)
        self.streams.pop(node.id, None)
        task = self.stream_tasks.pop(node.id, None)
        if task is not None:
            task.cancel()

    def send(self, node: RaftNode, message: Any) -> bool:
        """Collect a message for `flush`; return False if there is no connection."""
        stream = self.streams.get(node.id)
        if stream is None or not stream.is_connected:
            return False
        self.outbox.append((stream, pickle.dumps(message)))
        return True

    def flush(self) -> None:
        """Send the collected messages. The state that they refer to has to be on disk."""
        collected = self.outbox
        self.outbox = []
        for stream, raw in collected:
            stream.send(raw)

    def destroy(self) -> None:
        """Stop all streams."""
        for task in self.stream_tasks.values():
            task.cancel()
        self.gossip.frame_handlers.pop(FRAME_KIND, None)

    def _on_connection_changed(self, name: str, is_connected: bool) -> None:
        node = self.nodes.get(name)
        if node is None:
            return
        if is_connected:
            self._onNodeConnected(node)
        else:
            self._onNodeDisconnected(node)

    def _on_frame(self, hello: Hello, raw: bytes) -> None:
        self.inbox.append((hello.sender, raw))
        self.wakeup.set()

    def deliver(self) -> None:
        """Process the messages that were received since the last turn.

        Messages are accepted from voters only, and only over sealed connections if the fleet has a secret:
        they are pickled.
        """
        received = self.inbox
        self.inbox = []
        for sender, raw in received:
            node = self.nodes.get(sender)
            if node is None:
                continue
            try:
                message = pickle.loads(raw)
            except Exception as error:  # a torn pickle may raise any exception
                log.warning(LogEvent("raft message discarded", sender=sender, why=repr(error)))
                continue
            self._onMessageReceived(node, message)

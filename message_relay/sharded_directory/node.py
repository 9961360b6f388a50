"""The directory by interest on the loop: what `Keeper` and `Reader` decide is carried out over the peers'
connections, the host hears what its reader has learned, and a keeper has its source."""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec

from ..config import Config
from ..core.ports import EndpointUpdateCallback
from ..core.relay import Relay
from ..core.tasks import BackgroundTasks
from ..gossip.framing import Hello
from ..gossip.node import GossipNode
from ..gossip.wire import Claim
from ..structured_logging import LogEvent
from .errors import UnreadableFrameError
from .settings import ShardedDirectorySettings
from .shard_client import ShardClient
from .shard_server import ShardServer
from .source import FileSource, RegisterSource
from .wire import (
    Digest,
    DirectoryMessage,
    Layout,
    LayoutMismatch,
    Overloaded,
    ShardRequest,
    ShardResponse,
    decode_message,
    encode_message,
)

log = logging.getLogger(__name__)

MESSAGE_KIND = "shards"  # of frames and datagrams on the peers' node
REQUEST_TIMEOUT_S = 1.0  # an ask has its answer within it, or another keeper is asked
MIN_TICK_INTERVAL_S = 0.005  # between two turns: what is wanted meanwhile goes in one ask
MAX_TICK_INTERVAL_S = 1.0  # a turn comes at the latest after it, whatever is due
TICK_RETRY_S = 1.0  # after a turn that failed


class ShardedDirectory:
    """The host's `Interest`, and its one source of members."""

    def __init__(
        self, part: ShardedDirectorySettings, peers: GossipNode, host: Relay, number: int, config: Config
    ) -> None:
        self.peers, self.host, self.name = peers, host, peers.swim.own_claim.name
        rng = random.Random(secrets.randbits(64))
        self.layout = Layout(part.count, tuple(sorted(part.keepers)))
        self.server_names = frozenset(f"n{keeper}" for keeper in part.keepers)
        self.client = ShardClient(self.name, self.layout, rng, part.bound_s, part.idle_s)
        self.server: ShardServer | None = None
        self.source: RegisterSource | FileSource | None = None
        if number in part.keepers:
            self.server = ShardServer(self.layout, part.epoch, rng)
            self.source = (
                FileSource(self.server, part.epoch, Path(part.file))
                if part.file
                else (
                    RegisterSource(
                        self.server,
                        part.epoch,
                        config.discovery,
                        len(part.keepers),
                        config.seed,
                        config.settings.polls_discovery,
                    )
                )
            )
        self.tasks = BackgroundTasks()
        self.counts: Counter[str] = Counter()
        self.listener: EndpointUpdateCallback = host.on_endpoint_update
        self.timer: asyncio.TimerHandle | None = None
        self.running = False
        self.renewed = asyncio.Event()
        peers.frame_handlers[MESSAGE_KIND] = self._on_frame
        peers.datagram_handlers[MESSAGE_KIND] = self._on_datagram
        peers.on_member_changed.append(self._on_member_changed)

    def start(self) -> None:
        """Once the peers' node has started."""
        self.running = True
        self._update_reachable()
        if self.source is not None:
            self.tasks.start(self.source.run())
        self._tick()

    async def stop(self) -> None:
        self.running = False
        if self.timer is not None:
            self.timer.cancel()
        await self.tasks.cancel()

    @staticmethod
    def now() -> float:
        return asyncio.get_running_loop().time()

    # -- for the core ----------------------------------------------------------------------------------------

    def is_resident(self, destination: int) -> bool:
        return self.client.is_resident(destination)

    def contains(self, destination: int) -> bool:
        return self.client.contains(destination)

    def request(self, destination: int, due: float) -> None:
        self.client.request(self.now(), destination, due)
        self._schedule_tick(self.now() + MIN_TICK_INTERVAL_S)

    def touch(self, destination: int) -> None:
        self.client.touch(self.now(), destination)
        if self.client.updates or self.client.next_tick_at() <= self.now():
            self._schedule_tick(self.now() + MIN_TICK_INTERVAL_S)

    def is_current(self, destination: int) -> bool:
        return self.client.is_current(self.now(), destination)

    async def wait_for_renewal(self) -> None:
        self._schedule_tick(
            self.now() + MIN_TICK_INTERVAL_S
        )  # what has to be asked is asked now: one that was frozen is late
        await self.renewed.wait()

    async def run(self, told: EndpointUpdateCallback) -> None:
        """As a source: tells for as long as it runs. What is told meanwhile is told at `host.listed` too."""
        self.listener = told
        await asyncio.get_running_loop().create_future()

    def reload(self, config: Config) -> None:
        if isinstance(self.source, RegisterSource):
            self.source.reload(config.discovery)

    def close(self) -> None:
        self.running = False
        if self.timer is not None:
            self.timer.cancel()
        for task in list(self.tasks.running):
            task.cancel()

    # -- turns -----------------------------------------------------------------------------------------------

    def _schedule_tick(self, at: float) -> None:
        if not self.running:
            return
        if self.timer is not None and not self.timer.cancelled():
            if self.timer.when() <= at:
                return
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_at(at, self._tick)

    def _tick(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None
        now = self.now()
        try:
            self.client.tick(now, self.host.is_in_use)
            if self.server is not None:
                for name, digest in self.server.due_digests(now):
                    if name == self.name:
                        self.client.on_digest(now, name, digest)
                    else:
                        self.peers.send_datagram(name, MESSAGE_KIND, encode_message(digest))
            self._execute_decisions()
            next_at = self.client.next_tick_at()
            if self.server is not None:
                next_at = min(next_at, self.server.next_digest_at())
        except Exception:
            log.exception("a turn of the directory failed")  # and the next one comes
            next_at = now + TICK_RETRY_S
        self._schedule_tick(min(max(next_at, now + MIN_TICK_INTERVAL_S), now + MAX_TICK_INTERVAL_S))

    def _execute_decisions(self) -> None:
        """What the reader has decided."""
        requests = list(self.client.outgoing)
        self.client.outgoing.clear()
        for server_name, request in requests:
            self.tasks.start(self._send_request(server_name, request))
        updates = list(self.client.updates)
        self.client.updates.clear()
        for update in updates:
            self.listener(update)
        absent = list(self.client.missing_destinations)
        self.client.missing_destinations.clear()
        for destination in absent:
            self.host.messages.fail_unknown_destination(destination)

    def _notify_renewed(self) -> None:
        """`current` may have changed."""
        self._execute_decisions()
        self._schedule_tick(self.now() + MIN_TICK_INTERVAL_S)
        news, self.renewed = self.renewed, asyncio.Event()
        news.set()

    # -- words -----------------------------------------------------------------------------------------------

    async def _send_request(self, keeper: str, ask: ShardRequest) -> None:
        word: ShardResponse | Overloaded | LayoutMismatch | None = None
        try:
            if keeper == self.name and self.server is not None:
                await asyncio.sleep(0)  # in a turn of its own
                word = self.server.handle_request(self.now(), self.name, ask)
            else:
                came = decode_message(
                    await self.peers.request(keeper, MESSAGE_KIND, encode_message(ask), REQUEST_TIMEOUT_S)
                )
                if not isinstance(came, ShardResponse | Overloaded | LayoutMismatch):
                    raise UnreadableFrameError(f"{type(came).__name__} is no answer")
                word = came
        except ValueError as error:
            self._record_unreadable(keeper, error)
        except OSError:
            self.counts["unanswered"] += 1
        except Exception:
            log.exception("an ask of %s failed", keeper)
        try:
            if word is None:
                self.client.on_request_failed(self.now(), keeper)
            else:
                self.client.on_response(self.now(), keeper, word)
        except Exception:
            log.exception("an answer of %s could not be taken", keeper)
        self._notify_renewed()

    def _on_frame(self, hello: Hello, raw: bytes) -> bytes:
        """A frame; ValueError for what is no ask: the peers' node ends its connection."""
        try:
            ask = decode_message(raw)
            if not isinstance(ask, ShardRequest):
                raise UnreadableFrameError(f"{type(ask).__name__} is no ask")
        except ValueError as error:
            self._record_unreadable(hello.sender, error)
            raise
        if self.server is None:
            return encode_message(LayoutMismatch(ask.number, self.layout))
        answer: DirectoryMessage = self.server.handle_request(self.now(), hello.sender, ask)
        self._schedule_tick(max(self.server.next_digest_at(), self.now() + MIN_TICK_INTERVAL_S))
        return encode_message(answer)

    def _on_datagram(self, sender: str, raw: bytes) -> None:
        """A datagram."""
        try:
            digest = decode_message(raw)
            if not isinstance(digest, Digest):
                raise UnreadableFrameError(f"{type(digest).__name__} is no digest")
        except ValueError as error:
            self._record_unreadable(sender, error)
            return
        if sender in self.server_names:
            self.client.on_digest(self.now(), sender, digest)
            self._notify_renewed()

    def _record_unreadable(self, sender: str, error: Exception) -> None:
        self.counts["unreadable"] += 1
        if self.counts["unreadable"].bit_count() == 1:  # the first, second, fourth ...: it may go on
            log.warning(
                LogEvent(
                    "a word on the directory is passed over",
                    sender=sender,
                    why=error,
                    so_far=self.counts["unreadable"],
                )
            )

    def _on_member_changed(self, claim: Claim) -> None:
        if claim.name in self.server_names and self.running:
            self._update_reachable()

    def _update_reachable(self) -> None:
        members = self.peers.swim.members
        self.client.set_reachable(
            self.now(),
            [
                name
                for name in sorted(self.server_names)
                if name == self.name or name in members and not members[name].is_gone
            ],
        )
        self._schedule_tick(self.now() + MIN_TICK_INTERVAL_S)

    # -- for people ------------------------------------------------------------------------------------------

    def status(self) -> dict[str, Any]:
        told = {
            "reader": msgspec.to_builtins(self.client.status(self.now())) | dict(self.counts),
            "peers": {name: self.peers.counts[name] for name in ("sent_bytes", "received_bytes")},
        }
        if self.server is not None and self.source is not None:
            told["keeper"] = msgspec.to_builtins(self.server.status(self.now())) | {
                "source_failures": self.source.failures,
                "entries_passed_over": self.source.entry_reader.skipped,
            }
        return told

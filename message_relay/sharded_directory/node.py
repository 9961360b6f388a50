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
from ..gossip.node import GossipNode, Hello
from ..gossip.wire import Claim
from ..structured_logging import LogEvent
from .settings import ShardedDirectorySettings
from .shard_client import ShardClient
from .shard_server import ShardServer
from .source import FileSource, RegisterSource
from .wire import (
    Digest,
    Layout,
    LayoutMismatch,
    Overloaded,
    ShardRequest,
    ShardResponse,
    UnreadableFrameError,
    Word,
    packed,
    read,
)

log = logging.getLogger(__name__)

KIND = "shards"  # of frames and datagrams on the peers' node
ASK_S = 1.0  # an ask has its answer within it, or another keeper is asked
LEAST_S = 0.005  # between two turns: what is wanted meanwhile goes in one ask
MOST_S = 1.0  # a turn comes at the latest after it, whatever is due
AGAIN_S = 1.0  # after a turn that failed


class ShardedDirectory:
    """The host's `Interest`, and its one source of members."""

    def __init__(
        self, part: ShardedDirectorySettings, peers: GossipNode, host: Relay, number: int, config: Config
    ) -> None:
        self.peers, self.host, self.me = peers, host, peers.swim.own_claim.name
        rng = random.Random(secrets.randbits(64))
        self.layout = Layout(part.count, tuple(sorted(part.keepers)))
        self.keepers = frozenset(f"n{keeper}" for keeper in part.keepers)
        self.reader = ShardClient(self.me, self.layout, rng, part.bound_s, part.idle_s)
        self.keeper: ShardServer | None = None
        self.source: RegisterSource | FileSource | None = None
        if number in part.keepers:
            self.keeper = ShardServer(self.layout, part.epoch, rng)
            self.source = (
                FileSource(self.keeper, part.epoch, Path(part.file))
                if part.file
                else (
                    RegisterSource(
                        self.keeper,
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
        self.news = asyncio.Event()
        peers.frame_handlers[KIND] = self._asked
        peers.datagram_handlers[KIND] = self._said
        peers.on_member_changed.append(self._member_changed)

    def start(self) -> None:
        """Once the peers' node has started."""
        self.running = True
        self._reach()
        if self.source is not None:
            self.tasks.start(self.source.run())
        self._turn()

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
        return self.reader.is_resident(destination)

    def contains(self, destination: int) -> bool:
        return self.reader.contains(destination)

    def request(self, destination: int, due: float) -> None:
        self.reader.request(self.now(), destination, due)
        self._due(self.now() + LEAST_S)

    def touch(self, destination: int) -> None:
        self.reader.touch(self.now(), destination)
        if self.reader.updates or self.reader.next_at() <= self.now():
            self._due(self.now() + LEAST_S)

    def is_current(self, destination: int) -> bool:
        return self.reader.is_current(self.now(), destination)

    async def wait_for_renewal(self) -> None:
        self._due(self.now() + LEAST_S)  # what has to be asked is asked now: one that was frozen is late
        await self.news.wait()

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

    def _due(self, at: float) -> None:
        if not self.running:
            return
        if self.timer is not None and not self.timer.cancelled():
            if self.timer.when() <= at:
                return
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_at(at, self._turn)

    def _turn(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None
        now = self.now()
        try:
            self.reader.tick(now, self.host.is_in_use)
            if self.keeper is not None:
                for name, digest in self.keeper.digests(now):
                    if name == self.me:
                        self.reader.digest(now, name, digest)
                    else:
                        self.peers.send_datagram(name, KIND, packed(digest))
            self._carry_out()
            next_at = self.reader.next_at()
            if self.keeper is not None:
                next_at = min(next_at, self.keeper.next_at())
        except Exception:
            log.exception("a turn of the directory failed")  # and the next one comes
            next_at = now + AGAIN_S
        self._due(min(max(next_at, now + LEAST_S), now + MOST_S))

    def _carry_out(self) -> None:
        """What the reader has decided."""
        asks, self.reader.asks = self.reader.asks, []
        for keeper, ask in asks:
            self.tasks.start(self._ask(keeper, ask))
        updates = list(self.reader.updates)
        self.reader.updates.clear()
        for update in updates:
            self.listener(update)
        absent, self.reader.absent = self.reader.absent, []
        for destination in absent:
            self.host.messages.fail_unknown_destination(destination)

    def _renew(self) -> None:
        """`current` may have changed."""
        self._carry_out()
        self._due(self.now() + LEAST_S)
        news, self.news = self.news, asyncio.Event()
        news.set()

    # -- words -----------------------------------------------------------------------------------------------

    async def _ask(self, keeper: str, ask: ShardRequest) -> None:
        word: ShardResponse | Overloaded | LayoutMismatch | None = None
        try:
            if keeper == self.me and self.keeper is not None:
                await asyncio.sleep(0)  # in a turn of its own
                word = self.keeper.asked(self.now(), self.me, ask)
            else:
                came = read(await self.peers.request(keeper, KIND, packed(ask), ASK_S))
                if not isinstance(came, ShardResponse | Overloaded | LayoutMismatch):
                    raise UnreadableFrameError(f"{type(came).__name__} is no answer")
                word = came
        except ValueError as error:
            self._unreadable(keeper, error)
        except OSError:
            self.counts["unanswered"] += 1
        except Exception:
            log.exception("an ask of %s failed", keeper)
        try:
            if word is None:
                self.reader.failed(self.now(), keeper)
            else:
                self.reader.answered(self.now(), keeper, word)
        except Exception:
            log.exception("an answer of %s could not be taken", keeper)
        self._renew()

    def _asked(self, hello: Hello, raw: bytes) -> bytes:
        """A frame; ValueError for what is no ask: the peers' node ends its connection."""
        try:
            ask = read(raw)
            if not isinstance(ask, ShardRequest):
                raise UnreadableFrameError(f"{type(ask).__name__} is no ask")
        except ValueError as error:
            self._unreadable(hello.sender, error)
            raise
        if self.keeper is None:
            return packed(LayoutMismatch(ask.number, self.layout))
        answer: Word = self.keeper.asked(self.now(), hello.sender, ask)
        self._due(max(self.keeper.next_at(), self.now() + LEAST_S))
        return packed(answer)

    def _said(self, sender: str, raw: bytes) -> None:
        """A datagram."""
        try:
            digest = read(raw)
            if not isinstance(digest, Digest):
                raise UnreadableFrameError(f"{type(digest).__name__} is no digest")
        except ValueError as error:
            self._unreadable(sender, error)
            return
        if sender in self.keepers:
            self.reader.digest(self.now(), sender, digest)
            self._renew()

    def _unreadable(self, sender: str, error: Exception) -> None:
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

    def _member_changed(self, claim: Claim) -> None:
        if claim.name in self.keepers and self.running:
            self._reach()

    def _reach(self) -> None:
        members = self.peers.swim.members
        self.reader.reachable(
            self.now(),
            [
                name
                for name in sorted(self.keepers)
                if name == self.me or name in members and not members[name].is_gone
            ],
        )
        self._due(self.now() + LEAST_S)

    # -- for people ------------------------------------------------------------------------------------------

    def status(self) -> dict[str, Any]:
        told = {
            "reader": msgspec.to_builtins(self.reader.status(self.now())) | dict(self.counts),
            "peers": {name: self.peers.counts[name] for name in ("sent_bytes", "received_bytes")},
        }
        if self.keeper is not None and self.source is not None:
            told["keeper"] = msgspec.to_builtins(self.keeper.status(self.now())) | {
                "source_failures": self.source.failures,
                "entries_passed_over": self.source.passed.count,
            }
        return told

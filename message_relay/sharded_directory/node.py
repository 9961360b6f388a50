"""Runs the sharded directory of one instance on the event loop.

Carries out the decisions of ShardClient and ShardServer over the gossip node's connections: sends requests
and digests, passes updates to the relay, and runs the server's source.
"""

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
    Layout,
    LayoutMismatch,
    Overloaded,
    ShardRequest,
    ShardResponse,
    decode_message,
    encode_message,
)

log = logging.getLogger(__name__)

MESSAGE_KIND = "shards"  # kind of frames and datagrams on the gossip node
REQUEST_TIMEOUT_S = 1.0  # after it another server gets the request
MIN_TICK_INTERVAL_S = 0.005  # destinations requested meanwhile share one request
MAX_TICK_INTERVAL_S = 1.0
TICK_RETRY_S = 1.0  # after a tick that failed


def _create_source(
    settings: ShardedDirectorySettings, server: ShardServer, config: Config
) -> RegisterSource | FileSource:
    if settings.file:
        return FileSource(server, settings.epoch, Path(settings.file))
    return RegisterSource(
        server,
        settings.epoch,
        config.discovery,
        len(settings.keepers),
        config.seed,
        config.settings.polls_discovery,
    )


class ShardedDirectory:
    """The relay's destination interest, and its only source of endpoints."""

    def __init__(
        self,
        settings: ShardedDirectorySettings,
        gossip: GossipNode,
        relay: Relay,
        number: int,
        config: Config,
    ) -> None:
        """Create the client, and the server if instance `number` is among the servers."""
        self.gossip = gossip
        self.relay = relay
        self.name = gossip.swim.own_claim.name
        rng = random.Random(secrets.randbits(64))
        self.layout = Layout(settings.count, tuple(sorted(settings.keepers)))
        self.server_names = frozenset(f"n{server}" for server in settings.keepers)
        self.client = ShardClient(self.name, self.layout, rng, settings.bound_s, settings.idle_s)
        self.server: ShardServer | None = None
        self.source: RegisterSource | FileSource | None = None
        if number in settings.keepers:
            self.server = ShardServer(self.layout, settings.epoch, rng)
            self.source = _create_source(settings, self.server, config)
        self.tasks = BackgroundTasks()
        self.counts: Counter[str] = Counter()
        self.listener: EndpointUpdateCallback = relay.on_endpoint_update
        self.timer: asyncio.TimerHandle | None = None
        self.running = False
        self.renewed = asyncio.Event()
        gossip.frame_handlers[MESSAGE_KIND] = self._on_frame
        gossip.datagram_handlers[MESSAGE_KIND] = self._on_datagram
        gossip.on_member_changed.append(self._on_member_changed)

    def start(self) -> None:
        """Start once the gossip node has started."""
        self.running = True
        self._update_reachable()
        if self.source is not None:
            self.tasks.start(self.source.run())
        self._tick()

    async def stop(self) -> None:
        """Stop, and wait until all tasks have ended."""
        self.running = False
        if self.timer is not None:
            self.timer.cancel()
        await self.tasks.cancel()

    @staticmethod
    def now() -> float:
        """Return the loop's time, in seconds."""
        return asyncio.get_running_loop().time()

    # -- for the core ----------------------------------------------------------------------------------------

    def is_resident(self, destination: int) -> bool:
        """Whether the directory has all known endpoints of the destination."""
        return self.client.is_resident(destination)

    def contains(self, destination: int) -> bool:
        """Whether the destination is resident and exists."""
        return self.client.contains(destination)

    def request(self, destination: int, deadline: float) -> None:
        """Make a destination resident for a message that expires at `deadline`."""
        self.client.request(self.now(), destination, deadline)
        self._schedule_tick(self.now() + MIN_TICK_INTERVAL_S)

    def touch(self, destination: int) -> None:
        """Note a use of the destination."""
        self.client.touch(self.now(), destination)
        if self.client.updates or self.client.next_tick_at() <= self.now():
            self._schedule_tick(self.now() + MIN_TICK_INTERVAL_S)

    def is_current(self, destination: int) -> bool:
        """Whether the data on the destination are current enough to write a first byte."""
        return self.client.is_current(self.now(), destination)

    async def wait_for_renewal(self) -> None:
        """Wait until `is_current` may have changed."""
        # Send requests at once: a process that was frozen is late with them.
        self._schedule_tick(self.now() + MIN_TICK_INTERVAL_S)
        await self.renewed.wait()

    async def run(self, on_update: EndpointUpdateCallback) -> None:
        """Pass endpoint updates to the callback until cancelled."""
        self.listener = on_update
        await asyncio.get_running_loop().create_future()

    def reload(self, config: Config) -> None:
        """Use the configuration's register from now on."""
        if isinstance(self.source, RegisterSource):
            self.source.reload(config.discovery)

    def close(self) -> None:
        """Stop without waiting for the tasks to end."""
        self.running = False
        if self.timer is not None:
            self.timer.cancel()
        for task in list(self.tasks.running):
            task.cancel()

    # -- ticks -----------------------------------------------------------------------------------------------

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
            self.client.tick(now, self.relay.is_in_use)
            if self.server is not None:
                self._send_digests(now, self.server)
            self._execute_decisions()
            next_at = self.client.next_tick_at()
            if self.server is not None:
                next_at = min(next_at, self.server.next_digest_at())
        except Exception:
            log.exception("sharded directory tick failed")  # retried after TICK_RETRY_S
            next_at = now + TICK_RETRY_S
        self._schedule_tick(min(max(next_at, now + MIN_TICK_INTERVAL_S), now + MAX_TICK_INTERVAL_S))

    def _send_digests(self, now: float, server: ShardServer) -> None:
        for name, digest in server.due_digests(now):
            if name == self.name:
                self.client.on_digest(now, name, digest)
            else:
                self.gossip.send_datagram(name, MESSAGE_KIND, encode_message(digest))

    def _execute_decisions(self) -> None:
        """Carry out the client's decisions: requests, updates and missing destinations."""
        requests = list(self.client.outgoing)
        self.client.outgoing.clear()
        for server_name, request in requests:
            self.tasks.start(self._send_request(server_name, request))
        updates = list(self.client.updates)
        self.client.updates.clear()
        for update in updates:
            self.listener(update)
        missing = list(self.client.missing_destinations)
        self.client.missing_destinations.clear()
        for destination in missing:
            self.relay.messages.fail_unknown_destination(destination)

    def _notify_renewed(self) -> None:
        """Wake the tasks that wait for renewal: `is_current` may have changed."""
        self._execute_decisions()
        self._schedule_tick(self.now() + MIN_TICK_INTERVAL_S)
        renewed = self.renewed
        self.renewed = asyncio.Event()
        renewed.set()

    # -- messages --------------------------------------------------------------------------------------------

    async def _send_request(self, server_name: str, request: ShardRequest) -> None:
        """Send a request and pass its result to the client."""
        response = await self._response_to(server_name, request)
        try:
            if response is None:
                self.client.on_request_failed(self.now(), server_name)
            else:
                self.client.on_response(self.now(), server_name, response)
        except Exception:
            log.exception("shard response processing failed: %s", server_name)
        self._notify_renewed()

    async def _response_to(
        self, server_name: str, request: ShardRequest
    ) -> ShardResponse | Overloaded | LayoutMismatch | None:
        """Return the response, or None without one in time; failures are counted and logged."""
        try:
            if server_name == self.name and self.server is not None:
                await asyncio.sleep(0)  # in a separate turn of the event loop
                return self.server.handle_request(self.now(), self.name, request)
            frame = encode_message(request)
            raw = await self.gossip.request(server_name, MESSAGE_KIND, frame, REQUEST_TIMEOUT_S)
            message = decode_message(raw)
            if not isinstance(message, ShardResponse | Overloaded | LayoutMismatch):
                raise UnreadableFrameError(f"{type(message).__name__} is not a response")
            return message
        except ValueError as error:
            self._record_unreadable(server_name, error)
        except OSError:
            self.counts["unanswered"] += 1
        except Exception:
            log.exception("shard request failed unexpectedly: %s", server_name)
        return None

    def _on_frame(self, hello: Hello, raw: bytes) -> bytes:
        """Respond to a request; ValueError for any other frame: the gossip node closes its connection."""
        try:
            request = decode_message(raw)
            if not isinstance(request, ShardRequest):
                raise UnreadableFrameError(f"{type(request).__name__} is not a ShardRequest")
        except ValueError as error:
            self._record_unreadable(hello.sender, error)
            raise
        if self.server is None:
            return encode_message(LayoutMismatch(request.number, self.layout))
        response = self.server.handle_request(self.now(), hello.sender, request)
        self._schedule_tick(max(self.server.next_digest_at(), self.now() + MIN_TICK_INTERVAL_S))
        return encode_message(response)

    def _on_datagram(self, sender: str, raw: bytes) -> None:
        """Process a digest; other datagrams are counted."""
        try:
            digest = decode_message(raw)
            if not isinstance(digest, Digest):
                raise UnreadableFrameError(f"{type(digest).__name__} is not a Digest")
        except ValueError as error:
            self._record_unreadable(sender, error)
            return
        if sender in self.server_names:
            self.client.on_digest(self.now(), sender, digest)
            self._notify_renewed()

    def _record_unreadable(self, sender: str, error: Exception) -> None:
        self.counts["unreadable"] += 1
        so_far = self.counts["unreadable"]
        if so_far.bit_count() == 1:  # log the 1st, 2nd, 4th ... only
            log.warning(
                LogEvent("unreadable directory message skipped", sender=sender, why=error, so_far=so_far)
            )

    def _on_member_changed(self, claim: Claim) -> None:
        if claim.name in self.server_names and self.running:
            self._update_reachable()

    def _update_reachable(self) -> None:
        members = self.gossip.swim.members
        reachable = [
            name
            for name in sorted(self.server_names)
            if name == self.name or (name in members and not members[name].has_departed)
        ]
        self.client.set_reachable(self.now(), reachable)
        self._schedule_tick(self.now() + MIN_TICK_INTERVAL_S)

    # -- status ----------------------------------------------------------------------------------------------

    def status(self) -> dict[str, Any]:
        """Return the status report: the keys are its JSON keys."""
        report = {
            "reader": msgspec.to_builtins(self.client.status(self.now())) | dict(self.counts),
            "peers": {name: self.gossip.counts[name] for name in ("sent_bytes", "received_bytes")},
        }
        if self.server is not None and self.source is not None:
            report["keeper"] = msgspec.to_builtins(self.server.status(self.now())) | {
                "source_failures": self.source.failures,
                "entries_passed_over": self.source.entry_reader.skipped,
            }
        return report

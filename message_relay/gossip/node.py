"""Gossip node: one instance's datagrams and connections under `swim`, on the event loop."""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec

from ..core.tasks import BackgroundTasks
from ..structured_logging import LogEvent
from .framing import FRAME_BYTES_MAX, WRITE_TIMEOUT_S, Hello, encode_frame, read_frame, set_write_timeout
from .identity import Identity, IdentityError, raise_process_epoch
from .settings import GossipSettings, parse_address
from .swim import MEMBERS_MAX, Swim
from .wire import (
    Address,
    AppMessage,
    Body,
    Claim,
    MemberState,
    Packet,
    UnreadablePacketError,
    open_packet,
    seal_packet,
)

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
INBOUND_CONNECTIONS_MAX = 64  # at once; more are closed
BACKLOG_BYTES_MAX = (
    FRAME_BYTES_MAX  # buffered for one connection: beyond it messages are dropped, as on a network
)
TIMER_SLACK_S = 0.005  # least time between two turns of `swim`; a timer is not moved by less

DatagramHandler = Callable[[str, bytes], None]  # (sender's name, message)
FrameHandler = Callable[[Hello, bytes], Awaitable[bytes | None] | bytes | None]  # returns the answer, if any


class Stream:
    """A connection to one peer for one kind of message, reconnected while `run` runs.

    Messages that can't be written are dropped.
    """

    def __init__(self, node: GossipNode, name: str, kind: str) -> None:
        self.node = node
        self.name = name
        self.kind = kind
        self.writer: asyncio.StreamWriter | None = None
        self.is_connected = False
        self.dropped = 0
        self.backlog_full_since = 0.0

    def send(self, message: bytes) -> bool:
        """Write a message; return False if it was dropped.

        Written without a task, which would cost more than the message. A peer that does not read receives no
        further messages until it has caught up, and then the latest ones.
        """
        writer = self.writer
        if not self.is_connected or writer is None:
            return False
        if writer.transport.get_write_buffer_size() > BACKLOG_BYTES_MAX:
            self.dropped += 1
            now = asyncio.get_running_loop().time()
            self.backlog_full_since = self.backlog_full_since or now
            if now - self.backlog_full_since > WRITE_TIMEOUT_S:
                writer.transport.abort()
            return False
        self.backlog_full_since = 0.0
        writer.write(encode_frame(message, self.node.secret))
        return True

    async def run(self, on_changed: Callable[[str, bool], None]) -> None:
        """Connect and reconnect until cancelled; `on_changed` gets the peer's name and whether it is up."""
        while True:
            try:
                reader, writer = await self._connect()
            except (OSError, TimeoutError):
                await asyncio.sleep(self.node.rng.uniform(0.1, 0.3))
                continue
            try:
                writer.write(encode_frame(self.node.hello_payload(self.kind), self.node.secret))
                set_write_timeout(writer)
                self.writer = writer
                self.is_connected = True
                self.backlog_full_since = 0.0
                on_changed(self.name, True)
                await reader.read(1)  # the peer sends nothing: this returns at the end of the connection
            except OSError:
                pass
            finally:
                writer.close()
                self.writer = None
                self.is_connected = False
                on_changed(self.name, False)
            await asyncio.sleep(self.node.rng.uniform(0.05, 0.15))

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            address = self.node.address_of(self.name)
            if address is None:
                raise OSError("no member has this name")
            return await asyncio.open_connection(*address, local_addr=self.node.source)


class GossipNode(asyncio.DatagramProtocol):
    """One instance's membership, and messages between instances by datagrams and connections.

    `datagram_handlers` and `frame_handlers` hold the receiver of each kind of message; the `on_...` lists
    hold callbacks.
    """

    def __init__(
        self,
        settings: GossipSettings,
        identity: Identity,
        folder: Path,
        number: int,
        zone: str,
        capabilities: int,
    ) -> None:
        """`folder` holds the identity. Raises ValueError or OSError if the secret can't be read."""
        self.identity = identity
        self.folder = folder
        self.on_epoch_raised: list[Callable[[Identity], None]] = []  # the folder was restored from a backup
        self.on_identity_conflict: list[Callable[[str], None]] = []  # another process outranks this one
        self.identity_conflict: Claim | None = None
        self.settings = settings
        self.number = number
        self.rng = random.Random(secrets.randbits(64))
        self.secret = settings.secret()
        own_claim = self._first_claim(zone, capabilities)
        own_host = settings.listen_address(number)[0]
        # Others identify this instance by the address that it connects from.
        self.source = None if own_host in ("0.0.0.0", "::") else (own_host, 0)
        seeds = [parse_address(seed, "seeds") for seed in settings.seeds]
        other_seeds = tuple(seed for seed in seeds if seed != own_claim.address)
        self.swim = Swim(own_claim, other_seeds, self.rng, settings.period_s)
        self.datagram_handlers: dict[str, DatagramHandler] = {}
        self.frame_handlers: dict[str, FrameHandler] = {}
        self.on_member_changed: list[Callable[[Claim], None]] = []
        self.counts: Counter[str] = Counter()
        # The latest message as (kind, body, nonce), and its sealed packet.
        self.last_sealed: tuple[tuple[str, bytes, int], bytes] = ("", b"", 0), b""
        self.tasks = BackgroundTasks()
        self.timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.DatagramTransport | None = None
        self.server: asyncio.Server | None = None
        self.inbound_connections: set[asyncio.StreamWriter] = set()

    def _first_claim(self, zone: str, capabilities: int) -> Claim:
        host, port = self.settings.advertised_address(self.number)
        return Claim(
            self.identity.name,
            self.identity.id,
            self.identity.process_epoch,
            secrets.randbits(48),
            0,
            MemberState.JOINING,
            host,
            port,
            zone,
            capabilities,
        )

    async def start(self) -> None:
        """Open the sockets and start probing. Raises OSError if the address can't be bound."""
        address = self.settings.listen_address(self.number)
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, address)
        self.server = await asyncio.start_server(self._serve_connection, *address, limit=FRAME_BYTES_MAX)
        self._tick()

    def leave(self) -> None:
        """Announce a deliberate stop."""
        self.swim.leave()
        self._flush()

    async def close(self) -> None:
        """Close all sockets."""
        if self.timer is not None:
            self.timer.cancel()
        await self.tasks.cancel()
        if self.server is not None:
            self.server.close()
        for writer in self.inbound_connections:
            writer.close()
        if self.transport is not None:
            self.transport.close()

    # -- membership ------------------------------------------------------------------------------------------

    def address_of(self, name: str) -> Address | None:
        """Return the address of a member, None if it is unknown."""
        claim = self.swim.members.get(name)
        return None if claim is None else claim.address

    def _tick(self) -> None:
        now = asyncio.get_running_loop().time()
        try:
            self.swim.tick(now)
            self._flush()
        except Exception:
            log.exception("membership turn failed")  # the next turn is scheduled anyway
        self.timer = None
        self._schedule()

    def _schedule(self) -> None:
        """Set the timer, or move it to an earlier time: a packet may have made something due sooner."""
        loop = asyncio.get_running_loop()
        due_at = max(loop.time() + TIMER_SLACK_S, self.swim.next_at())
        if self.timer is None or self.timer.cancelled() or due_at < self.timer.when() - TIMER_SLACK_S:
            if self.timer is not None:
                self.timer.cancel()
            self.timer = loop.call_at(due_at, self._tick)

    def _flush(self) -> None:
        """Send the packets that `swim` has queued, and report its changes and conflicts."""
        outbox, self.swim.outbox = self.swim.outbox, []
        for to, body in outbox:
            self._send_body(to, body)
        if self.swim.newer_epoch_seen:
            self.raise_process_epoch(self.swim.newer_epoch_seen)
        if self.swim.identity_conflict is not None and self.identity_conflict is None:
            self._report_identity_conflict(self.swim.identity_conflict)
        if self.swim.rejected_claims > 2 * self.counts["surplus"]:  # logs the 1st, 3rd, 7th ...: they repeat
            self._report_rejected_member()
        changes, self.swim.changes = self.swim.changes, []
        for claim in changes:
            log.info(LogEvent("member state changed", member=claim.name, state=claim.state.name.lower()))
            for on_changed in self.on_member_changed:
                on_changed(claim)

    def _report_identity_conflict(self, other: Claim) -> None:
        self.identity_conflict = other
        reason = f"another process at {other.host}:{other.port} is {other.name}"
        log.error(LogEvent("identity conflict detected", why=reason))
        for on_conflict in self.on_identity_conflict:
            on_conflict(reason)

    def _report_rejected_member(self) -> None:
        self.counts["surplus"] = self.swim.rejected_claims
        log.warning(
            LogEvent(
                "member rejected",
                member=self.swim.last_rejected,
                most=MEMBERS_MAX,
                so_far=self.swim.rejected_claims,
            )
        )

    def raise_process_epoch(self, seen: int) -> None:
        """Rejoin above the process epoch that others have seen: the folder was restored from a backup."""
        try:
            self.identity = raise_process_epoch(self.folder, self.identity, seen)
        except (IdentityError, OSError) as error:
            log.error(LogEvent("process epoch raise failed", why=error))
            self.swim.newer_epoch_seen = 0
            return
        log.error(LogEvent("state folder found stale", boot=seen))
        self.swim.restart_as(self.identity.process_epoch)
        for on_raised in self.on_epoch_raised:
            on_raised(self.identity)

    def _send_body(self, to: Address, body: Body) -> None:
        self._send(
            to, seal_packet(Packet(self.swim.own_claim.name, self.swim.own_claim.nonce, body), self.secret)
        )

    def _send(self, to: Address, raw: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.counts["sent"] += 1
            self.counts["sent_bytes"] += len(raw)
            self.transport.sendto(raw, to)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle one datagram."""
        try:
            packet = open_packet(data, self.secret)
        except UnreadablePacketError as error:
            self.counts["unreadable"] += 1
            if self.counts["unreadable"].bit_count() == 1:  # logs the 1st, 2nd, 4th ...: there may be many
                log.warning(LogEvent("datagram ignored", why=error, so_far=self.counts["unreadable"]))
            return
        self.counts["received"] += 1
        self.counts["received_bytes"] += len(data)
        body = packet.body
        try:
            if isinstance(body, AppMessage):  # does not change membership, which need not be processed then
                if body.kind in self.datagram_handlers:
                    self.datagram_handlers[body.kind](packet.sender, body.body)
                return
            self.swim.receive(asyncio.get_running_loop().time(), packet.sender, packet.nonce, body)
        except Exception:
            log.exception("datagram handler failed, sender %s", packet.sender)
        self._flush()
        self._schedule()

    def error_received(self, exc: Exception) -> None:
        """Count an error of the socket."""
        self.counts["errors"] += 1  # usually no process listens at the target at the moment

    # -- messages --------------------------------------------------------------------------------------------

    def send_datagram(self, name: str, kind: str, body: bytes) -> None:
        """Send one datagram to a member; it may be lost, duplicated or delayed."""
        address = self.address_of(name)
        if address is not None:
            self._send(address, self._sealed_message(kind, body))

    def _sealed_message(self, kind: str, body: bytes) -> bytes:
        """Return the packet, sealed once for all recipients of a message (all voters, or all relays)."""
        key = kind, body, self.swim.own_claim.nonce
        if key != self.last_sealed[0]:
            packet = Packet(self.swim.own_claim.name, self.swim.own_claim.nonce, AppMessage(kind, body))
            self.last_sealed = key, seal_packet(packet, self.secret)
        return self.last_sealed[1]

    def hello_payload(self, kind: str) -> bytes:
        """Return the first message on a connection for messages of this kind."""
        return msgspec.msgpack.encode(Hello(self.swim.own_claim.name, kind, self.swim.own_claim.nonce))

    async def request(self, name: str, kind: str, raw: bytes, seconds: float = 2.0) -> bytes:
        """Send a message on its own connection and return the answer. Raises OSError or TimeoutError."""
        address = self.address_of(name)
        if address is None:
            raise OSError(f"{name}: no member has this name")
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address, local_addr=self.source)
            try:
                frames = encode_frame(self.hello_payload(kind), self.secret) + encode_frame(raw, self.secret)
                self.counts["asked"] += 1
                self.counts["asked_bytes"] += len(frames)
                writer.write(frames)
                answer = await read_frame(reader, self.secret)
                self.counts["asked_bytes"] += len(answer)
                return answer
            except asyncio.IncompleteReadError as error:
                raise OSError(f"{name}: the connection was closed without an answer") from error
            finally:
                writer.close()

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.inbound_connections) >= INBOUND_CONNECTIONS_MAX:
            self.counts["refused_streams"] += 1
            writer.close()
            return
        self.inbound_connections.add(writer)
        self.counts["conversations"] += 1
        try:
            await self._serve_frames(reader, writer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        except (ValueError, msgspec.MsgspecError) as error:
            self.counts["unreadable"] += 1
            log.warning(LogEvent("peer connection closed", why=repr(error)))
        except Exception:
            log.exception("peer connection handler failed")
        finally:
            self.inbound_connections.discard(writer)
            writer.close()

    async def _serve_frames(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass each message of a connection to the handler of its kind, and send the answers."""
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            hello: Hello = msgspec.msgpack.decode(await read_frame(reader, self.secret), type=Hello)
        while True:
            message = await read_frame(reader, self.secret)
            self.counts["conversation_bytes"] += len(message)
            handler = self.frame_handlers.get(hello.kind)  # looked up each time: it may have been replaced
            if handler is None:  # not served, or not yet: the peer retries
                return
            result = handler(hello, message)
            answer = await result if isinstance(result, Awaitable) else result
            if answer is not None:
                self.counts["conversation_bytes"] += len(answer)
                writer.write(encode_frame(answer, self.secret))
                async with asyncio.timeout(WRITE_TIMEOUT_S):
                    await writer.drain()

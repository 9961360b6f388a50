"""One instance among its peers: the datagrams and connections under `swim`, on the loop."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import logging
import random
import secrets
import socket
import struct
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec

from ..core.tasks import BackgroundTasks
from ..structured_logging import LogEvent
from .identity import Identity, IdentityError, raise_process_epoch
from .settings import GossipSettings, parse_address
from .swim import MEMBERS_MAX, Swim
from .wire import (
    SEAL_BYTES,
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

FRAME_HEADER = struct.Struct("<I")
FRAME_BYTES_MAX = 8 << 20  # of one message on a connection: a set of rules, or a snapshot of all
WRITE_TIMEOUT_S = 5.0  # a connection that takes nothing for so long is ended
CONNECT_TIMEOUT_S = 1.0  # it comes up so soon, or not
INBOUND_CONNECTIONS_MAX = 64  # connections from others at once
BACKLOG_BYTES_MAX = FRAME_BYTES_MAX  # that wait for one connection: later ones are dropped, as a network may

DatagramHandler = Callable[[str, bytes], None]  # a sender's name, and what it says


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """Who speaks on a connection, and of what: its first words."""

    sender: str
    kind: str
    nonce: int = 0  # of the process that speaks; 0: a build that does not tell it


FrameHandler = Callable[[Hello, bytes], Awaitable[bytes | None] | bytes | None]  # the answer, if one is owed


class Stream:
    """A connection to one peer for one kind of message, kept up; what can't go is dropped."""

    def __init__(self, node: GossipNode, name: str, kind: str) -> None:
        self.node, self.name, self.kind = node, name, kind
        self.writer: asyncio.StreamWriter | None = None
        self.is_connected = False
        self.dropped = 0
        self.backlog_full_since = 0.0

    def send(self, raw: bytes) -> bool:
        """Written at once: a task for each message would cost more than the message. A peer that takes
        nothing is told nothing more, and hears the latest when it has caught up."""
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
        writer.write(encode_frame(raw, self.node.secret))
        return True

    async def run(self, changed: Callable[[str, bool], None]) -> None:
        """For as long as it is not cancelled."""
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    at = self.node.address_of(self.name)
                    if at is None:
                        raise OSError("nobody of that name is there")
                    reader, writer = await asyncio.open_connection(*at, local_addr=self.node.source)
            except (OSError, TimeoutError):
                await asyncio.sleep(self.node.rng.uniform(0.1, 0.3))
                continue
            try:
                writer.write(encode_frame(self.node.hello_payload(self.kind), self.node.secret))
                set_write_timeout(writer)
                self.writer, self.is_connected, self.backlog_full_since = writer, True, 0.0
                changed(self.name, True)
                await reader.read(1)  # nothing is said this way: its end
            except OSError:
                pass
            finally:
                writer.close()
                self.writer, self.is_connected = None, False
                changed(self.name, False)
            await asyncio.sleep(self.node.rng.uniform(0.05, 0.15))


class GossipNode(asyncio.DatagramProtocol):
    """Begins with `start`; `hear` and `serve` name who takes which kind of message."""

    def __init__(
        self, part: GossipSettings, identity: Identity, folder: Path, number: int, zone: str, caps: int
    ) -> None:
        """`folder`: where the identity lies. Raises ValueError and OSError where the secret can't be read."""
        self.identity, self.folder = identity, folder
        self.on_epoch_raised: list[
            Callable[[Identity], None]
        ] = []  # hear that the folder had gone back in time
        self.on_identity_conflict: list[
            Callable[[str], None]
        ] = []  # hear that another process is this instance
        self.identity_conflict: Claim | None = None
        self.settings, self.number, self.rng = part, number, random.Random(secrets.randbits(64))
        self.secret = part.secret()
        host, port = part.advertised_address(number)
        own = part.listen_address(number)[0]
        self.source = None if own in ("0.0.0.0", "::") else (own, 0)  # others know it by this address
        me = Claim(
            identity.name,
            identity.id,
            identity.process_epoch,
            secrets.randbits(48),
            0,
            MemberState.JOINING,
            host,
            port,
            zone,
            caps,
        )
        seeds = tuple(
            at for at in (parse_address(seed, "seeds") for seed in part.seeds) if at != (host, port)
        )
        self.swim = Swim(me, seeds, self.rng, part.period_s)
        self.datagram_handlers: dict[str, DatagramHandler] = {}
        self.frame_handlers: dict[str, FrameHandler] = {}
        self.on_member_changed: list[Callable[[Claim], None]] = []
        self.counts: Counter[str] = Counter()
        self.last_sealed: tuple[tuple[str, bytes, int], bytes] = (
            ("", b"", 0),
            b"",
        )  # the latest, as it went out
        self.tasks = BackgroundTasks()
        self.timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.DatagramTransport | None = None
        self.server: asyncio.Server | None = None
        self.inbound_connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Raises OSError where the place can't be had."""
        at = self.settings.listen_address(self.number)
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, at)
        self.server = await asyncio.start_server(self._serve_connection, *at, limit=FRAME_BYTES_MAX)
        self._tick()

    def leave(self) -> None:
        self.swim.leave()
        self._flush()

    async def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        await self.tasks.cancel()
        if self.server is not None:
            self.server.close()
        for writer in self.inbound_connections:
            writer.close()
        if self.transport is not None:
            self.transport.close()

    # -- who is there ----------------------------------------------------------------------------------------

    def address_of(self, name: str) -> Address | None:
        claim = self.swim.members.get(name)
        return None if claim is None else (claim.host, claim.port)

    def _tick(self) -> None:
        now = asyncio.get_running_loop().time()
        try:
            self.swim.tick(now)
            self._flush()
        except Exception:
            log.exception("a turn of membership failed")  # and the next one comes
        self.timer = None
        self._schedule()

    def _schedule(self) -> None:
        """What has come may be due sooner than what was."""
        loop = asyncio.get_running_loop()
        at = max(loop.time() + 0.005, self.swim.next_at())
        if self.timer is None or self.timer.cancelled() or at < self.timer.when() - 0.005:
            if self.timer is not None:
                self.timer.cancel()
            self.timer = loop.call_at(at, self._tick)

    def _flush(self) -> None:
        outbox, self.swim.outbox = self.swim.outbox, []
        for to, body in outbox:
            self._send_body(to, body)
        if self.swim.newer_epoch_seen:
            self.raise_process_epoch(self.swim.newer_epoch_seen)
        if self.swim.identity_conflict is not None and self.identity_conflict is None:
            other = self.identity_conflict = self.swim.identity_conflict
            why = f"another process at {other.host}:{other.port} is {other.name}"
            log.error(LogEvent("this process is not the one that counts", why=why))
            for refused in self.on_identity_conflict:
                refused(why)
        if (
            self.swim.rejected_claims > 2 * self.counts["surplus"]
        ):  # the first, third, seventh ...: they come again
            self.counts["surplus"] = self.swim.rejected_claims
            log.warning(
                LogEvent(
                    "a member is not taken: there are as many as may be",
                    member=self.swim.last_rejected,
                    most=MEMBERS_MAX,
                    so_far=self.swim.rejected_claims,
                )
            )
        changes, self.swim.changes = self.swim.changes, []
        for claim in changes:
            log.info(LogEvent("a member has changed", member=claim.name, state=claim.state.name.lower()))
            for hear in self.on_member_changed:
                hear(claim)

    def raise_process_epoch(self, seen: int) -> None:
        """The folder has gone back in time: joins above the boot that others have seen."""
        try:
            self.identity = raise_process_epoch(self.folder, self.identity, seen)
        except (IdentityError, OSError) as error:
            log.error(LogEvent("the boot can't be raised", why=error))
            self.swim.newer_epoch_seen = 0
            return
        log.error(LogEvent("the state folder is older than what others have seen", boot=seen))
        self.swim.restart_as(self.identity.process_epoch)
        for hear in self.on_epoch_raised:
            hear(self.identity)

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
        try:
            packet = open_packet(data, self.secret)
        except UnreadablePacketError as error:
            self.counts["unreadable"] += 1
            if self.counts["unreadable"].bit_count() == 1:  # the first, second, fourth ...: it may go on
                log.warning(LogEvent("a packet is passed over", why=error, so_far=self.counts["unreadable"]))
            return
        self.counts["received"] += 1
        self.counts["received_bytes"] += len(data)
        body = packet.body
        try:
            if isinstance(
                body, AppMessage
            ):  # changes nothing of membership: no walk over it for each renewal
                if body.kind in self.datagram_handlers:
                    self.datagram_handlers[body.kind](packet.sender, body.body)
                return
            self.swim.receive(asyncio.get_running_loop().time(), packet.sender, packet.nonce, body)
        except Exception:
            log.exception("a packet of %s failed", packet.sender)
        self._flush()
        self._schedule()

    def error_received(self, exc: Exception) -> None:
        self.counts["errors"] += 1  # nobody listens there just now

    # -- messages --------------------------------------------------------------------------------------------

    def send_datagram(self, name: str, kind: str, body: bytes) -> None:
        """One datagram; it may be lost, come twice or late."""
        at = self.address_of(name)
        if at is not None:
            self._send(at, self._sealed_message(kind, body))

    def _sealed_message(self, kind: str, body: bytes) -> bytes:
        """Sealed once for all to whom the same is said: a renewal to each voter, a hint to each relay."""
        key = kind, body, self.swim.own_claim.nonce
        if key != self.last_sealed[0]:
            packet = Packet(self.swim.own_claim.name, self.swim.own_claim.nonce, AppMessage(kind, body))
            self.last_sealed = key, seal_packet(packet, self.secret)
        return self.last_sealed[1]

    def hello_payload(self, kind: str) -> bytes:
        return msgspec.msgpack.encode(Hello(self.swim.own_claim.name, kind, self.swim.own_claim.nonce))

    async def request(self, name: str, kind: str, raw: bytes, seconds: float = 2.0) -> bytes:
        """One message and its answer on a connection of its own. Raises OSError or TimeoutError."""
        at = self.address_of(name)
        if at is None:
            raise OSError(f"{name}: nobody of that name is there")
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*at, local_addr=self.source)
            try:
                told = encode_frame(self.hello_payload(kind), self.secret) + encode_frame(raw, self.secret)
                self.counts["asked"] += 1
                self.counts["asked_bytes"] += len(told)
                writer.write(told)
                answer = await read_frame(reader, self.secret)
                self.counts["asked_bytes"] += len(answer)
                return answer
            except asyncio.IncompleteReadError as error:
                raise OSError(f"{name}: ended without an answer") from error
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
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                hello: Hello = msgspec.msgpack.decode(await read_frame(reader, self.secret), type=Hello)
            while True:
                raw = await read_frame(reader, self.secret)
                self.counts["conversation_bytes"] += len(raw)
                take = self.frame_handlers.get(
                    hello.kind
                )  # asked each time: who takes them may have begun anew
                if take is None:  # not served here, or not yet: who needs it tries again
                    return
                answer = take(hello, raw)
                told = await answer if isinstance(answer, Awaitable) else answer
                if told is not None:
                    self.counts["conversation_bytes"] += len(told)
                    writer.write(encode_frame(told, self.secret))
                    async with asyncio.timeout(WRITE_TIMEOUT_S):
                        await writer.drain()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        except (ValueError, msgspec.MsgspecError) as error:
            self.counts["unreadable"] += 1
            log.warning(LogEvent("a connection is ended", why=repr(error)))
        except Exception:
            log.exception("a conversation failed")
        finally:
            self.inbound_connections.discard(writer)
            writer.close()


def set_write_timeout(writer: asyncio.StreamWriter) -> None:
    """Ends by itself where nobody has acknowledged for so long: a host that is gone says nothing."""
    found = writer.get_extra_info("socket")
    if found is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
        found.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(1000 * WRITE_TIMEOUT_S))


def encode_frame(raw: bytes, secret: bytes) -> bytes:
    seal = hmac.digest(secret, raw, hashlib.sha256)[:SEAL_BYTES] if secret else b""
    return FRAME_HEADER.pack(len(seal) + len(raw)) + seal + raw


async def read_frame(reader: asyncio.StreamReader, secret: bytes) -> bytes:
    """Raises ValueError for one that is too long or badly sealed, asyncio.IncompleteReadError at the end."""
    length = FRAME_HEADER.unpack(await reader.readexactly(FRAME_HEADER.size))[0]
    if length > FRAME_BYTES_MAX:
        raise ValueError(f"a message of {length} bytes: {FRAME_BYTES_MAX} at most")
    raw = await reader.readexactly(length)
    if not secret:
        return raw
    seal, raw = raw[:SEAL_BYTES], raw[SEAL_BYTES:]
    if not hmac.compare_digest(seal, hmac.digest(secret, raw, hashlib.sha256)[:SEAL_BYTES]):
        raise ValueError("a message whose seal is not of this fleet's secret")
    return raw

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
from .identity import Identity, IdentityError, raised
from .settings import GossipSettings, place
from .swim import MEMBERS_MAX, Swim
from .wire import SEAL_BYTES, Address, App, Body, Claim, Packet, State, UnreadablePacketError, opened, sealed

log = logging.getLogger(__name__)

FRAME = struct.Struct("<I")
FRAME_BYTES = 8 << 20  # of one message on a connection: a set of rules, or a snapshot of all
SAY_S = 5.0  # a connection that takes nothing for so long is ended
CONNECT_S = 1.0  # it comes up so soon, or not
STREAMS = 64  # connections from others at once
BACKLOG_BYTES = FRAME_BYTES  # that wait for one connection: later ones are dropped, as a network may

Datagram = Callable[[str, bytes], None]  # a sender's name, and what it says


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """Who speaks on a connection, and of what: its first words."""

    sender: str
    kind: str
    nonce: int = 0  # of the process that speaks; 0: a build that does not tell it


Frame = Callable[[Hello, bytes], Awaitable[bytes | None] | bytes | None]  # the answer, if one is owed


class Stream:
    """A connection to one peer for one kind of message, kept up; what can't go is dropped."""

    def __init__(self, node: GossipNode, name: str, kind: str) -> None:
        self.node, self.name, self.kind = node, name, kind
        self.writer: asyncio.StreamWriter | None = None
        self.up = False
        self.dropped = 0
        self.full_since = 0.0

    def say(self, raw: bytes) -> bool:
        """Written at once: a task for each message would cost more than the message. A peer that takes
        nothing is told nothing more, and hears the latest when it has caught up."""
        writer = self.writer
        if not self.up or writer is None:
            return False
        if writer.transport.get_write_buffer_size() > BACKLOG_BYTES:
            self.dropped += 1
            now = asyncio.get_running_loop().time()
            self.full_since = self.full_since or now
            if now - self.full_since > SAY_S:
                writer.transport.abort()
            return False
        self.full_since = 0.0
        writer.write(framed(raw, self.node.secret))
        return True

    async def run(self, changed: Callable[[str, bool], None]) -> None:
        """For as long as it is not cancelled."""
        while True:
            try:
                async with asyncio.timeout(CONNECT_S):
                    at = self.node.where(self.name)
                    if at is None:
                        raise OSError("nobody of that name is there")
                    reader, writer = await asyncio.open_connection(*at, local_addr=self.node.source)
            except (OSError, TimeoutError):
                await asyncio.sleep(self.node.rng.uniform(0.1, 0.3))
                continue
            try:
                writer.write(framed(self.node.hello(self.kind), self.node.secret))
                lasting(writer)
                self.writer, self.up, self.full_since = writer, True, 0.0
                changed(self.name, True)
                await reader.read(1)  # nothing is said this way: its end
            except OSError:
                pass
            finally:
                writer.close()
                self.writer, self.up = None, False
                changed(self.name, False)
            await asyncio.sleep(self.node.rng.uniform(0.05, 0.15))


class GossipNode(asyncio.DatagramProtocol):
    """Begins with `start`; `hear` and `serve` name who takes which kind of message."""

    def __init__(
        self, part: GossipSettings, identity: Identity, folder: Path, number: int, zone: str, caps: int
    ) -> None:
        """`folder`: where the identity lies. Raises ValueError and OSError where the secret can't be read."""
        self.identity, self.folder = identity, folder
        self.rebooted: list[Callable[[Identity], None]] = []  # hear that the folder had gone back in time
        self.refused: list[Callable[[str], None]] = []  # hear that another process is this instance
        self.refusal: Claim | None = None
        self.part, self.number, self.rng = part, number, random.Random(secrets.randbits(64))
        self.secret = part.secret()
        host, port = part.told(number)
        own = part.at(number)[0]
        self.source = None if own in ("0.0.0.0", "::") else (own, 0)  # others know it by this address
        me = Claim(
            identity.name,
            identity.id,
            identity.boot,
            secrets.randbits(48),
            0,
            State.JOINING,
            host,
            port,
            zone,
            caps,
        )
        seeds = tuple(at for at in (place(seed, "seeds") for seed in part.seeds) if at != (host, port))
        self.swim = Swim(me, seeds, self.rng, part.period_s)
        self.datagrams: dict[str, Datagram] = {}
        self.frames: dict[str, Frame] = {}
        self.changed: list[Callable[[Claim], None]] = []
        self.counts: Counter[str] = Counter()
        self.said: tuple[tuple[str, bytes, int], bytes] = ("", b"", 0), b""  # the latest, as it went out
        self.tasks = BackgroundTasks()
        self.timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.DatagramTransport | None = None
        self.server: asyncio.Server | None = None
        self.conversations: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Raises OSError where the place can't be had."""
        at = self.part.at(self.number)
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, at)
        self.server = await asyncio.start_server(self._conversation, *at, limit=FRAME_BYTES)
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
        for writer in self.conversations:
            writer.close()
        if self.transport is not None:
            self.transport.close()

    # -- who is there ----------------------------------------------------------------------------------------

    def where(self, name: str) -> Address | None:
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
            self._out(to, body)
        if self.swim.behind:
            self.reboot(self.swim.behind)
        if self.swim.refused is not None and self.refusal is None:
            self.refusal = self.swim.refused
            why = f"another process at {self.refusal.host}:{self.refusal.port} is {self.refusal.name}"
            log.error(LogEvent("this process is not the one that counts", why=why))
            for refused in self.refused:
                refused(why)
        if self.swim.surplus > 2 * self.counts["surplus"]:  # the first, third, seventh ...: they come again
            self.counts["surplus"] = self.swim.surplus
            log.warning(
                LogEvent(
                    "a member is not taken: there are as many as may be",
                    member=self.swim.turned_away,
                    most=MEMBERS_MAX,
                    so_far=self.swim.surplus,
                )
            )
        changes, self.swim.changes = self.swim.changes, []
        for claim in changes:
            log.info(LogEvent("a member has changed", member=claim.name, state=claim.state.name.lower()))
            for hear in self.changed:
                hear(claim)

    def reboot(self, seen: int) -> None:
        """The folder has gone back in time: joins above the boot that others have seen."""
        try:
            self.identity = raised(self.folder, self.identity, seen)
        except (IdentityError, OSError) as error:
            log.error(LogEvent("the boot can't be raised", why=error))
            self.swim.behind = 0
            return
        log.error(LogEvent("the state folder is older than what others have seen", boot=seen))
        self.swim.reboot(self.identity.boot)
        for hear in self.rebooted:
            hear(self.identity)

    def _out(self, to: Address, body: Body) -> None:
        self._send(to, sealed(Packet(self.swim.me.name, self.swim.me.nonce, body), self.secret))

    def _send(self, to: Address, raw: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.counts["sent"] += 1
            self.counts["sent_bytes"] += len(raw)
            self.transport.sendto(raw, to)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        try:
            packet = opened(data, self.secret)
        except UnreadablePacketError as error:
            self.counts["unreadable"] += 1
            if self.counts["unreadable"].bit_count() == 1:  # the first, second, fourth ...: it may go on
                log.warning(LogEvent("a packet is passed over", why=error, so_far=self.counts["unreadable"]))
            return
        self.counts["received"] += 1
        self.counts["received_bytes"] += len(data)
        body = packet.body
        try:
            if isinstance(body, App):  # changes nothing of membership: no walk over it for each renewal
                if body.kind in self.datagrams:
                    self.datagrams[body.kind](packet.sender, body.body)
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
        at = self.where(name)
        if at is not None:
            self._send(at, self._told(kind, body))

    def _told(self, kind: str, body: bytes) -> bytes:
        """Sealed once for all to whom the same is said: a renewal to each voter, a hint to each relay."""
        key = kind, body, self.swim.me.nonce
        if key != self.said[0]:
            packet = Packet(self.swim.me.name, self.swim.me.nonce, App(kind, body))
            self.said = key, sealed(packet, self.secret)
        return self.said[1]

    def hello(self, kind: str) -> bytes:
        return msgspec.msgpack.encode(Hello(self.swim.me.name, kind, self.swim.me.nonce))

    async def request(self, name: str, kind: str, raw: bytes, seconds: float = 2.0) -> bytes:
        """One message and its answer on a connection of its own. Raises OSError or TimeoutError."""
        at = self.where(name)
        if at is None:
            raise OSError(f"{name}: nobody of that name is there")
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*at, local_addr=self.source)
            try:
                told = framed(self.hello(kind), self.secret) + framed(raw, self.secret)
                self.counts["asked"] += 1
                self.counts["asked_bytes"] += len(told)
                writer.write(told)
                answer = await frame(reader, self.secret)
                self.counts["asked_bytes"] += len(answer)
                return answer
            except asyncio.IncompleteReadError as error:
                raise OSError(f"{name}: ended without an answer") from error
            finally:
                writer.close()

    async def _conversation(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.conversations) >= STREAMS:
            self.counts["refused_streams"] += 1
            writer.close()
            return
        self.conversations.add(writer)
        self.counts["conversations"] += 1
        try:
            async with asyncio.timeout(CONNECT_S):
                hello: Hello = msgspec.msgpack.decode(await frame(reader, self.secret), type=Hello)
            while True:
                raw = await frame(reader, self.secret)
                self.counts["conversation_bytes"] += len(raw)
                take = self.frames.get(hello.kind)  # asked each time: who takes them may have begun anew
                if take is None:  # not served here, or not yet: who needs it tries again
                    return
                answer = take(hello, raw)
                told = await answer if isinstance(answer, Awaitable) else answer
                if told is not None:
                    self.counts["conversation_bytes"] += len(told)
                    writer.write(framed(told, self.secret))
                    async with asyncio.timeout(SAY_S):
                        await writer.drain()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        except (ValueError, msgspec.MsgspecError) as error:
            self.counts["unreadable"] += 1
            log.warning(LogEvent("a connection is ended", why=repr(error)))
        except Exception:
            log.exception("a conversation failed")
        finally:
            self.conversations.discard(writer)
            writer.close()


def lasting(writer: asyncio.StreamWriter) -> None:
    """Ends by itself where nobody has acknowledged for so long: a host that is gone says nothing."""
    found = writer.get_extra_info("socket")
    if found is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
        found.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(1000 * SAY_S))


def framed(raw: bytes, secret: bytes) -> bytes:
    seal = hmac.digest(secret, raw, hashlib.sha256)[:SEAL_BYTES] if secret else b""
    return FRAME.pack(len(seal) + len(raw)) + seal + raw


async def frame(reader: asyncio.StreamReader, secret: bytes) -> bytes:
    """Raises ValueError for one that is too long or badly sealed, asyncio.IncompleteReadError at the end."""
    length = FRAME.unpack(await reader.readexactly(FRAME.size))[0]
    if length > FRAME_BYTES:
        raise ValueError(f"a message of {length} bytes: {FRAME_BYTES} at most")
    raw = await reader.readexactly(length)
    if not secret:
        return raw
    seal, raw = raw[:SEAL_BYTES], raw[SEAL_BYTES:]
    if not hmac.compare_digest(seal, hmac.digest(secret, raw, hashlib.sha256)[:SEAL_BYTES]):
        raise ValueError("a message whose seal is not of this fleet's secret")
    return raw

"""A network between processes, in which faults are put: named links, TCP and UDP, by script, seed or command.

    python -m fakes.fault_proxy --plan FILE [--listen 127.0.0.1:0] [--script FILE] [--seed 1] [--log FILE]

PLAN (JSON) names the nodes and, where a node can't be told by its own address, doors:

    {"nodes": [{"name": "n0", "zone": "a", "bind": "127.1.0.0:7400", "at": "127.2.0.0:7400"}, ...],
     "doors": [{"from": "n0", "to": "p0", "at": "127.0.0.1:7500", "target": "127.0.0.1:9000"}, ...]}

Others reach a node at `at`; the net passes that on to `bind`, and knows by the source address (a node
sends from its `bind`) which link it is. A door is a TCP address for one link alone. One link leads from
each node to each other one; A to B and B to A are two, so that either can be cut alone.

A command, a line of JSON on a connection to `--listen`, or one with `at_s` in the script, sets what holds
on links:

    {"do": "set", "from": "zone:a", "to": "*", "cut": true}    names, zone:NAME, * and lists of these
    {"do": "heal"}       all is well everywhere (with from and to: there)
    {"do": "reset", "from": ..., "to": ...}    ends the TCP connections there
    {"do": "count"}      packets and bytes passed and dropped, in all

    cut        nothing passes: packets are lost, bytes of connections wait, as on a path that went silent
    loss, twice, late    shares of the packets that are lost, come twice, or are overtaken (UDP)
    delay_ms, jitter_ms  each way, evenly spread; bytes of a connection stay in order
    bytes_s    at most so many bytes a second on a connection
    flap_ms    cut in every second span of so long

What a new connection to a cut link gets is a kernel's answer and then silence, since the net itself listens:
a connection that is refused is not played here. Each command is written to the log with its Unix time."""

from __future__ import annotations

import asyncio
import functools
import json
import random
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any, TextIO

import msgspec

from .serving import address, arguments, serve

CHUNK = 65536
LOOK_S = 0.01  # how often a connection on a cut link looks whether it is healed
LATE_S = 0.05  # by so much one packet is overtaken
WAIT = 20_000  # packets on their way at once, at most: later ones are lost, as in a full queue

Address = tuple[str, int]


class NodePlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    bind: str
    at: str
    zone: str = ""


class DoorPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"source": "from"}):
    source: str
    to: str
    at: str
    target: str


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    nodes: list[NodePlan]
    doors: list[DoorPlan] = []
    zones: dict[str, str] = {}  # of those behind doors


class Held(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What holds on a link."""

    cut: bool = False
    loss: float = 0.0
    twice: float = 0.0
    late: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    bytes_s: float = 0.0
    flap_ms: float = 0.0

    def silent(self, now: float) -> bool:
        return self.cut or (bool(self.flap_ms) and int(now * 1000 / self.flap_ms) % 2 == 1)


WELL = Held()
Names = str | list[str]


class Command(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"source": "from"}):
    do: str
    source: Names = "*"
    to: Names = "*"
    at_s: float = 0.0
    cut: bool = False
    loss: float = 0.0
    twice: float = 0.0
    late: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    bytes_s: float = 0.0
    flap_ms: float = 0.0
    note: str = ""

    def held(self) -> Held:
        return Held(
            self.cut,
            self.loss,
            self.twice,
            self.late,
            self.delay_ms,
            self.jitter_ms,
            self.bytes_s,
            self.flap_ms,
        )


class FaultProxy:
    def __init__(self, plan: Plan, seed: int, log: TextIO | None = None) -> None:
        self.plan, self.rng, self.log = plan, random.Random(seed), log
        self.links: dict[tuple[str, str], Held] = {}  # those on which something holds
        self.zones = {node.name: node.zone for node in plan.nodes} | plan.zones
        self.names = sorted(self.zones | {name: "" for door in plan.doors for name in (door.source, door.to)})
        self.by_host = {address(node.bind)[0]: node.name for node in plan.nodes}
        self.open: dict[tuple[str, str], set[asyncio.StreamWriter]] = {}
        self.counts: Counter[str] = Counter()
        self.waiting = 0
        self.work: set[asyncio.Task[None]] = set()

    async def start(self, control: Address) -> asyncio.Server:
        for node in self.plan.nodes:
            loop = asyncio.get_running_loop()
            await loop.create_datagram_endpoint(functools.partial(Udp, self, node), address(node.at))
            await asyncio.start_server(self._taker(node.name, address(node.bind)), *address(node.at))
        for door in self.plan.doors:
            await asyncio.start_server(
                self._taker(door.to, address(door.target), door.source), *address(door.at)
            )
        return await asyncio.start_server(self._control, *control)

    # -- commands --------------------------------------------------------------------------------------------

    def command(self, told: Command) -> Any:
        """Raises ValueError."""
        self._note(told)
        pairs = list(self._pairs(told.source, told.to))
        if told.do == "set":
            for pair in pairs:
                self.links[pair] = told.held()
        elif told.do == "heal":
            for pair in pairs:
                self.links.pop(pair, None)
        elif told.do == "reset":
            for pair in pairs:
                for writer in list(self.open.get(pair, ())):
                    writer.transport.abort()
        elif told.do == "count":
            return dict(self.counts)
        else:
            raise ValueError(f"do: {told.do!r}: set, heal, reset or count is needed")
        return "ok"

    def _pairs(self, source: Names, to: Names) -> Iterator[tuple[str, str]]:
        targets = self._named(to)
        return ((a, b) for a in self._named(source) for b in targets if a != b)

    def _named(self, names: Names) -> list[str]:
        found: list[str] = []
        for name in [names] if isinstance(names, str) else names:
            if name == "*":
                return self.names
            zone = name.partition("zone:")[2]
            here = [each for each in self.names if self.zones.get(each) == zone] if zone else [name]
            if not here or not set(here) <= set(self.names):
                raise ValueError(f"{name!r} is no node, zone or *")
            found += here
        return found

    def _note(self, told: Command) -> None:
        if self.log is not None:
            line = {
                key: value
                for key, value in msgspec.to_builtins(told).items()
                if value not in (0.0, "", False)
            }
            self.log.write(json.dumps({"unix_ms": round(time.time() * 1000, 1), **line}) + "\n")
            self.log.flush()

    async def _control(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            try:
                answer = self.command(msgspec.json.decode(line, type=Command))
            except (ValueError, msgspec.MsgspecError) as error:
                answer = f"error: {error}"
            writer.write(json.dumps(answer).encode() + b"\n")
        writer.close()

    async def play(self, script: list[Command]) -> None:
        begun = time.monotonic()
        for told in sorted(script, key=lambda each: each.at_s):
            await asyncio.sleep(max(0.0, begun + told.at_s - time.monotonic()))
            self.command(told)

    def start_task(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.work.add(task)
        task.add_done_callback(self.work.discard)

    # -- packets ---------------------------------------------------------------------------------------------

    def packet(self, source: str, to: str, send: Any) -> None:
        held = self.links.get((source, to), WELL)
        if (
            held.silent(time.monotonic())
            or (held.loss and self.rng.random() < held.loss)
            or self.waiting > WAIT
        ):
            self.counts["packets lost"] += 1
            return
        for _ in range(1 + bool(held.twice and self.rng.random() < held.twice)):
            wait = self._wait(held) + (LATE_S if held.late and self.rng.random() < held.late else 0.0)
            self.counts["packets"] += 1
            if wait:
                self.waiting += 1
                asyncio.get_running_loop().call_later(wait, self._late, send)
            else:
                send()

    def _late(self, send: Any) -> None:
        self.waiting -= 1
        send()

    def _wait(self, held: Held) -> float:
        return (held.delay_ms + self.rng.random() * held.jitter_ms) / 1000

    # -- connections -----------------------------------------------------------------------------------------

    def _taker(self, to: str, target: Address, source: str = "") -> Any:
        async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            name = source or self.by_host.get(writer.get_extra_info("peername")[0], "")
            await self._connection(name, to, target, reader, writer)

        return take

    async def _connection(
        self,
        source: str,
        to: str,
        target: Address,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        there: asyncio.StreamWriter | None = None
        pair = source, to
        opened = self.open.setdefault(pair, set())
        opened.add(writer)
        try:
            while self.links.get(pair, WELL).silent(time.monotonic()):
                await asyncio.sleep(LOOK_S)
            back, there = await asyncio.open_connection(*target)
            ways = [
                asyncio.ensure_future(self._pump(source, to, reader, there)),
                asyncio.ensure_future(self._pump(to, source, back, writer)),
            ]
            try:
                await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for way in ways:
                    way.cancel()
                await asyncio.gather(*ways, return_exceptions=True)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            opened.discard(writer)
            for each in (writer, there):
                if each is not None:
                    each.close()

    async def _pump(
        self, source: str, to: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Ends with either side, once what was read has been passed on."""
        pair = source, to
        while True:
            data = await reader.read(CHUNK)
            held = self.links.get(pair, WELL)
            wait = self._wait(held) + (len(data) / held.bytes_s if held.bytes_s else 0.0)
            if wait:
                await asyncio.sleep(wait)
            while self.links.get(pair, WELL).silent(time.monotonic()):
                await asyncio.sleep(LOOK_S)
            if not data:
                return
            self.counts["bytes"] += len(data)
            writer.write(data)
            await writer.drain()


class Udp(asyncio.DatagramProtocol):
    def __init__(self, net: FaultProxy, node: NodePlan) -> None:
        self.net, self.name, self.bind = net, node.name, address(node.bind)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Address) -> None:
        source = self.net.by_host.get(addr[0], "")
        self.net.packet(source, self.name, lambda: self.transport.sendto(data, self.bind))


def main() -> None:
    parser = arguments("net")
    parser.add_argument("--plan", type=Path, required=True)
    parser.add_argument("--script", type=Path)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--log", type=lambda path: open(path, "a"))  # noqa: SIM115  it stays open
    args = parser.parse_args()
    try:
        plan: Plan = msgspec.json.decode(args.plan.read_bytes(), type=Plan)
        raw = b"[]" if args.script is None else args.script.read_bytes()
        script: list[Command] = msgspec.json.decode(raw, type=list[Command])
    except msgspec.MsgspecError as error:
        parser.error(str(error))
    net = FaultProxy(plan, args.seed, args.log)

    async def start() -> asyncio.Server:
        server = await net.start(address(args.listen))
        net.start_task(net.play(script))
        return server

    serve(start)


if __name__ == "__main__":
    main()

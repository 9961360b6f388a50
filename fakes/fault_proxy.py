"""A proxy network between processes that injects faults into named links, for TCP and UDP.

    python -m fakes.fault_proxy --plan FILE [--listen 127.0.0.1:0] [--script FILE] [--seed 1] [--log FILE]

Faults are set by a script or by commands; random ones follow the seed. PLAN (JSON) names the nodes and, where
a node cannot be identified by its own address, doors:

    {"nodes": [{"name": "n0", "zone": "a", "bind": "127.1.0.0:7400", "at": "127.2.0.0:7400"}, ...],
     "doors": [{"from": "n0", "to": "p0", "at": "127.0.0.1:7500", "target": "127.0.0.1:9000"}, ...]}

Other nodes reach a node at `at`. The proxy forwards to `bind`, and identifies the link by the source address,
since a node sends from its `bind`. A door is a TCP address for one link only. There is one link from each
node to each other one; A to B and B to A are two links, so that each can be cut alone.

A command is a line of JSON on a connection to `--listen`, or an entry with `at_s` in the script:

    {"do": "set", "from": "zone:a", "to": "*", "cut": true}    sets the faults of these links; from, to:
                                                               name, zone:NAME, * or a list of these
    {"do": "heal"}       removes all faults (with from and to: those of these links)
    {"do": "reset", "from": ..., "to": ...}    aborts the TCP connections of these links
    {"do": "count"}      returns the totals of forwarded and lost packets and of forwarded bytes

    cut        nothing passes: packets are lost, bytes of connections wait, as on a path that went silent
    loss, twice, late    shares of the packets that are lost, duplicated, or overtaken (UDP)
    delay_ms, jitter_ms  for each direction, jitter evenly distributed; bytes of a connection stay in order
    bytes_s    maximum of bytes a second on a connection
    flap_ms    cut in every second period of this length

A new connection to a cut link is accepted by the kernel and then gets no data, since the proxy itself
listens: refused connections cannot be simulated. Each command is written to the log with its Unix time.
"""

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

CHUNK_BYTES = 65536
CUT_POLL_S = 0.01  # how often a connection on a cut link checks whether it is healed
LATE_DELAY_S = 0.05  # extra delay of a packet that is overtaken
MAX_DELAYED_PACKETS = 20_000  # most packets delayed at once: further ones are lost, as in a full queue

Address = tuple[str, int]


class NodePlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    bind: str
    at: str
    zone: str = ""


class RoutePlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"source": "from"}):
    source: str
    to: str
    at: str
    target: str


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    nodes: list[NodePlan]
    doors: list[RoutePlan] = []
    zones: dict[str, str] = {}  # of the nodes behind doors


class LinkFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The faults of one link."""

    cut: bool = False
    loss: float = 0.0
    twice: float = 0.0
    late: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    bytes_s: float = 0.0
    flap_ms: float = 0.0

    def is_silent(self, now: float) -> bool:
        return self.cut or (bool(self.flap_ms) and int(now * 1000 / self.flap_ms) % 2 == 1)


NO_FAULTS = LinkFaults()
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

    def faults(self) -> LinkFaults:
        return LinkFaults(
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
        self.links: dict[tuple[str, str], LinkFaults] = {}  # links with faults
        self.zones = {node.name: node.zone for node in plan.nodes} | plan.zones
        self.names = sorted(
            self.zones | {name: "" for route in plan.doors for name in (route.source, route.to)}
        )
        self.by_host = {address(node.bind)[0]: node.name for node in plan.nodes}
        self.open: dict[tuple[str, str], set[asyncio.StreamWriter]] = {}
        self.counts: Counter[str] = Counter()
        self.delayed_packets = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, control: Address) -> asyncio.Server:
        for node in self.plan.nodes:
            loop = asyncio.get_running_loop()
            await loop.create_datagram_endpoint(
                functools.partial(PacketForwarder, self, node), address(node.at)
            )
            await asyncio.start_server(
                self._connection_handler(node.name, address(node.bind)), *address(node.at)
            )
        for route in self.plan.doors:
            await asyncio.start_server(
                self._connection_handler(route.to, address(route.target), route.source), *address(route.at)
            )
        return await asyncio.start_server(self._control, *control)

    # -- commands --------------------------------------------------------------------------------------------

    def command(self, command: Command) -> Any:
        """Executes a command and returns its answer. Raises ValueError."""
        self._log_command(command)
        pairs = list(self._pairs(command.source, command.to))
        if command.do == "set":
            for pair in pairs:
                self.links[pair] = command.faults()
        elif command.do == "heal":
            for pair in pairs:
                self.links.pop(pair, None)
        elif command.do == "reset":
            for pair in pairs:
                for writer in list(self.open.get(pair, ())):
                    writer.transport.abort()
        elif command.do == "count":
            return dict(self.counts)
        else:
            raise ValueError(f"do: {command.do!r}: set, heal, reset or count is needed")
        return "ok"

    def _pairs(self, source: Names, to: Names) -> Iterator[tuple[str, str]]:
        targets = self._resolve(to)
        return ((a, b) for a in self._resolve(source) for b in targets if a != b)

    def _resolve(self, names: Names) -> list[str]:
        resolved: list[str] = []
        for name in [names] if isinstance(names, str) else names:
            if name == "*":
                return self.names
            zone = name.partition("zone:")[2]
            members = [node for node in self.names if self.zones.get(node) == zone] if zone else [name]
            if not members or not set(members) <= set(self.names):
                raise ValueError(f"{name!r} is no node, zone or *")
            resolved += members
        return resolved

    def _log_command(self, command: Command) -> None:
        if self.log is not None:
            line = {
                key: value
                for key, value in msgspec.to_builtins(command).items()
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

    async def run_script(self, script: list[Command]) -> None:
        started_at = time.monotonic()
        for command in sorted(script, key=lambda each: each.at_s):
            await asyncio.sleep(max(0.0, started_at + command.at_s - time.monotonic()))
            self.command(command)

    def start_task(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # -- packets ---------------------------------------------------------------------------------------------

    def forward_packet(self, source: str, to: str, send: Any) -> None:
        faults = self.links.get((source, to), NO_FAULTS)
        if (
            faults.is_silent(time.monotonic())
            or (faults.loss and self.rng.random() < faults.loss)
            or self.delayed_packets > MAX_DELAYED_PACKETS
        ):
            self.counts["packets lost"] += 1
            return
        for _ in range(1 + bool(faults.twice and self.rng.random() < faults.twice)):
            delay_s = self._delay_s(faults) + (
                LATE_DELAY_S if faults.late and self.rng.random() < faults.late else 0.0
            )
            self.counts["packets"] += 1
            if delay_s:
                self.delayed_packets += 1
                asyncio.get_running_loop().call_later(delay_s, self._send_delayed, send)
            else:
                send()

    def _send_delayed(self, send: Any) -> None:
        self.delayed_packets -= 1
        send()

    def _delay_s(self, faults: LinkFaults) -> float:
        return (faults.delay_ms + self.rng.random() * faults.jitter_ms) / 1000

    # -- connections -----------------------------------------------------------------------------------------

    def _connection_handler(self, to: str, target: Address, source: str = "") -> Any:
        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            name = source or self.by_host.get(writer.get_extra_info("peername")[0], "")
            await self._connection(name, to, target, reader, writer)

        return handle

    async def _connection(
        self,
        source: str,
        to: str,
        target: Address,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        target_writer: asyncio.StreamWriter | None = None
        pair = source, to
        opened = self.open.setdefault(pair, set())
        opened.add(writer)
        try:
            while self.links.get(pair, NO_FAULTS).is_silent(time.monotonic()):
                await asyncio.sleep(CUT_POLL_S)
            target_reader, target_writer = await asyncio.open_connection(*target)
            directions = [
                asyncio.ensure_future(self._copy(source, to, reader, target_writer)),
                asyncio.ensure_future(self._copy(to, source, target_reader, writer)),
            ]
            try:
                await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for direction in directions:
                    direction.cancel()
                await asyncio.gather(*directions, return_exceptions=True)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            opened.discard(writer)
            for each in (writer, target_writer):
                if each is not None:
                    each.close()

    async def _copy(
        self, source: str, to: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Copies one direction, with the faults of its link, until the stream ends and all is passed on."""
        pair = source, to
        while True:
            data = await reader.read(CHUNK_BYTES)
            faults = self.links.get(pair, NO_FAULTS)
            delay_s = self._delay_s(faults) + (len(data) / faults.bytes_s if faults.bytes_s else 0.0)
            if delay_s:
                await asyncio.sleep(delay_s)
            while self.links.get(pair, NO_FAULTS).is_silent(time.monotonic()):
                await asyncio.sleep(CUT_POLL_S)
            if not data:
                return
            self.counts["bytes"] += len(data)
            writer.write(data)
            await writer.drain()


class PacketForwarder(asyncio.DatagramProtocol):
    def __init__(self, net: FaultProxy, node: NodePlan) -> None:
        self.net, self.name, self.bind = net, node.name, address(node.bind)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Address) -> None:
        source = self.net.by_host.get(addr[0], "")
        self.net.forward_packet(source, self.name, lambda: self.transport.sendto(data, self.bind))


def main() -> None:
    parser = arguments("net")
    parser.add_argument("--plan", type=Path, required=True)
    parser.add_argument("--script", type=Path)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--log", type=lambda path: open(path, "a"))  # noqa: SIM115  it stays open
    args = parser.parse_args()
    try:
        plan: Plan = msgspec.json.decode(args.plan.read_bytes(), type=Plan)
        raw_script = b"[]" if args.script is None else args.script.read_bytes()
        script: list[Command] = msgspec.json.decode(raw_script, type=list[Command])
    except msgspec.MsgspecError as error:
        parser.error(str(error))
    net = FaultProxy(plan, args.seed, args.log)

    async def start() -> asyncio.Server:
        server = await net.start(address(args.listen))
        net.start_task(net.run_script(script))
        return server

    serve(start)


if __name__ == "__main__":
    main()

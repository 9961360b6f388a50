"""The net of faults: what passes on a link, one way and both, and what a command may say."""

from __future__ import annotations

import asyncio
import os
import time

import msgspec
import pytest

from fakes.fault_proxy import Command, FaultProxy, Plan

from .loopback import until

BLOCK = f"127.{210 + os.getpid() % 40}"


class Peer(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.got: list[bytes] = []

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.got.append(data)


async def peers(net: FaultProxy, port: int) -> list[tuple[asyncio.DatagramTransport, Peer]]:
    await net.start(("127.0.0.1", 0))
    loop = asyncio.get_running_loop()
    made = [await loop.create_datagram_endpoint(Peer, (f"{BLOCK}.1.{n}", port)) for n in range(3)]
    return list(made)


def plan(port: int) -> Plan:
    return msgspec.convert(
        {
            "nodes": [
                {"name": name, "zone": zone, "bind": f"{BLOCK}.1.{n}:{port}", "at": f"{BLOCK}.2.{n}:{port}"}
                for n, (name, zone) in enumerate((("a", "x"), ("b", "x"), ("c", "y")))
            ]
        },
        type=Plan,
    )


def test_packets_are_cut_one_way_lost_doubled_and_late_by_link() -> None:
    async def work() -> None:
        net = FaultProxy(plan(7411), 3)
        (a, got_a), (b, got_b), (c, got_c) = await peers(net, 7411)

        async def say(source: asyncio.DatagramTransport, to: int, *words: bytes) -> None:
            for word in words:
                source.sendto(word, (f"{BLOCK}.2.{to}", 7411))
            await asyncio.sleep(0.05)

        await say(a, 1, b"1")
        assert got_b.got == [b"1"]
        net.command(Command("set", source="a", to="b", cut=True))
        await say(a, 1, b"2")
        await say(b, 0, b"3")
        await say(a, 2, b"4")
        assert (got_b.got, got_a.got, got_c.got) == ([b"1"], [b"3"], [b"4"])
        net.command(Command("heal"))
        net.command(Command("set", source="zone:x", to="zone:y", loss=0.5))
        await say(a, 2, *(b"%d" % n for n in range(200)))
        assert 60 < len(got_c.got) < 140
        net.command(Command("set", source="*", to="c", twice=1.0))
        got_c.got.clear()
        await say(b, 2, b"5", b"6")
        assert sorted(got_c.got) == [b"5", b"5", b"6", b"6"]
        net.command(Command("set", source="*", to="*", delay_ms=150))
        begun = time.monotonic()
        await say(c, 0, b"7")
        await until(lambda: b"7" in got_a.got)
        assert time.monotonic() - begun >= 0.15
        for transport in (a, b, c):
            transport.close()

    asyncio.run(asyncio.wait_for(work(), 30.0))


def test_connections_wait_on_a_cut_link_and_end_on_a_reset() -> None:
    async def work() -> None:
        net = FaultProxy(plan(7412), 3)
        made = await peers(net, 7412)

        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(100):
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, f"{BLOCK}.1.1", 7412)
        reader, writer = await asyncio.open_connection(f"{BLOCK}.2.1", 7412, local_addr=(f"{BLOCK}.1.0", 0))
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        net.command(Command("set", source="b", to="a", cut=True))
        writer.write(b"two")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(3), 0.2)
        net.command(Command("heal"))
        assert await reader.readexactly(3) == b"two"
        net.command(Command("reset", source="a", to="b"))
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        assert net.command(Command("count"))["bytes"] == 12
        server.close()
        for transport, _ in made:
            transport.close()

    asyncio.run(asyncio.wait_for(work(), 30.0))


@pytest.mark.parametrize(
    ("told", "said"),
    [
        (Command("sit"), "do: 'sit'"),
        (Command("set", source="nobody"), "'nobody' is no node"),
        (Command("set", to="zone:q"), "'zone:q' is no node, zone or"),
    ],
)
def test_a_faulty_command_is_told_and_changes_nothing(told: Command, said: str) -> None:
    net = FaultProxy(plan(7413), 1)
    with pytest.raises(ValueError, match=said):
        net.command(told)
    assert net.links == {}

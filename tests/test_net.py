"""Tests the fault proxy: traffic on faulty links, in one or both directions, and the checks of commands."""

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
        self.received: list[bytes] = []

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.received.append(data)


async def peers(proxy: FaultProxy, port: int) -> list[tuple[asyncio.DatagramTransport, Peer]]:
    await proxy.start(("127.0.0.1", 0))
    loop = asyncio.get_running_loop()
    endpoints = [await loop.create_datagram_endpoint(Peer, (f"{BLOCK}.1.{n}", port)) for n in range(3)]
    return list(endpoints)


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


def test_a_link_drops_one_direction_loses_duplicates_and_delays_packets() -> None:
    async def work() -> None:
        proxy = FaultProxy(plan(7411), 3)
        (a, peer_a), (b, peer_b), (c, peer_c) = await peers(proxy, 7411)

        async def send(source: asyncio.DatagramTransport, to: int, *payloads: bytes) -> None:
            for payload in payloads:
                source.sendto(payload, (f"{BLOCK}.2.{to}", 7411))
            await asyncio.sleep(0.05)

        await send(a, 1, b"1")
        assert peer_b.received == [b"1"]
        proxy.command(Command("set", source="a", to="b", cut=True))
        await send(a, 1, b"2")
        await send(b, 0, b"3")
        await send(a, 2, b"4")
        assert (peer_b.received, peer_a.received, peer_c.received) == ([b"1"], [b"3"], [b"4"])
        proxy.command(Command("heal"))
        proxy.command(Command("set", source="zone:x", to="zone:y", loss=0.5))
        await send(a, 2, *(b"%d" % n for n in range(200)))
        assert 60 < len(peer_c.received) < 140
        proxy.command(Command("set", source="*", to="c", twice=1.0))
        peer_c.received.clear()
        await send(b, 2, b"5", b"6")
        assert sorted(peer_c.received) == [b"5", b"5", b"6", b"6"]
        proxy.command(Command("set", source="*", to="*", delay_ms=150))
        started_at = time.monotonic()
        await send(c, 0, b"7")
        await until(lambda: b"7" in peer_a.received)
        assert time.monotonic() - started_at >= 0.15
        for transport in (a, b, c):
            transport.close()

    asyncio.run(asyncio.wait_for(work(), 30.0))


def test_connections_stall_on_a_cut_link_and_end_on_a_reset() -> None:
    async def work() -> None:
        proxy = FaultProxy(plan(7412), 3)
        endpoints = await peers(proxy, 7412)

        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(100):
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, f"{BLOCK}.1.1", 7412)
        reader, writer = await asyncio.open_connection(f"{BLOCK}.2.1", 7412, local_addr=(f"{BLOCK}.1.0", 0))
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        proxy.command(Command("set", source="b", to="a", cut=True))
        writer.write(b"two")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(3), 0.2)
        proxy.command(Command("heal"))
        assert await reader.readexactly(3) == b"two"
        proxy.command(Command("reset", source="a", to="b"))
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        assert proxy.command(Command("count"))["bytes"] == 12
        server.close()
        for transport, _ in endpoints:
            transport.close()

    asyncio.run(asyncio.wait_for(work(), 30.0))


@pytest.mark.parametrize(
    ("command", "error_text"),
    [
        (Command("sit"), "do: 'sit'"),
        (Command("set", source="nobody"), "'nobody' is no node"),
        (Command("set", to="zone:q"), "'zone:q' is no node, zone or"),
    ],
)
def test_an_invalid_command_is_rejected_and_changes_nothing(command: Command, error_text: str) -> None:
    proxy = FaultProxy(plan(7413), 1)
    with pytest.raises(ValueError, match=error_text):
        proxy.command(command)
    assert proxy.links == {}

"""Delivery by HTTP and by AMQP side by side, intake from a queue, and what one dead broker costs the others.

    python -m benchmarks.amqp [--json] [--seconds 4] [--rounds 2] [--messages 3000] [--kills 0]

One relay process with an operator's file; destination 1 is `fakes.endpoint` or a queue of
`fakes.amqp_broker`,
which confirms at once. `delivered/s` and `CPU ms` at saturation (24 clients on kept connections, 64 held),
then open loop at half of that: waits from the intended moment to the 202. `intake`: messages that lie in one
broker's queue go out by another's; a second until all are out. Two brokers, half of all messages to each: the
open-loop waits, and deliveries of the first, while both answer and while the second takes connections and
never speaks. `--kills N` instead kills the relay so often while work comes in by one broker and leaves by
another, which loses confirms, stalls, refuses and cuts by chance, and counts what the ledgers say.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pika

from emulator.live import free_ports
from emulator.load import Load, Plan
from emulator.load import run as load
from message_relay.amqp.settings import AmqpSettings, BrokerSettings, EndpointSettings
from message_relay.amqp.transport import BrokerPublisher
from message_relay.core.ports import Attempt
from message_relay.decisions.model import Outcome

from . import processes
from .relay import CLIENTS, Client, cpu_s, rss_mb, settings, standin
from .report import report

HELD = 64
PATIENCE_S = 60.0


@dataclass
class Relay:
    pid: int
    port: int
    ledger: Path

    def delivered(self) -> int:
        return sum(1 for _ in self.ledger.open()) if self.ledger.exists() else 0


def operators(
    folder: Path, brokers: dict[str, str], endpoints: dict[int, tuple[str, str]], queue: str
) -> str:
    out = [f'[[amqp.brokers]]\nname = "{name}"\nhosts = ["{at}"]' for name, at in brokers.items()]
    out += [
        f'[[amqp.endpoints]]\nname = "e{dest}"\ndestination = {dest}\nbroker = "{broker}"\n'
        f'routing_key = "{key}"\nrate = 1e6'
        for dest, (broker, key) in endpoints.items()
    ]
    if queue:
        out.append(f'[[amqp.queues]]\nbroker = "{queue}"\nqueue = "in"\nprefetch = 50')
    path = folder / "relay.toml"
    path.write_text("\n".join(out) + "\n")
    return str(path)


@contextlib.asynccontextmanager
async def relay(
    folder: Path, partner: str, operator: str, held: int = HELD, told: dict[str, Any] | None = None
) -> AsyncIterator[Relay]:
    (port,) = free_ports(1)
    entries = (
        []
        if not partner
        else [
            {
                "instanceId": "s-1",
                "hostPort": partner,
                "zone": "z",
                "machineType": "k",
                "cell": 1,
                "lifecycle": "ready",
                "weight": 1e6,
                "startedAtMs": 0,
            }
        ]
    )
    listing = {"generation": 1, "reset": True, "instances": entries}
    (folder / "list").write_text(json.dumps(listing))
    (folder / "state").mkdir(exist_ok=True)
    with standin("fakes.discovery_agent", "--list", str(folder / "list")) as agent:
        (folder / "config.json").write_text(
            json.dumps(
                {
                    "name": "b",
                    "listen": f"127.0.0.1:{port}",
                    "discovery": agent,
                    "seed": "1",
                    "state": str(folder / "state"),
                    "settings": told or settings(held),
                    "known": listing,
                    "limits": {"sockets": 1024, "memory_mb": 192, "disk_mb": 200},
                }
            )
        )
        process = subprocess.Popen(
            [sys.executable, "-m", "message_relay"],
            stderr=subprocess.DEVNULL,
            env={**os.environ, "RELAY_CONFIG": str(folder / "config.json"), "RELAY_OPERATOR": operator},
        )
        try:
            ends = time.monotonic() + PATIENCE_S
            while time.monotonic() < ends:
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.close()
                    break
                await asyncio.sleep(0.05)
            yield Relay(process.pid, port, folder / "ledger")
        finally:
            process.send_signal(signal.SIGTERM)
            process.wait()


async def saturated(it: Relay, seconds: float) -> dict[str, Any]:
    begun = time.perf_counter()
    clients = [Client(n, it.port, begun + 1.5 + seconds) for n in range(CLIENTS)]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(1.5)
    cpu, at, before = cpu_s(it.pid), time.perf_counter(), it.delivered()
    await asyncio.sleep(seconds)
    done, took, spent = it.delivered() - before, time.perf_counter() - at, cpu_s(it.pid) - cpu
    rss = rss_mb(it.pid)
    await asyncio.gather(*tasks)
    return {"delivered/s": done / took, "CPU ms": 1000 * spent / max(1, done), "RSS MB": rss}


async def opened(it: Relay, rate: float, seconds: float, destinations: int = 1) -> Load:
    plan = Plan(
        (("127.0.0.1", it.port),),
        rate,
        seconds,
        destinations=destinations,
        classes=(("order", 0.75, 16000.0), ("status", 0.25, 8000.0)),
    )
    return await asyncio.to_thread(load, plan)


async def side(kind: str, seconds: float) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as name, contextlib.ExitStack() as stack:
        folder = Path(name)
        ledger = ("--ledger", str(folder / "ledger"))
        partner = stack.enter_context(standin("fakes.endpoint", *ledger)) if kind == "HTTP" else ""
        brokers, endpoints = {}, {}
        if kind == "AMQP":
            brokers = {"b": stack.enter_context(standin("fakes.amqp_broker", "--queue", "q", *ledger))}
            endpoints = {1: ("b", "q")}
        async with relay(folder, partner, operators(folder, brokers, endpoints, "")) as it:
            row = {"kind": kind, **await saturated(it, seconds)}
            found = await opened(it, row["delivered/s"] / 2, seconds)
            return {
                **row,
                "p50": found.ms(50),
                "p99": found.ms(99),
                "p999": found.ms(99.9),
                "limit": found.limit,
            }


def fill(at: str, messages: int, classes: Sequence[str] = ("order",), reply: str | None = None) -> None:
    host, _, port = at.partition(":")
    connection = pika.BlockingConnection(pika.ConnectionParameters(host, int(port)))
    channel = connection.channel()
    for n in range(messages):
        headers = {"destination": "1", "tenant": "t", "idempotency-key": f"k{n}"}
        channel.basic_publish(
            "",
            "in",
            b"x" * 300,
            pika.BasicProperties(
                message_id=f"m{n}",
                type=classes[n % len(classes)],
                headers=headers,
                expiration="6000" if reply else "60000",
                reply_to=reply,
            ),
        )
    connection.close()


async def intake(messages: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as name, contextlib.ExitStack() as stack:
        folder = Path(name)
        inward = stack.enter_context(standin("fakes.amqp_broker", "--queue", "in"))
        outward = stack.enter_context(
            standin("fakes.amqp_broker", "--queue", "q", "--ledger", str(folder / "ledger"))
        )
        await asyncio.to_thread(fill, inward, messages)
        told = operators(folder, {"a": inward, "b": outward}, {1: ("b", "q")}, "a")
        async with relay(folder, "", told, held=300) as it:
            begun, cpu = time.perf_counter(), cpu_s(it.pid)
            while it.delivered() < messages and time.perf_counter() < begun + PATIENCE_S:
                await asyncio.sleep(0.02)
            took = time.perf_counter() - begun
            return {
                "what": "intake",
                "a second": it.delivered() / took,
                "CPU ms": 1000 * (cpu_s(it.pid) - cpu) / max(1, it.delivered()),
                "p50": 0.0,
                "p99": 0.0,
            }


async def stalled(mute: bool, seconds: float) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as name, contextlib.ExitStack() as stack:
        folder = Path(name)
        good = stack.enter_context(
            standin("fakes.amqp_broker", "--queue", "q", "--ledger", str(folder / "ledger"))
        )
        other = stack.enter_context(
            standin("fakes.amqp_broker", "--queue", "q", *(["--mute"] if mute else []))
        )
        told = operators(folder, {"a": good, "b": other}, {1: ("a", "q"), 2: ("b", "q")}, "")
        async with relay(folder, "", told, held=600) as it:
            cpu = cpu_s(it.pid)
            found = await opened(it, 100.0, seconds, destinations=2)
            return {
                "what": "one of two is dead" if mute else "both answer",
                "a second": it.delivered() / (seconds + 1),
                "CPU ms": 1000 * (cpu_s(it.pid) - cpu) / max(1, sum(found.answers.values())),
                "p50": found.ms(50),
                "p99": found.ms(99),
            }


CLASSES = ("order", "pay", "status")


def rough() -> dict[str, Any]:
    told = processes.settings(0.4)
    told["extra"]["call-slots"], told["limits"]["open-cap"] = 32, 200
    told["safety"]["cold-from"], told["safety"]["cold-ms"] = 1.0, 0.0
    return told


def answers(at: str) -> dict[str, set[str]]:
    """The states that were told, by message."""
    host, _, port = at.partition(":")
    connection = pika.BlockingConnection(pika.ConnectionParameters(host, int(port)))
    channel, found = connection.channel(), dict[str, set[str]]()
    for method, _, body in channel.consume("answers", inactivity_timeout=0.5):
        if method is None:
            break
        end = json.loads(body)
        found.setdefault(end["id"], set()).add(end["state"])
        channel.basic_ack(method.delivery_tag)
    connection.close()
    return found


async def kills(messages: int, times: int, seed: int) -> dict[str, Any]:
    rng, begun = random.Random(seed), time.monotonic()
    with tempfile.TemporaryDirectory() as name, contextlib.ExitStack() as stack:
        folder = Path(name)
        inward = stack.enter_context(standin("fakes.amqp_broker", "--queue", "in", "--queue", "answers"))
        outward = stack.enter_context(
            standin(
                "fakes.amqp_broker",
                "--queue",
                "q",
                "--ledger",
                str(folder / "ledger"),
                "--seed",
                str(seed),
                "--drop",
                "0.01",
                "--stall",
                "0.02",
                "--stall-ms",
                "150",
                "--refuse",
                "0.03",
                "--nack",
                "0.01",
                "--close-after",
                "0.001",
                "--cut-before",
                "0.0005",
                "--cut-after",
                "0.0005",
                "--half",
                "0.0005",
            )
        )
        await asyncio.to_thread(fill, inward, messages, CLASSES, "answers")
        told = operators(folder, {"a": inward, "b": outward}, {1: ("b", "q")}, "a")
        for _ in range(times):
            async with relay(folder, "", told, told=rough()) as it:
                await asyncio.sleep(rng.uniform(0.2, 1.2))
                os.kill(it.pid, signal.SIGKILL)
        async with relay(folder, "", told, told=rough()) as it:
            seen, quiet_since = -1, time.monotonic()
            while time.monotonic() - quiet_since < 8.0:  # longer than any message has
                if it.delivered() != seen:
                    seen, quiet_since = it.delivered(), time.monotonic()
                await asyncio.sleep(0.1)
        effects = Counter(line.split()[1] for line in (folder / "ledger").read_text().splitlines())
        ends = await asyncio.to_thread(answers, inward)
    every = {f"m{n}": CLASSES[n % len(CLASSES)] for n in range(messages)}
    return {
        "messages": messages,
        "kills": times,
        "seconds": time.monotonic() - begun,
        "took effect": len(effects),
        "answered": len(ends),
        "without an end": sum(ident not in effects and ident not in ends for ident in every),
        "told two ends": sum(len(states) > 1 for states in ends.values()),
        "unsafe twice": sum(count > 1 for ident, count in effects.items() if every[ident] == "pay"),
        "unsafe returned, and ran": sum(
            "returned" in states and effects[ident] > 0
            for ident, states in ends.items()
            if every[ident] == "pay"
        ),
    }


async def connections(count: int) -> dict[str, Any]:
    """What so many connections of one process take, each with its channel and one publish made."""
    with standin("fakes.amqp_broker", "--queue", "q") as at:
        parts = [BrokerSettings(f"b{n}", [at]) for n in range(count)]
        targets = [EndpointSettings(f"e{n}", n, f"b{n}", "q") for n in range(count)]
        out, before = BrokerPublisher(AmqpSettings(parts, targets), random.Random(1)), rss_mb(os.getpid())
        loop = asyncio.get_running_loop()
        made = await asyncio.gather(
            *(
                out.attempt(
                    Attempt(n, (f"amqp:e{n}", 0), f"m{n}", None, b"x", loop.time() + 30, lambda: True)
                )
                for n in range(count)
            )
        )
        assert all(each.outcome is Outcome.OK for each in made)
        taken = rss_mb(os.getpid()) - before
        out.close()
        await asyncio.sleep(0.1)
        return {
            "what": f"{count} connections",
            "a second": 0.0,
            "CPU ms": 0.0,
            "p50": 0.0,
            "p99": 0.0,
            "KB a connection": 1024 * taken / count,
        }


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.amqp")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--messages", type=int, default=3000)
    parser.add_argument("--kills", type=int, default=0)
    args = parser.parse_args()
    if args.kills:
        rows = [asyncio.run(kills(args.messages, args.kills, seed)) for seed in range(args.rounds)]
        report(
            rows,
            args.json,
            ("messages  kills  took effect  answered  without an end  told two  unsafe twice",),
            "{messages:8}{kills:7}{took effect:13}{answered:10}{without an end:16}{told two ends:10}"
            "{unsafe twice:14}",
        )
        return 0
    rows = [asyncio.run(side(kind, args.seconds)) for _ in range(args.rounds) for kind in ("HTTP", "AMQP")]
    others = [
        asyncio.run(intake(args.messages)),
        *(asyncio.run(stalled(mute, 2 * args.seconds)) for mute in (False, True)),
    ]
    memory = asyncio.run(connections(200))
    if args.json:
        report([*rows, *others, memory], True, (), "")
        return 0
    report(
        rows,
        False,
        ("kind  delivered/s  CPU ms  RSS MB    p50    p99  p99.9  limit (open loop at half load, ms)",),
        "{kind:6}{delivered/s:11.0f}{CPU ms:8.2f}{RSS MB:8.1f}{p50:7.2f}{p99:7.2f}{p999:7.2f}  {limit}",
    )
    report(
        others,
        False,
        ("", "what                a second  CPU ms    p50    p99"),
        "{what:20}{a second:8.0f}{CPU ms:8.2f}{p50:7.2f}{p99:7.2f}",
    )
    print(f"a connection takes {memory['KB a connection']:.0f} KB")
    return 0


if __name__ == "__main__":
    sys.exit(main())

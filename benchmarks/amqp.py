"""Compares delivery by HTTP and by AMQP, and measures intake from a queue and the effect of a dead broker.

    python -m benchmarks.amqp [--json] [--seconds 4] [--rounds 2] [--messages 3000] [--kills 0]

One relay process with an operator's file; destination 1 is `fakes.endpoint` or a queue of
`fakes.amqp_broker`, which confirms at once. `delivered/s` and `CPU ms` are measured at saturation (24 clients
on persistent connections, 64 pending messages); then, open loop at half that rate, the latencies from the
scheduled submission time to the 202. `intake`: messages wait in one broker's queue and are delivered to
another broker; `a second` is the rate until all are delivered. Two brokers that get half of all messages
each: the open-loop latencies, and the deliveries to the first, while both answer and while the second accepts
connections and never sends anything. `--kills N` instead kills the relay N times while messages come in from
one broker and go to another, which randomly loses confirms, stalls, refuses and drops connections, and counts
the outcomes by the ledgers.
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
from .relay import CLIENTS, Client, cpu_s, rss_mb, settings, start_fake
from .report import report

CAP = 64
PATIENCE_S = 60.0


@dataclass
class Relay:
    pid: int
    port: int
    ledger: Path

    def delivered(self) -> int:
        return sum(1 for _ in self.ledger.open()) if self.ledger.exists() else 0


def write_operator_file(
    folder: Path, brokers: dict[str, str], endpoints: dict[int, tuple[str, str]], queue: str
) -> str:
    sections = [
        f'[[amqp.brokers]]\nname = "{name}"\nhosts = ["{address}"]' for name, address in brokers.items()
    ]
    sections += [
        f'[[amqp.endpoints]]\nname = "e{dest}"\ndestination = {dest}\nbroker = "{broker}"\n'
        f'routing_key = "{key}"\nrate = 1e6'
        for dest, (broker, key) in endpoints.items()
    ]
    if queue:
        sections.append(f'[[amqp.queues]]\nbroker = "{queue}"\nqueue = "in"\nprefetch = 50')
    path = folder / "relay.toml"
    path.write_text("\n".join(sections) + "\n")
    return str(path)


@contextlib.asynccontextmanager
async def relay(
    folder: Path, partner: str, operator: str, cap: int = CAP, relay_settings: dict[str, Any] | None = None
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
    with start_fake("fakes.discovery_agent", "--list", str(folder / "list")) as agent:
        (folder / "config.json").write_text(
            json.dumps(
                {
                    "name": "b",
                    "listen": f"127.0.0.1:{port}",
                    "discovery": agent,
                    "seed": "1",
                    "state": str(folder / "state"),
                    "settings": relay_settings or settings(cap),
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
            ends_at = time.monotonic() + PATIENCE_S
            while time.monotonic() < ends_at:
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.close()
                    break
                await asyncio.sleep(0.05)
            yield Relay(process.pid, port, folder / "ledger")
        finally:
            process.send_signal(signal.SIGTERM)
            await asyncio.to_thread(process.wait)  # brokers of this process answer meanwhile


async def measure_saturated(target: Relay, seconds: float) -> dict[str, Any]:
    started_at = time.perf_counter()
    clients = [Client(n, target.port, started_at + 1.5 + seconds) for n in range(CLIENTS)]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(1.5)
    cpu_before, measured_from, delivered_before = cpu_s(target.pid), time.perf_counter(), target.delivered()
    await asyncio.sleep(seconds)
    delivered, elapsed_s, cpu_used = (
        target.delivered() - delivered_before,
        time.perf_counter() - measured_from,
        cpu_s(target.pid) - cpu_before,
    )
    rss = rss_mb(target.pid)
    await asyncio.gather(*tasks)
    return {
        "delivered/s": delivered / elapsed_s,
        "CPU ms": 1000 * cpu_used / max(1, delivered),
        "RSS MB": rss,
    }


async def open_loop(target: Relay, rate: float, seconds: float, destinations: int = 1) -> Load:
    plan = Plan(
        (("127.0.0.1", target.port),),
        rate,
        seconds,
        destinations=destinations,
        classes=(("order", 0.75, 16000.0), ("status", 0.25, 8000.0)),
    )
    return await asyncio.to_thread(load, plan)


async def measure_transport(kind: str, seconds: float) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as name, contextlib.ExitStack() as stack:
        folder = Path(name)
        ledger = ("--ledger", str(folder / "ledger"))
        partner = stack.enter_context(start_fake("fakes.endpoint", *ledger)) if kind == "HTTP" else ""
        brokers, endpoints = {}, {}
        if kind == "AMQP":
            brokers = {"b": stack.enter_context(start_fake("fakes.amqp_broker", "--queue", "q", *ledger))}
            endpoints = {1: ("b", "q")}
        async with relay(folder, partner, write_operator_file(folder, brokers, endpoints, "")) as target:
            row = {"kind": kind, **await measure_saturated(target, seconds)}
            result = await open_loop(target, row["delivered/s"] / 2, seconds)
            return {
                **row,
                "p50": result.ms(50),
                "p99": result.ms(99),
                "p999": result.ms(99.9),
                "limit": result.limit,
            }


def fill_queue(
    address: str, messages: int, classes: Sequence[str] = ("order",), reply: str | None = None
) -> None:
    host, _, port = address.partition(":")
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
        source = stack.enter_context(start_fake("fakes.amqp_broker", "--queue", "in"))
        sink = stack.enter_context(
            start_fake("fakes.amqp_broker", "--queue", "q", "--ledger", str(folder / "ledger"))
        )
        await asyncio.to_thread(fill_queue, source, messages)
        operator_file = write_operator_file(folder, {"a": source, "b": sink}, {1: ("b", "q")}, "a")
        async with relay(folder, "", operator_file, cap=300) as target:
            started_at, cpu_before = time.perf_counter(), cpu_s(target.pid)
            while target.delivered() < messages and time.perf_counter() < started_at + PATIENCE_S:
                await asyncio.sleep(0.02)
            elapsed_s = time.perf_counter() - started_at
            return {
                "what": "intake",
                "a second": target.delivered() / elapsed_s,
                "CPU ms": 1000 * (cpu_s(target.pid) - cpu_before) / max(1, target.delivered()),
                "p50": 0.0,
                "p99": 0.0,
            }


async def measure_two_brokers(unresponsive: bool, seconds: float) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as name, contextlib.ExitStack() as stack:
        folder = Path(name)
        live_broker = stack.enter_context(
            start_fake("fakes.amqp_broker", "--queue", "q", "--ledger", str(folder / "ledger"))
        )
        other_broker = stack.enter_context(
            start_fake("fakes.amqp_broker", "--queue", "q", *(["--mute"] if unresponsive else []))
        )
        operator_file = write_operator_file(
            folder, {"a": live_broker, "b": other_broker}, {1: ("a", "q"), 2: ("b", "q")}, ""
        )
        async with relay(folder, "", operator_file, cap=600) as target:
            cpu_before = cpu_s(target.pid)
            result = await open_loop(target, 100.0, seconds, destinations=2)
            return {
                "what": "one of two is dead" if unresponsive else "both answer",
                "a second": target.delivered() / (seconds + 1),
                "CPU ms": 1000 * (cpu_s(target.pid) - cpu_before) / max(1, sum(result.answers.values())),
                "p50": result.ms(50),
                "p99": result.ms(99),
            }


CLASSES = ("order", "pay", "status")


def kill_settings() -> dict[str, Any]:
    raw = processes.settings(0.4)
    raw["extra"]["call-slots"], raw["limits"]["open-cap"] = 32, 200
    raw["safety"]["cold-from"], raw["safety"]["cold-ms"] = 1.0, 0.0
    return raw


def answers(address: str) -> dict[str, set[str]]:
    """Maps each message to the final states that were published to the queue `answers`."""
    host, _, port = address.partition(":")
    connection = pika.BlockingConnection(pika.ConnectionParameters(host, int(port)))
    channel, states = connection.channel(), dict[str, set[str]]()
    for method, _, body in channel.consume("answers", inactivity_timeout=0.5):
        if method is None:
            break
        answer = json.loads(body)
        states.setdefault(answer["id"], set()).add(answer["state"])
        channel.basic_ack(method.delivery_tag)
    connection.close()
    return states


async def kills(messages: int, times: int, seed: int) -> dict[str, Any]:
    rng, started_at = random.Random(seed), time.monotonic()
    with tempfile.TemporaryDirectory() as name, contextlib.ExitStack() as stack:
        folder = Path(name)
        source = stack.enter_context(start_fake("fakes.amqp_broker", "--queue", "in", "--queue", "answers"))
        sink = stack.enter_context(
            start_fake(
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
        await asyncio.to_thread(fill_queue, source, messages, CLASSES, "answers")
        operator_file = write_operator_file(folder, {"a": source, "b": sink}, {1: ("b", "q")}, "a")
        for _ in range(times):
            async with relay(folder, "", operator_file, relay_settings=kill_settings()) as target:
                await asyncio.sleep(rng.uniform(0.2, 1.2))
                os.kill(target.pid, signal.SIGKILL)
        async with relay(folder, "", operator_file, relay_settings=kill_settings()) as target:
            last_count, unchanged_since = -1, time.monotonic()
            while time.monotonic() - unchanged_since < 8.0:  # longer than any message's deadline
                if target.delivered() != last_count:
                    last_count, unchanged_since = target.delivered(), time.monotonic()
                await asyncio.sleep(0.1)
        effects = Counter(line.split()[1] for line in (folder / "ledger").read_text().splitlines())
        ends = await asyncio.to_thread(answers, source)
    classes = {f"m{n}": CLASSES[n % len(CLASSES)] for n in range(messages)}
    return {
        "messages": messages,
        "kills": times,
        "seconds": time.monotonic() - started_at,
        "took effect": len(effects),
        "answered": len(ends),
        "without an end": sum(message_id not in effects and message_id not in ends for message_id in classes),
        "told two ends": sum(len(states) > 1 for states in ends.values()),
        "unsafe twice": sum(
            count > 1 for message_id, count in effects.items() if classes[message_id] == "pay"
        ),
        "unsafe returned, and ran": sum(
            "returned" in states and effects[message_id] > 0
            for message_id, states in ends.items()
            if classes[message_id] == "pay"
        ),
    }


async def connections(count: int) -> dict[str, Any]:
    """Measures the memory of `count` connections of one process, each with a channel and one publish."""
    with start_fake("fakes.amqp_broker", "--queue", "q") as address:
        brokers = [BrokerSettings(f"b{n}", [address]) for n in range(count)]
        endpoints = [EndpointSettings(f"e{n}", n, f"b{n}", "q") for n in range(count)]
        publisher, rss_before = (
            BrokerPublisher(AmqpSettings(brokers, endpoints), random.Random(1)),
            rss_mb(os.getpid()),
        )
        loop = asyncio.get_running_loop()
        results = await asyncio.gather(
            *(
                publisher.attempt(
                    Attempt(n, (f"amqp:e{n}", 0), f"m{n}", None, b"x", loop.time() + 30, lambda: True)
                )
                for n in range(count)
            )
        )
        assert all(result.outcome is Outcome.OK for result in results)
        rss_growth = rss_mb(os.getpid()) - rss_before
        publisher.close()
        await asyncio.sleep(0.1)
        return {
            "what": f"{count} connections",
            "a second": 0.0,
            "CPU ms": 0.0,
            "p50": 0.0,
            "p99": 0.0,
            "KB a connection": 1024 * rss_growth / count,
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
    rows = [
        asyncio.run(measure_transport(kind, args.seconds))
        for _ in range(args.rounds)
        for kind in ("HTTP", "AMQP")
    ]
    others = [
        asyncio.run(intake(args.messages)),
        *(asyncio.run(measure_two_brokers(unresponsive, 2 * args.seconds)) for unresponsive in (False, True)),
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

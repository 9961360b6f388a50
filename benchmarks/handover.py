"""Measures how long a message from a queue takes until its effect, by class and by the way to the broker.

    python -m benchmarks.handover [--json] [--rate 50] [--seconds 10] [--rounds 2]

One relay process consumes from one broker and delivers to another, both in this process. Bytes take the given
time to the first broker and back. `p50` and `p99` are the times from the publish to the effect, in ms:
`order` may be repeated only with its key, so that its first attempt waits until the broker has processed its
ack; `status` may be repeated and does not wait. `CPU ms` is the processor time of the relay for each message.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from pamqp import commands

from fakes.amqp_broker import Broker, Message, Session

from .amqp import relay, write_operator_file
from .relay import cpu_s
from .report import quantile, report

CLASSES = ("order", "status")
ONE_WAY_MS = (0.0, 10.0, 20.0)
PATIENCE_S = 30.0


class DistantSession(Session):
    """A connection whose bytes take a while in each direction."""

    one_way_s = 0.0

    def data_received(self, data: bytes) -> None:
        asyncio.get_running_loop().call_later(self.one_way_s, super().data_received, data)

    def send(self, value: Any, number: int = 0) -> None:
        asyncio.get_running_loop().call_later(self.one_way_s, super().send, value, number)


class TimedBroker(Broker):
    """Notes when each message had its effects."""

    def __init__(self) -> None:
        super().__init__()
        self.effect_times: dict[str, list[float]] = {}

    def route(self, message: Message) -> bool:
        self.effect_times.setdefault(str(message.properties.message_id), []).append(time.monotonic())
        return super().route(message)


def publish(source: Broker, number: int, class_name: str, **properties: Any) -> None:
    """Puts message `number` into the queue; `properties` are further ones of AMQP."""
    headers: dict[str, Any] = {"destination": "1", "tenant": "t", "idempotency-key": f"k{number}"}
    content = commands.Basic.Properties(
        message_id=f"m{number}", message_type=class_name, headers=headers, **properties
    )
    source.route(Message("", "in", content, b"x" * 300))


async def measure(one_way_ms: float, rate: float, seconds: float) -> list[dict[str, Any]]:
    """Measures one relay; returns a row for each class."""
    loop = asyncio.get_running_loop()
    source, sink = Broker(), TimedBroker()
    queue = source.declare("in")
    sink.declare("q")
    DistantSession.one_way_s = one_way_ms / 1000
    source_server = await loop.create_server(lambda: DistantSession(source), "127.0.0.1", 0)
    sink_server = await loop.create_server(lambda: Session(sink), "127.0.0.1", 0)
    addresses = {
        name: f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        for name, server in (("a", source_server), ("b", sink_server))
    }
    with tempfile.TemporaryDirectory() as name:
        operator = write_operator_file(Path(name), addresses, {1: ("b", "q")}, "a")
        async with relay(Path(name), "", operator, cap=300) as target:
            while not queue.consumers:
                await asyncio.sleep(0.02)
            published, cpu_before = dict[str, float](), cpu_s(target.pid)
            started_at = time.monotonic()
            for number in range(round(rate * seconds)):
                await asyncio.sleep(max(0.0, started_at + number / rate - time.monotonic()))
                published[f"m{number}"] = time.monotonic()
                publish(source, number, CLASSES[number % len(CLASSES)])
            give_up = time.monotonic() + PATIENCE_S
            while len(sink.effect_times) < len(published) and time.monotonic() < give_up:
                await asyncio.sleep(0.02)
            cpu_ms = 1000 * (cpu_s(target.pid) - cpu_before) / len(published)
    for server in (source_server, sink_server):
        server.close()
    rows = []
    for index, class_name in enumerate(CLASSES):
        times = [
            1000 * (sink.effect_times[message_id][0] - at)
            for message_id, at in published.items()
            if int(message_id[1:]) % len(CLASSES) == index and message_id in sink.effect_times
        ]
        rows.append(
            {
                "one way ms": one_way_ms,
                "class": class_name,
                "messages": len(times),
                "p50": quantile(times, 0.5),
                "p99": quantile(times, 0.99),
                "CPU ms": cpu_ms,
            }
        )
    return rows


def main() -> int:
    """Runs the rounds and prints a row for each class and distance."""
    parser = argparse.ArgumentParser(prog="benchmarks.handover")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--rate", type=float, default=50.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rounds", type=int, default=2)
    args = parser.parse_args()
    rows: list[dict[str, Any]] = []
    for _ in range(args.rounds):
        for one_way_ms in ONE_WAY_MS:
            rows += asyncio.run(measure(one_way_ms, args.rate, args.seconds))
    report(
        rows,
        args.json,
        ("one way ms  class   messages     p50     p99  CPU ms",),
        "{one way ms:10.0f}  {class:7}{messages:9}{p50:8.1f}{p99:8.1f}{CPU ms:8.2f}",
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Cuts brokers off and kills relays while both relays consume one queue, and asks the ledger what ran.

    python -m benchmarks.handover_soak [--json] [--seconds 60] [--seed 1] [--rate 60] [--durability none]

Two relay processes consume a queue of one broker, and each delivers to a broker of its own; the brokers run
in this process. At random moments the first broker loses all that arrives on a connection from some frame on,
or all that it sends, or both, and resets it up to 0.5 s later. Relays are killed, and started again on their
state folders, or stopped for a while (SIGSTOP) during which their connections may be reset. `twice`
counts messages that took effect twice: those of class `pay` must not, and an `order` only by the same relay,
while its destination knows its key. `failed, ran` counts those that took effect and were told to have failed.
`returned, ran` counts those that took effect although a client was told that they are safe to submit again,
unless it was told so by the relay that sent the `order`, while the destination knows its key. `no end` counts
messages that neither took effect nor were answered.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import math
import os
import random
import signal
import sys
import tempfile
import time
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any

from fakes.amqp_broker import Broker, Channel, Message, Session

from .amqp import kill_settings, relay, write_operator_file
from .handover import TimedBroker, publish
from .report import report

RELAY_NAMES = ("a", "b")
CLASSES = ("order", "pay", "status")
KEY_WINDOW_S = {"order": 4.0, "pay": 0.0}  # how long a destination knows the key of a message
EXPIRATIONS_MS = (800, 2000, 5000)
FRAMES_TO_CUT = (30, 400)  # frames of a connection until it is cut
MAX_SILENCE_S = 0.5  # from the cut of a connection until its reset
DISRUPTION_INTERVAL_S = (2.0, 6.0)  # from one kill or freeze of a relay to the next
FREEZE_S = (0.2, 3.0)
FREEZE_RESET_CHANCE = 0.5  # of a frozen relay: its connections are reset
KILL_CHANCE = 0.5  # else the relay is frozen
QUIET_S = 7.0  # without progress: longer than any message may wait
PATIENCE_S = 90.0  # after the last message


@dataclass(frozen=True, slots=True)
class Answer:
    """A final outcome, as a relay has published it."""

    relay: str
    message_id: str
    state: str
    at: float


@dataclass(frozen=True, slots=True)
class RelaySetup:
    """What a relay process is started with, and the broker that it delivers to."""

    name: str
    folder: Path
    operator: str
    sink: TimedBroker


class Cut(Enum):
    """What gets lost on a connection before it is reset."""

    RECEIVED = "all that arrives at the broker"
    SENT = "all that the broker sends"
    BOTH = "both"


class LossyBroker(Broker):
    """A broker that cuts each connection at a random moment, until there were `max_cuts`."""

    def __init__(
        self, seed: int, max_cuts: float = math.inf, frames_to_cut: tuple[int, int] = FRAMES_TO_CUT
    ) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.frames_to_cut = frames_to_cut
        self.max_cuts = max_cuts
        self.cuts = 0
        self.answers: list[Answer] = []


class LossySession(Session):
    """From a random frame on it loses what arrives, or what it sends; later it resets the connection."""

    broker: LossyBroker

    def __init__(self, broker: LossyBroker, relay_name: str = "") -> None:
        super().__init__(broker)
        self.relay_name = relay_name
        self.frames_left = broker.rng.randint(*broker.frames_to_cut)
        self.cut: Cut | None = None

    def handle_frame(self, number: int, frame_: Any) -> None:
        if self.cut is None and self.broker.cuts < self.broker.max_cuts:
            self.frames_left -= 1
            if self.frames_left <= 0:
                self.start_cut()
        # A broker never processes a frame of which it has lost an earlier one.
        if self.cut in (None, Cut.SENT):
            super().handle_frame(number, frame_)

    def start_cut(self) -> None:
        """Begins to lose bytes; the reset follows."""
        self.broker.cuts += 1
        self.cut = self.broker.rng.choice(list(Cut))
        delay_s = self.broker.rng.uniform(0.0, MAX_SILENCE_S)
        asyncio.get_running_loop().call_later(delay_s, self.transport.abort)

    def send(self, value: Any, number: int = 0) -> None:
        if self.cut in (None, Cut.RECEIVED):
            super().send(value, number)

    def published(self, channel: Channel, message: Message) -> None:
        outcome = json.loads(message.body)
        answer = Answer(self.relay_name, outcome["id"], outcome["state"], time.monotonic())
        self.broker.answers.append(answer)
        super().published(channel, message)


@dataclass(slots=True)
class Disruptions:
    """How often relays were disrupted."""

    kills: int = 0
    freezes: int = 0


async def run_relay(
    setup: RelaySetup, source: LossyBroker, rng: random.Random, disruptions_end: asyncio.Event
) -> Disruptions:
    """Runs one relay; kills or freezes it at random moments."""
    disruptions = Disruptions()
    while not disruptions_end.is_set():
        async with relay(setup.folder, "", setup.operator, relay_settings=kill_settings()) as target:
            while True:
                try:
                    await asyncio.wait_for(disruptions_end.wait(), rng.uniform(*DISRUPTION_INTERVAL_S))
                    break
                except TimeoutError:
                    pass
                if rng.random() < KILL_CHANCE:
                    disruptions.kills += 1
                    os.kill(target.pid, signal.SIGKILL)
                    break
                disruptions.freezes += 1
                await freeze(target.pid, setup.name, source, rng)
    return disruptions


async def freeze(pid: int, relay_name: str, source: LossyBroker, rng: random.Random) -> None:
    """Stops a relay for a while; in some cases its broker resets its connections meanwhile."""
    os.kill(pid, signal.SIGSTOP)
    try:
        await asyncio.sleep(rng.uniform(*FREEZE_S) / 2)
        if rng.random() < FREEZE_RESET_CHANCE:
            for session in list(source.sessions):
                if isinstance(session, LossySession) and session.relay_name == relay_name:
                    session.transport.abort()
        await asyncio.sleep(rng.uniform(*FREEZE_S) / 2)
    finally:
        os.kill(pid, signal.SIGCONT)


async def settle(source: LossyBroker, first: RelaySetup, second: RelaySetup) -> None:
    """Runs the relays without faults until nothing happens any more."""
    async with (
        relay(first.folder, "", first.operator, relay_settings=kill_settings()),
        relay(second.folder, "", second.operator, relay_settings=kill_settings()),
    ):
        give_up = time.monotonic() + PATIENCE_S
        progress, quiet_since = (-1, -1), time.monotonic()
        while time.monotonic() < min(give_up, quiet_since + QUIET_S):
            latest = (len(first.sink.effects) + len(second.sink.effects), len(source.answers))
            if latest != progress:
                progress, quiet_since = latest, time.monotonic()
            await asyncio.sleep(0.1)


@dataclass(slots=True)
class MessageRecord:
    """What the ledgers of all brokers say about a message."""

    message_id: str
    class_name: str
    effects: dict[str, list[float]]  # times, by the relay that sent it
    answers: list[Answer]

    @property
    def must_not_repeat(self) -> bool:
        return self.class_name in KEY_WINDOW_S

    @property
    def effect_count(self) -> int:
        return sum(len(times) for times in self.effects.values())

    def is_key_known(self, relay_name: str, at: float) -> bool:
        """Returns whether the destination of this relay drops the message if it comes again at that time."""
        times = self.effects.get(relay_name, [])
        return bool(times) and times[0] <= at < times[0] + KEY_WINDOW_S[self.class_name]

    def ran_twice(self) -> bool:
        """Returns whether it took effect a second time, or may do so at other destinations."""
        if self.effect_count < 2:
            return False
        return len(self.effects) > 1 or any(
            not self.is_key_known(name, at) for name, times in self.effects.items() for at in times[1:]
        )

    def was_told(self, state: str) -> bool:
        """Returns whether a client was told this state."""
        return any(answer.state == state for answer in self.answers)

    @property
    def has_end(self) -> bool:
        return bool(self.effects or self.answers)

    def breaks_a_rule(self) -> bool:
        """Returns whether any of the counts that must be 0 includes it."""
        return not self.has_end or (self.must_not_repeat and (self.ran_twice() or self.has_unsafe_return()))

    def trace(self) -> str:
        """Returns what happened to it, in order, in seconds from the first event."""
        happened = [(at, f"took effect by {name}") for name, times in self.effects.items() for at in times]
        happened += [(answer.at, f"{answer.state} by {answer.relay}") for answer in self.answers]
        start = min((at for at, _ in happened), default=0.0)
        steps = [f"{at - start:.3f} {what}" for at, what in sorted(happened)]
        return f"{self.message_id} {self.class_name}: " + ", ".join(steps)

    def has_unsafe_return(self) -> bool:
        """Returns whether it took effect, and submitting it again as a client was told could do harm."""
        return bool(self.effects) and any(
            answer.state == "returned" and not self.is_key_known(answer.relay, answer.at)
            for answer in self.answers
        )


def records(source: LossyBroker, setups: list[RelaySetup], messages: int) -> list[MessageRecord]:
    """Collects what the ledgers say about each message."""
    collected = {
        f"m{number}": MessageRecord(f"m{number}", CLASSES[number % len(CLASSES)], {}, [])
        for number in range(messages)
    }
    for setup in setups:
        for message_id, times in setup.sink.effect_times.items():
            collected[message_id].effects[setup.name] = times
    for answer in source.answers:
        collected[answer.message_id].answers.append(answer)
    return list(collected.values())


def judged(messages: list[MessageRecord], cuts: int) -> dict[str, Any]:
    """Counts the broken rules."""
    at_risk = [message for message in messages if message.must_not_repeat]
    return {
        "messages": len(messages),
        "cuts": cuts,
        "took effect": sum(bool(message.effects) for message in messages),
        "answered": sum(bool(message.answers) for message in messages),
        "failed, ran": sum(bool(each.effects) and each.was_told("failed") for each in at_risk),
        "twice": sum(each.ran_twice() for each in at_risk),
        "sent again in its window": sum(each.effect_count > 1 and not each.ran_twice() for each in at_risk),
        "returned, ran": sum(each.has_unsafe_return() for each in at_risk),
        "returned in its window": sum(
            bool(each.effects) and each.was_told("returned") and not each.has_unsafe_return()
            for each in at_risk
        ),
        "no end": sum(not each.has_end for each in messages),
        "broken": [each.trace() for each in messages if each.breaks_a_rule()],
    }


async def set_up(
    name: str, folder: Path, source: LossyBroker, durability: str, servers: contextlib.ExitStack
) -> RelaySetup:
    """Starts the servers of a relay's brokers and writes its operator file."""
    loop, sink = asyncio.get_running_loop(), TimedBroker()
    sink.declare("q")
    addresses = dict[str, str]()
    for broker_name, session in (("a", lambda: LossySession(source, name)), ("b", lambda: Session(sink))):
        server = await loop.create_server(session, "127.0.0.1", 0)
        servers.callback(server.close)
        addresses[broker_name] = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    folder.mkdir()
    operator = write_operator_file(folder, addresses, {1: ("b", "q")}, "a")
    with open(operator, "a") as file:
        file.write(f'[state]\ndurability = "{durability}"\n')
    return RelaySetup(name, folder, operator, sink)


async def soak(seconds: float, seed: int, rate: float, durability: str) -> dict[str, Any]:
    """Runs the soak and returns its counts."""
    rng, source = random.Random(seed), LossyBroker(seed)
    source.declare("in")
    source.declare("answers")
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as servers:
        setups = [
            await set_up(name, Path(folder) / name, source, durability, servers) for name in RELAY_NAMES
        ]
        disruptions_end = asyncio.Event()
        relays = [
            asyncio.create_task(run_relay(setup, source, random.Random(rng.random()), disruptions_end))
            for setup in setups
        ]
        started_at, number = time.monotonic(), 0
        while time.monotonic() - started_at < seconds:
            class_name, expiration_ms = CLASSES[number % len(CLASSES)], rng.choice(EXPIRATIONS_MS)
            publish(source, number, class_name, expiration=str(expiration_ms), reply_to="answers")
            number += 1
            await asyncio.sleep(max(0.0, started_at + number / rate - time.monotonic()))
        disruptions_end.set()
        disruptions = await asyncio.gather(*relays)
        source.max_cuts = source.cuts
        await settle(source, *setups)
    counts = judged(records(source, setups, number), source.cuts)
    kills, freezes = sum(each.kills for each in disruptions), sum(each.freezes for each in disruptions)
    return {"durability": durability, "seed": seed, "kills": kills, "freezes": freezes, **counts}


def main() -> int:
    """Runs the soak once; exits with 1 if a rule was broken."""
    parser = argparse.ArgumentParser(prog="benchmarks.handover_soak")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--durability", choices=("none", "interval", "group"), default="none")
    args = parser.parse_args()
    row = asyncio.run(soak(args.seconds, args.seed, args.rate, args.durability))
    report(
        [row],
        args.json,
        ("messages  cuts  kills  freezes  took effect  answered  failed, ran  twice  returned, ran  no end",),
        "{messages:8}{cuts:6}{kills:7}{freezes:9}{took effect:13}{answered:10}{failed, ran:13}{twice:7}"
        "{returned, ran:15}{no end:8}",
    )
    for trace in row["broken"]:
        print(trace, file=sys.stderr)
    return 1 if row["broken"] else 0


if __name__ == "__main__":
    sys.exit(main())

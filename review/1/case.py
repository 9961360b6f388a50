"""Case 1: a partner whose rate is not listed fails for 10 s and comes back cold; the relays push it over."""

from __future__ import annotations

import asyncio
import math
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from settings import settings
from standins import Agent, Call, Client, Endpoint, Record, Relay, now_ms, response, run_case

RELAYS = 1
TRAFFIC_PER_S = 43.5  # of all clients
WORK_MS = 200.0  # of a call at the usual pace
SHARES = (0.49, 0.29, 0.22)  # of it, by partner
CLUMPS_AT_S, CLUMP_MESSAGES = (6.0, 10.0), 50  # for partner 1: what it takes in 2 s
FAILS_FROM_S, FAILS_FOR_S, ENDS_S = 14.0, 10.0, 38.0  # seconds after the first message
CLASSES = (("comanda", 16000, 0.51), ("plata", 16000, 0.32), ("stare-lucrare", 8000, 0.17))
# What the settings say about a cold destination.
SAFETY = settings()["safety"]
COLD_FROM, COLD_MS = SAFETY["cold-from"], SAFETY["cold-ms"]
FALL_MULTIPLE, FALL_MS = SAFETY["fall-multiple"], SAFETY["fall-ms"]


class Partner:
    """A partner with `workers` that take `WORK_MS` a call at the usual pace, and a short queue.

    While it is cold it works at a share of its pace, which grows evenly to the whole over `cold-ms`. Above its
    queue it answers 503. While it fails it answers 500. It counts every call whose last byte has come, refused
    ones too, and falls as STANDING says; from then on it refuses connections.
    """

    def __init__(self, record: Record, name: str, workers: int, queue: int) -> None:
        self.record, self.workers, self.queue = record, workers, queue
        self.capacity_per_s = 1000 * workers / WORK_MS
        self.endpoint = Endpoint(name, self.answer)
        self.rng = random.Random(name)
        self.busy = 0
        self.waiting: list[asyncio.Future[None]] = []
        self.fails = False
        self.returned_at: float | None = None
        self.failed_for: dict[str, int] = {}  # calls that failed during the outage, by relay
        self.recent: list[tuple[float, str]] = []  # calls of the last `fall-ms` after the return
        self.fall = ""

    def share(self, at: float) -> float:
        if self.returned_at is None:
            return 1.0
        return min(1.0, COLD_FROM + (1 - COLD_FROM) * (at - self.returned_at) / COLD_MS)

    def count(self, at: float, relay: str) -> None:
        """Counts a call to a cold partner, and lets it fall."""
        if self.returned_at is None or at > self.returned_at + COLD_MS or self.fall:
            return
        self.recent = [each for each in self.recent if each[0] > at - FALL_MS] + [(at, relay)]
        # The capacity at the end of the window, which is the highest in it.
        allowed = FALL_MULTIPLE * self.share(at) * self.capacity_per_s * FALL_MS / 1000
        limit = allowed + (3 * math.sqrt(allowed) + 3 if allowed < 30 else 2 * math.sqrt(allowed) + 2)
        if len(self.recent) <= limit:
            return
        told = sum(1 for _, name in self.recent if self.failed_for.get(name))
        self.fall = (
            f"{len(self.recent)} calls in {FALL_MS:.0f} ms, {at - self.returned_at:.0f} ms after the return; "
            f"N = {allowed:.1f}, falls above {limit:.1f}; {told} of them from relays that saw calls fail in the outage "
            f"({self.failed_for})"
        )
        self.record.write("partner falls", partner=self.endpoint.name, why=self.fall, told=told, calls=len(self.recent))
        if told * 3 <= len(self.recent) * 2:
            self.fall = ""

    async def answer(self, call: Call, writer: asyncio.StreamWriter) -> bool:
        relay = call.relay
        if self.fall:
            return False
        if self.fails:
            await asyncio.sleep(0.005)
            self.failed_for[relay] = self.failed_for.get(relay, 0) + 1
            return self.reply(call, writer, b"500 Internal Server Error")
        self.count(call.complete_at, relay)
        if self.fall:
            self.endpoint.refuse_connections()
            return False
        if self.busy >= self.workers:
            if len(self.waiting) >= self.queue:
                return self.reply(call, writer, b"503 Service Unavailable")
            turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            await turn
        else:
            self.busy += 1
        await asyncio.sleep(WORK_MS / 1000 * self.rng.uniform(0.8, 1.2) / self.share(now_ms()))
        if self.waiting:
            self.waiting.pop(0).set_result(None)
        else:
            self.busy -= 1
        return self.reply(call, writer, b"200 OK")

    def reply(self, call: Call, writer: asyncio.StreamWriter, status: bytes) -> bool:
        self.record.write("call", partner=self.endpoint.name, relay=call.relay, id=call.id, reply=status.decode())
        writer.write(response(status))
        return True


async def play(record: Record, folder: Path, trouble: bool) -> list[str]:
    agents, relays, clients = [], [], []
    partners = [Partner(record, f"s-{number}", 5, 9) for number in (1, 2, 3)]
    for partner in partners:
        await partner.endpoint.start()
    for number in range(RELAYS):
        agent = Agent(record)  # one on each relay's machine
        await agent.start()
        for destination, partner in enumerate(partners, 1):
            agent.endpoints[partner.endpoint.name] = partner.endpoint.entry(destination, "birou-mic", 1.0, "bucuresti-1")
        home = folder / f"n{number + 1}"
        home.mkdir()
        config = {
            "discovery": agent.address,
            "known": agent.whole_list(),
            "seed": f"{0x8C1F30D27A5BE964 + number:x}",
            "settings": settings(
                balancers=RELAYS,
                index=number,
                weight_kind="silent",
                extra={"call-slots": 22},
                limits={"open-cap": 300},
            ),
        }
        agents.append(agent)
        relays.append(Relay(record, home, config, f"n{number + 1}"))
    try:
        for relay in relays:
            await relay.start()
            clients.append(Client(record, relay.port, relay.name))
        rng = random.Random(6)
        loop = asyncio.get_running_loop()
        began = loop.time()
        next_at, tasks, clumps = 0.0, [], list(CLUMPS_AT_S)

        async def hand_in(destination: int) -> None:
            name, left_ms, _ = rng.choices(CLASSES, [share for _, _, share in CLASSES])[0]
            tenant = rng.choices(("dir-consular", "dir-juridic", "dir-educatie"), (0.45, 0.44, 0.11))[0]
            await rng.choice(clients).hand_in(name, tenant, destination, left_ms)

        while next_at < ENDS_S and not partners[0].fall:
            at = loop.time() - began
            if trouble and partners[0].returned_at is None:
                if not partners[0].fails and at >= FAILS_FROM_S:
                    partners[0].fails = True
                    record.write("partner fails", partner="s-1", for_s=FAILS_FOR_S)
                elif at >= FAILS_FROM_S + FAILS_FOR_S:
                    partners[0].fails, partners[0].returned_at = False, now_ms()
                    record.write("partner is back, cold", partner="s-1", failed_calls=partners[0].failed_for)
            if clumps and at >= clumps[0]:
                clumps.pop(0)
                tasks.extend(asyncio.ensure_future(hand_in(1)) for _ in range(CLUMP_MESSAGES))
            if at < next_at:
                await asyncio.sleep(min(0.01, next_at - at))
                continue
            tasks.append(asyncio.ensure_future(hand_in(rng.choices((1, 2, 3), SHARES)[0])))
            next_at += rng.expovariate(TRAFFIC_PER_S)
        await asyncio.gather(*tasks)
    finally:
        await asyncio.gather(*(relay.stop() for relay in relays))
    return [partner.fall for partner in partners if partner.fall]


# What was sent, answered and run is written beside this file.
run_case(Path(__file__).resolve().with_name("record.txt"), play)

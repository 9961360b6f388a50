"""Case 2: the agent writes its answers in small pieces; the relay refuses them and goes on calling a removed endpoint."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from settings import settings
from standins import Agent, Call, Client, Endpoint, Record, Relay, response, run_case

ENDPOINTS, DESTINATIONS = 26, 13
TRAFFIC_PER_S = 45.0
PIECE_BYTES = 24  # of the agent's answers, under TROUBLE
REMOVED_AT_S, ENDS_S = 4.0, 22.0  # seconds after the first message
CLASSES = (("comanda", 16000, 0.51), ("plata", 16000, 0.32), ("stare-lucrare", 8000, 0.17))
# The latest of the times that the pages give: 6 s after the agent had the change, whatever calls failed, then the
# grace of the settings and 50 ms on sockets.
TOLD_AFTER_MS = 6000.0
GRACE_MS = settings()["safety"]["drain-grace-ms"] + 50.0


async def play(record: Record, folder: Path, trouble: bool) -> list[str]:
    agent = Agent(record, PIECE_BYTES if trouble else 0)
    agent.sends_whole_lists = True
    await agent.start()

    async def answer(call: Call, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(0.1)
        record.write("call", endpoint=call.endpoint, id=call.id, reply="200 OK")
        writer.write(response(b"200 OK"))
        return True

    endpoints = []
    for number in range(ENDPOINTS):
        endpoint = Endpoint(f"s-{0x5BE2A07C + number:08x}", answer)
        await endpoint.start()
        kind = "firma-mare" if number % 3 == 0 else "birou-mic"
        agent.endpoints[endpoint.name] = endpoint.entry(number % DESTINATIONS + 1, kind, 12.0, "bucuresti-1")
        endpoints.append(endpoint)
    config = {
        "discovery": agent.address,
        "known": agent.whole_list(),
        "settings": settings(extra={"call-slots": 18}, limits={"open-cap": 300}),
    }
    relay = Relay(record, folder, config)
    removed = endpoints[0]
    told_at = 0.0
    try:
        await relay.start()
        client = Client(record, relay.port)
        rng = random.Random(2)
        loop = asyncio.get_running_loop()
        began = loop.time()
        next_at, tasks = 0.0, []
        while next_at < ENDS_S:
            at = loop.time() - began
            if not told_at and at >= REMOVED_AT_S:
                told_at = agent.change({**agent.endpoints[removed.name], "lifecycle": "gone"})
            if at < next_at:
                await asyncio.sleep(min(0.01, next_at - at))
                continue
            name, left_ms, _ = rng.choices(CLASSES, [share for _, _, share in CLASSES])[0]
            tenant = rng.choices(("dir-consular", "dir-juridic", "dir-educatie"), (0.45, 0.44, 0.11))[0]
            destination = rng.randint(1, DESTINATIONS)
            tasks.append(asyncio.ensure_future(client.hand_in(name, tenant, destination, left_ms)))
            next_at += rng.expovariate(TRAFFIC_PER_S)
        await asyncio.gather(*tasks)
        await asyncio.sleep(1.0)
    finally:
        await relay.stop()
    refused = [line for line in relay.log() if "discovery poll failed" in line]
    record.write("relay's log", lines=len(refused), first=refused[:1])
    after = [call.first_byte_at - told_at for call in removed.calls if call.first_byte_at > told_at]
    record.write("calls to the removed endpoint", ms_after_the_agent_had_it=[round(each) for each in after])
    return [
        f"{call.id}: first byte at {removed.name} {call.first_byte_at - told_at:.0f} ms after the agent had its removal"
        for call in removed.calls
        if call.first_byte_at > told_at + TOLD_AFTER_MS + GRACE_MS
    ]


# What was sent, answered and run is written beside this file.
run_case(Path(__file__).resolve().with_name("record.txt"), play)

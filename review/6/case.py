"""Case 6: a plata from a queue is run twice when its broker was cut off longer than the message lives."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

from rig import (
    ROOT,
    TROUBLE,
    Agent,
    CannotRunError,
    Clients,
    Endpoint,
    Record,
    Relay,
    Request,
    entry,
    main,
    response,
    settings,
)

sys.path.insert(0, str(ROOT))
try:
    from pamqp import commands

    from fakes.amqp_broker import Broker, Message, Session
except ImportError as error:
    print(f"could not run: {error}: review/build-2.sh was not run")
    sys.exit(2)

SILENT_S = 18.0  # BRIEF: partner systems go silent for 7.9 to 18 s
USUAL_RATE = 15.0  # messages a second that do not come from the queue
ACK_DELAY_S = 0.02  # one way to the broker; the site's network takes 8 to 30 ms


class DistantSession(Session):
    """A connection over a network of which each byte to the broker takes ACK_DELAY_S, unless it is cut."""

    def data_received(self, data: bytes) -> None:
        asyncio.get_running_loop().call_later(ACK_DELAY_S, self._arrive, data)

    def _arrive(self, data: bytes) -> None:
        if self.broker.unresponsive or self.state == "closed":
            return  # sent into the cut
        super().data_received(data)


async def play(record: Record, folder: Path) -> list[str]:
    runs: dict[str, list[float]] = {}

    async def handle(endpoint: Endpoint, request: Request, writer: asyncio.StreamWriter) -> bool:
        trace = request.headers["x-trace-id"]
        runs.setdefault(trace, []).append(time.monotonic())
        await asyncio.sleep(0.03)
        record(endpoint.name, "runs", trace, "for the", len(runs[trace]), "time -> 200")
        writer.write(response(200))
        return True

    endpoint = Endpoint("e1", record, handle)
    await endpoint.start()
    agent = Agent(record, [entry("e1", endpoint.port, 3, 20.0)])
    await agent.start()
    broker = Broker(heartbeat_s=10)
    queue = broker.declare("jobs-in")
    answers = broker.declare("answers")
    server = await asyncio.get_running_loop().create_server(lambda: DistantSession(broker), "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    operator = folder / "relay.toml"
    operator.write_text(
        f'[[amqp.brokers]]\nname = "offices"\nhosts = ["127.0.0.1:{port}"]\n'
        '[[amqp.queues]]\nbroker = "offices"\nqueue = "jobs-in"\nprefetch = 20\n'
    )
    os.environ["RELAY_OPERATOR"] = str(operator)
    relay = Relay(folder, agent, record, {"settings": settings()})
    await relay.start()
    give_up = time.monotonic() + 10
    while not queue.consumers:
        if time.monotonic() > give_up:
            raise CannotRunError(f"the relay does not consume: {relay.log()[-400:]}")
        await asyncio.sleep(0.05)

    published = 0

    def publish() -> None:
        nonlocal published
        properties = commands.Basic.Properties(
            message_id=f"pay-{published}",
            message_type="plata",
            delivery_mode=2,
            reply_to="answers",
            headers={"destination": "3", "tenant": "dir-consular", "idempotency-key": f"key-{published}"},
        )
        record("published", f"pay-{published}", "plata dest=3")
        published += 1
        broker.route(Message("", "jobs-in", properties, b"pay 100 lei"))

    clients = Clients(relay.port, record)

    async def usual_traffic() -> None:
        """Messages of HTTP clients, so that the queue has no more than 28% of the traffic."""
        number = 0
        while True:
            number += 1
            await clients.submit(f"usual-{number}", "comanda", 3, 16000)
            await asyncio.sleep(1 / USUAL_RATE)

    usual = asyncio.create_task(usual_traffic())
    await asyncio.sleep(1)
    for _ in range(10):
        publish()
        await asyncio.sleep(0.2)
    for _ in range(3):  # a clump
        publish()
    await asyncio.sleep(0.01)
    if TROUBLE:
        record(
            "the broker's machine is cut off; deliveries without an ack:",
            sum(len(c.unacked) for s in broker.sessions for c in s.channels.values()),
        )
        broker.unresponsive, broker.sends_heartbeats = True, False
    await asyncio.sleep(SILENT_S)
    if TROUBLE:
        broker.unresponsive, broker.sends_heartbeats = False, True
        record(
            "the broker's machine is back; it resets the old connections, and delivers again what has no ack"
        )
        for session in list(broker.sessions):
            session.transport.abort()
    for _ in range(5):
        publish()
        await asyncio.sleep(0.2)
    await asyncio.sleep(22)
    for message in answers.waiting:
        record("answer", message.body.decode())
    usual.cancel()
    await asyncio.gather(usual, return_exceptions=True)
    await relay.stop()
    clients.close()
    payments = [len(at) for t, at in runs.items() if t.startswith("pay-")]
    record("published", published, "run", len(payments), "runs", sum(payments))
    record("other messages that ran:", len(runs) - len(payments))
    server.close()
    for s in (endpoint, agent):
        await s.close()
    return [
        f"{t}: plata ran {len(at)} times, {at[-1] - at[0]:.1f} s apart"
        for t, at in runs.items()
        if len(at) > 1 and t.startswith("pay-")
    ]


main(play)

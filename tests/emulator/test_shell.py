"""The model of a partner gives the same replies to the same calls over sockets as in virtual time."""

from __future__ import annotations

import asyncio
import math
from pathlib import Path
from random import Random

from emulator.partner import Call, Partner, Reply
from emulator.spec import Cold, Fault, Rate, Service, Spec, Trouble
from fakes.endpoint import Endpoint

CALLS, LINES = 10_000, 8
SPEC = Spec(
    rate=Rate(400.0, wait_ms=(100.0, 300.0)),
    slots=30,
    queue=5,
    service=Service(40.0, 0.4, 0.02, 8.0, 0.3),
    cold=Cold(0.2, 3000.0),
    key_window_ms=4000.0,
    refuse=0.03,
    error=0.04,
    reset=0.02,
    troubles=(
        Trouble(Fault.SHUT, 4000.0, 5000.0),
        Trouble(Fault.FAILING, 9000.0, 11_000.0, 0.6),
        Trouble(Fault.BROWN, 15_000.0, 17_000.0, 3.0),
    ),
)


def script() -> list[tuple[float, Call]]:
    rng, at, calls = Random(3), 0.0, list[tuple[float, Call]]()
    for n in range(CALLS):
        at += rng.expovariate(1 / 2.2)
        calls.append((at, Call(f"t{n}", f"k{n // 3}" if n % 2 else None)))
    return calls


def status_of(reply: Reply) -> str:
    return {Reply.OK: "200", Reply.ERROR: "500", Reply.FULL: "429"}.get(reply, "end")


async def over_sockets(calls: list[tuple[float, Call]], endpoint: Endpoint, now: list[float]) -> list[str]:
    """Makes the calls one after another. The endpoint's clock shows the time of each call, and its replies
    are sent without delay."""
    server = await endpoint.start()
    got, line = list[str](), None
    for at, call in calls:
        now[0] = at
        if line is None:
            line = await asyncio.open_connection("127.0.0.1", server.sockets[0].getsockname()[1])
        reader, writer = line
        key = f"Idempotency-Key: {call.key}\r\n" if call.key else ""
        head = f"POST /inbox HTTP/1.1\r\nX-Trace-Id: {call.trace}\r\n{key}Content-Length: 2\r\n\r\n"
        writer.write(head.encode() + b"hi")
        try:
            got.append((await reader.readuntil(b"\r\n\r\n")).split(b" ", 2)[1].decode())
        except (OSError, asyncio.IncompleteReadError):
            got.append("end")
            line = None
    if line is not None:
        line[1].close()
    server.close()
    return got


def test_replies_over_sockets_equal_those_in_virtual_time(tmp_path: Path) -> None:
    calls = script()
    virtual = Partner(SPEC, Random(5))
    expected = [virtual.call(at, call) for at, call in calls]
    assert {answer.reply for answer in expected} == {Reply.OK, Reply.ERROR, Reply.FULL, Reply.RESET}
    assert all(math.isfinite(answer.at) for answer in expected)

    async def work() -> None:
        now, model = [0.0], Partner(SPEC, Random(5))
        with open(tmp_path / "ledger", "w") as ledger:
            endpoint = Endpoint(model, ("127.0.0.1", 0), lambda: now[0], ledger)
            endpoint.after = lambda delay_ms: 0.0
            got = await over_sockets(calls, endpoint, now)
        assert got == [status_of(answer.reply) for answer in expected]
        assert model.effects == virtual.effects
        lines = (tmp_path / "ledger").read_text().splitlines()
        assert [line.split()[1] for line in lines] == list(model.effects.elements())

    asyncio.run(asyncio.wait_for(work(), 60.0))


def test_collapse_closes_the_listener_until_it_recovers() -> None:
    async def work() -> None:
        warm_up = Cold(0.2, 1e9, 2.0, 1500.0, 300.0)
        spec = Spec(rate=Rate(20.0), cold=warm_up, troubles=(Trouble(Fault.DOWN, 0.0, 1.0),))
        now = [2.0]
        endpoint = Endpoint(Partner(spec, Random(1)), ("127.0.0.1", 0), lambda: now[0])
        await endpoint.start()
        for n in range(40):
            endpoint.answer(b"t%d" % n, b"")
            now[0] += 5.0
            if endpoint.falls:
                break
        assert endpoint.falls == 1 and not endpoint.server.is_serving()
        while not endpoint.server.is_serving():
            await asyncio.sleep(0.01)
        endpoint.server.close()

    asyncio.run(asyncio.wait_for(work(), 30.0))

"""The product's names for HTTP: requests to the platform's agent and to endpoints, and answers to clients."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path
from typing import Any

from linnetstile.config import Config, load
from linnetstile.core.seams import Attempt, Malformed, Offer, Receipt, Result
from linnetstile.http.agent import Agent
from linnetstile.http.calls import Calls, report_of
from linnetstile.http.front import Front
from linnetstile.http.intake import Clients
from linnetstile.http.link import Head
from linnetstile.http.notices import Notices
from linnetstile.http.register import Register, read

Values = dict[str, Any]
Address = tuple[str, int]
CALL_S = 5.0  # of a call to an endpoint, on the loop's clock


async def ask_agent(address: Address, method: str, target: str, body: bytes) -> int:
    agent = Agent(address)
    try:
        status, _ = await agent.ask(method, target, body, CALL_S)
        return status
    finally:
        agent.close()


async def ask_for_list(address: Address, known: Values | None, watch: bool) -> Values:
    """One question for the list of endpoints, where this list is known already."""
    register = Register(address, 1, 0)
    if known is not None:
        register.known(known)
    if watch:
        register.asking.answered()
    try:
        return await register._ask()
    finally:
        register.close()


def list_values(answer: Values) -> Values:
    """What an answer of the register says."""
    version, update = read(answer)
    return {
        "version": version,
        "whole": update.whole,
        "members": [
            {
                "name": each.name,
                "destination": each.destination,
                "listing": each.listing.value,
                "host": each.address[0],
                "port": each.address[1],
                "kind": each.kind,
                "zone": each.zone,
                "rate": each.rate,
            }
            for each in update.members
        ],
        "lives": [[name, listing.value] for name, listing in update.lives],
    }


async def send_notices(address: Address, ends: list[tuple[str, str, float]]) -> list[str]:
    """Passes ends on until they are answered; the ids that count as told."""
    loop = asyncio.get_running_loop()
    done: asyncio.Future[list[str]] = loop.create_future()
    notices = Notices(Agent(address), done.set_result)
    for ident, state, after_ms in ends:
        notices.add(ident, state, after_ms)
    running = asyncio.create_task(notices.run())
    try:
        return await done
    finally:
        running.cancel()
        notices.agent.close()


async def call_endpoint(
    address: Address, trace_id: str, key: str | None, body: bytes, rules_mark: str | None, careful: bool
) -> Values:
    """One call to an endpoint, and what its answer means."""
    calls = Calls(1000.0, 1000.0, 4, 4, ("x0", "x1"))
    attempt = Attempt(
        endpoint=3,
        address=address,
        trace_id=trace_id,
        key=key,
        body=body,
        give_up_at=asyncio.get_running_loop().time() + CALL_S,
        may_write=lambda: True,
        careful=careful,
        mark=None if rules_mark is None else lambda: rules_mark,
        kind="k",
    )
    try:
        return _result(await calls.attempt(attempt))
    finally:
        calls.close()


def _result(result: Result) -> Values:
    return {
        "outcome": result.outcome.value,
        "wait ms": result.wait_ms,
        "no slot": result.no_slot,
        "over": result.over,
        "held back": result.held_back,
        "load report": list(result.report),
    }


def load_report(header: str, fields: list[str]) -> list[float]:
    return list(report_of(Head(200, {"endpoint-load-metrics": header}), tuple(fields)))


class _Desk:
    """Takes what it is told to take, and keeps what was handed in."""

    def __init__(self) -> None:
        self.ready = True
        self.roomy = True
        self.offers: list[Offer] = []

    def take(self, offer: Offer) -> Receipt:
        self.offers.append(offer)
        if offer.id == "refused":
            return Receipt(False, why="there is no room", retry_s=1.25)
        if offer.id == "malformed":
            raise Malformed("key", "is needed")
        return Receipt(True, True)

    def withdraw(self, ident: str) -> bool:
        return True

    def told(self, idents: list[str]) -> None:
        """Ends are not looked at here."""


class ClientSide:
    """The part that answers clients, on a loopback port, before a desk that takes nearly all."""

    def __init__(self, config_file: Path, ready: bool) -> None:
        config: Config = load({"RELAY_CONFIG": str(config_file)})
        self._desk = _Desk()
        self._desk.ready = ready
        self._front = Front(self._desk, replace(config, listen=("127.0.0.1", 0)), 8, 8)

    def listen(self) -> int:
        clients: Clients = self._front.clients
        clients.listen("127.0.0.1", 0)
        return clients.port

    async def close(self) -> None:
        await self._front.close()
        for connection in list(self._front.clients.connections):
            connection.abort()
        await asyncio.sleep(0)  # the loop's next turn closes them

    def offers(self) -> list[Values]:
        return [
            {
                "id": each.id,
                "class": each.class_,
                "tenant": each.tenant,
                "destination": each.dest,
                "key": each.key,
                "left ms": each.left_ms,
                "handed in again": each.again,
                "body": each.body.decode(),
                "front": each.origin,
            }
            for each in self._desk.offers
        ]

"""The product's names for HTTP: requests to the platform's agent and to endpoints, and answers to clients."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path
from typing import Any

from message_relay.config import Config, load
from message_relay.core.ports import Attempt, AttemptResult, InvalidMessageError, Submission, SubmissionResult
from message_relay.http.agent import AgentClient
from message_relay.http.client_listener import ClientListener
from message_relay.http.client_intake import ClientIntake
from message_relay.http.endpoint_messages import ResponseHead
from message_relay.http.discovery_client import DiscoveryClient, parse_listing
from message_relay.http.endpoint_client import EndpointClient
from message_relay.http.attempt_results import parse_load_report
from message_relay.http.outcome_notifier import OutcomeNotifier

Values = dict[str, Any]
Address = tuple[str, int]
CALL_S = 5.0  # of a call to an endpoint, on the loop's clock


async def ask_agent(address: Address, method: str, target: str, body: bytes) -> int:
    agent = AgentClient(address)
    try:
        status, _ = await agent.request(method, target, body, CALL_S)
        return status
    finally:
        agent.close()


async def ask_for_list(address: Address, known: Values | None, watch: bool) -> Values:
    """One question for the list of endpoints, where this list is known already."""
    register = DiscoveryClient(address, 1, 0)
    if known is not None:
        register.load_configured(known)
    if watch:
        register.poll_schedule.on_answered()
    try:
        return await register.start_call().response
    finally:
        register.close()


def list_values(answer: Values) -> Values:
    """What an answer of the register says."""
    version, update = parse_listing(answer)
    return {
        "version": version,
        "whole": update.is_full,
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
            for each in update.endpoints
        ],
        "lives": [[name, listing.value] for name, listing in update.status_changes],
    }


async def send_notices(address: Address, ends: list[tuple[str, str, float]]) -> list[str]:
    """Passes ends on until they are answered; the ids that count as told."""
    loop = asyncio.get_running_loop()
    done: asyncio.Future[list[str]] = loop.create_future()
    notices = OutcomeNotifier(AgentClient(address), done.set_result)
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
    calls = EndpointClient(1000.0, 1000.0, 4, 4, ("x0", "x1"))
    attempt = Attempt(
        endpoint=3,
        address=address,
        trace_id=trace_id,
        idempotency_key=key,
        body=body,
        deadline_s=asyncio.get_running_loop().time() + CALL_S,
        may_write=lambda: True,
        ambiguity_is_final=careful,
        policy_label=None if rules_mark is None else lambda: rules_mark,
        kind="k",
    )
    try:
        return _result(await calls.attempt(attempt))
    finally:
        calls.close()


def _result(result: AttemptResult) -> Values:
    return {
        "outcome": result.outcome.value,
        "wait ms": result.retry_after_ms,
        "no slot": result.no_connection_slot,
        "over": result.is_finished,
        "held back": result.is_withheld,
        "load report": list(result.load_report),
    }


def load_report(header: str, fields: list[str]) -> list[float]:
    return list(parse_load_report(ResponseHead(200, {"endpoint-load-metrics": header}), tuple(fields)))


class _Desk:
    """Takes what it is told to take, and keeps what was handed in."""

    def __init__(self) -> None:
        self.is_ready = True
        self.has_capacity = True
        self.offers: list[Submission] = []

    def accept(self, offer: Submission) -> SubmissionResult:
        self.offers.append(offer)
        if offer.id == "refused":
            return SubmissionResult(False, reason="there is no room", retry_after_s=1.25)
        if offer.id == "malformed":
            raise InvalidMessageError("key", "is needed")
        return SubmissionResult(True, True)

    def cancel(self, ident: str) -> bool:
        return True

    def mark_notified(self, idents: list[str]) -> None:
        """Ends are not looked at here."""


class ClientSide:
    """The part that answers clients, on a loopback port, before a desk that takes nearly all."""

    def __init__(self, config_file: Path, ready: bool) -> None:
        config: Config = load({"RELAY_CONFIG": str(config_file)})
        self._desk = _Desk()
        self._desk.is_ready = ready
        self._front = ClientIntake(self._desk, replace(config, listen=("127.0.0.1", 0)), 8, 8)

    def listen(self) -> int:
        clients: ClientListener = self._front.listener
        clients.listen("127.0.0.1", 0)
        return clients.port

    async def close(self) -> None:
        await self._front.close()
        for connection in list(self._front.listener.connections):
            connection.abort()
        await asyncio.sleep(0)  # the loop's next turn closes them

    def offers(self) -> list[Values]:
        return [
            {
                "id": each.id,
                "class": each.class_name,
                "tenant": each.tenant,
                "destination": each.destination,
                "key": each.idempotency_key,
                "left ms": each.remaining_ms,
                "handed in again": each.resubmission,
                "body": each.body.decode(),
                "front": each.origin,
            }
            for each in self._desk.offers
        ]

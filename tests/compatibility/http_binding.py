"""HTTP traffic of the product: requests to the platform's agent and to endpoints, and responses to clients.

A rename in the product changes this module and not the fixtures, whose keys are neutral.
"""

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
CALL_S = 5.0  # time limit of a call, on the event loop's clock


async def request_agent(address: Address, method: str, target: str, body: bytes) -> int:
    agent = AgentClient(address)
    try:
        status, _ = await agent.request(method, target, body, CALL_S)
        return status
    finally:
        agent.close()


async def request_endpoint_list(address: Address, known: Values | None, watch: bool) -> Values:
    """Requests the list of endpoints once, when `known` is the list so far."""
    discovery = DiscoveryClient(address, 1, 0)
    if known is not None:
        discovery.load_configured(known)
    if watch:
        discovery.poll_schedule.on_answered()
    try:
        return await discovery.start_call().response
    finally:
        discovery.close()


def list_values(response: Values) -> Values:
    """Returns the parsed values of a discovery response."""
    version, update = parse_listing(response)
    return {
        "version": version,
        "whole": update.is_full,
        "members": [
            {
                "name": endpoint.name,
                "destination": endpoint.destination,
                "listing": endpoint.listing.value,
                "host": endpoint.address[0],
                "port": endpoint.address[1],
                "kind": endpoint.kind,
                "zone": endpoint.zone,
                "rate": endpoint.rate,
            }
            for endpoint in update.endpoints
        ],
        "lives": [[name, listing.value] for name, listing in update.status_changes],
    }


async def notify_outcomes(address: Address, outcomes: list[tuple[str, str, float]]) -> list[str]:
    """Sends final outcomes until the agent acknowledges them; returns the ids that count as notified."""
    loop = asyncio.get_running_loop()
    notified: asyncio.Future[list[str]] = loop.create_future()
    notifier = OutcomeNotifier(AgentClient(address), notified.set_result)
    for message_id, state, after_ms in outcomes:
        notifier.add(message_id, state, after_ms)
    task = asyncio.create_task(notifier.run())
    try:
        return await notified
    finally:
        task.cancel()
        notifier.agent.close()


async def call_endpoint(
    address: Address,
    trace_id: str,
    key: str | None,
    body: bytes,
    policy_label: str | None,
    ambiguity_is_final: bool,
) -> Values:
    """Calls an endpoint once and returns how the response is interpreted."""
    client = EndpointClient(1000.0, 1000.0, 4, 4, ("x0", "x1"))
    attempt = Attempt(
        endpoint=3,
        address=address,
        trace_id=trace_id,
        idempotency_key=key,
        body=body,
        deadline_s=asyncio.get_running_loop().time() + CALL_S,
        may_write=lambda: True,
        ambiguity_is_final=ambiguity_is_final,
        policy_label=None if policy_label is None else lambda: policy_label,
        kind="k",
    )
    try:
        return _result(await client.attempt(attempt))
    finally:
        client.close()


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


class _RecordingRelay:
    """Accepts or rejects submissions by their id, and records them."""

    def __init__(self) -> None:
        self.is_ready = True
        self.has_capacity = True
        self.submissions: list[Submission] = []

    def accept(self, submission: Submission) -> SubmissionResult:
        self.submissions.append(submission)
        if submission.id == "refused":
            return SubmissionResult(False, reason="there is no room", retry_after_s=1.25)
        if submission.id == "malformed":
            raise InvalidMessageError("key", "is needed")
        return SubmissionResult(True, True)

    def cancel(self, message_id: str) -> bool:
        return True

    def mark_notified(self, message_ids: list[str]) -> None:
        """Notifications are not tracked."""


class ClientSide:
    """The client intake on a loopback port, in front of a relay that accepts nearly all submissions."""

    def __init__(self, config_file: Path, is_ready: bool) -> None:
        config: Config = load({"RELAY_CONFIG": str(config_file)})
        self._relay = _RecordingRelay()
        self._relay.is_ready = is_ready
        self._intake = ClientIntake(self._relay, replace(config, listen=("127.0.0.1", 0)), 8, 8)

    def listen(self) -> int:
        listener: ClientListener = self._intake.listener
        listener.listen("127.0.0.1", 0)
        return listener.port

    async def close(self) -> None:
        await self._intake.close()
        for connection in list(self._intake.listener.connections):
            connection.abort()
        await asyncio.sleep(0)  # the next iteration of the event loop closes them

    def submissions(self) -> list[Values]:
        return [
            {
                "id": submission.id,
                "class": submission.class_name,
                "tenant": submission.tenant,
                "destination": submission.destination,
                "key": submission.idempotency_key,
                "left ms": submission.remaining_ms,
                "handed in again": submission.resubmission,
                "body": submission.body.decode(),
                "front": submission.origin,
            }
            for submission in self._relay.submissions
        ]

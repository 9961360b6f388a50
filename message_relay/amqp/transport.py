"""Attempts at brokers: each is one publish, and the end of the publish gives its outcome.

| end of the publish | outcome | has it had an effect? |
| --- | --- | --- |
| basic.ack | delivered | yes |
| basic.nack | error, or rejected where the operator has set nack = "never_ran" | it may have, or never |
| basic.return before the ack | rejected | never |
| channel or connection lost after its last byte was written | reset | it may have |
| before that, or no connection at all | could not connect | never |
| not started: connection.blocked, flow control, too many unconfirmed | rejected, with a delay | never |
| no confirm in time | timed out; a confirm that arrives later is logged | it may have |
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping
from random import Random

from pamqp import commands

from ..config import Address
from ..core.ports import Attempt, AttemptResult, EndpointKey
from ..decisions.model import Outcome
from ..structured_logging import LogEvent
from .connection import BrokerConnection, NotConnectedError
from .events import Publish, PublishStatus
from .handshake import Login
from .reconnect_policy import ReconnectPolicy
from .settings import (
    ADDRESS_PREFIX,
    AmqpSettings,
    BrokerSettings,
    EndpointSettings,
    make_tls_context,
    read_credentials,
)

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 5.0  # for the whole opening of a connection and its channel
BLOCKED_RETRY_MS = 1000.0  # retry delay for a blocked broker: such a block lasts seconds at the least
BUSY_RETRY_MS = 100.0  # retry delay under flow control, with a full socket, or too many unconfirmed publishes
PERSISTENT = 2  # delivery mode


class Broker:
    """The connection to one broker: opened on demand, kept open, and opened again after a backoff."""

    def __init__(self, settings: BrokerSettings, rng: Random) -> None:
        """Raises ValueError if the credentials or the TLS files cannot be used."""
        user, password = read_credentials(settings)
        self.settings = settings
        self.login = Login(user, password, settings.vhost, settings.external, settings.heartbeat_s)
        self.tls = make_tls_context(settings)
        self.addresses: list[Address] = []
        for host in settings.hosts:
            name, _, port = host.rpartition(":")
            self.addresses.append((name.strip("[]"), int(port)))
        self.reconnect_policy = ReconnectPolicy(len(self.addresses), rng)
        self.connection: BrokerConnection | None = None
        self.connect_task: asyncio.Task[BrokerConnection] | None = None
        self.closed = False
        self.late_confirms = 0  # number of confirms that arrived after their publish was given up

    async def get_connection(self) -> BrokerConnection:
        """Returns a connection whose channel is open. Raises NotConnectedError, at once during a backoff."""
        if self.connection is not None and not self.connection.is_closed:
            await asyncio.shield(self.connection.publish_channel)
            return self.connection
        if self.connect_task is None:
            now = asyncio.get_running_loop().time()
            if self.closed or not self.reconnect_policy.may_connect(now):
                raise NotConnectedError(
                    f"{self.settings.name} is tried again in {self.reconnect_policy.not_before - now:.1f} s"
                )
            self.connect_task = asyncio.ensure_future(self._connect())
            self.connect_task.add_done_callback(self._on_connect_done)
        return await asyncio.shield(self.connect_task)

    async def _connect(self) -> BrokerConnection:
        loop = asyncio.get_running_loop()
        host, port = self.addresses[self.reconnect_policy.address_index]
        connection: BrokerConnection | None = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: BrokerConnection(self.login, self._on_closed, self._on_late_confirm),
                    host,
                    port,
                    ssl=self.tls,
                    server_hostname=None
                    if self.settings.tls is None
                    else self.settings.tls.server_name or host,
                )
                await asyncio.shield(connection.publish_channel)
        except (OSError, TimeoutError, NotConnectedError) as error:
            reason = str(error) or "no answer in time"
            if connection is not None and not connection.is_closed:
                connection.on_closed = lambda reason: None  # reported below
                connection.close()
            if connection is None or not isinstance(error, NotConnectedError):
                self._on_closed(reason)
            raise NotConnectedError(f"{self.settings.name} at {host}:{port}: {reason}") from None
        self.reconnect_policy.on_opened(loop.time())
        log.info(LogEvent("broker: connected", broker=self.settings.name, host=f"{host}:{port}"))
        self.connection = connection
        return connection

    def _on_connect_done(self, task: asyncio.Task[BrokerConnection]) -> None:
        self.connect_task = None
        if not task.cancelled():
            task.exception()  # marks it as retrieved: there may be nobody who waits for the task

    def _on_closed(self, reason: str) -> None:
        self.connection = None
        if not self.closed:
            delay_s = self.reconnect_policy.on_closed(asyncio.get_running_loop().time())
            log.warning(
                LogEvent(
                    "broker: disconnected", broker=self.settings.name, why=reason, wait_s=round(delay_s, 2)
                )
            )

    def _on_late_confirm(self, publish: Publish) -> None:
        self.late_confirms += 1
        log.warning(
            LogEvent(
                "broker: late confirm",
                broker=self.settings.name,
                id=publish.message_id,
                fate=publish.status.value,
            )
        )

    def close(self) -> None:
        """Closes the connection in order, and connects no more."""
        self.closed = True
        if self.connect_task is not None:
            self.connect_task.cancel()
        if self.connection is not None:
            self.connection.close()


class BrokerPublisher:
    """The transport for all endpoints at brokers (core.ports.Transport)."""

    def __init__(self, settings: AmqpSettings, rng: Random) -> None:
        """Raises ValueError if the credentials or the TLS files of a broker cannot be used."""
        self.brokers = {
            broker.name: Broker(broker, rng) for broker in settings.brokers
        }  # shared with the intake
        self.targets: Mapping[str, EndpointSettings] = {
            ADDRESS_PREFIX + endpoint.name: endpoint for endpoint in settings.endpoints
        }

    async def attempt(self, attempt: Attempt) -> AttemptResult:
        """Publishes a message and waits for its confirm, within the time of the attempt."""
        target = self.targets.get(attempt.address[0])
        if target is None:
            return AttemptResult(Outcome.CONNECT_FAILED)
        broker, connection, publish = self.brokers[target.broker], None, None
        try:
            async with asyncio.timeout_at(attempt.deadline_s):
                connection = await broker.get_connection()
                if not connection.may_publish():
                    return AttemptResult(
                        Outcome.FULL, retry_after_ms=BLOCKED_RETRY_MS if connection.blocked else BUSY_RETRY_MS
                    )
                if not attempt.may_write():
                    return AttemptResult(Outcome.NOT_SENT)
                publish, confirmation = connection.publish(
                    attempt.trace_id,
                    target.exchange,
                    target.routing_key,
                    attempt.body,
                    self._properties(attempt),
                )
                status = await confirmation
                broker.reconnect_policy.has_confirmed = (
                    broker.reconnect_policy.has_confirmed or status is PublishStatus.ACKED
                )
                return attempt_result(status, target)
        except NotConnectedError:
            return AttemptResult(Outcome.CONNECT_FAILED)
        except TimeoutError:
            return AttemptResult(Outcome.CONNECT_FAILED if publish is None else Outcome.TIMEOUT)
        finally:
            if connection is not None and publish is not None and publish.status is PublishStatus.OUT:
                connection.give_up(publish)

    @staticmethod
    def _properties(attempt: Attempt) -> commands.Basic.Properties:
        remaining_s = attempt.deadline_s - asyncio.get_running_loop().time()
        headers = {} if attempt.idempotency_key is None else {"idempotency-key": attempt.idempotency_key}
        return commands.Basic.Properties(
            delivery_mode=PERSISTENT,
            message_id=attempt.trace_id,
            headers=dict(headers),
            expiration=str(max(1, round(remaining_s * 1000))),
        )

    def retain_only(self, listed: set[EndpointKey]) -> None:
        """Nothing to do: one connection to a broker serves all of its endpoints."""

    def endpoint_changed(self, key: EndpointKey, listed: bool) -> None:
        """Nothing to do, for the same reason."""

    def sweep(self) -> None:
        """Nothing to do: heartbeats keep idle connections open."""

    def close(self) -> None:
        """Closes the connections to all brokers."""
        for broker in self.brokers.values():
            broker.close()


def attempt_result(status: PublishStatus, target: EndpointSettings) -> AttemptResult:
    """Maps the status of a publish to the result of its attempt, as in the table above."""
    match status:
        case PublishStatus.ACKED:
            return AttemptResult(Outcome.OK, is_finished=True)
        case PublishStatus.NACKED:
            return AttemptResult(Outcome.FULL if target.nack == "never_ran" else Outcome.ERROR)
        case PublishStatus.RETURNED:
            return AttemptResult(Outcome.FULL)
        case PublishStatus.UNWRITTEN:
            return AttemptResult(Outcome.CONNECT_FAILED)
        case _:
            return AttemptResult(Outcome.RESET)

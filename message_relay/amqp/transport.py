"""Attempts as publishes: what each one's end proves, in the relay's words.

| what comes | outcome | has it run? |
| --- | --- | --- |
| basic.ack | delivered | yes |
| basic.nack | error, or turned away where the operator says that it never ran | it may have, or never |
| basic.return before it | turned away | never |
| channel or connection lost after its last byte was handed over | reset | it may have |
| before that, or no connection at all | could not connect | never |
| connection.blocked, flow, too many without a confirm | turned away, with a wait | never |
| nothing | timed out; a confirm that comes later is logged | it may have |
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
from .protocol import Fate, Login, Publish
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

CONNECT_S = 5.0  # until a broker has answered all that opening takes
BLOCKED_MS = 1000.0  # a blocked broker is not asked again sooner: such a block lasts seconds at the least
BUSY_MS = 100.0  # flow, a full socket, or too many that wait for their confirms
PERSISTENT = 2  # delivery mode


class Broker:
    """The connection to one broker: made when it is needed, kept, and made anew after a wait."""

    def __init__(self, part: BrokerSettings, rng: Random) -> None:
        """Raises ValueError where its credentials cannot be read."""
        user, password = read_credentials(part)
        self.part = part
        self.login = Login(user, password, part.vhost, part.external, part.heartbeat_s)
        self.tls = make_tls_context(part)
        self.addresses: list[Address] = []
        for host in part.hosts:
            name, _, port = host.rpartition(":")
            self.addresses.append((name.strip("[]"), int(port)))
        self.life = ReconnectPolicy(len(self.addresses), rng)
        self.link: BrokerConnection | None = None
        self.opening: asyncio.Task[BrokerConnection] | None = None
        self.closed = False
        self.late = 0  # confirms that came after their publish was given up

    async def linked(self) -> BrokerConnection:
        """A connection with its channel open. Raises NoLink at once while it is not to be tried again."""
        if self.link is not None and not self.link.over:
            await asyncio.shield(self.link.ready)
            return self.link
        if self.opening is None:
            now = asyncio.get_running_loop().time()
            if self.closed or not self.life.may_connect(now):
                raise NotConnectedError(
                    f"{self.part.name} is tried again in {self.life.not_before - now:.1f} s"
                )
            self.opening = asyncio.ensure_future(self._open())
            self.opening.add_done_callback(self._opened)
        return await asyncio.shield(self.opening)

    async def _open(self) -> BrokerConnection:
        loop = asyncio.get_running_loop()
        host, port = self.addresses[self.life.address_index]
        link: BrokerConnection | None = None
        try:
            async with asyncio.timeout(CONNECT_S):
                _, link = await loop.create_connection(
                    lambda: BrokerConnection(self.login, self._ended, self._late),
                    host,
                    port,
                    ssl=self.tls,
                    server_hostname=None if self.part.tls is None else self.part.tls.server_name or host,
                )
                await asyncio.shield(link.ready)
        except (OSError, TimeoutError, NotConnectedError) as error:
            why = str(error) or "it does not answer"
            if link is not None and not link.over:
                link.on_end = lambda why: None  # told here
                link.close()
            if link is None or not isinstance(error, NotConnectedError):
                self._ended(why)
            raise NotConnectedError(f"{self.part.name} at {host}:{port}: {why}") from None
        self.life.on_opened(loop.time())
        log.info(LogEvent("broker: connected", broker=self.part.name, host=f"{host}:{port}"))
        self.link = link
        return link

    def _opened(self, task: asyncio.Task[BrokerConnection]) -> None:
        self.opening = None
        if not task.cancelled():
            task.exception()  # those that wait have it; there may be none

    def _ended(self, why: str) -> None:
        self.link = None
        if not self.closed:
            wait = self.life.on_closed(asyncio.get_running_loop().time())
            log.warning(
                LogEvent("broker: no connection", broker=self.part.name, why=why, wait_s=round(wait, 2))
            )

    def _late(self, publish: Publish) -> None:
        self.late += 1
        log.warning(
            LogEvent(
                "broker: a confirm came after its time",
                broker=self.part.name,
                id=publish.ident,
                fate=publish.fate.value,
            )
        )

    def close(self) -> None:
        self.closed = True
        if self.opening is not None:
            self.opening.cancel()
        if self.link is not None:
            self.link.close()


class BrokerPublisher:
    """The transport of all endpoints that are brokers' (core.seams.Transport)."""

    def __init__(self, part: AmqpSettings, rng: Random) -> None:
        """Raises ValueError."""
        self.brokers = {each.name: Broker(each, rng) for each in part.brokers}  # fronts use them too
        self.targets: Mapping[str, EndpointSettings] = {
            ADDRESS_PREFIX + each.name: each for each in part.endpoints
        }

    async def attempt(self, attempt: Attempt) -> AttemptResult:
        target = self.targets.get(attempt.address[0])
        if target is None:
            return AttemptResult(Outcome.CONNECT_FAILED)
        broker, link, publish = self.brokers[target.broker], None, None
        try:
            async with asyncio.timeout_at(attempt.deadline_s):
                link = await broker.linked()
                if not link.may_publish():
                    return AttemptResult(Outcome.FULL, retry_after_ms=BLOCKED_MS if link.blocked else BUSY_MS)
                if not attempt.may_write():
                    return AttemptResult(Outcome.NOT_SENT)
                publish, confirmed = link.publish(
                    attempt.trace_id,
                    target.exchange,
                    target.routing_key,
                    attempt.body,
                    self._properties(attempt),
                )
                fate = await confirmed
                broker.life.has_confirmed = broker.life.has_confirmed or fate is Fate.ACKED
                return answered(fate, target)
        except NotConnectedError:
            return AttemptResult(Outcome.CONNECT_FAILED)
        except TimeoutError:
            return AttemptResult(Outcome.CONNECT_FAILED if publish is None else Outcome.TIMEOUT)
        finally:
            if link is not None and publish is not None and publish.fate is Fate.OUT:
                link.give_up(publish)

    @staticmethod
    def _properties(attempt: Attempt) -> commands.Basic.Properties:
        left = attempt.deadline_s - asyncio.get_running_loop().time()
        headers = {} if attempt.idempotency_key is None else {"idempotency-key": attempt.idempotency_key}
        return commands.Basic.Properties(
            delivery_mode=PERSISTENT,
            message_id=attempt.trace_id,
            headers=dict(headers),
            expiration=str(max(1, round(left * 1000))),
        )

    def retain_only(self, listed: set[EndpointKey]) -> None:
        """A broker's connection stands for all of its endpoints: nothing to drop."""

    def endpoint_changed(self, key: EndpointKey, listed: bool) -> None:
        """As above."""

    def sweep(self) -> None:
        """Heartbeats keep what is idle."""

    def close(self) -> None:
        for broker in self.brokers.values():
            broker.close()


def answered(fate: Fate, target: EndpointSettings) -> AttemptResult:
    """The table above, for what came back."""
    match fate:
        case Fate.ACKED:
            return AttemptResult(Outcome.OK, is_finished=True)
        case Fate.NACKED:
            return AttemptResult(Outcome.FULL if target.nack == "never_ran" else Outcome.ERROR)
        case Fate.RETURNED:
            return AttemptResult(Outcome.FULL)
        case Fate.UNWRITTEN:
            return AttemptResult(Outcome.CONNECT_FAILED)
        case _:
            return AttemptResult(Outcome.RESET)

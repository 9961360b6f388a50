"""TLS to a broker: who it is, who we are; with keys made for the test."""

from __future__ import annotations

import asyncio
import contextlib
import random
import ssl
from collections.abc import Iterator
from pathlib import Path

import pytest
import trustme

from fakes.amqp_broker import Broker, Session
from message_relay.amqp.settings import (
    AmqpSettings,
    BrokerSettings,
    EndpointSettings,
    TlsSettings,
    make_tls_context,
)
from message_relay.amqp.transport import BrokerPublisher
from message_relay.decisions.model import Outcome

from ..loopback import run
from .test_delivery import attempt


@contextlib.contextmanager
def keys(folder: Path) -> Iterator[tuple[trustme.CA, ssl.SSLContext]]:
    """An authority, and a broker's side that asks for certificates of it."""
    authority = trustme.CA()
    authority.cert_pem.write_to_path(str(folder / "ca.pem"))
    ours = authority.issue_cert("relay.test")
    ours.cert_chain_pems[0].write_to_path(str(folder / "cert.pem"))
    ours.private_key_pem.write_to_path(str(folder / "key.pem"))
    other = trustme.CA()
    other.cert_pem.write_to_path(str(folder / "other.pem"))
    server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert("127.0.0.1").configure_cert(server)
    authority.configure_trust(server)
    server.verify_mode = ssl.CERT_OPTIONAL
    yield authority, server


def tls(folder: Path, ca: str = "ca.pem", own: bool = False, name: str = "") -> TlsSettings:
    mine = (str(folder / "cert.pem"), str(folder / "key.pem")) if own else ("", "")
    return TlsSettings(str(folder / ca), *mine, name)


async def outcome(part: BrokerSettings) -> Outcome:
    out = BrokerPublisher(AmqpSettings([part], [EndpointSettings("jobs", 7, "b", "q")]), random.Random(1))
    try:
        return (await out.attempt(attempt())).outcome
    finally:
        out.close()
        await asyncio.sleep(0.01)


def test_broker_is_authenticated_by_certificate_and_name(tmp_path: Path) -> None:
    async def work() -> None:
        broker = Broker()
        broker.declare("q")
        with keys(tmp_path) as (_, server):
            listening = await asyncio.get_running_loop().create_server(
                lambda: Session(broker), "127.0.0.1", 0, ssl=server
            )
            at = [f"127.0.0.1:{listening.sockets[0].getsockname()[1]}"]
            assert await outcome(BrokerSettings("b", at, tls=tls(tmp_path))) is Outcome.OK
            unknown = tls(tmp_path, "other.pem")
            assert await outcome(BrokerSettings("b", at, tls=unknown)) is Outcome.CONNECT_FAILED
            wrong = tls(tmp_path, name="broker.test")
            assert await outcome(BrokerSettings("b", at, tls=wrong)) is Outcome.CONNECT_FAILED
            assert await outcome(BrokerSettings("b", at)) is Outcome.CONNECT_FAILED  # in plain
            assert len(broker.effects) == 1
            listening.close()

    run(work())


def test_external_requires_client_certificate(tmp_path: Path) -> None:
    async def work() -> None:
        broker = Broker(password="nobody knows it")
        broker.declare("q")
        with keys(tmp_path) as (_, server):
            listening = await asyncio.get_running_loop().create_server(
                lambda: Session(broker), "127.0.0.1", 0, ssl=server
            )
            at = [f"127.0.0.1:{listening.sockets[0].getsockname()[1]}"]
            mine = BrokerSettings("b", at, tls=tls(tmp_path, own=True), external=True)
            assert await outcome(mine) is Outcome.OK
            assert await outcome(BrokerSettings("b", at, tls=tls(tmp_path))) is Outcome.CONNECT_FAILED
            listening.close()

    run(work())


def test_unusable_files_and_invalid_settings_are_rejected(tmp_path: Path) -> None:
    with keys(tmp_path):
        (tmp_path / "bad.pem").write_text("no key")
        for part in (
            TlsSettings(str(tmp_path / "none.pem")),
            TlsSettings(str(tmp_path / "bad.pem")),
            TlsSettings("", str(tmp_path / "cert.pem"), str(tmp_path / "bad.pem")),
        ):
            with pytest.raises(ValueError, match="amqp.brokers.tls of b"):
                make_tls_context(BrokerSettings("b", ["a:1"], tls=part))
    with pytest.raises(ValueError, match="needs tls.cert"):
        BrokerSettings("b", ["a:1"], external=True)
    with pytest.raises(ValueError, match="both are needed"):
        TlsSettings(cert="x")
    with pytest.raises(ValueError, match="no meaning with external"):
        BrokerSettings("b", ["a:1"], tls=TlsSettings("", "x", "y"), external=True, credentials="f")

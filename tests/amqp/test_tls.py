"""TLS to a broker: authentication of both sides, with certificates issued for the test."""

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
def issued_certificates(folder: Path) -> Iterator[tuple[trustme.CA, ssl.SSLContext]]:
    """Writes a CA and the relay's certificate to the folder; yields the CA and a context for the broker."""
    authority = trustme.CA()
    authority.cert_pem.write_to_path(str(folder / "ca.pem"))
    relay_cert = authority.issue_cert("relay.test")
    relay_cert.cert_chain_pems[0].write_to_path(str(folder / "cert.pem"))
    relay_cert.private_key_pem.write_to_path(str(folder / "key.pem"))
    other_authority = trustme.CA()
    other_authority.cert_pem.write_to_path(str(folder / "other.pem"))
    server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert("127.0.0.1").configure_cert(server)
    authority.configure_trust(server)
    server.verify_mode = ssl.CERT_OPTIONAL
    yield authority, server


def tls(
    folder: Path, ca: str = "ca.pem", with_client_cert: bool = False, server_name: str = ""
) -> TlsSettings:
    client_cert = (str(folder / "cert.pem"), str(folder / "key.pem")) if with_client_cert else ("", "")
    return TlsSettings(str(folder / ca), *client_cert, server_name)


async def outcome(settings: BrokerSettings) -> Outcome:
    publisher = BrokerPublisher(
        AmqpSettings([settings], [EndpointSettings("jobs", 7, "b", "q")]), random.Random(1)
    )
    try:
        return (await publisher.attempt(attempt())).outcome
    finally:
        publisher.close()
        await asyncio.sleep(0.01)


def test_broker_is_authenticated_by_certificate_and_name(tmp_path: Path) -> None:
    async def work() -> None:
        broker = Broker()
        broker.declare("q")
        with issued_certificates(tmp_path) as (_, server):
            listener = await asyncio.get_running_loop().create_server(
                lambda: Session(broker), "127.0.0.1", 0, ssl=server
            )
            hosts = [f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"]
            assert await outcome(BrokerSettings("b", hosts, tls=tls(tmp_path))) is Outcome.OK
            unknown = tls(tmp_path, "other.pem")
            assert await outcome(BrokerSettings("b", hosts, tls=unknown)) is Outcome.CONNECT_FAILED
            wrong = tls(tmp_path, server_name="broker.test")
            assert await outcome(BrokerSettings("b", hosts, tls=wrong)) is Outcome.CONNECT_FAILED
            assert await outcome(BrokerSettings("b", hosts)) is Outcome.CONNECT_FAILED  # plain TCP
            assert len(broker.effects) == 1
            listener.close()

    run(work())


def test_external_requires_client_certificate(tmp_path: Path) -> None:
    async def work() -> None:
        broker = Broker(password="nobody knows it")
        broker.declare("q")
        with issued_certificates(tmp_path) as (_, server):
            listener = await asyncio.get_running_loop().create_server(
                lambda: Session(broker), "127.0.0.1", 0, ssl=server
            )
            hosts = [f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"]
            external = BrokerSettings("b", hosts, tls=tls(tmp_path, with_client_cert=True), external=True)
            assert await outcome(external) is Outcome.OK
            assert await outcome(BrokerSettings("b", hosts, tls=tls(tmp_path))) is Outcome.CONNECT_FAILED
            listener.close()

    run(work())


def test_unusable_files_and_invalid_settings_are_rejected(tmp_path: Path) -> None:
    with issued_certificates(tmp_path):
        (tmp_path / "bad.pem").write_text("no key")
        for settings in (
            TlsSettings(str(tmp_path / "none.pem")),
            TlsSettings(str(tmp_path / "bad.pem")),
            TlsSettings("", str(tmp_path / "cert.pem"), str(tmp_path / "bad.pem")),
        ):
            with pytest.raises(ValueError, match="amqp.brokers.tls of b"):
                make_tls_context(BrokerSettings("b", ["a:1"], tls=settings))
    with pytest.raises(ValueError, match="needs tls.cert"):
        BrokerSettings("b", ["a:1"], external=True)
    with pytest.raises(ValueError, match="both are needed"):
        TlsSettings(cert="x")
    with pytest.raises(ValueError, match="no meaning with external"):
        BrokerSettings("b", ["a:1"], tls=TlsSettings("", "x", "y"), external=True, credentials="f")

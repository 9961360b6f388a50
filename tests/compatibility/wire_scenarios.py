"""Traffic over HTTP and AMQP: conversations with a server or client that records the bytes."""

from __future__ import annotations

import asyncio
import json
import re
import tempfile
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from pamqp import base, commands, frame, header

from . import amqp_binding as amqp
from . import http_binding as http

Values = dict[str, Any]
PATIENCE_S = 20.0  # only a hang reaches this limit
PORT_MASK, LEFT_MASK = "PORT", "TIME-LEFT"
TIME_LEFT = re.compile(r"(?<=X-Expires-In-Ms: )\d+")  # depends on the event loop's clock
PLATFORM_FILE = Path(__file__).parent / "fixtures" / "wire" / "platform.json"

LIST = {
    "generation": 41,
    "reset": True,
    "instances": [
        {
            "instanceId": "s-1",
            "cell": 7,
            "lifecycle": "ready",
            "hostPort": "10.0.0.1:80",
            "machineType": "k",
            "zone": "z",
            "weight": 50.5,
        },
        {"instanceId": "s-2", "cell": 8, "lifecycle": "draining", "hostPort": "[::1]:81"},
        {"instanceId": "s-3", "cell": 8, "lifecycle": "gone", "hostPort": "10.0.0.3:82"},
        {"instanceId": "s-4", "lifecycle": "gone"},
        {"instanceId": "s-5"},
    ],
}


def run(work: Awaitable[Any]) -> Any:
    async def limited() -> Any:
        async with asyncio.timeout(PATIENCE_S):
            return await work

    return asyncio.run(limited())


def answer(status: int, body: str = "", *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", body]
    return "\r\n".join(lines).encode()


async def request_of(work: Callable[[tuple[str, int]], Awaitable[Any]], reply: bytes) -> list[Any]:
    """Returns the request that `work` sends to a server, varying parts masked, and the result of `work`."""
    raw, writers = bytearray(), list[asyncio.StreamWriter]()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raw.extend(await reader.readuntil(b"\r\n\r\n"))
        length = re.search(rb"Content-Length: (\d+)", raw)
        raw.extend(await reader.readexactly(int(length[1]) if length else 0))
        writer.write(reply)
        writers.append(writer)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()[:2]
    result = await work(address)
    for writer in writers:
        writer.close()
        await writer.wait_closed()
    server.close()
    text = raw.decode("latin-1").replace(f":{address[1]}", f":{PORT_MASK}")
    return [TIME_LEFT.sub(LEFT_MASK, text), result]


# -- the platform's agent and endpoints --------------------------------------------------------------------


def agent_requests() -> Values:
    list_reply = answer(200, json.dumps(LIST))
    outcomes = [("m-1", "failed", 0.0), ("m-2", "returned", 1499.6)]
    return {
        "plain": run(
            request_of(
                lambda address: http.request_agent(address, "GET", "/v1/any?x=1", b"body"), answer(204)
            )
        ),
        "whole list": run(
            request_of(lambda address: http.request_endpoint_list(address, None, False), list_reply)
        )[0],
        "list from a version": run(
            request_of(lambda address: http.request_endpoint_list(address, LIST, False), list_reply)
        )[0],
        "watch from a version": run(
            request_of(lambda address: http.request_endpoint_list(address, LIST, True), list_reply)
        )[0],
        "notices": run(request_of(lambda address: http.notify_outcomes(address, outcomes), answer(204))),
        "list as it is read": http.list_values(LIST),
    }


ENDPOINT_ANSWERS = {
    "done": answer(200),
    "too much": answer(429, "", "X-RateLimit-Wait-Ms: 250"),
    "no slot": answer(503, "", "X-Over-Slots: 1"),
    "not now": answer(503, "", "X-RateLimit-Wait-Ms: 40"),
    "not in time": answer(504),
    "gone": answer(410),
    "failed": answer(500),
}


def endpoint_calls() -> Values:
    def call(key: str | None, policy_label: str | None, ambiguity_is_final: bool, reply: bytes) -> Any:
        return run(
            request_of(
                lambda address: http.call_endpoint(
                    address, "m-1", key, b"hello", policy_label, ambiguity_is_final
                ),
                reply,
            )
        )

    results: Values = {name: call(None, None, False, reply)[1] for name, reply in ENDPOINT_ANSWERS.items()}
    results["plain call"] = call(None, None, False, answer(200))
    results["call with all"] = call("k-1", "7+8", False, answer(200))
    results["careful call"] = call("k-1", "7/standby", True, answer(200))
    results["load report"] = http.load_report("TEXT x0=0.5, x1=12", ["x0", "x1"])
    return results


# -- clients -----------------------------------------------------------------------------------------------


def message(message_id: str, *extra_lines: str, body: str = "hello", **changed: str) -> bytes:
    headers = {
        "Host": "relay",
        "X-Trace-Id": message_id,
        "X-Qos": "safe",
        "X-Customer": "t",
        "X-Expires-In-Ms": "8000",
        "X-Addressing": "dest=7",
        "Idempotency-Key": "k-1",
        "X-Second-Try": "1",
        "Content-Length": str(len(body)),
        **{name.replace("_", "-"): value for name, value in changed.items()},
    }
    lines = [
        "POST /safe HTTP/1.1",
        *(f"{name}: {value}" for name, value in headers.items()),
        *extra_lines,
        "",
        body,
    ]
    return "\r\n".join(lines).encode()


CLIENT_REQUESTS = {
    "taken": message("m-1"),
    "taken, in an unusual form": message("m-2", "X-Other: 1"),
    "taken, and the end of the connection": message("m-3", "Connection: close"),
    "refused": message("refused"),
    "refused, in an unusual form": message("refused", "X-Other: 1"),
    "malformed": message("malformed"),
    "another class": message("m-4", X_Qos="pay"),
    "no time": message("m-5", X_Expires_In_Ms="soon"),
    "no destination": message("m-6", X_Addressing="cell=7"),
    "twice the same header": message("m-7", "X-Trace-Id: m-8"),
    "two lengths": message("m-9", "Transfer-Encoding: chunked"),
    "too long": message("m-10", body="x" * 70_000),
    "more than its length": message("m-11", "X-Other: 1") + b"more",
    "another method": b"PUT /safe HTTP/1.1\r\nHost: relay\r\nContent-Length: 0\r\n\r\n",
    "health": b"GET /healthz HTTP/1.1\r\nHost: relay\r\n\r\n",
    "no HTTP": b"nonsense\r\n\r\n",
}


async def _client_answers(requests: dict[str, bytes], is_ready: bool) -> Values:
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder, "config.json")
        config.write_text(json.dumps({**json.loads(PLATFORM_FILE.read_text()), "state": folder}))
        clients = http.ClientSide(config, is_ready)
        port, answers = clients.listen(), dict[str, Any]()
        for name, request in requests.items():
            answers[name] = await _answer(port, request)
        answers["as handed in"] = clients.submissions()
        await clients.close()
        return answers


async def _answer(port: int, request: bytes) -> str:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request)
    head = await reader.readuntil(b"\r\n\r\n")
    length = re.search(rb"(?i)content-length: (\d+)", head)
    body = await reader.readexactly(int(length[1]) if length else 0)
    writer.close()
    return (head + body).decode("latin-1")


def client_answers() -> Values:
    answers: Values = run(_client_answers(CLIENT_REQUESTS, True))
    answers["health while it starts"] = run(_client_answers({"health": CLIENT_REQUESTS["health"]}, False))[
        "health"
    ]
    return answers


# -- AMQP --------------------------------------------------------------------------------------------------


def _encoded_frame(value: base.Frame, channel: int = 0) -> bytes:
    return bytes(frame.marshal(value, channel))


START = _encoded_frame(commands.Connection.Start(0, 9, {}, "PLAIN EXTERNAL", "en_US"))
TUNE = _encoded_frame(commands.Connection.Tune(2047, 131_072, 10))
OPEN_OK = _encoded_frame(commands.Connection.OpenOk())
CONFIRM_CHANNEL_OPEN = _encoded_frame(commands.Channel.OpenOk(), 1) + _encoded_frame(
    commands.Confirm.SelectOk(), 1
)
CONSUME_CHANNEL_OPEN = _encoded_frame(commands.Channel.OpenOk(), 2) + _encoded_frame(
    commands.Basic.QosOk(), 2
)


def amqp_frames() -> Values:
    """Maps each step to all bytes that a connection writes in it, in hex."""
    connection = amqp.Connection("user", "secret", "/relay", False)
    external = amqp.Connection("", "", "/", True)
    external.sent()
    properties = commands.Basic.Properties(message_id="m-1", delivery_mode=2)
    steps = {
        "protocol": connection.sent(),
        "start-ok": connection.receive(START),
        "start-ok, external": external.receive(START),
        "tune-ok and open": connection.receive(TUNE),
        "nothing": connection.receive(OPEN_OK),
        "channel for publishing": connection.open_channel(0),
        "confirm.select": connection.receive(_encoded_frame(commands.Channel.OpenOk(), 1)),
        "ready": connection.receive(_encoded_frame(commands.Confirm.SelectOk(), 1)),
        "publish": connection.publish(1, "exchange", "key", b"hello", properties),
        "channel for consuming": connection.open_channel(20),
        "qos": connection.receive(_encoded_frame(commands.Channel.OpenOk(), 2)),
        "consuming": connection.receive(_encoded_frame(commands.Basic.QosOk(), 2)),
        "consume": connection.consume(2, "orders", "tag"),
        "acknowledge": connection.acknowledge(2, 5),
        "reject": connection.reject(2, 6),
        "cancel": connection.cancel(2, "tag"),
        "heartbeat": connection.heartbeat(6.0),
        "close a channel": connection.close_channel(1),
        "close": connection.close(),
    }
    return {name: data.hex() for name, data in steps.items()}


async def _connection_frames() -> Values:
    def properties(key: str | None) -> str:
        return bytes(header.ContentHeader(0, 0, amqp.message_properties("m-1", key)).marshal()).hex()

    connection = amqp.OpenConnection(START + TUNE + OPEN_OK, CONFIRM_CHANNEL_OPEN)
    confirm = _encoded_frame(commands.Basic.Ack(delivery_tag=1), 1)
    frames = {
        "properties of a message": properties("k-1"),
        "properties without a key": properties(None),
        "subscription": connection.subscribe(20, "orders", CONSUME_CHANNEL_OPEN).hex(),
        "an end that is passed on": (
            await connection.publish_final_outcome("m-1", "returned", 1499.6, "replies", "c-1", confirm)
        ).hex(),
    }
    connection.close()
    return frames


def _deliveries() -> Values:
    full = commands.Basic.Properties(
        message_id="m-1",
        message_type="pay",
        headers={"destination": 7, "tenant": "t", "idempotency-key": "k-1"},
        expiration="2500",
        reply_to="replies",
        correlation_id="c 1",
        timestamp=datetime(2100, 1, 1, tzinfo=UTC),
    )
    short = commands.Basic.Properties(message_id="m-2", message_type="pay", headers={"destination": "8"})
    return {
        "full": amqp.submission_of_delivery(full, b"hello"),
        "short": amqp.submission_of_delivery(short, b""),
    }


def amqp_links() -> Values:
    return {
        **run(_connection_frames()),
        "deliveries": _deliveries(),
        "endpoint of the operator's file": amqp.configured_endpoint(),
    }

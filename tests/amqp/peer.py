"""A broker's frames, written out by a test, and connections that have reached a given state."""

from __future__ import annotations

from pamqp import base, body, commands, frame, header

from message_relay.amqp.events import Event
from message_relay.amqp.handshake import Login
from message_relay.amqp.protocol import ConnectionProtocol

Properties = commands.Basic.Properties


def encode_method(value: base.Frame, channel: int = 0) -> bytes:
    return frame.marshal(value, channel)


def encode_content(method: base.Frame, data: bytes, channel: int = 1, message_id: str = "") -> bytes:
    properties = Properties(message_id=message_id)
    encoded = frame.marshal(method, channel) + frame.marshal(
        header.ContentHeader(0, len(data), properties), channel
    )
    return encoded + (frame.marshal(body.ContentBody(data), channel) if data else b"")


START = encode_method(commands.Connection.Start(0, 9, {}, "PLAIN AMQPLAIN", "en_US"))


def tune(frame_max: int = 131_072, heartbeat: int = 10, channel_max: int = 2047) -> bytes:
    return encode_method(commands.Connection.Tune(channel_max, frame_max, heartbeat))


def feed(machine: ConnectionProtocol, data: bytes, now: float = 0.0) -> list[Event]:
    """Feeds received bytes, and marks all bytes to send as written."""
    events = machine.receive_data(data, now)
    machine.mark_written(len(machine.data_to_send(now)))
    return events


def opened_connection(**limits: int) -> ConnectionProtocol:
    machine = ConnectionProtocol(Login(), 0.0)
    machine.mark_written(len(machine.data_to_send(0.0)))
    feed(machine, START + tune(**limits) + encode_method(commands.Connection.OpenOk()))
    return machine


def connection_with_channel(prefetch: int = 0, **limits: int) -> ConnectionProtocol:
    """A connection whose channel 1 is ready for publishing or, with `prefetch`, for consuming."""
    machine = opened_connection(**limits)
    machine.open_channel(prefetch)
    set_up_ok: base.Frame = commands.Basic.QosOk() if prefetch else commands.Confirm.SelectOk()
    feed(machine, encode_method(commands.Channel.OpenOk(), 1) + encode_method(set_up_ok, 1))
    return machine

"""A broker by hand: frames that a test writes out one by one, and a machine that has got so far."""

from __future__ import annotations

from pamqp import base, body, commands, frame, header

from message_relay.amqp.protocol import ConnectionProtocol, Event, Login

Properties = commands.Basic.Properties


def raw(value: base.Frame, channel: int = 0) -> bytes:
    return frame.marshal(value, channel)


def content(method: base.Frame, data: bytes, channel: int = 1, ident: str = "") -> bytes:
    properties = Properties(message_id=ident)
    out = frame.marshal(method, channel) + frame.marshal(
        header.ContentHeader(0, len(data), properties), channel
    )
    return out + (frame.marshal(body.ContentBody(data), channel) if data else b"")


START = raw(commands.Connection.Start(0, 9, {}, "PLAIN AMQPLAIN", "en_US"))


def tune(frame_max: int = 131_072, heartbeat: int = 10, channel_max: int = 2047) -> bytes:
    return raw(commands.Connection.Tune(channel_max, frame_max, heartbeat))


def feed(machine: ConnectionProtocol, data: bytes, now: float = 0.0) -> list[Event]:
    """And all that it has to say is written."""
    events = machine.received(data, now)
    machine.wrote(len(machine.take(now)))
    return events


def opened(**tuned: int) -> ConnectionProtocol:
    machine = ConnectionProtocol(Login(), 0.0)
    machine.wrote(len(machine.take(0.0)))
    feed(machine, START + tune(**tuned) + raw(commands.Connection.OpenOk()))
    return machine


def ready(prefetch: int = 0, **tuned: int) -> ConnectionProtocol:
    """With channel 1 for publishing, or for consuming."""
    machine = opened(**tuned)
    machine.open_channel(prefetch)
    done: base.Frame = commands.Basic.QosOk() if prefetch else commands.Confirm.SelectOk()
    feed(machine, raw(commands.Channel.OpenOk(), 1) + raw(done, 1))
    return machine

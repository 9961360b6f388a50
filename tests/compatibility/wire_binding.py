"""Encodes and decodes every message between instances, by a neutral name of its kind.

A message is given in its JSON form (arrays for compact messages, base64 for bytes). Decoded fields are read
by attribute, so that a field that changes its position or meaning is detected.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from message_relay.consensus.admin_socket import AdminRequest
from message_relay.consensus.lease_protocol import LeaseGrant, LeaseRenewal
from message_relay.consensus.rules import Rules
from message_relay.consensus.rules_codec import decode_rules, encode_rules
from message_relay.consensus.version_history import CommandResult as CommandAnswer
from message_relay.consensus.version_history import Command, Version, decode_command
from message_relay.failover.observations import ObservationReport
from message_relay.gossip.framing import Hello
from message_relay.gossip.wire import Packet, open_packet, seal_packet
from message_relay.sharded_directory import wire as shard_wire

from .agreement_binding import (
    command_answer_values,
    command_values,
    grant_values,
    admin_request_values,
    renewal_values,
    report_values,
    rules_values,
    version_values,
)
from .gossip_binding import hello_values, packet_values
from .shard_binding import row_values, shard_message_values

Plain = Any
SECRET = b"0123456789abcdef"

_pack = msgspec.msgpack.encode


@dataclass(frozen=True)
class _Format:
    shape: Any
    write: Callable[[Any], bytes]
    read: Callable[[bytes], Any]
    values: Callable[[Any], Any]


def _msgpack(shape: Any, values: Callable[[Any], Any]) -> _Format:
    return _Format(shape, _pack, lambda raw: msgspec.msgpack.decode(raw, type=shape), values)


def _json(shape: Any, values: Callable[[Any], Any], read: Callable[[bytes], Any] | None = None) -> _Format:
    return _Format(
        shape, msgspec.json.encode, read or (lambda raw: msgspec.json.decode(raw, type=shape)), values
    )


def _plain(value: Any) -> Any:
    return list(value) if isinstance(value, tuple) else value


_FORMATS: dict[str, _Format] = {
    "gossip": _Format(
        Packet, lambda packet: seal_packet(packet, b""), lambda raw: open_packet(raw, b""), packet_values
    ),
    "sealed gossip": _Format(
        Packet,
        lambda packet: seal_packet(packet, SECRET),
        lambda raw: open_packet(raw, SECRET),
        packet_values,
    ),
    "hello": _msgpack(Hello, hello_values),
    "lease renewal": _msgpack(LeaseRenewal, renewal_values),
    "lease grant": _msgpack(LeaseGrant, grant_values),
    "boot question": _msgpack(tuple[str, int], _plain),
    "boot answer": _msgpack(int, _plain),
    "version question": _msgpack(int, _plain),
    "version": _msgpack(Version, version_values),
    "command": _json(Command, command_values, decode_command),
    "command answer": _json(CommandAnswer, command_answer_values),
    "operator's question": _json(AdminRequest, admin_request_values),
    "rules": _Format(Rules, encode_rules, decode_rules, rules_values),
    "evidence": _msgpack(ObservationReport, report_values),
    "shards": _Format(
        shard_wire.DirectoryMessage,
        shard_wire.encode_message,
        shard_wire.decode_message,
        shard_message_values,
    ),
    "shard rows": _msgpack(list[shard_wire.Row], lambda rows: [row_values(row) for row in rows]),
}


def encode(kind: str, plain: Plain) -> bytes:
    """Encodes a message from its JSON form."""
    format_ = _FORMATS[kind]
    return format_.write(msgspec.json.decode(msgspec.json.encode(plain), type=format_.shape))


def decode(kind: str, raw: bytes) -> Any:
    """Decodes a message into values under neutral keys."""
    format_ = _FORMATS[kind]
    return format_.values(format_.read(raw))


def reencode(kind: str, raw: bytes) -> bytes:
    format_ = _FORMATS[kind]
    return format_.write(format_.read(raw))


def kinds() -> list[str]:
    return sorted(_FORMATS)

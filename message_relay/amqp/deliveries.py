"""Converts the deliveries of a queue into submissions. It does no I/O, but for the time of the day.

| property | meaning |
| --- | --- |
| message_id | id of the message |
| type | message class |
| headers: destination, tenant, idempotency-key | as the HTTP headers of the same meaning |
| expiration | ms that it may still be delivered; absent: the longest time of its class |
| timestamp | when it was sent, optional: the time since then is subtracted from `expiration` |
| reply_to, correlation_id | where its final outcome is published |
"""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Self
from urllib.parse import quote, unquote

from pamqp import commands

from ..core.acceptance import MAX_REMAINING_MS
from ..core.ports import InvalidMessageError, Submission
from .events import Delivered

NAME = "amqp"  # of the intake, in the journal
MAX_REPLY_ADDRESS = 400  # characters of reply_to and correlation_id; if longer, no outcome is published
MAX_EXPIRATION_DIGITS = 9
TIMESTAMP_RESOLUTION_MS = 1000


@dataclass(frozen=True, slots=True)
class ReplyAddress:
    """Where the final outcome of a message is published."""

    broker: str
    queue: str
    correlation_id: str

    @classmethod
    def from_origin(cls, origin: str) -> Self | None:
        """Returns the address in an origin; None if its client asked for no outcome."""
        if " " not in origin:
            return None
        _, broker, queue, correlation_id = (unquote(part) for part in origin.split(" "))
        return cls(broker, queue, correlation_id)


def origin_of(broker: str, properties: commands.Basic.Properties) -> str:
    """The origin that the journal stores, so that the outcome can be published after a restart, too."""
    reply_to, correlation_id = (
        properties.reply_to or "",
        properties.correlation_id or properties.message_id or "",
    )
    if not reply_to or len(reply_to) + len(str(correlation_id)) > MAX_REPLY_ADDRESS:
        return NAME
    return " ".join((NAME, quote(broker), quote(reply_to), quote(str(correlation_id))))


def message_id_of(delivery: Delivered) -> str:
    """Returns the id of a delivered message; empty if it has none."""
    return str(delivery.properties.message_id or "")


def submission_of(
    delivery: Delivered, broker: str, max_remaining_ms: Mapping[str, float], waited_ms: int = 0
) -> Submission:
    """Converts a delivery of this broker into a submission. Raises InvalidMessageError.

    `max_remaining_ms`: by class, the time of a message without an expiration. `waited_ms`: how long this
    relay has had the delivery without accepting it.
    """
    properties = delivery.properties
    headers = properties.headers or {}
    if delivery.skipped_bytes:
        raise InvalidMessageError("body", f"{delivery.skipped_bytes} bytes exceed the limit")
    class_name = properties.message_type or ""
    try:
        destination = int(str(headers.get("destination", "")))
    except ValueError:
        raise InvalidMessageError("dest", "header destination must be a number") from None
    key = headers.get("idempotency-key")
    return Submission(
        message_id_of(delivery),
        class_name,
        str(headers.get("tenant", "")),
        destination,
        None if key is None else str(key),
        _remaining_ms(properties, max_remaining_ms.get(class_name, 0.0), waited_ms),
        "",
        delivery.body,
        origin_of(broker, properties),
        is_redeliverable=True,
    )


def _remaining_ms(properties: commands.Basic.Properties, max_remaining_ms: float, waited_ms: int) -> int:
    expiration = properties.expiration
    if expiration is None or expiration == "":
        return int(max_remaining_ms)
    if not expiration.isdecimal() or len(expiration) > MAX_EXPIRATION_DIGITS:
        raise InvalidMessageError("left", f"expiration {expiration[:20]!r} is not a number of ms")
    age_ms = waited_ms
    if properties.timestamp is not None:
        since_timestamp_ms = int(1000 * (time.time() - properties.timestamp.timestamp()))
        age_ms = max(age_ms, since_timestamp_ms - TIMESTAMP_RESOLUTION_MS)
    return min(MAX_REMAINING_MS, max(0, int(expiration) - age_ms))

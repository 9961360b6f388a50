"""Messages to other instances, the platform, endpoints, clients and brokers keep their bytes.

The fixtures were written by an earlier build.
"""

from __future__ import annotations

import pytest

from . import wire_binding as wire
from .wire_fixtures import produced, stored
from .wire_samples import MESSAGES

SAMPLES = [(kind, name) for kind, samples in MESSAGES.items() for name in samples]
CONVERSATIONS = (
    "exchanges",
    "agent_requests",
    "endpoint_calls",
    "client_answers",
    "amqp_frames",
    "amqp_links",
)


def test_each_kind_of_message_has_samples_and_each_sample_a_fixture() -> None:
    assert sorted(MESSAGES) == wire.kinds()
    assert [(kind, name) for kind, samples in stored("messages").items() for name in samples] == SAMPLES


@pytest.mark.parametrize(("kind", "name"), SAMPLES)
def test_a_message_is_encoded_to_the_same_bytes(kind: str, name: str) -> None:
    sample = stored("messages")[kind][name]
    assert sample["plain"] == MESSAGES[kind][name]
    assert wire.encode(kind, sample["plain"]).hex() == sample["hex"]


@pytest.mark.parametrize(("kind", "name"), SAMPLES)
def test_stored_bytes_are_decoded_to_the_same_values(kind: str, name: str) -> None:
    sample = stored("messages")[kind][name]
    raw = bytes.fromhex(sample["hex"])
    assert wire.decode(kind, raw) == sample["values"]
    assert wire.reencode(kind, raw) == raw


@pytest.mark.parametrize("name", CONVERSATIONS)
def test_a_conversation_is_the_same_as_stored(name: str) -> None:
    current, expected = produced(name), stored(name)
    assert sorted(current) == sorted(expected)
    for part, values in expected.items():
        assert current[part] == values, part

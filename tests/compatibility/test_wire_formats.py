"""What leaves the process towards other instances, the platform, endpoints, clients and brokers stays as it
was, byte for byte: the fixtures were written by an earlier build."""

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
def test_a_message_is_written_as_before(kind: str, name: str) -> None:
    sample = stored("messages")[kind][name]
    assert sample["plain"] == MESSAGES[kind][name]
    assert wire.encode(kind, sample["plain"]).hex() == sample["hex"]


@pytest.mark.parametrize(("kind", "name"), SAMPLES)
def test_a_message_of_before_is_read_and_means_the_same(kind: str, name: str) -> None:
    sample = stored("messages")[kind][name]
    raw = bytes.fromhex(sample["hex"])
    assert wire.decode(kind, raw) == sample["values"]
    assert wire.encode_again(kind, raw) == raw


@pytest.mark.parametrize("name", CONVERSATIONS)
def test_what_is_sent_is_as_before(name: str) -> None:
    now, before = produced(name), stored(name)
    assert sorted(now) == sorted(before)
    for part, told in before.items():
        assert now[part] == told, part

"""Settings of the sharded directory: defaults, limits, and errors with the field."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from message_relay.fleet.operator import OperatorConfig, OperatorError, decoded, read
from message_relay.sharded_directory import rendezvous_hash, settings
from message_relay.sharded_directory.settings import ShardedDirectorySettings

BASE = {"peers": {"listen": "127.0.0.1:7000"}, "fleet": {"instances": 3}}
BROKER = {"name": "b", "hosts": ["127.0.0.1:5672"]}
ZONES = {zone: {"region": "r"} for zone in "yz"}
ACCORD = {"accord": {"voters": [0]}}


def test_settings_are_read_and_without_servers_the_directory_is_off() -> None:
    shards = {"keepers": [0, 2], "count": 64, "epoch": 3, "file": "list.json", "idle_s": 9.0, "bound_s": 20.0}
    assert decoded({**BASE, "shards": shards}, "f").shards == ShardedDirectorySettings(
        (0, 2), 64, 3, "list.json", 9.0, 20.0
    )
    assert not OperatorConfig().shards.on and not decoded({"shards": {"count": 64}}, "f").shards.on


def test_example_file_has_all_fields_with_their_defaults() -> None:
    assert read(Path("deploy/relay.toml"), {}).shards == ShardedDirectorySettings()
    assert "[shards]" in Path("deploy/relay.toml").read_text()


def test_limits_defined_twice_are_the_same() -> None:
    assert (settings.MAX_SHARDS, settings.MAX_SERVERS) == (
        rendezvous_hash.MAX_SHARDS,
        rendezvous_hash.MAX_SERVERS,
    )


@pytest.mark.parametrize(
    ("raw", "expected"),
    [
        ({"shards": {"keepers": [0]}}, "shards.keepers: needs peers.listen"),
        ({**BASE, "shards": {"keepers": [3]}}, "shards.keepers: 3 is not among fleet.instances = 3"),
        ({**BASE, "shards": {"keepers": [0, 0]}}, "shards.keepers: each is named once"),
        ({**BASE, "shards": {"keepers": [-1]}}, r"shards.keepers: \[-1\]: Expected `int` >= 0"),
        (
            {"shards": {"keepers": list(range(rendezvous_hash.MAX_SERVERS + 1))}},
            f"shards.keepers: 17: {rendezvous_hash.MAX_SERVERS} at most",
        ),
        (
            {**BASE, "shards": {"keepers": [0], "count": 0}},
            "shards.count: 0 must be a power of two, from 1 to",
        ),
        ({**BASE, "shards": {"keepers": [0], "count": 6}}, "shards.count: 6 must be a power of two"),
        (
            {"shards": {"count": 2 * settings.MAX_SHARDS}},
            f"shards.count: {2 * settings.MAX_SHARDS} must be a power of two",
        ),
        ({**BASE, "shards": {"keepers": [0], "epoch": 0}}, "shards.epoch: 0: Expected `int` >= 1"),
        ({**BASE, "shards": {"keepers": [0], "bound_s": 1.0}}, "shards.bound_s: 1.0: Expected `float` >= 6"),
        ({"shards": {"file": "x"}}, "shards.file: needs keepers"),
        ({**BASE, "shards": {"keeper": [0]}}, "shards.keeper: is not known; 'keepers' is the nearest name"),
        (
            {"shards": {"keepers": [0]}, "peers": {"listen": "10.0.0.1:7000"}},
            "peers.secret_file: is needed with " "shards.keepers",
        ),
        (
            {**BASE, "shards": {"keepers": [0]}, "amqp": {"brokers": [BROKER]}},
            "not together with amqp.brokers",
        ),
        (
            {**BASE, **ACCORD, "shards": {"keepers": [0]}, "failover": {"zones": ZONES}},
            "not together with failover.zones",
        ),
    ],
)
def test_invalid_settings_are_rejected_with_the_field_and_the_expected_value(
    raw: dict[str, Any], expected: str
) -> None:
    with pytest.raises(OperatorError, match=expected):
        decoded(raw, "f")

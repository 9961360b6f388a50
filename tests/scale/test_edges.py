"""Tests each cap at its boundary: as many items as it allows are accepted, and the next one is rejected by
name."""

from __future__ import annotations

import random

import pytest
from click.testing import CliRunner

from message_relay.cli.main import group
from message_relay.consensus.lease_grantor import MAX_RELAYS, LeaseGrantor
from message_relay.consensus.lease_protocol import LeaseRenewal, LeaseTerms
from message_relay.consensus.rules import Rules
from message_relay.consensus.settings import ConsensusSettings
from message_relay.consensus.version_history import VersionHistory
from message_relay.failover.observations import (
    MAX_REPORTING_RELAYS,
    MAX_REPORTS,
    RETAINED_WINDOWS,
    ObservationReport,
    Observations,
)
from message_relay.fleet.operator import FleetSection, OperatorConfig, OperatorError, decoded, instance_number
from message_relay.gossip.settings import INSTANCES_MAX, GossipSettings
from message_relay.gossip.swim import MEMBERS_MAX, Swim
from message_relay.gossip.wire import Claim, MemberState, Sync

PLANNED = 3500  # relays of the largest planned fleet; each cap exceeds it with a margin


def claim(n: int) -> Claim:
    return Claim(f"n{n}", f"id{n}", 1, n + 1, 0, MemberState.ALIVE, "127.0.0.1", 7000 + n, "z", 15)


def test_each_cap_exceeds_the_planned_number_of_relays() -> None:
    assert min(MEMBERS_MAX, MAX_RELAYS, MAX_REPORTING_RELAYS, INSTANCES_MAX) >= 1.1 * PLANNED


def test_members_are_accepted_up_to_the_cap_and_the_next_one_is_named() -> None:
    swim = Swim(claim(0), (), random.Random(1))
    claims = [claim(n + 1) for n in range(MEMBERS_MAX)]
    for n in range(0, len(claims), 10):
        swim.receive(0.0, "n1", 2, Sync(False, tuple(claims[n : n + 10])))
    assert len(swim.members) == MEMBERS_MAX and swim.last_rejected == ""
    swim.receive(0.0, "n1", 2, Sync(False, (claim(MEMBERS_MAX + 1),)))
    assert len(swim.members) == MEMBERS_MAX
    assert (swim.rejected_claims, swim.last_rejected) == (1, f"n{MEMBERS_MAX + 1}")
    swim.receive(0.0, "n1", 2, Sync(False, (claim(1),)))  # a known member is still processed
    assert swim.rejected_claims == 1


def test_voter_grants_up_to_the_cap_of_relays_and_gives_the_next_one_a_reason() -> None:
    grantor = LeaseGrantor("n0", VersionHistory(Rules(), ("n0",)), LeaseTerms(), "f", 0, 0.0)
    grantor.clear_current_version(0.0)
    for n in range(MAX_RELAYS):
        grant = grantor.on_renewal(1.0, f"n{n}", LeaseRenewal(1, n, 1, "f", (), 0))
        assert grant.is_recorded and grant.granted_version == 1
    over = grantor.on_renewal(1.0, "over", LeaseRenewal(1, 9, 1, "f", (), 0))
    assert not over.is_recorded and over.reason == f"it is relay {MAX_RELAYS + 1}: {MAX_RELAYS} at most"
    assert grantor.on_renewal(1.1, "n7", LeaseRenewal(1, 7, 2, "f", (1,), 0)).is_recorded


def test_reports_of_all_relays_and_windows_are_retained_and_the_next_one_is_named() -> None:
    observations = Observations()
    for n in range(MAX_REPORTING_RELAYS):
        for window in range(RETAINED_WINDOWS):
            assert observations.add(100.0, ObservationReport(f"n{n}", 1, window, 0, "a", 0.0, 0.0))
    assert len(observations.reports) == MAX_REPORTS and not observations.rejected_reports
    assert not observations.add(100.0, ObservationReport("over", 1, 1, 0, "a", 0.0, 0.0))
    assert (observations.rejected_reports, observations.rejected_relay) == (1, "over")


def test_numbers_of_voters_and_instances_are_bounded() -> None:
    last = INSTANCES_MAX - 1
    raw = {
        "fleet": {"instances": INSTANCES_MAX},
        "peers": {"listen": "127.0.0.1:9000"},
        "accord": {"voters": [0, 1000, last]},
    }
    assert decoded(raw, "f").accord.voters == (0, 1000, last)
    for path, value in (("fleet.instances", INSTANCES_MAX + 1), ("accord.voters", INSTANCES_MAX)):
        section, field = path.split(".")
        invalid = {section: {field: [value] if section == "accord" else value}}
        with pytest.raises(OperatorError, match=rf"f: {path}: .*<= {INSTANCES_MAX - (section == 'accord')}"):
            decoded(invalid, "f")
    with pytest.raises(ValueError, match="is not among fleet.instances = 3"):
        OperatorConfig(
            fleet=FleetSection(instances=3),
            peers=GossipSettings("127.0.0.1:9000"),
            accord=ConsensusSettings((last,)),
        )


@pytest.mark.parametrize("text", ["4095", "004095", "0000004095"[-9:]])
def test_instance_number_may_have_four_or_more_digits(text: str) -> None:
    fleet = OperatorConfig(fleet=FleetSection(instances=INSTANCES_MAX))
    assert instance_number(fleet, {"RELAY_INSTANCE": text}) == 4095
    with pytest.raises(OperatorError, match="4096 is not among fleet.instances = 4096: 0 to 4095 are"):
        instance_number(fleet, {"RELAY_INSTANCE": "4096"})


def test_port_above_65535_is_reported_with_its_instance() -> None:
    with pytest.raises(OperatorError, match="peers.listen: instance 4095 would be at port 66095: 65535 at"):
        decoded({"fleet": {"instances": 4096}, "peers": {"listen": "127.0.0.1:62000"}}, "f")
    raw = {"fleet": {"instances": 4096}, "peers": {"listen": "127.0.0.1:61440"}}
    assert decoded(raw, "f").peers.listen_address(4095) == ("127.0.0.1", 65535)


@pytest.mark.parametrize(
    "arguments", [["rules", "--instance", "4096"], ["fleet", "--instances", "4097", "--config", "x"]]
)
def test_commands_reject_numbers_above_the_cap(arguments: list[str]) -> None:
    result = CliRunner().invoke(group, arguments)
    assert (
        result.exit_code == 2 and "4096 is not in the range 0<=x<=4095" in result.output + result.stderr
    ) or ("4097 is not in the range 1<=x<=4096" in result.output + result.stderr)

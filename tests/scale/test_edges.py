"""Each cap at its edge: as many as it says are taken, and the next one is refused by name."""

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

PLANNED = 3500  # relays of the largest plan there is: each cap holds them with room


def claim(n: int) -> Claim:
    return Claim(f"n{n}", f"id{n}", 1, n + 1, 0, MemberState.ALIVE, "127.0.0.1", 7000 + n, "z", 15)


def test_each_cap_holds_the_relays_that_are_planned() -> None:
    assert min(MEMBERS_MAX, MAX_RELAYS, MAX_REPORTING_RELAYS, INSTANCES_MAX) >= 1.1 * PLANNED


def test_members_are_taken_up_to_the_most_and_the_next_one_is_named() -> None:
    it = Swim(claim(0), (), random.Random(1))
    told = [claim(n + 1) for n in range(MEMBERS_MAX)]
    for n in range(0, len(told), 10):
        it.receive(0.0, "n1", 2, Sync(False, tuple(told[n : n + 10])))
    assert len(it.members) == MEMBERS_MAX and it.last_rejected == ""
    it.receive(0.0, "n1", 2, Sync(False, (claim(MEMBERS_MAX + 1),)))
    assert len(it.members) == MEMBERS_MAX
    assert (it.rejected_claims, it.last_rejected) == (1, f"n{MEMBERS_MAX + 1}")
    it.receive(0.0, "n1", 2, Sync(False, (claim(1),)))  # one that is known is heard as before
    assert it.rejected_claims == 1


def test_a_voter_grants_to_as_many_relays_as_there_may_be_and_tells_the_next_one_why() -> None:
    it = LeaseGrantor("n0", VersionHistory(Rules(), ("n0",)), LeaseTerms(), "f", 0, 0.0)
    it.clear_current_version(0.0)
    for n in range(MAX_RELAYS):
        grant = it.on_renewal(1.0, f"n{n}", LeaseRenewal(1, n, 1, "f", (), 0))
        assert grant.is_recorded and grant.granted_version == 1
    over = it.on_renewal(1.0, "over", LeaseRenewal(1, 9, 1, "f", (), 0))
    assert not over.is_recorded and over.reason == f"it is relay {MAX_RELAYS + 1}: {MAX_RELAYS} at most"
    assert it.on_renewal(1.1, "n7", LeaseRenewal(1, 7, 2, "f", (1,), 0)).is_recorded


def test_reports_of_all_relays_and_windows_are_kept_and_the_next_one_is_named() -> None:
    it = Observations()
    for n in range(MAX_REPORTING_RELAYS):
        for window in range(RETAINED_WINDOWS):
            assert it.add(100.0, ObservationReport(f"n{n}", 1, window, 0, "a", 0.0, 0.0))
    assert len(it.reports) == MAX_REPORTS and not it.rejected_reports
    assert not it.add(100.0, ObservationReport("over", 1, 1, 0, "a", 0.0, 0.0))
    assert (it.rejected_reports, it.rejected_relay) == (1, "over")


def test_numbers_of_voters_and_instances() -> None:
    last = INSTANCES_MAX - 1
    told = {
        "fleet": {"instances": INSTANCES_MAX},
        "peers": {"listen": "127.0.0.1:9000"},
        "accord": {"voters": [0, 1000, last]},
    }
    assert decoded(told, "f").accord.voters == (0, 1000, last)
    for where, value in (("fleet.instances", INSTANCES_MAX + 1), ("accord.voters", INSTANCES_MAX)):
        part, field = where.split(".")
        wrong = {part: {field: [value] if part == "accord" else value}}
        with pytest.raises(OperatorError, match=rf"f: {where}: .*<= {INSTANCES_MAX - (part == 'accord')}"):
            decoded(wrong, "f")
    with pytest.raises(ValueError, match="is not among fleet.instances = 3"):
        OperatorConfig(
            fleet=FleetSection(instances=3),
            peers=GossipSettings("127.0.0.1:9000"),
            accord=ConsensusSettings((last,)),
        )


@pytest.mark.parametrize("text", ["4095", "004095", "0000004095"[-9:]])
def test_an_instance_of_four_digits_and_more(text: str) -> None:
    fleet = OperatorConfig(fleet=FleetSection(instances=INSTANCES_MAX))
    assert instance_number(fleet, {"RELAY_INSTANCE": text}) == 4095
    with pytest.raises(OperatorError, match="4096 is not among fleet.instances = 4096: 0 to 4095 are"):
        instance_number(fleet, {"RELAY_INSTANCE": "4096"})


def test_ports_past_the_last_one_are_told_with_the_instance() -> None:
    with pytest.raises(OperatorError, match="peers.listen: instance 4095 would be at port 66095: 65535 at"):
        decoded({"fleet": {"instances": 4096}, "peers": {"listen": "127.0.0.1:62000"}}, "f")
    told = {"fleet": {"instances": 4096}, "peers": {"listen": "127.0.0.1:61440"}}
    assert decoded(told, "f").peers.listen_address(4095) == ("127.0.0.1", 65535)


@pytest.mark.parametrize(
    "words", [["rules", "--instance", "4096"], ["fleet", "--instances", "4097", "--config", "x"]]
)
def test_commands_refuse_numbers_past_the_edge(words: list[str]) -> None:
    done = CliRunner().invoke(group, words)
    assert (done.exit_code == 2 and "4096 is not in the range 0<=x<=4095" in done.output + done.stderr) or (
        "4097 is not in the range 1<=x<=4096" in done.output + done.stderr
    )

"""Version history: the effect of each command, and the refusal of commands that no longer apply."""

from __future__ import annotations

import pytest

from message_relay.consensus.rules import ANY, DestinationRule, Rules, RulesError
from message_relay.consensus.rules_codec import encode_rules
from message_relay.consensus.version_history import (
    VERSIONS_RETAINED,
    ChangeVoters,
    Forget,
    Promote,
    Propose,
    Stage,
    VersionHistory,
    Withdraw,
    decode_command,
)

STRICT = Rules({ANY: DestinationRule(rate=5.0)})
LOOSE = Rules({ANY: DestinationRule(rate=50.0)})


def make_history() -> VersionHistory:
    return VersionHistory(Rules(), ("n0", "n1", "n2"))


def make_proposal(base: int, rules: Rules, share: float = 1.0) -> Propose:
    return Propose(base, encode_rules(rules), "ana", "because", 0.0, share)


def test_second_of_two_proposals_on_the_same_base_is_refused() -> None:
    history = make_history()
    assert history.apply(make_proposal(1, STRICT)).number == 2
    answer = history.apply(make_proposal(1, LOOSE))
    assert answer.refused == (
        "base: the newest version is 2 (by ana: because), not 1: look at it, and propose again"
    )
    assert history.current.decoded_rules == STRICT and len(history.versions) == 2


def test_canary_must_be_stricter_and_ends_by_promotion_or_withdrawal() -> None:
    history = make_history()
    history.apply(make_proposal(1, LOOSE))
    assert (
        "stricter" in history.apply(make_proposal(2, Rules({ANY: DestinationRule(rate=60.0)}), 0.2)).refused
    )
    assert history.apply(make_proposal(2, STRICT, 0.2)).number == 3
    assert history.canary is not None and history.current.number == 2
    assert "on trial" in history.apply(make_proposal(3, LOOSE)).refused
    assert (
        history.apply(Withdraw(3, "ana", "harm")).number == 3
        and history.canary is None
        and history.current.number == 2
    )
    assert "it is withdrawn" in history.apply(Promote(3, "ana")).refused
    assert (
        history.apply(make_proposal(3, STRICT, 0.2)).number == 4
        and history.apply(Promote(4, "ana")).number == 4
    )
    assert history.current.number == 4 and [version.stage for version in history.versions] == [
        Stage.PAST,
        Stage.PAST,
        Stage.WITHDRAWN,
        Stage.CURRENT,
    ]


def test_voters_change_one_at_a_time() -> None:
    history = make_history()
    assert history.apply(ChangeVoters(1, "n3", "", "ana", 5.0)).number == 2
    assert history.newest.voters == ("n0", "n1", "n2", "n3") and history.voters_changed_at_ms == 5.0
    for command, reason in (
        (ChangeVoters(2, "n4", "n0", "ana", 6.0), "a step at a time"),
        (ChangeVoters(2, "n3", "", "ana", 6.0), "already"),
        (ChangeVoters(2, "", "n9", "ana", 6.0), "not among"),
    ):
        assert reason in history.apply(command).refused
    assert (
        history.apply(ChangeVoters(2, "", "n0", "ana", 7.0)).number == 3
        and history.newest.decoded_rules == Rules()
    )


def test_snapshot_restores_the_state_and_retained_versions_are_bounded() -> None:
    history, restored = make_history(), make_history()
    for n in range(VERSIONS_RETAINED + 10):
        history.apply(make_proposal(n + 1, STRICT if n % 2 else LOOSE))
    history.apply(Forget("n2", 4, "ana", 0.0))
    restored.load(history.dump())
    assert (
        restored.dump() == history.dump()
        and len(history.versions) == VERSIONS_RETAINED
        and restored.forgotten_epochs == {"n2": 4}
    )
    assert history.get(1) is None and history.get(history.newest.number) is history.newest


@pytest.mark.parametrize("raw", [b"", b"{}", b'{"type": "propose"}', b'{"type": "no"}'])
def test_malformed_command_is_rejected(raw: bytes) -> None:
    with pytest.raises(RulesError, match="command: "):
        decode_command(raw)

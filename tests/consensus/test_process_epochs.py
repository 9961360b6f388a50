"""Queries of a voter whether its peers have seen a later process of its state folder, also repeated ones."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec
import pytest

from benchmarks.processes import free_ports
from message_relay.consensus import voter
from message_relay.consensus.instance import ConsensusInstance
from message_relay.consensus.lease_protocol import DeliveryCounts
from message_relay.consensus.process_epochs import ProcessEpochs
from message_relay.consensus.settings import ConsensusSettings
from message_relay.consensus.voter import EPOCH_QUERY
from message_relay.gossip.framing import Hello
from message_relay.gossip.identity import claim_identity
from message_relay.gossip.node import GossipNode
from message_relay.gossip.settings import GossipSettings

from ..conftest import make_settings


def test_repeated_query_does_not_report_its_own_epoch() -> None:
    epochs = ProcessEpochs({"a": 4})
    assert epochs.observe("a", 5, 77) == 4
    assert epochs.observe("a", 5, 77) == 4 and epochs.observe("a", 5, 77) == 4


def test_second_process_with_the_same_epoch_learns_of_the_first() -> None:
    epochs = ProcessEpochs({})
    assert epochs.observe("a", 5, 77) == 0
    assert epochs.observe("a", 5, 78) == 5  # a restored folder starts from the same number
    assert epochs.observe("a", 5, 0) == 5  # a build that sends no nonce may be any process
    assert epochs.observe("a", 3, 77) == 5 and epochs.highest == {"a": 5}
    assert epochs.observe("a", 6, 79) == 5 and epochs.observe("a", 5, 77) == 6


def test_undo_restores_an_epoch_that_could_not_be_saved() -> None:
    epochs = ProcessEpochs({"a": 4})
    assert epochs.observe("a", 5, 77) == 4
    epochs.undo_observe("a", 4)
    assert epochs.highest == {"a": 4} and epochs.observe("a", 5, 78) == 4
    assert epochs.observe("b", 1, 1) == 0
    epochs.undo_observe("b", None)
    assert "b" not in epochs.highest


def test_nonce_zero_matches_no_process() -> None:
    epochs = ProcessEpochs({})
    assert epochs.observe("a", 5, 0) == 0 and epochs.observe("a", 5, 0) == 5


@contextlib.asynccontextmanager
async def two_of_three_voters(folder: Path) -> AsyncIterator[list[ConsensusInstance]]:
    """Yields two of three voters on loopback that know each other; neither has started to vote."""
    first_port = free_ports(2)
    instances: list[ConsensusInstance] = []
    for n in range(2):
        gossip_settings = GossipSettings(
            listen=f"127.0.0.1:{first_port + n}", seeds=(f"127.0.0.1:{first_port}",), period_s=0.1
        )
        state = folder / str(n)
        identity = claim_identity(state, f"n{n}")
        gossip = GossipNode(gossip_settings, identity, state, n, "z", 0)
        instances.append(
            ConsensusInstance(
                ConsensusSettings(voters=(0, 1, 2)),
                gossip,
                state,
                identity,
                make_settings(),
                ("z",),
                2,
                lambda: None,
                DeliveryCounts,
            )
        )
    try:
        for instance in instances:
            await instance.gossip.start()
        async with asyncio.timeout(20.0):
            while any(
                instance.gossip.address_of(f"n{1 - n}") is None for n, instance in enumerate(instances)
            ):
                await asyncio.sleep(0.02)
        yield instances
    finally:
        for instance in instances:
            await instance.close()
            await instance.gossip.close()


def test_late_answer_does_not_disable_a_voter(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a voter that is disabled because a peer's answer waited for the disk.

    The peers may be starting too, all on one disk, so that an answer arrives after its query timed out. When
    queried again, they have seen the querying instance's epoch, but from that process itself.
    """
    monkeypatch.setattr(voter, "REQUEST_TIMEOUT_S", 0.2)
    queries: list[int] = []

    async def scenario() -> None:
        async with two_of_three_voters(tmp_path) as (querying, queried):

            async def answer_late(hello: Hello, raw: bytes) -> bytes:
                answer = queried.voter.on_epoch_query(hello, raw)
                queries.append(msgspec.msgpack.decode(answer))
                if len(queries) == 1:
                    await asyncio.sleep(0.5)
                return answer

            queried.gossip.frame_handlers[EPOCH_QUERY] = answer_late
            seen = await asyncio.wait_for(querying.voter.highest_epoch_seen_by_peers(), 20.0)
            assert len(queries) == 2 and seen < querying.voter.identity.process_epoch
            # A second process of this folder with the same epoch: the folder was restored to an older state.
            other = Hello("n0", EPOCH_QUERY, 12345)
            raw = msgspec.msgpack.encode((querying.voter.identity.id, querying.voter.identity.process_epoch))
            assert (
                msgspec.msgpack.decode(queried.voter.on_epoch_query(other, raw))
                == querying.voter.identity.process_epoch
            )

    asyncio.run(scenario())


def test_epoch_that_cannot_be_saved_is_not_answered(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against two leaders in one term.

    A voter whose disk was full lost the epoch and answered all the same. The asker counted the answer towards
    a majority that knows it. A second process, of an older copy of its folder, then asked with the same
    epoch, received no other epoch, and could vote again in the same term. In the order of events of this test
    the first query was answered with 0, beside the log line `peer process epoch not saved`.
    """

    async def scenario() -> None:
        async with two_of_three_voters(tmp_path) as (querying, queried):
            identity = querying.voter.identity
            raw = msgspec.msgpack.encode((identity.id, identity.process_epoch))
            disk_is_full = True
            save = queried.voter.save_state

            def save_if_possible() -> None:
                if disk_is_full:
                    raise OSError(28, "No space left on device")
                save()

            monkeypatch.setattr(queried.voter, "save_state", save_if_possible)
            assert await querying.voter._query_epoch("n1") is None
            disk_is_full = False
            seen = await querying.voter._query_epoch("n1")
            assert seen is not None and seen < identity.process_epoch
            second = Hello("n0", EPOCH_QUERY, 12345)
            answer = msgspec.msgpack.decode(queried.voter.on_epoch_query(second, raw))
            assert answer == identity.process_epoch

    asyncio.run(scenario())

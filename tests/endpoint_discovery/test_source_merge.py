"""Merge policy for each pair of statuses, and source merge against an oracle over generated updates."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from message_relay.core.directory import EndpointDirectory
from message_relay.core.ports import EndpointRecord, EndpointUpdate
from message_relay.decisions.model import Listing
from message_relay.endpoint_discovery.merge_policy import (
    SHRINK_ACCEPTED_AFTER_REPORTS,
    SHRINK_ACCEPTED_AFTER_S,
    EndpointStatus,
    ShrinkGuard,
    most_severe,
)
from message_relay.endpoint_discovery.source_merge import SourceMerge

from ..conftest import make_settings

READY, DRAINING, GONE = Listing.READY, Listing.DRAINING, Listing.REMOVED
UNKNOWN_STATUS, READY_STATUS, DRAINING_STATUS, GONE_STATUS = (
    EndpointStatus.UNKNOWN,
    EndpointStatus.READY,
    EndpointStatus.DRAINING,
    EndpointStatus.GONE,
)

TABLE = {
    (UNKNOWN_STATUS, UNKNOWN_STATUS): UNKNOWN_STATUS,
    (UNKNOWN_STATUS, READY_STATUS): READY_STATUS,
    (UNKNOWN_STATUS, DRAINING_STATUS): DRAINING_STATUS,
    (UNKNOWN_STATUS, GONE_STATUS): GONE_STATUS,
    (READY_STATUS, UNKNOWN_STATUS): READY_STATUS,
    (READY_STATUS, READY_STATUS): READY_STATUS,
    (READY_STATUS, DRAINING_STATUS): DRAINING_STATUS,
    (READY_STATUS, GONE_STATUS): GONE_STATUS,
    (DRAINING_STATUS, UNKNOWN_STATUS): DRAINING_STATUS,
    (DRAINING_STATUS, READY_STATUS): DRAINING_STATUS,
    (DRAINING_STATUS, DRAINING_STATUS): DRAINING_STATUS,
    (DRAINING_STATUS, GONE_STATUS): GONE_STATUS,
    (GONE_STATUS, UNKNOWN_STATUS): GONE_STATUS,
    (GONE_STATUS, READY_STATUS): GONE_STATUS,
    (GONE_STATUS, DRAINING_STATUS): GONE_STATUS,
    (GONE_STATUS, GONE_STATUS): GONE_STATUS,
}


def record(
    name: str, port: int = 1, listing: Listing = READY, rate: float = 1.0, destination: int = 7
) -> EndpointRecord:
    return EndpointRecord(name, destination, listing, ("h", port), rate=rate)


def full_update(source: str, *members: EndpointRecord) -> EndpointUpdate:
    return EndpointUpdate(True, members, source=source)


def incremental_update(
    source: str, *members: EndpointRecord, status_changes: tuple[tuple[str, Listing], ...] = ()
) -> EndpointUpdate:
    return EndpointUpdate(False, members, status_changes, source)


@pytest.mark.parametrize("cell", TABLE, ids=lambda cell: "-".join(status.name.lower() for status in cell))
def test_merge_policy_table(cell: tuple[EndpointStatus, EndpointStatus]) -> None:
    assert most_severe(cell) is TABLE[cell]
    merge = SourceMerge(["a", "b"])
    merge.merge(full_update("a"), 0.0)
    reported: Listing | None = None
    for source, status in zip("ab", cell, strict=True):
        for listing in {
            UNKNOWN_STATUS: (),
            READY_STATUS: (READY,),
            DRAINING_STATUS: (DRAINING,),
            GONE_STATUS: (READY, GONE),
        }[status]:
            update = merge.merge(incremental_update(source, record("x", listing=listing)), 1.0)
            for each in update.endpoints if update is not None else ():
                reported = each.listing
    expected = TABLE[cell]
    if expected is UNKNOWN_STATUS:
        assert reported is None
    elif expected is GONE_STATUS:
        assert reported is GONE
    else:
        assert reported is (READY if expected is READY_STATUS else DRAINING)


def test_endpoint_of_two_sources_has_one_name_and_the_first_sources_rate() -> None:
    merge = SourceMerge(["register", "srv"])
    assert merge.merge(full_update("srv", record("srv-1", rate=9.0)), 0.0) == EndpointUpdate(
        True, (record("srv-1", rate=9.0),)
    )
    update = merge.merge(full_update("register", record("s-1", rate=5.0)), 0.0)
    assert update == EndpointUpdate(False, (record("srv-1", rate=5.0),))
    update = merge.merge(incremental_update("register", record("s-1", listing=GONE)), 1.0)
    assert update is not None and update.endpoints[0].listing is GONE
    assert (
        merge.merge(full_update("srv", record("srv-1", rate=9.0)), 2.0) is None
    )  # the register still reports it gone
    back = merge.merge(incremental_update("register", record("s-1", rate=5.0)), 3.0)
    assert back is not None and back.endpoints[0].listing is READY
    assert merge.status_by_source((7, ("h", 1))) == {"register": "ready", "srv": "ready"}


def test_moved_name_removes_the_old_address_and_equal_names_stay_distinct() -> None:
    merge = SourceMerge(["a", "b"])
    merge.merge(full_update("a", record("x", 1)), 0.0)
    update = merge.merge(incremental_update("a", record("x", 2)), 1.0)
    assert update is not None
    assert {(each.address[1], each.listing) for each in update.endpoints} == {(1, GONE), (2, READY)}
    other = merge.merge(full_update("b", record("x", 3)), 2.0)
    assert other is not None and other.endpoints[0].name == "x@h:3"


def test_rapid_status_changes_end_as_the_most_severe() -> None:
    merge = SourceMerge(["register", "srv"])
    merge.merge(full_update("register", record("x")), 0.0)
    merge.merge(full_update("srv", record("x")), 0.0)
    first = merge.merge(incremental_update("register", status_changes=(("x", DRAINING),)), 1.00)
    second = merge.merge(full_update("srv"), 1.05)
    third = merge.merge(incremental_update("register", status_changes=(("x", READY),)), 1.10)
    assert first is not None and first.endpoints[0].listing is DRAINING
    assert second is not None and second.endpoints[0].listing is GONE and third is None


def test_sudden_shrink_is_accepted_when_repeated() -> None:
    merge = SourceMerge(["srv"], shrink_guarded=["srv"])
    endpoints = [record(f"x{n}", n) for n in range(10)]
    merge.merge(full_update("srv", *endpoints), 0.0)
    assert merge.merge(full_update("srv"), 1.0) is None  # an empty answer does not remove all endpoints
    assert merge.merge(full_update("srv", *endpoints), 2.0) is None
    assert (
        merge.merge(full_update("srv", *endpoints[:4]), 3.0) is None
        and merge.merge(full_update("srv", *endpoints[:4]), 4.0) is None
    )
    update = merge.merge(full_update("srv", *endpoints[:4]), 5.0)
    assert update is not None and len(update.endpoints) == 6 and SHRINK_ACCEPTED_AFTER_REPORTS == 3
    assert {each.listing for each in update.endpoints} == {GONE}
    small_shrink = merge.merge(full_update("srv", *endpoints[:3]), 6.0)  # 3 of 4 is no sudden shrink
    assert small_shrink is not None and len(small_shrink.endpoints) == 1
    explicit = merge.merge(incremental_update("srv", record("x0", 0, GONE)), 6.5)
    assert explicit is not None and explicit.endpoints[0].listing is GONE


def test_sudden_shrink_is_accepted_after_a_time() -> None:
    guard = ShrinkGuard()
    assert not guard.accepts(10.0, 10, 2) and guard.accepts(10.0 + SHRINK_ACCEPTED_AFTER_S, 10, 2)
    assert guard.accepts(20.0, 1, 0) and guard.accepts(21.0, 0, 0)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["a", "b"]),
        st.booleans(),
        st.lists(
            st.tuples(st.integers(0, 3), st.sampled_from([READY, DRAINING, GONE])),
            max_size=4,
            unique_by=lambda each: each[0],
        ),
    ),
    max_size=25,
)


@settings(max_examples=300)
@given(STEPS)
def test_directory_matches_the_merge_policy(steps: list[tuple[str, bool, Any]]) -> None:
    """Compares with an oracle that stores only the latest status of each source."""
    merge, directory = SourceMerge(["a", "b"]), EndpointDirectory(make_settings(), ())
    statuses: dict[str, dict[int, EndpointStatus]] = {"a": {}, "b": {}}
    for n, (source, is_full, reported) in enumerate(steps):
        if is_full:
            listed = {port for port, _ in reported}
            for port, status in statuses[source].items():
                if port not in listed and status is not GONE_STATUS:
                    statuses[source][port] = GONE_STATUS
        for port, listing in reported:
            statuses[source][port] = {READY: READY_STATUS, DRAINING: DRAINING_STATUS, GONE: GONE_STATUS}[
                listing
            ]
        members = tuple(record(f"{source}{port}", port, listing) for port, listing in reported)
        update = merge.merge(EndpointUpdate(is_full, members, source=source), float(n))
        if update is not None:
            directory.apply(update)
        actual = {known.address[1]: known.endpoint.listing for known in directory.by_name.values()}
        expected = {}
        for port in range(4):
            status = most_severe(statuses[each].get(port, UNKNOWN_STATUS) for each in "ab")
            if status in (READY_STATUS, DRAINING_STATUS):
                expected[port] = READY if status is READY_STATUS else DRAINING
        assert actual == expected

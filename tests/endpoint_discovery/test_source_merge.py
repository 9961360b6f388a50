"""The rule where sources disagree, cell by cell; and merging, against an oracle over drawn tellings."""

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

READY, DRAINING, GONE = Listing.READY, Listing.DRAINING, Listing.GONE
U, R, D, G = EndpointStatus.UNKNOWN, EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.GONE

TABLE = {
    (U, U): U,
    (U, R): R,
    (U, D): D,
    (U, G): G,
    (R, U): R,
    (R, R): R,
    (R, D): D,
    (R, G): G,
    (D, U): D,
    (D, R): D,
    (D, D): D,
    (D, G): G,
    (G, U): G,
    (G, R): G,
    (G, D): G,
    (G, G): G,
}


def member(
    name: str, port: int = 1, listing: Listing = READY, rate: float = 1.0, dest: int = 7
) -> EndpointRecord:
    return EndpointRecord(name, dest, listing, ("h", port), rate=rate)


def whole(source: str, *members: EndpointRecord) -> EndpointUpdate:
    return EndpointUpdate(True, members, source=source)


def changes(
    source: str, *members: EndpointRecord, lives: tuple[tuple[str, Listing], ...] = ()
) -> EndpointUpdate:
    return EndpointUpdate(False, members, lives, source)


@pytest.mark.parametrize("cell", TABLE, ids=lambda cell: "-".join(word.name.lower() for word in cell))
def test_each_cell_of_the_table(cell: tuple[EndpointStatus, EndpointStatus]) -> None:
    assert most_severe(cell) is TABLE[cell]
    merge = SourceMerge(["a", "b"])
    merge.merge(whole("a"), 0.0)
    told: Listing | None = None
    for source, word in zip("ab", cell, strict=True):
        for listing in {U: (), R: (READY,), D: (DRAINING,), G: (READY, GONE)}[word]:
            update = merge.merge(changes(source, member("x", listing=listing)), 1.0)
            for each in update.endpoints if update is not None else ():
                told = each.listing
    expected = TABLE[cell]
    if expected is U:
        assert told is None
    elif expected is G:
        assert told is GONE
    else:
        assert told is (READY if expected is R else DRAINING)


def test_one_endpoint_of_two_sources_is_one_with_the_first_ones_rate_and_name() -> None:
    merge = SourceMerge(["register", "srv"])
    assert merge.merge(whole("srv", member("srv-1", rate=9.0)), 0.0) == EndpointUpdate(
        True, (member("srv-1", rate=9.0),)
    )
    update = merge.merge(whole("register", member("s-1", rate=5.0)), 0.0)
    assert update == EndpointUpdate(False, (member("srv-1", rate=5.0),))
    update = merge.merge(changes("register", member("s-1", listing=GONE)), 1.0)
    assert update is not None and update.endpoints[0].listing is GONE
    assert merge.merge(whole("srv", member("srv-1", rate=9.0)), 2.0) is None  # the register still says gone
    back = merge.merge(changes("register", member("s-1", rate=5.0)), 3.0)
    assert back is not None and back.endpoints[0].listing is READY
    assert merge.status_by_source((7, ("h", 1))) == {"register": "ready", "srv": "ready"}


def test_a_name_that_moves_drains_the_old_place_and_two_of_one_name_stay_apart() -> None:
    merge = SourceMerge(["a", "b"])
    merge.merge(whole("a", member("x", 1)), 0.0)
    update = merge.merge(changes("a", member("x", 2)), 1.0)
    assert update is not None
    assert {(each.address[1], each.listing) for each in update.endpoints} == {(1, GONE), (2, READY)}
    other = merge.merge(whole("b", member("x", 3)), 2.0)
    assert other is not None and other.endpoints[0].name == "x@h:3"


def test_drains_that_change_within_a_moment_end_as_the_gravest_word() -> None:
    merge = SourceMerge(["register", "srv"])
    merge.merge(whole("register", member("x")), 0.0)
    merge.merge(whole("srv", member("x")), 0.0)
    one = merge.merge(changes("register", lives=(("x", DRAINING),)), 1.00)
    two = merge.merge(whole("srv"), 1.05)
    three = merge.merge(changes("register", lives=(("x", READY),)), 1.10)
    assert one is not None and one.endpoints[0].listing is DRAINING
    assert two is not None and two.endpoints[0].listing is GONE and three is None


def test_a_list_that_shrinks_suddenly_is_believed_when_it_is_told_again() -> None:
    merge = SourceMerge(["srv"], shrink_guarded=["srv"])
    every = [member(f"x{n}", n) for n in range(10)]
    merge.merge(whole("srv", *every), 0.0)
    assert merge.merge(whole("srv"), 1.0) is None  # an empty answer is not "all gone"
    assert merge.merge(whole("srv", *every), 2.0) is None
    assert (
        merge.merge(whole("srv", *every[:4]), 3.0) is None
        and merge.merge(whole("srv", *every[:4]), 4.0) is None
    )
    update = merge.merge(whole("srv", *every[:4]), 5.0)
    assert update is not None and len(update.endpoints) == 6 and SHRINK_ACCEPTED_AFTER_REPORTS == 3
    assert {each.listing for each in update.endpoints} == {GONE}
    few = merge.merge(whole("srv", *every[:3]), 6.0)  # one of four less is no sudden shrink
    assert few is not None and len(few.endpoints) == 1
    outright = merge.merge(changes("srv", member("x0", 0, GONE)), 6.5)
    assert outright is not None and outright.endpoints[0].listing is GONE


def test_a_shrink_is_believed_after_its_time_too() -> None:
    shrink = ShrinkGuard()
    assert not shrink.accepts(10.0, 10, 2) and shrink.accepts(10.0 + SHRINK_ACCEPTED_AFTER_S, 10, 2)
    assert shrink.accepts(20.0, 1, 0) and shrink.accepts(21.0, 0, 0)


Steps = st.lists(
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
@given(Steps)
def test_what_the_directory_ends_with_is_what_the_rule_says(steps: list[tuple[str, bool, Any]]) -> None:
    """Against an oracle that keeps each source's latest word and nothing else."""
    merge, directory = SourceMerge(["a", "b"]), EndpointDirectory(make_settings(), ())
    words: dict[str, dict[int, EndpointStatus]] = {"a": {}, "b": {}}
    for n, (source, is_whole, told) in enumerate(steps):
        if is_whole:
            listed = {port for port, _ in told}
            for port, word in words[source].items():
                if port not in listed and word is not G:
                    words[source][port] = G
        for port, listing in told:
            words[source][port] = {READY: R, DRAINING: D, GONE: G}[listing]
        members = tuple(member(f"{source}{port}", port, listing) for port, listing in told)
        update = merge.merge(EndpointUpdate(is_whole, members, source=source), float(n))
        if update is not None:
            directory.apply(update)
        seen = {known.address[1]: known.endpoint.listing for known in directory.by_name.values()}
        expected = {}
        for port in range(4):
            word = most_severe(words[each].get(port, U) for each in "ab")
            if word in (R, D):
                expected[port] = READY if word is R else DRAINING
        assert seen == expected

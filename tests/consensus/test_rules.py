"""Rule sets: their order and greatest lower bound, their canonical encoding, validation and differences."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from message_relay.consensus import capabilities
from message_relay.consensus.rules import (
    DENY_ALL,
    ClassRule,
    DestinationRule,
    FlowRule,
    Policies,
    Rules,
    RulesError,
)
from message_relay.consensus.rules_codec import decode_rules, digest, encode_rules
from message_relay.consensus.rules_diff import diff_rules
from message_relay.consensus.rules_intersection import intersect, is_subset, normalize, standby_rules
from message_relay.consensus.rules_validation import validate_rules

zone_names = st.one_of(st.none(), st.frozensets(st.sampled_from("abc")))
destination_rules = st.builds(
    DestinationRule,
    st.one_of(st.none(), st.sampled_from([0.0, 0.5, 10.0, 100.0])),
    st.one_of(st.none(), st.integers(0, 3)),
    zone_names,
    st.booleans(),
)
class_rules = st.builds(
    ClassRule,
    st.sampled_from([None, "unsafe", "keyed", "safe"]),
    st.one_of(st.none(), st.integers(1, 3)),
    st.booleans(),
)
rates = st.sampled_from([0.0, 0.5, 10.0])
rates_by_zone = st.dictionaries(st.sampled_from("abc"), rates, max_size=2)
flow_rules = st.builds(
    FlowRule,
    st.dictionaries(st.sampled_from("*abc"), rates_by_zone, max_size=3),
    st.dictionaries(st.sampled_from("ab"), rates),
)
rule_sets = st.builds(
    Rules,
    st.dictionaries(st.sampled_from(["*", "1", "2"]), destination_rules, max_size=3),
    st.dictionaries(st.sampled_from(["*", "order", "pay"]), class_rules, max_size=3),
    st.builds(Policies, zone_names),
    st.dictionaries(st.sampled_from(["*", "1", "2"]), flow_rules, max_size=2),
    st.dictionaries(st.sampled_from("ab"), st.integers(0, 3), max_size=2),
)


@settings(max_examples=400, deadline=None)
@given(rule_sets, rule_sets, rule_sets)
def test_intersection_is_the_greatest_lower_bound(a: Rules, b: Rules, c: Rules) -> None:
    both = intersect(a, b)
    assert (
        both == intersect(b, a)
        and intersect(both, c) == intersect(a, intersect(b, c))
        and intersect(a, a) == normalize(a)
    )
    assert is_subset(both, a) and is_subset(both, b)
    if is_subset(c, a) and is_subset(c, b):
        assert is_subset(c, both)  # the loosest that both allow
    assert is_subset(a, b) == (intersect(a, b) == normalize(a))
    assert is_subset(DENY_ALL, a) and is_subset(a, Rules())


@settings(max_examples=200, deadline=None)
@given(rule_sets, rule_sets)
def test_sets_that_allow_the_same_have_one_encoding(a: Rules, b: Rules) -> None:
    assert decode_rules(encode_rules(a)) == normalize(a) and encode_rules(normalize(a)) == encode_rules(a)
    assert (digest(a) == digest(b)) == (is_subset(a, b) and is_subset(b, a))
    assert is_subset(standby_rules(a, 0.9), a)


@pytest.mark.parametrize(
    ("raw", "expected"),
    [
        (b'{"destinations": {"x": {}}}', "destinations.x: a number or '*' is needed"),
        (b'{"destinations": {"1": {"rate": -1}}}', "`$.destinations[...].rate`"),
        (b'{"destinations": {"1": {"rat": 1}}}', "unknown field `rat`"),
        (b'{"classes": {"pay": {"attempts": 0}}}', "`$.classes[...].attempts`"),
        (b'{"policies": {"zones": "a"}}', "`$.policies.zones`"),
        (b"[]", "Expected `object`"),
        (b"{", "Input data was truncated"),
    ],
)
def test_faulty_rules_are_rejected_with_the_field(raw: bytes, expected: str) -> None:
    with pytest.raises(RulesError) as error:
        decode_rules(raw)
    assert expected in str(error.value)


def test_unknown_class_and_zone_names_are_rejected() -> None:
    rules = Rules(classes={"pya": ClassRule()}, policies=Policies(frozenset(["q"])))
    with pytest.raises(
        RulesError, match=r"classes.pya: is none of order, pay\npolicies.zones: 'q' is none of z"
    ):
        validate_rules(rules, ["order", "pay"], ["z"])


def test_unsupported_fields_and_changed_fields_are_listed() -> None:
    rules = Rules({"1": DestinationRule(rate=5)}, {"pay": ClassRule(attempts=1)})
    assert (
        capabilities.unsupported_fields(rules, capabilities.DESTINATIONS) == ["classes"]
        and capabilities.unsupported_fields(rules, capabilities.SUPPORTED) == []
    )
    assert diff_rules(Rules(), rules) == ["destinations.1.rate: - -> 5", "classes.pay.attempts: - -> 1"]

"""Compares figures of the capacity tables with figures computed by hand, from synthetic slopes."""

from __future__ import annotations

import importlib
import json
import math
import tomllib
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner, Result

from emulator.capacity import agreement, budgets
from emulator.capacity.command import END, START, PageError, replace_tables, split_page
from emulator.capacity.facts import add_facts, flatten
from emulator.capacity.roles import AS_ELSEWHERE, FORMULAS
from emulator.capacity.rows import ROOT, Role, Row, When, rows
from emulator.capacity.size import Size, SizeError, decoded
from emulator.capacity.slopes import Report, Sample, Slope, fit_slope
from emulator.capacity.tables import as_json, markdown, steps, tables
from emulator.commands import main

PLAN = ROOT / "deploy/sizes/two-years.toml"
SLOPES = ROOT / "docs/reports/capacity.json"
PAGE = ROOT / "docs/CAPACITY.md"
FIT, LARGEST = (100, 200, 400, 800), 1600


def plan() -> dict[str, Any]:
    return tomllib.loads(PLAN.read_text())


def small_size(**changed: Any) -> Size:
    """Return a size with round figures. `changed` holds values by `table__field`."""
    raw = plan()
    raw["paper"] = []
    raw["fleet"] |= {
        "relays": 100,
        "events_s": 10_000,
        "destinations": 1000,
        "down": 0.02,
        "backlog": 1e6,
        "regions": 2,
        "zones": 4,
    }
    raw["changes"] |= {"a_day": 8640, "force_s": 10.0}
    raw["control"] |= {"core": 0.05, "memory_mb": 1.0, "kb_s": 2.0, "machines": 10}
    raw["assumed"] |= {
        "relays_a_machine": 5,
        "machines_a_rack": 2,
        "storm": 500,
        "deadline_s": 60.0,
        "deadline_today_s": 10.0,
        "outage_s": 100.0,
        "latency_s": 0.1,
        "headroom": 1.5,
        "voters": 5,
        "bound_s": 2.0,
        "in_use": 0.1,
        "in_use_most": 1.0,
        "data_memory_mb": 15.0,
    }
    for name, value in changed.items():
        table, _, field = name.partition("__")
        raw[table][field] = value
    return decoded(raw, "small")


def sample(size: int, value: float) -> Sample:
    return Sample(size, value, value, value)


def slope(name: str, unit: str, cost: Any, off: float = 1.0, per: str = "destination") -> Slope:
    """Return a slope with the cost `cost(size)`; the largest size costs `off` times that."""
    return fit_slope(
        name,
        per,
        unit,
        [sample(each, cost(each)) for each in FIT],
        sample(LARGEST, off * cost(LARGEST)),
        "message_relay/core/directory.py",
    )


def report(*slopes: Slope, **facts: float) -> Report:
    return Report(
        "a made-up machine",
        1.0,
        2.0,
        3,
        list(slopes),
        {name.replace("__", "."): value for name, value in facts.items()},
    )


SYNTHETIC = report(
    slope("directory.list.memory_bytes", "bytes", lambda n: 1000 + 2000 * n),
    slope("directory.change.cpu_ms", "ms", lambda n: 0.1),
    slope("accord.renewal.cpu_us", "us", lambda n: 4.0, per="relay"),
    slope("store.start.cpu_ms", "ms", lambda n: 0.01 * n, per="record"),
    slope("store.start.memory_bytes", "bytes", lambda n: 1000 * n, per="record"),
    slope("decisions.held.memory_bytes", "bytes", lambda n: 500 * n, per="message"),
    slope("relay.message.cpu_ms", "ms", lambda n: 1.0, per="held message"),
    hollow__change_most_s=4.0,
)


def row(name: str, size: Size | None = None, measured: Report = SYNTHETIC) -> Row:
    return next(each for each in rows(FORMULAS, size or small_size(), measured) if each.name == name)


# -- figures computed by hand ------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "name, value, state",
    [
        ("relay.events", 100.0, "reckoned"),  # 10,000 / 100
        ("relay.call_again", 10.0, "reckoned"),  # 100 x 1,000 / 10,000
        ("relay.backlog", 10_000.0, "reckoned"),  # 1e6 / 100
        ("relay.held", 110.0, "assumed"),  # 100 x (0.1 + 0.02 x 50)
        ("relay.directory_memory", 2_001_000.0, "reckoned"),  # 1,000 + 2,000 x 1,000: 1,000 was not measured
        ("relay.storm_processor", 0.05, "reckoned"),  # 500 x 0.1 ms
        ("relay.start", 0.1, "reckoned"),  # 10,000 x 0.01 ms: beyond 1,600
        ("relay.start_hour", 0.0011, "reckoned"),  # 110 x 0.01 ms
        ("relay.backlog_memory", 15e6, "reckoned"),  # 10,000 x 1,500
        ("relay.processor", 0.1, "reckoned"),  # 100 x 1 ms
        ("relay.zone", 10_000 / 75 * 0.001, "reckoned"),  # 25 of 100 relays are gone
        ("relay.rack", 10_000 / 90 * 0.001, "reckoned"),
        ("relay.machine", 10_000 / 95 * 0.001, "reckoned"),
        ("relay.drain", 200.0, "assumed"),  # 10,000 / (100 x 0.5)
        ("relay.drain_processor", 20.0, "reckoned"),  # 0.6 / 1 ms = 600 a second: 500 to spare
        ("relay.expired", 0.4, "assumed"),  # it arrived within 100 s, of which 60 are within the deadline
        ("relay.expired_today", 0.9, "assumed"),
        ("relay.apart", 180_000.0, "reckoned"),  # 100 x 3,600 x 1/2
        ("relay.force", 4.0, "measured"),
        ("voter.renewals", 100 / 0.27, "assumed"),  # a lease of 1.2 s, four renewals, each 0.9 of 0.3 s
        ("voter.processor", 100 / 0.27 * 4e-6, "reckoned"),
        ("destination.calls", 10.0, "reckoned"),  # 10,000 / 1,000
        ("destination.cold", 2.7, "assumed"),  # 10 x 1.5 x 0.18
        ("destination.waiting", 600.0, "assumed"),  # 10 x 60: none waits longer than its deadline
        ("destination.connections", 100 * (1 - math.exp(-6)), "assumed"),  # 60 s idle, called each 10 s
        ("relay.storm_held", 500.0, "assumed"),  # 100 x 10 s x 500 / 1,000
        ("relay.back", 3600.0, "assumed"),  # half of an hour's events, drained with half the rate to spare
        ("voter.lost", 2.0, "assumed"),  # 5 over 4 zones
        ("voter.side", 2.0, "assumed"),
        ("leader.missed", 360.0, "reckoned"),  # 0.1 a second
        ("leader.heartbeats", 4 / 0.15, "assumed"),
        ("supervisor.back", 0.0055, "reckoned"),  # 5 x 110 x 0.01 ms
        ("supervisor.restarts", 27.5, "assumed"),  # 550 x 5 / 100
        ("keeper.digests", 100 * 2 / 8 / 3, "assumed"),
    ],
)
def test_figure_equals_the_one_computed_by_hand(name: str, value: float, state: str) -> None:
    computed = row(name)
    assert computed.value == pytest.approx(value, rel=1e-6)
    assert computed.state == state


@pytest.mark.parametrize(
    "destinations, value, state",
    [
        (800, 1_601_000.0, "measured"),  # a size of the fit
        (1600, 4_000_000.0, "measured"),  # the largest: the measured value, whatever was predicted
        (1601, 3_203_000.0, "reckoned"),
    ],
)
def test_measured_size_gives_the_measured_value(destinations: int, value: float, state: str) -> None:
    line = fit_slope(
        "directory.list.memory_bytes",
        "destination",
        "bytes",
        [sample(each, 1000 + 2000 * each) for each in FIT],
        sample(LARGEST, 4_000_000.0),
        "f",
    )
    computed = row("relay.directory_memory", small_size(fleet__destinations=destinations), report(line))
    assert computed.value == pytest.approx(value) and computed.state == state


def test_stretched_periods_are_converted_to_default_periods() -> None:
    stretched = report(
        slope("hollow.cpu_share", "cores", lambda n: 1e-5 * n, per="instance"),
        hollow__stretch=6.0,
        hollow__change_most_s=18.0,
    )
    assert row("relay.hollow_processor", measured=stretched).value == pytest.approx(0.006)  # 100 x 1e-5 x 6
    usual = row("relay.force_usual", measured=stretched)
    assert usual.value == pytest.approx(3.0) and usual.state == "reckoned"
    assert row("relay.force", measured=stretched).state == "measured"


def complete_report(size: Size, value: float) -> Report:
    """Return a report with every slope and fact that a formula uses, at the same cost for every size."""
    complete = report()
    for _ in range(9):  # a formula reports one missing name at a time
        names = tables(size, complete).not_measured
        slopes = [slope(name, "ms", lambda n: value) for name in names]
        facts = {name.replace("*", "x"): value for name in names}
        complete = msgspec.structs.replace(
            complete, slopes=[*complete.slopes, *slopes], facts=complete.facts | facts
        )
        if not names:
            return complete
    raise AssertionError(names)


ONE = (
    {f"fleet__{name}": 1 for name in ("relays", "destinations", "regions", "zones")}
    | {
        f"assumed__{name}": 1
        for name in (
            "relays_a_machine",
            "storm",
            "voters",
            "keepers",
            "keepers_a_reader",
            "shards",
            "connections",
            "headroom",
        )
    }
    | {"control__machines": 1}
)
NONE = {
    "fleet__backlog": 0,
    "fleet__down": 0,
    "changes__a_day": 0,
    "assumed__idle_s": 0,
    "failures__machines_a_day": 0,
    "failures__restarts_a_day": 0,
    "failures__regions_apart_s": 0,
}
MOST = {
    "fleet__events_s": 1e15,
    "fleet__backlog": 1e15,
    "fleet__relays": 10**9,
    "fleet__destinations": 10**9,
    "assumed__headroom": 0.5,
}


@pytest.mark.parametrize("value", [0.0, 1.0, 1e12])
@pytest.mark.parametrize("changed", [{}, ONE, NONE, ONE | NONE, MOST])
def test_every_valid_size_gives_complete_tables(changed: dict[str, Any], value: float) -> None:
    size = small_size(**changed)
    result = tables(size, complete_report(size, value))
    for each in result.rows:
        assert each.row.value is not None and not math.isnan(each.row.value) and each.row.value >= 0, each.row
    assert "not measured" not in {each.row.state for each in result.rows}
    assert markdown(result) and msgspec.json.decode(as_json(result))


FIELDS = [(table, field) for table, fields in plan().items() if isinstance(fields, dict) for field in fields]


@pytest.mark.parametrize("table, field", FIELDS)
def test_every_field_of_the_size_affects_a_figure_or_budget(table: str, field: str) -> None:
    def figures(raw: dict[str, Any]) -> list[tuple[str, float | None, float | None]]:
        size = decoded(raw, "x")
        return [(each.name, each.value, each.budget) for each in rows(FORMULAS, size, costs)]

    costs = complete_report(decoded(plan(), "x"), 1.0)
    before, raw = figures(plan()), plan()
    value = raw[table][field]
    for changed in (value * 2, value / 2, value + 2, value - 2):
        raw[table][field] = type(value)(changed)
        try:
            after = figures(raw)
        except SizeError:
            continue
        if after != before:
            return
    raise AssertionError(f"{table}.{field} moves no figure and no budget")


def test_cost_of_a_real_relay_is_the_difference_to_one_without_shard_servers() -> None:
    raw = {
        "budget": {
            "destinations": 360_000,
            "without": {"core %": 2.0, "bytes/s": 0, "RSS MB": 30.0},
            "1000 in use": {
                "plan": {"core %": 3.0, "bytes/s": 1800, "RSS MB": 60.0},
                "reader": {"behind": False},
            },
        },
        "killed": {"force most s": 9.5, "broken": []},
        "frozen": {"force most s": 11.0, "answers": {"200": 3}},
    }
    updated = add_facts(SYNTHETIC, "shards", raw)
    assert updated.facts["hollow.change_most_s"] == 4.0  # other facts are kept
    assert updated.facts["shards.budget.1000_in_use.plan.core_percent"] == 3.0
    assert "shards.budget.1000_in_use.reader.behind" not in updated.facts
    assert row("relay.real_1000_memory", measured=updated).value == pytest.approx(30e6)
    assert row("relay.real_1000_plan_processor", measured=updated).value == pytest.approx(0.01)
    assert row("relay.real_1000_plan_bytes", measured=updated).value == 1800
    worst = row("relay.real_force", measured=updated)
    assert (worst.value, worst.state, worst.facts) == (11.0, "measured", ["shards.frozen.force_most_s"])
    assert row("relay.real_10000_memory", measured=updated).value is None


def test_facts_have_plain_names_and_finite_values() -> None:
    raw = {"b c/s": 1, "d %": {"E": 2.5}, "f": math.inf, "g": True, "h": [1], "i": "2"}
    assert dict(flatten("a", raw)) == {"a.b_c_s": 1.0, "a.d_percent.e": 2.5}


def test_rows_over_budget_are_first_and_sorted_by_descending_factor() -> None:
    ordered = rows(FORMULAS, small_size(), SYNTHETIC)
    factors = [each.factor or 0.0 for each in ordered if each.over]
    assert factors and factors == sorted(factors, reverse=True)
    assert not any(each.over for each in ordered[len(factors) :])
    assert row("relay.directory_memory").factor == pytest.approx(2.001)
    assert not row("relay.backlog_memory").over  # 15 MB for 15 MB


def test_steps_are_ordered_by_their_worst_figure() -> None:
    ordered = steps(reversed(rows(FORMULAS, small_size(), SYNTHETIC)))  # whatever the order of the rows
    factors = [step.factor for step in ordered]
    assert len(set(factors)) > 1 and factors == sorted(factors, reverse=True)
    interest = next(step for step in ordered if step.name == "directory by interest")
    assert interest.factor == pytest.approx(2.001) and "relay.directory_memory" in interest.rows


def test_sum_with_a_missing_part_names_it_and_is_a_lower_bound() -> None:
    total = row("relay.control_memory")
    assert total.value == pytest.approx(2_001_000) and total.lacks == ["peers.members.memory_bytes"]
    assert total.state == "reckoned"
    text = markdown(tables(small_size(), SYNTHETIC))
    assert "at least 2 MB" in text


def test_rows_of_a_missing_slope_are_not_measured() -> None:
    missing = row("relay.members_bytes")
    assert (missing.value, missing.factor, missing.state) == (None, None, "not measured")
    assert missing.lacks == ["peers.members.bytes_s"]
    empty = rows(FORMULAS, small_size(), report())
    assert [each.name for each in empty if each.state == "measured"] == []
    # A sum without any measurement has no value.
    assert row("relay.control_memory", measured=report()).value is None
    result = tables(small_size(), report())
    assert "peers.members.bytes_s" in result.not_measured and "not measured" in markdown(result)


def test_unknown_unit_is_reported_as_missing() -> None:
    odd = report(slope("directory.list.memory_bytes", "furlongs", lambda n: n))
    computed = row("relay.directory_memory", measured=odd)
    assert computed.value is None and "furlongs" in computed.lacks[0]


@pytest.mark.parametrize("unit, seconds", [("us", 1e-6), ("ms", 1e-3), ("s", 1.0)])
def test_units_of_time_are_converted_to_seconds(unit: str, seconds: float) -> None:
    measured = report(slope("accord.clear.cpu_ms", unit, lambda n: 5.0, per="relay"))
    assert row("voter.clear", measured=measured).value == pytest.approx(5 * seconds)


def test_superlinear_cost_uses_the_larger_estimate() -> None:
    squared = slope("accord.clear.cpu_ms", "ms", lambda n: 0.001 * n * n, per="relay")
    assert squared.superlinear and squared.exponent == pytest.approx(2.0)
    size = small_size(fleet__relays=10_000)
    computed = row("voter.clear", size, report(squared))
    assert computed.value == pytest.approx(100.0)  # 0.001 ms x 1e8
    assert squared.at(10_000) < 10_000  # the line alone would give a tenth of it
    assert "power law taken where worse" in markdown(tables(size, report(squared)))


def test_linear_cost_is_not_superlinear() -> None:
    line = slope("accord.clear.cpu_ms", "ms", lambda n: 5 + 0.1 * n)
    assert not line.superlinear
    assert line.estimate(1e6)[0] == pytest.approx(5 + 1e5)


def test_estimate_is_never_negative() -> None:
    assert slope("x.y.z", "ms", lambda n: 1000 - n).estimate(1e6) == (0.0, 0.0, 0.0)


def test_every_mechanism_is_a_file_or_marked_as_missing() -> None:
    for formula in FORMULAS:
        computed = next(each for each in rows([formula], small_size(), SYNTHETIC))
        exists = (ROOT / formula.mechanism).exists()
        assert exists or computed.mechanism.startswith("missing"), formula.name


def test_mechanism_without_its_file_is_missing() -> None:
    formula = next(each for each in FORMULAS if each.name == "relay.events")
    changed = replace(formula, mechanism="message_relay/nothing.py")
    assert rows([changed], small_size(), SYNTHETIC)[0].mechanism == "missing (message_relay/nothing.py)"


def test_each_role_has_figures_or_a_reason_for_each_event() -> None:
    for role in Role:
        figures = {formula.when for formula in FORMULAS if formula.role is role}
        reasons = [when for at in AS_ELSEWHERE.get(role, {}).values() for when in at]
        assert len(set(reasons)) == len(reasons) and not figures & set(reasons), role
        assert figures | set(reasons) == set(When), role


def test_row_names_are_unique() -> None:
    names = [formula.name for formula in FORMULAS]
    assert len(set(names)) == len(names)


def test_budget_of_responses_equals_the_limit_of_the_shard_server() -> None:
    if not (ROOT / "message_relay/sharded_directory/shard_server.py").exists():
        assert row("keeper.memory").mechanism.startswith("missing")
        return
    shard_server = importlib.import_module("message_relay.sharded_directory.shard_server")
    assert budgets.ANSWERS_BYTES_S == shard_server.BYTES_S


def test_log_times_equal_those_of_the_replicated_log() -> None:
    from message_relay.consensus import replicated_log

    assert (replicated_log.HEARTBEAT_S, replicated_log.ELECTION_S[1]) == (
        agreement.HEARTBEAT_S,
        agreement.ELECTION_S,
    )


def test_figure_computed_by_hand_is_corrected_if_it_is_off() -> None:
    raw = plan()
    raw["paper"] = [
        {"row": "relay.events", "figure": 857},
        {"row": "voter.renewals", "figure": 10_000},
        {"row": "nobody.knows", "figure": 1},
    ]
    result = tables(decoded(raw, "x"), report())
    assert [(each.row, each.corrected) for each in result.paper] == [
        ("relay.events", False),
        ("voter.renewals", True),
        ("nobody.knows", False),
    ]
    assert result.paper[2].unit == "no such row"


# -- the fit ------------------------------------------------------------------------------------------------


def test_fit_finds_an_exact_line_with_no_interval() -> None:
    fit = slope("x.y.z", "ms", lambda n: 3 + 0.5 * n)
    assert fit.base == pytest.approx(3) and fit.each == pytest.approx(0.5)
    assert fit.each_high - fit.each_low == pytest.approx(0, abs=1e-9)
    assert fit.predicted == pytest.approx(803) and not fit.finding


@pytest.mark.parametrize("power", [0.0, 0.5, 1.0, 2.0])
def test_fit_finds_an_exact_power_law(power: float) -> None:
    fit = slope("x.y.z", "ms", lambda n: 7 * n**power)
    assert fit.exponent == pytest.approx(power, abs=1e-9)
    assert fit.exponent_low <= power + 1e-9 and fit.exponent_high >= power - 1e-9
    assert fit.power(10_000, fit.exponent) == pytest.approx(7 * 10_000**power)


def test_interval_is_by_students_t_and_contains_the_true_slope() -> None:
    """Two sizes are a tenth too high and two a tenth too low. The interval of the relative residuals is
    computed by hand."""
    values = [110.0, 180.0, 360.0, 880.0]
    fit = fit_slope(
        "x.y.z",
        "d",
        "ms",
        [sample(*each) for each in zip(FIT, values, strict=True)],
        sample(LARGEST, 1600),
        "f",
    )
    # Weighted normal equations of y = a + b x with weights 1 / y, solved by hand.
    w = [1 / y**2 for y in values]
    sw, sx = sum(w), sum(a * x for a, x in zip(w, FIT, strict=True))
    sxx = sum(a * x * x for a, x in zip(w, FIT, strict=True))
    sy = sum(a * y for a, y in zip(w, values, strict=True))
    sxy = sum(a * x * y for a, x, y in zip(w, FIT, values, strict=True))
    each = (sw * sxy - sx * sy) / (sw * sxx - sx * sx)
    base = (sy - each * sx) / sw
    residual = sum(a * (y - base - each * x) ** 2 for a, x, y in zip(w, FIT, values, strict=True))
    half = 4.303 * math.sqrt(residual / 2 * sw / (sw * sxx - sx * sx))
    assert fit.each == pytest.approx(each) and fit.base == pytest.approx(base)
    assert fit.each_high - fit.each == pytest.approx(half)
    assert fit.each_low < 1.0 < fit.each_high


@pytest.mark.parametrize(
    "off, is_finding", [(1.0, False), (0.81, False), (1.3, False), (0.79, True), (1.34, True)]
)
def test_prediction_off_by_more_than_a_quarter_is_a_finding(off: float, is_finding: bool) -> None:
    """The error is relative to the measured value: 0.8 and 4/3 of the prediction are off by a quarter."""
    result = tables(small_size(), report(slope("x.y.z", "ms", lambda n: 10 + n, off)))
    assert [each.slope for each in result.findings] == ["x.y.z"] * is_finding
    assert ("### Findings" in (text := markdown(result))) and (
        f"| `x.y.z` | {LARGEST:,} |" in text
    ) is is_finding


def test_finding_has_a_reason() -> None:
    squared = tables(small_size(), report(slope("x.y.z", "ms", lambda n: n * n)))
    assert "grows faster than a line: exponent 2.00" in squared.findings[0].reason
    wild = fit_slope(
        "x.y.z", "d", "ms", [Sample(n, n, n / 2, 2 * n) for n in FIT], sample(LARGEST, 9999), "f"
    )
    assert (
        "rounds at one size lie apart by up to 150%" in tables(small_size(), report(wild)).findings[0].reason
    )


# -- bad input ----------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "table, field, value, expected",
    [
        ("fleet", "relays", 0, "fleet.relays: 0: Expected `int` >= 1"),
        ("fleet", "relays", -3500, "fleet.relays: -3500: Expected `int` >= 1"),
        ("fleet", "relays", 3500.5, "fleet.relays: 3500.5: Expected `int`"),
        ("fleet", "relays", "many", "fleet.relays: 'many': Expected `int`"),
        ("fleet", "relays", True, "fleet.relays: True: Expected `int`"),
        ("fleet", "events_s", -1.0, "fleet.events_s: -1.0: Expected `float` > 0.0"),
        ("fleet", "events_s", math.inf, "fleet.events_s: inf: Expected `float` <= 1000000000000000.0"),
        ("fleet", "down", math.nan, "fleet.down: nan: Expected `float`"),
        ("fleet", "down", 1.8, "fleet.down: 1.8: Expected `float` < 1.0"),
        ("fleet", "backlog", -12e9, "fleet.backlog: -12000000000.0: Expected `float` >= 0.0"),
        ("fleet", "zones", 1, "fleet.regions: 2: must be 1 or less (fleet.zones)"),
        ("fleet", "relais", 1, "fleet.relais: is not known; 'relays' is the nearest name"),
        ("control", "core", 2.6, "control.core: 2.6: Expected `float` <= 1.0"),
        ("control", "machines", 0, "control.machines: 0: Expected `int` >= 1"),
        ("changes", "a_day", -7000, "changes.a_day: -7000: Expected `float` >= 0.0"),
        ("failures", "rack_days", 0, "failures.rack_days: 0: Expected `float` > 0.0"),
        ("assumed", "shards", 0, "assumed.shards: 0: Expected `int` >= 1"),
        ("assumed", "shards", 1000, "assumed.shards: 1000: must be a power of two: 512 or 1024"),
        ("assumed", "voters", 4, "assumed.voters: 4: must be odd: 3 outlive as many"),
        ("assumed", "keepers", 9, "assumed.keepers: 9: must be 8 or less (control.machines)"),
        ("assumed", "storm", 400_000, "assumed.storm: 400000: must be 360000 or less (fleet.destinations)"),
    ],
)
def test_invalid_figure_is_rejected_with_its_field_name(
    table: str, field: str, value: Any, expected: str
) -> None:
    raw = plan()
    raw[table][field] = value
    with pytest.raises(SizeError) as caught:
        decoded(raw, "plan.toml")
    assert f"plan.toml: {expected}" in str(caught.value)


def test_all_faults_are_reported_at_once() -> None:
    raw = plan()
    raw["fleet"]["relays"], raw["paper"][1]["figure"] = 0, -1
    del raw["changes"]["a_day"]
    with pytest.raises(SizeError) as caught:
        decoded(raw, "p")
    assert str(caught.value).splitlines() == [
        "p: paper[1].figure: -1: Expected `float` >= 0.0",
        "p: fleet.relays: 0: Expected `int` >= 1",
        "p: changes.a_day: is missing",
    ]


def run(*arguments: object) -> Result:
    return CliRunner().invoke(main, ["capacity", *map(str, arguments)])


@pytest.mark.parametrize(
    "text, expected",
    [
        (None, "No such file"),
        ("name = ", "plan.toml: "),
        ("name = 'x'", "fleet: is missing"),
    ],
)
def test_unreadable_size_file_exits_with_2_and_a_readable_text(
    tmp_path: Path, text: str | None, expected: str
) -> None:
    path = tmp_path / "plan.toml"
    if text is not None:
        path.write_text(text)
    result = run("--size", path)
    assert result.exit_code == 2 and expected in result.output and "Traceback" not in result.output


@pytest.mark.parametrize("text", [None, "{", '{"machine": 5}', "[]"])
def test_unreadable_slopes_exit_with_2(tmp_path: Path, text: str | None) -> None:
    path = tmp_path / "slopes.json"
    if text is not None:
        path.write_text(text)
    result = run("--size", PLAN, "--slopes", path)
    assert result.exit_code == 2 and str(path) in result.output and "Traceback" not in result.output


# -- the command and the page -------------------------------------------------------------------------------


def write_report(path: Path, content: Report) -> Path:
    path.write_bytes(msgspec.json.encode(content))
    return path


def test_command_prints_the_same_figures_as_json(tmp_path: Path) -> None:
    result = run("--size", PLAN, "--slopes", write_report(tmp_path / "s.json", SYNTHETIC), "--json")
    assert result.exit_code == 0
    output = json.loads(result.output)
    assert output["size"]["fleet"]["relays"] == 3500 and output["slopes"][0]["name"]
    by_name = {each["row"]["name"]: each for each in output["rows"]}
    memory = by_name["relay.directory_memory"]
    assert memory["row"]["value"] == pytest.approx(720_001_000)
    assert memory["slopes"][0]["name"] == "directory.list.memory_bytes"
    assert memory["row"]["state"] == "reckoned"  # 360,000 is beyond 1,600
    assert output["rows"][0]["row"]["over"] and not output["rows"][-1]["row"]["over"]


def test_row_shows_slope_sizes_interval_exponent_budget_and_mechanism() -> None:
    text = markdown(tables(small_size(), SYNTHETIC))
    line = next(line for line in text.splitlines() if "the whole list, in directory and decisions" in line)
    for part in (
        "2 MB",
        "1 MB (asked: for control)",
        "**2**",
        "`directory.list.memory_bytes` 2e+03 +- ",
        "bytes a destination",
        "run at 100 to 1,600",
        "exponent 1.00 +- 0.00",
        "`message_relay/core/directory.py`; would: directory by interest",
        "reckoned",
    ):
        assert part in line, part


def test_write_replaces_only_the_text_between_the_markers(tmp_path: Path) -> None:
    page, slopes = tmp_path / "page.md", write_report(tmp_path / "s.json", SYNTHETIC)
    page.write_text(f"before\n{START}\nold\n{END}\nafter\n")
    assert run("--size", PLAN, "--slopes", slopes, "--write", page).exit_code == 0
    before, inside, after = split_page(page.read_text(), "page")
    assert (before, after) == ("before\n", "\nafter\n")
    assert inside == run("--size", PLAN, "--slopes", slopes).output
    first = page.read_text()
    assert run("--size", PLAN, "--slopes", slopes, "--write", page).exit_code == 0
    assert page.read_text() == first


@pytest.mark.parametrize(
    "page", ["", START, f"{END}\n{START}\n", f"{START}\n{START}\n{END}", f"{START}\n{END}{END}"]
)
def test_page_without_markers_is_not_changed(tmp_path: Path, page: str) -> None:
    path = tmp_path / "page.md"
    path.write_text(page)
    result = run("--size", PLAN, "--slopes", write_report(tmp_path / "s.json", SYNTHETIC), "--write", path)
    assert result.exit_code == 2 and "once each" in result.output and path.read_text() == page
    with pytest.raises(PageError):
        replace_tables(page, "x", "page")


def test_page_explains_each_step() -> None:
    page = PAGE.read_text().lower()
    for step in {formula.step for formula in FORMULAS if formula.step}:
        assert f"- **{step.lower()}**: " in page, step


def test_page_contains_the_output_of_the_command(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(ROOT)
    result = run("--size", PLAN.relative_to(ROOT))
    assert result.exit_code == 0
    _, inside, _ = split_page(PAGE.read_text(), "docs/CAPACITY.md")
    assert inside == result.output, (
        "python -m emulator capacity --size deploy/sizes/two-years.toml " "--write docs/CAPACITY.md"
    )


def test_flat_cost_uses_its_mean_with_the_interval_of_the_line() -> None:
    """Guards against an observed fault: 0.38 ms a message at 64 to 2,000 pending messages, with a slope of
    6e-06 +- 2e-04, was reported as 20 ms at 3.4e6."""
    values = {64: 0.412, 250: 0.353, 500: 0.375, 1000: 0.394}
    samples = [Sample(size, value, value, value) for size, value in values.items()]
    slope = fit_slope("a.b", "x", "ms", samples, Sample(2000, 0.32, 0.32, 0.32), "f")
    middle, low, high = slope.estimate(3_400_000)
    assert 0.353 < middle < 0.412 and middle == slope.predicted
    assert low == 0.0 and high == pytest.approx(slope.base + slope.each_high * 3_400_000)
    grows = [Sample(size, 0.4 + size / 1000, 0.4, 0.4) for size in values]
    line = fit_slope("a.c", "x", "ms", grows, Sample(2000, 2.4, 2.4, 2.4), "f")
    assert line.estimate(10_000)[0] == pytest.approx(10.4)


def test_cost_that_does_not_measurably_grow_is_predicted_by_its_mean() -> None:
    """Guards against a false finding: a line extrapolates noise of small sizes to nine times the size."""
    samples = [
        Sample(size, value, value, value)
        for size, value in ((2500, 1.1), (5000, 0.9), (10000, 1.05), (20000, 0.95), (40000, 0.9))
    ]
    slope = fit_slope("a.b", "x", "ms", samples, Sample(360_000, 1.0, 1.0, 1.0), "f")
    assert slope.each_low < 0 < slope.each_high and abs(slope.base + slope.each * 360_000 - 1.0) > 0.5
    assert abs(slope.predicted - 0.97) < 0.03 and not slope.finding
    grows = [Sample(size, 2.0 + size, 2.0 + size, 2.0 + size) for size in (10, 20, 40, 80)]
    line = fit_slope("a.c", "x", "ms", grows, Sample(160, 162.0, 162.0, 162.0), "f")
    assert abs(line.predicted - 162.0) < 1e-6

"""Capacity as code: figures worked out by hand against those of the tables, from slopes that are made up."""

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
from emulator.capacity.command import BEGIN, END, PageError, between, renewed
from emulator.capacity.facts import flattened, taken
from emulator.capacity.roles import AS_ELSEWHERE, FORMULAS
from emulator.capacity.rows import ROOT, Role, Row, When, rows
from emulator.capacity.size import Size, SizeError, decoded
from emulator.capacity.slopes import Report, Sample, Slope, fitted
from emulator.capacity.tables import as_json, markdown, steps, tables
from emulator.commands import main

PLAN = ROOT / "deploy/sizes/two-years.toml"
SLOPES = ROOT / "docs/reports/capacity.json"
PAGE = ROOT / "docs/CAPACITY.md"
FIT, LARGEST = (100, 200, 400, 800), 1600


def plan() -> dict[str, Any]:
    return tomllib.loads(PLAN.read_text())


def small(**changed: Any) -> Size:
    """Round figures. `changed`: table__field."""
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
    """`cost` by size; the largest size costs `off` times that."""
    return fitted(
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


MADE_UP = report(
    slope("directory.list.memory_bytes", "bytes", lambda n: 1000 + 2000 * n),
    slope("directory.change.cpu_ms", "ms", lambda n: 0.1),
    slope("accord.renewal.cpu_us", "us", lambda n: 4.0, per="relay"),
    slope("store.start.cpu_ms", "ms", lambda n: 0.01 * n, per="record"),
    slope("store.start.memory_bytes", "bytes", lambda n: 1000 * n, per="record"),
    slope("decisions.held.memory_bytes", "bytes", lambda n: 500 * n, per="message"),
    slope("relay.message.cpu_ms", "ms", lambda n: 1.0, per="held message"),
    hollow__change_most_s=4.0,
)


def row(name: str, size: Size | None = None, told: Report = MADE_UP) -> Row:
    return next(each for each in rows(FORMULAS, size or small(), told) if each.name == name)


# -- figures by hand ----------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "name, value, state",
    [
        ("relay.events", 100.0, "reckoned"),  # 10,000 / 100
        ("relay.call_again", 10.0, "reckoned"),  # 100 x 1,000 / 10,000
        ("relay.backlog", 10_000.0, "reckoned"),  # 1e6 / 100
        ("relay.held", 110.0, "assumed"),  # 100 x (0.1 + 0.02 x 50)
        ("relay.directory_memory", 2_001_000.0, "reckoned"),  # 1,000 + 2,000 x 1,000: 1,000 was not run
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
        ("relay.expired", 0.4, "assumed"),  # it gathered in 100 s, of which 60 still count
        ("relay.expired_today", 0.9, "assumed"),
        ("relay.apart", 180_000.0, "reckoned"),  # 100 x 3,600 x 1/2
        ("relay.force", 4.0, "measured"),
        ("voter.renewals", 100 / 0.27, "assumed"),  # a lease of 1.2 s, four renewals, each 0.9 of 0.3 s
        ("voter.processor", 100 / 0.27 * 4e-6, "reckoned"),
        ("destination.calls", 10.0, "reckoned"),  # 10,000 / 1,000
        ("destination.cold", 2.7, "assumed"),  # 10 x 1.5 x 0.18
        ("destination.waiting", 600.0, "assumed"),  # 10 x 60: none waits longer than its time
        ("destination.connections", 100 * (1 - math.exp(-6)), "assumed"),  # 60 s idle, called each 10 s
        ("relay.storm_held", 500.0, "assumed"),  # 100 x 10 s x 500 / 1,000
        ("relay.back", 3600.0, "assumed"),  # an hour's half for the other region, at half the rate to spare
        ("voter.lost", 2.0, "assumed"),  # 5 over 4 zones
        ("voter.side", 2.0, "assumed"),
        ("leader.missed", 360.0, "reckoned"),  # 0.1 a second
        ("leader.heartbeats", 4 / 0.15, "assumed"),
        ("supervisor.back", 0.0055, "reckoned"),  # 5 x 110 x 0.01 ms
        ("supervisor.restarts", 27.5, "assumed"),  # 550 x 5 / 100
        ("keeper.digests", 100 * 2 / 8 / 3, "assumed"),
    ],
)
def test_a_figure_is_what_the_hand_works_out(name: str, value: float, state: str) -> None:
    found = row(name)
    assert found.value == pytest.approx(value, rel=1e-6)
    assert found.state == state


@pytest.mark.parametrize(
    "destinations, value, state",
    [
        (800, 1_601_000.0, "measured"),  # a size of the fit
        (1600, 4_000_000.0, "measured"),  # the largest: as it was run, whatever was predicted
        (1601, 3_203_000.0, "reckoned"),
    ],
)
def test_a_size_that_was_run_is_told_as_it_was_run(destinations: int, value: float, state: str) -> None:
    line = fitted(
        "directory.list.memory_bytes",
        "destination",
        "bytes",
        [sample(each, 1000 + 2000 * each) for each in FIT],
        sample(LARGEST, 4_000_000.0),
        "f",
    )
    found = row("relay.directory_memory", small(fleet__destinations=destinations), report(line))
    assert found.value == pytest.approx(value) and found.state == state


def test_stretched_periods_are_put_back() -> None:
    told = report(
        slope("hollow.cpu_share", "cores", lambda n: 1e-5 * n, per="instance"),
        hollow__stretch=6.0,
        hollow__change_most_s=18.0,
    )
    assert row("relay.hollow_processor", told=told).value == pytest.approx(0.006)  # 100 x 1e-5 x 6
    usual = row("relay.force_usual", told=told)
    assert usual.value == pytest.approx(3.0) and usual.state == "reckoned"
    assert row("relay.force", told=told).state == "measured"


def whole(size: Size, value: float) -> Report:
    """Every slope and fact that a formula asks for, at the same cost whatever the size."""
    told = report()
    for _ in range(9):  # a formula tells one that it lacks at a time
        names = tables(size, told).not_measured
        slopes = [slope(name, "ms", lambda n: value) for name in names]
        facts = {name.replace("*", "x"): value for name in names}
        told = msgspec.structs.replace(told, slopes=[*told.slopes, *slopes], facts=told.facts | facts)
        if not names:
            return told
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
def test_no_size_that_is_taken_breaks_the_command(changed: dict[str, Any], value: float) -> None:
    size = small(**changed)
    told = tables(size, whole(size, value))
    for each in told.rows:
        assert each.row.value is not None and not math.isnan(each.row.value) and each.row.value >= 0, each.row
    assert "not measured" not in {each.row.state for each in told.rows}
    assert markdown(told) and msgspec.json.decode(as_json(told))


FIELDS = [(table, field) for table, fields in plan().items() if isinstance(fields, dict) for field in fields]


@pytest.mark.parametrize("table, field", FIELDS)
def test_no_field_of_the_size_is_there_for_nothing(table: str, field: str) -> None:
    def figures(raw: dict[str, Any]) -> list[tuple[str, float | None, float | None]]:
        size = decoded(raw, "x")
        return [(each.name, each.value, each.budget) for each in rows(FORMULAS, size, costs)]

    costs = whole(decoded(plan(), "x"), 1.0)
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


def test_what_a_real_relay_took_is_told_less_one_without_keepers() -> None:
    found = {
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
    told = taken(MADE_UP, "shards", found)
    assert told.facts["hollow.change_most_s"] == 4.0  # others' stay
    assert told.facts["shards.budget.1000_in_use.plan.core_percent"] == 3.0
    assert "shards.budget.1000_in_use.reader.behind" not in told.facts
    assert row("relay.real_1000_memory", told=told).value == pytest.approx(30e6)
    assert row("relay.real_1000_plan_processor", told=told).value == pytest.approx(0.01)
    assert row("relay.real_1000_plan_bytes", told=told).value == 1800
    worst = row("relay.real_force", told=told)
    assert (worst.value, worst.state, worst.facts) == (11.0, "measured", ["shards.frozen.force_most_s"])
    assert row("relay.real_10000_memory", told=told).value is None


def test_facts_have_plain_names_and_finite_values() -> None:
    found = {"b c/s": 1, "d %": {"E": 2.5}, "f": math.inf, "g": True, "h": [1], "i": "2"}
    assert dict(flattened("a", found)) == {"a.b_c_s": 1.0, "a.d_percent.e": 2.5}


def test_what_is_over_budget_comes_first_and_the_worst_at_the_top() -> None:
    found = rows(FORMULAS, small(), MADE_UP)
    factors = [each.factor or 0.0 for each in found if each.over]
    assert factors and factors == sorted(factors, reverse=True)
    assert not any(each.over for each in found[len(factors) :])
    assert row("relay.directory_memory").factor == pytest.approx(2.001)
    assert not row("relay.backlog_memory").over  # 15 MB for 15 MB


def test_steps_are_told_by_their_worst_figure() -> None:
    told = steps(reversed(rows(FORMULAS, small(), MADE_UP)))  # whatever the order of the rows
    factors = [step.factor for step in told]
    assert len(set(factors)) > 1 and factors == sorted(factors, reverse=True)
    interest = next(step for step in told if step.name == "directory by interest")
    assert interest.factor == pytest.approx(2.001) and "relay.directory_memory" in interest.rows


def test_a_sum_tells_what_it_lacks_and_stays_a_lower_bound() -> None:
    found = row("relay.control_memory")
    assert found.value == pytest.approx(2_001_000) and found.lacks == ["peers.members.memory_bytes"]
    assert found.state == "reckoned"
    text = markdown(tables(small(), MADE_UP))
    assert "at least 2 MB" in text


def test_a_slope_that_is_missing_makes_its_rows_not_measured_and_breaks_nothing() -> None:
    found = row("relay.members_bytes")
    assert (found.value, found.factor, found.state) == (None, None, "not measured")
    assert found.lacks == ["peers.members.bytes_s"]
    none = rows(FORMULAS, small(), report())
    assert [each.name for each in none if each.state == "measured"] == []
    assert row("relay.control_memory", told=report()).value is None  # a sum of nothing is no figure
    told = tables(small(), report())
    assert "peers.members.bytes_s" in told.not_measured and "not measured" in markdown(told)


def test_a_unit_that_is_not_known_is_told_and_not_guessed() -> None:
    odd = report(slope("directory.list.memory_bytes", "furlongs", lambda n: n))
    found = row("relay.directory_memory", told=odd)
    assert found.value is None and "furlongs" in found.lacks[0]


@pytest.mark.parametrize("unit, seconds", [("us", 1e-6), ("ms", 1e-3), ("s", 1.0)])
def test_units_of_time_are_put_to_seconds(unit: str, seconds: float) -> None:
    told = report(slope("accord.clear.cpu_ms", unit, lambda n: 5.0, per="relay"))
    assert row("voter.clear", told=told).value == pytest.approx(5 * seconds)


def test_what_grows_faster_than_a_line_is_reckoned_by_the_worse() -> None:
    squared = slope("accord.clear.cpu_ms", "ms", lambda n: 0.001 * n * n, per="relay")
    assert squared.superlinear and squared.exponent == pytest.approx(2.0)
    size = small(fleet__relays=10_000)
    found = row("voter.clear", size, report(squared))
    assert found.value == pytest.approx(100.0)  # 0.001 ms x 1e8
    assert squared.at(10_000) < 10_000  # the line alone would tell a tenth of it
    assert "power law taken where worse" in markdown(tables(size, report(squared)))


def test_a_line_is_not_taken_for_more() -> None:
    line = slope("accord.clear.cpu_ms", "ms", lambda n: 5 + 0.1 * n)
    assert not line.superlinear
    assert line.reckoned(1e6)[0] == pytest.approx(5 + 1e5)


def test_no_cost_falls_below_nothing() -> None:
    assert slope("x.y.z", "ms", lambda n: 1000 - n).reckoned(1e6) == (0.0, 0.0, 0.0)


def test_every_mechanism_is_a_file_or_told_as_missing() -> None:
    for formula in FORMULAS:
        told = next(each for each in rows([formula], small(), MADE_UP))
        there = (ROOT / formula.mechanism).exists()
        assert there or told.mechanism.startswith("missing"), formula.name


def test_a_mechanism_whose_file_is_not_there_is_missing() -> None:
    formula = next(each for each in FORMULAS if each.name == "relay.events")
    gone = replace(formula, mechanism="message_relay/nothing.py")
    assert rows([gone], small(), MADE_UP)[0].mechanism == "missing (message_relay/nothing.py)"


def test_each_role_tells_of_each_event_once_a_figure_or_why_there_is_none() -> None:
    for role in Role:
        figures = {formula.when for formula in FORMULAS if formula.role is role}
        words = [when for at in AS_ELSEWHERE.get(role, {}).values() for when in at]
        assert len(set(words)) == len(words) and not figures & set(words), role
        assert figures | set(words) == set(When), role


def test_each_row_has_a_name_of_its_own() -> None:
    names = [formula.name for formula in FORMULAS]
    assert len(set(names)) == len(names)


def test_the_keepers_bound_is_that_of_the_keeper() -> None:
    if not (ROOT / "message_relay/sharded_directory/shard_server.py").exists():
        assert row("keeper.memory").mechanism.startswith("missing")
        return
    keeping = importlib.import_module("message_relay.sharded_directory.shard_server")
    assert budgets.ANSWERS_BYTES_S == keeping.BYTES_S


def test_the_logs_times_are_those_of_the_log() -> None:
    from message_relay.consensus import replicated_log

    assert (replicated_log.HEARTBEAT_S, replicated_log.ELECTION_S[1]) == (
        agreement.HEARTBEAT_S,
        agreement.ELECTION_S,
    )


def test_what_was_reckoned_by_hand_is_corrected_where_it_is_off() -> None:
    raw = plan()
    raw["paper"] = [
        {"row": "relay.events", "figure": 857},
        {"row": "voter.renewals", "figure": 10_000},
        {"row": "nobody.knows", "figure": 1},
    ]
    told = tables(decoded(raw, "x"), report())
    assert [(each.row, each.corrected) for each in told.paper] == [
        ("relay.events", False),
        ("voter.renewals", True),
        ("nobody.knows", False),
    ]
    assert told.paper[2].unit == "no such row"


# -- the fit ------------------------------------------------------------------------------------------------


def test_a_known_line_is_found_with_no_interval() -> None:
    found = slope("x.y.z", "ms", lambda n: 3 + 0.5 * n)
    assert found.base == pytest.approx(3) and found.each == pytest.approx(0.5)
    assert found.each_high - found.each_low == pytest.approx(0, abs=1e-9)
    assert found.predicted == pytest.approx(803) and not found.finding


@pytest.mark.parametrize("power", [0.0, 0.5, 1.0, 2.0])
def test_a_known_power_is_found(power: float) -> None:
    found = slope("x.y.z", "ms", lambda n: 7 * n**power)
    assert found.exponent == pytest.approx(power, abs=1e-9)
    assert found.exponent_low <= power + 1e-9 and found.exponent_high >= power - 1e-9
    assert found.power(10_000, found.exponent) == pytest.approx(7 * 10_000**power)


def test_an_interval_is_students_and_holds_the_truth() -> None:
    """Two sizes up and two down by a tenth: the interval by hand, of the relative residuals."""
    values = [110.0, 180.0, 360.0, 880.0]
    found = fitted(
        "x.y.z",
        "d",
        "ms",
        [sample(*each) for each in zip(FIT, values, strict=True)],
        sample(LARGEST, 1600),
        "f",
    )
    # Weighed normal equations of y = a + b x with weights 1 / y, solved by hand.
    w = [1 / y**2 for y in values]
    sw, sx = sum(w), sum(a * x for a, x in zip(w, FIT, strict=True))
    sxx = sum(a * x * x for a, x in zip(w, FIT, strict=True))
    sy = sum(a * y for a, y in zip(w, values, strict=True))
    sxy = sum(a * x * y for a, x, y in zip(w, FIT, values, strict=True))
    each = (sw * sxy - sx * sy) / (sw * sxx - sx * sx)
    base = (sy - each * sx) / sw
    rest = sum(a * (y - base - each * x) ** 2 for a, x, y in zip(w, FIT, values, strict=True))
    half = 4.303 * math.sqrt(rest / 2 * sw / (sw * sxx - sx * sx))
    assert found.each == pytest.approx(each) and found.base == pytest.approx(base)
    assert found.each_high - found.each == pytest.approx(half)
    assert found.each_low < 1.0 < found.each_high


@pytest.mark.parametrize("off, told", [(1.0, False), (0.81, False), (1.3, False), (0.79, True), (1.34, True)])
def test_a_prediction_off_by_more_than_a_quarter_is_a_finding(off: float, told: bool) -> None:
    """Of what was measured: a cost 0.8 of the prediction is off by a quarter, one of 4/3 likewise."""
    found = tables(small(), report(slope("x.y.z", "ms", lambda n: 10 + n, off)))
    assert [each.slope for each in found.findings] == ["x.y.z"] * told
    assert ("### Findings" in (text := markdown(found))) and (f"| `x.y.z` | {LARGEST:,} |" in text) is told


def test_a_finding_has_its_reason() -> None:
    squared = tables(small(), report(slope("x.y.z", "ms", lambda n: n * n)))
    assert "grows faster than a line: exponent 2.00" in squared.findings[0].reason
    wild = fitted("x.y.z", "d", "ms", [Sample(n, n, n / 2, 2 * n) for n in FIT], sample(LARGEST, 9999), "f")
    assert "rounds at one size lie apart by up to 150%" in tables(small(), report(wild)).findings[0].reason


# -- bad input ----------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "table, field, value, told",
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
def test_a_figure_without_sense_is_refused_by_name(table: str, field: str, value: Any, told: str) -> None:
    raw = plan()
    raw[table][field] = value
    with pytest.raises(SizeError) as caught:
        decoded(raw, "plan.toml")
    assert f"plan.toml: {told}" in str(caught.value)


def test_all_faults_are_told_at_once() -> None:
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


def run(*told: object) -> Result:
    return CliRunner().invoke(main, ["capacity", *map(str, told)])


@pytest.mark.parametrize(
    "text, told",
    [
        (None, "No such file"),
        ("name = ", "plan.toml: "),
        ("name = 'x'", "fleet: is missing"),
    ],
)
def test_a_file_that_is_none_ends_with_2_and_plain_text(tmp_path: Path, text: str | None, told: str) -> None:
    path = tmp_path / "plan.toml"
    if text is not None:
        path.write_text(text)
    result = run("--size", path)
    assert result.exit_code == 2 and told in result.output and "Traceback" not in result.output


@pytest.mark.parametrize("text", [None, "{", '{"machine": 5}', "[]"])
def test_slopes_that_cannot_be_read_end_with_2(tmp_path: Path, text: str | None) -> None:
    path = tmp_path / "slopes.json"
    if text is not None:
        path.write_text(text)
    result = run("--size", PLAN, "--slopes", path)
    assert result.exit_code == 2 and str(path) in result.output and "Traceback" not in result.output


# -- the command and the page -------------------------------------------------------------------------------


def written(path: Path, told: Report) -> Path:
    path.write_bytes(msgspec.json.encode(told))
    return path


def test_the_command_tells_the_same_in_json(tmp_path: Path) -> None:
    result = run("--size", PLAN, "--slopes", written(tmp_path / "s.json", MADE_UP), "--json")
    assert result.exit_code == 0
    told = json.loads(result.output)
    assert told["size"]["fleet"]["relays"] == 3500 and told["slopes"][0]["name"]
    by_name = {each["row"]["name"]: each for each in told["rows"]}
    memory = by_name["relay.directory_memory"]
    assert memory["row"]["value"] == pytest.approx(720_001_000)
    assert memory["slopes"][0]["name"] == "directory.list.memory_bytes"
    assert memory["row"]["state"] == "reckoned"  # 360,000 lies beyond 1,600
    assert told["rows"][0]["row"]["over"] and not told["rows"][-1]["row"]["over"]


def test_a_row_tells_its_slope_sizes_interval_exponent_budget_and_mechanism() -> None:
    text = markdown(tables(small(), MADE_UP))
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


def test_write_renews_what_stands_between_the_marks_alone(tmp_path: Path) -> None:
    page, slopes = tmp_path / "page.md", written(tmp_path / "s.json", MADE_UP)
    page.write_text(f"before\n{BEGIN}\nold\n{END}\nafter\n")
    assert run("--size", PLAN, "--slopes", slopes, "--write", page).exit_code == 0
    before, inside, after = between(page.read_text(), "page")
    assert (before, after) == ("before\n", "\nafter\n")
    assert inside == run("--size", PLAN, "--slopes", slopes).output
    first = page.read_text()
    assert run("--size", PLAN, "--slopes", slopes, "--write", page).exit_code == 0
    assert page.read_text() == first


@pytest.mark.parametrize(
    "page", ["", BEGIN, f"{END}\n{BEGIN}\n", f"{BEGIN}\n{BEGIN}\n{END}", f"{BEGIN}\n{END}{END}"]
)
def test_a_page_without_its_marks_is_left_as_it_is(tmp_path: Path, page: str) -> None:
    path = tmp_path / "page.md"
    path.write_text(page)
    result = run("--size", PLAN, "--slopes", written(tmp_path / "s.json", MADE_UP), "--write", path)
    assert result.exit_code == 2 and "once each" in result.output and path.read_text() == page
    with pytest.raises(PageError):
        renewed(page, "x", "page")


def test_the_page_tells_what_each_step_means() -> None:
    page = PAGE.read_text().lower()
    for step in {formula.step for formula in FORMULAS if formula.step}:
        assert f"- **{step.lower()}**: " in page, step


def test_the_page_holds_what_the_command_prints(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(ROOT)
    result = run("--size", PLAN.relative_to(ROOT))
    assert result.exit_code == 0
    _, inside, _ = between(PAGE.read_text(), "docs/CAPACITY.md")
    assert inside == result.output, (
        "python -m emulator capacity --size deploy/sizes/two-years.toml " "--write docs/CAPACITY.md"
    )


def test_a_flat_cost_is_reckoned_far_away_as_its_mean_and_its_interval_stays_the_lines() -> None:
    """Seen: 0.38 ms a message at 64 to 2,000 held, a slope of 6e-06 +- 2e-04, told as 20 ms at 3.4e6."""
    values = {64: 0.412, 250: 0.353, 500: 0.375, 1000: 0.394}
    samples = [Sample(size, value, value, value) for size, value in values.items()]
    slope = fitted("a.b", "x", "ms", samples, Sample(2000, 0.32, 0.32, 0.32), "f")
    middle, low, high = slope.reckoned(3_400_000)
    assert 0.353 < middle < 0.412 and middle == slope.predicted
    assert low == 0.0 and high == pytest.approx(slope.base + slope.each_high * 3_400_000)
    grows = [Sample(size, 0.4 + size / 1000, 0.4, 0.4) for size in values]
    line = fitted("a.c", "x", "ms", grows, Sample(2000, 2.4, 2.4, 2.4), "f")
    assert line.reckoned(10_000)[0] == pytest.approx(10.4)


def test_a_cost_that_does_not_measurably_grow_is_predicted_as_its_mean() -> None:
    """By its line the noise of small sizes, taken nine times as far, would be a finding of its own."""
    samples = [
        Sample(size, value, value, value)
        for size, value in ((2500, 1.1), (5000, 0.9), (10000, 1.05), (20000, 0.95), (40000, 0.9))
    ]
    slope = fitted("a.b", "x", "ms", samples, Sample(360_000, 1.0, 1.0, 1.0), "f")
    assert slope.each_low < 0 < slope.each_high and abs(slope.base + slope.each * 360_000 - 1.0) > 0.5
    assert abs(slope.predicted - 0.97) < 0.03 and not slope.finding
    grows = [Sample(size, 2.0 + size, 2.0 + size, 2.0 + size) for size in (10, 20, 40, 80)]
    line = fitted("a.c", "x", "ms", grows, Sample(160, 162.0, 162.0, 162.0), "f")
    assert abs(line.predicted - 162.0) < 1e-6

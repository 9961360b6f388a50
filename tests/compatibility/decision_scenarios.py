"""Named scenarios for the decision traces: their settings and the behaviour of the simulated destinations.

The scenarios use neutral terms and no names of the product, so that a rename in the product never changes
this module. `decision_binding` translates a scenario into the product's settings.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """A message class: the effect of a repeated attempt, and how the value decays with age."""

    name: str
    effect: str  # safe, keyed, unsafe
    target_ms: float
    deadline_ms: float
    value: float = 1.0
    late_fraction: float = 0.5
    key_window_ms: float = 0.0
    key_scope: str = "all"  # all, zone, endpoint
    ordered: bool = False


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of destination."""

    name: str
    batch: int = 1
    separate_routes: bool = False


@dataclass(frozen=True, slots=True)
class TenantQuota:
    name: str
    per_second: float


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the safety rules."""

    answer_slack_ms: float = 20.0
    drain_grace_ms: float = 250.0
    cold_fraction: float = 0.2
    cold_ms: float = 9000.0
    collapse_multiple: float = 2.0
    collapse_ms: float = 1500.0
    ask_within_ms: float = 6000.0
    key_rest_ms: float = 150.0


@dataclass(frozen=True, slots=True)
class InstancePosition:
    """Number of this instance, size of the fleet, and offset of the shared clock."""

    number: int
    size: int
    clock_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of a destination. Kinds: down, silent, hung, shut, failing."""

    destination: int
    kind: str
    begin_ms: float
    end_ms: float


@dataclass(frozen=True, slots=True)
class Resize:
    at_ms: float
    position: InstancePosition


@dataclass(frozen=True, slots=True)
class Restart:
    at_ms: float
    planned: bool


@dataclass(frozen=True, slots=True)
class Chances:
    """Probabilities of events of one call or message, drawn independently."""

    error: float = 0.02
    reset: float = 0.01
    hang: float = 0.01
    cancelled: float = 0.005
    no_slot: float = 0.01
    slow_connect: float = 0.02
    has_retry_after: float = 0.4  # a refusal has a retry-after time
    client_cancels: float = 0.01  # the client cancels a message
    short_deadline: float = 0.15  # a message has little time left
    resubmits: float = 0.4  # the client resubmits a rejected message

    def outcome(self, drawn: float) -> str:
        """Returns the outcome of a call to a healthy destination for a random number from 0 to 1."""
        chances = (
            ("error", self.error),
            ("reset", self.reset),
            ("hang", self.hang),
            ("cancelled", self.cancelled),
        )
        for outcome, chance in chances:
            if drawn < chance:
                return outcome
            drawn -= chance
        return "ok"


@dataclass(frozen=True, slots=True)
class Scenario:
    name: str
    classes: tuple[ServiceClass, ...]
    destinations: int = 3
    endpoints_each: int = 2
    kinds: tuple[Kind, ...] = (Kind("plain"),)
    tenants: tuple[TenantQuota, ...] = ()
    slots: int = 8
    max_pending: int = 200
    attempts: int = 6
    instances: int = 1
    zone: int = 0
    over_quota_value: float = 0.2
    decay: str = "half_life"  # line, half_life
    rates: str = "nominal"  # none, nominal, rough
    ask_for_list: bool = False
    marks_repeats: bool = False
    idle_ms: float = 5000.0
    tick_ms: float = 1.0
    longest_retry_after_ms: float = 8000.0
    cross_zone_price: float = 0.0
    zone_fees: tuple[float, ...] = ()
    reports_limit: bool = False
    goal_weights: tuple[float, float, float, float] = (1.0, 0.0, 0.0, 0.0)  # total, window, class, tenant
    limits: Limits = Limits()
    fleet_position: InstancePosition | None = None
    # Settings of the simulation.
    messages: int = 900
    gap_ms: float = 12.0
    burst: int = 3  # largest number of messages that arrive at the same time
    skew: float = 0.8  # the k-th destination gets 1 / k**skew of the messages
    listed_rate: float = 40.0  # calls a second
    real_rate: float = 40.0
    latency_ms: float = 60.0
    time_left_spread: bool = False  # draws many different times to live
    start_backlog: int = 0  # messages that are resumed at the start
    untried_backlog: bool = False  # the earlier process attempted none of them
    list_change_ms: float = 0.0  # 0: the list of endpoints does not change
    tail_ms: float = 20_000.0  # how long the simulation continues after the last message
    chances: Chances = Chances()
    faults: tuple[Fault, ...] = ()
    resizes: tuple[Resize, ...] = ()
    restarts: tuple[Restart, ...] = ()


ORDER = ServiceClass("order", "keyed", 4000.0, 16000.0, 2.0, 0.5, 4000.0)
PAYMENT = ServiceClass("payment", "unsafe", 3000.0, 16000.0, 1.0, 0.5)
STATUS = ServiceClass("status", "safe", 1500.0, 8000.0, 4.0, 0.1)
ZONE_KEYED = ServiceClass("zone_keyed", "keyed", 2500.0, 12000.0, 1.7, 0.3, 5000.0, "zone")
ENDPOINT_KEYED = ServiceClass("endpoint_keyed", "keyed", 2000.0, 9000.0, 1.3, 0.25, 3500.0, "endpoint")
ORDERED = ServiceClass("ordered", "safe", 2000.0, 10000.0, 1.5, 0.3, ordered=True)
ORDERED_KEYED = ServiceClass("ordered_keyed", "keyed", 1800.0, 9000.0, 2.5, 0.2, 4000.0, "all", True)
BRIEF = ServiceClass("brief", "safe", 160.0, 2500.0, 3.0, 0.4)
PATIENT = ServiceClass("patient", "safe", 20_000.0, 120_000.0, 1.0, 0.5)
COMMON = (ORDER, PAYMENT, STATUS)
ALL_CLASSES = (*COMMON, ZONE_KEYED, ENDPOINT_KEYED, ORDERED, ORDERED_KEYED, BRIEF)

OUTAGES = (
    Fault(1, "down", 2500.0, 6000.0),
    Fault(2, "silent", 3500.0, 7500.0),
    Fault(3, "hung", 4000.0, 6500.0),
    Fault(1, "shut", 12000.0, 15000.0),
    Fault(2, "failing", 9000.0, 12000.0),
    Fault(3, "down", 13000.0, 17500.0),
)

SCENARIOS = (
    Scenario(
        "few_destinations",
        ALL_CLASSES,
        attempts=14,
        gap_ms=20.0,
        chances=Chances(error=0.25),
        faults=OUTAGES[:2],
    ),
    Scenario(
        "many_destinations",
        COMMON,
        destinations=300,
        endpoints_each=1,
        slots=24,
        max_pending=400,
        decay="line",
        rates="none",
        messages=1500,
        gap_ms=6.0,
        burst=6,
        real_rate=3.0,
        latency_ms=90.0,
    ),
    Scenario(
        "ordered_keys",
        (ORDERED, ORDERED_KEYED, STATUS),
        decay="line",
        slots=6,
        marks_repeats=True,
        chances=Chances(reset=0.05, hang=0.03, cancelled=0.03),
        faults=OUTAGES[:1],
    ),
    Scenario(
        "tenants_over_quota",
        (ORDER, STATUS, BRIEF),
        tenants=(TenantQuota("large", 40.0), TenantQuota("small", 2.0), TenantQuota("none", 0.0)),
        max_pending=90,
        instances=2,
        real_rate=12.0,
        messages=1400,
        gap_ms=10.0,
        goal_weights=(1.0, 0.5, 0.4, 0.3),
    ),
    Scenario(
        "full_hold",
        ALL_CLASSES,
        destinations=5,
        max_pending=50,
        slots=3,
        real_rate=6.0,
        latency_ms=180.0,
        messages=1800,
        gap_ms=200.0,
        burst=25,
        chances=Chances(resubmits=0.5),
    ),
    Scenario(
        "outages_and_cold_returns",
        (*COMMON, ZONE_KEYED),
        instances=4,
        listed_rate=60.0,
        messages=1500,
        gap_ms=28.0,
        faults=OUTAGES,
    ),
    Scenario(
        "restarts",
        ALL_CLASSES,
        instances=12,
        messages=1400,
        gap_ms=30.0,
        listed_rate=120.0,
        faults=OUTAGES,
        restarts=(
            Restart(5000.0, False),
            Restart(9000.0, True),
            Restart(13500.0, False),
            Restart(16500.0, True),
        ),
    ),
    Scenario(
        "agreed_rate",
        COMMON,
        instances=5,
        fleet_position=InstancePosition(2, 5, 13.25),
        listed_rate=90.0,
        real_rate=25.0,
        messages=1200,
        gap_ms=40.0,
        faults=OUTAGES[:4],
        list_change_ms=1200.0,
        resizes=(
            Resize(6000.0, InstancePosition(2, 7, 13.25)),
            Resize(10000.0, InstancePosition(1, 3, -40.5)),
            Resize(14000.0, InstancePosition(2, 8, 7.75)),
        ),
    ),
    Scenario(
        "separate_routes",
        (ORDER, ZONE_KEYED, ENDPOINT_KEYED, STATUS),
        destinations=6,
        endpoints_each=4,
        kinds=(Kind("plain"), Kind("routes", 4, True)),
        rates="rough",
        zone=1,
        cross_zone_price=0.4,
        zone_fees=(0.0, 0.3, 0.0),
        real_rate=15.0,
        messages=1200,
        gap_ms=25.0,
        list_change_ms=900.0,
        faults=OUTAGES,
    ),
    Scenario(
        "large_fleet",
        COMMON,
        destinations=8,
        instances=40,
        listed_rate=150.0,
        real_rate=2.5,
        messages=1500,
        gap_ms=30.0,
        start_backlog=40,
        faults=OUTAGES,
        resizes=(Resize(8000.0, InstancePosition(3, 25)), Resize(16000.0, InstancePosition(3, 60))),
    ),
    Scenario(
        "endpoint_lists",
        (ORDER, STATUS, ENDPOINT_KEYED),
        destinations=8,
        ask_for_list=True,
        decay="line",
        rates="none",
        messages=1300,
        gap_ms=65.0,
        burst=3,
        list_change_ms=400.0,
        tail_ms=70_000.0,
        restarts=(Restart(15000.0, False), Restart(24000.0, True), Restart(33000.0, False)),
    ),
    Scenario(
        "reported_limits",
        COMMON,
        gap_ms=20.0,
        rates="rough",
        reports_limit=True,
        instances=3,
        real_rate=20.0,
        listed_rate=35.0,
        chances=Chances(has_retry_after=0.0),
        faults=OUTAGES[2:4],
    ),
    Scenario(
        "deep_backlog",
        ALL_CLASSES,
        destinations=4,
        max_pending=640,
        slots=40,
        marks_repeats=True,
        real_rate=80.0,
        listed_rate=80.0,
        time_left_spread=True,
        start_backlog=500,
        messages=600,
        gap_ms=8.0,
        burst=6,
        faults=OUTAGES[:3],
    ),
    Scenario(
        "wide_backlog",
        (*COMMON, BRIEF),
        destinations=350,
        endpoints_each=1,
        max_pending=1000,
        slots=20,
        skew=0.1,
        real_rate=6.0,
        rates="none",
        start_backlog=900,
        messages=1200,
        gap_ms=4.0,
        burst=8,
        time_left_spread=True,
        marks_repeats=True,
        tenants=(TenantQuota("a", 1e6), TenantQuota("b", 1.0)),
    ),
    Scenario(
        "untried_backlog",
        (*COMMON, ENDPOINT_KEYED),
        destinations=2,
        max_pending=300,
        slots=4,
        instances=8,
        listed_rate=150.0,
        start_backlog=420,
        untried_backlog=True,
        messages=500,
        gap_ms=70.0,
        faults=OUTAGES[:1],
    ),
    Scenario(
        "many_tries",
        (PATIENT, STATUS),
        destinations=4,
        attempts=30,
        messages=120,
        gap_ms=300.0,
        tail_ms=60_000.0,
        chances=Chances(error=0.75),
    ),
    Scenario(
        "slow_destinations",
        (PATIENT, STATUS),
        instances=5,
        listed_rate=1.2,
        real_rate=0.6,
        messages=160,
        gap_ms=500.0,
        tail_ms=40_000.0,
        resizes=(Resize(20_000.0, InstancePosition(1, 4)),),
    ),
    Scenario(
        "slow_destinations_of_many",
        (PATIENT, PAYMENT),
        instances=60,
        listed_rate=9.0,
        real_rate=1.0,
        messages=160,
        gap_ms=500.0,
        tail_ms=40_000.0,
        faults=(Fault(1, "down", 15_000.0, 19_000.0), Fault(2, "hung", 25_000.0, 31_000.0)),
    ),
    Scenario(
        "crowded_resume",
        COMMON,
        destinations=240,
        endpoints_each=1,
        max_pending=400,
        slots=400,
        skew=0.05,
        start_backlog=900,
        messages=120,
        tail_ms=8000.0,
    ),
)

SEEDS = (1, 2)

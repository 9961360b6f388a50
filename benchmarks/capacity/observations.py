"""Measures the cost of observations: for a relay by the destinations that it calls, and for the failover
controller by the relays that report to it."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Mapping

import msgspec

from message_relay.consensus.rules import Rules
from message_relay.failover.call_counter import CallCounter
from message_relay.failover.controller import FailoverController
from message_relay.failover.node import FORWARDED_REPORTS, OBSERVATIONS_KIND
from message_relay.failover.observations import RETAINED_WINDOWS, ObservationReport, Observations
from message_relay.failover.settings import FailoverSettings, ZoneSettings
from message_relay.gossip.wire import AppMessage, Packet, open_packet, seal_packet

from .form import Measure

SECRET = b"0123456789abcdef"
ZONES = tuple(f"zone-{n}" for n in range(10))
SETTINGS = FailoverSettings({zone: ZoneSettings(f"region-{n // 5}") for n, zone in enumerate(ZONES)})
CALLS = 857  # of a relay in a window: its share of three million calls a second
DESTINATIONS = 20  # called by a relay in a window when the number of relays varies; ten relays share each
GROUP = "anywhere 1"


def close_window(
    counter: CallCounter, rng: random.Random, destinations: list[int]
) -> list[ObservationReport]:
    for n in range(CALLS):
        destination = destinations[n % len(destinations)]
        counter.record_submission(destination, GROUP)
        succeeded = rng.random() < 0.98
        counter.record_call(
            destination, counter.zone, succeeded, not succeeded, False, rng.lognormvariate(3.0, 0.5)
        )
    return counter.close_window(1.0, 0.1)


def packets(reports: list[ObservationReport]) -> list[bytes]:
    return [
        seal_packet(
            Packet(report.relay, 1, AppMessage(OBSERVATIONS_KIND, msgspec.msgpack.encode(report))), SECRET
        )
        for report in reports
    ]


def add_reports(observations: Observations, now: float, raws: list[bytes]) -> None:
    for raw in raws:
        body = open_packet(raw, SECRET).body
        assert isinstance(body, AppMessage)
        observations.add(now, msgspec.msgpack.decode(body.body, type=ObservationReport))


def cpu_ms(action: Callable[[], object]) -> float:
    """Return the processor time in ms."""
    started_at = time.process_time()
    action()
    return 1000 * (time.process_time() - started_at)


def report(size: int) -> Mapping[str, float]:
    """Measure the report of one relay and window to one voter."""
    rng, counter = random.Random(1), CallCounter("n1", 1, ZONES[0])
    reports = close_window(counter, rng, list(range(size)))
    times = []
    for n in range(20):
        raws = packets(reports)
        observations = Observations()
        times.append(
            cpu_ms(
                lambda raws=raws, observations=observations, n=n: add_reports(observations, float(n), raws)  # type: ignore[misc]
            )
        )
    return {"bytes": sum(map(len, raws)), "datagrams": len(raws), "cpu_ms": min(times)}


def observations_of(size: int) -> tuple[Observations, float, float]:
    """Return the observations of `size` relays, and the processor ms and the bytes of the last window."""
    rng, observations = random.Random(1), Observations()
    pool = max(DESTINATIONS, size * DESTINATIONS // 10)
    relays = [CallCounter(f"n{n}", n, ZONES[n % len(ZONES)]) for n in range(size)]
    called = [rng.sample(range(pool), DESTINATIONS) for _ in relays]
    now, last_ms, length = 0.0, 0.0, 0
    for number in range(RETAINED_WINDOWS):
        now = number + 1.0
        for n, counter in enumerate(relays):
            for destination in called[n]:  # a few calls each: only the number of samples matters
                counter.record_submission(destination, GROUP)
                counter.record_call(destination, counter.zone, True, False, False, 20.0)
        raws = [raw for counter in relays for raw in packets(counter.close_window(1.0, 0.1))]
        last_ms, length = (
            cpu_ms(lambda raws=raws, now=now: add_reports(observations, now, raws)),  # type: ignore[misc]
            sum(map(len, raws)),
        )
    return observations, last_ms, length


def total(size: int) -> Mapping[str, float]:
    observations, processing_ms, length = observations_of(size)
    now, controller = RETAINED_WINDOWS + 0.5, FailoverController(SETTINGS, observations, None, lambda: 0.0)
    first_update_ms = cpu_ms(lambda: controller.update(now, Rules(), {}))
    return {
        "take_cpu_ms": processing_ms,
        "take_bytes": length,
        "series_cpu_ms": cpu_ms(lambda: observations.series(now)),
        "demand_cpu_ms": cpu_ms(lambda: observations.demand(now)),
        "news_cpu_ms": cpu_ms(lambda: observations.latest_reports(now, 4 * FORWARDED_REPORTS)),
        "first_look_cpu_ms": first_update_ms,
        "look_cpu_ms": cpu_ms(lambda: controller.update(now + 0.2, Rules(), {})),
    }


MEASURES = (
    Measure(
        "evidence.report",
        "destination",
        (12, 25, 50, 100),
        200,
        {"bytes": "bytes", "datagrams": "datagrams", "cpu_ms": "ms"},
        report,
        "message_relay/failover/observations.py",
        "a window of 857 calls of one relay to one voter; the processor time is the voter's; more than 200 "
        "destinations are summed up (CELLS)",
    ),
    Measure(
        "evidence.sum",
        "relay",
        (25, 50, 100, 200, 400),
        800,
        {
            "take_cpu_ms": "ms",
            "take_bytes": "bytes",
            "series_cpu_ms": "ms",
            "demand_cpu_ms": "ms",
            "news_cpu_ms": "ms",
            "first_look_cpu_ms": "ms",
            "look_cpu_ms": "ms",
        },
        total,
        "message_relay/failover/controller.py",
        "each relay calls 20 destinations, each of which ten relays call; take: of one window; look: the "
        "turn of a decider, once a window, on the loop",
    ),
)

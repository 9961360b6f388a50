"""What evidence costs: a relay by the destinations it calls, and the decider by the relays that tell it."""

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
PART = FailoverSettings({zone: ZoneSettings(f"region-{n // 5}") for n, zone in enumerate(ZONES)})
CALLS = 857  # of a relay in a window: a second of its share of three million
DESTINATIONS = 20  # that a relay calls in a window, where relays are counted; of as many as ten relays call
GROUP = "anywhere 1"


def window(counting: CallCounter, rng: random.Random, destinations: list[int]) -> list[ObservationReport]:
    for n in range(CALLS):
        destination = destinations[n % len(destinations)]
        counting.record_submission(destination, GROUP)
        good = rng.random() < 0.98
        counting.record_call(destination, counting.zone, good, not good, False, rng.lognormvariate(3.0, 0.5))
    return counting.close_window(1.0, 0.1)


def packets(reports: list[ObservationReport]) -> list[bytes]:
    return [
        seal_packet(
            Packet(each.relay, 1, AppMessage(OBSERVATIONS_KIND, msgspec.msgpack.encode(each))), SECRET
        )
        for each in reports
    ]


def taken(evidence: Observations, now: float, raws: list[bytes]) -> None:
    for raw in raws:
        body = open_packet(raw, SECRET).body
        assert isinstance(body, AppMessage)
        evidence.add(now, msgspec.msgpack.decode(body.body, type=ObservationReport))


def timed(what: Callable[[], object]) -> float:
    """Milliseconds of processor."""
    began = time.process_time()
    what()
    return 1000 * (time.process_time() - began)


def report(size: int) -> Mapping[str, float]:
    """Of one relay and window, as told to one voter."""
    rng, counting = random.Random(1), CallCounter("n1", 1, ZONES[0])
    reports = window(counting, rng, list(range(size)))
    times = []
    for n in range(20):
        raws = packets(reports)
        evidence = Observations()
        times.append(timed(lambda raws=raws, evidence=evidence, n=n: taken(evidence, float(n), raws)))  # type: ignore[misc]
    return {"bytes": sum(map(len, raws)), "datagrams": len(raws), "cpu_ms": min(times)}


def filled(size: int) -> tuple[Observations, float, float]:
    """What a decider knows of so many relays; how long the last window took it, and its bytes."""
    rng, evidence = random.Random(1), Observations()
    pool = max(DESTINATIONS, size * DESTINATIONS // 10)
    relays = [CallCounter(f"n{n}", n, ZONES[n % len(ZONES)]) for n in range(size)]
    mine = [rng.sample(range(pool), DESTINATIONS) for _ in relays]
    now, took, length = 0.0, 0.0, 0
    for number in range(RETAINED_WINDOWS):
        now = number + 1.0
        for n, counting in enumerate(relays):
            for destination in mine[n]:  # some calls each: what counts here is the number of cells
                counting.record_submission(destination, GROUP)
                counting.record_call(destination, counting.zone, True, False, False, 20.0)
        raws = [raw for counting in relays for raw in packets(counting.close_window(1.0, 0.1))]
        took, length = timed(lambda raws=raws, now=now: taken(evidence, now, raws)), sum(map(len, raws))  # type: ignore[misc]
    return evidence, took, length


def total(size: int) -> Mapping[str, float]:
    evidence, took, length = filled(size)
    now, decider = RETAINED_WINDOWS + 0.5, FailoverController(PART, evidence, None, lambda: 0.0)
    first = timed(lambda: decider.update(now, Rules(), {}))
    return {
        "take_cpu_ms": took,
        "take_bytes": length,
        "series_cpu_ms": timed(lambda: evidence.series(now)),
        "demand_cpu_ms": timed(lambda: evidence.demand(now)),
        "news_cpu_ms": timed(lambda: evidence.latest_reports(now, 4 * FORWARDED_REPORTS)),
        "first_look_cpu_ms": first,
        "look_cpu_ms": timed(lambda: decider.update(now + 0.2, Rules(), {})),
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

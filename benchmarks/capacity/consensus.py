"""Measures the cost of agreed rules: for a voter by the number of relays, and for voters and relays by the
number of destinations in the rules."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Mapping

import msgspec

from message_relay.consensus import version_history
from message_relay.consensus.lease_client import RENEW
from message_relay.consensus.lease_grantor import LeaseGrantor
from message_relay.consensus.lease_holder import LeaseHolder, SentRenewal
from message_relay.consensus.lease_protocol import DeliveryCounts, LeaseGrant, LeaseRenewal, LeaseTerms
from message_relay.consensus.rules import ANY, DestinationRule, Rules
from message_relay.consensus.rules_codec import decode_rules, digest, encode_rules
from message_relay.consensus.rules_intersection import is_subset
from message_relay.consensus.version_history import VERSIONS_RETAINED, Propose, Version, VersionHistory
from message_relay.consensus.voter import GRANT
from message_relay.gossip.wire import AppMessage, Packet, open_packet, seal_packet

from .form import Measure

SECRET = b"0123456789abcdef"
VOTERS = tuple(f"n{n}" for n in range(5))
FIRST = "0123456789abcdef/" + ",".join(VOTERS)
RENEWALS, CHUNK = 7000, 50  # timed at each size, in chunks; the result is the lower quartile of the chunks
WAITING_ROUNDS = 5  # rounds of all relays while a version waits; the result is the minimum
CHECK_RUNS = 3  # timed passes over all relays; the result is the minimum
ENDPOINTS = 5  # for each destination whose rule names endpoints: one in ten does
Names = list[str]


def voter(size: int, versions: int = VERSIONS_RETAINED) -> tuple[LeaseGrantor, Names]:
    """Return a voter with a full version history, the newest version cleared, that knows no relay yet.

    The second value is the list of relay names.
    """
    history = VersionHistory(Rules(), VOTERS)
    for n in range(1, versions):
        rules = Rules({str(n): DestinationRule(rate=1000.0 - n)})
        assert not history.apply(Propose(n, encode_rules(rules), "bench", "", 0.0)).refused
    grantor = LeaseGrantor("n0", history, LeaseTerms(), FIRST, 0, 0.0)
    grantor.has_never_granted = True
    grantor.clear_current_version(0.0)
    assert grantor.cleared_version == versions
    return grantor, [f"n{n}" for n in range(size)]


def encode_renewal(n: int, seq: int, acts: tuple[int, ...], refuses: int) -> bytes:
    """Return a relay's renewal in its wire form."""
    renewal = LeaseRenewal(1, n, seq, FIRST, acts, refuses, DeliveryCounts(1_000_000 + n, 1_000_100 + n))
    return seal_packet(Packet(f"n{n}", n, AppMessage(RENEW, msgspec.msgpack.encode(renewal))), SECRET)


def handle_renewal(grantor: LeaseGrantor, now: float, raw: bytes) -> bytes:
    """Handle one renewal as consensus/instance.py does: clear before and after it."""
    packet = open_packet(raw, SECRET)
    assert isinstance(packet.body, AppMessage)
    renewal: LeaseRenewal = msgspec.msgpack.decode(packet.body.body, type=LeaseRenewal)
    grantor.clear_current_version(now)
    grant = grantor.on_renewal(now, packet.sender, renewal)
    grantor.clear_current_version(now)
    return seal_packet(Packet("n0", 1, AppMessage(GRANT, msgspec.msgpack.encode(grant))), SECRET)


def renew_all(
    grantor: LeaseGrantor, now: float, seq: int, size: int, acts: tuple[int, ...], refuses: int = 1
) -> tuple[float, int]:
    """Renew once for each relay. Returns processor seconds, and the bytes of one renewal and its answer."""
    raws = [encode_renewal(n, seq, acts, refuses) for n in range(size)]
    interval = grantor.terms.renew_interval_s / size
    started_at, answer = time.process_time(), b""
    for n, raw in enumerate(raws):
        answer = handle_renewal(grantor, now + n * interval, raw)
    return time.process_time() - started_at, len(raws[-1]) + len(answer)


def lower_quartile_s(grantor: LeaseGrantor, now: float, size: int, acts: tuple[int, ...]) -> float:
    """Return the processor seconds of one renewal. The number of timed renewals does not depend on `size`."""
    times = []
    for seq in range(RENEWALS // size):
        raws = [encode_renewal(n, 2 + seq, acts, 1) for n in range(size)]
        for first in range(0, size - CHUNK + 1, CHUNK):
            started_at = time.process_time()
            for raw in raws[first : first + CHUNK]:
                handle_renewal(grantor, now, raw)
            times.append((time.process_time() - started_at) / CHUNK)
    return sorted(times)[len(times) // 4]


def renewal(size: int) -> Mapping[str, float]:
    grantor, _ = voter(size)
    newest = grantor.history.newest.number
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    _, round_trip_bytes = renew_all(grantor, 1.0, 1, size, (newest,))
    memory = (tracemalloc.get_traced_memory()[0] - before) / size
    tracemalloc.stop()
    per_renewal_s = lower_quartile_s(grantor, 2.0, size, (newest,))
    # One relay is cut off and blocks a new version; all others renew as before.
    strict = Rules({ANY: DestinationRule(rate=1.0)})
    assert not grantor.history.apply(Propose(newest, encode_rules(strict), "bench", "", 0.0)).refused
    waiting = []
    for n in range(WAITING_ROUNDS):
        took, _ = renew_all(grantor, 8.0 + n, 1000 + n, size - 1, (newest, newest + 1), 1000)
        waiting.append(took)
    assert grantor.blocking_relays == [f"n{size - 1}"]
    return {
        "cpu_us": 1e6 * per_renewal_s,
        "waiting_cpu_us": 1e6 * min(waiting) / (size - 1),
        "bytes": round_trip_bytes,
        "memory_bytes": memory,
    }


def clear(size: int) -> Mapping[str, float]:
    """Time one check of all relays: each acts by the version before the one to be cleared."""
    grantor, _ = voter(size)
    newest = grantor.history.newest.number
    renew_all(grantor, 1.0, 1, size, (newest,))
    strict = Rules({ANY: DestinationRule(rate=1.0)})
    assert not grantor.history.apply(Propose(newest, encode_rules(strict), "bench", "", 0.0)).refused
    times = []
    for n in range(CHECK_RUNS):
        grantor.next_full_check = 0.0
        started_at = time.process_time()
        grantor.clear_current_version(1.5 + n / 100)
        times.append(time.process_time() - started_at)
    assert len(grantor.blocking_relays) == size
    return {"cpu_ms": 1000 * min(times)}


def rules_of(size: int, rate: float) -> Rules:
    return Rules(
        {
            str(n): DestinationRule(
                rate=rate,
                endpoints=frozenset(f"10.0.{n % 250}.{m}:80" for m in range(ENDPOINTS))
                if n % 10 == 0
                else None,
            )
            for n in range(size)
        }
    )


def rules(size: int) -> Mapping[str, float]:
    """Return the minimum of several runs for each cost."""
    runs = [_run_rules(size) for _ in range(CHECK_RUNS)]
    return {cost: min(run[cost] for run in runs) for cost in runs[0]}


def _run_rules(size: int) -> dict[str, float]:
    version_history._DECODED.clear()  # clears the decode cache, so that each run decodes for the first time
    old, raw = rules_of(size, 200.0), encode_rules(rules_of(size, 100.0))
    history = VersionHistory(old, VOTERS)
    started_at = time.process_time()
    decode_rules(raw)
    assert is_subset(
        Rules({ANY: DestinationRule(closed=True)}), decode_rules(raw)
    )  # the floor check of consensus/instance.py, _against
    assert not history.apply(Propose(1, raw, "bench", "", 0.0)).refused
    voter_s = time.process_time() - started_at
    encoded = msgspec.msgpack.encode(history.newest)
    lease_holder = LeaseHolder(1, 1, FIRST, LeaseTerms())
    for entry in history.versions:
        lease_holder.add_version(entry)
    lease_holder.active_versions = (1,)
    grantor = LeaseGrantor("n0", history, LeaseTerms(), FIRST, 1, 0.0)
    started_at = time.process_time()
    version: Version = msgspec.msgpack.decode(encoded, type=Version)
    assert digest(decode_rules(version.rules)) == version.digest
    lease_holder.sequence = 1
    lease_holder.sent_renewals[1] = SentRenewal(0.0, (1,))
    lease_holder.on_grant(0.0, "n0", LeaseGrant(1, True, 0, 1, 2))
    lease_holder.lease_start = 0.0
    assert lease_holder.active_rules(0.1).label == "1+2"
    relay_s = time.process_time() - started_at
    started_at = time.process_time()
    grantor.on_renewal(
        0.1, "n9", LeaseRenewal(1, 1, 1, FIRST, (1, 2), 1)
    )  # the first renewal that names the version; the later ones cost nothing
    grantor.clear_current_version(0.1)
    return {
        "bytes": len(encoded),
        "voter_cpu_ms": 1000 * voter_s,
        "relay_cpu_ms": 1000 * relay_s,
        "first_renewal_cpu_ms": 1000 * (time.process_time() - started_at),
    }


MEASURES = (
    Measure(
        "accord.renewal",
        "relay",
        (100, 200, 400, 800, 1600),
        3500,
        {"cpu_us": "us", "waiting_cpu_us": "us", "bytes": "bytes", "memory_bytes": "bytes"},
        renewal,
        "message_relay/consensus/lease_grantor.py",
        "one renewal at one voter, opened and sealed, 64 versions kept; no system call; waiting: while a "
        "version waits for a relay that is cut off",
    ),
    Measure(
        "accord.clear",
        "relay",
        (100, 200, 400, 800, 1600),
        3500,
        {"cpu_ms": "ms"},
        clear,
        "message_relay/consensus/lease_grantor.py",
        "one look at all relays, each of which is waited for",
    ),
    Measure(
        "accord.rules",
        "destination",
        (150, 300, 600, 1200, 2400),
        5000,
        {"bytes": "bytes", "voter_cpu_ms": "ms", "relay_cpu_ms": "ms", "first_renewal_cpu_ms": "ms"},
        rules,
        "message_relay/consensus/rules.py",
        "a version goes whole to each relay; a set names 5,000 destinations at the most (NAMES)",
    ),
)

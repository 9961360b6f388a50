"""What agreed rules cost a voter by the number of relays, and all by the number of destinations in them."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Mapping

import msgspec

from message_relay.consensus import version_history as books
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
RENEWALS, CHUNK = 7000, 50  # that are timed at each size; of chunks of them the lower quartile counts
ROUNDS = 5  # of all relays while a version waits, the least of which counts
LOOK = 3  # walks over all that are timed, of which the least counts
ENDPOINTS = 5  # of a destination, where a rule names them: one in ten does
Names = list[str]


def voter(size: int, versions: int = VERSIONS_RETAINED) -> tuple[LeaseGrantor, Names]:
    """One that holds as many versions as are kept, the newest cleared, and knows no relay yet."""
    book = VersionHistory(Rules(), VOTERS)
    for n in range(1, versions):
        rules = Rules({str(n): DestinationRule(rate=1000.0 - n)})
        assert not book.apply(Propose(n, encode_rules(rules), "bench", "", 0.0)).refused
    it = LeaseGrantor("n0", book, LeaseTerms(), FIRST, 0, 0.0)
    it.has_never_granted = True
    it.clear_current_version(0.0)
    assert it.cleared_version == versions
    return it, [f"n{n}" for n in range(size)]


def asked(n: int, seq: int, acts: tuple[int, ...], refuses: int) -> bytes:
    """A relay's renewal as it comes from the wire."""
    told = LeaseRenewal(1, n, seq, FIRST, acts, refuses, DeliveryCounts(1_000_000 + n, 1_000_100 + n))
    return seal_packet(Packet(f"n{n}", n, AppMessage(RENEW, msgspec.msgpack.encode(told))), SECRET)


def answered(it: LeaseGrantor, now: float, raw: bytes) -> bytes:
    """As consensus/instance.py has it: clears before and after."""
    packet = open_packet(raw, SECRET)
    assert isinstance(packet.body, AppMessage)
    told: LeaseRenewal = msgspec.msgpack.decode(packet.body.body, type=LeaseRenewal)
    it.clear_current_version(now)
    grant = it.on_renewal(now, packet.sender, told)
    it.clear_current_version(now)
    return seal_packet(Packet("n0", 1, AppMessage(GRANT, msgspec.msgpack.encode(grant))), SECRET)


def round_of(
    it: LeaseGrantor, now: float, seq: int, size: int, acts: tuple[int, ...], refuses: int = 1
) -> tuple[float, int]:
    """Each relay renews once: processor seconds, and bytes both ways of one."""
    raws = [asked(n, seq, acts, refuses) for n in range(size)]
    every = it.terms.renew_interval_s / size
    began, answer = time.process_time(), b""
    for n, raw in enumerate(raws):
        answer = answered(it, now + n * every, raw)
    return time.process_time() - began, len(raws[-1]) + len(answer)


def quartile(it: LeaseGrantor, now: float, size: int, acts: tuple[int, ...]) -> float:
    """Processor seconds of a renewal: as many are timed whatever the number of relays."""
    times = []
    for seq in range(RENEWALS // size):
        raws = [asked(n, 2 + seq, acts, 1) for n in range(size)]
        for first in range(0, size - CHUNK + 1, CHUNK):
            began = time.process_time()
            for raw in raws[first : first + CHUNK]:
                answered(it, now, raw)
            times.append((time.process_time() - began) / CHUNK)
    return sorted(times)[len(times) // 4]


def renewal(size: int) -> Mapping[str, float]:
    it, _ = voter(size)
    newest = it.history.newest.number
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    _, both = round_of(it, 1.0, 1, size, (newest,))
    memory = (tracemalloc.get_traced_memory()[0] - before) / size
    tracemalloc.stop()
    each = quartile(it, 2.0, size, (newest,))
    # A version that one relay, which is cut off, does not let pass: all others renew as before.
    strict = Rules({ANY: DestinationRule(rate=1.0)})
    assert not it.history.apply(Propose(newest, encode_rules(strict), "bench", "", 0.0)).refused
    waiting = []
    for n in range(ROUNDS):
        took, _ = round_of(it, 8.0 + n, 1000 + n, size - 1, (newest, newest + 1), 1000)
        waiting.append(took)
    assert it.blocking_relays == [f"n{size - 1}"]
    return {
        "cpu_us": 1e6 * each,
        "waiting_cpu_us": 1e6 * min(waiting) / (size - 1),
        "bytes": both,
        "memory_bytes": memory,
    }


def clear(size: int) -> Mapping[str, float]:
    """One look at all: each acts by the version before the one that is to be cleared."""
    it, _ = voter(size)
    newest = it.history.newest.number
    round_of(it, 1.0, 1, size, (newest,))
    strict = Rules({ANY: DestinationRule(rate=1.0)})
    assert not it.history.apply(Propose(newest, encode_rules(strict), "bench", "", 0.0)).refused
    times = []
    for n in range(LOOK):
        it.next_full_check = 0.0
        began = time.process_time()
        it.clear_current_version(1.5 + n / 100)
        times.append(time.process_time() - began)
    assert len(it.blocking_relays) == size
    return {"cpu_ms": 1000 * min(times)}


def written(size: int, rate: float) -> Rules:
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
    """The least of some times each."""
    found = [_rules(size) for _ in range(LOOK)]
    return {cost: min(each[cost] for each in found) for cost in found[0]}


def _rules(size: int) -> dict[str, float]:
    books._DECODED.clear()  # what was decoded is kept: each time is the first
    old, raw = written(size, 200.0), encode_rules(written(size, 100.0))
    book = VersionHistory(old, VOTERS)
    began = time.process_time()
    decode_rules(raw)
    assert is_subset(
        Rules({ANY: DestinationRule(closed=True)}), decode_rules(raw)
    )  # the floor: consensus/instance.py, _against
    assert not book.apply(Propose(1, raw, "bench", "", 0.0)).refused
    voter_s = time.process_time() - began
    told = msgspec.msgpack.encode(book.newest)
    holding = LeaseHolder(1, 1, FIRST, LeaseTerms())
    for each in book.versions:
        holding.add_version(each)
    holding.active_versions = (1,)
    it = LeaseGrantor("n0", book, LeaseTerms(), FIRST, 1, 0.0)
    began = time.process_time()
    version: Version = msgspec.msgpack.decode(told, type=Version)
    assert digest(decode_rules(version.rules)) == version.digest
    holding.sequence = 1
    holding.sent_renewals[1] = SentRenewal(0.0, (1,))
    holding.on_grant(0.0, "n0", LeaseGrant(1, True, 0, 1, 2))
    holding.lease_start = 0.0
    assert holding.active_rules(0.1).label == "1+2"
    relay_s = time.process_time() - began
    began = time.process_time()
    it.on_renewal(
        0.1, "n9", LeaseRenewal(1, 1, 1, FIRST, (1, 2), 1)
    )  # the first that says so: the others cost nothing
    it.clear_current_version(0.1)
    return {
        "bytes": len(told),
        "voter_cpu_ms": 1000 * voter_s,
        "relay_cpu_ms": 1000 * relay_s,
        "first_renewal_cpu_ms": 1000 * (time.process_time() - began),
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

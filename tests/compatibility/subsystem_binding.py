"""Seeded runs of the deciders beside the scheduler: the only place that names what they are called.

Each function drives one decider with its own random source and a clock set by hand, and returns rows of
neutral values: what it decided, floats to the last bit. When something is renamed or moved, this file
follows, and the fixtures stay as they are.
"""

from __future__ import annotations

import hashlib
import heapq
import math
import random
from collections.abc import Callable
from itertools import count, product

from message_relay.consensus.canary_guard import CanaryWatch, RecentOutcomes, Verdict
from message_relay.consensus.lease_grantor import LeaseGrantor, RelayLease
from message_relay.consensus.active_rules import ActiveRules, LeaseTier
from message_relay.consensus.lease_holder import LeaseHolder
from message_relay.consensus.lease_protocol import DeliveryCounts, LeaseTerms
from message_relay.consensus.process_epochs import ProcessEpochs
from message_relay.consensus.rule_enforcement import RuleEnforcer
from message_relay.consensus.rules import ANY, ClassRule, DestinationRule, FlowRule, Rules
from message_relay.consensus.rules_codec import encode_rules
from message_relay.consensus.version_history import Guard, Promote, Propose, VersionHistory, Withdraw
from message_relay.core.ports import CallContext, EndpointRecord, EndpointUpdate
from message_relay.decisions.model import Endpoint, Fleet, Listing, Safety
from message_relay.decisions.rate_slots import TimeSlotShare
from message_relay.endpoint_discovery.merge_policy import EndpointStatus, ShrinkGuard, most_severe
from message_relay.endpoint_discovery.poll_schedule import PollSchedule
from message_relay.endpoint_discovery.source_merge import SourceMerge
from message_relay.failover.observations import Aggregate, Observations, ZonePair
from message_relay.failover.plan_model import TrafficGroup, PlanningProblem
from message_relay.failover.greedy_planner import plan_greedily
from message_relay.failover.planner import plan_locally
from message_relay.failover.zone_health import HealthState as Standing
from message_relay.failover.zone_health import ZoneHealthJudge, success_interval
from message_relay.fleet.fleet_size import FleetSize
from message_relay.fleet.operator import SupervisorSection
from message_relay.fleet.plan import Plan, SupervisorAction
from message_relay.gossip.swim import Swim
from message_relay.gossip.wire import Claim, Packet, open_packet, seal_packet
from message_relay.gossip.wire import MemberState as Presence
from message_relay.http.keep_alive import KeepAlivePolicy
from message_relay.sharded_directory.rendezvous_hash import rank_servers, shard_of
from message_relay.sharded_directory.staleness import StalenessTracker

Row = tuple[str | int | float | bool | None, ...]

LISTINGS = {Listing.READY: "ready", Listing.DRAINING: "draining", Listing.REMOVED: "gone"}
MOVED_DIGITS = 6
ZONES = ("a", "b", "c", "d")


# -- agreed rates ------------------------------------------------------------------------------------------


def agreed_rate_slots(seed: int) -> list[Row]:
    draw, now, rows = random.Random(seed), 1e6, list[Row]()
    share = TimeSlotShare(Fleet(2, 7, 12.5), 40.0, Safety(warm_up_initial_share=0.2, warm_up_ms=9000.0))
    for _ in range(600):
        now += draw.expovariate(1 / 120.0)
        at = share.next_slot_at(now)
        rows.append(("slot", at, share.open_share(now), share.open_share(now + draw.uniform(0.0, 12_000.0))))
        drawn = draw.random()
        if drawn < 0.5:
            share.mark_used()
            now = max(now, at)
        elif drawn < 0.85:
            share.on_success(now)
        elif drawn < 0.9:
            share.on_failure(now, draw.random() < 0.5)
        elif drawn < 0.92:
            size = draw.randint(1, 40)
            share.resize(Fleet(draw.randrange(size), size, draw.uniform(-500.0, 500.0)))
        elif drawn < 0.94:
            share.set_rate(draw.uniform(1.0, 300.0))
    return rows


# -- membership --------------------------------------------------------------------------------------------


def words_on_endpoints(seed: int) -> list[Row]:
    words = {
        EndpointStatus.UNKNOWN: "unknown",
        EndpointStatus.READY: "ready",
        EndpointStatus.DRAINING: "draining",
        EndpointStatus.GONE: "gone",
    }
    rows: list[Row] = [
        (*map(words.__getitem__, each), words[most_severe(each)])
        for each in product(EndpointStatus, EndpointStatus)
    ]
    rows.append((words[most_severe(())],))
    draw, shrink, now, had = random.Random(seed), ShrinkGuard(), 0.0, 20
    for _ in range(400):
        now += draw.expovariate(0.8)
        has = draw.randint(0, had)
        believed = shrink.accepts(now, had, has)
        rows.append((now, had, has, believed))
        had = draw.randint(0, 20) if believed else had
    return rows


def _member(draw: random.Random) -> EndpointRecord:
    number = draw.randint(1, 12)
    return EndpointRecord(
        f"e{number}",
        1 + number % 3,
        draw.choice((Listing.READY, Listing.READY, Listing.DRAINING, Listing.REMOVED)),
        ("127.0.0.1", 9000 + number + 100 * (draw.random() < 0.1)),
        draw.choice((None, "plain")),
        draw.choice(ZONES),
        draw.choice((0.0, 10.0, 25.5)),
    )


def merged_lists(seed: int) -> list[Row]:
    draw, now, rows = random.Random(seed), 0.0, list[Row]()
    merge = SourceMerge(("file", "register", "peers"), ("register",))
    for _ in range(400):
        now += draw.expovariate(1.0)
        members = {each.name: each for each in (_member(draw) for _ in range(draw.randint(0, 9)))}
        lives = ((f"e{draw.randint(1, 12)}", draw.choice((Listing.READY, Listing.DRAINING))),)
        source = draw.choice(("file", "register", "peers"))
        told = EndpointUpdate(
            draw.random() < 0.4, tuple(members.values()), lives if draw.random() < 0.3 else (), source
        )
        found = merge.merge(told, now)
        rows.append((now, source, None if found is None else found.is_full))
        for each in () if found is None else found.endpoints:
            listing = LISTINGS[each.listing]
            rows.append(
                (each.name, each.destination, listing, *each.address, each.kind, each.zone, each.rate)
            )
    return rows


def discovery_pauses(seed: int) -> list[Row]:
    rows: list[Row] = []
    for instances, shared in ((1, True), (1, False), (3, True), (40, True), (200, True), (200, False)):
        draw = random.Random(seed * 1000 + instances)
        asking = PollSchedule(instances, random.Random(seed), shared)
        rows.append((instances, shared, asking.first_delay_ms()))
        for _ in range(60):
            hold = asking.watch_duration_ms()
            rows.append((hold, asking.call_timeout_ms(hold)))
            drawn = draw.random()
            if drawn < 0.4:
                asking.on_answered()
            elif drawn < 0.95:
                rows.append((asking.pause_after_failure_ms(draw.random() < 0.5),))
            else:
                asking.reset()
    return rows


def kept_connections(seed: int) -> list[Row]:
    draw, keeping, now, rows = random.Random(seed), KeepAlivePolicy(), 0.0, list[Row]()
    for _ in range(400):
        now += draw.expovariate(1 / 9.0)
        kind = draw.choice(("x", "y", "z"))
        if draw.random() < 0.1:
            rows.append((now, kind, "refused", keeping.record_rejection(kind, now)))
        else:
            rows.append((now, kind, "asked", keeping.allows_idle(kind, now)))
    return rows


# -- failover between zones --------------------------------------------------------------------------------


def _window(draw: random.Random, health: float, there: bool) -> Aggregate:
    calls = draw.randint(0, 12) if there else 0
    good = sum(draw.random() < health for _ in range(calls))
    waits = draw.randint(0, calls - good)
    seen = Aggregate(calls, good, waits, waits, {"r1", "r2"} if calls else set())
    if not calls and draw.random() < 0.3:
        seen.avoiding_relays = {"r1": draw.randint(1, 4), "r2": draw.randint(1, 4)}
    for _ in range(good):
        seen.latency_sketch[draw.randint(8, 18 if health > 0.8 else 24)] += 1
    return seen


def zone_verdicts(seed: int) -> list[Row]:
    words = {
        Standing.HEALTHY: "well",
        Standing.DEGRADED: "degraded",
        Standing.LOST: "lost",
        Standing.RECOVERING: "trial",
    }
    draw, now = random.Random(seed), 100.0
    rows: list[Row] = [
        (good, tried, *success_interval(good, tried))
        for tried in range(0, 40, 3)
        for good in range(0, tried + 1, 2)
    ]
    judge = ZoneHealthJudge(Observations(), 1)
    judge.resume(now, {("a", "b"): 0.3, ("a", "c"): 0.0})
    pairs: list[ZonePair] = [(source, target) for source in "abc" for target in "abc"]
    history: dict[ZonePair, list[Aggregate]] = {pair: [] for pair in pairs}
    health = dict.fromkeys(pairs, 1.0)
    for _ in range(300):
        now += 1.0
        for pair in pairs:
            if draw.random() < 0.04:
                health[pair] = draw.choice((0.0, 0.05, 0.6, 0.85, 1.0, 1.0))
            window = _window(draw, health[pair], judge.health(pair).share > draw.random())
            history[pair] = [window, *history[pair]][:10]
        shared = {pair: history[pair][0] for pair in pairs} if draw.random() < 0.2 else None
        changed = judge.update(now, {pair: list(row) for pair, row in history.items()}, shared)
        for pair in changed:
            it = judge.health(pair)
            rows.append(
                (
                    now,
                    *pair,
                    words[it.state],
                    it.ramp_step,
                    it.flaps,
                    it.share,
                    it.success_share,
                    it.recently_lost,
                )
            )
        rows.append(
            (now, *(judge.is_down(zone) for zone in "abc"), *(judge.is_cut_off(zone) for zone in "abc"))
        )
    return rows


def _problem(draw: random.Random) -> PlanningProblem:
    zones = ZONES[: draw.randint(2, 4)]
    pairs = [(a, b) for a in zones for b in zones]
    stays = frozenset(pair for pair in pairs if draw.random() < 0.6)
    groups = (TrafficGroup("low", 1.0), TrafficGroup("high", 5.0), TrafficGroup("near", 2.0, stays))
    demand = {
        (zone, group.name): draw.uniform(1, 100) for zone in zones for group in groups if draw.random() < 0.8
    }
    room = {zone: draw.choice((draw.uniform(0, 250), draw.uniform(0, 60), math.inf)) for zone in zones}
    ability = {pair: draw.choice((0.0, draw.uniform(0.3, 1.0), 1.0)) for pair in pairs if draw.random() < 0.5}
    price = {(a, b): 0.0 if a == b else draw.choice((0.05, 0.2)) for a, b in pairs}
    last = {(a, "low", b): draw.uniform(0, 40) for a, b in pairs if draw.random() < 0.3}
    part = {pair: draw.choice((0.0, 0.1, 0.6)) for pair in pairs if draw.random() < 0.2}
    return PlanningProblem(zones, groups, demand, room, ability, price, last, part)


def zone_plans(seed: int) -> list[Row]:
    draw, rows = random.Random(seed), list[Row]()
    for _ in range(120):
        problem = _problem(draw)
        for plan in (plan_locally(problem), plan_greedily(problem)):
            if plan is None:
                rows.append(("none",))
                continue
            rows += [("flow", *way, rate) for way, rate in plan.flows.items()]
            rows += [("shed", *who, rate) for who, rate in plan.shed_rates(problem).items()]
            # What is moved is summed up in the order of a set of texts, which differs between processes.
            rows.append(("plan", plan.total_value(problem), round(plan.moved_rate(problem), MOVED_DIGITS)))
    return rows


# -- members of a fleet ------------------------------------------------------------------------------------


class Gossip:
    """Some members with a clock set by hand, lost datagrams, a freeze and a restart."""

    COUNT, FIRST_PORT = 7, 7000

    def __init__(self, seed: int) -> None:
        self.draw, self.now, self.order = random.Random(seed), 0.0, count()
        self.jobs: list[tuple[float, int, Callable[[], None]]] = []
        self.rows: list[Row] = []
        self.members: dict[int, Swim] = {}
        self.frozen: dict[int, float] = {}
        for number in range(self.COUNT):
            self.start(number, 1)
        self.at(12.0, lambda: self.frozen.update({3: 21.0}))
        self.at(25.0, lambda: self.start(5, 2))
        self.at(32.0, self.leaves)

    def at(self, when: float, job: Callable[[], None]) -> None:
        heapq.heappush(self.jobs, (when, next(self.order), job))

    def start(self, number: int, boot: int) -> None:
        port = self.FIRST_PORT + number
        me = Claim(
            f"n{number}",
            f"id{number}",
            boot,
            1000 * boot + number,
            0,
            Presence.JOINING,
            "127.0.0.1",
            port,
            "z",
            7,
        )
        seeds = (("127.0.0.1", self.FIRST_PORT), ("127.0.0.1", self.FIRST_PORT + 1))
        self.members[number] = Swim(me, seeds, random.Random(number * 77 + boot), 1.0)
        self.at(self.now + 0.05 * number, lambda: self.tick(number, boot))

    def leaves(self) -> None:
        self.members[2].leave()
        self.flush(2)

    def tick(self, number: int, boot: int) -> None:
        it = self.members[number]
        if it.own_claim.process_epoch != boot:
            return
        if self.now >= self.frozen.get(number, 0.0):
            it.tick(self.now)
            self.flush(number)
        self.at(max(self.now + 0.02, it.next_at()), lambda: self.tick(number, boot))

    def flush(self, number: int) -> None:
        it = self.members[number]
        datagrams, it.outbox = it.outbox, []
        for (_, port), body in datagrams:
            raw = seal_packet(Packet(it.own_claim.name, it.own_claim.nonce, body), b"")
            self.rows.append((self.now, number, port, hashlib.sha256(raw).hexdigest()[:16]))
            if self.draw.random() > 0.12:
                self.at(self.now + self.draw.uniform(0.001, 0.05), self.takes(port - self.FIRST_PORT, raw))
        changes, it.changes = it.changes, []
        for each in changes:
            self.rows.append(
                (self.now, number, each.name, each.process_epoch, each.incarnation, int(each.state))
            )

    def takes(self, number: int, raw: bytes) -> Callable[[], None]:
        def job() -> None:
            if self.now >= self.frozen.get(number, 0.0):
                packet = open_packet(raw, b"")
                self.members[number].receive(self.now, packet.sender, packet.nonce, packet.body)
                self.flush(number)

        return job

    def run(self, seconds: float) -> list[Row]:
        while self.jobs and self.jobs[0][0] <= seconds:
            self.now, _, job = heapq.heappop(self.jobs)
            job()
        return self.rows


def gossip(seed: int) -> list[Row]:
    return Gossip(seed).run(60.0)


# -- shards ------------------------------------------------------------------------------------------------


def shard_placement(seed: int) -> list[Row]:
    draw, rows = random.Random(seed), list[Row]()
    for _ in range(400):
        destination = draw.choice((draw.randint(0, 5000), draw.getrandbits(64), -draw.randint(1, 9)))
        rows.append((destination, *(shard_of(destination, 1 << bits) for bits in (0, 4, 10, 16))))
    keepers = [f"k{number}" for number in range(9)]
    rows += [(f"r{number}", *rank_servers(f"r{number}", keepers)) for number in range(60)]
    return rows


def shard_freshness(seed: int) -> list[Row]:
    draw, now, rows = random.Random(seed), 50.0, list[Row]()
    keepers = ("k0", "k1", "k2")
    it = StalenessTracker(keepers, 6.0)
    for _ in range(800):
        now += draw.expovariate(3.0)
        keeper, version = draw.choice(keepers), (1 + draw.randint(0, 1), draw.randint(0, int(now)))
        match draw.randint(0, 4):
            case 0:
                it.record_response(
                    keeper, now - draw.random(), draw.randint(1, 2), 1e3 * now + draw.uniform(0, 9)
                )
            case 1:
                clock_ms = 1e3 * (now - draw.random())
                rows.append(("dated", it.earliest_sent_at(now, keeper, draw.randint(1, 2), clock_ms)))
            case 2 | 3:
                it.record_version(
                    keeper, now - draw.random(), version, draw.uniform(0.0, 4.0), draw.random() < 0.8
                )
            case _:
                it.record_failure(keeper, now - draw.random())
        rows.append((*version, it.confirmed_at(version), it.is_current(now, version)))
    return rows


# -- a supervised fleet ------------------------------------------------------------------------------------


def fleet_size(seed: int) -> list[Row]:
    draw, now, rows = random.Random(seed), 0.0, list[Row]()
    place = FleetSize(2, 5, 0.0)
    for _ in range(400):
        now += draw.expovariate(1 / 400.0)
        if draw.random() < 0.2:
            rows.append(("told", place.request_size(now, draw.randint(1, 9), draw.choice((0.0, 900.0)))))
        found = place.poll(now, place.clock_ms + draw.choice((0.0, 0.0, 4.9, 5.1, -30.0)))
        rows.append((now,) if found is None else (now, found.number, found.size, found.clock_ms))
    return rows


def supervisor_steps(seed: int) -> list[Row]:
    words = {
        SupervisorAction.START: "start",
        SupervisorAction.RELOAD: "reload",
        SupervisorAction.TERM: "terminate",
        SupervisorAction.KILL: "kill",
    }
    draw, now, rows = random.Random(seed), 0.0, list[Row]()
    part = SupervisorSection(together=3, ready_s=5.0, stop_s=3.0, watchdog_s=4.0, loop_s=60.0)
    plan = Plan(part, 6, now, seed)
    for _ in range(900):
        now += draw.expovariate(3.0)
        number = draw.randrange(plan.count)
        drawn = draw.random()
        if drawn < 0.45:
            plan.on_ready(number, now)
        elif drawn < 0.8:
            for each in range(plan.count):
                plan.on_heartbeat(each, now)
        elif drawn < 0.86:
            plan.on_exited(number, now, draw.choice((0, 0, 1, 2, -9)))
        elif drawn < 0.88:
            plan.request_reload(now, part, draw.randint(3, 8), 10.0)
        elif drawn < 0.9:
            plan.request_rolling_restart(now)
        for do, instance in plan.next_steps(now):
            rows.append((now, words[do], instance))
            if words[do] in ("terminate", "kill") and draw.random() < 0.8:
                plan.on_exited(instance, now, 0)
        rows.append((plan.next_wake(now), plan.is_crash_looping(number, now), plan.is_done))
    plan.request_stop(now)
    rows += [(now, words[do], instance) for do, instance in plan.next_steps(now)]
    return rows


# -- agreed rules ------------------------------------------------------------------------------------------


def seen_boots(seed: int) -> list[Row]:
    draw, boots, rows = random.Random(seed), ProcessEpochs({"a": 3}), list[Row]()
    for _ in range(400):
        name, boot = draw.choice("abc"), draw.randint(1, 12)
        if draw.random() < 0.05:
            boots.undo_observe(name, draw.choice((None, boot)))
        else:
            rows.append((name, boot, boots.observe(name, boot, draw.randint(0, 2))))
        rows += [("seen", *each) for each in sorted(boots.highest.items())]
    return rows


def _rule_sets() -> list[Rules]:
    return [
        Rules(),
        Rules({ANY: DestinationRule(rate=5.0)}),
        Rules(
            {
                "1": DestinationRule(rate=12.0, slots=3),
                "2": DestinationRule(endpoints=frozenset({"e1", "e2"})),
            }
        ),
        Rules({"3": DestinationRule(closed=True)}, {"pay": ClassRule(effect="unsafe", attempts=2)}),
        Rules(
            {"1": DestinationRule(rate=40.0)},
            {"order": ClassRule(effect="keyed")},
            flows={"1": FlowRule(bound={"a": {"b": 20.0, "c": 10.0}}, share={"a": {"b": 0.5}})},
            zones={"a": 4},
        ),
    ]


def permitted_calls(seed: int) -> list[Row]:
    draw, now, rows, acting = random.Random(seed), 0.0, list[Row](), list[ActiveRules]()
    acting.append(ActiveRules(Rules(), (1,), LeaseTier.LEASE))
    gate = RuleEnforcer(lambda: acting[-1], 4, lambda: 0.0, "n3", "a")
    sets = _rule_sets()
    for _ in range(1200):
        now += draw.expovariate(20.0)
        if draw.random() < 0.02:
            number = draw.randrange(len(sets))
            acting.append(ActiveRules(sets[number], (number + 1,), draw.choice(list(LeaseTier))))
        destination, zone = draw.randint(1, 3), draw.choice("abc")
        class_ = draw.choice(("order", "pay", "status"))
        endpoint = f"e{draw.randint(1, 3)}"
        call = CallContext(
            "m",
            destination,
            endpoint,
            zone,
            class_,
            draw.randint(0, 3),
            draw.random() < 0.2,
            draw.random() < 0.5,
        )
        allowed = gate.authorize(now, call) is not None
        rows.append(
            (now, allowed, gate.is_still_authorized(call), bool(gate.denial_reason(destination, class_)))
        )
        seen = gate.constrained_endpoint(endpoint, zone, Endpoint(9, destination, Listing.READY, 0, 0, 30.0))
        rows.append((LISTINGS[seen.listing], seen.rate))
        if allowed and draw.random() < 0.9:
            gate.release(destination)
    rows.append(tuple(value for _, value in sorted(gate.refusal_counts.items())))
    return rows


def harm_of_changes(seed: int) -> list[Row]:
    words = {Verdict.WAIT: "wait", Verdict.HARMFUL: "harm", Verdict.HEALTHY: "well"}
    draw, now, rows = random.Random(seed), 0.0, list[Row]()
    for share in (0.3, 1.0):
        book = VersionHistory(Rules(), ("n0", "n1", "n2"))
        guard = Guard(least_ratio=0.9, least_count=30, watch_s=20.0)
        book.apply(Propose(1, encode_rules(_rule_sets()[1]), "ana", "", 0.0, share, guard))
        recent, watch = RecentOutcomes(), CanaryWatch(book.newest, now, 0.95)
        counts = {f"n{number}": (0, 0) for number in range(12)}
        for _ in range(80):
            now += draw.expovariate(2.0)
            for name, (delivered, ended) in counts.items():
                more = draw.randint(0, 9)
                counts[name] = delivered + sum(draw.random() < 0.93 for _ in range(more)), ended + more
            records = [
                (name, RelayLease(1, 7, counts=DeliveryCounts(*each))) for name, each in counts.items()
            ]
            recent.add(now, [record for _, record in records])
            verdict, why = watch.evaluate(now, records)
            rows.append((now, words[verdict], bool(why), recent.delivered_share(40)))
    return rows


class Leases:
    """Three voters and some instances that act on what a majority has granted."""

    VOTERS = ("n0", "n1", "n2")

    def __init__(self, seed: int) -> None:
        self.draw, self.now, self.rows = random.Random(seed), 100.0, list[Row]()
        self.terms = LeaseTerms(bound_s=2.0, horizon_s=6.0)
        self.books = {name: VersionHistory(Rules(), self.VOTERS) for name in self.VOTERS}
        self.granting = {
            name: LeaseGrantor(name, book, self.terms, "first", 0, self.now)
            for name, book in self.books.items()
        }
        self.holding = {f"n{n}": LeaseHolder(1, 7 + n, "first", self.terms) for n in range(3, 7)}
        self.boots = dict.fromkeys(self.holding, 1)

    def changes(self) -> None:
        newest = self.books["n0"].newest
        drawn, rules = self.draw.random(), encode_rules(self.draw.choice(_rule_sets()))
        share = self.draw.choice((0.5, 1.0, 1.0))
        for book in self.books.values():
            if drawn < 0.6:
                answer = book.apply(Propose(newest.number, rules, "ana", "", 0.0, share))
            elif drawn < 0.8:
                answer = book.apply(Promote(newest.number, "ana"))
            else:
                answer = book.apply(Withdraw(newest.number, "ana", ""))
            self.rows.append(("command", answer.number, bool(answer.refused)))

    def renews(self, name: str) -> None:
        it = self.holding[name]
        told = it.renew(self.now, DeliveryCounts(self.draw.randint(0, 9), 9), self.draw.random() < 0.01)
        self.rows.append(
            (name, "renews", told.epoch, told.sequence, *told.active_versions, told.refused_before)
        )
        for voter in self.VOTERS:
            if self.draw.random() < 0.2:
                continue
            grant = self.granting[voter].on_renewal(self.now, name, told)
            self.rows.append(
                (
                    voter,
                    grant.is_recorded,
                    grant.granted_version,
                    grant.cleared_version,
                    grant.current_version,
                    grant.canary_version,
                )
            )
            if self.draw.random() < 0.85:
                self.rows.append((it.on_grant(self.now, voter, grant), it.missing_version(grant)))
                if self.draw.random() < 0.7:
                    for version in self.books[voter].versions:
                        it.add_version(version)
        if told.is_leaving:
            it.release()

    def run(self) -> list[Row]:
        names = {LeaseTier.LEASE: "lease", LeaseTier.STANDBY: "standby", LeaseTier.FLOOR: "floor"}
        for _ in range(700):
            self.now += self.draw.expovariate(6.0) + 8.0 * (self.draw.random() < 0.01)
            if self.draw.random() < 0.03:
                self.changes()
            name = self.draw.choice(list(self.holding))
            if self.draw.random() < 0.01:
                self.boots[name] += 1
                self.holding[name].restart(self.boots[name])
            self.renews(name)
            for voter, granting in self.granting.items():
                self.rows.append(
                    (voter, "clears", granting.clear_current_version(self.now), *granting.blocking_relays)
                )
            for each, it in self.holding.items():
                acting = it.active_rules(self.now)
                digest = hashlib.sha256(encode_rules(acting.rules)).hexdigest()[:12]
                self.rows.append(
                    (each, names[acting.tier], *acting.versions, it.tier_ends_at(self.now), digest)
                )
        return self.rows


def rule_leases(seed: int) -> list[Row]:
    return Leases(seed).run()


RUNS: dict[str, Callable[[int], list[Row]]] = {
    "agreed_rate_slots": agreed_rate_slots,
    "words_on_endpoints": words_on_endpoints,
    "merged_lists": merged_lists,
    "discovery_pauses": discovery_pauses,
    "kept_connections": kept_connections,
    "zone_verdicts": zone_verdicts,
    "zone_plans": zone_plans,
    "gossip": gossip,
    "shard_placement": shard_placement,
    "shard_freshness": shard_freshness,
    "fleet_size": fleet_size,
    "supervisor_steps": supervisor_steps,
    "seen_boots": seen_boots,
    "permitted_calls": permitted_calls,
    "harm_of_changes": harm_of_changes,
    "rule_leases": rule_leases,
}

"""Seeded runs of the components that decide outside the scheduler, and the only module that uses their names.

Each function drives one component with its own random source and a simulated clock, and returns rows of
neutral values: its decisions, with floats exact to the last bit. When something is renamed or moved, only
this module changes, and the fixtures stay the same.
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
from message_relay.failover.zone_health import HealthState as ZoneState
from message_relay.failover.zone_health import ZoneHealthJudge, success_interval
from message_relay.fleet.fleet_size import FleetSize
from message_relay.fleet.operator import SupervisorSection
from message_relay.fleet.plan import Plan, SupervisorAction
from message_relay.gossip.swim import Swim
from message_relay.gossip.wire import Claim, Packet, open_packet, seal_packet
from message_relay.gossip.wire import MemberState as SwimState
from message_relay.http.keep_alive import KeepAlivePolicy
from message_relay.sharded_directory.rendezvous_hash import rank_servers, shard_of
from message_relay.sharded_directory.staleness import StalenessTracker

Row = tuple[str | int | float | bool | None, ...]

LISTINGS = {Listing.READY: "ready", Listing.DRAINING: "draining", Listing.REMOVED: "gone"}
MOVED_RATE_DIGITS = 6
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


def endpoint_statuses(seed: int) -> list[Row]:
    names = {
        EndpointStatus.UNKNOWN: "unknown",
        EndpointStatus.READY: "ready",
        EndpointStatus.DRAINING: "draining",
        EndpointStatus.GONE: "gone",
    }
    rows: list[Row] = [
        (*map(names.__getitem__, statuses), names[most_severe(statuses)])
        for statuses in product(EndpointStatus, EndpointStatus)
    ]
    rows.append((names[most_severe(())],))
    draw, shrink_guard, now, previous_count = random.Random(seed), ShrinkGuard(), 0.0, 20
    for _ in range(400):
        now += draw.expovariate(0.8)
        count = draw.randint(0, previous_count)
        accepted = shrink_guard.accepts(now, previous_count, count)
        rows.append((now, previous_count, count, accepted))
        previous_count = draw.randint(0, 20) if accepted else previous_count
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
        endpoints = {
            endpoint.name: endpoint for endpoint in (_member(draw) for _ in range(draw.randint(0, 9)))
        }
        status_changes = ((f"e{draw.randint(1, 12)}", draw.choice((Listing.READY, Listing.DRAINING))),)
        source = draw.choice(("file", "register", "peers"))
        update = EndpointUpdate(
            draw.random() < 0.4,
            tuple(endpoints.values()),
            status_changes if draw.random() < 0.3 else (),
            source,
        )
        merged = merge.merge(update, now)
        rows.append((now, source, None if merged is None else merged.is_full))
        for endpoint in () if merged is None else merged.endpoints:
            listing = LISTINGS[endpoint.listing]
            rows.append(
                (
                    endpoint.name,
                    endpoint.destination,
                    listing,
                    *endpoint.address,
                    endpoint.kind,
                    endpoint.zone,
                    endpoint.rate,
                )
            )
    return rows


def poll_pauses(seed: int) -> list[Row]:
    rows: list[Row] = []
    for instances, is_shared in ((1, True), (1, False), (3, True), (40, True), (200, True), (200, False)):
        draw = random.Random(seed * 1000 + instances)
        schedule = PollSchedule(instances, random.Random(seed), is_shared)
        rows.append((instances, is_shared, schedule.first_delay_ms()))
        for _ in range(60):
            watch_ms = schedule.watch_duration_ms()
            rows.append((watch_ms, schedule.call_timeout_ms(watch_ms)))
            drawn = draw.random()
            if drawn < 0.4:
                schedule.on_answered()
            elif drawn < 0.95:
                rows.append((schedule.pause_after_failure_ms(draw.random() < 0.5),))
            else:
                schedule.reset()
    return rows


def keep_alive_decisions(seed: int) -> list[Row]:
    draw, policy, now, rows = random.Random(seed), KeepAlivePolicy(), 0.0, list[Row]()
    for _ in range(400):
        now += draw.expovariate(1 / 9.0)
        kind = draw.choice(("x", "y", "z"))
        if draw.random() < 0.1:
            rows.append((now, kind, "refused", policy.record_rejection(kind, now)))
        else:
            rows.append((now, kind, "asked", policy.allows_idle(kind, now)))
    return rows


# -- failover between zones --------------------------------------------------------------------------------


def _window(draw: random.Random, health: float, has_traffic: bool) -> Aggregate:
    calls = draw.randint(0, 12) if has_traffic else 0
    succeeded = sum(draw.random() < health for _ in range(calls))
    overloaded = draw.randint(0, calls - succeeded)
    window = Aggregate(calls, succeeded, overloaded, overloaded, {"r1", "r2"} if calls else set())
    if not calls and draw.random() < 0.3:
        window.avoiding_relays = {"r1": draw.randint(1, 4), "r2": draw.randint(1, 4)}
    for _ in range(succeeded):
        window.latency_sketch[draw.randint(8, 18 if health > 0.8 else 24)] += 1
    return window


def zone_health_changes(seed: int) -> list[Row]:
    names = {
        ZoneState.HEALTHY: "well",
        ZoneState.DEGRADED: "degraded",
        ZoneState.LOST: "lost",
        ZoneState.RECOVERING: "trial",
    }
    draw, now = random.Random(seed), 100.0
    rows: list[Row] = [
        (succeeded, attempted, *success_interval(succeeded, attempted))
        for attempted in range(0, 40, 3)
        for succeeded in range(0, attempted + 1, 2)
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
            pair_health = judge.health(pair)
            rows.append(
                (
                    now,
                    *pair,
                    names[pair_health.state],
                    pair_health.ramp_step,
                    pair_health.flaps,
                    pair_health.share,
                    pair_health.success_share,
                    pair_health.recently_lost,
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
    capacity = {zone: draw.choice((draw.uniform(0, 250), draw.uniform(0, 60), math.inf)) for zone in zones}
    success_shares = {
        pair: draw.choice((0.0, draw.uniform(0.3, 1.0), 1.0)) for pair in pairs if draw.random() < 0.5
    }
    prices = {(a, b): 0.0 if a == b else draw.choice((0.05, 0.2)) for a, b in pairs}
    previous_flows = {(a, "low", b): draw.uniform(0, 40) for a, b in pairs if draw.random() < 0.3}
    shares = {pair: draw.choice((0.0, 0.1, 0.6)) for pair in pairs if draw.random() < 0.2}
    return PlanningProblem(zones, groups, demand, capacity, success_shares, prices, previous_flows, shares)


def zone_plans(seed: int) -> list[Row]:
    draw, rows = random.Random(seed), list[Row]()
    for _ in range(120):
        problem = _problem(draw)
        for plan in (plan_locally(problem), plan_greedily(problem)):
            if plan is None:
                rows.append(("none",))
                continue
            rows += [("flow", *flow, rate) for flow, rate in plan.flows.items()]
            rows += [("shed", *group, rate) for group, rate in plan.shed_rates(problem).items()]
            # Rounded, since the moved rate is a sum in the order of a set of strings, which differs between
            # processes.
            rows.append(
                ("plan", plan.total_value(problem), round(plan.moved_rate(problem), MOVED_RATE_DIGITS))
            )
    return rows


# -- members of a fleet ------------------------------------------------------------------------------------


class Gossip:
    """Simulates members with a virtual clock, lost datagrams, a frozen member and a restart."""

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
        self.at(32.0, self.leave_member)

    def at(self, when: float, job: Callable[[], None]) -> None:
        heapq.heappush(self.jobs, (when, next(self.order), job))

    def start(self, number: int, epoch: int) -> None:
        port = self.FIRST_PORT + number
        claim = Claim(
            f"n{number}",
            f"id{number}",
            epoch,
            1000 * epoch + number,
            0,
            SwimState.JOINING,
            "127.0.0.1",
            port,
            "z",
            7,
        )
        seeds = (("127.0.0.1", self.FIRST_PORT), ("127.0.0.1", self.FIRST_PORT + 1))
        self.members[number] = Swim(claim, seeds, random.Random(number * 77 + epoch), 1.0)
        self.at(self.now + 0.05 * number, lambda: self.tick(number, epoch))

    def leave_member(self) -> None:
        self.members[2].leave()
        self.flush(2)

    def tick(self, number: int, epoch: int) -> None:
        member = self.members[number]
        if member.own_claim.process_epoch != epoch:
            return
        if self.now >= self.frozen.get(number, 0.0):
            member.tick(self.now)
            self.flush(number)
        self.at(max(self.now + 0.02, member.next_at()), lambda: self.tick(number, epoch))

    def flush(self, number: int) -> None:
        member = self.members[number]
        datagrams, member.outbox = member.outbox, []
        for (_, port), body in datagrams:
            raw = seal_packet(Packet(member.own_claim.name, member.own_claim.nonce, body), b"")
            self.rows.append((self.now, number, port, hashlib.sha256(raw).hexdigest()[:16]))
            if self.draw.random() > 0.12:
                self.at(
                    self.now + self.draw.uniform(0.001, 0.05), self.receive_job(port - self.FIRST_PORT, raw)
                )
        changes, member.changes = member.changes, []
        for change in changes:
            self.rows.append(
                (self.now, number, change.name, change.process_epoch, change.incarnation, int(change.state))
            )

    def receive_job(self, number: int, raw: bytes) -> Callable[[], None]:
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
    servers = [f"k{number}" for number in range(9)]
    rows += [(f"r{number}", *rank_servers(f"r{number}", servers)) for number in range(60)]
    return rows


def shard_freshness(seed: int) -> list[Row]:
    draw, now, rows = random.Random(seed), 50.0, list[Row]()
    servers = ("k0", "k1", "k2")
    tracker = StalenessTracker(servers, 6.0)
    for _ in range(800):
        now += draw.expovariate(3.0)
        server, version = draw.choice(servers), (1 + draw.randint(0, 1), draw.randint(0, int(now)))
        match draw.randint(0, 4):
            case 0:
                tracker.record_response(
                    server, now - draw.random(), draw.randint(1, 2), 1e3 * now + draw.uniform(0, 9)
                )
            case 1:
                clock_ms = 1e3 * (now - draw.random())
                rows.append(("dated", tracker.earliest_sent_at(now, server, draw.randint(1, 2), clock_ms)))
            case 2 | 3:
                tracker.record_version(
                    server, now - draw.random(), version, draw.uniform(0.0, 4.0), draw.random() < 0.8
                )
            case _:
                tracker.record_failure(server, now - draw.random())
        rows.append((*version, tracker.confirmed_at(version), tracker.is_current(now, version)))
    return rows


# -- a supervised fleet ------------------------------------------------------------------------------------


def fleet_size(seed: int) -> list[Row]:
    draw, now, rows = random.Random(seed), 0.0, list[Row]()
    fleet = FleetSize(2, 5, 0.0)
    for _ in range(400):
        now += draw.expovariate(1 / 400.0)
        if draw.random() < 0.2:
            rows.append(("told", fleet.request_size(now, draw.randint(1, 9), draw.choice((0.0, 900.0)))))
        changed = fleet.poll(now, fleet.clock_ms + draw.choice((0.0, 0.0, 4.9, 5.1, -30.0)))
        rows.append((now,) if changed is None else (now, changed.number, changed.size, changed.clock_ms))
    return rows


def supervisor_steps(seed: int) -> list[Row]:
    names = {
        SupervisorAction.START: "start",
        SupervisorAction.RELOAD: "reload",
        SupervisorAction.TERM: "terminate",
        SupervisorAction.KILL: "kill",
    }
    draw, now, rows = random.Random(seed), 0.0, list[Row]()
    section = SupervisorSection(together=3, ready_s=5.0, stop_s=3.0, watchdog_s=4.0, loop_s=60.0)
    plan = Plan(section, 6, now, seed)
    for _ in range(900):
        now += draw.expovariate(3.0)
        number = draw.randrange(plan.count)
        drawn = draw.random()
        if drawn < 0.45:
            plan.on_ready(number, now)
        elif drawn < 0.8:
            for other in range(plan.count):
                plan.on_heartbeat(other, now)
        elif drawn < 0.86:
            plan.on_exited(number, now, draw.choice((0, 0, 1, 2, -9)))
        elif drawn < 0.88:
            plan.request_reload(now, section, draw.randint(3, 8), 10.0)
        elif drawn < 0.9:
            plan.request_rolling_restart(now)
        for action, instance in plan.next_steps(now):
            rows.append((now, names[action], instance))
            if names[action] in ("terminate", "kill") and draw.random() < 0.8:
                plan.on_exited(instance, now, 0)
        rows.append((plan.next_wake(now), plan.is_crash_looping(number, now), plan.is_done))
    plan.request_stop(now)
    rows += [(now, names[action], instance) for action, instance in plan.next_steps(now)]
    return rows


# -- agreed rules ------------------------------------------------------------------------------------------


def observed_process_epochs(seed: int) -> list[Row]:
    draw, epochs, rows = random.Random(seed), ProcessEpochs({"a": 3}), list[Row]()
    for _ in range(400):
        name, epoch = draw.choice("abc"), draw.randint(1, 12)
        if draw.random() < 0.05:
            epochs.undo_observe(name, draw.choice((None, epoch)))
        else:
            rows.append((name, epoch, epochs.observe(name, epoch, draw.randint(0, 2))))
        rows += [("seen", *seen) for seen in sorted(epochs.highest.items())]
    return rows


def _sample_rules() -> list[Rules]:
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


def authorized_calls(seed: int) -> list[Row]:
    draw, now, rows, active = random.Random(seed), 0.0, list[Row](), list[ActiveRules]()
    active.append(ActiveRules(Rules(), (1,), LeaseTier.LEASE))
    enforcer = RuleEnforcer(lambda: active[-1], 4, lambda: 0.0, "n3", "a")
    rule_sets = _sample_rules()
    for _ in range(1200):
        now += draw.expovariate(20.0)
        if draw.random() < 0.02:
            number = draw.randrange(len(rule_sets))
            active.append(ActiveRules(rule_sets[number], (number + 1,), draw.choice(list(LeaseTier))))
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
        allowed = enforcer.authorize(now, call) is not None
        rows.append(
            (
                now,
                allowed,
                enforcer.is_still_authorized(call),
                bool(enforcer.denial_reason(destination, class_)),
            )
        )
        constrained = enforcer.constrained_endpoint(
            endpoint, zone, Endpoint(9, destination, Listing.READY, 0, 0, 30.0)
        )
        rows.append((LISTINGS[constrained.listing], constrained.rate))
        if allowed and draw.random() < 0.9:
            enforcer.release(destination)
    rows.append(tuple(value for _, value in sorted(enforcer.refusal_counts.items())))
    return rows


def canary_verdicts(seed: int) -> list[Row]:
    names = {Verdict.WAIT: "wait", Verdict.HARMFUL: "harm", Verdict.HEALTHY: "well"}
    draw, now, rows = random.Random(seed), 0.0, list[Row]()
    for share in (0.3, 1.0):
        history = VersionHistory(Rules(), ("n0", "n1", "n2"))
        guard = Guard(least_ratio=0.9, least_count=30, watch_s=20.0)
        history.apply(Propose(1, encode_rules(_sample_rules()[1]), "ana", "", 0.0, share, guard))
        recent, canary_watch = RecentOutcomes(), CanaryWatch(history.newest, now, 0.95)
        counts = {f"n{number}": (0, 0) for number in range(12)}
        for _ in range(80):
            now += draw.expovariate(2.0)
            for name, (delivered, completed) in counts.items():
                added = draw.randint(0, 9)
                counts[name] = delivered + sum(draw.random() < 0.93 for _ in range(added)), completed + added
            records = [
                (name, RelayLease(1, 7, counts=DeliveryCounts(*pair))) for name, pair in counts.items()
            ]
            recent.add(now, [record for _, record in records])
            verdict, reason = canary_watch.evaluate(now, records)
            rows.append((now, names[verdict], bool(reason), recent.delivered_share(40)))
    return rows


class Leases:
    """Simulates three voters and some instances whose active rules are granted by a majority."""

    VOTERS = ("n0", "n1", "n2")

    def __init__(self, seed: int) -> None:
        self.draw, self.now, self.rows = random.Random(seed), 100.0, list[Row]()
        self.terms = LeaseTerms(bound_s=2.0, horizon_s=6.0)
        self.histories = {name: VersionHistory(Rules(), self.VOTERS) for name in self.VOTERS}
        self.grantors = {
            name: LeaseGrantor(name, history, self.terms, "first", 0, self.now)
            for name, history in self.histories.items()
        }
        self.holders = {f"n{n}": LeaseHolder(1, 7 + n, "first", self.terms) for n in range(3, 7)}
        self.epochs = dict.fromkeys(self.holders, 1)

    def change_rules(self) -> None:
        newest = self.histories["n0"].newest
        drawn, rules = self.draw.random(), encode_rules(self.draw.choice(_sample_rules()))
        share = self.draw.choice((0.5, 1.0, 1.0))
        for history in self.histories.values():
            if drawn < 0.6:
                answer = history.apply(Propose(newest.number, rules, "ana", "", 0.0, share))
            elif drawn < 0.8:
                answer = history.apply(Promote(newest.number, "ana"))
            else:
                answer = history.apply(Withdraw(newest.number, "ana", ""))
            self.rows.append(("command", answer.number, bool(answer.refused)))

    def renew_lease(self, name: str) -> None:
        holder = self.holders[name]
        renewal = holder.renew(
            self.now, DeliveryCounts(self.draw.randint(0, 9), 9), self.draw.random() < 0.01
        )
        self.rows.append(
            (
                name,
                "renews",
                renewal.epoch,
                renewal.sequence,
                *renewal.active_versions,
                renewal.refused_before,
            )
        )
        for voter in self.VOTERS:
            if self.draw.random() < 0.2:
                continue
            grant = self.grantors[voter].on_renewal(self.now, name, renewal)
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
                self.rows.append((holder.on_grant(self.now, voter, grant), holder.missing_version(grant)))
                if self.draw.random() < 0.7:
                    for version in self.histories[voter].versions:
                        holder.add_version(version)
        if renewal.is_leaving:
            holder.release()

    def run(self) -> list[Row]:
        names = {LeaseTier.LEASE: "lease", LeaseTier.STANDBY: "standby", LeaseTier.FLOOR: "floor"}
        for _ in range(700):
            self.now += self.draw.expovariate(6.0) + 8.0 * (self.draw.random() < 0.01)
            if self.draw.random() < 0.03:
                self.change_rules()
            name = self.draw.choice(list(self.holders))
            if self.draw.random() < 0.01:
                self.epochs[name] += 1
                self.holders[name].restart(self.epochs[name])
            self.renew_lease(name)
            for voter, grantor in self.grantors.items():
                self.rows.append(
                    (voter, "clears", grantor.clear_current_version(self.now), *grantor.blocking_relays)
                )
            for holder_name, holder in self.holders.items():
                acting = holder.active_rules(self.now)
                digest = hashlib.sha256(encode_rules(acting.rules)).hexdigest()[:12]
                self.rows.append(
                    (holder_name, names[acting.tier], *acting.versions, holder.tier_ends_at(self.now), digest)
                )
        return self.rows


def rule_leases(seed: int) -> list[Row]:
    return Leases(seed).run()


RUNS: dict[str, Callable[[int], list[Row]]] = {
    "agreed_rate_slots": agreed_rate_slots,
    "words_on_endpoints": endpoint_statuses,
    "merged_lists": merged_lists,
    "discovery_pauses": poll_pauses,
    "kept_connections": keep_alive_decisions,
    "zone_verdicts": zone_health_changes,
    "zone_plans": zone_plans,
    "gossip": gossip,
    "shard_placement": shard_placement,
    "shard_freshness": shard_freshness,
    "fleet_size": fleet_size,
    "supervisor_steps": supervisor_steps,
    "seen_boots": observed_process_epochs,
    "permitted_calls": authorized_calls,
    "harm_of_changes": canary_verdicts,
    "rule_leases": rule_leases,
}

"""Agreed rules under faults in virtual time: the real leases and version histories on a simplified log.

    python -m emulator.consensus.world [--schedules 1000] [--first 1] [--processes 8] [--without GUARD]
            [--json]

A schedule is drawn from its seed: relays of which the first are voters, clocks that drift apart, messages
that are delayed, lost or duplicated, links cut in one or both directions, processes that freeze or restart,
and operators who propose contradicting rules. Each call that a relay makes is checked against the version in
force: the latest that a majority of voters has cleared, so that relays may act on it. The bound is broken by
a call that this version forbids (the bound is 0 s there), by a call on an older version alone more than T
later, and by relays that do not converge after all faults have ended.

The log is reduced to the guarantees of Raft: an entry that a voter proposes is agreed on while the voter
reaches a majority in both directions, and a voter receives entries from any other voter that it reaches;
after a start it has no entries.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import random
import sys
import time
from dataclasses import dataclass
from typing import Any, NamedTuple

from message_relay.consensus.lease_grantor import LeaseGrantor
from message_relay.consensus.lease_holder import LeaseHolder
from message_relay.consensus.lease_protocol import LeaseGrant, LeaseRenewal, LeaseTerms
from message_relay.consensus.rules import ANY, DestinationRule, Rules
from message_relay.consensus.rules_codec import encode_rules
from message_relay.consensus.version_history import Propose, VersionHistory, Withdraw

from .network import Network, Relay
from .oracle import Oracle
from .removed_guards import REMOVABLE_GUARDS, remove_grantor_guard, remove_holder_guard

RELAYS = 5
VOTERS = 3
FAULTS_S = 10.0
QUIET_S = 9.0  # time without faults in which the relays have to converge
TERMS = LeaseTerms(bound_s=1.0, horizon_s=3.0, drift=0.06, standby_share=0.9)
CLOCK_SPREAD = 0.028  # largest deviation of a clock's rate: two clocks differ by less than the drift
CLOCK_SPREAD_BEYOND_DRIFT = 0.12
FIRST_DIGEST = "first"
RULE_SETS = (
    Rules(),
    Rules({ANY: DestinationRule(rate=10.0)}),
    Rules({ANY: DestinationRule(rate=9.5)}),
    Rules({ANY: DestinationRule(endpoints=frozenset("a"))}),
    Rules({ANY: DestinationRule(endpoints=frozenset("b"))}),
    Rules({ANY: DestinationRule(rate=100.0, endpoints=frozenset("ab"))}),
)


@dataclass
class World:
    """One schedule; `without` names the guard that is removed, if any."""

    seed: int
    without: str = ""

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.network = Network(self.rng)
        is_drift_removed = self.without == "drift"
        drift = 0.0 if is_drift_removed else TERMS.drift
        self.terms = LeaseTerms(TERMS.bound_s, TERMS.horizon_s, drift, TERMS.standby_share)
        spread = CLOCK_SPREAD_BEYOND_DRIFT if is_drift_removed else CLOCK_SPREAD
        self.relays = [
            Relay(f"n{n}", 1 + self.rng.uniform(-spread, spread), self.rng.uniform(0, 1e5))
            for n in range(RELAYS)
        ]
        self.by_name = {relay.name: relay for relay in self.relays}
        self.voters = tuple(relay.name for relay in self.relays[:VOTERS])
        self.oracle = Oracle(self.voters, self.terms.bound_s)

    @property
    def now(self) -> float:
        """Virtual time, in seconds."""
        return self.network.now

    @property
    def violations(self) -> list[str]:
        """Violations of the bound."""
        return self.oracle.violations

    @property
    def calls(self) -> int:
        """Calls that were checked."""
        return self.oracle.calls

    def run(self) -> World:
        """Run the whole schedule."""
        for relay in self.relays:
            self.start(relay)
        self.network.schedule(0.3, self.propose)
        self.network.schedule(0.2, self.inject_fault)
        self.network.schedule(FAULTS_S, self.heal)
        self.network.run_until(FAULTS_S + QUIET_S)
        if not self.without:
            self.check_convergence()
        return self

    def check_convergence(self) -> None:
        """Check that all relays act on the newest version."""
        newest = self.oracle.history.current.number
        for relay in self.relays:
            assert relay.lease_holder is not None
            active = relay.lease_holder.active_rules(relay.clock(self.now))
            if active.label != str(newest):
                self.violations.append(f"{relay.name} acts on {active.label} in the end, not on {newest}")

    # -- processes -------------------------------------------------------------------------------------------

    def start(self, relay: Relay) -> None:
        """Start a process of a relay."""
        relay.is_down = False
        relay.epoch += 1
        nonce = self.rng.getrandbits(40)
        relay.lease_holder = LeaseHolder(relay.epoch, nonce, FIRST_DIGEST, self.terms)
        relay.lease_holder.add_version(VersionHistory(Rules(), self.voters).newest)
        remove_holder_guard(relay.lease_holder, self.without)
        epoch = relay.epoch
        if relay.name in self.voters:
            self._start_voter(relay)
            self.network.schedule(self.now, lambda: self.pull_log(relay, epoch))
        self.network.schedule(self.now, lambda: self.renew_periodically(relay, epoch))
        self.network.schedule(self.now, lambda: self.call_periodically(relay, epoch))

    def _start_voter(self, relay: Relay) -> None:
        relay.history = VersionHistory(Rules(), self.voters)
        relay.applied = 0
        cleared_version = 0 if self.without == "kept" else relay.cleared_on_disk
        relay.lease_grantor = LeaseGrantor(
            relay.name, relay.history, self.terms, FIRST_DIGEST, cleared_version, relay.clock(self.now)
        )
        relay.lease_grantor.has_never_granted = relay.epoch == 1 or self.without == "start"
        remove_grantor_guard(relay.lease_grantor, self.without, self.terms)

    def stop(self, relay: Relay, seconds: float) -> None:
        """End a relay's process, and start a new one after a number of seconds."""
        if relay.is_down:
            return
        relay.is_down = True
        relay.checked_rules = None
        relay.frozen_until = 0.0
        self.network.schedule(self.now + seconds, lambda: self.start(relay))

    # -- log -------------------------------------------------------------------------------------------------

    def pull_log(self, relay: Relay, epoch: int) -> None:
        """Receive the log from another voter, periodically."""
        if relay.epoch != epoch:
            return
        self.network.schedule(
            self.now + self.rng.uniform(0.05, 0.15),
            lambda: self.network.run_on(relay, epoch, lambda: self.pull_log(relay, epoch)),
        )
        others = [self.by_name[name] for name in self.voters if name != relay.name]
        other = self.rng.choice(others)
        is_reachable = other.is_running(self.now) and not self.network.is_cut(relay, other)
        if is_reachable and other.applied > relay.applied:
            self._apply_log(relay, other.applied)
        elif self._majority_with(relay):  # a leader reports the commit index
            self._apply_log(relay, len(self.oracle.log))

    def _majority_with(self, relay: Relay) -> list[Relay]:
        """Return the voters that a voter reaches, itself included; empty if they are no majority."""
        reachable = [relay]
        for name in self.voters:
            other = self.by_name[name]
            if other is relay or not other.is_running(self.now):
                continue
            if not self.network.is_cut(relay, other):
                reachable.append(other)
        return reachable if 2 * len(reachable) > len(self.voters) else []

    def _apply_log(self, relay: Relay, end: int) -> None:
        assert relay.history is not None and relay.lease_holder is not None
        for command in self.oracle.log[relay.applied : end]:
            relay.history.apply(command)
        relay.applied = max(relay.applied, end)
        for version in relay.history.versions:
            relay.lease_holder.add_version(version)
        self._clear_current_version(relay)

    def _clear_current_version(self, relay: Relay) -> None:
        assert relay.lease_grantor is not None
        if relay.lease_grantor.clear_current_version(relay.clock(self.now)):
            relay.cleared_on_disk = relay.lease_grantor.cleared_version  # saved before any answer reports it
            self.oracle.on_cleared(self.now, relay.name, relay.cleared_on_disk)

    # -- leases ----------------------------------------------------------------------------------------------

    def renew_periodically(self, relay: Relay, epoch: int) -> None:
        """Renew the lease of a relay, periodically."""
        if relay.epoch != epoch:
            return
        self.network.schedule(
            self.now + self.terms.renew_interval_s * self.rng.uniform(0.8, 1.0),
            lambda: self.network.run_on(relay, epoch, lambda: self.renew_periodically(relay, epoch)),
        )
        self.renew(relay)

    def renew(self, relay: Relay) -> None:
        """Send a renewal to each voter."""
        assert relay.lease_holder is not None
        renewal = relay.lease_holder.renew(relay.clock(self.now))
        for name in self.voters:
            self._send_renewal(relay, self.by_name[name], renewal)

    def _send_renewal(self, relay: Relay, voter: Relay, renewal: LeaseRenewal) -> None:
        if voter is relay:
            self.on_renewal(voter, relay, renewal)
        else:
            self.network.send(relay.name, voter, lambda: self.on_renewal(voter, relay, renewal))

    def on_renewal(self, voter: Relay, relay: Relay, renewal: LeaseRenewal) -> None:
        """Answer a renewal."""
        assert voter.lease_grantor is not None
        self._clear_current_version(voter)
        grant = voter.lease_grantor.on_renewal(voter.clock(self.now), relay.name, renewal)
        self._clear_current_version(voter)
        if voter is relay:
            self.on_grant(relay, voter, grant)
        else:
            self.network.send(voter.name, relay, lambda: self.on_grant(relay, voter, grant))

    def on_grant(self, relay: Relay, voter: Relay, grant: LeaseGrant) -> None:
        """Process a voter's answer."""
        holder = relay.lease_holder
        assert holder is not None and voter.history is not None
        has_changed = holder.on_grant(relay.clock(self.now), voter.name, grant)
        if len(holder.active_versions) == 1:
            self.oracle.on_active(self.now, holder.active_versions[0])
        missing = holder.missing_version(grant)
        version = voter.history.get(missing) if missing else None
        if version is not None:
            holder.add_version(version)
        if has_changed:
            epoch = relay.epoch
            self.network.schedule(
                self.now + 0.001, lambda: self.network.run_on(relay, epoch, lambda: self.renew(relay))
            )

    # -- calls -----------------------------------------------------------------------------------------------

    def call_periodically(self, relay: Relay, epoch: int) -> None:
        """Make and check a call, periodically."""
        if relay.epoch != epoch:
            return
        assert relay.lease_holder is not None
        active = relay.lease_holder.active_rules(relay.clock(self.now))
        used = active
        if self.without == "byte" and relay.checked_rules is not None:
            used = relay.checked_rules  # as of the previous call
        relay.checked_rules = active
        self.oracle.check_call(self.now, relay.name, used)
        self.network.schedule(
            self.now + self.rng.uniform(0.02, 0.2),
            lambda: self.network.run_on(relay, epoch, lambda: self.call_periodically(relay, epoch)),
        )

    # -- operators and faults --------------------------------------------------------------------------------

    def propose(self) -> None:
        """Propose random rules at a voter, periodically while there are faults."""
        if self.now >= FAULTS_S:
            return
        self.network.schedule(self.now + self.rng.uniform(0.3, 2.0), self.propose)
        relay = self.by_name[self.rng.choice(self.voters)]
        if not relay.is_running(self.now):
            return
        majority = self._majority_with(relay)
        if not majority:
            return
        self._apply_log_to(majority)
        share = self.rng.choice((1.0, 1.0, 0.5))
        rules = encode_rules(self.rng.choice(RULE_SETS))
        history = self.oracle.history
        command = Propose(history.newest.number, rules, "op", "c", self.now * 1000, share)
        if not self.oracle.agree(command):
            return
        self.oracle.agreed_at[history.newest.number] = self.now
        self._apply_log_to(majority)

    def _apply_log_to(self, relays: list[Relay]) -> None:
        for relay in relays:
            self._apply_log(relay, len(self.oracle.log))

    def inject_fault(self) -> None:
        """Inject a random fault, periodically until all faults end."""
        if self.now >= FAULTS_S:
            return
        self.network.schedule(self.now + self.rng.uniform(0.1, 1.2), self.inject_fault)
        relay = self.rng.choice(self.relays)
        match self.rng.randrange(6):
            case 0:
                relay.frozen_until = self.now + self.rng.choice((0.2, 1.0, 2.0, 5.0))
            case 1:
                self.stop(relay, self.rng.choice((0.01, 0.3, 2.0)))
            case 2:
                self._partition()
            case 3:
                self.network.cut_links.clear()
            case 4:
                self._stop_most()
            case _:
                pass

    def _partition(self) -> None:
        """Cut some relays off from the others, in one or both directions."""
        names = [relay.name for relay in self.relays]
        group = set(self.rng.sample(names, self.rng.randrange(1, RELAYS)))
        links = {(a, b) for a in names for b in names if (a in group) != (b in group)}
        if self.rng.random() < 0.3:
            links = {(source, target) for source, target in links if source in group}  # in one direction only
        self.network.cut(links, self.rng.choice((0.3, 1.0, 2.0, 5.0)))

    def _stop_most(self) -> None:
        for relay in self.relays:
            if self.rng.random() < 0.7:
                self.stop(relay, self.rng.uniform(0.01, 0.5))

    def heal(self) -> None:
        """End all faults."""
        self.network.cut_links.clear()
        self.network.loss = 0.0
        for relay in self.relays:
            relay.frozen_until = min(relay.frozen_until, self.now)
        # A canary ends only by a command: the operators withdraw it.
        if self.oracle.history.canary is not None:
            self.network.schedule(self.now + 1.0, self.withdraw_canary)

    def withdraw_canary(self) -> None:
        """Withdraw the canary version, if there still is one."""
        canary = self.oracle.history.canary
        if canary is not None:
            self.oracle.agree(Withdraw(canary.number, "op", "the end"))


class ScheduleResult(NamedTuple):
    """Result of one schedule."""

    seed: int
    violations: list[str]
    calls: int
    worst_overlap_s: float
    activation_s: list[float]


def run_schedule(task: tuple[int, str]) -> ScheduleResult:
    """Run the schedule of a seed, with a guard removed if one is named."""
    oracle = World(*task).run().oracle
    return ScheduleResult(
        task[0], oracle.violations, oracle.calls, oracle.worst_overlap_s, oracle.activation_s
    )


def run_schedules(schedules: int, first: int, without: str, processes: int) -> dict[str, Any]:
    """Run schedules of consecutive seeds in several processes; return the figures of all."""
    tasks = [(seed, without) for seed in range(first, first + schedules)]
    started = time.monotonic()
    with multiprocessing.Pool(processes) as pool:
        results = pool.map(run_schedule, tasks, chunksize=20)
    activation = sorted(seconds for result in results for seconds in result.activation_s)
    failed = [(result.seed, result.violations[0]) for result in results if result.violations]
    return {
        "schedules": schedules,
        "without": without,
        "broken": len(failed),
        "first broken": failed[:5],
        "calls": sum(result.calls for result in results),
        "bound s": TERMS.bound_s,
        "older acted on s, worst": max(result.worst_overlap_s for result in results),
        "activate s p50": activation[len(activation) // 2] if activation else None,
        "activate s p99": activation[int(0.99 * (len(activation) - 1))] if activation else None,
        "s": round(time.monotonic() - started, 1),
    }


def main() -> int:
    """Run the command line."""
    parser = argparse.ArgumentParser(prog="emulator.consensus.world")
    parser.add_argument("--schedules", type=int, default=1000)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--processes", type=int, default=8)
    parser.add_argument("--without", choices=REMOVABLE_GUARDS, default="")
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    figures = run_schedules(args.schedules, args.first, args.without, args.processes)
    if args.json:
        print(json.dumps(figures))
    else:
        print("\n".join(f"{key:24} {value}" for key, value in figures.items()))
    return 1 if figures["broken"] and not args.without else 0


if __name__ == "__main__":
    sys.exit(main())

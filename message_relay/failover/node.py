"""Failover on one instance: reports its observations, and runs the controller while it is the leader."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from typing import Any

import msgspec

from ..consensus.admin_socket import AdminRequest
from ..consensus.instance import ConsensusInstance
from ..consensus.rules import RulesError
from ..core.ports import CallContext
from ..core.relay import Relay
from ..core.tasks import BackgroundTasks
from ..decisions.model import Listing, Outcome
from ..gossip.node import GossipNode
from ..structured_logging import LogEvent
from . import views
from .call_counter import CallCounter
from .controller import FailoverController
from .observations import MAX_REPORTS, ObservationReport, Observations
from .plan_rules import Capacities
from .planner import Solver
from .settings import FailoverSettings

log = logging.getLogger(__name__)

OBSERVATIONS_KIND = "evidence"  # kind of the datagrams
FORWARDED_REPORTS = 16  # per window, to each other voter: some reports reach only one voter
WINDOW_JITTER = 0.95, 1.05  # factor of a window's length; without it the leader would get all reports at once


def load_solver() -> Solver | None:
    """Returns the linear solver; None without the extra `failover`, when all plans are greedy."""
    try:
        from .solver import solve
    except ImportError as error:
        log.warning(LogEvent("failover solver not available", why=error))
        return None
    return solve


class Failover:
    """Counts this relay's calls, reports them to the voters, and proposes plans while it is the leader.

    Does nothing before `start`.
    """

    def __init__(
        self, settings: FailoverSettings, gossip: GossipNode, consensus: ConsensusInstance, relay: Relay
    ) -> None:
        self.settings = settings
        self.gossip = gossip
        self.consensus = consensus
        self.relay = relay
        own = gossip.swim.own_claim
        self.call_counter = CallCounter(consensus.name, own.nonce, own.zone)
        self.observations = Observations(settings.window_s)
        self.controller = FailoverController(settings, self.observations, load_solver(), time.perf_counter)
        self.window_began = 0.0
        self.refusal = ""  # why the latest proposal was refused
        self.logged_rejections = 0  # number of rejected reports at the latest log line
        self.tasks = BackgroundTasks()
        gossip.datagram_handlers[OBSERVATIONS_KIND] = self._on_report
        consensus.call_observer = self
        consensus.rule_enforcer.may_use_zone = lambda class_name, target: settings.is_allowed(
            class_name, own.zone, target
        )

    def start(self) -> None:
        """Starts the first window."""
        self.window_began = self._now()
        self.tasks.start(self._run_windows())

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    @property
    def leads(self) -> bool:
        """Whether this instance is the leader of the replicated log, and so runs the controller."""
        log_ = self.consensus.replicated_log
        return log_ is not None and log_.is_leader

    # -- observing -------------------------------------------------------------------------------------------

    def on_request(self, destination: int, class_: str) -> None:
        """Counts a submitted message."""
        self.call_counter.record_submission(destination, self.settings.group_name(class_))

    def on_call_completed(
        self, call: CallContext, outcome: Outcome, latency_ms: float, wait_ms: float
    ) -> None:
        """Counts a finished call."""
        self.call_counter.record_outcome(call.destination, call.zone, outcome, latency_ms)

    async def _run_windows(self) -> None:
        while True:
            await asyncio.sleep(self.settings.window_s * self.gossip.rng.uniform(*WINDOW_JITTER))
            try:
                self._send_reports()
                if self.leads:
                    await self._propose_plan()
                else:
                    self.controller.reset()
            except Exception:
                log.exception("observation window failed")  # the next window is not affected

    def _send_reports(self) -> None:
        now = self._now()
        seconds = max(0.001, now - self.window_began)
        self.window_began = now
        messages = self.relay.messages
        load = messages.pending_count / max(1, messages.settings.max_pending_messages)
        own_name = self.consensus.name
        voters = [name for name in self.consensus.current_voters() if name != own_name]
        own_reports = self.call_counter.close_window(seconds, load)
        forwarded: list[ObservationReport] = []
        if self.consensus.replicated_log is not None:
            for report in own_reports:
                self.observations.add(now, report)
            self.observations.drop_expired(now)
            known = self.observations.latest_reports(now, FORWARDED_REPORTS * 4)
            forwarded = self.gossip.rng.sample(known, min(FORWARDED_REPORTS, len(known)))
        for voter in voters:
            others = [report for report in forwarded if report.relay not in (voter, own_name)]
            for report in (*own_reports, *others):
                self.gossip.send_datagram(voter, OBSERVATIONS_KIND, msgspec.msgpack.encode(report))

    def _on_report(self, sender: str, raw: bytes) -> None:
        try:
            report: ObservationReport = msgspec.msgpack.decode(raw, type=ObservationReport)
        except (msgspec.MsgspecError, ValueError) as error:
            log.warning(LogEvent("observation report unreadable", sender=sender, why=error))
            return
        if report.zone in self.settings.zones and math.isfinite(report.age_s):
            self.observations.add(self._now(), report)
        rejected = self.observations.rejected_reports
        if rejected > 2 * self.logged_rejections:  # logs the 1st, 3rd, 7th ... to bound the log lines
            self.logged_rejections = rejected
            log.warning(
                LogEvent(
                    "observation report rejected",
                    sender=self.observations.rejected_relay,
                    most=MAX_REPORTS,
                    so_far=rejected,
                )
            )

    # -- controlling -----------------------------------------------------------------------------------------

    def capacities(self) -> Capacities:
        """Capacity of each destination by zone, from the endpoint list and the agreed rules.

        The list has one rate for all endpoints of a destination; each zone gets a share in proportion to its
        number of ready endpoints.
        """
        counts, rates = self._listed_endpoints()
        by_destination: Capacities = {}
        for destination, by_zone in counts.items():
            rate = self._agreed_rate(destination, rates.get(destination, math.inf))
            total = sum(by_zone.values())
            by_destination[destination] = {zone: rate * count / total for zone, count in by_zone.items()}
        return by_destination

    def _listed_endpoints(self) -> tuple[dict[int, dict[str, int]], dict[int, float]]:
        """Maps each destination to its ready endpoints by zone, and to its listed rate if it has one."""
        counts: dict[int, dict[str, int]] = {}
        rates: dict[int, float] = {}
        zones = self.relay.directory.zones
        for known in self.relay.directory.by_number.values():
            endpoint = known.endpoint
            if endpoint.listing is not Listing.READY or endpoint.zone >= len(zones):
                continue
            by_zone = counts.setdefault(endpoint.destination, {})
            by_zone[zones[endpoint.zone]] = by_zone.get(zones[endpoint.zone], 0) + 1
            if endpoint.rate > 0:
                rates[endpoint.destination] = max(rates.get(endpoint.destination, 0.0), endpoint.rate)
        return counts, rates

    def _agreed_rate(self, destination: int, listed: float) -> float:
        agreed = self.consensus.newest_rules().destination_for(str(destination)).rate
        return listed if agreed is None else min(agreed, listed)

    def relays(self) -> dict[str, list[str]]:
        """Names of the present relays, by zone."""
        names_by_zone: dict[str, list[str]] = {}
        for claim in self.gossip.swim.present_members():
            names_by_zone.setdefault(claim.zone, []).append(claim.name)
        return names_by_zone

    async def _propose_plan(self) -> None:
        now = self._now()
        capacities = self.capacities()
        newest = self.consensus.history.newest
        problems = self.controller.update(now, newest.decoded_rules, capacities)
        plans = {}
        if problems:
            loop = asyncio.get_running_loop()
            plans = await loop.run_in_executor(None, self.controller.compute_plans, problems)
        rules = self.controller.next_rules(
            now, newest.decoded_rules, capacities, self.relays(), problems, plans
        )
        if rules is None:
            return
        cause = views.cause_of_plan(self.controller)
        self.refusal = await self.consensus.propose_plan(rules, newest.number, cause)
        log.info(
            LogEvent(
                "failover plan proposed", base=newest.number, destinations=len(plans), refused=self.refusal
            )
        )

    # -- for operators ---------------------------------------------------------------------------------------

    def status(self) -> dict[str, Any]:
        """Answers `zone status`."""
        now = self._now()
        rules = self.consensus.newest_rules()
        reporting = self.observations.relays(now).values()
        return {
            "name": self.consensus.name,
            "decides": self.leads,
            "evacuated": sorted(rules.policies.evacuated),
            "relays": {zone: len(names) for zone, names in sorted(self.relays().items())},
            "not taken": self.refusal,
            "heard of": sorted(set().union(*reporting, set())),
            "pairs": views.pair_rows(self.controller, now),
            "plans": views.plan_explanations(self.controller),
        }

    def plan(self, request: AdminRequest) -> dict[str, Any]:
        """Answers `zone plan`: the plan if a zone were evacuated, by this instance's observations.

        Raises RulesError for an unknown zone, or where this instance has no observations.
        """
        if request.name and request.name not in self.settings.zones:
            raise RulesError(f"zone: {request.name!r} is none of {', '.join(self.controller.zones)}")
        if self.consensus.replicated_log is None:
            raise RulesError("plan: ask an instance that votes: the others hear no evidence")
        evacuated = set(self.consensus.newest_rules().policies.evacuated)
        if request.name:
            evacuated.add(request.name)
        problems = self.controller.problems(self._now(), self.capacities(), evacuated)
        plans = self.controller.compute_plans(problems)
        return {"without": sorted(evacuated), "plans": views.plan_rows(problems, plans)}

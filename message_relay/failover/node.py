"""One instance's part in failover: it tells what it saw, and decides where it leads the log of versions."""

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
from .call_counter import CallCounter
from .controller import Capacities, FailoverController
from .observations import MAX_REPORTS, ObservationReport, Observations
from .planner import Solver
from .settings import FailoverSettings

log = logging.getLogger(__name__)

OBSERVATIONS_KIND = "evidence"  # datagrams
FORWARDED_REPORTS = (
    16  # reports that a voter passes on to each other one in a window: some reach only one of them
)


def load_solver() -> Solver | None:
    """None without the extra `failover`: all plans are greedy then."""
    try:
        from .solver import solved
    except ImportError as error:
        log.warning(LogEvent("plans are made without a solver: it needs the extra 'failover'", why=error))
        return None
    return solved


class Failover:
    """Begins with `start`."""

    def __init__(
        self, part: FailoverSettings, peers: GossipNode, accord: ConsensusInstance, host: Relay
    ) -> None:
        self.settings, self.gossip, self.consensus, self.relay = part, peers, accord, host
        zone = peers.swim.own_claim.zone
        self.call_counter = CallCounter(accord.name, peers.swim.own_claim.nonce, zone)
        self.observations = Observations(part.window_s)
        self.controller = FailoverController(part, self.observations, load_solver(), time.perf_counter)
        self.window_began = 0.0
        self.refusal = ""  # the latest proposal was not taken
        self.logged_rejections = 0  # reports that were not kept, as it was said last
        self.tasks = BackgroundTasks()
        peers.datagram_handlers[OBSERVATIONS_KIND] = self._on_report
        accord.call_observer = self
        accord.rule_enforcer.may_use_zone = lambda class_, target: part.allowed(class_, zone, target)

    def start(self) -> None:
        self.window_began = self._now()
        self.tasks.start(self._run_windows())

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    # -- what is seen here -----------------------------------------------------------------------------------

    def on_request(self, destination: int, class_: str) -> None:
        self.call_counter.record_submission(destination, self.settings.group(class_))

    def on_call_completed(
        self, call: CallContext, outcome: Outcome, latency_ms: float, wait_ms: float
    ) -> None:
        self.call_counter.record_outcome(call.destination, call.zone, outcome, latency_ms)

    async def _run_windows(self) -> None:
        while True:
            # Not all in the same moment: the leader takes them one by one.
            await asyncio.sleep(self.settings.window_s * self.gossip.rng.uniform(0.95, 1.05))
            try:
                self._send_reports()
                if self.consensus.replicated_log is not None and self.consensus.replicated_log.is_leader:
                    await self._propose_plan()
                else:
                    self.controller.reset()
            except Exception:
                log.exception("a window of evidence failed")  # and the next one comes

    def _send_reports(self) -> None:
        now = self._now()
        seconds, self.window_began = max(0.001, now - self.window_began), now
        load = self.relay.messages.pending_count / max(1, self.relay.messages.settings.max_pending_messages)
        voters = [name for name in self.consensus.current_voters() if name != self.consensus.name]
        mine = self.call_counter.close_window(seconds, load)
        forwarded: list[ObservationReport] = []
        if self.consensus.replicated_log is not None:
            for report in mine:
                self.observations.add(now, report)
            self.observations.drop_expired(now)
            known = self.observations.latest_reports(now, FORWARDED_REPORTS * 4)
            forwarded = self.gossip.rng.sample(known, min(FORWARDED_REPORTS, len(known)))
        for name in voters:
            for report in (
                *mine,
                *(each for each in forwarded if each.relay not in (name, self.consensus.name)),
            ):
                self.gossip.send_datagram(name, OBSERVATIONS_KIND, msgspec.msgpack.encode(report))

    def _on_report(self, sender: str, raw: bytes) -> None:
        try:
            report: ObservationReport = msgspec.msgpack.decode(raw, type=ObservationReport)
        except (msgspec.MsgspecError, ValueError) as error:
            log.warning(LogEvent("a report is passed over", sender=sender, why=error))
            return
        if report.zone in self.settings.zones and math.isfinite(report.age_s):
            self.observations.add(self._now(), report)
        if (
            self.observations.rejected_reports > 2 * self.logged_rejections
        ):  # the first, third, seventh ...: more may come
            self.logged_rejections = self.observations.rejected_reports
            log.warning(
                LogEvent(
                    "a report is not kept: there are as many as may be",
                    sender=self.observations.rejected_relay,
                    most=MAX_REPORTS,
                    so_far=self.logged_rejections,
                )
            )

    # -- deciding --------------------------------------------------------------------------------------------

    def capacities(self) -> Capacities:
        """By the list: what each zone's endpoints are agreed to take for a destination. Of one rate for all
        of them (listed with each) a zone has its part."""
        count: dict[int, dict[str, int]] = {}
        rates: dict[int, float] = {}
        zones = self.relay.directory.zones
        for known in self.relay.directory.by_number.values():
            entry = known.endpoint
            if entry.listing is Listing.READY and entry.zone < len(zones):
                here = count.setdefault(entry.destination, {})
                here[zones[entry.zone]] = here.get(zones[entry.zone], 0) + 1
                if entry.rate > 0:
                    rates[entry.destination] = max(rates.get(entry.destination, 0.0), entry.rate)
        found: Capacities = {}
        for destination, zones_there in count.items():
            rate = self._agreed_rate(destination, rates.get(destination, math.inf))
            total = sum(zones_there.values())
            found[destination] = {zone: rate * n / total for zone, n in zones_there.items()}
        return found

    def _agreed_rate(self, destination: int, listed: float) -> float:
        told = self.consensus.newest_rules().destination_for(str(destination)).rate
        return listed if told is None else min(told, listed)

    def relays(self) -> dict[str, list[str]]:
        found: dict[str, list[str]] = {}
        for claim in self.gossip.swim.present_members():
            found.setdefault(claim.zone, []).append(claim.name)
        return found

    async def _propose_plan(self) -> None:
        now, rooms = self._now(), self.capacities()
        newest = self.consensus.history.newest
        problems = self.controller.update(now, newest.decoded_rules, rooms)
        found = {}
        if problems:
            loop = asyncio.get_running_loop()
            found = await loop.run_in_executor(None, self.controller.compute_plans, problems)
        rules = self.controller.next_rules(now, newest.decoded_rules, rooms, self.relays(), problems, found)
        if rules is None:
            return
        self.refusal = await self.consensus.propose_plan(rules, newest.number, self._cause())
        log.info(
            LogEvent("a plan is proposed", base=newest.number, destinations=len(found), refused=self.refusal)
        )

    def _cause(self) -> str:
        """What the verdicts are, for people: the versions' history tells it."""
        states: dict[str, list[str]] = {}
        for destination, judge in sorted(self.controller.judges.items()):
            for (source, target), standing in sorted(judge.pairs.items()):
                if standing.share < 1.0:
                    word = f"{source}>{target} {standing.state.value}"
                    states.setdefault(word, []).append(str(destination))
        told = [f"{word} ({', '.join(names[:5])})" for word, names in sorted(states.items())]
        return "; ".join(told) or "all well"

    # -- for operators ---------------------------------------------------------------------------------------

    def status(self) -> dict[str, Any]:
        now, rules = self._now(), self.consensus.newest_rules()
        return {
            "name": self.consensus.name,
            "decides": self.consensus.replicated_log is not None and self.consensus.replicated_log.is_leader,
            "evacuated": sorted(rules.policies.evacuated),
            "relays": {zone: len(names) for zone, names in sorted(self.relays().items())},
            "not taken": self.refusal,
            "heard of": sorted(set().union(*self.observations.relays(now).values(), set())),
            "pairs": [
                {
                    "destination": destination,
                    "from": source,
                    "to": target,
                    "state": standing.state.value,
                    "share": standing.share,
                    "since s": round(now - standing.since, 1),
                    "flaps": standing.flaps,
                    "comes good": round(standing.success_share, 3),
                }
                for destination, judge in sorted(self.controller.judges.items())
                for (source, target), standing in sorted(judge.pairs.items())
            ],
            "plans": {
                str(destination): {
                    "how": told.method,
                    "flows": {" ".join(way): round(rate, 2) for way, rate in sorted(told.flows.items())},
                    "shed": {" ".join(who): round(rate, 2) for who, rate in sorted(told.shed.items())},
                    "room": {
                        zone: round(rate, 2)
                        for zone, rate in sorted(told.capacity.items())
                        if math.isfinite(rate)
                    },
                }
                for destination, told in sorted(self.controller.explanations.items())
            },
        }

    def plan(self, question: AdminRequest) -> dict[str, Any]:
        """What would be planned if a zone were left: by the evidence that this instance has."""
        if question.name and question.name not in self.settings.zones:
            raise RulesError(f"zone: {question.name!r} is none of {', '.join(self.controller.zones)}")
        if self.consensus.replicated_log is None:
            raise RulesError("plan: ask an instance that votes: the others hear no evidence")
        out = self.consensus.newest_rules().policies.evacuated | ({question.name} if question.name else set())
        problems = self.controller.problems(self._now(), self.capacities(), out)
        found = self.controller.compute_plans(problems)
        rows = []
        for destination, plan in sorted(found.items()):
            problem = problems[destination]
            rows.append(
                {
                    "destination": destination,
                    "how": plan.how,
                    "moved": round(plan.moved(problem), 2),
                    "demand": round(sum(problem.demand.values()), 2),
                    "shed": round(sum(plan.shed(problem).values()), 2),
                    "flows": {" ".join(way): round(rate, 2) for way, rate in sorted(plan.flows.items())},
                }
            )
        return {"without": sorted(out), "plans": rows}

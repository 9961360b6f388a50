"""One instance's part in the agreed rules: lease client, voter, rule enforcement and admin requests."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ..core.ports import CallContext
from ..decisions.model import Endpoint, Outcome, Settings
from ..gossip.identity import Identity
from ..gossip.node import GossipNode
from ..gossip.wire import Claim
from ..structured_logging import LogEvent
from .active_rules import ActiveRules
from .admin_requests import AdminRequestHandler
from .admin_socket import AdminRequest
from .call_observer import CallObserver
from .clock import Clock
from .context import ConsensusContext
from .lease_client import RENEW, VERSION_QUERY, LeaseClient
from .lease_holder import LeaseHolder
from .lease_protocol import DeliveryCounts
from .proposer import COMMAND, Proposer
from .replicated_log import ReplicatedLog
from .rule_enforcement import RuleEnforcer
from .rules import Rules
from .rules_codec import digest, encode_rules
from .rules_file import RulesFile
from .settings import ConsensusSettings
from .version_history import Propose, VersionHistory
from .version_watch import VersionWatch
from .voter import EPOCH_QUERY, GRANT, HINT, Voter

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.05  # between two checks whether the active rules have changed
FLOOR_TIER = "floor"


class ConsensusInstance:
    """Implements `CallPolicy` of core/ports.py by the rules on which the instances agree.

    Runs from `start` to `close`; `on_rules_changed` is called when the active rules have changed.
    """

    def __init__(
        self,
        config: ConsensusSettings,
        gossip: GossipNode,
        folder: Path,
        identity: Identity,
        settings: Settings,
        zones: tuple[str, ...],
        instances: int,
        on_rules_changed: Callable[[], None],
        counts: Callable[[], DeliveryCounts],
    ) -> None:
        """Raises OSError where the folder can't be read."""
        self.name = identity.name
        self.gossip = gossip
        self.on_rules_changed = on_rules_changed
        self.reported_rules: ActiveRules | None = None
        self.context = _context(config, gossip, folder, identity)
        self.lease_holder = self.context.lease_holder
        self.voter = Voter(self.context, identity)
        self.lease_holder.add_version(self.voter.history.newest)
        self.lease_client = LeaseClient(self.context, self.voter, counts)
        zone = zones[settings.zone] if settings.zone < len(zones) else ""
        self.rule_enforcer = RuleEnforcer(
            self.active_rules, instances, lambda: time.time() * 1000, self.name, zone
        )
        classes = [class_.name for class_ in settings.classes]
        self.proposer = Proposer(self.context, self.voter, classes, zones)
        self.version_watch = VersionWatch(self.context, self.voter, self.proposer)
        self.admin_requests = AdminRequestHandler(
            self.context, self.voter, self.proposer, self.rule_enforcer, zones, self.status
        )
        self._subscribe()

    def _subscribe(self) -> None:
        gossip = self.gossip
        gossip.on_epoch_raised.append(self.voter.on_folder_outdated)
        gossip.on_identity_conflict.append(self.voter.on_outranked)
        gossip.datagram_handlers |= {
            RENEW: self.voter.on_renewal,
            GRANT: self.lease_client.on_grant,
            HINT: self.lease_client.on_hint,
        }
        gossip.frame_handlers |= {
            VERSION_QUERY: self.voter.on_version_query,
            COMMAND: self.proposer.on_command,
            EPOCH_QUERY: self.voter.on_epoch_query,
        }

    # -- lifecycle -------------------------------------------------------------------------------------------

    def start(self) -> None:
        """Start to renew the lease, to follow the newest version, and to vote if that names this instance."""
        tasks = self.context.tasks
        tasks.start(self.lease_client.run())
        tasks.start(self._poll_active_rules())
        tasks.start(self.version_watch.run())
        if self.context.config.folder:
            tasks.start(RulesFile(self.context, self.proposer).run())

    def leave(self) -> None:
        """Release the lease, so that no voter waits for it. No call is allowed afterwards."""
        self.lease_client.leave()

    async def close(self) -> None:
        """Cancel all tasks and close the log."""
        await self.context.tasks.cancel()
        await self.voter.close()

    async def _poll_active_rules(self) -> None:
        """Follow the newest version's voters, and report each change of the active rules."""
        while True:
            self.voter.update_role()
            active = self.active_rules()
            if self.reported_rules is None or active.label != self.reported_rules.label:
                before = "-" if self.reported_rules is None else self.reported_rules.label
                log.info(LogEvent("active rules changed", version=active.label, before=before))
                self.reported_rules = active
                self.on_rules_changed()
            await asyncio.sleep(POLL_INTERVAL_S)

    def on_member_changed(self, claim: Claim) -> None:
        """Renew the lease at once: a voter may have returned."""
        self.context.renew_now.set()

    # -- call policy (core/ports.py) -------------------------------------------------------------------------

    def authorize(self, call: CallContext) -> str | None:
        """See `CallPolicy`."""
        return self.rule_enforcer.authorize(self.context.clock.now(), call)

    def is_still_authorized(self, call: CallContext) -> bool:
        """See `CallPolicy`."""
        return self.rule_enforcer.is_still_authorized(call)

    def release(self, destination: int) -> None:
        """See `CallPolicy`."""
        self.rule_enforcer.release(destination)

    def record_outcome(self, call: CallContext, outcome: Outcome, latency_ms: float, wait_ms: float) -> None:
        """See `CallPolicy`."""
        if self.call_observer is not None:
            self.call_observer.on_call_completed(call, outcome, latency_ms, wait_ms)

    def denial_reason(self, destination: int, class_: str) -> str:
        """See `CallPolicy`."""
        if self.call_observer is not None:
            self.call_observer.on_request(destination, class_)
        return self.rule_enforcer.denial_reason(destination, class_)

    def constrained_endpoint(self, name: str, zone: str, entry: Endpoint) -> Endpoint:
        """See `CallPolicy`."""
        return self.rule_enforcer.constrained_endpoint(name, zone, entry)

    # -- for failover and operators --------------------------------------------------------------------------

    @property
    def call_observer(self) -> CallObserver | None:
        """The failover planner, if there is one."""
        return self.admin_requests.call_observer

    @call_observer.setter
    def call_observer(self, observer: CallObserver) -> None:
        self.admin_requests.call_observer = observer

    @property
    def history(self) -> VersionHistory:
        """The versions in this instance's own log; only the first version if it does not vote."""
        return self.voter.history

    @property
    def replicated_log(self) -> ReplicatedLog | None:
        """The log while this instance votes."""
        return self.voter.replicated_log

    def active_rules(self) -> ActiveRules:
        """Return the rules that this relay may act on now."""
        return self.lease_client.active_rules()

    def current_voters(self) -> tuple[str, ...]:
        """Return the names of the voters according to the newest known version."""
        return self.voter.current_voters()

    def newest_rules(self) -> Rules:
        """Return the rules of the newest known version."""
        return self.voter.newest_rules()

    async def propose_plan(self, rules: Rules, base: int, cause: str) -> str:
        """Propose the next plan; return why it was refused, or an empty text."""
        raw = encode_rules(rules)
        command = Propose(base, raw, f"{self.name}:plan", cause, time.time() * 1000)
        return (await self.proposer.propose(command)).refused

    async def handle_admin_request(self, request: AdminRequest) -> dict[str, Any]:
        """Return the answer to an operator's request. Raises RulesError if the request is invalid."""
        return await self.admin_requests.handle(request)

    def status(self) -> dict[str, Any]:
        """Return the state of this instance for display; the keys are part of the operators' interface."""
        active, holder = self.active_rules(), self.lease_holder
        replicated_log, grantor = self.voter.replicated_log, self.voter.lease_grantor
        now = self.context.clock.now()
        lease_left_s = round(holder.tier_ends_at(now) - now, 3) if active.tier.value != FLOOR_TIER else None
        swim = self.gossip.swim
        return {
            "name": self.name,
            "acts by": active.label,
            "tier": active.tier.value,
            "newest": max(holder.versions, default=0),
            "lease left s": lease_left_s,
            "why not": holder.denial_reason,
            "votes": replicated_log is not None,
            "mute": self.voter.non_voting_reason,
            "leader": replicated_log.leader if replicated_log is not None else "",
            "cleared": grantor.cleared_version if grantor is not None else 0,
            "waits for": grantor.blocking_relays if grantor is not None else [],
            "bound s": self.context.terms.bound_s,
            "refused calls": dict(self.rule_enforcer.refusal_counts),
            "members": {
                claim.name: claim.state.name.lower() for claim in (swim.own_claim, *swim.members.values())
            },
            "traffic": dict(self.gossip.counts),
        }


def _context(
    config: ConsensusSettings, gossip: GossipNode, folder: Path, identity: Identity
) -> ConsensusContext:
    configured_voters = tuple(f"n{number}" for number in sorted(config.voters))
    first_digest = digest(config.first) + "/" + ",".join(configured_voters)
    terms = config.lease_terms()
    lease_holder = LeaseHolder(
        identity.process_epoch, gossip.swim.own_claim.nonce, first_digest, terms, config.floor
    )
    return ConsensusContext(
        config,
        gossip,
        folder,
        identity.name,
        configured_voters,
        first_digest,
        terms,
        Clock.from_environment(),
        lease_holder,
    )

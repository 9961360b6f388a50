"""Lease client of a relay: renews its lease at the voters and fetches versions that it does not have."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import msgspec

from ..core.tasks import wait_for_event
from ..structured_logging import LogEvent
from .active_rules import ActiveRules
from .context import REQUEST_TIMEOUT_S, ConsensusContext
from .lease_protocol import DeliveryCounts, LeaseGrant
from .rules import RulesError
from .rules_codec import decode_rules, digest
from .version_fetch import VersionFetcher, VersionSearch, first_pause
from .version_history import Version
from .voter import Voter

log = logging.getLogger(__name__)

RENEW = "renew"  # datagram
VERSION_QUERY = "version"  # request on a connection
RENEWAL_JITTER = 0.8, 1.0  # of the interval, so that relays don't renew in step


class LeaseClient:
    """Renews the lease at all known voters, and fetches each missing version that a grant names."""

    def __init__(self, context: ConsensusContext, voter: Voter, counts: Callable[[], DeliveryCounts]) -> None:
        self.context = context
        self.voter = voter
        self.counts = counts
        self.version_fetcher = VersionFetcher(context.gossip.rng)
        self.has_left = False  # no more renewals: voters would grant them, and wait for them

    def active_rules(self) -> ActiveRules:
        """Return the rules that this relay may act on now."""
        return self.context.lease_holder.active_rules(self.context.clock.now())

    def leave(self) -> None:
        """Release the lease, so that no voter has to wait for it. No call is allowed afterwards."""
        renewal = self.context.lease_holder.renew(self.context.clock.now(), self.counts(), is_leaving=True)
        for name in self.voter.all_known_voters():
            self.context.gossip.send_datagram(name, RENEW, msgspec.msgpack.encode(renewal))
        self.context.lease_holder.release()
        self.has_left = True

    async def run(self) -> None:
        """Renew at each interval, and at once when something has changed."""
        context = self.context
        while True:
            try:
                self._renew()
            except Exception:
                log.exception("lease renewal failed")  # tried again at the next interval
            context.renew_now.clear()
            pause = context.terms.renew_interval_s * context.gossip.rng.uniform(*RENEWAL_JITTER)
            if await wait_for_event(context.renew_now, pause):
                await asyncio.sleep(0)

    def _renew(self) -> None:
        if self.has_left:
            return
        renewal = self.context.lease_holder.renew(self.context.clock.now(), self.counts())
        raw = msgspec.msgpack.encode(renewal)
        for name in self.voter.all_known_voters():
            if name != self.context.name:
                self.context.gossip.send_datagram(name, RENEW, raw)
            elif self.voter.lease_grantor is not None:
                self._process_grant(name, self.voter.grant_lease(self.voter.lease_grantor, name, renewal))

    def on_grant(self, sender: str, raw: bytes) -> None:
        """Handle a voter's answer to a renewal."""
        self._process_grant(sender, msgspec.msgpack.decode(raw, type=LeaseGrant))

    def on_hint(self, sender: str, raw: bytes) -> None:
        """Handle a voter's hint that something has changed: renew now."""
        self.context.renew_now.set()

    def _process_grant(self, voter: str, grant: LeaseGrant) -> None:
        if self.context.lease_holder.on_grant(self.context.clock.now(), voter, grant):
            self.context.renew_now.set()
        missing = self.context.lease_holder.missing_version(grant)
        if not missing:
            return
        search = self.version_fetcher.on_version_reported(missing, voter)
        if search is not None:
            self.context.tasks.start(self._fetch(missing, search))

    async def _fetch(self, number: int, search: VersionSearch) -> None:
        """Ask voters in turn until the version is known, possibly from this instance's own log."""
        rng = self.context.gossip.rng
        try:
            relays = len(self.context.gossip.swim.members)
            await asyncio.sleep(first_pause(rng, relays, len(self.voter.current_voters())))
            while number not in self.context.lease_holder.versions:
                voter = search.next_voter()
                if voter is None or await self._fetch_from(number, voter):
                    return
                await asyncio.sleep(search.next_pause())
        finally:
            self.version_fetcher.finish(number)

    async def _fetch_from(self, number: int, voter: str) -> bool:
        """Request the version from one voter; return whether it was received."""
        raw_number = msgspec.msgpack.encode(number)
        try:
            raw = await self.context.gossip.request(voter, VERSION_QUERY, raw_number, REQUEST_TIMEOUT_S)
            if not raw:
                return False
            version: Version = msgspec.msgpack.decode(raw, type=Version)
            if version.number != number or digest(decode_rules(version.rules)) != version.digest:
                raise RulesError(f"version {number}: {voter} sent another version or a wrong digest")
        except (OSError, TimeoutError, msgspec.MsgspecError, RulesError) as error:
            log.warning(LogEvent("version fetch failed", number=number, voter=voter, why=repr(error)))
            return False
        self.context.lease_holder.add_version(version)
        self.context.renew_now.set()
        return True

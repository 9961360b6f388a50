"""The voter of an instance: its replicated log, the leases that it grants, and the versions that it clears.

Every instance has a `Voter`; it is idle until the newest version names the instance among the voters. A
voter whose state folder is older than one that its peers have seen, or whose log can't be trusted, does not
vote until it has been removed from the voters and added again.
"""

from __future__ import annotations

import asyncio
import logging
import math

import msgspec

from ..gossip.framing import Hello
from ..gossip.identity import Identity
from ..structured_logging import LogEvent
from .context import REQUEST_TIMEOUT_S, ConsensusContext
from .lease_grantor import LeaseGrantor
from .lease_protocol import LeaseGrant, LeaseRenewal
from .process_epochs import ProcessEpochs
from .raft_storage import JOURNAL, remove_log
from .replicated_log import ReplicatedLog
from .rules import Rules
from .version_history import FIRST_NUMBER, Version, VersionHistory
from .voter_state import load_voter_state, save_voter_state

log = logging.getLogger(__name__)

GRANT, HINT = "grant", "hint"  # datagrams that a voter sends
EPOCH_QUERY = "boot"  # request on a connection
REOPEN_DELAY_S = 2.0  # before a log whose disk has failed is reopened
EPOCH_QUERY_MAX_S = 10.0  # for at most this long a voter asks its peers whether its folder is the latest
EPOCH_QUERY_PAUSE_S = 0.05
DISK_FAILURE = "its disk has failed"


class Voter:
    """Votes, and grants leases to relays, while the newest version names this instance."""

    def __init__(self, context: ConsensusContext, identity: Identity) -> None:
        """Raises OSError if the state folder can't be read."""
        self.context = context
        self.identity = identity
        self.history = VersionHistory(context.config.first, context.configured_voters)
        self.state = load_voter_state(context.folder)
        self.process_epochs = ProcessEpochs(self.state.highest_epochs)
        self.replicated_log: ReplicatedLog | None = None
        self.lease_grantor: LeaseGrantor | None = None
        self.non_voting_reason = ""
        self.voting_task: asyncio.Task[None] | None = None
        self.epoch_checked = False  # whether the peers were asked for a later process of this folder
        # Last change of the voters: the proposer's timestamp, and when this process saw it by its own clock.
        # Waits use only the latter: a wall clock may step, and a relay's majority depends on the wait.
        self.voters_change_stamp_ms = 0.0
        self.voters_change_seen_at = -math.inf

    # -- known versions and voters ---------------------------------------------------------------------------

    def current_voters(self) -> tuple[str, ...]:
        """Return the names of the voters according to the newest known version.

        They may differ from the operator's file, also by versions that an earlier process received.
        """
        latest = self.context.lease_holder.latest_version
        if latest is not None and latest.number > FIRST_NUMBER:
            return latest.voters
        return self.state.voters or self.context.configured_voters

    def all_known_voters(self) -> list[str]:
        """Return the names of all possible voters: the current, the last saved and the configured ones."""
        return sorted({*self.context.configured_voters, *self.state.voters, *self.current_voters()})

    def known_versions(self) -> list[Version]:
        """Return all known versions, oldest first. The log may lag behind versions from other voters."""
        versions = dict(self.context.lease_holder.versions)
        if self.replicated_log is not None:
            versions |= {version.number: version for version in self.history.versions}
        return [versions[number] for number in sorted(versions)]

    def newest_rules(self) -> Rules:
        """Return the rules of the newest known version."""
        latest = self.known_versions()[-1:]
        return latest[0].decoded_rules if latest else self.context.config.first

    def newest_number(self) -> int:
        """Return the number of the newest known version."""
        return max((version.number for version in self.known_versions()), default=FIRST_NUMBER)

    def seconds_since_voters_changed(self) -> float:
        """Return the time by this process's clock; infinite if it has seen no change."""
        return self.context.clock.now() - self.voters_change_seen_at

    # -- starting and stopping to vote -----------------------------------------------------------------------

    def save_state(self) -> None:
        """Write the state that has to outlast this process. Raises OSError."""
        save_voter_state(self.context.folder, self.state)

    def update_role(self) -> None:
        """Start or stop voting, as the newest version requires."""
        voters = self.current_voters()
        if voters != (self.state.voters or self.context.configured_voters):
            self.state.voters = voters
            try:
                self.save_state()
            except OSError as error:
                log.error(LogEvent("voter list not saved", why=error))
        is_voter = self.context.name in voters
        if is_voter and self.voting_task is None:
            self.voting_task = self.context.tasks.start(self._vote())
        elif not is_voter and self.voting_task is not None:
            log.info(LogEvent("voting stopped", voters=",".join(voters)))
            self.voting_task.cancel()
            self.voting_task = None
            self.non_voting_reason = ""
            self.context.tasks.start(self._retire())

    async def _retire(self) -> None:
        """Remove the log: if this instance is added again, it starts with an empty log."""
        await self._close_log()
        try:
            remove_log(self.context.folder)
            self.state.log_started = False
            self.save_state()
        except OSError as error:
            log.error(LogEvent("replicated log removal failed", why=error))

    async def _vote(self) -> None:
        """Run the replicated log; after a disk failure, reopen it from the files on disk."""
        await self._check_folder()
        while not self.non_voting_reason:
            try:
                await self._open_log().run()
            except OSError as error:
                log.error(LogEvent("replicated log disk failed, reopening", why=error))
                self.non_voting_reason = f"{DISK_FAILURE}, its log will be reopened: {error}"
            except Exception as error:  # a torn journal or dump: the library may raise any exception
                log.exception("replicated log failed")
                self._disable(f"its log can't be read: {error}")
                return
            await self._close_log()
            await asyncio.sleep(REOPEN_DELAY_S)
            if self.non_voting_reason.startswith(DISK_FAILURE):
                self.non_voting_reason = ""

    async def _check_folder(self) -> None:
        """Refuse to vote if peers have seen a later process of this folder, or if its log is missing."""
        highest = 0 if self.epoch_checked else await self.highest_epoch_seen_by_peers()
        self.epoch_checked = True  # the peers know this process's epoch from now on
        if highest >= self.identity.process_epoch:
            self.context.gossip.raise_process_epoch(highest)
        elif self.state.log_started and not (self.context.folder / JOURNAL).exists():
            self._disable("its log is gone")

    def _open_log(self) -> ReplicatedLog:
        """Raises TornWriteError, OSError, and any exception of pysyncobj for a torn file."""
        context = self.context
        self.state.log_started = True
        self.save_state()
        others = [name for name in self.current_voters() if name != context.name]
        self.history = VersionHistory(context.config.first, context.configured_voters)
        replicated_log = ReplicatedLog(
            context.folder, context.gossip, context.name, others, self.history, self._on_applied
        )
        self.replicated_log = replicated_log
        self.lease_grantor = LeaseGrantor(
            context.name,
            self.history,
            context.terms,
            context.first_digest,
            self.state.cleared,
            context.clock.now(),
        )
        return replicated_log

    async def _close_log(self) -> None:
        closing = self.replicated_log
        self.replicated_log = None
        self.lease_grantor = None
        if closing is not None:
            await closing.close()

    async def close(self) -> None:
        """Close the log, if it is open."""
        if self.replicated_log is not None:
            await self.replicated_log.close()

    def on_folder_outdated(self, identity: Identity) -> None:
        """Handle a raised epoch: the folder, and so its state, is older than one that peers have seen."""
        self.identity = identity
        self.context.lease_holder.restart(identity.process_epoch)
        self._disable(f"its folder is older than one seen with boot {identity.process_epoch - 1}")

    def on_outranked(self, reason: str) -> None:
        """Handle another process that has this instance's identity: nothing is sent from now on."""
        self.context.lease_holder.release()
        self._disable(reason)

    def _disable(self, reason: str) -> None:
        """Stop voting until this instance is removed from the voters and added again."""
        if self.voting_task is None:
            return
        self.non_voting_reason = reason
        log.error(LogEvent("voter disabled, remove and add it again", why=reason))
        if self.replicated_log is not None:
            self.voting_task.cancel()
            self.context.tasks.start(self._close_log())

    # -- process epochs --------------------------------------------------------------------------------------

    async def highest_epoch_seen_by_peers(self) -> int:
        """Return the highest epoch that peers have seen of this folder; ask until a majority has answered."""
        answers: dict[str, int] = {}
        voters = self.current_voters()
        others = [name for name in voters if name != self.context.name]
        deadline = self.context.clock.now() + EPOCH_QUERY_MAX_S
        while 2 * (len(answers) + 1) <= len(voters) and self.context.clock.now() < deadline:
            for name in others:
                if name not in answers:
                    epoch = await self._query_epoch(name)
                    if epoch is not None:
                        answers[name] = epoch
            await asyncio.sleep(EPOCH_QUERY_PAUSE_S)
        return max(answers.values(), default=0)

    async def _query_epoch(self, name: str) -> int | None:
        raw = msgspec.msgpack.encode((self.identity.id, self.identity.process_epoch))
        try:
            answer = await self.context.gossip.request(name, EPOCH_QUERY, raw, REQUEST_TIMEOUT_S)
            return msgspec.msgpack.decode(answer, type=int)
        except (OSError, TimeoutError, msgspec.MsgspecError):
            return None

    def on_epoch_query(self, hello: Hello, raw: bytes) -> bytes:
        """Answer with the highest epoch of an identity that was seen before the asking process.

        Raises OSError, so that there is no answer, if the asker's epoch can't be saved. The answer counts
        towards a majority that knows the asking process: if its epoch were lost, a second process of an older
        copy of the folder could vote again in a term in which this process has voted.
        """
        query: tuple[str, int] = msgspec.msgpack.decode(raw, type=tuple[str, int])
        identity, epoch = query
        saved = self.state.highest_epochs.get(identity)
        previous = self.process_epochs.observe(identity, epoch, hello.nonce)
        if self.state.highest_epochs.get(identity) != saved:
            try:
                self.save_state()
            except OSError as error:
                log.error(LogEvent("peer process epoch not saved", why=error))
                self.process_epochs.undo_observe(identity, saved)
                raise
        return msgspec.msgpack.encode(previous)

    # -- granting leases -------------------------------------------------------------------------------------

    def _on_applied(self) -> None:
        """Handle a change of the history by the log."""
        for version in self.history.versions:
            self.context.lease_holder.add_version(version)
        if self.history.voters_changed_at_ms != self.voters_change_stamp_ms:
            self.voters_change_stamp_ms = self.history.voters_changed_at_ms
            self.voters_change_seen_at = self.context.clock.now()
        self.clear_current_version()
        self._send_hints()
        self.context.renew_now.set()

    def clear_current_version(self) -> None:
        """Clear the current version once no relay holds rules beyond it; the state is saved first."""
        grantor = self.lease_grantor
        if grantor is None or not grantor.clear_current_version(self.context.clock.now()):
            return
        previous = self.state.cleared
        self.state.cleared = grantor.cleared_version
        try:
            self.save_state()
        except OSError as error:
            # Guards against clearing a version that the next process of this voter does not know as cleared.
            grantor.cleared_version = previous
            self.state.cleared = previous
            log.error(LogEvent("version clearance not saved", why=error))
            return
        self._send_hints()
        self.context.renew_now.set()

    def _send_hints(self) -> None:
        """Make the relays renew now instead of at their next interval: something has changed."""
        if self.lease_grantor is not None:
            for name in self.lease_grantor.leases:
                self.context.gossip.send_datagram(name, HINT, b"")

    def on_renewal(self, sender: str, raw: bytes) -> None:
        """Answer a relay's renewal, while this instance votes."""
        if self.lease_grantor is None:
            return
        renewal: LeaseRenewal = msgspec.msgpack.decode(raw, type=LeaseRenewal)
        grant = self.grant_lease(self.lease_grantor, sender, renewal)
        self.context.gossip.send_datagram(sender, GRANT, msgspec.msgpack.encode(grant))

    def grant_lease(self, grantor: LeaseGrantor, relay: str, renewal: LeaseRenewal) -> LeaseGrant:
        """Return the grant for a renewal of a remote relay or of this instance's own."""
        self.clear_current_version()  # saved before any answer can report it
        grant = grantor.on_renewal(self.context.clock.now(), relay, renewal)
        self.clear_current_version()
        return grant

    def on_version_query(self, hello: Hello, raw: bytes) -> bytes:
        """Answer with a version by its number; empty if it is not known."""
        number: int = msgspec.msgpack.decode(raw, type=int)
        version = self.history.get(number)
        return b"" if version is None else msgspec.msgpack.encode(version)

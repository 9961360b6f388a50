"""The ports of the relay: what an intake, a transport and a source of endpoints have to provide.

An *intake* submits messages to the `MessageAcceptor` and passes their final outcomes to the clients. A
*transport* makes one attempt at an endpoint and reports what its result proves. A *source of endpoints*
reports endpoints and their status. None of them decides: which endpoint is called, whether again, and what is
rejected is up to the scheduler, for all of them alike. HTTP/1.1 was the first implementation of each.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..config import Address, Config
from ..decisions.model import Endpoint, Listing, Outcome

# -- intake ------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Submission:
    """A message as an intake has read it; texts are as the client wrote them."""

    id: str  # new for each submission
    class_name: str
    tenant: str
    destination: int
    idempotency_key: str | None
    remaining_ms: int  # how long it may still be delivered
    resubmission: str  # "1": submitted again after a rejection; "again": the relay that had it died
    body: bytes
    origin: str  # the intake that passes on its outcome, and after a space what that intake needs for it


@dataclass(frozen=True, slots=True)
class SubmissionResult:
    """The answer to a submission. An accepted one is journalled, and the relay owes its final outcome."""

    accepted: bool
    is_new: bool = False  # False: it was accepted before
    reason: str = ""
    retry_after_s: float = 0.0  # when a rejected one may be submitted again
    # The client's answer has to wait for it; if it is cancelled, the answer must not be given.
    durable: asyncio.Future[None] | None = None


class InvalidMessageError(Exception):
    """A submission that can never be accepted: the field at fault, and what would be right."""

    def __init__(self, field: str, text: str) -> None:
        super().__init__(f"{field}: {text}")
        self.field = field
        self.text = text


@dataclass(frozen=True, slots=True)
class FinalOutcome:
    """The final answer for a message that was accepted and not delivered."""

    id: str
    state: str  # "failed" promises nothing; "returned": submitting it again is harmless
    retry_after_ms: float = 0.0  # when to submit a returned one again
    origin: str = ""  # as in its submission


class MessageAcceptor(Protocol):
    """Accepts the submissions of all intakes. It answers at once, before the next event of the loop."""

    @property
    def is_ready(self) -> bool:
        """False until the relay has started."""

    @property
    def has_capacity(self) -> bool:
        """False once one more message would displace a pending one: an intake that can wait then does."""

    def accept(self, submission: Submission, /) -> SubmissionResult:
        """Journals a submission, or rejects it. Raises InvalidMessageError."""

    def cancel(self, message_id: str, /) -> bool:
        """Withdraws a message whose client cannot know that it was accepted, and submits it under another id.

        Returns True if no attempt of it was made.
        """

    def mark_notified(self, message_ids: list[str], /) -> None:
        """Records that the outcomes of these messages have been passed on for good."""


class Intake(Protocol):
    """Receives messages from clients, and passes final outcomes on to them."""

    async def open(self) -> None:
        """Starts to receive messages."""

    def notify_outcome(self, outcome: FinalOutcome, /) -> None:
        """Passes on a final outcome, as often as it takes, and then marks it notified at the acceptor.

        It does not outlast the process: what was not marked is passed on again after a restart.
        """

    def reload(self, config: Config, /) -> None:
        """Follows a replaced configuration as far as it concerns the intake; loses nothing."""

    def announce_stop(self) -> None:
        """Tells clients that use their connections that these end soon; goes on receiving messages."""

    def stop(self) -> None:
        """Accepts no more connections; answers what still arrives on those that clients may rely on."""

    @property
    def open_requests(self) -> int:
        """Connections on which a request may still be answered: a stop waits until they have ended."""

    @property
    def pending_outcomes(self) -> int:
        """Final outcomes that are still to be passed on."""

    async def close(self) -> None:
        """Closes all connections at once."""


# -- rules -------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class CallContext:
    """What is known of a call before its first byte."""

    message_id: str
    destination: int
    endpoint: str
    zone: str
    class_name: str
    previous_attempts: int  # before this one
    may_have_run: bool  # one of those may have had an effect
    has_idempotency_key: bool


class CallPolicy(Protocol):
    """Rules from outside the decisions, agreed between instances: they only narrow what decisions allow."""

    def authorize(self, call: CallContext) -> str | None:
        """Called right before the first byte. Returns the label of the rules that allow the call, for the
        endpoint's ledger; None: they do not."""

    def is_still_authorized(self, call: CallContext) -> bool:
        """Called before the last byte, if that was held back."""

    def release(self, destination: int) -> None:
        """A call that was authorized has ended."""

    def record_outcome(self, call: CallContext, outcome: Outcome, latency_ms: float, wait_ms: float) -> None:
        """How a call has ended, or that it was not made."""

    def denial_reason(self, destination: int, class_: str) -> str:
        """Why no new message of this class is accepted for this destination; empty: it may be."""

    def constrained_endpoint(self, name: str, zone: str, entry: Endpoint) -> Endpoint:
        """An endpoint as the scheduler is to see it."""


# -- destinations ------------------------------------------------------------------------------------------


class DestinationInterest(Protocol):
    """The destinations that are loaded, where a relay does not load all. Times are the loop's, in seconds."""

    def is_resident(self, destination: int) -> bool:
        """Whether the destination's data is loaded: only then does `contains` have an answer."""

    def contains(self, destination: int) -> bool:
        """Whether the destination exists, by what is loaded."""

    def request(self, destination: int, due: float) -> None:
        """Loads a destination that a message waits for, until then at the most."""

    def touch(self, destination: int) -> None:
        """The destination is used: a message for it was accepted, or a call to it is made."""

    def is_current(self, destination: int) -> bool:
        """Whether the loaded data is recent enough for a first byte to be sent."""

    async def wait_for_renewal(self) -> None:
        """Returns as soon as `is_current` may have changed."""


# -- transport ---------------------------------------------------------------------------------------------

EndpointKey = tuple[int, Address]  # number and address of an endpoint: another may get the same address


@dataclass(frozen=True, slots=True)
class Attempt:
    """One call with one message."""

    endpoint: int
    address: Address
    trace_id: str
    idempotency_key: str | None
    body: bytes
    deadline_s: float  # on the loop's clock, in seconds
    may_write: Callable[[], bool]  # called right before the first byte, and the last if it is held back
    ambiguity_is_final: bool = False  # an unclear outcome would be final
    policy_label: Callable[[], str] | None = None  # by which rules it is allowed, if there are any
    kind: str = ""  # of the endpoint, as it is listed


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended. What `outcome.proves_no_effect` claims must be true."""

    outcome: Outcome
    retry_after_ms: float = 0.0
    no_connection_slot: bool = False
    is_finished: bool = False  # the endpoint says that nothing more is owed
    is_withheld: bool = False  # nothing of it was sent: with Outcome.NOT_SENT
    load_report: tuple[float, ...] = ()  # the load that the endpoint reports, in the order of the settings


class Transport(Protocol):
    """Makes attempts. The caller makes at most one at a time for each message."""

    async def attempt(self, attempt: Attempt) -> AttemptResult:
        """Makes one attempt, never past its deadline, and never raises for what the other side does.

        Cancelling it gives the attempt up at once.
        """

    def retain_only(self, listed: set[EndpointKey]) -> None:
        """Closes idle connections to all endpoints but these."""

    def endpoint_changed(self, key: EndpointKey, listed: bool) -> None:
        """An endpoint is listed, or is draining, gone or moved: then no idle connection to it is kept."""

    def sweep(self) -> None:
        """Closes what has been idle for too long; called once a second."""

    def close(self) -> None:
        """Closes all idle connections."""


# -- endpoint sources --------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """An endpoint as a source reports it. Its name is the source's own, the same at each relay."""

    name: str
    destination: int
    listing: Listing
    address: Address
    kind: str | None = None
    zone: str | None = None
    rate: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """What a source reports: all endpoints, or those that changed; of some only the status can be read."""

    is_full: bool
    endpoints: tuple[EndpointRecord, ...] = ()
    status_changes: tuple[tuple[str, Listing], ...] = ()
    source: str = ""  # whose endpoints: a full update says nothing of another source's


EndpointUpdateCallback = Callable[[EndpointUpdate], None]


class UpdateMerge(Protocol):
    """Merges the updates of several sources into one list of endpoints."""

    def merge(self, update: EndpointUpdate, now: float, /) -> EndpointUpdate | None:
        """What one source's update changes in the merged list; None: nothing. `now` in seconds."""


class EndpointSource(Protocol):
    """A source of endpoints. What it has received counts as received by the relay."""

    async def run(self, on_update: EndpointUpdateCallback, /) -> None:
        """Reports updates for as long as it runs; never returns by itself."""

    def reload(self, config: Config, /) -> None:
        """Follows a replaced configuration; called while it does not run."""

    def close(self) -> None:
        """Closes its connections."""

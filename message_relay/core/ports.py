"""What plugs into the relay: an intake, a transport, a source of members. Their first kind is HTTP/1.1.

An *intake* hands messages in at the `Desk` and is told how each one ends. A *transport* makes one attempt to
an endpoint and says what its end proves. A *membership source* tells endpoints and their lives. None of them
decides: which endpoint, whether again and what is turned away is the decision module's, for all alike.
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
    """A message as some front has read it; texts are as the client wrote them."""

    id: str  # new each time that a message is handed in
    class_name: str
    tenant: str
    destination: int
    idempotency_key: str | None
    remaining_ms: int  # how long it may still be delivered
    resubmission: str  # "1": handed in again after a refusal; "again": a relay that had it died
    body: bytes
    origin: str  # the front that has to pass on its end, and behind a space what that front needs for it


@dataclass(frozen=True, slots=True)
class SubmissionResult:
    """What became of an offer. Taken: it is in the journal, and the relay owes its end."""

    accepted: bool
    is_new: bool = False  # if not, it was taken on before
    reason: str = ""
    retry_after_s: float = 0.0  # when to come again
    durable: asyncio.Future[None] | None = (
        None  # the answer has to wait for it; cancelled: it must not be given
    )


class InvalidMessageError(Exception):
    """What was handed in can never be taken: which field of the offer it is, and what would be right."""

    def __init__(self, field: str, text: str) -> None:
        super().__init__(f"{field}: {text}")
        self.field, self.text = field, text


@dataclass(frozen=True, slots=True)
class FinalOutcome:
    """The final answer to a message that was taken on and not delivered."""

    id: str
    state: str  # "failed" promises nothing; "returned": handing it in again is harmless
    retry_after_ms: float = 0.0  # and when
    origin: str = ""  # as its offer had it


class MessageAcceptor(Protocol):
    """Where every intake hands in. It answers at once, before the next event of the loop."""

    @property
    def is_ready(self) -> bool:
        """False until what an earlier process left is taken up."""

    @property
    def has_capacity(self) -> bool:
        """False once another message would cost one that is held its place: a front that can wait does."""

    def accept(self, offer: Submission) -> SubmissionResult:
        """Journals it and owes its end, or refuses it. Raises Malformed."""

    def cancel(self, ident: str) -> bool:
        """Its client cannot have heard that it was taken, and hands it in again under another id. True:
        nothing of it has gone out."""

    def mark_notified(self, idents: list[str]) -> None:
        """Their ends have been passed on for good."""


class Intake(Protocol):
    """A front that hands messages in."""

    async def open(self) -> None:
        """Begins to take messages."""

    def notify_outcome(self, end: FinalOutcome) -> None:
        """Passes on a final answer, as often as it takes, and then tells the desk. Survives no process: what
        the desk was not told of comes again after a restart."""

    def reload(self, config: Config) -> None:
        """Follows a replaced configuration, as far as it concerns it; loses nothing."""

    def stop(self) -> None:
        """Takes no more messages, but answers those that have been read in part."""

    @property
    def open_requests(self) -> int:
        """Requests that are still to be answered."""

    @property
    def pending_outcomes(self) -> int:
        """Ends that are still to be passed on."""

    async def close(self) -> None:
        """Gives up everything."""


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
    may_have_run: bool  # one of those may have run
    has_idempotency_key: bool


class CallPolicy(Protocol):
    """Rules from outside the decisions, on which instances agree: they only ever narrow what these allow."""

    def authorize(self, call: CallContext) -> str | None:
        """Asked right before the first byte: by what it is allowed, for the partner's ledger; None: it is
        not."""

    def is_still_authorized(self, call: CallContext) -> bool:
        """Asked before the last byte, if that was held back."""

    def release(self, destination: int) -> None:
        """A call that was allowed has ended."""

    def record_outcome(self, call: CallContext, outcome: Outcome, latency_ms: float, wait_ms: float) -> None:
        """How a call has ended, or that it did not come about."""

    def denial_reason(self, destination: int, class_: str) -> str:
        """Why no new message is taken for there; empty: it may be."""

    def constrained_endpoint(self, name: str, zone: str, entry: Endpoint) -> Endpoint:
        """An endpoint as the decisions are to see it."""


# -- interest ----------------------------------------------------------------------------------------------


class DestinationInterest(Protocol):
    """Which destinations are known, where a relay does not know all of them. Times on the loop's clock, in
    seconds."""

    def is_resident(self, destination: int) -> bool:
        """Whether what there is of it has come: only then does it say whether there is one."""

    def contains(self, destination: int) -> bool:
        """Whether there is one, by what has come."""

    def request(self, destination: int, due: float) -> None:
        """A message waits for it, until then at the most, and what there is of it has not come."""

    def touch(self, destination: int) -> None:
        """A message for it was taken, or a call to it is made."""

    def is_current(self, destination: int) -> bool:
        """Whether a first byte may go out by what is known of it."""

    async def wait_for_renewal(self) -> None:
        """Returns as soon as `current` may have changed."""


# -- transport ---------------------------------------------------------------------------------------------

EndpointKey = tuple[int, Address]  # an endpoint's number and where it is: another may come to its address


@dataclass(frozen=True, slots=True)
class Attempt:
    """One call with one message."""

    endpoint: int
    address: Address
    trace_id: str
    idempotency_key: str | None
    body: bytes
    deadline_s: float  # on the loop's clock, in seconds
    may_write: Callable[[], bool]  # asked right before the first byte, and the last if it is held back
    ambiguity_is_final: bool = False  # an unclear outcome would be final
    policy_label: Callable[[], str] | None = None  # by which rules it is made, if there are any
    kind: str = ""  # of the endpoint, as it is listed


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended. What `outcome.proves_no_effect` says must be true: see interface.Outcome."""

    outcome: Outcome
    retry_after_ms: float = 0.0
    no_connection_slot: bool = False
    finished: bool = False  # the endpoint says that nothing more is owed
    withheld: bool = False  # nothing of it went out: with Outcome.NOT_SENT
    load_report: tuple[float, ...] = ()  # what the endpoint says of its load, in the order of the settings


class Transport(Protocol):
    """Makes attempts; at most one is out for a message, which is the caller's care."""

    async def attempt(self, attempt: Attempt) -> AttemptResult:
        """Makes one attempt; never later than it may, and never raises for what the other side does.
        Cancelling it gives it up at once."""

    def retain_only(self, listed: set[EndpointKey]) -> None:
        """These endpoints are all there are."""

    def endpoint_changed(self, key: EndpointKey, listed: bool) -> None:
        """This endpoint has come, or drains, is gone or has moved: nothing idle is kept to it."""

    def sweep(self) -> None:
        """Once a second: drops what has stood idle too long."""

    def close(self) -> None:
        """Gives up what is idle."""


# -- membership --------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """An endpoint as a source tells it. `name` is its own, the same at each relay."""

    name: str
    destination: int
    listing: Listing
    address: Address
    kind: str | None = None
    zone: str | None = None
    rate: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """What a source has to tell: all members, or those that changed. Of some only their life can be read."""

    is_full: bool
    endpoints: tuple[EndpointRecord, ...] = ()
    status_changes: tuple[tuple[str, Listing], ...] = ()
    source: str = ""  # whose members: another source's are not meant by `whole`


EndpointUpdateCallback = Callable[[EndpointUpdate], None]


class UpdateMerge(Protocol):
    """Merges the updates of several sources into one list of endpoints."""

    def merge(self, update: EndpointUpdate, now: float, /) -> EndpointUpdate | None:
        """What one source's update changes in the merged list; None: nothing. `now` in seconds."""


class EndpointSource(Protocol):
    """A source of endpoints. What it has been told counts as told to the relay."""

    async def run(self, on_update: EndpointUpdateCallback) -> None:
        """Tells what changes, for as long as it runs; never ends by itself."""

    def reload(self, config: Config) -> None:
        """Follows a replaced configuration; called while it does not run."""

    def close(self) -> None:
        """Ends its connections."""

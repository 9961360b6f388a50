"""The ports of the relay: interfaces that intakes, transports and endpoint sources implement.

An *intake* submits messages to the `MessageAcceptor` and passes their final outcomes to the clients. A
*transport* makes one attempt at an endpoint and reports what its result proves. An *endpoint source* reports
endpoints and their status. None of them makes decisions: the scheduler chooses endpoints, retries and
rejections for all implementations alike. HTTP/1.1 was the first implementation of each port.
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
    """A message as an intake has read it; texts are unchanged from the client's request."""

    id: str  # new for each submission
    class_name: str
    tenant: str
    destination: int
    idempotency_key: str | None
    remaining_ms: int  # time left in which it may be delivered
    resubmission: str  # "1": submitted again after a rejection; "again": the relay that had it died
    body: bytes
    origin: str  # name of the intake that passes on its outcome; after a space, data for that intake
    # Its source keeps a copy, which any relay may receive until this intake confirms the handover.
    is_redeliverable: bool = False


@dataclass(frozen=True, slots=True)
class SubmissionResult:
    """The result of a submission. An accepted message is journalled, and the relay owes its final outcome."""

    accepted: bool
    is_new: bool = False  # False: a repeated submission
    reason: str = ""
    may_have_run: bool = False  # of a message that is not accepted: it must not be submitted again
    retry_after_s: float = 0.0  # delay until a rejected message may be submitted again
    # The response to the client waits for this future; if it is cancelled, no response may be sent.
    durable: asyncio.Future[None] | None = None
    # No attempt is made before `confirm_handover`; the intake calls that or `abandon_handover`, if it learns.
    awaits_handover: bool = False


class InvalidMessageError(Exception):
    """A submission that can never be accepted. Names the invalid field and describes a valid value."""

    def __init__(self, field: str, text: str) -> None:
        super().__init__(f"{field}: {text}")
        self.field = field
        self.text = text


@dataclass(frozen=True, slots=True)
class FinalOutcome:
    """The final outcome of a message that was accepted and not delivered."""

    id: str
    state: str  # "failed": no statement about effects; "returned": it is safe to submit again
    retry_after_ms: float = 0.0  # delay until a returned message may be submitted again
    origin: str = ""  # as in its submission


class MessageAcceptor(Protocol):
    """Accepts the submissions of all intakes, synchronously."""

    @property
    def is_ready(self) -> bool:
        """False until the relay has started."""

    @property
    def has_capacity(self) -> bool:
        """False once one more message would displace a pending one, or too many await their handover.

        An intake that can wait does so.
        """

    def accept(self, submission: Submission, /) -> SubmissionResult:
        """Journals a submission, or rejects it. Raises InvalidMessageError."""

    def cancel(self, message_id: str, /) -> bool:
        """Withdraws a message whose client got no response, and will resubmit it under another id.

        Returns True if no attempt of it was made.
        """

    def mark_notified(self, message_ids: list[str], /) -> None:
        """Records that the clients of these messages have received the final outcomes."""


class HandoverAcceptor(MessageAcceptor, Protocol):
    """Also accepts messages of which the source keeps a copy until it has confirmed the handover."""

    def has_message(self, message_id: str, /) -> bool:
        """Whether a message was accepted before: its submission needs no capacity."""

    def confirm_handover(self, message_id: str, /) -> None:
        """Notes that the source of a message has given up its copy: no relay will receive it again."""

    def abandon_handover(self, message_id: str, /) -> None:
        """Notes that the source of a submission was not asked to give up its copy: it is delivered again."""


class Intake(Protocol):
    """Receives messages from clients, and passes final outcomes on to them."""

    async def open(self) -> None:
        """Starts to receive messages."""

    def notify_outcome(self, outcome: FinalOutcome, /) -> None:
        """Passes on a final outcome, with retries, and then marks it notified at the acceptor.

        Queued outcomes are not persistent: those not marked are passed on again after a restart.
        """

    def reload(self, config: Config, /) -> None:
        """Applies a replaced configuration as far as it concerns the intake, without losing outcomes."""

    def announce_stop(self) -> None:
        """Announces on connections in use that they end soon; still receives messages."""

    def stop(self) -> None:
        """Accepts no more connections; requests on those that clients may rely on are still answered."""

    @property
    def open_requests(self) -> int:
        """Connections on which a request may still be answered; a stop waits until they are closed."""

    @property
    def pending_outcomes(self) -> int:
        """Final outcomes that are still to be passed on."""

    async def close(self) -> None:
        """Closes all connections at once."""


# -- rules -------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class CallContext:
    """The data of a call that is available before its first byte."""

    message_id: str
    destination: int
    endpoint: str
    zone: str
    class_name: str
    previous_attempts: int  # not counting this one
    may_have_run: bool  # a previous attempt may have had an effect
    has_idempotency_key: bool


class CallPolicy(Protocol):
    """Rules that the instances agree on. They can only restrict what the scheduler would allow."""

    def authorize(self, call: CallContext) -> str | None:
        """Called right before the first byte. Returns the label of the rules that allow the call, for the
        endpoint's ledger; None if they do not allow it."""

    def is_still_authorized(self, call: CallContext) -> bool:
        """Called before the last byte, if that was withheld."""

    def release(self, destination: int) -> None:
        """Releases the reservation of an authorized call that has ended."""

    def record_outcome(self, call: CallContext, outcome: Outcome, latency_ms: float, wait_ms: float) -> None:
        """Records how a call ended, or that it was not made."""

    def denial_reason(self, destination: int, class_: str) -> str:
        """Returns why no new message of this class is accepted for this destination; empty if it may be."""

    def constrained_endpoint(self, name: str, zone: str, entry: Endpoint) -> Endpoint:
        """Returns the endpoint with the restrictions of the rules applied, for the scheduler."""


# -- destinations ------------------------------------------------------------------------------------------


class DestinationInterest(Protocol):
    """The loaded destinations of a relay that loads them on demand. Times: the loop's clock, in seconds."""

    def is_resident(self, destination: int) -> bool:
        """Returns whether the destination's data is loaded; `contains` is valid only then."""

    def contains(self, destination: int) -> bool:
        """Returns whether the destination exists in the loaded data."""

    def request(self, destination: int, due: float) -> None:
        """Loads a destination that a message waits for; gives up at time `due`."""

    def touch(self, destination: int) -> None:
        """Marks the destination as in use: a message for it was accepted, or a call to it is made."""

    def is_current(self, destination: int) -> bool:
        """Returns whether the loaded data is recent enough to send a first byte."""

    async def wait_for_renewal(self) -> None:
        """Returns as soon as `is_current` may have changed."""


# -- transport ---------------------------------------------------------------------------------------------

EndpointKey = tuple[int, Address]  # number and address of an endpoint; another endpoint may reuse the address


@dataclass(frozen=True, slots=True)
class Attempt:
    """One call with one message."""

    endpoint: int
    address: Address
    trace_id: str
    idempotency_key: str | None
    body: bytes
    deadline_s: float  # on the loop's clock, in seconds
    may_write: Callable[[], bool]  # called right before the first byte, and before a withheld last byte
    ambiguity_is_final: bool = False  # an ambiguous outcome would be final, as the message may not be retried
    policy_label: Callable[[], str] | None = None  # label of the rules that allow it; None without rules
    kind: str = ""  # kind of the endpoint, as listed
    on_late_connection: Callable[[], None] = lambda: None  # called while a connection takes long to establish


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended. What `outcome.proves_no_effect` claims must be true."""

    outcome: Outcome
    retry_after_ms: float = 0.0
    no_connection_slot: bool = False
    is_finished: bool = False  # the endpoint reported that the message needs no further attempt
    is_withheld: bool = False  # the relay sent no byte of it; the outcome is NOT_SENT
    load_report: tuple[float, ...] = ()  # the load that the endpoint reports, in the order of the settings


class Transport(Protocol):
    """Makes attempts. The caller runs at most one at a time for each message."""

    async def attempt(self, attempt: Attempt) -> AttemptResult:
        """Makes one attempt, never past its deadline. Failures of the peer are returned, not raised.

        Cancelling the task aborts the attempt at once.
        """

    def retain_only(self, listed: set[EndpointKey]) -> None:
        """Closes idle connections to all endpoints but these."""

    def endpoint_changed(self, key: EndpointKey, listed: bool) -> None:
        """Updates one endpoint: if it is draining, gone or moved, its idle connections are closed."""

    def sweep(self) -> None:
        """Closes connections that were idle for too long; called once a second."""

    def close(self) -> None:
        """Closes all idle connections."""


# -- endpoint sources --------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """An endpoint as a source reports it. The source assigns its name, which is the same at each relay."""

    name: str
    destination: int
    listing: Listing
    address: Address
    kind: str | None = None
    zone: str | None = None
    rate: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """A report of a source: all endpoints, or those that changed.

    `status_changes` has the endpoints of which only the status was readable.
    """

    is_full: bool
    endpoints: tuple[EndpointRecord, ...] = ()
    status_changes: tuple[tuple[str, Listing], ...] = ()
    source: str = ""  # name of the source; a full update does not affect the endpoints of other sources


EndpointUpdateCallback = Callable[[EndpointUpdate], None]


class UpdateMerge(Protocol):
    """Merges the updates of several sources into one list of endpoints."""

    def merge(self, update: EndpointUpdate, now: float, /) -> EndpointUpdate | None:
        """Returns the change to the merged list; None if nothing changed. `now` is in seconds."""


class EndpointSource(Protocol):
    """A source of endpoints. An update that it has received counts as received by the relay."""

    async def run(self, on_update: EndpointUpdateCallback, /) -> None:
        """Reports updates until it is cancelled."""

    def reload(self, config: Config, /) -> None:
        """Applies a replaced configuration; called while `run` is not running."""

    def close(self) -> None:
        """Closes its connections."""

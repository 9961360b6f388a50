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
from ..decisions.interface import Endpoint, Listing, Outcome

# -- intake ------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Offer:
    """A message as some front has read it; texts are as the client wrote them."""

    id: str  # new each time that a message is handed in
    class_: str
    tenant: str
    dest: int
    key: str | None
    left_ms: int  # how long it may still be delivered
    again: str  # "1": handed in again after a refusal; "again": a relay that had it died
    body: bytes
    origin: str  # the front that has to pass on its end, and behind a space what that front needs for it


@dataclass(frozen=True, slots=True)
class Receipt:
    """What became of an offer. Taken: it is in the journal, and the relay owes its end."""

    taken: bool
    new: bool = False  # if not, it was taken on before
    why: str = ""
    retry_s: float = 0.0  # when to come again
    when: asyncio.Future[None] | None = None  # the answer has to wait for it; cancelled: it must not be given


class Malformed(Exception):
    """What was handed in can never be taken: which field of the offer it is, and what would be right."""

    def __init__(self, field: str, text: str) -> None:
        super().__init__(f"{field}: {text}")
        self.field, self.text = field, text


@dataclass(frozen=True, slots=True)
class End:
    """The final answer to a message that was taken on and not delivered."""

    id: str
    state: str  # "failed" promises nothing; "returned": handing it in again is harmless
    after_ms: float = 0.0  # and when
    origin: str = ""  # as its offer had it


class Desk(Protocol):
    """Where every intake hands in. It answers at once, before the next event of the loop."""

    @property
    def ready(self) -> bool:
        """False until what an earlier process left is taken up."""

    @property
    def roomy(self) -> bool:
        """False once another message would cost one that is held its place: a front that can wait does."""

    def take(self, offer: Offer) -> Receipt:
        """Journals it and owes its end, or refuses it. Raises Malformed."""

    def withdraw(self, ident: str) -> bool:
        """Its client cannot have heard that it was taken, and hands it in again under another id. True:
        nothing of it has gone out."""

    def told(self, idents: list[str]) -> None:
        """Their ends have been passed on for good."""


class Intake(Protocol):
    """A front that hands messages in."""

    async def open(self) -> None:
        """Begins to take messages."""

    def end(self, end: End) -> None:
        """Passes on a final answer, as often as it takes, and then tells the desk. Survives no process: what
        the desk was not told of comes again after a restart."""

    def reload(self, config: Config) -> None:
        """Follows a replaced configuration, as far as it concerns it; loses nothing."""

    def stop(self) -> None:
        """Takes no more messages, but answers those that have been read in part."""

    @property
    def reading(self) -> int:
        """Requests that are still to be answered."""

    @property
    def unsettled(self) -> int:
        """Ends that are still to be passed on."""

    async def close(self) -> None:
        """Gives up everything."""


# -- rules -------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Call:
    """What is known of a call before its first byte."""

    message: str
    destination: int
    endpoint: str
    zone: str
    class_: str
    tries: int  # before this one
    risk: bool  # one of those may have run
    key: bool


class Permits(Protocol):
    """Rules from outside the decisions, on which instances agree: they only ever narrow what these allow."""

    def may(self, call: Call) -> str | None:
        """Asked right before the first byte: by what it is allowed, for the partner's ledger; None: it is
        not."""

    def still(self, call: Call) -> bool:
        """Asked before the last byte, if that was held back."""

    def over(self, destination: int) -> None:
        """A call that was allowed has ended."""

    def seen(self, call: Call, outcome: Outcome, latency_ms: float, wait_ms: float) -> None:
        """How a call has ended, or that it did not come about."""

    def bars(self, destination: int, class_: str) -> str:
        """Why no new message is taken for there; empty: it may be."""

    def entry(self, name: str, zone: str, entry: Endpoint) -> Endpoint:
        """An endpoint as the decisions are to see it."""


# -- interest ----------------------------------------------------------------------------------------------


class Interest(Protocol):
    """Which destinations are known, where a relay does not know all of them. Times on the loop's clock, in
    seconds."""

    def here(self, destination: int) -> bool:
        """Whether what there is of it has come: only then does it say whether there is one."""

    def knows(self, destination: int) -> bool:
        """Whether there is one, by what has come."""

    def want(self, destination: int, due: float) -> None:
        """A message waits for it, until then at the most, and what there is of it has not come."""

    def use(self, destination: int) -> None:
        """A message for it was taken, or a call to it is made."""

    def current(self, destination: int) -> bool:
        """Whether a first byte may go out by what is known of it."""

    async def renewed(self) -> None:
        """Returns as soon as `current` may have changed."""


# -- transport ---------------------------------------------------------------------------------------------

Key = tuple[int, Address]  # an endpoint's number and where it is: another may come to its address


@dataclass(frozen=True, slots=True)
class Attempt:
    """One call with one message."""

    endpoint: int
    address: Address
    trace_id: str
    key: str | None
    body: bytes
    give_up_at: float  # on the loop's clock, in seconds
    may_write: Callable[[], bool]  # asked right before the first byte, and the last if it is held back
    careful: bool = False  # an unclear outcome would be final
    mark: Callable[[], str] | None = None  # by which rules it is made, if there are any
    kind: str = ""  # of the endpoint, as it is listed


@dataclass(frozen=True, slots=True)
class Result:
    """How an attempt ended. What `outcome.proves_no_effect` says must be true: see interface.Outcome."""

    outcome: Outcome
    wait_ms: float = 0.0
    no_slot: bool = False
    over: bool = False  # the endpoint says that nothing more is owed
    held_back: bool = False  # nothing of it went out: with Outcome.NOT_SENT
    report: tuple[float, ...] = ()  # what the endpoint says of its load, in the order of the settings


class Transport(Protocol):
    """Makes attempts; at most one is out for a message, which is the caller's care."""

    async def attempt(self, attempt: Attempt) -> Result:
        """Makes one attempt; never later than it may, and never raises for what the other side does.
        Cancelling it gives it up at once."""

    def keep_only(self, listed: set[Key]) -> None:
        """These endpoints are all there are."""

    def changed(self, key: Key, listed: bool) -> None:
        """This endpoint has come, or drains, is gone or has moved: nothing idle is kept to it."""

    def sweep(self) -> None:
        """Once a second: drops what has stood idle too long."""

    def close(self) -> None:
        """Gives up what is idle."""


# -- membership --------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Member:
    """An endpoint as a source tells it. `name` is its own, the same at each relay."""

    name: str
    destination: int
    listing: Listing
    address: Address
    kind: str | None = None
    zone: str | None = None
    rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Update:
    """What a source has to tell: all members, or those that changed. Of some only their life can be read."""

    whole: bool
    members: tuple[Member, ...] = ()
    lives: tuple[tuple[str, Listing], ...] = ()
    source: str = ""  # whose members: another source's are not meant by `whole`


Told = Callable[[Update], None]


class Membership(Protocol):
    """A source of endpoints. What it has been told counts as told to the relay."""

    async def run(self, told: Told) -> None:
        """Tells what changes, for as long as it runs; never ends by itself."""

    def reload(self, config: Config) -> None:
        """Follows a replaced configuration; called while it does not run."""

    def close(self) -> None:
        """Ends its connections."""

"""Packing of claims into packets: piggybacked ones, and the replies of a full exchange. No I/O."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator, Mapping

from .dissemination_queue import DisseminationQueue
from .wire import Claim, MemberState, Sync, encoded_size

CLAIMS_BYTES_MAX = 1000  # of claims in one packet
CLAIMS_EXAMINED_MAX = 40  # for one packet, which has room for 25 at most
DISSEMINATION_FACTOR = 3.0  # times log2(members): sends of each claim, so that nearly all get it (SWIM, 4.1)


def select_claims(
    own_claim: Claim,
    members: Mapping[str, Claim],
    queue: DisseminationQueue,
    recipient: str,
) -> tuple[Claim, ...]:
    """Return the queued claims that fit into one packet, the least sent first, and mark them as sent.

    A recipient that is believed suspect or departed gets the claim about itself first, so that it may refute
    it.
    """
    selected: list[Claim] = []
    free_bytes = CLAIMS_BYTES_MAX
    about_recipient = members.get(recipient)
    if about_recipient is not None and about_recipient.state is not MemberState.ALIVE:
        selected.append(about_recipient)
        free_bytes -= encoded_size(about_recipient)
    send_limit = math.ceil(DISSEMINATION_FACTOR * math.log2(len(members) + 2))
    for name in queue.least_sent(CLAIMS_EXAMINED_MAX):
        claim = own_claim if name == own_claim.name else members.get(name)
        if claim is None:
            queue.drop(name)
            continue
        if claim in selected:
            continue
        size = encoded_size(claim)
        if size > free_bytes:
            break
        selected.append(claim)
        free_bytes -= size
        queue.mark_sent(name, send_limit)
    return tuple(selected)


def pack_claims(own_claim: Callable[[], Claim], claims: Iterable[Claim]) -> Iterator[Sync]:
    """Yield as many packets as the claims need, each starting with the sender's own claim at that moment."""
    packed = [own_claim()]
    free_bytes = CLAIMS_BYTES_MAX - encoded_size(packed[0])
    for claim in claims:
        size = encoded_size(claim)
        if size > free_bytes:
            yield Sync(False, tuple(packed))
            packed = [own_claim()]
            free_bytes = CLAIMS_BYTES_MAX - encoded_size(packed[0])
        packed.append(claim)
        free_bytes -= size
    yield Sync(False, tuple(packed))

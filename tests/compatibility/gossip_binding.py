"""Plain values of gossip packets and of the frames on connections between instances.

A rename in the product changes this module and not the fixtures, whose keys are neutral.
"""

from __future__ import annotations

from random import Random
from typing import Any

from message_relay.gossip.framing import Hello, encode_frame
from message_relay.gossip.swim import Swim
from message_relay.gossip.wire import (
    Ack,
    AppMessage,
    Claim,
    Nack,
    Packet,
    Ping,
    IndirectPing,
    IdentityConflict,
    MemberState,
    Sync,
    seal_packet,
)

Values = dict[str, Any]


def claim_values(claim: Claim) -> Values:
    return {
        "name": claim.name,
        "identity": claim.id,
        "boot": claim.process_epoch,
        "process nonce": claim.nonce,
        "incarnation": claim.incarnation,
        "state number": int(claim.state),
        "host": claim.host,
        "port": claim.port,
        "zone": claim.zone,
        "capability bits": claim.capabilities,
        "suspected by": claim.suspected_by,
    }


def claims_values(claims: tuple[Claim, ...]) -> list[Values]:
    return [claim_values(claim) for claim in claims]


def _gossip_body(body: object) -> Values:
    match body:
        case Ping():
            return {"ping": body.sequence, "target": body.target, "claims": claims_values(body.claims)}
        case Ack():
            return {"acknowledgement": body.sequence, "claims": claims_values(body.claims)}
        case IndirectPing():
            return {
                "indirect ping": body.sequence,
                "target": body.target,
                "claims": claims_values(body.claims),
            }
        case Nack():
            return {"negative acknowledgement": body.sequence}
        case Sync():
            return {
                "answer wanted": body.wants_reply,
                "claims": claims_values(body.claims),
                "sum of all": body.checksum,
                "sums of parts": body.slice_checksums.hex(),
            }
        case IdentityConflict():
            return {"refused for": claim_values(body.claim)}
        case AppMessage():
            return {"application kind": body.kind, "payload": body.body.hex()}
    raise TypeError(type(body))


def packet_values(packet: Packet) -> Values:
    return {"sender": packet.sender, "process nonce": packet.nonce, "body": _gossip_body(packet.body)}


def member_state_numbers() -> Values:
    return {
        "joining": int(MemberState.JOINING),
        "alive": int(MemberState.ALIVE),
        "suspect": int(MemberState.SUSPECT),
        "dead": int(MemberState.DEAD),
        "left": int(MemberState.LEFT),
    }


def gossip_conversation(steps: int, silent_from: int) -> dict[str, str]:
    """Returns the first packet of each kind, in hex, of three members; the third falls silent at a step."""
    members: dict[tuple[str, int], Swim] = {}
    for number in range(3):
        address = ("127.0.0.1", 4000 + number)
        claim = Claim(
            f"n{number}", f"id-{number}", 1, 100 + number, 0, MemberState.JOINING, *address, "z", 15
        )
        seeds = () if number == 0 else (("127.0.0.1", 4000),)
        members[address] = Swim(claim, seeds, Random(number))
    first_packets: dict[str, str] = {}
    for step in range(steps):
        now = 0.1 * step
        if step == steps - 1:
            members["127.0.0.1", 4000].leave()
        for address, member in members.items():
            if address[1] == 4002 and step >= silent_from:
                continue
            member.tick(now)
            outgoing, member.outbox = member.outbox, []
            for target, body in outgoing:
                packet = Packet(member.own_claim.name, member.own_claim.nonce, body)
                first_packets.setdefault(
                    str(type(body).__struct_config__.tag), seal_packet(packet, b"").hex()
                )
                if target in members and not (target[1] == 4002 and step >= silent_from):
                    members[target].receive(now, packet.sender, packet.nonce, body)
    return first_packets


def connection_frame(payload: bytes, secret: bytes) -> bytes:
    return encode_frame(payload, secret)


def hello_values(hello: Hello) -> Values:
    return {"sender": hello.sender, "kind": hello.kind, "process nonce": hello.nonce}

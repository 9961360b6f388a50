"""Samples of every message between instances in JSON form, with all fields set and with defaults."""

from __future__ import annotations

from base64 import b64encode
from typing import Any


def _bytes(raw: bytes) -> str:
    return b64encode(raw).decode()


CLAIM = ["n3", "id-3", 4, 123456789, 5, 2, "10.0.0.3", 7946, "zone-a", 15, "n9"]
SHORT_CLAIM = ["n4", "id-4", 1, 9, 0, 1, "10.0.0.4", 7946]
STATES = [["n5", "id-5", 1, 9, 0, state, "::1", 1] for state in range(5)]

RULES = {
    "destinations": {
        "7": {"rate": 12.5, "slots": 3, "endpoints": ["e-2", "e-1"]},
        "8": {"closed": True},
        "*": {"rate": 100.0},
    },
    "classes": {"pay": {"effect": "keyed", "attempts": 3}, "bulk": {"closed": True}},
    "policies": {"zones": ["zone-a", "zone-b"], "evacuated": ["zone-c"]},
    "flows": {
        "7": {
            "bound": {"zone-a": {"zone-b": 4.0}, "*": {"zone-b": 9.0}},
            "spare": {"zone-b": 1.5},
            "share": {"zone-a": {"zone-b": 0.25}},
        }
    },
    "zones": {"zone-a": 3, "zone-b": 4},
}
RULES_TEXT = '{"destinations":{"7":{"rate":12.5}}}'
GUARD = {"least_ratio": 0.8, "least_count": 10, "watch_s": 5.0, "promote": True}

LAYOUT = [8192, [0, 3, 5]]
ROW = ["s-1", 7, 1, "10.1.0.1", 8080, "k", "zone-a", 50.5]
SHORT_ROW = ["s-2", 8, 0, "10.1.0.2", 8081]
PARTS = [["w", 12, [ROW, SHORT_ROW]], ["c", 13, [SHORT_ROW]], ["s", 14]]

MESSAGES: dict[str, dict[str, Any]] = {
    "gossip": {
        "ping": ["n1", 77, ["p", 9, "n2", [CLAIM, SHORT_CLAIM]]],
        "ping without claims": ["n1", 77, ["p", 9, "n2"]],
        "acknowledgement": ["n2", 78, ["a", 9, [CLAIM]]],
        "acknowledgement without claims": ["n2", 78, ["a", 9]],
        "indirect ping": ["n1", 77, ["f", 10, "n3", [CLAIM]]],
        "indirect ping without claims": ["n1", 77, ["f", 10, "n3"]],
        "negative acknowledgement": ["n4", 79, ["n", 10]],
        "synchronisation": ["n1", 77, ["s", True, [CLAIM, SHORT_CLAIM], 4242, _bytes(bytes(range(32)))]],
        "synchronisation without sums": ["n1", 77, ["s", False, STATES]],
        "refusal": ["n2", 78, ["r", CLAIM]],
        "application": ["n2", 78, ["x", "renew", _bytes(b"\x00\x01payload")]],
    },
    "sealed gossip": {"ping": ["n1", 77, ["p", 9, "n2", [CLAIM]]]},
    "hello": {"full": ["n1", "version", 77], "without a nonce": ["n1", "version"]},
    "lease renewal": {
        "full": [3, 77, 12, "0123456789abcdef/n0,n1", [4, 5], 2, [100, 110], True],
        "defaults": [3, 77, 12, "0123456789abcdef/n0,n1", [], 0],
    },
    "lease grant": {
        "full": [12, True, 5, 4, 5, 6, "overtaken"],
        "defaults": [12, False, 0, 4, 5],
    },
    "boot question": {"full": ["id-3", 4]},
    "boot answer": {"full": 3, "none": 0},
    "version question": {"full": 17},
    "version": {
        "full": {
            "number": 6,
            "digest": "0123456789abcdef",
            "rules": _bytes(RULES_TEXT.encode()),
            "voters": ["n0", "n1"],
            "author": "operator",
            "cause": "less load",
            "at_ms": 1700000000000.5,
            "stage": "trial",
            "share": 0.25,
            "guard": GUARD,
            "of": 2,
        },
        **{
            f"defaults, {stage}": {
                "number": 1,
                "digest": "d",
                "rules": _bytes(b"{}"),
                "voters": [],
                "author": "a",
                "cause": "c",
                "at_ms": 0.0,
                "stage": stage,
            }
            for stage in ("trial", "current", "past", "withdrawn")
        },
    },
    "command": {
        "proposal": {
            "type": "propose",
            "base": 5,
            "rules": _bytes(RULES_TEXT.encode()),
            "author": "operator",
            "cause": "less load",
            "at_ms": 1700000000000.5,
            "share": 0.25,
            "guard": GUARD,
            "of": 2,
        },
        "proposal with defaults": {
            "type": "propose",
            "base": 5,
            "rules": _bytes(b"{}"),
            "author": "operator",
            "cause": "open",
            "at_ms": 1.0,
        },
        "promotion": {"type": "promote", "number": 6, "author": "operator"},
        "withdrawal": {"type": "withdraw", "number": 6, "author": "guard", "cause": "harm"},
        "voters": {
            "type": "voters",
            "base": 6,
            "add": "n4",
            "remove": "",
            "author": "operator",
            "at_ms": 2.0,
        },
        "forgotten": {"type": "forget", "name": "n9", "boot": 4, "author": "operator", "at_ms": 3.0},
    },
    "command answer": {"full": {"number": 6, "refused": "base: another"}, "defaults": {}},
    "operator's question": {
        "full": {
            "ask": "propose",
            "rules": {"destinations": {"7": {"rate": 12.5}}},
            "author": "operator",
            "cause": "less load",
            "base": 5,
            "number": 6,
            "share": 0.25,
            "guard": GUARD,
            "add": 4,
            "remove": 3,
            "name": "zone-a",
            "message": "m-1",
        },
        "defaults": {"ask": "status"},
    },
    "rules": {"full": RULES, "defaults": {}},
    "evidence": {
        "full": [
            "n1",
            77,
            12,
            1,
            "zone-a",
            0.5,
            0.25,
            [[7, "anywhere 1", 12.5]],
            [[7, "zone-b", 10, 5, 4, 2, [[3, 4], [7, 1]]], [8, "zone-a", 0, 0, 0, 0, [], 3]],
        ],
        "defaults": ["n1", 77, 12, 0, "zone-a", 0.0, 0.0],
        "short cell": ["n1", 77, 12, 0, "zone-a", 0.0, 0.0, [], [[-1, "zone-b"]]],
    },
    "shards": {
        "request": [
            "a",
            9,
            LAYOUT,
            [1, 400],
            _bytes(b"\x78\x01bits"),
            [[12, 500.0]],
            [[13, 2**63 + 5]],
            [1, 401],
            _bytes(b"\x78\x01more"),
        ],
        "request with defaults": ["a", 9, LAYOUT, [0, -1], ""],
        "answer": ["A", 9, [1, 402], PARTS, False, [1, 300], 12.5, 5555, 99.5, [1, 401]],
        "answer with defaults": ["A", 9, [1, 402], [], True, [0, -1], 0.0, 5555, 0.0],
        "busy": ["B", 9, 250.0],
        "other layout": ["O", 9, LAYOUT, True],
        "other layout with defaults": ["O", 9, LAYOUT],
        "digest": ["d", 2**63 + 1, [1, 402], 2**62, 2**64 - 1, 12.5, 5555, 99.5],
    },
    "shard rows": {"rows": [ROW, SHORT_ROW], "none": []},
}

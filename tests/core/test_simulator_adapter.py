"""The simulator adapter: documented byte sequences, a session with a child process, malformed input."""

import json
import os
import struct
import subprocess
import sys
from typing import Any

import pytest

from message_relay import simulator_adapter
from message_relay.decisions.actions import (
    Action,
    Cancel,
    Fail,
    Log,
    Probe,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from message_relay.decisions.events import (
    AttemptCompleted,
    EndpointList,
    Event,
    Message,
    MessageCancelled,
    TimerFired,
)
from message_relay.decisions.model import Endpoint, Listing, ListKind, Outcome

SETTINGS: dict[str, Any] = {
    "az": 0,
    "balancers": 2,
    "classes": [
        {
            "aim-ms": 400.0,
            "deadline-ms": 4000.0,
            "dedup-scope": "all",
            "effect": "by_key",
            "late-share": 0.5,
            "name": "a",
            "window-ms": 2000.0,
            "worth": 2.0,
        },
    ],
    "extra": {"call-slots": 4, "loses-worth": "halves", "per-call": [1], "separate-routes": [False]},
    "kinds": ["k"],
    "limits": {"open-cap": 20, "try-limit": 5, "probing": False, "streams-per-conn": 1, "conn-idle-ms": 1e4},
    "registry-mode": "push",
    "safety": {
        "answer-slack-ms": 20.0,
        "cold-from": 0.2,
        "cold-ms": 9000.0,
        "drain-grace-ms": 250.0,
        "fall-ms": 1500.0,
        "fall-multiple": 2.0,
    },
    "tick-ms": 5.0,
    "weight-kind": "nominal",
    "a-key-nobody-knows": {"x": 1},
}


def record(code: int, body: bytes) -> bytes:
    return struct.pack("<BI", code, len(body)) + body


def frame(now: float, *records: bytes) -> bytes:
    body = b"".join(records)
    return struct.pack("<IdI", len(body), now, len(records)) + body


def instance_started(settings: dict[str, Any] = SETTINGS, instance: int = 3) -> bytes:
    text = json.dumps(settings).encode()
    return record(80, struct.pack("<IQI", instance, 7, len(text)) + text)


def list_record() -> bytes:
    entries = simulator_adapter.ENTRY.pack(1, 8.0, 0.0, 0, 0, 57, 11) + simulator_adapter.ENTRY.pack(
        1, 8.0, 0.0, 0, 0, 57, 12
    )
    return record(20, struct.pack("<BI", 0, 2) + entries) + b""


def list_announced() -> bytes:
    return record(30, struct.pack("<IBQB", 3, 2, 41, 0))


def message_record(message_id: int) -> bytes:
    return record(110, struct.pack("<IIBIQddfB", 3, message_id, 0, 0, 0, 4000.0, 0.0, 57.0, 0))


def run(data: bytes, **env: str) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "message_relay.simulator_adapter"],
        input=data,
        capture_output=True,
        timeout=60,
        env={**os.environ, **env},
    )


def test_documented_events_are_decoded() -> None:
    host = simulator_adapter.SimulatorAdapter()
    data = bytes.fromhex(
        "03000000c4913a5d0000000000640ad2557c3bf091" "0000000000006e4000000000000028400000644201"
    )
    assert host._event(110, data) == Message(
        0x5D3A91C4, 57, 0, 240.0, 0, 0x91F03B7C55D20A64, 12.0, False, False
    )
    assert host._event(40, bytes.fromhex("030000004d00000000000000")) == TimerFired(77)
    assert host._event(70, bytes.fromhex("05000000192b6f0e")) == MessageCancelled(0x0E6F2B19)
    attempt_completed = bytes.fromhex("03000000c4913a5d0000074a12030100000000008032400100000000" + "00")
    assert host._event(100, attempt_completed) == AttemptCompleted(
        0x5D3A91C4, 0, 0x03124A07, Outcome.OK, 18.5, True, 0.0, False, ()
    )
    events: dict[int, list[Event]] = {}
    list_rows = "020000000" + "1" + "0000803f00000000000000000000003900074a1203"
    list_rows += "01" + "0000c03f0000000000d4b740000000" + "3900f211902c"
    host._handle_record(20, b"\0" + bytes.fromhex(list_rows), events)
    host._handle_record(30, bytes.fromhex("0300000002290000000000000000"), events)
    assert events[3] == [
        EndpointList(
            ListKind.CACHED,
            (
                Endpoint(0x03124A07, 57, Listing.READY, 0, 0, 1.0),
                Endpoint(0x2C9011F2, 57, Listing.READY, 0, 0, 1.5),
            ),
        )
    ]


@pytest.mark.parametrize(
    ("action", "wire"),
    [
        (StartAttempt(0x5D3A91C4, 0x03124A07, 8512.25), None),
        (Reject(0x0E6F2B19, 250.0), "1410000000030000 00192b6f0e0000000000406f40"),
        (Fail(0x0E6F2B19), "1e0800000003000000192b6f0e"),
        (Cancel(0x5D3A91C4, 0), "280a00000003000000c4913a5d0000"),
        (SetTimer(500.0, 77), "3214000000030000000000000000407f404d00000000000000"),
        (Probe(0x2C9011F2), "3c0800000003000000f211902c"),
        (WatchEndpoints(), "6e050000000300000001"),
    ],
)
def test_documented_actions_are_encoded(action: Action, wire: str | None) -> None:
    encoded = simulator_adapter.encode(3, action)
    if wire is None:
        assert encoded.hex() == "0a1400000003000000c4913a5d074a1203" + struct.pack("<d", 8512.25).hex()
    else:
        assert encoded == bytes.fromhex(wire)


def test_debug_line_is_encoded() -> None:
    wire = "5a1700000005000000110074776f2073657276657273206b6e6f776e"
    assert simulator_adapter.encode(5, Log("two servers known")).hex() == wire


def session() -> bytes:
    attempt_completed = struct.pack("<IIHIBdBIB", 3, 1, 0, 11, 1, 120.0, 1, 0, 0)
    return b"".join(
        [
            frame(0.0),
            frame(100.0, instance_started(), list_record(), list_announced()),
            frame(110.0, message_record(1)),
            frame(1240.0, record(100, attempt_completed), *(message_record(n) for n in range(2, 9))),
            frame(1260.0, record(40, struct.pack("<IQ", 3, 0))),
        ]
    )


def replies(data: bytes) -> list[list[tuple[int, bytes]]]:
    frames, position = [], 0
    while position < len(data):
        size, count = struct.unpack_from("<II", data, position)
        position += 8
        records = list(simulator_adapter.SimulatorAdapter._records(count, data[position : position + size]))
        frames.append(records)
        position += size
    return frames


def test_conversation_with_a_child_process() -> None:
    process = run(session())
    assert process.returncode == 0 and process.stderr == b""
    batches = replies(process.stdout)
    assert len(batches) == 5 and batches[0] == []
    sends = [struct.unpack("<IIId", body) for code, body in batches[2] if code == 10]
    assert [send[:2] for send in sends] == [(3, 1)] and sends[0][2] in (11, 12)
    assert any(code == 10 for code, _ in batches[3])


def test_same_actions_whatever_the_hash_seed() -> None:
    first, second = run(session(), PYTHONHASHSEED="1"), run(session(), PYTHONHASHSEED="2")
    assert first.stdout == second.stdout and len(first.stdout) > 100


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"\x01\x02\x03", "frame header"),
        (struct.pack("<IdI", 40, 0.0, 1) + b"xx", "inside a frame"),
        (frame(0.0, record(251, b"\3\0\0\0")), "unknown event code 251"),
        (frame(0.0, record(80, struct.pack("<IQI", 3, 7, 4) + b"{no}")), "settings"),
        (frame(0.0, instance_started({**SETTINGS, "classes": []})), "classes"),
        (frame(0.0, instance_started({k: v for k, v in SETTINGS.items() if k != "limits"})), "limits"),
        (frame(0.0, instance_started(), record(110, b"\3\0\0\0\1")), "malformed"),
        (frame(0.0, list_announced()), "list 0 was never sent"),
        (
            frame(0.0, instance_started(), message_record(1)[:13] + b"\x09" + message_record(1)[14:]),
            "class 9",
        ),
        (frame(0.0, record(70, b"\3\0\0\0\1\0\0\0") + b"left"), "after its last record"),
    ],
)
def test_malformed_input_ends_with_one_plain_line(data: bytes, expected: str) -> None:
    process = run(data)
    text = process.stderr.decode()
    assert process.returncode == 1 and text.count("\n") == 1 and "Traceback" not in text and expected in text

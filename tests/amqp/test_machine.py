"""The connection's state machine without a socket: which status each frame gives unconfirmed publishes."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from pamqp import base, body, commands, frame, header

from message_relay.amqp import protocol
from message_relay.amqp.channel import MAX_UNCONFIRMED
from message_relay.amqp.events import (
    AcksProcessed,
    Blocked,
    ChannelClosed,
    ConnectionClosed,
    ConsumerCancelled,
    ConsumerStarted,
    Delivered,
    Event,
    Flow,
    Opened,
    Publish,
    PublishSettled,
    PublishStatus,
)
from message_relay.amqp.frames import FrameError, FrameReader
from message_relay.amqp.handshake import Login
from message_relay.amqp.protocol import ConnectionProtocol, State

from .peer import (
    START,
    Properties,
    connection_with_channel,
    encode_content,
    encode_method,
    feed,
    opened_connection,
    tune,
)

Ack, Nack = commands.Basic.Ack, commands.Basic.Nack
EncodedFrame = Callable[[int], bytes]


def publish(machine: ConnectionProtocol, message_id: str, size: int = 10, write: bool = True) -> Publish:
    publish_ = machine.publish(1, message_id, "", "q", b"x" * size, Properties(message_id=message_id))
    if write:
        machine.mark_written(len(machine.data_to_send(0.0)))
    return publish_


def statuses(events: list[Event]) -> dict[str, PublishStatus]:
    return {
        event.publish.message_id: event.publish.status
        for event in events
        if isinstance(event, PublishSettled)
    }


def test_opening_negotiates_the_lower_of_both_limits() -> None:
    machine = ConnectionProtocol(Login(heartbeat_s=20), 0.0)
    assert machine.data_to_send(0.0) == b"AMQP\x00\x00\x09\x01"
    events = feed(machine, START + tune(8192, 7, 5) + encode_method(commands.Connection.OpenOk()))
    assert events == [Opened(7.0, 8192)] and machine.state is State.OPEN and machine.channel_max == 5
    for _ in range(5):
        machine.open_channel()
    with pytest.raises(protocol.ProtocolUsageError, match="all 5 channels"):
        machine.open_channel()


@pytest.mark.parametrize(
    ("data", "text"),
    [
        (encode_method(commands.Connection.Start(0, 8, {}, "PLAIN", "en_US")), "speaks 0-8"),
        (
            encode_method(commands.Connection.Start(0, 9, {}, "GSSAPI", "en_US")),
            "offers GSSAPI, and not PLAIN",
        ),
        (b"AMQP\x00\x01\x00\x00", "speaks AMQP 0-1-0-0"),
        (b"HTTP/1.1 400 Bad\r\n\r\n", "72 is no type of frame"),
        (START + tune(1024), "frames of 1024 bytes"),
        (START + START, "Connection.Start in state SECURE"),
        (b"\x01\x00\x00\x7f\xff\xff\xff", "a frame of 2147483655 bytes"),
        (START[:-1] + b"\x00", "ends with octet 0"),
        (b"\x01\x00\x00\x00\x00\x00\x04\x00\x63\x00\x63\xce", "cannot be read"),
        (
            START
            + tune()
            + encode_method(commands.Connection.OpenOk())
            + encode_method(commands.Channel.OpenOk(), 9),
            "channel 9 is not open",
        ),
    ],
)
def test_invalid_data_breaks_the_connection_with_a_reason(data: bytes, text: str) -> None:
    machine = ConnectionProtocol(Login(), 0.0)
    events = feed(machine, data)
    assert (
        isinstance(events[-1], ConnectionClosed)
        and text in events[-1].reason
        and machine.state is State.BROKEN
    )
    assert feed(machine, START) == [] and machine.next_tick_at() is None


def test_confirms_are_handled_single_multiple_out_of_order_and_repeated() -> None:
    machine = connection_with_channel()
    for n in range(1, 8):
        publish(machine, f"m{n}")
    assert statuses(feed(machine, encode_method(Ack(3, False), 1))) == {"m3": PublishStatus.ACKED}
    assert statuses(feed(machine, encode_method(Nack(2, True, False), 1))) == {
        "m1": PublishStatus.NACKED,
        "m2": PublishStatus.NACKED,
    }
    assert statuses(feed(machine, encode_method(Ack(3, False), 1))) == {} and machine.ignored_confirms == 1
    assert statuses(feed(machine, encode_method(Ack(5, True), 1))) == {
        "m4": PublishStatus.ACKED,
        "m5": PublishStatus.ACKED,
    }
    assert statuses(feed(machine, encode_method(Ack(0, True), 1))) == {
        "m6": PublishStatus.ACKED,
        "m7": PublishStatus.ACKED,
    }
    assert machine.unconfirmed == 0 and machine.state is State.OPEN


@pytest.mark.parametrize("confirm", [Ack(2, False), Ack(9, True), Nack(2, False), Ack(0, False)])
def test_confirm_of_an_unused_tag_breaks_the_connection_and_confirms_nothing(
    confirm: base.Frame,
) -> None:
    machine = connection_with_channel()
    publish(machine, "m1")
    events = feed(machine, encode_method(confirm, 1))
    assert statuses(events) == {"m1": PublishStatus.LOST} and machine.state is State.BROKEN


def test_multiple_ack_reports_a_given_up_publish_as_late() -> None:
    machine = connection_with_channel()
    first, second = publish(machine, "m1"), publish(machine, "m2")
    machine.give_up(first)
    assert machine.unconfirmed == 1
    events = feed(machine, encode_method(Ack(2, True), 1))
    assert events == [
        PublishSettled(first, True),
        PublishSettled(second, False),
    ]


def test_return_settles_a_publish_and_the_ack_after_it_only_removes_the_tag() -> None:
    machine = connection_with_channel()
    first = publish(machine, "m1", 200)
    publish(machine, "m2")
    returned_frames = encode_content(
        commands.Basic.Return(312, "NO_ROUTE", "", "q"), b"x" * 200, message_id="m1"
    )
    events = feed(machine, returned_frames[:60]) + feed(machine, returned_frames[60:])
    assert statuses(events) == {"m1": PublishStatus.RETURNED} and first.reason == "312 NO_ROUTE"
    assert statuses(feed(machine, encode_method(Ack(2, True), 1))) == {"m2": PublishStatus.ACKED}
    assert (
        statuses(
            feed(machine, encode_content(commands.Basic.Return(312, "X", "", "q"), b"", message_id="m9"))
        )
        == {}
    )
    assert machine.ignored_confirms == 1 and machine.unconfirmed == 0


def test_return_before_a_lost_connection_settles_the_publish() -> None:
    machine = connection_with_channel()
    publish(machine, "m1")
    events = feed(machine, encode_content(commands.Basic.Return(313, "X", "", "q"), b"", message_id="m1"))
    assert statuses(events + machine.stream_closed("cut")) == {"m1": PublishStatus.RETURNED}


@pytest.mark.parametrize("missing", [1, 50, 4096, 9000])
def test_publish_is_unwritten_if_its_last_byte_was_not_written(missing: int) -> None:
    """The body takes three frames; the connection is lost within the content, or after all of it."""
    machine = connection_with_channel(frame_max=4096)
    publish(machine, "m1")
    publish(machine, "m2", 10_000, write=False)
    data = machine.data_to_send(0.0)
    assert data.count(b"\xce") >= 5
    machine.mark_written(len(data) - missing)
    assert statuses(machine.stream_closed("cut")) == {"m1": PublishStatus.LOST, "m2": PublishStatus.UNWRITTEN}
    fully_written = connection_with_channel(frame_max=4096)
    publish(fully_written, "m3", 10_000)
    assert statuses(fully_written.stream_closed("cut")) == {"m3": PublishStatus.LOST}


def test_channel_close_by_the_broker_loses_only_the_publishes_of_that_channel() -> None:
    machine = connection_with_channel()
    assert machine.open_channel() == 2
    feed(machine, encode_method(commands.Channel.OpenOk(), 2) + encode_method(commands.Confirm.SelectOk(), 2))
    publish(machine, "m1")
    other = machine.publish(2, "o1", "", "q", b"", Properties(message_id="o1"))
    machine.mark_written(len(machine.data_to_send(0.0)))
    events = feed(machine, encode_method(commands.Channel.Close(404, "NOT_FOUND", 60, 40), 1))
    assert statuses(events) == {"m1": PublishStatus.LOST} and events[-1] == ChannelClosed(1, 404, "NOT_FOUND")
    assert (
        statuses(feed(machine, encode_method(Ack(1, False), 2))) == {"o1": PublishStatus.ACKED}
        and other.status is PublishStatus.ACKED
    )
    assert machine.open_channel() == 1 and machine.state is State.OPEN


def test_frames_of_a_closing_channel_are_ignored() -> None:
    machine = connection_with_channel()
    publish(machine, "m1")
    machine.close_channel(1)
    assert statuses(
        feed(machine, encode_method(Ack(1, False), 1) + encode_method(commands.Channel.CloseOk(), 1))
    ) == {"m1": PublishStatus.LOST}
    assert machine.channels == {} and machine.state is State.OPEN


def test_orderly_close() -> None:
    machine = connection_with_channel()
    machine.close()
    machine.close()
    events = feed(machine, encode_method(Ack(1, False), 1) + encode_method(commands.Connection.CloseOk()))
    assert events == [ConnectionClosed("closed", 0, True)] and machine.state is State.CLOSED


def test_connection_close_by_the_broker_is_answered_and_settles_publishes_as_lost() -> None:
    machine = connection_with_channel()
    publish(machine, "m1")
    events = machine.receive_data(
        encode_method(commands.Connection.Close(320, "CONNECTION_FORCED", 0, 0)), 1.0
    )
    assert statuses(events) == {"m1": PublishStatus.LOST}
    assert events[-1] == ConnectionClosed("closed by the broker: CONNECTION_FORCED", 320)
    assert machine.data_to_send(1.0) == encode_method(commands.Connection.CloseOk())


def test_publish_is_forbidden_if_blocked_under_flow_control_or_with_too_many_unconfirmed() -> None:
    machine = connection_with_channel()
    feed(machine, encode_method(commands.Connection.Blocked("disk")))
    assert not machine.may_publish(1)
    with pytest.raises(protocol.ProtocolUsageError, match="does not accept a publish now"):
        publish(machine, "m1")
    assert feed(machine, encode_method(commands.Connection.Unblocked())) == [
        Blocked(False)
    ] and machine.may_publish(1)
    assert feed(machine, encode_method(commands.Channel.Flow(False), 1)) == [Flow(1, False)]
    assert not machine.may_publish(1)
    feed(machine, encode_method(commands.Channel.Flow(True), 1))
    for n in range(MAX_UNCONFIRMED):
        publish(machine, f"m{n}")
    assert not machine.may_publish(1)


def test_heartbeats_are_sent_and_silence_ends_a_connection_with_an_unconfirmed_publish() -> None:
    machine = connection_with_channel(heartbeat=4)
    publish(machine, "m1")
    assert machine.next_tick_at() == 2.0 and machine.tick(1.9) == [] and not machine.outgoing
    assert machine.tick(2.0) == [] and machine.data_to_send(2.0) == b"\x08\x00\x00\x00\x00\x00\x00\xce"
    feed(machine, b"\x08\x00\x00\x00\x00\x00\x00\xce", 3.0)
    events = machine.tick(11.0)
    assert (
        statuses(events) == {"m1": PublishStatus.LOST}
        and "nothing was received for 8.0 s" in events[-1].reason  # type: ignore
    )


def test_deliveries_are_assembled_and_too_long_ones_skipped_and_reported() -> None:
    machine = connection_with_channel(prefetch=5, frame_max=4096)
    machine.consume(1, "in", "c")
    deliver = commands.Basic.Deliver("c", 1, True, "", "in")
    events = feed(
        machine,
        encode_method(commands.Basic.ConsumeOk("c"), 1) + encode_content(deliver, b"hello", message_id="a"),
    )
    assert events[0] == ConsumerStarted(1, "c")
    delivery = events[1]
    assert (
        isinstance(delivery, Delivered)
        and delivery.body == b"hello"
        and delivery.redelivered
        and not delivery.skipped_bytes
    )
    assert delivery.properties.message_id == "a"
    size = 300_000
    parts = encode_method(commands.Basic.Deliver("c", 2, False, "", "in"), 1)
    parts += frame.marshal(header.ContentHeader(0, size, Properties()), 1)
    for _ in range(size // 4000):
        parts += frame.marshal(body.ContentBody(b"x" * 4000), 1)
    (skipped,) = feed(machine, parts)
    assert isinstance(skipped, Delivered) and skipped.skipped_bytes == size and skipped.body == b""
    assert feed(machine, encode_method(commands.Basic.Cancel("c", True), 1)) == [ConsumerCancelled(1, "c")]
    machine.reject(1, 2, False)
    machine.ack(1, 1)


@pytest.mark.parametrize(
    "data",
    [
        encode_content(commands.Basic.Deliver("c", 1, False, "", "q"), b"abc") * 1
        + encode_content(commands.Basic.Deliver("c", 2, False, "", "q"), b"abc")[-11:],
        encode_method(commands.Basic.Deliver("c", 1, False, "", "q"), 1) * 2,
        encode_content(commands.Basic.Deliver("c", 1, False, "", "q"), b"")[
            len(encode_method(commands.Basic.Deliver("c", 1, False, "", "q"), 1)) :
        ],
        encode_method(commands.Queue.DeclareOk("q", 0, 0), 1),
        encode_method(Ack(1, False), 1),
    ],
)
def test_content_out_of_order_and_unexpected_methods_break_the_connection(data: bytes) -> None:
    machine = connection_with_channel(prefetch=2)
    feed(machine, data)
    assert machine.state is State.BROKEN


def test_reader_buffers_one_incomplete_frame_at_most() -> None:
    reader = FrameReader()
    reader.feed(b"\x03\x00\x01\x00\x00\x0f\x00" + b"x" * 3840 + b"\xce" + b"\x03\x00")
    assert reader.next_frame() is not None and reader.next_frame() is None and len(reader.buffer) == 2
    reader.feed(b"\x01\x00\x01\x00\x00")
    with pytest.raises(FrameError, match="65544 bytes, and 4096"):
        reader.next_frame()


# -- random ------------------------------------------------------------------------------------------------

BROKER_FRAMES: dict[str, EncodedFrame] = {
    "ack": lambda n: encode_method(Ack(n, False), 1),
    "acks": lambda n: encode_method(Ack(n, True), 1),
    "nack": lambda n: encode_method(Nack(n, False, False), 1),
    "nacks": lambda n: encode_method(Nack(n, True, False), 1),
    "return": lambda n: encode_content(commands.Basic.Return(312, "X", "", "q"), b"abc", message_id=f"m{n}"),
    "close": lambda n: encode_method(commands.Channel.Close(404, "X", 0, 0), 1),
    "end": lambda n: encode_method(commands.Connection.Close(320, "X", 0, 0)),
    "flow": lambda n: encode_method(commands.Channel.Flow(bool(n % 2)), 1),
    "block": lambda n: encode_method(
        commands.Connection.Blocked("x") if n % 2 else commands.Connection.Unblocked()
    ),
    "beat": lambda n: b"\x08\x00\x00\x00\x00\x00\x00\xce",
}


@settings(max_examples=300)
@given(
    st.lists(
        st.tuples(st.sampled_from(["publish", "give up", "cut", *BROKER_FRAMES]), st.integers(0, 12)),
        max_size=40,
    )
)
def test_each_publish_is_settled_once_with_a_status_that_was_received(steps: list[tuple[str, int]]) -> None:
    """Compares with a simple oracle: sets of tags."""
    machine, publishes = connection_with_channel(), list[Publish]()
    reported: dict[str, PublishStatus] = {}
    acked, nacked, returned = set[int](), set[int](), set[int]()
    for step, n in steps:
        events: list[Event] = []
        open_tags = {sent.tag for sent in publishes if sent.status is PublishStatus.OUT}
        if step == "publish":
            if machine.may_publish(1):
                publishes.append(publish(machine, f"m{len(publishes) + 1}"))
        elif step == "give up" and publishes:
            machine.give_up(publishes[n % len(publishes)])
        elif step == "cut":
            events = machine.stream_closed("cut")
        elif step in BROKER_FRAMES:
            if machine.state is State.OPEN and 1 in machine.channels and 1 <= n <= len(publishes):
                covered = {tag for tag in open_tags if tag == n or (step.endswith("s") and tag <= n)}
                acked |= covered if step.startswith("ack") else set()
                nacked |= covered if step.startswith("nack") else set()
                returned |= {n} & open_tags if step == "return" else set()
            events = feed(machine, BROKER_FRAMES[step](n))
        for event in events:
            if isinstance(event, PublishSettled):
                assert event.publish.message_id not in reported, "settled twice"
                reported[event.publish.message_id] = event.publish.status
    for sent in publishes:
        if sent.status is PublishStatus.ACKED:
            assert sent.tag in acked
        elif sent.status is PublishStatus.NACKED:
            assert sent.tag in nacked
        elif sent.status is PublishStatus.RETURNED:
            assert sent.tag in returned
        assert sent.status is not PublishStatus.UNWRITTEN, "all of it had been written"
        assert (sent.status is PublishStatus.OUT) == (sent.message_id not in reported)
    if machine.state in (State.CLOSED, State.BROKEN):
        assert all(sent.status is not PublishStatus.OUT for sent in publishes) and not machine.channels


def session_bytes() -> bytes:
    """All that a broker sends in an ordinary session with three publishes."""
    return (
        START
        + tune()
        + encode_method(commands.Connection.OpenOk())
        + encode_method(commands.Channel.OpenOk(), 1)
        + encode_method(commands.Confirm.SelectOk(), 1)
        + encode_method(Ack(1, False), 1)
        + encode_content(commands.Basic.Return(312, "X", "", "q"), b"abc", message_id="m2")
        + encode_method(Ack(2, False), 1)
        + encode_method(Nack(3, False, False), 1)
        + encode_method(commands.Connection.Close(200, "bye", 0, 0))
    )


@pytest.mark.parametrize("seed", range(400))
def test_corrupted_session_never_raises_and_its_buffers_stay_bounded(seed: int) -> None:
    rng = random.Random(seed)
    data = bytearray(session_bytes())
    for _ in range(rng.randint(1, 4)):
        position = rng.randrange(len(data))
        match rng.randrange(4):
            case 0:
                data[position] ^= 1 << rng.randrange(8)
            case 1:
                del data[position : position + rng.randint(1, 9)]
            case 2:
                data[position:position] = rng.randbytes(rng.randint(1, 9))
            case _:
                data[position:position] = data[max(0, position - 30) : position]
    machine, publishes = ConnectionProtocol(Login(), 0.0), list[Publish]()
    machine.mark_written(len(machine.data_to_send(0.0)))
    position = 0
    while position < len(data):
        size = rng.randint(1, 40)
        feed(machine, bytes(data[position : position + size]))
        position += size
        if machine.state is State.OPEN and not machine.channels and not publishes:
            machine.open_channel()
            machine.mark_written(len(machine.data_to_send(0.0)))
        while machine.may_publish(1) and len(publishes) < 3:
            publishes.append(publish(machine, f"m{len(publishes) + 1}"))
    machine.stream_closed("the end")
    assert machine.state in (State.CLOSED, State.BROKEN)
    assert (
        all(sent.status is not PublishStatus.OUT for sent in publishes)
        and len(machine.reader.buffer) < 140_000
    )
    assert len(machine.outgoing) < 1000 or publishes


def test_repr_contains_no_credentials() -> None:
    assert "geheim" not in repr(Login(password="geheim")) and opened_connection().login.password == "guest"


def test_connection_blocked_for_a_minute_stays_open_and_publishes_nothing() -> None:
    machine = connection_with_channel(heartbeat=10)
    first = publish(machine, "m1")
    feed(machine, encode_method(commands.Connection.Blocked("low on memory")), 0.0)
    heartbeats = 0
    for second in range(1, 61):
        now = float(second)
        assert machine.tick(now) == [] and not machine.may_publish(1)
        data = machine.data_to_send(now)
        machine.mark_written(len(data))
        heartbeats += data.count(b"\x08\x00\x00\x00\x00\x00\x00\xce")
        assert len(data) in (0, 8)
        if second % 5 == 0:
            feed(machine, b"\x08\x00\x00\x00\x00\x00\x00\xce", now)
    assert heartbeats == 12 and first.status is PublishStatus.OUT and machine.state is State.OPEN
    assert statuses(
        feed(machine, encode_method(commands.Connection.Unblocked()) + encode_method(Ack(1, False), 1), 60.5)
    ) == {"m1": PublishStatus.ACKED}
    assert publish(machine, "m2").tag == 2


def read_frames(data: bytes) -> list[object]:
    reader = FrameReader()
    reader.feed(data)
    frames: list[object] = []
    while (numbered_frame := reader.next_frame()) is not None:
        frames.append(numbered_frame[1])
    return frames


def proved_tags(events: list[Event]) -> list[tuple[int, ...]]:
    return [event.tags for event in events if isinstance(event, AcksProcessed)]


def test_reply_to_a_synchronous_method_proves_the_acks_before_it() -> None:
    machine = connection_with_channel(prefetch=20)
    qos_ok = encode_method(commands.Basic.QosOk(), 1)
    machine.ack(1, 1, is_tracked=True)
    machine.ack(1, 2)  # not tracked, so not reported
    machine.ack(1, 4, is_tracked=True)
    machine.request_ack_proof(1)
    machine.ack(1, 3, is_tracked=True)
    machine.request_ack_proof(1)
    machine.request_ack_proof(1)  # nothing was acknowledged since
    machine.ack(1, 5, is_tracked=True)
    sent = [type(each) for each in read_frames(machine.data_to_send(0.0))]
    assert sent == [Ack, Ack, Ack, commands.Basic.Qos, Ack, commands.Basic.Qos, Ack]
    assert proved_tags(feed(machine, qos_ok)) == [(1, 4)]
    assert proved_tags(feed(machine, qos_ok)) == [(3,)]
    feed(machine, qos_ok)  # the reply to no method
    assert machine.state is State.BROKEN


def test_proof_leaves_the_prefetch_as_it_is() -> None:
    machine = connection_with_channel(prefetch=20)
    machine.ack(1, 1, is_tracked=True)
    machine.request_ack_proof(1)
    _, qos = read_frames(machine.data_to_send(0.0))
    assert isinstance(qos, commands.Basic.Qos) and qos.prefetch_count == 20


@pytest.mark.parametrize("broker_closes_first", [False, True])
def test_closed_channel_proves_its_acks_unless_the_broker_closed_it_first(broker_closes_first: bool) -> None:
    machine = connection_with_channel(prefetch=20)
    machine.ack(1, 1, is_tracked=True)
    machine.request_ack_proof(1)
    machine.ack(1, 2, is_tracked=True)
    machine.close_channel(1)
    if broker_closes_first:
        assert not feed(machine, encode_method(commands.Channel.Close(541, "internal error", 0, 0), 1))
    events = feed(machine, encode_method(commands.Channel.CloseOk(), 1))
    assert proved_tags(events) == ([] if broker_closes_first else [(1, 2)])
    assert ChannelClosed(1, 200, "done") in events


@pytest.mark.parametrize("end", ["channel", "connection"])
def test_acks_stay_unproved_when_the_broker_ends_their_channel(end: str) -> None:
    machine = connection_with_channel(prefetch=20)
    machine.ack(1, 1, is_tracked=True)
    machine.request_ack_proof(1)
    if end == "channel":
        events = feed(machine, encode_method(commands.Channel.Close(406, "unknown tag", 0, 0), 1))
    else:
        events = machine.stream_closed("lost")
    assert events and not proved_tags(events)

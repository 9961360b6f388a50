"""The connection's machine, without a socket: what each odd frame proves of what is out, and no more."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from pamqp import base, body, commands, frame, header

from message_relay.amqp import protocol as m
from message_relay.amqp.frames import FrameError, FrameReader
from message_relay.amqp.protocol import ConnectionProtocol, Fate, Login, State

from .peer import START, Properties, content, feed, opened, raw, ready, tune

Ack, Nack = commands.Basic.Ack, commands.Basic.Nack
Made = Callable[[int], bytes]


def publish(machine: ConnectionProtocol, ident: str, size: int = 10, write: bool = True) -> m.Publish:
    out = machine.publish(1, ident, "", "q", b"x" * size, Properties(message_id=ident))
    if write:
        machine.wrote(len(machine.take(0.0)))
    return out


def fates(events: list[m.Event]) -> dict[str, Fate]:
    return {each.publish.ident: each.publish.fate for each in events if isinstance(each, m.Settled)}


def test_it_opens_with_the_lower_of_both_limits() -> None:
    machine = ConnectionProtocol(Login(heartbeat_s=20), 0.0)
    assert machine.take(0.0) == b"AMQP\x00\x00\x09\x01"
    events = feed(machine, START + tune(8192, 7, 5) + raw(commands.Connection.OpenOk()))
    assert events == [m.Opened(7.0, 8192)] and machine.state is State.OPEN and machine.channel_max == 5
    for _ in range(5):
        machine.open_channel()
    with pytest.raises(m.ProtocolUsageError, match="all 5 channels"):
        machine.open_channel()


@pytest.mark.parametrize(
    ("data", "text"),
    [
        (raw(commands.Connection.Start(0, 8, {}, "PLAIN", "en_US")), "speaks 0-8"),
        (raw(commands.Connection.Start(0, 9, {}, "GSSAPI", "en_US")), "offers GSSAPI, and not PLAIN"),
        (b"AMQP\x00\x01\x00\x00", "speaks AMQP 0-1-0-0"),
        (b"HTTP/1.1 400 Bad\r\n\r\n", "72 is no type of frame"),
        (START + tune(1024), "frames of 1024 bytes"),
        (START + START, "Connection.Start in state SECURE"),
        (b"\x01\x00\x00\x7f\xff\xff\xff", "a frame of 2147483655 bytes"),
        (START[:-1] + b"\x00", "ends with octet 0"),
        (b"\x01\x00\x00\x00\x00\x00\x04\x00\x63\x00\x63\xce", "cannot be read"),
        (
            START + tune() + raw(commands.Connection.OpenOk()) + raw(commands.Channel.OpenOk(), 9),
            "channel 9 is not open",
        ),
    ],
)
def test_nonsense_breaks_the_connection_and_says_why(data: bytes, text: str) -> None:
    machine = ConnectionProtocol(Login(), 0.0)
    events = feed(machine, data)
    assert isinstance(events[-1], m.Ended) and text in events[-1].why and machine.state is State.BROKEN
    assert feed(machine, START) == [] and machine.due() is None


def test_confirms_single_multiple_out_of_order_and_twice() -> None:
    machine = ready()
    for n in range(1, 8):
        publish(machine, f"m{n}")
    assert fates(feed(machine, raw(Ack(3, False), 1))) == {"m3": Fate.ACKED}
    assert fates(feed(machine, raw(Nack(2, True, False), 1))) == {"m1": Fate.NACKED, "m2": Fate.NACKED}
    assert fates(feed(machine, raw(Ack(3, False), 1))) == {} and machine.odd == 1
    assert fates(feed(machine, raw(Ack(5, True), 1))) == {"m4": Fate.ACKED, "m5": Fate.ACKED}
    assert fates(feed(machine, raw(Ack(0, True), 1))) == {"m6": Fate.ACKED, "m7": Fate.ACKED}
    assert machine.out == 0 and machine.state is State.OPEN


@pytest.mark.parametrize("confirm", [Ack(2, False), Ack(9, True), Nack(2, False), Ack(0, False)])
def test_a_confirm_for_a_tag_never_used_breaks_the_connection_and_confirms_nothing(
    confirm: base.Frame,
) -> None:
    machine = ready()
    publish(machine, "m1")
    events = feed(machine, raw(confirm, 1))
    assert fates(events) == {"m1": Fate.LOST} and machine.state is State.BROKEN


def test_a_multiple_ack_that_covers_one_given_up_tells_it_late() -> None:
    machine = ready()
    first, second = publish(machine, "m1"), publish(machine, "m2")
    machine.give_up(first)
    assert machine.out == 1
    events = feed(machine, raw(Ack(2, True), 1))
    assert events == [m.Settled(first, True), m.Settled(second, False)]


def test_a_return_proves_it_and_the_ack_after_it_is_only_booked() -> None:
    machine = ready()
    one = publish(machine, "m1", 200)
    publish(machine, "m2")
    back = content(commands.Basic.Return(312, "NO_ROUTE", "", "q"), b"x" * 200, ident="m1")
    events = feed(machine, back[:60]) + feed(machine, back[60:])
    assert fates(events) == {"m1": Fate.RETURNED} and one.why == "312 NO_ROUTE"
    assert fates(feed(machine, raw(Ack(2, True), 1))) == {"m2": Fate.ACKED}
    assert fates(feed(machine, content(commands.Basic.Return(312, "X", "", "q"), b"", ident="m9"))) == {}
    assert machine.odd == 1 and machine.out == 0


def test_a_return_before_the_connection_breaks_still_proves_it() -> None:
    machine = ready()
    publish(machine, "m1")
    events = feed(machine, content(commands.Basic.Return(313, "X", "", "q"), b"", ident="m1"))
    assert fates(events + machine.lost("cut")) == {"m1": Fate.RETURNED}


@pytest.mark.parametrize("missing", [1, 50, 4096, 9000])
def test_a_publish_whose_last_byte_was_not_handed_over_has_not_run(missing: int) -> None:
    """Its body is in three frames; the break comes somewhere in it, or after all of it."""
    machine = ready(frame_max=4096)
    publish(machine, "m1")
    publish(machine, "m2", 10_000, write=False)
    data = machine.take(0.0)
    assert data.count(b"\xce") >= 5
    machine.wrote(len(data) - missing)
    assert fates(machine.lost("cut")) == {"m1": Fate.LOST, "m2": Fate.UNWRITTEN}
    whole = ready(frame_max=4096)
    publish(whole, "m3", 10_000)
    assert fates(whole.lost("cut")) == {"m3": Fate.LOST}


def test_a_channel_closed_by_the_broker_loses_what_is_out_on_it_and_no_more() -> None:
    machine = ready()
    assert machine.open_channel() == 2
    feed(machine, raw(commands.Channel.OpenOk(), 2) + raw(commands.Confirm.SelectOk(), 2))
    publish(machine, "m1")
    other = machine.publish(2, "o1", "", "q", b"", Properties(message_id="o1"))
    machine.wrote(len(machine.take(0.0)))
    events = feed(machine, raw(commands.Channel.Close(404, "NOT_FOUND", 60, 40), 1))
    assert fates(events) == {"m1": Fate.LOST} and events[-1] == m.ChannelClosed(1, 404, "NOT_FOUND")
    assert fates(feed(machine, raw(Ack(1, False), 2))) == {"o1": Fate.ACKED} and other.fate is Fate.ACKED
    assert machine.open_channel() == 1 and machine.state is State.OPEN


def test_we_close_a_channel_and_pass_over_what_was_under_way() -> None:
    machine = ready()
    publish(machine, "m1")
    machine.close_channel(1)
    assert fates(feed(machine, raw(Ack(1, False), 1) + raw(commands.Channel.CloseOk(), 1))) == {
        "m1": Fate.LOST
    }
    assert machine.channels == {} and machine.state is State.OPEN


def test_an_orderly_close() -> None:
    machine = ready()
    machine.close()
    machine.close()
    events = feed(machine, raw(Ack(1, False), 1) + raw(commands.Connection.CloseOk()))
    assert events == [m.Ended("closed", 0, True)] and machine.state is State.CLOSED


def test_a_close_by_the_broker_is_answered_and_tells_what_is_lost() -> None:
    machine = ready()
    publish(machine, "m1")
    events = machine.received(raw(commands.Connection.Close(320, "CONNECTION_FORCED", 0, 0)), 1.0)
    assert fates(events) == {"m1": Fate.LOST}
    assert events[-1] == m.Ended("closed by the broker: CONNECTION_FORCED", 320)
    assert machine.take(1.0) == raw(commands.Connection.CloseOk())


def test_blocked_flow_and_too_many_out_forbid_a_publish() -> None:
    machine = ready()
    feed(machine, raw(commands.Connection.Blocked("disk")))
    assert not machine.may_publish(1)
    with pytest.raises(m.ProtocolUsageError, match="takes no publish now"):
        publish(machine, "m1")
    assert feed(machine, raw(commands.Connection.Unblocked())) == [m.Blocked(False)] and machine.may_publish(
        1
    )
    assert feed(machine, raw(commands.Channel.Flow(False), 1)) == [m.Flow(1, False)]
    assert not machine.may_publish(1)
    feed(machine, raw(commands.Channel.Flow(True), 1))
    for n in range(m.OUT_MOST):
        publish(machine, f"m{n}")
    assert not machine.may_publish(1)


def test_heartbeats_go_out_and_silence_ends_it_though_a_confirm_was_on_its_way() -> None:
    machine = ready(heartbeat=4)
    publish(machine, "m1")
    assert machine.due() == 2.0 and machine.tick(1.9) == [] and not machine.outgoing
    assert machine.tick(2.0) == [] and machine.take(2.0) == b"\x08\x00\x00\x00\x00\x00\x00\xce"
    feed(machine, b"\x08\x00\x00\x00\x00\x00\x00\xce", 3.0)
    events = machine.tick(11.0)
    assert fates(events) == {"m1": Fate.LOST} and "nothing came for 8.0 s" in events[-1].why  # type: ignore


def test_deliveries_come_whole_and_a_long_one_is_skipped_and_told() -> None:
    machine = ready(prefetch=5, frame_max=4096)
    machine.consume(1, "in", "c")
    head = commands.Basic.Deliver("c", 1, True, "", "in")
    events = feed(machine, raw(commands.Basic.ConsumeOk("c"), 1) + content(head, b"hello", ident="a"))
    assert events[0] == m.Consuming(1, "c")
    got = events[1]
    assert isinstance(got, m.Delivered) and got.body == b"hello" and got.redelivered and not got.too_long
    assert got.properties.message_id == "a"
    size = 300_000
    parts = raw(commands.Basic.Deliver("c", 2, False, "", "in"), 1)
    parts += frame.marshal(header.ContentHeader(0, size, Properties()), 1)
    for _ in range(size // 4000):
        parts += frame.marshal(body.ContentBody(b"x" * 4000), 1)
    (long,) = feed(machine, parts)
    assert isinstance(long, m.Delivered) and long.too_long == size and long.body == b""
    assert feed(machine, raw(commands.Basic.Cancel("c", True), 1)) == [m.Cancelled(1, "c")]
    machine.reject(1, 2, False)
    machine.ack(1, 1)


@pytest.mark.parametrize(
    "data",
    [
        content(commands.Basic.Deliver("c", 1, False, "", "q"), b"abc") * 1
        + content(commands.Basic.Deliver("c", 2, False, "", "q"), b"abc")[-11:],
        raw(commands.Basic.Deliver("c", 1, False, "", "q"), 1) * 2,
        content(commands.Basic.Deliver("c", 1, False, "", "q"), b"")[
            len(raw(commands.Basic.Deliver("c", 1, False, "", "q"), 1)) :
        ],
        raw(commands.Queue.DeclareOk("q", 0, 0), 1),
        raw(Ack(1, False), 1),
    ],
)
def test_content_out_of_its_order_and_methods_that_were_not_asked_for_break_it(data: bytes) -> None:
    machine = ready(prefetch=2)
    feed(machine, data)
    assert machine.state is State.BROKEN


def test_reader_buffers_one_incomplete_frame_at_most() -> None:
    reader = FrameReader()
    reader.feed(b"\x03\x00\x01\x00\x00\x0f\x00" + b"x" * 3840 + b"\xce" + b"\x03\x00")
    assert reader.next_frame() is not None and reader.next_frame() is None and len(reader.buffer) == 2
    reader.feed(b"\x01\x00\x01\x00\x00")
    with pytest.raises(FrameError, match="65544 bytes, and 4096"):
        reader.next_frame()


# -- chance ------------------------------------------------------------------------------------------------

OK: dict[str, Made] = {
    "ack": lambda n: raw(Ack(n, False), 1),
    "acks": lambda n: raw(Ack(n, True), 1),
    "nack": lambda n: raw(Nack(n, False, False), 1),
    "nacks": lambda n: raw(Nack(n, True, False), 1),
    "return": lambda n: content(commands.Basic.Return(312, "X", "", "q"), b"abc", ident=f"m{n}"),
    "close": lambda n: raw(commands.Channel.Close(404, "X", 0, 0), 1),
    "end": lambda n: raw(commands.Connection.Close(320, "X", 0, 0)),
    "flow": lambda n: raw(commands.Channel.Flow(bool(n % 2)), 1),
    "block": lambda n: raw(commands.Connection.Blocked("x") if n % 2 else commands.Connection.Unblocked()),
    "beat": lambda n: b"\x08\x00\x00\x00\x00\x00\x00\xce",
}


@settings(max_examples=300)
@given(
    st.lists(st.tuples(st.sampled_from(["publish", "give up", "cut", *OK]), st.integers(0, 12)), max_size=40)
)
def test_every_publish_has_one_fate_and_none_that_was_not_seen(steps: list[tuple[str, int]]) -> None:
    """Against an oracle that is plain: sets of tags."""
    machine, sent = ready(), list[m.Publish]()
    told: dict[str, Fate] = {}
    acked, nacked, returned = set[int](), set[int](), set[int]()
    for step, n in steps:
        events: list[m.Event] = []
        open_ = {each.tag for each in sent if each.fate is Fate.OUT}
        if step == "publish":
            if machine.may_publish(1):
                sent.append(publish(machine, f"m{len(sent) + 1}"))
        elif step == "give up" and sent:
            machine.give_up(sent[n % len(sent)])
        elif step == "cut":
            events = machine.lost("cut")
        elif step in OK:
            if machine.state is State.OPEN and 1 in machine.channels and 1 <= n <= len(sent):
                covers = {each for each in open_ if each == n or (step.endswith("s") and each <= n)}
                acked |= covers if step.startswith("ack") else set()
                nacked |= covers if step.startswith("nack") else set()
                returned |= {n} & open_ if step == "return" else set()
            events = feed(machine, OK[step](n))
        for event in events:
            if isinstance(event, m.Settled):
                assert event.publish.ident not in told, "two fates"
                told[event.publish.ident] = event.publish.fate
    for each in sent:
        if each.fate is Fate.ACKED:
            assert each.tag in acked
        elif each.fate is Fate.NACKED:
            assert each.tag in nacked
        elif each.fate is Fate.RETURNED:
            assert each.tag in returned
        assert each.fate is not Fate.UNWRITTEN, "all of it had been handed over"
        assert (each.fate is Fate.OUT) == (each.ident not in told)
    if machine.state in (State.CLOSED, State.BROKEN):
        assert all(each.fate is not Fate.OUT for each in sent) and not machine.channels


def session() -> bytes:
    """All that a broker says in an ordinary session with three publishes."""
    return (
        START
        + tune()
        + raw(commands.Connection.OpenOk())
        + raw(commands.Channel.OpenOk(), 1)
        + raw(commands.Confirm.SelectOk(), 1)
        + raw(Ack(1, False), 1)
        + content(commands.Basic.Return(312, "X", "", "q"), b"abc", ident="m2")
        + raw(Ack(2, False), 1)
        + raw(Nack(3, False, False), 1)
        + raw(commands.Connection.Close(200, "bye", 0, 0))
    )


@pytest.mark.parametrize("seed", range(400))
def test_a_session_with_bytes_changed_ends_or_waits_and_never_grows(seed: int) -> None:
    rng = random.Random(seed)
    data = bytearray(session())
    for _ in range(rng.randint(1, 4)):
        at = rng.randrange(len(data))
        match rng.randrange(4):
            case 0:
                data[at] ^= 1 << rng.randrange(8)
            case 1:
                del data[at : at + rng.randint(1, 9)]
            case 2:
                data[at:at] = rng.randbytes(rng.randint(1, 9))
            case _:
                data[at:at] = data[max(0, at - 30) : at]
    machine, sent = ConnectionProtocol(Login(), 0.0), list[m.Publish]()
    machine.wrote(len(machine.take(0.0)))
    at = 0
    while at < len(data):
        size = rng.randint(1, 40)
        feed(machine, bytes(data[at : at + size]))
        at += size
        if machine.state is State.OPEN and not machine.channels and not sent:
            machine.open_channel()
            machine.wrote(len(machine.take(0.0)))
        while machine.may_publish(1) and len(sent) < 3:
            sent.append(publish(machine, f"m{len(sent) + 1}"))
    machine.lost("the end")
    assert machine.state in (State.CLOSED, State.BROKEN)
    assert all(each.fate is not Fate.OUT for each in sent) and len(machine.reader.buffer) < 140_000
    assert len(machine.outgoing) < 1000 or sent


def test_credentials_are_never_shown() -> None:
    assert "geheim" not in repr(Login(password="geheim")) and opened().login.password == "guest"


def test_a_connection_blocked_for_a_minute_lives_and_publishes_nothing_meanwhile() -> None:
    machine = ready(heartbeat=10)
    one = publish(machine, "m1")
    feed(machine, raw(commands.Connection.Blocked("low on memory")), 0.0)
    beats = 0
    for second in range(1, 61):
        now = float(second)
        assert machine.tick(now) == [] and not machine.may_publish(1)
        data = machine.take(now)
        machine.wrote(len(data))
        beats += data.count(b"\x08\x00\x00\x00\x00\x00\x00\xce")
        assert len(data) in (0, 8)
        if second % 5 == 0:
            feed(machine, b"\x08\x00\x00\x00\x00\x00\x00\xce", now)
    assert beats == 12 and one.fate is Fate.OUT and machine.state is State.OPEN
    assert fates(feed(machine, raw(commands.Connection.Unblocked()) + raw(Ack(1, False), 1), 60.5)) == {
        "m1": Fate.ACKED
    }
    assert publish(machine, "m2").tag == 2

"""The protocol parsers, the ring buffer, close reasons, the log and the reading of settings."""

import io

from knotwalk.net.close_reason import CloseReason, Outcome, Role, outcome
from knotwalk.net.http import ResponseParser
from knotwalk.net.log import Log
from knotwalk.net.loop import MessageTooLongError, ProtocolError
from knotwalk.net.resp import RespParser, encode_message
from knotwalk.net.ring import RingBuffer
from knotwalk.wire_values import MalformedError, flatten_settings, read_methods, read_settings


def error_type_of(parser, data):
    try:
        parser.feed(data)
    except ProtocolError as fault:
        return type(fault)
    return None


def test_resp_at_every_split():
    data = encode_message("agent", "zone", "") + encode_message("probe") + encode_message("hot", "slice", "ü" * 40)
    expected = [["agent", "zone", ""], ["probe"], ["hot", "slice", "ü" * 40]]
    for at in range(len(data) + 1):
        resp = RespParser()
        assert resp.feed(data[:at]) + resp.feed(data[at:]) == expected
    resp = RespParser()
    assert [x for k in range(len(data)) for x in resp.feed(data[k : k + 1])] == expected and not resp.buffered_bytes()


def test_resp_that_is_malformed_or_too_long():
    for bad in (
        b"probe\r\n",
        b"*x\r\n",
        b"*-1\r\n",
        b"*1\r\n*1\r\n",
        b"*1\r\n$2\r\nabcd",
        b"*" + b"1" * 40,
        b"\r\n",
        b"*1\r\n$-1\r\n",
    ):
        assert error_type_of(RespParser(), bad) is ProtocolError, bad
    two_strings = b"*2\r\n$900000\r\n" + b"x" * 900000 + b"\r\n$900000\r\n"
    for bad in (b"*1\r\n$1048577\r\n", b"*9999\r\n", two_strings):
        assert error_type_of(RespParser(), bad) is MessageTooLongError, bad[:30]
    assert len(RespParser().feed(b"*1\r\n$1000000\r\n" + b"x" * 1000000 + b"\r\n")) == 1


def test_http_answers_at_every_split():
    data = (
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
        b"HTTP/1.1 429 No\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    for at in range(len(data)):
        answers = ResponseParser(99)
        events = answers.feed(data[:at]) + answers.feed(data[at:])
        assert [x for x in events if x[0] != "piece"] == [
            ("status", 200),
            ("end", True),
            ("status", 429),
            ("end", False),
        ]
        assert b"".join(x[1] for x in events if x[0] == "piece") == b"helloabcde"


def test_http_that_is_malformed_or_too_long():
    assert error_type_of(ResponseParser(9), b"*1\r\n$5\r\nprobe\r\n") is ProtocolError
    assert (
        error_type_of(ResponseParser(9), b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789")
        is MessageTooLongError
    )
    assert error_type_of(ResponseParser(0), b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789") is None


def test_a_ring_buffer_keeps_the_order_as_it_wraps_and_grows():
    ring, sent, received = RingBuffer(64, 8), bytes(range(200)), b""
    for at in range(0, 200, 5):
        assert ring.put(sent[at : at + 5])
        size = len(ring.peek()) - (at % 3)
        received += bytes(ring.peek()[: max(0, size)])
        ring.consume(max(0, size))
    while ring.size:
        received += bytes(ring.peek())
        ring.consume(len(ring.peek()))
    assert received == sent and len(ring.buffer) <= 64


def test_a_full_ring_buffer_accepts_nothing():
    ring = RingBuffer(8, 4)
    assert ring.put(b"12345678") and not ring.put(b"9") and not len(ring.free_space())


def test_every_close_reason_has_an_outcome_for_every_role():
    for reason in CloseReason:
        assert outcome(Role.CALL, reason, sent=False) is Outcome.NOT_APPLIED
        assert outcome(Role.STREAM, reason) is Outcome.STALE
        assert outcome(Role.LIST, reason) is Outcome.LIST_FAILED
        assert outcome(Role.COLLECTOR, reason) is Outcome.NOTHING
        never_established = reason in (CloseReason.REFUSED, CloseReason.UNREACHABLE, CloseReason.CONNECT_TIMEOUT)
        assert outcome(Role.CALL, reason, sent=True) is (Outcome.NOT_APPLIED if never_established else Outcome.UNKNOWN)


def test_the_log_limits_the_rate_of_a_kind_and_reports_the_suppressed_lines():
    out, times = io.StringIO(), iter([0.0] * 20 + [9.0] * 2)
    log = Log(out, lambda: next(times))
    for _ in range(20):
        log("oops", "again\nand again")
    log("oops", "later")
    log("other")
    text = out.getvalue().splitlines()
    assert text[:5] == ["knotwalk oops: again and again"] * 5 and len(text) == 7
    assert text[5] == "knotwalk oops: later (15 more of this kind held back)"


def test_nested_settings_are_read_like_the_wire_protocols_pairs():
    settings = {
        "classes": [{"name": "read", "slo_us": 1500000, "worth": 3.0}],
        "tick_us": 1000,
        "family_info": {"partitions_n": 4, "admit": "fraction", "one_owner": False},
    }
    pairs = flatten_settings(settings)
    s = read_settings(pairs)
    assert s.methods[0].soft_deadline == 1.5 and s.slices == 4 and s.admits and not s.one_owner
    assert read_methods(pairs) == {"read": 0} and pairs["tick_us"] == "1000"


def test_settings_that_are_missing_or_invalid():
    assert read_settings({}).slices == 0
    try:
        read_settings({"family_info.period_us": "soon"})
    except MalformedError as fault:
        assert "family_info.period_us=soon" in str(fault)
    else:
        assert False

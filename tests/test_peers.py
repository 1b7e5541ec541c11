"""The conductor's connection handlers, fed bytes without sockets, on a clock that the test advances."""

import json
from random import Random

from standins.platform import Clock, Wire, answer, lines

from knotwalk.net.close_reason import CloseReason
from knotwalk.net.collectors import CollectorServer
from knotwalk.net.discovery import ListWatch
from knotwalk.net.relay import OrderSender, RelayStream
from knotwalk.net.resp import encode_message
from knotwalk.wire_values import ReportBounds

ADDRESS = ("127.0.0.1", 1)
OUTCOMES_REPORT = encode_message(
    "outcomes",
    "zone",
    "a",
    "server",
    "s",
    "tries",
    "9",
    "failed",
    "1",
    "mean_ms",
    "40",
    "span_ms",
    "2000.0",
    "load",
    "util:0.5,qps:7",
)
DEMAND_REPORT = encode_message("hot", "slice", "3", "class", "read", "tries", "9", "failed", "0", "span_ms", "2000.0")


JOIN_MESSAGE = encode_message("agent", "zone", "a")
BOUNDS = ReportBounds(frozenset({"a"}), 9, 1000, 10)


class RecordedEvents(list):
    """The events delivered to the inbox, with the log lines, and the count of receipts_lost."""

    def __init__(self):
        self.log, self.lost = [], 0

    def enqueue(self, *event):
        if event == ("receipts_lost",):
            self.lost += 1
        else:
            self.append(event)

    def add_log(self, kind, text=""):
        self.log.append(f"{kind}: {text}")


def make_server(max_connections=9, max_unfinished_bytes=10**6):
    events, clock = RecordedEvents(), Clock()
    server = CollectorServer(
        clock,
        {"read": 0},
        BOUNDS,
        {"s"}.__contains__,
        lambda: {"a"},
        events.enqueue,
        events.add_log,
        max_connections,
        max_unfinished_bytes,
    )
    server.ready = True
    return server, clock, events


def make_relay():
    events, clock = RecordedEvents(), Clock()
    stream = RelayStream(clock, ADDRESS, events.enqueue, events.add_log)
    return OrderSender(clock, ADDRESS, stream, events.add_log), stream, clock, events


def make_watch():
    events, clock = RecordedEvents(), Clock()
    return ListWatch(clock, ADDRESS, 4, [("s", "z", "ready", 1.0, 0.0)], events.enqueue, events.add_log), clock, events


def sent_orders(wire):
    """The orders of each call that was written."""
    return [json.loads(part.split(b"\r\n\r\n")[1])["orders"] for part in wire.written.split(b"POST ")[1:]]


def set_order(slice_id, server, weight=1.0):
    return {"do": "SET", "group": slice_id, "server": server, "weight": weight}


# --- collectors ----------------------------------------------------------------------------------


def test_a_burst_of_reports_is_delivered_together_however_it_is_split():
    """Guards against a period being judged several times: the decisions lower admission levels once a report."""
    server, clock, events = make_server()
    wire = Wire(server.accept())
    wire.feed(JOIN_MESSAGE)
    data = OUTCOMES_REPORT + 3 * DEMAND_REPORT
    for at in range(0, len(data), 50):
        wire.feed(data[at : at + 50])
        clock.move(0.015)
        assert not events
    clock.move(0.02)
    assert events == [("heard", "s", "a", 2.0, 9, 1, 0.04, {"utilization": 0.5, "qps": 7.0})] + 3 * [
        ("wanted", 3, 0, 2.0, 9)
    ]


def test_a_collector_that_falls_silent_within_a_message_does_not_delay_the_others():
    server, clock, events = make_server()
    silent = Wire(server.accept())
    silent.feed(JOIN_MESSAGE + OUTCOMES_REPORT[:40])
    clock.move(1)
    other = Wire(server.accept())
    other.feed(JOIN_MESSAGE + DEMAND_REPORT)
    clock.move(0.03)
    assert events == [("wanted", 3, 0, 2.0, 9)]


def test_a_burst_without_end_is_delivered_after_its_maximum():
    server, clock, events = make_server()
    wire = Wire(server.accept())
    wire.feed(JOIN_MESSAGE)
    for _ in range(30):
        wire.feed(DEMAND_REPORT)
        clock.move(0.01)
    assert 24 <= len(events) < 30


def test_a_probe_is_answered_once_the_server_is_ready():
    server, _, _ = make_server()
    server.ready = False
    early, late = Wire(server.accept()), Wire(server.accept())
    early.feed(encode_message("probe"))
    assert not early.written
    server.start_serving()
    server.start_serving()
    late.feed(encode_message("probe") * 2)
    assert early.written == encode_message("alive") and late.written == encode_message("alive") * 2


def malformed(message, *names):
    """Variants of a message: each of these fields left out, and each with values that are no valid number."""
    words = message.decode().split("\r\n")[2::2]
    for at in [words.index(name) for name in names]:
        yield words[:at] + words[at + 2 :]
        for value in ("", "-3", "nan", "inf", "1e30", "38654705664", "s-zz", "[1]", "1.5x"):
            yield [*words[: at + 1], value, *words[at + 2 :]]


def test_an_invalid_message_of_a_collector_is_dropped_alone():
    """Guards the decisions against impossible values; an unknown server name would count as a new server."""
    for message, names in (
        (OUTCOMES_REPORT, ("zone", "server", "tries", "failed", "mean_ms", "span_ms")),
        (DEMAND_REPORT, ("slice", "class", "tries", "failed", "span_ms")),
    ):
        for bad in malformed(message, *names):
            server, clock, events = make_server()
            wire = Wire(server.accept())
            wire.feed(JOIN_MESSAGE + DEMAND_REPORT + encode_message(*bad) + DEMAND_REPORT)
            clock.move(1)
            assert not wire.closed and events == 2 * [("wanted", 3, 0, 2.0, 9)] and len(events.log) == 1, bad
    for bad in (
        encode_message("what"),
        encode_message("hot", "slice"),
        encode_message("hot"),
        encode_message("agent", "zone", "b"),
        OUTCOMES_REPORT.replace(b"$1\r\n9", b"$1\r\n0"),
        OUTCOMES_REPORT.replace(b"$1\r\n9", b"$3\r\n9.5"),
        OUTCOMES_REPORT.replace(b"util:0.5", b"util:4.0"),
        OUTCOMES_REPORT.replace(b"util:0.5,qps:7", b"util:,qps:0007"),
        DEMAND_REPORT.replace(b"$6\r\n2000.0", b"$1\r\n0"),
        DEMAND_REPORT.replace(b"$1\r\n3", b"$1\r\n9"),
        DEMAND_REPORT.replace(b"tries\r\n$1\r\n9", b"tries\r\n$7\r\n1000000"),
    ):
        server, clock, events = make_server()
        wire = Wire(server.accept())
        wire.feed(JOIN_MESSAGE + bad + b"*0\r\n" + DEMAND_REPORT)
        clock.move(1)
        assert not wire.closed and events == [("wanted", 3, 0, 2.0, 9)] and len(events.log) == 1, bad


def test_more_tries_at_a_slice_may_fail_than_were_begun():
    """Guards against lost demand reports where RPCs take longer than a span."""
    server, clock, events = make_server()
    wire = Wire(server.accept())
    wire.feed(JOIN_MESSAGE + DEMAND_REPORT.replace(b"failed\r\n$1\r\n0", b"failed\r\n$2\r\n12"))
    clock.move(1)
    assert events == [("wanted", 3, 0, 2.0, 9)]


def test_a_connection_that_sends_without_joining_is_closed_at_once():
    for message in (
        DEMAND_REPORT,
        OUTCOMES_REPORT,
        encode_message("hello", "proxy", "1", "zone", "a"),
        encode_message("agent", "zone", "nowhere"),
        encode_message("agent"),
        encode_message("push"),
        encode_message("demand", "proxy", "7", "tries", "5"),
    ):
        server, clock, events = make_server()
        wire = Wire(server.accept())
        wire.feed(message)
        clock.move(0.5)
        assert wire.closed is CloseReason.MALFORMED and not events and not server.connections, message


def test_a_connection_that_does_not_join_in_time_is_closed():
    """Guards against unknown clients that send nothing, a few bytes or one probe, and stay connected for good."""
    server, clock, _ = make_server()
    silent, probing, incomplete, joined = (Wire(server.accept()) for _ in range(4))
    probing.feed(encode_message("probe"))
    joined.feed(JOIN_MESSAGE)
    for byte in encode_message("agent", "zone", "a")[:15]:
        incomplete.feed(bytes([byte]))
        clock.move(0.1)
    assert [x.closed for x in (silent, probing, incomplete, joined)] == 3 * [CloseReason.JOIN_TIMEOUT] + [False]
    assert probing.written == encode_message("alive") and len(server.connections) == 1 and not server.unfinished_bytes


def test_a_probe_that_waits_for_readiness_is_not_closed():
    server, clock, _ = make_server()
    server.ready = False
    waits, silent = Wire(server.accept()), Wire(server.accept())
    waits.feed(encode_message("probe"))
    clock.move(5)
    assert silent.closed and not waits.closed
    server.start_serving()
    assert waits.written == encode_message("alive")
    clock.move(2)
    assert waits.closed is CloseReason.JOIN_TIMEOUT


def test_silent_connections_of_a_zone_are_closed_when_another_joins():
    server, clock, _ = make_server()
    old = Wire(server.accept())
    old.feed(JOIN_MESSAGE)
    clock.move(5)
    second = Wire(server.accept())
    second.feed(JOIN_MESSAGE)
    clock.move(8)
    second.feed(DEMAND_REPORT)
    third = Wire(server.accept())
    third.feed(JOIN_MESSAGE)
    assert old.closed is CloseReason.SILENT and not second.closed and len(server.connections) == 2


def test_bytes_that_are_no_message_close_the_connection():
    for data, reason in (
        (b"GET / HTTP/1.1\r\n\r\n", CloseReason.MALFORMED),
        (b"*1\r\n$2097152\r\n", CloseReason.TOO_LONG),
    ):
        wire = Wire(make_server()[0].accept())
        wire.feed(data)
        assert wire.closed is reason


def test_silent_unjoined_connections_are_evicted_before_collectors():
    server, _, _ = make_server(max_connections=3)
    collector = Wire(server.accept())
    collector.feed(JOIN_MESSAGE)
    unjoined = [Wire(server.accept()) for _ in range(8)]
    assert not collector.closed and len(server.connections) == 3
    assert [x.closed for x in unjoined] == 6 * [CloseReason.EVICTED] + 2 * [False]


def test_incomplete_messages_do_not_fill_the_memory():
    server, _, _ = make_server(max_unfinished_bytes=10_000)
    collector, small, large = (Wire(server.accept()) for _ in range(3))
    collector.feed(JOIN_MESSAGE + b"*2\r\n$3\r\nhot")
    small.feed(b"*1\r\n$9000\r\n" + 2000 * b"x")
    large.feed(b"*1\r\n$9000\r\n" + 8500 * b"x")
    assert (
        large.closed is CloseReason.EVICTED
        and not small.closed
        and not collector.closed
        and server.unfinished_bytes < 3000
    )


# --- calls ---------------------------------------------------------------------------------------


def test_orders_are_sent_in_one_call_and_later_ones_in_the_next():
    sender, _, _, _ = make_relay()
    sender.add_orders([set_order(1, "a"), {"do": "SYNC", "ticket": 1, "on": 0}])
    wire = Wire(sender)
    sender.add_orders([set_order(2, "a"), set_order(3, "b"), {"do": "SYNC", "ticket": 2, "on": 0}])
    sender.add_orders([set_order(2, "c"), set_order(2, "a", 0.0), {"do": "SYNC", "ticket": 3, "on": 0}])
    assert sent_orders(wire) == [[set_order(1, "a"), {"do": "SYNC", "ticket": 1, "on": 0}]]
    wire.feed(answer({"accepted": 2}))
    assert sent_orders(wire)[1] == [
        set_order(3, "b"),
        set_order(2, "c"),
        set_order(2, "a", 0.0),
        {"do": "SYNC", "ticket": 3, "on": 0},
    ]


def test_a_call_above_the_size_limit_is_split_and_its_receipt_comes_last():
    sender, _, _, _ = make_relay()
    sender.add_orders([set_order(k, "s" * 30) for k in range(1500)] + [{"do": "SYNC", "ticket": 1, "on": 0}])
    wire = Wire(sender)
    while (sent := sent_orders(wire)) and sent[-1][-1]["do"] != "SYNC":
        wire.feed(answer({"accepted": len(sent[-1])}))
    assert len(sent) == 3 and sum(map(len, sent)) == 1501
    assert all(len(json.dumps(x, separators=(",", ":"))) < 60_020 for x in sent)


def test_a_refused_order_is_logged_and_the_rest_is_sent():
    sender, _, _, events = make_relay()
    sender.add_orders([set_order(1, "a"), set_order(2, "q"), set_order(3, "a")])
    wire = Wire(sender)
    wire.feed(answer({"accepted": 1}))
    assert sent_orders(wire)[1] == [set_order(3, "a")] and "order refused" in events.log[0] and "'q'" in events.log[0]


def test_a_refused_line_drops_the_orders_of_its_slice_and_its_server():
    """Guards against a slice without a line, and against a call for each line to a server unknown to the relay."""
    sender, stream, _, events = make_relay()
    stream.slices = {1: {"a": 1.0}, 2: {"a": 1.0}, 3: {"a": 1.0}}
    sender.add_orders(
        [x for k, to in ((1, "q"), (2, "q"), (3, "b")) for x in (set_order(k, to), set_order(k, "a", 0.0))]
    )
    wire = Wire(sender)
    wire.feed(answer({"accepted": 0}))
    assert sent_orders(wire)[1:] == [[set_order(3, "b"), set_order(3, "a", 0.0)]]
    assert events == [x for k in (1, 2) for x in (("taken", k), ("given", k), ("held", k, "a", 1.0))]


def test_throttled_calls_wait_and_newer_orders_replace_theirs():
    sender, _, clock, _ = make_relay()
    sender.add_orders([set_order(1, "a"), set_order(2, "a")])
    wire = Wire(sender)
    wire.feed(answer({"error": "throttled"}, "429 Too Many"))
    sender.add_orders([set_order(1, "b"), set_order(1, "a", 0.0)])
    assert len(sent_orders(wire)) == 1
    clock.move(0.2)
    assert sent_orders(wire)[1:] == [[set_order(2, "a"), set_order(1, "b"), set_order(1, "a", 0.0)]]


def test_an_idle_connection_that_is_reset_is_replaced_without_a_loss():
    sender, _, clock, events = make_relay()
    sender.add_orders([set_order(1, "a")])
    first = Wire(sender)
    first.feed(answer({"accepted": 1}))
    first.close(CloseReason.RESET)
    sender.add_orders([set_order(2, "a")])
    assert len(clock.connects) == 2 and sent_orders(Wire(sender)) == [[set_order(2, "a")]] and not events.log


def test_a_call_that_was_not_fully_sent_is_sent_again():
    sender, _, clock, _ = make_relay()
    sender.add_orders([set_order(1, "a")])
    wire = Wire(sender)
    wire.write_buffer.put(b"rest")
    wire.close(CloseReason.RESET)
    clock.move(0.1)
    assert sent_orders(Wire(sender)) == [[set_order(1, "a")]]


def unconfirmed_call(reason=None, feed=b"", orders=()):
    """A call with an unknown outcome, and the connection that reads the current state to find it out."""
    sender, stream, clock, events = make_relay()
    stream.slices = {1: {"a": 1.0}, 2: {}}
    orders = list(orders) or [set_order(1, "b"), set_order(1, "a", 0.0), {"do": "SYNC", "ticket": 7, "on": 0}]
    sender.add_orders(orders)
    wire = Wire(sender)
    wire.feed(feed) if feed else wire.close(reason) if reason else clock.move(0.2)
    assert wire.closed and sender.unconfirmed == orders
    sender.add_orders([set_order(2, "c")])
    clock.move(0.1)  # until then the call may still be carried out
    return sender, stream, clock, orders, Wire(clock.connects[-1]) if len(clock.connects) > 1 else None


def test_an_unconfirmed_call_that_was_carried_out_is_not_sent_again():
    for case in (
        {"reason": CloseReason.RESET},
        {},
        {"feed": answer("{}")},
        {"feed": answer("junk")},
        {"feed": b"junk"},
        {"feed": answer({"accepted": 3}, "500 Oh")},
        {"feed": answer({"error": 17})},
        *({"feed": answer({"accepted": x})} for x in (-1, 4, "3", 1.5, True, None, [3])),
    ):
        sender, stream, _, _, check = unconfirmed_call(**case)
        check.feed(lines(("lease", {"slice": 1, "on": True}), ("line", {"slice": 1, "server": "b", "weight": 1.0})))
        assert stream.slices[1] == {"b": 1.0} and check.closed
        assert sent_orders(Wire(sender)) == [[set_order(2, "c")]], case


def test_an_unconfirmed_call_that_was_not_carried_out_is_sent_again_first():
    sender, stream, _, orders, check = unconfirmed_call(CloseReason.CLOSED)
    check.feed(
        lines(
            ("lease", {"slice": 1, "on": True}),
            ("line", {"slice": 1, "server": "a", "weight": 1.0}),
            ("lease", {"slice": 2, "on": True}),
        )
    )
    assert stream.slices[1] == {"a": 1.0} and sent_orders(Wire(sender)) == [[*orders, set_order(2, "c")]]


def test_a_receipt_or_the_loss_of_the_slice_confirms_a_call():
    sender, stream, _, _, _ = unconfirmed_call()
    stream.on_ack({"proxy": 1, "mark": 7})
    assert sent_orders(Wire(sender)) == [[set_order(2, "c")]]
    sender, _, _, _, check = unconfirmed_call()
    check.feed(lines(("lease", {"slice": 2, "on": True}), ("", {})))
    assert sent_orders(Wire(sender)) == [[set_order(2, "c")]]


def test_a_call_that_stays_unconfirmed_is_sent_again():
    level = {"do": "LIMIT", "group": 1, "classes": ["read"], "level": 0.5, "retry": 1}
    for orders in ((), [level]):
        sender, _, clock, orders, check = unconfirmed_call(orders=orders)
        if check:
            check.close(CloseReason.RESET)
        clock.move(2)
        assert sent_orders(Wire(sender)) == [[*orders, set_order(2, "c")]]


# --- event stream ----------------------------------------------------------------------------------------

STATE = (
    ("hello", {"proxy": 1, "zone": "a", "weight": 2.5, "fresh": True}),
    ("lease", {"slice": 3, "on": True}),
    ("line", {"slice": 3, "server": "a", "weight": 1.0}),
)
STATE_EVENTS = [("joined", 1), ("given", 3), ("held", 3, "a", 1.0)]


def test_events_split_at_any_byte():
    for size in (1, 7, 10**6):
        _, stream, _, events = make_relay()
        wire, data = (
            Wire(stream),
            lines(
                *STATE,
                ("", {}),
                ("ack", {"proxy": 1, "mark": 9, "took_ms": 1.5}),
                ("line", {"slice": 3, "server": "b", "weight": 2}),
                ("bye", {"proxy": 1}),
                ("lease", {"slice": 3, "on": False}),
                ("future", {}),
            ),
        )
        for at in range(0, len(data), size):
            wire.feed(data[at : at + size])
        assert events == STATE_EVENTS + [("applied", 1, 9), ("held", 3, "b", 2.0), ("left", 1), ("taken", 3)]


def events_after_reconnect(*objects):
    """The events of a second stream after a first one that sent STATE."""
    sender, stream, clock, events = make_relay()
    wire = Wire(stream)
    wire.feed(lines(*STATE, ("", {})))
    wire.close(CloseReason.RESET)
    clock.move(0.1)
    assert stream in clock.connects
    events.clear()
    Wire(stream).feed(lines(*objects))
    return events


def test_a_proxy_that_joins_again_without_a_bye_is_on_a_new_stream():
    _, stream, _, events = make_relay()
    Wire(stream).feed(lines(*STATE, ("", {}), STATE[0]))
    assert events == STATE_EVENTS + [("left", 1), ("joined", 1)]


def test_unchanged_state_is_not_reported_after_a_reconnect():
    assert events_after_reconnect(("", {}), *STATE, ("", {})) == []


def test_removals_after_a_reconnect_are_reported_once_the_state_is_complete():
    other = ("hello", {"proxy": 2})
    assert events_after_reconnect(other) == [("joined", 2)]
    assert events_after_reconnect(other, ("", {})) == [("joined", 2), ("left", 1), ("taken", 3)]
    assert events_after_reconnect(("", {}), ("", {})) == [("left", 1), ("taken", 3)]


def test_lines_of_another_conductor_make_the_slice_new():
    changed = (*STATE[:2], ("line", {"slice": 3, "server": "b", "weight": 1.0}), ("", {}))
    assert events_after_reconnect(*changed) == [("taken", 3), ("given", 3), ("held", 3, "b", 1.0)]


def test_lines_that_we_ordered_are_expected():
    sender, stream, _, events = make_relay()
    Wire(stream).feed(lines(*STATE, ("", {})))
    sender.add_orders([set_order(3, "b"), set_order(3, "a", 0.0)])
    Wire(sender).feed(answer({"accepted": 2}))
    events.clear()
    Wire(stream).feed(lines(*STATE[:2], ("line", {"slice": 3, "server": "b", "weight": 1.0}), ("", {})))
    assert events == []


def test_lines_ordered_while_the_state_is_read_are_expected():
    """Guards against a slice reported as new with the lines that it had before our order."""
    sender, stream, _, events = make_relay()
    Wire(stream).feed(lines(*STATE, ("", {})))
    events.clear()
    wire = Wire(stream)
    wire.feed(lines(*STATE))
    sender.add_orders([set_order(3, "b")])
    Wire(sender).feed(answer({"accepted": 1}))
    wire.feed(lines(("", {}), head=False))
    assert events == [] and stream.slices == {3: {"a": 1.0, "b": 1.0}}


def test_unsent_orders_for_a_lost_slice_are_dropped():
    sender, stream, _, _ = make_relay()
    wire = Wire(stream)
    wire.feed(lines(*STATE, ("", {})))
    sender.add_orders([set_order(3, "b")])
    wire.feed(lines(("lease", {"slice": 3, "on": False}), head=False))
    assert not sender.queue


def test_many_events_use_one_timer():
    _, stream, clock, _ = make_relay()
    wire = Wire(stream)
    for _ in range(500):
        wire.feed(lines(("", {}), head=not wire.peer.signs_of_life))
        clock.move(0.01)
    assert not wire.closed and sum(1 for _, timer in clock.timers if timer.callback) == 1
    clock.move(2)
    assert wire.closed is CloseReason.SILENT


def test_a_silent_stream_is_closed_and_reconnected_with_backoff():
    _, stream, clock, events = make_relay()
    wire = Wire(stream)
    clock.move(2.5)
    assert wire.closed is CloseReason.SILENT
    tries = 0
    for _ in range(100):
        while clock.connects:
            clock.connects.pop()
            stream.connection_lost(None, CloseReason.REFUSED)
            tries += 1
        clock.move(0.1)
    assert 20 < tries < 30


def test_orders_of_a_failed_call_are_dropped_for_slices_lost_meanwhile():
    """Guards against old orders for a slice that was lost and granted again with another conductor's lines."""
    sender, stream, clock, _ = make_relay()
    wire = Wire(stream)
    wire.feed(lines(*STATE, ("", {})))
    sender.add_orders([set_order(3, "b"), set_order(4, "b")])
    call = Wire(sender)
    wire.feed(lines(("lease", {"slice": 3, "on": False}), ("lease", {"slice": 3, "on": True}), head=False))
    call.write_buffer.put(b"rest")
    call.close(CloseReason.RESET)
    clock.move(0.1)
    assert sent_orders(Wire(sender)) == [[set_order(4, "b")]]


def test_events_before_an_invalid_line_are_handled():
    _, stream, _, events = make_relay()
    wire = Wire(stream)
    wire.feed(lines(*STATE, ("", {})) + b"5\r\njunk\n\r\n")
    assert wire.closed is CloseReason.MALFORMED and events == STATE_EVENTS


def test_receipts_lost_with_the_stream_are_reported():
    """Both the receipts of orders sent before the stream was lost and of those sent until it was back."""
    _, stream, clock, events = make_relay()
    Wire(stream).feed(lines(*STATE, ("", {})))
    assert events.lost == 0
    clock.move(2)
    assert events.lost == 1 and stream.connection is None
    Wire(stream)
    assert events.lost == 2


def test_a_long_outage_without_changes_reports_nothing():
    _, stream, clock, events = make_relay()
    Wire(stream).feed(lines(*STATE, ("", {})))
    events.clear()
    clock.time += 60
    stream.connection_lost(None, CloseReason.CONNECT_TIMEOUT)
    Wire(stream).feed(lines(*STATE, ("", {})))
    assert events == []


def test_an_invalid_receipt_is_dropped_alone():
    for bad in (
        {},
        {"proxy": 1},
        {"proxy": 1, "mark": 9.5},
        {"proxy": "x", "mark": 9},
        {"proxy": 1, "mark": -3},
        {"proxy": None, "mark": 9},
        {"proxy": 1, "mark": [9]},
    ):
        _, stream, _, events = make_relay()
        wire = Wire(stream)
        wire.feed(lines(*STATE, ("", {}), ("ack", bad), ("ack", {"proxy": 1, "mark": 9})))
        assert events == [*STATE_EVENTS, ("applied", 1, 9)] and not wire.closed, bad


def test_an_invalid_stream_closes_the_connection():
    for bad in (
        lines(("hello", {})),
        lines(("hello", {"proxy": "x"})),
        lines(("hello", {"proxy": float("inf")})),
        lines(("lease", [])),
        lines(("line", {"slice": 1, "server": "a", "weight": float("nan")})),
        answer("x", "404 Not Found"),
        answer("{}\n"),
        b"junk\r\n\r\n",
    ):
        wire = Wire(make_relay()[1])
        wire.feed(bad)
        assert wire.closed is CloseReason.MALFORMED, bad


OTHER_ADDRESS = ("127.0.0.2", 2)


def test_the_stream_at_a_new_address_is_established_before_the_old_one_closes():
    _, stream, clock, events = make_relay()
    old = Wire(stream)
    old.feed(lines(*STATE, ("", {})))
    stream.change_address(OTHER_ADDRESS)
    assert not old.closed and clock.connects == [stream]
    old.feed(lines(("bye", {"proxy": 1}), head=False))
    new = Wire(stream, OTHER_ADDRESS)
    assert old.closed is CloseReason.CLOSED_BY_US and events == [*STATE_EVENTS, ("left", 1)]
    new.feed(lines(*STATE, ("", {})))
    assert events[4:] == [("joined", 1)] and len(clock.connects) == 1


def test_a_connect_to_the_old_address_is_repeated_at_the_new_one():
    _, stream, clock, _ = make_relay()
    stream.start()
    stream.change_address(OTHER_ADDRESS)
    stale = Wire(clock.connects.pop())
    assert stale.closed is CloseReason.CLOSED_BY_US and not stale.written and clock.connects == [stream]
    stream.connection_lost(None, CloseReason.REFUSED)
    stream.change_address(ADDRESS)  # during the reconnect delay: connects at once, not after it
    assert len(clock.connects) == 2


def test_calls_go_to_the_new_address_and_one_in_flight_completes_at_the_old():
    sender, _, clock, _ = make_relay()
    sender.add_orders([set_order(1, "a")])
    old = Wire(sender)
    sender.change_address(OTHER_ADDRESS)
    sender.add_orders([set_order(2, "a")])
    assert not old.closed
    old.feed(answer({"accepted": 1}))
    assert old.closed is CloseReason.CLOSED_BY_US and sent_orders(Wire(sender, OTHER_ADDRESS)) == [[set_order(2, "a")]]


# --- discovery -----------------------------------------------------------------------------------


def listing(version, full, *servers):
    return answer(
        {
            "version": version,
            "full": full,
            "servers": [
                {"id": id, "zone": "z", "state": state, "weight": 1.5, "started_ms": 0} for id, state in servers
            ],
        }
    )


def test_the_full_list_and_then_changes_arrive_on_one_connection():
    peer, _, events = make_watch()
    wire = Wire(peer)
    wire.feed(listing(41, True, ("s", "active")))
    wire.feed(listing(42, False))
    wire.feed(listing(43, False, ("s", "leaving")))
    assert events == [
        ("listed", True, False, [("s", "z", "ready", 1.5, 0.0)]),
        ("listed", False, False, [("s", "z", "draining", 1.5, 0.0)]),
    ]
    paths = [x.split(b" ")[1] for x in wire.written.split(b"\r\n\r\n")[:-1]]
    assert paths[0] == b"/v1/servers" and paths[1].startswith(b"/v1/servers?since=41&timeout_ms=")
    assert paths[3].startswith(b"/v1/servers?since=43&")


def test_the_watch_continues_over_an_agent_that_closes_after_each_answer():
    """Guards against requesting the full list again and again."""
    peer, clock, events = make_watch()
    peer.start()
    for version in (41, 41, 41):
        wire = Wire(clock.connects.pop())
        wire.feed(
            listing(version, version == 41 and not events, ("s", "active")).replace(
                b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"
            )
        )
        assert wire.closed is CloseReason.CLOSED_BY_US
    assert b"since=41" in wire.written and not events.log and len(clock.connects) == 1


def test_an_older_list_is_requested_in_full():
    peer, _, events = make_watch()
    wire = Wire(peer)
    wire.feed(listing(41, True, ("s", "active")) + listing(3, False, ("s", "left")))
    assert len(events) == 1 and wire.written.split(b"\r\n\r\n")[-2].startswith(b"GET /v1/servers HTTP")
    wire.feed(listing(3, True, ("t", "active")))
    assert events[1][3][0][0] == "t" and list(peer.entries) == ["t"]


def test_servers_that_leave_the_list_are_forgotten():
    peer, _, _ = make_watch()
    wire = Wire(peer)
    wire.feed(listing(41, True, ("s", "active")))
    for k in range(3000):
        wire.feed(listing(42 + k, False, (f"s{k}", "active"), (f"s{k - 1}", "left")))
    assert list(peer.entries) == ["s", "s2999"]


def test_a_silent_or_invalid_list_is_requested_again():
    for bad in (
        None,
        answer("junk"),
        answer({"version": 1}),
        answer("{}", "500 Broken"),
        b"junk\r\n\r\n",
        answer({"version": 1, "full": True, "servers": [{"id": "s", "state": "odd"}]}),
    ):
        peer, clock, events = make_watch()
        wire = Wire(peer)
        wire.feed(bad) if bad else clock.move(3)
        assert wire.closed is (CloseReason.MALFORMED if bad else CloseReason.SILENT) and not events
        clock.move(1)
        assert clock.connects == [peer]


# --- calls and stream together --------------------------------------------------------------------------


class FaultyRelay:
    """A relay whose connections fail in every way, at random, until it is healthy again."""

    def __init__(self, rng, clock, store):
        self.rng, self.clock, self.store = rng, clock, store
        self.wires, self.is_healthy = {}, False  # wires: bytes answered, by wire

    def step(self):
        while self.clock.connects:
            peer = self.clock.connects.pop()
            if self.is_healthy or self.rng.random() < 0.7:
                self.wires[Wire(peer)] = 0
            else:
                peer.connection_lost(
                    None,
                    self.rng.choice([CloseReason.REFUSED, CloseReason.CONNECT_TIMEOUT, CloseReason.UNREACHABLE]),
                )
        for wire in list(self.wires):
            while not wire.closed and len(wire.written) > self.wires[wire]:
                request = wire.written[self.wires[wire] :]
                self.wires[wire] = len(wire.written)
                self.send_state(wire) if request.startswith(b"GET") else self.handle_call(wire, request)
            if wire.closed or not self.is_healthy and self.rng.random() < 0.02:
                wire.close(CloseReason.RESET)
                del self.wires[wire]
            elif isinstance(wire.peer, RelayStream):
                wire.feed(lines(("", {}), head=False))

    def send_state(self, wire):
        data = lines(
            *(
                x
                for k, held in self.store.items()
                for x in [
                    ("lease", {"slice": k, "on": True}),
                    *(("line", {"slice": k, "server": s, "weight": w}) for s, w in held.items()),
                ]
            )
        )
        if self.is_healthy or self.rng.random() < 0.7:
            wire.feed(data)
            wire.feed(lines(("", {}), head=False))
        else:  # a part of it, then a close or invalid bytes
            wire.feed(data[: self.rng.randrange(len(data))])
            wire.feed(b"\0junk") if self.rng.random() < 0.5 else wire.close(CloseReason.CLOSED)

    def handle_call(self, wire, request):
        outcome = 0 if self.is_healthy else self.rng.choice([0, 0, 0, 1, 2, 3, 4, 5])
        orders = json.loads(request.split(b"\r\n\r\n")[1])["orders"]
        if outcome in (0, 1, 2, 3):
            for f in orders:
                if f["do"] == "SET" and f["group"] in self.store:
                    self.store[f["group"]].pop(f["server"], None)
                    if f["weight"]:
                        self.store[f["group"]][f["server"]] = f["weight"]
        if outcome in (1, 4):
            wire.close(CloseReason.RESET)
        elif outcome == 0:
            wire.feed(answer({"accepted": len(orders)}))
        elif outcome == 2:
            wire.feed(answer("{}"))  # 3 and 5: no answer at all


def test_the_store_ends_as_ordered_whatever_faults_the_relay_has():
    for seed in range(60):
        rng = Random(seed)
        sender, stream, clock, events = make_relay()
        expected = {k: {"a": 1.0} for k in range(4)}
        relay = FaultyRelay(rng, clock, {k: dict(v) for k, v in expected.items()})
        stream.start()
        for step in range(400):
            relay.is_healthy = step > 300 or step < 3
            if 3 < step < 300 and rng.random() < 0.1 and len(stream.slices) == 4:
                k, server = rng.randrange(4), rng.choice("abc")
                orders = [set_order(k, x, 0.0) for x in expected[k] if x != server] + [set_order(k, server)]
                expected[k] = {server: 1.0}
                sender.add_orders([*orders, {"do": "SYNC", "ticket": step, "on": 0}])
            relay.step()
            clock.move(0.05)
        assert relay.store == expected == stream.slices, seed
        assert not (sender.queue or sender.in_flight or sender.unconfirmed)
        assert [x for x in events if x[0] == "taken"] == [], seed

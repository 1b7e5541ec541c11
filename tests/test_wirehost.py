"""The simulator's wire protocol: round trips and invalid lines."""

import io

from knotwalk.wirehost.host import Host, serve

BORN = (
    "BORN random_seed=7 classes.count=1 classes.0.name=read classes.0.slo_us=1500000 "
    "family_info.partitions_n=1 family_info.retry_default=1 family_info.admit=fraction "
    "stats.columns=busy,new "
    "family_info.period_us=1000000 family_info.most_waiting=1000 future.key=x"
)
LIST = [
    "PAGE bank=0 members_list=1",
    "ITEM node=10.0.0.1:80 zone=z readiness=Running w=1",
    "PEERS_KNOWN form=Persisted bank=0 epoch=1",
]


def run(*lines, end="\n"):
    sink, errors = io.BytesIO(), io.StringIO()
    code = serve(io.BytesIO(("\n".join(lines) + end).encode()), sink, errors)
    return code, sink.getvalue().decode().splitlines(), errors.getvalue()


def batch(*lines, frame=1):
    return (f"SYNC clock_us=1000000 frame={frame}", *lines, "COMMIT")


def test_an_empty_batch_is_answered_and_the_end_of_input_is_no_error():
    assert run(*batch(frame=9)) == (0, ["END frame=9"], "")


def test_a_slice_without_a_line_gets_one():
    code, reply, errors = run(*batch("CONTEXT who=conductor_1", BORN, *LIST, "TENURE map_id=0 active=1"))
    assert (code, errors) == (0, "") and reply[0] == "AS who=conductor_1"
    assert "ENDPOINT map_id=0 w=1 node=10.0.0.1:80" in reply and reply[-1] == "END frame=1"


def test_every_event_is_accepted():
    code, reply, errors = run(
        *batch(
            "CONTEXT who=c_1",
            BORN,
            *LIST,
            "JOINED active=1 w=6.5 zone=z edge=4",
            "TENURE map_id=0 active=1",
            "ON_RECORD map_id=0 node=10.0.0.1:80 w=1",
            "REMINDER cookie=0",
            "CAUGHT_UP edge=4 epoch=1",
            "UPSTREAM_STATS period_len_us=1000000 zone=z node=10.0.0.1:80 unanswered=1 count=9 gauge=0.5,1",
            "PRESSURE map_id=0 tier_class=read count=9 unanswered=0 period_len_us=1000000",
            "PEERS_KNOWN form=Error bank=0",
            "PONG node=10.0.0.1:80 outcome=0 wait_time_us=1",
            "MAIL src=1 body=-",
            "DEMAND edge=4 tier_class=read count=1 unanswered=0 period_len_us=1",
            "DROPPED_OFF edge=4",
            "CRASH_NOW",
            BORN,
            *LIST,
        )
    )
    assert (code, errors) == (0, "") and not any("FATAL" in line for line in reply)


def test_lists_are_resolved_in_the_order_of_events():
    host = Host(print)
    lines = iter(["CONTEXT who=c", BORN, *LIST, "PAGE bank=0 members_list=0", "COMMIT"])
    host.handle_batch("SYNC clock_us=0 frame=1", lambda: next(lines))
    assert host.instances["c"].conductor.servers["10.0.0.1:80"].state == "ready" and host.banks[0] == []


def test_an_invalid_event_is_reported_and_the_batch_continues():
    for event, expected in (
        ("NONSENSE a=1", "no such event"),
        ("JOINED edge=x", "'x'"),
        ("JOINED zone=z", "'edge' is missing"),
        ("JOINED edge", "not name=value"),
        ("PEERS_KNOWN form=Partial bank=5", "bank 5"),
        ("PRESSURE map_id=0 tier_class=other count=1 period_len_us=1", "other"),
    ):
        code, reply, errors = run(*batch("CONTEXT who=c", BORN, event), *batch(frame=2))
        assert code == 0 and expected in errors and "Traceback" not in errors and reply[-1] == "END frame=2", event


def test_an_event_for_an_unknown_instance_is_reported():
    assert "c_9 was never born" in run(*batch("CONTEXT who=c_9", "REMINDER cookie=0"))[2]


def test_a_truncated_batch_is_reported():
    code, reply, errors = run("SYNC clock_us=0 frame=1", "CONTEXT who=c")
    assert code == 1 and not reply and "within a batch" in errors


def test_an_exception_in_the_decisions_becomes_fatal():
    host = Host(print)
    lines = iter(["CONTEXT who=c", BORN, "COMMIT"])
    host.handle_batch("SYNC clock_us=0 frame=1", lambda: next(lines))
    host.instances["c"].conductor.decide = lambda *_: 1 / 0
    lines = iter(["CONTEXT who=c", "REMINDER cookie=0", "COMMIT"])
    reply = host.handle_batch("SYNC clock_us=0 frame=2", lambda: next(lines))
    assert "FATAL msg=ZeroDivisionError: division by zero" in reply

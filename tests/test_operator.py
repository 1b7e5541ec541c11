"""The operator's file."""

import pytest
from hypothesis import given, settings, strategies as st

from knotwalk.settings.operator import Operator, Record, Refused, read


def test_what_the_file_says_is_read_with_its_units():
    told = read(
        '# c\nrecord {\n  enabled = true\n  path = "/r"\n  budget = "2GiB"\n  segment_age = "90m"\n'
        '  checkpoint = "30s" # d\n}\n',
        "f",
    )
    assert told.record == Record(True, "/r", 2 << 30, 64 << 20, 5400.0, 30.0)
    assert read("", "f") == Operator() and read("record {}", "f") == Operator()


@pytest.mark.parametrize(
    "source, messages",
    [
        ('record {\n budget = "20 apples"\n}', ["f:2: 'record.budget' is no size; \"64MiB\" would be one"]),
        ("record {\n checkpoint = 60\n}", ["f:2: 'record.checkpoint' is no time; \"60s\" would be one"]),
        (
            'record {\n enabled = "yes"\n colour = 1\n}',
            ["f:2: 'record.enabled' is neither true nor false", "f:3: no such field 'record.colour'"],
        ),
        ("tape {\n}", ["f:1: no such block 'tape'; there are record"]),
        ("record {\n}\nrecord {\n}", ["f:3: a second block 'record'"]),
        ('record {\n path = "/a"\n path = "/b"\n}', ["f:3: 'record.path' stands there a second time"]),
        ("enabled = true", ["f:1: 'enabled' stands in no block"]),
        ("record {\n enabled = true\n}", ["f: record is enabled without a path"]),
        ('record {\n budget = "2MiB"\n segment = "2MiB"\n}', ["f: record.segment is more than half of record.budget"]),
        ('record {\n checkpoint = "0s"\n}', ["f:2: 'record.checkpoint' is out of range"]),
        ('record {\n path = "${env}"\n}', ["f:2: 'record.path' is no text"]),
        ("record {\n path = \n}", ["f:2: this cannot be read as HCL"]),
    ],
)
def test_each_mistake_is_one_line_that_names_place_and_mistake(source, messages):
    with pytest.raises(Refused) as fault:
        read(source, "f")
    lines = str(fault.value).splitlines()
    assert len(lines) == len(messages) and all(x.startswith(m) for x, m in zip(lines, messages))


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.text(alphabet='record{}= \n"pathbudgt1#/*[]$\\', max_size=60))
def test_any_text_is_read_or_refused_in_lines(source):
    try:
        read(source, "f")
    except Refused as fault:
        assert all(line.startswith("f:") for line in str(fault).splitlines())

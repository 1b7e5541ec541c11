"""The operator's settings file: units, and one line for each error."""

import pytest
from hypothesis import given, settings, strategies as st

from knotwalk.settings.operator import OperatorSettings, RecordSettings, SettingsError, read


def test_the_file_is_read_with_its_units():
    parsed = read(
        '# c\nrecord {\n  enabled = true\n  path = "/r"\n  budget = "2GiB"\n  segment_age = "90m"\n'
        '  checkpoint = "30s" # d\n}\n',
        "f",
    )
    assert parsed.record == RecordSettings(True, "/r", 2 << 30, 64 << 20, 5400.0, 30.0)
    assert read("", "f") == OperatorSettings() and read("record {}", "f") == OperatorSettings()


@pytest.mark.parametrize(
    "source, messages",
    [
        ('record {\n budget = "20 apples"\n}', ["f:2: 'record.budget' is not a size; for example \"64MiB\""]),
        ("record {\n checkpoint = 60\n}", ["f:2: 'record.checkpoint' is not a time; for example \"60s\""]),
        (
            'record {\n enabled = "yes"\n colour = 1\n}',
            ["f:2: 'record.enabled' is neither true nor false", "f:3: no such field 'record.colour'"],
        ),
        ("tape {\n}", ["f:1: no such block 'tape'; there are record"]),
        ("record {\n}\nrecord {\n}", ["f:3: a second block 'record'"]),
        ('record {\n path = "/a"\n path = "/b"\n}', ["f:3: 'record.path' is set a second time"]),
        ("enabled = true", ["f:1: 'enabled' is outside of a block"]),
        ("record {\n enabled = true\n}", ["f: record is enabled without a path"]),
        ('record {\n budget = "2MiB"\n segment = "2MiB"\n}', ["f: record.segment is more than half of record.budget"]),
        ('record {\n checkpoint = "0s"\n}', ["f:2: 'record.checkpoint' is out of range"]),
        ('record {\n path = "${env}"\n}', ["f:2: 'record.path' is not a text"]),
        ("record {\n path = \n}", ["f:2: this cannot be read as HCL"]),
    ],
)
def test_each_error_is_one_line_with_place_and_reason(source, messages):
    with pytest.raises(SettingsError) as fault:
        read(source, "f")
    lines = str(fault.value).splitlines()
    assert len(lines) == len(messages) and all(x.startswith(m) for x, m in zip(lines, messages))


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.text(alphabet='record{}= \n"pathbudgt1#/*[]$\\', max_size=60))
def test_any_text_is_read_or_rejected_with_one_line_for_each_error(source):
    try:
        read(source, "f")
    except SettingsError as fault:
        assert all(line.startswith("f:") for line in str(fault).splitlines())

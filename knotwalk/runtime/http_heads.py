"""Recognizes a head that was joined of two: the rest of an answer that was cut off, and the next answer behind it.

The first line of the second one then stands in the reason phrase or in a header's value of the first. Pure.
"""

from __future__ import annotations

import re

# The beginning of a status line (RFC 9112, 4), which no reason phrase and no header of an answer holds.
STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")


def holds_status_line(text: bytes) -> bool:
    """Whether a reason phrase or a header's value holds a status line.

    >>> holds_status_line(b"No CHTTP/1.1 200 OK"), holds_status_line(b"HTTP/1.1 proxy")
    (True, False)
    """
    return STATUS_LINE.search(text) is not None

"""Discovery: the watch on the list of servers.

Owns the list's version and the rhythm of the watch. It must never change an entry beyond its words and units,
and never decide what a missing answer means for a server.
"""

import json
from collections.abc import Callable, Mapping

from knotwalk.net import http
from knotwalk.net.close_reason import Ending, Role, outcome
from knotwalk.net.log import Log
from knotwalk.net.loop import AGAIN_FIRST, Kept, Link, Loop, Timer, Unreadable
from knotwalk.wire_values import SERVER_STATES, error_text, parse_amount

WAIT = 1.0  # seconds that a watch may wait: a change counts as told 2 s after, whether it came or not
LATE = 0.5  # seconds past its wait after which a call is silent; the whole list has none
LIST_MOST = 1 << 22  # bytes of an answer: some ten thousand servers


def entry(f: Mapping) -> tuple:
    """One list entry as the module has it.

    >>> entry({"id": "s", "zone": "cork", "state": "leaving", "weight": 1.5, "started_ms": 2500})
    ('s', 'cork', 'draining', 1.5, 2.5)
    """
    if f["state"] not in SERVER_STATES:
        raise ValueError(f"no such state '{f['state']}'")
    return (
        str(f["id"]),
        str(f.get("zone", "")),
        SERVER_STATES[f["state"]],
        parse_amount(f.get("weight", 1)),
        parse_amount(f.get("started_ms") or 0) / 1e3,
    )


class Watch(Kept):
    """The watch: one call after the other on one connection."""

    def __init__(
        self, loop: Loop, address: tuple[str, int], version: int, known: list[tuple], tell: Callable, log: Log
    ):
        super().__init__(loop, address)
        self.tell, self.log = tell, log
        self.version = version
        self.entries = {x[0]: x for x in known if x[2] != "gone"}  # the list as now held
        self.answers, self.status, self.body = http.Answers(LIST_MOST), 0, b""
        self.whole = True  # the next call asks for the whole list
        self.silence: Timer | None = None

    def ask(self, link: Link) -> None:
        query = None if self.whole else {"since": self.version, "timeout_ms": int(WAIT * 1e3)}
        self.status, self.body = 0, b""
        self.silence = self.loop.after(LATE + (0 if self.whole else WAIT), lambda: link.end(Ending.SILENT))
        link.write(http.request("%s:%d" % link.address, "GET", "/v1/servers", query))

    def up(self, link: Link) -> None:
        self.answers = http.Answers(LIST_MOST)
        self.ask(link)

    def fed(self, link: Link, data: memoryview) -> None:
        for kind, value in self.answers.feed(data):
            if kind == "status":
                self.status = value
            elif kind == "piece":
                self.body += value
            else:
                if self.silence:
                    self.silence.cancel()
                self.answered()
                if value:
                    self.ask(link)
                else:  # an agent that closes after each answer: the watch goes on over the next one
                    link.end(Ending.LEFT)
                    return

    def answered(self) -> None:
        if self.status != 200:
            raise Unreadable(f"answer {self.status}: {self.body[:100]!r}")
        try:
            told = json.loads(self.body)
            version, full, servers = int(told["version"]), bool(told["full"]), told["servers"]
            entries = [entry(f) for f in servers]
        except (ValueError, TypeError, AttributeError, KeyError) as fault:
            raise Unreadable(f"no list: {error_text(fault)}") from None
        if not self.whole:
            self.wait = AGAIN_FIRST
        if not full and version < self.version:
            self.whole = True  # restarted with an older list: changes to that are none to ours
            return
        if full:
            self.whole, self.entries = False, {}
        for x in entries:  # what has gone is let go: a list that is renewed all day would fill the memory
            self.entries.pop(x[0], None)
            if x[2] != "gone":
                self.entries[x[0]] = x
        if full or entries:
            self.tell("listed", full, False, entries)
        self.version = version

    def lost(self, link: Link | None, ending: Ending) -> None:
        if self.silence:
            self.silence.cancel()
        if ending is not Ending.LEFT:
            # After a gap the whole list: changes may have been told to a connection that is gone.
            self.whole = True
            means = outcome(Role.LIST, ending)
            self.log("list lost", f"{ending.value}: {means.value} {link.fault if link else ''}")

    def move(self, address: tuple[str, int]) -> None:
        self.whole = True  # versions there may differ
        super().move(address)

"""The contract between the decisions (decide/) and whatever front carries them.

A front makes one Conductor(settings, seed) for each instance and calls
decide(now, inbox, out) once a round. Times are float seconds on the front's clock.

The inbox is a list of (handler, arguments) in the order in which things came in:

    listed(full, cached, entries)   the server list: whole or changed entries; each entry is (server,
                                    zone, state, size, started), state "ready", "draining" or "gone"
    list_failed()                   asking for the list failed, or its subscription broke
    joined(proxy), left(proxy)      a proxy's stream is there, or has broken
    given(slice), taken(slice)      the store puts a slice in our charge, or takes it away
    held(slice, server, weight)     one line of a slice's table as the store holds it
    heard(server, zone, span, tries, aborted, latency, load)
                                    what one zone's proxies met at a server within a span; latency is
                                    the mean of the good ones, load a dict of what the server reported
    wanted(slice, method, span, rpcs)
                                    RPCs of a method (by place in the settings) that came for a slice
    applied(proxy, mark)            a proxy has taken in the message with that receipt mark
    receipts_lost()                 what brings receipts has broken: some of what was asked for may never come

When a timer is due that wake() asked for, decide is called whatever came in, be it nothing. What a front
hears beyond this (probes, peers, proxies' own demand) has no handler yet: it drops it.
"""

from typing import NamedTuple, Protocol


class Method(NamedTuple):
    """One method of the RPCs served."""

    soft_deadline: float  # seconds: an answer within it earns the full criticality
    criticality: float


class Settings(NamedTuple):
    """What decisions need of what an instance is told at its start."""

    methods: tuple[Method, ...]
    slices: int  # slices in all, whoever has charge of them; 0: a site without slices
    one_owner: bool  # a table may hold one line only
    asked_list: bool  # the server list comes only when asked for
    retry_default: int  # how proxies try again unless told (see Orders.admit)
    admits: bool  # shares of methods let in are heeded
    report_period: float
    message_delay: float  # mean seconds from the channel to a proxy
    lines_waiting_most: float  # rule 5
    lines_per_message: float  # what a message costs beside its own lines
    lines_rate: float  # lines a second that leave the channel, as a rule
    messages_most: int  # rule 5: messages to a proxy within messages_span; 0: no cap
    messages_span: float
    dropped_stay_open: bool  # rule 3 binds for draining servers only, not for those just gone
    cold_share: float  # rule 4: a server starts at this share of its capacity or more
    cold_time: float  # and is warm after this
    controllers: int = 1  # how many share the slices and the servers, this one among them
    place: int = 0  # its own place among them, from 0


class Orders(Protocol):
    """Where decisions go. All of one round reach a proxy as one message."""

    def line(self, slice_id: int, server: str, weight: float) -> None:
        """Set one line of a slice's table; weight 0 removes it."""

    def admit(self, slice_id: int | None, method: int, share: float, retry: int) -> None:
        """For one slice, or None for all ours: the share of a method let in, and how proxies try again.

        retry 0: never; 1: once, on proof that the first try never ran; 2: once after any failure;
        3: twice after any failure.
        """

    def withdraw(self, server: str, shut: bool) -> None:
        """Keep proxies from a server for our slices, whatever their tables say, or let them again."""

    def receipt(self, mark: int) -> None:
        """Ask every proxy reached this round to answer applied(proxy, mark)."""

    def watch(self) -> None:
        """Subscribe to the server list."""

    def wake(self, at: float) -> None:
        """Ask for a round at that time."""

    def note(self, text: str) -> None:
        """A line for the operators."""

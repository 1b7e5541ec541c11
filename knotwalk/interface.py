"""The contract between the decisions (decide/) and the front that runs them.

A front (net/, wirehost/, the replay) makes one Conductor(settings, seed) for each instance and calls
decide(now, inbox, out) once a round. Times are float seconds on the front's clock.

The inbox is a list of (handler, arguments) in the order in which the events arrived:

    listed(full, cached, entries)   the server list, whole (full) or changed entries only; cached: from a copy
                                    that may be old; an entry is (server, zone, state, size, started), with
                                    state "ready", "draining" or "gone" and the time of the start (0: unknown)
    list_failed()                   a request for the list failed, or its subscription ended
    joined(proxy), left(proxy)      a proxy's stream opened or broke
    given(slice), taken(slice)      this controller got charge of a slice, or lost it
    held(slice, server, weight)     one line of a slice's table as the store holds it
    heard(server, zone, span, tries, aborted, latency, load)
                                    the results of one zone's proxies at a server within the last `span` seconds:
                                    tries, those of them that got no good answer, and the mean seconds of the
                                    others; load has what the server reported (utilization, inflight, qps ...)
    wanted(slice, method, span, rpcs)
                                    the RPCs of a method (its index in the settings) that came for a slice within
                                    the last `span` seconds
    applied(proxy, mark)            a proxy has applied the message with that receipt mark
    receipts_lost()                 the stream of receipts broke: some that were asked for may never come

When a timer set by wake() is due, decide is called even with an empty inbox. Events of the front that have no handler
here (probes, peers, proxies' own demand) are dropped there.

Handler names, the orders' names and the fields below are stored in recordings and called by users' own policies.
"""

from typing import NamedTuple, Protocol


class Method(NamedTuple):
    """One method of the RPCs served."""

    soft_deadline: float  # seconds: an answer within it earns the full criticality
    criticality: float


class Settings(NamedTuple):
    """The settings of an instance that decisions need."""

    methods: tuple[Method, ...]
    slices: int  # in all, over all controllers; 0: a site without slices
    one_owner: bool  # a table may hold one line only
    asked_list: bool  # the server list comes only on request (Orders.watch)
    retry_default: int  # the retry mode of proxies unless ordered otherwise (see Orders.admit)
    admits: bool  # proxies apply admission levels below 1
    report_period: float  # seconds between reports (heard, wanted)
    message_delay: float  # mean seconds from the channel to a proxy
    lines_waiting_most: float  # rule 5: the most lines that may wait in the channel
    lines_per_message: float  # what a message costs in lines beside its own
    lines_rate: float  # lines a second that usually leave the channel
    messages_most: int  # rule 5: messages to a proxy within messages_span; 0: no cap
    messages_span: float  # seconds
    dropped_stay_open: bool  # rule 3 holds for draining servers only, not for those that are gone
    cold_share: float  # rule 4: the share of its capacity that a server has at least when it starts
    cold_time: float  # seconds from its start until it has all
    controllers: int = 1  # that share the slices and the servers, this one included
    place: int = 0  # this controller's index among them


class Orders(Protocol):
    """Receives the decisions. All orders of one round reach a proxy as one message."""

    def line(self, slice_id: int, server: str, weight: float) -> None:
        """Set one line of a slice's table; weight 0 removes it."""

    def admit(self, slice_id: int | None, method: int, share: float, retry: int) -> None:
        """Set the admitted share of a method's RPCs and the proxies' retry mode, for one slice or, with None, all ours.

        retry 0: never; 1: once, on proof that the first try never ran; 2: once after any failure;
        3: twice after any failure.
        """

    def withdraw(self, server: str, is_withdrawn: bool) -> None:
        """Exclude a server from all our slices' tables, whatever they hold (`is_withdrawn`), or readmit it."""

    def receipt(self, mark: int) -> None:
        """Ask every proxy reached this round to answer applied(proxy, mark)."""

    def watch(self) -> None:
        """Subscribe to the server list."""

    def wake(self, due_at: float) -> None:
        """Request a round at that time."""

    def note(self, text: str) -> None:
        """Log a line for the operators."""

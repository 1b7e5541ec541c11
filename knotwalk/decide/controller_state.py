"""What a controller holds: servers, slices, and its own state, which all concerns share. Decides nothing."""

from collections import deque
from random import Random

from knotwalk.interface import Settings


class Server:
    """A server and the last few samples of what was heard of it."""

    def __init__(self, id: str):
        self.id = id
        self.state, self.size, self.started, self.zone = "ready", 1.0, 0.0, ""
        self.proven = True          # listed from the start, or seen to answer
        self.dropped = False        # the list has it gone, which may be wrong
        self.ours = True            # whether it is ours to fill when it comes back empty; see server()
        self.empty = False          # started since it was first listed, and not heard of again
        self.left_at = 0.0          # when it was first told of as draining, gone or started anew
        self.shut = self.once_shut = False      # shut out of all tables, now or ever
        self.quota = 1.0            # the share of its capacity that may be let in
        self.health = 1.0           # the part of its capacity that it can be trusted with
        self.judged = self.moved = 0.0      # when that last changed, and when a share last came or went
        self.met: deque[tuple] = deque()    # (heard at, zone, tries, good ones, their seconds)
        self.reports: list[tuple] = []      # (utilization, RPCs a second or None) reported this round
        self.used, self.reported = 0.0, 0.0     # their last mean, and when
        # (heard at, load by our slices, by others' if spread evenly, utilization), after the last move
        self.uses: deque[tuple] = deque(maxlen=10)
        self.shifts: deque[tuple] = deque()     # (when, load) of shares of ours that came, or left if below 0
        self.spread = 0.0           # others' load, if spread evenly
        self.whole = self.capacity = 0.0    # capacity, worked out anew each round; the same with trust
        self.load = self.shut_out = 0.0     # work a second asked of it; the part that levels keep out
        self.coming = 0.0           # what we have sent there since loads were last worked out


class Slice:
    """A slice: what came for it lately, the servers of its shares, and what the proxies were last told."""

    def __init__(self, id: int, given_at: float):
        self.id, self.given_at = id, given_at
        self.samples: deque[tuple] = deque()    # (heard at, seconds, work asked for, RPCs, method)
        self.shares: list[Server] = []
        self.told: dict[Server, float] = {}
        self.urgent, self.moved = False, float("-inf")
        self.since = float("inf")   # the start of the first span heard
        self.demand, self.unsure = 0.0, True    # work a second; whether none was heard of lately
        self.work: list[float] = []         # the same, by method
        self.levels, self.told_levels = [], []      # shares let in, by method, and what of it was told


class ControllerState:
    """All that a controller knows and keeps; the concerns add what they make of it."""

    RETRY = 1       # on proof only; see Orders.admit
    PERIOD = 5.0    # seconds between ordinary passes, the design's start; 3 s moved more and won nothing
    URGENT_PART = 0.65      # of the channel: leaves a drain room for its heads where proxies are many
    FORGET = 30.0   # seconds: longer than a list errs, so one that it drops and names again keeps its history

    def __init__(self, settings: Settings, seed: int):
        s, self.random = settings, Random(seed)
        # The soft deadline is the settings' only hint of what a method's RPCs cost.
        self.cost = [m.soft_deadline for m in s.methods] or [1.0]
        self.late, self.slow = max(self.cost), min(self.cost) / 2   # means past half of one leave many late
        # Methods in the order in which they are let in: by criticality a unit of work.
        self.order = sorted(range(len(s.methods)), key=lambda k: -s.methods[k].criticality / self.cost[k])
        self.admits, self.period, self.scarce = s.admits, max(s.report_period, 0.1), s.messages_most > 0
        # Reports this long after a move show the new state: it is told, applied, and one period passes.
        self.settle = 2 * self.period + s.message_delay
        self.slices_all, self.asked_list, self.one_owner = s.slices, s.asked_list, s.one_owner
        self.controllers, self.seat = s.controllers, s.place
        self.cold_share, self.cold_time = s.cold_share or 1.0, max(s.cold_time, 0.001)
        self.head, self.waiting_most, self.rate = s.lines_per_message, s.lines_waiting_most, s.lines_rate / 2
        self.messages_most, self.messages_span = s.messages_most or 10 ** 9, 1.1 * (s.messages_span or 10)
        # Ordinary orders use half of the messages a proxy may get, or come a fraction of a second apart.
        self.gap = max(0.25, 2 * s.messages_span / s.messages_most if s.messages_most else 0)
        self.orders_retry, self.gone_binds = s.retry_default != self.RETRY, not s.dropped_stay_open
        # The receipt, and the way of retrying by method where it differs, are in every message.
        self.head += 1 + (len(s.methods) if self.orders_retry else 0)
        self.servers: dict[str, Server] = {}
        self.slices: dict[int, Slice] = {}
        self.proxies: dict[int, None] = {}
        self.way: deque[tuple] = deque()    # messages: (mark, lines of each, proxies yet to take it in)
        self.sent: deque[float] = deque()       # when messages went out, over the last span
        self.back = self.taken_at = float("-inf")   # when the first slice was given, and any taken away, last
        self.heard_at, self.mark = 0.0, 0       # when demand was last heard; the last receipt asked for
        self.next_pass = self.next_urgent = self.wake_at = 0.0
        self.next_send = self.next_urgent_send = self.next_leave_send = self.receipt_at = 0.0
        self.list_wait, self.list_due = 0.5, 0.0 if s.asked_list else float("inf")
        self.born = self.listed_once = self.list_fresh = False
        self.pending = float("inf")     # when what is yet to be told may go
        self.way_time: dict[tuple, float] = {}      # see on_the_way
        self.unit = self.average = 0.0  # capacity of a server of size 1, and of an average one
        self.news = True        # something came that decisions rest on

    def over(self, x: Server) -> bool:
        return x.state == "gone" and self.now - x.left_at > self.FORGET

    def ready(self) -> list[Server]:
        return [x for x in self.servers.values() if x.state == "ready"]

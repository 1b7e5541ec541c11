"""The state of a controller, which all its concerns share: servers, slices, channel and timers. Decides nothing."""

from collections import deque
from random import Random

from knotwalk.interface import Settings


class Server:
    """A server and its last few samples. Loads and capacities are in work a second (see Slice.samples)."""

    def __init__(self, id: str):
        self.id = id
        self.state, self.size, self.started, self.zone = "ready", 1.0, 0.0, ""
        self.proven = True          # in the first list, or has answered a try
        self.delisted = False       # the list says gone, which may be wrong (see InboxHandlers.listed)
        self.owned = True           # this controller is the one that fills it after a restart; see server_for()
        self.unmeasured = False     # restarted, or still cold in the first list, and no usage sample since
        self.leaving_since = 0.0    # when it was first reported draining, gone or restarted
        self.withdrawn = self.ever_withdrawn = False    # excluded from all tables, now or ever
        self.quota = 1.0            # the share of its capacity that may be admitted
        self.health = 1.0           # the share of its full capacity that is trusted
        self.health_changed_at = self.last_move_at = 0.0    # the latter: a share came or went
        self.outcomes: deque[tuple] = deque()   # (heard at, zone, tries, good ones, their total seconds)
        self.reports: list[tuple] = []      # (utilization, RPCs a second or None) reported this round
        self.reported_use, self.reported_at = 0.0, 0.0      # mean of the last reports, and when
        # (heard at, our slices' load, other controllers' load if spread evenly, utilization) since the last move
        self.usage_samples: deque[tuple] = deque(maxlen=10)
        self.load_shifts: deque[tuple] = deque()    # (when, load of a share of ours that came; negative: left)
        self.others_load = 0.0      # other controllers' load, if spread evenly
        self.full_capacity = self.capacity = 0.0    # estimated each round; capacity is weighted by health
        self.load = self.rejected_load = 0.0    # demand routed to it; the part that admission levels reject
        self.incoming_load = 0.0    # what we have moved there since loads were last estimated


class Slice:
    """A slice: its recent demand, the servers of its shares, and what the proxies were last sent."""

    def __init__(self, id: int, given_at: float):
        self.id, self.given_at = id, given_at
        self.samples: deque[tuple] = deque()    # (heard at, span s, work: RPCs times method cost, RPCs, method)
        self.shares: list[Server] = []
        self.sent_lines: dict[Server, float] = {}
        self.urgent, self.last_move_at = False, float("-inf")
        self.demand_since = float("inf")    # the start of the first reported span
        self.demand, self.demand_unknown = 0.0, True    # work a second; unknown: none within the window
        self.method_demand: list[float] = []    # demand by method
        self.levels, self.sent_levels = [], []  # the share admitted, by method: as decided and as sent


class ControllerState:
    """All that a controller knows. Upper-case names are tuned values, which `knotwalk replay --set` may change."""

    RETRY = 1       # only on proof that the first try never ran; see Orders.admit
    PERIOD = 5.0    # seconds between ordinary passes; 3 s moved more shares without a better result
    URGENT_PART = 0.65      # of the channel: the rest is for drains, whose messages have their overhead for every proxy
    FORGET = 30.0   # seconds: outlasts list errors, so a server dropped and listed again keeps its history

    def __init__(self, settings: Settings, seed: int):
        s, self.random = settings, Random(seed)
        # The soft deadline is the settings' only indication of what a method's RPCs cost.
        self.rpc_costs = [m.soft_deadline for m in s.methods] or [1.0]
        self.late_mean, self.slow_mean = max(self.rpc_costs), min(self.rpc_costs) / 2   # past half, many are late
        # Methods in order of admission: by criticality per unit of work.
        self.method_order = sorted(range(len(s.methods)), key=lambda k: -s.methods[k].criticality / self.rpc_costs[k])
        self.admits, self.report_period, self.messages_capped = s.admits, max(s.report_period, 0.1), s.messages_most > 0
        # Reports this long after a move show its effect: it is sent and applied, then a whole report period passes.
        self.settle_time = 2 * self.report_period + s.message_delay
        self.total_slices, self.list_on_request, self.one_line = s.slices, s.asked_list, s.one_owner
        self.controllers, self.controller_index = s.controllers, s.place
        self.cold_share, self.cold_time = s.cold_share or 1.0, max(s.cold_time, 0.001)
        self.message_overhead, self.max_waiting, self.assumed_line_rate = (
            s.lines_per_message, s.lines_waiting_most, s.lines_rate / 2)    # the rate: see receipts_lost()
        self.max_messages, self.messages_span = s.messages_most or 10 ** 9, 1.1 * (s.messages_span or 10)
        # Ordinary messages use at most half of a proxy's message cap; uncapped, one every 0.25 s.
        self.ordinary_interval = max(0.25, 2 * s.messages_span / s.messages_most if s.messages_most else 0)
        self.sends_retry, self.gone_must_leave = s.retry_default != self.RETRY, not s.dropped_stay_open
        # Every message carries the receipt, and the retry mode by method where it differs from the default.
        self.message_overhead += 1 + (len(s.methods) if self.sends_retry else 0)
        self.servers: dict[str, Server] = {}
        self.slices: dict[int, Slice] = {}
        self.proxies: dict[int, None] = {}
        self.in_flight: deque[tuple] = deque()  # (mark, lines, proxies yet to apply it); mark None: receipts were lost
        self.sent_times: deque[float] = deque()     # of messages, over the last messages_span
        self.first_slice_at = self.last_taken_at = float("-inf")    # the former: given when it had none
        self.demand_reported_at, self.receipt_mark = 0.0, 0     # the mark: of the last message
        self.next_pass = self.next_urgent = self.wake_at = 0.0
        self.next_send = self.next_urgent_send = self.next_leaving_send = self.last_receipt_at = 0.0
        self.list_retry_delay, self.list_request_at = 0.5, 0.0 if s.asked_list else float("inf")
        self.has_started = self.list_received = self.list_confirmed = False     # confirmed: not from a cache
        self.send_due_at = float("inf")     # when the next message may go
        self.zone_delays: dict[tuple, float] = {}   # see measure_zone_delays()
        self.unit_capacity = self.avg_capacity = 0.0    # of a server of size 1, and of an average one
        self.has_new_input = True   # something came in that decisions depend on

    def is_expired(self, x: Server) -> bool:
        return x.state == "gone" and self.now - x.leaving_since > self.FORGET

    def ready_servers(self) -> list[Server]:
        return [x for x in self.servers.values() if x.state == "ready"]

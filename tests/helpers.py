"""States of the decisions' module, for tests."""

from knotwalk.decide import Conductor
from knotwalk.interface import Method, Settings

READ = Method(soft_deadline=1.5, criticality=3)
WRITE = Method(soft_deadline=1.0, criticality=9)
PLAIN = Settings(
    methods=(READ, WRITE),
    slices=4,
    one_owner=False,
    asked_list=False,
    retry_default=1,
    admits=True,
    report_period=1,
    message_delay=0.2,
    lines_waiting_most=1000,
    lines_per_message=10,
    lines_rate=200,
    messages_most=10,
    messages_span=10,
    dropped_stay_open=False,
    cold_share=0.2,
    cold_time=10,
)


class RecordedOrders:
    """Records orders as a list of tuples (name, *arguments)."""

    def __init__(self):
        self.orders = []

    def __getattr__(self, name):
        return lambda *arguments: self.orders.append((name, *arguments))

    def of(self, name):
        return [order[1:] for order in self.orders if order[0] == name]


def make_conductor(now=100.0, capacities=(), demands=(), at=(), **settings):
    """A conductor at `now` with servers a, b, ... of these capacities and slices 0, 1, ... of these demands, slice k on
    server at[k]; proxy 0 has joined and nothing has to be sent to it."""
    conductor = Conductor(PLAIN._replace(**{"slices": len(demands), **settings}), seed=1)
    (
        conductor.now,
        conductor.demand_reported_at,
        conductor.has_started,
        conductor.next_pass,
        conductor.list_request_at,
    ) = (
        now,
        now,
        True,
        now + 1000,
        float("inf"),
    )
    conductor.joined(0)
    conductor.listed(True, False, [("abcdefghij"[k], "east", "ready", 1.0, 0.0) for k in range(len(capacities))])
    for server, capacity in zip(conductor.servers.values(), capacities):
        server.capacity = capacity
    conductor.avg_capacity = sum(capacities) / len(capacities) if capacities else 0.0
    for k, demand in enumerate(demands):
        conductor.given(k)
        s, server = conductor.slices[k], conductor.servers[at[k]]
        conductor.held(k, at[k], 1.0)
        s.demand, s.method_demand, s.demand_unknown = demand, [demand / 2, demand / 2], not demand
        server.load += demand
    conductor.first_slice_at = float("-inf")
    return conductor

"""An edge's own figures, read off its state when somebody asks. Names stand in docs/guides/system.md."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from knotwalk.discovery.cluster_view import ClusterView
from knotwalk.edge.client_server import ClientServer
from knotwalk.edge.view_poller import ViewPoller
from knotwalk.runtime.metrics import Metric, MetricType, gauge, loop_delay_metric

RANK = ", rank "  # in a count's name: what stands between how a request ended and the rank of its route


def requests_metric(counts: Counter[str]) -> Metric:
    """How requests ended."""
    found: dict[tuple[str, ...], float] = {}
    for name, count in counts.items():
        ending, parted, rank = name.partition(RANK)
        outcome, _, cause = ending.partition(": ")
        if parted:
            found[outcome, cause, rank] = count
    return Metric(
        "knotwalk_edge_requests",
        MetricType.COUNTER,
        "requests by how they ended, the cause, and the rank of their route",
        found,
        ("outcome", "cause", "rank"),
    )


def events_metric(counts: Counter[str]) -> Metric:
    """What was met with: tries, connections, and what ended before it had a route."""
    found: dict[tuple[str, ...], float] = {(name,): count for name, count in counts.items() if RANK not in name}
    return Metric("knotwalk_edge_events", MetricType.COUNTER, "what was met with, by event", found, ("event",))


def nodes_metric(view: ClusterView) -> Metric:
    """Nodes of the view by state; one that drains or ails is not counted as ready."""
    found = Counter(
        "draining" if node.draining else "ailing" if node.is_outlier else "ready" for node in view.nodes.values()
    )
    samples: dict[tuple[str, ...], float] = {(state,): found[state] for state in ("ready", "draining", "ailing")}
    return Metric("knotwalk_edge_nodes", MetricType.GAUGE, "nodes of the cluster view", samples, ("state",))


def edge_metrics(now: float, ready: bool, client_server: ClientServer, view_poller: ViewPoller) -> Iterator[Metric]:
    """All figures of an edge."""
    view, forwarder = client_server.view, client_server.forwarder
    counts = forwarder.totals + forwarder.counts
    yield gauge("knotwalk_edge_ready", "1 while the edge calls itself ready", ready)
    yield gauge(
        "knotwalk_edge_configuration_version",
        "the number of the configuration in force here, 0 for none",
        view.configuration.version if view.configuration else 0,
    )
    yield gauge("knotwalk_edge_core_heard_seconds", "since a fresh core last answered", now - view_poller.heard_at)
    yield Metric(
        "knotwalk_edge_configurations_not_taken",
        MetricType.COUNTER,
        "configurations of a core that can't be read here",
        {(): view_poller.not_taken},
    )
    yield gauge(
        "knotwalk_edge_keys_judged",
        "1 while requests that need a key can be taken",
        client_server.intake.judges_keys(now),
    )
    yield gauge("knotwalk_edge_requests_open", "requests read and not answered", client_server.open)
    yield gauge("knotwalk_edge_requests_waiting", "requests that wait for a node", len(forwarder.waiting))
    yield gauge("knotwalk_edge_clients", "connections of clients", len(client_server.clients))
    yield nodes_metric(view)
    yield requests_metric(counts)
    yield events_metric(counts)
    room: dict[tuple[str, ...], float] = {
        (name,): budget.available(now, client_server.edges) for name, budget in forwarder.budgets.items()
    }
    yield Metric("knotwalk_edge_retry_room", MetricType.GAUGE, "further tries that may be made now", room, ("service",))
    yield Metric(
        "knotwalk_edge_core_bytes",
        MetricType.COUNTER,
        "bytes of bodies to and from cores",
        {(direction,): count for direction, count in view_poller.caller.bytes.items()},
        ("direction",),
    )
    yield from admission_metrics(client_server)
    yield loop_delay_metric(client_server.delay)


def admission_metrics(client_server: ClientServer) -> Iterator[Metric]:
    """Figures of asks and operations; all 0 where nothing is asked for."""
    operations = client_server.operations
    waited, running, untold = 0.0, 0, 0
    if operations is not None:
        waited = operations.calls.waited
        running = len(operations.running)
        untold = len(operations.calls.ends.waiting)
    meaning = "what requests waited for asks to cores, in all"
    yield Metric("knotwalk_edge_ask_seconds", MetricType.COUNTER, meaning, {(): waited})
    yield gauge("knotwalk_edge_operations_running", "operations that run by this edge", running)
    yield gauge("knotwalk_edge_ends_untold", "ends of operations that no core took yet", untold)

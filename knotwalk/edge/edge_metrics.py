"""An edge's metrics, read from its state on each scrape. Their names are documented in docs/guides/system.md."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from knotwalk.discovery.cluster_view import ClusterView
from knotwalk.edge.client_server import ClientServer
from knotwalk.edge.view_poller import ViewPoller
from knotwalk.runtime.metrics import Metric, MetricType, decision_failures, gauge, loop_delay_metric

PRIORITY_SEPARATOR = ", rank "  # separates the outcome from the route's priority in the name of a count


def requests_metric(counts: Counter[str]) -> Metric:
    """Requests by outcome."""
    samples: dict[tuple[str, ...], float] = {}
    for name, count in counts.items():
        ending, separator, priority = name.partition(PRIORITY_SEPARATOR)
        outcome, _, cause = ending.partition(": ")
        if separator:
            samples[outcome, cause, priority] = count
    return Metric(
        "knotwalk_edge_requests",
        MetricType.COUNTER,
        "requests by how they ended, the cause, and the rank of their route",
        samples,
        ("outcome", "cause", "rank"),
    )


def events_metric(counts: Counter[str]) -> Metric:
    """Other events: tries, connections, and requests that ended before they had a route."""
    samples: dict[tuple[str, ...], float] = {
        (name,): count for name, count in counts.items() if PRIORITY_SEPARATOR not in name
    }
    return Metric("knotwalk_edge_events", MetricType.COUNTER, "what was met with, by event", samples, ("event",))


def nodes_metric(view: ClusterView) -> Metric:
    """Nodes of the cluster view by state; a draining node or an outlier is not counted as ready."""
    by_state = Counter(
        "draining" if node.draining else "ailing" if node.is_outlier else "ready" for node in view.nodes.values()
    )
    samples: dict[tuple[str, ...], float] = {(state,): by_state[state] for state in ("ready", "draining", "ailing")}
    return Metric("knotwalk_edge_nodes", MetricType.GAUGE, "nodes of the cluster view", samples, ("state",))


def held_answers_metric(client_server: ClientServer) -> Metric:
    """Answers that are known and not written, by what they wait for."""
    held = [client.held_answer() for client in client_server.clients]
    counts = Counter(found[1] for found in held if found is not None)
    samples: dict[tuple[str, ...], float] = {(cause,): count for cause, count in counts.items()}
    return Metric("knotwalk_edge_answers_held", MetricType.GAUGE, "answers not written yet", samples, ("waits_for",))


def edge_metrics(now: float, ready: bool, client_server: ClientServer, view_poller: ViewPoller) -> Iterator[Metric]:
    """All metrics of an edge."""
    view, forwarder = client_server.view, client_server.forwarder
    counts = forwarder.totals + forwarder.counts
    yield gauge("knotwalk_edge_ready", "1 while the edge calls itself ready", ready)
    yield gauge(
        "knotwalk_edge_configuration_version",
        "the number of the configuration in force here, 0 for none",
        view.configuration.version if view.configuration else 0,
    )
    yield gauge("knotwalk_edge_core_heard_seconds", "since a fresh core last answered", now - view_poller.last_heard_at)
    yield Metric(
        "knotwalk_edge_configurations_not_taken",
        MetricType.COUNTER,
        "configurations of a core that can't be read here",
        {(): view_poller.rejected_configurations},
    )
    yield gauge(
        "knotwalk_edge_keys_judged",
        "1 while requests that need a key can be taken",
        client_server.intake.can_check_keys(now),
    )
    yield gauge("knotwalk_edge_requests_open", "requests read and not answered", client_server.open_requests)
    yield held_answers_metric(client_server)
    yield gauge("knotwalk_edge_requests_waiting", "requests that wait for a node", len(forwarder.waiting))
    yield gauge("knotwalk_edge_clients", "connections of clients", len(client_server.clients))
    yield nodes_metric(view)
    yield requests_metric(counts)
    yield events_metric(counts)
    available: dict[tuple[str, ...], float] = {
        (name,): budget.available(now, forwarder.edges_sharing_slack) for name, budget in forwarder.budgets.items()
    }
    yield Metric(
        "knotwalk_edge_retry_room", MetricType.GAUGE, "further tries that may be made now", available, ("service",)
    )
    yield Metric(
        "knotwalk_edge_core_bytes",
        MetricType.COUNTER,
        "bytes of bodies to and from cores",
        {(direction,): count for direction, count in view_poller.caller.bytes.items()},
        ("direction",),
    )
    yield from admission_metrics(client_server)
    yield loop_delay_metric(client_server.loop_delay)
    yield decision_failures("knotwalk_edge_decision_failures", view_poller.guard)


def admission_metrics(client_server: ClientServer) -> Iterator[Metric]:
    """Metrics of admission requests and operations; all 0 where none are needed."""
    operations = client_server.operations
    ask_seconds, running, pending_ends = 0.0, 0, 0
    if operations is not None:
        ask_seconds = operations.calls.ask_seconds
        running = len(operations.running)
        pending_ends = len(operations.calls.ends.waiting)
    description = "what requests waited for asks to cores, in all"
    yield Metric("knotwalk_edge_ask_seconds", MetricType.COUNTER, description, {(): ask_seconds})
    yield gauge("knotwalk_edge_operations_running", "operations that run by this edge", running)
    yield gauge("knotwalk_edge_ends_untold", "ends of operations that no core took yet", pending_ends)

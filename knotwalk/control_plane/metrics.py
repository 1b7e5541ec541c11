"""A core machine's metrics, read from its state on each scrape. They are listed in docs/guides/system.md."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING

from knotwalk.leases.slice_lease import State
from knotwalk.runtime.metrics import Metric, MetricType, decision_failures, gauge, loop_delay_metric
from knotwalk.shared_state.messages import Admission, Ending

if TYPE_CHECKING:
    from knotwalk.control_plane.__main__ import ControlPlane
    from knotwalk.control_plane.admissions import Admissions
    from knotwalk.control_plane.claim_groups import ClaimGroups


def counter(name: str, meaning: str, counts: Mapping[tuple[str, ...], float], *labels: str) -> Metric:
    """A counter by labels."""
    return Metric(name, MetricType.COUNTER, meaning, counts, labels)


def slices(plane: ControlPlane) -> Metric:
    """The slices that this core leases, by state."""
    counts = Counter(
        (slice_lease.service, slice_lease.state.value)
        for slice_lease in plane.conductor.grant_manager.slice_leases.values()
    )
    samples: dict[tuple[str, ...], float] = {
        (service, state.value): counts[service, state.value]
        for service in plane.consensus.state.ledger.slices
        for state in State
    }
    return Metric(
        "knotwalk_core_slices",
        MetricType.GAUGE,
        "slices that this core leases, by state",
        samples,
        ("service", "state"),
    )


def nodes(now: float, plane: ControlPlane) -> Metric:
    """The nodes of the platform's list, by what this core knows of them; a node may count in several states."""
    view_publisher, grant_manager = plane.view_publisher, plane.conductor.grant_manager
    counts = {
        "listed": len(view_publisher.nodes),
        "draining": sum(node.draining for node in view_publisher.nodes.values()),
        "ailing": len(view_publisher.outliers & view_publisher.nodes.keys()),
        "unreachable": len(grant_manager.unreached(now)),
        "unreached by others": len(plane.conductor.peer_reachability.unreached_since(now)),
    }
    samples: dict[tuple[str, ...], float] = {(state,): count for state, count in counts.items()}
    return Metric(
        "knotwalk_core_nodes", MetricType.GAUGE, "nodes, by what this core knows of them", samples, ("state",)
    )


def operations(admissions: Admissions) -> Iterator[Metric]:
    """The admission requests of edges, and the operations that this core keeps."""
    answers = admissions.answers
    responses: dict[tuple[str, ...], float] = {
        (admission.value,): admissions.response_counts[admission] for admission in Admission
    }
    ended: dict[tuple[str, ...], float] = {(ending.value,): admissions.ending_counts[ending] for ending in Ending}
    phase_counts: dict[tuple[str, ...], float] = {
        (phase.value,): count for phase, count in answers.count_by_phase().items()
    }
    yield counter("knotwalk_core_asks", "edges' asks by what was told", responses, "told")
    yield counter("knotwalk_core_ends", "ends of operations that edges told", ended, "ending")
    yield Metric(
        "knotwalk_core_operations", MetricType.GAUGE, "operations kept here, by phase", phase_counts, ("phase",)
    )
    yield gauge("knotwalk_core_operation_bytes", "bytes that they take", answers.size)


def allowances(plane: ControlPlane) -> Iterator[Metric]:
    """Requests for tokens of tenants' limits, by outcome."""
    service = plane.allowances
    yield counter(
        "knotwalk_core_allowances",
        "tokens asked for by edges and given back, by how that ended",
        dict(service.outcome_counts),
        "outcome",
        "how",
    )
    yield counter(
        "knotwalk_core_over_limit",
        "requests refused over their limits; the tenants met first are named",
        {(tenant,): count for tenant, count in service.refusal_counts.items()},
        "tenant",
    )
    yield counter(
        "knotwalk_core_allowance_calls",
        "calls for allowance to the leader, by how they ended",
        {(outcome,): count for outcome, count in service.call_counts.items()},
        "outcome",
    )
    yield gauge(
        "knotwalk_core_tenants_held", "tenants of which this core holds allowance", len(service.escrow.holdings)
    )
    buckets = len(service.buckets.buckets) if service.buckets is not None else 0
    yield gauge("knotwalk_core_buckets", "tenants whose limits this core keeps as the leader", buckets)


def claims(groups: ClaimGroups | None) -> Iterator[Metric]:
    """What the claim groups know and did; without any groups the metrics are empty."""
    leads: dict[tuple[str, ...], float] = {}
    held: dict[tuple[str, ...], float] = {}
    waiting: dict[tuple[str, ...], float] = {}
    for group in groups.groups if groups else ():
        partition = (str(group.partition),)
        leads[partition], waiting[partition] = group.is_leader, len(group.pending_claims)
        held[partition] = len(group.driver.state.claims)
    labels = ("part",)
    yield Metric(
        "knotwalk_core_claims_leader", MetricType.GAUGE, "1 while this core leads a part's group", leads, labels
    )
    yield Metric("knotwalk_core_claims_held", MetricType.GAUGE, "operations of a part that have a holder", held, labels)
    yield Metric("knotwalk_core_claims_waiting", MetricType.GAUGE, "claims of a part that wait here", waiting, labels)
    outcomes: dict[tuple[str, ...], float] = {
        (outcome.value,): count for outcome, count in (groups.outcome_counts.items() if groups else ())
    }
    yield counter("knotwalk_core_claims", "claims asked by this core, by their outcome", outcomes, "outcome")


def collect_metrics(now: float, plane: ControlPlane) -> Iterator[Metric]:
    """All metrics of a core machine."""
    machine, state, manager = plane.consensus.machine, plane.consensus.state, plane.conductor
    yield gauge("knotwalk_core_fresh", "1 while this core heard the leader's word lately", plane.peer_api.is_fresh(now))
    yield gauge("knotwalk_core_leader", "1 while this core leads", machine.role == "leader")
    yield gauge("knotwalk_core_term", "the term of the agreement", machine.term)
    yield gauge("knotwalk_core_members", "members of the agreement, as far as is known here", len(machine.members))
    yield gauge("knotwalk_core_commit_index", "the last entry known as committed", machine.commit)
    yield gauge("knotwalk_core_last_index", "the last entry of the log here", machine.log.last)
    yield gauge("knotwalk_core_configuration_version", "the configuration in force, 0 for none", state.version)
    yield gauge("knotwalk_core_disk_refuses", "1 while a write hangs or was refused", plane.consensus.disk_failing)
    yield gauge(
        "knotwalk_core_lease_seconds",
        "left of this core's lease of its slices",
        manager.grant_manager.lease_until - now,
    )
    yield gauge("knotwalk_core_edges", "edges heard of in the last ten seconds", plane.loads.edge_count(now))
    yield slices(plane)
    yield nodes(now, plane)
    yield counter(
        "knotwalk_core_holders_cleared",
        "slices whose former holder was found to hold them no more",
        {(evidence.value,): count for evidence, count in manager.cleared_counts.items()},
        "by",
    )
    yield counter(
        "knotwalk_core_node_calls", "calls to nodes by how they ended", dict(manager.call_counts), "call", "outcome"
    )
    yield counter(
        "knotwalk_core_operator_answers",
        "answers to operators",
        dict(plane.control.answer_counts),
        "method",
        "status",
    )
    yield counter(
        "knotwalk_core_orders_refused",
        "orders that were wrong, by the place of their mistake",
        dict(plane.control.rejection_counts),
        "place",
    )
    yield from operations(plane.admissions)
    sent = {(step, "sent"): count for step, count in plane.http_client.sent_bytes.items()}
    received = {(step, "received"): count for step, count in plane.http_client.received_bytes.items()}
    yield counter("knotwalk_core_call_bytes", "bytes of bodies of calls to peers", sent | received, "step", "direction")
    answer_bytes: dict[tuple[str, ...], float] = {(path,): count for path, count in plane.peer_api.answer_bytes.items()}
    yield counter("knotwalk_core_answer_bytes", "bytes of bodies told to edges and cores", answer_bytes, "path")
    yield from allowances(plane)
    yield from claims(plane.claims)
    yield loop_delay_metric(plane.loop_delay)
    yield decision_failures("knotwalk_core_decision_failures", plane.guard)

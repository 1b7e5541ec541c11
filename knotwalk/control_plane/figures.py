"""A core machine's own figures, read off its state when somebody asks. Names stand in docs/guides/system.md."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING

from knotwalk.leases.slice_lease import State
from knotwalk.runtime.metrics import Figure, Kind, gauge, loop_delay
from knotwalk.shared_state.messages import Admission, Ending

if TYPE_CHECKING:
    from knotwalk.control_plane.__main__ import ControlPlane
    from knotwalk.control_plane.admissions import Admissions
    from knotwalk.control_plane.claim_groups import ClaimGroups


def counter(name: str, meaning: str, counts: Mapping[tuple[str, ...], float], *labels: str) -> Figure:
    """A count by labels."""
    return Figure(name, Kind.COUNTER, meaning, counts, labels)


def slices(plane: ControlPlane) -> Figure:
    """The slices that this core leases, by where each stands on its way to an owner."""
    found = Counter((x.service, x.state.value) for x in plane.conductor.grant_manager.slice_leases.values())
    samples: dict[tuple[str, ...], float] = {
        (service, state.value): found[service, state.value]
        for service in plane.consensus.state.ledger.slices
        for state in State
    }
    return Figure(
        "knotwalk_core_slices", Kind.GAUGE, "slices that this core leases, by state", samples, ("service", "state")
    )


def nodes(now: float, plane: ControlPlane) -> Figure:
    """Nodes of the platform's list, and those in trouble; a node may count under several."""
    board, grant_manager = plane.board, plane.conductor.grant_manager
    found = {
        "listed": len(board.nodes),
        "draining": sum(node.draining for node in board.nodes.values()),
        "ailing": len(board.ailing & board.nodes.keys()),
        "unreachable": len(grant_manager.unreached(now)),
        "unreached by others": len(plane.conductor.peers_reach.since(now)),
    }
    samples: dict[tuple[str, ...], float] = {(state,): count for state, count in found.items()}
    return Figure("knotwalk_core_nodes", Kind.GAUGE, "nodes, by what this core knows of them", samples, ("state",))


def operations(admissions: Admissions) -> Iterator[Figure]:
    """What edges asked for, and what is kept of operations."""
    answers = admissions.answers
    told: dict[tuple[str, ...], float] = {(one.value,): admissions.told[one] for one in Admission}
    ended: dict[tuple[str, ...], float] = {(one.value,): admissions.ended[one] for one in Ending}
    kept: dict[tuple[str, ...], float] = {(phase.value,): count for phase, count in answers.counts().items()}
    yield counter("knotwalk_core_asks", "edges' asks by what was told", told, "told")
    yield counter("knotwalk_core_ends", "ends of operations that edges told", ended, "ending")
    yield Figure("knotwalk_core_operations", Kind.GAUGE, "operations kept here, by phase", kept, ("phase",))
    yield gauge("knotwalk_core_operation_bytes", "bytes that they take", answers.size)


def allowances(plane: ControlPlane) -> Iterator[Figure]:
    """How asks of tenants' allowance ended here."""
    kept = plane.allowances
    yield counter(
        "knotwalk_core_allowances",
        "tokens asked for by edges and given back, by how that ended",
        dict(kept.told),
        "outcome",
        "how",
    )
    yield counter(
        "knotwalk_core_over_limit",
        "requests refused over their limits; the tenants met first are named",
        {(tenant,): count for tenant, count in kept.refused.items()},
        "tenant",
    )
    yield counter(
        "knotwalk_core_allowance_calls",
        "calls for allowance to the leader, by how they ended",
        {(outcome,): count for outcome, count in kept.calls.items()},
        "outcome",
    )
    yield gauge("knotwalk_core_tenants_held", "tenants of which this core holds allowance", len(kept.escrow.holdings))
    buckets = len(kept.buckets.buckets) if kept.buckets is not None else 0
    yield gauge("knotwalk_core_buckets", "tenants whose limits this core keeps as the leader", buckets)


def claims(groups: ClaimGroups | None) -> Iterator[Figure]:
    """What the groups that agree on claims of operations know and did; nothing is told of where there are none."""
    leads: dict[tuple[str, ...], float] = {}
    held: dict[tuple[str, ...], float] = {}
    waiting: dict[tuple[str, ...], float] = {}
    for group in groups.groups if groups else ():
        part = (str(group.part),)
        leads[part], waiting[part] = group.leads, len(group.waiting)
        held[part] = len(group.driver.state.claims)
    labels = ("part",)
    yield Figure("knotwalk_core_claims_leader", Kind.GAUGE, "1 while this core leads a part's group", leads, labels)
    yield Figure("knotwalk_core_claims_held", Kind.GAUGE, "operations of a part that have a holder", held, labels)
    yield Figure("knotwalk_core_claims_waiting", Kind.GAUGE, "claims of a part that wait here", waiting, labels)
    told: dict[tuple[str, ...], float] = {(one.value,): count for one, count in (groups.told.items() if groups else ())}
    yield counter("knotwalk_core_claims", "claims asked by this core, by their outcome", told, "outcome")


def figures(now: float, plane: ControlPlane) -> Iterator[Figure]:
    """All figures of a core machine."""
    machine, state, manager = plane.consensus.machine, plane.consensus.state, plane.conductor
    yield gauge("knotwalk_core_fresh", "1 while this core heard the leader's word lately", plane.peer_api.fresh(now))
    yield gauge("knotwalk_core_leader", "1 while this core leads", machine.role == "leader")
    yield gauge("knotwalk_core_term", "the term of the agreement", machine.term)
    yield gauge("knotwalk_core_members", "members of the agreement, as far as is known here", len(machine.members))
    yield gauge("knotwalk_core_commit_index", "the last entry known as committed", machine.commit)
    yield gauge("knotwalk_core_last_index", "the last entry of the log here", machine.log.last)
    yield gauge("knotwalk_core_configuration_version", "the configuration in force, 0 for none", state.version)
    yield gauge("knotwalk_core_disk_refuses", "1 while a write hangs or was refused", plane.consensus.hung)
    yield gauge(
        "knotwalk_core_lease_seconds",
        "left of this core's lease of its slices",
        manager.grant_manager.lease_until - now,
    )
    yield gauge("knotwalk_core_edges", "edges heard of in the last ten seconds", plane.loads.count(now))
    yield slices(plane)
    yield nodes(now, plane)
    yield counter(
        "knotwalk_core_holders_cleared",
        "slices whose former holder was found to hold them no more",
        {(evidence.value,): count for evidence, count in manager.cleared.items()},
        "by",
    )
    yield counter(
        "knotwalk_core_node_calls", "calls to nodes by how they ended", dict(manager.calls), "call", "outcome"
    )
    yield counter(
        "knotwalk_core_operator_answers",
        "answers to operators",
        dict(plane.control.answers),
        "method",
        "status",
    )
    yield counter(
        "knotwalk_core_orders_refused",
        "orders that were wrong, by the place of their mistake",
        dict(plane.control.refused),
        "place",
    )
    yield from operations(plane.admissions)
    sent = {(step, "sent"): count for step, count in plane.caller.sent.items()}
    got = {(step, "received"): count for step, count in plane.caller.received.items()}
    yield counter("knotwalk_core_call_bytes", "bytes of bodies of calls to peers", sent | got, "step", "direction")
    told: dict[tuple[str, ...], float] = {(path,): count for path, count in plane.peer_api.told.items()}
    yield counter("knotwalk_core_answer_bytes", "bytes of bodies told to edges and cores", told, "path")
    yield from allowances(plane)
    yield from claims(plane.claims)
    yield loop_delay(plane.delay)

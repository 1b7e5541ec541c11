"""Forwards one request: what its tries prove, whether it is tried again, and the one answer that it gets.

The decisions are made by the pure modules of `admission`. `node_selection` selects the node, `node_try` makes one try.
"""

from __future__ import annotations

from collections import Counter

from knotwalk.admission.admission import MAX_AVOID_OWNER_S, MAX_AVOID_S, jittered_retry_after
from knotwalk.admission.outcome import PROOFS, NextStep, Proof, TryOutcome, next_step
from knotwalk.configuration.objects import Route
from knotwalk.discovery.view_types import SLICE_WIDTH
from knotwalk.edge.choose import service_of, stats_of, wait_at
from knotwalk.edge.exchange import Exchange
from knotwalk.edge.node_answer import Answer
from knotwalk.edge.node_selection import MIN_TIME_LEFT_S
from knotwalk.edge.node_try import NodeTry

# Failed connection attempts for one request. Nothing was sent by them, so that they don't count as retries of the
# route.
MAX_CONNECT_FAILURES = 2
# Retry-After of a refused client while slices are handed over.
HANDOVER_RETRY_S = 0.1
# Causes of a refusal that mean overload rather than a missing node.
OVERLOAD_CAUSES = frozenset({"full", TryOutcome.TURNED_AWAY.value})


class Forwarder(NodeTry):
    """Forwards requests by the cluster view. One per edge; `edges` is how many edges share budgets and connections."""

    def set_route(self, exchange: Exchange, route: Route, shard_key: bytes | None) -> str:
        """Set the request's route, service and shard key; returns the text of a client error, or an empty string."""
        exchange.route = route
        exchange.service = service_of(route, self.rng)
        if self.service(exchange.service).sharded:
            number = int(shard_key) if shard_key is not None and shard_key.isdigit() and len(shard_key) <= 5 else -1
            if not 0 <= number < 65536:
                return "Shard-Key must be a number from 0 to 65535"
            exchange.shard_key = number
        self.budget(exchange.service).request(self.clock())
        self.demand.setdefault(exchange.service, Counter())[
            exchange.shard_key // SLICE_WIDTH if exchange.shard_key >= 0 else 0
        ] += 1
        return ""

    async def forward(self, exchange: Exchange, deduplicated: bool = False) -> tuple[NextStep, Answer | None]:
        """Forward a request and answer `exchange`; returns the final step and the last node's answer.

        `deduplicated`: the nodes of its service record operations, so that after an aborted run another may follow.
        Never raises."""
        assert exchange.route is not None
        tried: set[str] = set()
        arrivals = connect_failures = 0
        may_have_run = repeatable = False
        outcome, answer, cause = TryOutcome.UNREACHED, None, "nothing"
        while True:
            node, cause = await self._select_node(exchange, tried, may_have_run, arrivals > 0)
            retry = node is not None
            if retry and arrivals:
                retry = self.budget(exchange.service).take(self.clock(), self.edges_sharing_slack)
                cause = "budget" if not retry else cause
            if not retry:
                break
            assert node is not None
            if answer is not None and answer.stream is not None:
                answer.stream.abort("tried again")
            answer, was_sent = await self._try(exchange, node, arrivals > 0)
            outcome, cause = answer.outcome, answer.why or answer.outcome.value
            tried.add(node.id)
            if was_sent:
                arrivals += 1
            else:
                connect_failures += 1
                if arrivals:
                    self.budget(exchange.service).give_back(self.clock())
            if exchange.expired and outcome is TryOutcome.LOST:
                outcome = TryOutcome.SILENT
            if exchange.client_gone and (answer.outcome is TryOutcome.LOST or not was_sent):
                self.counts["gone"] += 1
                exchange.respond(502, "the client is gone")
                return (NextStep.UNKNOWN if arrivals else NextStep.REFUSE), None
            if cause != "full" and cause != "too late":
                self._record_outcome(
                    stats_of(node),
                    outcome,
                    answer.refused_with_capacity,
                    MAX_AVOID_OWNER_S if exchange.shard_key >= 0 else MAX_AVOID_S,
                )
            can_retry = (
                arrivals < exchange.route.retry_count
                and connect_failures <= MAX_CONNECT_FAILURES
                and self._can_retry(exchange, answer)
            )
            if exchange.shard_key >= 0 and PROOFS[outcome] is not Proof.NEVER_RAN:
                tried.discard(node.id)  # the only node that may run it
            repeatable = exchange.route.idempotent or deduplicated and outcome is not TryOutcome.FAILED
            if next_step(outcome, repeatable, may_have_run, can_retry, answer.status) is not NextStep.RETRY:
                break
            may_have_run = may_have_run or PROOFS[outcome] is Proof.MAY_HAVE_RUN
            self.counts["again"] += 1
        step = next_step(outcome, repeatable, may_have_run, False, answer.status if answer else 0)
        self._finish(exchange, step, answer, cause)
        return step, answer

    def _can_retry(self, exchange: Exchange, answer: Answer) -> bool:
        """Whether the time left, the body and the node's answer allow another try."""
        if exchange.shard_key >= 0 and (
            answer.why == "full" or answer.outcome is TryOutcome.TURNED_AWAY and answer.status != 421
        ):
            return False  # the only node that may run it is full
        return (
            not exchange.body_streaming and exchange.deadline - self.clock() > MIN_TIME_LEFT_S and not exchange.expired
        )

    def count_request(self, exchange: Exchange, cause: str) -> None:
        """Count how a request ended, by its priority."""
        self.counts[f"{cause}, rank {exchange.priority}"] += 1

    def _finish(self, exchange: Exchange, step: NextStep, answer: Answer | None, cause: str) -> None:
        assert exchange.route is not None
        if step is NextStep.PASS_ON:
            assert answer is not None
            if answer.outcome is not TryOutcome.ANSWERED:
                self.count_request(exchange, f"failed at a node: {answer.status}")
            elif self.clock() - exchange.started_at <= exchange.route.target_latency:
                self.count_request(exchange, "in time")
            else:
                self.count_request(exchange, f"after its aim: {exchange.lateness_cause}")
            exchange.respond_with(answer)
            return
        if answer is not None and answer.stream is not None:
            answer.stream.abort("not passed on")
        if step is NextStep.REFUSE:
            self.count_request(exchange, f"refused: {cause}")
            exchange.respond(
                503,
                cause,
                jittered_retry_after(
                    self._retry_wait(exchange) if cause in OVERLOAD_CAUSES else HANDOVER_RETRY_S, self.rng.random()
                ),
            )
        elif step is NextStep.TIMED_OUT:
            self.count_request(exchange, f"no answer by the deadline: {exchange.lateness_cause}")
            exchange.respond(504, "the deadline passed")
        else:
            self.count_request(exchange, f"unknown: {cause}")
            exchange.respond(502, cause or "the node's answer was lost")

    def _retry_wait(self, exchange: Exchange) -> float:
        """Seconds until a slot is likely free for a request that was refused because nodes are full."""
        if exchange.shard_key < 0:
            nodes = self.view.nodes_by_service.get(exchange.service, [])
        else:
            sharding = self.view.assignments.get(exchange.service)
            owner = sharding.assignment(exchange.shard_key).node if sharding is not None else None
            nodes = [owner] if owner is not None else []
        now = self.clock()
        return min((wait_at(node, now) for node in nodes if not node.draining), default=HANDOVER_RETRY_S)

"""Carrying one request: what its tries prove, whether it is tried again, and the one answer that it gets.

Decides by `admission`'s pure parts. Which node it is offered to is `node_selection`'s, a single try `node_try`'s.
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

# Connections that fail to come up for one request; not sent means not offered, so the route's count is not touched.
MISSES = 2
# Seconds that a refused client is told to wait while keys change hands.
HANDS_WAIT = 0.1
# Causes of a refusal that mean too much work, not a missing node.
FULL = frozenset({"full", TryOutcome.TURNED_AWAY.value})


class Forwarder(NodeTry):
    """Carries requests by what the cluster view shows. One for an edge; `edges` is how many share the budgets."""

    def routed(self, exchange: Exchange, route: Route, key: bytes | None) -> str:
        """Note the request's route, service and key; a mistake of the client in a few words, or nothing."""
        exchange.route = route
        exchange.service = service_of(route, self.rng)
        if self.service(exchange.service).sharded:
            number = int(key) if key is not None and key.isdigit() and len(key) <= 5 else -1
            if not 0 <= number < 65536:
                return "Shard-Key must be a number from 0 to 65535"
            exchange.shard_key = number
        self.budget(exchange.service).request(self.clock())
        self.demand.setdefault(exchange.service, Counter())[
            exchange.shard_key // SLICE_WIDTH if exchange.shard_key >= 0 else 0
        ] += 1
        return ""

    async def carry(self, exchange: Exchange, deduplicated: bool = False) -> tuple[NextStep, Answer | None]:
        """Carry a request to its answer, which `exchange` is told: how that came about, and the last node's answer.

        `deduplicated`: its nodes keep a record of operations, so that a broken-off run may be followed by another.
        Never fails."""
        assert exchange.route is not None
        tried: set[str] = set()
        arrivals = misses = 0
        may_have_run = repeatable = False
        outcome, answer, why = TryOutcome.UNREACHED, None, "nothing"
        while True:
            node, why = await self._select_node(exchange, tried, may_have_run, arrivals > 0)
            again = node is not None
            if again and arrivals:
                again = self.budget(exchange.service).take(self.clock(), self.edges)
                why = "budget" if not again else why
            if not again:
                break
            assert node is not None
            if answer is not None and answer.stream is not None:
                answer.stream.abort("tried again")
            answer, sent = await self._try(exchange, node, arrivals > 0)
            outcome, why = answer.outcome, answer.why or answer.outcome.value
            tried.add(node.id)
            if sent:
                arrivals += 1
            else:
                misses += 1
                if arrivals:
                    self.budget(exchange.service).give_back(self.clock())
            if exchange.expired and outcome is TryOutcome.LOST:
                outcome = TryOutcome.SILENT
            if exchange.client_gone and (answer.outcome is TryOutcome.LOST or not sent):
                self.counts["gone"] += 1
                exchange.respond(502, "the client is gone")
                return (NextStep.UNKNOWN if arrivals else NextStep.REFUSE), None
            if why != "full" and why != "too late":
                self._learn(
                    stats_of(node),
                    outcome,
                    answer.refused_with_capacity,
                    MAX_AVOID_OWNER_S if exchange.shard_key >= 0 else MAX_AVOID_S,
                )
            allowed = arrivals < exchange.route.retry_count and misses <= MISSES and self._may_go_on(exchange, answer)
            if exchange.shard_key >= 0 and PROOFS[outcome] is not Proof.NEVER_RAN:
                tried.discard(node.id)  # the only node that may run it
            repeatable = exchange.route.idempotent or deduplicated and outcome is not TryOutcome.FAILED
            if next_step(outcome, repeatable, may_have_run, allowed, answer.status) is not NextStep.RETRY:
                break
            may_have_run = may_have_run or PROOFS[outcome] is Proof.MAY_HAVE_RUN
            self.counts["again"] += 1
        follows = next_step(outcome, repeatable, may_have_run, False, answer.status if answer else 0)
        self._settle(exchange, follows, answer, why)
        return follows, answer

    def _may_go_on(self, exchange: Exchange, answer: Answer) -> bool:
        """Whether there is time, and another node that may run it, for one more try after one that ended so."""
        if exchange.shard_key >= 0 and (
            answer.why == "full" or answer.outcome is TryOutcome.TURNED_AWAY and answer.status != 421
        ):
            return False  # the only node that may run it is full
        return (
            not exchange.body_streaming and exchange.deadline - self.clock() > MIN_TIME_LEFT_S and not exchange.expired
        )

    def note(self, exchange: Exchange, cause: str) -> None:
        """Count how a request ended, by its rank."""
        self.counts[f"{cause}, rank {exchange.priority}"] += 1

    def _settle(self, exchange: Exchange, what: NextStep, answer: Answer | None, why: str) -> None:
        assert exchange.route is not None
        if what is NextStep.PASS_ON:
            assert answer is not None
            if answer.outcome is not TryOutcome.ANSWERED:
                self.note(exchange, f"failed at a node: {answer.status}")
            elif self.clock() - exchange.started_at <= exchange.route.target_latency:
                self.note(exchange, "in time")
            else:
                self.note(exchange, f"after its aim: {exchange.lateness_cause}")
            exchange.respond_with(answer)
            return
        if answer is not None and answer.stream is not None:
            answer.stream.abort("not passed on")
        if what is NextStep.REFUSE:
            self.note(exchange, f"refused: {why}")
            exchange.respond(
                503, why, jittered_retry_after(self._wait(exchange) if why in FULL else HANDS_WAIT, self.rng.random())
            )
        elif what is NextStep.TIMED_OUT:
            self.note(exchange, f"no answer by the deadline: {exchange.lateness_cause}")
            exchange.respond(504, "the deadline passed")
        else:
            self.note(exchange, f"unknown: {why}")
            exchange.respond(502, why or "the node's answer was lost")

    def _wait(self, exchange: Exchange) -> float:
        """Seconds until a slot is likely free for a request that was refused since nodes are full."""
        if exchange.shard_key < 0:
            nodes = self.view.nodes_by_service.get(exchange.service, [])
        else:
            sharding = self.view.assignments.get(exchange.service)
            owner = sharding.assignment(exchange.shard_key).node if sharding is not None else None
            nodes = [owner] if owner is not None else []
        now = self.clock()
        return min((wait_at(node, now) for node in nodes if not node.draining), default=HANDS_WAIT)

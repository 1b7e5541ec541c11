"""Carrying one request: what its tries prove, whether it is tried again, and the one answer that it gets.

Decides by `admission`'s pure parts. Which node it is offered to is `node_selection`'s, a single try `node_try`'s.
"""

from __future__ import annotations

from collections import Counter as Counts

from knotwalk.admission.admission import SHUN_LAST, SHUN_OWNER, come_back
from knotwalk.admission.outcome import PROOFS, End, Move, Proof, move
from knotwalk.configuration.objects import Route
from knotwalk.discovery.view_types import SLICE_WIDTH
from knotwalk.edge.choose import seen, service_of, wait_at
from knotwalk.edge.exchange import Exchange
from knotwalk.edge.node_answer import Answer
from knotwalk.edge.node_selection import TOO_LATE
from knotwalk.edge.node_try import NodeTry

# Connections that fail to come up for one request; not sent means not offered, so the route's count is not touched.
MISSES = 2
# Seconds that a refused client is told to wait while keys change hands.
HANDS_WAIT = 0.1
# Causes of a refusal that mean too much work, not a missing node.
FULL = frozenset({"full", End.TURNED_AWAY.value})


class Forwarder(NodeTry):
    """Carries requests by what the cluster view shows. One for an edge; `edges` is how many share the budgets."""

    def routed(self, exchange: Exchange, route: Route, key: bytes | None) -> str:
        """Note the request's route, service and key; a mistake of the client in a few words, or nothing."""
        exchange.route = route
        exchange.service = service_of(route, self.luck)
        if self.service(exchange.service).sharded:
            number = int(key) if key is not None and key.isdigit() and len(key) <= 5 else -1
            if not 0 <= number < 65536:
                return "Shard-Key must be a number from 0 to 65535"
            exchange.key = number
        self.budget(exchange.service).request(self.clock())
        self.demand.setdefault(exchange.service, Counts())[exchange.key // SLICE_WIDTH if exchange.key >= 0 else 0] += 1
        return ""

    async def carry(self, exchange: Exchange, deduplicated: bool = False) -> tuple[Move, Answer | None]:
        """Carry a request to its answer, which `exchange` is told: how that came about, and the last node's answer.

        `deduplicated`: its nodes keep a record of operations, so that a broken-off run may be followed by another.
        Never fails."""
        assert exchange.route is not None
        tried: set[str] = set()
        arrivals = misses = 0
        may_have_run = repeatable = False
        end, answer, why = End.UNREACHED, None, "nothing"
        while True:
            node, why = await self._node(exchange, tried, may_have_run, arrivals > 0)
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
            end, why = answer.end, answer.why or answer.end.value
            tried.add(node.id)
            if sent:
                arrivals += 1
            else:
                misses += 1
                if arrivals:
                    self.budget(exchange.service).give_back(self.clock())
            if exchange.expired and end is End.LOST:
                end = End.SILENT
            if exchange.gone and (answer.end is End.LOST or not sent):
                self.counts["gone"] += 1
                exchange.own(502, "the client is gone")
                return (Move.UNKNOWN if arrivals else Move.COME_BACK), None
            if why != "full" and why != "too late":
                self._learn(seen(node), end, answer.for_nothing, SHUN_OWNER if exchange.key >= 0 else SHUN_LAST)
            allowed = arrivals < exchange.route.retry_count and misses <= MISSES and self._may_go_on(exchange, answer)
            if exchange.key >= 0 and PROOFS[end] is not Proof.NEVER_RAN:
                tried.discard(node.id)  # the only node that may run it
            repeatable = exchange.route.idempotent or deduplicated and end is not End.FAILED
            if move(end, repeatable, may_have_run, allowed, answer.status) is not Move.AGAIN:
                break
            may_have_run = may_have_run or PROOFS[end] is Proof.MAY_HAVE_RUN
            self.counts["again"] += 1
        follows = move(end, repeatable, may_have_run, False, answer.status if answer else 0)
        self._settle(exchange, follows, answer, why)
        return follows, answer

    def _may_go_on(self, exchange: Exchange, answer: Answer) -> bool:
        """Whether there is time, and another node that may run it, for one more try after one that ended so."""
        if exchange.key >= 0 and (answer.why == "full" or answer.end is End.TURNED_AWAY and answer.status != 421):
            return False  # the only node that may run it is full
        return not exchange.body_gone and exchange.until - self.clock() > TOO_LATE and not exchange.expired

    def note(self, exchange: Exchange, cause: str) -> None:
        """Count how a request ended, by its rank."""
        self.counts[f"{cause}, rank {exchange.priority}"] += 1

    def _settle(self, exchange: Exchange, what: Move, answer: Answer | None, why: str) -> None:
        assert exchange.route is not None
        if what is Move.PASS_ON:
            assert answer is not None
            if answer.end is not End.ANSWERED:
                self.note(exchange, f"failed at a node: {answer.status}")
            elif self.clock() - exchange.begun <= exchange.route.target_latency:
                self.note(exchange, "in time")
            else:
                self.note(exchange, f"after its aim: {exchange.way}")
            exchange.passed_on(answer)
            return
        if answer is not None and answer.stream is not None:
            answer.stream.abort("not passed on")
        if what is Move.COME_BACK:
            self.note(exchange, f"refused: {why}")
            exchange.own(503, why, come_back(self._wait(exchange) if why in FULL else HANDS_WAIT, self.luck.random()))
        elif what is Move.LATE:
            self.note(exchange, f"no answer by the deadline: {exchange.way}")
            exchange.own(504, "the deadline passed")
        else:
            self.note(exchange, f"unknown: {why}")
            exchange.own(502, why or "the node's answer was lost")

    def _wait(self, exchange: Exchange) -> float:
        """Seconds until a slot is likely free for a request that was refused since nodes are full."""
        if exchange.key < 0:
            nodes = self.view.nodes_by_service.get(exchange.service, [])
        else:
            sharding = self.view.assignments.get(exchange.service)
            owner = sharding.assignment(exchange.key).node if sharding is not None else None
            nodes = [owner] if owner is not None else []
        now = self.clock()
        return min((wait_at(node, now) for node in nodes if not node.draining), default=HANDS_WAIT)

"""Carrying one request: what its tries prove, whether it is tried again, and the one answer that it gets.

Decides by `admission`'s pure parts. Which node it is offered to is `node_selection`'s, a single try `node_try`'s.
"""

from __future__ import annotations

from collections import Counter as Counts

from knotwalk.admission.admission import SHUN_LAST, SHUN_OWNER, come_back
from knotwalk.admission.outcome import PROOFS, End, Move, Proof, move
from knotwalk.configuration.objects import Route
from knotwalk.discovery.view_types import WIDTH
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

    def routed(self, x: Exchange, route: Route, key: bytes | None) -> str:
        """Note the request's route, service and key; a mistake of the client in a few words, or nothing."""
        x.route = route
        x.service = service_of(route, self.luck)
        if self.service(x.service).sharded:
            number = int(key) if key is not None and key.isdigit() and len(key) <= 5 else -1
            if not 0 <= number < 65536:
                return "Shard-Key must be a number from 0 to 65535"
            x.key = number
        self.budget(x.service).request(self.clock())
        self.demand.setdefault(x.service, Counts())[x.key // WIDTH if x.key >= 0 else 0] += 1
        return ""

    async def carry(self, x: Exchange) -> None:
        """Carry a request to its answer, which `x` is told. Never fails."""
        assert x.route is not None
        tried: set[str] = set()
        arrivals = misses = 0
        may_have_run = False
        end, answer, why = End.UNREACHED, None, "nothing"
        while True:
            node, why = await self._node(x, tried, may_have_run, arrivals > 0)
            again = node is not None
            if again and arrivals:
                again = self.budget(x.service).take(self.clock(), self.edges)
                why = "budget" if not again else why
            if not again:
                break
            assert node is not None
            if answer is not None and answer.stream is not None:
                answer.stream.abort("tried again")
            answer, sent = await self._try(x, node, arrivals > 0)
            end, why = answer.end, answer.why or answer.end.value
            known = seen(node)
            tried.add(node.id)
            if sent:
                arrivals += 1
            else:
                misses += 1
                if arrivals:
                    self.budget(x.service).give_back(self.clock())
            if x.expired and end is End.LOST:
                end = End.SILENT
            if x.gone and (answer.end is End.LOST or not sent):
                self.counts["gone"] += 1
                x.own(502, "the client is gone")
                return
            if why != "full" and why != "too late":
                self._learn(known, end, answer.for_nothing, SHUN_OWNER if x.key >= 0 else SHUN_LAST)
            allowed = (
                arrivals < x.route.retry_count
                and misses <= MISSES
                and not x.body_gone
                and x.until - self.clock() > TOO_LATE
                and not x.expired
            )
            if x.key >= 0 and (why == "full" or end is End.TURNED_AWAY and answer.status != 421):
                allowed = False  # the only node that may run it is full
            if x.key >= 0 and PROOFS[end] is not Proof.NEVER_RAN:
                tried.discard(node.id)  # the only node that may run it
            if move(end, x.route.idempotent, may_have_run, allowed, answer.status) is not Move.AGAIN:
                break
            may_have_run = may_have_run or PROOFS[end] is Proof.MAY_HAVE_RUN
            self.counts["again"] += 1
        self._settle(x, move(end, x.route.idempotent, may_have_run, False, answer.status if answer else 0), answer, why)

    def _note(self, x: Exchange, cause: str) -> None:
        """Count how a request ended, by the rank of its route."""
        assert x.route is not None
        self.counts[f"{cause}, rank {x.route.priority}"] += 1

    def _settle(self, x: Exchange, what: Move, answer: Answer | None, why: str) -> None:
        assert x.route is not None
        if what is Move.PASS_ON:
            assert answer is not None
            if answer.end is not End.ANSWERED:
                self._note(x, f"failed at a node: {answer.status}")
            elif self.clock() - x.begun <= x.route.target_latency:
                self._note(x, "in time")
            else:
                self._note(x, f"after its aim: {x.way}")
            x.passed_on(answer)
            return
        if answer is not None and answer.stream is not None:
            answer.stream.abort("not passed on")
        if what is Move.COME_BACK:
            self._note(x, f"refused: {why}")
            x.own(503, why, come_back(self._wait(x) if why in FULL else HANDS_WAIT, self.luck.random()))
        elif what is Move.LATE:
            self._note(x, f"no answer by the deadline: {x.way}")
            x.own(504, "the deadline passed")
        else:
            self._note(x, f"unknown: {why}")
            x.own(502, why or "the node's answer was lost")

    def _wait(self, x: Exchange) -> float:
        """Seconds until a slot is likely free for a request that was refused since nodes are full."""
        if x.key < 0:
            nodes = self.view.by_service.get(x.service, [])
        else:
            sharding = self.view.shardings.get(x.service)
            owner = sharding.line(x.key).node if sharding is not None else None
            nodes = [owner] if owner is not None else []
        now = self.clock()
        return min((wait_at(node, now) for node in nodes if not node.draining), default=HANDS_WAIT)

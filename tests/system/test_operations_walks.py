"""Random walks over edges, cores and nodes that fail in all ways of the other tests.

The checks use only what nodes ran and what clients got, never the state of edges or cores.
"""

import asyncio
import random
from collections import Counter, defaultdict

from standins.nodes import SHED, answer

from tests.system.edge_case import CUT, within
from tests.system.operations_case import Edge, OperationsCase

WALKS = 8
STEPS = 50
KEYS = 8
NEVER_RAN_STATUSES = (408, 421, 429, 503)  # answers that promise that the request was not run


class Walk:
    """One walk's random choices and its record: runs by key, and the answer of each attempt."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.runs = Counter()
        self.ran = set()  # ids of attempts
        self.bodies = defaultdict(set)  # of successful answers, by key
        self.statuses = {}  # by attempt id

    def node_response(self, request, writer):
        """A node's reaction to a request: refuse it, or run it and answer, fail or abort, at once or later."""
        draw = self.random.random()
        if draw < 0.2:
            return SHED
        key = request.headers["operation-key"]
        self.runs[key] += 1
        self.ran.add(request.attempt)
        if draw < 0.3:
            writer.transport.abort()
            return None
        if draw < 0.4:
            return answer(request, b"bad", "500 Internal Server Error")
        body = f"{key} run {self.runs[key]}".encode()
        return self.respond_later(answer(request, body), self.random.uniform(0, 0.1) if draw < 0.8 else 0)

    async def respond_later(self, data, pause):
        await asyncio.sleep(pause)
        return data


class WalkTest(OperationsCase):
    async def send_one(self, walk, number):
        """Send one attempt of a client, which may leave early."""
        key, id = f"k{walk.random.randrange(KEYS)}", f"a{number}"
        client = await self.send(id, walk.random.randrange(2), key, deadline=walk.random.choice((150, 600, 1500)))
        if walk.random.random() < 0.1:
            await asyncio.sleep(walk.random.uniform(0, 0.03))
            client.reset()
            return
        try:
            status, headers, body = await within(client.answer())
        except CUT:
            return
        walk.statuses[id] = status
        if status == 200:
            self.assertEqual((headers["attempt-id"], headers["server-seal"]), (id, "s"))
            walk.bodies[key].add(body)

    async def inject_fault(self, walk):
        """Cause a fault, or end one."""
        core = self.cores[walk.random.randrange(2)]
        match walk.random.randrange(7):
            case 0:
                core.lose_answers = walk.random.randrange(3)
            case 1:
                core.dead = True
            case 2:
                core.restart()
            case 3:
                core.pause = walk.random.choice((0, 0, 0.02, 0.2))
            case 4:
                self.cores.group.down = walk.random.random() < 0.3
            case 5:
                self.cores.group.pause = walk.random.choice((0, 0, 0.01, 0.1))
            case 6:
                at = walk.random.randrange(2)
                old = self.edges[at]
                self.edges[at] = await Edge(self.cores, old.order).start(self.view)
                await old.end()

    async def test_each_operation_runs_once_and_repeats_get_the_first_answer(self):
        statuses = Counter()
        for seed in range(WALKS):
            with self.subTest(seed=seed):
                walk = Walk(seed)
                await self.begin(nodes=2, aim=0.6)
                for node in self.nodes:
                    node.act = lambda request: walk.node_response
                attempts = []
                for number in range(STEPS):
                    attempts.append(asyncio.ensure_future(self.send_one(walk, number)))
                    await asyncio.sleep(walk.random.uniform(0, 0.02))
                    if walk.random.random() < 0.2:
                        await self.inject_fault(walk)
                await asyncio.gather(*attempts)
                self.assertEqual({key: runs for key, runs in walk.runs.items() if runs > 1}, {})
                self.assertEqual({key: found for key, found in walk.bodies.items() if len(found) > 1}, {})
                broken = {id for id, status in walk.statuses.items() if status in NEVER_RAN_STATUSES and id in walk.ran}
                self.assertEqual(broken, set())
                statuses.update(walk.statuses.values())
            await self.end()
            self.clients, self.edges = [], []
            await super().asyncSetUp()
        self.assertTrue({200, 409, 500, 502, 503} <= set(statuses), statuses)

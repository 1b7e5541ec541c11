"""Random walks over edges, cores and nodes that fail in every way the other tests know, judged by what nodes ran.

The judge reads what nodes did and what clients got, and nothing of the edges' or the cores' state.
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
PROMISES = (408, 421, 429, 503)


class Walk:
    """One walk's draws, and its record: runs by key, and what each try got."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.runs = Counter()
        self.ran = set()  # ids of tries
        self.bodies = defaultdict(set)  # of successes, by key
        self.statuses = {}  # by id of the try

    def act(self, request, writer):
        """What a node does with a request: turn it away, run it and answer, fail or break off, at once or later."""
        drawn = self.random.random()
        if drawn < 0.2:
            return SHED
        key = request.headers["operation-key"]
        self.runs[key] += 1
        self.ran.add(request.attempt)
        if drawn < 0.3:
            writer.transport.abort()
            return None
        if drawn < 0.4:
            return answer(request, b"bad", "500 Internal Server Error")
        body = f"{key} run {self.runs[key]}".encode()
        return self.later(answer(request, body), self.random.uniform(0, 0.1) if drawn < 0.8 else 0)

    async def later(self, data, pause):
        await asyncio.sleep(pause)
        return data


class WalkTest(OperationsCase):
    async def one(self, walk, number):
        """A client's try, which may leave early."""
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

    async def trouble(self, walk):
        """Something goes wrong, or is well again."""
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

    async def test_each_operation_runs_once_and_its_repeats_get_the_first_answer(self):
        statuses = Counter()
        for seed in range(WALKS):
            with self.subTest(seed=seed):
                walk = Walk(seed)
                await self.begin(nodes=2, aim=0.6)
                for node in self.nodes:
                    node.act = lambda request: walk.act
                tries = []
                for number in range(STEPS):
                    tries.append(asyncio.ensure_future(self.one(walk, number)))
                    await asyncio.sleep(walk.random.uniform(0, 0.02))
                    if walk.random.random() < 0.2:
                        await self.trouble(walk)
                await asyncio.gather(*tries)
                self.assertEqual({key: runs for key, runs in walk.runs.items() if runs > 1}, {})
                self.assertEqual({key: found for key, found in walk.bodies.items() if len(found) > 1}, {})
                broken = {id for id, status in walk.statuses.items() if status in PROMISES and id in walk.ran}
                self.assertEqual(broken, set())
                statuses.update(walk.statuses.values())
            await self.end()
            self.clients, self.edges = [], []
            await super().asyncSetUp()
        self.assertTrue({200, 409, 500, 502, 503} <= set(statuses), statuses)

"""Clients of a soak run: they hold connections open and use them until the process behind is gone, or leave early."""

from __future__ import annotations

import asyncio
from random import Random

from knotwalk.runtime.logs import clock
from tests.soak.judge import HANGS
from tests.soak.ledger import Asked, End, Ledger, Life
from tests.soak.tenancy import Operation, Tenancy
from tests.standins.documents import HOST, key_header
from tests.standins.nodes import RawClient

DEADLINE = 5.0  # seconds that a client waits for its answer
PLAIN, OPEN = (("/frames/", True), ("/signup/", False), ("/desk/", True)), ("/open/", True)
KEYED = ("/pay/", "/book/")
KEYED_PART, OPEN_PART = 0.4, 0.06  # share of keyed requests, and of those that need no key
FORGED = "Tenant: alder\r\n"  # what a client says of its tenant counts for nothing
AWAY = 0.1  # seconds until a client whose edge is gone tries another
STORM_PAUSE = 0.02  # seconds between two requests of a client that storms
LEAVES_PART, RESET_PART, PIPE_PART = 0.15, 0.3, 0.3


class SoakClient:
    """One client: a connection after the other to edges by its luck."""

    def __init__(self, name: str, luck: Random, ledger: Ledger, edges, until: float, tenancy: Tenancy | None = None):
        """Without a `tenancy` it shows no keys and sends no operations."""
        self.name, self.luck, self.ledger, self.edges, self.until = name, luck, ledger, edges, until
        self.tenancy, self.number = tenancy, 0
        self.under_way: dict[str, Operation] = {}  # by request

    async def run(self) -> None:
        """Until the run's end."""
        while clock() < self.until:
            edge = self.luck.choice(self.edges)
            life = edge.life
            host, _, port = edge.settings["listen_addresses"]["data_plane"].rpartition(":")
            try:
                connection = await RawClient.to(int(port), host)
            except OSError:
                await asyncio.sleep(AWAY)
                continue
            try:
                await self.use(connection, life)
            finally:
                connection.close()

    async def use(self, connection: RawClient, life: Life) -> None:
        """Use one connection until it ends, or the client leaves it."""
        while clock() < self.until:
            due = [self.ask(connection, life) for _ in range(self.luck.randint(1, 4) if self.piped() else 1)]
            if self.luck.random() < LEAVES_PART:
                await asyncio.sleep(self.luck.uniform(0.0, 0.3))
                self.leave(connection, due)
                return
            if not await self.take(connection, due):
                return
            await asyncio.sleep(self.luck.choice((0.0, 0.0, 0.05, 0.3)))

    def piped(self) -> bool:
        """Whether it sends more before the first is answered."""
        return self.luck.random() < PIPE_PART

    def ask(self, connection: RawClient, life: Life) -> Asked:
        """Send a request."""
        self.number += 1
        asked = Asked(f"{self.name}-{self.number}", life, False, clock())
        line, more = self.choose(asked)
        shard = self.under_way[asked.id].shard if asked.operation else self.luck.randrange(65536)
        self.ledger.asked[asked.id] = asked
        connection.writer.write(
            (
                f"{line} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {asked.id}\r\n"
                f"Deadline-Ms: {int(DEADLINE * 1000)}\r\nShard-Key: {shard}\r\n{more}\r\n"
            ).encode()
        )
        return asked

    def choose(self, asked: Asked) -> tuple[str, str]:
        """What the request is: its method and path, and headers beside the usual ones."""
        if self.tenancy is not None and self.luck.random() < KEYED_PART:
            operation = self.tenancy.operation(self.luck, self.luck.choice(KEYED))
            self.under_way[asked.id] = operation
            asked.operation, asked.path = operation.name, operation.path
            asked.tenant, asked.key = self.tenancy.key(self.luck, operation.tenant)
            return f"POST {asked.path}", key_header(asked.key) + f"Operation-Key: {operation.name}\r\n"
        if self.tenancy is not None and self.luck.random() < OPEN_PART:
            prefix, asked.repeatable = OPEN
            asked.public, asked.path = True, prefix + asked.id
            return f"GET {asked.path}", FORGED
        prefix, asked.repeatable = self.luck.choice(PLAIN)
        asked.path = prefix + asked.id
        more = self.shown(asked)
        return f"{'GET' if asked.repeatable else 'POST'} {asked.path}", more

    def shown(self, asked: Asked, tenant: str = "") -> str:
        """The header with a key, where keys are shown."""
        if self.tenancy is None:
            return ""
        asked.tenant, asked.key = self.tenancy.key(self.luck, tenant)
        return key_header(asked.key) + (FORGED if self.luck.random() < OPEN_PART else "")

    def done(self, asked: Asked) -> None:
        """A request has ended: an operation that was not answered with success is tried again."""
        operation = self.under_way.pop(asked.id, None)
        if operation is not None and asked.status != 200:
            self.tenancy.failed.append(operation)

    def leave(self, connection: RawClient, due: list[Asked]) -> None:
        """Go, by a close or a reset."""
        now = clock()
        for asked in due:
            asked.end, asked.at = End.LEFT, now
            self.done(asked)
        if self.luck.random() < RESET_PART and not connection.writer.transport.is_closing():
            connection.reset()
        else:
            connection.close()

    async def take(self, connection: RawClient, due: list[Asked]) -> bool:
        """Take the answers; whether the connection goes on."""
        for at, asked in enumerate(due):
            try:
                async with asyncio.timeout(DEADLINE + HANGS):
                    status, headers, body = await connection.answer()
            except (asyncio.IncompleteReadError, ConnectionError):
                self.close(due[at:], End.CUT)
                return False
            except TimeoutError:
                self.close(due[at:], End.SILENT)
                return False
            if headers.get("attempt-id") != asked.id:
                self.ledger.said.append(
                    f"MIXED {asked.id} got the answer of {headers.get('attempt-id')}: {status} {body[:60]!r}"
                )
            asked.end, asked.at, asked.status = End.ANSWERED, clock(), status
            asked.seal, asked.body = headers.get("server-seal", ""), body
            asked.whole = body.endswith(f" {asked.path} HTTP/1.1".encode())
            self.done(asked)
            if headers.get("connection", "").lower() == "close":
                self.close(due[at + 1 :], End.BEHIND)
                return False
        return True

    def close(self, rest: list[Asked], end: End) -> None:
        """The connection has ended before these were answered."""
        for asked in rest:
            asked.end, asked.at = end, clock()
            self.done(asked)


class StormingClient(SoakClient):
    """One of those that send all they can for one tenant, by one of its keys."""

    tenant = ""

    def choose(self, asked: Asked) -> tuple[str, str]:
        """A plain request of its tenant."""
        asked.repeatable, asked.path = True, f"/frames/{asked.id}"
        return f"GET {asked.path}", self.shown(asked, self.tenant)

    async def use(self, connection: RawClient, life: Life) -> None:
        """One request after the other."""
        while clock() < self.until and await self.take(connection, [self.ask(connection, life)]):
            await asyncio.sleep(STORM_PAUSE)

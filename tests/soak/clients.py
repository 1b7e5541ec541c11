"""Clients of a soak run: they keep connections open until the edge closes them, or disconnect early."""

from __future__ import annotations

import asyncio
from random import Random

from knotwalk.runtime.logs import clock
from tests.soak.judge import SILENCE_MARGIN_S
from tests.soak.ledger import ClientRequest, End, Incarnation, Ledger
from tests.soak.tenancy import Operation, Tenancy
from tests.standins.documents import HOST, key_header
from tests.standins.nodes import RawClient

DEADLINE_S = 5.0  # sent as `Deadline-Ms`
PLAIN_PATHS, PUBLIC_PATH = (("/frames/", True), ("/signup/", False), ("/desk/", True)), ("/open/", True)
KEYED_PREFIXES = ("/pay/", "/book/")
KEYED_SHARE, PUBLIC_SHARE = 0.4, 0.06  # share of requests with an operation key, and to the public route
FORGED_TENANT_HEADER = "Tenant: alder\r\n"  # edges must ignore a tenant that the client claims
RECONNECT_DELAY_S = 0.1  # before a client whose edge refuses connections tries another
STORM_PAUSE_S = 0.02  # between two requests of a storming client
LEAVE_SHARE, RESET_SHARE, PIPELINE_SHARE = 0.15, 0.3, 0.3


class SoakClient:
    """One client: opens one connection after the other, each to a random edge."""

    def __init__(self, name: str, rng: Random, ledger: Ledger, edges, until: float, tenancy: Tenancy | None = None):
        """Without a `tenancy` it sends no API keys and no operation keys."""
        self.name, self.rng, self.ledger, self.edges, self.until = name, rng, ledger, edges, until
        self.tenancy, self.number = tenancy, 0
        self.pending_operations: dict[str, Operation] = {}  # by request id

    async def run(self) -> None:
        """Connects and sends requests until the end of the run."""
        while clock() < self.until:
            edge = self.rng.choice(self.edges)
            incarnation = edge.incarnation
            host, _, port = edge.settings["listen_addresses"]["data_plane"].rpartition(":")
            try:
                connection = await RawClient.to(int(port), host)
            except OSError:
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            try:
                await self.use(connection, incarnation)
            finally:
                connection.close()

    async def use(self, connection: RawClient, incarnation: Incarnation) -> None:
        """Uses one connection until it ends or the client disconnects."""
        while clock() < self.until:
            pending = [
                self.send_request(connection, incarnation)
                for _ in range(self.rng.randint(1, 4) if self.should_pipeline() else 1)
            ]
            if self.rng.random() < LEAVE_SHARE:
                await asyncio.sleep(self.rng.uniform(0.0, 0.3))
                self.leave(connection, pending)
                return
            if not await self.receive_answers(connection, pending):
                return
            await asyncio.sleep(self.rng.choice((0.0, 0.0, 0.05, 0.3)))

    def should_pipeline(self) -> bool:
        """Decides at random whether to pipeline several requests."""
        return self.rng.random() < PIPELINE_SHARE

    def send_request(self, connection: RawClient, incarnation: Incarnation) -> ClientRequest:
        """Sends a request and records it in the ledger."""
        self.number += 1
        request = ClientRequest(f"{self.name}-{self.number}", incarnation, False, clock())
        line, headers = self.choose_request(request)
        shard = self.pending_operations[request.id].shard if request.operation else self.rng.randrange(65536)
        self.ledger.requests[request.id] = request
        connection.writer.write(
            (
                f"{line} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {request.id}\r\n"
                f"Deadline-Ms: {int(DEADLINE_S * 1000)}\r\nShard-Key: {shard}\r\n{headers}\r\n"
            ).encode()
        )
        return request

    def choose_request(self, request: ClientRequest) -> tuple[str, str]:
        """Chooses the kind of request: returns its method and path, and additional header lines."""
        if self.tenancy is not None and self.rng.random() < KEYED_SHARE:
            operation = self.tenancy.operation(self.rng, self.rng.choice(KEYED_PREFIXES))
            self.pending_operations[request.id] = operation
            request.operation, request.path = operation.name, operation.path
            request.tenant, request.key = self.tenancy.key(self.rng, operation.tenant)
            return f"POST {request.path}", key_header(request.key) + f"Operation-Key: {operation.name}\r\n"
        if self.tenancy is not None and self.rng.random() < PUBLIC_SHARE:
            prefix, request.is_repeatable = PUBLIC_PATH
            request.public, request.path = True, prefix + request.id
            return f"GET {request.path}", FORGED_TENANT_HEADER
        prefix, request.is_repeatable = self.rng.choice(PLAIN_PATHS)
        request.path = prefix + request.id
        headers = self.tenant_headers(request)
        return f"{'GET' if request.is_repeatable else 'POST'} {request.path}", headers

    def tenant_headers(self, request: ClientRequest, tenant: str = "") -> str:
        """Returns the header line with an API key; empty in runs without tenants."""
        if self.tenancy is None:
            return ""
        request.tenant, request.key = self.tenancy.key(self.rng, tenant)
        return key_header(request.key) + (FORGED_TENANT_HEADER if self.rng.random() < PUBLIC_SHARE else "")

    def on_ended(self, request: ClientRequest) -> None:
        """Handles the end of a request: a keyed operation without a 200 response is queued for a retry."""
        operation = self.pending_operations.pop(request.id, None)
        if operation is not None and request.status != 200:
            self.tenancy.failed.append(operation)

    def leave(self, connection: RawClient, pending: list[ClientRequest]) -> None:
        """Disconnects, by a close or a reset."""
        now = clock()
        for request in pending:
            request.end, request.ended_at = End.CLIENT_LEFT, now
            self.on_ended(request)
        if self.rng.random() < RESET_SHARE and not connection.writer.transport.is_closing():
            connection.reset()
        else:
            connection.close()

    async def receive_answers(self, connection: RawClient, pending: list[ClientRequest]) -> bool:
        """Reads the responses; returns whether the connection remains usable."""
        for index, request in enumerate(pending):
            try:
                async with asyncio.timeout(DEADLINE_S + SILENCE_MARGIN_S):
                    status, headers, body = await connection.answer()
            except (asyncio.IncompleteReadError, ConnectionError):
                self.on_closed(pending[index:], End.CONNECTION_CLOSED)
                return False
            except TimeoutError:
                self.on_closed(pending[index:], End.NO_RESPONSE)
                return False
            if headers.get("attempt-id") != request.id:
                self.ledger.direct_findings.append(
                    f"MIXED {request.id} got the answer of {headers.get('attempt-id')}: {status} {body[:60]!r}"
                )
            request.end, request.ended_at, request.status = End.ANSWERED, clock(), status
            request.seal, request.body = headers.get("server-seal", ""), body
            request.is_whole = body.endswith(f" {request.path} HTTP/1.1".encode())
            self.on_ended(request)
            if headers.get("connection", "").lower() == "close":
                self.on_closed(pending[index + 1 :], End.AFTER_CLOSE)
                return False
        return True

    def on_closed(self, rest: list[ClientRequest], end: End) -> None:
        """Marks requests whose connection ended before they were answered."""
        for request in rest:
            request.end, request.ended_at = end, clock()
            self.on_ended(request)


class StormingClient(SoakClient):
    """A client that sends requests for one tenant at the highest rate it can."""

    tenant = ""

    def choose_request(self, request: ClientRequest) -> tuple[str, str]:
        """Always a repeatable request without an operation key, for `tenant`."""
        request.is_repeatable, request.path = True, f"/frames/{request.id}"
        return f"GET {request.path}", self.tenant_headers(request, self.tenant)

    async def use(self, connection: RawClient, incarnation: Incarnation) -> None:
        """Sends one request after the other."""
        while clock() < self.until and await self.receive_answers(
            connection, [self.send_request(connection, incarnation)]
        ):
            await asyncio.sleep(STORM_PAUSE_S)

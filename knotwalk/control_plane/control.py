"""The operators' calls (openapi/control.yaml): the configuration, taken, changed and read back."""

from __future__ import annotations

import asyncio

from sanic import HTTPResponse, Request, Sanic

from knotwalk.configuration.control import UNKNOWN, judge, reading
from knotwalk.configuration.read import difference, document, version_text
from knotwalk.control_plane.consensus_driver import ConsensusDriver, Lost, NotLeader
from knotwalk.control_plane.replicated_state import DONE
from knotwalk.runtime.logs import log_info
from knotwalk.runtime.serve import answer, app

PATIENCE = 4.0  # for an agreement; a core that lost its majority says so instead of holding the operator
LATER = {"Retry-After": "60"}  # s; of an order too old to be told, which another try won't change
WAIT_LEADER = 0.8  # an election is over in about this time; the caller moves on after a second of silence


class Control:
    """The control port of one core machine. Calls that need the leader are sent on to it."""

    def __init__(self, consensus: ConsensusDriver, port: int):
        self.consensus, self.port = consensus, port
        self.taking = asyncio.Lock()  # one change at a time is judged and agreed on

    def app(self) -> Sanic:
        made = app("control")
        made.add_route(self.read, "/configuration", methods=["GET"], error_format="text")
        made.add_route(self.change, "/configuration", methods=["PUT", "PATCH"], error_format="text")
        return made

    async def leader(self) -> str | None:
        """The leader's peer address, waited for briefly; None if this machine leads; NotLeader if none is known."""
        machine, waited = self.consensus.machine, 0.0
        while True:
            if machine.role == "leader":
                return None
            if machine.leader:
                return machine.leader
            if waited >= WAIT_LEADER:
                raise NotLeader(None)
            await asyncio.sleep(0.05)
            waited += 0.05

    def elsewhere(self, leader: str | None) -> HTTPResponse:
        if leader is None:
            return answer({"error": "no leader is known here; ask another or again"}, 503, {"Retry-After": "0.3"})
        host = leader.rpartition(":")[0]
        return HTTPResponse(b"", 307, {"Location": f"http://{host}:{self.port}/configuration"})

    async def read(self, request: Request) -> HTTPResponse:
        """The newest configuration, whole; never an older one than was acknowledged anywhere."""
        try:
            if (leader := await self.leader()) is not None:
                return self.elsewhere(leader)
            await self.consensus.current()
        except NotLeader as error:
            return self.elsewhere(error.leader)
        except Lost:
            return answer({"error": "no majority answers; ask another or again"}, 503, {"Retry-After": "0.3"})
        status, found = reading(self.consensus.state.configuration)
        return answer(found, status)

    async def change(self, request: Request) -> HTTPResponse:
        try:
            if (leader := await self.leader()) is not None:
                return self.elsewhere(leader)
            async with self.taking:
                await self.consensus.current()
                state = self.consensus.state
                verdict = judge(
                    state.configuration, state.history, request.method, request.headers.get("if-match"), request.body
                )
                if verdict.status != 200 or verdict.same:
                    log_info(
                        "change", method=request.method, status=verdict.status, why=verdict.message, same=verdict.same
                    )
                    return answer(verdict.body(), verdict.status, LATER if verdict.status == 503 else None)
                command = {
                    "do": "configure",
                    "base": verdict.base,
                    "version": verdict.version,
                    "digest": verdict.digest,
                }
                less = difference(document(state.configuration), verdict.document) if state.configuration else None
                command |= {"difference": less} if less else {"document": verdict.document}
                said = await self.consensus.propose(command, PATIENCE)
        except NotLeader as error:
            return self.elsewhere(error.leader)
        except Lost:
            return answer({"error": "not known whether it was agreed on; send it again"}, 503, {"Retry-After": "0.3"})
        log_info("change", method=request.method, said=said, version=self.consensus.state.version)
        if said == UNKNOWN:
            return answer({"error": said}, 503, LATER)
        if said != DONE:
            return answer({"error": said, "config_version": version_text(self.consensus.state.version)}, 412)
        return answer(verdict.body())

"""The operators' calls (openapi/control.yaml): the configuration, taken, changed and read back."""

from __future__ import annotations

import asyncio
from collections import Counter

from sanic import HTTPResponse, Request, Sanic

from knotwalk.configuration.control import DISK_PART, MOST_BYTES, UNKNOWN, judge, reading, refused_place
from knotwalk.configuration.read import difference, document, version_text
from knotwalk.configuration.unknown import unknown_words
from knotwalk.control_plane.consensus_driver import ConsensusDriver, Lost, NotLeader
from knotwalk.control_plane.replicated_state import DONE
from knotwalk.runtime.logs import clock, log_info, log_warning
from knotwalk.runtime.serve import answer, app

PATIENCE = 4.0  # for an agreement; a core that lost its majority says so instead of holding the operator
LATER = {"Retry-After": "60"}  # s; of an order too old to be told, which another try won't change
WAIT_LEADER = 0.8  # an election is over in about this time; the caller moves on after a second of silence
WORDS_MOST = 10  # words that are not known, in one line of the log
LOOK = 0.02  # seconds between looks for a leader's word: a sixth of a heartbeat


class Control:
    """The control port of one core machine. Calls that need the leader are sent on to it."""

    def __init__(self, consensus: ConsensusDriver, port: int):
        self.consensus, self.port = consensus, port
        self.most_kept = min(MOST_BYTES, int(consensus.store.disk_mb * 1e6 * DISK_PART))
        self.answers: Counter[tuple[str, str]] = Counter()  # by method and status
        self.refused: Counter[tuple[str]] = Counter()  # orders that are wrong, by the place of their mistake
        self.taking = asyncio.Lock()  # one change at a time is judged and agreed on

    def app(self) -> Sanic:
        """The port's routes."""
        made = app("control")
        made.add_route(self.read, "/configuration", methods=["GET"], error_format="text")
        made.add_route(self.change, "/configuration", methods=["PUT", "PATCH"], error_format="text")
        return made

    async def leader(self, asked_at: float) -> str | None:
        """The peer address of a leader that was heard after the call came at `asked_at`, by a heartbeat at the latest;
        None if this machine leads; NotLeader if none was heard in time.

        A leader that only was heard before may be gone since. Sent to it, the caller would wait a second for nothing,
        and its next try may begin there again; meanwhile the others elect."""
        machine = self.consensus.machine
        while machine.role != "leader":
            if machine.leader and machine.leader_heard_at >= asked_at:
                return machine.leader
            if clock() - asked_at >= WAIT_LEADER:
                raise NotLeader(None)
            await asyncio.sleep(LOOK)
        return None

    def elsewhere(self, leader: str | None) -> HTTPResponse:
        """Where an operator should go: a redirection to the leader, or 503 where none is known."""
        if leader in (None, self.consensus.machine.address):  # others may still hold this machine for the leader
            return answer({"error": "no leader is known here; ask another or again"}, 503, {"Retry-After": "0.3"})
        host = leader.rpartition(":")[0]
        return HTTPResponse(b"", 307, {"Location": f"http://{host}:{self.port}/configuration"})

    async def another(self, asked_at: float) -> HTTPResponse:
        """The answer where this machine turned out not to lead: who does by now is heard, not guessed."""
        try:
            return self.elsewhere(await self.leader(asked_at))
        except NotLeader:
            return self.elsewhere(None)

    async def read(self, request: Request) -> HTTPResponse:
        """GET: the newest configuration, counted."""
        return self._counted("GET", await self._read())

    async def change(self, request: Request) -> HTTPResponse:
        """PUT and PATCH: a change, counted."""
        return self._counted(request.method, await self._change(request))

    def _counted(self, method: str, answered: HTTPResponse) -> HTTPResponse:
        self.answers[method, str(answered.status)] += 1
        return answered

    async def _read(self) -> HTTPResponse:
        """The newest configuration, whole; never an older one than was acknowledged anywhere."""
        asked_at = clock()
        try:
            if (leader := await self.leader(asked_at)) is not None:
                return self.elsewhere(leader)
            await self.consensus.current()
        except NotLeader:
            return await self.another(asked_at)
        except Lost:
            return answer({"error": "no majority answers; ask another or again"}, 503, {"Retry-After": "0.3"})
        status, found = reading(self.consensus.state.configuration)
        return answer(found, status)

    async def _change(self, request: Request) -> HTTPResponse:
        asked_at = clock()
        try:
            if (leader := await self.leader(asked_at)) is not None:
                return self.elsewhere(leader)
            async with self.taking:
                await self.consensus.current()
                state = self.consensus.state
                verdict = judge(
                    state.configuration,
                    state.history,
                    request.method,
                    request.headers.get("if-match"),
                    request.body,
                    self.most_kept,
                )
                if verdict.status == 400:
                    self.refused[(refused_place(verdict.message),)] += 1
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
        except NotLeader:
            return await self.another(asked_at)
        except Lost:
            return answer({"error": "not known whether it was agreed on; send it again"}, 503, {"Retry-After": "0.3"})
        log_info("change", method=request.method, said=said, version=self.consensus.state.version)
        if said == DONE and (words := unknown_words(verdict.configuration.items)):
            log_warning("words not known", words=words[:WORDS_MOST], of=len(words))
        if said == UNKNOWN:
            return answer({"error": said}, 503, LATER)
        if said != DONE:
            return answer({"error": said, "config_version": version_text(self.consensus.state.version)}, 412)
        return answer(verdict.body())

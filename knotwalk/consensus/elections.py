"""Elections of the consensus: pre-votes, votes, and standing at once when leadership is handed over. Pure."""

from knotwalk.consensus.machine_state import MachineState
from knotwalk.consensus.members import quorum
from knotwalk.consensus.orders import CANDIDATE, FOLLOWER, LEADER, OUTSIDER


class Elections(MachineState):
    """How a machine comes to lead, and to whom it gives its vote."""

    def _may_stand(self) -> bool:
        return self.me in self.members and not self._sick and not self.leaving

    def _sticky(self, now: float) -> bool:
        return self.role == LEADER or now - self._sticky_from < self.pace.election_low

    def _current(self, message: dict) -> bool:
        """Whether the sender's log is at least as new as this one."""
        return (message["last_term"], message["last"]) >= (self.log.last_term, self.log.last)

    def _stand(self, now: float) -> None:
        """Ask whether votes would be given: changes nothing anywhere."""
        self._pre = True
        self._become(now, CANDIDATE, self.term)
        for id, address in self._others():
            self._send(address, "prevote", id, next=self.term + 1, last=self.log.last, last_term=self.log.last_term)
        self._tally(now)

    def _campaign(self, now: float, handed: bool) -> None:
        """Ask for votes, once the own vote is kept: a later life must not lead in this term again."""
        self._pre = False
        self._rounds += 1
        self._become(now, CANDIDATE, self.term + 1, vote=self.me)
        for id, address in self._others():
            self._promise(address, "vote", id, last=self.log.last, last_term=self.log.last_term, handed=handed)

    def _tally(self, now: float) -> None:
        if sum(id in self._votes for id in self.members) < quorum(len(self.members)):
            return
        if self._pre:
            self._campaign(now, False)
        else:
            self._become(now, LEADER, self.term)

    def _on_prevote(self, now: float, message: dict) -> None:
        """Say whether a vote would be given. An outsider says so too: see `_on_vote`."""
        if self._sick:
            return
        grant = not self._sticky(now) and message["next"] > self.term and self._current(message)
        self._send(message["at"], "prevoted", message["from"], granted=grant, next=message["next"], leader=self.leader)

    def _on_prevoted(self, now: float, message: dict) -> None:
        if message["term"] > self.term:
            if not message["granted"] and self.role != LEADER:
                self._become(now, FOLLOWER, message["term"])
        elif self.role == CANDIDATE and self._pre and message["next"] == self.term + 1 and now < self._deadline:
            if message["granted"]:
                self._votes.add(message["from"])
                self._tally(now)
            else:
                self._hint = message["leader"] or self._hint

    def _on_vote(self, now: float, message: dict) -> None:
        """Give the vote of this term, whatever the own log says of members (Ongaro's thesis, 4.2).

        A newcomer may be counted by entries that it has not got yet, and without its vote nobody might ever lead. That
        is safe, since a vote is kept before it is told, and a machine whose disk was emptied has another identity and
        is not asked.
        """
        if self._sick or self._sticky(now) and not message["handed"]:
            return
        if message["term"] > self.term:
            self._become(now, FOLLOWER, message["term"])
        grant = (
            message["term"] == self.term
            and self.vote in (None, message["from"])
            and self.role in (FOLLOWER, CANDIDATE, OUTSIDER)
            and self._leader_id is None
            and self._current(message)
        )
        if grant and self.vote is None:
            self._become(now, FOLLOWER, self.term, vote=message["from"])
        if grant:
            self._deadline = now + self._timeout()
            self._promise(message["at"], "voted", message["from"], granted=True)
        else:
            self._send(message["at"], "voted", message["from"], granted=False)

    def _on_voted(self, now: float, message: dict) -> None:
        if message["term"] > self.term:
            self._become(now, FOLLOWER, message["term"])
        elif (
            message["term"] == self.term
            and message["granted"]
            and self.role == CANDIDATE
            and not self._pre
            and now < self._deadline
        ):
            self._votes.add(message["from"])
            self._tally(now)

    def _on_timeout_now(self, now: float, message: dict) -> None:
        if message["term"] == self.term and self.role == FOLLOWER and self._may_stand():
            self._campaign(now, True)

"""Elections: pre-votes, votes, and standing at once when leadership is handed over. Pure."""

from knotwalk.consensus.machine_state import MachineState
from knotwalk.consensus.membership_rules import quorum
from knotwalk.consensus.raft_types import CANDIDATE, FOLLOWER, LEADER, OUTSIDER


class Elections(MachineState):
    """Becoming the leader, and granting votes."""

    def _can_stand(self) -> bool:
        return self.me in self.members and not self._store_failed and not self.leaving

    def _has_recent_leader(self, now: float) -> bool:
        return self.role == LEADER or now - self._sticky_since < self.settings.election_timeout_min

    def _is_log_current(self, message: dict) -> bool:
        """Whether the sender's log is at least as up to date as this one."""
        return (message["last_term"], message["last"]) >= (self.log.last_term, self.log.last)

    def _start_prevote(self, now: float) -> None:
        """Ask the other members whether they would grant a vote. Changes no state on any machine."""
        self._is_prevote = True
        self._become(now, CANDIDATE, self.term)
        for id, address in self._other_members():
            self._send(address, "prevote", id, next=self.term + 1, last=self.log.last, last_term=self.log.last_term)
        self._count_votes(now)

    def _start_election(self, now: float, handed: bool) -> None:
        """Request votes once the own vote is stored, so that a later incarnation can't lead in this term again."""
        self._is_prevote = False
        self._election_rounds += 1
        self._become(now, CANDIDATE, self.term + 1, vote=self.me)
        for id, address in self._other_members():
            self._send_after_save(address, "vote", id, last=self.log.last, last_term=self.log.last_term, handed=handed)

    def _count_votes(self, now: float) -> None:
        if sum(id in self._votes for id in self.members) < quorum(len(self.members)):
            return
        if self._is_prevote:
            self._start_election(now, False)
        else:
            self._become(now, LEADER, self.term)

    def _on_prevote(self, now: float, message: dict) -> None:
        """Answer whether a vote would be granted. An outsider answers as well: see `_on_vote`."""
        if self._store_failed:
            return
        grant = not self._has_recent_leader(now) and message["next"] > self.term and self._is_log_current(message)
        self._send(message["at"], "prevoted", message["from"], granted=grant, next=message["next"], leader=self.leader)

    def _on_prevoted(self, now: float, message: dict) -> None:
        if message["term"] > self.term:
            if not message["granted"] and self.role != LEADER:
                self._become(now, FOLLOWER, message["term"])
        elif (
            self.role == CANDIDATE
            and self._is_prevote
            and message["next"] == self.term + 1
            and now < self._election_deadline
        ):
            if message["granted"]:
                self._votes.add(message["from"])
                self._count_votes(now)
            else:
                self._leader_hint = message["leader"] or self._leader_hint

    def _on_vote(self, now: float, message: dict) -> None:
        """Grant the vote of this term, whatever the own log says about the members (Ongaro's thesis, 4.2).

        A newly added member may be counted by entries that it has not received yet, and without its vote nobody might
        ever be elected. This is safe: a vote is stored before it is sent, and a machine whose disk was wiped has
        another identity, so that nobody asks it.
        """
        if self._store_failed or self._has_recent_leader(now) and not message["handed"]:
            return
        if message["term"] > self.term:
            self._become(now, FOLLOWER, message["term"])
        grant = (
            message["term"] == self.term
            and self.vote in (None, message["from"])
            and self.role in (FOLLOWER, CANDIDATE, OUTSIDER)
            and self._leader_id is None
            and self._is_log_current(message)
        )
        if grant and self.vote is None:
            self._become(now, FOLLOWER, self.term, vote=message["from"])
        if grant:
            self._election_deadline = now + self._election_timeout()
            self._send_after_save(message["at"], "voted", message["from"], granted=True)
        else:
            self._send(message["at"], "voted", message["from"], granted=False)

    def _on_voted(self, now: float, message: dict) -> None:
        if message["term"] > self.term:
            self._become(now, FOLLOWER, message["term"])
        elif (
            message["term"] == self.term
            and message["granted"]
            and self.role == CANDIDATE
            and not self._is_prevote
            and now < self._election_deadline
        ):
            self._votes.add(message["from"])
            self._count_votes(now)

    def _on_timeout_now(self, now: float, message: dict) -> None:
        if message["term"] == self.term and self.role == FOLLOWER and self._can_stand():
            self._start_election(now, True)

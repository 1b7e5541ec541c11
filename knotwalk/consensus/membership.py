"""Membership: who joins, who leaves, and handing leadership over. Pure; `members` decides, one change at a time."""

from knotwalk.consensus.leading import Leading
from knotwalk.consensus.machine_state import NEVER, Peer
from knotwalk.consensus.members import Standing, change
from knotwalk.consensus.orders import FOLLOWER, LEADER, OUTSIDER

SURE = 1.5  # heartbeats: the last one was answered, or the one before with the next still on its way


class Membership(Leading):
    """How members come and go."""

    def _change_members(self, now: float) -> None:
        if self.role != LEADER or self.commit < self._first or self.configs[-1][0] > self.commit or self._handing():
            return
        voters: dict[str, Standing] = {id: self._peers[id] for id, _ in self._others()}
        learners: list[Standing] = [one for one in self._peers.values() if one.kind == "learner"]
        members = change(
            self.me,
            self.members,
            voters,
            learners,
            self.commit,
            now,
            self.pace.election_low,
            self.pace.forget,
            self.pace.target,
            SURE * self.pace.heartbeat,
            self._stored >= self.commit,
        )
        if members is not None:
            self._append("members", {"members": members})
            self._sync_peers(now)
            self._spread(now)

    def _on_join(self, now: float, message: dict) -> None:
        id, address = message["id"], message["address"]
        if self.role != LEADER:
            self._send(message["at"], "redirect", message["from"], leader=self._known())
            return
        peer = self._peers.get(id)
        if id in self.members or peer is not None and peer.kind == "learner":
            return
        for other in list(self._peers.values()):
            if other.kind == "learner" and other.address == address:
                del self._peers[other.id]  # wiped again before it was taken in
        self._peers[id] = Peer(id, address, 0, NEVER, now, kind="learner", next=self.log.last + 1)
        self._feed(now, self._peers[id], True)

    def _on_redirect(self, now: float, message: dict) -> None:
        leader = message["leader"]
        if leader is not None and leader != self._hint and self._leader is None:
            self._hint = leader
            if self.role == OUTSIDER:
                self._send(leader, "join", "", id=self.me, address=self.address)

    def _on_leaving(self, now: float, message: dict) -> None:
        if self.role == LEADER and message["from"] in self._peers and message["from"] in self.members:
            peer = self._peers[message["from"]]
            peer.leaving, peer.left_at = True, now
            self._change_members(now)
        elif self.role == LEADER and self.configs[-1][0] <= self.commit:
            self._send(message["at"], "gone", message["from"])

    def _on_gone(self, now: float, message: dict) -> None:
        if self.leaving and message["term"] >= self.term and self.role == FOLLOWER:
            self._become(now, OUTSIDER, message["term"], self._leader_id, self._leader)

    def _ask(self, now: float) -> None:
        """What an outsider, one cut off for long (it may have been left out), or one that leaves asks for."""
        self._ask_at = now + self.pace.join
        if self.leaving:
            if self.role == FOLLOWER and self._leader is not None and self._leader_id is not None:
                self._send(self._leader, "leaving", self._leader_id)
            return
        lonely = self._leader_id is None and now - self._lonely_since > 2 * self.pace.election_high
        if self.role == OUTSIDER or self.role != LEADER and lonely:
            asked = {*self.contacts, *self.members.values()} | ({self._hint} if self._hint else set())
            for address in sorted(asked - {self.address}):
                self._send(address, "join", "", id=self.me, address=self.address)
            self._hint = None

    @property
    def may_end(self) -> bool:
        """For one that leaves: whether its end takes nothing from the others that they still count on. Left out, which
        it learns once that is committed, or one of no more than are wanted, who keeps its place and may come back."""
        return self.role == OUTSIDER or len(self.members) <= self.pace.target

    def _handing(self) -> bool:
        return self.leaving and len(self.members) > 1

    def _hand_over(self, now: float) -> None:
        """Tell the best follower to stand at once, as soon as it has all."""
        if self.role != LEADER or not self._handing() or self.commit < self.log.last:
            return
        best = [
            one
            for one in self._peers.values()
            if one.kind == "voter"
            and not one.leaving
            and one.match == self.log.last
            and one.answered >= now - self.pace.election_low
        ]
        if best and now - self._handed_at > self.pace.heartbeat:
            target = max(best, key=lambda one: (one.id != self._handed, one.answered))
            self._handed, self._handed_at, self._void = target.id, now, True
            self._send(target.address, "timeout_now", target.id)

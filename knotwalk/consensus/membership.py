"""Membership changes and leadership transfer. Pure; `membership_rules` decides, one change at a time."""

from knotwalk.consensus.leading import Leading
from knotwalk.consensus.machine_state import NEVER, Peer
from knotwalk.consensus.membership_rules import PeerProgress, next_members
from knotwalk.consensus.raft_types import FOLLOWER, LEADER, OUTSIDER

# In heartbeat intervals: a member has answered the last heartbeat, or the one before it while the last is still on its
# way.
RECENT_HEARTBEATS = 1.5


class Membership(Leading):
    """Adding and removing members."""

    def _change_members(self, now: float) -> None:
        if (
            self.role != LEADER
            or self.commit < self._term_first_index
            or self.configs[-1][0] > self.commit
            or self._is_handing_over()
        ):
            return
        voters: dict[str, PeerProgress] = {id: self._peers[id] for id, _ in self._other_members()}
        learners: list[PeerProgress] = [peer for peer in self._peers.values() if peer.kind == "learner"]
        members = next_members(
            self.me,
            self.members,
            voters,
            learners,
            self.commit,
            now,
            self.settings.election_timeout_min,
            self.settings.removal_timeout,
            self.settings.target_members,
            RECENT_HEARTBEATS * self.settings.heartbeat_interval,
            self._stored_index >= self.commit,
        )
        if members is not None:
            self._append_new("members", {"members": members})
            self._sync_peers(now)
            self._replicate(now)

    def _on_join(self, now: float, message: dict) -> None:
        id, address = message["id"], message["address"]
        if self.role != LEADER:
            self._send(message["at"], "redirect", message["from"], leader=self._known_leader())
            return
        peer = self._peers.get(id)
        if id in self.members or peer is not None and peer.kind == "learner":
            return
        for other in list(self._peers.values()):
            if other.kind == "learner" and other.address == address:
                del self._peers[other.id]  # its disk was wiped again before it was added
        self._peers[id] = Peer(id, address, 0, NEVER, now, kind="learner", next_index=self.log.last + 1)
        self._replicate_to(now, self._peers[id], True)

    def _on_redirect(self, now: float, message: dict) -> None:
        leader = message["leader"]
        if leader is not None and leader != self._leader_hint and self._leader_address is None:
            self._leader_hint = leader
            if self.role == OUTSIDER:
                self._send(leader, "join", "", id=self.me, address=self.address)

    def _on_leaving(self, now: float, message: dict) -> None:
        if self.role == LEADER and message["from"] in self._peers and message["from"] in self.members:
            peer = self._peers[message["from"]]
            peer.leaving, peer.leave_requested_at = True, now
            self._change_members(now)
        elif self.role == LEADER and self.configs[-1][0] <= self.commit:
            self._send(message["at"], "gone", message["from"])

    def _on_gone(self, now: float, message: dict) -> None:
        if self.leaving and message["term"] >= self.term and self.role == FOLLOWER:
            self._become(now, OUTSIDER, message["term"], self._leader_id, self._leader_address)

    def _send_requests(self, now: float) -> None:
        """Send the periodic requests: to join, of an outsider or of a member without a leader for long (it may have
        been removed), or to be removed, of one that is leaving.
        """
        self._request_at = now + self.settings.join_interval
        if self.leaving:
            if self.role == FOLLOWER and self._leader_address is not None and self._leader_id is not None:
                self._send(self._leader_address, "leaving", self._leader_id)
            return
        is_leaderless = (
            self._leader_id is None and now - self._leaderless_since > 2 * self.settings.election_timeout_max
        )
        if self.role == OUTSIDER or self.role != LEADER and is_leaderless:
            addresses = {*self.contacts, *self.members.values()} | ({self._leader_hint} if self._leader_hint else set())
            for address in sorted(addresses - {self.address}):
                self._send(address, "join", "", id=self.me, address=self.address)
            self._leader_hint = None

    @property
    def can_exit(self) -> bool:
        """Whether a leaving machine can exit without taking anything that the others still count on: it was removed,
        which it learns once that is committed, or there are no more members than the target, so that it keeps its
        place and may come back.
        """
        return self.role == OUTSIDER or len(self.members) <= self.settings.target_members

    def _is_handing_over(self) -> bool:
        return self.leaving and len(self.members) > 1

    def _hand_over_leadership(self, now: float) -> None:
        """Ask the most up-to-date follower to start an election at once, as soon as one has the whole log."""
        if self.role != LEADER or not self._is_handing_over() or self.commit < self.log.last:
            return
        candidates = [
            peer
            for peer in self._peers.values()
            if peer.kind == "voter"
            and not peer.leaving
            and peer.match_index == self.log.last
            and peer.answered_at >= now - self.settings.election_timeout_min
        ]
        if candidates and now - self._handed_over_at > self.settings.heartbeat_interval:
            target = max(candidates, key=lambda peer: (peer.id != self._hand_over_target, peer.answered_at))
            self._hand_over_target, self._handed_over_at, self._has_handed_over = target.id, now, True
            self._send(target.address, "timeout_now", target.id)

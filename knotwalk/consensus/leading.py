"""Leading: heartbeats, replication, commits and linearizable reads. Pure."""

from knotwalk.consensus.machine_state import NEVER, MachineState, Peer
from knotwalk.consensus.members import reached
from knotwalk.consensus.orders import FOLLOWER, LEADER, Answer

PIPE = 16  # messages under way to one follower: what a round trip of 3 ms holds; more wait and batch up
AGAIN = 1.0  # seconds before a snapshot is sent again: several MB at 100 Mbit/s
STAYS = 3  # requests to be removed: who answers for so long without one has come back


class Leading(MachineState):
    """A leader's part of replication."""

    def _sync_peers(self, now: float) -> None:
        """Peers as the members say; who was left out is told so, for a while."""
        for id, address in self._others():
            if id not in self._peers:
                self._peers[id] = Peer(id, address, 0, NEVER, now, next=self.log.last + 1)
            self._peers[id].kind = "voter"
        for peer in self._peers.values():
            if peer.kind == "voter" and peer.id not in self.members:
                peer.kind, peer.until = "departing", now + 2.0

    def _beat(self, now: float) -> None:
        """A heartbeat to all; what was not answered since the last is sent again."""
        self._beat_at = now + self.pace.heartbeat
        patience = 10 * self.pace.join
        for peer in list(self._peers.values()):
            silent = now - max(peer.answered, peer.since) > patience
            if peer.kind == "learner" and silent or peer.kind == "departing" and now > peer.until:
                del self._peers[peer.id]
                continue
            if peer.under_way and not peer.moved:
                peer.next, peer.probing = max(peer.have, peer.match) + 1, True
                peer.under_way.clear()
            peer.moved = False
            self._feed(now, peer, True)

    def _spread(self, now: float, force: bool = False) -> None:
        for peer in self._peers.values():
            self._feed(now, peer, force)
        self._count(now)

    def _feed(self, now: float, peer: Peer, force: bool = False) -> None:
        """Send a peer what it lacks, as far as the pipe holds; with `force` at least a heartbeat."""
        index, term, members, state = self.snapshot
        until = self.commit if peer.kind == "departing" else self.log.last
        if peer.next <= self.log.base:
            if now - peer.snapshot_at > AGAIN:
                peer.snapshot_at, peer.snapshot_index = now, index
                self._send(
                    peer.address,
                    "snapshot",
                    peer.id,
                    index=index,
                    index_term=term,
                    members=members,
                    state=state,
                    stamp=now,
                    round=self._round,
                )
            elif force:
                self._send(
                    peer.address,
                    "append",
                    peer.id,
                    prev=self.log.base,
                    prev_term=self.log.base_term,
                    entries=[],
                    commit=self.commit,
                    stamp=now,
                    round=self._round,
                )
            return
        while force or peer.next <= until and not (peer.probing and peer.under_way) and len(peer.under_way) < PIPE:
            full = len(peer.under_way) >= PIPE or peer.probing and peer.under_way
            entries = [] if full or peer.next > until else self.log.batch(peer.next, until)
            peer.probe = peer.next - 1
            self._send(
                peer.address,
                "append",
                peer.id,
                prev=peer.probe,
                prev_term=self.log.term_at(peer.probe),
                entries=[[one.index, one.term, one.kind, one.body] for one in entries],
                commit=self.commit,
                stamp=now,
                round=self._round,
            )
            if entries:
                peer.under_way.append(entries[-1].index)
                if not peer.probing:
                    peer.next = entries[-1].index + 1
            force = False

    def _on_appended(self, now: float, message: dict) -> None:
        if message["term"] > self.term:
            self._become(now, FOLLOWER, message["term"])
            return
        peer = self._peers.get(message["from"])
        if self.role != LEADER or message["term"] != self.term or peer is None or "stamp" not in message:
            return
        peer.answered = max(peer.answered, message["stamp"])
        peer.leaving &= peer.answered < peer.left_at + STAYS * self.pace.join  # else it is back
        peer.round = max(peer.round, message["round"])
        if message["ok"]:
            peer.moved = True
            peer.match = max(peer.match, message["match"])
            peer.have = max(message["have"], peer.match)
            while peer.under_way and peer.under_way[0] <= peer.have:
                peer.under_way.popleft()
            if peer.probing and peer.have >= peer.probe:
                peer.probing = False
                peer.next = peer.have + 1
                peer.under_way.clear()
            peer.next = max(peer.next, peer.match + 1)
            if peer.next > self.log.base:
                peer.snapshot_at = NEVER
            self._count(now)
        elif peer.next > self.log.base and message["prev"] == peer.probe and message["prev"] > peer.match:
            peer.next = max(peer.match + 1, min(self._meeting(message), message["prev"]))
            peer.have, peer.probing = peer.match, True
            peer.under_way.clear()
        self._feed(now, peer)
        self._serve_reads(now)
        self._change_members(now)
        self._hand_over(now)

    def _meeting(self, message: dict) -> int:
        """The entry to try next after a refusal: past the last of the conflicting term here, or before it there."""
        term, first = message["conflict_term"], message["conflict"]
        if term is not None:
            for index in range(min(message["prev"], self.log.last), max(self.log.base, first - 1), -1):
                if self.log.term_at(index) == term:
                    return index + 1
        return first

    def _count(self, now: float) -> None:
        """Commit what a majority has kept, if of this term: an older entry is committed by what follows it."""
        index = int(reached([self._stored if id == self.me else self._peers[id].match for id in self.members]))
        if index > self.commit and self.log.term_at(index) == self.term:
            self._advance(index)
            for peer in self._peers.values():
                self._feed(now, peer, True)
            self._serve_reads(now)

    def _serve_reads(self, now: float) -> None:
        """Answer the reads that are safe; begin one round of heartbeats for all that wait."""
        if self.role != LEADER:
            return
        while True:
            done = reached([self._round if id == self.me else self._peers[id].round for id in self.members])
            for ticket, index, number in self._reads:
                if number <= done and index <= self.applied:
                    self.orders.append(Answer(ticket, "readable", self.applied))
            self._reads = [one for one in self._reads if one[2] > done or one[1] > self.applied]
            if self._reads or not self._queue or self.commit < self._first:
                return
            self._round += 1
            self._reads = [(ticket, self.commit, self._round) for ticket in self._queue]
            self._queue = []
            for peer in self._peers.values():
                self._feed(now, peer, True)

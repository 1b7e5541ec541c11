"""Leading: heartbeats, replication, commits and linearizable reads. Pure."""

from dataclasses import asdict

from knotwalk.consensus.log import BATCH
from knotwalk.consensus.machine_state import NEVER, MachineState, Peer
from knotwalk.consensus.members import reached
from knotwalk.consensus.orders import FOLLOWER, LEADER, Answer, Entry
from knotwalk.consensus.snapshot_transfer import QUICK, SLOW, Blob, Outgoing, encode

PIPE = 16  # messages under way to one follower: what a round trip of 3 ms holds; more wait and batch up
LEAST_BATCH = 16 * 1024  # bytes of entries in one message where answers are slow: 65 ms on 2 Mbit/s, half a heartbeat
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
                self._shrink(peer)
            peer.moved = False
            self._feed(now, peer, True)

    def _spread(self, now: float, force: bool = False) -> None:
        for peer in self._peers.values():
            self._feed(now, peer, force)
        self._count(now)

    def _feed(self, now: float, peer: Peer, force: bool = False) -> None:
        """Send a peer what it lacks, as far as the pipe holds; with `force` at least a heartbeat."""
        if peer.next <= self.log.base:
            if force:
                self._send_entries(now, peer, self.log.base, [])
            self._feed_part(now, peer, "snapshot")
            return
        until = self.commit if peer.kind == "departing" else self.log.last
        while force or self._may_send(peer, until):
            entries = self.log.batch(peer.next, until, peer.batch) if self._may_send(peer, until) else []
            peer.probe = peer.next - 1
            self._send_entries(now, peer, peer.probe, entries)
            if entries:
                peer.under_way.append(entries[-1].index)
                if not peer.probing:
                    peer.next = entries[-1].index + 1
            force = False
        if peer.next <= until and self._long(peer) and not peer.probing and not peer.under_way:
            self._feed_part(now, peer, "entries")

    def _long(self, peer: Peer) -> bool:
        """Whether the next entry is too long for one message to this peer."""
        return self.log.size(peer.next) > peer.batch

    def _may_send(self, peer: Peer, until: int) -> bool:
        """Whether there are entries for a message, and room for it on the way."""
        if peer.next > until or self._long(peer):
            return False
        pipe = 1 if peer.probing or peer.batch < BATCH else PIPE
        return len(peer.under_way) < pipe

    def _send_entries(self, now: float, peer: Peer, prev: int, entries: list[Entry]) -> None:
        self._send(
            peer.address,
            "append",
            peer.id,
            prev=prev,
            prev_term=self.log.term_at(prev),
            entries=[[one.index, one.term, one.kind, one.body] for one in entries],
            commit=self.commit,
            stamp=now,
            round=self._round,
        )

    # ---- in parts

    def _feed_part(self, now: float, peer: Peer, kind: str) -> None:
        """Send the next part of the snapshot, or of the next entry, unless one is under way."""
        transfer = peer.transfer
        if transfer is None or not self._useful(peer, transfer.blob, kind):
            transfer = peer.transfer = Outgoing(self._blob(peer, kind))
        part = transfer.next(now)
        if part is not None:
            self._send(peer.address, "part", peer.id, **asdict(part), commit=self.commit, stamp=now, round=self._round)

    def _useful(self, peer: Peer, blob: Blob, kind: str) -> bool:
        """Whether what is on its way still helps: the log goes on from a snapshot that was replaced meanwhile, too."""
        return blob.kind == kind and (blob.index >= self.log.base if kind == "snapshot" else blob.first == peer.next)

    def _blob(self, peer: Peer, kind: str) -> Blob:
        """What a peer lacks, encoded once for all peers."""
        index = self.snapshot[0] if kind == "snapshot" else peer.next
        for blob in self._blobs:
            if (blob.kind, blob.index) == (kind, index):
                return blob
        made = self._encoded_snapshot() if kind == "snapshot" else self._encoded_entry(index)
        self._blobs = [*self._blobs[-1:], made]
        return made

    def _encoded_snapshot(self) -> Blob:
        index, term, members, state = self.snapshot
        return encode("snapshot", 0, index, {"index": index, "index_term": term, "members": members, "state": state})

    def _encoded_entry(self, index: int) -> Blob:
        entry = self.log.at(index)
        line = [entry.index, entry.term, entry.kind, entry.body]
        content = {"prev": index - 1, "prev_term": self.log.term_at(index - 1), "entries": [line]}
        return encode("entries", index, index, content)

    def _on_taken(self, now: float, message: dict) -> None:
        """A peer took a part: send the next."""
        peer = self._peers.get(message["from"])
        if self.role != LEADER or message["term"] != self.term or peer is None or peer.transfer is None:
            return
        if peer.transfer.taken(now, message["digest"], message["offset"], message["wanted"]):
            self._feed(now, peer)

    def _paced(self, now: float, peer: Peer, stamp: float) -> None:
        """Size the messages of entries by how soon one was answered."""
        if now - stamp < QUICK:
            peer.batch = min(BATCH, 2 * peer.batch)
        elif now - stamp > SLOW:
            self._shrink(peer)

    def _shrink(self, peer: Peer) -> None:
        peer.batch = max(LEAST_BATCH, peer.batch // 2)

    # ---- answers

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
            if peer.under_way and peer.under_way[0] <= peer.have:
                self._paced(now, peer, message["stamp"])
            while peer.under_way and peer.under_way[0] <= peer.have:
                peer.under_way.popleft()
            if peer.probing and peer.have >= peer.probe:
                peer.probing = False
                peer.next = peer.have + 1
                peer.under_way.clear()
            peer.next = max(peer.next, peer.match + 1)
            if peer.transfer is not None and peer.transfer.blob.index <= peer.have:
                peer.next, peer.transfer = max(peer.next, peer.have + 1), None
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
                self._feed(now, peer, self.pace.tells_commits)
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

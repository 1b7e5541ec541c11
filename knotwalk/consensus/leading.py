"""Leading: heartbeats, replication, commits and linearizable reads. Pure."""

from dataclasses import asdict

from knotwalk.consensus.log import MAX_BATCH_BYTES
from knotwalk.consensus.machine_state import NEVER, MachineState, Peer
from knotwalk.consensus.membership_rules import majority_value
from knotwalk.consensus.raft_types import FOLLOWER, LEADER, Answer, Entry
from knotwalk.consensus.snapshot_transfer import FAST_ANSWER_S, SLOW_ANSWER_S, Blob, OutgoingTransfer, encode

# entry messages to one follower without an answer; fits a round trip of 3 ms, further entries wait and are batched
MAX_IN_FLIGHT = 16
MIN_BATCH_BYTES = (
    16 * 1024
)  # entries in one message where answers are slow: 65 ms at 2 Mbit/s, half a heartbeat interval
# a leaving member that answers for this many request intervals without asking to be removed has come back
LEAVE_EXPIRY_REQUESTS = 3


class Leading(MachineState):
    """The replication of a leader."""

    def _sync_peers(self, now: float) -> None:
        """Make the peers match the members entry; a removed member stays as "departing" for a while, to learn of its
        removal.
        """
        for id, address in self._other_members():
            if id not in self._peers:
                self._peers[id] = Peer(id, address, 0, NEVER, now, next_index=self.log.last + 1)
            self._peers[id].kind = "voter"
        for peer in self._peers.values():
            if peer.kind == "voter" and peer.id not in self.members:
                peer.kind, peer.remove_at = "departing", now + 2.0

    def _send_heartbeats(self, now: float) -> None:
        """Send a heartbeat to all peers; entries that were not answered since the last one are sent again."""
        self._heartbeat_at = now + self.settings.heartbeat_interval
        learner_timeout = 10 * self.settings.join_interval
        for peer in list(self._peers.values()):
            is_silent = now - max(peer.answered_at, peer.first_heard_at) > learner_timeout
            if peer.kind == "learner" and is_silent or peer.kind == "departing" and now > peer.remove_at:
                del self._peers[peer.id]
                continue
            if peer.in_flight and not peer.has_progressed:
                peer.next_index, peer.is_probing = max(peer.received_index, peer.match_index) + 1, True
                peer.in_flight.clear()
                self._shrink_batch(peer)
            peer.has_progressed = False
            self._replicate_to(now, peer, True)

    def _replicate(self, now: float, force: bool = False) -> None:
        for peer in self._peers.values():
            self._replicate_to(now, peer, force)
        self._commit_majority(now)

    def _replicate_to(self, now: float, peer: Peer, force: bool = False) -> None:
        """Send a peer the entries that it lacks, as far as the limit of unanswered messages allows; with `force` at
        least a heartbeat.
        """
        if peer.next_index <= self.log.base:
            if force:
                self._send_entries(now, peer, self.log.base, [])
            self._send_part(now, peer, "snapshot")
            return
        last_index = self.commit if peer.kind == "departing" else self.log.last
        while force or self._can_send(peer, last_index):
            entries = (
                self.log.batch(peer.next_index, last_index, peer.batch_bytes)
                if self._can_send(peer, last_index)
                else []
            )
            peer.probe_index = peer.next_index - 1
            self._send_entries(now, peer, peer.probe_index, entries)
            if entries:
                peer.in_flight.append(entries[-1].index)
                if not peer.is_probing:
                    peer.next_index = entries[-1].index + 1
            force = False
        if peer.next_index <= last_index and self._is_oversized(peer) and not peer.is_probing and not peer.in_flight:
            self._send_part(now, peer, "entries")

    def _is_oversized(self, peer: Peer) -> bool:
        """Whether the next entry is too long for one message to this peer."""
        return self.log.size(peer.next_index) > peer.batch_bytes

    def _can_send(self, peer: Peer, last_index: int) -> bool:
        """Whether there are entries to send in one message, and fewer unanswered messages than allowed."""
        if peer.next_index > last_index or self._is_oversized(peer):
            return False
        max_in_flight = 1 if peer.is_probing or peer.batch_bytes < MAX_BATCH_BYTES else MAX_IN_FLIGHT
        return len(peer.in_flight) < max_in_flight

    def _send_entries(self, now: float, peer: Peer, prev: int, entries: list[Entry]) -> None:
        self._send(
            peer.address,
            "append",
            peer.id,
            prev=prev,
            prev_term=self.log.term_at(prev),
            entries=[[entry.index, entry.term, entry.kind, entry.body] for entry in entries],
            commit=self.commit,
            stamp=now,
            round=self._heartbeat_round,
        )

    # ---- transfers in parts

    def _send_part(self, now: float, peer: Peer, kind: str) -> None:
        """Send the next part of the snapshot or of the next entry, unless a part is still unanswered."""
        transfer = peer.transfer
        if transfer is None or not self._is_transfer_useful(peer, transfer.blob, kind):
            transfer = peer.transfer = OutgoingTransfer(self._blob_for(peer, kind))
        part = transfer.next_part(now)
        if part is not None:
            self._send(
                peer.address,
                "part",
                peer.id,
                **asdict(part),
                commit=self.commit,
                stamp=now,
                round=self._heartbeat_round,
            )

    def _is_transfer_useful(self, peer: Peer, blob: Blob, kind: str) -> bool:
        """Whether a transfer still helps the peer. A snapshot that was replaced meanwhile does, as long as the log
        continues from it.
        """
        return blob.kind == kind and (
            blob.index >= self.log.base if kind == "snapshot" else blob.first == peer.next_index
        )

    def _blob_for(self, peer: Peer, kind: str) -> Blob:
        """The encoded snapshot or entry that a peer lacks, encoded once for all peers."""
        index = self.snapshot[0] if kind == "snapshot" else peer.next_index
        for blob in self._encoded_blobs:
            if (blob.kind, blob.index) == (kind, index):
                return blob
        encoded = self._encode_snapshot() if kind == "snapshot" else self._encode_entry(index)
        self._encoded_blobs = [*self._encoded_blobs[-1:], encoded]
        return encoded

    def _encode_snapshot(self) -> Blob:
        index, term, members, state = self.snapshot
        return encode("snapshot", 0, index, {"index": index, "index_term": term, "members": members, "state": state})

    def _encode_entry(self, index: int) -> Blob:
        entry = self.log.entry_at(index)
        line = [entry.index, entry.term, entry.kind, entry.body]
        content = {"prev": index - 1, "prev_term": self.log.term_at(index - 1), "entries": [line]}
        return encode("entries", index, index, content)

    def _on_taken(self, now: float, message: dict) -> None:
        """Send the next part after a peer has taken one."""
        peer = self._peers.get(message["from"])
        if self.role != LEADER or message["term"] != self.term or peer is None or peer.transfer is None:
            return
        if peer.transfer.on_part_taken(now, message["digest"], message["offset"], message["wanted"]):
            self._replicate_to(now, peer)

    def _adjust_batch(self, now: float, peer: Peer, stamp: float) -> None:
        """Adjust the size of entry messages to how fast one was answered."""
        if now - stamp < FAST_ANSWER_S:
            peer.batch_bytes = min(MAX_BATCH_BYTES, 2 * peer.batch_bytes)
        elif now - stamp > SLOW_ANSWER_S:
            self._shrink_batch(peer)

    def _shrink_batch(self, peer: Peer) -> None:
        peer.batch_bytes = max(MIN_BATCH_BYTES, peer.batch_bytes // 2)

    # ---- answers

    def _on_appended(self, now: float, message: dict) -> None:
        if message["term"] > self.term:
            self._become(now, FOLLOWER, message["term"])
            return
        peer = self._peers.get(message["from"])
        if self.role != LEADER or message["term"] != self.term or peer is None or "stamp" not in message:
            return
        peer.answered_at = max(peer.answered_at, message["stamp"])
        peer.leaving &= (
            peer.answered_at < peer.leave_requested_at + LEAVE_EXPIRY_REQUESTS * self.settings.join_interval
        )  # without further requests it has come back
        peer.answered_round = max(peer.answered_round, message["round"])
        if message["ok"]:
            peer.has_progressed = True
            peer.match_index = max(peer.match_index, message["match"])
            peer.received_index = max(message["have"], peer.match_index)
            if peer.in_flight and peer.in_flight[0] <= peer.received_index:
                self._adjust_batch(now, peer, message["stamp"])
            while peer.in_flight and peer.in_flight[0] <= peer.received_index:
                peer.in_flight.popleft()
            if peer.is_probing and peer.received_index >= peer.probe_index:
                peer.is_probing = False
                peer.next_index = peer.received_index + 1
                peer.in_flight.clear()
            peer.next_index = max(peer.next_index, peer.match_index + 1)
            if peer.transfer is not None and peer.transfer.blob.index <= peer.received_index:
                peer.next_index, peer.transfer = max(peer.next_index, peer.received_index + 1), None
            self._commit_majority(now)
        elif (
            peer.next_index > self.log.base
            and message["prev"] == peer.probe_index
            and message["prev"] > peer.match_index
        ):
            peer.next_index = max(peer.match_index + 1, min(self._next_probe_index(message), message["prev"]))
            peer.received_index, peer.is_probing = peer.match_index, True
            peer.in_flight.clear()
        self._replicate_to(now, peer)
        self._serve_reads(now)
        self._change_members(now)
        self._hand_over_leadership(now)

    def _next_probe_index(self, message: dict) -> int:
        """The entry to try next after a rejection: the one after our last of the conflicting term, or else the first
        that conflicts.
        """
        term, first = message["conflict_term"], message["conflict"]
        if term is not None:
            for index in range(min(message["prev"], self.log.last), max(self.log.base, first - 1), -1):
                if self.log.term_at(index) == term:
                    return index + 1
        return first

    def _commit_majority(self, now: float) -> None:
        """Commit what a majority has stored if it is of this term; older entries are committed by an entry that follows
        them.
        """
        index = int(
            majority_value(
                [self._stored_index if id == self.me else self._peers[id].match_index for id in self.members]
            )
        )
        if index > self.commit and self.log.term_at(index) == self.term:
            self._commit_through(index)
            for peer in self._peers.values():
                self._replicate_to(now, peer, self.settings.sends_commits_at_once)
            self._serve_reads(now)

    def _serve_reads(self, now: float) -> None:
        """Answer the reads that are safe, and start one round of heartbeats for all that are queued."""
        if self.role != LEADER:
            return
        while True:
            confirmed_round = majority_value(
                [self._heartbeat_round if id == self.me else self._peers[id].answered_round for id in self.members]
            )
            for ticket, index, required_round in self._reads:
                if required_round <= confirmed_round and index <= self.applied:
                    self.actions.append(Answer(ticket, "readable", self.applied))
            self._reads = [read for read in self._reads if read[2] > confirmed_round or read[1] > self.applied]
            if self._reads or not self._queued_reads or self.commit < self._term_first_index:
                return
            self._heartbeat_round += 1
            self._reads = [(ticket, self.commit, self._heartbeat_round) for ticket in self._queued_reads]
            self._queued_reads = []
            for peer in self._peers.values():
                self._replicate_to(now, peer, True)

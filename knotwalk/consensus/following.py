"""Following a leader: accepting entries and snapshots, and acknowledging them once they are stored. Pure."""

from dataclasses import fields

from knotwalk.consensus.log import Log
from knotwalk.consensus.machine_state import MachineState
from knotwalk.consensus.raft_types import CANDIDATE, FOLLOWER, LEADER, OUTSIDER, Entry, Restore
from knotwalk.consensus.snapshot_transfer import InvalidTransferError, Part


class Following(MachineState):
    """The replication of a follower or an outsider."""

    def _accept_leader(self, now: float, message: dict) -> bool:
        """Whether a message comes from the leader of this term; if so, record that the leader was heard."""
        if message["term"] < self.term or self.role == LEADER and message["term"] == self.term:
            if message["term"] < self.term:
                self._send(message["at"], "appended", message["from"], ok=False, prev=-1)
            return False
        if message["term"] > self.term or self._leader_id != message["from"] or self.role == CANDIDATE:
            self._become(now, FOLLOWER, message["term"], message["from"], message["at"])
        self._leader_heard_at = self._sticky_since = now
        self._election_rounds = 0
        self._election_deadline = now + self._election_timeout()
        if self._newest_stamp is None or message["stamp"] > self._newest_stamp:
            self._newest_stamp = message["stamp"]
        self._newest_round = max(self._newest_round, message["round"])
        return True

    def _acknowledge(self) -> None:
        """Acknowledge up to which index the log is the leader's: received, and stored."""
        assert self._leader_address is not None and self._leader_id is not None
        self._owes_answer = self._saved_term < self.term
        if not self._owes_answer and not self._store_failed:
            self._send(
                self._leader_address,
                "appended",
                self._leader_id,
                ok=True,
                match=self._match_index(),
                have=self._received_index,
                stamp=self._newest_stamp,
                round=self._newest_round,
            )

    def _match_index(self) -> int:
        return min(self._received_index, self._stored_index)

    def _on_append(self, now: float, message: dict) -> None:
        if not self._accept_leader(now, message):
            return
        prev = message["prev"]
        if prev > self.commit and self.log.term_at(prev) != message["prev_term"]:
            if not self._store_failed:
                self._reject(message)
            return
        self._append_entries([Entry(*row) for row in message["entries"]])
        self._received_index = max(self._received_index, prev + len(message["entries"]))
        self._commit_through(min(message["commit"], self._received_index))
        self._update_role(now)
        self._acknowledge()

    def _reject(self, message: dict) -> None:
        prev = message["prev"]
        term = self.log.term_at(prev)
        first = min(prev, self.log.last + 1)
        if term is not None:
            while first - 1 > self.commit and self.log.term_at(first - 1) == term:
                first -= 1
        self._send(
            message["at"],
            "appended",
            message["from"],
            ok=False,
            prev=prev,
            conflict_term=term,
            conflict=first,
            stamp=message["stamp"],
            round=message["round"],
        )

    def _append_entries(self, entries: list[Entry]) -> None:
        for entry in entries:
            if entry.index <= self.commit or self.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self.log.last:
                self._truncate(entry.index)
            self._append_entry(entry)

    def _update_role(self, now: float) -> None:
        """Become follower or outsider according to the newest members entry."""
        if self.role in (FOLLOWER, OUTSIDER) and (self.role == FOLLOWER) != (self.me in self.members):
            self._become(now, FOLLOWER, self.term, self._leader_id, self._leader_address)
            self._request_at = now

    def _on_part(self, now: float, message: dict) -> None:
        """Take a part of a snapshot or of a long entry, and handle the complete content once its last part is here."""
        if not self._accept_leader(now, message):
            return
        if message["index"] <= self._received_index:
            self._acknowledge()
            return
        part = Part(**{field.name: message[field.name] for field in fields(Part)})
        if not self._incoming.add_part(part, (message["term"], message["stamp"])):
            return
        try:
            content = self._incoming.take_content(part)
        except InvalidTransferError:
            content = None
        if content is None:
            self._request_part(message)
        elif part.kind == "snapshot":
            self._on_snapshot(now, {**message, **content})
        else:
            self._on_append(now, {**message, **content})

    def _request_part(self, message: dict) -> None:
        """Report how many bytes of the content have arrived, so that the leader continues there."""
        self._send(
            message["at"],
            "taken",
            message["from"],
            digest=message["digest"],
            offset=message["offset"],
            wanted=self._incoming.received_bytes,
        )

    def _on_snapshot(self, now: float, message: dict) -> None:
        if not self._accept_leader(now, message):
            return
        index, term = message["index"], message["index_term"]
        if index > self.commit:
            members = dict(message["members"])
            if self.log.term_at(index) == term:
                self.log.drop_through(index)
                self.configs = [(index, members)] + [config for config in self.configs if config[0] > index]
            else:
                self._truncate(self.log.base + 1)
                self.log = Log(index, term, [])
                self.configs = [(index, members)]
                self._dirty_from = index + 1
            self.snapshot = (index, term, members, message["state"])
            self._dirty = self._new_snapshot = True
            self.commit = self.applied = index
            self.actions.append(Restore(message["state"], index))
        self._received_index = max(self._received_index, self.commit)
        self._update_role(now)
        self._acknowledge()

"""Following a leader: entries and snapshots taken, and acknowledged once kept. Pure."""

from dataclasses import fields

from knotwalk.consensus.log import Log
from knotwalk.consensus.machine_state import MachineState
from knotwalk.consensus.orders import CANDIDATE, FOLLOWER, LEADER, OUTSIDER, Entry, Restore
from knotwalk.consensus.snapshot_transfer import Part, Unsound


class Following(MachineState):
    """A follower's or outsider's part of replication."""

    def _heed(self, now: float, message: dict) -> bool:
        """Whether a message comes from the leader of this term; notes that it was heard."""
        if message["term"] < self.term or self.role == LEADER and message["term"] == self.term:
            if message["term"] < self.term:
                self._send(message["at"], "appended", message["from"], ok=False, prev=-1)
            return False
        if message["term"] > self.term or self._leader_id != message["from"] or self.role == CANDIDATE:
            self._become(now, FOLLOWER, message["term"], message["from"], message["at"])
        self._heard = self._sticky_from = now
        self._rounds = 0
        self._deadline = now + self._timeout()
        if self._stamp is None or message["stamp"] > self._stamp:
            self._stamp = message["stamp"]
        self._round_seen = max(self._round_seen, message["round"])
        return True

    def _acknowledge(self) -> None:
        """Say how far the log is the leader's: received, and kept."""
        assert self._leader is not None and self._leader_id is not None
        self._owed = self._kept_term < self.term
        if not self._owed and not self._sick:
            self._send(
                self._leader,
                "appended",
                self._leader_id,
                ok=True,
                match=self._match(),
                have=self._agreed,
                stamp=self._stamp,
                round=self._round_seen,
            )

    def _match(self) -> int:
        return min(self._agreed, self._stored)

    def _on_append(self, now: float, message: dict) -> None:
        if not self._heed(now, message):
            return
        prev = message["prev"]
        if prev > self.commit and self.log.term_at(prev) != message["prev_term"]:
            if not self._sick:
                self._refuse(message)
            return
        self._take([Entry(*one) for one in message["entries"]])
        self._agreed = max(self._agreed, prev + len(message["entries"]))
        self._advance(min(message["commit"], self._agreed))
        self._rest(now)
        self._acknowledge()

    def _refuse(self, message: dict) -> None:
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

    def _take(self, entries: list[Entry]) -> None:
        for entry in entries:
            if entry.index <= self.commit or self.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self.log.last:
                self._cut(entry.index)
            self._write(entry)

    def _rest(self, now: float) -> None:
        """Follower or outsider, as the newest members say."""
        if self.role in (FOLLOWER, OUTSIDER) and (self.role == FOLLOWER) != (self.me in self.members):
            self._become(now, FOLLOWER, self.term, self._leader_id, self._leader)
            self._ask_at = now

    def _on_part(self, now: float, message: dict) -> None:
        """Take a part of a snapshot or of a long entry; once it is whole, what it is a part of."""
        if not self._heed(now, message):
            return
        if message["index"] <= self._agreed:
            self._acknowledge()
            return
        part = Part(**{one.name: message[one.name] for one in fields(Part)})
        if not self._incoming.take(part, (message["term"], message["stamp"])):
            return
        try:
            content = self._incoming.whole(part)
        except Unsound:
            content = None
        if content is None:
            self._want(message)
        elif part.kind == "snapshot":
            self._on_snapshot(now, {**message, **content})
        else:
            self._on_append(now, {**message, **content})

    def _want(self, message: dict) -> None:
        """Say how much is here of what comes in parts."""
        self._send(
            message["at"],
            "taken",
            message["from"],
            digest=message["digest"],
            offset=message["offset"],
            wanted=self._incoming.held,
        )

    def _on_snapshot(self, now: float, message: dict) -> None:
        if not self._heed(now, message):
            return
        index, term = message["index"], message["index_term"]
        if index > self.commit:
            members = dict(message["members"])
            if self.log.term_at(index) == term:
                self.log.behead(index)
                self.configs = [(index, members)] + [one for one in self.configs if one[0] > index]
            else:
                self._cut(self.log.base + 1)
                self.log = Log(index, term, [])
                self.configs = [(index, members)]
                self._dirty_from = index + 1
            self.snapshot = (index, term, members, message["state"])
            self._dirty = self._new_snapshot = True
            self.commit = self.applied = index
            self.orders.append(Restore(message["state"], index))
        self._agreed = max(self._agreed, self.commit)
        self._rest(now)
        self._acknowledge()

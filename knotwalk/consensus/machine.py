"""One core machine's Raft state machine: pre-vote, check-quorum, sticky leaders, ReadIndex and snapshots. Pure.

Sources: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), and Ongaro's thesis for
pre-vote (9.6), leadership transfer (3.10), reads (6.4) and writing to the leader's disk in parallel (10.2.1).

A driver calls the methods with the time of its monotonic clock in seconds, then takes `actions`, clears it, and carries
the actions out in order. It writes one Save at a time, in order, and calls `on_saved` for each. It reports a refused
Save by `on_save_failed` and repeats it unchanged until it is stored. At start the application loads
StoredState.snapshot by itself. Every entry after the snapshot, of any kind, comes as one Apply per incarnation; those
that the disk holds as committed come at once.

Safety rests on two rules. A vote, and a request for votes, waits in `_held_messages` until its Save is stored. An
answer to entries reports both how far they are stored (`match`) and how far they are received (`have`), and leaders
count only `match`.
"""

from typing import Any

from knotwalk.consensus.elections import Elections
from knotwalk.consensus.following import Following
from knotwalk.consensus.membership import Membership
from knotwalk.consensus.raft_types import CANDIDATE, FOLLOWER, LEADER, OUTSIDER, Answer, Send

TRAILING_ENTRIES = 512  # entries kept in memory before a snapshot, so that a peer just behind needs no snapshot


class Machine(Elections, Following, Membership):
    """One core's state machine, in a process that began at `born` (`now` if not given). The driver takes `actions`, and
    sets `contacts`, the addresses that an outsider asks, and `address`, its own.
    """

    def tick(self, now: float) -> None:
        """Do what is due. To be called at `wake_at`; harmless at any other time."""
        self._expire(now)
        if self.role == LEADER:
            if now >= self._heartbeat_at:
                self._send_heartbeats(now)
            self._change_members(now)
            self._hand_over_leadership(now)
        elif now >= self._election_deadline and self._can_stand():
            self._start_prevote(now)
        elif now >= self._election_deadline:
            self._election_deadline = now + self._election_timeout()
        if now >= self._request_at:
            self._send_requests(now)
        self._finish_call(now)

    def receive(self, now: float, message: dict) -> None:
        """Handle a message; those for another id or of an unknown type are dropped.

        A machine that knows no group remembers who sends to a former id at its address: its disk was wiped, and the
        others still count that id.
        """
        self._expire(now)
        handle = getattr(self, "_on_" + str(message.get("type")), None)
        has_left = self.leaving and self.role == OUTSIDER
        if handle is not None and message.get("to") in (self.me, "") and message["from"] != self.me and not has_left:
            handle(now, message)
        elif handle is not None and self.role == OUTSIDER and not self.leaving and self._leader_address is None:
            # The sender calls the former incarnation at this address, so it may know the group: it will be asked to
            # let this machine join.
            self._leader_hint = message["at"]
        self._finish_call(now)

    def propose(self, now: float, command: dict, ticket: Any) -> None:
        """Append a command to the log; answered "committed", "not_leader" or "lost"."""
        self._expire(now)
        if self.role != LEADER or self._is_handing_over():
            self.actions.append(Answer(ticket, "not_leader", None if self.role == LEADER else self._known_leader()))
        else:
            self._tickets[self._append_new("command", command)] = ticket
            self._replicate(now)
        self._finish_call(now)

    def read(self, now: float, ticket: Any) -> None:
        """Request to read everything committed by now. Answered "readable" once that is applied and a majority has
        confirmed this leader by a later heartbeat, or else "not_leader".
        """
        self._expire(now)
        if self.role != LEADER:
            self.actions.append(Answer(ticket, "not_leader", self._known_leader()))
        else:
            self._queued_reads.append(ticket)
            self._serve_reads(now)
        self._finish_call(now)

    def on_saved(self, now: float, number: int) -> None:
        """Every Save up to `number` is durable."""
        pending = self._pending_save
        if pending is None or number < pending.number:
            return
        self._expire(now)
        self._pending_save, self._saved_number, self._store_failed = None, pending.number, False
        self._saved_term = pending.term
        has_advanced = pending.last_index > self._stored_index
        self._stored_index = max(self._stored_index, pending.last_index)
        releasable = [held for held in self._held_messages if held[0] <= self._saved_number]
        self._held_messages = [held for held in self._held_messages if held[0] > self._saved_number]
        self.actions += [Send(address, message) for _, address, message in releasable]
        if self.role == LEADER:
            self._commit_majority(now)
        elif self.role == CANDIDATE and not self._is_prevote and self._saved_term == self.term:
            self._votes.add(self.me)
            self._count_votes(now)
        elif (has_advanced or self._owes_answer) and self._leader_id is not None:
            self._acknowledge()
        self._finish_call(now)

    def on_save_failed(self, now: float) -> None:
        """The store refused a Save, or hangs: do not lead, vote or answer until a Save is stored."""
        self._expire(now)
        self._store_failed = self._dirty = True  # a new Save is needed, as its completion ends the failure
        if self.role in (LEADER, CANDIDATE):
            self._become(now, FOLLOWER, self.term)
        self._finish_call(now)

    def leave(self, now: float) -> None:
        """Hand leadership over, then request removal. Done once `role` is outsider, which happens only while there are
        more members than the target; any other machine stays a member, which may come back with its disk.
        """
        self._expire(now)
        self.leaving, self._request_at = True, now
        if self.role == CANDIDATE:
            self._become(now, FOLLOWER, self.term)
        self._hand_over_leadership(now)
        self._send_requests(now)
        self._finish_call(now)

    def compact(self, index: int, state: dict) -> None:
        """Replace the entries up to `index` by the application's `state` as of that index. Does nothing if the snapshot
        held is as new; ValueError if `index` is not applied.
        """
        if index > self.applied:
            raise ValueError(f"can't compact at index {index}: applied up to {self.applied}")
        if index <= self.snapshot[0]:
            return
        term = self.log.term_at(index)
        assert term is not None
        members = [config for start, config in self.configs if start <= index][-1]
        self.snapshot = (index, term, dict(members), state)
        self.configs = [(index, members)] + [config for config in self.configs if config[0] > index]
        self.log.drop_through(max(self.log.base, index - TRAILING_ENTRIES))
        self._dirty = self._new_snapshot = True
        self._finish_call(self._last_call_at)

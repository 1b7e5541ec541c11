"""One machine of the agreement: Raft with pre-vote, check-quorum, sticky leaders, ReadIndex and snapshots. Pure.

Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), and Ongaro's thesis for
pre-vote (9.6), handing over (3.10), reads (6.4) and writing to the leader's disk in parallel (10.2.1).

A driver calls the methods with the time of its steady clock, in seconds, then takes and clears `orders` and carries
them out in their order. It writes one Save at a time, in order, and tells `kept`; a Save refused is told by `failed`
and written again, unchanged, until it is kept. At start the application loads Saved.snapshot by itself; every entry
after it comes by Apply, all kinds, once a life: at once as far as the disk holds them as committed.

Two rules carry the safety. A vote, and a request for votes, waits in `_held` for its Save; an answer to entries says
how far they are kept (`match`) and received (`have`), and leaders count only `match`.
"""

from typing import Any

from knotwalk.consensus.elections import Elections
from knotwalk.consensus.following import Following
from knotwalk.consensus.membership import Membership
from knotwalk.consensus.orders import CANDIDATE, FOLLOWER, LEADER, OUTSIDER, Answer, Send

TRAIL = 512  # entries kept in memory before a snapshot, so that who is just behind needs none


class Machine(Elections, Following, Membership):
    """One machine, of a process that began at `born` (`now` where that is not told). `orders` are the driver's to take;
    `contacts` are addresses that an outsider asks, and `address` its own, both the driver's to set."""

    def tick(self, now: float) -> None:
        """Do what is due; wanted at `wake`, harmless at any time."""
        self._expire(now)
        if self.role == LEADER:
            if now >= self._beat_at:
                self._beat(now)
            self._change_members(now)
            self._hand_over(now)
        elif now >= self._deadline and self._may_stand():
            self._stand(now)
        elif now >= self._deadline:
            self._deadline = now + self._timeout()
        if now >= self._ask_at:
            self._ask(now)
        self._close(now)

    def receive(self, now: float, message: dict) -> None:
        """Take a message in; those for another id, or of no known type, are dropped.

        Who knows no group notes who calls an id before its own: its disk was emptied, and the others still count it.
        """
        self._expire(now)
        handle = getattr(self, "_on_" + str(message.get("type")), None)
        silent = self.leaving and self.role == OUTSIDER
        if handle is not None and message.get("to") in (self.me, "") and message["from"] != self.me and not silent:
            handle(now, message)
        elif handle is not None and self.role == OUTSIDER and not self.leaving and self._leader is None:
            self._hint = message["at"]  # calls the life before at this address, so it may know the group: asked to join
        self._close(now)

    def propose(self, now: float, command: dict, ticket: Any) -> None:
        """Put a command into the log; answered committed, not_leader or lost."""
        self._expire(now)
        if self.role != LEADER or self._handing():
            self.orders.append(Answer(ticket, "not_leader", None if self.role == LEADER else self._known()))
        else:
            self._tickets[self._append("command", command)] = ticket
            self._spread(now)
        self._close(now)

    def read(self, now: float, ticket: Any) -> None:
        """Ask to read what is committed by now; answered readable, once applied and a majority has confirmed this
        leader by a heartbeat sent later, or not_leader."""
        self._expire(now)
        if self.role != LEADER:
            self.orders.append(Answer(ticket, "not_leader", self._known()))
        else:
            self._queue.append(ticket)
            self._serve_reads(now)
        self._close(now)

    def kept(self, now: float, number: int) -> None:
        """Every Save up to `number` is durable."""
        flight = self._flight
        if flight is None or number < flight.number:
            return
        self._expire(now)
        self._flight, self._done, self._sick = None, flight.number, False
        self._kept_term = flight.term
        rose = flight.last > self._stored
        self._stored = max(self._stored, flight.last)
        ready = [one for one in self._held if one[0] <= self._done]
        self._held = [one for one in self._held if one[0] > self._done]
        self.orders += [Send(address, message) for _, address, message in ready]
        if self.role == LEADER:
            self._count(now)
        elif self.role == CANDIDATE and not self._pre and self._kept_term == self.term:
            self._votes.add(self.me)
            self._tally(now)
        elif (rose or self._owed) and self._leader_id is not None:
            self._acknowledge()
        self._close(now)

    def failed(self, now: float) -> None:
        """The store refused a Save, or hangs: lead, vote and answer no more until something is kept."""
        self._expire(now)
        self._sick = self._dirty = True  # with nothing under way, a write is what will tell
        if self.role in (LEADER, CANDIDATE):
            self._become(now, FOLLOWER, self.term)
        self._close(now)

    def leave(self, now: float) -> None:
        """Hand leadership over, then ask to be removed; done when `role` is outsider, which it becomes only where there
        are more members than wanted. Any other stays a member, that may come back with its disk."""
        self._expire(now)
        self.leaving, self._ask_at = True, now
        if self.role == CANDIDATE:
            self._become(now, FOLLOWER, self.term)
        self._hand_over(now)
        self._ask(now)
        self._close(now)

    def compact(self, index: int, state: dict) -> None:
        """Take the application's `state` as of the applied `index` in place of the entries up to it. Older than the
        snapshot held: nothing. ValueError where `index` is not applied."""
        if index > self.applied:
            raise ValueError(f"{index} is not applied: {self.applied} is")
        if index <= self.snapshot[0]:
            return
        term = self.log.term_at(index)
        assert term is not None
        members = [one for at, one in self.configs if at <= index][-1]
        self.snapshot = (index, term, dict(members), state)
        self.configs = [(index, members)] + [one for one in self.configs if one[0] > index]
        self.log.behead(max(self.log.base, index - TRAIL))
        self._dirty = self._new_snapshot = True
        self._close(self._seen)

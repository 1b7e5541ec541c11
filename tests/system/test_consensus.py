"""Raft machines in a simulated cluster, under a checker that shares none of their rules."""

import unittest

from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from knotwalk.consensus.machine import Machine
from knotwalk.consensus.membership_rules import PeerProgress, next_members
from knotwalk.consensus.raft_types import Answer, Apply, Entry, RaftSettings, Save, Send, StoredState
from tests.system.cluster import Cluster, Node, ViolationError, inject_faults


def elected_leader(cluster: Cluster) -> Node:
    """The leader, once there is one that all members follow."""
    assert cluster.run(10, cluster.is_settled), {
        node.address: vars(node.machine) for node in cluster.nodes.values() if node.machine
    }
    leader = cluster.leader()
    assert leader is not None
    return leader


def follower(cluster: Cluster) -> Node:
    """A running machine that does not lead."""
    return next(node for node in cluster.nodes.values() if node.machine and node.machine.role == "follower")


def ids(node: Node) -> list[str]:
    """The members known to a machine."""
    assert node.machine is not None
    return sorted(node.machine.members)


class TestService(unittest.TestCase):
    """What the gateway relies on."""

    def test_a_dead_leader_is_replaced_in_time(self) -> None:
        elapsed = []
        for seed in range(60):
            cluster = Cluster(seed, 3)
            leader = elected_leader(cluster)
            cluster.run(cluster.random.uniform(0, 0.3))
            cluster.stop(leader.address)
            start = cluster.now
            self.assertTrue(
                cluster.run(
                    5,
                    lambda: any(
                        node.machine
                        and node.machine.role == "leader"
                        and node.machine.commit >= node.machine._term_first_index
                        for node in cluster.nodes.values()
                    ),
                )
            )
            elapsed.append(cluster.now - start)
        elapsed.sort()
        self.assertLess(elapsed[30], 0.8)
        self.assertLess(elapsed[-1], 1.25)

    def test_a_majority_commits_past_the_leaders_slow_disk(self) -> None:
        cluster = Cluster(1)
        leader = elected_leader(cluster)
        leader.slow = 1e9
        cluster.random.uniform = lambda low, high: high  # type: ignore[method-assign]
        ticket = cluster.propose(leader.address, {"x": 1})
        cluster.run(0.05)
        self.assertEqual(cluster.answers[ticket].outcome, "committed")

    def test_a_command_takes_two_delays_and_a_write(self) -> None:
        cluster = Cluster(2)
        leader = elected_leader(cluster)
        ticket = cluster.propose(leader.address, {"x": 1})
        read = cluster.read(leader.address)
        self.assertTrue(cluster.run(0.0045, lambda: ticket in cluster.answers and read in cluster.answers))

    def test_proposals_of_a_moment_share_saves_and_messages(self) -> None:
        cluster = Cluster(3)
        leader = elected_leader(cluster)
        cluster.sent_counts.clear()
        tickets = [cluster.propose(leader.address, {"n": one}) for one in range(2000)]
        cluster.run(0.5)
        self.assertTrue(all(cluster.answers[one].outcome == "committed" for one in tickets))
        self.assertLess(sum(cluster.sent_counts.values()), 400)

    def test_a_stall_of_a_batch_scheduled_process_costs_no_election(self) -> None:
        cluster = Cluster(4)
        leader = elected_leader(cluster)
        term = leader.machine.term
        for _ in range(20):
            for address in cluster.nodes:
                cluster.freeze(address, 0.12)
                cluster.run(0.2)
        self.assertEqual(leader.machine.term, term)
        self.assertEqual(leader.machine.role, "leader")

    def test_who_is_called_when_it_asked_to_be_stands_in_time_who_thaws_does_not(self) -> None:
        for seed in range(20):
            for late in (0.002, 0.4):
                saved = StoredState("a", members={one: one for one in "abc"})
                machine, now = Machine(saved, RaftSettings(), seed, 10.0, 9.8), 10.0
                stood = 9.8 + 0.45 + 0.2 + 0.01
                while now <= stood and not any(isinstance(one, Send) for one in machine.actions):
                    now = machine.wake_at + late
                    machine.tick(now)
                self.assertEqual(now <= stood, late < 0.1, (seed, now))

    def test_one_that_sends_but_hears_nothing_deposes_nobody(self) -> None:
        cluster = Cluster(5)
        leader = elected_leader(cluster)
        term, deaf = leader.machine.term, follower(cluster)
        cluster.cuts = {(other, deaf.address) for other in cluster.nodes}
        cluster.run(10)
        self.assertEqual((leader.machine.role, leader.machine.term), ("leader", term))
        cluster.cuts.clear()
        cluster.run(2)
        self.assertEqual((deaf.machine.role, deaf.machine.term), ("follower", term))

    def test_a_leader_that_hears_nothing_steps_down_and_is_replaced(self) -> None:
        cluster = Cluster(6)
        old = elected_leader(cluster)
        ticket = cluster.read(old.address)
        cluster.cuts = {(other, old.address) for other in cluster.nodes}
        late = cluster.propose(old.address, {"x": 1})
        cluster.run(3)
        self.assertNotEqual(old.machine.role, "leader")
        self.assertEqual(cluster.answers[ticket].outcome, "not_leader")
        self.assertEqual(cluster.answers[late].outcome, "lost")
        self.assertIsNot(cluster.leader(), old)

    def test_a_leader_whose_store_fails_steps_down_until_it_keeps_again(self) -> None:
        cluster = Cluster(7)
        old = elected_leader(cluster)
        cluster.hang(old.address, True)
        cluster.run(3)
        self.assertIsNot(cluster.leader(), old)
        self.assertIsNotNone(cluster.leader())
        cluster.hang(old.address, False)
        elected_leader(cluster)

    def test_disks_that_take_a_second_still_elect(self) -> None:
        for seed in range(5):
            cluster = Cluster(seed)
            for node in cluster.nodes.values():
                node.slow = 1.0
            self.assertTrue(cluster.run(30, cluster.is_settled))

    def test_one_far_behind_gets_a_snapshot(self) -> None:
        cluster = Cluster(8)
        leader = elected_leader(cluster)
        lost = follower(cluster)
        cluster.stop(lost.address)
        for _ in range(8):
            for one in range(200):
                cluster.propose(leader.address, {"n": one})
            cluster.run(0.2)
        cluster.compact(leader.address)
        cluster.start(lost.address)
        elected_leader(cluster)
        cluster.run(0.1)
        self.assertGreater(lost.disk.saved.snapshot_index, 1000)
        self.assertEqual(lost.applied, leader.applied)

    def test_the_leader_proves_its_lease(self) -> None:
        cluster = Cluster(9)
        leader = elected_leader(cluster)
        cluster.run(1)
        now = cluster.now + leader.offset
        self.assertLess(now - leader.machine.majority_acked_at, 0.2)
        self.assertEqual(set(leader.machine.peers_answered_at), set(ids(leader)) - {leader.machine.me})
        cluster.leave(leader.address)
        self.assertEqual(leader.machine.majority_acked_at, float("-inf"))

    def test_what_was_due_in_one_life_never_reaches_the_next(self) -> None:
        cluster, incarnations = Cluster(17), set()
        elected_leader(cluster)
        for _ in range(3):
            node = cluster.nodes["m1"]
            incarnations.add(node.incarnation)
            stale, before = node.incarnation, node.machine
            cluster.stop("m1")
            cluster.start("m1")
            node.machine.tick, ticked = lambda now: ticked.append(now), []  # type: ignore[method-assign, union-attr]
            cluster._tick(node, stale)
            self.assertEqual(ticked, [])
            del node.machine.tick  # type: ignore[union-attr]
            self.assertIsNot(node.machine, before)
            elected_leader(cluster)
        self.assertEqual(len(incarnations), 3)


class TestMembers(unittest.TestCase):
    """Members that join, leave and come back."""

    def test_a_wiped_disk_is_swapped_for_its_old_id(self) -> None:
        cluster = Cluster(11)
        elected_leader(cluster)
        lost = follower(cluster)
        old = lost.disk.saved.me
        cluster.wipe(lost.address)
        elected_leader(cluster)
        cluster.run(3)
        leader = elected_leader(cluster)
        self.assertEqual(len(ids(leader)), 3)
        self.assertNotIn(old, ids(leader))
        self.assertIn(lost.disk.saved.me, ids(leader))

    def test_every_disk_wiped_in_turn_loses_nothing(self) -> None:
        cluster = Cluster(12)
        for address in sorted(cluster.nodes) * 2:
            cluster.propose(elected_leader(cluster).address, {"at": address})
            cluster.run(0.1)
            cluster.wipe(address)
            self.assertTrue(cluster.run(10, lambda: cluster.nodes[address].machine.role == "follower"))
        leader = elected_leader(cluster)
        commands = [entry.body for entry in cluster.checker.entries.values() if entry.kind == "command"]
        self.assertEqual(len(commands), 6)
        self.assertEqual(leader.applied, max(cluster.checker.entries))

    def test_a_newcomer_takes_the_place_of_one_long_dead(self) -> None:
        cluster = Cluster(13)
        elected_leader(cluster)
        lost = follower(cluster)
        cluster.stop(lost.address)
        cluster.add("m9")
        cluster.run(1.5)
        self.assertEqual(len(ids(cluster.leader())), 4)
        cluster.run(9)
        leader = cluster.leader()
        self.assertEqual(len(ids(leader)), 3)
        self.assertNotIn(lost.disk.saved.me, ids(leader))
        cluster.start(lost.address)  # it comes back with its disk, learns of its removal, and is added again
        cluster.run(4)
        self.assertIn(lost.disk.saved.me, ids(elected_leader(cluster)))

    def test_a_leader_that_leaves_hands_over_and_one_too_many_is_removed(self) -> None:
        cluster = Cluster(14, settings=RaftSettings(target_members=2))
        old = elected_leader(cluster)
        term = old.machine.term
        cluster.leave(old.address)
        start = cluster.now
        self.assertTrue(cluster.run(2, lambda: old.machine.role == "outsider"))
        self.assertLess(cluster.now - start, 0.75)
        self.assertEqual(cluster.leader().machine.term, term + 1)
        cluster.run(3)
        self.assertEqual(len(ids(cluster.leader())), 2)
        cluster.stop(old.address)
        cluster.start(old.address)
        cluster.run(3)
        self.assertEqual(len(ids(elected_leader(cluster))), 3)

    def test_one_wanted_stays_a_member_while_it_is_away(self) -> None:
        for seed in range(4):
            cluster = Cluster(30 + seed)
            gone = (
                elected_leader(cluster)
                if seed % 2
                else next(one for one in cluster.nodes.values() if one is not elected_leader(cluster))
            )
            others = [one for one in cluster.nodes if one != gone.address]
            cluster.leave(gone.address)
            cluster.run(1)
            self.assertEqual(len(ids(elected_leader(cluster))), 3)
            cluster.stop(gone.address)
            if seed < 2:  # meanwhile a disk is lost: with the machine that comes back there are two of three
                cluster.stop(others[0])
                cluster.start(gone.address)
                cluster.wipe(others[0])
                self.assertTrue(cluster.run(4, cluster.is_settled))
                self.assertFalse(cluster.nodes[others[0]].disk.saved.me.endswith("#founder"))
                cluster.run(2)
                self.assertEqual(len(ids(elected_leader(cluster))), 3, "who is back is not leaving any more")
            else:  # one disk alone commits nothing
                cluster.leave(others[0])
                cluster.run(1)
                cluster.stop(others[0])
                ticket = cluster.propose(others[1], {"n": 1})
                cluster.run(2)
                self.assertNotEqual(cluster.answers[ticket].outcome, "committed")

    def test_one_that_leaves_for_good_gives_its_place_to_a_newcomer(self) -> None:
        cluster = Cluster(15)
        elected_leader(cluster)
        cluster.leave("m1")
        cluster.run(0.8)
        cluster.stop("m1")
        cluster.add("m9")
        self.assertTrue(
            cluster.run(
                2,
                lambda: (
                    sorted(ids(elected_leader(cluster)))[:2] == ["m0#founder", "m2#founder"]
                    and len(ids(elected_leader(cluster))) == 3
                ),
            )
        )

    def test_an_outsider_votes_once_a_term_when_it_is_kept_and_never_stands(self) -> None:
        """Entries that it lacks may count it as a member. A request to another identity, as after a wiped disk, gets no
        answer.
        """
        machine = Machine(StoredState("m3#new"), RaftSettings(), 0, 0.0)
        machine.actions.clear()
        last = {"term": 3, "next": 4, "last": 9, "last_term": 3, "handed": True}
        for type in ("prevote", "vote"):
            machine.receive(5.0, {"type": type, "from": "m0#founder", "at": "m0", "to": "m3#old", **last})
        machine.tick(50.0)
        self.assertEqual((machine.role, machine.term), ("outsider", 0))
        sent = [(one.to_address, one.message["type"]) for one in machine.actions]
        self.assertEqual(
            sent, [("m0", "join")], "it promises nothing, and asks whoever counts its former id to let it join"
        )
        machine.actions.clear()
        machine.receive(50.0, {"type": "vote", "from": "m0#founder", "at": "m0", "to": "m3#new", **last})
        self.assertEqual([one for one in machine.actions if isinstance(one, Send)], [])
        (save,) = [one for one in machine.actions if isinstance(one, Save)]
        self.assertEqual((save.term, save.vote), (3, "m0#founder"))
        machine.actions.clear()
        machine.receive(50.0, {"type": "vote", "from": "m1#founder", "at": "m1", "to": "m3#new", **last})
        machine.on_saved(50.0, save.number)
        answers = [(one.to_address, one.message["granted"]) for one in machine.actions if isinstance(one, Send)]
        self.assertEqual(sorted(answers), [("m0", True), ("m1", False)])
        machine.actions.clear()
        machine.tick(90.0)
        self.assertEqual((machine.role, machine.term, machine.actions), ("outsider", 3, []))

    def test_changes_wait_for_what_makes_them_safe(self) -> None:
        members = {"a": "A", "b": "B", "c": "C"}

        def next_change(b: float, c: float, newcomer_heard_at: float, count: int = 3) -> dict[str, str] | None:
            voters = {"b": PeerProgress("b", "B", 9, b, 0.0), "c": PeerProgress("c", "C", 9, c, 0.0)}
            return next_members(
                "a",
                members,
                voters,
                [PeerProgress("n", "C", 9, 100.0, newcomer_heard_at)],
                9,
                100.0,
                0.6,
                8.0,
                count,
                0.2,
            )

        self.assertEqual(next_change(99.9, 90.0, 99.0), {"a": "A", "b": "B", "n": "C"})
        self.assertIsNone(next_change(98.9, 90.0, 99.0), "b has not answered since the newcomer came")
        self.assertIsNone(next_change(99.9, 99.2, 99.0), "the former id is alive")
        self.assertEqual(next_change(99.9, 90.0, 99.0, 2), {"a": "A", "b": "B"}, "not heard for long, above the target")
        self.assertIsNone(next_change(90.0, 90.0, 99.0, 2), "two are late")


class TestPromises(unittest.TestCase):
    """A single machine, action by action."""

    def machine(self) -> Machine:
        """A follower in a group of three, which heard its leader long ago."""
        members = {"a": "A", "b": "B", "c": "C"}
        machine = Machine(
            StoredState("a", 1, None, 0, 0, None, members, [Entry(1, 1, "noop", {})]), RaftSettings(), 0, 0.0
        )
        machine.tick(0.1)
        machine.actions.clear()
        return machine

    def test_a_vote_waits_for_its_save_and_is_given_once(self) -> None:
        machine = self.machine()
        ask = {"type": "vote", "at": "B", "to": "a", "term": 2, "last": 1, "last_term": 1, "handed": False}
        machine.receive(0.4, {**ask, "from": "b"})
        self.assertEqual(machine.actions, [], "a life before may have answered a leader 0.4 s ago")
        machine.receive(0.7, {**ask, "from": "b"})
        machine.receive(0.7, {**ask, "from": "c", "at": "C"})
        save = next(one for one in machine.actions if isinstance(one, Save))
        self.assertEqual((save.term, save.vote), (2, "b"))
        self.assertEqual([one.message["granted"] for one in machine.actions if isinstance(one, Send)], [False])
        machine.actions.clear()
        machine.on_saved(0.71, save.number)
        self.assertEqual([(one.to_address, one.message["granted"]) for one in machine.actions], [("B", True)])

    def test_a_start_gives_out_what_the_disk_holds_as_committed_and_no_more(self) -> None:
        members = {"a": "A", "b": "B", "c": "C"}
        for known in range(5):  # for each index up to which the log may be known as committed
            entries = [Entry(index, 1, "command", {"n": index}) for index in range(1, 5)]
            machine = Machine(StoredState("a", 1, None, 0, 0, None, members, entries, known), RaftSettings(), 0, 0.0)
            machine.tick(0.1)
            given = [one.entry.body["n"] for one in machine.actions if isinstance(one, Apply)]
            self.assertEqual((given, machine.commit), (list(range(1, known + 1)), known))
            machine.actions.clear()
            machine.receive(
                0.2,
                {
                    "type": "append",
                    "from": "b",
                    "at": "B",
                    "to": "a",
                    "term": 2,
                    "prev": known,
                    "prev_term": 1 if known else 0,
                    "entries": [[known + 1, 2, "command", {"n": "other"}]],
                    "commit": known + 1,
                    "stamp": 7.0,
                    "round": 3,
                },
            )
            given = [one.entry.body["n"] for one in machine.actions if isinstance(one, Apply)]
            self.assertEqual(given, ["other"], "the tail lost its race")
            save = next(one for one in machine.actions if isinstance(one, Save))
            self.assertEqual((save.commit, machine.log.last), (known + 1, known + 1))

    def test_an_answer_tells_what_is_kept_apart_from_what_came(self) -> None:
        machine = self.machine()
        append = {
            "type": "append",
            "from": "b",
            "at": "B",
            "to": "a",
            "term": 1,
            "prev": 1,
            "prev_term": 1,
            "entries": [[2, 1, "command", {}]],
            "commit": 1,
            "stamp": 7.0,
            "round": 3,
        }
        machine.receive(0.2, append)
        first = next(one.message for one in machine.actions if isinstance(one, Send))
        self.assertEqual((first["match"], first["have"], first["stamp"], first["round"]), (1, 2, 7.0, 3))
        machine.actions.clear()
        machine.on_saved(0.3, 1)
        self.assertEqual([one.message["match"] for one in machine.actions if isinstance(one, Send)], [2])

    def test_a_failed_store_silences(self) -> None:
        machine = self.machine()
        machine.on_save_failed(0.2)
        save = machine.actions.pop()
        machine.receive(
            0.3,
            {
                "type": "append",
                "from": "b",
                "at": "B",
                "to": "a",
                "term": 1,
                "prev": 1,
                "prev_term": 1,
                "entries": [],
                "commit": 1,
                "stamp": 7.0,
                "round": 3,
            },
        )
        machine.tick(9.0)
        self.assertEqual(
            [one for one in machine.actions if isinstance(one, Send) and one.message["type"] != "join"], []
        )
        machine.on_saved(9.1, save.number)
        for step in range(20):
            machine.tick(9.2 + step / 10)
        self.assertIn("prevote", [one.message["type"] for one in machine.actions if isinstance(one, Send)])

    def test_who_does_not_lead_says_who_does(self) -> None:
        machine = self.machine()
        machine.propose(0.1, {}, "t")
        machine.read(0.1, "u")
        self.assertEqual(machine.actions, [Answer("t", "not_leader", None), Answer("u", "not_leader", None)])


class VotesEarly(Machine):
    """Defect: sends promises before the disk holds them."""

    def _send_after_save(self, address, type, to, /, **rest):  # type: ignore[no-untyped-def, override]
        self._send(address, type, to, **rest)


class AcksEarly(Machine):
    """Defect: counts entries as stored once they are received."""

    def _match_index(self) -> int:
        return self._received_index


class AnswersReadsAtOnce(Machine):
    """Defect: answers reads without a round of heartbeats."""

    def _serve_reads(self, now: float) -> None:
        for ticket in self._queued_reads:
            self.actions.append(Answer(ticket, "readable", self.applied))
        self._queued_reads = []


class TestFaults(unittest.TestCase):
    """Seeded runs with all kinds of faults at once."""

    def test_nothing_told_is_lost_and_all_settles(self) -> None:
        committed = 0
        for seed in range(12):
            with self.subTest(seed=seed):
                cluster = Cluster(seed, (3, 3, 5, 2, 1, 4)[seed % 6])
                inject_faults(cluster, 60)
                cluster.heal()
                self.assertTrue(cluster.run(20, cluster.is_settled))
                committed += sum(one.outcome == "committed" for one in cluster.answers.values())
        self.assertGreater(committed, 400)

    def found(self, seeds: int, **how) -> str:  # type: ignore[no-untyped-def]
        """The violation that the checker finds with a defect, "" if none."""
        for seed in range(seeds):
            cluster = Cluster(seed, 3, **how)
            try:
                inject_faults(cluster, 80)
            except ViolationError as violation:
                return str(violation)
        return ""

    def test_the_checker_finds_promises_made_early(self) -> None:
        self.assertIn("votes before", self.found(10, machine_class=VotesEarly))
        self.assertIn("acks", self.found(10, machine_class=AcksEarly))

    def test_the_checker_finds_what_early_promises_lead_to(self) -> None:
        with self.assertRaisesRegex(ViolationError, "without entry"):
            for seed in range(20):
                cluster = Cluster(seed, machine_class=AcksEarly, checks_promises=False)
                leader = elected_leader(cluster)
                others = [address for address in cluster.nodes if address != leader.address]
                for address in others:
                    cluster.nodes[address].slow = 10.0
                cluster.propose(leader.address, {"x": 1})
                cluster.run(0.01)
                for address in cluster.nodes:
                    cluster.stop(address)
                for address in others:
                    cluster.nodes[address].slow = 0.0
                    cluster.start(address)
                cluster.run(3)

    def test_the_checker_finds_stale_reads(self) -> None:
        self.assertIn("reads", self.found(60, machine_class=AnswersReadsAtOnce))

    def test_the_checker_finds_a_wiped_disk_that_votes(self) -> None:
        self.assertIn("wiped", self.found(60, keeps_id=True))


class Steps(RuleBasedStateMachine):
    """Hypothesis searches for a sequence of faults that breaks an invariant."""

    @initialize(seed=st.integers(0, 99), count=st.sampled_from((1, 2, 3, 5)))
    def begin(self, seed: int, count: int) -> None:
        """Start a cluster and wait until it is settled."""
        self.cluster = Cluster(seed, count)
        elected_leader(self.cluster)

    def pick(self, which: int) -> str:
        """The address of one of the nodes."""
        return sorted(self.cluster.nodes)[which % len(self.cluster.nodes)]

    @rule(wait=st.sampled_from((0.001, 0.01, 0.2, 1.5)))
    def wait(self, wait: float) -> None:
        """Let time pass."""
        self.cluster.run(wait)

    @rule(which=st.integers(0, 4), count=st.integers(1, 3))
    def use(self, which: int, count: int) -> None:
        """A client proposes and reads at one node."""
        for _ in range(count):
            self.cluster.propose(self.pick(which), {"n": len(self.cluster.tickets)})
        self.cluster.read(self.pick(which))

    @rule(which=st.integers(0, 4))
    def restart(self, which: int) -> None:
        """A machine is killed and restarts at once."""
        self.cluster.stop(self.pick(which))
        self.cluster.start(self.pick(which))

    @rule(which=st.integers(0, 4), seconds=st.sampled_from((0.1, 0.7, 3.0)))
    def freeze(self, which: int, seconds: float) -> None:
        """A machine is frozen for a while."""
        self.cluster.freeze(self.pick(which), seconds)

    @rule(one=st.integers(0, 4), other=st.integers(0, 4))
    def cut(self, one: int, other: int) -> None:
        """A link fails in one direction."""
        self.cluster.cuts.add((self.pick(one), self.pick(other)))

    @rule(loss=st.sampled_from((0.0, 0.2)), late=st.sampled_from((0.001, 0.2)))
    def links(self, loss: float, late: float) -> None:
        """Links lose, duplicate and reorder messages; cut links are restored."""
        self.cluster.loss = self.cluster.duplication = loss
        self.cluster.jitter_s = late
        self.cluster.cuts.clear()

    @rule(which=st.integers(0, 4), slow=st.sampled_from((0.0, 0.3)))
    def disk(self, which: int, slow: float) -> None:
        """A disk becomes slow, or normal again."""
        self.cluster.nodes[self.pick(which)].slow = slow

    @rule(which=st.integers(0, 4))
    def compact(self, which: int) -> None:
        """An application compacts the log with its snapshot."""
        self.cluster.compact(self.pick(which))

    @rule(which=st.integers(0, 4))
    def wipe(self, which: int) -> None:
        """A disk is wiped, if a majority remains without it."""
        if self.cluster.can_lose_a_disk():
            self.cluster.wipe(self.pick(which))

    @rule()
    def come(self) -> None:
        """A new machine joins."""
        if len(self.cluster.nodes) < 6:
            self.cluster.add(f"n{len(self.cluster.nodes)}")

    @rule(which=st.integers(0, 4))
    def leave(self, which: int) -> None:
        """A machine is asked to leave, as on SIGTERM."""
        if len(self.cluster.nodes) > 2:
            self.cluster.leave(self.pick(which))

    def teardown(self) -> None:
        """After all faults end, the cluster must settle."""
        if hasattr(self, "cluster"):
            self.cluster.heal()
            for node in self.cluster.nodes.values():
                if node.machine is not None and node.machine.leaving:
                    self.cluster.stop(node.address)
                    self.cluster.start(node.address)
            assert self.cluster.run(30, self.cluster.is_settled)


class TestSteps(Steps.TestCase):
    """The state machine as a test case that can be named by its module, as the multi-process runner requires."""

    settings = settings(
        max_examples=25,
        stateful_step_count=25,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )

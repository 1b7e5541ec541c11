"""Configuration changes that are repeated or race: however late one arrives, it is not rejected if it was taken before,
and not taken twice."""

import asyncio
import itertools
import json
import unittest
from types import SimpleNamespace
from unittest import mock

from hypothesis import given, settings, strategies as some

from knotwalk.configuration import history as history_module
from knotwalk.configuration.change_requests import ChangeHistory, decide_change
from knotwalk.configuration.documents import format_version, to_document
from knotwalk.configuration.history import LEGACY_MAX_REMEMBERED, MAX_REMEMBERED, ChangeStatus, fingerprint
from knotwalk.consensus.raft_types import RaftSettings, StoredState
from knotwalk.control_plane import consensus_driver, control
from knotwalk.control_plane.consensus_driver import ConsensusDriver, OutcomeUnknownError
from knotwalk.control_plane.control import Control
from knotwalk.control_plane.replicated_state import DONE, ReplicatedState
from knotwalk.runtime.errors import PeerError
from tests.standins.jumps import JumpingCase
from tests.system import cluster
from tests.system.test_control_plane import ADDRESSES, DOCUMENT, Cut, Wire


def body(version, health="/h", method="PUT"):
    """The body of a change; `health` makes contents differ."""
    services = [{"object_kind": "services", "metadata": {"name": "s"}, "specification": {"health_check": health}}]
    objects = {"objects": [*services, *DOCUMENT["objects"][1:]]}
    return {"config_version": format_version(version)} | (objects if method == "PUT" else {"upsert": objects})


def configure_command(base, version, health="/h"):
    """The change as a log entry."""
    verdict = decide_change(None, ChangeHistory(), "PUT", "0", json.dumps(body(version, health)).encode())
    digest = f"{base} {version} {health}"
    return {"do": "configure", "base": base, "version": version, "digest": digest, "document": verdict.document}


class HistoryTest(unittest.TestCase):
    def test_a_version_decides_only_from_the_floor_on(self):
        history = ChangeHistory()
        with mock.patch.object(history_module, "MAX_REMEMBERED", 3):
            for version in (2, 5, 9, 14, 15):
                history.record(version, str(version))
        history = ChangeHistory.from_dict(json.loads(json.dumps(history.to_dict())))
        self.assertEqual((list(history.versions), history.floor), ([9, 14, 15], 9))
        for base, version, digest, standing in (
            (5, 9, "9", ChangeStatus.APPLIED),
            (5, 9, "another", ChangeStatus.NOT_APPLIED),
            (9, 14, "another", ChangeStatus.NOT_APPLIED),
            (0, 15, "lost its race early, asking for a high number", ChangeStatus.NOT_APPLIED),
            (2, 5, "5", ChangeStatus.UNKNOWN),
            (2, 8, "may have made r8", ChangeStatus.UNKNOWN),
            (8, 8, "does not rise", ChangeStatus.NOT_APPLIED),
        ):
            self.assertEqual(history.status(base, version, digest), standing, digest)

    def test_a_repeat_is_recognized_after_hundreds_of_changes_and_restarts(self):
        state, repeats = ReplicatedState(), []
        for number in range(1, 700):
            repeats.append(configure_command(2 * number - 2, 2 * number))
            self.assertEqual(state.apply(number, repeats[-1])[0], DONE)
            if number % 97 == 0:
                state = ReplicatedState.from_dict(json.loads(json.dumps(state.to_dict())))
        for number, repeat in enumerate(repeats, 700):
            self.assertEqual(state.apply(number, repeat)[0], DONE)
            self.assertNotEqual(state.apply(number, repeat | {"digest": "lost its race"})[0], DONE)
        self.assertEqual(state.version, 1398)

    def test_the_history_is_bounded_in_memory_and_in_a_snapshot(self):
        history = ChangeHistory()
        for version in range(3, 7 * (MAX_REMEMBERED + 500), 7):
            history.record(version, str(version))
        self.assertEqual(len(history.versions), MAX_REMEMBERED)
        self.assertLessEqual(
            len(history.versions) * history.versions.itemsize + len(history.fingerprints), 24 * MAX_REMEMBERED
        )
        self.assertLess(len(json.dumps(history.to_dict(), separators=(",", ":"))), 25 * MAX_REMEMBERED)

    def test_snapshots_of_earlier_formats_are_read_without_guessing(self):
        for first, count, floor in ((1, LEGACY_MAX_REMEMBERED - 1, 0), (40, LEGACY_MAX_REMEMBERED, 40)):
            versions = range(first, first + count)
            old = ReplicatedState()
            old.apply(9, configure_command(0, versions[-1]))
            raw = old.to_dict() | {"format": 3, "history": {format_version(one): f"{one:064x}" for one in versions}}
            state = ReplicatedState.from_dict(json.loads(json.dumps(raw)))
            self.assertEqual(state.history.floor, floor)
            for one in versions:
                self.assertEqual(state.history.status(one - 1, one, f"{one:064x}"), ChangeStatus.APPLIED)
                self.assertEqual(state.history.status(one - 1, one, "another"), ChangeStatus.NOT_APPLIED)
            again = ReplicatedState.from_dict(json.loads(json.dumps(state.to_dict())))
            self.assertEqual(again.to_dict(), state.to_dict())
        self.assertEqual(state.history.status(38, 39, "dropped, or never taken"), ChangeStatus.UNKNOWN)
        late = state.apply(10, configure_command(38, 39))[0]
        self.assertEqual((late, state.version), (control.STATUS_UNKNOWN_MESSAGE, versions[-1]))

    def test_an_inconsistent_history_is_not_read(self):
        history = ChangeHistory()
        history.record(3, "d")
        with self.assertRaises(ValueError):
            ChangeHistory.from_dict(history.to_dict() | {"steps": [3, 1]})
        with self.assertRaises(ValueError):
            ReplicatedState.from_dict(ReplicatedState().to_dict() | {"format": 5})
        self.assertEqual(len(fingerprint("d")), 16)


class Core:
    """One log, members that apply it with histories of different length, and a plain model of the changes taken."""

    def __init__(self, reaches):
        self.reaches, self.states = reaches, [ReplicatedState() for _ in reaches]
        self.pending, self.applied, self.version = [], 0, 0
        self.taken, self.order_of, self.rejected = [], {}, []

    def send(self, member, change, spelling):
        """The answer of a member as the leader; None if the change is left pending, to be committed."""
        method, base, version, health = change
        text = json.dumps(body(version, health, method), indent=len(spelling))
        state = self.states[member]
        verdict = decide_change(state.configuration, state.history, method, spelling.format(base), text.encode())
        if verdict.status == 200 and not verdict.already_applied:
            entry = {"do": "configure", "base": base, "version": version, "digest": verdict.digest}
            self.pending.append((change, entry | {"document": verdict.document}))
            return None
        return verdict.status

    def apply(self):
        """Commit the oldest pending change; returns it and the members' results."""
        change, entry = self.pending.pop(0)
        _, base, version, _ = change
        if base == self.version:
            self.taken.append(change)
            self.version = version
        self.applied += 1
        results = []
        for reach, state in zip(self.reaches, self.states, strict=True):
            with mock.patch.object(history_module, "MAX_REMEMBERED", reach):
                results.append(state.apply(self.applied, entry)[0])
        return change, results

    def restart(self, member):
        raw = json.loads(json.dumps(self.states[member].to_dict()))
        self.states[member] = ReplicatedState.from_dict(raw)


CHANGES = some.tuples(
    some.sampled_from(["PUT", "PATCH"]), some.integers(-3, 1), some.integers(-1, 3), some.sampled_from("ab")
)
STEPS = some.one_of(
    some.tuples(some.just("new"), some.integers(0, 2), CHANGES),
    some.tuples(some.just("again"), some.integers(0, 2), some.integers(0, 60)),
    some.tuples(some.sampled_from(["apply", "restart", "lose"]), some.integers(0, 2), some.none()),
)


class SequenceTest(unittest.TestCase):
    """Any changes, repeated at any time to any member, before and after their entries are in force or lost."""

    @given(some.lists(STEPS, max_size=60))
    @settings(max_examples=300, deadline=None, database=None)
    def test_against_a_plain_model(self, steps):
        core, sent = Core([1, 3, MAX_REMEMBERED]), []
        spellings = itertools.cycle(["{}", "r{}", '"r{}"', " r{} "])
        for what, member, more in steps:
            if what == "new":
                method, back, up, health = more
                base = core.version + back if core.version + back in (0, *(one[2] for one in core.taken)) else 0
                sent.append((method, base, max(base + up, 0), "/" + health))
                self.send_and_check(core, member, sent[-1], next(spellings))
            elif what == "again" and sent:
                self.send_and_check(core, member, sent[more % len(sent)], next(spellings))
            elif what == "apply" and core.pending:
                self.apply_and_check(core)
            elif what == "restart":
                core.restart(member)
            elif what == "lose":  # another member leads, whose log lacks the pending entries
                core.pending.clear()
        while core.pending:
            self.apply_and_check(core)
        self.assertFalse(set(core.rejected) & set(core.taken))
        self.assertEqual(len({one[1] for one in core.taken}), len(core.taken))
        for state in core.states:
            self.assertEqual(state.version, core.version)
            self.assertEqual(*(to_document(one.configuration) for one in (state, core.states[0]) if one.configuration)
                             if core.taken else (1, 1))  # fmt: skip
        for member, change in itertools.product(range(3), core.taken):
            self.send_and_check(core, member, change, "{}")

    def remembered(self, core, member, change):
        """Whether, by the plain model, a member must remember the change."""
        kept = [one[2] for one in core.taken][-core.reaches[member] :]
        return len(core.taken) <= core.reaches[member] or change[2] >= kept[0]

    def send_and_check(self, core, member, change, spelling):
        status = core.send(member, change, spelling)
        if change in core.taken:
            self.assertEqual(status, 200 if self.remembered(core, member, change) else 503)
        elif status == 503:
            self.assertFalse(self.remembered(core, member, change))
        elif status is not None:
            self.assertIn(status, (400, 412))
            core.rejected.append(change)

    def apply_and_check(self, core):
        change, results = core.apply()
        for member, result in enumerate(results):
            if change in core.taken:
                self.assertIn(
                    result, (DONE,) if self.remembered(core, member, change) else (control.STATUS_UNKNOWN_MESSAGE,)
                )
            else:
                self.assertNotEqual(result, DONE)
        if results[-1] != DONE:
            core.rejected.append(change)


class Lossy(Wire):
    """A wire that also loses the answers of some machines."""

    def __init__(self):
        super().__init__()
        self.mute = set()

    async def json(self, method, url, body, timeout_s, step):
        answers = await super().json(method, url, body, timeout_s, step)
        if (address := url.split("/")[2]) in self.mute:
            raise PeerError(step, address, "the answer is lost")
        return answers


class Disk(cluster.Disk):
    """A disk in memory that persists each write at once, for the next incarnation to read."""

    disk_mb = 50.0


class Forgetful(dict):
    """Results that are dropped before anybody reads them."""

    def __setitem__(self, index, result):
        pass


class OperatorTest(JumpingCase):
    """OperatorTest that call the control ports of three machines, which lose answers, leaders and power."""

    clocks = (consensus_driver, control)

    async def asyncSetUp(self):
        self.wire, founders = Lossy(), {f"{at}#founder": at for at in ADDRESSES}
        self.disks = {at: Disk(StoredState(f"{at}#founder", members=founders)) for at in ADDRESSES}
        self.ports = {}
        self.restart()

    async def asyncTearDown(self):
        await self.stop()

    async def stop(self):
        for end in self.wire.ends.values():
            tasks = list(end.tasks)
            await end.close()
            await asyncio.gather(*tasks, return_exceptions=True)
            await asyncio.to_thread(end.writer.shutdown)

    def restart(self):
        for seed, (at, disk) in enumerate(self.disks.items()):
            end = ConsensusDriver(disk, disk.read(), self.wire, RaftSettings(), seed, float("-inf"))
            self.wire.ends[at], self.ports[at] = end, Control(end, 1)
        for end in self.wire.ends.values():
            end.start()

    async def leads(self, *, other_than=None):
        """The address of a leader that a majority confirms."""
        async with asyncio.timeout(20):
            while True:
                for at, end in self.wire.ends.items():
                    if end.machine.is_commit_current and at != other_than:
                        return at
                await asyncio.sleep(0.001)  # lets timers of the loop come due; bounded by the timeout above

    async def send(self, at, base, version, health="/h", method="PUT"):
        request = SimpleNamespace(
            method=method,
            headers={"if-match": format_version(base)},
            body=json.dumps(body(version, health, method)).encode(),
        )
        return await self.ports[at].change(request)

    async def clear(self, base, version, health="/h", method="PUT"):
        """The status of the first definite answer of whichever machine leads."""
        async with asyncio.timeout(20):
            while (answer := await self.send(await self.leads(), base, version, health, method)).status in (307, 503):
                await asyncio.sleep(0.001)  # as above
        return answer.status

    async def until(self, met):
        async with asyncio.timeout(20):
            while not met():
                await asyncio.sleep(0.001)  # as above

    async def unanswered(self, base, version, reached=0):
        """Send a change to a leader that is cut off once it has checked it; the entry reaches `reached` other machines.
        Returns that leader, which the others can no longer reach."""
        propose, led = ConsensusDriver.propose, []

        async def cut_off(end, change, timeout_s):
            at = next(one for one, other in self.wire.ends.items() if other is end)
            led.append(at)
            others = [one for one in ADDRESSES if one != at]
            self.wire.mute, self.wire.cut = set(others[:reached]), {at, *others[reached:]}
            try:
                return await propose(end, change, 0.02)
            finally:
                index = end.machine.log.last
                await self.until(lambda: all(self.wire.ends[one].machine.log.last == index for one in others[:reached]))

        with mock.patch.object(ConsensusDriver, "propose", cut_off):
            while (answer := await self.send(await self.leads(), base, version)).status == 307:
                await asyncio.sleep(0.001)  # as above
        self.assertEqual((answer.status, answer.headers["Retry-After"]), (503, "0.3"))
        return led[-1]

    async def test_one_of_two_racing_changes_wins_and_repeats_get_the_same_answers(self):
        first = await self.leads()
        answers = await asyncio.gather(*(self.send(first, 0, 5, health) for health in ("/a", "/b")))
        self.assertEqual(sorted(one.status for one in answers), [200, 412])
        winner, loser = ("/a", "/b") if answers[0].status == 200 else ("/b", "/a")
        lost = json.loads(next(one for one in answers if one.status == 412).body)
        self.assertEqual(lost["config_version"], "r5")
        for number in range(70):
            self.assertEqual(await self.clear(5 + number, 6 + number), 200)
        for _ in range(2):
            self.assertEqual([await self.clear(0, 5, one) for one in (winner, loser, winner)], [200, 412, 200])
            for end in self.wire.ends.values():
                end.machine.compact(end.machine.applied, end.state.to_dict())
            await self.stop()  # all machines at once; the disks stay
            self.restart()

    async def test_an_entry_that_waits_for_a_majority_is_applied_once(self):
        for rival_first in (False, True):
            base = self.wire.ends[await self.leads()].state.version
            await self.unanswered(base, base + 2)
            self.wire.cut.clear()
            changes = [self.clear(base, base + 2), self.clear(base, base + 2, "/rival")]
            found = await asyncio.gather(*(changes[::-1] if rival_first else changes))
            self.assertEqual(found, [412, 200] if rival_first else [200, 412])
            self.assertEqual(self.wire.ends[await self.leads()].state.version, base + 2)

    async def test_a_change_whose_leader_is_lost(self):
        """The entry is on no other disk, or on one: the next leader knows which by the time that it answers."""
        for reached in (0, 1):
            base = self.wire.ends[await self.leads()].state.version
            old = await self.unanswered(base, base + 2, reached)
            self.wire.mute, self.wire.cut, self.wire.ends[old].http_client = set(), {old}, Cut()
            new = await self.leads(other_than=old)
            change, rival = (base, base + 2), (base, base + 2, "/rival")
            first, second = (change, rival) if reached else (rival, change)
            turns = (second, first, second) if reached else (first, second)
            found = [(await self.send(new, *one)).status for one in turns]
            self.assertEqual(found, [412, 200, 412] if reached else [200, 412], reached)
            self.wire.ends[old].http_client = self.wire
            self.wire.cut.clear()
            self.assertEqual([await self.clear(*first), await self.clear(*second)], [200, 412])

    async def test_a_change_too_old_to_be_known_is_neither_confirmed_nor_rejected(self):
        with mock.patch.object(history_module, "MAX_REMEMBERED", 2):
            for number in range(4):
                self.assertEqual(await self.clear(number, number + 1), 200)
            answer = await self.send(await self.leads(), 0, 1)
        self.assertEqual((answer.status, answer.headers["Retry-After"]), (503, "60"))
        self.assertIn("too old", json.loads(answer.body)["error"])
        self.assertEqual([await self.clear(2, 3), await self.clear(2, 3, "/rival")], [200, 412])

    async def test_no_definite_answer_is_given_before_the_state_is_known_to_be_current(self):
        self.assertEqual(await self.clear(0, 3), 200)
        at = await self.leads()
        with mock.patch.object(ConsensusDriver, "current", side_effect=OutcomeUnknownError):
            for change in ((0, 3), (0, 3, "/rival"), (3, 2), (3, 4, "no slash")):
                self.assertEqual((await self.send(at, *change)).status, 503)
        with mock.patch.object(ConsensusDriver, "propose", return_value=control.STATUS_UNKNOWN_MESSAGE):
            self.assertEqual((await self.send(at, 3, 4)).status, 503)

    async def test_an_unknown_outcome_is_not_reported_as_done(self):
        end = self.wire.ends[await self.leads()]
        end.results = Forgetful()
        with self.assertRaises(OutcomeUnknownError):
            await end.propose(configure_command(0, 3))

"""The command `knotwalk replay`: reads options and recordings, runs the work on some cores, prints what came of it.

Owns processes, progress and exit codes. It decides nothing of what is exact, likely or better.
"""

import json
import multiprocessing
import re
import signal
import sys
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from knotwalk.record.reader import Loss, Recording, UnusableRecordingError
from knotwalk.replay import change, exact, verdict
from knotwalk.replay.model import Failed, Model, Run
from knotwalk.replay.past import Past
from knotwalk.state import SnapshotError

EXACT, UNUSABLE, DIVERGED, BROKEN = 0, 2, 3, 4
RUNS = 6  # of a model a side: what chance does is known to a fifth or so
PATIENCE = 10.0  # seconds of real time that a policy may take for one recorded period: an endless loop's end
SHOWN = 12  # rows of a kind printed; JSON and the page have all

# What worker processes take over from this one by fork: a day is too large to be sent to each.
_work: dict[str, Any] = {}


def time_of(text: str | None, start: float, default: float) -> float:
    """A time on the command line: seconds or `1h30m` from the recording's start, or Unix time.

    >>> time_of("1h30m", 1000.0, 0.0), time_of("90", 1000.0, 0.0), time_of(None, 1000.0, 0.0)
    (6400.0, 1090.0, 0.0)
    """
    if text is None:
        return default
    match = re.fullmatch(r"(?:(\d+)h)?(?:(\d+)m)?(?:(\d+(?:\.\d+)?)s?)?", text)
    if not match or not text:
        raise change.Unusable(f"'{text}' is no time; 90, 1h30m or a Unix time would be one")
    seconds = 3600 * int(match[1] or 0) + 60 * int(match[2] or 0) + float(match[3] or 0)
    return seconds if seconds > 1e8 else start + seconds


class Progress:
    """One line on a terminal that is written over; nothing elsewhere."""

    def __init__(self, what: str):
        self.what, self.shown = what, sys.stderr.isatty()

    def __call__(self, done: int, of: int) -> None:
        if self.shown:
            end = "\n" if done == of else ""
            print(f"\r{self.what}: {done} of {of}", end=end, file=sys.stderr, flush=True)


def _alarm(_number: int, _frame: object) -> None:
    raise Failed(f"the policy took over {PATIENCE:g} s for one period: it loops, or is far too slow")


def _run(which: str, seed: int) -> Run:
    """One run of the model, in a process of its own."""
    past: Past = _work["past"]
    made: change.Change = _work[which]
    signal.signal(signal.SIGALRM, _alarm)

    def tick(_now: float) -> None:
        signal.setitimer(signal.ITIMER_REAL, PATIENCE)

    try:
        return Model(past, made.settings, made.make, seed, tick).run()
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)


def _rules() -> Any:
    recording: Recording = _work["recording"]
    rules = None
    for blocks in recording.incarnations.values():
        rules = verdict.judged(within(recording, blocks, _work["until"]), rules)
    return rules and (rules.violations, rules.more_violations, rules.max_messages_sent, rules.max_waiting_lines)


def within(recording: Recording, blocks: list, until: float):
    """Events of some blocks up to a time."""
    for event in recording.events(blocks):
        if not isinstance(event, Loss) and event[2] > until:
            return
        yield event


def begins(recording: Recording) -> float:
    times = [x.header.begins_at for blocks in recording.incarnations.values() for x in blocks]
    if not times:
        raise change.Unusable("the recording holds no whole block")
    return times[0]


def past_of(recording: Recording, since: float, until: float) -> Past:
    past = Past()
    for incarnation in recording.incarnations:
        parts = recording.parts(incarnation)
        kept = [p for p in parts if p[-1].header.ends_at >= since and p[0].header.begins_at <= until]
        for event in within(recording, [x for p in kept for x in p], until):
            past.feed(event)
    past.losses = [x for x in past.losses if x.since > float("-inf")]
    if not past.lives or not past.reports:
        raise change.Unusable("what was recorded holds no reports, and a what-if needs them")
    return past.done()


def what_if(recording: Recording, options: dict, since: float, until: float, jobs: int) -> verdict.Verdict:
    """The model under the recorded settings and the others, some runs each."""
    past = past_of(recording, since, until)
    settings = past.lives[0].settings
    _work.update(
        past=past,
        recorded=change.read([], None, settings),
        tried=change.read(options["--set"], options["--policy"], settings),
    )
    tasks = [(which, seed) for seed in range(RUNS) for which in ("recorded", "tried")]
    progress, runs = Progress("runs of the model"), {}
    with ProcessPoolExecutor(jobs, multiprocessing.get_context("fork")) as pool:
        futures = {task: pool.submit(_run, *task) for task in tasks}
        try:
            for k, (task, future) in enumerate(futures.items()):
                runs[task] = future.result()
                progress(k + 1, len(tasks))
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            raise
    return verdict.compare(past, *([runs[which, seed] for seed in range(RUNS)] for which in ("recorded", "tried")))


def plain(value: object) -> object:
    """Named tuples as objects, for JSON."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {k: plain(v) for k, v in value._asdict().items()}
    if isinstance(value, dict):
        return {str(k): plain(v) for k, v in value.items()}
    if isinstance(value, list | tuple):
        return [plain(v) for v in value]
    return value if not isinstance(value, float) or abs(value) < float("inf") else str(value)


def clock(at: float, start: float) -> str:
    """
    >>> clock(5025.5, 1000.0), clock(float("inf"), 0.0)
    ('1:07:05.5', 'the end')
    """
    if abs(at) == float("inf"):
        return "the end" if at > 0 else "the start"
    seconds = at - start
    return f"{int(seconds // 3600)}:{int(seconds // 60 % 60):02}:{seconds % 60:04.1f}"


def say_exact(outcome: exact.Outcome, start: float, digest: str, say: Callable[[str], None]) -> None:
    say(
        f"{outcome.rounds} rounds and {outcome.orders} orders of {max(1, outcome.lives)} lives replayed, "
        f"{outcome.joints} checkpoints met again"
    )
    for x in outcome.stretches:
        say(f"  compared from {clock(x.since, start)} to {clock(x.until, start)}")
    for loss in outcome.losses[:SHOWN]:
        count = f"{loss.frames} frames" if loss.frames else "the last moments"
        say(f"  not claimed: {count} from {clock(loss.since, start)} to {clock(loss.until, start)}: {loss.why}")
    for fault in outcome.faults[:SHOWN]:
        say(f"  damaged: {fault}")
    others = [x for x in outcome.policies if x != digest]
    if others:
        say(f"  decided by another text of the policy than this one ({', '.join(others)}; this is {digest})")
    for d in outcome.divergences[:SHOWN]:
        where = f"order {d.place + 1}" if d.place >= 0 else "the round"
        say(
            f"DIVERGED in {d.incarnation}, frame {d.number} at {clock(d.at, start)}, {where}: recorded {d.recorded}; "
            f"replayed {d.replayed}"
        )
        for line in d.held:
            say(f"    {line}")
    say("exact" if outcome.exact else "NOT exact" if outcome.divergences else "nothing could be replayed")


def say_breaks(breaks: list, more: int, start: float, who: str, say: Callable[[str], None]) -> None:
    for x in breaks[:SHOWN]:
        how = "broken" if x.sure else "likely broken"
        say(f"  rule {x.rule} {how} {who} at {clock(x.at, start)}, {x.whom}: {x.what}")
    if len(breaks) + more > SHOWN:
        say(f"  and {len(breaks) + more - SHOWN} more")


def say_verdict(v: verdict.Verdict, names: list[str], start: float, say: Callable[[str], None]) -> None:
    def figure(x: verdict.Likely) -> str:
        return f"{x.value:.3f} ({x.low:.3f} to {x.high:.3f})"

    say(f"what if {', '.join(names)}; all figures simulated, {v.runs} runs a side")
    say(
        f"  service by the recorded reports {v.heard:.3f}; the model under the recorded settings is off by "
        f"{v.error:+.3f}, by 10 s {v.error_span:.3f}"
    )
    say(f"  service under the other settings {figure(v.tried.service)}")
    for k, (a, b) in enumerate(zip(v.recorded.methods, v.tried.methods)):
        say(f"    method {k}: {figure(a)} recorded, {figure(b)} tried")
    say(f"  lines ordered: {v.recorded.moves:.0f} under the recorded settings, {v.tried.moves:.0f} tried")
    if v.apart_from is None:
        say("  the tables are the same all day")
    else:
        most = max(n for _, n in v.apart)
        say(f"  the tables differ from {clock(v.apart_from, 0.0)} on, in up to {most} slices")
    if v.lost:
        say(f"  {v.lost:.1f} s of the day are not in the recording")
    say_breaks(v.tried.breaks, v.tried.breaks_more, start, "under the other settings", say)
    verdicts = {
        "tried": "the other settings are better",
        "recorded": "the recorded settings are better",
        "cannot tell": "indistinguishable: closer than the model's error or chance",
    }
    say(f"{verdicts[v.better]} (difference {v.difference.value:+.3f}, told apart from {v.margin:.3f} on)")


def digest_here() -> str:
    from knotwalk.net.conductor import policy_digest

    return policy_digest()


def replay(options: dict) -> int:
    """`knotwalk replay`, with docopt's options; the exit code."""

    def say(text: str) -> None:
        if not options["--json"]:
            print(text)

    begun = time.monotonic()
    try:
        jobs = int(options["--jobs"] or exact.cores())
        if jobs < 1:
            raise ValueError
    except ValueError:
        print(f"knotwalk: --jobs {options['--jobs']}: a whole number from 1 on is wanted", file=sys.stderr)
        return UNUSABLE
    try:
        recording = Recording(options["RECORDING"], options["--conductor"])
        start = begins(recording)
        since = time_of(options["--from"], start, float("-inf"))
        until = time_of(options["--to"], start, float("inf"))
        _work.update(recording=recording, until=until)
        told: dict = {"conductor": recording.conductor, "start": start}
        changed = options["--set"] or options["--policy"]
        if changed:
            v = what_if(recording, options, since, until, jobs)
            say_verdict(v, _work["tried"].names, start, say)
            told["what_if"] = {**plain(v), "changes": _work["tried"].names}  # type: ignore[dict-item]
            code = BROKEN if any(x.sure for x in v.tried.breaks) else EXACT
        else:
            with ProcessPoolExecutor(1, multiprocessing.get_context("fork")) as pool:
                rules = pool.submit(_rules)
                outcome = exact.replay(recording, jobs, since, until, Progress("parts replayed"))
                found = rules.result()
            say_exact(outcome, start, digest_here(), say)
            breaks, more, sent, waited = found or ([], 0, 0, 0.0)
            if found:
                say(
                    f"rules: {len(breaks) + more} breaks; {sent} messages to a proxy within the span and {waited:.0f} "
                    "lines waiting at most"
                )
                say_breaks(breaks, more, start, "as recorded", say)
            told["exact"] = {**plain(outcome), "exact": outcome.exact}  # type: ignore[dict-item]
            told["rules"] = plain(breaks)
            code = (
                UNUSABLE
                if not outcome.rounds
                else DIVERGED
                if outcome.divergences
                else BROKEN
                if any(x.sure for x in breaks)
                else EXACT
            )
        if options["--html"]:
            from knotwalk.replay.report import write

            if not changed:
                raise change.Unusable("--html shows a what-if: --set or --policy is wanted with it")
            write(options["--html"], _work["past"], v, _work["tried"].names, recording.conductor)
            say(f"written: {options['--html']}")
    except (UnusableRecordingError, change.Unusable, SnapshotError, Failed) as fault:
        print(f"knotwalk: {' '.join(str(fault).split())}", file=sys.stderr)
        return UNUSABLE
    except OSError as fault:
        print(f"knotwalk: {fault.filename}: {fault.strerror}", file=sys.stderr)
        return UNUSABLE
    told["seconds"] = round(time.monotonic() - begun, 2)
    if options["--json"]:
        print(json.dumps(told))
    return code

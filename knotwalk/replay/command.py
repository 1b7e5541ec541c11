"""The command `knotwalk replay`: parses options, runs replays and what-ifs in processes, and prints the results.

Comparisons, simulation and ranking are in `exact`, `model` and `verdict`.
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
from knotwalk.replay.inference import InferredDay
from knotwalk.replay.model import Model, PolicyFailedError, Run
from knotwalk.state import SnapshotError

EXIT_EXACT, EXIT_UNUSABLE, EXIT_DIVERGED, EXIT_RULE_BROKEN = 0, 2, 3, 4
RUNS_PER_SETTING = 6  # simulations per setting; enough to know the variation between runs to about 20%
POLICY_TIMEOUT_S = 10.0  # real time for one simulated period: ends a policy that loops forever
MAX_ROWS_SHOWN = 12  # per kind, in the text output; JSON and the HTML page have all

# Data that worker processes inherit by fork: a day is too large to be pickled for each.
_work: dict[str, Any] = {}


def parse_time(text: str | None, start: float, default: float) -> float:
    """Parse a time option: seconds or `1h30m` from the recording's start, or Unix time.

    >>> parse_time("1h30m", 1000.0, 0.0), parse_time("90", 1000.0, 0.0), parse_time(None, 1000.0, 0.0)
    (6400.0, 1090.0, 0.0)
    """
    if text is None:
        return default
    match = re.fullmatch(r"(?:(\d+)h)?(?:(\d+)m)?(?:(\d+(?:\.\d+)?)s?)?", text)
    if not match or not text:
        raise change.InvalidChangeError(f"'{text}' is not a time; use 90, 1h30m or a Unix time")
    seconds = 3600 * int(match[1] or 0) + 60 * int(match[2] or 0) + float(match[3] or 0)
    return seconds if seconds > 1e8 else start + seconds


class Progress:
    """Progress on one line of a terminal; prints nothing if stderr is not a terminal."""

    def __init__(self, what: str):
        self.what, self.shown = what, sys.stderr.isatty()

    def __call__(self, done: int, total: int) -> None:
        if self.shown:
            end = "\n" if done == total else ""
            print(f"\r{self.what}: {done} of {total}", end=end, file=sys.stderr, flush=True)


def _raise_timeout(_number: int, _frame: object) -> None:
    raise PolicyFailedError(f"the policy took over {POLICY_TIMEOUT_S:g} s for one period: it loops, or is far too slow")


def _run(which: str, seed: int) -> Run:
    """Run the model once, in a worker process."""
    inferred: InferredDay = _work["inferred"]
    tried_change: change.Change = _work[which]
    signal.signal(signal.SIGALRM, _raise_timeout)

    def tick(_now: float) -> None:
        signal.setitimer(signal.ITIMER_REAL, POLICY_TIMEOUT_S)

    try:
        return Model(inferred, tried_change.settings, tried_change.make, seed, tick).run()
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)


def _check_rules() -> Any:
    recording: Recording = _work["recording"]
    rules = None
    for blocks in recording.incarnations.values():
        rules = verdict.check_rules(events_until(recording, blocks, _work["until"]), rules)
    return rules and (rules.violations, rules.more_violations, rules.max_messages_sent, rules.max_waiting_lines)


def events_until(recording: Recording, blocks: list, until: float):
    """The events of some blocks up to a time."""
    for event in recording.events(blocks):
        if not isinstance(event, Loss) and event[2] > until:
            return
        yield event


def start_of(recording: Recording) -> float:
    times = [x.header.begins_at for blocks in recording.incarnations.values() for x in blocks]
    if not times:
        raise change.InvalidChangeError("the recording holds no intact block")
    return times[0]


def infer_day(recording: Recording, since: float, until: float) -> InferredDay:
    inferred = InferredDay()
    for incarnation in recording.incarnations:
        parts = recording.parts(incarnation)
        selected_parts = [p for p in parts if p[-1].header.ends_at >= since and p[0].header.begins_at <= until]
        for event in events_until(recording, [x for p in selected_parts for x in p], until):
            inferred.add_event(event)
    inferred.losses = [x for x in inferred.losses if x.since > float("-inf")]
    if not inferred.lives or not inferred.reports:
        raise change.InvalidChangeError("the recording holds no load reports, which a what-if needs")
    return inferred.infer()


def what_if(recording: Recording, options: dict, since: float, until: float, jobs: int) -> verdict.Verdict:
    """Run the model under the recorded and the changed settings, and compare the results."""
    inferred = infer_day(recording, since, until)
    settings = inferred.lives[0].settings
    _work.update(
        inferred=inferred,
        recorded=change.read([], None, settings),
        tried=change.read(options["--set"], options["--policy"], settings),
    )
    tasks = [(which, seed) for seed in range(RUNS_PER_SETTING) for which in ("recorded", "tried")]
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
    return verdict.compare(
        inferred, *([runs[which, seed] for seed in range(RUNS_PER_SETTING)] for which in ("recorded", "tried"))
    )


def to_json_value(value: object) -> object:
    """Convert a value for JSON: named tuples to objects, infinite numbers to strings."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {k: to_json_value(v) for k, v in value._asdict().items()}
    if isinstance(value, dict):
        return {str(k): to_json_value(v) for k, v in value.items()}
    if isinstance(value, list | tuple):
        return [to_json_value(v) for v in value]
    return value if not isinstance(value, float) or abs(value) < float("inf") else str(value)


def format_time(at: float, start: float) -> str:
    """
    >>> format_time(5025.5, 1000.0), format_time(float("inf"), 0.0)
    ('1:07:05.5', 'the end')
    """
    if abs(at) == float("inf"):
        return "the end" if at > 0 else "the start"
    seconds = at - start
    return f"{int(seconds // 3600)}:{int(seconds // 60 % 60):02}:{seconds % 60:04.1f}"


def print_outcome(outcome: exact.Outcome, start: float, digest: str, print_line: Callable[[str], None]) -> None:
    print_line(
        f"{outcome.rounds} rounds and {outcome.orders} orders of {max(1, outcome.lives)} lives replayed, "
        f"{outcome.joints} checkpoints reproduced"
    )
    for x in outcome.stretches:
        print_line(f"  compared from {format_time(x.since, start)} to {format_time(x.until, start)}")
    for loss in outcome.losses[:MAX_ROWS_SHOWN]:
        count = f"{loss.frames} frames" if loss.frames else "the last moments"
        print_line(
            f"  not claimed: {count} from {format_time(loss.since, start)} to {format_time(loss.until, start)}: "
            f"{loss.why}"
        )
    for error in outcome.faults[:MAX_ROWS_SHOWN]:
        print_line(f"  damaged: {error}")
    others = [x for x in outcome.policies if x != digest]
    if others:
        print_line(f"  decided by another text of the policy than this one ({', '.join(others)}; this is {digest})")
    for d in outcome.divergences[:MAX_ROWS_SHOWN]:
        where = f"order {d.place + 1}" if d.place >= 0 else "the round"
        print_line(
            f"DIVERGED in {d.incarnation}, frame {d.number} at {format_time(d.at, start)}, {where}: "
            f"recorded {d.recorded}; replayed {d.replayed}"
        )
        for line in d.held:
            print_line(f"    {line}")
    print_line("exact" if outcome.exact else "NOT exact" if outcome.divergences else "nothing could be replayed")


def print_violations(breaks: list, more: int, start: float, under: str, print_line: Callable[[str], None]) -> None:
    for x in breaks[:MAX_ROWS_SHOWN]:
        how = "broken" if x.sure else "likely broken"
        print_line(f"  rule {x.rule} {how} {under} at {format_time(x.at, start)}, {x.whom}: {x.what}")
    if len(breaks) + more > MAX_ROWS_SHOWN:
        print_line(f"  and {len(breaks) + more - MAX_ROWS_SHOWN} more")


def print_verdict(results: verdict.Verdict, names: list[str], start: float, print_line: Callable[[str], None]) -> None:
    def format_estimate(x: verdict.Estimate) -> str:
        return f"{x.value:.3f} ({x.low:.3f} to {x.high:.3f})"

    print_line(f"what if {', '.join(names)}; all figures simulated, {results.runs} runs a side")
    print_line(
        f"  service by the recorded reports {results.heard:.3f}; the model under the recorded settings is off by "
        f"{results.error:+.3f}, by 10 s {results.error_span:.3f}"
    )
    print_line(f"  service under the other settings {format_estimate(results.tried.service)}")
    for k, (a, b) in enumerate(zip(results.recorded.methods, results.tried.methods)):
        print_line(f"    method {k}: {format_estimate(a)} recorded, {format_estimate(b)} tried")
    print_line(
        f"  lines ordered: {results.recorded.moves:.0f} under the recorded settings, {results.tried.moves:.0f} tried"
    )
    if results.apart_from is None:
        print_line("  the tables are the same all day")
    else:
        most = max(n for _, n in results.apart)
        print_line(f"  the tables differ from {format_time(results.apart_from, 0.0)} on, in up to {most} slices")
    if results.lost:
        print_line(f"  {results.lost:.1f} s of the day are not in the recording")
    print_violations(results.tried.breaks, results.tried.breaks_more, start, "under the other settings", print_line)
    verdicts = {
        "tried": "the other settings are better",
        "recorded": "the recorded settings are better",
        "cannot tell": "indistinguishable: closer than the model's error or chance",
    }
    print_line(
        f"{verdicts[results.better]} (difference {results.difference.value:+.3f}, distinguishable from "
        f"{results.margin:.3f} on)"
    )


def own_policy_digest() -> str:
    from knotwalk.net.conductor import policy_digest

    return policy_digest()


def replay(options: dict) -> int:
    """Run `knotwalk replay` with docopt's options and return the exit code."""

    def print_line(text: str) -> None:
        if not options["--json"]:
            print(text)

    started_at = time.monotonic()
    try:
        jobs = int(options["--jobs"] or exact.cores())
        if jobs < 1:
            raise ValueError
    except ValueError:
        print(f"knotwalk: --jobs {options['--jobs']}: expected an integer of at least 1", file=sys.stderr)
        return EXIT_UNUSABLE
    try:
        recording = Recording(options["RECORDING"], options["--conductor"])
        start = start_of(recording)
        since = parse_time(options["--from"], start, float("-inf"))
        until = parse_time(options["--to"], start, float("inf"))
        _work.update(recording=recording, until=until)
        output: dict = {"conductor": recording.conductor, "start": start}
        changed = options["--set"] or options["--policy"]
        if changed:
            results = what_if(recording, options, since, until, jobs)
            print_verdict(results, _work["tried"].names, start, print_line)
            output["what_if"] = {**to_json_value(results), "changes": _work["tried"].names}  # type: ignore[dict-item]
            code = EXIT_RULE_BROKEN if any(x.sure for x in results.tried.breaks) else EXIT_EXACT
        else:
            with ProcessPoolExecutor(1, multiprocessing.get_context("fork")) as pool:
                rules = pool.submit(_check_rules)
                outcome = exact.replay(recording, jobs, since, until, Progress("parts replayed"))
                rule_results = rules.result()
            print_outcome(outcome, start, own_policy_digest(), print_line)
            breaks, more, sent, waited = rule_results or ([], 0, 0, 0.0)
            if rule_results:
                print_line(
                    f"rules: {len(breaks) + more} breaks; {sent} messages to a proxy within the span and {waited:.0f} "
                    "lines waiting at most"
                )
                print_violations(breaks, more, start, "as recorded", print_line)
            output["exact"] = {**to_json_value(outcome), "exact": outcome.exact}  # type: ignore[dict-item]
            output["rules"] = to_json_value(breaks)
            code = (
                EXIT_UNUSABLE
                if not outcome.rounds
                else EXIT_DIVERGED
                if outcome.divergences
                else EXIT_RULE_BROKEN
                if any(x.sure for x in breaks)
                else EXIT_EXACT
            )
        if options["--html"]:
            from knotwalk.replay.report import write

            if not changed:
                raise change.InvalidChangeError("--html requires --set or --policy, since it shows a what-if")
            write(options["--html"], _work["inferred"], results, _work["tried"].names, recording.conductor)
            print_line(f"written: {options['--html']}")
    except (UnusableRecordingError, change.InvalidChangeError, SnapshotError, PolicyFailedError) as error:
        print(f"knotwalk: {' '.join(str(error).split())}", file=sys.stderr)
        return EXIT_UNUSABLE
    except OSError as error:
        print(f"knotwalk: {error.filename}: {error.strerror}", file=sys.stderr)
        return EXIT_UNUSABLE
    output["seconds"] = round(time.monotonic() - started_at, 2)
    if options["--json"]:
        print(json.dumps(output))
    return code

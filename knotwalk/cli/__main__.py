"""python -m knotwalk.cli: operators' questions, answered on the command line. `--help` says which."""

from __future__ import annotations

import asyncio
import json as json_text
import os
import sys
from collections.abc import Callable
from typing import Any, NoReturn

import fire

from knotwalk.cli import check as checks, compare, data_folder, rendering
from knotwalk.cli.configuration_client import ConfigurationClient, NoClearAnswerError
from knotwalk.configuration.change_requests import MalformedRequestError, parse_json
from knotwalk.configuration.documents import (
    InvalidConfigurationError,
    format_version,
    parse_configuration,
    parse_version,
    to_document,
)
from knotwalk.configuration.objects import Configuration, Limits
from knotwalk.consensus.store import StoreError
from knotwalk.runtime.errors import PeerError
from knotwalk.runtime.http_client import HttpClient

CALL_TIMEOUT_S = 3.0


def exit_with(code: int, *lines: str, trouble: str = "") -> NoReturn:
    """Print and end."""
    for line in lines:
        print(line)
    if trouble:
        print(f"cli: {trouble}", file=sys.stderr)
    sys.exit(code)


def to_json(value: Any) -> str:
    """A value as the commands print it in JSON."""
    return json_text.dumps(value, indent=1, ensure_ascii=False)


def read_file(path: str) -> bytes:
    """The bytes of a file; the program ends with 2 if it can't be read."""
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        exit_with(2, trouble=f"{path}: {error.strerror}")


def call_core(address: str, step: str, question: dict) -> Any:
    """A core's answer; ends with 2 where there is none."""

    async def once() -> Any:
        caller = HttpClient()
        try:
            return await caller.json("POST", f"http://{address}/{step}", question, CALL_TIMEOUT_S, step)
        finally:
            await caller.close()

    try:
        return asyncio.run(once())
    except PeerError as error:
        exit_with(2, trouble=str(error))


class Commands:
    """Questions about the system. None of them changes anything but `import` with --apply.

    Every command takes --json. Exit codes: 0 as asked; 1 the answer is no (mistakes found, configurations differ, a
    core that is not fresh, no route); 2 no answer (a file or a core that can't be read, or wrong use).
    """

    def check(self, file: str, json: bool = False) -> None:
        """Read a settings file or a configuration as the programs do: one line a mistake, with its place.

        Exit code 0: no mistake; 1: mistakes; 2: the file can't be opened.

        Args:
            file: the path; a file with `objects` or `config_version` is a configuration, any other a settings file.
            json: print {"file": ..., "what": ..., "mistakes": [{"place", "mistake"}, ...]} instead.
        """
        what, found = "", []
        try:
            what = checks.check_file(parse_json(read_file(file)))
        except MalformedRequestError as error:
            found = [(file, str(error))]
        except checks.FileMistakesError as group:
            found = [
                (one.location, one.mistake)
                if isinstance(one, InvalidConfigurationError)
                else (one.peer, str(one.reason))
                for one in group.exceptions
            ]
        if json:
            exit_with(
                int(bool(found)),
                to_json(
                    {
                        "file": file,
                        "what": what,
                        "mistakes": [{"place": place, "mistake": mistake} for place, mistake in found],
                    }
                ),
            )
        lines = [f"{place}: {mistake}" if place else mistake for place, mistake in found]
        exit_with(int(bool(found)), *(lines or [f"{what}: good"]))

    def diff(self, old: str, new: str, json: bool = False) -> None:
        """Tell two configurations apart in meaning: what clients would notice, one line a difference.

        Exit code 0: they mean the same; 1: they differ; 2: one of them can't be read or is invalid.

        Args:
            old: path of the one.
            new: path of the other.
            json: print {"old", "new", "differences": [{"kind", "name", "what", "detail"}, ...]} instead.
        """
        both = []
        for path in (old, new):
            try:
                both.append(parse_configuration(parse_json(read_file(path))))
            except (MalformedRequestError, InvalidConfigurationError) as error:
                exit_with(2, trouble=f"{path}: {error}")
        found = compare.differences(*both)
        if json:
            exit_with(
                int(bool(found)),
                to_json(
                    {
                        "old": format_version(both[0].version),
                        "new": format_version(both[1].version),
                        "differences": [one._asdict() for one in found],
                    }
                ),
            )
        exit_with(int(bool(found)), *([one.line() for one in found] or ["the same in meaning"]))

    def export(self, data_dir: str, keys: bool = False, json: bool = False) -> None:
        """Print the whole configuration that a core's data folder holds; with --keys, as it can be PUT again.

        Give it a copy of the folder, or the folder of a core that does not run. It is never written to. Standard error
        says how far the log goes: its last entries may not have been agreed on; compare the folders of two cores.
        Exit code 0: printed; 1: no configuration was taken there; 2: the folder can't be read.

        Args:
            data_dir: the folder.
            keys: print the keys of tenants, which are secret. Else they stand there as null, and `import` refuses that.
            json: print it within {"me", "config_version", "sure", "last", "last_term", ..., "history", "configuration"}
                instead; `history` has each version whose whole text is there. `import` reads that file, too.
        """
        try:
            told = data_folder.export_configuration(data_dir, keys)
        except (StoreError, ValueError, KeyError) as error:
            exit_with(2, trouble=str(error))
        if json:
            exit_with(int(told["configuration"] is None), to_json(told))
        trouble = (
            f"{told['config_version'] or 'no configuration'} of {told['me']}, log to entry {told['last']} of "
            f"term {told['last_term']}; surely agreed on: {told['sure'] or 'none'}"
        )
        if told["configuration"] is None:
            exit_with(1, trouble=trouble)
        exit_with(0, to_json(told["configuration"]), trouble=trouble)

    def status(self, address: str, json: bool = False) -> None:
        """A core's account of itself: members, term, leader, log, configuration, nodes, leases, edges.

        Exit code 0: the core is fresh (it has heard the leader a moment ago); 1: it is not; 2: no answer.

        Args:
            address: host:port, the first port of the internal range of a core machine.
            json: print the core's answer (openapi/peers.yaml) instead.
        """
        self._answer(call_core(address, "status", {}), json, rendering.render_status, lambda told: told["fresh"])

    def explain(self, address: str, host: str, path: str, key: str | None = None, json: bool = False) -> None:
        """Where a core holds that a request belongs: route, service, and with a key the owner line and its state.

        Exit code 0: there is a route; 1: there is none; 2: no answer.

        Args:
            address: host:port, the first port of the internal range of a core machine.
            host: as in the Host header.
            path: as in the request line.
            key: the request's Shard-Key.
            json: print the core's answer (openapi/peers.yaml) instead.
        """
        try:
            question = {"host": host, "path": path} | ({} if key is None else {"key": int(key)})
        except ValueError:
            exit_with(2, trouble=f"--key: a number from 0 to 65535, not {key}")
        self._answer(
            call_core(address, "explain", question),
            json,
            rendering.render_explanation,
            lambda told: told["route"] is not None,
        )

    @staticmethod
    def _answer(told: Any, json: bool, lines: Callable[[Any], list[str]], well: Callable[[Any], bool]) -> NoReturn:
        try:
            exit_with(int(not well(told)), *([to_json(told)] if json else lines(told)))
        except (KeyError, TypeError) as error:
            exit_with(
                2, trouble=f"the answer can't be read ({type(error).__name__} {error}): a core of another version?"
            )


def read_configurations(path: str, history: bool) -> list[dict]:
    """The configurations to offer from a file, oldest first: a configuration, or what `export --json` printed; ends
    with 2 where it can't be read, with 1 and a line a mistake where one is wrong."""
    try:
        value = parse_json(read_file(path))
    except MalformedRequestError as error:
        exit_with(2, trouble=f"{path}: {error}")
    if isinstance(value, dict) and "me" in value and "configuration" in value:
        kept = value.get("history") if history else None
        found = (
            [one.get("configuration") if isinstance(one, dict) else one for one in kept]
            if isinstance(kept, list)
            else [value["configuration"]]
        )
    else:
        found = [value]
    if history and (len(found) < 2 or found[-1] != value.get("configuration")):
        exit_with(
            2, trouble=f"{path}: holds no history; `export --json` prints one, where there is more than one version"
        )
    lines = []
    for one in found:
        try:
            checks.check_configuration(one)
        except checks.FileMistakesError as group:
            name = f"{one['config_version']}, " if len(found) > 1 and isinstance(one, dict) else ""
            lines += [f"{name}{mistake.location}: {mistake.mistake}" for mistake in group.exceptions]
    if lines:
        exit_with(1, *lines)
    return found


async def import_configurations(address: str, texts: list[dict], send: bool) -> tuple[int, list[str], str]:
    """Offer configurations one after another: exit code, lines, trouble. `texts` were checked."""
    caller, lines = HttpClient(), []
    operator = ConfigurationClient(address, caller)
    try:
        now = await operator.current()
        if now is not None and len(texts) > 1:
            return 1, [], f"{format_version(now.version)} is in force: a history can only be given to an empty system"
        for text in texts:
            fresh, at = parse_configuration(text), now.version if now else 0
            name = format_version(fresh.version)
            if now is not None and to_document(fresh) == to_document(now):
                return 0, [f"{name} is in force already"], ""
            if fresh.version <= at:
                return (
                    1,
                    [],
                    (
                        f"config_version: {name} is not above {format_version(at)}, which is in force; "
                        "--version gives it another"
                    ),
                )
            lines += [one.line() for one in compare.differences(now or Configuration(0, {}, {}, Limits()), fresh)]
            if send:
                reply = await operator.call("PUT", text, at)
                if reply.status != 200:
                    return 1, lines, f"{name} was refused, nothing has changed: {reply.body.get('error')}"
                back = await operator.current()
                if (
                    back is None
                    or back.version < fresh.version
                    or (back.version == fresh.version and to_document(back) != to_document(fresh))
                ):
                    return 1, lines, f"{name} was taken, but reads back otherwise"
            lines.append(f"{name} is in force" if send else f"{name} would be sent on top of {format_version(at)}")
            now = fresh
        return 0, lines, "" if send else "nothing was sent; --apply does"
    except NoClearAnswerError as error:
        return 2, lines, f"no clear answer, send it again: {error}"
    finally:
        await caller.close()


def import_command(
    _self: Commands,
    file: str,
    address: str,
    apply: bool = False,
    version: str | None = None,
    history: bool = False,
    json: bool = False,
) -> None:
    """Offer a configuration to a running system; without --apply only tell what would change.

    The file is checked as by `check` first. Then it is PUT on top of what is in force at that moment, again until an
    answer is clear, and read back: it is taken whole or not at all, and somebody else's change in between is never
    lost. Exit code 0: in force, or would be sent; 1: mistakes, or refused, with one line why; 2: no answer.

    Args:
        file: path of a configuration, or of what `export --json` printed.
        address: host:port, the control port of any core machine.
        apply: send it.
        version: its config_version, where that of the file is not above the one in force.
        history: send each version that the export holds, oldest first; only to a system that has no configuration yet,
            since each is in force for a moment. What it was in the log, when it was taken and the owners of keys stay
            behind.
        json: print {"code", "lines", "trouble"} instead.
    """
    texts = read_configurations(file, history)
    if version is not None:
        try:
            parse_version(version)
        except ValueError as error:
            exit_with(2, trouble=f"--version: {error}")
        texts[-1] = texts[-1] | {"config_version": version}
    code, lines, trouble = asyncio.run(import_configurations(address, texts, apply))
    if json:
        exit_with(code, to_json({"code": code, "lines": lines, "trouble": trouble}))
    exit_with(code, *lines, trouble=trouble)


setattr(Commands, "import", import_command)  # a word of Python's own


def quote_arguments(given: list[str]) -> list[str]:
    """The command line for fire, which would read `1.10` as a number and take what follows --json as its value.

    >>> quote_arguments(["explain", "--json", "10.0.0.1:7660", "1.10", "/a/", "--key", "7"])
    ['explain', "'10.0.0.1:7660'", "'1.10'", "'/a/'", '--key', "'7'", '--json']
    """
    flags = [one for one in ("--json", "--apply", "--history", "--keys") if one in given]
    plain = [one if one.startswith("-") else repr(one) for one in given[1:] if one not in flags]
    return given[:1] + plain + flags


def main() -> None:
    """Run one command of the command line."""
    try:
        fire.Fire(Commands, quote_arguments(sys.argv[1:]), name="cli")
        sys.stdout.flush()
    except BrokenPipeError:  # whoever read it has seen enough; nothing may be written at the end either
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(2)


if __name__ == "__main__":
    main()

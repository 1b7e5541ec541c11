"""The operators' command line: `python -m knotwalk.cli`; `--help` lists the commands."""

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


def exit_with(code: int, *lines: str, message: str = "") -> NoReturn:
    """Print the lines to standard output and the message to standard error, and exit."""
    for line in lines:
        print(line)
    if message:
        print(f"cli: {message}", file=sys.stderr)
    sys.exit(code)


def to_json(value: Any) -> str:
    """A value as the commands print it with --json."""
    return json_text.dumps(value, indent=1, ensure_ascii=False)


def read_file(path: str) -> bytes:
    """The bytes of a file; exits with 2 if it can't be read."""
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        exit_with(2, message=f"{path}: {error.strerror}")


def call_core(address: str, step: str, request: dict) -> Any:
    """A core's answer to a call on its internal port; exits with 2 if there is none."""

    async def send_request() -> Any:
        client = HttpClient()
        try:
            return await client.json("POST", f"http://{address}/{step}", request, CALL_TIMEOUT_S, step)
        finally:
            await client.close()

    try:
        return asyncio.run(send_request())
    except PeerError as error:
        exit_with(2, message=str(error))


class Commands:
    """Commands for operators. None of them changes anything, other than `import` with --apply.

    Every command takes --json. Exit codes: 0 success; 1 the answer is no (mistakes found, configurations differ, the
    core is not fresh, no route); 2 no answer (a file or a core that can't be read, or wrong usage).
    """

    def check(self, file: str, json: bool = False) -> None:
        """Parse a settings file or a configuration as the programs do: one line a mistake, with its place.

        Exit code 0: no mistake; 1: mistakes; 2: the file can't be opened.

        Args:
            file: the path; a file with `objects` or `config_version` is a configuration, any other a settings file.
            json: print {"file": ..., "what": ..., "mistakes": [{"place", "mistake"}, ...]} instead.
        """
        summary, mistakes = "", []
        try:
            summary = checks.check_file(parse_json(read_file(file)))
        except MalformedRequestError as error:
            mistakes = [(file, str(error))]
        except checks.FileMistakesError as group:
            mistakes = [
                (error.location, error.mistake)
                if isinstance(error, InvalidConfigurationError)
                else (error.peer, str(error.reason))
                for error in group.exceptions
            ]
        if json:
            exit_with(
                int(bool(mistakes)),
                to_json(
                    {
                        "file": file,
                        "what": summary,
                        "mistakes": [{"place": place, "mistake": mistake} for place, mistake in mistakes],
                    }
                ),
            )
        lines = [f"{place}: {mistake}" if place else mistake for place, mistake in mistakes]
        exit_with(int(bool(mistakes)), *(lines or [f"{summary}: good"]))

    def diff(self, old: str, new: str, json: bool = False) -> None:
        """Compare two configurations by meaning: one line for each difference that clients would notice.

        Exit code 0: they have the same meaning; 1: they differ; 2: one of them can't be read or is invalid.

        Args:
            old: path of the old configuration.
            new: path of the new configuration.
            json: print {"old", "new", "differences": [{"kind", "name", "what", "detail"}, ...]} instead.
        """
        configurations = []
        for path in (old, new):
            try:
                configurations.append(parse_configuration(parse_json(read_file(path))))
            except (MalformedRequestError, InvalidConfigurationError) as error:
                exit_with(2, message=f"{path}: {error}")
        differences = compare.differences(*configurations)
        if json:
            exit_with(
                int(bool(differences)),
                to_json(
                    {
                        "old": format_version(configurations[0].version),
                        "new": format_version(configurations[1].version),
                        "differences": [difference._asdict() for difference in differences],
                    }
                ),
            )
        exit_with(
            int(bool(differences)), *([difference.line() for difference in differences] or ["the same in meaning"])
        )

    def export(self, data_dir: str, keys: bool = False, json: bool = False) -> None:
        """Print the full configuration in a core's data folder; with --keys, in a form that can be PUT again.

        Give it a copy of the folder, or the folder of a core that is not running. Nothing is written there. Standard
        error says how far the log goes: its last entries may not have been committed; compare the folders of two cores.
        Exit code 0: printed; 1: the folder holds no configuration; 2: the folder can't be read.

        Args:
            data_dir: the folder.
            keys: print the tenants' keys, which are secret. Without it "withheld" stands for them, and `import` refuses
                the result.
            json: print it within {"me", "config_version", "sure", "last", "last_term", ..., "history", "configuration"}
                instead; `history` has each version whose full text is in the folder. `import` reads this form as well.
        """
        try:
            exported = data_folder.export_configuration(data_dir, keys)
        except (StoreError, ValueError, KeyError) as error:
            exit_with(2, message=str(error))
        if json:
            exit_with(int(exported["configuration"] is None), to_json(exported))
        message = (
            f"{exported['config_version'] or 'no configuration'} of {exported['me']}, log to entry {exported['last']} "
            f"of term {exported['last_term']}; surely agreed on: {exported['sure'] or 'none'}"
        )
        if exported["configuration"] is None:
            exit_with(1, message=message)
        exit_with(0, to_json(exported["configuration"]), message=message)

    def status(self, address: str, json: bool = False) -> None:
        """Print a core's status: members, term, leader, log, configuration, nodes, leases, edges.

        Exit code 0: the core is fresh (it heard from the leader within the last moments); 1: it is not; 2: no answer.

        Args:
            address: host:port, the first port of the internal range of a core machine.
            json: print the core's answer (openapi/peers.yaml) instead.
        """
        self._print_answer(
            call_core(address, "status", {}), json, rendering.render_status, lambda answer: answer["fresh"]
        )

    def explain(self, address: str, host: str, path: str, key: str | None = None, json: bool = False) -> None:
        """Print where a core would send a request: route and service, with a key also the slice's owner and state.

        Exit code 0: there is a route; 1: there is none; 2: no answer.

        Args:
            address: host:port, the first port of the internal range of a core machine.
            host: as in the Host header.
            path: as in the request line.
            key: the request's Shard-Key.
            json: print the core's answer (openapi/peers.yaml) instead.
        """
        try:
            request = {"host": host, "path": path} | ({} if key is None else {"key": int(key)})
        except ValueError:
            exit_with(2, message=f"--key: must be a number from 0 to 65535, not {key}")
        self._print_answer(
            call_core(address, "explain", request),
            json,
            rendering.render_explanation,
            lambda answer: answer["route"] is not None,
        )

    @staticmethod
    def _print_answer(
        answer: Any, json: bool, render: Callable[[Any], list[str]], is_success: Callable[[Any], bool]
    ) -> NoReturn:
        try:
            exit_with(int(not is_success(answer)), *([to_json(answer)] if json else render(answer)))
        except (KeyError, TypeError) as error:
            exit_with(
                2,
                message=f"cannot interpret the core's answer ({type(error).__name__} {error}): "
                "it may run another version",
            )


def read_configurations(path: str, history: bool) -> list[dict]:
    """The configurations to import from a file, oldest first.

    The file holds a configuration, or the output of `export --json`. Exits with 2 if it can't be read, and with 1 and a
    line a mistake if a configuration is invalid.
    """
    try:
        value = parse_json(read_file(path))
    except MalformedRequestError as error:
        exit_with(2, message=f"{path}: {error}")
    if isinstance(value, dict) and "me" in value and "configuration" in value:
        versions = value.get("history") if history else None
        documents = (
            [version.get("configuration") if isinstance(version, dict) else version for version in versions]
            if isinstance(versions, list)
            else [value["configuration"]]
        )
    else:
        documents = [value]
    if history and (len(documents) < 2 or documents[-1] != value.get("configuration")):
        exit_with(
            2,
            message=f"{path}: holds no history; `export --json` prints one, where there is more than one version",
        )
    lines = []
    for document in documents:
        try:
            checks.check_configuration(document)
        except checks.FileMistakesError as group:
            version = f"{document['config_version']}, " if len(documents) > 1 and isinstance(document, dict) else ""
            lines += [f"{version}{error.location}: {error.mistake}" for error in group.exceptions]
    if lines:
        exit_with(1, *lines)
    return documents


async def import_configurations(address: str, documents: list[dict], send: bool) -> tuple[int, list[str], str]:
    """Import valid configurations one after another: the exit code, the lines for standard output, and the message.

    Without `send` only the differences are listed.
    """
    client, lines = HttpClient(), []
    configuration_client = ConfigurationClient(address, client)
    try:
        current = await configuration_client.current()
        if current is not None and len(documents) > 1:
            return (
                1,
                [],
                f"{format_version(current.version)} is in force: a history can only be given to an empty system",
            )
        for document in documents:
            new, base = parse_configuration(document), current.version if current else 0
            name = format_version(new.version)
            if current is not None and to_document(new) == to_document(current):
                return 0, [f"{name} is in force already"], ""
            if new.version <= base:
                return (
                    1,
                    [],
                    (
                        f"config_version: {name} is not above {format_version(base)}, which is in force; "
                        "--version gives it another"
                    ),
                )
            lines += [
                difference.line()
                for difference in compare.differences(current or Configuration(0, {}, {}, Limits()), new)
            ]
            if send:
                reply = await configuration_client.call("PUT", document, base)
                if reply.status != 200:
                    return 1, lines, f"{name} was refused, nothing has changed: {reply.body.get('error')}"
                read_back = await configuration_client.current()
                if (
                    read_back is None
                    or read_back.version < new.version
                    or (read_back.version == new.version and to_document(read_back) != to_document(new))
                ):
                    return 1, lines, f"{name} was taken, but reads back otherwise"
            lines.append(f"{name} is in force" if send else f"{name} would be sent on top of {format_version(base)}")
            current = new
        return 0, lines, "" if send else "nothing was sent; --apply does"
    except NoClearAnswerError as error:
        return 2, lines, f"no clear answer, send it again: {error}"
    finally:
        await client.close()


def import_command(
    _self: Commands,
    file: str,
    address: str,
    apply: bool = False,
    version: str | None = None,
    history: bool = False,
    json: bool = False,
) -> None:
    """Import a configuration into a running system; without --apply only list what would change.

    The file is first checked as by `check`. It is then PUT with the version in force at that moment as its base,
    repeated until an answer is clear, and read back. It is taken as a whole or not at all, and a change that somebody
    else makes in between is never overwritten. Exit code 0: in force, or would be sent; 1: mistakes, or refused, with
    the reason in one line; 2: no answer.

    Args:
        file: path of a configuration, or of the output of `export --json`.
        address: host:port, the control port of any core machine.
        apply: send it.
        version: the config_version to send it with, if that of the file is not above the one in force.
        history: send each version that the export holds, oldest first; only to a system that has no configuration yet,
            since each is in force for a moment. Positions in the log, times and the owners of keys are not restored.
        json: print {"code", "lines", "trouble"} instead.
    """
    documents = read_configurations(file, history)
    if version is not None:
        try:
            parse_version(version)
        except ValueError as error:
            exit_with(2, message=f"--version: {error}")
        documents[-1] = documents[-1] | {"config_version": version}
    code, lines, message = asyncio.run(import_configurations(address, documents, apply))
    if json:
        exit_with(code, to_json({"code": code, "lines": lines, "trouble": message}))
    exit_with(code, *lines, message=message)


setattr(Commands, "import", import_command)  # `import` is a keyword, so that the method can't be defined by name


def quote_arguments(arguments: list[str]) -> list[str]:
    """Quote the command line for fire, which would read `1.10` as a number and an argument after --json as its value.

    >>> quote_arguments(["explain", "--json", "10.0.0.1:7660", "1.10", "/a/", "--key", "7"])
    ['explain', "'10.0.0.1:7660'", "'1.10'", "'/a/'", '--key', "'7'", '--json']
    """
    flags = [flag for flag in ("--json", "--apply", "--history", "--keys") if flag in arguments]
    values = [
        argument if argument.startswith("-") else repr(argument) for argument in arguments[1:] if argument not in flags
    ]
    return arguments[:1] + values + flags


def main() -> None:
    """Run the command that the command line names."""
    try:
        fire.Fire(Commands, quote_arguments(sys.argv[1:]), name="cli")
        sys.stdout.flush()
    except BrokenPipeError:  # the reader closed the pipe; the interpreter must not write to it at exit either
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(2)


if __name__ == "__main__":
    main()

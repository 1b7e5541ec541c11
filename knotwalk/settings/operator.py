"""The operator's settings file: blocks and fields with units, accepted as a whole or rejected with all its errors.

An error is one line, `file:line: what is wrong; what would be right`. `docs/guides/replay.md` has an example file.

    python -m knotwalk.settings.operator FILE       # prints the settings as JSON, or the errors on standard error
"""

import json
import re
import subprocess
import sys
from collections.abc import Callable
from typing import Any, NamedTuple

SIZES = {"B": 1.0, "KiB": 2.0**10, "MiB": 2.0**20, "GiB": 2.0**30, "TiB": 2.0**40}
TIMES = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
MAX_FILE_BYTES = 1 << 20  # a whole fleet's settings take some ten thousand


class SettingsError(Exception):
    """The file cannot be used; the text has one line for each error, in the file's order."""


class RecordSettings(NamedTuple):
    """The `record` block: the recording of rounds."""

    enabled: bool = False
    path: str = ""
    budget: float = 20 * 1024**3  # bytes of all segments
    segment: float = 64 * 1024**2  # bytes of a segment file
    segment_age: float = 3600.0  # seconds
    checkpoint: float = 60.0  # seconds between checkpoints


class PubsubSettings(NamedTuple):
    """The `pubsub` block: the port that publishes tables to subscribers."""

    enabled: bool = False
    listen: str = ""
    secrets: str = ""  # path of a file, like the next three
    certificate: str = ""
    private_key: str = ""
    client_ca: str = ""
    keep: str = ""  # folder that keeps epoch and versions over restarts; empty: each start is a new epoch
    subscribers: float = 4096  # the most streams


class OperatorSettings(NamedTuple):
    """The whole file."""

    record: RecordSettings = RecordSettings()
    pubsub: PubsubSettings = PubsubSettings()


def unit(units: dict[str, float], what: str, example: str) -> Callable[[Any], float]:
    def read(value: Any) -> float:
        match = re.fullmatch(r"(\d+(?:\.\d+)?) ?([A-Za-z]+)", value) if isinstance(value, str) else None
        if match is None or match[2] not in units:
            raise ValueError(f"is not a {what}; for example {example}")
        return float(match[1]) * units[match[2]]

    return read


def flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError("is neither true nor false")
    return value


def text(value: Any) -> str:
    if not isinstance(value, str) or not value or "\0" in value:
        raise ValueError('is not a text; for example "like this"')
    return value


def address(value: Any) -> str:
    host, _, port = text(value).rpartition(":")
    if not host or not port.isdigit() or not int(port) < 65536:
        raise ValueError('is not an address with a port; for example "127.0.0.1:3100"')
    return value


def number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError("is not a whole number; for example 4096")
    return value


size, seconds = unit(SIZES, "size", '"64MiB"'), unit(TIMES, "time", '"60s"')

# By block and field: the parser, the lowest and the highest value (0: no range).
FIELDS: dict[str, dict[str, tuple[Callable[[Any], Any], float, float]]] = {
    "record": {
        "enabled": (flag, 0, 1),
        "path": (text, 0, 0),
        "budget": (size, 1 << 20, 1 << 50),
        "segment": (size, 1 << 16, 1 << 32),
        "segment_age": (seconds, 1, 86400 * 7),
        "checkpoint": (seconds, 1, 3600),
    },
    "pubsub": {
        "enabled": (flag, 0, 1),
        "listen": (address, 0, 0),
        "secrets": (text, 0, 0),
        "certificate": (text, 0, 0),
        "private_key": (text, 0, 0),
        "client_ca": (text, 0, 0),
        "keep": (text, 0, 0),
        "subscribers": (number, 1, 100_000),
    },
}


def value_of(tree: Any) -> Any:
    """A plain value: text, number, true or false; None for anything else that HCL's syntax allows."""
    import hcl2

    source = hcl2.reconstruct(tree).strip()
    if source in ("true", "false"):
        return source == "true"
    if re.fullmatch(r'"[^"\\$%]*"', source):
        return source[1:-1]
    try:
        return int(source) if re.fullmatch(r"-?\d+", source) else float(source)
    except ValueError:
        return None


def read(source: str, file: str) -> OperatorSettings:
    """Parse a file's text; raises SettingsError."""
    import hcl2
    from lark import Tree
    from lark.exceptions import UnexpectedInput

    if len(source) > MAX_FILE_BYTES:
        raise SettingsError(f"{file}: {len(source)} bytes; {MAX_FILE_BYTES} at most")
    try:
        tree = hcl2.parses_to_tree(source if source.endswith("\n") else source + "\n")
    except UnexpectedInput as fault:
        raise SettingsError(f"{file}:{max(fault.line, 1)}: this cannot be read as HCL") from None
    except RecursionError:
        raise SettingsError(f"{file}: nested too deeply") from None
    errors: list[str] = []
    blocks: dict[str, dict[str, Any]] = {}
    for node in tree.children[0].children:
        if not isinstance(node, Tree) or node.data not in ("block", "attribute"):
            continue
        name = str(node.children[0].children[0])
        place = f"{file}:{node.meta.line}"
        if node.data == "attribute":
            errors.append(f"{place}: '{name}' is outside of a block; it belongs in one of {', '.join(FIELDS)}")
        elif name not in FIELDS:
            errors.append(f"{place}: no such block '{name}'; there are {', '.join(FIELDS)}")
        elif name in blocks:
            errors.append(f"{place}: a second block '{name}'; only one is allowed")
        else:
            blocks[name] = parse_block(node, name, file, errors)
    record = RecordSettings(**blocks.get("record", {}))
    if not errors and record.enabled and not record.path:
        errors.append(f'{file}: record is enabled without a path; for example path = "/folder"')
    if not errors and record.segment > record.budget / 2:
        errors.append(f"{file}: record.segment is more than half of record.budget; two segments must fit")
    pubsub = PubsubSettings(**blocks.get("pubsub", {}))
    if not errors and pubsub.enabled and not pubsub.listen:
        errors.append(f'{file}: pubsub is enabled without an address; for example listen = "127.0.0.1:3100"')
    if not errors and pubsub.client_ca and not pubsub.certificate:
        errors.append(f"{file}: pubsub.client_ca requires pubsub.certificate, since it is for TLS")
    if errors:
        raise SettingsError("\n".join(errors))
    return OperatorSettings(record, pubsub)


def parse_block(node: Any, name: str, file: str, errors: list[str]) -> dict[str, Any]:
    """The fields of one block; what is wrong is added to `errors`."""
    from lark import Tree

    fields: dict[str, Any] = {}
    body = next(x for x in node.children if isinstance(x, Tree) and x.data == "body")
    for field in body.children:
        if not isinstance(field, Tree) or field.data not in ("block", "attribute"):
            continue
        key, place = str(field.children[0].children[0]), f"{file}:{field.meta.line}"
        if key not in FIELDS[name] or field.data == "block":
            errors.append(f"{place}: no such field '{name}.{key}'; there are {', '.join(FIELDS[name])}")
        elif key in fields:
            errors.append(f"{place}: '{name}.{key}' is set a second time")
        else:
            parse, minimum, maximum = FIELDS[name][key]
            try:
                fields[key] = parse(value_of(field.children[-1]))
                if maximum and not minimum <= fields[key] <= maximum:
                    raise ValueError(
                        f"is out of range; allowed are {minimum:g} to {maximum:g} bytes, seconds or streams"
                    )
            except ValueError as fault:
                errors.append(f"{place}: '{name}.{key}' {fault}")
    return fields


def load(path: str) -> OperatorSettings:
    """Read a file; raises SettingsError."""
    try:
        with open(path, encoding="utf-8") as file:
            return read(file.read(MAX_FILE_BYTES + 1), path)
    except OSError as fault:
        raise SettingsError(f"{path}: {fault.strerror}") from None
    except UnicodeDecodeError:
        raise SettingsError(f"{path}: not UTF-8") from None


def load_in_subprocess(path: str) -> OperatorSettings:
    """Read a file in a separate process, so that the parser's memory (14 MB) is freed at its end; raises
    SettingsError."""
    done = subprocess.run([sys.executable, "-m", "knotwalk.settings.operator", path], capture_output=True, text=True)
    if done.returncode:
        raise SettingsError(
            done.stderr.strip() or f"{path}: the process that read it ended with exit code {done.returncode}"
        )
    payload = json.loads(done.stdout)
    return OperatorSettings(RecordSettings(**payload["record"]), PubsubSettings(**payload["pubsub"]))


def main(path: str) -> int:
    try:
        settings = load(path)
    except SettingsError as fault:
        print(fault, file=sys.stderr)
        return 2
    except ImportError as fault:
        print(f"--operator requires {fault.name}; install it with pip install 'knotwalk[operator]'", file=sys.stderr)
        return 2
    print(json.dumps({"record": settings.record._asdict(), "pubsub": settings.pubsub._asdict()}))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))

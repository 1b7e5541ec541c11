"""The operator's file: blocks and fields with units, read whole or refused with every mistake once.

A mistake is one line, `file:line: what is wrong; what would be right`. `docs/guides/replay.md` has an example.

    python -m knotwalk.settings.operator FILE       # what it says as JSON, or the mistakes on standard error
"""

import json
import re
import subprocess
import sys
from collections.abc import Callable
from typing import Any, NamedTuple

SIZES = {"B": 1.0, "KiB": 2.0**10, "MiB": 2.0**20, "GiB": 2.0**30, "TiB": 2.0**40}
TIMES = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
FILE_MOST = 1 << 20  # bytes of a file: a whole fleet's settings take some ten thousand


class Refused(Exception):
    """The file cannot be used; its text is one line a mistake, in the file's order."""


class Record(NamedTuple):
    """Recording, as the operator wants it."""

    enabled: bool = False
    path: str = ""
    budget: float = 20 * 1024**3  # bytes in all
    segment: float = 64 * 1024**2  # bytes of a file
    segment_age: float = 3600.0  # seconds
    checkpoint: float = 60.0  # seconds between checkpoints


class Pubsub(NamedTuple):
    """The publisher's port, as the operator wants it."""

    enabled: bool = False
    listen: str = ""
    secrets: str = ""  # files
    certificate: str = ""
    private_key: str = ""
    client_ca: str = ""
    keep: str = ""  # folder in which epoch and versions outlive the process; empty: a new epoch each time
    subscribers: float = 4096  # streams at most


class Operator(NamedTuple):
    """All that the file says."""

    record: Record = Record()
    pubsub: Pubsub = Pubsub()


def unit(units: dict[str, float], what: str, example: str) -> Callable[[Any], float]:
    def read(value: Any) -> float:
        match = re.fullmatch(r"(\d+(?:\.\d+)?) ?([A-Za-z]+)", value) if isinstance(value, str) else None
        if match is None or match[2] not in units:
            raise ValueError(f"is no {what}; {example} would be one")
        return float(match[1]) * units[match[2]]

    return read


def flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError("is neither true nor false")
    return value


def text(value: Any) -> str:
    if not isinstance(value, str) or not value or "\0" in value:
        raise ValueError('is no text; "like this" would be one')
    return value


def address(value: Any) -> str:
    host, _, port = text(value).rpartition(":")
    if not host or not port.isdigit() or not int(port) < 65536:
        raise ValueError('is no address with a port; "127.0.0.1:3100" would be one')
    return value


def number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError("is no whole number; 4096 would be one")
    return value


size, seconds = unit(SIZES, "size", '"64MiB"'), unit(TIMES, "time", '"60s"')

# By block: the fields, how each is read, and its least and most.
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
    """A plain value: text, whole number, figure or yes and no; None for whatever else the syntax allows."""
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


def read(source: str, file: str) -> Operator:
    """The file's text as settings; raises Refused."""
    import hcl2
    from lark import Tree
    from lark.exceptions import UnexpectedInput

    if len(source) > FILE_MOST:
        raise Refused(f"{file}: {len(source)} bytes; {FILE_MOST} at most")
    try:
        tree = hcl2.parses_to_tree(source if source.endswith("\n") else source + "\n")
    except UnexpectedInput as fault:
        raise Refused(f"{file}:{max(fault.line, 1)}: this cannot be read as HCL") from None
    except RecursionError:
        raise Refused(f"{file}: nested too deeply to be read") from None
    faults: list[str] = []
    found: dict[str, dict[str, Any]] = {}
    for node in tree.children[0].children:
        if not isinstance(node, Tree) or node.data not in ("block", "attribute"):
            continue
        name = str(node.children[0].children[0])
        at = f"{file}:{node.meta.line}"
        if node.data == "attribute":
            faults.append(f"{at}: '{name}' stands in no block; it belongs into one of {', '.join(FIELDS)}")
        elif name not in FIELDS:
            faults.append(f"{at}: no such block '{name}'; there are {', '.join(FIELDS)}")
        elif name in found:
            faults.append(f"{at}: a second block '{name}'; there may be one")
        else:
            found[name] = block(node, name, file, faults)
    record = Record(**found.get("record", {}))
    if not faults and record.enabled and not record.path:
        faults.append(f'{file}: record is enabled without a path; path = "/folder" would say where')
    if not faults and record.segment > record.budget / 2:
        faults.append(f"{file}: record.segment is more than half of record.budget; two segments must fit")
    pubsub = Pubsub(**found.get("pubsub", {}))
    if not faults and pubsub.enabled and not pubsub.listen:
        faults.append(f'{file}: pubsub is enabled without an address; listen = "127.0.0.1:3100" would be one')
    if not faults and pubsub.client_ca and not pubsub.certificate:
        faults.append(f"{file}: pubsub.client_ca wants pubsub.certificate too, since it is for TLS")
    if faults:
        raise Refused("\n".join(faults))
    return Operator(record, pubsub)


def block(node: Any, name: str, file: str, faults: list[str]) -> dict[str, Any]:
    """The fields of one block; mistakes are added to the faults."""
    from lark import Tree

    out: dict[str, Any] = {}
    body = next(x for x in node.children if isinstance(x, Tree) and x.data == "body")
    for field in body.children:
        if not isinstance(field, Tree) or field.data not in ("block", "attribute"):
            continue
        key, at = str(field.children[0].children[0]), f"{file}:{field.meta.line}"
        if key not in FIELDS[name] or field.data == "block":
            faults.append(f"{at}: no such field '{name}.{key}'; there are {', '.join(FIELDS[name])}")
        elif key in out:
            faults.append(f"{at}: '{name}.{key}' stands there a second time")
        else:
            reader, least, most = FIELDS[name][key]
            try:
                out[key] = reader(value_of(field.children[-1]))
                if most and not least <= out[key] <= most:
                    raise ValueError(f"is out of range; {least:g} to {most:g} in its smallest unit would be right")
            except ValueError as fault:
                faults.append(f"{at}: '{name}.{key}' {fault}")
    return out


def load(path: str) -> Operator:
    """Read a file; raises Refused."""
    try:
        with open(path, encoding="utf-8") as file:
            return read(file.read(FILE_MOST + 1), path)
    except OSError as fault:
        raise Refused(f"{path}: {fault.strerror}") from None
    except UnicodeDecodeError:
        raise Refused(f"{path}: not UTF-8") from None


def load_apart(path: str) -> Operator:
    """Read a file in a process of its own, so that what the parser takes (14 MB) goes when it is done; raises
    Refused."""
    done = subprocess.run([sys.executable, "-m", "knotwalk.settings.operator", path], capture_output=True, text=True)
    if done.returncode:
        raise Refused(done.stderr.strip() or f"{path}: its reader ended with exit code {done.returncode}")
    told = json.loads(done.stdout)
    return Operator(Record(**told["record"]), Pubsub(**told["pubsub"]))


def main(path: str) -> int:
    try:
        told = load(path)
    except Refused as fault:
        print(fault, file=sys.stderr)
        return 2
    except ImportError as fault:
        print(f"--operator wants {fault.name}; pip install 'knotwalk[operator]' brings it", file=sys.stderr)
        return 2
    print(json.dumps({"record": told.record._asdict(), "pubsub": told.pubsub._asdict()}))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))

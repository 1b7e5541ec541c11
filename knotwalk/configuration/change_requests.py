"""The decision on an operator's call: what to answer, and what to propose to the agreed log. Nothing is kept here.

A status of 200 means only that the change may be proposed. Whoever applies it from the log looks again: it is in force
if the version it was built on is still the current one then, and was there before if `History.holds` it.

A 412 or 400 is a promise: this very call was not taken and, sent again as it is, never will be while the versions rise.
Where that can't be told the answer is 503.
"""

from __future__ import annotations

import hashlib
import json
import re
from dataclasses import dataclass

from knotwalk.configuration.documents import (
    Invalid,
    document,
    patched,
    read_configuration,
    shown,
    version_number,
    version_text,
)
from knotwalk.configuration.history import History, Standing
from knotwalk.configuration.objects import Configuration, Limits

# A route is about 350 bytes: room for some 45,000 of them, and no more memory than a small core has.
MOST_BYTES = 16 * 1024 * 1024
# What an order or the configuration that it makes may take of a core's disk: the state put down last, the log of a
# quarter of the disk (`control_plane.compaction`), one more order, the log's second copy in SQLite's own, and the next
# state then fit side by side, whatever comes at once. A disk that could not take a write would refuse all that follow.
DISK_PART = 1 / 8
ITEM_MOST = 2000  # bytes: items longer than this on average are counted one by one
# Items are five deep; the rest is for fields that are kept unread. Far from where Python's own readers give up.
MOST_DEEP = 32

IF_MATCH = re.compile(r'("?)r?(\d{1,18})\1', re.ASCII)
PLACE = re.compile(r"[A-Za-z_.-]+(?=[:\[ ])", re.ASCII)

# Of an order that can no longer be told from a taken one: what to do instead, since sending it again won't help.
UNKNOWN = "too old to be told from an order that was taken: read the configuration and build on that"

# What is answered on /configuration. 503: nothing agreed, the outcome not known, or an order that can't be told.
STATUSES = {"get": (200, 404, 503), "put": (200, 400, 412, 413, 503), "patch": (200, 400, 412, 413, 503)}


class Unreadable(Exception):
    """A call, or the JSON of its body, that is not as it should be; the text says where."""


def refused_place(message: str) -> str:
    """Where an order that was refused with 400 is wrong: a field, or the kind of an object, without any name.

    >>> refused_place('route "r": timeout is 0'), refused_place("objects[7]: must be an object, not 7")
    ('route', 'objects')
    """
    found = PLACE.match(message)
    return found[0] if found else "other"


@dataclass(frozen=True)
class Verdict:
    """The answer to a call, and with a 200 that is not `same` the change to propose.

    `base` and `version` are the numbers of the version built on and of the one made; `current` the one in force."""

    status: int
    message: str
    current: int = 0
    configuration: Configuration | None = None
    document: dict | None = None
    same: bool = False
    base: int = 0
    version: int = 0
    digest: str = ""

    def body(self) -> dict[str, str]:
        """The answer's JSON body; of a 200, once the change is in force."""
        if self.status == 200:
            return {"config_version": version_text(self.version)}
        if self.status == 412:
            return {"error": self.message, "config_version": version_text(self.current)}
        return {"error": self.message}


def _once(pairs: list[tuple[str, object]]) -> dict:
    fields = dict(pairs)
    if len(fields) < len(pairs):
        seen: set[str] = set()
        twice = next(name for name, _ in pairs if name in seen or seen.add(name))
        raise Unreadable(f"the field {shown(twice)} stands twice in one object")
    return fields


def _no_constant(text: str) -> None:
    raise Unreadable(f"{text} is no JSON number")


def _deep(value: object) -> bool:
    """Whether lists and objects are nested over `MOST_DEEP`; by levels, so without recursion."""
    level = [value]
    for _ in range(MOST_DEEP + 1):
        level = [
            part
            for whole in level
            if type(whole) in (dict, list)
            for part in (whole.values() if type(whole) is dict else whole)
        ]
        if not level:
            return False
    return True


def parsed(body: bytes) -> object:
    """The JSON of a body; Unreadable where it is not UTF-8, is cut off, names a field twice, holds a number or a text
    that cannot be written back, or is nested too deep."""
    try:
        text = body.decode("utf-8")
    except UnicodeDecodeError as error:
        raise Unreadable(f"not UTF-8 at byte {error.start + 1}") from None
    try:
        value = json.loads(text, object_pairs_hook=_once, parse_constant=_no_constant)
    except json.JSONDecodeError as error:
        raise Unreadable(f"not JSON at line {error.lineno}, column {error.colno}") from None
    except ValueError:
        raise Unreadable("a number has too many digits") from None
    except RecursionError:
        raise Unreadable(f"nested deeper than {MOST_DEEP}") from None
    if _deep(value):
        raise Unreadable(f"nested deeper than {MOST_DEEP}")
    if "\\ud" in text or "\\uD" in text:
        try:
            json.dumps(value, ensure_ascii=False).encode("utf-8")
        except UnicodeEncodeError:
            raise Unreadable("a text holds half a surrogate pair") from None
    return value


def digest(method: str, base: int, value: object) -> str:
    """What tells one call from another: sha256 of its method, base and body, whatever the order of fields or the
    spaces between them. ValueError for a number beyond what JSON can carry, as 1e999."""
    canonical = json.dumps([method, base, value], sort_keys=True, separators=(",", ":"), allow_nan=False)
    return hashlib.sha256(canonical.encode("ascii")).hexdigest()


@dataclass(frozen=True)
class Order:
    """A readable call: `value` is its body's JSON, `base` and `version` what it builds on and makes."""

    method: str
    base: int
    version: int
    value: dict
    digest: str


def order(method: str, if_match: str | None, body: bytes) -> Order:
    """The order that a call brings; Unreadable where it brings none, which no core ever took."""
    if if_match is None:
        raise Unreadable("If-Match: is missing; it carries the version built on, 0 for the first")
    if not (match := IF_MATCH.fullmatch(if_match.strip(" \t"))):
        raise Unreadable(f"If-Match: must be a version as r5, or 0, not {shown(if_match)}")
    base = int(match[2])
    try:
        value = parsed(body)
        call = digest(method, base, value)
    except Unreadable as error:
        raise Unreadable(f"body: {error}") from None
    except ValueError:
        raise Unreadable("body: a number is out of range") from None
    if type(value) is not dict:
        raise Unreadable(f"body: must be an object, not {shown(value)}")
    try:
        version = version_number(value.get("config_version"))
    except ValueError as error:
        raise Unreadable(f"config_version: {error}") from None
    return Order(method, base, version, value, call)


def judge(
    current: Configuration | None,
    history: History,
    method: str,
    if_match: str | None,
    body: bytes,
    most_kept: int = MOST_BYTES,
) -> Verdict:
    """The verdict on a PUT or PATCH of a configuration; whatever the body holds, it raises nothing.

    `current` and `history` are the agreed state as this machine knows it. A call that was taken before gets 200 and
    `same`, one that may have been 503; one on another version than the current 412; one that is wrong 400; and one
    that takes, or makes a configuration of, over `most_kept` bytes 413."""
    at = current.version if current else 0
    if len(body) > MOST_BYTES:
        return Verdict(413, f"body: longer than {MOST_BYTES} bytes", at)
    try:
        call = order(method, if_match, body)
    except Unreadable as error:
        return Verdict(400, str(error), at)
    base, version = call.base, call.version
    standing = history.standing(base, version, call.digest)
    if standing is Standing.TAKEN:
        return Verdict(200, "taken before", at, same=True, base=base, version=version, digest=call.digest)
    if standing is Standing.UNKNOWN:
        return Verdict(503, UNKNOWN, at)
    if base != at:
        return Verdict(412, f"built on {version_text(base)}, but {version_text(at)} is current", at)
    if version <= at:
        return Verdict(400, f"config_version: {version_text(version)} is not above the current {version_text(at)}", at)
    if len(body) > most_kept:
        return Verdict(
            413, f"body: longer than {most_kept} bytes, the part of a core's disk that one order may take", at
        )
    try:
        made = _made(current, call)
    except Invalid as error:
        return Verdict(400, str(error), at)
    whole = document(made)
    if method == "PATCH" and _longer(made, whole, most_kept):
        return Verdict(
            413, f"the configuration that it makes is longer than {most_kept} bytes, a part of a core's disk", at
        )
    return Verdict(200, "to be agreed", at, made, whole, False, base, version, call.digest)


def _longer(made: Configuration, whole: dict, most: int) -> bool:
    """Whether a configuration takes more than `most` bytes; written out only where its items are that many."""
    return len(made.items) * ITEM_MOST > most and len(json.dumps(whole, separators=(",", ":"))) > most


def _made(current: Configuration | None, call: Order) -> Configuration:
    """The configuration that an order makes of the current one; Invalid."""
    if call.method == "PUT":
        return read_configuration(call.value)
    return patched(current or Configuration(0, {}, {}, Limits()), call.value)


def reading(current: Configuration | None) -> tuple[int, dict]:
    """Status and body of the answer to a GET, from a state that is known to be the newest."""
    return (200, document(current)) if current else (404, {"error": "no configuration has been taken yet"})

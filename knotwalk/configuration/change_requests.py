"""The decision on an operator's call: what to answer, and what to propose to the agreed log. Nothing is kept here.

A status of 200 means only that the change may be proposed. Whoever applies it from the log looks again: it is in force
if the version it was built on is still the current one then, and was there before if `History.contains` it.

A 412 or 400 is a promise: this very call was not taken and, sent again as it is, never will be while the versions rise.
Where that can't be told the answer is 503.
"""

from __future__ import annotations

import hashlib
import json
import re
from dataclasses import dataclass

from knotwalk.configuration.documents import (
    InvalidConfigurationError,
    apply_patch,
    describe_value,
    format_version,
    parse_configuration,
    parse_version,
    to_document,
)
from knotwalk.configuration.history import ChangeHistory, ChangeStatus
from knotwalk.configuration.objects import Configuration, Limits

# A route is about 350 bytes: room for some 45,000 of them, and no more memory than a small core has.
MAX_BODY_BYTES = 16 * 1024 * 1024
# What an order or the configuration that it makes may take of a core's disk: the state put down last, the log of a
# quarter of the disk (`control_plane.compaction`), one more order, the log's second copy in SQLite's own, and the next
# state then fit side by side, whatever comes at once. A disk that could not take a write would refuse all that follow.
MAX_DISK_FRACTION = 1 / 8
TYPICAL_MAX_ITEM_BYTES = 2000  # bytes: items longer than this on average are counted one by one
# Items are five deep; the rest is for fields that are kept unread. Far from where Python's own readers give up.
MAX_NESTING = 32

IF_MATCH_PATTERN = re.compile(r'("?)r?(\d{1,18})\1', re.ASCII)
LOCATION_PATTERN = re.compile(r"[A-Za-z_.-]+(?=[:\[ ])", re.ASCII)

# Of an order that can no longer be told from a taken one: what to do instead, since sending it again won't help.
STATUS_UNKNOWN_MESSAGE = "too old to be told from an order that was taken: read the configuration and build on that"

# What is answered on /configuration. 503: nothing agreed, the outcome not known, or an order that can't be told.
STATUSES = {"get": (200, 404, 503), "put": (200, 400, 412, 413, 503), "patch": (200, 400, 412, 413, 503)}


class MalformedRequestError(Exception):
    """A call, or the JSON of its body, that is not as it should be; the text says where."""


def rejection_location(message: str) -> str:
    """Where an order that was refused with 400 is wrong: a field, or the kind of an object, without any name.

    >>> rejection_location('route "r": timeout is 0'), rejection_location("objects[7]: must be an object, not 7")
    ('route', 'objects')
    """
    found = LOCATION_PATTERN.match(message)
    return found[0] if found else "other"


@dataclass(frozen=True)
class Decision:
    """The answer to a call, and with a 200 that is not `already_applied` the change to propose.

    `base` and `version` are the numbers of the version built on and of the one made; `current` the one in force."""

    status: int
    message: str
    current: int = 0
    configuration: Configuration | None = None
    document: dict | None = None
    already_applied: bool = False
    base: int = 0
    version: int = 0
    digest: str = ""

    def body(self) -> dict[str, str]:
        """The answer's JSON body; of a 200, once the change is in force."""
        if self.status == 200:
            return {"config_version": format_version(self.version)}
        if self.status == 412:
            return {"error": self.message, "config_version": format_version(self.current)}
        return {"error": self.message}


def _unique_fields(pairs: list[tuple[str, object]]) -> dict:
    fields = dict(pairs)
    if len(fields) < len(pairs):
        seen: set[str] = set()
        twice = next(name for name, _ in pairs if name in seen or seen.add(name))
        raise MalformedRequestError(f"the field {describe_value(twice)} stands twice in one object")
    return fields


def _reject_constant(text: str) -> None:
    raise MalformedRequestError(f"{text} is no JSON number")


def _is_too_deep(value: object) -> bool:
    """Whether lists and objects are nested over `MOST_DEEP`; by levels, so without recursion."""
    level = [value]
    for _ in range(MAX_NESTING + 1):
        level = [
            part
            for whole in level
            if type(whole) in (dict, list)
            for part in (whole.values() if type(whole) is dict else whole)
        ]
        if not level:
            return False
    return True


def parse_json(body: bytes) -> object:
    """The JSON of a body; Unreadable where it is not UTF-8, is cut off, names a field twice, holds a number or a text
    that cannot be written back, or is nested too deep."""
    try:
        text = body.decode("utf-8")
    except UnicodeDecodeError as error:
        raise MalformedRequestError(f"not UTF-8 at byte {error.start + 1}") from None
    try:
        value = json.loads(text, object_pairs_hook=_unique_fields, parse_constant=_reject_constant)
    except json.JSONDecodeError as error:
        raise MalformedRequestError(f"not JSON at line {error.lineno}, column {error.colno}") from None
    except ValueError:
        raise MalformedRequestError("a number has too many digits") from None
    except RecursionError:
        raise MalformedRequestError(f"nested deeper than {MAX_NESTING}") from None
    if _is_too_deep(value):
        raise MalformedRequestError(f"nested deeper than {MAX_NESTING}")
    if "\\ud" in text or "\\uD" in text:
        try:
            json.dumps(value, ensure_ascii=False).encode("utf-8")
        except UnicodeEncodeError:
            raise MalformedRequestError("a text holds half a surrogate pair") from None
    return value


def change_digest(method: str, base: int, value: object) -> str:
    """What tells one call from another: sha256 of its method, base and body, whatever the order of fields or the
    spaces between them. ValueError for a number beyond what JSON can carry, as 1e999."""
    canonical = json.dumps([method, base, value], sort_keys=True, separators=(",", ":"), allow_nan=False)
    return hashlib.sha256(canonical.encode("ascii")).hexdigest()


@dataclass(frozen=True)
class ChangeRequest:
    """A readable call: `value` is its body's JSON, `base` and `version` what it builds on and makes."""

    method: str
    base: int
    version: int
    value: dict
    digest: str


def parse_change_request(method: str, if_match: str | None, body: bytes) -> ChangeRequest:
    """The order that a call brings; Unreadable where it brings none, which no core ever took."""
    if if_match is None:
        raise MalformedRequestError("If-Match: is missing; it carries the version built on, 0 for the first")
    if not (match := IF_MATCH_PATTERN.fullmatch(if_match.strip(" \t"))):
        raise MalformedRequestError(f"If-Match: must be a version as r5, or 0, not {describe_value(if_match)}")
    base = int(match[2])
    try:
        value = parse_json(body)
        call = change_digest(method, base, value)
    except MalformedRequestError as error:
        raise MalformedRequestError(f"body: {error}") from None
    except ValueError:
        raise MalformedRequestError("body: a number is out of range") from None
    if type(value) is not dict:
        raise MalformedRequestError(f"body: must be an object, not {describe_value(value)}")
    try:
        version = parse_version(value.get("config_version"))
    except ValueError as error:
        raise MalformedRequestError(f"config_version: {error}") from None
    return ChangeRequest(method, base, version, value, call)


def decide_change(
    current: Configuration | None,
    history: ChangeHistory,
    method: str,
    if_match: str | None,
    body: bytes,
    most_kept: int = MAX_BODY_BYTES,
) -> Decision:
    """Decide on a PUT or PATCH of the configuration; never raises, whatever the body holds.

    `current` and `history` are the replicated state as this machine knows it. Status 200 with `already_applied` answers
    a repeat of a request that was applied before, 503 one that may have been. 412 means that the request is based on
    another version than the current one, 400 that it is invalid, and 413 that its body or the resulting configuration
    is larger than `most_kept` bytes."""
    at = current.version if current else 0
    if len(body) > MAX_BODY_BYTES:
        return Decision(413, f"body: longer than {MAX_BODY_BYTES} bytes", at)
    try:
        call = parse_change_request(method, if_match, body)
    except MalformedRequestError as error:
        return Decision(400, str(error), at)
    base, version = call.base, call.version
    status = history.status(base, version, call.digest)
    if status is ChangeStatus.TAKEN:
        return Decision(200, "taken before", at, already_applied=True, base=base, version=version, digest=call.digest)
    if status is ChangeStatus.UNKNOWN:
        return Decision(503, STATUS_UNKNOWN_MESSAGE, at)
    if base != at:
        return Decision(412, f"built on {format_version(base)}, but {format_version(at)} is current", at)
    if version <= at:
        return Decision(
            400, f"config_version: {format_version(version)} is not above the current {format_version(at)}", at
        )
    if len(body) > most_kept:
        return Decision(
            413, f"body: longer than {most_kept} bytes, the part of a core's disk that one order may take", at
        )
    try:
        made = _apply_change(current, call)
    except InvalidConfigurationError as error:
        return Decision(400, str(error), at)
    whole = to_document(made)
    if method == "PATCH" and _exceeds_size(made, whole, most_kept):
        return Decision(
            413, f"the configuration that it makes is longer than {most_kept} bytes, a part of a core's disk", at
        )
    return Decision(200, "to be agreed", at, made, whole, False, base, version, call.digest)


def _exceeds_size(made: Configuration, whole: dict, most: int) -> bool:
    """Whether a configuration takes more than `most` bytes; written out only where its items are that many."""
    return len(made.items) * TYPICAL_MAX_ITEM_BYTES > most and len(json.dumps(whole, separators=(",", ":"))) > most


def _apply_change(current: Configuration | None, call: ChangeRequest) -> Configuration:
    """The configuration that an order makes of the current one; Invalid."""
    if call.method == "PUT":
        return parse_configuration(call.value)
    return apply_patch(current or Configuration(0, {}, {}, Limits()), call.value)


def read_response(current: Configuration | None) -> tuple[int, dict]:
    """Status and body of the answer to a GET, from a state that is known to be the newest."""
    return (200, to_document(current)) if current else (404, {"error": "no configuration has been taken yet"})

"""Decides how to answer an operator's request to change the configuration, and what to propose to the replicated log.

This module keeps no state. Status 200 means only that the change may be proposed. Whoever applies it from the log
checks again: it takes effect if the version it is based on is still current then, and was applied before if
`ChangeHistory.contains` says so.

Status 412 or 400 is a promise: this request was not applied and, repeated unchanged, never will be as long as versions
only rise. Where that cannot be known the answer is 503.
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

# A route takes about 350 bytes, so this allows some 45,000 routes and still fits the memory of a small core.
MAX_BODY_BYTES = 16 * 1024 * 1024
# The share of a core's disk that a change, or the resulting configuration, may take. The disk then always has space for
# the last snapshot, a log of a quarter of the disk (`control_plane.compaction`), one more change, the copy of the log
# in SQLite's write-ahead log, and the next snapshot. A disk that cannot take one write refuses all later ones too.
MAX_DISK_FRACTION = 1 / 8
# Assumed bound on the average size of an item: the size of a configuration is measured only if it has more items than
# fit at this size.
ASSUMED_ITEM_BYTES = 2000
# Items have five levels; the rest is for unknown fields, which are kept. Far below the limit of Python's JSON parser.
MAX_NESTING = 32

IF_MATCH_PATTERN = re.compile(r'("?)r?(\d{1,18})\1', re.ASCII)
LOCATION_PATTERN = re.compile(r"[A-Za-z_.-]+(?=[:\[ ])", re.ASCII)

# For a change that is too old to know whether it was applied: what to do instead, since a repeat will not help.
STATUS_UNKNOWN_MESSAGE = "too old to know whether it was applied: read the configuration and base the change on that"

# Status codes of /configuration. 503: no agreement was reached, or the outcome of the change is unknown.
STATUSES = {"get": (200, 404, 503), "put": (200, 400, 412, 413, 503), "patch": (200, 400, 412, 413, 503)}


class MalformedRequestError(Exception):
    """A malformed request or request body; the message says where."""


def rejection_location(message: str) -> str:
    """The place in a request that a 400 message complains about: a field or an object's kind, without names.

    >>> rejection_location('route "r": timeout is 0'), rejection_location("objects[7]: must be an object, not 7")
    ('route', 'objects')
    """
    match = LOCATION_PATTERN.match(message)
    return match[0] if match else "other"


@dataclass(frozen=True)
class Decision:
    """The answer to a request; with status 200 and not `already_applied` also the change to propose.

    `base` is the number of the version that the change is based on, `version` that of the resulting configuration, and
    `current` that of the version in force."""

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
        """The JSON body of the response; for status 200, of the response sent once the change is in force."""
        if self.status == 200:
            return {"config_version": format_version(self.version)}
        if self.status == 412:
            return {"error": self.message, "config_version": format_version(self.current)}
        return {"error": self.message}


def _unique_fields(pairs: list[tuple[str, object]]) -> dict:
    fields = dict(pairs)
    if len(fields) < len(pairs):
        seen: set[str] = set()
        duplicate = next(name for name, _ in pairs if name in seen or seen.add(name))
        raise MalformedRequestError(f"the field {describe_value(duplicate)} appears twice in one object")
    return fields


def _reject_constant(text: str) -> None:
    raise MalformedRequestError(f"{text} is not a JSON number")


def _is_too_deep(value: object) -> bool:
    """Whether lists and objects are nested deeper than `MAX_NESTING`; works level by level, without recursion."""
    level = [value]
    for _ in range(MAX_NESTING + 1):
        level = [
            child
            for container in level
            if type(container) in (dict, list)
            for child in (container.values() if type(container) is dict else container)
        ]
        if not level:
            return False
    return True


def parse_json(body: bytes) -> object:
    """Parse the JSON of a request body.

    Raises MalformedRequestError where it is not UTF-8, is truncated, repeats a field, holds a number or a string that
    cannot be written back, or is nested too deeply."""
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
            raise MalformedRequestError("a string contains an unpaired surrogate") from None
    return value


def change_digest(method: str, base: int, value: object) -> str:
    """The identity of a change: SHA-256 of its method, base and body, whatever the order of fields and the whitespace.

    Raises ValueError for a number that JSON cannot carry, such as 1e999."""
    canonical = json.dumps([method, base, value], sort_keys=True, separators=(",", ":"), allow_nan=False)
    return hashlib.sha256(canonical.encode("ascii")).hexdigest()


@dataclass(frozen=True)
class ChangeRequest:
    """A well-formed request.

    `payload` is the decoded body, `base` the version it is based on, `version` the one it makes."""

    method: str
    base: int
    version: int
    payload: dict
    digest: str


def parse_change_request(method: str, if_match: str | None, body: bytes) -> ChangeRequest:
    """Parse a change request; MalformedRequestError if it is malformed, in which case no core can have applied it."""
    if if_match is None:
        raise MalformedRequestError(
            "If-Match: is missing; it names the version that the change is based on, 0 for the first"
        )
    if not (match := IF_MATCH_PATTERN.fullmatch(if_match.strip(" \t"))):
        raise MalformedRequestError(f"If-Match: must be a version such as r5, or 0, not {describe_value(if_match)}")
    base = int(match[2])
    try:
        payload = parse_json(body)
        digest = change_digest(method, base, payload)
    except MalformedRequestError as error:
        raise MalformedRequestError(f"body: {error}") from None
    except ValueError:
        raise MalformedRequestError("body: a number is out of range") from None
    if type(payload) is not dict:
        raise MalformedRequestError(f"body: must be an object, not {describe_value(payload)}")
    try:
        version = parse_version(payload.get("config_version"))
    except ValueError as error:
        raise MalformedRequestError(f"config_version: {error}") from None
    return ChangeRequest(method, base, version, payload, digest)


def decide_change(
    current: Configuration | None,
    history: ChangeHistory,
    method: str,
    if_match: str | None,
    body: bytes,
    max_bytes: int = MAX_BODY_BYTES,
) -> Decision:
    """Decide on a PUT or PATCH of the configuration; never raises, whatever the body holds.

    `current` and `history` are the replicated state as this machine knows it. Status 200 with `already_applied` answers
    a repeat of a request that was applied before, 503 one that may have been. 412 means that the request is based on
    another version than the current one, 400 that it is invalid, and 413 that its body or the resulting configuration
    is larger than `max_bytes`."""
    current_version = current.version if current else 0
    if len(body) > MAX_BODY_BYTES:
        return Decision(413, f"body: larger than {MAX_BODY_BYTES} bytes", current_version)
    try:
        request = parse_change_request(method, if_match, body)
    except MalformedRequestError as error:
        return Decision(400, str(error), current_version)
    base, version = request.base, request.version
    status = history.status(base, version, request.digest)
    if status is ChangeStatus.APPLIED:
        return Decision(
            200,
            "already applied",
            current_version,
            already_applied=True,
            base=base,
            version=version,
            digest=request.digest,
        )
    if status is ChangeStatus.UNKNOWN:
        return Decision(503, STATUS_UNKNOWN_MESSAGE, current_version)
    if base != current_version:
        return Decision(
            412, f"built on {format_version(base)}, but {format_version(current_version)} is current", current_version
        )
    if version <= current_version:
        return Decision(
            400,
            f"config_version: {format_version(version)} is not above the current {format_version(current_version)}",
            current_version,
        )
    if len(body) > max_bytes:
        return Decision(
            413,
            f"body: larger than {max_bytes} bytes, the share of a core's disk that one change may take",
            current_version,
        )
    try:
        configuration = _apply_change(current, request)
    except InvalidConfigurationError as error:
        return Decision(400, str(error), current_version)
    document = to_document(configuration)
    if method == "PATCH" and _exceeds_size(configuration, document, max_bytes):
        return Decision(
            413,
            f"the resulting configuration is larger than {max_bytes} bytes, a share of a core's disk",
            current_version,
        )
    return Decision(
        200, "to be proposed", current_version, configuration, document, False, base, version, request.digest
    )


def _exceeds_size(configuration: Configuration, document: dict, max_bytes: int) -> bool:
    """Whether a configuration is larger than `max_bytes`; it is serialized only if it has enough items to be."""
    return (
        len(configuration.items) * ASSUMED_ITEM_BYTES > max_bytes
        and len(json.dumps(document, separators=(",", ":"))) > max_bytes
    )


def _apply_change(current: Configuration | None, request: ChangeRequest) -> Configuration:
    """Apply a request to the current configuration; InvalidConfigurationError if it cannot be applied."""
    if request.method == "PUT":
        return parse_configuration(request.payload)
    return apply_patch(current or Configuration(0, {}, {}, Limits()), request.payload)


def read_response(current: Configuration | None) -> tuple[int, dict]:
    """Status and body of the response to a GET, from a state that is known to be the newest."""
    return (200, to_document(current)) if current else (404, {"error": "there is no configuration yet"})

"""All mistakes of a settings file or a configuration at once, each with its place.

The readers end at the first mistake, as programs want it. Here what is wrong is put aside, in a form that brings on no
mistake elsewhere, and the rest is read again.
"""

from __future__ import annotations

from knotwalk.cli.formatting import format_count
from knotwalk.configuration.documents import NAMED_KINDS, InvalidConfigurationError, describe_value, parse_configuration
from knotwalk.runtime.errors import SettingsError
from knotwalk.runtime.settings import Settings, parse_settings

MAX_MISTAKES = 100  # mistakes told; a file of another kind has one a line

REQUIRED_ADDRESSES = {"edge": ("data_plane", "readiness"), "control_plane": ("control",)}


class FileMistakesError(ExceptionGroup):
    """What is wrong with a file: `exceptions` are SettingsError or InvalidConfigurationError, one a mistake."""


def check_settings(raw: object) -> Settings:
    """A settings file's JSON value, read as the programs read it, with all that they need; FileMistakesError if any."""
    found: list[Exception] = []
    left, read = raw, None
    while read is None and len(found) < MAX_MISTAKES:
        try:
            read = parse_settings(left)
        except SettingsError as error:
            found.append(error)
            field = error.peer.partition(".")[0].partition("[")[0]
            if not isinstance(left, dict) or field not in left and field != "node_name":
                break
            left = {**left, "node_name": "?"} if field == "node_name" else {k: v for k, v in left.items() if k != field}
    named = {error.peer.partition(".")[0].partition("[")[0] for error in found if isinstance(error, SettingsError)}
    if read is not None:
        found += [SettingsError(field, why) for field, why in _lacking(read) if field.partition(".")[0] not in named]
    if found or read is None:
        raise FileMistakesError(format_count(len(found), "mistake"), found)
    return read


def _lacking(read: Settings) -> list[tuple[str, str]]:
    """What a program of this kind can't do without."""
    lacks = []
    for served in read.serves:
        lacks += [
            (f"listen_addresses.{name}", f"is missing, and the machine serves {served}")
            for name in REQUIRED_ADDRESSES.get(served, ())
            if name not in read.listen
        ]
    if not read.seeds:
        lacks.append(("seed_nodes", "is empty: nobody else would be found"))
    if "control_plane" in read.serves:
        if read.data_dir is None:
            lacks.append(("data_dir", "is missing, and what is agreed on must last"))
        if read.platform.address is None:
            lacks.append(("cloud_api.address", "is missing: no node would ever be known"))
    return lacks


def check_configuration(raw: object) -> None:
    """A configuration's JSON value; FileMistakesError if any."""
    found: list[Exception] = []
    left = raw
    while len(found) < MAX_MISTAKES:
        try:
            parse_configuration(left)
            break
        except InvalidConfigurationError as error:
            found.append(error)
            fixed = _put_aside(left, error.location)
            if fixed is None:
                break
            left = fixed
    if found:
        raise FileMistakesError(format_count(len(found), "mistake"), found)


def _aside(place: int) -> dict:
    """Stands where a wrong item was: of a kind that has no meaning, and the only one of its name."""
    return {"object_kind": "-", "metadata": {"name": str(place)}}


def _put_aside(raw: object, where: str) -> dict | None:
    """The configuration with what is wrong at `where` out of the way; None if nothing else can be read."""
    if not isinstance(raw, dict):
        return None
    if where == "config_version":
        return {**raw, "config_version": "r1"}
    objects = raw.get("objects")
    if not isinstance(objects, list):
        return None

    def fits(place: int, item: dict) -> bool:
        if where == f"objects[{place}]":
            return True
        return isinstance(item, dict) and (where == "limits" == item.get("object_kind") or where == _named(item))

    for place, item in enumerate(objects):
        if fits(place, item):
            fresh = _aside(place)
            if isinstance(item, dict) and where == _named(item) and item["object_kind"] == "services":
                fresh = {**item, "specification": {}}  # routes name it still
            return {**raw, "objects": [*objects[:place], fresh, *objects[place + 1 :]]}
    return None


def _named(item: dict) -> str:
    """An item as the reader names it: `route "x"`."""
    kind, metadata = item.get("object_kind"), item.get("metadata")
    if kind not in NAMED_KINDS or not isinstance(metadata, dict):
        return ""
    return f"{kind[:-1]} {describe_value(metadata.get('name'))}"


def check_file(raw: object) -> str:
    """What kind of file it is, read without a mistake, in a few words; FileMistakesError otherwise."""
    if isinstance(raw, dict) and ("objects" in raw or "config_version" in raw):
        check_configuration(raw)
        read = parse_configuration(raw)
        tenants = f", {format_count(len(read.tenants), 'tenant')}" if read.tenants else ""
        return (
            f"configuration {raw['config_version']}: {format_count(len(read.routes), 'route')}, "
            f"{format_count(len(read.services), 'service')}{tenants}"
        )
    read = check_settings(raw)
    return f"settings of {read.node_name}: {read.role or 'no role'}, at {read.ip_address}"

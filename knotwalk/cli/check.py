"""Finds all mistakes of a settings file or a configuration, each with its place.

The parsers stop at the first mistake, which is what programs need. Here the faulty part is replaced by a valid one that
causes no further mistake, and the file is parsed again.
"""

from __future__ import annotations

from knotwalk.cli.formatting import format_count
from knotwalk.configuration.documents import NAMED_KINDS, InvalidConfigurationError, describe_value, parse_configuration
from knotwalk.runtime.errors import SettingsError
from knotwalk.runtime.settings import Settings, parse_settings

MAX_MISTAKES = 100  # a file of an unrelated kind can have a mistake in every line

# Listen addresses that a machine needs for what it serves.
REQUIRED_ADDRESSES = {"edge": ("data_plane", "readiness"), "control_plane": ("control",)}


class FileMistakesError(ExceptionGroup):
    """The mistakes of a file: `exceptions` has a SettingsError or InvalidConfigurationError for each."""


def check_settings(value: object) -> Settings:
    """Parse a settings file's JSON value and check that its machine has all settings that it needs.

    Raises FileMistakesError if there is any mistake.
    """
    mistakes: list[Exception] = []
    remaining, settings = value, None
    while settings is None and len(mistakes) < MAX_MISTAKES:
        try:
            settings = parse_settings(remaining)
        except SettingsError as error:
            mistakes.append(error)
            field = error.peer.partition(".")[0].partition("[")[0]
            if not isinstance(remaining, dict) or field not in remaining and field != "node_name":
                break
            remaining = (
                {**remaining, "node_name": "?"}
                if field == "node_name"
                else {name: item for name, item in remaining.items() if name != field}
            )
    faulty_fields = {
        error.peer.partition(".")[0].partition("[")[0] for error in mistakes if isinstance(error, SettingsError)
    }
    if settings is not None:
        mistakes += [
            SettingsError(field, reason)
            for field, reason in _find_missing_settings(settings)
            if field.partition(".")[0] not in faulty_fields
        ]
    if mistakes or settings is None:
        raise FileMistakesError(format_count(len(mistakes), "mistake"), mistakes)
    return settings


def _find_missing_settings(settings: Settings) -> list[tuple[str, str]]:
    """Settings that are optional in the file, but needed by what the machine serves: fields with the reason."""
    missing = []
    for role in settings.serves:
        missing += [
            (f"listen_addresses.{name}", f"is missing, and the machine serves {role}")
            for name in REQUIRED_ADDRESSES.get(role, ())
            if name not in settings.listen
        ]
    if not settings.seeds:
        missing.append(("seed_nodes", "is empty: the machine would find no other machine"))
    if "control_plane" in settings.serves:
        if settings.data_dir is None:
            missing.append(("data_dir", "is missing: a core stores the replicated log there"))
        if settings.platform.address is None:
            missing.append(("cloud_api.address", "is missing: a core gets the list of nodes from there"))
    return missing


def check_configuration(value: object) -> None:
    """Check a configuration's JSON value; raises FileMistakesError if there is any mistake."""
    mistakes: list[Exception] = []
    remaining = value
    while len(mistakes) < MAX_MISTAKES:
        try:
            parse_configuration(remaining)
            break
        except InvalidConfigurationError as error:
            mistakes.append(error)
            repaired = _replace_faulty_part(remaining, error.location)
            if repaired is None:
                break
            remaining = repaired
    if mistakes:
        raise FileMistakesError(format_count(len(mistakes), "mistake"), mistakes)


def _placeholder(position: int) -> dict:
    """An item that replaces a faulty one: of an unknown kind, which parsers ignore, and with a unique name."""
    return {"object_kind": "-", "metadata": {"name": str(position)}}


def _replace_faulty_part(value: object, location: str) -> dict | None:
    """The configuration with the part at `location` replaced; None if the rest can't be parsed without it."""
    if not isinstance(value, dict):
        return None
    if location == "config_version":
        return {**value, "config_version": "r1"}
    objects = value.get("objects")
    if not isinstance(objects, list):
        return None

    def is_at_location(position: int, item: dict) -> bool:
        if location == f"objects[{position}]":
            return True
        return isinstance(item, dict) and (
            location == "limits" == item.get("object_kind") or location == _location_of(item)
        )

    for position, item in enumerate(objects):
        if is_at_location(position, item):
            replacement = _placeholder(position)
            if isinstance(item, dict) and location == _location_of(item) and item["object_kind"] == "services":
                replacement = {**item, "specification": {}}  # routes still refer to the service by name
            return {**value, "objects": [*objects[:position], replacement, *objects[position + 1 :]]}
    return None


def _location_of(item: dict) -> str:
    """An item's location as the parser gives it: `route "x"`."""
    kind, metadata = item.get("object_kind"), item.get("metadata")
    if kind not in NAMED_KINDS or not isinstance(metadata, dict):
        return ""
    return f"{kind[:-1]} {describe_value(metadata.get('name'))}"


def check_file(value: object) -> str:
    """Check the JSON value of either kind of file: a summary in a few words; raises FileMistakesError on mistakes."""
    if isinstance(value, dict) and ("objects" in value or "config_version" in value):
        check_configuration(value)
        configuration = parse_configuration(value)
        tenants = f", {format_count(len(configuration.tenants), 'tenant')}" if configuration.tenants else ""
        return (
            f"configuration {value['config_version']}: {format_count(len(configuration.routes), 'route')}, "
            f"{format_count(len(configuration.services), 'service')}{tenants}"
        )
    settings = check_settings(value)
    return f"settings of {settings.node_name}: {settings.role or 'no role'}, at {settings.ip_address}"

"""Parses the changes of a what-if: `--set NAME=VALUE` (settings, constants of the policy) and `--policy FILE`.

Errors are reported in a single line.
"""

import importlib.util
import sys
from collections.abc import Callable, Iterable
from typing import NamedTuple

from knotwalk.decide import Conductor
from knotwalk.interface import Method, Settings


class InvalidChangeError(Exception):
    """A change that cannot be applied; the message says what is wrong and what is valid."""


class Change(NamedTuple):
    """A function that changes settings, and one that creates the policy object."""

    settings: Callable[[Settings], Settings]
    make: Callable[..., Conductor]
    names: list[str]  # descriptions, for reports


def tuned_values(policy: type) -> dict[str, float]:
    """The tuned values of a policy: its numeric upper-case class attributes, including inherited ones.

    >>> tuned_values(Conductor)["PERIOD"]
    5.0
    """
    members = {name: value for parts in reversed(policy.__mro__) for name, value in vars(parts).items()}
    return {
        name: value
        for name, value in members.items()
        if name.isupper() and isinstance(value, int | float) and not isinstance(value, bool)
    }


def value_like(old: object, text: str, name: str) -> object:
    """Parse a value of the same type as the old one.

    >>> value_like(5.0, "2", "PERIOD"), value_like(True, "no", "admits")
    (2.0, False)
    """
    if isinstance(old, bool):
        if text not in ("yes", "no", "true", "false", "1", "0"):
            raise InvalidChangeError(f"--set {name}={text}: neither yes nor no")
        return text in ("yes", "true", "1")
    try:
        value = float(text)
        if not abs(value) < float("inf"):
            raise ValueError
    except ValueError:
        raise InvalidChangeError(f"--set {name}={text}: not a finite number") from None
    if isinstance(old, int):
        if value != int(value):
            raise InvalidChangeError(f"--set {name}={text}: {name} must be a whole number")
        return int(value)
    return value


def load(path: str) -> type:
    """Load the policy from a file; raises InvalidChangeError for any failure, also of the file's own code."""
    name = "knotwalk_policy_tried"
    spec = importlib.util.spec_from_file_location(name, path)
    if spec is None or spec.loader is None:
        raise InvalidChangeError(f"--policy {path}: not a Python file")
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    try:
        spec.loader.exec_module(module)
    except FileNotFoundError:
        raise InvalidChangeError(f"--policy {path}: no such file") from None
    except SyntaxError as error:
        raise InvalidChangeError(f"--policy {path}: line {error.lineno}: {error.msg}") from None
    except BaseException as error:
        raise InvalidChangeError(f"--policy {path}: it raises {type(error).__name__}: {error}") from None
    policy = getattr(module, "Conductor", None)
    if not (isinstance(policy, type) and callable(getattr(policy, "decide", None))):
        raise InvalidChangeError(f"--policy {path}: it has no class Conductor with decide(now, inbox, out)")
    return policy


def read(sets: Iterable[str], policy: str | None, settings: Settings) -> Change:
    """The change that these options request, checked against the recorded settings."""
    base: type = load(policy) if policy else Conductor
    values, fields, methods = {}, {}, {}
    tuned = tuned_values(base)
    for text in sets:
        name, equals, value = text.partition("=")
        if not equals or not value:
            raise InvalidChangeError(f"--set {text}: expected NAME=VALUE")
        parts = name.split(".")
        if name in tuned:
            values[name] = value_like(tuned[name], value, name)
        elif name in Settings._fields and name != "methods":
            fields[name] = value_like(getattr(settings, name), value, name)
        elif (
            len(parts) == 3
            and parts[0] == "methods"
            and parts[1].isdigit()
            and parts[2] in Method._fields
            and int(parts[1]) < len(settings.methods)
        ):
            methods[int(parts[1]), parts[2]] = value_like(1.0, value, name)
        else:
            raise InvalidChangeError(
                f"--set {text}: no such setting or tuned value; there are "
                f"{', '.join([x for x in Settings._fields if x != 'methods'])}, methods.K.FIELD, "
                f"{', '.join(tuned)}"
            )
    make = type("Conductor", (base,), values) if values else base

    def changed(settings: Settings) -> Settings:
        methods_list = list(settings.methods)
        for (k, field), value in methods.items():
            if k < len(methods_list):
                methods_list[k] = methods_list[k]._replace(**{field: value})
        return settings._replace(methods=tuple(methods_list), **fields)

    try:
        make(changed(settings), 0)
    except Exception as error:
        raise InvalidChangeError(
            f"the policy cannot be created with these settings: {type(error).__name__}: {error}"
        ) from None
    return Change(changed, make, [*sets, *([f"policy {policy}"] if policy else [])])

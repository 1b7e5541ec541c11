"""What a what-if changes: settings of the contract, tuned values of the policy, or the policy's text.

Owns the reading of `--set NAME=VALUE` and `--policy FILE`; what cannot be used is one plain line.
"""

import importlib.util
import sys
from collections.abc import Callable, Iterable
from typing import NamedTuple

from knotwalk.decide import Conductor
from knotwalk.interface import Method, Settings


class Unusable(Exception):
    """A change that cannot be made; the text says what is wrong and what would be right."""


class Change(NamedTuple):
    """Other settings, and what makes the module."""

    settings: Callable[[Settings], Settings]
    make: Callable[..., Conductor]
    names: list[str]  # in words, for reports


def tuned(policy: type) -> dict[str, float]:
    """The tuned values of a policy: its named figures, as they stand beside its code, its own before inherited ones.

    >>> tuned(Conductor)["PERIOD"]
    5.0
    """
    found = {name: value for part in reversed(policy.__mro__) for name, value in vars(part).items()}
    return {
        name: value
        for name, value in found.items()
        if name.isupper() and isinstance(value, int | float) and not isinstance(value, bool)
    }


def value_like(old: object, text: str, name: str) -> object:
    """A value of the kind that the old one has.

    >>> value_like(5.0, "2", "PERIOD"), value_like(True, "no", "admits")
    (2.0, False)
    """
    if isinstance(old, bool):
        if text not in ("yes", "no", "true", "false", "1", "0"):
            raise Unusable(f"--set {name}={text}: neither yes nor no")
        return text in ("yes", "true", "1")
    try:
        value = float(text)
        if not abs(value) < float("inf"):
            raise ValueError
    except ValueError:
        raise Unusable(f"--set {name}={text}: not a figure") from None
    if isinstance(old, int):
        if value != int(value):
            raise Unusable(f"--set {name}={text}: {name} counts, so it is a whole number")
        return int(value)
    return value


def load(path: str) -> type:
    """The policy in a file; raises Unusable, whatever the file does."""
    name = "knotwalk_policy_tried"
    spec = importlib.util.spec_from_file_location(name, path)
    if spec is None or spec.loader is None:
        raise Unusable(f"--policy {path}: not a Python file")
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    try:
        spec.loader.exec_module(module)
    except FileNotFoundError:
        raise Unusable(f"--policy {path}: no such file") from None
    except SyntaxError as fault:
        raise Unusable(f"--policy {path}: line {fault.lineno}: {fault.msg}") from None
    except BaseException as fault:
        raise Unusable(f"--policy {path}: it raises {type(fault).__name__}: {fault}") from None
    policy = getattr(module, "Conductor", None)
    if not (isinstance(policy, type) and callable(getattr(policy, "decide", None))):
        raise Unusable(f"--policy {path}: it has no class Conductor with decide(now, inbox, out)")
    return policy


def read(sets: Iterable[str], policy: str | None, settings: Settings) -> Change:
    """The change that these options ask for, checked against the settings that were recorded."""
    base: type = load(policy) if policy else Conductor
    values, fields, methods = {}, {}, {}
    figures = tuned(base)
    for text in sets:
        name, equals, value = text.partition("=")
        if not equals or not value:
            raise Unusable(f"--set {text}: NAME=VALUE is wanted")
        part = name.split(".")
        if name in figures:
            values[name] = value_like(figures[name], value, name)
        elif name in Settings._fields and name != "methods":
            fields[name] = value_like(getattr(settings, name), value, name)
        elif (
            len(part) == 3
            and part[0] == "methods"
            and part[1].isdigit()
            and part[2] in Method._fields
            and int(part[1]) < len(settings.methods)
        ):
            methods[int(part[1]), part[2]] = value_like(1.0, value, name)
        else:
            raise Unusable(
                f"--set {text}: no such setting or tuned value; there are "
                f"{', '.join([x for x in Settings._fields if x != 'methods'])}, methods.K.FIELD, "
                f"{', '.join(figures)}"
            )
    make = type("Conductor", (base,), values) if values else base

    def changed(s: Settings) -> Settings:
        told = list(s.methods)
        for (k, field), value in methods.items():
            if k < len(told):
                told[k] = told[k]._replace(**{field: value})
        return s._replace(methods=tuple(told), **fields)

    try:
        make(changed(settings), 0)
    except Exception as fault:
        raise Unusable(f"the policy cannot be made with these settings: {type(fault).__name__}: {fault}") from None
    return Change(changed, make, [*sets, *([f"policy {policy}"] if policy else [])])

"""Checkpoints: a module's whole state as plain values, and a module made from them that goes on the same.

Owns the list of what is state and what only follows from the settings. Knows nothing of recordings, files or
fronts, and must never leave out a field without saying so: a test holds these lists against the module's own.
"""

from collections import deque
from collections.abc import Callable, Mapping

from knotwalk.decide import Conductor, Server, Slice
from knotwalk.interface import Method, Settings

FORMAT = 2  # goes up with every change of the lists below; an older snapshot is converted or refused

# What is kept as it is.
SERVER = (
    "id",
    "state",
    "size",
    "started",
    "zone",
    "proven",
    "dropped",
    "left_at",
    "shut",
    "once_shut",
    "quota",
    "health",
    "judged",
    "moved",
    "used",
    "reported",
    "spread",
    "whole",
    "capacity",
    "load",
    "shut_out",
    "ours",
    "empty",
    "coming",
)
SLICE = ("id", "given_at", "urgent", "moved", "since", "demand", "unsure")
CONDUCTOR = (
    "now",
    "back",
    "taken_at",
    "heard_at",
    "mark",
    "next_pass",
    "next_urgent",
    "wake_at",
    "next_send",
    "next_urgent_send",
    "next_leave_send",
    "receipt_at",
    "list_wait",
    "list_due",
    "born",
    "listed_once",
    "list_fresh",
    "pending",
    "unit",
    "average",
    "news",
)
# What is taken apart: rows of samples, lists of figures, and what points to servers.
SERVER_ROWS, SERVER_APART = ("met", "reports", "uses", "shifts"), ()
SLICE_ROWS, SLICE_APART = ("samples",), ("work", "levels", "told_levels", "shares", "told")
CONDUCTOR_APART = ("random", "servers", "slices", "proxies", "way", "sent", "way_time")
# What follows from the settings alone, and is worked out anew.
DERIVED = (
    "cost",
    "late",
    "slow",
    "order",
    "admits",
    "period",
    "scarce",
    "settle",
    "slices_all",
    "asked_list",
    "one_owner",
    "cold_share",
    "cold_time",
    "head",
    "waiting_most",
    "rate",
    "messages_most",
    "messages_span",
    "gap",
    "orders_retry",
    "gone_binds",
    "controllers",
    "seat",
)


class Unfit(Exception):
    """A snapshot that cannot be used; the text says what is wrong."""


def snapshot(module: Conductor) -> dict:
    """All that a module holds, as dicts, lists, tuples, strings and figures; nothing in it changes with the module.

    Servers and slices are in the module's own order, on which its ties are broken.
    """
    # One that only shares or tables still know comes after the others.
    servers = dict.fromkeys(module.servers.values())
    for s in module.slices.values():
        servers.update(dict.fromkeys([*s.shares, *s.told]))
    place = {x: k for k, x in enumerate(servers)}
    version, words, gauss = module.random.getstate()
    return {
        "format": FORMAT,
        "listed": len(module.servers),
        "servers": [
            [[getattr(x, name) for name in SERVER], *(list(getattr(x, name)) for name in SERVER_ROWS)] for x in servers
        ],
        "slices": [
            [
                [getattr(s, name) for name in SLICE],
                list(s.samples),
                list(s.work),
                list(s.levels),
                list(s.told_levels),
                [place[x] for x in s.shares],
                [[place[x], weight] for x, weight in s.told.items()],
            ]
            for s in module.slices.values()
        ],
        "module": [getattr(module, name, 0.0) for name in CONDUCTOR],
        "random": [version, list(words), gauss],
        "proxies": list(module.proxies),
        "way": [
            [mark, lines, sorted(proxies, key=lambda p: -1 if p is None else p)] for mark, lines, proxies in module.way
        ],
        "sent": list(module.sent),
        "way_time": [[*pair, time] for pair, time in module.way_time.items()],
    }


def from_1(told: dict) -> dict:
    """Format 1 knew one controller alone: every server is its own to fill, and none is known to be empty."""
    servers = [[[*plain, True, False, 0.0], *rows, []] for plain, *rows in told["servers"]]
    return {**told, "format": 2, "servers": servers}


# By format: how a snapshot of it becomes one of the next.
CONVERT: dict[int, Callable[[dict], dict]] = {1: from_1}


def converted(told: Mapping) -> dict:
    """A snapshot in today's format; raises Unfit for one that cannot be brought there."""
    try:
        told, format = dict(told), told["format"]
    except (TypeError, ValueError, KeyError):
        raise Unfit("no snapshot: it names no format") from None
    while format in CONVERT and format < FORMAT:
        told = CONVERT[format](told)
        format = told["format"]
    if format != FORMAT:
        raise Unfit(
            f"a snapshot of format {format}; this version reads {FORMAT}" + "".join(f", {k}" for k in sorted(CONVERT))
        )
    return told


def restored(told: Mapping, settings: Settings, make: Callable[..., Conductor] = Conductor) -> Conductor:
    """A module that goes on as the one the snapshot was taken of would, under these settings.

    `make` makes an empty one. Raises Unfit where the snapshot does not hold what the format says.
    """
    told = converted(told)
    module = make(settings, 0)
    try:
        servers = []
        for plain, met, reports, uses, shifts in told["servers"]:
            x = Server(plain[0])
            for name, value in zip(SERVER, plain, strict=True):
                setattr(x, name, value)
            x.met.extend(map(tuple, met))
            x.reports.extend(map(tuple, reports))
            x.uses.extend(map(tuple, uses))
            x.shifts.extend(map(tuple, shifts))
            servers.append(x)
        module.servers.update((x.id, x) for x in servers[: told["listed"]])
        methods = len(module.cost)
        for plain, samples, work, levels, told_levels, shares, lines in told["slices"]:
            s = Slice(plain[0], plain[1])
            for name, value in zip(SLICE, plain, strict=True):
                setattr(s, name, value)
            s.samples.extend(map(tuple, samples))
            s.work, s.levels, s.told_levels = list(work), list(levels), list(told_levels)
            if len(s.levels) != methods or any(not 0 <= row[4] < methods for row in samples):
                raise Unfit(f"slice {s.id} is of {len(s.levels)} methods, the settings have {methods}")
            s.shares = [servers[k] for k in shares]
            s.told = {servers[k]: weight for k, weight in lines}
            module.slices[s.id] = s
        for name, value in zip(CONDUCTOR, told["module"], strict=True):
            setattr(module, name, value)
        version, words, gauss = told["random"]
        module.random.setstate((version, tuple(words), gauss))
        module.proxies.update(dict.fromkeys(told["proxies"]))
        module.way = deque((mark, lines, set(proxies)) for mark, lines, proxies in told["way"])
        module.sent.extend(told["sent"])
        module.way_time = {(a, b): time for a, b, time in told["way_time"]}
    except (KeyError, ValueError, TypeError, IndexError) as fault:
        raise Unfit(f"a snapshot that does not hold what its format says: {fault!r}") from None
    return module


def standing(told: Mapping) -> list[tuple[str, tuple]]:
    """What stands by a snapshot, as an inbox would tell it: list, proxies, slices and the lines that were told."""
    told = converted(told)
    at = {name: k for k, name in enumerate(SERVER)}
    servers = [row[0] for row in told["servers"]]
    inbox: list[tuple[str, tuple]] = [
        (
            "listed",
            (True, False, [tuple(x[at[name]] for name in ("id", "zone", "state", "size", "started")) for x in servers]),
        )
    ]
    inbox += [("joined", (proxy,)) for proxy in told["proxies"]]
    for plain, _, _, _, _, _, lines in told["slices"]:
        inbox.append(("given", (plain[0],)))
        inbox += [("held", (plain[0], servers[k][0], weight)) for k, weight in lines]
    return inbox


def carry(old: Conductor, new: Conductor) -> None:
    """What a new module takes over from the one it follows in the same process: the streams go on, so what was
    sent on them still counts (rule 5), and receipts of it may yet come."""
    for name in CARRIED:
        setattr(new, name, getattr(old, name))


CARRIED = ("sent", "way", "mark", "receipt_at")


def settings_told(settings: Settings) -> dict:
    """Settings as plain values, by name."""
    return {**settings._asdict(), "methods": [list(m) for m in settings.methods]}


def settings_read(told: Mapping) -> Settings:
    """Settings from plain values; raises Unfit for a name that is missing or unknown."""
    unknown = set(told) - set(Settings._fields)
    missing = set(Settings._fields) - set(told) - set(Settings._field_defaults)  # an older recording's
    if unknown or missing:
        raise Unfit(f"settings {'without' if missing else 'with unknown'} {', '.join(sorted(missing or unknown))}")
    return Settings(**{**told, "methods": tuple(Method(*m) for m in told["methods"])})

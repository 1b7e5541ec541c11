"""Checkpoints: a module's whole state as plain values, and a module made from them that goes on the same.

Owns the lists of what is state and what follows from the settings alone. Knows nothing of recordings, files or fronts,
and must never leave out an attribute: a test compares these lists with the module's own attributes.
"""

from collections import deque
from collections.abc import Callable, Mapping

from knotwalk.decide import Conductor, Server, Slice
from knotwalk.interface import Method, Settings

FORMAT = 2  # rises with every change of the lists' number or order; an older snapshot is converted or refused

# Attributes stored as they are. Snapshots hold the values in this order, without the names.
SERVER = (
    "id",
    "state",
    "size",
    "started",
    "zone",
    "proven",
    "delisted",
    "leaving_since",
    "withdrawn",
    "ever_withdrawn",
    "quota",
    "health",
    "health_changed_at",
    "last_move_at",
    "reported_use",
    "reported_at",
    "others_load",
    "full_capacity",
    "capacity",
    "load",
    "rejected_load",
    "owned",
    "unmeasured",
    "incoming_load",
)
SLICE = ("id", "given_at", "urgent", "last_move_at", "demand_since", "demand", "demand_unknown")
CONDUCTOR = (
    "now",
    "first_slice_at",
    "last_taken_at",
    "demand_reported_at",
    "receipt_mark",
    "next_pass",
    "next_urgent",
    "wake_at",
    "next_send",
    "next_urgent_send",
    "next_leaving_send",
    "last_receipt_at",
    "list_retry_delay",
    "list_request_at",
    "has_started",
    "list_received",
    "list_confirmed",
    "send_due_at",
    "unit_capacity",
    "avg_capacity",
    "has_new_input",
)
# Attributes stored in another form: rows of samples, lists of numbers, and references to servers.
SERVER_ROWS, SERVER_APART = ("outcomes", "reports", "usage_samples", "load_shifts"), ()
SLICE_ROWS, SLICE_APART = ("samples",), ("method_demand", "levels", "sent_levels", "shares", "sent_lines")
CONDUCTOR_APART = ("random", "servers", "slices", "proxies", "in_flight", "sent_times", "zone_delays")
# Attributes that follow from the settings alone; not stored.
DERIVED = (
    "rpc_costs",
    "late_mean",
    "slow_mean",
    "method_order",
    "admits",
    "report_period",
    "messages_capped",
    "settle_time",
    "total_slices",
    "list_on_request",
    "one_line",
    "cold_share",
    "cold_time",
    "message_overhead",
    "max_waiting",
    "assumed_line_rate",
    "max_messages",
    "messages_span",
    "ordinary_interval",
    "sends_retry",
    "gone_must_leave",
    "controllers",
    "controller_index",
)


class SnapshotError(Exception):
    """A snapshot, or the settings stored with it, cannot be used; the text says what is wrong."""


def snapshot(module: Conductor) -> dict:
    """The module's whole state as dicts, lists, tuples, strings and numbers, sharing nothing mutable with the module.

    Servers and slices keep the module's own order, by which it breaks ties.
    """
    # Evicted servers that only shares or sent lines still refer to come after the others.
    servers = dict.fromkeys(module.servers.values())
    for s in module.slices.values():
        servers.update(dict.fromkeys([*s.shares, *s.sent_lines]))
    position = {x: k for k, x in enumerate(servers)}
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
                list(s.method_demand),
                list(s.levels),
                list(s.sent_levels),
                [position[x] for x in s.shares],
                [[position[x], weight] for x, weight in s.sent_lines.items()],
            ]
            for s in module.slices.values()
        ],
        "module": [getattr(module, name, 0.0) for name in CONDUCTOR],  # `now` is missing before the first round
        "random": [version, list(words), gauss],
        "proxies": list(module.proxies),
        "way": [
            [mark, lines, sorted(proxies, key=lambda p: -1 if p is None else p)]
            for mark, lines, proxies in module.in_flight
        ],
        "sent": list(module.sent_times),
        "way_time": [[*pair, time] for pair, time in module.zone_delays.items()],
    }


def from_format_1(snapshot: dict) -> dict:
    """Format 1 was for a single controller: it owns every server, and none counts as unmeasured."""
    servers = [[[*plain, True, False, 0.0], *rows, []] for plain, *rows in snapshot["servers"]]
    return {**snapshot, "format": 2, "servers": servers}


# By format: converts a snapshot to the next format.
CONVERTERS: dict[int, Callable[[dict], dict]] = {1: from_format_1}


def convert(snapshot: Mapping) -> dict:
    """A snapshot in the current format; raises SnapshotError for one that cannot be converted."""
    try:
        snapshot, format = dict(snapshot), snapshot["format"]
    except (TypeError, ValueError, KeyError):
        raise SnapshotError("not a snapshot: it has no format") from None
    while format in CONVERTERS and format < FORMAT:
        snapshot = CONVERTERS[format](snapshot)
        format = snapshot["format"]
    if format != FORMAT:
        raise SnapshotError(
            f"snapshot is in format {format}; this version reads {FORMAT}"
            + "".join(f", {k}" for k in sorted(CONVERTERS))
        )
    return snapshot


def restore(snapshot: Mapping, settings: Settings, make: Callable[..., Conductor] = Conductor) -> Conductor:
    """A module that goes on under these settings as the one that the snapshot was taken of.

    `make` makes an empty one. Raises SnapshotError where the snapshot does not hold what its format requires.
    """
    snapshot = convert(snapshot)
    module = make(settings, 0)
    try:
        servers = []
        for plain, outcomes, reports, usage_samples, load_shifts in snapshot["servers"]:
            x = Server(plain[0])
            for name, value in zip(SERVER, plain, strict=True):
                setattr(x, name, value)
            x.outcomes.extend(map(tuple, outcomes))
            x.reports.extend(map(tuple, reports))
            x.usage_samples.extend(map(tuple, usage_samples))
            x.load_shifts.extend(map(tuple, load_shifts))
            servers.append(x)
        module.servers.update((x.id, x) for x in servers[: snapshot["listed"]])
        methods = len(module.rpc_costs)
        for plain, samples, method_demand, levels, sent_levels, shares, lines in snapshot["slices"]:
            s = Slice(plain[0], plain[1])
            for name, value in zip(SLICE, plain, strict=True):
                setattr(s, name, value)
            s.samples.extend(map(tuple, samples))
            s.method_demand, s.levels, s.sent_levels = list(method_demand), list(levels), list(sent_levels)
            if len(s.levels) != methods or any(not 0 <= row[4] < methods for row in samples):
                raise SnapshotError(f"slice {s.id} has {len(s.levels)} methods, the settings have {methods}")
            s.shares = [servers[k] for k in shares]
            s.sent_lines = {servers[k]: weight for k, weight in lines}
            module.slices[s.id] = s
        for name, value in zip(CONDUCTOR, snapshot["module"], strict=True):
            setattr(module, name, value)
        version, words, gauss = snapshot["random"]
        module.random.setstate((version, tuple(words), gauss))
        module.proxies.update(dict.fromkeys(snapshot["proxies"]))
        module.in_flight = deque((mark, lines, set(proxies)) for mark, lines, proxies in snapshot["way"])
        module.sent_times.extend(snapshot["sent"])
        module.zone_delays = {(a, b): time for a, b, time in snapshot["way_time"]}
    except (KeyError, ValueError, TypeError, IndexError) as fault:
        raise SnapshotError(f"snapshot does not hold what its format requires: {fault!r}") from None
    return module


def inbox_of(snapshot: Mapping) -> list[tuple[str, tuple]]:
    """The inbox that brings an empty module to a snapshot's list, proxies, slices and sent lines."""
    snapshot = convert(snapshot)
    column = {name: k for k, name in enumerate(SERVER)}
    servers = [row[0] for row in snapshot["servers"]]
    inbox: list[tuple[str, tuple]] = [
        (
            "listed",
            (
                True,
                False,
                [tuple(x[column[name]] for name in ("id", "zone", "state", "size", "started")) for x in servers],
            ),
        )
    ]
    inbox += [("joined", (proxy,)) for proxy in snapshot["proxies"]]
    for plain, _, _, _, _, _, lines in snapshot["slices"]:
        inbox.append(("given", (plain[0],)))
        inbox += [("held", (plain[0], servers[k][0], weight)) for k, weight in lines]
    return inbox


def carry_over(old: Conductor, new: Conductor) -> None:
    """Copy what a new module takes over from its predecessor in the same process: the proxies' streams stay open, so
    messages sent on them still count (rule 5), and their receipts may yet come."""
    for name in CARRIED_OVER:
        setattr(new, name, getattr(old, name))


CARRIED_OVER = ("sent_times", "in_flight", "receipt_mark", "last_receipt_at")


def settings_to_dict(settings: Settings) -> dict:
    """Settings as plain values by name, as recordings store them."""
    return {**settings._asdict(), "methods": [list(m) for m in settings.methods]}


def settings_from_dict(payload: Mapping) -> Settings:
    """Settings from plain values; raises SnapshotError for a name that is missing or unknown."""
    unknown = set(payload) - set(Settings._fields)
    missing = set(Settings._fields) - set(payload) - set(Settings._field_defaults)  # older recordings lack some
    if unknown or missing:
        raise SnapshotError(
            f"settings {'without' if missing else 'with unknown'} {', '.join(sorted(missing or unknown))}"
        )
    return Settings(**{**payload, "methods": tuple(Method(*m) for m in payload["methods"])})

"""The simulator's wire: framing, values, words, and the hosting of instances.

A line that cannot be read is dropped with one plain message on standard error, and the batch goes
on without it. An exception in the decisions becomes the wire's FATAL.
"""

from collections.abc import Callable, Mapping
from typing import BinaryIO, TextIO

from knotwalk.decide import Conductor
from knotwalk.wire_values import LOAD_COLUMNS, SERVER_STATES, MalformedError, error_text, read_methods, read_settings

EVERY_SLICE = 65535


def fields_of(parts: list[str]) -> dict[str, str]:
    """Split name=value parts.

    >>> fields_of(["edge=4", "zone=cork"])
    {'edge': '4', 'zone': 'cork'}
    """
    fields = {}
    for part in parts:
        name, equals, value = part.partition("=")
        if not equals:
            raise MalformedError(f"'{part}' is not name=value")
        fields[name] = value
    return fields


class Writer:
    """Orders, written as the wire's actions."""

    def __init__(self, who: str, lines: list[str]):
        self._head, self._lines = f"AS who={who}", lines
        self._started = False

    def _put(self, action: str) -> None:
        if not self._started:
            self._started = True
            self._lines.append(self._head)
        self._lines.append(action)

    def line(self, slice_id: int, server: str, weight: float) -> None:
        self._put(f"ENDPOINT map_id={slice_id} w={weight:.6g} node={server}")

    def admit(self, slice_id: int | None, method: int, share: float, retry: int) -> None:
        table = EVERY_SLICE if slice_id is None else slice_id
        self._put(f"THROTTLE map_id={table} only={1 << method} allowance={share:.6g} on_failure={retry}")

    def withdraw(self, server: str, shut: bool) -> None:
        self._put(f"WITHDRAW active={int(shut)} node={server}")

    def receipt(self, mark: int) -> None:
        self._put(f"ASK_RECEIPT active=0 epoch={mark}")

    def watch(self) -> None:
        self._put("KEEP_INFORMED active=1")

    def wake(self, at: float) -> None:
        self._put(f"SLEEP cookie=0 at_us={int(at * 1e6) + 1}")

    def note(self, text: str) -> None:
        self._put(f"DEBUG msg={' '.join(text.split())}")


class Instance:
    """One hosted conductor: its settings' words and what came in for it this batch."""

    def __init__(self, seed: int, pairs: Mapping[str, str]):
        self.conductor = Conductor(read_settings(pairs), seed)
        self.columns = [LOAD_COLUMNS.get(name, name) for name in pairs.get("stats.columns", "").split(",")]
        self.methods = read_methods(pairs)
        self.inbox: list[tuple[str, tuple]] = []


Read = Callable[[str], str]


class Host:
    """All instances of this process. They share nothing but the numbered lists of the wire."""

    def __init__(self, complain: Callable[[str], None]):
        self.instances: dict[str, Instance] = {}
        self.banks: dict[int, list[tuple]] = {}
        self.complain = complain
        self.events = {
            name: getattr(self, "on_" + name.lower())
            for name in (
                "JOINED",
                "DROPPED_OFF",
                "TENURE",
                "ON_RECORD",
                "UPSTREAM_STATS",
                "PRESSURE",
                "CAUGHT_UP",
                "REMINDER",
                "PEERS_KNOWN",
            )
        }
        self.unused = {"PONG", "MAIL", "DEMAND"}

    # Each event's fields go straight into the call that the conductor will get.

    def on_joined(self, instance: Instance, f: Mapping[str, str]) -> None:
        instance.inbox.append(("joined", (int(f["edge"]),)))

    def on_dropped_off(self, instance: Instance, f: Mapping[str, str]) -> None:
        instance.inbox.append(("left", (int(f["edge"]),)))

    def on_tenure(self, instance: Instance, f: Mapping[str, str]) -> None:
        instance.inbox.append(("given" if f.get("active") == "1" else "taken", (int(f["map_id"]),)))

    def on_on_record(self, instance: Instance, f: Mapping[str, str]) -> None:
        instance.inbox.append(("held", (int(f["map_id"]), f["node"], float(f["w"]))))

    def on_upstream_stats(self, instance: Instance, f: Mapping[str, str]) -> None:
        row = f.get("gauge", "")
        load = {k: float(v) for k, v in zip(instance.columns, row.split(",")) if v} if row else {}
        instance.inbox.append(
            (
                "heard",
                (
                    f["node"],
                    f.get("zone", ""),
                    int(f["period_len_us"]) / 1e6,
                    int(f.get("count", 0)),
                    int(f.get("unanswered", 0)),
                    int(f.get("wait_time_us", 0)) / 1e6,
                    load,
                ),
            )
        )

    def on_pressure(self, instance: Instance, f: Mapping[str, str]) -> None:
        if f["tier_class"] not in instance.methods:
            raise MalformedError(f"no such class '{f['tier_class']}'")
        instance.inbox.append(
            (
                "wanted",
                (
                    int(f["map_id"]),
                    instance.methods[f["tier_class"]],
                    int(f["period_len_us"]) / 1e6,
                    int(f.get("count", 0)),
                ),
            )
        )

    def on_caught_up(self, instance: Instance, f: Mapping[str, str]) -> None:
        instance.inbox.append(("applied", (int(f["edge"]), int(f["epoch"]))))

    def on_reminder(self, instance: Instance, f: Mapping[str, str]) -> None:
        """The round itself is all that a timer asks for."""

    def on_peers_known(self, instance: Instance, f: Mapping[str, str]) -> None:
        form = f["form"]
        if form == "Error":
            instance.inbox.append(("list_failed", ()))
        elif form not in ("Partial", "Complete", "Persisted"):
            raise MalformedError(f"no such list form '{form}'")
        elif int(f["bank"]) not in self.banks:
            raise MalformedError(f"no PAGE has filled bank {f['bank']}")
        else:
            instance.inbox.append(("listed", (form != "Partial", form == "Persisted", self.banks[int(f["bank"])])))

    def item(self, line: str) -> tuple:
        """One list entry.

        >>> Host(print).item("ITEM node=10.0.0.1:80 zone=cork readiness=Running w=1.5 started_at_us=2500000")
        ('10.0.0.1:80', 'cork', 'ready', 1.5, 2.5)
        """
        parts = line.split(" ")
        if parts[0] != "ITEM":
            raise MalformedError(f"expected ITEM, got '{parts[0]}'")
        f = fields_of(parts[1:])
        if f["readiness"] not in SERVER_STATES:
            raise MalformedError(f"no such readiness '{f['readiness']}'")
        return (
            f["node"],
            f.get("zone", ""),
            SERVER_STATES[f["readiness"]],
            float(f.get("w", 1)),
            int(f.get("started_at_us", 0)) / 1e6,
        )

    def batch(self, first: str, next_line: Callable[[], str]) -> list[str]:
        """Take in one batch, from its SYNC line on; give the reply's lines."""
        head = fields_of(first.split(" ")[1:])
        now, frame = int(head["clock_us"]) / 1e6, int(head["frame"])
        who: str | None = None
        touched: dict[str, None] = {}
        while (line := next_line()) != "COMMIT":
            try:
                parts = line.split(" ")
                name = parts[0]
                if name == "CONTEXT":
                    who = fields_of(parts[1:])["who"]
                elif name == "PAGE":
                    f = fields_of(parts[1:])
                    entries = []
                    for _ in range(int(f["members_list"])):
                        try:
                            entries.append(self.item(next_line()))
                        except (MalformedError, KeyError, ValueError) as fault:
                            self.complain(f"list entry dropped: {error_text(fault)}")
                    self.banks[int(f["bank"])] = entries
                elif who is None:
                    raise MalformedError("an event before any CONTEXT")
                elif name == "BORN":
                    f = fields_of(parts[1:])
                    self.instances[who] = Instance(int(f["random_seed"]), f)
                    touched[who] = None
                elif name == "CRASH_NOW":
                    self.instances.pop(who, None)
                elif who not in self.instances:
                    raise MalformedError(f"{who} was never born")
                elif name in self.events:
                    self.events[name](self.instances[who], fields_of(parts[1:]))
                    touched[who] = None
                elif name not in self.unused:
                    raise MalformedError("no such event")
            except (MalformedError, KeyError, ValueError) as fault:
                self.complain(f"dropped '{line[:120]}': {error_text(fault)}")
        reply: list[str] = []
        for who in touched:
            if (instance := self.instances.get(who)) is not None:
                inbox, instance.inbox = instance.inbox, []
                try:
                    instance.conductor.decide(now, inbox, Writer(who, reply))
                except Exception as fault:  # whatever it is, the wire has one way to say so
                    text = " ".join(f"{type(fault).__name__}: {fault}".split())
                    reply += [f"AS who={who}", f"FATAL msg={text}"]
        reply.append(f"END frame={frame}")
        return reply


def serve(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Answer batches until the input ends; the exit code."""

    def complain(text: str) -> None:
        print(f"wirehost: {text}", file=errors, flush=True)

    def next_line() -> str:
        raw = source.readline()
        if not raw:
            raise EOFError
        return raw.decode("utf-8", "replace").rstrip("\r\n")

    host = Host(complain)
    while True:
        try:
            line = next_line()
        except EOFError:
            return 0
        if not line:
            continue
        try:
            if not line.startswith("SYNC "):
                raise MalformedError("expected SYNC")
            reply = host.batch(line, next_line)
        except EOFError:
            complain("the input ended within a batch")
            return 1
        except (MalformedError, KeyError, ValueError) as fault:
            complain(f"dropped '{line[:120]}': {error_text(fault)}")
            continue
        try:
            sink.write(("\n".join(reply) + "\n").encode())
            sink.flush()
        except BrokenPipeError:
            return 0

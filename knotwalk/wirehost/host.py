"""The simulator's wire protocol: framing, events, actions, and the hosting of conductor instances.

An invalid line is dropped with one message on standard error, and the batch continues without it. An exception in the
decisions is answered with the protocol's FATAL.
"""

from collections.abc import Callable, Mapping
from typing import BinaryIO, TextIO

from knotwalk.decide import Conductor
from knotwalk.wire_values import LOAD_COLUMNS, SERVER_STATES, MalformedError, error_text, read_methods, read_settings

EVERY_SLICE = 65535


def parse_fields(parts: list[str]) -> dict[str, str]:
    """Split name=value parts.

    >>> parse_fields(["edge=4", "zone=cork"])
    {'edge': '4', 'zone': 'cork'}
    """
    fields = {}
    for part in parts:
        name, equals, value = part.partition("=")
        if not equals:
            raise MalformedError(f"'{part}' is not name=value")
        fields[name] = value
    return fields


class ActionWriter:
    """Writes one instance's orders as the protocol's actions."""

    def __init__(self, instance_name: str, lines: list[str]):
        self._header, self._lines = f"AS who={instance_name}", lines
        self._started = False

    def _put(self, action: str) -> None:
        if not self._started:
            self._started = True
            self._lines.append(self._header)
        self._lines.append(action)

    def line(self, slice_id: int, server: str, weight: float) -> None:
        self._put(f"ENDPOINT map_id={slice_id} w={weight:.6g} node={server}")

    def admit(self, slice_id: int | None, method: int, share: float, retry: int) -> None:
        map_id = EVERY_SLICE if slice_id is None else slice_id
        self._put(f"THROTTLE map_id={map_id} only={1 << method} allowance={share:.6g} on_failure={retry}")

    def withdraw(self, server: str, is_withdrawn: bool) -> None:
        self._put(f"WITHDRAW active={int(is_withdrawn)} node={server}")

    def receipt(self, mark: int) -> None:
        self._put(f"ASK_RECEIPT active=0 epoch={mark}")

    def watch(self) -> None:
        self._put("KEEP_INFORMED active=1")

    def wake(self, due_at: float) -> None:
        self._put(f"SLEEP cookie=0 at_us={int(due_at * 1e6) + 1}")

    def note(self, text: str) -> None:
        self._put(f"DEBUG msg={' '.join(text.split())}")


class Instance:
    """One hosted conductor, the column and method names of its settings, and its inbox of the current batch."""

    def __init__(self, seed: int, pairs: Mapping[str, str]):
        self.conductor = Conductor(read_settings(pairs), seed)
        self.columns = [LOAD_COLUMNS.get(name, name) for name in pairs.get("stats.columns", "").split(",")]
        self.methods = read_methods(pairs)
        self.inbox: list[tuple[str, tuple]] = []


Read = Callable[[str], str]


class Host:
    """All instances of this process. They share nothing but the protocol's numbered server lists (banks)."""

    def __init__(self, report_error: Callable[[str], None]):
        self.instances: dict[str, Instance] = {}
        self.banks: dict[int, list[tuple]] = {}
        self.report_error = report_error
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

    # Each handler converts an event's fields to an inbox entry.

    def on_joined(self, instance: Instance, fields: Mapping[str, str]) -> None:
        instance.inbox.append(("joined", (int(fields["edge"]),)))

    def on_dropped_off(self, instance: Instance, fields: Mapping[str, str]) -> None:
        instance.inbox.append(("left", (int(fields["edge"]),)))

    def on_tenure(self, instance: Instance, fields: Mapping[str, str]) -> None:
        instance.inbox.append(("given" if fields.get("active") == "1" else "taken", (int(fields["map_id"]),)))

    def on_on_record(self, instance: Instance, fields: Mapping[str, str]) -> None:
        instance.inbox.append(("held", (int(fields["map_id"]), fields["node"], float(fields["w"]))))

    def on_upstream_stats(self, instance: Instance, fields: Mapping[str, str]) -> None:
        row = fields.get("gauge", "")
        load = {k: float(v) for k, v in zip(instance.columns, row.split(",")) if v} if row else {}
        instance.inbox.append(
            (
                "heard",
                (
                    fields["node"],
                    fields.get("zone", ""),
                    int(fields["period_len_us"]) / 1e6,
                    int(fields.get("count", 0)),
                    int(fields.get("unanswered", 0)),
                    int(fields.get("wait_time_us", 0)) / 1e6,
                    load,
                ),
            )
        )

    def on_pressure(self, instance: Instance, fields: Mapping[str, str]) -> None:
        if fields["tier_class"] not in instance.methods:
            raise MalformedError(f"no such class '{fields['tier_class']}'")
        instance.inbox.append(
            (
                "wanted",
                (
                    int(fields["map_id"]),
                    instance.methods[fields["tier_class"]],
                    int(fields["period_len_us"]) / 1e6,
                    int(fields.get("count", 0)),
                ),
            )
        )

    def on_caught_up(self, instance: Instance, fields: Mapping[str, str]) -> None:
        instance.inbox.append(("applied", (int(fields["edge"]), int(fields["epoch"]))))

    def on_reminder(self, instance: Instance, fields: Mapping[str, str]) -> None:
        """Do nothing: the event only triggers a round."""

    def on_peers_known(self, instance: Instance, fields: Mapping[str, str]) -> None:
        form = fields["form"]
        if form == "Error":
            instance.inbox.append(("list_failed", ()))
        elif form not in ("Partial", "Complete", "Persisted"):
            raise MalformedError(f"no such list form '{form}'")
        elif int(fields["bank"]) not in self.banks:
            raise MalformedError(f"no PAGE has filled bank {fields['bank']}")
        else:
            instance.inbox.append(("listed", (form != "Partial", form == "Persisted", self.banks[int(fields["bank"])])))

    def parse_item(self, line: str) -> tuple:
        """Parse one list entry.

        >>> Host(print).parse_item("ITEM node=10.0.0.1:80 zone=cork readiness=Running w=1.5 started_at_us=2500000")
        ('10.0.0.1:80', 'cork', 'ready', 1.5, 2.5)
        """
        parts = line.split(" ")
        if parts[0] != "ITEM":
            raise MalformedError(f"expected ITEM, got '{parts[0]}'")
        fields = parse_fields(parts[1:])
        if fields["readiness"] not in SERVER_STATES:
            raise MalformedError(f"no such readiness '{fields['readiness']}'")
        return (
            fields["node"],
            fields.get("zone", ""),
            SERVER_STATES[fields["readiness"]],
            float(fields.get("w", 1)),
            int(fields.get("started_at_us", 0)) / 1e6,
        )

    def handle_batch(self, first: str, next_line: Callable[[], str]) -> list[str]:
        """Handle one batch, from its SYNC line on, and return the lines of the reply."""
        header = parse_fields(first.split(" ")[1:])
        now, frame = int(header["clock_us"]) / 1e6, int(header["frame"])
        instance_name: str | None = None
        touched: dict[str, None] = {}
        while (line := next_line()) != "COMMIT":
            try:
                parts = line.split(" ")
                name = parts[0]
                if name == "CONTEXT":
                    instance_name = parse_fields(parts[1:])["who"]
                elif name == "PAGE":
                    fields = parse_fields(parts[1:])
                    entries = []
                    for _ in range(int(fields["members_list"])):
                        try:
                            entries.append(self.parse_item(next_line()))
                        except (MalformedError, KeyError, ValueError) as fault:
                            self.report_error(f"list entry dropped: {error_text(fault)}")
                    self.banks[int(fields["bank"])] = entries
                elif instance_name is None:
                    raise MalformedError("an event before any CONTEXT")
                elif name == "BORN":
                    fields = parse_fields(parts[1:])
                    self.instances[instance_name] = Instance(int(fields["random_seed"]), fields)
                    touched[instance_name] = None
                elif name == "CRASH_NOW":
                    self.instances.pop(instance_name, None)
                elif instance_name not in self.instances:
                    raise MalformedError(f"{instance_name} was never born")
                elif name in self.events:
                    self.events[name](self.instances[instance_name], parse_fields(parts[1:]))
                    touched[instance_name] = None
                elif name not in self.unused:
                    raise MalformedError("no such event")
            except (MalformedError, KeyError, ValueError) as fault:
                self.report_error(f"dropped '{line[:120]}': {error_text(fault)}")
        reply: list[str] = []
        for instance_name in touched:
            if (instance := self.instances.get(instance_name)) is not None:
                inbox, instance.inbox = instance.inbox, []
                try:
                    instance.conductor.decide(now, inbox, ActionWriter(instance_name, reply))
                except Exception as fault:  # the protocol reports any exception as FATAL
                    text = " ".join(f"{type(fault).__name__}: {fault}".split())
                    reply += [f"AS who={instance_name}", f"FATAL msg={text}"]
        reply.append(f"END frame={frame}")
        return reply


def serve(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Answer batches until the input ends; return the exit code."""

    def report_error(text: str) -> None:
        print(f"wirehost: {text}", file=errors, flush=True)

    def next_line() -> str:
        raw = source.readline()
        if not raw:
            raise EOFError
        return raw.decode("utf-8", "replace").rstrip("\r\n")

    host = Host(report_error)
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
            reply = host.handle_batch(line, next_line)
        except EOFError:
            report_error("the input ended within a batch")
            return 1
        except (MalformedError, KeyError, ValueError) as fault:
            report_error(f"dropped '{line[:120]}': {error_text(fault)}")
            continue
        try:
            sink.write(("\n".join(reply) + "\n").encode())
            sink.flush()
        except BrokenPipeError:
            return 0

"""The command `knotwalk record`: what files hold, whether they are whole, and the same as Parquet.

Reads recordings and changes none; exports go to a folder of their own.
"""

import json
import sys
from pathlib import Path

from knotwalk.record import format
from knotwalk.record.reader import Loss, Recording, Unusable

WHOLE, UNUSABLE, DAMAGED = 0, 2, 3
ROWS = 1 << 16      # rows kept before they are written: a day must not fill the memory

# Tables of an export: columns and their types, in pyarrow's words.
TABLES = {
    "rounds": {"incarnation": "string", "number": "int64", "at": "float64", "events": "int32", "orders": "int32",
               "failed": "bool"},
    "heard": {"incarnation": "string", "at": "float64", "server": "string", "zone": "string", "span": "float64",
              "tries": "int64", "aborted": "int64", "latency": "float64", "utilization": "float64", "qps": "float64"},
    "wanted": {"incarnation": "string", "at": "float64", "slice": "int64", "method": "int32", "span": "float64",
               "rpcs": "int64"},
    "listed": {"incarnation": "string", "at": "float64", "full": "bool", "server": "string", "zone": "string",
               "state": "string", "size": "float64", "started": "float64"},
    "orders": {"incarnation": "string", "at": "float64", "order": "string", "slice": "int64", "server": "string",
               "method": "int32", "value": "float64", "retry": "int32"},
    "lives": {"incarnation": "string", "at": "float64", "why": "string", "seed": "string", "policy": "string",
              "settings": "string"},
    "losses": {"incarnation": "string", "since": "float64", "until": "float64", "frames": "int64", "why": "string"},
}


def info(recording: Recording) -> dict:
    """What the files hold, by their heads alone."""
    told = []
    for incarnation, blocks in recording.incarnations.items():
        segments = [x for x in recording.segments if x.incarnation == incarnation]
        told.append({
            "incarnation": incarnation, "segments": len(segments), "bytes": sum(x.size for x in segments),
            "closed": all(x.whole for x in segments), "blocks": len(blocks),
            "frames": sum(x.lot.frames for x in blocks),
            "checkpoints": sum(x.lot.flags & format.CHECKED for x in blocks),
            "begun": blocks[0].lot.begun if blocks else None, "ended": blocks[-1].lot.ended if blocks else None})
    return {"conductor": recording.conductor, "incarnations": told, "faults": [str(x) for x in recording.faults]}


def verify(recording: Recording) -> dict:
    """Read every block; what is damaged or missing."""
    losses, frames = [], 0
    for incarnation, blocks in recording.incarnations.items():
        for event in recording.events(blocks):
            if isinstance(event, Loss):
                losses.append({"incarnation": incarnation, "since": event.since, "until": event.until,
                               "frames": event.count, "why": event.why})
            else:
                frames += 1
    return {"frames": frames, "losses": losses, "faults": [str(x) for x in recording.faults]}


class Export:
    """Tables on their way into Parquet files."""

    def __init__(self, folder: Path):
        import pyarrow
        import pyarrow.parquet
        self.arrow, self.folder = pyarrow, folder
        folder.mkdir(parents=True, exist_ok=True)
        self.schemas = {name: pyarrow.schema([(column, pyarrow.type_for_alias(kind)) for column, kind in columns.items()])
                        for name, columns in TABLES.items()}
        self.writers = {name: pyarrow.parquet.ParquetWriter(folder / f"{name}.parquet", schema, compression="zstd")
                        for name, schema in self.schemas.items()}
        self.rows: dict[str, list[tuple]] = {name: [] for name in TABLES}
        self.counts = dict.fromkeys(TABLES, 0)

    def put(self, table: str, *row: object) -> None:
        self.rows[table].append(row)
        if len(self.rows[table]) >= ROWS:
            self.flush(table)

    def flush(self, table: str) -> None:
        rows, self.rows[table] = self.rows[table], []
        if rows:
            columns = zip(*rows)
            schema = self.schemas[table]
            self.writers[table].write_table(self.arrow.table(
                [self.arrow.array(list(column), field.type) for column, field in zip(columns, schema)], schema=schema))
            self.counts[table] += len(rows)

    def close(self) -> None:
        for table, writer in self.writers.items():
            self.flush(table)
            writer.close()

    def event(self, incarnation: str, event: list | Loss) -> None:
        if isinstance(event, Loss):
            self.put("losses", incarnation, event.since, event.until, event.count, event.why)
            return
        kind, number, at, *rest = event
        if kind == format.LIFE:
            life = rest[0]
            self.put("lives", incarnation, at, life["why"], life["seed"], life["policy"], json.dumps(life["settings"]))
        if kind not in (format.ROUND, format.FAILED):
            return
        self.put("rounds", incarnation, number, at, len(rest[0]), len(rest[1]), kind == format.FAILED)
        for name, f in rest[0]:
            if name == "heard":
                self.put("heard", incarnation, at, *f[:6], f[6].get("utilization"), f[6].get("qps"))
            elif name == "wanted":
                self.put("wanted", incarnation, at, *f)
            elif name == "listed":
                for entry in f[2]:
                    self.put("listed", incarnation, at, f[0], *entry)
        for name, f in rest[1]:
            if name == "line":
                self.put("orders", incarnation, at, name, f[0], f[1], None, f[2], None)
            elif name == "admit":
                self.put("orders", incarnation, at, name, f[0], None, f[1], f[2], f[3])
            elif name == "withdraw":
                self.put("orders", incarnation, at, name, None, f[0], None, float(f[1]), None)
            elif name in ("receipt", "wake"):
                self.put("orders", incarnation, at, name, None, None, None, float(f[0]), None)


def export(recording: Recording, folder: str) -> dict:
    out = Export(Path(folder))
    try:
        for incarnation, blocks in recording.incarnations.items():
            for event in recording.events(blocks):
                out.event(incarnation, event)
    finally:
        out.close()
    return {"folder": folder, "rows": out.counts, "faults": [str(x) for x in recording.faults]}


def record(options: dict) -> int:
    """`knotwalk record`, with docopt's options; the exit code."""
    try:
        recording = Recording(options["RECORDING"], options["--conductor"])
        if options["info"]:
            told = info(recording)
        elif options["verify"]:
            told = verify(recording)
        else:
            told = export(recording, options["--into"])
    except Unusable as fault:
        print(f"knotwalk: {fault}", file=sys.stderr)
        return UNUSABLE
    except OSError as fault:
        print(f"knotwalk: {fault.filename}: {fault.strerror}", file=sys.stderr)
        return UNUSABLE
    except ImportError as fault:
        print(f"knotwalk: {fault.name} is not installed; pip install 'knotwalk[replay]' brings it", file=sys.stderr)
        return UNUSABLE
    if options["--json"]:
        print(json.dumps(told, default=str))
    else:
        show(told)
    return DAMAGED if told["faults"] or told.get("losses") else WHOLE


def show(told: dict) -> None:
    """Plain lines."""
    for name, value in told.items():
        if isinstance(value, list):
            for row in value:
                print(f"{name[:-1] if name.endswith('s') else name}: " + (
                    ", ".join(f"{k} {v}" for k, v in row.items()) if isinstance(row, dict) else str(row)))
        elif isinstance(value, dict):
            print(f"{name}: " + ", ".join(f"{k} {v}" for k, v in value.items()))
        else:
            print(f"{name}: {value}")

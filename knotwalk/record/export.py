"""Recordings as Parquet: one file a table, for whatever else the operators ask of a day.

Owns the tables' columns, which may only grow. It reads recordings and writes to a folder of its own; pyarrow is loaded
with it, so nothing of the daemon may import it.
"""

import json
from pathlib import Path

import pyarrow
import pyarrow.parquet

from knotwalk.record import format
from knotwalk.record.reader import Loss, Recording

ROWS = 1 << 16  # rows kept before they are written: a day must not fill the memory

# Tables of an export: columns and their types, in pyarrow's words.
TABLES = {
    "rounds": {
        "incarnation": "string",
        "number": "int64",
        "at": "float64",
        "events": "int32",
        "orders": "int32",
        "failed": "bool",
    },
    "heard": {
        "incarnation": "string",
        "at": "float64",
        "server": "string",
        "zone": "string",
        "span": "float64",
        "tries": "int64",
        "aborted": "int64",
        "latency": "float64",
        "utilization": "float64",
        "qps": "float64",
    },
    "wanted": {
        "incarnation": "string",
        "at": "float64",
        "slice": "int64",
        "method": "int32",
        "span": "float64",
        "rpcs": "int64",
    },
    "listed": {
        "incarnation": "string",
        "at": "float64",
        "full": "bool",
        "server": "string",
        "zone": "string",
        "state": "string",
        "size": "float64",
        "started": "float64",
    },
    "orders": {
        "incarnation": "string",
        "at": "float64",
        "order": "string",
        "slice": "int64",
        "server": "string",
        "method": "int32",
        "value": "float64",
        "retry": "int32",
    },
    "lives": {
        "incarnation": "string",
        "at": "float64",
        "why": "string",
        "seed": "string",
        "policy": "string",
        "settings": "string",
    },
    "losses": {"incarnation": "string", "since": "float64", "until": "float64", "frames": "int64", "why": "string"},
}


class Export:
    """Tables on their way into Parquet files."""

    def __init__(self, folder: Path):
        folder.mkdir(parents=True, exist_ok=True)
        alias = pyarrow.type_for_alias
        self.schemas = {
            name: pyarrow.schema([(column, alias(kind)) for column, kind in columns.items()])
            for name, columns in TABLES.items()
        }
        self.writers = {
            name: pyarrow.parquet.ParquetWriter(folder / f"{name}.parquet", schema, compression="zstd")
            for name, schema in self.schemas.items()
        }
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
            self.writers[table].write_table(
                pyarrow.table(
                    [pyarrow.array(list(column), field.type) for column, field in zip(columns, schema)], schema=schema
                )
            )
            self.counts[table] += len(rows)

    def close(self) -> None:
        for table, writer in self.writers.items():
            self.flush(table)
            writer.close()

    def event(self, incarnation: str, event: list | Loss) -> None:
        if isinstance(event, Loss):
            self.put("losses", incarnation, event.since, event.until, event.frames, event.why)
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

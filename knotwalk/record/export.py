"""Exports recordings to Parquet, one file per table, for analysis with other tools.

Columns may be added to the tables, but never removed or changed. This module imports pyarrow, so the daemon must not
import it.
"""

import json
from pathlib import Path

import pyarrow
import pyarrow.parquet

from knotwalk.record import format
from knotwalk.record.reader import Loss, Recording

MAX_BUFFERED_ROWS = 1 << 16  # per table, before they are written: a recorded day may not fit in memory

# Columns of each table, with their types as pyarrow aliases.
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


class Exporter:
    """Buffers rows of each table and writes them to Parquet files."""

    def __init__(self, folder: Path):
        folder.mkdir(parents=True, exist_ok=True)
        type_for_alias = pyarrow.type_for_alias
        self.schemas = {
            name: pyarrow.schema([(column, type_for_alias(kind)) for column, kind in columns.items()])
            for name, columns in TABLES.items()
        }
        self.writers = {
            name: pyarrow.parquet.ParquetWriter(folder / f"{name}.parquet", schema, compression="zstd")
            for name, schema in self.schemas.items()
        }
        self.rows: dict[str, list[tuple]] = {name: [] for name in TABLES}
        self.counts = dict.fromkeys(TABLES, 0)

    def add_row(self, table: str, *row: object) -> None:
        self.rows[table].append(row)
        if len(self.rows[table]) >= MAX_BUFFERED_ROWS:
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

    def add_event(self, incarnation: str, event: list | Loss) -> None:
        if isinstance(event, Loss):
            self.add_row("losses", incarnation, event.since, event.until, event.frames, event.why)
            return
        kind, number, at, *rest = event
        if kind == format.LIFE:
            life = rest[0]
            self.add_row(
                "lives", incarnation, at, life["why"], life["seed"], life["policy"], json.dumps(life["settings"])
            )
        if kind not in (format.ROUND, format.FAILED):
            return
        self.add_row("rounds", incarnation, number, at, len(rest[0]), len(rest[1]), kind == format.FAILED)
        for name, arguments in rest[0]:
            if name == "heard":
                self.add_row(
                    "heard", incarnation, at, *arguments[:6], arguments[6].get("utilization"), arguments[6].get("qps")
                )
            elif name == "wanted":
                self.add_row("wanted", incarnation, at, *arguments)
            elif name == "listed":
                for entry in arguments[2]:
                    self.add_row("listed", incarnation, at, arguments[0], *entry)
        for name, arguments in rest[1]:
            if name == "line":
                self.add_row("orders", incarnation, at, name, arguments[0], arguments[1], None, arguments[2], None)
            elif name == "admit":
                self.add_row(
                    "orders", incarnation, at, name, arguments[0], None, arguments[1], arguments[2], arguments[3]
                )
            elif name == "withdraw":
                self.add_row("orders", incarnation, at, name, None, arguments[0], None, float(arguments[1]), None)
            elif name in ("receipt", "wake"):
                self.add_row("orders", incarnation, at, name, None, None, None, float(arguments[0]), None)


def export(recording: Recording, folder: str) -> dict:
    exporter = Exporter(Path(folder))
    try:
        for incarnation, blocks in recording.incarnations.items():
            for event in recording.events(blocks):
                exporter.add_event(incarnation, event)
    finally:
        exporter.close()
    return {"folder": folder, "rows": exporter.counts, "faults": [str(x) for x in recording.faults]}

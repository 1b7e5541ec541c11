"""The format of a recording: frames, blocks, segments. docs/formats/recording.md has it in words.

Owns the bytes. Fed values or bytes, it knows no file; it must never take a damaged block for a whole one.
"""

import struct
import zlib
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

import msgpack

FORMAT = 1
# Kinds of frames. Each is a list [kind, number, time, ...]; numbers of an incarnation count up by one.
LIFE, ROUND, FAILED, CHECK, GAP, END = range(6)
KINDS = ("life", "round", "failed", "checkpoint", "gap", "end")

MAGIC, BLOCK, INDEX = b"KNOTWALK", b"KWB1", b"KWX1"
HEAD = struct.Struct("<8sHII")  # magic, format, bytes of the map, its checksum
# magic, flags, bytes, bytes unpacked, frames, first number, first and last time, checksum of the payload, of this
LOT = struct.Struct("<4sHIIIQddII")
CHECKED = 1  # flag: the first frame is a checkpoint
PAYLOAD_MOST = 1 << 28  # bytes of a block unpacked: a damaged length must not fill the memory

# What each position of a handler or order holds: n a name, kept once a block; l a load report; e list entries.
# A code is a place in these tables, so they may only grow at the end.
HANDLERS = {
    "listed": "..e",
    "list_failed": "",
    "joined": ".",
    "left": ".",
    "given": ".",
    "taken": ".",
    "held": ".n.",
    "wanted": "....",
    "heard": "nn....l",
    "applied": "..",
    "receipts_lost": "",
}
ORDERS = {"line": ".n.", "admit": "....", "withdraw": "n.", "receipt": ".", "watch": "", "wake": ".", "note": "."}


class Damaged(Exception):
    """Bytes that are no whole block or segment; the text says what is wrong."""


class Names:
    """The names of one block: each is kept once, and a frame holds its place."""

    def __init__(self, names: Iterable[str] = ()):
        self.names = list(names)
        self.places = {name: k for k, name in enumerate(self.names)}

    def place(self, name: str) -> int:
        if name not in self.places:
            self.places[name] = len(self.names)
            self.names.append(name)
        return self.places[name]

    def packed(self, rows: Iterable, table: dict[str, str]) -> list:
        """Handlers or orders as lists that begin with their code; what the table lacks goes by its name."""
        codes, out, place = {name: k for k, name in enumerate(table)}, [], self.place
        for name, arguments in rows:
            shape = table.get(name)
            if shape is None or len(shape) != len(arguments):
                out.append([name, *arguments])
                continue
            row = [codes[name]]
            for kind, value in zip(shape, arguments):
                if kind == "n":
                    value = place(value)
                elif kind == "l":
                    value = [x for k, v in value.items() for x in (place(k), v)]
                elif kind == "e":
                    value = [[place(e[0]), place(e[1]), place(e[2]), *e[3:]] for e in value]
                row.append(value)
            out.append(row)
        return out

    def unpacked(self, rows: Iterable, table: dict[str, str]) -> list:
        """The opposite: (name, arguments) as the module takes them."""
        known, out, names = list(table.items()), [], self.names
        for code, *values in rows:
            if isinstance(code, str):
                out.append((code, tuple(values)))
                continue
            name, shape = known[code]
            if "n" in shape or "l" in shape or "e" in shape:
                for k, kind in enumerate(shape):
                    if kind == "n":
                        values[k] = names[values[k]]
                    elif kind == "l":
                        flat = values[k]
                        values[k] = {names[flat[i]]: flat[i + 1] for i in range(0, len(flat), 2)}
                    elif kind == "e":
                        values[k] = [(names[e[0]], names[e[1]], names[e[2]], *e[3:]) for e in values[k]]
            out.append((name, tuple(values)))
        return out


class Lot(NamedTuple):
    """What stands in the head of a block."""

    flags: int
    size: int  # bytes of the payload as it lies there
    whole: int  # bytes unpacked
    frames: int
    first: int  # number of the first frame
    begun: float
    ended: float
    check: int


def block(frames: list[list], compress: Callable[[bytes], bytes]) -> bytes:
    """Frames as one block. Frames hold inbox as (handler, arguments) and orders as (order, arguments)."""
    names, out = Names(), []
    for frame in frames:
        if frame[0] in (ROUND, FAILED):
            frame = [*frame[:3], names.packed(frame[3], HANDLERS), names.packed(frame[4], ORDERS), *frame[5:]]
        out.append(frame)
    pack = msgpack.Packer()
    raw = b"".join([pack.pack(names.names), *map(pack.pack, out)])
    payload = compress(raw)
    head = LOT.pack(
        BLOCK,
        CHECKED if frames[0][0] == CHECK else 0,
        len(payload),
        len(raw),
        len(frames),
        frames[0][1],
        frames[0][2],
        frames[-1][2],
        zlib.crc32(payload),
        0,
    )
    return head[:-4] + struct.pack("<I", zlib.crc32(head[:-4])) + payload


def lot_of(data: bytes) -> Lot:
    """The head of a block; raises Damaged."""
    if len(data) < LOT.size:
        raise Damaged("the file ends within the head of a block")
    magic, *rest, check = LOT.unpack(data[: LOT.size])
    if magic != BLOCK or check != zlib.crc32(data[: LOT.size - 4]) or rest[2] > PAYLOAD_MOST:
        raise Damaged("no head of a block, or a damaged one")
    return Lot(*rest)


def frames_of(lot: Lot, payload: bytes, expand: Callable[[bytes, int], bytes]) -> Iterator[list]:
    """The frames of a block; raises Damaged before the first if any of it is."""
    if len(payload) != lot.size:
        raise Damaged("the file ends within a block")
    if zlib.crc32(payload) != lot.check:
        raise Damaged("a block's checksum differs")
    try:
        parts = msgpack.Unpacker(max_buffer_size=PAYLOAD_MOST, strict_map_key=False)
        parts.feed(expand(payload, lot.whole))
        names = Names(next(parts))
        rows = list(parts)
    except Exception as fault:  # a checksum that fits bytes which do not unpack: another writer's mistake
        raise Damaged(f"a block does not unpack: {fault}") from None
    if len(rows) != lot.frames:
        raise Damaged(f"a block of {len(rows)} frames says that it has {lot.frames}")
    for frame in rows:
        if frame[0] in (ROUND, FAILED):
            frame[3] = names.unpacked(frame[3], HANDLERS)
            frame[4] = names.unpacked(frame[4], ORDERS)
        yield frame


def header(told: dict) -> bytes:
    """The head of a segment."""
    body = msgpack.packb(told)
    return HEAD.pack(MAGIC, FORMAT, len(body), zlib.crc32(body)) + body


def header_of(data: bytes) -> tuple[dict, int]:
    """What the head of a segment says, and where its blocks begin; raises Damaged."""
    if len(data) < HEAD.size or data[:8] != MAGIC:
        raise Damaged("no recording")
    _, format, size, check = HEAD.unpack(data[: HEAD.size])
    if format != FORMAT:
        raise Damaged(f"a recording of format {format}; this version reads {FORMAT}")
    body = data[HEAD.size : HEAD.size + size]
    if len(body) != size or zlib.crc32(body) != check:
        raise Damaged("the head of the segment is damaged")
    return msgpack.unpackb(body), HEAD.size + size


def index(rows: list[list]) -> bytes:
    """What closes a whole segment: offset and head of each block, found from the file's end."""
    body = msgpack.packb(rows)
    return INDEX + body + struct.pack("<II4s", len(body), zlib.crc32(body), INDEX)


def index_of(tail: bytes) -> list[list] | None:
    """The index, if these last bytes of a file end with a whole one."""
    if len(tail) < 16 or tail[-4:] != INDEX:
        return None
    size, check, _ = struct.unpack("<II4s", tail[-12:])
    body = tail[-12 - size : -12]
    return msgpack.unpackb(body) if len(body) == size and zlib.crc32(body) == check else None

"""The binary format of a recording: frames, blocks and segments; docs/formats/recording.md describes it.

A frame is one event (a round, a checkpoint, ...), a block is a compressed run of frames, and a segment is one file of
blocks. This module encodes and decodes bytes and opens no files. It must never accept a damaged block as intact.
"""

import struct
import zlib
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

import msgpack

FORMAT = 1
# Kinds of frames. Each frame is a list [kind, number, time, ...]; numbers start at 0 for each incarnation (run of the
# process) and increase by one. LIFE marks the creation of a Conductor object, of which an incarnation may have several.
LIFE, ROUND, FAILED, CHECKPOINT, GAP, END = range(6)
KINDS = ("life", "round", "failed", "checkpoint", "gap", "end")

SEGMENT_MAGIC, BLOCK_MAGIC, INDEX_MAGIC = b"KNOTWALK", b"KWB1", b"KWX1"
SEGMENT_HEADER = struct.Struct("<8sHII")  # magic, format version, length and CRC-32 of the msgpack map that follows
# magic, flags, payload bytes, decompressed bytes, frame count, first frame number, first and last time, CRC-32 of the
# payload, CRC-32 of this header
BLOCK_HEADER = struct.Struct("<4sHIIIQddII")
STARTS_WITH_CHECKPOINT = 1  # flag: the first frame is a checkpoint
MAX_PAYLOAD_BYTES = 1 << 28  # limit on a decompressed block, so that a damaged length can't exhaust memory

# The encoding of each argument of a handler or order: n is a name, stored once per block; l is a load report (dict by
# name); e is a list of server entries; a dot is stored as it is. An entry's code is its position in these tables, so
# entries may only be appended.
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


class DamagedError(Exception):
    """The bytes are not an intact block or segment; the message says what is wrong."""


class NameTable:
    """The string table of one block: each name is stored once, and frames hold its position."""

    def __init__(self, names: Iterable[str] = ()):
        self.names = list(names)
        self.positions = {name: k for k, name in enumerate(self.names)}

    def position_of(self, name: str) -> int:
        if name not in self.positions:
            self.positions[name] = len(self.names)
            self.names.append(name)
        return self.positions[name]

    def pack_rows(self, rows: Iterable, table: dict[str, str]) -> list:
        """Encode handlers or orders as lists that begin with their code, or with their name if the table lacks them."""
        codes, encoded, position_of = {name: k for k, name in enumerate(table)}, [], self.position_of
        for name, arguments in rows:
            shape = table.get(name)
            if shape is None or len(shape) != len(arguments):
                encoded.append([name, *arguments])
                continue
            row = [codes[name]]
            for kind, value in zip(shape, arguments):
                if kind == "n":
                    value = position_of(value)
                elif kind == "l":
                    value = [x for k, v in value.items() for x in (position_of(k), v)]
                elif kind == "e":
                    value = [[position_of(e[0]), position_of(e[1]), position_of(e[2]), *e[3:]] for e in value]
                row.append(value)
            encoded.append(row)
        return encoded

    def unpack_rows(self, rows: Iterable, table: dict[str, str]) -> list:
        """Decode rows of `pack_rows` to (name, arguments) pairs."""
        known, decoded, names = list(table.items()), [], self.names
        for code, *values in rows:
            if isinstance(code, str):
                decoded.append((code, tuple(values)))
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
            decoded.append((name, tuple(values)))
        return decoded


class BlockHeader(NamedTuple):
    """The fields of a block's header, in their order on disk."""

    flags: int
    payload_bytes: int  # compressed
    decompressed_bytes: int
    frame_count: int
    first_number: int  # of the first frame
    begins_at: float  # time of the first frame, seconds
    ends_at: float  # time of the last frame
    payload_crc: int


def encode_block(frames: list[list], compress: Callable[[bytes], bytes]) -> bytes:
    """Encode frames as one block. Inboxes hold (handler, arguments), orders (order, arguments) pairs."""
    names, encoded = NameTable(), []
    for frame in frames:
        if frame[0] in (ROUND, FAILED):
            frame = [*frame[:3], names.pack_rows(frame[3], HANDLERS), names.pack_rows(frame[4], ORDERS), *frame[5:]]
        encoded.append(frame)
    pack = msgpack.Packer()
    raw = b"".join([pack.pack(names.names), *map(pack.pack, encoded)])
    payload = compress(raw)
    head = BLOCK_HEADER.pack(
        BLOCK_MAGIC,
        STARTS_WITH_CHECKPOINT if frames[0][0] == CHECKPOINT else 0,
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


def parse_block_header(data: bytes) -> BlockHeader:
    """Parse a block's header; raises DamagedError."""
    if len(data) < BLOCK_HEADER.size:
        raise DamagedError("file truncated within a block header")
    magic, *rest, check = BLOCK_HEADER.unpack(data[: BLOCK_HEADER.size])
    if magic != BLOCK_MAGIC or check != zlib.crc32(data[: BLOCK_HEADER.size - 4]) or rest[2] > MAX_PAYLOAD_BYTES:
        raise DamagedError("block header missing or damaged")
    return BlockHeader(*rest)


def decode_frames(header: BlockHeader, payload: bytes, decompress: Callable[[bytes, int], bytes]) -> Iterator[list]:
    """Decode the frames of a block; if any part is damaged, raises DamagedError before the first frame."""
    if len(payload) != header.payload_bytes:
        raise DamagedError("file truncated within a block")
    if zlib.crc32(payload) != header.payload_crc:
        raise DamagedError("block checksum mismatch")
    try:
        parts = msgpack.Unpacker(max_buffer_size=MAX_PAYLOAD_BYTES, strict_map_key=False)
        parts.feed(decompress(payload, header.decompressed_bytes))
        names = NameTable(next(parts))
        rows = list(parts)
    except Exception as error:  # the checksum matches but the content is invalid: written by a faulty writer
        raise DamagedError(f"block cannot be decoded: {error}") from None
    if len(rows) != header.frame_count:
        raise DamagedError(f"block holds {len(rows)} frames, but its header says {header.frame_count}")
    for frame in rows:
        if frame[0] in (ROUND, FAILED):
            frame[3] = names.unpack_rows(frame[3], HANDLERS)
            frame[4] = names.unpack_rows(frame[4], ORDERS)
        yield frame


def encode_segment_header(fields: dict) -> bytes:
    """Encode the header of a segment."""
    body = msgpack.packb(fields)
    return SEGMENT_HEADER.pack(SEGMENT_MAGIC, FORMAT, len(body), zlib.crc32(body)) + body


def parse_segment_header(data: bytes) -> tuple[dict, int]:
    """Return the fields of a segment's header and the offset of its first block; raises DamagedError."""
    if len(data) < SEGMENT_HEADER.size or data[:8] != SEGMENT_MAGIC:
        raise DamagedError("not a recording")
    _, format, size, check = SEGMENT_HEADER.unpack(data[: SEGMENT_HEADER.size])
    if format != FORMAT:
        raise DamagedError(f"recording has format {format}; this version reads format {FORMAT}")
    body = data[SEGMENT_HEADER.size : SEGMENT_HEADER.size + size]
    if len(body) != size or zlib.crc32(body) != check:
        raise DamagedError("segment header damaged")
    return msgpack.unpackb(body), SEGMENT_HEADER.size + size


def encode_index(rows: list[list]) -> bytes:
    """Encode the index at the end of a closed segment: the offset and header fields of each block."""
    body = msgpack.packb(rows)
    return INDEX_MAGIC + body + struct.pack("<II4s", len(body), zlib.crc32(body), INDEX_MAGIC)


def parse_index(tail: bytes) -> list[list] | None:
    """Parse the index at the end of a file's last bytes; None if there is no intact one."""
    if len(tail) < 16 or tail[-4:] != INDEX_MAGIC:
        return None
    size, check, _ = struct.unpack("<II4s", tail[-12:])
    body = tail[-12 - size : -12]
    return msgpack.unpackb(body) if len(body) == size and zlib.crc32(body) == check else None

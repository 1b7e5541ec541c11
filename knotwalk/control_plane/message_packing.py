"""The claim groups' most frequent messages as short lists on the wire: they go many times a second, also between zones.
Pure."""

from __future__ import annotations

FIELDS = {
    "append": ("term", "prev", "prev_term", "entries", "commit", "stamp", "round"),
    "appended": ("term", "ok", "match", "have", "stamp", "round"),
}
CODES = {"append": 0, "appended": 1}
TYPES = {code: type for type, code in CODES.items()}


def pack(message: dict) -> list | dict:
    """Encode a message of a group as a list: type, group, address, sender, receiver, then its fields in their order.

    A sender's id that begins with its address is sent without it. A message of another type, or with other fields, is
    returned as it is.

    >>> pack({"type": "gone", "group": 0})
    {'type': 'gone', 'group': 0}
    """
    fields = FIELDS.get(message["type"])
    if fields is None or len(message) != len(fields) + 5 or any(name not in message for name in fields):
        return message
    sender = message["from"].removeprefix(message["at"])
    head = [CODES[message["type"]], message["group"], message["at"], sender, message["to"]]
    return [*head, *(message[name] for name in fields)]


def unpack(raw: list | dict) -> dict:
    """The inverse of `pack`; ValueError or KeyError for a list that it can't have returned."""
    if isinstance(raw, dict):
        return raw
    code, group, address, sender, to, *values = raw
    message_type = TYPES[code]
    message = {
        "type": message_type,
        "group": group,
        "at": address,
        "from": address + sender if sender.startswith("#") else sender,
        "to": to,
    }
    return message | dict(zip(FIELDS[message_type], values, strict=True))

"""The groups' commonest messages as short lists on the wire: they go many times a second, between zones too. Pure."""

from __future__ import annotations

FIELDS = {
    "append": ("term", "prev", "prev_term", "entries", "commit", "stamp", "round"),
    "appended": ("term", "ok", "match", "have", "stamp", "round"),
}
CODES = {"append": 0, "appended": 1}
KINDS = {code: kind for kind, code in CODES.items()}


def pack(message: dict) -> list | dict:
    """A message of a group as a list: its kind, group, address, sender, receiver, then its fields in their order.

    The sender's id is told without its address where it begins with it. A message of another kind, or with other
    fields, stays as it is.

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
    """The message that `pack` was given; ValueError or KeyError for a list that is none."""
    if isinstance(raw, dict):
        return raw
    code, group, at, sender, to, *values = raw
    kind = KINDS[code]
    whole = {
        "type": kind,
        "group": group,
        "at": at,
        "from": at + sender if sender.startswith("#") else sender,
        "to": to,
    }
    return whole | dict(zip(FIELDS[kind], values, strict=True))

"""Errors that name the step and the peer at which they arose."""

import json
from typing import Any


class PeerError(Exception):
    """A failure at `step` (a few words) with `peer` (an address or a name, empty where there is none)."""

    def __init__(self, step: str, peer: str, reason: object):
        super().__init__(f"{step}, {peer}: {reason}" if peer else f"{step}: {reason}")
        self.step, self.peer, self.reason = step, peer, reason


class SettingsError(PeerError):
    """The settings file cannot be used: names the field and the mistake in one line."""

    def __init__(self, field: str, reason: object):
        super().__init__("settings", field, reason)


def decode_json_response(step: str, peer: str, status: int, data: bytes) -> Any:
    """Decode the JSON value of a peer's response; PeerError if its status is not 200 or its body is not JSON."""
    if status != 200:
        raise PeerError(step, peer, f"status {status}")
    try:
        return json.loads(data)
    except ValueError as error:
        raise PeerError(step, peer, f"invalid JSON: {error}") from None

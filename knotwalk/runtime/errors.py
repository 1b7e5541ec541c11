"""Errors that carry the step and the peer at which they arose."""

import json
from typing import Any


class PeerError(Exception):
    """Something failed at `step` (a few words) with `peer` (an address or a name, empty where there is none)."""

    def __init__(self, step: str, peer: str, why: object):
        super().__init__(f"{step}, {peer}: {why}" if peer else f"{step}: {why}")
        self.step, self.peer, self.why = step, peer, why


class SettingsError(PeerError):
    """The settings file can't be used: the place and the mistake, in one line."""

    def __init__(self, field: str, why: object):
        super().__init__("settings", field, why)


def decode_json_response(step: str, peer: str, status: int, data: bytes) -> Any:
    """The JSON value of a peer's answer; PeerError if its status is not 200, or it holds none."""
    if status != 200:
        raise PeerError(step, peer, f"status {status}")
    try:
        return json.loads(data)
    except ValueError as error:
        raise PeerError(step, peer, f"no JSON: {error}") from None

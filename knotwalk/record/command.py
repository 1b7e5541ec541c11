"""The command `knotwalk record`: what files hold, whether they are whole, and the same as Parquet.

Reads recordings and changes none; exports go to a folder of their own.
"""

import json
import sys

from knotwalk.record import format
from knotwalk.record.reader import Loss, Recording, Unusable

WHOLE, UNUSABLE, DAMAGED = 0, 2, 3


def info(recording: Recording) -> dict:
    """What the files hold, by their heads alone."""
    told = []
    for incarnation, blocks in recording.incarnations.items():
        segments = [x for x in recording.segments if x.incarnation == incarnation]
        told.append(
            {
                "incarnation": incarnation,
                "segments": len(segments),
                "bytes": sum(x.size for x in segments),
                "closed": all(x.whole for x in segments),
                "blocks": len(blocks),
                "frames": sum(x.lot.frames for x in blocks),
                "checkpoints": sum(x.lot.flags & format.CHECKED for x in blocks),
                "begun": blocks[0].lot.begun if blocks else None,
                "ended": blocks[-1].lot.ended if blocks else None,
            }
        )
    return {"conductor": recording.conductor, "incarnations": told, "faults": [str(x) for x in recording.faults]}


def verify(recording: Recording) -> dict:
    """Read every block; what is damaged or missing."""
    losses, frames = [], 0
    for incarnation, blocks in recording.incarnations.items():
        for event in recording.events(blocks):
            if isinstance(event, Loss):
                losses.append(
                    {
                        "incarnation": incarnation,
                        "since": event.since,
                        "until": event.until,
                        "frames": event.frames,
                        "why": event.why,
                    }
                )
            else:
                frames += 1
    return {"frames": frames, "losses": losses, "faults": [str(x) for x in recording.faults]}


def record(options: dict) -> int:
    """`knotwalk record`, with docopt's options; the exit code."""
    try:
        recording = Recording(options["RECORDING"], options["--conductor"])
        if options["info"]:
            told = info(recording)
        elif options["verify"]:
            told = verify(recording)
        else:
            from knotwalk.record.export import export

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
                print(
                    f"{name[:-1] if name.endswith('s') else name}: "
                    + (", ".join(f"{k} {v}" for k, v in row.items()) if isinstance(row, dict) else str(row))
                )
        elif isinstance(value, dict):
            print(f"{name}: " + ", ".join(f"{k} {v}" for k, v in value.items()))
        else:
            print(f"{name}: {value}")

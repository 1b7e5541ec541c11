"""The command `knotwalk record`: summarizes recordings, verifies them, and exports them to Parquet.

It never changes a recording; exports are written to a separate folder.
"""

import json
import sys

from knotwalk.record import format
from knotwalk.record.reader import Loss, Recording, UnusableRecordingError

EXIT_OK, EXIT_UNUSABLE, EXIT_DAMAGED = 0, 2, 3


def info(recording: Recording) -> dict:
    """Summarize the files from their headers, without reading the blocks."""
    incarnations = []
    for incarnation, blocks in recording.incarnations.items():
        segments = [x for x in recording.segments if x.incarnation == incarnation]
        incarnations.append(
            {
                "incarnation": incarnation,
                "segments": len(segments),
                "bytes": sum(x.size for x in segments),
                "closed": all(x.is_complete for x in segments),
                "blocks": len(blocks),
                "frames": sum(x.header.frame_count for x in blocks),
                "checkpoints": sum(x.header.flags & format.STARTS_WITH_CHECKPOINT for x in blocks),
                "begun": blocks[0].header.begins_at if blocks else None,
                "ended": blocks[-1].header.ends_at if blocks else None,
            }
        )
    return {
        "conductor": recording.conductor,
        "incarnations": incarnations,
        "faults": [str(x) for x in recording.faults],
    }


def verify(recording: Recording) -> dict:
    """Read every block and report what is damaged or missing."""
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
    """Run `knotwalk record` with docopt's options and return the exit code."""
    try:
        recording = Recording(options["RECORDING"], options["--conductor"])
        if options["info"]:
            summary = info(recording)
        elif options["verify"]:
            summary = verify(recording)
        else:
            from knotwalk.record.export import export

            summary = export(recording, options["--into"])
    except UnusableRecordingError as error:
        print(f"knotwalk: {error}", file=sys.stderr)
        return EXIT_UNUSABLE
    except OSError as error:
        print(f"knotwalk: {error.filename}: {error.strerror}", file=sys.stderr)
        return EXIT_UNUSABLE
    except ImportError as error:
        print(
            f"knotwalk: {error.name} is not installed; install it with pip install 'knotwalk[replay]'", file=sys.stderr
        )
        return EXIT_UNUSABLE
    if options["--json"]:
        print(json.dumps(summary, default=str))
    else:
        show(summary)
    return EXIT_DAMAGED if summary["faults"] or summary.get("losses") else EXIT_OK


def show(summary: dict) -> None:
    """Print a summary as lines of text."""
    for name, value in summary.items():
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
